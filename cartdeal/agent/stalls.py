"""Notices that the agent was held up: stopped, or given no time by its machine.

What lies unread after that may have come at any time since. A heartbeat tells how long that may have been;
delays of less than MIN_STALL_S are not told from an agent at work.
"""

from time import monotonic

import gevent

HEARTBEAT_INTERVAL_S = 0.1  # seconds
MIN_STALL_S = 0.05  # seconds by which a heartbeat is late from which on the agent was held up


class StallDetector:
    """Times are seconds of the monotonic clock."""

    def __init__(self):
        self.last_beat_at = monotonic()
        self.listeners = []  # called with the time of the last heartbeat before the one that is late

    def run(self):
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            self.beat()

    def beat(self):
        now, before = monotonic(), self.last_beat_at
        was_late = self.is_late(now)
        self.last_beat_at = now
        if was_late:
            for listener in self.listeners:
                listener(before)

    def is_late(self, now: float) -> bool:
        return now > self.last_beat_at + HEARTBEAT_INTERVAL_S + MIN_STALL_S

    def earliest_arrival(self, now: float) -> float:
        """The earliest time at which what is read now may have come, as far as no listener was told yet."""
        return self.last_beat_at if self.is_late(now) else now
