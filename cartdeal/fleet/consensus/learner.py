"""The learner of Paxos (Lamport 1998): it adopts decided rings and sends them to other agents."""

from collections.abc import Callable
from math import inf

from cartdeal.fleet import errors, events
from cartdeal.fleet.consensus.messages import RingMessage, RingQuery, RingSnapshot, RingUpdate
from cartdeal.fleet.consensus.state import EpochState
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.ring import MAX_EPOCH, Ring, is_valid_ring
from cartdeal.fleet.ring.steps import RingStep

MAX_EPOCH_LEAD = 1 << 20  # an epoch further ahead of the own one can't come from a correct agent
MAX_CONFLICTING_RINGS = 64  # conflicting rings that are logged, each once
MIN_QUERY_INTERVAL_S = 0.1


class Learner:
    """Adopts decided rings, and calls `on_learned` after each of them."""

    def __init__(self, state: EpochState, on_learned: Callable[[], None]) -> None:
        self._state = state
        self._context = state.context
        self._on_learned = on_learned
        self._logged_digests: dict[bytes, bool] = {}
        self._query_at = -inf

    @property
    def max_epoch(self) -> int:
        """The highest epoch that is accepted from another agent."""
        return self._state.current_ring.epoch + MAX_EPOCH_LEAD if self._state.ring else MAX_EPOCH

    def learn(self, previous: Ring, step: RingStep, ring: Ring) -> None:
        """Adopt a decided ring if it is newer than the current one.

        Of two conflicting rings of the same epoch, the one with the lower digest is adopted.
        """
        current_ring = self._state.current_ring
        if ring.epoch < current_ring.epoch or ring.digest == current_ring.digest:
            return
        if ring.epoch == current_ring.epoch:
            self._log_conflict(current_ring, ring)
            if ring.digest > current_ring.digest:
                return
        self._state.adopt(previous, step, ring)
        self._on_learned()

    def announce_decision(self, step: RingStep) -> None:
        """Adopt the ring of this agent's own ballot, which a majority accepted, and send it to others.

        The recipients are the members of the previous and the new ring and all live agents.

        Raises:
            AssertionError: if the step leads to no valid ring.
        """
        previous, ring = self._state.current_ring, self._state.next_ring(step)
        if ring is None:
            raise AssertionError("a majority accepted a step that leads to no valid ring")
        self.learn(previous, step, ring)
        recipients = {*previous.names, *ring.names, *self._state.live} - {self._context.name}
        for name in sorted(recipients):
            self._context.send(name, RingUpdate(step))

    def query_ring(self, name: str) -> None:
        """Query an agent for its ring, at most once in MIN_QUERY_INTERVAL_S."""
        if self._context.now >= self._query_at:
            self._query_at = self._context.now + MIN_QUERY_INTERVAL_S + 0.1 * self._context.random.random()
            self._state.send(name, RingQuery)

    def send_ring(self, recipient: str, message: RingMessage) -> None:
        """Send the current ring, or the last step alone if the recipient has the ring that it starts from."""
        step_base, step = self._state.last_step_base, self._state.last_step
        if step is None:
            return
        if (message.epoch, message.ring_digest) == (step_base.epoch, step_base.digest):
            self._context.send(recipient, RingUpdate(step))
        else:
            self._context.send(recipient, RingSnapshot(step_base, step))

    def on_ring_update(self, sender: str, message: RingUpdate) -> None:
        """Adopt the ring of a decided step if the step starts from the current ring.

        A step that starts from a different ring means that the current ring may be outdated, so its sender is
        queried.
        """
        step, current_ring = message.step, self._state.current_ring
        if step.previous_digest == current_ring.digest:
            ring = self._state.next_ring(step)
            if ring is None:
                self._context.increment(Metric.DROPPED_MALFORMED_RING)
                return
            self.learn(current_ring, step, ring)
        elif current_ring.epoch <= step.epoch <= self.max_epoch:
            if step != self._state.last_step:
                self.query_ring(sender)
        elif step.epoch < current_ring.epoch:
            self._context.increment(Metric.DROPPED_OLDER_EPOCH)
        else:
            self._context.increment(Metric.DROPPED_DISTANT_EPOCH)

    def on_ring_snapshot(self, message: RingSnapshot) -> None:
        """Adopt a decided ring that came with the ring before it."""
        previous = message.previous_ring
        if not 0 <= previous.epoch < self.max_epoch:
            self._context.increment(Metric.DROPPED_DISTANT_EPOCH)
            return
        ring = self._state.valid_successor(previous, message.step)
        max_members = self._state.settings.most_agents
        if ring is None or (previous.epoch and not is_valid_ring(previous, max_members)):
            self._context.increment(Metric.DROPPED_MALFORMED_RING)
            return
        self.learn(previous, message.step, ring)

    def _log_conflict(self, current_ring: Ring, ring: Ring) -> None:
        logged_digests = self._logged_digests
        if ring.digest in logged_digests or len(logged_digests) >= MAX_CONFLICTING_RINGS:
            return
        logged_digests[ring.digest] = True
        digests = f"{current_ring.digest.hex()} and {ring.digest.hex()}"
        error = errors.ConflictingRingsError(f"epoch {current_ring.epoch}", digests)
        self._context.log_event(events.ConflictingRings.of(error))
