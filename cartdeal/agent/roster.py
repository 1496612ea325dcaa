"""The server list, as the list service tells it: one watch, and whole lists when asked for.

Every call ends in news for the reducer or in a failed watch. It must never ask again by itself: when to ask
is the balancer's to say.
"""

import logging
from time import monotonic

import gevent
import msgspec
from gevent import socket

from cartdeal.agent.configuration import Fault, Roll, address
from cartdeal.agent.connection import Connection, Malformed

PATH = "/registry/instances"
LIST_ROOM = 1 << 20     # the longest list, or line of one
ANSWER = 3.0        # how long a call may take to its first line
SILENCE = 5.0       # a watch has a line every two seconds; TCP does not tell that a service is gone

UNUSABLE = (OSError, Malformed, Fault, msgspec.MsgspecError, UnicodeError)     # what may be wrong with a call

log = logging.getLogger("cartdeal.roster")


class Roster:
    def __init__(self, station, feed, version):
        self.address, self.feed, self.version = station.list_service, feed, version     # version: a call
        self.watching = None
        self.former = None      # the watch at the address before, until the one at the new address stands
        self.anew = False       # whether the next watch is the first at its address

    def move(self, address):
        if self.former:
            self.former.kill(block=False)
        self.address, self.former, self.watching, self.anew = address, self.watching, None, True

    # Effects

    def watch(self, on: bool):
        if not on and self.watching:
            self.watching.kill(block=False)
        elif on and not self.watching:
            self.watching = gevent.spawn(self.run_watch)

    def fetch_list(self):
        gevent.spawn(self.run_fetch)

    # Greenlets

    def run_watch(self):
        words = "ended"
        try:
            self.follow()
        except gevent.GreenletExit:
            words = ""
        except TimeoutError:
            words = "silent"
        except UNUSABLE as trouble:
            words = str(trouble)
        except Exception:
            log.exception("watch died")
        watch = gevent.getcurrent()
        if self.former is watch:
            self.former = None      # its service was left: no failure of the one in its place
        elif self.watching is watch:
            self.watching = None
            if words:
                log.warning("watch failed", extra={"words": words})
                self.feed("watch_failed")

    def run_fetch(self):
        connection = None
        try:
            connection = self.call(PATH)
            until = monotonic() + ANSWER
            while not connection.whole:
                if not connection.receive(max(0.001, until - monotonic())):
                    raise Malformed(400, "ended early")
            if connection.whole[0].status != 200:
                raise Malformed(400, f"status {connection.whole[0].status}")
            self.feed("listed", roll(connection.whole[0].body))
        except UNUSABLE as trouble:
            log.warning("list not had", extra={"words": str(trouble)})
            self.feed("watch_failed")
        finally:
            if connection:
                connection.close()

    def follow(self):
        # Another service may number its lists otherwise: the first call there asks for all there is.
        connection = self.call(f"{PATH}?watch=1&after={0 if self.anew else self.version()}")
        try:
            wait = ANSWER
            while connection.receive(wait):
                if connection.message.status and connection.message.status != 200:
                    raise Malformed(400, f"status {connection.message.status}")
                for text in connection.lines():
                    if self.watching is gevent.getcurrent():
                        self.stands()
                    if text.strip():
                        self.feed("listed", roll(text))
                    elif wait == ANSWER:
                        self.feed("watch_stands")
                    wait = SILENCE
                if connection.whole:
                    return
        finally:
            connection.close()

    def stands(self):
        self.anew = False
        if self.former:
            self.former.kill(block=False)

    def call(self, path: str) -> Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = Connection(sock, answers=True, body_room=LIST_ROOM)
        try:
            sock.settimeout(ANSWER)
            sock.connect(self.address)
            connection.push(b"GET %b HTTP/1.1\r\nHost: registry\r\n\r\n" % path.encode())
        except BaseException:
            connection.close()
            raise
        return connection


def roll(text: bytes) -> Roll:
    found = msgspec.json.decode(text, type=Roll)
    for line in found.lines:
        if line.state != "left":
            address("endpoint", line.address)
    return found
