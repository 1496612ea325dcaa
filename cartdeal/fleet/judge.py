"""Judges a fleet from the network and the answers alone, never from what an agent thinks.

Pure bookkeeping: what ran at servers, what was answered, when. It must never ask a node for its
opinion, except for the bytes of copies, which are compared with each other.
"""

from collections import defaultdict
from typing import NamedTuple

from cartdeal.fleet.desk import Limit

HAIR = 1e-6


class Ran(NamedTuple):
    """A shot that reached a server, which may have acted on it."""

    at: float
    zone: str
    cell: int
    agent: str


class Judge:
    def __init__(self, limits: dict[str, Limit]):
        self.limits = limits
        self.violations: list[str] = []
        self.intents: dict[str, tuple] = {}             # intent -> (repeat, group, window)
        self.ran: dict[str, list[Ran]] = defaultdict(list)
        self.told: dict[str, list] = defaultdict(list)  # intent -> (at, agent, verdict)
        self.served: dict[str, list[float]] = defaultdict(list)     # tenant -> when a lookup of it went on
        self.numbers: dict[str, set] = defaultdict(set)

    def violated(self, words: str):
        self.violations.append(words)

    # What the network sees

    def intended(self, intent: str, repeat: str, group: str, window: float):
        """A client wants one effect, however often it comes."""
        self.intents[intent] = (repeat, group, window)

    def shot(self, intent: str, at: float, zone: str, cell: int, agent: str):
        repeat, group, window = self.intents[intent]
        before = self.ran[intent]
        for past in before:
            if repeat == "i":
                break
            apart = at - past.at
            same = group == "all" or past.zone == zone and (group == "zone" or past.cell == cell)
            if repeat == "u":
                self.violated(f"{intent}: unrepeatable, ran {apart:.3f} s apart at {past.agent} and {agent}")
            elif apart > window + HAIR or not same:
                self.violated(f"{intent}: deduplicated, ran {apart:.3f} s apart at {past.agent} and {agent}, "
                              f"{past.zone}/{past.cell} and {zone}/{cell}")
        before.append(Ran(at, zone, cell, agent))

    def answered(self, intent: str, at: float, agent: str, verdict: str):
        repeat, group, window = self.intents[intent]
        if verdict in ("turn_back", "limited"):
            for past in self.ran[intent]:
                if repeat == "u" or repeat == "d" and (group != "all" or at - past.at > window + HAIR):
                    self.violated(f"{intent}: turned back at {agent}, {at - past.at:.3f} s after it ran")
        self.told[intent].append((at, agent, verdict))

    def went_on(self, tenant: str, at: float):
        if tenant in self.limits:
            self.served[tenant].append(at)

    def numbered(self, agent: str, number: str):
        """A number that an agent gave out; never twice, whatever it forgot."""
        if number in self.numbers[agent]:
            self.violated(f"{agent}: gave out {number} twice")
        self.numbers[agent].add(number)

    # At the end

    def over(self, tenant: str, written: int = 2, period_s: float = 1.0) -> float:
        """The most by which the tenant was served over its limit, in any time. At most 0 is right.

        Runs a bucket of the limit over what was served, as a server of the whole fleet would have.
        """
        limit, level, last = self.limits[tenant], 0.0, 0.0
        worst = -limit.burst
        most = limit.burst if written == 2 else limit.burst + 2 * limit.rate * period_s
        for at in sorted(self.served[tenant]):
            level = max(0.0, level - limit.rate * (at - last)) + 1.0
            worst, last = max(worst, level - most), at
        return worst

    def close(self, written: int = 2, period_s: float = 1.0):
        for tenant in self.limits:
            over = self.over(tenant, written, period_s)
            if over > HAIR:
                self.violated(f"{tenant}: served {over:.2f} over its limit")
        return self.violations

    def equal(self, copies: dict[str, bytes], what: str):
        if len(set(copies.values())) > 1:
            self.violated(f"{what}: copies differ: " + ", ".join(
                f"{name} {value.hex()[:8]}" for name, value in sorted(copies.items())))
