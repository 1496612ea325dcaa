"""Placement of keys on a ring's members by weighted rendezvous hashing.

It must never move a key whose owners needn't change, and never order anything by `hash()` or a set: agents
with the same ring must name the same owners.
"""

from hashlib import blake2b
from itertools import pairwise
from math import log
from struct import unpack
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cartdeal.fleet.ring.ring import Ring

MAX_CACHED_KEYS = 8192  # keys whose owners a ring caches; the first in goes first out
HASH_MASK = (1 << 64) - 1
LANE_BITS = 128  # of the long integer in `scores`, for each member: 64 of its hash and as many for carries


def owners(ring: "Ring", key: bytes, count: int) -> tuple[str, ...]:
    """The names of a key's owners, first owner first.

    Of the next owners those of zones not used yet come first, by rank, then the rest by rank. There are fewer
    than `count` only where the ring has fewer members.
    """
    return ring.placement.owners(key, count)


def hash_number(message: bytes) -> int:
    """64 bits of BLAKE2b, as a number."""
    return int.from_bytes(blake2b(message, digest_size=8).digest(), "little")


class RendezvousHash:
    """Assigns owners to keys in one ring.

    A member's score for a key is -ln(u) / capacity, u in (0, 1) drawn from the hash of key and name; the
    lowest scores own the key (Thaler & Ravishankar 1998; by logarithm: Schindelhauer & Schomaker 2005). A
    member's score depends on no other member, so a change of one moves keys to or from that one alone.
    """

    def __init__(self, ring: "Ring") -> None:
        zones = sorted({member.zone for member in ring.members})
        members = [member for zone in zones for member in ring.members if member.zone == zone]
        self.names = [member.name for member in members]
        self._weights = [-1 / member.capacity for member in members]
        self._lane_ones = sum(1 << LANE_BITS * lane for lane in range(len(members)))
        self._lane_masks = self._lane_ones * HASH_MASK
        self._name_hashes = sum(
            hash_number(member.name.encode()) << LANE_BITS * lane for lane, member in enumerate(members)
        )
        ends = [index for index in range(1, len(members)) if members[index].zone != members[index - 1].zone]
        self._zone_bounds = list(pairwise([0, *ends, len(members)]))
        self._cache: dict[tuple[bytes, int], tuple[str, ...]] = {}

    def owners(self, key: bytes, count: int) -> tuple[str, ...]:
        """The names of a key's owners, from the cache where they are in it."""
        found = self._cache.get((key, count))
        if found is None:
            if len(self._cache) >= MAX_CACHED_KEYS:
                del self._cache[next(iter(self._cache))]
            found = self._cache[key, count] = self.compute_owners(key, count)
        return found

    def compute_owners(self, key: bytes, count: int) -> tuple[str, ...]:
        """The names of a key's owners: the best of each zone by score, then the rest by score."""
        scores = self.scores(key)
        best = [min(range(start, end), key=scores.__getitem__) for start, end in self._zone_bounds]
        best.sort(key=lambda index: (scores[index], self.names[index]))
        if len(best) < count:
            chosen = set(best)
            others = sorted(
                (score, self.names[index], index) for index, score in enumerate(scores) if index not in chosen
            )
            best += [index for _, _, index in others[: count - len(best)]]
        return tuple(self.names[index] for index in best[:count])

    def scores(self, key: bytes) -> list[float]:
        """The score of each member, by zone and name.

        One long integer holds all members' 64 bits, 128 apart, so that mixing them (as choice.py's `mixed`:
        Stafford's 13th variant) takes a few long operations.
        """
        masks = self._lane_masks
        x = self._name_hashes ^ hash_number(key) * self._lane_ones
        x = ((x ^ x >> 30) & masks) * 0xBF58476D1CE4E5B9 & masks
        x = ((x ^ x >> 27) & masks) * 0x94D049BB133111EB & masks
        bits = ((x ^ x >> 31) & masks).to_bytes(16 * len(self._weights), "little")
        return [
            log((u + 0.5) * 2.0**-64) * weight
            for u, weight in zip(unpack(f"<{len(bits) // 8}Q", bits)[::2], self._weights, strict=True)
        ]
