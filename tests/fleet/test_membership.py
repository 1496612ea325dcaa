"""Membership on a small network of its own: a seeded heap of events, each message encoded and decoded."""

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
from cartdeal.fleet.membership.swim import MESSAGE_TYPES, GossipItem, Membership, Peer, PeerState, StatePush
from cartdeal.fleet.settings import FleetSettings

decode = msgpack.Decoder(reduce(or_, MESSAGE_TYPES)).decode


class Desk:
    wall = 0.0
    now = property(lambda self: self.net.now)

    def __init__(self, net, name, incarnation, port):
        self.net, self.name, self.incarnation, self.address = net, name, incarnation, f"10.0.0.1:{port}"
        self.called = dict(net.seeds)  # by where it called from last
        self.random, self.events, self.counts = Random(f"{net.seed} {name} {incarnation}"), [], Counter()

    def send(self, to, message):
        self.net.send(self.name, to, message)

    def log_event(self, event):
        self.events.append(event.MESSAGE)
        if isinstance(event, AgentDead):
            self.net.gone[self.name, event.name, self.now] = self.now

    def increment(self, counter, by=1):
        self.counts[counter] += by


class Net:
    late = 0.0

    def __init__(self, seed=1, loss=0.0, double=0.0, delay=(0.001, 0.02)):
        self.seed, self.random, self.now, self.heap, self.place = seed, Random(seed), 100.0, [], 0
        self.loss, self.double, self.delay, self.cut = loss, double, delay, lambda a, b: False
        self.agents, self.stopped, self.sent, self.size, self.gone = {}, {}, Counter(), Counter(), {}
        self.seeds = {f"n{i:03}": f"10.0.0.1:{i}" for i in range(3)}

    def start(self, name, incarnation=1, port=None):
        fleet_settings = FleetSettings(fleet="f", name=name, zone="z", seeds=self.seeds)
        agent = self.agents[name] = Membership(
            Desk(self, name, incarnation, port or int(name[1:])), fleet_settings
        )
        agent.join()
        self.at(self.random.random() * fleet_settings.tick_s, self.tick, agent)
        return agent

    def fleet(self, count, seconds=15.0):
        agents = [self.start(f"n{i:03}") for i in range(count)]
        self.run(seconds)
        assert {agent.size() for agent in agents} == {count}
        return agents

    def at(self, after, what, *args):
        self.place += 1
        heapq.heappush(self.heap, (self.now + after, self.place, what, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.heap[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
        self.now = end

    def tick(self, agent):
        if self.agents.get(agent.name) is agent:
            self.at(agent.settings.tick_s, self.tick, agent)
            if agent.name not in self.stopped:
                agent.tick()

    def send(self, sender, to, message):
        data = msgpack.encode(message)
        assert len(data) <= 1_200 and message.DATAGRAM
        self.sent[sender] += 1
        self.size[sender] += len(data)
        here, known = self.agents[sender].context, self.agents[sender].peers.get(to)
        address = known.address if known else here.called.get(to)
        for _ in range(1 + (self.random.random() < self.double)):
            if self.random.random() >= self.loss and not self.cut(sender, to):
                late = 5.0 * (self.random.random() < self.late) + self.random.uniform(*self.delay)
                self.at(late, self.arrive, (sender, here.address), (to, address), data)

    def arrive(self, sender, to, data):
        if to[0] in self.stopped:
            self.stopped[to[0]].append((sender, to, data))
        elif to[0] in self.agents and self.agents[to[0]].context.address == to[1]:
            self.agents[to[0]].context.called[sender[0]] = sender[1]
            self.agents[to[0]].on_message(sender[0], decode(data))

    def states(self, of):
        return {agent.peers[of].state for agent in self.agents.values()}


def told(agent, sender, *pieces, **me):
    agent.on_message(sender, StatePush(peer(sender, **me), pieces))


def peer(name, **more):
    return replace(Peer(name, f"10.0.0.1:{int(name[1:])}", 1, 0, 0, "z", 1.0, (1, 2), 1), **more)


def deaf(*names):
    return lambda a, b: b in names


@pytest.mark.parametrize("count", [5, 20, 100])
def test_work_is_flat_in_fleet_size_and_a_killed_agent_is_found(count):
    net, took = Net(count), []
    net.fleet(count, 60)
    net.sent, net.size = Counter(), Counter()
    net.run(20)
    each, size = [net.sent[name] / 20 for name in net.agents], sum(net.size.values()) / count / 20
    for victim in list(net.agents)[::-1][:3]:
        net.agents.pop(victim)
        began, net.gone = net.now, {}
        for _ in range(90):
            net.run(0.1)
            assert count == 5 or not any(agent.health for agent in net.agents.values())  # nacks came
        took += [at - began for at in net.gone.values()]
    took.sort()
    print(
        f"{count}: {sum(each) / count:.2f} messages (at most {max(each):.2f}), {size:.0f} bytes an agent "
        f"and second; found after p50 {took[len(took) // 2]:.2f} s, at most {took[-1]:.2f} s"
    )
    assert sum(each) / count < 4 and max(each) < 5.5 and size < 260
    assert len(took) == 3 * (count - 2) and took[-1] < 8


def test_ten_in_a_hundred_lost_call_nobody_gone():
    net = Net(2, loss=0.1, double=0.05, delay=(0.001, 0.05))
    agents = net.fleet(40)
    net.run(120)
    counts = sum((agent.context.counts for agent in agents), Counter())
    print(counts)
    assert counts["accusations"] < 25 and not net.gone and {agent.size() for agent in agents} == {40}


@pytest.mark.parametrize("count, part, seconds", [(2, 1, 30), (3, 1, 30), (20, 6, 40), (30, 15, 150)])
def test_two_halves_find_each_other_and_bury_nobody_anew(count, part, seconds):
    net = Net(3, loss=0.02)
    agents = net.fleet(count, 20)
    small = {agent.name for agent in agents[-part:]}
    net.cut = lambda a, b: (a in small) != (b in small)
    net.run(seconds)
    assert all(agent.size() == (part if agent.name in small else count - part) for agent in agents)
    assert all(net.cut(a, b) for a, b, _ in net.gone)
    net.cut, net.gone = deaf(), {}
    net.run(8)
    assert {agent.size() for agent in agents} == {count}
    net.run(40)
    assert not net.gone


def test_one_that_dies_just_after_a_cut_is_found_though_no_witness_counts_yet():
    net = Net(9)
    agents = net.fleet(3)
    net.cut = lambda a, b: (a == "n002") != (b == "n002")
    net.run(20)
    net.cut = deaf()
    net.run(3)
    net.agents.pop("n001")
    net.run(25)
    assert [agents[0].size(), agents[2].size()] == [2, 2]


@pytest.mark.parametrize(
    "count, cut, apart",
    [
        (5, lambda a, b: a + b == "n003n004", 0),
        (3, lambda a, b: a + b == "n000n001", 0),
        (2, deaf("n001"), 1),
        (20, deaf("n019"), 1),
        (5, lambda a, b: a == "n004", 1),
        (5, lambda a, b: a == "n001", 1),
    ],
)
def test_one_way_cut_makes_nobody_flap(count, cut, apart):
    net = Net(4)
    agents = net.fleet(count)
    net.cut = cut
    one = agents[1 if cut("n001", "n000") else -1]  # whose capacity wobbles all the time
    for i in range(112):
        one.update_self(capacity=1.0 + i % 2)
        net.run(0.25)
    sizes = [1] + [count - 1] * (count - 1) if apart else [count] * count
    assert sorted(agent.size() for agent in agents) == sizes
    assert max(agent.health for agent in agents) == (4 if apart else 0)
    net.gone = {}
    for i in range(150):
        one.update_self(capacity=1.0 + i % 2)
        net.run(2)
        assert sorted(agent.size() for agent in agents) == sizes and not net.gone
    net.cut = deaf()
    net.run(10)
    assert {agent.size() for agent in agents} == {count}


@pytest.mark.parametrize("seconds", [1.5, 30.0, 90.0])
def test_stopped_agent_accuses_nobody_and_is_back_at_once(seconds):
    net = Net(5)
    agents = net.fleet(10)
    net.stopped["n004"] = []
    net.run(seconds)
    assert {agent.size() for agent in agents if agent.name != "n004"} == {10 if seconds < 2 else 9}
    net.gone = {}
    for each in net.stopped.pop("n004"):
        net.arrive(*each)
    net.run(3)
    assert {agent.size() for agent in agents} == {10} and not net.gone and not agents[4].cases
    word = GossipItem(
        replace(agents[2].me, state=PeerState.SUSPECT), ("n004",)
    )  # of one that came back just now
    told(agents[0], "n004", word)
    assert agents[0].peers["n002"].state == (PeerState.ALIVE if seconds == 30 else PeerState.SUSPECT)
    net.run(2)
    while agents[4].probe.done:
        net.run(0.01)
    told(agents[4], "n001", GossipItem(replace(agents[2].me, state=PeerState.SUSPECT), ("n001", "n003")))
    version, missed = agents[4].me.version, agents[4].probe.peer.name
    net.now += seconds  # and what came meanwhile is lost
    agents[4].tick()
    assert agents[4].peers["n002"].state == PeerState.SUSPECT and agents[4].me.version > version
    assert missed == "n002" or agents[4].peers[missed].state == PeerState.ALIVE


def test_higher_life_replaces_a_lower_one_learns_of_it_and_the_same_twice_is_named():
    net = Net(6)
    first = net.fleet(5)[0]
    net.start("n004", incarnation=7)
    net.run(3)
    told(
        first, "n004", GossipItem(replace(net.agents["n003"].me, state=PeerState.SUSPECT), ("n004",))
    )  # the former
    assert first.peers["n003"].state == PeerState.ALIVE
    assert first.peers["n004"].incarnation == 7 and net.states("n004") == {PeerState.ALIVE}
    agent = net.start("n004", incarnation=5)  # its clock was set back
    net.run(3)
    assert (
        agent.newer_incarnation() == 7
        and first.peers["n004"].incarnation == 7
        and not first.newer_incarnation()
    )
    agent.context.incarnation = 8
    net.run(3)
    assert first.peers["n004"].incarnation == 8 and not agent.newer_incarnation()
    net.agents.pop("n004")
    net.run(10)
    agent = net.start("n004", incarnation=9, port=77)
    net.run(3)
    assert net.states("n004") == {PeerState.ALIVE} and agent.size() == 5
    mine = agent.me  # and another of the same incarnation at another place
    told(agent, "n000", GossipItem(replace(mine, address="10.0.0.9:9", version=9)))
    assert agent.me == mine and agent.error.subject == "n004" and "10.0.0.9:9" in agent.error.observed
    assert agent.context.events[-1] == "duplicate name"


def test_one_witness_or_hearsay_is_not_enough_and_the_accused_refutes():
    net = Net()
    agents = net.fleet(6)
    first, accused = agents[0], replace(agents[5].me, state=PeerState.DEAD)
    told(first, "n001", GossipItem(accused, ("n001",)))
    first._suspicions(net.now + 60)
    assert first.peers["n005"].state == PeerState.SUSPECT and first.size() == 6
    told(first, "n001", GossipItem(accused, ("n001", "n002")))
    assert first.peers["n005"].state == PeerState.SUSPECT
    first._suspicions(net.now + 60)
    assert first.peers["n005"].state == PeerState.DEAD
    told(first, "n001", GossipItem(replace(agents[4].me, state=PeerState.SUSPECT), ("n001",)))
    net.run(0.2)
    assert agents[4].me.version == 1  # told at once
    net.run(5)
    assert agents[5].me.version > accused.version and net.states("n005") == {PeerState.ALIVE}


def test_old_gossip_raises_none_that_is_gone_until_it_is_forgotten():
    net = Net()
    first = net.fleet(5)[0]
    late = net.agents.pop("n004").me
    net.run(15)
    told(first, "n001", GossipItem(late))
    told(
        first, "n001", GossipItem(replace(net.agents["n003"].me, state=PeerState.SUSPECT), ("n004",))
    )  # no witness
    assert net.states("n004") == {PeerState.DEAD} and first.peers["n003"].state == PeerState.ALIVE
    net.run(75)
    told(first, "n001", GossipItem(replace(late, state=PeerState.DEAD), ("n001", "n002")))
    assert not any("n004" in agent.peers for agent in net.agents.values())


def test_leaving_is_told_and_changes_reach_all_and_lost_gossip_heals():
    net = Net(7, loss=0.05, double=0.3, delay=(0.0, 0.3))
    agents = net.fleet(20, 30)
    seen = [agent.view_version for agent in agents]
    agents[3].update_self(capacity=8.0, migrated_version=2)
    net.run(6)
    assert {(agent.peers["n003"].capacity, agent.peers["n003"].migrated_version) for agent in agents} == {
        (8.0, 2)
    }
    assert all(agent.view_version > before for agent, before in zip(agents, seen, strict=True))
    net.agents.pop("n003")
    told(agents[0], "n003", version=9, capacity=4.0)
    for agent in agents:
        agent.news.clear()
        agent.compare_at = net.now
    net.run(1)
    assert Counter(agent.peers["n003"].capacity for agent in agents)[4.0] > 2
    net.run(9)
    net.gone = {}
    agents[4].leave()
    net.run(1)
    net.agents.pop("n004")
    net.run(4)
    assert net.states("n004") == {PeerState.LEFT} and "n004" not in agents[0].live_peers() and not net.gone


def test_out_of_range_is_dropped_and_the_table_is_bounded():
    agent = Net().fleet(3)[0]
    for wrong in (
        {"capacity": nan},
        {"zone": "z" * 65},
        {"version": -1},
        {"state": 9},
        {"reads": (2, 1)},
        {"address": "a" * 200},
        {"incarnation": 1 << 62},
        {"migrated_version": -1},
    ):
        told(agent, "n001", GossipItem(peer("n002", **{"version": 5, **wrong})))
        told(agent, "n007", **wrong)
    told(agent, "n001", *[GossipItem(peer("n002"))] * 65)
    told(agent, "n001", GossipItem(peer("n002"), ("n001",) * 5))
    agent.on_message("n001", StatePush(peer("n002"), ()))
    assert agent.size() == 3 and agent.context.counts["dropped out of range"] == 18
    assert agent.context.counts["dropped wrong sender"] == 1
    for i in range(2000):
        told(agent, "n001", GossipItem(peer(f"n{i + 10}")))
    assert len(agent.peers) == 1024 and agent.context.events == ["membership full"]


def test_late_doubled_and_reordered_messages_change_nothing_and_the_same_seed_gives_the_same_trace():
    traces = []
    for _ in range(2):
        net = Net(8, loss=0.02, double=0.2, delay=(0.0, 0.2))
        net.fleet(8, 30)
        net.late = 0.1
        net.run(60)
        traces.append((net.sent, net.size, [agent.peers for agent in net.agents.values()]))
        assert not net.gone and {agent.size() for agent in net.agents.values()} == {8}
    assert traces[0] == traces[1]
