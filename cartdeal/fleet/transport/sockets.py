"""Opens the fleet's sockets and checks whether a peer has closed a stream."""

from gevent import socket

from cartdeal.sockets import BindError, bind_socket

CONNECT_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 1024  # connections that may wait to be accepted
BIND_ATTEMPTS = 20  # attempts to find a port that is free for both kinds of socket


def open_listeners(address: tuple[str, int]) -> tuple[socket.socket, socket.socket]:
    """Binds a datagram socket and a listening stream socket on the same port.

    Port 0 chooses a port that is free for both. Returns the datagram socket and the listener. Raises
    BindError.
    """
    for attempts_left in reversed(range(BIND_ATTEMPTS if address[1] == 0 else 1)):
        listener = bind_socket(socket.SOCK_STREAM, address)
        try:
            datagrams = bind_socket(socket.SOCK_DGRAM, (address[0], listener.getsockname()[1]))
        except BindError:
            listener.close()
            if not attempts_left:
                raise
            continue
        break
    listener.listen(LISTEN_BACKLOG)
    datagrams.settimeout(0.0)  # non-blocking: a send during an event must never wait
    return datagrams, listener


def connect(address: tuple[str, int]) -> socket.socket:
    """Opens a stream to a peer. Raises OSError, also if that takes longer than CONNECT_TIMEOUT_S."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return sock


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the peer has closed the stream, in which case the next write would be lost silently."""
    sock.settimeout(0.0)
    try:
        # A peer never sends on a stream that it has accepted; one that does is no agent.
        return sock.recv(1) is not None
    except BlockingIOError:
        return False
    except OSError:
        return True
