"""Clients that write slowly, stop in the middle of a request, or pipeline requests.

The tests replace the front's clock, and run its search for overdue connections themselves.
"""

import gevent
import pytest
from gevent import socket

from cartdeal.agent import client_connection, front, request_parser
from cartdeal.agent.upstream import SPARE_DIVISOR
from tests.scene import Deployment, encode_request, read_answer, until

PIECE_COUNT = 8
SWEEP_STEP_S = 0.2  # between two searches for overdue connections


class Clock:
    """A clock in seconds that only the test advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class CountingConnection(client_connection.ClientConnection):
    """Counts its reads."""

    reads = 0

    def receive(self, timeout_s):
        is_open = super().receive(timeout_s)
        self.reads += 1
        return is_open


@pytest.fixture
def clock(monkeypatch):
    monkeypatch.setattr(front, "ClientConnection", CountingConnection)
    clock = Clock()
    for module in (front, client_connection, request_parser):
        monkeypatch.setattr(module, "monotonic", clock)
    monkeypatch.setattr(front.StallDetector, "earliest_arrival", lambda detector, now: now)
    monkeypatch.setattr(front, "SWEEP_INTERVAL_S", 1e6)
    return clock


@pytest.fixture
def deployment(tmp_path, bounded):
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.stop()


def pass_time(deployment, clock, duration_s):
    """Advances the clock in steps, and closes overdue connections after each."""
    end = clock.now + duration_s
    while clock.now < end:
        clock.now = min(end, clock.now + SWEEP_STEP_S)
        deployment.agent.front.close_overdue()


def connect_client(deployment, known):
    """A connection, identified if `known`, and the agent's end of it."""
    connection = deployment.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # each piece is sent on its own
    if known:
        assert deployment.ask(connection=connection)[0] == 200
    until(lambda: deployment.agent.front.clients)
    (client,) = deployment.agent.front.clients
    return connection, client


def write(connection, client, text):
    """Sends some bytes and waits until the front has read them."""
    reads = client.reads
    connection.sock.sendall(text)
    until(lambda: client.reads > reads)


def write_slowly(deployment, clock, connection, client, text, duration_s):
    step = -(-len(text) // PIECE_COUNT)
    for start in range(0, len(text), step):
        write(connection, client, text[start : start + step])
        if start + step < len(text):
            pass_time(deployment, clock, duration_s / (PIECE_COUNT - 1))


@pytest.mark.parametrize(
    "known, seconds", [(known, seconds) for known in (False, True) for seconds in (1.9, 2.4, 2.8, 4.5)]
)
def test_slowly_written_request_is_answered(deployment, clock, known, seconds):
    connection, client = connect_client(deployment, known)
    text = encode_request("/once/x", "POST", b"b" * 40)
    write_slowly(deployment, clock, connection, client, text, seconds)
    assert read_answer(connection) == (200, b"s0 " + b"b" * 40)


@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("size", [1, 9, -1])
def test_partial_request_is_answered_with_an_error_within_3_s(deployment, clock, known, size):
    connection, client = connect_client(deployment, known)
    write(connection, client, encode_request("/once/x", "POST", b"body")[:size])
    pass_time(deployment, clock, 3.0)
    assert read_answer(connection)[0] == 408 and read_answer(connection) is None
    assert not deployment.received_paths()[known:]


def test_endless_request_is_answered_with_an_error_in_time(deployment, clock):
    connection, client = connect_client(deployment, False)
    started_at = clock.now
    connection.sock.sendall(b"GET /read/x HTTP/1.1\r\nX: ")
    while not client.is_lingering:
        write(connection, client, b"x")
        pass_time(deployment, clock, 0.4)
    assert clock.now - started_at < client_connection.REQUEST_READ_TIMEOUT_S + 1.0
    assert read_answer(connection)[0] == 408 and read_answer(connection) is None


@pytest.mark.parametrize("known", [False, True])
def test_stated_timeout_is_available_for_writing_the_request(deployment, clock, known):
    connection, client = connect_client(deployment, known)
    text = encode_request("/once/x", "POST", b"b" * 40, X_Timeout="20000m")
    head = text.index(b"\r\n\r\n") + 4
    write(connection, client, text[:head])
    write_slowly(deployment, clock, connection, client, text[head:], 12.0)
    assert read_answer(connection)[0] == 200


def test_partial_request_closed_for_capacity_is_answered(deployment, clock):
    connection, client = connect_client(deployment, False)
    write(connection, client, b"GET /read/x HTTP/1.1\r\n")
    assert deployment.agent.front.close_unidentified()
    assert read_answer(connection)[0] == 503 and read_answer(connection) is None


def test_partial_request_at_shutdown_is_answered(deployment, clock):
    connection, client = connect_client(deployment, True)
    write(connection, client, b"GET /read/x HTTP/1.1\r\n")
    deployment.agent.front.close_all()
    assert read_answer(connection)[0] == 503 and read_answer(connection) is None


def test_slow_clients_do_not_block_prompt_clients(tmp_path, clock, bounded):
    """Many clients, identified and not, never end their requests: all are answered, and a prompt one is
    served.

    The connections of slow clients must not use up the budget.
    """
    deployment = Deployment(tmp_path, limits={"memory_mb": 64, "sockets": 96})
    budget, slow = deployment.agent.budget, []
    try:
        for number in range(2 * budget.max_connections):
            connection = deployment.connect()
            if number % 2:
                assert deployment.ask(connection=connection)[0] == 200
            connection.sock.sendall(b"GET /read/x HTTP/1.1\r\nX: ")
            slow.append(connection)
            pass_time(deployment, clock, 0.1)
            for each in slow[-10:]:  # these go on writing
                each.sock.sendall(b"x")
            gevent.sleep(0)
        assert deployment.ask()[0] == 200
        assert budget.connection_count <= budget.max_connections
        pass_time(deployment, clock, client_connection.REQUEST_READ_TIMEOUT_S + 1.0)
        assert {read_answer(each)[0] for each in slow} <= {408, 503}
    finally:
        deployment.stop()


def test_clients_that_stop_in_a_request_leave_room_for_prompt_ones(tmp_path, clock, bounded):
    """Guards against clients left unaccepted while others that were served once hold all the room."""
    deployment = Deployment(tmp_path, limits={"memory_mb": 64, "sockets": 96})
    agent, stopped = deployment.agent.front, []
    try:
        for number in range(deployment.agent.budget.max_connections - 1):  # one is kept for the next accept
            stopped.append(deployment.connect())
            stopped[-1].sock.sendall(b"GET /read/x HTTP/1.1\r\nX: ")
            until(lambda number=number: len(agent.clients) > number)
            for each in agent.clients:
                agent.identify(each)
        until(lambda: all(each.mid_message for each in agent.clients))
        clock.now += 0.4  # much less than the timeouts of the usual classes
        assert deployment.ask()[0] == 200
        ended = [each for each in stopped if each.has_unread_input()]
        # Room for the new client, the accept after it, and what is spared when a server is connected to.
        most = 2 + deployment.agent.budget.max_connections // SPARE_DIVISOR
        assert 0 < len(ended) <= most and {read_answer(each)[0] for each in ended} == {503}
    finally:
        deployment.stop()


def test_client_that_goes_on_writing_is_not_closed_for_capacity(deployment, clock):
    """Guards against closing slow clients, whose pauses are short, for others."""
    connection, client = connect_client(deployment, True)
    write(connection, client, encode_request("/once/x", "POST", b"body")[:9])
    for _ in range(20):
        clock.now += 0.2
        write(connection, client, b"x")
        assert not deployment.agent.front.close_paused()
    clock.now += 0.4
    assert deployment.agent.front.close_paused()


def test_client_whose_input_is_unread_is_not_closed_for_capacity(deployment, clock):
    """Guards against taking the agent's own delay for a client's pause in the middle of a request."""
    connection, client = connect_client(deployment, True)
    request = encode_request("/once/x", "POST", b"body")
    write(connection, client, request[:9])
    clock.now += 0.4
    connection.sock.sendall(request[9:])
    while not client.has_unread_input():
        pass  # no other greenlet runs meanwhile
    assert not deployment.agent.front.close_paused()
    assert read_answer(connection)[0] == 200


# Pipelined requests


def test_every_pipelined_request_is_answered(deployment):
    connection = deployment.connect()
    connection.sock.sendall(b"".join(encode_request(f"/read/{n}") for n in range(200)))
    assert [read_answer(connection)[0] for _ in range(200)] == [200] * 200
    assert deployment.ask(connection=connection)[0] == 200


def test_few_pipelined_requests_are_read_ahead(deployment):
    connection = deployment.connect()
    connection.sock.sendall(encode_request("/read/first?do=wait"))
    until(deployment.received_paths)
    (client,) = deployment.agent.front.clients
    requests = [encode_request(f"/read/{n}", X_Fill="x" * 400) for n in range(400)]
    sender = gevent.spawn(connection.sock.sendall, b"".join(requests))
    until(lambda: len(client.messages) >= client_connection.MAX_PIPELINED_REQUESTS)
    gevent.sleep(0.3)
    assert (
        client.has_unread_input()
        and len(client.messages) < client_connection.MAX_PIPELINED_REQUESTS + 4096 / len(requests[0]) + 1
    )
    deployment.servers[0].released.set()
    assert [read_answer(connection)[0] for _ in range(401)] == [200] * 401
    sender.join()


@pytest.mark.parametrize("bad, status", [({"path": "/none/x"}, 404), ({"X_Request_ID": "first"}, 409)])
@pytest.mark.parametrize("behind", [0, 3, 100])
@pytest.mark.parametrize("part", [0, 30])
def test_requests_read_after_a_bad_one_are_rejected_and_not_sent(deployment, bad, status, behind, part):
    """Only after 100 requests some may be left unread, without an answer."""
    connection = deployment.connect()
    requests = [encode_request("/read/first", X_Request_ID="first"), encode_request(**bad)]
    requests += [encode_request("/read/behind") for _ in range(behind)]
    connection.sock.sendall(b"".join(requests) + encode_request("/read/part")[:part])
    statuses = [status_and_body[0] for status_and_body in iter(lambda: read_answer(connection), None)]
    rejected = statuses[2:]
    assert statuses[:2] == [200, status] and set(rejected) <= {503}
    assert len(rejected) == behind + bool(part) or behind == 100 and len(rejected) > 20
    assert deployment.received_paths() == ["/read/first"]


LONG_BODY_LINES = b"a line of a body that is far too long\n" * 200  # read together with the heads before it


def send_request_with_too_long_body(deployment):
    """A valid request, one of an unknown class and one with a body of 60 MB, sent at once.

    Returns the connection and the agent's end of it, once the last request has been refused.
    """
    connection = deployment.connect()
    heads = encode_request("/read/first?do=wait") + encode_request("/none/x")
    heads += encode_request("/once/x", "POST", Content_Length=60_000_000)
    connection.sock.sendall(heads + LONG_BODY_LINES)
    until(deployment.received_paths)
    (client,) = deployment.agent.front.clients
    until(lambda: client.discards_input)
    return connection, client


def test_rejecting_a_request_before_a_refused_one_answers_both(deployment, busy_loop_bounded):
    """Guards against the loss of both answers: their greenlet died as it read an empty socket."""
    connection, _ = send_request_with_too_long_body(deployment)
    deployment.servers[0].released.set()
    assert [read_answer(connection)[0] for _ in range(3)] == [200, 404, 503]
    assert read_answer(connection) is None


def test_rejecting_a_request_of_a_closed_connection_ends(deployment, busy_loop_bounded):
    """Guards against an agent that hangs: it read a closed connection for ever, without a yield."""
    connection, client = send_request_with_too_long_body(deployment)
    client.close()
    deployment.agent.front.reject_request(client, front.READ_TIMEOUT_ANSWER)
    assert deployment.ask("/read/other")[0] == 200
    connection.close()


def test_timeout_runs_while_earlier_pipelined_requests_are_served(deployment, clock):
    """The second request waits 200 of its 300 ms; the third one times out before its turn."""
    connection = deployment.connect()
    requests = [
        encode_request("/read/0?do=wait"),
        encode_request("/read/1", X_Timeout="300m"),
        encode_request("/read/2", X_Timeout="150m"),
    ]
    connection.sock.sendall(b"".join(requests))
    until(deployment.received_paths)
    clock.now += 0.2
    deployment.servers[0].released.set()
    assert [read_answer(connection)[0] for _ in requests] == [200, 200, 503]
    (sent_timeout,) = [
        each.headers[b"x-timeout"]
        for each in deployment.servers[0].received_requests
        if each.path == b"/read/1"
    ]
    assert int(sent_timeout.removesuffix(b"m")) <= 100


def test_timeout_runs_while_a_request_is_unread(deployment, clock):
    connection = deployment.connect()
    earlier = [
        encode_request(f"/read/{n}?do=wait", X_Fill="x" * 4000)
        for n in range(client_connection.MAX_PIPELINED_REQUESTS + 3)
    ]
    connection.sock.sendall(b"".join(earlier) + encode_request("/read/late", X_Timeout="300m"))
    (client,) = until_some(lambda: deployment.agent.front.clients)
    until(lambda: client.unread_since)
    clock.now += 0.4
    deployment.servers[0].released.set()
    assert [read_answer(connection)[0] for _ in earlier] == [200] * len(earlier)
    assert read_answer(connection)[0] == 503


def until_some(condition):
    """Waits until the condition has a true value, and returns it."""
    until(condition)
    return condition()


@pytest.mark.parametrize("ends", ["close", "reset"])
def test_disconnect_with_unread_requests_is_noticed(deployment, ends):
    connection = deployment.connect()
    connection.sock.sendall(
        encode_request("/read/0?do=wait") + b"".join(encode_request() for _ in range(400))
    )
    until(deployment.received_paths)
    (client,) = deployment.agent.front.clients
    until(lambda: client.unread_since)
    if ends == "reset":
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    connection.close()
    until(lambda: not deployment.agent.front.clients)
    assert deployment.agent.reducer.pending_count == 0
    assert len(deployment.received_paths()) == 1
