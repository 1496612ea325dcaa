"""Checks at run time that an agent keeps the rules, by a record of its own of what really went out.

It decides nothing, and shares nothing with the code that does but the moments in which a first byte goes, an
attempt ends, an answer is written and a connection is closed. A violation is a fault of the agent: it is
counted and logged, and the agent goes on. It must never do I/O, and holds no more than the requests that are
open.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from cartdeal.balancer_types import DeduplicationScope, Idempotency, RequestClass

ANSWER_GRACE_S = 0.07  # seconds after a request's deadline within which its answer counts as in time
TIMEOUT_SLACK_S = 0.15  # seconds by which the time told to a server may exceed what the client has left
REJECTION_STATUSES = (429, 503)  # statuses that promise that nothing ran


class Invariant(StrEnum):
    """The rules, as far as one agent alone can break them."""

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
    """Where an attempt goes, as the server list has it at that moment."""

    zone: int
    cell: int
    is_ready: bool


@dataclass(slots=True)
class SentAttempt:
    destination: Destination
    started_at: float  # when its first byte went
    may_have_run: bool = True  # until its end proves that it never did


@dataclass(slots=True)
class RequestRecord:
    id: bytes
    request_class: RequestClass
    deadline: float
    is_client_waiting: bool = True
    attempts: dict[int, SentAttempt] = field(default_factory=dict)

    def may_have_run(self) -> list[SentAttempt]:
        return [each for each in self.attempts.values() if each.may_have_run]


class InvariantMonitor:
    """Times are seconds of the host's clock; `report(invariant, id, detail)` is told of each violation."""

    def __init__(self, report):
        self.report = report
        self.requests: dict[int, RequestRecord] = {}

    def on_request(self, number: int, id: bytes, request_class: RequestClass, deadline: float):
        self.requests[number] = RequestRecord(id, request_class, deadline)

    def on_attempt_started(
        self, number: int, attempt: int, destination: Destination | None, timeout_sent: float, now: float
    ):
        """The first byte goes now.

        `destination`: None where the list no longer has the server. `timeout_sent`: the seconds for which the
        server hears that it is waited for.
        """
        record = self.requests.get(number)
        if record is None or not record.is_client_waiting:
            return self.report(Invariant.NO_SEND_WITHOUT_CLIENT, record.id if record else b"", "nobody waits")
        if destination is None or not destination.is_ready:
            self.report(Invariant.NO_SEND_TO_DRAINING, record.id, "not ready by the list")
            destination = destination or Destination(-1, -1, False)
        if timeout_sent > record.deadline - now + TIMEOUT_SLACK_S:
            left = record.deadline - now
            self.report(
                Invariant.TIMEOUT_WITHIN_DEADLINE,
                record.id,
                f"told {timeout_sent:.3f} s where {left:.3f} s are left",
            )
        for earlier in record.may_have_run():
            if not repeats_safely(record.request_class, earlier, destination, now):
                self.report(Invariant.NO_SECOND_EFFECT, record.id, "an earlier attempt may have run")
        record.attempts[attempt] = SentAttempt(destination, now)

    def on_attempt_ended(self, number: int, attempt: int, never_ran: bool):
        record = self.requests.get(number)
        sent = record and record.attempts.get(attempt)
        if sent:
            sent.may_have_run = not never_ran

    def on_answer(self, number: int, status: int, now: float):
        record = self.requests.get(number)
        if record is None or not record.is_client_waiting:
            return self.report(Invariant.ONE_ANSWER, record.id if record else b"", f"answered {status} again")
        record.is_client_waiting = False
        if now > record.deadline + ANSWER_GRACE_S:
            late = now - record.deadline
            self.report(Invariant.ANSWER_IN_TIME, record.id, f"{late:.3f} s after its deadline")
        if status in REJECTION_STATUSES:
            self.check_rejection(record, now)

    def check_rejection(self, record: RequestRecord, now: float):
        """A client may come again after it, at any server, and at once."""
        repeat, group = record.request_class.idempotency, record.request_class.deduplication_scope
        for earlier in record.may_have_run():
            within = now <= earlier.started_at + record.request_class.deduplication_window
            if (
                repeat is Idempotency.IDEMPOTENT
                or repeat is Idempotency.DEDUPLICATED
                and group is DeduplicationScope.ALL
                and within
            ):
                continue
            self.report(Invariant.NO_UNSAFE_REJECTION, record.id, "an attempt may have run")

    def on_client_disconnected(self, number: int):
        record = self.requests.get(number)
        if record:
            record.is_client_waiting = False

    def on_connection_closed(self, unanswered: int, peer_ended: bool):
        """A client's connection is closed. `unanswered`: requests of which something was read on it."""
        if unanswered and not peer_ended:
            self.report(Invariant.ANSWER_BEFORE_CLOSE, b"", f"{unanswered} requests read and not answered")

    def forget(self, number: int):
        """The request is answered, or nobody waits, and no attempt is out."""
        self.requests.pop(number, None)


def repeats_safely(
    request_class: RequestClass, earlier: SentAttempt, destination: Destination, now: float
) -> bool:
    """Whether an attempt that begins there, now, is harmless beside an earlier one that may have run."""
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
