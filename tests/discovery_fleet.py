"""Many agents' watches on one simulated clock: real discovery clients, and one discovery service for all.

Nothing here waits for real time: a socket's wait is an event of the clock, and the clock moves on when all
greenlets rest.
"""

import json
import os
from types import SimpleNamespace

import gevent
from gevent.event import Event

from cartdeal.agent import discovery
from cartdeal.agent.reducer import Reducer
from cartdeal.simulated_time import SimulatedClock
from tests.scene import SETTINGS, agent_config

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
EMPTY_LINE_EVERY = 2.0
WALL_MS = 2_000_000  # the time of day when the fleet starts


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


def list_line(version, changes=0):
    """A whole list of one server, of which the version tells when it was made; each change starts it anew."""
    server = {"uid": "s0", "endpoint": "127.0.0.1:1", "az": "a", "boot_ms": WALL_MS + 1000 * changes}
    return json.dumps({"rev": version, "all": True, "targets": [server]}).encode() + b"\n"


class SimulatedSocket:
    """One call: what the service sends arrives at once, and a wait for more ends on the fleet's clock."""

    def __init__(self, fleet):
        self.fleet, self.wait, self.closed = fleet, None, False
        self.incoming, self.arrived = [], Event()

    def settimeout(self, wait):
        self.wait = wait

    def connect(self, address):
        self.fleet.service.call(self)

    def fileno(self):
        return self.fleet.sink

    def bring(self, *pieces):
        if not self.closed:
            self.incoming.extend(pieces)
            self.arrived.set()

    def recv_into(self, view):
        if not self.incoming and self.wait:
            self.arrived.clear()
            self.fleet.clock.after(self.wait, self.arrived.set)
            self.arrived.wait()
        if not self.incoming:
            raise TimeoutError if self.wait else BlockingIOError
        piece = self.incoming.pop(0)
        if isinstance(piece, Exception):
            raise piece
        view[: len(piece)] = piece
        return len(piece)

    def close(self):
        self.closed = True


class DiscoveryQueue:
    """Works through calls in turn, `call_seconds` for each.

    A call that would wait for longer than `longest_wait` is refused after `refusal_delay`; before
    `refuses_until` every call is refused at once.
    """

    def __init__(self, clock, call_seconds, longest_wait, refusal_delay):
        self.clock, self.call_seconds = clock, call_seconds
        self.longest_wait, self.refusal_delay = longest_wait, refusal_delay
        self.free_at, self.refuses_until, self.calls = 0.0, 0.0, []
        self.open, self.changes = [], 0

    def call(self, connection):
        now = self.clock.now
        self.calls.append(now)
        begins_at = max(now, self.free_at)
        if now < self.refuses_until:
            connection.bring(REFUSAL)
        elif begins_at - now > self.longest_wait:
            self.clock.after(self.refusal_delay, connection.bring, REFUSAL)
        else:
            self.free_at = begins_at + self.call_seconds
            self.clock.at(self.free_at, self.answer, connection)

    def answer(self, connection):
        if connection.closed:
            return
        connection.bring(HEAD, chunk(list_line(int(1000 * self.clock.now), self.changes)))
        self.open.append(connection)
        self.clock.after(EMPTY_LINE_EVERY, self.beat, connection)

    def beat(self, connection):
        if connection in self.open:
            connection.bring(chunk(b"\n"))
            self.clock.after(EMPTY_LINE_EVERY, self.beat, connection)

    def change(self):
        """A server starts anew, and all watches end in place of telling it."""
        self.changes += 1
        self.end_watches(b"")

    def end_watches(self, *pieces):
        """All watches end with these pieces; with none, they fall silent."""
        ended, self.open = self.open, []
        for connection in ended:
            connection.bring(*pieces)


class Agent:
    """A real discovery client, reducer and balancer; `lists` has when each list was in."""

    def __init__(self, fleet, number, folder, **settings):
        self.fleet, self.lists, self.failed = fleet, [], []
        known = {"rev": 3, "all": True, "targets": [{"uid": "s0", "endpoint": "127.0.0.1:1", "az": "a"}]}
        seed = f"{number * 0x9E3779B97F4A7C15 % 2**64:x}"
        config = agent_config(folder, seed=seed, known=known, settings=SETTINGS | settings)
        self.reducer = Reducer(config, fleet.clock.now, WALL_MS / 1e3)
        self.discovery = discovery.DiscoveryClient(config, self.dispatch, lambda: self.reducer.version)
        self.carry_out()

    def dispatch(self, event, *arguments):
        if event == "listed":
            self.lists.append(self.fleet.clock.now)
        elif event == "watch_failed":
            self.failed.append(self.fleet.clock.now)
        self.reducer.now = self.fleet.clock.now
        getattr(self.reducer, event)(*arguments)
        self.carry_out()

    def carry_out(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for verb, *arguments in effects:
            if verb == "set_timer":
                self.fleet.clock.at(arguments[1], self.dispatch, "woken", arguments[0])
            elif verb == "watch":
                self.discovery.watch(*arguments)

    def move(self):
        """As after SIGHUP, with a new address for the discovery service."""
        self.discovery.move(("127.0.0.1", 2))
        self.dispatch("discovery_moved")

    def next_list(self, after):
        return min((at for at in self.lists if at > after), default=float("inf"))


class WatchingFleet:
    def __init__(self, folder, monkeypatch, agents, call_seconds, longest_wait, refusal_delay, **settings):
        self.clock = SimulatedClock()
        self.clock.now = 100.0
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.service = DiscoveryQueue(self.clock, call_seconds, longest_wait, refusal_delay)
        monkeypatch.setattr(discovery, "monotonic", lambda: self.clock.now)
        simulated = SimpleNamespace(socket=lambda *kind: SimulatedSocket(self), AF_INET=0, SOCK_STREAM=0)
        monkeypatch.setattr(discovery, "socket", simulated)
        self.agents = [Agent(self, number, folder, **settings) for number in range(1, agents + 1)]

    def play(self, until):
        gevent.idle()
        while self.clock.scheduled and self.clock.scheduled[0][0] <= until:
            self.clock.run(self.clock.scheduled[0][0])
            gevent.idle()
        self.clock.now = until

    def longest_time_to_a_list(self, since):
        """Seconds from then until the last agent has a list that was made after it."""
        return max(agent.next_list(since) for agent in self.agents) - since

    def close(self):
        for agent in self.agents:
            for watch in (agent.discovery.current_watch, agent.discovery.previous_watch):
                if watch:
                    watch.kill()
        os.close(self.sink)
