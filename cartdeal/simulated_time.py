"""Simulated time and seeded randomness: the same in every process for the same seed.

It must never read a real clock nor depend on the order of a set or on a hash seed.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

Callback = Callable[..., object]


class SimulatedClock:
    """A clock that only `run` moves, and the callbacks that are due by it. Times are in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.due: list[tuple[float, int, Callback, tuple[Any, ...]]] = []  # a heap
        self.order = 0

    def at(self, time: float, callback: Callback, *args: Any) -> None:
        """Has `callback` called at `time`; of one moment, what was scheduled first comes first."""
        self.order += 1
        heappush(self.due, (max(time, self.now), self.order, callback, args))

    def after(self, delay: float, callback: Callback, *args: Any) -> None:
        """Has `callback` called `delay` seconds from now."""
        self.at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Moves time on to `until`, calling what becomes due on the way."""
        while self.due and self.due[0][0] <= until:
            self.now, _, callback, args = heappop(self.due)
            callback(*args)
        self.now = until


def seeded_random(seed: object, purpose: str) -> Random:
    """A source of its own for each purpose: one more draw in one place leaves all others as they were."""
    return Random(f"{seed}/{purpose}")
