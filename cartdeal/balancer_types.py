"""The interface between the balancer and the agent that hosts it: the host's methods and the shared types."""

from dataclasses import dataclass
from enum import Enum
from math import exp
from typing import NamedTuple, Protocol


class DecayingSum:
    """A sum whose parts decay exponentially over time, by a factor of e in `decay_s` seconds."""

    def __init__(self, decay_s, now, amount=0.0):
        self.amount, self.updated_at, self.decay_s = amount, now, decay_s

    def read(self, now):
        """The sum at the time `now`; `amount` holds it afterwards."""
        if now > self.updated_at:
            self.amount *= exp((self.updated_at - now) / self.decay_s)
            self.updated_at = now
        return self.amount

    def add(self, now, amount=1.0):
        """Adds an amount at the time `now`."""
        self.amount = self.read(now) + amount


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "unrepeatable"


class DeduplicationScope(Enum):
    """The servers that recognise a repeat of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """The state of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    UNUSABLE = "unusable"  # the server cannot use the request; a repeat would fail too

    @property
    def never_ran(self) -> bool:
        """Whether the server cannot have executed the attempt."""
        return self in (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)


class RequestClass(NamedTuple):
    """The properties that all requests of a class share. Durations are in seconds."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    latency_target: float
    priority: float
    name: str = ""  # distinguishes classes that are equal otherwise


class Tenant(NamedTuple):
    """A tenant's quota, in requests per second."""

    quota: float


class ListedServer(NamedTuple):
    """One line of the server list.

    `server_index` is the agent's own index of the server; `name` is the id that all agents know it by.
    """

    server_index: int
    name: bytes
    zone: int
    model: int
    cell: int
    state: ServerState
    weight: float
    started_at: float


class LoadReport(NamedTuple):
    """A server's report of its load; None for values that it does not report."""

    in_flight: float | None = None
    throughput: float | None = None  # requests per second
    queue_length: float | None = None
    service_time: float | None = None  # recent seconds per request, without queueing


@dataclass(slots=True, frozen=True)
class BalancerSettings:
    """What a deployment permits an agent and requires of it. Durations are in seconds."""

    seed: int
    agent_number: int
    agent_count: int
    zone_count: int
    own_zone: int
    request_classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    overage_priority_factor: float  # of a request over its tenant's quota
    cross_zone_fee: float
    probe_fee: float
    max_attempts: int
    may_cancel: bool
    may_probe: bool
    max_retry_after: float
    polls_discovery: bool
    poll_interval: float
    slow_start_initial_share: float  # of the full rate, at the start of a server
    slow_start_duration: float
    overload_window: float
    # A server in slow start fails if sent this multiple of its capacity over `overload_window`.
    overload_factor: float
    is_pool_member: bool  # clients may use any agent of a pool instead of one of their own
    worst_class_weight: float  # weight of the worst-served request class beside the overall result
    has_live_weights: bool  # the load of a server lowers its listed weight


class Host(Protocol):
    """The actions that an agent offers its balancer.

    `now` is the time of the event being handled, in seconds.
    """

    now: float

    def send_attempt(self, request: int, server: int, deadline: float) -> None:
        """Sends the request to the server; the next attempt of a request has the next number from 0 on."""
        ...

    def reject(self, request: int, retry_after: float) -> None:
        """Answers that the request was not served and may be repeated after this many seconds."""
        ...

    def fail(self, request: int) -> None:
        """Answers that the request failed and may have been executed."""
        ...

    def cancel(self, request: int, attempt: int) -> None:
        """Cancels an attempt that is in flight."""
        ...

    def probe(self, server: int) -> None:
        """Probes the server; `Balancer.on_probe_ended` gets the result."""
        ...

    def watch(self, is_wanted: bool = True) -> None:
        """Starts a watch of the server list, or stops it."""
        ...

    def fetch_servers(self) -> None:
        """Requests the server list once."""
        ...

    def close_idle(self, server: int) -> None:
        """Closes the idle connections to the server."""
        ...

    def send_peer_message(self, agent: int, message: bytes) -> None:
        """Sends a message to one agent, or to all agents if `agent` is -1."""
        ...

    def set_timer(self, token: int, delay: float) -> None:
        """Has `Balancer.on_timer` called with the token after `delay` seconds."""
        ...

    def log_note(self, text: str) -> None:
        """Writes a note to the log."""
        ...
