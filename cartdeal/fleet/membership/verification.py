"""Verification: an unknown or dead sender has to answer a ping before it is added to the peer table.

A sender whose messages arrive but which receives none must never be added: it would be declared dead over and
over.
"""

from collections.abc import Iterator

from msgspec import Struct

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.membership.gossip import Gossip
from cartdeal.fleet.membership.messages import Peer, Ping
from cartdeal.fleet.metrics import Metric

MAX_UNVERIFIED_PEERS = 1024
CHALLENGE_TIMEOUT_S = 1.0  # after it, the sender may be challenged again


class UnverifiedPeer(Struct):
    """A sender that has not answered its challenge, a ping, yet. `deadline` is in local seconds."""

    peer: Peer
    challenge_number: int
    deadline: float


class PeerVerifier:
    """Challenges unknown and dead senders, and holds the challenges without an answer."""

    def __init__(self, context: NodeContext, ping_numbers: Iterator[int], gossip: Gossip):
        self.context = context
        self.ping_numbers = ping_numbers  # shared with the failure detector
        self.gossip = gossip
        self.unverified_peers: dict[str, UnverifiedPeer] = {}  # by name

    def may_challenge(self) -> bool:
        """Return whether there is room for another challenge; if not, the drop is counted."""
        if len(self.unverified_peers) < MAX_UNVERIFIED_PEERS:
            return True
        self.context.increment(Metric.DROPPED_UNVERIFIED_PEERS)
        return False

    def challenge(self, peer: Peer) -> None:
        """Send the ping that the peer has to answer within CHALLENGE_TIMEOUT_S."""
        number = next(self.ping_numbers)
        self.unverified_peers[peer.name] = UnverifiedPeer(
            peer, number, self.context.now + CHALLENGE_TIMEOUT_S
        )
        self.gossip.send(peer.name, Ping, number)

    def remove(self, name: str) -> None:
        """Drop the challenge of a peer."""
        self.unverified_peers.pop(name, None)

    def expire(self, now: float) -> None:
        """Drop the challenges that were not answered within CHALLENGE_TIMEOUT_S."""
        unverified_peers = self.unverified_peers
        for name in [
            name for name, unverified_peer in unverified_peers.items() if unverified_peer.deadline <= now
        ]:
            del unverified_peers[name]
