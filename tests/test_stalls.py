"""An agent that stalls: its process is stopped, or the machine gives it no CPU time."""

import json
import os
import re
import signal
import sys
from time import monotonic

import gevent
import pytest
from gevent import socket, subprocess

from cartdeal.agent import stalls
from cartdeal.agent.stalls import StallDetector
from examples.toy import DiscoveryService, Server
from tests.scene import SETTINGS, Client, Deployment, config_file, encode_request, read_answer, until

STALL_S = 1.0
TOLERANCE_S = 0.15  # by which the timeout sent to a server may exceed what its client has left
PORT_PATTERN = re.compile(rb"msg=serving .*port=(\d+)")


@pytest.fixture
def agent(tmp_path):
    """An agent's process, its port for clients, and its only server."""
    server = Server("s0")
    file = tmp_path / "agent.json"
    known = {"rev": 1, "all": True, "targets": [server.list_entry()]}
    file.write_text(json.dumps(config_file(known=known)))
    process = subprocess.Popen(
        [sys.executable, "-m", "cartdeal"],
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(file)},
    )
    while not (match := PORT_PATTERN.search(process.stderr.readline())):
        assert process.poll() is None
    yield process, int(match[1]), server
    process.send_signal(signal.SIGCONT)
    process.kill()
    process.wait()
    server.stop()


def connect(port):
    return Client(socket.create_connection(("127.0.0.1", port)), reads_responses=True)


@pytest.mark.parametrize("connections", ["known", "new"])
def test_timeout_runs_while_the_agent_is_stalled(agent, bounded, connections):
    process, port, server = agent
    client = connect(port)
    if connections == "known":
        client.sock.sendall(encode_request())
        assert read_answer(client)[0] == 200
    os.kill(process.pid, signal.SIGSTOP)
    client.sock.sendall(encode_request("/once/long", "POST", X_Timeout="2000m"))
    short_client = connect(port)
    short_client.sock.sendall(encode_request("/once/short", "POST", X_Timeout="500m"))
    sent_at = monotonic()
    until(lambda: monotonic() >= sent_at + STALL_S)
    os.kill(process.pid, signal.SIGCONT)
    assert read_answer(client)[0] == 200
    assert read_answer(short_client)[0] == 503
    (sent_timeout,) = [
        each.headers[b"x-timeout"] for each in server.received_requests if each.path == b"/once/long"
    ]
    assert int(sent_timeout[:-1]) / 1e3 <= 2.0 - STALL_S + TOLERANCE_S


def test_detector_distinguishes_a_stall_from_normal_load(monkeypatch):
    now, stalls_since = [100.0], []
    monkeypatch.setattr(stalls, "monotonic", lambda: now[0])
    detector = StallDetector()
    detector.listeners.append(stalls_since.append)

    def earliest_arrival(at):
        now[0] = at
        return detector.earliest_arrival(at)

    assert earliest_arrival(100.14) == 100.14  # the heartbeat is late by less than MIN_STALL_S
    detector.beat()
    assert earliest_arrival(100.2) == 100.2 and not stalls_since
    assert earliest_arrival(101.0) == 100.14  # read before the late heartbeat
    detector.beat()
    # The listeners have been called, so the stall is over.
    assert stalls_since == [100.14] and earliest_arrival(101.04) == 101.04


def test_unread_input_is_dated_before_a_stall(tmp_path, bounded):
    """Input of connected clients, and of those in the listen queue, counts from before the stall.

    The timeouts of their requests run from then, however late the input is read.
    """
    deployment = Deployment(tmp_path)
    try:
        agent = deployment.agent
        front, timeouts, dispatch = agent.front, {}, agent.front.dispatch

        def record_timeout(event, client, request=None, *arguments):
            if event == "on_request":
                timeouts[request.path] = request.timeout
            dispatch(event, client, *([] if request is None else [request]), *arguments)

        front.dispatch = record_timeout
        connected = deployment.connect()
        assert deployment.ask(connection=connected)[0] == 200
        agent.background_tasks[3].kill()  # it accepts: new clients stay in the listen queue
        waiting = [deployment.connect() for _ in range(3)]
        for number, client in enumerate((connected, *waiting)):
            client.sock.sendall(encode_request(f"/read/{number}", X_Timeout="10000m"))
        agent.stalls.listeners[0](monotonic() - 4.0)
        accepting = gevent.spawn(front.accept)
        assert [read_answer(client)[0] for client in (connected, *waiting)] == [200] * 4
        assert all(timeouts[b"/read/%d" % number] < 6.0 for number in range(4)), timeouts
        late = deployment.connect()
        assert deployment.ask("/read/late", connection=late, X_Timeout="10000m")[0] == 200
        assert deployment.ask("/read/next", connection=connected, X_Timeout="10000m")[0] == 200
        assert timeouts[b"/read/late"] > 9.0 and timeouts[b"/read/next"] > 9.0
        accepting.kill()
    finally:
        deployment.stop()


def test_drain_during_a_stall_is_read_before_requests_are_sent(tmp_path, bounded):
    """The list update and the requests are unread at the same time; a draining server gets no request."""
    servers = [Server(f"s{number}") for number in range(2)]
    service = DiscoveryService()
    service.entries = {each.name: each.list_entry() for each in servers}
    file = tmp_path / "agent.json"
    known = {"rev": 1, "all": True, "targets": list(service.entries.values())}
    settings = SETTINGS | {"discovery": "pushed"}
    file.write_text(json.dumps(config_file(known=known, discovery=service.address, settings=settings)))
    process = subprocess.Popen(
        [sys.executable, "-m", "cartdeal"],
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(file)},
    )
    try:
        while not (match := PORT_PATTERN.search(process.stderr.readline())):
            assert process.poll() is None
        until(lambda: service.watches)
        clients = [connect(int(match[1])) for _ in range(20)]
        for client in clients:
            client.sock.sendall(encode_request())
            assert read_answer(client)[0] == 200
        drained = max(servers, key=lambda server: len(server.received_requests))
        os.kill(process.pid, signal.SIGSTOP)
        served_before = len(drained.received_requests)
        for client in clients:
            client.sock.sendall(encode_request())
        service.send_update(drained.list_entry(state="leaving"))
        os.kill(process.pid, signal.SIGCONT)
        assert {read_answer(client)[0] for client in clients} == {200}
        assert len(drained.received_requests) == served_before
    finally:
        process.kill()
        process.wait()
        for each in (*servers, service):
            each.stop()
