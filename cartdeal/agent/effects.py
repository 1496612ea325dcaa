"""Carries out what the reducer asks for, and brings each result back to it as an event.

Owns the timers and the datagrams between agents, and the one way into the reducer, `feed`. It must never let
an event in while another is being handled, and keeps no state of a request.
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
from cartdeal.agent.connection import ConnectionBudget
from cartdeal.agent.discovery import DiscoveryClient
from cartdeal.agent.front import FrontServer
from cartdeal.agent.metrics import REPORT_INTERVAL_S, Metrics
from cartdeal.agent.reducer import Reducer
from cartdeal.agent.stalls import StallDetector
from cartdeal.agent.upstream import UpstreamPool
from cartdeal.sockets import bind_socket
from cartdeal.supervision import supervise

MAX_PEER_MESSAGE_BYTES = 256
RESERVED_DESCRIPTORS = 32  # descriptors for the discovery service, the agents, the log and the loop itself
MAX_TIMERS = 4096  # timers from which on those of requests that are over are dropped
DATAGRAMS_PER_TURN = 16  # that are read before others have their turn
MAX_RELOAD_RETRIES = 8  # times that a new configuration is read again ...
RELOAD_RETRY_DELAY_S = 0.25  # ... after so many seconds, where the machine could not read it
BASE_MEMORY_MB = 18.0  # megabytes that the agent holds before its first connection, with room to spare
CONNECTION_MEMORY_MB = 0.03  # megabytes for one with its request or attempt, but for a long body
LONG_BODY_SHARE = 0.4  # share of what is left of the memory that is for those

log = logging.getLogger("cartdeal.agent")


class Effects:
    def __init__(self, config, fleet=None):
        """`fleet`: what the fleet's file says; None without a fleet."""
        self.config = config
        # A heap of timers: when, in which order they were set, the event and what it is about.
        self.timers = []
        self.max_timers = MAX_TIMERS
        self.timer_sequence = 0
        self.timer_changed = Event()
        self.queued_events, self.is_handling_event, self.admission = deque(), False, None
        if fleet is not None:
            from cartdeal.agent.admission import AdmissionControl

            self.admission = AdmissionControl(config, fleet, self.queue_event)
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
            config, self.dispatch, self.budget, self.may_send, self.on_attempt_started
        )
        self.budget.closers.append(self.front.close_slowest)  # last of all: it costs a request
        self.discovery = DiscoveryClient(config, self.dispatch, lambda: self.reducer.list_version)
        self.peer_socket = self.open_peer_socket()
        self.effect_handlers = {
            "request_accepted": self.front.begun,
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
        if self.admission:
            self.admission.begin_handover()

    def leave_fleet(self, until: float):
        if self.admission:
            self.admission.leave_fleet(until)

    def reload(self):
        """Takes over what a new configuration changes; one that can't be used changes nothing."""
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
        """None where it can't be used. Waits while the machine lacks what it needs to read the file."""
        for last in (False,) * MAX_RELOAD_RETRIES + (True,):
            try:
                return configuration.read()
            except configuration.ConfigurationError as error:
                log.error("configuration refused", extra={"reason": str(error)})
                if last or not (isinstance(error, configuration.UnreadableFileError) and error.is_transient):
                    return None
            gevent.sleep(RELOAD_RETRY_DELAY_S)

    def dispatch(self, event: str, *args):
        """One event into the reducer, after the timers that were due before it."""
        self.run_due_timers()
        self.run_event(event, args)

    def queue_event(self, event: str, *args):
        """An event that may come of an effect: it is played after those of the event that is being played."""
        self.queued_events.append((event, args))
        if not self.is_handling_event:
            self.run_due_timers()
            while self.queued_events:
                self.run_event(*self.queued_events.popleft())

    def run_event(self, event: str, args):
        self.is_handling_event = True
        try:
            self.handle_event(event, args)
            while self.queued_events:
                self.handle_event(*self.queued_events.popleft())
        finally:
            self.is_handling_event = False

    def handle_event(self, event: str, args):
        reducer = self.reducer
        reducer.now = max(reducer.now, monotonic())
        try:
            getattr(reducer, event)(*args)
        except Exception:
            # A broken decision must not take the agent with it; its request is answered when it is overdue.
            log.exception("event failed", extra={"event": event})
        self.run_effects()

    def run_effects(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for effect, *args in effects:
            try:
                self.effect_handlers[effect](*args)
            except Exception:
                log.exception("effect failed", extra={"effect": effect})

    def suppress_attempt(self, request: int, server: int, attempt: int, result):
        self.queue_event("on_attempt_ended", request, server, attempt, result)

    def may_send(self, request: int, attempt: int, server: int) -> bool:
        """Asked by an attempt right before its first byte goes.

        An agent that is late reads a client's close only after the timers that send its request on: the close
        is heard here.
        """
        client = self.reducer.waiting_client(request)
        if client is not None and (client.closed or client.peer_ended()):
            client.peer_has_ended = True
            self.front.disconnect(client)
        self.reducer.now = max(self.reducer.now, monotonic())
        return self.reducer.may_send(request, attempt, server)

    def on_attempt_started(self, request: int, attempt: int, server: int, timeout_sent: float):
        """Called by an attempt as its first byte goes: it is counted, and held against the rules."""
        self.reducer.on_attempt_started(request, attempt, server, timeout_sent)
        self.run_effects()

    def on_connection_closed(self, reason: str, unanswered: int, peer_ended: bool):
        """A client's connection is closed; `unanswered`: requests of which something was read on it."""
        self.metrics.count("clients_closed_" + reason)
        self.reducer.monitor.on_connection_closed(unanswered, peer_ended)
        self.run_effects()

    # Timers

    def set_timer(self, token: int, at: float):
        self.schedule_event(at, "on_timer", token)

    def set_deadline_timer(self, request: int, at: float):
        self.schedule_event(at, "on_deadline_passed", request)

    def schedule_event(self, at: float, event: str, about: int):
        self.timer_sequence += 1
        heappush(self.timers, (at, self.timer_sequence, event, about))
        if len(self.timers) > self.max_timers:
            self.drop_obsolete_timers()
        if self.timers[0][1] == self.timer_sequence:
            self.timer_changed.set()

    def drop_obsolete_timers(self):
        """Drops those of requests that are over.

        A client may say that it waits for a minute, and be answered at once, many times a second.
        """
        requests = self.reducer.requests
        self.timers = [each for each in self.timers if each[2] != "on_deadline_passed" or each[3] in requests]
        heapify(self.timers)
        self.max_timers = max(MAX_TIMERS, 2 * len(self.timers))

    def run_due_timers(self):
        while self.timers and self.timers[0][0] <= monotonic():
            _, _, event, about = heappop(self.timers)
            self.run_event(event, (about,))

    def run_timers(self):
        while True:
            self.timer_changed.clear()
            self.run_due_timers()
            # The loop's own clock may lag: the balancer takes a timer that comes early for an older one.
            self.timer_changed.wait(max(0.0, self.timers[0][0] - monotonic()) if self.timers else None)

    # Between agents

    def open_peer_socket(self):
        if not self.config.peer_listen or not self.config.settings.permissions.may_message_peers:
            return None
        return bind_socket(socket.SOCK_DGRAM, self.config.peer_listen)

    def receive_peer_messages(self):
        senders = {address: place for place, address in enumerate(self.config.peers)}
        for read in count(1):
            if not read % DATAGRAMS_PER_TURN:
                gevent.sleep(0)  # a read of what is there does not yield
            text, address = self.peer_socket.recvfrom(MAX_PEER_MESSAGE_BYTES + 1)
            if address in senders and len(text) <= MAX_PEER_MESSAGE_BYTES:
                self.dispatch("on_peer_message", senders[address], text)

    def send_peer_message(self, agent: int, message: bytes):
        peers = self.config.peers
        to = self.config.peers_broadcast if agent < 0 else peers[agent] if agent < len(peers) else None
        if self.peer_socket and to and len(message) <= MAX_PEER_MESSAGE_BYTES:
            self.peer_socket.sendto(message, to)

    def log_note(self, text: str):
        log.info("note", extra={"text": text})

    def log(self, message: str, fields: dict):
        log.info(message, extra=fields)

    def log_violation(self, fields: dict):
        log.error("invariant violated", extra=fields)

    def report_metrics(self):
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            self.log_metrics()

    def log_metrics(self):
        counts = self.metrics.report()
        if counts:
            log.info("metrics", extra=counts)


def connection_capacity(limits, admission=None) -> tuple[int, int]:
    """Connections, and bytes for long bodies; the fleet's share of both is the gate's."""
    memory_mb = limits.memory_mb - BASE_MEMORY_MB - (admission.reserved_memory_mb if admission else 0.0)
    descriptors = (
        limits.descriptors - RESERVED_DESCRIPTORS - (admission.reserved_descriptors if admission else 0)
    )
    connections = min(descriptors, (1 - LONG_BODY_SHARE) * memory_mb / CONNECTION_MEMORY_MB)
    return int(connections), int(LONG_BODY_SHARE * memory_mb * 1e6)
