"""Measures the latency that the fleet adds to a request: real agents with and without it, on loopback.

The processes of the agents are ended by id, however the measurement ends. One client sends the requests to
the agents in turn, never to two agents at once, so that other work of the machine affects both sides alike.
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

AGENTS_PER_SIDE = 3
START_TIMEOUT_S = 60.0  # until all agents serve and the fleet knows the sessions of its clients
PORT_PATTERN = re.compile(rb"msg=serving .*\bport=(\d+)")
REPOSITORY = Path(__file__).parents[2]
# An agent that founds a fleet does not know earlier sessions until `longest_mark_s` have passed.
FLEET_SETTINGS = {"longest_mark_s": 6.0, "damp_s": 1.0}
REQUEST_CLASSES = [
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
    """A server that sends the same answer to every request, without delay."""

    def __init__(self, answer=b"done"):
        self.answer = http_response(200, answer)
        super().__init__()

    def handle_request(self, connection, message):
        """Answers a request."""
        connection.sock.sendall(self.answer)


class Agent:
    """The process of an agent, and the client's connection to it.

    With `seeds` (the fleet's addresses by agent name) the agent runs with the fleet, otherwise without.
    """

    def __init__(self, comparison, number, seeds):
        self.name, self.connection = f"n{number}", None
        folder, zone = comparison.folder, number % AGENTS_PER_SIDE
        file = Path(folder, f"{number}{'f' * bool(seeds)}.json")
        file.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{LOOPBACK_HOST}:0",
                    "discovery": comparison.discovery.address,
                    "seed": f"{comparison.seed * 64 + number:x}",
                    "known": comparison.server_list,
                    "settings": {
                        "areas": ["a", "b", "c"],
                        "az": zone,
                        "discovery": "on_request",
                        "groupSize": AGENTS_PER_SIDE,
                        "workloads": REQUEST_CLASSES,
                        "tenants": [{"name": "shop"}],
                        "rules": {"askEveryUs": 600_000_000},
                    },
                }
            )
        )
        env = {"PROXY_CONFIG": str(file), "PATH": os.environ["PATH"], "PYTHONPATH": str(REPOSITORY)}
        if seeds:
            fleet_settings = {
                "fleet": "lab",
                "name": self.name,
                "key": "k" * 32,
                "listen": seeds[self.name],
                **FLEET_SETTINGS,
            }
            fleet_file = file.with_suffix(".toml")
            fleet_file.write_text(
                "\n".join(
                    [
                        *(f"{key} = {json.dumps(value)}" for key, value in fleet_settings.items()),
                        "[seeds]",
                        *(f"{name} = {json.dumps(address)}" for name, address in seeds.items()),
                        "[limits.shop]",
                        "rate = 100000.0",
                        "burst = 50000.0",
                        "",
                    ]
                )
            )
            env["PROXY_FLEET"] = str(fleet_file)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cartdeal", "serve"],
            cwd=REPOSITORY,
            env=env,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        comparison.agents.append(self)
        with gevent.Timeout(
            START_TIMEOUT_S,
            InvalidInputError(f"{self.name}: the agent did not serve within {START_TIMEOUT_S:g} s"),
        ):
            while not (match := PORT_PATTERN.search(line := self.process.stderr.readline())):
                if not line:
                    raise InvalidInputError(f"{self.name}: the agent ended with status {self.process.wait()}")
        self.port = int(match[1])
        self.log_reader = gevent.spawn(self.discard_log)

    def discard_log(self):
        """Reads the agent's log, so that the agent does not block on it."""
        for _ in self.process.stderr:
            pass

    def send_request(self, head: bytes) -> tuple[int, float]:
        """Sends a request and waits for the answer; returns its status and the seconds until it was complete.

        The status is 0 if no complete answer arrived.
        """
        if self.connection is None or self.connection.closed:
            sock = socket.create_connection((LOOPBACK_HOST, self.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connection = Connection(sock, reads_responses=True)
        started_at = monotonic()
        self.connection.sock.sendall(head)
        while not self.connection.messages:
            if not self.connection.receive(5.0):
                self.connection.close()
                return 0, monotonic() - started_at
        answer = self.connection.messages.pop()
        duration = monotonic() - started_at
        if not answer.keep_alive:
            self.connection.close()
        return answer.status, duration

    def kill(self):
        """Kills the process and its children, if it still runs."""
        try:
            os.killpg(self.process.pid, signal.SIGKILL)
        except ProcessLookupError:
            pass

    def stop(self):
        """Kills the process and waits for its end."""
        self.kill()
        self.process.wait()


class FleetComparison:
    """Agents with the fleet and as many without it, with the same servers.

    As a context manager, it starts all agents and servers and ends them.
    """

    def __init__(self, seed: int):
        self.seed, self.agents, self.request_count, self.servers = seed, [], 0, []
        self.temporary_folder = tempfile.TemporaryDirectory()
        self.folder = self.temporary_folder.name

    def __enter__(self):
        self.previous_handler = signal.signal(signal.SIGTERM, self.on_terminate)
        try:
            self.servers = [Server() for _ in range(6)]
            self.server_list = {
                "rev": 1,
                "all": True,
                "targets": [
                    {
                        "uid": f"s{index}",
                        "endpoint": server.address,
                        "az": "abc"[index % 3],
                        "pod_group": 0,
                        "state": "active",
                        "capacity_hint": 1.0,
                        "boot_ms": 0,
                    }
                    for index, server in enumerate(self.servers)
                ],
            }
            self.discovery = Server(json.dumps(self.server_list).encode())
            self.servers.append(self.discovery)
            seeds = {f"n{number}": f"{LOOPBACK_HOST}:{free_port()}" for number in range(AGENTS_PER_SIDE)}
            self.agents_with_fleet = [Agent(self, number, seeds) for number in range(AGENTS_PER_SIDE)]
            self.agents_without_fleet = [Agent(self, number, {}) for number in range(AGENTS_PER_SIDE)]
            deadline = monotonic() + START_TIMEOUT_S
            for agent in self.agents_with_fleet:
                while agent.send_request(self.request_head("close"))[0] != 200:
                    if monotonic() > deadline:
                        raise InvalidInputError(
                            f"the fleet did not know its sessions within {START_TIMEOUT_S:g} s"
                        )
                    gevent.sleep(0.2)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for endpoint in [*self.agents, *self.servers]:
            endpoint.stop() if isinstance(endpoint, Agent) else endpoint.close()
        self.temporary_folder.cleanup()
        signal.signal(signal.SIGTERM, self.previous_handler)

    def on_terminate(self, *_):
        """Ends the agents and this process on SIGTERM.

        It raises no exception, after which a process of a pool would go on to its next job.
        """
        for agent in self.agents:
            agent.kill()
        self.temporary_folder.cleanup()
        os._exit(1)

    def request_head(self, kind: str) -> bytes:
        """The next request of a kind; "limited" is a read of a tenant that has a limit."""
        self.request_count += 1
        path, method = kind.replace("limited", "read"), "POST" if kind in ("submit", "close") else "GET"
        return (
            f"{method} /{path}/{self.request_count} HTTP/1.1\r\nHost: x\r\n"
            f"X-Request-ID: r{self.request_count}\r\n"
            f"Cookie: sid=c{self.request_count % 50}\r\nX-Timeout: 1900m\r\n"
            + "X-Tenant-ID: shop\r\n" * (kind == "limited")
            + f"Idempotency-Key: k{self.request_count}\r\n" * (kind == "submit")
            + "Content-Length: 0\r\n" * (method == "POST")
            + "\r\n"
        ).encode()

    def measure(self, kind: str, requests: int) -> dict:
        """Sends requests to both sides in random order and returns their latencies in milliseconds.

        The share of completed requests is that of the side with the fleet.
        """
        sides, durations, completed = (
            {"on": self.agents_with_fleet, "off": self.agents_without_fleet},
            {"on": [], "off": []},
            0,
        )
        random = Random(self.seed)
        for turn in range(-requests // 10, requests):  # the requests with negative numbers warm both sides up
            for side in random.sample(("on", "off"), 2):
                status, duration = sides[side][turn % AGENTS_PER_SIDE].send_request(self.request_head(kind))
                if turn >= 0:
                    durations[side].append(duration)
                    completed += side == "on" and status == 200
        row = {}
        for rank in 50, 99:
            latency_ms = {side: percentile(values, rank) for side, values in durations.items()}
            row |= {
                f"off p{rank} ms": latency_ms["off"],
                f"on p{rank} ms": latency_ms["on"],
                f"added p{rank} ms": round(latency_ms["on"] - latency_ms["off"], 3),
            }
        return row | {"lookups": requests, "completed": round(completed / requests, 4)}


def percentile(durations: list[float], rank: float) -> float:
    """A percentile of durations in seconds, in milliseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for duration in durations:
        histogram.record_value(max(1, round(duration * 1e6)))
    return round(histogram.get_value_at_percentile(rank) / 1e3, 3)


def free_port() -> int:
    """A port of the loopback interface that no process listens on."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK_HOST, 0))
        return sock.getsockname()[1]
