"""The stories of tests/fleet/stories/, played over the in-memory fleet: seeded, with no sleep. Whatever else
a story asks, the judge has the last word on it."""

import re

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from cartdeal.fleet.idempotency import AdmissionRequest
from cartdeal.fleet.replication.records import Certainty, Session
from cartdeal.fleet.ring.movement import minimal_movement
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings, RateLimit
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet
from cartdeal.fleet.simulation.network import NetworkConditions

scenarios("stories")

SHOP = AdmissionRequest(tenant="shop", workload="read")
TERMS = {  # an operator's words -> keys of the operator file
    "marks last": "longest_mark_s",
    "hints are kept": "most_hints",
    "records are kept": "most_records",
    "marks fit in a session": "most_marks_a_session",
    "is the highest version held": "hold_version",
}


class Story:
    """A fleet, the clients that came, and what was seen at one moment, to be held against a later one."""

    def __init__(self):
        self.size, self.zones, self.terms, self.each = 3, 3, {}, {}
        self.memory, self.clients, self.before = None, [], None

    def begin(self):
        """Agents that come later are known to all by name, but are no seeds."""
        seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(self.size)}
        fleet_settings = FleetSettings(fleet="f", name="", key=b"k" * 32, seeds=seeds, **self.terms)
        self.memory = memory = InMemoryFleet(fleet_settings, 1)
        for number in range(self.size):
            self.add(f"a{number}")
        assert memory.run_until(memory.has_one_ring, 20.0) < 20.0
        memory.run(fleet_settings.longest_mark_s + 16.0)  # until nothing of before its founding may be due

    def add(self, name, **changes):
        terms = {**self.each.get(name, {}), **changes}
        skew = terms.pop("skew", 0.0)
        host = self.memory.add(name, zone=f"z{int(name[1:]) % self.zones}", start=False, **terms)
        host.wall_offset_s = skew
        host.start()

    def named(self, text):
        """Agents by name, or those that run, or the owners of the last client's session."""
        if text.startswith("all owners"):
            return list(self.owners())
        return list(self.memory.nodes()) if text == "all agents" else re.findall(r"a\d+", text)

    def others(self, names):
        return [name for name in self.memory.hosts if name not in names]

    def come(self, agents, repeat="u", take=0.05, patience=None, **more):
        """A client comes to the first agent, and to the next one when it breaks off or is rejected."""
        number = len(self.clients)
        question = AdmissionRequest(
            **{
                "session": f"s{number}",
                "key": f"k{number}",
                "repeat": repeat,
                "limit_s": 20.0,
                "workload": "sheet",
                **more,
            }
        )
        intent = self.memory.submit(question, agents, len(agents), take, patience or take + 1.0)
        self.clients.append((intent, question))

    def outcomes(self, client=-1):
        return self.memory.outcomes[self.clients[client][0]]

    def ran(self, client=-1):
        return len(self.memory.checker.executions[self.clients[client][0]])

    def key(self, client=-1):
        return f"s/{self.clients[client][1].session}"

    @property
    def ring(self):
        """The newest."""
        rings = [node.ring for node in self.memory.nodes().values() if node.ring]
        return max(rings, key=lambda ring: ring.epoch, default=Ring(0, ()))

    def owners(self, client=-1):
        return owners(self.ring, self.key(client).encode(), 3)

    def marks(self, client=-1):
        """Of each owner that runs, what it knows of the request."""
        nodes = self.memory.nodes()
        records = {
            name: nodes[name].replica.store.get(self.key(client))
            for name in self.owners(client)
            if name in nodes
        }
        return {
            name: [mark for mark in record.attempts.values() if mark.key == self.clients[client][1].key]
            if record
            else []
            for name, record in records.items()
        }


@pytest.fixture
def story():
    story = Story()
    yield story
    assert story.memory.checker.close() == []


def steps(decorator, *patterns):
    """One function for several sentences; groups of the pattern become its arguments."""

    def wrapped(do):
        for pattern in patterns:
            do = decorator(parsers.re(pattern), stacklevel=2)(do)
        return do

    return wrapped


WHO = r"(?P<who>all agents|all owners[a-z ]*|a\d+(?:(?:, | and )a\d+)*)"
SECONDS = r"(?P<seconds>\d+(?:\.\d+)?) seconds?"


# What there is


@steps(given, r"a fleet of (?P<size>\d+) agents in (?P<zones>\d+) zones?")
def _(story, size, zones):
    story.size, story.zones = int(size), int(zones)


@steps(given, r"shop may have (?P<rate>\d+) requests a second and (?P<burst>\d+) at once")
def _(story, rate, burst):
    story.terms["limits"] = {"shop": RateLimit(float(rate), float(burst))}


@steps(given, rf"(?P<most>\d+) (?:seconds )?(?P<what>{'|'.join(TERMS)})")
def _(story, most, what):
    story.terms[TERMS[what]] = int(most)


@steps(given, rf"{WHO} runs? the old program")
def _(story, who):
    for name in [f"a{n}" for n in range(story.size)] if who == "all agents" else story.named(who):
        story.each.setdefault(name, {})["reads"] = (1, 1)


@steps(given, rf"{WHO} has capacity (?P<capacity>\d+)")
def _(story, who, capacity):
    story.each.setdefault(who, {})["capacity"] = float(capacity)


@steps(given, rf"the clock of {WHO} is (?P<by>\d+) seconds (?P<way>ahead|back)")
def _(story, who, by, way):
    story.each.setdefault(who, {})["skew"] = float(by) * (1 if way == "ahead" else -1)


@given("the fleet has settled")
def _(story):
    story.begin()


# What happens to agents and between them


@steps(when, rf"{SECONDS} pass(?:es)?")
def _(story, seconds):
    story.memory.run(float(seconds))


@steps(when, rf"{WHO} (?:is|are) killed")
def _(story, who):
    for name in story.named(who):
        story.memory.kill(name)


@steps(
    when,
    rf"{WHO} starts? from nothing(?: with the (?P<program>old|new) program)?",
    rf"{WHO} (?:is|are) started(?: with the (?P<program>old|new) program)?",
)
def _(story, who, program):
    reads = {} if program is None else {"reads": (1, 1) if program == "old" else (1, 2)}
    for name in story.named(who):
        story.memory.kill(name)
        story.memory.start(name, **reads)


@steps(when, rf"{WHO} (?:is|are) stopped for {SECONDS}")
def _(story, who, seconds):
    for name in story.named(who):
        story.memory.stop(name, float(seconds))


@steps(when, rf"{WHO} leaves")
def _(story, who):
    story.memory.leave(who)


@steps(when, rf"{WHO} joins?(?: with capacity (?P<capacity>\d+))?")
def _(story, who, capacity):
    for name in story.named(who):
        story.add(name, capacity=float(capacity or 1))


@steps(when, rf"{WHO} (?:is|are) cut off")
def _(story, who):
    story.memory.cut(story.named(who), story.others(story.named(who)))


@steps(when, rf"{WHO} hears? nobody any more")
def _(story, who):
    story.memory.cut_inbound(story.others(story.named(who)), story.named(who))


@steps(when, rf"{WHO} no longer hears? (?P<speaker>a\d+)")
def _(story, who, speaker):
    story.memory.cut_inbound([speaker], story.named(who))


@when("the cuts heal")
def _(story):
    story.memory.heal()


@when("messages are lost, doubled, up to 5 seconds late and out of order")
def _(story):
    story.memory.conditions = NetworkConditions(
        loss_rate=0.05, duplication_rate=0.3, jitter_s=0.01, late_rate=0.1, max_late_s=5.0
    )


@when("the network is well again")
def _(story):
    story.memory.conditions = NetworkConditions()


@steps(when, rf"the clock of {WHO} is set (?P<by>\d+) seconds (?P<way>ahead|back)")
def _(story, who, by, way):
    story.memory.hosts[who].wall_offset_s += float(by) * (1 if way == "ahead" else -1)


@steps(when, rf"{WHO} dies and comes back (?P<times>\d+) times in {SECONDS}")
def _(story, who, times, seconds):
    for _ in range(int(times)):
        story.memory.kill(who)
        story.memory.run(float(seconds) / int(times) / 2)
        story.memory.start(who)
        story.memory.run(float(seconds) / int(times) / 2)


@steps(when, rf"the capacities? of {WHO} wobbles? by (?P<share>\d+)% each second for {SECONDS}")
def _(story, who, share, seconds):
    for turn in range(int(float(seconds))):
        for name in story.named(who):
            story.memory.set_capacity(name, 1.0 + (-1) ** turn * int(share) / 100)
        story.memory.run(1.0)


@steps(when, r"the fleet is in phase (?P<phase>\w+)")
def _(story, phase):
    assert story.memory.run_until(lambda: story.ring.phase == phase, 40.0) < 40.0


@when("whoever proposes the next ring is killed")
def _(story):
    story.memory.kill(next(name for name in story.ring.names if name in story.memory.nodes()))


@when("a newer program adds a field to the session at a0")
def _(story):
    key, node = story.key(), story.memory.nodes()["a0"]
    store = node.replica.store
    store.merge(key, Session(store.get(key).attempts, {"new": {"by": "a0", "n": [7]}}))


# Clients


@steps(
    when,
    r"a client submits its sheet at (?P<first>a\d+)(?:, which takes (?P<take>\d+) seconds)?"
    r"(?:, and would come again at (?P<then>a\d+(?:(?:, | and )a\d+)*))?",
)
def _(story, first, take, then):
    story.come([first, *re.findall(r"a\d+", then or "")], take=float(take or 0.05))
    story.memory.run(0.2)


@steps(
    when,
    rf"(?P<count>\d+) clients(?: of (?P<tenant>\w+))? submit their sheets at {WHO}"
    rf"(?: over {SECONDS})?",
)
def _(story, count, tenant, who, seconds):
    agents = story.named(who)
    for number in range(int(count)):
        turns = [agents[(number + turn) % len(agents)] for turn in range(len(agents))]
        story.come(turns, tenant=tenant or "")
        story.memory.run(float(seconds or 1) / int(count))
    story.memory.run(0.3)


@steps(
    when,
    r"a client sends a request that is deduplicated (?P<group>everywhere|in its zone) for "
    rf"{SECONDS} to (?P<first>a\d+), and comes again at (?P<then>a\d+(?:(?:, | and )a\d+)*) after "
    r"(?P<patience>\d+) seconds?",
)
def _(story, group, seconds, first, then, patience):
    story.come(
        [first, *re.findall(r"a\d+", then)],
        "d",
        60.0,
        float(patience),
        window_s=float(seconds),
        group="all" if group == "everywhere" else "zone",
    )
    story.memory.run(0.2)


@steps(when, rf"(?P<count>\d+) clients of one session submit their sheets at {WHO}")
def _(story, count, who):
    for number in range(int(count)):
        story.come([story.named(who)[number % len(story.named(who))]], session="crowd")
        story.memory.run(0.1)


@steps(when, r"the client comes again at (?P<who>a\d+)")
def _(story, who):
    intent, question = story.clients[-1]
    story.memory.submit_retry(intent, question, who)
    story.memory.run(0.3)


@steps(when, rf"shop asks (?P<rate>\d+) times a second at {WHO} for {SECONDS}")
def _(story, rate, who, seconds):
    story.before = story.memory.clock.now
    agents = story.named(who)
    for turn in range(int(int(rate) * float(seconds))):
        story.memory.submit(SHOP, [agents[turn % len(agents)]])
        story.memory.run(1 / int(rate))


# What is seen


@steps(then, r"the client was told: (?P<message>.*)")
def _(story, message):
    assert story.outcomes() == message.split(", ")


@steps(then, r"its sheet ran (?P<times>once|never)")
def _(story, times):
    assert story.ran() == (times == "once")


@steps(then, r"(?P<some>all|none|most|some) of the (?P<count>\d+) sheets ran")
def _(story, some, count):
    ran = sum(story.ran(client) for client in range(-int(count), 0))
    least, most = {"all": (1, 1), "none": (0, 0), "most": (0.8, 1), "some": (0.01, 0.99)}[some]
    assert least * int(count) <= ran <= most * int(count), ran


@steps(then, rf"the last request ran in one zone, (?P<times>\d+) times within {SECONDS}")
def _(story, times, seconds):
    ran = story.memory.checker.executions[story.clients[-1][0]]
    assert len(ran) == int(times) and len({each.zone for each in ran}) == 1
    assert ran[-1].at - ran[0].at <= float(seconds)


@steps(then, r"shop got at least (?P<share>\d+)% of its limit(?: in the last (?P<last>\d+) seconds)?")
def _(story, share, last):
    now, limit = story.memory.clock.now, story.terms["limits"]["shop"]
    since = now - float(last) if last else story.before
    served = sum(since <= at <= now for at in story.memory.checker.admission_times["shop"])
    assert served >= int(share) / 100 * limit.rate * (now - since), served / limit.rate / (now - since)


@steps(then, rf"all agents have one ring of (?P<seats>\d+) within {SECONDS}")
def _(story, seats, seconds):
    memory = story.memory
    duration_s = memory.run_until(
        lambda: memory.has_one_ring() and len(story.ring.members) == int(seats), float(seconds)
    )
    assert duration_s < float(seconds), [(name, node.ring) for name, node in memory.nodes().items()]


@steps(then, rf"the fleet writes version (?P<version>\d) within {SECONDS}")
def _(story, version, seconds):
    def found():
        nodes, ring = story.memory.nodes(), story.ring
        return (ring.written_version, ring.phase) == (int(version), "steady") and all(
            nodes[name].ring == ring for name in ring.names if name in nodes
        )

    assert story.memory.run_until(found, float(seconds)) < float(seconds), story.ring


@steps(then, rf"all copies are equal within {SECONDS}")
def _(story, seconds):
    memory = story.memory
    assert memory.run_until(memory.replicas_agree, float(seconds), 0.5) < float(seconds)


@steps(then, r"no mark of the (?P<count>\d+) sheets is lost")
def _(story, count):
    memory = story.memory
    assert memory.count_lost_records() == 0
    assert len(memory.checker.attempt_records) >= int(count)


@steps(then, r"all owners know that the sheet (?P<what>was answered|may have run)")
def _(story, what):
    story.memory.run(3.0)
    least = Certainty.ANSWERED if what == "was answered" else Certainty.CLAIMED
    found = story.marks()
    assert found and all(
        marks and min(mark.certainty for mark in marks) >= least for marks in found.values()
    ), found


@steps(then, r"(?:an operator was told of: )(?P<note>.*)")
def _(story, note):
    assert story.memory.event_counts[note]


@steps(then, r"it was counted: (?P<what>.*)")
def _(story, what):
    assert sum(node.counters[what] for node in story.memory.nodes().values())


@when("the ring is looked at")
def _(story):
    assert story.memory.has_one_ring()
    story.before = story.ring


@then("the ring is the same as before")
def _(story):
    assert story.memory.has_one_ring() and story.ring == story.before


@steps(then, r"no more keys have moved than had to")
def _(story):
    """The judge has held each step to that; here the sum of them, by the first owners of 2,000 keys."""
    keys = [f"s/{n}".encode() for n in range(2000)]
    moved = sum(owners(story.before, key, 1) != owners(story.ring, key, 1) for key in keys) / 2000
    assert moved <= minimal_movement(story.before, story.ring) + 0.03 and story.before != story.ring, moved


@steps(then, r"each agent keeps its share of the keys")
def _(story):
    firsts = [owners(story.ring, f"s/{n}".encode(), 1)[0] for n in range(4000)]
    for seat in story.ring.members:
        share = seat.capacity / story.ring.capacity
        assert abs(firsts.count(seat.name) / 4000 - share) < 0.03, seat


@steps(then, r"a0 has the newer field back")
def _(story):
    assert story.memory.nodes()["a0"].replica.store.get(story.key()).unknown_fields["new"] == {
        "by": "a0",
        "n": [7],
    }
