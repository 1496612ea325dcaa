"""One connection: its socket, its one buffer, and the HTTP parser on it; and the room for all connections.

The buffer grows as it needs, and the bodies in it are moved down over the framing that they came in, so that
a body stands whole in one place. It must never decide what a message means, nor send anything by itself.
"""

import os

import gevent
import httptools
from gevent import socket
from gevent.event import Event

HEAD_ROOM = 16384      # the longest head of a message
BODY_ROOM = 65536      # the longest body
READ = 4096            # room kept for one read
STALLED = 10.0         # how long a peer may take to accept what is left of an answer


class Message:
    """A request or an answer, whole."""

    __slots__ = ("method", "path", "status", "headers", "body", "keep")

    def __init__(self):
        self.method, self.path, self.status, self.headers, self.body, self.keep = b"", b"", 0, {}, b"", True


class Malformed(Exception):
    """What came is no HTTP, or too long. `status` is what an application is told."""

    def __init__(self, status: int, words: str):
        super().__init__(words)
        self.status = status


class Unbound(Exception):
    """An address of the agent's own can't be had."""


def bound(kind: int, address: tuple[str, int]):
    sock = socket.socket(socket.AF_INET, kind)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as trouble:
        sock.close()
        raise Unbound(f"can't listen on {address[0]}:{address[1]}: {trouble.strerror}") from None
    return sock


class Room:
    """How many connections there may be. Where there is none left, idle ones are closed to make some.

    `freed` is set when one is closed or becomes idle.
    """

    def __init__(self, most: int):
        self.most, self.used, self.closers, self.freed = most, 0, [], Event()

    def take(self, spare: int = 0) -> bool:
        while self.used + spare >= self.most:
            if not any(close() for close in self.closers):
                return False
        self.used += 1
        return True

    def give(self):
        self.used -= 1
        self.freed.set()


class Connection:
    """`on_close` is called once, when the descriptor is free again."""

    def __init__(self, sock, answers: bool, on_close=lambda connection: None, body_room: int = BODY_ROOM):
        self.sock, self.answers, self.on_close, self.body_room = sock, answers, on_close, body_room
        self.parser = (httptools.HttpResponseParser if answers else httptools.HttpRequestParser)(self)
        self.buffer = bytearray(READ)
        self.view = memoryview(self.buffer)
        self.kept = 0               # bytes of the body so far, at the buffer's start
        self.head = 0               # bytes of the head so far, about; -1 while a body comes
        self.midway = False         # whether a message has begun and is not whole
        self.message = Message()
        self.whole = []             # messages that have come whole and were not taken yet
        self.wrong = None
        self.unsent = b""           # what the socket did not take at once
        self.rest = None            # the greenlet that writes it
        self.last = False           # whether to close once all is written
        self.closed = False
        self.since = 0.0            # when it became idle, for its owner

    def receive(self, wait: float | None) -> bool:
        """Waits for bytes and parses them; false at the end of the stream. Raises what the socket raises."""
        self.fit()
        self.sock.settimeout(wait)
        count = self.sock.recv_into(self.view[self.kept:])
        if not count:
            return False
        if self.head >= 0:
            self.head += count
        try:
            self.parser.feed_data(self.view[self.kept:self.kept + count])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as trouble:
            raise self.wrong or Malformed(400, f"no HTTP: {trouble}") from None
        if self.head > HEAD_ROOM:
            raise Malformed(431, f"a head of over {HEAD_ROOM} bytes")
        return True

    def fit(self):
        """Grows the buffer where it is nearly full, and gives up what a long body needed."""
        size = len(self.buffer)
        if size - self.kept < READ:
            size += max(READ, size)
        elif not self.midway and size > 4 * READ:
            size = READ
        if size != len(self.buffer):
            self.view.release()
            kept = self.buffer[:self.kept]
            self.buffer = bytearray(size)
            self.buffer[:self.kept] = kept
            self.view = memoryview(self.buffer)

    # What the parser finds

    def on_message_begin(self):
        self.message, self.kept, self.midway = Message(), 0, True

    def on_url(self, part: bytes):
        self.message.path += part

    def on_header(self, name: bytes, value: bytes):
        self.message.headers[name.lower()] = value

    def on_headers_complete(self):
        if self.answers:
            self.message.status = self.parser.get_status_code()
        else:
            self.message.method = self.parser.get_method()
        length = self.message.headers.get(b"content-length", b"0")
        if length.isdigit():
            self.check_room(int(length))
        self.head = -1

    def on_body(self, part: bytes):
        end = self.kept + len(part)
        self.check_room(end)
        # Behind the place where the parser reads: what stood there is parsed already.
        self.view[self.kept:end] = part
        self.kept = end

    def check_room(self, size: int):
        if size > self.body_room:
            self.wrong = Malformed(413, f"a body of over {self.body_room} bytes")
            raise self.wrong

    def on_message_complete(self):
        message, self.midway, self.head = self.message, False, 0
        message.keep = self.parser.should_keep_alive()
        message.body = bytes(self.view[:self.kept])
        self.kept = 0
        if not (self.answers and 100 <= message.status < 200):
            self.whole.append(message)

    def lines(self) -> list[bytes]:
        """Takes the whole lines out of a body that is still coming, and moves the rest down."""
        end = self.buffer.rfind(b"\n", 0, self.kept) + 1
        text, rest = bytes(self.view[:end]), self.kept - end
        self.view[:rest] = bytes(self.view[end:self.kept])
        self.kept = rest
        return text.split(b"\n")[:-1]

    # Writing

    def push(self, data: bytes, last: bool = False):
        """Writes at once what the socket takes; the rest goes out in a greenlet of its own, in order."""
        self.last |= last
        if not self.rest:
            try:
                data = data[os.write(self.sock.fileno(), data):]
            except BlockingIOError:
                pass
            except OSError:
                return self.close()
        self.unsent += data
        if self.unsent and not self.rest:
            self.rest = gevent.spawn(self.push_rest)
        elif self.last and not self.unsent:
            self.close()

    def push_rest(self):
        try:
            while self.unsent:
                data, self.unsent = self.unsent, b""
                self.sock.settimeout(STALLED)
                self.sock.sendall(data)
        except OSError:
            self.last = True
        self.rest = None
        if self.last:
            self.close()

    def stale(self) -> bool:
        """Whether a kept connection has ended, or holds bytes that nobody asked for."""
        try:
            self.sock.settimeout(0.0)
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def close(self):
        if not self.closed:
            self.closed = True
            self.sock.close()
            self.on_close(self)
