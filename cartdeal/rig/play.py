"""Plays a world on sockets, with fake servers, open-loop clients and real agents.

The command `run` of the deploy file starts an agent.

Latency counts from the time at which a request was due, so that an agent that stalls can't hide it. The
number and the running time of all processes are bounded, and each is ended by its id however the rig ends.
The rig must never touch an address off the loopback.
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

from cartdeal.agent.connection import Connection
from cartdeal.agent.message import MalformedMessageError
from cartdeal.emulator.rule_checker import RuleChecker
from cartdeal.emulator.world import InvalidInputError, World, agent_settings
from cartdeal.rig.fake_servers import LOOPBACK_HOST, DiscoveryService, Server
from cartdeal.simulated_time import seeded_random

MAX_AGENTS = 1024
MAX_DURATION_S = 300.0
MAX_STARTS_PER_AGENT = 16  # the seeds of this many starts of an agent differ
MAX_CONCURRENT_STARTS = 64  # more would wait for a processor for longer than AGENT_START_TIMEOUT_S
AGENT_START_TIMEOUT_S = 20.0  # until it serves
RESTART_DELAY_S = 1.0  # from the kill of an agent to its next start
LATE_ANSWER_WAIT_S = 1.0  # after the longest timeout; every request has to be answered by then
REPORTED_COUNTERS = "shots", "crossings", "probes", "list calls", "late clients", "faults logged"
UNPLAYABLE_FAULTS = ("zone_cut",)  # loopback addresses have no zones to isolate
SERVING_PORT_PATTERN = re.compile(rb"msg=serving .*\bport=(\d+)")
EXPECTED_STATUSES = 200, 502, 503
HTTP_METHODS = {"safe": "GET"}


def read_agent_command(deploy) -> str:
    """Reads the command that starts an agent from the deploy file; raises InvalidInputError."""
    try:
        return tomllib.loads(Path(deploy).read_text())["run"]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
        raise InvalidInputError(
            f"{deploy}: run: found none ({error!r}), wanted the command of an agent"
        ) from None


def check_world(world: World):
    """Raises InvalidInputError if the rig can't play the world."""
    for index, fault in enumerate(world.fault):
        if fault.kind in UNPLAYABLE_FAULTS:
            raise InvalidInputError(
                f"fault[{index}].kind: found {fault.kind!r}, wanted a fault that can be played on loopback"
            )
    for key, found, maximum in (
        ("agents", world.agents, MAX_AGENTS),
        ("seconds", world.seconds, MAX_DURATION_S),
    ):
        if found > maximum:
            raise InvalidInputError(f"{key}: found {found!r}, wanted {maximum} at most on sockets")


def agent_seed(seed: int, number: int, start_count: int) -> int:
    """A seed that differs between plays, agents, and the first starts of an agent."""
    return (seed * MAX_AGENTS + number) * MAX_STARTS_PER_AGENT + start_count


class Agent:
    """A real agent: its process, its port, and the connections of the clients beside it."""

    def __init__(self, rig, number, zone):
        self.rig, self.number, self.zone = rig, number, zone
        self.process, self.port, self.idle_connections, self.start_count = None, 0, [], 0

    def start(self):
        """Writes the agent's configuration, starts its process and waits until it serves."""
        rig = self.rig
        self.start_count += 1
        known_list = {
            "rev": rig.discovery.version,
            "all": True,
            "targets": list(rig.discovery.entries.values()),
        }
        configuration_path = Path(rig.folder, f"{self.number}.json")
        configuration_path.write_text(
            json.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": f"{LOOPBACK_HOST}:0",
                    "discovery": rig.discovery.address,
                    "seed": f"{agent_seed(rig.seed, self.number, self.start_count):x}",
                    "known": known_list,
                    "limits": {"memory_mb": 192, "sockets": 1024},
                    "settings": agent_settings(rig.world, self.number, self.zone),
                }
            )
        )
        # The shell leads a process group of its own, so that `stop` ends every process that it starts.
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", rig.run],
            stderr=subprocess.PIPE,
            start_new_session=True,
            env={"PROXY_CONFIG": str(configuration_path), "PATH": "/usr/bin:/bin"},
        )
        with gevent.Timeout(AGENT_START_TIMEOUT_S):
            while not (found := SERVING_PORT_PATTERN.search(line := self.process.stderr.readline())):
                if not line:
                    raise InvalidInputError(
                        f"run: found {rig.run!r}, which ended with status {self.process.wait()}"
                    )
        self.port = int(found[1])
        gevent.spawn(self.read_log, self.process.stderr)

    def read_log(self, log):
        """Counts the lines that the agent logs, and the errors among them."""
        for line in log:
            self.rig.counts["log lines"] += 1
            self.rig.counts["faults logged"] += b"level=ERROR" in line

    def kill(self):
        """Kills the agent as a fault; the rule checker excuses its unanswered requests."""
        self.rig.rule_checker.on_agent_killed(self.number)
        self.port = 0
        self.stop()
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()

    def stop(self):
        """Kills the agent's process group, if it was started."""
        if self.process:
            try:
                os.killpg(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            self.process.wait()


class Rig:
    """One play of a world on sockets; seconds are counted from the start of the traffic."""

    def __init__(self, world: World, seed: int, run: str):
        check_world(world)
        self.world, self.seed, self.run = world, seed, run
        self.started_at, self.wall_offset = monotonic(), time()
        self.rule_checker, self.counts = RuleChecker(world), Counter()
        self.offered_priority = self.served_priority = 0.0
        (
            self.arrival_rate_factor,
            self.hot_key_share,
            self.latencies,
            self.next_server_number,
            self.request_count,
        ) = 1.0, 0.0, [], 0, 0
        self.cumulative_class_shares = list(accumulate(each.share for each in world.request_class))
        self.cumulative_key_weights = list(
            accumulate((1 + index) ** -world.clients.popularity for index in range(world.clients.keys))
        )
        self.request_classes = {each.name: each for each in world.request_class}
        self.agents_by_request = {}  # by request id
        self.servers, self.agents = {}, []

    @property
    def now(self) -> float:
        """Seconds since the traffic started."""
        return monotonic() - self.started_at

    def wall_time(self, at) -> float:
        """Unix time in seconds of a time of the play."""
        return self.wall_offset + at

    def play(self):
        """Starts the servers and agents, plays the world's traffic and faults, and ends all of them."""
        with tempfile.TemporaryDirectory() as self.folder:
            self.discovery = DiscoveryService(self)
            try:
                for zone in range(len(self.world.zones)):
                    for _ in range(self.world.servers.per_zone):
                        self.add_server(zone)
                for number in range(self.world.agents):
                    self.agents.append(Agent(self, number, number % len(self.world.zones)))
                self.start_agents()
                self.run_traffic()
            finally:
                for agent in self.agents:
                    agent.stop()
                for each in (*self.servers.values(), self.discovery):
                    each.close()
        return self

    def start_agents(self):
        """Starts the agents, MAX_CONCURRENT_STARTS at a time."""
        for first_index in range(0, len(self.agents), MAX_CONCURRENT_STARTS):
            batch = self.agents[first_index : first_index + MAX_CONCURRENT_STARTS]
            gevent.joinall([gevent.spawn(agent.start) for agent in batch], raise_error=True)

    def run_traffic(self):
        """Runs the clients and the faults, waits for the last answers and checks for missing ones."""
        self.started_at, self.wall_offset = monotonic(), time()
        greenlets = []
        for agent in self.agents:
            random = seeded_random(self.seed, f"client {agent.number}")
            rate = self.world.clients.per_s / len(self.agents)
            greenlets.append(gevent.spawn(self.send_requests, agent, random, rate))
        for index, fault in enumerate(self.world.fault):
            greenlets.append(gevent.spawn_later(fault.begins_s, self.inject_fault, fault, index))
        max_timeout = max(each.limit_s for each in self.world.request_class)
        gevent.sleep(self.world.seconds + max_timeout + LATE_ANSWER_WAIT_S)
        gevent.killall(greenlets)
        self.rule_checker.check_unanswered(self.now)

    # Servers

    def add_server(self, zone, started=0.0):
        """Starts a server, which is sent to the agents as an update if it has a `started` time."""
        server = Server(self, f"s{self.next_server_number}", zone, started)
        self.next_server_number += 1
        self.servers[server.name] = server
        if started:
            self.discovery.schedule_update(server.list_entry())
        else:
            self.discovery.entries[server.name] = server.list_entry()

    def draw_work(self, class_name, random) -> float:
        """Draws the seconds of work of a request of this class."""
        request_class = self.request_classes[class_name]
        return request_class.work_s * (
            random.expovariate(1.0) if request_class.spread == "exponential" else 1.0
        )

    def on_attempt_received(self, request, attempt, server):
        """Counts an attempt that reached a server and tells the rule checker."""
        self.counts["shots"] += 1
        agent = self.agents_by_request.get(request)
        tracked = self.rule_checker.requests.get(request)
        if tracked:
            # Only the agent knows whether an earlier attempt is in flight, since a close takes a while to
            # arrive. Earlier attempts count as ended.
            for each in tracked.attempts.values():
                each[4] = False
            self.counts["crossings"] += agent.zone != server.zone
        self.rule_checker.on_attempt_sent(
            self.now,
            agent.number if agent else None,
            request,
            attempt,
            server.name,
            self.world.zones[server.zone],
        )

    def on_list_update_sent(self, entry):
        """Tells the rule checker which agents received a change of the server list."""
        for agent in self.agents:
            if not self.discovery.is_down:
                self.rule_checker.on_server_state_received(
                    self.now, agent.number, entry["uid"], entry["state"] == "active"
                )
        self.rule_checker.on_server_list_changed(self.now, entry["uid"], entry["state"] == "active")

    # Clients

    def send_requests(self, agent, random, rate):
        """Sends requests to an agent at random times, whether or not earlier ones are answered."""
        due_at = 0.0
        while (due_at := due_at + random.expovariate(rate * self.arrival_rate_factor)) < self.world.seconds:
            gevent.sleep(max(0.0, due_at - self.now))
            class_index = bisect_left(
                self.cumulative_class_shares, random.random() * self.cumulative_class_shares[-1]
            )
            request_class = self.world.request_class[class_index]
            is_hot, key_position = (
                random.random() < self.hot_key_share,
                random.random() * self.cumulative_key_weights[-1],
            )
            key = 0 if is_hot else bisect_left(self.cumulative_key_weights, key_position)
            if agent.port:
                self.offered_priority += request_class.priority
                gevent.spawn(self.send_request, agent, request_class, key, due_at)

    def send_request(self, agent, request_class, key, due_at):
        """Sends one request, waits for its answer and records it."""
        self.request_count += 1
        request, start_count, lateness = f"r{self.request_count}", agent.start_count, self.now - due_at
        request_head = (
            f"{HTTP_METHODS.get(request_class.repeat, 'POST')} /{request_class.name}/{key} HTTP/1.1\r\n"
            f"X-Request-ID: {request}\r\nCookie: sid={key}\r\n"
            f"X-Timeout: {request_class.limit_s * 1e3:.0f}m\r\nContent-Length: 0\r\n"
            + f"Idempotency-Key: {request}\r\n" * (request_class.repeat == "keyed")
            + "\r\n"
        )
        self.agents_by_request[request] = agent
        self.rule_checker.on_request_accepted(
            self.now, agent.number, request, request_class.name, self.now + request_class.limit_s
        )
        connection, message = self.idle_connection(agent), None
        if connection:
            message = self.exchange(connection, request_head, request_class)
        if not message and agent.port and start_count == agent.start_count:
            # An agent may close an idle connection while a request is on its way to it. That request is sent
            # once more on a new connection.
            self.counts["sent again"] += bool(connection)
            try:
                connection = self.connect(agent)
            except OSError:
                return
            message = self.exchange(connection, request_head, request_class)
        if not message:
            return  # the rule checker reports it, unless the agent was killed
        self.rule_checker.on_answer(self.now, request, message.status)
        self.counts[message.status] += 1
        # A 409 is a violation: the agent had read the request when it closed the connection, so it had
        # accepted it.
        if message.status not in EXPECTED_STATUSES:
            self.rule_checker.add_violation(
                1, self.now, request, f"answered {message.status}, which is not an expected status"
            )
        if message.status == 200:
            if message.body != b"done " + request.encode():
                self.rule_checker.add_violation(
                    1, self.now, request, f"its answer has an unexpected body: {message.body!r}"
                )
            latency = self.now - due_at
            self.latencies.append(latency)
            self.served_priority += request_class.priority * (latency <= request_class.goal_s)
        self.counts["late clients"] += lateness > 0.05
        if message.keep_alive and agent.port and start_count == agent.start_count:
            agent.idle_connections.append(connection)
        else:
            connection.close()

    def idle_connection(self, agent):
        """An idle connection to the agent without unread input; None if there is none."""
        while agent.idle_connections:
            connection = agent.idle_connections.pop()
            if not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def exchange(self, connection, request_head, request_class):
        """Sends a request and returns its answer; None if no whole answer arrived."""
        try:
            connection.sock.sendall(request_head.encode())
            while not connection.messages:
                if not connection.receive(request_class.limit_s + LATE_ANSWER_WAIT_S):
                    connection.close()
                    return None
            return connection.messages.pop()
        except (OSError, MalformedMessageError):
            connection.close()
            return None

    def connect(self, agent):
        """Opens a connection to the agent."""
        sock = socket.create_connection((LOOPBACK_HOST, agent.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Connection(sock, reads_responses=True)

    # Faults

    def inject_fault(self, fault, index):
        """Begins a fault of the world and undoes it after its duration."""
        random, kind, size = seeded_random(self.seed, f"fault {index}"), fault.kind, fault.size
        zone = self.world.zones.index(fault.zone) if fault.zone else None
        candidates = (
            self.agents
            if kind == "kill"
            else [
                each for each in self.servers.values() if not each.is_draining and zone in (None, each.zone)
            ]
        )
        targets = random.sample(candidates, min(len(candidates), max(1, round(fault.part * len(candidates)))))
        if kind == "kill":
            for agent in targets:
                agent.kill()
                gevent.spawn_later(RESTART_DELAY_S, agent.start)
        elif kind == "replace":
            for order, server in enumerate(targets):
                gevent.spawn_later(order * fault.lasts_s / len(targets), self.replace, server)
        else:
            undo_callbacks = [
                self.apply_fault(kind, size, fault.request_class, each)
                for each in self.shared_targets(kind) or targets
            ]
            gevent.sleep(fault.lasts_s)
            for undo in undo_callbacks:
                undo()

    def shared_targets(self, kind):
        """The targets of a fault that is not one of single servers; None for all other faults."""
        return {
            "list_down": [self.discovery],
            "list_late": [self.discovery],
            "jump": [self],
            "hot_key": [self],
        }.get(kind)

    def apply_fault(self, kind, size, request_class, target):
        """Applies a fault to one target and returns the function that undoes it."""
        if kind == "crash":
            target.crash()
            return lambda: (target.restart(), self.discovery.schedule_update(target.list_entry()))
        if kind == "list_down":
            target.go_down()
            return lambda: setattr(target, "is_down", False)
        name, value = {
            "silent": ("is_silent", True),
            "one_workload": ("error_rates", {request_class: size}),
            "list_late": ("extra_delay", size),
            "jump": ("arrival_rate_factor", size),
            "hot_key": ("hot_key_share", size),
        }.get(kind, (kind, size))
        previous_value = getattr(target, name)
        setattr(target, name, value)
        return lambda: setattr(target, name, previous_value)

    def replace(self, server):
        """Drains a server, adds a new one in its zone, and ends the old one once agents know of it."""
        server.is_draining = True
        self.discovery.schedule_update(server.list_entry("leaving"))
        self.add_server(server.zone, self.now)
        gevent.sleep(self.world.list.late_s + 2.0)
        server.crash()
        self.discovery.schedule_update(server.list_entry("left"))

    def figures(self) -> dict:
        """The figures of the play by the names under which they are printed."""
        return {
            "lookups": self.request_count,
            "completed": self.counts[200],
            "turned back": self.counts[503],
            "terminated": self.counts[502],
            "served": round(self.served_priority / max(self.offered_priority, 1e-9), 4),
            **{each: self.counts[each] for each in REPORTED_COUNTERS},
            "lost with killed agents": self.rule_checker.excused_count,
            "violations": len(self.rule_checker.violations),
        }
