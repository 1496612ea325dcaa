"""The adapter for the simulator: its binary protocol, several instances in one process, malformed input."""

import json
import os
import struct
import subprocess
import sys

import pytest

from cartdeal.benchlink.loop import Reply, SimulatedHost

COMMAND = [sys.executable, "-m", "cartdeal.benchlink"]
SETTINGS = {
    "az": 0,
    "areas": ["x", "y"],
    "groupSize": 2,
    "discovery": "on_request",
    "novel": [1],
    "myNumber": 0,
    "workloads": [{"idempotency": "odd", "goalTimeUs": 500000, "importance": 1.0}],
    "caps": {"probes": True, "maxShots": 3},
    "rules": {"askEveryUs": 9000000},
}


def pad(data):
    """A record with the zeros that give it its fixed size of 40 bytes."""
    return data.ljust(40, b"\0")


def frame(index, records, tail=b""):
    """A batch with this index; batches are 5 ms apart."""
    body = b"".join(pad(record) for record in records) + tail
    return struct.pack("<IIQI", len(records), len(body), 1_000_000 + index * 5000, index) + body


def launch(instance):
    """The records and the tail that launch an instance and send it a list of six servers."""
    settings = json.dumps(SETTINGS).encode()
    servers = [struct.pack("<6sBHHBfQ", bytes([10, 0, 0, n, 1, 2]), n % 2, 0, 0, 2, 1.0, 0) for n in range(6)]
    return [
        struct.pack("<BHQII", 16, instance, instance + 5, 0, len(settings)),
        struct.pack("<BBII", 20, 3, len(settings), len(servers)),
        struct.pack("<BHQBB", 23, instance, 1, 1, 3),
    ], settings + b"".join(servers)


def inbound(instance, number):
    """The record of a client's request with a timeout of 3 s."""
    return struct.pack("<BHIHIQQIB", 18, instance, number, 0, 0, number * 7919, 3_000_000, 0, 0)


def run(data, seed="0"):
    """Runs the adapter on the data, with a seed for Python's hashes."""
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return subprocess.run(COMMAND, input=data, capture_output=True, env=env)


def actions(reply):
    """The records of all frames, which have no tails, as pairs (instance, bytes)."""
    records, position = [], 0
    while position < len(reply):
        _, count, _ = struct.unpack_from("<III", reply, position)
        records += [reply[position + 12 + 24 * n : position + 36 + 24 * n] for n in range(count)]
        position += 12 + 24 * count
    return [(struct.unpack_from("<H", record, 1)[0], record) for record in records]


def event_sequence(instances):
    """Launches the instances, then sends each a request and the result of a probe, 40 times."""
    data = b"".join(frame(n, *launch(instance)) for n, instance in enumerate(instances))
    for step in range(40):
        name = bytes([10, 0, 0, step % 6, 1, 2])
        data += frame(
            10 + step,
            [inbound(i, 100 * i + step) for i in instances]
            + [struct.pack("<BH6sBIB4f", 21, i, name, 0, 1000, 0, 0, 0, 0, 0) for i in instances],
        )
    return data


def test_same_events_give_the_same_bytes_in_any_split_and_hash_seed():
    together, apart = run(event_sequence([1, 2]), "1"), [run(event_sequence([i]), "2") for i in (1, 2)]
    assert together.returncode == 0 and not together.stderr
    for instance, alone in zip((1, 2), apart, strict=True):
        own_records = [record for addressee, record in actions(together.stdout) if addressee == instance]
        assert own_records == [record for _, record in actions(alone.stdout)]
        assert len(own_records) > 10


def test_restart_within_a_batch_ignores_stale_timers_and_outcomes():
    records, tail = launch(1)
    attempt_ended = struct.pack(
        "<BHI6sBIHBB4f", 22, 1, 77, bytes([10, 9, 9, 9, 1, 2]), 4, 900, 0, 0, 0, *[0.0] * 4
    )
    probe_ended = struct.pack("<BH6sBIB4f", 21, 1, bytes([10, 9, 9, 9, 1, 2]), 0, 900, 0, *[0.0] * 4)
    stop, timer = struct.pack("<BH", 26, 1), struct.pack("<BHQ", 25, 1, 99)
    restart = frame(1, [stop, *records, timer, attempt_ended, probe_ended], tail)
    result = run(frame(0, records, tail) + frame(2, [inbound(1, 77)]) + restart)
    assert result.returncode == 0 and b"Error" not in result.stdout


@pytest.mark.parametrize(
    "data, message",
    [
        (b"\1\0\0", "ends inside a batch header"),
        (frame(0, [b"\x10"])[:-1], "ends after 39 of 40"),
        (struct.pack("<IIQI", 2, 40, 0, 5) + bytes(40), "don't fit"),
        (frame(0, [b"\x63"]), "event code 99 is unknown"),
        (frame(0, [struct.pack("<BH", 24, 4)]), "never launched"),
        (frame(0, [struct.pack("<BHQII", 16, 1, 5, 0, 50)]), "outside the tail"),
        (frame(0, [struct.pack("<BHQII", 16, 1, 5, 0, 1)], b"["), "can't be read"),
        (frame(0, *launch(1)) + frame(1, [struct.pack("<BHQBB", 23, 1, 1, 9, 3)]), "a list change of kind 9"),
    ],
)
def test_malformed_input_ends_with_one_line_and_status_2(data, message):
    result = run(data)
    assert result.returncode == 2
    assert message in result.stderr.decode() and result.stderr.count(b"\n") == 1


def test_actions_are_encoded_as_the_protocol_requires():
    host = SimulatedHost(3, Reply(), 0)
    server = host.server_index(bytes.fromhex("0a124a075b1b"))
    host.send_attempt(0x5D3A91C4, server, 8.494298)
    host.set_timer(77, 0.500000)
    host.log_note("two servers known")
    host.send_peer_message(-1, b"hi 7")
    host.close_idle(server)
    host.fetch_servers()
    host.watch(False)
    reply = host.reply.take_frame(12)
    expected_records = [  # without the zeros at their ends
        "100300c4913a5d0a124a075b1bda9c810000000000",
        "1403004d0000000000000020a10700",
        "1803000000000011000000",
        "170300ffff1100000004000000",
        "1603000a124a075b1b",
        "1b0300",
        "1a030000",
    ]
    assert reply[:12] == struct.pack("<III", 7 * 24 + 21, 7, 12)
    assert [reply[position : position + 24].hex() for position in range(12, 180, 24)] == [
        record.ljust(48, "0") for record in expected_records
    ]
    assert reply[180:] == b"two servers knownhi 7"
    assert run(frame(1, [])).stdout == bytes(8) + b"\1\0\0\0"


def test_exception_in_a_decision_is_reported_as_a_fault():
    unknown_class = struct.pack("<BHIHIQQIB", 18, 1, 5, 40, 0, 0, 3_000_000, 0, 0)
    result = run(frame(0, *launch(1)) + frame(1, [unknown_class]))
    assert b"IndexError" in result.stdout
