"""New and usual clients get their turn promptly while others send all the time."""

import subprocess
import sys

import gevent
import pytest

from cartdeal.agent.client_connection import ClientConnection
from cartdeal.agent.front import DEFERRED_INPUT_READERS
from tests.scene import encode_request, read_answer

WAITING_CLIENTS = 64
FLOOD_TIMEOUT_S = 60.0
FLOODING_CLIENTS = 40
TINY_CHUNKS = b"1\r\nx\r\n" * 4000


def stop_accepting(deployment):
    """Ends the greenlet that accepts clients; returns another one, which the test is to start."""
    front = deployment.agent.front
    next(task for task in deployment.agent.background_tasks if front.accept in task.args).kill()
    return gevent.Greenlet(front.accept)


def test_clients_in_the_listen_queue_are_accepted_one_a_turn(deploy, bounded):
    """Guards against herds that are accepted faster than their requests come, and closed as silent."""
    deployment = deploy()
    front = deployment.agent.front
    accepting = stop_accepting(deployment)
    waiting = [deployment.connect() for _ in range(WAITING_CLIENTS)]
    for client in waiting:
        client.sock.sendall(encode_request())
    accepting.start()
    accepted_by_turn = []
    while sum(accepted_by_turn) < WAITING_CLIENTS and len(accepted_by_turn) < 2 * WAITING_CLIENTS:
        before = len(front.clients)
        gevent.sleep(0)
        accepted_by_turn.append(len(front.clients) - before)
    assert sum(accepted_by_turn) == WAITING_CLIENTS and max(accepted_by_turn) == 1, accepted_by_turn
    assert [read_answer(client)[0] for client in waiting] == [200] * WAITING_CLIENTS
    accepting.kill()


@pytest.mark.parametrize("awaits_answer", [False, True])
def test_deferred_input_of_few_clients_is_parsed_in_a_turn(deploy, bounded, monkeypatch, awaits_answer):
    """Guards against usual clients that wait while others, which may await an answer, flood the parser."""
    reads = []
    receive = ClientConnection.receive

    def counting_receive(client, timeout_s):
        if client.unparsed:
            reads.append(client)
        return receive(client, timeout_s)

    monkeypatch.setattr(ClientConnection, "receive", counting_receive)
    deployment = deploy()
    accepting = stop_accepting(deployment)
    flood = encode_request("/once/x", "POST", Content_Length=None, Transfer_Encoding="chunked") + TINY_CHUNKS
    clients = [deployment.connect() for _ in range(FLOODING_CLIENTS)]
    for client in clients:
        waiting = encode_request("/once/x?do=wait", "POST") if awaits_answer else b""
        client.sock.sendall(waiting + flood)
    accepting.start()
    reads_by_turn = []
    for _ in range(100):
        reads.clear()
        gevent.sleep(0)
        reads_by_turn.append(len(reads))
    assert 0 < max(reads_by_turn) <= DEFERRED_INPUT_READERS, reads_by_turn
    accepting.kill()


def test_usual_clients_are_served_beside_floods_of_tiny_chunks():
    """Guards against new clients that are left in the listen queue while others send one-byte chunks."""
    command = [sys.executable, "-m", "tests.chunk_flood"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=FLOOD_TIMEOUT_S, check=False)
    assert result.returncode == 0, result.stdout + result.stderr
