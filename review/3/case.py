"""A bad client sends the id of another client's open request, more than 5 s after that request was taken."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from standins import (  # noqa: E402
    CLOSE, READ, SUBMIT, TROUBLE, Agent, Backend, Client, Discovery, answer, main, request_bytes, settings,
)  # fmt: skip

LIMIT_MS = 6000  # the time limit of day-close
SERVERS = 6  # one of them hangs: 17%
SLOT_S = 0.05  # a usual client sends each so often
PLAY_S = 30.0
REPLAY_AFTER_S = 5.6
BAD_CLIENT_LIMIT_MS = 2000
HANG = (4.4, 14.4, 24.4)  # s-0 hangs from then on, for 8 s each, seconds after the first request
HANG_S = 8.0


async def play(record, temporary):
    """Returns what was broken."""
    started = time.monotonic()

    def is_hanging():
        age = time.monotonic() - started
        return TROUBLE and any(each <= age < each + HANG_S for each in HANG)

    async def behave(backend, request, run):
        """A server with 80 ms of work; s-0 hangs in the middle of its work at times, and goes on afterwards."""
        await asyncio.sleep(0.08)
        while backend.uid == "s-0" and is_hanging():
            await asyncio.sleep(0.05)
        run()
        return answer(200, f"{request.headers['x-request-id']} {request.body.decode()}".encode())

    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(f"s-{number}", record, behave) for number in range(SERVERS)]
    for backend in backends:
        await backend.start()
        discovery.entries[backend.uid] = backend.entry()
    agent = Agent("n1", temporary, record, discovery, settings([READ, SUBMIT, CLOSE]))
    agent.start()
    breaks, open_ids = [], {}

    async def usual_client(number):
        id, client = f"close-{number}", Client(agent, record, f"usual{number}")
        open_ids[id] = time.monotonic()
        data = request_bytes("POST", f"/day-close/{number}", id, LIMIT_MS, body=b"usual")
        found = await client.ask(data, id, LIMIT_MS / 1000 + 0.5, "POST /day-close")
        del open_ids[id]
        client.close()
        if found is None:
            breaks.append(f"No lookup is lost: {id} has no answer")

    async def bad_clients():
        """Sends the ids of requests that have been open for long, each once."""
        done = set()
        while True:
            for id, since in list(open_ids.items()):
                if id not in done and time.monotonic() > since + REPLAY_AFTER_S:
                    done.add(id)
                    tasks.append(asyncio.create_task(bad_client(id, since)))
            await asyncio.sleep(0.02)

    async def bad_client(id, since):
        client = Client(agent, record, f"bad-{id}")
        data = request_bytes("POST", "/day-close/other", id, BAD_CLIENT_LIMIT_MS, body=b"bad")
        open_for = time.monotonic() - since
        found = await client.ask(data, id, 3.0, f"POST /day-close (open for {open_for:.2f} s)")
        client.close()
        if found and found.status == 200:
            breaks.append(
                f"a bad client with the id of {id}, open for {open_for:.2f} s, was served with {found.body!r}"
            )

    try:
        await agent.until_ready()
        started, tasks = time.monotonic(), []
        replays = asyncio.create_task(bad_clients()) if TROUBLE else None
        for number in range(int(PLAY_S / SLOT_S)):
            tasks.append(asyncio.create_task(usual_client(number)))
            await asyncio.sleep(max(0.0, started + (number + 1) * SLOT_S - time.monotonic()))
        await asyncio.sleep(LIMIT_MS / 1000 + 1)
        if replays:
            replays.cancel()
        await asyncio.gather(*tasks)
        await asyncio.sleep(3.0)
    finally:
        agent.end()
    runs = {}
    for backend in backends:
        for _, id, _ in backend.ran:
            runs.setdefault(id, []).append(backend.uid)
    for id, places in runs.items():
        if len(places) > 1:
            breaks.append(f"No effect happens twice: {id} ran at {places}")
    return breaks


if __name__ == "__main__":
    main(FOLDER, play)
