"""What a client, a neighbour or discovery may make the agent hold, or keep it from doing, has a bound."""

import gevent
import pytest
from gevent import socket

from cartdeal.agent.connection import BODY_LIMIT
from cartdeal.agent.front import MOST_PIPELINED
from tests.scene import Deployment, until, worded

BODY = b"x" * (BODY_LIMIT - 100)
REQUESTS = 100


@pytest.fixture
def deployment(tmp_path, bounded):
    made = Deployment(tmp_path)
    yield made
    made.stop()


def test_answers_that_a_client_does_not_read_are_held_one_at_a_time(deployment):
    """It goes on asking: what it is owed must not fill the memory."""
    client, front = deployment.connect(), deployment.agent.front
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    (theirs,) = until_some(lambda: front.clients)
    theirs.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    dispatch, taken_meanwhile = front.dispatch, []

    def watched(event, *about):
        if event == "taken" and theirs.writer:
            taken_meanwhile.append(about)
        dispatch(event, *about)

    front.dispatch = watched
    sender = gevent.spawn(
        client.sock.sendall, b"".join(worded("/once/x", "POST", BODY) for _ in range(REQUESTS))
    )
    until(lambda: taken_meanwhile or (theirs.writer and len(theirs.messages) >= MOST_PIPELINED))
    for _ in range(10):
        gevent.sleep(0)
    assert not taken_meanwhile
    sender.kill()


def until_some(found):
    until(found)
    return found()


class Flood:
    """Datagrams without a pause, up to a number at which the agent can do nothing else."""

    MOST = 100_000

    def __init__(self):
        self.count = 0

    def recvfrom(self, size):
        self.count += 1
        if self.count > self.MOST:
            raise gevent.GreenletExit
        return b"words", ("127.0.0.1", 9)


def test_datagrams_without_a_pause_leave_the_agent_its_other_work(deployment):
    agent = deployment.agent
    agent.datagrams = Flood()
    flooded = gevent.spawn(agent.hear)
    assert deployment.ask()[0] == 200
    assert not flooded.ready()
    flooded.kill()
