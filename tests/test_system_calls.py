"""How an agent handles the errors of system calls that Linux documents; docs/crossings.md has the table."""

import errno
import json
import os
from pathlib import Path
from time import monotonic

import pytest
from gevent import socket

from cartdeal.agent import configuration
from cartdeal.agent.upstream import NoConnectionError, UpstreamPool
from cartdeal.rig.system_faults import RESOURCE_ERRNOS, SystemFaults
from cartdeal.sockets import BindError, bind_socket
from examples.toy import DiscoveryService
from tests.scene import Deployment, encode_request, read_answer, until

FAILURE_COUNT = 200  # more than the budget has connections
LOCAL_ERRNOS = (*RESOURCE_ERRNOS, errno.EADDRNOTAVAIL, errno.ENETUNREACH)


@pytest.fixture
def faults(monkeypatch):
    faults = SystemFaults()
    faults.install(monkeypatch.setattr)
    return faults


@pytest.fixture
def deployment(tmp_path, bounded):
    deployment = Deployment(tmp_path, servers=3, limits={"memory_mb": 64, "sockets": 96})
    until(lambda: deployment.service.watches)
    yield deployment
    deployment.stop()


def to_servers(deployment):
    """A function that tells whether a socket is connected to a server."""
    addresses = {tuple(server.socket.getsockname()) for server in deployment.servers}

    def is_to_server(sock):
        try:
            return sock.getpeername() in addresses
        except OSError:
            return False

    return is_to_server


@pytest.mark.parametrize("error", RESOURCE_ERRNOS, ids=errno.errorcode.get)
@pytest.mark.parametrize("call", ["socket", "connect"])
def test_failed_socket_calls_leak_no_connection_of_the_budget(deployment, faults, call, error):
    client = deployment.connect()
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    count_before = deployment.agent.budget.connection_count
    faults.fail(call, error)
    for _ in range(FAILURE_COUNT):
        assert deployment.ask("/once/x", "POST", connection=client)[0] == 503
    faults.clear()
    assert deployment.agent.budget.connection_count == count_before
    assert deployment.ask("/once/x", "POST", connection=client)[0] == 200


@pytest.mark.parametrize("error", LOCAL_ERRNOS, ids=errno.errorcode.get)
def test_local_errors_do_not_count_as_server_failures(deployment, faults, error):
    client = deployment.connect()
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    faults.fail("connect", error)
    for _ in range(20):
        assert deployment.ask("/once/x", "POST", connection=client)[0] == 503
    servers = deployment.agent.reducer.balancer.servers.values()
    assert all(each.is_circuit_closed and not each.failures.amount for each in servers)


def test_missing_route_counts_as_failure_once_another_server_answers(deployment, monkeypatch):
    """Only a part of the network is down: the error no longer says that the machine's own network is."""
    pool: UpstreamPool = deployment.agent.upstream
    unreachable_address, reachable_address = deployment.servers[0].address, deployment.servers[1].address
    unreachable_addresses = {tuple(deployment.servers[0].socket.getsockname())}
    connect = socket.socket.connect

    def connect_if_reachable(sock, address):
        if tuple(address) in unreachable_addresses:
            raise OSError(errno.ENETUNREACH, "Network is unreachable")
        return connect(sock, address)

    monkeypatch.setattr(socket.socket, "connect", connect_if_reachable)
    for _ in range(3):
        with pytest.raises(NoConnectionError):
            pool.connect(0, unreachable_address, monotonic() + 1.0)
    pool.last_read_at = monotonic()  # as if another server had answered
    with pytest.raises(OSError, match="unreachable"):
        pool.connect(0, unreachable_address, monotonic() + 1.0)
    with pytest.raises(NoConnectionError):  # the first failure since then
        pool.connect(0, unreachable_address, monotonic() + 1.0)
    unreachable_addresses.clear()
    pool.connect(0, unreachable_address, monotonic() + 1.0).close()
    pool.connect(1, reachable_address, monotonic() + 1.0).close()
    assert not pool.no_route_since


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_request_write_is_retried_when_buffers_run_out(deployment, faults, error):
    faults.fail("send", error, times=5, only=to_servers(deployment))
    status, body = deployment.ask("/once/x", "POST", b"body")
    assert status == 200 and body.endswith(b" body") and len(deployment.received_paths()) == 1
    assert faults.counts["send"] == 5


def test_tcp_timeout_counts_as_a_reset_connection(deployment, faults):
    """ETIMEDOUT is a TimeoutError in Python, but means that TCP has given up the connection."""
    results = []
    pool: UpstreamPool = deployment.agent.upstream
    on_attempt_ended = pool.on_attempt_ended
    pool.on_attempt_ended = lambda *arguments: (
        results.append(arguments[3]),
        on_attempt_ended(*arguments),
    )
    faults.fail("recv_into", errno.ETIMEDOUT, times=1, only=to_servers(deployment))
    assert deployment.ask("/once/x", "POST")[0] == 502
    (result,) = results
    assert result.outcome().value == "reset" and "timed out" in result.detail


# The application's side


@pytest.mark.parametrize("error", [errno.ECONNABORTED, *RESOURCE_ERRNOS], ids=errno.errorcode.get)
def test_queued_clients_are_accepted_at_shutdown_despite_accept_errors(deployment, faults, error):
    """A queued client has gone, or there is no descriptor for a moment: the others must not be reset."""
    front = deployment.agent.front
    deployment.agent.background_tasks[
        3
    ].kill()  # the greenlet that accepts: new clients stay in the listen queue
    waiting = [deployment.connect() for _ in range(3)]
    for client in waiting:
        client.sock.sendall(encode_request())
    faults.fail("accept", error, times=2, only=lambda sock: sock is front.listener)
    front.stop_accepting()
    assert [read_answer(client)[0] for client in waiting] == [200] * 3


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_answer_write_is_retried_when_buffers_run_out(deployment, faults, error):
    client, front = deployment.connect(), deployment.agent.front
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    faults.fail("write", error, times=2, only=lambda number: number in descriptors(front.clients))
    faults.fail("send", error, times=3, only=lambda sock: sock.fileno() in descriptors(front.clients))
    for _ in range(3):
        assert deployment.ask("/once/x", "POST", b"body", connection=client)[0] == 200
    assert faults.counts["write"] == 2 and faults.counts["send"] == 3


def descriptors(clients):
    return [each.sock.fileno() for each in clients]


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_read_is_retried_when_memory_runs_out(deployment, faults, error):
    client, front = deployment.connect(), deployment.agent.front
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    faults.fail("recv_into", error, times=3, only=lambda sock: sock.fileno() in descriptors(front.clients))
    assert deployment.ask("/once/x", "POST", b"body", connection=client)[0] == 200
    until(lambda: faults.counts["recv_into"] == 3)
    faults.fail("recv_into", error, times=3, only=to_servers(deployment))
    assert deployment.ask("/once/x", "POST", b"body", connection=client)[0] == 200
    assert faults.counts["recv_into"] == 6


def test_client_is_not_closed_if_poll_fails(deployment, faults):
    client = deployment.connect()
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    faults.fail("poll", errno.ENOMEM)
    assert not deployment.agent.front.close_idle()
    # Clients that may be queued are not assumed to have just come.
    assert deployment.agent.front.has_waiting_clients()
    assert deployment.ask("/once/x", "POST", b"body", connection=client)[0] == 200


@pytest.mark.parametrize("call", ["socket", "bind", "listen"])
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_bind_error_names_the_address_and_the_reason(faults, call, kind):
    faults.fail(call, errno.ENOBUFS)
    if call == "listen" and kind == socket.SOCK_DGRAM:
        return bind_socket(kind, ("127.0.0.1", 0)).close()
    with pytest.raises(BindError, match="127.0.0.1:0: No buffer space"):
        bind_socket(kind, ("127.0.0.1", 0), backlog=5 * (kind == socket.SOCK_STREAM))


def test_fault_while_accepting_leaks_no_connection_of_the_budget(deployment, monkeypatch):
    budget = deployment.agent.budget
    count_before = budget.connection_count
    with monkeypatch.context() as patched:
        patched.setattr("cartdeal.agent.front.ClientConnection", None)
        for _ in range(5):
            with pytest.raises(ConnectionError):
                deployment.ask()
    assert deployment.ask()[0] == 200
    assert budget.connection_count - count_before <= 2  # those of a client and a server


@pytest.mark.parametrize("error, reads", [(errno.ENFILE, 3), (errno.EIO, 3), (errno.EACCES, 1)])
def test_reading_a_new_configuration_is_retried_after_local_errors(
    deployment, monkeypatch, tmp_path, error, reads
):
    """A new discovery service must be in use 4 s after the signal, whatever the machine lacked at first."""
    service, paths, read = DiscoveryService(), [], Path.read_bytes
    file = tmp_path / "config.json"
    file.write_text(json.dumps(deployment.config | {"discovery": service.address}))

    def refuse_twice(path):
        paths.append(path)
        if len(paths) < 3:
            raise OSError(error, os.strerror(error))
        return read(path)

    monkeypatch.setenv("PROXY_CONFIG", str(file))
    monkeypatch.setattr(configuration.Path, "read_bytes", refuse_twice)
    monkeypatch.setattr("cartdeal.agent.effects.RELOAD_RETRY_DELAY_S", 0.001)
    deployment.agent.reload()
    assert len(paths) == reads
    assert (deployment.agent.config.discovery[1] == service.socket.getsockname()[1]) == (reads == 3)
    service.stop()
