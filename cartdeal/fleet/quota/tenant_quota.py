"""What a holder knows of one tenant: its leases, the state of its requests to owners, and its demand.

It is pure: it sends nothing and reads no clock; all times are seconds on the agent's own monotonic clock. It
must never give a token from a lease that has expired.
"""

from collections import deque
from math import inf
from typing import NamedTuple

from cartdeal.fleet.quota.messages import GrantKind, LeaseResponse
from cartdeal.fleet.quota.rates import MIN_TOKENS, RateMeter


class WaitingRequest(NamedTuple):
    """A request that waits for a token."""

    ticket: int
    deadline: float


class HeldLease:
    """A lease in use at this agent, with the token bucket that it fills.

    Args:
        owner_incarnation: of the owner that granted it.
        response: by which it was granted.
        requested_at: when the request was sent; from then on the lease counts.
        expires_at: when it may be used no longer.
    """

    def __init__(
        self, owner_incarnation: int, response: LeaseResponse, requested_at: float, expires_at: float
    ) -> None:
        self.owner_incarnation = owner_incarnation
        self.number = response.lease_number
        self.kind = response.kind
        self.period = response.period
        self.rate = response.rate
        self.cap = response.burst
        self.interim_cap = inf  # a lower cap while a request for more is pending
        self.tokens = 0.0
        self.refilled_at = requested_at
        self.requested_at = requested_at
        self.expires_at = expires_at

    def refill(self, now: float) -> None:
        """Adds the tokens that its rate earned since the last refill, up to the cap."""
        if self.rate and now > self.refilled_at:
            cap = max(self.tokens, min(self.cap, self.interim_cap))
            self.tokens = min(self.tokens + self.rate * (now - self.refilled_at), cap)
        self.refilled_at = max(self.refilled_at, now)


class OwnerExchange:
    """The state of the requests to one owner for one tenant."""

    def __init__(self) -> None:
        self.pending_sequence = 0  # of the request that waits for a response; 0: none
        self.requested_at = -inf
        self.is_silent = False  # the last response took longer than requests may wait
        self.may_have_more = False  # the owner granted all that was requested


class TenantQuota:
    """One tenant's leases and demand at this agent."""

    def __init__(self, tenant: str, lease_s: float) -> None:
        self.tenant = tenant
        self.key = f"u/{tenant}".encode()
        self.demand = RateMeter(lease_s)
        self.served = RateMeter(2 * lease_s)
        self.leases: dict[str, HeldLease] = {}  # by owner
        self.exchanges: dict[str, OwnerExchange] = {}  # by owner
        self.waiting: deque[WaitingRequest] = deque()  # changed by AdmissionQueue alone
        self.used_at = -inf  # when a request came last
        self.certain_at = -inf  # when an owner last said for certain what there is
        self.requested_at = -inf  # when any owner was last requested
        self.renewal_at = inf
        self.exhausted_until = -inf  # until then requests without a token are rejected at once
        self.retry_after_s = 0.0  # the least wait of the owners' last responses; 0: none
        self.latest_kind: int = GrantKind.NONE

    @property
    def low_tokens(self) -> float:
        """With fewer tokens than this, more are requested before a request has to wait."""
        if self.latest_kind == GrantKind.SINGLE_TOKEN:
            return 0.0
        return max(1.0, sum(lease.cap for lease in self.leases.values()) / 4)

    def refill(self, now: float) -> float:
        """Drops expired leases, refills the others, and returns the tokens that may be used now."""
        total = 0.0
        for owner, lease in list(self.leases.items()):
            if now >= lease.expires_at:
                del self.leases[owner]
            else:
                lease.refill(now)
                total += lease.tokens
        return total

    def is_exhausted(self, now: float) -> bool:
        """Whether owners asked to come back later and there is less than a token."""
        if not self.retry_after_s or self.latest_kind == GrantKind.SINGLE_TOKEN:
            return False
        return self.refill(now) < 1

    def take_token(self, now: float) -> bool:
        """Takes one token, from several leases where none has a whole one; returns whether there was one."""
        if self.refill(now) < 1 - MIN_TOKENS:
            return False
        missing = 1.0
        for lease in sorted(self.leases.values(), key=lambda lease: -lease.tokens):
            part = min(lease.tokens, missing)
            lease.tokens -= part
            missing -= part
            if missing <= 0:
                break
        return True

    def has_pending_request(self, since: float) -> bool:
        """Whether an owner that is not silent was requested after `since` and has not responded."""
        return any(
            exchange.pending_sequence and not exchange.is_silent and exchange.requested_at > since
            for exchange in self.exchanges.values()
        )

    def retain_exchanges(self, owners: tuple[str, ...]) -> None:
        """Drops the exchanges with agents that are no owners any more, unless a response is pending."""
        self.exchanges = {
            name: exchange
            for name, exchange in self.exchanges.items()
            if name in owners or exchange.pending_sequence
        }
