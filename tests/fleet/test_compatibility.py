"""Compares the bytes that the fleet sends and stores with samples (tests/data/fleet_samples.json).

tests/data/make_fleet_samples.py wrote the samples with the code from before the fleet's names were changed.
Other agents and stored data contain such bytes: if a sample no longer matches, this program can't read theirs
or they can't read this program's. This file identifies messages only by tag and position; it uses only the
fleet's names that the next lines import or wrap.

Because of that, the tests don't notice if two fields of the same type change places in a message: both ends
of this program agree, but older agents don't. The fields of a message therefore must keep their order.
"""

import json
from pathlib import Path
from typing import get_args

import msgspec
import pytest

from cartdeal.fleet.codec import FrameReader, encode_message, frame_message, message_decoder
from cartdeal.fleet.codec import decode as decode_envelope
from cartdeal.fleet.codec import encode as encode_envelope
from cartdeal.fleet.errors import FleetError as DecodingError
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


def is_sent_by_datagram(message) -> bool:
    return message.DATAGRAM


def restricts_a_repeat(record, key: str, wall_ms: int) -> bool:
    return bool(record.open_attempts(key, wall_ms))


# The code below names no type, field or module of the fleet.

SAMPLES = json.loads((Path(__file__).parent.parent / "data" / "fleet_samples.json").read_text())
MESSAGES, ENVELOPES, PLACEMENT = SAMPLES["messages"], SAMPLES["envelopes"], SAMPLES["placement"]
STORED_BYTES = [bytes.fromhex(text) for text in SAMPLES["stored"]["texts"]]
RECORDS = SAMPLES["stored"]["records"]
OWN_SETTINGS = settings(
    SAMPLES["fleet"]["fleet"], SAMPLES["fleet"]["name"], bytes.fromhex(SAMPLES["fleet"]["key"])
)


def each_of(samples):
    return pytest.mark.parametrize("sample", samples, ids=[sample["id"] for sample in samples])


def to_json(value):
    if isinstance(value, list | tuple):
        return [to_json(each) for each in value]
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def json_of(value) -> str:
    """A value's fields by position, as JSON, in which 1, 1.0 and true differ."""
    return json.dumps(to_json(msgspec.to_builtins(value, builtin_types=(bytes,))))


def from_json(value):
    """Positional values from their JSON form, with {"hex": ...} as bytes."""
    if isinstance(value, list):
        return [from_json(each) for each in value]
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
def test_message_decodes_to_its_sample_and_back(sample):
    raw = bytes.fromhex(sample["bytes"])
    message = message_decoder().decode(raw)
    assert tag_of(message) == sample["tag"]
    assert json_of(message) == json.dumps(sample["values"])
    assert is_sent_by_datagram(message) is sample["datagram"]
    assert encode_message(message).hex() == sample.get("again", sample["bytes"])


# Envelopes and frames


@each_of(ENVELOPES)
def test_envelope_decodes_to_its_sample_and_back(sample):
    raw = bytes.fromhex(sample["bytes"])
    *head, message = decode_envelope(OWN_SETTINGS, raw)
    assert head == sample["head"]
    assert tag_of(message) == sample["tag"]
    assert json_of(message) == json.dumps(sample["values"])
    assert encode_envelope(OWN_SETTINGS, *head, message) == raw


@each_of(ENVELOPES)
def test_frame_decodes_to_its_sample_and_back(sample):
    raw, frame = bytes.fromhex(sample["bytes"]), bytes.fromhex(sample["frame"])
    assert frame_message(raw) == frame
    assert FrameReader().feed(frame) == [raw]


@pytest.mark.parametrize("size", [1, 7, 1 << 20])
def test_stream_in_chunks_of_any_size_yields_all_frames(size):
    stream = b"".join(bytes.fromhex(sample["frame"]) for sample in ENVELOPES)
    reader, frames = FrameReader(), []
    for position in range(0, len(stream), size):
        frames += reader.feed(stream[position : position + size])
    assert frames == [bytes.fromhex(sample["bytes"]) for sample in ENVELOPES]


@each_of(ENVELOPES)
def test_truncated_envelope_is_refused(sample):
    raw = bytes.fromhex(sample["bytes"])
    for size in range(len(raw)):
        with pytest.raises(DecodingError):
            decode_envelope(OWN_SETTINGS, raw[:size])


@each_of(ENVELOPES)
def test_envelope_with_a_flipped_bit_is_refused(sample):
    raw = bytes.fromhex(sample["bytes"])
    for bit in range(8 * len(raw)):
        corrupted = bytearray(raw)
        corrupted[bit // 8] ^= 1 << bit % 8
        with pytest.raises(DecodingError):
            decode_envelope(OWN_SETTINGS, bytes(corrupted))


@each_of(ENVELOPES)
def test_envelope_of_another_key_or_fleet_is_refused(sample):
    raw, fleet = bytes.fromhex(sample["bytes"]), SAMPLES["fleet"]
    for other in (
        settings(fleet["fleet"], "a", b"k" * 32),
        settings("other", "a", bytes.fromhex(fleet["key"])),
    ):
        with pytest.raises(DecodingError):
            decode_envelope(other, raw)


# Stored records


@each_of(RECORDS)
def test_record_decodes_and_rewrites_as_its_sample(sample):
    for supported, expected in sample["read"].items():
        record = decode_record(sample["kind"], STORED_BYTES[sample["bytes"]], int(supported))
        assert record_digest(record).hex() == expected["digest"]
        for written, phase, index in expected["again"]:
            raw = encode_record(sample["kind"], record, written, phase, int(supported))
            assert raw == STORED_BYTES[index], (written, phase, supported)


def test_each_record_is_rewritten_to_the_same_bytes():
    """A program that reads a record writes the same bytes again in the same schema version and phase."""
    match_count = 0
    for sample in RECORDS:
        _, *writer = sample["id"].split("-")
        if writer:
            written, phase, supported = writer
            rewritten = sample["read"][supported.removeprefix("knows")]["again"]
            assert [int(written), phase, sample["bytes"]] in rewritten
            match_count += 1
    assert match_count >= 2 * 5 * 2


def test_stored_attempts_restrict_repeats_as_before():
    """Each number that is stored as a certainty keeps its meaning."""
    sample = SAMPLES["stored"]["binding"]
    record = decode_record("s", bytes.fromhex(sample["bytes"]))
    assert {certainty for _, certainty, _ in sample["cases"]} == {0, 1, 2, 3}
    for key, certainty, expected in sample["cases"]:
        assert restricts_a_repeat(record, key, sample["wall_ms"]) is expected, (key, certainty)


# Placement


def test_keys_and_ranges_match_their_samples():
    for name, key in PLACEMENT["session_keys"]:
        assert session_key(name) == key
    for name, key in PLACEMENT["use_keys"]:
        assert usage_key(name) == key
    for key, range_index in PLACEMENT["ranges"]:
        assert range_of(key) == range_index


@each_of(PLACEMENT["rings"])
def test_ring_places_keys_as_its_sample(sample):
    ring = msgspec.convert(sample["values"], Ring)
    assert json_of(ring) == json.dumps(sample["values"])
    assert ring_digest(ring).hex() == sample["digest"]
    for key, names_by_copies in sample["owners"]:
        for copies, names in enumerate(names_by_copies, 1):
            assert list(owners(ring, key_bytes(key), copies)) == names, key


def test_step_between_rings_matches_its_sample():
    sample = PLACEMENT["step"]
    ring = apply_step(
        msgspec.convert(sample["from"], Ring), msgspec.convert(from_json(sample["values"]), RingStep)
    )
    assert json_of(ring) == json.dumps(sample["to"])
