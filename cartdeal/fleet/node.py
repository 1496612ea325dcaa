"""One agent's share of the fleet: membership, ring, copies and lending, tied into one reducer.

One event comes in by one method; what it leads to stands in `asked` afterwards, for a host to carry out:
    ("send", name, address, message)              to a peer
    ("decided", ticket, verdict, wait, heed)    what is done with a request; `heed`: see verdict.Elsewhere
    ("note", kind, about)                       for an operator to read
It must never do I/O, read a clock or sleep: the host sets `now` (monotonic seconds) and `wall` (the wall
clock's) before each event. It decides nothing of servers.
"""

from collections import Counter
from random import Random
from statistics import median_high

from msgspec import Struct
from msgspec.structs import replace

from cartdeal.fleet import errors, events
from cartdeal.fleet.consensus import ring_consensus
from cartdeal.fleet.consensus.ring_consensus import RingConsensus
from cartdeal.fleet.effects import DeliverDecision, Effect, SendMessage, WriteLog
from cartdeal.fleet.events import LogEvent
from cartdeal.fleet.hybrid_clock import HybridClock, Timestamp
from cartdeal.fleet.idempotency import (
    AdmissionDecision,
    AdmissionRequest,
    decide,
    decide_unknown,
    matching_attempts,
    may_reject,
    may_repeat,
)
from cartdeal.fleet.membership import messages as membership_messages
from cartdeal.fleet.membership.membership import Membership
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.quota import messages as quota_messages
from cartdeal.fleet.quota.quota_leases import QuotaLeases
from cartdeal.fleet.replication import messages, schema
from cartdeal.fleet.replication.records import AttemptRecord, Certainty
from cartdeal.fleet.replication.replica import Replica
from cartdeal.fleet.settings import FleetSettings

COME_AGAIN = 0.5  # seconds after which one rejected in doubt may come again, 1.5 times that at most
RAN = {"never": Certainty.NEVER_RAN, "maybe": Certainty.SENT, "answered": Certainty.ANSWERED}
MOST_CLOCKS = 1024  # peers whose time is remembered between two looks: a majority of the ring has to fit
LOOK = 10.0  # seconds between two looks at whether the own clock is the odd one
KNOWN_PEERS = 4  # addresses kept of unidentified clients, as a multiple of the most agents there may be


class PendingAdmission:
    """A request that waits for the fleet's word, or has had it and is not ended yet."""

    __slots__ = ("question", "until", "by", "mark", "step", "limit_wait")

    def __init__(self, question: AdmissionRequest, until: float):
        self.question, self.until = question, until
        self.by, self.mark = "", None  # its own mark, once it is claimed
        self.step = "spend"  # then "claim" or "denied", and "open"
        self.limit_wait = 0.0


class Node:
    def __init__(self, settings: FleetSettings, seed, now: float, wall: float):
        self.settings = settings
        self.effects: list[Effect] = []
        self.counters: Counter[str] = Counter()
        self.now, self.offset = now, wall - now
        self.name, self.address = settings.name, settings.address
        self.random = Random(f"{seed}/{settings.name}/{int(wall * 1e3)}")
        self.incarnation = int(wall * 1e3) << 16 | self.random.getrandbits(16)
        self.count_ = 0  # requests so far; with the incarnation, no number is ever given out twice
        self.waiting: dict[int, PendingAdmission] = {}
        self.open = 0  # of these, how many still wait for the fleet's word
        self.addresses: dict[str, str] = {}
        # By peer: whether it goes by a ring; how far its clock was ahead of `now`, at most, since the last
        # look.
        self.clocks: dict[str, tuple[bool, float]] = {}
        self.look_at, self.ticked = now, now
        self.clock = HybridClock(settings.name, settings.clock_ahead_s)
        self.membership = Membership(self, settings)
        self.consensus = RingConsensus(self, settings)
        self.replica = Replica(self, settings, self.claimed, self.sure)
        self.quota = QuotaLeases(self, settings, self.on_token_decision, self.sure)
        self.parts = {
            kind: part
            for module, part in (
                (membership_messages, self.membership),
                (ring_consensus, self.consensus),
                (messages, self.replica),
                (quota_messages, self.quota),
            )
            for kind in module.MESSAGE_TYPES
        }
        self.ring = None
        self.fenced = self.held_late = self.caught_up = False
        self.is_leaving = False
        self.served = Counter()  # by tenant, already told to the owners
        self.membership.join()

    # What the host sets

    @property
    def wall(self) -> float:
        """The fleet's time. A wall clock that is set while the agent runs moves nothing."""
        return self.offset + self.now

    @wall.setter
    def wall(self, reading: float):
        """A host may set it; what counts is the reading at the start, and what peers told since."""

    # What the parts use

    def send(self, to: str, message: Struct):
        peer = self.membership.peers.get(to)
        address = peer.address if peer else self.settings.seeds.get(to) or self.addresses.get(to)
        if address and to != self.name:
            self.effects.append(SendMessage(to, address, message))
        else:
            self.increment(Metric.NO_ADDRESS)

    def log_event(self, event: LogEvent):
        self.effects.append(WriteLog(event))

    def increment(self, counter: str, by: int = 1):
        self.counters[counter] += by

    # Events

    def on_message(self, sender: str, incarnation: int, address: str, wall_ms: int, message: Struct):
        """A message whose digest was right: that its sender knows the key is all that it proves."""
        part = self.parts.get(type(message))
        if part is None or sender == self.name:
            return self.increment(Metric.DROPPED_OWN_NAME)
        peer = self.membership.peers.get(sender)
        if peer and incarnation < peer.incarnation and part is not self.membership:
            # members answer with the incarnation that is known
            return self.increment(Metric.DROPPED_OLD_INCARNATION)
        in_ring = part is self.consensus and getattr(message, "epoch", 1) > 0
        if not self.timely(sender, wall_ms, in_ring) and part is self.replica:
            return  # what it stamps can't be believed; that it is there, and what ring it has, can
        if sender in self.addresses or len(self.addresses) < KNOWN_PEERS * self.settings.most_agents:
            self.addresses[sender] = address
        part.on_message(sender, message)
        self.follow()

    def timely(self, sender: str, wall_ms: int, in_ring: bool) -> bool:
        """Takes the fleet's time over from a peer that is ahead, but never more than is allowed."""
        offset = wall_ms / 1e3 - self.now
        if sender in self.clocks or len(self.clocks) < MOST_CLOCKS:
            # A message that was long on its way says less than the next one; what a peer told before it went
            # by a ring says nothing.
            had = self.clocks.get(sender, (False, offset))
            new = in_ring and not had[0]
            self.clocks[sender] = had[0] or in_ring, offset if new else max(had[1], offset)
        if self.ring is None:
            return True  # of no standing yet
        try:
            self.clock.hear(Timestamp(wall_ms, 0, sender), self.wall)
        except errors.ClockAheadError as error:
            self.increment(Metric.DROPPED_CLOCK_AHEAD)
            self.log_event(events.PeerClockAhead(sender, str(error)))
            return False
        self.offset = max(self.offset, offset)
        return True

    def set_clock(self):
        """In the fleet now: an own clock that is far from the others' is wrong, whatever it says. Those that
        are about to join as well know no better, unless nobody is there yet."""
        there = [offset for in_ring, offset in self.clocks.values() if in_ring]
        self.go_by(there or [self.offset, *(offset for _, offset in self.clocks.values())])
        self.look_at, self.clocks = self.now + LOOK, {}

    def look_at_clock(self):
        """The majority of the ring's seats is never all wrong: without this, one that was told the wrong time
        as it came would be refused by all the others for good."""
        seats = self.ring.member_by_name
        offsets = [offset for name, (_, offset) in self.clocks.items() if name in seats]
        far = self.settings.clock_ahead_s
        odd = max(
            sum(each - self.offset > far for each in offsets),
            sum(self.offset - each > far for each in offsets),
        )
        if 2 * odd > len(seats):
            self.go_by(offsets)
        self.look_at, self.clocks = self.now + LOOK, {}

    def go_by(self, offsets):
        """The middle one, and of two the one ahead: a time between them would be nobody's."""
        offset = median_high(offsets)
        if abs(offset - self.offset) > self.settings.clock_ahead_s:
            self.log_event(events.ClockAdjusted(round(offset - self.offset, 3), len(self.clocks)))
            self.offset = offset
            self.clock = HybridClock(self.name, self.settings.clock_ahead_s)

    def tick(self):
        if self.now - self.ticked > LOOK / 4:  # stopped: what came in meanwhile is old
            self.look_at, self.clocks = self.now + LOOK, {}
        self.ticked = self.now
        if self.ring is not None and self.now >= self.look_at:
            self.look_at_clock()
        self.membership.tick()
        known = self.membership.newer_incarnation()
        if known >= self.incarnation and known >> 16 < int(self.wall * 1e3) + 86_400_000:
            # Its own name is remembered from a later start, by a clock that was ahead then.
            # The next number would be that of any start that learnt of the same incarnation and died unheard
            # of.
            self.incarnation = (known >> 16) + 1 + self.random.getrandbits(8) << 16 | self.random.getrandbits(
                16
            )
            self.log_event(events.IncarnationRaised(self.incarnation))
        self.consensus.tick(
            self.membership.live_peers(), lambda ring, live: schema.agree(ring, live, self.settings)
        )
        self.follow()
        self.replica.tick()
        self.quota.tick()
        self.tell_uses()
        if self.replica.is_caught_up != self.caught_up:
            self.caught_up = not self.caught_up
            # Where agents are restarted one after the other, the next one has to wait for this.
            event = events.CaughtUp if self.caught_up else events.CatchingUp
            self.log_event(event(self.ring and self.ring.epoch))
        me = self.membership.peers.get(self.name)
        caught = self.ring.epoch if self.ring and self.caught_up else me.caught_up_epoch if me else 0
        if me and (self.replica.migrated_version, caught) != (me.migrated_version, me.caught_up_epoch):
            self.membership.update_self(
                migrated_version=self.replica.migrated_version, caught_up_epoch=caught
            )
        for ticket, each in [(t, e) for t, e in self.waiting.items() if e.step != "open"]:
            if self.now >= each.until + self.settings.tick_s:
                # The parts answer by then; should a fault have kept one from it, this does.
                self.increment(Metric.OVERDUE_DECISIONS)
                self.doubt(ticket, each)

    def follow(self):
        """Tells the parts of a new ring."""
        ring = self.consensus.ring
        if ring is not None and ring != self.ring:
            if self.ring is None:
                self.set_clock()
            self.ring = ring
            self.log_event(
                events.RingAdopted(ring.epoch, len(ring.members), ring.written_version, ring.phase)
            )
            self.replica.on_ring_changed(ring, self.consensus.previous_ring, self.consensus.ring_learned_at)
            self.quota.on_ring_changed(ring, self.consensus.previous_ring, self.consensus.ring_learned_at)
            self.quota.set_schema_version(schema.governs(ring.written_version, ring.phase))
            self.fence(ring)

    def fence(self, ring):
        """A program too old for what the fleet writes now takes no part; its marks are still carried over."""
        error = schema.refused(self.settings.reads, ring)
        if error and not self.fenced:
            self.log_event(events.Fenced(str(error)))
        self.fenced = error is not None
        back = schema.step_back_refused(ring, self.settings)
        if back and not self.held_late:
            self.log_event(events.SchemaHoldRefused(str(back)))
        self.held_late = back is not None

    @property
    def young(self) -> bool:
        """Whether marks of before the fleet was founded may still be due. It is founded anew where all of its
        agents went at once, and nobody knows then what ran before."""
        lasts = self.settings.longest_mark_s + 2 * self.settings.clock_ahead_s
        return self.ring is None or self.wall < self.ring.founded_ms / 1e3 + lasts

    def sure(self) -> bool:
        """Whether this agent may answer as an owner."""
        return not self.fenced and self.consensus.has_valid_lease()

    def request_admission(self, ticket: int, question: AdmissionRequest):
        """May this request go on to the balancer? The word comes by a `decided`, `wait_s` from now at
        most."""
        if self.open >= self.settings.most_waiting:
            self.increment(Metric.PENDING_ADMISSIONS_FULL)
            return self.decide(ticket, self.doubtful(question), self.come_again())
        until = self.now + min(self.settings.wait_s, question.limit_s / 2)
        self.waiting[ticket] = PendingAdmission(question, until)
        self.open += 1
        self.increment(Metric.ADMISSION_REQUESTS)
        if question.tenant in self.settings.limits:
            self.quota.request_token(ticket, question.tenant, until)
        else:
            self.on_token_decision(ticket, True, 0.0, True)

    def on_attempt_sent(self, ticket: int, zone: str, cell: int):
        """An attempt of it goes out now."""
        each = self.waiting.get(ticket)
        if each and each.mark and (zone, cell) not in each.mark.locations:
            places = tuple(sorted({*each.mark.locations, (zone, cell)}))
            self.refine(each, locations=places, certainty=int(Certainty.SENT))

    def on_request_ended(self, ticket: int, ran: str):
        """It is answered and no attempt is out any more. `ran`: "never" (provably), "maybe" or "answered"."""
        each = self.waiting.pop(ticket, None)
        if each is None:
            return
        self.open -= each.step != "open"
        if each.mark:
            self.refine(each, certainty=int(RAN[ran]))

    def begin_shutdown(self):
        """The agent is about to end: it hands over what it holds, and goes on answering meanwhile."""
        if not self.is_leaving:
            self.is_leaving = True
            self.replica.start_shutdown()

    def finish_shutdown(self):
        """The last message: what it has on loan is given back, and its peers are told that it leaves."""
        self.quota.return_all_leases()
        self.tell_uses()
        self.membership.leave()

    @property
    def is_handed_over(self) -> bool:
        """Whether all that it holds is with others, too."""
        return self.replica.is_drained

    def apply_settings(self, settings: FleetSettings):
        """Takes over what a running agent can; configuration.py says which keys these are."""
        self.settings = self.membership.settings = self.replica.settings = settings
        self.consensus.update_settings(settings)
        self.quota.update_limits(settings)
        self.membership.update_self(capacity=settings.capacity)
        if self.ring is not None:
            self.fence(self.ring)

    # What the parts answer

    def on_token_decision(self, ticket: int, ok: bool, wait_s: float, certain: bool):
        each = self.waiting.get(ticket)
        if each is None or each.step != "spend":
            return
        question = each.question
        if not certain and self.settings.limit_doubt == "serve":
            ok = True
        if ok and not question.marked:
            return self.settle(ticket, each, AdmissionDecision.ADMIT)
        if question.marked and self.now >= each.until:
            return self.doubt(ticket, each)  # no time is left to ask for its marks
        each.limit_wait = wait_s
        if ok:
            each.step = "claim"
            each.mark = self.mark(question)
            self.replica.write(ticket, f"s/{question.session}", each.mark, each.until)
        elif question.marked:
            # A client that is told to come again takes it that nothing ran.
            each.step = "denied"
            self.replica.read(ticket, f"s/{question.session}", each.until)
        else:
            self.settle(
                ticket,
                each,
                AdmissionDecision.RATE_LIMITED if certain else AdmissionDecision.REJECT,
                wait_s or self.come_again(),
            )

    def claimed(self, ticket: int, marks: tuple[AttemptRecord, ...], sure: bool):
        each = self.waiting.get(ticket)
        if each is None or each.step not in ("claim", "denied"):
            return
        question, wall_ms = each.question, int(self.wall * 1e3)
        slack, marking = int(self.settings.clock_ahead_s * 1e3), self.settings.clients_mark
        if not sure or self.fenced:  # fenced, it can't read all that the owners told it
            return self.doubt(ticket, each)
        if self.young and may_repeat(question, marking) and not matching_attempts(question, marks, marking):
            return self.doubt(ticket, each)
        if each.step == "denied":
            if may_reject(question, marks, wall_ms, slack, marking):
                return self.settle(
                    ticket, each, AdmissionDecision.RATE_LIMITED, each.limit_wait or self.come_again()
                )
            return self.settle(ticket, each, AdmissionDecision.FAIL)
        verdict, earlier_attempts = decide(question, marks, wall_ms, slack, marking)
        self.settle(ticket, each, verdict, 0.0, earlier_attempts)

    # Ways of ending the wait

    def doubt(self, ticket: int, each: PendingAdmission):
        self.increment(Metric.DECIDED_UNKNOWN)
        self.settle(ticket, each, self.doubtful(each.question), self.come_again())

    def doubtful(self, question: AdmissionRequest) -> AdmissionDecision:
        if not question.marked:
            return AdmissionDecision.REJECT
        return decide_unknown(question, self.settings.on_doubt, self.settings.clients_mark)

    def settle(
        self,
        ticket: int,
        each: PendingAdmission,
        verdict: AdmissionDecision,
        wait: float = 0.0,
        earlier_attempts=(),
    ):
        self.open -= 1
        if verdict is AdmissionDecision.ADMIT:
            each.step = "open"
        else:
            del self.waiting[ticket]
            if each.mark:
                # This request went nowhere. What an earlier one did is kept in a mark of its own.
                self.refine(each, certainty=int(Certainty.NEVER_RAN))
        self.decide(ticket, verdict, wait, earlier_attempts)

    def decide(self, ticket: int, verdict: AdmissionDecision, wait: float, earlier_attempts=()):
        self.increment(verdict.value)
        wait = 0.0 if verdict in (AdmissionDecision.ADMIT, AdmissionDecision.FAIL) else wait
        self.effects.append(DeliverDecision(ticket, verdict, wait, earlier_attempts))

    def come_again(self) -> float:
        return COME_AGAIN * (1.0 + 0.5 * self.random.random())

    # Marks and uses

    def mark(self, question: AdmissionRequest) -> AttemptRecord:
        self.count_ += 1
        now_ms = int(self.wall * 1e3)
        lasts = (
            question.window_s + question.limit_s if question.repeat == "d" else self.settings.longest_mark_s
        )
        return AttemptRecord(
            attempt_id=f"{self.name}/{self.incarnation}/{self.count_}",
            key=question.key,
            repeat=question.repeat,
            group=question.group,
            window_ms=int(question.window_s * 1e3),
            locations=(),
            certainty=int(Certainty.CLAIMED),
            sent_ms=now_ms,
            workload=question.workload,
            expires_ms=now_ms + int(1e3 * min(lasts, self.settings.longest_mark_s)),
            unknown_fields={},
        )

    def refine(self, each: PendingAdmission, **changes):
        mark = each.mark
        certainty = max(mark.certainty, changes.pop("certainty", 0))
        each.mark = replace(mark, certainty=certainty, **changes)
        if each.mark != mark:
            self.replica.update(f"s/{each.question.session}", each.mark)

    def tell_uses(self):
        """By tenant and period, for operators: nothing is decided by it."""
        for tenant, served in self.quota.served.items():
            if served > self.served[tenant]:
                period = int(self.wall // self.settings.period_s)
                self.replica.count_usage(tenant, period, served - self.served[tenant])
                self.served[tenant] = served

    def metrics(self) -> dict:
        ring = self.ring
        return {
            "epoch": ring.epoch if ring else 0,
            "seats": len(ring.members) if ring else 0,
            "written": ring.written_version if ring else 0,
            "phase": ring.phase if ring else "",
            "fenced": self.fenced,
            "live": len(self.membership.live_peers()),
            "sure": self.sure(),
            "waiting": self.open,
            **self.replica.metrics(),
            **self.quota.metrics(),
            **self.counters,
        }
