"""Some answers of servers have a length that doesn't fit: it is shorter than the answer.

The clients ask for lookups that may not be repeated, and compare each 200 with what a server made for it.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import CLOSE, READ, SUBMIT, Agent, Client, Discovery, Server, main, settings  # noqa: E402

SECONDS = 12.0
RATE = 25.0  # lookups a second
SPOILT_SHARE = 0.1  # of the answers


def answer_for(ident):
    """What a server makes for a request: an issued record number, and the lines of the closed day."""
    return b"record %b\n" % ident.encode() + b"".join(b"hall-d line %d\n" % line for line in range(20))


async def case(record, folder, trouble):
    chance = random.Random(7)
    spoilt = set()

    async def answer(server, request, body, reader, writer):
        await asyncio.sleep(0.02)
        text = answer_for(request["id"])
        length = len(text)
        if trouble and chance.random() < SPOILT_SHARE:
            length -= chance.randrange(20, 200)
            spoilt.add(request["id"])
            record.add(server.name, "spoilt", id=request["id"], length=length, bytes=len(text))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + text)
        await writer.drain()
        if length != len(text):
            await reader.read()  # "The connection stays open and is of no further use."
            return False
        return True

    servers = [Server(record, f"s-{number}", "abcabc"[number], number) for number in range(6)]
    for server in servers:
        server.behave = lambda server, request: answer
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    agent = Agent(record, folder, "n1", settings([READ, SUBMIT, CLOSE]), discovery)
    client = Client(record, agent)
    tries = []
    try:
        await agent.start()
        until = record.now() + SECONDS
        while record.now() < until:
            number = len(tries)
            close = client.send("day-close", 5000, sid=f"day-{number}", method="POST", body=b"close %d" % number)
            tries.append(asyncio.create_task(close))
            await asyncio.sleep(chance.expovariate(RATE))
        results = await asyncio.gather(*tries)
    finally:
        client.close()
        await agent.end()
    breaks = []
    for each in results:
        made = answer_for(each["id"])
        if each["status"] == 200 and each["body"] != made:
            breaks.append(f"{each['id']} was served {len(each['body'])} bytes of the {len(made)} made for it")
    record.note(f"{len(results)} lookups, {len(spoilt)} spoilt answers, {len(breaks)} served wrongly")
    return breaks


main(__file__, case)
