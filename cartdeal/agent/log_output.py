"""Log output that can neither block nor end the agent.

The agent has one thread, and a write to a pipe that nobody reads would block all of it. A line is therefore
written only if that is possible at once. Dropped lines are counted, and the count is logged with the next
line that can be written. A full disk or a closed reader loses lines, too, and nothing else.
"""

import logging
import os
import select
from math import inf
from time import monotonic

from logfmter import Logfmter

MAX_LINES_PER_SECOND = 20  # per logger and message
MAX_LINE_BYTES = select.PIPE_BUF  # a pipe that poll reports as writable accepts this many at once
OMISSION_MARK = b" ... "  # replaces the middle of a line that is too long, such as a long traceback

STANDARD_ERROR = 2


def reserve_standard_descriptors():
    """Open the closed descriptors among 0 to 2, so that no connection gets one and receives the log."""
    for number in range(STANDARD_ERROR + 1):
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest free number


class RateLimitFilter(logging.Filter):
    """Limits the lines per second of each message, so that a fast peer can't flood the log.

    The number of suppressed lines is added to the next line that passes. Messages are literals in the code,
    so there are few of them. Seconds are counted on the monotonic clock, because the wall clock, which stamps
    the records, may be stepped back.
    """

    def __init__(self):
        super().__init__()
        # By logger and message: start of the current second, its lines, and the suppressed lines.
        self.message_states: dict[tuple, list] = {}

    def filter(self, record) -> bool:
        """Return whether the record is logged; `left_out` is set on one that follows suppressed lines."""
        state = self.message_states.setdefault((record.name, record.msg), [-inf, 0, 0])
        now = monotonic()
        if now >= state[0] + 1.0:
            state[:2] = now, 0
        state[1] += 1
        if state[1] > MAX_LINES_PER_SECOND:
            state[2] += 1
            return False
        if state[2]:
            record.left_out, state[2] = state[2], 0
        return True


class NonBlockingHandler(logging.Handler):
    """Writes a line if the descriptor accepts it at once, and drops it otherwise."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.lost_lines = 0  # lines dropped since the last one was written
        self.is_mid_line = False  # whether the last line was written only in part

    def emit(self, record: logging.LogRecord):
        """Format and write a record, or count it as lost."""
        if self.lost_lines:
            record.lines_lost = self.lost_lines
        try:
            line = shorten(self.format(record).encode(errors="replace"), MAX_LINE_BYTES - 2)
        except Exception:
            return self.handleError(record)
        self.write(b"\n" * self.is_mid_line + line + b"\n")

    def write(self, data: bytes):
        """Write what the descriptor accepts at once."""
        try:
            written = os.write(self.descriptor, data) if self.is_writable() else 0
        except OSError:
            written = 0
        if not written:
            self.lost_lines += 1
            return
        self.lost_lines = 0
        self.is_mid_line = written < len(data)

    def is_writable(self) -> bool:
        """Whether a write would not block."""
        poller = select.poll()
        poller.register(self.descriptor, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poller.poll(0))


def shorten(line: bytes, max_bytes: int) -> bytes:
    """Return the line, or only its start and end if it is longer than `max_bytes`."""
    if len(line) <= max_bytes:
        return line
    end_bytes = (max_bytes - len(OMISSION_MARK)) // 2
    return line[:end_bytes] + OMISSION_MARK + line[-end_bytes:]


def configure():
    """Make all of the agent's loggers write to standard error."""
    handler = NonBlockingHandler(STANDARD_ERROR)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(
        Logfmter(keys=["at", "level", "in"], mapping={"at": "asctime", "level": "levelname", "in": "name"})
    )
    logging.basicConfig(handlers=[handler], level=logging.INFO)
