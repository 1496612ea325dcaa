"""The records that a fleet shares, and how two copies of one are merged.

Records are state-based CRDTs (Shapiro and others, 2011). This module owns the meaning of attempt records and
usage counters in memory, whatever schema version wrote them. A result must never depend on the order,
grouping or number of arrivals: `merge` is commutative, associative and idempotent, and what it drops depends
only on the merged state. Fields that a program doesn't know are kept and merged by unknown_fields.
"""

from enum import IntEnum, StrEnum
from hashlib import blake2b
from typing import Any, NamedTuple

from msgspec import Struct
from msgspec.structs import force_setattr, replace

from cartdeal.fleet.errors import ClockAheadError, InvalidRecordError
from cartdeal.fleet.replication.unknown_fields import encoder, is_too_large, merge_fields, rank

MAX_LOCATIONS = 32  # in one attempt record; UNKNOWN_LOCATION replaces those beyond
UNKNOWN_LOCATION = ("*", -1)  # the request may have been sent to any zone and cell
RETAINED_PERIODS = 16  # of a tenant's usage; older ones are dropped, as 250 agents' counts fill a record
MAX_USAGE_COUNTS = 4096  # of one tenant; the newest are kept
MAX_LEASES = 1024  # of one tenant's limit; those that end last are kept
DIGEST_BYTES = 16
DEDUPLICATION_GROUPS = ("all", "zone", "cell")  # from the widest to the narrowest

# Fields of a session that repeat its attempt records in another form. Version 1 has reserved these names: old
# agents, which can't read the fields, leave them out of digests, and keep only one copy's value when they
# merge, so that the fields can't grow.
REDUNDANT_FIELDS = ("by",)

Location = tuple[str, int]  # zone and cell
CounterKey = tuple[str, int, int]  # agent, its incarnation, period


class Certainty(IntEnum):
    """What is known of the request that an attempt record stands for. The value never decreases."""

    CLAIMED = 0  # the request may be sent at any moment
    SENT = 1  # the request may have run
    NEVER_RAN = 2  # the request has certainly not run; sending it again needs a new attempt record
    ANSWERED = 3


class RepeatMode(StrEnum):
    """What a server does with a repeat of the request."""

    DEDUPLICATED = "d"  # servers recognise and drop a repeat within a window
    NON_IDEMPOTENT = "u"  # a repeat would run the request twice


class AttemptRecord(Struct, frozen=True):
    """One request of a session, and where one agent has sent it.

    Only that agent writes the attempt record; copies of it may be of any age. STORED_NAMES has the names of
    the fields in stored bytes.
    """

    attempt_id: str  # "name/incarnation/number" of the agent that writes it
    key: str  # the request's idempotency key
    repeat: str  # a RepeatMode's value
    group: str  # the servers that deduplicate together: one of DEDUPLICATION_GROUPS
    window_ms: int  # how long servers deduplicate the request
    locations: tuple[Location, ...] = ()  # where the request was sent each time, sorted
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
        """The fields by stored name, as every schema version writes them and as digests cover them."""
        known = {stored: getattr(self, name) for name, stored in STORED_NAMES.items()}
        return {**self.unknown_fields, **known, "certainty": int(self.certainty)}


# Name of each field of AttemptRecord -> its name in stored bytes and in digests
STORED_NAMES = {
    name: {"attempt_id": "by", "locations": "places", "expires_ms": "until_ms"}.get(name, name)
    for name in AttemptRecord.__struct_fields__
    if name != "unknown_fields"
}


class Session(Struct):
    """The attempt records of a client's session."""

    attempts: dict[str, AttemptRecord] = {}  # by attempt_id
    unknown_fields: dict[str, Any] = {}
    required_version: int = 0  # the schema version needed to read all of it; 0 if this program's is enough

    def open_attempts(self, key: str, wall_ms: int, slack_ms: int = 0) -> tuple[AttemptRecord, ...]:
        """The attempts of a request that restrict a repeat of it.

        They may have run, and haven't expired by the slowest tolerated clock.

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
        """Whether owners should accept no further attempt. Merging ignores this, so no copy loses one."""
        return len(self.attempts) >= max_attempts or is_too_large(self.unknown_fields)


class LimitLease(NamedTuple):
    """The part of a tenant's limit that is leased to one holder."""

    until_period: int
    rate: float  # requests per second
    burst: float  # requests


class UsageCounter(Struct):
    """The requests served for a tenant, by agent and period, and the leases of its limit."""

    served_counts: dict[CounterKey, int] = {}  # each count is written by one agent only
    leases: dict[str, LimitLease] = {}  # by holder
    unknown_fields: dict[str, Any] = {}
    required_version: int = 0  # as in Session

    def is_full(self, max_attempts: int = 0) -> bool:
        """Whether the unknown fields are too large; merging bounds counts and leases."""
        return is_too_large(self.unknown_fields)

    def total_served(self, period: int) -> int:
        """The number of requests that all agents served in a period."""
        return sum(count for (_, _, counted), count in self.served_counts.items() if counted == period)


SESSION_KIND = "s"
USAGE_KIND = "u"
RECORD_TYPES = {SESSION_KIND: Session, USAGE_KIND: UsageCounter}
Record = Session | UsageCounter


def record_kind(record: Record) -> str:
    """The letter for the record's type, used in its key and in its bytes."""
    return SESSION_KIND if isinstance(record, Session) else USAGE_KIND


def session_key(session_id: str) -> str:
    """The key under which a session's record is stored: a hash, which hides the client's identifier."""
    return "s/" + blake2b(session_id.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES).hexdigest()


def usage_key(tenant: str) -> str:
    """The key under which a tenant's usage counter is stored."""
    return "u/" + tenant


def merge(a: Record, b: Record) -> Record:
    """Merges two copies of a record into a new one; neither copy is modified.

    Raises:
        InvalidRecordError: The copies are of different types.
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
    """Merges two copies of an attempt record.

    Fields that never change can differ only if a writer broke the rules; the safer value then wins.
    """
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
    """The writer's next copy of its attempt record: like `replace`, but merged with the present copy."""
    return merge_attempts(attempt, replace(attempt, **changes))


def bounded(usage: UsageCounter) -> UsageCounter:
    """The usage without the counts and leases beyond RETAINED_PERIODS, MAX_USAGE_COUNTS and MAX_LEASES.

    The result is the same in any order of merging: the newest entries of the merged copies are among the
    newest of each copy that contained them, so no copy has dropped them before.
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
    """The record without the attempts that have expired by every tolerated clock.

    Received records need this, too: an old agent may pass on expired attempts in a form that it can't read.
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
    """Whether the record may be dropped.

    A session's unknown fields are dropped with its last attempt, unless only a newer program reads all of it.
    """
    if isinstance(record, Session):
        return not record.attempts and not record.required_version
    return not (record.served_counts or record.leases or record.unknown_fields)


def clock_error(
    record: Record, wall_ms: int, longest_ms: int, slack_ms: int, period_s: float = 1.0
) -> ClockAheadError | None:
    """The error if a writer's clock is ahead, so that the record must not be merged; else None.

    In such a record, an attempt lasts longer than the longest lifetime, or a count is of a future period. One
    count of a period far ahead would push all earlier counts out of the record.

    Args:
        record: A received record.
        wall_ms: This agent's wall clock.
        longest_ms: The longest lifetime of an attempt record.
        slack_ms: How far another clock may be ahead.
        period_s: The length of a usage period.
    """
    if isinstance(record, Session):
        for attempt_id, attempt in sorted(record.attempts.items()):
            if attempt.expires_ms > wall_ms + longest_ms + slack_ms:
                lifetime_s = (attempt.expires_ms - wall_ms) / 1000
                return ClockAheadError(
                    f"an attempt record of {attempt_id}", f"lasts {lifetime_s:.3f} s from now"
                )
        return None
    newest = int((wall_ms + slack_ms) / 1e3 // period_s) + 1
    for agent, incarnation, period in sorted(record.served_counts):
        if period > newest:
            return ClockAheadError(f"a count of {agent}/{incarnation}", f"period {period}, {newest} at most")
    return None


def digest(record: Record) -> bytes:
    """A digest of DIGEST_BYTES, equal for equal records whatever order, version or program wrote them."""
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
    """The leases by holder, as every schema version writes them and as digests cover them."""
    return {
        holder: [until, float(rate), float(burst)] for holder, (until, rate, burst) in usage.leases.items()
    }


def delta(record: Record, other: Record) -> Record:
    """The part of `record` that `other` lacks: merging it into `other` gives the same as merging `record`."""
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
    """Whether two plain values encode to different bytes, as 1, 1.0 and true do, though they are equal."""
    return encoder.encode(a) != encoder.encode(b)


def _bounded_locations(locations: tuple[Location, ...]) -> tuple[Location, ...]:
    known = sorted(set(locations) - {UNKNOWN_LOCATION})
    if len(known) > MAX_LOCATIONS or UNKNOWN_LOCATION in locations:
        known = [UNKNOWN_LOCATION, *known[:MAX_LOCATIONS]]
    return tuple(known)
