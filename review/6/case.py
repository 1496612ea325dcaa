"""Bad clients send hundreds of long requests at once; the agent goes over its memory limit and is killed.

The platform's stand-in ends the agent when its resident memory is over the limit of its configuration.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import CLOSE, READ, SUBMIT, Agent, Client, Discovery, Server, main, settings  # noqa: E402

BAD_CLIENTS = 320  # with the usual ones less than a third of the descriptors
BAD_S = 15.0
MEMORY_MB = 64
RATE = 10.0  # usual lookups a second
ANSWER = b"day closed " * 5900  # 64,900 bytes


async def case(record, folder, trouble):
    chance = random.Random(6)

    async def close_day(server, request, body, reader, writer):
        await asyncio.sleep(0.1)
        text = ANSWER if "bad-" in request["id"] else server.body_for(request["id"], body)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        await writer.drain()
        return True

    servers = [Server(record, f"s-{number}", "abc"[number % 3], number) for number in range(12)]
    for server in servers:
        server.behave = lambda server, request: close_day
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    agent = Agent(record, folder, "n1", settings([READ, SUBMIT, CLOSE]), discovery, limits)
    client, tries, bad, peak, killed_at = Client(record, agent), [], None, 0, None

    def resident_kb():
        return int(Path(f"/proc/{agent.process.pid}/status").read_text().split("VmRSS:")[1].split()[0])

    async def platform():
        nonlocal peak, killed_at
        while True:
            peak = max(peak, resident_kb())
            if peak > MEMORY_MB * 1024:
                killed_at = record.add("platform", "kills", resident_kb=peak, limit_kb=MEMORY_MB * 1024)
                agent.process.send_signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.05)

    async def send_for(seconds):
        until = record.now() + seconds
        while record.now() < until and killed_at is None:
            tries.append(asyncio.create_task(client.send("tally-read", 1900, sid=f"o{len(tries)}")))
            await asyncio.sleep(chance.expovariate(RATE))

    try:
        await agent.start()
        watching = asyncio.create_task(platform())
        await send_for(3.0)
        record.note(f"resident memory before: {resident_kb()} kB")
        if trouble:
            record.note(f"{record.now():.3f}: {BAD_CLIENTS} bad clients begin")
            bad = await asyncio.create_subprocess_exec(
                sys.executable, "-B", str(Path(__file__).with_name("bad_clients.py")),
                str(agent.port), str(BAD_CLIENTS), str(BAD_S),
            )
        await send_for(BAD_S)
        watching.cancel()
        await asyncio.gather(*tries)
    finally:
        client.close()
        if bad and bad.returncode is None:
            bad.kill()
            await bad.wait()
        await agent.end()
    record.note(f"resident memory at most: {peak} kB of {MEMORY_MB * 1024} kB")
    print(f"resident memory at most: {peak} kB of {MEMORY_MB * 1024} kB")
    if killed_at is None:
        return []
    lost = sum(not each["status"] and each.get("at", 0.0) >= killed_at - 0.1 for each in client.results)
    return [f"the agent was killed for {peak} kB at {killed_at:.3f} s; it held {lost} usual lookups"]


main(__file__, case)
