"""Sends thousands of one-byte chunks from hundreds of clients, and judges the answers of usual clients.

Each of the flooding clients is served once before, and connects again when the agent ends its connection.
They run in processes of their own. Exit status 1 if a usual request has no answer half a second after its
time.
"""

import json
import os
import selectors
import sys
import tempfile
from multiprocessing import get_context
from pathlib import Path
from time import monotonic

import gevent
from gevent import socket, subprocess

from cartdeal.rig.soak.clients import ClientConnection
from examples.toy import Server
from tests.half_chunked_bodies import free_port, wait_until_listening
from tests.scene import config_file, encode_request, read_answer

FLOODING_PROCESSES = 4
CLIENTS_PER_PROCESS = 82  # a third of the descriptors in all
SECONDS = 6.0
TIMEOUT_S = 1.9  # of the usual requests
LATE_S = 0.5  # an answer that comes later than this after its request's time is lost
CHUNKS = b"1\r\nx\r\n" * 12_000


class Flood:
    """The flooding clients of one process."""

    def __init__(self, port: int):
        self.port, self.selector, self.request_count = port, selectors.DefaultSelector(), 0

    def connect(self):
        """Opens a connection, whose first request is a usual one."""
        import socket as plain_socket

        try:
            sock = plain_socket.create_connection(("127.0.0.1", self.port), timeout=1.0)
        except OSError:
            return
        sock.setblocking(False)
        both = selectors.EVENT_READ | selectors.EVENT_WRITE
        self.selector.register(sock, both, [self.encode(b"abc"), False])

    def encode(self, body=b"", **headers) -> bytes:
        """The bytes of a request, whose id no other process uses."""
        self.request_count += 1
        request_id = f"{os.getpid()}-{self.request_count}"
        return encode_request("/once/x", "POST", body, X_Request_ID=request_id, **headers)

    def run(self, until: float):
        """Floods until the given time."""
        for _ in range(CLIENTS_PER_PROCESS):
            self.connect()
        while monotonic() < until:
            for key, events in self.selector.select(0.05):
                try:
                    self.step(key, events)
                except BlockingIOError:
                    pass
                except OSError:
                    self.selector.unregister(key.fileobj)
                    key.fileobj.close()
                    self.connect()

    def step(self, key, events: int):
        """Reads or writes on a connection; raises OSError when it is over."""
        sock, state = key.fileobj, key.data
        if events & selectors.EVENT_READ:
            if not sock.recv(65536) or state[1]:
                raise ConnectionError
            head = self.encode(Content_Length=None, Transfer_Encoding="chunked")
            state[:] = head + CHUNKS, True
            self.selector.modify(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, state)
        elif state[0]:
            state[0] = state[0][sock.send(state[0]) :]
        else:
            self.selector.modify(sock, selectors.EVENT_READ, state)


def flood(port: int, seconds: float):
    """Runs the flooding clients of one process."""
    Flood(port).run(monotonic() + seconds)


def ask(port: int, lost: list[str]):
    """One usual request on a connection of its own."""
    due_at = monotonic() + TIMEOUT_S + LATE_S
    try:
        sock = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S + LATE_S)
        client = ClientConnection(sock, reads_responses=True)
        sock.sendall(encode_request("/read/x", X_Timeout=f"{TIMEOUT_S * 1000:.0f}m"))
        answer = read_answer(client)
        client.close()
    except OSError as error:
        return lost.append(repr(error))
    if answer is None or monotonic() > due_at:
        lost.append(f"{answer}")


def main() -> int:
    """Runs the clients and returns the exit status."""
    server, port, lost, usual = Server("s0"), free_port(), [], []
    known = {"rev": 1, "all": True, "targets": [server.list_entry()]}
    limits = {"memory_mb": 64, "sockets": 1024}
    context = get_context("spawn")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config_file(listen=f"127.0.0.1:{port}", known=known, limits=limits)))
        environment = os.environ | {"PROXY_CONFIG": str(path)}
        agent = subprocess.Popen(
            [sys.executable, "-m", "cartdeal"], env=environment, stderr=subprocess.DEVNULL
        )
        try:
            wait_until_listening(port)
            floods = [context.Process(target=flood, args=(port, SECONDS)) for _ in range(FLOODING_PROCESSES)]
            for each in floods:
                each.start()
            until = monotonic() + SECONDS
            while monotonic() < until:
                usual.append(gevent.spawn(ask, port, lost))
                gevent.sleep(0.05)
            gevent.joinall(usual)
            for each in floods:
                each.join()
        finally:
            agent.terminate()
            agent.wait()
            server.stop()
    print(f"lost {len(lost)} of {len(usual)}")
    return int(bool(lost))


if __name__ == "__main__":
    sys.exit(main())
