"""Changes between the selection of a server and the first byte of the attempt there."""

from heapq import heappush
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from cartdeal.agent import upstream
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import AttemptEndReason, AttemptResult, Progress
from tests.fleet.test_admission import MARK as ADMISSION_MARK
from tests.fleet.test_admission import AdmissionHarness
from tests.scene import SETTINGS, Deployment, encode_request, read_answer, until
from tests.test_reducer import ReducerHarness

READ, MARK, ONCE = range(3)
WITHOUT_CANCEL = SETTINGS | {
    "caps": SETTINGS["caps"] | {"cancel": False},
    "workloads": [each | {"goalTimeUs": 20000000} for each in SETTINGS["workloads"]],
}  # the long latency targets let requests be queued for a while


pytestmark = pytest.mark.usefixtures("bounded")


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path, settings=WITHOUT_CANCEL)
    yield deployment
    deployment.stop()


@pytest.fixture
def late(monkeypatch):
    """Connections to servers, in `sockets`, whose connect returns only when the test sets `gate`."""
    sockets, gate = [], Event()

    class LateSocket(socket.socket):
        def connect(self, address):
            super().connect(address)
            sockets.append(self)
            gate.wait()

    replace_upstream_sockets(monkeypatch, LateSocket)
    return SimpleNamespace(sockets=sockets, gate=gate)


@pytest.fixture
def narrow(monkeypatch, deployment):
    """A server that receives a few bytes of a request, and reads the rest after a call of the fixture.

    The call starts the greenlet that accepts connections.
    """

    class NarrowSocket(socket.socket):
        def connect(self, address):
            self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            super().connect(address)

    replace_upstream_sockets(monkeypatch, NarrowSocket)
    server = deployment.servers[0]
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.accept_greenlet.kill()
    return lambda: setattr(server, "accept_greenlet", gevent.spawn(server.accept))


def replace_upstream_sockets(monkeypatch, socket_class):
    names = ("AF_INET", "SOCK_STREAM", "IPPROTO_TCP", "TCP_NODELAY", "wait_write")
    monkeypatch.setattr(
        "cartdeal.agent.upstream.socket",
        SimpleNamespace(socket=socket_class, **{name: getattr(socket, name) for name in names}),
    )


def wait_until_settled(deployment):
    """Waits until all attempts have ended, and checks that no connection to a server is left."""
    until(lambda: not deployment.agent.upstream.attempts)
    # One more is reserved for the next client.
    assert deployment.agent.budget.connection_count == len(deployment.agent.front.clients) + 1
    until(lambda: not deployment.servers[0].connections)


def wait_for_unread_ends(deployment, count):
    """Waits until this many clients' ends are unread at the agent; no other greenlet runs meanwhile."""
    while sum(each.peer_ended() for each in deployment.agent.front.clients) < count:
        pass


@pytest.mark.parametrize(
    "changes", [{"state": "leaving"}, {"state": "left"}, {"endpoint": "127.0.0.1:9"}, {"boot_ms": 1}], ids=str
)
@pytest.mark.parametrize("path", ["/once/x", "/read/x"])
def test_nothing_is_sent_if_the_server_changed_while_connecting(deployment, late, changes, path):
    client = deployment.connect()
    client.sock.sendall(encode_request(path, "POST" if "once" in path else "GET"))
    until(lambda: late.sockets)
    deployment.service.send_update(deployment.servers[0].list_entry(**changes))
    until(lambda: deployment.agent.reducer.list_version == 2)
    late.gate.set()
    # It never ran, and there is no other server: the answer must say so (503, not 502).
    assert read_answer(client)[0] == 503 and not deployment.received_paths()
    wait_until_settled(deployment)


def test_nothing_is_sent_if_the_server_left_the_list_while_connecting(deployment, late):
    client, service = deployment.connect(), deployment.service
    client.sock.sendall(encode_request("/read/x"))
    until(lambda: late.sockets)
    service.version += 1
    for watch in service.watches:
        service.write(watch, service.server_list([], True) + b"\n")
    until(lambda: deployment.agent.reducer.list_version == 2)
    late.gate.set()
    assert read_answer(client)[0] == 503 and not deployment.received_paths()
    wait_until_settled(deployment)


def test_nothing_is_sent_if_the_client_closed_while_connecting(deployment, late):
    client = deployment.connect()
    client.sock.sendall(encode_request("/once/x", "POST"))
    until(lambda: late.sockets)
    client.close()
    until(lambda: not deployment.agent.front.clients)
    late.gate.set()
    wait_until_settled(deployment)
    assert not deployment.received_paths() and not deployment.agent.reducer.requests


@pytest.mark.parametrize("is_reused", [False, True])
def test_nothing_is_sent_if_the_client_closed_while_the_attempt_was_encoded(
    deployment, monkeypatch, is_reused
):
    """Guards against a check of the client long before the write: the process may be stopped in between."""
    if is_reused:
        assert deployment.ask("/read/first")[0] == 200
        (idle,) = deployment.agent.upstream.idle.values()
        idle[0].last_active_at -= 1.0  # a connection that was just used isn't used again
    client, encode = deployment.connect(), upstream.encode_request

    def close_and_encode(*arguments):
        client.close()
        return encode(*arguments)

    monkeypatch.setattr(upstream, "encode_request", close_and_encode)
    client.sock.sendall(encode_request("/once/x", "POST"))
    until(lambda: deployment.agent.metrics.counts["clients_gone"])
    until(lambda: not deployment.agent.upstream.attempts)
    assert deployment.ask("/read/last")[0] == 200
    assert deployment.received_paths() == ["/read/first"] * is_reused + ["/read/last"]


@pytest.mark.parametrize("ends", ["cancel", "overdue"])
def test_nothing_is_sent_if_the_attempt_was_cancelled_while_connecting(deployment, late, ends):
    client = deployment.connect()
    client.sock.sendall(encode_request("/once/x", "POST"))
    until(lambda: late.sockets)
    if ends == "cancel":
        deployment.agent.upstream.cancel(1, 0)
    else:
        deployment.agent.dispatch("on_deadline_passed", 1)
    late.gate.set()
    assert read_answer(client)[0] in (502, 503)
    wait_until_settled(deployment)
    assert not deployment.received_paths()


@pytest.mark.parametrize("after_window", [True, False])
def test_delayed_write_is_completed_only_within_the_repeat_window(deployment, narrow, after_window):
    reducer, client, body = deployment.agent.reducer, deployment.connect(), bytes(60000)
    client.sock.sendall(encode_request("/mark/x", "POST", body, Idempotency_Key="k", X_Timeout="15000m"))
    attempts = deployment.agent.upstream.attempts
    until(lambda: attempts and next(iter(attempts.values())).progress is Progress.PARTLY_WRITTEN)
    if after_window:  # an earlier attempt that may have run, before the repeat window
        balancer = reducer.balancer
        balancer.requests[1].possible_executions[-1] = balancer.servers[0], reducer.now - 60.0
    narrow()
    # Outside the window it must not be sent again, and its client must not be told that it never ran.
    assert read_answer(client) == ((502, b"") if after_window else (200, b"s0 " + body))
    assert len(deployment.received_paths()) == 1 - after_window
    until(lambda: not attempts)


def test_request_not_written_by_its_deadline_never_ran(deployment, narrow):
    body = bytes(60000)
    assert deployment.ask("/once/x", "POST", body, X_Timeout="300m") == (503, b"")
    narrow()
    assert deployment.ask("/once/y", "POST")[0] == 200  # its connection is accepted after that of the first
    assert deployment.received_paths() == ["/once/y"]


def test_late_agent_rejects_a_request_whose_attempt_never_ran(deployment, narrow):
    """Guards against a 502 where a deadline and the end of an unwritten attempt are handled late together."""
    agent, client = deployment.agent, deployment.connect()
    client.sock.sendall(encode_request("/once/x", "POST", bytes(60000), X_Timeout="15000m"))
    attempts = agent.upstream.attempts
    until(lambda: attempts and next(iter(attempts.values())).progress is Progress.PARTLY_WRITTEN)
    ((number, attempt),) = attempts
    agent.reducer.requests[number].deadline = agent.reducer.balancer.requests[number].deadline = 0.0
    heappush(agent.timers, (0.0, 0, "on_deadline_passed", number))
    result = AttemptResult(AttemptEndReason.TIMED_OUT, Progress.PARTLY_WRITTEN, 0.3)
    agent.on_attempt_ended(number, 0, attempt, result, None)
    assert read_answer(client)[0] == 503


@pytest.mark.parametrize(
    "how", [socket.socket.close, lambda sock: sock.shutdown(socket.SHUT_WR)], ids=["closes", "ends its side"]
)
def test_no_attempt_starts_for_clients_with_an_unread_close(deployment, how):
    until(lambda: deployment.agent.reducer.balancer.watch.is_active)
    draining = ServerEntry("s0", deployment.servers[0].address, "a", state="leaving")
    deployment.agent.dispatch("on_server_list", ServerList(2, False, (draining,)))
    clients = [deployment.connect() for _ in range(8)]
    for client in clients:
        client.sock.sendall(encode_request("/once/x", "POST", X_Timeout="15000m"))
    queued_requests = deployment.agent.reducer.balancer.queued_requests
    until(lambda: len(queued_requests) == len(clients))
    for client in clients:
        how(client.sock)
    wait_for_unread_ends(
        deployment, len(clients)
    )  # the agent is late: the next event is a server with capacity for all
    ready = ServerEntry("s0", deployment.servers[0].address, "a")
    deployment.agent.dispatch("on_server_list", ServerList(3, False, (ready,)))
    assert deployment.agent.upstream.attempts
    until(lambda: not deployment.agent.front.clients)
    wait_until_settled(deployment)
    assert not deployment.received_paths() and not deployment.agent.reducer.requests


def test_pipelined_request_is_dropped_when_its_client_disconnects(deployment):
    client = deployment.connect()
    client.sock.sendall(encode_request("/read/1?do=wait") + encode_request("/once/2", "POST"))
    until(deployment.received_paths)
    client.close()
    wait_for_unread_ends(deployment, 1)
    result = AttemptResult(AttemptEndReason.ANSWERED, Progress.COMPLETE, 0.1, 200)
    deployment.agent.dispatch("on_attempt_ended", 1, 0, 0, result)  # the answer is read before the close
    until(lambda: not deployment.agent.front.clients)
    deployment.servers[0].released.set()
    until(lambda: not deployment.agent.upstream.attempts)
    assert deployment.received_paths() == ["/read/1?do=wait"]


def test_disconnect_is_noticed_after_input_is_discarded(deployment):
    client = deployment.connect()
    requests = encode_request("/read/1?do=wait") + encode_request("/read/2")
    client.sock.sendall(requests + b"no request\r\n\r\n")
    until(
        lambda: deployment.received_paths()
        and any(each.discards_input for each in deployment.agent.front.clients)
    )
    client.close()
    until(lambda: not deployment.agent.reducer.pending_count)


def test_repeat_is_sent_only_within_the_repeat_window(tmp_path):
    for request_class, is_sent in ((READ, True), (MARK, False)):
        context = ReducerHarness(tmp_path)
        context.send_request(request_class, timeout=6.0)
        context.end_attempt(1, 0, AttemptEndReason.CONNECTION_BROKEN, Progress.WRITTEN)
        server = context.servers_by_attempt[1, 1]
        assert context.reducer.may_send(1, 1, server)
        context.reducer.now += 4.0
        assert context.reducer.may_send(1, 1, server) is is_sent
        context.reducer.now += 2.0  # the deadline
        assert not context.reducer.may_send(1, 1, server)
        context.end_attempt(1, 1, AttemptEndReason.NOT_SENT, Progress.NOT_CONNECTED)
        # A request that may have run is rejected (503) only if a repeat does no harm.
        assert context.lines[-1].split()[:4] == ["answer", "line", "1", "503" if is_sent else "502"]


def test_non_idempotent_request_is_sent_again_if_it_never_ran(tmp_path):
    context = ReducerHarness(tmp_path)
    context.send_request(ONCE)
    assert context.reducer.may_send(1, 0, context.servers_by_attempt[1, 0])
    context.end_attempt(1, 0, AttemptEndReason.NOT_SENT, Progress.NOT_CONNECTED)
    assert context.servers_by_attempt[1, 1] != context.servers_by_attempt[1, 0] and context.reducer.may_send(
        1, 1, context.servers_by_attempt[1, 1]
    )
    assert not context.reducer.may_send(1, 0, context.servers_by_attempt[1, 0])  # that attempt has ended


def test_earlier_attempt_at_another_agent_is_checked_before_sending(tmp_path):
    context = AdmissionHarness(tmp_path)
    context.send_request(ADMISSION_MARK)
    context.run_event(0.01, "on_admitted", 1, context.earlier_attempts(("a", 1), group="all", duration=0.5))
    server = context.servers_by_attempt[1, 0]
    assert context.reducer.may_send(1, 0, server)
    context.reducer.now += 0.6
    assert not context.reducer.may_send(1, 0, server)


@pytest.mark.parametrize("location", [{"zone": "b"}, {"zone": "a", "cell": 5}], ids=str)
def test_attempts_keep_the_scope_of_a_server_that_moves(tmp_path, location):
    context = ReducerHarness(tmp_path)
    context.send_request(MARK)
    balancer, server = context.reducer.balancer, context.servers_by_attempt[1, 0]
    trace, _ = balancer.requests[1].possible_executions[0]
    before = trace.zone, trace.cell
    name = next(name for name, index in context.reducer.server_indices.items() if index == server)
    entry = ServerEntry(name.decode(), context.reducer.servers[server].address, **location)
    context.run_event(0.0, "on_server_list", ServerList(4, False, (entry,)))
    assert (trace.zone, trace.cell) == before and not context.reducer.may_send(1, 0, server)
    assert context.reducer.server_indices[name] != server and server not in context.reducer.servers
    context.end_attempt(1, 0)
    assert server not in balancer.servers and not context.reducer.pending_count
    context.run_event(0.0, "on_server_list", ServerList(5, False, (entry,)))
    assert len(balancer.servers) == 2  # the same list again is no further move


def send_ahead(deployment, behind):
    """A client whose first request is in flight; `behind` more are sent as far as there is room."""
    client = deployment.connect()
    first = encode_request("/read/first?do=wait", X_Timeout="60000m")
    data = first + b"".join(encode_request("/once/behind", "POST") for _ in range(behind))
    client.sock.settimeout(0.0)
    try:
        while data:
            data = data[client.sock.send(data) :]
    except BlockingIOError:
        pass
    until(deployment.received_paths)
    return client


def break_attempts(deployment):
    """Ends the connections of the servers, so that requests which may be repeated are sent again."""
    for server in deployment.servers:
        for connection in list(server.connections):
            connection.close()


@pytest.mark.parametrize("behind", [100, 3000, 20_000])
def test_no_further_attempt_begins_for_a_client_that_closed_with_much_unread(tmp_path, bounded, behind):
    """Guards against attempts after a close whose sign can't arrive, since unread input takes the room."""
    deployment = Deployment(tmp_path, servers=2)
    client = send_ahead(deployment, behind)
    client.close()
    agent = deployment.agent
    (connection,) = agent.front.clients or [None]
    if connection:
        connection.last_active_at -= 1.0
    break_attempts(deployment)
    until(lambda: not (agent.front.clients or agent.reducer.requests))
    assert deployment.received_paths() == ["/read/first?do=wait"]
    deployment.stop()


@pytest.mark.parametrize("behind, status, attempts", [(100, 200, 2), (3000, 502, 1)])
def test_client_that_stays_with_much_unread_is_answered(tmp_path, bounded, behind, status, attempts):
    """Guards against closing such a client without an answer, and against refusing retries to usual ones."""
    deployment = Deployment(tmp_path, servers=2)
    client = send_ahead(deployment, behind)
    (connection,) = deployment.agent.front.clients
    until(connection.has_full_queue)
    connection.last_active_at -= 1.0
    break_attempts(deployment)
    if attempts == 2:
        until(lambda: len(deployment.received_paths()) == 2)
        deployment.servers[0].released.set()
        deployment.servers[1].released.set()
    client.sock.settimeout(5.0)
    assert read_answer(client)[0] == status
    assert read_answer(client)[0] == 200
    assert deployment.received_paths().count("/read/first?do=wait") == attempts
    client.close()
    deployment.stop()


def test_id_of_a_request_whose_client_left_is_refused_while_it_may_run_and_after(deployment):
    """Guards against running an id twice that comes again after its client has left."""
    client = deployment.connect()
    client.sock.sendall(encode_request("/once/x?do=wait", "POST", X_Request_ID="left"))
    until(deployment.received_paths)
    client.close()
    until(lambda: not deployment.agent.reducer.pending_count)
    assert deployment.ask("/once/x", "POST", X_Request_ID="left")[0] == 409
    deployment.servers[0].released.set()
    until(lambda: not deployment.agent.reducer.requests)
    assert deployment.ask("/once/x", "POST", X_Request_ID="left")[0] == 409
    assert deployment.received_paths() == ["/once/x?do=wait"]


@pytest.mark.parametrize("earlier, status", [(False, "503"), (True, "502")])
def test_request_of_an_unseen_client_is_rejected_only_if_it_never_ran(tmp_path, earlier, status):
    """Guards against failing a request that was never sent, and against rejecting one that may have run."""
    context = ReducerHarness(tmp_path)
    context.send_request(MARK, non_idempotent=True)
    if earlier:
        context.reducer.requests[1].sent_count += 1  # by another attempt
    context.run_event(0.0, "on_client_unseen", 1, 0)
    assert context.lines[-1].split()[:4] == ["answer", "line", "1", status]
    assert not context.reducer.may_send(1, 0, context.servers_by_attempt[1, 0])
    context.end_attempt(1, 0, AttemptEndReason.NOT_SENT, Progress.NOT_CONNECTED)
    assert not context.reducer.requests
