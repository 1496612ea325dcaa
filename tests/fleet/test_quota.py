"""Lent limits in a tiny network by a seeded clock: what is served, by the answers alone, over all windows."""

from collections import Counter
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from cartdeal.fleet.quota.granting import LeaseGranter
from cartdeal.fleet.quota.messages import LeaseRequest, LeaseRequestBatch, LeaseResponseBatch
from cartdeal.fleet.quota.ownership import OwnershipHistory
from cartdeal.fleet.quota.quota_leases import QuotaLeases
from cartdeal.fleet.quota.rates import max_min_fair_shares
from cartdeal.fleet.quota.token_bucket import HolderId, TokenBucket
from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.settings import FleetSettings, RateLimit

WIRE = msgspec.msgpack.Decoder(LeaseRequestBatch | LeaseResponseBatch)


class Desk:
    def __init__(self, net, name, incarnation):
        self.net, self.name, self.incarnation, self.counted = net, name, incarnation, Counter()
        self.random, self.address = Random(f"{net.seed}/{name}/{incarnation}"), ""
        self.quick = net.random.uniform(1, 1 + net.settings.clock_drift)  # this clock against the judge's
        self.ahead = net.random.uniform(-1e6, 1e6)

    @property
    def now(self):
        return self.ahead + self.net.now * self.quick

    @property
    def wall(self):
        return self.net.random.uniform(0, 1e9)  # may be anything, for all that is decided

    def send(self, to, message):
        self.net.carry(self.name, to, message)

    def log_event(self, event):
        pass

    def increment(self, counter, by=1):
        self.counted[counter] += by


class Agent:
    """A process incarnation, with a stand-in for epochs.py that is as late and as sure as it may be."""

    def __init__(self, net, name):
        self.net, self.ring, self.sure_until = net, None, -1e9
        self.context = Desk(net, name, next(net.incarnations))
        self.part = net.kind(
            self.context, net.settings, net.on_token_decision, lambda: self.context.now < self.sure_until
        )
        self.part.set_schema_version(net.version)
        self.queue, self.stopped = [], False

    def learn(self, rings):
        new = rings[-1]
        if self.ring is None or self.ring.epoch < new.epoch:
            self.ring = new
            self.part.on_ring_changed(new, rings[-2] if len(rings) > 1 else None, self.context.now)
            self.part.set_schema_version(new.written_version)


class Net:
    def __init__(self, names="abc", seed=0, kind=QuotaLeases, version=2, **about):
        self.seed, self.random, self.now, self.kind, self.version = seed, Random(seed), 0.0, kind, version
        self.limit = about.pop("limit", RateLimit(30.0, 30.0))
        self.settings = FleetSettings(fleet="f", name="", limits={"t": self.limit}, **about)
        self.events, self.order, self.incarnations, self.tickets = [], count(), count(1), count(1)
        self.lost = self.doubled = self.late = 0.0
        self.cut, self.sent, self.answers, self.waiting = set(), Counter(), [], {}
        self.rings, self.names, self.agents = [], list(names), {}
        self.decide(names)
        for name in names:
            self.start(name)

    def at(self, when, what):
        heappush(self.events, (when, next(self.order), what))

    def decide(self, names):
        seats = tuple(RingMember(name, "", 1.0) for name in sorted(names))
        self.rings.append(Ring(len(self.rings) + 1, seats, self.version))

    def turn(self):
        self.version = 3 - self.version
        self.decide(self.rings[-1].names)

    def start(self, name):
        # What waited in its earlier incarnation died with it.
        self.waiting = {ticket: of for ticket, of in self.waiting.items() if of[1] != name}
        agent = self.agents[name] = Agent(self, name)
        self.at(self.now, partial(self.tick, agent))
        self.at(self.now, partial(self.vouch, agent))

    def tick(self, agent):
        if self.agents[agent.context.name] is agent:
            if not agent.stopped:
                agent.part.tick()
            self.at(
                self.now + self.settings.tick_s * self.random.uniform(0.9, 1.1), partial(self.tick, agent)
            )

    def vouch(self, agent):
        """Asks a majority, unless cut off from it; what it hears is by then some time old."""
        if self.agents[agent.context.name] is not agent:
            return
        if not agent.stopped and (agent.context.name, "majority") not in self.cut:
            asked, took = agent.context.now, self.random.uniform(0, 0.3)

            def hears():
                if not agent.stopped and agent.ring is self.rings[-1]:
                    agent.sure_until = max(agent.sure_until, asked + self.settings.lease_s)
                elif not agent.stopped and self.random.random() < 0.7:
                    agent.learn(self.rings)

            if agent.ring is not self.rings[-1]:
                self.at(self.now + took, hears)
            else:
                hears()  # the answer counts from here on: it may be decided otherwise a moment later
        self.at(self.now + self.random.uniform(0.1, 0.6), partial(self.vouch, agent))

    def carry(self, sender, to, message):
        self.sent[sender] += 1
        text = msgspec.msgpack.encode(message)
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
            agent.part.on_message(sender, WIRE.decode(text))

    def stop(self, name, seconds):
        agent = self.agents[name]
        agent.stopped = True

        def goes_on():
            agent.stopped = False
            for sender, text in agent.queue if self.agents[name] is agent else ():
                agent.part.on_message(sender, WIRE.decode(text))
            agent.queue = []

        self.at(self.now + seconds, goes_on)

    def request(self, name, tenant="t"):
        agent = self.agents[name]
        if not agent.stopped:
            ticket = next(self.tickets)
            self.waiting[ticket] = (self.now, name)
            agent.part.request_token(ticket, tenant, agent.context.now + self.settings.wait_s)

    def on_token_decision(self, ticket, ok, wait_s, certain):
        asked, name = self.waiting.pop(ticket)  # a second answer is a KeyError
        assert ok or wait_s > 0
        self.answers.append((self.now, name, ok, wait_s, certain, self.now - asked))

    def load(self, name, rate, start, end):
        """Requests by chance, `rate` a second on average."""
        when = start
        while (when := when + self.random.expovariate(rate)) < end:
            self.at(when, partial(self.request, name))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until

    def served(self, start=0.0, end=1e9, name=None):
        return sum(ok and start <= when < end and name in (None, by) for when, by, ok, *_ in self.answers)

    def over(self, burst=None, rate=None) -> float:
        """The judge: by how much the worst of all windows was over its bound (not over: 0 or less)."""
        burst, rate = burst or self.limit.burst, rate or self.limit.rate
        level, at, worst = 0.0, 0.0, -burst
        for when in (when for when, _, ok, *_ in self.answers if ok):
            level, at = max(level - rate * (when - at), 0.0) + 1, when
            worst = max(worst, level - burst)
        return worst - 1e-6


def rough(seed, kind=QuotaLeases, until=30.0, steps=False, **about):
    """Everything at once: loss, doubles, lateness, cuts, stops, restarts, rings in quick succession."""
    chance = Random(f"rough {seed}")
    limit = chance.choice(
        (RateLimit(20.0, 60.0), RateLimit(5.0, 40.0), RateLimit(50.0, 20.0), RateLimit(2.0, 3.0))
    )
    names = "abcdef"[: chance.randint(2, 6)]
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
            cuts = (
                {(name, other)}
                if what == 3
                else {(name, "majority")}
                if what == 4
                else {ends for each in (*names, "majority") for ends in ((name, each), (each, name))}
            )
            net.at(when, partial(net.cut.update, cuts))
            net.at(when + long, partial(net.cut.difference_update, cuts))
    net.run(until + 8)
    assert not net.waiting  # each request is answered, whatever comes
    return net


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_never_over_whatever_fails(seed):
    assert rough(seed, until=15.0).over() <= 0


@pytest.mark.parametrize("seed", range(4))
def test_by_periods_and_through_steps_of_version_both_ways(seed):
    whole = rough(seed, version=1, until=15.0)
    assert whole.over(burst=2 * whole.limit.rate + 3) <= 0
    both = rough(seed, version=1 + seed % 2, steps=True, until=15.0)
    assert both.over(burst=max(both.limit.burst, 2 * both.limit.rate + 3)) <= 0


def no_lease(part):
    def on_response(*args, real=part.holder.on_response):
        quota = real(*args)
        for lease in quota.leases.values() if quota else ():
            lease.expires_at = 1e18
        return quota

    part.holder.on_response = on_response


def no_fence(part):
    part.owner.history.fence_s = 1e-6


def no_book(part):
    def granter(*args, real=part.owner.granter):
        found = real(*args)
        found.bucket.counted_lease_s = 0.3
        return found

    part.owner.granter = granter


def never_unsure(part):
    part.owner.has_valid_lease = lambda: True


def gap_overlooked(part):
    history = part.owner.history

    def learn(ring, former, now, real=history.learn):
        real(ring, former, now) if history.current.ring is None else history.append(ring, now)

    history.learn = learn


def twice(part):
    """What comes doubled is taken twice: answers, and loans given back."""

    def on_response(sender, incarnation, response, now, real=part.holder.on_response):
        quota = part.holder.quotas.get(response.tenant)
        exchange = quota.exchanges.get(sender) if quota else None
        if exchange and not exchange.pending_sequence:
            exchange.pending_sequence = response.sequence
        return real(sender, incarnation, response, now)

    def on_return(holder_id, lease_return, now):
        part.owner.granter(lease_return.tenant, now).bucket.tokens += lease_return.tokens

    part.holder.on_response = on_response
    part.owner.on_return = on_return


def planted(fault):
    def make(*about):
        part = QuotaLeases(*about)
        fault(part)
        return part

    return make


@pytest.mark.parametrize(
    "fault, seeds",
    [
        (no_lease, (20, 57)),
        (no_fence, (8, 59)),
        (no_book, (8, 57)),
        (never_unsure, (250,)),
        (twice, (118, 33)),
    ],
)
def test_a_planted_fault_is_found(fault, seeds):
    assert any(rough(seed, planted(fault)).over() > 0 for seed in seeds)


def cut_off_while_another_owned(kind):
    """a owned by epoch 1 and owns by 3, and never heard of 2, in which d had its part and still has."""
    net = Net("abcd", kind=kind, limit=RateLimit(2.0, 60.0))
    net.rings = [Ring(1, net.rings[0].members[:3], 2)]
    net.at(10, partial(net.cut.add, ("a", "majority")))
    net.at(11, partial(net.decide, "bcd"))
    net.at(60, partial(net.decide, "abc"))
    net.at(60, partial(net.cut.update, {("d", "majority")}))
    net.at(60, partial(net.cut.discard, ("a", "majority")))
    for name in "abcd":
        net.load(name, 200, 60.5, 63)
    net.run(64)
    return net.over()


def test_a_gap_in_the_epochs_is_no_tenure():
    assert (
        cut_off_while_another_owned(QuotaLeases) <= 0 < cut_off_while_another_owned(planted(gap_overlooked))
    )


@pytest.mark.parametrize(
    "limit, version",
    [
        (RateLimit(30, 30), 2),
        (RateLimit(100, 300), 2),
        (RateLimit(5, 10), 2),
        (RateLimit(1, 5), 2),
        (RateLimit(30, 30), 1),
        (RateLimit(2, 3), 1),
    ],
)
def test_a_steady_uneven_tenant_gets_nine_tenths(limit, version):
    net = Net("abcde", limit=limit, version=version)
    end = 10 + 600 / limit.rate if limit.rate < 30 else 25
    for name, part in zip(net.names, (1.5, 0.5, 0.2, 0.1, 0.1), strict=True):
        net.load(name, part * limit.rate, 0, end)
    net.run(end)
    assert net.served(8, end) >= 0.9 * limit.rate * (end - 8)
    assert sum(net.sent.values()) < 50 * 5 * end  # messages: so many an agent and second


def test_a_fresh_fleet_is_unsure_and_a_quiet_agent_is_served_in_a_round_trip():
    net = Net("abcdef")
    for when in (2.0, 4.0, 20.0):
        net.at(when, partial(net.request, "f"))
    net.run(21)
    assert [each[2:5:2] for each in net.answers] == [(False, False), (False, False), (True, True)]
    assert net.answers[-1][-1] <= 0.004
    net.run(27)
    sent = net.sent.copy()
    net.run(60)  # its loan was let go, so nothing is renewed
    assert net.sent == sent and all(not agent.part.holder.quotas for agent in net.agents.values())


def test_what_a_leaving_agent_holds_is_lent_again_at_once():
    net = Net("abcd", limit=RateLimit(1.0, 40.0))
    net.run(60)
    for _ in range(30):
        net.request("d")
    net.run(60.3)
    net.agents["d"].part.return_all_leases()
    net.run(60.4)
    for _ in range(60):
        net.request("b")
    net.run(60.6)
    assert net.served() >= 38 and net.over() <= 0


def test_cut_off_an_agent_answers_in_time_and_says_so():
    net = Net("abcd", limit=RateLimit(50.0, 50.0))
    net.load("d", 30, 0, 20)
    net.at(
        10,
        partial(
            net.cut.update,
            {ends for name in ("a", "b", "c", "majority") for ends in (("d", name), (name, "d"))},
        ),
    )
    net.run(20)
    holder = net.agents["d"].part.holder
    late = [each for each in net.answers if each[0] > 14.5]
    assert len(late) > 100 and not any(ok or sure for _, _, ok, _, sure, _ in late)
    assert max(took for *_, took in late) <= net.settings.wait_s + 2 * net.settings.tick_s
    holder.settings = replace(holder.settings, most_waiting=0)  # full: denied at once, counted
    net.request("d")
    assert net.answers[-1][2] is False and holder.context.counted["admission queue full"] == 1


def test_limits_read_anew_at_different_times_keep_to_the_greater():
    net = Net("abc", limit=RateLimit(60.0, 60.0))
    for name in "abc":
        net.load(name, 60, 0, 30)
    for when, name, limit in ((12, "a", 20.0), (14, "b", 20.0), (15, "c", 20.0), (22, "a", 60.0)):
        new = replace(net.settings, limits={"t": RateLimit(limit, limit)})
        net.at(when, partial(net.agents[name].part.update_limits, new))
    net.run(30)
    assert net.over() <= 0 and net.over(20.0, 20.0) > 0
    low = [each for each in net.answers if 18 <= each[0] < 22 and each[2]]
    assert 0.8 * 80 <= len(low) <= 20 + 20 * 4


def test_an_answer_in_flight_finds_room_under_the_cap():
    bucket = TokenBucket(
        b"u/t",
        RateLimit(30.0, 30.0),
        OwnershipHistory(0.0, 0.0, lambda ring, key: 1.0),
        FleetSettings(fleet="f", name="a"),
        2,
    )
    bucket.history.learn(Ring(1, ()), None, 0.0)
    bucket.history.prove(10.0)
    bucket.advance(10.0, 10, 10.0, 2)
    granter, holder_id, lease_number = LeaseGranter(bucket), HolderId("b", 1), 0
    account = bucket.account(holder_id)
    for sequence in range(1, 6):
        request = LeaseRequest("t", sequence, lease_number, 9.0, 8.0, 0.0, 5.0, 40.0, 20.0)
        grant = granter.grant(holder_id, account, request, 10.0, sequence)
        assert grant.tokens + (8.0 if lease_number else 0.0) <= max(grant.burst, 9.0 if lease_number else 0.0)
        assert bucket.tokens + bucket.leased_burst <= 30.0 + 1e-9
        lease_number = grant.lease_number


@given(st.floats(0, 100), st.lists(st.floats(0, 100), min_size=1, max_size=8))
def test_water_fills_evenly(total, wants):
    parts = max_min_fair_shares(total, wants)
    assert sum(parts) == pytest.approx(min(total, sum(wants)))
    level = max(parts)
    assert all(part == pytest.approx(min(want, level)) for part, want in zip(parts, wants, strict=True))
