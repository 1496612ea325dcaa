"""The proposer of Paxos (Lamport 1998): it runs this agent's own ballots for the next epoch."""

from cartdeal.fleet.consensus.acceptor import Acceptor
from cartdeal.fleet.consensus.learner import Learner
from cartdeal.fleet.consensus.messages import (
    MAX_BALLOT_NUMBER,
    Accept,
    Accepted,
    Nack,
    Prepare,
    Promise,
)
from cartdeal.fleet.consensus.reconfiguration import TargetRing
from cartdeal.fleet.consensus.state import AcceptedStep, EpochState, Proposal, ProposalBackoff
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.steps import RingStep, step_between

CATCH_UP_PATIENCE_LEASES = 5  # the next step waits for the members' catch-up for at most this many lease_s
RANKED_PROPOSERS = 8  # members that propose one after the other, by rank; later ones start at random
MIN_RESEND_INTERVAL_S = 0.3
RESEND_TICKS = 3  # the resend interval in tick_s, if that is longer than MIN_RESEND_INTERVAL_S


class Proposer:
    """Starts a ballot when one is needed, and runs it until it is won or abandoned."""

    def __init__(
        self,
        state: EpochState,
        acceptor: Acceptor,
        learner: Learner,
        target: TargetRing,
        backoff: ProposalBackoff,
    ) -> None:
        self._state = state
        self._context = state.context
        self._acceptor = acceptor
        self._learner = learner
        self._target = target
        self._backoff = backoff
        self.reset()

    def reset(self) -> None:
        """Drop the proposal and the highest ballot number when a new epoch begins."""
        self.proposal: Proposal | None = None
        self.highest_number = 0  # the highest ballot number known to this agent

    def start_proposal_if_due(self) -> None:
        """Start a ballot if one is needed, unless a member of lower rank should start it first."""
        state, now, accepted = self._state, self._context.now, self._acceptor.accepted
        if self.proposal or not state.is_member or now < self._backoff.until:
            return
        if accepted is None and not self._may_propose_target():
            return
        present_members = [name for name in state.current_ring.names if name in state.live]
        if len(present_members) < state.current_ring.majority or self._context.name not in present_members:
            return
        rank, slot_s = present_members.index(self._context.name), self._resend_interval_s()
        if accepted is None and now < self._target.wanted_since + slot_s * min(rank, RANKED_PROPOSERS):
            return
        if rank > RANKED_PROPOSERS or accepted:  # all these members may propose; each starts at random
            candidates = len(present_members) if accepted else len(present_members) - RANKED_PROPOSERS
            if self._context.random.random() * candidates * slot_s > state.settings.tick_s:
                return
        if accepted:  # an accepted step has to be decided whoever is live, so `removed` is empty
            self.start_proposal(accepted.step, ())
        elif self._target.ring is not None:
            step = step_between(state.current_ring, self._target.ring)
            self.start_proposal(step, step.removed)

    def start_proposal(self, step: RingStep, removed: tuple[str, ...]) -> None:
        """Start a ballot for `step`; an acceptor refuses it if a member in `removed` is alive in its view."""
        self.highest_number = max(self.highest_number, self._acceptor.promised[0]) + 1
        now = self._context.now
        self.proposal = Proposal(
            self.highest_number, step, removed, ends_at=now + self._state.settings.lease_s, resend_at=now
        )
        self._context.increment(Metric.BALLOTS)
        if self._state.remembers_promises:
            name = self._context.name
            self.on_answer(name, self._acceptor.prepare(name, self.highest_number, removed))
        self.resend_proposal()

    def resend_proposal(self) -> None:
        """Resend the ballot to the acceptors without an answer if that is due; abandon it once it is over."""
        now, proposal = self._context.now, self.proposal
        if proposal is None:
            return
        if now >= proposal.ends_at:
            self._abandon_proposal()
        elif now >= proposal.resend_at:
            proposal.resend_at = now + self._resend_interval_s()
            for name in self._state.current_ring.names:
                if name != self._context.name:
                    self._resend_to(name, proposal)

    def on_answer(self, sender: str, message: Promise | Nack | Accepted) -> None:
        """Handle an acceptor's answer to this agent's ballot."""
        proposal = self.proposal
        if proposal is None or message.number != proposal.number or sender not in self._state.index_by_name:
            self._context.increment(Metric.DROPPED_UNKNOWN_BALLOT)
            return
        if self._context.now >= proposal.ends_at:
            # The process was stopped or is slow. The ballot's time is over, so no agent relies on it now.
            self._abandon_proposal()
        elif isinstance(message, Nack):
            self._on_nack(proposal, sender, message)
        elif isinstance(message, Promise):
            self._on_promise(proposal, sender, message)
        elif proposal.accepting and sender in proposal.promises:
            proposal.accepted[sender] = True
            if len(proposal.accepted) >= self._state.current_ring.majority:
                self._learner.announce_decision(proposal.step)

    def _may_propose_target(self) -> bool:
        state = self._state
        if self._target.ring is None or self._is_waiting_for_catch_up():
            return False
        return state.ring is None or self._context.now >= state.ring_learned_at + state.settings.lease_s

    def _is_waiting_for_catch_up(self) -> bool:
        """Return whether the next step has to wait because some members still catch up with this ring.

        With an earlier step, even the former owners of some keys would not have all records yet. Requests for
        these keys would then get no certain answer until the records expire.
        """
        state = self._state
        patience_s = CATCH_UP_PATIENCE_LEASES * state.settings.lease_s
        if state.ring is None or self._context.now >= state.ring_learned_at + patience_s:
            return False
        present_members = [state.live[name] for name in state.ring.names if name in state.live]
        return any(peer.state == 0 and peer.caught_up_epoch < state.ring.epoch for peer in present_members)

    def _resend_interval_s(self) -> float:
        return max(MIN_RESEND_INTERVAL_S, RESEND_TICKS * self._state.settings.tick_s)

    def _resend_to(self, name: str, proposal: Proposal) -> None:
        if not proposal.accepting:
            if name not in proposal.promises and name not in proposal.refusals:
                self._state.send(name, Prepare, proposal.number, proposal.removed)
        elif name in proposal.promises and name not in proposal.accepted:
            self._state.send(name, Accept, proposal.number, proposal.step)

    def _abandon_proposal(self) -> None:
        self.proposal = None
        self._backoff.grow(self._context.now, self._context.random)

    def _on_nack(self, proposal: Proposal, sender: str, message: Nack) -> None:
        if 0 <= message.promised_number < MAX_BALLOT_NUMBER:
            self.highest_number = max(self.highest_number, message.promised_number)
        proposal.refusals[sender] = message.reason
        if len(self._state.index_by_name) - len(proposal.refusals) < self._state.current_ring.majority:
            self._context.increment(Metric.BALLOTS_REJECTED)
            self._abandon_proposal()

    def _on_promise(self, proposal: Proposal, sender: str, message: Promise) -> None:
        accepted = None
        if message.ballot is not None:
            if message.step is None or self._state.next_ring(message.step) is None:
                self._context.increment(Metric.DROPPED_MALFORMED_RING)
                return
            accepted = AcceptedStep(message.ballot, message.step)
        proposal.promises.setdefault(sender, accepted)
        if proposal.accepting:
            if sender != self._context.name:
                self._state.send(sender, Accept, proposal.number, proposal.step)
        elif len(proposal.promises) >= self._state.current_ring.majority:
            self._start_accepting(proposal)

    def _start_accepting(self, proposal: Proposal) -> None:
        """Start phase 2, because a majority has promised."""
        proposal.accepting = True
        accepted_steps = [accepted for accepted in proposal.promises.values() if accepted is not None]
        if accepted_steps:  # the step of the highest ballot may be decided already, so no other is proposed
            proposal.step = max(accepted_steps, key=lambda accepted: accepted.ballot).step
        proposal.resend_at = self._context.now
        name = self._context.name
        if name in proposal.promises:
            answer = self._acceptor.accept(name, proposal.number, proposal.step)
            if answer is not None:
                self.on_answer(name, answer)
        self.resend_proposal()
