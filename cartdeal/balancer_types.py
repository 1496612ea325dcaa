"""What the decisions and whoever drives them agree on: the host's duties and the shared types."""

from dataclasses import dataclass
from enum import Enum
from math import exp
from typing import NamedTuple, Protocol


class DecayingSum:
    """A sum whose parts fade away over time."""

    def __init__(self, decay_s, now, amount=0.0):
        self.amount, self.updated_at, self.decay_s = amount, now, decay_s

    def read(self, now):
        if now > self.updated_at:
            self.amount *= exp((self.updated_at - now) / self.decay_s)
            self.updated_at = now
        return self.amount

    def add(self, now, amount=1.0):
        self.amount = self.read(now) + amount


class Idempotency(Enum):
    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "unrepeatable"


class DeduplicationScope(Enum):
    """The servers that recognise a repeat of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    UNUSABLE = "unusable"  # the server can make nothing of the request, and would not again

    @property
    def never_ran(self) -> bool:
        return self in (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)


class RequestClass(NamedTuple):
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    latency_target: float
    priority: float
    name: str = ""  # told apart by it where all else is alike


class Tenant(NamedTuple):
    quota: float


class ListedServer(NamedTuple):
    """One line of the server list. `server_index` is the small index, `name` the id as every agent knows
    it."""

    server_index: int
    name: bytes
    zone: int
    model: int
    cell: int
    state: ServerState
    weight: float
    started_at: float


class LoadReport(NamedTuple):
    """What a server says of itself; None where it does not say."""

    in_flight: float | None = None
    throughput: float | None = None  # a second
    queue_length: float | None = None
    service_time: float | None = None  # seconds to serve one lately, without waiting


@dataclass(slots=True, frozen=True)
class BalancerSettings:
    """What a deployment grants an agent and asks of it."""

    seed: int
    agent_number: int
    agent_count: int
    zone_count: int
    own_zone: int
    request_classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    overage_priority_factor: float
    cross_zone_fee: float
    probe_fee: float
    max_attempts: int
    may_cancel: bool
    may_probe: bool
    max_retry_after: float
    polls_discovery: bool
    poll_interval: float
    slow_start_initial_share: float
    slow_start_duration: float
    overload_window: float
    overload_factor: float  # of what a cold server can do now: it falls if sent more over the span
    is_pool_member: bool  # clients reach any agent of a pool, in place of one of their own
    worst_class_weight: float  # how much the worst-served request class counts beside the whole
    has_live_weights: bool  # the list's weights are lowered by what servers hold


class Host(Protocol):
    """What an agent can do. `now` is the time of the event being handled, in seconds."""

    now: float

    def send_attempt(self, request: int, server: int, deadline: float) -> None: ...
    def reject(self, request: int, retry_after: float) -> None: ...
    def fail(self, request: int) -> None: ...
    def cancel(self, request: int, attempt: int) -> None: ...
    def probe(self, server: int) -> None: ...
    def watch(self, on: bool = True) -> None: ...
    def fetch_servers(self) -> None: ...
    def close_idle(self, server: int) -> None: ...
    def send_peer_message(self, agent: int, message: bytes) -> None: ...
    def set_timer(self, token: int, delay: float) -> None: ...
    def log_note(self, text: str) -> None: ...
