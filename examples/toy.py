"""A toy deployment to try the agent with: a few servers, and the discovery service that lists them.

    python examples/toy.py --servers 3 --list-port 8500

A request's query selects how its server behaves: `?do=error`, `full`, `busy`, `reset`, `half`, `silent` and
so on, see Server.RESPONSES. Without a query the server answers 200 with its own name and the request's body.
"""

import argparse
import json
import struct
from urllib.parse import parse_qs

import gevent
from gevent import socket
from gevent.event import Event

from cartdeal.agent.connection import Connection
from cartdeal.agent.message import MalformedMessageError


def answer(status: int, body: bytes = b"", extra_headers: bytes = b"") -> bytes:
    """Encodes an HTTP/1.1 response with a Content-Length."""
    return b"HTTP/1.1 %d Toy\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra_headers, len(body), body)


class Listener:
    """Accepts HTTP connections on a loopback port; subclasses answer in `handle_request`."""

    def __init__(self, port: int = 0):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(64)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.connections: set[Connection] = set()
        self.accept_greenlet = gevent.spawn(self.accept)

    def accept(self):
        """Accepts connections until the listener is stopped."""
        while True:
            connection = Connection(
                self.socket.accept()[0], reads_responses=False, on_close=self.connections.discard
            )
            self.connections.add(connection)
            gevent.spawn(self.serve, connection)

    def serve(self, connection: Connection):
        """Reads requests from a connection and handles each in turn, until either side closes it."""
        try:
            while not connection.closed and connection.receive(None):
                while connection.messages:
                    self.handle_request(connection, connection.messages.pop(0))
        except (OSError, MalformedMessageError):
            pass
        connection.close()

    def stop(self):
        """Stops listening and closes all open connections."""
        self.accept_greenlet.kill()
        self.socket.close()
        for connection in list(self.connections):
            connection.close()


class Server(Listener):
    """A server whose behaviour each request selects; it stores the requests that it receives."""

    NOT_PROCESSED_HEADER = b"X-Not-Processed: 1\r\n"
    RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"
    CHUNKED_HEAD = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    RESPONSES = {
        "unusable": answer(400),
        "error": answer(500),
        "full": answer(503, extra_headers=NOT_PROCESSED_HEADER),
        "over": answer(504, extra_headers=NOT_PROCESSED_HEADER),
        "busy": answer(503),
        "odd": answer(302),
        "garbage": b"what is this\r\n\r\n",
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200, b"after all"),
        "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nthr\r\n2\r\nee\r\n0\r\n\r\n",
        "long": answer(200, bytes(70000)),
        "closing": answer(200, b"bye", b"Connection: close\r\n"),
        # Valid answers followed by more than belongs to them.
        "twice": answer(200, b"one") * 2,
        "noisy": answer(200, b"one") + b"\x00 noise",
        "trailing": CHUNKED_HEAD + b"3\r\none\r\n0\r\nX-Not-Processed: 1\r\n\r\n",
        "hints": b"HTTP/1.1 103 H\r\nX: 1\r\n\r\n" * 3 + answer(200, b"one"),
        "unread": answer(200, b"one", b"X-Server-Load: {\r\nX-Server-Load: 1\r\n"),
        # Invalid answers: the connection stays open, and nothing more is sent on it.
        "both": RESPONSE_HEAD
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
        "endless": RESPONSE_HEAD + b"X: " + bytes([120]) * 20000,
        "huge": RESPONSE_HEAD + b"Content-Length: 3000000000\r\n\r\none",
        "negative": RESPONSE_HEAD + b"Content-Length: -3\r\n\r\none",
        "other": RESPONSE_HEAD + b"Content_Length: 3\r\n\r\none",
        "lists": RESPONSE_HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\none",
        "old": RESPONSE_HEAD.replace(b"1.1", b"1.0") + b"Content-Length: 3\r\n\r\none",
        "chunks": CHUNKED_HEAD + b"-3\r\none",
        "nothings": CHUNKED_HEAD + b"1;" + bytes([120]) * 20000,
        "waits": b"HTTP/1.1 100 C\r\nX: 1\r\n\r\n" * 2000,
        "upgrade": b"HTTP/1.1 101 U\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\none",
        "gzip": RESPONSE_HEAD + b"Transfer-Encoding: gzip\r\n\r\none",
        # Answers with neither a length nor chunks: an orderly close ends them, a reset does not.
        "open": RESPONSE_HEAD + b"\r\none",
        "empty": RESPONSE_HEAD + b"\r\n",
        "torn": RESPONSE_HEAD + b"\r\none",
        "flood": RESPONSE_HEAD + b"\r\n" + bytes(70000),
        "unending": RESPONSE_HEAD + b"\r\none",
        "half": answer(200, bytes(100))[:-50],
        "end": b"",
        "reset": b"",
        "silent": b"",
        "wait": b"",
    }
    CLOSING_BEHAVIOURS = ("half", "end", "reset", "closing", "open", "empty", "torn")

    def __init__(self, name: str = "toy-0", port: int = 0):
        self.name, self.received_requests, self.released = name, [], Event()
        super().__init__(port)

    def list_entry(self, **changes) -> dict:
        """The server's entry in the server list, with these changes."""
        return {
            "uid": self.name,
            "endpoint": self.address,
            "az": "a",
            "model": "toy",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        } | changes

    def handle_request(self, connection: Connection, message):
        """Answers a health probe or a load query, or behaves as the request's query selects."""
        path, _, query = message.path.partition(b"?")
        behaviour = parse_qs(query.decode()).get("do", ["serve"])[0]
        if path in (b"/health/live", b"/stats"):
            return connection.write(
                answer(200, b'{"outstanding": %d, "throughput": 2.5}' % len(self.received_requests))
            )
        self.received_requests.append(message)
        response = self.RESPONSES.get(behaviour, answer(200, self.name.encode() + b" " + message.body))
        if behaviour == "wait":
            self.released.wait()
            response = answer(200, b"waited")
        if behaviour == "dribble":
            for index in range(len(response)):
                connection.sock.sendall(response[index : index + 1])
                gevent.sleep(0)
        elif response:
            connection.sock.sendall(response)
        if behaviour in ("reset", "torn"):
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if behaviour in self.CLOSING_BEHAVIOURS:
            connection.close()


class DiscoveryService(Listener):
    """Serves the whole server list to each fetch, and updates to each watch."""

    HEARTBEAT_INTERVAL_S = 2.0

    def __init__(self, port: int = 0):
        self.entries, self.version, self.watches, self.calls = {}, 1, [], []
        self.is_down, self.is_mute = False, False
        super().__init__(port)

    def server_list(self, entries: list, is_full: bool) -> bytes:
        """Encodes list entries; `is_full` tells a whole list from an update."""
        return json.dumps({"rev": self.version, "all": is_full, "targets": entries}).encode()

    def handle_request(self, connection: Connection, message):
        """Answers with the full list; a watch stays open and gets the updates."""
        path = message.path.decode()
        self.calls.append(path)
        full_list = self.server_list(list(self.entries.values()), True)
        if self.is_down:
            connection.write(answer(503), is_last=True)
        elif "watch=1" in path:
            connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(connection)
            if not self.is_mute:
                self.write(connection, full_list + b"\n")
                gevent.spawn(self.send_heartbeats, connection)
        else:
            connection.write(answer(200, full_list))

    def write(self, connection: Connection, data: bytes):
        """Writes a chunk of a watch's response, if the connection is still open."""
        if data and not connection.closed:
            connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_heartbeats(self, connection: Connection):
        """Writes an empty line to a watch at each interval until it closes."""
        while not connection.closed:
            gevent.sleep(self.HEARTBEAT_INTERVAL_S)
            self.write(connection, b"\n")

    def send_update(self, *entries: dict, split: int = 0):
        """Sends the entries to every watch, in two chunks if `split` gives the length of the first."""
        self.version += 1
        for entry in entries:
            self.entries[entry["uid"]] = entry
            if entry["state"] == "left":
                del self.entries[entry["uid"]]
        data = self.server_list(list(entries), False) + b"\n"
        for watch in self.watches:
            self.write(watch, data[:split])
            self.write(watch, data[split:])


def main():
    """Starts the deployment and serves until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--list-port", type=int, default=8500)
    arguments = parser.parse_args()
    servers = [Server(f"toy-{index}") for index in range(arguments.servers)]
    service = DiscoveryService(arguments.list_port)
    service.entries = {server.name: server.list_entry() for server in servers}
    print(
        f"discovery service at {service.address}; servers:",
        *(server.address for server in servers),
        flush=True,
    )
    gevent.wait()


if __name__ == "__main__":
    main()
