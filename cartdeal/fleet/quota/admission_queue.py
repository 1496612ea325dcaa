"""The requests of all tenants that wait for a token."""

from cartdeal.fleet.quota.tenant_quota import TenantQuota, WaitingRequest


class AdmissionQueue:
    """Waiting requests, first come first served within each tenant.

    It must never lose a request: each that is added is taken out once, to be served or rejected.
    """

    def __init__(self) -> None:
        self._tenants: dict[str, TenantQuota] = {}  # those with requests that wait, in the order of arrival
        self.length = 0  # of all tenants' queues together; read on each request, so a plain attribute

    def add(self, quota: TenantQuota, ticket: int, deadline: float) -> None:
        """Adds a request at the end of its tenant's queue."""
        quota.waiting.append(WaitingRequest(ticket, deadline))
        self.length += 1
        self._tenants[quota.tenant] = quota

    def pop(self, quota: TenantQuota) -> int:
        """Takes out a tenant's first request and returns its ticket. Raises IndexError if none waits."""
        ticket = quota.waiting.popleft().ticket
        self.length -= 1
        if not quota.waiting:
            self._tenants.pop(quota.tenant, None)
        return ticket

    def tenants(self) -> list[TenantQuota]:
        """The tenants with requests that wait."""
        return list(self._tenants.values())
