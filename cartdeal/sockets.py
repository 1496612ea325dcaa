"""Binds sockets to the agent's own addresses, for the agent and for the fleet."""

from gevent import socket


class BindError(Exception):
    """The agent cannot listen on one of its own addresses."""


def bind_socket(kind: int, address: tuple[str, int], backlog: int = 0) -> socket.socket:
    """Returns a socket of this kind (`SOCK_STREAM`, `SOCK_DGRAM`) bound to the address.

    It listens if a `backlog` is given.

    Raises:
        BindError: the socket cannot be bound to the address.
    """
    sock = None
    try:
        sock = socket.socket(socket.AF_INET, kind)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        if backlog:
            sock.listen(backlog)
    except OSError as error:
        if sock:
            sock.close()
        raise BindError(f"can't listen on {address[0]}:{address[1]}: {error.strerror}") from None
    return sock
