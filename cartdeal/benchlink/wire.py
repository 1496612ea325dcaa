"""The layout of the simulator's frames: a header, records of a fixed size, and a tail that they share."""

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


class MalformedMessageError(Exception):
    """The input does not follow the simulator's protocol."""


def frames(source) -> Iterator[tuple[float, int, int, bytes]]:
    """Yields the clock, the batch index, the record count and the body of each batch until the input ends.

    Raises:
        MalformedMessageError: the input ends inside a batch, or the records do not fit into its body.
    """
    while head := source.read(HEADER.size):
        if len(head) < HEADER.size:
            raise MalformedMessageError(f"the input ends inside a batch header, after {len(head)} bytes")
        count, length, clock, index = HEADER.unpack(head)
        if length < count * EVENT_SIZE:
            raise MalformedMessageError(f"batch {index}: {count} records don't fit into {length} bytes")
        body = source.read(length)
        if len(body) < length:
            raise MalformedMessageError(f"batch {index}: the input ends after {len(body)} of {length} bytes")
        yield clock, index, count, body


def tail_field(body: bytes, tail: int, offset: int, size: int) -> bytes:
    """The `size` bytes at `offset` in the tail, which begins at `tail` in the body.

    Raises:
        MalformedMessageError: the field does not lie inside the tail.
    """
    start = tail + offset
    if start + size > len(body):
        raise MalformedMessageError(f"a field of {size} bytes at {offset} lies outside the tail")
    return body[start : start + size]


def decode_code(values: dict, code: int, field_name: str):
    """The value that a code of the protocol stands for.

    Raises:
        MalformedMessageError: the code is unknown.
    """
    if code not in values:
        raise MalformedMessageError(f"{field_name} {code} is unknown")
    return values[code]


def server_list(body: bytes, tail: int, offset: int, count: int) -> list[ListedServer]:
    """The lines of a server list. The caller has to replace their server index, which is -1 here."""
    lines = ENTRY.iter_unpack(tail_field(body, tail, offset, count * ENTRY.size))
    return [
        ListedServer(
            -1, name, zone, model, cell, decode_code(STATES, state, "availability"), weight, started / 1e6
        )
        for name, zone, model, cell, state, weight, started in lines
    ]
