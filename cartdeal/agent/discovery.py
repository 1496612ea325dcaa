"""The server list, as the discovery service tells it: one watch, and whole lists when asked for.

Every call ends in news for the reducer or in a failed watch. It must never ask again by itself: when to ask
is the balancer's to say.
"""

import logging
from time import monotonic

import gevent
import msgspec
from gevent import socket

from cartdeal.agent.configuration import Fault, ServerList, address
from cartdeal.agent.connection import Connection, Malformed

PATH = "/registry/instances"
LIST_LIMIT = 1 << 20  # the longest list, or line of one
ANSWER = 3.0  # how long a call may take to the head of its answer, a list to its end
# TCP does not tell that a service is gone. A watch has a whole line every 2 s, and what a silent one misses
# counts as told 6 s after it fell silent. From its last line on, two calls have to fit into these: 3.0 of
# silence, 0.75 for the balancer's longest first pause, 1.0 for a call that is accepted and not answered,
# 0.75 for the pause after it, and half a second is left for the second call. Under 3.0 a line that is late
# by half its time would cost a call in calm weather; under 1.0 a service with 200 callers at once would work
# for some that have hung up. Only that one call is short: after it ANSWER holds, and the pauses grow.
# From the moment a service that was away can be reached again 6 s are left, too: ANSWER for a call that just
# missed it, 2.0 for the longest pause after it (CALL_TO_CALL of the schedule), and 1.0 for the next answer.
SILENCE = 3.0  # from one whole line to the next, the first one from the head
HASTE = 1.0  # in place of ANSWER for the call after a watch that fell silent, or after a move

SILENT = "silent"  # why a watch failed, where nothing came in time

UNUSABLE = (OSError, Malformed, Fault, msgspec.MsgspecError, UnicodeError)  # what may be wrong with a call

log = logging.getLogger("cartdeal.discovery")


class DiscoveryClient:
    def __init__(self, config, dispatch, version):
        self.address, self.dispatch, self.version = config.discovery, dispatch, version  # version: a call
        self.watching = None
        self.former = None  # the watch at the address before, until the one at the new address stands
        self.anew = False  # whether the next watch is the first at its address
        self.hasty = False  # whether the next call follows a watch that stood and fell silent, or a move
        self.told = 0  # lists that watches have told

    def move(self, address):
        former, left = self.watching, self.former
        if left and self.anew:  # nothing came from the one that is left: the one before it still tells
            former, left = left, former
        if left:
            left.kill(block=False)
        self.address, self.former, self.watching = address, former, None
        # What the new service has to tell counts 4 s later: a second call has to fit in, as after silence.
        self.anew, self.hasty = True, True

    # Effects

    def watch(self, on: bool):
        if not on and self.watching:
            self.watching.kill(block=False)
        elif on and not self.watching:
            self.watching = gevent.spawn(self.run_watch)

    def fetch_servers(self):
        gevent.spawn(self.run_fetch)

    # Greenlets

    def run_watch(self):
        words = "ended"
        try:
            self.follow()
        except gevent.GreenletExit:
            words = ""
        except TimeoutError:
            words = SILENT
        except UNUSABLE as trouble:
            words = str(trouble) or repr(trouble)  # no words would mean that it was let go
        except Exception:
            log.exception("watch died")
        watch = gevent.getcurrent()
        if self.former is watch:
            self.former = None  # its service was left: no failure of the one in its place
        elif self.watching is watch:
            self.watching = None
            if words:
                log.warning("watch failed", extra={"reason": words})
                self.dispatch("watch_failed", words == SILENT)

    def run_fetch(self):
        connection, due, moment = None, monotonic() + ANSWER, (self.address, self.told)
        try:
            connection = self.call(PATH, ANSWER)
            while not connection.whole:
                if not hear(connection, due):
                    raise Malformed(400, "ended early")
            if connection.whole[0].status != 200:
                raise Malformed(400, f"status {connection.whole[0].status}")
            found = decode_list(connection.whole[0].body)
            # A watch has told what is newer, or another service has: this list would take it back.
            if moment == (self.address, self.told):
                self.dispatch("listed", found, False)
        except UNUSABLE as trouble:
            log.warning("list not had", extra={"reason": str(trouble)})
            if not self.watching:  # else a watch that stands would be told as failed
                self.dispatch("watch_failed")
        finally:
            if connection:
                connection.close()

    def follow(self):
        patience, self.hasty = HASTE if self.hasty else ANSWER, False
        headed, stood, part, due = False, False, bytearray(), monotonic() + patience
        watch = gevent.getcurrent()
        # Another service may number its lists otherwise: the first call there asks for all there is.
        connection = self.call(f"{PATH}?watch=1&after={0 if self.anew else self.version()}", patience)
        try:
            while hear(connection, due):
                status = connection.message.status
                if status and status != 200:
                    raise Malformed(400, f"status {status}")
                if status and not headed:
                    headed, due = True, monotonic() + SILENCE
                for text in arrived_lines(connection):
                    part += text
                    if text.strip() and not ended(part, text):
                        continue
                    # Lines of one that was let go may be read before its end: they would go on top of the
                    # other service's list, and leave its version to ask after.
                    if watch not in (self.watching, self.former):
                        return
                    found, current = decode_list(part) if part.strip() else None, watch is self.watching
                    if current and (found or not self.anew):  # an empty line brings nothing to go by
                        self.stands()
                    if found:
                        self.told += 1
                        # The former one's say nothing of the watch in its place, which may have failed.
                        self.dispatch("listed", found, current)
                    elif current and not stood:
                        self.dispatch("watch_stands")
                    stood, part, due = True, bytearray(), monotonic() + SILENCE
                if connection.whole:
                    return
        except TimeoutError:
            if self.watching is watch:
                self.hasty = stood
            raise
        finally:
            connection.close()

    def stands(self):
        self.anew = False
        if self.former:
            self.former.kill(block=False)
            self.former = None

    def call(self, path: str, patience: float) -> Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = Connection(sock, answers=True, body_limit=LIST_LIMIT)
        try:
            sock.settimeout(patience)
            sock.connect(self.address)
            connection.push(b"GET %b HTTP/1.1\r\nHost: registry\r\n\r\n" % path.encode())
        except BaseException:
            connection.close()
            raise
        return connection


def hear(connection: Connection, due: float) -> bool:
    """Waits for bytes until `due`, and after it takes only what is there. False at the end of the stream.

    So an agent that runs late still finds its lines, and bytes that come one by one put nothing off.
    """
    while (wait := due - monotonic()) > 0:
        try:
            return connection.receive(wait)
        except TimeoutError:
            pass  # the loop's own clock may lag, and its timers come early then
    try:
        return connection.receive(0.0)
    except BlockingIOError:
        raise TimeoutError from None


def arrived_lines(connection: Connection) -> list[bytes]:
    """Takes the whole lines that came; of an answer that has ended, all that was not taken before."""
    return connection.whole[0].body.splitlines() if connection.whole else connection.lines()


def ended(part: bytearray, last_line: bytes) -> bool:
    """Whether what came is a list to its end, or none: lists may come indented, over many lines.

    Only the last line is looked at as long as it can't be the end: a list may have thousands.
    """
    if len(part) > LIST_LIMIT:
        raise Malformed(413, f"a list of over {LIST_LIMIT} bytes")
    if not last_line.rstrip().endswith(b"}"):
        return False
    try:
        msgspec.json.decode(part, type=msgspec.Raw)
    except msgspec.DecodeError as trouble:
        return "truncated" not in str(trouble)
    return True


def decode_list(text: bytes) -> ServerList:
    found = msgspec.json.decode(text, type=ServerList)
    for line in found.entries:
        if line.state != "left":
            address("endpoint", line.address)
    return found
