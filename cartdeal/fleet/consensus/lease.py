"""The lease on a ring.

It is valid while a majority of the ring's members has confirmed the epoch within the last lease_s seconds.

An agent must never confirm an epoch after it accepted the next one, and must never count an answer to a
renewal that it did not send.
"""

from collections.abc import Collection
from heapq import nlargest
from math import ceil, inf, sqrt

from cartdeal.fleet.consensus.acceptor import Acceptor
from cartdeal.fleet.consensus.messages import NOT_HEARD, LeaseRenewal, LeaseRenewalAck
from cartdeal.fleet.consensus.state import EpochState
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.ring import Ring

AGE_UNITS_PER_LEASE = 200  # number of units of age in lease_s
ENCODED_AGES_TTL_S = 0.05  # encoded ages are cached and sent for this long
MAX_AGE_UNIT_MS = 10_000  # longest unit of age that is accepted in an answer
MAX_PENDING_RENEWALS = 1024  # renewals that wait until this agent learns their epoch
MAX_OPEN_ROUNDS = 8  # rounds whose answers are still counted
MAX_UNANSWERED_RENEWALS = 2  # renewals without an answer after which another member replaces the target
FIRST_RETRY_S = 0.1  # between two rounds while the lease is not valid; doubled after each round


class RingLease:
    """Renews this agent's lease and answers the renewals of other agents.

    A round asks only a few members, about as many as the square root of the ring's size. Each answer also
    reports the ages of the confirmations that the member knows of, so two rounds reach a majority. In a small
    ring, the members asked are a majority and one spare.
    """

    def __init__(self, state: EpochState, acceptor: Acceptor) -> None:
        self._state = state
        self._context = state.context
        self._acceptor = acceptor
        self._age_unit_ms = ceil(state.settings.lease_s * 1000 / AGE_UNITS_PER_LEASE)
        self._round = 0
        self._targets: dict[str, int] = {}  # member to ask -> renewals without an answer
        self.reset()

    def reset(self) -> None:
        """Clear all confirmations, rounds and pending renewals when a new epoch begins."""
        self.next_renewal_at = -inf
        self._retry_s = FIRST_RETRY_S
        self._round_started_at: dict[int, float] = {}
        # When each member last confirmed the epoch, in the ring's order, as far as this agent knows.
        self._heard_at: list[float] = [-inf] * len(self._state.current_ring.members)
        # The latest time for which a majority has confirmed the epoch at that time or later. It never
        # decreases until the next reset.
        self._majority_heard_at = -inf
        self._majority_is_stale = False
        self._encoded_until = -inf
        self._encoded_ages = b""
        self._pending_renewals: dict[str, LeaseRenewal] = {}

    def take_pending_renewals(self) -> dict[str, LeaseRenewal]:
        """Remove and return the renewals for epochs that were unknown when they came, by sender."""
        pending, self._pending_renewals = self._pending_renewals, {}
        return pending

    def add_pending_renewal(self, sender: str, message: LeaseRenewal) -> None:
        """Store a renewal for an epoch that is not known yet."""
        if len(self._pending_renewals) < MAX_PENDING_RENEWALS:
            self._pending_renewals[sender] = message

    def request_renewals(self, ring: Ring) -> None:
        """Start a round: send a renewal to each target, and schedule the next round."""
        now, max_wait_s = self._context.now, self._state.settings.lease_s / 3
        self.next_renewal_at = now + (max_wait_s if self.is_valid() else min(self._retry_s, max_wait_s))
        self._retry_s *= 2
        self._choose_targets(ring)
        self._round += 1
        self._round_started_at[self._round] = now
        self._round_started_at.pop(self._round - MAX_OPEN_ROUNDS, None)
        for name in self._targets:
            self._targets[name] += 1
            self._state.send(name, LeaseRenewal, self._round)

    def on_renewal(self, sender: str, message: LeaseRenewal) -> None:
        """Answer a renewal with the ages of all members' confirmations, including this agent's own."""
        ages = bytearray(self._ages())
        own_index = self._state.index_by_name.get(self._context.name)
        if own_index is not None:
            is_confirmed = self._state.remembers_promises and not self._acceptor.has_accepted_next
            ages[own_index] = 0 if is_confirmed else NOT_HEARD
        self._state.send(sender, LeaseRenewalAck, message.round, self._age_unit_ms, bytes(ages))

    def on_renewal_ack(self, sender: str, message: LeaseRenewalAck) -> None:
        """Record the confirmations that a member reports; their ages count from the start of the round."""
        started_at = self._round_started_at.get(message.round)
        if (
            started_at is None
            or len(message.ages) != len(self._heard_at)
            or not 0 < message.unit_ms <= MAX_AGE_UNIT_MS
        ):
            self._context.increment(Metric.DROPPED_LEASE_RENEWAL)
            return
        if sender in self._targets:
            self._targets[sender] = 0
        unit_s, heard_at = message.unit_ms / 1000, self._heard_at
        for index, age in enumerate(message.ages):
            if age != NOT_HEARD and (confirmed_at := started_at - age * unit_s) > heard_at[index]:
                heard_at[index] = confirmed_at
        self._majority_is_stale = True

    def is_valid(self) -> bool:
        """Return whether this agent may rely on its ring.

        It is called for each request, so in the first half of a lease it uses the last count of
        confirmations.
        """
        if (
            self._context.now < self._majority_heard_at + self._state.settings.lease_s / 2
            and not self._acceptor.has_accepted_next
        ):
            return True
        return self._context.now < self.valid_until

    @property
    def valid_until(self) -> float:
        """The local time (seconds) until which this agent may rely on its epoch; -inf if it may not.

        It is lease_s after the latest time for which a majority of the members has confirmed the epoch at
        that time or later.
        """
        state = self._state
        if state.ring is None or self._acceptor.has_accepted_next:
            return -inf
        own_index = state.index_by_name.get(self._context.name)
        needed_count = state.ring.majority - (own_index is not None and state.remembers_promises)
        if needed_count <= 0:
            return self._context.now + state.settings.lease_s
        if self._majority_is_stale:
            others = (heard_at for index, heard_at in enumerate(self._heard_at) if index != own_index)
            latest = nlargest(needed_count, others)
            self._majority_heard_at = latest[-1] if len(latest) == needed_count else -inf
            self._majority_is_stale = False
        return self._majority_heard_at + state.settings.lease_s

    def _choose_targets(self, ring: Ring) -> None:
        state, own_name = self._state, self._context.name
        target_count = min(
            len(ring.members) - state.is_member,
            ring.majority + 1 - state.is_member,
            ceil(1.5 * sqrt(len(ring.members))) + 2,
        )
        responsive_targets = {
            name: unanswered
            for name, unanswered in self._targets.items()
            if name in state.index_by_name and name in state.live and unanswered < MAX_UNANSWERED_RENEWALS
        }
        self._targets = dict(list(responsive_targets.items())[:target_count])
        # New targets are chosen from the live members first, then from all (the empty group).
        candidate_groups: tuple[Collection[str], ...] = (state.live, ())
        for candidates in candidate_groups:
            if len(self._targets) < target_count:
                remaining = [
                    name
                    for name in ring.names
                    if name != own_name
                    and name not in self._targets
                    and (not candidates or name in candidates)
                ]
                new_targets = self._context.random.sample(
                    remaining, min(len(remaining), target_count - len(self._targets))
                )
                self._targets |= dict.fromkeys(new_targets, 0)

    def _ages(self) -> bytes:
        """Return the encoded ages of all confirmations, a byte for each member.

        They are computed as of the time until which they are reused, so they are never too low.
        """
        now, settings = self._context.now, self._state.settings
        if now >= self._encoded_until:
            self._encoded_until = expires_at = now + ENCODED_AGES_TTL_S
            oldest_heard_at = expires_at - settings.lease_s
            units_per_s = (1 + settings.clock_drift) * 1000 / self._age_unit_ms
            self._encoded_ages = bytes(
                [
                    int((expires_at - heard_at) * units_per_s) + 1
                    if heard_at > oldest_heard_at
                    else NOT_HEARD
                    for heard_at in self._heard_at
                ]
            )
        return self._encoded_ages
