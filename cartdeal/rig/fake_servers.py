"""Fake servers on loopback, which work, fail and break off at any byte, and a fake discovery service.

They speak the published protocol and know nothing of the agent's code. They must never listen off the
loopback, nor hold a connection for longer than the rig runs.
"""

import struct
from collections import deque

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from cartdeal.agent.connection import Connection
from cartdeal.agent.message import MalformedMessageError
from cartdeal.emulator.servers import capacity_share
from cartdeal.simulated_time import seeded_random

LOOPBACK_HOST = "127.0.0.1"
LISTEN_BACKLOG = 1024  # holds the connections of all agents at once
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset
# What is sent of an answer that is broken off.
BREAK_POINTS = ("nothing", "head", "body", "noise", "reset")


def http_response(status: int, body: bytes = b"", extra_headers: bytes = b"") -> bytes:
    """Encodes an HTTP/1.1 response with a Content-Length."""
    return b"HTTP/1.1 %d Stand-in\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        extra_headers,
        len(body),
        body,
    )


class Listener:
    """Accepts HTTP connections on a loopback port; subclasses answer in `handle_request`."""

    def __init__(self):
        self.port, self.connections = 0, set()
        self.listen()

    def listen(self):
        """Opens the listening socket, on the same port as before if there was one."""
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((LOOPBACK_HOST, self.port))
        self.socket.listen(LISTEN_BACKLOG)
        self.port = self.socket.getsockname()[1]
        self.greenlets = [gevent.spawn(self.accept, self.socket)]

    @property
    def address(self) -> str:
        """Host and port, as the server list writes them."""
        return f"{LOOPBACK_HOST}:{self.port}"

    def accept(self, listening_socket):
        """Accepts connections until the listening socket is closed."""
        while True:
            try:
                sock, _ = listening_socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = self.make_connection(sock)
            self.connections.add(connection)
            gevent.spawn(self.serve, connection)

    def make_connection(self, sock) -> Connection:
        """Wraps an accepted socket; subclasses may use a connection class of their own."""
        return Connection(sock, reads_responses=False, on_close=self.connections.discard)

    def serve(self, connection):
        """Reads requests from a connection and handles each in turn, until either side closes it."""
        try:
            while not connection.closed and connection.receive(None):
                while connection.messages and not connection.closed:
                    self.handle_request(connection, connection.messages.pop(0))
        except (OSError, MalformedMessageError):
            pass
        connection.close()

    def close(self):
        """Stops listening and resets all open connections."""
        gevent.killall(self.greenlets, block=False)
        self.socket.close()
        for connection in list(self.connections):
            reset(connection)


def reset(connection):
    """Closes a connection with a TCP reset."""
    try:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        pass
    connection.close()


class Server(Listener):
    """Serves requests in order of arrival on `cores`, each for the service time of its request class.

    `slow`, `errors` and `resets` are set by the faults of the same names.
    """

    def __init__(self, rig, name, zone, started=0.0):
        self.rig, self.settings, self.name, self.zone, self.started = (
            rig,
            rig.world.servers,
            name,
            zone,
            started,
        )
        self.random = seeded_random(rig.seed, name)
        self.is_draining, self.slow, self.is_silent, self.errors, self.resets = False, 1.0, False, 0.0, 0.0
        self.error_rates = {}
        self.running_count, self.queue, self.attempt_count, self.crash_count = 0, deque(), 0, 0
        super().__init__()

    def capacity_share_now(self) -> float:
        """Share of its capacity that the server has now, during its slow start."""
        return capacity_share(self.settings, self.started, self.rig.now)

    def capacity(self) -> float:
        """Seconds of work that the server does in a second."""
        return self.settings.cores * self.capacity_share_now() / self.slow

    def handle_request(self, connection, message):
        """Answers a health probe, or rejects or processes a request."""
        path = message.path.partition(b"?")[0]
        if path == b"/health/live":
            self.rig.counts["probes"] += 1
            return connection.sock.sendall(http_response(200)) if not self.is_silent else gevent.sleep(3600)
        request = message.headers.get(b"x-request-id", b"").decode()
        request_class = path[1:].partition(b"/")[0].decode()
        self.attempt_count += 1
        attempt, crash_count = f"{self.name}/{self.attempt_count}", self.crash_count
        self.rig.on_attempt_received(request, attempt, self)
        work = self.rig.draw_work(request_class, self.random)
        if self.started and self.capacity_share_now() < 1:
            self.rig.rule_checker.on_work_at_cold_server(self.rig.now, self, work)
        if (
            self.is_draining
            or self.running_count + len(self.queue) >= self.settings.cores + self.settings.waiting
        ):
            self.rig.rule_checker.on_attempt_ended(request, attempt, True)
            return connection.sock.sendall(http_response(503, extra_headers=b"X-Not-Processed: 1\r\n"))
        self.process(work)
        if crash_count != self.crash_count or connection.closed:
            return
        if self.is_silent:
            gevent.sleep(3600)
        self.reply(connection, request, request_class)

    def process(self, work):
        """Waits for a free core and occupies it for `work` seconds at full capacity."""
        if self.running_count >= self.settings.cores:
            turn = Event()
            self.queue.append(turn)
            turn.wait()
        self.running_count += 1
        gevent.sleep(work * self.slow / self.capacity_share_now())
        self.running_count -= 1
        if self.queue:
            self.queue.popleft().set()

    def reply(self, connection, request, request_class):
        """Sends the response, which the current faults may replace by an error or break off."""
        response = http_response(200, b"done " + request.encode())
        if self.random.random() < self.resets:
            break_point = self.random.choice(BREAK_POINTS)
            self.rig.counts[f"broken off: {break_point}"] += 1
            connection.sock.sendall(
                {"head": response[:20], "body": response[:-3], "noise": b"\xff no HTTP\r\n\r\n"}.get(
                    break_point, b""
                )
            )
            return reset(connection) if break_point in ("reset", "nothing") else connection.close()
        failing = max(self.errors, self.error_rates.get(request_class, 0.0))
        connection.sock.sendall(http_response(500) if self.random.random() < failing else response)

    def crash(self):
        """Stops listening and resets all connections; requests in progress are not answered."""
        self.crash_count += 1
        self.close()

    def restart(self):
        """Listens again on the same port, as a server that has just started."""
        self.started = self.rig.now
        self.listen()

    def list_entry(self, state="active") -> dict:
        """The server's entry in the server list."""
        return {
            "uid": self.name,
            "endpoint": self.address,
            "az": self.rig.world.zones[self.zone],
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": int(self.rig.wall_time(self.started) * 1e3) if self.started else 0,
        }


class DiscoveryService(Listener):
    """Serves the server list, by fetch and by watch, and may be down or late."""

    HEARTBEAT_INTERVAL_S = 2.0

    def __init__(self, rig):
        self.rig, self.settings = rig, rig.world.list
        self.entries, self.version, self.watches, self.is_down, self.extra_delay = {}, 1, [], False, 0.0
        super().__init__()

    def server_list(self, entries, is_full) -> bytes:
        """Encodes list entries; `is_full` tells a whole list from an update."""
        return msgspec.json.encode({"rev": self.version, "all": is_full, "targets": entries})

    def handle_request(self, connection, message):
        """Answers with the full list; a watch stays open and gets the updates."""
        self.rig.counts["list calls"] += 1
        if self.is_down:
            connection.sock.sendall(http_response(503))
            return connection.close()
        full_list = self.server_list(list(self.entries.values()), True)
        if b"watch=1" not in message.path:
            return connection.sock.sendall(http_response(200, full_list))
        connection.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(connection)
        self.write(connection, full_list + b"\n")
        self.greenlets.append(gevent.spawn(self.send_heartbeats, connection))

    def write(self, connection, data):
        """Writes a chunk of the response, if the connection is still open."""
        if not connection.closed:
            connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_heartbeats(self, connection):
        """Writes an empty line to a watch at each interval."""
        while not connection.closed:
            gevent.sleep(self.HEARTBEAT_INTERVAL_S)
            self.write(connection, b"\n")

    def schedule_update(self, entry):
        """Sends an entry's update after the delay of the list."""
        gevent.spawn_later(self.settings.late_s + self.extra_delay, self.send_update, entry)

    def send_update(self, entry):
        """Changes an entry of the list and sends the change to every watch."""
        self.version += 1
        self.entries[entry["uid"]] = entry
        if entry["state"] == "left":
            del self.entries[entry["uid"]]
        self.rig.on_list_update_sent(entry)
        for watch in self.watches:
            self.write(watch, self.server_list([entry], False) + b"\n")

    def go_down(self):
        """Closes all watches and refuses requests from now on."""
        self.is_down, watches, self.watches = True, self.watches, []
        for watch in watches:
            watch.close()
