"""Which share of a tenant's limit this agent may grant, by the rings that were in force lately.

It is pure: it sends nothing and reads no clock; all times are seconds on the agent's own monotonic clock. It
must never give a share that another agent may still grant by an earlier ring.
"""

from collections.abc import Callable
from math import inf

from cartdeal.fleet.ring.ring import Ring

MAX_REMEMBERED_RINGS = 16  # older ones count as unknown, and while an unknown one matters nothing is granted

ShareIn = Callable[[Ring, bytes], float]


class RingInterval:
    """The time for which one ring was in force at this agent."""

    def __init__(self, number: int, ring: Ring | None, start: float) -> None:
        self.number = number
        self.ring = ring  # None: nothing is known of this time
        self.start = start
        self.end = inf
        self.proven_until = -inf  # the last time at which a majority was known to hold this ring


class OwnershipHistory:
    """The least share of a key by all rings that were in force within the last fence.

    A ring that this agent has not learnt may have had other owners, whose leases may still be in use. So
    after a gap in the epochs, as after a start, the share is 0 for one fence.

    Args:
        start: when the agent started.
        fence_s: for how long leases of an earlier owner may be in use.
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
        """Puts a ring in force. `former` is the ring of the epoch before it, where that is known."""
        known = self.current.ring
        if known is None and len(self.intervals) == 1 and ring.epoch == 1:
            # No ring was in force before the first: the fence only has to cover this agent's earlier
            # incarnation, and counts from the start.
            self.append(ring, now)
            self.intervals[0].end = self.intervals[0].start
            return
        follows_known = known is not None and known.epoch + 1 == ring.epoch
        if not follows_known or (former is not None and former != known):
            # A ring of one missing epoch can stand in the history; more missing epochs are a gap.
            fills_gap = (
                known is not None and former is not None and known.epoch + 1 == former.epoch == ring.epoch - 1
            )
            self.append(former if fills_gap else None, now)
        self.append(ring, now)

    def append(self, ring: Ring | None, now: float) -> None:
        """Ends the current interval and begins one with `ring`."""
        self.current.end = now
        self.intervals.append(RingInterval(self.current.number + 1, ring, now))
        if len(self.intervals) > MAX_REMEMBERED_RINGS:
            del self.intervals[0]
            self.intervals[0].ring = None

    def prove(self, now: float) -> None:
        """Records that a majority holds the current ring at `now`."""
        self.current.proven_until = now

    def share(self, key: bytes, at: float) -> tuple[float, float]:
        """Returns the share at a time, and until when it stays so unless a ring is learnt."""
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
