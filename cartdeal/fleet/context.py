"""What the node gives to each of its parts: time, a name, chance, and a way to send, log and count.

It owns no state. A part must never reach past its context to a clock, a socket or another part.
"""

from random import Random
from typing import Protocol

from msgspec import Struct

from cartdeal.fleet.events import LogEvent


class NodeContext(Protocol):
    """What a part may use."""

    now: float  # local monotonic seconds of the event
    wall: float  # the fleet's time, seconds
    name: str  # this agent's
    incarnation: int  # this start of the agent; a later start has a greater one
    address: str  # "host:port" of this agent, as peers reach it
    random: Random  # seeded: the same events lead to the same effects

    def send(self, recipient: str, message: Struct) -> None:
        """Send a message to a peer; it may be lost."""

    def log_event(self, event: LogEvent) -> None:
        """Write an event to the agent's log."""

    def increment(self, counter: str, by: int = 1) -> None:
        """Add to a counter; see metrics.py."""
