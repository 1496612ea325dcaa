"""Holds an agent with 32 MB to its limit while hundreds of clients stop half way through a chunked body.

Each client is served once before. Exit status 1 if the agent's resident memory goes over the limit.
"""

import json
import os
import sys
import tempfile
from pathlib import Path
from time import monotonic

import gevent
from gevent import socket, subprocess

from cartdeal.rig.soak.clients import ClientConnection
from examples.toy import Server
from tests.scene import config_file, encode_request, read_answer

MEMORY_MB = 32
CLIENTS = 330  # with the system's own descriptors under a third of 1,024
SECONDS = 8.0
HALF_BODY = b"7d00\r\n" + b"x" * 32_000 + b"\r\n"


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def send_half_bodies(port: int, until: float):
    """One client, which connects again whenever the agent has ended its connection."""
    while monotonic() < until:
        try:
            sock = socket.create_connection(("127.0.0.1", port), timeout=2.0)
            client = ClientConnection(sock, reads_responses=True)
            sock.sendall(encode_request("/once/x", "POST", b"abc"))
            read_answer(client)
            head = encode_request("/once/x", "POST", Content_Length=None, Transfer_Encoding="chunked")
            sock.sendall(head + HALF_BODY)
            read_answer(client)
            client.close()
        except OSError:
            gevent.sleep(0.02)


def wait_until_listening(port: int):
    """Returns when the agent accepts connections; raises TimeoutError after 30 s."""
    until = monotonic() + 30.0
    while monotonic() < until:
        try:
            return socket.create_connection(("127.0.0.1", port)).close()
        except OSError:
            gevent.sleep(0.05)
    raise TimeoutError("the agent does not listen")


def resident_mb(pid: int) -> float:
    """The resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def main() -> int:
    """Runs the clients and returns the exit status."""
    server, port = Server("s0"), free_port()
    known = {"rev": 1, "all": True, "targets": [server.list_entry()]}
    limits = {"memory_mb": MEMORY_MB, "sockets": 1024}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config_file(listen=f"127.0.0.1:{port}", known=known, limits=limits)))
        environment = os.environ | {"PROXY_CONFIG": str(path)}
        agent = subprocess.Popen(
            [sys.executable, "-m", "cartdeal"], env=environment, stderr=subprocess.DEVNULL
        )
        try:
            wait_until_listening(port)
            until = monotonic() + SECONDS
            clients = [gevent.spawn(send_half_bodies, port, until) for _ in range(CLIENTS)]
            peak_mb = 0.0
            while monotonic() < until:
                peak_mb = max(peak_mb, resident_mb(agent.pid))
                gevent.sleep(0.05)
            gevent.killall(clients)
        finally:
            agent.terminate()
            agent.wait()
            server.stop()
    print(f"resident memory at most {peak_mb:.1f} MB of {MEMORY_MB}")
    return int(peak_mb > MEMORY_MB)


if __name__ == "__main__":
    sys.exit(main())
