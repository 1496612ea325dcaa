"""Catch-up: which keys an agent may answer reads for, after a change of ring or a restart.

This module owns the argument why a copy may be read. It must never count a source that may itself lack what
is asked for: reads then stay uncertain until every attempt record that could be missing has expired.

The argument. An attempt record counts as written when W of the N owners of its key hold it, all in
one epoch. So at most N - W owners that have caught up lack it, and any R > N - W of them that answer show it.
Each change has to keep that true:

- An agent that owns a key in two successive epochs stays caught up with it: the W owners held what it lacks.
  This fails where the ring shrinks until a key has fewer owners; then all owners fetch again.
- An agent that gains a key has caught up with it once N - W + 1 of its owners in the former ring, each caught
  up in that ring, have reported all that they held. A source reports only in the asker's epoch, so it accepts
  no write of the former epoch afterwards. An owner in the current ring that has caught up lacks no more than
  these do, and counts as one of them.
- An agent that restarted with an empty store may itself have been one of the W. For it, only owners in the
  current ring count, asked once a lease has passed since its start, when no write is pending that its former
  incarnation acknowledged. It counts as restarted until its lease on a ring was renewed once: no former
  incarnation can have been a member of a later ring before that.
- In the first ring of all, an agent of which no other owner knows an earlier incarnation has nothing to catch
  up with. As many owners have to confirm this as would have to report to a restarted agent.
- After the longest lifetime of an attempt record, twice the tolerated clock skew and one lease, all that
  could be missing has expired.

Owners are found by key, ranges by the key's hash. A whole range counts as caught up when so few members have
yet to report on it that they can't be too many of the owners of any key.
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
MAX_DEPTH = 8  # successive epochs through which a key is followed back
MAX_SINGLE_KEYS = 10_000  # caught up with one by one, ahead of their range; the oldest is dropped
RANGES_CACHE_S = 1.0  # how long the computed set of complete ranges is used again


class CatchUpReason(StrEnum):
    """Why an agent has to catch up, which decides whose reports count."""

    FIRST_RING = "first"  # the fleet's first ring: others confirm that they know no earlier incarnation
    RESTARTED = "restarted"  # the store is empty: owners in the current ring report
    OWNERSHIP_CHANGED = "gaining"  # the ring follows one this agent has seen: the former owners report


class Quorum(NamedTuple):
    """How many agents own a key, how many of them have to write, and how many have to answer a read."""

    owners: int
    writes: int
    reads: int


def key_bytes(key: str) -> bytes:
    """The bytes of a record's key that are hashed, also for names that aren't valid Unicode."""
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
    """Progress of one ring's transfer, from when the ring was learnt until its members change.

    Times are monotonic seconds of this agent.

    Attributes:
        reason: Why there is something to catch up with.
        previous: The progress by the ring before, where this one follows it directly.
        reports_valid_at: From when on reports to a restarted agent count.
        expires_at: When all that could be missing has expired.
        former_ring_reports: By source, the ranges for which it has sent all that it held as an owner that had
            caught up in the former ring.
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
        """Begins the catch-up of agent `name`, which started at `started_at`, with a ring learnt later."""
        drift = 1 + settings.clock_drift
        longest_s = settings.longest_mark_s + 2 * settings.clock_ahead_s + settings.lease_s
        self.name = name
        self.copies = settings.copies
        self.ring = ring
        self.former_ring = former_ring
        self.reason = reason
        self.previous = previous if previous and previous.depth < MAX_DEPTH else None
        self.depth: int = 1 + (self.previous.depth if self.previous else 0)
        self.quorum = quorum(settings, ring)
        self.former_quorum = quorum(settings, former_ring) if former_ring else Quorum(0, 0, 0)
        self.other_members = tuple(member for member in ring.names if member != name)
        self.reports_valid_at = started_at + settings.lease_s * drift
        self.expires_at = learned_at + drift * longest_s
        self.former_ring_reports: dict[str, int] = {}
        self.current_ring_reports: dict[str, int] = {}
        self.fresh_start_confirmations: dict[str, None] = {}
        self.caught_up_keys: dict[str, None] = {}
        alone = reason == CatchUpReason.FIRST_RING and not self.other_members
        self._complete_ranges = ALL_RANGES if alone else 0
        self._complete_ranges_until = 0.0

    @property
    def sources(self) -> tuple[str, ...]:
        """The agents whose reports are wanted, in the ring's order."""
        if self.reason == CatchUpReason.OWNERSHIP_CHANGED and self.former_ring is not None:
            return tuple(member for member in self.former_ring.names if member != self.name)
        return self.other_members

    @property
    def _was_member(self) -> bool:
        return self.former_ring is not None and self.name in self.former_ring.member_by_name

    def record_report(self, source: str, former_ranges: int, current_ranges: int) -> None:
        """Notes that a source has sent all that it held in these ranges, as an owner in each of the rings."""
        self._complete_ranges_until = 0.0
        self.former_ring_reports[source] = self.former_ring_reports.get(source, 0) | former_ranges
        self.current_ring_reports[source] = self.current_ring_reports.get(source, 0) | current_ranges

    def mark_restarted(self) -> None:
        """Notes that a member of the first ring knows another incarnation of this agent."""
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
        """The set of ranges that have been caught up with as a whole, one bit for each."""
        if self._complete_ranges == ALL_RANGES or now >= self.expires_at:
            return ALL_RANGES
        if self.reason == CatchUpReason.FIRST_RING:
            if len(self.sources) - len(self.fresh_start_confirmations) <= self.quorum.writes - 2:
                self._complete_ranges = ALL_RANGES
        elif self._complete_ranges_until <= now:
            # Reports change it, and so does time, by way of the progress by the former ring.
            self._complete_ranges_until = now + RANGES_CACHE_S
            self._complete_ranges |= self._reported_ranges(now)
        return self._complete_ranges

    def _reported_ranges(self, now: float) -> int:
        """The ranges on which so many sources have reported that every key in them has enough."""
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
        """Whether it is enough that these sources have reported on a key, as owners in each of the rings."""
        current_owners = owners(self.ring, key_bytes(key), self.copies)
        if self.reason != CatchUpReason.OWNERSHIP_CHANGED or self.former_ring is None:
            reported = sum(owner in current_sources for owner in current_owners if owner != self.name)
            return reported >= self.quorum.owners - self.quorum.writes + 1
        former_owners = owners(self.former_ring, key_bytes(key), self.copies)
        self_counts = self._had_caught_up_as_one_of(former_owners, key, now)
        if self_counts and self.quorum.owners >= self.former_quorum.owners:
            return True
        sources = {owner for owner in former_owners if owner in former_sources}
        sources |= {owner for owner in current_owners if owner in current_sources}
        needed = self.former_quorum.owners - self.former_quorum.writes + 1
        return self_counts + len(sources - {self.name}) >= needed

    def had_caught_up(self, key: str, now: float) -> bool:
        """Whether this agent counts as a source for what was written to the key by the former ring."""
        if self.previous is None or self.former_ring is None:
            return False
        return self._had_caught_up_as_one_of(owners(self.former_ring, key_bytes(key), self.copies), key, now)

    def _had_caught_up_as_one_of(self, former_owners: Iterable[str], key: str, now: float) -> bool:
        return (
            self.name in former_owners and self.previous is not None and self.previous.has_caught_up(key, now)
        )

    def former_complete_ranges(self, now: float) -> int:
        """The set of ranges for which this agent counts as a source for the former ring, one bit for each."""
        return self.previous.complete_ranges(now) if self.previous and self._was_member else 0

    def add_key(self, key: str) -> None:
        """Notes that a single key has been caught up with, ahead of its range."""
        self.caught_up_keys[key] = None
        if len(self.caught_up_keys) > MAX_SINGLE_KEYS:
            del self.caught_up_keys[next(iter(self.caught_up_keys))]


def _ranges_in_more_than(range_sets: list[int], limit: int) -> int:
    """The set of ranges that are in more than `limit` of the sets, counted for all ranges at once."""
    in_at_least = [ALL_RANGES] + [0] * (limit + 1)  # by count: the ranges that are in so many sets
    for ranges in range_sets:
        for count in range(limit, -1, -1):
            in_at_least[count + 1] |= in_at_least[count] & ranges
    return in_at_least[-1]
