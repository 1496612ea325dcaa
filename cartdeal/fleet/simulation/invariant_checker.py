"""Checks a fleet's invariants from the network and the answers alone, never from an agent's state.

It records messages, attempts at servers, answers, and starts and ends of processes, with their times. It must
never read a node's state, except for the bytes of copies, which are compared with each other.
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

DECISION_SLACK_TICKS = 1.2  # an agent checks its timers once per tick, so a decision may be late


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

    def on_intent(self, intent: str, repeat: str, group: str, window_s: float) -> None:
        """Records that a client wants one effect, however often it retries."""
        self.single_execution.on_intent(intent, repeat, group, window_s)

    def on_attempt_executed(self, intent: str, at: float, zone: str, cell: int, agent: str) -> None:
        """Checks an attempt that reached a server."""
        self.single_execution.on_attempt_executed(intent, Execution(at, zone, cell, agent))

    def on_answer(self, intent: str, at: float, agent: str, answer: str) -> None:
        """Checks a client's answer."""
        self.single_execution.on_answer(intent, at, agent, answer)

    def on_decision(self, agent: str, seconds: float) -> None:
        """Checks how many seconds a request waited for the fleet's decision."""
        if seconds > self.settings.wait_s + DECISION_SLACK_TICKS * self.settings.tick_s:
            self.report(f"{agent}: a request waited for {seconds:.3f} s")

    def on_request_admitted(self, tenant: str, at: float) -> None:
        """Records that a tenant's request was admitted."""
        self.tenant_limits.on_request_admitted(tenant, at)

    def on_attempt_recorded(
        self, agent: str, at: float, record: str, key: str, own_attempt_ids: Collection[str]
    ) -> None:
        """Checks an admitted request that leaves an attempt record; see WriteQuorumChecker."""
        ring = self.ring_agreement.ring_of(agent)
        self.write_quorum.on_attempt_recorded(agent, at, record, key, own_attempt_ids, ring)

    # Processes and the network

    def on_agent_started(self, agent: str, at: float, readable_versions: tuple[int, int]) -> None:
        """Records the start of an agent's process."""
        self.history.on_agent_started(agent, at, readable_versions)

    def on_agent_ended(self, agent: str, at: float) -> None:
        """Records the end of an agent's process."""
        self.history.on_agent_ended(agent, at)

    def on_recipient_unreachable(self, at: float) -> None:
        """Records that a message was lost at a cut, or went to a stopped agent."""
        self.write_quorum.on_recipient_unreachable(at)

    def on_message_sent(
        self, at: float, sender: str, incarnation: int, recipient: str, message: Struct
    ) -> None:
        """Checks a message that was sent, whether or not it arrives."""
        self.history.check_incarnation(sender, incarnation)
        if isinstance(message, messages.WriteRequest):
            self.write_quorum.on_write_request(sender, message)
        elif isinstance(message, messages.WriteResponse):
            self.write_quorum.on_write_response(sender, recipient, message)
        elif str(type(message).__struct_config__.tag).startswith(CONSENSUS_TAG_PREFIX):
            self.ring_agreement.on_message_sent(at, sender, recipient, message)

    # Results and final checks

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
        """The attempt records of admitted requests, by record and attempt."""
        return self.write_quorum.attempt_records

    def excess(self, tenant: str) -> float:
        """The most tokens by which the tenant exceeded its limit in any span; at most 0 if the limit held."""
        return self.tenant_limits.excess(tenant, self.ring_agreement.governing_versions())

    def count_lost_records(
        self, attempt_ids: Mapping[str, Mapping[str, Collection[str]]], now: float, wall_ms: float
    ) -> int:
        """Counts attempt records that have not expired and that no agent has; see WriteQuorumChecker."""
        return self.write_quorum.count_lost_records(attempt_ids, now, wall_ms)

    def check_equal(self, copies: Mapping[str, bytes], subject: str) -> None:
        """Checks that copies of `subject` have converged. `copies` are their bytes, by agent."""
        if len(set(copies.values())) > 1:
            digests = ", ".join(f"{name} {value.hex()[:8]}" for name, value in sorted(copies.items()))
            self.report(f"{subject}: copies differ: {digests}")

    def close(self) -> list[str]:
        """Makes the checks that need the whole simulation, and returns all violations."""
        self.tenant_limits.check(self.ring_agreement.governing_versions())
        return self.violations
