"""Checks a fleet's invariants from the network and the answers alone, never from what an agent thinks.

Pure bookkeeping: what was sent, what ran at servers, what was answered, when; and which program was started
or ended where. It must never ask a node for its opinion, except for the bytes of copies, which are compared
with each other.
"""

from collections.abc import Collection, Mapping

from msgspec import Struct

from cartdeal.fleet.replication import messages
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.simulation.agent_history import AgentHistory
from cartdeal.fleet.simulation.ring_agreement import CONSENSUS_TAG_PREFIX, RingAgreementChecker
from cartdeal.fleet.simulation.single_execution import Execution, SingleExecutionChecker
from cartdeal.fleet.simulation.tenant_limits import TenantLimitChecker
from cartdeal.fleet.simulation.write_quorum import WriteQuorumChecker, WrittenRecord

DECISION_SLACK_TICKS = 1.2  # an agent looks at its clock once a tick


class InvariantChecker:
    """One checker for each invariant, and the violations that they report."""

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.violations: list[str] = []
        self.history = AgentHistory(self.report)
        self.single_execution = SingleExecutionChecker(self.report)
        self.tenant_limits = TenantLimitChecker(settings, self.report)
        self.write_quorum = WriteQuorumChecker(settings, self.history, self.report)
        self.ring_agreement = RingAgreementChecker(settings, self.history, self.report)

    def report(self, violation: str) -> None:
        """Adds a violation."""
        self.violations.append(violation)

    # Clients and servers

    def client_came(self, intent: str, repeat: str, group: str, window_s: float) -> None:
        """A client wants one effect, however often it comes."""
        self.single_execution.client_came(intent, repeat, group, window_s)

    def attempt_executed(self, intent: str, at: float, zone: str, cell: int, agent: str) -> None:
        """An attempt reached a server."""
        self.single_execution.attempt_executed(intent, Execution(at, zone, cell, agent))

    def request_answered(self, intent: str, at: float, agent: str, answer: str) -> None:
        """A client got its answer."""
        self.single_execution.request_answered(intent, at, agent, answer)

    def decision_waited(self, agent: str, seconds: float) -> None:
        """A request waited for the fleet's decision."""
        if seconds > self.settings.wait_s + DECISION_SLACK_TICKS * self.settings.tick_s:
            self.report(f"{agent}: a request waited for {seconds:.3f} s")

    def request_admitted(self, tenant: str, at: float) -> None:
        """A request of a tenant goes on."""
        self.tenant_limits.request_admitted(tenant, at)

    def attempt_recorded(
        self, agent: str, at: float, record: str, key: str, own_copy: Collection[str]
    ) -> None:
        """A request that leaves an attempt record goes on; see WriteQuorumChecker."""
        ring = self.ring_agreement.ring_of(agent)
        self.write_quorum.attempt_recorded(agent, at, record, key, own_copy, ring)

    # Processes and the network

    def agent_started(self, agent: str, at: float, readable_versions: tuple[int, int]) -> None:
        """An agent's process was started."""
        self.history.agent_started(agent, at, readable_versions)

    def agent_died(self, agent: str, at: float) -> None:
        """An agent's process ended."""
        self.history.agent_died(agent, at)

    def recipient_unreachable(self, at: float) -> None:
        """A message met a cut, or an agent that was stopped."""
        self.write_quorum.recipient_unreachable(at)

    def message_sent(self, at: float, sender: str, incarnation: int, recipient: str, message: Struct) -> None:
        """A message was sent, whether or not it arrives."""
        self.history.check_incarnation(sender, incarnation)
        if isinstance(message, messages.WriteRequest):
            self.write_quorum.write_requested(sender, message)
        elif isinstance(message, messages.WriteResponse):
            self.write_quorum.write_answered(sender, recipient, message)
        elif str(type(message).__struct_config__.tag).startswith(CONSENSUS_TAG_PREFIX):
            self.ring_agreement.message_sent(at, sender, recipient, message)

    # Results

    @property
    def executions(self) -> dict[str, list[Execution]]:
        """The attempts that reached servers, by intent."""
        return self.single_execution.executions

    @property
    def admission_times(self) -> dict[str, list[float]]:
        """When requests of limited tenants were admitted, by tenant."""
        return self.tenant_limits.admission_times

    @property
    def attempt_records(self) -> dict[tuple[str, str], WrittenRecord]:
        """The attempt records of requests that went on, by record and attempt."""
        return self.write_quorum.attempt_records

    def excess(self, tenant: str) -> float:
        """The most tokens by which the tenant was served over its limit, in any time. At most 0 is right."""
        return self.tenant_limits.excess(tenant, self.ring_agreement.governing_versions())

    def count_lost_records(
        self, attempt_ids: Mapping[str, Mapping[str, Collection[str]]], now: float, wall_ms: float
    ) -> int:
        """Counts attempt records that have not expired and that no agent has; see WriteQuorumChecker."""
        return self.write_quorum.count_lost_records(attempt_ids, now, wall_ms)

    def check_equal(self, copies: Mapping[str, bytes], subject: str) -> None:
        """Checks that copies have converged. `copies`: by agent."""
        if len(set(copies.values())) > 1:
            digests = ", ".join(f"{name} {value.hex()[:8]}" for name, value in sorted(copies.items()))
            self.report(f"{subject}: copies differ: {digests}")

    def close(self) -> list[str]:
        """Checks what can be told only when the simulation is over; returns all violations."""
        self.tenant_limits.check(self.ring_agreement.governing_versions())
        return self.violations
