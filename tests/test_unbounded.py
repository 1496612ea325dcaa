"""Resources and time that clients, peers and the discovery service can take from an agent are bounded."""

import gc
import struct
import sys
import weakref

import gevent
import pytest
from gevent import socket, subprocess

from cartdeal.agent import discovery, effects, request_ids, request_parser
from cartdeal.agent.client_connection import ClientConnection
from cartdeal.agent.connection import MAX_BODY_BYTES, POLL_PAUSE_S
from cartdeal.agent.discovery import ListStream
from cartdeal.agent.effects import CONNECTION_MEMORY_MB
from cartdeal.agent.upstream import ServerConnection
from tests.scene import Deployment, encode_request, read_answer, until

BODY = b"x" * (MAX_BODY_BYTES - 100)
REQUESTS = 100


@pytest.fixture
def deployment(tmp_path, bounded):
    made = Deployment(tmp_path)
    yield made
    made.stop()


def test_unread_answers_of_a_connection_are_held_one_at_a_time(deployment):
    """A client that sends requests without reading the answers must not fill the agent's memory."""
    client, front = deployment.connect(), deployment.agent.front
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    (connection,) = wait_for(lambda: front.clients)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    dispatch, early_requests = front.dispatch, []

    def recording_dispatch(event, *args):
        if event == "on_request" and connection.writer:
            early_requests.append(args)
        dispatch(event, *args)

    front.dispatch = recording_dispatch
    sender = gevent.spawn(
        client.sock.sendall, b"".join(encode_request("/once/x", "POST", BODY) for _ in range(REQUESTS))
    )
    until(lambda: early_requests or (connection.writer and connection.has_full_queue()))
    for _ in range(10):
        gevent.sleep(0)
    assert not early_requests
    sender.kill()


LONG_PART_BYTES = 14_000  # of a request's head; with the rest of it under the limit of a head
PIPELINING_CLIENTS = 60
PIPELINED_REQUESTS = 30
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER; an end behind unread requests would not arrive


def queued_bytes(front):
    """The bytes of paths, headers and bodies in the requests that the agent has read and not begun."""
    messages = [message for client in front.clients for message in client.messages]
    sizes = [
        len(message.path) + len(message.body) + sum(map(len, [*message.headers, *message.headers.values()]))
        for message in messages
    ]
    return sum(sizes)


@pytest.mark.parametrize(
    "part",
    [
        {"path": "/read/" + "p" * LONG_PART_BYTES},
        {"Cookie": "sid=" + "c" * LONG_PART_BYTES},
        {"X_Other": "o" * LONG_PART_BYTES},
    ],
    ids=["path", "cookie", "unused header"],
)
def test_pipelined_requests_are_held_within_the_memory_limit(tmp_path, bounded, part):
    """Guards against an agent over its memory limit: no budget counted queued heads and short bodies."""
    deployment = Deployment(tmp_path, limits={"memory_mb": 40, "sockets": 256})
    front, budget = deployment.agent.front, deployment.agent.budget
    free_bytes, dispatch = budget.free_message_bytes, front.dispatch
    memory_limit = free_bytes + PIPELINING_CLIENTS * CONNECTION_MEMORY_MB * 1e6
    front.dispatch = lambda event, client, request: front.identify(client)  # no request is answered
    clients, senders = [], []
    for _ in range(PIPELINING_CLIENTS):
        clients.append(deployment.connect())
        requests = b"".join(encode_request(**part) for _ in range(PIPELINED_REQUESTS))
        senders.append(gevent.spawn(send_while_open, clients[-1].sock, requests))
        until(lambda: len(front.clients) == len(clients) and not front.unidentified)
    until(lambda: all(map(has_stopped_reading, front.clients)))
    assert queued_bytes(front) <= memory_limit
    front.dispatch = dispatch
    assert deployment.ask()[0] == 200
    gevent.killall(senders)
    for client in clients:
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        client.close()
    until(lambda: budget.free_message_bytes == free_bytes)
    deployment.stop()


def send_while_open(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        pass  # the agent has refused a request and closed the connection


def has_stopped_reading(client):
    return client.has_full_queue() or client.discards_input


def test_memory_of_an_answered_request_is_free_while_others_are_queued(deployment):
    """Guards against claims that pile up while a connection always has another request queued."""
    client, budget = deployment.connect(), deployment.agent.budget
    free_bytes, claimed_bytes = budget.free_message_bytes, []
    release_message = ClientConnection.release_message

    def recording_release(connection, message):
        claimed_bytes.append(connection.memory.claimed_bytes)
        release_message(connection, message)

    ClientConnection.release_message = recording_release
    try:
        requests = [encode_request("/once/x", "POST", b"b" * 9000) for _ in range(40)]
        sender = gevent.spawn(client.sock.sendall, b"".join(requests))
        assert [read_answer(client)[0] for _ in requests] == [200] * len(requests)
    finally:
        ClientConnection.release_message = release_message
    sender.join()
    assert max(claimed_bytes) < 5 * 3 * 9100  # the handled one, the queue that is full, and one being read
    assert len(claimed_bytes) == len(requests) and budget.free_message_bytes == free_bytes


def test_answers_that_are_not_read_are_claimed(deployment):
    """Guards against unread answers in no budget: while they wait, other long messages have less room."""
    client, budget = deployment.connect(), deployment.agent.budget
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    (connection,) = wait_for(lambda: deployment.agent.front.clients)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    free_bytes = budget.free_message_bytes
    requests = [encode_request("/once/x", "POST", BODY) for _ in range(20)]
    sender = gevent.spawn(client.sock.sendall, b"".join(requests))
    until(lambda: connection.writer and connection.has_full_queue() and connection.unsent == b"")
    unwritten_bytes = connection.memory.held_bytes - sum(each.memory_bytes for each in connection.messages)
    assert unwritten_bytes >= len(BODY) // 2
    sender.kill()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    client.close()
    until(lambda: budget.free_message_bytes == free_bytes)


def wait_for(condition):
    until(condition)
    return condition()


class DatagramFlood:
    """A socket with datagrams at every read, up to a number at which the agent does nothing else."""

    MAX_READS = 100_000

    def __init__(self):
        self.read_count = 0

    def recvfrom(self, size):
        self.read_count += 1
        if self.read_count > self.MAX_READS:
            raise gevent.GreenletExit
        return b"words", ("127.0.0.1", 9)


def test_continuous_datagrams_do_not_starve_requests(deployment):
    agent = deployment.agent
    agent.peer_socket = DatagramFlood()
    receiver = gevent.spawn(agent.receive_peer_messages)
    assert deployment.ask()[0] == 200
    assert not receiver.ready()
    receiver.kill()


def test_answer_of_tiny_chunks_does_not_hold_up_other_connections(deployment, monkeypatch):
    """Guards against usual requests that wait until all of such an answer is parsed."""
    head, chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 40_000
    monkeypatch.setitem(deployment.servers[0].RESPONSES, "tiny", head + chunks + b"0\r\n\r\n")
    reads, reads_by_poll, receive = [], [], ServerConnection.receive

    def counting_receive(connection, timeout_s):
        reads.append(connection)
        return receive(connection, timeout_s)

    def count_by_poll():
        while True:
            gevent.sleep(POLL_PAUSE_S)
            reads_by_poll.append(len(reads))
            reads.clear()

    monkeypatch.setattr(ServerConnection, "receive", counting_receive)
    polls = gevent.spawn(count_by_poll)
    assert deployment.ask("/once/x?do=tiny", "POST") == (200, b"x" * 40_000)
    polls.kill()
    assert sum(reads_by_poll) > 10 and max(reads_by_poll) <= 3, reads_by_poll


def test_continuous_discovery_reads_do_not_starve_requests(deployment, monkeypatch):
    reads = []

    class FloodedStream(ListStream):
        def receive(self):
            reads.append(self)
            if len(reads) > DatagramFlood.MAX_READS:
                raise gevent.GreenletExit
            return True

        def lists_and_empty_lines(self):
            return []

    monkeypatch.setattr(discovery, "ListStream", FloodedStream)
    watch = gevent.spawn(deployment.agent.discovery.run_call)
    assert deployment.ask()[0] == 200
    assert not watch.ready()
    watch.kill()


def test_timers_of_finished_requests_are_dropped(deployment, monkeypatch):
    monkeypatch.setattr(effects, "MAX_TIMERS", 50)
    deployment.agent.max_timers = 50
    client = deployment.connect()
    for _ in range(300):
        assert deployment.ask(connection=client, X_Timeout="60000m")[0] == 200
        assert len(deployment.agent.timers) <= 60
    client.sock.sendall(encode_request("/once/x?do=wait", "POST", X_Timeout="60000m"))
    until(lambda: deployment.agent.reducer.requests)
    (number,) = deployment.agent.reducer.requests
    deployment.agent.drop_obsolete_timers()
    assert [each[2:] for each in deployment.agent.timers if each[2] == "on_deadline_passed"] == [
        ("on_deadline_passed", number)
    ]
    deployment.servers[0].released.set()


def test_number_of_remembered_request_ids_is_bounded(deployment, monkeypatch):
    monkeypatch.setattr(request_ids, "MAX_RECENT_IDS", 20)
    client, ids = deployment.connect(), deployment.agent.reducer.request_ids
    for number in range(100):
        assert deployment.ask(connection=client, X_Request_ID=f"id-{number}")[0] == 200
        assert len(ids.recent) + len(ids.previous) <= 40 and not ids.open
    assert deployment.ask(connection=client, X_Request_ID="id-95")[0] == 409


def test_id_of_an_open_request_is_refused_however_many_others_come(deployment, monkeypatch):
    """Guards against serving a request with the id of one that has been open for long, or under a flood."""
    monkeypatch.setattr(request_ids, "MAX_RECENT_IDS", 20)
    waiting, ids = deployment.connect(), deployment.agent.reducer.request_ids
    waiting.sock.sendall(encode_request("/once/x?do=wait", "POST", X_Request_ID="open", X_Timeout="60000m"))
    until(deployment.received_paths)
    for number in range(100):
        ids.rotate_at = 0.0  # as if RECENT_ID_S had passed
        assert deployment.ask("/read/x", X_Request_ID=f"id-{number}")[0] == 200
    assert deployment.ask("/once/other", "POST", X_Request_ID="open")[0] == 409
    deployment.servers[0].released.set()
    assert read_answer(waiting) == (200, b"waited")
    assert deployment.ask("/once/other", "POST", X_Request_ID="open")[0] == 409  # it has just ended
    assert "/once/other" not in deployment.received_paths() and not ids.open


@pytest.mark.parametrize("closed", [(2,), (0, 1, 2), (0,)])
def test_closed_standard_descriptors_are_not_used_for_connections(tmp_path, closed):
    """The log is written to descriptor 2, even if a connection has that number."""
    script = (
        "import os, sys\n"
        f"for number in {closed}: os.close(number)\n"
        "from cartdeal.agent import log_output\n"
        "log_output.reserve_standard_descriptors()\n"
        "import socket\n"
        "number = socket.socket().fileno()\n"
        f"os.write(os.open({str(tmp_path / 'found')!r}, os.O_CREAT | os.O_WRONLY), b'%d' % number)\n"
    )
    subprocess.run([sys.executable, "-c", script], check=False)
    assert int((tmp_path / "found").read_text()) > 2


def test_closed_connections_are_freed_without_garbage_collection(deployment):
    """A connection and its parser reference each other: thousands, each with a buffer, would accumulate."""
    front = deployment.agent.front
    gc.collect()
    gc.disable()
    try:
        references = []
        for _ in range(20):
            client = deployment.connect()
            assert deployment.ask(connection=client, Connection="close")[0] == 200
            (connection,) = wait_for(
                lambda: [*deployment.agent.front.clients, *deployment.agent.front.lingering]
            )
            references.append(weakref.ref(connection))
            del connection
            client.close()
            until(lambda: not (front.clients or front.lingering))
        until(lambda: sum(each() is not None for each in references) <= 1)
    finally:
        gc.enable()


REFUSED_INPUT = {
    "no request": b"no request\r\n\r\n",
    "too long a body": encode_request("/once/x", "POST", Content_Length=60_000_000),
    "bytes behind a request": encode_request("/once/x", "POST", BODY, Content_Length=60_000),
    "unknown class": encode_request("/none/x", "POST", BODY) + encode_request("/once/x"),
    "too long a head": encode_request("/read/x", X_Other="o" * 30_000),
}


@pytest.mark.parametrize("text", REFUSED_INPUT.values(), ids=REFUSED_INPUT)
def test_refused_connections_are_freed_without_garbage_collection(deployment, text):
    """Guards against closed connections in memory: a stored error referred to its frames, and they to it."""
    front = deployment.agent.front
    gc.collect()
    gc.disable()
    try:
        references = []
        for _ in range(20):
            client = deployment.connect()
            (connection,) = wait_for(lambda: front.clients)
            references.append(weakref.ref(connection))
            del connection
            client.sock.sendall(text)
            while read_answer(client):
                pass
            client.close()
            until(lambda: not (front.clients or front.lingering))
        until(lambda: sum(each() is not None for each in references) <= 1)
    finally:
        gc.enable()


@pytest.mark.parametrize("does", ["garbage", "huge", "both", "long"])
def test_connections_of_malformed_answers_are_freed_without_garbage_collection(deployment, monkeypatch, does):
    """Guards against closed connections to servers in memory, which their stored parse error kept there."""
    references, close = [], ServerConnection.close

    def recording_close(connection):
        references.append(weakref.ref(connection))
        close(connection)

    monkeypatch.setattr(ServerConnection, "close", recording_close)
    gc.collect()
    gc.disable()
    try:
        for _ in range(20):
            assert deployment.ask(f"/once/x?do={does}", "POST")[0] in (502, 503)
        assert len(references) >= 5
        until(lambda: sum(each() is not None for each in references) <= 1)
    finally:
        gc.enable()


def test_closed_connection_holds_no_buffer(deployment):
    """Guards against buffers that outlive their claim on the budget, whatever refers to the connection."""
    client = deployment.connect()
    (connection,) = wait_for(lambda: deployment.agent.front.clients)
    request = encode_request("/once/x", "POST", BODY)
    client.sock.sendall(request * 2 + request[:-9])
    until(lambda: deployment.received_paths())
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    client.close()
    until(lambda: connection.closed)
    assert not (connection.buffer or connection.messages or connection.unsent or connection.unparsed)
    assert not connection.message.body and not connection.memory.held_bytes


@pytest.mark.parametrize("name", ["content_length{}", "transfer-encoding{}", "Content-Type", "x-other-{}"])
def test_memory_of_a_head_with_many_short_fields_is_bounded(deployment, name):
    """Guards against heads that hold many times their bytes: each field with a name of its own was kept."""
    client = deployment.connect()
    (connection,) = wait_for(lambda: deployment.agent.front.clients)
    fields = [name.format(number) + ": 1\r\n" for number in range(600)]
    client.sock.sendall(b"GET /read/x HTTP/1.1\r\n" + "".join(fields).encode() + b"X-Last: 1\r\n")
    until(lambda: connection.discards_input or is_read(connection))
    assert len(connection.message.headers) <= len(request_parser.REQUEST_HEADERS)
    if "{}" in name and not name.startswith("x-"):
        assert read_answer(client)[0] == 400


def is_read(connection):
    """Whether all that has come is parsed."""
    return connection.framing_bytes > 0 and not connection.has_unread_input()
