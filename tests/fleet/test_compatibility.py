"""What the fleet sends and stores, held to samples in bytes (tests/data/fleet_samples.json).

The samples were written by the code as it was before the fleet's names were changed; how, says
tests/data/make_fleet_samples.py. They are what other agents and stored data contain: a sample that doesn't
fit any more means that they can't be read, or can't read us. This file knows messages by tag and position
alone; what it takes from the fleet's modules is imported and named in the next lines, and nowhere else.

As it goes by position, it doesn't see two fields of one type that change places in a message, since both ends
would then agree; against older agents they wouldn't. A message's fields keep their order.
"""

import json
from pathlib import Path
from typing import get_args

import msgspec
import pytest

from cartdeal.fleet.codec import FrameReader, encode_message, frame_message, message_decoder
from cartdeal.fleet.codec import decode as decode_envelope
from cartdeal.fleet.codec import encode as encode_envelope
from cartdeal.fleet.errors import FleetError as Refusal
from cartdeal.fleet.replication.catch_up import key_bytes, range_of
from cartdeal.fleet.replication.record_codec import decode as decode_record
from cartdeal.fleet.replication.record_codec import encode as encode_record
from cartdeal.fleet.replication.records import digest as record_digest
from cartdeal.fleet.replication.records import session_key, usage_key
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.ring.steps import RingStep, apply_step
from cartdeal.fleet.settings import FleetSettings as Settings


def settings(fleet: str, name: str, key: bytes):
    return Settings(fleet=fleet, name=name, key=key)


def ring_digest(ring: Ring) -> bytes:
    return ring.digest


def by_datagram(message) -> bool:
    return message.DATAGRAM


def binds_a_repeat(record, key: str, wall_ms: int) -> bool:
    return bool(record.open_attempts(key, wall_ms))


# Nothing below names a type, field or module of the fleet.

SAMPLES = json.loads((Path(__file__).parent.parent / "data" / "fleet_samples.json").read_text())
MESSAGES, ENVELOPES, PLACEMENT = SAMPLES["messages"], SAMPLES["envelopes"], SAMPLES["placement"]
TEXTS = [bytes.fromhex(text) for text in SAMPLES["stored"]["texts"]]
RECORDS = SAMPLES["stored"]["records"]
OURS = settings(SAMPLES["fleet"]["fleet"], SAMPLES["fleet"]["name"], bytes.fromhex(SAMPLES["fleet"]["key"]))


def each_of(samples):
    return pytest.mark.parametrize("sample", samples, ids=[sample["id"] for sample in samples])


def plain(value):
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def text_of(value) -> str:
    """Positional values with their types: 1, 1.0 and true differ in it."""
    return json.dumps(plain(msgspec.to_builtins(value, builtin_types=(bytes,))))


def restored(value):
    """Positional values as they were before they became JSON."""
    if isinstance(value, list):
        return [restored(each) for each in value]
    return bytes.fromhex(value["hex"]) if isinstance(value, dict) else value


def tag_of(message) -> str:
    return type(message).__struct_config__.tag


# Messages


def test_each_message_of_the_decoder_has_samples():
    tags = [kind.__struct_config__.tag for kind in get_args(message_decoder().type)]
    assert len(tags) == len(set(tags))
    assert {sample["tag"] for sample in MESSAGES} == set(tags)
    assert {sample["tag"] for sample in ENVELOPES} == set(tags)


@each_of(MESSAGES)
def test_message(sample):
    raw = bytes.fromhex(sample["bytes"])
    message = message_decoder().decode(raw)
    assert tag_of(message) == sample["tag"]
    assert text_of(message) == json.dumps(sample["values"])
    assert by_datagram(message) is sample["datagram"]
    assert encode_message(message).hex() == sample.get("again", sample["bytes"])


# Envelopes and frames


@each_of(ENVELOPES)
def test_envelope(sample):
    raw = bytes.fromhex(sample["bytes"])
    *head, message = decode_envelope(OURS, raw)
    assert head == sample["head"]
    assert tag_of(message) == sample["tag"]
    assert text_of(message) == json.dumps(sample["values"])
    assert encode_envelope(OURS, *head, message) == raw


@each_of(ENVELOPES)
def test_frame(sample):
    raw, frame = bytes.fromhex(sample["bytes"]), bytes.fromhex(sample["frame"])
    assert frame_message(raw) == frame
    assert FrameReader().feed(frame) == [raw]


@pytest.mark.parametrize("size", [1, 7, 1 << 20])
def test_stream_of_frames(size):
    stream = b"".join(bytes.fromhex(sample["frame"]) for sample in ENVELOPES)
    reader, found = FrameReader(), []
    for at in range(0, len(stream), size):
        found += reader.feed(stream[at : at + size])
    assert found == [bytes.fromhex(sample["bytes"]) for sample in ENVELOPES]


@each_of(ENVELOPES)
def test_truncated_envelope_is_refused(sample):
    raw = bytes.fromhex(sample["bytes"])
    for size in range(len(raw)):
        with pytest.raises(Refusal):
            decode_envelope(OURS, raw[:size])


@each_of(ENVELOPES)
def test_envelope_with_a_flipped_bit_is_refused(sample):
    raw = bytes.fromhex(sample["bytes"])
    for bit in range(8 * len(raw)):
        wrong = bytearray(raw)
        wrong[bit // 8] ^= 1 << bit % 8
        with pytest.raises(Refusal):
            decode_envelope(OURS, bytes(wrong))


@each_of(ENVELOPES)
def test_envelope_of_another_key_or_fleet_is_refused(sample):
    raw, fleet = bytes.fromhex(sample["bytes"]), SAMPLES["fleet"]
    for other in (
        settings(fleet["fleet"], "a", b"k" * 32),
        settings("other", "a", bytes.fromhex(fleet["key"])),
    ):
        with pytest.raises(Refusal):
            decode_envelope(other, raw)


# Stored records


@each_of(RECORDS)
def test_record(sample):
    for knows, read in sample["read"].items():
        record = decode_record(sample["kind"], TEXTS[sample["bytes"]], int(knows))
        assert record_digest(record).hex() == read["digest"]
        for written, phase, text in read["again"]:
            raw = encode_record(sample["kind"], record, written, phase, int(knows))
            assert raw == TEXTS[text], (written, phase, knows)


def test_each_record_is_written_again_as_it_was():
    """In the state in which a record was written, the program that wrote it writes the same bytes again."""
    found = 0
    for sample in RECORDS:
        _, *state = sample["id"].split("-")
        if state:
            written, phase, knows = state
            again = sample["read"][knows.removeprefix("knows")]["again"]
            assert [int(written), phase, sample["bytes"]] in again
            found += 1
    assert found >= 2 * 5 * 2


def test_what_is_stored_binds_repeats_as_before():
    """A number stored as certainty keeps its meaning."""
    sample = SAMPLES["stored"]["binding"]
    record = decode_record("s", bytes.fromhex(sample["bytes"]))
    assert {certainty for _, certainty, _ in sample["cases"]} == {0, 1, 2, 3}
    for key, certainty, binds in sample["cases"]:
        assert binds_a_repeat(record, key, sample["wall_ms"]) is binds, (key, certainty)


# Placement


def test_keys():
    for name, key in PLACEMENT["session_keys"]:
        assert session_key(name) == key
    for name, key in PLACEMENT["use_keys"]:
        assert usage_key(name) == key
    for key, place in PLACEMENT["ranges"]:
        assert range_of(key) == place


@each_of(PLACEMENT["rings"])
def test_ring(sample):
    ring = msgspec.convert(sample["values"], Ring)
    assert text_of(ring) == json.dumps(sample["values"])
    assert ring_digest(ring).hex() == sample["digest"]
    for key, by_number in sample["owners"]:
        for number, names in enumerate(by_number, 1):
            assert list(owners(ring, key_bytes(key), number)) == names, key


def test_step_between_rings():
    sample = PLACEMENT["step"]
    ring = apply_step(
        msgspec.convert(sample["from"], Ring), msgspec.convert(restored(sample["values"]), RingStep)
    )
    assert text_of(ring) == json.dumps(sample["to"])
