"""The fake servers and the fake discovery service of a soak, which speak the published protocol."""

import json
from enum import StrEnum

import gevent

from cartdeal.agent.connection import Connection
from cartdeal.rig.fake_servers import Listener
from cartdeal.rig.soak.relay import reset

HEARTBEAT_INTERVAL_S = 2.0
WORK_S = 0.01  # service time of a request
SLOW_WORK_S = 0.4
CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ServerBehaviour(StrEnum):
    """How a server treats the requests that it receives."""

    GOOD = "good"
    HANGS = "hangs"
    RESETS = "resets"
    TRUNCATED = "half"  # a part of an answer, then a close
    ERRORS = "errors"
    FULL = "full"
    SLOW = "slow"
    UNREADABLE = "spoilt"  # an answer that is not valid HTTP; the connection stays open


class TimedConnection(Connection):
    """A connection that records when the first byte of the current request arrived."""

    def __init__(self, sock, now, **options):
        super().__init__(sock, reads_responses=False, **options)
        self.now, self.first_byte_at = now, 0.0

    def on_message_begin(self):
        """Records the time of the first byte of a request."""
        super().on_message_begin()
        self.first_byte_at = self.now()


class TimingListener(Listener):
    """A listener whose connections record when the first byte of each request arrived, by `now()`."""

    def __init__(self, now):
        self.now = now
        super().__init__()

    def make_connection(self, sock) -> Connection:
        """Wraps an accepted socket in a connection that records times."""
        return TimedConnection(sock, self.now, on_close=self.connections.discard)


class Server(TimingListener):
    """A server that reports each request to the rule checker and behaves as a fault says."""

    def __init__(self, name, zone, now, rule_checker):
        super().__init__(now)
        self.may_be_delayed = lambda: False  # replaced if a relay stands before the server
        self.name, self.zone, self.rule_checker = name, zone, rule_checker
        self.behaviour, self.request_count = ServerBehaviour.GOOD, 0

    def handle_request(self, connection, message):
        """Reports a request to the rule checker and answers by the server's behaviour."""
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
    """Serves the server list, by fetch and by watch, and may be down."""

    def __init__(self, now):
        self.entries, self.version, self.watches = {}, 1, set()
        self.is_down = False
        super().__init__(now)

    def handle_request(self, connection, message):
        """Answers with the full list; a watch stays open and gets the updates."""
        if self.is_down:
            return connection.write(answer(503, b""), True)
        full_list = self.server_list(list(self.entries.values()), True)
        if b"watch=1" not in message.path:
            return connection.write(answer(200, full_list))
        connection.write(CHUNKED_RESPONSE_HEAD + chunk(full_list + b"\n"))
        self.watches.add(connection)
        return gevent.spawn(self.send_heartbeats, connection)

    def send_heartbeats(self, connection):
        """Writes an empty line to a watch at each interval until it closes."""
        while not connection.closed:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            connection.write(chunk(b"\n"))
        self.watches.discard(connection)

    def server_list(self, entries, is_full):
        """Encodes list entries; `is_full` tells a whole list from an update."""
        return json.dumps({"rev": self.version, "all": is_full, "targets": entries}).encode()

    def send_update(self, *entries):
        """Changes entries of the list and sends the changes to every watch."""
        self.version += 1
        for entry in entries:
            self.entries[entry["uid"]] = entry
            if entry["state"] == "left":
                del self.entries[entry["uid"]]
        update = chunk(self.server_list(list(entries), False) + b"\n")
        for watch in list(self.watches):
            watch.write(update)

    def end_watches(self):
        """Resets the connections of all watches."""
        for watch in list(self.watches):
            reset(watch.sock)


def answer(status: int, body: bytes, extra_headers: bytes = b"") -> bytes:
    """Encodes an HTTP/1.1 response with a Content-Length."""
    return b"HTTP/1.1 %d Soak\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra_headers, len(body), body)


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
