"""The ring of one epoch: its members, the schema version that they write, and the check of a ring's validity.

The module has no state; cartdeal.fleet.consensus holds the current ring. It must never order anything by
`hash()` or by a set's order, because agents with the same ring must compute the same owners.
"""

from enum import StrEnum
from functools import cached_property
from hashlib import blake2b
from itertools import pairwise

import msgspec
from msgspec import Struct

from cartdeal.fleet.ring.placement import RendezvousHash

MAX_EPOCH = 1 << 40
MAX_SCHEMA_VERSION = 1 << 20
MAX_WALL_MS = 1 << 53
MAX_CAPACITY = 1e6
MAX_NAME_LENGTH = 100  # characters of a member's name or zone
DIGEST_BYTES = 16


class SchemaPhase(StrEnum):
    """The phase of the fleet's migration to the next schema version."""

    STEADY = "steady"  # one version is written and no migration runs
    WIDEN = "widen"  # all agents know that the phase MOVE may follow
    MOVE = "move"  # both versions are written, side by side
    NARROW = "narrow"  # only the next version is written; the migration can't be reverted


PHASES = tuple(SchemaPhase)


class RingMember(Struct, frozen=True, array_like=True):
    """An agent as a member of a ring."""

    name: str
    zone: str
    capacity: float  # in (0, 1e6], in any unit that the whole fleet shares


class Ring(Struct, frozen=True, array_like=True, dict=True):
    """The members of one epoch and the schema version that they write."""

    epoch: int
    members: tuple[RingMember, ...]  # sorted by name
    written_version: int = 1  # the schema version that the fleet writes
    phase: str = SchemaPhase.STEADY  # text, so that is_valid_ring can reject an unknown phase
    founded_ms: int = 0  # wall time at which the first ring was proposed; later rings copy it

    @cached_property
    def names(self) -> tuple[str, ...]:
        """The members' names, in the order of `members`."""
        return tuple(member.name for member in self.members)

    @cached_property
    def member_by_name(self) -> dict[str, RingMember]:
        """The members by name."""
        return {member.name: member for member in self.members}

    @cached_property
    def capacity(self) -> float:
        """The sum of the members' capacities."""
        return sum(member.capacity for member in self.members)

    @property
    def majority(self) -> int:
        """The number of members that form a majority."""
        return len(self.members) // 2 + 1

    @cached_property
    def digest(self) -> bytes:
        """The ring's BLAKE2b digest (16 bytes), equal for rings that are equal in all fields."""
        return blake2b(msgspec.msgpack.encode(self), digest_size=DIGEST_BYTES).digest()

    @cached_property
    def placement(self) -> RendezvousHash:
        """The placement of keys on the members, with its cache of owners."""
        return RendezvousHash(self)


def is_valid_ring(ring: Ring, max_members: int) -> bool:
    """Return whether a received ring is usable: fields in range, members sorted, at most `max_members`."""
    return (
        0 < ring.epoch < MAX_EPOCH
        and 0 < len(ring.members) <= max_members
        and ring.phase in PHASES
        and 0 <= ring.written_version < MAX_SCHEMA_VERSION
        and 0 <= ring.founded_ms < MAX_WALL_MS
        and all(before < after for before, after in pairwise(ring.names))
        and all(is_valid_member(member) for member in ring.members)
    )


def is_valid_member(member: RingMember) -> bool:
    """Return whether a member's name, zone and capacity are within their limits."""
    return (
        0 < len(member.name) <= MAX_NAME_LENGTH
        and len(member.zone) <= MAX_NAME_LENGTH
        and 0 < member.capacity <= MAX_CAPACITY  # NaN is not greater than 0
    )
