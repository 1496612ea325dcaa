"""How an owner divides its token bucket among holders: the size and kind of each lease.

The module does no I/O and reads no clock. A granter must never grant more than the bucket has available:
tokens are taken from the bucket, rates and bursts from what other holders have not leased.
"""

from math import floor, inf
from typing import NamedTuple

from msgspec import Struct

from cartdeal.fleet.quota.messages import GrantKind, LeaseRequest, RequestMode
from cartdeal.fleet.quota.rates import MIN_TOKENS, max_min_fair_shares
from cartdeal.fleet.quota.token_bucket import HolderAccount, HolderId, TokenBucket, TokenLease

RESERVED_RATE_SHARE = 1 / 16  # of the rate; never leased, it refills the bucket for new holders
LEASED_DEMAND_SHARE = 0.75  # of a holder's demand is leased as a rate; it requests the rest as needed
BASE_RATE_SHARE = 0.05  # of the rate, divided equally among active holders regardless of demand
MAX_HOLDERS_SURVEYED_PER_REQUEST = 16  # with more, demand is surveyed once every eighth of a lease
# If the burst, or the tokens of one lease duration, give each holder fewer than this, tokens are granted only
# for waiting requests.
MIN_TOKENS_PER_HOLDER = 5.0
# MIN_TOKENS_PER_HOLDER is multiplied by this while tokens are granted only for waiting requests, so that the
# kind of lease does not change back at once.
HYSTERESIS_FACTOR = 1.5


class LeaseGrant(Struct):
    """What an owner grants in answer to one request."""

    lease_number: int = 0
    kind: GrantKind = GrantKind.NONE
    rate: float = 0.0  # tokens per second, from now on
    burst: float = 0.0  # tokens that the lease can hold
    tokens: float = 0.0  # granted at once
    lease_s: float = 0.0
    period: int = 0
    wait_s: float = 0.0  # the holder may request more after this time


class _Headroom(NamedTuple):
    """The part of the owner's share that is available to one holder."""

    rate: float  # the owner's share of the limit's rate
    unleased_rate: float  # the rate that is not leased to other holders
    burst: float  # the owner's share of the limit's burst
    unleased_burst: float  # the burst that is not leased to other holders
    held_burst: float  # the burst that is already leased to this holder
    interim_cap: float  # cap of the holder's current lease until the response arrives


class _HolderRank(NamedTuple):
    """Orders holders that compete for fractions of a token: the lowest recent served rate first."""

    served_rate: float
    name: str


class LeaseGranter:
    """Grants leases from one token bucket."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.active_holders = 0
        self.surveyed_at = -inf
        self.fair_rate = inf  # the highest rate that max-min fairness gives to any holder
        self.total_fair_rate = 0.0
        self.grants_single_tokens = False
        self._preferred_holder: _HolderRank | None = None  # the bucket saves fractions of a token for it
        self._preferred_holder_since = -inf

    def grant(
        self,
        holder_id: HolderId,
        account: HolderAccount,
        request: LeaseRequest,
        now: float,
        lease_number: int,
    ) -> LeaseGrant:
        """Grants a lease to a holder.

        The bucket must be advanced to `now`, and the lease on this agent's ring must be valid. The holder's
        earlier leases are no longer counted, except the one that the request names.
        """
        bucket = self.bucket
        account.sequence = request.sequence
        account.demand_rate = request.demand_rate
        account.requested_at = now
        leases_in_use = [
            lease
            for lease in account.leases
            if lease.number == request.lease_number and lease.expires_at > now
        ]
        if leases_in_use and bucket.schema_version != 1:
            leases_in_use[0].burst = min(leases_in_use[0].burst, request.lease_cap)
        bucket.count_leases(account, leases_in_use)
        if bucket.schema_version == 1:
            return self._grant_period_tokens(holder_id, account, request, now, lease_number)
        return self._grant_lease(holder_id, account, request, now, lease_number)

    def _grant_lease(
        self,
        holder_id: HolderId,
        account: HolderAccount,
        request: LeaseRequest,
        now: float,
        lease_number: int,
    ) -> LeaseGrant:
        bucket = self.bucket
        share = bucket.share(now)
        headroom = self._headroom(account, request, share)
        if account.leases:
            bucket.tokens += request.returned_tokens
        bucket.tokens = max(min(bucket.tokens, headroom.unleased_burst - headroom.held_burst), 0.0)
        if (
            self.active_holders <= MAX_HOLDERS_SURVEYED_PER_REQUEST
            or now - self.surveyed_at >= bucket.lease_s / 8
        ):
            self._survey_demand(now, headroom.rate)
        if self.grants_single_tokens or request.mode != RequestMode.ANY:
            grant = self._single_tokens(holder_id.name, request, headroom)
        else:
            grant = self._refill_rate(account, request, headroom)
        if grant.tokens < request.waiting_tokens:
            grant.wait_s = self._wait_s(grant, share, headroom.rate)
        if grant.kind != GrantKind.NONE:
            remaining_burst = headroom.unleased_burst - max(headroom.held_burst, grant.burst)
            bucket.tokens = max(min(bucket.tokens - grant.tokens, remaining_burst), 0.0)
            grant.lease_number = lease_number
            grant.lease_s = bucket.lease_s
            lease = TokenLease(lease_number, grant.rate, grant.burst, now + bucket.counted_lease_s)
            bucket.add_lease(holder_id, account, lease)
        return grant

    def _headroom(self, account: HolderAccount, request: LeaseRequest, share: float) -> _Headroom:
        bucket = self.bucket
        rate = share * bucket.rate
        burst = share * bucket.burst
        return _Headroom(
            rate=rate,
            unleased_rate=rate - (bucket.leased_rate - account.rate),
            burst=burst,
            unleased_burst=burst - (bucket.leased_burst - account.burst),
            held_burst=account.burst,
            interim_cap=min(request.interim_cap, request.lease_cap) if account.leases else 0.0,
        )

    def _wait_s(self, grant: LeaseGrant, share: float, rate: float) -> float:
        """Returns the seconds until the bucket may have more, for a holder that got less than it needs."""
        if grant.rate:
            return self.bucket.lease_s / 8
        if not rate:
            return inf
        return max(share - self.bucket.tokens, 0.01 * share) / rate

    def _wanted_rate(self, account: HolderAccount, rate: float) -> float:
        return LEASED_DEMAND_SHARE * account.demand_rate + BASE_RATE_SHARE * rate / self.active_holders

    def _survey_demand(self, now: float, rate: float) -> None:
        """Counts the active holders, and computes the max-min fair rate that caps the rate of each lease."""
        bucket = self.bucket
        active_accounts = [
            account for account in bucket.accounts.values() if account.requested_at > now - bucket.lease_s
        ]
        self.active_holders = len(active_accounts)
        self.surveyed_at = now
        wanted_rates = [self._wanted_rate(account, rate) for account in active_accounts]
        fair_rates = max_min_fair_shares((1 - RESERVED_RATE_SHARE) * rate, wanted_rates)
        self.fair_rate = max(fair_rates)
        self.total_fair_rate = sum(fair_rates)
        min_tokens_per_holder = (
            HYSTERESIS_FACTOR if self.grants_single_tokens else 1.0
        ) * MIN_TOKENS_PER_HOLDER
        self.grants_single_tokens = (
            bucket.burst < min_tokens_per_holder * (self.active_holders + 1)
            or bucket.rate * bucket.lease_s < min_tokens_per_holder * self.active_holders
        )

    def _single_tokens(self, name: str, request: LeaseRequest, headroom: _Headroom) -> LeaseGrant:
        """Grants tokens for waiting requests only: no rate, and a cap that just fits the granted tokens."""
        wants_integers = request.mode == RequestMode.INTEGER_TOKENS
        tokens = min(
            self.bucket.tokens, request.waiting_tokens, headroom.unleased_burst - headroom.interim_cap
        )
        if wants_integers:
            tokens = floor(tokens + MIN_TOKENS)
        tokens = self._yield_to_preferred(name, request, tokens, headroom.unleased_burst)
        if tokens <= MIN_TOKENS:
            return LeaseGrant()
        return LeaseGrant(
            kind=GrantKind.PERIOD_TOKENS if wants_integers else GrantKind.SINGLE_TOKEN,
            tokens=tokens,
            burst=headroom.interim_cap + tokens,
        )

    def _yield_to_preferred(
        self, name: str, request: LeaseRequest, tokens: float, unleased_burst: float
    ) -> float:
        """Returns the tokens to grant to this holder: 0 while the bucket saves for a preferred holder.

        A holder may have to combine fractions of a token from several owners. If each owner granted to the
        holder whose request came first, two holders could get fractions that neither can use. So all owners
        prefer the holder with the lowest recent served rate.
        """
        bucket = self.bucket
        rank = _HolderRank(request.served_rate, name)
        preferred = self._preferred_holder
        if bucket.filled_to - self._preferred_holder_since >= bucket.lease_s / 8:
            preferred = None
        if preferred and preferred < rank and bucket.tokens - tokens < min(1.0, unleased_burst):
            return 0.0
        if tokens < min(request.waiting_tokens, 1.0):
            if not preferred or rank <= preferred:
                self._preferred_holder = rank
                self._preferred_holder_since = bucket.filled_to
        elif preferred and preferred.name == name:
            self._preferred_holder = None
            self._preferred_holder_since = -inf
        return tokens

    def _refill_rate(self, account: HolderAccount, request: LeaseRequest, headroom: _Headroom) -> LeaseGrant:
        """Grants a rate according to demand, a cap in proportion to it, and tokens to use at once."""
        bucket = self.bucket
        rate = min(self._wanted_rate(account, headroom.rate), self.fair_rate)
        may_take_all_tokens = request.waiting_tokens >= 1 or not headroom.held_burst
        tokens = bucket.tokens if may_take_all_tokens else bucket.tokens / 2
        useful_tokens = max(request.wanted_tokens, request.waiting_tokens)
        tokens = max(min(tokens, useful_tokens, headroom.unleased_burst - headroom.interim_cap), 0.0)
        # The cap may use only the burst that the bucket's remaining tokens do not need, so that none of them
        # is lost. Part of the burst, as large as for one more holder, stays unleased.
        cap = rate / (self.total_fair_rate or 1.0) * headroom.burst
        cap = cap * self.active_holders / (self.active_holders + 1)
        cap = max(headroom.interim_cap + tokens, min(cap, headroom.unleased_burst - (bucket.tokens - tokens)))
        rate = max(min(rate, headroom.unleased_rate), 0.0)
        if tokens <= MIN_TOKENS and (rate <= MIN_TOKENS or cap <= MIN_TOKENS):
            return LeaseGrant()
        burst = min(cap, headroom.unleased_burst)
        return LeaseGrant(kind=GrantKind.REFILL_RATE, rate=rate, burst=burst, tokens=tokens)

    def _grant_period_tokens(
        self,
        holder_id: HolderId,
        account: HolderAccount,
        request: LeaseRequest,
        now: float,
        lease_number: int,
    ) -> LeaseGrant:
        """Grants whole tokens of the current period (schema version 1).

        A holder gets what its waiting requests need, and for later demand at most half of what is available.
        """
        bucket = self.bucket
        available = int(bucket.period_tokens)
        fair_tokens = max(1, -(-available // 2))
        waiting_tokens = -int(-request.waiting_tokens // 1)
        wanted_tokens = -int(-request.wanted_tokens // 1)
        tokens = min(available, max(waiting_tokens, min(wanted_tokens, fair_tokens)))
        period_left_s = bucket.period_end - now
        if tokens < 1:
            return LeaseGrant(wait_s=self._wait_for_period_s(now, period_left_s))
        bucket.period_tokens -= tokens
        granted_before = sum(lease.period_tokens for lease in account.leases)
        bucket.count_leases(account, [lease for lease in account.leases if not lease.period_tokens])
        lease = TokenLease(lease_number, 0.0, 0.0, bucket.period_end, granted_before + tokens)
        bucket.add_lease(holder_id, account, lease)
        return LeaseGrant(
            lease_number,
            GrantKind.PERIOD_TOKENS,
            tokens=float(tokens),
            lease_s=period_left_s / bucket.drift_factor,  # it ends with the period even on the slowest clock
            period=bucket.period,
        )

    def _wait_for_period_s(self, now: float, period_left_s: float) -> float:
        bucket = self.bucket
        rate = bucket.share(now) * bucket.rate
        if rate * bucket.period_s >= 1:
            return max(period_left_s, 0.0)
        return max((1 - bucket.tokens) / max(rate, 1e-6), period_left_s)
