"""Admits requests that carry the epoch of the present ring, and remembers their senders' incarnations.

This module owns the newest epoch that any message has named. It must never admit a request of another epoch:
quorums of two rings need not overlap.
"""

from typing import NamedTuple

from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication.messages import ReplicationMessage, StaleEpoch
from cartdeal.fleet.replication.ring_view import RingView


class PeerIncarnation(NamedTuple):
    """The first incarnation of a peer that sent a request, and whether another one did, too."""

    incarnation: int
    has_another: bool


class EpochGuard:
    """Rejects requests whose epoch isn't that of the present ring."""

    def __init__(self, view: RingView) -> None:
        self.view = view
        self.newest_epoch = 0
        self.peer_incarnations: dict[str, PeerIncarnation] = {}

    def admits(self, sender: str, message: ReplicationMessage) -> bool:
        """Whether a request carries the present epoch; the sender of an older one is sent StaleEpoch."""
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
        """Records an epoch that a peer's message names."""
        self.newest_epoch = max(self.newest_epoch, epoch)

    def knows_other_incarnation(self, peer: str) -> bool:
        """Whether a peer may have had another incarnation; for an unknown peer this can't be excluded."""
        known = self.peer_incarnations.get(peer)
        return known is None or known.has_another

    def _remember_incarnation(self, sender: str, incarnation: int) -> None:
        known = self.peer_incarnations.get(sender)
        if known is None:
            if len(self.peer_incarnations) < 2 * self.view.settings.most_agents:
                self.peer_incarnations[sender] = PeerIncarnation(incarnation, False)
        elif not known.has_another and incarnation != known.incarnation:
            self.peer_incarnations[sender] = PeerIncarnation(known.incarnation, True)
