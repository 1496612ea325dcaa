"""The owner's side of the lease protocol: grants leases from the token buckets of the limits it owns.

The owner side keeps the buckets and the history of rings. It must never grant a part of a limit that another
agent may still grant: so it grants only while its lease on the ring is valid, and only the smallest of its
shares in all rings that were in force within the last fence_s seconds.
"""

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.quota.granting import LeaseGranter
from cartdeal.fleet.quota.messages import (
    MAX_TENANTS_PER_MESSAGE,
    MAX_TOKENS,
    LeaseRequest,
    LeaseRequestBatch,
    LeaseResponse,
    LeaseReturn,
    are_valid_amounts,
)
from cartdeal.fleet.quota.ownership import OwnershipHistory
from cartdeal.fleet.quota.token_bucket import HolderId, TokenBucket
from cartdeal.fleet.ring.placement import owners
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

FENCE_MARGIN_LEASES = 0.1  # lease durations added to the fence to cover rounding


class LeaseOwner:
    """Grants leases of the limits that this agent is an owner of."""

    def __init__(
        self, context: NodeContext, settings: FleetSettings, has_valid_lease: Callable[[], bool]
    ) -> None:
        self.context = context
        self.settings = settings
        self.has_valid_lease = has_valid_lease  # whether the lease on the current ring is valid
        self.incarnation = context.incarnation
        self.started_at = context.now
        # A former owner may rely on its ring for one lease, and its last grant lasts for another; its clock
        # may be the slowest.
        fence_s = settings.lease_s * (2 + 4 * settings.clock_drift + FENCE_MARGIN_LEASES)
        self.history = OwnershipHistory(context.now, fence_s, self._share_in)
        self.schema_version = settings.reads[0]
        self.granters: dict[str, LeaseGranter] = {}  # by tenant; at most one per configured limit
        self._has_ring = False
        self._last_lease_number = 0
        self._tenants_to_clean: list[str] = []

    # Events

    def on_ring_changed(self, ring: Ring, former: Ring | None, since: float) -> None:
        """Adds a ring to the history; `former` is the ring of the previous epoch, None if unknown."""
        self._has_ring = True
        self.history.learn(ring, former, max(since, self.context.now))

    def set_schema_version(self, version: int) -> None:
        """Sets the schema version that the fleet writes; each bucket follows at the end of its period."""
        self.schema_version = 1 if version < 2 else 2

    def update_limits(self, settings: FleetSettings) -> None:
        """Applies new limits to the buckets."""
        self.settings = settings
        now = self.context.now
        for tenant in self.granters:
            # A tenant whose limit was removed keeps its bucket: the limit may return while leases are in use.
            if tenant in settings.limits:
                self.granter(tenant, now).bucket.set_limit(settings.limits[tenant])

    def confirm_ring(self, now: float) -> bool:
        """Returns whether the lease on the current ring is valid, and if so records that in the history."""
        is_ring_confirmed = self._has_ring and self.has_valid_lease()
        if is_ring_confirmed:
            self.history.confirm(now)
        return is_ring_confirmed

    def remove_idle_accounts(self, now: float) -> None:
        """Removes idle accounts from one bucket, in turn with each call."""
        if not self.granters:
            return
        if not self._tenants_to_clean:
            self._tenants_to_clean = list(self.granters)
        granter = self.granters.get(self._tenants_to_clean.pop())
        if granter is not None:
            granter.bucket.remove_idle_accounts(now)

    # Messages

    def on_batch(self, sender: str, batch: LeaseRequestBatch, now: float) -> tuple[LeaseResponse, ...]:
        """Applies a holder's returns and answers its requests."""
        is_ring_confirmed = self.confirm_ring(now)
        names_current_leases = batch.owner_incarnation == self.incarnation
        holder_id = HolderId(sender, batch.incarnation)
        for lease_return in batch.returns[:MAX_TENANTS_PER_MESSAGE]:
            if names_current_leases:
                self.on_return(holder_id, lease_return, now)
        responses = []
        for request in batch.requests[:MAX_TENANTS_PER_MESSAGE]:
            response = self._on_request(holder_id, names_current_leases, request, is_ring_confirmed, now)
            if response is not None:
                responses.append(response)
        return tuple(responses)

    def on_return(self, holder_id: HolderId, lease_return: LeaseReturn, now: float) -> None:
        """Ends a holder's leases of one tenant and takes back tokens; drops a repeated or late return."""
        granter = self.granters.get(lease_return.tenant)
        account = None
        if granter is not None and are_valid_amounts(lease_return.tokens):
            account = granter.bucket.accounts.get(holder_id)
        if granter is None or account is None or lease_return.sequence <= account.sequence:
            self.context.increment(Metric.DROPPED_OLD_LEASE_RETURN)
            return
        self.granter(lease_return.tenant, now)
        account.sequence = lease_return.sequence
        granter.bucket.take_back(account, lease_return.lease_number, lease_return.tokens, now)

    def _on_request(
        self,
        holder_id: HolderId,
        names_current_leases: bool,
        request: LeaseRequest,
        is_ring_confirmed: bool,
        now: float,
    ) -> LeaseResponse | None:
        lease_s = self.settings.lease_s
        if request.tenant not in self.settings.limits or not _has_valid_amounts(request):
            self.context.increment(Metric.DROPPED_LEASE_REQUEST)
            return LeaseResponse(request.tenant, request.sequence, False, wait_s=lease_s)
        if not is_ring_confirmed:
            return LeaseResponse(request.tenant, request.sequence, False, wait_s=lease_s / 4)
        granter = self.granter(request.tenant, now)
        if not granter.bucket.share(now):
            return LeaseResponse(request.tenant, request.sequence, False, wait_s=lease_s / 4)
        account = granter.bucket.account(holder_id)
        if request.sequence <= account.sequence:
            self.context.increment(Metric.DROPPED_OLD_LEASE_REQUEST)
            return None
        if not names_current_leases:
            request = replace(request, lease_number=0)
        self._last_lease_number += 1
        grant = granter.grant(holder_id, account, request, now, self._last_lease_number)
        return LeaseResponse(
            tenant=request.tenant,
            sequence=request.sequence,
            certain=True,
            lease_number=grant.lease_number,
            kind=grant.kind,
            rate=grant.rate,
            burst=grant.burst,
            tokens=grant.tokens,
            lease_s=grant.lease_s,
            period=grant.period,
            wait_s=min(grant.wait_s, MAX_TOKENS),
        )

    # Buckets

    def granter(self, tenant: str, now: float) -> LeaseGranter:
        """Returns a tenant's granter, with its bucket advanced to `now`, or to when the lease was last valid.

        Raises KeyError for a tenant that has neither a bucket nor a limit.
        """
        granter = self.granters.get(tenant)
        if granter is None:
            limit = self.settings.limits[tenant]
            key = f"u/{tenant}".encode()
            bucket = TokenBucket(key, limit, self.history, self.settings, self.schema_version)
            granter = self.granters[tenant] = LeaseGranter(bucket)
        period_s = self.settings.period_s
        period = int((now - self.started_at) / period_s)
        granter.bucket.advance(now, period, self.started_at + period * period_s, self.schema_version)
        return granter

    def metrics(self) -> dict[str, Any]:
        """Returns by tenant the leased rate and burst, and the rate and tokens that are left to lease."""
        now = self.context.now
        leased_by_tenant: dict[str, dict[str, float]] = {}
        available_by_tenant: dict[str, dict[str, float]] = {}
        for tenant, granter in self.granters.items():
            bucket = granter.bucket
            tokens = bucket.period_tokens if bucket.schema_version == 1 else bucket.tokens
            free_rate = max(bucket.share(now) * bucket.rate - bucket.leased_rate, 0.0)
            leased_by_tenant[tenant] = {
                "rate": round(bucket.leased_rate, 3),
                "burst": round(bucket.leased_burst, 3),
            }
            available_by_tenant[tenant] = {"rate": round(free_rate, 3), "tokens": round(tokens, 3)}
        return {"lent": leased_by_tenant, "unlent": available_by_tenant}

    def _share_in(self, ring: Ring, key: bytes) -> float:
        names = owners(ring, key, self.settings.copies)
        return 1 / len(names) if self.context.name in names else 0.0


def _has_valid_amounts(request: LeaseRequest) -> bool:
    return are_valid_amounts(
        request.lease_cap,
        request.interim_cap,
        request.returned_tokens,
        request.waiting_tokens,
        request.wanted_tokens,
        request.demand_rate,
        request.served_rate,
    )
