"""Placement of keys on a ring's members by weighted rendezvous hashing.

The placement must never move a key whose owners needn't change. It must never order anything by `hash()` or
by a set's order, because agents with the same ring must compute the same owners.
"""

from hashlib import blake2b
from itertools import pairwise
from math import log
from struct import unpack
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cartdeal.fleet.ring.ring import Ring

MAX_CACHED_KEYS = 8192  # the size of a ring's cache of owners; the oldest entry is evicted first
HASH_MASK = (1 << 64) - 1
# The bits of each member in the long integer in `scores`: 64 for its hash, and 64 for the high half of a
# product.
LANE_BITS = 128


def owners(ring: "Ring", key: bytes, count: int) -> tuple[str, ...]:
    """Return the names of a key's owners, the first owner first.

    After the first owner come the members with the lowest score in each other zone, then the remaining
    members by score. There are fewer than `count` owners only if the ring has fewer members.
    """
    return ring.placement.owners(key, count)


def hash_number(message: bytes) -> int:
    """Return a 64-bit BLAKE2b hash as a number."""
    return int.from_bytes(blake2b(message, digest_size=8).digest(), "little")


class RendezvousHash:
    """Assigns owners to keys in one ring by weighted rendezvous hashing.

    A member's score for a key is -ln(u) / capacity, where u in (0, 1) is computed from the hash of key and
    name. The members with the lowest scores own the key (Thaler & Ravishankar 1998; with the logarithm:
    Schindelhauer & Schomaker 2005). A member's score depends on no other member, so a change of one member
    moves keys only to it or from it.
    """

    def __init__(self, ring: "Ring") -> None:
        zones = sorted({member.zone for member in ring.members})
        members = [member for zone in zones for member in ring.members if member.zone == zone]
        self.names = [member.name for member in members]
        self._score_factors = [-1 / member.capacity for member in members]
        self._lane_ones = sum(1 << LANE_BITS * lane for lane in range(len(members)))
        self._lane_masks = self._lane_ones * HASH_MASK
        self._name_hashes = sum(
            hash_number(member.name.encode()) << LANE_BITS * lane for lane, member in enumerate(members)
        )
        ends = [index for index in range(1, len(members)) if members[index].zone != members[index - 1].zone]
        self._zone_bounds = list(pairwise([0, *ends, len(members)]))
        self._cache: dict[tuple[bytes, int], tuple[str, ...]] = {}

    def owners(self, key: bytes, count: int) -> tuple[str, ...]:
        """Return the names of a key's owners, from the cache if possible."""
        owner_names = self._cache.get((key, count))
        if owner_names is None:
            if len(self._cache) >= MAX_CACHED_KEYS:
                del self._cache[next(iter(self._cache))]
            owner_names = self._cache[key, count] = self.compute_owners(key, count)
        return owner_names

    def compute_owners(self, key: bytes, count: int) -> tuple[str, ...]:
        """Compute the names of a key's owners.

        They are the member with the lowest score of each zone, then the rest, by score.
        """
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
        """Return the score of each member, sorted by zone and name.

        One long integer holds the 64-bit hashes of all members, 128 bits apart. Mixing them (with Stafford's
        13th variant, as the balancer does) thus takes only a few operations on long integers.
        """
        masks = self._lane_masks
        x = self._name_hashes ^ hash_number(key) * self._lane_ones
        x = ((x ^ x >> 30) & masks) * 0xBF58476D1CE4E5B9 & masks
        x = ((x ^ x >> 27) & masks) * 0x94D049BB133111EB & masks
        hash_bytes = ((x ^ x >> 31) & masks).to_bytes(16 * len(self._score_factors), "little")
        return [
            log((u + 0.5) * 2.0**-64) * score_factor
            for u, score_factor in zip(
                unpack(f"<{len(hash_bytes) // 8}Q", hash_bytes)[::2], self._score_factors, strict=True
            )
        ]
