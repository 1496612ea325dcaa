"""The peer table: all agents that this one knows, their states, and the suspicions against them."""

from collections.abc import Callable
from zlib import crc32

from msgspec import Struct
from msgspec.structs import replace

from cartdeal.fleet import events
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.membership.messages import GossipItem, Peer, PeerState
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings

DEAD_RETENTION_S = 60.0  # dead and departed peers stay this long, so that old gossip can't revive them
TABLE_BUCKETS = 16  # each bucket of the table is compared and pushed on its own


class Suspicion(Struct):
    """The accusers of a suspect or dead peer; `since` is the time of the first accusation (local seconds)."""

    since: float
    accusers: list[str]


PublicState = tuple[int, float, tuple[int, int], str, int, int]


def bucket_of(name: str) -> int:
    """Return the bucket of the table that a name belongs to, from 0 to TABLE_BUCKETS - 1."""
    return crc32(name.encode()) % TABLE_BUCKETS


def public_state(peer: Peer | None) -> PublicState | None:
    """Return the fields of a peer that users of live_peers() depend on, or None if the peer is not live."""
    if peer is None or peer.state > PeerState.SUSPECT:
        return None
    return peer.incarnation, peer.capacity, peer.reads, peer.zone, peer.migrated_version, peer.state


class PeerTable:
    """All known peers by name, including this agent; at most `most_agents`.

    Only forget() removes a peer, and it then calls the `forget_callbacks` with the peer's name.
    """

    def __init__(self, context: NodeContext, settings: FleetSettings):
        self.context = context
        self.settings = settings
        self.name: str = context.name
        self.peers: dict[str, Peer] = {self.name: _describe_self(context, settings)}
        self.suspicions: dict[str, Suspicion] = {}  # by name of the suspect or dead peer
        self.forget_at: dict[str, float] = {}  # when each dead or departed peer is removed
        self.view_version: int = 1  # raised when a public_state() changes
        self.forget_callbacks: list[Callable[[str], None]] = []
        self._live_peers: dict[str, Peer] | None = None  # a cache; None after a change
        self._has_reported_full: bool = False

    @property
    def local_peer(self) -> Peer:
        """This agent's description of itself."""
        return self.peers[self.name]

    def live_peers(self) -> dict[str, Peer]:
        """Return the peers that are alive or suspect, including this agent, sorted by name.

        The caller must not change the mapping: the same one is returned until the table changes.
        """
        if self._live_peers is None:
            self._live_peers = {
                name: self.peers[name]
                for name in sorted(self.peers)
                if self.peers[name].state <= PeerState.SUSPECT
            }
        return self._live_peers

    def size(self) -> int:
        """Return the number of live peers, including this agent."""
        return len(self.live_peers())

    def others(self, worst_state: PeerState) -> list[str]:
        """Return the names of the other live peers whose state is `worst_state` or better."""
        return [
            name
            for name, peer in self.live_peers().items()
            if peer.state <= worst_state and name != self.name
        ]

    def gossip_item(self, name: str) -> GossipItem:
        """Return a peer's entry and its accusers as a gossip item."""
        accusers = tuple(self.suspicions[name].accusers) if name in self.suspicions else ()
        return GossipItem(self.peers[name], accusers)

    def put(self, peer: Peer) -> None:
        """Add a peer's entry or replace it."""
        previous_peer = self.peers.get(peer.name)
        self.peers[peer.name] = peer
        self._live_peers = None
        self.view_version += public_state(previous_peer) != public_state(peer)

    def mark_dead(self, name: str, now: float) -> None:
        """Set a peer's state to dead, and keep its entry for DEAD_RETENTION_S."""
        self.put(replace(self.peers[name], state=PeerState.DEAD))
        self.retain(name, now)

    def retain(self, name: str, now: float) -> None:
        """Keep the entry of a dead or departed peer for DEAD_RETENTION_S from `now`."""
        self.forget_at[name] = now + DEAD_RETENTION_S

    def forget_expired(self) -> None:
        """Remove the dead and departed peers whose retention time is over."""
        now = self.context.now
        for name in [name for name, at in self.forget_at.items() if at <= now]:
            self.forget(name)

    def forget(self, name: str) -> None:
        """Remove a peer's entry and suspicion, and call the `forget_callbacks`."""
        self.peers.pop(name, None)
        self.suspicions.pop(name, None)
        self.forget_at.pop(name, None)
        for callback in self.forget_callbacks:
            callback(name)

    def postpone(self, gap_s: float) -> None:
        """Move all times by `gap_s`, the seconds for which this agent's process was stopped."""
        for suspicion in self.suspicions.values():
            suspicion.since += gap_s
        for name in self.forget_at:
            self.forget_at[name] += gap_s

    def make_room(self) -> bool:
        """Return whether another peer may be added.

        If the table is full, this removes the dead or departed peer whose retention ends first. If there is
        none, the drop is counted, and logged the first time.
        """
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
