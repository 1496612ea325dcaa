"""Simulated clients: each wants one operation.

A client retries at another agent when its agent ends or rejects the request.

It also simulates the balancer and the servers behind an agent: one attempt for each admitted request.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from msgspec.structs import replace

from cartdeal.fleet.effects import DeliverDecision
from cartdeal.fleet.idempotency import AdmissionDecision, AdmissionRequest, EarlierAttempt, RanOutcome
from cartdeal.fleet.node import Node
from cartdeal.fleet.replication.records import Session
from cartdeal.fleet.simulation.invariant_checker import InvariantChecker
from cartdeal.simulated_time import SimulatedClock

if TYPE_CHECKING:
    from cartdeal.fleet.simulation.host import SimulatedHost

CELL_COUNT_PER_ZONE = 2  # cells in which servers run
RETRY_DELAY_S = 0.05  # after which a disconnected client retries
MIN_RETRY_DELAY_S = 0.01  # after which a rejected client retries, at least
# Outcomes of a request; the others are the values of AdmissionDecision.
DISCONNECTED = "broke off"
COMPLETED = "completed"


class Client(NamedTuple):
    """A client that wants one operation, and sends its tries to `agents` in turn."""

    intent: str  # identifies the operation, the same for all tries
    request: AdmissionRequest
    max_tries: int
    agents: tuple[str, ...]
    work_s: float  # how long a server works on the request
    patience_s: float  # how long the client waits for its answer


class PendingRequest(NamedTuple):
    """A client's request at an agent; `tries_before` is the number of the client's earlier tries."""

    client: Client
    tries_before: int


class SimulatedClients:
    """All clients of a fleet, and the outcomes of their requests."""

    def __init__(
        self,
        clock: SimulatedClock,
        hosts: dict[str, SimulatedHost],
        checker: InvariantChecker,
        random: Random,
    ):
        self.clock = clock
        self.hosts = hosts
        self.checker = checker
        self.random = random
        self.submitted = 0
        self.outcomes: dict[str, list[str]] = {}  # intent -> the outcome of each try
        self.decision_waits_s: list[float] = []

    def submit(
        self,
        request: AdmissionRequest,
        agents: Sequence[str],
        max_tries: int = 1,
        work_s: float = 0.05,
        patience_s: float = 1.0,
    ) -> str:
        """Sends a client's request to the first of the agents, and its retries to the next ones.

        Returns:
            The client's intent.
        """
        self.submitted += 1
        intent = f"i{self.submitted}"
        self.outcomes[intent] = []
        self.checker.on_intent(intent, request.repeat, request.group, request.window_s)
        client = Client(intent, request, max_tries, tuple(agents), work_s, patience_s)
        self._send_request(PendingRequest(client, 0))
        return intent

    def submit_retry(
        self, intent: str, request: AdmissionRequest, agent: str, work_s: float, patience_s: float
    ) -> None:
        """Retries the request of an earlier client at another agent."""
        # The earlier client's try counts as the first of two.
        client = Client(intent, request, 2, (agent, agent), work_s, patience_s)
        self._send_request(PendingRequest(client, 1))

    def on_decision(self, host: SimulatedHost, effect: DeliverDecision) -> None:
        """Carries out the fleet's decision on a request: sends its attempt, or answers its client."""
        ticket, decision, node = effect.ticket, effect.decision, host.node
        assert node is not None
        name = host.settings.name
        if ticket in host.undecided_since:
            wait_s = self.clock.now - host.undecided_since.pop(ticket)
            self.decision_waits_s.append(wait_s)
            self.checker.on_decision(name, wait_s)
        pending = host.requests.get(ticket)
        if pending is None:
            # The client has disconnected: an admitted request ends without an attempt.
            if decision is AdmissionDecision.ADMIT:
                node.on_request_ended(ticket, RanOutcome.NEVER)
                self.clock.after(0.0, self._flush_effects, host, node)
            return
        client = pending.client
        if decision is AdmissionDecision.ADMIT:
            self._check_admission(host, node, client.request)
            self.clock.after(0.0, self._send_attempt, host, node, ticket, effect.earlier_attempts)
            return
        del host.requests[ticket]
        self.checker.on_answer(client.intent, self.clock.now, name, decision.value)
        self.outcomes[client.intent].append(decision.value)
        if decision is not AdmissionDecision.FAIL:
            self._retry(pending, max(MIN_RETRY_DELAY_S, effect.retry_after_s))

    def disconnect(self, request: PendingRequest) -> None:
        """Ends a client's connection; the client retries if it has tries left."""
        self.outcomes[request.client.intent].append(DISCONNECTED)
        self._retry(request, RETRY_DELAY_S)

    def _send_request(self, pending: PendingRequest) -> None:
        client, tries_before = pending
        host = self.hosts[client.agents[tries_before % len(client.agents)]]
        node = host.node
        if node is None:
            self.disconnect(pending)
            return
        host.last_ticket += 1
        ticket = host.last_ticket
        host.requests[ticket] = pending
        request = replace(client.request, retried=True) if tries_before else client.request
        self.clock.after(client.patience_s, self._time_out, host, node, ticket)
        if not host.is_stopped:
            host.undecided_since[ticket] = self.clock.now
        host.dispatch(node.request_admission, ticket, request)

    def _retry(self, pending: PendingRequest, delay_s: float) -> None:
        client, tries = pending.client, pending.tries_before + 1
        if tries < client.max_tries:
            self.clock.after(delay_s, self._send_request, PendingRequest(client, tries))

    def _time_out(self, host: SimulatedHost, node: Node, ticket: int) -> None:
        pending = host.requests.pop(ticket, None) if host.node is node else None
        if pending:
            self.disconnect(pending)

    def _check_admission(self, host: SimulatedHost, node: Node, request: AdmissionRequest) -> None:
        name = host.settings.name
        self.checker.on_request_admitted(request.tenant, self.clock.now)
        if request.leaves_record:
            key = f"s/{request.session}"
            self.checker.on_attempt_recorded(name, self.clock.now, key, request.key, attempt_ids(node, key))

    def _flush_effects(self, host: SimulatedHost, node: Node) -> None:
        if host.node is node:
            host.apply_effects(node)

    def _send_attempt(
        self, host: SimulatedHost, node: Node, ticket: int, earlier_attempts: Sequence[EarlierAttempt]
    ) -> None:
        """Sends one attempt, as the balancer would, if the earlier attempts allow it."""
        pending = host.requests.get(ticket) if host.node is node else None
        if pending is None:
            return
        intent = pending.client.intent
        zone, cell = host.settings.zone, self.random.randrange(CELL_COUNT_PER_ZONE)
        for earlier in earlier_attempts:
            if earlier.group == "zone":
                zone = earlier.zone
            elif earlier.group == "cell":
                zone, cell = earlier.zone, earlier.cell
        allowed = all(_is_allowed(earlier, zone, cell, node.wall * 1e3) for earlier in earlier_attempts)
        if not allowed or host.is_stopped:
            host.requests.pop(ticket)
            host.dispatch(node.on_request_ended, ticket, RanOutcome.NEVER)
            self.outcomes[intent].append(AdmissionDecision.FAIL.value)
            return
        host.dispatch(node.on_attempt_sent, ticket, zone, cell)
        self.checker.on_attempt_executed(intent, self.clock.now, zone, cell, host.settings.name)
        self.clock.after(pending.client.work_s, self._complete, host, node, ticket)

    def _complete(self, host: SimulatedHost, node: Node, ticket: int) -> None:
        if host.node is not node:
            return
        pending = host.requests.pop(ticket, None)
        if pending is None:
            host.dispatch(node.on_request_ended, ticket, RanOutcome.MAYBE)
            return
        intent = pending.client.intent
        host.dispatch(node.on_request_ended, ticket, RanOutcome.ANSWERED)
        self.checker.on_answer(intent, self.clock.now, host.settings.name, COMPLETED)
        self.outcomes[intent].append(COMPLETED)


def attempt_ids(node: Node, key: str) -> tuple[str, ...]:
    """The identifiers of the attempt records that the node has of a session."""
    record = node.replica.store.get(key)
    return tuple(record.attempts) if isinstance(record, Session) else ()


def _is_allowed(earlier: EarlierAttempt, zone: str, cell: int, wall_ms: float) -> bool:
    """Whether an earlier attempt allows another attempt in the zone and cell."""
    same_zone = zone == earlier.zone
    same_group = earlier.group == "all" or (same_zone and (earlier.group == "zone" or cell == earlier.cell))
    return same_group and wall_ms <= earlier.until_ms
