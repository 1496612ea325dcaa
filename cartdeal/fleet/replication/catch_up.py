"""Catch-up: which keys an agent may answer reads for, after a change of ring or a restart.

This module decides when a copy may be read. It must never count a source that may itself lack the requested
records: reads then stay uncertain until every attempt record that could be missing has expired.

Why this is safe: an attempt record counts as written when W of the N owners of its key hold it, all in one
epoch. At most N - W owners that have caught up lack it, so any R > N - W of them that answer include one that
holds it. Every change of ring and every restart has to preserve this:

- An agent that owns a key in two successive epochs stays caught up with it: W owners hold any record that it
  lacks. This fails if the ring shrinks until a key has fewer owners; then all owners fetch again.
- An agent that gains a key has caught up with it once N - W + 1 of its owners in the former ring, each caught
  up in that ring, have reported all records that they held. A source reports only in the requester's epoch,
  so it accepts no write of the former epoch afterwards. An owner in the current ring that has caught up lacks
  no more than these sources do, and counts as one of them.
- An agent that restarted with an empty store may itself have been one of the W. For it, only owners in the
  current ring count, and only once a lease has passed since its start: by then, no write is pending that its
  former incarnation acknowledged. It counts as restarted until its lease on a ring was renewed once: no
  former incarnation can have been a member of a later ring before that.
- In the fleet's first ring, an agent has nothing to catch up with if no other owner knows an earlier
  incarnation of it. As many owners have to confirm this as would have to report to a restarted agent.
- After the longest lifetime of an attempt record, twice the tolerated clock skew and one lease, every attempt
  record that could be missing has expired.

The ring maps a key to its owners; the key's hash selects its range. A whole range counts as caught up once so
many members have reported on it that every key in it has enough reports, whichever members own the key.
"""

from collections.abc import Container, Iterable
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

RANGE_COUNT = 64  # ranges of hashed keys; a set of ranges is an int with one bit for each
ALL_RANGES = (1 << RANGE_COUNT) - 1
MAX_FORMER_RINGS = 8  # successive former rings whose catch-up is remembered
MAX_CAUGHT_UP_KEYS = 10_000  # keys caught up with one by one, ahead of their range; the oldest is dropped
RANGES_CACHE_S = 1.0  # seconds for which the computed set of complete ranges is reused


class CatchUpReason(StrEnum):
    """Why an agent has to catch up, which determines the agents whose reports count."""

    FIRST_RING = "first"  # the fleet's first ring: others confirm that they know no earlier incarnation
    RESTARTED = "restarted"  # the store is empty: owners in the current ring report
    OWNERSHIP_CHANGED = "gaining"  # the ring follows one this agent has seen: the former owners report


class Quorum(NamedTuple):
    """The numbers of owners of a key: all of them, those that must write, those that must answer a read."""

    owners: int
    writes: int
    reads: int


def key_bytes(key: str) -> bytes:
    """The bytes of a record's key to hash, defined also for keys that aren't valid Unicode."""
    return key.encode("utf-8", "surrogatepass")


def range_of(key: str) -> int:
    """The index of the range that a record's key belongs to, from 0 to RANGE_COUNT - 1."""
    return blake2b(key_bytes(key), digest_size=1).digest()[0] % RANGE_COUNT


def quorum(settings: FleetSettings, ring: Ring) -> Quorum:
    """The quorum of a ring: the configured one, or a majority where there are fewer members than copies."""
    count = min(settings.copies, len(ring.members))
    if count == settings.copies:
        return Quorum(count, settings.write_by, settings.read_by)
    majority = count // 2 + 1
    return Quorum(count, majority, majority)


class CatchUp:
    """An agent's progress in catching up by one ring, from when it learns the ring until the members change.

    Times are monotonic seconds of this agent.

    Attributes:
        reason: Why the agent has to catch up.
        previous: The progress by the former ring, if this ring follows it directly; else None.
        reports_valid_at: The time from which reports to a restarted agent count.
        expires_at: The time at which every attempt record that could be missing has expired.
        former_ring_reports: By source, a bit mask of the ranges whose records it has sent completely, as an
            owner that had caught up in the former ring.
        current_ring_reports: The same for the current ring.
        fresh_start_confirmations: Members that know no other incarnation of this agent, in order of arrival.
        caught_up_keys: Keys caught up with one by one, oldest first.
    """

    def __init__(
        self,
        name: str,
        settings: FleetSettings,
        ring: Ring,
        former_ring: Ring | None,
        reason: CatchUpReason,
        learned_at: float,
        started_at: float,
        previous: "CatchUp | None",
    ) -> None:
        """Begins the catch-up of agent `name`.

        Args:
            name: This agent.
            settings: The fleet's settings.
            ring: The current ring.
            former_ring: The ring before it, if its owners are sources; else None.
            reason: Why the agent has to catch up.
            learned_at: When the agent learnt the current ring, in monotonic seconds.
            started_at: When the agent started, or lost its progress, in monotonic seconds. Reports to a
                restarted agent count one lease later.
            previous: The progress by the former ring, if the current ring follows it directly; else None.
        """
        drift = 1 + settings.clock_drift
        max_record_age_s = settings.longest_mark_s + 2 * settings.clock_ahead_s + settings.lease_s
        self.name = name
        self.copies = settings.copies
        self.ring = ring
        self.former_ring = former_ring
        self.reason = reason
        self.previous = previous if previous and previous.depth < MAX_FORMER_RINGS else None
        self.depth: int = 1 + (self.previous.depth if self.previous else 0)
        self.quorum = quorum(settings, ring)
        self.former_quorum = quorum(settings, former_ring) if former_ring else Quorum(0, 0, 0)
        self.other_members = tuple(member for member in ring.names if member != name)
        self.reports_valid_at = started_at + settings.lease_s * drift
        self.expires_at = learned_at + drift * max_record_age_s
        self.former_ring_reports: dict[str, int] = {}
        self.current_ring_reports: dict[str, int] = {}
        self.fresh_start_confirmations: dict[str, None] = {}
        self.caught_up_keys: dict[str, None] = {}
        is_only_member = reason == CatchUpReason.FIRST_RING and not self.other_members
        self._complete_ranges = ALL_RANGES if is_only_member else 0
        self._complete_ranges_until = 0.0

    @property
    def sources(self) -> tuple[str, ...]:
        """The other agents whose reports count, in the ring's order."""
        if self.reason == CatchUpReason.OWNERSHIP_CHANGED and self.former_ring is not None:
            return tuple(member for member in self.former_ring.names if member != self.name)
        return self.other_members

    @property
    def _was_member(self) -> bool:
        return self.former_ring is not None and self.name in self.former_ring.member_by_name

    def record_report(self, source: str, former_ranges: int, current_ranges: int) -> None:
        """Records that a source has sent all of its records in some ranges.

        Args:
            source: The agent that sent its records.
            former_ranges: Bit mask of the ranges that it had caught up with in the former ring.
            current_ranges: Bit mask of the ranges that it has caught up with in the current ring.
        """
        self._complete_ranges_until = 0.0
        self.former_ring_reports[source] = self.former_ring_reports.get(source, 0) | former_ranges
        self.current_ring_reports[source] = self.current_ring_reports.get(source, 0) | current_ranges

    def mark_restarted(self) -> None:
        """Treats this agent as restarted, as a member of the first ring knows another incarnation of it."""
        if self.reason == CatchUpReason.FIRST_RING:
            self.reason = CatchUpReason.RESTARTED
            self._complete_ranges = 0
            self.fresh_start_confirmations = {}
            self.former_ring_reports = {}
            self.current_ring_reports = {}

    def is_complete(self, now: float) -> bool:
        """Whether all ranges have been caught up with."""
        return self.complete_ranges(now) == ALL_RANGES

    def complete_ranges(self, now: float) -> int:
        """Bit mask of the ranges that have been caught up with as a whole."""
        if self._complete_ranges == ALL_RANGES or now >= self.expires_at:
            return ALL_RANGES
        if self.reason == CatchUpReason.FIRST_RING:
            if len(self.sources) - len(self.fresh_start_confirmations) <= self.quorum.writes - 2:
                self._complete_ranges = ALL_RANGES
        elif self._complete_ranges_until <= now:
            # The set grows with reports, and with time through the progress by the former ring.
            self._complete_ranges_until = now + RANGES_CACHE_S
            self._complete_ranges |= self._reported_ranges(now)
        return self._complete_ranges

    def _reported_ranges(self, now: float) -> int:
        """Bit mask of the ranges in which every key has enough sources that have reported."""
        if self.reason == CatchUpReason.OWNERSHIP_CHANGED:
            reports, max_missing = self.former_ring_reports, self.former_quorum.writes - 1
        else:
            reports, max_missing = self.current_ring_reports, self.quorum.writes - 2
        unreported = [ALL_RANGES & ~reports.get(source, 0) for source in self.sources]
        if self.reason == CatchUpReason.OWNERSHIP_CHANGED and self._was_member:
            unreported.append(ALL_RANGES & ~self.former_complete_ranges(now))
        return ALL_RANGES & ~_ranges_in_more_than(unreported, max_missing)

    def has_caught_up(self, key: str, now: float) -> bool:
        """Whether this agent's copy of the key may be read."""
        bit = range_of(key)
        if now >= self.expires_at or self._complete_ranges >> bit & 1 or key in self.caught_up_keys:
            return True
        if self.reason == CatchUpReason.FIRST_RING:
            return self.has_enough_sources(key, (), self.fresh_start_confirmations, now)
        former, current = (
            [source for source, ranges in reports.items() if ranges >> bit & 1]
            for reports in (self.former_ring_reports, self.current_ring_reports)
        )
        return self.has_enough_sources(key, former, current, now)

    def has_enough_sources(
        self, key: str, former_sources: Container[str], current_sources: Container[str], now: float
    ) -> bool:
        """Whether enough sources have reported on a key for its copy to be read.

        Args:
            key: The record's key.
            former_sources: Agents that have reported as owners in the former ring.
            current_sources: Agents that have reported as owners in the current ring.
            now: Monotonic seconds.
        """
        current_owners = owners(self.ring, key_bytes(key), self.copies)
        if self.reason != CatchUpReason.OWNERSHIP_CHANGED or self.former_ring is None:
            reported = sum(owner in current_sources for owner in current_owners if owner != self.name)
            return reported >= self.quorum.owners - self.quorum.writes + 1
        former_owners = owners(self.former_ring, key_bytes(key), self.copies)
        is_former_source = self._had_caught_up_as_owner(former_owners, key, now)
        if is_former_source and self.quorum.owners >= self.former_quorum.owners:
            return True
        sources = {owner for owner in former_owners if owner in former_sources}
        sources |= {owner for owner in current_owners if owner in current_sources}
        needed = self.former_quorum.owners - self.former_quorum.writes + 1
        return is_former_source + len(sources - {self.name}) >= needed

    def had_caught_up(self, key: str, now: float) -> bool:
        """Whether this agent counts as a source for writes to the key in the former ring."""
        if self.previous is None or self.former_ring is None:
            return False
        return self._had_caught_up_as_owner(owners(self.former_ring, key_bytes(key), self.copies), key, now)

    def _had_caught_up_as_owner(self, former_owners: Iterable[str], key: str, now: float) -> bool:
        return (
            self.name in former_owners and self.previous is not None and self.previous.has_caught_up(key, now)
        )

    def former_complete_ranges(self, now: float) -> int:
        """Bit mask of the ranges in which this agent counts as a source for the former ring."""
        return self.previous.complete_ranges(now) if self.previous and self._was_member else 0

    def add_key(self, key: str) -> None:
        """Records that a single key has been caught up with, ahead of its range."""
        self.caught_up_keys[key] = None
        if len(self.caught_up_keys) > MAX_CAUGHT_UP_KEYS:
            del self.caught_up_keys[next(iter(self.caught_up_keys))]


def _ranges_in_more_than(range_sets: list[int], limit: int) -> int:
    """Bit mask of the ranges that are in more than `limit` of the masks, counted for all ranges at once."""
    in_at_least = [ALL_RANGES] + [0] * (limit + 1)  # in_at_least[n]: ranges that are in at least n bit masks
    for ranges in range_sets:
        for count in range(limit, -1, -1):
            in_at_least[count + 1] |= in_at_least[count] & ranges
    return in_at_least[-1]
