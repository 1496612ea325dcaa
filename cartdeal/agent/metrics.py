"""Counters of an agent's work, logged once a minute and at the agent's end.

Counters run from the start of the process. Their names come from the code, so their number is small.
"""

from collections import Counter

REPORT_INTERVAL_S = 60.0


class Metrics:
    """Counters by name."""

    def __init__(self):
        self.counts: Counter[str] = Counter()
        self.last_report: dict[str, int] = {}

    def count(self, name: str, amount: int = 1):
        """Add `amount` to a counter."""
        self.counts[name] += amount

    def report(self) -> dict[str, int]:
        """Return all counters sorted by name, or nothing if none has changed since the last report."""
        if self.counts == self.last_report:
            return {}
        self.last_report = dict(self.counts)
        return dict(sorted(self.last_report.items()))
