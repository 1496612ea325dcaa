"""Copies on their owners, over a small network of its own: seeded, on a clock of events."""

from collections import Counter
from typing import Union

import msgspec

from cartdeal.fleet.replication import messages, ring_view
from cartdeal.fleet.replication.records import AttemptRecord, Certainty, Session, advance, digest, merge
from cartdeal.fleet.replication.replica import Replica
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.settings import FleetSettings
from cartdeal.simulated_time import SimulatedClock, seeded_random

MESSAGE_DECODER = msgspec.msgpack.Decoder(Union[messages.MESSAGE_TYPES])  # noqa: UP007
SETTINGS = FleetSettings(fleet="f", name="", longest_mark_s=10.0, clock_ahead_s=0.5, lease_s=1.0)


def ring(epoch, *names, written=1, phase="steady"):
    return Ring(epoch, tuple(RingMember(name, "", 1.0) for name in sorted(names)), written, phase)


class SimulatedAgent:
    """A context, the replica at it, and the process that can be stopped, killed and started from nothing."""

    def __init__(self, net, name, fleet_settings):
        self.net, self.name, self.address, self.settings = net, name, name + ":1", fleet_settings
        self.incarnations, self.counts, self.events, self.skew = 0, Counter(), [], 0.0
        self.start()

    def start(self):
        self.incarnations += 1
        self.incarnation, self.random = (
            self.incarnations,
            seeded_random(self.net.seed, f"{self.name}/{self.incarnations}"),
        )
        self.answers, self.attempt_count, self.undelivered = {}, 0, []
        self.stopped, self.dead, self.has_valid_lease = False, False, True
        self.replica = Replica(self, self.settings, self.done, lambda: self.has_valid_lease)
        self.tick(self.replica)

    now = property(lambda self: self.net.clock.now + 100)
    wall = property(lambda self: self.net.clock.now + 1_000_000 + self.skew)

    def log_event(self, event):
        self.events.append(event.MESSAGE)

    def increment(self, counter, by=1):
        self.counts[counter] += by

    def send(self, to, message):
        self.net.transmit(self.name, to, message)

    def done(self, ticket, marks, sure):
        assert ticket not in self.answers, "answered twice"
        self.answers[ticket] = (tuple(attempt.attempt_id for attempt in marks), sure, self.net.clock.now)

    def tick(self, which):
        if which is self.replica and not self.dead:
            if not self.stopped:
                self.replica.tick()
            self.net.clock.after(0.09 + 0.02 * self.random.random(), self.tick, which)

    def receive(self, sender, message):
        if self.stopped:
            self.undelivered.append((sender, message))
        elif not self.dead:
            self.replica.on_message(sender, message)

    def kill(self):
        self.dead = True

    def resume(self):
        self.stopped, undelivered, self.undelivered = False, self.undelivered, []
        for each in undelivered:
            self.receive(*each)

    def new_attempt(self, lasts=5.0, **more):
        self.attempt_count += 1
        now = int(self.wall * 1e3)
        return AttemptRecord(
            f"{self.name}/{self.incarnation}/{self.attempt_count}",
            "GET /",
            "u",
            "all",
            0,
            sent_ms=now,
            expires_ms=now + int(lasts * 1e3),
            **more,
        )

    def write(self, sid, wait=0.2, **more):
        attempt = self.new_attempt(**more)
        ticket = self.attempt_count
        self.replica.write(ticket, f"s/{sid}", attempt, self.now + wait)
        return ticket, attempt

    def write_and_wait(self, sid, wait=0.2, **more):
        """A claim, played to its end: (the marks that were there, sure)."""
        ticket, _ = self.write(sid, wait, **more)
        self.net.run(wait + 0.3)
        return self.answers[ticket][:2]

    def read_and_wait(self, sid, wait=0.2):
        self.attempt_count += 1
        ticket = self.attempt_count
        self.replica.read(ticket, f"s/{sid}", self.now + wait)
        self.net.run(wait + 0.3)
        return self.answers[ticket][:2]


class SimulatedNetwork:
    def __init__(
        self,
        names="abc",
        seed=1,
        loss=0.0,
        duplication=0.0,
        delay_share=0.0,
        former=None,
        epoch=1,
        **fleet_settings,
    ):
        self.clock, self.seed, self.random = SimulatedClock(), seed, seeded_random(seed, "net")
        self.loss, self.duplication, self.delay_share = loss, duplication, delay_share
        self.cuts, self.sent, self.bytes = set(), Counter(), 0
        self.settings = msgspec.structs.replace(SETTINGS, **fleet_settings)
        self.agents = {name: SimulatedAgent(self, name, self.settings) for name in names}
        self.ring, self.former = ring(epoch, *names), former
        self.announce_ring()
        self.run(0.5)

    def __getitem__(self, name):
        return self.agents[name]

    def announce_ring(self, *names):
        for name in names or self.agents:
            if not self[name].dead:
                self[name].replica.on_ring_changed(self.ring, self.former, self[name].now)

    def change_ring(self, new, *names):
        """The next ring, told to these agents, or all."""
        self.former, self.ring = self.ring, new
        self.announce_ring(*names)

    def start(self, name):
        """Anew, from nothing, under the same name and ring."""
        if name not in self.agents:
            self.agents[name] = SimulatedAgent(self, name, self.settings)
        else:
            self[name].kill()
            self[name].start()
        self.announce_ring(name)

    def transmit(self, sender, to, message):
        raw = msgspec.msgpack.encode(message)
        assert len(raw) < 256 * 1024 and sender != to
        self.sent[type(message).__name__] += 1
        self.bytes += len(raw)
        for _ in range(1 + (self.random.random() < self.duplication)):
            if to in self.agents and self.random.random() >= self.loss:
                delay = 0.001 + 0.002 * self.random.random()
                if self.random.random() < self.delay_share:
                    delay += 5 * self.random.random()
                self.clock.after(delay, self.deliver, sender, to, MESSAGE_DECODER.decode(raw))

    def deliver(self, sender, to, message):
        if (sender, to) not in self.cuts:
            self[to].receive(sender, message)

    def cut(self, here, there, both=True):
        self.cuts |= {(a, b) for a in here for b in there}
        if both:
            self.cut(there, here, False)

    def run(self, seconds):
        self.clock.run(self.clock.now + seconds)

    def equal(self, names):
        pairs = [(self[a].replica, self[b].replica, a, b) for a in names for b in names if a < b]
        return all(a.owned_digest(y) == b.owned_digest(x) for a, b, x, y in pairs)

    def find_session(self, has=(), former=(), no=()):
        """One whose owners have these by the present ring, and by the former."""
        for sid in range(10_000):
            here = owners(self.ring, f"s/{sid}".encode(), 3)
            there = owners(self.former, f"s/{sid}".encode(), 3) if former else ()
            if set(has) <= set(here) and set(former) <= set(there) and not set(no) & set(here):
                return sid
        raise LookupError


# Claims


def test_a_write_takes_one_round_trip_and_returns_earlier_attempts():
    net = SimulatedNetwork()
    ticket, first = net["a"].write("x")
    net.run(0.01)
    assert net["a"].answers[ticket][:2] == ((), True)
    assert net["b"].write_and_wait("x") == ((first.attempt_id,), True)
    assert net["c"].read_and_wait("x")[1]
    assert net["c"].read_and_wait("other") == ((), True)


def test_of_two_concurrent_writes_at_least_one_sees_the_other():
    for seed in range(40):
        net = SimulatedNetwork("abcde", seed=seed, loss=0.05, duplication=0.1)
        (one, attempt), (two, other) = net["a"].write("x"), net["b"].write("x")
        net.run(0.6)
        (seen, sure), (found, certain) = net["a"].answers[one][:2], net["b"].answers[two][:2]
        assert not (sure and certain) or other.attempt_id in seen or attempt.attempt_id in found


def test_with_all_owners_down_a_write_is_uncertain_at_its_deadline():
    net = SimulatedNetwork("abcde")
    sid = net.find_session(no="ab")
    assert net["a"].write_and_wait(sid)[1]
    for name in "cde":
        net[name].kill()
    ticket, _ = net["b"].write(sid, 0.2)
    begun = net.clock.now
    net.run(0.5)
    assert net["b"].answers[ticket][:2] == ((), False)
    assert 0.2 <= net["b"].answers[ticket][2] - begun <= 0.32


def test_neither_a_minority_of_owners_nor_one_without_a_lease_gives_a_certain_answer():
    net = SimulatedNetwork()
    net.cut("a", "bc")
    assert net["a"].write_and_wait("x")[1] is False
    assert net["b"].write_and_wait("y")[1] is True
    net["b"].has_valid_lease = False
    assert net["c"].write_and_wait("y")[1] is False
    assert net["b"].counts["no valid lease"]


def test_a_one_way_partition_makes_writes_of_the_unheard_side_uncertain():
    net = SimulatedNetwork()
    net.cut("a", "bc", both=False)  # b and c don't hear a
    assert net["a"].write_and_wait("x") == ((), False)
    assert net["b"].write_and_wait("x") == ((), True)
    net.cuts.clear()
    net.run(8)
    assert net.equal("abc")


def test_copies_converge_though_messages_are_lost_duplicated_delayed_and_reordered():
    for seed in range(5):
        net = SimulatedNetwork("abcde", seed=seed, loss=0.2, duplication=0.3, delay_share=0.2)
        for turn in range(60):
            agent = net["abcde"[turn % 5]]
            _, attempt = agent.write(turn % 11, lasts=9.0)
            net.run(0.03)
            agent.replica.update(f"s/{turn % 11}", advance(attempt, certainty=Certainty.ANSWERED))
            agent.replica.count_usage("t", 1, 1)
        net.run(4)
        net.loss = 0
        net.run(3)
        assert net.equal("abcde")
        use = net[owners(net.ring, b"u/t", 3)[0]].replica.all_records()["u/t"]
        assert use.total_served(1) == 60


# Refinements, hints


def test_an_update_reaches_an_owner_that_was_away_as_a_hint():
    net = SimulatedNetwork()
    ticket, attempt = net["a"].write("x", lasts=10.0)
    net.cut("c", "ab")
    net.run(0.1)
    net["a"].replica.update("s/x", advance(attempt, certainty=Certainty.ANSWERED))
    net.run(3)
    assert net["a"].replica.metrics()["hints"] == 1
    net.cuts.clear()
    net.run(5.5)
    assert net["a"].replica.metrics()["hints"] == 0
    assert net["c"].replica.all_records()["s/x"].attempts[attempt.attempt_id].certainty == Certainty.ANSWERED


def test_a_full_hint_store_drops_the_oldest_and_logs_it_once():
    net = SimulatedNetwork(most_hints=20)
    net.cut("c", "ab")
    for sid in range(50):
        net["a"].write(sid, lasts=9.0)
        net.run(0.02)
    net.run(1)
    assert net["a"].replica.metrics()["hints"] == 20 and net["a"].counts["hints dropped"] == 30
    assert net["a"].events.count("hints full") == 1
    net.cuts.clear()
    net.run(4)  # what was dropped is made good by comparing
    assert len(net["c"].replica.all_records()) == 50 and net.equal("abc")


def test_a_full_store_drops_expired_records_first_and_then_makes_writes_uncertain():
    net = SimulatedNetwork(most_records=10)
    for sid in range(10):
        net["a"].write(sid, lasts=2.0)
    assert net["b"].write_and_wait("x")[1] is False
    assert net["a"].counts["records full"]
    net.run(2)
    assert net["b"].write_and_wait("x")[1] is True
    net = SimulatedNetwork(most_marks_a_session=3)
    assert [net["a"].write_and_wait("x")[1] for _ in range(5)] == [True, True, True, False, False]


def test_pending_operations_are_bounded():
    net = SimulatedNetwork(most_waiting=5)
    net.cut("a", "bc")
    tickets = [net["a"].write(sid, 1.0)[0] for sid in range(8)]
    assert [ticket in net["a"].answers for ticket in tickets] == [False] * 5 + [True] * 3


# Restart and catch-up


def test_a_restarted_owner_gives_no_certain_answer_until_it_has_caught_up():
    net = SimulatedNetwork()
    net.cut("c", "ab")
    assert net["a"].write_and_wait("x", lasts=9.0)[1]
    net.cuts.clear()
    net.cut("a", "bc")
    net.start("b")  # of the two that wrote it, one has forgotten and one is cut off
    net.run(1.5)
    assert net["c"].write_and_wait("x")[1] is False
    assert not net["b"].replica.has_caught_up("s/x")
    net.cuts.clear()
    net.run(6)
    assert net["b"].replica.has_caught_up("s/x")
    seen, sure = net["c"].write_and_wait("x")
    assert sure and "a/1/1" in seen


def test_a_restarted_owner_without_sources_counts_again_when_all_attempts_have_expired():
    net = SimulatedNetwork()
    net["a"].kill()
    net.start("b")
    net.run(9)
    assert net["c"].write_and_wait("x")[1] is False
    net.run(5)
    assert net["c"].write_and_wait("x")[1] is True


def test_new_owners_catch_up_with_attempts_before_they_answer():
    net = SimulatedNetwork("abcd")
    net.agents["e"] = SimulatedAgent(net, "e", net.settings)
    net.announce_ring("e")
    net.run(1)
    marks = {sid: net["a"].write(sid, lasts=9.0)[1].attempt_id for sid in range(80)}
    net.run(0.5)
    net.cut("e", "abcd")
    net.change_ring(ring(2, *"abcde"))
    sid = net.find_session("e", "abc")
    assert not net["e"].replica.has_caught_up(f"s/{sid}")
    net.run(1)
    assert not net["e"].replica.has_caught_up(f"s/{sid}")
    net.cuts.clear()
    net.run(4)
    assert net["e"].replica.catch_up.is_complete(net["e"].now)
    for sid in range(80):
        if "e" in owners(net.ring, f"s/{sid}".encode(), 3):
            assert marks[sid] in net["e"].replica.all_records()[f"s/{sid}"].attempts
    assert net["e"].write_and_wait(sid, wait=0.05) == ((marks[sid],), True)
    net.change_ring(ring(3, *"cde"))  # two leave at once: of each key one or two owners are new
    tickets = {sid: net["cde"[sid % 3]].write(sid, wait=0.2)[0] for sid in range(1, 80, 9)}
    net.run(0.5)
    for sid, ticket in tickets.items():
        seen, sure, _ = net["cde"[sid % 3]].answers[ticket]
        assert marks[sid] in seen and sure


def test_hints_go_to_the_new_owners():
    net = SimulatedNetwork("abcdef")
    sid = net.find_session("a", no="ef")
    net.cut("a", "bcdef")
    net["a"].write(sid, lasts=9.0)
    net.run(1)
    net.change_ring(ring(2, *"aef"), "a", "e", "f")
    net.cuts.clear()
    net.run(4)
    assert f"s/{sid}" in net["e"].replica.all_records() and f"s/{sid}" in net["f"].replica.all_records()


def test_read_repair_fetches_one_key_before_its_range_has_been_caught_up_with():
    net = SimulatedNetwork("abcd")
    sid = net.find_session("abc")
    _, attempt = net["a"].write(sid, lasts=9.0)
    net.run(0.3)
    net.unplaced = [net[name].replica for name in "d"]
    for each in net.unplaced:
        each.anti_entropy.begin_session = lambda peer: None
    net.change_ring(ring(2, *"bcd"))
    net.run(0.005)
    net["c"].kill()
    answer = net["d"].write_and_wait(sid, wait=0.1)  # by d, which asked a and b, and by b
    assert answer == ((attempt.attempt_id,), True)
    assert not net["d"].replica.catch_up.is_complete(net["d"].now)


def test_an_agent_paused_through_a_ring_change_is_rejected_and_learns_of_the_newer_epoch():
    net = SimulatedNetwork("abcd")
    sid = net.find_session("abc")
    net["a"].stopped = True
    net["a"].write(sid, lasts=9.0)
    net.change_ring(ring(2, *"bcd"), *"bcd")
    net.run(3)
    late = net["b"].counts["dropped old epoch"]
    net["a"].resume()
    net["a"].replica.write(99, f"s/{sid}", net["a"].new_attempt(), net["a"].now + 0.2)
    net.run(0.5)
    assert net["a"].answers[99][1] is False
    assert net["b"].counts["dropped old epoch"] > late and net["a"].replica.newest_epoch == 2


def test_in_a_larger_fleet_former_owners_hand_off_records_unasked(monkeypatch):
    monkeypatch.setattr(ring_view, "MAX_CATCH_UP_SOURCES", 32)
    names = [f"n{number:02}" for number in range(40)]
    net = SimulatedNetwork(names)
    for sid in range(60):
        net[names[sid % 40]].write(sid, lasts=9.0)
    net.run(1)
    gone = names[7]
    net[gone].kill()
    net.change_ring(ring(2, *(name for name in names if name != gone)))
    net.run(1.5)
    for sid in range(60):
        for name in owners(net.ring, f"s/{sid}".encode(), 3):
            assert f"s/{sid}" in net[name].replica.all_records()
    assert all(net[names[sid % 7]].write_and_wait(sid, wait=0.1)[1] for sid in range(0, 60, 5))


# Comparing


def test_anti_entropy_makes_the_halves_of_a_healed_partition_equal():
    net = SimulatedNetwork("abcdef", most_hints=1)  # so that comparing does it
    net.cut("abc", "def")
    for turn in range(200):
        net["abcdef"[turn % 6]].write(turn % 40, 0.05, lasts=10.0)
        net.run(0.01)
    net.run(1)
    assert not net.equal("abcdef")
    net.cuts.clear()
    net.run(5)
    assert net.equal("abcdef")
    held = [net[name].replica.all_records() for name in owners(net.ring, b"s/3", 3)]
    assert held[0]["s/3"].attempts and digest(held[0]["s/3"]) == digest(held[1]["s/3"]) == digest(
        held[2]["s/3"]
    )


def test_anti_entropy_traffic_grows_with_the_differences_not_with_the_records():
    def traffic(stored, differ):
        net = SimulatedNetwork("abc", longest_mark_s=60.0)
        for sid in range(stored):
            attempt = net["a"].new_attempt(lasts=55.0)
            for name in "abc":
                net[name].replica.store.merge(f"s/{sid}", Session({attempt.attempt_id: attempt}))
        for sid in range(differ):
            attempt = net["a"].new_attempt(lasts=55.0)
            net["a"].replica.store.merge(f"s/{sid}x", Session({attempt.attempt_id: attempt}))
        net.run(1)
        net.bytes = 0
        net.run(10)
        assert net.equal("abc")
        return net.bytes

    few, many, some = traffic(100, 0), traffic(2000, 0), traffic(2000, 50)
    assert many < 1.2 * few < 10_000 and some > many


# The form written


def test_records_migrate_in_the_background_and_when_read():
    net = SimulatedNetwork()
    for sid in range(500):
        net["a"].write(sid, lasts=10.0)
        net.run(0.002)
    net.run(0.3)
    assert net["b"].replica.migrated_version == 1
    before = net["b"].replica.owned_digest()
    net.change_ring(ring(2, *"abc", written=1, phase="move"))
    assert net["b"].replica.migrated_version == 1 and net["b"].replica.has_caught_up("s/x")
    net["c"].write_and_wait("7", wait=0.001)
    net.run(0.5)
    assert net["b"].replica.migrated_version == 2
    net.change_ring(ring(3, *"abc", written=1, phase="narrow"))
    net.run(1)
    assert net["b"].replica.migrated_version == 2 and net["c"].write_and_wait("7", wait=0.1)[1]
    copies = [net[name].replica.store.get("s/3") for name in "bc"]
    assert before != b"" and merge(*copies).attempts


def test_an_attempt_expires_by_the_slowest_clock():
    net = SimulatedNetwork()
    net["b"].skew = 0.4
    net["a"].write("x", lasts=2.0)
    net.run(2.0)
    assert "s/x" in net["b"].replica.all_records() and "s/x" in net["a"].replica.all_records()
    net.run(1.0)
    assert not any(net[name].replica.all_records() for name in "abc")
    net["c"].skew = 20.0
    assert net["c"].write_and_wait("x")[1] is False  # its marks would bind for too long: refused, and said
    assert "clock ahead" in net["a"].events


def test_shutdown_hands_off_what_others_lack():
    net = SimulatedNetwork()
    attempt = net["a"].new_attempt(lasts=9.0)
    net["a"].replica.store.merge("s/x", Session({attempt.attempt_id: attempt}))
    net["a"].replica.start_shutdown()
    assert not net["a"].replica.is_drained
    net.run(0.3)
    assert net["a"].replica.is_drained
    assert all("s/x" in net[name].replica.all_records() for name in "bc")


class FaultyNetwork(SimulatedNetwork):
    """One in which all fails. A ring is vouched for as by epochs.py: a lease from when it was the newest and
    most of its seats in reach. Without hints and comparing, which hide what the rules let through."""

    def __init__(self, seed):
        self.leased_until, self.known_epochs, self.log = Counter(), dict.fromkeys("abcdef", 1), []
        super().__init__("abcdef", seed, 0.12, 0.1, 0.05, most_hints=1, longest_mark_s=6.0, lease_s=0.6)
        self.rings, self.fault_random = {1: self.ring}, seeded_random(seed, "chaos")
        self.renew_leases()

    def reach(self, a, b):
        return a == b or not (any(self[each].stopped for each in (a, b)) or {(a, b), (b, a)} & self.cuts)

    def renew_leases(self):
        for name, agent in self.agents.items():
            agent.replica.view.has_valid_lease = lambda name=name: self.clock.now <= self.leased_until[name]
            agent.replica.anti_entropy.next_comparison_at = 1e9
            near = not agent.stopped and sum(self.reach(name, other) for other in self.ring.names)
            if self.known_epochs[name] == self.ring.epoch and 2 * near > len(self.ring.members):
                self.leased_until[name] = self.clock.now + 0.6
            elif near > 1 and self.fault_random.random() < 0.1:
                self.learn(name, self.ring.epoch)
        self.clock.after(0.05, self.renew_leases)

    def learn(self, name, epoch):
        self.known_epochs[name] = epoch
        self[name].replica.on_ring_changed(self.rings[epoch], self.rings.get(epoch - 1), self[name].now)

    def step(self):
        random, names, epoch = self.fault_random, "abcdef", self.ring.epoch
        name = random.choice(names)
        what = random.choice(["stop", "start", "cut", "ring", "go on", "go on", "heal", "heal"] + 12 * [""])
        agent, near = self[name], [each for each in self.ring.names if self.reach(name, each)]
        if what in ("stop", "go on") and agent.stopped is (what == "go on"):
            if agent.stopped:
                agent.resume()
            else:
                agent.stopped = sum(each.stopped for each in self.agents.values()) < 2
        elif what == "start":
            agent.kill()
            agent.start()
            self.leased_until[name] = 0
            self.learn(name, max(1, epoch - (random.random() < 0.3)))
        elif what == "cut":
            side = [each for each in names if random.random() < 0.4]
            self.cut(side, set(names) - set(side), random.random() < 0.5)
        elif what == "ring" and self.known_epochs[name] == epoch and 2 * len(near) > len(self.ring.members):
            seats = {*self.ring.names, random.choice(names)} - {random.choice(names)} or set(names)
            self.ring = self.rings[epoch + 1] = ring(epoch + 1, *seats)
            for each in near:
                self.learn(each, epoch + 1)
        elif what == "heal":
            self.cuts.clear()
        for _ in range(random.randrange(8)):
            agent, sid = self[random.choice(names)], random.randrange(6)
            if not agent.stopped:
                ticket, attempt = agent.write(sid, random.uniform(0.02, 0.5), lasts=random.uniform(1, 5.9))
                self.log.append((sid, attempt, self.clock.now, agent.answers, ticket))
        self.run(random.uniform(0.02, 0.4))


def test_of_two_certain_writes_the_later_sees_the_earlier_under_random_faults():
    total = 0
    for seed in range(6):
        net = FaultyNetwork(seed)
        for _ in range(80):
            net.step()
        sure = [
            (sid, attempt, begun, *answers[ticket])
            for sid, attempt, begun, answers, ticket in net.log
            if answers.get(ticket, (0, 0))[1]
        ]
        total += len(sure)
        for sid, attempt, begun, seen, _, ended in sure:
            for other, older, was_begun, found, _, was_ended in sure:
                binds = sid == other and attempt is not older and 1e9 + ended * 1e3 < older.expires_ms
                if binds and was_begun <= begun and older.attempt_id not in seen:
                    assert begun < was_ended and (
                        attempt.attempt_id in found or 1e9 + was_ended * 1e3 > attempt.expires_ms
                    )
    assert total > 500
