"""Limits on the resources that the transport uses."""

from typing import NamedTuple


class TransportLimits(NamedTuple):
    """Bounds on the transport's connections and memory."""

    max_streams: int = 1024  # in each direction
    max_queued_bytes: int = 16 << 20  # of messages queued for streams
    max_partial_bytes: int = 16 << 20  # received bytes of incomplete messages
