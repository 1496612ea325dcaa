"""Clients that write slowly, stop in the middle of a request, or send requests ahead of their answers.

The front's clock is the test's own, and looks for clients whose time is up are made by the test.
"""

import pytest

from cartdeal.agent import front
from tests.scene import Deployment, answered, until, worded

PIECES = 8
LOOK = 0.2  # seconds between two looks for clients whose time is up


class Clock:
    """Seconds since some moment, moved on by the test alone."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    shown = Clock()
    monkeypatch.setattr(front, "monotonic", shown)
    monkeypatch.setattr(front, "SWEEP_INTERVAL", 1e6)
    return shown


@pytest.fixture
def deployment(tmp_path, bounded):
    made = Deployment(tmp_path)
    yield made
    made.stop()


def pass_time(deployment, clock, seconds):
    """Time goes by in steps, and after each the front looks for clients whose time is up."""
    end = clock.now + seconds
    while clock.now < end:
        clock.now = min(end, clock.now + LOOK)
        deployment.agent.front.close_overdue()


def connected(deployment, known):
    connection = deployment.connect()
    if known:
        assert deployment.ask(connection=connection)[0] == 200
    until(lambda: deployment.agent.front.clients)
    (client,) = deployment.agent.front.clients
    return connection, client


def write(connection, client, text):
    """Returns once the front has read it."""
    connection.sock.sendall(text)
    until(lambda: not client.unread())


def write_slowly(deployment, clock, connection, client, text, seconds):
    step = -(-len(text) // PIECES)
    for place in range(0, len(text), step):
        write(connection, client, text[place : place + step])
        if place + step < len(text):
            pass_time(deployment, clock, seconds / (PIECES - 1))


@pytest.mark.parametrize(
    "known, seconds", [(False, 1.9), (False, 2.4), (False, 2.8), (False, 4.5), (True, 2.8), (True, 4.5)]
)
def test_request_that_is_written_slowly_is_answered(deployment, clock, known, seconds):
    connection, client = connected(deployment, known)
    text = worded("/once/x", "POST", b"b" * 40)
    write_slowly(deployment, clock, connection, client, text, seconds)
    assert answered(connection) == (200, b"s0 " + b"b" * 40)


@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("size", [1, 9, -1])
def test_client_that_stops_in_the_middle_of_a_request_has_its_error_within_3_s(
    deployment, clock, known, size
):
    connection, client = connected(deployment, known)
    write(connection, client, worded("/once/x", "POST", b"body")[:size])
    pass_time(deployment, clock, 3.0)
    assert answered(connection)[0] == 408 and answered(connection) is None
    assert not deployment.seen()[known:]


# Requests sent ahead


def test_every_request_sent_ahead_has_its_answer(deployment):
    connection = deployment.connect()
    connection.sock.sendall(b"".join(worded(f"/read/{n}") for n in range(200)))
    assert [answered(connection)[0] for _ in range(200)] == [200] * 200
    assert deployment.ask(connection=connection)[0] == 200
