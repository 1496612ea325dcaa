"""Read repair: an owner that hasn't caught up with a key requests it from the other owners and former owners.

This module owns the pending repairs, and the requests that wait for them. A key must never count as caught up
with before enough sources have answered.
"""

from collections.abc import Callable
from typing import NamedTuple

from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication.catch_up import CatchUpReason
from cartdeal.fleet.replication.messages import ReadRepairRequest, ReadRepairResponse
from cartdeal.fleet.replication.record_store import RecordStore
from cartdeal.fleet.replication.ring_view import RingView

REPAIR_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.25
MAX_WAITING_REQUESTS = 16  # requests that may wait for one key; further ones aren't answered again


class WaitingRequest(NamedTuple):
    """A write or read that is answered a second time when its key has been caught up with."""

    requester: str
    request_id: int
    incarnation: int
    attempt_id: str


class PendingRepair:
    """The repair of one key.

    `former_sources` and `current_sources` have answered, and had caught up by the former or the current ring.
    """

    __slots__ = ("current_sources", "deadline", "former_sources", "request_id", "sent_at", "waiting")

    def __init__(self, request_id: int, deadline: float, waiting: WaitingRequest) -> None:
        self.request_id = request_id
        self.deadline = deadline
        self.sent_at = 0.0
        self.former_sources: dict[str, None] = {}
        self.current_sources: dict[str, None] = {}
        self.waiting = [waiting]


class ReadRepair:
    """Catches up with single keys; `on_repaired(key, waiting)` answers the requests that wait for one."""

    def __init__(
        self,
        view: RingView,
        store: RecordStore,
        on_repaired: Callable[[str, list[WaitingRequest]], None],
    ) -> None:
        self.view = view
        self.context = view.context
        self.store = store
        self.on_repaired = on_repaired
        self.pending: dict[str, PendingRepair] = {}

    def request(self, key: str, waiting: WaitingRequest) -> None:
        """Begins the repair of a key; if one is pending, adds the request to those that wait for it."""
        repair = self.pending.get(key)
        if repair is not None:
            if waiting not in repair.waiting and len(repair.waiting) < MAX_WAITING_REQUESTS:
                repair.waiting.append(waiting)
            return
        catch_up, now = self.view.catch_up, self.view.now
        assert catch_up is not None
        if catch_up.reason == CatchUpReason.FIRST_RING:
            return
        if catch_up.reason == CatchUpReason.RESTARTED and now < catch_up.reports_valid_at:
            return
        if len(self.pending) >= self.view.settings.most_waiting:
            self.context.increment(Metric.PENDING_REPAIRS_FULL)
            return
        repair = PendingRepair(self.view.next_request_id(), now + REPAIR_TIMEOUT_S, waiting)
        self.pending[key] = repair
        self._send(key, repair)

    def tick(self, now: float) -> None:
        """Repeats unanswered requests, and drops repairs that have reached REPAIR_TIMEOUT_S."""
        for key, repair in list(self.pending.items()):
            if now >= repair.deadline:
                del self.pending[key]
            elif now >= repair.sent_at + RETRY_PAUSE_S:
                self._send(key, repair)

    def cancel_all(self) -> None:
        """Drops all repairs, as the ring has changed."""
        self.pending = {}

    def _send(self, key: str, repair: PendingRepair) -> None:
        view, catch_up = self.view, self.view.catch_up
        assert catch_up is not None
        repair.sent_at = view.now
        sources = dict.fromkeys(view.owners(key))
        if catch_up.reason == CatchUpReason.OWNERSHIP_CHANGED:
            sources |= dict.fromkeys(view.owners_by(catch_up.former_ring, key))
        message = ReadRepairRequest(repair.request_id, view.incarnation, view.epoch, key)
        for source in sources:
            has_answered = source in repair.former_sources or source in repair.current_sources
            if source != view.name and not has_answered:
                self.context.send(source, message)

    def on_request(self, sender: str, message: ReadRepairRequest) -> None:
        """Sends an owner the record stored under a key, and whether this agent counts as a source for it."""
        if not self.view.has_valid_lease():
            return
        catch_up, now, key = self.view.catch_up, self.view.now, message.key
        assert catch_up is not None
        record = self.store.get(key)
        data: bytes | None = b""
        if record is not None:
            data = self.store.encode_to_send(key, self.store.without_expired(record))
        if data is None:
            return
        response = ReadRepairResponse(
            message.request_id,
            message.incarnation,
            message.epoch,
            former_epoch=catch_up.former_ring.epoch if catch_up.former_ring else 0,
            caught_up_by_former=catch_up.had_caught_up(key, now),
            caught_up_by_current=self.view.owns(key) and catch_up.has_caught_up(key, now),
            record=data,
        )
        self.context.send(sender, response)

    def on_response(self, sender: str, message: ReadRepairResponse) -> None:
        """Merges a source's record, and completes the repair once enough sources have answered."""
        key = self._key_of(message)
        if key is None:
            self.context.increment(Metric.DROPPED_LATE_ANSWER)
            return
        if message.record:
            record = self.store.decode_received(key, message.record)
            if record is None or not self.store.merge(key, record):
                return
        repair, catch_up = self.pending[key], self.view.catch_up
        assert catch_up is not None
        is_same_former = (
            catch_up.former_ring is not None and message.former_epoch == catch_up.former_ring.epoch
        )
        if message.caught_up_by_former and is_same_former:
            repair.former_sources[sender] = None
        if message.caught_up_by_current:
            repair.current_sources[sender] = None
        if catch_up.has_enough_sources(key, repair.former_sources, repair.current_sources, self.view.now):
            del self.pending[key]
            catch_up.add_key(key)
            self.on_repaired(key, repair.waiting)

    def _key_of(self, message: ReadRepairResponse) -> str | None:
        if message.incarnation != self.view.incarnation or message.epoch != self.view.epoch:
            return None
        matching_keys = (
            key for key, repair in self.pending.items() if repair.request_id == message.request_id
        )
        return next(matching_keys, None)
