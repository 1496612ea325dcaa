"""Hinted handoff: what this agent wrote, until all owners have it, and records handed to new owners.

It owns the hints. It must never lose one and not say so, or have more than one delivery on its way to an
owner.

After Dynamo (DeCandia and others, 2007), section 4.6, without its sloppy quorums.
"""

from itertools import islice

from cartdeal.fleet import events
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication import records
from cartdeal.fleet.replication.messages import HintAck, HintDelivery
from cartdeal.fleet.replication.record_store import RecordStore
from cartdeal.fleet.replication.records import Record
from cartdeal.fleet.replication.ring_view import RingView
from cartdeal.fleet.replication.usage_counters import UsageCounters
from cartdeal.fleet.ring.ring import Ring

MAX_DELIVERY_BYTES = 32 * 1024  # of records in one message; a single record may have more
MAX_RECEIVED_RECORDS = 2_000  # in one delivery
MAX_SENT_RECORDS = MAX_RECEIVED_RECORDS // 2
FIRST_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 5.0  # of an owner that doesn't answer
MAX_REJECTED_PAUSE_S = 1.0  # of an owner that rejects records
MIN_CONTACT_PAUSE_S = 1.0  # between two deliveries to an owner that is heard of again


class Hint:
    """What this agent wrote under a key and not all owners have yet.

    `version`: of the last write; `missing`: owner -> the version that it needs.
    """

    __slots__ = ("missing", "record", "version")

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 0
        self.missing: dict[str, int] = {}


class HintQueue:
    """What is to be sent to one owner: one delivery at a time is on its way."""

    __slots__ = ("in_flight", "keys", "next_send_at", "request_id", "retry_pause_s", "sent_at")

    def __init__(self) -> None:
        self.keys: dict[str, None] = {}
        self.in_flight: dict[str, int] = {}  # key -> version of the hint, 0 for a handoff alone
        self.request_id = 0
        self.sent_at = 0.0
        self.next_send_at = 0.0
        self.retry_pause_s = FIRST_RETRY_PAUSE_S

    def reset_pause(self, now: float) -> None:
        """The next delivery may go at once."""
        self.retry_pause_s = FIRST_RETRY_PAUSE_S
        self.next_send_at = now


class HintedHandoff:
    """Hints and handoffs, and a queue of them for each owner."""

    def __init__(self, view: RingView, store: RecordStore, usage: UsageCounters) -> None:
        self.view = view
        self.context = view.context
        self.store = store
        self.usage = usage
        self.hints: dict[str, Hint] = {}
        self.queues: dict[str, HintQueue] = {}
        self.handoffs: dict[str, dict[str, None]] = {}  # key no longer owned -> new owners to be given it
        self._reported_full = False

    # Hints

    def publish(self, key: str, record: Record) -> None:
        """Merges a record into all owners' copies, whenever they can be reached."""
        self.add(key, record)
        self.enqueue(key)
        self.apply_locally(key)

    def add(self, key: str, record: Record) -> None:
        """Keeps what this agent writes under a key until all owners have it."""
        hint = self.hints.get(key)
        if hint is None:
            if len(self.hints) >= self.view.settings.most_hints:
                self._drop_oldest()
            hint = self.hints[key] = Hint(record)
        else:
            hint.record = records.merge(hint.record, record)
        hint.version = self.view.next_request_id()
        hint.missing = {owner: hint.version for owner in self.view.owners(key) if owner != self.view.name}

    def enqueue(self, key: str) -> None:
        """Sends a hint to the owners that lack it, or queues it."""
        hint = self.hints.get(key)
        if hint:
            for owner in hint.missing:
                queue = self._queue(owner)
                queue.keys[key] = None
                self._deliver(owner, queue)

    def apply_locally(self, key: str) -> None:
        """Takes a hint into the store, where this agent is an owner."""
        hint = self.hints.get(key)
        if hint and self.view.owns(key):
            self.usage.take_in(key, hint.record)
            self.forget_if_delivered(key)

    def confirm(self, key: str, owner: str, version: int) -> None:
        """An owner has a version of a hint."""
        hint = self.hints.get(key)
        if hint and hint.missing.get(owner, version + 1) <= version:
            del hint.missing[owner]
            self.forget_if_delivered(key)

    def forget_if_delivered(self, key: str) -> None:
        """Forgets a hint that all owners have."""
        hint = self.hints.get(key)
        if self.view.ring and hint and not hint.missing:
            del self.hints[key]
            if self._reported_full and len(self.hints) < self.view.settings.most_hints // 2:
                self._reported_full = False

    def _drop_oldest(self) -> None:
        del self.hints[next(iter(self.hints))]
        self.context.increment(Metric.HINTS_DROPPED)
        if not self._reported_full:
            self._reported_full = True
            self.context.log_event(events.HintsFull(self.view.settings.most_hints))

    # Changes of the ring

    def on_ring_changed(self, former: Ring | None) -> None:
        """Who had a hint by the former ring still has it; the new owners lack it."""
        ring, now = self.view.ring, self.view.now
        assert ring is not None
        self.queues = {owner: queue for owner, queue in self.queues.items() if owner in ring.member_by_name}
        for queue in self.queues.values():
            queue.in_flight = {}
            queue.reset_pause(now)
        for key, hint in list(self.hints.items()):
            former_owners = self.view.owners_by(former, key)
            hint.missing = {
                owner: hint.missing.get(owner, hint.version)
                for owner in self.view.owners(key)
                if owner != self.view.name and (owner not in former_owners or owner in hint.missing)
            }
            self.apply_locally(key)
            self.enqueue(key)

    def start_handoff(self, key: str, new_owners: list[str]) -> None:
        """Queues a stored record for its new owners."""
        self.handoffs[key] = dict.fromkeys(new_owners)
        for owner in new_owners:
            self._queue(owner).keys[key] = None

    def cancel_handoff(self, key: str) -> None:
        """The record is no longer stored."""
        self.handoffs.pop(key, None)

    def cancel_all_handoffs(self) -> None:
        """The owners of all records are found anew, or no handoff is needed any more."""
        self.handoffs = {}

    def _finish_handoff(self, key: str, owner: str) -> None:
        new_owners = self.handoffs.get(key)
        if new_owners is not None and owner in new_owners:
            del new_owners[owner]
            if not new_owners:
                del self.handoffs[key]

    # Delivery

    def flush(self) -> None:
        """Sends what is due, also to owners that haven't answered yet."""
        for owner in sorted(self.queues):
            queue = self.queues.get(owner)
            if queue and self.view.now >= queue.next_send_at:
                self._deliver(owner, queue, retry=True)

    def reset_pauses(self) -> None:
        """Each owner may be tried again at once."""
        for queue in self.queues.values():
            queue.reset_pause(self.view.now)

    def on_peer_contact(self, peer: str) -> None:
        """An owner that was silent is heard of: it gets what waits for it, once a second at most."""
        queue = self.queues.get(peer)
        if queue and queue.retry_pause_s > 2 * FIRST_RETRY_PAUSE_S:
            queue.next_send_at = min(queue.next_send_at, queue.sent_at + MIN_CONTACT_PAUSE_S)

    def _queue(self, owner: str) -> HintQueue:
        queue = self.queues.get(owner)
        if queue is None:
            queue = self.queues[owner] = HintQueue()
        return queue

    def _deliver(self, owner: str, queue: HintQueue, retry: bool = False) -> None:
        """Sends the next records for an owner, unless some are on their way."""
        if (queue.in_flight and not retry) or not self.view.ring or self.view.now < queue.next_send_at:
            return
        batch = self._next_batch(owner, queue)
        if not batch:
            self.queues.pop(owner, None)
            return
        queue.request_id = self.view.next_request_id()
        queue.sent_at = self.view.now
        queue.next_send_at = self.view.now + queue.retry_pause_s * self.view.jitter()
        queue.retry_pause_s = min(2 * queue.retry_pause_s, MAX_RETRY_PAUSE_S)
        delivery = HintDelivery(queue.request_id, self.view.incarnation, self.view.epoch, tuple(batch))
        self.context.send(owner, delivery)

    def _next_batch(self, owner: str, queue: HintQueue) -> list[tuple[str, bytes]]:
        batch: list[tuple[str, bytes]] = []
        in_flight: dict[str, int] = {}
        size = 0
        for key in list(islice(queue.keys, MAX_SENT_RECORDS)):
            record, version = self._record_for(owner, key)
            data = self.store.encode_to_send(key, record) if record is not None else None
            if data is None:
                del queue.keys[key]
                continue
            if batch and size + len(data) > MAX_DELIVERY_BYTES:
                break
            batch.append((key, data))
            in_flight[key] = version
            size += len(data) + len(key)
        queue.in_flight = in_flight
        return batch

    def _record_for(self, owner: str, key: str) -> tuple[Record | None, int]:
        """What an owner lacks under a key, and the version of the hint, 0 where it lacks none."""
        hint = self.hints.get(key)
        record, version = None, 0
        if hint and hint.missing.get(owner, 0):
            record, version = hint.record, hint.version
        if owner in self.handoffs.get(key, ()):
            stored = self.store.get(key)
            if stored is not None:
                record = records.merge(stored, record) if record is not None else stored
        return record, version

    def on_ack(self, sender: str, message: HintAck) -> None:
        """An owner took in a delivery."""
        queue = self.queues.get(sender)
        if (
            queue is None
            or message.request_id != queue.request_id
            or message.incarnation != self.view.incarnation
            or not queue.in_flight
        ):
            self.context.increment(Metric.DROPPED_LATE_ANSWER)
            return
        if self.view.ring is None or message.epoch != self.view.ring.epoch:
            self.context.increment(Metric.DROPPED_OLD_EPOCH)
            return
        delivered, queue.in_flight = queue.in_flight, {}
        rejected = set(message.rejected)
        for key, version in delivered.items():
            if key in rejected:
                queue.keys.pop(key, None)
                queue.keys[key] = None  # after all others
            else:
                self._on_delivered(sender, queue, key, version)
        if rejected:
            # No room there, or a clock is wrong: the pause grows as if it were absent, but less.
            self.context.increment(Metric.HINTS_REJECTED)
            queue.retry_pause_s = min(queue.retry_pause_s, MAX_REJECTED_PAUSE_S)
        else:
            queue.reset_pause(self.view.now)
            self._deliver(sender, queue)

    def _on_delivered(self, owner: str, queue: HintQueue, key: str, version: int) -> None:
        self.confirm(key, owner, version)
        self._finish_handoff(key, owner)
        hint = self.hints.get(key)
        if not (hint and owner in hint.missing):
            queue.keys.pop(key, None)

    def on_delivery(self, sender: str, message: HintDelivery) -> None:
        """Takes in the records that a peer delivers."""
        rejected = []
        for key, data in message.records[:MAX_RECEIVED_RECORDS]:
            record = self.store.decode_received(key, data)
            if record is None or (self.view.owns(key) and not self.usage.take_in(key, record)):
                rejected.append(key)
        if message.request_id:
            ack = HintAck(message.request_id, message.incarnation, message.epoch, tuple(rejected))
            self.context.send(sender, ack)

    # Expiry and shutdown

    def drop_expired(self) -> None:
        """Forgets hints that have expired, and empty queues."""
        for key, hint in list(self.hints.items()):
            hint.record = self.store.without_expired(hint.record)
            if records.is_empty(hint.record):
                del self.hints[key]
        for owner, queue in list(self.queues.items()):
            queue.keys = {key: None for key in queue.keys if key in self.hints or key in self.handoffs}
            if not queue.keys:
                del self.queues[owner]

    @property
    def is_drained(self) -> bool:
        """Whether all hints are on as many other owners as a write takes, and all handoffs are done."""
        if self.handoffs:
            return False
        assert self.view.catch_up is not None
        for key, hint in self.hints.items():
            others = sum(owner != self.view.name for owner in self.view.owners(key))
            if others - len(hint.missing) < min(self.view.catch_up.quorum.writes, others):
                return False
        return True
