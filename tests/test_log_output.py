"""A log that can't be written to: a pipe that nobody reads, a full disk, a reader that has gone."""

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
from cartdeal.rig.system_faults import PIPE_PAGE
from tests.scene import Client, answered, config_file, worded

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
                return Client(socket.create_connection(("127.0.0.1", port)), reads_responses=True)
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


def lines_of(handler, read, *words):
    for each in words:
        handler.emit(logging.makeLogRecord({"name": "x", "msg": each}))
    return os.read(read, 1 << 20)


def test_lines_that_were_lost_are_counted_once_the_log_takes_lines_again():
    read, write = os.pipe()
    fcntl.fcntl(write, F_SETPIPE_SZ, PIPE_PAGE)
    os.write(write, bytes(PIPE_PAGE))
    handler = NonBlockingHandler(write)
    handler.setFormatter(Logfmter())
    assert lines_of(handler, read, "a", "b", "c") == bytes(PIPE_PAGE) and handler.lost == 3
    assert b"lines_lost=3" in lines_of(handler, read, "d")
    assert b"lines_lost" not in lines_of(handler, read, "e")
    os.close(read)
    os.close(write)


def test_line_that_went_out_in_part_does_not_spoil_the_next(monkeypatch):
    read, write = os.pipe()
    handler, system_write = NonBlockingHandler(write), os.write
    monkeypatch.setattr(log_output.os, "write", lambda to, text: system_write(to, text[:3]))
    handler.emit(logging.makeLogRecord({"msg": "cut off"}))
    monkeypatch.undo()
    handler.emit(logging.makeLogRecord({"msg": "whole"}))
    assert os.read(read, 100) == b"cut\nwhole\n"
    os.close(read)
    os.close(write)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EPIPE, errno.EBADF, errno.EDQUOT])
def test_line_that_the_system_refuses_is_lost_and_nothing_else(monkeypatch, error):
    def refuse(to, text):
        raise OSError(error, os.strerror(error))

    with open(os.devnull, "wb") as file:
        handler = NonBlockingHandler(file.fileno())
        monkeypatch.setattr(log_output.os, "write", refuse)
        handler.emit(logging.makeLogRecord({"msg": "a"}))
        assert handler.lost == 1


def test_long_line_keeps_both_of_its_ends():
    line = b"begin " + b"x" * 9000 + b" end"
    short = shorten(line, MAX_LINE_BYTES)
    assert len(short) <= MAX_LINE_BYTES and short.startswith(b"begin ") and short.endswith(b" end")
    assert shorten(line[:50], 50) == line[:50]
