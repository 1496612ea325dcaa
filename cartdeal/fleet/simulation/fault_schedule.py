"""Days of random faults over an in-memory fleet with clients, each ended by a quiet stretch and judged.

`day` gives figures for one seed, the same in every process. It must never let a fault depend on what an agent
thinks: what goes wrong is drawn from the seed alone.
"""

from cartdeal.fleet.idempotency import AdmissionRequest
from cartdeal.fleet.settings import FleetSettings, RateLimit
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet
from cartdeal.fleet.simulation.network import NetworkConditions
from cartdeal.simulated_time import seeded_random

LIMITS = {
    "shop": RateLimit(60.0, 60.0),
    "deli": RateLimit(1.5, 2.0),
}  # one lent by rates, one by single tokens
SHOP = AdmissionRequest(tenant="shop", workload="w")
OVERLOAD_FACTOR = 1.4  # times its limit, as often do clients of the shop ask
SESSIONS = 40  # that clients share, so that their marks stand side by side
FAULTS = {  # kind -> how often, beside the others
    "kill": 5,
    "flap": 1,
    "mass": 1,
    "stop": 3,
    "leave": 2,
    "join": 2,
    "cut": 3,
    "deafen": 3,
    "weather": 3,
    "capacity": 1,
    "skew": 1,
}


class FaultSchedule:
    def __init__(
        self,
        seed: int,
        agents: int,
        seconds: float,
        pause_s: float,
        requests: float,
        upgrade: bool,
        apart: float,
        terms: dict,
    ):
        seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(agents)}
        settings = FleetSettings(
            **{
                "fleet": "day",
                "name": "",
                "key": b"k" * 32,
                "seeds": seeds,
                "limits": LIMITS,
                "longest_mark_s": 15.0,
                **terms,
            }
        )
        self.fleet = fleet = InMemoryFleet(settings, seed)
        self.fates, self.people = seeded_random(seed, "day/faults"), seeded_random(seed, "day/clients")
        self.seconds, self.pause_s, self.requests, self.upgrade = seconds, pause_s, requests, upgrade
        self.pressed = OVERLOAD_FACTOR * LIMITS["shop"].rate
        self.cuts: list[set] = []
        self.patient: list[str] = []
        self.joined, self.at, self.log = 0, 0.0, []
        for number in range(agents):
            host = fleet.add(
                f"a{number}",
                zone=f"z{number % 3}",
                start=False,
                capacity=self.fates.choice([1.0, 1.0, 2.0, 4.0]),
                **({"reads": (1, 1)} if upgrade else {}),
            )
            host.clock_rate = 1.0 + apart * self.fates.random()
            host.wall_offset_s = self.fates.choice([0.0, 0.0, 0.0, 0.2, -0.2, 10.0, -10.0])
            fleet.clock.at(self.fates.random(), host.start)

    def after(self, seconds, do, *args):
        """Not after the day's end: then all is healed."""
        end = self.at + self.seconds
        if self.fleet.clock.now + seconds < end:
            self.fleet.clock.after(seconds, do, *args)

    # Faults

    def fault(self):
        kind = self.fates.choices(list(FAULTS), list(FAULTS.values()))[0]
        getattr(self, kind)(self.some())
        self.after(self.fates.expovariate(1 / self.pause_s), self.fault)

    def some(self):
        return self.fates.choice(list(self.fleet.hosts))

    def wrote(self, *message):
        self.log.append((round(self.fleet.clock.now, 3), *message))

    def start(self, name):
        if self.fleet.hosts[name].node is None:
            self.wrote("start", name)
            self.fleet.start(name)

    def kill(self, name):
        self.wrote("kill", name)
        self.fleet.kill(name)
        self.after(self.fates.choice([0.05, 1.0, 4.0, 12.0]) * (0.5 + self.fates.random()), self.start, name)

    def flap(self, name):
        for turn in range(self.fates.randrange(2, 8)):
            self.after(1.5 * turn, self.fleet.kill, name)
            self.after(1.5 * turn + 0.7, self.start, name)
        self.wrote("flap", name)

    def mass(self, name):
        names = self.fates.sample(list(self.fleet.hosts), len(self.fleet.hosts) // 2)
        for each in names:
            self.kill(each)

    def stop(self, name):
        seconds = self.fates.uniform(0.5, 9.0)
        self.wrote("stop", name, round(seconds, 3))
        self.fleet.stop(name, seconds)

    def leave(self, name):
        if self.fleet.hosts[name].is_running:
            self.wrote("leave", name)
            self.fleet.leave(name)
            self.after(self.fates.uniform(2.0, 15.0), self.start, name)

    def join(self, name):
        if self.joined < 3:
            self.joined += 1
            new = f"b{self.joined}"
            self.wrote("join", new)
            self.fleet.add(new, zone=f"z{self.joined % 3}", capacity=self.fates.choice([1.0, 2.0, 8.0]))

    def cut(self, name):
        names = list(self.fleet.hosts)
        here = self.fates.sample(names, self.fates.randrange(1, len(names)))
        there = [each for each in names if each not in here]
        self.part({(a, b) for a in here for b in there} | {(b, a) for a in here for b in there}, "cut", here)

    def deafen(self, name):
        others = [each for each in self.fleet.hosts if each != name]
        others = self.fates.sample(others, self.fates.randrange(1, len(others) + 1))
        if self.fates.random() < 0.5:
            self.part({(name, each) for each in others}, "unheard", [name, *others])
        else:
            self.part({(each, name) for each in others}, "deaf", [name, *others])

    def part(self, cut, *message):
        seconds = self.fates.choice([1.0, 4.0, 10.0, 20.0]) * (0.5 + self.fates.random())
        self.wrote(*message, round(seconds, 3))
        self.cuts.append(cut)
        self.joint()
        self.after(seconds, self.mend, cut)

    def mend(self, cut):
        self.cuts.remove(cut)
        self.joint()

    def joint(self):
        self.fleet.network.cuts = {pair for cut in self.cuts for pair in cut}

    def weather(self, name):
        fates = self.fates
        self.fleet.conditions = NetworkConditions(
            loss_rate=0.3 * fates.random(),
            duplication_rate=0.2 * fates.random(),
            jitter_s=fates.choice([0.002, 0.02, 0.1]),
            late_rate=0.1 * fates.random(),
            max_late_s=5.0,
        )
        self.wrote("weather", self.fleet.conditions)
        self.after(fates.uniform(2.0, 12.0), setattr, self.fleet, "conditions", NetworkConditions())

    def capacity(self, name):
        capacity = self.fates.choice([0.5, 1.0, 1.1, 2.0, 4.0])
        self.wrote("capacity", name, capacity)
        self.fleet.set_capacity(name, capacity)

    def skew(self, name):
        """A wall clock is set while its agent runs; should it start anew, it begins with it."""
        self.fleet.hosts[name].wall_offset_s = self.fates.choice([0.0, 0.3, -0.3, 10.0, -10.0])
        self.wrote("skew", name, self.fleet.hosts[name].wall_offset_s)

    def upgraded(self, name, reads):
        self.wrote("program", name, reads)
        self.fleet.kill(name)
        self.fleet.start(name, reads=reads)

    # Clients

    def client(self):
        people, fleet = self.people, self.fleet
        number = fleet.clients.submitted
        tenant = people.choices(["", "shop", "deli"], [8, 1, 1])[0]
        repeat = people.choice(["i", "d", "u"])
        group = people.choice(["all", "zone", "cell"]) if repeat == "d" else "all"
        window = people.uniform(0.5, 8.0) if repeat == "d" else 0.0
        takes = people.choice([0.02, 0.05, 0.5, 1.5])
        if people.random() < 0.2:  # a client that doesn't wait for its answer, and comes again
            takes = people.choice([0.02, 1.0, 8.0])
            patience = takes * people.uniform(0.3, 0.7)
        else:
            patience = takes + people.choice([0.3, 1.0])
            self.patient.append(f"i{number + 1}")
        # It comes no more when its deadline is over; no mark lasts for longer.
        limit = fleet.settings.longest_mark_s - window
        tries = min(people.randrange(1, 5), int(limit / (patience + 0.8)))
        question = AdmissionRequest(
            tenant=tenant,
            session=f"{people.randrange(SESSIONS):02}",
            key=f"k{number}",
            repeat=repeat,
            group=group,
            window_s=window,
            limit_s=limit,
            workload="w",
        )
        agents = list(fleet.hosts)
        fleet.submit(question, people.sample(agents, len(agents)), tries, takes, patience)
        fleet.clock.after(people.expovariate(self.requests), self.client)

    def shopper(self):
        self.fleet.submit(SHOP, [self.people.choice(list(self.fleet.hosts))])
        self.fleet.clock.after(self.people.expovariate(self.pressed), self.shopper)

    # The day

    def play(self, quiet: float) -> dict:
        fleet, clock = self.fleet, self.fleet.clock
        founded = fleet.run_until(fleet.has_one_ring, 30.0)
        fleet.run(fleet.settings.longest_mark_s + 3.0)  # until nothing of before its founding may be due
        self.at = clock.now
        clock.after(0.0, self.client)
        clock.after(0.0, self.shopper)
        if self.upgrade:
            for name in list(fleet.hosts):
                self.after(self.fates.uniform(0.1, 0.7) * self.seconds, self.upgraded, name, (1, 2))
            self.after(0.8 * self.seconds, self.upgraded, self.some(), (1, 1))
        self.fault()
        fleet.run(self.seconds)
        clients, self.requests, self.pressed = self.requests, 1e-9, 1e-9
        for name, host in fleet.hosts.items():
            if host.is_stopped:
                host.resume()
            reads = {"reads": (1, 2)} if self.upgrade and host.settings.reads != (1, 2) else {}
            if reads:
                fleet.kill(name)
            if host.node is None:
                fleet.start(name, **reads)
        fleet.conditions, self.cuts = NetworkConditions(), []
        self.joint()
        self.wrote("healed")
        return self.judged(founded, clients, quiet)

    def settled(self) -> bool:
        """One ring, of all that run, in the newest version that all read and the operator allows."""
        ring, version = next(iter(self.fleet.nodes().values())).ring, self.fleet.settings.hold_version or 2
        return (
            self.fleet.has_one_ring()
            and set(ring.names) == set(self.fleet.nodes())
            and (ring.written_version, ring.phase) == (version, "steady")
        )

    def judged(self, founded, clients, quiet) -> dict:
        fleet, checker = self.fleet, self.fleet.checker
        healed, asked = fleet.clock.now, len(self.patient)
        fleet.run(4.0)
        lost = fleet.count_lost_records()
        one_ring = fleet.run_until(self.settled, quiet) + 4.0
        equal = fleet.run_until(fleet.replicas_agree, quiet, 0.5) + fleet.clock.now - healed
        # The fleet is as before: all that come are served.
        self.requests, self.pressed = clients, OVERLOAD_FACTOR * LIMITS["shop"].rate
        self.client()
        self.shopper()
        since = fleet.clock.now
        fleet.run(20.0)
        self.requests = self.pressed = 1e-9
        fleet.run(5.0)
        shop = sum(since <= at < since + 20.0 for at in checker.admission_times["shop"])
        if one_ring == float("inf"):
            checker.report(f"no one ring {quiet} s after all was healed")
        if equal == float("inf"):
            checker.report(f"no equal copies {quiet} s after the ring was one")
        found, waits = list(checker.close()), sorted(fleet.clients.decision_waits_s)
        alive, messages = len(fleet.hosts) * fleet.clock.now, fleet.network.message_count
        return {
            "seed": fleet.seed,
            "agents": len(fleet.hosts),
            "violations": len(found),
            "found": found,
            "lookups": fleet.clients.submitted,
            "served": self.served(self.patient[:asked]),
            "served_after": self.served(self.patient[asked:]),
            "shop_after": round(shop / 20.0 / LIMITS["shop"].rate, 4),
            "waited_p50": round(waits[len(waits) // 2], 4),
            "waited_p99": round(waits[len(waits) * 99 // 100], 4),
            "founded_s": round(founded, 2),
            "one_ring_s": round(one_ring, 2),
            "equal_s": round(equal, 2),
            "messages": round(messages / alive, 2),
            "bytes": round(sum(fleet.network.bytes_by_sender.values()) / alive, 1),
            "marks": len(checker.attempt_records),
            "marks_lost": lost,
            "over_limit": round(max(map(checker.excess, fleet.settings.limits)), 3),
            "rings": len(checker.ring_agreement.adopted_at),
            "events": dict(sorted(fleet.event_counts.items())),
        }

    def served(self, intents) -> float:
        """Of requests whose clients wait for their answers; tenants ask for more than their limits."""
        return round(sum("completed" in self.fleet.outcomes[each] for each in intents) / len(intents), 4)


def run_day(
    seed: int,
    agents: int = 6,
    seconds: float = 60.0,
    *,
    quiet: float = 90.0,
    pause_s: float = 4.0,
    requests: float = 20.0,
    upgrade: bool = False,
    apart: float = 0.001,
    **terms,
) -> dict:
    """Figures of one day. `pause_s`: between faults, on average; `requests`: a second; `upgrade`: the program
    is brought up agent by agent, and one rolled back; `apart`: share by which monotonic clocks differ;
    `terms`: further keys of the operator file. "found" lists what the judge found; "one_ring_s" and "equal_s"
    count from when all was healed, "served_after" and "shop_after" (of a limit that is asked for
    OVERLOAD_FACTOR
    times) are of 20 s after that; "waited" is seconds; "messages" and "bytes" are by agent and second."""
    return FaultSchedule(seed, agents, seconds, pause_s, requests, upgrade, apart, terms).play(quiet)
