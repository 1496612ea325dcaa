"""The versions of what the fleet writes: the bytes of each, and the steps from one to the next.

It owns the wire form of records, and `agree`. It must never drop a field that it doesn't know, trust a byte,
or let a step depend on the agent that drives it: all that the next one needs is in the ring.

Version 1: a session has one field "marks"; a tenant's use has counts by period.
Version 2: a session has "by", marks by group and window; a use has "parts", too, the parts of a limit lent.

    ring's (written, phase)     written in             why
    (1, "steady")               1
    (1, "widen")                1                      all agents know that the next step may come
    (1, "move")                 1 and 2, side by side  agents of both versions can read every record
    (1, "narrow")               2                      no way back from here
    (2, "steady")               2

`knows` is the version that a program knows: 1 plays the old program by this code, in tests and in memory.
"""

import msgspec

from cartdeal.fleet.errors import (
    InvalidRecordError,
    RecordTooLargeError,
    SchemaDowngradeError,
    UnsupportedSchemaError,
)
from cartdeal.fleet.replication import records
from cartdeal.fleet.replication.records import AttemptRecord, Certainty, Record, Session, UsageCounter

VERSIONS = (1, 2)
PHASES = ("steady", "widen", "move", "narrow")

MOST_BYTES = 1 << 18  # of one record
MOST_MARKS = 1024  # of one session: far more than an owner takes in, as copies of many merge
MOST_DEPTH = 8
MOST_TEXT = 512  # characters of a name or key
MOST_NUMBER = 1 << 53
MAX_INCARNATION = 1 << 63

SIMPLE = frozenset((type(None), bool, int, float, str, bytes))

decoder = msgspec.msgpack.Decoder()
OWN = tuple(records.STORED_NAMES.values())


# Bytes


def encode(kind: str, record: Record, written: int, phase: str, knows: int = VERSIONS[-1]) -> bytes:
    """The record in the form that the fleet writes now, if this program knows it; equal records, equal bytes.

    Raises RecordTooLargeError for what no agent would read.
    """
    own = [version for version in forms(written, phase) if version <= knows] or [knows]
    needs = max(min(own), record.required_version)
    text = {**record.unknown_fields, "kind": kind, "v": max(own[-1], needs), "needs": needs}
    if kind == "s":
        if len(record.attempts) > MOST_MARKS:
            raise RecordTooLargeError("a session", f"{len(record.attempts)} marks")
        marks = [record.attempts[by].fields() for by in sorted(record.attempts)]
        if own[0] == 1:
            text["marks"] = marks
        if own[-1] >= 2:
            text["by"] = _grouped(marks)
    else:
        text["counts"] = [[*which, record.served_counts[which]] for which in sorted(record.served_counts)]
        if record.leases:  # whatever is written now: a step back must not lose what is on loan
            text["parts"] = records.lease_fields(record)
    raw = records.encoder.encode(text)
    if len(raw) > MOST_BYTES:
        raise RecordTooLargeError("a record", f"{len(raw)} bytes")
    return raw


def decode(kind: str, raw: bytes, knows: int = VERSIONS[-1]) -> Record:
    """The record, from bytes of any version; `required_version` is set where this program can't read it all.

    Where a session has both forms and they differ, both count: an old agent adds to its own form only.
    Raises InvalidRecordError, whatever the bytes.
    """
    text = _opened(raw)
    if text.pop("kind") != kind:
        raise InvalidRecordError(f"a record under {kind}/", "one of another kind")
    text.pop("v")
    needs = text.pop("needs")
    beyond = needs if needs > knows else 0
    if kind == "s":
        record = Session({}, {}, beyond)
        marks = _listed(text.pop("marks", []), "marks", MOST_MARKS)
        for each in marks:
            _add(record, _mark(each))
        by = _mapped(text.pop("by", {}), "by", MOST_MARKS) if knows >= 2 else {}
        if by and records.encodes_differently(
            by, _grouped(marks)
        ):  # else they say the same: reading one will do
            for name, each in _ungrouped(by):
                _add(record, _mark(each, name))
        record.unknown_fields = text
        return record
    counts = {}
    for each in _listed(text.pop("counts", []), "counts", records.MAX_USAGE_COUNTS):
        if len(_listed(each, "a count", 4)) != 4:
            raise InvalidRecordError("a count", f"{len(each)} numbers")
        which = (
            _text(each[0], "agent", 1),
            _whole(each[1], "incarnation", MAX_INCARNATION),
            _whole(each[2], "period"),
        )
        counts[which] = max(_whole(each[3], "served"), counts.get(which, 0))
    parts = _parts(text.pop("parts", {})) if knows >= 2 else {}
    return records.bounded(UsageCounter(counts, parts, text, beyond))


def needs_move(raw: bytes, written: int, phase: str, knows: int = VERSIONS[-1]) -> bool:
    """Whether bytes differ from what would be written now. Raises InvalidRecordError for what no move can
    mend."""
    kind = _opened(raw)["kind"]
    return encode(kind, decode(kind, raw, knows), written, phase, knows) != raw


# Steps


def forms(written: int, phase: str) -> tuple[int, ...]:
    """The versions written now, ascending."""
    return {"move": (written, written + 1), "narrow": (written + 1,)}.get(phase, (written,))


def governs(written: int, phase: str) -> int:
    """The version that an agent has to read to take part, and by whose rules limits are lent."""
    return forms(written, phase)[0]


def moved(ring, left: int) -> int:
    """The version that all it keeps is in, told to peers (Peer.migrated_version); `left`: yet to move."""
    return governs(ring.written_version, ring.phase) if left else forms(ring.written_version, ring.phase)[-1]


def agree(ring, live, settings) -> tuple[int, str]:
    """What the fleet writes in the epoch after `ring`: the same step, one forward or one back.

    `live`: name -> what is known of an agent: `state` (0 and 1: live), `reads` (lowest, highest), `moved`.
    Absent agents may be in it. A pure function of these: whoever proposes next goes on where one that died
    stopped. Two that see different agents may answer differently; the agreement on the ring's epoch decides.

    Forward: all live agents can read the next version, and a majority of the seats is live; to narrow, every
    seat, absent or not, has moved. Back, until narrowed: a live agent can't read it (also one without a seat,
    which may get one in the same epoch), or the operator holds the version.
    """
    target = ring.written_version + 1
    seats = [live.get(seat.name) for seat in ring.members]
    here = [each for each in seats if each is not None and each.state <= 1]
    same = (ring.written_version, ring.phase)
    if 2 * len(here) <= len(seats):
        return same
    if ring.phase == "narrow":
        return (target, "steady")
    able = all(each.reads[0] <= target <= each.reads[1] for each in live.values() if each.state <= 1)
    if not able or 0 < settings.hold_version < target:
        return (ring.written_version, {"move": "widen"}.get(ring.phase, "steady"))
    if ring.phase == "move":
        done = all(each is not None and each.migrated_version >= target for each in seats)
        return (ring.written_version, "narrow") if done else same
    return (ring.written_version, "widen" if ring.phase == "steady" else "move")


def step_back_refused(ring, settings) -> SchemaDowngradeError | None:
    """What to tell an operator who holds a version that the fleet has left for good. `agree` doesn't raise:
    a fleet that could draw no further ring would lose more."""
    least = governs(ring.written_version, ring.phase)
    if 0 < settings.hold_version < least:
        found = f"{settings.hold_version}, the fleet writes {least} alone"
        return SchemaDowngradeError(f"hold_version of {settings.name}", found)
    return None


def refused(reads: tuple[int, int], ring) -> UnsupportedSchemaError | None:
    """Why an agent that reads only these versions gets no seat. The agent asks it of itself, too, and then
    answers no read. Its marks aren't lost: whoever gets its records decodes and merges them as ever."""
    least = governs(ring.written_version, ring.phase)
    if reads[0] <= least <= reads[1]:
        return None
    found = f"reads versions {reads[0]} to {reads[1]}, the fleet writes {least}"
    return UnsupportedSchemaError("an agent's program", found)


# Checks: nothing that comes from a peer is used before it went through here.


def _opened(raw: bytes) -> dict:
    if len(raw) > MOST_BYTES:
        raise InvalidRecordError("a record", f"{len(raw)} bytes")
    try:
        text = decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError, TypeError, OverflowError) as error:
        raise InvalidRecordError("a record", type(error).__name__) from None
    if not isinstance(text, dict):
        raise InvalidRecordError("a record", type(text).__name__)
    _plain(text)
    _among(text.get("kind"), "a record's kind", tuple(records.RECORD_TYPES))
    needs = _whole(text.get("needs"), "needs", 1000)
    if not 1 <= needs <= _whole(text.get("v"), "v", 1000):
        raise InvalidRecordError("a record's version", f"needs {needs}, is of {text['v']}")
    return text


def _plain(text: dict):
    """Only what every version's programs can order, keep and write back alike."""
    level = [text]
    for _ in range(MOST_DEPTH):
        below = []
        for each in level:
            if type(each) is dict:
                for name in each:
                    if type(name) is not str:
                        raise InvalidRecordError("a field's name", type(name).__name__)
                each = each.values()
            for value in each:
                kind = type(value)
                if kind is dict or kind is list:
                    below.append(value)
                elif kind not in SIMPLE or value != value:
                    raise InvalidRecordError("a value", "nan" if kind is float else kind.__name__)
        if not below:
            return
        level = below
    raise InvalidRecordError("a value", f"more than {MOST_DEPTH} deep")


def _whole(value, what: str, most: int = MOST_NUMBER) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise InvalidRecordError(what, "out of range" if type(value) is int else type(value).__name__)
    return value


def _text(value, what: str, least: int = 0) -> str:
    if type(value) is not str or not least <= len(value) <= MOST_TEXT:
        raise InvalidRecordError(
            what, f"{len(value)} characters" if type(value) is str else type(value).__name__
        )
    return value


def _listed(value, what: str, most: int) -> list:
    if type(value) is not list or len(value) > most:
        raise InvalidRecordError(
            what, f"{len(value)} of them" if type(value) is list else type(value).__name__
        )
    return value


def _mapped(value, what: str, most: int) -> dict:
    if type(value) is not dict or len(value) > most:
        raise InvalidRecordError(
            what, f"{len(value)} of them" if type(value) is dict else type(value).__name__
        )
    return value


def _among(value, what: str, words: tuple) -> str:
    if value not in words:
        raise InvalidRecordError(what, "none of " + ", ".join(words))
    return value


# Marks and parts


def _grouped(marks: list[dict]) -> dict:
    by = {}
    for each in marks:
        rest = {name: value for name, value in each.items() if name not in ("group", "window_ms")}
        by.setdefault(f"{each['group']}/{each['window_ms']}", []).append(rest)
    return by


def _ungrouped(value: dict):
    """(group's name, mark's fields) of version 2's form."""
    left = MOST_MARKS
    for name, each in sorted(value.items()):
        left -= len(_listed(each, "marks of a group", left))
        for mark in each:
            yield name, mark


def _mark(value, grouped: str = "") -> AttemptRecord:
    value = dict(_mapped(value, "a mark", 64))
    if grouped:
        group, _, window = grouped.partition("/")
        if not (window.isascii() and window.isdigit() and len(window) < 17):
            raise InvalidRecordError("a group's name", f"{len(grouped)} characters")
        if "group" in value or "window_ms" in value:
            raise InvalidRecordError("a mark in a group", "a group of its own")
        value |= {"group": group, "window_ms": int(window)}
    missing = [name for name in OWN if name not in value]
    if missing:
        raise InvalidRecordError("a mark", "no " + ", ".join(missing))
    own = {name: value.pop(name) for name in OWN}
    places = []
    for each in _listed(own["places"], "places", records.MAX_LOCATIONS + 1):
        if len(_listed(each, "a place", 2)) != 2:
            raise InvalidRecordError("a place", f"{len(each)} parts")
        if each != list(records.UNKNOWN_LOCATION):
            _whole(each[1], "cell")
        places.append((_text(each[0], "zone"), each[1]))
    return AttemptRecord(
        _text(own["by"], "by", 1),
        _text(own["key"], "key"),
        _among(own["repeat"], "repeat", ("d", "u")),
        _among(own["group"], "group", records.DEDUPLICATION_GROUPS),
        _whole(own["window_ms"], "window_ms"),
        tuple(places),
        Certainty(_whole(own["certainty"], "certainty", max(Certainty))),
        _whole(own["sent_ms"], "sent_ms"),
        _whole(own["until_ms"], "until_ms"),
        _text(own["workload"], "workload"),
        value,
    )


def _add(record: Session, mark: AttemptRecord):
    known = record.attempts.get(mark.attempt_id)
    record.attempts[mark.attempt_id] = records.merge_attempts(known, mark) if known else mark


def _parts(value) -> dict:
    parts = {}
    for holder, each in _mapped(value, "parts", records.MAX_LEASES).items():
        if len(_listed(each, "a part", 3)) != 3:
            raise InvalidRecordError("a part", f"{len(each)} numbers")
        until, *shares = each
        for share in shares:
            if type(share) is not float or not 0 <= share <= MOST_NUMBER:
                raise InvalidRecordError("a part's rate or burst", type(share).__name__)
        parts[_text(holder, "holder", 1)] = (_whole(until, "until"), *shares)
    return parts
