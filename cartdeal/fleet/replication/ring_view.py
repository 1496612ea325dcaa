"""The state that the parts of a replica share: the present ring, its catch-up, and request ids.

This module owns the ring by which this agent stores its copies. Only `Replica` may change the ring; the other
parts read it.
"""

from collections.abc import Callable

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.replication.catch_up import CatchUp, CatchUpReason, key_bytes
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

MAX_CATCH_UP_SOURCES = 128
"""The number of sources up to which catch-up compares whole ranges; with more sources it goes key by key."""


class RingView:
    """The present ring and catch-up of this agent; both are None until the first ring is learnt."""

    def __init__(
        self, context: NodeContext, settings: FleetSettings, has_valid_lease: Callable[[], bool]
    ) -> None:
        self.context = context
        self.settings = settings
        self.has_valid_lease = has_valid_lease
        self.name = context.name
        self.incarnation = context.incarnation
        self.started_at = context.now
        self.ring: Ring | None = None
        self.catch_up: CatchUp | None = None
        self.had_valid_lease = False  # whether it was valid at least once since the start
        self.slack_ms = int(settings.clock_ahead_s * 1e3)
        self._last_request_id = 0

    @property
    def now(self) -> float:
        """Local monotonic seconds."""
        return self.context.now

    @property
    def wall_ms(self) -> int:
        """The fleet's wall clock in milliseconds."""
        return int(self.context.wall * 1e3)

    @property
    def epoch(self) -> int:
        """The epoch of the present ring; 0 while there is none."""
        return self.ring.epoch if self.ring else 0

    @property
    def is_member(self) -> bool:
        """Whether this agent is a member of the present ring."""
        return self.ring is not None and self.name in self.ring.member_by_name

    @property
    def has_many_sources(self) -> bool:
        """Whether there are too many sources of catch-up to compare whole ranges with each."""
        return self.catch_up is not None and len(self.catch_up.sources) > MAX_CATCH_UP_SOURCES

    @property
    def hands_off_by_key(self) -> bool:
        """Whether former owners hand off single keys without a request."""
        is_gaining = self.catch_up is not None and self.catch_up.reason == CatchUpReason.OWNERSHIP_CHANGED
        return is_gaining and self.has_many_sources

    def next_request_id(self) -> int:
        """The next number of the sequence that request ids and hint versions share in an incarnation."""
        self._last_request_id += 1
        return self._last_request_id

    def owners(self, key: str) -> tuple[str, ...]:
        """The names of a key's owners by the present ring; empty while there is no ring."""
        return owners(self.ring, key_bytes(key), self.settings.copies) if self.ring else ()

    def owners_by(self, ring: Ring | None, key: str) -> tuple[str, ...]:
        """The names of a key's owners by another ring; empty if it is None."""
        return owners(ring, key_bytes(key), self.settings.copies) if ring else ()

    def owns(self, key: str) -> bool:
        """Whether this agent is an owner of a key by the present ring."""
        return self.name in self.owners(key)

    def has_caught_up(self, key: str) -> bool:
        """Whether this agent's copy of a key may be read."""
        return self.catch_up is not None and self.catch_up.has_caught_up(key, self.now)

    def jitter(self) -> float:
        """A random factor for a pause, from 0.75 to 1.25."""
        return 0.75 + 0.5 * self.context.random.random()
