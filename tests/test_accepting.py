"""New clients are accepted promptly, also while many others keep the agent busy."""

import subprocess
import sys

import gevent

from cartdeal.agent.front import ACCEPT_BATCH_SIZE
from tests.scene import encode_request, read_answer

WAITING_CLIENTS = 64
MAX_TURNS = 16  # until all of them are accepted; with one client a turn it takes as many turns as clients
FLOOD_TIMEOUT_S = 60.0


def test_clients_in_the_listen_queue_are_accepted_several_a_turn(deploy, bounded):
    """Guards against new clients that wait a turn of all busy connections for each client before them."""
    deployment = deploy()
    front = deployment.agent.front
    accepting = next(task for task in deployment.agent.background_tasks if front.accept in task.args)
    accepting.kill()
    waiting = [deployment.connect() for _ in range(WAITING_CLIENTS)]
    for client in waiting:
        client.sock.sendall(encode_request())
    accepting = gevent.spawn(front.accept)
    accepted_by_turn = []
    while sum(accepted_by_turn) < WAITING_CLIENTS and len(accepted_by_turn) < WAITING_CLIENTS:
        before = len(front.clients)
        gevent.sleep(0)
        accepted_by_turn.append(len(front.clients) - before)
    assert len(accepted_by_turn) <= MAX_TURNS and max(accepted_by_turn) <= ACCEPT_BATCH_SIZE, accepted_by_turn
    assert [read_answer(client)[0] for client in waiting] == [200] * WAITING_CLIENTS
    accepting.kill()


def test_usual_clients_are_served_beside_floods_of_tiny_chunks():
    """Guards against new clients that are left in the listen queue while others send one-byte chunks."""
    command = [sys.executable, "-m", "tests.chunk_flood"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=FLOOD_TIMEOUT_S, check=False)
    assert result.returncode == 0, result.stdout + result.stderr
