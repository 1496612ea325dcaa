"""Real agents, started by `serve` with an operator file, with faults between them."""

import signal
from time import monotonic

import gevent
import pytest

from tests.processes import World, eventually


@pytest.fixture
def world(tmp_path):
    with World(tmp_path, limits="[limits.shop]\nrate = 20.0\nburst = 10\n") as world:
        yield world.start()


def settled(world, agents=None):
    """A request with a mark is completed at each agent: owners have caught up, and are vouched for."""
    for each in agents or world.agents:
        eventually(
            lambda each=each: world.ask(each, "/close/probe", f"probe {monotonic()}")[0] == 200,
            "marks are written",
        )


def read(world, agent):
    return world.ask(agent, "/read/1", tenant="shop", method="GET")


def test_session_and_limit_are_kept_alike_while_an_agent_is_killed(world):
    one, two, three = world.agents
    settled(world)
    held = gevent.spawn(world.ask, one, "/close/7?do=wait", "dee")
    eventually(lambda: world.ran("/close/7?do=wait") == 1, "it runs")
    one.kill()
    assert held.get(timeout=5)[0] == 0
    # Its client comes again, at either of the others: it may have run, so it does not run again.
    for each in two, three:
        assert world.ask(each, "/close/7?do=wait", "dee", retried=True)[0] == 502
    assert world.ran("/close/7?do=wait") == 1
    begun, served = monotonic(), 0
    while monotonic() < begun + 2.0:
        served += sum(read(world, each)[0] == 200 for each in (two, three))
    assert served <= 10 + 20 * (monotonic() - begun)
    eventually(lambda: read(world, two)[0] == 200, "it is served again")
    denied = eventually(lambda: (found := read(world, two))[0] == 429 and found, "it is over its limit")
    assert float(denied[2][b"retry-after"]) > 0


def test_agent_that_was_killed_comes_back_from_nothing_and_is_caught_up(world):
    one, two, _ = world.agents
    settled(world)
    assert world.ask(two, "/submit/1", "eve", key="k1")[0] == 200
    one.kill()
    one.start()
    eventually(lambda: one.port, "it serves")
    settled(world, [one])
    held = gevent.spawn(world.ask, one, "/close/8?do=wait", "eve")
    eventually(lambda: world.ran("/close/8?do=wait") == 1, "it runs")
    one.signal(signal.SIGKILL)
    held.get(timeout=5)
    assert world.ask(two, "/close/8?do=wait", "eve", retried=True)[0] == 502


def test_agent_stopped_for_longer_than_its_lease_serves_nothing_from_it(world):
    one, two, three = world.agents
    settled(world)
    eventually(lambda: read(world, one)[0] == 200, "it has a loan")
    one.signal(signal.SIGSTOP)
    # The others get the whole limit only once what the stopped one had on loan is over.
    begun, served = monotonic(), 0
    while monotonic() < begun + 3.0:
        served += sum(read(world, each)[0] == 200 for each in (two, three))
    one.signal(signal.SIGCONT)
    while monotonic() < begun + 5.0:
        served += sum(read(world, each)[0] == 200 for each in world.agents)
    assert served <= 10 + 20 * (monotonic() - begun)
    settled(world)
    assert world.epoch() or eventually(world.epoch, "one ring")


def test_agent_that_is_told_to_end_hands_over_and_its_clients_requests_stay_known(world):
    one, two, _ = world.agents
    settled(world)
    held = gevent.spawn(world.ask, two, "/close/9?do=wait", "fay")
    eventually(lambda: world.ran("/close/9?do=wait") == 1, "it runs")
    one.signal(signal.SIGTERM)
    eventually(lambda: one.process.poll() is not None, "it ends")
    assert one.process.returncode == 0 and one.said("out of the fleet", "handed_over=true")
    two.kill()
    held.get(timeout=5)
    # One owner of three is left: it can't be sure, and says so rather than guess.
    assert world.ask(world.agents[2], "/close/9?do=wait", "fay", retried=True)[0] == 502
    assert world.ran("/close/9?do=wait") == 1


def test_agent_that_is_cut_off_is_in_doubt_and_the_others_go_on(world):
    one, two, three = world.agents
    settled(world)
    world.cuts = {(a, b) for a, b in (("n0", "n1"), ("n1", "n0"), ("n0", "n2"), ("n2", "n0"))}
    eventually(lambda: world.ask(one, "/close/1", f"cut {monotonic()}")[0] == 502, "it is in doubt")
    assert world.ask(one, "/read/1", method="GET")[0] == 200  # nothing could go wrong with it
    settled(world, [two, three])
    eventually(lambda: world.epoch([two, three]) > 2, "the others draw a ring without it")
    served, begun = 0, monotonic()
    while monotonic() < begun + 2.0:
        served += sum(read(world, each)[0] == 200 for each in world.agents)
    assert 0 < served <= 10 + 20 * (monotonic() - begun)
    world.cuts = set()
    eventually(world.epoch, "one ring again")
    settled(world)


def test_marks_hold_where_messages_are_lost_doubled_late_and_one_way_only(world):
    one, two, three = world.agents
    settled(world)
    world.lose, world.double, world.delay = 0.1, 0.2, 0.05
    world.cuts = {("n0", "n1")}  # n1 doesn't hear n0, which hears it
    for turn in range(12):
        first, second = world.agents[turn % 3], world.agents[(turn + 1) % 3]
        path = f"/close/{turn}?do=reset"
        statuses = [world.ask(first, path, f"gus {turn}")[0]]
        statuses += [world.ask(each, path, f"gus {turn}", retried=True)[0] for each in (second, first)]
        assert world.ran(path) <= 1 and 200 not in statuses
        assert statuses[1:] == [502, 502]
    world.cuts, world.lose, world.double, world.delay = set(), 0.0, 0.0, 0.0
    settled(world)


def test_rolling_upgrade_keeps_marks_and_limit(tmp_path):
    with World(
        tmp_path, limits="[limits.shop]\nrate = 20.0\nburst = 10\n", hold_version=1, longest_mark_s=15.0
    ) as world:  # longer than the upgrade takes on a busy machine
        world.start()
        settled(world)
        held = gevent.spawn(world.ask, world.agents[2], "/close/5?do=wait", "hal")
        eventually(lambda: world.ran("/close/5?do=wait") == 1, "it runs")
        assert all("written=1" in each.said('msg="ring adopted"')[-1] for each in world.agents)
        begun, served = monotonic(), 0
        for each in world.agents[:2]:
            each.signal(signal.SIGTERM)
            eventually(lambda each=each: each.process.poll() is not None, "it ends")
            each.start(hold_version=0)
            eventually(lambda each=each: each.port, "it serves")
            eventually(lambda each=each: each.said("caught up"), "it has caught up")
            served += sum(read(world, other)[0] == 200 for other in world.agents for _ in range(20))
        world.agents[2].kill()
        held.get(timeout=5)
        world.agents[2].start(hold_version=0)
        eventually(lambda: world.agents[2].port, "it serves")
        # The one that was started last may serve before it says its first ring.
        adopted = 'msg="ring adopted"'
        last_rings = [lambda each=each: "".join(each.said(adopted)[-1:]) for each in world.agents]
        eventually(lambda: all("written=2" in last_ring() for last_ring in last_rings), "version 2")
        settled(world)
        # In version 1 the limit is counted by each owner's own second: two more of these at the most.
        assert served <= 10 + 20 * (monotonic() - begun + 2)
        for each in world.agents:
            assert world.ask(each, "/close/5?do=wait", "hal", retried=True)[0] == 502
        assert world.ran("/close/5?do=wait") == 1
