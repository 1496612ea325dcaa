"""Cuts a run down to the faults and arrivals that a violation needs, by leaving out ever smaller parts.

What is left breaks the same rule; it is small, not the smallest there is. It must never call something needed
that was not tried without.
"""

from typing import NamedTuple

from msgspec.structs import replace

from cartdeal.agent.reducer import Reducer
from cartdeal.emulator.play import Fleet
from cartdeal.emulator.rule_checker import Violation
from cartdeal.emulator.world import World

MAX_RUN_COUNT = 400  # plays


class ShrunkWorld(NamedTuple):
    world: World
    arrivals: list  # (agent, which of its arrivals)
    violation: Violation
    run_count: int


class Shrinker:
    def __init__(self, seed, make_reducer, rule):
        self.seed, self.make_reducer, self.rule, self.run_count = seed, make_reducer, rule, 0

    def reproduces(self, world, arrivals) -> Violation | None:
        self.run_count += 1
        found = (
            Fleet(world, self.seed, self.make_reducer, included_arrivals=set(arrivals))
            .run()
            .rule_checker.violations
        )
        return next((each for each in found if each.rule == self.rule), None)

    def reduce_parts(self, parts, test):
        """Fewer of `parts` for which `test` still holds."""
        size = len(parts)
        while size >= 1 and self.run_count < MAX_RUN_COUNT:
            at = 0
            while at < len(parts) and self.run_count < MAX_RUN_COUNT:
                rest = parts[:at] + parts[at + size :]
                if test(rest):
                    parts = rest
                else:
                    at += size
            size //= 2
        return parts


def shrink(world: World, seed: int, make_reducer=Reducer) -> ShrunkWorld | None:
    """None where the run breaks no rule."""
    full_run = Fleet(world, seed, make_reducer).run()
    if not full_run.rule_checker.violations:
        return None
    violation = full_run.rule_checker.violations[0]
    shrinker, arrivals = Shrinker(seed, make_reducer, violation.rule), full_run.arrivals
    shortened_world = replace(world, seconds=min(world.seconds, violation.at + 0.1))
    shortened_world = replace(
        shortened_world, fault=tuple(each for each in world.fault if each.begins_s < shortened_world.seconds)
    )
    if shrinker.reproduces(shortened_world, arrivals):
        world = shortened_world
    before = world
    faults = shrinker.reduce_parts(
        list(world.fault), lambda rest: shrinker.reproduces(replace(before, fault=tuple(rest)), arrivals)
    )
    world = replace(world, fault=tuple(faults))
    arrivals = shrinker.reduce_parts(arrivals, lambda rest: shrinker.reproduces(world, rest))
    return ShrunkWorld(world, arrivals, shrinker.reproduces(world, arrivals), shrinker.run_count)
