"""The invariant of tenants' limits: the fleet admits no more than one token bucket would."""

from collections import defaultdict
from collections.abc import Callable, Sequence

from cartdeal.fleet.settings import FleetSettings

TOKEN_TOLERANCE = 1e-6  # for rounding errors of sums of tokens


class TenantLimitChecker:
    """Records when requests of limited tenants were admitted, and checks them against the limits."""

    def __init__(self, settings: FleetSettings, report: Callable[[str], None]):
        self.settings = settings
        self.limits = settings.limits
        self.report = report
        self.admission_times: dict[str, list[float]] = defaultdict(list)  # by tenant

    def on_request_admitted(self, tenant: str, at: float) -> None:
        """Records an admission."""
        if tenant in self.limits:
            self.admission_times[tenant].append(at)

    def excess(self, tenant: str, versions: Sequence[tuple[float, int]]) -> float:
        """The most tokens by which the tenant exceeded its limit in any span; at most 0 if the limit held.

        Runs one token bucket of the limit over all admissions, as a single server for the whole fleet would.
        This is done separately for each period in which one version governed, and once over the whole time
        with the additional burst that a change of version allows.

        Args:
            tenant: The tenant.
            versions: (since when, version whose rules governed the leases), in order.
        """
        limit, settings = self.limits[tenant], self.settings
        times = sorted(self.admission_times[tenant])
        by_period = 2 * limit.rate * settings.period_s + settings.copies
        transition_s = settings.lease_s * (1 + settings.clock_drift) + 2 * settings.period_s
        worst = _bucket_excess(times, limit.rate, limit.burst + by_period)
        for (begin, version), (end, _) in zip(versions, [*versions[1:], (float("inf"), 0)], strict=True):
            settled = begin + transition_s if begin else 0.0
            within = [time for time in times if settled <= time < end]
            burst = by_period if version == 1 else limit.burst
            worst = max(worst, _bucket_excess(within, limit.rate, burst))
        return worst

    def check(self, versions: Sequence[tuple[float, int]]) -> None:
        """Checks all tenants, when the simulation is over."""
        for tenant in self.limits:
            excess = self.excess(tenant, versions)
            if excess > TOKEN_TOLERANCE:
                self.report(f"{tenant}: served {excess:.2f} over its limit")


def _bucket_excess(times: Sequence[float], rate: float, burst: float) -> float:
    level, last, worst = 0.0, 0.0, -burst
    for time in times:
        level = max(0.0, level - rate * (time - last)) + 1.0
        worst = max(worst, level - burst)
        last = time
    return worst
