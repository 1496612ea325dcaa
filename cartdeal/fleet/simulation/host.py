"""A simulated host: the process, the clocks and the sockets of one agent.

It must change a node by its events alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from cartdeal.fleet.effects import DeliverDecision, SendMessage
from cartdeal.fleet.node import Node
from cartdeal.fleet.settings import FleetSettings

if TYPE_CHECKING:
    from cartdeal.fleet.simulation.clients import PendingRequest
    from cartdeal.fleet.simulation.in_memory_fleet import InMemoryFleet

MAX_HELD_EVENTS = 2_000  # that the sockets of a stopped agent buffer; further ones are lost
MONOTONIC_START_S = 1000.0  # reading of a host's monotonic clock when its agent starts
# Reading of all wall clocks at the simulation's start, without their offsets.
WALL_START_S = 1_700_000_000.0


class HeldEvent(NamedTuple):
    """An event for a stopped agent, buffered in its sockets."""

    handler: Callable[..., object]
    args: tuple[object, ...]


class SimulatedHost:
    """The host of one agent. `node` is None while its process is down."""

    def __init__(self, fleet: InMemoryFleet, settings: FleetSettings):
        self.fleet = fleet
        self.settings = settings
        self.node: Node | None = None
        self.start_count = 0
        self.is_stopped = False
        self.held_events: list[HeldEvent] = []
        self.clock_rate = 1.0  # seconds of the monotonic clock per simulated second
        self.wall_offset_s = 0.0
        self.started_at = 0.0
        self.requests: dict[int, PendingRequest] = {}  # ticket -> a request whose client is still connected
        self.undecided_since: dict[int, float] = {}  # ticket -> when the fleet's decision was requested
        self.last_ticket = 0

    @property
    def is_running(self) -> bool:
        """Whether the agent's process is up and not stopped."""
        return self.node is not None and not self.is_stopped

    def start(self) -> None:
        """Starts the agent's process without any earlier state."""
        fleet = self.fleet
        self.start_count += 1
        self.is_stopped = False
        self.started_at = fleet.clock.now
        self.held_events = []
        self.requests = {}
        fleet.checker.on_agent_started(self.settings.name, fleet.clock.now, self.settings.reads)
        create_node = fleet.node_factories.get(self.settings.name, Node)
        seed = f"{fleet.seed}/{self.start_count}"
        self.node = create_node(self.settings, seed, MONOTONIC_START_S, self._wall_clock())
        self.apply_effects(self.node)
        self._tick(self.node)

    def kill(self) -> None:
        """Ends the process at once; the connections of its clients break."""
        if self.node is None:
            return
        self.fleet.checker.on_agent_ended(self.settings.name, self.fleet.clock.now)
        self.node = None
        self.is_stopped = False
        self.held_events = []
        self.undecided_since = {}
        for request in list(self.requests.values()):
            self.fleet.clients.disconnect(request)
        self.requests = {}

    def stop(self) -> None:
        """Stops the process as SIGSTOP does: its sockets buffer the events."""
        self.is_stopped = True
        self.undecided_since = {}

    def resume(self) -> None:
        """Continues a stopped process as SIGCONT does; it handles the buffered events first."""
        self.is_stopped = False
        held_events, self.held_events = self.held_events, []
        if self.node:
            for event in held_events:
                self.dispatch(event.handler, *event.args)
            self._tick(self.node, reschedule=False)

    def dispatch(self, handler: Callable[..., object], *args: object) -> None:
        """Has the node handle one event, and applies its effects; a stopped node handles it when resumed."""
        node = self.node
        if node is None:
            return
        if self.is_stopped:
            if len(self.held_events) < MAX_HELD_EVENTS:
                self.held_events.append(HeldEvent(handler, args))
            return
        self._set_clocks(node)
        handler(*args)
        self.apply_effects(node)

    def apply_effects(self, node: Node) -> None:
        """Carries out the node's effects: messages, decisions, log events."""
        effects, node.effects = node.effects, []
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.fleet.network.send(self, node, effect)
            elif isinstance(effect, DeliverDecision):
                self.fleet.clients.on_decision(self, effect)
            else:
                self.fleet.record_event(self.settings.name, effect.event)

    def _wall_clock(self) -> float:
        return WALL_START_S + self.fleet.clock.now + self.wall_offset_s

    def _set_clocks(self, node: Node) -> None:
        uptime_s = self.fleet.clock.now - self.started_at
        node.now = max(node.now, MONOTONIC_START_S + uptime_s * self.clock_rate)
        node.wall = self._wall_clock()

    def _tick(self, node: Node, reschedule: bool = True) -> None:
        if self.node is not node:
            return
        if not self.is_stopped:
            self.dispatch(node.tick)
        if reschedule:
            jitter = 0.9 + 0.2 * self.fleet.random.random()
            self.fleet.clock.after(self.settings.tick_s * jitter / self.clock_rate, self._tick, node)
