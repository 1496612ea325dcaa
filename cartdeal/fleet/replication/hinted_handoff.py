"""Hinted handoff: keeps this agent's writes until all owners have them, and hands records to new owners.

This module owns the hints. It must never drop an unexpired, undelivered hint without counting it, or have
more than one delivery in flight to an owner.

Source: Dynamo (DeCandia and others, 2007), section 4.6, without its sloppy quorums.
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

MAX_DELIVERY_BYTES = 32 * 1024  # bytes of records in one message; a single record may be larger
MAX_RECEIVED_RECORDS = 2_000  # records accepted from one delivery
MAX_SENT_RECORDS = MAX_RECEIVED_RECORDS // 2
FIRST_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 5.0  # seconds, for an owner that doesn't answer
MAX_PAUSE_AFTER_REJECTION_S = 1.0  # seconds, for an owner that rejects records
MIN_PAUSE_AFTER_CONTACT_S = 1.0  # seconds between two deliveries to an owner that sends messages again


class Hint:
    """A record that this agent wrote and that not all owners have yet.

    Attributes:
        record: All writes of this agent under the key, merged.
        version: The version of the last write.
        missing: The owners that lack the record, each with the version that it needs.
    """

    __slots__ = ("missing", "record", "version")

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 0
        self.missing: dict[str, int] = {}


class HintQueue:
    """The keys of the records to send to one owner; at most one delivery is in flight."""

    __slots__ = ("in_flight", "keys", "next_send_at", "request_id", "retry_pause_s", "sent_at")

    def __init__(self) -> None:
        self.keys: dict[str, None] = {}
        self.in_flight: dict[str, int] = {}  # key -> version of its hint, 0 for a handoff without one
        self.request_id = 0
        self.sent_at = 0.0
        self.next_send_at = 0.0
        self.retry_pause_s = FIRST_RETRY_PAUSE_S

    def reset_pause(self, now: float) -> None:
        """Lets the next delivery be sent at once."""
        self.retry_pause_s = FIRST_RETRY_PAUSE_S
        self.next_send_at = now


class HintedHandoff:
    """Keeps hints and handoffs, and delivers them through one queue for each owner."""

    def __init__(self, view: RingView, store: RecordStore, usage: UsageCounters) -> None:
        self.view = view
        self.context = view.context
        self.store = store
        self.usage = usage
        self.hints: dict[str, Hint] = {}
        self.queues: dict[str, HintQueue] = {}
        self.handoffs: dict[str, dict[str, None]] = {}  # key of a stored record -> its new owners
        self._is_hint_limit_reported = False

    # Hints

    def publish(self, key: str, record: Record) -> None:
        """Merges a record into the copies of all owners; owners that can't be reached now get it later."""
        self.add(key, record)
        self.enqueue(key)
        self.apply_locally(key)

    def add(self, key: str, record: Record) -> None:
        """Keeps a record that this agent writes until all owners have it."""
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
        """Queues a hint for the owners that lack it, and sends it where no delivery is in flight."""
        hint = self.hints.get(key)
        if hint:
            for owner in hint.missing:
                queue = self._queue(owner)
                queue.keys[key] = None
                self._deliver(owner, queue)

    def apply_locally(self, key: str) -> None:
        """Merges a hint into the store if this agent is an owner of its key."""
        hint = self.hints.get(key)
        if hint and self.view.owns(key):
            self.usage.merge_received(key, hint.record)
            self.forget_if_delivered(key)

    def confirm(self, key: str, owner: str, version: int) -> None:
        """Records that an owner has a version of a hint."""
        hint = self.hints.get(key)
        if hint and hint.missing.get(owner, version + 1) <= version:
            del hint.missing[owner]
            self.forget_if_delivered(key)

    def forget_if_delivered(self, key: str) -> None:
        """Forgets a hint if all owners have it."""
        hint = self.hints.get(key)
        if self.view.ring and hint and not hint.missing:
            del self.hints[key]
            if self._is_hint_limit_reported and len(self.hints) < self.view.settings.most_hints // 2:
                self._is_hint_limit_reported = False

    def _drop_oldest(self) -> None:
        del self.hints[next(iter(self.hints))]
        self.context.increment(Metric.HINTS_DROPPED)
        if not self._is_hint_limit_reported:
            self._is_hint_limit_reported = True
            self.context.log_event(events.HintsFull(self.view.settings.most_hints))

    # Changes of the ring

    def on_ring_changed(self, former: Ring | None) -> None:
        """Marks hints as missing at owners that the former ring didn't have, and sends them.

        An owner in both rings that already has a hint needs no second delivery.
        """
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
        """Cancels the handoff of a record that is no longer stored."""
        self.handoffs.pop(key, None)

    def cancel_all_handoffs(self) -> None:
        """Cancels all handoffs, because the owners are recomputed or no handoff is needed any more."""
        self.handoffs = {}

    def _finish_handoff(self, key: str, owner: str) -> None:
        new_owners = self.handoffs.get(key)
        if new_owners is not None and owner in new_owners:
            del new_owners[owner]
            if not new_owners:
                del self.handoffs[key]

    # Delivery

    def flush(self) -> None:
        """Sends the deliveries that are due, also to owners that haven't answered the last one."""
        for owner in sorted(self.queues):
            queue = self.queues.get(owner)
            if queue and self.view.now >= queue.next_send_at:
                self._deliver(owner, queue, retry=True)

    def reset_pauses(self) -> None:
        """Lets each owner be sent its next delivery at once."""
        for queue in self.queues.values():
            queue.reset_pause(self.view.now)

    def on_peer_contact(self, peer: str) -> None:
        """Brings the next delivery forward when a silent owner sends a message.

        It is sent no earlier than MIN_PAUSE_AFTER_CONTACT_S after the last one.
        """
        queue = self.queues.get(peer)
        if queue and queue.retry_pause_s > 2 * FIRST_RETRY_PAUSE_S:
            queue.next_send_at = min(queue.next_send_at, queue.sent_at + MIN_PAUSE_AFTER_CONTACT_S)

    def _queue(self, owner: str) -> HintQueue:
        queue = self.queues.get(owner)
        if queue is None:
            queue = self.queues[owner] = HintQueue()
        return queue

    def _deliver(self, owner: str, queue: HintQueue, retry: bool = False) -> None:
        """Sends the next records to an owner, unless a delivery is in flight or the pause isn't over."""
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
        """The record that an owner lacks (or None), and the version of the key's hint.

        The version is 0 if the owner needs no hint.
        """
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
        """Removes the records that an owner has accepted from its queue, and sends the next."""
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
        delivered_versions, queue.in_flight = queue.in_flight, {}
        rejected_keys = set(message.rejected)
        for key, version in delivered_versions.items():
            if key in rejected_keys:
                queue.keys.pop(key, None)
                queue.keys[key] = None  # to the end of the queue
            else:
                self._on_delivered(sender, queue, key, version)
        if rejected_keys:
            # The owner's store is full, or a clock is wrong. The pause grows as for a silent owner, but
            # only up to MAX_PAUSE_AFTER_REJECTION_S.
            self.context.increment(Metric.HINTS_REJECTED)
            queue.retry_pause_s = min(queue.retry_pause_s, MAX_PAUSE_AFTER_REJECTION_S)
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
        """Merges the records that a peer delivers, and acknowledges them."""
        rejected_keys = []
        for key, data in message.records[:MAX_RECEIVED_RECORDS]:
            record = self.store.decode_received(key, data)
            if record is None or (self.view.owns(key) and not self.usage.merge_received(key, record)):
                rejected_keys.append(key)
        if message.request_id:
            ack = HintAck(message.request_id, message.incarnation, message.epoch, tuple(rejected_keys))
            self.context.send(sender, ack)

    # Expiry and shutdown

    def drop_expired(self) -> None:
        """Drops expired hints and empty queues."""
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
        """Whether a write quorum of other owners has each hint, and all handoffs are done."""
        if self.handoffs:
            return False
        assert self.view.catch_up is not None
        for key, hint in self.hints.items():
            other_owner_count = sum(owner != self.view.name for owner in self.view.owners(key))
            if other_owner_count - len(hint.missing) < min(
                self.view.catch_up.quorum.writes, other_owner_count
            ):
                return False
        return True
