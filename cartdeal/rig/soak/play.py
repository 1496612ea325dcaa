"""Plays one soak: agents in processes of their own, relays before servers and discovery, overlapping faults.

Everything is drawn by the seed except the timing of the machine. The number and the running time of all
processes are bounded, and each is ended by its id however the soak ends. The soak must never touch an address
off the loopback.
"""

import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from time import monotonic, time

import gevent

from cartdeal.emulator.world import InvalidInputError
from cartdeal.rig.soak import faults
from cartdeal.rig.soak.agents import Agent
from cartdeal.rig.soak.clients import WellBehavedClients
from cartdeal.rig.soak.fake_servers import DiscoveryService, Server
from cartdeal.rig.soak.relay import LOOPBACK_HOST, Relay
from cartdeal.rig.soak.rule_checker import Rule, RuleChecker

MAX_AGENTS = 64
MAX_DURATION_S = 600.0
SERVERS_PER_ZONE = 6
ZONES = "ab"
REQUEST_RATE_PER_S = 8.0  # at each agent
LATE_ANSWER_WAIT_S = 7.0  # after the last request; every request has to be answered by then
DRAIN_DURATION_S = 4.0  # from the drain of a server until it leaves the list
RESTART_DELAY_S = 0.3  # from an agent's end to its next start
FAULT_PROBABILITY = 0.002  # of the failure of a system call
WALL_CLOCK_OFFSETS_S = (0.0, 0.0, 3600.0, -3600.0)  # by which agents' wall clocks are ahead


class Soak:
    """One soak; seconds are counted from the time at which all agents serve."""

    def __init__(self, seed: int, agents: int, duration: float, fault_probability: float = FAULT_PROBABILITY):
        """`duration`: seconds for which clients send requests.

        `fault_probability`: of a failure of a system call, at every other agent.
        """
        self.fault_probability = fault_probability
        if not 1 <= agents <= MAX_AGENTS:
            raise InvalidInputError(f"agents: found {agents}, wanted 1 to {MAX_AGENTS}")
        if not 0 < duration <= MAX_DURATION_S:
            raise InvalidInputError(f"seconds: found {duration}, wanted up to {MAX_DURATION_S:g}")
        self.seed, self.size, self.duration = seed, agents, duration
        self.random, self.rule_checker, self.started_at = Random(seed), RuleChecker(), monotonic()
        self.request_count = self.next_server_number = 0
        self.max_lag = 0.0  # seconds by which this process itself was late
        self.servers, self.relays = [], {}
        self.discovery = DiscoveryService(self.now)
        self.discovery_relays = [Relay((LOOPBACK_HOST, self.discovery.port)) for _ in range(3)]
        self.faults = faults.draw_schedule(seed, duration)
        self.agents: list[Agent] = []
        self.greenlets = []

    def now(self) -> float:
        """Seconds since the soak started."""
        return monotonic() - self.started_at

    def new_id(self) -> str:
        """A request id that is used once."""
        self.request_count += 1
        return f"{self.seed:x}-{self.request_count:x}"

    def add_server(self, zone: str, is_cold: bool) -> dict:
        """Starts a server with a relay before it and returns its entry of the server list."""
        name = f"s{self.next_server_number}"
        self.next_server_number += 1
        server = Server(name, zone, self.now, self.rule_checker)
        self.servers.append(server)
        relay = self.relays[name] = Relay((LOOPBACK_HOST, server.port))
        server.may_be_delayed = lambda: relay.may_delay_data
        return {
            "uid": name,
            "endpoint": self.relays[name].address,
            "az": zone,
            "pod_group": len(self.servers) % 3,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": int(time() * 1e3) if is_cold else 0,
        }

    def replace(self, server: Server):
        """Drains a server, adds another in its zone, and removes the first once it has drained."""
        if server not in self.servers:
            return
        self.servers.remove(server)
        entry = self.discovery.entries[server.name]
        self.rule_checker.drain_times[server.name] = self.now()
        self.discovery.send_update(entry | {"state": "leaving"}, self.add_server(server.zone, True))
        self.greenlets.append(gevent.spawn_later(DRAIN_DURATION_S, self.remove, server, entry))

    def remove(self, server: Server, entry: dict):
        """Announces that a drained server has left."""
        self.discovery.send_update(entry | {"state": "left"})

    def restart(self, agent: Agent, end_agent):
        """Ends an agent with `end_agent` and starts it again."""
        end_agent()
        gevent.sleep(RESTART_DELAY_S)
        agent.start()

    def monitor(self):
        """Reports agents that exited by themselves, and measures how late this process runs."""
        while True:
            started_at = monotonic()
            gevent.sleep(0.1)
            self.max_lag = max(self.max_lag, monotonic() - started_at - 0.1)
            for agent in self.agents:
                if agent.has_exited():
                    status = agent.process.poll()
                    agent.port = 0
                    self.rule_checker.add_violation(
                        Rule.CRASH, self.now(), agent.name, f"died with status {status}"
                    )

    def play(self) -> "Soak":
        """Runs the soak and ends all of its processes."""
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder)
            try:
                self.run()
            finally:
                self.stop()
        return self

    def run(self):
        """Starts servers and agents, plays clients and faults, and shuts the agents down."""
        for zone in ZONES:
            for _ in range(SERVERS_PER_ZONE):
                entry = self.add_server(zone, False)
                self.discovery.entries[entry["uid"]] = entry
        self.agents = [Agent(self, number, self.draw_system_faults(number)) for number in range(self.size)]
        gevent.joinall([gevent.spawn(agent.start) for agent in self.agents])
        self.started_at = monotonic()
        self.greenlets.append(gevent.spawn(self.monitor))
        for fault in self.faults:
            play_fault = faults.FAULTS_BY_NAME[fault.name]
            self.greenlets.append(gevent.spawn_later(fault.begins_at, play_fault, self, fault.duration))
        clients = [WellBehavedClients(self, agent) for agent in self.agents]
        gevent.joinall([gevent.spawn(each.run, REQUEST_RATE_PER_S, self.duration) for each in clients])
        gevent.sleep(LATE_ANSWER_WAIT_S)
        self.rule_checker.check_unanswered(self.now())
        shutdowns = [gevent.spawn(agent.shut_down) for agent in self.agents if agent.port]
        gevent.joinall(shutdowns)
        gevent.sleep(0.2)  # until the last lines of the logs are read

    def draw_system_faults(self, number: int) -> str | None:
        """The value of AGENT_FAULTS for every other agent, with a random clock offset; None for the rest."""
        if number % 2:
            return None
        return (
            f"{self.seed * 100 + number},{self.fault_probability},{self.random.choice(WALL_CLOCK_OFFSETS_S)}"
        )

    def stop(self):
        """Ends all processes, relays and servers."""
        gevent.killall(self.greenlets)
        for agent in self.agents:
            agent.stop()
        for relay in (*self.relays.values(), *self.discovery_relays):
            relay.stop()
        for fake_server in (*self.servers, self.discovery):
            fake_server.close()

    def report(self) -> str:
        """A line of figures, and a line for each of the first 20 violations."""
        requests = self.rule_checker.requests.values()
        statuses = Counter(each.status for each in requests)
        fault_times = " ".join(f"{each.name}@{each.begins_at:.1f}" for each in self.faults)
        status_counts = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
        lines = [
            f"seed {self.seed}: {len(requests)} requests, {status_counts},"
            f" late {self.rule_checker.late_count}, own lag {self.max_lag:.2f} s,"
            f" violations {len(self.rule_checker.violations)}; {fault_times}"
        ]
        for each in self.rule_checker.violations[:20]:
            lines.append(f"  {each.at:7.2f} {each.rule}: {each.subject}: {each.detail[:300]}")
        return "\n".join(lines)


def save_logs(soak: Soak, folder: str):
    """Writes each agent's log to a file named by the soak's seed and the agent's number."""
    directory = Path(folder)
    directory.mkdir(parents=True, exist_ok=True)
    for agent in soak.agents:
        (directory / f"{soak.seed}-{agent.number}.log").write_bytes(b"".join(agent.log_lines))
