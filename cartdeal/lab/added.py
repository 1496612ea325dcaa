"""What the fleet adds to a request: real agents with it and without, on loopback, asked in turns by a client.

It owns the processes, which it ends by id however it ends itself. It must never ask two agents at once: a
machine's other work is to meet both sides alike.
"""

import json
import os
import re
import signal
import sys
import tempfile
from pathlib import Path
from random import Random
from time import monotonic

import gevent
from gevent import socket, subprocess
from hdrh.histogram import HdrHistogram

from cartdeal.agent.connection import Connection
from cartdeal.emulator.world import InvalidInputError
from cartdeal.rig.fake_servers import LOOPBACK_HOST, Listener, http_response

AGENTS = 3  # with the fleet; as many without
READY = 60.0  # until all serve and the fleet knows its sessions
PORT = re.compile(rb"msg=serving .*\bport=(\d+)")
HERE = Path(__file__).parents[2]
# One that founds a fleet knows nothing of the sessions before it, for as long as a mark may last.
FLEET = {"longest_mark_s": 6.0, "damp_s": 1.0}
KINDS = [
    {"name": "read", "idempotency": "safe", "goalTimeUs": 600000, "timeLimitUs": 2000000},
    {
        "name": "submit",
        "idempotency": "keyed",
        "group": "all",
        "repeatWindowUs": 4000000,
        "goalTimeUs": 1000000,
        "timeLimitUs": 2000000,
    },
    {"name": "close", "idempotency": "unsafe", "goalTimeUs": 1200000, "timeLimitUs": 3000000},
]


class Server(Listener):
    """Answers at once, and always the same."""

    def __init__(self, answer=b"done"):
        self.answer = http_response(200, answer)
        super().__init__()

    def handle_request(self, connection, message):
        connection.sock.sendall(self.answer)


class Agent:
    def __init__(self, pairs, number, seeds):
        self.name, self.connection = f"n{number}", None
        folder, zone = pairs.folder, number % AGENTS
        file = Path(folder, f"{number}{'f' * bool(seeds)}.json")
        file.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{LOOPBACK_HOST}:0",
                    "discovery": pairs.list.address,
                    "seed": f"{pairs.seed * 64 + number:x}",
                    "known": pairs.known,
                    "settings": {
                        "areas": ["a", "b", "c"],
                        "az": zone,
                        "discovery": "on_request",
                        "groupSize": AGENTS,
                        "workloads": KINDS,
                        "tenants": [{"name": "shop"}],
                        "rules": {"askEveryUs": 600_000_000},
                    },
                }
            )
        )
        env = {"PROXY_CONFIG": str(file), "PATH": os.environ["PATH"], "PYTHONPATH": str(HERE)}
        if seeds:
            terms = {"fleet": "lab", "name": self.name, "key": "k" * 32, "listen": seeds[self.name], **FLEET}
            operator_file = file.with_suffix(".toml")
            operator_file.write_text(
                "\n".join(
                    [
                        *(f"{key} = {json.dumps(value)}" for key, value in terms.items()),
                        "[seeds]",
                        *(f"{name} = {json.dumps(at)}" for name, at in seeds.items()),
                        "[limits.shop]",
                        "rate = 100000.0",
                        "burst = 50000.0",
                        "",
                    ]
                )
            )
            env["PROXY_FLEET"] = str(operator_file)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cartdeal", "serve"],
            cwd=HERE,
            env=env,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        pairs.agents.append(self)
        with gevent.Timeout(
            READY, InvalidInputError(f"{self.name}: found none that serves within {READY:g} s")
        ):
            while not (found := PORT.search(line := self.process.stderr.readline())):
                if not line:
                    raise InvalidInputError(f"{self.name}: found an agent that ended, {self.process.wait()}")
        self.port = int(found[1])
        self.reader = gevent.spawn(self.drain)

    def drain(self):
        for _ in self.process.stderr:
            pass

    def ask(self, head: bytes) -> tuple[int, float]:
        """Status, and seconds until the whole answer was there."""
        if self.connection is None or self.connection.closed:
            sock = socket.create_connection((LOOPBACK_HOST, self.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connection = Connection(sock, reads_responses=True)
        begun = monotonic()
        self.connection.sock.sendall(head)
        while not self.connection.messages:
            if not self.connection.receive(5.0):
                self.connection.close()
                return 0, monotonic() - begun
        answer = self.connection.messages.pop()
        took = monotonic() - begun
        if not answer.keep_alive:
            self.connection.close()
        return answer.status, took

    def kill(self):
        try:
            os.killpg(self.process.pid, signal.SIGKILL)
        except ProcessLookupError:
            pass

    def stop(self):
        self.kill()
        self.process.wait()


class Pairs:
    """As many agents with the fleet as without, with the same servers behind them."""

    def __init__(self, seed: int):
        self.seed, self.agents, self.asked, self.stands = seed, [], 0, []
        self.hold = tempfile.TemporaryDirectory()
        self.folder = self.hold.name

    def __enter__(self):
        self.before = signal.signal(signal.SIGTERM, self.end)
        try:
            self.stands = [Server() for _ in range(6)]
            self.known = {
                "rev": 1,
                "all": True,
                "targets": [
                    {
                        "uid": f"s{place}",
                        "endpoint": each.address,
                        "az": "abc"[place % 3],
                        "pod_group": 0,
                        "state": "active",
                        "capacity_hint": 1.0,
                        "boot_ms": 0,
                    }
                    for place, each in enumerate(self.stands)
                ],
            }
            self.list = Server(json.dumps(self.known).encode())
            self.stands.append(self.list)
            seeds = {f"n{number}": f"{LOOPBACK_HOST}:{free_port()}" for number in range(AGENTS)}
            self.on = [Agent(self, number, seeds) for number in range(AGENTS)]
            self.off = [Agent(self, number, {}) for number in range(AGENTS)]
            until = monotonic() + READY
            for agent in self.on:
                while agent.ask(self.head("close"))[0] != 200:
                    if monotonic() > until:
                        raise InvalidInputError(f"found no fleet that knows its sessions within {READY:g} s")
                    gevent.sleep(0.2)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for each in [*self.agents, *self.stands]:
            each.stop() if isinstance(each, Agent) else each.close()
        self.hold.cleanup()
        signal.signal(signal.SIGTERM, self.before)

    def end(self, *_):
        """Of a process of a pool, which would go on to its next work after any exception."""
        for each in self.agents:
            each.kill()
        self.hold.cleanup()
        os._exit(1)

    def head(self, kind: str) -> bytes:
        self.asked += 1
        path, method = kind.replace("limited", "read"), "POST" if kind in ("submit", "close") else "GET"
        return (
            f"{method} /{path}/{self.asked} HTTP/1.1\r\nHost: x\r\nX-Request-ID: r{self.asked}\r\n"
            f"Cookie: sid=c{self.asked % 50}\r\nX-Timeout: 1900m\r\n"
            + "X-Tenant-ID: shop\r\n" * (kind == "limited")
            + f"Idempotency-Key: k{self.asked}\r\n" * (kind == "submit")
            + "Content-Length: 0\r\n" * (method == "POST")
            + "\r\n"
        ).encode()

    def measure(self, kind: str, requests: int) -> dict:
        """Milliseconds; the share completed is of the side with the fleet."""
        sides, took, good = {"on": self.on, "off": self.off}, {"on": [], "off": []}, 0
        dice = Random(self.seed)
        for turn in range(-requests // 10, requests):  # the first ones warm both up
            for side in dice.sample(("on", "off"), 2):
                status, seconds = sides[side][turn % AGENTS].ask(self.head(kind))
                if turn >= 0:
                    took[side].append(seconds)
                    good += side == "on" and status == 200
        row = {}
        for part in 50, 99:
            at = {side: percentile(each, part) for side, each in took.items()}
            row |= {
                f"off p{part} ms": at["off"],
                f"on p{part} ms": at["on"],
                f"added p{part} ms": round(at["on"] - at["off"], 3),
            }
        return row | {"lookups": requests, "completed": round(good / requests, 4)}


def percentile(took: list[float], part: float) -> float:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for each in took:
        histogram.record_value(max(1, round(each * 1e6)))
    return round(histogram.get_value_at_percentile(part) / 1e3, 3)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((LOOPBACK_HOST, 0))
        return sock.getsockname()[1]
