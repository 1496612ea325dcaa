"""What is done with a request, from the marks that are known of its session.

Pure. It must never let a request go on whose earlier attempt may have run where another one could do harm,
and never guesses what is not known.
"""

from enum import Enum, StrEnum
from typing import NamedTuple

from msgspec import Struct

from cartdeal.fleet.replication.records import AttemptRecord, Certainty

WINDOW_MARGIN_MS = 50  # of a window kept free, as the balancer does, for the attempt to arrive


class AdmissionRequest(Struct, frozen=True, kw_only=True):
    """A request, as far as the fleet has to know it."""

    tenant: str = ""
    session: str = ""  # the session's hash, in hex; "" where it has none
    key: str = ""  # what tells a repeat: the idempotency key, or a digest of what is asked
    repeat: str = "i"  # idempotent, (d)eduplicated, (u)nrepeatable
    group: str = "all"
    window_s: float = 0.0
    limit_s: float = 1.0  # of its deadline, what is left
    workload: str = ""
    retried: bool = False  # whether the client marked it as a repeat

    @property
    def leaves_record(self) -> bool:
        """Whether it leaves an attempt record: a repeat could do harm, and its session identifies it."""
        return self.repeat != "i" and bool(self.session)

    @property
    def record_key(self) -> str:
        """The key of its session's record."""
        return f"s/{self.session}"


class AdmissionDecision(Enum):
    """`value` is the word that the agent's side knows it by."""

    ADMIT = "admit"
    RATE_LIMITED = "rate limited"
    REJECT = "reject"
    FAIL = "fail"


class RanOutcome(StrEnum):
    """Whether an ended request ran at a server; `value` is the word that the agent's side knows it by."""

    NEVER = "never"  # provably not run
    MAYBE = "maybe"
    ANSWERED = "answered"


class EarlierAttempt(NamedTuple):
    """An earlier attempt that may have run: a further one goes to its group only, no later than
    `until_ms`."""

    zone: str
    cell: int
    group: str
    until_ms: int


def matching_attempts(question: AdmissionRequest, marks, clients_mark: bool) -> list[AttemptRecord]:
    """The marks of requests that this one may repeat and that may have run."""
    found = []
    for mark in marks:
        if (
            mark.key != question.key
            or mark.workload != question.workload
            or mark.certainty == Certainty.NEVER_RAN
        ):
            continue
        if question.repeat == "u" and not question.retried:
            # Without a key of its own, a request that says the same may be a new one: where clients mark
            # their repeats, and where the client has its answer to the one before.
            if clients_mark or mark.certainty == Certainty.ANSWERED:
                continue
        found.append(mark)
    return found


def decide(question: AdmissionRequest, marks, wall_ms: int, slack_ms: int, clients_mark: bool):
    """AdmissionDecision and what a pass has to heed. `slack_ms`: how far clocks may be apart."""
    found = matching_attempts(question, marks, clients_mark)
    if not found:
        return AdmissionDecision.ADMIT, ()
    if question.repeat == "u":
        return AdmissionDecision.FAIL, ()
    earlier_attempts = []
    for mark in found:
        until = mark.sent_ms + mark.window_ms - slack_ms - WINDOW_MARGIN_MS
        if wall_ms > until:
            return AdmissionDecision.FAIL, ()
        if mark.group == "all":
            earlier_attempts.append(EarlierAttempt("", -1, "all", until))
        elif not mark.locations:
            return (
                AdmissionDecision.FAIL,
                (),
            )  # it may have gone anywhere, and where is not known any more
        else:
            earlier_attempts += [
                EarlierAttempt(zone, cell, mark.group, until) for zone, cell in mark.locations
            ]
    return AdmissionDecision.ADMIT, tuple(dict.fromkeys(earlier_attempts))


def may_reject(question: AdmissionRequest, marks, wall_ms: int, slack_ms: int, clients_mark: bool) -> bool:
    """Whether a client may be told to come again, as the balancer's own rule has it."""
    return all(
        question.repeat == "d" and mark.group == "all" and wall_ms <= mark.sent_ms + mark.window_ms - slack_ms
        for mark in matching_attempts(question, marks, clients_mark)
    )


def may_repeat(question: AdmissionRequest, clients_mark: bool) -> bool:
    """Whether it may be the repeat of one that nobody here knows of."""
    everywhere = question.repeat == "d" and question.group == "all"  # any server would drop a repeat
    return question.retried or not (clients_mark or everywhere)


def decide_unknown(question: AdmissionRequest, on_doubt: str, clients_mark: bool) -> AdmissionDecision:
    """Marks can't be known in time: what may be a repeat is never asked to come again, nor sent."""
    repeat = may_repeat(question, clients_mark)
    return AdmissionDecision.FAIL if repeat or on_doubt == "terminate" else AdmissionDecision.REJECT
