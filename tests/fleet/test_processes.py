"""Agents as processes with an operator file: attempt records and limits hold under faults."""

import signal
from time import monotonic

import gevent
import pytest

from tests.processes import ProcessFleet, eventually


@pytest.fixture
def fleet(tmp_path):
    with ProcessFleet(tmp_path, limits="[limits.shop]\nrate = 20.0\nburst = 10\n") as fleet:
        yield fleet.start()


def wait_until_ready(fleet, agents=None):
    """Waits until each agent completes a non-idempotent request.

    This shows that the owners have caught up and hold leases.
    """
    for agent in agents or fleet.agents:
        eventually(
            lambda agent=agent: fleet.request(agent, "/close/probe", f"probe {monotonic()}")[0] == 200,
            "a non-idempotent request is answered",
        )


def read_as_tenant(fleet, agent):
    return fleet.request(agent, "/read/1", tenant="shop", method="GET")


def test_attempt_records_and_limit_hold_when_an_agent_is_killed(fleet):
    n0, n1, n2 = fleet.agents
    wait_until_ready(fleet)
    pending_request = gevent.spawn(fleet.request, n0, "/close/7?do=wait", "dee")
    eventually(lambda: fleet.executions("/close/7?do=wait") == 1, "the server runs the request")
    n0.kill()
    assert pending_request.get(timeout=5)[0] == 0
    # The client retries at both other agents: the request may have run, so it must not run again.
    for agent in n1, n2:
        assert fleet.request(agent, "/close/7?do=wait", "dee", retried=True)[0] == 502
    assert fleet.executions("/close/7?do=wait") == 1
    started_at, served_count = monotonic(), 0
    while monotonic() < started_at + 2.0:
        served_count += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in (n1, n2))
    assert served_count <= 10 + 20 * (monotonic() - started_at)
    eventually(lambda: read_as_tenant(fleet, n1)[0] == 200, "the tenant is served again")
    denied_response = eventually(
        lambda: (found := read_as_tenant(fleet, n1))[0] == 429 and found, "the tenant is over its limit"
    )
    assert float(denied_response[2][b"retry-after"]) > 0


def test_killed_agent_restarts_empty_and_catches_up(fleet):
    n0, n1, _ = fleet.agents
    wait_until_ready(fleet)
    assert fleet.request(n1, "/submit/1", "eve", key="k1")[0] == 200
    n0.kill()
    n0.start()
    eventually(lambda: n0.port, "the agent serves")
    wait_until_ready(fleet, [n0])
    pending_request = gevent.spawn(fleet.request, n0, "/close/8?do=wait", "eve")
    eventually(lambda: fleet.executions("/close/8?do=wait") == 1, "the server runs the request")
    n0.signal(signal.SIGKILL)
    pending_request.get(timeout=5)
    assert fleet.request(n1, "/close/8?do=wait", "eve", retried=True)[0] == 502


def test_agent_paused_beyond_its_lease_admits_nothing_from_it(fleet):
    n0, n1, n2 = fleet.agents
    wait_until_ready(fleet)
    eventually(lambda: read_as_tenant(fleet, n0)[0] == 200, "the agent has a token lease")
    n0.signal(signal.SIGSTOP)
    # The other agents get the whole limit only after the paused agent's token lease has expired.
    started_at, served_count = monotonic(), 0
    while monotonic() < started_at + 3.0:
        served_count += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in (n1, n2))
    n0.signal(signal.SIGCONT)
    while monotonic() < started_at + 5.0:
        served_count += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in fleet.agents)
    assert served_count <= 10 + 20 * (monotonic() - started_at)
    wait_until_ready(fleet)
    assert fleet.common_epoch() or eventually(fleet.common_epoch, "one ring")


def test_agent_that_shuts_down_hands_over_its_attempt_records(fleet):
    n0, n1, _ = fleet.agents
    wait_until_ready(fleet)
    pending_request = gevent.spawn(fleet.request, n1, "/close/9?do=wait", "fay")
    eventually(lambda: fleet.executions("/close/9?do=wait") == 1, "the server runs the request")
    n0.signal(signal.SIGTERM)
    eventually(lambda: n0.process.poll() is not None, "the agent ends")
    assert n0.process.returncode == 0
    assert n0.log_lines("out of the fleet", "handed_over=true")
    n1.kill()
    pending_request.get(timeout=5)
    # One owner of three is left, too few to be certain, so the request fails.
    assert fleet.request(fleet.agents[2], "/close/9?do=wait", "fay", retried=True)[0] == 502
    assert fleet.executions("/close/9?do=wait") == 1


def test_partitioned_agent_fails_uncertain_requests_and_the_others_continue(fleet):
    n0, n1, n2 = fleet.agents
    wait_until_ready(fleet)
    fleet.blocked_links = {(a, b) for a, b in (("n0", "n1"), ("n1", "n0"), ("n0", "n2"), ("n2", "n0"))}
    eventually(
        lambda: fleet.request(n0, "/close/1", f"cut {monotonic()}")[0] == 502,
        "the isolated agent fails the request",
    )
    assert fleet.request(n0, "/read/1", method="GET")[0] == 200  # an idempotent request may run twice
    wait_until_ready(fleet, [n1, n2])
    eventually(lambda: fleet.common_epoch([n1, n2]) > 2, "the others agree on a ring without it")
    served_count, started_at = 0, monotonic()
    while monotonic() < started_at + 2.0:
        served_count += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in fleet.agents)
    assert 0 < served_count <= 10 + 20 * (monotonic() - started_at)
    fleet.blocked_links = set()
    eventually(fleet.common_epoch, "one ring again")
    wait_until_ready(fleet)


def test_attempt_records_hold_under_loss_duplicates_delay_and_one_way_links(fleet):
    wait_until_ready(fleet)
    fleet.loss_probability = 0.1
    fleet.duplicate_probability = 0.2
    fleet.max_delay_s = 0.05
    fleet.blocked_links = {("n0", "n1")}  # n1 receives nothing from n0, but n0 receives from n1
    for number in range(12):
        first, second = fleet.agents[number % 3], fleet.agents[(number + 1) % 3]
        path = f"/close/{number}?do=reset"
        statuses = [fleet.request(first, path, f"gus {number}")[0]]
        statuses += [
            fleet.request(agent, path, f"gus {number}", retried=True)[0] for agent in (second, first)
        ]
        assert fleet.executions(path) <= 1
        assert 200 not in statuses
        assert statuses[1:] == [502, 502]
    fleet.blocked_links = set()
    fleet.loss_probability = fleet.duplicate_probability = fleet.max_delay_s = 0.0
    wait_until_ready(fleet)


def test_rolling_upgrade_keeps_attempt_records_and_limit(tmp_path):
    with ProcessFleet(
        tmp_path, limits="[limits.shop]\nrate = 20.0\nburst = 10\n", hold_version=1, longest_mark_s=15.0
    ) as fleet:  # longest_mark_s exceeds the duration of the upgrade on a busy machine
        fleet.start()
        wait_until_ready(fleet)
        pending_request = gevent.spawn(fleet.request, fleet.agents[2], "/close/5?do=wait", "hal")
        eventually(lambda: fleet.executions("/close/5?do=wait") == 1, "the server runs the request")
        assert all("written=1" in agent.log_lines('msg="ring adopted"')[-1] for agent in fleet.agents)
        started_at, served_count = monotonic(), 0
        for agent in fleet.agents[:2]:
            agent.signal(signal.SIGTERM)
            eventually(lambda agent=agent: agent.process.poll() is not None, "the agent ends")
            agent.start(hold_version=0)
            eventually(lambda agent=agent: agent.port, "the agent serves")
            eventually(lambda agent=agent: agent.log_lines("caught up"), "the agent has caught up")
            served_count += sum(
                read_as_tenant(fleet, other)[0] == 200 for other in fleet.agents for _ in range(20)
            )
        fleet.agents[2].kill()
        pending_request.get(timeout=5)
        fleet.agents[2].start(hold_version=0)
        eventually(lambda: fleet.agents[2].port, "the agent serves")
        # The agent that was started last may serve before it logs its first ring.
        adopted = 'msg="ring adopted"'
        last_rings = [lambda agent=agent: "".join(agent.log_lines(adopted)[-1:]) for agent in fleet.agents]
        eventually(lambda: all("written=2" in last_ring() for last_ring in last_rings), "version 2")
        wait_until_ready(fleet)
        # In schema version 1 each owner counts the limit in its own periods of one second, so the bound
        # includes two more periods.
        assert served_count <= 10 + 20 * (monotonic() - started_at + 2)
        for agent in fleet.agents:
            assert fleet.request(agent, "/close/5?do=wait", "hal", retried=True)[0] == 502
        assert fleet.executions("/close/5?do=wait") == 1
