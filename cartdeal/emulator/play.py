"""Plays a world: builds its fleet, discovery service, clients and faults on one clock, and counts what came
of it.

It must never start a thread, read a clock or touch a socket: the same world and seed give the same trace.
"""

import zlib
from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from math import sqrt

from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.reducer import Reducer
from cartdeal.emulator.judge import Judge
from cartdeal.emulator.servers import Server
from cartdeal.emulator.stand import Stand
from cartdeal.emulator.world import World
from cartdeal.simulated_time import SimulatedClock, seeded_random

COUNTED = "shots", "crossings", "probes", "handshakes", "list calls"
TAIL = 10.0  # how long after the last arrival a world goes on, so that all is answered
RESTART = 1.0  # how long a killed agent is away


class DiscoveryService:
    """Tells changes late; takes so many calls a second and turns away what would wait too long."""

    def __init__(self, fleet):
        self.fleet, self.clock, self.terms = fleet, fleet.clock, fleet.world.list
        self.lines, self.version, self.watchers = {}, 0, []
        self.free_at, self.down, self.later = 0.0, False, 0.0
        self.calls = Counter()  # by second

    def whole(self) -> ServerList:
        return ServerList(self.version, True, tuple(self.lines.values()))

    def change(self, line: ServerEntry):
        """What happens to a server; told when it is, and to those who watch then."""
        self.clock.after(self.terms.late_s + self.later, self.tell, line)

    def tell(self, line):
        self.version += 1
        self.lines.pop(line.name, None)
        if line.state != "left":
            self.lines[line.name] = line
        self.fleet.judge.list_changed(self.clock.now, line.name, line.state == "active")
        server_list = ServerList(self.version, False, (line,))
        for stand in self.watchers:
            if self.fleet.reaches_list(stand):
                self.clock.after(self.fleet.world.network.cross_s, stand.heard, server_list)

    def call(self, stand):
        now, self.calls[int(self.clock.now)] = self.clock.now, self.calls[int(self.clock.now)] + 1
        self.fleet.count["list calls"] += 1
        if self.down or not self.fleet.reaches_list(stand) or self.free_at - now > self.terms.timeout_s:
            return self.clock.after(0.002, stand.heard, None)
        self.free_at = max(now, self.free_at) + 1 / self.terms.calls_per_s
        self.clock.at(self.free_at, self.serve, stand, stand.life)

    def serve(self, stand, life):
        if self.down or stand.life != life:
            return stand.life == life and stand.heard(None)
        self.watchers.append(stand)
        whole = self.version != stand.known.version
        stand.heard(self.whole() if whole else ServerList(self.version))

    def forget(self, stand):
        if stand in self.watchers:
            self.watchers.remove(stand)

    def go_down(self):
        self.down, watchers, self.watchers = True, self.watchers, []
        for stand in watchers:
            stand.heard(None)


class Fleet:
    def __init__(self, world: World, seed: int, make=Reducer, trace=None, only=None):
        self.world, self.seed, self.clock, self.trace = world, seed, SimulatedClock(), trace
        self.judge, self.count = Judge(world), Counter()
        self.arrivals, self.only = [], only  # (agent, which of its arrivals); all, or these alone
        self.random, self.works = seeded_random(seed, "network"), seeded_random(seed, "work")
        self.cut = set()  # zones cut off from the others
        self.hot = 0.0
        self.offered = self.served = 0.0
        self.took = []  # seconds from due to answer, of those completed
        self.request_classes = list(accumulate(each.share for each in world.request_class))
        self.popular = list(
            accumulate((1 + place) ** -world.clients.popularity for place in range(world.clients.keys))
        )
        self.servers, self.named = {}, 0
        self.list = DiscoveryService(self)
        for zone in range(len(world.zones)):
            for _ in range(world.servers.per_zone):
                self.add(zone)
        self.stands = [Stand(self, number, number % len(world.zones), make) for number in range(world.agents)]
        self.open = {}  # request -> request class, key, due, repeats so far, stand

    # Servers

    def add(self, zone, started=0.0):
        name = f"s{self.named}"
        self.named += 1
        random = seeded_random(self.seed, name)
        speed = max(0.3, 1 + self.world.servers.spread * random.uniform(-1, 1))
        server = Server(self.clock, self.world.servers, name, zone, speed, random, started)
        self.servers[name] = server
        line = self.line(server)
        if started:
            self.list.change(line)
        else:
            self.list.lines[name] = line
        return server

    def line(self, server, state="active") -> ServerEntry:
        zone = self.world.zones[server.zone]
        return ServerEntry(server.name, server.name, zone, 0, state, 1.0, server.started * 1e3)

    def work(self, request, probe) -> float:
        if probe:
            return self.world.servers.probe_s
        kind = self.world.request_class[request.request_class]
        return kind.work_s * (self.works.expovariate(1.0) if kind.spread == "exponential" else 1.0)

    def way(self, here, there) -> float | None:
        if here != there and (here in self.cut or there in self.cut):
            return None
        base = self.world.network.same_s if here == there else self.world.network.cross_s
        return base * (1 + self.world.network.jitter * self.random.random())

    def reaches_list(self, stand) -> bool:
        return stand.zone not in self.cut  # it stands outside of all zones

    # Clients

    def arrive(self, stand, random, rate):
        if self.clock.now >= self.world.seconds:
            return
        self.clock.after(random.expovariate(rate * self.rush), self.arrive, stand, random, rate)
        request_class = bisect_left(self.request_classes, random.random() * self.request_classes[-1])
        hot, place = random.random() < self.hot, random.random() * self.popular[-1]
        key = 0 if hot else bisect_left(self.popular, place)
        stand.came += 1
        arrival = stand.number, stand.came
        self.arrivals.append(arrival)
        if self.only is not None and arrival not in self.only:
            return
        if stand.lives:  # an application stops with its agent
            self.offered += self.world.request_class[request_class].priority
        self.ask(stand, request_class, key, self.clock.now, 0)

    def ask(self, stand, request_class, key, due, repeats):
        kind, now = self.world.request_class[request_class], self.clock.now
        left = due + kind.limit_s - now
        if not stand.lives or left <= 0:
            return
        self.count["requests"] += 1
        request = f"l{self.count['requests']}"
        self.open[request] = request_class, key, due, repeats, stand
        self.judge.request_taken(now, stand.number, request, kind.name, now + left)
        stand.taken(request, request_class, zlib.crc32(b"%d" % key) + 1, left, repeats > 0)

    def answered(self, request, status, wait):
        now = self.clock.now
        self.judge.request_answered(now, request, status)
        request_class, key, due, repeats, stand = self.open.pop(request, (0, 0, 0.0, 99, None))
        kind = self.world.request_class[request_class]
        self.count[status] += 1
        if self.trace is not None:
            self.trace.append(f"{now:.6f} {request} {status}")
        if status == 200:
            self.took.append(now - due)
            self.served += kind.priority * (now - due <= kind.goal_s)
        elif status == 503 and repeats < self.world.clients.retries:
            pause = max(wait, self.world.clients.pause_s)
            self.clock.after(pause, self.ask, stand, request_class, key, due, repeats + 1)

    # Faults

    def met(self, fault, place):
        """Who meets it: a part of the servers (or agents), the same for the same seed."""
        random = seeded_random(self.seed, f"fault {place}")
        if fault.kind == "kill":
            return random.sample(self.stands, max(1, round(fault.part * len(self.stands))))
        zone = self.world.zones.index(fault.zone) if fault.zone else None
        here = [each for each in self.servers.values() if not each.draining and zone in (None, each.zone)]
        return random.sample(here, max(1, round(fault.part * len(here)))) if here else []

    def begin(self, fault, place):
        met, kind, size = self.met(fault, place), fault.kind, fault.size
        if kind == "replace":
            for turn, server in enumerate(met):
                self.clock.after(turn * fault.lasts_s / len(met), self.replace, server)
            return
        if kind == "kill":
            for stand in met:
                stand.die()
                self.clock.after(RESTART, stand.start)
            return
        undo = {
            "crash": lambda s: (s.die(), lambda: self.rise(s))[1],
            "slow": lambda s: self.set(s, "slow", size),
            "silent": lambda s: self.set(s, "silent", True),
            "errors": lambda s: self.set(s, "errors", size),
            "resets": lambda s: self.set(s, "resets", size),
            "one_workload": lambda s: self.set(s, "spoilt", {fault.request_class: size}),
        }
        whole = {
            "zone_cut": lambda: (
                self.cut.add(self.world.zones.index(fault.zone)),
                lambda: self.cut.discard(self.world.zones.index(fault.zone)),
            )[1],
            "list_down": lambda: (self.list.go_down(), lambda: setattr(self.list, "down", False))[1],
            "list_late": lambda: self.set(self.list, "later", size),
            "jump": lambda: self.set(self, "rush", size),
            "hot_key": lambda: self.set(self, "hot", size),
        }
        ends = [whole[kind]()] if kind in whole else [undo[kind](server) for server in met]
        for end in ends:
            self.clock.after(fault.lasts_s, end)

    def set(self, what, name, value):
        before = getattr(what, name)
        setattr(what, name, value)
        return lambda: setattr(what, name, before)

    def rise(self, server):
        server.rise()
        self.list.change(self.line(server))

    def replace(self, server):
        """It drains, is gone when its work is done, and one under a new id starts cold."""
        server.draining = True
        self.list.change(self.line(server, "leaving"))
        self.clock.after(self.world.list.late_s + 2.0, self.leave, server)
        self.add(server.zone, max(self.clock.now, 1e-3))

    def leave(self, server):
        server.die()
        self.list.change(self.line(server, "left"))

    # The day

    rush = 1.0

    def play(self):
        world = self.world
        shares = seeded_random(self.seed, "shares")
        apart = world.clients.unevenness**2
        sizes = [shares.gammavariate(1 / apart, 1.0) if apart > 1e-4 else 1.0 for _ in self.stands]
        for stand, size in zip(self.stands, sizes, strict=True):
            random = seeded_random(self.seed, f"client {stand.number}")
            rate = max(1e-3, world.clients.per_s * size / sum(sizes))
            stand.known = self.list.whole()
            self.clock.after(0.0, stand.start)
            self.clock.after(0.1 + random.expovariate(rate), self.arrive, stand, random, rate)
        for place, fault in enumerate(world.fault):
            self.clock.at(fault.begins_s, self.begin, fault, place)
        longest = max(each.limit_s for each in world.request_class)
        self.clock.run(world.seconds + max(TAIL, 2 * longest))
        self.judge.close(self.clock.now)
        return self

    def figures(self) -> dict:
        loads = [server.busy for server in self.servers.values()]
        mean = sum(loads) / len(loads)
        apart = sqrt(sum((load - mean) ** 2 for load in loads) / len(loads))
        return {
            "lookups": self.count["requests"],
            "completed": self.count[200],
            "turned back": self.count[503],
            "terminated": self.count[502],
            "served": round(self.served / max(self.offered, 1e-9), 4),
            **{each: self.count[each] for each in COUNTED},
            "most list calls in a second": max(self.list.calls.values(), default=0),
            "unevenness of work": round(apart / max(mean, 1e-9), 3),
            "lost with killed agents": self.judge.excused,
            "violations": len(self.judge.violations),
        }
