"""Membership on a small network of its own: a seeded heap of events, each message encoded and decoded."""

import heapq
from random import Random

import pytest
from msgspec import msgpack
from msgspec.structs import replace

from cartdeal.fleet.desk import Pact
from cartdeal.fleet.members import WORDS, Members, Peer, Pieces, State


class Desk:
    wall = 0.0

    def __init__(self, net, name, life, address):
        self.net, self.name, self.life, self.address = net, name, life, address
        self.random, self.notes, self.counts = Random(f"{net.seed} {name} {life}"), [], {}

    @property
    def now(self):
        return self.net.now

    def send(self, to, words):
        self.net.send(self.name, to, words)

    def note(self, kind, **about):
        self.notes.append((round(self.now, 2), kind, about))

    def count(self, what, more=1):
        self.counts[what] = self.counts.get(what, 0) + more


class Net:
    def __init__(self, seed=1, loss=0.0, double=0.0, delay=(0.001, 0.02)):
        self.seed, self.random, self.now, self.heap, self.place = seed, Random(seed), 100.0, [], 0
        self.loss, self.double, self.delay, self.cut = loss, double, delay, lambda a, b: False
        self.agents, self.stopped, self.sent, self.size, self.gone = {}, {}, {}, {}, []
        self.seeds = {f"n{i:03}": f"10.0.0.1:{i}" for i in range(3)}

    def start(self, name, life=1, join=True, **more):
        pact = Pact(fleet="f", name=name, zone="z", seeds=self.seeds, **more)
        agent = self.agents[name] = Members(Desk(self, name, life, f"10.0.0.1:{int(name[1:])}"), pact)
        if join:
            agent.join()
        self.at(self.random.random() * pact.tick_s, self.tick, agent)
        return agent

    def fleet(self, count, seconds=15.0):
        for i in range(count):
            self.start(f"n{i:03}")
        self.run(seconds)
        assert all(agent.size() == count for agent in self.agents.values())
        return list(self.agents.values())

    def at(self, after, what, *args):
        self.place += 1
        heapq.heappush(self.heap, (self.now + after, self.place, what, args))

    def run(self, seconds, until=None):
        end = self.now + seconds
        while self.heap[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
            if until and until():
                return self.now
        self.now = end

    def tick(self, agent):
        if self.agents.get(agent.name) is agent:
            self.at(agent.pact.tick_s, self.tick, agent)
            if agent.name not in self.stopped:
                before = {name for name, peer in agent.table.items() if peer.state == State.GONE}
                agent.tick()
                self.gone += [(agent.name, name) for name, peer in agent.table.items()
                              if peer.state == State.GONE and name not in before]

    def send(self, sender, to, words):
        data = msgpack.encode(words)
        assert len(data) <= 1_200 and words.DATAGRAM
        self.sent[sender] = self.sent.get(sender, 0) + 1
        self.size[sender] = self.size.get(sender, 0) + len(data)
        for _ in range(1 + (self.random.random() < self.double)):
            if self.random.random() >= self.loss and not self.cut(sender, to):
                self.at(self.random.uniform(*self.delay), self.arrive, sender, to, data)

    def arrive(self, sender, to, data):
        if to in self.stopped:
            self.stopped[to].append((sender, data))
        elif to in self.agents:
            self.agents[to].heard(sender, msgpack.decode(data, type=WORDS[0] | WORDS[1] | WORDS[2] | WORDS[3]
                                                         | WORDS[4] | WORDS[5]))

    def stop(self, name):
        self.stopped[name] = []

    def go_on(self, name):
        for each in self.stopped.pop(name):
            self.arrive(each[0], name, each[1])

    def kill(self, name):
        return self.agents.pop(name)

    def states(self, of):
        return {name: State(agent.table[of].state) for name, agent in self.agents.items()}


def peer(name, life=1, turn=0, state=0, **more):
    return replace(Peer(name, f"10.0.0.1:{int(name[1:])}", life, turn, state, "z", 1.0, (1, 2), 1), **more)


def told(net, agent, sender, *pieces, **me):
    net.agents[agent].heard(sender, Pieces(peer(sender, **me), pieces))


@pytest.mark.parametrize("count", [5, 20, 100])
def test_work_is_flat_in_fleet_size_and_a_killed_agent_is_found(count):
    net, took = Net(count), []
    net.fleet(count, 75.0)
    net.sent, net.size = {}, {}
    net.run(20)
    messages, most = sum(net.sent.values()) / count / 20, max(net.sent.values()) / 20
    size = sum(net.size.values()) / count / 20
    for victim in list(net.agents)[::-1][:3]:
        net.kill(victim)
        began = net.now
        for agent in net.agents.values():
            at = net.run(30, lambda agent=agent, victim=victim: agent.table[victim].state == State.GONE)
            took.append((at or net.now + 99) - began)
    took.sort()
    print(f"{count}: {messages:.2f} messages (at most {most:.2f}) and {size:.0f} bytes an agent and second, "
          f"found after p50 {took[len(took) // 2]:.2f} s, at most {took[-1]:.2f} s")
    assert messages < 5 and most < 6.5 and size < 700 and took[-1] < 8


def test_ten_in_a_hundred_lost_call_nobody_gone():
    net = Net(2, loss=0.1, double=0.05, delay=(0.001, 0.05))
    agents = net.fleet(40)
    net.run(120)
    suspicions = sum(agent.desk.counts.get("suspicions", 0) for agent in agents)
    print(f"{suspicions} suspicions by {len(agents)} agents in 120 s, {len(net.gone)} called gone")
    assert not net.gone and all(agent.size() == 40 for agent in agents)
