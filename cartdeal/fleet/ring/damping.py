"""Damping: short absences, brief appearances and small capacity changes of agents move no key."""

from collections.abc import Mapping
from typing import Protocol

from msgspec import Struct

from cartdeal.fleet.ring.ring import Ring, RingMember
from cartdeal.fleet.settings import FleetSettings

MAX_GAP_SHARE = 0.25  # at most this share of damp_s is counted between two calls


class LivePeer(Protocol):
    """The fields of a live agent that damping reads."""

    @property
    def incarnation(self) -> int:
        """The agent's incarnation, which rises at each restart."""

    @property
    def zone(self) -> str:
        """The zone that the agent runs in."""

    @property
    def capacity(self) -> float:
        """The capacity that the agent announces, in the unit of RingMember.capacity."""


class Observation(Struct):
    """The time since when an agent is live without a break, with one incarnation and a steady capacity."""

    incarnation: int
    capacity: float
    since_s: float  # in observed time (Damper), not in local time


class Damper:
    """Derives the target members of the ring from the live agents; flapping and small changes have no effect.

    It counts observed time only: a long gap between two calls means that this agent's process was stopped and
    did not observe the others. It stores no target, so two agents with the same ring and the same live agents
    never work against each other.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self.update_settings(settings)
        self._observed_s = 0.0  # the observed time so far
        self._last_call_at: float | None = None
        self._observations: dict[str, Observation] = {}
        self._absent_since: dict[str, float] = {}  # absent member -> observed time of its first absence

    def update_settings(self, settings: FleetSettings) -> None:
        """Replace the operator's settings, and keep the observations."""
        self._min_change = settings.damp_share
        self._damping_s = settings.damp_s

    def target_members(self, live: Mapping[str, LivePeer], ring: Ring, now: float) -> dict[str, RingMember]:
        """Return the target members by name; `now` is in local seconds.

        A new agent is added, and a changed capacity or zone is adopted, once it is steady for damp_s. An
        absent member stays until it has been absent for damp_s.
        """
        if self._last_call_at is not None:
            self._observed_s += max(0.0, min(now - self._last_call_at, self._damping_s * MAX_GAP_SHARE))
        self._last_call_at = now
        self._observe(live, ring)
        target_members = {}
        for name, peer in live.items():
            is_steady = self._observed_s - self._observations[name].since_s >= self._damping_s
            member = ring.member_by_name.get(name)
            if member is None:
                if is_steady:
                    target_members[name] = RingMember(name, peer.zone, float(peer.capacity))
            elif is_steady and abs(peer.capacity - member.capacity) > self._min_change * member.capacity:
                target_members[name] = RingMember(name, peer.zone, float(peer.capacity))
            elif is_steady and peer.zone != member.zone:
                target_members[name] = RingMember(name, peer.zone, member.capacity)
            else:
                target_members[name] = member
        for name, absent_since in self._absent_since.items():
            if self._observed_s - absent_since < self._damping_s:
                target_members[name] = ring.member_by_name[name]
        return target_members

    def _observe(self, live: Mapping[str, LivePeer], ring: Ring) -> None:
        observations = {}
        for name, peer in live.items():
            observation = self._observations.get(name)
            if (
                not observation
                or observation.incarnation != peer.incarnation
                or abs(peer.capacity - observation.capacity) > self._min_change * observation.capacity
            ):
                observation = Observation(peer.incarnation, peer.capacity, self._observed_s)
            observations[name] = observation
        self._observations = observations
        self._absent_since = {
            name: self._absent_since.get(name, self._observed_s) for name in ring.names if name not in live
        }
