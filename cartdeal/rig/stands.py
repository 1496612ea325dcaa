"""Stand-ins on loopback: servers that work, fail and break off at any byte, and a discovery service.

They speak the published protocol and know nothing of the agent. A stand-in must never listen off the
loopback, nor hold a connection for longer than the rig lasts.
"""

import struct
from collections import deque

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from cartdeal.agent.connection import Connection, MalformedMessageError
from cartdeal.emulator.servers import capacity_share
from cartdeal.simulated_time import seeded_random

HOST = "127.0.0.1"
BACKLOG = 1024  # connections that wait to be accepted: those of all agents at once
RESET = struct.pack("ii", 1, 0)
BREAKS = ("nothing", "head", "body", "noise", "reset")  # where a broken answer ends


def said(status: int, body: bytes = b"", extra: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d Stand-in\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra, len(body), body)


class Listener:
    def __init__(self):
        self.port, self.open = 0, set()
        self.listen()

    def listen(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, self.port))
        self.socket.listen(BACKLOG)
        self.port = self.socket.getsockname()[1]
        self.works = [gevent.spawn(self.accept, self.socket)]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def accept(self, door):
        while True:
            try:
                sock, _ = door.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = self.connection(sock)
            self.open.add(connection)
            gevent.spawn(self.serve, connection)

    def connection(self, sock) -> Connection:
        return Connection(sock, reads_responses=False, on_close=self.open.discard)

    def serve(self, connection):
        try:
            while not connection.closed and connection.receive(None):
                while connection.messages and not connection.closed:
                    self.play(connection, connection.messages.pop(0))
        except (OSError, MalformedMessageError):
            pass
        connection.close()

    def close(self):
        gevent.killall(self.works, block=False)
        self.socket.close()
        for connection in list(self.open):
            reset(connection)


def reset(connection):
    try:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        pass
    connection.close()


class Server(Listener):
    """First come first served on `cores`, each request for the time that its request class takes."""

    def __init__(self, rig, name, zone, started=0.0):
        self.rig, self.terms, self.name, self.zone, self.started = rig, rig.world.servers, name, zone, started
        self.random = seeded_random(rig.seed, name)
        self.draining, self.slow, self.silent, self.errors, self.resets = False, 1.0, False, 0.0, 0.0
        self.spoilt = {}
        self.running, self.waiting, self.attempts, self.life = 0, deque(), 0, 0
        super().__init__()

    def warmth(self) -> float:
        return capacity_share(self.terms, self.started, self.rig.now)

    def capacity(self) -> float:
        return self.terms.cores * self.warmth() / self.slow

    def play(self, connection, message):
        path = message.path.partition(b"?")[0]
        if path == b"/health/live":
            self.rig.count["probes"] += 1
            return connection.sock.sendall(said(200)) if not self.silent else gevent.sleep(3600)
        request = message.headers.get(b"x-request-id", b"").decode()
        kind = path[1:].partition(b"/")[0].decode()
        self.attempts += 1
        attempt, life = f"{self.name}/{self.attempts}", self.life
        self.rig.attempt_came(request, attempt, self)
        work = self.rig.work(kind, self.random)
        if self.started and self.warmth() < 1:
            self.rig.rule_checker.on_work_at_cold_server(self.rig.now, self, work)
        if self.draining or self.running + len(self.waiting) >= self.terms.cores + self.terms.waiting:
            self.rig.rule_checker.on_attempt_ended(request, attempt, True)
            return connection.sock.sendall(said(503, extra=b"X-Not-Processed: 1\r\n"))
        self.run(work)
        if life != self.life or connection.closed:
            return
        if self.silent:
            gevent.sleep(3600)
        self.reply(connection, request, kind)

    def run(self, work):
        if self.running >= self.terms.cores:
            turn = Event()
            self.waiting.append(turn)
            turn.wait()
        self.running += 1
        gevent.sleep(work * self.slow / self.warmth())
        self.running -= 1
        if self.waiting:
            self.waiting.popleft().set()

    def reply(self, connection, request, kind):
        whole = said(200, b"done " + request.encode())
        if self.random.random() < self.resets:
            way = self.random.choice(BREAKS)
            self.rig.count[f"broken off: {way}"] += 1
            connection.sock.sendall(
                {"head": whole[:20], "body": whole[:-3], "noise": b"\xff no HTTP\r\n\r\n"}.get(way, b"")
            )
            return reset(connection) if way in ("reset", "nothing") else connection.close()
        failing = max(self.errors, self.spoilt.get(kind, 0.0))
        connection.sock.sendall(said(500) if self.random.random() < failing else whole)

    def die(self):
        self.life += 1
        self.close()

    def rise(self):
        self.started = self.rig.now
        self.listen()

    def line(self, state="active") -> dict:
        return {
            "uid": self.name,
            "endpoint": self.address,
            "az": self.rig.world.zones[self.zone],
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": int(self.rig.wall(self.started) * 1e3) if self.started else 0,
        }


class DiscoveryService(Listener):
    BEAT = 2.0

    def __init__(self, rig):
        self.rig, self.terms = rig, rig.world.list
        self.lines, self.version, self.watches, self.down, self.later = {}, 1, [], False, 0.0
        super().__init__()

    def server_list(self, lines, whole) -> bytes:
        return msgspec.json.encode({"rev": self.version, "all": whole, "targets": lines})

    def play(self, connection, message):
        self.rig.count["list calls"] += 1
        if self.down:
            connection.sock.sendall(said(503))
            return connection.close()
        whole = self.server_list(list(self.lines.values()), True)
        if b"watch=1" not in message.path:
            return connection.sock.sendall(said(200, whole))
        connection.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(connection)
        self.write(connection, whole + b"\n")
        self.works.append(gevent.spawn(self.beat, connection))

    def write(self, connection, text):
        if not connection.closed:
            connection.write(b"%x\r\n%b\r\n" % (len(text), text))

    def beat(self, connection):
        while not connection.closed:
            gevent.sleep(self.BEAT)
            self.write(connection, b"\n")

    def change(self, line):
        gevent.spawn_later(self.terms.late_s + self.later, self.tell, line)

    def tell(self, line):
        self.version += 1
        self.lines[line["uid"]] = line
        if line["state"] == "left":
            del self.lines[line["uid"]]
        self.rig.told(line)
        for watch in self.watches:
            self.write(watch, self.server_list([line], False) + b"\n")

    def go_down(self):
        self.down, watches, self.watches = True, self.watches, []
        for watch in watches:
            watch.close()
