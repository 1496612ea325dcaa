"""What an agent counts of its work, told in its log once a minute and at its end.

Counts run from the start of the process. Names are of the code's making, so there are few of them.
"""

from collections import Counter

REPORT_INTERVAL_S = 60.0  # seconds


class Metrics:
    def __init__(self):
        self.counts: Counter[str] = Counter()
        self.last_report: dict[str, int] = {}

    def count(self, name: str, amount: int = 1):
        self.counts[name] += amount

    def report(self) -> dict[str, int]:
        """All counts, in the order of their names; nothing where none has changed since the last report."""
        if self.counts == self.last_report:
            return {}
        self.last_report = dict(self.counts)
        return dict(sorted(self.last_report.items()))
