"""When the agents of a simulated fleet started and ended; each start has its own incarnation."""

from collections import defaultdict
from collections.abc import Callable

CATCH_UP_S = 6.0  # in which a restarted agent gets its copies again


class AgentHistory:
    """Starts and ends of processes. Invariant: no two starts of an agent use the same incarnation."""

    def __init__(self, report: Callable[[str], None]):
        self.report = report
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.ends: list[tuple[float, str]] = []  # (simulated seconds, agent)
        self.readable_versions: dict[str, tuple[int, int]] = {}  # agent -> (lowest, highest) of its program
        # (agent, incarnation) -> number of the start
        self.start_of_incarnation: dict[tuple[str, int], int] = {}

    def on_agent_started(self, agent: str, at: float, readable_versions: tuple[int, int]) -> None:
        """Records the start of an agent's process."""
        self.starts[agent].append(at)
        self.readable_versions[agent] = readable_versions

    def on_agent_ended(self, agent: str, at: float) -> None:
        """Records the end of an agent's process."""
        self.ends.append((at, agent))

    def check_incarnation(self, agent: str, incarnation: int) -> None:
        """Checks the incarnation under which an agent sends a message."""
        start = len(self.starts[agent])
        if self.start_of_incarnation.setdefault((agent, incarnation), start) != start:
            self.report(f"{agent}: incarnation {incarnation} is used twice")
            self.start_of_incarnation[agent, incarnation] = start

    def has_ended_since(self, agent: str, since: float) -> bool:
        """Whether the agent's process has ended at `since` or later."""
        return any(name == agent and at >= since for at, name in self.ends)

    def max_simultaneous_outages(self, since: float, until: float) -> int:
        """The largest number of agents down at one time; a restarted one counts as down for CATCH_UP_S."""
        outages = []
        for at, agent in self.ends:
            end = next((start for start in self.starts[agent] if start >= at), until) + CATCH_UP_S
            if end >= since:
                outages.append((max(at, since), end, agent))
        return max(
            (len({agent for begin, end, agent in outages if begin <= at <= end}) for at, _, _ in outages),
            default=0,
        )
