"""Bad clients send three requests at once, the last with a body of 60 MB, and go; usual clients must be answered."""

import asyncio
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from standins import (  # noqa: E402
    CLOSE, READ, SUBMIT, TROUBLE, Agent, Backend, Client, Discovery, answer, main, request_bytes, settings,
)  # fmt: skip

LIMIT_MS = 2000  # the time limit of tally-read
ANSWER_SLACK_S = 0.5  # later than this after its time, a request is lost
QUIET_S = 3.0
TROUBLE_S = 60.0
BAD_CLIENT_EVERY_S = 0.3
BODY = b'{"species": "anas crecca", "count": 3},\n' * 1_500_000  # 60 MB


async def behave(backend, request, run):
    """A sound server with 4 ms of work."""
    await asyncio.sleep(0.004)
    run()
    return answer(200, f"{request.headers['x-request-id']}".encode())


def bad_client(port, number, record):
    """Sends three requests at once at full speed, reads what it is sent, and goes when all is sent."""
    head = "Host: backend.local\r\nX-Timeout: 1500m\r\n"
    text = (
        f"GET /tally-read/a HTTP/1.1\r\nX-Request-ID: bad{number}-1\r\n{head}\r\n"
        f"GET /no-such-class/a HTTP/1.1\r\nX-Request-ID: bad{number}-2\r\n{head}\r\n"
        f"POST /sheet-submit/a HTTP/1.1\r\nX-Request-ID: bad{number}-3\r\n{head}Content-Length: {len(BODY)}\r\n\r\n"
    ).encode()
    record(f"bad client {number} sends three requests, the last with a body of {len(BODY)} bytes")
    try:
        with socket.create_connection(("127.0.0.1", port), 3.0) as sock:

            def read():
                try:
                    while data := sock.recv(65536):
                        record(f"bad client {number} reads {data[:30]!r}")
                except OSError as error:
                    record(f"bad client {number} reads: {error}")

            threading.Thread(target=read, daemon=True).start()
            sock.settimeout(6.0)
            sock.sendall(text + BODY[:8192])
            sock.sendall(BODY[8192:])
        record(f"bad client {number} has sent all and closes")
    except OSError as error:
        record(f"bad client {number} ends: {error}")


async def play(record, temporary):
    """Returns what was broken."""
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(f"s-{number}", record, behave) for number in range(3)]
    for backend in backends:
        await backend.start()
        discovery.entries[backend.uid] = backend.entry()
    agent = Agent("n1", temporary, record, discovery, settings([READ, SUBMIT, CLOSE]))
    agent.start()
    lost, answered, ending = [], 0, False

    async def usual_client(name):
        nonlocal answered
        client, number = Client(agent, record, name), 0
        while not ending:
            number += 1
            id = f"{name}-{number}"
            sent = time.monotonic()
            found = await client.ask(
                request_bytes("GET", f"/tally-read/{number}", id, LIMIT_MS, sid=f"{name}"),
                id, LIMIT_MS / 1000 + ANSWER_SLACK_S, "GET /tally-read",
            )  # fmt: skip
            if found is None:
                lost.append(f"{id}: no answer within {time.monotonic() - sent:.2f} s")
                return
            answered += 1
            await asyncio.sleep(0.1)

    try:
        await agent.until_ready()
        clients = [asyncio.create_task(usual_client(f"usual{number}")) for number in range(4)]
        await asyncio.sleep(QUIET_S)
        if lost:
            return [f"lost before the disruption: {each}" for each in lost]
        end, number = time.monotonic() + TROUBLE_S, 0
        while time.monotonic() < end and not lost:
            if TROUBLE:
                number += 1
                threading.Thread(target=bad_client, args=(agent.port, number, record), daemon=True).start()
            await asyncio.sleep(BAD_CLIENT_EVERY_S)
        if lost:  # the agent runs on; a request that comes much later tells whether it has recovered
            record(f"after {number} bad clients a usual client has no answer")
            before = cpu_seconds(agent)
            await asyncio.sleep(8.0)
            used = cpu_seconds(agent) - before
            record(f"the agent {'runs' if agent.process.poll() is None else 'has ended'}; CPU in 8 s: {used:.2f} s")
            late = Client(agent, record, "late")
            found = await late.ask(
                request_bytes("GET", "/tally-read/1", "late-1", LIMIT_MS), "late-1", 2.5, "GET /tally-read"
            )
            if found is None:
                lost.append(f"late-1, sent 8 s later, on a connection of its own: no answer; CPU {used:.1f} s of 8")
        ending = True
        await asyncio.gather(*clients)
    finally:
        agent.end()
    record(f"{answered} requests of usual clients answered, {len(lost)} lost")
    return [f"No lookup is lost: {each}" for each in lost]


def cpu_seconds(agent):
    """The processor time that the agent has used."""
    fields = Path(f"/proc/{agent.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else FOLDER / "record.txt", play)
