"""The requests and returns that a holder has yet to send, grouped by owner."""

from cartdeal.fleet.quota.messages import LeaseRequest, LeaseReturn


class LeaseOutbox:
    """Collects the requests and returns of one event, so that each owner gets as few messages as possible."""

    def __init__(self) -> None:
        self._pending: dict[str, tuple[list[LeaseRequest], list[LeaseReturn]]] = {}

    def __bool__(self) -> bool:
        return bool(self._pending)

    def add_request(self, owner: str, request: LeaseRequest) -> None:
        """Queues a request for an owner."""
        requests, _ = self._for_owner(owner)
        requests.append(request)

    def add_return(self, owner: str, lease_return: LeaseReturn) -> None:
        """Queues a return for an owner."""
        _, returns = self._for_owner(owner)
        returns.append(lease_return)

    def next_owner(self) -> str:
        """Returns the owner that has been pending longest. Raises StopIteration if the outbox is empty."""
        return next(iter(self._pending))

    def pop(self, owner: str) -> tuple[list[LeaseRequest], list[LeaseReturn]]:
        """Removes and returns an owner's pending requests and returns. Raises KeyError if it has none."""
        return self._pending.pop(owner)

    def _for_owner(self, owner: str) -> tuple[list[LeaseRequest], list[LeaseReturn]]:
        return self._pending.setdefault(owner, ([], []))
