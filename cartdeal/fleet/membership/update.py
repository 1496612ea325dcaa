"""The rules by which gossip changes the peer table.

A higher incarnation overrides a lower one; of equal incarnations, the higher version counts; of equal
versions, the worse state. There are two differences from SWIM. Gossip that a peer is dead counts only as an
accusation by the accusers that it names. An agent must never believe another agent about its own name.
"""

from msgspec.structs import replace

from cartdeal.fleet import events
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.errors import DuplicateNameError
from cartdeal.fleet.membership.failure_detector import FailureDetector
from cartdeal.fleet.membership.gossip import Gossip
from cartdeal.fleet.membership.local_health import LocalHealth
from cartdeal.fleet.membership.messages import GossipItem, Peer, PeerState
from cartdeal.fleet.membership.peer_table import PeerTable
from cartdeal.fleet.membership.suspicion import SuspicionTracker
from cartdeal.fleet.membership.verification import PeerVerifier
from cartdeal.fleet.metrics import Metric


class TableUpdater:
    """Applies gossip about peers and about this agent itself."""

    def __init__(
        self,
        context: NodeContext,
        table: PeerTable,
        gossip: Gossip,
        health: LocalHealth,
        suspicion: SuspicionTracker,
        detector: FailureDetector,
        verifier: PeerVerifier,
    ):
        self.context = context
        self.table = table
        self.gossip = gossip
        self.health = health
        self.suspicion = suspicion
        self.detector = detector
        self.verifier = verifier
        self.error: DuplicateNameError | None = None  # the last duplicate name reported
        self.highest_reported_incarnation: int = 0  # for this agent's name, by peers

    def apply_gossip(self, item: GossipItem) -> None:
        """Apply one gossip item; its accusers count if it reports the peer as suspect or dead."""
        peer = item.peer
        if peer.name == self.table.name:
            self.apply_to_self(peer)
            return
        if not self._apply_description(peer):
            return
        if (
            peer.state in (PeerState.SUSPECT, PeerState.DEAD)
            and self.table.peers[peer.name].state < PeerState.DEAD
        ):
            self.suspicion.suspect(peer.name, item.accusers)

    def apply_to_self(self, reported_peer: Peer) -> None:
        """Refute a false report about this agent, and detect another agent under the same name."""
        local_peer = self.table.local_peer
        if reported_peer.incarnation < local_peer.incarnation:
            self.context.increment(Metric.DROPPED_OLD_INCARNATION)
            return
        is_same_agent = (reported_peer.address, reported_peer.zone) == (local_peer.address, local_peer.zone)
        if not is_same_agent:
            self._report_duplicate_name(local_peer, reported_peer)
        if reported_peer.incarnation > local_peer.incarnation:
            self.highest_reported_incarnation = max(
                self.highest_reported_incarnation, reported_peer.incarnation
            )
            return
        is_accused = reported_peer.state != PeerState.ALIVE
        is_overridden = reported_peer.version > local_peer.version or (
            reported_peer.version == local_peer.version and is_accused
        )
        if is_same_agent and local_peer.state == PeerState.ALIVE and is_overridden:
            if is_accused:
                self.health.degrade()
                self.context.increment(Metric.REFUTATIONS)
            self.refute(reported_peer.version)

    def refute(self, version: int) -> None:
        """Override all reports about this agent up to `version` by announcing the version after it."""
        self.replace_self(replace(self.table.local_peer, version=version + 1))

    def replace_self(self, local_peer: Peer) -> None:
        """Change this agent's description of itself, and announce it."""
        self.table.put(local_peer)
        self.gossip.announce(self.table.name)

    def _apply_description(self, peer: Peer) -> bool:
        """Store a peer's description if it is newer, and return whether its reported state still counts."""
        known_peer = self.table.peers.get(peer.name)
        if known_peer is None:
            # A dead or departed peer isn't added. Agents remove it at different times, so they would add it
            # again from each other's gossip for ever.
            if peer.state >= PeerState.DEAD or not self.table.make_room():
                return False
            self._add_peer(peer)
        elif peer.incarnation < known_peer.incarnation:
            self.context.increment(Metric.DROPPED_OLD_INCARNATION)
            return False
        elif (peer.incarnation, peer.version) > (known_peer.incarnation, known_peer.version):
            if peer.state == PeerState.DEAD and known_peer.state >= PeerState.DEAD:
                self.table.put(replace(peer, state=known_peer.state))
            else:
                self._add_peer(peer)
        elif peer.version < known_peer.version:
            return False
        elif peer.state == PeerState.LEFT and known_peer.state != PeerState.LEFT:
            self._add_peer(peer)
        return True

    def _add_peer(self, peer: Peer) -> None:
        """Replace a peer's entry by its newer description, and end any suspicion of it."""
        name, known_peer = peer.name, self.table.peers.get(peer.name)
        if known_peer and known_peer.state == PeerState.DEAD and known_peer.incarnation == peer.incarnation:
            self.suspicion.record_return(name)
        self.suspicion.end(name)
        self.table.forget_at.pop(name, None)
        self.verifier.remove(name)
        has_left = peer.state == PeerState.LEFT
        if has_left:
            self.table.retain(name, self.context.now)
        elif known_peer is None or known_peer.state > PeerState.SUSPECT:
            self.detector.insert_in_round(name)
        self.table.put(replace(peer, state=PeerState.LEFT if has_left else PeerState.ALIVE))
        self.gossip.announce(name)

    def _report_duplicate_name(self, local: Peer, other: Peer) -> None:
        observed = f"{local.address} in zone {local.zone!r}, {other.address} in zone {other.zone!r}"
        self.error = DuplicateNameError(self.table.name, observed)
        self.context.log_event(events.DuplicateName.of(self.error))
