"""The records that this agent stores: bytes, a cache of decoded records, owners, expiry and schema migration.

This module owns the copies. It must never store a record that no agent could read, or more records than the
settings allow. The digests by range must always cover exactly the records whose owners by the present ring
are known.
"""

from collections.abc import Callable
from hashlib import blake2b
from heapq import heappop, heappush

from cartdeal.fleet import events
from cartdeal.fleet.errors import InvalidRecordError, RecordTooLargeError
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication import migration, record_codec, records
from cartdeal.fleet.replication.catch_up import RANGE_COUNT, CatchUp, key_bytes, range_of
from cartdeal.fleet.replication.records import Record, Session
from cartdeal.fleet.replication.ring_view import RingView
from cartdeal.fleet.ring.ring import Ring

MAX_SENT_RECORD_BYTES = 200 * 1024
MAX_KEY_CHARACTERS = 600
KEY_PREFIXES = ("s/", "u/")
PLACED_PER_TICK = 2_000  # records whose owners are recomputed; fewer if the ring has many members
MIGRATED_PER_TICK = 200
MAX_EXPIRED_PER_TICK = 1_000
CACHED_RECORDS = 4_096  # decoded records; decoding is the slowest part of an operation
RANGE_DIGEST_BYTES = 8
KEY_DIGEST_BYTES = 8  # leading bytes of a record's digest that a list of keys contains


class StoredRecord:
    """This agent's copy of one record.

    Attributes:
        data: The encoded record.
        digest: The record's digest.
        range_term: A hash of key and digest that is XORed into the digests of the record's range.
        owners: The names of the key's owners.
        placed_by: The catch-up of the ring by which `owners` were computed; None before.
        expires_ms: The wall clock at which the next attempt record expires; 0 if none does.
        form: The schema version and the phase in which `data` is written.
    """

    __slots__ = ("data", "digest", "expires_ms", "form", "owners", "placed_by", "range_term")

    def __init__(self) -> None:
        self.data = b""
        self.digest = b""
        self.range_term = 0
        self.owners: tuple[str, ...] = ()
        self.placed_by: CatchUp | None = None
        self.expires_ms = 0
        self.form = (0, "")


class RecordStore:
    """Stores records by key.

    `on_owners_gained(key, owners)` is called when a record has new owners and this agent, as the first of its
    former owners that remain, has to hand it to them. `on_dropped(key)` is called when a record is dropped.
    """

    def __init__(
        self,
        view: RingView,
        on_owners_gained: Callable[[str, list[str]], None],
        on_dropped: Callable[[str], None],
    ) -> None:
        self.view = view
        self.context = view.context
        self.on_owners_gained = on_owners_gained
        self.on_dropped = on_dropped
        self.records: dict[str, StoredRecord] = {}
        self.ranges: list[dict[str, StoredRecord]] = [{} for _ in range(RANGE_COUNT)]
        self.cache: dict[str, Record] = {}  # decoded records; never modified in place
        self.peer_digests: dict[str, list[int]] = {}  # peer -> digest by range of records both own
        self.unowned_counts: dict[str, list[int]] = {}  # peer -> by range, its records only stored here
        self.unplaced_ranges: list[int] = []  # ranges whose records' owners have yet to be recomputed
        self.expiries: list[tuple[int, str]] = []  # a heap of (expires_ms, key)
        self.form = (1, "steady")  # schema version and phase in which records are written
        self.old_form_count = 0
        self.ranges_to_migrate: list[int] = []

    # Reading and writing

    def get(self, key: str) -> Record | None:
        """The record under a key, or None if none is stored."""
        record = self.cache.get(key)
        if record is None and key in self.records:
            record = record_codec.decode(key[0], self.records[key].data, self.view.settings.reads[1])
            self._cache(key, record)
        return record

    def get_session(self, key: str) -> Session:
        """The session under a key without its expired attempt records; empty if none is stored."""
        session = self.without_expired(self.get(key) or Session())
        assert isinstance(session, Session)
        return session

    def without_expired(self, record: Record) -> Record:
        """The record without the attempt records that have expired by the slowest tolerated clock."""
        return records.without_expired(record, self.view.wall_ms, self.view.slack_ms)

    def encode(self, key: str, record: Record) -> bytes:
        """The record's bytes in the form that is written now.

        Raises:
            RecordTooLargeError: The record is so large that no agent would read it.
        """
        return record_codec.encode(key[0], record, *self.form, supported_version=self.view.settings.reads[1])

    def encode_to_send(self, key: str, record: Record) -> bytes | None:
        """The record's bytes in the form written now; None, with a counter, if too large for a message."""
        try:
            data = self.encode(key, record)
        except RecordTooLargeError:
            data = b""
        if data and len(data) <= MAX_SENT_RECORD_BYTES:
            return data
        self.context.increment(Metric.RECORDS_TOO_LARGE)
        return None

    def decode_received(self, key: str, data: bytes) -> Record | None:
        """Decodes a peer's record, without its expired attempt records.

        Returns None, with a counter, if the key or the record is invalid or the writer's clock is ahead.
        """
        settings = self.view.settings
        if not (2 <= len(key) <= MAX_KEY_CHARACTERS and key[:2] in KEY_PREFIXES):
            self.context.increment(Metric.DROPPED_BAD_KEY)
            return None
        try:
            record = record_codec.decode(key[0], data, settings.reads[1])
        except InvalidRecordError:
            self.context.increment(Metric.DROPPED_BAD_RECORD)
            return None
        longest_ms = int(settings.longest_mark_s * 1e3)
        error = records.clock_error(
            record, self.view.wall_ms, longest_ms, self.view.slack_ms, settings.period_s
        )
        if error:
            self.context.log_event(events.RecordClockAhead(str(error)))
            self.context.increment(Metric.DROPPED_CLOCK_AHEAD)
            return None
        return self.without_expired(record)

    def merge(self, key: str, record: Record) -> bool:
        """Merges a record into the stored one; returns False if it can't be stored for lack of room."""
        stored = self.records.get(key)
        if stored:
            current = self.get(key)
            assert current is not None
            record = records.merge(current, record)
        record = self.without_expired(record)
        if records.is_empty(record):
            if stored:
                self.drop(key)
            return True
        if not stored and len(self.records) >= self.view.settings.most_records:
            self.drop_expired()
            if len(self.records) >= self.view.settings.most_records:
                self.context.increment(Metric.RECORDS_FULL)
                return False
        return self.put(key, record)

    def put(self, key: str, record: Record) -> bool:
        """Stores a record in place of the previous one; returns False if it is too large."""
        stored = self.records.get(key)
        digest = records.digest(record)
        if stored and stored.digest == digest and stored.form == self.form:
            return True
        try:
            data = self.encode(key, record)
        except RecordTooLargeError as error:
            self.context.increment(Metric.RECORDS_TOO_LARGE)
            self.context.log_event(events.RecordTooLarge(str(error)))
            return False
        self._cache(key, record)
        if stored is None:
            stored = StoredRecord()
            self.records[key] = self.ranges[range_of(key)][key] = stored
        else:
            self.old_form_count -= stored.form != self.form
            self._remove_from_ranges(key, stored)
        stored.data = data
        stored.digest = digest
        stored.form = self.form
        stored.range_term = int.from_bytes(blake2b(key_bytes(key) + digest, digest_size=8).digest())
        if self.view.catch_up is not None:
            if stored.placed_by is self.view.catch_up:
                self._count_in_ranges(key, stored, 1)
            else:
                self._assign_owners(key, stored)
        if isinstance(record, Session):
            self._schedule_expiry(key, stored, record)
        return True

    def drop(self, key: str) -> None:
        """Drops a stored record."""
        stored = self.records.pop(key)
        self.cache.pop(key, None)
        del self.ranges[range_of(key)][key]
        self.old_form_count -= stored.form != self.form
        self._remove_from_ranges(key, stored)
        self.on_dropped(key)

    def migrate_if_old_form(self, key: str, record: Record) -> None:
        """Rewrites a stored record, which the caller has decoded, if it isn't in the present form."""
        if key in self.records and self.records[key].form != self.form:
            self.put(key, record)

    def _cache(self, key: str, record: Record) -> None:
        self.cache.pop(key, None)
        self.cache[key] = record
        if len(self.cache) > CACHED_RECORDS:
            del self.cache[next(iter(self.cache))]

    # Expiry

    def drop_expired(self) -> None:
        """Drops attempt records that have expired by the slowest tolerated clock.

        Rewrites at most MAX_EXPIRED_PER_TICK records in a call.
        """
        wall_ms = self.view.wall_ms
        budget = MAX_EXPIRED_PER_TICK
        while self.expiries and budget and self.expiries[0][0] <= wall_ms:
            expires_ms, key = heappop(self.expiries)
            stored = self.records.get(key)
            if stored is None or stored.expires_ms != expires_ms:
                continue
            budget -= 1
            current = self.get(key)
            assert current is not None
            record = records.without_expired(current, wall_ms, self.view.slack_ms)
            stored.expires_ms = 0
            if isinstance(record, Session) and not record.attempts:
                self.drop(key)  # fields that only a newer program can read have expired, too
            else:
                self.put(key, record)

    def _schedule_expiry(self, key: str, stored: StoredRecord, session: Session) -> None:
        slack_ms = self.view.slack_ms
        latest_ms = self.view.wall_ms + int(1e3 * self.view.settings.longest_mark_s) + slack_ms
        first_ms = min((attempt.expires_ms for attempt in session.attempts.values()), default=latest_ms)
        expires_ms = slack_ms + first_ms
        if expires_ms != stored.expires_ms:
            stored.expires_ms = expires_ms
            heappush(self.expiries, (expires_ms, key))

    # Schema migration

    def set_form(self, ring: Ring) -> None:
        """Sets the form in which records are written to the ring's; `migrate` rewrites the stored records."""
        form = (ring.written_version, ring.phase)
        if form != self.form:
            self.form = form
            self.old_form_count = len(self.records)
            self.ranges_to_migrate = list(range(RANGE_COUNT))

    def migrate(self) -> None:
        """Rewrites records in the present form, about MIGRATED_PER_TICK in a call."""
        budget = MIGRATED_PER_TICK
        while self.ranges_to_migrate and budget > 0:
            stored_range = self.ranges[self.ranges_to_migrate[-1]]
            keys = [key for key, stored in stored_range.items() if stored.form != self.form][:budget]
            for key in keys:
                record = self.get(key)
                assert record is not None
                if not self.put(key, record):
                    self.drop(key)  # too large in the present form: no agent would read it
            budget -= len(keys)
            if budget > 0:
                self.ranges_to_migrate.pop()

    @property
    def migrated_version(self) -> int:
        """The schema version in which all stored records are written."""
        if self.view.ring is None:
            return self.view.settings.reads[0]
        return migration.migrated_version(self.view.ring, self.old_form_count)

    # Placement by range

    def restart_placement(self) -> None:
        """Begins to recompute the owners of all records, as the members of the ring have changed."""
        self.peer_digests = {}
        self.unowned_counts = {}
        self.unplaced_ranges = list(range(RANGE_COUNT))
        self.place()

    def place(self) -> None:
        """Recomputes the owners of records by the present ring, one range at a time up to a budget."""
        ring = self.view.ring
        assert ring is not None
        budget = min(PLACED_PER_TICK, 50 * PLACED_PER_TICK // len(ring.members))
        while self.unplaced_ranges and budget > 0:
            for key, stored in self.ranges[self.unplaced_ranges[-1]].items():
                if stored.placed_by is not self.view.catch_up:
                    self._assign_owners(key, stored)
                    budget -= 1
            self.unplaced_ranges.pop()

    def _assign_owners(self, key: str, stored: StoredRecord) -> None:
        view = self.view
        stored.placed_by = view.catch_up
        stored.owners = view.owners(key)
        self._count_in_ranges(key, stored, 1)
        if not view.hands_off_by_key:
            return
        assert view.catch_up is not None
        assert view.ring is not None
        former = view.owners_by(view.catch_up.former_ring, key)
        remaining_owners = [owner for owner in former if owner in view.ring.member_by_name]
        if remaining_owners[:1] == [view.name]:
            new_owners = [owner for owner in stored.owners if owner not in remaining_owners]
            if new_owners:
                self.on_owners_gained(key, new_owners)

    def _remove_from_ranges(self, key: str, stored: StoredRecord) -> None:
        if self.view.catch_up is not None and stored.placed_by is self.view.catch_up:
            self._count_in_ranges(key, stored, -1)

    def _count_in_ranges(self, key: str, stored: StoredRecord, change: int) -> None:
        """Adds a record to the digests and counts by range (`change` 1), or removes it (`change` -1)."""
        index = range_of(key)
        is_owner = self.view.name in stored.owners
        by_peer = self.peer_digests if is_owner else self.unowned_counts
        for peer in stored.owners:
            if peer == self.view.name:
                continue
            values = by_peer.get(peer)
            if values is None:
                values = by_peer[peer] = [0] * RANGE_COUNT
            if is_owner:
                values[index] ^= stored.range_term
            else:
                values[index] += change

    def drop_unowned(self) -> None:
        """Drops the records that this agent stores but doesn't own."""
        for key in [key for key, stored in self.records.items() if self.view.name not in stored.owners]:
            self.drop(key)
        self.unowned_counts = {}

    # Comparison with peers

    def range_digests(self, peer: str) -> bytes:
        """Digests by range, 8 bytes each, of the records that both a peer and this agent own."""
        values = self.peer_digests.get(peer, [0] * RANGE_COUNT)
        return b"".join(value.to_bytes(RANGE_DIGEST_BYTES) for value in values)

    def combined_digest(self, peer: str) -> bytes:
        """One digest over `range_digests`."""
        return blake2b(self.range_digests(peer), digest_size=16).digest()

    def unowned_ranges(self, peer: str) -> int:
        """Bit mask of the ranges with records that a peer owns and this agent only stores."""
        return sum((count > 0) << index for index, count in enumerate(self.unowned_counts.get(peer, ())))

    def keys_owned_by(self, peer: str, range_index: int, after: str) -> list[str]:
        """Keys of a range that a peer owns, after the key `after`, in ascending order."""
        return sorted(
            key for key, stored in self.ranges[range_index].items() if key > after and peer in stored.owners
        )

    def keys_owned_with(self, peer: str, range_index: int, after: str) -> list[str]:
        """Keys of a range that both a peer and this agent own, after the key `after`, in ascending order."""
        return sorted(
            key
            for key, stored in self.ranges[range_index].items()
            if key > after and peer in stored.owners and self.view.name in stored.owners
        )

    def key_digest(self, key: str) -> bytes:
        """The first KEY_DIGEST_BYTES of a stored record's digest; b"" if none is stored."""
        stored = self.records.get(key)
        return stored.digest[:KEY_DIGEST_BYTES] if stored else b""

    # Inspection

    def all_records(self) -> dict[str, Record]:
        """All stored records by key, in ascending order of keys."""
        return {key: record for key in sorted(self.records) if (record := self.get(key)) is not None}

    def owned_digest(self, peer: str = "") -> bytes:
        """A digest over all records that this agent owns; with `peer`, over those that both own."""
        hasher = blake2b(digest_size=16)
        for key, record in self.all_records().items():
            names = self.view.owners(key)
            if self.view.name not in names or (peer and peer not in names):
                continue
            current = self.without_expired(record)
            if not records.is_empty(current):
                hasher.update(key_bytes(key) + records.digest(current))
        return hasher.digest()
