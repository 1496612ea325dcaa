"""The ring of one epoch: its members, the schema version that they write, and what makes a ring valid.

The module is pure and owns no ring that is in force (cartdeal.fleet.consensus does). It must never order
anything by `hash()` or a set: agents with the same ring must name the same owners.
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
    """How far the fleet has come on its way to the next schema version."""

    STEADY = "steady"  # one version is written
    WIDEN = "widen"  # all agents know that the next step may come
    MOVE = "move"  # both versions are written, side by side
    NARROW = "narrow"  # the next version alone is written; there is no way back


PHASES = tuple(SchemaPhase)


class RingMember(Struct, frozen=True, array_like=True):
    """An agent's place in a ring."""

    name: str
    zone: str
    capacity: float  # in (0, 1e6], any unit, the same throughout the fleet


class Ring(Struct, frozen=True, array_like=True, dict=True):
    """The members of one epoch and the schema version that they write."""

    epoch: int
    members: tuple[RingMember, ...]  # sorted by name
    written_version: int = 1  # the schema version that the fleet writes
    phase: str = SchemaPhase.STEADY  # text, so that one that is not known is refused by is_valid_ring
    founded_ms: int = 0  # wall time at which the first ring was proposed, the same in all that follow

    @cached_property
    def names(self) -> tuple[str, ...]:
        """The members' names, in order."""
        return tuple(member.name for member in self.members)

    @cached_property
    def member_by_name(self) -> dict[str, RingMember]:
        """The members under their names."""
        return {member.name: member for member in self.members}

    @cached_property
    def capacity(self) -> float:
        """The sum of the members' capacities."""
        return sum(member.capacity for member in self.members)

    @property
    def majority(self) -> int:
        """How many members are a majority."""
        return len(self.members) // 2 + 1

    @cached_property
    def digest(self) -> bytes:
        """16 bytes; equal for rings that are equal in all their fields."""
        return blake2b(msgspec.msgpack.encode(self), digest_size=DIGEST_BYTES).digest()

    @cached_property
    def placement(self) -> RendezvousHash:
        """The placement of keys on the members, with its cache."""
        return RendezvousHash(self)


def is_valid_ring(ring: Ring, max_members: int) -> bool:
    """Whether a ring that came from outside can be used."""
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
    """Whether a member's name, zone and capacity are within their limits."""
    return (
        0 < len(member.name) <= MAX_NAME_LENGTH
        and len(member.zone) <= MAX_NAME_LENGTH
        and 0 < member.capacity <= MAX_CAPACITY  # NaN is not over 0
    )
