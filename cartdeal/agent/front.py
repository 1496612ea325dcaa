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

from cartdeal.agent.connection import Connection, ConnectionBudget, MalformedMessageError, is_ready
from cartdeal.agent.reducer import Request
from cartdeal.agent.stalls import StallDetector
from cartdeal.agent.system_errors import RETRY_PAUSE_S, is_own_limit
from cartdeal.settings import REPEATS, Settings
from cartdeal.sockets import bind_socket
from cartdeal.terms import Repeat

FIRST_BYTE_TIMEOUT_S = 1.5  # how long an unidentified client may take from connecting to its first byte
READ_STALL_TIMEOUT_S = 2.0  # how long a client may pause in the middle of a request
REQUEST_READ_TIMEOUT_S = 6.0  # how long it may take over one, or as long as it says that it waits
IDLE_TIMEOUT_S = 5.0  # how long a client's connection may stand idle
LINGER_TIMEOUT_S = 0.5  # how long a client may go on sending, unread, after our side has ended
LINGERING_DIVISOR = 8  # one in so many connections may be such a client's
MAX_LISTEN_BACKLOG = 512  # connections that wait to be accepted
FINAL_ACCEPT_TIMEOUT_S = 0.2  # seconds for which those are let in at the end, though accepting them fails
SWEEP_INTERVAL_S = 0.2  # seconds between looks for connections whose time is up
UNIDENTIFIED_DIVISOR = 4  # one in so many connections may be an unidentified client's ...
MAX_CLIENT_SHARE = (
    0.6  # ... and this share a client's, while there are idle ones to close; servers need the rest
)
MAX_STATED_TIMEOUT_S = 60.0  # what a client says it will wait is cut to this
AGENT_MARGIN_S = 0.01  # kept free of a request's time for the agent's own work
MAX_PIPELINED_REQUESTS = (
    16  # requests that wait on one connection for those before, from which on no more is read
)
UNREAD_POLL_INTERVAL_S = 0.05  # seconds between looks whether bytes lie unread, while none are read

REASON_PHRASES = {
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
CLOSE_HEADER = b"Connection: close\r\n"
NO_CAPACITY_ERROR = MalformedMessageError(503, "no room")
SHUTDOWN_ERROR = MalformedMessageError(503, "the agent ends")
READ_TIMEOUT_ERROR = MalformedMessageError(408, "the rest of the request did not come in time")
AGENT_FAULT_ERROR = MalformedMessageError(
    503, "a fault of the agent"
)  # in place of an answer to a request that went nowhere ...
AGENT_FAULT_AFTER_ATTEMPT_ERROR = MalformedMessageError(
    502, "a fault of the agent"
)  # ... or to one that may have run
TIMEOUT_PATTERN = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)(m|u)")
TIMEOUT_UNITS_PER_S = {b"m": 1e3, b"u": 1e6}
SESSION_PATTERN = re.compile(rb"(?:^|[;,])\s*sid=([^;,]*)")
IDENTIFIER_PATTERN = re.compile(rb"[!-+\--~]{1,200}")  # an id or a idempotency_key: visible, and no list

log = logging.getLogger("cartdeal.front")


class EndReason(StrEnum):
    """Why a client's connection ended."""

    PEER_CLOSED = "by_peer"  # the client ended it, or asked for it
    REFUSED = "refused"
    TIMED_OUT = "overdue"
    CAPACITY = "for_room"
    SHUTDOWN = "agent_ends"
    AGENT_FAULT = "fault"


class ClientConnection(Connection):
    """A connection of the application; while it `waits`, `request` is the one that it waits for.

    All times are seconds of the monotonic clock.
    """

    def __init__(self, sock, on_close, budget, on_half_close, on_written, stalls):
        super().__init__(
            sock,
            reads_responses=False,
            on_close=on_close,
            budget=budget,
            on_half_close=on_half_close,
            on_written=on_written,
        )
        self.stalls: StallDetector = stalls
        self.request_number, self.awaits_answer, self.keep_alive, self.is_identified = 0, False, True, False
        self.refusal = None  # what came that ends the connection once all before it is answered
        self.last_active_at = monotonic()  # when it came, was last asked on or answered, or was half-closed
        self.last_read_at = self.last_active_at  # when bytes last came
        self.message_began_at = self.last_active_at  # when the first of the message that is coming did ...
        self.read_timeout = REQUEST_READ_TIMEOUT_S  # ... and how long the whole of it may take
        self.unread_since = None  # from when on bytes may have lain unread; None: all was read
        self.message_dequeued = Event()  # set when one of `messages` was taken
        self.peer_has_ended = False  # whether the other side closed or broke the connection
        self.end_reason = EndReason.PEER_CLOSED

    def receive(self, wait: float | None) -> bool:
        more = super().receive(wait)
        self.last_read_at = monotonic()
        if self.unread_since is None:
            self.unread_since = self.last_read_at if self.unparsed else None
        elif not self.has_unread_input():
            self.unread_since = None
        return more

    def record_unread_since(self, since: float | None = None):
        """Remembers from when on bytes may have lain unread, if they do; now, where `since` is left out."""
        if self.unread_since is None and self.has_unread_input():
            self.unread_since = monotonic() if since is None else since

    def on_message_begin(self):
        super().on_message_begin()
        self.message_began_at, self.read_timeout = monotonic(), REQUEST_READ_TIMEOUT_S
        if self.is_identified:  # an unidentified client's time runs from when it came, whatever it sends
            self.last_active_at = self.message_began_at

    def on_headers_complete(self):
        super().on_headers_complete()
        stated = parse_timeout(self.message.headers)
        self.read_timeout = max(REQUEST_READ_TIMEOUT_S, stated or 0.0)
        if self.message.headers.get(b"expect", b"").lower() == b"100-continue" and not self.awaits_answer:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self):
        super().on_message_complete()
        came_at = self.stalls.earliest_arrival(monotonic())
        self.messages[-1].came_at = came_at if self.unread_since is None else min(came_at, self.unread_since)

    def all_messages_handled(self) -> bool:
        return not (self.awaits_answer or self.messages)

    @property
    def is_lingering(self) -> bool:
        """Whether it has been told the end, or would have been if it had read it."""
        return self.half_closed or (self.ends_after_write and self.refusal is not None)

    @property
    def is_writing(self) -> bool:
        """Whether a part of a request has come, and nothing else is under way on the connection."""
        return self.mid_message and self.all_messages_handled() and not (self.refusal or self.is_lingering)

    def is_between_requests(self) -> bool:
        return self.all_messages_handled() and not (
            self.mid_message or self.writer or self.refusal or self.unparsed
        )

    def is_overdue(self, now: float) -> bool:
        if not self.all_messages_handled() or (self.writer and not self.is_lingering):
            return False
        if self.is_lingering:
            return now > self.last_active_at + LINGER_TIMEOUT_S
        if self.mid_message and now > self.message_began_at + self.read_timeout:
            return True
        if self.mid_message:
            ends_at = self.last_read_at + READ_STALL_TIMEOUT_S
        else:
            ends_at = self.last_active_at + (IDLE_TIMEOUT_S if self.is_identified else FIRST_BYTE_TIMEOUT_S)
        # What has come by now and was not read yet came in time.
        return now > ends_at and not self.has_unread_input()


class FrontServer:
    def __init__(self, config, dispatch, ready, budget: ConnectionBudget, on_closed, stalls: StallDetector):
        """`on_closed(reason, unanswered, peer_has_ended)` is called for each connection that is closed."""
        self.on_closed, self.stalls = on_closed, stalls
        self.backlog_since = None  # from when on those at the door may have waited for an agent held up
        stalls.listeners.append(self.on_stall)
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
        self.is_accepting, self.is_ending, self.clients_changed = True, False, Event()
        self.is_closing_idle = False  # whether a client between requests is closed at once
        # The first closes what the others have half-closed.
        budget.closers += self.close_lingering, self.close_unidentified, self.close_idle
        self.listener = bind_socket(socket.SOCK_STREAM, config.listen, MAX_LISTEN_BACKLOG)
        self.port = self.listener.getsockname()[1]

    def accept(self):
        while self.is_accepting:
            if len(self.unidentified) * UNIDENTIFIED_DIVISOR > self.budget.max_connections:
                self.close_unidentified()
            if len(self.clients) > MAX_CLIENT_SHARE * self.budget.max_connections:
                self.close_idle() or self.close_slowest()
            # Without a descriptor to spare, clients wait in the listening queue until one is free.
            while not self.budget.acquire():
                self.budget.capacity_freed.clear()
                # With time a client may become one that is closed for room.
                self.budget.capacity_freed.wait(SWEEP_INTERVAL_S)
            if self.backlog_since is not None and not self.has_waiting_clients():
                self.backlog_since = None
            try:
                self.accept_client()
            except OSError as error:
                if self.is_accepting:
                    log.warning("accept failed", extra={"reason": str(error)})
                    gevent.sleep(0.05)
                continue
            gevent.sleep(0)  # hundreds that connect at once wait for those that have asked

    def on_stall(self, since: float):
        """What lies unread, and who waits at the door, may have come at any time since."""
        for client in self.clients:
            client.record_unread_since(since)
        if self.is_accepting and self.backlog_since is None and self.has_waiting_clients():
            self.backlog_since = since

    def has_waiting_clients(self) -> bool:
        """Whether there are clients at the door, for all that the system can tell."""
        return is_ready(self.listener, select.POLLIN, if_unknown=True)

    def accept_client(self):
        """Lets in the next who waits at the door, in a place that was taken from the budget and is given back
        should it fail. Raises what the system raises.
        """
        sock = None
        try:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = ClientConnection(
                sock,
                self.on_connection_closed,
                self.budget,
                self.linger,
                self.start_next_request,
                self.stalls,
            )
        except BaseException:
            if sock:
                sock.close()
            self.budget.release()
            raise
        if self.backlog_since is not None:
            client.record_unread_since(self.backlog_since)
        self.clients.add(client)
        self.unidentified[client] = None
        gevent.spawn(self.serve, client)

    def serve(self, client: ClientConnection):
        try:
            while self.receive(client):
                self.start_next_request(client)
                if not client.awaits_answer:
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
        client.end_reason = EndReason.AGENT_FAULT
        answers = [AGENT_FAULT_AFTER_ATTEMPT_ERROR] * client.awaits_answer
        answers += [AGENT_FAULT_ERROR] * (len(client.messages) + client.mid_message)
        client.messages.clear()
        if client.awaits_answer:
            client.awaits_answer = False
            self.dispatch("client_disconnected", client.request_number)
        for error in answers[:-1]:
            self.write_error(client, error)
        for error in answers[-1:]:
            client.refusal = error
            self.write_error(client, error, last=True)

    def receive(self, client: ClientConnection) -> bool:
        try:
            return self.wait_for_turn(client) and client.receive(None)
        except MalformedMessageError as error:
            self.refuse(client, error)
            return True

    def wait_for_turn(self, client: ClientConnection) -> bool:
        """Waits while many requests on the connection do; false where the client has gone meanwhile."""
        while len(client.messages) >= MAX_PIPELINED_REQUESTS and not client.discards_input:
            client.message_dequeued.clear()
            client.message_dequeued.wait(UNREAD_POLL_INTERVAL_S)
            if client.closed or client.peer_ended():
                return False
            client.record_unread_since()
        return True

    def disconnect(self, client: ClientConnection):
        if client.awaits_answer:
            client.awaits_answer = False
            self.dispatch("client_disconnected", client.request_number)
        client.close()

    def refuse(self, client: ClientConnection, error: MalformedMessageError):
        """From here on nothing that comes is read; what came whole before is still answered."""
        log.info("refused", extra={"status": error.status, "reason": str(error)})
        client.refusal, client.discards_input = error, True
        if client.end_reason is EndReason.PEER_CLOSED:
            client.end_reason = EndReason.REFUSED

    def end_connection(self, client: ClientConnection, reason: EndReason, error: MalformedMessageError):
        """The one way in which the agent ends a connection on which it could go on.

        A request that was read in part has `error` for its answer first.
        """
        client.end_reason = reason
        if client.is_writing:
            self.refuse(client, error)
            self.start_next_request(client)
        else:
            client.half_close()

    def reject_request(self, client: ClientConnection, error: MalformedMessageError):
        """A whole request that can't be taken ends its connection; those read behind it are rejected."""
        answers = [error] + [MalformedMessageError(503, "behind a bad request")] * self.discard_requests(
            client
        )
        for each in answers[:-1]:
            log.info("request refused", extra={"status": each.status, "reason": str(each)})
            self.write_error(client, each)
        self.refuse(client, answers[-1])

    def write_error(self, client: ClientConnection, error: MalformedMessageError, last: bool = False):
        """Writes the answer that a request has for its fault; behind the last one the connection ends."""
        client.write(response(error.status, str(error).encode(), CLOSE_HEADER * last), last)

    def discard_requests(self, client: ClientConnection) -> int:
        """Drops the requests that were read, also one of which only a part was; gives how many there were."""
        count = len(client.messages)
        client.messages.clear()
        while client.unparsed:
            try:
                client.receive(0.0)
            except MalformedMessageError:
                break
            count += len(client.messages)
            client.messages.clear()
        return count + client.mid_message

    def start_next_request(self, client: ClientConnection):
        """Takes the next request that has come whole, once the one before it is answered and its answer is
        written: those that a client does not read would else fill the memory.
        """
        while client.messages and not (
            client.awaits_answer or client.writer or client.ends_after_write or client.closed
        ):
            if client.peer_ended():
                client.peer_has_ended = True
                # Its end would be read behind this request, and an attempt ordered by then still begins.
                client.messages.clear()
                break
            message = client.messages.pop(0)
            client.message_dequeued.set()
            client.keep_alive = message.keep_alive
            path = message.path.partition(b"?")[0]
            if path == b"/health/ready":
                self.identify(client)
                self.respond(client, 200 if self.ready() else 503)
                continue
            try:
                request = self.parse_request(message, path)
            except MalformedMessageError as error:
                self.reject_request(client, error)
                continue
            client.awaits_answer = True
            self.dispatch("taken", client, request)
        refused_last = client.refusal and not (client.awaits_answer or client.messages)
        if refused_last and not (client.closed or client.ends_after_write):
            client.last_active_at = monotonic()
            self.unidentified[client] = None
            self.write_error(client, client.refusal, last=True)

    def identify(self, client: ClientConnection):
        client.is_identified = True
        self.unidentified.pop(client, None)

    def parse_request(self, message, path: bytes) -> Request:
        headers, idempotency_key = message.headers, message.headers.get(b"idempotency-key", b"")
        request_class = self.request_classes.get(path[1:].partition(b"/")[0])
        if request_class is None:
            raise MalformedMessageError(404, "no such request class")
        if message.method not in (b"GET", b"POST"):
            raise MalformedMessageError(405, "neither GET nor POST")
        if message.method == b"GET" and message.body:
            raise MalformedMessageError(400, "a GET with a body")
        if not IDENTIFIER_PATTERN.fullmatch(headers.get(b"x-request-id", b"")):
            raise MalformedMessageError(400, "no X-Request-ID that can be used")
        if idempotency_key and not IDENTIFIER_PATTERN.fullmatch(idempotency_key):
            raise MalformedMessageError(400, "no Idempotency-Key that can be used")
        kind = self.settings.request_classes[request_class]
        wait = parse_timeout(headers) if b"x-timeout" in headers else kind.timeout
        if wait is None:
            raise MalformedMessageError(400, "X-Timeout is no number with m or u")
        waited = monotonic() - message.came_at
        sessions = set(SESSION_PATTERN.findall(headers.get(b"cookie", b"")))
        if len(sessions) > 1:
            raise MalformedMessageError(400, "more than one sid")
        repeat = REPEATS.get(kind.repeat, Repeat.NON_IDEMPOTENT)
        tenant = headers.get(b"x-tenant-id", b"")
        # A method promises nothing of a deduplicated class: servers know a repeat by its key alone.
        promised = bool(idempotency_key) if repeat is Repeat.DEDUPLICATED else message.method == b"GET"
        return Request(
            request_class,
            not promised,
            self.tenants.get(tenant, len(self.tenants) if tenant else 0),
            hash_key(sessions.pop()) if sessions else 0,
            wait - waited - min(AGENT_MARGIN_S, wait / 10),
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
        client.request_number = request
        self.identify(client)

    def refuse_request(self, client: ClientConnection, status: int, words: str):
        client.awaits_answer = False
        self.reject_request(client, MalformedMessageError(status, words))

    def answer(self, client: ClientConnection, status: int, kind: bytes, body: bytes, wait: float):
        client.awaits_answer, client.last_active_at = False, monotonic()
        extra = b"Content-Type: %b\r\n" % kind if kind else b""
        if wait:
            extra += b"Retry-After: %.3f\r\n" % wait
        self.respond(client, status, body, extra)
        if client.messages or client.refusal:
            gevent.spawn(self.start_next_request, client)
        self.budget.capacity_freed.set()  # it may be closed now for one that waits at the door
        self.clients_changed.set()

    def respond(self, client: ClientConnection, status: int, body: bytes = b"", extra: bytes = b""):
        # What was read before the end is answered; what has come and was not read yet is read and answered.
        more = client.messages or client.mid_message or client.refusal
        last = not client.keep_alive or self.is_ending and not (more or client.has_unread_input())
        client.write(response(status, body, extra + CLOSE_HEADER * last), last)

    def linger(self, client: ClientConnection):
        """Half-closed: it counts against the budget until it is closed, and no longer as a client."""
        self.clients.discard(client)
        self.unidentified.pop(client, None)
        client.last_active_at = monotonic()
        self.lingering[client] = None
        if len(self.lingering) * LINGERING_DIVISOR > self.budget.max_connections:
            self.close_lingering()
        self.clients_changed.set()

    def on_connection_closed(self, client: ClientConnection):
        unanswered = client.awaits_answer + len(client.messages) + (client.mid_message and not client.refusal)
        self.on_closed(client.end_reason, unanswered, client.peer_has_ended or client.write_failed)
        self.clients.discard(client)
        self.unidentified.pop(client, None)
        self.lingering.pop(client, None)
        self.budget.release()
        self.clients_changed.set()

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
            if not client.is_lingering and (client.messages or client.has_unread_input()):
                continue
            if not client.is_writing:
                self.end_connection(client, EndReason.CAPACITY, NO_CAPACITY_ERROR)
                return True
            in_the_middle = in_the_middle or client
        if in_the_middle is None:
            return False
        self.end_connection(in_the_middle, EndReason.CAPACITY, NO_CAPACITY_ERROR)
        return True

    def close_slowest(self) -> bool:
        """Ends the client that has been writing one request for longest, beyond READ_STALL_TIMEOUT_S."""
        now = monotonic()
        slow = [
            each
            for each in self.clients
            if each.is_writing and now > each.message_began_at + READ_STALL_TIMEOUT_S
        ]
        slowest = min(slow, key=lambda each: each.message_began_at, default=None)
        if slowest is None:
            return False
        self.end_connection(slowest, EndReason.CAPACITY, NO_CAPACITY_ERROR)
        return True

    def close_idle(self) -> bool:
        idle = (client for client in self.clients if client.is_identified and client.is_between_requests())
        for client in sorted(idle, key=lambda client: client.last_active_at):
            if not client.has_unread_input():
                self.end_connection(client, EndReason.CAPACITY, NO_CAPACITY_ERROR)
                return True
        return False

    def close_between_requests(self):
        for client in [
            each for each in self.clients if each.is_between_requests() and not each.has_unread_input()
        ]:
            self.end_connection(client, EndReason.SHUTDOWN, SHUTDOWN_ERROR)

    def sweep(self):
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.close_overdue()

    def close_overdue(self):
        """Closes the connections whose time is up."""
        now = monotonic()
        for client in [each for each in (*self.clients, *self.lingering) if each.is_overdue(now)]:
            if client.is_lingering:
                client.close()
            else:
                self.end_connection(client, EndReason.TIMED_OUT, READ_TIMEOUT_ERROR)
        if self.is_closing_idle:
            self.close_between_requests()

    def stop_accepting(self):
        """Closes the door. Connections that are open stay so: their clients may have no other way.

        Those that wait at the door are let in first, as far as there is room: its close would reset them.
        """
        self.is_accepting = False
        self.listener.settimeout(0.0)
        until = monotonic() + FINAL_ACCEPT_TIMEOUT_S
        while self.budget.acquire() and self.accept_queued_client(until):
            pass
        self.listener.close()

    def accept_queued_client(self, until: float) -> bool:
        """Lets in one who waits; false where nobody does, or accepting fails and `until` is over."""
        try:
            self.accept_client()
        except BlockingIOError:
            return False
        except OSError as error:
            log.warning("accept failed", extra={"reason": str(error)})
            if is_own_limit(error):
                gevent.sleep(RETRY_PAUSE_S)
            return monotonic() < until
        return True

    def wait_until_empty(self, until: float):
        while (self.clients or self.lingering) and monotonic() < until:
            self.clients_changed.clear()
            self.clients_changed.wait(max(0.0, until - monotonic()))

    def close(self, pause: float):
        """Who asks again is answered with a close, who does not is closed after a pause."""
        self.is_ending = True
        gevent.sleep(pause)  # to close at once would cross what busy clients have just sent
        self.is_closing_idle = True
        self.close_between_requests()

    def close_all(self):
        """Closes whoever is left. An exit would do so over unread bytes, and reset the last answers."""
        for client in [*self.clients, *self.lingering]:
            if not client.is_lingering:
                self.end_connection(client, EndReason.SHUTDOWN, SHUTDOWN_ERROR)
            client.close()


def response(status: int, body: bytes, extra: bytes) -> bytes:
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES[status],
        len(body),
        extra,
        body,
    )


def parse_timeout(headers: dict[bytes, bytes]) -> float | None:
    """The request's X-Timeout in seconds, at most MAX_STATED_TIMEOUT_S; None if it is absent or invalid."""
    found = TIMEOUT_PATTERN.fullmatch(headers.get(b"x-timeout", b"").strip())
    return min(MAX_STATED_TIMEOUT_S, float(found[1]) / TIMEOUT_UNITS_PER_S[found[2]]) if found else None


def hash_key(key: bytes) -> int:
    """The same in every process, unlike hash()."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "little") or 1
