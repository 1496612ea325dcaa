"""A relay of TCP on loopback, which a trouble makes silent, slow, refuse or reset what goes through it."""

import struct
from enum import StrEnum
from math import inf
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event

HOST = "127.0.0.1"
BACKLOG = 512
PIECE = 16384  # bytes of one read
DELAY = 0.3  # seconds that a slow relay holds each piece back
HELD_BACK = 5.0  # seconds after its mode changed in which what it held back still comes out
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets


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
        self.open: set = set()
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(BACKLOG)
        self.port = self.listener.getsockname()[1]
        self.work = gevent.spawn(self.accept)

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def set(self, mode: Mode):
        self.mode = mode
        self.changed_at = monotonic()
        self.mode_changed.set()
        self.mode_changed.clear()

    @property
    def holds_back(self) -> bool:
        """Whether what comes out of it may have gone in long ago."""
        return self.mode is not Mode.PASS or monotonic() < self.changed_at + HELD_BACK

    def reset_all(self):
        """Resets every connection that goes through it."""
        for sock in list(self.open):
            reset(sock)

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            gevent.spawn(self.carry, sock)

    def carry(self, near):
        if self.mode is Mode.REFUSE:
            return reset(near)
        far = socket.socket()
        try:
            far.connect(self.target)
        except OSError:
            far.close()
            return reset(near)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(sock)
        ways = [gevent.spawn(self.pump, near, far), gevent.spawn(self.pump, far, near)]
        gevent.joinall(ways)
        for sock in (near, far):
            self.open.discard(sock)
            sock.close()

    def pump(self, source, sink):
        """Passes on what comes until one side ends; its end is passed on, too."""
        try:
            while piece := source.recv(PIECE):
                while self.mode is Mode.SILENT:
                    self.mode_changed.wait()
                if self.mode is Mode.SLOW:
                    gevent.sleep(DELAY)
                sink.sendall(piece)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(source)
            reset(sink)

    def stop(self):
        self.work.kill()
        self.listener.close()
        self.set(Mode.PASS)
        self.reset_all()


def reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        pass
    sock.close()
