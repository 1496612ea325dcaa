"""The invariant of single execution: no effect happens twice, nor is a client told to cause it again."""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from cartdeal.fleet.idempotency import AdmissionDecision

TIME_TOLERANCE_S = 1e-6  # for the rounding of sums of times
RETRYABLE_ANSWERS = (AdmissionDecision.REJECT.value, AdmissionDecision.RATE_LIMITED.value)


class Execution(NamedTuple):
    """An attempt that reached a server, which may have acted on it."""

    at: float
    zone: str
    cell: int
    agent: str


class Intent(NamedTuple):
    """The effect that a client wants. `repeat`: "i" idempotent, "d" deduplicated, "u" neither."""

    repeat: str
    group: str  # servers among which repeats are dropped: "all", of the same "zone", of the same "cell"
    window_s: float  # for how long repeats are dropped


class SingleExecutionChecker:
    """Checks each attempt and each answer against the earlier attempts for the same effect."""

    def __init__(self, report: Callable[[str], None]):
        self.report = report
        self.intents: dict[str, Intent] = {}
        self.executions: dict[str, list[Execution]] = defaultdict(list)  # by intent

    def client_came(self, intent: str, repeat: str, group: str, window_s: float) -> None:
        """Takes in that a client wants one effect, however often it comes."""
        self.intents[intent] = Intent(repeat, group, window_s)

    def attempt_executed(self, intent: str, execution: Execution) -> None:
        """Checks an attempt that reached a server."""
        wanted, earlier_executions = self.intents[intent], self.executions[intent]
        if wanted.repeat != "i":
            for earlier in earlier_executions:
                self._check_pair(intent, wanted, earlier, execution)
        earlier_executions.append(execution)

    def _check_pair(self, intent: str, wanted: Intent, earlier: Execution, later: Execution) -> None:
        apart_s = later.at - earlier.at
        where = f"ran {apart_s:.3f} s apart at {earlier.agent} and {later.agent}"
        if wanted.repeat == "u":
            self.report(f"{intent}: non-idempotent, {where}")
            return
        same_cell = wanted.group == "zone" or earlier.cell == later.cell
        same_group = wanted.group == "all" or (earlier.zone == later.zone and same_cell)
        if apart_s > wanted.window_s + TIME_TOLERANCE_S or not same_group:
            locations = f"{earlier.zone}/{earlier.cell} and {later.zone}/{later.cell}"
            self.report(f"{intent}: deduplicated, {where}, {locations}")

    def request_answered(self, intent: str, at: float, agent: str, answer: str) -> None:
        """Checks an answer by which a client may come again."""
        if answer not in RETRYABLE_ANSWERS:
            return
        wanted = self.intents[intent]
        for earlier in self.executions[intent]:
            apart_s = at - earlier.at
            in_window = wanted.group == "all" and apart_s <= wanted.window_s + TIME_TOLERANCE_S
            if wanted.repeat == "u" or (wanted.repeat == "d" and not in_window):
                self.report(f"{intent}: rejected at {agent}, {apart_s:.3f} s after it ran")
