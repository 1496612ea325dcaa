"""Runs random faults over an in-memory fleet with clients, lets the fleet recover, and checks it.

`run_fault_schedule` returns figures for one seed, the same in every process. A fault must never depend on an
agent's state: it is drawn from the seed alone.
"""

from typing import Any

from msgspec import Struct

from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.simulation.client_traffic import TENANT_LIMITS, ClientTraffic
from cartdeal.fleet.simulation.fault_injector import FaultInjector
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet
from cartdeal.simulated_time import seeded_random

# These texts seed the random draws: other texts would give other faults and other clients.
FAULTS_RANDOM = "day/faults"
CLIENTS_RANDOM = "day/clients"

OLD_PROGRAM_VERSIONS = (1, 1)  # (lowest, highest) version of records that the old program reads
NEW_PROGRAM_VERSIONS = (1, 2)
MAX_FOUNDING_S = 30.0
FOUNDING_MARGIN_S = 3.0
RECORD_RECOVERY_S = 4.0  # simulated after the last fault before lost records are counted
LOAD_DURATION_S = 20.0  # of the traffic after the fleet has recovered
REQUEST_DRAIN_S = 5.0


class FaultScheduleResult(Struct, frozen=True, kw_only=True):
    """Figures of one run; the fields' names are the columns of the lab's tables.

    Seconds are simulated. `one_ring_s` and `equal_s` count from the end of all faults. `served_after` and
    `shop_after` (of a limit that is overloaded by OVERLOAD_FACTOR) are of LOAD_DURATION_S after that.
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
    """A fleet, its clients and its faults; `run` runs it once."""

    def __init__(
        self,
        seed: int,
        agents: int,
        seconds: float,
        *,
        mean_pause_s: float,
        request_rate: float,
        has_upgrade: bool,
        clock_rate_spread: float,
        setting_overrides: dict[str, Any],
    ):
        settings: dict[str, Any] = {
            "fleet": "day",
            "name": "",
            "key": b"k" * 32,
            "seeds": {f"a{number}": f"10.0.0.1:{number + 1}" for number in range(agents)},
            "limits": TENANT_LIMITS,
            "longest_mark_s": 15.0,
            **setting_overrides,
        }
        self.fleet = InMemoryFleet(FleetSettings(**settings), seed)
        self.random = seeded_random(seed, FAULTS_RANDOM)
        self.faults = FaultInjector(self.fleet, self.random, mean_pause_s, seconds)
        self.traffic = ClientTraffic(self.fleet, seeded_random(seed, CLIENTS_RANDOM), request_rate)
        self.seconds = seconds
        self.has_upgrade = has_upgrade
        for number in range(agents):
            self._add_agent(number, clock_rate_spread)

    def _add_agent(self, number: int, clock_rate_spread: float) -> None:
        random = self.random
        host = self.fleet.add(
            f"a{number}",
            zone=f"z{number % 3}",
            start=False,
            capacity=random.choice([1.0, 1.0, 2.0, 4.0]),
            **({"reads": OLD_PROGRAM_VERSIONS} if self.has_upgrade else {}),
        )
        host.clock_rate = 1.0 + clock_rate_spread * random.random()
        host.wall_offset_s = random.choice([0.0, 0.0, 0.0, 0.2, -0.2, 10.0, -10.0])
        self.fleet.clock.at(random.random(), host.start)

    def run(self, recovery_timeout: float) -> FaultScheduleResult:
        """Injects the faults, heals the fleet, and measures its recovery.

        Waits up to `recovery_timeout` seconds for one ring, and then as long again for equal copies.
        """
        fleet = self.fleet
        founded_s = fleet.run_until(fleet.has_one_ring, MAX_FOUNDING_S)
        # Waits until no attempt from before the founding can still have an unexpired record.
        fleet.run(fleet.settings.longest_mark_s + FOUNDING_MARGIN_S)
        self.faults.begin()
        fleet.clock.after(0.0, self.traffic.submit_random)
        fleet.clock.after(0.0, self.traffic.submit_shop)
        if self.has_upgrade:
            self._schedule_upgrade()
        self.faults.inject()
        fleet.run(self.seconds)
        self.traffic.pause()
        self.faults.heal(**({"reads": NEW_PROGRAM_VERSIONS} if self.has_upgrade else {}))
        return self._measure_recovery(founded_s, recovery_timeout)

    def _schedule_upgrade(self) -> None:
        """Schedules an upgrade of the program, agent by agent, and the rollback of one agent."""
        for name in list(self.fleet.hosts):
            delay_s = self.random.uniform(0.1, 0.7) * self.seconds
            self.faults.after(delay_s, self.faults.restart, name, NEW_PROGRAM_VERSIONS)
        rolled_back = self.faults.draw_agent()
        self.faults.after(0.8 * self.seconds, self.faults.restart, rolled_back, OLD_PROGRAM_VERSIONS)

    def _has_recovered(self) -> bool:
        """Whether the running agents have one ring of all of them, in its final version.

        This is the newest version that all agents read and that the settings allow.
        """
        nodes = self.fleet.nodes()
        ring = next(iter(nodes.values())).ring
        version = self.fleet.settings.hold_version or 2
        return (
            self.fleet.has_one_ring()
            and ring is not None
            and set(ring.names) == set(nodes)
            and (ring.written_version, ring.phase) == (version, "steady")
        )

    def _measure_recovery(self, founded_s: float, recovery_timeout: float) -> FaultScheduleResult:
        fleet, checker, traffic = self.fleet, self.fleet.checker, self.traffic
        healed_at = fleet.clock.now
        patient_during = len(traffic.patient_intents)
        fleet.run(RECORD_RECOVERY_S)
        lost_records = fleet.count_lost_records()
        one_ring_s = fleet.run_until(self._has_recovered, recovery_timeout) + RECORD_RECOVERY_S
        equal_s = fleet.run_until(fleet.replicas_agree, recovery_timeout, 0.5) + fleet.clock.now - healed_at
        shop_after = self._measure_load_after()
        if one_ring_s == float("inf"):
            checker.report(f"not one ring {recovery_timeout} s after all faults ended")
        if equal_s == float("inf"):
            checker.report(f"copies still differ {recovery_timeout} s after there was one ring")
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
        """Resumes the traffic for LOAD_DURATION_S; returns the share of its limit that shop got."""
        fleet = self.fleet
        self.traffic.resume()
        since = fleet.clock.now
        fleet.run(LOAD_DURATION_S)
        self.traffic.pause()
        fleet.run(REQUEST_DRAIN_S)
        times = fleet.checker.admission_times["shop"]
        admitted = sum(since <= time < since + LOAD_DURATION_S for time in times)
        return round(admitted / LOAD_DURATION_S / TENANT_LIMITS["shop"].rate, 4)


def run_fault_schedule(
    seed: int,
    agents: int = 6,
    seconds: float = 60.0,
    *,
    recovery_timeout: float = 90.0,
    mean_pause_s: float = 4.0,
    request_rate: float = 20.0,
    has_upgrade: bool = False,
    clock_rate_spread: float = 0.001,
    **setting_overrides: Any,
) -> FaultScheduleResult:
    """Runs one fault schedule.

    Args:
        seed: The source of all random draws.
        agents: How many agents found the fleet.
        seconds: For how long faults are injected.
        recovery_timeout: Seconds within which the fleet has to have one ring, and then equal copies.
        mean_pause_s: Seconds between faults, on average.
        request_rate: Requests per second.
        has_upgrade: Whether the program is upgraded agent by agent, and one agent rolled back.
        clock_rate_spread: The largest share by which a monotonic clock is too fast.
        setting_overrides: Further fields of FleetSettings.
    """
    schedule = FaultSchedule(
        seed,
        agents,
        seconds,
        mean_pause_s=mean_pause_s,
        request_rate=request_rate,
        has_upgrade=has_upgrade,
        clock_rate_spread=clock_rate_spread,
        setting_overrides=setting_overrides,
    )
    return schedule.run(recovery_timeout)
