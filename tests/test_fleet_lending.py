"""Lent limits in a tiny network by a seeded clock: what is served, by the answers alone, over all windows."""

from collections import Counter
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

import msgspec

from cartdeal.fleet import lending
from cartdeal.fleet.desk import Limit, Pact
from cartdeal.fleet.lending import Lending
from cartdeal.fleet.ring import Ring, Seat

WIRE = msgspec.msgpack.Decoder(lending.Asks | lending.Loans)


class Desk:
    def __init__(self, net, name, life):
        self.net, self.name, self.life, self.counted = net, name, life, Counter()
        self.random, self.address = Random(f"{net.seed}/{name}/{life}"), ""
        self.quick = net.random.uniform(1, 1 + net.pact.clock_drift)    # this clock against the judge's
        self.ahead = net.random.uniform(-1e6, 1e6)

    @property
    def now(self):
        return self.ahead + self.net.now * self.quick

    @property
    def wall(self):
        return self.net.random.uniform(0, 1e9)      # may be anything, for all that is decided

    def send(self, to, words):
        self.net.carry(self.name, to, words)

    def note(self, kind, **about):
        pass

    def count(self, what, more=1):
        self.counted[what] += more


class Agent:
    """A process life, with a stand-in for epochs.py that is as late and as sure as it may be."""

    def __init__(self, net, name):
        self.net, self.ring, self.sure_until = net, None, -1e9
        self.desk = Desk(net, name, next(net.lives))
        self.desk.now_ = None
        self.part = net.kind(self.desk, net.pact, net.spent, lambda: self.desk.now < self.sure_until)
        self.part.written(net.version)
        self.queue, self.stopped = [], False

    def learn(self, rings):
        new = rings[-1]
        if self.ring is None or self.ring.epoch < new.epoch:
            self.ring = new
            self.part.rings(new, rings[-2] if len(rings) > 1 else None, self.desk.now)
            self.part.written(new.written)


class Net:
    def __init__(self, names="abc", seed=0, kind=Lending, version=2, **about):
        self.seed, self.random, self.now, self.kind, self.version = seed, Random(seed), 0.0, kind, version
        self.limit = about.pop("limit", Limit(30.0, 30.0))
        self.pact = Pact(fleet="f", name="", limits={"t": self.limit}, **about)
        self.events, self.order, self.lives, self.tickets = [], count(), count(1), count(1)
        self.lost = self.doubled = self.late = 0.0
        self.cut, self.sent, self.answers, self.waiting = set(), Counter(), [], {}
        self.rings, self.names, self.agents = [], list(names), {}
        self.decide(names)
        for name in names:
            self.start(name)

    def at(self, when, what):
        heappush(self.events, (when, next(self.order), what))

    def decide(self, names):
        self.rings.append(Ring(len(self.rings) + 1, tuple(Seat(n, "", 1.0) for n in sorted(names)), self.version))

    def turn(self):
        self.version = 3 - self.version
        self.decide(self.rings[-1].names)

    def start(self, name):
        self.waiting = {ticket: of for ticket, of in self.waiting.items() if of[1] != name}     # they died with it
        agent = self.agents[name] = Agent(self, name)
        self.at(self.now, partial(self.tick, agent))
        self.at(self.now, partial(self.vouch, agent))

    def tick(self, agent):
        if self.agents[agent.desk.name] is agent:
            if not agent.stopped:
                agent.part.tick()
            self.at(self.now + self.pact.tick_s * self.random.uniform(0.9, 1.1), partial(self.tick, agent))

    def vouch(self, agent):
        """Asks a majority, unless cut off from it; what it hears is by then some time old."""
        if self.agents[agent.desk.name] is not agent:
            return
        if not agent.stopped and (agent.desk.name, "majority") not in self.cut:
            asked, took = agent.desk.now, self.random.uniform(0, 0.3)

            def hears():
                if not agent.stopped and agent.ring is self.rings[-1]:
                    agent.sure_until = max(agent.sure_until, asked + self.pact.lease_s)
                elif not agent.stopped and self.random.random() < 0.7:
                    agent.learn(self.rings)
            if agent.ring is not self.rings[-1]:
                self.at(self.now + took, hears)
            else:
                hears()     # the answer counts from here on: it may be decided otherwise a moment later
        self.at(self.now + self.random.uniform(0.1, 0.6), partial(self.vouch, agent))

    def carry(self, sender, to, words):
        self.sent[sender] += 1
        text = msgspec.msgpack.encode(words)
        copies = 1 + (self.random.random() < self.doubled) - (self.random.random() < self.lost)
        for _ in range(copies if (sender, to) not in self.cut else 0):
            delay = self.random.uniform(0.0002, 0.002)
            if self.random.random() < self.late:
                delay += self.random.choice((0.3, 1.0, 2.0, 5.0)) * self.random.random()
            self.at(self.now + delay, partial(self.deliver, sender, to, text))

    def deliver(self, sender, to, text):
        agent = self.agents.get(to)
        if agent is not None and agent.stopped:
            agent.queue.append((sender, text))
        elif agent is not None:
            agent.part.heard(sender, WIRE.decode(text))

    def stop(self, name, seconds):
        agent = self.agents[name]
        agent.stopped = True

        def goes_on():
            agent.stopped = False
            for sender, text in agent.queue if self.agents[name] is agent else ():
                agent.part.heard(sender, WIRE.decode(text))
            agent.queue = []
        self.at(self.now + seconds, goes_on)

    def lookup(self, name, tenant="t"):
        agent = self.agents[name]
        if not agent.stopped:
            ticket = next(self.tickets)
            self.waiting[ticket] = (self.now, name)
            agent.part.spend(ticket, tenant, agent.desk.now + self.pact.wait_s)

    def spent(self, ticket, ok, wait_s, sure):
        asked, name = self.waiting.pop(ticket)      # a second answer is a KeyError
        assert ok or wait_s > 0
        self.answers.append((self.now, name, ok, wait_s, sure, self.now - asked))

    def load(self, name, rate, start, end):
        """Lookups by chance, `rate` a second on average."""
        when = start
        while (when := when + self.random.expovariate(rate)) < end:
            self.at(when, partial(self.lookup, name))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until

    def served(self, start=0.0, end=1e9, name=None):
        return sum(1 for when, by, ok, *_ in self.answers if ok and start <= when < end and name in (None, by))

    def over(self, burst=None, rate=None, start=0.0) -> float:
        """The judge: by how much the worst window was over its bound (not over: 0 or less)."""
        burst, rate = burst or self.limit.burst, rate or self.limit.rate
        level, at, worst = 0.0, 0.0, -burst
        for when in (when for when, _, ok, *_ in self.answers if ok and when >= start):
            level, at = max(level - rate * (when - at), 0.0) + 1, when
            worst = max(worst, level - burst)
        return worst - 1e-6


def rough(seed, kind=Lending, until=30.0, steps=False, **about):
    """A day of everything at once: loss, doubles, lateness, cuts, stops, restarts, rings in quick succession."""
    chance = Random(f"rough {seed}")
    limit = chance.choice((Limit(20.0, 60.0), Limit(5.0, 40.0), Limit(50.0, 20.0), Limit(2.0, 3.0)))
    names = "abcdef"[:chance.randint(2, 6)]
    net = Net(names, seed, kind, **{"limit": limit, "clock_drift": 0.05, **about})
    net.lost, net.doubled, net.late = (chance.choice((0.0, 0.05, 0.3)) for _ in range(3))
    for name in names:
        net.load(name, chance.choice((0.1, 1.0, 3.0)) * limit.rate, 0, until)
    when = 3.0
    while (when := when + chance.expovariate(1.0)) < until:
        name, other, long = chance.choice(names), chance.choice(names), chance.choice((0.2, 1.0, 3.0, 6.0))
        what = chance.randrange(6 + steps)
        if what == 0:
            net.at(when, partial(net.stop, name, long))
        elif what == 1:
            net.at(when, partial(net.start, name))
        elif what == 2:
            for _ in range(chance.randint(1, 3)):
                net.at(when, partial(net.decide, chance.sample(names, chance.randint(1, len(names)))))
                when += chance.uniform(0.05, 1.0)
        elif what == 6:
            net.at(when, net.turn)
        else:
            cuts = {(name, other)} if what == 3 else {(name, "majority")} if what == 4 else {
                ends for each in (*names, "majority") for ends in ((name, each), (each, name))}
            net.at(when, partial(net.cut.update, cuts))
            net.at(when + long, partial(net.cut.difference_update, cuts))
    net.run(until + 8)
    assert not net.waiting      # each lookup is answered, whatever comes
    return net


def test_nobody_is_over_and_a_steady_tenant_gets_its_share():
    net = Net("abc", seed=1)
    for name, rate in zip(net.names, (45, 15, 6), strict=True):
        net.load(name, rate, 0, 20)
    net.run(20)
    assert net.over() <= 0
    assert net.served(8, 20) >= 0.8 * 30 * 12
