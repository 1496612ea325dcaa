"""The connections to servers, and the shots and probes that go out on them.

Keeps idle connections, newest used first, and closes them well before a server would. Every shot ends in one
Ending that tells how far it had come. It must never send anything twice, nor choose where anything goes.
"""

import logging
from time import monotonic

import gevent
import msgspec
from gevent import socket

from cartdeal.agent.connection import Connection, Malformed, Room
from cartdeal.agent.reducer import Cause, Ending, Progress
from cartdeal.grant import seconds
from cartdeal.terms import Load

SPARE = 8           # one in so many descriptors is left to the application's connections
KEPT = 0.6          # share of the server's idle time after which a kept connection is closed
CONNECT = 1.0       # bound on connecting where the deployment sets none
PROBE = 2.0         # a probe may take this many times the bound on connecting
SWEEP = 1.0         # seconds between looks for connections that have been idle too long

log = logging.getLogger("cartdeal.shots")


class Shot:
    """One shot or probe that is out: where it is and how far it has come."""

    def __init__(self):
        self.sent = monotonic()
        self.progress = Progress.NOT_CONNECTED
        self.connection = None
        self.greenlet = None
        self.begun = self.given_up = False

    def end(self, cause: Cause, words: str = "") -> Ending:
        if self.given_up:
            cause = Cause.GIVEN_UP
        return Ending(cause, self.progress, monotonic() - self.sent, words=words)


class Shots:
    def __init__(self, station, feed, room: Room):
        leave = station.grant.leave
        self.feed, self.room = feed, room
        self.connect_limit = seconds(leave.connect_limit) or CONNECT
        self.kept_for = KEPT * (seconds(leave.idle_limit) or 10.0)
        self.reports = station.grant.reports
        self.probe_path = b"/health/live" if self.reports.how == "none" else b"/stats"
        self.idle: dict[str, list[Connection]] = {}
        self.out: dict[tuple[int, int], Shot] = {}
        room.closers.append(self.close_oldest)

    # Effects

    def shoot(self, lookup: int, number: int, server: int, address: str, query, until: float):
        shot = self.out[lookup, number] = Shot()
        shot.greenlet = gevent.spawn(self.run_shot, shot, lookup, number, server, address, query, until)

    def cancel(self, lookup: int, number: int):
        shot = self.out.get((lookup, number))
        if shot:
            shot.given_up = True
            if shot.begun:  # one that is killed before it began would end without a word
                shot.greenlet.kill(block=False)

    def probe(self, server: int, address: str):
        gevent.spawn(self.run_probe, server, address)

    def close_idle(self, address: str):
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close_oldest(self) -> bool:
        oldest = min(self.idle, key=lambda address: self.idle[address][0].since, default=None)
        if oldest is None:
            return False
        self.idle[oldest].pop(0).close()
        self.tidy(oldest)
        return True

    # Greenlets

    def run_shot(self, shot, lookup, number, server, address, query, until):
        ending = self.exchange(shot, address, until, lambda: written(query, until))
        del self.out[lookup, number]
        if ending.cause is not Cause.ANSWERED or ending.status != 200:
            log.info("shot ended", extra={"lookup": query.id.decode("latin-1"), "address": address,
                                          "outcome": ending.outcome().value, "words": ending.words})
        if ending.cause is Cause.BROKEN:
            self.close_idle(address)    # they ended with it, or will: a shot on one may never be repeated
        self.feed("shot_ended", lookup, server, number, ending, self.load(ending.report))

    def run_probe(self, server, address):
        shot = Shot()
        until = shot.sent + PROBE * self.connect_limit
        text = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (self.probe_path, address.encode())
        ending = self.exchange(shot, address, until, lambda: text)
        if ending.cause is not Cause.ANSWERED:
            self.close_idle(address)    # those to a silent machine stay silent, or break
        self.feed("probe_ended", server, ending, self.load(ending.body))

    def load(self, report: bytes) -> Load | None:
        if self.reports.how == "none" or not report:
            return None
        try:
            said = msgspec.json.decode(report, type=dict[str, float])
        except (msgspec.MsgspecError, UnicodeError):
            return None
        return Load(said.get("outstanding"), said.get("throughput"))

    def exchange(self, shot: Shot, address: str, until: float, text) -> Ending:
        """Writes one request and reads its whole answer. Whatever goes wrong comes back as an Ending."""
        answer, shot.begun = None, True
        try:
            if shot.given_up:
                return shot.end(Cause.GIVEN_UP)
            shot.connection = self.kept(address) or self.connect(address, until)
            self.write(shot, text(), until)
            answer = self.read(shot, until)
            if answer is None:
                return shot.end(Cause.BROKEN, "ended early")
            shot.progress = Progress.WHOLE
            return Ending(Cause.ANSWERED, shot.progress, monotonic() - shot.sent, answer.status,
                          answer.headers.get(b"x-not-processed") == b"1",
                          answer.headers.get(b"content-type", b""), answer.body,
                          answer.headers.get(b"x-server-load", b""), f"status {answer.status}")
        except gevent.GreenletExit:
            return shot.end(Cause.GIVEN_UP)
        except (TimeoutError, BlockingIOError):
            return shot.end(Cause.TIMED_OUT, "no answer in time")
        except (OSError, Malformed) as trouble:
            return shot.end(Cause.BROKEN, str(trouble))
        except Exception as trouble:
            log.exception("shot died", extra={"address": address})
            return shot.end(Cause.BROKEN, repr(trouble))
        finally:
            connection = shot.connection
            if connection and answer and answer.keep and not connection.whole and not shot.given_up:
                self.keep(address, connection)
            elif connection:
                connection.close()

    def write(self, shot: Shot, text: bytes, until: float):
        sock, rest = shot.connection.sock, memoryview(text)
        while rest:
            sock.settimeout(left(until))
            rest = rest[sock.send(rest):]
            shot.progress = Progress.PARTLY_WRITTEN if rest else Progress.WRITTEN

    def read(self, shot: Shot, until: float):
        connection = shot.connection
        while not connection.whole:
            if not connection.receive(left(until)):
                return None
            if connection.message.status >= 200:
                shot.progress = Progress.HEAD
        return connection.whole.pop(0)

    # Connections

    def kept(self, address: str) -> Connection | None:
        while address in self.idle:
            connection = self.idle[address].pop()
            self.tidy(address)
            if not connection.stale():
                return connection
            connection.close()
        return None

    def tidy(self, address: str):
        if not self.idle[address]:
            del self.idle[address]

    def connect(self, address: str, until: float) -> Connection:
        # No room is no crash: such a shot never ran, and the balancer finds it another way or turns it back.
        if not self.room.take(self.room.most // SPARE):
            raise OSError("no descriptor to spare")
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(min(self.connect_limit, left(until)))
            sock.connect((host, int(port)))
        except BaseException:
            sock.close()
            self.room.give()
            raise
        return Connection(sock, answers=True, on_close=lambda connection: self.room.give())

    def keep(self, address: str, connection: Connection):
        connection.since = monotonic()
        self.idle.setdefault(address, []).append(connection)
        self.room.freed.set()

    def sweep(self):
        while True:
            gevent.sleep(SWEEP)
            before = monotonic() - self.kept_for
            for address, idle in list(self.idle.items()):
                while idle and idle[0].since < before:
                    idle.pop(0).close()
                self.tidy(address)


def left(until: float) -> float:
    return max(0.0, until - monotonic())


def written(query, until: float) -> bytes:
    wait = int(left(until) * 1000)
    if not wait:
        raise TimeoutError
    head = b"%b %b HTTP/1.1\r\nHost: backend\r\nX-Request-ID: %b\r\nX-Timeout: %dm\r\n" % (
        query.method, query.path, query.id, wait)
    if query.mark:
        head += b"Idempotency-Key: %b\r\n" % query.mark
    if query.kind:
        head += b"Content-Type: %b\r\n" % query.kind
    if query.body or query.method != b"GET":
        head += b"Content-Length: %d\r\n" % len(query.body)
    return head + b"\r\n" + query.body
