"""Copies of sessions and uses on their owners: claims and reads by quorum, hints for the absent, digests by
range, catch-up (what counts as caught up: ranges.py), and the move of what is kept to the form written now.

It owns the copies that this agent keeps, and the marks that it wrote until all owners have them. It must
never call an answer sure that not enough owners gave, all of one epoch and caught up; lose an own mark and
not say so; or let a message, a table or an event grow with what is kept where it could with what differs.

After Dynamo (DeCandia and others, 2007): preference lists, hinted handoff, anti-entropy; without its sloppy
quorums, as two that ask different agents would not see each other.
"""

from hashlib import blake2b
from heapq import heappop, heappush
from itertools import islice

from cartdeal.fleet import events
from cartdeal.fleet.errors import InvalidRecordError, RecordTooLargeError
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication import migration, record_codec, records
from cartdeal.fleet.replication.catch_up import (
    ALL_RANGES,
    RANGE_COUNT,
    CatchUp,
    CatchUpReason,
    key_bytes,
    range_of,
)
from cartdeal.fleet.replication.messages import (
    DigestRequest,
    DigestResponse,
    FetchRequest,
    FetchResponse,
    HintAck,
    HintDelivery,
    KeyListRequest,
    KeyListResponse,
    ReadRepairRequest,
    ReadRepairResponse,
    StaleEpoch,
    WriteRequest,
    WriteResponse,
)
from cartdeal.fleet.replication.records import AttemptRecord, Record, Session, UsageCounter
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring

PIECE = 32 * 1024  # bytes of records in one message; one record alone may have more
LARGEST = 200 * 1024  # bytes of one record that is sent
PAGE = 400  # digests in one message
LONGEST_KEY = 600  # characters
MOST_ITEMS = 2_000  # in a message that comes in
AGAIN = 0.25  # seconds after which what was not answered is asked again
LONGEST_PAUSE = 5.0  # between two tries at an owner that doesn't answer
COMPARE = 1.0  # seconds between two comparisons with a co-owner
TRIES = 4  # of one step in a comparison
TALKS = 8  # comparisons at once
MOST_ASKED = 128  # seats that are all asked for whole ranges; in a larger ring it goes key by key
PLACED = 2_000  # records a tick whose owners are found anew; fewer where there are many seats
MOVED, SWEPT = 200, 1_000  # records a tick whose form is changed, or whose marks are dropped
WARM = 4_096  # records kept as objects, too, as reading one takes longer than all else
LEARN = 1.0  # seconds for which an owner goes on asking for one key


class StoredRecord:
    """A copy, as bytes."""

    __slots__ = ("data", "digest", "sum", "owners", "era", "due", "stage")


class PendingOperation:
    """A claim or read that has not been answered, or not by all owners."""

    __slots__ = (
        "ticket",
        "key",
        "by",
        "mark",
        "until",
        "owners",
        "wrote",
        "read",
        "known",
        "turn",
        "need",
        "asked_at",
        "epoch",
        "ended",
    )


class Hint:
    """What this agent wrote under a key and not all owners have yet. `lacks`: owner -> turn that it needs."""

    __slots__ = ("record", "turn", "lacks")

    def __init__(self, record):
        self.record, self.turn, self.lacks = record, 0, {}


class HintQueue:
    """What is to be sent to one owner: one message at a time is on its way."""

    __slots__ = ("keys", "out", "number", "sent_at", "next_at", "pause")

    def __init__(self):
        self.keys, self.out, self.number, self.sent_at, self.next_at, self.pause = {}, {}, 0, 0.0, 0.0, AGAIN


class AntiEntropySession:
    """A comparison with one peer, step by step; `was`, `now`: what its end counts for."""

    __slots__ = (
        "number",
        "message",
        "sent_at",
        "tries",
        "counts",
        "was",
        "now",
        "todo",
        "place",
        "after",
        "end",
        "want",
        "theirs",
    )

    def __init__(self):
        self.number, self.message, self.sent_at, self.tries, self.counts = 0, None, 0.0, 0, False
        self.was = self.now = 0
        self.todo, self.place, self.after, self.end, self.want, self.theirs = [], 0, "", False, [], {}


class PendingRepair:
    """A key that an owner asks about, and the claims that wait for it: (asker, number, incarnation, by)."""

    __slots__ = ("number", "until", "asked_at", "was", "now", "waiters")


class Replica:
    """`on_done(ticket, attempts, certain)` is called once for each write and read.

    `has_valid_lease()`: whether this agent may answer as an owner by its ring.
    """

    def __init__(self, context, settings, on_done, has_valid_lease):
        self.context, self.settings = context, settings
        self.on_done, self.has_valid_lease = on_done, has_valid_lease
        self.name, self.incarnation = context.name, context.incarnation
        self.start = context.now
        self.ring: Ring | None = None
        self.catch_up: CatchUp | None = None
        self.newest_epoch = 0  # epoch that anyone spoke of
        self.vouched = False  # our ring was, at least once since the start
        self.count = 0  # numbers given out
        self.slack_ms = int(settings.clock_ahead_s * 1e3)
        self.incarnations: dict[
            str, tuple[int, bool]
        ] = {}  # of a peer: one of them, and whether there is another
        # Owner
        self.store: dict[str, StoredRecord] = {}
        self.ranges: list[dict[str, StoredRecord]] = [{} for _ in range(RANGE_COUNT)]
        self.warm: dict[str, Record] = {}  # never changed in place
        self.sums: dict[str, list[int]] = {}  # peer -> digest by range of what both own
        self.left: dict[str, list[int]] = {}  # peer -> how many records by range it owns and we only keep
        self.unplaced: list[int] = []  # ranges whose owners by this ring are yet to be found
        self.due: list[tuple[int, str]] = []
        self.stage = (1, "steady")
        self.old_form = 0  # records not in the form written now
        self.to_move: list[int] = []
        self.learning: dict[str, PendingRepair] = {}
        # Asker
        self.open: dict[int, PendingOperation] = {}
        self.mine: dict[str, Hint] = {}
        self.uses: dict[str, UsageCounter] = {}  # own counts of the last periods, by tenant
        self.coming: dict[str, UsageCounter] = {}  # others' counts, merged into the store once a second
        self.used: dict[str, None] = {}  # of these, which have grown since they were told
        self.lines: dict[str, HintQueue] = {}
        self.handing: dict[str, dict[str, None]] = {}  # key no longer ours -> new owners to be given it
        self.was_full = False
        # Comparisons
        self.talks: dict[str, AntiEntropySession] = {}
        self.asked: dict[str, tuple[float, float]] = {}  # source -> when to ask again, and the pause
        self.compare_at = self.start + COMPARE * context.random.random()
        self.sweep_at = self.use_at = self.start
        self.parting: dict[str, None] | None = None  # co-owners to compare with before the end

    @property
    def wall_ms(self) -> int:
        return int(self.context.wall * 1e3)

    def next(self) -> int:
        self.count += 1
        return self.count

    # Rings

    def on_ring_changed(self, ring: Ring, former: Ring | None, since: float | None = None):
        """A new epoch; `former`: the ring before it, if known; `since`: context.now when it was learnt."""
        old, era, now = self.ring, self.catch_up, self.context.now
        if ring == old:
            return
        since = now if since is None else since
        next_one = old is not None and ring.epoch == old.epoch + 1
        follows = former is not None and former.epoch == ring.epoch - 1
        self.ring, self.talks = ring, {}
        if next_one and ring.members == old.members:
            era.ring = ring
        else:
            start = self.start
            if era is None:
                way = (
                    CatchUpReason.FIRST_RING
                    if ring.epoch == 1 and former is None
                    else CatchUpReason.RESTARTED
                )
            elif ring.epoch <= old.epoch:
                # The same epoch twice: what was caught up by the other ring is worth nothing by this one.
                way, start = CatchUpReason.RESTARTED, now
            else:
                way = CatchUpReason.OWNERSHIP_CHANGED if self.vouched and follows else CatchUpReason.RESTARTED
            before = era if way == CatchUpReason.OWNERSHIP_CHANGED and next_one and former == old else None
            former = former if way == CatchUpReason.OWNERSHIP_CHANGED else None
            self.catch_up = CatchUp(self.name, self.settings, ring, former, way, since, start, before)
            self.asked = {}
            self.place_anew()
        self.learning = {}
        if (ring.written_version, ring.phase) != self.stage:
            self.stage = (ring.written_version, ring.phase)
            self.old_form, self.to_move = len(self.store), list(range(RANGE_COUNT))
        self.own_anew(old)
        for number, each in list(self.open.items()):
            if each.ended:
                self.close(number)
            else:
                self.put_to_owners(number)
        self.flush_lines()

    def place_anew(self):
        self.sums, self.left, self.handing = {}, {}, {}
        self.unplaced = list(range(RANGE_COUNT))
        self.place()

    def place(self):
        """Finds some records' owners by the present ring, by whole ranges."""
        most = min(PLACED, 50 * PLACED // len(self.ring.members))
        while self.unplaced and most > 0:
            for key, kept in self.ranges[self.unplaced[-1]].items():
                if kept.era is not self.catch_up:
                    self.seat(key, kept)
                    most -= 1
            self.unplaced.pop()

    def owners(self, key: str) -> tuple[str, ...]:
        return owners(self.ring, key_bytes(key), self.settings.copies) if self.ring else ()

    def seat(self, key: str, kept: StoredRecord):
        kept.era, kept.owners = self.catch_up, self.owners(key)
        self.add(key, kept, 1)
        if (
            self.catch_up.reason == CatchUpReason.OWNERSHIP_CHANGED
            and len(self.catch_up.sources) > MOST_ASKED
        ):
            here = self.ring.member_by_name
            before = [
                each
                for each in owners(self.catch_up.former_ring, key_bytes(key), self.settings.copies)
                if each in here
            ]
            if before[:1] == [self.name]:  # one of the former owners gives it to the new ones, unasked
                gainers = [each for each in kept.owners if each not in before]
                if gainers:
                    self.handing[key] = dict.fromkeys(gainers)
                    for each in gainers:
                        self.line(each).keys[key] = None

    def add(self, key: str, kept: StoredRecord, more: int):
        """Counts a record in or out of what is compared by range."""
        place = range_of(key)
        ours = self.name in kept.owners
        for peer in kept.owners:
            if peer == self.name:
                continue
            if ours:
                sums = self.sums.get(peer)
                if sums is None:
                    sums = self.sums[peer] = [0] * RANGE_COUNT
                sums[place] ^= kept.sum
            else:
                left = self.left.get(peer)
                if left is None:
                    left = self.left[peer] = [0] * RANGE_COUNT
                left[place] += more

    # Store

    def record(self, key: str) -> Record | None:
        record = self.warm.get(key)
        if record is None and key in self.store:
            record = record_codec.decode(key[0], self.store[key].data, self.settings.reads[1])
            self.keep_warm(key, record)
        return record

    def keep_warm(self, key: str, record: Record):
        self.warm.pop(key, None)
        self.warm[key] = record
        if len(self.warm) > WARM:
            del self.warm[next(iter(self.warm))]

    def written(self, key: str, record: Record) -> bytes:
        return record_codec.encode(key[0], record, *self.stage, supported_version=self.settings.reads[1])

    def read_in(self, key: str, raw: bytes) -> Record | None:
        """A record that came from outside, or None: it is dropped and counted."""
        if not (2 <= len(key) <= LONGEST_KEY and key[:2] in ("s/", "u/")):
            return self.context.increment(Metric.DROPPED_BAD_KEY)
        try:
            record = record_codec.decode(key[0], raw, self.settings.reads[1])
        except InvalidRecordError:
            return self.context.increment(Metric.DROPPED_BAD_RECORD)
        error = records.clock_error(
            record,
            self.wall_ms,
            int(self.settings.longest_mark_s * 1e3),
            self.slack_ms,
            self.settings.period_s,
        )
        if error:
            self.context.log_event(events.RecordClockAhead(str(error)))
            return self.context.increment(Metric.DROPPED_CLOCK_AHEAD)
        return records.without_expired(record, self.wall_ms, self.slack_ms)

    def merge(self, key: str, record: Record) -> bool:
        """Takes a record in; False where there is no room."""
        kept = self.store.get(key)
        if kept:
            record = records.merge(self.record(key), record)
        record = records.without_expired(record, self.wall_ms, self.slack_ms)
        if records.is_empty(record):
            if kept:
                self.drop(key)
            return True
        if not kept and len(self.store) >= self.settings.most_records:
            self.sweep(SWEPT)
            if len(self.store) >= self.settings.most_records:
                self.context.increment(Metric.RECORDS_FULL)
                return False
        return self.put(key, record)

    def put(self, key: str, record: Record) -> bool:
        kept, digest = self.store.get(key), records.digest(record)
        if kept and kept.digest == digest and kept.stage == self.stage:
            return True
        try:
            data = self.written(key, record)
        except RecordTooLargeError as error:
            self.context.increment(Metric.RECORDS_TOO_LARGE)
            self.context.log_event(events.RecordTooLarge(str(error)))
            return False
        self.keep_warm(key, record)
        place = range_of(key)
        if kept is None:
            kept = self.store[key] = self.ranges[place][key] = StoredRecord()
            kept.era, kept.due = None, 0
        else:
            self.old_form -= kept.stage != self.stage
            if kept.era is self.catch_up:
                self.add(key, kept, -1)
        kept.data, kept.digest, kept.stage = data, digest, self.stage
        kept.sum = int.from_bytes(blake2b(key_bytes(key) + digest, digest_size=8).digest())
        if kept.era is self.catch_up and self.catch_up is not None:
            self.add(key, kept, 1)
        elif self.catch_up is not None:
            self.seat(key, kept)
        if isinstance(record, Session):
            longest = self.wall_ms + int(1e3 * self.settings.longest_mark_s) + self.slack_ms
            due = self.slack_ms + min((mark.expires_ms for mark in record.attempts.values()), default=longest)
            if due != kept.due:
                kept.due = due
                heappush(self.due, (due, key))
        return True

    def drop(self, key: str):
        kept = self.store.pop(key)
        self.warm.pop(key, None)
        del self.ranges[range_of(key)][key]
        self.old_form -= kept.stage != self.stage
        if kept.era is self.catch_up and self.catch_up is not None:
            self.add(key, kept, -1)
        self.handing.pop(key, None)

    def sweep(self, most: int):
        """Drops marks that are over by the slowest clock allowed."""
        wall_ms = self.wall_ms
        while self.due and most and self.due[0][0] <= wall_ms:
            due, key = heappop(self.due)
            kept = self.store.get(key)
            if kept is None or kept.due != due:
                continue
            most -= 1
            record = records.without_expired(self.record(key), wall_ms, self.slack_ms)
            kept.due = 0
            if isinstance(record, Session) and not record.attempts:
                self.drop(key)  # what a newer program wrote and this one can't read is over by now, too
            else:
                self.put(key, record)

    @property
    def migrated_version(self) -> int:
        """The version that all it keeps is written in."""
        return migration.migrated_version(self.ring, self.old_form) if self.ring else self.settings.reads[0]

    def move(self):
        """Some of what is in an older form is written in the present one."""
        most = MOVED
        while self.to_move and most > 0:
            place = self.to_move[-1]
            old = [key for key, kept in self.ranges[place].items() if kept.stage != self.stage][:most]
            for key in old:
                if not self.put(key, self.record(key)):
                    self.drop(key)  # no agent would read it
            most -= len(old)
            if most > 0:
                self.to_move.pop()

    # Asking

    def write(self, ticket: int, key: str, mark: AttemptRecord, until: float):
        """Writes a mark at all owners and asks what they had before."""
        own = self.mine.get(key)
        if own and own.record.is_full(self.settings.most_marks_a_session):
            self.context.increment(Metric.ATTEMPTS_FULL)
            return self.on_done(ticket, self.marks(key, mark.attempt_id), False)
        if self.has_room(ticket):
            self.own(key, Session({mark.attempt_id: mark}))
            self.begin(ticket, key, mark, until)

    def read(self, ticket: int, key: str, until: float):
        if self.has_room(ticket):
            self.begin(ticket, key, None, until)

    def has_room(self, ticket: int) -> bool:
        if len(self.open) >= self.settings.most_waiting:
            ended = next((number for number, each in self.open.items() if each.ended), None)
            if ended is None:
                self.context.increment(Metric.PENDING_OPERATIONS_FULL)
                self.on_done(ticket, (), False)
                return False
            self.close(ended)
        return True

    def begin(self, ticket: int, key: str, mark: AttemptRecord | None, until: float):
        each = PendingOperation()
        each.ticket, each.key, each.mark, each.ended = ticket, key, mark, False
        # One that restarted counts on it that no claim is open for longer than a lease.
        each.until = min(until, self.context.now + self.settings.lease_s)
        each.by = mark.attempt_id if mark else ""
        each.known = Session()
        number = self.next()
        self.open[number] = each
        self.put_to_owners(number)

    def put_to_owners(self, number: int):
        each, ring = self.open[number], self.ring
        each.wrote, each.read, each.owners, each.asked_at = {}, {}, (), self.context.now
        if ring is None:
            return
        each.owners, each.epoch = self.owners(each.key), ring.epoch
        each.need = (self.catch_up.quorum.writes if each.by else 0, self.catch_up.quorum.reads)
        self.ask_owners(number, each.owners)

    def ask_owners(self, number: int, whom):
        each = self.open[number]
        raw, each.turn = b"", 0
        if each.by:
            own = self.mine.get(each.key)
            if own:  # earlier marks that not all have yet go along
                raw, each.turn = self.sendable(each.key, own.record) or b"", own.turn
            raw = raw or self.sendable(each.key, Session({each.by: each.mark})) or b""
        message = WriteRequest(number, self.incarnation, each.epoch, each.key, each.by, raw)
        for name in whom:
            if name != self.name:
                self.context.send(name, message)
        if self.name in whom:
            told = self.serve(self.name, message)
            if told:
                self.heard_told(self.name, told)

    def heard_told(self, sender: str, message: WriteResponse):
        each = self.open.get(message.request_id)
        if each is None or message.incarnation != self.incarnation or sender not in each.owners:
            return self.context.increment(Metric.DROPPED_LATE_ANSWER)
        if message.epoch != each.epoch:
            return self.context.increment(Metric.DROPPED_OLD_EPOCH)
        if message.record:
            record = self.read_in(each.key, message.record)
            if record is None:
                return
            each.known = records.merge(each.known, record)
        if message.full:
            self.context.increment(Metric.OWNED_LIMITS_FULL)
        if message.written and each.by:
            each.wrote[sender] = None
            self.has(each.key, sender, each.turn)
            if sender == self.name and each.key in self.mine:
                self.settle(each.key, self.mine[each.key])
        if message.caught_up:
            each.read[sender] = None
        if self.context.now > each.until:
            return self.close(message.request_id)  # we were stopped: what came in meanwhile may be of any age
        if not each.ended and len(each.wrote) >= each.need[0] and len(each.read) >= each.need[1]:
            self.end(each, True)
        if each.ended and len(each.wrote if each.by else each.read) == len(each.owners):
            self.open.pop(message.request_id, None)

    def end(self, each: PendingOperation, certain: bool):
        each.ended = True
        self.context.increment(Metric.WRITES_CERTAIN if certain else Metric.WRITES_UNCERTAIN)
        self.on_done(each.ticket, self.marks(each.key, each.by, each.known), certain)

    def marks(self, key: str, by: str, known: Session | None = None) -> tuple[AttemptRecord, ...]:
        """What is known of a session, our own marks that are still on their way included, but for one."""
        known, own = known or Session(), self.mine.get(key)
        if own:
            known = records.merge(known, own.record)
        known = records.without_expired(known, self.wall_ms, self.slack_ms)
        return tuple(mark for name, mark in sorted(known.attempts.items()) if name != by)

    def close(self, number: int):
        """Its time is over: what not all owners have goes on without it."""
        each = self.open.pop(number, None)
        if each is None:
            return
        if not each.ended:
            self.end(each, False)
        self.enqueue(each.key)

    # What this agent wrote

    def update(self, key: str, mark: AttemptRecord):
        """More is known of an own mark; told to all owners, whenever they can be reached."""
        self.own(key, Session({mark.attempt_id: mark}))
        self.enqueue(key)
        self.take_own(key)

    def count_usage(self, tenant: str, period: int, served: int):
        """So many more were served; told about once a second."""
        which = (self.name, self.context.incarnation, period)
        counts = {
            each: n
            for each, n in self.uses.get(tenant, UsageCounter()).served_counts.items()
            if each[2] > period - 3
        }
        counts[which] = counts.get(which, 0) + served
        self.uses.pop(tenant, None)
        self.uses[tenant] = UsageCounter(counts)
        if len(self.uses) > self.settings.most_records:
            del self.uses[next(iter(self.uses))]
        self.used[tenant] = None

    def tell_uses(self):
        coming, self.coming = self.coming, {}
        for key, use in coming.items():
            if self.name in self.owners(key):
                self.merge(key, use)
        used, self.used = self.used, {}
        for key in [f"u/{tenant}" for tenant in used if tenant in self.uses]:
            self.own(key, self.uses[key[2:]])
            self.enqueue(key)
            self.take_own(key)

    def own(self, key: str, record: Record) -> Hint:
        own = self.mine.get(key)
        if own is None:
            if len(self.mine) >= self.settings.most_hints:
                del self.mine[next(iter(self.mine))]
                self.context.increment(Metric.HINTS_DROPPED)
                if not self.was_full:
                    self.was_full = True
                    self.context.log_event(events.HintsFull(self.settings.most_hints))
            own = self.mine[key] = Hint(record)
        else:
            own.record = records.merge(own.record, record)
        own.turn = self.next()
        own.lacks = {name: own.turn for name in self.owners(key) if name != self.name}
        return own

    def take_own(self, key: str):
        """Our own part, where we are an owner."""
        own = self.mine.get(key)
        if own and self.name in self.owners(key):
            self.take(key, own.record)
            self.settle(key, own)

    def take(self, key: str, record: Record) -> bool:
        if (
            isinstance(record, Session)
            or key not in self.store
            or len(self.coming) >= self.settings.most_waiting
        ):
            return self.merge(key, record)
        self.coming[key] = records.merge(self.coming[key], record) if key in self.coming else record
        return True

    def own_anew(self, old: Ring | None):
        """After a change of ring: who has an own mark already still has it, the new owners lack it."""
        self.lines = {name: line for name, line in self.lines.items() if name in self.ring.member_by_name}
        for line in self.lines.values():
            line.out, line.next_at, line.pause = {}, self.context.now, AGAIN
        for key, own in list(self.mine.items()):
            had = owners(old, key_bytes(key), self.settings.copies) if old else ()
            lacks = {}
            for name in self.owners(key):
                if name != self.name and (name not in had or name in own.lacks):
                    lacks[name] = own.lacks.get(name, own.turn)
            own.lacks = lacks
            self.take_own(key)
            self.enqueue(key)

    def has(self, key: str, owner: str, turn: int):
        own = self.mine.get(key)
        if own and own.lacks.get(owner, turn + 1) <= turn:
            del own.lacks[owner]
            self.settle(key, own)

    def settle(self, key: str, own: Hint):
        if self.ring and not own.lacks and self.mine.get(key) is own:
            del self.mine[key]
            if self.was_full and len(self.mine) < self.settings.most_hints // 2:
                self.was_full = False

    def line(self, owner: str) -> HintQueue:
        line = self.lines.get(owner)
        if line is None:
            line = self.lines[owner] = HintQueue()
        return line

    def enqueue(self, key: str):
        own = self.mine.get(key)
        if own:
            for owner in own.lacks:
                self.line(owner).keys[key] = None
                self.send_line(owner, self.lines[owner])

    def send_line(self, owner: str, line: HintQueue, again: bool = False):
        """The next records for an owner, unless some are on their way."""
        if (line.out and not again) or not self.ring or self.context.now < line.next_at:
            return
        out, chosen, size = {}, [], 0
        for key in list(islice(line.keys, MOST_ITEMS // 2)):
            own = self.mine.get(key)
            turn = own.lacks.get(owner, 0) if own else 0
            record = own.record if turn else None
            if owner in self.handing.get(key, ()):
                kept = self.record(key)
                record = records.merge(kept, record) if record else kept
            if record is None:
                del line.keys[key]
                continue
            raw = self.sendable(key, record)
            if raw is None:
                del line.keys[key]
                continue
            if chosen and size + len(raw) > PIECE:
                break
            chosen.append((key, raw))
            out[key] = own.turn if turn else 0
            size += len(raw) + len(key)
        line.out = out
        if not chosen:
            return self.lines.pop(owner, None)
        line.number, line.sent_at = self.next(), self.context.now
        line.next_at = self.context.now + line.pause * (0.75 + 0.5 * self.context.random.random())
        line.pause = min(2 * line.pause, LONGEST_PAUSE)
        self.context.send(owner, HintDelivery(line.number, self.incarnation, self.ring.epoch, tuple(chosen)))

    def sendable(self, key: str, record: Record) -> bytes | None:
        try:
            raw = self.written(key, record)
        except RecordTooLargeError:
            raw = b""
        if raw and len(raw) <= LARGEST:
            return raw
        self.context.increment(Metric.RECORDS_TOO_LARGE)
        return None

    def heard_took(self, sender: str, message: HintAck):
        line = self.lines.get(sender)
        if (
            line is None
            or message.request_id != line.number
            or message.incarnation != self.incarnation
            or not line.out
        ):
            return self.context.increment(Metric.DROPPED_LATE_ANSWER)
        if self.ring is None or message.epoch != self.ring.epoch:
            return self.context.increment(Metric.DROPPED_OLD_EPOCH)
        out, line.out, refused = line.out, {}, set(message.rejected)
        for key, turn in out.items():
            if key in refused:
                line.keys.pop(key, None)
                line.keys[key] = None  # after all others
            else:
                self.has(key, sender, turn)
                if sender in self.handing.get(key, ()):
                    del self.handing[key][sender]
                    if not self.handing[key]:
                        del self.handing[key]
                own = self.mine.get(key)
                if not (own and sender in own.lacks):
                    line.keys.pop(key, None)
        if refused:
            # No room there, or a clock is wrong: the pause grows as if it were absent, but less.
            self.context.increment(Metric.HINTS_REJECTED)
            line.pause = min(line.pause, 1.0)
        else:
            line.pause, line.next_at = AGAIN, self.context.now
            self.send_line(sender, line)

    def flush_lines(self):
        for owner in sorted(self.lines):
            line = self.lines.get(owner)
            if line and self.context.now >= line.next_at:
                self.send_line(owner, line, again=True)

    def came_back(self, sender: str):
        """An owner that was silent is heard of: it gets what waits for it, once a second at most."""
        line = self.lines.get(sender)
        if line and line.pause > 2 * AGAIN:
            line.next_at = min(line.next_at, line.sent_at + 1.0)

    # Serving

    def timely(self, sender: str, message) -> bool:
        """Whether it asks by our epoch; one with an older ring learns that there is a newer."""
        other, known = self.incarnations.get(sender, (message.incarnation, False))
        if sender in self.incarnations or len(self.incarnations) < 2 * self.settings.most_agents:
            self.incarnations[sender] = (other, known or message.incarnation != other)
        if self.ring is not None and message.epoch == self.ring.epoch:
            return True
        self.newest_epoch = max(self.newest_epoch, message.epoch)
        if self.ring is not None and message.epoch < self.ring.epoch:
            self.context.increment(Metric.DROPPED_OLD_EPOCH)
            self.context.send(sender, StaleEpoch(self.ring.epoch))
        else:
            self.context.increment(Metric.DROPPED_NEWER_EPOCH)
        return False

    def heard_claim(self, sender: str, message: WriteRequest):
        if self.timely(sender, message):
            told = self.serve(sender, message)
            if told:
                self.context.send(sender, told)

    def serve(self, asker: str, message: WriteRequest) -> WriteResponse | None:
        """The owner's part of a claim, our own included."""
        if not self.has_valid_lease():
            return self.context.increment(Metric.NO_VALID_LEASE)
        self.vouched = True
        key = message.key
        if self.name not in self.owners(key) or not key.startswith("s/"):
            return self.context.increment(Metric.DROPPED_NOT_OWNER)
        new = None
        if message.attempt_id and message.record:
            new = self.read_in(key, message.record)
            if new is None:
                return None
        had = self.record(key) or Session()
        had = records.without_expired(had, self.wall_ms, self.slack_ms)
        wrote = full = False
        if new is not None:
            full = message.attempt_id not in had.attempts and had.is_full(self.settings.most_marks_a_session)
            full = full or not self.merge(key, new)
            wrote = not full and message.attempt_id in new.attempts
            if full:
                self.context.increment(Metric.ATTEMPTS_FULL)
        elif key in self.store and self.store[key].stage != self.stage:
            self.put(key, had)  # moved when read
        if not self.has_caught_up(key):
            self.learn(key, (asker, message.request_id, message.incarnation, message.attempt_id))
        return self.answer(message.request_id, message.incarnation, key, message.attempt_id, had, wrote, full)

    def answer(
        self, number, incarnation, key: str, by: str, had: Session, wrote: bool, full: bool
    ) -> WriteResponse:
        marks = {name: mark for name, mark in had.attempts.items() if name != by}
        raw = b""
        if marks or had.required_version:
            raw = self.sendable(key, Session(marks, had.unknown_fields, had.required_version))
        caught_up = raw is not None and self.has_caught_up(key)
        return WriteResponse(number, incarnation, self.ring.epoch, wrote, caught_up, full, raw or b"")

    def has_caught_up(self, key: str) -> bool:
        return self.catch_up is not None and self.catch_up.has_caught_up(key, self.context.now)

    def heard_give(self, sender: str, message: HintDelivery):
        if not self.timely(sender, message):
            return
        refused = []
        for key, raw in message.records[:MOST_ITEMS]:
            record = self.read_in(key, raw)
            if record is None or self.name in self.owners(key) and not self.take(key, record):
                refused.append(key)
        if message.request_id:
            self.context.send(
                sender, HintAck(message.request_id, message.incarnation, message.epoch, tuple(refused))
            )

    # One key that has not been caught up with

    def learn(self, key: str, waiter):
        """Asks those who may know; when enough have told, the claim is answered once more."""
        each = self.learning.get(key)
        if each is not None:
            if waiter not in each.waiters and len(each.waiters) < 16:
                each.waiters.append(waiter)
            return
        if (
            self.catch_up.reason == CatchUpReason.FIRST_RING
            or self.catch_up.reason == CatchUpReason.RESTARTED
            and self.context.now < self.catch_up.reports_valid_at
        ):
            return
        if len(self.learning) >= self.settings.most_waiting:
            return self.context.increment(Metric.PENDING_REPAIRS_FULL)
        each = self.learning[key] = PendingRepair()
        each.number, each.until, each.waiters = self.next(), self.context.now + LEARN, [waiter]
        each.was, each.now = {}, {}
        self.ask_about(key, each)

    def ask_about(self, key: str, each: PendingRepair):
        each.asked_at = self.context.now
        whom = dict.fromkeys(self.owners(key))
        if self.catch_up.reason == CatchUpReason.OWNERSHIP_CHANGED:
            whom |= dict.fromkeys(owners(self.catch_up.former_ring, key_bytes(key), self.settings.copies))
        message = ReadRepairRequest(each.number, self.incarnation, self.ring.epoch, key)
        for name in whom:
            if name != self.name and name not in each.was and name not in each.now:
                self.context.send(name, message)

    def heard_know(self, sender: str, message: ReadRepairRequest):
        if not self.timely(sender, message) or not self.has_valid_lease():
            return
        era, now, key = self.catch_up, self.context.now, message.key
        was = era.had_caught_up(key, now)
        here = self.name in self.owners(key) and era.has_caught_up(key, now)
        record, raw = self.record(key), b""
        if record is not None:
            raw = self.sendable(key, records.without_expired(record, self.wall_ms, self.slack_ms))
        if raw is not None:
            former = era.former_ring.epoch if era.former_ring else 0
            self.context.send(
                sender,
                ReadRepairResponse(
                    message.request_id, message.incarnation, message.epoch, former, was, here, raw
                ),
            )

    def heard_known(self, sender: str, message: ReadRepairResponse):
        found = [(key, each) for key, each in self.learning.items() if each.number == message.request_id]
        if (
            not found
            or message.incarnation != self.incarnation
            or self.ring is None
            or message.epoch != self.ring.epoch
        ):
            return self.context.increment(Metric.DROPPED_LATE_ANSWER)
        (key, each), era = found[0], self.catch_up
        if message.record:
            record = self.read_in(key, message.record)
            if record is None or not self.merge(key, record):
                return
        if message.caught_up_by_former and era.former_ring and message.former_epoch == era.former_ring.epoch:
            each.was[sender] = None
        if message.caught_up_by_current:
            each.now[sender] = None
        if era.has_enough_sources(key, each.was, each.now, self.context.now):
            del self.learning[key]
            era.add_key(key)
            had = records.without_expired(self.record(key) or Session(), self.wall_ms, self.slack_ms)
            for asker, number, incarnation, by in each.waiters:
                told = self.answer(number, incarnation, key, by, had, by in had.attempts, False)
                if asker == self.name:
                    self.heard_told(asker, told)
                else:
                    self.context.send(asker, told)

    # Comparisons

    def whole(self, peer: str) -> bytes:
        sums = self.packed(peer)
        return blake2b(sums, digest_size=16).digest()

    def packed(self, peer: str) -> bytes:
        return b"".join(each.to_bytes(8) for each in self.sums.get(peer, [0] * RANGE_COUNT))

    def begin_talk(self, peer: str):
        if peer in self.talks or len(self.talks) >= TALKS or self.unplaced:
            return
        talk = self.talks[peer] = AntiEntropySession()
        era = self.catch_up
        talk.counts = era.reason != CatchUpReason.RESTARTED or self.context.now >= era.reports_valid_at
        self.say(peer, talk, DigestRequest(0, self.incarnation, self.ring.epoch, self.whole(peer)))

    def say(self, peer: str, talk: AntiEntropySession, message):
        talk.number = self.next()
        talk.message = type(message)(
            talk.number, *(getattr(message, name) for name in message.__struct_fields__[1:])
        )
        talk.sent_at, talk.tries = self.context.now, 1
        self.context.send(peer, talk.message)

    def answered(self, sender: str, message, to) -> AntiEntropySession | None:
        talk = self.talks.get(sender)
        if (
            talk is None
            or message.request_id != talk.number
            or message.incarnation != self.incarnation
            or type(talk.message) is not to
            or message.epoch != self.ring.epoch
        ):
            return self.context.increment(Metric.DROPPED_LATE_ANSWER)
        return talk

    def heard_look(self, sender: str, message: DigestRequest):
        if not self.timely(sender, message):
            return
        if self.unplaced:
            return self.context.increment(Metric.NOT_PLACED_YET)
        era, now = self.catch_up, self.context.now
        sums = b"" if self.whole(sender) == message.combined_digest else self.packed(sender)
        left = sum((count > 0) << place for place, count in enumerate(self.left.get(sender, ())))
        here = era.complete_ranges(now) if self.name in self.ring.member_by_name else 0
        former, knew = (
            era.former_ring.epoch if era.former_ring else 0,
            self.incarnations.get(sender, (0, True))[1],
        )
        self.context.send(
            sender,
            DigestResponse(
                message.request_id,
                message.incarnation,
                message.epoch,
                former,
                era.former_complete_ranges(now),
                here,
                left,
                knew,
                sums,
            ),
        )

    def heard_seen(self, sender: str, message: DigestResponse):
        talk = self.answered(sender, message, DigestRequest)
        if talk is None or len(message.range_digests) not in (0, 8 * RANGE_COUNT):
            return
        era = self.catch_up
        if message.knows_other_incarnation and era.reason == CatchUpReason.FIRST_RING:
            era.mark_restarted()
            for each in self.talks.values():
                each.counts = False  # asked before a lease was over
        elif era.reason == CatchUpReason.FIRST_RING and sender in era.other_members:
            era.fresh_start_confirmations[sender] = None
        talk.was = (
            message.former_ranges if era.former_ring and message.former_epoch == era.former_ring.epoch else 0
        )
        talk.now = message.current_ranges
        ours, differ = self.packed(sender), []
        for place in range(RANGE_COUNT):
            here = slice(8 * place, 8 * place + 8)
            had = era.former_ring_reports.get(sender, 0) | era.current_ring_reports.get(sender, 0)
            if (
                message.unowned_ranges & ~had & 1 << place
                or message.range_digests
                and message.range_digests[here] != ours[here]
            ):
                differ.append(place)
            else:
                self.told(sender, talk, 1 << place)
        talk.todo = differ
        self.context.random.shuffle(talk.todo)
        talk.end = True
        talk.place = -1
        self.go_on(sender, talk)

    def told(self, peer: str, talk: AntiEntropySession, bits: int):
        if talk.counts:
            self.catch_up.record_report(peer, talk.was & bits, talk.now & bits)

    def go_on(self, peer: str, talk: AntiEntropySession):
        """The next step: the records that differ, the next page of digests, the next range."""
        epoch = self.ring.epoch
        if talk.want:
            return self.say(peer, talk, FetchRequest(0, self.incarnation, epoch, tuple(talk.want[:PAGE])))
        if talk.end:
            if talk.place >= 0:
                self.told(peer, talk, 1 << talk.place)
            if not talk.todo:
                del self.talks[peer]
                if self.parting is not None:
                    self.parting.pop(peer, None)
                return
            talk.place, talk.after, talk.end = talk.todo.pop(), "", False
        self.say(peer, talk, KeyListRequest(0, self.incarnation, epoch, talk.place, talk.after))

    def shared(self, peer: str, place: int, after: str, ours: bool = False) -> list[str]:
        """Keys of a range that a peer owns, in order; `ours`: that we do, too."""
        return sorted(
            key
            for key, kept in self.ranges[place].items()
            if key > after and peer in kept.owners and (not ours or self.name in kept.owners)
        )

    def heard_list(self, sender: str, message: KeyListRequest):
        if not self.timely(sender, message) or self.unplaced or not 0 <= message.range_index < RANGE_COUNT:
            return
        keys = self.shared(sender, message.range_index, message.after)
        entries = tuple((key, self.store[key].digest[:8]) for key in keys[:PAGE])
        self.context.send(
            sender,
            KeyListResponse(
                message.request_id, message.incarnation, message.epoch, entries, len(keys) <= PAGE
            ),
        )

    def heard_listed(self, sender: str, message: KeyListResponse):
        talk = self.answered(sender, message, KeyListRequest)
        if talk is None or len(message.entries) > PAGE or not message.is_last_page and not message.entries:
            return
        theirs = {
            key: digest
            for key, digest in message.entries
            if key > talk.after and range_of(key) == talk.place and self.name in self.owners(key)
        }
        last = message.entries[-1][0] if message.entries else ""
        if not message.is_last_page and last <= talk.after:
            return self.talks.pop(sender, None) and None
        talk.want = [
            key
            for key, digest in theirs.items()
            if key not in self.store or self.store[key].digest[:8] != digest
        ]
        talk.theirs = {key: theirs[key] for key in talk.want}
        lacks = [
            key
            for key in self.shared(sender, talk.place, talk.after, ours=True)
            if key not in theirs and (message.is_last_page or key <= last)
        ]
        self.give(sender, lacks)
        talk.after, talk.end = last, message.is_last_page
        self.go_on(sender, talk)

    def give(self, peer: str, keys):
        """Records that a co-owner lacks; if they get lost, the next comparison finds them again."""
        piece, size = [], 0
        for key in keys:
            raw = self.sendable(key, self.record(key)) if key in self.store else None
            if raw is None:
                continue
            if piece and (size + len(raw) > PIECE or len(piece) >= MOST_ITEMS // 2):
                self.context.send(peer, HintDelivery(0, self.incarnation, self.ring.epoch, tuple(piece)))
                piece, size = [], 0
            piece.append((key, raw))
            size += len(raw) + len(key)
        if piece:
            self.context.send(peer, HintDelivery(0, self.incarnation, self.ring.epoch, tuple(piece)))

    def heard_fetch(self, sender: str, message: FetchRequest):
        if not self.timely(sender, message):
            return
        piece, size, count = [], 0, 0
        for key in message.keys[:PAGE]:
            raw = b""
            if key in self.store and sender in self.owners(key):
                raw = self.sendable(key, self.record(key))
            if raw is None or piece and size + len(raw) > PIECE:
                break
            count += 1
            if raw:
                piece.append((key, raw))
                size += len(raw) + len(key)
        if count:  # else it can't have that record: it must not take it for one that is over
            self.context.send(
                sender,
                FetchResponse(message.request_id, message.incarnation, message.epoch, count, tuple(piece)),
            )

    def heard_brought(self, sender: str, message: FetchResponse):
        talk = self.answered(sender, message, FetchRequest)
        if talk is None or not 0 < message.count <= len(talk.want):
            return
        asked, talk.want = talk.want[: message.count], talk.want[message.count :]
        brought, back = dict(message.records[:PAGE]), []
        for key in asked:
            if key not in brought:
                continue
            record = self.read_in(key, brought[key])
            if record is None or not self.merge(key, record):
                talk.was = talk.now = 0  # no room, or refused: it can't count as caught up with
                continue
            kept = self.store.get(key)
            if kept and kept.digest[:8] != talk.theirs[key] and {sender, self.name} <= set(kept.owners):
                back.append(key)
        self.give(sender, back)
        self.go_on(sender, talk)

    # Time

    def tick(self):
        now = self.context.now
        for number in [number for number, each in self.open.items() if now >= each.until]:
            self.close(number)
        if self.ring is None:
            return
        if not self.vouched and self.has_valid_lease():
            self.vouched = True
        for number, each in list(self.open.items()):
            if not each.ended and now >= each.asked_at + AGAIN:
                each.asked_at = now
                self.ask_owners(
                    number,
                    [
                        name
                        for name in each.owners
                        if name not in each.read or each.by and name not in each.wrote
                    ],
                )
        self.place()
        self.sweep(SWEPT)
        self.move()
        self.learn_on(now)
        self.talk_on(now)
        if now >= self.sweep_at:
            self.sweep_at = now + 1.0
            self.forget(now)
        if now >= self.use_at:
            self.use_at = now + 0.75 + 0.5 * self.context.random.random()
            self.tell_uses()
        self.flush_lines()

    def learn_on(self, now: float):
        for key, each in list(self.learning.items()):
            if now >= each.until:
                del self.learning[key]
            elif now >= each.asked_at + AGAIN:
                self.ask_about(key, each)

    def talk_on(self, now: float):
        for peer, talk in list(self.talks.items()):
            if now >= talk.sent_at + AGAIN * talk.tries:
                if talk.tries >= TRIES:
                    del self.talks[peer]
                    if self.parting:
                        self.parting.pop(peer, None)
                else:
                    talk.tries, talk.sent_at = talk.tries + 1, now
                    self.context.send(peer, talk.message)
        era = self.catch_up
        if not self.unplaced and not era.is_complete(now) and self.name in self.ring.member_by_name:
            if era.reason != CatchUpReason.OWNERSHIP_CHANGED or len(era.sources) <= MOST_ASKED:
                self.request_catch_up(era, now)
        if self.parting:
            for peer in list(self.parting):
                self.begin_talk(peer)
        if now >= self.compare_at:
            self.compare_at = now + COMPARE * (0.75 + 0.5 * self.context.random.random())
            peers = sorted(self.sums) or [name for name in self.ring.names if name != self.name]
            if peers and self.name in self.ring.member_by_name:
                self.begin_talk(self.context.random.choice(peers))

    def request_catch_up(self, era: CatchUp, now: float):
        for source in era.sources:
            if source in self.talks or len(self.talks) >= TALKS:
                continue
            if era.reason == CatchUpReason.FIRST_RING:
                finished = source in era.fresh_start_confirmations
            elif len(era.sources) > MOST_ASKED:
                finished = (
                    source in era.current_ring_reports
                )  # the records; who counts as a source is asked key by key
            else:
                finished = (
                    era.former_ring_reports
                    if era.reason == CatchUpReason.OWNERSHIP_CHANGED
                    else era.current_ring_reports
                ).get(source, 0) == ALL_RANGES
            again_at, pause = self.asked.get(source, (0.0, AGAIN))
            if not finished and now >= again_at:
                pause = min(2 * pause, LONGEST_PAUSE * max(1.0, len(era.sources) / 32))
                if era.reason == CatchUpReason.RESTARTED and now < era.reports_valid_at:
                    again_at = max(era.reports_valid_at, now + AGAIN)  # its records now, its word then
                else:
                    again_at = now + pause * (0.75 + 0.5 * self.context.random.random())
                self.asked[source] = (again_at, pause)
                self.begin_talk(source)

    def forget(self, now: float):
        """What need not be told any more, as it is over, and what was kept for others."""
        wall_ms, era = self.wall_ms, self.catch_up
        for key, own in list(self.mine.items()):
            own.record = records.without_expired(own.record, wall_ms, self.slack_ms)
            if records.is_empty(own.record):
                del self.mine[key]
        for owner, line in list(self.lines.items()):
            line.keys = {key: None for key in line.keys if key in self.mine or key in self.handing}
            if not line.keys:
                del self.lines[owner]
        if now >= era.expires_at:
            era.previous = None
            if self.left and not self.unplaced:
                for key in [key for key, kept in self.store.items() if self.name not in kept.owners]:
                    self.drop(key)
                self.left, self.handing = {}, {}

    # The end of the process

    def start_shutdown(self):
        """The agent is about to end: it compares with all co-owners once, and tells what they lack."""
        self.parting = dict.fromkeys(sorted(self.sums))
        for line in self.lines.values():
            line.next_at, line.pause = self.context.now, AGAIN
        self.flush_lines()

    @property
    def is_drained(self) -> bool:
        """Whether all that it holds is on enough others."""
        if self.ring is None:
            return True
        for key, own in self.mine.items():
            others = sum(name != self.name for name in self.owners(key))
            if others - len(own.lacks) < min(self.catch_up.quorum.writes, others):
                return False
        return not self.parting and not self.handing

    # What is looked at

    def all_records(self) -> dict[str, Record]:
        return {key: self.record(key) for key in sorted(self.store)}

    def owned_digest(self, peer: str = "") -> bytes:
        """Of all records that we own, and a peer does, too, if one is named; marks that are over left out."""
        total = blake2b(digest_size=16)
        for key in sorted(self.store):
            names = self.owners(key)
            if self.name in names and (not peer or peer in names):
                record = records.without_expired(self.record(key), self.wall_ms, self.slack_ms)
                if not records.is_empty(record):
                    total.update(key_bytes(key) + records.digest(record))
        return total.digest()

    @property
    def is_caught_up(self) -> bool:
        return self.catch_up is not None and self.catch_up.complete_ranges(self.context.now) == ALL_RANGES

    def metrics(self) -> dict:
        era = self.catch_up
        return {
            "records": len(self.store),
            "hints": len(self.mine),
            "hints_for": len(self.lines),
            "claims": sum(not each.ended for each in self.open.values()),
            "learning": len(self.learning),
            "caught_up": era.complete_ranges(self.context.now).bit_count() if era else 0,
            "comparing": len(self.talks),
            "old_form": self.old_form,
            "moved": self.migrated_version,
        }

    def on_message(self, sender: str, message):
        while self.open:
            number = next(iter(self.open))
            if self.open[number].until > self.context.now:
                break
            self.close(number)
        self.came_back(sender)
        if isinstance(message, StaleEpoch):
            self.newest_epoch = max(self.newest_epoch, message.epoch)
            return self.context.increment(Metric.NEWER_RING_ANNOUNCED)
        HANDLERS[type(message)](self, sender, message)


HANDLERS = {
    WriteRequest: Replica.heard_claim,
    WriteResponse: Replica.heard_told,
    HintDelivery: Replica.heard_give,
    HintAck: Replica.heard_took,
    DigestRequest: Replica.heard_look,
    DigestResponse: Replica.heard_seen,
    KeyListRequest: Replica.heard_list,
    KeyListResponse: Replica.heard_listed,
    FetchRequest: Replica.heard_fetch,
    FetchResponse: Replica.heard_brought,
    ReadRepairRequest: Replica.heard_know,
    ReadRepairResponse: Replica.heard_known,
}
