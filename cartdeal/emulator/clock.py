"""Simulated time: what is to happen, in order, and chance that is the same in every process.

It must never read a real clock nor depend on the order of a set or on a hash seed.
"""

from heapq import heappop, heappush
from random import Random


class Clock:
    def __init__(self):
        self.now, self.due, self.order = 0.0, [], 0

    def at(self, time: float, do, *args):
        self.order += 1  # of one moment, what was set first comes first
        heappush(self.due, (max(time, self.now), self.order, do, args))

    def after(self, delay: float, do, *args):
        self.at(self.now + delay, do, *args)

    def run(self, until: float):
        while self.due and self.due[0][0] <= until:
            self.now, _, do, args = heappop(self.due)
            do(*args)
        self.now = until


def chance(seed, what: str) -> Random:
    """A source of its own for each use: one more draw in one place leaves all others as they were."""
    return Random(f"{seed}/{what}")
