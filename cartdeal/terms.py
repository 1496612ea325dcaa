"""What the decisions and whoever drives them agree on: the host's duties and the shared types."""

from dataclasses import dataclass
from enum import Enum
from math import exp
from typing import NamedTuple, Protocol


class Fading:
    """A sum whose parts fade away over time."""

    def __init__(self, span, now, amount=0.0):
        self.amount, self.at, self.span = amount, now, span

    def read(self, now):
        if now > self.at:
            self.amount *= exp((self.at - now) / self.span)
            self.at = now
        return self.amount

    def add(self, now, more=1.0):
        self.amount = self.read(now) + more


class Repeat(Enum):
    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "unrepeatable"


class Group(Enum):
    """The servers that recognise a repeat of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
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
    repeat: Repeat
    group: Group
    window: float
    latency_target: float
    priority: float
    name: str = ""  # told apart by it where all else is alike


class Tenant(NamedTuple):
    quota: float


class Listing(NamedTuple):
    """One line of the server list. `server` is the small index, `name` the id as every agent knows it."""

    server: int
    name: bytes
    zone: int
    model: int
    cell: int
    state: State
    weight: float
    started: float


class Load(NamedTuple):
    """What a server says of itself; None where it does not say."""

    held: float | None = None
    served: float | None = None  # a second
    waiting: float | None = None
    took: float | None = None  # seconds to serve one lately, without waiting


@dataclass(slots=True, frozen=True)
class BalancerSettings:
    """What a deployment grants an agent and asks of it."""

    seed: int
    number: int
    agents: int
    zones: int
    own_zone: int
    request_classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    beyond_share: float
    crossing_fee: float
    probing_fee: float
    most_attempts: int
    may_cancel: bool
    may_probe: bool
    advises_wait: float
    must_ask: bool
    ask_every: float
    cold_from: float
    cold_for: float
    cold_span: float
    cold_multiple: float  # of what a cold server can do now: it falls if sent more over the span
    pooled: bool  # clients reach any agent of a pool, in place of one of their own
    worst_class: float  # how much the worst-served request class counts beside the whole
    live_weights: bool  # the list's weights are lowered by what servers hold


class Host(Protocol):
    """What an agent can do. `now` is the time of the event being handled, in seconds."""

    now: float

    def send_attempt(self, request: int, server: int, deadline: float) -> None: ...
    def reject(self, request: int, wait: float) -> None: ...
    def fail(self, request: int) -> None: ...
    def cancel(self, request: int, attempt: int) -> None: ...
    def probe(self, server: int) -> None: ...
    def watch(self, on: bool = True) -> None: ...
    def fetch_servers(self) -> None: ...
    def close_idle(self, server: int) -> None: ...
    def tell(self, agent: int, words: bytes) -> None: ...
    def wake(self, token: int, delay: float) -> None: ...
    def note(self, text: str) -> None: ...
