"""When agents of a simulated fleet were started and died; each start has an incarnation of its own."""

from collections import defaultdict
from collections.abc import Callable

CATCH_UP_S = 6.0  # in which an agent that comes back gets its copies again


class AgentHistory:
    """Starts and deaths of processes. Invariant: no two starts of an agent use the same incarnation."""

    def __init__(self, report: Callable[[str], None]):
        self.report = report
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.deaths: list[tuple[float, str]] = []  # (simulated seconds, agent)
        self.readable_versions: dict[str, tuple[int, int]] = {}  # agent -> (lowest, highest) of its program
        self.start_of_incarnation: dict[
            tuple[str, int], int
        ] = {}  # (agent, incarnation) -> number of the start

    def agent_started(self, agent: str, at: float, readable_versions: tuple[int, int]) -> None:
        """Takes in that an agent's process was started."""
        self.starts[agent].append(at)
        self.readable_versions[agent] = readable_versions

    def agent_died(self, agent: str, at: float) -> None:
        """Takes in that an agent's process ended."""
        self.deaths.append((at, agent))

    def check_incarnation(self, agent: str, incarnation: int) -> None:
        """Checks the incarnation by which an agent sends a message."""
        start = len(self.starts[agent])
        if self.start_of_incarnation.setdefault((agent, incarnation), start) != start:
            self.report(f"{agent}: incarnation {incarnation} given out twice")
            self.start_of_incarnation[agent, incarnation] = start

    def died_since(self, agent: str, since: float) -> bool:
        """Whether the agent's process has ended at `since` or later."""
        return any(name == agent and at >= since for at, name in self.deaths)

    def max_down_at_once(self, since: float, until: float) -> int:
        """The most agents that were down at one time; each counts for CATCH_UP_S after it came back."""
        outages = []
        for at, agent in self.deaths:
            end = next((start for start in self.starts[agent] if start >= at), until) + CATCH_UP_S
            if end >= since:
                outages.append((max(at, since), end, agent))
        return max(
            (len({agent for begin, end, agent in outages if begin <= at <= end}) for at, _, _ in outages),
            default=0,
        )
