"""Hybrid logical clocks (Kulkarni and others, 2014): timestamps that follow the wall clock and never go back.

The module owns the latest timestamp, and how far ahead each peer's clock was when last observed. It must
never believe a clock too far ahead: one wrong clock would drag every other one along. It reads no clock
itself: the wall clock's time comes with each call.
"""

from msgspec import Struct

from cartdeal.fleet.errors import ClockAheadError

MAX_COUNT = 1 << 31  # timestamps in one millisecond; then the next millisecond is used early
MAX_PEERS = 1024  # peers whose clocks are remembered; the one observed least recently is dropped
MAX_NAME_IN_ERROR = 64  # characters


class Timestamp(Struct, frozen=True, array_like=True, order=True):
    """Ordered by time, then count, then agent: no two agents issue the same one."""

    wall_ms: int
    count: int  # of the timestamps issued in the same millisecond
    name: str  # the agent that issued it


class HybridClock:
    """The clock of one agent. After its wall clock jumps back, it counts on from the latest timestamp.

    Attributes:
        latest: The newest timestamp issued or observed.
        peer_offsets_ms: By peer, how far its clock was ahead of ours when last observed; the least recently
            observed first.
    """

    def __init__(self, name: str, max_ahead_s: float) -> None:
        """Starts the clock of agent `name`, which believes others that are up to `max_ahead_s` ahead."""
        self.name = name
        self.max_ahead_ms = round(max_ahead_s * 1000)
        self.latest = Timestamp(0, 0, name)
        self.peer_offsets_ms: dict[str, int] = {}

    def tick(self, wall_s: float) -> Timestamp:
        """Issues a timestamp greater than all issued or observed."""
        return self._advance(max(int(wall_s * 1000), 0), self.latest)

    def observe(self, timestamp: Timestamp, wall_s: float) -> Timestamp:
        """Takes a peer's timestamp into account, and issues a greater one.

        A timestamp that isn't newer than `latest` does no harm: it is accepted even where our own wall clock
        has jumped back.

        Raises:
            ClockAheadError: The timestamp is too far ahead; `latest` is unchanged.
        """
        wall_ms = max(int(wall_s * 1000), 0)
        offset_ms = timestamp.wall_ms - wall_ms
        if timestamp.name != self.name:
            # Taken out first, so that the least recently observed peer stands first.
            self.peer_offsets_ms.pop(timestamp.name, None)
            self.peer_offsets_ms[timestamp.name] = offset_ms
            if len(self.peer_offsets_ms) > MAX_PEERS:
                del self.peer_offsets_ms[next(iter(self.peer_offsets_ms))]
        if offset_ms > self.max_ahead_ms and timestamp.wall_ms > self.latest.wall_ms:
            raise ClockAheadError(
                f"the clock of {timestamp.name[:MAX_NAME_IN_ERROR]}",
                f"{offset_ms / 1000:.3f} s ahead of {self.name}",
            )
        return self._advance(wall_ms, max(self.latest, timestamp))

    def is_behind(self) -> bool:
        """Whether our own clock is the wrong one: more than half of the peers' clocks are too far ahead.

        A message may be late, so peers that seem behind prove nothing; peers that seem ahead are.
        """
        ahead = sum(offset_ms > self.max_ahead_ms for offset_ms in self.peer_offsets_ms.values())
        return 2 * ahead > len(self.peer_offsets_ms)

    def _advance(self, wall_ms: int, newest: Timestamp) -> Timestamp:
        if wall_ms > newest.wall_ms:
            self.latest = Timestamp(wall_ms, 0, self.name)
        elif newest.count + 1 < MAX_COUNT:
            self.latest = Timestamp(newest.wall_ms, newest.count + 1, self.name)
        else:
            self.latest = Timestamp(newest.wall_ms + 1, 0, self.name)
        return self.latest
