"""Requests and returns that a holder has still to send, by owner."""

from cartdeal.fleet.quota.messages import LeaseRequest, LeaseReturn


class LeaseOutbox:
    """Collects what one event says to each owner, so that it goes out in as few messages as possible."""

    def __init__(self) -> None:
        self._pending: dict[str, tuple[list[LeaseRequest], list[LeaseReturn]]] = {}

    def __bool__(self) -> bool:
        return bool(self._pending)

    def add_request(self, owner: str, request: LeaseRequest) -> None:
        """Adds a request to an owner."""
        requests, _ = self._for_owner(owner)
        requests.append(request)

    def add_return(self, owner: str, lease_return: LeaseReturn) -> None:
        """Adds a return to an owner."""
        _, returns = self._for_owner(owner)
        returns.append(lease_return)

    def next_owner(self) -> str:
        """Returns the owner whose requests have waited longest. Raises StopIteration if there is none."""
        return next(iter(self._pending))

    def pop(self, owner: str) -> tuple[list[LeaseRequest], list[LeaseReturn]]:
        """Takes out all that is pending for an owner. Raises KeyError if there is nothing."""
        return self._pending.pop(owner)

    def _for_owner(self, owner: str) -> tuple[list[LeaseRequest], list[LeaseReturn]]:
        return self._pending.setdefault(owner, ([], []))
