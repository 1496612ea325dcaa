"""An agent, its clients, its servers and its discovery service, on real sockets."""

import json
import logging
import os
import signal
import sys
import time

import gevent
import greenlet
import pytest
from gevent import socket, subprocess

from cartdeal.agent.connection import MAX_BODY_BYTES, Connection
from cartdeal.agent.log_output import MAX_LINES_PER_SECOND, RateLimitFilter
from cartdeal.agent.request_parser import hash_key
from cartdeal.agent.start import MAX_DEADLINE_WAIT_S, SHUTDOWN_MARGIN_S, shutdown_duration
from cartdeal.balancer_types import LoadReport, Outcome
from cartdeal.settings import ClassSettings, Settings
from examples.toy import DiscoveryService, Server, answer
from tests.scene import IDS, SETTINGS, encode_request, read_answer, until

pytestmark = pytest.mark.usefixtures("bounded")


@pytest.mark.parametrize(
    "does, status, body, attempts",
    [
        ("serve", 200, b"s0 ", 1),
        ("dribble", 200, b"s0 ", 1),
        ("chunked", 200, b"three", 1),
        ("interim", 200, b"after all", 1),
        ("closing", 200, b"bye", 1),
        # It may have run: it must not be sent again, nor rejected with 503, which says that it never ran.
        ("error", 502, b"", 1),
        ("odd", 502, b"", 1),
        ("busy", 502, b"", 1),
        ("reset", 502, b"", 1),
        ("end", 502, b"", 1),
        ("half", 502, b"", 1),
        ("garbage", 502, b"", 1),
        ("long", 502, b"", 1),
        ("silent", 502, b"", 1),
        # It never ran.
        ("full", 503, b"", 2),
        ("over", 503, b"", 2),
        # A valid answer with surplus bytes or headers.
        ("twice", 200, b"one", 1),
        ("noisy", 200, b"one", 1),
        ("trailing", 200, b"one", 1),
        ("hints", 200, b"one", 1),
        ("unread", 200, b"one", 1),
        ("unusable", 400, b"", 1),
    ],
)
def test_non_idempotent_request_has_the_outcome_of_its_attempt(deploy, does, status, body, attempts):
    deployment = deploy(servers=2)
    assert deployment.ask(f"/once/x?do={does}", "POST", X_Timeout="300m") == (status, body)
    assert len(deployment.received_paths()) == attempts


MALFORMED_ANSWERS = (
    "garbage",
    "long",
    "both",
    "endless",
    "huge",
    "negative",
    "other",
    "lists",
    "flood",
    "old",
    "chunks",
    "nothings",
    "waits",
    "upgrade",
    "gzip",
)


@pytest.mark.parametrize("does", MALFORMED_ANSWERS)
def test_malformed_answer_ends_its_attempt_at_once_as_possibly_run(deploy, does):
    deployment = deploy(servers=2)
    # The timeout is longer than the test may take: an attempt that ran until then would fail it.
    assert deployment.ask(f"/once/x?do={does}", "POST", X_Timeout="60000m") == (502, b"")
    assert len(deployment.received_paths()) == 1
    until(lambda: not any(server.connections for server in deployment.servers))


def test_surplus_bytes_after_an_answer_never_answer_the_next_request(deploy, monkeypatch):
    deployment = deploy()
    server, stray_answer = deployment.servers[0], answer(200, b"stray")
    for does in ("twice", "noisy"):
        assert deployment.ask(f"/read/x?do={does}") == (200, b"one")
        assert deployment.ask() == (200, b"s0 ")
    monkeypatch.setattr("cartdeal.agent.upstream.REUSABLE_AFTER_S", 0.0)
    for connection in server.connections:
        connection.sock.sendall(stray_answer)  # on an idle connection, some time after its answer
    until(
        lambda: all(
            each.has_unread_input() for idle in deployment.agent.upstream.idle.values() for each in idle
        )
    )
    assert deployment.ask() == (200, b"s0 ")
    monkeypatch.setattr("cartdeal.agent.upstream.REUSABLE_AFTER_S", 60.0)
    open_before = set(server.connections)
    # No idle connection may be reused yet, so a new one is opened.
    assert deployment.ask() == (200, b"s0 ") and server.connections - open_before


LATEST_SECOND_ANSWER_S = 0.01  # after the first: "some milliseconds late"


def test_connection_on_which_a_second_answer_may_come_is_not_reused(deploy, monkeypatch):
    """Guards against serving a request with a late second answer to the one before it on its connection."""
    deployment = deploy()
    assert deployment.ask() == (200, b"s0 ")
    upstream, server = deployment.agent.upstream, deployment.servers[0]
    (connection,) = upstream.idle[0]
    answered_at = connection.last_active_at
    monkeypatch.setattr("cartdeal.agent.upstream.monotonic", lambda: answered_at + LATEST_SECOND_ANSWER_S)
    assert upstream.take_idle(0, server.address) is None
    for each in server.connections:
        each.sock.sendall(answer(200, b"stray"))
    until(connection.has_unread_input)
    monkeypatch.setattr("cartdeal.agent.upstream.monotonic", lambda: answered_at + 1.0)
    assert upstream.take_idle(0, server.address) is None and connection.closed


def test_new_server_at_a_known_address_does_not_reuse_its_connections(deploy):
    deployment = deploy()
    assert deployment.ask() == (200, b"s0 ")
    upstream, address = deployment.agent.upstream, deployment.servers[0].address
    until(lambda: upstream.take_idle(0, address) is None and upstream.idle)
    upstream.idle[0][0].last_active_at -= 1.0
    assert upstream.take_idle(1, address) is None and upstream.take_idle(0, address)


def test_client_error_status_does_not_count_against_the_server(deploy):
    deployment = deploy()
    for _ in range(4):
        assert deployment.ask("/read/x?do=unusable") == (400, b"")
    assert (
        deployment.agent.reducer.balancer.servers[0].is_circuit_closed
        and len(deployment.received_paths()) == 4
    )


def test_request_and_answer_are_forwarded_unchanged(deploy):
    deployment, body = deploy(), bytes(range(256)) * 256
    path = "/mark/a%20b;c?x=1&do=serve"
    assert deployment.ask(
        path,
        "POST",
        body[:-3],
        Idempotency_Key="k1",
        X_Timeout="1500000u",
        X_Request_ID="id-9",
        Cookie="a=b; sid=7f",
    ) == (200, b"s0 " + body[:-3])
    received = deployment.servers[0].received_requests[-1]
    assert (received.method, received.path, received.body) == (b"POST", path.encode(), body[:-3])
    assert received.headers[b"x-request-id"] == b"id-9" and received.headers[b"idempotency-key"] == b"k1"
    assert 0 < int(received.headers[b"x-timeout"][:-1]) <= 1500
    assert hash_key(b"7f") == 17540531883517894515


def test_request_headers_and_load_reports_reach_the_balancer(deploy, monkeypatch):
    changes = {"tenants": [{"name": "x"}, {"name": "y"}], "feedback": {"how": "answers"}}
    monkeypatch.setitem(Server.RESPONSES, "load", answer(200, b"", b'X-Server-Load: {"outstanding": 7}\r\n'))
    deployment, events = deploy(settings=SETTINGS | changes), []
    balancer = deployment.agent.reducer.balancer
    for event in ("on_request", "on_attempt_ended", "on_probe_ended"):
        handle = getattr(balancer, event)
        setattr(balancer, event, lambda *args, handle=handle: (events.append(args), handle(*args)))
    deployment.ask("/read/x?do=load", X_Tenant_Id="y", X_Retried="1")
    deployment.agent.upstream.probe(0, deployment.servers[0].address)
    until(lambda: len(events) > 2)
    (_, _, tenant, _, _, repeat), attempt, probe = events
    assert (tenant, repeat) == (1, True)
    assert (
        attempt[-1] == LoadReport(7.0, None)
        and probe[1] is Outcome.COMPLETED
        and probe[-1] == LoadReport(1.0, 2.5)
    )
    assert [deployment.agent.upstream.parse_load(each) for each in (b"\xff", b'{"throughput": []}')] == [
        None,
        None,
    ]


def test_requests_split_and_joined_on_one_connection_are_served(deploy, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.upstream.REUSABLE_AFTER_S", 0.0)
    deployment = deploy()
    connection = deployment.connect()
    for byte in encode_request("/mark/1", "POST", b"one", Idempotency_Key="k"):
        connection.sock.sendall(bytes([byte]))
        gevent.sleep(0)
    assert read_answer(connection) == (200, b"s0 one")
    chunked = (
        b"POST /once/2 HTTP/1.1\r\nX-Request-ID: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\ntw\r\n1\r\no\r\n0\r\n\r\n"
    )
    connection.sock.sendall(
        chunked + encode_request("/read/3") + encode_request("/read/4", Connection="close")
    )
    assert [read_answer(connection) for _ in range(4)] == [
        (200, b"s0 two"),
        (200, b"s0 "),
        (200, b"s0 "),
        None,
    ]
    assert deployment.received_paths() == ["/mark/1", "/once/2", "/read/3", "/read/4"]
    assert len(deployment.servers[0].connections) == 1  # all were sent on one connection to the server


def test_answers_to_a_slow_reader_stay_complete_and_in_order(deploy):
    deployment, body = deploy(), bytes(65000)
    connection = deployment.connect()
    for number in range(12):
        connection.sock.sendall(
            encode_request(f"/mark/{number}", "POST", body + b"%02d" % number, Idempotency_Key="k")
        )
    connection.sock.sendall(encode_request("/read/last", Connection="close"))
    until(lambda: len(deployment.received_paths()) == 13)
    assert [read_answer(connection)[1][-2:] for _ in range(12)] == [b"%02d" % number for number in range(12)]
    assert read_answer(connection) == (200, b"s0 ") and read_answer(connection) is None


def test_idle_connection_closed_by_the_server_is_not_reused(deploy):
    deployment = deploy()
    assert deployment.ask()[0] == 200
    for connection in list(deployment.servers[0].connections):
        connection.close()
    assert deployment.ask("/once/x", "POST") == (200, b"s0 ")
    assert deployment.received_paths() == ["/read/x", "/once/x"]


def post(*headers, body=b"abc", line=b"POST /mark/x HTTP/1.1", id=b"X-Request-ID: %d"):
    lines = [line, *headers] + [id % next(IDS)] * bool(id)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


WELL_FRAMED = [
    "no id",
    "two ids",
    "long id",
    "no time",
    "negative time",
    "two times",
    "two sessions",
    "two marks",
    "workload",
    "method",
    "body of a GET",
]
# HIDDEN: a body with a second request, which is visible if the body is framed in another way.
CHUNKED, HIDDEN = b"Transfer-Encoding: chunked", b"0\r\n\r\n" + encode_request("/read/hidden")
FILLING = b"x" * 40000


@pytest.mark.parametrize(
    "name, text, status",
    [
        ("noise", b"what is this\r\n\r\n", 400),
        ("no colon", b"GET /read/x HTTP/1.1\r\nno colon\r\n\r\n", 400),
        ("no id", encode_request("/read/x", X_Request_ID=None), 400),
        ("two ids", post(b"X-Request-ID: 7", b"Content-Length: 3"), 400),
        ("long id", encode_request("/read/x", X_Request_ID="x" * 300), 400),
        ("no time", encode_request("/read/x", X_Timeout="soon"), 400),
        ("negative time", encode_request("/read/x", X_Timeout="-5m"), 400),
        ("two times", post(b"X-Timeout: 5m", b"X-Timeout: 900m", b"Content-Length: 3"), 400),
        ("two sessions", encode_request("/read/x", Cookie="sid=a; sid=b"), 400),
        ("two marks", post(b"Idempotency-Key: a", b"Idempotency-Key: b", b"Content-Length: 3"), 400),
        ("workload", encode_request("/other/x"), 404),
        ("method", encode_request("/read/x", "DELETE"), 405),
        ("body of a GET", encode_request("/read/x", body=b"abc"), 400),
        ("long", encode_request("/mark/x", "POST", bytes(MAX_BODY_BYTES + 1)), 413),
        ("huge", post(b"Content-Length: 60000000"), 413),
        ("over 64 bits", post(b"Content-Length: 99999999999999999999"), 400),
        ("negative", post(b"Content-Length: -3"), 400),
        ("two lengths", post(b"Content-Length: 3", b"Content-Length: 3"), 400),
        (
            "chunks too long",
            post(CHUNKED, body=b"8000\r\n" + bytes(32768) + b"\r\n8001\r\n" + bytes(32769)),
            413,
        ),
        ("15 F", post(CHUNKED, body=b"F" * 15 + b"\r\nabc"), 413),
        ("16 F", post(CHUNKED, body=b"F" * 16 + b"\r\nabc"), 413),
        ("16 F, extended", post(CHUNKED, body=b"3\r\nabc\r\n" + b"F" * 16 + b";x=1\r\n"), 413),
        ("17 F", post(CHUNKED, body=b"F" * 17 + b"\r\nabc"), 400),  # some parsers use only the last 16 digits
        ("negative chunk", post(CHUNKED, body=b"-3\r\nabc\r\n0\r\n\r\n"), 400),
        ("head", encode_request("/read/x", Filling="x" * 30000), 431),
        ("trailers", post(CHUNKED, body=b"0\r\nX: " + FILLING), 431),
        ("extensions", post(CHUNKED, body=b"3;" + FILLING), 431),
        ("both", post(b"Content-Length: 53", CHUNKED, body=HIDDEN), 400),
        ("both, turned", post(CHUNKED, b"Content-Length: 53", body=HIDDEN), 400),
        ("both, with a line", post(b"Transfer_Encoding: chunked", b"Content-Length: 53", body=HIDDEN), 400),
        ("both, with a space", post(b"Transfer-Encoding : chunked", b"Content-Length: 53", body=HIDDEN), 400),
        ("both, folded", post(b"X: 1\r\n " + CHUNKED, b"Content-Length: 53", body=HIDDEN), 400),
        ("coding", post(b"Transfer-Encoding: gzip, chunked", body=HIDDEN), 400),
        ("protocol", post(b"Connection: upgrade", b"Upgrade: h2c", b"Content-Length: 53", body=HIDDEN), 400),
        ("version", post(b"Content-Length: 3", line=b"POST /mark/x HTTP/1.0"), 505),
        ("bare line ends", b"GET /read/x HTTP/1.1\nX-Request-ID: 1\n\n", 400),
    ],
    ids=lambda each: each if isinstance(each, str) else "",
)
def test_bad_input_is_refused_and_reaches_no_server(deploy, name, text, status):
    """A request read after a bad one is rejected, or ignored if the end of the bad one is unknown."""
    deployment = deploy()
    waiting = deployment.connect()
    waiting.sock.sendall(encode_request("/read/x?do=wait"))
    until(deployment.received_paths)
    bad = deployment.connect()
    bad.sock.sendall(text + encode_request("/read/behind"))
    assert read_answer(bad)[0] == status
    if name in WELL_FRAMED:
        assert read_answer(bad)[0] == 503
    assert read_answer(bad) is None
    deployment.servers[0].released.set()
    assert read_answer(waiting) == (200, b"waited") and len(deployment.received_paths()) == 1


def test_chunk_size_is_parsed_across_any_split_of_the_input(deploy):
    deployment, sizes = deploy(), b"1;FFFFFFFF\r\n\n\r\n00008\r\n\r\nFFFFF\r\r\n"
    good, bad = deployment.connect(), deployment.connect()
    for connection, body in ((good, sizes + b"0\r\nFFFFF: x\r\n\r\n"), (bad, sizes + b"10001;x\r\n")):
        request = post(CHUNKED, b"Idempotency-Key: k", body=body)
        for position in range(len(request)):
            connection.sock.sendall(request[position : position + 1])
            gevent.sleep(0)
    assert read_answer(good) == (200, b"s0 \n\r\nFFFFF\r") and read_answer(bad)[0] == 413
    assert len(deployment.received_paths()) == 1


def test_trailers_do_not_change_the_headers_of_a_request(deploy):
    deployment = deploy()
    connection = deployment.connect()
    connection.sock.sendall(
        post(
            CHUNKED,
            b"Idempotency-Key: k",
            id=b"X-Request-ID: t%d",
            body=b"3\r\nabc\r\n0\r\nX-Request-ID: 9\r\nIdempotency-Key: n\r\n\r\n",
        )
    )
    assert read_answer(connection) == (200, b"s0 abc")
    headers = deployment.servers[0].received_requests[0].headers
    assert headers[b"x-request-id"][:1] == b"t" and headers[b"idempotency-key"] == b"k"


def test_request_id_in_use_or_recently_used_is_refused(deploy):
    deployment = deploy()
    waiting = deployment.connect()
    waiting.sock.sendall(encode_request("/read/x?do=wait", X_Request_ID="same"))
    until(deployment.received_paths)
    assert deployment.ask(X_Request_ID="same")[0] == 409
    deployment.servers[0].released.set()
    assert read_answer(waiting) == (200, b"waited")
    reducer = deployment.agent.reducer
    for _ in "ab":
        assert deployment.ask(X_Request_ID="same")[0] == 409
        reducer.request_ids.rotate_at = 0.0
        assert deployment.ask()[0] == 200
    assert deployment.ask(X_Request_ID="same")[0] == 200  # ids are forgotten, so that they don't accumulate
    assert len(reducer.request_ids.recent) + len(reducer.request_ids.previous) < 4


def test_long_body_is_refused_when_the_memory_budget_is_used_up(deploy):
    deployment = deploy(limits={"memory_mb": 32, "sockets": 256})
    budget, body = deployment.agent.budget, bytes(9000)
    assert budget.max_connections == 224 and budget.free_message_bytes > 20 * 3 * MAX_BODY_BYTES
    unclaimed_bytes = budget.free_message_bytes = 30000
    waiting = deployment.connect()
    waiting.sock.sendall(encode_request("/mark/x?do=wait", "POST", body, Idempotency_Key="k"))
    until(deployment.received_paths)
    assert deployment.ask("/mark/x", "POST", body, Idempotency_Key="k")[0] == 503
    assert deployment.ask("/mark/x", "POST", b"short", Idempotency_Key="k")[0] == 200
    deployment.servers[0].released.set()
    assert read_answer(waiting)[0] == 200 and deployment.ask(connection=waiting)[0] == 200
    waiting.close()
    until(lambda: budget.free_message_bytes == unclaimed_bytes)


def test_unidentified_clients_get_few_connections_and_little_time(deploy, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.client_connection.FIRST_BYTE_TIMEOUT_S", 0.05)
    deployment = deploy(limits={"memory_mb": 64, "sockets": 96})
    front, identified = deployment.agent.front, [deployment.connect() for _ in range(4)]
    for client in identified:
        assert deployment.ask(connection=client)[0] == 200
    silent = [deployment.connect() for _ in range(100)]
    assert deployment.ask()[0] == 200  # its client is accepted last, after all silent ones
    assert len(front.unidentified) <= 17 and all(
        deployment.ask(connection=client)[0] == 200 for client in identified
    )
    partial = deployment.connect()
    partial.sock.sendall(b"GET /read/x HT")
    monkeypatch.setattr("cartdeal.agent.client_connection.READ_PAUSE_TIMEOUT_S", 0.05)
    assert all(read_answer(each) is None for each in silent)
    assert read_answer(partial)[0] == 408 and read_answer(partial) is None
    assert len(front.clients) <= 5


def test_request_followed_by_garbage_is_refused_and_reaches_no_server(deploy):
    deployment = deploy()
    connection = deployment.connect()
    connection.sock.sendall(encode_request("/read/x") + b"no request\r\n\r\n")
    assert read_answer(connection)[0] == 400
    assert read_answer(connection) is None
    assert not deployment.received_paths()


def test_partial_request_and_idle_connection_time_out(deploy, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.client_connection.READ_PAUSE_TIMEOUT_S", 0.05)
    deployment = deploy()
    connection, idle = deployment.connect(), deployment.connect()
    for each in (connection, idle):
        assert deployment.ask(connection=each)[0] == 200
    connection.sock.sendall(b"GET /read/x HT")
    assert read_answer(connection)[0] == 408 and read_answer(connection) is None
    assert len(deployment.agent.front.clients) == 1
    monkeypatch.setattr("cartdeal.agent.client_connection.IDLE_TIMEOUT_S", 0.05)
    assert read_answer(idle) is None and not deployment.agent.front.clients


def test_input_in_time_is_read_although_the_agent_is_late():
    ours, theirs = socket.socketpair()
    connection = Connection(ours, reads_responses=True)
    gevent.spawn(lambda: (theirs.send(answer(200)), time.sleep(0.06)))  # the whole process is late
    assert connection.receive(0.03) and connection.messages
    with pytest.raises(TimeoutError):
        connection.receive(0.001)


def test_timers_are_handled_in_order_and_never_early(deploy):
    agent, timers, now = deploy().agent, [], time.monotonic()
    agent.reducer.balancer.on_timer = lambda token: timers.append(
        (token, agent.reducer.now >= now + token / 1e3)
    )
    for token in (9, 1, 5):
        agent.set_timer(token, now + token / 1e3)
    time.sleep(0.02)
    agent.dispatch("on_watch_established")
    assert timers == [(1, True), (5, True), (9, True)]
    now = time.monotonic()
    agent.set_timer(3, now + 0.003)
    until(lambda: len(timers) > 3)
    assert timers[3:] == [(3, True)]


def test_client_disconnect_is_noticed_at_once(deploy):
    deployment = deploy()
    connection = deployment.connect()
    connection.sock.sendall(encode_request("/read/x?do=silent"))
    until(deployment.received_paths)
    assert deployment.agent.reducer.pending_count == 1
    connection.close()
    until(lambda: not deployment.agent.reducer.pending_count)
    assert not deployment.agent.reducer.balancer.requests and not deployment.agent.front.clients


def test_cancelled_attempt_closes_its_connection(deploy):
    deployment = deploy()
    connection = deployment.connect()
    connection.sock.sendall(encode_request("/once/x?do=silent", "POST"))
    until(deployment.received_paths)
    deployment.agent.upstream.cancel(1, 0)
    assert read_answer(connection) == (502, b"")
    until(lambda: not deployment.servers[0].connections)
    # An attempt that is cancelled before its greenlet runs still ends with an event.
    deployment.agent.upstream.send_attempt(9, 0, 0, deployment.servers[0].address, None, 0.0)
    deployment.agent.upstream.cancel(9, 0)
    until(lambda: not deployment.agent.upstream.attempts)


def test_request_to_an_unreachable_server_is_rejected(deploy):
    deployment = deploy()
    deployment.servers[0].stop()
    assert deployment.ask("/once/x", "POST", X_Timeout="500m") == (503, b"")


def test_watch_survives_split_lines_and_fails_on_bad_lines_and_silence(deploy, monkeypatch):
    monkeypatch.setattr("cartdeal.agent.discovery.SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(DiscoveryService, "HEARTBEAT_INTERVAL_S", 0.01)
    deployment = deploy()
    service, reducer = deployment.service, deployment.agent.reducer
    until(lambda: reducer.balancer.watch.is_active)
    extra = Server("s9")
    service.send_update(extra.list_entry(), split=30)
    until(lambda: b"s9" in reducer.server_indices)
    assert reducer.list_version == 2
    service.send_update(extra.list_entry(state="left"))
    until(lambda: reducer.list_version == 3)
    calls = len(service.calls)
    for break_watch in (
        lambda: service.write(service.watches[-1], b"{no list\n"),
        lambda: service.send_update(extra.list_entry(endpoint="nowhere")),
        lambda: setattr(service, "HEARTBEAT_INTERVAL_S", 1e9),
    ):
        until(lambda: service.entries.pop("s9", 1) and reducer.balancer.watch.is_active)
        break_watch()
        until(lambda: not reducer.balancer.watch.is_active)
    service.HEARTBEAT_INTERVAL_S, service.is_down = 0.01, True
    reducer.balancer.watch.next_call_at = 0.0
    deployment.agent.dispatch("on_timer", 0)
    until(lambda: len(service.calls) > calls and not deployment.agent.discovery.current_watch)
    assert deployment.ask() == (200, b"s0 ")  # the old list stays in use
    extra.stop()


def test_watch_without_changes_is_established(deploy, monkeypatch):
    monkeypatch.setattr(
        DiscoveryService,
        "handle_request",
        lambda service, connection, message: connection.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
        ),
    )
    deployment = deploy()
    until(lambda: deployment.agent.reducer.balancer.watch.is_active)


def test_complete_server_list_is_fetched(deploy):
    deployment = deploy()
    deployment.agent.reducer.fetch_servers()
    deployment.agent.run_effects()
    until(lambda: "/registry/instances" in deployment.service.calls)


def test_clients_wait_and_idle_connections_close_at_the_limit(deploy):
    deployment = deploy()
    budget, idle, busy = deployment.agent.budget, *(deployment.connect() for _ in "ib")
    assert deployment.ask(connection=idle)[0] == 200
    # Two clients, the reservation for the next one, and an idle connection to the server.
    budget.max_connections = budget.connection_count + 1
    assert deployment.ask(connection=busy) == (200, b"s0 ")
    busy.sock.sendall(encode_request("/once/1?do=wait", "POST"))
    until(lambda: "/once/1?do=wait" in deployment.received_paths())
    another = deployment.connect()
    assert deployment.ask(connection=another) == (200, b"s0 ")  # in place of the idle one
    assert read_answer(idle) is None
    budget.max_connections = 2  # fewer than are open: no other client is accepted
    assert deployment.ask("/health/ready", connection=deployment.connect()) == (200, b"")
    waiting = deployment.connect()
    waiting.sock.sendall(encode_request("/once/2", "POST"))
    for _ in range(20):
        gevent.sleep(0)
    assert "/once/2" not in deployment.received_paths()
    budget.max_connections = 10
    deployment.servers[0].released.set()
    assert read_answer(busy) == (200, b"waited")
    assert read_answer(waiting) == (200, b"s0 ")


def test_request_without_a_free_connection_for_its_attempt_is_rejected(deploy):
    deployment = deploy()
    deployment.agent.budget.max_connections = 2
    for _ in range(4):
        assert deployment.ask("/once/x", "POST", X_Timeout="300m") == (503, b"")
    assert not deployment.received_paths()
    assert deployment.agent.reducer.balancer.servers[0].is_circuit_closed  # the server did not cause it


def test_messages_between_agents_are_checked_and_sent(deploy):
    peer, unknown_sender = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in "ns")
    for each in (peer, unknown_sender):
        each.bind(("127.0.0.1", 0))
    peer_address = f"127.0.0.1:{peer.getsockname()[1]}"
    deployment = deploy(peer_listen="127.0.0.1:0", peers=[peer_address], peers_all=peer_address)
    agent, received = deployment.agent, []
    agent.reducer.on_peer_message = lambda sender, message: received.append((sender, message))
    agent_address = agent.peer_socket.getsockname()
    for sender, message in ((unknown_sender, b"no"), (peer, bytes(257)), (peer, b"yes")):
        sender.sendto(message, agent_address)
    until(lambda: received)
    assert received == [(0, b"yes")]
    for to in (0, -1, 5):
        agent.send_peer_message(to, b"hi %d" % to)
    assert [peer.recv(300) for _ in "ab"] == [b"hi 0", b"hi -1"]


def count_switches(run):
    """How often a greenlet switch occurred in the middle of an event of the reducer or the balancer."""
    switches = []

    def trace(event, greenlets):
        frame = greenlets[0].gr_frame
        while frame:
            switches.extend([event] * frame.f_code.co_filename.endswith(("reducer.py", "balancer.py")))
            frame = frame.f_back

    previous_trace = greenlet.settrace(trace)
    try:
        run()
    finally:
        greenlet.settrace(previous_trace)
    return len(switches)


def test_reducer_never_yields(deploy):
    deployment = deploy(servers=2)
    assert (
        count_switches(
            lambda: [
                deployment.ask(f"/read/{number}?do={does}", X_Timeout="100m")
                for number, does in enumerate(Server.RESPONSES)
            ]
        )
        == 0
    )
    deployment.agent.reducer.balancer.record_result = lambda *args: gevent.sleep(0)
    assert count_switches(deployment.ask) > 0


def test_internal_fault_fails_only_its_own_requests(deploy, caplog):
    deployment = deploy()
    deployment.agent.upstream.write = None
    assert deployment.ask("/once/x", "POST") == (503, b"")
    del deployment.agent.upstream.write
    assert "attempt died" in caplog.text and deployment.ask() == (200, b"s0 ")
    deployment.agent.front.request_parser.parse = None
    connection = deployment.connect()
    connection.sock.sendall(encode_request() + encode_request() + encode_request()[:20])
    assert [read_answer(connection)[0] for _ in range(2)] == [503] * 2 and read_answer(connection) is None
    del deployment.agent.front.request_parser.parse
    assert deployment.ask() == (200, b"s0 ")


def test_accepting_continues_after_an_internal_fault(deploy, caplog):
    deployment = deploy()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("cartdeal.agent.front.ClientConnection", None)
        deployment.connect()
        until(lambda: "background task failed" in caplog.text)
    assert deployment.ask() == (200, b"s0 ")


def start(tmp_path, deployment, **changes):
    """Starts an agent process with the deployment's configuration and these changes."""
    file = tmp_path / "agent.json"
    file.write_text(json.dumps(deployment.config | changes))
    return subprocess.Popen(
        [sys.executable, "-m", "cartdeal"],
        stderr=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(file)},
    )


def wait_for_line(agent, text):
    """Reads the agent's log up to a line that contains the text, and returns the line."""
    while text not in (line := agent.stderr.readline()):
        assert line, "the agent ended before it logged this"
    return line


def direct_requests_to(agent, deployment):
    """Directs the deployment's requests to an agent process, instead of the agent in this process."""
    deployment.agent.front.port = int(wait_for_line(agent, b"msg=serving").split(b"port=")[1].split()[0])


POOL_SETTINGS = {
    "family": "proxy",
    "discovery": "pushed",
    "weightKind": "live",
    "groupSize": 2,
    "feedback": {"how": "answers", "columns": ["backlog", "recent_ms"]},
    "objectiveMix": {"worstClass": 0.4},
}


@pytest.mark.parametrize(
    "report, served",
    [
        (b"", 5),
        (b'X-Server-Load: {"backlog": 3, "recent_ms": 9}\r\n', 3),
        (b'X-Server-Load: {"backlog": -3}\r\n', 5),
        (b'X-Server-Load: {"backlog": NaN}\r\n', 5),
        (b'X-Server-Load: {"backlog": 0, "moods": []}\r\n', 5),
    ],
)
def test_pool_agent_watches_servers_and_uses_their_load_reports(
    deploy, tmp_path, monkeypatch, report, served
):
    monkeypatch.setitem(Server.RESPONSES, "load", answer(200, b"", report))
    deployment = deploy()
    deployment.service.calls.clear()
    agent = start(tmp_path, deployment, settings=SETTINGS | POOL_SETTINGS, known={})
    direct_requests_to(agent, deployment)
    until(lambda: deployment.ask("/health/ready")[0] == 200)  # it knows no server at its start
    assert any("watch=1" in call for call in deployment.service.calls)
    assert deployment.ask("/read/x?do=load") == (200, b"")
    # A quick answer raises the limit from four requests in flight to five; a reported backlog lowers it to
    # three. Requests above the limit are rejected after a moment.
    requests = [gevent.spawn(deployment.ask, "/once/x?do=wait", "POST") for _ in range(6)]
    until(lambda: sum(each.ready() for each in requests) >= 6 - served)
    assert sum(b"wait" in message.path for message in deployment.servers[0].received_requests) == served
    deployment.servers[0].released.set()
    assert sorted(each.get()[0] for each in requests) == [200] * served + [503] * (6 - served)
    agent.terminate()
    assert agent.wait(timeout=10) == 0


def test_shutdown_answers_pending_requests(deploy, tmp_path):
    deployment = deploy()
    agent = start(tmp_path, deployment)
    direct_requests_to(agent, deployment)
    assert deployment.ask("/health/ready")[0] == 200
    waiting, idle = deployment.connect(), deployment.connect()
    waiting.sock.sendall(encode_request("/once/1?do=wait", "POST"))
    until(deployment.received_paths)
    agent.send_signal(signal.SIGTERM)
    wait_for_line(agent, b"msg=ending")
    assert deployment.ask() == (200, b"s0 ") == deployment.ask(connection=idle)
    with pytest.raises(ConnectionError):
        while True:  # the listener closes, but open connections stay usable
            deployment.connect().close()
    assert deployment.ask(connection=idle) == (200, b"s0 ")
    assert agent.poll() is None  # a request is still unanswered
    deployment.servers[0].released.set()
    assert read_answer(waiting) == (200, b"waited") and read_answer(waiting) is None
    assert read_answer(idle) is None  # closed between requests
    assert agent.wait() == 0


def test_new_configuration_moves_the_watch_and_a_bad_one_is_ignored(deploy, tmp_path):
    deployment, new_service = deploy(), DiscoveryService()
    agent = start(tmp_path, deployment)
    direct_requests_to(agent, deployment)
    until(lambda: len(deployment.service.connections) == 2)  # the agent in this process watches too
    waiting, file = deployment.connect(), tmp_path / "agent.json"
    waiting.sock.sendall(encode_request("/once/1?do=wait", "POST"))
    until(deployment.received_paths)
    for file_text, log_text in (
        (json.dumps(deployment.config)[:-90], b"can't be used"),
        (json.dumps(deployment.config | {"discovery": "nowhere"}), b"discovery: found"),
    ):
        file.write_text(file_text)
        agent.send_signal(signal.SIGHUP)
        assert log_text in wait_for_line(agent, b"configuration refused")
    assert len(deployment.service.connections) == 2
    file.write_text(json.dumps(deployment.config | {"discovery": new_service.address, "name": "n9"}))
    new_service.is_mute, new_service.entries = True, deployment.service.entries
    agent.send_signal(signal.SIGHUP)
    assert b"needs_restart=name" in wait_for_line(agent, b"configuration read")
    until(lambda: new_service.watches)
    assert (
        new_service.calls == ["/registry/instances?watch=1&after=0"]
        and len(deployment.service.connections) == 2
    )
    new_service.send_update()  # the new watch is established, and the old one is closed
    until(lambda: len(deployment.service.connections) == 1)
    agent.send_signal(signal.SIGHUP)
    agent.send_signal(signal.SIGHUP)
    wait_for_line(agent, b"configuration read")
    deployment.servers[0].released.set()
    assert read_answer(waiting) == (200, b"waited") and deployment.ask() == (200, b"s0 ")
    assert len(new_service.calls) == 1
    agent.terminate()
    agent.send_signal(signal.SIGHUP)
    assert agent.wait() == 0
    new_service.stop()


def test_backoff_is_not_carried_over_to_a_new_discovery_address(deploy):
    deployment, new_service = deploy(), DiscoveryService()
    deployment.service.stop()
    until(lambda: deployment.agent.reducer.balancer.watch.call_pause > 0.5)
    deployment.agent.reducer.balancer.watch.call_pause = 60.0
    deployment.agent.discovery.move(("127.0.0.1", int(new_service.address.split(":")[1])))
    deployment.agent.dispatch("on_discovery_moved")
    until(lambda: deployment.agent.reducer.balancer.watch.is_active)
    new_service.stop()


def test_further_attempt_sends_only_the_remaining_timeout(deploy, monkeypatch):
    """The first attempt is rejected by its server after a fifth of the timeout."""
    deployment, handle_request = deploy(servers=2), Server.handle_request
    rejection = answer(503, extra_headers=Server.NOT_PROCESSED_HEADER)

    def reject_the_first(server, connection, message):
        if sum(len(each.received_requests) for each in deployment.servers):
            return handle_request(server, connection, message)
        server.received_requests.append(message)
        gevent.sleep(0.2)
        connection.write(rejection)

    monkeypatch.setattr(Server, "handle_request", reject_the_first)
    assert deployment.ask("/read/x", X_Timeout="1000m")[0] == 200
    first, second = sorted(
        (
            int(message.headers[b"x-timeout"][:-1])
            for server in deployment.servers
            for message in server.received_requests
        ),
        reverse=True,
    )
    assert first <= 1000 and 0 < second <= first - 190


def test_pipelined_readiness_checks_do_not_starve_others(deploy):
    front, turns, check_turns = deploy().agent.front, [0], []
    front.ready = lambda: check_turns.append(turns[0]) or True
    client = socket.create_connection(("127.0.0.1", front.port))
    client.sendall(
        encode_request("/health/ready", X_Padding="x" * 300) * 200
    )  # all arrives before it is read

    def take_turns():
        while True:
            turns[0] += 1
            gevent.sleep(0)

    other_greenlet = gevent.spawn(take_turns)
    until(lambda: len(check_turns) == 200)
    other_greenlet.kill()
    client.close()
    assert max(check_turns.count(turn) for turn in set(check_turns)) <= 16


def test_repeated_log_lines_are_limited_and_counted(monkeypatch):
    rate_limit, left_out_counts, now = RateLimitFilter(), [], [0.0]
    monkeypatch.setattr("cartdeal.agent.log_output.monotonic", lambda: now[0])
    for number in range(1000):
        now[0] = 5.0 + number / 400
        record = logging.makeLogRecord({"name": "x", "msg": "refused"})
        if rate_limit.filter(record):
            left_out_counts.append(getattr(record, "left_out", 0))
    assert len(left_out_counts) == 3 * MAX_LINES_PER_SECOND and sum(left_out_counts) == 2 * (
        400 - MAX_LINES_PER_SECOND
    )
    assert rate_limit.filter(logging.makeLogRecord({"name": "x", "msg": "ending"}))


@pytest.mark.parametrize(
    "changes, status, message",
    [
        ({"settings": 5}, 2, b"$.settings"),
        ({"listen": "192.0.2.1:80"}, 1, b"can't listen on"),
    ],
)
def test_agent_that_cannot_start_logs_the_reason_in_one_line(deploy, tmp_path, changes, status, message):
    agent = start(tmp_path, deploy(), **changes)
    output = agent.stderr.read()
    assert agent.wait() == status and message in output and output.count(b"\n") == 1


def test_pending_attempt_fails_before_the_shutdown_deadline(deploy, tmp_path):
    deployment = deploy()
    agent = start(tmp_path, deployment)
    direct_requests_to(agent, deployment)
    connection = deployment.connect()
    connection.sock.sendall(encode_request("/once/1?do=silent", "POST", X_Timeout="9000m"))
    until(deployment.received_paths)
    agent.send_signal(signal.SIGTERM)
    assert read_answer(connection) == (502, b"") and read_answer(connection) is None
    assert agent.wait() == 0


@pytest.mark.parametrize(
    "limit, expected", [(2.0, 2.0 + SHUTDOWN_MARGIN_S), (6.0, MAX_DEADLINE_WAIT_S + SHUTDOWN_MARGIN_S)]
)
def test_shutdown_time_is_limited_despite_long_timeouts(limit, expected):
    request_classes = ClassSettings(timeout_us=limit * 1e6), ClassSettings(timeout_us=1e6)
    assert shutdown_duration(Settings(request_classes=request_classes)) == pytest.approx(expected)
    assert expected < min(limit, 3.0) + 0.7
