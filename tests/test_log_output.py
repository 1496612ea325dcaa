"""A log that can't be written to: a pipe that nobody reads, a full disk, a reader that has gone."""

import fcntl
import json
import os
import sys

import gevent
import pytest
from gevent import socket, subprocess

from tests.scene import Client, answered, config_file, worded
from tests.system_faults import PIPE_PAGE

F_SETPIPE_SZ = 1031
LIMIT = 30.0  # seconds


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.fixture
def start(tmp_path):
    """Starts an agent whose log goes to a descriptor; gives its port."""
    started = []

    def make(log):
        port = free_port()
        file = tmp_path / "agent.json"
        file.write_text(json.dumps(config_file(listen=f"127.0.0.1:{port}")))
        environment = {**os.environ, "PROXY_CONFIG": str(file)}
        started.append(subprocess.Popen([sys.executable, "-m", "cartdeal"], stderr=log, env=environment))
        return port, started[-1]

    yield make
    for process in started:
        process.kill()
        process.wait()


def connect(port):
    with gevent.Timeout(LIMIT):
        while True:
            try:
                return Client(socket.create_connection(("127.0.0.1", port)), answers=True)
            except ConnectionRefusedError:
                gevent.sleep(0.05)


def still_answers(port, requests):
    """Makes requests that are refused, each of which is logged; whether all are answered."""
    with gevent.Timeout(LIMIT, False):
        for _ in range(requests):
            client = connect(port)
            client.sock.sendall(worded("/none/" + "x" * 500))
            if answered(client)[0] != 404:
                return False
            client.close()
        return True
    return False


def test_log_that_nobody_reads_holds_nobody_up(start):
    read, write = os.pipe()
    fcntl.fcntl(write, F_SETPIPE_SZ, PIPE_PAGE)
    os.write(write, bytes(PIPE_PAGE))  # it is full
    port, agent = start(write)
    assert still_answers(port, 50) and agent.poll() is None
    os.close(read)
    os.close(write)


def test_log_whose_reader_has_gone_ends_nothing(start):
    read, write = os.pipe()
    port, agent = start(write)
    os.close(read)
    os.close(write)
    assert still_answers(port, 50) and agent.poll() is None


def test_log_on_a_full_disk_ends_nothing(start):
    with open("/dev/full", "wb") as full:
        port, agent = start(full)
    assert still_answers(port, 50) and agent.poll() is None
