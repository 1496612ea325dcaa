"""Carries out what the node asks for, on sockets, and brings what peers say back to it as events.

Owns the fleet's sockets: datagrams and a listener on one port, and one stream to each peer that it has words
for. It must never let an event in while another is being handled, wait for a peer in the middle of one, or
let a bad peer cost more than its own connection. What finds no room is dropped and counted: the node's parts
say it again, or make it good.
"""

import logging
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from random import Random
from time import monotonic, time
from typing import NamedTuple

import gevent
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace

from cartdeal.fleet import codec
from cartdeal.fleet.configuration import parse_address as place
from cartdeal.fleet.effects import DeliverDecision, SendMessage, WriteLog
from cartdeal.fleet.errors import FleetError, MessageTooLargeError, UnknownMessageError
from cartdeal.fleet.metrics import Metric
from cartdeal.sockets import BindError, bind_socket
from cartdeal.supervision import RESTART_DELAY, supervise

CONNECT_TIMEOUT_S = 1.0  # how long a connection to a peer may take
WRITE_TIMEOUT_S = 2.0  # how long a peer may take to accept what is written
FIRST_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = (
    0.1,
    3.0,
)  # between tries to connect, by chance 0.5 to 1.5 times that
MAX_QUEUE_AGE_S = 5.0  # what has waited for so long is not sent any more: who asked has given up
WRITER_IDLE_TIMEOUT_S = 30.0  # after which a stream that carries nothing is closed by the one that writes ...
READER_IDLE_TIMEOUT_S = 90.0  # ... and by the one that reads
FIRST_MESSAGE_TIMEOUT_S = 2.0  # how long a connection may take to its first message
MAX_UNIDENTIFIED_CONNECTIONS = 1024  # connections that have brought none yet
BACKLOG = 1024  # connections that wait to be accepted
MAX_QUEUED_MESSAGES = 1024  # messages that wait for one peer
WRITE_BATCH_BYTES = 65536  # bytes written at once, or little more
READ_BYTES = 65536  # bytes read at once
DATAGRAMS_PER_TURN = 16  # datagrams read before the others have a turn
MAX_REPORTED_FAULTS = 1024  # faults of peers that are remembered as told
REPORT_INTERVAL_S = 60.0  # seconds between lines of metrics
BIND_ATTEMPTS = 20  # tries to find one port for both kinds of socket

log = logging.getLogger("cartdeal.fleet")


class TransportLimits(NamedTuple):
    """What the host may take: connections each way, bytes of messages that wait, bytes of those half come."""

    streams: int = 1024
    waiting: int = 16 << 20
    half: int = 16 << 20


class PeerConnection:
    """What waits for one peer's stream, and the greenlet that writes it."""

    def __init__(self, address):
        self.address, self.queue, self.more = address, deque(), Event()
        self.used, self.greenlet = monotonic(), None


class PeerTransport:
    """`make(settings, seed, now, wall)` gives the node; `decided(ticket, verdict, wait, heed)` gets its words
    on
    a request. Raises BindError."""

    def __init__(self, settings, listen, make, decided, bounds: TransportLimits | None = None):
        self.datagrams, self.listener = listeners(listen)
        self.port = self.listener.getsockname()[1]
        if not place(settings.address):
            settings = replace(settings, address=f"{listen[0]}:{self.port}")
        self.settings, self.decided, self.bounds = settings, decided, bounds or TransportLimits()
        self.random = Random()
        self.counters: Counter[str] = Counter()
        self.events, self.busy = deque(), False
        self.roads: OrderedDict[tuple, PeerConnection] = OrderedDict()  # the one least lately used first
        self.waiting = self.half = 0
        self.readers: dict = {}  # greenlet of each connection from a peer -> [socket, known, last heard]
        self.told: OrderedDict[tuple, float] = OrderedDict()
        self.handlers: dict[type, Callable] = {
            SendMessage: self.send,
            DeliverDecision: decided,
            WriteLog: self.write_log,
        }
        self.node = make(settings, self.random.getrandbits(64), monotonic(), time())

    def start(self):
        self.carry_out()
        works = self.tick, self.hear, self.accept, self.report
        self.works = [gevent.spawn(supervise, work, log) for work in works]

    def stop(self):
        for sock, _, _ in self.readers.values():
            sock.close()
        gevent.killall(self.works + list(self.readers) + [road.greenlet for road in self.roads.values()])
        self.datagrams.close()
        self.listener.close()

    # Events

    def dispatch(self, event: str, *args):
        """One event into the node; one that comes of its effects is played after those."""
        self.events.append((event, args))
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                event, args = self.events.popleft()
                self.play(event, args)
        finally:
            self.busy = False

    def play(self, event: str, args):
        node = self.node
        node.now, node.wall = max(node.now, monotonic()), time()
        try:
            getattr(node, event)(*args)
        except Exception:
            # A broken part must not take the agent with it; the gate answers what it leaves undecided.
            self.increment(Metric.EVENTS_FAILED)
            log.exception("event failed", extra={"event": event})
        self.carry_out()

    def carry_out(self):
        effects, self.node.effects = self.node.effects, []
        for effect in effects:
            try:
                self.handlers[type(effect)](effect)
            except Exception:
                self.increment(Metric.EFFECTS_FAILED)
                log.exception("effect failed", extra={"effect": type(effect).__name__})

    def tick(self):
        while True:
            gevent.sleep(self.settings.tick_s * (0.9 + 0.2 * self.random.random()))
            self.dispatch("tick")

    def report(self):
        while True:
            gevent.sleep(REPORT_INTERVAL_S * (0.9 + 0.2 * self.random.random()))
            log.info(
                "metrics",
                extra={
                    "text": " ".join(
                        f"{key.replace(' ', '_')}={value}" for key, value in sorted(self.metrics().items())
                    )
                },
            )

    def metrics(self) -> dict:
        return {
            **self.node.metrics(),
            **self.counters,
            "streams out": len(self.roads),
            "streams in": len(self.readers),
            "bytes waiting": self.waiting,
        }

    def increment(self, counter: str, by: int = 1):
        """Adds to a counter of the transport's own."""
        self.counters[counter] += by

    def write_log(self, effect: WriteLog):
        """Writes an event of the node to the log."""
        fields = effect.event.fields()
        log.info(
            effect.event.MESSAGE, extra={"text": " ".join(f"{key}={value}" for key, value in fields.items())}
        )

    # To peers

    def send(self, effect: SendMessage):
        """Sends a message by datagram or stream, as its type says."""
        to, address, message = effect.recipient, effect.address, effect.message
        at = place(address)
        if at is None:
            self.increment(Metric.DROPPED_NO_ADDRESS)
            return self.tell_once("bad address", to, f"{to} at {str(address)[:64]!r}")
        try:
            raw = codec.encode_message(message)
        except MessageTooLargeError as error:
            self.increment(Metric.DROPPED_TOO_LARGE)
            return self.tell_once("not sent", type(message).__name__, str(error))
        if message.DATAGRAM:
            try:
                self.datagrams.sendto(self.stamped(raw), at)
            except OSError:  # a full buffer is one, too: a datagram may be lost
                self.increment(Metric.DROPPED_DATAGRAMS)
        else:
            self.queue(at, raw)

    def stamped(self, raw: bytes) -> bytes:
        """What has waited is stamped when it goes out: its time would seem that of a clock behind."""
        node = self.node
        wall = node.wall + monotonic() - node.now
        text = codec.seal_message(
            self.settings, node.name, node.incarnation, node.address, int(wall * 1e3), raw
        )
        self.increment(Metric.SENT_MESSAGES)
        self.increment(Metric.SENT_BYTES, len(text))
        return text

    def queue(self, at, raw: bytes):
        road = self.roads.get(at)
        if road is None:
            if len(self.roads) >= self.bounds.streams and not self.close_least_used():
                self.increment(Metric.DROPPED_NO_STREAM)
                return
            road = self.roads[at] = PeerConnection(at)
            road.greenlet = gevent.spawn(self.write, road)
        self.roads.move_to_end(at)
        while road.queue and (
            len(road.queue) >= MAX_QUEUED_MESSAGES or self.waiting + len(raw) > self.bounds.waiting
        ):
            self.take(road)
            self.increment(Metric.DROPPED_OLDEST)
        if self.waiting + len(raw) > self.bounds.waiting:
            self.increment(Metric.DROPPED_NO_MEMORY)
            return
        road.queue.append((monotonic(), raw))
        self.waiting += len(raw)
        road.used = monotonic()
        road.more.set()

    def take(self, road: PeerConnection) -> bytes:
        _, raw = road.queue.popleft()
        self.waiting -= len(raw)
        return raw

    def close_least_used(self) -> bool:
        """Takes the stream that has stood empty for longest; one with words in it is not taken."""
        for at, road in self.roads.items():
            if not road.queue:
                del self.roads[at]
                road.greenlet.kill(block=False)
                return True
        return False

    def write(self, road: PeerConnection):
        sock, pause = None, FIRST_RECONNECT_DELAY_S
        try:
            while True:
                while not road.queue:
                    road.more.clear()
                    if not road.more.wait(WRITER_IDLE_TIMEOUT_S):
                        return
                try:
                    if sock is not None and ended(sock):
                        sock.close()
                        sock = None
                    if sock is None:
                        sock = connected(road.address)
                    text = self.batch(road)
                    if text:
                        sock.settimeout(WRITE_TIMEOUT_S)
                        sock.sendall(text)
                        pause = FIRST_RECONNECT_DELAY_S
                except OSError:
                    # What was on its way is lost: whether the peer has read it can't be known.
                    self.increment(Metric.STREAMS_FAILED)
                    sock = sock and sock.close()
                    gevent.sleep(pause * (0.5 + self.random.random()))
                    pause = min(MAX_RECONNECT_DELAY_S, 2 * pause)
                    self.drop_stale(road)
        except Exception:
            log.exception("stream died", extra={"address": road.address})
        finally:
            if sock is not None:
                sock.close()
            while road.queue:
                self.take(road)
            if self.roads.get(road.address) is road:
                del self.roads[road.address]

    def batch(self, road: PeerConnection) -> bytes:
        self.drop_stale(road)
        parts, size = [], 0
        while road.queue and size < WRITE_BATCH_BYTES:
            parts.append(codec.frame_message(self.stamped(self.take(road))))
            size += len(parts[-1])
        return b"".join(parts)

    def drop_stale(self, road: PeerConnection):
        while road.queue and road.queue[0][0] < monotonic() - MAX_QUEUE_AGE_S:
            self.take(road)
            self.increment(Metric.DROPPED_STALE)

    def flush(self, until: float):
        """Waits until all is written, or the time is up."""
        while self.waiting and monotonic() < until:
            gevent.sleep(0.005)

    # From peers

    def hear(self):
        turn = 0
        while True:
            turn += 1
            if not turn % DATAGRAMS_PER_TURN:
                gevent.sleep(0)  # one that sends without pause must not have the agent for itself
            try:
                text, peer = self.datagrams.recvfrom(codec.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                socket.wait_read(self.datagrams.fileno())
                continue
            self.take_in(text, peer, codec.MAX_DATAGRAM_BYTES)

    def accept(self):
        while True:
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                log.warning("accept failed", extra={"text": str(error)})
                gevent.sleep(RESTART_DELAY)
                continue
            strangers = [each for each, (_, known, _) in self.readers.items() if not known]
            if len(strangers) >= MAX_UNIDENTIFIED_CONNECTIONS or len(self.readers) >= self.bounds.streams:
                # The one longest silent goes, one that has said nothing yet first: it comes again when it has
                # something to say.
                least = min(strangers or self.readers, key=lambda each: self.readers[each][2])
                self.increment(Metric.CLOSED_NO_ROOM)
                self.readers.pop(least)[0].close()
                least.kill(block=False)
            reader = gevent.spawn(self.read, sock, peer)
            self.readers[reader] = [sock, False, monotonic()]
            gevent.sleep(0)  # what it has said already is read before the next one may take its place

    def read(self, sock, peer):
        state, frames, half = self.readers[gevent.getcurrent()], codec.FrameReader(), 0
        until = monotonic() + FIRST_MESSAGE_TIMEOUT_S
        try:
            while True:
                sock.settimeout(READER_IDLE_TIMEOUT_S if state[1] else max(0.001, until - monotonic()))
                more = sock.recv(READ_BYTES)
                if not more:
                    return
                messages = frames.feed(more)
                self.half += len(frames.buffer) - half
                half = len(frames.buffer)
                for text in messages:
                    if not self.take_in(text, peer, codec.MAX_FRAME_BYTES):
                        return
                    state[1], state[2] = True, monotonic()
                if self.half > self.bounds.half:
                    self.increment(Metric.CLOSED_PARTIAL_MESSAGES)
                    return
                gevent.sleep(0)
        except TimeoutError:
            self.increment(Metric.CLOSED_IDLE)
        except FleetError as error:
            self.refuse(error, peer)
        except OSError:
            pass
        finally:
            self.half -= half
            sock.close()
            self.readers.pop(gevent.getcurrent(), None)

    def take_in(self, text: bytes, peer, most: int) -> bool:
        """Whether the one who said it may go on."""
        try:
            said = codec.decode(self.settings, text, most)
        except UnknownMessageError as error:
            self.refuse(error, peer)
            return True
        except FleetError as error:
            self.refuse(error, peer)
            return False
        self.increment(Metric.RECEIVED_MESSAGES)
        self.increment(Metric.RECEIVED_BYTES, len(text))
        self.dispatch("on_message", *said)
        return True

    def refuse(self, error: FleetError, peer):
        kind = type(error).__name__
        self.increment(f"refused {kind}")
        self.tell_once("refused", (kind, peer[0]), f"{kind} from {peer[0]}:{peer[1]}: {error}")

    def tell_once(self, what: str, about, text: str):
        """Of one fault of one peer the log has one line in a while; the metrics have them all."""
        now = monotonic()
        if now < self.told.get((what, about), 0.0):
            return
        self.told[what, about] = now + REPORT_INTERVAL_S
        self.told.move_to_end((what, about))
        if len(self.told) > MAX_REPORTED_FAULTS:
            self.told.popitem(last=False)
        log.warning(what, extra={"text": text})


def listeners(listen):
    """A socket for datagrams and one that listens, on one port."""
    for left in reversed(range(BIND_ATTEMPTS if listen[1] == 0 else 1)):
        listener = bind_socket(socket.SOCK_STREAM, listen)
        try:
            datagrams = bind_socket(socket.SOCK_DGRAM, (listen[0], listener.getsockname()[1]))
        except BindError:
            listener.close()
            if not left:
                raise
            continue
        listener.listen(BACKLOG)
        datagrams.settimeout(0.0)  # what is sent in the middle of an event must never wait
        return datagrams, listener


def connected(at):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(at)
    except BaseException:
        sock.close()
        raise
    return sock


def ended(sock) -> bool:
    """Whether the peer has closed it: the first words written after that would be lost without a sign."""
    sock.settimeout(0.0)
    try:
        return sock.recv(1) is not None  # it never says anything on it; if it does, it is none of ours
    except BlockingIOError:
        return False
    except OSError:
        return True
