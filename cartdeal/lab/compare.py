"""Compares the variants of a table: their means, and the differences from the first one on the same seeds.

Values of different seeds must never be compared, and each mean is given with its confidence interval.
"""

from math import sqrt
from statistics import fmean, stdev

from scipy.stats import t

CONFIDENCE_LEVEL = 0.95


def mean_with_interval(values: list[float]) -> tuple[float, float]:
    """The mean of the values, and the half width of its interval at CONFIDENCE_LEVEL (Student's t)."""
    count = len(values)
    if count < 2:
        return fmean(values), float("inf")
    return fmean(values), float(t.ppf((1 + CONFIDENCE_LEVEL) / 2, count - 1)) * stdev(values) / sqrt(count)


def values_by_variant(rows: list[dict], figure: str) -> dict[str, dict[str, float]]:
    """The values of a figure, by variant and seed."""
    values: dict[str, dict[str, float]] = {}
    for row in rows:
        values.setdefault(row["variant"], {})[row["seed"]] = float(row[figure])
    return values


def compare_variants(rows: list[dict], figure: str) -> list[tuple]:
    """Compares each variant with the first one.

    Returns:
        For each variant: its name, its mean, the half width of the mean's interval, the mean of its paired
        differences from the first variant, and the half width of that mean's interval.
    """
    values = values_by_variant(rows, figure)
    first = next(iter(values.values()))
    comparisons = []
    for name, variant_values in values.items():
        differences = [variant_values[seed] - first[seed] for seed in variant_values if seed in first]
        difference = (
            mean_with_interval(differences) if variant_values is not first and differences else (0.0, 0.0)
        )
        comparisons.append((name, *mean_with_interval(list(variant_values.values())), *difference))
    return comparisons
