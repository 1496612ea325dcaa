"""A hundred and fifty bad clients send two hundred requests each at once; the platform kills an agent over its memory limit."""

import asyncio
import socket
import sys
import threading
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from standins import (  # noqa: E402
    CLOSE, READ, SUBMIT, TROUBLE, Agent, Backend, Client, Discovery, answer, main, request_bytes, settings,
)  # fmt: skip

LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
LIMIT_MS = 2000
ANSWER_SLACK_S = 0.5
BAD_CLIENTS = 150  # with the usual ones under a third of the descriptors
REQUESTS_AT_ONCE = 200
HEAD_LINES = 200  # of 70 bytes: a head of 14 kB
WATCH_S = 15.0


async def behave(backend, request, run):
    """A sound server with 60 ms of work, as tally-read has."""
    await asyncio.sleep(0.06)
    run()
    return answer(200, request.headers["x-request-id"].encode())


def requests_of(number):
    """The requests that a bad client sends at once."""
    filler = "".join(f"X-Field-{line:03d}: {'j' * 56}\r\n" for line in range(HEAD_LINES))
    return b"".join(
        request_bytes("GET", "/tally-read/a", f"bad{number}-{each}", 1500, extra=filler)
        for each in range(REQUESTS_AT_ONCE)
    )


def bad_client(port, number, record, data):
    """Sends hundreds of requests at once at full speed, and reads what it is sent."""
    try:
        with socket.create_connection(("127.0.0.1", port), 3.0) as sock:
            threading.Thread(target=drain, args=(sock,), daemon=True).start()
            sock.settimeout(6.0)
            sock.sendall(data)
        record(f"bad client {number} has sent {REQUESTS_AT_ONCE} requests and closes")
    except OSError as error:
        record(f"bad client {number} ends: {error}")


def drain(sock):
    """Reads what a bad client is sent."""
    try:
        while sock.recv(65536):
            pass
    except OSError:
        pass


def memory_mb(agent):
    """The resident memory of the agent in MB, as the platform sees it; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{agent.process.pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return sum(int(line.split()[1]) for line in lines if line.startswith("VmRSS:")) * 1024 / 1e6


async def play(record, temporary):
    """Returns what was broken."""
    prepared = [requests_of(number) for number in range(BAD_CLIENTS)] if TROUBLE else []
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(f"s-{number}", record, behave) for number in range(3)]
    for backend in backends:
        await backend.start()
        discovery.entries[backend.uid] = backend.entry()
    agent = Agent("n1", temporary, record, discovery, settings([READ, SUBMIT, CLOSE]), limits=LIMITS)
    agent.start()
    breaks, ending, peak, asked = [], False, 0.0, 0

    async def usual_client(name):
        nonlocal asked
        client, number = Client(agent, record, name), 0
        while not ending:
            number += 1
            asked += 1
            id = f"{name}-{number}"
            found = await client.ask(
                request_bytes("GET", f"/tally-read/{number}", id, LIMIT_MS, sid=name),
                id, LIMIT_MS / 1000 + ANSWER_SLACK_S, "GET /tally-read",
            )  # fmt: skip
            if found is None:
                record(f"LOST {id}")
                return
            await asyncio.sleep(0.1)

    async def platform():
        """Kills the agent over its memory limit, as the deployment page says."""
        nonlocal peak
        while not ending:
            used = memory_mb(agent)
            if used > peak + 1:
                record(f"the agent uses {used:.1f} MB")
            peak = max(peak, used)
            if used > LIMITS["memory_mb"] and not breaks:
                breaks.append(f"killed for memory: {used:.1f} MB with a limit of {LIMITS['memory_mb']} MB")
                record(breaks[-1])
                agent.process.kill()
            await asyncio.sleep(0.01)

    try:
        await agent.until_ready()
        tasks = [asyncio.create_task(usual_client(f"usual{number}")) for number in range(4)]
        tasks.append(asyncio.create_task(platform()))
        await asyncio.sleep(3.0)
        record(f"before the disruption the agent uses {memory_mb(agent):.1f} MB")
        if TROUBLE:
            record(f"{BAD_CLIENTS} bad clients come, {REQUESTS_AT_ONCE} requests each at once")
            for number, data in enumerate(prepared):
                arguments = (agent.port, number, record, data)
                threading.Thread(target=bad_client, args=arguments, daemon=True).start()
                await asyncio.sleep(0.005)
        for _ in range(int(WATCH_S)):
            await asyncio.sleep(1.0)
            if breaks:
                break
        await asyncio.sleep(1.0)
        ending = True
        await asyncio.gather(*tasks)
    finally:
        agent.end()
    record(f"peak {peak:.1f} MB; {asked} requests of usual clients")
    return breaks


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else FOLDER / "record.txt", play)
