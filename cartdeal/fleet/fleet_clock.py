"""The fleet's time: one agent's estimate of it, which follows the peers that are ahead.

It owns the offset from the agent's monotonic clock to the fleet's time, what was heard of the peers' clocks
since the last check, and the hybrid clock that stamps by it. It must never follow a clock that is further
ahead than the operator allows, and reads none itself: the node sets `context.now`.
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

MAX_PEER_CLOCKS = 1024  # peers observed between two checks: a majority of the ring has to fit
CHECK_INTERVAL_S = 10.0  # between two checks whether the own clock is the one that is wrong
PAUSE_S = CHECK_INTERVAL_S / 4  # between two ticks: after so long the process was stopped


class PeerClock(NamedTuple):
    """What was heard of a peer's clock since the last check."""

    has_ring: bool  # whether it has adopted a ring
    offset_s: float  # how far its clock was ahead of the local monotonic clock, at most


class FleetClock:
    """Follows the fleet's time. All offsets are seconds from the local monotonic clock."""

    def __init__(self, context: NodeContext, settings: FleetSettings, offset_s: float) -> None:
        self.context = context
        self.settings = settings
        self.offset_s = offset_s
        self.peer_clocks: dict[str, PeerClock] = {}
        self.next_check = context.now  # monotonic seconds
        self.last_tick = context.now  # monotonic seconds
        self.hybrid_clock = HybridClock(settings.name, settings.clock_ahead_s)

    def observe(self, sender: str, wall_ms: int, sender_has_ring: bool, has_ring: bool) -> bool:
        """Follow a peer that is ahead, as far as is allowed.

        `wall_ms` is the sender's fleet time as it sent; `has_ring` says whether this agent has a ring.
        Returns whether what the sender stamped can be believed.
        """
        offset_s = wall_ms / 1e3 - self.context.now
        known = self.peer_clocks.get(sender)
        if known is not None:
            # The greatest offset counts: a message that was long on its way says less than the next one. What
            # a peer said before it had a ring says nothing.
            if sender_has_ring and not known.has_ring:
                self.peer_clocks[sender] = PeerClock(True, offset_s)
            elif offset_s > known.offset_s:
                self.peer_clocks[sender] = PeerClock(known.has_ring, offset_s)
        elif len(self.peer_clocks) < MAX_PEER_CLOCKS:
            self.peer_clocks[sender] = PeerClock(sender_has_ring, offset_s)
        if not has_ring:
            return True  # this agent's own clock proves nothing yet
        try:
            self.hybrid_clock.observe(Timestamp(wall_ms, 0, sender), self.context.wall)
        except ClockAheadError as error:
            self.context.increment(Metric.DROPPED_CLOCK_AHEAD)
            self.context.log_event(events.PeerClockAhead(sender, str(error)))
            return False
        self.offset_s = max(self.offset_s, offset_s)
        return True

    def synchronize_on_joining(self) -> None:
        """Take over the members' time as this agent adopts its first ring.

        An own clock that is far from the members' is wrong, whatever it says. Agents that are about to join
        too know no better; they count only where no member was heard.
        """
        members = [peer.offset_s for peer in self.peer_clocks.values() if peer.has_ring]
        self._adopt_median(members or [self.offset_s, *(peer.offset_s for peer in self.peer_clocks.values())])
        self._schedule_check()

    def tick(self, ring: Ring | None) -> None:
        """Check the own clock against those of the ring's members, when it is time to."""
        now = self.context.now
        if now - self.last_tick > PAUSE_S:  # the process was stopped: what came in meanwhile is old
            self._schedule_check()
        self.last_tick = now
        if ring is not None and now >= self.next_check:
            self.check(ring)

    def check(self, ring: Ring) -> None:
        """Take over the members' time if a majority of the ring has a clock far from the own one.

        A majority is never all wrong. Without this, an agent that took over a wrong time as it joined would
        be refused by all the others for good.
        """
        members = ring.member_by_name
        offsets = [peer.offset_s for name, peer in self.peer_clocks.items() if name in members]
        max_s = self.settings.clock_ahead_s
        ahead = sum(offset - self.offset_s > max_s for offset in offsets)
        behind = sum(self.offset_s - offset > max_s for offset in offsets)
        if 2 * max(ahead, behind) > len(members):
            self._adopt_median(offsets)
        self._schedule_check()

    def _adopt_median(self, offsets: Iterable[float]) -> None:
        # Of an even number the higher of the middle two: a time between them would be nobody's.
        offset_s = median_high(offsets)
        if abs(offset_s - self.offset_s) > self.settings.clock_ahead_s:
            moved_s = round(offset_s - self.offset_s, 3)
            self.context.log_event(events.ClockAdjusted(moved_s, len(self.peer_clocks)))
            self.offset_s = offset_s
            self.hybrid_clock = HybridClock(self.settings.name, self.settings.clock_ahead_s)

    def _schedule_check(self) -> None:
        self.next_check = self.context.now + CHECK_INTERVAL_S
        self.peer_clocks = {}
