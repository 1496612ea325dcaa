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

from cartdeal.agent.connection import Connection, ConnectionBudget, Malformed
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress
from cartdeal.agent.system_errors import (
    RETRY_PAUSE,
    is_no_route,
    is_own_limit,
    is_silence,
    is_transient,
)
from cartdeal.balancer_types import LoadReport
from cartdeal.settings import load_report, seconds

SPARE = 8  # one in so many descriptors is left to the application's connections
# a connection rests so long after an answer: what more belongs to that one shows by then
REUSABLE_AFTER = 0.005
POOLED_SHARE = 0.6  # share of the server's idle time after which a kept connection is closed
CONNECT = 1.0  # bound on connecting where the deployment sets none
PROBE = 2.0  # a probe may take this many times the bound on connecting
SWEEP = 1.0  # seconds between looks for connections that have been idle too long

Held = Annotated[float, msgspec.Meta(ge=0, le=1e9)]

log = logging.getLogger("cartdeal.upstream")


class NoConnection(Exception):
    """The limits of the agent, or of its machine, leave no connection for an attempt."""


class NotBegun(Exception):
    """What an attempt was decided on no longer holds, and nothing of it has been written."""


class Report(msgspec.Struct):
    """What a server says of its load; numbers it can't mean make the whole of no use."""

    outstanding: Held | None = None
    throughput: Held | None = None
    backlog: Held | None = None
    recent_ms: Held | None = None


class Attempt:
    """One attempt or probe that is out: where it is and how far it has come."""

    def __init__(self):
        self.sent = monotonic()
        self.progress = Progress.NOT_CONNECTED
        self.connection = None
        self.greenlet = None
        self.begun = self.given_up = False

    def end(self, reason: FailureReason, detail: str = "") -> AttemptResult:
        if self.given_up:
            reason = FailureReason.CANCELLED
        return AttemptResult(reason, self.progress, monotonic() - self.sent, detail=detail)


class UpstreamPool:
    def __init__(self, config, dispatch, budget: ConnectionBudget, may_begin, begins):
        """`may_begin(request, attempt, server)`: whether an attempt may still send its first byte;
        `begins(request, attempt, server, told)` is called as it goes, with the seconds that it tells.
        """
        self.may_begin, self.begins = may_begin, begins
        permissions = config.settings.permissions
        self.dispatch, self.budget = dispatch, budget
        self.connect_limit = seconds(permissions.connect_timeout_us) or CONNECT
        self.pooled_for = POOLED_SHARE * (seconds(permissions.idle_timeout_us) or 10.0)
        self.reports = config.settings.load_reports
        self.probe_path = b"/health/live" if self.reports.source == "none" else b"/stats"
        self.idle: dict[int, list[Connection]] = {}  # by server: another at its address inherits nothing
        self.out: dict[tuple[int, int], Attempt] = {}
        self.heard_at = -inf  # when bytes last came from a server
        self.no_route_since: dict[int, float] = {}  # by server: when the machine first knew no way to it
        budget.closers.append(self.close_oldest)

    # Effects

    def send_attempt(
        self, request_number: int, attempt_number: int, server: int, address: str, request, deadline: float
    ):
        attempt = self.out[request_number, attempt_number] = Attempt()
        attempt.greenlet = gevent.spawn(
            self.run_attempt, attempt, request_number, attempt_number, server, address, request, deadline
        )

    def cancel(self, request_number: int, attempt_number: int):
        attempt = self.out.get((request_number, attempt_number))
        if attempt:
            attempt.given_up = True
            if attempt.begun:  # one that is killed before it began would end without a word
                attempt.greenlet.kill(block=False)

    def probe(self, server: int, address: str):
        gevent.spawn(self.run_probe, server, address)

    def close_idle(self, server: int):
        self.no_route_since.pop(server, None)
        for connection in self.idle.pop(server, ()):
            connection.close()

    def close_oldest(self) -> bool:
        oldest = min(self.idle, key=lambda server: self.idle[server][0].since, default=None)
        if oldest is None:
            return False
        self.idle[oldest].pop(0).close()
        self.tidy(oldest)
        return True

    # Greenlets

    def run_attempt(self, attempt, request_number, attempt_number, server, address, request, deadline):
        def text():
            wait = milliseconds_left(deadline)
            self.begins(request_number, attempt_number, server, wait / 1000)
            return written(request, wait)

        result = self.exchange(
            attempt,
            server,
            address,
            deadline,
            text,
            lambda: self.may_begin(request_number, attempt_number, server),
        )
        del self.out[request_number, attempt_number]
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
        if result.reason is FailureReason.CONNECTION_BROKEN:
            self.close_idle(server)  # they ended with it, or will: an attempt on one may never be repeated
        self.dispatch(
            "on_attempt_ended",
            request_number,
            server,
            attempt_number,
            result,
            self.load(result.raw_load_report),
        )

    def run_probe(self, server, address):
        attempt = Attempt()
        deadline = attempt.sent + PROBE * self.connect_limit
        text = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (self.probe_path, address.encode())
        result = self.exchange(attempt, server, address, deadline, lambda: text)
        if result.reason in (FailureReason.CONNECTION_BROKEN, FailureReason.TIMED_OUT):
            self.close_idle(server)  # those to a silent machine stay silent, or break
        self.dispatch("on_probe_ended", server, result, self.load(result.body))

    def load(self, report: bytes) -> LoadReport | None:
        if self.reports.source == "none" or not report:
            return None
        try:
            said = msgspec.json.decode(report, type=Report)
        except (msgspec.MsgspecError, UnicodeError):
            return None
        return load_report(said.outstanding, said.throughput, said.backlog, said.recent_ms)

    def exchange(
        self, attempt: Attempt, server: int, address: str, deadline: float, text, may_begin=lambda: True
    ) -> AttemptResult:
        """Writes one request and reads its whole answer. Whatever goes wrong comes back in the result."""
        answer, attempt.begun = None, True
        try:
            if attempt.given_up:
                return attempt.end(FailureReason.CANCELLED)
            self.check(may_begin)
            attempt.connection = self.pooled(server, address)
            if attempt.connection is None:
                attempt.connection = self.connect(server, address, deadline)
                self.check(may_begin)  # it may have taken seconds to come up; nothing yields from here on
            self.write(attempt, text(), deadline, may_begin)
            answer = self.read(attempt, deadline)
            if answer is None:
                return attempt.end(FailureReason.CONNECTION_BROKEN, "ended early")
            attempt.progress = Progress.COMPLETE
            return AttemptResult(
                FailureReason.ANSWERED,
                attempt.progress,
                monotonic() - attempt.sent,
                answer.status,
                answer.headers.get(b"x-not-processed") == b"1",
                answer.headers.get(b"content-type", b""),
                answer.body,
                answer.headers.get(b"x-server-load", b""),
                f"status {answer.status}",
            )
        except gevent.GreenletExit:
            return attempt.end(FailureReason.CANCELLED)
        except NotBegun:
            return attempt.end(FailureReason.NOT_SENT, "no longer wanted there")
        except NoConnection as trouble:
            return attempt.end(FailureReason.NO_CONNECTION, str(trouble))
        except Malformed as trouble:
            return attempt.end(FailureReason.MALFORMED_RESPONSE, str(trouble))
        except OSError as trouble:
            if is_silence(trouble):
                return attempt.end(FailureReason.TIMED_OUT, "no answer in time")
            return attempt.end(FailureReason.CONNECTION_BROKEN, str(trouble))
        except Exception as trouble:
            log.exception("attempt died", extra={"address": address})
            return attempt.end(FailureReason.CONNECTION_BROKEN, repr(trouble))
        finally:
            connection = attempt.connection
            if connection and answer and answer.keep_alive and not connection.more and not attempt.given_up:
                self.pool(server, connection)
            elif connection:
                connection.close()

    def check(self, may_begin):
        if not may_begin():
            raise NotBegun

    def write(self, attempt: Attempt, text: bytes, deadline: float, may_begin):
        sock, rest = attempt.connection.sock, memoryview(text)
        sock.settimeout(0.0)
        while rest:
            try:
                rest = rest[sock.send(rest) :]
            except OSError as trouble:
                self.wait_to_write(sock, trouble, deadline)
                # The server begins with the last byte: one held up beyond a window must not come to it.
                self.check(may_begin)
                continue
            attempt.progress = Progress.PARTLY_WRITTEN if rest else Progress.WRITTEN

    def wait_to_write(self, sock, trouble: OSError, deadline: float):
        """Waits until a write that failed may succeed; raises what is no reason to wait."""
        if isinstance(trouble, BlockingIOError):
            socket.wait_write(sock.fileno(), left(deadline))
        elif is_transient(trouble) and left(deadline):
            gevent.sleep(min(RETRY_PAUSE, left(deadline)))
        else:
            raise trouble

    def read(self, attempt: Attempt, deadline: float):
        connection = attempt.connection
        while not connection.messages:
            if not connection.receive(left(deadline)) and not connection.messages:
                return None
            self.heard_at = monotonic()
            if connection.message.status >= 200:
                attempt.progress = Progress.HEAD_RECEIVED
        return connection.messages.pop(0)

    # Connections

    def pooled(self, server: int, address: str) -> Connection | None:
        """The newest that has rested; one that has ended, that the server may have left by now, or that holds
        bytes that nobody asked for, is closed."""
        now = monotonic()
        idle, reusable_from, too_old = self.idle.get(server, []), now - REUSABLE_AFTER, now - self.pooled_for
        for connection in [each for each in reversed(idle) if each.since <= reusable_from]:
            idle.remove(connection)
            self.tidy(server)
            # Between two sweeps one may stand for longer than a server with a short idle time keeps it.
            if connection.address == address and connection.since > too_old and not connection.unread():
                return connection
            connection.close()
        return None

    def tidy(self, server: int):
        if not self.idle[server]:
            del self.idle[server]

    def connect(self, server: int, address: str, deadline: float) -> Connection:
        # No room is no crash: such an attempt never ran, and the balancer finds it another way or turns it
        # back.
        if not self.budget.acquire(self.budget.most // SPARE):
            raise NoConnection("no descriptor to spare")
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(min(self.connect_limit, left(deadline)))
            host, _, port = address.rpartition(":")
            sock.connect((host, int(port)))
        except BaseException as trouble:
            if sock:
                sock.close()
            self.budget.release()
            if isinstance(trouble, OSError) and self.is_own_trouble(server, trouble):
                raise NoConnection(str(trouble)) from trouble
            raise
        self.no_route_since.pop(server, None)
        connection = Connection(
            sock, True, lambda connection: self.budget.release(), budget=self.budget, until_close=True
        )
        connection.address = address
        return connection

    def is_own_trouble(self, server: int, trouble: OSError) -> bool:
        """Whether it says nothing of the server.

        Where the machine knows no way there, its own network may be away. Once another server is heard since,
        it is not: the failure is then like that of a server that can't be reached.
        """
        if not is_no_route(trouble):
            return is_own_limit(trouble)
        if self.heard_at > self.no_route_since.setdefault(server, monotonic()):
            del self.no_route_since[server]
            return False
        return True

    def pool(self, server: int, connection: Connection):
        connection.since = monotonic()
        connection.release_body_memory()
        self.idle.setdefault(server, []).append(connection)
        self.budget.freed.set()

    def sweep(self):
        while True:
            gevent.sleep(SWEEP)
            before = monotonic() - self.pooled_for
            for server, idle in list(self.idle.items()):
                while idle and idle[0].since < before:
                    idle.pop(0).close()
                self.tidy(server)


def left(deadline: float) -> float:
    return max(0.0, deadline - monotonic())


def milliseconds_left(deadline: float) -> int:
    """Raises TimeoutError where there is none: a server that was told 0 might take it for no bound."""
    wait = int(left(deadline) * 1000)
    if not wait:
        raise TimeoutError
    return wait


def written(request, wait: int) -> bytes:
    """A request as a server is sent it; `wait`: the milliseconds for which the agent waits."""
    head = b"%b %b HTTP/1.1\r\nHost: backend\r\nX-Request-ID: %b\r\nX-Timeout: %dm\r\n" % (
        request.method,
        request.path,
        request.id,
        wait,
    )
    if request.idempotency_key:
        head += b"Idempotency-Key: %b\r\n" % request.idempotency_key
    if request.content_type:
        head += b"Content-Type: %b\r\n" % request.content_type
    if request.body or request.method != b"GET":
        head += b"Content-Length: %d\r\n" % len(request.body)
    return head + b"\r\n" + request.body
