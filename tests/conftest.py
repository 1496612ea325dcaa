"""Fixtures of the tests on real connections, and what is done with tests of known failures."""

import gevent
import pytest

from tests import known_red
from tests.scene import Deployment


def pytest_collection_modifyitems(items):
    """A test that KNOWN-RED.txt lists has to fail; every other one has to pass."""
    listed = known_red.read()
    for item in items:
        for failure in listed:
            if failure.names(item.nodeid):
                item.add_marker(pytest.mark.xfail(strict=True, reason=f"{failure.cause} ({failure.issue})"))


def pytest_terminal_summary(terminalreporter):
    for failure in known_red.read():
        terminalreporter.write_line(f"KNOWN RED: {failure.test}: {failure.cause} ({failure.issue})")


@pytest.fixture
def bounded():
    """What waits for ever fails after 20 s."""
    with gevent.Timeout(20):
        yield


@pytest.fixture
def deploy(tmp_path):
    """Makes deployments, and stops them at the test's end."""
    made = []

    def make(**more):
        made.append(Deployment(tmp_path, **more))
        return made[-1]

    yield make
    for deployment in made:
        deployment.stop()
