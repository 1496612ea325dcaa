"""Trailing spaces and tabs are not part of a header's value, in requests, answers and watches alike."""

import json

import gevent
import pytest

from examples.toy import DiscoveryService, Server
from tests.scene import Deployment, encode_request, read_answer, until

BLANKS = pytest.mark.parametrize("blank", [" ", "\t", " \t "], ids=["blank", "tab", "several"])
CODING_BLANKS = pytest.mark.parametrize("blank", [" ", "   "], ids=["blank", "several"])


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path, servers=2)
    with gevent.Timeout(20):
        yield deployment
    deployment.stop()


def received_requests(deployment):
    return [message for server in deployment.servers for message in server.received_requests]


def ask_in_chunks(deployment, coding):
    connection = deployment.connect()
    head = encode_request(
        "/mark/x", "POST", Content_Length=None, Idempotency_Key="k", Transfer_Encoding=coding
    )
    connection.sock.sendall(head + b"3\r\nabc\r\n0\r\n\r\n")
    return read_answer(connection)[0]


@BLANKS
def test_request_with_whitespace_after_header_values_is_served(deployment, blank):
    values = {"X-Request-ID": "id-1", "Idempotency-Key": "key-1", "X-Timeout": "900m", "X-Retried": "1"}
    headers = {name: value + blank for name, value in values.items()}
    assert deployment.ask("/mark/x", "POST", b"body", **headers)[0] == 200
    (message,) = received_requests(deployment)
    assert message.body == b"body"
    assert message.headers[b"x-request-id"] == b"id-1" and message.headers[b"idempotency-key"] == b"key-1"


@CODING_BLANKS
def test_chunked_request_with_blanks_after_its_coding_is_served(deployment, blank):
    assert ask_in_chunks(deployment, "Chunked" + blank) == 200
    assert [message.body for message in received_requests(deployment)] == [b"abc"]


def test_tab_after_a_transfer_coding_is_refused(deployment):
    """The parser does not recognise a transfer coding with a tab after it."""
    assert ask_in_chunks(deployment, "chunked\t") == 400
    assert not received_requests(deployment)


@BLANKS
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_not_processed_header_with_whitespace_is_recognised(deployment, monkeypatch, blank, method):
    rejection = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1%b\r\nContent-Length: 0\r\n\r\n" % blank.encode()
    monkeypatch.setitem(Server.RESPONSES, "full", rejection)
    path = "/once/x?do=full" if method == "POST" else "/read/x?do=full"
    assert deployment.ask(path, method)[0] == 503
    # A request that never ran is sent again, even if it may run only once.
    assert len(received_requests(deployment)) == 2


@CODING_BLANKS
def test_chunked_answer_with_blanks_after_its_coding_is_complete(deployment, monkeypatch, blank):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked%b\r\n\r\n" % blank.encode()
    monkeypatch.setitem(Server.RESPONSES, "chunked", head + b"3\r\none\r\n0\r\n\r\n")
    assert deployment.ask("/read/x?do=chunked") == (200, b"one")


@CODING_BLANKS
def test_watch_with_blanks_after_its_coding_is_read(deployment, monkeypatch, blank):
    def send_list(service, connection, message):
        line = json.dumps({"rev": 9, "targets": [deployment.servers[0].list_entry()]}).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked%b\r\n\r\n" % blank.encode()
        connection.write(head + b"%x\r\n%b\r\n" % (len(line), line))

    monkeypatch.setattr(DiscoveryService, "handle_request", send_list)
    service = DiscoveryService()
    deployment.agent.discovery.move(("127.0.0.1", int(service.address.split(":")[1])))
    deployment.agent.dispatch("on_discovery_moved")
    until(lambda: deployment.agent.reducer.list_version == 9)
    service.stop()
