"""Test hosts: one that traces the balancer's decisions, and a deployment of an agent with toy servers.

The traces are compared with the files in tests/traces. With TRACES=write in the environment they are written.
"""

import json
import os
from bisect import insort
from itertools import count
from pathlib import Path

import gevent
from gevent import socket

from cartdeal.agent import configuration
from cartdeal.agent.effects import Effects
from cartdeal.balancer import Balancer
from cartdeal.balancer_types import (
    BalancerSettings,
    DeduplicationScope,
    Idempotency,
    ListedServer,
    Outcome,
    RequestClass,
    ServerState,
)
from cartdeal.rig.soak.clients import ClientConnection as Client
from examples.toy import DiscoveryService, Server

TRACES = Path(__file__).parent / "traces"
READ = RequestClass(Idempotency.IDEMPOTENT, DeduplicationScope.CELL, 5.0, 1.0, 1.0)
ONCE = READ._replace(idempotency=Idempotency.NON_IDEMPOTENT, priority=3.0)
MARKED = READ._replace(
    idempotency=Idempotency.DEDUPLICATED,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window=2.0,
)
MARKED_ALL = MARKED._replace(deduplication_scope=DeduplicationScope.ALL)
IDS = count(1)  # request ids


class TracingHost:
    """A balancer's host that traces each decision as a line of text. Its clock starts at 100 s."""

    def __init__(self, servers="a0 b0 c1 d1", seed=7, number=0, **settings):
        defaults = dict(
            seed=seed,
            agent_number=number,
            agent_count=2,
            zone_count=2,
            own_zone=0,
            tenants=(),
            overage_priority_factor=1.0,
            request_classes=(READ, ONCE, MARKED, MARKED_ALL),
            cross_zone_fee=0.1,
            probe_fee=0.0,
            max_attempts=5,
            may_cancel=True,
            may_probe=True,
            max_retry_after=0.0,
            polls_discovery=False,
            poll_interval=10.0,
            slow_start_initial_share=0.2,
            slow_start_duration=10.0,
            overload_window=2.0,
            overload_factor=1.0,
            is_pool_member=False,
            has_live_weights=False,
            worst_class_weight=0.0,
        )
        # The trace, the times of the timers, whether the trace is paused, and the attempts by request.
        self.now, self.lines, self.due_timers, self.is_trace_paused, self.attempts = 100.0, [], [], False, {}
        # The number of timers set, the probes without a response, and whether probes are answered at once.
        self.timer_count, self.pending_probes, self.answers_probes = 0, [], True
        self.balancer = Balancer(self, BalancerSettings(**defaults | settings))
        self.names = {}
        self.update_list(servers)

    def update_list(self, servers, state=ServerState.READY, started=0.0, is_complete=True, weight=1.0):
        """Applies a server list. A server is written as a letter for its name and a digit for its zone."""
        lines = [
            ListedServer(ord(name), name.encode(), int(zone), 0, 0, state, weight, started)
            for name, zone in servers.split()
        ]
        self.balancer.on_server_list(lines, is_complete)

    def trace(self, text):
        """Adds a line with the time to the trace."""
        if not self.is_trace_paused:
            self.lines.append(f"{self.now - 100:6.2f}  {text}")

    def send_attempt(self, request, server, deadline):
        attempt = self.attempts[request][1] + 1 if request in self.attempts else 0
        self.attempts[request] = (server, attempt, self.now)
        self.trace(f"send {request} at {chr(server)}")

    def reject(self, request, retry_after):
        self.trace(f"reject {request}")

    def fail(self, request):
        self.trace(f"terminate {request}")

    def cancel(self, request, attempt):
        self.trace(f"cancel attempt {attempt} of {request}")

    def probe(self, server):
        if self.balancer.servers[server].is_circuit_closed and self.answers_probes:
            self.pending_probes.append(server)
        else:
            self.trace(f"probe {chr(server)}")

    def answer_probes(self):
        """Answers the pending probes."""
        while self.pending_probes:
            self.balancer.on_probe_ended(self.pending_probes.pop(), Outcome.COMPLETED, 0.001, None)

    def watch(self):
        self.trace("watch")

    def set_timer(self, token, delay):
        self.timer_count += 1
        insort(self.due_timers, self.now + delay)

    def wait(self, duration):
        """Advances the clock and fires the timers that become due."""
        end = self.now + duration
        while self.due_timers and self.due_timers[0] <= end:
            self.now = self.due_timers.pop(0)
            self.balancer.on_timer(0)
            self.answer_probes()
        self.now = end

    def submit(self, request, request_class=0, key=0, timeout=2.0, is_retry=False):
        """Submits a request; returns the server of its attempt, or nothing if none was sent."""
        self.balancer.on_request(request, request_class, 0, key or request, self.now + timeout, is_retry)
        self.answer_probes()
        return chr(self.attempts[request][0]) if request in self.attempts else ""

    def end_attempt(self, request, outcome=Outcome.COMPLETED, load=None):
        """Ends the request's latest attempt."""
        server, attempt, sent = self.attempts[request]
        finished = outcome is Outcome.COMPLETED
        self.balancer.on_attempt_ended(request, server, outcome, attempt, self.now - sent, finished, load)
        self.answer_probes()

    def serve(self, requests, outcomes=None, duration=0.05):
        """Serves requests one after the other; `outcomes` has the attempts' outcome by server."""
        for request in requests:
            self.submit(request)
            self.wait(duration)
            while request in self.balancer.requests:
                if request in self.balancer.queued_requests:
                    self.wait(duration)
                    continue
                self.end_attempt(
                    request, (outcomes or {}).get(chr(self.attempts[request][0]), Outcome.COMPLETED)
                )

    def assert_matches_trace(self, name):
        """Compares the trace with its file."""
        assert_matches_trace(name, self.lines)


def assert_matches_trace(name, lines):
    """Compares the lines with a trace file, or writes them to it if TRACES=write."""
    file, trace = TRACES / f"{name}.txt", "\n".join(lines) + "\n"
    if os.environ.get("TRACES") == "write":
        file.write_text(trace)
    assert trace == file.read_text()


# An agent with toy servers and a toy discovery service.

SETTINGS = {
    "areas": ["a", "b"],
    "az": 0,
    "myNumber": 0,
    "groupSize": 2,
    "discovery": "on_request",
    "caps": {
        "maxShots": 3,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 2000000,
        "peers": True,
        "connectTimeoutUs": 250000,
        "idleCloseUs": 30000000,
    },
    "rules": {"askEveryUs": 10000000, "coldFrom": 0.2, "coldUs": 10000000, "fallUs": 2000000},
    "workloads": [
        {"name": "read", "idempotency": "safe", "goalTimeUs": 1000000, "timeLimitUs": 2000000},
        {
            "name": "mark",
            "idempotency": "keyed",
            "group": "all",
            "repeatWindowUs": 4000000,
            "goalTimeUs": 1000000,
            "timeLimitUs": 2000000,
        },
        {"name": "once", "idempotency": "unsafe", "goalTimeUs": 1000000, "timeLimitUs": 2000000},
    ],
}


def config_file(**more):
    """An agent's configuration; `more` replaces top-level keys."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "7",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
    } | more


def agent_config(folder, **more):
    """Writes an agent's configuration to the folder and reads it back."""
    file = folder / "config.json"
    file.write_text(json.dumps(config_file(**more)))
    return configuration.read({"PROXY_CONFIG": str(file)})


class Deployment:
    """Toy servers, a toy discovery service and an agent in one process; `ask` sends a request."""

    def __init__(self, folder, servers=1, fleet=None, **more):
        self.servers = [Server(f"s{index}") for index in range(servers)]
        self.service = DiscoveryService()
        self.service.entries = {server.name: server.list_entry() for server in self.servers}
        known = {"rev": 1, "all": True, "targets": list(self.service.entries.values())}
        self.config = config_file(discovery=self.service.address, known=known) | more
        self.agent = Effects(agent_config(folder, **self.config), fleet)
        self.agent.start()

    def connect(self):
        """Opens a client connection to the agent."""
        return Client(socket.create_connection(("127.0.0.1", self.agent.front.port)), reads_responses=True)

    def ask(self, path="/read/x", method="GET", body=b"", connection=None, **headers):
        """Sends a request and returns the status and body of its answer."""
        connection = connection or self.connect()
        connection.sock.sendall(encode_request(path, method, body, **headers))
        return read_answer(connection)

    def received_paths(self):
        """The paths of the requests that the servers received."""
        return [message.path.decode() for server in self.servers for message in server.received_requests]

    def stop(self):
        """Stops the agent, the servers and the discovery service."""
        gevent.killall(self.agent.background_tasks)
        if self.agent.admission:
            self.agent.admission.stop()
        self.agent.front.stop_accepting()
        self.agent.front.close(0.0)
        for each in (*self.servers, self.service):
            each.stop()


def encode_request(path="/read/x", method="GET", body=b"", **headers):
    """The bytes of a request; a header of None is left out, and `_` in its name stands for `-`."""
    fields = {"X-Request-ID": str(next(IDS)), "Content-Length": str(len(body))}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value is not None)
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def read_answer(connection):
    """Waits for an answer; returns its status and body, or None if the connection ends."""
    while not connection.messages:
        if not connection.receive(5.0):
            return None
    message = connection.messages.pop(0)
    return message.status, message.body


def until(condition):
    """Waits until the condition is true."""
    while not condition():
        gevent.sleep(0.002)
