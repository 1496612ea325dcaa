"""The acceptor of Paxos (Lamport 1998): this agent's promise and accepted step for the next epoch.

Both are stored in the process's memory only. A restarted acceptor therefore takes part in no ballot for
2 * lease_s, after which each ballot that it may have forgotten is over.
"""

from cartdeal.fleet.consensus.messages import Accepted, Nack, Promise, RefusalReason
from cartdeal.fleet.consensus.state import AcceptedStep, EpochState, ProposalBackoff
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.steps import RingStep


class Acceptor:
    """Answers ballots for the step to the next epoch."""

    def __init__(self, state: EpochState, backoff: ProposalBackoff) -> None:
        self._state = state
        self._context = state.context
        self._backoff = backoff
        self.reset()

    def reset(self) -> None:
        """Clear the promise and the accepted step when a new epoch begins."""
        self.promised: tuple[int, str] = (0, "")
        self.accepted: AcceptedStep | None = None

    @property
    def has_accepted_next(self) -> bool:
        """Whether a step is accepted: the next epoch may be decided, so the current lease isn't confirmed."""
        return self.accepted is not None

    def prepare(self, sender: str, number: int, removed: tuple[str, ...]) -> Promise | Nack:
        """Answer phase 1 of a ballot with a promise, or with a Nack and its reason."""
        state = self._state
        ballot = (number, sender)
        if not state.remembers_promises:
            return self._nack(number, RefusalReason.RECENTLY_STARTED)
        if ballot < self.promised:
            return self._nack(number, RefusalReason.OLDER_BALLOT)
        if any(name in state.live and state.live[name].state == 0 for name in removed):
            # The proposer alone, as a single witness, is not enough to remove an agent that is alive here.
            return self._nack(number, RefusalReason.MEMBER_IS_LIVE)
        self.promised = ballot
        if sender != self._context.name:
            deferral_s = state.settings.lease_s * (0.25 + 0.5 * self._context.random.random())
            self._backoff.defer(self._context.now + deferral_s)
        accepted = self.accepted
        return Promise(
            state.current_ring.epoch,
            state.current_ring.digest,
            number,
            accepted.ballot if accepted else None,
            accepted.step if accepted else None,
        )

    def accept(self, sender: str, number: int, step: RingStep) -> Accepted | Nack | None:
        """Answer phase 2 of a ballot: accept or refuse its step; None if the step leads to no valid ring."""
        state = self._state
        if not state.remembers_promises:
            return self._nack(number, RefusalReason.RECENTLY_STARTED)
        if (number, sender) < self.promised:
            return self._nack(number, RefusalReason.OLDER_BALLOT)
        if state.next_ring(step) is None:
            self._context.increment(Metric.DROPPED_MALFORMED_RING)
            return None
        self.promised = (number, sender)
        self.accepted = AcceptedStep(self.promised, step)
        if sender != self._context.name:
            self._backoff.defer(self._context.now + state.settings.lease_s / 2)
        return Accepted(state.current_ring.epoch, state.current_ring.digest, number)

    def _nack(self, number: int, reason: RefusalReason) -> Nack:
        current_ring = self._state.current_ring
        return Nack(current_ring.epoch, current_ring.digest, number, self.promised[0], reason)
