"""Which ring is in force: each epoch is agreed by a majority of the last one's seats, and vouched for.

It owns the ring, what this agent promised and accepted as a voter, and what it may say of both. It must never
let a minority draw a ring, vouch for an epoch after it accepted the next, or believe an answer not asked for.

Epoch e + 1 is one decree of Paxos (Lamport 1998) among the names of ring e; the first is one among those
of the seeds. A voter's memory is its process: one that restarted is silent for twice lease_s, by when each
ballot that it may have forgotten is over. What that can't save (voters who forget a decision that nobody else
heard of) ends in two rings of one epoch: the lower digest wins everywhere, and both are noted.
"""

from heapq import nlargest
from math import ceil, inf, sqrt
from typing import ClassVar

from msgspec import Struct
from msgspec.structs import replace

from cartdeal.fleet import errors, events
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.ring.damping import Damper
from cartdeal.fleet.ring.movement import plan_next_ring
from cartdeal.fleet.ring.ring import MAX_EPOCH, Ring, RingMember, is_valid_ring
from cartdeal.fleet.ring.steps import RingStep, apply_step, step_between

MAX_EPOCH_LEAD = 1 << 20  # epochs ahead of the own one that are no honest agent's
MAX_BALLOT = 1 << 40
NOT_HEARD = 255  # an age in e.vouched: not heard of within the lease
AGES = 200  # steps of age in a lease
REUSED = 0.05  # seconds for which the ages of vouches, once counted, are said again
MAX_PENDING_RENEWALS = 1024  # askers of one epoch that wait until this agent has learnt it
MAX_CONFLICTING_RINGS = 64  # rings of one epoch that are told of
FOUNDERS = 8  # so many of the seeds that are there, by name, ask all seeds for a ring
PATIENCE = 5  # leases for which the next step waits until the seats have caught up with this one
STUCK_S = 30.0  # this long without a majority of the ring's seats, and an operator is told


class RingQuery(Struct, frozen=True, tag="e.ask", array_like=True):
    """Tell me your ring; mine is of epoch `epoch` (0: none), with digest `ring_digest`."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes


class EpochAnnouncement(Struct, frozen=True, tag="e.has", array_like=True):
    """My ring is of epoch `epoch` (0: none)."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes


class RingUpdate(Struct, frozen=True, tag="e.next", array_like=True):
    """Decided: the step from the ring of the epoch before."""

    DATAGRAM: ClassVar[bool] = False
    step: RingStep


class RingSnapshot(Struct, frozen=True, tag="e.whole", array_like=True):
    """Decided: the ring, as the one before and the step from it."""

    DATAGRAM: ClassVar[bool] = False
    previous_ring: Ring
    step: RingStep


class Prepare(Struct, frozen=True, tag="e.prepare", array_like=True):
    """The sender's ballot `number` for the epoch after `epoch`; `removed`: the seats that it would unseat."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes
    number: int
    removed: tuple[str, ...]


class Promise(Struct, frozen=True, tag="e.promise", array_like=True):
    """No ballot below `number` from now on; `step` is what I accepted by `ballot` (None: nothing yet)."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes
    number: int
    ballot: tuple[int, str] | None
    step: RingStep | None


class Nack(Struct, frozen=True, tag="e.refuse", array_like=True):
    """Not by ballot `number`; I have promised `above`; `why`: "older", "live" or "forgot"."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes
    number: int
    above: int
    why: str


class Accept(Struct, frozen=True, tag="e.accept", array_like=True):
    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes
    number: int
    step: RingStep


class Accepted(Struct, frozen=True, tag="e.accepted", array_like=True):
    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes
    number: int


class LeaseRenewal(Struct, frozen=True, tag="e.vouch", array_like=True):
    """Is this still your epoch, and have you accepted none higher?"""

    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes
    round: int


class LeaseRenewalAck(Struct, frozen=True, tag="e.vouched", array_like=True):
    """`ages`: a byte a seat, in the ring's order: how many `unit_ms` ago, at most, it said that this is its
    epoch and that it accepted none higher, by the answerer's clock (0: now; 255: not within its lease)."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int
    ring_digest: bytes
    round: int
    unit_ms: int
    ages: bytes


MESSAGE_TYPES = (
    RingQuery,
    EpochAnnouncement,
    RingUpdate,
    RingSnapshot,
    Prepare,
    Promise,
    Nack,
    Accept,
    Accepted,
    LeaseRenewal,
    LeaseRenewalAck,
)


class Proposal(Struct):
    """A ballot of one's own. It ends within lease_s, won or not: a voter that restarts counts on that."""

    number: int
    step: RingStep
    removed: tuple[str, ...]
    until: float
    again: float  # when those that are silent are asked once more
    promises: dict[str, tuple | None] = {}  # voter -> (ballot, step) it had accepted
    refused: dict[str, str] = {}
    accepting: bool = False
    accepted: dict[str, bool] = {}


class RingConsensus:
    def __init__(self, context, settings):
        self.context, self.settings = context, settings
        seeds = sorted(settings.seeds)
        self.ground = Ring(
            0, tuple(RingMember(name, "", 1.0) for name in seeds)
        )  # its names vote for epoch 1
        self.ring: Ring | None = None
        self.previous_ring: Ring | None = None  # the ring of the epoch before, None before the second
        self.ring_learned_at = context.now  # when the ring was learnt
        self.version = 0  # goes up when the ring changes
        self.begun = context.now
        self.unit = ceil(settings.lease_s * 1000 / AGES)  # ms
        self.live: dict = {}
        self.damper = Damper(settings)
        self.last_step: RingStep | None = None
        self.twins: dict[bytes, bool] = {}
        self.ask_after = self.look_after = -inf
        self.search, self.blank = 0.0, {}
        self.short, self.looked, self.told_stuck = 0.0, context.now, False
        self.round = 0
        self.targets: dict[str, int] = {}  # whom to ask for vouches -> asked in vain so often
        self.renew()

    def update_settings(self, settings):
        """Takes over the operator's settings."""
        self.settings = settings
        self.damper.update_settings(settings)

    def renew(self):
        """Forgets what belonged to the epoch before."""
        self.promised = (0, "")
        self.accepted: tuple[tuple[int, str], RingStep] | None = None
        self.attempt: Proposal | None = None
        self.top, self.backoff, self.pause = 0, 0.2, -inf
        self.need: Ring | None = None
        self.needed = inf
        self.rounds: dict[int, float] = {}
        self.ask_round, self.eager = -inf, 0.1
        self.heard_at: list[float] = [-inf] * len(self.base.members)
        self.kth, self.kth_old = -inf, False  # since when a majority has vouched; it only grows
        self.aged, self.last_ages = -inf, b""
        self.owed: dict[str, LeaseRenewal] = {}
        self.place = {name: place for place, name in enumerate(self.base.names)}

    @property
    def base(self) -> Ring:
        return self.ring or self.ground

    @property
    def accepted_higher(self) -> bool:
        return self.accepted is not None

    @property
    def remembers(self) -> bool:
        """Whether this process has been there long enough to say what it promised."""
        return self.context.now - self.begun >= 2 * self.settings.lease_s

    def say(self, to, kind, *message):
        self.context.send(to, kind(self.base.epoch, self.base.digest, *message))

    # Time

    def tick(self, live: dict, versions) -> None:
        """`live`: name -> what has .name, .zone, .capacity, .incarnation, .reads, .state; `versions(ring,
        live)` ->
        (written, phase) of the epoch after `ring`."""
        now, self.live = self.context.now, live
        if self.ring is None:
            self.seek()
        elif now >= self.ask_round:
            self.ask_vouches()
        if self.attempt:
            self.press()
        if now >= self.look_after:
            self.look_after = now + min(0.5, self.settings.damp_s / 8) * (
                0.8 + 0.2 * self.context.random.random()
            )
            self.look(versions)
        self.pursue()

    def look(self, versions):
        """Sees whether another ring is wanted."""
        now, base = self.context.now, self.base
        present = sum(name in self.live for name in base.names)
        self.short = self.short + min(now - self.looked, 2.0) if present < base.majority else 0.0
        self.looked = now
        if self.short >= max(STUCK_S, 6 * self.settings.damp_s) and not self.told_stuck and base.members:
            self.told_stuck = True
            kind = errors.RingMajorityLostError if self.ring else errors.BootstrapIncompleteError
            error = kind(f"epoch {base.epoch}", f"{present} of {len(base.members)} seats there")
            self.context.log_event(events.RingMajorityLost.of(error))
        new = self.wanted(versions) if self.ring else self.founding()
        if new is None:
            self.need, self.needed = None, inf
        else:
            self.need, self.needed = new, min(self.needed, now)

    def wanted(self, versions) -> Ring | None:
        ring, seats = self.ring, self.damper.target_members(self.live, self.ring, self.context.now)
        new = ring
        if seats and seats != ring.member_by_name:
            new = plan_next_ring(ring, seats, self.settings.step_share)
            if len(new.members) > self.settings.most_agents:
                self.context.increment(Metric.RING_FULL)
                new = ring
        written, phase = versions(ring, self.live)
        if new is ring and (written, phase) == (ring.written_version, ring.phase):
            return None
        return replace(new, epoch=ring.epoch + 1, written_version=written, phase=phase)

    def founding(self) -> Ring | None:
        """The first ring, once all seeds say that they know none; a majority is enough after damp_s more."""
        now, names = self.context.now, self.ground.names
        if self.context.name not in self.place or not self.remembers:
            return None
        fresh = [
            name
            for name in names
            if name == self.context.name or now - self.blank.get(name, -inf) <= 2 * self.settings.lease_s
        ]
        late = now - self.begun >= 2 * self.settings.lease_s + self.settings.damp_s
        if len(fresh) < self.ground.majority or len(fresh) < len(names) and not late:
            return None
        seats = [
            RingMember(peer.name, peer.zone, float(peer.capacity)) for _, peer in sorted(self.live.items())
        ]
        written = max((peer.reads[0] for peer in self.live.values()), default=1)
        new = Ring(
            1,
            tuple(seats[: self.settings.most_agents]),
            max(1, written),
            founded_ms=int(self.context.wall * 1e3),
        )
        return new if is_valid_ring(new, self.settings.most_agents) else None

    def seek(self):
        """Asks those who may know a ring, ever more rarely."""
        if self.context.now >= self.ask_round:
            self.search = min(2.0, self.search * 1.5 or 0.2)
            self.ask_round = self.context.now + self.search * (0.5 + self.context.random.random())
            names = sorted((set(self.live) | set(self.settings.seeds)) - {self.context.name})
            few = self.context.random.sample(names, min(3, len(names)))
            if self.context.name in self.place:
                there = [name for name in self.ground.names if name in self.live]
                if self.context.name in there[:FOUNDERS]:
                    few += [
                        name for name in self.ground.names if name not in few and name != self.context.name
                    ]
            for name in few:
                self.say(name, RingQuery)

    # A ballot of one's own

    def pursue(self):
        """Begins a ballot when one is needed and nobody of lower rank seems to."""
        now, base = self.context.now, self.base
        if self.attempt or self.context.name not in self.place or now < self.pause:
            return
        rest = self.ring_learned_at + self.settings.lease_s if self.ring else -inf
        if self.accepted is None and (self.need is None or now < rest or self.catching_up()):
            return
        there = [name for name in base.names if name in self.live]
        if len(there) < base.majority or self.context.name not in there:
            return
        rank, unit = there.index(self.context.name), max(0.3, 3 * self.settings.tick_s)
        if self.accepted is None and now < self.needed + unit * min(rank, 8):
            return
        if rank > 8 or self.accepted:  # any of them may; they draw lots who goes first
            many = len(there) if self.accepted else len(there) - 8
            if self.context.random.random() * many * unit > self.settings.tick_s:
                return
        if self.accepted:  # to be ended, whoever is there: nobody is unseated by that
            self.begin(self.accepted[1], ())
        else:
            wanted = step_between(base, self.need)
            self.begin(wanted, wanted.removed)

    def catching_up(self) -> bool:
        """Whether some seats still catch up with this ring. A step that came faster would leave keys whose
        former owners knew nothing either, and nobody sure of them until their marks are over."""
        if self.ring is None or self.context.now >= self.ring_learned_at + PATIENCE * self.settings.lease_s:
            return False
        here = [self.live[name] for name in self.ring.names if name in self.live]
        return any(peer.state == 0 and peer.caught_up_epoch < self.ring.epoch for peer in here)

    def begin(self, wanted: RingStep, gone: tuple[str, ...]):
        self.top = max(self.top, self.promised[0]) + 1
        now = self.context.now
        self.attempt = Proposal(self.top, wanted, gone, now + self.settings.lease_s, now)
        self.context.increment(Metric.BALLOTS)
        if self.remembers:
            self.take_answer(self.context.name, self.prepare(self.context.name, self.top, gone))
        self.press()

    def press(self):
        """Asks the voters that are silent, again and again until the ballot is over."""
        now, attempt = self.context.now, self.attempt
        if attempt is None:
            return
        if now >= attempt.until:
            self.give_up()
        elif now >= attempt.again:
            attempt.again = now + max(0.3, 3 * self.settings.tick_s)
            for name in self.base.names:
                if name == self.context.name:
                    continue
                if not attempt.accepting and name not in attempt.promises and name not in attempt.refused:
                    self.say(name, Prepare, attempt.number, attempt.removed)
                if attempt.accepting and name in attempt.promises and name not in attempt.accepted:
                    self.say(name, Accept, attempt.number, attempt.step)

    def give_up(self):
        self.attempt = None
        self.pause = self.context.now + self.backoff * (0.5 + self.context.random.random())
        self.backoff = min(2 * self.backoff, 4.0)

    def take_answer(self, sender, message):
        attempt = self.attempt
        if attempt is None or message.number != attempt.number or sender not in self.place:
            return self.context.increment(Metric.DROPPED_UNKNOWN_BALLOT)
        if self.context.now >= attempt.until:  # stopped meanwhile, or slow: nobody counts on this ballot now
            return self.give_up()
        if isinstance(message, Nack):
            self.refused(attempt, sender, message)
        elif isinstance(message, Promise):
            self.promise_came(attempt, sender, message)
        elif attempt.accepting and sender in attempt.promises:
            attempt.accepted[sender] = True
            if len(attempt.accepted) >= self.base.majority:
                self.decided(attempt.step)

    def refused(self, attempt, sender, message):
        if 0 <= message.above < MAX_BALLOT:
            self.top = max(self.top, message.above)
        attempt.refused[sender] = message.why
        if len(self.place) - len(attempt.refused) < self.base.majority:
            self.context.increment(Metric.BALLOTS_REJECTED)
            self.give_up()

    def promise_came(self, attempt, sender, message):
        had = None
        if message.ballot is not None:
            if message.step is None or self.led_to(message.step) is None:
                return self.context.increment(Metric.DROPPED_MALFORMED_RING)
            had = (tuple(message.ballot), message.step)
        attempt.promises.setdefault(sender, had)
        if attempt.accepting:
            if sender != self.context.name:
                self.say(sender, Accept, attempt.number, attempt.step)
        elif len(attempt.promises) >= self.base.majority:
            attempt.accepting = True
            before = [each for each in attempt.promises.values() if each is not None]
            if before:  # it may be decided already: no other ring may be
                attempt.step = max(before, key=lambda each: each[0])[1]
            attempt.again = self.context.now
            if self.context.name in attempt.promises:
                self.take_answer(
                    self.context.name, self.accept(self.context.name, attempt.number, attempt.step)
                )
            self.press()

    def decided(self, taken: RingStep):
        former, ring = self.base, self.led_to(taken)
        self.learn(former, taken, ring)
        for name in sorted({*former.names, *ring.names, *self.live} - {self.context.name}):
            self.context.send(name, RingUpdate(taken))

    # A voter

    def prepare(self, sender, number, gone) -> Struct:
        base = self.base
        ballot = (number, sender)
        why = ""
        if not self.remembers:
            why = "forgot"
        elif ballot < self.promised:
            why = "older"
        elif any(name in self.live and self.live[name].state == 0 for name in gone):
            why = "live"  # one witness is not enough to unseat an agent
        if why:
            return Nack(base.epoch, base.digest, number, self.promised[0], why)
        self.promised = ballot
        if sender != self.context.name:
            while_it_lasts = self.settings.lease_s * (0.25 + 0.5 * self.context.random.random())
            self.pause = max(self.pause, self.context.now + while_it_lasts)
        return Promise(base.epoch, base.digest, number, *(self.accepted or (None, None)))

    def accept(self, sender, number, wanted: RingStep) -> Struct | None:
        base = self.base
        if not self.remembers or (number, sender) < self.promised:
            why = "older" if self.remembers else "forgot"
            return Nack(base.epoch, base.digest, number, self.promised[0], why)
        if self.led_to(wanted) is None:
            return self.context.increment(Metric.DROPPED_MALFORMED_RING)
        self.promised = number, sender
        self.accepted = self.promised, wanted
        if sender != self.context.name:
            self.pause = max(self.pause, self.context.now + self.settings.lease_s / 2)
        return Accepted(base.epoch, base.digest, number)

    def led_to(self, taken: RingStep) -> Ring | None:
        """The ring that a step leads to from the own one; None if it can't be used."""
        return self.sound_step(self.base, taken)

    def sound_step(self, former, taken):
        try:
            ring = apply_step(former, taken)
        except ValueError:
            return None
        return (
            ring
            if ring.epoch == former.epoch + 1 and is_valid_ring(ring, self.settings.most_agents)
            else None
        )

    # Decided rings

    def learn(self, former: Ring, taken: RingStep, ring: Ring):
        """Takes over a decided ring if it's newer than the own one, or its twin and of lower digest."""
        own = self.base
        if ring.epoch < own.epoch or ring.digest == own.digest:
            return
        if ring.epoch == own.epoch:
            if ring.digest not in self.twins and len(self.twins) < MAX_CONFLICTING_RINGS:
                self.twins[ring.digest] = True
                both = f"{own.digest.hex()} and {ring.digest.hex()}"
                error = errors.ConflictingRingsError(f"epoch {own.epoch}", both)
                self.context.log_event(events.ConflictingRings.of(error))
            if ring.digest > own.digest:
                return
        owed = self.owed
        self.ring, self.previous_ring = ring, former if former.epoch else None
        self.last_step, self.last_former = taken, former
        self.ring_learned_at, self.version = self.context.now, self.version + 1
        self.short, self.told_stuck = 0.0, False
        self.renew()
        for sender, message in owed.items():
            if (message.epoch, message.ring_digest) == (ring.epoch, ring.digest):
                self.vouch(sender, message)
        self.ask_vouches()

    def tell(self, to, message):
        """The decided ring for one that asked: the step alone if that's all it lacks."""
        if (message.epoch, message.ring_digest) == (self.last_former.epoch, self.last_former.digest):
            self.context.send(to, RingUpdate(self.last_step))
        else:
            self.context.send(to, RingSnapshot(self.last_former, self.last_step))

    def ask(self, sender):
        if self.context.now >= self.ask_after:
            self.ask_after = self.context.now + 0.1 + 0.1 * self.context.random.random()
            self.say(sender, RingQuery)

    # Vouching

    def ask_vouches(self):
        """Asks few, about as many as the square root of the seats. They pass on whom they heard, with ages:
        two rounds bring a majority. In a small ring the few are a majority and a spare by themselves."""
        now, ring, third = self.context.now, self.ring, self.settings.lease_s / 3
        self.ask_round = now + (third if self.has_valid_lease() else min(self.eager, third))
        self.eager *= 2
        self.choose_targets(ring)
        self.round += 1
        self.rounds[self.round] = now
        self.rounds.pop(self.round - 8, None)
        for name in self.targets:
            self.targets[name] += 1
            self.say(name, LeaseRenewal, self.round)

    def choose_targets(self, ring):
        others = len(ring.members) - (self.context.name in self.place)
        many = min(
            others,
            ring.majority + 1 - (self.context.name in self.place),
            ceil(1.5 * sqrt(len(ring.members))) + 2,
        )
        kept = {
            name: vain
            for name, vain in self.targets.items()
            if name in self.place and name in self.live and vain < 2
        }
        self.targets = dict(list(kept.items())[:many])
        for where in (self.live, ()):  # first those that are live, then any
            if len(self.targets) < many:
                left = [
                    name
                    for name in ring.names
                    if name != self.context.name and name not in self.targets and (not where or name in where)
                ]
                more = self.context.random.sample(left, min(len(left), many - len(self.targets)))
                self.targets |= dict.fromkeys(more, 0)

    def vouch(self, sender, message: LeaseRenewal):
        ages, own = bytearray(self.ages()), self.place.get(self.context.name)
        if own is not None:
            ages[own] = 0 if self.remembers and not self.accepted_higher else NOT_HEARD
        self.say(sender, LeaseRenewalAck, message.round, self.unit, bytes(ages))

    def ages(self) -> bytes:
        """As they will be when REUSED seconds are over; until then they are said again."""
        now = self.context.now
        if now >= self.aged:
            self.aged = then = now + REUSED
            floor, scale = then - self.settings.lease_s, (1 + self.settings.clock_drift) * 1000 / self.unit
            self.last_ages = bytes(
                [int((then - at) * scale) + 1 if at > floor else NOT_HEARD for at in self.heard_at]
            )
        return self.last_ages

    def vouched(self, sender, message: LeaseRenewalAck):
        asked = self.rounds.get(message.round)
        if asked is None or len(message.ages) != len(self.heard_at) or not 0 < message.unit_ms <= 10_000:
            return self.context.increment(Metric.DROPPED_LEASE_RENEWAL)
        if sender in self.targets:
            self.targets[sender] = 0
        unit, when = message.unit_ms / 1000, self.heard_at
        for place, age in enumerate(message.ages):
            if age != NOT_HEARD and (at := asked - age * unit) > when[place]:
                when[place] = at
        self.kth_old = True

    @property
    def sure_until(self) -> float:
        """Local time until which this agent may count on its epoch: lease_s after the moment since which a
        majority of the seats have vouched for it. -inf: not at all."""
        ring, own = self.ring, self.place.get(self.context.name)
        if ring is None or self.accepted_higher:
            return -inf
        need = ring.majority - (own is not None and self.remembers)
        if need <= 0:
            return self.context.now + self.settings.lease_s
        if self.kth_old:
            others = (at for place, at in enumerate(self.heard_at) if place != own)
            best = nlargest(need, others)
            self.kth, self.kth_old = best[-1] if len(best) == need else -inf, False
        return self.kth + self.settings.lease_s

    def has_valid_lease(self) -> bool:
        """Asked with every request: in most of a lease what was counted last is enough."""
        if self.context.now < self.kth + self.settings.lease_s / 2 and not self.accepted_higher:
            return True
        return self.context.now < self.sure_until

    # What comes in

    def on_message(self, sender: str, message: Struct) -> None:
        if isinstance(message, RingUpdate):
            self.next_came(sender, message)
        elif isinstance(message, RingSnapshot):
            self.whole_came(message)
        elif self.like_me(sender, message):
            kind = type(message)
            if kind is LeaseRenewal:
                self.vouch(sender, message)
            elif kind is LeaseRenewalAck:
                self.vouched(sender, message)
            elif kind is RingQuery:
                self.say(sender, EpochAnnouncement)
            elif kind is EpochAnnouncement:
                if message.epoch == 0:
                    self.blank[sender] = self.context.now
            elif kind in (Prepare, Accept):
                self.vote(sender, message)
            else:
                self.take_answer(sender, message)

    def like_me(self, sender, message) -> bool:
        """Whether the sender's ring is the own one; if not, whoever is behind gets to know."""
        base = self.base
        if not 0 <= message.epoch <= (base.epoch + MAX_EPOCH_LEAD if self.ring else MAX_EPOCH):
            self.context.increment(Metric.DROPPED_DISTANT_EPOCH)
            return False
        if message.epoch == base.epoch and message.ring_digest == base.digest:
            return True
        if message.epoch < base.epoch:
            if isinstance(message, RingQuery):
                self.tell(sender, message)
            else:
                self.context.increment(Metric.DROPPED_OLDER_EPOCH)
                self.say(sender, EpochAnnouncement)
        elif message.epoch > base.epoch:
            if isinstance(message, LeaseRenewal) and len(self.owed) < MAX_PENDING_RENEWALS:
                self.owed[sender] = message
            self.ask(sender)
        elif base.epoch:  # twins: each asks, each tells
            if isinstance(message, RingQuery):
                self.tell(sender, message)
            self.ask(sender)
        else:
            self.context.increment(Metric.DIFFERENT_SEEDS)
        return False

    def next_came(self, sender, message):
        taken = message.step
        if taken.previous_digest == self.base.digest:
            ring = self.led_to(taken)
            if ring is None:
                return self.context.increment(Metric.DROPPED_MALFORMED_RING)
            self.learn(self.base, taken, ring)
        elif self.base.epoch <= taken.epoch <= (self.base.epoch + MAX_EPOCH_LEAD if self.ring else MAX_EPOCH):
            if taken != self.last_step:
                self.ask(sender)
        else:
            is_older = taken.epoch < self.base.epoch
            self.context.increment(Metric.DROPPED_OLDER_EPOCH if is_older else Metric.DROPPED_DISTANT_EPOCH)

    def whole_came(self, message):
        former, base, most = message.previous_ring, self.base, self.settings.most_agents
        if not 0 <= former.epoch < (base.epoch + MAX_EPOCH_LEAD if self.ring else MAX_EPOCH):
            return self.context.increment(Metric.DROPPED_DISTANT_EPOCH)
        ring = self.sound_step(former, message.step)
        if ring is None or former.epoch and not is_valid_ring(former, most):
            return self.context.increment(Metric.DROPPED_MALFORMED_RING)
        self.learn(former, message.step, ring)

    def vote(self, sender, message):
        if sender not in self.place or not 0 < message.number < MAX_BALLOT:
            return self.context.increment(Metric.DROPPED_BALLOT)
        if isinstance(message, Prepare):
            answer = self.prepare(sender, message.number, message.removed)
        else:
            answer = self.accept(sender, message.number, message.step)
        if answer is not None:
            self.context.send(sender, answer)
