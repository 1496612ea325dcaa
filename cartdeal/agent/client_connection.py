"""A client's connection: what was read on it, which of its requests is handled, and its time limits.

An unidentified client, one without a valid request so far, gets little time; an identified one may stay idle
for a while. A client in the middle of a request is read as long as bytes keep coming. Requests may be
pipelined; while many are unanswered, no more are read. The module must never answer a request or choose which
connection ends: the front does.
"""

import fcntl
import select
import sys
import termios
from enum import StrEnum
from time import monotonic

import httptools
from gevent.event import Event

from cartdeal.agent.connection import Connection, is_ready
from cartdeal.agent.message import ErrorAnswer, MalformedMessageError, Message, UnreadableHeadError
from cartdeal.agent.request_parser import REQUEST_HEADERS, parse_timeout
from cartdeal.agent.stalls import StallDetector

FIRST_BYTE_TIMEOUT_S = 1.5  # for an unidentified client, from connecting to its first byte
READ_PAUSE_TIMEOUT_S = 2.0  # the longest pause in the middle of a request
REQUEST_READ_TIMEOUT_S = 6.0  # for a whole request, unless its client states a longer X-Timeout
IDLE_TIMEOUT_S = 5.0  # longest pause between two requests of an identified client
LINGER_TIMEOUT_S = 0.5  # how long input is discarded after a half-close
# Reading from a connection pauses while this many of its requests, or this much memory of them, is queued.
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = 32 * 1024
UNSEEN_END_BYTES = 32 * 1024  # half of Linux's first receive window; the end behind so much may find no room
UNSEEN_END_GRACE_S = 0.05  # after the last sign of a client; no attempt may begin 0.1 s after its close


class EndReason(StrEnum):
    """Why a client's connection ended."""

    PEER_CLOSED = "by_peer"  # the client closed it, or asked for the close
    REFUSED = "refused"
    TIMED_OUT = "overdue"
    CAPACITY = "for_room"
    SHUTDOWN = "agent_ends"
    AGENT_FAULT = "fault"


class ClientConnection(Connection):
    """A client's connection. While it `awaits_answer`, `request_number` is the request being handled.

    Durations are in seconds, and times are monotonic seconds.
    """

    retained_headers = REQUEST_HEADERS

    def __init__(self, sock, on_close, budget, on_half_close, on_written, stalls):
        super().__init__(
            sock,
            reads_responses=False,
            on_close=on_close,
            budget=budget,
            on_half_close=on_half_close,
            on_written=on_written,
        )
        self.stalls: StallDetector = stalls
        self.request_number, self.awaits_answer, self.keep_alive, self.is_identified = 0, False, True, False
        self.handled_message: Message | None = None  # the message of the request being handled
        # The last answer; it ends the connection once all requests before it are answered.
        self.refusal: ErrorAnswer | None = None
        # The latest time at which the connection was accepted, began a request (if identified), got an
        # answer, or began to be refused or half-closed.
        self.last_active_at = monotonic()
        self.last_read_at = self.last_active_at
        self.message_began_at = self.last_active_at  # when the first byte of the current message was read
        self.read_timeout = REQUEST_READ_TIMEOUT_S  # seconds; for the whole current message
        self.unread_since = None  # time since which input may be unread; None if all was read
        self.message_dequeued = Event()  # set when a request is taken from `messages`
        self.has_read_close_request = False  # a request with `Connection: close` was read
        self.peer_has_ended = False  # whether the client closed or reset the connection
        self.end_reason = EndReason.PEER_CLOSED

    def receive(self, timeout_s: float | None) -> bool:
        """Also keeps track of when input arrived and whether more is unread."""
        is_open = super().receive(timeout_s)
        self.last_read_at = monotonic()
        if self.unread_since is None:
            self.unread_since = self.last_read_at if self.unparsed else None
        elif not self.has_unread_input():
            self.unread_since = None
        return is_open

    def record_unread_since(self, since: float | None = None):
        """If there is unread input, records that it may have come at `since` or later; the default is now."""
        if self.unread_since is None and self.has_unread_input():
            self.unread_since = monotonic() if since is None else since

    def on_message_begin(self):
        """Starts the time limit of the request."""
        super().on_message_begin()
        self.message_began_at, self.read_timeout = monotonic(), REQUEST_READ_TIMEOUT_S
        if self.is_identified:  # the time of an unidentified client runs from the accept, whatever it sends
            self.last_active_at = self.message_began_at

    def on_headers_complete(self):
        """Extends the time limit to a longer X-Timeout, and confirms `Expect: 100-continue`."""
        super().on_headers_complete()
        stated_timeout_s = parse_timeout(self.message.headers)
        self.read_timeout = max(REQUEST_READ_TIMEOUT_S, stated_timeout_s or 0.0)
        if self.message.headers.get(b"expect", b"").lower() == b"100-continue" and not self.awaits_answer:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self):
        """Sets the time from which the request's timeout runs."""
        super().on_message_complete()
        came_at = self.stalls.earliest_arrival(monotonic())
        self.messages[-1].came_at = came_at if self.unread_since is None else min(came_at, self.unread_since)
        self.has_read_close_request = not self.messages[-1].keep_alive

    def may_begin_message(self, position: int, end: int) -> bool:
        """Refuses what follows a request with `Connection: close`; the parser refuses all of it alike."""
        if not self.has_read_close_request:
            return True
        if begins_request(self.view[position:end]):
            raise MalformedMessageError(400, "a request behind one with Connection: close")
        raise UnreadableHeadError(400, "no HTTP behind a request with Connection: close")

    def has_unread_input_behind_message(self) -> bool:
        """Whether input that is not parsed yet may show that the length of the only queued request is wrong.

        Behind other requests or the beginning of the next one it is not: that one's head was found.
        """
        is_next_unknown = len(self.messages) == 1 and not self.mid_message and not self.discards_input
        if not is_next_unknown or self.closed:
            return False
        # If the poll fails, the request is not held back: no read may follow.
        return bool(self.unparsed) or is_ready(self.sock, select.POLLIN, if_unknown=False)

    def may_have_ended_unseen(self) -> bool:
        """Whether the client may have closed the connection for a while without a sign of it.

        While the queue is full, input stays unread. Behind enough of it the end of the stream can't arrive:
        it waits at the client's machine, with the input that finds no room. An answer to a client that has
        closed is a sign, because its machine then resets the connection.
        """
        if not self.has_full_queue() or monotonic() < self.last_active_at + UNSEEN_END_GRACE_S:
            return False
        return unread_bytes(self.sock) >= UNSEEN_END_BYTES

    def take_message(self) -> Message:
        """Takes the next queued message; its memory is returned by `finish_message`."""
        self.handled_message = self.messages.pop(0)
        self.message_dequeued.set()
        return self.handled_message

    def finish_message(self):
        """Returns the memory of the message being handled, once it is answered."""
        if self.handled_message:
            self.release_message(self.handled_message)
            self.handled_message = None

    def drop_messages(self) -> int:
        """Drops the queued messages; returns their number."""
        count = len(self.messages)
        for message in self.messages:
            self.release_message(message)
        self.messages.clear()
        return count

    def has_full_queue(self) -> bool:
        """Whether so many requests are queued that reading pauses."""
        if len(self.messages) >= MAX_PIPELINED_REQUESTS:
            return True
        return sum(message.memory_bytes for message in self.messages) >= MAX_PIPELINED_BYTES

    def all_messages_handled(self) -> bool:
        """Whether no request is queued or awaits its answer."""
        return not (self.awaits_answer or self.messages)

    @property
    def is_lingering(self) -> bool:
        """Whether it is half-closed, or will be when the answer to a bad request is written."""
        return self.half_closed or (self.ends_after_write and self.refusal is not None)

    @property
    def is_sending_request(self) -> bool:
        """Whether a part of a request has come, and the connection has nothing else to do."""
        return self.mid_message and self.all_messages_handled() and not (self.refusal or self.is_lingering)

    def is_between_requests(self) -> bool:
        """Whether no request is being read, handled or answered."""
        return self.all_messages_handled() and not (
            self.mid_message or self.writer or self.refusal or self.unparsed
        )

    def is_overdue(self, now: float) -> bool:
        """Whether the time limit of the connection's current state has passed."""
        if not self.all_messages_handled() or (self.writer and not self.is_lingering):
            return False
        if self.is_lingering:
            return now > self.last_active_at + LINGER_TIMEOUT_S
        if self.mid_message and now > self.message_began_at + self.read_timeout:
            return True
        if self.mid_message:
            ends_at = self.last_read_at + READ_PAUSE_TIMEOUT_S
        else:
            ends_at = self.last_active_at + (IDLE_TIMEOUT_S if self.is_identified else FIRST_BYTE_TIMEOUT_S)
        # Unread input counts as input that arrived in time.
        return now > ends_at and not self.has_unread_input()


def unread_bytes(sock) -> int:
    """The bytes that have arrived on the socket and are not read; 0 if the system doesn't tell."""
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def begins_request(data) -> bool:
    """Whether the data may be the beginning of a request."""
    try:
        httptools.HttpRequestParser(object()).feed_data(data)
    except httptools.HttpParserError:
        return False
    except httptools.HttpParserUpgrade:
        pass
    return True
