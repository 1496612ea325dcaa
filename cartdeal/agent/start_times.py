"""Maps when servers started, by the wall clock that stamps the server list, to the agent's monotonic clock.

A wall clock may be wrong by an hour, on either side, and is never believed against what the agent has seen:

- no server started after the list that tells of it was read, so no age is negative;
- a start that no earlier list told of happened since the agent last heard from discovery.

A stamp that disagrees with either counts as a start in this moment: the server is then taken for colder than
it is, which costs some of its traffic for the time of its ramp, where the opposite could push it over. The
offset between the clocks is taken once, at the agent's start. It isn't corrected by other servers' stamps, as
these may come of a machine whose clock is wrong. What remains is a first list read by an agent whose clock is
ahead.
"""

from math import inf, nextafter
from typing import NamedTuple

LONG_AGO_S = 0.0  # the time of a start that the list does not stamp
LIST_DELAY_S = 2.0  # seconds from a server's start until lists tell of it, as far as a stamp is believed
MAX_REMOVED_SERVERS = 4096  # servers whose stamp is remembered after they left the list


class Start(NamedTuple):
    """The last start of a server that lists told of."""

    stamp: float
    previous_stamp: float  # of its start before that: a list that is late may still say it
    started_at: float


class StartTimes:
    """When each server started, in seconds of the agent's monotonic clock.

    A stamp is Unix time in milliseconds; 0 means long ago.
    """

    def __init__(self, now: float, wall: float):
        """`now`, `wall`: what the monotonic clock and the wall clock show in this moment, in seconds."""
        self.wall_clock_offset = wall - now
        self.heard_at = -inf  # when discovery last said something: it told of every start there was by then
        self.starts: dict[bytes, Start] = {}  # by server name
        self.removed: dict[bytes, Start] = {}  # of servers that left the list, the longest gone first

    def on_discovery_response(self, now: float):
        """Discovery said something, be it that nothing is new."""
        self.heard_at = now

    def started_at(self, name: bytes, stamp: float, now: float) -> float:
        """When a server of the list that is read now started. Grows with every new start of the server."""
        known = self.starts.get(name) or self.removed.pop(name, None)
        if known is None:
            known = Start(stamp, stamp, self.to_monotonic(stamp, now))
        elif stamp and stamp not in (known.stamp, known.previous_stamp):
            at = self.to_monotonic(stamp, now)
            if at <= known.started_at:  # it is a later start, whatever the stamps say
                at = max(now, nextafter(known.started_at, inf))
            known = Start(stamp, known.stamp, at)
        self.starts[name] = known
        return known.started_at

    def to_monotonic(self, stamp: float, now: float) -> float:
        """The stamp on the agent's clock, or this moment where the stamp can't be right."""
        if not stamp:
            return LONG_AGO_S
        by_wall_clock = stamp / 1e3 - self.wall_clock_offset
        if self.heard_at - LIST_DELAY_S <= by_wall_clock <= now:
            return by_wall_clock
        return now

    def remove(self, name: bytes):
        """The server left the list. Should it come back with the same stamp, it is the same process."""
        known = self.starts.pop(name, None)
        if known is None:
            return
        self.removed[name] = known
        if len(self.removed) > MAX_REMOVED_SERVERS:
            del self.removed[next(iter(self.removed))]
