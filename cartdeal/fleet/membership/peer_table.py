"""The peer table: every agent that this one knows, its state, and what each suspect is accused of."""

from collections.abc import Callable
from zlib import crc32

from msgspec import Struct
from msgspec.structs import replace

from cartdeal.fleet import events
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.membership.messages import GossipItem, Peer, PeerState
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings

DEAD_RETENTION_S = 60.0  # dead and departed peers are remembered so long: old gossip doesn't revive them
TABLE_BUCKETS = 16  # parts of the table that are compared and pushed by themselves


class Suspicion(Struct):
    """Who accuses a peer that is suspect or dead, and since when by this agent's clock (seconds)."""

    since: float
    accusers: list[str]


PublicState = tuple[int, float, tuple[int, int], str, int, int]


def bucket_of(name: str) -> int:
    """Return the part of the table that a name belongs to."""
    return crc32(name.encode()) % TABLE_BUCKETS


def public_state(peer: Peer | None) -> PublicState | None:
    """Return what the users of live_peers() depend on; None for a peer that is not live."""
    if peer is None or peer.state > PeerState.SUSPECT:
        return None
    return peer.incarnation, peer.capacity, peer.reads, peer.zone, peer.migrated_version, peer.state


class PeerTable:
    """All known peers by name, this agent included; bounded by `most_agents`.

    A peer is never removed but by forget(), which also tells the parts in `forget_callbacks`.
    """

    def __init__(self, context: NodeContext, settings: FleetSettings):
        self.context = context
        self.settings = settings
        self.name: str = context.name
        self.peers: dict[str, Peer] = {self.name: _describe_self(context, settings)}
        self.suspicions: dict[str, Suspicion] = {}  # of suspect and dead peers
        self.forget_at: dict[str, float] = {}  # of dead and departed peers: when they are forgotten
        self.view_version: int = 1  # raised where what live_peers() tells has changed
        self.forget_callbacks: list[Callable[[str], None]] = []
        self._live_peers: dict[str, Peer] | None = None  # cached; None after a change
        self._has_reported_full: bool = False

    @property
    def local_peer(self) -> Peer:
        """This agent's description of itself."""
        return self.peers[self.name]

    def live_peers(self) -> dict[str, Peer]:
        """Return all that are alive or suspect, this agent included, sorted by name.

        The caller must not write to it: the same mapping is returned until the table changes.
        """
        if self._live_peers is None:
            self._live_peers = {
                name: self.peers[name]
                for name in sorted(self.peers)
                if self.peers[name].state <= PeerState.SUSPECT
            }
        return self._live_peers

    def size(self) -> int:
        """Return the number of live peers, this agent included."""
        return len(self.live_peers())

    def others(self, worst_state: PeerState) -> list[str]:
        """Return the names of the other live peers whose state is `worst_state` or better."""
        return [
            name
            for name, peer in self.live_peers().items()
            if peer.state <= worst_state and name != self.name
        ]

    def gossip_item(self, name: str) -> GossipItem:
        """Return what is known of a peer, as it is passed on."""
        accusers = tuple(self.suspicions[name].accusers) if name in self.suspicions else ()
        return GossipItem(self.peers[name], accusers)

    def put(self, peer: Peer) -> None:
        """Add a peer, or replace what is known of it."""
        previous_peer = self.peers.get(peer.name)
        self.peers[peer.name] = peer
        self._live_peers = None
        self.view_version += public_state(previous_peer) != public_state(peer)

    def mark_dead(self, name: str, now: float) -> None:
        """Declare a peer dead; it is remembered for DEAD_RETENTION_S."""
        self.put(replace(self.peers[name], state=PeerState.DEAD))
        self.retain(name, now)

    def retain(self, name: str, now: float) -> None:
        """Remember a dead or departed peer for DEAD_RETENTION_S from now."""
        self.forget_at[name] = now + DEAD_RETENTION_S

    def forget_expired(self) -> None:
        """Forget the dead and departed peers whose time is over."""
        now = self.context.now
        for name in [name for name, at in self.forget_at.items() if at <= now]:
            self.forget(name)

    def forget(self, name: str) -> None:
        """Remove a peer and all that is known of it."""
        self.peers.pop(name, None)
        self.suspicions.pop(name, None)
        self.forget_at.pop(name, None)
        for callback in self.forget_callbacks:
            callback(name)

    def postpone(self, gap_s: float) -> None:
        """Move all deadlines by the time for which this agent was stopped."""
        for suspicion in self.suspicions.values():
            suspicion.since += gap_s
        for name in self.forget_at:
            self.forget_at[name] += gap_s

    def make_room(self) -> bool:
        """Return whether another peer may be added; forgets the oldest of the dead and departed for it."""
        if len(self.peers) < self.settings.most_agents:
            return True
        if self.forget_at:
            self.forget(min(self.forget_at, key=lambda name: (self.forget_at[name], name)))
            return True
        self.context.increment(Metric.DROPPED_NO_ROOM)
        if not self._has_reported_full:
            self._has_reported_full = True
            self.context.log_event(events.MembershipFull(self.settings.most_agents))
        return False


def _describe_self(context: NodeContext, settings: FleetSettings) -> Peer:
    return Peer(
        name=context.name,
        address=context.address,
        incarnation=context.incarnation,
        version=0,
        state=PeerState.ALIVE,
        zone=settings.zone,
        capacity=settings.capacity,
        reads=settings.reads,
        migrated_version=settings.reads[0],
    )
