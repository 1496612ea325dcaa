"""Sockets at addresses of the agent's own, for the agent and the fleet alike."""

from gevent import socket


class BindError(Exception):
    """An address of the agent's own can't be had."""


def bind_socket(kind: int, address: tuple[str, int], backlog: int = 0) -> socket.socket:
    """A socket of this kind (`SOCK_STREAM`, `SOCK_DGRAM`) at the address; one that listens, with a `backlog`.

    Raises BindError where the address can't be had.
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
