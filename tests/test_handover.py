"""What may have changed between the choice of a server and an attempt's first byte there."""

from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress
from tests.fleet.test_admission import MARK as ADMISSION_MARK
from tests.fleet.test_admission import AdmissionHarness
from tests.scene import SETTINGS, Deployment, answered, until, worded
from tests.test_reducer import ReducerHarness

READ, MARK, ONCE = range(3)
WITHOUT_CANCEL = SETTINGS | {
    "caps": SETTINGS["caps"] | {"cancel": False},
    "workloads": [each | {"goalTimeUs": 20000000} for each in SETTINGS["workloads"]],
}  # requests are held for a while


pytestmark = pytest.mark.usefixtures("bounded")


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path, settings=WITHOUT_CANCEL)
    yield made
    made.stop()


@pytest.fixture
def late(monkeypatch):
    """Connections to servers that count as up only when the test lets them: `came` lists them."""
    came, gate = [], Event()

    class Late(socket.socket):
        def connect(self, address):
            super().connect(address)
            came.append(self)
            gate.wait()

    put_in_place(monkeypatch, Late)
    return SimpleNamespace(came=came, gate=gate)


@pytest.fixture
def narrow(monkeypatch, deployment):
    """A server that takes a few bytes of a request and reads on only when the test has it accept."""

    class Narrow(socket.socket):
        def connect(self, address):
            self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            super().connect(address)

    put_in_place(monkeypatch, Narrow)
    server = deployment.servers[0]
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.work.kill()
    return lambda: setattr(server, "work", gevent.spawn(server.accept))


def put_in_place(monkeypatch, kind):
    names = ("AF_INET", "SOCK_STREAM", "IPPROTO_TCP", "TCP_NODELAY", "wait_write")
    monkeypatch.setattr(
        "cartdeal.agent.upstream.socket",
        SimpleNamespace(socket=kind, **{name: getattr(socket, name) for name in names}),
    )


def settled(deployment):
    """All attempts have ended, and no connection to a server is left over."""
    until(lambda: not deployment.agent.upstream.out)
    assert deployment.agent.budget.used == len(deployment.agent.front.clients) + 1  # the next client's
    until(lambda: not deployment.servers[0].open)


def unread_end(deployment, count):
    """So many ends lie in the agent's sockets, unread, when this returns: no other greenlet has run since."""
    while sum(each.peer_ended() for each in deployment.agent.front.clients) < count:
        pass


@pytest.mark.parametrize(
    "more", [{"state": "leaving"}, {"state": "left"}, {"endpoint": "127.0.0.1:9"}, {"boot_ms": 1}], ids=str
)
@pytest.mark.parametrize("path", ["/once/x", "/read/x"])
def test_connection_that_comes_up_after_its_server_changed_carries_nothing(deployment, late, more, path):
    client = deployment.connect()
    client.sock.sendall(worded(path, "POST" if "once" in path else "GET"))
    until(lambda: late.came)
    deployment.service.tell(deployment.servers[0].line(**more))
    until(lambda: deployment.agent.reducer.list_version == 2)
    late.gate.set()
    # It never ran, and there is no other server: none is turned away in doubt.
    assert answered(client)[0] == 503 and not deployment.seen()
    settled(deployment)


def test_connection_that_comes_up_after_a_whole_list_left_its_server_out_carries_nothing(deployment, late):
    client, service = deployment.connect(), deployment.service
    client.sock.sendall(worded("/read/x"))
    until(lambda: late.came)
    service.version += 1
    for watch in service.watches:
        service.write(watch, service.server_list([], True) + b"\n")
    until(lambda: deployment.agent.reducer.list_version == 2)
    late.gate.set()
    assert answered(client)[0] == 503 and not deployment.seen()
    settled(deployment)


def test_connection_that_comes_up_after_its_client_has_gone_carries_nothing(deployment, late):
    client = deployment.connect()
    client.sock.sendall(worded("/once/x", "POST"))
    until(lambda: late.came)
    client.close()
    until(lambda: not deployment.agent.front.clients)
    late.gate.set()
    settled(deployment)
    assert not deployment.seen() and not deployment.agent.reducer.requests


@pytest.mark.parametrize("ends", ["cancel", "overdue"])
def test_connection_that_comes_up_after_its_attempt_was_given_up_is_closed_unused(deployment, late, ends):
    client = deployment.connect()
    client.sock.sendall(worded("/once/x", "POST"))
    until(lambda: late.came)
    if ends == "cancel":
        deployment.agent.upstream.cancel(1, 0)
    else:
        deployment.agent.dispatch("on_deadline_passed", 1)
    late.gate.set()
    assert answered(client)[0] in (502, 503)
    settled(deployment)
    assert not deployment.seen()


@pytest.mark.parametrize("over", [True, False])
def test_request_held_up_in_the_middle_is_whole_within_its_window_or_never(deployment, narrow, over):
    reducer, client, body = deployment.agent.reducer, deployment.connect(), bytes(60000)
    client.sock.sendall(worded("/mark/x", "POST", body, Idempotency_Key="k", X_Timeout="15000m"))
    attempts = deployment.agent.upstream.out
    until(lambda: attempts and next(iter(attempts.values())).progress is Progress.PARTLY_WRITTEN)
    if over:  # an earlier attempt of it that may have run, longer ago than servers remember
        balancer = reducer.balancer
        balancer.requests[1].possible_executions[-1] = balancer.servers[0], reducer.now - 60.0
    narrow()
    # In doubt it may not be sent again, nor its client told that it never ran.
    assert answered(client) == ((502, b"") if over else (200, b"s0 " + body))
    assert len(deployment.seen()) == 1 - over
    until(lambda: not attempts)


def test_request_held_up_until_its_deadline_never_ran(deployment, narrow):
    body = bytes(60000)
    assert deployment.ask("/once/x", "POST", body, X_Timeout="300m") == (503, b"")
    narrow()
    assert deployment.ask("/once/y", "POST")[0] == 200  # it is accepted behind the first
    assert deployment.seen() == ["/once/y"]


@pytest.mark.parametrize(
    "how", [socket.socket.close, lambda sock: sock.shutdown(socket.SHUT_WR)], ids=["closes", "ends its side"]
)
def test_no_attempt_begins_for_clients_whose_close_lies_unread(deployment, how):
    until(lambda: deployment.agent.reducer.balancer.watch.is_active)
    draining = ServerEntry("s0", deployment.servers[0].address, "a", state="leaving")
    deployment.agent.dispatch("on_server_list", ServerList(2, False, (draining,)))
    clients = [deployment.connect() for _ in range(8)]
    for client in clients:
        client.sock.sendall(worded("/once/x", "POST", X_Timeout="15000m"))
    held = deployment.agent.reducer.balancer.queued_requests
    until(lambda: len(held) == len(clients))
    for client in clients:
        how(client.sock)
    unread_end(deployment, len(clients))  # the agent is late: what it sees next is room for all of them
    ready = ServerEntry("s0", deployment.servers[0].address, "a")
    deployment.agent.dispatch("on_server_list", ServerList(3, False, (ready,)))
    assert deployment.agent.upstream.out
    until(lambda: not deployment.agent.front.clients)
    settled(deployment)
    assert not deployment.seen() and not deployment.agent.reducer.requests


def test_request_behind_another_ends_with_its_client(deployment):
    client = deployment.connect()
    client.sock.sendall(worded("/read/1?do=wait") + worded("/once/2", "POST"))
    until(deployment.seen)
    client.close()
    unread_end(deployment, 1)
    done = AttemptResult(FailureReason.ANSWERED, Progress.COMPLETE, 0.1, 200)
    deployment.agent.dispatch("on_attempt_ended", 1, 0, 0, done)  # the answer is read before the close
    until(lambda: not deployment.agent.front.clients)
    deployment.servers[0].released.set()
    until(lambda: not deployment.agent.upstream.out)
    assert deployment.seen() == ["/read/1?do=wait"]


def test_client_is_heard_to_leave_though_its_connection_is_deaf(deployment):
    client = deployment.connect()
    client.sock.sendall(worded("/read/1?do=wait") + b"no request\r\n\r\n")
    until(lambda: deployment.seen() and any(each.discards_input for each in deployment.agent.front.clients))
    client.close()
    until(lambda: not deployment.agent.reducer.pending_count)


def test_repeat_reaches_its_server_within_the_window_or_not_at_all(tmp_path):
    for kind, within in ((READ, True), (MARK, False)):
        context = ReducerHarness(tmp_path)
        context.send_request(kind, timeout=6.0)
        context.end_attempt(1, 0, FailureReason.CONNECTION_BROKEN, Progress.WRITTEN)
        server = context.servers_by_attempt[1, 1]
        assert context.reducer.may_send(1, 1, server)
        context.reducer.now += 4.0
        assert context.reducer.may_send(1, 1, server) is within
        context.reducer.now += 2.0  # the deadline
        assert not context.reducer.may_send(1, 1, server)
        context.end_attempt(1, 1, FailureReason.NOT_SENT, Progress.NOT_CONNECTED)
        # What may have run may be rejected only where a repeat does no harm.
        assert context.lines[-1].split()[:4] == ["answer", "line", "1", "503" if within else "502"]


def test_non_idempotent_request_may_begin_once_its_earlier_attempt_never_ran(tmp_path):
    context = ReducerHarness(tmp_path)
    context.send_request(ONCE)
    assert context.reducer.may_send(1, 0, context.servers_by_attempt[1, 0])
    context.end_attempt(1, 0, FailureReason.NOT_SENT, Progress.NOT_CONNECTED)
    assert context.servers_by_attempt[1, 1] != context.servers_by_attempt[1, 0] and context.reducer.may_send(
        1, 1, context.servers_by_attempt[1, 1]
    )
    assert not context.reducer.may_send(1, 0, context.servers_by_attempt[1, 0])  # that one has ended


def test_earlier_attempt_at_another_agent_holds_for_when_the_first_byte_goes(tmp_path):
    context = AdmissionHarness(tmp_path)
    context.send_request(ADMISSION_MARK)
    context.run_event(0.01, "on_admitted", 1, context.earlier_attempts(("a", 1), group="all", duration=0.5))
    server = context.servers_by_attempt[1, 0]
    assert context.reducer.may_send(1, 0, server)
    context.reducer.now += 0.6
    assert not context.reducer.may_send(1, 0, server)


@pytest.mark.parametrize("place", [{"zone": "b"}, {"zone": "a", "cell": 5}], ids=str)
def test_server_that_moves_to_another_group_leaves_its_attempts_in_the_one_before(tmp_path, place):
    context = ReducerHarness(tmp_path)
    context.send_request(MARK)
    balancer, server = context.reducer.balancer, context.servers_by_attempt[1, 0]
    trace, _ = balancer.requests[1].possible_executions[0]
    before = trace.zone, trace.cell
    name = next(name for name, index in context.reducer.server_indices.items() if index == server)
    entry = ServerEntry(name.decode(), context.reducer.servers[server].address, **place)
    context.run_event(0.0, "on_server_list", ServerList(4, False, (entry,)))
    assert (trace.zone, trace.cell) == before and not context.reducer.may_send(1, 0, server)
    assert context.reducer.server_indices[name] != server and server not in context.reducer.servers
    context.end_attempt(1, 0)
    assert server not in balancer.servers and not context.reducer.pending_count
    context.run_event(0.0, "on_server_list", ServerList(5, False, (entry,)))
    assert len(balancer.servers) == 2  # told again, it has not moved again
