"""A fleet of agent processes, with relays between them that can lose, delay and duplicate messages.

Owns the processes, which it ends by id, and the relays. Tests wait for conditions with a long timeout; no
result depends on a sleep.
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

PORT_PATTERN = re.compile(rb"msg=serving .*port=(\d+)")
TIMEOUT_S = 30.0  # a condition that does not hold by then fails the test
IDS = count(1)
FAST_SETTINGS = {
    "lease_s": 0.6,
    "probe_s": 0.1,
    "suspect_s": 0.5,
    "damp_s": 0.5,
    "tick_s": 0.05,
    "wait_s": 0.25,
    "longest_mark_s": 6.0,
    "clock_ahead_s": 0.25,
}
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


def eventually(condition, reason, timeout_s=TIMEOUT_S):
    """Waits until the condition holds and returns its value; fails the test after `timeout_s`."""
    deadline = monotonic() + timeout_s
    while not (value := condition()):
        assert monotonic() < deadline, f"not within {timeout_s} s: {reason}"
        gevent.sleep(0.02)
    return value


class Relay:
    """Receives all messages of peers to one agent, and forwards them; reads each sender from the envelope."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.target = None  # the agent's own address
        self.listener, self.datagrams, self.port = self.bind()
        self.listener.listen(64)
        self.forwarder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.open_sockets = []
        self.tasks = [gevent.spawn(self.forward_datagrams), gevent.spawn(self.accept)]

    @staticmethod
    def bind():
        """Binds a stream socket and a datagram socket to one port; returns both and the port."""
        while True:
            listener = socket.socket()
            listener.bind(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                datagrams.bind(("127.0.0.1", port))
                return listener, datagrams, port
            except OSError:
                listener.close()
                datagrams.close()

    def draw_delays(self, signed) -> list[float]:
        """The delays in seconds after which a copy of the message is forwarded; none if it is lost."""
        fleet, random = self.fleet, self.fleet.random
        sender = msgspec.msgpack.decode(signed[1 + codec.MAC_BYTES :])[1]
        if (sender, self.name) in fleet.blocked_links or random.random() < fleet.loss_probability:
            return []
        copies = 1 + (random.random() < fleet.duplicate_probability)
        return [random.random() * fleet.max_delay_s for _ in range(copies)]

    def forward_datagrams(self):
        while True:
            signed = self.datagrams.recv(65536)
            for delay in self.draw_delays(signed) if self.target else ():
                gevent.spawn_later(delay, self.forwarder.sendto, signed, self.target)

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.open_sockets.append(sock)
            gevent.spawn(self.forward_stream, sock)

    def forward_stream(self, sock):
        frames, upstream = codec.FrameReader(), None
        try:
            upstream = socket.create_connection(self.target)
            self.open_sockets.append(upstream)
            while received := sock.recv(65536):
                for signed in frames.feed(received):
                    for delay in self.draw_delays(signed):
                        gevent.sleep(delay)
                        upstream.sendall(codec.frame_message(signed))
        except (OSError, TypeError):
            pass
        finally:
            sock.close()
            if upstream:
                upstream.close()

    def stop(self):
        gevent.killall(self.tasks)
        for sock in [self.listener, self.datagrams, self.forwarder, *self.open_sockets]:
            sock.close()


class Agent:
    """An agent process, and the relay in front of it."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.relay = Relay(fleet, name)
        self.process = None
        self.log = []  # the lines that the process has logged
        self.port = 0  # for clients; 0 while the agent does not serve
        self.tree = Path(__file__).parents[1]  # the source tree that it is started from

    def start(self, **changes):
        fleet_port = self.fleet.free_port()
        configuration_file = self.fleet.folder / f"{self.name}.json"
        configuration_file.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": "127.0.0.1:0",
                    "discovery": self.fleet.discovery.address,
                    "seed": f"{next(IDS):x}",
                    "known": {"rev": 1, "all": True, "targets": list(self.fleet.discovery.entries.values())},
                    "settings": {
                        "areas": ["a", "b", "c"],
                        "az": "abc".index(self.zone),
                        "discovery": "on_request",
                        "groupSize": 3,
                        "workloads": REQUEST_CLASSES,
                        "tenants": [{"name": "shop", "quotaPerS": 20}],
                        "caps": {"maxShots": 3, "retryAfter": True, "maxRetryAfterUs": 2000000},
                        "rules": {"askEveryUs": 10000000},
                    },
                }
            )
        )
        operator_file = self.fleet.folder / f"{self.name}.toml"
        operator_file.write_text(self.fleet.operator_file(self, fleet_port, **changes))
        self.relay.target = ("127.0.0.1", fleet_port)
        self.log = []
        self.port = 0
        command = [sys.executable, "-B", "-m", "cartdeal", "serve"]
        self.process = subprocess.Popen(
            command,
            cwd=self.tree,
            stderr=subprocess.PIPE,
            start_new_session=True,
            env={
                "PROXY_CONFIG": str(configuration_file),
                "PROXY_FLEET": str(operator_file),
                "PATH": os.environ["PATH"],
            },
        )
        gevent.spawn(self.read_log, self.process)
        return self

    def read_log(self, process):
        for line in FileObject(process.stderr, "rb"):
            self.log.append(line.decode(errors="replace").rstrip())
            if found := PORT_PATTERN.search(line):
                self.port = int(found[1])

    def log_lines(self, *parts) -> list[str]:
        """The log lines that contain all of these parts."""
        return [line for line in self.log if all(part in line for part in parts)]

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


class ProcessFleet:
    """Agents of one fleet, one in each zone, with toy servers behind them.

    `blocked_links`: pairs of sender and receiver between which all messages are lost.
    """

    def __init__(self, folder, agents=3, limits="", **settings):
        self.folder = folder
        self.random = Random(7)
        self.settings = FAST_SETTINGS | settings
        self.limits = limits
        self.blocked_links = set()
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.max_delay_s = 0.0
        self.assigned_ports = set()
        self.discovery = DiscoveryService()
        self.servers = [Server(f"s{zone}") for zone in "abc"]
        for server, zone in zip(self.servers, "abc", strict=True):
            self.discovery.entries[server.name] = server.list_entry(az=zone)
        self.agents = [Agent(self, f"n{number}", "abc"[number % 3]) for number in range(agents)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for agent in self.agents:
            print(f"--- {agent.name}", *agent.log[-40:], sep="\n")  # pytest shows it if the test fails
        for agent in self.agents:
            agent.stop()
        for service in [self.discovery, *self.servers]:
            service.stop()

    def free_port(self) -> int:
        """Returns a port that is free now and that no agent of this fleet was given before.

        An agent binds its port only once its process has started, so a free port may be given to an agent
        already.
        """
        while True:
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            if port not in self.assigned_ports:
                self.assigned_ports.add(port)
                return port

    def operator_file(self, agent, port, **changes) -> str:
        settings = (
            dict(
                fleet="tests",
                name=agent.name,
                listen=f"127.0.0.1:{port}",
                key="k" * 32,
                address=f"127.0.0.1:{agent.relay.port}",
                zone=agent.zone,
                **self.settings,
            )
            | changes
        )
        seeds = {seed.name: f"127.0.0.1:{seed.relay.port}" for seed in self.agents[:3]}
        return "\n".join(
            [
                *(f"{key} = {json.dumps(value)}" for key, value in settings.items()),
                "[seeds]",
                *(f'{name} = "{address}"' for name, address in seeds.items()),
                self.limits,
            ]
        )

    def start(self):
        for agent in self.agents:
            agent.start()
        eventually(lambda: all(agent.port for agent in self.agents), "agents serve")
        eventually(lambda: self.common_epoch() > 0, "one ring")
        return self

    def common_epoch(self, agents=None) -> int:
        """The epoch that all agents have; 0 while they differ."""
        epochs = set()
        for agent in agents or self.agents:
            rings = agent.log_lines("ring", "epoch=")
            epochs.add(int(re.search(r"epoch=(\d+)", rings[-1])[1]) if rings else 0)
        return epochs.pop() if len(epochs) == 1 else 0

    def request(
        self, agent, path, session="one", key="", tenant="", method="POST", retried=False, timeout_s=3.0
    ):
        """Sends one request; returns status, body and headers, with status 0 if there is no answer."""
        sock = socket.create_connection(("127.0.0.1", agent.port))
        connection = Connection(sock, reads_responses=True)
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
            connection.write("\r\n".join([*head, "", ""]).encode())
            deadline = monotonic() + timeout_s
            while not connection.messages and connection.receive(max(0.01, deadline - monotonic())):
                pass
            message = connection.messages[0] if connection.messages else None
            return (message.status, message.body, message.headers) if message else (0, b"", {})
        except OSError:
            return 0, b"", {}
        finally:
            connection.close()

    def executions(self, path) -> int:
        """How many requests for this path the servers have received."""
        return sum(
            message.path.decode() == path for server in self.servers for message in server.received_requests
        )
