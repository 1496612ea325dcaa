"""The in-memory fleet: the same nodes by the emulator's clock, with a network that drops, delays, doubles,
reorders and cuts one way, clocks apart, and agents that are killed, stopped and started from nothing.

Messages go through wire.py as they do on sockets. It must never use another path into a node than its events,
nor hand the judge what a node thinks.
"""

from collections import Counter
from typing import NamedTuple

import msgspec

from cartdeal.fleet import codec
from cartdeal.fleet.effects import DeliverDecision, SendMessage
from cartdeal.fleet.idempotency import AdmissionDecision, AdmissionRequest
from cartdeal.fleet.node import Node
from cartdeal.fleet.settings import FleetSettings
from cartdeal.fleet.simulation.invariant_checker import InvariantChecker
from cartdeal.simulated_time import SimulatedClock, seeded_random

MAX_HELD_EVENTS = 2_000  # messages that the sockets of a stopped agent hold
CELLS = 2  # of each zone, where servers stand


class NetworkConditions(msgspec.Struct):
    """What the network does to messages; shares 0 to 1, times in seconds."""

    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    least_s: float = 0.001
    jitter_s: float = 0.002
    late_rate: float = 0.0  # so many messages ...
    max_late_s: float = 5.0  # ... come up to so late


class Client(NamedTuple):
    """One that wants one effect and comes again when its agent dies or turns it back."""

    intent: str
    question: AdmissionRequest
    tries: int
    agents: tuple[str, ...]
    work_s: float
    patience_s: float


class SimulatedHost:
    """Where an agent runs: its process, its clocks, its sockets."""

    def __init__(self, fleet, settings: FleetSettings):
        self.fleet, self.settings = fleet, settings
        self.node: Node | None = None
        self.starts, self.stopped, self.held = 0, False, []
        self.rate, self.wall_offset_s = 1.0, 0.0  # of its monotonic clock; of its wall clock
        self.born = 0.0
        self.tickets: dict[int, tuple] = {}
        self.asked: dict[int, float] = {}  # tickets that wait for the fleet's word, since when
        self.issued = 0

    @property
    def runs(self) -> bool:
        return self.node is not None and not self.stopped

    def clocks(self, node: Node):
        node.now = max(node.now, 1000.0 + (self.fleet.clock.now - self.born) * self.rate)
        node.wall = 1_700_000_000.0 + self.fleet.clock.now + self.wall_offset_s

    def start(self):
        fleet = self.fleet
        self.starts, self.stopped, self.born, self.held = self.starts + 1, False, fleet.clock.now, []
        self.tickets = {}
        wall = 1_700_000_000.0 + fleet.clock.now + self.wall_offset_s
        fleet.checker.started(self.settings.name, fleet.clock.now, self.settings.reads)
        make = fleet.node_factories.get(self.settings.name, Node)
        self.node = make(self.settings, f"{fleet.seed}/{self.starts}", 1000.0, wall)
        self.carry_out(self.node)
        self.tick(self.node)

    def kill(self):
        if self.node is None:
            return
        self.fleet.checker.died(self.settings.name, self.fleet.clock.now)
        self.node, self.stopped, self.held, self.asked = None, False, [], {}
        for client, tries in list(self.tickets.values()):
            self.fleet.broke_off(client, tries, self.settings.name)
        self.tickets = {}

    def stop(self):
        self.stopped, self.asked = True, {}

    def go_on(self):
        self.stopped, held, self.held = False, self.held, []
        if self.node:
            for do, *args in held:
                do(*args)
            self.tick(self.node, once=True)

    def tick(self, node: Node, once: bool = False):
        if self.node is not node:
            return
        if not self.stopped:
            self.play(node.tick)
        if not once:
            pause = self.settings.tick_s * (0.9 + 0.2 * self.fleet.random.random()) / self.rate
            self.fleet.clock.after(pause, self.tick, node)

    def play(self, event, *args):
        """One event into the node. One that is stopped gets it when it goes on."""
        node = self.node
        if node is None:
            return
        if self.stopped:
            if len(self.held) < MAX_HELD_EVENTS:
                self.held.append((self.play, event, *args))
            return
        self.clocks(node)
        event(*args)
        self.carry_out(node)

    def carry_out(self, node: Node):
        effects, node.effects = node.effects, []
        for effect in effects:
            if type(effect) is SendMessage:
                self.fleet.carry(self, node, effect.recipient, effect.address, effect.message)
            elif type(effect) is DeliverDecision:
                self.fleet.decided(
                    self, effect.ticket, effect.decision, effect.retry_after_s, effect.earlier_attempts
                )
            else:
                event = effect.event
                self.fleet.events.append((self.fleet.clock.now, self.settings.name, event))
                self.fleet.event_counts[event.MESSAGE] += 1


class InMemoryFleet:
    """A fleet. `settings` is what all share; each agent gets its own name, zone, capacity."""

    def __init__(self, settings: FleetSettings, seed: int, weather: NetworkConditions | None = None):
        self.settings, self.seed, self.clock = settings, seed, SimulatedClock()
        self.random, self.fates = seeded_random(seed, "fleet"), seeded_random(seed, "weather")
        self.conditions = weather or NetworkConditions()
        self.checker = InvariantChecker(settings)
        self.node_factories = {}  # name -> what makes its node, in place of Node
        self.hosts: dict[str, SimulatedHost] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to) that nothing passes
        self.count, self.event_counts, self.events = Counter(), Counter(), []
        self.bytes = Counter()
        self.outcomes: dict[str, list[str]] = {}
        self.waits: list[float] = []
        self.intents = 0

    # Agents

    def add(self, name: str, zone: str = "", start: bool = True, **changes) -> SimulatedHost:
        settings = msgspec.structs.replace(
            self.settings, name=name, address=f"10.0.0.1:{len(self.hosts) + 1}", zone=zone, **changes
        )
        self.hosts[name] = host = SimulatedHost(self, settings)
        if start:
            host.start()
        return host

    def kill(self, name):
        self.hosts[name].kill()

    def start(self, name, **changes):
        host = self.hosts[name]
        host.settings = msgspec.structs.replace(host.settings, **changes)
        host.start()

    def leave(self, name):
        """SIGTERM: it hands over, says goodbye, and ends."""
        host = self.hosts[name]
        host.play(host.node.begin_shutdown)
        self.clock.after(1.0, self.part, host, host.node)

    def part(self, host, node):
        if host.node is node:
            host.play(node.finish_shutdown)
            self.clock.after(0.1, lambda: host.node is node and host.kill())

    def stop(self, name, seconds: float):
        """SIGSTOP, and later SIGCONT: it goes on as if nothing had been."""
        host = self.hosts[name]
        host.stop()
        self.clock.after(seconds, lambda node: host.node is node and host.go_on(), host.node)

    def set_capacity(self, name, capacity: float):
        host = self.hosts[name]
        host.settings = msgspec.structs.replace(host.settings, capacity=capacity)
        if host.node:
            host.play(lambda: host.node.membership.update_self(capacity=capacity))

    def cut(self, *sides):
        """Nothing passes between the sides, either way."""
        for here in sides:
            for there in sides:
                if here is not there:
                    self.cuts |= {(a, b) for a in here for b in there}

    def cut_inbound(self, speakers, listeners):
        """One way: listeners don't hear speakers."""
        self.cuts |= {(a, b) for a in speakers for b in listeners}

    def heal(self):
        self.cuts = set()

    def run(self, seconds: float):
        self.clock.run(self.clock.now + seconds)
        return self

    # The network

    def carry(self, host, node, to, address, message):
        weather, fates = self.conditions, self.fates
        raw = codec.encode(
            host.settings, node.name, node.incarnation, node.address, int(node.wall * 1e3), message
        )
        datagram = type(message).DATAGRAM
        self.count["messages"] += 1
        self.count[type(message).__struct_config__.tag] += 1
        self.bytes[node.name] += len(raw)
        self.checker.said(self.clock.now, node.name, node.incarnation, to, message)
        target = self.hosts.get(to)
        if (node.name, to) in self.cuts or target and target.stopped:
            self.checker.out_of_reach(self.clock.now)
        if target is None or target.settings.address != address or (node.name, to) in self.cuts:
            return
        for _ in range(1 + (fates.random() < weather.duplication_rate)):
            # A stream that breaks loses what is on its way, a datagram is just lost.
            if fates.random() < weather.loss_rate * (1.0 if datagram else 0.3):
                continue
            delay = weather.least_s + weather.jitter_s * fates.random()
            if weather.late_rate and fates.random() < weather.late_rate:
                delay += weather.max_late_s * fates.random()
            self.clock.after(delay, self.arrive, to, raw, target.starts, node.name)

    def arrive(self, to, raw, starts, sender):
        host = self.hosts[to]
        if host.node is None or (sender, to) in self.cuts:
            return
        heard = codec.decode(host.settings, raw)
        host.play(host.node.on_message, *heard)

    # Clients

    def submit(self, question: AdmissionRequest, agents, tries=1, work_s=0.05, patience_s=1.0) -> str:
        """A client wants one effect; it comes to the first of the agents, then to the next."""
        self.intents += 1
        intent = f"i{self.intents}"
        self.outcomes[intent] = []
        self.checker.intended(intent, question.repeat, question.group, question.window_s)
        self.come(Client(intent, question, tries, tuple(agents), work_s, patience_s), 0)
        return intent

    def submit_retry(self, intent: str, question: AdmissionRequest, agent: str, work_s=0.05, patience_s=1.0):
        """The client of an earlier request comes once more, at another agent."""
        self.come(Client(intent, question, 2, (agent, agent), work_s, patience_s), 1)

    def come(self, client: Client, turn: int):
        host = self.hosts[client.agents[turn % len(client.agents)]]
        if host.node is None:
            return self.broke_off(client, turn, host.settings.name)
        host.issued += 1
        ticket = host.issued
        host.tickets[ticket] = client, turn
        question = client.question
        if turn:
            question = msgspec.structs.replace(question, retried=True)
        node = host.node
        self.clock.after(client.patience_s, self.run_out, host, node, ticket)
        if not host.stopped:
            host.asked[ticket] = self.clock.now
        host.play(node.request_admission, ticket, question)

    def run_out(self, host, node, ticket):
        """The client waits no longer; it comes again elsewhere."""
        found = host.tickets.get(ticket) if host.node is node else None
        if found:
            del host.tickets[ticket]
            self.broke_off(*found, host.settings.name)

    def broke_off(self, client, turn, name):
        self.outcomes[client.intent].append("broke off")
        self.again(client, turn, 0.05)

    def again(self, client, turn, pause):
        if turn + 1 < client.tries:
            self.clock.after(pause, self.come, client, turn + 1)

    def decided(self, host, ticket, verdict, wait, earlier_attempts):
        if ticket in host.asked:
            self.waits.append(self.clock.now - host.asked.pop(ticket))
            self.checker.waited(host.settings.name, self.waits[-1])
        found = host.tickets.get(ticket)
        if found is None:
            # Its client went away; what the fleet's word is meets nobody.
            if verdict is AdmissionDecision.ADMIT:
                host.node.on_request_ended(ticket, "never")
                self.clock.after(0.0, self.flush, host, host.node)
            return
        client, turn = found
        if verdict is AdmissionDecision.ADMIT:
            self.checker.went_on(client.question.tenant, self.clock.now)
            if client.question.marked:
                key = f"s/{client.question.session}"
                self.checker.marked(
                    host.settings.name,
                    self.clock.now,
                    key,
                    client.question.key,
                    self.marks_at(host.node, key),
                )
            return self.clock.after(0.0, self.send_attempt, host, host.node, ticket, earlier_attempts)
        del host.tickets[ticket]
        self.checker.answered(client.intent, self.clock.now, host.settings.name, verdict.value)
        self.outcomes[client.intent].append(verdict.value)
        if verdict is not AdmissionDecision.FAIL:
            self.again(client, turn, max(0.01, wait))

    def flush(self, host, node):
        if host.node is node:
            host.carry_out(node)

    def send_attempt(self, host, node, ticket, earlier_attempts):
        """What the balancer would do, and the gate behind it: one attempt, within what it has to heed."""
        found = host.tickets.get(ticket) if host.node is node else None
        if found is None:
            return
        client, turn = found
        zone, cell = host.settings.zone, self.random.randrange(CELLS)
        for bound_zone, bound_cell, group, _ in earlier_attempts:
            if group == "zone":
                zone = bound_zone
            elif group == "cell":
                zone, cell = bound_zone, bound_cell
        good = all(
            group == "all" or zone == z and (group == "zone" or cell == c)
            for z, c, group, _ in earlier_attempts
        )
        good = good and node.wall * 1e3 <= min((each[3] for each in earlier_attempts), default=float("inf"))
        if not good or host.stopped:
            host.tickets.pop(ticket)
            host.play(node.on_request_ended, ticket, "never")
            self.outcomes[client.intent].append(AdmissionDecision.FAIL.value)
            return
        host.play(node.on_attempt_sent, ticket, zone, cell)
        self.checker.attempt(client.intent, self.clock.now, zone, cell, host.settings.name)
        self.clock.after(client.work_s, self.answer, host, node, ticket)

    def answer(self, host, node, ticket):
        found = host.tickets.pop(ticket, None) if host.node is node else None
        if found is None:
            if host.node is node:
                host.play(node.on_request_ended, ticket, "maybe")
            return
        client, _ = found
        host.play(node.on_request_ended, ticket, "answered")
        self.checker.answered(client.intent, self.clock.now, host.settings.name, "completed")
        self.outcomes[client.intent].append("completed")

    # What is looked at

    def nodes(self) -> dict[str, Node]:
        return {name: host.node for name, host in self.hosts.items() if host.runs}

    def has_one_ring(self) -> bool:
        rings = {
            node.ring and (node.ring.epoch, node.ring.members, node.ring.written_version, node.ring.phase)
            for node in self.nodes().values()
        }
        return len(rings) == 1 and None not in rings

    def run_until(self, found, most_s: float, step_s: float = 0.1) -> float:
        """Runs until `found()` and says how long that took; inf if it didn't come within `most_s`."""
        begun = self.clock.now
        while self.clock.now < begun + most_s:
            if found():
                return self.clock.now - begun
            self.run(step_s)
        return float("inf")

    def marks_at(self, node: Node, key: str) -> tuple[str, ...]:
        record = node.replica.store.get(key) if key in node.replica.store.records else None
        return tuple(record.attempts) if record else ()

    def copies(self) -> dict[str, dict[str, tuple[str, ...]]]:
        """Of each agent that runs, the marks in each session that it keeps."""
        return {
            name: {
                key: self.marks_at(node, key) for key in sorted(node.replica.store.records) if key[:2] == "s/"
            }
            for name, node in self.nodes().items()
        }

    def count_lost_records(self) -> int:
        """Marks that no agent has any more, and that are not over by any clock; the judge looks why."""
        wall = max((node.wall for node in self.nodes().values()), default=0.0)
        return self.checker.count_lost_records(self.copies(), self.clock.now, wall * 1e3)

    def replicas_agree(self) -> bool:
        """Whether each two agents have the same bytes of what both own."""
        nodes = self.nodes()
        return all(
            a.replica.owned_digest(x) == b.replica.owned_digest(y)
            for y, a in nodes.items()
            for x, b in nodes.items()
            if y < x
        )
