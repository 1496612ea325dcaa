"""The invariant of single execution: no effect happens twice, and no answer invites a client to repeat it."""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from cartdeal.fleet.idempotency import AdmissionDecision

TIME_TOLERANCE_S = 1e-6  # for rounding errors of sums of times
RETRYABLE_ANSWERS = (AdmissionDecision.REJECT.value, AdmissionDecision.RATE_LIMITED.value)


class Execution(NamedTuple):
    """An attempt that reached a server, which may have acted on it."""

    at: float
    zone: str
    cell: int
    agent: str


class Intent(NamedTuple):
    """The effect that a client wants. `repeat` is "i" idempotent, "d" deduplicated, or "u" non-idempotent."""

    repeat: str
    group: str  # servers that drop repeats: "all", those of the same "zone", or of the same "cell"
    window_s: float  # seconds in which they drop repeats


class SingleExecutionChecker:
    """Checks each attempt and each answer against the earlier attempts for the same effect."""

    def __init__(self, report: Callable[[str], None]):
        self.report = report
        self.intents: dict[str, Intent] = {}
        self.executions: dict[str, list[Execution]] = defaultdict(list)  # by intent

    def on_intent(self, intent: str, repeat: str, group: str, window_s: float) -> None:
        """Records that a client wants one effect, however often it retries."""
        self.intents[intent] = Intent(repeat, group, window_s)

    def on_attempt_executed(self, intent: str, execution: Execution) -> None:
        """Checks an attempt that reached a server."""
        intent_details, earlier_executions = self.intents[intent], self.executions[intent]
        if intent_details.repeat != "i":
            for earlier in earlier_executions:
                self._check_pair(intent, intent_details, earlier, execution)
        earlier_executions.append(execution)

    def _check_pair(self, intent: str, intent_details: Intent, earlier: Execution, later: Execution) -> None:
        apart_s = later.at - earlier.at
        where = f"ran {apart_s:.3f} s apart at {earlier.agent} and {later.agent}"
        if intent_details.repeat == "u":
            self.report(f"{intent}: non-idempotent, {where}")
            return
        same_cell = intent_details.group == "zone" or earlier.cell == later.cell
        same_group = intent_details.group == "all" or (earlier.zone == later.zone and same_cell)
        if apart_s > intent_details.window_s + TIME_TOLERANCE_S or not same_group:
            locations = f"{earlier.zone}/{earlier.cell} and {later.zone}/{later.cell}"
            self.report(f"{intent}: deduplicated, {where}, {locations}")

    def on_answer(self, intent: str, at: float, agent: str, answer: str) -> None:
        """Checks an answer after which the client may retry."""
        if answer not in RETRYABLE_ANSWERS:
            return
        intent_details = self.intents[intent]
        for earlier in self.executions[intent]:
            apart_s = at - earlier.at
            in_window = (
                intent_details.group == "all" and apart_s <= intent_details.window_s + TIME_TOLERANCE_S
            )
            if intent_details.repeat == "u" or (intent_details.repeat == "d" and not in_window):
                self.report(f"{intent}: rejected at {agent}, {apart_s:.3f} s after it ran")
