"""Decides what is done with a request, from the attempt records of its session.

All functions are pure. They must never admit a request if an earlier attempt may have run and another one
could do harm, and must never treat missing knowledge as proof.
"""

from collections.abc import Iterable
from enum import Enum, StrEnum
from typing import NamedTuple

from msgspec import Struct

from cartdeal.fleet.replication.records import AttemptRecord, Certainty

WINDOW_MARGIN_MS = 50  # end of a window left for the attempt to arrive, as in the balancer


class Idempotency(StrEnum):
    """Whether a request may run twice. The value is the letter that attempt records store."""

    IDEMPOTENT = "i"
    DEDUPLICATED = "d"  # servers drop a repeat with the same key within a window
    NON_IDEMPOTENT = "u"


class AdmissionRequest(Struct, frozen=True, kw_only=True):
    """The properties of a request that the fleet needs; durations in seconds."""

    tenant: str = ""
    session: str = ""  # hash of the session in hex; "" if the request has no session
    key: str = ""  # identifies a repeat: the idempotency key, or a digest of the request
    repeat: str = Idempotency.IDEMPOTENT  # one of Idempotency
    group: str = "all"  # the scope in which servers deduplicate together: "all", "zone" or "cell"
    window_s: float = 0.0  # length of the servers' deduplication window
    limit_s: float = 1.0  # time left until the request's deadline
    workload: str = ""  # its request class
    retried: bool = False  # whether the client marked the request as a repeat

    @property
    def leaves_record(self) -> bool:
        """Whether the request leaves an attempt record: a repeat could do harm, and a session is given."""
        return self.repeat != Idempotency.IDEMPOTENT and bool(self.session)

    @property
    def record_key(self) -> str:
        """The key of the session's record in the replicated store."""
        return f"s/{self.session}"


class AdmissionDecision(Enum):
    """What is done with a request. The value is the name of the counter."""

    ADMIT = "admit"
    RATE_LIMITED = "rate limited"  # the tenant is over its limit: the client may retry
    REJECT = "reject"  # nothing ran: the client may retry
    FAIL = "fail"  # an earlier attempt may have run: the client must not retry


class RanOutcome(StrEnum):
    """Whether an ended request ran at a server. The value is the text that the agent passes."""

    NEVER = "never"  # it provably did not run
    MAYBE = "maybe"
    ANSWERED = "answered"


class EarlierAttempt(NamedTuple):
    """An earlier attempt that may have run: a further attempt may go to its deduplication group only."""

    zone: str
    cell: int
    group: str
    until_ms: int  # the fleet's time after which no further attempt may be sent, milliseconds


def matching_attempts(
    request: AdmissionRequest, records: Iterable[AttemptRecord], clients_mark: bool
) -> list[AttemptRecord]:
    """Returns the records of attempts that this request may repeat and that may have run.

    Only the certainty NEVER_RAN proves that an attempt did not run. A non-idempotent request has no
    idempotency key, so an identical request may be a new one. It counts as new if it is not marked as a
    repeat and either clients mark all their repeats or the client has received the answer to the earlier
    request.
    """
    matching_records = []
    for record in records:
        is_other_request = record.key != request.key or record.workload != request.workload
        if is_other_request or record.certainty == Certainty.NEVER_RAN:
            continue
        is_unmarked = request.repeat == Idempotency.NON_IDEMPOTENT and not request.retried
        if is_unmarked and (clients_mark or record.certainty == Certainty.ANSWERED):
            continue
        matching_records.append(record)
    return matching_records


def decide(
    request: AdmissionRequest,
    records: Iterable[AttemptRecord],
    wall_ms: int,
    clock_error_ms: int,
    clients_mark: bool,
) -> tuple[AdmissionDecision, tuple[EarlierAttempt, ...]]:
    """Decide on a request when the records of its session are known for certain.

    Returns ADMIT with the earlier attempts that a further attempt has to respect, or FAIL. A non-idempotent
    request is admitted only if no matching attempt may have run; a deduplicated one only while the servers
    that an earlier attempt may have reached are known to drop a repeat. `wall_ms` is the fleet's time,
    `clock_error_ms` the greatest difference between two clocks.
    """
    matching_records = matching_attempts(request, records, clients_mark)
    if not matching_records:
        return AdmissionDecision.ADMIT, ()
    if request.repeat == Idempotency.NON_IDEMPOTENT:
        return AdmissionDecision.FAIL, ()
    earlier_attempts: list[EarlierAttempt] = []
    for record in matching_records:
        until_ms = record.sent_ms + record.window_ms - clock_error_ms - WINDOW_MARGIN_MS
        if wall_ms > until_ms:
            return AdmissionDecision.FAIL, ()
        if record.group == "all":
            earlier_attempts.append(EarlierAttempt("", -1, "all", until_ms))
        elif record.locations:
            earlier_attempts += [
                EarlierAttempt(zone, cell, record.group, until_ms) for zone, cell in record.locations
            ]
        else:
            # The attempt may have gone to any zone or cell: its record names none.
            return AdmissionDecision.FAIL, ()
    return AdmissionDecision.ADMIT, tuple(dict.fromkeys(earlier_attempts))


def may_reject(
    request: AdmissionRequest,
    records: Iterable[AttemptRecord],
    wall_ms: int,
    clock_error_ms: int,
    clients_mark: bool,
) -> bool:
    """Whether a client may be told to retry. The balancer's own rule is the same.

    It may if there is no matching attempt, or if every server would drop a repeat of each matching attempt.
    """
    return all(
        request.repeat == Idempotency.DEDUPLICATED
        and record.group == "all"
        and wall_ms <= record.sent_ms + record.window_ms - clock_error_ms
        for record in matching_attempts(request, records, clients_mark)
    )


def may_repeat(request: AdmissionRequest, clients_mark: bool) -> bool:
    """Whether a request may be a harmful repeat of one that has no known attempt record."""
    is_dropped_everywhere = request.repeat == Idempotency.DEDUPLICATED and request.group == "all"
    return request.retried or not (clients_mark or is_dropped_everywhere)


def decide_unknown(request: AdmissionRequest, on_doubt: str, clients_mark: bool) -> AdmissionDecision:
    """Decide on a request when the records of its session can't be read in time.

    A request that may be a repeat fails: it is neither sent nor may its client retry. For other requests the
    operator's setting `on_doubt` decides.
    """
    if may_repeat(request, clients_mark) or on_doubt == "terminate":
        return AdmissionDecision.FAIL
    return AdmissionDecision.REJECT
