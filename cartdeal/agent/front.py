"""The application's side: accepts clients' connections, reads their requests and writes the answers.

Owns the listening socket and the connections of clients. It must never let a bad request reach a server or
disturb another connection, and never decides the answer to a valid request: the reducer does.

A connection ends when its client ends it, when a bad request is refused, or when one of its time
limits has passed.
An unidentified client, one without a valid request so far, gets little time and few connections; an
identified one may stay idle for a while. A client in the middle of a request is read as long as bytes keep
coming, and gets an answer if it is closed. The agent half-closes a connection before it closes it, and
discards input for a moment: a request that the client sends at the same time must not be accepted, and must
not reset the connection before the client has read the last answer.

Requests may be pipelined. All requests that are read are answered in order; while many are unanswered, no
more are read. The timeout of each runs from the arrival of its last byte.
"""

import logging
import select
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from cartdeal.agent.client_connection import ClientConnection, EndReason
from cartdeal.agent.connection import is_ready
from cartdeal.agent.connection_budget import ConnectionBudget
from cartdeal.agent.message import ErrorAnswer, MalformedMessageError, UnreadableHeadError
from cartdeal.agent.request_parser import RequestParser
from cartdeal.agent.stalls import StallDetector
from cartdeal.agent.system_errors import RETRY_PAUSE_S, is_own_limit
from cartdeal.sockets import bind_socket

MIN_PAUSE_FOR_CAPACITY_S = 0.3  # in the middle of a request, before its client may be closed for a new one
LINGERING_DIVISOR = 8  # one in this many connections may be lingering
MAX_LISTEN_BACKLOG = 512  # connections that wait to be accepted
DEFERRED_INPUT_READERS = 8  # clients whose deferred input may be parsed in one turn of the event loop
ACCEPT_RETRY_PAUSE_S = 0.05  # after an accept that failed
FINAL_ACCEPT_TIMEOUT_S = 0.2  # how long failing accepts are retried when the listener closes
SWEEP_INTERVAL_S = 0.2  # between searches for connections whose time is up
UNIDENTIFIED_DIVISOR = 4  # one in this many connections may belong to an unidentified client
# If clients hold more than this share of the connections, an idle or slow client is closed for a new one;
# connections to servers need the rest.
MAX_CLIENT_SHARE = 0.6
UNREAD_POLL_INTERVAL_S = 0.05  # between checks for unread input while reading is paused

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
NO_CAPACITY_ANSWER = ErrorAnswer(503, "no room")
SHUTDOWN_ANSWER = ErrorAnswer(503, "the agent ends")
READ_TIMEOUT_ANSWER = ErrorAnswer(408, "the rest of the request did not come in time")
# Behind a request that is refused.
REJECTED_BEHIND_ANSWER = ErrorAnswer(503, "behind a bad request")
# After an internal fault: to a request that was sent to no server, and to one that may have run.
AGENT_FAULT_ANSWER = ErrorAnswer(503, "a fault of the agent")
AGENT_FAULT_AFTER_ATTEMPT_ANSWER = ErrorAnswer(502, "a fault of the agent")

log = logging.getLogger("cartdeal.front")


class FrontServer:
    """The server for the application's clients, and the effects that the reducer has on them."""

    def __init__(self, config, dispatch, ready, budget: ConnectionBudget, on_closed, stalls: StallDetector):
        """`dispatch(event, ...)` passes an event to the reducer; `ready()` tells whether it knows a server.

        `on_closed(reason, unanswered, peer_has_ended)` is called for each connection that is closed.
        """
        self.on_closed, self.stalls = on_closed, stalls
        self.backlog_since = None  # time since which clients may wait in the listen queue, after a stall
        stalls.listeners.append(self.on_stall)
        self.dispatch, self.ready, self.budget = dispatch, ready, budget
        self.request_parser = RequestParser(config.settings)
        self.clients: set[ClientConnection] = set()
        self.lingering: dict[ClientConnection, None] = {}  # half-closed; not in `clients`; oldest first
        # Oldest first; refused clients are added at the end.
        self.unidentified: dict[ClientConnection, None] = {}
        self.is_accepting, self.is_ending, self.clients_changed = True, False, Event()
        self.deferred_input_turns = BoundedSemaphore(DEFERRED_INPUT_READERS)
        self.is_closing_idle = False  # whether clients between requests are closed at once
        # close_lingering closes connections that close_unidentified and close_idle have half-closed.
        budget.closers += self.close_lingering, self.close_unidentified, self.close_idle
        self.listener = bind_socket(socket.SOCK_STREAM, config.listen, MAX_LISTEN_BACKLOG)
        self.port = self.listener.getsockname()[1]

    def accept(self):
        """Accepts clients until `stop_accepting`; runs in a greenlet of its own."""
        while self.is_accepting:
            self.accept_next()
            # Requests that have been read are handled before hundreds of new clients. Of clients that are
            # accepted faster than their first requests come, the oldest would be closed as unidentified.
            gevent.sleep(0)

    def accept_next(self):
        """Waits for the next client and accepts it; a failure is logged."""
        self.reserve_connection()
        if self.backlog_since is not None and not self.has_waiting_clients():
            self.backlog_since = None
        try:
            self.accept_client()
        except OSError as error:
            if self.is_accepting:
                log.warning("accept failed", extra={"reason": str(error)})
                gevent.sleep(ACCEPT_RETRY_PAUSE_S)

    def reserve_connection(self):
        """Acquires a connection from the budget, and closes others where clients hold too many.

        At the connection limit, clients wait in the listen queue.
        """
        if len(self.unidentified) * UNIDENTIFIED_DIVISOR > self.budget.max_connections:
            self.close_unidentified()
        if len(self.clients) > MAX_CLIENT_SHARE * self.budget.max_connections:
            self.close_paused() or self.close_idle()
        while not self.budget.acquire():
            self.budget.capacity_freed.clear()
            # A connected client may become idle or slow later, so that it can be closed for a new one.
            self.budget.capacity_freed.wait(SWEEP_INTERVAL_S)

    def on_stall(self, since: float):
        """Records that unread input and queued clients may have come at any time since `since`."""
        for client in self.clients:
            client.record_unread_since(since)
        if self.is_accepting and self.backlog_since is None and self.has_waiting_clients():
            self.backlog_since = since

    def has_waiting_clients(self) -> bool:
        """Whether there may be clients in the listen queue."""
        return is_ready(self.listener, select.POLLIN, if_unknown=True)

    def accept_client(self):
        """Accepts the next client for a connection that the caller has acquired from the budget.

        On a failure it releases that connection and raises the error, such as the system's OSError.
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
        """Reads a client's requests until its connection ends; runs in a greenlet of its own."""
        try:
            while self.receive(client):
                self.start_next_request(client)
                # A read of input that is already there does not yield: a client whose input comes without a
                # pause would starve the others.
                if client.unparsed:
                    with self.deferred_input_turns:
                        gevent.sleep(0)
                elif not client.awaits_answer:
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
        """Answers what was read on a connection, and ends it, after an internal fault of the agent."""
        client.end_reason = EndReason.AGENT_FAULT
        answers = [AGENT_FAULT_AFTER_ATTEMPT_ANSWER] * client.awaits_answer
        answers += [AGENT_FAULT_ANSWER] * (len(client.messages) + client.mid_message)
        client.messages.clear()
        if client.awaits_answer:
            client.awaits_answer = False
            self.dispatch("on_client_disconnected", client.request_number)
        for answer in answers[:-1]:
            self.write_error(client, answer)
        for answer in answers[-1:]:
            client.refusal = answer
            self.write_error(client, answer, is_last=True)

    def receive(self, client: ClientConnection) -> bool:
        """Waits for a client's input, unless many of its requests are queued; false at its end."""
        try:
            return self.wait_for_turn(client) and client.receive(None)
        except MalformedMessageError as error:
            self.refuse_further_input(client, error.answer)
            if isinstance(error, UnreadableHeadError):
                self.withdraw_last_request(client)
            return True

    def wait_for_turn(self, client: ClientConnection) -> bool:
        """Waits while the queue of its requests is full; false if the client closes meanwhile."""
        while client.has_full_queue() and not (
            client.discards_input or client.has_unread_input_behind_message()
        ):
            client.message_dequeued.clear()
            client.message_dequeued.wait(UNREAD_POLL_INTERVAL_S)
            if client.closed or client.peer_ended():
                return False
            client.record_unread_since()
        return True

    def disconnect(self, client: ClientConnection):
        """Cancels the request that awaits an answer, and closes the connection."""
        if client.awaits_answer:
            client.awaits_answer = False
            self.dispatch("on_client_disconnected", client.request_number)
        client.close()

    def refuse_further_input(self, client: ClientConnection, refusal: ErrorAnswer):
        """Discards further input; complete requests before it are still answered, and then `refusal`."""
        log.info("refused", extra=refusal._asdict())
        client.refusal = refusal
        client.discard_input()
        if client.end_reason is EndReason.PEER_CLOSED:
            client.end_reason = EndReason.REFUSED

    def withdraw_last_request(self, client: ClientConnection):
        """Drops the request before unreadable input, unless it is answered already: its length may be wrong.

        The refusal of the input is the answer to it.
        """
        if client.messages:
            client.release_message(client.messages.pop())
        elif client.awaits_answer:
            client.keep_alive = False
            self.dispatch("on_request_withdrawn", client.request_number)

    def end_connection(self, client: ClientConnection, reason: EndReason, answer: ErrorAnswer):
        """Ends a connection at a time limit, for capacity or at the shutdown.

        Its client has neither closed it nor sent an invalid request.

        A request that was read in part is answered with `answer` first.
        """
        client.end_reason = reason
        if client.is_sending_request:
            self.refuse_further_input(client, answer)
            self.start_next_request(client)
        else:
            client.half_close()

    def reject_request(self, client: ClientConnection, answer: ErrorAnswer):
        """Answers a request that is invalid or that the reducer refuses, and ends the connection.

        Requests that were read after it are rejected.
        """
        answers = [answer] + [REJECTED_BEHIND_ANSWER] * self.discard_requests(client)
        for each in answers[:-1]:
            log.info("request refused", extra=each._asdict())
            self.write_error(client, each)
        self.refuse_further_input(client, answers[-1])

    def write_error(self, client: ClientConnection, answer: ErrorAnswer, is_last: bool = False):
        """Writes the answer for an error; after the last one the connection is half-closed."""
        client.write(format_response(answer.status, answer.reason.encode(), CLOSE_HEADER * is_last), is_last)

    def discard_requests(self, client: ClientConnection) -> int:
        """Drops the requests that were read, including a partial one; returns their number."""
        count = client.drop_messages()
        while client.unparsed:
            try:
                client.receive(0.0)
            except MalformedMessageError:
                break
            count += client.drop_messages()
        return count + client.mid_message

    def start_next_request(self, client: ClientConnection):
        """Starts the next complete request, once the answer to the one before it is written.

        Without this wait, answers that a client does not read would fill the memory.
        """
        while client.messages and not (
            client.awaits_answer or client.writer or client.ends_after_write or client.closed
        ):
            if client.peer_ended():
                client.peer_has_ended = True
                # The client's close would otherwise be noticed only after this request has been started and
                # an attempt may have been sent.
                client.drop_messages()
                break
            if client.has_unread_input_behind_message():
                client.message_dequeued.set()  # `serve` may wait for that; it reads on and calls this again
                return
            message = client.take_message()
            client.keep_alive = message.keep_alive
            path = message.path.partition(b"?")[0]
            if path == b"/health/ready":
                self.identify(client)
                client.finish_message()
                self.respond(client, 200 if self.ready() else 503)
                continue
            try:
                request = self.request_parser.parse(message, path)
            except MalformedMessageError as error:
                self.reject_request(client, error.answer)
                continue
            client.awaits_answer = True
            self.dispatch("on_request", client, request)
        is_refusal_due = client.refusal and not (client.awaits_answer or client.messages)
        if is_refusal_due and not (client.closed or client.ends_after_write):
            client.last_active_at = monotonic()
            self.unidentified[client] = None
            self.write_error(client, client.refusal, is_last=True)

    def identify(self, client: ClientConnection):
        """Marks a client as identified: it has sent a valid request."""
        client.is_identified = True
        self.unidentified.pop(client, None)

    # Effects

    def on_request_accepted(self, client: ClientConnection, request_number: int):
        """Records the number of the request that the reducer has accepted from the client."""
        client.request_number = request_number
        self.identify(client)

    def refuse_request(self, client: ClientConnection, status: int, message: str):
        """Answers a request that the reducer refuses, and ends the connection."""
        client.awaits_answer = False
        self.reject_request(client, ErrorAnswer(status, message))

    def answer(
        self, client: ClientConnection, status: int, content_type: bytes, body: bytes, retry_after: float
    ):
        """Answers the client's request; `retry_after`: seconds for Retry-After, 0 for none."""
        client.awaits_answer, client.last_active_at = False, monotonic()
        client.finish_message()
        extra_headers = b"Content-Type: %b\r\n" % content_type if content_type else b""
        if retry_after:
            extra_headers += b"Retry-After: %.3f\r\n" % retry_after
        self.respond(client, status, body, extra_headers)
        if client.messages or client.refusal:
            gevent.spawn(self.start_next_request, client)
        self.budget.capacity_freed.set()  # an idle connection can be closed for a client in the listen queue
        self.clients_changed.set()

    def respond(self, client: ClientConnection, status: int, body: bytes = b"", extra_headers: bytes = b""):
        """Writes an answer; the last one of a connection closes it."""
        # Requests that have come before the shutdown are answered, also those that were not read yet.
        has_more = client.messages or client.mid_message or client.refusal
        is_last = not client.keep_alive or self.is_ending and not (has_more or client.has_unread_input())
        client.write(format_response(status, body, extra_headers + CLOSE_HEADER * is_last), is_last)

    def linger(self, client: ClientConnection):
        """Called at a half-close: the connection counts against the budget, but no longer as a client."""
        self.clients.discard(client)
        self.unidentified.pop(client, None)
        client.last_active_at = monotonic()
        self.lingering[client] = None
        if len(self.lingering) * LINGERING_DIVISOR > self.budget.max_connections:
            self.close_lingering()
        self.clients_changed.set()

    def on_connection_closed(self, client: ClientConnection):
        """Called once for each connection when it is closed."""
        unanswered = client.awaits_answer + len(client.messages) + (client.mid_message and not client.refusal)
        self.on_closed(client.end_reason, unanswered, client.peer_has_ended or client.write_failed)
        self.clients.discard(client)
        self.unidentified.pop(client, None)
        self.lingering.pop(client, None)
        self.budget.release()
        self.clients_changed.set()

    def close_lingering(self) -> bool:
        """Closes the connection that has been lingering for longest; false if there is none."""
        for client in self.lingering:
            client.close()
            return True
        return False

    def close_unidentified(self) -> bool:
        """Ends the oldest connection of an unidentified client; false if there is none to end.

        One in the middle of a request is chosen only if there is no other. One with unread input may have
        sent a request and is not chosen.
        """
        mid_request = None
        for client in self.unidentified:
            if not client.is_lingering and (client.messages or client.has_unread_input()):
                continue
            if not client.is_sending_request:
                self.end_connection(client, EndReason.CAPACITY, NO_CAPACITY_ANSWER)
                return True
            mid_request = mid_request or client
        if mid_request is None:
            return False
        self.end_connection(mid_request, EndReason.CAPACITY, NO_CAPACITY_ANSWER)
        return True

    def close_paused(self) -> bool:
        """Ends the client that has paused for longest in the middle of a request; false if there is none.

        A client is chosen only if it pauses for over MIN_PAUSE_FOR_CAPACITY_S and all its input is read.
        """
        paused_since = monotonic() - MIN_PAUSE_FOR_CAPACITY_S
        paused = [
            each for each in self.clients if each.is_sending_request and each.last_read_at < paused_since
        ]
        for client in sorted(paused, key=lambda each: each.last_read_at):
            if not client.has_unread_input():
                self.end_connection(client, EndReason.CAPACITY, NO_CAPACITY_ANSWER)
                return True
        return False

    def close_idle(self) -> bool:
        """Ends the identified client that has been idle for longest; false if there is none."""
        idle = (client for client in self.clients if client.is_identified and client.is_between_requests())
        for client in sorted(idle, key=lambda client: client.last_active_at):
            if not client.has_unread_input():
                self.end_connection(client, EndReason.CAPACITY, NO_CAPACITY_ANSWER)
                return True
        return False

    def close_between_requests(self):
        """Ends all clients that are between requests."""
        for client in [
            each for each in self.clients if each.is_between_requests() and not each.has_unread_input()
        ]:
            self.end_connection(client, EndReason.SHUTDOWN, SHUTDOWN_ANSWER)

    def sweep(self):
        """Closes overdue connections at each SWEEP_INTERVAL_S, forever."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.close_overdue()

    def close_overdue(self):
        """Closes the connections whose time is up; during a shutdown, idle ones too."""
        now = monotonic()
        for client in [each for each in (*self.clients, *self.lingering) if each.is_overdue(now)]:
            if client.is_lingering:
                client.close()
            else:
                self.end_connection(client, EndReason.TIMED_OUT, READ_TIMEOUT_ANSWER)
        if self.is_closing_idle:
            self.close_between_requests()

    def stop_accepting(self):
        """Closes the listener. Open connections stay open: their clients may have no other agent.

        Clients in the listen queue are accepted first as far as the budget allows: closing the listener would
        reset their connections.
        """
        self.is_accepting = False
        self.listener.settimeout(0.0)
        deadline = monotonic() + FINAL_ACCEPT_TIMEOUT_S
        # Accepting does not yield: clients that go on connecting must not hold up the shutdown.
        for _ in range(MAX_LISTEN_BACKLOG + 1):
            if not (self.budget.acquire() and self.accept_queued_client(deadline)):
                break
        self.listener.close()

    def accept_queued_client(self, deadline: float) -> bool:
        """Accepts a queued client; false if there is none, or if accepting fails after the deadline."""
        try:
            self.accept_client()
        except BlockingIOError:
            return False
        except OSError as error:
            log.warning("accept failed", extra={"reason": str(error)})
            if is_own_limit(error):
                gevent.sleep(RETRY_PAUSE_S)
            return monotonic() < deadline
        return True

    def wait_until_empty(self, deadline: float):
        """Waits until all connections are closed, or the deadline has passed."""
        while (self.clients or self.lingering) and monotonic() < deadline:
            self.clients_changed.clear()
            self.clients_changed.wait(max(0.0, deadline - monotonic()))

    def close(self, pause_s: float):
        """Closes each connection with its next answer, and idle ones after a pause."""
        self.is_ending = True
        # If it closed at once, requests that clients have just sent would arrive at closed connections.
        gevent.sleep(pause_s)
        self.is_closing_idle = True
        self.close_between_requests()

    def close_all(self):
        """Closes all remaining connections.

        If the process exited instead, sockets with unread input would be reset, and clients could lose the
        last answers.
        """
        for client in [*self.clients, *self.lingering]:
            if not client.is_lingering:
                self.end_connection(client, EndReason.SHUTDOWN, SHUTDOWN_ANSWER)
            client.close()


def format_response(status: int, body: bytes, extra_headers: bytes) -> bytes:
    """The bytes of an answer; `extra_headers`: header lines, each with its line end."""
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES[status],
        len(body),
        extra_headers,
        body,
    )
