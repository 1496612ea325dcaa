"""Receives datagrams and streams from peers, within limits, and decodes and delivers their messages.

A faulty peer must never affect any connection except its own. A connection that has brought no valid
message yet times out soon and may be closed in favour of a newer one; a stream with a fault is closed.
"""

import logging
from collections.abc import Callable
from time import monotonic

import gevent
from gevent import socket

from cartdeal.fleet import codec
from cartdeal.fleet.errors import FleetError, UnknownMessageError
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.transport.limits import TransportLimits
from cartdeal.fleet.transport.reporting import PeerAddress, TransportReporter
from cartdeal.supervision import RESTART_DELAY_S

READER_IDLE_TIMEOUT_S = 90.0  # an idle stream is closed after this time; longer than WRITER_IDLE_TIMEOUT_S
FIRST_MESSAGE_TIMEOUT_S = 2.0  # time limit for a connection's first valid message
MAX_UNIDENTIFIED_CONNECTIONS = 1024  # connections without a valid message so far
MAX_READ_BYTES = 65536  # maximum for one read
DATAGRAMS_PER_YIELD = 16  # datagrams read before other greenlets run

log = logging.getLogger("cartdeal.fleet")


class MessageReceiver:
    """Decodes messages, delivers the valid ones and reports the refused ones."""

    def __init__(
        self,
        settings: FleetSettings,
        reporter: TransportReporter,
        deliver: Callable[[codec.ReceivedMessage], None],
    ):
        self.settings = settings
        self.reporter = reporter
        self.deliver = deliver

    def receive_message(self, signed_message: bytes, peer: PeerAddress, max_bytes: int) -> bool:
        """Decodes and delivers one signed message; returns False if its sender's stream has to be closed."""
        try:
            received = codec.decode(self.settings, signed_message, max_bytes)
        except UnknownMessageError as error:
            # The message is authentic, so a newer program sent it: this program may know its other messages.
            self.reporter.report_refusal(error, peer)
            return True
        except FleetError as error:
            self.reporter.report_refusal(error, peer)
            return False
        self.reporter.increment(Metric.RECEIVED_MESSAGES)
        self.reporter.increment(Metric.RECEIVED_BYTES, len(signed_message))
        self.deliver(received)
        return True


class DatagramReceiver:
    """Reads datagrams from the socket."""

    def __init__(self, datagrams: socket.socket, receiver: MessageReceiver):
        self.datagrams = datagrams
        self.receiver = receiver

    def receive_datagrams(self) -> None:
        """Reads datagrams for as long as the transport runs."""
        reads = 0
        while True:
            reads += 1
            if reads % DATAGRAMS_PER_YIELD == 0:
                gevent.sleep(0)  # a peer that sends without pause must not starve other greenlets
            try:
                signed_message, peer = self.datagrams.recvfrom(codec.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                socket.wait_read(self.datagrams.fileno())
                continue
            self.receiver.receive_message(signed_message, peer, codec.MAX_DATAGRAM_BYTES)


class IncomingConnection:
    """A stream that a peer has opened."""

    def __init__(self, sock: socket.socket, peer: PeerAddress):
        self.socket = sock
        self.peer = peer
        self.is_identified = False  # whether a valid message has arrived on it
        # When the last valid message arrived; before the first one, when the connection was accepted.
        self.last_message_at = monotonic()


class IncomingConnections:
    """Accepts streams from peers and reads them.

    `connections`: each connection, by the greenlet that reads it. `partial_bytes`: the bytes received so far
    of incomplete messages, of all connections.
    """

    def __init__(
        self,
        listener: socket.socket,
        limits: TransportLimits,
        receiver: MessageReceiver,
        reporter: TransportReporter,
    ):
        self.listener = listener
        self.limits = limits
        self.receiver = receiver
        self.reporter = reporter
        self.connections: dict[gevent.Greenlet, IncomingConnection] = {}
        self.partial_bytes = 0

    def accept(self) -> None:
        """Accepts connections for as long as the transport runs."""
        while True:
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                log.warning("accept failed", extra={"text": str(error)})
                gevent.sleep(RESTART_DELAY_S)
                continue
            self._make_room()
            connection = IncomingConnection(sock, peer)
            self.connections[gevent.spawn(self.read, connection)] = connection
            # The new greenlet reads what has already arrived before another connection may replace this one.
            gevent.sleep(0)

    def _make_room(self) -> None:
        """Closes the connection that has been silent longest, if there are too many.

        Connections without a valid message are closed first. A peer that still has messages reconnects.
        """
        unidentified = [
            greenlet for greenlet, connection in self.connections.items() if not connection.is_identified
        ]
        if (
            len(unidentified) < MAX_UNIDENTIFIED_CONNECTIONS
            and len(self.connections) < self.limits.max_streams
        ):
            return
        longest_silent = min(
            unidentified or self.connections,
            key=lambda greenlet: self.connections[greenlet].last_message_at,
        )
        self.reporter.increment(Metric.CLOSED_NO_ROOM)
        self.connections.pop(longest_silent).socket.close()
        longest_silent.kill(block=False)

    def read(self, connection: IncomingConnection) -> None:
        """Reads one connection until it ends, fails, is idle for too long or brings a refused message."""
        frames = codec.FrameReader()
        partial_bytes = 0  # this connection's part of `self.partial_bytes`
        first_message_by = monotonic() + FIRST_MESSAGE_TIMEOUT_S
        sock = connection.socket
        try:
            while True:
                time_left_s = max(0.001, first_message_by - monotonic())
                sock.settimeout(READER_IDLE_TIMEOUT_S if connection.is_identified else time_left_s)
                received = sock.recv(MAX_READ_BYTES)
                if not received:
                    return
                messages = frames.feed(received)
                self.partial_bytes += len(frames.buffer) - partial_bytes
                partial_bytes = len(frames.buffer)
                if not self._receive_messages(connection, messages):
                    return
                if self.partial_bytes > self.limits.max_partial_bytes:
                    self.reporter.increment(Metric.CLOSED_PARTIAL_MESSAGES)
                    return
                gevent.sleep(0)
        except TimeoutError:
            self.reporter.increment(Metric.CLOSED_IDLE)
        except FleetError as error:
            self.reporter.report_refusal(error, connection.peer)
        except OSError:
            pass  # the peer reconnects when it has messages to send
        finally:
            self.partial_bytes -= partial_bytes
            sock.close()
            self.connections.pop(gevent.getcurrent(), None)

    def _receive_messages(self, connection: IncomingConnection, messages: list[bytes]) -> bool:
        for signed_message in messages:
            if not self.receiver.receive_message(signed_message, connection.peer, codec.MAX_FRAME_BYTES):
                return False
            connection.is_identified = True
            connection.last_message_at = monotonic()
        return True
