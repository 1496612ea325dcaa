"""The watches of many agents on one simulated clock: real discovery clients and one discovery service.

Nothing here waits for real time: a socket's wait is an event of the simulated clock, which advances when all
greenlets are idle.
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
EMPTY_LINE_INTERVAL_S = 2.0
WALL_MS = 2_000_000  # the wall clock time at the start of the fleet


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


def list_line(version, changes=0):
    """A complete list of one server, with the time as its version; the server restarts with each change."""
    server = {"uid": "s0", "endpoint": "127.0.0.1:1", "az": "a", "boot_ms": WALL_MS + 1000 * changes}
    return json.dumps({"rev": version, "all": True, "targets": [server]}).encode() + b"\n"


class SimulatedSocket:
    """One call. Sent data arrives at once, and a wait for more ends on the fleet's clock."""

    def __init__(self, fleet):
        self.fleet, self.timeout, self.closed = fleet, None, False
        self.incoming, self.data_arrived = [], Event()

    def settimeout(self, timeout):
        self.timeout = timeout

    def connect(self, address):
        self.fleet.service.call(self)

    def fileno(self):
        return self.fleet.sink

    def deliver(self, *pieces):
        if not self.closed:
            self.incoming.extend(pieces)
            self.data_arrived.set()

    def recv_into(self, view):
        if not self.incoming and self.timeout:
            self.data_arrived.clear()
            self.fleet.clock.after(self.timeout, self.data_arrived.set)
            self.data_arrived.wait()
        if not self.incoming:
            raise TimeoutError if self.timeout else BlockingIOError
        piece = self.incoming.pop(0)
        if isinstance(piece, Exception):
            # Without this the shared error would keep the frames of every call that it has ended.
            raise piece.with_traceback(None)
        view[: len(piece)] = piece
        return len(piece)

    def close(self):
        self.closed = True


class DiscoveryQueue:
    """A discovery service that answers calls one after the other, `call_seconds` for each.

    A call that would wait longer than `max_wait` is refused after `refusal_delay`. Before `refuses_until`
    every call is refused at once.
    """

    def __init__(self, clock, call_seconds, max_wait, refusal_delay):
        self.clock, self.call_seconds = clock, call_seconds
        self.max_wait, self.refusal_delay = max_wait, refusal_delay
        self.free_at, self.refuses_until, self.calls = 0.0, 0.0, []
        self.open_watches, self.changes = [], 0

    def call(self, connection):
        now = self.clock.now
        self.calls.append(now)
        start_at = max(now, self.free_at)
        if now < self.refuses_until:
            connection.deliver(REFUSAL)
        elif start_at - now > self.max_wait:
            self.clock.after(self.refusal_delay, connection.deliver, REFUSAL)
        else:
            self.free_at = start_at + self.call_seconds
            self.clock.at(self.free_at, self.answer, connection)

    def answer(self, connection):
        if connection.closed:
            return
        connection.deliver(HEAD, chunk(list_line(int(1000 * self.clock.now), self.changes)))
        self.open_watches.append(connection)
        self.clock.after(EMPTY_LINE_INTERVAL_S, self.send_empty_line, connection)

    def send_empty_line(self, connection):
        if connection in self.open_watches:
            connection.deliver(chunk(b"\n"))
            self.clock.after(EMPTY_LINE_INTERVAL_S, self.send_empty_line, connection)

    def change(self):
        """A server restarts, and all watches end instead of sending the change."""
        self.changes += 1
        self.end_watches(b"")

    def end_watches(self, *pieces):
        """All watches end with these pieces; without pieces they fall silent."""
        connections, self.open_watches = self.open_watches, []
        for connection in connections:
            connection.deliver(*pieces)


class Agent:
    """A real discovery client, reducer and balancer; `lists` holds the arrival time of each list."""

    def __init__(self, fleet, number, folder, **settings):
        self.fleet, self.lists, self.failure_times = fleet, [], []
        known = {"rev": 3, "all": True, "targets": [{"uid": "s0", "endpoint": "127.0.0.1:1", "az": "a"}]}
        seed = f"{number * 0x9E3779B97F4A7C15 % 2**64:x}"
        config = agent_config(folder, seed=seed, known=known, settings=SETTINGS | settings)
        self.reducer = Reducer(config, fleet.clock.now, WALL_MS / 1e3)
        self.discovery = discovery.DiscoveryClient(config, self.dispatch, lambda: self.reducer.list_version)
        self.run_effects()

    def dispatch(self, event, *arguments):
        if event == "on_server_list":
            self.lists.append(self.fleet.clock.now)
        elif event == "on_watch_failed":
            self.failure_times.append(self.fleet.clock.now)
        self.reducer.now = self.fleet.clock.now
        getattr(self.reducer, event)(*arguments)
        self.run_effects()

    def run_effects(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for effect, *arguments in effects:
            if effect == "set_timer":
                self.fleet.clock.at(arguments[1], self.dispatch, "on_timer", arguments[0])
            elif effect == "watch":
                self.discovery.watch(*arguments)

    def move(self):
        """Use a new address of the discovery service, as after SIGHUP."""
        self.discovery.move(("127.0.0.1", 2))
        self.dispatch("on_discovery_moved")

    def next_list(self, after):
        return min((at for at in self.lists if at > after), default=float("inf"))


class WatchingFleet:
    def __init__(self, folder, monkeypatch, agents, call_seconds, max_wait, refusal_delay, **settings):
        self.clock = SimulatedClock()
        self.clock.now = 100.0
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.service = DiscoveryQueue(self.clock, call_seconds, max_wait, refusal_delay)
        monkeypatch.setattr(discovery, "monotonic", lambda: self.clock.now)
        simulated_socket_module = SimpleNamespace(
            socket=lambda *kind: SimulatedSocket(self), AF_INET=0, SOCK_STREAM=0
        )
        monkeypatch.setattr(discovery, "socket", simulated_socket_module)
        self.agents = [Agent(self, number, folder, **settings) for number in range(1, agents + 1)]

    def play(self, until):
        gevent.idle()
        while self.clock.scheduled and self.clock.scheduled[0][0] <= until:
            self.clock.run(self.clock.scheduled[0][0])
            gevent.idle()
        self.clock.now = until

    def max_time_to_list(self, since):
        """Seconds from `since` until the last agent has a list that was made after it."""
        return max(agent.next_list(since) for agent in self.agents) - since

    def close(self):
        for agent in self.agents:
            for watch in (agent.discovery.current_watch, agent.discovery.previous_watch):
                if watch:
                    watch.kill()
        os.close(self.sink)
