"""Damping: short comings and goings of agents, and small changes of capacity, move no key."""

from collections.abc import Mapping
from typing import Protocol

from msgspec import Struct

from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.settings import FleetSettings

MAX_GAP_SHARE = 0.25  # of damp_s, that is counted at most between two calls


class LivePeer(Protocol):
    """What damping reads of a live agent."""

    @property
    def incarnation(self) -> int:
        """Goes up when the agent restarts."""

    @property
    def zone(self) -> str:
        """Where the agent runs."""

    @property
    def capacity(self) -> float:
        """What the agent says that it can take, in the unit of RingMember.capacity."""


class Observation(Struct):
    """Since when an agent has been live without a break, of one incarnation and about one capacity."""

    incarnation: int
    capacity: float
    since_s: float  # of the time that was watched


class Damper:
    """Says which members are wanted, given who is live: what comes, goes or wobbles moves nothing.

    It counts only time in which it was called: an agent that was stopped hasn't watched the others meanwhile.
    It remembers no target of its own, so two agents that see the same ring and peers never work against each
    other.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self.update_settings(settings)
        self._watched_s = 0.0  # for how long live agents were watched
        self._last_call: float | None = None
        self._observations: dict[str, Observation] = {}
        self._absent_since: dict[str, float] = {}  # members that are not live

    def update_settings(self, settings: FleetSettings) -> None:
        """Takes over the operator's settings; what was observed stays."""
        self._min_change = settings.damp_share
        self._damping_s = settings.damp_s

    def target_members(self, live: Mapping[str, LivePeer], ring: Ring, now: float) -> dict[str, RingMember]:
        """The members that are wanted, by name; `now` in local seconds."""
        if self._last_call is not None:
            self._watched_s += max(0.0, min(now - self._last_call, self._damping_s * MAX_GAP_SHARE))
        self._last_call = now
        self._observe(live, ring)
        target = {}
        for name, peer in live.items():
            steady = self._watched_s - self._observations[name].since_s >= self._damping_s
            member = ring.member_by_name.get(name)
            if member is None:
                if steady:
                    target[name] = RingMember(name, peer.zone, float(peer.capacity))
            elif steady and abs(peer.capacity - member.capacity) > self._min_change * member.capacity:
                target[name] = RingMember(name, peer.zone, float(peer.capacity))
            elif steady and peer.zone != member.zone:
                target[name] = RingMember(name, peer.zone, member.capacity)
            else:
                target[name] = member
        for name, since in self._absent_since.items():
            if self._watched_s - since < self._damping_s:
                target[name] = ring.member_by_name[name]
        return target

    def _observe(self, live: Mapping[str, LivePeer], ring: Ring) -> None:
        observations = {}
        for name, peer in live.items():
            observation = self._observations.get(name)
            if (
                not observation
                or observation.incarnation != peer.incarnation
                or abs(peer.capacity - observation.capacity) > self._min_change * observation.capacity
            ):
                observation = Observation(peer.incarnation, peer.capacity, self._watched_s)
            observations[name] = observation
        self._observations = observations
        self._absent_since = {
            name: self._absent_since.get(name, self._watched_s) for name in ring.names if name not in live
        }
