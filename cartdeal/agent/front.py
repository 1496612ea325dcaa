"""The application's side: accepts its connections, reads its lookups and writes the answers.

Owns the listening socket and the application's connections. It must never let a bad request reach a server or
disturb another connection, and never words a final answer itself: that is the reducer's.
"""

import hashlib
import logging
import re

import gevent
from gevent import socket

from cartdeal.agent.connection import Connection, Malformed
from cartdeal.agent.reducer import Query
from cartdeal.grant import Grant

STALL = 10.0        # how long a client may take over half a request
IDLE = 120.0        # how long a client's connection may stand idle
MARGIN = 0.01       # kept free of a lookup's time for the agent's own work

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 413: b"Content Too Large",
           431: b"Request Header Fields Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable"}
WAIT = re.compile(rb"([0-9]{1,12})(m|u)")
UNITS = {b"m": 1e3, b"u": 1e6}
SESSION = re.compile(rb"(?:^|;)\s*sid=([^;]*)")

log = logging.getLogger("cartdeal.front")


class Line(Connection):
    """A connection of the application; `lookup` is the one that it waits for."""

    def __init__(self, sock):
        super().__init__(sock, answers=False)
        self.lookup, self.waits, self.keep = 0, False, True


class Front:
    def __init__(self, station, feed, ready):
        self.grant: Grant = station.grant
        self.feed, self.ready = feed, ready
        self.workloads = {kind.name.encode(): place for place, kind in enumerate(self.grant.workloads)}
        self.tenants = {each.name: place for place, each in enumerate(self.grant.tenants)}
        self.lines: set[Line] = set()
        self.ending = False
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(station.listen)
        self.listener.listen(512)

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as trouble:
                if self.listener.fileno() < 0:
                    return
                log.warning("accept failed", extra={"words": str(trouble)})
                gevent.sleep(0.05)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            line = Line(sock)
            self.lines.add(line)
            gevent.spawn(self.serve, line)

    def serve(self, line: Line):
        try:
            while line.receive(None if line.waits else STALL if line.head or line.kept else IDLE):
                self.begin(line)
        except Malformed as trouble:
            if not line.waits:
                self.say(line, trouble.status, str(trouble).encode())
        except OSError:
            pass
        except Exception:
            log.exception("connection died")
        finally:
            if line.waits:
                line.waits = False
                self.feed("abandoned", line.lookup)
            self.close(line)

    def begin(self, line: Line):
        """Takes the next lookup that has come whole, once the one before it is answered."""
        while line.whole and not line.waits and not line.closed:
            message = line.whole.pop(0)
            line.keep = message.keep
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

    def query(self, message, path: bytes) -> Query:
        headers = message.headers
        workload = self.workloads.get(path[1:].partition(b"/")[0])
        if workload is None:
            raise Malformed(404, "no such workload")
        if not headers.get(b"x-request-id"):
            raise Malformed(400, "no X-Request-ID")
        wait = self.grant.workloads[workload].limit
        if b"x-timeout" in headers:
            found = WAIT.fullmatch(headers[b"x-timeout"].strip())
            if not found:
                raise Malformed(400, "X-Timeout is no number with m or u")
            wait = int(found[1]) / UNITS[found[2]]
        session = SESSION.search(headers.get(b"cookie", b""))
        return Query(
            workload, 0, hashed(session[1]) if session else 0, max(0.0, wait - MARGIN), 0.0,
            headers.get(b"x-retried") == b"1", message.method, message.path, headers[b"x-request-id"],
            headers.get(b"idempotency-key", b""), headers.get(b"content-type", b""), message.body)

    # Effects

    def begun(self, line: Line, lookup: int):
        line.lookup = lookup

    def answer(self, line: Line, status: int, kind: bytes, body: bytes, wait: float):
        line.waits = False
        extra = b"Content-Type: %b\r\n" % kind if kind else b""
        if wait:
            extra += b"Retry-After: %.3f\r\n" % wait
        self.say(line, status, body, extra)
        if line.whole:
            gevent.spawn(self.begin, line)

    def say(self, line: Line, status: int, body: bytes = b"", extra: bytes = b""):
        keep = line.keep and not self.ending and status not in (400, 413, 431)
        line.push(b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n%b" % (
            status, REASONS[status], len(body), extra, b"" if keep else b"Connection: close\r\n", body))
        if not keep:
            self.close(line)

    def close(self, line: Line):
        self.lines.discard(line)
        line.close()

    def end(self):
        """Closes the door and every connection that stands between lookups."""
        self.ending = True
        self.listener.close()
        for line in [each for each in self.lines if not each.waits]:
            self.close(line)


def hashed(key: bytes) -> int:
    """The same in every process, unlike hash()."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "little") or 1


