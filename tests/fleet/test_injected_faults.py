"""Faults, each injected into otherwise correct agents at test time: the checker has to find and name it, and
finds nothing in the same scenario without it. A scenario in which nothing can be found proves nothing."""

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

SHOP_REQUEST = AdmissionRequest(tenant="shop", workload="read")


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


def request(name, repeat="u", **more):
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


def submit_shop_requests(memory, seconds, agents=None, rate=250):
    names = agents or list(memory.hosts)
    for turn in range(int(rate * seconds)):
        memory.submit(SHOP_REQUEST, [names[turn % len(names)]])
        memory.run(1 / rate)


# Scenarios


def restarts(memory):
    for _ in range(2):
        for turn in range(5):
            memory.submit(request(f"{memory.hosts['a0'].start_count}/{turn}"), ["a0"])
            memory.run(0.2)
        memory.kill("a0")
        memory.start("a0")
        memory.run(15.0)


def cut_in_two(memory):
    submit_shop_requests(memory, 2.0)
    names = list(memory.hosts)
    memory.cut(names[:2], names[2:])
    submit_shop_requests(memory, 32.0)


def owner_restarts(memory):
    """An owner comes back from nothing, again and again, while one that doesn't hear of it uses its loan."""
    for _ in range(8):
        submit_shop_requests(memory, 1.5, ["a1", "a2"])
        memory.cut(["a0"], ["a1"])
        memory.kill("a0")
        memory.start("a0")
        submit_shop_requests(memory, 2.0, ["a1", "a2"])
        memory.heal()


def all_owners_restart(memory):
    """All owners of a sheet's session come back from nothing, and its client comes again."""
    ring = memory.nodes()["a0"].ring
    name = next(n for n in range(99) if "a0" not in owners(ring, f"s/s{n}".encode(), 3))
    memory.submit(request(name), ["a0", "a1", "a2"], 3, work_s=9.0, patience_s=20.0)
    memory.run(0.5)
    for each in owners(ring, f"s/s{name}".encode(), 3):
        memory.kill(each)
        memory.start(each)
    memory.run(6.0)
    memory.kill("a0")
    memory.run(2.0)


def requests_at_isolated_agent(memory):
    names = list(memory.hosts)
    memory.cut(names[:1], names[1:])
    for turn in range(10):
        memory.submit(request(turn), names[:1])
        memory.run(0.1)


def bad_network(memory):
    memory.conditions = NetworkConditions(duplication_rate=0.5, jitter_s=0.02, late_rate=0.1, max_late_s=1.0)
    submit_shop_requests(memory, 10.0)


def retry_after_expiry(memory):
    memory.submit(request(0), ["a0", "a1"], 2, work_s=30.0, patience_s=12.0)
    memory.run(14.0)


def unknown_at_isolated_agent(memory):
    """A client comes again at an agent that can ask nobody."""
    memory.submit(request(0), ["a0", "a1"], 2, work_s=9.0, patience_s=9.0)
    memory.run(0.3)
    memory.cut(["a1"], ["a0", "a2"])
    memory.kill("a0")
    memory.run(1.0)


def another_zone(memory):
    memory.submit(request(0, "d", group="zone", window_s=9.0), ["a0", "a1"], 2, work_s=9.0, patience_s=1.0)
    memory.run(2.0)


def reordered_messages(memory):
    """Sheets of few sessions are answered while messages come in any order."""
    memory.conditions = NetworkConditions(duplication_rate=0.3, jitter_s=0.2, late_rate=0.2, max_late_s=2.0)
    for turn in range(120):
        memory.submit(request(turn, session=f"s{turn % 10}"), [f"a{turn % 3}"])
        memory.run(0.1)
    memory.conditions = NetworkConditions()
    memory.run(6.0)
    memory.count_lost_records()


def newer_field(memory):
    """A newer program writes a field, dies, and gets its record back from older ones."""
    memory.submit(request(0), ["a0"])
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


def agent_joins(memory):
    memory.add("a9", zone="z0")
    memory.run(20.0)


def minority_upgraded(memory):
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
    memory.submit(request(0), ["a0", "a1"], 2, work_s=30.0, patience_s=30.0)
    memory.run(0.3)
    memory.add("a9", zone="z1", start=False).wall_offset_s = 40.0
    memory.start("a9")
    memory.run(6.0)
    memory.kill("a0")
    memory.run(1.0)


# Faults


def last_write_wins(patch):
    patch(records, "merge", lambda a, b: b)


def incarnation_reused(patch):
    def init(self, fleet_settings, seed, now, wall):
        before(self, fleet_settings, "the same", now, 1_700_000_000.0)
        self.fleet_clock.offset_s = wall - now

    before = Node.__init__
    patch(Node, "__init__", init)


def lease_without_end(patch):
    before = HeldLease.__init__
    patch(
        HeldLease,
        "__init__",
        lambda self, incarnation, response, requested_at, expires_at: before(
            self, incarnation, response, requested_at, 1e9
        ),
    )


def no_fence(patch):
    patch(
        lease_owner,
        "OwnershipHistory",
        lambda start, fence_s, share_in: OwnershipHistory(start, 0.0, share_in),
    )


def minority_is_majority(patch):
    patch(Ring, "majority", property(lambda ring: max(1, len(ring.members) // 2)))


def lease_not_required(patch):
    patch(RingConsensus, "has_valid_lease", lambda self: self.ring is not None)


def field_dropped(patch):
    def decode(*args):
        record = before(*args)
        record.unknown_fields = {}
        return record

    before = record_codec.decode
    patch(record_codec, "decode", decode)


def answers_before_catch_up(patch):
    patch(CatchUp, "has_caught_up", lambda *_: True)
    patch(CatchUp, "complete_ranges", lambda *_: ALL_RANGES)


def records_expire_early(patch):
    before = records.without_expired
    patch(records, "without_expired", lambda record, wall, slack: before(record, wall + 20_000, slack))


def duplicate_response_applied(patch):
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
    patch(LeaseHolder, "on_response", on_response)


def all_read_newer_version(patch):
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
    patch(migration, "next_step", agree)


def one_write_is_enough(patch):
    class Eager(quorum.PendingOperation):
        required = property(lambda self: quorum.RequiredResponses(1, 1), lambda self, required: None)

    patch(quorum, "PendingOperation", Eager)


def rejects_when_unknown(patch):
    patch(pending_admissions, "decide_unknown", lambda *_: AdmissionDecision.REJECT)


def earlier_attempts_forgotten(patch):
    before = pending_admissions.decide
    patch(pending_admissions, "decide", lambda *args: (before(*args)[0], ()))


def by_remainder(patch):
    def compute_owners(self, key, n):
        first = hash_number(key) % len(self.names)
        return tuple(sorted(self.names)[(first + turn) % len(self.names)] for turn in range(n))

    patch(RendezvousHash, "compute_owners", compute_owners)


def any_clock_believed(patch):
    patch(
        HybridClock,
        "observe",
        lambda self, stamp, wall: self._advance(int(wall * 1e3), max(self.latest, stamp)),
    )
    patch(records, "clock_error", lambda *_: None)


FAULTS = {
    "a merge that takes the last to arrive": (last_write_wins, reordered_messages, 3, {}, "lost, though"),
    "a number used again after a restart": (incarnation_reused, restarts, 3, {}, "twice"),
    "a lease that does not end": (lease_without_end, cut_in_two, 5, {}, "over its limit"),
    "an owner that forgets its fence": (no_fence, owner_restarts, 3, {}, "over its limit"),
    "a minority that draws a ring": (minority_is_majority, cut_in_two, 5, {}, "drawn by 2 of 5"),
    "an owner whom nobody has to vouch for": (lease_not_required, cut_in_two, 5, {}, "over its limit"),
    "a field dropped": (field_dropped, newer_field, 3, {}, "newer field: copies differ"),
    "a handover that answers too early": (
        answers_before_catch_up,
        all_owners_restart,
        5,
        {},
        "non-idempotent, ran",
    ),
    "marks forgotten too early": (records_expire_early, retry_after_expiry, 3, {}, "non-idempotent, ran"),
    "a doubled answer taken twice": (
        duplicate_response_applied,
        bad_network,
        3,
        {"hold_version": 1},
        "over its limit",
    ),
    "a version gone up without a majority": (
        all_read_newer_version,
        minority_upgraded,
        5,
        {"reads": (1, 1)},
        "can read 2",
    ),
    "a mark that one owner is enough for": (
        one_write_is_enough,
        requests_at_isolated_agent,
        3,
        {},
        "written at 1 of 2",
    ),
    "one in doubt that sends its client elsewhere": (
        rejects_when_unknown,
        unknown_at_isolated_agent,
        3,
        {},
        "rejected",
    ),
    "a repeat sent to another zone": (earlier_attempts_forgotten, another_zone, 3, {}, "deduplicated, ran"),
    "owners by remainder": (by_remainder, agent_joins, 5, {}, "which stayed"),
    "a clock that is believed whatever it says": (
        any_clock_believed,
        clock_ahead,
        3,
        {},
        "non-idempotent, ran",
    ),
}


@pytest.mark.parametrize("which", FAULTS)
def test_checker_reports_the_injected_fault(which, monkeypatch):
    inject, scenario, size, terms, words = FAULTS[which]
    inject(monkeypatch.setattr)
    memory = fleet(size, **terms)
    scenario(memory)
    found = memory.checker.close()
    assert any(words in each for each in found), found


SCENARIOS = {scenario: (size, terms) for _, scenario, size, terms, _ in FAULTS.values()}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_checker_reports_nothing_in_the_same_scenario_without_the_fault(scenario):
    size, terms = SCENARIOS[scenario]
    memory = fleet(size, **terms)
    scenario(memory)
    assert memory.checker.close() == []
