"""A fleet with agents of a previous version and of this version, as processes.

Agents of both versions share a ring, attempt records and a limit, which survive a rolling upgrade and a
rollback. The previous versions come from the repository's history; without that history the tests are
skipped.
"""

import io
import signal
import subprocess
import tarfile
from pathlib import Path
from time import monotonic

import gevent
import pytest

from tests.fleet.test_processes import read_as_tenant, wait_until_ready
from tests.processes import ProcessFleet, eventually

ROOT = Path(__file__).parents[2]
PREVIOUS_VERSIONS = (
    "72ee2e1",  # the last commit before the fleet's names were changed
    "591d82d",  # the last commit before the names of the other packages were changed
)
LIMITS = "[limits.shop]\nrate = 20.0\nburst = 10\n"


@pytest.fixture(scope="module", params=PREVIOUS_VERSIONS)
def previous_tree(request, tmp_path_factory):
    """Returns a folder with the sources of a previous version."""
    previous_version = request.param
    known_commit = subprocess.run(["git", "cat-file", "-e", previous_version], cwd=ROOT, capture_output=True)
    if known_commit.returncode:
        pytest.skip(f"no commit {previous_version} here: not a clone with its history")
    folder = tmp_path_factory.mktemp("previous")
    command = ["git", "archive", previous_version, "cartdeal"]
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    return folder


def restart(agent, tree):
    """Shuts an agent down, starts it with the sources in `tree`, and waits until it has caught up."""
    agent.signal(signal.SIGTERM)
    eventually(lambda: agent.process.poll() is not None, "the agent ends")
    assert agent.process.returncode == 0
    assert agent.log_lines("out of the fleet", "handed_over=true")
    agent.tree = tree
    agent.start()
    eventually(lambda: agent.port, "the agent serves")
    eventually(lambda: agent.log_lines("caught up"), "the agent has caught up")


def hold_request(fleet, agent, path, session):
    """Starts a non-idempotent request that a server runs and does not answer; returns its greenlet."""
    pending_request = gevent.spawn(fleet.request, agent, path, session)
    eventually(lambda: fleet.executions(path) == 1, "the server runs the request")
    return pending_request


def test_two_agents_of_each_version_share_ring_attempt_records_and_limit(tmp_path, previous_tree):
    with ProcessFleet(tmp_path, agents=4, limits=LIMITS) as fleet:
        for agent in fleet.agents[:2]:
            agent.tree = previous_tree
        fleet.start()
        wait_until_ready(fleet)
        assert fleet.common_epoch() or eventually(fleet.common_epoch, "one ring")
        started_at, served_count = monotonic(), 0
        while monotonic() < started_at + 2.0:
            served_count += sum(read_as_tenant(fleet, agent)[0] == 200 for agent in fleet.agents)
        assert 0 < served_count <= 10 + 20 * (monotonic() - started_at)
        for number, agent in enumerate(fleet.agents):
            path, session = f"/close/{number}?do=reset", f"session {number}"
            assert fleet.request(agent, path, session)[0] == 502
            others = [each for each in fleet.agents if each is not agent]
            assert [fleet.request(each, path, session, retried=True)[0] for each in others] == [502] * 3
            assert fleet.executions(path) == 1


@pytest.mark.parametrize("direction", ["upgrade", "rollback"])
def test_rolling_change_of_version_keeps_attempt_records_and_limit(tmp_path, previous_tree, direction):
    old_tree, new_tree = (previous_tree, ROOT) if direction == "upgrade" else (ROOT, previous_tree)
    with ProcessFleet(tmp_path, limits=LIMITS, longest_mark_s=25.0) as fleet:
        for agent in fleet.agents:
            agent.tree = old_tree
        fleet.start()
        wait_until_ready(fleet)
        pending_request = hold_request(fleet, fleet.agents[2], "/close/5?do=wait", "hal")
        started_at, served_count = monotonic(), 0
        for agent in fleet.agents[:2]:
            restart(agent, new_tree)
            served_count += sum(
                read_as_tenant(fleet, each)[0] == 200 for each in fleet.agents for _ in range(20)
            )
        assert served_count <= 10 + 20 * (monotonic() - started_at)
        for agent in fleet.agents[:2]:
            assert fleet.request(agent, "/close/5?do=wait", "hal", retried=True)[0] == 502
        fleet.agents[2].kill()
        pending_request.get(timeout=5)
        fleet.agents[2].tree = new_tree
        fleet.agents[2].start()
        eventually(lambda: fleet.agents[2].port, "the agent serves")
        wait_until_ready(fleet)
        for agent in fleet.agents:
            assert fleet.request(agent, "/close/5?do=wait", "hal", retried=True)[0] == 502
        assert fleet.executions("/close/5?do=wait") == 1
