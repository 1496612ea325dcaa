"""All state of an agent: the requests that wait for an answer, the servers it has heard of, and the balancer
whose host it is.

One event comes in by one method; what it leads to stands in `effects` afterwards, for effects.py to carry
out. In a fleet (`longest_requests` is then given) a request waits for admission before the balancer has it,
and no attempt goes where an earlier one, at another agent, forbids it.
It must never do I/O, wait, read a clock or yield to another greenlet, and decides nothing the balancer can.
"""

from dataclasses import replace
from enum import IntEnum
from math import inf
from typing import NamedTuple

from cartdeal.agent.configuration import AgentConfiguration, ServerList
from cartdeal.agent.invariants import Invariant, InvariantMonitor, Place
from cartdeal.agent.metrics import Metrics
from cartdeal.agent.start_times import StartTimes
from cartdeal.balancer import Balancer
from cartdeal.balancer_types import (
    DeduplicationScope,
    Idempotency,
    ListedServer,
    LoadReport,
    Outcome,
    RequestClass,
    ServerState,
)

STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING}
ID_MEMORY = 5.0  # seconds for which a request's id is known, twice that at most
MOST_IDS = 1 << 15  # that are known at least, twice that at most; less long than ID_MEMORY where more come
MOST_ZONES = 64  # that are told apart, those of the settings among them
OVERDUE = 0.02  # how long after its deadline a request that the balancer forgot is answered all the same


class Progress(IntEnum):
    """How far an attempt had come."""

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    HEAD = 3
    WHOLE = 4


class FailureReason(IntEnum):
    """What ended an attempt."""

    ANSWERED = 0
    BROKEN = 1
    TIMED_OUT = 2
    GIVEN_UP = 3
    SPOILT = 4  # what came back can't be read, or can in two ways
    NO_CONNECTION = 5  # the agent's own limits left none for it
    NOT_BEGUN = 6  # what it was decided on no longer held when its first byte was due


class AttemptResult(NamedTuple):
    """How an attempt or a probe ended; `progress` alone tells whether it may have run."""

    reason: FailureReason
    progress: Progress
    took: float
    status: int = 0
    not_processed: bool = False
    kind: bytes = b""  # the body's content type
    body: bytes = b""
    report: bytes = b""  # what the server says of its load
    detail: str = ""

    def outcome(self) -> Outcome:
        written = self.progress >= Progress.WRITTEN
        if self.reason is FailureReason.ANSWERED:
            if self.status == 200:
                return Outcome.COMPLETED
            if 400 <= self.status < 500:
                return Outcome.UNUSABLE  # the request's fault, not the server's
            return Outcome.FULL if self.status in (503, 504) and self.not_processed else Outcome.ERROR
        # neither is the server's doing
        if self.reason in (FailureReason.GIVEN_UP, FailureReason.NO_CONNECTION, FailureReason.NOT_BEGUN):
            return Outcome.CANCELLED if written else Outcome.NEVER_SENT
        if not written:
            return Outcome.NOT_CONNECTED
        return Outcome.TIMED_OUT if self.reason is FailureReason.TIMED_OUT else Outcome.RESET


class Request(NamedTuple):
    """A request as the application asked it."""

    request_class: int
    non_idempotent: bool  # its form promises less than its request class: it may run once at most
    tenant: int
    key: int
    wait: float  # how long the client still waits, in seconds; none is left where it is not above 0
    repeat: bool
    method: bytes
    path: bytes
    id: bytes
    idempotency_key: bytes  # by which servers know a repeat
    kind: bytes
    body: bytes
    tenant_name: bytes = b""  # the tenant as the client names it


class PendingRequest:
    """A request that is not answered yet, or whose attempts are still out."""

    waits = False  # for admission
    earlier_attempts: tuple = ()  # of EarlierAttempt
    sent = 0  # attempts that were let out, but for those that provably never ran
    ran = served = False  # whether it may have run; whether its client had the answer

    def __init__(self, client, request: Request, deadline: float):
        self.client, self.request, self.deadline = client, request, deadline
        self.attempts, self.out = 0, 0
        self.last_outcome: Outcome | None = None
        self.chosen: dict[int, KnownServer] = {}  # by attempt that is out: what the list said of its server

    def ended_as(self) -> str:
        """How its last attempt that has ended did."""
        return self.last_outcome.value if self.last_outcome else "none"


class EarlierAttempt(NamedTuple):
    """An earlier attempt, at another agent, that may have run: others go to its group, before `until`."""

    zone: int
    cell: int
    group: DeduplicationScope
    until: float


class Past(NamedTuple):
    """Where an earlier attempt went, as the balancer looks at it."""

    zone: int
    cell: int


class OtherAttempts(NamedTuple):
    """A request's attempts but for one, as the balancer looks at them."""

    request_class: RequestClass
    possible_executions: dict


class KnownServer(NamedTuple):
    """What the list says of a server that the balancer has no use for."""

    address: str
    started: float


class Reducer:
    def __init__(
        self,
        config: AgentConfiguration,
        now: float,
        wall: float,
        longest_requests: tuple[float, ...] | None = None,
        metrics: Metrics | None = None,
    ):
        """`longest_requests`: by request class, the seconds that a request may last where admission control
        keeps idempotency records; None: there is none.
        """
        self.config, self.now, self.longest_requests = config, now, longest_requests
        self.start_times = StartTimes(now, wall)
        self.metrics = metrics or Metrics()
        self.monitor = InvariantMonitor(self.report_violation)
        self.effects = []
        self.count = 0
        self.end_at = inf  # when the agent is to have answered all
        self.requests: dict[int, PendingRequest] = {}
        # Those of ID_MEMORY seconds and of as many before: longer than any copy is on its way.
        self.ids, self.previous_ids, self.ids_until = set(), set(), now
        self.version = 0
        self.servers_named = 0  # servers so far: each gets an index of its own, which is never another's
        self.indices: dict[bytes, int] = {}  # these two hold a server until the list says that it is gone
        self.servers: dict[int, KnownServer] = {}
        self.zones = {name: place for place, name in enumerate(config.settings.zones)}
        settings = config.settings.balancer_settings(config.seed)
        # A second set, for requests whose form promises less than their request class: these may run once at
        # most.
        non_idempotent = tuple(
            each._replace(idempotency=Idempotency.NON_IDEMPOTENT) for each in settings.request_classes
        )
        self.balancer = Balancer(
            self, replace(settings, request_classes=settings.request_classes + non_idempotent)
        )
        self.balancer.on_transition = self.report_transition
        if not settings.polls_discovery:
            # The balancer asks for no list that comes unasked; here it comes by a watch that the host begins.
            self.watch()
        self.apply_list(config.known, fresh=False)

    @property
    def pending_count(self) -> int:
        return sum(each.client is not None for each in self.requests.values())

    @property
    def ready(self) -> bool:
        return bool(self.servers_named)

    # Events

    def taken(self, client, request: Request):
        if request.id in self.ids or request.id in self.previous_ids:
            # Whose it is can't be told: its answer, or its end, would be another request's.
            self.metrics.count("requests_with_a_known_id")
            return self.effects.append(("refuse", client, 409, "an X-Request-ID that was used just now"))
        if self.now > self.ids_until or len(self.ids) >= MOST_IDS:
            self.previous_ids, self.ids = self.ids, set()
            self.ids_until = self.now + ID_MEMORY
        self.ids.add(request.id)
        self.count += 1
        # A record that is over before its request is would let a repeat of it through.
        wait = (
            request.wait
            if self.longest_requests is None
            else min(request.wait, self.longest_requests[request.request_class])
        )
        number, deadline = self.count, min(self.now + wait, self.end_at)
        pending = self.requests[number] = PendingRequest(client, request, deadline)
        self.metrics.count("requests")
        # One whose time was over before its turn, behind others of its connection, can't be answered in time.
        due = max(deadline, self.now)
        self.monitor.request_taken(number, request.id, self.effective_class(request), due)
        self.effects.append(("begun", client, number))
        self.effects.append(("remind", number, deadline + OVERDUE))
        pending.waits = self.longest_requests is not None
        if pending.deadline <= self.now:  # it waited for those ahead of it, or the agent ends
            return self.overdue(number)
        if not pending.waits:
            return self.route(number, pending)
        self.effects.append(("admit", number, request, deadline))

    def class_index(self, request: Request) -> int:
        """The balancer's class of it: those that may run once at most come behind all others."""
        return request.request_class + request.non_idempotent * len(self.config.settings.request_classes)

    def effective_class(self, request: Request) -> RequestClass:
        return self.balancer.settings.request_classes[self.class_index(request)]

    def route(self, number: int, pending: PendingRequest):
        request = pending.request
        self.balancer.on_request(
            number, self.class_index(request), request.tenant, request.key, pending.deadline, request.repeat
        )

    def admitted(self, number: int, earlier_attempts: tuple):
        """Admission control lets it go on. Each earlier attempt: zone (by name), cell, group, until when."""
        pending = self.requests.get(number)
        if pending and pending.waits:
            pending.waits = False
            pending.earlier_attempts = tuple(
                EarlierAttempt(self.zones.get(zone, -1), cell, DeduplicationScope(group), until)
                for zone, cell, group, until in earlier_attempts
            )
            self.route(number, pending)

    def declined(self, number: int, status: int, wait: float):
        pending = self.requests.get(number)
        if pending and pending.waits:
            self.answer(number, status, b"", b"", wait)

    def client_disconnected(self, number: int):
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            pending.client = None
            self.metrics.count("clients_gone")
            self.log("client gone", pending.request, attempts=pending.attempts, out=pending.out)
            self.monitor.client_gone(number)
            self.drop(number, pending)
            self.balancer.on_client_disconnected(number)

    def attempt_begins(self, number: int, attempt: int, server: int, told: float):
        """The first byte of an attempt goes now; `told`: the seconds for which its server hears it is due."""
        where = self.balancer.servers.get(server)
        place = where and Place(where.zone, where.cell, where.state is ServerState.READY)
        self.metrics.count("attempts")
        self.monitor.attempt_begins(number, attempt, place, told, self.now)

    def attempt_ended(
        self, number: int, server: int, attempt: int, result: AttemptResult, load: LoadReport | None = None
    ):
        pending = self.requests.get(number)
        if pending is None:
            return
        pending.out -= 1
        outcome = pending.last_outcome = result.outcome()
        self.metrics.count("attempts_" + outcome.name.lower())
        self.monitor.attempt_ended(number, attempt, outcome.never_ran)
        if pending.chosen.pop(attempt, None) and outcome.never_ran:
            pending.sent -= 1  # else its client would be left in doubt for nothing once its time is over
        pending.ran = pending.ran or not outcome.never_ran
        if outcome is Outcome.COMPLETED and pending.client is not None:
            pending.served = True
            self.answer(number, 200, result.kind, result.body, 0.0)
        elif outcome is Outcome.UNUSABLE:
            self.answer(number, 400, b"", b"", 0.0)
        finished = pending.client is None
        self.drop(number, pending)
        self.balancer.on_attempt_ended(number, server, outcome, attempt, result.took, finished, load)

    def probe_ended(self, server: int, result: AttemptResult, load: LoadReport | None = None):
        self.balancer.on_probe_ended(server, result.outcome(), result.took, load)

    def woken(self, token: int):
        self.balancer.on_timer(token)

    def ending(self, end_at: float):
        """What is out by then is failed: an agent that is killed loses what it has not answered."""
        self.end_at = end_at
        for number, pending in self.requests.items():
            if pending.deadline > end_at:
                self.effects.append(("remind", number, end_at))

    def overdue(self, number: int):
        """The balancer answers every request; should a fault have kept it from it, this does."""
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            self.log_note(f"request {pending.request.id.decode('latin-1')} overdue")
            # What never went out may be asked again; to fail it would leave its client in doubt. But an
            # earlier try of one that still waits may have run at another agent: only the fleet would know.
            doubt = (
                pending.sent
                or pending.waits
                and self.repeat_of(pending.request) is not Idempotency.IDEMPOTENT
            )
            self.fail(number) if doubt else self.reject(number, 0.0)
            self.balancer.on_client_disconnected(number)

    def listed(self, server_list: ServerList, fresh: bool = True):
        """A list came from discovery; `fresh`: on the watch that stands."""
        self.apply_list(server_list, fresh)
        self.start_times.heard(self.now)

    def apply_list(self, server_list: ServerList, fresh: bool):
        self.version = server_list.version
        self.log_note(
            f"list {server_list.version}: {len(server_list.entries)} lines{' in all' * server_list.whole}"
        )
        gone = [line.name.encode() for line in server_list.entries if line.state == "left"]
        # Where an attempt may have run is its server's group of then: one in another group is another server.
        lines = [
            self.remove_server(line.name.encode()) for line in server_list.entries if self.changed_group(line)
        ]
        lines += [self.listing(line) for line in server_list.entries if line.state != "left"]
        if server_list.whole:
            here = {line.name for line in lines}
            gone += [name for name in self.indices if name not in here]
        lines += [self.remove_server(name) for name in gone if name in self.indices]
        self.balancer.on_server_list(lines, fresh)

    def watch_stands(self):
        """A watch was answered, with nothing new."""
        self.start_times.heard(self.now)
        self.balancer.on_server_list([], True)

    def watch_beat(self):
        """A watch that stands says that there is still nothing new."""
        self.start_times.heard(self.now)

    def watch_failed(self, silent: bool = False):
        """The watch ended or, `silent`, sent nothing for too long; or the call for one got no list."""
        self.balancer.on_watch_failed(silent)

    def discovery_moved(self):
        """The discovery service has another address."""
        self.balancer.on_discovery_moved()

    def told(self, sender: int, words: bytes):
        """Agents need no words from each other."""

    def remove_server(self, name: bytes) -> ListedServer:
        index = self.indices.pop(name)
        del self.servers[index]
        self.start_times.remove(name)
        self.close_idle(index)
        return ListedServer(index, name, 0, 0, 0, ServerState.GONE, 1.0, 0.0)

    def changed_group(self, line) -> bool:
        if line.state == "left":  # it may say no zone
            return False
        index = self.indices.get(line.name.encode())
        known = self.balancer.servers.get(index)
        return known is not None and (known.zone, known.cell) != (self.zone_of(line), line.cell)

    def listing(self, line) -> ListedServer:
        name = line.name.encode()
        if name not in self.indices:
            self.indices[name] = self.servers_named
            self.servers_named += 1
        index = self.indices[name]
        started = self.start_times.started_at(name, line.started, self.now)
        known = KnownServer(line.address, started)
        if self.servers.setdefault(index, known) != known:
            self.close_idle(index)  # a kept connection to what stood there before would cost an attempt
            self.servers[index] = known
        state = STATES.get(line.state, ServerState.DRAINING)
        zone = self.zone_of(line)
        if zone >= MOST_ZONES:
            state = ServerState.DRAINING  # among zones that are not told apart a repeat might run twice
        return ListedServer(index, name, zone, 0, line.cell, state, line.weight, started)

    def zone_of(self, line) -> int:
        """A zone's place; one that the settings don't name is another one than all that they do.

        Taken for one of these, its servers would be sent repeats that only the group of that zone drops.
        """
        if not self.config.settings.zones:
            return 0
        if line.zone not in self.zones and len(self.zones) < MOST_ZONES:
            self.log_note(f"zone {line.zone} is none of the settings'")
            self.zones[line.zone] = len(self.zones)
        return self.zones.get(line.zone, MOST_ZONES)

    # What the balancer asks for

    def send_attempt(self, request: int, server: int, deadline: float):
        pending = self.requests[request]
        attempt, pending.attempts = pending.attempts, pending.attempts + 1
        pending.out += 1
        if attempt:
            self.metrics.count("retries")
            self.log("request retried", pending.request, attempt=attempt, after=pending.ended_as())
        deadline = min(deadline, pending.deadline) if deadline else pending.deadline
        if self.longest_requests is not None:
            where = self.balancer.servers[server]
            if not all(self.within(each, where) for each in pending.earlier_attempts):
                return self.withhold(request, server, attempt, pending)
            zones = tuple(self.zones)
            self.effects.append(("went", request, zones[where.zone] if zones else "", where.cell))
        pending.sent += 1
        pending.chosen[attempt] = self.servers[server]
        self.effects.append(
            (
                "send_attempt",
                request,
                attempt,
                server,
                self.servers[server].address,
                pending.request,
                deadline,
            )
        )

    def may_begin(self, number: int, attempt: int, server: int) -> bool:
        """Whether an attempt that was asked for may still send its first byte, now.

        Connecting takes up to seconds. A request that is answered, or whose client has gone, wants nothing
        more; a server that drains, has gone, moved or started again since is not the one that was chosen; and
        an attempt that is harmless within a window must reach its server within it.
        """
        pending = self.requests.get(number)
        if pending is None or pending.client is None or self.now >= pending.deadline:
            return False
        where, known = self.balancer.servers.get(server), self.balancer.requests.get(number)
        if where is None or known is None or where.state is not ServerState.READY:
            return False
        if self.servers.get(server) != pending.chosen.get(attempt):
            return False
        others = {each: past for each, past in known.possible_executions.items() if each != attempt}
        return self.balancer.is_attempt_safe(
            OtherAttempts(known.request_class, others), where, self.now
        ) and all(self.within(each, where) for each in pending.earlier_attempts)

    def client_of(self, number: int):
        """Who waits for the request's answer; None where nobody does."""
        pending = self.requests.get(number)
        return pending and pending.client

    def withhold(self, request: int, server: int, attempt: int, pending: PendingRequest):
        """An attempt that could cause a second effect. It ends as one never sent, and the balancer learns of
        the earlier ones as of its own: it then looks for a server where a further one does no harm."""
        known = self.balancer.requests[request]
        for place, each in enumerate(pending.earlier_attempts):
            known.possible_executions[-1 - place] = (
                Past(each.zone, each.cell),
                each.until - known.request_class.deduplication_window,
            )
        unsent = AttemptResult(FailureReason.NO_CONNECTION, Progress.NOT_CONNECTED, 0.0)
        self.effects.append(("withhold", request, server, attempt, unsent))

    def within(self, earlier_attempts: EarlierAttempt, where) -> bool:
        """Whether an attempt there, now, fits the earlier one: servers of its group drop a repeat."""
        return self.now < earlier_attempts.until and (
            earlier_attempts.group is DeduplicationScope.ALL
            or where.zone == earlier_attempts.zone
            and (earlier_attempts.group is DeduplicationScope.ZONE or where.cell == earlier_attempts.cell)
        )

    def repeat_of(self, request: Request) -> Idempotency:
        return (
            Idempotency.NON_IDEMPOTENT
            if request.non_idempotent
            else self.balancer.settings.request_classes[request.request_class].idempotency
        )

    def reject(self, request: int, wait: float):
        pending = self.requests.get(request)
        if pending and not all(
            each.group is DeduplicationScope.ALL and self.now < each.until
            for each in pending.earlier_attempts
        ):
            return self.fail(request)  # its client would come again, to where it may run once more
        self.answer(request, 503, b"", b"", wait)

    def fail(self, request: int):
        self.answer(request, 502, b"", b"", 0.0)

    def answer(self, number: int, status: int, kind: bytes, body: bytes, wait: float):
        """The one final answer; whatever comes for the request after it is passed over."""
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            self.metrics.count(f"answers_{status}")
            self.monitor.request_answered(number, status, self.now)
            if status != 200:
                left = round(pending.deadline - self.now, 3)
                self.log(
                    "request not served",
                    pending.request,
                    status=status,
                    attempts=pending.attempts,
                    after=pending.ended_as(),
                    left_s=left,
                )
            self.effects.append(("answer", pending.client, status, kind, body, wait))
            pending.client = None
            self.drop(number, pending)

    def drop(self, number: int, pending: PendingRequest):
        over = pending.client is None and not pending.out and self.requests.pop(number, None)
        if over:
            self.monitor.forget(number)
        if over and self.longest_requests is not None:
            ran = "never" if not pending.ran else "answered" if pending.served else "maybe"
            self.effects.append(("settled", number, ran))

    def cancel(self, request: int, attempt: int):
        self.effects.append(("cancel", request, attempt))

    def probe(self, server: int):
        self.effects.append(("probe", server, self.servers[server].address))

    def watch(self, on: bool = True):
        self.effects.append(("watch", on))

    def fetch_servers(self):
        self.effects.append(("fetch_servers",))

    def close_idle(self, server: int):
        self.effects.append(("close_idle", server))

    def send_peer_message(self, agent: int, message: bytes):
        self.effects.append(("send_peer_message", agent, message))

    def set_timer(self, token: int, delay: float):
        self.effects.append(("set_timer", token, self.now + delay))

    def log_note(self, text: str):
        self.effects.append(("log_note", text))

    # What the log and the counts say

    def log(self, message: str, request: Request, **fields):
        name = self.config.settings.request_classes[request.request_class].name
        self.effects.append(
            ("log", message, {"request": request.id.decode("latin-1"), "request_class": name} | fields)
        )

    def report_transition(self, what: str, server, why: str):
        """A circuit, or the zone that the agent stands on, changed. `server`: None where it is about none."""
        self.metrics.count(what.replace(" ", "_"))
        known = server and self.servers.get(server.index)
        self.effects.append(("log", what, {"server": known.address if known else "", "reason": why}))

    def report_violation(self, invariant: Invariant, id: bytes, detail: str):
        self.metrics.count(f"violations_{invariant}")
        fields = {"invariant": str(invariant), "request": id.decode("latin-1"), "reason": detail}
        self.effects.append(("violation", fields))
