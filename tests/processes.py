"""Several processes of the program in a fleet, with a relay of our own between them.

Owns the processes, which it ends by id, and the relay. Verdicts wait for a condition, with a bound that is
far off; no sleep decides one.
"""

import json
import os
import re
import signal
import subprocess
import sys
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic

import gevent
import msgspec
from gevent import socket
from gevent.fileobject import FileObject

from cartdeal.agent.connection import Connection
from cartdeal.fleet import codec
from examples.toy import DiscoveryService, Server

PORT = re.compile(rb"msg=serving .*port=(\d+)")
LIMIT = 30.0  # seconds until what has to happen counts as never happening
IDS = count(1)
QUICK = dict(
    lease_s=0.6,
    probe_s=0.1,
    suspect_s=0.5,
    damp_s=0.5,
    tick_s=0.05,
    wait_s=0.25,
    longest_mark_s=6.0,
    clock_ahead_s=0.25,
)
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


def eventually(found, why, limit=LIMIT):
    until = monotonic() + limit
    while not (seen := found()):
        assert monotonic() < until, f"not within {limit} s: {why}"
        gevent.sleep(0.02)
    return seen


class Relay:
    """Stands before one agent: peers reach it here. Knows each message's sender from its envelope."""

    def __init__(self, world, name):
        self.world, self.name, self.to = world, name, None
        while True:
            self.listener = socket.socket()
            self.listener.bind(("127.0.0.1", 0))
            self.port = self.listener.getsockname()[1]
            self.words = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self.words.bind(("127.0.0.1", self.port))
                break
            except OSError:
                self.listener.close()
                self.words.close()
        self.listener.listen(64)
        self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.works = [gevent.spawn(self.hear), gevent.spawn(self.accept)]
        self.open = []

    def fate(self, text) -> list[float]:
        """After which delays the message goes on, once for each: none where it is lost."""
        world, random = self.world, self.world.random
        sender = msgspec.msgpack.decode(text[1 + codec.MAC_BYTES :])[1]
        if (sender, self.name) in world.cuts or random.random() < world.lose:
            return []
        return [random.random() * world.delay for _ in range(1 + (random.random() < world.double))]

    def hear(self):
        while True:
            text = self.words.recv(65536)
            for delay in self.fate(text) if self.to else ():
                gevent.spawn_later(delay, self.out.sendto, text, self.to)

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.open.append(sock)
            gevent.spawn(self.carry, sock)

    def carry(self, sock):
        frames, there = codec.FrameReader(), None
        try:
            there = socket.create_connection(self.to)
            self.open.append(there)
            while more := sock.recv(65536):
                for text in frames.feed(more):
                    for delay in self.fate(text):
                        gevent.sleep(delay)
                        there.sendall(codec.frame_message(text))
        except (OSError, TypeError):
            pass
        finally:
            sock.close()
            if there:
                there.close()

    def stop(self):
        gevent.killall(self.works)
        for sock in [self.listener, self.words, self.out, *self.open]:
            sock.close()


class Agent:
    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.relay, self.process, self.lines, self.port = Relay(world, name), None, [], 0
        self.tree = Path(__file__).parents[1]  # of the sources that it is started from

    def start(self, **changes):
        world = self.world
        ports = world.free_port()
        folder = world.folder
        file = folder / f"{self.name}.json"
        file.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": "127.0.0.1:0",
                    "discovery": world.list.address,
                    "seed": f"{next(IDS):x}",
                    "known": {"rev": 1, "all": True, "targets": list(world.list.lines.values())},
                    "settings": {
                        "areas": ["a", "b", "c"],
                        "az": "abc".index(self.zone),
                        "discovery": "on_request",
                        "groupSize": 3,
                        "workloads": KINDS,
                        "tenants": [{"name": "shop", "quotaPerS": 20}],
                        "caps": {"maxShots": 3, "retryAfter": True, "maxRetryAfterUs": 2000000},
                        "rules": {"askEveryUs": 10000000},
                    },
                }
            )
        )
        fleet = folder / f"{self.name}.toml"
        fleet.write_text(world.operator_file(self, ports, **changes))
        self.relay.to = ("127.0.0.1", ports)
        self.lines, self.port = [], 0
        message = [sys.executable, "-B", "-m", "cartdeal", "serve"]
        self.process = subprocess.Popen(
            message,
            cwd=self.tree,
            stderr=subprocess.PIPE,
            start_new_session=True,
            env={"PROXY_CONFIG": str(file), "PROXY_FLEET": str(fleet), "PATH": os.environ["PATH"]},
        )
        gevent.spawn(self.read, self.process)
        return self

    def read(self, process):
        log = FileObject(process.stderr, "rb")
        for line in log:
            self.lines.append(line.decode(errors="replace").rstrip())
            if found := PORT.search(line):
                self.port = int(found[1])

    def said(self, *words) -> list[str]:
        return [line for line in self.lines if all(word in line for word in words)]

    def signal(self, number):
        os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.port = 0

    def stop(self):
        if self.process and self.process.poll() is None:
            self.kill()
        self.relay.stop()


class World:
    """Agents of one fleet, one in each zone, with toy servers behind them."""

    def __init__(self, folder, agents=3, limits="", **terms):
        self.folder, self.random, self.terms, self.limits = folder, Random(7), QUICK | terms, limits
        self.cuts, self.lose, self.double, self.delay = set(), 0.0, 0.0, 0.0
        self.list = DiscoveryService()
        self.servers = [Server(f"s{zone}") for zone in "abc"]
        for server, zone in zip(self.servers, "abc", strict=True):
            self.list.lines[server.name] = server.line(az=zone)
        self.agents = [Agent(self, f"n{place}", "abc"[place % 3]) for place in range(agents)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for each in self.agents:
            print(f"--- {each.name}", *each.lines[-40:], sep="\n")  # pytest shows it where a test fails
        for each in self.agents:
            each.stop()
        for each in [self.list, *self.servers]:
            each.stop()

    def free_port(self) -> int:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    def operator_file(self, agent, port, **changes) -> str:
        terms = (
            dict(
                fleet="tests",
                name=agent.name,
                listen=f"127.0.0.1:{port}",
                key="k" * 32,
                address=f"127.0.0.1:{agent.relay.port}",
                zone=agent.zone,
                **self.terms,
            )
            | changes
        )
        seeds = {each.name: f"127.0.0.1:{each.relay.port}" for each in self.agents[:3]}
        return "\n".join(
            [
                *(f"{key} = {json.dumps(value)}" for key, value in terms.items()),
                "[seeds]",
                *(f'{name} = "{address}"' for name, address in seeds.items()),
                self.limits,
            ]
        )

    def start(self):
        for each in self.agents:
            each.start()
        eventually(lambda: all(each.port for each in self.agents), "agents serve")
        eventually(lambda: self.epoch() > 0, "one ring")
        return self

    def epoch(self, agents=None) -> int:
        """The epoch that all have; 0 while they differ."""
        found = set()
        for each in agents or self.agents:
            rings = each.said("ring", "epoch=")
            found.add(int(re.search(r"epoch=(\d+)", rings[-1])[1]) if rings else 0)
        return found.pop() if len(found) == 1 else 0

    def ask(self, agent, path, session="one", key="", tenant="", method="POST", retried=False, wait=3.0):
        """One request; its status, body and headers, or 0 where the connection broke off."""
        sock = socket.create_connection(("127.0.0.1", agent.port))
        connection = Connection(sock, answers=True)
        head = [
            f"{method} {path} HTTP/1.1",
            "Host: x",
            f"X-Request-ID: r{next(IDS)}",
            f"Cookie: sid={session}",
            "X-Timeout: 2900m",
        ]
        head += [f"Idempotency-Key: {key}"] * bool(key) + [f"X-Tenant-ID: {tenant}"] * bool(tenant)
        head += ["X-Retried: 1"] * retried + ["Content-Length: 0"] * (method == "POST")
        try:
            connection.push("\r\n".join([*head, "", ""]).encode())
            until = monotonic() + wait
            while not connection.messages and connection.receive(max(0.01, until - monotonic())):
                pass
            message = connection.messages[0] if connection.messages else None
            return (message.status, message.body, message.headers) if message else (0, b"", {})
        except OSError:
            return 0, b"", {}
        finally:
            connection.close()

    def ran(self, path) -> int:
        return sum(message.path.decode() == path for server in self.servers for message in server.seen)
