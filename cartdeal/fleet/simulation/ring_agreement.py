"""The invariants of rings: one ring for each epoch, agreed on by a majority, and reached by allowed steps.

The checker learns of rings from the consensus messages on the network alone.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from cartdeal.fleet.consensus import messages
from cartdeal.fleet.replication import migration
from cartdeal.fleet.ring.movement import minimal_movement
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.ring.steps import apply_step
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.simulation.agent_history import AgentHistory

CONSENSUS_TAG_PREFIX = "e."
SAMPLED_KEY_COUNT = 300  # keys whose owners are compared when a ring changes
SAMPLING_TOLERANCE_SHARE = 0.06  # tolerated share of the sampled keys, as so few are sampled
PROGRAM_ANNOUNCEMENT_S = 5.0  # after a restart, in which the ring may not know the agent's program yet
NEXT_PHASES = {  # within a version; no step back leads from "narrow"
    "steady": ("steady", "widen"),
    "widen": ("widen", "move", "steady"),
    "move": ("move", "narrow", "widen"),
    "narrow": ("narrow",),
}


class RingAgreementChecker:
    """Rings by their digests, the members that voted for them, and the agents that use them."""

    def __init__(self, settings: FleetSettings, history: AgentHistory, report: Callable[[str], None]):
        self.history = history
        self.report = report
        seeds = tuple(RingMember(name, "", 1.0) for name in sorted(settings.seeds))
        initial = Ring(0, seeds)
        self.rings: dict[bytes, Ring] = {initial.digest: initial}
        self.previous_digests: dict[bytes, bytes] = {}  # ring -> the ring that it follows
        self.ballots: dict[tuple[bytes, int, str], bytes] = {}  # (previous ring, number, proposer) -> ring
        self.voters: dict[bytes, dict[str, None]] = defaultdict(dict)
        self.adopted_at: dict[bytes, float] = {}  # ring -> when the first agent used it
        self.digest_by_agent: dict[str, bytes] = {}
        # ring -> agent -> when it last announced the ring
        self.last_announced: dict[bytes, dict[str, float]] = defaultdict(dict)
        self.newest_founding_ms = 0
        self.digest_by_epoch: dict[tuple[int, int], bytes] = {}  # (founding, epoch) -> ring

    def ring_of(self, agent: str) -> Ring | None:
        """The ring that an agent uses by its latest message; None if it is not known."""
        return self.rings.get(self.digest_by_agent.get(agent, b""))

    def on_message_sent(self, at: float, sender: str, recipient: str, message: Any) -> None:
        """Records the ring, the vote and the sender's current ring in a consensus message."""
        if isinstance(message, messages.RingSnapshot):
            self.rings.setdefault(message.previous_ring.digest, message.previous_ring)
            self._add_ring(message.previous_ring.digest, message.step)
            return
        if isinstance(message, messages.RingUpdate):
            self._add_ring(message.step.previous_digest, message.step)
            return
        if isinstance(message, messages.Accept):
            ring = self._add_ring(message.ring_digest, message.step)
            if ring:
                self.ballots[message.ring_digest, message.number, sender] = ring.digest
                self.voters[ring.digest][sender] = None
        elif isinstance(message, messages.Accepted):
            ballot = (message.ring_digest, message.number, recipient)
            self.voters[self.ballots.get(ballot, b"")][sender] = None
        if message.epoch:
            self.digest_by_agent[sender] = message.ring_digest
            self.last_announced[message.ring_digest][sender] = at
            if message.ring_digest not in self.adopted_at:
                self._on_ring_adopted(at, sender, message.epoch, message.ring_digest)

    def _add_ring(self, previous_digest: bytes, step: Any) -> Ring | None:
        if previous_digest not in self.rings:
            return None
        ring = apply_step(self.rings[previous_digest], step)
        self.rings[ring.digest] = ring
        self.previous_digests.setdefault(ring.digest, previous_digest)
        return ring

    def _on_ring_adopted(self, at: float, agent: str, epoch: int, digest: bytes) -> None:
        """Checks a ring when the first agent adopts it."""
        self.adopted_at[digest] = at
        self._check_conflicts(agent, epoch, digest)
        ring, previous = self.rings.get(digest), self.rings.get(self.previous_digests.get(digest, b""))
        if ring is None or previous is None:
            return
        voters = [name for name in self.voters[digest] if name in previous.member_by_name]
        size = len(previous.members)
        if 2 * len(voters) <= size and size > 1:
            self.report(f"epoch {epoch}: accepted by {len(voters)} of {size}, at {agent}")
        self._check_phase(at, previous, ring)
        if previous.epoch:
            self._check_movement(previous, ring)

    def _check_conflicts(self, agent: str, epoch: int, digest: bytes) -> None:
        """Checks that there is only one fleet, and only one ring in each epoch."""
        founding_ms = self.rings[digest].founded_ms if digest in self.rings else 0
        self.newest_founding_ms = max(self.newest_founding_ms, founding_ms)
        if founding_ms < self.newest_founding_ms:
            self.report(f"epoch {epoch}: two fleets, the older one at {agent}")
        conflicting = self.digest_by_epoch.get((founding_ms, epoch))
        if conflicting and not self._is_forgotten(conflicting):
            self.report(f"epoch {epoch}: two rings, the second at {agent}")
        self.digest_by_epoch[founding_ms, epoch] = digest

    def _is_forgotten(self, digest: bytes) -> bool:
        """Whether all agents that used a ring have ended since, so that nobody remembers its agreement."""
        last_announced = self.last_announced[digest]
        return all(self.history.has_ended_since(agent, last) for agent, last in last_announced.items())

    def _check_phase(self, at: float, previous: Ring, ring: Ring) -> None:
        """Checks that schema phases follow in order, and that enough members can read a raised version."""
        old, new = (previous.written_version, previous.phase), (ring.written_version, ring.phase)
        if old == new or not previous.epoch:
            return
        target = previous.written_version + 1
        step = f"epoch {ring.epoch}: from {old[0]} {old[1]} to {new[0]} {new[1]}"
        within_version = new[0] == old[0] and new[1] in NEXT_PHASES[old[1]]
        to_next_version = new == (target, "steady") and old[1] == "narrow"
        if not (within_version or to_next_version):
            self.report(f"{step}: no such step")
            return
        if (new[1], old[1]) in (("steady", "widen"), ("widen", "move")):
            return  # a step back needs no reader of the next version
        able = [name for name in previous.names if self._can_read(name, target, at)]
        size = len(previous.members)
        needed = size if new[1] == "narrow" else size // 2 + 1
        if len(able) < needed:
            self.report(f"{step}: {len(able)} of {size} can read {target}")

    def _can_read(self, agent: str, version: int, at: float) -> bool:
        recently_started = at - self.history.starts[agent][-1] < PROGRAM_ANNOUNCEMENT_S
        return self.history.readable_versions[agent][1] >= version or recently_started

    def _check_movement(self, previous: Ring, ring: Ring) -> None:
        """Checks that keys move only from or to members that changed, and few more than necessary."""
        moved = 0
        for number in range(SAMPLED_KEY_COUNT):
            key = f"s/{number}".encode()
            old_owner, new_owner = owners(previous, key, 1)[0], owners(ring, key, 1)[0]
            if old_owner == new_owner:
                continue
            moved += 1
            if all(
                previous.member_by_name.get(name) == ring.member_by_name.get(name)
                for name in (old_owner, new_owner)
            ):
                self.report(f"epoch {ring.epoch}: a key moved from {old_owner} to {new_owner}, which stayed")
                return
        share = minimal_movement(previous, ring)
        if moved / SAMPLED_KEY_COUNT > 2 * share / (1 + share) + SAMPLING_TOLERANCE_SHARE:
            self.report(
                f"epoch {ring.epoch}: {moved / SAMPLED_KEY_COUNT:.2f} of the keys moved, {share:.2f} had to"
            )

    def governing_versions(self) -> list[tuple[float, int]]:
        """The versions whose rules governed leases, as (since when, version), by the newest rings."""
        versions, newest_epoch = [(0.0, 1)], 0
        for digest, at in self.adopted_at.items():
            ring = self.rings.get(digest)
            if ring and ring.epoch > newest_epoch:
                newest_epoch = ring.epoch
                version = migration.governing_version(ring.written_version, ring.phase)
                if version != versions[-1][1]:
                    versions.append((at, version))
        return versions
