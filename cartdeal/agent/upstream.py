"""The connections to servers, and the attempts and probes that go out on them.

Keeps idle connections, newest used first, and closes them well before a server would. Every attempt ends in
one AttemptResult that tells how far it had come. It must never send anything twice, nor choose where anything
goes.
"""

import logging
from math import inf
from time import monotonic
from typing import Annotated

import gevent
import msgspec
from gevent import socket

from cartdeal.agent.connection import Connection, ConnectionBudget, MalformedMessageError
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress
from cartdeal.agent.system_errors import (
    RETRY_PAUSE_S,
    is_no_route,
    is_own_limit,
    is_transient,
    is_wait_timeout,
)
from cartdeal.settings import load_of, seconds
from cartdeal.terms import Load

SPARE_DIVISOR = 8  # one in so many descriptors is left to the application's connections
# a connection rests so long after an answer: what more belongs to that one shows by then
REUSABLE_AFTER_S = 0.005
MAX_IDLE_SHARE = 0.6  # share of the server's idle time after which a kept connection is closed
DEFAULT_CONNECT_TIMEOUT_S = 1.0  # bound on connecting where the deployment sets none
PROBE_TIMEOUT_FACTOR = 2.0  # a probe may take this many times the bound on connecting
SWEEP_INTERVAL_S = 1.0  # seconds between looks for connections that have been idle too long

ReportedValue = Annotated[float, msgspec.Meta(ge=0, le=1e9)]

log = logging.getLogger("cartdeal.upstream")


class NoConnectionError(Exception):
    """The limits of the agent, or of its machine, leave no connection for an attempt."""


class AttemptNotBegunError(Exception):
    """What an attempt was decided on no longer holds, and nothing of it has been encode_request."""


class Report(msgspec.Struct):
    """What a server says of its load; numbers it can't mean make the whole of no use."""

    outstanding: ReportedValue | None = None
    throughput: ReportedValue | None = None
    backlog: ReportedValue | None = None
    recent_ms: ReportedValue | None = None


class Attempt:
    """One attempt or probe that is out: where it is and how far it has come."""

    def __init__(self):
        self.started_at = monotonic()
        self.progress = Progress.NOT_CONNECTED
        self.connection = None
        self.greenlet = None
        self.is_started = self.is_cancelled = False

    def make_result(self, reason: FailureReason, detail: str = "") -> AttemptResult:
        if self.is_cancelled:
            reason = FailureReason.GIVEN_UP
        return AttemptResult(reason, self.progress, monotonic() - self.started_at, detail=detail)


class UpstreamPool:
    def __init__(self, config, dispatch, budget: ConnectionBudget, may_begin, begins):
        """`may_begin(request, attempt, server)`: whether an attempt may still send its first byte;
        `begins(request, attempt, server, told)` is called as it goes, with the seconds that it tells.
        """
        self.may_begin, self.begins = may_begin, begins
        permissions = config.settings.permissions
        self.dispatch, self.budget = dispatch, budget
        self.connect_timeout = seconds(permissions.connect_limit) or DEFAULT_CONNECT_TIMEOUT_S
        self.max_idle = MAX_IDLE_SHARE * (seconds(permissions.idle_limit) or 10.0)
        self.report_settings = config.settings.reports
        self.probe_path = b"/health/live" if self.report_settings.how == "none" else b"/stats"
        self.idle: dict[int, list[Connection]] = {}  # by server: another at its address inherits nothing
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.last_read_at = -inf  # when bytes last came from a server
        self.no_route_since: dict[int, float] = {}  # by server: when the machine first knew no way to it
        budget.closers.append(self.close_oldest)

    # Effects

    def send_attempt(
        self, request_number: int, attempt_number: int, server: int, address: str, request, deadline: float
    ):
        attempt = self.attempts[request_number, attempt_number] = Attempt()
        attempt.greenlet = gevent.spawn(
            self.run_attempt, attempt, request_number, attempt_number, server, address, request, deadline
        )

    def cancel(self, request_number: int, attempt_number: int):
        attempt = self.attempts.get((request_number, attempt_number))
        if attempt:
            attempt.is_cancelled = True
            if attempt.is_started:  # one that is killed before it began would end without a word
                attempt.greenlet.kill(block=False)

    def probe(self, server: int, address: str):
        gevent.spawn(self.run_probe, server, address)

    def close_idle(self, server: int):
        self.no_route_since.pop(server, None)
        for connection in self.idle.pop(server, ()):
            connection.close()

    def close_oldest(self) -> bool:
        oldest = min(self.idle, key=lambda server: self.idle[server][0].last_active_at, default=None)
        if oldest is None:
            return False
        self.idle[oldest].pop(0).close()
        self.remove_if_empty(oldest)
        return True

    # Greenlets

    def run_attempt(self, attempt, request_number, attempt_number, server, address, request, deadline):
        def text():
            wait = milliseconds_left(deadline)
            self.begins(request_number, attempt_number, server, wait / 1000)
            return encode_request(request, wait)

        result = self.exchange(
            attempt,
            server,
            address,
            deadline,
            text,
            lambda: self.may_begin(request_number, attempt_number, server),
        )
        del self.attempts[request_number, attempt_number]
        if result.reason is not FailureReason.ANSWERED or result.status != 200:
            log.info(
                "attempt ended",
                extra={
                    "request": request.id.decode("latin-1"),
                    "address": address,
                    "outcome": result.outcome().value,
                    "reason": result.detail,
                },
            )
        if result.reason is FailureReason.BROKEN:
            self.close_idle(server)  # they ended with it, or will: an attempt on one may never be repeated
        self.dispatch(
            "attempt_ended", request_number, server, attempt_number, result, self.parse_load(result.report)
        )

    def run_probe(self, server, address):
        attempt = Attempt()
        deadline = attempt.started_at + PROBE_TIMEOUT_FACTOR * self.connect_timeout
        text = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (self.probe_path, address.encode())
        result = self.exchange(attempt, server, address, deadline, lambda: text)
        if result.reason in (FailureReason.BROKEN, FailureReason.TIMED_OUT):
            self.close_idle(server)  # those to a silent machine stay silent, or break
        self.dispatch("probe_ended", server, result, self.parse_load(result.body))

    def parse_load(self, report: bytes) -> Load | None:
        if self.report_settings.how == "none" or not report:
            return None
        try:
            said = msgspec.json.decode(report, type=Report)
        except (msgspec.MsgspecError, UnicodeError):
            return None
        return load_of(said.outstanding, said.throughput, said.backlog, said.recent_ms)

    def exchange(
        self, attempt: Attempt, server: int, address: str, deadline: float, text, may_begin=lambda: True
    ) -> AttemptResult:
        """Writes one request and reads its whole answer. Whatever goes wrong comes back in the result."""
        answer, attempt.is_started = None, True
        try:
            if attempt.is_cancelled:
                return attempt.make_result(FailureReason.GIVEN_UP)
            self.check_may_begin(may_begin)
            attempt.connection = self.take_idle(server, address)
            if attempt.connection is None:
                attempt.connection = self.connect(server, address, deadline)
                self.check_may_begin(
                    may_begin
                )  # it may have taken seconds to come up; nothing yields from here on
            self.write(attempt, text(), deadline, may_begin)
            answer = self.read(attempt, deadline)
            if answer is None:
                return attempt.make_result(FailureReason.BROKEN, "ended early")
            attempt.progress = Progress.WHOLE
            return AttemptResult(
                FailureReason.ANSWERED,
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
            return attempt.make_result(FailureReason.GIVEN_UP)
        except AttemptNotBegunError:
            return attempt.make_result(FailureReason.NOT_BEGUN, "no longer wanted there")
        except NoConnectionError as error:
            return attempt.make_result(FailureReason.NO_CONNECTION, str(error))
        except MalformedMessageError as error:
            return attempt.make_result(FailureReason.SPOILT, str(error))
        except OSError as error:
            if is_wait_timeout(error):
                return attempt.make_result(FailureReason.TIMED_OUT, "no answer in time")
            return attempt.make_result(FailureReason.BROKEN, str(error))
        except Exception as error:
            log.exception("attempt died", extra={"address": address})
            return attempt.make_result(FailureReason.BROKEN, repr(error))
        finally:
            connection = attempt.connection
            if (
                connection
                and answer
                and answer.keep_alive
                and not connection.has_surplus_input
                and not attempt.is_cancelled
            ):
                self.keep_idle(server, connection)
            elif connection:
                connection.close()

    def check_may_begin(self, may_begin):
        if not may_begin():
            raise AttemptNotBegunError

    def write(self, attempt: Attempt, text: bytes, deadline: float, may_begin):
        sock, rest = attempt.connection.sock, memoryview(text)
        sock.settimeout(0.0)
        while rest:
            try:
                rest = rest[sock.send(rest) :]
            except OSError as error:
                self.wait_to_write(sock, error, deadline)
                # The server begins with the last byte: one held up beyond a window must not come to it.
                self.check_may_begin(may_begin)
                continue
            attempt.progress = Progress.PARTLY_WRITTEN if rest else Progress.WRITTEN

    def wait_to_write(self, sock, error: OSError, deadline: float):
        """Waits until a write that failed may succeed; raises what is no reason to wait."""
        if isinstance(error, BlockingIOError):
            socket.wait_write(sock.fileno(), time_left(deadline))
        elif is_transient(error) and time_left(deadline):
            gevent.sleep(min(RETRY_PAUSE_S, time_left(deadline)))
        else:
            raise error

    def read(self, attempt: Attempt, deadline: float):
        connection = attempt.connection
        while not connection.messages:
            if not connection.receive(time_left(deadline)) and not connection.messages:
                return None
            self.last_read_at = monotonic()
            if connection.message.status >= 200:
                attempt.progress = Progress.HEAD
        return connection.messages.pop(0)

    # Connections

    def take_idle(self, server: int, address: str) -> Connection | None:
        """The newest that has rested; one that has ended, that the server may have left by now, or that holds
        bytes that nobody asked for, is closed."""
        now = monotonic()
        idle, reusable_from, too_old = self.idle.get(server, []), now - REUSABLE_AFTER_S, now - self.max_idle
        for connection in [each for each in reversed(idle) if each.last_active_at <= reusable_from]:
            idle.remove(connection)
            self.remove_if_empty(server)
            # Between two sweeps one may stand for longer than a server with a short idle time keeps it.
            if (
                connection.address == address
                and connection.last_active_at > too_old
                and not connection.has_unread_input()
            ):
                return connection
            connection.close()
        return None

    def remove_if_empty(self, server: int):
        if not self.idle[server]:
            del self.idle[server]

    def connect(self, server: int, address: str, deadline: float) -> Connection:
        # No room is no crash: such an attempt never ran, and the balancer finds it another way or turns it
        # back.
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
        connection = Connection(
            sock,
            True,
            lambda connection: self.budget.release(),
            budget=self.budget,
            allows_close_delimited=True,
        )
        connection.address = address
        return connection

    def is_own_failure(self, server: int, error: OSError) -> bool:
        """Whether it says nothing of the server.

        Where the machine knows no way there, its own network may be away. Once another server is heard since,
        it is not: the failure is then like that of a server that can't be reached.
        """
        if not is_no_route(error):
            return is_own_limit(error)
        if self.last_read_at > self.no_route_since.setdefault(server, monotonic()):
            del self.no_route_since[server]
            return False
        return True

    def keep_idle(self, server: int, connection: Connection):
        connection.last_active_at = monotonic()
        connection.release_body_memory()
        self.idle.setdefault(server, []).append(connection)
        self.budget.capacity_freed.set()

    def sweep(self):
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            before = monotonic() - self.max_idle
            for server, idle in list(self.idle.items()):
                while idle and idle[0].last_active_at < before:
                    idle.pop(0).close()
                self.remove_if_empty(server)


def time_left(deadline: float) -> float:
    return max(0.0, deadline - monotonic())


def milliseconds_left(deadline: float) -> int:
    """Raises TimeoutError where there is none: a server that was told 0 might take it for no bound."""
    wait = int(time_left(deadline) * 1000)
    if not wait:
        raise TimeoutError
    return wait


def encode_request(request, wait: int) -> bytes:
    """A request as a server is sent it; `wait`: the milliseconds for which the agent waits."""
    head = b"%b %b HTTP/1.1\r\nHost: backend\r\nX-Request-ID: %b\r\nX-Timeout: %dm\r\n" % (
        request.method,
        request.path,
        request.id,
        wait,
    )
    if request.idempotency_key:
        head += b"Idempotency-Key: %b\r\n" % request.idempotency_key
    if request.kind:
        head += b"Content-Type: %b\r\n" % request.kind
    if request.body or request.method != b"GET":
        head += b"Content-Length: %d\r\n" % len(request.body)
    return head + b"\r\n" + request.body
