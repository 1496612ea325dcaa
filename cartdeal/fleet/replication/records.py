"""The records that a fleet shares, and how two copies of one are merged.

They are state-based CRDTs (Shapiro and others, 2011). The module owns what attempt records and usage counters
mean in memory, whatever version they were written by. It must never depend on the order, grouping or number
of arrivals: `merge` is commutative, associative and idempotent, and what it drops depends on the merged state
alone. Fields that a program doesn't know are kept and merged as unknown_fields says.
"""

from enum import IntEnum, StrEnum
from hashlib import blake2b
from typing import Any, NamedTuple

from msgspec import Struct
from msgspec.structs import force_setattr, replace

from cartdeal.fleet.errors import ClockAheadError, InvalidRecordError
from cartdeal.fleet.replication.unknown_fields import encoder, is_too_large, merge_fields, rank

MAX_LOCATIONS = 32  # of one attempt record; beyond them, UNKNOWN_LOCATION says that some are forgotten
UNKNOWN_LOCATION = ("*", -1)  # the request may have been sent to any zone and cell
RETAINED_PERIODS = 16  # of a tenant's usage; older ones are dropped: at 250 agents a record is full
MAX_USAGE_COUNTS = 4096  # of a tenant's usage; the newest are kept
MAX_LEASES = 1024  # of a tenant's limit; those that last longest are kept
DIGEST_BYTES = 16
DEDUPLICATION_GROUPS = ("all", "zone", "cell")  # from the widest to the narrowest

# Fields of a session that repeat, in another form, what its attempt records say. Version 1 has reserved
# these names: old agents, which can't read them, leave them out of digests, and keep one copy, so that it
# can't grow.
REDUNDANT_FIELDS = ("by",)

Location = tuple[str, int]  # zone and cell
CounterKey = tuple[str, int, int]  # agent, its incarnation, period


class Certainty(IntEnum):
    """What is known of the request that an attempt record stands for; it only ever grows."""

    CLAIMED = 0  # may be sent at any moment
    SENT = 1  # may have run
    NEVER_RAN = 2  # certainly not run; sending it again takes a new attempt record
    ANSWERED = 3


class RepeatMode(StrEnum):
    """What a server does with a repeat of the request."""

    DEDUPLICATED = "d"  # servers recognise and drop it, within a window
    NON_IDEMPOTENT = "u"  # it would run twice


class AttemptRecord(Struct, frozen=True):
    """One request of a session. A single agent writes it; copies of it may be of any age.

    `fields` gives the names in stored bytes, where they differ from these.
    """

    attempt_id: str  # "name/incarnation/number" of the agent that writes it
    key: str  # the request's idempotency key
    repeat: str  # a RepeatMode's value
    group: str  # where servers deduplicate together: one of DEDUPLICATION_GROUPS
    window_ms: int  # how long they do
    locations: tuple[Location, ...] = ()  # of each time it was sent, sorted
    certainty: int = Certainty.CLAIMED
    sent_ms: int = 0  # wall clock
    expires_ms: int = 0  # wall clock; the attempt record is dropped then
    workload: str = ""
    unknown_fields: dict[str, Any] = {}

    def __post_init__(self) -> None:
        locations = _bounded_locations(self.locations)
        if locations != self.locations:
            force_setattr(self, "locations", locations)

    def fields(self) -> dict[str, Any]:
        """The form that every version writes, and that digests are made of."""
        known = {stored: getattr(self, name) for name, stored in STORED_NAMES.items()}
        return {**self.unknown_fields, **known, "certainty": int(self.certainty)}


# Python's name of each field -> its name in stored bytes and in digests
STORED_NAMES = {
    name: {"attempt_id": "by", "locations": "places", "expires_ms": "until_ms"}.get(name, name)
    for name in AttemptRecord.__struct_fields__
    if name != "unknown_fields"
}


class Session(Struct):
    """The requests of a client's session, and where each was sent."""

    attempts: dict[str, AttemptRecord] = {}  # by attempt_id
    unknown_fields: dict[str, Any] = {}
    required_version: int = 0  # the schema version it takes to read all of it, if this program's won't do

    def open_attempts(self, key: str, wall_ms: int, slack_ms: int = 0) -> tuple[AttemptRecord, ...]:
        """The attempts of a request that still bind a repeat: not expired by the slowest clock, may have run.

        Args:
            key: The request's idempotency key.
            wall_ms: This agent's wall clock.
            slack_ms: How far another clock may be behind it.
        """
        return tuple(
            attempt
            for _, attempt in sorted(self.attempts.items())
            if attempt.key == key
            and attempt.certainty != Certainty.NEVER_RAN
            and attempt.expires_ms + slack_ms > wall_ms
        )

    def is_full(self, max_attempts: int) -> bool:
        """Whether it can take no further attempt. Merging takes it all the same: no copy loses one."""
        return len(self.attempts) >= max_attempts or is_too_large(self.unknown_fields)


class LimitLease(NamedTuple):
    """The part of a tenant's limit that a holder has on lease."""

    until_period: int
    rate: float  # requests per second
    burst: float  # requests


class UsageCounter(Struct):
    """What a tenant was served, by whom and when, and the parts of its limit that are on lease."""

    served_counts: dict[CounterKey, int] = {}  # each written by one agent only
    leases: dict[str, LimitLease] = {}  # by holder
    unknown_fields: dict[str, Any] = {}
    required_version: int = 0  # as in Session

    def is_full(self, max_attempts: int = 0) -> bool:
        """Whether it can take no further unknown fields; counts and leases are bounded by merging."""
        return is_too_large(self.unknown_fields)

    def total_served(self, period: int) -> int:
        """The requests served in a period, by all agents."""
        return sum(count for (_, _, counted), count in self.served_counts.items() if counted == period)


SESSION_KIND = "s"
USAGE_KIND = "u"
RECORD_TYPES = {SESSION_KIND: Session, USAGE_KIND: UsageCounter}
Record = Session | UsageCounter


def record_kind(record: Record) -> str:
    """The letter for the record's type: in its key, and in its bytes."""
    return SESSION_KIND if isinstance(record, Session) else USAGE_KIND


def session_key(session_id: str) -> str:
    """The key under which a session's record is stored; the client's identifier can't be read out of it."""
    return "s/" + blake2b(session_id.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES).hexdigest()


def usage_key(tenant: str) -> str:
    """The key under which a tenant's usage counter is stored."""
    return "u/" + tenant


def merge(a: Record, b: Record) -> Record:
    """All that either copy knows; neither is changed.

    Raises:
        InvalidRecordError: The copies are of two types.
    """
    if isinstance(a, Session) and isinstance(b, Session):
        return _merge_sessions(a, b)
    if isinstance(a, UsageCounter) and isinstance(b, UsageCounter):
        return _merge_usage(a, b)
    raise InvalidRecordError("two copies of one record", f"{type(a).__name__} and {type(b).__name__}")


def _merge_sessions(a: Session, b: Session) -> Session:
    attempts = dict(a.attempts)
    for attempt_id, attempt in b.attempts.items():
        attempts[attempt_id] = (
            merge_attempts(attempts[attempt_id], attempt) if attempt_id in attempts else attempt
        )
    unknown = merge_fields(a.unknown_fields, b.unknown_fields, REDUNDANT_FIELDS)
    return Session(attempts, unknown, max(a.required_version, b.required_version))


def _merge_usage(a: UsageCounter, b: UsageCounter) -> UsageCounter:
    counts = dict(a.served_counts)
    for counter, served in b.served_counts.items():
        counts[counter] = max(served, counts.get(counter, 0))
    leases = dict(a.leases)
    for holder, lease in b.leases.items():
        leases[holder] = max(lease, leases.get(holder, lease), key=rank)
    unknown = merge_fields(a.unknown_fields, b.unknown_fields)
    return bounded(UsageCounter(counts, leases, unknown, max(a.required_version, b.required_version)))


def merge_attempts(a: AttemptRecord, b: AttemptRecord) -> AttemptRecord:
    """One from two copies. Where fixed fields differ, a writer broke the rules: the careful value wins."""
    if a is b or (a == b and not (a.unknown_fields or b.unknown_fields)):
        return a
    return AttemptRecord(
        max(a.attempt_id, b.attempt_id),
        max(a.key, b.key),
        max(a.repeat, b.repeat),
        max(a.group, b.group, key=DEDUPLICATION_GROUPS.index),
        min(a.window_ms, b.window_ms),
        a.locations + b.locations,
        max(a.certainty, b.certainty),
        min(a.sent_ms, b.sent_ms),
        max(a.expires_ms, b.expires_ms),
        max(a.workload, b.workload),
        merge_fields(a.unknown_fields, b.unknown_fields),
    )


def advance(attempt: AttemptRecord, **changes: Any) -> AttemptRecord:
    """The writer's next copy of its own attempt record: like `replace`, but knowledge can only grow."""
    return merge_attempts(attempt, replace(attempt, **changes))


def bounded(usage: UsageCounter) -> UsageCounter:
    """The usage without what exceeds a bound.

    The result is the same in any order of merging: the newest of all are among the newest of each copy that
    had them, so no copy has dropped them before.
    """
    counts, leases = usage.served_counts, usage.leases
    if counts:
        oldest = max(period for _, _, period in counts) - RETAINED_PERIODS
        counts = {counter: served for counter, served in counts.items() if counter[2] > oldest}
    if len(counts) > MAX_USAGE_COUNTS:
        newest = sorted(counts, key=lambda counter: (counter[2], counter), reverse=True)[:MAX_USAGE_COUNTS]
        counts = {counter: counts[counter] for counter in newest}
    if len(leases) > MAX_LEASES:
        longest = sorted(leases, key=lambda holder: (rank(leases[holder]), holder), reverse=True)[:MAX_LEASES]
        leases = {holder: leases[holder] for holder in longest}
    return UsageCounter(counts, leases, usage.unknown_fields, usage.required_version)


def without_expired(record: Record, wall_ms: int, slack_ms: int) -> Record:
    """The record without attempts that have expired by every tolerated clock.

    Apply it to what arrives, too: an old agent may pass on expired attempts, in a form that it can't read.
    """
    if isinstance(record, UsageCounter) or all(
        attempt.expires_ms + slack_ms > wall_ms for attempt in record.attempts.values()
    ):
        return record
    attempts = {
        attempt_id: attempt
        for attempt_id, attempt in record.attempts.items()
        if attempt.expires_ms + slack_ms > wall_ms
    }
    return Session(attempts, record.unknown_fields, record.required_version)


def is_empty(record: Record) -> bool:
    """Whether it may be dropped. A session's unknown fields go with its last attempt, if all were read."""
    if isinstance(record, Session):
        return not record.attempts and not record.required_version
    return not (record.served_counts or record.leases or record.unknown_fields)


def clock_error(
    record: Record, wall_ms: int, longest_ms: int, slack_ms: int, period_s: float = 1.0
) -> ClockAheadError | None:
    """Why the record must not be merged: the clock of an agent that wrote in it is ahead. None if it is not.

    An attempt then lasts longer than any may, or a count is of a period to come. One period far ahead would
    push out all that was counted until then.

    Args:
        record: A record that has arrived.
        wall_ms: This agent's wall clock.
        longest_ms: The longest lifetime of an attempt record.
        slack_ms: How far another clock may be ahead.
        period_s: The length of a period of usage.
    """
    if isinstance(record, Session):
        for attempt_id, attempt in sorted(record.attempts.items()):
            if attempt.expires_ms > wall_ms + longest_ms + slack_ms:
                lasts_s = (attempt.expires_ms - wall_ms) / 1000
                return ClockAheadError(
                    f"an attempt record of {attempt_id}", f"lasts {lasts_s:.3f} s from now"
                )
        return None
    newest = int((wall_ms + slack_ms) / 1e3 // period_s) + 1
    for agent, incarnation, period in sorted(record.served_counts):
        if period > newest:
            return ClockAheadError(f"a count of {agent}/{incarnation}", f"period {period}, {newest} at most")
    return None


def digest(record: Record) -> bytes:
    """DIGEST_BYTES, the same for equal records whatever order, version or program they came by."""
    unknown = record.unknown_fields
    content: list[Any]
    if isinstance(record, Session):
        unknown = {name: value for name, value in unknown.items() if name not in REDUNDANT_FIELDS}
        attempts = [record.attempts[attempt_id].fields() for attempt_id in sorted(record.attempts)]
        content = [SESSION_KIND, attempts, unknown]
    else:
        if record.leases:
            unknown = {"parts": lease_fields(record), **unknown}
        counts = record.served_counts
        content = [USAGE_KIND, [[*counter, counts[counter]] for counter in sorted(counts)], unknown]
    return blake2b(encoder.encode(content), digest_size=DIGEST_BYTES).digest()


def lease_fields(usage: UsageCounter) -> dict[str, list[float]]:
    """The form of leases that every version writes, and that digests are made of."""
    return {
        holder: [until, float(rate), float(burst)] for holder, (until, rate, burst) in usage.leases.items()
    }


def delta(record: Record, other: Record) -> Record:
    """What `other` lacks: merged into it, it gives the same as the whole record would."""
    merged = merge(other, record)
    if isinstance(merged, Session) and isinstance(record, Session) and isinstance(other, Session):
        attempts = {
            attempt_id: attempt
            for attempt_id, attempt in record.attempts.items()
            if attempt_id not in other.attempts
            or encodes_differently(merged.attempts[attempt_id].fields(), other.attempts[attempt_id].fields())
        }
        return Session(attempts, record.unknown_fields, record.required_version)
    assert isinstance(merged, UsageCounter)
    assert isinstance(other, UsageCounter)
    counts = {
        counter: served
        for counter, served in merged.served_counts.items()
        if other.served_counts.get(counter) != served
    }
    leases = {holder: lease for holder, lease in merged.leases.items() if other.leases.get(holder) != lease}
    return UsageCounter(counts, leases, record.unknown_fields, record.required_version)


def encodes_differently(a: Any, b: Any) -> bool:
    """Whether two plain values have different bytes: 1, 1.0 and true do, though they are equal."""
    return encoder.encode(a) != encoder.encode(b)


def _bounded_locations(locations: tuple[Location, ...]) -> tuple[Location, ...]:
    known = sorted(set(locations) - {UNKNOWN_LOCATION})
    if len(known) > MAX_LOCATIONS or UNKNOWN_LOCATION in locations:
        known = [UNKNOWN_LOCATION, *known[:MAX_LOCATIONS]]
    return tuple(known)
