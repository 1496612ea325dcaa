"""Which agents keep which keys: seats, owners by weighted rendezvous, steps to another ring, damping.

It is pure and owns no ring that is in force (epochs.py does). It must never move a key whose owners needn't
change, and never order anything by `hash()` or a set: agents with the same ring must name the same owners.
"""

from functools import cached_property
from hashlib import blake2b
from itertools import pairwise
from math import log
from struct import unpack

import msgspec
from msgspec import Struct

PHASES = ("steady", "widen", "move", "narrow")
MAX_EPOCH = 1 << 40
MAX_CAPACITY = 1e6
MAX_NAME_LENGTH = 100
MAX_CACHED_KEYS = 8192  # keys whose owners a ring remembers; the first in goes first out
HALF = 0.5  # of what a seat is to have, an agent takes on at most so much in one epoch, then the rest
MASK = (1 << 64) - 1
LANE = 128


class RingMember(Struct, frozen=True, array_like=True):
    """An agent's place in a ring; `capacity` in (0, 1e6], any unit, the same throughout the fleet."""

    name: str
    zone: str
    capacity: float


class Ring(Struct, frozen=True, array_like=True, dict=True):
    """`members` sorted by name; `written_version`: the schema version the fleet writes;
    `phase`: one of PHASES; `founded_ms`: the wall time at which the first ring
    was proposed, the same in all that follow."""

    epoch: int
    members: tuple[RingMember, ...]
    written_version: int = 1
    phase: str = "steady"
    founded_ms: int = 0

    @cached_property
    def names(self) -> tuple[str, ...]:
        return tuple(seat.name for seat in self.members)

    @cached_property
    def member_by_name(self) -> dict[str, RingMember]:
        return {seat.name: seat for seat in self.members}

    @cached_property
    def capacity(self) -> float:
        return sum(seat.capacity for seat in self.members)

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    @cached_property
    def digest(self) -> bytes:
        return blake2b(msgspec.msgpack.encode(self), digest_size=16).digest()

    @cached_property
    def placement(self) -> "RendezvousHash":
        return RendezvousHash(self)


def digest(ring: Ring) -> bytes:
    """16 bytes; equal for rings that are equal in epoch, seats, written and phase."""
    return ring.digest


def is_valid_ring(ring: Ring, most: int) -> bool:
    """Whether a ring that came from outside can be used; `most`: seats at most."""
    names = [seat.name for seat in ring.members]
    return (
        0 < ring.epoch < MAX_EPOCH
        and 0 < len(names) <= most
        and ring.phase in PHASES
        and 0 <= ring.written_version < 1 << 20
        and 0 <= ring.founded_ms < 1 << 53
        and all(a < b for a, b in pairwise(names))
        and all(
            0 < len(seat.name) <= MAX_NAME_LENGTH
            and len(seat.zone) <= MAX_NAME_LENGTH
            and 0 < seat.capacity <= MAX_CAPACITY
            for seat in ring.members
        )
    )  # NaN is not over 0


# Owners


def hash_number(message: bytes) -> int:
    return int.from_bytes(blake2b(message, digest_size=8).digest(), "little")


class RendezvousHash:
    """Draws a key's owners in one ring: a seat's wait is -ln(u) / capacity, u from key and name; the
    shortest waits own the key (Thaler & Ravishankar 1998; by logarithm: Schindelhauer & Schomaker 2005).

    A seat's wait depends on no other seat, so a change of one moves keys to or from that one alone.
    """

    def __init__(self, ring: Ring):
        zones = sorted({seat.zone for seat in ring.members})
        seats = [seat for zone in zones for seat in ring.members if seat.zone == zone]
        self.names = [seat.name for seat in seats]
        self.turns = [-1 / seat.capacity for seat in seats]
        self.ones = sum(1 << LANE * place for place in range(len(seats)))
        self.salts = sum(hash_number(seat.name.encode()) << LANE * place for place, seat in enumerate(seats))
        self.low = self.ones * MASK
        ends = [place for place in range(1, len(seats)) if seats[place].zone != seats[place - 1].zone]
        self.zones = list(pairwise([0, *ends, len(seats)]))
        self.known: dict[tuple[bytes, int], tuple[str, ...]] = {}

    def owners(self, key: bytes, n: int) -> tuple[str, ...]:
        found = self.known.get((key, n))
        if found is None:
            if len(self.known) >= MAX_CACHED_KEYS:
                del self.known[next(iter(self.known))]
            found = self.known[key, n] = self.compute_owners(key, n)
        return found

    def compute_owners(self, key, n):
        waits = self.waits(key)
        best = [min(range(start, end), key=waits.__getitem__) for start, end in self.zones]
        best.sort(key=lambda place: (waits[place], self.names[place]))
        if len(best) < n:
            rest = set(best)
            more = sorted(
                (wait, self.names[place], place) for place, wait in enumerate(waits) if place not in rest
            )
            best += [place for _, _, place in more[: n - len(best)]]
        return tuple(self.names[place] for place in best[:n])

    def waits(self, key: bytes) -> list[float]:
        """Of each seat, by zone and name. One whole number holds all seats' 64 bits, 128 apart, so that
        spreading them (as choice.py's `mixed`: Stafford's 13th) takes a few long operations."""
        low, x = self.low, self.salts ^ hash_number(key) * self.ones
        x = ((x ^ x >> 30) & low) * 0xBF58476D1CE4E5B9 & low
        x = ((x ^ x >> 27) & low) * 0x94D049BB133111EB & low
        bits = ((x ^ x >> 31) & low).to_bytes(16 * len(self.turns), "little")
        return [
            log((u + 0.5) * 2.0**-64) * turn
            for u, turn in zip(unpack(f"<{len(bits) // 8}Q", bits)[::2], self.turns, strict=True)
        ]


def owners(ring: Ring, key: bytes, n: int) -> tuple[str, ...]:
    """The names that keep a key, first owner first; of the next ones those of zones not used yet come first,
    by rank, then the rest by rank. Fewer than `n` names only where the ring has fewer seats."""
    return ring.placement.owners(key, n)


# From one ring to another


def minimal_movement(old: Ring, new: Ring) -> float:
    """The share of keys that must change their first owner, whatever way owners are found (0 to 1)."""
    was, now = old.member_by_name, new.member_by_name
    return sum(
        max(0.0, seat.capacity / new.capacity - (was[name].capacity / old.capacity if name in was else 0.0))
        for name, seat in now.items()
    )


def moved_share(old: Ring, new: Ring) -> float:
    """The share of keys whose first owner changes (0 to 1), exactly, for ever so many keys.

    A key stays with i if i waits shortest in both rings: 1 / sum over j of max(w_j / w_i, v_j / v_i)
    (Moulton & Jiang 2018). Never over 2 * least / (1 + least), and least itself where one seat changes.
    """
    was, now = old.member_by_name, new.member_by_name
    gone = sum(seat.capacity for name, seat in was.items() if name not in now)
    come = sum(seat.capacity for name, seat in now.items() if name not in was)
    kept = sorted(
        (seat.capacity / was[name].capacity, was[name].capacity, seat.capacity)
        for name, seat in now.items()
        if name in was
    )
    before, after, same = gone, come + sum(new for _, _, new in kept), 0.0
    for _, had, has in kept:
        before, after = before + had, after - has
        same += 1 / (before / had + max(after, 0.0) / has)
    return max(0.0, 1 - same)


def plan(old: Ring, wanted: dict[str, RingMember], step_share: float) -> Ring:
    """The next ring on the way to `wanted` (not empty), or `old` itself when that is reached.

    Seats that are not wanted go at once: nobody is there to keep their keys. The rest moves no more than what
    is left of `step_share` of the keys, and a seat rises to half of what it is to have, then to the whole: an
    agent catches up with about half its keys in one epoch. It takes 3 + 4 / step_share epochs at most.
    """
    stay = tuple(seat for seat in old.members if seat.name in wanted)
    if not stay:
        return Ring(
            old.epoch + 1,
            tuple(wanted[name] for name in sorted(wanted)),
            old.written_version,
            old.phase,
            old.founded_ms,
        )
    left = old if len(stay) == len(old.members) else Ring(old.epoch, stay)
    room = max(step_share, 0.01) - (1 - left.capacity / old.capacity)

    def toward(part):
        seats = []
        for name in sorted(wanted):
            had, seat = left.member_by_name.get(name), wanted[name]
            had = had.capacity if had else 0.0
            goal = seat.capacity if had >= HALF * seat.capacity else HALF * seat.capacity
            now = goal if part == 1 else had + part * (goal - had)
            if now > 0:
                seats.append(RingMember(name, seat.zone, now))
        return Ring(old.epoch + 1, tuple(seats), old.written_version, old.phase, old.founded_ms)

    new = toward(1)
    if moved_share(left, new) > room:
        low, high = 0.0, 1.0
        while room > 0 and (high - low > 0.01 * high):
            part = (low + high) / 2
            low, high = (part, high) if moved_share(left, toward(part)) <= room else (low, part)
        new = toward(low)
    return old if new.members == old.members else new


class RingStep(Struct, frozen=True, array_like=True):
    """A ring by what differs from the one before, whose digest is `previous_digest`: small
    where few members change."""

    epoch: int
    previous_digest: bytes
    removed: tuple[str, ...]
    members: tuple[RingMember, ...]  # those that are new or differ
    written_version: int
    phase: str
    founded_ms: int = 0  # in the first one


def step_between(old: Ring, new: Ring) -> RingStep:
    was = old.member_by_name
    return RingStep(
        new.epoch,
        old.digest,
        tuple(name for name in old.names if name not in new.member_by_name),
        tuple(seat for seat in new.members if was.get(seat.name) != seat),
        new.written_version,
        new.phase,
        0 if old.epoch else new.founded_ms,
    )


def apply_step(old: Ring, taken: RingStep) -> Ring:
    """The ring that `taken` leads to from `old`; ValueError where it doesn't start there."""
    if taken.previous_digest != old.digest:
        raise ValueError("a step from another ring")
    seats = old.member_by_name | {seat.name: seat for seat in taken.members}
    for name in taken.removed:
        seats.pop(name, None)
    return Ring(
        taken.epoch,
        tuple(seats[name] for name in sorted(seats)),
        taken.written_version,
        taken.phase,
        old.founded_ms if old.epoch else taken.founded_ms,
    )


# Damping


class Observation(Struct):
    """Since when an agent has been there without a break, by the same incarnation and about the same
    capacity."""

    incarnation: int
    capacity: float
    since: float


class Damper:
    """Says which seats are wanted, given who is live: what comes, goes or wobbles moves nothing.

    It counts only time in which it was called: an agent that was stopped hasn't watched the others meanwhile.
    It keeps no aim of its own, so two agents that see the same ring and peers never pull it to and fro.
    """

    def __init__(self, settings):
        self.share, self.wait = settings.damp_share, settings.damp_s
        self.watched, self.last = 0.0, None
        self.seen: dict[str, Observation] = {}
        self.missed: dict[str, float] = {}

    def wanted(self, live: dict, ring: Ring, now: float) -> dict[str, RingMember]:
        """Name -> seat. `live`: name -> what has .name, .zone, .capacity, .incarnation; `now` in seconds,
        local."""
        if self.last is not None:
            self.watched += max(0.0, min(now - self.last, self.wait / 4))
        self.last = now
        self.look(live, ring)
        wanted = {}
        for name, peer in live.items():
            steady = self.watched - self.seen[name].since >= self.wait
            seat = ring.member_by_name.get(name)
            if seat is None:
                if steady:
                    wanted[name] = RingMember(name, peer.zone, float(peer.capacity))
            elif steady and abs(peer.capacity - seat.capacity) > self.share * seat.capacity:
                wanted[name] = RingMember(name, peer.zone, float(peer.capacity))
            elif steady and peer.zone != seat.zone:
                wanted[name] = RingMember(name, peer.zone, seat.capacity)
            else:
                wanted[name] = seat
        for name, since in self.missed.items():
            if self.watched - since < self.wait:
                wanted[name] = ring.member_by_name[name]
        return wanted

    def look(self, live, ring):
        seen, missed = {}, {}
        for name, peer in live.items():
            sight = self.seen.get(name)
            if (
                not sight
                or sight.incarnation != peer.incarnation
                or abs(peer.capacity - sight.capacity) > self.share * sight.capacity
            ):
                sight = Observation(peer.incarnation, peer.capacity, self.watched)
            seen[name] = sight
        for name in ring.names:
            if name not in live:
                missed[name] = self.missed.get(name, self.watched)
        self.seen, self.missed = seen, missed


def absence_durations(damper: Damper) -> dict[str, float]:
    """Seconds for which each absent seat has been missed."""
    return {name: damper.watched - since for name, since in damper.missed.items()}
