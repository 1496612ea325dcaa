"""One connection: its socket, its one buffer, and the HTTP parser on it; and the room for all connections.

The one place that says whether bytes are a message, for requests and answers alike. The buffer grows as it
needs, and the bodies in it are moved down over the framing that they came in, so that a body stands whole in
one place. It must never decide what a message means, read on behind bytes that are none, nor send anything by
itself.
"""

import os
import re
import select
from time import monotonic

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from cartdeal.agent.system_errors import RETRY_PAUSE, is_transient

HEAD_LIMIT = 16384  # the longest head of a message, with the interim ones ahead of it
FRAMING = 8  # bytes round one byte of a body that a chunked message may take at most
BODY_LIMIT = 65536  # the longest body
READ = 4096  # room kept for one read
BODY_COPIES = 3  # times that a long body is held at most: in the buffer, by itself, with its head again
DENSE = 32  # lines in one read, from which on it may hold many messages and is parsed by pieces ...
PIECE = 512  # ... of so many bytes
LEAST_WAIT = 0.001  # seconds; none would make the socket not wait at all
READ_RETRIES = 2.0  # seconds for which a read that finds no memory is tried again
WRITE_TIMEOUT = 10.0  # how long a peer may take to accept what is left of an answer
MOST_DISCARDED = 1 << 20  # bytes that are thrown away behind the end of our sending, at most


class Message:
    """A request or an answer, whole."""

    __slots__ = ("method", "path", "status", "headers", "body", "keep_alive", "came_at")

    def __init__(self):
        self.method = b""
        self.path = b""
        self.status = 0
        self.headers = {}
        self.body = b""
        self.keep_alive = True
        self.came_at = 0.0  # monotonic time in seconds at which its last byte came, for its owner


DISCARD_BUFFER = bytearray(65536)  # where bytes go that nobody is to read

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
BODILESS_STATUSES = (*range(100, 200), 204, 304)  # statuses of answers without a body
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:;.*)?\r\n")  # the line ahead of a chunk
# A name that some read as one of these and others don't.
AMBIGUOUS_FRAMING = re.compile(rb"(?:content|transfer)[^a-z]*(?:length|encoding)")


class Malformed(Exception):
    """What came is no HTTP, can be read two ways, or is too long. `status` is what an application is told."""

    def __init__(self, status: int, words: str):
        super().__init__(words)
        self.status = status


def is_ready(sock, event: int, unknown: bool) -> bool:
    """Whether a socket shows one of poll's events, or an error; `unknown` where the system can't tell."""
    try:
        look = select.poll()
        look.register(sock, event)
        return bool(look.poll(0))
    except OSError:
        return unknown


class ConnectionBudget:
    """How many connections there may be, and how many bytes for long bodies.

    Where there is no connection left, idle ones are closed to make some. `freed` is set when one is closed or
    becomes idle.
    """

    def __init__(self, most: int, long_bodies: int):
        self.most, self.used, self.closers, self.freed = most, 0, [], Event()
        self.long_bodies = long_bodies  # bytes that are left

    def acquire(self, spare: int = 0) -> bool:
        while self.used + spare >= self.most:
            if not any(close() for close in self.closers):
                return False
        self.used += 1
        return True

    def release(self):
        self.used -= 1
        self.freed.set()


class Connection:
    """`on_half_close` is called once, when our side has ended and the other is waited for; `on_close` once,
    when the descriptor is free again.
    """

    def __init__(
        self,
        sock,
        answers: bool,
        on_close=lambda connection: None,
        body_limit: int = BODY_LIMIT,
        budget: ConnectionBudget | None = None,
        until_close: bool = False,
        on_half_close=lambda connection: None,
        on_written=lambda connection: None,
    ):
        """`until_close`: whether an answer with neither length nor chunks is good, up to an orderly close.

        `on_written` is called each time when all that the socket did not take at once has been written.
        """
        self.on_written = on_written
        self.sock, self.answers, self.on_close, self.body_limit = sock, answers, on_close, body_limit
        self.on_half_close = on_half_close
        self.budget, self.claimed = budget, 0  # bytes of the room for long bodies ...
        self.claims = 0  # ... and those for the message that is coming
        self.parser = (httptools.HttpResponseParser if answers else httptools.HttpRequestParser)(self)
        self.buffer = bytearray(READ)
        self.view = memoryview(self.buffer)
        self.kept = 0  # bytes of the body so far, at the buffer's start
        self.framing = 0  # bytes of the message so far that are no body, about
        self.body_size = 0  # bytes of its body so far
        self.head_complete = False  # whether its head is whole: what comes as a header then is a trailer
        self.until_close, self.unbounded = until_close, False  # ... and whether the message is such a one
        self.came = 0  # where in the buffer ends what has come
        self.ahead = None  # what a read brought, from before the size of its first chunk on
        self.line = b""  # what has come of a line of framing, over several reads
        self.chunk = None  # bytes that a read brought of the chunk that is open
        self.more = False  # whether more came than the answer that was waited for
        self.discards_input = False  # whether what comes is thrown away, unread, until the other side ends
        self.mid_message = False  # whether a message has begun and is not whole
        self.message = Message()
        self.messages = []  # messages that have come whole and were not taken yet
        self.unparsed = b""  # requests that were read and not parsed yet, for their reader may pause
        self.wrong = None
        self.unsent = b""  # what the socket did not take at once
        self.writer = None  # the greenlet that writes it
        self.ends_after_write = False  # whether to half-close once all is written
        self.half_closed = False  # whether our sending has ended
        self.discarded = 0  # bytes that came since and were thrown away
        self.closed = False
        self.is_parsing = False
        self.broken = False  # whether the other side took no more of what was written
        self.since = 0.0  # when it became idle, for its owner

    def receive(self, wait: float | None) -> bool:
        """Waits for bytes and parses them; false at the end of the stream. Raises what the socket raises.

        The end may make a message whole.
        """
        if self.closed:
            return False
        if self.discards_input:
            self.sock.settimeout(wait)
            count = self.sock.recv_into(DISCARD_BUFFER)
            self.discarded += count
            if self.discarded > len(DISCARD_BUFFER):
                # Who sends without a pause must not hold up everyone else; but one that sent much and went
                # is read to its end at once, before an attempt of its begins.
                gevent.sleep(0)
            return bool(count) and not (self.half_closed and self.discarded > MOST_DISCARDED)
        self.fit()
        count = self.take_unparsed() or self.read_into(self.view[self.kept :], wait)
        if not count and self.mid_message and self.unbounded:
            self.on_message_complete()  # an orderly end; a reset has raised, and is none
        if not count or self.discards_input:
            return bool(count)
        count = self.put_off(count)
        self.framing += count
        self.came = self.kept + count
        self.is_parsing = True
        try:
            self.parser.feed_data(self.view[self.kept : self.came])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as trouble:
            if not (self.answers and self.messages):  # what follows a whole answer is no fault of its own
                raise self.wrong or Malformed(400, f"no HTTP: {trouble}") from None
            self.more = True
        finally:
            self.is_parsing = False
            self.release_parser()
        if self.mid_message and self.message.headers.get(FRAMING_HEADERS[1]):
            self.check_chunk()
        self.ahead = None
        if self.framing > HEAD_LIMIT + FRAMING * self.body_size:
            # Counted to the end of the message: trailers and chunks of nothing come without end, too.
            raise Malformed(431, f"a head of over {HEAD_LIMIT} bytes")
        return True

    def read_into(self, view, wait: float | None) -> int:
        """Reads once there are bytes; again after a pause, while the system has no memory for it."""
        due = monotonic() + (READ_RETRIES if wait is None else min(wait, READ_RETRIES))
        while True:
            self.sock.settimeout(wait)  # a greenlet that writes may have set another one meanwhile
            try:
                return self.sock.recv_into(view)
            except OSError as trouble:
                if not is_transient(trouble) or monotonic() >= due:
                    raise
            gevent.sleep(RETRY_PAUSE)

    def take_unparsed(self) -> int:
        """Moves the next piece of what was read before to where a read would put it; gives its length."""
        piece, self.unparsed = self.unparsed[:PIECE], self.unparsed[PIECE:]
        self.view[self.kept : self.kept + len(piece)] = piece
        return len(piece)

    def put_off(self, count: int) -> int:
        """Puts off all but the first piece of a read that may hold many requests; gives how much is left.

        The parser makes messages of all that it is given, and a message takes many times its bytes.
        """
        end = self.kept + count
        if self.answers or count <= PIECE or self.buffer.count(b"\n", self.kept, end) <= DENSE:
            return count
        self.unparsed = bytes(self.view[self.kept + PIECE : end])
        return PIECE

    def fit(self):
        """Grows the buffer where it is nearly full, and gives up what a long body needed."""
        size = len(self.buffer)
        if size - self.kept < READ:
            size += max(READ, size)
        elif not self.mid_message and size > READ:
            size = READ
        if size != len(self.buffer):
            self.view.release()
            kept = self.buffer[: self.kept]
            self.buffer = bytearray(size)
            self.buffer[: self.kept] = kept
            self.view = memoryview(self.buffer)

    # What the parser finds

    def on_message_begin(self):
        if self.answers and self.messages:
            raise self.fault(502, "more than the answer")
        self.message, self.kept, self.mid_message, self.head_complete = Message(), 0, True, False
        self.unbounded = False
        self.claims, self.line, self.chunk = 0, b"", None
        if self.done():
            self.release_body_memory()

    def done(self) -> bool:
        """Whether nothing that came is needed any longer."""
        return not self.messages

    def on_url(self, part: bytes):
        self.message.path += part

    def on_header(self, name: bytes, value: bytes):
        if self.head_complete:
            return  # a trailer must not stand in for a header that has decided already
        name, headers = name.lower(), self.message.headers
        # The parser leaves blanks behind a value. A tab behind a coding stays: the parser doesn't take it for
        # that coding then, and the message would be framed in two ways.
        value = value.rstrip(b" " if name in FRAMING_HEADERS else b" \t")
        # As a list, a repeated one fits no form that holds one value, and no one takes the first or the last.
        headers[name] = headers[name] + b", " + value if name in headers else value

    def on_headers_complete(self):
        message, headers, self.head_complete = self.message, self.message.headers, True
        if self.answers:
            message.status = self.parser.get_status_code()
        else:
            message.method = self.parser.get_method()
        if self.parser.get_http_version() != "1.1":
            raise self.fault(505, "not HTTP/1.1")
        if self.parser.should_upgrade():
            raise self.fault(400, "asks for another protocol")
        if any(AMBIGUOUS_FRAMING.match(name) and name not in FRAMING_HEADERS for name in headers):
            raise self.fault(400, "a header that may frame the message")
        length, coding = (headers.get(name) for name in FRAMING_HEADERS)
        if coding is not None and coding.lower() != b"chunked":
            raise self.fault(400, "a transfer coding other than chunked")
        if self.answers and coding is length is None and message.status not in BODILESS_STATUSES:
            if not self.until_close:
                raise self.fault(502, "an answer whose end can't be told")
            self.unbounded = True
        self.check_size(int(length or 0))

    def on_body(self, part: bytes):
        end = self.kept + len(part)
        self.body_size += len(part)
        self.framing -= len(part)
        if self.chunk is not None:
            self.chunk += len(part)
        self.check_size(end)
        # Behind the place where the parser reads: what stood there is parsed already.
        self.view[self.kept : end] = part
        self.kept = end

    def on_chunk_header(self):
        self.chunk = 0
        if self.ahead is None:
            self.ahead = bytes(self.view[self.kept : self.came])

    def on_chunk_complete(self):
        self.chunk = None

    def check_chunk(self):
        """Refuses a chunk that says it is too long, like a length that says so: its sender may be waiting.

        The parser keeps the size to itself, but tells when a chunk has begun and which bytes are of it; the
        size stands in the line ahead of these.
        """
        if self.ahead is not None and self.chunk is not None:
            text = self.line + self.ahead[: len(self.ahead) - self.chunk]
            sized = CHUNK_SIZE_LINE.fullmatch(text, text.rfind(b"\n", 0, -1) + 1)  # no match: a trailer
            if sized:
                self.check_size(self.kept + int(sized[1], 16) - self.chunk)
        if self.chunk is None:
            text = self.line + bytes(self.view[self.kept : self.came])
            self.line = text[text.rfind(b"\n") + 1 :]
        else:
            self.line, self.chunk = b"", 0

    def check_size(self, size: int):
        if size > self.body_limit:
            raise self.fault(413, f"a body of over {self.body_limit} bytes")
        more = BODY_COPIES * size - self.claims
        if self.budget and size > READ and more > 0:
            if more > self.budget.long_bodies:
                raise self.fault(503, "no memory for so long a body")
            self.budget.long_bodies -= more
            self.claims += more
            self.claimed += more

    def release_body_memory(self):
        if self.claimed:
            self.budget.long_bodies += self.claimed
            self.claimed = self.claims = 0

    def fault(self, status: int, words: str) -> Malformed:
        self.wrong = Malformed(status, words)  # the parser puts an error of its own round it
        return self.wrong

    def on_message_complete(self):
        message, self.mid_message = self.message, False
        if not 100 <= message.status < 200:
            self.framing = self.body_size = 0
        message.keep_alive = not self.unbounded and self.parser.should_keep_alive()
        message.body = bytes(self.view[: self.kept])
        self.kept = 0
        if not (self.answers and 100 <= message.status < 200):
            self.messages.append(message)

    def lines(self) -> list[bytes]:
        """Takes the whole lines out of a body that is still coming, and moves the rest down."""
        end = self.buffer.rfind(b"\n", 0, self.kept) + 1
        text, rest = bytes(self.view[:end]), self.kept - end
        self.view[:rest] = bytes(self.view[end : self.kept])
        self.kept = rest
        return text.split(b"\n")[:-1]

    # Writing

    def push(self, data: bytes, last: bool = False):
        """Writes at once what the socket takes; the rest goes out in a greenlet of its own, in order.

        After the last of it the connection is half-closed, and from now on nothing more is read or written.
        """
        if self.ends_after_write:
            return
        self.ends_after_write = last
        self.discards_input |= last
        if not self.writer:
            try:
                data = data[os.write(self.sock.fileno(), data) :]
            except OSError as trouble:
                if not (isinstance(trouble, BlockingIOError) or is_transient(trouble)):
                    self.broken = True
                    return self.close()
        self.unsent += data
        if self.unsent and not self.writer:
            self.writer = gevent.spawn(self.write_rest)
        elif self.ends_after_write and not self.unsent:
            self.half_close()

    def write_rest(self):
        try:
            while self.unsent:
                data, self.unsent = self.unsent, b""
                self.write_all(data)
        except OSError:
            self.broken = True
            return self.close()
        finally:
            self.writer = None
        if self.ends_after_write:
            self.half_close()
        else:
            self.on_written(self)

    def write_all(self, data: bytes):
        """Writes it as the peer takes it. Raises TimeoutError where that takes over WRITE_TIMEOUT."""
        rest, due = memoryview(data), monotonic() + WRITE_TIMEOUT
        while rest:
            self.sock.settimeout(max(LEAST_WAIT, due - monotonic()))
            try:
                rest = rest[self.sock.send(rest) :]
            except OSError as trouble:
                if not is_transient(trouble) or monotonic() >= due:
                    raise
                gevent.sleep(RETRY_PAUSE)

    def half_close(self):
        """Ends our sending, the one way to close on a peer that may still send.

        What comes after it is neither parsed nor taken: it is thrown away until the other side ends, or
        `MOST_DISCARDED` bytes have come, or the owner closes. A close over unread bytes would reset the
        connection and take with it what was written last.
        """
        if self.half_closed or self.closed:
            return
        self.half_closed = self.ends_after_write = self.discards_input = True
        self.discarded = 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close()
        self.on_half_close(self)

    def unread(self) -> bool:
        """Whether bytes, or the other side's end, have come that nobody has read."""
        return bool(self.unparsed) or self.polls(select.POLLIN)

    def peer_ended(self) -> bool:
        """Whether the other side has closed or reset, though nobody may have read that yet."""
        return self.polls(select.POLLRDHUP)  # with bytes unread before it, too

    def polls(self, event: int) -> bool:
        """Whether the socket shows one of poll's events, or an error, now.

        Where the system can't tell, there may be bytes, and the other side has not ended. A closed connection
        has ended.
        """
        return self.closed or is_ready(self.sock, event, unknown=event == select.POLLIN)

    def release_parser(self):
        """Lets a closed connection go at once.

        It and its parser hold each other, and with its buffer would wait for a collection of all garbage.
        """
        if self.closed and not self.is_parsing:
            self.parser = None

    def close(self):
        if not self.closed:
            self.closed = True
            self.release_parser()
            self.release_body_memory()
            if self.half_closed:
                self.discard_unread()
            self.sock.close()
            self.on_close(self)

    def discard_unread(self):
        """Takes what lies unread, without waiting: a close over it would reset the connection."""
        self.sock.settimeout(0.0)
        try:
            while self.discarded <= MOST_DISCARDED and (count := self.sock.recv_into(DISCARD_BUFFER)):
                self.discarded += count
        except OSError:
            pass
