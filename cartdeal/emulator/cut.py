"""Cuts a run down to the faults and arrivals that a violation needs, by leaving out ever smaller parts.

What is left breaks the same rule; it is small, not the smallest there is. It must never call something needed
that was not tried without.
"""

from typing import NamedTuple

from msgspec.structs import replace

from cartdeal.agent.reducer import Reducer
from cartdeal.emulator.judge import Violation
from cartdeal.emulator.play import Fleet
from cartdeal.emulator.world import World

MOST = 400  # plays


class Cut(NamedTuple):
    world: World
    arrivals: list  # (agent, which of its arrivals)
    violation: Violation
    plays: int


class Cutter:
    def __init__(self, seed, make, rule):
        self.seed, self.make, self.rule, self.plays = seed, make, rule, 0

    def breaks(self, world, arrivals) -> Violation | None:
        self.plays += 1
        found = Fleet(world, self.seed, self.make, only=set(arrivals)).play().judge.violations
        return next((each for each in found if each.rule == self.rule), None)

    def shorter(self, parts, test):
        """Fewer of `parts` for which `test` still holds."""
        size = len(parts)
        while size >= 1 and self.plays < MOST:
            at = 0
            while at < len(parts) and self.plays < MOST:
                rest = parts[:at] + parts[at + size :]
                if test(rest):
                    parts = rest
                else:
                    at += size
            size //= 2
        return parts


def cut_down(world: World, seed: int, make=Reducer) -> Cut | None:
    """None where the run breaks no rule."""
    whole = Fleet(world, seed, make).play()
    if not whole.judge.violations:
        return None
    violation = whole.judge.violations[0]
    cutter, arrivals = Cutter(seed, make, violation.rule), whole.arrivals
    sooner = replace(world, seconds=min(world.seconds, violation.at + 0.1))
    sooner = replace(sooner, fault=tuple(each for each in world.fault if each.begins_s < sooner.seconds))
    if cutter.breaks(sooner, arrivals):
        world = sooner
    before = world
    faults = cutter.shorter(
        list(world.fault), lambda rest: cutter.breaks(replace(before, fault=tuple(rest)), arrivals)
    )
    world = replace(world, fault=tuple(faults))
    arrivals = cutter.shorter(arrivals, lambda rest: cutter.breaks(world, rest))
    return Cut(world, arrivals, cutter.breaks(world, arrivals), cutter.plays)
