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

DEADLINE_MARGIN_S = 0.01  # kept free of a request_id's time, as the front does
IDLE_TIMEOUT_S = 6.0  # how long a connection is kept


class Attempt:
    def __init__(self, name, request, server, deadline):
        self.name, self.request, self.server, self.deadline = name, request, server, deadline
        self.progress, self.is_over, self.job, self.is_connected = Progress.NOT_CONNECTED, False, None, False
        self.sent_at = 0.0


class SimulatedAgent:
    def __init__(self, fleet, number, zone, make_reducer=Reducer):
        self.fleet, self.clock, self.number, self.zone = fleet, fleet.clock, number, zone
        self.make_reducer, self.generation, self.is_running, self.arrival_count = (
            make_reducer,
            0,
            False,
            0,
        )  # came: arrivals so far
        self.known_servers = ServerList()
        self.is_watching = False
        self.attempts, self.idle_connections = {}, {}

    # Its life

    def start(self):
        world = self.fleet.world
        self.generation, self.is_running, self.is_watching = self.generation + 1, True, False
        self.attempts, self.idle_connections = {}, {}
        settings = convert(agent_settings(world, self.number, self.zone), Settings)
        seed = self.fleet.seed * 1000003 + self.number * 101 + self.generation
        config = AgentConfiguration(
            "", ("", 0), ("", 0), seed, Limits(), None, (), None, self.known_servers, settings
        )
        for entry in self.known_servers.entries:
            self.report_received_state(entry)
        self.reducer = self.make_reducer(config, self.clock.now, self.clock.now)
        self.run_effects()

    def stop(self):
        self.is_running = False
        self.fleet.rule_checker.on_agent_killed(self.number)
        for attempt in self.attempts.values():
            attempt.is_over = True
            self.close_connection(attempt)
        for server in list(self.idle_connections):
            self.close_expired(server, 0.0)
        self.fleet.discovery.remove_watcher(self)

    def dispatch(self, event, *args):
        self.reducer.now = self.clock.now
        getattr(self.reducer, event)(*args)
        self.run_effects()

    def dispatch_at(self, time, event, *args):
        generation = self.generation
        self.clock.at(
            time, lambda: self.is_running and self.generation == generation and self.dispatch(event, *args)
        )

    def run_effects(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for handler, *args in effects:
            getattr(self, handler)(*args)

    # What the reducer asks for

    def request_accepted(self, request_id, number):
        pass  # the fleet knows a request_id by its id

    def refuse_request(self, request_id, status, detail):
        self.fleet.on_answer(request_id, status, 0.0)

    def answer(self, request_id, status, content_type, body, wait):
        self.fleet.on_answer(request_id, status, wait)

    def set_timer(self, token, at):
        self.dispatch_at(at, "on_timer", token)

    def set_deadline_timer(self, number, at):
        self.dispatch_at(at, "on_deadline_passed", number)

    def watch(self, is_on=True):
        if is_on and not self.is_watching:
            self.is_watching = True
            self.fleet.discovery.on_call(self)

    def fetch_servers(self):
        self.fleet.discovery.on_call(self)

    def close_idle(self, index):
        pass  # the emulated network tells no more of a connection than of its server

    def send_peer_message(self, agent, message):
        pass

    def log_note(self, text):
        pass

    def log(self, message, fields):
        pass

    def log_violation(self, fields):
        self.fleet.rule_checker.agent_violations.append(fields)

    def accept_request(self, request_id, request_class, key, wait, is_retry):
        request = Request(
            request_class,
            False,
            0,
            key,
            wait - DEADLINE_MARGIN_S,
            is_retry,
            b"POST",
            b"/",
            request_id.encode(),
            b"m",
            b"",
            b"",
        )
        self.dispatch("on_request", request_id, request)

    # Attempts

    def send_attempt(self, number, attempt_number, index, address, request, deadline):
        fleet = self.fleet
        attempt = self.attempts[number, attempt_number] = Attempt(
            request.id.decode(), request, fleet.servers[address], deadline
        )
        fleet.counts["shots"] += 1
        fleet.counts["crossings"] += attempt.server.zone != self.zone
        on_result = lambda result: self.on_attempt_ended(number, attempt_number, index, result)  # noqa: E731
        fleet.rule_checker.on_attempt_sent(
            self.clock.now,
            self.number,
            attempt.name,
            attempt_number,
            address,
            fleet.world.zones[attempt.server.zone],
        )
        self.reducer.on_attempt_started(number, attempt_number, index, 0.0)
        self.connect(attempt, on_result)

    def connect(self, attempt, on_result, probe=False):
        """Up to where the last byte is written; `end` gets the result, once."""
        fleet, server, now = self.fleet, attempt.server, self.clock.now
        attempt.sent_at, network = now, fleet.world.network
        self.clock.at(max(now, attempt.deadline), self.on_timeout, attempt, on_result)
        attempt.generation, attempt.is_connected = server.generation, self.take_idle(server)
        delay = fleet.one_way_delay(self.zone, server.zone)
        if delay is None:  # cut off: nothing comes back
            return self.clock.after(
                network.connect_s, self.on_connection_broken, attempt, on_result, "never came up", True
            )
        if (
            not server.is_up
            or not attempt.is_connected
            and server.open_connections >= server.settings.connections
        ):
            return self.clock.after(2 * delay, self.on_connection_broken, attempt, on_result, "refused", True)
        if not attempt.is_connected:
            server.open_connections += 1
            server.start_handshake()
            fleet.counts["handshakes"] += 1
        attempt.is_connected = True
        self.clock.after(3 * delay, self.write, attempt, on_result, probe)

    def take_idle(self, server) -> bool:
        """Whether a kept connection could be had; one from before the server started again is none."""
        connections = self.idle_connections.get(server, [])
        while connections:
            if connections.pop()[1] == server.generation:
                return True
        return False

    def close_expired(self, server, age=IDLE_TIMEOUT_S - 1e-6):
        old = [each for each in self.idle_connections.get(server, ()) if each[0] <= self.clock.now - age]
        server.open_connections -= sum(generation == server.generation for _, generation in old)
        self.idle_connections[server] = [
            each for each in self.idle_connections.get(server, ()) if each not in old
        ]
        if not self.idle_connections[server]:
            del self.idle_connections[server]

    def write(self, attempt, on_result, probe):
        fleet, server = self.fleet, attempt.server
        if attempt.is_over:
            return
        if attempt.generation != server.generation:
            return self.on_connection_broken(attempt, on_result, "reset")
        attempt.progress = Progress.WRITTEN
        work = fleet.draw_work(attempt.request, probe)
        if server.started and server.capacity_share() < 1:
            fleet.rule_checker.on_work_at_cold_server(
                self.clock.now, server, work, None if probe else self.number
            )
        class_name = "" if probe else fleet.world.request_class[attempt.request.request_class].name
        attempt.job = Job(
            work, lambda status: self.send_answer(attempt, on_result, status), request_class=class_name
        )
        if fleet.one_way_delay(self.zone, server.zone) is None:
            return
        if not server.accept(attempt.job):
            attempt.job = None
            return self.send_answer(attempt, on_result, 503)
        loss = max(fleet.world.network.loss, server.reset_rate)
        if loss and not probe and fleet.random.random() < loss:
            self.clock.after(0.01, self.on_connection_broken, attempt, on_result, "reset")

    def send_answer(self, attempt, on_result, status):
        delay = self.fleet.one_way_delay(self.zone, attempt.server.zone)
        if delay is not None and not attempt.is_over:
            self.clock.after(delay, self.on_answer_received, attempt, on_result, status)

    def on_answer_received(self, attempt, on_result, status):
        if not attempt.is_over and attempt.generation == attempt.server.generation:
            attempt.progress = Progress.COMPLETE
            self.idle_connections.setdefault(attempt.server, []).append((self.clock.now, attempt.generation))
            self.clock.after(IDLE_TIMEOUT_S, self.close_expired, attempt.server)
            attempt.is_connected = False
            on_result(self.make_result(attempt, FailureReason.ANSWERED, status, status == 503))

    def on_connection_broken(self, attempt, on_result, detail, never_up=False):
        if not attempt.is_over:
            on_result(self.make_result(attempt, FailureReason.CONNECTION_BROKEN, detail=detail))

    def on_timeout(self, attempt, on_result):
        if not attempt.is_over:
            on_result(self.make_result(attempt, FailureReason.TIMED_OUT))

    def make_result(self, attempt, reason, status=0, not_processed=False, detail=""):
        attempt.is_over = True
        if reason is not FailureReason.ANSWERED:
            self.close_connection(attempt)
        return AttemptResult(
            reason, attempt.progress, self.clock.now - attempt.sent_at, status, not_processed, detail=detail
        )

    def close_connection(self, attempt):
        """Closes its connection, which is all that a server sees of an attempt given up."""
        if attempt.is_connected and attempt.generation == attempt.server.generation:
            attempt.server.open_connections -= 1
            if attempt.job:
                attempt.server.cancel(attempt.job)
        attempt.is_connected = False

    def on_attempt_ended(self, number, attempt_number, index, result):
        attempt = self.attempts.pop((number, attempt_number))
        if not self.is_running:
            return
        is_written = result.progress >= Progress.WRITTEN
        is_refused = result.reason is FailureReason.ANSWERED and result.not_processed
        self.fleet.rule_checker.on_attempt_ended(attempt.name, attempt_number, is_refused or not is_written)
        self.dispatch("on_attempt_ended", number, index, attempt_number, result)

    def cancel(self, number, attempt_number):
        attempt = self.attempts.get((number, attempt_number))
        if attempt and not attempt.is_over:
            index = next(i for i, each in self.reducer.servers.items() if each.address == attempt.server.name)
            result = self.make_result(attempt, FailureReason.CANCELLED)
            self.clock.after(0.0, self.on_attempt_ended, number, attempt_number, index, result)

    def probe(self, index, address):
        server, generation = self.fleet.servers[address], self.generation
        attempt = Attempt("", None, server, self.clock.now + 2 * self.fleet.world.network.connect_s)
        server.probe_count += 1
        self.fleet.counts["probes"] += 1
        self.connect(
            attempt,
            lambda result: self.is_running
            and generation == self.generation
            and self.dispatch("on_probe_ended", index, result),
            probe=True,
        )

    # The list

    def report_received_state(self, entry):
        self.fleet.rule_checker.on_server_state_received(
            self.clock.now, self.number, entry.name, entry.state == "active", entry.started_ms / 1e3
        )

    def on_discovery_answer(self, server_list: ServerList | None):
        """Of a call or a watch; None: it failed."""
        if not self.is_running:
            return
        if server_list is None:
            self.is_watching = False
            return self.dispatch("on_watch_failed")
        if not server_list.entries and not server_list.is_complete:
            return self.dispatch("on_watch_established")
        entries = (
            {} if server_list.is_complete else {entry.name: entry for entry in self.known_servers.entries}
        )
        removed_names = set(entry.name for entry in self.known_servers.entries) - {
            entry.name for entry in server_list.entries
        }
        for entry in server_list.entries:
            self.report_received_state(entry)
            entries.pop(entry.name, None)
            if entry.state != "left":
                entries[entry.name] = entry
        if server_list.is_complete:
            for name in sorted(removed_names):
                self.report_received_state(ServerEntry(name, state="left"))
        self.known_servers = ServerList(server_list.version, True, tuple(entries.values()))
        self.dispatch("on_server_list", server_list)
