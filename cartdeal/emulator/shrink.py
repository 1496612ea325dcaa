"""Shrinks a world and its arrivals to those that a violation needs, by leaving out smaller and smaller parts.

The shrunk world breaks the same rule; it is small, but not always the smallest such world. A fault or arrival
is kept only after a run without it did not break the rule, or when MAX_RUN_COUNT runs are used up.
"""

from typing import NamedTuple

from msgspec.structs import replace

from cartdeal.agent.reducer import Reducer
from cartdeal.emulator.play import Fleet
from cartdeal.emulator.rule_checker import Violation
from cartdeal.emulator.world import World

MAX_RUN_COUNT = 400


class ShrunkWorld(NamedTuple):
    """A small world that still breaks the rule, and the number of runs that it took to find it."""

    world: World
    arrivals: list  # (agent, number of its arrival)
    violation: Violation
    run_count: int


class Shrinker:
    """Runs smaller worlds on one seed, to see whether they still break `rule`."""

    def __init__(self, seed, make_reducer, rule):
        self.seed, self.make_reducer, self.rule, self.run_count = seed, make_reducer, rule, 0

    def reproduces(self, world, arrivals) -> Violation | None:
        """Runs a world with these arrivals alone; returns its first violation of the rule, if any."""
        self.run_count += 1
        found = (
            Fleet(world, self.seed, self.make_reducer, included_arrivals=set(arrivals))
            .run()
            .rule_checker.violations
        )
        return next((each for each in found if each.rule == self.rule), None)

    def reduce_parts(self, parts, test):
        """Returns a sublist of `parts` for which `test` still holds."""
        size = len(parts)
        while size >= 1 and self.run_count < MAX_RUN_COUNT:
            start = 0
            while start < len(parts) and self.run_count < MAX_RUN_COUNT:
                rest = parts[:start] + parts[start + size :]
                if test(rest):
                    parts = rest
                else:
                    start += size
            size //= 2
        return parts


def shrink(world: World, seed: int, make_reducer=Reducer) -> ShrunkWorld | None:
    """Shrinks the world to what its first violation needs; None if its run breaks no rule."""
    full_run = Fleet(world, seed, make_reducer).run()
    if not full_run.rule_checker.violations:
        return None
    violation = full_run.rule_checker.violations[0]
    shrinker, arrivals = Shrinker(seed, make_reducer, violation.rule), full_run.arrivals
    # The shortened world still runs for 0.1 s after the violation.
    shortened_world = replace(world, seconds=min(world.seconds, violation.at + 0.1))
    shortened_world = replace(
        shortened_world, fault=tuple(each for each in world.fault if each.begins_s < shortened_world.seconds)
    )
    if shrinker.reproduces(shortened_world, arrivals):
        world = shortened_world
    world_with_all_faults = world
    faults = shrinker.reduce_parts(
        list(world.fault),
        lambda rest: shrinker.reproduces(replace(world_with_all_faults, fault=tuple(rest)), arrivals),
    )
    world = replace(world, fault=tuple(faults))
    arrivals = shrinker.reduce_parts(arrivals, lambda rest: shrinker.reproduces(world, rest))
    return ShrunkWorld(world, arrivals, shrinker.reproduces(world, arrivals), shrinker.run_count)
