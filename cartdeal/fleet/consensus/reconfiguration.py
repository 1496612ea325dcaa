"""Reconfiguration: the ring that should follow the current one, and the alarm when no majority is present."""

from collections.abc import Callable, Mapping
from math import inf

from msgspec.structs import replace

from cartdeal.fleet import errors, events
from cartdeal.fleet.consensus.bootstrap import RingSearch
from cartdeal.fleet.consensus.state import EpochState, Peer
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.damping import Damper
from cartdeal.fleet.ring.movement import plan_next_ring
from cartdeal.fleet.ring.ring import Ring

MAJORITY_LOST_ALARM_S = 30.0  # the time without a majority of the ring's members before it is logged
MAX_EVALUATION_INTERVAL_S = 0.5  # longest time between two evaluations of the target ring
MAX_COUNTED_GAP_S = 2.0  # at most this much of a gap between two checks is counted

# Called with (ring, live agents); returns (written version, phase) of the epoch after the ring.
NextVersions = Callable[[Ring, Mapping[str, Peer]], tuple[int, str]]


class TargetRing:
    """The ring that this agent would propose next, or None, and the time since when there is one."""

    def __init__(self, state: EpochState, search: RingSearch) -> None:
        self._state = state
        self._context = state.context
        self._search = search
        self._evaluate_at = -inf
        self.damper = Damper(state.settings)
        self.majority_monitor = MajorityMonitor(state)
        self.reset()

    def reset(self) -> None:
        """Drop the target ring."""
        self.ring: Ring | None = None
        self.wanted_since = inf

    def evaluate_if_due(self, next_versions: NextVersions) -> None:
        """Evaluate the target ring if that is due, several times in damp_s."""
        now, damp_s = self._context.now, self._state.settings.damp_s
        if now >= self._evaluate_at:
            interval_s = min(MAX_EVALUATION_INTERVAL_S, damp_s / 8)
            self._evaluate_at = now + interval_s * (0.8 + 0.2 * self._context.random.random())
            self.evaluate_target_ring(next_versions)

    def evaluate_target_ring(self, next_versions: NextVersions) -> None:
        """Check for the majority, and set the target ring or drop it if the current ring should stay."""
        self.majority_monitor.check()
        ring = self._state.ring
        target = self._search.first_ring() if ring is None else self._successor_of(ring, next_versions)
        if target is None:
            self.reset()
        else:
            self.ring = target
            self.wanted_since = min(self.wanted_since, self._context.now)

    def _successor_of(self, ring: Ring, next_versions: NextVersions) -> Ring | None:
        state = self._state
        target_members = self.damper.target_members(state.live, ring, self._context.now)
        target_ring = ring
        if target_members and target_members != ring.member_by_name:
            target_ring = plan_next_ring(ring, target_members, state.settings.step_share)
            if len(target_ring.members) > state.settings.most_agents:
                self._context.increment(Metric.RING_FULL)
                target_ring = ring
        written_version, phase = next_versions(ring, state.live)
        if target_ring is ring and (written_version, phase) == (ring.written_version, ring.phase):
            return None
        return replace(target_ring, epoch=ring.epoch + 1, written_version=written_version, phase=phase)


class MajorityMonitor:
    """Logs an error, once for each ring, if a majority of the ring's members has been absent for too long."""

    def __init__(self, state: EpochState) -> None:
        self._state = state
        self._context = state.context
        self._checked_at = state.context.now
        self.reset()

    def reset(self) -> None:
        """Restart the count when a new epoch begins."""
        self._lost_for_s = 0.0
        self._is_logged = False

    def check(self) -> None:
        """Count the time without a majority, and log the error once the time is over the limit.

        A gap between two calls counts for at most MAX_COUNTED_GAP_S (2 s).
        """
        now, current_ring = self._context.now, self._state.current_ring
        present_count = sum(name in self._state.live for name in current_ring.names)
        if present_count < current_ring.majority:
            self._lost_for_s += min(now - self._checked_at, MAX_COUNTED_GAP_S)
        else:
            self._lost_for_s = 0.0
        self._checked_at = now
        limit_s = max(MAJORITY_LOST_ALARM_S, 6 * self._state.settings.damp_s)
        if self._lost_for_s >= limit_s and not self._is_logged and current_ring.members:
            self._is_logged = True
            error_type = errors.RingMajorityLostError if self._state.ring else errors.BootstrapIncompleteError
            error = error_type(
                f"epoch {current_ring.epoch}",
                f"{present_count} of {len(current_ring.members)} members present",
            )
            self._context.log_event(events.RingMajorityLost.of(error))
