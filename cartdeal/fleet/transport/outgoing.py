"""Streams to peers: each peer has one queue of messages and one greenlet that writes them.

Enqueueing must never block its caller. A full queue drops its oldest messages, connecting to an unreachable
peer is retried with exponential backoff, and messages that have waited too long are dropped.

A stream is the socket's connection to a peer; an OutgoingConnection is a stream with its queue and its
greenlet.
"""

import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import NamedTuple

import gevent
from gevent import socket
from gevent.event import Event

from cartdeal.fleet import codec
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.transport.limits import TransportLimits
from cartdeal.fleet.transport.reporting import PeerAddress, TransportReporter
from cartdeal.fleet.transport.sockets import connect, is_closed_by_peer

WRITE_TIMEOUT_S = 2.0  # for one write, until the peer's buffers have accepted it
FIRST_RECONNECT_DELAY_S = 0.1  # doubled after each failure; a random factor of 0.5 to 1.5 adds jitter
MAX_RECONNECT_DELAY_S = 3.0
MAX_QUEUE_AGE_S = 5.0  # older messages are dropped: their sender no longer waits for an answer
WRITER_IDLE_TIMEOUT_S = 30.0  # an idle stream is closed after this time; shorter than READER_IDLE_TIMEOUT_S
MAX_QUEUED_MESSAGES = 1024  # per peer
WRITE_BATCH_BYTES = 65536  # target size of one write; the last message may exceed it

log = logging.getLogger("cartdeal.fleet")


class QueuedMessage(NamedTuple):
    """An encoded message in a queue, to be signed when it is sent."""

    queued_at: float  # monotonic seconds
    encoded: bytes


class OutgoingConnection:
    """The queue for one peer, the greenlet that writes it, and the stream that it is written to."""

    def __init__(self, address: PeerAddress):
        self.address = address
        self.queue: deque[QueuedMessage] = deque()
        self.has_messages = Event()
        self.greenlet: gevent.Greenlet | None = None
        self.socket: socket.socket | None = None  # None while there is no connection

    def close_socket(self) -> None:
        """Closes the stream, if there is one."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None


class OutgoingConnections:
    """The streams to all peers.

    `connections`: by the peer's address, the least recently used first. `queued_bytes`: the total size of all
    queues. `sign` wraps an encoded message in its signed envelope when the message is sent.
    """

    def __init__(
        self,
        limits: TransportLimits,
        sign: Callable[[bytes], bytes],
        reporter: TransportReporter,
        random: Random,
    ):
        self.limits = limits
        self.sign = sign
        self.reporter = reporter
        self.random = random
        self.connections: OrderedDict[PeerAddress, OutgoingConnection] = OrderedDict()
        self.queued_bytes = 0

    def enqueue(self, address: PeerAddress, encoded: bytes) -> None:
        """Queues a message for the peer at `address`; starts a connection to it if there is none."""
        connection = self._connection_to(address)
        if connection is None:
            self.reporter.increment(Metric.DROPPED_NO_STREAM)
            return
        queue, max_bytes = connection.queue, self.limits.max_queued_bytes
        while queue and (len(queue) >= MAX_QUEUED_MESSAGES or self.queued_bytes + len(encoded) > max_bytes):
            self.pop_message(connection)
            self.reporter.increment(Metric.DROPPED_OLDEST)
        if self.queued_bytes + len(encoded) > max_bytes:
            self.reporter.increment(Metric.DROPPED_NO_MEMORY)
            return
        queue.append(QueuedMessage(monotonic(), encoded))
        self.queued_bytes += len(encoded)
        connection.has_messages.set()

    def _connection_to(self, address: PeerAddress) -> OutgoingConnection | None:
        connection = self.connections.get(address)
        if connection is None:
            if len(self.connections) >= self.limits.max_streams and not self.close_least_recently_used():
                return None
            connection = self.connections[address] = OutgoingConnection(address)
            connection.greenlet = gevent.spawn(self.write, connection)
        self.connections.move_to_end(address)
        return connection

    def pop_message(self, connection: OutgoingConnection) -> bytes:
        """Removes the oldest message from a queue and returns it."""
        encoded = connection.queue.popleft().encoded
        self.queued_bytes -= len(encoded)
        return encoded

    def close_least_recently_used(self) -> bool:
        """Closes the least recently used stream without queued messages; returns whether there was one."""
        for address, connection in self.connections.items():
            if not connection.queue:
                del self.connections[address]
                if connection.greenlet is not None:
                    connection.greenlet.kill(block=False)
                return True
        return False

    def write(self, connection: OutgoingConnection) -> None:
        """Writes the queue of one connection until it has been empty for WRITER_IDLE_TIMEOUT_S."""
        reconnect_delay_s = FIRST_RECONNECT_DELAY_S
        try:
            while self._wait_for_messages(connection):
                try:
                    if self._send_batch(connection):
                        reconnect_delay_s = FIRST_RECONNECT_DELAY_S
                except OSError:
                    # The batch being written is lost: the writer can't know whether the peer has read it.
                    self.reporter.increment(Metric.STREAMS_FAILED)
                    connection.close_socket()
                    gevent.sleep(reconnect_delay_s * (0.5 + self.random.random()))
                    reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2 * reconnect_delay_s)
                    self.drop_stale(connection)
        except Exception:
            log.exception("stream failed", extra={"address": connection.address})
        finally:
            self._remove(connection)

    def _wait_for_messages(self, connection: OutgoingConnection) -> bool:
        """Waits until there is a message; returns False if none came within WRITER_IDLE_TIMEOUT_S."""
        while not connection.queue:
            connection.has_messages.clear()
            if not connection.has_messages.wait(WRITER_IDLE_TIMEOUT_S):
                return False
        return True

    def _send_batch(self, connection: OutgoingConnection) -> bool:
        """Connects if necessary and writes one batch; returns whether there was anything to write.

        Raises OSError if connecting or writing fails.
        """
        if connection.socket is not None and is_closed_by_peer(connection.socket):
            connection.close_socket()
        if connection.socket is None:
            connection.socket = connect(connection.address)
        batch = self.pop_batch(connection)
        if not batch:
            return False
        connection.socket.settimeout(WRITE_TIMEOUT_S)
        connection.socket.sendall(batch)
        return True

    def _remove(self, connection: OutgoingConnection) -> None:
        connection.close_socket()
        while connection.queue:
            self.pop_message(connection)
        if self.connections.get(connection.address) is connection:
            del self.connections[connection.address]

    def pop_batch(self, connection: OutgoingConnection) -> bytes:
        """Removes messages from a queue and frames them; the last one may exceed WRITE_BATCH_BYTES."""
        self.drop_stale(connection)
        frames: list[bytes] = []
        size = 0
        while connection.queue and size < WRITE_BATCH_BYTES:
            frames.append(codec.frame_message(self.sign(self.pop_message(connection))))
            size += len(frames[-1])
        return b"".join(frames)

    def drop_stale(self, connection: OutgoingConnection) -> None:
        """Drops the messages that have waited longer than MAX_QUEUE_AGE_S."""
        while connection.queue and connection.queue[0].queued_at < monotonic() - MAX_QUEUE_AGE_S:
            self.pop_message(connection)
            self.reporter.increment(Metric.DROPPED_STALE)
