"""The agent's log: what is written of it, and how, so that no log can hold the agent up or end it.

The agent has one thread. A write to a pipe that nobody reads would block all of it, so a line goes only where
it can be written at once; those that can't are counted, and the count is told once the log takes lines again.
A full disk and a reader that has gone lose lines, too, and nothing else.
"""

import logging
import os
import select
from math import inf
from time import monotonic

from logfmter import Logfmter

MAX_LINES_PER_SECOND = 20  # of one kind
MAX_LINE_BYTES = select.PIPE_BUF  # of a line: a pipe that poll says is writable takes so many at once
OMISSION_MARK = b" ... "  # in place of the middle of a longer one, such as a long traceback

STANDARD_ERROR = 2


def reserve_standard_descriptors():
    """Opens those of 0 to 2 that are closed: a connection that had one of them would be written the log."""
    for number in range(STANDARD_ERROR + 1):
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # the lowest number that is free


class RateLimitFilter(logging.Filter):
    """What a peer does at full speed must not be logged at full speed. How many were left out is told later.

    Kinds are the messages in the code, so there are few of them. Seconds are counted on the monotonic clock:
    the wall clock, by which records are stamped, may be stepped back.
    """

    def __init__(self):
        super().__init__()
        self.kinds: dict[tuple, list] = {}  # since when, how many lines, how many left out

    def filter(self, record) -> bool:
        kind = self.kinds.setdefault((record.name, record.msg), [-inf, 0, 0])
        now = monotonic()
        if now >= kind[0] + 1.0:
            kind[:2] = now, 0
        kind[1] += 1
        if kind[1] > MAX_LINES_PER_SECOND:
            kind[2] += 1
            return False
        if kind[2]:
            record.left_out, kind[2] = kind[2], 0
        return True


class NonBlockingHandler(logging.Handler):
    """Writes a line where the descriptor takes it at once, and drops it where not."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.lost = 0  # lines since one was written
        self.is_mid_line = False  # whether the end of the last line did not go out

    def emit(self, record: logging.LogRecord):
        if self.lost:
            record.lines_lost = self.lost
        try:
            line = shorten(self.format(record).encode(errors="replace"), MAX_LINE_BYTES - 2)
        except Exception:
            return self.handleError(record)
        self.write(b"\n" * self.is_mid_line + line + b"\n")

    def write(self, text: bytes):
        try:
            written = os.write(self.descriptor, text) if self.is_writable() else 0
        except OSError:
            written = 0
        if not written:
            self.lost += 1
            return
        self.lost = 0
        self.is_mid_line = written < len(text)

    def is_writable(self) -> bool:
        look = select.poll()
        look.register(self.descriptor, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in look.poll(0))


def shorten(line: bytes, most: int) -> bytes:
    """The line, or its two ends where it is longer than `most` bytes."""
    if len(line) <= most:
        return line
    end = (most - len(OMISSION_MARK)) // 2
    return line[:end] + OMISSION_MARK + line[-end:]


def configure():
    """Has all of the agent's loggers write to the standard error."""
    handler = NonBlockingHandler(STANDARD_ERROR)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(
        Logfmter(keys=["at", "level", "in"], mapping={"at": "asctime", "level": "levelname", "in": "name"})
    )
    logging.basicConfig(handlers=[handler], level=logging.INFO)
