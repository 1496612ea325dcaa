"""What is done with a request, from the attempt records that are known of its session.

Pure functions. They must never let a request go on whose earlier attempt may have run where another one
could do harm, and never guess what is not known.
"""

from collections.abc import Iterable
from enum import Enum, StrEnum
from typing import NamedTuple

from msgspec import Struct

from cartdeal.fleet.replication.records import AttemptRecord, Certainty

WINDOW_MARGIN_MS = 50  # of a window kept free, as the balancer does, for the attempt to arrive


class Idempotency(StrEnum):
    """Whether a request may run twice; `value` is the letter that attempt records store."""

    IDEMPOTENT = "i"
    DEDUPLICATED = "d"  # servers drop a repeat that carries the same key, within a window
    NON_IDEMPOTENT = "u"


class AdmissionRequest(Struct, frozen=True, kw_only=True):
    """A request, as far as the fleet has to know it."""

    tenant: str = ""
    session: str = ""  # the session's hash, in hex; "" where it has none
    key: str = ""  # what tells a repeat: the idempotency key, or a digest of the request
    repeat: str = Idempotency.IDEMPOTENT  # one of Idempotency
    group: str = "all"  # the servers that deduplicate together: "all", "zone" or "cell"
    window_s: float = 0.0  # how long servers deduplicate
    limit_s: float = 1.0  # until its deadline
    workload: str = ""  # its request class
    retried: bool = False  # whether the client marked it as a repeat

    @property
    def leaves_record(self) -> bool:
        """Whether it leaves an attempt record: a repeat could do harm, and its session identifies it."""
        return self.repeat != Idempotency.IDEMPOTENT and bool(self.session)

    @property
    def record_key(self) -> str:
        """The key of its session's record."""
        return f"s/{self.session}"


class AdmissionDecision(Enum):
    """What is done with a request; `value` is the name of the counter."""

    ADMIT = "admit"
    RATE_LIMITED = "rate limited"  # its tenant is over its limit: the client may come again
    REJECT = "reject"  # nothing ran: the client may come again
    FAIL = "fail"  # an earlier attempt may have run: the client must not come again


class RanOutcome(StrEnum):
    """Whether an ended request ran at a server; `value` is the word that the agent's side knows it by."""

    NEVER = "never"  # provably not run
    MAYBE = "maybe"
    ANSWERED = "answered"


class EarlierAttempt(NamedTuple):
    """An earlier attempt that may have run: a further one goes to its group only."""

    zone: str
    cell: int
    group: str
    until_ms: int  # the fleet's time after which no further attempt may be sent


def matching_attempts(
    request: AdmissionRequest, records: Iterable[AttemptRecord], clients_mark: bool
) -> list[AttemptRecord]:
    """The records of attempts that this request may repeat and that may have run.

    A record proves that nothing ran only by its certainty NEVER_RAN. A non-idempotent request has no key of
    its own, so one that reads the same may be a new one: it is, where clients mark their repeats and this is
    not marked, or where the client has its answer to the earlier one.
    """
    found = []
    for record in records:
        is_other_request = record.key != request.key or record.workload != request.workload
        if is_other_request or record.certainty == Certainty.NEVER_RAN:
            continue
        is_unmarked = request.repeat == Idempotency.NON_IDEMPOTENT and not request.retried
        if is_unmarked and (clients_mark or record.certainty == Certainty.ANSWERED):
            continue
        found.append(record)
    return found


def decide(
    request: AdmissionRequest,
    records: Iterable[AttemptRecord],
    wall_ms: int,
    clock_error_ms: int,
    clients_mark: bool,
) -> tuple[AdmissionDecision, tuple[EarlierAttempt, ...]]:
    """Decide on a request whose session's records are known for certain.

    Returns ADMIT with the earlier attempts that a further one has to respect, or FAIL. A non-idempotent
    request is admitted only where no matching attempt may have run; a deduplicated one only while the servers
    that an earlier attempt may have reached are known to drop a repeat. `wall_ms` is the fleet's time,
    `clock_error_ms` how far two clocks may be apart.
    """
    matching = matching_attempts(request, records, clients_mark)
    if not matching:
        return AdmissionDecision.ADMIT, ()
    if request.repeat == Idempotency.NON_IDEMPOTENT:
        return AdmissionDecision.FAIL, ()
    earlier_attempts: list[EarlierAttempt] = []
    for record in matching:
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
            # It may have gone anywhere, and where is not known any more.
            return AdmissionDecision.FAIL, ()
    return AdmissionDecision.ADMIT, tuple(dict.fromkeys(earlier_attempts))


def may_reject(
    request: AdmissionRequest,
    records: Iterable[AttemptRecord],
    wall_ms: int,
    clock_error_ms: int,
    clients_mark: bool,
) -> bool:
    """Whether a client may be told to come again, as the balancer's own rule has it.

    It may if every server would drop a repeat of each matching attempt, or there is none.
    """
    return all(
        request.repeat == Idempotency.DEDUPLICATED
        and record.group == "all"
        and wall_ms <= record.sent_ms + record.window_ms - clock_error_ms
        for record in matching_attempts(request, records, clients_mark)
    )


def may_repeat(request: AdmissionRequest, clients_mark: bool) -> bool:
    """Whether a request may be the harmful repeat of one that nobody here knows of."""
    is_dropped_everywhere = request.repeat == Idempotency.DEDUPLICATED and request.group == "all"
    return request.retried or not (clients_mark or is_dropped_everywhere)


def decide_unknown(request: AdmissionRequest, on_doubt: str, clients_mark: bool) -> AdmissionDecision:
    """Decide on a request whose session's records can't be known in time.

    What may be a repeat is neither sent nor told to come again; `on_doubt` decides on the rest.
    """
    if may_repeat(request, clients_mark) or on_doubt == "terminate":
        return AdmissionDecision.FAIL
    return AdmissionDecision.REJECT
