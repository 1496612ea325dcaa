"""The interface that the node provides to its parts: time, identity, randomness, sending, logging, counting.

The interface holds no state. A part must use clocks, sockets and other parts only through its context.
"""

from random import Random
from typing import Protocol

from msgspec import Struct

from cartdeal.fleet.events import LogEvent


class NodeContext(Protocol):
    """The attributes and methods of the node that a part may use."""

    now: float  # time of the current event, local monotonic seconds
    wall: float  # the fleet's time, seconds
    name: str  # of this agent
    incarnation: int  # identifies this start of the agent; a later start has a greater one
    address: str  # "host:port" of this agent, as peers reach it
    random: Random  # seeded, so that the same events lead to the same effects

    def send(self, recipient: str, message: Struct) -> None:
        """Send a message to a peer; it may be lost."""

    def log_event(self, event: LogEvent) -> None:
        """Write an event to the agent's log."""

    def increment(self, counter: str, by: int = 1) -> None:
        """Add to a counter; see metrics.py."""
