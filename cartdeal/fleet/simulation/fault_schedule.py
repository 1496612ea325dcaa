"""A schedule of random faults over an in-memory fleet with clients, ended by a quiet stretch and checked.

`run_fault_schedule` gives figures for one seed, the same in every process. It must never let a fault depend
on what an agent thinks: what goes wrong is drawn from the seed alone.
"""

from typing import Any

from msgspec import Struct

from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.simulation.client_traffic import LIMITS, ClientTraffic
from cartdeal.fleet.simulation.fault_injector import FaultInjector
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet
from cartdeal.simulated_time import seeded_random

# These texts seed the draws: other ones would give other faults and other clients.
FAULTS_RANDOM = "day/faults"
CLIENTS_RANDOM = "day/clients"

OLD_PROGRAM = (1, 1)  # (lowest, highest) version of records that it reads
NEW_PROGRAM = (1, 2)
MAX_FOUNDING_S = 30.0
FOUNDING_MARGIN_S = 3.0
RECOVERY_S = 4.0  # after which lost records are counted
LOAD_AFTER_S = 20.0  # of requests when the fleet has recovered
DRAIN_S = 5.0


class FaultScheduleResult(Struct, frozen=True, kw_only=True):
    """Figures of one run; the fields' names are the columns of the lab's tables.

    Seconds are simulated. `one_ring_s` and `equal_s` count from when all faults ended; `served_after` and
    `shop_after` (of a limit that is overloaded by OVERLOAD_FACTOR) are of LOAD_AFTER_S after that.
    """

    seed: int
    agents: int
    violations: int
    found: list[str]  # the violations' texts
    lookups: int  # requests
    served: float  # share of requests of patient clients that completed
    served_after: float
    shop_after: float  # share of the limit
    waited_p50: float  # seconds that requests waited for the fleet's decision
    waited_p99: float
    founded_s: float
    one_ring_s: float
    equal_s: float
    messages: float  # per agent and second
    bytes: float  # per agent and second
    marks: int  # attempt records
    marks_lost: int
    over_limit: float  # tokens
    rings: int
    events: dict[str, int]


class FaultSchedule:
    """A fleet, its clients and its faults; `run` plays it once."""

    def __init__(
        self,
        seed: int,
        agents: int,
        seconds: float,
        *,
        pause_s: float,
        requests: float,
        upgrade: bool,
        apart: float,
        terms: dict[str, Any],
    ):
        settings: dict[str, Any] = {
            "fleet": "day",
            "name": "",
            "key": b"k" * 32,
            "seeds": {f"a{number}": f"10.0.0.1:{number + 1}" for number in range(agents)},
            "limits": LIMITS,
            "longest_mark_s": 15.0,
            **terms,
        }
        self.fleet = InMemoryFleet(FleetSettings(**settings), seed)
        self.random = seeded_random(seed, FAULTS_RANDOM)
        self.faults = FaultInjector(self.fleet, self.random, pause_s, seconds)
        self.traffic = ClientTraffic(self.fleet, seeded_random(seed, CLIENTS_RANDOM), requests)
        self.seconds = seconds
        self.upgrade = upgrade
        for number in range(agents):
            self._add_agent(number, apart)

    def _add_agent(self, number: int, apart: float) -> None:
        random = self.random
        host = self.fleet.add(
            f"a{number}",
            zone=f"z{number % 3}",
            start=False,
            capacity=random.choice([1.0, 1.0, 2.0, 4.0]),
            **({"reads": OLD_PROGRAM} if self.upgrade else {}),
        )
        host.clock_rate = 1.0 + apart * random.random()
        host.wall_offset_s = random.choice([0.0, 0.0, 0.0, 0.2, -0.2, 10.0, -10.0])
        self.fleet.clock.at(random.random(), host.start)

    def run(self, quiet: float) -> FaultScheduleResult:
        """Runs the faults, heals the fleet, and waits up to `quiet` seconds each for its ring and copies."""
        fleet = self.fleet
        founded_s = fleet.run_until(fleet.has_one_ring, MAX_FOUNDING_S)
        # Until no attempt from before its founding may still count.
        fleet.run(fleet.settings.longest_mark_s + FOUNDING_MARGIN_S)
        self.faults.begin()
        fleet.clock.after(0.0, self.traffic.submit_random)
        fleet.clock.after(0.0, self.traffic.submit_shop)
        if self.upgrade:
            self._schedule_upgrade()
        self.faults.inject()
        fleet.run(self.seconds)
        self.traffic.pause()
        self.faults.heal(**({"reads": NEW_PROGRAM} if self.upgrade else {}))
        return self._measure_recovery(founded_s, quiet)

    def _schedule_upgrade(self) -> None:
        """Brings the program up agent by agent, and rolls one back."""
        for name in list(self.fleet.hosts):
            delay_s = self.random.uniform(0.1, 0.7) * self.seconds
            self.faults.after(delay_s, self.faults.restart, name, NEW_PROGRAM)
        rolled_back = self.faults.draw_agent()
        self.faults.after(0.8 * self.seconds, self.faults.restart, rolled_back, OLD_PROGRAM)

    def _has_recovered(self) -> bool:
        """One ring, of all that run, in the newest version that all read and the operator allows."""
        nodes = self.fleet.nodes()
        ring = next(iter(nodes.values())).ring
        version = self.fleet.settings.hold_version or 2
        return (
            self.fleet.has_one_ring()
            and ring is not None
            and set(ring.names) == set(nodes)
            and (ring.written_version, ring.phase) == (version, "steady")
        )

    def _measure_recovery(self, founded_s: float, quiet: float) -> FaultScheduleResult:
        fleet, checker, traffic = self.fleet, self.fleet.checker, self.traffic
        healed_at = fleet.clock.now
        patient_during = len(traffic.patient_intents)
        fleet.run(RECOVERY_S)
        lost_records = fleet.count_lost_records()
        one_ring_s = fleet.run_until(self._has_recovered, quiet) + RECOVERY_S
        equal_s = fleet.run_until(fleet.replicas_agree, quiet, 0.5) + fleet.clock.now - healed_at
        shop_after = self._measure_load_after()
        if one_ring_s == float("inf"):
            checker.report(f"no one ring {quiet} s after all was healed")
        if equal_s == float("inf"):
            checker.report(f"no equal copies {quiet} s after the ring was one")
        violations = list(checker.close())
        waits_s = sorted(fleet.clients.decision_waits_s)
        agent_seconds = len(fleet.hosts) * fleet.clock.now
        return FaultScheduleResult(
            seed=fleet.seed,
            agents=len(fleet.hosts),
            violations=len(violations),
            found=violations,
            lookups=fleet.clients.submitted,
            served=traffic.completed_share(traffic.patient_intents[:patient_during]),
            served_after=traffic.completed_share(traffic.patient_intents[patient_during:]),
            shop_after=shop_after,
            waited_p50=round(waits_s[len(waits_s) // 2], 4),
            waited_p99=round(waits_s[len(waits_s) * 99 // 100], 4),
            founded_s=round(founded_s, 2),
            one_ring_s=round(one_ring_s, 2),
            equal_s=round(equal_s, 2),
            messages=round(fleet.network.message_count / agent_seconds, 2),
            bytes=round(sum(fleet.network.bytes_by_sender.values()) / agent_seconds, 1),
            marks=len(checker.attempt_records),
            marks_lost=lost_records,
            over_limit=round(max(map(checker.excess, fleet.settings.limits)), 3),
            rings=len(checker.ring_agreement.adopted_at),
            events=dict(sorted(fleet.event_counts.items())),
        )

    def _measure_load_after(self) -> float:
        """Has requests come as before the faults; returns what share of its limit the shop was served."""
        fleet = self.fleet
        self.traffic.resume()
        since = fleet.clock.now
        fleet.run(LOAD_AFTER_S)
        self.traffic.pause()
        fleet.run(DRAIN_S)
        times = fleet.checker.admission_times["shop"]
        admitted = sum(since <= time < since + LOAD_AFTER_S for time in times)
        return round(admitted / LOAD_AFTER_S / LIMITS["shop"].rate, 4)


def run_fault_schedule(
    seed: int,
    agents: int = 6,
    seconds: float = 60.0,
    *,
    quiet: float = 90.0,
    pause_s: float = 4.0,
    requests: float = 20.0,
    upgrade: bool = False,
    apart: float = 0.001,
    **terms: Any,
) -> FaultScheduleResult:
    """Runs one fault schedule.

    Args:
        seed: What all draws come from.
        agents: How many agents found the fleet.
        seconds: For how long faults are injected.
        quiet: Seconds within which the fleet has to have one ring, and then equal copies.
        pause_s: Seconds between faults, on average.
        requests: Requests per second.
        upgrade: Whether the program is brought up agent by agent, and one rolled back.
        apart: The share by which monotonic clocks differ.
        terms: Further keys of the operator file.
    """
    schedule = FaultSchedule(
        seed,
        agents,
        seconds,
        pause_s=pause_s,
        requests=requests,
        upgrade=upgrade,
        apart=apart,
        terms=terms,
    )
    return schedule.run(quiet)
