"""The client of the discovery service: one watch on the server list, and complete lists on request.

Every call ends in an event for the reducer: a server list or a failed watch. The client never calls again by
itself; the balancer decides when to call.
"""

import logging
from itertools import count
from time import monotonic

import gevent
import msgspec
from gevent import socket

from cartdeal.agent.configuration import ConfigurationError, ServerList, parse_address
from cartdeal.agent.connection import Connection
from cartdeal.agent.message import MalformedMessageError
from cartdeal.agent.system_errors import is_wait_timeout

SERVER_LIST_PATH = "/registry/instances"
MAX_LIST_BYTES = 4 << 20  # of a list or one line of it; enough for 3,200 entries with long names, indented
# TCP does not report that a service is gone. A watch receives a complete line every 2 s, and the agent counts
# as informed of a change that a silent watch missed 6 s after the silence began. Two calls must fit into
# these 6 s, counted from the last line: 3.0 s of silence, 0.75 s for the longest first pause, 1.0 s for a
# call that is accepted and not answered, and 0.75 s for the pause after it leave half a second for the second
# call. With a silence timeout under 3.0 s, a line that is late by half its interval would cause an
# unnecessary call. With a short call timeout under 1.0 s, a service that 200 agents call at the same time
# would spend capacity on calls that have already timed out. Only that one call is short: after it
# CALL_TIMEOUT_S applies, and the pauses grow.
# When a service that was unreachable can be reached again, 6 s remain as well: CALL_TIMEOUT_S for a call that
# was made just before, 2.0 s for the longest pause after it (what MAX_CALL_INTERVAL_S in watch_schedule.py
# leaves after CALL_TIMEOUT_S), and 1.0 s for the next answer.
SILENCE_TIMEOUT_S = 3.0  # from one complete line to the next; for the first line, from the response head
CALL_TIMEOUT_S = 3.0  # until the head of a watch's response, or the end of a list's response
SHORT_CALL_TIMEOUT_S = 1.0  # the CALL_TIMEOUT_S of the first call after a silent watch or a move

READS_PER_TURN = 16  # reads of a watch before it yields to other greenlets

SILENCE_REASON = "silent"  # the logged reason of a watch that received nothing in time

# The ways in which a call may fail.
CALL_ERRORS = (OSError, MalformedMessageError, ConfigurationError, msgspec.MsgspecError, UnicodeError)

log = logging.getLogger("cartdeal.discovery")


class DiscoveryClient:
    """Runs the watch and single calls, each in its own greenlet.

    While the service moves there may be two watches: the one at the previous address continues until the one
    at the new address has received a list.
    """

    def __init__(self, config, dispatch, list_version):
        """`dispatch` takes an event and its arguments; `list_version()` returns the agent's list version."""
        self.address = config.discovery
        self.dispatch = dispatch
        self.list_version = list_version
        self.current_watch = None
        self.previous_watch = None  # at the previous address
        self.awaits_first_list_at_address = (
            False  # whether the address changed and no list has arrived from there
        )
        self.use_short_timeout = False
        self.lists_received = 0  # by the watches

    def move(self, address):
        """Use a new address of the service from now on."""
        watch_to_keep, watch_to_stop = self.current_watch, self.previous_watch
        if watch_to_stop and self.awaits_first_list_at_address:  # only the previous watch has received lists
            watch_to_keep, watch_to_stop = watch_to_stop, watch_to_keep
        if watch_to_stop:
            watch_to_stop.kill(block=False)
        self.address = address
        self.previous_watch = watch_to_keep
        self.current_watch = None
        self.awaits_first_list_at_address = True
        # The agent counts as informed of a change at the new service 4 s after the move: two calls must fit
        # into that time, as after a watch that fell silent.
        self.use_short_timeout = True

    # Effects

    def watch(self, is_wanted: bool):
        """Start the watch, or stop it if `is_wanted` is false."""
        if not is_wanted and self.current_watch:
            self.current_watch.kill(block=False)
        elif is_wanted and not self.current_watch:
            self.current_watch = gevent.spawn(self.run_watch)

    def fetch_servers(self):
        """Start a call for a complete list."""
        gevent.spawn(self.run_fetch)

    # Greenlets

    def run_watch(self):
        """Run one watch to its end and report its failure, unless it was stopped."""
        reason = "ended"
        try:
            self.run_call()
        except gevent.GreenletExit:
            reason = ""
        except CALL_ERRORS as error:
            reason = str(error) or repr(error)  # an empty reason means that the watch was stopped
            if isinstance(error, OSError) and is_wait_timeout(error):
                reason = SILENCE_REASON
        except Exception:
            log.exception("watch died")
        watch = gevent.getcurrent()
        if self.previous_watch is watch:
            # It watched the previous address: its end is no failure of the current watch.
            self.previous_watch = None
        elif self.current_watch is watch:
            self.current_watch = None
            if reason:
                log.warning("watch failed", extra={"reason": reason})
                self.dispatch("on_watch_failed", reason == SILENCE_REASON)

    def run_fetch(self):
        """Fetch one complete list and deliver it, or report the failure."""
        connection, deadline = None, monotonic() + CALL_TIMEOUT_S
        state_at_call = self.address, self.lists_received
        try:
            connection = self.call(SERVER_LIST_PATH, CALL_TIMEOUT_S)
            while not connection.messages:
                if not receive_until(connection, deadline):
                    raise MalformedMessageError(400, "ended early")
                connection.pause_if_costly()
            if connection.messages[0].status != 200:
                raise MalformedMessageError(400, f"status {connection.messages[0].status}")
            server_list = decode_list(connection.messages[0].body)
            # A watch or another service may have delivered a newer list, which this one would revert.
            if state_at_call == (self.address, self.lists_received):
                self.dispatch("on_server_list", server_list, False)
        except CALL_ERRORS as error:
            log.warning("list not had", extra={"reason": str(error)})
            if not self.current_watch:  # an established watch must not be reported as failed
                self.dispatch("on_watch_failed")
        finally:
            if connection:
                connection.close()

    def run_call(self):
        """Call for a watch and deliver its lists until it ends. Raises one of CALL_ERRORS."""
        timeout = SHORT_CALL_TIMEOUT_S if self.use_short_timeout else CALL_TIMEOUT_S
        self.use_short_timeout = False
        deadline, watch, is_established = monotonic() + timeout, gevent.getcurrent(), False
        # Another service may number its lists differently: the first call to it asks for the complete list.
        after_version = 0 if self.awaits_first_list_at_address else self.list_version()
        stream = ListStream(self.call(f"{SERVER_LIST_PATH}?watch=1&after={after_version}", timeout), deadline)
        try:
            for read_count in count(1):
                if not stream.receive():
                    return
                if not read_count % READS_PER_TURN:
                    gevent.sleep(0)  # a read of available bytes does not yield
                for list_or_empty_line in stream.lists_and_empty_lines():
                    # A stopped watch may still read lines before it ends. They would be applied to
                    # the list of the new service, and their version would be sent in the next call.
                    if watch not in (self.current_watch, self.previous_watch):
                        return
                    self.deliver_list(list_or_empty_line, watch is self.current_watch, is_established)
                    is_established = True
                if stream.has_ended:
                    return
        except TimeoutError as error:
            if self.current_watch is watch and is_wait_timeout(error):
                self.use_short_timeout = is_established
            raise
        finally:
            stream.connection.close()

    def deliver_list(self, text: bytearray, is_current: bool, is_established: bool):
        """Dispatch the event for one list of a watch, or for an empty line."""
        server_list = decode_list(text) if text.strip() else None
        # An empty line at a new address is no list, so the previous watch must continue.
        if is_current and (server_list or not self.awaits_first_list_at_address):
            self.stop_previous_watch()
        if server_list:
            self.lists_received += 1
            # A list of the previous watch says nothing about the current one, which may have failed.
            self.dispatch("on_server_list", server_list, is_current)
        elif is_current and not is_established:
            self.dispatch("on_watch_established")
        else:
            self.dispatch("on_watch_heartbeat")

    def stop_previous_watch(self):
        """Stop the watch at the previous address."""
        self.awaits_first_list_at_address = False
        if self.previous_watch:
            self.previous_watch.kill(block=False)
            self.previous_watch = None

    def call(self, path: str, timeout: float) -> Connection:
        """Connect and send a request within `timeout` seconds. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = Connection(sock, reads_responses=True, max_body_bytes=MAX_LIST_BYTES)
        try:
            sock.settimeout(timeout)
            sock.connect(self.address)
            connection.write(b"GET %b HTTP/1.1\r\nHost: registry\r\n\r\n" % path.encode())
        except BaseException:
            connection.close()
            raise
        return connection


class ListStream:
    """The response to a call for a watch, assembled into complete lists.

    A list may be indented over many lines. Only a complete list or an empty line extends the deadline.
    """

    def __init__(self, connection: Connection, deadline: float):
        """`deadline`: when the head of the response must be complete."""
        self.connection = connection
        self.deadline = deadline
        self.has_head = False
        self.partial_list = bytearray()  # the received part of the next list

    @property
    def has_ended(self) -> bool:
        """Whether the response is complete."""
        return bool(self.connection.messages)

    def receive(self) -> bool:
        """Wait for bytes; return false at the end of the stream. Raises TimeoutError after the deadline."""
        if not receive_until(self.connection, self.deadline):
            return False
        status = self.connection.message.status
        if status and status != 200:
            raise MalformedMessageError(400, f"status {status}")
        if status and not self.has_head:
            self.has_head = True
            self.deadline = monotonic() + SILENCE_TIMEOUT_S
        return True

    def lists_and_empty_lines(self):
        """Yield the received lists and empty lines, each as one text."""
        for line in self.take_lines():
            self.partial_list += line
            if line.strip() and not self.is_complete(line):
                continue
            yield self.partial_list
            self.partial_list = bytearray()
            self.deadline = monotonic() + SILENCE_TIMEOUT_S

    def take_lines(self) -> list[bytes]:
        """Take the complete lines received so far; of a complete response, all remaining lines."""
        if self.connection.messages:
            return self.connection.messages[0].body.splitlines()
        return self.connection.take_lines()

    def is_complete(self, last_line: bytes) -> bool:
        """Whether the partial list is complete, or can't become a list.

        It is parsed only if its last line can be the end, because a list may have thousands of lines.
        """
        if len(self.partial_list) > MAX_LIST_BYTES:
            raise MalformedMessageError(413, f"a list of over {MAX_LIST_BYTES} bytes")
        if not last_line.rstrip().endswith(b"}"):
            return False
        try:
            msgspec.json.decode(self.partial_list, type=msgspec.Raw)
        except msgspec.DecodeError as error:
            return "truncated" not in str(error)
        return True


def receive_until(connection: Connection, deadline: float) -> bool:
    """Wait for bytes until `deadline`; after it, take only available bytes. False at the end of the stream.

    An agent that runs late still reads the lines that arrived, and single bytes don't extend the deadline.
    """
    while (remaining := deadline - monotonic()) > 0:
        try:
            return connection.receive(remaining)
        except TimeoutError as error:
            if not is_wait_timeout(error):
                raise
            # Otherwise wait again: the clock of the event loop may lag, and then its timers fire early.
    try:
        return connection.receive(0.0)
    except BlockingIOError:
        raise TimeoutError from None


def decode_list(text: bytes | bytearray) -> ServerList:
    """Decode a server list. Raises ConfigurationError for an invalid address, or MsgspecError."""
    server_list = msgspec.json.decode(text, type=ServerList)
    for entry in server_list.entries:
        if entry.state != "left":
            parse_address("endpoint", entry.address)
    return server_list
