"""Detects that the agent has stalled: its process was stopped, or the machine gave it no CPU time.

Input that is unread after a stall may have come at any time during it. A heartbeat bounds the time of its
arrival; delays below MIN_STALL_S are treated as the normal load of a busy agent.
"""

from time import monotonic

import gevent

HEARTBEAT_INTERVAL_S = 0.1
MIN_STALL_S = 0.05  # a heartbeat that is later than this shows a stall


class StallDetector:
    """Compares a heartbeat with the monotonic clock. Times are monotonic seconds."""

    def __init__(self):
        self.last_beat_at = monotonic()
        self.listeners = []  # called after a late heartbeat, with the time of the one before it

    def run(self):
        """Records a heartbeat at each interval, forever."""
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            self.beat()

    def beat(self):
        """Records a heartbeat, and calls the listeners if it is late."""
        now, previous_beat_at = monotonic(), self.last_beat_at
        was_late = self.is_late(now)
        self.last_beat_at = now
        if was_late:
            for listener in self.listeners:
                listener(previous_beat_at)

    def is_late(self, now: float) -> bool:
        """Whether the next heartbeat is overdue by more than MIN_STALL_S."""
        return now > self.last_beat_at + HEARTBEAT_INTERVAL_S + MIN_STALL_S

    def earliest_arrival(self, now: float) -> float:
        """The earliest time at which input that is read now may have arrived.

        A stall counts until the late heartbeat reports it to the listeners.
        """
        return self.last_beat_at if self.is_late(now) else now
