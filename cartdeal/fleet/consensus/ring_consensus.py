"""Consensus on the ring of each epoch, by Paxos: connects the roles and dispatches their messages.

A majority of the previous ring's members decides the ring of an epoch, and a majority of the new ring's
members confirms it. The package must never let a minority decide a ring, never confirm an epoch after this
agent accepted the next one, and never count an answer to a message that this agent did not send.

The ring of epoch e + 1 is one decree of Paxos (Lamport 1998) among the members of ring e; the first ring is
one decree among the seeds. Acceptors store their state in the process's memory only (see acceptor.py). If
acceptors restart and forget a decision that no other agent has learnt, conflicting rings of one epoch can
result. All agents then adopt the ring with the lower digest, and both rings are logged.
"""

from collections.abc import Mapping

from msgspec import Struct

from cartdeal.fleet.consensus.acceptor import Acceptor
from cartdeal.fleet.consensus.bootstrap import RingSearch
from cartdeal.fleet.consensus.learner import Learner
from cartdeal.fleet.consensus.lease import RingLease
from cartdeal.fleet.consensus.messages import (
    MAX_BALLOT_NUMBER,
    Accept,
    Accepted,
    EpochAnnouncement,
    LeaseRenewal,
    LeaseRenewalAck,
    Nack,
    Prepare,
    Promise,
    RingMessage,
    RingQuery,
    RingSnapshot,
    RingUpdate,
)
from cartdeal.fleet.consensus.proposer import Proposer
from cartdeal.fleet.consensus.reconfiguration import NextVersions, TargetRing
from cartdeal.fleet.consensus.state import EpochState, Peer, ProposalBackoff
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings


class RingConsensus:
    """One agent's part in the consensus: proposer, acceptor, learner, and the lease on the current ring."""

    def __init__(self, context: NodeContext, settings: FleetSettings) -> None:
        self.context = context
        self.state = EpochState(context, settings)
        self.backoff = ProposalBackoff()
        self.search = RingSearch(self.state)
        self.target = TargetRing(self.state, self.search)
        self.acceptor = Acceptor(self.state, self.backoff)
        self.learner = Learner(self.state, self._on_ring_learned)
        self.proposer = Proposer(self.state, self.acceptor, self.learner, self.target, self.backoff)
        self.lease = RingLease(self.state, self.acceptor)

    @property
    def ring(self) -> Ring | None:
        """The current ring, or None if this agent has not learnt one yet."""
        return self.state.ring

    @property
    def previous_ring(self) -> Ring | None:
        """The ring of the previous epoch, or None before the second epoch."""
        return self.state.previous_ring

    @property
    def ring_learned_at(self) -> float:
        """The time at which this agent learnt the current ring, in local seconds."""
        return self.state.ring_learned_at

    def update_settings(self, settings: FleetSettings) -> None:
        """Replace the operator's settings."""
        self.state.settings = settings
        self.target.damper.update_settings(settings)

    def has_valid_lease(self) -> bool:
        """Return whether this agent may rely on its ring."""
        return self.lease.is_valid()

    def tick(self, live: Mapping[str, Peer], next_versions: NextVersions) -> None:
        """Run everything that is due; `live` maps the names of the live agents to their descriptions."""
        self.state.live = live
        if self.state.ring is None:
            self.search.search_ring()
        elif self.context.now >= self.lease.next_renewal_at:
            self.lease.request_renewals(self.state.ring)
        self.proposer.resend_proposal()
        self.target.evaluate_if_due(next_versions)
        self.proposer.start_proposal_if_due()

    def on_message(self, sender: str, message: Struct) -> None:
        """Handle a message of another agent."""
        if isinstance(message, RingUpdate):
            self.learner.on_ring_update(sender, message)
        elif isinstance(message, RingSnapshot):
            self.learner.on_ring_snapshot(message)
        elif isinstance(message, RingMessage) and self._is_of_current_ring(sender, message):
            self._on_current_ring_message(sender, message)

    def _on_current_ring_message(self, sender: str, message: RingMessage) -> None:
        match message:
            case LeaseRenewal():
                self.lease.on_renewal(sender, message)
            case LeaseRenewalAck():
                self.lease.on_renewal_ack(sender, message)
            case RingQuery():
                self.state.send(sender, EpochAnnouncement)
            case EpochAnnouncement():
                if message.epoch == 0:
                    self.search.on_no_ring(sender)
            case Prepare() | Accept():
                self._on_ballot(sender, message)
            case Promise() | Nack() | Accepted():
                self.proposer.on_answer(sender, message)

    def _is_of_current_ring(self, sender: str, message: RingMessage) -> bool:
        """Return whether the sender has this agent's current ring.

        If not, the agent with the older ring is informed: the sender by an answer, or this agent by a query.
        """
        current_ring = self.state.current_ring
        if not 0 <= message.epoch <= self.learner.max_epoch:
            self.context.increment(Metric.DROPPED_DISTANT_EPOCH)
            return False
        if message.epoch == current_ring.epoch and message.ring_digest == current_ring.digest:
            return True
        if message.epoch < current_ring.epoch:
            if isinstance(message, RingQuery):
                self.learner.send_ring(sender, message)
            else:
                self.context.increment(Metric.DROPPED_OLDER_EPOCH)
                self.state.send(sender, EpochAnnouncement)
        elif message.epoch > current_ring.epoch:
            if isinstance(message, LeaseRenewal):
                self.lease.add_pending_renewal(sender, message)
            self.learner.query_ring(sender)
        elif current_ring.epoch:  # conflicting rings of one epoch: both agents query and answer
            if isinstance(message, RingQuery):
                self.learner.send_ring(sender, message)
            self.learner.query_ring(sender)
        else:
            self.context.increment(Metric.DIFFERENT_SEEDS)
        return False

    def _on_ballot(self, sender: str, message: Prepare | Accept) -> None:
        if sender not in self.state.index_by_name or not 0 < message.number < MAX_BALLOT_NUMBER:
            self.context.increment(Metric.DROPPED_BALLOT)
            return
        answer: Promise | Accepted | Nack | None
        if isinstance(message, Prepare):
            answer = self.acceptor.prepare(sender, message.number, message.removed)
        else:
            answer = self.acceptor.accept(sender, message.number, message.step)
        if answer is not None:
            self.context.send(sender, answer)

    def _on_ring_learned(self) -> None:
        """Start the new epoch: reset all parts, answer pending renewals, and request a lease."""
        pending_renewals = self.lease.take_pending_renewals()
        self.target.majority_monitor.reset()
        self.target.reset()
        self.backoff.reset()
        self.acceptor.reset()
        self.proposer.reset()
        self.lease.reset()
        ring = self.state.current_ring
        for sender, message in pending_renewals.items():
            if (message.epoch, message.ring_digest) == (ring.epoch, ring.digest):
                self.lease.on_renewal(sender, message)
        self.lease.request_renewals(ring)
