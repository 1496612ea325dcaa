"""An agent of the emulated fleet: the real reducer, with a simulated network in place of sockets.

It carries out the reducer's effects, as effects.py does on sockets, and reports to the rule checker what
passes over the network. It must never decide anything, nor pass the agent's state to the checker.
"""

from msgspec import convert

from cartdeal.agent.configuration import AgentConfiguration, Limits, ServerEntry, ServerList
from cartdeal.agent.reducer import AttemptEndReason, AttemptResult, Progress, Reducer, Request
from cartdeal.emulator.servers import Job
from cartdeal.emulator.world import agent_settings
from cartdeal.settings import Settings

DEADLINE_MARGIN_S = 0.01  # taken off each request's timeout, as agent/front.py does
IDLE_TIMEOUT_S = 6.0  # after which an idle connection is closed


class Attempt:
    """An attempt or a probe on its way to a server."""

    def __init__(self, name, request, server, deadline):
        self.name, self.request, self.server, self.deadline = name, request, server, deadline
        self.progress, self.is_over, self.job, self.is_connected = Progress.NOT_CONNECTED, False, None, False
        self.sent_at = 0.0


class SimulatedAgent:
    """One agent, which may be killed and started again; `generation` counts its starts."""

    def __init__(self, fleet, number, zone, make_reducer=Reducer):
        self.fleet, self.clock, self.number, self.zone = fleet, fleet.clock, number, zone
        self.make_reducer, self.generation, self.is_running, self.arrival_count = make_reducer, 0, False, 0
        self.known_servers = ServerList()
        self.is_watching = False
        self.attempts, self.idle_connections = {}, {}

    # Start, stop and events

    def start(self):
        """Starts the agent with a new reducer, which knows the last server list that the agent received."""
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
        """Kills the agent: its connections and its watch end."""
        self.is_running = False
        self.fleet.rule_checker.on_agent_killed(self.number)
        for attempt in self.attempts.values():
            attempt.is_over = True
            self.close_connection(attempt)
        for server in list(self.idle_connections):
            self.close_expired(server, 0.0)
        self.fleet.discovery.remove_watcher(self)

    def dispatch(self, event, *args):
        """Has the reducer handle one event, and carries out its effects."""
        self.reducer.now = self.clock.now
        getattr(self.reducer, event)(*args)
        self.run_effects()

    def dispatch_at(self, time, event, *args):
        """Dispatches an event at a time, unless the agent has ended by then."""
        generation = self.generation
        self.clock.at(
            time, lambda: self.is_running and self.generation == generation and self.dispatch(event, *args)
        )

    def run_effects(self):
        """Calls the method of each effect that the reducer has asked for."""
        effects, self.reducer.effects = self.reducer.effects, []
        for handler, *args in effects:
            getattr(self, handler)(*args)

    # Effects of the reducer

    def request_accepted(self, request_id, number):
        """Does nothing: the fleet identifies a request by its id alone."""

    def refuse_request(self, request_id, status, detail):
        """Answers a request that the reducer did not accept."""
        self.fleet.on_answer(request_id, status, 0.0)

    def answer(self, request_id, status, content_type, body, retry_after):
        """Answers a request; `retry_after` is in seconds."""
        self.fleet.on_answer(request_id, status, retry_after)

    def set_timer(self, token, at):
        """Sets a timer of the reducer."""
        self.dispatch_at(at, "on_timer", token)

    def set_deadline_timer(self, number, at):
        """Sets the timer of a request's deadline."""
        self.dispatch_at(at, "on_deadline_passed", number)

    def watch(self, is_on=True):
        """Starts a watch of the server list, if there is none."""
        if is_on and not self.is_watching:
            self.is_watching = True
            self.fleet.discovery.on_call(self)

    def fetch_servers(self):
        """Fetches the server list."""
        self.fleet.discovery.on_call(self)

    def close_idle(self, index):
        """Does nothing: idle connections of a server close with it or after IDLE_TIMEOUT_S."""

    def send_peer_message(self, agent, message):
        """Does nothing: the emulated agents have no peers."""

    def log_note(self, text):
        """Does nothing: the emulator keeps no log."""

    def log(self, message, fields):
        """Does nothing: the emulator keeps no log."""

    def log_violation(self, fields):
        """Passes on a violation that the agent's own checks found."""
        self.fleet.rule_checker.agent_violations.append(fields)

    def accept_request(self, request_id, request_class, key, timeout, is_retry):
        """Has the reducer handle a client's request, with a timeout in seconds."""
        request = Request(
            request_class,
            False,
            0,
            key,
            timeout - DEADLINE_MARGIN_S,
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
        """Sends an attempt of a request to a server."""
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

    def connect(self, attempt, on_result, is_probe=False):
        """Takes an idle connection or opens one, and writes the request; `on_result` gets one result."""
        fleet, server, now = self.fleet, attempt.server, self.clock.now
        attempt.sent_at, network = now, fleet.world.network
        self.clock.at(max(now, attempt.deadline), self.on_timeout, attempt, on_result)
        attempt.generation, attempt.is_connected = server.generation, self.take_idle(server)
        delay = fleet.one_way_delay(self.zone, server.zone)
        if delay is None:  # the server is cut off
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
        self.clock.after(3 * delay, self.write, attempt, on_result, is_probe)

    def take_idle(self, server) -> bool:
        """Takes an idle connection to the server; false if none was made since the server started."""
        connections = self.idle_connections.get(server, [])
        while connections:
            if connections.pop()[1] == server.generation:
                return True
        return False

    def close_expired(self, server, age=IDLE_TIMEOUT_S - 1e-6):
        """Closes connections to the server that have been idle for `age` seconds."""
        expired = [each for each in self.idle_connections.get(server, ()) if each[0] <= self.clock.now - age]
        server.open_connections -= sum(generation == server.generation for _, generation in expired)
        self.idle_connections[server] = [
            each for each in self.idle_connections.get(server, ()) if each not in expired
        ]
        if not self.idle_connections[server]:
            del self.idle_connections[server]

    def write(self, attempt, on_result, is_probe):
        """Delivers the whole request to the server, which queues it or answers 503."""
        fleet, server = self.fleet, attempt.server
        if attempt.is_over:
            return
        if attempt.generation != server.generation:
            return self.on_connection_broken(attempt, on_result, "reset")
        attempt.progress = Progress.WRITTEN
        work = fleet.draw_work(attempt.request, is_probe)
        if server.started and server.capacity_share() < 1:
            fleet.rule_checker.on_work_at_cold_server(
                self.clock.now, server, work, None if is_probe else self.number
            )
        class_name = "" if is_probe else fleet.world.request_class[attempt.request.request_class].name
        attempt.job = Job(
            work, lambda status: self.send_answer(attempt, on_result, status), request_class=class_name
        )
        if fleet.one_way_delay(self.zone, server.zone) is None:
            return
        if not server.accept(attempt.job):
            attempt.job = None
            return self.send_answer(attempt, on_result, 503)
        reset_rate = max(fleet.world.network.loss, server.reset_rate)
        if reset_rate and not is_probe and fleet.random.random() < reset_rate:
            self.clock.after(0.01, self.on_connection_broken, attempt, on_result, "reset")

    def send_answer(self, attempt, on_result, status):
        """Sends the server's answer to the agent, unless they are cut off."""
        delay = self.fleet.one_way_delay(self.zone, attempt.server.zone)
        if delay is not None and not attempt.is_over:
            self.clock.after(delay, self.on_answer_received, attempt, on_result, status)

    def on_answer_received(self, attempt, on_result, status):
        """Ends the attempt with an answer; its connection becomes idle."""
        if not attempt.is_over and attempt.generation == attempt.server.generation:
            attempt.progress = Progress.COMPLETE
            self.idle_connections.setdefault(attempt.server, []).append((self.clock.now, attempt.generation))
            self.clock.after(IDLE_TIMEOUT_S, self.close_expired, attempt.server)
            attempt.is_connected = False
            on_result(self.make_result(attempt, AttemptEndReason.ANSWERED, status, status == 503))

    def on_connection_broken(self, attempt, on_result, detail, is_never_connected=False):
        """Ends the attempt because its connection broke or was never made."""
        if not attempt.is_over:
            on_result(self.make_result(attempt, AttemptEndReason.CONNECTION_BROKEN, detail=detail))

    def on_timeout(self, attempt, on_result):
        """Ends the attempt at its deadline."""
        if not attempt.is_over:
            on_result(self.make_result(attempt, AttemptEndReason.TIMED_OUT))

    def make_result(self, attempt, reason, status=0, not_processed=False, detail=""):
        """Marks the attempt as over, closes its connection unless it was answered, and returns its result."""
        attempt.is_over = True
        if reason is not AttemptEndReason.ANSWERED:
            self.close_connection(attempt)
        return AttemptResult(
            reason, attempt.progress, self.clock.now - attempt.sent_at, status, not_processed, detail=detail
        )

    def close_connection(self, attempt):
        """Closes the attempt's connection; by this alone the server learns that the attempt was abandoned."""
        if attempt.is_connected and attempt.generation == attempt.server.generation:
            attempt.server.open_connections -= 1
            if attempt.job:
                attempt.server.cancel(attempt.job)
        attempt.is_connected = False

    def on_attempt_ended(self, number, attempt_number, index, result):
        """Reports the end of an attempt to the rule checker and to the reducer."""
        attempt = self.attempts.pop((number, attempt_number))
        if not self.is_running:
            return
        is_written = result.progress >= Progress.WRITTEN
        is_refused = result.reason is AttemptEndReason.ANSWERED and result.not_processed
        self.fleet.rule_checker.on_attempt_ended(attempt.name, attempt_number, is_refused or not is_written)
        self.dispatch("on_attempt_ended", number, index, attempt_number, result)

    def cancel(self, number, attempt_number):
        """Cancels an attempt, if it has not ended."""
        attempt = self.attempts.get((number, attempt_number))
        if attempt and not attempt.is_over:
            index = next(
                index for index, each in self.reducer.servers.items() if each.address == attempt.server.name
            )
            result = self.make_result(attempt, AttemptEndReason.CANCELLED)
            self.clock.after(0.0, self.on_attempt_ended, number, attempt_number, index, result)

    def probe(self, index, address):
        """Sends a probe to a server."""
        server, generation = self.fleet.servers[address], self.generation
        attempt = Attempt("", None, server, self.clock.now + 2 * self.fleet.world.network.connect_s)
        server.probe_count += 1
        self.fleet.counts["probes"] += 1
        self.connect(
            attempt,
            lambda result: self.is_running
            and generation == self.generation
            and self.dispatch("on_probe_ended", index, result),
            is_probe=True,
        )

    # The server list

    def report_received_state(self, entry):
        """Tells the rule checker that the agent received a server's entry."""
        self.fleet.rule_checker.on_server_state_received(
            self.clock.now, self.number, entry.name, entry.state == "active", entry.started_ms / 1e3
        )

    def on_discovery_answer(self, server_list: ServerList | None):
        """Takes a list from a call or a watch, or None if it failed."""
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
