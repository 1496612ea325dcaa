"""The application's side: accepts its connections, reads its lookups and writes the answers.

Owns the listening socket and the application's connections. It must never let a bad request reach a server or
disturb another connection, and never words a final answer itself: that is the reducer's.

A connection ends when its client ends it, when it is refused, or by the sweep: a stranger, which has asked
nothing good yet, has little time and room; one that has asked may stand idle for a while.
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

GREET = 1.5         # how long a stranger may take from connecting to its first whole request
STALL = 2.0         # how long a client may take over any other
IDLE = 5.0          # how long a client's connection may stand idle
LINGER = 0.5        # how long a client that was refused may go on sending, unread
SWEEP = 0.2         # seconds between looks for connections whose time is up
STRANGERS = 4       # one in so many connections may be a stranger's ...
CLIENTS = 0.6       # ... and this share a client's, while there are idle ones to close; servers need the rest
LONGEST = 60.0      # what a client says it will wait is cut to this
MARGIN = 0.01       # kept free of a lookup's time for the agent's own work
AHEAD = 16          # requests that may wait on one connection for the answer to the one before

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 409: b"Conflict",
           413: b"Content Too Large", 429: b"Too Many Requests", 431: b"Request Header Fields Too Large",
           502: b"Bad Gateway", 503: b"Service Unavailable", 505: b"HTTP Version Not Supported"}
WAIT = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)(m|u)")
UNITS = {b"m": 1e3, b"u": 1e6}
SESSION = re.compile(rb"(?:^|[;,])\s*sid=([^;,]*)")
NAME = re.compile(rb"[!-+\--~]{1,200}")     # an id or a mark: visible, and no list

log = logging.getLogger("cartdeal.front")


class Line(Connection):
    """A connection of the application; while it `waits`, `lookup` is the one that it waits for."""

    def __init__(self, sock, on_close, room):
        super().__init__(sock, answers=False, on_close=on_close, room=room)
        self.lookup, self.waits, self.keep, self.asked = 0, False, True, False
        self.refused = None     # what came that ends the connection once all before it is answered ...
        self.lingers = False    # ... and whether that has been said
        self.since = monotonic()    # when it came, was last asked on or answered, or was refused

    def on_message_begin(self):
        super().on_message_begin()
        if self.asked:  # a stranger's time runs from when it came, whatever it sends
            self.since = monotonic()

    def on_headers_complete(self):
        super().on_headers_complete()
        if self.message.headers.get(b"expect", b"").lower() == b"100-continue" and not self.waits:
            self.push(b"HTTP/1.1 100 Continue\r\n\r\n")

    def done(self) -> bool:
        return not (self.waits or self.whole)

    def between(self) -> bool:
        return self.done() and not (self.midway or self.rest or self.refused)

    def overdue(self, now: float) -> bool:
        if self.waits or self.whole or (self.rest and not self.lingers):
            return False
        patience = LINGER if self.lingers else GREET if not self.asked else STALL if self.midway else IDLE
        # What has come by now and was not read yet came in time.
        return now > self.since + patience and (self.lingers or self.midway or not self.unread())


class Front:
    def __init__(self, station, feed, ready, room: Room):
        self.grant: Grant = station.grant
        self.feed, self.ready, self.room = feed, ready, room
        self.workloads = {kind.name.encode(): place for place, kind in enumerate(self.grant.workloads)}
        self.tenants = {each.name.encode(): place for place, each in enumerate(self.grant.tenants)}
        self.lines: set[Line] = set()
        self.strangers: dict[Line, None] = {}   # the longest here first; those refused come last
        self.taking, self.ending, self.changed = True, False, Event()
        room.closers += self.close_stranger, self.close_idle
        self.listener = bound(socket.SOCK_STREAM, station.listen)
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]

    def accept(self):
        while self.taking:
            if len(self.strangers) * STRANGERS > self.room.most:
                self.close_stranger()
            if len(self.lines) > CLIENTS * self.room.most:
                self.close_idle()
            # Without a descriptor to spare, clients wait in the listening queue until one is free.
            while not self.room.take():
                self.room.freed.clear()
                self.room.freed.wait()
            try:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as trouble:
                self.room.give()
                if self.taking:
                    log.warning("accept failed", extra={"words": str(trouble)})
                    gevent.sleep(0.05)
                continue
            line = Line(sock, self.closed, self.room)
            self.lines.add(line)
            self.strangers[line] = None
            gevent.spawn(self.serve, line)
            gevent.sleep(0)     # hundreds that connect at once wait for those that have asked

    def serve(self, line: Line):
        try:
            while self.hear(line):
                self.begin(line)
        except OSError:
            pass
        except Exception:
            log.exception("connection died")
        finally:
            self.leave(line)

    def hear(self, line: Line) -> bool:
        try:
            more = line.receive(None)
            if len(line.whole) > AHEAD:
                raise Malformed(400, "too many requests ahead of their answers")
            return more
        except Malformed as trouble:
            self.refuse(line, trouble)
            return True

    def leave(self, line: Line):
        if line.waits:
            line.waits = False
            self.feed("abandoned", line.lookup)
        line.close()

    def refuse(self, line: Line, trouble: Malformed):
        """From here on nothing that comes is read; what came whole before is still answered."""
        log.info("refused", extra={"status": trouble.status, "words": str(trouble)})
        line.refused, line.deaf = trouble, True
        del line.whole[AHEAD:]

    def begin(self, line: Line):
        """Takes the next lookup that has come whole, once the one before it is answered."""
        while line.whole and not line.waits and not line.closed:
            message = line.whole.pop(0)
            line.keep = message.keep
            path = message.path.partition(b"?")[0]
            if path == b"/health/ready":
                self.know(line)
                self.say(line, 200 if self.ready() else 503)
                continue
            try:
                query = self.query(message, path)
            except Malformed as trouble:
                line.whole.clear()
                self.refuse(line, trouble)
                break
            line.waits = True
            self.feed("taken", line, query)
        if line.refused and not (line.waits or line.closed or line.lingers):
            line.lingers, line.since = True, monotonic()
            self.strangers[line] = None
            line.push(worded(line.refused.status, str(line.refused).encode(), b"Connection: close\r\n"), True)

    def know(self, line: Line):
        line.asked = True
        self.strangers.pop(line, None)

    def query(self, message, path: bytes) -> Query:
        headers, mark = message.headers, message.headers.get(b"idempotency-key", b"")
        workload = self.workloads.get(path[1:].partition(b"/")[0])
        if workload is None:
            raise Malformed(404, "no such workload")
        if message.method not in (b"GET", b"POST"):
            raise Malformed(405, "neither GET nor POST")
        if message.method == b"GET" and message.body:
            raise Malformed(400, "a GET with a body")
        if not NAME.fullmatch(headers.get(b"x-request-id", b"")):
            raise Malformed(400, "no X-Request-ID that can be used")
        if mark and not NAME.fullmatch(mark):
            raise Malformed(400, "no Idempotency-Key that can be used")
        kind = self.grant.workloads[workload]
        wait = kind.limit
        if b"x-timeout" in headers:
            found = WAIT.fullmatch(headers[b"x-timeout"].strip())
            if not found:
                raise Malformed(400, "X-Timeout is no number with m or u")
            wait = min(LONGEST, float(found[1]) / UNITS[found[2]])
        sessions = set(SESSION.findall(headers.get(b"cookie", b"")))
        if len(sessions) > 1:
            raise Malformed(400, "more than one sid")
        repeat = REPEATS.get(kind.repeat, Repeat.UNREPEATABLE)
        promised = message.method == b"GET" or repeat is Repeat.DEDUPLICATED and bool(mark)
        return Query(
            workload, not promised, self.tenants.get(headers.get(b"x-tenant-id"), 0),
            hashed(sessions.pop()) if sessions else 0, wait - min(MARGIN, wait / 10),
            headers.get(b"x-retried") == b"1", message.method,
            message.path, headers[b"x-request-id"], mark, headers.get(b"content-type", b""), message.body,
            headers.get(b"x-tenant-id", b""))

    # Effects

    def begun(self, line: Line, lookup: int):
        line.lookup = lookup
        self.know(line)

    def refuse_lookup(self, line: Line, status: int, words: str):
        line.waits = False
        line.whole.clear()
        self.refuse(line, Malformed(status, words))

    def answer(self, line: Line, status: int, kind: bytes, body: bytes, wait: float):
        line.waits, line.since = False, monotonic()
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
        self.strangers.pop(line, None)
        self.room.give()
        self.changed.set()

    def close_stranger(self) -> bool:
        """Closes the stranger that has said nothing for longest: one with bytes unread may have asked."""
        for line in self.strangers:
            if line.lingers or not (line.whole or line.unread()):
                line.close()
                return True
        return False

    def close_idle(self) -> bool:
        idle = (line for line in self.lines if line.asked and line.between())
        for line in sorted(idle, key=lambda line: line.since):
            if not line.unread():
                line.close()
                return True
        return False

    def sweep(self):
        while True:
            gevent.sleep(SWEEP)
            now = monotonic()
            for line in [each for each in self.lines if each.overdue(now)]:
                line.close()

    def shut(self):
        """Closes the door. Connections that are open stay so: their clients may have no other way."""
        self.taking = False
        self.listener.close()

    def wait_empty(self, until: float):
        while self.lines and monotonic() < until:
            self.changed.clear()
            self.changed.wait(max(0.0, until - monotonic()))

    def end(self, pause: float):
        """Who asks again is answered with a close, who does not is closed after a pause."""
        self.ending = True
        gevent.sleep(pause)     # to close at once would cross what busy clients have just sent
        for line in [each for each in self.lines if each.between()]:
            line.close()


def worded(status: int, body: bytes, extra: bytes) -> bytes:
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
        status, REASONS[status], len(body), extra, body)


def hashed(key: bytes) -> int:
    """The same in every process, unlike hash()."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "little") or 1
