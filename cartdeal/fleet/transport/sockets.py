"""Opens the fleet's sockets and looks whether a peer has closed one."""

from gevent import socket

from cartdeal.sockets import BindError, bind_socket

CONNECT_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 1024  # connections that wait to be accepted
BIND_ATTEMPTS = 20  # tries to find one port for both kinds of socket


def open_listeners(address: tuple[str, int]) -> tuple[socket.socket, socket.socket]:
    """Binds a socket for datagrams and one that listens for streams, on one port.

    Port 0 takes one that is free for both. Raises BindError.
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
    datagrams.settimeout(0.0)  # what is sent in the middle of an event must never wait
    return datagrams, listener


def connect(address: tuple[str, int]) -> socket.socket:
    """Opens a stream to a peer. Raises OSError, also after CONNECT_TIMEOUT_S."""
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
    """Whether the peer has closed the stream: what is first written after that would be lost silently."""
    sock.settimeout(0.0)
    try:
        # A peer sends nothing on a stream that it accepted; one that does is not of this program.
        return sock.recv(1) is not None
    except BlockingIOError:
        return False
    except OSError:
        return True
