"""An owner's token bucket for one tenant, with account of the leases that are out.

It is pure: it sends nothing and reads no clock; all times are seconds on the agent's own monotonic clock. A
bucket must never hold, together with all leases that may still be in use, more than its owner's share of the
burst, nor refill, together with the rates of all such leases, faster than its share of the rate.

Leases of tokens are O'Neil's escrow (1986) and the rights of bounded counters (Balegas et al. 2015), each
with a lease (Gray & Cheriton 1989); the bucket with a refill rate is GCRA's (ATM Forum TM 4.0).
"""

from heapq import heappop, heappush
from math import floor, inf
from typing import NamedTuple

from cartdeal.fleet.quota.ownership import OwnershipHistory
from cartdeal.fleet.quota.rates import MIN_TOKENS
from cartdeal.fleet.settings import FleetSettings, RateLimit

TIMER_MARGIN_S = 0.01  # an owner counts a lease for this much longer than its holder can


class HolderId(NamedTuple):
    """One incarnation of one agent."""

    name: str
    incarnation: int


class TokenLease:
    """A lease as its owner counts it, until it expires or its holder ends its use."""

    def __init__(
        self, number: int, rate: float, burst: float, expires_at: float, period_tokens: int = 0
    ) -> None:
        self.number = number
        self.rate = rate
        self.burst = burst
        self.expires_at = expires_at
        self.period_tokens = period_tokens  # granted in this period, by schema version 1


class HolderAccount:
    """An owner's account of one holder."""

    def __init__(self) -> None:
        self.sequence = 0  # of the last message that was heard
        self.demand_rate = 0.0
        self.heard_at = -inf
        self.leases: list[TokenLease] = []
        # A holder uses one of its leases at most, so the greatest of each counts.
        self.rate = 0.0
        self.burst = 0.0


class TokenBucket:
    """An owner's part of one tenant's limit.

    By schema version 2 tokens refill continuously and may be granted at once. By version 1 what was earned in
    one period may be granted, in whole tokens, in the next. The bucket is never filled beyond the time for
    which the ring is proven.
    """

    def __init__(
        self,
        key: bytes,
        limit: RateLimit,
        history: OwnershipHistory,
        settings: FleetSettings,
        schema_version: int,
    ) -> None:
        self.key = key
        self.history = history
        self.schema_version = schema_version
        self.lease_s = settings.lease_s
        self.drift_factor = 1 + settings.clock_drift
        self.period_s = settings.period_s
        self.counted_lease_s = self.lease_s * self.drift_factor + TIMER_MARGIN_S  # by the slowest clock
        self.accounts: dict[HolderId, HolderAccount] = {}
        self.leased_rate = 0.0
        self.leased_burst = 0.0
        self.tokens = 0.0  # to be granted; by version 1: earned for the next period
        self.period_tokens = 0.0  # by version 1: to be granted in this period
        self.interval_number = history.intervals[0].number  # of the ring by which it was filled last
        self.filled_to = history.intervals[0].start
        self.period = -1
        self.period_end = inf
        self._expirations: list[tuple[float, HolderId]] = []
        self.set_limit(limit)

    def set_limit(self, limit: RateLimit) -> None:
        """Sets the tenant's limit. A fast clock refills faster, so rates are divided by what it may gain."""
        self.rate = limit.rate / self.drift_factor
        self.burst = limit.burst

    def share(self, at: float) -> float:
        """Returns this owner's share of the limit at a time, 0 to 1."""
        share, _ = self.history.share(self.key, at)
        return share

    # Leases

    def account(self, holder_id: HolderId) -> HolderAccount:
        """Returns the account of a holder; opens it if there is none."""
        account = self.accounts.get(holder_id)
        if account is None:
            account = self.accounts[holder_id] = HolderAccount()
        return account

    def count_leases(self, account: HolderAccount, leases: list[TokenLease]) -> None:
        """Counts these leases of a holder, and no others."""
        rate = max([lease.rate for lease in leases], default=0.0)
        burst = max([lease.burst for lease in leases], default=0.0)
        self.leased_rate += rate - account.rate
        self.leased_burst += burst - account.burst
        account.leases = leases
        account.rate = rate
        account.burst = burst

    def add_lease(self, holder_id: HolderId, account: HolderAccount, lease: TokenLease) -> None:
        """Counts one lease more."""
        self.count_leases(account, [*account.leases, lease])
        heappush(self._expirations, (lease.expires_at, holder_id))

    def take_back(self, account: HolderAccount, lease_number: int, tokens: float, now: float) -> None:
        """Ends all leases of a holder and takes back the tokens left in one of them.

        A repeated return finds no lease and brings no tokens.
        """
        lease = next((lease for lease in account.leases if lease.number == lease_number), None)
        self.count_leases(account, [])
        share = self.share(now)
        if lease is not None and lease.expires_at > now:
            if self.schema_version != 1:
                self.tokens = min(self.tokens + tokens, self._capacity(share))
            elif lease.period_tokens:
                self.period_tokens += min(floor(tokens + MIN_TOKENS), lease.period_tokens)
        # From now on it refills without these leases, so nothing before now may be counted later.
        self.filled_to = max(self.filled_to, now)

    def remove_idle_accounts(self, now: float) -> None:
        """Closes the accounts without leases of holders that have been quiet for two leases."""
        idle = [
            holder_id
            for holder_id, account in self.accounts.items()
            if not any(lease.expires_at > self.filled_to for lease in account.leases)
            and account.heard_at < now - 2 * self.lease_s
        ]
        for holder_id in idle:
            self.count_leases(self.accounts.pop(holder_id), [])
        # Sums that are kept up by differences accumulate rounding errors.
        self.leased_rate = sum(account.rate for account in self.accounts.values())
        self.leased_burst = sum(account.burst for account in self.accounts.values())

    # Refill

    def advance(self, now: float, period: int, period_start: float, schema_version: int) -> None:
        """Refills it up to `now`, as far as the ring is proven.

        Args:
            now: the time to which it is brought.
            period: the owner's current period.
            period_start: when that began.
            schema_version: what the fleet writes; it takes effect at the next end of a period.
        """
        if period != self.period:
            self._fill(period_start)
            self._begin_period(period, schema_version)
            self.period_end = period_start + self.period_s
        self._fill(now)

    def _capacity(self, share: float) -> float:
        """Tokens that it can hold now."""
        if self.schema_version == 1:
            return share * self.rate * self.period_s + 1 if share else 0.0
        return max(share * self.burst - self.leased_burst, 0.0)

    def _fill(self, until: float) -> None:
        intervals = self.history.intervals
        if self.interval_number < intervals[0].number:
            # Rings passed while it was not used: what it held may be another owner's now.
            self.tokens = 0.0
            self.period_tokens = 0.0
            self.interval_number = intervals[0].number
            self.filled_to = max(self.filled_to, intervals[0].start)
        for interval in intervals:
            if interval.number > self.interval_number:
                if interval.start > until:
                    break
                self._enter_interval(interval.number, interval.start)
            if interval.number == self.interval_number:
                self._accrue(min(interval.proven_until, until))

    def _enter_interval(self, number: int, start: float) -> None:
        # Time for which the former ring was not proven is not counted at all.
        self.interval_number = number
        self.filled_to = max(self.filled_to, start)
        capacity = self._capacity(self.share(start))
        self.tokens = min(self.tokens, capacity)
        self.period_tokens = min(self.period_tokens, floor(capacity)) if self.schema_version == 1 else 0.0

    def _accrue(self, until: float) -> None:
        while self.filled_to < until:
            self._drop_expired_leases()
            share, stable_until = self.history.share(self.key, self.filled_to)
            next_expiration = self._expirations[0][0] if self._expirations else inf
            end = min(until, stable_until, next_expiration)
            earned = max(share * self.rate - self.leased_rate, 0.0) * (end - self.filled_to)
            self.tokens = min(self.tokens + earned, self._capacity(share))
            self.filled_to = end

    def _drop_expired_leases(self) -> None:
        while self._expirations and self._expirations[0][0] <= self.filled_to:
            _, holder_id = heappop(self._expirations)
            account = self.accounts.get(holder_id)
            if account is not None:
                current = [lease for lease in account.leases if lease.expires_at > self.filled_to]
                self.count_leases(account, current)

    def _begin_period(self, period: int, schema_version: int) -> None:
        """Makes what was earned in the last period grantable, in whole tokens.

        Tokens that nobody requested are lost, except the one of a tenant that earns less than one per period.
        """
        former_version = self.schema_version
        self.schema_version = schema_version
        self.period = period
        share = self.share(self.filled_to)
        if schema_version != 1:
            self.tokens = min(self.tokens, self._capacity(share))
            self.period_tokens = 0.0
            return
        period_share = share * self.rate * self.period_s
        keeps_unused = former_version == 1 and period_share < 1
        earned = min(self.tokens + (self.period_tokens if keeps_unused else 0.0), period_share + 1)
        if self.leased_burst > MIN_TOKENS:  # leases of version 2 are still out
            earned = min(earned, max(share * self.burst - self.leased_burst, 0.0))
        self.period_tokens = float(floor(earned + MIN_TOKENS))
        self.tokens = max(earned - self.period_tokens, 0.0)
