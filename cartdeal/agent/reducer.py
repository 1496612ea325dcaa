"""The state of an agent: open requests, known servers, and the balancer, which the reducer hosts.

Each event is a method call. It appends its effects to `effects`, and effects.py runs them afterwards. In a
fleet, where `max_request_durations` is set, a request waits for admission before the balancer gets it, and no
attempt is sent to a server where an earlier attempt at another agent forbids it.
The reducer does no I/O, never waits, reads no clock and never yields to another greenlet. It makes no
decision that the balancer can make.
"""

from dataclasses import replace
from enum import IntEnum
from math import inf
from typing import NamedTuple

from cartdeal.agent.configuration import AgentConfiguration, ServerList
from cartdeal.agent.invariants import Destination, Invariant, InvariantMonitor
from cartdeal.agent.metrics import Metrics
from cartdeal.agent.request_ids import RequestIds
from cartdeal.agent.server_addresses import ServerAddresses
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
MAX_ZONES = 64  # number of zones that are distinguished, including those of the settings
DEADLINE_GRACE_S = 0.02  # a request that the balancer missed is answered this long after its deadline


class Progress(IntEnum):
    """How far an attempt got."""

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    HEAD_RECEIVED = 3
    COMPLETE = 4


class AttemptEndReason(IntEnum):
    """Why an attempt ended."""

    ANSWERED = 0
    CONNECTION_BROKEN = 1
    TIMED_OUT = 2
    CANCELLED = 3
    MALFORMED_RESPONSE = 4  # the response is invalid or ambiguous
    NO_CONNECTION = 5  # the agent's limits, or an earlier attempt at another agent, forbade it
    NOT_SENT = 6  # its preconditions no longer held when the first byte was due


class AttemptResult(NamedTuple):
    """The result of an attempt or a probe. `progress` alone decides whether it may have run.

    `duration` is in seconds.
    """

    reason: AttemptEndReason
    progress: Progress
    duration: float
    status: int = 0
    not_processed: bool = False
    content_type: bytes = b""
    body: bytes = b""
    raw_load_report: bytes = b""  # the server's load report as received
    detail: str = ""

    def outcome(self) -> Outcome:
        """Return the outcome as the balancer classifies it."""
        is_written = self.progress >= Progress.WRITTEN
        if self.reason is AttemptEndReason.ANSWERED:
            if self.status == 200:
                return Outcome.COMPLETED
            if 400 <= self.status < 500:
                return Outcome.UNUSABLE  # the request is at fault, not the server
            return Outcome.FULL if self.status in (503, 504) and self.not_processed else Outcome.ERROR
        # none of these is the server's fault
        if self.reason in (
            AttemptEndReason.CANCELLED,
            AttemptEndReason.NO_CONNECTION,
            AttemptEndReason.NOT_SENT,
        ):
            return Outcome.CANCELLED if is_written else Outcome.NEVER_SENT
        if not is_written:
            return Outcome.NOT_CONNECTED
        return Outcome.TIMED_OUT if self.reason is AttemptEndReason.TIMED_OUT else Outcome.RESET


class Request(NamedTuple):
    """A request as the application sent it."""

    request_class: int
    # It lacks the idempotency key or method that its request class needs to be repeatable, so it may run at
    # most once.
    non_idempotent: bool
    tenant: int
    session_hash: int  # 0 without a session
    timeout: float  # seconds that the client still waits; not positive if none are left
    is_retry: bool
    method: bytes
    path: bytes
    id: bytes
    idempotency_key: bytes  # by which servers detect a repeated request
    content_type: bytes
    body: bytes
    tenant_name: bytes = b""  # as the client sent it


class PendingRequest:
    """A request that is not answered yet or has attempts in flight."""

    awaits_admission = False
    earlier_attempts: tuple = ()  # of EarlierAttempt
    sent_count = 0  # attempts that were sent, except those that provably never ran
    may_have_run = was_served = False  # `was_served`: its client got a server's answer

    def __init__(self, client, request: Request, deadline: float):
        self.client, self.request, self.deadline = client, request, deadline
        self.attempt_count, self.in_flight_count = 0, 0
        self.last_outcome: Outcome | None = None
        # By attempt in flight: its server as listed when the attempt was sent.
        self.target_servers: dict[int, KnownServer] = {}

    def last_outcome_name(self) -> str:
        """Return the outcome of the attempt that ended last, as the log names it."""
        return self.last_outcome.value if self.last_outcome else "none"


class EarlierAttempt(NamedTuple):
    """An earlier attempt at another agent that may have run.

    Further attempts may go only to servers in its deduplication scope, and only before `repeat_until`.
    """

    zone: int
    cell: int
    scope: DeduplicationScope
    repeat_until: float


class AttemptDestination(NamedTuple):
    """The location of an earlier attempt, in the form that the balancer expects."""

    zone: int
    cell: int


class OtherAttempts(NamedTuple):
    """The attempts of a request except one, in the form that the balancer expects."""

    request_class: RequestClass
    possible_executions: dict


class KnownServer(NamedTuple):
    """What the reducer needs of a listed server in addition to the balancer's data."""

    address: str
    started_at: float


class Reducer:
    """Handles the events of one agent. All times are seconds of the host's monotonic clock, `now`."""

    def __init__(
        self,
        config: AgentConfiguration,
        now: float,
        wall_now: float,
        max_request_durations: tuple[float, ...] | None = None,
        metrics: Metrics | None = None,
    ):
        """`max_request_durations`: the maximum duration of a request in seconds, by request class, as bounded
        by the idempotency records of admission control; None without admission control.
        """
        self.config, self.now, self.max_request_durations = config, now, max_request_durations
        self.start_times = StartTimes(now, wall_now)
        self.metrics = metrics or Metrics()
        self.monitor = InvariantMonitor(self.report_violation)
        self.effects = []
        self.request_count = 0
        self.shutdown_deadline = inf  # by which every request must be answered
        self.requests: dict[int, PendingRequest] = {}
        self.request_ids = RequestIds(now)
        self.list_version = 0
        self.next_server_index = 0  # an index is never reused
        # These two contain a server until the list reports it as removed.
        self.server_indices: dict[bytes, int] = {}
        self.servers: dict[int, KnownServer] = {}
        self.addresses = ServerAddresses()
        self.zone_indices = {name: index for index, name in enumerate(config.settings.zones)}
        settings = config.settings.balancer_settings(config.seed)
        # A second set of classes, for requests without the idempotency key or method that their class needs
        # to be repeatable: they may run at most once.
        non_idempotent = tuple(
            each._replace(idempotency=Idempotency.NON_IDEMPOTENT) for each in settings.request_classes
        )
        self.balancer = Balancer(
            self, replace(settings, request_classes=settings.request_classes + non_idempotent)
        )
        self.balancer.on_transition = self.report_transition
        if not settings.polls_discovery:
            # The balancer does not request a list that is pushed; it comes by a watch that the host starts.
            self.watch()
        self.apply_list(config.initial_servers, is_current_watch=False)

    @property
    def pending_count(self) -> int:
        """The number of requests without an answer."""
        return sum(each.client is not None for each in self.requests.values())

    @property
    def is_ready(self) -> bool:
        """Whether the agent has known any server so far."""
        return bool(self.next_server_index)

    # Events

    def on_request(self, client, request: Request):
        """A client has sent a request."""
        if self.request_ids.is_known(request.id):
            self.metrics.count("requests_with_a_known_id")
            return self.effects.append(
                ("refuse_request", client, 409, "an X-Request-ID of another request, open or just finished")
            )
        self.request_ids.add(request.id)
        self.request_count += 1
        # If the idempotency record expired before the request ended, a repeat would be admitted.
        timeout = (
            request.timeout
            if self.max_request_durations is None
            else min(request.timeout, self.max_request_durations[request.request_class])
        )
        number, deadline = self.request_count, min(self.now + timeout, self.shutdown_deadline)
        pending = self.requests[number] = PendingRequest(client, request, deadline)
        self.metrics.count("requests")
        # A request whose time was over while it waited behind others on its connection can't be in time.
        answer_due_at = max(deadline, self.now)
        self.monitor.on_request(number, request.id, self.effective_class(request), answer_due_at)
        self.effects.append(("request_accepted", client, number))
        self.effects.append(("set_deadline_timer", number, deadline + DEADLINE_GRACE_S))
        pending.awaits_admission = self.max_request_durations is not None
        if pending.deadline <= self.now:  # it waited behind other requests, or the agent shuts down
            return self.on_deadline_passed(number)
        if not pending.awaits_admission:
            return self.route(number, pending)
        self.effects.append(("admit", number, request, deadline))

    def class_index(self, request: Request) -> int:
        """Return the balancer's index of its class; the non-idempotent variants follow all other classes."""
        return request.request_class + request.non_idempotent * len(self.config.settings.request_classes)

    def effective_class(self, request: Request) -> RequestClass:
        """Return the class whose rules apply to the request."""
        return self.balancer.settings.request_classes[self.class_index(request)]

    def route(self, number: int, pending: PendingRequest):
        """Pass an admitted request to the balancer."""
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
        """Admission control has admitted a request.

        `earlier_attempts`: tuples of zone name, cell, deduplication scope and the time until which a
        repeat is safe.
        """
        pending = self.requests.get(number)
        if pending and pending.awaits_admission:
            pending.awaits_admission = False
            pending.earlier_attempts = tuple(
                EarlierAttempt(self.zone_indices.get(zone, -1), cell, DeduplicationScope(scope), until)
                for zone, cell, scope, until in earlier_attempts
            )
            self.route(number, pending)

    def on_declined(self, number: int, status: int, retry_after: float):
        """Admission control has declined a request."""
        pending = self.requests.get(number)
        if pending and pending.awaits_admission:
            self.answer(number, status, b"", b"", retry_after)

    def on_client_disconnected(self, number: int):
        """The client of a request has disconnected."""
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

    def on_request_withdrawn(self, number: int):
        """The input behind a request has shown that the request is invalid: it is answered 400."""
        pending = self.requests.get(number)
        if pending is None or pending.client is None:
            return
        self.metrics.count("requests_withdrawn")
        if self.balancer.settings.may_cancel:
            for attempt in pending.target_servers:
                self.cancel(number, attempt)
        self.answer(number, 400, b"", b"", 0.0)
        self.balancer.on_request_withdrawn(number)

    def on_attempt_started(self, number: int, attempt: int, server: int, timeout_sent: float):
        """The first byte of an attempt is being sent; `timeout_sent`: the timeout in it, in seconds."""
        target = self.balancer.servers.get(server)
        destination = target and Destination(target.zone, target.cell, target.state is ServerState.READY)
        self.metrics.count("attempts")
        self.monitor.on_attempt_started(number, attempt, destination, timeout_sent, self.now)

    def on_attempt_ended(
        self, number: int, server: int, attempt: int, result: AttemptResult, load: LoadReport | None = None
    ):
        """An attempt has ended. Answers the client if the result is final."""
        pending = self.requests.get(number)
        if pending is None:
            return
        pending.in_flight_count -= 1
        outcome = pending.last_outcome = result.outcome()
        self.metrics.count("attempts_" + outcome.name.lower())
        self.monitor.on_attempt_ended(number, attempt, outcome.never_ran)
        if pending.target_servers.pop(attempt, None) and outcome.never_ran:
            # Without this, the request would be failed at its deadline although it could be rejected.
            pending.sent_count -= 1
        pending.may_have_run = pending.may_have_run or not outcome.never_ran
        if outcome is Outcome.COMPLETED and pending.client is not None:
            pending.was_served = True
            self.answer(number, 200, result.content_type, result.body, 0.0)
        elif outcome is Outcome.UNUSABLE:
            self.answer(number, 400, b"", b"", 0.0)
        is_finished = pending.client is None
        self.forget_if_finished(number, pending)
        self.balancer.on_attempt_ended(number, server, outcome, attempt, result.duration, is_finished, load)

    def on_probe_ended(self, server: int, result: AttemptResult, load: LoadReport | None = None):
        """A probe has ended."""
        self.balancer.on_probe_ended(server, result.outcome(), result.duration, load)

    def on_timer(self, token: int):
        """A timer of the balancer has expired."""
        self.balancer.on_timer(token)

    def on_shutdown(self, shutdown_deadline: float):
        """The agent shuts down. Requests still open at `shutdown_deadline` get an answer then.

        A killed agent would lose the requests that it has not answered.
        """
        self.shutdown_deadline = shutdown_deadline
        for number, pending in self.requests.items():
            if pending.deadline > shutdown_deadline:
                self.effects.append(("set_deadline_timer", number, shutdown_deadline))

    def on_client_unseen(self, number: int, attempt: int):
        """An attempt is due, and the client of the request may have closed its connection unseen."""
        self.metrics.count("clients_unseen")
        pending = self.requests.get(number)
        if pending and pending.target_servers.pop(attempt, None):
            pending.sent_count -= 1  # this one will not be sent
        self.give_up(number, "given up, since its client may have gone")

    def on_deadline_passed(self, number: int):
        """Answer a request that the balancer should have answered but missed because of a fault."""
        self.give_up(number, "overdue")

    def give_up(self, number: int, reason: str):
        """Answer a request, if it is not answered yet, in place of the balancer; `reason` is for the log."""
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            self.log_note(f"request {pending.request.id.decode('latin-1')} {reason}")
            # A request that was never sent may be retried, so failing it would be needlessly ambiguous. But
            # if it awaits admission, an earlier attempt may have run at another agent, which only admission
            # control can tell.
            is_ambiguous = (
                pending.sent_count
                or pending.awaits_admission
                and self.idempotency_of(pending.request) is not Idempotency.IDEMPOTENT
            )
            self.fail(number) if is_ambiguous else self.reject(number, 0.0)
            self.balancer.on_client_disconnected(number)

    def on_server_list(self, server_list: ServerList, is_current_watch: bool = True):
        """A server list has arrived; `is_current_watch`: from the current watch."""
        self.apply_list(server_list, is_current_watch)
        self.start_times.on_discovery_response(self.now)

    def apply_list(self, server_list: ServerList, is_current_watch: bool):
        """Update the known servers, and pass the changes to the balancer."""
        self.list_version = server_list.version
        self.log_note(
            f"list {server_list.version}: {len(server_list.entries)} lines"
            f"{' in all' * server_list.is_complete}"
        )
        removed_names = [entry.name.encode() for entry in server_list.entries if entry.state == "left"]
        # An attempt may have run in the zone and cell that its server had then. A server that moves to
        # another zone or cell is therefore treated as another server.
        changes = [
            self.remove_server(entry.name.encode()) for entry in server_list.entries if self.has_moved(entry)
        ]
        listed, superseded = self.listed_servers(server_list)
        changes += listed
        if server_list.is_complete:
            listed_names = {entry.name for entry in changes}
            removed_names += [name for name in self.server_indices if name not in listed_names]
        changes += [self.remove_server(name) for name in removed_names if name in self.server_indices]
        self.balancer.on_server_list(self.drain_superseded(changes, superseded), is_current_watch)

    def on_watch_established(self):
        """A watch was established, and the list has not changed."""
        self.start_times.on_discovery_response(self.now)
        self.balancer.on_server_list([], True)

    def on_watch_heartbeat(self):
        """An established watch reports that the list has not changed."""
        self.start_times.on_discovery_response(self.now)

    def on_watch_failed(self, was_silent: bool = False):
        """The watch ended, was silent for too long (`was_silent`), or a call for a list failed."""
        self.balancer.on_watch_failed(was_silent)

    def on_discovery_moved(self):
        """The discovery service has a new address."""
        self.balancer.on_discovery_moved()

    def on_peer_message(self, sender: int, message: bytes):
        """A peer has sent a message. The balancer needs none, so it is ignored."""

    def remove_server(self, name: bytes) -> ListedServer:
        """Forget a server; return its removal for the balancer."""
        index = self.server_indices.pop(name)
        del self.servers[index]
        self.start_times.remove(name)
        self.addresses.remove(index)
        self.close_idle(index)
        return ListedServer(index, name, 0, 0, 0, ServerState.GONE, 1.0, 0.0)

    def has_moved(self, entry) -> bool:
        """Whether a known server has moved to another zone or cell."""
        if entry.state == "left":  # its entry may lack the zone
            return False
        index = self.server_indices.get(entry.name.encode())
        known = self.balancer.servers.get(index)
        return known is not None and (known.zone, known.cell) != (self.zone_index(entry), entry.cell)

    def listed_servers(self, server_list: ServerList) -> tuple[list[ListedServer], list[int]]:
        """Record the entries of a list.

        Returns them in the balancer's form, and the indices of the servers that they supersede.
        """
        first_new_index, changes, superseded = self.next_server_index, [], []
        for entry in server_list.entries:
            if entry.state == "left":
                continue
            listed = self.listed_server(entry)
            changes.append(listed)
            older = self.addresses.list_server(listed.server_index, entry.address, first_new_index)
            if older is not None:
                superseded.append(older)
        return changes, superseded

    def drain_superseded(self, changes: list[ListedServer], superseded: list[int]) -> list[ListedServer]:
        """Return the changes of a list, with all superseded servers as draining."""
        named = {each.server_index for each in changes}
        others = [self.balancer.servers.get(index) for index in superseded if index not in named]
        changes = changes + [self.superseded_server(other) for other in others if other]
        return [self.drain_if_superseded(each) for each in changes]

    def drain_if_superseded(self, listed: ListedServer) -> ListedServer:
        """Return the server as listed, or as a draining one if a newer server has its address."""
        if not self.addresses.is_superseded(listed.server_index):
            return listed
        self.close_idle(listed.server_index)
        return listed._replace(state=ServerState.DRAINING)

    def superseded_server(self, server) -> ListedServer:
        """Return a server of the balancer, which the list does not name, as a superseded one."""
        name = next(name for name, index in self.server_indices.items() if index == server.index)
        self.log_note(f"server {name.decode(errors='replace')} superseded at its address")
        return ListedServer(
            server.index, name, server.zone, 0, server.cell, server.state, server.weight, server.started_at
        )

    def listed_server(self, entry) -> ListedServer:
        """Record a list entry; return it in the balancer's form."""
        name = entry.name.encode()
        if name not in self.server_indices:
            self.server_indices[name] = self.next_server_index
            self.next_server_index += 1
        index = self.server_indices[name]
        started_at = self.start_times.started_at(name, entry.started_ms, self.now)
        known = KnownServer(entry.address, started_at)
        if self.servers.setdefault(index, known) != known:
            self.close_idle(index)  # on a connection to the previous process an attempt would fail
            self.servers[index] = known
        state = SERVER_STATES.get(entry.state, ServerState.DRAINING)
        zone = self.zone_index(entry)
        if zone >= MAX_ZONES:
            state = ServerState.DRAINING  # in zones that are not distinguished, a repeat might run twice
        return ListedServer(index, name, zone, 0, entry.cell, state, entry.weight, started_at)

    def zone_index(self, entry) -> int:
        """Return the index of the entry's zone. A zone that is not in the settings gets an index of its own.

        If it shared the index of a configured zone, its servers would get repeats that only the servers of
        that zone deduplicate.
        """
        if not self.config.settings.zones:
            return 0
        if entry.zone not in self.zone_indices and len(self.zone_indices) < MAX_ZONES:
            self.log_note(f"zone {entry.zone} is none of the settings'")
            self.zone_indices[entry.zone] = len(self.zone_indices)
        return self.zone_indices.get(entry.zone, MAX_ZONES)

    # The balancer's host

    def send_attempt(self, request: int, server: int, deadline: float):
        """Send an attempt, if it is safe.

        Its deadline is `deadline` or that of the request, whichever is earlier; 0 means that of the request.
        """
        pending = self.requests[request]
        attempt, pending.attempt_count = pending.attempt_count, pending.attempt_count + 1
        pending.in_flight_count += 1
        if attempt:
            self.metrics.count("retries")
            self.log("request retried", pending.request, attempt=attempt, after=pending.last_outcome_name())
        deadline = min(deadline, pending.deadline) if deadline else pending.deadline
        if self.max_request_durations is not None:
            target = self.balancer.servers[server]
            if not all(self.allows_attempt(each, target) for each in pending.earlier_attempts):
                return self.suppress_attempt(request, server, attempt, pending)
            zones = tuple(self.zone_indices)
            self.effects.append(("attempt_sent", request, zones[target.zone] if zones else "", target.cell))
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
        """Whether an attempt may still send its first byte now.

        Connecting may take seconds. In that time the request may be answered or lose its client, the server
        may start to drain, leave, move or restart, and the window in which the attempt is safe may end.
        """
        pending = self.requests.get(number)
        if pending is None or pending.client is None or self.now >= pending.deadline:
            return False
        target, routed_request = self.balancer.servers.get(server), self.balancer.requests.get(number)
        if target is None or routed_request is None or target.state is not ServerState.READY:
            return False
        if self.servers.get(server) != pending.target_servers.get(attempt):
            return False
        other_executions = {
            each: execution
            for each, execution in routed_request.possible_executions.items()
            if each != attempt
        }
        return self.balancer.is_attempt_safe(
            OtherAttempts(routed_request.request_class, other_executions), target, self.now
        ) and all(self.allows_attempt(each, target) for each in pending.earlier_attempts)

    def is_overdue(self, number: int, now: float) -> bool:
        """Whether the deadline of a request has passed."""
        pending = self.requests.get(number)
        return pending is not None and now >= pending.deadline

    def waiting_client(self, number: int):
        """Return the client that waits for the answer, or None."""
        pending = self.requests.get(number)
        return pending and pending.client

    def suppress_attempt(self, request: int, server: int, attempt: int, pending: PendingRequest):
        """End an attempt that could run the request a second time, as one that was never sent.

        The earlier attempts are added to the balancer's own, so that it selects a server where a further
        attempt is safe.
        """
        routed_request = self.balancer.requests[request]
        for index, each in enumerate(pending.earlier_attempts):
            routed_request.possible_executions[-1 - index] = (
                AttemptDestination(each.zone, each.cell),
                each.repeat_until - routed_request.request_class.deduplication_window,
            )
        result = AttemptResult(AttemptEndReason.NO_CONNECTION, Progress.NOT_CONNECTED, 0.0)
        self.effects.append(("suppress_attempt", request, server, attempt, result))

    def allows_attempt(self, earlier_attempt: EarlierAttempt, target) -> bool:
        """Whether an attempt at `target` is safe now.

        It is if the servers in the earlier attempt's deduplication scope still recognise a repeat and include
        `target`.
        """
        return self.now < earlier_attempt.repeat_until and (
            earlier_attempt.scope is DeduplicationScope.ALL
            or target.zone == earlier_attempt.zone
            and (earlier_attempt.scope is DeduplicationScope.ZONE or target.cell == earlier_attempt.cell)
        )

    def idempotency_of(self, request: Request) -> Idempotency:
        """Return the idempotency of a request, which may be lower than that of its class."""
        return (
            Idempotency.NON_IDEMPOTENT
            if request.non_idempotent
            else self.balancer.settings.request_classes[request.request_class].idempotency
        )

    def reject(self, request: int, retry_after: float):
        """Answer that the request did not run; fail it if it may have run at another agent."""
        pending = self.requests.get(request)
        if pending and not all(
            each.scope is DeduplicationScope.ALL and self.now < each.repeat_until
            for each in pending.earlier_attempts
        ):
            return self.fail(request)  # its client would retry, and the request might run again
        self.answer(request, 503, b"", b"", retry_after)

    def fail(self, request: int):
        """Answer that the request failed and may have run."""
        self.answer(request, 502, b"", b"", 0.0)

    def answer(self, number: int, status: int, content_type: bytes, body: bytes, retry_after: float):
        """Send the only answer of the request; later ones are ignored."""
        pending = self.requests.get(number)
        if pending and pending.client is not None:
            self.metrics.count(f"answers_{status}")
            self.monitor.on_answer(number, status, self.now)
            if status != 200:
                remaining_s = round(pending.deadline - self.now, 3)
                self.log(
                    "request not served",
                    pending.request,
                    status=status,
                    attempts=pending.attempt_count,
                    after=pending.last_outcome_name(),
                    left_s=remaining_s,
                )
            self.effects.append(("answer", pending.client, status, content_type, body, retry_after))
            pending.client = None
            self.forget_if_finished(number, pending)

    def forget_if_finished(self, number: int, pending: PendingRequest):
        """Drop a request without a waiting client and without attempts in flight."""
        is_finished = (
            pending.client is None and not pending.in_flight_count and self.requests.pop(number, None)
        )
        if is_finished:
            self.monitor.forget(number)
            self.request_ids.finish(pending.request.id, self.now)
        if is_finished and self.max_request_durations is not None:
            ran_outcome = (
                "never" if not pending.may_have_run else "answered" if pending.was_served else "maybe"
            )
            self.effects.append(("request_ended", number, ran_outcome))

    def cancel(self, request: int, attempt: int):
        """Cancel an attempt in flight."""
        self.effects.append(("cancel", request, attempt))

    def probe(self, server: int):
        """Send a probe to a server."""
        self.effects.append(("probe", server, self.servers[server].address))

    def watch(self, is_wanted: bool = True):
        """Start a watch of the server list, or stop it."""
        self.effects.append(("watch", is_wanted))

    def fetch_servers(self):
        """Request the complete server list once."""
        self.effects.append(("fetch_servers",))

    def close_idle(self, server: int):
        """Close the idle connections to a server."""
        self.effects.append(("close_idle", server))

    def send_peer_message(self, agent: int, message: bytes):
        """Send a message to one agent, or to all if `agent` is negative."""
        self.effects.append(("send_peer_message", agent, message))

    def set_timer(self, token: int, delay: float):
        """Call `on_timer` with `token` after `delay` seconds."""
        self.effects.append(("set_timer", token, self.now + delay))

    def log_note(self, text: str):
        """Write a note to the log."""
        self.effects.append(("log_note", text))

    # Log and metrics

    def log(self, message: str, request: Request, **fields):
        """Log an event of a request."""
        name = self.config.settings.request_classes[request.request_class].name
        self.effects.append(
            ("log", message, {"request": request.id.decode("latin-1"), "request_class": name} | fields)
        )

    def report_transition(self, transition: str, server, reason: str):
        """A circuit or the agent's current zone has changed; `server` is None for a zone."""
        self.metrics.count(transition.replace(" ", "_"))
        known = server and self.servers.get(server.index)
        self.effects.append(("log", transition, {"server": known.address if known else "", "reason": reason}))

    def report_violation(self, invariant: Invariant, id: bytes, detail: str):
        """Count and log a violated invariant."""
        self.metrics.count(f"violations_{invariant}")
        fields = {"invariant": str(invariant), "request": id.decode("latin-1"), "reason": detail}
        self.effects.append(("log_violation", fields))
