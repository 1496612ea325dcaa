"""A holder's state for one tenant: its leases, its pending requests to owners, and its demand.

The module does no I/O and reads no clock; all times are seconds on the agent's own monotonic clock. It must
never give a token from a lease that has expired.
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
    """A lease in use at this agent, with its token bucket.

    Args:
        owner_incarnation: the incarnation of the owner that granted the lease.
        response: the response that granted the lease.
        requested_at: when the request was sent; the lease counts from then on.
        expires_at: when the lease may no longer be used.
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
        """Adds the tokens that the lease's rate has earned since the last refill, up to the cap."""
        if self.rate and now > self.refilled_at:
            cap = max(self.tokens, min(self.cap, self.interim_cap))
            self.tokens = min(self.tokens + self.rate * (now - self.refilled_at), cap)
        self.refilled_at = max(self.refilled_at, now)


class OwnerExchange:
    """The state of the requests to one owner for one tenant."""

    def __init__(self) -> None:
        self.pending_sequence = 0  # sequence of the request that awaits a response; 0 if none does
        self.requested_at = -inf
        self.is_silent = False  # whether a response is later than requests may wait for it
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
        self.waiting: deque[WaitingRequest] = deque()  # only AdmissionQueue changes it
        self.used_at = -inf  # when the last request came
        self.certain_at = -inf  # when an owner's last certain response came
        self.requested_at = -inf  # when the last request was sent to any owner
        self.renewal_at = inf
        self.exhausted_until = -inf  # until then a request that finds no token is denied at once
        self.retry_after_s = 0.0  # smallest `wait_s` of the owners' last responses; 0 if none gave one
        self.latest_kind: int = GrantKind.NONE

    @property
    def low_tokens(self) -> float:
        """The number of tokens below which the holder requests more, ahead of demand."""
        if self.latest_kind == GrantKind.SINGLE_TOKEN:
            return 0.0
        return max(1.0, sum(lease.cap for lease in self.leases.values()) / 4)

    def refill(self, now: float) -> float:
        """Drops expired leases, refills the others, and returns the number of tokens that may be used now."""
        total_tokens = 0.0
        for owner, lease in list(self.leases.items()):
            if now >= lease.expires_at:
                del self.leases[owner]
            else:
                lease.refill(now)
                total_tokens += lease.tokens
        return total_tokens

    def is_exhausted(self, now: float) -> bool:
        """Whether an owner gave a time to wait and less than one token is left."""
        if not self.retry_after_s or self.latest_kind == GrantKind.SINGLE_TOKEN:
            return False
        return self.refill(now) < 1

    def take_token(self, now: float) -> bool:
        """Takes one token, if need be in parts from several leases; returns whether there was one."""
        if self.refill(now) < 1 - MIN_TOKENS:
            return False
        missing_tokens = 1.0
        for lease in sorted(self.leases.values(), key=lambda lease: -lease.tokens):
            taken_tokens = min(lease.tokens, missing_tokens)
            lease.tokens -= taken_tokens
            missing_tokens -= taken_tokens
            if missing_tokens <= 0:
                break
        return True

    def has_pending_request(self, since: float) -> bool:
        """Whether a request sent after `since` to an owner that is not silent still awaits its response."""
        return any(
            exchange.pending_sequence and not exchange.is_silent and exchange.requested_at > since
            for exchange in self.exchanges.values()
        )

    def retain_exchanges(self, owners: tuple[str, ...]) -> None:
        """Drops the exchanges with agents that are no longer owners, unless a response is pending."""
        self.exchanges = {
            name: exchange
            for name, exchange in self.exchanges.items()
            if name in owners or exchange.pending_sequence
        }
