"""Runs the reducer's effects, and returns each result to the reducer as an event.

Owns the timers, the datagrams between agents, and `dispatch`, the only way to the reducer. The reducer never
gets an event while it handles another. No state of a request is kept here.
"""

import logging
from collections import deque
from heapq import heapify, heappop, heappush
from itertools import count
from time import monotonic, time

import gevent
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace

from cartdeal.agent import configuration
from cartdeal.agent.connection_budget import ConnectionBudget
from cartdeal.agent.discovery import DiscoveryClient
from cartdeal.agent.front import FrontServer
from cartdeal.agent.metrics import REPORT_INTERVAL_S, Metrics
from cartdeal.agent.reducer import AttemptResult, Reducer
from cartdeal.agent.stalls import StallDetector
from cartdeal.agent.upstream import UpstreamPool
from cartdeal.balancer_types import LoadReport
from cartdeal.sockets import bind_socket
from cartdeal.supervision import supervise

MAX_PEER_MESSAGE_BYTES = 256
RESERVED_DESCRIPTORS = 32  # for the discovery service, the peers, the log and the event loop
MAX_TIMERS = 4096  # above this, the timers of finished requests are dropped
DATAGRAMS_PER_TURN = 16  # datagrams read before yielding to other greenlets
MAX_RELOAD_RETRIES = 8  # of reading a configuration file, if the agent lacks resources for it
RELOAD_RETRY_DELAY_S = 0.25
BASE_MEMORY_MB = 18.0  # of the agent before its first connection, with a margin
CONNECTION_MEMORY_MB = 0.03  # of a connection with its request or attempt, except what it claims
MESSAGE_SHARE = 0.4  # of the remaining memory, for what connections claim

log = logging.getLogger("cartdeal.agent")


class Effects:
    """The event loop's side of an agent: sockets, timers and log output around one reducer."""

    def __init__(self, config, fleet_configuration=None):
        """`fleet_configuration`: the contents of the fleet's file; None without a fleet. Raises BindError."""
        self.config = config
        # A heap of (due time, sequence number, event, subject of the event).
        self.timers = []
        self.max_timers = MAX_TIMERS
        self.timer_sequence = 0
        self.timer_changed = Event()
        self.queued_events, self.is_handling_event, self.admission = deque(), False, None
        if fleet_configuration is not None:
            from cartdeal.agent.admission import AdmissionControl

            self.admission = AdmissionControl(config, fleet_configuration, self.queue_event)
        self.metrics = Metrics()
        self.stalls = StallDetector()
        max_request_durations = self.admission and self.admission.max_request_durations
        self.reducer = Reducer(config, monotonic(), time(), max_request_durations, self.metrics)
        self.budget = ConnectionBudget(*connection_capacity(config.limits, self.admission))
        self.front = FrontServer(
            config,
            self.dispatch,
            lambda: self.reducer.is_ready,
            self.budget,
            self.on_connection_closed,
            self.stalls,
        )
        self.upstream = UpstreamPool(
            config,
            self.dispatch,
            self.budget,
            self.may_send,
            self.on_attempt_started,
            self.on_attempt_ended,
        )
        self.budget.closers.append(self.front.close_paused)  # the last resort, because it costs a request
        self.discovery = DiscoveryClient(config, self.dispatch, lambda: self.reducer.list_version)
        self.peer_socket = self.open_peer_socket()
        self.effect_handlers = {
            "request_accepted": self.front.on_request_accepted,
            "refuse_request": self.front.refuse_request,
            "answer": self.front.answer,
            "send_attempt": self.upstream.send_attempt,
            "cancel": self.upstream.cancel,
            "probe": self.upstream.probe,
            "close_idle": self.upstream.close_idle,
            "watch": self.discovery.watch,
            "fetch_servers": self.discovery.fetch_servers,
            "set_timer": self.set_timer,
            "set_deadline_timer": self.set_deadline_timer,
            "send_peer_message": self.send_peer_message,
            "log_note": self.log_note,
            "log": self.log,
            "log_violation": self.log_violation,
        }
        if self.admission:
            self.effect_handlers |= self.admission.effect_handlers | {
                "suppress_attempt": self.suppress_attempt
            }

    def start(self):
        """Run the first effects and start the background tasks."""
        self.run_effects()
        tasks = [
            self.run_timers,
            self.upstream.sweep,
            self.front.sweep,
            self.front.accept,
            self.report_metrics,
            self.stalls.run,
        ]
        tasks += [self.receive_peer_messages] * bool(self.peer_socket)
        self.background_tasks = [gevent.spawn(supervise, task, log) for task in tasks]
        if self.admission:
            self.background_tasks += self.admission.start()

    def begin_handover(self):
        """Begin to hand over the fleet state of this agent, if it is in a fleet."""
        if self.admission:
            self.admission.begin_handover()

    def leave_fleet(self, until: float):
        """Wait for the handover, at most until `until`, and leave the fleet."""
        if self.admission:
            self.admission.leave_fleet(until)

    def reload(self):
        """Apply the changes of the configuration files; an invalid file changes nothing."""
        if self.admission:
            self.admission.reload()
        config = self.read_configuration()
        if config is None:
            return
        log.info(
            "configuration read",
            extra={
                "discovery": "{}:{}".format(*config.discovery),
                "needs_restart": " ".join(configuration.restart_keys(self.config, config)),
            },
        )
        if config.discovery != self.config.discovery:
            self.config = replace(self.config, discovery=config.discovery)
            self.discovery.move(config.discovery)
            self.dispatch("on_discovery_moved")

    def read_configuration(self):
        """Return the new configuration; None if it is invalid. Retries reads that lacked resources."""
        for is_last_try in (False,) * MAX_RELOAD_RETRIES + (True,):
            try:
                return configuration.read()
            except configuration.ConfigurationError as error:
                log.error("configuration refused", extra={"reason": str(error)})
                if is_last_try or not (
                    isinstance(error, configuration.UnreadableFileError) and error.is_transient
                ):
                    return None
            gevent.sleep(RELOAD_RETRY_DELAY_S)

    def dispatch(self, event: str, *args):
        """Pass an event to the reducer, after the timers that were due before it."""
        self.run_due_timers()
        self.run_event(event, args)

    def queue_event(self, event: str, *args):
        """Pass an event that an effect may have caused, once the current event and its effects are done."""
        self.queued_events.append((event, args))
        if not self.is_handling_event:
            self.run_due_timers()
            while self.queued_events:
                self.run_event(*self.queued_events.popleft())

    def run_event(self, event: str, args):
        """Handle an event, and then the events that were queued meanwhile."""
        self.is_handling_event = True
        try:
            self.handle_event(event, args)
            while self.queued_events:
                self.handle_event(*self.queued_events.popleft())
        finally:
            self.is_handling_event = False

    def handle_event(self, event: str, args):
        """Call the reducer's method of this name, and run the effects."""
        reducer = self.reducer
        reducer.now = max(reducer.now, monotonic())
        try:
            getattr(reducer, event)(*args)
        except Exception:
            # An error in a decision must not end the agent; the request is answered at its deadline.
            log.exception("event failed", extra={"event": event})
        self.run_effects()

    def run_effects(self):
        """Run the effects that the reducer has collected."""
        effects, self.reducer.effects = self.reducer.effects, []
        for effect, *args in effects:
            try:
                self.effect_handlers[effect](*args)
            except Exception:
                log.exception("effect failed", extra={"effect": effect})

    def suppress_attempt(self, request: int, server: int, attempt: int, result):
        """Report an attempt that is not sent as ended."""
        self.queue_event("on_attempt_ended", request, server, attempt, result)

    def may_send(self, request: int, attempt: int, server: int) -> bool:
        """Whether an attempt may send its first byte now.

        An agent that runs late reads a client's close only after the timers that send the client's request.
        The close is therefore checked here.
        """
        client = self.reducer.waiting_client(request)
        if client is not None and (client.closed or client.peer_ended()):
            client.peer_has_ended = True
            self.front.disconnect(client)
        elif client is not None and client.may_have_ended_unseen():
            self.run_event("on_client_unseen", (request, attempt))
        self.reducer.now = max(self.reducer.now, monotonic())
        return self.reducer.may_send(request, attempt, server)

    def on_attempt_started(self, request: int, attempt: int, server: int, timeout_sent: float):
        """The first byte of an attempt is being sent: count it and check the invariants."""
        self.reducer.on_attempt_started(request, attempt, server, timeout_sent)
        self.run_effects()

    def on_attempt_ended(
        self, request: int, server: int, attempt: int, result: AttemptResult, load: LoadReport | None
    ):
        """Pass the end of an attempt to the reducer.

        If its request is overdue and it provably never ran, it precedes the timers that are due. In an agent
        that runs late, the timer of the deadline would otherwise fail a request that may still be rejected.
        """
        if result.outcome().never_ran and self.reducer.is_overdue(request, monotonic()):
            self.run_event("on_attempt_ended", (request, server, attempt, result, load))
        else:
            self.dispatch("on_attempt_ended", request, server, attempt, result, load)

    def on_connection_closed(self, reason: str, unanswered: int, peer_ended: bool):
        """A client's connection is closed; `unanswered` requests on it were read at least in part."""
        self.metrics.count("clients_closed_" + reason)
        self.reducer.monitor.on_connection_closed(unanswered, peer_ended)
        self.run_effects()

    # Timers

    def set_timer(self, token: int, due_at: float):
        """Set a timer of the balancer."""
        self.schedule_event(due_at, "on_timer", token)

    def set_deadline_timer(self, request: int, due_at: float):
        """Set the timer of a request's deadline."""
        self.schedule_event(due_at, "on_deadline_passed", request)

    def schedule_event(self, due_at: float, event: str, subject: int):
        """Dispatch an event at `due_at`, in monotonic seconds."""
        self.timer_sequence += 1
        heappush(self.timers, (due_at, self.timer_sequence, event, subject))
        if len(self.timers) > self.max_timers:
            self.drop_obsolete_timers()
        if self.timers[0][1] == self.timer_sequence:
            self.timer_changed.set()

    def drop_obsolete_timers(self):
        """Drop the deadline timers of finished requests.

        A client may state a timeout of a minute and be answered at once, many times a second.
        """
        requests = self.reducer.requests
        self.timers = [each for each in self.timers if each[2] != "on_deadline_passed" or each[3] in requests]
        heapify(self.timers)
        self.max_timers = max(MAX_TIMERS, 2 * len(self.timers))

    def run_due_timers(self):
        """Run the events of all timers that are due."""
        while self.timers and self.timers[0][0] <= monotonic():
            _, _, event, subject = heappop(self.timers)
            self.run_event(event, (subject,))

    def run_timers(self):
        """Run the timers as they become due; a background task."""
        while True:
            self.timer_changed.clear()
            self.run_due_timers()
            # The clock of the event loop may lag, so timers are checked against the monotonic clock: the
            # balancer ignores a timer that fires early, as one that an earlier timer has replaced.
            self.timer_changed.wait(max(0.0, self.timers[0][0] - monotonic()) if self.timers else None)

    # Peer messages

    def open_peer_socket(self):
        """Bind the socket for peer messages; None if the agent exchanges none. Raises BindError."""
        if not self.config.peer_listen or not self.config.settings.permissions.may_message_peers:
            return None
        return bind_socket(socket.SOCK_DGRAM, self.config.peer_listen)

    def receive_peer_messages(self):
        """Dispatch the messages of known peers; a background task."""
        senders = {address: index for index, address in enumerate(self.config.peers)}
        for read_count in count(1):
            if not read_count % DATAGRAMS_PER_TURN:
                gevent.sleep(0)  # a read of available data does not yield
            text, address = self.peer_socket.recvfrom(MAX_PEER_MESSAGE_BYTES + 1)
            if address in senders and len(text) <= MAX_PEER_MESSAGE_BYTES:
                self.dispatch("on_peer_message", senders[address], text)

    def send_peer_message(self, agent: int, message: bytes):
        """Send a message to one peer, or to all if `agent` is negative."""
        peers = self.config.peers
        address = self.config.peers_broadcast if agent < 0 else peers[agent] if agent < len(peers) else None
        if self.peer_socket and address and len(message) <= MAX_PEER_MESSAGE_BYTES:
            self.peer_socket.sendto(message, address)

    # Log and metrics

    def log_note(self, text: str):
        """Log a note of the reducer."""
        log.info("note", extra={"text": text})

    def log(self, message: str, fields: dict):
        """Log an event of the reducer."""
        log.info(message, extra=fields)

    def log_violation(self, fields: dict):
        """Log a violated invariant."""
        log.error("invariant violated", extra=fields)

    def report_metrics(self):
        """Log the metrics at intervals; a background task."""
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            self.log_metrics()

    def log_metrics(self):
        """Log the metrics if any has changed."""
        counters = self.metrics.report()
        if counters:
            log.info("metrics", extra=counters)


def connection_capacity(limits, admission=None) -> tuple[int, int]:
    """Return the limits of connections and of the bytes that they claim, less admission control's share."""
    memory_mb = limits.memory_mb - BASE_MEMORY_MB - (admission.reserved_memory_mb if admission else 0.0)
    descriptors = (
        limits.descriptors - RESERVED_DESCRIPTORS - (admission.reserved_descriptors if admission else 0)
    )
    connections = min(descriptors, (1 - MESSAGE_SHARE) * memory_mb / CONNECTION_MEMORY_MB)
    return int(connections), int(MESSAGE_SHARE * memory_mb * 1e6)
