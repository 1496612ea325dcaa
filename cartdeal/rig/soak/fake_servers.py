"""The servers and the discovery service that agents of a soak talk to; they speak the published protocol."""

import json
from enum import StrEnum

import gevent

from cartdeal.agent.connection import Connection
from cartdeal.rig.fake_servers import Listener
from cartdeal.rig.soak.relay import reset

HEARTBEAT_INTERVAL_S = 2.0  # seconds
WORK_S = 0.01  # seconds that a server takes over a request
SLOW_WORK_S = 0.4
CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ServerBehaviour(StrEnum):
    """How a server behaves."""

    GOOD = "good"
    HANGS = "hangs"
    RESETS = "resets"
    TRUNCATED = "half"  # half an answer, then the end
    ERRORS = "errors"
    FULL = "full"
    SLOW = "slow"
    UNREADABLE = "spoilt"  # an answer that can't be read, and the connection stays


class TimedConnection(Connection):
    """Knows when the first byte of each request came."""

    def __init__(self, sock, now, **options):
        super().__init__(sock, reads_responses=False, **options)
        self.now, self.first_byte_at = now, 0.0

    def on_message_begin(self):
        super().on_message_begin()
        self.first_byte_at = self.now()


class TimingListener(Listener):
    """One whose connections know when the first byte of each request came, by `now()`."""

    def __init__(self, now):
        self.now = now
        super().__init__()

    def make_connection(self, sock) -> Connection:
        return TimedConnection(sock, self.now, on_close=self.connections.discard)


class Server(TimingListener):
    def __init__(self, name, zone, now, rule_checker):
        super().__init__(now)
        self.may_be_delayed = lambda: False  # set by who has a relay before it
        self.name, self.zone, self.rule_checker = name, zone, rule_checker
        self.behaviour, self.request_count = ServerBehaviour.GOOD, 0

    def handle_request(self, connection, message):
        if message.path.startswith(b"/health"):
            return connection.write(answer(200, b""))
        self.request_count += 1
        request_id = message.headers.get(b"x-request-id", b"").decode()
        timeout = float(message.headers.get(b"x-timeout", b"0m")[:-1]) / 1e3
        if self.behaviour is ServerBehaviour.FULL:
            return connection.write(answer(503, b"", b"X-Not-Processed: 1\r\n"))
        self.rule_checker.on_request_received(
            self.name,
            self.zone,
            request_id,
            connection.first_byte_at,
            self.now(),
            timeout,
            self.may_be_delayed(),
        )
        if self.behaviour is ServerBehaviour.HANGS:
            return None
        gevent.sleep(SLOW_WORK_S if self.behaviour is ServerBehaviour.SLOW else WORK_S)
        if connection.closed:
            return None
        response = answer(200, request_id.encode() + b" " + message.body)
        if self.behaviour is ServerBehaviour.RESETS:
            return reset(connection.sock)
        if self.behaviour is ServerBehaviour.TRUNCATED:
            return connection.write(response[:-3], True)
        if self.behaviour is ServerBehaviour.UNREADABLE:
            return connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\none")
        return connection.write(answer(500, b"") if self.behaviour is ServerBehaviour.ERRORS else response)


class DiscoveryService(TimingListener):
    def __init__(self, now):
        self.entries, self.version, self.watches = {}, 1, set()
        self.is_down = False
        super().__init__(now)

    def handle_request(self, connection, message):
        if self.is_down:
            return connection.write(answer(503, b""), True)
        full_list = self.server_list(list(self.entries.values()), True)
        if b"watch=1" not in message.path:
            return connection.write(answer(200, full_list))
        connection.write(CHUNKED_RESPONSE_HEAD + chunk(full_list + b"\n"))
        self.watches.add(connection)
        return gevent.spawn(self.send_heartbeats, connection)

    def send_heartbeats(self, connection):
        while not connection.closed:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            connection.write(chunk(b"\n"))
        self.watches.discard(connection)

    def server_list(self, entries, is_full):
        return json.dumps({"rev": self.version, "all": is_full, "targets": entries}).encode()

    def send_update(self, *entries):
        self.version += 1
        for entry in entries:
            self.entries[entry["uid"]] = entry
            if entry["state"] == "left":
                del self.entries[entry["uid"]]
        update = chunk(self.server_list(list(entries), False) + b"\n")
        for watch in list(self.watches):
            watch.write(update)

    def end_watches(self):
        for watch in list(self.watches):
            reset(watch.sock)


def answer(status: int, body: bytes, extra_headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d Soak\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra_headers, len(body), body)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
