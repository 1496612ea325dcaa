"""What an agent does when a system call fails as Linux documents; docs/crossings.md has the table."""

import errno

import pytest

from cartdeal.agent.upstream import UpstreamPool
from tests.scene import Deployment, until
from tests.system_faults import OWN_LIMITS, SystemFaults

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
@pytest.mark.parametrize("call", ["socket"])
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
    assert all(each.circuit_closed and not each.failures.amount for each in servers)


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
