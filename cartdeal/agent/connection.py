"""One connection: its socket, its one buffer and the HTTP parser that runs on it.

The buffer grows as it needs, and the bodies in it are moved down over the framing that they came in, so that
a body stands whole in one place. It must never decide what a message means, nor send anything by itself.
"""

import os

import gevent
import httptools
from gevent import socket

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


class Connection:
    def __init__(self, sock, answers: bool):
        self.sock = sock
        self.parser = (httptools.HttpResponseParser if answers else httptools.HttpRequestParser)(self)
        self.answers = answers
        self.buffer = bytearray(READ)
        self.view = memoryview(self.buffer)
        self.kept = 0               # bytes of the body so far, at the buffer's start
        self.head = 0               # bytes of the head so far; 0 between messages
        self.in_head = True
        self.message = Message()
        self.whole = []             # messages that have come whole and were not taken yet
        self.wrong = None
        self.closed = False
        self.since = 0.0            # when it became idle, for its owner

    def receive(self, wait: float | None) -> bool:
        """Waits for bytes and parses them; false at the end of the stream. Raises what the socket raises."""
        if len(self.buffer) - self.kept < READ:
            self.view.release()
            self.buffer.extend(bytes(max(READ, len(self.buffer))))
            self.view = memoryview(self.buffer)
        self.sock.settimeout(wait)
        count = self.sock.recv_into(self.view[self.kept:])
        if not count:
            return False
        try:
            if self.in_head:
                self.head += count
            self.parser.feed_data(self.view[self.kept:self.kept + count])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as trouble:
            raise self.wrong or Malformed(400, f"no HTTP: {trouble}") from None
        if self.in_head and self.head > HEAD_ROOM:
            raise Malformed(431, f"a head of over {HEAD_ROOM} bytes")
        return True

    # What the parser finds

    def on_message_begin(self):
        self.message, self.kept, self.in_head = Message(), 0, True

    def on_url(self, part: bytes):
        self.message.path += part

    def on_header(self, name: bytes, value: bytes):
        self.message.headers[name.lower()] = value

    def on_headers_complete(self):
        self.in_head, self.head = False, 0
        if self.answers:
            self.message.status = self.parser.get_status_code()
        else:
            self.message.method = self.parser.get_method()
        length = self.message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_ROOM:
            self.wrong = Malformed(413, f"a body of over {BODY_ROOM} bytes")
            raise self.wrong

    def on_body(self, part: bytes):
        end = self.kept + len(part)
        if end > BODY_ROOM:
            self.wrong = Malformed(413, f"a body of over {BODY_ROOM} bytes")
            raise self.wrong
        # Behind the place where the parser reads: what stood there is parsed already.
        self.view[self.kept:end] = part
        self.kept = end

    def on_message_complete(self):
        message, self.in_head, self.head = self.message, True, 0
        message.keep = self.parser.should_keep_alive()
        message.body = bytes(self.view[:self.kept])
        self.kept = 0
        if not (self.answers and 100 <= message.status < 200):
            self.whole.append(message)

    def lines(self):
        """Takes the whole lines out of a body that is still coming, and moves the rest down."""
        end = self.buffer.rfind(b"\n", 0, self.kept) + 1
        text = bytes(self.view[:end])
        rest = self.kept - end
        self.view[:rest] = bytes(self.view[end:self.kept])
        self.kept = rest
        return text.split(b"\n")[:-1]

    # Writing

    def push(self, data: bytes):
        """Writes at once what the socket takes; the rest goes out in a greenlet of its own."""
        try:
            sent = os.write(self.sock.fileno(), data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return self.close()
        if sent < len(data):
            gevent.spawn(self.push_rest, data[sent:])

    def push_rest(self, data: bytes):
        try:
            self.sock.settimeout(STALLED)
            self.sock.sendall(data)
        except OSError:
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
