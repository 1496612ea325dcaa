"""The end of an agent and of its clients' connections, with bytes that come in the very moment of it.

A stand-in puts the bytes on the wire between the last look and the close, so the bad order comes every time.
No sleep decides a verdict.
"""

import json
import os
import subprocess
import sys

import gevent
import pytest
from gevent import socket

from cartdeal.agent import front
from cartdeal.agent.front import ClientConnection
from tests.scene import Deployment, answered, config_file, until, worded

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    yield made
    made.stop()


unread = ClientConnection.unread


def arrive(connection, client, path):
    """A request is sent and lies unread at the agent's end; no greenlet runs meanwhile."""
    connection.sock.sendall(worded(path, "POST"))
    while not unread(client):
        pass


@pytest.fixture
def crosses(monkeypatch):
    """`crosses(connection)`: a request arrives right after the next look that found nothing unread."""
    waiting = []

    def looked(client):
        seen = unread(client)
        if not seen and waiting:
            arrive(waiting.pop(), client, "/once/crossing")
        return seen

    monkeypatch.setattr(ClientConnection, "unread", looked)
    return waiting.append


def ends_in_order(deployment, connection):
    """The client sees an end and no reset, and what crossed it was not taken."""
    return answered(connection) is None and "/once/crossing" not in deployment.seen()


@pytest.mark.parametrize(
    "asked, end",
    [
        (True, lambda agent: agent.close_idle()),
        (False, lambda agent: agent.close_unidentified()),
        (True, lambda agent: agent.close_between()),
        (True, lambda agent: None),
    ],
)
def test_request_that_crosses_the_end_of_a_resting_connection(deployment, crosses, monkeypatch, asked, end):
    agent, connection = deployment.agent.front, deployment.connect()
    until(lambda: agent.clients)
    if asked:
        assert deployment.ask(connection=connection)[0] == 200
    crosses(connection)
    end(agent)
    monkeypatch.setattr(front, "IDLE_TIMEOUT", 0.0)  # the sweep, where nobody else did
    assert ends_in_order(deployment, connection)
    connection.close()
    until(lambda: not agent.lingering)


def test_request_that_crosses_the_last_answer(deployment, crosses, monkeypatch):
    monkeypatch.setattr(front, "LINGER_TIMEOUT", 60.0)
    agent, connection = deployment.agent.front, deployment.connect()
    assert deployment.ask(connection=connection)[0] == 200
    agent.ending = True
    crosses(connection)
    assert deployment.ask(connection=connection) == (200, b"s0 ")
    for _ in "ab":  # a closed connection would break under the second
        connection.sock.sendall(worded("/once/crossing", "POST"))
    assert ends_in_order(deployment, connection)


def test_request_that_crosses_an_answer_its_client_called_the_last(deployment, monkeypatch):
    connection, push = deployment.connect(), ClientConnection.push

    def crossed(client, data, last=False):
        arrive(connection, client, "/once/crossing")
        push(client, data, last)

    monkeypatch.setattr(ClientConnection, "push", crossed)
    assert deployment.ask(connection=connection, Connection="close") == (200, b"s0 ")
    assert ends_in_order(deployment, connection)


def test_request_unread_as_the_agent_closes_is_answered(deployment, crosses, monkeypatch):
    agent, connection, between = (
        deployment.agent.front,
        deployment.connect(),
        ClientConnection.is_between_requests,
    )
    assert deployment.ask(connection=connection)[0] == 200
    crossed = []

    def arrives(client):
        if between(client) and not crossed:
            crossed.append(client)
            arrive(connection, client, "/once/late")
            return True
        return between(client)

    monkeypatch.setattr(ClientConnection, "is_between_requests", arrives)
    agent.close(0.0)
    assert answered(connection) == (200, b"s0 ") and answered(connection) is None


def test_requests_read_before_the_end_are_all_answered(deployment):
    agent, connection = deployment.agent.front, deployment.connect()
    connection.sock.sendall(b"".join(worded(f"/once/{n}?do=wait", "POST") for n in range(3)))
    until(deployment.seen)
    agent.ending = agent.closing = True
    deployment.servers[0].released.set()
    assert [answered(connection) for _ in range(4)] == [(200, b"waited")] * 3 + [None]


def test_request_of_which_half_has_come_at_the_end_is_answered_when_it_is_whole(deployment):
    agent, connection, text = deployment.agent.front, deployment.connect(), worded()
    assert deployment.ask(connection=connection)[0] == 200
    connection.sock.sendall(text[:9])
    client = next(iter(agent.clients))
    until(lambda: client.mid_message)
    agent.close(0.0)
    connection.sock.sendall(text[9:])
    assert answered(connection) == (200, b"s0 ") and answered(connection) is None


def test_answer_of_which_half_is_through_at_the_end_comes_whole(deployment):
    agent, connection, body = deployment.agent.front, deployment.connect(), bytes(65000)
    until(lambda: agent.clients)
    client = next(iter(agent.clients))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    for place in range(8):  # more than what the system takes at once
        connection.sock.sendall(worded(f"/mark/{place}", "POST", body, Idempotency_Key="k"))
    until(lambda: client.writer and len(client.messages) + len(deployment.seen()) == 8)
    agent.close(0.0)
    assert client.writer and not client.half_closed
    assert [answered(connection) for _ in range(8)] == [(200, b"s0 " + body)] * 8
    assert answered(connection) is None


def test_nothing_behind_a_request_called_the_last_is_taken(deployment):
    connection = deployment.connect()
    connection.sock.sendall(worded("/read/x", Connection="close") + worded("/once/behind", "POST"))
    assert answered(connection) == (200, b"s0 ") and answered(connection) is None
    assert deployment.seen() == ["/read/x"] and not deployment.agent.reducer.requests


@pytest.mark.parametrize("requests", [1, 16, 40, 400])
def test_of_clients_that_send_much_and_go_at_once_nothing_goes_on(deployment, requests):
    agent = deployment.agent.front
    for _ in range(20):
        connection = deployment.connect()
        connection.sock.sendall(b"".join(worded("/once/x", "POST") for _ in range(requests)))
        connection.sock.shutdown(socket.SHUT_RDWR)  # at once; a close waits for the loop
        connection.close()
    until(lambda: not (agent.clients or agent.lingering or deployment.agent.reducer.requests))
    until(lambda: not deployment.agent.upstream.out)
    assert deployment.ask() == (200, b"s0 ") and deployment.seen() == ["/read/x"]


def refused(deployment):
    connection = deployment.connect()
    connection.sock.sendall(b"no request\r\n\r\n")
    assert answered(connection)[0] == 400 and answered(connection) is None
    return connection


def test_lingering_clients_are_bounded_in_number_and_give_way_when_room_is_needed(deployment, monkeypatch):
    monkeypatch.setattr(front, "LINGER_TIMEOUT", 60.0)
    agent, room = deployment.agent.front, deployment.agent.budget
    kept = [refused(deployment) for _ in range(3)]
    assert len(agent.lingering) == 3 and not agent.clients and not agent.unidentified
    room.most = 3  # they hold all of it
    assert deployment.ask("/health/ready") == (200, b"")
    room.most = 2 * front.LINGERING_DIVISOR
    kept += [refused(deployment) for _ in range(5)]
    assert len(agent.lingering) <= 2 and room.used <= 5  # another, one to come, and the one that asked
    for each in kept:
        each.close()
    until(lambda: not agent.lingering)


def test_lingering_clients_are_bounded_in_bytes_and_in_time(deployment, monkeypatch):
    agent, connection = deployment.agent.front, refused(deployment)
    monkeypatch.setattr(front, "LINGER_TIMEOUT", 60.0)
    until(lambda: agent.lingering)
    with pytest.raises(OSError):
        for _ in range(1000):
            connection.sock.sendall(bytes(65536))
    assert not agent.lingering
    connection = refused(deployment)
    monkeypatch.setattr(front, "LINGER_TIMEOUT", 0.0)
    until(lambda: not agent.lingering)


def test_clients_that_wait_at_the_door_when_it_closes_come_in(deployment):
    agent = deployment.agent.front
    deployment.agent.background_tasks[3].kill()  # it lets nobody in any more: they stay in the queue
    waiting = [deployment.connect() for _ in range(20)]
    for each in waiting:
        each.sock.sendall(worded())
    agent.stop_accepting()
    assert [answered(each) for each in waiting] == [(200, b"s0 ")] * 20
    with pytest.raises(ConnectionError):
        deployment.connect()


SIGNALLED = """
import os, signal, socket, sys
from cartdeal.agent import start

class Effects(start.Effects):
    def __init__(self, *args):
        super().__init__(*args)
        here["client"] = socket.create_connection(("127.0.0.1", self.front.port))
        here["client"].sendall(b"GET /health/ready HTTP/1.1\\r\\nConnection: close\\r\\n\\r\\n")
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)

    def reload(self):
        here["reread"] = True

    def begin_handover(self):
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)

here, start.Effects = {}, Effects
status = start.main()
here["client"].settimeout(5)
print(status, here["client"].recv(4096).split()[1].decode())
"""


def run(tmp_path, words, **more):
    file = tmp_path / "agent.json"
    file.write_text(json.dumps(config_file()))
    return subprocess.run(
        [sys.executable, *words],
        capture_output=True,
        timeout=60,
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(file), **more},
    )


def test_agent_told_to_end_between_its_port_and_its_first_wait_answers_and_ends_in_order(tmp_path):
    done = run(tmp_path, ["-c", SIGNALLED])
    assert done.returncode == 0, done
    assert done.stdout.split() in ([b"0", b"200"], [b"0", b"503"])


def test_new_configuration_told_while_the_agent_starts_is_read(tmp_path):
    once = SIGNALLED.replace("os.kill(os.getpid(), signal.SIGTERM)\n\n    def reread", "\n    def reread")
    once = once.replace("= True", "= True; os.kill(os.getpid(), signal.SIGTERM)")
    done = run(tmp_path, ["-c", once + "assert here['reread']"])
    assert done.returncode == 0, done


def test_agent_told_to_end_while_it_imports_ends_in_order(tmp_path):
    (tmp_path / "logfmter.py").write_text(
        "import logging, os, signal\n"
        "os.kill(os.getpid(), signal.SIGTERM)\n"
        "class Logfmter(logging.Formatter):\n"
        "    def __init__(self, **terms):\n"
        "        super().__init__()\n"
    )
    done = run(tmp_path, ["-m", "cartdeal"], PYTHONPATH=str(tmp_path))
    assert done.returncode == 0 and b"ended" in done.stderr, done


def test_agent_that_ends_leaves_no_reset_behind(deployment, crosses):
    """Its last look is taken for an exit, too: what lies unread then would reset the last answer."""
    agent, connection = deployment.agent.front, deployment.connect()
    until(lambda: agent.clients)
    arrive(connection, next(iter(agent.clients)), "/once/crossing")
    agent.finish()
    for _ in range(20):
        gevent.sleep(0)  # the loop closes descriptors that a greenlet waits on
    assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    assert ends_in_order(deployment, connection) and not agent.clients and not agent.lingering


def test_every_accepted_connection_writes_without_delay(deployment):
    connection = deployment.connect()
    assert deployment.ask(connection=connection)[0] == 200
    client = next(iter(deployment.agent.front.clients))
    assert client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
