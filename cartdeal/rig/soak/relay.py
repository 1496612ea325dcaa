"""A TCP relay on loopback, which a fault can make silent or slow, or have refuse or reset connections."""

import struct
from enum import StrEnum
from math import inf
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event

LOOPBACK_HOST = "127.0.0.1"
LISTEN_BACKLOG = 512
READ_SIZE_BYTES = 16384
SLOW_DELAY_S = 0.3  # for which a slow relay holds back what one read returns
DELAYED_DATA_S = 5.0  # after a change of mode; data held back before may still come out
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset


class Mode(StrEnum):
    """What a relay does with the data and connections that it gets."""

    PASS = "pass"
    SILENT = "silent"  # data is held back, connections stay open
    SLOW = "slow"
    REFUSE = "refuse"  # new connections are reset


class Relay:
    """Listens on a loopback port and relays each connection to the target."""

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.mode, self.mode_changed = Mode.PASS, Event()
        self.changed_at = -inf
        self.sockets: set = set()
        self.listener = socket.socket()
        self.listener.bind((LOOPBACK_HOST, 0))
        self.listener.listen(LISTEN_BACKLOG)
        self.port = self.listener.getsockname()[1]
        self.accept_greenlet = gevent.spawn(self.accept)

    @property
    def address(self) -> str:
        """Host and port, as the server list writes them."""
        return f"{LOOPBACK_HOST}:{self.port}"

    def set_mode(self, mode: Mode):
        """Changes the mode, also for open connections."""
        self.mode = mode
        self.changed_at = monotonic()
        self.mode_changed.set()
        self.mode_changed.clear()

    @property
    def may_delay_data(self) -> bool:
        """Whether data that comes out of the relay may have gone in long ago."""
        return self.mode is not Mode.PASS or monotonic() < self.changed_at + DELAYED_DATA_S

    def reset_all(self):
        """Resets every connection that goes through the relay."""
        for sock in list(self.sockets):
            reset(sock)

    def accept(self):
        """Accepts connections until the listening socket is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            gevent.spawn(self.relay_connection, sock)

    def relay_connection(self, client_sock):
        """Connects to the target and passes data both ways until both directions end."""
        if self.mode is Mode.REFUSE:
            return reset(client_sock)
        server_sock = socket.socket()
        try:
            server_sock.connect(self.target)
        except OSError:
            server_sock.close()
            return reset(client_sock)
        for sock in (client_sock, server_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(sock)
        pumps = [
            gevent.spawn(self.pump, client_sock, server_sock),
            gevent.spawn(self.pump, server_sock, client_sock),
        ]
        gevent.joinall(pumps)
        for sock in (client_sock, server_sock):
            self.sockets.discard(sock)
            sock.close()

    def pump(self, source, sink):
        """Passes data on in one direction until the source ends, and passes its end on too."""
        try:
            while data := source.recv(READ_SIZE_BYTES):
                while self.mode is Mode.SILENT:
                    self.mode_changed.wait()
                if self.mode is Mode.SLOW:
                    gevent.sleep(SLOW_DELAY_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(source)
            reset(sink)

    def stop(self):
        """Stops listening and resets all connections."""
        self.accept_greenlet.kill()
        self.listener.close()
        self.set_mode(Mode.PASS)
        self.reset_all()


def reset(sock):
    """Closes a socket with a TCP reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        pass
    sock.close()
