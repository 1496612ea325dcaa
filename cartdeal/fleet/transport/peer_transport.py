"""The event loop of an agent of the fleet: brings events to its node and applies the effects.

The node does no I/O: a method of it is called for each event, and leaves effects that are applied then.
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

FLUSH_POLL_S = 0.005  # between looks whether all is written
MAX_SHOWN_ADDRESS = 64  # characters of a peer's invalid address in the log

log = logging.getLogger("cartdeal.fleet")


class TransportNode(Protocol):
    """What the transport needs of the node. Events are further methods, called by their names."""

    now: float  # monotonic seconds of the event
    wall: float
    name: str
    incarnation: int
    address: str
    effects: list[Effect]

    def metrics(self) -> dict[str, Any]:
        """Name and value of each of the node's metrics."""


class QueuedEvent(NamedTuple):
    """A method of the node and its arguments."""

    name: str
    arguments: tuple[Any, ...]


class PeerTransport:
    """Runs one node on sockets.

    `make_node(settings, seed, now, wall)` gives the node; `on_decision` gets its decisions on requests.
    `listen`: where to bind; where the settings have no address that peers reach, it is the one bound.
    Raises BindError.
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
        """Applies what the node did when it was made, and starts the background tasks."""
        self.apply_effects()
        tasks = (
            self.tick,
            self.datagram_receiver.receive_datagrams,
            self.incoming.accept,
            self.report_metrics,
        )
        self.tasks = [gevent.spawn(supervise, task, log) for task in tasks]

    def stop(self) -> None:
        """Closes all sockets and ends all greenlets; what is still queued is lost."""
        for connection in self.incoming.connections.values():
            connection.socket.close()
        writers = [connection.greenlet for connection in self.outgoing.connections.values()]
        gevent.killall(self.tasks + list(self.incoming.connections) + writers)
        self.datagrams.close()
        self.listener.close()

    # Events and effects

    def dispatch(self, event: str, *arguments: Any) -> None:
        """Handles an event: calls the node's method of this name and applies the effects.

        An event that an effect causes is handled after all effects of the one before.
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
            # A broken part must not take the agent with it; admission control decides what it leaves open.
            self.reporter.increment(Metric.EVENTS_FAILED)
            log.exception("event failed", extra={"event": event.name})
        self.apply_effects()

    def apply_effects(self) -> None:
        """Applies the effects that the node has collected, in their order."""
        effects, self.node.effects = self.node.effects, []
        for effect in effects:
            try:
                self.effect_handlers[type(effect)](effect)
            except Exception:
                self.reporter.increment(Metric.EFFECTS_FAILED)
                log.exception("effect failed", extra={"effect": type(effect).__name__})

    def deliver(self, received: codec.ReceivedMessage) -> None:
        """Brings a message of a peer to the node."""
        self.dispatch("on_message", *received)

    def tick(self) -> None:
        """Lets the node do what is due, for as long as the transport runs."""
        while True:
            gevent.sleep(self.settings.tick_s * (0.9 + 0.2 * self.random.random()))
            self.dispatch("tick")

    # Effects

    def send(self, effect: SendMessage) -> None:
        """Sends a message by datagram or stream, as its type says."""
        address = parse_address(effect.address)
        if address is None:
            recipient, shown = effect.recipient, str(effect.address)[:MAX_SHOWN_ADDRESS]
            self.reporter.increment(Metric.DROPPED_NO_ADDRESS)
            self.reporter.report_once("bad address", recipient, f"{recipient} at {shown!r}")
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
        except OSError:  # among others where the buffer is full; a datagram may be lost
            self.reporter.increment(Metric.DROPPED_DATAGRAMS)

    def sign(self, encoded: bytes) -> bytes:
        """Signs a message with the time of now: that of its event may be long past where it was queued."""
        node = self.node
        wall = node.wall + monotonic() - node.now
        signed = codec.sign_message(
            self.settings, node.name, node.incarnation, node.address, int(wall * 1e3), encoded
        )
        self.reporter.increment(Metric.SENT_MESSAGES)
        self.reporter.increment(Metric.SENT_BYTES, len(signed))
        return signed

    def write_log(self, effect: WriteLog) -> None:
        """Writes an event of the node to the log."""
        fields = effect.event.fields()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        log.info(effect.event.MESSAGE, extra={"text": text})

    @property
    def queued_bytes(self) -> int:
        """The size of the messages that wait for a stream."""
        return self.outgoing.queued_bytes

    def flush(self, until: float) -> None:
        """Waits until all queued messages are written, or until the monotonic time `until`."""
        while self.queued_bytes and monotonic() < until:
            gevent.sleep(FLUSH_POLL_S)

    # Metrics

    def report_metrics(self) -> None:
        """Logs the metrics every REPORT_INTERVAL_S or so, for as long as the transport runs."""
        while True:
            gevent.sleep(REPORT_INTERVAL_S * (0.9 + 0.2 * self.random.random()))
            text = " ".join(
                f"{name.replace(' ', '_')}={value}" for name, value in sorted(self.metrics().items())
            )
            log.info("metrics", extra={"text": text})

    def metrics(self) -> dict[str, Any]:
        """Name and value of each metric of the node and the transport."""
        return {
            **self.node.metrics(),
            **self.counters,
            "streams out": len(self.outgoing.connections),
            "streams in": len(self.incoming.connections),
            "queued bytes": self.queued_bytes,
        }
