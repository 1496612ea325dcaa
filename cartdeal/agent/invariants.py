"""Runtime checks that an agent keeps the rules, based on an independent record of what was sent.

The monitor makes no decisions. Its only inputs are the moments at which the first byte of an attempt is sent,
an attempt ends, an answer is written and a connection is closed. A violation is a bug in the agent: it is
counted and logged, and the agent continues. The monitor does no I/O and keeps a record of open requests only.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdeal.balancer_types import DeduplicationScope, Idempotency, RequestClass

ANSWER_GRACE_S = 0.07  # an answer that is late by no more than this counts as in time
TIMEOUT_SLACK_S = 0.15  # the X-Timeout sent to a server may exceed the client's remaining time by this
REJECTION_STATUSES = (429, 503)  # they promise the client that the request did not run


class Invariant(StrEnum):
    """The rules that a single agent can break by itself."""

    ONE_ANSWER = "one_answer"
    ANSWER_IN_TIME = "answer_in_time"
    ANSWER_BEFORE_CLOSE = "answer_before_close"
    NO_SECOND_EFFECT = "no_second_effect"
    NO_UNSAFE_REJECTION = "no_unsafe_rejection"
    NO_SEND_WITHOUT_CLIENT = "no_send_for_nobody"
    NO_SEND_TO_DRAINING = "no_send_to_draining"
    TIMEOUT_WITHIN_DEADLINE = "time_told"


@dataclass(slots=True, frozen=True)
class Destination:
    """The server of an attempt, as the server list describes it when the first byte is sent."""

    zone: int
    cell: int
    is_ready: bool


@dataclass(slots=True)
class SentAttempt:
    """An attempt whose first byte was sent."""

    destination: Destination
    started_at: float  # when the first byte was sent
    may_have_run: bool = True  # false once its result proves that it did not run


@dataclass(slots=True)
class RequestRecord:
    """What the monitor knows of one open request."""

    id: bytes
    request_class: RequestClass
    deadline: float
    is_client_waiting: bool = True
    attempts: dict[int, SentAttempt] = field(default_factory=dict)

    def may_have_run(self) -> list[SentAttempt]:
        """Return the attempts that may have run."""
        return [each for each in self.attempts.values() if each.may_have_run]


class InvariantMonitor:
    """Calls `report(invariant, id, detail)` for each violation. Times are seconds of the host's clock."""

    def __init__(self, report):
        self.report = report
        self.requests: dict[int, RequestRecord] = {}

    def on_request(self, number: int, id: bytes, request_class: RequestClass, deadline: float):
        """A request has been accepted."""
        self.requests[number] = RequestRecord(id, request_class, deadline)

    def on_attempt_started(
        self, number: int, attempt: int, destination: Destination | None, timeout_sent: float, now: float
    ):
        """The first byte of an attempt is being sent.

        `destination`: None if the server is no longer listed. `timeout_sent`: the timeout in seconds that
        the server receives.
        """
        record = self.requests.get(number)
        if record is None or not record.is_client_waiting:
            return self.report(
                Invariant.NO_SEND_WITHOUT_CLIENT, record.id if record else b"", "no client waits"
            )
        if destination is None or not destination.is_ready:
            self.report(Invariant.NO_SEND_TO_DRAINING, record.id, "server is not listed as ready")
            destination = destination or Destination(-1, -1, False)
        if timeout_sent > record.deadline - now + TIMEOUT_SLACK_S:
            remaining = record.deadline - now
            self.report(
                Invariant.TIMEOUT_WITHIN_DEADLINE,
                record.id,
                f"timeout of {timeout_sent:.3f} s sent with {remaining:.3f} s left",
            )
        for earlier in record.may_have_run():
            if not repeats_safely(record.request_class, earlier, destination, now):
                self.report(Invariant.NO_SECOND_EFFECT, record.id, "an earlier attempt may have run")
        record.attempts[attempt] = SentAttempt(destination, now)

    def on_attempt_ended(self, number: int, attempt: int, never_ran: bool):
        """An attempt has ended; `never_ran` if its result proves that it did not run."""
        record = self.requests.get(number)
        sent_attempt = record and record.attempts.get(attempt)
        if sent_attempt:
            sent_attempt.may_have_run = not never_ran

    def on_answer(self, number: int, status: int, now: float):
        """An answer is being written to the client."""
        record = self.requests.get(number)
        if record is None or not record.is_client_waiting:
            return self.report(Invariant.ONE_ANSWER, record.id if record else b"", f"answered {status} again")
        record.is_client_waiting = False
        if now > record.deadline + ANSWER_GRACE_S:
            delay = now - record.deadline
            self.report(Invariant.ANSWER_IN_TIME, record.id, f"{delay:.3f} s after its deadline")
        if status in REJECTION_STATUSES:
            self.check_rejection(record, now)

    def check_rejection(self, record: RequestRecord, now: float):
        """Report a rejection after an attempt that may have run.

        After a rejection the client may retry at once, and the retry may reach any server.
        """
        repeat, group = record.request_class.idempotency, record.request_class.deduplication_scope
        for earlier in record.may_have_run():
            is_within_window = now <= earlier.started_at + record.request_class.deduplication_window
            if (
                repeat is Idempotency.IDEMPOTENT
                or repeat is Idempotency.DEDUPLICATED
                and group is DeduplicationScope.ALL
                and is_within_window
            ):
                continue
            self.report(Invariant.NO_UNSAFE_REJECTION, record.id, "an attempt may have run")

    def on_client_disconnected(self, number: int):
        """The client of a request has disconnected."""
        record = self.requests.get(number)
        if record:
            record.is_client_waiting = False

    def on_connection_closed(self, unanswered: int, peer_ended: bool):
        """A client's connection is closed; `unanswered` requests on it were read at least in part."""
        if unanswered and not peer_ended:
            self.report(Invariant.ANSWER_BEFORE_CLOSE, b"", f"{unanswered} requests read and not answered")

    def forget(self, number: int):
        """Drop a request that is answered or without a client, and has no attempt in flight."""
        self.requests.pop(number, None)


def repeats_safely(
    request_class: RequestClass, earlier: SentAttempt, destination: Destination, now: float
) -> bool:
    """Whether an attempt at `destination` is harmless although an earlier attempt may have run."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if (
        request_class.idempotency is Idempotency.NON_IDEMPOTENT
        or now > earlier.started_at + request_class.deduplication_window
    ):
        return False
    if request_class.deduplication_scope is DeduplicationScope.ALL:
        return True
    same_zone = destination.zone == earlier.destination.zone
    return same_zone and (
        request_class.deduplication_scope is DeduplicationScope.ZONE
        or destination.cell == earlier.destination.cell
    )
