"""An agent's estimate of the fleet's time, which follows the peers whose clocks are ahead.

The clock owns the offset from the agent's monotonic clock to the fleet's time, the peers' clocks observed
since the last check, and the hybrid clock that issues timestamps. It must never follow a clock that is
further ahead than the operator allows. It reads no clock itself: the node sets `context.now`.
"""

from collections.abc import Iterable
from statistics import median_high
from typing import NamedTuple

from cartdeal.fleet import events
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.errors import ClockAheadError
from cartdeal.fleet.hybrid_clock import HybridClock, Timestamp
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

MAX_PEER_CLOCKS = 1024  # peers observed between two checks; must hold a majority of the ring
CHECK_INTERVAL_S = 10.0  # between two checks whether this agent's own clock is wrong
MAX_TICK_GAP_S = CHECK_INTERVAL_S / 4  # a longer gap between two ticks means that the process was stopped


class PeerClock(NamedTuple):
    """A peer's clock, as observed since the last check."""

    has_ring: bool  # whether the peer has adopted a ring
    offset_s: float  # the greatest lead of its clock over the local monotonic clock


class FleetClock:
    """Follows the fleet's time. All offsets are seconds relative to the local monotonic clock."""

    def __init__(self, context: NodeContext, settings: FleetSettings, offset_s: float) -> None:
        self.context = context
        self.settings = settings
        self.offset_s = offset_s
        self.peer_clocks: dict[str, PeerClock] = {}
        self.next_check_at = context.now  # monotonic seconds
        self.last_tick_at = context.now  # monotonic seconds
        self.hybrid_clock = HybridClock(settings.name, settings.clock_ahead_s)

    def observe(self, sender: str, wall_ms: int, sender_has_ring: bool, has_ring: bool) -> bool:
        """Observe the time of a peer's message, and follow it if it is ahead by no more than allowed.

        `wall_ms` is the fleet's time at the sender when it sent the message. `sender_has_ring` and `has_ring`
        say whether the sender and this agent have adopted a ring. Returns whether the sender's timestamps can
        be trusted.
        """
        offset_s = wall_ms / 1e3 - self.context.now
        known_clock = self.peer_clocks.get(sender)
        if known_clock is not None:
            # The greatest offset counts, since delay on the network lowers the offset of a message. Offsets
            # from before the peer had a ring are discarded.
            if sender_has_ring and not known_clock.has_ring:
                self.peer_clocks[sender] = PeerClock(True, offset_s)
            elif offset_s > known_clock.offset_s:
                self.peer_clocks[sender] = PeerClock(known_clock.has_ring, offset_s)
        elif len(self.peer_clocks) < MAX_PEER_CLOCKS:
            self.peer_clocks[sender] = PeerClock(sender_has_ring, offset_s)
        if not has_ring:
            return True  # without a ring this agent's own clock is no reference
        try:
            self.hybrid_clock.observe(Timestamp(wall_ms, 0, sender), self.context.wall)
        except ClockAheadError as error:
            self.context.increment(Metric.DROPPED_CLOCK_AHEAD)
            self.context.log_event(events.PeerClockAhead(sender, str(error)))
            return False
        self.offset_s = max(self.offset_s, offset_s)
        return True

    def synchronize_on_joining(self) -> None:
        """Adopt the members' time when this agent adopts its first ring.

        If this agent's clock is far from the members' clocks, this agent's clock is taken to be wrong.
        The clocks of other agents without a ring count only if no member's clock was observed.
        """
        member_offsets = [peer.offset_s for peer in self.peer_clocks.values() if peer.has_ring]
        self._adopt_median(
            member_offsets or [self.offset_s, *(peer.offset_s for peer in self.peer_clocks.values())]
        )
        self._schedule_check()

    def tick(self, ring: Ring | None) -> None:
        """Check this agent's clock against those of the ring's members, every CHECK_INTERVAL_S."""
        now = self.context.now
        # After a pause of the process, the messages that arrived meanwhile are old: the clocks
        # observed from them are discarded.
        if now - self.last_tick_at > MAX_TICK_GAP_S:
            self._schedule_check()
        self.last_tick_at = now
        if ring is not None and now >= self.next_check_at:
            self.check(ring)

    def check(self, ring: Ring) -> None:
        """Adopt the members' time if the clocks of a majority of the ring are far from this agent's clock.

        The clocks of a majority are assumed to be right. Without this check, an agent that adopted a wrong
        time when it joined would be rejected by all other agents permanently.
        """
        members = ring.member_by_name
        offsets = [peer.offset_s for name, peer in self.peer_clocks.items() if name in members]
        max_s = self.settings.clock_ahead_s
        ahead_count = sum(offset - self.offset_s > max_s for offset in offsets)
        behind_count = sum(self.offset_s - offset > max_s for offset in offsets)
        if 2 * max(ahead_count, behind_count) > len(members):
            self._adopt_median(offsets)
        self._schedule_check()

    def _adopt_median(self, offsets: Iterable[float]) -> None:
        # For an even count the higher of the middle two is used: their mean would not be the time of any
        # agent.
        offset_s = median_high(offsets)
        if abs(offset_s - self.offset_s) > self.settings.clock_ahead_s:
            moved_s = round(offset_s - self.offset_s, 3)
            self.context.log_event(events.ClockAdjusted(moved_s, len(self.peer_clocks)))
            self.offset_s = offset_s
            self.hybrid_clock = HybridClock(self.settings.name, self.settings.clock_ahead_s)

    def _schedule_check(self) -> None:
        self.next_check_at = self.context.now + CHECK_INTERVAL_S
        self.peer_clocks = {}
