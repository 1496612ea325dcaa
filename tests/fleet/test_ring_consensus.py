"""Agreement on the ring, on a small network: drops, delays, doubles, reorders, cuts one way, restarts."""

from collections import Counter
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace

import msgspec
import pytest

from cartdeal.fleet.consensus import messages
from cartdeal.fleet.consensus.acceptor import Acceptor
from cartdeal.fleet.consensus.proposer import Proposer
from cartdeal.fleet.consensus.ring_consensus import RingConsensus
from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.ring.steps import apply_step, step_between
from cartdeal.fleet.settings import FleetSettings

DECODER = msgspec.msgpack.Decoder(messages.MESSAGE_TYPES[0] | messages.MESSAGE_TYPES[1])
for kind in messages.MESSAGE_TYPES[2:]:
    DECODER = msgspec.msgpack.Decoder(DECODER.type | kind)


class SimulatedNetwork:
    """Agents on one clock; each sees as live whom it has not lost sight of.

    `hidden_pairs`: (agent, peer that it doesn't see).
    """

    def __init__(self, names, seed=1, loss=0.0, mean_delay_s=0.01, make=RingConsensus, **more):
        self.random = Random(seed)
        self.loss = loss
        self.mean_delay_s = mean_delay_s
        self.make_consensus = make
        self.now, self.scheduled, self.event_count, self.more_settings = 0.0, [], 0, more
        self.cut_links, self.hidden_pairs, self.stopped = set(), set(), {}
        self.seeds = dict.fromkeys(names, "")
        self.peers, self.agents, self.events, self.counts = {}, {}, [], {}
        self.first_adopted_at, self.stale_leases = {}, []
        self.digests_by_epoch, self.sent, self.bytes = {}, Counter(), Counter()
        self.next_versions = (1, "steady")
        for name in names:
            self.start(name)

    def start(self, name, capacity=1.0):
        self.event_count += 1
        fleet_settings = FleetSettings(fleet="f", name=name, seeds=self.seeds, **self.more_settings)
        context = SimpleNamespace(
            now=self.now,
            wall=1e9 + self.now,
            name=name,
            incarnation=self.event_count,
            random=Random(f"{name} {self.event_count}"),
        )
        self.counts[name] = Counter()
        context.send = lambda to, message: self.send(name, to, message)
        context.log_event = lambda event: self.events.append((name, event.MESSAGE))
        context.increment = lambda counter, by=1: self.counts[name].update({counter: by})
        self.peers[name] = SimpleNamespace(
            name=name,
            zone=f"z{len(self.peers) % 3}",
            capacity=capacity,
            state=0,
            incarnation=self.event_count,
            reads=(1, 2),
            caught_up_epoch=1 << 40,
        )
        self.agents[name] = agent = self.make_consensus(context, fleet_settings)
        self.schedule(0.1 * self.random.random(), self.tick, name, agent)

    def stop(self, name):
        del self.agents[name], self.peers[name]

    def schedule(self, after, *event):
        self.event_count += 1
        heappush(self.scheduled, (self.now + after, self.event_count, event))

    def send(self, sender, to, message):
        raw = msgspec.msgpack.encode(message)
        self.sent[sender] += 1
        self.bytes[sender] += len(raw)
        for _ in range(2 if self.random.random() < self.loss else 1):
            if self.random.random() >= self.loss:
                self.schedule(self.mean_delay_s * 2 * self.random.random(), self.arrive, sender, to, raw)

    def arrive(self, sender, to, raw):
        if to in self.agents and (sender, to) not in self.cut_links:
            if to in self.stopped:
                return self.stopped[to].append((sender, to, raw))
            agent = self.agents[to]
            agent.context.now = self.now
            agent.on_message(sender, DECODER.decode(raw))
            self.check_invariants(to, agent)

    def tick(self, name, agent):
        if self.agents.get(name) is agent:
            self.schedule(0.1, self.tick, name, agent)
            if name not in self.stopped:
                agent.context.now = self.now
                agent.tick(
                    {
                        each: self.peers[each]
                        for each in sorted(self.peers)
                        if (name, each) not in self.hidden_pairs
                    },
                    lambda ring, live: self.next_versions,
                )
                self.check_invariants(name, agent)

    def resume(self, name):
        for event in self.stopped.pop(name):
            self.arrive(*event)

    def check_invariants(self, name, agent):
        """Reads the ring of each agent: never two rings of one epoch, and no valid lease on one that the next
        one followed a lease ago."""
        if agent.ring:
            epoch = agent.ring.epoch
            self.digests_by_epoch.setdefault(epoch, {}).setdefault(agent.ring.digest, name)
            self.first_adopted_at.setdefault(epoch, self.now)
            if (
                agent.has_valid_lease()
                and self.now - self.first_adopted_at.get(epoch + 1, self.now) > agent.state.settings.lease_s
            ):
                self.stale_leases.append((name, epoch))

    def conflicting_epochs(self):
        return [epoch for epoch, rings in self.digests_by_epoch.items() if len(rings) > 1]

    def partition(self, one, other, both=True):
        for a in one:
            for b in other:
                self.cut_links |= {(a, b), (b, a)} if both else {(a, b)}
                self.hidden_pairs |= {(a, b), (b, a)} if both else {(b, a)}

    def heal(self):
        self.cut_links.clear(), self.hidden_pairs.clear()

    def run(self, seconds, until=None):
        end = self.now + seconds
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, (call, *args) = heappop(self.scheduled)
            call(*args)
            if until and until():
                return True
        self.now = end
        return False

    def rings(self):
        return {agent.ring and agent.ring.digest for agent in self.agents.values()}

    def settled(self):
        return self.agreed(self.agents) and all(
            agent.has_valid_lease() and agent.target.ring is None for agent in self.agents.values()
        )

    def agreed(self, names):
        held = [agent.ring for agent in self.agents.values()]
        return len(self.rings()) == 1 and held[0] is not None and held[0].names == tuple(sorted(names))


ABC = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")


def test_first_ring_is_agreed_once_and_all_have_a_valid_lease():
    net = SimulatedNetwork(ABC)
    assert net.run(6, lambda: net.agreed(ABC))
    net.run(0.3)
    assert all(agent.has_valid_lease() for agent in net.agents.values()) and not net.conflicting_epochs()
    assert net.agents["a"].ring.epoch == 1 and net.agents["a"].previous_ring is None


@pytest.mark.parametrize("seed", range(25))
def test_one_ring_an_epoch_through_faults(seed):
    net = SimulatedNetwork(FIVE, seed, loss=0.2, mean_delay_s=0.15)
    random = Random(seed)
    for turn in range(6):
        net.run(random.uniform(2, 9))
        fault = random.choice(["join", "cut", "one way", "crash", "stop", "capacity"])
        some = random.sample(sorted(net.agents), 2)
        if fault == "join":
            net.start(f"n{turn}")
        elif fault == "cut":
            net.partition(some, [name for name in net.agents if name not in some])
        elif fault == "one way":
            net.partition(some, [name for name in net.agents if name not in some], both=False)
        elif fault == "crash":
            net.stop(some[0])
            net.run(random.uniform(0, 8))
            net.start(some[0])
        elif fault == "stop":
            net.stopped[some[0]] = []
            net.run(random.uniform(0, 8))
            net.resume(some[0])
        else:
            net.peers[some[0]].capacity *= 3
        if random.random() < 0.6:
            net.run(random.uniform(0, 6))
            net.heal()
    net.heal()
    net.loss = 0.0
    assert net.run(90, net.settled), net.agents["a"].ring
    assert not net.conflicting_epochs() and not net.stale_leases


def settled(names=ABC, **more):
    net = SimulatedNetwork(names, **more)
    assert net.run(15, net.settled)
    return net


def agents_with_lease(net):
    return {name for name, agent in net.agents.items() if agent.has_valid_lease()}


def test_minority_agrees_no_ring_and_loses_its_lease():
    net = settled(FIVE)
    net.partition("ab", "cde")
    net.run(2.1)
    assert agents_with_lease(net) == set("cde")
    net.run(20)
    assert {agent.ring.epoch for name, agent in net.agents.items() if name in "ab"} == {1}
    assert net.agents["c"].ring.names == ("c", "d", "e") and agents_with_lease(net) == set("cde")
    net.heal()
    assert net.run(30, net.settled) and net.agreed(FIVE)


def test_without_a_majority_no_ring_is_agreed_and_it_is_logged_once():
    net = settled(FIVE)
    for name in "abc":
        net.stop(name)
    net.run(40)
    assert not agents_with_lease(net) and {agent.ring.epoch for agent in net.agents.values()} == {1}
    net.run(40)
    assert sorted(net.events) == [("d", "ring majority lost"), ("e", "ring majority lost")]
    net.start("a")  # what the log line asks for: an agent under one of the names
    assert net.run(30, net.settled) and net.agreed("ade")


def test_no_founding_without_a_majority_of_the_seeds():
    net = SimulatedNetwork(FIVE)
    for name in "abc":
        net.stop(name)
    net.run(50)
    assert net.rings() == {None} and ("e", "ring majority lost") in net.events
    net.start("c")
    assert net.run(20, net.settled) and net.agreed("cde")


def test_one_witness_removes_no_member():
    net = settled()
    net.hidden_pairs |= {("a", "c")}
    net.run(30)
    assert net.agents["b"].ring.epoch == 1 and net.counts["a"]["ballots rejected"]


def test_proposer_that_hears_nobody_delays_no_other():
    net = settled(FIVE)
    net.partition("bcde", "a", both=False)
    net.hidden_pairs.clear()
    net.start("f")
    assert net.run(30, lambda: all(len(net.agents[name].ring.names) == 6 for name in "bcde"))


def test_agent_paused_longer_than_its_lease_resumes_without_one():
    net = settled()
    net.stopped["c"] = []
    net.run(20)
    assert net.agents["a"].ring.names == ABC  # the table of members still has it
    agent = net.agents["c"]
    agent.context.now = net.now
    assert not agent.has_valid_lease()
    net.resume("c")
    assert not agent.has_valid_lease()  # by answers to what it asked before
    net.run(1)
    assert agent.has_valid_lease()


def test_ballot_that_outlived_its_lease_is_abandoned():
    net = settled()
    net.start("d")
    assert net.run(20, lambda: any(agent.proposer.proposal for agent in net.agents.values()))
    name = next(name for name, agent in net.agents.items() if agent.proposer.proposal)
    net.stopped[name] = []
    net.run(2.5)
    agent, held_messages = net.agents[name], net.stopped[name]
    agent.context.now = net.now
    for sender, _, raw in held_messages:
        if isinstance(message := DECODER.decode(raw), messages.Promise | messages.Accepted):
            agent.on_message(sender, message)
    assert agent.proposer.proposal is None and agent.acceptor.accepted is None


def test_acceptor_of_the_next_epoch_renews_no_lease():
    net = settled()
    agent, sent_messages = net.agents["b"], []
    agent.context.send = lambda to, message: sent_messages.append(message)
    head = agent.ring.epoch, agent.ring.digest
    agent.on_message("c", messages.LeaseRenewal(*head, 9))
    assert sent_messages.pop().ages[1] == 0
    agent.on_message("a", messages.Accept(*head, 7, step_between(agent.ring, Ring(2, agent.ring.members, 2))))
    assert (
        isinstance(sent_messages.pop(), messages.Accepted)
        and agent.acceptor.has_accepted_next
        and not agent.has_valid_lease()
    )
    agent.on_message("c", messages.LeaseRenewal(*head, 10))
    assert sent_messages.pop().ages[1] == messages.NOT_HEARD


def test_step_accepted_by_one_is_decided_although_its_proposer_died():
    net = settled()
    agent = net.agents["b"]
    wanted = step_between(agent.ring, Ring(2, agent.ring.members[1:]))
    agent.on_message("a", messages.Accept(1, agent.ring.digest, 7, wanted))
    assert net.run(3, lambda: net.agents["c"].ring.epoch == 2)
    assert net.agents["c"].ring.names == ("b", "c") and not net.conflicting_epochs()


def test_step_accepted_by_a_majority_is_what_another_proposer_decides():
    net = settled(FIVE)
    old, other = net.agents["a"].ring, net.agents["e"]
    first = step_between(old, Ring(2, old.members[1:]))
    for name in "bcd":
        net.agents[name].on_message("a", messages.Accept(1, old.digest, 7, first))
    other.proposer.highest_number = 7
    other.proposer.start_proposal(step_between(old, Ring(2, old.members[:-1])), ())
    net.run(1)
    assert net.digests_by_epoch[2].keys() == {apply_step(old, first).digest}


def test_restarted_acceptor_is_silent_for_two_leases_and_learns_the_ring():
    net = settled()
    net.stop("c")
    net.start("c")
    agent, sent_messages = net.agents["c"], []
    assert net.run(2, lambda: agent.ring is not None) and not agent.state.remembers_promises
    agent.context.send = lambda to, message: sent_messages.append(message)
    agent.on_message("a", messages.Prepare(1, agent.ring.digest, 7, ()))
    agent.on_message("a", messages.LeaseRenewal(1, agent.ring.digest, 7))
    assert sent_messages[0].reason == "forgot" and sent_messages[1].ages[2] == messages.NOT_HEARD


def test_conflicting_rings_end_in_the_lower_digest_everywhere():
    net = settled()
    old = net.agents["a"].ring
    conflicting = [Ring(2, old.members, written, founded_ms=old.founded_ms) for written in (1, 2)]
    conflicting.sort(key=lambda ring: ring.digest)
    for name, ring in (("a", conflicting[1]), ("b", conflicting[0])):
        net.agents[name].on_message("c", messages.RingUpdate(step_between(old, ring)))
        net.check_invariants(name, net.agents[name])
    net.run(2)
    assert net.conflicting_epochs() == [2] and net.rings() == {conflicting[0].digest}
    assert {name for name, kind in net.events if kind == "conflicting rings"} >= {"a"}
    net.agents["b"].on_message("c", messages.RingSnapshot(old, step_between(old, conflicting[1])))
    assert net.agents["b"].ring.digest == conflicting[0].digest and ("b", "conflicting rings") in net.events


def test_rings_from_far_ahead_or_malformed_are_dropped_and_counted():
    net = settled()
    agent, counts = net.agents["a"], net.counts["a"]
    ring = agent.ring
    one, two = ring.members[:2]
    agent.on_message("b", messages.LeaseRenewal(1 << 30, b"", 1))
    agent.on_message("b", messages.RingSnapshot(Ring(1 << 30, ring.members), step_between(ring, ring)))
    assert counts["dropped distant epoch"] == 2
    for seats in [
        (two, one),
        (one, one),
        (),
        (RingMember("x", "", 0.0),),
        (RingMember("x", "", float("nan")),),
        (RingMember("x", "", 2e6),),
        (RingMember("", "", 1.0),),
    ]:
        former = Ring(7, seats)
        agent.on_message("b", messages.RingSnapshot(former, step_between(former, Ring(8, ring.members))))
        bad = msgspec.structs.replace(
            step_between(ring, ring), epoch=2, members=seats, removed=() if seats else ABC
        )
        if seats not in [(two, one), (one, one)]:  # these are put in order, which makes them sound
            agent.on_message("b", messages.RingUpdate(bad))
            agent.on_message("b", messages.Accept(1, ring.digest, 5, bad))
    assert counts["dropped malformed ring"] == 17
    assert agent.ring is ring and not agent.acceptor.has_accepted_next


def test_a_step_of_the_schema_is_an_epoch():
    net = settled()
    net.next_versions = (1, "widen")
    net.run(4)
    assert net.settled()
    ring = net.agents["c"].ring
    assert (ring.epoch, ring.written_version, ring.phase, ring.names) == (2, 1, "widen", ABC)


def test_renewals_of_many_agents_cost_few_messages():
    net = settled([f"a{n:02}" for n in range(60)])
    net.sent.clear(), net.bytes.clear()
    net.run(10)
    assert len(agents_with_lease(net)) == 60
    assert max(net.sent.values()) < 10 * 60 and max(net.bytes.values()) < 10 * 4000
    net.start("b")
    net.sent.clear(), net.bytes.clear()
    assert net.run(20, lambda: "b" in net.agents["a05"].ring.member_by_name)
    assert sum(net.bytes.values()) < 61 * 20 * 4000  # the whole ring went to the one that had none


class ForgetfulAcceptor(Acceptor):
    """Says that it accepted, and forgets."""

    def accept(self, sender, number, step):
        answer = super().accept(sender, number, step)
        self.accepted, self.promised = None, (0, "")
        return answer


class LooseAcceptor(Acceptor):
    """Lets the lease be renewed after it accepted the next epoch."""

    has_accepted_next = False


class RashProposer(Proposer):
    """Takes half of the voters for a majority."""

    def _on_promise(self, proposal, sender, message):
        super()._on_promise(proposal, sender, message)
        half = len(self._state.index_by_name) - 1
        if not proposal.accepting and 2 * len(proposal.promises) >= half:
            self._learner.announce_decision(proposal.step)


class ForgetfulConsensus(RingConsensus):
    def __init__(self, *args):
        super().__init__(*args)
        self.acceptor.__class__ = ForgetfulAcceptor


class LooseConsensus(RingConsensus):
    def __init__(self, *args):
        super().__init__(*args)
        self.acceptor.__class__ = LooseAcceptor


class RashConsensus(RingConsensus):
    def __init__(self, *args):
        super().__init__(*args)
        self.proposer.__class__ = RashProposer


@pytest.mark.parametrize(
    "make, splits, stales",
    [
        (RingConsensus, False, False),
        (ForgetfulConsensus, True, True),
        (RashConsensus, True, True),
        (LooseConsensus, False, True),
    ],
)
def test_invariants_see_each_planted_breakage(make, splits, stales):
    split, stale = [], []
    for seed in range(30):
        net = settled(FIVE, seed=seed, make=make, damp_s=0.5)
        net.loss, net.mean_delay_s = 0.3, 0.4
        for _ in range(4):
            net.peers[net.random.choice(FIVE)].capacity *= 2
            some = net.random.sample(FIVE, 2)
            net.partition(some, set(FIVE) - set(some), both=net.random.random() < 0.5)
            net.run(3)
            net.heal()
            net.run(2)
        split += net.conflicting_epochs()
        stale += net.stale_leases
    assert (bool(split), bool(stale)) == (splits, stales)
