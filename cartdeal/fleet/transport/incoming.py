"""Datagrams and streams from peers: bounds them, decodes their messages and delivers these.

It must never let a peer cost more than its own connection: one that has sent no valid message yet has little
time and may be closed in favour of a newer one, and a stream with a fault is closed.
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

READER_IDLE_TIMEOUT_S = 90.0  # after which a stream that carries nothing is closed; longer than the writer's
FIRST_MESSAGE_TIMEOUT_S = 2.0  # how long a connection may take to its first valid message
MAX_UNIDENTIFIED_CONNECTIONS = 1024  # connections that have brought no valid message yet
READ_BYTES = 65536  # read at once
DATAGRAMS_PER_YIELD = 16  # read before other greenlets run

log = logging.getLogger("cartdeal.fleet")


class MessageReceiver:
    """Decodes messages, delivers the valid ones and reports the others."""

    def __init__(
        self,
        settings: FleetSettings,
        reporter: TransportReporter,
        deliver: Callable[[codec.ReceivedMessage], None],
    ):
        self.settings = settings
        self.reporter = reporter
        self.deliver = deliver

    def receive_message(self, signed: bytes, peer: PeerAddress, max_bytes: int) -> bool:
        """Handles one signed message; False where its sender's stream is to be closed."""
        try:
            received = codec.decode(self.settings, signed, max_bytes)
        except UnknownMessageError as error:
            # A newer program's message, correctly signed: its other messages may be known.
            self.reporter.report_refusal(error, peer)
            return True
        except FleetError as error:
            self.reporter.report_refusal(error, peer)
            return False
        self.reporter.increment(Metric.RECEIVED_MESSAGES)
        self.reporter.increment(Metric.RECEIVED_BYTES, len(signed))
        self.deliver(received)
        return True


class DatagramReceiver:
    """Reads the socket for datagrams."""

    def __init__(self, datagrams: socket.socket, receiver: MessageReceiver):
        self.datagrams = datagrams
        self.receiver = receiver

    def receive_datagrams(self) -> None:
        """Reads datagrams for as long as the transport runs."""
        attempts = 0
        while True:
            attempts += 1
            if attempts % DATAGRAMS_PER_YIELD == 0:
                gevent.sleep(0)  # a peer that sends without pause must not keep other greenlets from running
            try:
                signed, peer = self.datagrams.recvfrom(codec.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                socket.wait_read(self.datagrams.fileno())
                continue
            self.receiver.receive_message(signed, peer, codec.MAX_DATAGRAM_BYTES)


class IncomingConnection:
    """A stream from a peer."""

    def __init__(self, sock: socket.socket, peer: PeerAddress):
        self.socket = sock
        self.peer = peer
        self.is_identified = False  # whether it has brought a valid message
        self.last_message_at = monotonic()  # or when it was accepted


class IncomingConnections:
    """Accepts streams from peers and reads them.

    `connections`: by the greenlet that reads each. `partial_bytes`: the size of all messages that have come
    in part.
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
            gevent.sleep(0)  # what it has sent already is read before the next one may replace it

    def _make_room(self) -> None:
        """Closes the connection that has been silent for longest where there are too many.

        One that has sent no valid message goes first. A peer that still has something to send reconnects.
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
        """Reads one connection until it ends, fails, falls silent or brings something that is refused."""
        frames = codec.FrameReader()
        partial_bytes = 0  # of `self.partial_bytes`, those of this connection
        first_message_by = monotonic() + FIRST_MESSAGE_TIMEOUT_S
        sock = connection.socket
        try:
            while True:
                time_left_s = max(0.001, first_message_by - monotonic())
                sock.settimeout(READER_IDLE_TIMEOUT_S if connection.is_identified else time_left_s)
                received = sock.recv(READ_BYTES)
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
            pass  # the peer reconnects when it has something to send
        finally:
            self.partial_bytes -= partial_bytes
            sock.close()
            self.connections.pop(gevent.getcurrent(), None)

    def _receive_messages(self, connection: IncomingConnection, messages: list[bytes]) -> bool:
        for signed in messages:
            if not self.receiver.receive_message(signed, connection.peer, codec.MAX_FRAME_BYTES):
                return False
            connection.is_identified = True
            connection.last_message_at = monotonic()
        return True
