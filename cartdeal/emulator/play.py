"""Runs a world: agents, discovery service, clients and faults on one simulated clock; computes its figures.

It must never start a thread, read a clock or touch a socket: the same world and seed give the same trace.
"""

import zlib
from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from math import sqrt

from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import Reducer
from cartdeal.emulator.rule_checker import RuleChecker
from cartdeal.emulator.servers import Server
from cartdeal.emulator.simulated_agent import SimulatedAgent
from cartdeal.emulator.world import World
from cartdeal.simulated_time import SimulatedClock, seeded_random

COUNTED_COLUMNS = "shots", "crossings", "probes", "handshakes", "list calls"
MIN_SETTLING_S = 10.0  # simulated after the last arrival, so that all requests are answered
RESTART_DELAY_S = 1.0  # before a killed agent starts again


class DiscoveryService:
    """Publishes changes with a delay, and answers a limited number of calls per second.

    A call that would wait longer than `timeout_s` fails.
    """

    def __init__(self, fleet):
        self.fleet, self.clock, self.settings = fleet, fleet.clock, fleet.world.list
        self.entries, self.version, self.watchers = {}, 0, []
        self.free_at, self.is_down, self.extra_delay_s = 0.0, False, 0.0
        self.calls_by_second = Counter()

    def complete_list(self) -> ServerList:
        """The list of all servers."""
        return ServerList(self.version, True, tuple(self.entries.values()))

    def schedule_change(self, entry: ServerEntry):
        """Publishes a server's new entry after the delay, to the agents that watch then."""
        self.clock.after(self.settings.late_s + self.extra_delay_s, self.publish, entry)

    def publish(self, entry):
        """Changes the list, and sends the entry to the watching agents that are not cut off."""
        self.version += 1
        self.entries.pop(entry.name, None)
        if entry.state != "left":
            self.entries[entry.name] = entry
        self.fleet.rule_checker.on_server_list_changed(self.clock.now, entry.name, entry.state == "active")
        server_list = ServerList(self.version, False, (entry,))
        for agent in self.watchers:
            if self.fleet.reaches_discovery(agent):
                self.clock.after(self.fleet.world.network.cross_s, agent.on_discovery_answer, server_list)

    def on_call(self, agent):
        """Takes an agent's call: answers it in its turn, or fails it."""
        now, self.calls_by_second[int(self.clock.now)] = (
            self.clock.now,
            self.calls_by_second[int(self.clock.now)] + 1,
        )
        self.fleet.counts["list calls"] += 1
        if (
            self.is_down
            or not self.fleet.reaches_discovery(agent)
            or self.free_at - now > self.settings.timeout_s
        ):
            return self.clock.after(0.002, agent.on_discovery_answer, None)
        self.free_at = max(now, self.free_at) + 1 / self.settings.calls_per_s
        self.clock.at(self.free_at, self.answer_call, agent, agent.generation)

    def answer_call(self, agent, generation):
        """Answers a call and adds the agent to the watchers, unless the agent has been restarted since."""
        if self.is_down or agent.generation != generation:
            return agent.generation == generation and agent.on_discovery_answer(None)
        self.watchers.append(agent)
        is_outdated = self.version != agent.known_servers.version
        agent.on_discovery_answer(self.complete_list() if is_outdated else ServerList(self.version))

    def remove_watcher(self, agent):
        """Ends an agent's watch."""
        if agent in self.watchers:
            self.watchers.remove(agent)

    def fail(self):
        """Stops the service: all watches fail, and so do calls until it is up again."""
        self.is_down, watchers, self.watchers = True, self.watchers, []
        for agent in watchers:
            agent.on_discovery_answer(None)


class Fleet:
    """A world's agents, servers, discovery service and clients; `run` runs it once.

    Args:
        world: The world.
        seed: The seed of all random draws.
        make_reducer: Creates an agent's reducer.
        trace: A list for a line per answer; None if none are wanted.
        included_arrivals: The arrivals, as (agent, number of its arrival), that send requests; None for all.
    """

    def __init__(self, world: World, seed: int, make_reducer=Reducer, trace=None, included_arrivals=None):
        self.world, self.seed, self.clock, self.trace = world, seed, SimulatedClock(), trace
        self.rule_checker, self.counts = RuleChecker(world), Counter()
        # Arrivals as (agent number, number of the agent's arrival): all so far, and those that send requests
        # (None for all).
        self.arrivals, self.included_arrivals = [], included_arrivals
        self.random, self.work_random = seeded_random(seed, "network"), seeded_random(seed, "work")
        self.isolated_zones = set()  # by index
        self.hot_key_share = 0.0
        # Sums of the priorities of the requests offered, and served in time.
        self.offered_priority = self.served_priority = 0.0
        self.latencies = []  # seconds from the arrival to the answer, of completed requests
        self.cumulative_shares = list(accumulate(each.share for each in world.request_class))
        self.cumulative_popularity = list(
            accumulate((1 + rank) ** -world.clients.popularity for rank in range(world.clients.keys))
        )
        self.servers, self.next_server_number = {}, 0
        self.discovery = DiscoveryService(self)
        for zone in range(len(world.zones)):
            for _ in range(world.servers.per_zone):
                self.add_server(zone)
        self.agents = [
            SimulatedAgent(self, number, number % len(world.zones), make_reducer)
            for number in range(world.agents)
        ]
        self.open_requests = {}  # request -> (index of its class, key, arrived_at, repeat_count, agent)

    # Servers

    def add_server(self, zone, started=0.0):
        """Adds a server with a new name; it is in slow start if it has a start time."""
        name = f"s{self.next_server_number}"
        self.next_server_number += 1
        random = seeded_random(self.seed, name)
        speed = max(0.3, 1 + self.world.servers.spread * random.uniform(-1, 1))
        server = Server(self.clock, self.world.servers, name, zone, speed, random, started)
        self.servers[name] = server
        entry = self.server_entry(server)
        if started:
            self.discovery.schedule_change(entry)
        else:
            self.discovery.entries[name] = entry
        return server

    def server_entry(self, server, state="active") -> ServerEntry:
        """The server's entry of the server list."""
        zone = self.world.zones[server.zone]
        return ServerEntry(server.name, server.name, zone, 0, state, 1.0, server.started * 1e3)

    def draw_work(self, request, is_probe) -> float:
        """Draws the seconds of work of a request or a probe."""
        if is_probe:
            return self.world.servers.probe_s
        request_class = self.world.request_class[request.request_class]
        return request_class.work_s * (
            self.work_random.expovariate(1.0) if request_class.spread == "exponential" else 1.0
        )

    def one_way_delay(self, from_zone, to_zone) -> float | None:
        """Draws a message's delay in seconds from one zone to another; None if they are cut off."""
        if from_zone != to_zone and (from_zone in self.isolated_zones or to_zone in self.isolated_zones):
            return None
        base = self.world.network.same_s if from_zone == to_zone else self.world.network.cross_s
        return base * (1 + self.world.network.jitter * self.random.random())

    def reaches_discovery(self, agent) -> bool:
        """Whether messages pass between an agent and the discovery service, which is outside all zones."""
        return agent.zone not in self.isolated_zones

    # Clients

    def on_arrival(self, agent, random, rate):
        """Sends a request of a random class and key, and schedules the agent's next arrival."""
        if self.clock.now >= self.world.seconds:
            return
        self.clock.after(
            random.expovariate(rate * self.arrival_rate_factor), self.on_arrival, agent, random, rate
        )
        class_index = bisect_left(self.cumulative_shares, random.random() * self.cumulative_shares[-1])
        is_hot, draw = random.random() < self.hot_key_share, random.random() * self.cumulative_popularity[-1]
        key = 0 if is_hot else bisect_left(self.cumulative_popularity, draw)
        agent.arrival_count += 1
        arrival = agent.number, agent.arrival_count
        self.arrivals.append(arrival)
        if self.included_arrivals is not None and arrival not in self.included_arrivals:
            return
        if agent.is_running:  # an agent's application stops with it
            self.offered_priority += self.world.request_class[class_index].priority
        self.send_request(agent, class_index, key, self.clock.now, 0)

    def send_request(self, agent, class_index, key, arrived_at, repeat_count):
        """Gives an agent a request that arrived at `arrived_at`; `repeat_count` counts its earlier tries."""
        request_class, now = self.world.request_class[class_index], self.clock.now
        time_left = arrived_at + request_class.limit_s - now
        if not agent.is_running or time_left <= 0:
            return
        self.counts["requests"] += 1
        request = f"l{self.counts['requests']}"
        self.open_requests[request] = class_index, key, arrived_at, repeat_count, agent
        self.rule_checker.on_request_accepted(now, agent.number, request, request_class.name, now + time_left)
        agent.accept_request(request, class_index, zlib.crc32(b"%d" % key) + 1, time_left, repeat_count > 0)

    def on_answer(self, request, status, retry_after):
        """Records the answer to a request.

        After a rejection the client retries after at least `retry_after` seconds.
        """
        now = self.clock.now
        self.rule_checker.on_answer(now, request, status)
        # An unknown request is never retried: 99 is above every number of retries.
        class_index, key, arrived_at, repeat_count, agent = self.open_requests.pop(
            request, (0, 0, 0.0, 99, None)
        )
        request_class = self.world.request_class[class_index]
        self.counts[status] += 1
        if self.trace is not None:
            self.trace.append(f"{now:.6f} {request} {status}")
        if status == 200:
            self.latencies.append(now - arrived_at)
            self.served_priority += request_class.priority * (now - arrived_at <= request_class.goal_s)
        elif status == 503 and repeat_count < self.world.clients.retries:
            pause = max(retry_after, self.world.clients.pause_s)
            self.clock.after(pause, self.send_request, agent, class_index, key, arrived_at, repeat_count + 1)

    # Faults

    def choose_affected(self, fault, index):
        """Draws the servers or agents that a fault affects, the same for the same seed."""
        random = seeded_random(self.seed, f"fault {index}")
        if fault.kind == "kill":
            return random.sample(self.agents, max(1, round(fault.part * len(self.agents))))
        zone = self.world.zones.index(fault.zone) if fault.zone else None
        candidates = [
            each for each in self.servers.values() if not each.is_draining and zone in (None, each.zone)
        ]
        return random.sample(candidates, max(1, round(fault.part * len(candidates)))) if candidates else []

    def start_fault(self, fault, index):
        """Begins a fault, and schedules its end."""
        affected, kind, size = self.choose_affected(fault, index), fault.kind, fault.size
        if kind == "replace":
            for position, server in enumerate(affected):
                self.clock.after(position * fault.lasts_s / len(affected), self.replace_server, server)
            return
        if kind == "kill":
            for agent in affected:
                agent.stop()
                self.clock.after(RESTART_DELAY_S, agent.start)
            return
        server_faults = {
            "crash": lambda s: (s.stop(), lambda: self.restart_server(s))[1],
            "slow": lambda s: self.set_temporarily(s, "slowdown", size),
            "silent": lambda s: self.set_temporarily(s, "is_silent", True),
            "errors": lambda s: self.set_temporarily(s, "error_rate", size),
            "resets": lambda s: self.set_temporarily(s, "reset_rate", size),
            "one_workload": lambda s: self.set_temporarily(
                s, "error_rates_by_class", {fault.request_class: size}
            ),
        }
        global_faults = {
            "zone_cut": lambda: (
                self.isolated_zones.add(self.world.zones.index(fault.zone)),
                lambda: self.isolated_zones.discard(self.world.zones.index(fault.zone)),
            )[1],
            "list_down": lambda: (self.discovery.fail(), lambda: setattr(self.discovery, "is_down", False))[
                1
            ],
            "list_late": lambda: self.set_temporarily(self.discovery, "extra_delay_s", size),
            "jump": lambda: self.set_temporarily(self, "arrival_rate_factor", size),
            "hot_key": lambda: self.set_temporarily(self, "hot_key_share", size),
        }
        undo_actions = (
            [global_faults[kind]()]
            if kind in global_faults
            else [server_faults[kind](server) for server in affected]
        )
        for undo in undo_actions:
            self.clock.after(fault.lasts_s, undo)

    def set_temporarily(self, target, name, value):
        """Sets an attribute; returns a function that sets it back."""
        old_value = getattr(target, name)
        setattr(target, name, value)
        return lambda: setattr(target, name, old_value)

    def restart_server(self, server):
        """Starts a crashed server again, in slow start, and publishes its new start."""
        server.restart()
        self.discovery.schedule_change(self.server_entry(server))

    def replace_server(self, server):
        """Drains a server, and removes it `late_s` + 2 s later; a new server starts in its place at once."""
        server.is_draining = True
        self.discovery.schedule_change(self.server_entry(server, "leaving"))
        self.clock.after(self.world.list.late_s + 2.0, self.remove_server, server)
        # A start time of 0 would mean that the server is not in slow start.
        self.add_server(server.zone, max(self.clock.now, 1e-3))

    def remove_server(self, server):
        """Stops a draining server, and publishes that it has left."""
        server.stop()
        self.discovery.schedule_change(self.server_entry(server, "left"))

    # The run

    arrival_rate_factor = 1.0

    def run(self):
        """Runs the world to its end, and checks the rules; returns the fleet."""
        world = self.world
        rate_random = seeded_random(self.seed, "shares")
        variance = world.clients.unevenness**2
        relative_rates = [
            rate_random.gammavariate(1 / variance, 1.0) if variance > 1e-4 else 1.0 for _ in self.agents
        ]
        for agent, relative_rate in zip(self.agents, relative_rates, strict=True):
            random = seeded_random(self.seed, f"client {agent.number}")
            rate = max(1e-3, world.clients.per_s * relative_rate / sum(relative_rates))
            agent.known_servers = self.discovery.complete_list()
            self.clock.after(0.0, agent.start)
            self.clock.after(0.1 + random.expovariate(rate), self.on_arrival, agent, random, rate)
        for index, fault in enumerate(world.fault):
            self.clock.at(fault.begins_s, self.start_fault, fault, index)
        max_timeout = max(each.limit_s for each in world.request_class)
        self.clock.run(world.seconds + max(MIN_SETTLING_S, 2 * max_timeout))
        self.rule_checker.check_unanswered(self.clock.now)
        return self

    def figures(self) -> dict:
        """The figures of the run, by the names of their columns."""
        loads = [server.busy_s for server in self.servers.values()]
        mean = sum(loads) / len(loads)
        deviation = sqrt(sum((load - mean) ** 2 for load in loads) / len(loads))
        return {
            "lookups": self.counts["requests"],
            "completed": self.counts[200],
            "turned back": self.counts[503],
            "terminated": self.counts[502],
            "served": round(self.served_priority / max(self.offered_priority, 1e-9), 4),
            **{each: self.counts[each] for each in COUNTED_COLUMNS},
            "most list calls in a second": max(self.discovery.calls_by_second.values(), default=0),
            "unevenness of work": round(deviation / max(mean, 1e-9), 3),
            "lost with killed agents": self.rule_checker.excused_count,
            "violations": len(self.rule_checker.violations),
        }
