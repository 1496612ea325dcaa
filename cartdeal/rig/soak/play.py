"""One soak: a few dozen agents in processes of their own, relays before servers and discovery, troubles that
overlap, and a judge.

Everything is drawn by the seed, but for what the machine's timing adds. Processes are bounded in number and
time, and ended by their ids however the soak ends. It must never touch an address off the loopback.
"""

import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from time import monotonic, time

import gevent

from cartdeal.emulator.world import InvalidInputError
from cartdeal.rig.soak import troubles
from cartdeal.rig.soak.agents import Agent
from cartdeal.rig.soak.clients import UsualClients
from cartdeal.rig.soak.judge import Judge, Rule
from cartdeal.rig.soak.relay import HOST, Relay
from cartdeal.rig.soak.stand_ins import Discovery, Server

MOST_AGENTS = 64
MOST_SECONDS = 600.0
SERVERS_PER_ZONE = 6
ZONES = "ab"
RATE = 8.0  # requests a second at each agent
TAIL = 7.0  # seconds after the last request, when all must be answered
DRAINS_FOR = 4.0  # seconds from a server's drain to its end
AWAY = 0.3  # seconds between an agent's end and its next life
FAULT_CHANCE = 0.002  # that a system call of an agent fails
WALL_CLOCKS = (0.0, 0.0, 3600.0, -3600.0)  # how far ahead agents' wall clocks are


class Soak:
    def __init__(self, seed: int, agents: int, seconds: float, fault_chance: float = FAULT_CHANCE):
        """`fault_chance`: of each system call of every other agent."""
        self.fault_chance = fault_chance
        if not 1 <= agents <= MOST_AGENTS:
            raise InvalidInputError(f"agents: found {agents}, wanted 1 to {MOST_AGENTS}")
        if not 0 < seconds <= MOST_SECONDS:
            raise InvalidInputError(f"seconds: found {seconds}, wanted up to {MOST_SECONDS:g}")
        self.seed, self.size, self.seconds = seed, agents, seconds
        self.random, self.judge, self.begun = Random(seed), Judge(), monotonic()
        self.ids = self.named = 0
        self.lag = 0.0  # by which this process itself was late at most
        self.servers, self.relays = [], {}
        self.discovery = Discovery(self.now)
        self.discovery_relays = [Relay((HOST, self.discovery.port)) for _ in range(3)]
        self.troubles = troubles.draw(seed, seconds)
        self.agents: list[Agent] = []
        self.works = []

    def now(self) -> float:
        return monotonic() - self.begun

    def new_id(self) -> str:
        self.ids += 1
        return f"{self.seed:x}-{self.ids:x}"

    def add_server(self, zone: str, is_cold: bool) -> dict:
        """Its line of the server list."""
        name = f"s{self.named}"
        self.named += 1
        server = Server(name, zone, self.now, self.judge)
        self.servers.append(server)
        relay = self.relays[name] = Relay((HOST, server.port))
        server.is_held_back = lambda: relay.holds_back
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
        """Drains it, has another one in its place, and takes it away once it has drained."""
        if server not in self.servers:
            return
        self.servers.remove(server)
        line = self.discovery.entries[server.name]
        self.judge.drained_at[server.name] = self.now()
        self.discovery.tell(line | {"state": "leaving"}, self.add_server(server.zone, True))
        self.works.append(gevent.spawn_later(DRAINS_FOR, self.remove, server, line))

    def remove(self, server: Server, line: dict):
        self.discovery.tell(line | {"state": "left"})

    def restart(self, agent: Agent, end):
        end()
        gevent.sleep(AWAY)
        agent.start()

    def watch_over(self):
        """Notices agents that died by themselves, and how late this process is."""
        while True:
            begun = monotonic()
            gevent.sleep(0.1)
            self.lag = max(self.lag, monotonic() - begun - 0.1)
            for agent in self.agents:
                if agent.has_died():
                    status = agent.process.poll()
                    agent.port = 0
                    self.judge.break_(Rule.CRASH, self.now(), agent.name, f"died with status {status}")

    def play(self) -> "Soak":
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder)
            try:
                self.run()
            finally:
                self.stop()
        return self

    def run(self):
        for zone in ZONES:
            for _ in range(SERVERS_PER_ZONE):
                line = self.add_server(zone, False)
                self.discovery.entries[line["uid"]] = line
        self.agents = [Agent(self, number, self.faults_of(number)) for number in range(self.size)]
        gevent.joinall([gevent.spawn(agent.start) for agent in self.agents])
        self.begun = monotonic()
        self.works.append(gevent.spawn(self.watch_over))
        for trouble in self.troubles:
            work = troubles.KINDS[trouble.kind]
            self.works.append(gevent.spawn_later(trouble.begins_at, work, self, trouble.seconds))
        clients = [UsualClients(self, agent) for agent in self.agents]
        gevent.joinall([gevent.spawn(each.run, RATE, self.seconds) for each in clients])
        gevent.sleep(TAIL)
        self.judge.close(self.now())
        endings = [gevent.spawn(agent.end_in_order) for agent in self.agents if agent.port]
        gevent.joinall(endings)
        gevent.sleep(0.2)  # the last lines of their logs

    def faults_of(self, number: int) -> str | None:
        """Half of the agents have system calls that fail, and may have a wall clock that is wrong."""
        if number % 2:
            return None
        return f"{self.seed * 100 + number},{self.fault_chance},{self.random.choice(WALL_CLOCKS)}"

    def stop(self):
        gevent.killall(self.works)
        for agent in self.agents:
            agent.stop()
        for relay in (*self.relays.values(), *self.discovery_relays):
            relay.stop()
        for stand_in in (*self.servers, self.discovery):
            stand_in.close()

    def report(self) -> str:
        asked = self.judge.requests.values()
        statuses = Counter(each.status for each in asked)
        kinds = " ".join(f"{each.kind}@{each.begins_at:.1f}" for each in self.troubles)
        served = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
        lines = [
            f"seed {self.seed}: {len(asked)} requests, {served}, late {self.judge.late},"
            f" own lag {self.lag:.2f} s, violations {len(self.judge.violations)}; {kinds}"
        ]
        for each in self.judge.violations[:20]:
            lines.append(f"  {each.at:7.2f} {each.rule}: {each.about}: {each.detail[:300]}")
        return "\n".join(lines)


def keep_logs(played: Soak, folder: str):
    """Each agent's log in a file of its own, by the soak's seed."""
    to = Path(folder)
    to.mkdir(parents=True, exist_ok=True)
    for agent in played.agents:
        (to / f"{played.seed}-{agent.number}.log").write_bytes(b"".join(agent.log))
