"""Bad clients state a length that is wrong: it is shorter than the sheet that they send.

Beside them usual clients send sheets. The servers note which sheet they ran for which request.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import CLOSE, READ, SUBMIT, Agent, Client, Discovery, Server, main, read_message, settings  # noqa: E402

SECONDS = 10.0
RATE = 20.0  # usual lookups a second
BAD_CLIENTS = 20
ANSWER_S = 3.0  # "Within 3 s of connecting ... such a client is owed an error (any 4xx or 5xx) or a close."


def sheet(number):
    """A sheet of counts."""
    return b"".join(b"wetland %d: species %d: %d birds\n" % (number, each, each * 7) for each in range(20))


async def case(record, folder, trouble):
    chance = random.Random(8)
    ran, sent, breaks = {}, {}, []

    async def store(server, request, body, reader, writer):
        ran.setdefault(request["id"], []).append(body)
        await asyncio.sleep(0.02)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored")
        return True

    servers = [Server(record, f"s-{number}", "abcabc"[number], number, dedup=None) for number in range(6)]
    for server in servers:
        server.behave = lambda server, request: store
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    agent = Agent(record, folder, "n1", settings([READ, SUBMIT, CLOSE]), discovery)
    client = Client(record, agent)

    async def bad_client(number):
        ident, body = f"bad-{number}", sheet(1000 + number)
        length = len(body) - chance.randrange(50, 400) if trouble else len(body)
        sent[ident] = body
        head = (
            f"POST /sheet-submit/x HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {ident}\r\n"
            f"X-Timeout: 3500m\r\nIdempotency-Key: {ident}\r\nContent-Length: {length}\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
        writer.write(head.encode() + body)
        record.add("bad client", "sends", id=ident, length=length, bytes=len(body))
        try:
            message = await asyncio.wait_for(read_message(reader), ANSWER_S)
            status = int(message[0].split(" ")[1]) if message else 0
        except TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        record.add("bad client", "answered", id=ident, status=status)
        writer.close()
        if trouble and status == 200:
            breaks.append(f"{ident}, which stated {length} of {len(body)} bytes, was served with a 200")
        if not trouble and status != 200:
            breaks.append(f"{ident}, which stated its length rightly, got {status}")

    async def usual(number):
        body = sheet(number)
        ident = f"usual-{number}"
        sent[ident] = body
        await client.send("sheet-submit", 3500, key=f"key-{number}", sid=f"sheet-{number}", body=body, ident=ident)

    tries = []
    try:
        await agent.start()
        until, number = record.now() + SECONDS, 0
        while record.now() < until:
            tries.append(asyncio.create_task(usual(number)))
            if number % 10 == 5 and number // 10 < BAD_CLIENTS:
                tries.append(asyncio.create_task(bad_client(number // 10)))
            number += 1
            await asyncio.sleep(chance.expovariate(RATE))
        await asyncio.gather(*tries)
    finally:
        client.close()
        await agent.end()
    for ident, bodies in ran.items():
        for body in bodies:
            if body != sent[ident]:
                breaks.append(f"a server ran {ident} with {len(body)} of the {len(sent[ident])} bytes sent")
    return breaks


main(__file__, case)
