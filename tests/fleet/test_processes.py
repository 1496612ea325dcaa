"""Real agents, started by `serve` with an operator file, with faults between them."""

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
    """A request with a mark is completed at agent agent: owners have caught up, and are vouched for."""
    for agent in agents or fleet.agents:
        eventually(
            lambda agent=agent: fleet.request(agent, "/close/probe", f"probe {monotonic()}")[0] == 200,
            "attempt records are written",
        )


def read_as_tenant(fleet, agent):
    return fleet.request(agent, "/read/1", tenant="shop", method="GET")


def test_attempts_and_limit_hold_on_all_agents_while_one_is_killed(fleet):
    one, two, three = fleet.agents
    wait_until_ready(fleet)
    held = gevent.spawn(fleet.request, one, "/close/7?do=wait", "dee")
    eventually(lambda: fleet.executions("/close/7?do=wait") == 1, "it runs")
    one.kill()
    assert held.get(timeout=5)[0] == 0
    # Its client comes again, at either of the others: it may have run, so it does not run again.
    for agent in two, three:
        assert fleet.request(agent, "/close/7?do=wait", "dee", retried=True)[0] == 502
    assert fleet.executions("/close/7?do=wait") == 1
    begun, served = monotonic(), 0
    while monotonic() < begun + 2.0:
        served += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in (two, three))
    assert served <= 10 + 20 * (monotonic() - begun)
    eventually(lambda: read_as_tenant(fleet, two)[0] == 200, "it is served again")
    denied = eventually(
        lambda: (found := read_as_tenant(fleet, two))[0] == 429 and found, "it is over its limit"
    )
    assert float(denied[2][b"retry-after"]) > 0


def test_killed_agent_restarts_empty_and_catches_up(fleet):
    one, two, _ = fleet.agents
    wait_until_ready(fleet)
    assert fleet.request(two, "/submit/1", "eve", key="k1")[0] == 200
    one.kill()
    one.start()
    eventually(lambda: one.port, "it serves")
    wait_until_ready(fleet, [one])
    held = gevent.spawn(fleet.request, one, "/close/8?do=wait", "eve")
    eventually(lambda: fleet.executions("/close/8?do=wait") == 1, "it runs")
    one.signal(signal.SIGKILL)
    held.get(timeout=5)
    assert fleet.request(two, "/close/8?do=wait", "eve", retried=True)[0] == 502


def test_agent_paused_beyond_its_lease_admits_nothing_from_it(fleet):
    one, two, three = fleet.agents
    wait_until_ready(fleet)
    eventually(lambda: read_as_tenant(fleet, one)[0] == 200, "it has a token lease")
    one.signal(signal.SIGSTOP)
    # The others get the whole limit only once the token lease of the paused one is over.
    begun, served = monotonic(), 0
    while monotonic() < begun + 3.0:
        served += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in (two, three))
    one.signal(signal.SIGCONT)
    while monotonic() < begun + 5.0:
        served += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in fleet.agents)
    assert served <= 10 + 20 * (monotonic() - begun)
    wait_until_ready(fleet)
    assert fleet.common_epoch() or eventually(fleet.common_epoch, "one ring")


def test_agent_that_shuts_down_hands_over_its_attempt_records(fleet):
    one, two, _ = fleet.agents
    wait_until_ready(fleet)
    held = gevent.spawn(fleet.request, two, "/close/9?do=wait", "fay")
    eventually(lambda: fleet.executions("/close/9?do=wait") == 1, "it runs")
    one.signal(signal.SIGTERM)
    eventually(lambda: one.process.poll() is not None, "it ends")
    assert one.process.returncode == 0
    assert one.log_lines("out of the fleet", "handed_over=true")
    two.kill()
    held.get(timeout=5)
    # One owner of three is left: it can't be sure, and says so rather than guess.
    assert fleet.request(fleet.agents[2], "/close/9?do=wait", "fay", retried=True)[0] == 502
    assert fleet.executions("/close/9?do=wait") == 1


def test_partitioned_agent_is_in_doubt_and_the_others_continue(fleet):
    one, two, three = fleet.agents
    wait_until_ready(fleet)
    fleet.blocked_links = {(a, b) for a, b in (("n0", "n1"), ("n1", "n0"), ("n0", "n2"), ("n2", "n0"))}
    eventually(lambda: fleet.request(one, "/close/1", f"cut {monotonic()}")[0] == 502, "it is in doubt")
    assert fleet.request(one, "/read/1", method="GET")[0] == 200  # nothing could go wrong with it
    wait_until_ready(fleet, [two, three])
    eventually(lambda: fleet.common_epoch([two, three]) > 2, "the others agree on a ring without it")
    served, begun = 0, monotonic()
    while monotonic() < begun + 2.0:
        served += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in fleet.agents)
    assert 0 < served <= 10 + 20 * (monotonic() - begun)
    fleet.blocked_links = set()
    eventually(fleet.common_epoch, "one ring again")
    wait_until_ready(fleet)


def test_attempts_hold_where_messages_are_lost_duplicated_delayed_or_one_way(fleet):
    wait_until_ready(fleet)
    fleet.loss_probability = 0.1
    fleet.duplicate_probability = 0.2
    fleet.max_delay_s = 0.05
    fleet.blocked_links = {("n0", "n1")}  # n1 doesn't hear n0, which hears it
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


def test_rolling_upgrade_keeps_attempts_and_limit(tmp_path):
    with ProcessFleet(
        tmp_path, limits="[limits.shop]\nrate = 20.0\nburst = 10\n", hold_version=1, longest_mark_s=15.0
    ) as fleet:  # longer than the upgrade takes on a busy machine
        fleet.start()
        wait_until_ready(fleet)
        held = gevent.spawn(fleet.request, fleet.agents[2], "/close/5?do=wait", "hal")
        eventually(lambda: fleet.executions("/close/5?do=wait") == 1, "it runs")
        assert all("written=1" in agent.log_lines('msg="ring adopted"')[-1] for agent in fleet.agents)
        begun, served = monotonic(), 0
        for agent in fleet.agents[:2]:
            agent.signal(signal.SIGTERM)
            eventually(lambda agent=agent: agent.process.poll() is not None, "it ends")
            agent.start(hold_version=0)
            eventually(lambda agent=agent: agent.port, "it serves")
            eventually(lambda agent=agent: agent.log_lines("caught up"), "it has caught up")
            served += sum(read_as_tenant(fleet, other)[0] == 200 for other in fleet.agents for _ in range(20))
        fleet.agents[2].kill()
        held.get(timeout=5)
        fleet.agents[2].start(hold_version=0)
        eventually(lambda: fleet.agents[2].port, "it serves")
        # The one that was started last may serve before it says its first ring.
        adopted = 'msg="ring adopted"'
        last_rings = [lambda agent=agent: "".join(agent.log_lines(adopted)[-1:]) for agent in fleet.agents]
        eventually(lambda: all("written=2" in last_ring() for last_ring in last_rings), "version 2")
        wait_until_ready(fleet)
        # In version 1 the limit is counted by agent owner's own second: two more of these at the most.
        assert served <= 10 + 20 * (monotonic() - begun + 2)
        for agent in fleet.agents:
            assert fleet.request(agent, "/close/5?do=wait", "hal", retried=True)[0] == 502
        assert fleet.executions("/close/5?do=wait") == 1
