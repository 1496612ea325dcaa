"""Notices that the agent was held up: stopped, or given no time by its machine.

What it reads right after may have come at any time since. A heartbeat tells how long that may have been;
delays of less than NOTICED are not told from an agent at work.
"""

from math import inf
from time import monotonic

import gevent

HEARTBEAT = 0.1  # seconds
NOTICED = 0.05  # seconds by which a heartbeat is late from which on the agent was held up
SETTLES = 0.05  # seconds after that in which what lay unread is still being read


class StallDetector:
    """Times are seconds of the monotonic clock."""

    def __init__(self):
        self.beat_at = monotonic()
        self.held_up_since = self.beat_at  # before the last heartbeat that was late
        self.settled_at = -inf

    def run(self):
        while True:
            gevent.sleep(HEARTBEAT)
            self.beat()

    def beat(self):
        now = monotonic()
        if self.is_late(now):
            self.held_up_since = self.beat_at
            self.settled_at = now + SETTLES
        self.beat_at = now

    def is_late(self, now: float) -> bool:
        return now > self.beat_at + HEARTBEAT + NOTICED

    def came_since(self, now: float) -> float:
        """The earliest time at which what is read now may have come."""
        if self.is_late(now):
            return self.beat_at
        return self.held_up_since if now < self.settled_at else now
