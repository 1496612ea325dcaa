"""The application's side: accepts its connections, reads its lookups and writes the answers.

Owns the listening socket and the application's connections. It must never let a bad request reach a server or
disturb another connection, and never words a final answer itself: that is the reducer's.
"""

import hashlib
import logging
import re
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event

from cartdeal.agent.connection import Connection, Malformed, Room, bound
from cartdeal.agent.reducer import Query
from cartdeal.grant import REPEATS, Grant
from cartdeal.terms import Repeat

STALL = 10.0        # how long a client may take over one request
IDLE = 120.0        # how long a client's connection may stand idle
LINGER = 1.0        # how long a client whose request was refused may go on sending, unread
MARGIN = 0.01       # kept free of a lookup's time for the agent's own work
AHEAD = 16          # requests that may wait on one connection for the answer to the one before

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
           503: b"Service Unavailable"}
WAIT = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)(m|u)")
UNITS = {b"m": 1e3, b"u": 1e6}
SESSION = re.compile(rb"(?:^|;)\s*sid=([^;]*)")

log = logging.getLogger("cartdeal.front")


class Line(Connection):
    """A connection of the application; while it `waits`, `lookup` is the one that it waits for."""

    def __init__(self, sock, on_close):
        super().__init__(sock, answers=False, on_close=on_close)
        self.lookup, self.waits, self.keep, self.asked = 0, False, True, False
        self.refused = None     # what came that ends the connection once all before it is answered ...
        self.lingers = False    # ... and whether that is under way
        self.since = monotonic()

    def on_message_begin(self):
        super().on_message_begin()
        self.since = monotonic()

    def on_headers_complete(self):
        super().on_headers_complete()
        if self.message.headers.get(b"expect", b"").lower() == b"100-continue" and not self.waits:
            self.push(b"HTTP/1.1 100 Continue\r\n\r\n")

    def between(self) -> bool:
        return not (self.waits or self.midway or self.whole or self.rest or self.refused)

    def patience(self) -> float | None:
        if self.waits:
            return None
        return IDLE if self.asked and not self.midway else max(0.0, self.since + STALL - monotonic())


class Front:
    def __init__(self, station, feed, ready, room: Room):
        self.grant: Grant = station.grant
        self.feed, self.ready, self.room = feed, ready, room
        self.workloads = {kind.name.encode(): place for place, kind in enumerate(self.grant.workloads)}
        self.tenants = {each.name.encode(): place for place, each in enumerate(self.grant.tenants)}
        self.lines: set[Line] = set()
        self.ending, self.changed = False, Event()
        room.closers.append(self.close_idle)
        self.listener = bound(socket.SOCK_STREAM, station.listen)
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]

    def accept(self):
        while not self.ending:
            # Without a descriptor to spare, clients wait in the listening queue until one is free.
            while not self.room.take():
                self.room.freed.clear()
                self.room.freed.wait()
            try:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as trouble:
                self.room.give()
                if not self.ending:
                    log.warning("accept failed", extra={"words": str(trouble)})
                    gevent.sleep(0.05)
                continue
            line = Line(sock, self.closed)
            self.lines.add(line)
            gevent.spawn(self.serve, line)

    def serve(self, line: Line):
        try:
            while line.receive(line.patience()):
                self.begin(line)
                if len(line.whole) > AHEAD:
                    raise Malformed(400, "too many requests ahead of their answers")
        except Malformed as trouble:
            log.info("refused", extra={"status": trouble.status, "words": str(trouble)})
            line.refused = trouble
            self.begin(line)
        except OSError:
            pass
        except Exception:
            log.exception("connection died")
        finally:
            if not line.refused:
                self.leave(line)

    def leave(self, line: Line):
        if line.waits:
            line.waits = False
            self.feed("abandoned", line.lookup)
        line.close()

    def refuse(self, line: Line):
        line.push(worded(line.refused.status, str(line.refused).encode(), b"Connection: close\r\n"))
        try:
            # To close with bytes unread would reset the connection, and the answer with it.
            line.sock.shutdown(socket.SHUT_WR)
            until = monotonic() + LINGER
            line.sock.settimeout(LINGER)
            while monotonic() < until and line.sock.recv(4096):
                pass
        except OSError:
            pass
        line.close()

    def begin(self, line: Line):
        """Takes the next lookup that has come whole, once the one before it is answered."""
        while line.whole and not line.waits and not line.closed:
            message = line.whole.pop(0)
            line.keep, line.asked = message.keep, True
            path = message.path.partition(b"?")[0]
            if path == b"/health/ready":
                self.say(line, 200 if self.ready() else 503)
                continue
            try:
                query = self.query(message, path)
            except Malformed as trouble:
                self.say(line, trouble.status, str(trouble).encode())
                continue
            line.waits = True
            self.feed("taken", line, query)
        if line.refused and not (line.waits or line.closed or line.lingers):
            line.lingers = True
            gevent.spawn(self.refuse, line)

    def query(self, message, path: bytes) -> Query:
        headers, mark = message.headers, message.headers.get(b"idempotency-key", b"")
        workload = self.workloads.get(path[1:].partition(b"/")[0])
        if workload is None:
            raise Malformed(404, "no such workload")
        if message.method not in (b"GET", b"POST"):
            raise Malformed(405, "neither GET nor POST")
        if not headers.get(b"x-request-id"):
            raise Malformed(400, "no X-Request-ID")
        kind = self.grant.workloads[workload]
        wait = kind.limit
        if b"x-timeout" in headers:
            found = WAIT.fullmatch(headers[b"x-timeout"].strip())
            if not found:
                raise Malformed(400, "X-Timeout is no number with m or u")
            wait = float(found[1]) / UNITS[found[2]]
        session = SESSION.search(headers.get(b"cookie", b""))
        cost = headers.get(b"x-cost", b"")
        repeat = REPEATS.get(kind.repeat, Repeat.UNREPEATABLE)
        promised = message.method == b"GET" or repeat is Repeat.DEDUPLICATED and bool(mark)
        return Query(
            workload, not promised, self.tenants.get(headers.get(b"x-tenant-id"), 0),
            hashed(session[1]) if session else 0, wait - min(MARGIN, wait / 10),
            int(cost) / 1e6 if cost.isdigit() else 0.0, headers.get(b"x-retried") == b"1", message.method,
            message.path, headers[b"x-request-id"], mark, headers.get(b"content-type", b""), message.body)

    # Effects

    def begun(self, line: Line, lookup: int):
        line.lookup = lookup

    def answer(self, line: Line, status: int, kind: bytes, body: bytes, wait: float):
        line.waits = False
        extra = b"Content-Type: %b\r\n" % kind if kind else b""
        if wait:
            extra += b"Retry-After: %.3f\r\n" % wait
        self.say(line, status, body, extra)
        if line.whole or line.refused:
            gevent.spawn(self.begin, line)
        self.room.freed.set()   # it may be closed now for one that waits at the door
        self.changed.set()

    def say(self, line: Line, status: int, body: bytes = b"", extra: bytes = b""):
        last = not line.keep or self.ending
        line.push(worded(status, body, extra + b"Connection: close\r\n" * last), last)

    def closed(self, line: Line):
        self.lines.discard(line)
        self.room.give()
        self.changed.set()

    def close_idle(self) -> bool:
        # One that has not asked anything yet has its first request under way: to close it would reset that.
        idle = min((line for line in self.lines if line.asked and line.between()),
                   key=lambda line: line.since, default=None)
        if idle:
            idle.close()
        return bool(idle)

    def end(self, pause: float):
        """Closes the door; who asks again is answered with a close, who does not is closed after a pause."""
        self.ending = True
        self.listener.close()
        gevent.sleep(pause)     # to close at once would cross what busy clients have just sent
        for line in [each for each in self.lines if each.between()]:
            line.close()


def worded(status: int, body: bytes, extra: bytes) -> bytes:
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
        status, REASONS[status], len(body), extra, body)


def hashed(key: bytes) -> int:
    """The same in every process, unlike hash()."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "little") or 1
