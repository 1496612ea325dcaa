"""Carries out what the reducer asks for, and brings each result back to it as an event.

Owns the timers and the datagrams between agents, and the one way into the reducer, `feed`. It must never let
an event in while another is being handled, and keeps no state of a lookup.
"""

import logging
from collections import deque
from heapq import heappop, heappush
from time import monotonic, time

import gevent
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace

from cartdeal.agent import configuration
from cartdeal.agent.connection import Room, bound
from cartdeal.agent.front import Front
from cartdeal.agent.reducer import Reducer
from cartdeal.agent.roster import Roster
from cartdeal.agent.shots import Shots

LONGEST_WORDS = 256
RESERVED = 32       # descriptors for the list service, the agents, the log and the loop itself
AGAIN = 0.05        # pause before what died of a fault begins again
OWN_MEMORY = 18.0   # megabytes that the agent holds before its first connection, with room to spare
PER_CONNECTION = 0.03   # megabytes for one with its lookup or shot, but for a long body
LONG_BODIES = 0.4   # share of what is left of the memory that is for those

log = logging.getLogger("cartdeal.agent")


class Effects:
    def __init__(self, station, papers=None):
        """`papers`: what the fleet's file says; None without a fleet."""
        self.station = station
        self.due = []
        self.order = 0
        self.sooner = Event()
        self.later, self.playing, self.gate = deque(), False, None
        if papers is not None:
            from cartdeal.agent.gate import Gate

            self.gate = Gate(station, papers, self.after)
        self.reducer = Reducer(station, monotonic(), time(), self.gate and self.gate.longest)
        self.room = Room(*room_for(station.limits, self.gate))
        self.front = Front(station, self.feed, lambda: self.reducer.ready, self.room)
        self.shots = Shots(station, self.feed, self.room)
        self.roster = Roster(station, self.feed, lambda: self.reducer.version)
        self.words = self.open_words()
        self.verbs = {
            "begun": self.front.begun, "refuse": self.front.refuse_lookup, "answer": self.front.answer,
            "shoot": self.shots.shoot, "cancel": self.shots.cancel, "probe": self.shots.probe,
            "close_idle": self.shots.close_idle,
            "watch": self.roster.watch, "fetch_list": self.roster.fetch_list,
            "wake": self.wake, "remind": self.remind, "tell": self.tell, "note": self.note,
        }
        if self.gate:
            self.verbs |= self.gate.verbs | {"withhold": self.withhold}

    def start(self):
        self.carry_out()
        works = [self.keep_time, self.shots.sweep, self.front.sweep, self.front.accept]
        works += [self.hear] * bool(self.words)
        self.works = [gevent.spawn(self.endure, work) for work in works]
        if self.gate:
            self.works += self.gate.start()

    def leave(self):
        if self.gate:
            self.gate.leave()

    def part(self, until: float):
        if self.gate:
            self.gate.part(until)

    def reread(self):
        """Takes over what a new configuration changes; one that can't be used changes nothing."""
        if self.gate:
            self.gate.reread()
        try:
            station = configuration.read()
        except configuration.Fault as fault:
            return log.error("configuration refused", extra={"words": str(fault)})
        log.info("configuration read", extra={
            "list_service": "{}:{}".format(*station.list_service),
            "needs_restart": " ".join(configuration.needs_restart(self.station, station))})
        if station.list_service != self.station.list_service:
            self.station = replace(self.station, list_service=station.list_service)
            self.roster.move(station.list_service)
            self.feed("list_moved")

    def endure(self, work):
        """What runs as long as the agent does: an agent that is deaf since a fault would look alive."""
        while True:
            try:
                return work()
            except Exception:
                log.exception("work died", extra={"work": work.__name__})
                gevent.sleep(AGAIN)

    def feed(self, event: str, *args):
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
            # A broken decision must not take the agent with it; its lookup is answered when it is overdue.
            log.exception("event failed", extra={"event": event})
        self.carry_out()

    def carry_out(self):
        asked, self.reducer.asked = self.reducer.asked, []
        for verb, *args in asked:
            try:
                self.verbs[verb](*args)
            except Exception:
                log.exception("effect failed", extra={"effect": verb})

    def withhold(self, lookup: int, server: int, shot: int, ending):
        self.after("shot_ended", lookup, server, shot, ending)

    # Timers

    def wake(self, token: int, at: float):
        self.set(at, "woken", token)

    def remind(self, lookup: int, at: float):
        self.set(at, "overdue", lookup)

    def set(self, at: float, event: str, about: int):
        self.order += 1
        heappush(self.due, (at, self.order, event, about))
        if self.due[0][1] == self.order:
            self.sooner.set()

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

    def open_words(self):
        if not self.station.tell_listen or not self.station.grant.leave.may_tell:
            return None
        return bound(socket.SOCK_DGRAM, self.station.tell_listen)

    def hear(self):
        senders = {address: place for place, address in enumerate(self.station.neighbours)}
        while True:
            text, address = self.words.recvfrom(LONGEST_WORDS + 1)
            if address in senders and len(text) <= LONGEST_WORDS:
                self.feed("told", senders[address], text)

    def tell(self, agent: int, words: bytes):
        neighbours = self.station.neighbours
        to = self.station.everyone if agent < 0 else neighbours[agent] if agent < len(neighbours) else None
        if self.words and to and len(words) <= LONGEST_WORDS:
            self.words.sendto(words, to)

    def note(self, text: str):
        log.info("note", extra={"words": text})


def room_for(limits, gate=None) -> tuple[int, int]:
    """Connections, and bytes for long bodies; the fleet's share of both is the gate's."""
    memory = limits.memory - OWN_MEMORY - (gate.memory if gate else 0.0)
    descriptors = limits.descriptors - RESERVED - (gate.descriptors if gate else 0)
    connections = min(descriptors, (1 - LONG_BODIES) * memory / PER_CONNECTION)
    return int(connections), int(LONG_BODIES * memory * 1e6)
