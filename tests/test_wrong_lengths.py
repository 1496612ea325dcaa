"""Messages whose stated length is too short: the rest of them stands behind what their length covers."""

import gevent
import pytest
from gevent import socket

from cartdeal.agent import connection as agent_connection
from examples.toy import Server, answer
from tests.scene import encode_request, read_answer, until

pytestmark = pytest.mark.usefixtures("bounded")

SHEET = b"".join(b"species %d: %d birds\n" % (number, 7 * number) for number in range(20))
LONG_SHEET = SHEET * 100  # more than one read, and more lines than are parsed at once


def short_request(body, missing, **headers):
    """A request that states `missing` bytes less than its body has."""
    return encode_request("/once/x", "POST", body, Content_Length=len(body) - missing, **headers)


@pytest.mark.parametrize("body", [SHEET, LONG_SHEET], ids=["short", "long"])
@pytest.mark.parametrize("missing", [2, 50, 300, len(SHEET)])
@pytest.mark.parametrize("headers", [{}, {"Connection": "close"}], ids=["kept", "closed"])
def test_request_with_too_short_a_length_is_refused_and_reaches_no_server(deploy, body, missing, headers):
    """Guards against running the beginning of a request whose rest shows that its length is wrong."""
    deployment = deploy()
    client = deployment.connect()
    client.sock.sendall(short_request(body, missing, **headers))
    assert read_answer(client)[0] == 400 and read_answer(client) is None
    assert not deployment.received_paths()


def test_request_is_refused_if_its_rest_waits_in_the_system(deploy):
    """Guards against starting a request whose bytes end a read, with its rest unread behind them."""
    deployment = deploy()
    client = deployment.connect()
    head = encode_request("/once/x", "POST", Content_Length=20_000)
    stated = head + b"b" * (agent_connection.MIN_READ_SPACE_BYTES - len(head))
    stated = stated.replace(b"20000", b"%05d" % (len(stated) - len(head)))  # ends with the first read
    client.sock.sendall(stated + b" rest of the body\n")
    assert read_answer(client)[0] == 400 and read_answer(client) is None
    assert not deployment.received_paths()


def test_only_the_request_before_unreadable_bytes_is_refused(deploy):
    """Guards against refusing pipelined requests whose ends are proven by the heads behind them."""
    deployment = deploy()
    client = deployment.connect()
    whole = [encode_request(f"/once/{number}", "POST", SHEET) for number in range(3)]
    client.sock.sendall(b"".join(whole) + short_request(SHEET, 50))
    answers = [read_answer(client) for _ in range(4)]
    assert answers[:3] == [(200, b"s0 " + SHEET)] * 3 and answers[3][0] == 400 and read_answer(client) is None
    assert deployment.received_paths() == ["/once/0", "/once/1", "/once/2"]


def test_request_that_is_sent_on_already_is_not_served_if_its_rest_follows(deploy):
    """Guards against serving a request whose rest comes when an attempt of it is in flight."""
    deployment = deploy()
    client = deployment.connect()
    client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.sock.sendall(encode_request("/once/x?do=wait", "POST", SHEET))
    until(deployment.received_paths)
    client.sock.sendall(b"12 herons\n")
    assert read_answer(client)[0] == 400 and read_answer(client) is None
    until(lambda: not deployment.agent.upstream.attempts and not deployment.agent.reducer.requests)
    assert deployment.received_paths() == ["/once/x?do=wait"]
    assert not deployment.agent.reducer.request_ids.open


def test_request_is_served_though_a_part_of_the_next_one_follows(deploy):
    """Guards against holding a request back until the head behind it is complete."""
    deployment = deploy()
    client = deployment.connect()
    client.sock.sendall(encode_request("/once/x", "POST", SHEET) + b"PO")
    assert read_answer(client) == (200, b"s0 " + SHEET)


def test_empty_lines_behind_a_request_do_not_keep_it_from_being_served(deploy):
    """Guards against reading on without end, in place of starting a request, while empty lines come."""
    deployment = deploy()
    client = deployment.connect()
    client.sock.sendall(encode_request("/once/x", "POST", SHEET) + b"\r\n" * 3000)
    sender = gevent.spawn(send_while_open, client.sock, b"\r\n" * 100_000)
    status, body = read_answer(client)
    assert (status, body) == (200, b"s0 " + SHEET) or status == 431
    sender.kill()
    assert deployment.ask()[0] == 200


def send_while_open(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        pass  # the agent has refused it and closed the connection


RECORD = b"record 7\n" + SHEET
JSON_HEADER = b"Content-Type: application/json; charset=utf-8\r\n"
JSON_RECORD = b'{"birds": [1, 2]}\n'
CHUNKED_ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"


def short_answer(body, stated, headers=b""):
    """An answer that states a length shorter than its body."""
    return answer(200, body[:stated], headers) + body[stated:]


DOUBTFUL_ANSWERS = {
    "text": short_answer(RECORD, 200),
    "text without its last byte": short_answer(RECORD, len(RECORD) - 1),
    "text of which nothing is stated": short_answer(RECORD, 0),
    "text that ends in an empty line": short_answer(RECORD + b"\r\n", len(RECORD)),
    "text in Latin-1": short_answer(b"hall: caf\xe9\n", 9),
    "bytes": short_answer(bytes(range(256)), 100),
    "bytes that begin as text": short_answer(b"%PDF\0\1\2\3", 4, b"Content-Type: application/pdf\r\n"),
    "JSON": short_answer(JSON_RECORD, 9, JSON_HEADER),
    "JSON without its last byte": short_answer(JSON_RECORD, len(JSON_RECORD) - 1, JSON_HEADER),
    "a number in JSON": short_answer(b"12345", 3, JSON_HEADER),
    "lines of JSON": short_answer(
        JSON_RECORD * 2, len(JSON_RECORD), b"Content-Type: application/x-ndjson\r\n"
    ),
}


@pytest.mark.parametrize("response", DOUBTFUL_ANSWERS.values(), ids=DOUBTFUL_ANSWERS)
def test_answer_with_too_short_a_length_is_not_served(deploy, monkeypatch, response):
    """Guards against serving the beginning of an answer, whose rest stands behind its stated length."""
    monkeypatch.setitem(Server.RESPONSES, "short", response)
    deployment = deploy(servers=2)
    assert deployment.ask("/once/x?do=short", "POST", X_Timeout="60000m") == (502, b"")
    assert len(deployment.received_paths()) == 1
    until(lambda: not any(server.connections for server in deployment.servers))


def test_answer_is_not_served_if_its_rest_waits_in_the_system(deploy, monkeypatch):
    """Guards against serving an answer whose stated length ends with a read, its rest unread behind it."""
    head_bytes = len(answer(200, bytes(1000))) - 1000
    stated = agent_connection.MIN_READ_SPACE_BYTES - head_bytes
    monkeypatch.setitem(Server.RESPONSES, "short", short_answer(SHEET * 20, stated))
    deployment = deploy()
    assert deployment.ask("/once/x?do=short", "POST") == (502, b"")


WHOLE_ANSWERS = {
    "a second copy": (answer(200, RECORD) * 2, RECORD),
    "a second answer behind an empty line": (answer(200, RECORD) + b"\r\n" + answer(200, b"other"), RECORD),
    "the head of a second answer": (answer(200, RECORD) + answer(500)[:20], RECORD),
    "noise behind text": (answer(200, RECORD) + b"\xff\x00\x93 noise", RECORD),
    "noise behind JSON": (answer(200, JSON_RECORD, JSON_HEADER) + b"noise", JSON_RECORD),
    "noise behind chunks": (CHUNKED_ANSWER + b"noise", b"one"),
}


@pytest.mark.parametrize("response, body", WHOLE_ANSWERS.values(), ids=WHOLE_ANSWERS)
def test_answer_with_bytes_behind_it_that_are_not_its_rest_is_served(deploy, monkeypatch, response, body):
    """Guards against refusing good answers for a second answer or noise right behind them."""
    monkeypatch.setitem(Server.RESPONSES, "surplus", response)
    deployment = deploy()
    assert deployment.ask("/once/x?do=surplus", "POST") == (200, body)
    assert deployment.ask() == (200, b"s0 ")


def test_request_that_never_ran_is_sent_again_though_noise_follows_the_answer(deploy, monkeypatch):
    """Guards against giving up a request for bytes behind an answer of which only the head counts."""
    monkeypatch.setitem(Server.RESPONSES, "full", Server.RESPONSES["full"] + b"noise")
    deployment = deploy(servers=2)
    assert deployment.ask("/once/x?do=full", "POST", X_Timeout="300m")[0] == 503
    assert len(deployment.received_paths()) == 2
