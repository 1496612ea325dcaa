"""Tests of the membership on a simulated network: a seeded heap of events that encodes every message."""

import heapq
from collections import Counter
from functools import reduce
from math import nan
from operator import or_
from random import Random

import pytest
from msgspec import msgpack
from msgspec.structs import replace

from cartdeal.fleet.events import AgentDead
from cartdeal.fleet.membership.membership import Membership
from cartdeal.fleet.membership.messages import MESSAGE_TYPES, GossipItem, Peer, PeerState, StatePush
from cartdeal.fleet.settings import FleetSettings

decode = msgpack.Decoder(reduce(or_, MESSAGE_TYPES)).decode


class FakeContext:
    """The NodeContext of an agent on a FakeNetwork."""

    wall = 0.0
    now = property(lambda self: self.network.now)

    def __init__(self, network, name, incarnation, port):
        self.network = network
        self.name = name
        self.incarnation = incarnation
        self.address = f"10.0.0.1:{port}"
        self.observed_addresses = dict(network.seeds)  # name -> the address of its last message
        self.random = Random(f"{network.seed} {name} {incarnation}")
        self.events = []
        self.counters = Counter()

    def send(self, recipient, message):
        self.network.send(self.name, recipient, message)

    def log_event(self, event):
        self.events.append(event.MESSAGE)
        if isinstance(event, AgentDead):
            self.network.declared_dead[self.name, event.name, self.now] = self.now

    def increment(self, counter, by=1):
        self.counters[counter] += by


class FakeNetwork:
    """Delivers messages between agents, with the delays, losses and duplicates that a test sets."""

    late_share = 0.0  # this share of the messages is delivered 5 s late

    def __init__(self, seed=1, loss_rate=0.0, duplication_rate=0.0, delay_s=(0.001, 0.02)):
        self.seed = seed
        self.random = Random(seed)
        self.now = 100.0
        self.scheduled = []  # a heap of (time, sequence, callback, arguments)
        self.sequence = 0
        self.loss_rate = loss_rate
        self.duplication_rate = duplication_rate
        self.delay_s = delay_s
        self.is_cut = lambda sender, recipient: False
        self.agents = {}
        self.paused = {}  # name of a paused agent -> its undelivered messages
        self.sent_messages = Counter()
        self.sent_bytes = Counter()
        self.declared_dead = {}  # (accusing agent, name, time): time
        self.seeds = {f"n{i:03}": f"10.0.0.1:{i}" for i in range(3)}

    def start(self, name, incarnation=1, port=None):
        fleet_settings = FleetSettings(fleet="f", name=name, zone="z", seeds=self.seeds)
        context = FakeContext(self, name, incarnation, port or int(name[1:]))
        agent = self.agents[name] = Membership(context, fleet_settings)
        agent.join()
        self.schedule(self.random.random() * fleet_settings.tick_s, self.tick, agent)
        return agent

    def start_fleet(self, count, seconds=15.0):
        agents = [self.start(f"n{i:03}") for i in range(count)]
        self.run(seconds)
        assert {agent.size() for agent in agents} == {count}
        return agents

    def schedule(self, delay_s, callback, *args):
        self.sequence += 1
        heapq.heappush(self.scheduled, (self.now + delay_s, self.sequence, callback, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.scheduled[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.scheduled)
            callback(*args)
        self.now = end

    def tick(self, agent):
        if self.agents.get(agent.name) is agent:
            self.schedule(agent.settings.tick_s, self.tick, agent)
            if agent.name not in self.paused:
                agent.tick()

    def send(self, sender, recipient, message):
        data = msgpack.encode(message)
        assert len(data) <= 1_200
        assert message.DATAGRAM
        self.sent_messages[sender] += 1
        self.sent_bytes[sender] += len(data)
        context, known_peer = self.agents[sender].context, self.agents[sender].peers.get(recipient)
        address = known_peer.address if known_peer else context.observed_addresses.get(recipient)
        for _ in range(1 + (self.random.random() < self.duplication_rate)):
            if self.random.random() >= self.loss_rate and not self.is_cut(sender, recipient):
                delay_s = 5.0 * (self.random.random() < self.late_share) + self.random.uniform(*self.delay_s)
                self.schedule(delay_s, self.deliver, (sender, context.address), (recipient, address), data)

    def deliver(self, sender, recipient, data):
        (sender_name, sender_address), (name, address) = sender, recipient
        if name in self.paused:
            self.paused[name].append((sender, recipient, data))
        elif name in self.agents and self.agents[name].context.address == address:
            self.agents[name].context.observed_addresses[sender_name] = sender_address
            self.agents[name].on_message(sender_name, decode(data))

    def states(self, name):
        return {agent.peers[name].state for agent in self.agents.values()}


def receive(agent, sender, *items, **description):
    agent.on_message(sender, StatePush(sender=peer(sender, **description), items=items))


def peer(name, **changes):
    return replace(Peer(name, f"10.0.0.1:{int(name[1:])}", 1, 0, 0, "z", 1.0, (1, 2), 1), **changes)


def cut_inbound(*names):
    return lambda sender, recipient: recipient in names


@pytest.mark.parametrize("count", [5, 20, 100])
def test_load_is_independent_of_fleet_size_and_a_killed_agent_is_detected(count):
    network, detection_s = FakeNetwork(count), []
    network.start_fleet(count, 60)
    network.sent_messages, network.sent_bytes = Counter(), Counter()
    network.run(20)
    message_rates = [network.sent_messages[name] / 20 for name in network.agents]
    bytes_per_s = sum(network.sent_bytes.values()) / count / 20
    for victim in list(network.agents)[::-1][:3]:
        network.agents.pop(victim)
        killed_at, network.declared_dead = network.now, {}
        for _ in range(90):
            network.run(0.1)
            assert count == 5 or not any(
                agent.health.score for agent in network.agents.values()
            )  # because the helpers sent nacks
        detection_s += [declared_at - killed_at for declared_at in network.declared_dead.values()]
    detection_s.sort()
    print(
        f"{count}: {sum(message_rates) / count:.2f} messages (at most {max(message_rates):.2f}), "
        f"{bytes_per_s:.0f} bytes an agent and second; "
        f"detected after p50 {detection_s[len(detection_s) // 2]:.2f} s, at most {detection_s[-1]:.2f} s"
    )
    assert sum(message_rates) / count < 4
    assert max(message_rates) < 5.5
    assert bytes_per_s < 260
    assert len(detection_s) == 3 * (count - 2)
    assert detection_s[-1] < 8


def test_ten_percent_loss_declares_nobody_dead():
    network = FakeNetwork(2, loss_rate=0.1, duplication_rate=0.05, delay_s=(0.001, 0.05))
    agents = network.start_fleet(40)
    network.run(120)
    counters = sum((agent.context.counters for agent in agents), Counter())
    print(counters)
    assert counters["accusations"] < 25
    assert not network.declared_dead
    assert {agent.size() for agent in agents} == {40}


@pytest.mark.parametrize(
    ("count", "minority_size", "seconds"), [(2, 1, 30), (3, 1, 30), (20, 6, 40), (30, 15, 150)]
)
def test_healed_partition_merges_and_declares_nobody_dead_again(count, minority_size, seconds):
    network = FakeNetwork(3, loss_rate=0.02)
    agents = network.start_fleet(count, 20)
    minority = {agent.name for agent in agents[-minority_size:]}
    network.is_cut = lambda sender, recipient: (sender in minority) != (recipient in minority)
    network.run(seconds)
    assert all(
        agent.size() == (minority_size if agent.name in minority else count - minority_size)
        for agent in agents
    )
    assert all(network.is_cut(sender, recipient) for sender, recipient, _ in network.declared_dead)
    network.is_cut, network.declared_dead = cut_inbound(), {}
    network.run(8)
    assert {agent.size() for agent in agents} == {count}
    network.run(40)
    assert not network.declared_dead


def test_agent_killed_just_after_a_partition_is_detected_without_trusted_witnesses():
    network = FakeNetwork(9)
    agents = network.start_fleet(3)
    network.is_cut = lambda sender, recipient: (sender == "n002") != (recipient == "n002")
    network.run(20)
    network.is_cut = cut_inbound()
    network.run(3)
    network.agents.pop("n001")
    network.run(25)
    assert [agents[0].size(), agents[2].size()] == [2, 2]


@pytest.mark.parametrize(
    ("count", "cut", "is_separated"),
    [
        (5, lambda sender, recipient: sender + recipient == "n003n004", 0),
        (3, lambda sender, recipient: sender + recipient == "n000n001", 0),
        (2, cut_inbound("n001"), 1),
        (20, cut_inbound("n019"), 1),
        (5, lambda sender, recipient: sender == "n004", 1),
        (5, lambda sender, recipient: sender == "n001", 1),
    ],
)
def test_one_way_cut_keeps_membership_stable(count, cut, is_separated):
    network = FakeNetwork(4)
    agents = network.start_fleet(count)
    network.is_cut = cut
    unstable_agent = agents[1 if cut("n001", "n000") else -1]  # its capacity changes all the time
    for i in range(112):
        unstable_agent.update_self(capacity=1.0 + i % 2)
        network.run(0.25)
    expected_sizes = [1] + [count - 1] * (count - 1) if is_separated else [count] * count
    assert sorted(agent.size() for agent in agents) == expected_sizes
    assert max(agent.health.score for agent in agents) == (4 if is_separated else 0)
    network.declared_dead = {}
    for i in range(150):
        unstable_agent.update_self(capacity=1.0 + i % 2)
        network.run(2)
        assert sorted(agent.size() for agent in agents) == expected_sizes
        assert not network.declared_dead
    network.is_cut = cut_inbound()
    network.run(10)
    assert {agent.size() for agent in agents} == {count}


@pytest.mark.parametrize("seconds", [1.5, 30.0, 90.0])
def test_paused_agent_suspects_nobody_and_returns_at_once(seconds):
    network = FakeNetwork(5)
    agents = network.start_fleet(10)
    network.paused["n004"] = []
    network.run(seconds)
    assert {agent.size() for agent in agents if agent.name != "n004"} == {10 if seconds < 2 else 9}
    network.declared_dead = {}
    for delivery in network.paused.pop("n004"):
        network.deliver(*delivery)
    network.run(3)
    assert {agent.size() for agent in agents} == {10}
    assert not network.declared_dead
    assert not agents[4].table.suspicions
    accusation = GossipItem(
        replace(agents[2].local_peer, state=PeerState.SUSPECT), ("n004",)
    )  # the accuser has just returned
    receive(agents[0], "n004", accusation)
    assert agents[0].peers["n002"].state == (PeerState.ALIVE if seconds == 30 else PeerState.SUSPECT)
    network.run(2)
    while agents[4].detector.probe.is_done:
        network.run(0.01)
    receive(
        agents[4],
        "n001",
        GossipItem(replace(agents[2].local_peer, state=PeerState.SUSPECT), ("n001", "n003")),
    )
    version, probed_name = agents[4].local_peer.version, agents[4].detector.probe.peer.name
    network.now += seconds  # messages during the pause are lost
    agents[4].tick()
    assert agents[4].peers["n002"].state == PeerState.SUSPECT
    assert agents[4].local_peer.version > version
    assert probed_name == "n002" or agents[4].peers[probed_name].state == PeerState.ALIVE


def test_higher_incarnation_replaces_a_lower_one_and_a_duplicate_name_is_reported():
    network = FakeNetwork(6)
    first_agent = network.start_fleet(5)[0]
    network.start("n004", incarnation=7)
    network.run(3)
    receive(
        first_agent,
        "n004",
        GossipItem(replace(network.agents["n003"].local_peer, state=PeerState.SUSPECT), ("n004",)),
    )  # by the former incarnation of n004
    assert first_agent.peers["n003"].state == PeerState.ALIVE
    assert first_agent.peers["n004"].incarnation == 7
    assert network.states("n004") == {PeerState.ALIVE}
    agent = network.start("n004", incarnation=5)  # the clock of n004 was set back
    network.run(3)
    assert agent.newer_incarnation() == 7
    assert first_agent.peers["n004"].incarnation == 7
    assert not first_agent.newer_incarnation()
    agent.context.incarnation = 8
    network.run(3)
    assert first_agent.peers["n004"].incarnation == 8
    assert not agent.newer_incarnation()
    network.agents.pop("n004")
    network.run(10)
    agent = network.start("n004", incarnation=9, port=77)
    network.run(3)
    assert network.states("n004") == {PeerState.ALIVE}
    assert agent.size() == 5
    local_peer = agent.local_peer
    # Another agent has the same name and incarnation, but a different address.
    receive(agent, "n000", GossipItem(replace(local_peer, address="10.0.0.9:9", version=9)))
    assert agent.local_peer == local_peer
    assert agent.error.subject == "n004"
    assert "10.0.0.9:9" in agent.error.observed
    assert agent.context.events[-1] == "duplicate name"


def test_one_witness_or_hearsay_is_not_enough_and_the_suspect_refutes():
    network = FakeNetwork()
    agents = network.start_fleet(6)
    first_agent, accused_peer = agents[0], replace(agents[5].local_peer, state=PeerState.DEAD)
    receive(first_agent, "n001", GossipItem(accused_peer, ("n001",)))
    first_agent.suspicion.declare_dead(network.now + 60)
    assert first_agent.peers["n005"].state == PeerState.SUSPECT
    assert first_agent.size() == 6
    receive(first_agent, "n001", GossipItem(accused_peer, ("n001", "n002")))
    assert first_agent.peers["n005"].state == PeerState.SUSPECT
    first_agent.suspicion.declare_dead(network.now + 60)
    assert first_agent.peers["n005"].state == PeerState.DEAD
    receive(
        first_agent, "n001", GossipItem(replace(agents[4].local_peer, state=PeerState.SUSPECT), ("n001",))
    )
    network.run(0.2)
    assert agents[4].local_peer.version == 1  # warned at once, so it has refuted
    network.run(5)
    assert agents[5].local_peer.version > accused_peer.version
    assert network.states("n005") == {PeerState.ALIVE}


def test_old_gossip_does_not_revive_a_dead_agent():
    network = FakeNetwork()
    first_agent = network.start_fleet(5)[0]
    dead_peer = network.agents.pop("n004").local_peer
    network.run(15)
    receive(first_agent, "n001", GossipItem(dead_peer))
    receive(
        first_agent,
        "n001",
        GossipItem(replace(network.agents["n003"].local_peer, state=PeerState.SUSPECT), ("n004",)),
    )  # n004 is dead, so it is no witness
    assert network.states("n004") == {PeerState.DEAD}
    assert first_agent.peers["n003"].state == PeerState.ALIVE
    network.run(75)
    receive(first_agent, "n001", GossipItem(replace(dead_peer, state=PeerState.DEAD), ("n001", "n002")))
    assert not any("n004" in agent.peers for agent in network.agents.values())


def test_departures_and_changes_reach_all_and_state_exchange_repairs_lost_gossip():
    network = FakeNetwork(7, loss_rate=0.05, duplication_rate=0.3, delay_s=(0.0, 0.3))
    agents = network.start_fleet(20, 30)
    view_versions = [agent.view_version for agent in agents]
    agents[3].update_self(capacity=8.0, migrated_version=2)
    network.run(6)
    assert {(agent.peers["n003"].capacity, agent.peers["n003"].migrated_version) for agent in agents} == {
        (8.0, 2)
    }
    assert all(
        agent.view_version > previous_version
        for agent, previous_version in zip(agents, view_versions, strict=True)
    )
    network.agents.pop("n003")
    receive(agents[0], "n003", version=9, capacity=4.0)
    for agent in agents:
        agent.gossip.pending_updates.clear()
        agent.exchange.compare_at = network.now
    network.run(1)
    assert Counter(agent.peers["n003"].capacity for agent in agents)[4.0] > 2
    network.run(9)
    network.declared_dead = {}
    agents[4].leave()
    network.run(1)
    network.agents.pop("n004")
    network.run(4)
    assert network.states("n004") == {PeerState.LEFT}
    assert "n004" not in agents[0].live_peers()
    assert not network.declared_dead


def test_out_of_range_messages_are_dropped_and_the_table_is_bounded():
    agent = FakeNetwork().start_fleet(3)[0]
    for invalid_fields in (
        {"capacity": nan},
        {"zone": "z" * 65},
        {"version": -1},
        {"state": 9},
        {"reads": (2, 1)},
        {"address": "a" * 200},
        {"incarnation": 1 << 62},
        {"migrated_version": -1},
    ):
        receive(agent, "n001", GossipItem(peer("n002", **{"version": 5, **invalid_fields})))
        receive(agent, "n007", **invalid_fields)
    receive(agent, "n001", *[GossipItem(peer("n002"))] * 65)
    receive(agent, "n001", GossipItem(peer("n002"), ("n001",) * 5))
    agent.on_message("n001", StatePush(sender=peer("n002"), items=()))
    assert agent.size() == 3
    assert agent.context.counters["dropped out of range"] == 18
    assert agent.context.counters["dropped wrong sender"] == 1
    for i in range(2000):
        receive(agent, "n001", GossipItem(peer(f"n{i + 10}")))
    assert len(agent.peers) == 1024
    assert agent.context.events == ["membership full"]


def test_late_duplicated_and_reordered_messages_change_nothing_and_runs_are_deterministic():
    run_results = []
    for _ in range(2):
        network = FakeNetwork(8, loss_rate=0.02, duplication_rate=0.2, delay_s=(0.0, 0.2))
        network.start_fleet(8, 30)
        network.late_share = 0.1
        network.run(60)
        run_results.append(
            (network.sent_messages, network.sent_bytes, [agent.peers for agent in network.agents.values()])
        )
        assert not network.declared_dead
        assert {agent.size() for agent in network.agents.values()} == {8}
    assert run_results[0] == run_results[1]
