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
from cartdeal.agent.invariants import Destination, Invariant, InvariantMonitor
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

SERVER_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING}
RECENT_ID_S = 5.0  # a request's id is known for as long, twice that at most
MAX_RECENT_IDS = 1 << 15  # known at least, twice that at most; for less than RECENT_ID_S if more come
MAX_ZONES = 64  # that are told apart, those of the settings among them
DEADLINE_GRACE_S = 0.02  # after its deadline a request that the balancer forgot is answered all the same


class Progress(IntEnum):
    """How far an attempt had come."""

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    HEAD_RECEIVED = 3
    COMPLETE = 4


class FailureReason(IntEnum):
    """What ended an attempt."""

    ANSWERED = 0
    CONNECTION_BROKEN = 1
    TIMED_OUT = 2
    CANCELLED = 3
    MALFORMED_RESPONSE = 4  # what came back can't be read, or can in two ways
    NO_CONNECTION = 5  # the agent's own limits left none for it
    NOT_SENT = 6  # what it was decided on no longer held when its first byte was due


class AttemptResult(NamedTuple):
    """How an attempt or a probe ended; `progress` alone tells whether it may have run."""

    reason: FailureReason
    progress: Progress
    duration: float
    status: int = 0
    not_processed: bool = False
    content_type: bytes = b""  # the body's content type
    body: bytes = b""
    raw_load_report: bytes = b""  # what the server says of its load
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
        if self.reason in (FailureReason.CANCELLED, FailureReason.NO_CONNECTION, FailureReason.NOT_SENT):
            return Outcome.CANCELLED if written else Outcome.NEVER_SENT
        if not written:
            return Outcome.NOT_CONNECTED
        return Outcome.TIMED_OUT if self.reason is FailureReason.TIMED_OUT else Outcome.RESET


class Request(NamedTuple):
    """A request as the application asked it."""

    request_class: int
    non_idempotent: bool  # its form promises less than its request class: it may run once at most
    tenant: int
    session_hash: int
    timeout: float  # how long the client still waits, in seconds; none is left where it is not above 0
    is_retry: bool
    method: bytes
    path: bytes
    id: bytes
    idempotency_key: bytes  # by which servers know a repeat
    content_type: bytes
    body: bytes
    tenant_name: bytes = b""  # the tenant as the client names it


class PendingRequest:
    """A request that is not answered yet, or whose attempts are still out."""

    awaits_admission = False  # for admission
    earlier_attempts: tuple = ()  # of EarlierAttempt
    sent_count = 0  # attempts that were let out, but for those that provably never ran
    may_have_run = was_served = False  # whether it may have run; whether its client had the answer

    def __init__(self, client, request: Request, deadline: float):
        self.client, self.request, self.deadline = client, request, deadline
        self.attempt_count, self.in_flight_count = 0, 0
        self.last_outcome: Outcome | None = None
        # By attempt that is out: what the list said of its server.
        self.target_servers: dict[int, KnownServer] = {}

    def last_outcome_name(self) -> str:
        """How its last attempt that has ended did."""
        return self.last_outcome.value if self.last_outcome else "none"


class EarlierAttempt(NamedTuple):
    """An earlier attempt, at another agent, that may have run: others go to its group, before `until`."""

    zone: int
    cell: int
    group: DeduplicationScope
    repeat_until: float


class AttemptDestination(NamedTuple):
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
    started_at: float


class Reducer:
    def __init__(
        self,
        config: AgentConfiguration,
        now: float,
        wall: float,
        max_request_durations: tuple[float, ...] | None = None,
        metrics: Metrics | None = None,
    ):
        """`longest_requests`: by request class, the seconds that a request may last where admission control
        keeps idempotency records; None: there is none.
        """
        self.config, self.now, self.max_request_durations = config, now, max_request_durations
        self.start_times = StartTimes(now, wall)
        self.metrics = metrics or Metrics()
        self.monitor = InvariantMonitor(self.report_violation)
        self.effects = []
        self.request_count = 0
        self.shutdown_deadline = inf  # when the agent is to have answered all
        self.requests: dict[int, PendingRequest] = {}
        # Those of ID_MEMORY seconds and of as many before: longer than any copy is on its way.
        self.recent_ids, self.previous_ids, self.ids_rotate_at = set(), set(), now
        self.list_version = 0
        self.next_server_index = 0  # servers so far: each gets an index of its own, which is never another's
        # These two hold a server until the list says that it is gone.
        self.server_indices: dict[bytes, int] = {}
        self.servers: dict[int, KnownServer] = {}
        self.zone_indices = {name: place for place, name in enumerate(config.settings.zones)}
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
        self.apply_list(config.initial_servers, fresh=False)

    @property
    def pending_count(self) -> int:
        return sum(each.client is not None for each in self.requests.values())

    @property
    def is_ready(self) -> bool:
        return bool(self.next_server_index)

    # Events

    def on_request(self, client, request: Request):
        if request.id in self.recent_ids or request.id in self.previous_ids:
            # Whose it is can't be told: its answer, or its end, would be another request's.
            self.metrics.count("requests_with_a_known_id")
            return self.effects.append(
                ("refuse_request", client, 409, "an X-Request-ID that was used just now")
            )
        if self.now > self.ids_rotate_at or len(self.recent_ids) >= MAX_RECENT_IDS:
            self.previous_ids, self.recent_ids = self.recent_ids, set()
            self.ids_rotate_at = self.now + RECENT_ID_S
        self.recent_ids.add(request.id)
        self.request_count += 1
        # A record that is over before its request is would let a repeat of it through.
        wait = (
            request.timeout
            if self.max_request_durations is None
            else min(request.timeout, self.max_request_durations[request.request_class])
        )
        number, deadline = self.request_count, min(self.now + wait, self.shutdown_deadline)
        pending = self.requests[number] = PendingRequest(client, request, deadline)
        self.metrics.count("requests")
        # One whose time was over before its turn, behind others of its connection, can't be answered in time.
        due = max(deadline, self.now)
        self.monitor.on_request(number, request.id, self.effective_class(request), due)
        self.effects.append(("request_accepted", client, number))
        self.effects.append(("set_deadline_timer", number, deadline + DEADLINE_GRACE_S))
        pending.awaits_admission = self.max_request_durations is not None
        if pending.deadline <= self.now:  # it waited for those ahead of it, or the agent ends
            return self.on_deadline_passed(number)
        if not pending.awaits_admission:
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
            number,
            self.class_index(request),
            request.tenant,
            request.session_hash,
            pending.deadline,
            request.is_retry,
        )

    def on_admitted(self, number: int, earlier_attempts: tuple):
        """Admission control lets it go on. Each earlier attempt: zone (by name), cell, group, until when."""
        pending = self.requests.get(number)
        if pending and pending.awaits_admission:
            pending.awaits_admission = False
            pending.earlier_attempts = tuple(
                EarlierAttempt(self.zone_indices.get(zone, -1), cell, DeduplicationScope(group), until)
                for zone, cell, group, until in earlier_attempts
            )
            self.route(number, pending)

    def on_declined(self, number: int, status: int, retry_after: float):
        pending = self.requests.get(number)
        if pending and pending.awaits_admission:
            self.answer(number, status, b"", b"", retry_after)

    def on_client_disconnected(self, number: int):
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            pending.client = None
            self.metrics.count("clients_gone")
            self.log(
                "client gone", pending.request, attempts=pending.attempt_count, out=pending.in_flight_count
            )
            self.monitor.on_client_disconnected(number)
            self.forget_if_finished(number, pending)
            self.balancer.on_client_disconnected(number)

    def on_attempt_started(self, number: int, attempt: int, server: int, timeout_sent: float):
        """The first byte of an attempt goes now; `timeout_sent`: the seconds that its server is told."""
        where = self.balancer.servers.get(server)
        place = where and Destination(where.zone, where.cell, where.state is ServerState.READY)
        self.metrics.count("attempts")
        self.monitor.on_attempt_started(number, attempt, place, timeout_sent, self.now)

    def on_attempt_ended(
        self, number: int, server: int, attempt: int, result: AttemptResult, load: LoadReport | None = None
    ):
        pending = self.requests.get(number)
        if pending is None:
            return
        pending.in_flight_count -= 1
        outcome = pending.last_outcome = result.outcome()
        self.metrics.count("attempts_" + outcome.name.lower())
        self.monitor.on_attempt_ended(number, attempt, outcome.never_ran)
        if pending.target_servers.pop(attempt, None) and outcome.never_ran:
            pending.sent_count -= (
                1  # else its client would be left in doubt for nothing once its time is over
            )
        pending.may_have_run = pending.may_have_run or not outcome.never_ran
        if outcome is Outcome.COMPLETED and pending.client is not None:
            pending.was_served = True
            self.answer(number, 200, result.content_type, result.body, 0.0)
        elif outcome is Outcome.UNUSABLE:
            self.answer(number, 400, b"", b"", 0.0)
        finished = pending.client is None
        self.forget_if_finished(number, pending)
        self.balancer.on_attempt_ended(number, server, outcome, attempt, result.duration, finished, load)

    def on_probe_ended(self, server: int, result: AttemptResult, load: LoadReport | None = None):
        self.balancer.on_probe_ended(server, result.outcome(), result.duration, load)

    def on_timer(self, token: int):
        self.balancer.on_timer(token)

    def on_shutdown(self, shutdown_deadline: float):
        """What is out by then is failed: an agent that is killed loses what it has not answered."""
        self.shutdown_deadline = shutdown_deadline
        for number, pending in self.requests.items():
            if pending.deadline > shutdown_deadline:
                self.effects.append(("set_deadline_timer", number, shutdown_deadline))

    def on_deadline_passed(self, number: int):
        """The balancer answers every request; should a fault have kept it from it, this does."""
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            self.log_note(f"request {pending.request.id.decode('latin-1')} overdue")
            # What never went out may be asked again; to fail it would leave its client in doubt. But an
            # earlier try of one that still waits may have run at another agent: only the fleet would know.
            doubt = (
                pending.sent_count
                or pending.awaits_admission
                and self.idempotency_of(pending.request) is not Idempotency.IDEMPOTENT
            )
            self.fail(number) if doubt else self.reject(number, 0.0)
            self.balancer.on_client_disconnected(number)

    def on_server_list(self, server_list: ServerList, fresh: bool = True):
        """A list came from discovery; `fresh`: on the watch that stands."""
        self.apply_list(server_list, fresh)
        self.start_times.on_discovery_response(self.now)

    def apply_list(self, server_list: ServerList, fresh: bool):
        self.list_version = server_list.version
        self.log_note(
            f"list {server_list.version}: {len(server_list.entries)} lines"
            f"{' in all' * server_list.is_complete}"
        )
        gone = [line.name.encode() for line in server_list.entries if line.state == "left"]
        # Where an attempt may have run is its server's group of then: one in another group is another server.
        lines = [
            self.remove_server(line.name.encode())
            for line in server_list.entries
            if self.has_changed_group(line)
        ]
        lines += [self.listed_server(line) for line in server_list.entries if line.state != "left"]
        if server_list.is_complete:
            here = {line.name for line in lines}
            gone += [name for name in self.server_indices if name not in here]
        lines += [self.remove_server(name) for name in gone if name in self.server_indices]
        self.balancer.on_server_list(lines, fresh)

    def on_watch_established(self):
        """A watch was answered, with nothing new."""
        self.start_times.on_discovery_response(self.now)
        self.balancer.on_server_list([], True)

    def on_watch_heartbeat(self):
        """A watch that stands says that there is still nothing new."""
        self.start_times.on_discovery_response(self.now)

    def on_watch_failed(self, silent: bool = False):
        """The watch ended or, `silent`, sent nothing for too long; or the call for one got no list."""
        self.balancer.on_watch_failed(silent)

    def on_discovery_moved(self):
        """The discovery service has another address."""
        self.balancer.on_discovery_moved()

    def on_peer_message(self, sender: int, words: bytes):
        """Agents need no words from each other."""

    def remove_server(self, name: bytes) -> ListedServer:
        index = self.server_indices.pop(name)
        del self.servers[index]
        self.start_times.remove(name)
        self.close_idle(index)
        return ListedServer(index, name, 0, 0, 0, ServerState.GONE, 1.0, 0.0)

    def has_changed_group(self, line) -> bool:
        if line.state == "left":  # it may say no zone
            return False
        index = self.server_indices.get(line.name.encode())
        known = self.balancer.servers.get(index)
        return known is not None and (known.zone, known.cell) != (self.zone_index(line), line.cell)

    def listed_server(self, line) -> ListedServer:
        name = line.name.encode()
        if name not in self.server_indices:
            self.server_indices[name] = self.next_server_index
            self.next_server_index += 1
        index = self.server_indices[name]
        started = self.start_times.started_at(name, line.started_ms, self.now)
        known = KnownServer(line.address, started)
        if self.servers.setdefault(index, known) != known:
            self.close_idle(index)  # a kept connection to what stood there before would cost an attempt
            self.servers[index] = known
        state = SERVER_STATES.get(line.state, ServerState.DRAINING)
        zone = self.zone_index(line)
        if zone >= MAX_ZONES:
            state = ServerState.DRAINING  # among zones that are not told apart a repeat might run twice
        return ListedServer(index, name, zone, 0, line.cell, state, line.weight, started)

    def zone_index(self, line) -> int:
        """A zone's place; one that the settings don't name is another one than all that they do.

        Taken for one of these, its servers would be sent repeats that only the group of that zone drops.
        """
        if not self.config.settings.zones:
            return 0
        if line.zone not in self.zone_indices and len(self.zone_indices) < MAX_ZONES:
            self.log_note(f"zone {line.zone} is none of the settings'")
            self.zone_indices[line.zone] = len(self.zone_indices)
        return self.zone_indices.get(line.zone, MAX_ZONES)

    # What the balancer asks for

    def send_attempt(self, request: int, server: int, deadline: float):
        pending = self.requests[request]
        attempt, pending.attempt_count = pending.attempt_count, pending.attempt_count + 1
        pending.in_flight_count += 1
        if attempt:
            self.metrics.count("retries")
            self.log("request retried", pending.request, attempt=attempt, after=pending.last_outcome_name())
        deadline = min(deadline, pending.deadline) if deadline else pending.deadline
        if self.max_request_durations is not None:
            where = self.balancer.servers[server]
            if not all(self.allows_attempt(each, where) for each in pending.earlier_attempts):
                return self.suppress_attempt(request, server, attempt, pending)
            zones = tuple(self.zone_indices)
            self.effects.append(("attempt_sent", request, zones[where.zone] if zones else "", where.cell))
        pending.sent_count += 1
        pending.target_servers[attempt] = self.servers[server]
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

    def may_send(self, number: int, attempt: int, server: int) -> bool:
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
        if self.servers.get(server) != pending.target_servers.get(attempt):
            return False
        others = {each: past for each, past in known.possible_executions.items() if each != attempt}
        return self.balancer.is_attempt_safe(
            OtherAttempts(known.request_class, others), where, self.now
        ) and all(self.allows_attempt(each, where) for each in pending.earlier_attempts)

    def waiting_client(self, number: int):
        """Who waits for the request's answer; None where nobody does."""
        pending = self.requests.get(number)
        return pending and pending.client

    def suppress_attempt(self, request: int, server: int, attempt: int, pending: PendingRequest):
        """An attempt that could cause a second effect. It ends as one never sent, and the balancer learns of
        the earlier ones as of its own: it then looks for a server where a further one does no harm."""
        known = self.balancer.requests[request]
        for place, each in enumerate(pending.earlier_attempts):
            known.possible_executions[-1 - place] = (
                AttemptDestination(each.zone, each.cell),
                each.repeat_until - known.request_class.deduplication_window,
            )
        unsent = AttemptResult(FailureReason.NO_CONNECTION, Progress.NOT_CONNECTED, 0.0)
        self.effects.append(("suppress_attempt", request, server, attempt, unsent))

    def allows_attempt(self, earlier_attempts: EarlierAttempt, where) -> bool:
        """Whether an attempt there, now, fits the earlier one: servers of its group drop a repeat."""
        return self.now < earlier_attempts.repeat_until and (
            earlier_attempts.group is DeduplicationScope.ALL
            or where.zone == earlier_attempts.zone
            and (earlier_attempts.group is DeduplicationScope.ZONE or where.cell == earlier_attempts.cell)
        )

    def idempotency_of(self, request: Request) -> Idempotency:
        return (
            Idempotency.NON_IDEMPOTENT
            if request.non_idempotent
            else self.balancer.settings.request_classes[request.request_class].idempotency
        )

    def reject(self, request: int, wait: float):
        pending = self.requests.get(request)
        if pending and not all(
            each.group is DeduplicationScope.ALL and self.now < each.repeat_until
            for each in pending.earlier_attempts
        ):
            return self.fail(request)  # its client would come again, to where it may run once more
        self.answer(request, 503, b"", b"", wait)

    def fail(self, request: int):
        self.answer(request, 502, b"", b"", 0.0)

    def answer(self, number: int, status: int, content_type: bytes, body: bytes, retry_after: float):
        """The one final answer; whatever comes for the request after it is passed over."""
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            self.metrics.count(f"answers_{status}")
            self.monitor.on_answer(number, status, self.now)
            if status != 200:
                left = round(pending.deadline - self.now, 3)
                self.log(
                    "request not served",
                    pending.request,
                    status=status,
                    attempts=pending.attempt_count,
                    after=pending.last_outcome_name(),
                    left_s=left,
                )
            self.effects.append(("answer", pending.client, status, content_type, body, retry_after))
            pending.client = None
            self.forget_if_finished(number, pending)

    def forget_if_finished(self, number: int, pending: PendingRequest):
        over = pending.client is None and not pending.in_flight_count and self.requests.pop(number, None)
        if over:
            self.monitor.forget(number)
        if over and self.max_request_durations is not None:
            ran = "never" if not pending.may_have_run else "answered" if pending.was_served else "maybe"
            self.effects.append(("request_ended", number, ran))

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
        self.effects.append(("log_violation", fields))
