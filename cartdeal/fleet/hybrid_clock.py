"""Hybrid logical clocks (Kulkarni and others, 2014): stamps that follow the wall clock and never go back.

It owns the last stamp, and how far ahead each peer was last heard. It must never believe a clock too far
ahead: one wrong clock would drag every other one along. It reads none: the wall's time comes with each call.
"""

from msgspec import Struct

from cartdeal.fleet.errors import ClockAheadError

MAX_COUNT = 1 << 31  # stamps in one millisecond; then the next millisecond is taken early
MAX_PEERS = 1024  # peers whose clocks are remembered; the one heard least lately is forgotten


class Timestamp(Struct, frozen=True, array_like=True, order=True):
    """Ordered by time, then count, then agent: no two agents give out the same one."""

    wall_ms: int
    count: int
    name: str


class HybridClock:
    """`last`: the newest stamp given out or heard. After a jump back of the wall it counts on from there."""

    def __init__(self, name: str, most_ahead_s: float):
        self.name, self.most_ahead_ms = name, round(most_ahead_s * 1000)
        self.last = Timestamp(0, 0, name)
        self.heard = {}  # peer -> ms that its clock was ahead of ours when last heard

    def tick(self, wall: float) -> Timestamp:
        """A stamp greater than all given out or heard; `wall` in seconds."""
        return self.after(max(int(wall * 1000), 0), self.last)

    def hear(self, stamp: Timestamp, wall: float) -> Timestamp:
        """Takes a peer's stamp over. Raises ClockAheadError when it's too far ahead; then `last` stays.

        What isn't newer than `last` does no harm: it's let in even where our own wall has jumped back.
        """
        here = max(int(wall * 1000), 0)
        ahead = stamp.wall_ms - here
        if stamp.name != self.name:
            self.heard.pop(stamp.name, None)
            self.heard[stamp.name] = ahead
            if len(self.heard) > MAX_PEERS:
                del self.heard[next(iter(self.heard))]
        if ahead > self.most_ahead_ms and stamp.wall_ms > self.last.wall_ms:
            raise ClockAheadError(
                f"the clock of {stamp.name[:64]}", f"{ahead / 1000:.3f} s ahead of {self.name}"
            )
        return self.after(here, max(self.last, stamp))

    def after(self, here: int, newest: Timestamp) -> Timestamp:
        if here > newest.wall_ms:
            self.last = Timestamp(here, 0, self.name)
        elif newest.count + 1 < MAX_COUNT:
            self.last = Timestamp(newest.wall_ms, newest.count + 1, self.name)
        else:
            self.last = Timestamp(newest.wall_ms + 1, 0, self.name)
        return self.last

    def behind(self) -> bool:
        """Whether our own clock is the odd one: more than half of the peers heard are too far ahead of it.

        A message may be late, so peers that seem behind prove nothing; peers that seem ahead are.
        """
        ahead = sum(each > self.most_ahead_ms for each in self.heard.values())
        return 2 * ahead > len(self.heard)
