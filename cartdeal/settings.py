"""Decodes the settings an agent is given, for the bench's wire and for sockets, and draws up its settings.

The one place that knows the names of the settings. Unknown keys are passed over.
"""

import msgspec
from msgspec import field

from cartdeal.terms import BalancerSettings, Group, Load, Repeat, RequestClass, Tenant

REPEATS = {"safe": Repeat.IDEMPOTENT, "keyed": Repeat.DEDUPLICATED, "unsafe": Repeat.NON_IDEMPOTENT}
COLUMNS = ("outstanding", "throughput", "backlog", "recent_ms")  # of a report, as load_of takes them
GROUPS = {group.value: group for group in Group}
LEAST_PRIORITY = 1e-6  # priorities are divided by their mean, which must not be 0


class ClassSettings(msgspec.Struct):
    name: str = ""
    repeat: str | None = field(default=None, name="idempotency")
    group: str | None = None
    window: float | None = field(default=None, name="repeatWindowUs")
    latency_target: float | None = field(default=None, name="goalTimeUs")
    timeout_us: float | None = field(default=None, name="timeLimitUs")
    priority: float = field(default=1.0, name="importance")

    @property
    def timeout(self) -> float:
        return seconds(self.timeout_us) or 1.0

    def request_class(self, zoned: bool) -> RequestClass:
        # Where no group is named, none is known to drop repeats beyond the narrowest one. Where the areas are
        # not, all servers look like one zone, and a repeat in another one might run again.
        group = GROUPS.get(self.group, Group.CELL)
        return RequestClass(
            REPEATS.get(self.repeat, Repeat.NON_IDEMPOTENT),
            Group.CELL if group is Group.ZONE and not zoned else group,
            seconds(self.window),
            seconds(self.latency_target) or self.timeout,
            max(self.priority, LEAST_PRIORITY),
            self.name,
        )


class Quota(msgspec.Struct):
    name: str = ""
    quota: float | None = field(default=None, name="quotaPerS")


class Permissions(msgspec.Struct):
    """What the deployment permits."""

    most_attempts: int = field(default=1, name="maxShots")
    may_cancel: bool = field(default=False, name="cancel")
    may_probe: bool = field(default=False, name="probes")
    may_tell: bool = field(default=False, name="peers")
    advises_wait: bool = field(default=False, name="retryAfter")
    longest_wait: float | None = field(default=None, name="maxRetryAfterUs")
    connect_limit: float | None = field(default=None, name="connectTimeoutUs")
    idle_limit: float | None = field(default=None, name="idleCloseUs")


class Rules(msgspec.Struct):
    ask_every: float | None = field(default=None, name="askEveryUs")
    cold_from: float = field(default=0.1, name="coldFrom")
    cold_for: float | None = field(default=None, name="coldUs")
    cold_span: float | None = field(default=None, name="fallUs")
    cold_multiple: float = field(default=1.0, name="overloadFactor")


class Fees(msgspec.Struct):
    crossing: float = field(default=0.0, name="crossZone")
    probing: float = field(default=0.0, name="probe")


class Reports(msgspec.Struct):
    how: str = "none"
    columns: tuple[str, ...] = ()


class Mix(msgspec.Struct):
    """What a result is made of."""

    worst_class: float = field(default=0.0, name="worstClass")


class Settings(msgspec.Struct):
    number: int = field(default=0, name="myNumber")
    agents: int = field(default=1, name="groupSize")
    zones: tuple[str, ...] = field(default=(), name="areas")
    own_zone: int = field(default=0, name="az")
    request_classes: tuple[ClassSettings, ...] = field(default=(), name="workloads")
    tenants: tuple[Quota, ...] = ()
    beyond_share: float = field(default=1.0, name="overageImportance")
    discovery_mode: str = field(default="pushed", name="discovery")
    family: str = "mesh"
    mix: Mix = field(default_factory=Mix, name="objectiveMix")
    weights: str = field(default="nominal", name="weightKind")
    permissions: Permissions = field(default_factory=Permissions, name="caps")
    rules: Rules = field(default_factory=Rules)
    fees: Fees = field(default_factory=Fees)
    reports: Reports = field(default_factory=Reports, name="feedback")

    def shares(self) -> tuple[Tenant, ...]:
        """A share is one of all quotas: where one is missing nobody's is known, and nobody is beyond it.

        The last one is of those that the settings don't name: they have none, and use up nobody else's.
        """
        quotas = [each.quota for each in self.tenants]
        return tuple(map(Tenant, quotas + [0.0])) if quotas and all(quotas) else ()

    def for_balancer(self, seed: int) -> BalancerSettings:
        return BalancerSettings(
            seed=seed,
            number=self.number,
            agents=self.agents,
            zones=len(self.zones) or 1,
            own_zone=self.own_zone,
            request_classes=tuple(kind.request_class(bool(self.zones)) for kind in self.request_classes),
            tenants=self.shares(),
            beyond_share=self.beyond_share,
            crossing_fee=self.fees.crossing,
            probing_fee=self.fees.probing,
            most_attempts=self.permissions.most_attempts,
            may_cancel=self.permissions.may_cancel,
            may_probe=self.permissions.may_probe,
            advises_wait=seconds(self.permissions.longest_wait) if self.permissions.advises_wait else 0.0,
            must_ask=self.discovery_mode == "on_request",
            ask_every=seconds(self.rules.ask_every) or 10.0,
            cold_from=self.rules.cold_from,
            cold_for=seconds(self.rules.cold_for),
            cold_span=seconds(self.rules.cold_span) or 1.0,
            cold_multiple=self.rules.cold_multiple,
            pooled=self.family == "proxy",
            live_weights=self.weights == "live",
            worst_class=self.mix.worst_class,
        )


def load_of(held, served, waiting, millis) -> Load:
    """A report as it was said; what no server can mean counts as not said."""
    held, served, waiting, millis = (
        each if each is not None and 0 <= each < 1e9 else None for each in (held, served, waiting, millis)
    )
    return Load(held, served, waiting, None if millis is None else millis / 1e3)


def seconds(micros: float | None) -> float:
    return (micros or 0.0) / 1e6


def read(text: bytes) -> Settings:
    return msgspec.json.decode(text, type=Settings)
