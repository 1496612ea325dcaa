"""The event loop of an agent in a fleet: dispatches events to its node and applies the node's effects.

The node does no I/O. For each event the transport calls a method of the node, then applies the effects that
the method has appended to `node.effects`.
"""

import logging
from collections import deque
from collections.abc import Callable
from random import Random
from time import monotonic, time
from typing import Any, NamedTuple, Protocol

import gevent
from msgspec.structs import replace

from cartdeal.fleet import codec
from cartdeal.fleet.configuration import Address, parse_address
from cartdeal.fleet.effects import DeliverDecision, Effect, SendMessage, WriteLog
from cartdeal.fleet.errors import MessageTooLargeError
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.transport.incoming import DatagramReceiver, IncomingConnections, MessageReceiver
from cartdeal.fleet.transport.limits import TransportLimits
from cartdeal.fleet.transport.outgoing import OutgoingConnections
from cartdeal.fleet.transport.reporting import REPORT_INTERVAL_S, TransportReporter
from cartdeal.fleet.transport.sockets import open_listeners
from cartdeal.supervision import supervise

FLUSH_POLL_INTERVAL_S = 0.005  # interval at which `flush` checks the queues
MAX_LOGGED_ADDRESS_LENGTH = 64  # characters of an invalid address that the log shows

log = logging.getLogger("cartdeal.fleet")


class TransportNode(Protocol):
    """The part of the node that the transport uses. Events are further methods, called by name."""

    now: float  # monotonic seconds of the event
    wall: float  # wall clock seconds of the event
    name: str
    incarnation: int
    address: str
    effects: list[Effect]  # of the event, to be applied by the transport

    def metrics(self) -> dict[str, Any]:
        """Returns the value of each of the node's metrics by its name."""


class QueuedEvent(NamedTuple):
    """The name of a method of the node, and its arguments."""

    name: str
    arguments: tuple[Any, ...]


class PeerTransport:
    """Runs one node on sockets.

    `make_node(settings, seed, now, wall)` creates the node; `on_decision` is called with each of its
    decisions on requests. `listen` is the address to bind; if the settings give no address for peers, they
    get the bound one. Raises BindError.
    """

    def __init__(
        self,
        settings: FleetSettings,
        listen: Address,
        make_node: Callable[[FleetSettings, int, float, float], TransportNode],
        on_decision: Callable[[DeliverDecision], Any],
        limits: TransportLimits | None = None,
    ):
        self.datagrams, self.listener = open_listeners(listen)
        self.port: int = self.listener.getsockname()[1]
        if not parse_address(settings.address):
            settings = replace(settings, address=f"{listen[0]}:{self.port}")
        limits = limits or TransportLimits()
        self.settings = settings
        self.random = Random()
        self.reporter = TransportReporter()
        self.counters = self.reporter.counters
        self.events: deque[QueuedEvent] = deque()
        self.is_handling_event = False
        self.tasks: list[gevent.Greenlet] = []
        self.outgoing = OutgoingConnections(limits, self.sign, self.reporter, self.random)
        receiver = MessageReceiver(settings, self.reporter, self.deliver)
        self.datagram_receiver = DatagramReceiver(self.datagrams, receiver)
        self.incoming = IncomingConnections(self.listener, limits, receiver, self.reporter)
        self.effect_handlers: dict[type, Callable[[Any], Any]] = {
            SendMessage: self.send,
            DeliverDecision: on_decision,
            WriteLog: self.write_log,
        }
        self.node = make_node(settings, self.random.getrandbits(64), monotonic(), time())

    def start(self) -> None:
        """Applies the effects of the node's creation and starts the background tasks."""
        self.apply_effects()
        tasks = (
            self.tick,
            self.datagram_receiver.receive_datagrams,
            self.incoming.accept,
            self.report_metrics,
        )
        self.tasks = [gevent.spawn(supervise, task, log) for task in tasks]

    def stop(self) -> None:
        """Closes all sockets and ends all greenlets; queued messages are lost."""
        for connection in self.incoming.connections.values():
            connection.socket.close()
        writers = [connection.greenlet for connection in self.outgoing.connections.values()]
        gevent.killall(self.tasks + list(self.incoming.connections) + writers)
        self.datagrams.close()
        self.listener.close()

    # Events and effects

    def dispatch(self, event: str, *arguments: Any) -> None:
        """Handles an event: calls the node's method of this name and applies the effects.

        If an effect causes another event, that event is handled after all effects of the current one.
        """
        self.events.append(QueuedEvent(event, arguments))
        if self.is_handling_event:
            return
        self.is_handling_event = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.is_handling_event = False

    def handle(self, event: QueuedEvent) -> None:
        """Sets the node's clocks, calls its method and applies the effects."""
        node = self.node
        node.now = max(node.now, monotonic())
        node.wall = time()
        try:
            getattr(node, event.name)(*event.arguments)
        except Exception:
            # A fault in one part must not stop the agent; admission control decides the requests it leaves
            # open.
            self.reporter.increment(Metric.EVENTS_FAILED)
            log.exception("event failed", extra={"event": event.name})
        self.apply_effects()

    def apply_effects(self) -> None:
        """Applies the effects that the node has collected, in order."""
        effects, self.node.effects = self.node.effects, []
        for effect in effects:
            try:
                self.effect_handlers[type(effect)](effect)
            except Exception:
                self.reporter.increment(Metric.EFFECTS_FAILED)
                log.exception("effect failed", extra={"effect": type(effect).__name__})

    def deliver(self, received: codec.ReceivedMessage) -> None:
        """Dispatches a peer's message to the node."""
        self.dispatch("on_message", *received)

    def tick(self) -> None:
        """Calls the node's `tick` every `tick_s` with 10 % jitter, for as long as the transport runs."""
        while True:
            gevent.sleep(self.settings.tick_s * (0.9 + 0.2 * self.random.random()))
            self.dispatch("tick")

    # Effects

    def send(self, effect: SendMessage) -> None:
        """Sends a message by datagram or stream, according to its type."""
        address = parse_address(effect.address)
        if address is None:
            recipient, logged_address = effect.recipient, str(effect.address)[:MAX_LOGGED_ADDRESS_LENGTH]
            self.reporter.increment(Metric.DROPPED_NO_ADDRESS)
            self.reporter.report_once("bad address", recipient, f"{recipient} at {logged_address!r}")
            return
        try:
            encoded = codec.encode_message(effect.message)
        except MessageTooLargeError as error:
            self.reporter.increment(Metric.DROPPED_TOO_LARGE)
            self.reporter.report_once("not sent", type(effect.message).__name__, str(error))
            return
        if not codec.is_datagram(effect.message):
            self.outgoing.enqueue(address, encoded)
            return
        try:
            self.datagrams.sendto(self.sign(encoded), address)
        except OSError:  # for example if the send buffer is full; datagrams may be lost
            self.reporter.increment(Metric.DROPPED_DATAGRAMS)

    def sign(self, encoded: bytes) -> bytes:
        """Signs a message with the current time: the message may have been queued since its event."""
        node = self.node
        wall = node.wall + monotonic() - node.now
        signed = codec.sign_message(
            self.settings, node.name, node.incarnation, node.address, int(wall * 1e3), encoded
        )
        self.reporter.increment(Metric.SENT_MESSAGES)
        self.reporter.increment(Metric.SENT_BYTES, len(signed))
        return signed

    def write_log(self, effect: WriteLog) -> None:
        """Writes an event of the node as a log line."""
        fields = effect.event.fields()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        log.info(effect.event.MESSAGE, extra={"text": text})

    @property
    def queued_bytes(self) -> int:
        """The total size of the messages queued for streams."""
        return self.outgoing.queued_bytes

    def flush(self, until: float) -> None:
        """Waits until all queued messages are written, or until the monotonic time `until`."""
        while self.queued_bytes and monotonic() < until:
            gevent.sleep(FLUSH_POLL_INTERVAL_S)

    # Metrics

    def report_metrics(self) -> None:
        """Logs the metrics every REPORT_INTERVAL_S with 10 % jitter, for as long as the transport runs."""
        while True:
            gevent.sleep(REPORT_INTERVAL_S * (0.9 + 0.2 * self.random.random()))
            text = " ".join(
                f"{name.replace(' ', '_')}={value}" for name, value in sorted(self.metrics().items())
            )
            log.info("metrics", extra={"text": text})

    def metrics(self) -> dict[str, Any]:
        """Returns the value of each metric of the node and the transport by its name."""
        return {
            **self.node.metrics(),
            **self.counters,
            "streams out": len(self.outgoing.connections),
            "streams in": len(self.incoming.connections),
            "queued bytes": self.queued_bytes,
        }
