"""Checks the rules by what clients and servers observe, and collects what agents report in their logs.

All times are seconds of this process's monotonic clock since the start of the soak.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

ANSWER_SLACK_S = 0.5  # after a request's timeout; an answer by then is late, not lost
TIMEOUT_SLACK_S = 0.15  # by which the timeout given to a server may exceed the client's remaining time
CLIENT_CLOSE_SLACK_S = 0.1  # after a client's close; an attempt may still begin by then
SCHEDULING_SLACK_S = 0.25  # for delays of the soak's own processes, which share the machine
MAX_LIST_DELAY_S = 6.0  # after which every agent counts as informed of a change of the list
DEDUPLICATION_WINDOW_S = 2.0  # of the class `mark`, whose key the servers of a zone know
DRAIN_GRACE_S = 3.0  # after MAX_LIST_DELAY_S; requests may still reach a draining server by then


class Rule(StrEnum):
    """A rule that a violation breaks; the value is printed in reports."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    CLIENT_GONE = "sent for a client that had gone"
    TIMEOUT_TOO_LONG = "time told"
    FOREIGN_ANSWER = "answered with what no server made for it"
    CRASH = "crash"
    INVARIANT = "invariant"
    LOGGED_FAULT = "fault logged"


@dataclass
class Violation:
    """A rule that was broken at a time, by a request or an agent."""

    rule: Rule
    at: float
    subject: str
    detail: str


class Execution(NamedTuple):
    """A request that a server received whole."""

    at: float
    zone: str


@dataclass
class SoakRequest:
    """A request that a client sent. `request_class` is read, mark or once; `timeout` is in seconds."""

    id: str
    request_class: str
    sent_at: float
    timeout: float
    agent: int
    answered_at: float | None = None
    status: int = 0
    closed_at: float | None = None  # when the client closed the connection
    executions: list[Execution] = field(default_factory=list)
    is_excused: bool = False  # the agent was killed, or did not read the request


class RuleChecker:
    """Collects the requests of a soak and the violations of its rules."""

    def __init__(self):
        self.violations: list[Violation] = []
        self.requests: dict[str, SoakRequest] = {}
        self.drain_times: dict[str, float] = {}  # by server: when its drain was announced
        self.late_count = 0

    def add_violation(self, rule: Rule, at: float, subject: str, detail: str):
        """Records a violation; `subject` names the request or the agent."""
        self.violations.append(Violation(rule, at, subject, detail))

    def on_request_sent(self, request: SoakRequest):
        """Records a request that a client has written whole."""
        self.requests[request.id] = request

    def on_answer(self, request: SoakRequest, at: float, status: int, body: bytes, was_paused: bool):
        """Checks the answer to a request.

        `was_paused`: the agent was paused meanwhile and could not answer in time.
        """
        request.answered_at, request.status = at, status
        if status == 200 and request.id.encode() not in body:
            self.add_violation(Rule.FOREIGN_ANSWER, at, request.id, repr(body[:60]))
        if was_paused:
            return
        if at > request.sent_at + request.timeout + ANSWER_SLACK_S:
            self.add_violation(
                Rule.LOST, at, request.id, f"answered {at - request.sent_at:.2f} s after it was sent"
            )
        elif at > request.sent_at + request.timeout + SCHEDULING_SLACK_S:
            self.late_count += 1

    def on_no_answer(self, request: SoakRequest, at: float, detail: str):
        """Reports a request that got no answer, unless that is excused."""
        if not request.is_excused:
            self.add_violation(
                Rule.LOST, at, request.id, f"{request.request_class} at agent {request.agent}: {detail}"
            )

    def on_request_received(
        self,
        server: str,
        zone: str,
        id: str,
        first_byte_at: float,
        at: float,
        timeout: float,
        may_be_delayed: bool,
    ):
        """Checks a request that a server received whole.

        `timeout`: the seconds that the agent gave the server. `may_be_delayed`: the network may have held the
        request back for long.
        """
        drained_at = self.drain_times.get(server)
        drained_for = first_byte_at - drained_at if drained_at is not None else 0.0
        if not may_be_delayed and drained_for > MAX_LIST_DELAY_S + DRAIN_GRACE_S + SCHEDULING_SLACK_S:
            self.add_violation(Rule.DRAIN, at, id, f"{drained_for:.1f} s after {server} drained")
        request = self.requests.get(id)
        if request is None:
            return self.add_violation(Rule.FOREIGN_ANSWER, at, id, "no client sent it")
        request.executions.append(Execution(at, zone))
        self.check_repeat(request, at, may_be_delayed)
        if may_be_delayed:
            return
        remaining = request.sent_at + request.timeout - first_byte_at
        if timeout > remaining + TIMEOUT_SLACK_S + SCHEDULING_SLACK_S:
            self.add_violation(
                Rule.TIMEOUT_TOO_LONG, at, id, f"given {timeout:.2f} s with {remaining:.2f} s remaining"
            )
        if (
            request.closed_at is not None
            and first_byte_at > request.closed_at + CLIENT_CLOSE_SLACK_S + SCHEDULING_SLACK_S
        ):
            lateness = first_byte_at - request.closed_at
            self.add_violation(Rule.CLIENT_GONE, at, id, f"{lateness:.2f} s after its client closed")

    def check_repeat(self, request: SoakRequest, at: float, may_be_delayed: bool):
        """Checks that a request runs again only where its class allows it: in its zone and its window."""
        first, last = request.executions[0], request.executions[-1]
        if first is last or request.request_class == "read":
            return
        if request.request_class == "once":
            self.add_violation(Rule.DUPLICATE, at, request.id, f"ran {len(request.executions)} times")
        elif first.zone != last.zone:
            self.add_violation(Rule.DUPLICATE, at, request.id, f"ran in zones {first.zone} and {last.zone}")
        elif not may_be_delayed and last.at > first.at + DEDUPLICATION_WINDOW_S + SCHEDULING_SLACK_S:
            self.add_violation(Rule.DUPLICATE, at, request.id, f"ran again {last.at - first.at:.2f} s after")

    def check_unanswered(self, at: float):
        """Reports each request that has neither been answered nor been closed by its client."""
        for request in self.requests.values():
            if request.answered_at is None and request.closed_at is None:
                self.on_no_answer(request, at, "never answered")
