"""The budget that all connections of an agent share: their number, and the memory of what comes on them.

Each connection may hold a few small messages. What it holds beyond that it claims from the budget with its
MemoryClaim, before the bytes come where that is possible. A peer can so not make the agent go over its
memory limit, whichever part of a message it makes long and however many messages it sends ahead.
"""

from gevent.event import Event

CONNECTION_ALLOWANCE_BYTES = 12 * 1024  # held by each connection without a claim


class ConnectionBudget:
    """Limits the number of connections, and the memory of what is received and written on them.

    At the limit of connections, `closers` are called in order to close idle ones. `capacity_freed` is set
    when a connection is closed or becomes idle.
    """

    def __init__(self, max_connections: int, message_bytes: int):
        """`message_bytes`: the memory that connections may claim, beside the allowance of each."""
        self.max_connections = max_connections
        self.connection_count = 0
        self.closers = []
        self.capacity_freed = Event()
        # Not claimed by any connection. Below 0 while unread answers exceed the budget; see MemoryClaim.
        self.free_message_bytes = message_bytes

    def acquire(self, spare_count: int = 0) -> bool:
        """Reserves a connection and leaves `spare_count` free; false if none can be made available."""
        while self.connection_count + spare_count >= self.max_connections:
            if not any(close() for close in self.closers):
                return False
        self.connection_count += 1
        return True

    def release(self):
        """Returns the reservation of a connection."""
        self.connection_count -= 1
        self.capacity_freed.set()


class MemoryClaim:
    """The memory that one connection holds, in bytes, and its claim on the budget for it."""

    def __init__(self, budget: ConnectionBudget | None):
        """Without a budget everything is granted."""
        self.budget = budget
        self.held_bytes = 0
        self.claimed_bytes = 0  # the part of `held_bytes` above the allowance

    def grow(self, byte_count: int) -> bool:
        """Adds to the held bytes; false, with nothing added, if the budget has too few left."""
        growth = self.claim_for(self.held_bytes + byte_count) - self.claimed_bytes
        if self.budget and growth > max(0, self.budget.free_message_bytes):
            return False
        self.change(byte_count)
        return True

    def change(self, byte_count: int):
        """Adds to the held bytes, or subtracts, whatever the budget has left.

        For what is held already, such as an answer that the peer does not read: it leaves less for others.
        """
        self.held_bytes += byte_count
        claim = self.claim_for(self.held_bytes)
        if self.budget:
            self.budget.free_message_bytes -= claim - self.claimed_bytes
        self.claimed_bytes = claim

    def release(self):
        """Returns all of it; nothing is claimed afterwards."""
        self.change(-self.held_bytes)
        self.budget = None

    @staticmethod
    def claim_for(held_bytes: int) -> int:
        """The claim of a connection that holds this many bytes."""
        return max(0, held_bytes - CONNECTION_ALLOWANCE_BYTES)
