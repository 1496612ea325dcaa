"""Replicas over a small simulated network, with a seeded random source and a simulated clock."""

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
    """A replica and its node context; its process can be paused, killed and restarted with an empty store."""

    def __init__(self, net, name, fleet_settings):
        self.net, self.name, self.address, self.settings = net, name, name + ":1", fleet_settings
        self.incarnations, self.counts, self.events, self.clock_skew_s = 0, Counter(), [], 0.0
        self.start()

    def start(self):
        self.incarnations += 1
        self.incarnation, self.random = (
            self.incarnations,
            seeded_random(self.net.seed, f"{self.name}/{self.incarnations}"),
        )
        self.answers, self.attempt_count, self.undelivered_messages = {}, 0, []
        self.is_stopped, self.is_dead, self.has_valid_lease = False, False, True
        self.replica = Replica(self, self.settings, self.on_done, lambda: self.has_valid_lease)
        self.tick(self.replica)

    now = property(lambda self: self.net.clock.now + 100)
    wall = property(lambda self: self.net.clock.now + 1_000_000 + self.clock_skew_s)

    def log_event(self, event):
        self.events.append(event.MESSAGE)

    def increment(self, counter, by=1):
        self.counts[counter] += by

    def send(self, to, message):
        self.net.transmit(self.name, to, message)

    def on_done(self, ticket, attempts, certain):
        assert ticket not in self.answers, "answered twice"
        self.answers[ticket] = (
            tuple(attempt.attempt_id for attempt in attempts),
            certain,
            self.net.clock.now,
        )

    def tick(self, replica):
        if replica is self.replica and not self.is_dead:
            if not self.is_stopped:
                self.replica.tick()
            self.net.clock.after(0.09 + 0.02 * self.random.random(), self.tick, replica)

    def receive(self, sender, message):
        if self.is_stopped:
            self.undelivered_messages.append((sender, message))
        elif not self.is_dead:
            self.replica.on_message(sender, message)

    def kill(self):
        self.is_dead = True

    def resume(self):
        self.is_stopped, undelivered_messages, self.undelivered_messages = (
            False,
            self.undelivered_messages,
            [],
        )
        for each in undelivered_messages:
            self.receive(*each)

    def new_attempt(self, lifetime_s=5.0, **fields):
        self.attempt_count += 1
        now = int(self.wall * 1e3)
        return AttemptRecord(
            f"{self.name}/{self.incarnation}/{self.attempt_count}",
            "GET /",
            "u",
            "all",
            0,
            sent_ms=now,
            expires_ms=now + int(lifetime_s * 1e3),
            **fields,
        )

    def write(self, session_id, timeout_s=0.2, **fields):
        attempt = self.new_attempt(**fields)
        ticket = self.attempt_count
        self.replica.write(ticket, f"s/{session_id}", attempt, self.now + timeout_s)
        return ticket, attempt

    def write_and_wait(self, session_id, timeout_s=0.2, **fields):
        """A write that is run to its end: the ids of the earlier attempts, and whether they are certain."""
        ticket, _ = self.write(session_id, timeout_s, **fields)
        self.net.run(timeout_s + 0.3)
        return self.answers[ticket][:2]

    def read_and_wait(self, session_id, timeout_s=0.2):
        self.attempt_count += 1
        ticket = self.attempt_count
        self.replica.read(ticket, f"s/{session_id}", self.now + timeout_s)
        self.net.run(timeout_s + 0.3)
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
        self.cut_links, self.sent, self.bytes = set(), Counter(), 0
        self.settings = msgspec.structs.replace(SETTINGS, **fleet_settings)
        self.agents = {name: SimulatedAgent(self, name, self.settings) for name in names}
        self.ring, self.former = ring(epoch, *names), former
        self.announce_ring()
        self.run(0.5)

    def __getitem__(self, name):
        return self.agents[name]

    def announce_ring(self, *names):
        for name in names or self.agents:
            if not self[name].is_dead:
                self[name].replica.on_ring_changed(self.ring, self.former, self[name].now)

    def change_ring(self, new, *names):
        """Replaces the ring and announces it to these agents, or to all."""
        self.former, self.ring = self.ring, new
        self.announce_ring(*names)

    def start(self, name):
        """Starts an agent, new or again, with an empty store and the present ring."""
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
        if (sender, to) not in self.cut_links:
            self[to].receive(sender, message)

    def cut(self, senders, receivers, both_ways=True):
        self.cut_links |= {(a, b) for a in senders for b in receivers}
        if both_ways:
            self.cut(receivers, senders, False)

    def run(self, seconds):
        self.clock.run(self.clock.now + seconds)

    def are_equal(self, names):
        pairs = [(self[a].replica, self[b].replica, a, b) for a in names for b in names if a < b]
        return all(a.owned_digest(y) == b.owned_digest(x) for a, b, x, y in pairs)

    def find_session(self, included=(), formerly_included=(), excluded=()):
        """A session whose owners by the present ring, and by the former, include or exclude these agents."""
        for session_id in range(10_000):
            present_owners = owners(self.ring, f"s/{session_id}".encode(), 3)
            former_owners = owners(self.former, f"s/{session_id}".encode(), 3) if formerly_included else ()
            if (
                set(included) <= set(present_owners)
                and set(formerly_included) <= set(former_owners)
                and not set(excluded) & set(present_owners)
            ):
                return session_id
        raise LookupError


# Writes


def test_a_write_takes_one_round_trip_and_returns_earlier_attempts():
    net = SimulatedNetwork()
    ticket, attempt = net["a"].write("x")
    net.run(0.01)
    assert net["a"].answers[ticket][:2] == ((), True)
    assert net["b"].write_and_wait("x") == ((attempt.attempt_id,), True)
    assert net["c"].read_and_wait("x")[1]
    assert net["c"].read_and_wait("other") == ((), True)


def test_of_two_concurrent_writes_at_least_one_sees_the_other():
    for seed in range(40):
        net = SimulatedNetwork("abcde", seed=seed, loss=0.05, duplication=0.1)
        (ticket, attempt), (other_ticket, other_attempt) = net["a"].write("x"), net["b"].write("x")
        net.run(0.6)
        (earlier, certain), (other_earlier, other_certain) = (
            net["a"].answers[ticket][:2],
            net["b"].answers[other_ticket][:2],
        )
        assert (
            not (certain and other_certain)
            or other_attempt.attempt_id in earlier
            or attempt.attempt_id in other_earlier
        )


def test_with_all_owners_down_a_write_is_uncertain_at_its_deadline():
    net = SimulatedNetwork("abcde")
    session_id = net.find_session(excluded="ab")
    assert net["a"].write_and_wait(session_id)[1]
    for name in "cde":
        net[name].kill()
    ticket, _ = net["b"].write(session_id, 0.2)
    started_at = net.clock.now
    net.run(0.5)
    assert net["b"].answers[ticket][:2] == ((), False)
    assert 0.2 <= net["b"].answers[ticket][2] - started_at <= 0.32


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
    net.cut("a", "bc", both_ways=False)  # messages of a don't reach b and c
    assert net["a"].write_and_wait("x") == ((), False)
    assert net["b"].write_and_wait("x") == ((), True)
    net.cut_links.clear()
    net.run(8)
    assert net.are_equal("abc")


def test_copies_converge_though_messages_are_lost_duplicated_delayed_and_reordered():
    for seed in range(5):
        net = SimulatedNetwork("abcde", seed=seed, loss=0.2, duplication=0.3, delay_share=0.2)
        for turn in range(60):
            agent = net["abcde"[turn % 5]]
            _, attempt = agent.write(turn % 11, lifetime_s=9.0)
            net.run(0.03)
            agent.replica.update(f"s/{turn % 11}", advance(attempt, certainty=Certainty.ANSWERED))
            agent.replica.count_usage("t", 1, 1)
        net.run(4)
        net.loss = 0
        net.run(3)
        assert net.are_equal("abcde")
        usage = net[owners(net.ring, b"u/t", 3)[0]].replica.all_records()["u/t"]
        assert usage.total_served(1) == 60


# Updates and hints


def test_an_update_reaches_an_owner_that_was_away_as_a_hint():
    net = SimulatedNetwork()
    ticket, attempt = net["a"].write("x", lifetime_s=10.0)
    net.cut("c", "ab")
    net.run(0.1)
    net["a"].replica.update("s/x", advance(attempt, certainty=Certainty.ANSWERED))
    net.run(3)
    assert net["a"].replica.metrics()["hints"] == 1
    net.cut_links.clear()
    net.run(5.5)
    assert net["a"].replica.metrics()["hints"] == 0
    assert net["c"].replica.all_records()["s/x"].attempts[attempt.attempt_id].certainty == Certainty.ANSWERED


def test_a_full_hint_store_drops_the_oldest_and_logs_it_once():
    net = SimulatedNetwork(most_hints=20)
    net.cut("c", "ab")
    for session_id in range(50):
        net["a"].write(session_id, lifetime_s=9.0)
        net.run(0.02)
    net.run(1)
    assert net["a"].replica.metrics()["hints"] == 20 and net["a"].counts["hints dropped"] == 30
    assert net["a"].events.count("hints full") == 1
    net.cut_links.clear()
    net.run(4)  # anti-entropy replaces the dropped hints
    assert len(net["c"].replica.all_records()) == 50 and net.are_equal("abc")


def test_a_full_store_drops_expired_records_first_and_then_makes_writes_uncertain():
    net = SimulatedNetwork(most_records=10)
    for session_id in range(10):
        net["a"].write(session_id, lifetime_s=2.0)
    assert net["b"].write_and_wait("x")[1] is False
    assert net["a"].counts["records full"]
    net.run(2)
    assert net["b"].write_and_wait("x")[1] is True
    net = SimulatedNetwork(most_marks_a_session=3)
    assert [net["a"].write_and_wait("x")[1] for _ in range(5)] == [True, True, True, False, False]


def test_pending_operations_are_bounded():
    net = SimulatedNetwork(most_waiting=5)
    net.cut("a", "bc")
    tickets = [net["a"].write(session_id, 1.0)[0] for session_id in range(8)]
    assert [ticket in net["a"].answers for ticket in tickets] == [False] * 5 + [True] * 3


# Restart and catch-up


def test_a_restarted_owner_gives_no_certain_answer_until_it_has_caught_up():
    net = SimulatedNetwork()
    net.cut("c", "ab")
    assert net["a"].write_and_wait("x", lifetime_s=9.0)[1]
    net.cut_links.clear()
    net.cut("a", "bc")
    net.start("b")  # of the two owners that stored x, b has lost it and a is cut off
    net.run(1.5)
    assert net["c"].write_and_wait("x")[1] is False
    assert not net["b"].replica.has_caught_up("s/x")
    net.cut_links.clear()
    net.run(6)
    assert net["b"].replica.has_caught_up("s/x")
    earlier, certain = net["c"].write_and_wait("x")
    assert certain and "a/1/1" in earlier


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
    attempt_ids = {
        session_id: net["a"].write(session_id, lifetime_s=9.0)[1].attempt_id for session_id in range(80)
    }
    net.run(0.5)
    net.cut("e", "abcd")
    net.change_ring(ring(2, *"abcde"))
    session_id = net.find_session("e", "abc")
    assert not net["e"].replica.has_caught_up(f"s/{session_id}")
    net.run(1)
    assert not net["e"].replica.has_caught_up(f"s/{session_id}")
    net.cut_links.clear()
    net.run(4)
    assert net["e"].replica.catch_up.is_complete(net["e"].now)
    for session_id in range(80):
        if "e" in owners(net.ring, f"s/{session_id}".encode(), 3):
            assert attempt_ids[session_id] in net["e"].replica.all_records()[f"s/{session_id}"].attempts
    assert net["e"].write_and_wait(session_id, timeout_s=0.05) == ((attempt_ids[session_id],), True)
    net.change_ring(ring(3, *"cde"))  # two leave at once: each of their keys has one or two new owners
    tickets = {
        session_id: net["cde"[session_id % 3]].write(session_id, timeout_s=0.2)[0]
        for session_id in range(1, 80, 9)
    }
    net.run(0.5)
    for session_id, ticket in tickets.items():
        earlier, certain, _ = net["cde"[session_id % 3]].answers[ticket]
        assert attempt_ids[session_id] in earlier and certain


def test_hints_go_to_the_new_owners():
    net = SimulatedNetwork("abcdef")
    session_id = net.find_session("a", excluded="ef")
    net.cut("a", "bcdef")
    net["a"].write(session_id, lifetime_s=9.0)
    net.run(1)
    net.change_ring(ring(2, *"aef"), "a", "e", "f")
    net.cut_links.clear()
    net.run(4)
    assert (
        f"s/{session_id}" in net["e"].replica.all_records()
        and f"s/{session_id}" in net["f"].replica.all_records()
    )


def test_read_repair_fetches_one_key_before_its_range_has_been_caught_up_with():
    net = SimulatedNetwork("abcd")
    session_id = net.find_session("abc")
    _, attempt = net["a"].write(session_id, lifetime_s=9.0)
    net.run(0.3)
    net.new_owners = [net[name].replica for name in "d"]
    for each in net.new_owners:
        each.anti_entropy.begin_session = lambda peer: None
    net.change_ring(ring(2, *"bcd"))
    net.run(0.005)
    net["c"].kill()
    answer = net["d"].write_and_wait(
        session_id, timeout_s=0.1
    )  # answered by b, and by d after a read repair from a and b
    assert answer == ((attempt.attempt_id,), True)
    assert not net["d"].replica.catch_up.is_complete(net["d"].now)


def test_an_agent_paused_through_a_ring_change_is_rejected_and_learns_of_the_newer_epoch():
    net = SimulatedNetwork("abcd")
    session_id = net.find_session("abc")
    net["a"].is_stopped = True
    net["a"].write(session_id, lifetime_s=9.0)
    net.change_ring(ring(2, *"bcd"), *"bcd")
    net.run(3)
    drop_count = net["b"].counts["dropped old epoch"]
    net["a"].resume()
    net["a"].replica.write(99, f"s/{session_id}", net["a"].new_attempt(), net["a"].now + 0.2)
    net.run(0.5)
    assert net["a"].answers[99][1] is False
    assert net["b"].counts["dropped old epoch"] > drop_count and net["a"].replica.newest_epoch == 2


def test_in_a_larger_fleet_former_owners_hand_off_records_unasked(monkeypatch):
    monkeypatch.setattr(ring_view, "MAX_CATCH_UP_SOURCES", 32)
    names = [f"n{number:02}" for number in range(40)]
    net = SimulatedNetwork(names)
    for session_id in range(60):
        net[names[session_id % 40]].write(session_id, lifetime_s=9.0)
    net.run(1)
    removed = names[7]
    net[removed].kill()
    net.change_ring(ring(2, *(name for name in names if name != removed)))
    net.run(1.5)
    for session_id in range(60):
        for name in owners(net.ring, f"s/{session_id}".encode(), 3):
            assert f"s/{session_id}" in net[name].replica.all_records()
    assert all(
        net[names[session_id % 7]].write_and_wait(session_id, timeout_s=0.1)[1]
        for session_id in range(0, 60, 5)
    )


# Anti-entropy


def test_anti_entropy_makes_the_halves_of_a_healed_partition_equal():
    net = SimulatedNetwork("abcdef", most_hints=1)  # so that anti-entropy has to do it
    net.cut("abc", "def")
    for turn in range(200):
        net["abcdef"[turn % 6]].write(turn % 40, 0.05, lifetime_s=10.0)
        net.run(0.01)
    net.run(1)
    assert not net.are_equal("abcdef")
    net.cut_links.clear()
    net.run(5)
    assert net.are_equal("abcdef")
    copies = [net[name].replica.all_records() for name in owners(net.ring, b"s/3", 3)]
    assert copies[0]["s/3"].attempts and digest(copies[0]["s/3"]) == digest(copies[1]["s/3"]) == digest(
        copies[2]["s/3"]
    )


def test_anti_entropy_traffic_grows_with_the_differences_not_with_the_records():
    def traffic(record_count, difference_count):
        net = SimulatedNetwork("abc", longest_mark_s=60.0)
        for session_id in range(record_count):
            attempt = net["a"].new_attempt(lifetime_s=55.0)
            for name in "abc":
                net[name].replica.store.merge(f"s/{session_id}", Session({attempt.attempt_id: attempt}))
        for session_id in range(difference_count):
            attempt = net["a"].new_attempt(lifetime_s=55.0)
            net["a"].replica.store.merge(f"s/{session_id}x", Session({attempt.attempt_id: attempt}))
        net.run(1)
        net.bytes = 0
        net.run(10)
        assert net.are_equal("abc")
        return net.bytes

    with_few_records, with_many_records, with_differences = (
        traffic(100, 0),
        traffic(2000, 0),
        traffic(2000, 50),
    )
    assert with_many_records < 1.2 * with_few_records < 10_000 and with_differences > with_many_records


# Schema migration, expiry and shutdown


def test_records_migrate_in_the_background_and_when_read():
    net = SimulatedNetwork()
    for session_id in range(500):
        net["a"].write(session_id, lifetime_s=10.0)
        net.run(0.002)
    net.run(0.3)
    assert net["b"].replica.migrated_version == 1
    before = net["b"].replica.owned_digest()
    net.change_ring(ring(2, *"abc", written=1, phase="move"))
    assert net["b"].replica.migrated_version == 1 and net["b"].replica.has_caught_up("s/x")
    net["c"].write_and_wait("7", timeout_s=0.001)
    net.run(0.5)
    assert net["b"].replica.migrated_version == 2
    net.change_ring(ring(3, *"abc", written=1, phase="narrow"))
    net.run(1)
    assert net["b"].replica.migrated_version == 2 and net["c"].write_and_wait("7", timeout_s=0.1)[1]
    copies = [net[name].replica.store.get("s/3") for name in "bc"]
    assert before != b"" and merge(*copies).attempts


def test_an_attempt_expires_by_the_slowest_clock():
    net = SimulatedNetwork()
    net["b"].clock_skew_s = 0.4
    net["a"].write("x", lifetime_s=2.0)
    net.run(2.0)
    assert "s/x" in net["b"].replica.all_records() and "s/x" in net["a"].replica.all_records()
    net.run(1.0)
    assert not any(net[name].replica.all_records() for name in "abc")
    net["c"].clock_skew_s = 20.0
    assert (
        net["c"].write_and_wait("x")[1] is False
    )  # its attempts would expire too late, so they are rejected and logged
    assert "clock ahead" in net["a"].events


def test_shutdown_hands_off_what_others_lack():
    net = SimulatedNetwork()
    attempt = net["a"].new_attempt(lifetime_s=9.0)
    net["a"].replica.store.merge("s/x", Session({attempt.attempt_id: attempt}))
    net["a"].replica.start_shutdown()
    assert not net["a"].replica.is_drained
    net.run(0.3)
    assert net["a"].replica.is_drained
    assert all("s/x" in net[name].replica.all_records() for name in "bc")


class FaultyNetwork(SimulatedNetwork):
    """A network with random loss, duplication, delay, pauses, restarts, partitions and ring changes.

    As in the ring consensus, an agent's lease is renewed while its ring is the newest and it can reach a
    majority of the members. Hints (but one) and comparisons are off, as they hide gaps in the catch-up rules.
    """

    def __init__(self, seed):
        self.lease_expires_at, self.known_epochs, self.writes = Counter(), dict.fromkeys("abcdef", 1), []
        super().__init__("abcdef", seed, 0.12, 0.1, 0.05, most_hints=1, longest_mark_s=6.0, lease_s=0.6)
        self.rings, self.fault_random = {1: self.ring}, seeded_random(seed, "chaos")
        self.renew_leases()

    def can_reach(self, a, b):
        return a == b or not (
            any(self[each].is_stopped for each in (a, b)) or {(a, b), (b, a)} & self.cut_links
        )

    def renew_leases(self):
        for name, agent in self.agents.items():
            agent.replica.view.has_valid_lease = (
                lambda name=name: self.clock.now <= self.lease_expires_at[name]
            )
            agent.replica.anti_entropy.next_comparison_at = 1e9
            reachable_count = not agent.is_stopped and sum(
                self.can_reach(name, other) for other in self.ring.names
            )
            if self.known_epochs[name] == self.ring.epoch and 2 * reachable_count > len(self.ring.members):
                self.lease_expires_at[name] = self.clock.now + 0.6
            elif reachable_count > 1 and self.fault_random.random() < 0.1:
                self.learn_ring(name, self.ring.epoch)
        self.clock.after(0.05, self.renew_leases)

    def learn_ring(self, name, epoch):
        self.known_epochs[name] = epoch
        self[name].replica.on_ring_changed(self.rings[epoch], self.rings.get(epoch - 1), self[name].now)

    def step(self):
        random, names, epoch = self.fault_random, "abcdef", self.ring.epoch
        name = random.choice(names)
        fault = random.choice(["stop", "start", "cut", "ring", "go on", "go on", "heal", "heal"] + 12 * [""])
        agent, reachable_members = (
            self[name],
            [each for each in self.ring.names if self.can_reach(name, each)],
        )
        if fault in ("stop", "go on") and agent.is_stopped is (fault == "go on"):
            if agent.is_stopped:
                agent.resume()
            else:
                agent.is_stopped = sum(each.is_stopped for each in self.agents.values()) < 2
        elif fault == "start":
            agent.kill()
            agent.start()
            self.lease_expires_at[name] = 0
            self.learn_ring(name, max(1, epoch - (random.random() < 0.3)))
        elif fault == "cut":
            one_side = [each for each in names if random.random() < 0.4]
            self.cut(one_side, set(names) - set(one_side), random.random() < 0.5)
        elif (
            fault == "ring"
            and self.known_epochs[name] == epoch
            and 2 * len(reachable_members) > len(self.ring.members)
        ):
            new_members = {*self.ring.names, random.choice(names)} - {random.choice(names)} or set(names)
            self.ring = self.rings[epoch + 1] = ring(epoch + 1, *new_members)
            for each in reachable_members:
                self.learn_ring(each, epoch + 1)
        elif fault == "heal":
            self.cut_links.clear()
        for _ in range(random.randrange(8)):
            agent, session_id = self[random.choice(names)], random.randrange(6)
            if not agent.is_stopped:
                ticket, attempt = agent.write(
                    session_id, random.uniform(0.02, 0.5), lifetime_s=random.uniform(1, 5.9)
                )
                self.writes.append((session_id, attempt, self.clock.now, agent.answers, ticket))
        self.run(random.uniform(0.02, 0.4))


def test_of_two_certain_writes_the_later_sees_the_earlier_under_random_faults():
    certain_count = 0
    for seed in range(6):
        net = FaultyNetwork(seed)
        for _ in range(80):
            net.step()
        certain_writes = [
            (session_id, attempt, started_at, *answers[ticket])
            for session_id, attempt, started_at, answers, ticket in net.writes
            if answers.get(ticket, (0, 0))[1]
        ]
        certain_count += len(certain_writes)
        for session_id, attempt, started_at, earlier, _, ended_at in certain_writes:
            for (
                other_session_id,
                other_attempt,
                other_started_at,
                other_earlier,
                _,
                other_ended_at,
            ) in certain_writes:
                is_binding = (
                    session_id == other_session_id
                    and attempt is not other_attempt
                    and 1e9 + ended_at * 1e3 < other_attempt.expires_ms
                )
                if is_binding and other_started_at <= started_at and other_attempt.attempt_id not in earlier:
                    assert started_at < other_ended_at and (
                        attempt.attempt_id in other_earlier or 1e9 + other_ended_at * 1e3 > attempt.expires_ms
                    )
    assert certain_count > 500
