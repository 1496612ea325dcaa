"""The end of an agent and of its clients' connections, with requests that cross it.

The tests replace methods to send a request between the agent's last check for input and its close, so that
the bad order occurs in each run. No result depends on a sleep.
"""

import json
import os
import subprocess
import sys

import gevent
import pytest
from gevent import socket

from cartdeal.agent import client_connection, front
from cartdeal.agent.client_connection import ClientConnection
from tests.scene import Deployment, config_file, encode_request, read_answer, until

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.stop()


has_unread_input = ClientConnection.has_unread_input


def arrive(connection, client, path):
    """Sends a request and waits until it is unread at the agent's end; no other greenlet runs meanwhile."""
    connection.sock.sendall(encode_request(path, "POST"))
    while not has_unread_input(client):
        pass


@pytest.fixture
def crosses(monkeypatch):
    """`crosses(connection)`: a request arrives right after the next check that finds no unread input."""
    waiting = []

    def check_then_send(client):
        is_unread = has_unread_input(client)
        if not is_unread and waiting:
            arrive(waiting.pop(), client, "/once/crossing")
        return is_unread

    monkeypatch.setattr(ClientConnection, "has_unread_input", check_then_send)
    return waiting.append


def ends_in_order(deployment, connection):
    """Whether the client sees an orderly end without a reset, and the crossing request was not sent on."""
    return read_answer(connection) is None and "/once/crossing" not in deployment.received_paths()


@pytest.mark.parametrize(
    "is_identified, end",
    [
        (True, lambda agent: agent.close_idle()),
        (False, lambda agent: agent.close_unidentified()),
        (True, lambda agent: agent.close_between_requests()),
        (True, lambda agent: None),
    ],
)
def test_request_crossing_the_close_of_an_idle_connection_is_not_reset(
    deployment, crosses, monkeypatch, is_identified, end
):
    agent, connection = deployment.agent.front, deployment.connect()
    until(lambda: agent.clients)
    if is_identified:
        assert deployment.ask(connection=connection)[0] == 200
    crosses(connection)
    end(agent)
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.0)  # the sweep ends it if nothing else did
    assert ends_in_order(deployment, connection)
    connection.close()
    until(lambda: not agent.lingering)


def test_request_crossing_the_last_answer_does_not_reset_it(deployment, crosses, monkeypatch):
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 60.0)
    agent, connection = deployment.agent.front, deployment.connect()
    assert deployment.ask(connection=connection)[0] == 200
    agent.is_ending = True
    crosses(connection)
    assert deployment.ask(connection=connection) == (200, b"s0 ")
    for _ in "ab":  # a write to a closed connection would fail at the second one
        connection.sock.sendall(encode_request("/once/crossing", "POST"))
    assert ends_in_order(deployment, connection)


def test_request_crossing_an_answer_with_connection_close_is_ignored(deployment, monkeypatch):
    connection, write = deployment.connect(), ClientConnection.write

    def send_then_write(client, data, is_last=False):
        arrive(connection, client, "/once/crossing")
        write(client, data, is_last)

    monkeypatch.setattr(ClientConnection, "write", send_then_write)
    assert deployment.ask(connection=connection, Connection="close") == (200, b"s0 ")
    assert ends_in_order(deployment, connection)


def test_unread_request_at_shutdown_is_answered(deployment, crosses, monkeypatch):
    agent, connection, is_between_requests = (
        deployment.agent.front,
        deployment.connect(),
        ClientConnection.is_between_requests,
    )
    assert deployment.ask(connection=connection)[0] == 200
    checked = []

    def check_then_send(client):
        if is_between_requests(client) and not checked:
            checked.append(client)
            arrive(connection, client, "/once/late")
            return True
        return is_between_requests(client)

    monkeypatch.setattr(ClientConnection, "is_between_requests", check_then_send)
    agent.close(0.0)
    assert read_answer(connection) == (200, b"s0 ") and read_answer(connection) is None


def test_requests_read_before_shutdown_are_all_answered(deployment):
    agent, connection = deployment.agent.front, deployment.connect()
    connection.sock.sendall(b"".join(encode_request(f"/once/{n}?do=wait", "POST") for n in range(3)))
    until(deployment.received_paths)
    agent.is_ending = agent.is_closing_idle = True
    deployment.servers[0].released.set()
    assert [read_answer(connection) for _ in range(4)] == [(200, b"waited")] * 3 + [None]


def test_partial_request_at_shutdown_is_answered_when_complete(deployment):
    agent, connection, request = deployment.agent.front, deployment.connect(), encode_request()
    assert deployment.ask(connection=connection)[0] == 200
    connection.sock.sendall(request[:9])
    client = next(iter(agent.clients))
    until(lambda: client.mid_message)
    agent.close(0.0)
    connection.sock.sendall(request[9:])
    assert read_answer(connection) == (200, b"s0 ") and read_answer(connection) is None


def test_partly_written_answer_at_shutdown_is_completed(deployment):
    agent, connection, body = deployment.agent.front, deployment.connect(), bytes(65000)
    until(lambda: agent.clients)
    client = next(iter(agent.clients))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    for number in range(8):  # more than the system's buffers take
        connection.sock.sendall(encode_request(f"/mark/{number}", "POST", body, Idempotency_Key="k"))
    until(lambda: client.writer and client.has_full_queue())
    agent.close(0.0)
    assert client.writer and not client.half_closed
    assert [read_answer(connection) for _ in range(8)] == [(200, b"s0 " + body)] * 8
    assert read_answer(connection) is None


def test_requests_after_connection_close_are_ignored(deployment):
    connection = deployment.connect()
    connection.sock.sendall(
        encode_request("/read/x", Connection="close") + encode_request("/once/behind", "POST")
    )
    assert read_answer(connection) == (200, b"s0 ") and read_answer(connection) is None
    assert deployment.received_paths() == ["/read/x"] and not deployment.agent.reducer.requests


@pytest.mark.parametrize("requests", [1, 16, 40, 400])
def test_requests_of_clients_that_disconnect_at_once_are_not_sent(deployment, requests):
    agent = deployment.agent.front
    for _ in range(20):
        connection = deployment.connect()
        connection.sock.sendall(b"".join(encode_request("/once/x", "POST") for _ in range(requests)))
        connection.sock.shutdown(
            socket.SHUT_RDWR
        )  # takes effect at once, while a close waits for the event loop
        connection.close()
    until(lambda: not (agent.clients or agent.lingering or deployment.agent.reducer.requests))
    until(lambda: not deployment.agent.upstream.attempts)
    assert deployment.ask() == (200, b"s0 ") and deployment.received_paths() == ["/read/x"]


def refused_connection(deployment):
    """A connection whose bad request has been refused."""
    connection = deployment.connect()
    connection.sock.sendall(b"no request\r\n\r\n")
    assert read_answer(connection)[0] == 400 and read_answer(connection) is None
    return connection


def test_lingering_clients_are_limited_in_number_and_closed_for_capacity(deployment, monkeypatch):
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 60.0)
    agent, budget = deployment.agent.front, deployment.agent.budget
    connections = [refused_connection(deployment) for _ in range(3)]
    assert len(agent.lingering) == 3 and not agent.clients and not agent.unidentified
    budget.max_connections = 3  # the lingering connections use up the budget
    assert deployment.ask("/health/ready") == (200, b"")
    budget.max_connections = 2 * front.LINGERING_DIVISOR
    connections += [refused_connection(deployment) for _ in range(5)]
    # Besides those: another client, the reservation for the next one, and the client of the request above.
    assert len(agent.lingering) <= 2 and budget.connection_count <= 5
    for each in connections:
        each.close()
    until(lambda: not agent.lingering)


def test_lingering_clients_are_limited_in_bytes_and_time(deployment, monkeypatch):
    agent, connection = deployment.agent.front, refused_connection(deployment)
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 60.0)
    until(lambda: agent.lingering)
    with pytest.raises(OSError):
        for _ in range(1000):
            connection.sock.sendall(bytes(65536))
    assert not agent.lingering
    connection = refused_connection(deployment)
    monkeypatch.setattr(client_connection, "LINGER_TIMEOUT_S", 0.0)
    until(lambda: not agent.lingering)


def test_queued_clients_are_accepted_when_the_listener_closes(deployment):
    agent = deployment.agent.front
    deployment.agent.background_tasks[
        3
    ].kill()  # the greenlet that accepts: new clients stay in the listen queue
    waiting = [deployment.connect() for _ in range(20)]
    for each in waiting:
        each.sock.sendall(encode_request())
    agent.stop_accepting()
    assert [read_answer(each) for each in waiting] == [(200, b"s0 ")] * 20
    with pytest.raises(ConnectionError):
        deployment.connect()


def test_clients_that_keep_connecting_do_not_hold_up_the_shutdown(deployment, monkeypatch, busy_loop_bounded):
    """Guards against a shutdown that accepts clients without a yield for as long as more of them come."""
    agent = deployment.agent.front
    monkeypatch.setattr(agent, "accept_queued_client", lambda deadline: True)
    monkeypatch.setattr(deployment.agent.budget, "acquire", lambda: True)
    agent.stop_accepting()
    with pytest.raises(ConnectionError):
        deployment.connect()


SIGNALLED_AGENT = """
import os, signal, socket, sys
from cartdeal.agent import start

class Effects(start.Effects):
    def __init__(self, *args):
        super().__init__(*args)
        state["client"] = socket.create_connection(("127.0.0.1", self.front.port))
        state["client"].sendall(b"GET /health/ready HTTP/1.1\\r\\nConnection: close\\r\\n\\r\\n")
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)

    def reload(self):
        state["reloaded"] = True

    def begin_handover(self):
        os.kill(os.getpid(), signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGHUP)

state, start.Effects = {}, Effects
status = start.main()
state["client"].settimeout(5)
print(status, state["client"].recv(4096).split()[1].decode())
"""


def run(tmp_path, arguments, **variables):
    """Runs Python with these arguments and environment variables, and the configuration of an agent."""
    file = tmp_path / "agent.json"
    file.write_text(json.dumps(config_file()))
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        timeout=60,
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(file), **variables},
    )


def test_sigterm_right_after_the_port_opens_ends_the_agent_in_order(tmp_path):
    process = run(tmp_path, ["-c", SIGNALLED_AGENT])
    assert process.returncode == 0, process
    assert process.stdout.split() in ([b"0", b"200"], [b"0", b"503"])


def test_sighup_during_the_start_reloads_the_configuration(tmp_path):
    program = SIGNALLED_AGENT.replace(
        "os.kill(os.getpid(), signal.SIGTERM)\n\n    def reload", "\n    def reload"
    )
    program = program.replace("= True", "= True; os.kill(os.getpid(), signal.SIGTERM)")
    process = run(tmp_path, ["-c", program + "assert state['reloaded']"])
    assert process.returncode == 0, process


def test_sigterm_during_imports_ends_the_agent_in_order(tmp_path):
    (tmp_path / "logfmter.py").write_text(
        "import logging, os, signal\n"
        "os.kill(os.getpid(), signal.SIGTERM)\n"
        "class Logfmter(logging.Formatter):\n"
        "    def __init__(self, **terms):\n"
        "        super().__init__()\n"
    )
    process = run(tmp_path, ["-m", "cartdeal"], PYTHONPATH=str(tmp_path))
    assert process.returncode == 0 and b"ended" in process.stderr, process


def test_agent_exit_resets_no_connection(deployment, crosses):
    """Input that is unread when the process exits would reset the connection and lose the last answer."""
    agent, connection = deployment.agent.front, deployment.connect()
    until(lambda: agent.clients)
    arrive(connection, next(iter(agent.clients)), "/once/crossing")
    agent.close_all()
    for _ in range(20):
        gevent.sleep(0)  # the event loop closes descriptors that a greenlet waits on
    assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    assert ends_in_order(deployment, connection) and not agent.clients and not agent.lingering


def test_accepted_connections_have_tcp_nodelay(deployment):
    connection = deployment.connect()
    assert deployment.ask(connection=connection)[0] == 200
    client = next(iter(deployment.agent.front.clients))
    assert client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
