"""What the node gives to each of its parts: time, a name, chance, and a way to send, log and count.

It owns no state. A part must never reach past its context to a clock, a socket or another part.
"""

from random import Random
from typing import Protocol

from msgspec import Struct

from cartdeal.fleet.events import LogEvent


class NodeContext(Protocol):
    """What a part may use. `now`: local monotonic seconds of the event; `wall`: the fleet's time."""

    now: float
    wall: float
    name: str
    incarnation: int
    address: str
    random: Random

    def send(self, recipient: str, message: Struct) -> None: ...
    def log_event(self, event: LogEvent) -> None: ...
    def increment(self, counter: str, by: int = 1) -> None: ...
