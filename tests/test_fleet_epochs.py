"""Agreement on the ring, on a small network of its own: drops, delays, doubles, reorders, cuts one way, restarts."""

from collections import Counter
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace

import msgspec
import pytest

from cartdeal.fleet import epochs
from cartdeal.fleet.desk import Pact
from cartdeal.fleet.epochs import Epochs
from cartdeal.fleet.ring import Ring, Seat, step

CODEC = msgspec.msgpack.Decoder(epochs.WORDS[0] | epochs.WORDS[1])
for kind in epochs.WORDS[2:]:
    CODEC = msgspec.msgpack.Decoder(CODEC.type | kind)


class Net:
    """Agents on one clock; each sees as live whom it has not lost sight of (`unseen`: pairs, seer first)."""

    def __init__(self, names, seed=1, loss=0.0, slow=0.01, make=Epochs, **more):
        self.random, self.loss, self.slow, self.make = Random(seed), loss, slow, make
        self.now, self.heap, self.turn, self.more = 0.0, [], 0, more
        self.cut, self.unseen, self.stopped = set(), set(), {}
        self.seeds = dict.fromkeys(names, "")
        self.peers, self.agents, self.notes, self.counts = {}, {}, [], {}
        self.decided, self.sent, self.bytes = {}, Counter(), Counter()
        self.written = (1, "steady")
        for name in names:
            self.start(name)

    def start(self, name, capacity=1.0):
        self.turn += 1
        pact = Pact(fleet="f", name=name, seeds=self.seeds, **self.more)
        desk = SimpleNamespace(now=self.now, name=name, life=self.turn, random=Random(f"{name} {self.turn}"))
        self.counts[name] = Counter()
        desk.send = lambda to, words: self.send(name, to, words)
        desk.note = lambda kind, **about: self.notes.append((name, kind))
        desk.count = lambda what, more=1: self.counts[name].update({what: more})
        self.peers[name] = SimpleNamespace(name=name, zone=f"z{len(self.peers) % 3}", capacity=capacity, state=0,
                                           life=self.turn, reads=(1, 2))
        self.agents[name] = agent = self.make(desk, pact)
        self.at(0.1 * self.random.random(), self.tick, name, agent)

    def stop(self, name):
        del self.agents[name], self.peers[name]

    def at(self, after, *event):
        self.turn += 1
        heappush(self.heap, (self.now + after, self.turn, event))

    def send(self, sender, to, words):
        raw = msgspec.msgpack.encode(words)
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
            agent.desk.now = self.now
            agent.heard(sender, CODEC.decode(raw))
            self.judge(to, agent)

    def tick(self, name, agent):
        if self.agents.get(name) is agent:
            self.at(0.1, self.tick, name, agent)
            if name not in self.stopped:
                agent.desk.now = self.now
                agent.tick({each: self.peers[each] for each in sorted(self.peers)
                            if (name, each) not in self.unseen}, lambda ring, live: self.written)
                self.judge(name, agent)

    def go_on(self, name):
        for event in self.stopped.pop(name):
            self.arrive(*event)

    def judge(self, name, agent):
        """Reads what each agent holds: never two rings of one epoch."""
        if agent.ring:
            self.decided.setdefault(agent.ring.epoch, {}).setdefault(agent.ring.digest, name)

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
            agent.sure() and agent.need is None for agent in self.agents.values())

    def agreed(self, names):
        held = [agent.ring for agent in self.agents.values()]
        return len(self.rings()) == 1 and held[0] is not None and held[0].names == tuple(sorted(names))


ABC = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")


def test_founds_once_and_all_are_sure():
    net = Net(ABC)
    assert net.run(6, lambda: net.agreed(ABC))
    net.run(0.3)
    assert all(agent.sure() for agent in net.agents.values()) and not net.split()
    assert net.agents["a"].ring.epoch == 1 and net.agents["a"].former is None


@pytest.mark.parametrize("seed", range(40))
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
    assert not net.split()
