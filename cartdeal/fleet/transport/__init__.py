"""Applies the node's effects on sockets, and brings peers' messages to it as events.

Owns the fleet's sockets: datagrams and a listener on one port, and one stream to each peer that there are
messages for. It must never let an event in while another is being handled, wait for a peer in the middle of
one, or let a bad peer cost more than its own connection. What finds no room is dropped and counted: the
node's parts send it again, or recover without it.
"""

from cartdeal.fleet.transport.limits import TransportLimits
from cartdeal.fleet.transport.peer_transport import PeerTransport

__all__ = ["PeerTransport", "TransportLimits"]
