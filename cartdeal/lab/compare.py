"""What a table says: each variant's mean with its interval, and its difference from the first, seed by seed.

It must never compare different seeds, nor give one number where the spread is not told.
"""

from math import sqrt
from statistics import fmean, stdev

from scipy.stats import t

SURE = 0.95


def interval(values: list[float]) -> tuple[float, float]:
    """The mean, and how far to each side the true one lies with SURE."""
    count = len(values)
    if count < 2:
        return fmean(values), float("inf")
    return fmean(values), float(t.ppf((1 + SURE) / 2, count - 1)) * stdev(values) / sqrt(count)


def by_variant(rows: list[dict], figure: str) -> dict[str, dict[str, float]]:
    found: dict[str, dict[str, float]] = {}
    for row in rows:
        found.setdefault(row["variant"], {})[row["seed"]] = float(row[figure])
    return found


def compared(rows: list[dict], figure: str) -> list[tuple]:
    """Variant, its mean and interval, and the paired difference from the first with its interval."""
    found = by_variant(rows, figure)
    first = next(iter(found.values()))
    lines = []
    for name, values in found.items():
        pairs = [values[seed] - first[seed] for seed in values if seed in first]
        difference = interval(pairs) if values is not first and pairs else (0.0, 0.0)
        lines.append((name, *interval(list(values.values())), *difference))
    return lines
