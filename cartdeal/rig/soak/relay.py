"""A relay of TCP on loopback, which a trouble makes silent, slow, refuse or reset what goes through it."""

import struct
from enum import StrEnum
from math import inf
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event

LOOPBACK_HOST = "127.0.0.1"
LISTEN_BACKLOG = 512
READ_SIZE_BYTES = 16384  # bytes of one read
SLOW_DELAY_S = 0.3  # seconds that a slow relay holds each piece back
DELAYED_DATA_S = 5.0  # seconds after its mode changed in which what it held back still comes out
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets


class Mode(StrEnum):
    PASS = "pass"
    SILENT = "silent"  # what is sent goes nowhere, connections stay
    SLOW = "slow"
    REFUSE = "refuse"  # new connections are reset


class Relay:
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
        return f"{LOOPBACK_HOST}:{self.port}"

    def set_mode(self, mode: Mode):
        self.mode = mode
        self.changed_at = monotonic()
        self.mode_changed.set()
        self.mode_changed.clear()

    @property
    def may_delay_data(self) -> bool:
        """Whether what comes out of it may have gone in long ago."""
        return self.mode is not Mode.PASS or monotonic() < self.changed_at + DELAYED_DATA_S

    def reset_all(self):
        """Resets every connection that goes through it."""
        for sock in list(self.sockets):
            reset(sock)

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            gevent.spawn(self.relay_connection, sock)

    def relay_connection(self, client_sock):
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
        """Passes on what comes until one side ends; its end is passed on, too."""
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
        self.accept_greenlet.kill()
        self.listener.close()
        self.set_mode(Mode.PASS)
        self.reset_all()


def reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        pass
    sock.close()
