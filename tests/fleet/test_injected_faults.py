"""Injects faults into otherwise correct agents: the invariant checker must report each fault.

Without the fault the checker must report nothing in the same scenario. A scenario proves something only if it
can reveal a fault.
"""

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


def start_fleet(size, **settings):
    seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(size)}
    fleet = InMemoryFleet(
        FleetSettings(
            fleet="f",
            name="",
            key=b"k" * 32,
            seeds=seeds,
            limits={"shop": RateLimit(100.0, 90.0)},
            **settings,
        ),
        1,
    )
    for number in range(size):
        fleet.add(f"a{number}", zone=f"z{number % 3}")
    fleet.run_until(fleet.has_one_ring, 20.0)
    return fleet.run(46.0)


def request(name, repeat="u", **fields):
    return AdmissionRequest(
        **{
            "session": f"s{name}",
            "key": f"k{name}",
            "repeat": repeat,
            "limit_s": 20.0,
            "workload": "sheet",
            **fields,
        }
    )


def submit_shop_requests(fleet, seconds, agents=None, rate=250):
    names = agents or list(fleet.hosts)
    for turn in range(int(rate * seconds)):
        fleet.submit(SHOP_REQUEST, [names[turn % len(names)]])
        fleet.run(1 / rate)


# Scenarios


def agent_restarts(fleet):
    for _ in range(2):
        for turn in range(5):
            fleet.submit(request(f"{fleet.hosts['a0'].start_count}/{turn}"), ["a0"])
            fleet.run(0.2)
        fleet.kill("a0")
        fleet.start("a0")
        fleet.run(15.0)


def cut_in_two(fleet):
    submit_shop_requests(fleet, 2.0)
    names = list(fleet.hosts)
    fleet.cut(names[:2], names[2:])
    submit_shop_requests(fleet, 32.0)


def owner_restarts(fleet):
    """An owner restarts without state again and again, while a cut-off agent uses a lease from before."""
    for _ in range(8):
        submit_shop_requests(fleet, 1.5, ["a1", "a2"])
        fleet.cut(["a0"], ["a1"])
        fleet.kill("a0")
        fleet.start("a0")
        submit_shop_requests(fleet, 2.0, ["a1", "a2"])
        fleet.heal()


def all_owners_restart(fleet):
    """All owners of a session restart without state while its request runs, and the client retries."""
    ring = fleet.nodes()["a0"].ring
    name = next(n for n in range(99) if "a0" not in owners(ring, f"s/s{n}".encode(), 3))
    fleet.submit(request(name), ["a0", "a1", "a2"], 3, work_s=9.0, patience_s=20.0)
    fleet.run(0.5)
    for each in owners(ring, f"s/s{name}".encode(), 3):
        fleet.kill(each)
        fleet.start(each)
    fleet.run(6.0)
    fleet.kill("a0")
    fleet.run(2.0)


def requests_at_isolated_agent(fleet):
    names = list(fleet.hosts)
    fleet.cut(names[:1], names[1:])
    for turn in range(10):
        fleet.submit(request(turn), names[:1])
        fleet.run(0.1)


def bad_network(fleet):
    fleet.conditions = NetworkConditions(duplication_rate=0.5, jitter_s=0.02, late_rate=0.1, max_late_s=1.0)
    submit_shop_requests(fleet, 10.0)


def retry_after_expiry(fleet):
    fleet.submit(request(0), ["a0", "a1"], 2, work_s=30.0, patience_s=12.0)
    fleet.run(14.0)


def retry_at_isolated_agent(fleet):
    """A client retries at an agent that is cut off from all others."""
    fleet.submit(request(0), ["a0", "a1"], 2, work_s=9.0, patience_s=9.0)
    fleet.run(0.3)
    fleet.cut(["a1"], ["a0", "a2"])
    fleet.kill("a0")
    fleet.run(1.0)


def retry_in_another_zone(fleet):
    fleet.submit(request(0, "d", group="zone", window_s=9.0), ["a0", "a1"], 2, work_s=9.0, patience_s=1.0)
    fleet.run(2.0)


def reordered_messages(fleet):
    """Requests of few sessions are answered while messages arrive out of order."""
    fleet.conditions = NetworkConditions(duplication_rate=0.3, jitter_s=0.2, late_rate=0.2, max_late_s=2.0)
    for turn in range(120):
        fleet.submit(request(turn, session=f"s{turn % 10}"), [f"a{turn % 3}"])
        fleet.run(0.1)
    fleet.conditions = NetworkConditions()
    fleet.run(6.0)
    fleet.count_lost_records()


def newer_field_is_restored(fleet):
    """A newer program writes a field, restarts, and gets its record back from agents with older programs."""
    fleet.submit(request(0), ["a0"])
    fleet.run(1.0)
    store = fleet.nodes()["a0"].replica.store
    store.merge("s/s0", Session(store.get("s/s0").attempts, {"new": [7]}))
    before = store.records["s/s0"].digest
    fleet.run(5.0)
    fleet.kill("a0")
    fleet.start("a0")
    fleet.run(8.0)
    after = fleet.nodes()["a0"].replica.store.records["s/s0"].digest
    fleet.checker.check_equal({"before": before, "after": after}, "a session with a newer field")


def agent_joins(fleet):
    fleet.add("a9", zone="z0")
    fleet.run(20.0)


def minority_upgraded(fleet):
    for name in list(fleet.hosts)[:2]:
        fleet.kill(name)
        fleet.start(name, reads=(1, 2))
    fleet.run(20.0)


def agent_with_clock_ahead_joins(fleet):
    """An agent joins while a request runs; its clock is 40 s ahead, and it ignores other clocks."""

    def create_node_with_own_clock(*args):
        node = Node(*args)
        node.fleet_clock.observe = lambda *_: True
        return node

    fleet.node_factories["a9"] = create_node_with_own_clock
    fleet.submit(request(0), ["a0", "a1"], 2, work_s=30.0, patience_s=30.0)
    fleet.run(0.3)
    fleet.add("a9", zone="z1", start=False).wall_offset_s = 40.0
    fleet.start("a9")
    fleet.run(6.0)
    fleet.kill("a0")
    fleet.run(1.0)


# Faults


def keep_last_arrival(patch):
    patch(records, "merge", lambda a, b: b)


def reuse_incarnation(patch):
    def init(self, fleet_settings, seed, now, wall):
        original(self, fleet_settings, "the same", now, 1_700_000_000.0)
        self.fleet_clock.offset_s = wall - now

    original = Node.__init__
    patch(Node, "__init__", init)


def never_expire_leases(patch):
    original = HeldLease.__init__
    patch(
        HeldLease,
        "__init__",
        lambda self, incarnation, response, requested_at, expires_at: original(
            self, incarnation, response, requested_at, 1e9
        ),
    )


def remove_fence(patch):
    patch(
        lease_owner,
        "OwnershipHistory",
        lambda start, fence_s, share_in: OwnershipHistory(start, 0.0, share_in),
    )


def accept_minority(patch):
    patch(Ring, "majority", property(lambda ring: max(1, len(ring.members) // 2)))


def require_no_lease(patch):
    patch(RingConsensus, "has_valid_lease", lambda self: self.ring is not None)


def drop_unknown_fields(patch):
    def decode(*args):
        record = original(*args)
        record.unknown_fields = {}
        return record

    original = record_codec.decode
    patch(record_codec, "decode", decode)


def answer_before_catch_up(patch):
    patch(CatchUp, "has_caught_up", lambda *_: True)
    patch(CatchUp, "complete_ranges", lambda *_: ALL_RANGES)


def expire_records_early(patch):
    original = records.without_expired
    patch(records, "without_expired", lambda record, wall, slack: original(record, wall + 20_000, slack))


def apply_duplicate_responses(patch):
    def on_response(self, sender, incarnation, response, now):
        quota = self.quotas.get(response.tenant)
        exchange = quota.exchanges[sender] if quota is not None else None
        if exchange is None or exchange.pending_sequence == response.sequence:
            return original(self, sender, incarnation, response, now)
        pending_sequence, exchange.pending_sequence = exchange.pending_sequence, response.sequence
        quota = original(self, sender, incarnation, response, now)
        exchange.pending_sequence = pending_sequence
        return quota

    original = LeaseHolder.on_response
    patch(LeaseHolder, "on_response", on_response)


def assume_newer_versions(patch):
    def next_step(ring, live, fleet_settings):
        newer_peers = {name: with_newer_versions(peer) for name, peer in live.items()}
        return original(ring, newer_peers, fleet_settings)

    def with_newer_versions(peer):
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

    original = migration.next_step
    patch(migration, "next_step", next_step)


def require_one_write(patch):
    class SingleResponseOperation(quorum.PendingOperation):
        required = property(lambda self: quorum.RequiredResponses(1, 1), lambda self, required: None)

    patch(quorum, "PendingOperation", SingleResponseOperation)


def reject_when_unknown(patch):
    patch(pending_admissions, "decide_unknown", lambda *_: AdmissionDecision.REJECT)


def forget_earlier_attempts(patch):
    original = pending_admissions.decide
    patch(pending_admissions, "decide", lambda *args: (original(*args)[0], ()))


def choose_owners_by_remainder(patch):
    def compute_owners(self, key, n):
        first = hash_number(key) % len(self.names)
        return tuple(sorted(self.names)[(first + turn) % len(self.names)] for turn in range(n))

    patch(RendezvousHash, "compute_owners", compute_owners)


def accept_any_clock(patch):
    patch(
        HybridClock,
        "observe",
        lambda self, stamp, wall: self._advance(int(wall * 1e3), max(self.latest, stamp)),
    )
    patch(records, "clock_error", lambda *_: None)


FAULTS = {
    "a merge that keeps the record that arrives last": (
        keep_last_arrival,
        reordered_messages,
        3,
        {},
        "lost, though",
    ),
    "an incarnation used again after a restart": (reuse_incarnation, agent_restarts, 3, {}, "twice"),
    "a lease that does not expire": (never_expire_leases, cut_in_two, 5, {}, "over its limit"),
    "an owner without a fence after a restart": (remove_fence, owner_restarts, 3, {}, "over its limit"),
    "a minority that decides on a ring": (accept_minority, cut_in_two, 5, {}, "accepted by 2 of 5"),
    "an owner that needs no lease from a majority": (require_no_lease, cut_in_two, 5, {}, "over its limit"),
    "a codec that drops unknown fields": (
        drop_unknown_fields,
        newer_field_is_restored,
        3,
        {},
        "newer field: copies differ",
    ),
    "an owner that answers before it has caught up": (
        answer_before_catch_up,
        all_owners_restart,
        5,
        {},
        "non-idempotent, ran",
    ),
    "attempt records that expire too early": (
        expire_records_early,
        retry_after_expiry,
        3,
        {},
        "non-idempotent, ran",
    ),
    "a duplicated response that is applied twice": (
        apply_duplicate_responses,
        bad_network,
        3,
        {"hold_version": 1},
        "over its limit",
    ),
    "a version that is raised without a majority": (
        assume_newer_versions,
        minority_upgraded,
        5,
        {"reads": (1, 1)},
        "can read 2",
    ),
    "an attempt record that one owner is enough for": (
        require_one_write,
        requests_at_isolated_agent,
        3,
        {},
        "written at 1 of 2",
    ),
    "an agent that rejects a request that may have run": (
        reject_when_unknown,
        retry_at_isolated_agent,
        3,
        {},
        "rejected",
    ),
    "a retry that is sent to another zone": (
        forget_earlier_attempts,
        retry_in_another_zone,
        3,
        {},
        "deduplicated, ran",
    ),
    "owners chosen by the remainder of a hash": (
        choose_owners_by_remainder,
        agent_joins,
        5,
        {},
        "which stayed",
    ),
    "a clock that is believed however far ahead it is": (
        accept_any_clock,
        agent_with_clock_ahead_joins,
        3,
        {},
        "non-idempotent, ran",
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_checker_reports_the_injected_fault(fault, monkeypatch):
    inject, scenario, size, settings, message = FAULTS[fault]
    inject(monkeypatch.setattr)
    fleet = start_fleet(size, **settings)
    scenario(fleet)
    violations = fleet.checker.close()
    assert any(message in each for each in violations), violations


SCENARIOS = {scenario: (size, settings) for _, scenario, size, settings, _ in FAULTS.values()}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_checker_reports_nothing_in_the_same_scenario_without_the_fault(scenario):
    size, settings = SCENARIOS[scenario]
    fleet = start_fleet(size, **settings)
    scenario(fleet)
    assert fleet.checker.close() == []
