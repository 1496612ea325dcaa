"""A host that prints what an agent decides, for comparison with the traces kept beside the tests."""

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
from cartdeal.rig.soak.clients import ClientSide as Client
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
IDS = count(1)  # every request has an id of its own


class Scene:
    def __init__(self, servers="a0 b0 c1 d1", seed=7, number=0, **terms):
        base = dict(
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
        self.now, self.lines, self.due, self.quiet, self.attempts = 100.0, [], [], False, {}
        self.timers, self.asked, self.prompt = 0, [], True
        self.balancer = Balancer(self, BalancerSettings(**base | terms))
        self.names = {}
        self.list(servers)

    def list(self, servers, state=ServerState.READY, started=0.0, whole=True, weight=1.0):
        """Servers are written as a letter for the name and a digit for the zone."""
        lines = [
            ListedServer(ord(name), name.encode(), int(zone), 0, 0, state, weight, started)
            for name, zone in servers.split()
        ]
        self.balancer.on_server_list(lines, whole)

    def say(self, text):
        if not self.quiet:
            self.lines.append(f"{self.now - 100:6.2f}  {text}")

    def send_attempt(self, request, server, until):
        attempt = self.attempts[request][1] + 1 if request in self.attempts else 0
        self.attempts[request] = (server, attempt, self.now)
        self.say(f"send {request} at {chr(server)}")

    def reject(self, request, wait):
        self.say(f"reject {request}")

    def fail(self, request):
        self.say(f"terminate {request}")

    def cancel(self, request, attempt):
        self.say(f"cancel attempt {attempt} of {request}")

    def probe(self, server):
        if self.balancer.servers[server].is_circuit_closed and self.prompt:
            self.asked.append(server)
        else:
            self.say(f"probe {chr(server)}")

    def answer(self):
        """Servers that are asked before an attempt answer at once, unless a scene makes them slow."""
        while self.asked:
            self.balancer.on_probe_ended(self.asked.pop(), Outcome.COMPLETED, 0.001, None)

    def watch(self):
        self.say("watch")

    def set_timer(self, token, delay):
        self.timers += 1
        insort(self.due, self.now + delay)

    def wait(self, time):
        end = self.now + time
        while self.due and self.due[0] <= end:
            self.now = self.due.pop(0)
            self.balancer.on_timer(0)
            self.answer()
        self.now = end

    def take(self, request, request_class=0, key=0, limit=2.0, repeat=False):
        self.balancer.on_request(request, request_class, 0, key or request, self.now + limit, repeat)
        self.answer()
        return chr(self.attempts[request][0]) if request in self.attempts else ""

    def end(self, request, outcome=Outcome.COMPLETED, load=None):
        server, attempt, sent = self.attempts[request]
        finished = outcome is Outcome.COMPLETED
        self.balancer.on_attempt_ended(request, server, outcome, attempt, self.now - sent, finished, load)
        self.answer()

    def serve(self, requests, outcomes=None, took=0.05):
        """Plays requests one after the other; servers named in `outcomes` end their attempts so."""
        for request in requests:
            self.take(request)
            self.wait(took)
            while request in self.balancer.requests:
                if request in self.balancer.queued_requests:
                    self.wait(took)
                    continue
                self.end(request, (outcomes or {}).get(chr(self.attempts[request][0]), Outcome.COMPLETED))

    def kept(self, name):
        kept(name, self.lines)


def kept(name, lines):
    file, trace = TRACES / f"{name}.txt", "\n".join(lines) + "\n"
    if os.environ.get("TRACES") == "write":
        file.write_text(trace)
    assert trace == file.read_text()


# The agent: stations to start it at, and a deployment of toys round it.

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
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "7",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
    } | more


def agent_config(folder, **more):
    file = folder / "config.json"
    file.write_text(json.dumps(config_file(**more)))
    return configuration.read({"PROXY_CONFIG": str(file)})


class Deployment:
    """Toy servers, a toy discovery service and an agent in one process; requests go in by `ask`."""

    def __init__(self, folder, servers=1, fleet=None, **more):
        self.servers = [Server(f"s{place}") for place in range(servers)]
        self.service = DiscoveryService()
        self.service.lines = {server.name: server.line() for server in self.servers}
        known = {"rev": 1, "all": True, "targets": list(self.service.lines.values())}
        self.config = config_file(discovery=self.service.address, known=known) | more
        self.agent = Effects(agent_config(folder, **self.config), fleet)
        self.agent.start()

    def connect(self):
        return Client(socket.create_connection(("127.0.0.1", self.agent.front.port)), answers=True)

    def ask(self, path="/read/x", method="GET", body=b"", connection=None, **headers):
        """One request from first byte to last; gives the answer's status and body."""
        connection = connection or self.connect()
        connection.sock.sendall(worded(path, method, body, **headers))
        return answered(connection)

    def seen(self):
        return [message.path.decode() for server in self.servers for message in server.seen]

    def stop(self):
        gevent.killall(self.agent.background_tasks)
        if self.agent.admission:
            self.agent.admission.stop()
        self.agent.front.stop_accepting()
        self.agent.front.close(0.0)
        for each in (*self.servers, self.service):
            each.stop()


def worded(path="/read/x", method="GET", body=b"", **headers):
    named = {"X-Request-ID": str(next(IDS)), "Content-Length": str(len(body))}
    named |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in named.items() if value is not None)
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def answered(connection):
    while not connection.messages:
        if not connection.receive(5.0):
            return None
    message = connection.messages.pop(0)
    return message.status, message.body


def until(true):
    while not true():
        gevent.sleep(0.002)
