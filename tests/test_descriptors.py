"""An agent process with the smallest allowed `sockets` setting, and a system limit of the same size."""

import json
import os
import resource
import sys
from pathlib import Path

import gevent
import pytest
from gevent import socket, subprocess

from examples.toy import DiscoveryService, Server
from tests.scene import Client, config_file, encode_request, read_answer

MIN_DESCRIPTOR_COUNT = 64


def until(condition):
    while not condition():
        gevent.sleep(0.01)


@pytest.fixture
def agent(tmp_path):
    """An agent that knows no server, with its discovery service down: its process, ports and log file."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    file = tmp_path / "agent.json"
    file.write_text(
        json.dumps(
            config_file(
                discovery=f"127.0.0.1:{port}",
                known={},
                limits={"memory_mb": 192, "sockets": MIN_DESCRIPTOR_COUNT},
            )
        )
    )
    log = tmp_path / "log"
    with log.open("wb") as log_file:
        process = subprocess.Popen(
            [sys.executable, "-m", "cartdeal"],
            stderr=log_file,
            env={**os.environ, "PROXY_CONFIG": str(file)},
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (MIN_DESCRIPTOR_COUNT, MIN_DESCRIPTOR_COUNT)
            ),
        )
    with gevent.Timeout(40):
        until(lambda: b"msg=serving" in log.read_bytes())
        front = int(log.read_bytes().split(b"msg=serving")[1].split(b"port=")[1].split()[0])
        yield process, front, port, log
    process.kill()
    process.wait()


# `held_count`: how many of the 32 connections the clients hold at once, at least.
@pytest.mark.parametrize("clients, held_count", [("identified", 15), ("silent", 6), ("midway", 28)])
def test_idle_clients_leave_descriptors_for_discovery_and_servers(agent, clients, held_count):
    process, front, port, log = agent
    descriptors = Path(f"/proc/{process.pid}/fd")
    count_before, idle = len(list(descriptors.iterdir())), []
    for _ in range(2 * MIN_DESCRIPTOR_COUNT):
        idle.append(Client(socket.create_connection(("127.0.0.1", front)), reads_responses=True))
        if clients != "silent":
            idle[-1].sock.sendall(encode_request("/health/ready"))
        if clients == "midway":
            idle[-1].sock.sendall(encode_request()[:20])
    until(lambda: len(list(descriptors.iterdir())) >= count_before + held_count)
    server, service = Server("s0"), DiscoveryService(port)
    service.entries = {"s0": server.list_entry()}
    until(lambda: b"1 lines in all" in log.read_bytes())
    if clients != "midway":  # clients in the middle of a request are not idle, and keep their connections
        identified = Client(socket.create_connection(("127.0.0.1", front)), reads_responses=True)
        identified.sock.sendall(encode_request())
        assert read_answer(identified) == (200, b"s0 ")
    assert b"Too many open files" not in log.read_bytes()
    for each in (server, service):
        each.stop()
