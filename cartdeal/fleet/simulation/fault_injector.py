"""Draws random faults from a seed and carries them out on an in-memory fleet.

A fault must never depend on an agent's state: it is drawn from the seed alone.
"""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any

from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet
from cartdeal.fleet.simulation.network import NetworkConditions

MAX_JOIN_COUNT = 3
RESTART_DELAYS_S = (0.05, 1.0, 4.0, 12.0)
CUT_DURATIONS_S = (1.0, 4.0, 10.0, 20.0)
CRASH_LOOP_PERIOD_S = 1.5
CRASH_LOOP_DOWN_S = 0.7


class Fault(Enum):
    """Kinds of faults. The random draws depend on their order and weights."""

    KILL = "kill"
    CRASH_LOOP = "crash loop"
    KILL_HALF = "kill half"
    STOP = "stop"
    LEAVE = "leave"
    JOIN = "join"
    CUT = "cut"
    CUT_ONE_WAY = "cut one way"
    BAD_NETWORK = "bad network"
    CHANGE_CAPACITY = "change capacity"
    SET_WALL_CLOCK = "set wall clock"


FAULT_WEIGHTS = {  # how often each is drawn, relative to the others
    Fault.KILL: 5,
    Fault.CRASH_LOOP: 1,
    Fault.KILL_HALF: 1,
    Fault.STOP: 3,
    Fault.LEAVE: 2,
    Fault.JOIN: 2,
    Fault.CUT: 3,
    Fault.CUT_ONE_WAY: 3,
    Fault.BAD_NETWORK: 3,
    Fault.CHANGE_CAPACITY: 1,
    Fault.SET_WALL_CLOCK: 1,
}


class FaultInjector:
    """Injects a fault every `mean_pause_s` on average, from `begin` on and for `duration_s`."""

    def __init__(self, fleet: InMemoryFleet, random: Random, mean_pause_s: float, duration_s: float):
        self.fleet = fleet
        self.random = random
        self.mean_pause_s = mean_pause_s
        self.duration_s = duration_s
        self.started_at = 0.0
        self.cuts: list[set[tuple[str, str]]] = []  # cuts that have not ended, as pairs (sender, recipient)
        self.joined_count = 0
        self.inject_by_kind: dict[Fault, Callable[[str], None]] = {
            Fault.KILL: self._kill,
            Fault.CRASH_LOOP: self._crash_loop,
            Fault.KILL_HALF: self._kill_half,
            Fault.STOP: self._stop,
            Fault.LEAVE: self._leave,
            Fault.JOIN: self._join,
            Fault.CUT: self._cut,
            Fault.CUT_ONE_WAY: self._cut_one_way,
            Fault.BAD_NETWORK: self._worsen_network,
            Fault.CHANGE_CAPACITY: self._change_capacity,
            Fault.SET_WALL_CLOCK: self._set_wall_clock,
        }

    def begin(self) -> None:
        """Sets the beginning of the faults to now; `inject` injects the first one."""
        self.started_at = self.fleet.clock.now

    def after(self, delay_s: float, callback: Callable[..., object], *args: object) -> None:
        """Schedules a callback, unless the time of faults is over by then."""
        if self.fleet.clock.now + delay_s < self.started_at + self.duration_s:
            self.fleet.clock.after(delay_s, callback, *args)

    def inject(self) -> None:
        """Injects one fault, and schedules the next."""
        kind = self.random.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
        self.inject_by_kind[kind](self.draw_agent())
        self.after(self.random.expovariate(1 / self.mean_pause_s), self.inject)

    def draw_agent(self) -> str:
        """Draws the name of an agent."""
        return self.random.choice(list(self.fleet.hosts))

    def restart(self, name: str, reads: tuple[int, int]) -> None:
        """Restarts an agent with a program that reads the record versions `reads`, (lowest, highest)."""
        self.fleet.kill(name)
        self.fleet.start(name, reads=reads)

    def heal(self, **changes: Any) -> None:
        """Ends all faults; agents whose settings differ from `changes` are restarted with them."""
        fleet = self.fleet
        for name, host in fleet.hosts.items():
            if host.is_stopped:
                host.resume()
            differs = any(getattr(host.settings, key) != value for key, value in changes.items())
            if differs:
                fleet.kill(name)
            if host.node is None:
                fleet.start(name, **(changes if differs else {}))
        fleet.conditions = NetworkConditions()
        self.cuts = []
        self._apply_cuts()

    def _start(self, name: str) -> None:
        if self.fleet.hosts[name].node is None:
            self.fleet.start(name)

    def _kill(self, name: str) -> None:
        self.fleet.kill(name)
        delay_s = self.random.choice(RESTART_DELAYS_S) * (0.5 + self.random.random())
        self.after(delay_s, self._start, name)

    def _crash_loop(self, name: str) -> None:
        for number in range(self.random.randrange(2, 8)):
            killed_after_s = CRASH_LOOP_PERIOD_S * number
            self.after(killed_after_s, self.fleet.kill, name)
            self.after(killed_after_s + CRASH_LOOP_DOWN_S, self._start, name)

    def _kill_half(self, _: str) -> None:
        for name in self.random.sample(list(self.fleet.hosts), len(self.fleet.hosts) // 2):
            self._kill(name)

    def _stop(self, name: str) -> None:
        self.fleet.stop(name, self.random.uniform(0.5, 9.0))

    def _leave(self, name: str) -> None:
        if self.fleet.hosts[name].is_running:
            self.fleet.leave(name)
            self.after(self.random.uniform(2.0, 15.0), self._start, name)

    def _join(self, _: str) -> None:
        if self.joined_count < MAX_JOIN_COUNT:
            self.joined_count += 1
            capacity = self.random.choice([1.0, 2.0, 8.0])
            self.fleet.add(f"b{self.joined_count}", zone=f"z{self.joined_count % 3}", capacity=capacity)

    def _cut(self, _: str) -> None:
        names = list(self.fleet.hosts)
        side = self.random.sample(names, self.random.randrange(1, len(names)))
        others = [name for name in names if name not in side]
        pairs = {(name, other) for name in side for other in others}
        self._cut_temporarily(pairs | {(other, name) for name, other in pairs})

    def _cut_one_way(self, name: str) -> None:
        others = [other for other in self.fleet.hosts if other != name]
        others = self.random.sample(others, self.random.randrange(1, len(others) + 1))
        if self.random.random() < 0.5:
            self._cut_temporarily({(name, other) for other in others})
        else:
            self._cut_temporarily({(other, name) for other in others})

    def _cut_temporarily(self, cut: set[tuple[str, str]]) -> None:
        duration_s = self.random.choice(CUT_DURATIONS_S) * (0.5 + self.random.random())
        self.cuts.append(cut)
        self._apply_cuts()
        self.after(duration_s, self._end_cut, cut)

    def _end_cut(self, cut: set[tuple[str, str]]) -> None:
        self.cuts.remove(cut)
        self._apply_cuts()

    def _apply_cuts(self) -> None:
        self.fleet.network.cuts = {pair for cut in self.cuts for pair in cut}

    def _worsen_network(self, _: str) -> None:
        random = self.random
        self.fleet.conditions = NetworkConditions(
            loss_rate=0.3 * random.random(),
            duplication_rate=0.2 * random.random(),
            jitter_s=random.choice([0.002, 0.02, 0.1]),
            late_rate=0.1 * random.random(),
            max_late_s=5.0,
        )
        self.after(random.uniform(2.0, 12.0), setattr, self.fleet, "conditions", NetworkConditions())

    def _change_capacity(self, name: str) -> None:
        self.fleet.set_capacity(name, self.random.choice([0.5, 1.0, 1.1, 2.0, 4.0]))

    def _set_wall_clock(self, name: str) -> None:
        """Sets a wall clock while its agent runs; the agent keeps it when it restarts."""
        self.fleet.hosts[name].wall_offset_s = self.random.choice([0.0, 0.3, -0.3, 10.0, -10.0])
