"""Tests of the ring consensus on a simulated network.

The network loses, delays, duplicates and reorders messages and cuts links, also in one direction only. Agents
are killed, restarted and paused.
"""

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
for message_type in messages.MESSAGE_TYPES[2:]:
    DECODER = msgspec.msgpack.Decoder(DECODER.type | message_type)


class SimulatedNetwork:
    """Agents on one clock; each sees all running agents as live except those hidden from it.

    `hidden_pairs` holds pairs (agent, peer that the agent doesn't see).
    """

    def __init__(
        self,
        names,
        seed=1,
        loss_rate=0.0,
        mean_delay_s=0.01,
        make_consensus=RingConsensus,
        **setting_overrides,
    ):
        self.random = Random(seed)
        self.loss_rate = loss_rate
        self.mean_delay_s = mean_delay_s
        self.make_consensus = make_consensus
        self.now, self.scheduled, self.sequence, self.setting_overrides = 0.0, [], 0, setting_overrides
        self.cut_links, self.hidden_pairs, self.paused = set(), set(), {}
        self.seeds = dict.fromkeys(names, "")
        self.peers, self.agents, self.logged_events, self.counters = {}, {}, [], {}
        self.first_adopted_at, self.stale_leases = {}, []
        self.digests_by_epoch, self.sent_messages, self.sent_bytes = {}, Counter(), Counter()
        self.next_versions = (1, "steady")
        for name in names:
            self.start(name)

    def start(self, name, capacity=1.0):
        self.sequence += 1
        fleet_settings = FleetSettings(fleet="f", name=name, seeds=self.seeds, **self.setting_overrides)
        context = SimpleNamespace(
            now=self.now,
            wall=1e9 + self.now,
            name=name,
            incarnation=self.sequence,
            random=Random(f"{name} {self.sequence}"),
        )
        self.counters[name] = Counter()
        context.send = lambda recipient, message: self.send(name, recipient, message)
        context.log_event = lambda event: self.logged_events.append((name, event.MESSAGE))
        context.increment = lambda counter, by=1: self.counters[name].update({counter: by})
        self.peers[name] = SimpleNamespace(
            name=name,
            zone=f"z{len(self.peers) % 3}",
            capacity=capacity,
            state=0,
            incarnation=self.sequence,
            reads=(1, 2),
            caught_up_epoch=1 << 40,
        )
        self.agents[name] = agent = self.make_consensus(context, fleet_settings)
        self.schedule(0.1 * self.random.random(), self.tick, name, agent)

    def kill(self, name):
        del self.agents[name], self.peers[name]

    def schedule(self, delay_s, *callback):
        self.sequence += 1
        heappush(self.scheduled, (self.now + delay_s, self.sequence, callback))

    def send(self, sender, recipient, message):
        data = msgspec.msgpack.encode(message)
        self.sent_messages[sender] += 1
        self.sent_bytes[sender] += len(data)
        for _ in range(2 if self.random.random() < self.loss_rate else 1):
            if self.random.random() >= self.loss_rate:
                self.schedule(
                    self.mean_delay_s * 2 * self.random.random(), self.deliver, sender, recipient, data
                )

    def deliver(self, sender, recipient, data):
        if recipient in self.agents and (sender, recipient) not in self.cut_links:
            if recipient in self.paused:
                return self.paused[recipient].append((sender, recipient, data))
            agent = self.agents[recipient]
            agent.context.now = self.now
            agent.on_message(sender, DECODER.decode(data))
            self.check_invariants(recipient, agent)

    def tick(self, name, agent):
        if self.agents.get(name) is agent:
            self.schedule(0.1, self.tick, name, agent)
            if name not in self.paused:
                agent.context.now = self.now
                agent.tick(
                    {
                        peer_name: self.peers[peer_name]
                        for peer_name in sorted(self.peers)
                        if (name, peer_name) not in self.hidden_pairs
                    },
                    lambda ring, live: self.next_versions,
                )
                self.check_invariants(name, agent)

    def resume(self, name):
        for delivery in self.paused.pop(name):
            self.deliver(*delivery)

    def check_invariants(self, name, agent):
        """Record the agent's ring by epoch, and its lease if it is stale.

        No epoch may have two rings, and no agent may have a valid lease on a ring for longer than lease_s
        after the next ring was first adopted.
        """
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
        return [epoch for epoch, ring_digests in self.digests_by_epoch.items() if len(ring_digests) > 1]

    def partition(self, first_group, second_group, is_two_way=True):
        for first in first_group:
            for second in second_group:
                self.cut_links |= {(first, second), (second, first)} if is_two_way else {(first, second)}
                self.hidden_pairs |= {(first, second), (second, first)} if is_two_way else {(second, first)}

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

    def ring_digests(self):
        return {agent.ring and agent.ring.digest for agent in self.agents.values()}

    def is_settled(self):
        return self.has_agreed_on(self.agents) and all(
            agent.has_valid_lease() and agent.target.ring is None for agent in self.agents.values()
        )

    def has_agreed_on(self, names):
        rings = [agent.ring for agent in self.agents.values()]
        return (
            len(self.ring_digests()) == 1 and rings[0] is not None and rings[0].names == tuple(sorted(names))
        )


ABC = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")


def test_first_ring_is_agreed_once_and_all_have_a_valid_lease():
    network = SimulatedNetwork(ABC)
    assert network.run(6, lambda: network.has_agreed_on(ABC))
    network.run(0.3)
    assert (
        all(agent.has_valid_lease() for agent in network.agents.values()) and not network.conflicting_epochs()
    )
    assert network.agents["a"].ring.epoch == 1 and network.agents["a"].previous_ring is None


@pytest.mark.parametrize("seed", range(25))
def test_one_ring_an_epoch_through_faults(seed):
    network = SimulatedNetwork(FIVE, seed, loss_rate=0.2, mean_delay_s=0.15)
    random = Random(seed)
    for turn in range(6):
        network.run(random.uniform(2, 9))
        fault = random.choice(["join", "cut", "one way", "crash", "stop", "capacity"])
        affected_names = random.sample(sorted(network.agents), 2)
        if fault == "join":
            network.start(f"n{turn}")
        elif fault == "cut":
            network.partition(affected_names, [name for name in network.agents if name not in affected_names])
        elif fault == "one way":
            network.partition(
                affected_names,
                [name for name in network.agents if name not in affected_names],
                is_two_way=False,
            )
        elif fault == "crash":
            network.kill(affected_names[0])
            network.run(random.uniform(0, 8))
            network.start(affected_names[0])
        elif fault == "stop":
            network.paused[affected_names[0]] = []
            network.run(random.uniform(0, 8))
            network.resume(affected_names[0])
        else:
            network.peers[affected_names[0]].capacity *= 3
        if random.random() < 0.6:
            network.run(random.uniform(0, 6))
            network.heal()
    network.heal()
    network.loss_rate = 0.0
    assert network.run(90, network.is_settled), network.agents["a"].ring
    assert not network.conflicting_epochs() and not network.stale_leases


def settled_network(names=ABC, **setting_overrides):
    network = SimulatedNetwork(names, **setting_overrides)
    assert network.run(15, network.is_settled)
    return network


def agents_with_lease(network):
    return {name for name, agent in network.agents.items() if agent.has_valid_lease()}


def test_minority_agrees_no_ring_and_loses_its_lease():
    network = settled_network(FIVE)
    network.partition("ab", "cde")
    network.run(2.1)
    assert agents_with_lease(network) == set("cde")
    network.run(20)
    assert {agent.ring.epoch for name, agent in network.agents.items() if name in "ab"} == {1}
    assert network.agents["c"].ring.names == ("c", "d", "e") and agents_with_lease(network) == set("cde")
    network.heal()
    assert network.run(30, network.is_settled) and network.has_agreed_on(FIVE)


def test_without_a_majority_no_ring_is_agreed_and_it_is_logged_once():
    network = settled_network(FIVE)
    for name in "abc":
        network.kill(name)
    network.run(40)
    assert not agents_with_lease(network) and {agent.ring.epoch for agent in network.agents.values()} == {1}
    network.run(40)
    assert sorted(network.logged_events) == [("d", "ring majority lost"), ("e", "ring majority lost")]
    network.start("a")  # the remedy in the log: start an agent under a name of the lost majority
    assert network.run(30, network.is_settled) and network.has_agreed_on("ade")


def test_no_founding_without_a_majority_of_the_seeds():
    network = SimulatedNetwork(FIVE)
    for name in "abc":
        network.kill(name)
    network.run(50)
    assert network.ring_digests() == {None} and ("e", "ring majority lost") in network.logged_events
    network.start("c")
    assert network.run(20, network.is_settled) and network.has_agreed_on("cde")


def test_one_witness_removes_no_member():
    network = settled_network()
    network.hidden_pairs |= {("a", "c")}
    network.run(30)
    assert network.agents["b"].ring.epoch == 1 and network.counters["a"]["ballots rejected"]


def test_proposer_that_hears_nobody_delays_no_other():
    network = settled_network(FIVE)
    network.partition("bcde", "a", is_two_way=False)
    network.hidden_pairs.clear()
    network.start("f")
    assert network.run(30, lambda: all(len(network.agents[name].ring.names) == 6 for name in "bcde"))


def test_agent_paused_longer_than_its_lease_resumes_without_one():
    network = settled_network()
    network.paused["c"] = []
    network.run(20)
    assert network.agents["a"].ring.names == ABC  # c is still a member, because its description is still live
    agent = network.agents["c"]
    agent.context.now = network.now
    assert not agent.has_valid_lease()
    network.resume("c")
    assert not agent.has_valid_lease()  # answers to renewals from before the pause don't count
    network.run(1)
    assert agent.has_valid_lease()


def test_ballot_that_outlived_its_lease_is_abandoned():
    network = settled_network()
    network.start("d")
    assert network.run(20, lambda: any(agent.proposer.proposal for agent in network.agents.values()))
    name = next(name for name, agent in network.agents.items() if agent.proposer.proposal)
    network.paused[name] = []
    network.run(2.5)
    agent, undelivered_messages = network.agents[name], network.paused[name]
    agent.context.now = network.now
    for sender, _, data in undelivered_messages:
        if isinstance(message := DECODER.decode(data), messages.Promise | messages.Accepted):
            agent.on_message(sender, message)
    assert agent.proposer.proposal is None and agent.acceptor.accepted is None


def test_acceptor_of_the_next_epoch_renews_no_lease():
    network = settled_network()
    agent, sent_messages = network.agents["b"], []
    agent.context.send = lambda recipient, message: sent_messages.append(message)
    ring_header = agent.ring.epoch, agent.ring.digest
    agent.on_message("c", messages.LeaseRenewal(*ring_header, 9))
    assert sent_messages.pop().ages[1] == 0
    agent.on_message(
        "a", messages.Accept(*ring_header, 7, step_between(agent.ring, Ring(2, agent.ring.members, 2)))
    )
    assert (
        isinstance(sent_messages.pop(), messages.Accepted)
        and agent.acceptor.has_accepted_next
        and not agent.has_valid_lease()
    )
    agent.on_message("c", messages.LeaseRenewal(*ring_header, 10))
    assert sent_messages.pop().ages[1] == messages.NOT_HEARD


def test_step_accepted_by_one_is_decided_although_its_proposer_died():
    network = settled_network()
    agent = network.agents["b"]
    accepted_step = step_between(agent.ring, Ring(2, agent.ring.members[1:]))
    agent.on_message("a", messages.Accept(1, agent.ring.digest, 7, accepted_step))
    assert network.run(3, lambda: network.agents["c"].ring.epoch == 2)
    assert network.agents["c"].ring.names == ("b", "c") and not network.conflicting_epochs()


def test_step_accepted_by_a_majority_is_what_another_proposer_decides():
    network = settled_network(FIVE)
    old_ring, other_agent = network.agents["a"].ring, network.agents["e"]
    accepted_step = step_between(old_ring, Ring(2, old_ring.members[1:]))
    for name in "bcd":
        network.agents[name].on_message("a", messages.Accept(1, old_ring.digest, 7, accepted_step))
    other_agent.proposer.highest_number = 7
    other_agent.proposer.start_proposal(step_between(old_ring, Ring(2, old_ring.members[:-1])), ())
    network.run(1)
    assert network.digests_by_epoch[2].keys() == {apply_step(old_ring, accepted_step).digest}


def test_restarted_acceptor_is_silent_for_two_leases_and_learns_the_ring():
    network = settled_network()
    network.kill("c")
    network.start("c")
    agent, sent_messages = network.agents["c"], []
    assert network.run(2, lambda: agent.ring is not None) and not agent.state.remembers_promises
    agent.context.send = lambda recipient, message: sent_messages.append(message)
    agent.on_message("a", messages.Prepare(1, agent.ring.digest, 7, ()))
    agent.on_message("a", messages.LeaseRenewal(1, agent.ring.digest, 7))
    assert sent_messages[0].reason == "forgot" and sent_messages[1].ages[2] == messages.NOT_HEARD


def test_conflicting_rings_end_in_the_lower_digest_everywhere():
    network = settled_network()
    old_ring = network.agents["a"].ring
    conflicting_rings = [
        Ring(2, old_ring.members, written_version, founded_ms=old_ring.founded_ms)
        for written_version in (1, 2)
    ]
    conflicting_rings.sort(key=lambda ring: ring.digest)
    for name, ring in (("a", conflicting_rings[1]), ("b", conflicting_rings[0])):
        network.agents[name].on_message("c", messages.RingUpdate(step_between(old_ring, ring)))
        network.check_invariants(name, network.agents[name])
    network.run(2)
    assert network.conflicting_epochs() == [2] and network.ring_digests() == {conflicting_rings[0].digest}
    assert {name for name, message in network.logged_events if message == "conflicting rings"} >= {"a"}
    network.agents["b"].on_message(
        "c", messages.RingSnapshot(old_ring, step_between(old_ring, conflicting_rings[1]))
    )
    assert (
        network.agents["b"].ring.digest == conflicting_rings[0].digest
        and ("b", "conflicting rings") in network.logged_events
    )


def test_rings_from_far_ahead_or_malformed_are_dropped_and_counted():
    network = settled_network()
    agent, counters = network.agents["a"], network.counters["a"]
    ring = agent.ring
    first_member, second_member = ring.members[:2]
    agent.on_message("b", messages.LeaseRenewal(1 << 30, b"", 1))
    agent.on_message("b", messages.RingSnapshot(Ring(1 << 30, ring.members), step_between(ring, ring)))
    assert counters["dropped distant epoch"] == 2
    for members in [
        (second_member, first_member),
        (first_member, first_member),
        (),
        (RingMember("x", "", 0.0),),
        (RingMember("x", "", float("nan")),),
        (RingMember("x", "", 2e6),),
        (RingMember("", "", 1.0),),
    ]:
        previous_ring = Ring(7, members)
        agent.on_message(
            "b", messages.RingSnapshot(previous_ring, step_between(previous_ring, Ring(8, ring.members)))
        )
        invalid_step = msgspec.structs.replace(
            step_between(ring, ring), epoch=2, members=members, removed=() if members else ABC
        )
        if members not in [
            (second_member, first_member),
            (first_member, first_member),
        ]:  # apply_step sorts these members and drops duplicates, which makes them valid
            agent.on_message("b", messages.RingUpdate(invalid_step))
            agent.on_message("b", messages.Accept(1, ring.digest, 5, invalid_step))
    assert counters["dropped malformed ring"] == 17
    assert agent.ring is ring and not agent.acceptor.has_accepted_next


def test_schema_step_starts_a_new_epoch():
    network = settled_network()
    network.next_versions = (1, "widen")
    network.run(4)
    assert network.is_settled()
    ring = network.agents["c"].ring
    assert (ring.epoch, ring.written_version, ring.phase, ring.names) == (2, 1, "widen", ABC)


def test_renewals_of_many_agents_cost_few_messages():
    network = settled_network([f"a{n:02}" for n in range(60)])
    network.sent_messages.clear(), network.sent_bytes.clear()
    network.run(10)
    assert len(agents_with_lease(network)) == 60
    assert max(network.sent_messages.values()) < 10 * 60 and max(network.sent_bytes.values()) < 10 * 4000
    network.start("b")
    network.sent_messages.clear(), network.sent_bytes.clear()
    assert network.run(20, lambda: "b" in network.agents["a05"].ring.member_by_name)
    assert sum(network.sent_bytes.values()) < 61 * 20 * 4000  # only the new agent got a RingSnapshot


class ForgetfulAcceptor(Acceptor):
    """Answers that it accepted a step, and forgets it."""

    def accept(self, sender, number, step):
        answer = super().accept(sender, number, step)
        self.accepted, self.promised = None, (0, "")
        return answer


class LeaseKeepingAcceptor(Acceptor):
    """Lets the lease be renewed after it accepted a step to the next epoch."""

    has_accepted_next = False


class HalfMajorityProposer(Proposer):
    """Takes half of the members for a majority."""

    def _on_promise(self, proposal, sender, message):
        super()._on_promise(proposal, sender, message)
        other_member_count = len(self._state.index_by_name) - 1
        if not proposal.accepting and 2 * len(proposal.promises) >= other_member_count:
            self._learner.announce_decision(proposal.step)


class ForgetfulConsensus(RingConsensus):
    """RingConsensus with a ForgetfulAcceptor."""

    def __init__(self, *args):
        super().__init__(*args)
        self.acceptor.__class__ = ForgetfulAcceptor


class LeaseKeepingConsensus(RingConsensus):
    """RingConsensus with a LeaseKeepingAcceptor."""

    def __init__(self, *args):
        super().__init__(*args)
        self.acceptor.__class__ = LeaseKeepingAcceptor


class HalfMajorityConsensus(RingConsensus):
    """RingConsensus with a HalfMajorityProposer."""

    def __init__(self, *args):
        super().__init__(*args)
        self.proposer.__class__ = HalfMajorityProposer


@pytest.mark.parametrize(
    "make_consensus, expects_conflict, expects_stale_lease",
    [
        (RingConsensus, False, False),
        (ForgetfulConsensus, True, True),
        (HalfMajorityConsensus, True, True),
        (LeaseKeepingConsensus, False, True),
    ],
)
def test_invariants_detect_each_planted_fault(make_consensus, expects_conflict, expects_stale_lease):
    conflicting_epochs, stale_leases = [], []
    for seed in range(30):
        network = settled_network(FIVE, seed=seed, make_consensus=make_consensus, damp_s=0.5)
        network.loss_rate, network.mean_delay_s = 0.3, 0.4
        for _ in range(4):
            network.peers[network.random.choice(FIVE)].capacity *= 2
            isolated_names = network.random.sample(FIVE, 2)
            network.partition(
                isolated_names, set(FIVE) - set(isolated_names), is_two_way=network.random.random() < 0.5
            )
            network.run(3)
            network.heal()
            network.run(2)
        conflicting_epochs += network.conflicting_epochs()
        stale_leases += network.stale_leases
    assert (bool(conflicting_epochs), bool(stale_leases)) == (expects_conflict, expects_stale_lease)
