"""The servers and the discovery service that agents of a soak talk to; they speak the published protocol."""

import json
from enum import StrEnum

import gevent

from cartdeal.agent.connection import Connection
from cartdeal.rig.soak.relay import reset
from cartdeal.rig.stands import Listener

EMPTY_LINE_EVERY = 2.0  # seconds
WORK = 0.01  # seconds that a server takes over a request
SLOW_WORK = 0.4
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Mood(StrEnum):
    """How a server behaves."""

    GOOD = "good"
    HANGS = "hangs"
    RESETS = "resets"
    HALF = "half"  # half an answer, then the end
    ERRORS = "errors"
    FULL = "full"
    SLOW = "slow"
    SPOILT = "spoilt"  # an answer that can't be read, and the connection stays


class TimedConnection(Connection):
    """Knows when the first byte of each request came."""

    def __init__(self, sock, now, **more):
        super().__init__(sock, reads_responses=False, **more)
        self.now, self.began_at = now, 0.0

    def on_message_begin(self):
        super().on_message_begin()
        self.began_at = self.now()


class TimingListener(Listener):
    """One whose connections know when the first byte of each request came, by `now()`."""

    def __init__(self, now):
        self.now = now
        super().__init__()

    def connection(self, sock) -> Connection:
        return TimedConnection(sock, self.now, on_close=self.open.discard)


class Server(TimingListener):
    def __init__(self, name, zone, now, judge):
        super().__init__(now)
        self.is_held_back = lambda: False  # set by who has a relay before it
        self.name, self.zone, self.judge = name, zone, judge
        self.mood, self.seen = Mood.GOOD, 0

    def play(self, connection, message):
        if message.path.startswith(b"/health"):
            return connection.write(answer(200, b""))
        self.seen += 1
        id = message.headers.get(b"x-request-id", b"").decode()
        told = float(message.headers.get(b"x-timeout", b"0m")[:-1]) / 1e3
        if self.mood is Mood.FULL:
            return connection.write(answer(503, b"", b"X-Not-Processed: 1\r\n"))
        self.judge.reached(
            self.name, self.zone, id, connection.began_at, self.now(), told, self.is_held_back()
        )
        if self.mood is Mood.HANGS:
            return None
        gevent.sleep(SLOW_WORK if self.mood is Mood.SLOW else WORK)
        if connection.closed:
            return None
        good = answer(200, id.encode() + b" " + message.body)
        if self.mood is Mood.RESETS:
            return reset(connection.sock)
        if self.mood is Mood.HALF:
            return connection.write(good[:-3], True)
        if self.mood is Mood.SPOILT:
            return connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\none")
        return connection.write(answer(500, b"") if self.mood is Mood.ERRORS else good)


class Discovery(TimingListener):
    def __init__(self, now):
        self.entries, self.version, self.watches = {}, 1, set()
        self.down = False
        super().__init__(now)

    def play(self, connection, message):
        if self.down:
            return connection.write(answer(503, b""), True)
        text = self.text(list(self.entries.values()), True)
        if b"watch=1" not in message.path:
            return connection.write(answer(200, text))
        connection.write(HEAD + chunk(text + b"\n"))
        self.watches.add(connection)
        return gevent.spawn(self.beat, connection)

    def beat(self, connection):
        while not connection.closed:
            gevent.sleep(EMPTY_LINE_EVERY)
            connection.write(chunk(b"\n"))
        self.watches.discard(connection)

    def text(self, entries, whole):
        return json.dumps({"rev": self.version, "all": whole, "targets": entries}).encode()

    def tell(self, *entries):
        self.version += 1
        for entry in entries:
            self.entries[entry["uid"]] = entry
            if entry["state"] == "left":
                del self.entries[entry["uid"]]
        line = chunk(self.text(list(entries), False) + b"\n")
        for watch in list(self.watches):
            watch.write(line)

    def end_watches(self):
        for watch in list(self.watches):
            reset(watch.sock)


def answer(status: int, body: bytes, extra: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d Soak\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra, len(body), body)


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(text), text)
