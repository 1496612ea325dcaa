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

CODEC = msgspec.msgpack.Decoder(messages.MESSAGE_TYPES[0] | messages.MESSAGE_TYPES[1])
for kind in messages.MESSAGE_TYPES[2:]:
    CODEC = msgspec.msgpack.Decoder(CODEC.type | kind)


class Net:
    """Agents on one clock; each sees as live whom it has not lost sight of (`unseen`: pairs, seer first)."""

    def __init__(self, names, seed=1, loss=0.0, slow=0.01, make=RingConsensus, **more):
        self.random, self.loss, self.slow, self.make = Random(seed), loss, slow, make
        self.now, self.heap, self.turn, self.more = 0.0, [], 0, more
        self.cut, self.unseen, self.stopped = set(), set(), {}
        self.seeds = dict.fromkeys(names, "")
        self.peers, self.agents, self.events, self.counts = {}, {}, [], {}
        self.first, self.stale = {}, []
        self.decided, self.sent, self.bytes = {}, Counter(), Counter()
        self.written = (1, "steady")
        for name in names:
            self.start(name)

    def start(self, name, capacity=1.0):
        self.turn += 1
        fleet_settings = FleetSettings(fleet="f", name=name, seeds=self.seeds, **self.more)
        context = SimpleNamespace(
            now=self.now,
            wall=1e9 + self.now,
            name=name,
            incarnation=self.turn,
            random=Random(f"{name} {self.turn}"),
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
            incarnation=self.turn,
            reads=(1, 2),
            caught_up_epoch=1 << 40,
        )
        self.agents[name] = agent = self.make(context, fleet_settings)
        self.at(0.1 * self.random.random(), self.tick, name, agent)

    def stop(self, name):
        del self.agents[name], self.peers[name]

    def at(self, after, *event):
        self.turn += 1
        heappush(self.heap, (self.now + after, self.turn, event))

    def send(self, sender, to, message):
        raw = msgspec.msgpack.encode(message)
        self.sent[sender] += 1
        self.bytes[sender] += len(raw)
        for _ in range(2 if self.random.random() < self.loss else 1):
            if self.random.random() >= self.loss:
                self.at(self.slow * 2 * self.random.random(), self.arrive, sender, to, raw)

    def arrive(self, sender, to, raw):
        if to in self.agents and (sender, to) not in self.cut:
            if to in self.stopped:
                return self.stopped[to].append((sender, to, raw))
            agent = self.agents[to]
            agent.context.now = self.now
            agent.on_message(sender, CODEC.decode(raw))
            self.judge(to, agent)

    def tick(self, name, agent):
        if self.agents.get(name) is agent:
            self.at(0.1, self.tick, name, agent)
            if name not in self.stopped:
                agent.context.now = self.now
                agent.tick(
                    {
                        each: self.peers[each]
                        for each in sorted(self.peers)
                        if (name, each) not in self.unseen
                    },
                    lambda ring, live: self.written,
                )
                self.judge(name, agent)

    def go_on(self, name):
        for event in self.stopped.pop(name):
            self.arrive(*event)

    def judge(self, name, agent):
        """Reads what each agent holds: never two rings of one epoch, and nobody sure of one that the next one
        took the place of a lease ago."""
        if agent.ring:
            epoch = agent.ring.epoch
            self.decided.setdefault(epoch, {}).setdefault(agent.ring.digest, name)
            self.first.setdefault(epoch, self.now)
            if (
                agent.has_valid_lease()
                and self.now - self.first.get(epoch + 1, self.now) > agent.state.settings.lease_s
            ):
                self.stale.append((name, epoch))

    def split(self):
        return [epoch for epoch, rings in self.decided.items() if len(rings) > 1]

    def part(self, one, other, both=True):
        for a in one:
            for b in other:
                self.cut |= {(a, b), (b, a)} if both else {(a, b)}
                self.unseen |= {(a, b), (b, a)} if both else {(b, a)}

    def mend(self):
        self.cut.clear(), self.unseen.clear()

    def run(self, seconds, until=None):
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, (call, *args) = heappop(self.heap)
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


def test_founds_once_and_all_are_sure():
    net = Net(ABC)
    assert net.run(6, lambda: net.agreed(ABC))
    net.run(0.3)
    assert all(agent.has_valid_lease() for agent in net.agents.values()) and not net.split()
    assert net.agents["a"].ring.epoch == 1 and net.agents["a"].previous_ring is None


@pytest.mark.parametrize("seed", range(25))
def test_one_ring_an_epoch_through_faults(seed):
    net = Net(FIVE, seed, loss=0.2, slow=0.15)
    dice = Random(seed)
    for turn in range(6):
        net.run(dice.uniform(2, 9))
        what = dice.choice(["join", "cut", "one way", "crash", "stop", "capacity"])
        some = dice.sample(sorted(net.agents), 2)
        if what == "join":
            net.start(f"n{turn}")
        elif what == "cut":
            net.part(some, [name for name in net.agents if name not in some])
        elif what == "one way":
            net.part(some, [name for name in net.agents if name not in some], both=False)
        elif what == "crash":
            net.stop(some[0])
            net.run(dice.uniform(0, 8))
            net.start(some[0])
        elif what == "stop":
            net.stopped[some[0]] = []
            net.run(dice.uniform(0, 8))
            net.go_on(some[0])
        else:
            net.peers[some[0]].capacity *= 3
        if dice.random() < 0.6:
            net.run(dice.uniform(0, 6))
            net.mend()
    net.mend()
    net.loss = 0.0
    assert net.run(90, net.settled), net.agents["a"].ring
    assert not net.split() and not net.stale


def settled(names=ABC, **more):
    net = Net(names, **more)
    assert net.run(15, net.settled)
    return net


def sure(net):
    return {name for name, agent in net.agents.items() if agent.has_valid_lease()}


def test_a_minority_draws_no_ring_and_is_soon_unsure():
    net = settled(FIVE)
    net.part("ab", "cde")
    net.run(2.1)
    assert sure(net) == set("cde")
    net.run(20)
    assert {agent.ring.epoch for name, agent in net.agents.items() if name in "ab"} == {1}
    assert net.agents["c"].ring.names == ("c", "d", "e") and sure(net) == set("cde")
    net.mend()
    assert net.run(30, net.settled) and net.agreed(FIVE)


def test_no_majority_no_ring_and_the_operator_is_told_once():
    net = settled(FIVE)
    for name in "abc":
        net.stop(name)
    net.run(40)
    assert not sure(net) and {agent.ring.epoch for agent in net.agents.values()} == {1}
    net.run(40)
    assert sorted(net.events) == [("d", "ring majority lost"), ("e", "ring majority lost")]
    net.start("a")  # what the note asks for: an agent under one of the names
    assert net.run(30, net.settled) and net.agreed("ade")


def test_no_founding_without_a_majority_of_the_seeds():
    net = Net(FIVE)
    for name in "abc":
        net.stop(name)
    net.run(50)
    assert net.rings() == {None} and ("e", "ring majority lost") in net.events
    net.start("c")
    assert net.run(20, net.settled) and net.agreed("cde")


def test_one_witness_unseats_nobody():
    net = settled()
    net.unseen |= {("a", "c")}
    net.run(30)
    assert net.agents["b"].ring.epoch == 1 and net.counts["a"]["ballots rejected"]


def test_a_proposer_that_hears_nobody_holds_up_no_other():
    net = settled(FIVE)
    net.part("bcde", "a", both=False)
    net.unseen.clear()
    net.start("f")
    assert net.run(30, lambda: all(len(net.agents[name].ring.names) == 6 for name in "bcde"))


def test_stopped_for_longer_than_its_lease_it_is_not_sure_when_it_goes_on():
    net = settled()
    net.stopped["c"] = []
    net.run(20)
    assert net.agents["a"].ring.names == ABC  # the table of members still has it
    agent = net.agents["c"]
    agent.context.now = net.now
    assert not agent.has_valid_lease()
    net.go_on("c")
    assert not agent.has_valid_lease()  # by answers to what it asked before
    net.run(1)
    assert agent.has_valid_lease()


def test_a_ballot_that_outlived_its_lease_is_given_up():
    net = settled()
    net.start("d")
    assert net.run(20, lambda: any(agent.proposer.proposal for agent in net.agents.values()))
    name = next(name for name, agent in net.agents.items() if agent.proposer.proposal)
    net.stopped[name] = []
    net.run(2.5)
    agent, kept = net.agents[name], net.stopped[name]
    agent.context.now = net.now
    for sender, _, raw in kept:
        if isinstance(message := CODEC.decode(raw), messages.Promise | messages.Accepted):
            agent.on_message(sender, message)
    assert agent.proposer.proposal is None and agent.acceptor.accepted is None


def test_accepted_the_next_epoch_it_vouches_no_more():
    net = settled()
    agent, said = net.agents["b"], []
    agent.context.send = lambda to, message: said.append(message)
    head = agent.ring.epoch, agent.ring.digest
    agent.on_message("c", messages.LeaseRenewal(*head, 9))
    assert said.pop().ages[1] == 0
    agent.on_message("a", messages.Accept(*head, 7, step_between(agent.ring, Ring(2, agent.ring.members, 2))))
    assert (
        isinstance(said.pop(), messages.Accepted)
        and agent.acceptor.has_accepted_next
        and not agent.has_valid_lease()
    )
    agent.on_message("c", messages.LeaseRenewal(*head, 10))
    assert said.pop().ages[1] == messages.NOT_HEARD


def test_accepted_by_one_and_its_proposer_dead_it_is_still_brought_to_an_end():
    net = settled()
    agent = net.agents["b"]
    wanted = step_between(agent.ring, Ring(2, agent.ring.members[1:]))
    agent.on_message("a", messages.Accept(1, agent.ring.digest, 7, wanted))
    assert net.run(3, lambda: net.agents["c"].ring.epoch == 2)
    assert net.agents["c"].ring.names == ("b", "c") and not net.split()


def test_what_a_majority_accepted_is_what_another_proposer_brings_to_an_end():
    net = settled(FIVE)
    old, other = net.agents["a"].ring, net.agents["e"]
    first = step_between(old, Ring(2, old.members[1:]))
    for name in "bcd":
        net.agents[name].on_message("a", messages.Accept(1, old.digest, 7, first))
    other.proposer.highest_number = 7
    other.proposer.start_proposal(step_between(old, Ring(2, old.members[:-1])), ())
    net.run(1)
    assert net.decided[2].keys() == {apply_step(old, first).digest}


def test_a_restarted_voter_is_silent_for_two_leases_and_learns_the_ring():
    net = settled()
    net.stop("c")
    net.start("c")
    agent, said = net.agents["c"], []
    assert net.run(2, lambda: agent.ring is not None) and not agent.state.remembers_promises
    agent.context.send = lambda to, message: said.append(message)
    agent.on_message("a", messages.Prepare(1, agent.ring.digest, 7, ()))
    agent.on_message("a", messages.LeaseRenewal(1, agent.ring.digest, 7))
    assert said[0].reason == "forgot" and said[1].ages[2] == messages.NOT_HEARD


def test_an_epoch_agreed_twice_ends_in_the_lower_digest_everywhere():
    net = settled()
    old = net.agents["a"].ring
    twins = [Ring(2, old.members, written, founded_ms=old.founded_ms) for written in (1, 2)]
    twins.sort(key=lambda ring: ring.digest)
    for name, ring in (("a", twins[1]), ("b", twins[0])):
        net.agents[name].on_message("c", messages.RingUpdate(step_between(old, ring)))
        net.judge(name, net.agents[name])
    net.run(2)
    assert net.split() == [2] and net.rings() == {twins[0].digest}
    assert {name for name, kind in net.events if kind == "conflicting rings"} >= {"a"}
    net.agents["b"].on_message("c", messages.RingSnapshot(old, step_between(old, twins[1])))
    assert net.agents["b"].ring.digest == twins[0].digest and ("b", "conflicting rings") in net.events


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
    net.written = (1, "widen")
    net.run(4)
    assert net.settled()
    ring = net.agents["c"].ring
    assert (ring.epoch, ring.written_version, ring.phase, ring.names) == (2, 1, "widen", ABC)


def test_many_agents_ask_few_and_say_little():
    net = settled([f"a{n:02}" for n in range(60)])
    net.sent.clear(), net.bytes.clear()
    net.run(10)
    assert len(sure(net)) == 60
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


class Forgetful(RingConsensus):
    def __init__(self, *args):
        super().__init__(*args)
        self.acceptor.__class__ = ForgetfulAcceptor


class Loose(RingConsensus):
    def __init__(self, *args):
        super().__init__(*args)
        self.acceptor.__class__ = LooseAcceptor


class Rash(RingConsensus):
    def __init__(self, *args):
        super().__init__(*args)
        self.proposer.__class__ = RashProposer


@pytest.mark.parametrize(
    "make, splits, stales",
    [(RingConsensus, False, False), (Forgetful, True, True), (Rash, True, True), (Loose, False, True)],
)
def test_the_judge_sees_each_planted_breakage(make, splits, stales):
    split, stale = [], []
    for seed in range(30):
        net = settled(FIVE, seed=seed, make=make, damp_s=0.5)
        net.loss, net.slow = 0.3, 0.4
        for _ in range(4):
            net.peers[net.random.choice(FIVE)].capacity *= 2
            some = net.random.sample(FIVE, 2)
            net.part(some, set(FIVE) - set(some), both=net.random.random() < 0.5)
            net.run(3)
            net.mend()
            net.run(2)
        split += net.split()
        stale += net.stale
    assert (bool(split), bool(stale)) == (splits, stales)
