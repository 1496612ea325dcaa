"""Runs the stories of tests/fleet/stories/ over the in-memory fleet: with a seed, and without sleeping.

In addition to the steps of a story, the invariant checker must report nothing at its end.
"""

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

SHOP_REQUEST = AdmissionRequest(tenant="shop", workload="read")
SETTING_KEYS = {  # words of a step -> key of FleetSettings
    "attempt records are kept for": "longest_mark_s",
    "the limit of hints is": "most_hints",
    "the limit of records is": "most_records",
    "the limit of attempt records in a session is": "most_marks_a_session",
    "the highest allowed version is": "hold_version",
}


class Story:
    """A fleet, its clients, and a reference: a ring or a time with which a later step compares."""

    def __init__(self):
        self.size, self.zones, self.settings, self.settings_by_agent = 3, 3, {}, {}
        self.fleet, self.clients, self.reference = None, [], None

    def start_fleet(self):
        """Starts the fleet, and waits until it has settled. Agents that join later are no seeds."""
        seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(self.size)}
        fleet_settings = FleetSettings(fleet="f", name="", key=b"k" * 32, seeds=seeds, **self.settings)
        self.fleet = fleet = InMemoryFleet(fleet_settings, 1)
        for number in range(self.size):
            self.add(f"a{number}")
        assert fleet.run_until(fleet.has_one_ring, 20.0) < 20.0
        # Until attempt records from before the start would have expired, with a margin of 16 s.
        fleet.run(fleet_settings.longest_mark_s + 16.0)

    def add(self, name, **changes):
        settings = {**self.settings_by_agent.get(name, {}), **changes}
        wall_offset_s = settings.pop("wall_offset_s", 0.0)
        host = self.fleet.add(name, zone=f"z{int(name[1:]) % self.zones}", start=False, **settings)
        host.wall_offset_s = wall_offset_s
        host.start()

    def agents_named(self, text):
        """The agents that `text` names: running agents, the last session's owners, or agents by name."""
        if text.startswith("all owners"):
            return list(self.owners())
        return list(self.fleet.nodes()) if text == "all agents" else re.findall(r"a\d+", text)

    def other_agents(self, names):
        return [name for name in self.fleet.hosts if name not in names]

    def submit(self, agents, repeat="u", work_s=0.05, patience_s=None, **fields):
        """A client's request goes to the first agent, and after a disconnect or rejection to the next one."""
        number = len(self.clients)
        request = AdmissionRequest(
            **{
                "session": f"s{number}",
                "key": f"k{number}",
                "repeat": repeat,
                "limit_s": 20.0,
                "workload": "sheet",
                **fields,
            }
        )
        intent_id = self.fleet.submit(request, agents, len(agents), work_s, patience_s or work_s + 1.0)
        self.clients.append((intent_id, request))

    def outcomes(self, client=-1):
        return self.fleet.outcomes[self.clients[client][0]]

    def run_count(self, client=-1):
        return len(self.fleet.checker.executions[self.clients[client][0]])

    def record_key(self, client=-1):
        return f"s/{self.clients[client][1].session}"

    @property
    def ring(self):
        """The ring of the newest epoch that an agent has."""
        rings = [node.ring for node in self.fleet.nodes().values() if node.ring]
        return max(rings, key=lambda ring: ring.epoch, default=Ring(0, ()))

    def owners(self, client=-1):
        return owners(self.ring, self.record_key(client).encode(), 3)

    def attempts_by_owner(self, client=-1):
        """The attempt records of the request, by running owner."""
        nodes = self.fleet.nodes()
        records = {
            name: nodes[name].replica.store.get(self.record_key(client))
            for name in self.owners(client)
            if name in nodes
        }
        return {
            name: [
                attempt for attempt in record.attempts.values() if attempt.key == self.clients[client][1].key
            ]
            if record
            else []
            for name, record in records.items()
        }


@pytest.fixture
def story():
    story = Story()
    yield story
    assert story.fleet.checker.close() == []


def steps(decorator, *patterns):
    """One function for several patterns of a step; their groups become its arguments."""

    def decorate(function):
        for pattern in patterns:
            function = decorator(parsers.re(pattern), stacklevel=2)(function)
        return function

    return decorate


AGENTS_PATTERN = r"(?P<who>all agents|all owners[a-z ]*|a\d+(?:(?:, | and )a\d+)*)"
SECONDS_PATTERN = r"(?P<seconds>\d+(?:\.\d+)?) seconds?"


# The fleet and its settings


@steps(given, r"a fleet of (?P<size>\d+) agents in (?P<zones>\d+) zones?")
def _(story, size, zones):
    story.size, story.zones = int(size), int(zones)


@steps(given, r"tenant shop has a limit of (?P<rate>\d+) requests per second and a burst of (?P<burst>\d+)")
def _(story, rate, burst):
    story.settings["limits"] = {"shop": RateLimit(float(rate), float(burst))}


@steps(given, rf"(?P<setting>{'|'.join(SETTING_KEYS)}) (?P<value>\d+)(?: seconds)?")
def _(story, value, setting):
    story.settings[SETTING_KEYS[setting]] = int(value)


@steps(given, rf"{AGENTS_PATTERN} runs? the old program")
def _(story, who):
    for name in [f"a{n}" for n in range(story.size)] if who == "all agents" else story.agents_named(who):
        story.settings_by_agent.setdefault(name, {})["reads"] = (1, 1)


@steps(given, rf"{AGENTS_PATTERN} has capacity (?P<capacity>\d+)")
def _(story, who, capacity):
    story.settings_by_agent.setdefault(who, {})["capacity"] = float(capacity)


@steps(given, rf"the clock of {AGENTS_PATTERN} is (?P<offset_s>\d+) seconds (?P<direction>ahead|back)")
def _(story, who, offset_s, direction):
    story.settings_by_agent.setdefault(who, {})["wall_offset_s"] = float(offset_s) * (
        1 if direction == "ahead" else -1
    )


@given("the fleet has settled")
def _(story):
    story.start_fleet()


# Faults and changes


@steps(when, rf"{SECONDS_PATTERN} pass(?:es)?")
def _(story, seconds):
    story.fleet.run(float(seconds))


@steps(when, rf"{AGENTS_PATTERN} (?:is|are) killed")
def _(story, who):
    for name in story.agents_named(who):
        story.fleet.kill(name)


@steps(
    when,
    rf"{AGENTS_PATTERN} restarts? without state(?: and with the (?P<program>old|new) program)?",
    rf"{AGENTS_PATTERN} (?:is|are) started(?: with the (?P<program>old|new) program)?",
)
def _(story, who, program):
    reads = {} if program is None else {"reads": (1, 1) if program == "old" else (1, 2)}
    for name in story.agents_named(who):
        story.fleet.kill(name)
        story.fleet.start(name, **reads)


@steps(when, rf"{AGENTS_PATTERN} (?:is|are) stopped for {SECONDS_PATTERN}")
def _(story, who, seconds):
    for name in story.agents_named(who):
        story.fleet.stop(name, float(seconds))


@steps(when, rf"{AGENTS_PATTERN} leaves")
def _(story, who):
    story.fleet.leave(who)


@steps(when, rf"{AGENTS_PATTERN} joins?(?: with capacity (?P<capacity>\d+))?")
def _(story, who, capacity):
    for name in story.agents_named(who):
        story.add(name, capacity=float(capacity or 1))


@steps(when, rf"{AGENTS_PATTERN} (?:is|are) cut off")
def _(story, who):
    story.fleet.cut(story.agents_named(who), story.other_agents(story.agents_named(who)))


@steps(when, rf"{AGENTS_PATTERN} no longer receives? messages")
def _(story, who):
    story.fleet.cut_inbound(story.other_agents(story.agents_named(who)), story.agents_named(who))


@steps(when, rf"{AGENTS_PATTERN} no longer receives? messages from (?P<sender>a\d+)")
def _(story, who, sender):
    story.fleet.cut_inbound([sender], story.agents_named(who))


@when("the cuts end")
def _(story):
    story.fleet.heal()


@when("messages are lost, duplicated, up to 5 seconds late and out of order")
def _(story):
    story.fleet.conditions = NetworkConditions(
        loss_rate=0.05, duplication_rate=0.3, jitter_s=0.01, late_rate=0.1, max_late_s=5.0
    )


@when("the network recovers")
def _(story):
    story.fleet.conditions = NetworkConditions()


@steps(when, rf"the clock of {AGENTS_PATTERN} is set (?P<offset_s>\d+) seconds (?P<direction>ahead|back)")
def _(story, who, offset_s, direction):
    story.fleet.hosts[who].wall_offset_s += float(offset_s) * (1 if direction == "ahead" else -1)


@steps(when, rf"{AGENTS_PATTERN} crashes and restarts (?P<times>\d+) times in {SECONDS_PATTERN}")
def _(story, who, times, seconds):
    for _ in range(int(times)):
        story.fleet.kill(who)
        story.fleet.run(float(seconds) / int(times) / 2)
        story.fleet.start(who)
        story.fleet.run(float(seconds) / int(times) / 2)


@steps(
    when,
    rf"the capacities? of {AGENTS_PATTERN} fluctuates? by (?P<share>\d+)% each second for {SECONDS_PATTERN}",
)
def _(story, who, share, seconds):
    for turn in range(int(float(seconds))):
        for name in story.agents_named(who):
            story.fleet.set_capacity(name, 1.0 + (-1) ** turn * int(share) / 100)
        story.fleet.run(1.0)


@steps(when, r"the fleet is in phase (?P<phase>\w+)")
def _(story, phase):
    assert story.fleet.run_until(lambda: story.ring.phase == phase, 40.0) < 40.0


@when("the agent that proposes the next ring is killed")
def _(story):
    story.fleet.kill(next(name for name in story.ring.names if name in story.fleet.nodes()))


@when("a newer program adds a field to the session at a0")
def _(story):
    key, node = story.record_key(), story.fleet.nodes()["a0"]
    store = node.replica.store
    store.merge(key, Session(store.get(key).attempts, {"new": {"by": "a0", "n": [7]}}))


# Clients


@steps(
    when,
    r"a client sends a non-idempotent request to (?P<first>a\d+)(?:, which takes (?P<work_s>\d+) seconds)?"
    r"(?:, and would retry at (?P<others>a\d+(?:(?:, | and )a\d+)*))?",
)
def _(story, first, work_s, others):
    story.submit([first, *re.findall(r"a\d+", others or "")], work_s=float(work_s or 0.05))
    story.fleet.run(0.2)


@steps(
    when,
    rf"(?P<count>\d+) clients(?: of tenant (?P<tenant>\w+))? send non-idempotent requests to {AGENTS_PATTERN}"
    rf"(?: over {SECONDS_PATTERN})?",
)
def _(story, count, tenant, who, seconds):
    agents = story.agents_named(who)
    for number in range(int(count)):
        rotated_agents = [agents[(number + turn) % len(agents)] for turn in range(len(agents))]
        story.submit(rotated_agents, tenant=tenant or "")
        story.fleet.run(float(seconds or 1) / int(count))
    story.fleet.run(0.3)


@steps(
    when,
    r"a client sends a request that is deduplicated (?P<group>everywhere|in its zone) for "
    rf"{SECONDS_PATTERN} to (?P<first>a\d+), and retries at (?P<others>a\d+(?:(?:, | and )a\d+)*) after "
    r"(?P<patience_s>\d+) seconds?",
)
def _(story, group, seconds, first, others, patience_s):
    story.submit(
        [first, *re.findall(r"a\d+", others)],
        "d",
        60.0,
        float(patience_s),
        window_s=float(seconds),
        group="all" if group == "everywhere" else "zone",
    )
    story.fleet.run(0.2)


@steps(when, rf"(?P<count>\d+) clients of one session send non-idempotent requests to {AGENTS_PATTERN}")
def _(story, count, who):
    for number in range(int(count)):
        story.submit([story.agents_named(who)[number % len(story.agents_named(who))]], session="crowd")
        story.fleet.run(0.1)


@steps(when, r"the client retries at (?P<who>a\d+)")
def _(story, who):
    intent_id, request = story.clients[-1]
    story.fleet.submit_retry(intent_id, request, who)
    story.fleet.run(0.3)


@steps(when, rf"shop sends (?P<rate>\d+) requests per second to {AGENTS_PATTERN} for {SECONDS_PATTERN}")
def _(story, rate, who, seconds):
    story.reference = story.fleet.clock.now
    agents = story.agents_named(who)
    for turn in range(int(int(rate) * float(seconds))):
        story.fleet.submit(SHOP_REQUEST, [agents[turn % len(agents)]])
        story.fleet.run(1 / int(rate))


# Expected results


@steps(then, r"the outcomes of the client's tries are: (?P<outcomes>.*)")
def _(story, outcomes):
    assert story.outcomes() == outcomes.split(", ")


@steps(then, r"its request ran (?P<times>once|never)")
def _(story, times):
    assert story.run_count() == (times == "once")


@steps(then, r"(?P<quantity>all|none|most|some) of the (?P<count>\d+) requests ran")
def _(story, quantity, count):
    run_count = sum(story.run_count(client) for client in range(-int(count), 0))
    min_share, max_share = {"all": (1, 1), "none": (0, 0), "most": (0.8, 1), "some": (0.01, 0.99)}[quantity]
    assert min_share * int(count) <= run_count <= max_share * int(count), run_count


@steps(then, rf"the last request ran in one zone, (?P<times>\d+) times within {SECONDS_PATTERN}")
def _(story, times, seconds):
    executions = story.fleet.checker.executions[story.clients[-1][0]]
    assert len(executions) == int(times) and len({each.zone for each in executions}) == 1
    assert executions[-1].at - executions[0].at <= float(seconds)


@steps(
    then, r"shop was served at least (?P<share>\d+)% of its limit(?: in the last (?P<last_s>\d+) seconds)?"
)
def _(story, share, last_s):
    now, limit = story.fleet.clock.now, story.settings["limits"]["shop"]
    since = now - float(last_s) if last_s else story.reference
    served = sum(since <= at <= now for at in story.fleet.checker.admission_times["shop"])
    assert served >= int(share) / 100 * limit.rate * (now - since), served / limit.rate / (now - since)


@steps(then, rf"all agents use one ring of (?P<size>\d+) members within {SECONDS_PATTERN}")
def _(story, size, seconds):
    fleet = story.fleet
    duration_s = fleet.run_until(
        lambda: fleet.has_one_ring() and len(story.ring.members) == int(size), float(seconds)
    )
    assert duration_s < float(seconds), [(name, node.ring) for name, node in fleet.nodes().items()]


@steps(then, rf"the fleet writes version (?P<version>\d) within {SECONDS_PATTERN}")
def _(story, version, seconds):
    def is_upgraded():
        nodes, ring = story.fleet.nodes(), story.ring
        return (ring.written_version, ring.phase) == (int(version), "steady") and all(
            nodes[name].ring == ring for name in ring.names if name in nodes
        )

    assert story.fleet.run_until(is_upgraded, float(seconds)) < float(seconds), story.ring


@steps(then, rf"all copies are equal within {SECONDS_PATTERN}")
def _(story, seconds):
    fleet = story.fleet
    assert fleet.run_until(fleet.replicas_agree, float(seconds), 0.5) < float(seconds)


@steps(then, r"none of at least (?P<count>\d+) attempt records is lost")
def _(story, count):
    fleet = story.fleet
    assert fleet.count_lost_records() == 0
    assert len(fleet.checker.attempt_records) >= int(count)


@steps(then, r"all owners have recorded that the request (?P<certainty>was answered|may have run)")
def _(story, certainty):
    story.fleet.run(3.0)
    min_certainty = Certainty.ANSWERED if certainty == "was answered" else Certainty.CLAIMED
    attempts_by_owner = story.attempts_by_owner()
    assert attempts_by_owner and all(
        attempts and min(attempt.certainty for attempt in attempts) >= min_certainty
        for attempts in attempts_by_owner.values()
    ), attempts_by_owner


@steps(then, r"(?:an agent has logged: )(?P<event>.*)")
def _(story, event):
    assert story.fleet.event_counts[event]


@steps(then, r"an agent has counted: (?P<counter>.*)")
def _(story, counter):
    assert sum(node.counters[counter] for node in story.fleet.nodes().values())


@when("the current ring is noted")
def _(story):
    assert story.fleet.has_one_ring()
    story.reference = story.ring


@then("the ring is the noted one")
def _(story):
    assert story.fleet.has_one_ring() and story.ring == story.reference


@steps(then, r"no more keys have moved than necessary")
def _(story):
    """Compares the first owners of 2,000 keys; the invariant checker checks each ring on the way."""
    keys = [f"s/{n}".encode() for n in range(2000)]
    moved = sum(owners(story.reference, key, 1) != owners(story.ring, key, 1) for key in keys) / 2000
    assert moved <= minimal_movement(story.reference, story.ring) + 0.03 and story.reference != story.ring, (
        moved
    )


@steps(then, r"each agent owns its share of the keys")
def _(story):
    first_owners = [owners(story.ring, f"s/{n}".encode(), 1)[0] for n in range(4000)]
    for member in story.ring.members:
        share = member.capacity / story.ring.capacity
        assert abs(first_owners.count(member.name) / 4000 - share) < 0.03, member


@steps(then, r"a0 has the newer field again")
def _(story):
    assert story.fleet.nodes()["a0"].replica.store.get(story.record_key()).unknown_fields["new"] == {
        "by": "a0",
        "n": [7],
    }
