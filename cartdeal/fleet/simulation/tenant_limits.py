"""The invariant of tenants' limits: the fleet admits no more than one token bucket would."""

from collections import defaultdict
from collections.abc import Callable, Sequence

from cartdeal.fleet.settings import FleetSettings

TOKEN_TOLERANCE = 1e-6  # for the rounding of sums of tokens


class TenantLimitChecker:
    """Keeps when requests of limited tenants were admitted."""

    def __init__(self, settings: FleetSettings, report: Callable[[str], None]):
        self.settings = settings
        self.limits = settings.limits
        self.report = report
        self.admission_times: dict[str, list[float]] = defaultdict(list)  # by tenant

    def request_admitted(self, tenant: str, at: float) -> None:
        """Takes in an admission."""
        if tenant in self.limits:
            self.admission_times[tenant].append(at)

    def excess(self, tenant: str, versions: Sequence[tuple[float, int]]) -> float:
        """The most tokens by which the tenant was served over its limit, in any time. At most 0 is right.

        Runs a bucket of the limit over what was served, as a server of the whole fleet would have; anew
        where another version came to govern, and once with room for a change over the whole time.
        `versions`: (since when, version by whose rules limits were lent), in order.
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
