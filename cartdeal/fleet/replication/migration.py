"""Migration: the steps by which a running fleet goes from one schema version of its records to the next.

This module owns `next_step`, a pure function of a ring and of the state of the live agents. A step must never
depend on the agent that proposes it: the ring holds all that the next proposer needs.

    written_version, phase      versions written      meaning
    1, steady                   1
    1, widen                    1                     all agents know that the next step may come
    1, move                     1 and 2               agents of both versions can read every record
    1, narrow                   2                     a step back is no longer possible
    2, steady                   2

This is the expand-and-contract pattern (parallel change). record_codec defines the bytes of each version.
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from cartdeal.fleet.errors import SchemaDowngradeError, UnsupportedSchemaError
from cartdeal.fleet.ring.ring import Ring, SchemaPhase
from cartdeal.fleet.settings import FleetSettings

MAX_LIVE_STATE = 1  # states are in order of growing suspicion; alive (0) and suspected (1) count as live


class SchemaStep(NamedTuple):
    """The version that the fleet writes, and its phase of the migration to the next version."""

    written_version: int
    phase: str


class PeerSchema(Protocol):
    """The attributes of a peer that `next_step` reads; implemented by Peer in membership."""

    @property
    def state(self) -> int:
        """The failure detector's state of the peer; at most MAX_LIVE_STATE if the peer counts as live."""

    @property
    def reads(self) -> tuple[int, int]:
        """The lowest and the highest schema version that the peer's program reads."""

    @property
    def migrated_version(self) -> int:
        """The schema version in which all records in the peer's store are written."""


def written_versions(written_version: int, phase: str) -> tuple[int, ...]:
    """The schema versions that agents write in a step, ascending."""
    if phase == SchemaPhase.MOVE:
        return (written_version, written_version + 1)
    if phase == SchemaPhase.NARROW:
        return (written_version + 1,)
    return (written_version,)


def governing_version(written_version: int, phase: str) -> int:
    """The version that an agent must be able to read to be a member; its rules also apply to limit leases."""
    return written_versions(written_version, phase)[0]


def migrated_version(ring: Ring, unmigrated_count: int) -> int:
    """The version in which all records of an agent's store are written.

    Args:
        ring: The ring in force.
        unmigrated_count: How many records of the store have yet to be rewritten.
    """
    versions = written_versions(ring.written_version, ring.phase)
    return versions[0] if unmigrated_count else versions[-1]


def next_step(ring: Ring, peers: Mapping[str, PeerSchema], settings: FleetSettings) -> SchemaStep:
    """The step of the epoch after `ring`: the same step, one step forward or one step back.

    If a proposer dies, the next one continues from the ring. Two agents that see different peers may get
    different results; the consensus on the ring's epoch decides between them.

    A step forward requires that every live agent reads the next version and that a majority of the members is
    live; the step to NARROW also requires that every member, live or not, has migrated its store. Before
    NARROW, the fleet steps back as soon as a live agent can't read the next version or the operator's
    `hold_version` is lower. This includes a live agent that isn't a member, as it may become one in the same
    epoch.

    Args:
        ring: The ring in force.
        peers: The state of all known agents by name, including absent ones.
        settings: The proposer's settings, with the operator's `hold_version`.
    """
    current = SchemaStep(ring.written_version, ring.phase)
    target = ring.written_version + 1
    members = [peers.get(member.name) for member in ring.members]
    live_count = sum(member is not None and member.state <= MAX_LIVE_STATE for member in members)
    if 2 * live_count <= len(members):
        return current
    if ring.phase == SchemaPhase.NARROW:
        return SchemaStep(target, SchemaPhase.STEADY)
    if not _all_live_read(peers, target) or 0 < settings.hold_version < target:
        previous_phase = SchemaPhase.WIDEN if ring.phase == SchemaPhase.MOVE else SchemaPhase.STEADY
        return SchemaStep(ring.written_version, previous_phase)
    if ring.phase == SchemaPhase.MOVE:
        is_migrated = all(member is not None and member.migrated_version >= target for member in members)
        return SchemaStep(ring.written_version, SchemaPhase.NARROW) if is_migrated else current
    next_phase = SchemaPhase.WIDEN if ring.phase == SchemaPhase.STEADY else SchemaPhase.MOVE
    return SchemaStep(ring.written_version, next_phase)


def _all_live_read(peers: Mapping[str, PeerSchema], version: int) -> bool:
    return all(
        peer.reads[0] <= version <= peer.reads[1] for peer in peers.values() if peer.state <= MAX_LIVE_STATE
    )


def downgrade_error(ring: Ring, settings: FleetSettings) -> SchemaDowngradeError | None:
    """The error for an operator who holds a version that the fleet can't return to; None if it can.

    `next_step` doesn't raise it: otherwise the fleet could agree on no further ring, which is worse.
    """
    version = governing_version(ring.written_version, ring.phase)
    if 0 < settings.hold_version < version:
        observed = f"{settings.hold_version}, the fleet writes version {version} only"
        return SchemaDowngradeError(f"hold_version of {settings.name}", observed)
    return None


def unsupported_error(reads: tuple[int, int], ring: Ring) -> UnsupportedSchemaError | None:
    """The error that keeps an agent from being a member; None if it can be one.

    The agent also checks itself, and answers no reads if there is an error. Its records aren't lost: agents
    that receive them decode and merge them as usual.

    Args:
        reads: The lowest and the highest schema version that the agent reads.
        ring: The ring in force.
    """
    version = governing_version(ring.written_version, ring.phase)
    if reads[0] <= version <= reads[1]:
        return None
    observed = f"reads versions {reads[0]} to {reads[1]}, the fleet writes {version}"
    return UnsupportedSchemaError("an agent's program", observed)
