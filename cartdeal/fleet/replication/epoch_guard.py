"""Admits requests that go by the present ring, and remembers the incarnations of those who ask.

It owns the newest epoch heard of. It must never admit a request by another epoch: quorums of two rings need
not overlap.
"""

from typing import NamedTuple

from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication.messages import ReplicationMessage, StaleEpoch
from cartdeal.fleet.replication.ring_view import RingView


class PeerIncarnation(NamedTuple):
    """One incarnation of a peer, and whether another was met, too."""

    incarnation: int
    met_another: bool


class EpochGuard:
    """Compares the epoch of requests with that of the present ring."""

    def __init__(self, view: RingView) -> None:
        self.view = view
        self.newest_epoch = 0
        self.peer_incarnations: dict[str, PeerIncarnation] = {}

    def admits(self, sender: str, message: ReplicationMessage) -> bool:
        """Whether a request goes by our epoch; the sender of an older one learns that there is a newer."""
        self._remember_incarnation(sender, message.incarnation)
        context, ring = self.view.context, self.view.ring
        if ring is not None and message.epoch == ring.epoch:
            return True
        self.on_epoch(message.epoch)
        if ring is not None and message.epoch < ring.epoch:
            context.increment(Metric.DROPPED_OLD_EPOCH)
            context.send(sender, StaleEpoch(ring.epoch))
        else:
            context.increment(Metric.DROPPED_NEWER_EPOCH)
        return False

    def on_epoch(self, epoch: int) -> None:
        """A peer goes by this epoch."""
        self.newest_epoch = max(self.newest_epoch, epoch)

    def knows_other_incarnation(self, peer: str) -> bool:
        """Whether a peer was met under two incarnations; of an unknown one it can't be excluded."""
        known = self.peer_incarnations.get(peer)
        return known is None or known.met_another

    def _remember_incarnation(self, sender: str, incarnation: int) -> None:
        known = self.peer_incarnations.get(sender)
        if known is None:
            if len(self.peer_incarnations) < 2 * self.view.settings.most_agents:
                self.peer_incarnations[sender] = PeerIncarnation(incarnation, False)
        elif not known.met_another and incarnation != known.incarnation:
            self.peer_incarnations[sender] = PeerIncarnation(known.incarnation, True)
