"""Plays a world on sockets: stand-ins, open-loop clients, and real agents started by the deploy file's `run`.

Latency counts from when a request was due, so an agent that stalls can't hide. Every process that is started
is bounded in number and time and ended by its id, however the rig ends. It must never touch an address off
the loopback.
"""

import json
import os
import re
import signal
import tempfile
import tomllib
from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from pathlib import Path
from time import monotonic, time

import gevent
from gevent import socket, subprocess

from cartdeal.agent.connection import Connection, MalformedMessageError
from cartdeal.emulator.rule_checker import RuleChecker
from cartdeal.emulator.world import InvalidInputError, World, agent_settings
from cartdeal.rig.stands import HOST, DiscoveryService, Server
from cartdeal.simulated_time import seeded_random

MOST_AGENTS = 1024
MOST_SECONDS = 300.0
LIVES = 16  # starts of one agent whose seeds are all different
STARTED_AT_ONCE = 64  # more would wait for a processor for longer than READY
READY = 20.0  # how long an agent may take to serve
RESTART = 1.0  # how long a killed agent is away
TAIL = 1.0  # after the longest deadline, when all must be answered
COUNTED = "shots", "crossings", "probes", "list calls", "late clients", "faults logged"
UNPLAYABLE = ("zone_cut",)  # loopback has no zones to cut
PORT = re.compile(rb"msg=serving .*\bport=(\d+)")
ANSWERS = 200, 502, 503
METHODS = {"safe": "GET"}


def command(deploy) -> str:
    try:
        return tomllib.loads(Path(deploy).read_text())["run"]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as trouble:
        raise InvalidInputError(
            f"{deploy}: run: found none ({trouble!r}), wanted the command of an agent"
        ) from None


def check(world: World):
    for place, fault in enumerate(world.fault):
        if fault.kind in UNPLAYABLE:
            raise InvalidInputError(
                f"fault[{place}].kind: found {fault.kind!r}, wanted one that loopback can play"
            )
    for key, found, most in (("agents", world.agents, MOST_AGENTS), ("seconds", world.seconds, MOST_SECONDS)):
        if found > most:
            raise InvalidInputError(f"{key}: found {found!r}, wanted {most} at most on sockets")


def agent_seed(seed: int, number: int, life: int) -> int:
    """A seed of its own for each agent of each play and each of its first starts."""
    return (seed * MOST_AGENTS + number) * LIVES + life


class Agent:
    """One real agent: its process, its port, and the connections of the application beside it."""

    def __init__(self, rig, number, zone):
        self.rig, self.number, self.zone = rig, number, zone
        self.process, self.port, self.idle, self.life = None, 0, [], 0

    def start(self):
        rig = self.rig
        self.life += 1
        known = {"rev": rig.list.version, "all": True, "targets": list(rig.list.lines.values())}
        file = Path(rig.folder, f"{self.number}.json")
        file.write_text(
            json.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": f"{HOST}:0",
                    "discovery": rig.list.address,
                    "seed": f"{agent_seed(rig.seed, self.number, self.life):x}",
                    "known": known,
                    "limits": {"memory_mb": 192, "sockets": 1024},
                    "settings": agent_settings(rig.world, self.number, self.zone),
                }
            )
        )
        # A group of its own: a shell that starts more than one process must leave none behind.
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", rig.run],
            stderr=subprocess.PIPE,
            start_new_session=True,
            env={"PROXY_CONFIG": str(file), "PATH": "/usr/bin:/bin"},
        )
        with gevent.Timeout(READY):
            while not (found := PORT.search(line := self.process.stderr.readline())):
                if not line:
                    raise InvalidInputError(
                        f"run: found {rig.run!r}, which ended with status {self.process.wait()}"
                    )
        self.port = int(found[1])
        gevent.spawn(self.drain, self.process.stderr)

    def drain(self, log):
        for line in log:
            self.rig.count["log lines"] += 1
            self.rig.count["faults logged"] += b"level=ERROR" in line

    def kill(self):
        self.rig.rule_checker.on_agent_killed(self.number)
        self.port = 0
        self.stop()
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def stop(self):
        if self.process:
            try:
                os.killpg(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            self.process.wait()


class Rig:
    def __init__(self, world: World, seed: int, run: str):
        check(world)
        self.world, self.seed, self.run = world, seed, run
        self.began, self.offset = monotonic(), time()
        self.rule_checker, self.count = RuleChecker(world), Counter()
        self.offered = self.served = 0.0
        self.rush, self.hot, self.latencies, self.named, self.requests = 1.0, 0.0, [], 0, 0
        self.request_classes = list(accumulate(each.share for each in world.request_class))
        self.popular = list(
            accumulate((1 + place) ** -world.clients.popularity for place in range(world.clients.keys))
        )
        self.kinds = {each.name: each for each in world.request_class}
        self.asked_by = {}  # request -> agent
        self.servers, self.agents = {}, []

    @property
    def now(self) -> float:
        return monotonic() - self.began

    def wall(self, at) -> float:
        return self.offset + at

    def play(self):
        with tempfile.TemporaryDirectory() as self.folder:
            self.list = DiscoveryService(self)
            try:
                for zone in range(len(self.world.zones)):
                    for _ in range(self.world.servers.per_zone):
                        self.add(zone)
                for number in range(self.world.agents):
                    self.agents.append(Agent(self, number, number % len(self.world.zones)))
                self.start_agents()
                self.day()
            finally:
                for agent in self.agents:
                    agent.stop()
                for each in (*self.servers.values(), self.list):
                    each.close()
        return self

    def start_agents(self):
        for first in range(0, len(self.agents), STARTED_AT_ONCE):
            several = self.agents[first : first + STARTED_AT_ONCE]
            gevent.joinall([gevent.spawn(agent.start) for agent in several], raise_error=True)

    def day(self):
        self.began, self.offset = monotonic(), time()
        works = []
        for agent in self.agents:
            random = seeded_random(self.seed, f"client {agent.number}")
            rate = self.world.clients.per_s / len(self.agents)
            works.append(gevent.spawn(self.arrive, agent, random, rate))
        for place, fault in enumerate(self.world.fault):
            works.append(gevent.spawn_later(fault.begins_s, self.begin, fault, place))
        longest = max(each.limit_s for each in self.world.request_class)
        gevent.sleep(self.world.seconds + longest + TAIL)
        gevent.killall(works)
        self.rule_checker.check_unanswered(self.now)

    # Servers

    def add(self, zone, started=0.0):
        server = Server(self, f"s{self.named}", zone, started)
        self.named += 1
        self.servers[server.name] = server
        if started:
            self.list.change(server.line())
        else:
            self.list.lines[server.name] = server.line()

    def work(self, kind, random) -> float:
        terms = self.kinds[kind]
        return terms.work_s * (random.expovariate(1.0) if terms.spread == "exponential" else 1.0)

    def attempt_came(self, request, attempt, server):
        self.count["shots"] += 1
        agent = self.asked_by.get(request)
        case = self.rule_checker.requests.get(request)
        if case:
            # Whether an earlier one is still out is known to the agent alone: its close takes a while.
            for each in case.attempts.values():
                each[4] = False
            self.count["crossings"] += agent.zone != server.zone
        self.rule_checker.on_attempt_sent(
            self.now,
            agent.number if agent else None,
            request,
            attempt,
            server.name,
            self.world.zones[server.zone],
        )

    def told(self, line):
        for agent in self.agents:
            if not self.list.down:
                self.rule_checker.on_server_state_received(
                    self.now, agent.number, line["uid"], line["state"] == "active"
                )
        self.rule_checker.on_server_list_changed(self.now, line["uid"], line["state"] == "active")

    # Clients

    def arrive(self, agent, random, rate):
        due = 0.0
        while (due := due + random.expovariate(rate * self.rush)) < self.world.seconds:
            gevent.sleep(max(0.0, due - self.now))
            which = bisect_left(self.request_classes, random.random() * self.request_classes[-1])
            kind = self.world.request_class[which]
            hot, place = random.random() < self.hot, random.random() * self.popular[-1]
            key = 0 if hot else bisect_left(self.popular, place)
            if agent.port:
                self.offered += kind.priority
                gevent.spawn(self.ask, agent, kind, key, due)

    def ask(self, agent, kind, key, due):
        self.requests += 1
        request, life, late = f"r{self.requests}", agent.life, self.now - due
        head = (
            f"{METHODS.get(kind.repeat, 'POST')} /{kind.name}/{key} HTTP/1.1\r\n"
            f"X-Request-ID: {request}\r\nCookie: sid={key}\r\n"
            f"X-Timeout: {kind.limit_s * 1e3:.0f}m\r\nContent-Length: 0\r\n"
            + f"Idempotency-Key: {request}\r\n" * (kind.repeat == "keyed")
            + "\r\n"
        )
        self.asked_by[request] = agent
        self.rule_checker.on_request_accepted(
            self.now, agent.number, request, kind.name, self.now + kind.limit_s
        )
        connection, message = self.kept(agent), None
        if connection:
            message = self.exchange(connection, head, kind)
        if not message and agent.port and life == agent.life:
            # An agent may close between requests, which may cross one: that is sent once more, on a new one.
            self.count["sent again"] += bool(connection)
            try:
                connection = self.connect(agent)
            except OSError:
                return
            message = self.exchange(connection, head, kind)
        if not message:
            return  # unanswered: the judge says so, unless the agent was killed
        self.rule_checker.on_answer(self.now, request, message.status)
        self.count[message.status] += 1
        if message.status not in ANSWERS:  # 409: it had read the request when it closed, and so had taken it
            self.rule_checker.add_violation(
                1, self.now, request, f"answered {message.status}, which is no answer to it"
            )
        if message.status == 200:
            if message.body != b"done " + request.encode():
                self.rule_checker.add_violation(
                    1, self.now, request, f"no server made this answer for it: {message.body!r}"
                )
            took = self.now - due
            self.latencies.append(took)
            self.served += kind.priority * (took <= kind.goal_s)
        self.count["late clients"] += late > 0.05
        if message.keep_alive and agent.port and life == agent.life:
            agent.idle.append(connection)
        else:
            connection.close()

    def kept(self, agent):
        while agent.idle:
            connection = agent.idle.pop()
            if not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def exchange(self, connection, head, kind):
        """The answer; nothing if the connection ended without a byte of one."""
        try:
            connection.sock.sendall(head.encode())
            while not connection.messages:
                if not connection.receive(kind.limit_s + TAIL):
                    connection.close()
                    return None
            return connection.messages.pop()
        except (OSError, MalformedMessageError):
            connection.close()
            return None

    def connect(self, agent):
        sock = socket.create_connection((HOST, agent.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Connection(sock, reads_responses=True)

    # Faults

    def begin(self, fault, place):
        random, kind, size = seeded_random(self.seed, f"fault {place}"), fault.kind, fault.size
        zone = self.world.zones.index(fault.zone) if fault.zone else None
        here = (
            self.agents
            if kind == "kill"
            else [each for each in self.servers.values() if not each.draining and zone in (None, each.zone)]
        )
        met = random.sample(here, min(len(here), max(1, round(fault.part * len(here)))))
        if kind == "kill":
            for agent in met:
                agent.kill()
                gevent.spawn_later(RESTART, agent.start)
        elif kind == "replace":
            for turn, server in enumerate(met):
                gevent.spawn_later(turn * fault.lasts_s / len(met), self.replace, server)
        else:
            ends = [self.meet(kind, size, fault.request_class, each) for each in self.whole(kind) or met]
            gevent.sleep(fault.lasts_s)
            for end in ends:
                end()

    def whole(self, kind):
        """Whom such a fault meets that is no single server's."""
        return {"list_down": [self.list], "list_late": [self.list], "jump": [self], "hot_key": [self]}.get(
            kind
        )

    def meet(self, kind, size, request_class, it):
        if kind == "crash":
            it.die()
            return lambda: (it.rise(), self.list.change(it.line()))
        if kind == "list_down":
            it.go_down()
            return lambda: setattr(it, "down", False)
        name, value = {
            "silent": ("silent", True),
            "one_workload": ("spoilt", {request_class: size}),
            "list_late": ("later", size),
            "jump": ("rush", size),
            "hot_key": ("hot", size),
        }.get(kind, (kind, size))
        before = getattr(it, name)
        setattr(it, name, value)
        return lambda: setattr(it, name, before)

    def replace(self, server):
        server.draining = True
        self.list.change(server.line("leaving"))
        self.add(server.zone, self.now)
        gevent.sleep(self.world.list.late_s + 2.0)
        server.die()
        self.list.change(server.line("left"))

    def figures(self) -> dict:
        return {
            "lookups": self.requests,
            "completed": self.count[200],
            "turned back": self.count[503],
            "terminated": self.count[502],
            "served": round(self.served / max(self.offered, 1e-9), 4),
            **{each: self.count[each] for each in COUNTED},
            "lost with killed agents": self.rule_checker.excused_count,
            "violations": len(self.rule_checker.violations),
        }
