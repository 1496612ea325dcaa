"""The application's side: accepts its connections, reads its requests and writes the answers.

Owns the listening socket and the application's connections. It must never let a bad request reach a server or
disturb another connection, and never words a final answer itself: that is the reducer's.

A connection ends when its client ends it, when it is refused, or by the sweep: an unidentified client, which
has asked nothing good yet, has little time and room; one that has asked may stand idle for a while. A client
in the middle of a request is read as long as bytes keep coming, and has an answer should it be closed.
Whatever ends a connection here, it is half-closed first, and what then comes is thrown away for a moment:
what a client sent just then must neither be taken nor reset the connection under its last answer.

Requests may be sent ahead of the answers to those before them. All that is read is answered in turn; while
many wait, no more is read. The time of each runs from when its last byte came.
"""

import hashlib
import logging
import re
import select
from enum import StrEnum
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event

from cartdeal.agent.connection import Connection, ConnectionBudget, Malformed, is_ready
from cartdeal.agent.reducer import Request
from cartdeal.agent.stalls import StallDetector
from cartdeal.agent.system_errors import RETRY_PAUSE, is_own_limit
from cartdeal.balancer_types import Idempotency
from cartdeal.settings import IDEMPOTENCY_BY_NAME, Settings
from cartdeal.sockets import bind_socket

GREETING_TIMEOUT = 1.5  # how long an unidentified client may take from connecting to its first byte
STALL_TIMEOUT = 2.0  # how long a client may pause in the middle of a request
READING_LIMIT = 6.0  # how long it may take over one, or as long as it says that it waits
IDLE_TIMEOUT = 5.0  # how long a client's connection may stand idle
LINGER_TIMEOUT = 0.5  # how long a client may go on sending, unread, after our side has ended
LINGERING_DIVISOR = 8  # one in so many connections may be such a client's
BACKLOG = 512  # connections that wait to be accepted
LAST_ADMISSIONS = 0.2  # seconds for which those are let in at the end, though accepting them fails
SWEEP_INTERVAL = 0.2  # seconds between looks for connections whose time is up
UNIDENTIFIED_DIVISOR = 4  # one in so many connections may be an unidentified client's ...
CLIENT_SHARE = 0.6  # ... and this share a client's, while there are idle ones to close; servers need the rest
LONGEST = 60.0  # what a client says it will wait is cut to this
MARGIN = 0.01  # kept free of a request's time for the agent's own work
MOST_PIPELINED = 16  # requests that wait on one connection for those before, from which on no more is read
UNREAD_LOOK = 0.05  # seconds between looks whether bytes lie unread, while none are read

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    505: b"HTTP Version Not Supported",
}
CLOSE = b"Connection: close\r\n"
NO_ROOM = Malformed(503, "no room")
AGENT_ENDS = Malformed(503, "the agent ends")
OVERDUE = Malformed(408, "the rest of the request did not come in time")
FAULT = Malformed(503, "a fault of the agent")  # in place of an answer to a request that went nowhere ...
FAULT_AFTER_ATTEMPT = Malformed(502, "a fault of the agent")  # ... or to one that may have run
WAIT = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)(m|u)")
UNITS = {b"m": 1e3, b"u": 1e6}
SESSION = re.compile(rb"(?:^|[;,])\s*sid=([^;,]*)")
NAME = re.compile(rb"[!-+\--~]{1,200}")  # an id or a idempotency_key: visible, and no list

log = logging.getLogger("cartdeal.front")


class EndReason(StrEnum):
    """Why a client's connection ended."""

    PEER = "by_peer"  # the client ended it, or asked for it
    REFUSED = "refused"
    OVERDUE = "overdue"
    ROOM = "for_room"
    AGENT_ENDS = "agent_ends"
    FAULT = "fault"


class ClientConnection(Connection):
    """A connection of the application; while it `waits`, `request` is the one that it waits for.

    All times are seconds of the monotonic clock.
    """

    def __init__(self, sock, on_close, budget, on_half_close, on_written, stalls):
        super().__init__(
            sock,
            answers=False,
            on_close=on_close,
            budget=budget,
            on_half_close=on_half_close,
            on_written=on_written,
        )
        self.stalls: StallDetector = stalls
        self.request, self.waits, self.keep_alive, self.asked = 0, False, True, False
        self.refused = None  # what came that ends the connection once all before it is answered
        self.since = monotonic()  # when it came, was last asked on or answered, or was half-closed
        self.read_at = self.since  # when bytes last came
        self.began_at = self.since  # when the first of the message that is coming did ...
        self.reading_limit = READING_LIMIT  # ... and how long the whole of it may take
        self.unread_since = None  # from when on bytes may have lain unread; None: all was read
        self.turn_came = Event()  # set when one of `messages` was taken
        self.peer_has_ended = False  # whether the other side closed or broke the connection
        self.end_reason = EndReason.PEER

    def receive(self, wait: float | None) -> bool:
        more = super().receive(wait)
        self.read_at = monotonic()
        if self.unread_since is None:
            self.unread_since = self.read_at if self.unparsed else None
        elif not self.unread():
            self.unread_since = None
        return more

    def note_unread(self, since: float | None = None):
        """Remembers from when on bytes may have lain unread, if they do; now, where `since` is left out."""
        if self.unread_since is None and self.unread():
            self.unread_since = monotonic() if since is None else since

    def on_message_begin(self):
        super().on_message_begin()
        self.began_at, self.reading_limit = monotonic(), READING_LIMIT
        if self.asked:  # an unidentified client's time runs from when it came, whatever it sends
            self.since = self.began_at

    def on_headers_complete(self):
        super().on_headers_complete()
        stated = stated_wait(self.message.headers)
        self.reading_limit = max(READING_LIMIT, stated or 0.0)
        if self.message.headers.get(b"expect", b"").lower() == b"100-continue" and not self.waits:
            self.push(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self):
        super().on_message_complete()
        came_at = self.stalls.came_since(monotonic())
        self.messages[-1].came_at = came_at if self.unread_since is None else min(came_at, self.unread_since)

    def done(self) -> bool:
        return not (self.waits or self.messages)

    @property
    def is_lingering(self) -> bool:
        """Whether it has been told the end, or would have been if it had read it."""
        return self.half_closed or (self.ends_after_write and self.refused is not None)

    @property
    def is_writing(self) -> bool:
        """Whether a part of a request has come, and nothing else is under way on the connection."""
        return self.mid_message and self.done() and not (self.refused or self.is_lingering)

    def is_between_requests(self) -> bool:
        return self.done() and not (self.mid_message or self.writer or self.refused or self.unparsed)

    def overdue(self, now: float) -> bool:
        if not self.done() or (self.writer and not self.is_lingering):
            return False
        if self.is_lingering:
            return now > self.since + LINGER_TIMEOUT
        if self.mid_message and now > self.began_at + self.reading_limit:
            return True
        if self.mid_message:
            ends_at = self.read_at + STALL_TIMEOUT
        else:
            ends_at = self.since + (IDLE_TIMEOUT if self.asked else GREETING_TIMEOUT)
        # What has come by now and was not read yet came in time.
        return now > ends_at and not self.unread()


class FrontServer:
    def __init__(self, config, dispatch, ready, budget: ConnectionBudget, on_closed, stalls: StallDetector):
        """`on_closed(reason, unanswered, peer_has_ended)` is called for each connection that is closed."""
        self.on_closed, self.stalls = on_closed, stalls
        self.waited_since = None  # from when on those at the door may have waited for an agent held up
        stalls.listeners.append(self.note_held_up)
        self.settings: Settings = config.settings
        self.dispatch, self.ready, self.budget = dispatch, ready, budget
        self.request_classes = {
            kind.name.encode(): place for place, kind in enumerate(self.settings.request_classes)
        }
        self.tenants = {each.name.encode(): place for place, each in enumerate(self.settings.tenants)}
        self.clients: set[ClientConnection] = set()
        self.lingering: dict[ClientConnection, None] = {}  # half-closed and not in `clients`, oldest first
        # the longest here first; those refused come last
        self.unidentified: dict[ClientConnection, None] = {}
        self.taking, self.ending, self.changed = True, False, Event()
        self.closing = False  # whether a client between requests is closed at once
        # The first closes what the others have half-closed.
        budget.closers += self.close_lingering, self.close_unidentified, self.close_idle
        self.listener = bind_socket(socket.SOCK_STREAM, config.listen, BACKLOG)
        self.port = self.listener.getsockname()[1]

    def accept(self):
        while self.taking:
            if len(self.unidentified) * UNIDENTIFIED_DIVISOR > self.budget.most:
                self.close_unidentified()
            if len(self.clients) > CLIENT_SHARE * self.budget.most:
                self.close_idle() or self.close_slowest()
            # Without a descriptor to spare, clients wait in the listening queue until one is free.
            while not self.budget.acquire():
                self.budget.freed.clear()
                # With time a client may become one that is closed for room.
                self.budget.freed.wait(SWEEP_INTERVAL)
            if self.waited_since is not None and not self.somebody_waits():
                self.waited_since = None
            try:
                self.admit()
            except OSError as trouble:
                if self.taking:
                    log.warning("accept failed", extra={"reason": str(trouble)})
                    gevent.sleep(0.05)
                continue
            gevent.sleep(0)  # hundreds that connect at once wait for those that have asked

    def note_held_up(self, since: float):
        """What lies unread, and who waits at the door, may have come at any time since."""
        for client in self.clients:
            client.note_unread(since)
        if self.taking and self.waited_since is None and self.somebody_waits():
            self.waited_since = since

    def somebody_waits(self) -> bool:
        """Whether there are clients at the door, for all that the system can tell."""
        return is_ready(self.listener, select.POLLIN, unknown=True)

    def admit(self):
        """Lets in the next who waits at the door, in a place that was taken from the budget and is given back
        should it fail. Raises what the system raises.
        """
        sock = None
        try:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = ClientConnection(sock, self.closed, self.budget, self.linger, self.begin, self.stalls)
        except BaseException:
            if sock:
                sock.close()
            self.budget.release()
            raise
        if self.waited_since is not None:
            client.note_unread(self.waited_since)
        self.clients.add(client)
        self.unidentified[client] = None
        gevent.spawn(self.serve, client)

    def serve(self, client: ClientConnection):
        try:
            while self.receive(client):
                self.begin(client)
                if not client.waits:
                    # What is answered at once may come without a pause: a read of bytes that are there
                    # does not yield, and nobody else would be served.
                    gevent.sleep(0)
            client.peer_has_ended = True
        except OSError:
            client.peer_has_ended = True
        except Exception:
            log.exception("connection died")
            self.end_after_fault(client)
        finally:
            self.disconnect(client)

    def end_after_fault(self, client: ClientConnection):
        """A fault of the agent's own on a connection: what was read on it is answered all the same."""
        client.end_reason = EndReason.FAULT
        answers = [FAULT_AFTER_ATTEMPT] * client.waits
        answers += [FAULT] * (len(client.messages) + client.mid_message)
        client.messages.clear()
        if client.waits:
            client.waits = False
            self.dispatch("on_client_disconnected", client.request)
        for trouble in answers[:-1]:
            self.push_error(client, trouble)
        for trouble in answers[-1:]:
            client.refused = trouble
            self.push_error(client, trouble, last=True)

    def receive(self, client: ClientConnection) -> bool:
        try:
            return self.wait_for_turn(client) and client.receive(None)
        except Malformed as trouble:
            self.refuse(client, trouble)
            return True

    def wait_for_turn(self, client: ClientConnection) -> bool:
        """Waits while many requests on the connection do; false where the client has gone meanwhile."""
        while len(client.messages) >= MOST_PIPELINED and not client.discards_input:
            client.turn_came.clear()
            client.turn_came.wait(UNREAD_LOOK)
            if client.closed or client.peer_ended():
                return False
            client.note_unread()
        return True

    def disconnect(self, client: ClientConnection):
        if client.waits:
            client.waits = False
            self.dispatch("on_client_disconnected", client.request)
        client.close()

    def refuse(self, client: ClientConnection, trouble: Malformed):
        """From here on nothing that comes is read; what came whole before is still answered."""
        log.info("refused", extra={"status": trouble.status, "reason": str(trouble)})
        client.refused, client.discards_input = trouble, True
        if client.end_reason is EndReason.PEER:
            client.end_reason = EndReason.REFUSED

    def end(self, client: ClientConnection, reason: EndReason, trouble: Malformed):
        """The one way in which the agent ends a connection on which it could go on.

        A request that was read in part has `trouble` for its answer first.
        """
        client.end_reason = reason
        if client.is_writing:
            self.refuse(client, trouble)
            self.begin(client)
        else:
            client.half_close()

    def answer_unusable(self, client: ClientConnection, trouble: Malformed):
        """A whole request that can't be taken ends its connection; those read behind it are rejected."""
        answers = [trouble] + [Malformed(503, "behind a bad request")] * self.drop_read(client)
        for each in answers[:-1]:
            log.info("request refused", extra={"status": each.status, "reason": str(each)})
            self.push_error(client, each)
        self.refuse(client, answers[-1])

    def push_error(self, client: ClientConnection, trouble: Malformed, last: bool = False):
        """Writes the answer that a request has for its fault; behind the last one the connection ends."""
        client.push(response(trouble.status, str(trouble).encode(), CLOSE * last), last)

    def drop_read(self, client: ClientConnection) -> int:
        """Drops the requests that were read, also one of which only a part was; gives how many there were."""
        count = len(client.messages)
        client.messages.clear()
        while client.unparsed:
            try:
                client.receive(0.0)
            except Malformed:
                break
            count += len(client.messages)
            client.messages.clear()
        return count + client.mid_message

    def begin(self, client: ClientConnection):
        """Takes the next request that has come whole, once the one before it is answered and its answer is
        written: those that a client does not read would else fill the memory.
        """
        while client.messages and not (
            client.waits or client.writer or client.ends_after_write or client.closed
        ):
            if client.peer_ended():
                client.peer_has_ended = True
                # Its end would be read behind this request, and an attempt ordered by then still begins.
                client.messages.clear()
                break
            message = client.messages.pop(0)
            client.turn_came.set()
            client.keep_alive = message.keep_alive
            path = message.path.partition(b"?")[0]
            if path == b"/health/ready":
                self.identify(client)
                self.respond(client, 200 if self.ready() else 503)
                continue
            try:
                request = self.request(message, path)
            except Malformed as trouble:
                self.answer_unusable(client, trouble)
                continue
            client.waits = True
            self.dispatch("on_request", client, request)
        refused_last = client.refused and not (client.waits or client.messages)
        if refused_last and not (client.closed or client.ends_after_write):
            client.since = monotonic()
            self.unidentified[client] = None
            self.push_error(client, client.refused, last=True)

    def identify(self, client: ClientConnection):
        client.asked = True
        self.unidentified.pop(client, None)

    def request(self, message, path: bytes) -> Request:
        headers, idempotency_key = message.headers, message.headers.get(b"idempotency-key", b"")
        request_class = self.request_classes.get(path[1:].partition(b"/")[0])
        if request_class is None:
            raise Malformed(404, "no such request class")
        if message.method not in (b"GET", b"POST"):
            raise Malformed(405, "neither GET nor POST")
        if message.method == b"GET" and message.body:
            raise Malformed(400, "a GET with a body")
        if not NAME.fullmatch(headers.get(b"x-request-id", b"")):
            raise Malformed(400, "no X-Request-ID that can be used")
        if idempotency_key and not NAME.fullmatch(idempotency_key):
            raise Malformed(400, "no Idempotency-Key that can be used")
        kind = self.settings.request_classes[request_class]
        wait = stated_wait(headers) if b"x-timeout" in headers else kind.timeout
        if wait is None:
            raise Malformed(400, "X-Timeout is no number with m or u")
        waited = monotonic() - message.came_at
        sessions = set(SESSION.findall(headers.get(b"cookie", b"")))
        if len(sessions) > 1:
            raise Malformed(400, "more than one sid")
        repeat = IDEMPOTENCY_BY_NAME.get(kind.idempotency, Idempotency.NON_IDEMPOTENT)
        tenant = headers.get(b"x-tenant-id", b"")
        # A method promises nothing of a deduplicated class: servers know a repeat by its key alone.
        promised = bool(idempotency_key) if repeat is Idempotency.DEDUPLICATED else message.method == b"GET"
        return Request(
            request_class,
            not promised,
            self.tenants.get(tenant, len(self.tenants) if tenant else 0),
            hashed(sessions.pop()) if sessions else 0,
            wait - waited - min(MARGIN, wait / 10),
            headers.get(b"x-retried") == b"1",
            message.method,
            message.path,
            headers[b"x-request-id"],
            idempotency_key,
            headers.get(b"content-type", b""),
            message.body,
            tenant,
        )

    # Effects

    def begun(self, client: ClientConnection, request: int):
        client.request = request
        self.identify(client)

    def refuse_request(self, client: ClientConnection, status: int, words: str):
        client.waits = False
        self.answer_unusable(client, Malformed(status, words))

    def answer(self, client: ClientConnection, status: int, kind: bytes, body: bytes, wait: float):
        client.waits, client.since = False, monotonic()
        extra = b"Content-Type: %b\r\n" % kind if kind else b""
        if wait:
            extra += b"Retry-After: %.3f\r\n" % wait
        self.respond(client, status, body, extra)
        if client.messages or client.refused:
            gevent.spawn(self.begin, client)
        self.budget.freed.set()  # it may be closed now for one that waits at the door
        self.changed.set()

    def respond(self, client: ClientConnection, status: int, body: bytes = b"", extra: bytes = b""):
        # What was read before the end is answered; what has come and was not read yet is read and answered.
        more = client.messages or client.mid_message or client.refused
        last = not client.keep_alive or self.ending and not (more or client.unread())
        client.push(response(status, body, extra + CLOSE * last), last)

    def linger(self, client: ClientConnection):
        """Half-closed: it counts against the budget until it is closed, and no longer as a client."""
        self.clients.discard(client)
        self.unidentified.pop(client, None)
        client.since = monotonic()
        self.lingering[client] = None
        if len(self.lingering) * LINGERING_DIVISOR > self.budget.most:
            self.close_lingering()
        self.changed.set()

    def closed(self, client: ClientConnection):
        unanswered = client.waits + len(client.messages) + (client.mid_message and not client.refused)
        self.on_closed(client.end_reason, unanswered, client.peer_has_ended or client.broken)
        self.clients.discard(client)
        self.unidentified.pop(client, None)
        self.lingering.pop(client, None)
        self.budget.release()
        self.changed.set()

    def close_lingering(self) -> bool:
        for client in self.lingering:
            client.close()
            return True
        return False

    def close_unidentified(self) -> bool:
        """Half-closes the unidentified client that has been here for longest, one in the middle of a request
        last of all: one with bytes unread may have asked.
        """
        in_the_middle = None
        for client in self.unidentified:
            if not client.is_lingering and (client.messages or client.unread()):
                continue
            if not client.is_writing:
                self.end(client, EndReason.ROOM, NO_ROOM)
                return True
            in_the_middle = in_the_middle or client
        if in_the_middle is None:
            return False
        self.end(in_the_middle, EndReason.ROOM, NO_ROOM)
        return True

    def close_slowest(self) -> bool:
        """Ends the client that has been writing one request for longest, beyond STALL_TIMEOUT."""
        now = monotonic()
        slow = [each for each in self.clients if each.is_writing and now > each.began_at + STALL_TIMEOUT]
        slowest = min(slow, key=lambda each: each.began_at, default=None)
        if slowest is None:
            return False
        self.end(slowest, EndReason.ROOM, NO_ROOM)
        return True

    def close_idle(self) -> bool:
        idle = (client for client in self.clients if client.asked and client.is_between_requests())
        for client in sorted(idle, key=lambda client: client.since):
            if not client.unread():
                self.end(client, EndReason.ROOM, NO_ROOM)
                return True
        return False

    def close_between(self):
        for client in [each for each in self.clients if each.is_between_requests() and not each.unread()]:
            self.end(client, EndReason.AGENT_ENDS, AGENT_ENDS)

    def sweep(self):
        while True:
            gevent.sleep(SWEEP_INTERVAL)
            self.close_overdue()

    def close_overdue(self):
        """Closes the connections whose time is up."""
        now = monotonic()
        for client in [each for each in (*self.clients, *self.lingering) if each.overdue(now)]:
            if client.is_lingering:
                client.close()
            else:
                self.end(client, EndReason.OVERDUE, OVERDUE)
        if self.closing:
            self.close_between()

    def stop_accepting(self):
        """Closes the door. Connections that are open stay so: their clients may have no other way.

        Those that wait at the door are let in first, as far as there is room: its close would reset them.
        """
        self.taking = False
        self.listener.settimeout(0.0)
        until = monotonic() + LAST_ADMISSIONS
        while self.budget.acquire() and self.admit_last(until):
            pass
        self.listener.close()

    def admit_last(self, until: float) -> bool:
        """Lets in one who waits; false where nobody does, or accepting fails and `until` is over."""
        try:
            self.admit()
        except BlockingIOError:
            return False
        except OSError as trouble:
            log.warning("accept failed", extra={"reason": str(trouble)})
            if is_own_limit(trouble):
                gevent.sleep(RETRY_PAUSE)
            return monotonic() < until
        return True

    def wait_empty(self, until: float):
        while (self.clients or self.lingering) and monotonic() < until:
            self.changed.clear()
            self.changed.wait(max(0.0, until - monotonic()))

    def close(self, pause: float):
        """Who asks again is answered with a close, who does not is closed after a pause."""
        self.ending = True
        gevent.sleep(pause)  # to close at once would cross what busy clients have just sent
        self.closing = True
        self.close_between()

    def finish(self):
        """Closes whoever is left. An exit would do so over unread bytes, and reset the last answers."""
        for client in [*self.clients, *self.lingering]:
            if not client.is_lingering:
                self.end(client, EndReason.AGENT_ENDS, AGENT_ENDS)
            client.close()


def response(status: int, body: bytes, extra: bytes) -> bytes:
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASONS[status],
        len(body),
        extra,
        body,
    )


def stated_wait(headers: dict[bytes, bytes]) -> float | None:
    """Seconds that a client says it waits, LONGEST at most; None where it says nothing that can be read."""
    found = WAIT.fullmatch(headers.get(b"x-timeout", b"").strip())
    return min(LONGEST, float(found[1]) / UNITS[found[2]]) if found else None


def hashed(key: bytes) -> int:
    """The same in every process, unlike hash()."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "little") or 1
