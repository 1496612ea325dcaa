"""Arithmetic of rates: a moving average of events per second, and fair division of a total."""

from math import exp, inf

MIN_TOKENS = 1e-9  # smaller amounts are rounding errors


def max_min_fair_shares(total: float, demands: list[float]) -> list[float]:
    """Divides `total` by max-min fairness (water-filling; Bertsekas & Gallager, Data Networks, 1992, 6.5).

    Returns the shares in the order of the demands; none exceeds its demand.
    """
    shares = [0.0] * len(demands)
    remaining = max(total, 0.0)
    indices_by_demand = sorted(range(len(demands)), key=lambda index: (demands[index], index))
    for rank, index in enumerate(indices_by_demand):
        shares[index] = min(demands[index], remaining / (len(demands) - rank))
        remaining -= shares[index]
    return shares


class RateMeter:
    """Measures events per second: an exponentially weighted moving average, time constant `window_s`."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.rate = 0.0
        self.updated_at = -inf

    def rate_at(self, now: float) -> float:
        """Returns the average at `now`, in events per second."""
        if not self.rate:
            return 0.0
        return self.rate * exp(-max(now - self.updated_at, 0.0) / self.window_s)

    def record(self, now: float) -> None:
        """Counts one event at `now`."""
        self.rate = self.rate_at(now) + 1 / self.window_s
        self.updated_at = now
