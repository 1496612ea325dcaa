"""The pool of connections to servers, and the attempts and probes that are sent on them.

Keeps idle connections, reuses the newest first, and closes them well before a server would. Every attempt
ends in one AttemptResult that tells its progress. It must never send anything twice, nor choose a server.
"""

import logging
from math import inf
from time import monotonic
from typing import Annotated

import gevent
import msgspec
from gevent import socket

from cartdeal.agent.connection import MAX_SURPLUS_BYTES, Connection
from cartdeal.agent.connection_budget import ConnectionBudget
from cartdeal.agent.message import MalformedMessageError
from cartdeal.agent.reducer import AttemptEndReason, AttemptResult, Progress
from cartdeal.agent.surplus import may_be_rest_of_body
from cartdeal.agent.system_errors import (
    RETRY_PAUSE_S,
    is_no_route,
    is_own_limit,
    is_transient,
    is_wait_timeout,
)
from cartdeal.balancer_types import LoadReport
from cartdeal.settings import load_report, seconds

SPARE_DIVISOR = 8  # one in this many connections is left for clients
# A connection is not reused for this long after an answer: surplus bytes of that answer show by then.
REUSABLE_AFTER_S = 0.02
MAX_IDLE_SHARE = 0.6  # share of the server's idle timeout after which an idle connection is closed
DEFAULT_CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_FACTOR = 2.0  # timeout of a probe as a multiple of the connect timeout
SWEEP_INTERVAL_S = 1.0  # between searches for connections that have been idle too long
RESPONSE_HEADERS = frozenset((b"content-type", b"x-not-processed", b"x-server-load"))

ReportedValue = Annotated[float, msgspec.Meta(ge=0, le=1e9)]

log = logging.getLogger("cartdeal.upstream")


class NoConnectionError(Exception):
    """The limits of the agent, or of its machine, allow no connection for an attempt."""


class AttemptNotSentError(Exception):
    """The attempt is no longer allowed, and its request has not been written in full."""


class ServerLoad(msgspec.Struct):
    """A server's report of its load, as JSON. A value out of range makes the whole report invalid."""

    outstanding: ReportedValue | None = None
    throughput: ReportedValue | None = None
    backlog: ReportedValue | None = None
    recent_ms: ReportedValue | None = None


class ServerConnection(Connection):
    """A connection to a server."""

    retained_headers = RESPONSE_HEADERS

    def __init__(self, sock, address: str, budget: ConnectionBudget):
        """`address`: that of the server, as in the list."""
        super().__init__(
            sock,
            reads_responses=True,
            on_close=lambda connection: budget.release(),
            budget=budget,
            allows_close_delimited=True,
        )
        self.address = address

    def receive_surplus(self):
        """Reads what has come behind the answer by now and was not read with it."""
        if self.has_unread_input():
            try:
                self.sock.settimeout(0.0)
                self.surplus += self.sock.recv(MAX_SURPLUS_BYTES)
            except OSError:
                pass  # the answer is whole; the next use of the connection finds the error
            self.has_surplus_input = True


class Attempt:
    """A running attempt or probe: its connection and progress. Times are monotonic seconds."""

    def __init__(self):
        self.started_at = monotonic()
        self.progress = Progress.NOT_CONNECTED
        self.connection = None
        self.greenlet = None
        self.is_started = self.is_cancelled = False

    def make_result(self, reason: AttemptEndReason, detail: str = "") -> AttemptResult:
        """The result of an attempt without a complete answer; a cancelled one has the reason CANCELLED."""
        if self.is_cancelled:
            reason = AttemptEndReason.CANCELLED
        return AttemptResult(reason, self.progress, monotonic() - self.started_at, detail=detail)


class OutgoingMessage:
    """What an exchange writes to a server: a probe, or an attempt of a request."""

    def __init__(self, text: bytes):
        """`text`: all bytes of the message."""
        self.text = text

    def encode(self) -> bytes:
        """The bytes to write; called right before they are written."""
        return self.text

    def check_may_send(self):
        """Raises AttemptNotSentError if the message may not be sent any more."""

    def on_started(self):
        """Called right after the first byte is sent."""


class AttemptMessage(OutgoingMessage):
    """The bytes of an attempt."""

    def __init__(
        self, pool: "UpstreamPool", request_number: int, attempt_number: int, server: int, request, deadline
    ):
        """`deadline`: of the request, in monotonic seconds."""
        self.pool, self.request, self.deadline = pool, request, deadline
        self.numbers = request_number, attempt_number, server
        self.timeout_ms = 0  # that the server is told

    def encode(self) -> bytes:
        """The request with the time that is left."""
        self.timeout_ms = milliseconds_left(self.deadline)
        return encode_request(self.request, self.timeout_ms)

    def check_may_send(self):
        """Raises AttemptNotSentError if the attempt is no longer allowed."""
        if not self.pool.may_send(*self.numbers):
            raise AttemptNotSentError

    def on_started(self):
        """Passes on the timeout that the server was told."""
        self.pool.on_attempt_started(*self.numbers, self.timeout_ms / 1000)


class UpstreamPool:
    """Sends attempts and probes, each in a greenlet of its own, on connections that it keeps for reuse.

    Spans are seconds, and times are monotonic seconds.
    """

    def __init__(
        self,
        config,
        dispatch,
        budget: ConnectionBudget,
        may_send,
        on_attempt_started,
        on_attempt_ended,
    ):
        """`may_send(request, attempt, server)` tells whether an attempt may still be sent.

        `on_attempt_started(request, attempt, server, timeout_s)` is called right after its first byte, with
        the timeout that the server is told. `on_attempt_ended(request, server, attempt, result, load)` is
        called once for each attempt.
        """
        self.may_send, self.on_attempt_started = may_send, on_attempt_started
        self.on_attempt_ended = on_attempt_ended
        permissions = config.settings.permissions
        self.dispatch, self.budget = dispatch, budget
        self.connect_timeout = seconds(permissions.connect_timeout_us) or DEFAULT_CONNECT_TIMEOUT_S
        self.max_idle_time = MAX_IDLE_SHARE * (seconds(permissions.idle_timeout_us) or 10.0)
        self.report_settings = config.settings.load_reports
        self.probe_path = b"/health/live" if self.report_settings.source == "none" else b"/stats"
        # By server, not by address: another server at the same address inherits no connection.
        self.idle: dict[int, list[ServerConnection]] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # by the numbers of request and attempt
        self.last_read_at = -inf  # when input from any server was last read
        self.no_route_since: dict[int, float] = {}  # by server: when the machine first had no route to it
        budget.closers.append(self.close_oldest)

    # Effects

    def send_attempt(
        self, request_number: int, attempt_number: int, server: int, address: str, request, deadline: float
    ):
        """Starts an attempt; it ends with an event, whatever happens."""
        attempt = self.attempts[request_number, attempt_number] = Attempt()
        attempt.greenlet = gevent.spawn(
            self.run_attempt, attempt, request_number, attempt_number, server, address, request, deadline
        )

    def cancel(self, request_number: int, attempt_number: int):
        """Cancels a running attempt; it still ends with an event."""
        attempt = self.attempts.get((request_number, attempt_number))
        if attempt:
            attempt.is_cancelled = True
            if attempt.is_started:  # a greenlet that is killed before it starts would dispatch no event
                attempt.greenlet.kill(block=False)

    def probe(self, server: int, address: str):
        """Starts a probe; it ends with an event."""
        gevent.spawn(self.run_probe, server, address)

    def close_idle(self, server: int):
        """Closes the idle connections to a server."""
        self.no_route_since.pop(server, None)
        for connection in self.idle.pop(server, ()):
            connection.close()

    def close_oldest(self) -> bool:
        """Closes the connection that has been idle for longest; false if there is none."""
        oldest_server = min(self.idle, key=lambda server: self.idle[server][0].last_active_at, default=None)
        if oldest_server is None:
            return False
        self.idle[oldest_server].pop(0).close()
        self.remove_if_empty(oldest_server)
        return True

    # Greenlets

    def run_attempt(self, attempt, request_number, attempt_number, server, address, request, deadline):
        """Performs an attempt and dispatches its result; runs in a greenlet of its own."""

        result = self.exchange(
            attempt,
            server,
            address,
            deadline,
            AttemptMessage(self, request_number, attempt_number, server, request, deadline),
        )
        del self.attempts[request_number, attempt_number]
        if result.reason is not AttemptEndReason.ANSWERED or result.status != 200:
            log.info(
                "attempt ended",
                extra={
                    "request": request.id.decode("latin-1"),
                    "address": address,
                    "outcome": result.outcome().value,
                    "reason": result.detail,
                },
            )
        if result.reason is AttemptEndReason.CONNECTION_BROKEN:
            # The other connections may be broken too, and a request that is sent on one of them may be
            # impossible to repeat.
            self.close_idle(server)
        self.on_attempt_ended(
            request_number,
            server,
            attempt_number,
            result,
            self.parse_load(result.raw_load_report),
        )

    def run_probe(self, server, address):
        """Performs a probe and dispatches its result; runs in a greenlet of its own."""
        attempt = Attempt()
        deadline = attempt.started_at + PROBE_TIMEOUT_FACTOR * self.connect_timeout
        request_bytes = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (self.probe_path, address.encode())
        result = self.exchange(attempt, server, address, deadline, OutgoingMessage(request_bytes))
        if result.reason in (AttemptEndReason.CONNECTION_BROKEN, AttemptEndReason.TIMED_OUT):
            self.close_idle(server)  # connections to a machine that does not answer stay silent, or break
        self.dispatch("on_probe_ended", server, result, self.parse_load(result.body))

    def parse_load(self, raw_report: bytes) -> LoadReport | None:
        """The load that a server reports; None if the deployment has no reports, or this one is unusable."""
        if self.report_settings.source == "none" or not raw_report:
            return None
        try:
            report = msgspec.json.decode(raw_report, type=ServerLoad)
        except (msgspec.MsgspecError, UnicodeError):
            return None
        return load_report(report.outstanding, report.throughput, report.backlog, report.recent_ms)

    def exchange(
        self, attempt: Attempt, server: int, address: str, deadline: float, message: OutgoingMessage
    ) -> AttemptResult:
        """Writes one request and reads its whole answer; a failure is returned in the result, not raised."""
        answer, attempt.is_started = None, True
        try:
            if attempt.is_cancelled:
                return attempt.make_result(AttemptEndReason.CANCELLED)
            message.check_may_send()
            attempt.connection = self.take_idle(server, address)
            if attempt.connection is None:
                attempt.connection = self.connect(server, address, deadline)
            # Connecting may have taken seconds. No other greenlet runs from here to the first byte.
            self.write(attempt, message, deadline)
            answer = self.read(attempt, deadline)
            if answer is None:
                return attempt.make_result(AttemptEndReason.CONNECTION_BROKEN, "ended early")
            attempt.progress = Progress.COMPLETE
            return AttemptResult(
                AttemptEndReason.ANSWERED,
                attempt.progress,
                monotonic() - attempt.started_at,
                answer.status,
                answer.headers.get(b"x-not-processed") == b"1",
                answer.headers.get(b"content-type", b""),
                answer.body,
                answer.headers.get(b"x-server-load", b""),
                f"status {answer.status}",
            )
        except gevent.GreenletExit:
            return attempt.make_result(AttemptEndReason.CANCELLED)
        except AttemptNotSentError:
            return attempt.make_result(AttemptEndReason.NOT_SENT, "no longer allowed to be sent")
        except NoConnectionError as error:
            return attempt.make_result(AttemptEndReason.NO_CONNECTION, str(error))
        except MalformedMessageError as error:
            return attempt.make_result(AttemptEndReason.MALFORMED_RESPONSE, str(error))
        except OSError as error:
            if is_wait_timeout(error):
                return attempt.make_result(AttemptEndReason.TIMED_OUT, "no answer in time")
            return attempt.make_result(AttemptEndReason.CONNECTION_BROKEN, str(error))
        except Exception as error:
            log.exception("attempt died", extra={"address": address})
            return attempt.make_result(AttemptEndReason.CONNECTION_BROKEN, repr(error))
        finally:
            connection = attempt.connection
            if (
                connection
                and answer
                and answer.keep_alive
                and not connection.has_surplus_input
                and not attempt.is_cancelled
            ):
                connection.release_message(answer)
                self.keep_idle(server, connection)
            elif connection:
                connection.close()

    def write(self, attempt: Attempt, message: OutgoingMessage, deadline: float):
        """Writes a request and records the attempt's progress. Raises what the socket raises."""
        sock, rest = attempt.connection.sock, memoryview(message.encode())
        sock.settimeout(0.0)
        while rest:
            # Nothing comes between this check and the system call: if the process is stopped there, the
            # client may be gone when it goes on. A server starts with the last byte of a request: after a
            # delay beyond the deduplication window it must not be sent.
            message.check_may_send()
            try:
                rest = rest[sock.send(rest) :]
            except OSError as error:
                self.wait_to_write(sock, error, deadline)
                continue
            is_first = attempt.progress is Progress.NOT_CONNECTED
            attempt.progress = Progress.PARTLY_WRITTEN if rest else Progress.WRITTEN
            if is_first:
                message.on_started()

    def wait_to_write(self, sock, error: OSError, deadline: float):
        """Waits until a failed write may succeed; raises the error if waiting does not help."""
        if isinstance(error, BlockingIOError):
            socket.wait_write(sock.fileno(), time_left(deadline))
        elif is_transient(error) and time_left(deadline):
            gevent.sleep(min(RETRY_PAUSE_S, time_left(deadline)))
        else:
            raise error

    def read(self, attempt: Attempt, deadline: float):
        """Reads an answer and records the attempt's progress; None if the connection ends before it does.

        Raises MalformedMessageError for an answer whose length may be too short, and what the socket raises.
        """
        connection = attempt.connection
        while not connection.messages:
            if not connection.receive(time_left(deadline)) and not connection.messages:
                return None
            self.last_read_at = monotonic()
            if connection.message.status >= 200:
                attempt.progress = Progress.HEAD_RECEIVED
            connection.pause_if_costly()
        connection.receive_surplus()
        answer = connection.messages.pop(0)
        has_stated_length = connection.content_length is not None
        if answer.status == 200 and has_stated_length and may_be_rest_of_body(answer, connection.surplus):
            raise MalformedMessageError(502, "bytes behind the answer that may be the rest of it")
        return answer

    # Connections

    def take_idle(self, server: int, address: str) -> ServerConnection | None:
        """Takes the newest reusable connection to a server; None if there is none.

        Connections found closed, idle for so long that the server may close them, or with unread input are
        closed.
        """
        now = monotonic()
        idle, newest, oldest = self.idle.get(server, []), now - REUSABLE_AFTER_S, now - self.max_idle_time
        for connection in [each for each in reversed(idle) if each.last_active_at <= newest]:
            idle.remove(connection)
            self.remove_if_empty(server)
            # Between two sweeps it may have been idle for longer than a server with a short timeout allows.
            if (
                connection.address == address
                and connection.last_active_at > oldest
                and not connection.has_unread_input()
            ):
                return connection
            connection.close()
        return None

    def remove_if_empty(self, server: int):
        """Removes a server without idle connections from `idle`."""
        if not self.idle[server]:
            del self.idle[server]

    def connect(self, server: int, address: str, deadline: float) -> ServerConnection:
        """Opens a connection; raises NoConnectionError, or OSError for a failure of the server or network.

        An attempt without a connection never ran: the balancer selects another server or rejects the request.
        """
        if not self.budget.acquire(self.budget.max_connections // SPARE_DIVISOR):
            raise NoConnectionError("no descriptor to spare")
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(min(self.connect_timeout, time_left(deadline)))
            host, _, port = address.rpartition(":")
            sock.connect((host, int(port)))
        except BaseException as error:
            if sock:
                sock.close()
            self.budget.release()
            if isinstance(error, OSError) and self.is_own_failure(server, error):
                raise NoConnectionError(str(error)) from error
            raise
        self.no_route_since.pop(server, None)
        return ServerConnection(sock, address, self.budget)

    def is_own_failure(self, server: int, error: OSError) -> bool:
        """Whether an error says nothing about the server.

        Without a route to the server, the machine's own network may be down. If input from another server has
        been read since then, it is not: the server counts as unreachable.
        """
        if not is_no_route(error):
            return is_own_limit(error)
        if self.last_read_at > self.no_route_since.setdefault(server, monotonic()):
            del self.no_route_since[server]
            return False
        return True

    def keep_idle(self, server: int, connection: ServerConnection):
        """Keeps a connection for reuse."""
        connection.last_active_at = monotonic()
        self.idle.setdefault(server, []).append(connection)
        self.budget.capacity_freed.set()

    def sweep(self):
        """Closes connections that have been idle too long, at each SWEEP_INTERVAL_S, forever."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            oldest = monotonic() - self.max_idle_time
            for server, idle in list(self.idle.items()):
                while idle and idle[0].last_active_at < oldest:
                    idle.pop(0).close()
                self.remove_if_empty(server)


def time_left(deadline: float) -> float:
    """Seconds until the deadline; 0 after it."""
    return max(0.0, deadline - monotonic())


def milliseconds_left(deadline: float) -> int:
    """Whole milliseconds until the deadline. Raises TimeoutError instead of returning 0.

    A server might take a timeout of 0 as unlimited.
    """
    timeout_ms = int(time_left(deadline) * 1000)
    if not timeout_ms:
        raise TimeoutError
    return timeout_ms


def encode_request(request, timeout_ms: int) -> bytes:
    """The bytes of a request to a server; `timeout_ms`: how long the agent waits for the answer."""
    head = b"%b %b HTTP/1.1\r\nHost: backend\r\nX-Request-ID: %b\r\nX-Timeout: %dm\r\n" % (
        request.method,
        request.path,
        request.id,
        timeout_ms,
    )
    if request.idempotency_key:
        head += b"Idempotency-Key: %b\r\n" % request.idempotency_key
    if request.content_type:
        head += b"Content-Type: %b\r\n" % request.content_type
    if request.body or request.method != b"GET":
        head += b"Content-Length: %d\r\n" % len(request.body)
    return head + b"\r\n" + request.body
