"""A toy deployment to try the agent with: a few servers, and the discovery service that names them.

    python examples/toy.py --servers 3 --list-port 8500

A request's query says what its server does with it: `?do=error`, `full`, `busy`, `reset`, `half`, `silent`
and so on, see Server.DOES. Without one it answers 200 with its own name and the request's body.
"""

import argparse
import json
import struct
from urllib.parse import parse_qs

import gevent
from gevent import socket
from gevent.event import Event

from cartdeal.agent.connection import Connection, MalformedMessageError


def answer(status: int, body: bytes = b"", extra: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d Toy\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra, len(body), body)


class Listener:
    def __init__(self, port: int = 0):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(64)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.open: set[Connection] = set()
        self.work = gevent.spawn(self.accept)

    def accept(self):
        while True:
            connection = Connection(
                self.socket.accept()[0], reads_responses=False, on_close=self.open.discard
            )
            self.open.add(connection)
            gevent.spawn(self.serve, connection)

    def serve(self, connection: Connection):
        try:
            while not connection.closed and connection.receive(None):
                while connection.messages:
                    self.play(connection, connection.messages.pop(0))
        except (OSError, MalformedMessageError):
            pass
        connection.close()

    def stop(self):
        self.work.kill()
        self.socket.close()
        for connection in list(self.open):
            connection.close()


class Server(Listener):
    NOT_RUN = b"X-Not-Processed: 1\r\n"
    HEAD = b"HTTP/1.1 200 OK\r\n"
    CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    DOES = {
        "unusable": answer(400),
        "error": answer(500),
        "full": answer(503, extra=NOT_RUN),
        "over": answer(504, extra=NOT_RUN),
        "busy": answer(503),
        "odd": answer(302),
        "garbage": b"what is this\r\n\r\n",
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200, b"after all"),
        "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nthr\r\n2\r\nee\r\n0\r\n\r\n",
        "long": answer(200, bytes(70000)),
        "closing": answer(200, b"bye", b"Connection: close\r\n"),
        # Good answers with more than belongs to them.
        "twice": answer(200, b"one") * 2,
        "noisy": answer(200, b"one") + b"\x00 noise",
        "trailing": CHUNKED + b"3\r\none\r\n0\r\nX-Not-Processed: 1\r\n\r\n",
        "hints": b"HTTP/1.1 103 H\r\nX: 1\r\n\r\n" * 3 + answer(200, b"one"),
        "unread": answer(200, b"one", b"X-Server-Load: {\r\nX-Server-Load: 1\r\n"),
        # Spoilt ones: the connection stays open, and nothing more comes on it.
        "both": HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
        "endless": HEAD + b"X: " + bytes([120]) * 20000,
        "huge": HEAD + b"Content-Length: 3000000000\r\n\r\none",
        "negative": HEAD + b"Content-Length: -3\r\n\r\none",
        "other": HEAD + b"Content_Length: 3\r\n\r\none",
        "lists": HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\none",
        "old": HEAD.replace(b"1.1", b"1.0") + b"Content-Length: 3\r\n\r\none",
        "chunks": CHUNKED + b"-3\r\none",
        "nothings": CHUNKED + b"1;" + bytes([120]) * 20000,
        "waits": b"HTTP/1.1 100 C\r\nX: 1\r\n\r\n" * 2000,
        "upgrade": b"HTTP/1.1 101 U\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\none",
        "gzip": HEAD + b"Transfer-Encoding: gzip\r\n\r\none",
        # With neither length nor chunks: an orderly end ends them, a reset doesn't.
        "open": HEAD + b"\r\none",
        "empty": HEAD + b"\r\n",
        "torn": HEAD + b"\r\none",
        "flood": HEAD + b"\r\n" + bytes(70000),
        "unending": HEAD + b"\r\none",
        "half": answer(200, bytes(100))[:-50],
        "end": b"",
        "reset": b"",
        "silent": b"",
        "wait": b"",
    }
    ENDS = ("half", "end", "reset", "closing", "open", "empty", "torn")

    def __init__(self, name: str = "toy-0", port: int = 0):
        self.name, self.seen, self.released = name, [], Event()
        super().__init__(port)

    def line(self, **more) -> dict:
        return {
            "uid": self.name,
            "endpoint": self.address,
            "az": "a",
            "model": "toy",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        } | more

    def play(self, connection: Connection, message):
        path, _, query = message.path.partition(b"?")
        does = parse_qs(query.decode()).get("do", ["serve"])[0]
        if path in (b"/health/live", b"/stats"):
            return connection.write(answer(200, b'{"outstanding": %d, "throughput": 2.5}' % len(self.seen)))
        self.seen.append(message)
        said = self.DOES.get(does, answer(200, self.name.encode() + b" " + message.body))
        if does == "wait":
            self.released.wait()
            said = answer(200, b"waited")
        if does == "dribble":
            for place in range(len(said)):
                connection.sock.sendall(said[place : place + 1])
                gevent.sleep(0)
        elif said:
            connection.sock.sendall(said)
        if does in ("reset", "torn"):
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if does in self.ENDS:
            connection.close()


class DiscoveryService(Listener):
    """Answers with the whole list, and keeps each watch told."""

    BEAT = 2.0

    def __init__(self, port: int = 0):
        self.lines, self.version, self.watches, self.calls = {}, 1, [], []
        self.down, self.mute = False, False
        super().__init__(port)

    def server_list(self, lines: list, whole: bool) -> bytes:
        return json.dumps({"rev": self.version, "all": whole, "targets": lines}).encode()

    def play(self, connection: Connection, message):
        path = message.path.decode()
        self.calls.append(path)
        whole = self.server_list(list(self.lines.values()), True)
        if self.down:
            connection.write(answer(503), is_last=True)
        elif "watch=1" in path:
            connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(connection)
            if not self.mute:
                self.write(connection, whole + b"\n")
                gevent.spawn(self.beat, connection)
        else:
            connection.write(answer(200, whole))

    def write(self, connection: Connection, text: bytes):
        if text and not connection.closed:
            connection.write(b"%x\r\n%b\r\n" % (len(text), text))

    def beat(self, connection: Connection):
        while not connection.closed:
            gevent.sleep(self.BEAT)
            self.write(connection, b"\n")

    def tell(self, *lines: dict, split: int = 0):
        """Tells every watch of the lines, in two pieces where `split` says so."""
        self.version += 1
        for line in lines:
            self.lines[line["uid"]] = line
            if line["state"] == "left":
                del self.lines[line["uid"]]
        text = self.server_list(list(lines), False) + b"\n"
        for watch in self.watches:
            self.write(watch, text[:split])
            self.write(watch, text[split:])


def main():
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--list-port", type=int, default=8500)
    args = parser.parse_args()
    servers = [Server(f"toy-{place}") for place in range(args.servers)]
    service = DiscoveryService(args.list_port)
    service.lines = {server.name: server.line() for server in servers}
    print(
        f"discovery service at {service.address}; servers:",
        *(server.address for server in servers),
        flush=True,
    )
    gevent.wait()


if __name__ == "__main__":
    main()
