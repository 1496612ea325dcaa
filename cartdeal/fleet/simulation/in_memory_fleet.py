"""The in-memory fleet: the same nodes as in processes, with a simulated clock and a simulated network.

It must change a node by its events alone, and never pass a node's state to the checker.
"""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from typing import Any

from msgspec.structs import replace

from cartdeal.fleet.events import LogEvent
from cartdeal.fleet.idempotency import AdmissionRequest
from cartdeal.fleet.node import Node
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.simulation.clients import SimulatedClients, attempt_ids
from cartdeal.fleet.simulation.host import SimulatedHost
from cartdeal.fleet.simulation.invariant_checker import InvariantChecker
from cartdeal.fleet.simulation.network import NetworkConditions, SimulatedNetwork
from cartdeal.simulated_time import SimulatedClock, seeded_random

HANDOFF_S = 1.0  # from SIGTERM to when an agent announces that it leaves
SHUTDOWN_NOTICE_S = 0.1  # from the announcement to the end of the process
NETWORK_RANDOM = "weather"  # seeds the network's random draws: another text would give other draws


class InMemoryFleet:
    """A fleet of simulated hosts. All agents have `settings`, with their own name, zone and capacity."""

    def __init__(self, settings: FleetSettings, seed: int, conditions: NetworkConditions | None = None):
        self.settings = settings
        self.seed = seed
        self.clock = SimulatedClock()
        self.random = seeded_random(seed, "fleet")
        self.checker = InvariantChecker(settings)
        self.hosts: dict[str, SimulatedHost] = {}
        # agent -> the function that creates its node, if it is not Node
        self.node_factories: dict[str, Callable[..., Node]] = {}
        self.network = SimulatedNetwork(
            self.clock,
            self.hosts,
            self.checker,
            seeded_random(seed, NETWORK_RANDOM),
            conditions or NetworkConditions(),
        )
        self.clients = SimulatedClients(self.clock, self.hosts, self.checker, self.random)
        self.events: list[tuple[float, str, LogEvent]] = []  # (simulated seconds, agent, event)
        self.event_counts: Counter[str] = Counter()

    # Agents

    def add(self, name: str, zone: str = "", start: bool = True, **changes: Any) -> SimulatedHost:
        """Adds a host; `changes` are the fields of its FleetSettings that differ from the fleet's."""
        address = f"10.0.0.1:{len(self.hosts) + 1}"
        settings = replace(self.settings, name=name, address=address, zone=zone, **changes)
        self.hosts[name] = host = SimulatedHost(self, settings)
        if start:
            host.start()
        return host

    def kill(self, name: str) -> None:
        """Ends an agent as SIGKILL does."""
        self.hosts[name].kill()

    def start(self, name: str, **changes: Any) -> None:
        """Starts an agent that is down, with `changes` to its settings."""
        host = self.hosts[name]
        host.settings = replace(host.settings, **changes)
        host.start()

    def leave(self, name: str) -> None:
        """Shuts an agent down as SIGTERM does: it hands over its records, says that it leaves, and ends."""
        host = self.hosts[name]
        node = host.node
        assert node is not None
        host.dispatch(node.begin_shutdown)
        self.clock.after(HANDOFF_S, self._finish_shutdown, host, node)

    def _finish_shutdown(self, host: SimulatedHost, node: Node) -> None:
        if host.node is node:
            host.dispatch(node.finish_shutdown)
            self.clock.after(SHUTDOWN_NOTICE_S, self._kill_if_same, host, node)

    def stop(self, name: str, seconds: float) -> None:
        """Stops an agent as SIGSTOP does, and resumes it after `seconds` as SIGCONT does."""
        host = self.hosts[name]
        host.stop()
        self.clock.after(seconds, self._resume_if_same, host, host.node)

    def _kill_if_same(self, host: SimulatedHost, node: Node) -> None:
        if host.node is node:
            host.kill()

    def _resume_if_same(self, host: SimulatedHost, node: Node | None) -> None:
        if host.node is node:
            host.resume()

    def set_capacity(self, name: str, capacity: float) -> None:
        """Changes an agent's capacity while it runs."""
        host = self.hosts[name]
        host.settings = replace(host.settings, capacity=capacity)
        node = host.node
        if node:
            host.dispatch(lambda: node.membership.update_self(capacity=capacity))

    def record_event(self, agent: str, event: LogEvent) -> None:
        """Keeps an event that an agent logged."""
        self.events.append((self.clock.now, agent, event))
        self.event_counts[event.MESSAGE] += 1

    # The network

    @property
    def conditions(self) -> NetworkConditions:
        """The faults and delays of the network."""
        return self.network.conditions

    @conditions.setter
    def conditions(self, conditions: NetworkConditions) -> None:
        """Replaces the network's conditions from now on."""
        self.network.conditions = conditions

    def cut(self, *sides: Collection[str]) -> None:
        """Cuts the sides off from each other, in both directions."""
        self.network.cut(*sides)

    def cut_inbound(self, senders: Collection[str], recipients: Collection[str]) -> None:
        """Cuts one direction: nothing from `senders` reaches `recipients`."""
        self.network.cut_inbound(senders, recipients)

    def heal(self) -> None:
        """Ends all cuts."""
        self.network.heal()

    # Clients

    @property
    def outcomes(self) -> dict[str, list[str]]:
        """The outcome of each try of a client, by intent."""
        return self.clients.outcomes

    def submit(
        self,
        request: AdmissionRequest,
        agents: Sequence[str],
        tries: int = 1,
        work_s: float = 0.05,
        patience_s: float = 1.0,
    ) -> str:
        """Sends a client's request to the first of the agents, and its retries to the next ones.

        Returns:
            The client's intent.
        """
        return self.clients.submit(request, agents, tries, work_s, patience_s)

    def submit_retry(
        self,
        intent: str,
        request: AdmissionRequest,
        agent: str,
        work_s: float = 0.05,
        patience_s: float = 1.0,
    ) -> None:
        """Retries the request of an earlier client at another agent."""
        self.clients.submit_retry(intent, request, agent, work_s, patience_s)

    # Time

    def run(self, seconds: float) -> "InMemoryFleet":
        """Advances simulated time by `seconds`."""
        self.clock.run(self.clock.now + seconds)
        return self

    def run_until(self, condition: Callable[[], bool], max_duration_s: float, step_s: float = 0.1) -> float:
        """Runs until `condition()` holds; returns the simulated seconds, inf above `max_duration_s`."""
        started_at = self.clock.now
        while self.clock.now < started_at + max_duration_s:
            if condition():
                return self.clock.now - started_at
            self.run(step_s)
        return float("inf")

    # Queries for tests

    def nodes(self) -> dict[str, Node]:
        """The nodes of the running agents, by name."""
        return {name: host.node for name, host in self.hosts.items() if host.node and not host.is_stopped}

    def has_one_ring(self) -> bool:
        """Whether all running agents use the same ring."""
        rings = {
            node.ring and (node.ring.epoch, node.ring.members, node.ring.written_version, node.ring.phase)
            for node in self.nodes().values()
        }
        return len(rings) == 1 and None not in rings

    def attempt_ids_by_agent(self) -> dict[str, dict[str, tuple[str, ...]]]:
        """The identifiers of attempt records, by running agent and by session that it stores."""
        return {
            name: {
                key: attempt_ids(node, key)
                for key in sorted(node.replica.store.records)
                if key.startswith("s/")
            }
            for name, node in self.nodes().items()
        }

    def count_lost_records(self) -> int:
        """Counts attempt records that no agent has any more, though they have expired by no agent's clock."""
        wall = max((node.wall for node in self.nodes().values()), default=0.0)
        return self.checker.count_lost_records(self.attempt_ids_by_agent(), self.clock.now, wall * 1e3)

    def replicas_agree(self) -> bool:
        """Whether each two agents have the same bytes of the records that both own."""
        nodes = self.nodes()
        return all(
            node.replica.owned_digest(other_name) == other.replica.owned_digest(name)
            for name, node in nodes.items()
            for other_name, other in nodes.items()
            if other_name < name
        )
