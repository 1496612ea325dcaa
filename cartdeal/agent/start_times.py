"""Converts server start times from the wall clock of the server list to the agent's monotonic clock.

The wall clock of the agent or of the server may be wrong by an hour in either direction, so it is never
trusted over what the agent has observed:

- No server started after the list with its entry was read, so no age is negative.
- A start that no earlier list contained happened after the agent last received a discovery response.

A stamp that contradicts either rule counts as a start at the current moment. The server then gets slow start
although it is warm, which costs some of its traffic for the duration of its ramp; too much traffic could
overload a cold server. The offset between the clocks is measured once, at the agent's start. Other servers'
stamps don't correct it, because they may come from a machine with a wrong clock. One case remains uncovered:
the first list that is read by an agent whose clock is ahead.
"""

from math import inf, nextafter
from typing import NamedTuple

LONG_AGO_S = 0.0  # the start time of a server without a stamp
LIST_DELAY_S = 2.0  # a stamp is accepted if its start appears in a list within this delay
MAX_REMOVED_SERVERS = 4096  # their stamps are remembered after they left the list


class Start(NamedTuple):
    """The latest known start of a server."""

    stamp: float
    previous_stamp: float  # the stamp of the start before it, which a delayed list may still contain
    started_at: float


class StartTimes:
    """The start times of servers, in seconds of the agent's monotonic clock.

    A stamp is Unix time in milliseconds; 0 means long ago.
    """

    def __init__(self, now: float, wall_now: float):
        """`now`, `wall_now`: the current times of the monotonic clock and the wall clock, in seconds."""
        self.wall_clock_offset = wall_now - now
        # When discovery last responded. It reported every start up to that time.
        self.last_response_at = -inf
        self.starts: dict[bytes, Start] = {}  # by server name
        self.removed: dict[bytes, Start] = {}  # of servers that left the list, oldest removal first

    def on_discovery_response(self, now: float):
        """Discovery has responded, perhaps without a change."""
        self.last_response_at = now

    def started_at(self, name: bytes, stamp: float, now: float) -> float:
        """Return the start time of a server in the current list. Each new start gets a later time."""
        start = self.starts.get(name) or self.removed.pop(name, None)
        if start is None:
            start = Start(stamp, stamp, self.to_monotonic(stamp, now))
        elif stamp and stamp not in (start.stamp, start.previous_stamp):
            started_at = self.to_monotonic(stamp, now)
            if started_at <= start.started_at:  # a new stamp is a later start, whatever its value
                started_at = max(now, nextafter(start.started_at, inf))
            start = Start(stamp, start.stamp, started_at)
        self.starts[name] = start
        return start.started_at

    def to_monotonic(self, stamp: float, now: float) -> float:
        """Convert a stamp to the agent's clock; return `now` if the stamp can't be right."""
        if not stamp:
            return LONG_AGO_S
        monotonic_start = stamp / 1e3 - self.wall_clock_offset
        if self.last_response_at - LIST_DELAY_S <= monotonic_start <= now:
            return monotonic_start
        return now

    def remove(self, name: bytes):
        """The server left the list. If it returns with the same stamp, it is the same process."""
        start = self.starts.pop(name, None)
        if start is None:
            return
        self.removed[name] = start
        if len(self.removed) > MAX_REMOVED_SERVERS:
            del self.removed[next(iter(self.removed))]
