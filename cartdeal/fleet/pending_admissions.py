"""The requests that wait for the fleet's decision, or are admitted and have not ended yet.

A request first takes a token of its tenant's rate limit, then claims an attempt record at the owners of its
session. The decision depends on the earlier attempts that the owners know of (idempotency.py). If an answer
does not come in time, the request is decided as unknown. A request that leaves a record must never be
admitted before its own claim counts as written, and each request gets exactly one decision.
"""

from enum import Enum, auto
from typing import Protocol

from msgspec.structs import replace

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.effects import DeliverDecision, Effect
from cartdeal.fleet.idempotency import (
    AdmissionDecision,
    AdmissionRequest,
    EarlierAttempt,
    Idempotency,
    RanOutcome,
    decide,
    decide_unknown,
    matching_attempts,
    may_reject,
    may_repeat,
)
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.quota.quota_leases import QuotaLeases
from cartdeal.fleet.replication.records import AttemptRecord, Certainty
from cartdeal.fleet.replication.replica import Replica
from cartdeal.fleet.settings import FleetSettings

RETRY_AFTER_S = 0.5  # told to rejected clients by default; jitter makes it up to 1.5 times as long


class AdmissionContext(NodeContext, Protocol):
    """What the node provides to its pending admissions, in addition to NodeContext."""

    effects: list[Effect]
    replica: Replica
    quota: QuotaLeases
    is_fenced: bool

    @property
    def is_warming_up(self) -> bool:
        """Whether attempt records from before the fleet's first ring may still concern a request."""


class AdmissionStep(Enum):
    """What a pending admission waits for."""

    TAKING_TOKEN = auto()  # a token of its tenant's rate limit was requested
    CLAIMING = auto()  # its attempt record is being written at the owners of its session
    CHECKING_REJECTION = auto()  # rate limited; earlier attempts decide whether its client may retry
    ADMITTED = auto()  # decided; it stays until the request ends


OUTCOME_CERTAINTY = {
    RanOutcome.NEVER: Certainty.NEVER_RAN,
    RanOutcome.MAYBE: Certainty.SENT,
    RanOutcome.ANSWERED: Certainty.ANSWERED,
}


class PendingAdmission:
    """A request from the time the fleet is asked about it until it ends or is rejected."""

    __slots__ = ("deadline", "record", "request", "retry_after_s", "step")

    def __init__(self, request: AdmissionRequest, deadline: float) -> None:
        self.request = request
        self.deadline = deadline  # of the decision, monotonic seconds
        self.step = AdmissionStep.TAKING_TOKEN
        self.record: AttemptRecord | None = None  # its own attempt record, None before the claim
        self.retry_after_s = 0.0  # as the rate limit gave it; 0: none


class PendingAdmissions:
    """Takes requests through their steps to a decision, and records the outcome of the admitted ones.

    A request is identified by its `ticket`, a number that the agent assigns.
    """

    def __init__(self, context: AdmissionContext, settings: FleetSettings) -> None:
        self.context = context
        self.settings = settings
        self.by_ticket: dict[int, PendingAdmission] = {}
        self.undecided_count = 0  # requests in `by_ticket` that still wait for a decision
        self.record_count = 0  # attempt records so far; with the incarnation it makes each attempt_id unique

    # Called by the agent

    def request_admission(self, ticket: int, request: AdmissionRequest) -> None:
        """Ask whether a request may go on to the balancer.

        The decision comes as a DeliverDecision effect, within `wait_s` plus at most two ticks.
        """
        if self.undecided_count >= self.settings.most_waiting:
            self.context.increment(Metric.PENDING_ADMISSIONS_FULL)
            self._deliver(ticket, self._decision_if_unknown(request), self._retry_after_s())
            return
        deadline = self.context.now + min(self.settings.wait_s, request.limit_s / 2)
        self.by_ticket[ticket] = PendingAdmission(request, deadline)
        self.undecided_count += 1
        self.context.increment(Metric.ADMISSION_REQUESTS)
        if request.tenant in self.settings.limits:
            self.context.quota.request_token(ticket, request.tenant, deadline)
        else:
            self.on_token_decision(ticket, True, 0.0, True)

    def on_attempt_sent(self, ticket: int, zone: str, cell: int) -> None:
        """Record the zone and cell that an attempt of an admitted request is being sent to."""
        admission = self.by_ticket.get(ticket)
        if admission and admission.record and (zone, cell) not in admission.record.locations:
            locations = tuple(sorted({*admission.record.locations, (zone, cell)}))
            self._refine_record(admission, Certainty.SENT, locations)

    def on_request_ended(self, ticket: int, outcome: RanOutcome) -> None:
        """Record the outcome of a request that is answered and has no attempt in flight."""
        admission = self.by_ticket.pop(ticket, None)
        if admission is None:
            return
        self.undecided_count -= admission.step is not AdmissionStep.ADMITTED
        if admission.record:
            self._refine_record(admission, OUTCOME_CERTAINTY[outcome])

    def tick(self) -> None:
        """Decide overdue requests as unknown; the parts answer by the deadline unless there is a fault."""
        undecided = [
            (ticket, admission)
            for ticket, admission in self.by_ticket.items()
            if admission.step is not AdmissionStep.ADMITTED
        ]
        for ticket, admission in undecided:
            if self.context.now >= admission.deadline + self.settings.tick_s:
                self.context.increment(Metric.OVERDUE_DECISIONS)
                self._settle_unknown(ticket, admission)

    # Called by the quota and the replica

    def on_token_decision(self, ticket: int, granted: bool, retry_after_s: float, certain: bool) -> None:
        """Continue after the rate limit's decision; `certain` is False if no owner could be asked in time."""
        admission = self.by_ticket.get(ticket)
        if admission is None or admission.step is not AdmissionStep.TAKING_TOKEN:
            return
        request = admission.request
        if not certain and self.settings.limit_doubt == "serve":
            granted = True
        if granted and not request.leaves_record:
            self._settle(ticket, admission, AdmissionDecision.ADMIT)
        elif request.leaves_record and self.context.now >= admission.deadline:
            self._settle_unknown(ticket, admission)  # no time is left to read its session's records
        elif granted:
            admission.step = AdmissionStep.CLAIMING
            admission.record = self._new_record(request)
            self.context.replica.write(ticket, request.record_key, admission.record, admission.deadline)
        elif request.leaves_record:
            # A client that is told to retry takes that as proof that nothing ran.
            admission.step = AdmissionStep.CHECKING_REJECTION
            admission.retry_after_s = retry_after_s
            self.context.replica.read(ticket, request.record_key, admission.deadline)
        else:
            decision = AdmissionDecision.RATE_LIMITED if certain else AdmissionDecision.REJECT
            self._settle(ticket, admission, decision, retry_after_s or self._retry_after_s())

    def on_attempt_records(self, ticket: int, records: tuple[AttemptRecord, ...], certain: bool) -> None:
        """Decide from the session's attempt records; not `certain` if too few owners answered in time."""
        admission = self.by_ticket.get(ticket)
        if admission is None or admission.step not in (
            AdmissionStep.CLAIMING,
            AdmissionStep.CHECKING_REJECTION,
        ):
            return
        request = admission.request
        clients_mark = self.settings.clients_mark
        # A fenced program may be unable to read records that the owners sent.
        if not certain or self.context.is_fenced or self._may_repeat_forgotten(request, records):
            self._settle_unknown(ticket, admission)
            return
        wall_ms = int(self.context.wall * 1e3)
        clock_error_ms = int(self.settings.clock_ahead_s * 1e3)
        if admission.step is AdmissionStep.CLAIMING:
            decision, earlier_attempts = decide(request, records, wall_ms, clock_error_ms, clients_mark)
            self._settle(ticket, admission, decision, 0.0, earlier_attempts)
        elif may_reject(request, records, wall_ms, clock_error_ms, clients_mark):
            retry_after_s = admission.retry_after_s or self._retry_after_s()
            self._settle(ticket, admission, AdmissionDecision.RATE_LIMITED, retry_after_s)
        else:
            self._settle(ticket, admission, AdmissionDecision.FAIL)

    def _may_repeat_forgotten(self, request: AdmissionRequest, records: tuple[AttemptRecord, ...]) -> bool:
        clients_mark = self.settings.clients_mark
        return (
            self.context.is_warming_up
            and may_repeat(request, clients_mark)
            and not matching_attempts(request, records, clients_mark)
        )

    # Decisions

    def _settle_unknown(self, ticket: int, admission: PendingAdmission) -> None:
        self.context.increment(Metric.DECIDED_UNKNOWN)
        decision = self._decision_if_unknown(admission.request)
        self._settle(ticket, admission, decision, self._retry_after_s())

    def _decision_if_unknown(self, request: AdmissionRequest) -> AdmissionDecision:
        if not request.leaves_record:
            return AdmissionDecision.REJECT
        return decide_unknown(request, self.settings.on_doubt, self.settings.clients_mark)

    def _settle(
        self,
        ticket: int,
        admission: PendingAdmission,
        decision: AdmissionDecision,
        retry_after_s: float = 0.0,
        earlier_attempts: tuple[EarlierAttempt, ...] = (),
    ) -> None:
        self.undecided_count -= 1
        if decision is AdmissionDecision.ADMIT:
            admission.step = AdmissionStep.ADMITTED
        else:
            del self.by_ticket[ticket]
            if admission.record:
                # No attempt of this request was sent. Earlier requests have attempt records of their own.
                self._refine_record(admission, Certainty.NEVER_RAN)
        self._deliver(ticket, decision, retry_after_s, earlier_attempts)

    def _deliver(
        self,
        ticket: int,
        decision: AdmissionDecision,
        retry_after_s: float,
        earlier_attempts: tuple[EarlierAttempt, ...] = (),
    ) -> None:
        self.context.increment(decision.value)
        if decision in (AdmissionDecision.ADMIT, AdmissionDecision.FAIL):
            retry_after_s = 0.0
        self.context.effects.append(DeliverDecision(ticket, decision, retry_after_s, earlier_attempts))

    def _retry_after_s(self) -> float:
        return RETRY_AFTER_S * (1.0 + 0.5 * self.context.random.random())

    # Attempt records

    def _new_record(self, request: AdmissionRequest) -> AttemptRecord:
        self.record_count += 1
        now_ms = int(self.context.wall * 1e3)
        max_lifetime_s = self.settings.longest_mark_s
        is_deduplicated = request.repeat == Idempotency.DEDUPLICATED
        lifetime_s = request.window_s + request.limit_s if is_deduplicated else max_lifetime_s
        return AttemptRecord(
            attempt_id=f"{self.context.name}/{self.context.incarnation}/{self.record_count}",
            key=request.key,
            repeat=request.repeat,
            group=request.group,
            window_ms=int(request.window_s * 1e3),
            locations=(),
            certainty=int(Certainty.CLAIMED),
            sent_ms=now_ms,
            workload=request.workload,
            expires_ms=now_ms + int(1e3 * min(lifetime_s, max_lifetime_s)),
            unknown_fields={},
        )

    def _refine_record(
        self,
        admission: PendingAdmission,
        certainty: Certainty,
        locations: tuple[tuple[str, int], ...] | None = None,
    ) -> None:
        """Write the record with new knowledge, if there is any; certainty never decreases."""
        record = admission.record
        assert record is not None
        locations = record.locations if locations is None else locations
        admission.record = replace(
            record, certainty=max(record.certainty, int(certainty)), locations=locations
        )
        if admission.record != record:
            self.context.replica.update(admission.request.record_key, admission.record)
