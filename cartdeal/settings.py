"""Decodes an agent's settings and builds the balancer's settings from them.

Only this module knows the outer names of the settings. Unknown keys are ignored. Values whose names end in
`_us` are in microseconds.
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
# The columns of a load report, in the order of the parameters of `load_report`.
REPORT_COLUMNS = ("outstanding", "throughput", "backlog", "recent_ms")
SCOPES_BY_NAME = {scope.value: scope for scope in DeduplicationScope}
MIN_PRIORITY = 1e-6  # priorities are divided by their mean, which must not be 0


class ClassSettings(msgspec.Struct):
    """The settings of a request class."""

    name: str = ""
    idempotency: str | None = field(default=None, name="idempotency")
    deduplication_scope: str | None = field(default=None, name="group")
    deduplication_window_us: float | None = field(default=None, name="repeatWindowUs")
    latency_target_us: float | None = field(default=None, name="goalTimeUs")
    timeout_us: float | None = field(default=None, name="timeLimitUs")
    priority: float = field(default=1.0, name="importance")

    @property
    def timeout(self) -> float:
        """The timeout of a request in seconds, unless the client states another one."""
        return seconds(self.timeout_us) or 1.0

    def request_class(self, has_zones: bool) -> RequestClass:
        """The balancer's form of these settings; `has_zones`: whether the settings name zones."""
        # Without a stated scope, only the narrowest one is known to drop repeats. Without stated zones, all
        # servers seem to be in one zone, and a repeat in another zone might be executed again.
        scope = SCOPES_BY_NAME.get(self.deduplication_scope, DeduplicationScope.CELL)
        return RequestClass(
            IDEMPOTENCY_BY_NAME.get(self.idempotency, Idempotency.NON_IDEMPOTENT),
            DeduplicationScope.CELL if scope is DeduplicationScope.ZONE and not has_zones else scope,
            seconds(self.deduplication_window_us),
            seconds(self.latency_target_us) or self.timeout,
            max(self.priority, MIN_PRIORITY),
            self.name,
        )


class TenantSettings(msgspec.Struct):
    """A tenant and its quota, in requests per second."""

    name: str = ""
    quota: float | None = field(default=None, name="quotaPerS")


class Permissions(msgspec.Struct):
    """What the deployment permits an agent to do, and its limits."""

    max_attempts: int = field(default=1, name="maxShots")
    may_cancel: bool = field(default=False, name="cancel")
    may_probe: bool = field(default=False, name="probes")
    may_message_peers: bool = field(default=False, name="peers")
    sends_retry_after: bool = field(default=False, name="retryAfter")
    max_retry_after_us: float | None = field(default=None, name="maxRetryAfterUs")
    connect_timeout_us: float | None = field(default=None, name="connectTimeoutUs")
    idle_timeout_us: float | None = field(default=None, name="idleCloseUs")


class Rules(msgspec.Struct):
    """The rules for polling discovery and for servers in slow start."""

    poll_interval_us: float | None = field(default=None, name="askEveryUs")
    slow_start_initial_share: float = field(default=0.1, name="coldFrom")
    slow_start_duration_us: float | None = field(default=None, name="coldUs")
    overload_window_us: float | None = field(default=None, name="fallUs")
    overload_factor: float = field(default=1.0, name="overloadFactor")


class Fees(msgspec.Struct):
    """What a cross-zone attempt and a probe cost, in requests of average priority."""

    cross_zone: float = field(default=0.0, name="crossZone")
    probe: float = field(default=0.0, name="probe")


class LoadReportSettings(msgspec.Struct):
    """Where the load reports of servers come from and what they contain."""

    source: str = field(default="none", name="how")
    columns: tuple[str, ...] = ()


class ObjectiveMix(msgspec.Struct):
    """The weights of the parts of the overall result."""

    worst_class_weight: float = field(default=0.0, name="worstClass")


class Settings(msgspec.Struct):
    """All settings of an agent, as its deployment states them."""

    agent_number: int = field(default=0, name="myNumber")
    agent_count: int = field(default=1, name="groupSize")
    zones: tuple[str, ...] = field(default=(), name="areas")
    own_zone: int = field(default=0, name="az")
    request_classes: tuple[ClassSettings, ...] = field(default=(), name="workloads")
    tenants: tuple[TenantSettings, ...] = ()
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
        """The quotas of the tenants, then one of 0 for all tenants that the settings do not name.

        Empty if a quota is missing: a tenant's share of all quotas is then unknown, and none exceeds it. An
        unnamed tenant has no quota and uses up none of the others'.
        """
        quotas = [each.quota for each in self.tenants]
        return tuple(map(Tenant, quotas + [0.0])) if quotas and all(quotas) else ()

    def balancer_settings(self, seed: int) -> BalancerSettings:
        """The balancer's form of these settings; `seed` is that of its random numbers."""
        return BalancerSettings(
            seed=seed,
            agent_number=self.agent_number,
            agent_count=self.agent_count,
            zone_count=len(self.zones) or 1,
            own_zone=self.own_zone,
            request_classes=tuple(each.request_class(bool(self.zones)) for each in self.request_classes),
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
    """A load report; values out of range count as not reported."""
    in_flight, throughput, queue_length, service_ms = (
        each if each is not None and 0 <= each < 1e9 else None
        for each in (in_flight, throughput, queue_length, service_ms)
    )
    return LoadReport(in_flight, throughput, queue_length, None if service_ms is None else service_ms / 1e3)


def seconds(micros: float | None) -> float:
    """Converts microseconds to seconds; 0 for None."""
    return (micros or 0.0) / 1e6


def decode(text: bytes) -> Settings:
    """Decodes settings from JSON.

    Raises:
        msgspec.MsgspecError: the text is not valid JSON, or a value has the wrong type.
    """
    return msgspec.json.decode(text, type=Settings)
