"""The queue of requests that wait for a token, for all tenants."""

from cartdeal.fleet.quota.tenant_quota import TenantQuota, WaitingRequest


class AdmissionQueue:
    """Holds the waiting requests; each tenant's requests are in order of arrival.

    Every request that is added must be popped exactly once, to be served or denied.
    """

    def __init__(self) -> None:
        self._tenants: dict[str, TenantQuota] = {}  # only tenants with waiting requests, in order of arrival
        self.length = 0  # of all queues; a plain attribute because each request reads it

    def add(self, quota: TenantQuota, ticket: int, deadline: float) -> None:
        """Appends a request to its tenant's queue."""
        quota.waiting.append(WaitingRequest(ticket, deadline))
        self.length += 1
        self._tenants[quota.tenant] = quota

    def pop(self, quota: TenantQuota) -> int:
        """Removes a tenant's oldest request and returns its ticket. Raises IndexError if there is none."""
        ticket = quota.waiting.popleft().ticket
        self.length -= 1
        if not quota.waiting:
            self._tenants.pop(quota.tenant, None)
        return ticket

    def tenants(self) -> list[TenantQuota]:
        """Returns the tenants that have waiting requests."""
        return list(self._tenants.values())
