"""The settings of a fleet, as configuration.py has read them from the operator file and checked them."""

from msgspec import Struct


class RateLimit(Struct, frozen=True):
    """A tenant's limit for the whole fleet: `rate` in requests per second, `burst` in requests at once."""

    rate: float
    burst: float


class FleetSettings(Struct, frozen=True, kw_only=True):
    """The checked settings of one agent in a fleet; times in seconds, shares from 0 to 1."""

    fleet: str
    name: str
    key: bytes = b""  # the secret key for the MAC of each message
    address: str = ""  # "host:port" at which peers reach the agent
    zone: str = ""
    capacity: float = 1.0
    seeds: dict[str, str] = {}  # name -> "host:port"; a majority of these names founds the fleet
    limits: dict[str, RateLimit] = {}  # by tenant
    copies: int = 3  # owners of each key
    write_by: int = 2  # owners that must store an attempt record for the write to count
    read_by: int = 2  # owners that must answer a read
    on_doubt: str = "turn_back"  # or "terminate": for a request whose session's records can't be read in time
    limit_doubt: str = "turn_back"  # or "serve": for a tenant whose owners can't be asked in time
    clients_mark: bool = False  # whether clients mark all their repeats, so that unmarked requests are new
    wait_s: float = 0.05  # maximum wait of a request for the fleet's decision
    lease_s: float = 2.0  # duration of token leases and of the ring's leases
    period_s: float = 1.0  # of rate limits in schema version 1, and of usage counters
    longest_mark_s: float = 30.0  # maximum lifetime of attempt records: window and deadline together
    clock_ahead_s: float = 0.5  # timestamps of a clock further ahead than this are refused
    clock_drift: float = 0.01  # how much faster one monotonic clock may run than another, as a share
    tick_s: float = 0.1  # interval of the node's ticks
    probe_s: float = 0.5  # interval between probes of peers
    suspect_s: float = 2.0  # time in which a suspicion can be refuted
    damp_s: float = 5.0  # presences and absences shorter than this move no keys
    damp_share: float = 0.25  # changes of capacity below this share move no keys
    step_share: float = 0.34  # maximum share of the keys that moves in one epoch
    most_agents: int = 1024
    most_records: int = 100_000
    most_marks_a_session: int = 64
    most_hints: int = 10_000
    most_waiting: int = 1_000  # requests that may wait for the fleet at the same time
    reads: tuple[int, int] = (1, 2)  # schema versions this program can read
    hold_version: int = 0  # highest schema version that the fleet may write; 0: no limit
