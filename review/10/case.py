"""An agent stands still for 1.9 s; in that time discovery tells it that a server drains.

When it goes on, it sends lookups to that server before it reads what discovery has written.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import Agent, CannotRun, Client, Discovery, Server, main, settings  # noqa: E402

STANDS_STILL_S = 1.9  # "stand still for 1,500 to 2,000 ms every 2.5 to 4 s"
EVERY_S = 3.9
TOLD_AFTER_S = 1.2  # from the begin of the standstill, so 0.7 s before its end
GRACE_S = 0.4  # "Past 400 ms ... nothing new goes to it"
ROUNDS = 9
RATE = 100.0  # lookups a second: "most carry little traffic, some far more"
CLASSES = [
    {"name": "preview", "idempotency": "safe", "goalTimeUs": 800000, "timeLimitUs": 4000000, "importance": 2},
    {"name": "full-score", "idempotency": "safe", "goalTimeUs": 2500000, "timeLimitUs": 6000000, "importance": 1},
    {"name": "print-order", "idempotency": "unsafe", "goalTimeUs": 1500000, "timeLimitUs": 5000000,
     "importance": 8},
]


async def case(record, folder, trouble):
    chance = random.Random(10)
    servers = [Server(record, f"s-{number}", "abcabc"[number], number, 0.02) for number in range(6)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    rules = {"coldFrom": 0.32, "coldUs": 7100000, "fallUs": 1000000, "overloadFactor": 2.5,
             "drainGraceUs": 400000, "drainBindsAlone": True}
    agent = Agent(record, folder, "n1", settings(CLASSES, rules=rules, caps={"maxShots": 3}), discovery)
    client, tries, drains = Client(record, agent), [], []

    async def send():
        while True:
            # "A try is given up after 42 to 80% of the workload's time limit."
            name, timeout_ms = chance.choice([("full-score", 4800), ("print-order", 4000)])
            method = "GET" if name == "full-score" else "POST"
            lookup = client.send(name, timeout_ms, sid=f"score-{len(tries)}", method=method)
            tries.append(asyncio.create_task(lookup))
            await asyncio.sleep(chance.expovariate(RATE))

    try:
        await agent.start()
        sending = asyncio.create_task(send())
        await asyncio.sleep(3.0)
        for number in range(ROUNDS):
            server = servers[0 if number % 2 else 3]  # those of the agent's own zone
            if trouble:
                agent.signal(signal.SIGSTOP)
            await asyncio.sleep(TOLD_AFTER_S)
            told = record.now()
            discovery.change(server, state="leaving")
            await asyncio.sleep(STANDS_STILL_S - TOLD_AFTER_S)
            if trouble:
                agent.signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            drains.append((server.name, told, record.now()))
            discovery.change(server, state="active")  # its drain is called off
            await asyncio.sleep(EVERY_S - STANDS_STILL_S - 1.0)
        sending.cancel()
        results = await asyncio.gather(*tries)
        if not any(each["status"] == 200 for each in results):
            raise CannotRun("no lookup was served")
    finally:
        client.close()
        await agent.end()
    breaks = []
    for _, who, what, fields in record.events:
        if what in ("run", "turned away"):
            first = float(fields["first"])
            for name, told, until in drains:
                if who == name and told + GRACE_S < first < until:
                    breaks.append(f"{fields['id']} was sent to {name} {first - told:.3f} s after it was told to drain")
    record.note(f"{len(breaks)} attempts begun after the grace")
    return breaks[:20]


main(__file__, case)
