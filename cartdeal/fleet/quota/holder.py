"""The holder's side of the lease protocol: serves requests from leased tokens and requests more leases.

The holder owns the leases in use at this agent and the queue of requests that wait for a token. It must never
serve from an expired lease, accept a response that it does not wait for, or leave a request undecided past
its deadline.
"""

from collections import Counter
from collections.abc import Callable, Collection
from heapq import heappop, heappush
from math import inf

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.quota.admission_queue import AdmissionQueue
from cartdeal.fleet.quota.messages import (
    MAX_TENANTS_PER_MESSAGE,
    GrantKind,
    LeaseRequest,
    LeaseResponse,
    LeaseResponseBatch,
    LeaseReturn,
    RequestMode,
    are_valid_amounts,
)
from cartdeal.fleet.quota.outbox import LeaseOutbox
from cartdeal.fleet.quota.tenant_quota import HeldLease, OwnerExchange, TenantQuota
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

MIN_RETRY_AFTER_S = 0.05  # a client that retries sooner would find no token yet
IDLE_TIMEOUT_LEASES = 2  # a tenant's leases are returned after this many lease durations without a request
MIN_DEMAND_PER_PERIOD = 4  # requests per period; with fewer, most period tokens would expire unused
ALL_KINDS = (GrantKind.PERIOD_TOKENS, GrantKind.REFILL_RATE, GrantKind.SINGLE_TOKEN)

# Arguments: ticket, ok, wait_s, certain; see QuotaLeases.
OnTokenDecision = Callable[[int, bool, float, bool], None]


class LeaseHolder:
    """Decides whether requests may be served, and leases the tokens for them.

    Args:
        context: clock, name, random source and counters.
        settings: the operator's settings.
        outbox: collects the requests and returns for owners.
        send_pending: sends the content of the outbox; the responses of this agent's own owner side arrive
            before it returns.
        on_token_decision: see QuotaLeases.
    """

    def __init__(
        self,
        context: NodeContext,
        settings: FleetSettings,
        outbox: LeaseOutbox,
        send_pending: Callable[[], None],
        on_token_decision: OnTokenDecision,
    ) -> None:
        self.context = context
        self.settings = settings
        self.incarnation = context.incarnation
        self.outbox = outbox
        self.send_pending = send_pending
        self.on_token_decision = on_token_decision
        self.ring: Ring | None = None
        self.is_shutting_down = False
        self.quotas: dict[str, TenantQuota] = {}  # by tenant, for tenants with recent requests at this agent
        self.queue = AdmissionQueue()
        self.owner_incarnations: dict[str, int] = {}  # by owner, as the owner's last response gave it
        self.served: Counter[str] = Counter()  # requests by tenant
        self.denied: Counter[str] = Counter()  # requests by tenant
        self._renewals: list[tuple[float, str]] = []  # heap of due time and tenant
        self._last_sequence = 0

    # Events

    def on_ring_changed(self, ring: Ring) -> None:
        """Adopts a new ring, which determines the owners."""
        self.ring = ring
        for quota in self.quotas.values():
            quota.retain_exchanges(self._owners(quota))
        self.owner_incarnations = {
            name: incarnation
            for name, incarnation in self.owner_incarnations.items()
            if name in ring.member_by_name
        }

    def return_all_leases(self) -> None:
        """Returns all leases. Later requests are served by single tokens."""
        self.is_shutting_down = True
        for quota in list(self.quotas.values()):
            self._return_leases(quota)
        self.send_pending()

    def request_token(self, ticket: int, tenant: str, deadline: float) -> None:
        """Decides on a request now, or queues it until its deadline and requests tokens from the owners."""
        now = self.context.now
        if tenant not in self.settings.limits:
            self.served[tenant] += 1
            self.on_token_decision(ticket, True, 0.0, True)
            return
        quota = self.quotas.get(tenant)
        if quota is None:
            quota = self.quotas[tenant] = TenantQuota(tenant, self.settings.lease_s)
            self._schedule_renewal(quota, now)
        quota.demand.record(now)
        quota.used_at = now
        if not quota.waiting and quota.take_token(now):
            self._serve(quota, ticket, now)
            if quota.refill(now) < quota.low_tokens:
                self._request_more(quota, now)
            return
        is_queue_full = self.queue.length >= self.settings.most_waiting
        if self.ring is None or now < quota.exhausted_until or is_queue_full:
            if is_queue_full:
                self.context.increment(Metric.ADMISSION_QUEUE_FULL)
            self._deny(quota, ticket, now, self.ring is not None)
            return
        self.queue.add(quota, ticket, deadline)
        self._request_leases(quota, now, self._owners(quota))
        self.send_pending()
        self.serve_waiting(quota, now)
        self.send_pending()

    def on_batch(self, sender: str, batch: LeaseResponseBatch, now: float) -> None:
        """Processes an owner's responses, then serves the requests that wait for them."""
        if batch.holder_incarnation != self.incarnation:
            self.context.increment(Metric.DROPPED_OLD_INCARNATIONS_LEASE)
            return
        known_incarnation = self.owner_incarnations.get(sender, 0)
        self.owner_incarnations[sender] = max(batch.incarnation, known_incarnation)
        changed_quotas: dict[str, TenantQuota] = {}
        for response in batch.responses[:MAX_TENANTS_PER_MESSAGE]:
            if not _has_valid_amounts(response):
                continue
            changed_quota = self.on_response(sender, batch.incarnation, response, now)
            if changed_quota is not None:
                changed_quotas[changed_quota.tenant] = changed_quota
        for quota in changed_quotas.values():
            self.serve_waiting(quota, now)

    def on_tick(self, now: float) -> None:
        """Decides on requests past their deadline, and renews the leases that are due."""
        for quota in self.queue.tenants():
            self._expire_waiting(quota, now)
        while self._renewals and self._renewals[0][0] <= now:
            renewal_at, tenant = heappop(self._renewals)
            due_quota = self.quotas.get(tenant)
            if due_quota is not None and due_quota.renewal_at == renewal_at:
                self._renew(due_quota, now)

    # Decisions

    def serve_waiting(self, quota: TenantQuota, now: float) -> None:
        """Serves waiting requests from the available tokens.

        Denies the rest if no response is awaited and no owner may have more tokens.
        """
        while quota.waiting and quota.take_token(now):
            self._serve(quota, self.queue.pop(quota), now)
        if quota.has_pending_request(now - self.settings.wait_s):
            return
        if quota.waiting:
            # Owners whose last response was certain and asked for no wait may have more tokens for the
            # requests that still wait.
            names = [name for name, exchange in quota.exchanges.items() if exchange.may_have_more]
            if names:
                self._request_leases(quota, now, names)
                return
        if quota.waiting or quota.is_exhausted(now):
            pause_s = min(max(quota.retry_after_s, MIN_RETRY_AFTER_S), self.settings.lease_s / 3)
            quota.exhausted_until = now + pause_s * (1 + 0.5 * self.context.random.random())
        while quota.waiting:
            self._deny(quota, self.queue.pop(quota), now)
        self._return_unused_tokens(quota, now)

    def _serve(self, quota: TenantQuota, ticket: int, now: float) -> None:
        self.served[quota.tenant] += 1
        quota.served.record(now)
        self.on_token_decision(ticket, True, 0.0, True)

    def _deny(self, quota: TenantQuota, ticket: int, now: float, may_be_certain: bool = True) -> None:
        """Denies a request.

        The denial is certain if `may_be_certain` and a certain response came within the last lease_s.
        """
        self.denied[quota.tenant] += 1
        rate = sum(lease.rate for lease in quota.leases.values())
        if rate:
            retry_after_s = (1 - quota.refill(now)) / rate
        else:
            retry_after_s = max(quota.retry_after_s, quota.exhausted_until - now)
        # Without jitter, clients with the same wait would all retry at once.
        retry_after_s = max(retry_after_s, MIN_RETRY_AFTER_S) * (1 + 0.5 * self.context.random.random())
        is_certain = may_be_certain and now - quota.certain_at < self.settings.lease_s
        self.on_token_decision(ticket, False, retry_after_s, is_certain)

    def _expire_waiting(self, quota: TenantQuota, now: float) -> None:
        while quota.waiting and quota.waiting[0].deadline <= now:
            if quota.take_token(now):
                self._serve(quota, self.queue.pop(quota), now)
                continue
            for exchange in quota.exchanges.values():
                is_overdue = now - exchange.requested_at >= self.settings.wait_s
                if exchange.pending_sequence > 0 and is_overdue:
                    exchange.is_silent = True
            self._deny(quota, self.queue.pop(quota), now)

    # Requests to owners

    def _owners(self, quota: TenantQuota) -> tuple[str, ...]:
        return owners(self.ring, quota.key, self.settings.copies) if self.ring is not None else ()

    def _request_more(self, quota: TenantQuota, now: float) -> None:
        """Requests leases ahead of demand, at most once every eighth of a lease."""
        if now >= max(quota.exhausted_until, quota.requested_at + self.settings.lease_s / 8):
            self._request_leases(quota, now, self._owners(quota))
            self.send_pending()

    def _request_leases(self, quota: TenantQuota, now: float, names: Collection[str]) -> None:
        """Requests leases from those owners in `names` that owe no response.

        An owner whose response has been awaited for lease_s / 4 is asked again.
        """
        quota.refill(now)
        if not quota.has_pending_request(now - self.settings.wait_s):
            quota.retry_after_s = 0.0
        owner_count = len(self._owners(quota))
        for name in names:
            exchange = quota.exchanges.get(name)
            if exchange is None:
                exchange = quota.exchanges[name] = OwnerExchange()
            if exchange.pending_sequence and now < exchange.requested_at + self.settings.lease_s / 4:
                continue
            self._last_sequence += 1
            exchange.pending_sequence = self._last_sequence
            exchange.requested_at = now
            exchange.may_have_more = False
            quota.requested_at = now
            self.outbox.add_request(name, self._lease_request(quota, name, owner_count, now))

    def _lease_request(self, quota: TenantQuota, owner: str, owner_count: int, now: float) -> LeaseRequest:
        """Builds a request with the latest sequence number.

        Sets the interim cap that limits the lease in use until the response.
        """
        demand_rate = quota.demand.rate_at(now) / owner_count
        uses_periods = quota.latest_kind == GrantKind.PERIOD_TOKENS
        horizon_s = self.settings.period_s / 4 if uses_periods else self.settings.lease_s
        target_tokens = 1 / owner_count + demand_rate * horizon_s
        waiting_tokens = float(len(quota.waiting))
        served_rate = quota.served.rate_at(now)
        mode = self._request_mode()
        lease = quota.leases.get(owner)
        if lease is not None and lease.owner_incarnation != self.owner_incarnations.get(owner):
            del quota.leases[owner]
            lease = None
        if lease is None:
            return LeaseRequest(
                tenant=quota.tenant,
                sequence=self._last_sequence,
                waiting_tokens=waiting_tokens,
                wanted_tokens=target_tokens,
                demand_rate=demand_rate,
                served_rate=served_rate,
                mode=mode,
            )
        returned_tokens = 0.0
        if lease.kind == GrantKind.REFILL_RATE and not quota.waiting and lease.tokens > 2 * target_tokens:
            returned_tokens = lease.tokens - target_tokens
            lease.tokens = target_tokens
            lease.cap = target_tokens
        # Until the response arrives, the lease refills only up to interim_cap, so that the response's tokens
        # still fit under the cap that the owner counts.
        free_tokens = max(lease.cap - lease.tokens, 0.0)
        lease.interim_cap = lease.tokens + min(lease.rate * self.settings.tick_s, free_tokens / 2)
        return LeaseRequest(
            tenant=quota.tenant,
            sequence=self._last_sequence,
            lease_number=lease.number,
            lease_cap=lease.cap,
            interim_cap=lease.interim_cap,
            returned_tokens=returned_tokens,
            waiting_tokens=waiting_tokens,
            wanted_tokens=max(target_tokens - lease.tokens, 0.0),
            demand_rate=demand_rate,
            served_rate=served_rate,
            mode=mode,
        )

    def _request_mode(self) -> RequestMode:
        if self.is_shutting_down:
            return RequestMode.SINGLE_TOKEN
        return RequestMode.ANY if self.settings.reads[1] >= 2 else RequestMode.INTEGER_TOKENS

    def on_response(
        self, sender: str, incarnation: int, response: LeaseResponse, now: float
    ) -> TenantQuota | None:
        """Applies a response; returns the quota that it changed, or None if the response was not awaited."""
        quota = self.quotas.get(response.tenant)
        exchange = quota.exchanges.get(sender) if quota else None
        is_awaited = exchange and response.sequence and exchange.pending_sequence == response.sequence
        if quota is None or exchange is None or not is_awaited:
            self.context.increment(Metric.DROPPED_LATE_LEASE)
            return None
        exchange.pending_sequence = 0
        exchange.is_silent = False
        exchange.may_have_more = response.certain and not response.wait_s
        quota.refill(now)
        lease = quota.leases.get(sender)
        if lease is not None:
            lease.interim_cap = inf
        if response.certain:
            quota.certain_at = now
        if response.wait_s > 0:
            quota.retry_after_s = min(response.wait_s, quota.retry_after_s or inf)
        expires_at = exchange.requested_at + min(response.lease_s, self.settings.lease_s)
        if response.kind != GrantKind.NONE and now < expires_at:
            quota.latest_kind = response.kind
            new_lease = HeldLease(incarnation, response, exchange.requested_at, expires_at)
            _carry_over_tokens(lease, new_lease, response.tokens, now)
            quota.leases[sender] = new_lease
        return quota

    # Renewal and return

    def _schedule_renewal(self, quota: TenantQuota, now: float) -> None:
        jitter = 0.9 + 0.1 * self.context.random.random()
        quota.renewal_at = now + self.settings.lease_s / 6 * jitter
        heappush(self._renewals, (quota.renewal_at, quota.tenant))

    def _renew(self, quota: TenantQuota, now: float) -> None:
        if now - quota.used_at >= IDLE_TIMEOUT_LEASES * self.settings.lease_s and not quota.waiting:
            self._return_leases(quota)
            del self.quotas[quota.tenant]
            return
        quota.refill(now)
        has_refill_rate = any(lease.kind == GrantKind.REFILL_RATE for lease in quota.leases.values())
        if has_refill_rate and not self.is_shutting_down:
            names = [name for name in self._owners(quota) if self._is_renewal_due(quota, name, now)]
            self._request_leases(quota, now, names)
        elif not quota.waiting and not quota.has_pending_request(now - self.settings.wait_s):
            self._return_unused_tokens(quota, now)
        self._schedule_renewal(quota, now)

    def _is_renewal_due(self, quota: TenantQuota, owner: str, now: float) -> bool:
        exchange = quota.exchanges.get(owner)
        if exchange is not None and exchange.pending_sequence:
            return True
        requested_at = exchange.requested_at if exchange is not None else -inf
        lease = quota.leases.get(owner)
        is_renewable = lease is None or lease.kind == GrantKind.REFILL_RATE
        return now >= requested_at + self.settings.lease_s / 3 and is_renewable

    def _return_unused_tokens(self, quota: TenantQuota, now: float) -> None:
        """Returns single tokens that no request waits for, and period tokens that would expire unused."""
        kinds: tuple[GrantKind, ...] = (GrantKind.SINGLE_TOKEN,)
        if quota.demand.rate_at(now) * self.settings.period_s < MIN_DEMAND_PER_PERIOD:
            kinds = (GrantKind.SINGLE_TOKEN, GrantKind.PERIOD_TOKENS)
        self._return_leases(quota, kinds)

    def _return_leases(self, quota: TenantQuota, kinds: tuple[GrantKind, ...] = ALL_KINDS) -> None:
        """Returns leases of these kinds, and stops waiting for responses of their owners."""
        for owner, lease in list(quota.leases.items()):
            if lease.kind not in kinds:
                continue
            del quota.leases[owner]
            if lease.owner_incarnation == self.owner_incarnations.get(owner):
                self._last_sequence += 1
                lease_return = LeaseReturn(quota.tenant, self._last_sequence, lease.number, lease.tokens)
                self.outbox.add_return(owner, lease_return)
            exchange = quota.exchanges.get(owner)
            if exchange is not None:
                exchange.pending_sequence = 0


def _has_valid_amounts(response: LeaseResponse) -> bool:
    return are_valid_amounts(
        response.rate, response.burst, response.tokens, response.lease_s, response.wait_s
    )


def _carry_over_tokens(
    former_lease: HeldLease | None, lease: HeldLease, granted_tokens: float, now: float
) -> None:
    """Fills a new lease with the granted tokens and the tokens that remain in the owner's former lease."""
    remaining_tokens = 0.0
    if former_lease is not None and former_lease.owner_incarnation == lease.owner_incarnation:
        # Period tokens are valid in one period of their owner, and void in the next.
        is_same_period = lease.kind == GrantKind.PERIOD_TOKENS and former_lease.period == lease.period
        if former_lease.kind != GrantKind.PERIOD_TOKENS or is_same_period:
            remaining_tokens = former_lease.tokens
    lease.tokens = remaining_tokens + granted_tokens
    lease.refilled_at = now
    if lease.kind == GrantKind.PERIOD_TOKENS:
        lease.cap = lease.tokens
    lease.tokens = min(lease.tokens, lease.cap)
