"""Simulated time and seeded randomness, which are the same in every process for the same seed.

This module must never read a real clock, nor depend on the order of a set or on a hash seed.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

Callback = Callable[..., object]


class SimulatedClock:
    """A clock that only `run` advances, with the callbacks scheduled on it. Times are in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        # A heap of (time, order of scheduling, callback, arguments).
        self.scheduled: list[tuple[float, int, Callback, tuple[Any, ...]]] = []
        self.order = 0

    def at(self, time: float, callback: Callback, *args: Any) -> None:
        """Schedules `callback` at `time`; callbacks of the same time run in the order of scheduling."""
        self.order += 1
        heappush(self.scheduled, (max(time, self.now), self.order, callback, args))

    def after(self, delay: float, callback: Callback, *args: Any) -> None:
        """Schedules `callback` `delay` seconds from now."""
        self.at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Advances the time to `until` and runs the callbacks that become due."""
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now, _, callback, args = heappop(self.scheduled)
            callback(*args)
        self.now = until


def seeded_random(seed: object, purpose: str) -> Random:
    """Returns a separate generator for each purpose: one more draw from one does not change the others."""
    return Random(f"{seed}/{purpose}")
