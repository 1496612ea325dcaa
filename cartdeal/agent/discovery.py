"""The client of the discovery service: one watch on the server list, and whole lists when asked for.

Every call ends in an event for the reducer: a list, or a failed watch. The client must never call again by
itself: when to call is the balancer's to say.
"""

import logging
from itertools import count
from time import monotonic

import gevent
import msgspec
from gevent import socket

from cartdeal.agent.configuration import ConfigurationError, ServerList, parse_address
from cartdeal.agent.connection import Connection, MalformedMessageError
from cartdeal.agent.system_errors import is_wait_timeout

SERVER_LIST_PATH = "/registry/instances"
MAX_LIST_BYTES = 4 << 20  # bytes of the longest list, or line of one: 3,200 entries with long names, indented
# TCP does not tell that a service is gone. A watch has a whole line every 2 s, and what a silent one misses
# counts as told 6 s after it fell silent. From its last line on, two calls have to fit into these: 3.0 of
# silence, 0.75 for the longest first pause, 1.0 for a call that is accepted and not answered, 0.75 for the
# pause after it, and half a second is left for the second call. Under 3.0 a line that is late by half its
# time would cost a call in calm weather; under 1.0 a service with 200 callers at once would work for some
# that have hung up. Only that one call is short: after it CALL_TIMEOUT holds, and the pauses grow.
# From the moment a service that was away can be reached again 6 s are left, too: CALL_TIMEOUT for a call that
# just missed it, 2.0 for the longest pause after it (CALL_TO_CALL of the schedule), 1.0 for the next answer.
SILENCE_TIMEOUT_S = 3.0  # seconds from one whole line to the next, the first one from the head
CALL_TIMEOUT_S = 3.0  # seconds that a call may take to the head of its answer, a list to its end
SHORT_CALL_TIMEOUT_S = 1.0  # the same for the call after a watch that fell silent, or after a move

READS_PER_TURN = 16  # reads of a watch before others have their turn

SILENCE_REASON = "silent"  # why a watch failed, where nothing came in time

CALL_ERRORS = (
    OSError,
    MalformedMessageError,
    ConfigurationError,
    msgspec.MsgspecError,
    UnicodeError,
)  # what may be wrong with a call

log = logging.getLogger("cartdeal.discovery")


class DiscoveryClient:
    """Runs the watch and single calls in greenlets of their own.

    While the service moves there may be two watches: the one at the address before goes on until the one at
    the new address has brought a list.
    """

    def __init__(self, config, dispatch, version):
        """`dispatch` takes an event and its arguments; `version()` is that of the list that the agent has."""
        self.address = config.discovery
        self.dispatch = dispatch
        self.version = version
        self.current_watch = None
        self.previous_watch = None  # at the address before
        self.first_at_address = False  # whether the next watch is the first at its address
        self.next_call_is_short = False
        self.lists_told = 0  # by watches

    def move(self, address):
        """The service has another address from now on."""
        heard, unheard = self.current_watch, self.previous_watch
        if unheard and self.first_at_address:  # nothing came from the current one: the one before still tells
            heard, unheard = unheard, heard
        if unheard:
            unheard.kill(block=False)
        self.address = address
        self.previous_watch = heard
        self.current_watch = None
        self.first_at_address = True
        # What the new service has to tell counts 4 s later: a second call has to fit in, as after silence.
        self.next_call_is_short = True

    # Effects

    def watch(self, on: bool):
        if not on and self.current_watch:
            self.current_watch.kill(block=False)
        elif on and not self.current_watch:
            self.current_watch = gevent.spawn(self.run_watch)

    def fetch_servers(self):
        gevent.spawn(self.run_fetch)

    # Greenlets

    def run_watch(self):
        reason = "ended"
        try:
            self.follow()
        except gevent.GreenletExit:
            reason = ""
        except CALL_ERRORS as trouble:
            reason = str(trouble) or repr(trouble)  # no reason would mean that it was let go
            if isinstance(trouble, OSError) and is_wait_timeout(trouble):
                reason = SILENCE_REASON
        except Exception:
            log.exception("watch died")
        watch = gevent.getcurrent()
        if self.previous_watch is watch:
            self.previous_watch = None  # its service was left: no failure of the one in its place
        elif self.current_watch is watch:
            self.current_watch = None
            if reason:
                log.warning("watch failed", extra={"reason": reason})
                self.dispatch("on_watch_failed", reason == SILENCE_REASON)

    def run_fetch(self):
        connection, due = None, monotonic() + CALL_TIMEOUT_S
        called_at = self.address, self.lists_told
        try:
            connection = self.call(SERVER_LIST_PATH, CALL_TIMEOUT_S)
            while not connection.messages:
                if not receive_until(connection, due):
                    raise MalformedMessageError(400, "ended early")
            if connection.messages[0].status != 200:
                raise MalformedMessageError(400, f"status {connection.messages[0].status}")
            found = decode_list(connection.messages[0].body)
            # A watch has told what is newer, or another service has: this list would take it back.
            if called_at == (self.address, self.lists_told):
                self.dispatch("on_server_list", found, False)
        except CALL_ERRORS as trouble:
            log.warning("list not had", extra={"reason": str(trouble)})
            if not self.current_watch:  # else a watch that stands would be told as failed
                self.dispatch("on_watch_failed")
        finally:
            if connection:
                connection.close()

    def follow(self):
        """Calls for a watch and tells what comes on it, to its end. Raises what is wrong with it."""
        timeout = SHORT_CALL_TIMEOUT_S if self.next_call_is_short else CALL_TIMEOUT_S
        self.next_call_is_short = False
        due, watch, has_stood = monotonic() + timeout, gevent.getcurrent(), False
        # Another service may number its lists otherwise: the first call there asks for all there is.
        after = 0 if self.first_at_address else self.version()
        stream = ListStream(self.call(f"{SERVER_LIST_PATH}?watch=1&after={after}", timeout), due)
        try:
            for reads in count(1):
                if not stream.receive():
                    return
                if not reads % READS_PER_TURN:
                    gevent.sleep(0)  # a read of what is there does not yield
                for text in stream.whole_texts():
                    # Lines of one that was let go may be read before its end: they would go on top of the
                    # other service's list, and leave its version to ask after.
                    if watch not in (self.current_watch, self.previous_watch):
                        return
                    self.tell(text, watch is self.current_watch, has_stood)
                    has_stood = True
                if stream.ended:
                    return
        except TimeoutError as trouble:
            if self.current_watch is watch and is_wait_timeout(trouble):
                self.next_call_is_short = has_stood
            raise
        finally:
            stream.connection.close()

    def tell(self, text: bytearray, is_current: bool, has_stood: bool):
        """One whole list of a watch, or an empty line."""
        found = decode_list(text) if text.strip() else None
        if is_current and (found or not self.first_at_address):  # an empty line brings nothing to go by
            self.let_previous_go()
        if found:
            self.lists_told += 1
            # The previous one's say nothing of the watch in its place, which may have failed.
            self.dispatch("on_server_list", found, is_current)
        elif is_current and not has_stood:
            self.dispatch("on_watch_established")
        else:
            self.dispatch("on_watch_heartbeat")

    def let_previous_go(self):
        self.first_at_address = False
        if self.previous_watch:
            self.previous_watch.kill(block=False)
            self.previous_watch = None

    def call(self, path: str, timeout: float) -> Connection:
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
    """The answer to a call for a watch, put together to whole lists; they may come indented, over many lines.

    Nothing but a whole list or an empty line puts off when the next is due.
    """

    def __init__(self, connection: Connection, due: float):
        """`due`: when the head of the answer has to be whole."""
        self.connection = connection
        self.due = due
        self.has_head = False
        self.part = bytearray()  # of the list that is coming

    @property
    def ended(self) -> bool:
        return bool(self.connection.messages)

    def receive(self) -> bool:
        """Waits for more; false at the end of the stream. Raises TimeoutError where nothing is in time."""
        if not receive_until(self.connection, self.due):
            return False
        status = self.connection.message.status
        if status and status != 200:
            raise MalformedMessageError(400, f"status {status}")
        if status and not self.has_head:
            self.has_head = True
            self.due = monotonic() + SILENCE_TIMEOUT_S
        return True

    def whole_texts(self):
        """The lists and empty lines that came, each as one text."""
        for line in self.arrived_lines():
            self.part += line
            if line.strip() and not self.is_whole(line):
                continue
            yield self.part
            self.part = bytearray()
            self.due = monotonic() + SILENCE_TIMEOUT_S

    def arrived_lines(self) -> list[bytes]:
        """Takes the whole lines that came; of an answer that has ended, all that was not taken before."""
        if self.connection.messages:
            return self.connection.messages[0].body.splitlines()
        return self.connection.take_lines()

    def is_whole(self, last_line: bytes) -> bool:
        """Whether the part is a list to its end, or can't become one.

        Only the last line is looked at as long as it can't be the end: a list may have thousands.
        """
        if len(self.part) > MAX_LIST_BYTES:
            raise MalformedMessageError(413, f"a list of over {MAX_LIST_BYTES} bytes")
        if not last_line.rstrip().endswith(b"}"):
            return False
        try:
            msgspec.json.decode(self.part, type=msgspec.Raw)
        except msgspec.DecodeError as trouble:
            return "truncated" not in str(trouble)
        return True


def receive_until(connection: Connection, due: float) -> bool:
    """Waits for bytes until `due`, and after it takes only what is there. False at the end of the stream.

    So an agent that runs late still finds its lines, and bytes that come one by one put nothing off.
    """
    while (wait := due - monotonic()) > 0:
        try:
            return connection.receive(wait)
        except TimeoutError as trouble:
            if not is_wait_timeout(trouble):
                raise
            # Else the loop's own clock may lag, and its timers come early then.
    try:
        return connection.receive(0.0)
    except BlockingIOError:
        raise TimeoutError from None


def decode_list(text: bytes | bytearray) -> ServerList:
    """A list as the service writes it. Raises Fault for what is no address, MsgspecError for another form."""
    found = msgspec.json.decode(text, type=ServerList)
    for entry in found.entries:
        if entry.state != "left":
            parse_address("endpoint", entry.address)
    return found
