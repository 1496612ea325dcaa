"""An owner's token bucket for one tenant, and the accounts of its leases that may still be in use.

The module does no I/O and reads no clock; all times are seconds on the agent's own monotonic clock. The
tokens in a bucket and the bursts of all leases that may still be in use must never exceed the owner's share
of the burst; the refill rate of the bucket and the rates of those leases must never exceed its share of the
rate.

Leased tokens follow escrow (O'Neil 1986) and the rights of bounded counters (Balegas et al. 2015), limited in
time by leases (Gray & Cheriton 1989); the bucket with a refill rate follows GCRA (ATM Forum TM 4.0).
"""

from heapq import heappop, heappush
from math import floor, inf
from typing import NamedTuple

from cartdeal.fleet.quota.ownership import OwnershipHistory
from cartdeal.fleet.quota.rates import MIN_TOKENS
from cartdeal.fleet.settings import FleetSettings, RateLimit

TIMER_MARGIN_S = 0.01  # an owner counts a lease this much longer than its holder may use it


class HolderId(NamedTuple):
    """One incarnation of one agent."""

    name: str
    incarnation: int


class TokenLease:
    """A lease that its owner counts until it expires or its holder stops using it."""

    def __init__(
        self, number: int, rate: float, burst: float, expires_at: float, period_tokens: int = 0
    ) -> None:
        self.number = number
        self.rate = rate
        self.burst = burst
        self.expires_at = expires_at
        self.period_tokens = period_tokens  # granted in this period (schema version 1)


class HolderAccount:
    """The leases and the demand of one holder, as an owner counts them."""

    def __init__(self) -> None:
        self.sequence = 0  # of the holder's last request or return
        self.demand_rate = 0.0
        self.requested_at = -inf  # when the holder's last request came
        self.leases: list[TokenLease] = []
        # A holder uses at most one of its leases, so the greatest rate and the greatest burst count.
        self.rate = 0.0
        self.burst = 0.0


class TokenBucket:
    """An owner's share of one tenant's limit.

    In schema version 2 tokens refill continuously and may be granted at once. In version 1 the tokens earned
    in one period may be granted in the next one, as whole tokens. The bucket is never filled beyond the time
    at which the lease on the ring was last valid.
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
        # How long a lease may last on the slowest clock.
        self.counted_lease_s = self.lease_s * self.drift_factor + TIMER_MARGIN_S
        self.accounts: dict[HolderId, HolderAccount] = {}
        self.leased_rate = 0.0
        self.leased_burst = 0.0
        self.tokens = 0.0  # available to grant; in version 1: earned for the next period
        self.period_tokens = 0.0  # in version 1: available to grant in this period
        self.interval_number = history.intervals[0].number  # of the ring by which the bucket was last filled
        self.filled_to = history.intervals[0].start
        self.period = -1
        self.period_end = inf
        self._expirations: list[tuple[float, HolderId]] = []
        self.set_limit(limit)

    def set_limit(self, limit: RateLimit) -> None:
        """Sets the tenant's limit. The drift factor lowers the rate, since a fast clock refills faster."""
        self.rate = limit.rate / self.drift_factor
        self.burst = limit.burst

    def share(self, at: float) -> float:
        """Returns this owner's share of the limit at time `at`, 0 to 1."""
        share, _ = self.history.share(self.key, at)
        return share

    # Leases

    def account(self, holder_id: HolderId) -> HolderAccount:
        """Returns the account of a holder; creates it if there is none."""
        account = self.accounts.get(holder_id)
        if account is None:
            account = self.accounts[holder_id] = HolderAccount()
        return account

    def count_leases(self, account: HolderAccount, leases: list[TokenLease]) -> None:
        """Replaces the leases that are counted for a holder."""
        rate = max([lease.rate for lease in leases], default=0.0)
        burst = max([lease.burst for lease in leases], default=0.0)
        self.leased_rate += rate - account.rate
        self.leased_burst += burst - account.burst
        account.leases = leases
        account.rate = rate
        account.burst = burst

    def add_lease(self, holder_id: HolderId, account: HolderAccount, lease: TokenLease) -> None:
        """Counts one more lease of a holder."""
        self.count_leases(account, [*account.leases, lease])
        heappush(self._expirations, (lease.expires_at, holder_id))

    def take_back(self, account: HolderAccount, lease_number: int, tokens: float, now: float) -> None:
        """Ends all leases of a holder and takes back the tokens that remain in lease `lease_number`.

        A repeated return finds no lease and adds no tokens.
        """
        lease = next((lease for lease in account.leases if lease.number == lease_number), None)
        self.count_leases(account, [])
        share = self.share(now)
        if lease is not None and lease.expires_at > now:
            if self.schema_version != 1:
                self.tokens = min(self.tokens + tokens, self._capacity(share))
            elif lease.period_tokens:
                self.period_tokens += min(floor(tokens + MIN_TOKENS), lease.period_tokens)
        # From now on the bucket refills without these leases, so time before `now` must not be refilled
        # later.
        self.filled_to = max(self.filled_to, now)

    def remove_idle_accounts(self, now: float) -> None:
        """Removes the accounts of holders without a lease that have sent nothing for two leases."""
        idle_holders = [
            holder_id
            for holder_id, account in self.accounts.items()
            if not any(lease.expires_at > self.filled_to for lease in account.leases)
            and account.requested_at < now - 2 * self.lease_s
        ]
        for holder_id in idle_holders:
            self.count_leases(self.accounts.pop(holder_id), [])
        # Sums that are updated by differences accumulate rounding errors, so they are computed anew here.
        self.leased_rate = sum(account.rate for account in self.accounts.values())
        self.leased_burst = sum(account.burst for account in self.accounts.values())

    # Refill

    def advance(self, now: float, period: int, period_start: float, schema_version: int) -> None:
        """Refills the bucket up to `now`, or up to when the lease on the ring was last valid.

        Args:
            now: the current time.
            period: the number of the owner's current period.
            period_start: when that period began.
            schema_version: the version that the fleet writes; it takes effect when the next period begins.
        """
        if period != self.period:
            self._fill(period_start)
            self._begin_period(period, schema_version)
            self.period_end = period_start + self.period_s
        self._fill(now)

    def _capacity(self, share: float) -> float:
        """Returns the number of tokens that the bucket can hold now."""
        if self.schema_version == 1:
            return share * self.rate * self.period_s + 1 if share else 0.0
        return max(share * self.burst - self.leased_burst, 0.0)

    def _fill(self, until: float) -> None:
        intervals = self.history.intervals
        if self.interval_number < intervals[0].number:
            # Rings have passed since the last refill: another owner may have this bucket's tokens now.
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
                self._accrue(min(interval.confirmed_until, until))

    def _enter_interval(self, number: int, start: float) -> None:
        # Time without a valid lease on the former ring earns no tokens.
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
            earned_tokens = max(share * self.rate - self.leased_rate, 0.0) * (end - self.filled_to)
            self.tokens = min(self.tokens + earned_tokens, self._capacity(share))
            self.filled_to = end

    def _drop_expired_leases(self) -> None:
        while self._expirations and self._expirations[0][0] <= self.filled_to:
            _, holder_id = heappop(self._expirations)
            account = self.accounts.get(holder_id)
            if account is not None:
                current_leases = [lease for lease in account.leases if lease.expires_at > self.filled_to]
                self.count_leases(account, current_leases)

    def _begin_period(self, period: int, schema_version: int) -> None:
        """Makes the tokens earned in the last period available to grant, as whole tokens (schema version 1).

        Tokens that no holder requested are lost, unless the tenant earns less than one token per period.
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
        earned_tokens = min(self.tokens + (self.period_tokens if keeps_unused else 0.0), period_share + 1)
        if self.leased_burst > MIN_TOKENS:  # leases of version 2 may still be in use
            earned_tokens = min(earned_tokens, max(share * self.burst - self.leased_burst, 0.0))
        self.period_tokens = float(floor(earned_tokens + MIN_TOKENS))
        self.tokens = max(earned_tokens - self.period_tokens, 0.0)
