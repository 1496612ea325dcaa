"""Fixtures of the tests on real connections."""

import gevent
import pytest

from tests.scene import Deployment


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
