"""Measures how many keys a ring moves and how even it is, against other ways of placement.

The other ways are consistent hashing with points on a circle, and rendezvous hashing without damping. An
agent in service must never import them. Shares are exact, as for infinitely many keys, and come from arcs,
capacities and `moved_share`; only `fullest_of_keys` is counted on keys.
"""

from functools import cache
from itertools import pairwise
from random import Random
from types import SimpleNamespace

import numpy as np

from cartdeal.fleet.ring.damping import Damper
from cartdeal.fleet.ring.movement import minimal_movement, moved_share, plan_next_ring
from cartdeal.fleet.ring.placement import hash_number, owners
from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.settings import FleetSettings

LOAD_KEY_COUNT = 50_000  # keys by which the load of agents is counted
COPY_KEY_COUNT = 1_500  # keys by which moved copies are counted
POINTS_PER_CAPACITY = 5  # on the circle for a unit of capacity: 160 for an agent of capacity 32
RING_EVENTS = ("join", "leave", "capacity", "turnover", "flapping", "wobble")
DAMPER_STEP_S = 0.5  # between two evaluations of the damper


def generate_members(seed: int, agents: int) -> dict[str, RingMember]:
    """Members in three zones, with capacities of 1 to 64: as many between 1 and 2 as between 32 and 64."""
    random = Random(f"{seed} {agents}")
    return {
        name: RingMember(name, f"z{index % 3}", float(round(2 ** random.uniform(0, 6))))
        for index, name in enumerate(f"agent-{index:04}" for index in range(agents))
    }


def build_timeline(
    event: str, members: dict[str, RingMember], seed: int
) -> list[tuple[float, dict[str, RingMember]]]:
    """The live members over time, the same for all variants.

    Returns:
        Pairs (seconds, the members that are live from then on); the first pair is the state at the beginning.
    """
    name = max(members, key=lambda each: (members[each].capacity, each))
    largest, rest = members[name], {each: member for each, member in members.items() if each != name}
    if event == "join":
        return [(0.0, rest), (10.0, members)]
    if event == "leave":
        return [(0.0, members), (10.0, rest)]
    if event == "capacity":  # the capacity of the largest member halves
        return [
            (0.0, members),
            (10.0, members | {name: RingMember(name, largest.zone, largest.capacity / 2)}),
        ]
    if event == "turnover":  # three members join in one step while the largest fails
        names = sorted(rest)[:3]
        return [(0.0, {each: member for each, member in members.items() if each not in names}), (10.0, rest)]
    if event == "flapping":  # the largest member leaves and returns 30 times in a minute
        return [(0.0, members)] + [(10.0 + turn, members if turn % 2 else rest) for turn in range(60)]
    random = Random(seed)

    # Wobble: each capacity changes by a tenth, up or down, every second for ten seconds.
    def varied_capacities():
        return {
            each: RingMember(each, member.zone, member.capacity * random.choice((0.9, 1.1)))
            for each, member in members.items()
        }

    return [(0.0, members), *((10.0 + turn, varied_capacities()) for turn in range(10)), (20.0, members)]


def ring_of(members: dict[str, RingMember], epoch=1) -> Ring:
    """A ring of these members."""
    return Ring(epoch, tuple(members[name] for name in sorted(members)))


# The rings that each way of placement has in force during a timeline, one after the other


def damped_rings(timeline):
    """The rings that the damper and `plan_next_ring` lead to."""
    fleet_settings = FleetSettings(fleet="lab", name="lab")
    damper, ring, now, last_change_at = Damper(fleet_settings), ring_of(timeline[0][1]), 0.0, timeline[-1][0]
    rings, unchanged_steps, pending = [ring], 0, list(timeline)
    while now <= last_change_at or unchanged_steps < 8 * fleet_settings.damp_s:
        if pending and pending[0][0] <= now:
            live = {
                name: SimpleNamespace(name=name, zone=member.zone, capacity=member.capacity, incarnation=1)
                for name, member in pending.pop(0)[1].items()
            }
        next_ring = plan_next_ring(ring, damper.target_members(live, ring, now), fleet_settings.step_share)
        if next_ring is not ring:
            rings.append(next_ring)
        unchanged_steps, ring, now = (
            0 if next_ring is not ring else unchanged_steps + 1,
            next_ring,
            now + DAMPER_STEP_S,
        )
    return rings


def undamped_rings(timeline):
    """The rings without damping: each change makes a new ring immediately."""
    return [ring_of(members, turn + 1) for turn, (_, members) in enumerate(timeline)]


class HashCircle:
    """Consistent hashing (Karger et al. 1997): an agent owns the arcs that end at its points.

    The number of an agent's points is proportional to its capacity. `known_points` caches the points by name.
    """

    def __init__(self, ring: Ring, known_points: dict):
        self.names = ring.names
        points_by_member = []
        for member in ring.members:
            point_count = max(1, round(POINTS_PER_CAPACITY * member.capacity))
            member_points = known_points.setdefault(member.name, [])
            member_points += [
                hash_number(b"%s/%d" % (member.name.encode(), n))
                for n in range(len(member_points), point_count)
            ]
            points_by_member.append(np.array(member_points[:point_count], dtype=np.uint64))
        points = np.concatenate(points_by_member)
        order = np.argsort(points, kind="stable")
        self.points = points[order]
        self.point_owners = np.repeat(
            np.arange(len(points_by_member)), [len(each) for each in points_by_member]
        )[order]

    def owner(self, positions):
        """The indexes of the members that own these positions on the circle."""
        return self.point_owners[np.searchsorted(self.points, positions) % len(self.points)]

    def shares(self) -> dict[str, float]:
        """Each member's share of the circle, by name."""
        # The first arc wraps round the end of the circle.
        arcs = np.diff(self.points, prepend=self.points[-1]).astype(float) / 2.0**64
        return dict(zip(self.names, np.bincount(self.point_owners, arcs, len(self.names)), strict=True))

    def moved_share(self, new: "HashCircle") -> float:
        """The share of the circle whose owner differs in `new`."""
        ends = np.unique(np.concatenate([self.points, new.points]))
        arcs = np.diff(ends, prepend=ends[-1]).astype(float) / 2.0**64
        new_indexes = {name: n for n, name in enumerate(new.names)}
        reindexed = np.array([new_indexes.get(name, -1) for name in self.names])
        return float(arcs[reindexed[self.owner(ends)] != new.owner(ends)].sum())


def key_hashes(seed: int, count: int) -> np.ndarray:
    """The hashes of the first `count` keys of a seed."""
    return np.array([hash_number(b"%d/%d" % (seed, n)) for n in range(count)], dtype=np.uint64)


def first_owners(ring: Ring, hashes: np.ndarray) -> np.ndarray:
    """The indexes of the members that are first owners, as `owners` gives them, for many keys at once."""
    salts = np.array([hash_number(member.name.encode()) for member in ring.members], dtype=np.uint64)
    negative_inverses = np.array([-1 / member.capacity for member in ring.members])
    owner_indexes = []
    for part in np.array_split(hashes, max(1, len(hashes) * len(salts) // 2_000_000)):
        x = part[:, None] ^ salts[None, :]
        x = (x ^ x >> np.uint64(30)) * np.uint64(0xBF58476D1CE4E5B9)
        x = (x ^ x >> np.uint64(27)) * np.uint64(0x94D049BB133111EB)
        owner_indexes.append(
            (np.log(((x ^ x >> np.uint64(31)) + 0.5) * 2.0**-64) * negative_inverses).argmin(axis=1)
        )
    return np.concatenate(owner_indexes)


def max_relative_load(shares: dict[str, float], members: dict[str, RingMember]) -> float:
    """The largest ratio of an agent's share to the share that its capacity calls for."""
    total = sum(member.capacity for member in members.values())
    return max(share * total / members[name].capacity for name, share in shares.items())


def copies_moved(rings: list[Ring], n=3) -> float:
    """The share of copies (`n` of each key) that move to another agent, summed over the ring's changes."""
    keys, moved = [b"s/%d" % each for each in range(COPY_KEY_COUNT)], 0
    for old, new in pairwise(rings):
        moved += sum(len(set(owners(new, key, n)) - set(owners(old, key, n))) for key in keys)
    return moved / (n * COPY_KEY_COUNT)


def measure(variant: str, seed: int, agents: int = 10, event: str = "join") -> dict:
    """Measures one way of placement during one event.

    Args:
        variant: "cartdeal", "circle" or "undamped".
        seed: Seeds the members, the event and the keys.
        agents: The number of agents.
        event: One of RING_EVENTS.

    Returns:
        A row with these columns, among others:
        `moved_over_least`: the share of first owners that moved, over the least that must move by the first
        change. It is less than 1 if the ring did not give an agent its share. Flapping and wobble end as they
        began: 0 if nothing moved, 60 for flapping that is followed each time.
        `fullest_over_fair`: the largest ratio of an agent's share at the end to what its capacity calls for.
        `fullest_of_keys`: the same, counted on LOAD_KEY_COUNT keys.
        `fullest_by_chance`: the same for keys that are drawn with exact probabilities.
        `copies_over_least`: the share of copies (3 of each key) that moved, over the same least; "" if there
        are more than 10 rings, or no zones to spread the copies over.
        `epochs`: the number of changes of the ring.
    """
    timeline = build_timeline(event, generate_members(seed, agents), seed)
    initial, final = timeline[0][1], timeline[-1][1]
    least_moved = minimal_movement(ring_of(initial), ring_of(timeline[1][1]))
    rings = damped_rings(timeline) if variant == "cartdeal" else undamped_rings(timeline)
    hashes, copies = key_hashes(seed, LOAD_KEY_COUNT), ""
    if variant == "circle":
        known_points, rings_by_members = {}, {ring.members: ring for ring in rings}
        circle = cache(lambda members: HashCircle(rings_by_members[members], known_points))
        moved_between = cache(lambda old, new: circle(old).moved_share(circle(new)))
        moved = sum(moved_between(old.members, new.members) for old, new in pairwise(rings))
        shares, key_owners = circle(rings[-1].members).shares(), circle(rings[-1].members).owner(hashes)
    else:
        moved = sum(moved_share(old, new) for old, new in pairwise(rings))
        shares = {member.name: member.capacity / rings[-1].capacity for member in rings[-1].members}
        key_owners = first_owners(rings[-1], hashes)
        if len(rings) <= 10:
            copies = round(copies_moved(rings) / least_moved, 3)
    names = rings[-1].names
    counted = dict(zip(names, np.bincount(key_owners, minlength=len(names)) / LOAD_KEY_COUNT, strict=True))
    fair_capacities = [final[name].capacity for name in names]
    random_shares = (
        np.random.default_rng(seed).multinomial(
            LOAD_KEY_COUNT, np.array(fair_capacities) / sum(fair_capacities)
        )
        / LOAD_KEY_COUNT
    )
    return {
        "variant": variant,
        "seed": seed,
        "agents": agents,
        "event": event,
        "moved_over_least": round(moved / least_moved, 3),
        "fullest_over_fair": round(max_relative_load(shares, final), 3),
        "fullest_of_keys": round(max_relative_load(counted, final), 3),
        "fullest_by_chance": round(max_relative_load(dict(zip(names, random_shares, strict=True)), final), 3),
        "copies_over_least": copies,
        "epochs": len(rings) - 1,
    }
