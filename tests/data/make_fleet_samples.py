"""Writes tests/data/fleet_samples.json: the fleet's messages, envelopes, records and placement as bytes.

It was run once, from the root of the repository, on the code as it was before the renaming of the fleet's
modules, types and fields (the state of commit 72ee2e1):

    python -m tests.data.make_fleet_samples

The samples are what agents and stored data of that version contain, so they are never made anew for the same
version: the script refuses to overwrite the file, and it isn't kept in step with later names. For a message
that is added later, add its samples to the file and leave all others as they are.

Bytes are in hexadecimal; in values of messages, {"hex": ...} stands for bytes. Values are positional. Nothing
depends on time, chance or the order of a set.
"""

import json
import sys
from itertools import count
from pathlib import Path
from typing import get_args

import msgspec
from cartdeal.fleet.desk import Pact
from cartdeal.fleet.records import Certainty, Mark, Session, Use
from msgspec import inspect

from cartdeal.fleet import ranges, records, ring, schema, wire

FILE = Path(__file__).with_name("fleet_samples.json")
FLEET = {"fleet": "sample-fleet", "name": "agent-0", "key": bytes(range(32))}
PACT = Pact(**FLEET)
LONGEST_LIFE = (1 << 63) - 1
LONGEST_TIME = 1 << 53


# Messages


class Filler:
    """Gives each field a value of its own. `true`: which one of the booleans is true (None: all)."""

    def __init__(self, *, large=False, empty=False, none=False, short=False, true=None):
        self.large, self.empty, self.none, self.short, self.true = large, empty, none, short, true
        self.numbers, self.booleans = count(1), 0

    def struct(self, kind, tagged=False) -> list:
        info = inspect.type_info(kind)
        fields = [field for field in info.fields if field.required or not self.short]
        return ([info.tag] if tagged else []) + [self.value(field.type) for field in fields]

    def value(self, kind):
        if isinstance(kind, inspect.StructType):
            return self.struct(kind.cls)
        if isinstance(kind, inspect.UnionType):
            if self.none:
                return None
            return self.value(next(each for each in kind.types if not isinstance(each, inspect.NoneType)))
        if isinstance(kind, inspect.TupleType):
            return [self.value(each) for each in kind.item_types]
        if isinstance(kind, inspect.VarTupleType):
            return [] if self.empty else [self.value(kind.item_type) for _ in range(2)]
        if isinstance(kind, inspect.BoolType):
            self.booleans += 1
            return self.true is None or self.true == self.booleans
        number = next(self.numbers)
        if isinstance(kind, inspect.IntType):
            return (1 << 40) + number if self.large else 100 + number
        if isinstance(kind, inspect.FloatType):
            return 1e9 + number / 8 if self.large else number + 0.5
        if isinstance(kind, inspect.StrType):
            return f"größe-{number}-\u6771" if self.large else f"text-{number}"
        if isinstance(kind, inspect.BytesType):
            return bytes([0, number, 255]) * (100 if self.large else 1)
        raise TypeError(kind)


def variants(kind) -> dict[str, list]:
    """The values of a message, by the name of the variant; those that are equal only once."""
    full = Filler()
    found = {"full": full.struct(kind, True)}
    for number in range(full.booleans + 1 if full.booleans else 0):
        found[f"true{number}"] = Filler(true=number).struct(kind, True)
    for name in ("large", "empty", "none"):
        found[name] = Filler(**{name: True}).struct(kind, True)
    kept = {}
    for name, values in found.items():
        if values not in kept.values():
            kept[name] = values
    return kept


def plain(value):
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def said(message) -> list:
    return plain(msgspec.to_builtins(message, builtin_types=(bytes,)))


def messages(kinds) -> list[dict]:
    made = []
    for kind in kinds:
        tag = kind.__struct_config__.tag

        def add(name, message, raw=None, kind=kind, tag=tag):
            again = wire.inner(message)
            raw = raw or again
            sample = {"id": f"{tag}-{name}", "tag": tag, "datagram": kind.DATAGRAM, "bytes": raw.hex()}
            assert msgspec.msgpack.decode(raw)[0] == tag
            sample["values"] = said(message)
            if raw != again:
                sample["again"] = again.hex()
            made.append(sample)

        for name, values in variants(kind).items():
            message = msgspec.convert(values, kind)
            assert said(message) == plain(values)
            add(name, message)
        # Of an older agent, without the fields that have a default; of a newer one, with a field more.
        full, short = variants(kind)["full"], Filler(short=True).struct(kind, True)
        if short != full:
            add("short", msgspec.convert(short, kind), msgspec.msgpack.encode(short))
        add("longer", msgspec.convert(full, kind), msgspec.msgpack.encode([*full, "unknown"]))
    return made


def envelopes(kinds) -> list[dict]:
    cases = [
        (kind.__struct_config__.tag, "agent-1", 11, "10.0.0.1:7000", 1_700_000_000_123, kind)
        for kind in kinds
    ]
    cases.append(("least", "a", 0, "", 0, kinds[0]))
    cases.append(("most", "ä" * 200, LONGEST_LIFE, "x" * 64, LONGEST_TIME, kinds[0]))
    made = []
    for name, sender, life, address, wall_ms, kind in cases:
        message = msgspec.convert(variants(kind)["full"], kind)
        raw = wire.encode(PACT, sender, life, address, wall_ms, message)
        assert wire.decode(PACT, raw) == (sender, life, address, wall_ms, message)
        made.append(
            {
                "id": name,
                "head": [sender, life, address, wall_ms],
                "tag": kind.__struct_config__.tag,
                "values": said(message),
                "bytes": raw.hex(),
                "frame": wire.framed(raw).hex(),
            }
        )
    return made


# Records


def session() -> Session:
    marks = {}
    numbers = count(1)
    for group in records.GROUPS:
        for certainty in Certainty:
            number = next(numbers)
            mark = Mark(
                f"agent-{number}/{number + 100}/{number + 200}",
                f"key-{number}",
                "du"[number % 2],
                group,
                number + 300,
                tuple((f"zone-{place}", place) for place in range(number % 3)),
                certainty,
                number + 1_700_000_000_400,
                number + 1_700_000_000_500,
                f"workload-{number}",
                {"later": {"number": number, "list": [None, 1.5, b"\x00\xff"]}} if number % 4 == 0 else {},
            )
            marks[mark.by] = mark
    many = tuple((f"zone-{place:02}", place) for place in range(records.MOST_PLACES + 3))
    mark = Mark("agent-x/1/2", "schlüssel", "u", "zone", 5, many, Certainty.SENT, 6, 7, "")
    assert mark.places[0] == records.ELSEWHERE
    marks[mark.by] = mark
    return Session(marks, {"added": [1, {"deep": True}], "other": "text"})


def two_forms() -> bytes:
    """A session whose two forms differ, as after a program of version 1 has added to its own."""
    raw = schema.encode("s", session(), 1, "move")
    text = msgspec.msgpack.decode(raw)
    text["marks"] = text["marks"][:4]
    text["marks"][0]["certainty"] = int(Certainty.ANSWERED)
    text["marks"].append({**text["marks"][0], "by": "agent-y/3/4", "group": "cell", "window_ms": 9})
    return records.encoder.encode(text)


def stored() -> list[tuple[str, str, object]]:
    full = session()
    counts = {
        (f"agent-{agent}", agent + 10, period): 100 * agent + period for agent in (1, 2) for period in (7, 8)
    }
    parts = {"agent-1/11": (9, 2.5, 3.25), "agent-2/12": (10, 4.0, 1e9)}
    return [
        ("session.full", "s", full),
        ("session.beyond", "s", Session(full.marks, {"later": {"b": 1, "a": [2]}}, 3)),
        ("session.empty", "s", Session()),
        ("session.forms", "s", two_forms()),
        ("use.full", "u", Use(counts, parts, {"added": {"b": [1], "a": None}})),
        ("use.beyond", "u", Use(counts, parts, {"later": "text"}, 4)),
        ("use.counts", "u", Use(counts)),
        ("use.empty", "u", Use()),
    ]


def states() -> list[tuple[int, str]]:
    return [(1, phase) for phase in schema.PHASES] + [(2, "steady")]


def stored_samples() -> dict:
    """Each record as it is written in each state of the fleet by a program that knows version 1 or 2; read by
    either, and written again by that one in each state. Bytes that are equal are there once."""
    texts, made = {}, []

    def place(raw: bytes) -> int:
        return texts.setdefault(raw.hex(), len(texts))

    def add(name, kind, raw):
        read = {}
        for knows in schema.VERSIONS:
            record = schema.decode(kind, raw, knows)
            again = [[*state, place(schema.encode(kind, record, *state, knows))] for state in states()]
            read[str(knows)] = {"digest": records.digest(record).hex(), "again": again}
        made.append({"id": name, "kind": kind, "bytes": place(raw), "read": read})

    for name, kind, record in stored():
        if isinstance(record, bytes):
            add(name, kind, record)
            continue
        for written, phase in states():
            for knows in schema.VERSIONS:
                raw = schema.encode(kind, record, written, phase, knows)
                add(f"{name}-{written}-{phase}-knows{knows}", kind, raw)
    return {
        "texts": list(texts),
        "records": made,
        "binding": binding(schema.encode("s", session(), 1, "steady")),
    }


def binding(raw: bytes) -> dict:
    """Of a stored session: request key, number stored as certainty, whether the mark binds a repeat."""
    record = schema.decode("s", raw)
    wall_ms = 1_700_000_000_000
    marks = sorted(record.marks.values(), key=lambda mark: mark.key)
    cases = [
        [mark.key, int(mark.certainty), bool(record.open_marks(mark.key, wall_ms))]
        for mark in marks
        if mark.until_ms > wall_ms
    ]
    assert [binds for _, _, binds in cases] == [certainty != 2 for _, certainty, _ in cases]
    return {"bytes": raw.hex(), "wall_ms": wall_ms, "cases": cases}


# Placement


def placement() -> dict:
    names = ["", "a", "session-1", "größe", "\u6771\u4eac", "odd-\udcff", "x" * 200]
    keys = [records.session_key(name) for name in names] + [records.use_key(name) for name in names[:4]]
    keys += [f"s/{number:032x}" for number in range(40)]
    seats = [ring.Seat(f"agent-{at}", f"zone-{at % 3}", 1.0 + at / 4) for at in range(7)]
    rings = [
        ring.Ring(1, (seats[0],), 1, "steady", 1_700_000_000_000),
        ring.Ring(5, tuple(seats[:5]), 1, "move", 1_700_000_000_001),
        ring.Ring(
            6,
            tuple([*seats[1:4], ring.Seat("agent-4", "zone-9", 3.5), *seats[5:]]),
            1,
            "narrow",
            1_700_000_000_001,
        ),
        ring.Ring(77, tuple(seats), 2, "steady", 1_700_000_000_002),
    ]
    taken = ring.step(rings[1], rings[2])
    assert ring.stepped(rings[1], taken) == rings[2]
    return {
        "session_keys": [[name, records.session_key(name)] for name in names],
        "use_keys": [[name, records.use_key(name)] for name in names],
        "ranges": [[key, ranges.range_of(key)] for key in keys],
        "rings": [
            {
                "id": f"epoch{each.epoch}",
                "values": said(each),
                "digest": each.digest.hex(),
                "owners": [
                    [key, [list(ring.owners(each, ranges.raw_of(key), n)) for n in (1, 2, 3)]] for key in keys
                ],
            }
            for each in rings
        ],
        "step": {"from": said(rings[1]), "values": said(taken), "to": said(rings[2])},
    }


def dumped(value, depth=0) -> str:
    """JSON with a line for each sample."""
    if isinstance(value, dict) and depth < 2:
        lines = [f"{json.dumps(name)}: {dumped(each, depth + 1)}" for name, each in value.items()]
        return "{\n" + ",\n".join(lines) + "\n}"
    if isinstance(value, list) and depth < 3:
        return "[\n" + ",\n".join(json.dumps(each) for each in value) + "\n]"
    return json.dumps(value)


def main():
    if FILE.exists():
        sys.exit(f"{FILE.name} is there already; samples of one version are never made anew")
    kinds = get_args(wire.tongue().type)
    made = {
        "fleet": {**FLEET, "key": FLEET["key"].hex()},
        "messages": messages(kinds),
        "envelopes": envelopes(kinds),
        "stored": stored_samples(),
        "placement": placement(),
    }
    FILE.write_text(dumped(made) + "\n")


if __name__ == "__main__":
    main()
