"""The transport between agents: sends the node's messages on sockets and delivers peers' messages to it.

The package owns the fleet's sockets: one for datagrams and a listener for streams on the same port, and one
outgoing stream to each peer that messages are queued for. It must never start an event while another one is
being handled, wait for a peer during an event, or let a faulty peer cost more than its own connection. A
message that exceeds a limit is dropped and counted: the node's parts send it again, or recover without it.
"""

from cartdeal.fleet.transport.limits import TransportLimits
from cartdeal.fleet.transport.peer_transport import PeerTransport

__all__ = ["PeerTransport", "TransportLimits"]
