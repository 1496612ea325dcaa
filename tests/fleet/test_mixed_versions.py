"""A fleet of agents of the previous version and of this one, as processes.

They share a ring, attempt records and a limit, and a rolling upgrade and a rollback keep them. The previous
version
is taken from the repository's history; a source tree without it has nothing to compare with.
"""

import io
import signal
import subprocess
import tarfile
from pathlib import Path
from time import monotonic

import gevent
import pytest

from tests.fleet.test_processes import read, settled
from tests.processes import World, eventually

ROOT = Path(__file__).parents[2]
PREVIOUS_VERSION = "72ee2e1"  # the last commit before the fleet's names were changed
LIMITS = "[limits.shop]\nrate = 20.0\nburst = 10\n"


@pytest.fixture(scope="module")
def previous_tree(tmp_path_factory):
    """A folder with the sources of the previous version."""
    known = subprocess.run(["git", "cat-file", "-e", PREVIOUS_VERSION], cwd=ROOT, capture_output=True)
    if known.returncode:
        pytest.skip(f"no commit {PREVIOUS_VERSION} here: not a clone with its history")
    folder = tmp_path_factory.mktemp("previous")
    command = ["git", "archive", PREVIOUS_VERSION, "cartdeal"]
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    return folder


def restart(agent, tree):
    """Ends an agent in order and starts it with the sources in `tree`; returns when it has caught up."""
    agent.signal(signal.SIGTERM)
    eventually(lambda: agent.process.poll() is not None, "it ends")
    assert agent.process.returncode == 0
    assert agent.said("out of the fleet", "handed_over=true")
    agent.tree = tree
    agent.start()
    eventually(lambda: agent.port, "it serves")
    eventually(lambda: agent.said("caught up"), "it has caught up")


def hold_request(world, agent, path, session):
    """A non-idempotent request that a server has begun and doesn't answer."""
    held = gevent.spawn(world.ask, agent, path, session)
    eventually(lambda: world.ran(path) == 1, "it runs")
    return held


def test_two_agents_of_each_version_share_a_ring_attempts_and_a_limit(tmp_path, previous_tree):
    with World(tmp_path, agents=4, limits=LIMITS) as world:
        for agent in world.agents[:2]:
            agent.tree = previous_tree
        world.start()
        settled(world)
        assert world.epoch() or eventually(world.epoch, "one ring")
        begun, served = monotonic(), 0
        while monotonic() < begun + 2.0:
            served += sum(read(world, agent)[0] == 200 for agent in world.agents)
        assert 0 < served <= 10 + 20 * (monotonic() - begun)
        for number, agent in enumerate(world.agents):
            path, session = f"/close/{number}?do=reset", f"session {number}"
            assert world.ask(agent, path, session)[0] == 502
            others = [each for each in world.agents if each is not agent]
            assert [world.ask(each, path, session, retried=True)[0] for each in others] == [502] * 3
            assert world.ran(path) == 1


@pytest.mark.parametrize("direction", ["upgrade", "rollback"])
def test_rolling_change_of_version_keeps_attempts_and_the_limit(tmp_path, previous_tree, direction):
    before, after = (previous_tree, ROOT) if direction == "upgrade" else (ROOT, previous_tree)
    with World(tmp_path, limits=LIMITS, longest_mark_s=25.0) as world:
        for agent in world.agents:
            agent.tree = before
        world.start()
        settled(world)
        held = hold_request(world, world.agents[2], "/close/5?do=wait", "hal")
        begun, served = monotonic(), 0
        for agent in world.agents[:2]:
            restart(agent, after)
            served += sum(read(world, each)[0] == 200 for each in world.agents for _ in range(20))
        assert served <= 10 + 20 * (monotonic() - begun)
        for agent in world.agents[:2]:
            assert world.ask(agent, "/close/5?do=wait", "hal", retried=True)[0] == 502
        world.agents[2].kill()
        held.get(timeout=5)
        world.agents[2].tree = after
        world.agents[2].start()
        eventually(lambda: world.agents[2].port, "it serves")
        settled(world)
        for agent in world.agents:
            assert world.ask(agent, "/close/5?do=wait", "hal", retried=True)[0] == 502
        assert world.ran("/close/5?do=wait") == 1
