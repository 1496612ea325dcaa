"""A connection: its socket, its receive buffer and its HTTP parser.

Only this module decides whether bytes form a valid message, for requests and responses alike. The buffer
grows as needed, and the bytes of a body are moved down over their framing, so that the body is contiguous in
the buffer. The module must never interpret a message, continue to parse after invalid bytes, or send anything
on its own.
"""

import os
import re
import select
from time import monotonic

import gevent
import httptools
from gevent import socket

from cartdeal.agent.connection_budget import ConnectionBudget, MemoryClaim
from cartdeal.agent.message import ErrorAnswer, MalformedMessageError, Message, UnreadableHeadError
from cartdeal.agent.system_errors import RETRY_PAUSE_S, is_transient

MAX_HEAD_BYTES = 16384  # the head of a message, including interim responses before it
MAX_FRAMING_BYTES_PER_BODY_BYTE = 8  # for chunk headers, extensions and trailers
MAX_BODY_BYTES = 65536
MIN_READ_SPACE_BYTES = 4096  # free space in the buffer before each read
MESSAGE_OVERHEAD_BYTES = 1024  # memory of a message beside its head's and its body's bytes
HEAD_COPIES = 2  # in memory: on its own, and encoded for the other side
BODY_COPIES = 3  # in memory: in the buffer, on its own, and behind its head
# A read with more lines than this may hold many requests and is parsed in pieces of PARSED_PIECE_BYTES.
MAX_LINES_PARSED_AT_ONCE = 32
PARSED_PIECE_BYTES = 512
MIN_SOCKET_TIMEOUT_S = 0.001  # a timeout of 0 would make the socket non-blocking
READ_RETRY_TIMEOUT_S = 2.0  # how long a read that fails for lack of memory is retried
WRITE_TIMEOUT_S = 10.0  # how long a peer may take to accept the rest of a message
MAX_SURPLUS_BYTES = 4096  # of each read, kept of the input behind a response
MAX_DISCARDED_BYTES = 1 << 20  # input that is discarded after a half-close
POLL_PAUSE_S = 0.0001  # after which the event loop polls all sockets; it doesn't after a sleep of 0


DISCARD_BUFFER = bytearray(65536)  # receives input that is not parsed

END_OF_HEAD = b"\r\n\r\n"
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
BODILESS_STATUSES = (*range(100, 200), 204, 304)
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:;.*)?\r\n")
# Names that some HTTP implementations treat as framing headers and others don't.
AMBIGUOUS_FRAMING = re.compile(rb"(?:content|transfer)[^a-z]*(?:length|encoding)")


def is_ready(sock, event: int, if_unknown: bool) -> bool:
    """Whether poll reports the event, or an error, for the socket; `if_unknown` if the poll itself fails."""
    try:
        poller = select.poll()
        poller.register(sock, event)
        return bool(poller.poll(0))
    except OSError:
        return if_unknown


class Connection:
    """A connection that parses HTTP requests or responses and writes the other kind.

    `on_half_close` is called once, when this side has ended and the peer's end is awaited; `on_close` once,
    when the descriptor is free again.
    """

    # Lower-case names of the headers that are kept, beside those that may frame a message; None for all.
    retained_headers: frozenset[bytes] | None = None

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
        """`reads_responses`: parse responses (true) or requests (false).

        `allows_close_delimited`: accept a response with neither a length nor chunks, whose body ends with an
        orderly close. `on_written` is called each time the unsent rest of a write has been written.
        """
        self.on_written = on_written
        self.sock, self.reads_responses, self.on_close, self.max_body_bytes = (
            sock,
            reads_responses,
            on_close,
            max_body_bytes,
        )
        self.on_half_close = on_half_close
        self.memory = MemoryClaim(budget)
        self.head_bytes = 0  # of the current message's path and kept headers
        self.parser = (httptools.HttpResponseParser if reads_responses else httptools.HttpRequestParser)(self)
        self.buffer = bytearray(MIN_READ_SPACE_BYTES)
        self.view = memoryview(self.buffer)
        self.body_end = 0  # end of the current body, which starts at 0 in the buffer
        self.framing_bytes = 0  # bytes of the current message outside its body, approximately
        self.body_bytes = 0  # bytes of the current body that have been parsed
        self.is_head_complete = False  # headers that follow a complete head are trailers
        self.content_length = None  # of the current message; None if its body has no stated length
        # is_close_delimited: whether the current response ends with the stream.
        self.allows_close_delimited, self.is_close_delimited = allows_close_delimited, False
        self.input_end = 0  # end of the received input in the buffer
        self.input_at_first_chunk = None  # the last read's input when its first chunk header was parsed
        self.partial_line = b""  # an incomplete line of framing, which may span several reads
        self.chunk_bytes = None  # bytes of the open chunk in the last read; None if no chunk is open
        self.has_surplus_input = False  # whether more than the expected response was received
        self.surplus = b""  # the beginning of the input behind it, unless it ends with a chunk
        self.discards_input = False  # whether input is discarded unparsed until the peer ends
        self.mid_message = False  # whether a message has begun and is not complete
        self.message = Message()
        self.messages = []  # complete messages that the owner has not taken yet
        self.unparsed = b""  # requests that were read but not parsed; empty once input is discarded
        self.parse_failure: ErrorAnswer | None = None  # why a callback of the parser refused the input
        self.unsent = b""  # written data that the socket has not accepted yet
        self.writer = None  # the greenlet that writes `unsent`
        self.ends_after_write = False  # whether to half-close when everything is written
        self.half_closed = False  # whether this side has ended its stream
        self.discarded_bytes = 0
        self.closed = False
        self.is_parsing = False
        self.write_failed = False  # whether the peer stopped accepting data
        self.last_active_at = 0.0  # monotonic seconds; maintained by the owner

    def receive(self, timeout_s: float | None) -> bool:
        """Waits for input and parses it; false at the end of the stream, which may complete a message.

        Raises OSError from the socket, and MalformedMessageError.
        """
        if self.closed:
            return False
        if self.discards_input:
            self.sock.settimeout(timeout_s)
            count = self.sock.recv_into(DISCARD_BUFFER)
            self.discarded_bytes += count
            if self.discarded_bytes > len(DISCARD_BUFFER):
                # A peer that sends without pause must not starve other greenlets. Below this amount there is
                # no yield: the end of a client that sent much and closed is read before an attempt for it
                # begins.
                gevent.sleep(0)
            return bool(count) and not (self.half_closed and self.discarded_bytes > MAX_DISCARDED_BYTES)
        self.resize_buffer()
        count = self.take_unparsed() or self.read_into(self.view[self.body_end :], timeout_s)
        if not count and self.mid_message and self.is_close_delimited:
            self.on_message_complete()  # only an orderly end gets here: a reset raises
        if not count or self.discards_input:
            return bool(count)
        count = self.defer_input(count)
        self.framing_bytes += count
        self.input_end = self.body_end + count
        self.is_parsing = True
        try:
            self.parse(self.body_end, self.input_end)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not (self.reads_responses and self.messages):  # surplus bytes don't invalidate a response
                raise self.unparseable_input_error(error) from None
            self.has_surplus_input = True
        finally:
            self.is_parsing = False
            self.release_buffers()
        if self.mid_message and self.message.headers.get(FRAMING_HEADERS[1]):
            self.check_chunk_size()
        self.input_at_first_chunk = None
        if self.mid_message and not self.is_head_complete:
            self.hold_message(0)
        if self.framing_bytes > MAX_HEAD_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes:
            # Framing is counted up to the end of the message, since trailers and tiny chunks could go on
            # forever.
            raise MalformedMessageError(431, f"a head of over {MAX_HEAD_BYTES} bytes")
        return True

    def pause_if_costly(self):
        """Lets other connections be served after a read of tiny chunks, which take long to parse.

        A read of input that is already there does not yield.
        """
        if self.mid_message and self.framing_bytes > max(self.body_bytes, MIN_READ_SPACE_BYTES):
            gevent.sleep(POLL_PAUSE_S)

    def parse(self, position: int, end: int):
        """Parses the input between two positions of the buffer, each message up to its exact end."""
        while position < end and (self.mid_message or self.may_begin_message(position, end)):
            piece_end = self.end_of_piece(position, end)
            self.parser.feed_data(self.view[position:piece_end])
            position = piece_end

    def end_of_piece(self, position: int, end: int) -> int:
        """The end of the input that belongs to the current message for sure.

        The rest of a head is parsed line by line: its end may have begun in the read before.
        """
        if not self.mid_message:
            head_end = self.buffer.find(END_OF_HEAD, position, end)
            return end if head_end < 0 else head_end + len(END_OF_HEAD)
        if not self.is_head_complete:
            return self.buffer.find(b"\n", position, end) + 1 or end
        if self.content_length is None or self.content_length <= self.body_bytes:
            return end
        return min(end, position + self.content_length - self.body_bytes)

    def may_begin_message(self, position: int, end: int) -> bool:
        """Whether the input between two positions is to be parsed as the beginning of a message.

        Behind a response that its owner has not taken yet it is not, and is kept as surplus.
        """
        if not (self.reads_responses and self.messages):
            return True
        self.surplus += self.view[position : min(end, position + MAX_SURPLUS_BYTES)]
        self.has_surplus_input = True
        return False

    def unparseable_input_error(self, error: Exception) -> MalformedMessageError:
        """The error for input that the parser, or one of its callbacks, has refused."""
        if self.parse_failure:
            return MalformedMessageError(*self.parse_failure)
        is_in_message = self.mid_message and self.is_head_complete
        return (MalformedMessageError if is_in_message else UnreadableHeadError)(400, f"no HTTP: {error}")

    def read_into(self, view, timeout_s: float | None) -> int:
        """Reads when there is input; retries after a pause while the system lacks memory for the read."""
        deadline = monotonic() + (
            READ_RETRY_TIMEOUT_S if timeout_s is None else min(timeout_s, READ_RETRY_TIMEOUT_S)
        )
        while True:
            self.sock.settimeout(timeout_s)  # the greenlet that writes may have changed it
            try:
                return self.sock.recv_into(view)
            except OSError as error:
                if not is_transient(error) or monotonic() >= deadline:
                    raise
            gevent.sleep(RETRY_PAUSE_S)

    def take_unparsed(self) -> int:
        """Copies the next piece of deferred input to where a read would put it; returns its length."""
        if not self.unparsed:
            return 0
        piece, self.unparsed = self.unparsed[:PARSED_PIECE_BYTES], self.unparsed[PARSED_PIECE_BYTES:]
        self.memory.change(-len(piece))
        self.view[self.body_end : self.body_end + len(piece)] = piece
        return len(piece)

    def defer_input(self, count: int) -> int:
        """Defers all but the first piece of a read that may hold many requests; returns the bytes to parse.

        The parser turns all of its input into messages, and a message takes many times its size in memory.
        """
        end = self.body_end + count
        if (
            self.reads_responses
            or count <= PARSED_PIECE_BYTES
            or self.buffer.count(b"\n", self.body_end, end) <= MAX_LINES_PARSED_AT_ONCE
        ):
            return count
        self.unparsed = bytes(self.view[self.body_end + PARSED_PIECE_BYTES : end])
        self.memory.change(len(self.unparsed))
        return PARSED_PIECE_BYTES

    def resize_buffer(self):
        """Grows the buffer if it is nearly full; shrinks it again after a long body."""
        size = len(self.buffer)
        if size - self.body_end < MIN_READ_SPACE_BYTES:
            size += max(MIN_READ_SPACE_BYTES, size // 2)
        elif not self.mid_message and size > MIN_READ_SPACE_BYTES:
            size = MIN_READ_SPACE_BYTES
        if size != len(self.buffer):
            self.view.release()
            body = self.buffer[: self.body_end]
            self.buffer = bytearray(size)
            self.buffer[: self.body_end] = body
            self.view = memoryview(self.buffer)

    # Callbacks of the parser

    def on_message_begin(self):
        """Resets the state for a new message."""
        if self.reads_responses and self.messages:
            raise self.record_error(502, "more than the answer")
        self.message, self.body_end, self.mid_message, self.is_head_complete = Message(), 0, True, False
        self.is_close_delimited, self.content_length = False, None
        self.partial_line, self.chunk_bytes, self.head_bytes = b"", None, 0
        self.hold_message(0)

    def on_url(self, part: bytes):
        """Appends a part of the request's path."""
        self.message.path += part
        self.head_bytes += len(part)

    def on_header(self, name: bytes, value: bytes):
        """Stores a header under its lower-case name; the values of a repeated one are joined by commas."""
        if self.is_head_complete:
            return  # a trailer must not replace a header that has already been acted on
        name, headers = name.lower(), self.message.headers
        if AMBIGUOUS_FRAMING.match(name) and name not in FRAMING_HEADERS:
            # Refused before its head ends: there is no bound on how many such names a head has.
            raise self.record_error(400, "a header that may frame the message")
        if not self.is_retained_header(name):
            return
        # The parser leaves trailing whitespace in a value. A tab after a transfer coding is kept, because the
        # parser doesn't recognise that coding, and stripping it would frame the message differently here.
        value = value.rstrip(b" " if name in FRAMING_HEADERS else b" \t")
        # The joined values of a repeated header match no single-value format, so that neither the first nor
        # the last one is used.
        headers[name] = headers[name] + b", " + value if name in headers else value
        self.head_bytes += len(name) + len(value)

    def is_retained_header(self, name: bytes) -> bool:
        """Whether a header is kept: its reader may need it, or it frames the message."""
        return self.retained_headers is None or name in self.retained_headers or name in FRAMING_HEADERS

    def on_headers_complete(self):
        """Checks the head and how it frames the body."""
        message, headers, self.is_head_complete = self.message, self.message.headers, True
        if self.reads_responses:
            message.status = self.parser.get_status_code()
        else:
            message.method = self.parser.get_method()
        if self.parser.get_http_version() != "1.1":
            raise self.record_error(505, "not HTTP/1.1")
        if self.parser.should_upgrade():
            raise self.record_error(400, "asks for another protocol")
        length, coding = (headers.get(name) for name in FRAMING_HEADERS)
        if coding is not None and coding.lower() != b"chunked":
            raise self.record_error(400, "a transfer coding other than chunked")
        if self.reads_responses and coding is length is None and message.status not in BODILESS_STATUSES:
            if not self.allows_close_delimited:
                raise self.record_error(502, "an answer with neither a length nor chunks")
            self.is_close_delimited = True
        self.content_length = None if length is None else int(length)
        self.check_size(self.content_length or 0)

    def on_body(self, part: bytes):
        """Moves a part of the body behind the parts before it."""
        end = self.body_end + len(part)
        self.body_bytes += len(part)
        self.framing_bytes -= len(part)
        if self.chunk_bytes is not None:
            self.chunk_bytes += len(part)
        self.check_size(end)
        # The target lies before the parser's position: the bytes there have already been parsed.
        self.view[self.body_end : end] = part
        self.body_end = end

    def on_chunk_header(self):
        """Starts a chunk."""
        self.chunk_bytes = 0
        if self.input_at_first_chunk is None:
            self.input_at_first_chunk = bytes(self.view[self.body_end : self.input_end])

    def on_chunk_complete(self):
        """Ends a chunk."""
        self.chunk_bytes = None

    def check_chunk_size(self):
        """Rejects a chunk whose stated size is too long before its bytes come: its sender may be waiting.

        The parser doesn't report the size, but it reports the start of a chunk and its bytes; the size is
        read from the line before them.
        """
        if self.input_at_first_chunk is not None and self.chunk_bytes is not None:
            text = (
                self.partial_line
                + self.input_at_first_chunk[: len(self.input_at_first_chunk) - self.chunk_bytes]
            )
            match = CHUNK_SIZE_LINE.fullmatch(text, text.rfind(b"\n", 0, -1) + 1)  # None for a trailer
            if match:
                self.check_size(self.body_end + int(match[1], 16) - self.chunk_bytes)
        if self.chunk_bytes is None:
            text = self.partial_line + bytes(self.view[self.body_end : self.input_end])
            self.partial_line = text[text.rfind(b"\n") + 1 :]
        else:
            self.partial_line, self.chunk_bytes = b"", 0

    def check_size(self, size: int):
        """Checks the body's size against the limit, and claims memory for the message."""
        if size > self.max_body_bytes:
            raise self.record_error(413, f"a body of over {self.max_body_bytes} bytes")
        self.hold_message(size)

    def hold_message(self, body_bytes: int):
        """Claims the memory of the current message, as far as it is known.

        Raises MalformedMessageError if the budget has too little left.
        """
        memory_bytes = MESSAGE_OVERHEAD_BYTES + HEAD_COPIES * self.head_bytes + BODY_COPIES * body_bytes
        growth = memory_bytes - self.message.memory_bytes
        if growth <= 0:
            return
        if not self.memory.grow(growth):
            raise self.record_error(503, "no memory for so long a message")
        self.message.memory_bytes = memory_bytes

    def release_message(self, message: Message):
        """Returns the memory of a message that is handled."""
        self.memory.change(-message.memory_bytes)
        message.memory_bytes = 0

    def record_error(self, status: int, reason: str) -> MalformedMessageError:
        """Returns an error to be raised in a callback, and stores its status and reason."""
        # The parser raises an error of its own when a callback raises: the reason is kept here.
        self.parse_failure = ErrorAnswer(status, reason)
        return MalformedMessageError(status, reason)

    def on_message_complete(self):
        """Adds the message to `messages`, unless it is an interim response."""
        message, self.mid_message = self.message, False
        if not 100 <= message.status < 200:
            self.framing_bytes = self.body_bytes = 0
        message.keep_alive = not self.is_close_delimited and self.parser.should_keep_alive()
        message.body = bytes(self.view[: self.body_end])
        self.body_end = 0
        if self.reads_responses and 100 <= message.status < 200:
            self.release_message(message)
        else:
            self.messages.append(message)

    def take_lines(self) -> list[bytes]:
        """Removes and returns the complete lines of a body that is still being received."""
        end = self.buffer.rfind(b"\n", 0, self.body_end) + 1
        text, rest = bytes(self.view[:end]), self.body_end - end
        self.view[:rest] = bytes(self.view[end : self.body_end])
        self.body_end = rest
        return text.split(b"\n")[:-1]

    # Writing

    def write(self, data: bytes, is_last: bool = False):
        """Writes what the socket accepts at once; a greenlet writes the rest, in order.

        `is_last`: half-close when all is written. From this call on, nothing more is parsed or written.
        """
        if self.ends_after_write:
            return
        self.ends_after_write = is_last
        if is_last:
            self.discard_input()
        if not self.writer:
            try:
                data = data[os.write(self.sock.fileno(), data) :]
            except OSError as error:
                if not (isinstance(error, BlockingIOError) or is_transient(error)):
                    self.write_failed = True
                    return self.close()
        self.unsent += data
        self.memory.change(len(data))
        if self.unsent and not self.writer:
            self.writer = gevent.spawn(self.write_rest)
        elif self.ends_after_write and not self.unsent:
            self.half_close()

    def write_rest(self):
        """Writes `unsent` as the peer accepts it; runs in a greenlet of its own."""
        try:
            while self.unsent:
                data, self.unsent = self.unsent, b""
                self.write_all(data)
                self.memory.change(-len(data))
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
        """Writes all of the data as the peer accepts it. Raises TimeoutError after WRITE_TIMEOUT_S."""
        rest, deadline = memoryview(data), monotonic() + WRITE_TIMEOUT_S
        while rest:
            self.sock.settimeout(max(MIN_SOCKET_TIMEOUT_S, deadline - monotonic()))
            try:
                rest = rest[self.sock.send(rest) :]
            except OSError as error:
                if not is_transient(error) or monotonic() >= deadline:
                    raise
                gevent.sleep(RETRY_PAUSE_S)

    def half_close(self):
        """Shuts down this side's sending; the only safe way to close while the peer may still send.

        Input after this is discarded unparsed until the peer ends, MAX_DISCARDED_BYTES have come, or the
        owner closes the connection. Closing a socket with unread input would reset the connection, and the
        peer could lose the last data written to it.
        """
        if self.half_closed or self.closed:
            return
        self.half_closed = self.ends_after_write = True
        self.discard_input()
        self.discarded_bytes = 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close()
        self.on_half_close(self)

    def discard_input(self):
        """Discards all input from now on, also what was read and is not parsed yet."""
        self.memory.change(-len(self.unparsed))
        self.discards_input, self.unparsed = True, b""

    def has_unread_input(self) -> bool:
        """Whether input, or the peer's end, has been received but not read."""
        return bool(self.unparsed) or self.has_event(select.POLLIN)

    def peer_ended(self) -> bool:
        """Whether the peer has closed or reset the connection, even with unread input before that."""
        return self.has_event(select.POLLRDHUP)

    def has_event(self, event: int) -> bool:
        """Whether poll reports the event, or an error, now; true for a closed connection.

        If the poll fails, input is assumed to be there, and the peer not to have ended.
        """
        return self.closed or is_ready(self.sock, event, if_unknown=event == select.POLLIN)

    def release_buffers(self):
        """Frees what a closed connection holds, and breaks its reference cycle with its parser.

        Otherwise they would stay in memory until a garbage collection, or for as long as something refers to
        the connection, while the budget counts their memory as free.
        """
        if self.closed and not self.is_parsing:
            self.parser = None
            self.buffer, self.unsent, self.surplus = bytearray(), b"", b""
            self.view = memoryview(self.buffer)
            self.message, self.input_at_first_chunk, self.body_end = Message(), None, 0

    def close(self):
        """Closes the socket and returns what was claimed from the budget."""
        if not self.closed:
            self.closed = True
            self.discard_input()
            self.release_buffers()
            self.memory.release()
            if self.half_closed:
                self.discard_unread()
            self.sock.close()
            self.on_close(self)
            self.messages.clear()

    def discard_unread(self):
        """Reads pending input without waiting: a close with unread input would reset the connection."""
        self.sock.settimeout(0.0)
        try:
            while self.discarded_bytes <= MAX_DISCARDED_BYTES and (
                count := self.sock.recv_into(DISCARD_BUFFER)
            ):
                self.discarded_bytes += count
        except OSError:
            pass
