"""What the operator asks of a fleet: its settings, as configuration.py has read and checked them."""

from msgspec import Struct


class RateLimit(Struct, frozen=True):
    """A tenant's limit for the whole fleet: requests a second, and how many may come at once."""

    rate: float
    burst: float


class FleetSettings(Struct, frozen=True, kw_only=True):
    """What the operator file says, checked (configuration.py); times in seconds, shares 0 to 1."""

    fleet: str
    name: str
    key: bytes = b""  # for the digest on each message
    address: str = ""  # "host:port", as peers reach it
    zone: str = ""
    capacity: float = 1.0
    seeds: dict[str, str] = {}  # name -> "host:port"; a majority of these names founds the fleet
    limits: dict[str, RateLimit] = {}  # by tenant
    copies: int = 3
    write_by: int = 2  # owners that have it when a mark counts as written
    read_by: int = 2
    on_doubt: str = "turn_back"  # or "terminate": a request whose session can't be known in time
    limit_doubt: str = "turn_back"  # or "serve": a tenant whose owners can't be asked in time
    clients_mark: bool = False  # whether clients mark all their repeats, so that others are new
    wait_s: float = 0.05  # the longest a request waits for the fleet
    lease_s: float = 2.0
    period_s: float = 1.0
    longest_mark_s: float = 30.0  # the longest window and deadline together
    clock_ahead_s: float = 0.5  # a clock further ahead than this is not believed
    clock_drift: float = 0.01  # how much faster one monotonic clock may run than another
    tick_s: float = 0.1
    probe_s: float = 0.5  # one probe of a peer in so long
    suspect_s: float = 2.0
    damp_s: float = 5.0  # comings and goings shorter than this move no key
    damp_share: float = 0.25  # changes of capacity under this share move none
    step_share: float = 0.34  # of the keys, moved in one epoch at most
    most_agents: int = 1024
    most_records: int = 100_000
    most_marks_a_session: int = 64
    most_hints: int = 10_000
    most_waiting: int = 1_000  # requests that wait for the fleet at once
    reads: tuple[int, int] = (1, 2)  # schema versions this program can read
    hold_version: int = 0  # the operator keeps the fleet from writing above this; 0: no hold
