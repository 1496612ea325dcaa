"""Writes and reads by quorum: the coordinator asks all owners of a key, and each owner answers.

This module owns the pending operations. It must never report an operation as certain unless enough owners
answered it, all of them in one epoch and caught up.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication import records
from cartdeal.fleet.replication.hinted_handoff import HintedHandoff
from cartdeal.fleet.replication.messages import WriteRequest, WriteResponse
from cartdeal.fleet.replication.read_repair import ReadRepair, WaitingRequest
from cartdeal.fleet.replication.record_store import RecordStore
from cartdeal.fleet.replication.records import AttemptRecord, Session
from cartdeal.fleet.replication.ring_view import RingView

RETRY_PAUSE_S = 0.25
SESSION_PREFIX = "s/"

OperationCallback = Callable[[int, tuple[AttemptRecord, ...], bool], None]
"""Called with the operation's ticket, the known earlier attempts, and whether the answer is certain."""


class RequiredResponses(NamedTuple):
    """How many owners have to write, and how many owners that have caught up have to answer."""

    writes: int
    reads: int


class PendingOperation:
    """A write or read that not all owners have answered yet; `attempt` is None for a read."""

    __slots__ = (
        "answered_by",
        "attempt",
        "deadline",
        "epoch",
        "is_decided",
        "key",
        "known",
        "owners",
        "required",
        "sent_at",
        "ticket",
        "version",
        "written_by",
    )

    def __init__(self, ticket: int, key: str, attempt: AttemptRecord | None, deadline: float) -> None:
        self.ticket = ticket
        self.key = key
        self.attempt = attempt
        self.deadline = deadline
        self.known: Session = Session()
        self.is_decided = False
        self.owners: tuple[str, ...] = ()
        self.epoch = 0
        self.required = RequiredResponses(0, 0)
        self.written_by: dict[str, None] = {}
        self.answered_by: dict[str, None] = {}
        self.sent_at = 0.0
        self.version = 0  # version of the hint that was sent; 0 if none was

    @property
    def attempt_id(self) -> str:
        """The identifier of the attempt record to write; "" for a read."""
        return self.attempt.attempt_id if self.attempt else ""

    @property
    def has_quorum(self) -> bool:
        """Whether enough owners have written and answered."""
        required = self.required
        return len(self.written_by) >= required.writes and len(self.answered_by) >= required.reads

    @property
    def is_complete(self) -> bool:
        """Whether the operation is decided and all owners have written or, for a read, answered."""
        responses = self.written_by if self.attempt else self.answered_by
        return self.is_decided and len(responses) == len(self.owners)

    def is_missing(self, owner: str) -> bool:
        """Whether an owner has to be sent the request again."""
        return owner not in self.answered_by or (self.attempt is not None and owner not in self.written_by)


class QuorumOwner:
    """Answers write requests as an owner.

    After a read repair, `respond(requester, response)` sends the new response to a requester that waits.
    """

    def __init__(
        self, view: RingView, store: RecordStore, respond: Callable[[str, WriteResponse], None]
    ) -> None:
        self.view = view
        self.context = view.context
        self.store = store
        self.respond = respond
        self.read_repair = ReadRepair(view, store, self._on_repaired)

    def on_write_request(self, sender: str, message: WriteRequest) -> None:
        """Serves a peer's request and sends the response."""
        response = self.serve(sender, message)
        if response:
            self.context.send(sender, response)

    def serve(self, requester: str, message: WriteRequest) -> WriteResponse | None:
        """Serves a request and returns the response.

        Returns None, with a counter, if this agent has no valid lease or doesn't own the key, or if it can't
        read the record.
        """
        if not self.view.has_valid_lease():
            self.context.increment(Metric.NO_VALID_LEASE)
            return None
        self.view.had_valid_lease = True
        key = message.key
        if not self.view.owns(key) or not key.startswith(SESSION_PREFIX):
            self.context.increment(Metric.DROPPED_NOT_OWNER)
            return None
        update = None
        if message.attempt_id and message.record:
            update = self.store.decode_received(key, message.record)
            if update is None:
                return None
        former = self.store.get_session(key)
        written = full = False
        if isinstance(update, Session):
            full = not self._write(message, former, update)
            written = not full and message.attempt_id in update.attempts
        else:
            self.store.migrate_if_old_form(key, former)
        if not self.view.has_caught_up(key):
            waiting = WaitingRequest(requester, message.request_id, message.incarnation, message.attempt_id)
            self.read_repair.request(key, waiting)
        header = (message.request_id, message.incarnation)
        return self._response(header, key, message.attempt_id, former, written, full)

    def _write(self, message: WriteRequest, former: Session, update: Session) -> bool:
        """Merges an attempt record; False, with a counter, if a limit is reached."""
        max_attempts = self.view.settings.most_marks_a_session
        is_full = message.attempt_id not in former.attempts and former.is_full(max_attempts)
        if is_full or not self.store.merge(message.key, update):
            self.context.increment(Metric.ATTEMPTS_FULL)
            return False
        return True

    def _response(
        self, header: tuple[int, int], key: str, attempt_id: str, former: Session, written: bool, full: bool
    ) -> WriteResponse:
        attempts = {each: attempt for each, attempt in former.attempts.items() if each != attempt_id}
        data: bytes | None = b""
        if attempts or former.required_version:
            earlier_session = Session(attempts, former.unknown_fields, former.required_version)
            data = self.store.encode_to_send(key, earlier_session)
        caught_up = data is not None and self.view.has_caught_up(key)
        return WriteResponse(*header, self.view.epoch, written, caught_up, full, data or b"")

    def _on_repaired(self, key: str, waiting: list[WaitingRequest]) -> None:
        session = self.store.get_session(key)
        for each in waiting:
            written = each.attempt_id in session.attempts
            header = (each.request_id, each.incarnation)
            self.respond(
                each.requester, self._response(header, key, each.attempt_id, session, written, False)
            )


class QuorumCoordinator:
    """Sends writes and reads to all owners of a key; `on_done` is called once for each operation."""

    def __init__(
        self,
        view: RingView,
        store: RecordStore,
        hints: HintedHandoff,
        owner: QuorumOwner,
        on_done: OperationCallback,
    ) -> None:
        self.view = view
        self.context = view.context
        self.store = store
        self.hints = hints
        self.owner = owner
        self.on_done = on_done
        self.pending: dict[int, PendingOperation] = {}

    def write(self, ticket: int, key: str, attempt: AttemptRecord, deadline: float) -> None:
        """Writes an attempt record at all owners and requests the attempts that they stored before.

        Args:
            ticket: The caller's number of the operation, passed to `on_done`.
            key: The session's key.
            attempt: The attempt record to write.
            deadline: When an undecided operation ends as uncertain, in monotonic seconds; at most one lease
                from now.
        """
        hint = self.hints.hints.get(key)
        if hint and hint.record.is_full(self.view.settings.most_marks_a_session):
            self.context.increment(Metric.ATTEMPTS_FULL)
            self.on_done(ticket, self._earlier_attempts(key, attempt.attempt_id, Session()), False)
            return
        if self._has_room(ticket):
            self.hints.add(key, Session({attempt.attempt_id: attempt}))
            self._begin(ticket, key, attempt, deadline)

    def read(self, ticket: int, key: str, deadline: float) -> None:
        """Requests the attempts that all owners store; the arguments are those of `write`."""
        if self._has_room(ticket):
            self._begin(ticket, key, None, deadline)

    def _has_room(self, ticket: int) -> bool:
        if len(self.pending) < self.view.settings.most_waiting:
            return True
        decided_ids = (request_id for request_id, each in self.pending.items() if each.is_decided)
        request_id = next(decided_ids, None)
        if request_id is None:
            self.context.increment(Metric.PENDING_OPERATIONS_FULL)
            self.on_done(ticket, (), False)
            return False
        self._close(request_id)
        return True

    def _begin(self, ticket: int, key: str, attempt: AttemptRecord | None, deadline: float) -> None:
        # An owner that restarted relies on no write being pending for longer than a lease.
        deadline = min(deadline, self.view.now + self.view.settings.lease_s)
        request_id = self.view.next_request_id()
        self.pending[request_id] = PendingOperation(ticket, key, attempt, deadline)
        self._start_round(request_id)

    def _start_round(self, request_id: int) -> None:
        """Sends the request to all owners by the present ring, and discards earlier responses."""
        operation = self.pending[request_id]
        operation.written_by = {}
        operation.answered_by = {}
        operation.owners = ()
        operation.sent_at = self.view.now
        if self.view.catch_up is None:
            return
        operation.owners = self.view.owners(operation.key)
        operation.epoch = self.view.epoch
        writes = self.view.catch_up.quorum.writes if operation.attempt else 0
        operation.required = RequiredResponses(writes, self.view.catch_up.quorum.reads)
        self._send(request_id, operation.owners)

    def _send(self, request_id: int, owners: Iterable[str]) -> None:
        operation = self.pending[request_id]
        data = self._encode_write(operation)
        message = WriteRequest(
            request_id,
            self.view.incarnation,
            operation.epoch,
            operation.key,
            operation.attempt_id,
            data,
        )
        for owner in owners:
            if owner != self.view.name:
                self.context.send(owner, message)
        if self.view.name in owners:
            response = self.owner.serve(self.view.name, message)
            if response:
                self.on_response(self.view.name, response)

    def _encode_write(self, operation: PendingOperation) -> bytes:
        operation.version = 0
        if operation.attempt is None:
            return b""
        hint = self.hints.hints.get(operation.key)
        data: bytes | None = b""
        if hint:  # the hint also contains earlier attempts that not all owners have yet
            data = self.store.encode_to_send(operation.key, hint.record)
            operation.version = hint.version
        if not data:
            session = Session({operation.attempt_id: operation.attempt})
            data = self.store.encode_to_send(operation.key, session)
        return data or b""

    def on_response(self, sender: str, message: WriteResponse) -> None:
        """Counts an owner's response."""
        operation = self.pending.get(message.request_id)
        is_own_incarnation = message.incarnation == self.view.incarnation
        if operation is None or not is_own_incarnation or sender not in operation.owners:
            self.context.increment(Metric.DROPPED_LATE_ANSWER)
            return
        if message.epoch != operation.epoch:
            self.context.increment(Metric.DROPPED_OLD_EPOCH)
            return
        if message.record:
            record = self.store.decode_received(operation.key, message.record)
            if record is None:
                return
            known_session = records.merge(operation.known, record)
            assert isinstance(known_session, Session)
            operation.known = known_session
        if message.full:
            self.context.increment(Metric.OWNED_LIMITS_FULL)
        if message.written and operation.attempt:
            operation.written_by[sender] = None
            self.hints.confirm(operation.key, sender, operation.version)
            if sender == self.view.name:
                self.hints.forget_if_delivered(operation.key)
        if message.caught_up:
            operation.answered_by[sender] = None
        if self.view.now > operation.deadline:
            self._close(message.request_id)  # this process was paused: the response may be of any age
            return
        if not operation.is_decided and operation.has_quorum:
            self._decide(operation, certain=True)
        if operation.is_complete:
            self.pending.pop(message.request_id, None)

    def _decide(self, operation: PendingOperation, certain: bool) -> None:
        operation.is_decided = True
        self.context.increment(Metric.WRITES_CERTAIN if certain else Metric.WRITES_UNCERTAIN)
        attempts = self._earlier_attempts(operation.key, operation.attempt_id, operation.known)
        self.on_done(operation.ticket, attempts, certain)

    def _earlier_attempts(
        self, key: str, attempt_id: str, known_session: Session
    ) -> tuple[AttemptRecord, ...]:
        """The known attempts of a session, this agent's hint included, without the attempt to write."""
        hint = self.hints.hints.get(key)
        session = self.store.without_expired(
            records.merge(known_session, hint.record) if hint else known_session
        )
        assert isinstance(session, Session)
        return tuple(attempt for each, attempt in sorted(session.attempts.items()) if each != attempt_id)

    def _close(self, request_id: int) -> None:
        """Ends an operation, as uncertain if it is undecided; owners that lack the hint are sent it."""
        operation = self.pending.pop(request_id, None)
        if operation is None:
            return
        if not operation.is_decided:
            self._decide(operation, certain=False)
        self.hints.enqueue(operation.key)

    def on_ring_changed(self) -> None:
        """Closes the decided operations and sends the others to the owners by the new ring."""
        for request_id, operation in list(self.pending.items()):
            if operation.is_decided:
                self._close(request_id)
            else:
                self._start_round(request_id)

    def close_first_overdue(self) -> None:
        """Closes overdue operations, oldest first, up to the first that isn't overdue."""
        while self.pending:
            request_id = next(iter(self.pending))
            if self.pending[request_id].deadline > self.view.now:
                break
            self._close(request_id)

    def close_overdue(self, now: float) -> None:
        """Closes all operations whose deadline has passed."""
        for request_id in [each for each, operation in self.pending.items() if now >= operation.deadline]:
            self._close(request_id)

    def retry(self, now: float) -> None:
        """Sends undecided operations again to the owners that haven't answered."""
        for request_id, operation in list(self.pending.items()):
            if not operation.is_decided and now >= operation.sent_at + RETRY_PAUSE_S:
                operation.sent_at = now
                self._send(request_id, [owner for owner in operation.owners if operation.is_missing(owner)])
