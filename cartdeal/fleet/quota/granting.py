"""How an owner divides its token bucket among holders: the size and kind of each lease.

It is pure, as the bucket is. A granter must never grant more than the bucket has free: tokens come out of the
bucket, rates and bursts out of what other holders have not leased.
"""

from math import floor, inf
from typing import NamedTuple

from msgspec import Struct

from cartdeal.fleet.quota.messages import GrantKind, LeaseRequest, RequestMode
from cartdeal.fleet.quota.rates import MIN_TOKENS, max_min_fair_shares
from cartdeal.fleet.quota.token_bucket import HolderAccount, HolderId, TokenBucket, TokenLease

RESERVED_RATE_SHARE = 1 / 16  # never leased: it refills the bucket, for new holders
LEASED_DEMAND_SHARE = 0.75  # of its demand is leased to a holder as a rate; it requests the rest as needed
BASE_RATE_SHARE = 0.05  # of the rate, divided among the active holders whatever their demand
MANY_HOLDERS = 16  # with more of them, demand is surveyed only once in an eighth of a lease
MIN_TOKENS_PER_HOLDER = 5.0  # with fewer, of burst or in a lease, tokens are granted one by one
HYSTERESIS_FACTOR = 1.5  # so much more is needed to return from single tokens to refill rates


class LeaseGrant(Struct):
    """What an owner grants in answer to one request."""

    lease_number: int = 0
    kind: GrantKind = GrantKind.NONE
    rate: float = 0.0  # tokens per second, from now on
    burst: float = 0.0  # tokens that the lease can hold
    tokens: float = 0.0  # granted at once
    lease_s: float = 0.0
    period: int = 0
    wait_s: float = 0.0  # after which to request more


class _Headroom(NamedTuple):
    """What the owner's share leaves for one holder."""

    rate: float  # the owner's share
    unleased_rate: float  # not leased to others
    burst: float  # the owner's share
    unleased_burst: float  # not leased to others
    held_burst: float  # leased to this holder already
    interim_cap: float  # tokens that the holder's lease can hold until the response arrives


class _HolderRank(NamedTuple):
    """Order of preference for parts of a token: first who was served least lately."""

    served_rate: float
    name: str


class LeaseGranter:
    """Grants leases from one token bucket."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.active_holders = 0
        self.surveyed_at = -inf
        self.fair_rate = inf  # the greatest rate that max-min fairness gives any holder
        self.total_wanted_rate = 0.0
        self.grants_single_tokens = False
        self._preferred: _HolderRank | None = None  # for parts of a token
        self._preferred_since = -inf

    def grant(
        self,
        holder_id: HolderId,
        account: HolderAccount,
        request: LeaseRequest,
        now: float,
        lease_number: int,
    ) -> LeaseGrant:
        """Grants a lease to a holder; the bucket has been advanced to `now` and its ring is proven.

        Whatever the holder leased before counts no more, except the lease that the request names.
        """
        bucket = self.bucket
        account.sequence = request.sequence
        account.demand_rate = request.demand_rate
        account.heard_at = now
        in_use = [
            lease
            for lease in account.leases
            if lease.number == request.lease_number and lease.expires_at > now
        ]
        if in_use and bucket.schema_version != 1:
            in_use[0].burst = min(in_use[0].burst, request.lease_cap)
        bucket.count_leases(account, in_use)
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
        if self.active_holders <= MANY_HOLDERS or now - self.surveyed_at >= bucket.lease_s / 8:
            self._survey_demand(now, headroom.rate)
        if self.grants_single_tokens or request.mode != RequestMode.ANY:
            grant = self._single_tokens(holder_id.name, request, headroom)
        else:
            grant = self._refill_rate(account, request, headroom)
        if grant.tokens < request.waiting_tokens:
            grant.wait_s = self._wait_s(grant, share, headroom.rate)
        if grant.kind != GrantKind.NONE:
            left_burst = headroom.unleased_burst - max(headroom.held_burst, grant.burst)
            bucket.tokens = max(min(bucket.tokens - grant.tokens, left_burst), 0.0)
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
        """Seconds after which the bucket may have more, for a holder that got less than it needs."""
        if grant.rate:
            return self.bucket.lease_s / 8
        if not rate:
            return inf
        return max(share - self.bucket.tokens, 0.01 * share) / rate

    def _wanted_rate(self, account: HolderAccount, rate: float) -> float:
        return LEASED_DEMAND_SHARE * account.demand_rate + BASE_RATE_SHARE * rate / self.active_holders

    def _survey_demand(self, now: float, rate: float) -> None:
        """Counts the active holders and computes up to which rate each may have what it wants."""
        bucket = self.bucket
        active = [account for account in bucket.accounts.values() if account.heard_at > now - bucket.lease_s]
        self.active_holders = len(active)
        self.surveyed_at = now
        wanted_rates = [self._wanted_rate(account, rate) for account in active]
        shares = max_min_fair_shares((1 - RESERVED_RATE_SHARE) * rate, wanted_rates)
        self.fair_rate = max(shares)
        self.total_wanted_rate = sum(shares)
        enough = (HYSTERESIS_FACTOR if self.grants_single_tokens else 1.0) * MIN_TOKENS_PER_HOLDER
        self.grants_single_tokens = (
            bucket.burst < enough * (self.active_holders + 1)
            or bucket.rate * bucket.lease_s < enough * self.active_holders
        )

    def _single_tokens(self, name: str, request: LeaseRequest, headroom: _Headroom) -> LeaseGrant:
        """Tokens for requests that wait: no rate, and a cap of just what is granted."""
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
        """Returns the tokens for this holder: none while the bucket has to save for a preferred one.

        A token may have to be put together from parts of several owners. If each owner served whom it heard
        first, two holders would get parts that neither can use: so all owners prefer the holder that was
        served least lately.
        """
        bucket = self.bucket
        rank = _HolderRank(request.served_rate, name)
        preferred = self._preferred
        if bucket.filled_to - self._preferred_since >= bucket.lease_s / 8:
            preferred = None
        if preferred and preferred < rank and bucket.tokens - tokens < min(1.0, unleased_burst):
            return 0.0
        if tokens < min(request.waiting_tokens, 1.0):
            if not preferred or rank <= preferred:
                self._preferred = rank
                self._preferred_since = bucket.filled_to
        elif preferred and preferred.name == name:
            self._preferred = None
            self._preferred_since = -inf
        return tokens

    def _refill_rate(self, account: HolderAccount, request: LeaseRequest, headroom: _Headroom) -> LeaseGrant:
        """A rate by demand, a cap to go with it, and what the bucket has for it at once."""
        bucket = self.bucket
        rate = min(self._wanted_rate(account, headroom.rate), self.fair_rate)
        all_tokens = request.waiting_tokens >= 1 or not headroom.held_burst
        tokens = bucket.tokens if all_tokens else bucket.tokens / 2
        useful_tokens = max(request.wanted_tokens, request.waiting_tokens)
        tokens = max(min(tokens, useful_tokens, headroom.unleased_burst - headroom.interim_cap), 0.0)
        # The cap comes out of the burst that the bucket's own tokens do not fill, so that none overflow.
        cap = rate / (self.total_wanted_rate or 1.0) * headroom.burst
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
        """Whole tokens of this period, by schema version 1; no holder takes more than half for itself."""
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
            lease_s=period_left_s / bucket.drift_factor,  # by the slowest clock, too, it ends with the period
            period=bucket.period,
        )

    def _wait_for_period_s(self, now: float, period_left_s: float) -> float:
        bucket = self.bucket
        rate = bucket.share(now) * bucket.rate
        if rate * bucket.period_s >= 1:
            return max(period_left_s, 0.0)
        return max((1 - bucket.tokens) / max(rate, 1e-6), period_left_s)
