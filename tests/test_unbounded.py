"""What a client, a neighbour or discovery may make the agent hold, or keep it from doing, has a bound."""

import gc
import sys
import weakref

import gevent
import pytest
from gevent import socket, subprocess

from cartdeal.agent import discovery, effects, reducer
from cartdeal.agent.connection import MAX_BODY_BYTES
from cartdeal.agent.discovery import ListStream
from cartdeal.agent.front import MAX_PIPELINED_REQUESTS
from tests.scene import Deployment, until, worded

BODY = b"x" * (MAX_BODY_BYTES - 100)
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
        if event == "on_request" and theirs.writer:
            taken_meanwhile.append(about)
        dispatch(event, *about)

    front.dispatch = watched
    sender = gevent.spawn(
        client.sock.sendall, b"".join(worded("/once/x", "POST", BODY) for _ in range(REQUESTS))
    )
    until(lambda: taken_meanwhile or (theirs.writer and len(theirs.messages) >= MAX_PIPELINED_REQUESTS))
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
    agent.peer_socket = Flood()
    flooded = gevent.spawn(agent.receive_peer_messages)
    assert deployment.ask()[0] == 200
    assert not flooded.ready()
    flooded.kill()


def test_discovery_without_a_pause_leaves_the_agent_its_other_work(deployment, monkeypatch):
    reads = []

    class Flooded(ListStream):
        def receive(self):
            reads.append(self)
            if len(reads) > Flood.MOST:
                raise gevent.GreenletExit
            return True

        def whole_texts(self):
            return []

    monkeypatch.setattr(discovery, "ListStream", Flooded)
    watch = gevent.spawn(deployment.agent.discovery.follow)
    assert deployment.ask()[0] == 200
    assert not watch.ready()
    watch.kill()


def test_timers_of_requests_that_are_over_do_not_gather(deployment, monkeypatch):
    monkeypatch.setattr(effects, "MAX_TIMERS", 50)
    deployment.agent.max_timers = 50
    client = deployment.connect()
    for _ in range(300):
        assert deployment.ask(connection=client, X_Timeout="60000m")[0] == 200
        assert len(deployment.agent.timers) <= 60
    client.sock.sendall(worded("/once/x?do=wait", "POST", X_Timeout="60000m"))
    until(lambda: deployment.agent.reducer.requests)
    (number,) = deployment.agent.reducer.requests
    deployment.agent.drop_obsolete_timers()
    assert [each[2:] for each in deployment.agent.timers if each[2] == "on_deadline_passed"] == [
        ("on_deadline_passed", number)
    ]
    deployment.servers[0].released.set()


def test_ids_that_are_remembered_are_bounded_in_number(deployment, monkeypatch):
    monkeypatch.setattr(reducer, "MAX_RECENT_IDS", 20)
    client, memory = deployment.connect(), deployment.agent.reducer
    for number in range(100):
        assert deployment.ask(connection=client, X_Request_ID=f"id-{number}")[0] == 200
        assert len(memory.recent_ids) + len(memory.previous_ids) <= 40
    assert deployment.ask(connection=client, X_Request_ID="id-95")[0] == 409


@pytest.mark.parametrize("closed", [(2,), (0, 1, 2), (0,)])
def test_closed_standard_descriptors_are_never_a_connections(tmp_path, closed):
    """The log goes to descriptor 2, whoever has it."""
    told = (
        "import os, sys\n"
        f"for number in {closed}: os.close(number)\n"
        "from cartdeal.agent import log_output\n"
        "log_output.reserve_standard_descriptors()\n"
        "import socket\n"
        "number = socket.socket().fileno()\n"
        f"os.write(os.open({str(tmp_path / 'found')!r}, os.O_CREAT | os.O_WRONLY), b'%d' % number)\n"
    )
    subprocess.run([sys.executable, "-c", told], check=False)
    assert int((tmp_path / "found").read_text()) > 2


def test_closed_connections_do_not_wait_for_a_collection(deployment):
    """A client and its parser hold each other; thousands of them, each with its buffer, would gather."""
    front = deployment.agent.front
    gc.collect()
    gc.disable()
    try:
        kept = []
        for _ in range(20):
            client = deployment.connect()
            assert deployment.ask(connection=client, Connection="close")[0] == 200
            (theirs,) = until_some(
                lambda: [*deployment.agent.front.clients, *deployment.agent.front.lingering]
            )
            kept.append(weakref.ref(theirs))
            del theirs
            client.close()
            until(lambda: not (front.clients or front.lingering))
        until(lambda: sum(each() is not None for each in kept) <= 1)
    finally:
        gc.enable()
