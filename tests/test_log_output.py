"""Agents must keep working if the log can't be written: unread pipe, full disk or closed reader."""

import errno
import fcntl
import json
import logging
import os
import sys

import gevent
import pytest
from gevent import socket, subprocess
from logfmter import Logfmter

from cartdeal.agent import log_output
from cartdeal.agent.log_output import MAX_LINE_BYTES, NonBlockingHandler, shorten
from cartdeal.rig.system_faults import MIN_PIPE_BYTES
from tests.scene import Client, config_file, encode_request, read_answer

F_SETPIPE_SZ = 1031
TIMEOUT_S = 30.0


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.fixture
def start_agent(tmp_path):
    """Starts an agent that logs to a descriptor, and returns its port and its process."""
    processes = []

    def launch(log):
        port = free_port()
        config_path = tmp_path / "agent.json"
        config_path.write_text(json.dumps(config_file(listen=f"127.0.0.1:{port}")))
        environment = {**os.environ, "PROXY_CONFIG": str(config_path)}
        processes.append(subprocess.Popen([sys.executable, "-m", "cartdeal"], stderr=log, env=environment))
        return port, processes[-1]

    yield launch
    for process in processes:
        process.kill()
        process.wait()


def connect(port):
    with gevent.Timeout(TIMEOUT_S):
        while True:
            try:
                return Client(socket.create_connection(("127.0.0.1", port)), reads_responses=True)
            except ConnectionRefusedError:
                gevent.sleep(0.05)


def answers_requests(port, request_count):
    """Send requests that are refused and therefore logged; return whether all are answered."""
    with gevent.Timeout(TIMEOUT_S, False):
        for _ in range(request_count):
            client = connect(port)
            client.sock.sendall(encode_request("/none/" + "x" * 500))
            if read_answer(client)[0] != 404:
                return False
            client.close()
        return True
    return False


def test_log_pipe_without_a_reader_does_not_block_the_agent(start_agent):
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, F_SETPIPE_SZ, MIN_PIPE_BYTES)
    os.write(write_end, bytes(MIN_PIPE_BYTES))  # it is full
    port, agent = start_agent(write_end)
    assert answers_requests(port, 50) and agent.poll() is None
    os.close(read_end)
    os.close(write_end)


def test_log_pipe_with_a_closed_reader_does_not_end_the_agent(start_agent):
    read_end, write_end = os.pipe()
    port, agent = start_agent(write_end)
    os.close(read_end)
    os.close(write_end)
    assert answers_requests(port, 50) and agent.poll() is None


def test_log_on_a_full_disk_does_not_end_the_agent(start_agent):
    with open("/dev/full", "wb") as full_device:
        port, agent = start_agent(full_device)
    assert answers_requests(port, 50) and agent.poll() is None


def emit_and_read(handler, read_end, *messages):
    for message in messages:
        handler.emit(logging.makeLogRecord({"name": "x", "msg": message}))
    return os.read(read_end, 1 << 20)


def test_lost_lines_are_counted_in_the_next_written_line():
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, F_SETPIPE_SZ, MIN_PIPE_BYTES)
    os.write(write_end, bytes(MIN_PIPE_BYTES))
    handler = NonBlockingHandler(write_end)
    handler.setFormatter(Logfmter())
    assert (
        emit_and_read(handler, read_end, "a", "b", "c") == bytes(MIN_PIPE_BYTES) and handler.lost_lines == 3
    )
    assert b"lines_lost=3" in emit_and_read(handler, read_end, "d")
    assert b"lines_lost" not in emit_and_read(handler, read_end, "e")
    os.close(read_end)
    os.close(write_end)


def test_line_after_a_partial_write_starts_on_a_new_line(monkeypatch):
    read_end, write_end = os.pipe()
    handler, system_write = NonBlockingHandler(write_end), os.write
    monkeypatch.setattr(log_output.os, "write", lambda descriptor, data: system_write(descriptor, data[:3]))
    handler.emit(logging.makeLogRecord({"msg": "cut off"}))
    monkeypatch.undo()
    handler.emit(logging.makeLogRecord({"msg": "whole"}))
    assert os.read(read_end, 100) == b"cut\nwhole\n"
    os.close(read_end)
    os.close(write_end)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EPIPE, errno.EBADF, errno.EDQUOT])
def test_line_is_lost_without_an_exception_if_the_write_fails(monkeypatch, error):
    def failing_write(descriptor, data):
        raise OSError(error, os.strerror(error))

    with open(os.devnull, "wb") as null_device:
        handler = NonBlockingHandler(null_device.fileno())
        monkeypatch.setattr(log_output.os, "write", failing_write)
        handler.emit(logging.makeLogRecord({"msg": "a"}))
        assert handler.lost_lines == 1


def test_long_line_is_shortened_to_its_start_and_end():
    line = b"begin " + b"x" * 9000 + b" end"
    shortened = shorten(line, MAX_LINE_BYTES)
    assert (
        len(shortened) <= MAX_LINE_BYTES and shortened.startswith(b"begin ") and shortened.endswith(b" end")
    )
    assert shorten(line[:50], 50) == line[:50]
