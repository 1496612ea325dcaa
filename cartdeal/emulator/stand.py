"""An agent of the emulated fleet: the real reducer, with the emulated network where sockets would be.

It carries out what the reducer asks for, as effects.py does on sockets, and reports to the judge what the
network sees. It must never decide anything, nor show the judge what the agent thinks.
"""

from msgspec import convert

from cartdeal.agent.configuration import AgentConfiguration, Limits, ServerEntry, ServerList
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress, Reducer, Request
from cartdeal.emulator.servers import Job
from cartdeal.emulator.world import agent_settings
from cartdeal.settings import Settings

MARGIN = 0.01  # kept free of a request_id's time, as the front does
IDLE = 6.0  # how long a connection is kept


class Attempt:
    def __init__(self, name, request, server, deadline):
        self.name, self.request, self.server, self.deadline = name, request, server, deadline
        self.progress, self.over, self.job, self.connected = Progress.NOT_CONNECTED, False, None, False
        self.sent = 0.0


class Stand:
    def __init__(self, fleet, number, zone, make=Reducer):
        self.fleet, self.clock, self.number, self.zone = fleet, fleet.clock, number, zone
        self.make, self.life, self.lives, self.came = make, 0, False, 0  # came: arrivals so far
        self.known = ServerList()
        self.watching = False
        self.attempts, self.idle = {}, {}

    # Its life

    def start(self):
        world = self.fleet.world
        self.life, self.lives, self.watching = self.life + 1, True, False
        self.attempts, self.idle = {}, {}
        settings = convert(agent_settings(world, self.number, self.zone), Settings)
        seed = self.fleet.seed * 1000003 + self.number * 101 + self.life
        config = AgentConfiguration(
            "", ("", 0), ("", 0), seed, Limits(), None, (), None, self.known, settings
        )
        for line in self.known.entries:
            self.told(line)
        self.reducer = self.make(config, self.clock.now, self.clock.now)
        self.run_effects()

    def die(self):
        self.lives = False
        self.fleet.judge.agent_died(self.number)
        for attempt in self.attempts.values():
            attempt.over = True
            self.leave(attempt)
        for server in list(self.idle):
            self.tidy(server, 0.0)
        self.fleet.list.forget(self)

    def dispatch(self, event, *args):
        self.reducer.now = self.clock.now
        getattr(self.reducer, event)(*args)
        self.run_effects()

    def later(self, time, event, *args):
        life = self.life
        self.clock.at(time, lambda: self.lives and self.life == life and self.dispatch(event, *args))

    def run_effects(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for verb, *args in effects:
            getattr(self, verb)(*args)

    # What the reducer asks for

    def request_accepted(self, request_id, number):
        pass  # the fleet knows a request_id by its id

    def refuse_request(self, request_id, status, detail):
        self.fleet.answered(request_id, status, 0.0)

    def answer(self, request_id, status, kind, body, wait):
        self.fleet.answered(request_id, status, wait)

    def set_timer(self, token, at):
        self.later(at, "on_timer", token)

    def set_deadline_timer(self, number, at):
        self.later(at, "on_deadline_passed", number)

    def watch(self, on=True):
        if on and not self.watching:
            self.watching = True
            self.fleet.list.call(self)

    def fetch_servers(self):
        self.fleet.list.call(self)

    def close_idle(self, index):
        pass  # the emulated network tells no more of a connection than of its server

    def send_peer_message(self, agent, message):
        pass

    def log_note(self, text):
        pass

    def log(self, message, fields):
        pass

    def log_violation(self, fields):
        self.fleet.judge.agents_said.append(fields)

    def taken(self, request_id, request_class, key, wait, repeat):
        request = Request(
            request_class,
            False,
            0,
            key,
            wait - MARGIN,
            repeat,
            b"POST",
            b"/",
            request_id.encode(),
            b"m",
            b"",
            b"",
        )
        self.dispatch("on_request", request_id, request)

    # Attempts

    def send_attempt(self, number, count, index, address, request, deadline):
        fleet = self.fleet
        attempt = self.attempts[number, count] = Attempt(
            request.id.decode(), request, fleet.servers[address], deadline
        )
        fleet.count["shots"] += 1
        fleet.count["crossings"] += attempt.server.zone != self.zone
        end = lambda result: self.ended(number, count, index, result)  # noqa: E731
        fleet.judge.attempt_sent(
            self.clock.now, self.number, attempt.name, count, address, fleet.world.zones[attempt.server.zone]
        )
        self.reducer.on_attempt_started(number, count, index, 0.0)
        self.connect(attempt, end)

    def connect(self, attempt, end, probe=False):
        """Up to where the last byte is written; `end` gets the result, once."""
        fleet, server, now = self.fleet, attempt.server, self.clock.now
        attempt.sent, terms = now, fleet.world.network
        self.clock.at(max(now, attempt.deadline), self.late, attempt, end)
        attempt.life, attempt.connected = server.life, self.take_idle(server)
        way = fleet.way(self.zone, server.zone)
        if way is None:  # cut off: nothing comes back
            return self.clock.after(terms.connect_s, self.broken, attempt, end, "never came up", True)
        if not server.up or not attempt.connected and server.open >= server.terms.connections:
            return self.clock.after(2 * way, self.broken, attempt, end, "refused", True)
        if not attempt.connected:
            server.open += 1
            server.shake()
            fleet.count["handshakes"] += 1
        attempt.connected = True
        self.clock.after(3 * way, self.write, attempt, end, probe)

    def take_idle(self, server) -> bool:
        """Whether a kept connection could be had; one from before the server started again is none."""
        kept = self.idle.get(server, [])
        while kept:
            if kept.pop()[1] == server.life:
                return True
        return False

    def tidy(self, server, age=IDLE - 1e-6):
        old = [each for each in self.idle.get(server, ()) if each[0] <= self.clock.now - age]
        server.open -= sum(life == server.life for _, life in old)
        self.idle[server] = [each for each in self.idle.get(server, ()) if each not in old]
        if not self.idle[server]:
            del self.idle[server]

    def write(self, attempt, end, probe):
        fleet, server = self.fleet, attempt.server
        if attempt.over:
            return
        if attempt.life != server.life:
            return self.broken(attempt, end, "reset")
        attempt.progress = Progress.WRITTEN
        work = fleet.work(attempt.request, probe)
        if server.started and server.warmth() < 1:
            fleet.judge.work_reached(self.clock.now, server, work, None if probe else self.number)
        kind = "" if probe else fleet.world.request_class[attempt.request.request_class].name
        attempt.job = Job(work, lambda status: self.back(attempt, end, status), request_class=kind)
        if fleet.way(self.zone, server.zone) is None:
            return
        if not server.take(attempt.job):
            attempt.job = None
            return self.back(attempt, end, 503)
        loss = max(fleet.world.network.loss, server.resets)
        if loss and not probe and fleet.random.random() < loss:
            self.clock.after(0.01, self.broken, attempt, end, "reset")

    def back(self, attempt, end, status):
        way = self.fleet.way(self.zone, attempt.server.zone)
        if way is not None and not attempt.over:
            self.clock.after(way, self.arrive, attempt, end, status)

    def arrive(self, attempt, end, status):
        if not attempt.over and attempt.life == attempt.server.life:
            attempt.progress = Progress.COMPLETE
            self.idle.setdefault(attempt.server, []).append((self.clock.now, attempt.life))
            self.clock.after(IDLE, self.tidy, attempt.server)
            attempt.connected = False
            end(self.result(attempt, FailureReason.ANSWERED, status, status == 503))

    def broken(self, attempt, end, detail, never_up=False):
        if not attempt.over:
            end(self.result(attempt, FailureReason.CONNECTION_BROKEN, detail=detail))

    def late(self, attempt, end):
        if not attempt.over:
            end(self.result(attempt, FailureReason.TIMED_OUT))

    def result(self, attempt, reason, status=0, not_processed=False, detail=""):
        attempt.over = True
        if reason is not FailureReason.ANSWERED:
            self.leave(attempt)
        return AttemptResult(
            reason, attempt.progress, self.clock.now - attempt.sent, status, not_processed, detail=detail
        )

    def leave(self, attempt):
        """Closes its connection, which is all that a server sees of an attempt given up."""
        if attempt.connected and attempt.life == attempt.server.life:
            attempt.server.open -= 1
            if attempt.job:
                attempt.server.cancel(attempt.job)
        attempt.connected = False

    def ended(self, number, count, index, result):
        attempt = self.attempts.pop((number, count))
        if not self.lives:
            return
        written = result.progress >= Progress.WRITTEN
        refused = result.reason is FailureReason.ANSWERED and result.not_processed
        self.fleet.judge.attempt_ended(attempt.name, count, refused or not written)
        self.dispatch("on_attempt_ended", number, index, count, result)

    def cancel(self, number, count):
        attempt = self.attempts.get((number, count))
        if attempt and not attempt.over:
            index = next(i for i, each in self.reducer.servers.items() if each.address == attempt.server.name)
            result = self.result(attempt, FailureReason.CANCELLED)
            self.clock.after(0.0, self.ended, number, count, index, result)

    def probe(self, index, address):
        server, life = self.fleet.servers[address], self.life
        attempt = Attempt("", None, server, self.clock.now + 2 * self.fleet.world.network.connect_s)
        server.probes += 1
        self.fleet.count["probes"] += 1
        self.connect(
            attempt,
            lambda result: self.lives
            and life == self.life
            and self.dispatch("on_probe_ended", index, result),
            probe=True,
        )

    # The list

    def told(self, line):
        self.fleet.judge.agent_told(
            self.clock.now, self.number, line.name, line.state == "active", line.started_ms / 1e3
        )

    def heard(self, server_list: ServerList | None):
        """Of a call or a watch; None: it failed."""
        if not self.lives:
            return
        if server_list is None:
            self.watching = False
            return self.dispatch("on_watch_failed")
        if not server_list.entries and not server_list.is_complete:
            return self.dispatch("on_watch_established")
        lines = {} if server_list.is_complete else {line.name: line for line in self.known.entries}
        gone = set(line.name for line in self.known.entries) - {line.name for line in server_list.entries}
        for line in server_list.entries:
            self.told(line)
            lines.pop(line.name, None)
            if line.state != "left":
                lines[line.name] = line
        if server_list.is_complete:
            for name in sorted(gone):
                self.told(ServerEntry(name, state="left"))
        self.known = ServerList(server_list.version, True, tuple(lines.values()))
        self.dispatch("on_server_list", server_list)
