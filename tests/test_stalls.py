"""An agent that is held up: its process is stopped, or the machine gives it no time."""

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
from tests.scene import SETTINGS, Client, Deployment, answered, config_file, until, worded

HELD_UP = 1.0  # seconds
SLACK = 0.15  # seconds by which the time told to a server may exceed what its client has left
PORT = re.compile(rb"msg=serving .*port=(\d+)")


@pytest.fixture
def agent(tmp_path):
    """A process, the port where it takes clients, and its one server."""
    server = Server("s0")
    file = tmp_path / "agent.json"
    known = {"rev": 1, "all": True, "targets": [server.line()]}
    file.write_text(json.dumps(config_file(known=known)))
    process = subprocess.Popen(
        [sys.executable, "-m", "cartdeal"],
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(file)},
    )
    while not (found := PORT.search(process.stderr.readline())):
        assert process.poll() is None
    yield process, int(found[1]), server
    process.send_signal(signal.SIGCONT)
    process.kill()
    process.wait()
    server.stop()


def connect(port):
    return Client(socket.create_connection(("127.0.0.1", port)), answers=True)


@pytest.mark.parametrize("connections", ["known", "new"])
def test_time_of_a_request_runs_while_the_agent_is_held_up(agent, bounded, connections):
    process, port, server = agent
    client = connect(port)
    if connections == "known":
        client.sock.sendall(worded())
        assert answered(client)[0] == 200
    os.kill(process.pid, signal.SIGSTOP)
    client.sock.sendall(worded("/once/long", "POST", X_Timeout="2000m"))
    hurried = connect(port)
    hurried.sock.sendall(worded("/once/short", "POST", X_Timeout="500m"))
    sent_at = monotonic()
    until(lambda: monotonic() >= sent_at + HELD_UP)
    os.kill(process.pid, signal.SIGCONT)
    assert answered(client)[0] == 200
    assert answered(hurried)[0] == 503
    (told,) = [each.headers[b"x-timeout"] for each in server.seen if each.path == b"/once/long"]
    assert int(told[:-1]) / 1e3 <= 2.0 - HELD_UP + SLACK


def test_detector_tells_a_late_heartbeat_from_an_agent_at_work(monkeypatch):
    now, told = [100.0], []
    monkeypatch.setattr(stalls, "monotonic", lambda: now[0])
    detector = StallDetector()
    detector.listeners.append(told.append)

    def came_since(at):
        now[0] = at
        return detector.came_since(at)

    assert came_since(100.14) == 100.14  # the heartbeat is late by less than what is noticed
    detector.beat()
    assert came_since(100.2) == 100.2 and not told
    assert came_since(101.0) == 100.14  # read before the heartbeat that is late
    detector.beat()
    assert told == [100.14] and came_since(101.04) == 101.04  # the others were told


def test_all_that_lay_unread_counts_from_before_the_agent_was_held_up(tmp_path, bounded):
    """However long it takes to read it: clients that are here, and those that wait at the door."""
    deployment = Deployment(tmp_path)
    try:
        agent = deployment.agent
        front, taken, dispatch = agent.front, {}, agent.front.dispatch

        def watched(event, client, request=None, *about):
            if event == "on_request":
                taken[request.path] = request.timeout
            dispatch(event, client, *([] if request is None else [request]), *about)

        front.dispatch = watched
        here = deployment.connect()
        assert deployment.ask(connection=here)[0] == 200
        agent.background_tasks[3].kill()  # the door: its clients stay in the queue
        waiting = [deployment.connect() for _ in range(3)]
        for number, client in enumerate((here, *waiting)):
            client.sock.sendall(worded(f"/read/{number}", X_Timeout="10000m"))
        agent.stalls.listeners[0](monotonic() - 4.0)
        door = gevent.spawn(front.accept)
        assert [answered(client)[0] for client in (here, *waiting)] == [200] * 4
        assert all(taken[b"/read/%d" % number] < 6.0 for number in range(4)), taken
        late = deployment.connect()
        assert deployment.ask("/read/late", connection=late, X_Timeout="10000m")[0] == 200
        assert deployment.ask("/read/next", connection=here, X_Timeout="10000m")[0] == 200
        assert taken[b"/read/late"] > 9.0 and taken[b"/read/next"] > 9.0
        door.kill()
    finally:
        deployment.stop()


def test_drain_that_was_told_while_the_agent_was_held_up_is_heard_before_anything_goes_out(tmp_path, bounded):
    """The list and the requests lie unread side by side; no server that drains has one of them."""
    servers = [Server(f"s{number}") for number in range(2)]
    service = DiscoveryService()
    service.lines = {each.name: each.line() for each in servers}
    file = tmp_path / "agent.json"
    known = {"rev": 1, "all": True, "targets": list(service.lines.values())}
    settings = SETTINGS | {"discovery": "pushed"}
    file.write_text(json.dumps(config_file(known=known, discovery=service.address, settings=settings)))
    process = subprocess.Popen(
        [sys.executable, "-m", "cartdeal"],
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(file)},
    )
    try:
        while not (found := PORT.search(process.stderr.readline())):
            assert process.poll() is None
        until(lambda: service.watches)
        clients = [connect(int(found[1])) for _ in range(20)]
        for client in clients:
            client.sock.sendall(worded())
            assert answered(client)[0] == 200
        drained = max(servers, key=lambda server: len(server.seen))
        os.kill(process.pid, signal.SIGSTOP)
        before = len(drained.seen)
        for client in clients:
            client.sock.sendall(worded())
        service.tell(drained.line(state="leaving"))
        os.kill(process.pid, signal.SIGCONT)
        assert {answered(client)[0] for client in clients} == {200}
        assert len(drained.seen) == before
    finally:
        process.kill()
        process.wait()
        for each in (*servers, service):
            each.stop()
