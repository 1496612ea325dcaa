"""Answers that are cut off in different ways, and the retries that are then allowed."""

import struct
from time import monotonic

import gevent
import pytest
from gevent import socket

from cartdeal.agent.connection import MAX_BODY_BYTES, MIN_READ_SPACE_BYTES, Connection
from cartdeal.agent.message import MalformedMessageError
from cartdeal.agent.reducer import AttemptEndReason, Progress, Request
from cartdeal.agent.upstream import Attempt, OutgoingMessage, encode_request, milliseconds_left
from examples.toy import Server
from tests.scene import Deployment, until

HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWER_WITHOUT_LENGTH = HEAD + b"\r\none"
ANSWER_WITH_LENGTH = HEAD + b"Content-Length: 3\r\n\r\none"
CHUNKED_ANSWER = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"


pytestmark = pytest.mark.usefixtures("bounded")


@pytest.fixture
def deployment(tmp_path):
    """A deployment with two servers."""
    new_deployment = Deployment(tmp_path, servers=2)
    yield new_deployment
    new_deployment.stop()


def connection_pair(allows_close_delimited=True):
    """An upstream connection and the server's socket."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    client_socket = socket.create_connection(listener.getsockname())
    server_socket, _ = listener.accept()
    listener.close()
    return Connection(
        client_socket, reads_responses=True, allows_close_delimited=allows_close_delimited
    ), server_socket


def reset(sock):
    """Closes the connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def read_body(connection):
    """The body of the answer; None if the stream ends before the body is complete."""
    while not connection.messages:
        if not connection.receive(5.0) and not connection.messages:
            return None
    return connection.messages[0].body


def received_answer(text, end):
    """A connection that has read all bytes of `text`; the server has then ended it with `end`."""
    connection, server_socket = connection_pair()
    server_socket.sendall(text)
    received_bytes = 0
    while received_bytes < len(text):
        before = connection.body_end
        assert connection.receive(5.0)
        received_bytes += connection.input_end - before
    end(server_socket)
    return connection


@pytest.mark.parametrize("end", [socket.socket.close, reset], ids=["close", "reset"])
@pytest.mark.parametrize(
    "text",
    [
        ANSWER_WITHOUT_LENGTH[:10],
        ANSWER_WITHOUT_LENGTH[:-4],
        ANSWER_WITH_LENGTH[:-1],
        CHUNKED_ANSWER[:-9],
        CHUNKED_ANSWER[:-2],
    ],
    ids=repr,
)
def test_answer_cut_off_by_a_close_or_a_reset_is_not_returned(text, end):
    connection = received_answer(text, end)
    try:
        assert read_body(connection) is None
    except ConnectionResetError:
        assert end is reset


@pytest.mark.parametrize(
    "text",
    [HEAD + b"\r\n", ANSWER_WITHOUT_LENGTH, ANSWER_WITHOUT_LENGTH + bytes(50000)],
    ids=["empty", "short", "long"],
)
def test_answer_without_a_length_ends_only_with_an_orderly_close(text):
    connection = received_answer(text, socket.socket.close)
    assert read_body(connection) == text.partition(b"\r\n\r\n")[2] and not connection.messages[0].keep_alive
    with pytest.raises(ConnectionResetError):
        read_body(received_answer(text, reset))
    strict_connection, server_socket = connection_pair(allows_close_delimited=False)
    server_socket.sendall(text)
    with pytest.raises(MalformedMessageError):  # this connection does not accept such answers
        read_body(strict_connection)


@pytest.mark.parametrize("text", [ANSWER_WITH_LENGTH, CHUNKED_ANSWER])
def test_reset_after_a_complete_answer_leaves_it_valid(text):
    assert read_body(received_answer(text, reset)) == b"one"


def test_answer_without_a_length_is_bounded():
    connection, server_socket = connection_pair()
    sender = gevent.spawn(server_socket.sendall, HEAD + b"\r\n" + bytes(10 * MAX_BODY_BYTES))
    with pytest.raises(MalformedMessageError):
        read_body(connection)
    assert len(connection.buffer) <= 4 * MAX_BODY_BYTES
    sender.kill()


@pytest.mark.parametrize("body_bytes", [32_000, 65_000])
def test_buffer_of_a_chunked_body_is_at_most_half_longer_than_the_body(body_bytes):
    """Guards against buffers that take far more of the memory limit than is claimed for them."""
    connection, server_socket = connection_pair()
    chunk = b"%x\r\n" % body_bytes + bytes(body_bytes)
    sender = gevent.spawn(server_socket.sendall, HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
    while connection.body_end < body_bytes:
        assert connection.receive(5.0)
    reader = gevent.spawn(connection.receive, 5.0)  # makes room for the rest and waits for it
    gevent.sleep(0)
    assert len(connection.buffer) <= 1.5 * body_bytes + 2 * MIN_READ_SPACE_BYTES
    gevent.killall([sender, reader])


@pytest.mark.parametrize(
    "behaviour, answer",
    [("open", (200, b"one")), ("empty", (200, b"")), ("torn", (502, b"")), ("unending", (502, b""))],
)
def test_non_idempotent_request_whose_answer_has_no_length(deployment, behaviour, answer):
    assert deployment.ask(f"/once/x?do={behaviour}", "POST", X_Timeout="300m") == answer
    assert len(deployment.received_paths()) == 1
    until(lambda: not any(server.connections for server in deployment.servers))  # the connection is closed


def test_not_processed_answer_without_a_length_is_retried_only_if_complete(deployment, monkeypatch):
    refusal = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\n\r\nfull"
    for behaviour in ("open", "torn"):
        monkeypatch.setitem(Server.RESPONSES, behaviour, refusal)
        # The not-processed header counts only if the answer is complete.
        received_count = len(deployment.received_paths())
        assert deployment.ask(f"/once/x?do={behaviour}", "POST", X_Timeout="300m")[0] == (
            503 if behaviour == "open" else 502
        )
        assert len(deployment.received_paths()) - received_count == (2 if behaviour == "open" else 1)


@pytest.mark.parametrize("time_left", [-1.0, 0.0, 0.0009])
@pytest.mark.parametrize("is_reused", [False, True])
def test_attempt_whose_deadline_passes_before_its_first_byte_never_ran(deployment, time_left, is_reused):
    upstream, address = deployment.agent.upstream, deployment.servers[0].address
    request = Request(2, True, 0, 0, 1.0, False, b"POST", b"/once/x", b"late", b"", b"", b"")
    if is_reused:
        connection = upstream.connect(0, address, monotonic() + 1.0)
        upstream.keep_idle(0, connection)
        connection.last_active_at -= 1.0
    deadline = monotonic() + time_left
    message = OutgoingMessage(b"")
    message.encode = lambda: encode_request(request, milliseconds_left(deadline))
    result = upstream.exchange(Attempt(), 0, address, deadline, message)
    assert (result.reason, result.progress) == (AttemptEndReason.TIMED_OUT, Progress.NOT_CONNECTED)
    assert result.outcome().never_ran and not deployment.received_paths()
    until(lambda: not any(server.connections for server in deployment.servers))
