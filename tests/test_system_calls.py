"""What an agent does when a system call fails as Linux documents; docs/crossings.md has the table."""

import errno
import json
import os
from pathlib import Path
from time import monotonic

import pytest
from gevent import socket

from cartdeal.agent import configuration
from cartdeal.agent.upstream import NoConnection, UpstreamPool
from cartdeal.rig.system_faults import OWN_LIMITS, SystemFaults
from cartdeal.sockets import BindError, bind_socket
from examples.toy import DiscoveryService
from tests.scene import Deployment, answered, until, worded

MANY = 200  # more failures than there are connections
OWN_TROUBLE = (*OWN_LIMITS, errno.EADDRNOTAVAIL, errno.ENETUNREACH)


@pytest.fixture
def faults(monkeypatch):
    made = SystemFaults()
    made.install(monkeypatch.setattr)
    return made


@pytest.fixture
def deployment(tmp_path, bounded):
    made = Deployment(tmp_path, servers=3, limits={"memory_mb": 64, "sockets": 96})
    until(lambda: made.service.watches)
    yield made
    made.stop()


def to_servers(deployment):
    """Whether a socket is one to a server: those of the agent's clients and of the test are none."""
    places = {tuple(server.socket.getsockname()) for server in deployment.servers}

    def found(sock):
        try:
            return sock.getpeername() in places
        except OSError:
            return False

    return found


@pytest.mark.parametrize("error", OWN_LIMITS, ids=errno.errorcode.get)
@pytest.mark.parametrize("call", ["socket", "connect"])
def test_descriptor_that_can_not_be_had_is_not_lost(deployment, faults, call, error):
    client = deployment.connect()
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    used = deployment.agent.budget.used
    faults.fail(call, error)
    for _ in range(MANY):
        assert deployment.ask("/once/x", "POST", connection=client)[0] == 503
    faults.heal()
    assert deployment.agent.budget.used == used
    assert deployment.ask("/once/x", "POST", connection=client)[0] == 200


@pytest.mark.parametrize("error", OWN_TROUBLE, ids=errno.errorcode.get)
def test_trouble_of_the_agents_own_machine_is_no_servers_failure(deployment, faults, error):
    client = deployment.connect()
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    faults.fail("connect", error)
    for _ in range(20):
        assert deployment.ask("/once/x", "POST", connection=client)[0] == 503
    servers = deployment.agent.reducer.balancer.servers.values()
    assert all(each.is_circuit_closed and not each.failures.amount for each in servers)


def test_server_without_a_route_fails_once_another_one_was_heard(deployment, monkeypatch):
    """A part of the network is away: the machine's own is not."""
    pool: UpstreamPool = deployment.agent.upstream
    away, near = deployment.servers[0].address, deployment.servers[1].address
    cut = {tuple(deployment.servers[0].socket.getsockname())}
    connect = socket.socket.connect

    def unreachable(sock, address):
        if tuple(address) in cut:
            raise OSError(errno.ENETUNREACH, "Network is unreachable")
        return connect(sock, address)

    monkeypatch.setattr(socket.socket, "connect", unreachable)
    for _ in range(3):
        with pytest.raises(NoConnection):
            pool.connect(0, away, monotonic() + 1.0)
    pool.heard_at = monotonic()  # as after an answer
    with pytest.raises(OSError, match="unreachable"):
        pool.connect(0, away, monotonic() + 1.0)
    with pytest.raises(NoConnection):  # counted anew
        pool.connect(0, away, monotonic() + 1.0)
    cut.clear()
    pool.connect(0, away, monotonic() + 1.0).close()
    pool.connect(1, near, monotonic() + 1.0).close()
    assert not pool.no_route_since


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_request_that_finds_no_buffer_is_written_when_there_is_one(deployment, faults, error):
    faults.fail("send", error, times=5, only=to_servers(deployment))
    status, body = deployment.ask("/once/x", "POST", b"body")
    assert status == 200 and body.endswith(b" body") and len(deployment.seen()) == 1
    assert faults.counts["send"] == 5


def test_connection_that_the_system_gave_up_is_broken_and_not_slow(deployment, faults):
    """ETIMEDOUT is a TimeoutError in Python: TCP gave up, and other connections there have ended or will."""
    ended = []
    pool: UpstreamPool = deployment.agent.upstream
    dispatch = pool.dispatch
    pool.dispatch = lambda event, *about: (ended.append(about[3]), dispatch(event, *about))
    faults.fail("recv_into", errno.ETIMEDOUT, times=1, only=to_servers(deployment))
    assert deployment.ask("/once/x", "POST")[0] == 502
    (result,) = ended
    assert result.outcome().value == "reset" and "timed out" in result.detail


# The application's side


@pytest.mark.parametrize("error", [errno.ECONNABORTED, *OWN_LIMITS], ids=errno.errorcode.get)
def test_clients_that_wait_at_the_door_come_in_though_accept_fails_between(deployment, faults, error):
    """One of them is gone, or there is no descriptor for a moment: the others are not to be reset."""
    agent = deployment.agent.front
    deployment.agent.background_tasks[3].kill()  # it lets nobody in any more: they stay in the queue
    waiting = [deployment.connect() for _ in range(3)]
    for client in waiting:
        client.sock.sendall(worded())
    faults.fail("accept", error, times=2, only=lambda sock: sock is agent.listener)
    agent.stop_accepting()
    assert [answered(client)[0] for client in waiting] == [200] * 3


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_answer_that_finds_no_buffer_is_written_when_there_is_one(deployment, faults, error):
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
def test_read_that_finds_no_memory_is_made_again(deployment, faults, error):
    client, front = deployment.connect(), deployment.agent.front
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    faults.fail("recv_into", error, times=3, only=lambda sock: sock.fileno() in descriptors(front.clients))
    assert deployment.ask("/once/x", "POST", b"body", connection=client)[0] == 200
    until(lambda: faults.counts["recv_into"] == 3)
    faults.fail("recv_into", error, times=3, only=to_servers(deployment))
    assert deployment.ask("/once/x", "POST", b"body", connection=client)[0] == 200
    assert faults.counts["recv_into"] == 6


def test_client_is_not_closed_where_the_system_can_not_tell_whether_it_has_asked(deployment, faults):
    client = deployment.connect()
    assert deployment.ask("/health/ready", connection=client)[0] == 200
    faults.fail("poll", errno.ENOMEM)
    assert not deployment.agent.front.close_idle()
    assert deployment.agent.front.somebody_waits()  # and nobody at the door counts as one that came just now
    assert deployment.ask("/once/x", "POST", b"body", connection=client)[0] == 200


@pytest.mark.parametrize("call", ["socket", "bind", "listen"])
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_address_that_can_not_be_had_is_told_with_its_reason(faults, call, kind):
    faults.fail(call, errno.ENOBUFS)
    if call == "listen" and kind == socket.SOCK_DGRAM:
        return bind_socket(kind, ("127.0.0.1", 0)).close()
    with pytest.raises(BindError, match="127.0.0.1:0: No buffer space"):
        bind_socket(kind, ("127.0.0.1", 0), backlog=5 * (kind == socket.SOCK_STREAM))


def test_fault_at_the_door_takes_no_place_from_the_budget(deployment, monkeypatch):
    budget = deployment.agent.budget
    used = budget.used
    with monkeypatch.context() as broken:
        broken.setattr("cartdeal.agent.front.ClientConnection", None)
        for _ in range(5):
            with pytest.raises(ConnectionError):
                deployment.ask()
    assert deployment.ask()[0] == 200
    assert budget.used - used <= 2  # the client's and the server's


@pytest.mark.parametrize("error, reads", [(errno.ENFILE, 3), (errno.EIO, 3), (errno.EACCES, 1)])
def test_new_configuration_is_read_again_where_the_machine_could_not(
    deployment, monkeypatch, tmp_path, error, reads
):
    """What the new discovery service has to tell counts 4 s after the signal, whatever the machine lacked."""
    service, tries, read = DiscoveryService(), [], Path.read_bytes
    file = tmp_path / "config.json"
    file.write_text(json.dumps(deployment.config | {"discovery": service.address}))

    def refuse_twice(path):
        tries.append(path)
        if len(tries) < 3:
            raise OSError(error, os.strerror(error))
        return read(path)

    monkeypatch.setenv("PROXY_CONFIG", str(file))
    monkeypatch.setattr(configuration.Path, "read_bytes", refuse_twice)
    monkeypatch.setattr("cartdeal.agent.effects.RELOAD_RETRY_DELAY_S", 0.001)
    deployment.agent.reload()
    assert len(tries) == reads
    assert (deployment.agent.config.discovery[1] == service.socket.getsockname()[1]) == (reads == 3)
    service.stop()
