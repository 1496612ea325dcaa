"""The layout of the bench's frames: header, fixed-size records, shared tail."""

from collections.abc import Iterator
from struct import Struct

from cartdeal.balancer_types import ListedServer, Outcome, ServerState

HEADER = Struct("<IIQI")
REPLY_HEADER = Struct("<III")
EVENT_SIZE = 40
ACTION_SIZE = 24

LAUNCH = Struct("<xHQII")
HEAD_RECEIVED = Struct("<xHI6sIH")
INBOUND = Struct("<xHIHIQQIB")
PEER = Struct("<xHHII")
TABLE = Struct("<xBII")
PING_RESULT = Struct("<xH6sBIB4f")
ENDED = Struct("<xHI6sBIHBB4f")
ROSTER_CHANGE = Struct("<xHQBB")
ABANDONED = Struct("<xHI")
ELAPSED = Struct("<xHQ")
STOP = Struct("<xH")
ENTRY = Struct("<6sBHHBfQ")

DISPATCH = Struct("<BHI6sQ3x")
BUSY = Struct("<BHII13x")
ABORT = Struct("<BHI17x")
WITHDRAW = Struct("<BHIH15x")
TIMER = Struct("<BHQI9x")
POLL = Struct("<BH6s15x")
TEXT = Struct("<BHII13x")
LISTEN = Struct("<BHB20x")
LET_GO = POLL
SAY = Struct("<BHHII11x")
GET_LIST = Struct("<BH21x")

OUTCOMES = {
    0: Outcome.COMPLETED,
    13: Outcome.ERROR,
    8: Outcome.FULL,
    4: Outcome.TIMED_OUT,
    14: Outcome.NOT_CONNECTED,
    10: Outcome.RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NEVER_SENT,
}
STATES = {0: ServerState.DRAINING, 1: ServerState.GONE, 2: ServerState.READY}


class Malformed(Exception):
    """The bytes don't follow the wire page."""


def frames(source) -> Iterator[tuple[float, int, int, bytes]]:
    """Yields clock, batch index, record count and body of each batch until the input ends."""
    while head := source.read(HEADER.size):
        if len(head) < HEADER.size:
            raise Malformed(f"the input ends inside a batch header, after {len(head)} bytes")
        count, length, clock, index = HEADER.unpack(head)
        if length < count * EVENT_SIZE:
            raise Malformed(f"batch {index}: {count} records don't fit into {length} bytes")
        body = source.read(length)
        if len(body) < length:
            raise Malformed(f"batch {index}: the input ends after {len(body)} of {length} bytes")
        yield clock, index, count, body


def cut(body: bytes, tail: int, offset: int, size: int) -> bytes:
    start = tail + offset
    if start + size > len(body):
        raise Malformed(f"a field of {size} bytes at {offset} lies outside the tail")
    return body[start : start + size]


def known(names: dict, code: int, what: str):
    if code not in names:
        raise Malformed(f"{what} {code} is unknown")
    return names[code]


def entries(body: bytes, tail: int, offset: int, count: int) -> list[ListedServer]:
    """The lines of a server list; the small index of each is still to be given."""
    lines = ENTRY.iter_unpack(cut(body, tail, offset, count * ENTRY.size))
    return [
        ListedServer(-1, name, zone, model, cell, known(STATES, state, "availability"), weight, started / 1e6)
        for name, zone, model, cell, state, weight, started in lines
    ]
