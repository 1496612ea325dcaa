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

from cartdeal.agent.system_errors import RETRY_PAUSE_S, is_transient

MAX_HEAD_BYTES = 16384  # the longest head of a message, with the interim ones ahead of it
MAX_FRAMING_BYTES_PER_BODY_BYTE = 8  # bytes round one byte of a body that a chunked message may take at most
MAX_BODY_BYTES = 65536  # the longest body
MIN_READ_SPACE_BYTES = 4096  # room kept for one read
MAX_BODY_COPIES = 3  # times that a long body is held at most: in the buffer, by itself, with its head again
MAX_LINES_PARSED_AT_ONCE = (
    32  # lines in one read, from which on it may hold many messages and is parsed by pieces ...
)
PARSED_PIECE_BYTES = 512  # ... of so many bytes
MIN_SOCKET_TIMEOUT_S = 0.001  # seconds; none would make the socket not wait at all
READ_RETRY_TIMEOUT_S = 2.0  # seconds for which a read that finds no memory is tried again
WRITE_TIMEOUT_S = 10.0  # how long a peer may take to accept what is left of an answer
MAX_DISCARDED_BYTES = 1 << 20  # bytes that are thrown away behind the end of our sending, at most


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


class MalformedMessageError(Exception):
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

    def __init__(self, max_connections: int, long_body_bytes: int):
        self.max_connections, self.connection_count, self.closers, self.capacity_freed = (
            max_connections,
            0,
            [],
            Event(),
        )
        self.long_body_bytes = long_body_bytes  # bytes that are left

    def acquire(self, spare_count: int = 0) -> bool:
        while self.connection_count + spare_count >= self.max_connections:
            if not any(close() for close in self.closers):
                return False
        self.connection_count += 1
        return True

    def release(self):
        self.connection_count -= 1
        self.capacity_freed.set()


class Connection:
    """`on_half_close` is called once, when our side has ended and the other is waited for; `on_close` once,
    when the descriptor is free again.
    """

    def __init__(
        self,
        sock,
        reads_responses: bool,
        on_close=lambda connection: None,
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: ConnectionBudget | None = None,
        allows_close_delimited: bool = False,
        on_half_close=lambda connection: None,
        on_written=lambda connection: None,
    ):
        """`allows_close_delimited`: whether the end of the stream may end a response without a length or
        chunks.

        `on_written` is called each time when all that the socket did not take at once has been written.
        """
        self.on_written = on_written
        self.sock, self.reads_responses, self.on_close, self.max_body_bytes = (
            sock,
            reads_responses,
            on_close,
            max_body_bytes,
        )
        self.on_half_close = on_half_close
        self.budget, self.claimed_bytes = budget, 0  # bytes of the room for long bodies ...
        self.message_claim_bytes = 0  # ... and those for the message that is coming
        self.parser = (httptools.HttpResponseParser if reads_responses else httptools.HttpRequestParser)(self)
        self.buffer = bytearray(MIN_READ_SPACE_BYTES)
        self.view = memoryview(self.buffer)
        self.body_end = 0  # bytes of the body so far, at the buffer's start
        self.framing_bytes = 0  # bytes of the message so far that are no body, about
        self.body_bytes = 0  # bytes of its body so far
        self.is_head_complete = False  # whether its head is whole: what comes as a header then is a trailer
        self.allows_close_delimited, self.is_close_delimited = (
            allows_close_delimited,
            False,
        )  # ... and whether the message is such a one
        self.input_end = 0  # where in the buffer ends what has come
        self.input_at_first_chunk = None  # what a read brought, from before the size of its first chunk on
        self.partial_line = b""  # what has come of a line of framing, over several reads
        self.chunk_bytes = None  # bytes that a read brought of the chunk that is open
        self.has_surplus_input = False  # whether more came than the answer that was waited for
        self.discards_input = False  # whether what comes is thrown away, unread, until the other side ends
        self.mid_message = False  # whether a message has begun and is not whole
        self.message = Message()
        self.messages = []  # messages that have come whole and were not taken yet
        self.unparsed = b""  # requests that were read and not parsed yet, for their reader may pause
        self.parse_error = None
        self.unsent = b""  # what the socket did not take at once
        self.writer = None  # the greenlet that writes it
        self.ends_after_write = False  # whether to half-close once all is written
        self.half_closed = False  # whether our sending has ended
        self.discarded_bytes = 0  # bytes that came since and were thrown away
        self.closed = False
        self.is_parsing = False
        self.write_failed = False  # whether the other side took no more of what was written
        self.last_active_at = 0.0  # when it became idle, for its owner

    def receive(self, wait: float | None) -> bool:
        """Waits for bytes and parses them; false at the end of the stream. Raises what the socket raises.

        The end may make a message whole.
        """
        if self.closed:
            return False
        if self.discards_input:
            self.sock.settimeout(wait)
            count = self.sock.recv_into(DISCARD_BUFFER)
            self.discarded_bytes += count
            if self.discarded_bytes > len(DISCARD_BUFFER):
                # Who sends without a pause must not hold up everyone else; but one that sent much and went
                # is read to its end at once, before an attempt of its begins.
                gevent.sleep(0)
            return bool(count) and not (self.half_closed and self.discarded_bytes > MAX_DISCARDED_BYTES)
        self.resize_buffer()
        count = self.take_unparsed() or self.read_into(self.view[self.body_end :], wait)
        if not count and self.mid_message and self.is_close_delimited:
            self.on_message_complete()  # an orderly end; a reset has raised, and is none
        if not count or self.discards_input:
            return bool(count)
        count = self.defer_input(count)
        self.framing_bytes += count
        self.input_end = self.body_end + count
        self.is_parsing = True
        try:
            self.parser.feed_data(self.view[self.body_end : self.input_end])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not (
                self.reads_responses and self.messages
            ):  # what follows a whole answer is no fault of its own
                raise self.parse_error or MalformedMessageError(400, f"no HTTP: {error}") from None
            self.has_surplus_input = True
        finally:
            self.is_parsing = False
            self.release_parser()
        if self.mid_message and self.message.headers.get(FRAMING_HEADERS[1]):
            self.check_chunk_size()
        self.input_at_first_chunk = None
        if self.framing_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes:
            # Counted to the end of the message: trailers and chunks of nothing come without end, too.
            raise MalformedMessageError(431, f"a head of over {MAX_HEAD_BYTES} bytes")
        return True

    def read_into(self, view, wait: float | None) -> int:
        """Reads once there are bytes; again after a pause, while the system has no memory for it."""
        due = monotonic() + (READ_RETRY_TIMEOUT_S if wait is None else min(wait, READ_RETRY_TIMEOUT_S))
        while True:
            self.sock.settimeout(wait)  # a greenlet that writes may have set another one meanwhile
            try:
                return self.sock.recv_into(view)
            except OSError as error:
                if not is_transient(error) or monotonic() >= due:
                    raise
            gevent.sleep(RETRY_PAUSE_S)

    def take_unparsed(self) -> int:
        """Moves the next piece of what was read before to where a read would put it; gives its length."""
        piece, self.unparsed = self.unparsed[:PARSED_PIECE_BYTES], self.unparsed[PARSED_PIECE_BYTES:]
        self.view[self.body_end : self.body_end + len(piece)] = piece
        return len(piece)

    def defer_input(self, count: int) -> int:
        """Puts off all but the first piece of a read that may hold many requests; gives how much is left.

        The parser makes messages of all that it is given, and a message takes many times its bytes.
        """
        end = self.body_end + count
        if (
            self.reads_responses
            or count <= PARSED_PIECE_BYTES
            or self.buffer.count(b"\n", self.body_end, end) <= MAX_LINES_PARSED_AT_ONCE
        ):
            return count
        self.unparsed = bytes(self.view[self.body_end + PARSED_PIECE_BYTES : end])
        return PARSED_PIECE_BYTES

    def resize_buffer(self):
        """Grows the buffer where it is nearly full, and gives up what a long body needed."""
        size = len(self.buffer)
        if size - self.body_end < MIN_READ_SPACE_BYTES:
            size += max(MIN_READ_SPACE_BYTES, size)
        elif not self.mid_message and size > MIN_READ_SPACE_BYTES:
            size = MIN_READ_SPACE_BYTES
        if size != len(self.buffer):
            self.view.release()
            kept = self.buffer[: self.body_end]
            self.buffer = bytearray(size)
            self.buffer[: self.body_end] = kept
            self.view = memoryview(self.buffer)

    # What the parser finds

    def on_message_begin(self):
        if self.reads_responses and self.messages:
            raise self.record_error(502, "more than the answer")
        self.message, self.body_end, self.mid_message, self.is_head_complete = Message(), 0, True, False
        self.is_close_delimited = False
        self.message_claim_bytes, self.partial_line, self.chunk_bytes = 0, b"", None
        if self.all_messages_handled():
            self.release_body_memory()

    def all_messages_handled(self) -> bool:
        """Whether nothing that came is needed any longer."""
        return not self.messages

    def on_url(self, part: bytes):
        self.message.path += part

    def on_header(self, name: bytes, value: bytes):
        if self.is_head_complete:
            return  # a trailer must not stand in for a header that has decided already
        name, headers = name.lower(), self.message.headers
        # The parser leaves blanks behind a value. A tab behind a coding stays: the parser doesn't take it for
        # that coding then, and the message would be framed in two ways.
        value = value.rstrip(b" " if name in FRAMING_HEADERS else b" \t")
        # As a list, a repeated one fits no form that holds one value, and no one takes the first or the last.
        headers[name] = headers[name] + b", " + value if name in headers else value

    def on_headers_complete(self):
        message, headers, self.is_head_complete = self.message, self.message.headers, True
        if self.reads_responses:
            message.status = self.parser.get_status_code()
        else:
            message.method = self.parser.get_method()
        if self.parser.get_http_version() != "1.1":
            raise self.record_error(505, "not HTTP/1.1")
        if self.parser.should_upgrade():
            raise self.record_error(400, "asks for another protocol")
        if any(AMBIGUOUS_FRAMING.match(name) and name not in FRAMING_HEADERS for name in headers):
            raise self.record_error(400, "a header that may frame the message")
        length, coding = (headers.get(name) for name in FRAMING_HEADERS)
        if coding is not None and coding.lower() != b"chunked":
            raise self.record_error(400, "a transfer coding other than chunked")
        if self.reads_responses and coding is length is None and message.status not in BODILESS_STATUSES:
            if not self.allows_close_delimited:
                raise self.record_error(502, "an answer whose end can't be told")
            self.is_close_delimited = True
        self.check_size(int(length or 0))

    def on_body(self, part: bytes):
        end = self.body_end + len(part)
        self.body_bytes += len(part)
        self.framing_bytes -= len(part)
        if self.chunk_bytes is not None:
            self.chunk_bytes += len(part)
        self.check_size(end)
        # Behind the place where the parser reads: what stood there is parsed already.
        self.view[self.body_end : end] = part
        self.body_end = end

    def on_chunk_header(self):
        self.chunk_bytes = 0
        if self.input_at_first_chunk is None:
            self.input_at_first_chunk = bytes(self.view[self.body_end : self.input_end])

    def on_chunk_complete(self):
        self.chunk_bytes = None

    def check_chunk_size(self):
        """Refuses a chunk that says it is too long, like a length that says so: its sender may be waiting.

        The parser keeps the size to itself, but tells when a chunk has begun and which bytes are of it; the
        size stands in the line ahead of these.
        """
        if self.input_at_first_chunk is not None and self.chunk_bytes is not None:
            text = (
                self.partial_line
                + self.input_at_first_chunk[: len(self.input_at_first_chunk) - self.chunk_bytes]
            )
            sized = CHUNK_SIZE_LINE.fullmatch(text, text.rfind(b"\n", 0, -1) + 1)  # no match: a trailer
            if sized:
                self.check_size(self.body_end + int(sized[1], 16) - self.chunk_bytes)
        if self.chunk_bytes is None:
            text = self.partial_line + bytes(self.view[self.body_end : self.input_end])
            self.partial_line = text[text.rfind(b"\n") + 1 :]
        else:
            self.partial_line, self.chunk_bytes = b"", 0

    def check_size(self, size: int):
        if size > self.max_body_bytes:
            raise self.record_error(413, f"a body of over {self.max_body_bytes} bytes")
        more = MAX_BODY_COPIES * size - self.message_claim_bytes
        if self.budget and size > MIN_READ_SPACE_BYTES and more > 0:
            if more > self.budget.long_body_bytes:
                raise self.record_error(503, "no memory for so long a body")
            self.budget.long_body_bytes -= more
            self.message_claim_bytes += more
            self.claimed_bytes += more

    def release_body_memory(self):
        if self.claimed_bytes:
            self.budget.long_body_bytes += self.claimed_bytes
            self.claimed_bytes = self.message_claim_bytes = 0

    def record_error(self, status: int, words: str) -> MalformedMessageError:
        self.parse_error = MalformedMessageError(
            status, words
        )  # the parser puts an error of its own round it
        return self.parse_error

    def on_message_complete(self):
        message, self.mid_message = self.message, False
        if not 100 <= message.status < 200:
            self.framing_bytes = self.body_bytes = 0
        message.keep_alive = not self.is_close_delimited and self.parser.should_keep_alive()
        message.body = bytes(self.view[: self.body_end])
        self.body_end = 0
        if not (self.reads_responses and 100 <= message.status < 200):
            self.messages.append(message)

    def take_lines(self) -> list[bytes]:
        """Takes the whole lines out of a body that is still coming, and moves the rest down."""
        end = self.buffer.rfind(b"\n", 0, self.body_end) + 1
        text, rest = bytes(self.view[:end]), self.body_end - end
        self.view[:rest] = bytes(self.view[end : self.body_end])
        self.body_end = rest
        return text.split(b"\n")[:-1]

    # Writing

    def write(self, data: bytes, is_last: bool = False):
        """Writes at once what the socket takes; the rest goes out in a greenlet of its own, in order.

        After the last of it the connection is half-closed, and from now on nothing more is read or written.
        """
        if self.ends_after_write:
            return
        self.ends_after_write = is_last
        self.discards_input |= is_last
        if not self.writer:
            try:
                data = data[os.write(self.sock.fileno(), data) :]
            except OSError as error:
                if not (isinstance(error, BlockingIOError) or is_transient(error)):
                    self.write_failed = True
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
            self.write_failed = True
            return self.close()
        finally:
            self.writer = None
        if self.ends_after_write:
            self.half_close()
        else:
            self.on_written(self)

    def write_all(self, data: bytes):
        """Writes it as the peer takes it. Raises TimeoutError where that takes over WRITE_TIMEOUT_S."""
        rest, due = memoryview(data), monotonic() + WRITE_TIMEOUT_S
        while rest:
            self.sock.settimeout(max(MIN_SOCKET_TIMEOUT_S, due - monotonic()))
            try:
                rest = rest[self.sock.send(rest) :]
            except OSError as error:
                if not is_transient(error) or monotonic() >= due:
                    raise
                gevent.sleep(RETRY_PAUSE_S)

    def half_close(self):
        """Ends our sending, the one way to close on a peer that may still send.

        What comes after it is neither parsed nor taken: it is thrown away until the other side ends, or
        `MAX_DISCARDED_BYTES` bytes have come, or the owner closes. A close over unread bytes would reset the
        connection and take with it what was written last.
        """
        if self.half_closed or self.closed:
            return
        self.half_closed = self.ends_after_write = self.discards_input = True
        self.discarded_bytes = 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close()
        self.on_half_close(self)

    def has_unread_input(self) -> bool:
        """Whether bytes, or the other side's end, have come that nobody has read."""
        return bool(self.unparsed) or self.has_event(select.POLLIN)

    def peer_ended(self) -> bool:
        """Whether the other side has closed or reset, though nobody may have read that yet."""
        return self.has_event(select.POLLRDHUP)  # with bytes unread before it, too

    def has_event(self, event: int) -> bool:
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
            while self.discarded_bytes <= MAX_DISCARDED_BYTES and (
                count := self.sock.recv_into(DISCARD_BUFFER)
            ):
                self.discarded_bytes += count
        except OSError:
            pass
