"""A real agent at the least `sockets` that a configuration may name, held to that by the system, too."""

import json
import os
import resource
import sys
from pathlib import Path

import gevent
import pytest
from gevent import socket, subprocess

from examples.toy import DiscoveryService, Server
from tests.scene import Client, answered, config_file, worded

LEAST = 64


def until(true):
    while not true():
        gevent.sleep(0.01)


@pytest.fixture
def agent(tmp_path):
    """One that knows no server, and whose discovery service is down; gives its process, ports and log."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    file = tmp_path / "agent.json"
    file.write_text(
        json.dumps(
            config_file(discovery=f"127.0.0.1:{port}", known={}, limits={"memory_mb": 192, "sockets": LEAST})
        )
    )
    log = tmp_path / "log"
    with log.open("wb") as to:
        process = subprocess.Popen(
            [sys.executable, "-m", "cartdeal"],
            stderr=to,
            env={**os.environ, "PROXY_CONFIG": str(file)},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (LEAST, LEAST)),
        )
    with gevent.Timeout(40):
        until(lambda: b"msg=serving" in log.read_bytes())
        front = int(log.read_bytes().split(b"msg=serving")[1].split(b"port=")[1].split()[0])
        yield process, front, port, log
    process.kill()
    process.wait()


# How many of the 32 connections they hold at once at the least.
@pytest.mark.parametrize("clients, held", [("asked", 15), ("silent", 6), ("midway", 28)])
def test_idle_clients_leave_descriptors_for_discovery_and_servers(agent, clients, held):
    process, front, port, log = agent
    descriptors = Path(f"/proc/{process.pid}/fd")
    before, idle = len(list(descriptors.iterdir())), []
    for _ in range(2 * LEAST):
        idle.append(Client(socket.create_connection(("127.0.0.1", front)), reads_responses=True))
        if clients != "silent":
            idle[-1].sock.sendall(worded("/health/ready"))
        if clients == "midway":
            idle[-1].sock.sendall(worded()[:20])
    until(lambda: len(list(descriptors.iterdir())) >= before + held)
    server, service = Server("s0"), DiscoveryService(port)
    service.lines = {"s0": server.line()}
    until(lambda: b"1 lines in all" in log.read_bytes())
    if clients != "midway":  # those in the middle of a request are not idle: they keep their time for it
        asked = Client(socket.create_connection(("127.0.0.1", front)), reads_responses=True)
        asked.sock.sendall(worded())
        assert answered(asked) == (200, b"s0 ")
    assert b"Too many open files" not in log.read_bytes()
    for each in (server, service):
        each.stop()
