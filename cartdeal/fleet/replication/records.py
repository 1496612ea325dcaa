"""The kinds of record that the fleet shares, and how two copies of one become one: state-based CRDTs
(Shapiro and others, 2011).

It owns what a mark and a count of use mean in memory, whatever version they were written by. It must never
depend on order, grouping or number of arrivals: `merge` is commutative, associative and idempotent, and what
it drops depends on the merged state alone.

Fields that a program doesn't know are kept and merged by one rule for ever (`join`): maps by key, anything
else the greater by `rank`. A later version that adds a field must live with it: old agents merge it so.
"""

from enum import IntEnum
from hashlib import blake2b
from math import copysign

import msgspec
from msgspec import Struct
from msgspec.structs import force_setattr, replace

from cartdeal.fleet.errors import ClockAheadError, InvalidRecordError

MAX_LOCATIONS = 32  # of one mark; with more, UNKNOWN_LOCATION says that the rest is forgotten
UNKNOWN_LOCATION = ("*", -1)  # it may have been at any place
RETAINED_PERIODS = 16  # of a tenant's use; older are dropped: at 250 agents a record is full
MAX_USAGE_COUNTS = 4096  # of a tenant's use; the newest are kept
MAX_LEASES = 1024  # of a tenant's limit; those that last longest are kept
MAX_UNKNOWN_BYTES = 32 * 1024  # bytes of unknown fields in a record; more makes it full
DEDUPLICATION_GROUPS = ("all", "zone", "cell")  # from the widest to the narrowest

# Fields of a session that say again, in another form, what its marks say. Version 1 has reserved these names:
# old agents, which can't read them, leave them out of digests, and keep one copy, so that it can't grow.
REDUNDANT_FIELDS = ("by",)

encoder = msgspec.msgpack.Encoder(order="deterministic")


class Certainty(IntEnum):
    """What is known of a request that a mark stands for; it is only ever gained."""

    CLAIMED = 0  # may be sent at any moment
    SENT = 1  # may have run
    NEVER_RAN = 2  # surely not run; one that sends again takes a new mark
    ANSWERED = 3


class AttemptRecord(Struct, frozen=True):
    """One request of a session. One agent writes it (`attempt_id`: "name/incarnation/number"); copies may be
    of any age."""

    attempt_id: str
    key: str
    repeat: str  # "d": deduplicated, "u": non-idempotent
    group: str  # where servers deduplicate together: one of DEDUPLICATION_GROUPS
    window_ms: int  # how long they do
    locations: tuple[tuple[str, int], ...] = ()  # (zone, cell) of each attempt, sorted
    certainty: int = Certainty.CLAIMED
    sent_ms: int = 0  # wall clock
    expires_ms: int = 0  # wall clock; the mark goes then
    workload: str = ""
    unknown_fields: dict = {}  # unknown fields

    def __post_init__(self):
        places = _places(self.locations)
        if places != self.locations:
            force_setattr(self, "locations", places)

    def fields(self) -> dict:
        """The form that versions write and digests are made of."""
        own = {stored: getattr(self, name) for name, stored in STORED_NAMES.items()}
        return {**self.unknown_fields, **own, "certainty": int(self.certainty)}


# Python's name of each field -> its name in stored bytes and in digests
STORED_NAMES = {
    name: {"attempt_id": "by", "locations": "places", "expires_ms": "until_ms"}.get(name, name)
    for name in AttemptRecord.__struct_fields__
    if name != "unknown_fields"
}


class Session(Struct):
    """Where a session's requests went. `required_version`: what it takes to read it all, if not this one."""

    attempts: dict[str, AttemptRecord] = {}  # by attempt_id
    unknown_fields: dict = {}  # unknown fields
    required_version: int = 0

    def open_attempts(self, key: str, wall_ms: int, slack_ms: int = 0) -> tuple[AttemptRecord, ...]:
        """The marks of a request that still bind a repeat: not over by the slowest clock, and may have
        run."""
        return tuple(
            mark
            for _, mark in sorted(self.attempts.items())
            if mark.key == key
            and mark.certainty != Certainty.NEVER_RAN
            and mark.expires_ms + slack_ms > wall_ms
        )

    def is_full(self, most_marks: int) -> bool:
        """Whether it can take no further mark; merging takes all the same, so that no copy loses one."""
        return len(self.attempts) >= most_marks or _heavy(self.unknown_fields)


class UsageCounter(Struct):
    """What a tenant was served, by whom and when, and the parts of its limit that are lent."""

    served_counts: dict[
        tuple[str, int, int], int
    ] = {}  # (agent, incarnation, period) -> served; single writers
    leases: dict[str, tuple[int, float, float]] = {}  # holder -> (until period, rate, burst)
    unknown_fields: dict = {}
    required_version: int = 0

    def is_full(self, most_marks: int = 0) -> bool:
        return _heavy(self.unknown_fields)

    def total_served(self, period: int) -> int:
        return sum(each for (_, _, when), each in self.served_counts.items() if when == period)


SESSION_KIND = "s"
USAGE_KIND = "u"
RECORD_TYPES = {SESSION_KIND: Session, USAGE_KIND: UsageCounter}
Record = Session | UsageCounter


def record_kind(record: Record) -> str:
    return SESSION_KIND if isinstance(record, Session) else USAGE_KIND


def session_key(sid: str) -> str:
    return "s/" + blake2b(sid.encode("utf-8", "surrogateescape"), digest_size=16).hexdigest()


def usage_key(tenant: str) -> str:
    return "u/" + tenant


def merge(a: Record, b: Record) -> Record:
    """All that either knows. Raises InvalidRecordError when they're of two kinds. Neither is changed."""
    if type(a) is not type(b):
        raise InvalidRecordError("two copies of one record", f"{type(a).__name__} and {type(b).__name__}")
    beyond = max(a.required_version, b.required_version)
    if isinstance(a, Session):
        marks = dict(a.attempts)
        for by, mark in b.attempts.items():
            marks[by] = merge_attempts(marks[by], mark) if by in marks else mark
        return Session(marks, _merge_extra(a.unknown_fields, b.unknown_fields, REDUNDANT_FIELDS), beyond)
    counts = dict(a.served_counts)
    for which, served in b.served_counts.items():
        counts[which] = max(served, counts.get(which, 0))
    parts = dict(a.leases)
    for holder, part in b.leases.items():
        parts[holder] = max(part, parts.get(holder, part), key=rank)
    return bounded(UsageCounter(counts, parts, _merge_extra(a.unknown_fields, b.unknown_fields), beyond))


def merge_attempts(a: AttemptRecord, b: AttemptRecord) -> AttemptRecord:
    """One mark from two copies. Where fixed fields differ, a writer broke the rules: the careful wins."""
    if a is b or a == b and not (a.unknown_fields or b.unknown_fields):
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
        _merge_extra(a.unknown_fields, b.unknown_fields),
    )


def bounded(use: UsageCounter) -> UsageCounter:
    """Without what is over a bound. It's the same whatever came first: the newest of all are among the newest
    of each copy that had them, so no copy has dropped them before."""
    counts, parts = use.served_counts, use.leases
    if counts:
        oldest = max(period for _, _, period in counts) - RETAINED_PERIODS
        counts = {which: served for which, served in counts.items() if which[2] > oldest}
    if len(counts) > MAX_USAGE_COUNTS:
        newest = sorted(counts, key=lambda which: (which[2], which), reverse=True)[:MAX_USAGE_COUNTS]
        counts = {which: counts[which] for which in newest}
    if len(parts) > MAX_LEASES:
        longest = sorted(parts, key=lambda holder: (rank(parts[holder]), holder), reverse=True)[:MAX_LEASES]
        parts = {holder: parts[holder] for holder in longest}
    return UsageCounter(counts, parts, use.unknown_fields, use.required_version)


def without_expired(record: Record, wall_ms: int, slack_ms: int) -> Record:
    """The record without marks that are over by every clock allowed. Call it on what arrives, too: an old
    agent may pass on marks that are over, in a form that it can't read."""
    if isinstance(record, UsageCounter) or all(
        mark.expires_ms + slack_ms > wall_ms for mark in record.attempts.values()
    ):
        return record
    marks = {by: mark for by, mark in record.attempts.items() if mark.expires_ms + slack_ms > wall_ms}
    return Session(marks, record.unknown_fields, record.required_version)


def is_empty(record: Record) -> bool:
    """Whether it may be forgotten. What is unknown of a session goes with its last mark, if all were read."""
    if isinstance(record, Session):
        return not record.attempts and not record.required_version
    return not (record.served_counts or record.leases or record.unknown_fields)


def clock_error(
    record: Record, wall_ms: int, longest_ms: int, slack_ms: int, period_s=1.0
) -> ClockAheadError | None:
    """Says whose mark lasts longer than any may, or whose use is of a time to come: its clock is ahead, and
    the record isn't to be taken in. One far period would push out all that was counted by then."""
    if isinstance(record, Session):
        for by, mark in sorted(record.attempts.items()):
            if mark.expires_ms > wall_ms + longest_ms + slack_ms:
                lasts = (mark.expires_ms - wall_ms) / 1000
                return ClockAheadError(f"a mark of {by}", f"lasts {lasts:.3f} s from now")
    else:
        newest = int((wall_ms + slack_ms) / 1e3 // period_s) + 1
        for agent, incarnation, period in sorted(record.served_counts):
            if period > newest:
                return ClockAheadError(
                    f"a use of {agent}/{incarnation}", f"period {period}, {newest} at most"
                )
    return None


def digest(record: Record) -> bytes:
    """16 bytes, the same for equal records whatever order, version or program they came by."""
    if isinstance(record, Session):
        extra = {name: value for name, value in record.unknown_fields.items() if name not in REDUNDANT_FIELDS}
        said = ["s", [record.attempts[by].fields() for by in sorted(record.attempts)], extra]
    else:
        extra = (
            {"parts": lease_fields(record), **record.unknown_fields}
            if record.leases
            else record.unknown_fields
        )
        said = ["u", [[*which, record.served_counts[which]] for which in sorted(record.served_counts)], extra]
    return blake2b(encoder.encode(said), digest_size=16).digest()


def lease_fields(use: UsageCounter) -> dict:
    return {holder: [until, float(rate), float(burst)] for holder, (until, rate, burst) in use.leases.items()}


def delta(record: Record, theirs: Record) -> Record:
    """What `theirs` lacks: merged into it, it gives the same as the whole record would."""
    both = merge(theirs, record)
    if isinstance(both, Session):
        marks = {
            by: mark
            for by, mark in record.attempts.items()
            if by not in theirs.attempts
            or encodes_differently(both.attempts[by].fields(), theirs.attempts[by].fields())
        }
        return Session(marks, record.unknown_fields, record.required_version)
    counts = {
        which: served
        for which, served in both.served_counts.items()
        if theirs.served_counts.get(which) != served
    }
    parts = {holder: part for holder, part in both.leases.items() if theirs.leases.get(holder) != part}
    return UsageCounter(counts, parts, record.unknown_fields, record.required_version)


def advance(mark: AttemptRecord, **more) -> AttemptRecord:
    """The writer's own next copy of a mark: like `replace`, but it can only gain."""
    return merge_attempts(mark, replace(mark, **more))


def rank(value):
    """A total order of all plain values; numbers by value, lists item by item."""
    if value is None:
        return (0,)
    if isinstance(value, bool):
        return (1, value)
    if isinstance(value, int | float):
        return (2, value, isinstance(value, float), copysign(1, value))
    if isinstance(value, str):
        return (3, value)
    if isinstance(value, bytes):
        return (4, value)
    if isinstance(value, dict):
        return (6, [(name, rank(each)) for name, each in sorted(value.items())])
    return (5, [rank(each) for each in value])


def join(a, b):
    """The rule for values that nobody here understands; see the top of this file."""
    if isinstance(a, dict) and isinstance(b, dict):
        return _merge_extra(a, b)
    return max(a, b, key=rank)


def _merge_extra(a: dict, b: dict, again: tuple = ()) -> dict:
    if not (a and b):
        return dict(a or b)
    both = dict(a)
    for name, value in b.items():
        if name not in both:
            both[name] = value
        else:
            both[name] = max(both[name], value, key=rank) if name in again else join(both[name], value)
    return both


def _places(places) -> tuple:
    known = sorted(set(places) - {UNKNOWN_LOCATION})
    if len(known) > MAX_LOCATIONS or UNKNOWN_LOCATION in places:
        known = [UNKNOWN_LOCATION, *known[:MAX_LOCATIONS]]
    return tuple(known)


def _heavy(extra: dict) -> bool:
    return bool(extra) and len(encoder.encode(extra)) > MAX_UNKNOWN_BYTES


def encodes_differently(a, b) -> bool:
    return encoder.encode(a) != encoder.encode(b)
