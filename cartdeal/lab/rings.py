"""How much a ring moves and how even it is, beside plain points on a circle and rendezvous without damping.

It owns the other ways, which live here alone: an agent in service must never import them. Shares are exact
(arcs; capacities; ring.moved), for ever so many keys; `fullest_of_keys` is counted on real ones.
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

KEYS = 50_000  # for loads
COPIED = 1_500  # keys, for copies
POINTS = 5  # on the circle for one of capacity; 160 for an agent of 32
EVENTS = ("join", "leave", "capacity", "turnover", "flapping", "wobble")
STEP = 0.5  # seconds between two looks of the damper


def fleet(seed: int, agents: int) -> dict[str, RingMember]:
    """Capacities of 1 to 64, as many between 1 and 2 as between 32 and 64; three zones."""
    random = Random(f"{seed} {agents}")
    return {
        name: RingMember(name, f"z{place % 3}", float(round(2 ** random.uniform(0, 6))))
        for place, name in enumerate(f"agent-{place:04}" for place in range(agents))
    }


def build_timeline(
    event: str, members: dict[str, RingMember], seed: int
) -> list[tuple[float, dict[str, RingMember]]]:
    """Who is live from when on (seconds), the same for all variants; the first is in force before."""
    name = max(members, key=lambda each: (members[each].capacity, each))
    largest, rest = members[name], {each: member for each, member in members.items() if each != name}
    if event == "join":
        return [(0.0, rest), (10.0, members)]
    if event == "leave":
        return [(0.0, members), (10.0, rest)]
    if event == "capacity":  # of the largest, to a half
        return [
            (0.0, members),
            (10.0, members | {name: RingMember(name, largest.zone, largest.capacity / 2)}),
        ]
    if event == "turnover":  # three join in one step while the largest fails
        names = sorted(rest)[:3]
        return [(0.0, {each: member for each, member in members.items() if each not in names}), (10.0, rest)]
    if event == "flapping":  # the largest, 30 times in a minute
        return [(0.0, members)] + [(10.0 + turn, members if turn % 2 else rest) for turn in range(60)]
    random = Random(seed)  # each a tenth up or down, every second for ten seconds

    def wobbling():
        return {
            each: RingMember(each, member.zone, member.capacity * random.choice((0.9, 1.1)))
            for each, member in members.items()
        }

    return [(0.0, members), *((10.0 + turn, wobbling()) for turn in range(10)), (20.0, members)]


def ring_of(members: dict[str, RingMember], epoch=1) -> Ring:
    """A ring of these members."""
    return Ring(epoch, tuple(members[name] for name in sorted(members)))


# Three ways to follow a story: rings in force, one after the other


def damped(timeline):
    """The rings that the damper and the plan lead through."""
    fleet_settings = FleetSettings(fleet="lab", name="lab")
    damper, ring, now, last = Damper(fleet_settings), ring_of(timeline[0][1]), 0.0, timeline[-1][0]
    rings, quiet, left = [ring], 0, list(timeline)
    while now <= last or quiet < 8 * fleet_settings.damp_s:
        if left and left[0][0] <= now:
            live = {
                name: SimpleNamespace(name=name, zone=member.zone, capacity=member.capacity, incarnation=1)
                for name, member in left.pop(0)[1].items()
            }
        new = plan_next_ring(ring, damper.target_members(live, ring, now), fleet_settings.step_share)
        if new is not ring:
            rings.append(new)
        quiet, ring, now = 0 if new is not ring else quiet + 1, new, now + STEP
    return rings


def at_once(timeline):
    """The rings of one that follows each change at once."""
    return [ring_of(members, turn + 1) for turn, (_, members) in enumerate(timeline)]


class Circle:
    """Karger et al. 1997: an agent owns the arcs that end at its points, as many as its capacity asks for."""

    def __init__(self, ring: Ring, known: dict):
        self.names = ring.names
        spots = []
        for member in ring.members:
            many = max(1, round(POINTS * member.capacity))
            had = known.setdefault(member.name, [])
            had += [hash_number(b"%s/%d" % (member.name.encode(), n)) for n in range(len(had), many)]
            spots.append(np.array(had[:many], dtype=np.uint64))
        spot = np.concatenate(spots)
        order = np.argsort(spot, kind="stable")
        self.spot = spot[order]
        self.whose = np.repeat(np.arange(len(spots)), [len(each) for each in spots])[order]

    def owner(self, spots):
        """Indexes of the owners of points on the circle."""
        return self.whose[np.searchsorted(self.spot, spots) % len(self.spot)]

    def shares(self) -> dict[str, float]:
        """Of the circle, by name."""
        arcs = np.diff(self.spot, prepend=self.spot[-1]).astype(float) / 2.0**64  # wraps round the end
        return dict(zip(self.names, np.bincount(self.whose, arcs, len(self.names)), strict=True))

    def moved(self, new: "Circle") -> float:
        """The share of the circle whose owner differs in `new`."""
        ends = np.unique(np.concatenate([self.spot, new.spot]))
        arcs = np.diff(ends, prepend=ends[-1]).astype(float) / 2.0**64
        place = {name: n for n, name in enumerate(new.names)}
        renamed = np.array([place.get(name, -1) for name in self.names])
        return float(arcs[renamed[self.owner(ends)] != new.owner(ends)].sum())


def key_spots(seed: int, many: int) -> np.ndarray:
    """The hashes of the seed's first keys."""
    return np.array([hash_number(b"%d/%d" % (seed, n)) for n in range(many)], dtype=np.uint64)


def first_owners(ring: Ring, spots: np.ndarray) -> np.ndarray:
    """Places in the ring's members: what ring.owners says, for many keys at once."""
    salts = np.array([hash_number(member.name.encode()) for member in ring.members], dtype=np.uint64)
    turns = np.array([-1 / member.capacity for member in ring.members])
    found = []
    for part in np.array_split(spots, max(1, len(spots) * len(salts) // 2_000_000)):
        x = part[:, None] ^ salts[None, :]
        x = (x ^ x >> np.uint64(30)) * np.uint64(0xBF58476D1CE4E5B9)
        x = (x ^ x >> np.uint64(27)) * np.uint64(0x94D049BB133111EB)
        found.append((np.log(((x ^ x >> np.uint64(31)) + 0.5) * 2.0**-64) * turns).argmin(axis=1))
    return np.concatenate(found)


def fullest(shares: dict[str, float], fair: dict[str, RingMember]) -> float:
    """The largest share of an agent, over what its capacity asks for."""
    total = sum(member.capacity for member in fair.values())
    return max(share * total / fair[name].capacity for name, share in shares.items())


def copies_moved(rings: list[Ring], n=3) -> float:
    """The share of copies, n a key, that come to another agent, summed over the rings' changes."""
    keys, sum_ = [b"s/%d" % each for each in range(COPIED)], 0
    for old, new in pairwise(rings):
        sum_ += sum(len(set(owners(new, key, n)) - set(owners(old, key, n))) for key in keys)
    return sum_ / (n * COPIED)


def measure(variant: str, seed: int, agents: int = 10, event: str = "join") -> dict:
    """One row. `variant`: "cartdeal", "circle" or "undamped"; `event`: one of EVENTS.

    `moved_over_least`: first owners moved, over the least that must move from begin to end (under 1: the ring
    did not give an agent its share); of flapping and wobble, which end where they began, over the least of
    their first change alone (nought moved is 0, flapping that is followed each time is 60).
    `fullest_over_fair`: the fullest agent's share at the end, over what its capacity asks for;
    `fullest_of_keys`: the same for KEYS real keys, beside `fullest_by_chance`, what exact dice give.
    `copies_over_least`: copies (3 a key) moved, over the same least ("" where rings are many or have no zones
    to spread them over). `epochs`: changes of the ring.
    """
    timeline = build_timeline(event, fleet(seed, agents), seed)
    begin, end = timeline[0][1], timeline[-1][1]
    floor = minimal_movement(ring_of(begin), ring_of(timeline[1][1]))
    rings = damped(timeline) if variant == "cartdeal" else at_once(timeline)
    spots, copies = key_spots(seed, KEYS), ""
    if variant == "circle":
        known, seen = {}, {ring.members: ring for ring in rings}
        circle = cache(lambda members: Circle(seen[members], known))
        between = cache(lambda old, new: circle(old).moved(circle(new)))
        went = sum(between(old.members, new.members) for old, new in pairwise(rings))
        shares, held = circle(rings[-1].members).shares(), circle(rings[-1].members).owner(spots)
    else:
        went = sum(moved_share(old, new) for old, new in pairwise(rings))
        shares = {member.name: member.capacity / rings[-1].capacity for member in rings[-1].members}
        held = first_owners(rings[-1], spots)
        if len(rings) <= 10:
            copies = round(copies_moved(rings) / floor, 3)
    names = rings[-1].names
    counted = dict(zip(names, np.bincount(held, minlength=len(names)) / KEYS, strict=True))
    fair = [end[name].capacity for name in names]
    thrown = np.random.default_rng(seed).multinomial(KEYS, np.array(fair) / sum(fair)) / KEYS
    return {
        "variant": variant,
        "seed": seed,
        "agents": agents,
        "event": event,
        "moved_over_least": round(went / floor, 3),
        "fullest_over_fair": round(fullest(shares, end), 3),
        "fullest_of_keys": round(fullest(counted, end), 3),
        "fullest_by_chance": round(fullest(dict(zip(names, thrown, strict=True)), end), 3),
        "copies_over_least": copies,
        "epochs": len(rings) - 1,
    }
