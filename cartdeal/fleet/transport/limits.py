"""What the transport may use of the machine."""

from typing import NamedTuple


class TransportLimits(NamedTuple):
    """Bounds on the transport's connections and memory."""

    max_streams: int = 1024  # in each direction
    max_queued_bytes: int = 16 << 20  # of messages that wait for a stream
    max_partial_bytes: int = 16 << 20  # of messages that have come in part
