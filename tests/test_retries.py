"""How an attempt's answer may be cut, and what its request's further attempts may then be."""

import struct
from time import monotonic

import gevent
import pytest
from gevent import socket

from cartdeal.agent.connection import MAX_BODY_BYTES, Connection, MalformedMessageError
from cartdeal.agent.reducer import FailureReason, Progress, Request
from cartdeal.agent.upstream import Attempt, encode_request, milliseconds_left
from examples.toy import Server
from tests.scene import Deployment, until

HEAD = b"HTTP/1.1 200 OK\r\n"
OPEN = HEAD + b"\r\none"
SIZED = HEAD + b"Content-Length: 3\r\n\r\none"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"


pytestmark = pytest.mark.usefixtures("bounded")


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path, servers=2)
    yield made
    made.stop()


def pair(allows_close_delimited=True):
    """An upstream connection and the server's end of it."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    ours = socket.create_connection(listener.getsockname())
    theirs, _ = listener.accept()
    listener.close()
    return Connection(ours, reads_responses=True, allows_close_delimited=allows_close_delimited), theirs


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def read(connection):
    """The body of the answer; None where the stream ends before that is whole."""
    while not connection.messages:
        if not connection.receive(5.0) and not connection.messages:
            return None
    return connection.messages[0].body


def cut(text, end):
    """Plays an answer whose bytes are all read before its connection ends."""
    connection, theirs = pair()
    theirs.sendall(text)
    came = 0
    while came < len(text):
        before = connection.body_end
        assert connection.receive(5.0)
        came += connection.input_end - before
    end(theirs)
    return connection


@pytest.mark.parametrize("end", [socket.socket.close, reset], ids=["close", "reset"])
@pytest.mark.parametrize("text", [OPEN[:10], OPEN[:-4], SIZED[:-1], CHUNKED[:-9], CHUNKED[:-2]], ids=repr)
def test_answer_cut_before_its_end_is_none_however_it_is_cut(text, end):
    connection = cut(text, end)
    try:
        assert read(connection) is None
    except ConnectionResetError:
        assert end is reset


@pytest.mark.parametrize("text", [HEAD + b"\r\n", OPEN, OPEN + bytes(50000)], ids=["empty", "short", "long"])
def test_only_an_orderly_end_ends_an_answer_without_a_length(text):
    connection = cut(text, socket.socket.close)
    assert read(connection) == text.partition(b"\r\n\r\n")[2] and not connection.messages[0].keep_alive
    with pytest.raises(ConnectionResetError):
        read(cut(text, reset))
    strict, theirs = pair(allows_close_delimited=False)
    theirs.sendall(text)
    with pytest.raises(MalformedMessageError):  # who has not asked for such answers gets none
        read(strict)


@pytest.mark.parametrize("text", [SIZED, CHUNKED])
def test_reset_behind_a_whole_answer_takes_nothing_from_it(text):
    assert read(cut(text, reset)) == b"one"


def test_answer_without_a_length_is_bounded():
    connection, theirs = pair()
    sending = gevent.spawn(theirs.sendall, HEAD + b"\r\n" + bytes(10 * MAX_BODY_BYTES))
    with pytest.raises(MalformedMessageError):
        read(connection)
    assert len(connection.buffer) <= 4 * MAX_BODY_BYTES
    sending.kill()


@pytest.mark.parametrize(
    "does, outcome",
    [("open", (200, b"one")), ("empty", (200, b"")), ("torn", (502, b"")), ("unending", (502, b""))],
)
def test_non_idempotent_request_whose_answer_has_no_length(deployment, does, outcome):
    assert deployment.ask(f"/once/x?do={does}", "POST", X_Timeout="300m") == outcome
    assert len(deployment.seen()) == 1
    until(lambda: not any(server.open for server in deployment.servers))  # and its connection is not kept


def test_request_that_never_ran_by_an_answer_without_a_length_goes_on(deployment, monkeypatch):
    refusal = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\n\r\nfull"
    for does in ("open", "torn"):
        monkeypatch.setitem(Server.DOES, does, refusal)
        # The mark counts once its answer is whole; where that is torn nobody can tell what else it said.
        seen = len(deployment.seen())
        assert deployment.ask(f"/once/x?do={does}", "POST", X_Timeout="300m")[0] == (
            503 if does == "open" else 502
        )
        assert len(deployment.seen()) - seen == (2 if does == "open" else 1)


@pytest.mark.parametrize("left", [-1.0, 0.0, 0.0009])
@pytest.mark.parametrize("kept", [False, True])
def test_deadline_that_ends_before_the_first_byte_is_an_attempt_that_never_ran(deployment, left, kept):
    upstream, address = deployment.agent.upstream, deployment.servers[0].address
    request = Request(2, True, 0, 0, 1.0, False, b"POST", b"/once/x", b"late", b"", b"", b"")
    if kept:
        connection = upstream.connect(0, address, monotonic() + 1.0)
        upstream.keep_idle(0, connection)
        connection.last_active_at -= 1.0
    deadline = monotonic() + left

    def text():
        return encode_request(request, milliseconds_left(deadline))

    result = upstream.exchange(Attempt(), 0, address, deadline, text)
    assert (result.reason, result.progress) == (FailureReason.TIMED_OUT, Progress.NOT_CONNECTED)
    assert result.outcome().never_ran and not deployment.seen()
    until(lambda: not any(server.open for server in deployment.servers))
