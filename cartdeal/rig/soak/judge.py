"""Judges the rules from what clients and servers saw, and gathers what agents say of themselves.

All times are seconds of this process's monotonic clock, from the soak's begin.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

ANSWER_SLACK = 0.5  # seconds after its time up to which a late answer is not lost, but late
TOLD_SLACK = 0.15  # by which the time told to a server may exceed what the client has left
LEAVE_SLACK = 0.1  # after a client's close, in which an attempt may still begin
PLAY_SLACK = 0.25  # for the soak's own processes, which share the machine
TOLD_AT_LATEST = 6.0  # seconds after which a change of the list counts as told
REPEAT_WINDOW = 2.0  # seconds, of the class that servers of a zone know by its key
DRAIN_GRACE = 3.0  # seconds after that, in which requests may still reach a draining server


class Rule(StrEnum):
    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    CLIENT_GONE = "sent for a client that had gone"
    TIME_TOLD = "time told"
    FOREIGN = "answered with what no server made for it"
    CRASH = "crash"
    INVARIANT = "invariant"
    FAULT = "fault logged"


@dataclass
class Violation:
    rule: Rule
    at: float
    about: str
    detail: str


class Run(NamedTuple):
    """A server had a request whole."""

    at: float
    zone: str


@dataclass
class SoakRequest:
    """One that a client sent whole. `kind` is its class: read, mark or once."""

    id: str
    kind: str
    sent_at: float
    timeout: float
    agent: int
    answered_at: float | None = None
    status: int = 0
    left_at: float | None = None  # when its client closed
    ran: list[Run] = field(default_factory=list)
    excused: bool = False  # its agent was killed, or it was never read


class Judge:
    def __init__(self):
        self.violations: list[Violation] = []
        self.requests: dict[str, SoakRequest] = {}
        self.drained_at: dict[str, float] = {}  # by server: when the list said so
        self.late = 0

    def break_(self, rule: Rule, at: float, about: str, detail: str):
        self.violations.append(Violation(rule, at, about, detail))

    def sent(self, request: SoakRequest):
        self.requests[request.id] = request

    def answered(self, request: SoakRequest, at: float, status: int, body: bytes, held_up: bool):
        """`held_up`: whether its agent was stopped meanwhile, and could not answer in time."""
        request.answered_at, request.status = at, status
        if status == 200 and request.id.encode() not in body:
            self.break_(Rule.FOREIGN, at, request.id, repr(body[:60]))
        if held_up:
            return
        if at > request.sent_at + request.timeout + ANSWER_SLACK:
            self.break_(Rule.LOST, at, request.id, f"answered {at - request.sent_at:.2f} s after it was sent")
        elif at > request.sent_at + request.timeout + PLAY_SLACK:
            self.late += 1

    def unanswered(self, request: SoakRequest, at: float, how: str):
        if not request.excused:
            self.break_(Rule.LOST, at, request.id, f"{request.kind} at agent {request.agent}: {how}")

    def reached(
        self,
        server: str,
        zone: str,
        id: str,
        first_byte_at: float,
        at: float,
        told: float,
        held_back: bool,
    ):
        """A server has a request whole; `held_back`: whether the network may have kept it for long."""
        drained_at = self.drained_at.get(server)
        drained_for = first_byte_at - drained_at if drained_at is not None else 0.0
        if not held_back and drained_for > TOLD_AT_LATEST + DRAIN_GRACE + PLAY_SLACK:
            self.break_(Rule.DRAIN, at, id, f"{drained_for:.1f} s after {server} drained")
        request = self.requests.get(id)
        if request is None:
            return self.break_(Rule.FOREIGN, at, id, "no client sent it")
        request.ran.append(Run(at, zone))
        self.check_repeat(request, at, held_back)
        if held_back:
            return
        left = request.sent_at + request.timeout - first_byte_at
        if told > left + TOLD_SLACK + PLAY_SLACK:
            self.break_(Rule.TIME_TOLD, at, id, f"told {told:.2f} s where {left:.2f} s are left")
        if request.left_at is not None and first_byte_at > request.left_at + LEAVE_SLACK + PLAY_SLACK:
            late = first_byte_at - request.left_at
            self.break_(Rule.CLIENT_GONE, at, id, f"{late:.2f} s after its client closed")

    def check_repeat(self, request: SoakRequest, at: float, held_back: bool):
        """What ran once may run again only where its class allows it: in its zone, and within its window."""
        first, last = request.ran[0], request.ran[-1]
        if first is last or request.kind == "read":
            return
        if request.kind == "once":
            self.break_(Rule.DUPLICATE, at, request.id, f"ran {len(request.ran)} times")
        elif first.zone != last.zone:
            self.break_(Rule.DUPLICATE, at, request.id, f"ran in zones {first.zone} and {last.zone}")
        elif not held_back and last.at > first.at + REPEAT_WINDOW + PLAY_SLACK:
            self.break_(Rule.DUPLICATE, at, request.id, f"ran again {last.at - first.at:.2f} s after")

    def close(self, at: float):
        for request in self.requests.values():
            if request.answered_at is None and request.left_at is None:
                self.unanswered(request, at, "never answered")
