"""Migration: the steps by which a running fleet goes from one schema version of its records to the next.

The module owns `next_step`, a pure function of a ring and of what is known of the live agents. It must never
let a step depend on the agent that proposes it: all that the next proposer needs is in the ring.

    written_version, phase      versions written      why
    1, steady                   1
    1, widen                    1                     all agents know that the next step may come
    1, move                     1 and 2               agents of both versions can read every record
    1, narrow                   2                     there is no way back from here
    2, steady                   2

This is the expand-and-contract pattern (parallel change); what each version's bytes are, says record_codec.
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from cartdeal.fleet.errors import SchemaDowngradeError, UnsupportedSchemaError
from cartdeal.fleet.ring.ring import Ring, SchemaPhase
from cartdeal.fleet.settings import FleetSettings

MAX_LIVE_STATE = 1  # of a peer's states, in order of growing suspicion: alive and suspected count as live


class SchemaStep(NamedTuple):
    """The version that the fleet writes, and how far it has come on the way to the next one."""

    written_version: int
    phase: str


class PeerSchema(Protocol):
    """What has to be known of a peer; membership's Peer has it."""

    @property
    def state(self) -> int:
        """The failure detector's state, MAX_LIVE_STATE at most where the peer counts as live."""

    @property
    def reads(self) -> tuple[int, int]:
        """The lowest and the highest schema version that its program reads."""

    @property
    def migrated_version(self) -> int:
        """The version that all records in its store are in."""


def written_versions(written_version: int, phase: str) -> tuple[int, ...]:
    """The versions that agents write in a step, ascending."""
    if phase == SchemaPhase.MOVE:
        return (written_version, written_version + 1)
    if phase == SchemaPhase.NARROW:
        return (written_version + 1,)
    return (written_version,)


def governing_version(written_version: int, phase: str) -> int:
    """The version that an agent has to read to be a member, and by whose rules limits are leased."""
    return written_versions(written_version, phase)[0]


def migrated_version(ring: Ring, unmigrated_count: int) -> int:
    """The version that all records of an agent's store are in, with so many yet to be rewritten."""
    versions = written_versions(ring.written_version, ring.phase)
    return versions[0] if unmigrated_count else versions[-1]


def next_step(ring: Ring, peers: Mapping[str, PeerSchema], settings: FleetSettings) -> SchemaStep:
    """The step of the epoch after `ring`: the same, one forward or one back.

    Whoever proposes next goes on where a proposer that died stopped. Two agents that see different peers may
    answer differently; the consensus on the ring's epoch decides.

    A step forward needs that every live agent reads the next version and that a majority of the members is
    live; the step to NARROW also needs that every member, live or not, has migrated its store. Until then
    there is a step back as soon as a live agent can't read the next version (also one that isn't a member,
    which may become one in the same epoch), or the operator holds the version.

    Args:
        ring: The ring in force.
        peers: What is known of agents by name, absent ones among them.
        settings: The proposer's settings; `hold_version` is the operator's.
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
        back = SchemaPhase.WIDEN if ring.phase == SchemaPhase.MOVE else SchemaPhase.STEADY
        return SchemaStep(ring.written_version, back)
    if ring.phase == SchemaPhase.MOVE:
        migrated = all(member is not None and member.migrated_version >= target for member in members)
        return SchemaStep(ring.written_version, SchemaPhase.NARROW) if migrated else current
    forward = SchemaPhase.WIDEN if ring.phase == SchemaPhase.STEADY else SchemaPhase.MOVE
    return SchemaStep(ring.written_version, forward)


def _all_live_read(peers: Mapping[str, PeerSchema], version: int) -> bool:
    return all(
        peer.reads[0] <= version <= peer.reads[1] for peer in peers.values() if peer.state <= MAX_LIVE_STATE
    )


def downgrade_error(ring: Ring, settings: FleetSettings) -> SchemaDowngradeError | None:
    """What to tell an operator who holds a version that the fleet has left for good; None if it hasn't.

    `next_step` doesn't raise it: a fleet that could agree on no further ring would lose more.
    """
    version = governing_version(ring.written_version, ring.phase)
    if 0 < settings.hold_version < version:
        observed = f"{settings.hold_version}, the fleet writes {version} alone"
        return SchemaDowngradeError(f"hold_version of {settings.name}", observed)
    return None


def unsupported_error(reads: tuple[int, int], ring: Ring) -> UnsupportedSchemaError | None:
    """Why an agent that reads the versions from `reads[0]` to `reads[1]` can't be a member; None if it can.

    The agent asks this of itself, too, and then answers no read. Its records aren't lost: whoever receives
    them decodes and merges them as ever.
    """
    version = governing_version(ring.written_version, ring.phase)
    if reads[0] <= version <= reads[1]:
        return None
    observed = f"reads versions {reads[0]} to {reads[1]}, the fleet writes {version}"
    return UnsupportedSchemaError("an agent's program", observed)
