import json
import os
import struct
import subprocess
import sys

import pytest

from cartdeal.benchlink.loop import Reply, Seat

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
    return data.ljust(40, b"\0")


def frame(index, records, tail=b""):
    body = b"".join(pad(record) for record in records) + tail
    return struct.pack("<IIQI", len(records), len(body), 1_000_000 + index * 5000, index) + body


def launch(instance):
    info = json.dumps(SETTINGS).encode()
    servers = [struct.pack("<6sBHHBfQ", bytes([10, 0, 0, n, 1, 2]), n % 2, 0, 0, 2, 1.0, 0) for n in range(6)]
    return [
        struct.pack("<BHQII", 16, instance, instance + 5, 0, len(info)),
        struct.pack("<BBII", 20, 3, len(info), len(servers)),
        struct.pack("<BHQBB", 23, instance, 1, 1, 3),
    ], info + b"".join(servers)


def inbound(instance, number):
    return struct.pack("<BHIHIQQIB", 18, instance, number, 0, 0, number * 7919, 3_000_000, 0, 0)


def run(data, seed="0"):
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return subprocess.run(COMMAND, input=data, capture_output=True, env=env)


def actions(reply):
    """Records of all frames as (instance, bytes), without the frames around them."""
    found, at = [], 0
    while at < len(reply):
        _, count, _ = struct.unpack_from("<III", reply, at)
        found += [reply[at + 12 + 24 * n : at + 36 + 24 * n] for n in range(count)]
        at += 12 + 24 * count
    return [(struct.unpack_from("<H", record, 1)[0], record) for record in found]


def story(instances):
    data = b"".join(frame(n, *launch(instance)) for n, instance in enumerate(instances))
    for step in range(40):
        name = bytes([10, 0, 0, step % 6, 1, 2])
        data += frame(
            10 + step,
            [inbound(i, 100 * i + step) for i in instances]
            + [struct.pack("<BH6sBIB4f", 21, i, name, 0, 1000, 0, 0, 0, 0, 0) for i in instances],
        )
    return data


def test_same_events_same_bytes_in_any_split_and_hash_seed():
    together, apart = run(story([1, 2]), "1"), [run(story([i]), "2") for i in (1, 2)]
    assert together.returncode == 0 and not together.stderr
    for instance, alone in zip((1, 2), apart, strict=True):
        mine = [record for who, record in actions(together.stdout) if who == instance]
        assert mine == [record for _, record in actions(alone.stdout)]
        assert len(mine) > 10


def test_restart_in_one_batch_drops_stale_timers_and_outcomes():
    records, tail = launch(1)
    late = struct.pack("<BHI6sBIHBB4f", 22, 1, 77, bytes([10, 9, 9, 9, 1, 2]), 4, 900, 0, 0, 0, *[0.0] * 4)
    probed = struct.pack("<BH6sBIB4f", 21, 1, bytes([10, 9, 9, 9, 1, 2]), 0, 900, 0, *[0.0] * 4)
    stop, timer = struct.pack("<BH", 26, 1), struct.pack("<BHQ", 25, 1, 99)
    again = frame(1, [stop, *records, timer, late, probed], tail)
    done = run(frame(0, records, tail) + frame(2, [inbound(1, 77)]) + again)
    assert done.returncode == 0 and b"Error" not in done.stdout


@pytest.mark.parametrize(
    "data, words",
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
def test_malformed_input_ends_with_one_plain_line(data, words):
    done = run(data)
    assert done.returncode == 2
    assert words in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_actions_are_laid_out_as_the_wire_wants():
    seat = Seat(3, Reply(), 0)
    server = seat.index(bytes.fromhex("0a124a075b1b"))
    seat.send_attempt(0x5D3A91C4, server, 8.494298)
    seat.set_timer(77, 0.500000)
    seat.log_note("two servers known")
    seat.send_peer_message(-1, b"hi 7")
    seat.close_idle(server)
    seat.fetch_servers()
    seat.watch(False)
    reply = seat.reply.framed(12)
    heads = [
        "100300c4913a5d0a124a075b1bda9c810000000000",
        "1403004d0000000000000020a10700",
        "1803000000000011000000",
        "170300ffff1100000004000000",
        "1603000a124a075b1b",
        "1b0300",
        "1a030000",
    ]
    assert reply[:12] == struct.pack("<III", 7 * 24 + 21, 7, 12)
    assert [reply[at : at + 24].hex() for at in range(12, 180, 24)] == [head.ljust(48, "0") for head in heads]
    assert reply[180:] == b"two servers knownhi 7"
    assert run(frame(1, [])).stdout == bytes(8) + b"\1\0\0\0"


def test_broken_decision_is_told_as_a_fault():
    bad = struct.pack("<BHIHIQQIB", 18, 1, 5, 40, 0, 0, 3_000_000, 0, 0)
    done = run(frame(0, *launch(1)) + frame(1, [bad]))
    assert b"IndexError" in done.stdout
