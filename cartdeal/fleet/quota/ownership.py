"""The share of a tenant's limit that this agent may grant, according to the latest rings.

The module does no I/O and reads no clock; all times are seconds on the agent's own monotonic clock. It must
never return a share that another agent may still grant by an earlier ring.
"""

from collections.abc import Callable
from math import inf

from cartdeal.fleet.ring.ring import Ring

MAX_REMEMBERED_RINGS = 16  # older rings count as unknown; no grants within the fence of an unknown ring

ShareIn = Callable[[Ring, bytes], float]


class RingInterval:
    """The time for which one ring was in force at this agent."""

    def __init__(self, number: int, ring: Ring | None, start: float) -> None:
        self.number = number
        self.ring = ring  # None if the ring of this time is unknown
        self.start = start
        self.end = inf
        self.confirmed_until = -inf  # last time at which the lease on this ring was valid


class OwnershipHistory:
    """Computes the least share of a key over all rings that were in force within the last fence.

    A ring that this agent has not learnt may have had other owners, whose leases may still be in use. So the
    share is 0 for one fence after a gap in the epochs, and after a start.

    Args:
        start: when the agent started.
        fence_s: how long leases of an earlier owner may be in use, seconds.
        share_in: computes the agent's share of a key in a ring, 0 to 1.
    """

    def __init__(self, start: float, fence_s: float, share_in: ShareIn) -> None:
        self.fence_s = fence_s
        self.share_in = share_in
        self.intervals = [RingInterval(0, None, start)]

    @property
    def current(self) -> RingInterval:
        """The interval of the ring in force."""
        return self.intervals[-1]

    def learn(self, ring: Ring, former: Ring | None, now: float) -> None:
        """Puts a ring in force. `former` is the ring of the previous epoch, None if unknown."""
        known_ring = self.current.ring
        if known_ring is None and len(self.intervals) == 1 and ring.epoch == 1:
            # No ring was in force before the first one: the fence only has to cover this agent's earlier
            # incarnation, so it counts from this agent's start.
            self.append(ring, now)
            self.intervals[0].end = self.intervals[0].start
            return
        follows_known = known_ring is not None and known_ring.epoch + 1 == ring.epoch
        if not follows_known or (former is not None and former != known_ring):
            # If one epoch was missed, `former` fills it; several missed epochs are a gap.
            fills_gap = (
                known_ring is not None
                and former is not None
                and known_ring.epoch + 1 == former.epoch == ring.epoch - 1
            )
            self.append(former if fills_gap else None, now)
        self.append(ring, now)

    def append(self, ring: Ring | None, now: float) -> None:
        """Ends the current interval and begins one for `ring` (None: an unknown ring)."""
        self.current.end = now
        self.intervals.append(RingInterval(self.current.number + 1, ring, now))
        if len(self.intervals) > MAX_REMEMBERED_RINGS:
            del self.intervals[0]
            self.intervals[0].ring = None

    def confirm(self, now: float) -> None:
        """Records that the lease on the current ring is valid at `now`."""
        self.current.confirmed_until = now

    def share(self, key: bytes, at: float) -> tuple[float, float]:
        """Returns the share (0 to 1) at a time, and until when it stays the same if no ring is learnt."""
        least_share = inf
        stable_until = inf
        for interval in reversed(self.intervals):
            if interval.start > at:
                continue
            fenced_until = interval.end + self.fence_s
            if fenced_until <= at:
                break
            stable_until = min(stable_until, fenced_until)
            ring_share = self.share_in(interval.ring, key) if interval.ring is not None else 0.0
            least_share = min(least_share, ring_share)
        return (0.0, inf) if least_share == inf else (least_share, stable_until)
