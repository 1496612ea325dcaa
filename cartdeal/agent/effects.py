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
from cartdeal.agent.metrics import REPORT_EVERY, Metrics
from cartdeal.agent.reducer import Reducer
from cartdeal.agent.stalls import StallDetector
from cartdeal.agent.upstream import UpstreamPool
from cartdeal.sockets import bind_socket
from cartdeal.supervision import supervise

LONGEST_WORDS = 256
RESERVED = 32  # descriptors for the discovery service, the agents, the log and the loop itself
MOST_DUE = 4096  # timers from which on those of requests that are over are dropped
DATAGRAMS_A_TURN = 16  # that are read before others have their turn
REREADS = 8  # times that a new configuration is read again ...
REREAD_PAUSE = 0.25  # ... after so many seconds, where the machine could not read it
OWN_MEMORY = 18.0  # megabytes that the agent holds before its first connection, with room to spare
PER_CONNECTION = 0.03  # megabytes for one with its request or attempt, but for a long body
LONG_BODIES = 0.4  # share of what is left of the memory that is for those

log = logging.getLogger("cartdeal.agent")


class Effects:
    def __init__(self, config, fleet=None):
        """`fleet`: what the fleet's file says; None without a fleet."""
        self.config = config
        self.due = []  # a heap of timers: when, in which order they were set, the event and what it is about
        self.most_due = MOST_DUE
        self.order = 0
        self.sooner = Event()
        self.later, self.playing, self.admission = deque(), False, None
        if fleet is not None:
            from cartdeal.agent.admission import AdmissionControl

            self.admission = AdmissionControl(config, fleet, self.after)
        self.metrics = Metrics()
        self.stalls = StallDetector()
        longest_requests = self.admission and self.admission.longest
        self.reducer = Reducer(config, monotonic(), time(), longest_requests, self.metrics)
        self.budget = ConnectionBudget(*room_for(config.limits, self.admission))
        self.front = FrontServer(
            config,
            self.dispatch,
            lambda: self.reducer.ready,
            self.budget,
            self.connection_closed,
            self.stalls,
        )
        self.upstream = UpstreamPool(config, self.dispatch, self.budget, self.may_begin, self.attempt_begins)
        self.budget.closers.append(self.front.close_slowest)  # last of all: it costs a request
        self.discovery = DiscoveryClient(config, self.dispatch, lambda: self.reducer.version)
        self.datagrams = self.open_datagrams()
        self.verbs = {
            "begun": self.front.begun,
            "refuse": self.front.refuse_request,
            "answer": self.front.answer,
            "send_attempt": self.upstream.send_attempt,
            "cancel": self.upstream.cancel,
            "probe": self.upstream.probe,
            "close_idle": self.upstream.close_idle,
            "watch": self.discovery.watch,
            "fetch_servers": self.discovery.fetch_servers,
            "set_timer": self.set_timer,
            "remind": self.remind,
            "send_peer_message": self.send_peer_message,
            "log_note": self.log_note,
            "log": self.log,
            "violation": self.violation,
        }
        if self.admission:
            self.verbs |= self.admission.verbs | {"withhold": self.withhold}

    def start(self):
        self.carry_out()
        works = [
            self.keep_time,
            self.upstream.sweep,
            self.front.sweep,
            self.front.accept,
            self.report_metrics,
            self.stalls.run,
        ]
        works += [self.hear] * bool(self.datagrams)
        self.works = [gevent.spawn(supervise, work, log) for work in works]
        if self.admission:
            self.works += self.admission.start()

    def drain(self):
        if self.admission:
            self.admission.leave()

    def leave_fleet(self, until: float):
        if self.admission:
            self.admission.part(until)

    def reread(self):
        """Takes over what a new configuration changes; one that can't be used changes nothing."""
        if self.admission:
            self.admission.reread()
        config = self.read_configuration()
        if config is None:
            return
        log.info(
            "configuration read",
            extra={
                "discovery": "{}:{}".format(*config.discovery),
                "needs_restart": " ".join(configuration.needs_restart(self.config, config)),
            },
        )
        if config.discovery != self.config.discovery:
            self.config = replace(self.config, discovery=config.discovery)
            self.discovery.move(config.discovery)
            self.dispatch("discovery_moved")

    def read_configuration(self):
        """None where it can't be used. Waits while the machine lacks what it needs to read the file."""
        for last in (False,) * REREADS + (True,):
            try:
                return configuration.read()
            except configuration.Fault as fault:
                log.error("configuration refused", extra={"reason": str(fault)})
                if last or not (isinstance(fault, configuration.Unreadable) and fault.is_passing):
                    return None
            gevent.sleep(REREAD_PAUSE)

    def dispatch(self, event: str, *args):
        """One event into the reducer, after the timers that were due before it."""
        self.run_due()
        self.play(event, args)

    def after(self, event: str, *args):
        """An event that may come of an effect: it is played after those of the event that is being played."""
        self.later.append((event, args))
        if not self.playing:
            self.run_due()
            while self.later:
                self.play(*self.later.popleft())

    def play(self, event: str, args):
        self.playing = True
        try:
            self.handle(event, args)
            while self.later:
                self.handle(*self.later.popleft())
        finally:
            self.playing = False

    def handle(self, event: str, args):
        reducer = self.reducer
        reducer.now = max(reducer.now, monotonic())
        try:
            getattr(reducer, event)(*args)
        except Exception:
            # A broken decision must not take the agent with it; its request is answered when it is overdue.
            log.exception("event failed", extra={"event": event})
        self.carry_out()

    def carry_out(self):
        effects, self.reducer.effects = self.reducer.effects, []
        for verb, *args in effects:
            try:
                self.verbs[verb](*args)
            except Exception:
                log.exception("effect failed", extra={"effect": verb})

    def withhold(self, request: int, server: int, attempt: int, result):
        self.after("attempt_ended", request, server, attempt, result)

    def may_begin(self, request: int, attempt: int, server: int) -> bool:
        """Asked by an attempt right before its first byte goes.

        An agent that is late reads a client's close only after the timers that send its request on: the close
        is heard here.
        """
        client = self.reducer.client_of(request)
        if client is not None and (client.closed or client.peer_ended()):
            client.peer_has_ended = True
            self.front.disconnect(client)
        self.reducer.now = max(self.reducer.now, monotonic())
        return self.reducer.may_begin(request, attempt, server)

    def attempt_begins(self, request: int, attempt: int, server: int, told: float):
        """Called by an attempt as its first byte goes: it is counted, and held against the rules."""
        self.reducer.attempt_begins(request, attempt, server, told)
        self.carry_out()

    def connection_closed(self, reason: str, unanswered: int, peer_ended: bool):
        """A client's connection is closed; `unanswered`: requests of which something was read on it."""
        self.metrics.count("clients_closed_" + reason)
        self.reducer.monitor.connection_closed(unanswered, peer_ended)
        self.carry_out()

    # Timers

    def set_timer(self, token: int, at: float):
        self.set(at, "woken", token)

    def remind(self, request: int, at: float):
        self.set(at, "overdue", request)

    def set(self, at: float, event: str, about: int):
        self.order += 1
        heappush(self.due, (at, self.order, event, about))
        if len(self.due) > self.most_due:
            self.drop_reminders()
        if self.due[0][1] == self.order:
            self.sooner.set()

    def drop_reminders(self):
        """Drops those of requests that are over.

        A client may say that it waits for a minute, and be answered at once, many times a second.
        """
        requests = self.reducer.requests
        self.due = [each for each in self.due if each[2] != "overdue" or each[3] in requests]
        heapify(self.due)
        self.most_due = max(MOST_DUE, 2 * len(self.due))

    def run_due(self):
        while self.due and self.due[0][0] <= monotonic():
            _, _, event, about = heappop(self.due)
            self.play(event, (about,))

    def keep_time(self):
        while True:
            self.sooner.clear()
            self.run_due()
            # The loop's own clock may lag: the balancer takes a timer that comes early for an older one.
            self.sooner.wait(max(0.0, self.due[0][0] - monotonic()) if self.due else None)

    # Between agents

    def open_datagrams(self):
        if not self.config.tell_listen or not self.config.settings.permissions.may_message_peers:
            return None
        return bind_socket(socket.SOCK_DGRAM, self.config.tell_listen)

    def hear(self):
        senders = {address: place for place, address in enumerate(self.config.neighbours)}
        for read in count(1):
            if not read % DATAGRAMS_A_TURN:
                gevent.sleep(0)  # a read of what is there does not yield
            text, address = self.datagrams.recvfrom(LONGEST_WORDS + 1)
            if address in senders and len(text) <= LONGEST_WORDS:
                self.dispatch("told", senders[address], text)

    def send_peer_message(self, agent: int, message: bytes):
        neighbours = self.config.neighbours
        to = self.config.everyone if agent < 0 else neighbours[agent] if agent < len(neighbours) else None
        if self.datagrams and to and len(message) <= LONGEST_WORDS:
            self.datagrams.sendto(message, to)

    def log_note(self, text: str):
        log.info("note", extra={"text": text})

    def log(self, message: str, fields: dict):
        log.info(message, extra=fields)

    def violation(self, fields: dict):
        log.error("invariant violated", extra=fields)

    def report_metrics(self):
        while True:
            gevent.sleep(REPORT_EVERY)
            self.log_metrics()

    def log_metrics(self):
        counts = self.metrics.report()
        if counts:
            log.info("metrics", extra=counts)


def room_for(limits, admission=None) -> tuple[int, int]:
    """Connections, and bytes for long bodies; the fleet's share of both is the gate's."""
    memory = limits.memory - OWN_MEMORY - (admission.memory if admission else 0.0)
    descriptors = limits.descriptors - RESERVED - (admission.descriptors if admission else 0)
    connections = min(descriptors, (1 - LONG_BODIES) * memory / PER_CONNECTION)
    return int(connections), int(LONG_BODIES * memory * 1e6)
