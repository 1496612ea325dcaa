"""Decodes the settings an agent is given, for the bench's wire and for sockets, and draws up its settings.

The one place that knows the names of the settings. Unknown keys are passed over.
"""

import msgspec
from msgspec import field

from cartdeal.balancer_types import (
    BalancerSettings,
    DeduplicationScope,
    Idempotency,
    LoadReport,
    RequestClass,
    Tenant,
)

IDEMPOTENCY_BY_NAME = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.DEDUPLICATED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
REPORT_COLUMNS = (
    "outstanding",
    "throughput",
    "backlog",
    "recent_ms",
)  # of a report, as load_report takes them
SCOPES_BY_NAME = {group.value: group for group in DeduplicationScope}
LEAST_PRIORITY = 1e-6  # priorities are divided by their mean, which must not be 0


class ClassSettings(msgspec.Struct):
    name: str = ""
    idempotency: str | None = field(default=None, name="idempotency")
    deduplication_scope: str | None = field(default=None, name="group")
    deduplication_window_us: float | None = field(default=None, name="repeatWindowUs")
    latency_target_us: float | None = field(default=None, name="goalTimeUs")
    timeout_us: float | None = field(default=None, name="timeLimitUs")
    priority: float = field(default=1.0, name="importance")

    @property
    def timeout(self) -> float:
        return seconds(self.timeout_us) or 1.0

    def request_class(self, zoned: bool) -> RequestClass:
        # Where no group is named, none is known to drop repeats beyond the narrowest one. Where the areas are
        # not, all servers look like one zone, and a repeat in another one might run again.
        scope = SCOPES_BY_NAME.get(self.deduplication_scope, DeduplicationScope.CELL)
        return RequestClass(
            IDEMPOTENCY_BY_NAME.get(self.idempotency, Idempotency.NON_IDEMPOTENT),
            DeduplicationScope.CELL if scope is DeduplicationScope.ZONE and not zoned else scope,
            seconds(self.deduplication_window_us),
            seconds(self.latency_target_us) or self.timeout,
            max(self.priority, LEAST_PRIORITY),
            self.name,
        )


class Quota(msgspec.Struct):
    name: str = ""
    quota: float | None = field(default=None, name="quotaPerS")


class Permissions(msgspec.Struct):
    """What the deployment permits."""

    max_attempts: int = field(default=1, name="maxShots")
    may_cancel: bool = field(default=False, name="cancel")
    may_probe: bool = field(default=False, name="probes")
    may_message_peers: bool = field(default=False, name="peers")
    sends_retry_after: bool = field(default=False, name="retryAfter")
    max_retry_after_us: float | None = field(default=None, name="maxRetryAfterUs")
    connect_timeout_us: float | None = field(default=None, name="connectTimeoutUs")
    idle_timeout_us: float | None = field(default=None, name="idleCloseUs")


class Rules(msgspec.Struct):
    poll_interval_us: float | None = field(default=None, name="askEveryUs")
    slow_start_initial_share: float = field(default=0.1, name="coldFrom")
    slow_start_duration_us: float | None = field(default=None, name="coldUs")
    overload_window_us: float | None = field(default=None, name="fallUs")
    overload_factor: float = field(default=1.0, name="overloadFactor")


class Fees(msgspec.Struct):
    cross_zone: float = field(default=0.0, name="crossZone")
    probe: float = field(default=0.0, name="probe")


class LoadReportSettings(msgspec.Struct):
    source: str = field(default="none", name="how")
    columns: tuple[str, ...] = ()


class ObjectiveMix(msgspec.Struct):
    """What a result is made of."""

    worst_class_weight: float = field(default=0.0, name="worstClass")


class Settings(msgspec.Struct):
    agent_number: int = field(default=0, name="myNumber")
    agent_count: int = field(default=1, name="groupSize")
    zones: tuple[str, ...] = field(default=(), name="areas")
    own_zone: int = field(default=0, name="az")
    request_classes: tuple[ClassSettings, ...] = field(default=(), name="workloads")
    tenants: tuple[Quota, ...] = ()
    overage_priority_factor: float = field(default=1.0, name="overageImportance")
    discovery_mode: str = field(default="pushed", name="discovery")
    family: str = "mesh"
    objective_mix: ObjectiveMix = field(default_factory=ObjectiveMix, name="objectiveMix")
    weight_kind: str = field(default="nominal", name="weightKind")
    permissions: Permissions = field(default_factory=Permissions, name="caps")
    rules: Rules = field(default_factory=Rules)
    fees: Fees = field(default_factory=Fees)
    load_reports: LoadReportSettings = field(default_factory=LoadReportSettings, name="feedback")

    def tenant_quotas(self) -> tuple[Tenant, ...]:
        """A share is one of all quotas: where one is missing nobody's is known, and nobody is beyond it.

        The last one is of those that the settings don't name: they have none, and use up nobody else's.
        """
        quotas = [each.quota for each in self.tenants]
        return tuple(map(Tenant, quotas + [0.0])) if quotas and all(quotas) else ()

    def balancer_settings(self, seed: int) -> BalancerSettings:
        return BalancerSettings(
            seed=seed,
            agent_number=self.agent_number,
            agent_count=self.agent_count,
            zone_count=len(self.zones) or 1,
            own_zone=self.own_zone,
            request_classes=tuple(kind.request_class(bool(self.zones)) for kind in self.request_classes),
            tenants=self.tenant_quotas(),
            overage_priority_factor=self.overage_priority_factor,
            cross_zone_fee=self.fees.cross_zone,
            probe_fee=self.fees.probe,
            max_attempts=self.permissions.max_attempts,
            may_cancel=self.permissions.may_cancel,
            may_probe=self.permissions.may_probe,
            max_retry_after=seconds(self.permissions.max_retry_after_us)
            if self.permissions.sends_retry_after
            else 0.0,
            polls_discovery=self.discovery_mode == "on_request",
            poll_interval=seconds(self.rules.poll_interval_us) or 10.0,
            slow_start_initial_share=self.rules.slow_start_initial_share,
            slow_start_duration=seconds(self.rules.slow_start_duration_us),
            overload_window=seconds(self.rules.overload_window_us) or 1.0,
            overload_factor=self.rules.overload_factor,
            is_pool_member=self.family == "proxy",
            has_live_weights=self.weight_kind == "live",
            worst_class_weight=self.objective_mix.worst_class_weight,
        )


def load_report(in_flight, throughput, queue_length, service_ms) -> LoadReport:
    """A report as it was said; what no server can mean counts as not said."""
    in_flight, throughput, queue_length, service_ms = (
        each if each is not None and 0 <= each < 1e9 else None
        for each in (in_flight, throughput, queue_length, service_ms)
    )
    return LoadReport(in_flight, throughput, queue_length, None if service_ms is None else service_ms / 1e3)


def seconds(micros: float | None) -> float:
    return (micros or 0.0) / 1e6


def decode(text: bytes) -> Settings:
    return msgspec.json.decode(text, type=Settings)
