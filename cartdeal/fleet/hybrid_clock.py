"""Hybrid logical clock (Kulkarni et al. 2014): timestamps that follow the wall clock and never decrease.

A clock keeps its latest timestamp, and how far each peer's clock was ahead when last observed. It must never
follow a timestamp that is too far ahead: otherwise one wrong clock would advance all others. It reads no
clock itself: each call passes the wall clock's time.
"""

from msgspec import Struct

from cartdeal.fleet.errors import ClockAheadError

MAX_COUNT = 1 << 31  # timestamps per millisecond; after that the next millisecond is used early
MAX_PEERS = 1024  # peers whose offsets are kept; the least recently observed one is dropped first
MAX_NAME_LENGTH_IN_ERROR = 64  # characters


class Timestamp(Struct, frozen=True, array_like=True, order=True):
    """A hybrid timestamp, ordered by time, count and agent. No two agents issue the same one."""

    wall_ms: int
    count: int  # number of the timestamp within its millisecond, from 0
    name: str  # of the agent that issued it


class HybridClock:
    """The hybrid clock of one agent. If the wall clock jumps back, it counts on from the latest timestamp.

    Attributes:
        latest: The greatest timestamp issued or observed.
        peer_offsets_ms: By peer, how far its clock was ahead of the local wall clock when last observed; the
            least recently observed peer first.
    """

    def __init__(self, name: str, max_ahead_s: float) -> None:
        """Creates the clock of agent `name`, which accepts timestamps up to `max_ahead_s` ahead."""
        self.name = name
        self.max_ahead_ms = round(max_ahead_s * 1000)
        self.latest = Timestamp(0, 0, name)
        self.peer_offsets_ms: dict[str, int] = {}

    def tick(self, wall_s: float) -> Timestamp:
        """Issues a timestamp greater than all that were issued or observed."""
        return self._advance(max(int(wall_s * 1000), 0), self.latest)

    def observe(self, timestamp: Timestamp, wall_s: float) -> Timestamp:
        """Observes a peer's timestamp and issues a greater one.

        A timestamp that is not greater than `latest` is always accepted, since it advances nothing: so a wall
        clock that has jumped back does not cause refusals.

        Raises:
            ClockAheadError: The timestamp is too far ahead; `latest` is unchanged.
        """
        wall_ms = max(int(wall_s * 1000), 0)
        offset_ms = timestamp.wall_ms - wall_ms
        if timestamp.name != self.name:
            # Removed and added again, so that the least recently observed peer comes first.
            self.peer_offsets_ms.pop(timestamp.name, None)
            self.peer_offsets_ms[timestamp.name] = offset_ms
            if len(self.peer_offsets_ms) > MAX_PEERS:
                del self.peer_offsets_ms[next(iter(self.peer_offsets_ms))]
        if offset_ms > self.max_ahead_ms and timestamp.wall_ms > self.latest.wall_ms:
            raise ClockAheadError(
                f"the clock of {timestamp.name[:MAX_NAME_LENGTH_IN_ERROR]}",
                f"{offset_ms / 1000:.3f} s ahead of {self.name}",
            )
        return self._advance(wall_ms, max(self.latest, timestamp))

    def is_behind(self) -> bool:
        """Whether this agent's own clock is wrong: more than half of the peers' clocks are too far ahead.

        A delayed message makes its sender's clock seem behind, never ahead; so only clocks ahead are counted.
        """
        ahead_count = sum(offset_ms > self.max_ahead_ms for offset_ms in self.peer_offsets_ms.values())
        return 2 * ahead_count > len(self.peer_offsets_ms)

    def _advance(self, wall_ms: int, newest: Timestamp) -> Timestamp:
        if wall_ms > newest.wall_ms:
            self.latest = Timestamp(wall_ms, 0, self.name)
        elif newest.count + 1 < MAX_COUNT:
            self.latest = Timestamp(newest.wall_ms, newest.count + 1, self.name)
        else:
            self.latest = Timestamp(newest.wall_ms + 1, 0, self.name)
        return self.latest
