"""The transport's counters, and rate-limited log lines about the faults of peers."""

import logging
from collections import Counter, OrderedDict
from collections.abc import Hashable
from time import monotonic

from cartdeal.fleet.errors import FleetError

REPORT_INTERVAL_S = 60.0  # between two lines of metrics, and between two lines about the same fault of a peer
MAX_REPORTED_FAULTS = 1024  # entries of `reported_faults`; the oldest is dropped first

PeerAddress = tuple[str, int]

log = logging.getLogger("cartdeal.fleet")


class TransportReporter:
    """Keeps the transport's counters and the faults that were logged recently.

    `reported_faults`: by kind of fault and subject, the monotonic time from which the fault is logged again.
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.reported_faults: OrderedDict[tuple[str, Hashable], float] = OrderedDict()

    def increment(self, counter: str, by: int = 1) -> None:
        """Adds to a counter."""
        self.counters[counter] += by

    def report_refusal(self, error: FleetError, peer: PeerAddress) -> None:
        """Counts and logs the refusal of a peer's message or stream."""
        kind = type(error).__name__
        self.increment(f"refused {kind}")
        self.report_once("refused", (kind, peer[0]), f"{kind} from {peer[0]}:{peer[1]}: {error}")

    def report_once(self, fault: str, subject: Hashable, text: str) -> None:
        """Logs a fault unless it was logged within REPORT_INTERVAL_S; the counters count each occurrence."""
        now = monotonic()
        key = fault, subject
        if now < self.reported_faults.get(key, 0.0):
            return
        self.reported_faults[key] = now + REPORT_INTERVAL_S
        self.reported_faults.move_to_end(key)
        if len(self.reported_faults) > MAX_REPORTED_FAULTS:
            self.reported_faults.popitem(last=False)
        log.warning(fault, extra={"text": text})
