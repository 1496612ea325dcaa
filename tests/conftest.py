"""Fixtures for tests with real connections, and the handling of tests that are known to fail."""

import signal

import gevent
import pytest

from tests import known_red
from tests.scene import Deployment


def pytest_collection_modifyitems(items):
    """Expects each test that KNOWN-RED.txt lists to fail, and each other one to pass."""
    known_failures = known_red.read()
    for item in items:
        for failure in known_failures:
            if failure.names(item.nodeid):
                item.add_marker(pytest.mark.xfail(strict=True, reason=f"{failure.seen} ({failure.issue})"))


def pytest_terminal_summary(terminalreporter):
    """Lists the known failures at the end of the run."""
    for failure in known_red.read():
        state = "listed and not run" if failure.is_slow else "red"
        terminalreporter.write_line(f"KNOWN RED, {state}: {failure.test}: {failure.seen} ({failure.issue})")


@pytest.fixture
def bounded():
    """Fails a test that takes longer than 20 s."""
    with gevent.Timeout(20):
        yield


@pytest.fixture
def busy_loop_bounded():
    """Fails a test that computes for 5 s, also in a loop that never yields to other greenlets."""

    def stop_loop(signal_number, frame):
        raise AssertionError("computes for over 5 s")

    previous = signal.signal(signal.SIGVTALRM, stop_loop)
    signal.setitimer(signal.ITIMER_VIRTUAL, 5.0)
    yield
    signal.setitimer(signal.ITIMER_VIRTUAL, 0.0)
    signal.signal(signal.SIGVTALRM, previous)


@pytest.fixture
def deploy(tmp_path):
    """Creates deployments and stops them when the test ends."""
    deployments = []

    def create(**more):
        deployments.append(Deployment(tmp_path, **more))
        return deployments[-1]

    yield create
    for deployment in deployments:
        deployment.stop()
