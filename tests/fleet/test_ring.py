"""Tests of the ring: placement, movement, steps and damping, and the lab's measures of rings."""

from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cartdeal.fleet.ring.damping import Damper
from cartdeal.fleet.ring.movement import minimal_movement, moved_share, plan_next_ring
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring, RingMember, is_valid_ring
from cartdeal.fleet.ring.steps import apply_step, step_between
from cartdeal.fleet.settings import FleetSettings
from cartdeal.lab import rings

KEYS = [b"s/%d" % n for n in range(4000)]
OWNERS = [("a0002", "a0003", "a0004"), ("a0000", "a0002", "a0001"), ("a0002", "a0003", "a0004")]
DIGEST = "d19b710d0c20715742a7d43952529427"


def make_ring(capacities, zones=3, epoch=1):
    return Ring(
        epoch, tuple(RingMember(f"a{n:04}", f"z{n % zones}", float(c)) for n, c in enumerate(capacities))
    )


def ring_with(old_ring, *new_members):
    return Ring(
        old_ring.epoch + 1, tuple(sorted(old_ring.members + new_members, key=lambda member: member.name))
    )


member_sets = st.dictionaries(
    st.sampled_from([f"n{n}" for n in range(12)]), st.floats(1, 64), min_size=1
).map(
    lambda capacity_by_name: {
        name: RingMember(name, f"z{int(name[1:]) % 3}", capacity)
        for name, capacity in capacity_by_name.items()
    }
)


def ring_of(member_by_name):
    return Ring(1, tuple(member_by_name[name] for name in sorted(member_by_name)))


def test_owners_and_digest_of_a_fixed_ring_never_change():
    ring = make_ring([1, 2, 64, 8, 8])
    assert [owners(ring, key, 3) for key in KEYS[:3]] == OWNERS
    assert ring.digest.hex() == DIGEST


def test_keys_spread_by_capacity():
    ring = make_ring([1, 4, 16, 64, 64, 16, 4, 1])
    first_owners = [owners(ring, b"%d" % n, 1)[0] for n in range(40_000)]
    for member in ring.members:
        share = member.capacity / ring.capacity
        assert abs(first_owners.count(member.name) / 40_000 - share) < 4 * (share / 40_000) ** 0.5


@settings(deadline=None, derandomize=True)
@given(member_sets, st.integers(1, 5), st.integers(0, 50))
def test_next_owners_prefer_zones_not_used_yet(member_by_name, count, key_index):
    ring = ring_of(member_by_name)
    owner_names = owners(ring, KEYS[key_index], count)
    zones = [ring.member_by_name[name].zone for name in owner_names]
    zone_count = len({member.zone for member in ring.members})
    assert len(set(owner_names)) == len(owner_names) == min(count, len(ring.members))
    assert len(set(zones[:zone_count])) == min(len(owner_names), zone_count)
    assert (
        owner_names[0] == owners(ring, KEYS[key_index], 1)[0]
        and owner_names[:1] == owners(ring, KEYS[key_index], count + 1)[:1]
    )


@pytest.mark.parametrize(
    "agents, zones, capacity", [(10, 3, 64), (10, 3, 1), (100, 3, 64), (10, 1, 8), (7, 7, 64)]
)
def test_join_moves_no_key_between_two_existing_members(agents, zones, capacity):
    random = Random(agents)
    old_ring = make_ring([random.choice((1, 8, 64)) for _ in range(agents)], zones)
    new_ring = ring_with(old_ring, RingMember("new", "z0", float(capacity)))
    share, moved_count = capacity / new_ring.capacity, 0
    for key in KEYS:
        old_owners, new_owners = owners(old_ring, key, 3), owners(new_ring, key, 3)
        moved_count += old_owners[0] != new_owners[0]
        assert old_owners[0] == new_owners[0] or new_owners[0] == "new"
        assert (
            set(new_owners) - set(old_owners) <= {"new"} and len(set(old_owners) - set(new_owners)) <= 1
        )  # at most one copy moves, and only to the new member
    assert moved_count / len(KEYS) <= share + 4 * (share / len(KEYS)) ** 0.5


@settings(deadline=None, derandomize=True)
@given(member_sets, member_sets)
def test_moved_share_is_exact_and_at_most_twice_the_minimum(old_members, new_members):
    old_ring, new_ring = ring_of(old_members), ring_of(new_members)
    share, minimal_share = moved_share(old_ring, new_ring), minimal_movement(old_ring, new_ring)
    observed_share = sum(owners(old_ring, key, 1) != owners(new_ring, key, 1) for key in KEYS[:400]) / 400
    assert abs(observed_share - share) < 4.5 * (share * (1 - share) / 400) ** 0.5 + 0.01
    assert minimal_share - 1e-9 <= share <= 2 * minimal_share / (1 + minimal_share) + 1e-9


@settings(deadline=None, derandomize=True)
@given(member_sets, member_sets, st.floats(0.05, 0.5))
def test_steps_are_bounded_and_reach_the_target(old_members, target_members, step_share):
    current_ring = ring_of(old_members)
    for _ in range(int(3 + 4 / step_share)):
        next_ring = plan_next_ring(current_ring, target_members, step_share)
        if next_ring is current_ring:
            break
        remaining_members = [member for member in current_ring.members if member.name in target_members]
        removed_share = 1 - sum(member.capacity for member in remaining_members) / current_ring.capacity
        assert (
            next_ring.epoch == current_ring.epoch + 1
            and is_valid_ring(next_ring, 100)
            and set(next_ring.names) <= set(target_members)
        )
        if remaining_members:
            remaining_ring = Ring(current_ring.epoch, tuple(remaining_members))
            assert moved_share(remaining_ring, next_ring) <= max(0.0, step_share - removed_share) + 1e-9
            for member in next_ring.members:
                old_capacity = remaining_ring.member_by_name.get(
                    member.name, RingMember("", "", 0.0)
                ).capacity
                target_capacity = target_members[member.name].capacity
                assert (
                    member.capacity <= max(old_capacity, target_capacity / 2)
                    or old_capacity >= target_capacity / 2
                )
        current_ring = next_ring
    assert (
        current_ring.member_by_name == target_members
        and plan_next_ring(current_ring, target_members, step_share) is current_ring
    )


def test_three_members_join_in_one_step_while_one_fails():
    old_ring = make_ring([8] * 6)
    target_members = {name: member for name, member in old_ring.member_by_name.items() if name != "a0000"}
    target_members |= {f"n{n}": RingMember(f"n{n}", "z0", 64.0) for n in range(3)}
    next_ring = plan_next_ring(old_ring, target_members, 0.34)
    assert "a0000" not in next_ring.names and moved_share(old_ring, next_ring) <= 0.34 + 1e-9
    assert all(next_ring.member_by_name[f"n{n}"].capacity < 32 for n in range(3))


def test_only_the_keys_of_a_leaving_member_move():
    old_ring = make_ring([1, 2, 4, 8, 16, 32, 64])
    new_ring = plan_next_ring(
        old_ring, {name: member for name, member in old_ring.member_by_name.items() if name != "a0006"}, 0.34
    )
    assert len(new_ring.members) == 6
    for key in KEYS[:1000]:
        old_owner = owners(old_ring, key, 1)
        assert owners(new_ring, key, 1) == old_owner or old_owner == ("a0006",)


@settings(deadline=None, derandomize=True)
@given(member_sets, member_sets)
def test_apply_step_restores_the_new_ring(old_members, new_members):
    old_ring, new_ring = ring_of(old_members), Ring(2, ring_of(new_members).members, 2, "move")
    assert (
        apply_step(old_ring, step_between(old_ring, new_ring)) == new_ring
        and apply_step(old_ring, step_between(old_ring, new_ring)).digest == new_ring.digest
    )
    with pytest.raises(ValueError):
        apply_step(new_ring, step_between(old_ring, new_ring))


# Damping


class WatchedFleet:
    """A ring whose members follow a Damper that observes live agents every 0.2 s."""

    def __init__(self, capacities):
        self.ring = make_ring(capacities)
        self.live = {member.name: self.peer(member.name, member.capacity) for member in self.ring.members}
        self.damper, self.now, self.change_count = Damper(FleetSettings(fleet="f", name="a")), 0.0, 0

    def peer(self, name, capacity):
        return SimpleNamespace(name=name, zone=f"z{int(name[1:]) % 3}", capacity=capacity, incarnation=1)

    def run(self, seconds, on_tick=lambda now: None):
        for _ in range(int(seconds * 5)):
            self.now += 0.2
            on_tick(self.now)
            target_members = self.damper.target_members(self.live, self.ring, self.now)
            next_ring = plan_next_ring(self.ring, target_members, 0.34)
            self.change_count += next_ring is not self.ring
            self.ring = next_ring
        return self


def test_capacity_changes_of_a_tenth_each_second_move_nothing():
    fleet = WatchedFleet([10] * 5)

    def alternate_capacities(now):
        for n, peer in enumerate(fleet.live.values()):
            peer.capacity = 11.0 if int(now + n / 5) % 2 else 9.0

    assert fleet.run(120, alternate_capacities).change_count == 0


def test_slow_capacity_rise_is_followed_once_above_damp_share():
    fleet = WatchedFleet([10] * 5)

    def raise_capacity(now):
        fleet.live["a0000"].capacity = 10 + now / 30 + (0.5 if int(now) % 2 else -0.5)

    fleet.run(45, raise_capacity)
    assert fleet.change_count == 0
    fleet.run(555, raise_capacity)
    assert 2 <= fleet.change_count <= 6 and abs(fleet.ring.member_by_name["a0000"].capacity - 30) < 7.5


def test_agent_flapping_30_times_a_minute_moves_nothing():
    fleet = WatchedFleet([10] * 5)
    flapping_member, newcomer = fleet.live["a0001"], fleet.peer("a9999", 64.0)

    def toggle_members(now):
        for peer, is_live in ((flapping_member, int(now) % 2), (newcomer, 1 - int(now) % 2)):
            fleet.live.pop(peer.name, None)
            if is_live:
                fleet.live[peer.name] = peer

    assert fleet.run(120, toggle_members).change_count == 0


def test_frequent_restarts_keep_a_member_and_admit_no_new_agent():
    fleet = WatchedFleet([10] * 5)
    newcomer = fleet.live["a9999"] = fleet.peer("a9999", 64.0)

    def restart(now):
        fleet.live["a0001"].incarnation = newcomer.incarnation = int(now / 2)

    assert fleet.run(60, restart).change_count == 0
    fleet.run(6)
    assert fleet.ring.member_by_name["a9999"].capacity == 64


def test_dead_agent_is_removed_after_damp_s_not_counting_a_pause():
    fleet = WatchedFleet([10] * 5)
    fleet.run(1)
    del fleet.live["a0001"]
    fleet.run(1)
    fleet.now += 60  # the observer was paused
    fleet.run(3)
    assert "a0001" in fleet.ring.names
    fleet.run(2)
    assert fleet.change_count == 1 and "a0001" not in fleet.ring.names


def test_updated_settings_apply_to_earlier_observations():
    fleet = WatchedFleet([10] * 5)
    fleet.run(1)
    del fleet.live["a0001"]
    fleet.run(2)
    assert "a0001" in fleet.ring.names
    fleet.damper.update_settings(FleetSettings(fleet="f", name="a", damp_s=1.0))
    fleet.run(0.4)
    assert "a0001" not in fleet.ring.names


# The lab's measures of rings


def test_lab_finds_the_same_first_owners_as_the_ring():
    ring, spots = make_ring([1, 64, 8, 8, 2]), rings.key_hashes(3, 500)
    first_owners = [ring.names[index] for index in rings.first_owners(ring, spots)]
    assert first_owners == [owners(ring, b"3/%d" % n, 1)[0] for n in range(500)]


def test_lab_circle_computes_moved_share_and_shares_exactly():
    points = {}
    old_circle, new_circle = (
        rings.HashCircle(make_ring(capacities), points) for capacities in ([1, 64, 8, 8], [1, 64, 8, 8, 32])
    )
    spots = rings.key_hashes(3, 20_000)
    old_owners, new_owners = old_circle.owner(spots), new_circle.owner(spots)
    assert abs(old_circle.moved_share(new_circle) - (old_owners != new_owners).mean()) < 0.02 and set(
        new_owners[old_owners != new_owners]
    ) == {4}
    assert abs(sum(new_circle.shares().values()) - 1) < 1e-9
    assert abs(new_circle.shares()["a0004"] - (new_owners == 4).mean()) < 0.02


@pytest.mark.parametrize(
    "event, cartdeal_ratio, undamped_ratio", [("join", 1, 1), ("turnover", 1.6, 1.4), ("flapping", 0, 60)]
)
def test_lab_measures_each_variant(event, cartdeal_ratio, undamped_ratio):
    rows = [rings.measure(variant, 1, 10, event) for variant in ("cartdeal", "undamped", "circle")]
    assert abs(rows[0]["moved_over_least"] - cartdeal_ratio) < 0.4 and rows[0]["fullest_over_fair"] == 1
    assert abs(rows[1]["moved_over_least"] - undamped_ratio) < 0.4
    assert rows[2]["fullest_over_fair"] > 1.1
    assert rows[0] == rings.measure("cartdeal", 1, 10, event)
