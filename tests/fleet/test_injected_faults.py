"""Breakages, each planted into otherwise unbroken agents at test time: the judge has to find and name it, and
finds nothing in the same day without it. A day in which nothing can be found would be a blind one."""

import pytest

from cartdeal.fleet import pending_admissions
from cartdeal.fleet.consensus.ring_consensus import RingConsensus
from cartdeal.fleet.hybrid_clock import HybridClock
from cartdeal.fleet.idempotency import AdmissionDecision, AdmissionRequest
from cartdeal.fleet.node import Node
from cartdeal.fleet.quota import owner as lease_owner
from cartdeal.fleet.quota.holder import LeaseHolder
from cartdeal.fleet.quota.ownership import OwnershipHistory
from cartdeal.fleet.quota.tenant_quota import HeldLease
from cartdeal.fleet.replication import migration, quorum, record_codec, records
from cartdeal.fleet.replication.catch_up import ALL_RANGES, CatchUp
from cartdeal.fleet.replication.records import Session
from cartdeal.fleet.ring.placement import RendezvousHash, hash_number, owners
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings, RateLimit
from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet
from cartdeal.fleet.simulation.network import NetworkConditions

SHOP = AdmissionRequest(tenant="shop", workload="read")


def fleet(size, **terms):
    seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(size)}
    memory = InMemoryFleet(
        FleetSettings(
            fleet="f", name="", key=b"k" * 32, seeds=seeds, limits={"shop": RateLimit(100.0, 90.0)}, **terms
        ),
        1,
    )
    for each in range(size):
        memory.add(f"a{each}", zone=f"z{each % 3}")
    memory.run_until(memory.has_one_ring, 20.0)
    return memory.run(46.0)


def sheet(name, repeat="u", **more):
    return AdmissionRequest(
        **{
            "session": f"s{name}",
            "key": f"k{name}",
            "repeat": repeat,
            "limit_s": 20.0,
            "workload": "sheet",
            **more,
        }
    )


def ask_shop(memory, seconds, agents=None, rate=250):
    names = agents or list(memory.hosts)
    for turn in range(int(rate * seconds)):
        memory.submit(SHOP, [names[turn % len(names)]])
        memory.run(1 / rate)


# Days


def restarts(memory):
    for _ in range(2):
        for turn in range(5):
            memory.submit(sheet(f"{memory.hosts['a0'].start_count}/{turn}"), ["a0"])
            memory.run(0.2)
        memory.kill("a0")
        memory.start("a0")
        memory.run(15.0)


def cut_in_two(memory):
    ask_shop(memory, 2.0)
    names = list(memory.hosts)
    memory.cut(names[:2], names[2:])
    ask_shop(memory, 32.0)


def owner_restarts(memory):
    """An owner comes back from nothing, again and again, while one that doesn't hear of it uses its loan."""
    for _ in range(8):
        ask_shop(memory, 1.5, ["a1", "a2"])
        memory.cut(["a0"], ["a1"])
        memory.kill("a0")
        memory.start("a0")
        ask_shop(memory, 2.0, ["a1", "a2"])
        memory.heal()


def copies_lost(memory):
    """All owners of a sheet's session come back from nothing, and its client comes again."""
    ring = memory.nodes()["a0"].ring
    name = next(n for n in range(99) if "a0" not in owners(ring, f"s/s{n}".encode(), 3))
    memory.submit(sheet(name), ["a0", "a1", "a2"], 3, work_s=9.0, patience_s=20.0)
    memory.run(0.5)
    for each in owners(ring, f"s/s{name}".encode(), 3):
        memory.kill(each)
        memory.start(each)
    memory.run(6.0)
    memory.kill("a0")
    memory.run(2.0)


def cut_off_sheets(memory):
    names = list(memory.hosts)
    memory.cut(names[:1], names[1:])
    for turn in range(10):
        memory.submit(sheet(turn), names[:1])
        memory.run(0.1)


def bad_weather(memory):
    memory.conditions = NetworkConditions(duplication_rate=0.5, jitter_s=0.02, late_rate=0.1, max_late_s=1.0)
    ask_shop(memory, 10.0)


def comes_late(memory):
    memory.submit(sheet(0), ["a0", "a1"], 2, work_s=30.0, patience_s=12.0)
    memory.run(14.0)


def in_doubt(memory):
    """A client comes again at an agent that can ask nobody."""
    memory.submit(sheet(0), ["a0", "a1"], 2, work_s=9.0, patience_s=9.0)
    memory.run(0.3)
    memory.cut(["a1"], ["a0", "a2"])
    memory.kill("a0")
    memory.run(1.0)


def another_zone(memory):
    memory.submit(sheet(0, "d", group="zone", window_s=9.0), ["a0", "a1"], 2, work_s=9.0, patience_s=1.0)
    memory.run(2.0)


def gossip(memory):
    """Sheets of few sessions are answered while messages come in any order."""
    memory.conditions = NetworkConditions(duplication_rate=0.3, jitter_s=0.2, late_rate=0.2, max_late_s=2.0)
    for turn in range(120):
        memory.submit(sheet(turn, session=f"s{turn % 10}"), [f"a{turn % 3}"])
        memory.run(0.1)
    memory.conditions = NetworkConditions()
    memory.run(6.0)
    memory.count_lost_records()


def newer_field(memory):
    """A newer program writes a field, dies, and gets its record back from older ones."""
    memory.submit(sheet(0), ["a0"])
    memory.run(1.0)
    store = memory.nodes()["a0"].replica.store
    store.merge("s/s0", Session(store.get("s/s0").attempts, {"new": [7]}))
    before = store.records["s/s0"].digest
    memory.run(5.0)
    memory.kill("a0")
    memory.start("a0")
    memory.run(8.0)
    after = memory.nodes()["a0"].replica.store.records["s/s0"].digest
    memory.checker.check_equal({"before": before, "after": after}, "a session with a newer field")


def comes_and_goes(memory):
    memory.add("a9", zone="z0")
    memory.run(20.0)


def half_new(memory):
    for name in list(memory.hosts)[:2]:
        memory.kill(name)
        memory.start(name, reads=(1, 2))
    memory.run(20.0)


def clock_ahead(memory):
    """One that goes by a clock 40 s ahead, whatever it hears, joins while a sheet is on its way."""

    def stubborn(*args):
        made = Node(*args)
        made.fleet_clock.observe = lambda *_: True
        return made

    memory.node_factories["a9"] = stubborn
    memory.submit(sheet(0), ["a0", "a1"], 2, work_s=30.0, patience_s=30.0)
    memory.run(0.3)
    memory.add("a9", zone="z1", start=False).wall_offset_s = 40.0
    memory.start("a9")
    memory.run(6.0)
    memory.kill("a0")
    memory.run(1.0)


# Breakages


def last_to_arrive(plant):
    plant(records, "merge", lambda a, b: b)


def number_again(plant):
    def init(self, fleet_settings, seed, now, wall):
        before(self, fleet_settings, "the same", now, 1_700_000_000.0)
        self.fleet_clock.offset_s = wall - now

    before = Node.__init__
    plant(Node, "__init__", init)


def lease_without_end(plant):
    before = HeldLease.__init__
    plant(
        HeldLease,
        "__init__",
        lambda self, incarnation, response, requested_at, expires_at: before(
            self, incarnation, response, requested_at, 1e9
        ),
    )


def no_fence(plant):
    plant(
        lease_owner,
        "OwnershipHistory",
        lambda start, fence_s, share_in: OwnershipHistory(start, 0.0, share_in),
    )


def minority(plant):
    plant(Ring, "majority", property(lambda ring: max(1, len(ring.members) // 2)))


def no_vouching(plant):
    plant(RingConsensus, "has_valid_lease", lambda self: self.ring is not None)


def field_dropped(plant):
    def decode(*args):
        record = before(*args)
        record.unknown_fields = {}
        return record

    before = record_codec.decode
    plant(record_codec, "decode", decode)


def answers_too_early(plant):
    plant(CatchUp, "has_caught_up", lambda *_: True)
    plant(CatchUp, "complete_ranges", lambda *_: ALL_RANGES)


def forgets_early(plant):
    before = records.without_expired
    plant(records, "without_expired", lambda record, wall, slack: before(record, wall + 20_000, slack))


def taken_twice(plant):
    def on_response(self, sender, incarnation, response, now):
        quota = self.quotas.get(response.tenant)
        exchange = quota.exchanges[sender] if quota is not None else None
        if exchange is None or exchange.pending_sequence == response.sequence:
            return before(self, sender, incarnation, response, now)
        pending_sequence, exchange.pending_sequence = exchange.pending_sequence, response.sequence
        quota = before(self, sender, incarnation, response, now)
        exchange.pending_sequence = pending_sequence
        return quota

    before = LeaseHolder.on_response
    plant(LeaseHolder, "on_response", on_response)


def all_are_able(plant):
    def agree(ring, live, fleet_settings):
        able = {name: schema_peer(peer) for name, peer in live.items()}
        return before(ring, able, fleet_settings)

    def schema_peer(peer):
        return type(peer)(
            peer.name,
            peer.address,
            peer.incarnation,
            peer.version,
            peer.state,
            peer.zone,
            peer.capacity,
            (1, 9),
            9,
        )

    before = migration.next_step
    plant(migration, "next_step", agree)


def written_by_one(plant):
    class Eager(quorum.PendingOperation):
        required = property(lambda self: quorum.RequiredResponses(1, 1), lambda self, required: None)

    plant(quorum, "PendingOperation", Eager)


def come_again(plant):
    plant(pending_admissions, "decide_unknown", lambda *_: AdmissionDecision.REJECT)


def places_forgotten(plant):
    before = pending_admissions.decide
    plant(pending_admissions, "decide", lambda *args: (before(*args)[0], ()))


def by_remainder(plant):
    def compute_owners(self, key, n):
        first = hash_number(key) % len(self.names)
        return tuple(sorted(self.names)[(first + turn) % len(self.names)] for turn in range(n))

    plant(RendezvousHash, "compute_owners", compute_owners)


def believes_clocks(plant):
    plant(
        HybridClock,
        "observe",
        lambda self, stamp, wall: self._advance(int(wall * 1e3), max(self.latest, stamp)),
    )
    plant(records, "clock_error", lambda *_: None)


BREAKAGES = {
    "a merge that takes the last to arrive": (last_to_arrive, gossip, 3, {}, "lost, though"),
    "a number used again after a restart": (number_again, restarts, 3, {}, "twice"),
    "a lease that does not end": (lease_without_end, cut_in_two, 5, {}, "over its limit"),
    "an owner that forgets its fence": (no_fence, owner_restarts, 3, {}, "over its limit"),
    "a minority that draws a ring": (minority, cut_in_two, 5, {}, "drawn by 2 of 5"),
    "an owner whom nobody has to vouch for": (no_vouching, cut_in_two, 5, {}, "over its limit"),
    "a field dropped": (field_dropped, newer_field, 3, {}, "newer field: copies differ"),
    "a handover that answers too early": (answers_too_early, copies_lost, 5, {}, "non-idempotent, ran"),
    "marks forgotten too early": (forgets_early, comes_late, 3, {}, "non-idempotent, ran"),
    "a doubled answer taken twice": (taken_twice, bad_weather, 3, {"hold_version": 1}, "over its limit"),
    "a version gone up without a majority": (all_are_able, half_new, 5, {"reads": (1, 1)}, "can read 2"),
    "a mark that one owner is enough for": (written_by_one, cut_off_sheets, 3, {}, "written at 1 of 2"),
    "one in doubt that sends its client elsewhere": (come_again, in_doubt, 3, {}, "rejected"),
    "a repeat sent to another zone": (places_forgotten, another_zone, 3, {}, "deduplicated, ran"),
    "owners by remainder": (by_remainder, comes_and_goes, 5, {}, "which stayed"),
    "a clock that is believed whatever it says": (believes_clocks, clock_ahead, 3, {}, "non-idempotent, ran"),
}


@pytest.mark.parametrize("which", BREAKAGES)
def test_the_judge_names_the_breakage(which, monkeypatch):
    breakage, day, size, terms, words = BREAKAGES[which]
    breakage(monkeypatch.setattr)
    memory = fleet(size, **terms)
    day(memory)
    found = memory.checker.close()
    assert any(words in each for each in found), found


DAYS = {day: (size, terms) for _, day, size, terms, _ in BREAKAGES.values()}


@pytest.mark.parametrize("day", DAYS, ids=lambda day: day.__name__)
def test_the_judge_finds_nothing_in_the_same_day_of_unbroken_agents(day):
    size, terms = DAYS[day]
    memory = fleet(size, **terms)
    day(memory)
    assert memory.checker.close() == []
