"""Tenants' limits for the whole fleet: its owners lend parts of each to the agents that use it, for a lease.

It owns what this agent lent of the limits whose owner it is, what it has on loan itself, and the requests
that wait for a loan. It must never serve from a loan whose lease is over, take an answer that it no longer
waits
for, or lend while another agent may still lend the same part. Only durations on the own monotonic clock
count.

Bounds on what all agents together serve of a tenant in any t seconds, in any cut, whatever restarts or stops:
  version 2 (rate and burst on loan)    burst + rate * t
  version 1 (whole amounts by period)   rate * (t + 2 * period_s), and one for each owner (fractions are kept)
  a window that begins in the lease and period after the step back from 2 to 1: the latter and burst.
Where operator files differ in a limit, the greater rate and the greater burst hold. All files must name the
same lease_s, period_s, copies and clock_drift.

Liveness, when nothing fails: at steady uneven demand over a tenant's limit it is served at least nine tenths
of its rate, if its burst is at least a tenth of a second of that and a token for each owner.

A fresh fleet, an agent that restarted as an owner and an owner that is new in a ring lend nothing for a fence
of a little over two leases (4.3 s at a lease of 2 s), and begin with an empty bucket. Meanwhile requests are
answered with certain=False, where no other owner has tokens: what on_doubt says holds.
"""

from collections import Counter, deque
from heapq import heappop, heappush
from math import inf, isfinite
from typing import ClassVar

from msgspec import Struct
from msgspec.structs import replace

from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.quota.ledger import (
    MIN_TOKENS,
    REFILL_RATE,
    REQUEST_ANY,
    REQUEST_SINGLE_TOKEN,
    REQUEST_WHOLE_TOKENS,
    SINGLE_TOKEN,
    WHOLE_PERIOD,
    Bucket,
    DemandMeter,
    LeaseGrant,
    OwnershipHistory,
)
from cartdeal.fleet.ring.placement import owners

OWN_TURNS = 16  # messages to the own owner's part in one event; what is left waits for the next tick
MOST_A_MESSAGE = 200  # tenants in one message; more go in the next
MOST_TOKENS = 1e9
LEAST_WAIT = 0.05  # seconds: what is told to come back sooner only comes in vain
QUIET = 2  # leases without a request, after which a loan is given back


class LeaseRequest(Struct, frozen=True, array_like=True):
    """For one tenant. `sequence` rises by holder's incarnation; `holds`: the one loan from this owner that is
    in use
    (0: none, none is ever used again). `most`: what that loan's bucket is capped at from now on; `top`: while
    this ask waits for its answer. `back`: tokens taken out of it and given back; `waits`: tokens for requests
    that wait; `want`: tokens that would be of use; `demand`: requests a second, the owner's share of them;
    `had`: served here lately."""

    tenant: str
    sequence: int
    holds: int = 0
    most: float = 0.0
    top: float = 0.0
    back: float = 0.0
    waits: float = 0.0
    want: float = 0.0
    demand: float = 0.0
    had: float = 0.0
    mode: int = REQUEST_ANY


class LeaseReturn(Struct, frozen=True, array_like=True):
    """Nothing from this owner is in use any more. `tokens` were left of loan `holds`."""

    tenant: str
    sequence: int
    holds: int
    tokens: float


class LeaseRequestBatch(Struct, frozen=True, array_like=True, tag="l.asks"):
    """`incarnation`: the sender's; `owner_incarnation`: that of the owner who gave the loans which are spoken
    of (0:
    unknown)."""

    DATAGRAM: ClassVar[bool] = False
    incarnation: int
    owner_incarnation: int
    asks: tuple[LeaseRequest, ...] = ()
    backs: tuple[LeaseReturn, ...] = ()


class LeaseResponse(Struct, frozen=True, array_like=True):
    """To the ask `sequence`. `how`: WHOLE_PERIOD, REFILL_RATE, SINGLE_TOKEN, or 0: none left (`certain`) or
    not for this agent
    to say. `left`: seconds, counted by the holder from when it asked; `wait`: when there may be more."""

    tenant: str
    sequence: int
    certain: bool
    number: int = 0
    how: int = 0
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    left: float = 0.0
    period: int = 0
    wait: float = 0.0


class LeaseResponseBatch(Struct, frozen=True, array_like=True, tag="l.loans"):
    """`incarnation`: the owner's; `holder_incarnation`: that of the one who asked."""

    DATAGRAM: ClassVar[bool] = False
    incarnation: int
    holder_incarnation: int
    answers: tuple[LeaseResponse, ...]


MESSAGE_TYPES = (LeaseRequestBatch, LeaseResponseBatch)


def are_valid_amounts(*amounts: float) -> bool:
    return all(isfinite(amount) and 0 <= amount <= MOST_TOKENS for amount in amounts)


class HeldLease:
    """A loan in use here. `most`: its bucket's cap; `top`: a lower one while an ask waits."""

    def __init__(self, incarnation: int, answer: LeaseResponse, asked: float, until: float):
        self.incarnation, self.number, self.how, self.period = (
            incarnation,
            answer.number,
            answer.how,
            answer.period,
        )
        self.rate, self.most, self.top = answer.rate, answer.burst, inf
        self.level, self.at, self.asked, self.until = 0.0, asked, asked, until

    def fill(self, now: float):
        if self.rate and now > self.at:
            cap = max(self.level, min(self.most, self.top))
            self.level = min(self.level + self.rate * (now - self.at), cap)
        self.at = max(self.at, now)


class OwnerExchange:
    """What was said to one owner for one tenant: the ask that waits (`sequence` 0: none), and whether the
    owner leaves requests without an answer for longer than they may wait."""

    def __init__(self):
        self.sequence, self.asked, self.silent = 0, -inf, False
        self.more = False  # whether the owner may have more than it gave


class TenantQuota:
    """One tenant's use at this agent."""

    def __init__(self, tenant: str, lease: float):
        self.tenant, self.key = tenant, f"u/{tenant}".encode()
        self.demand, self.had = DemandMeter(lease), DemandMeter(2 * lease)
        self.loans: dict[str, HeldLease] = {}
        self.lines: dict[str, OwnerExchange] = {}
        self.waiting: deque[tuple[int, float]] = deque()
        self.used = self.told = -inf  # told: when an owner last said for certain what there is
        self.dry_until, self.hint, self.due = -inf, 0.0, inf
        self.how = 0  # the kind of loan that came last
        self.asked = -inf

    @property
    def low(self) -> float:
        """With fewer tokens than this, more are asked for before a request has to wait."""
        return (
            max(1.0, sum(held.most for held in self.loans.values()) / 4) if self.how != SINGLE_TOKEN else 0.0
        )

    def level(self, now: float) -> float:
        """Tokens that may be used at this moment; what is over is forgotten."""
        total = 0.0
        for owner, held in list(self.loans.items()):
            if now >= held.until:
                del self.loans[owner]
            else:
                held.fill(now)
                total += held.level
        return total

    def take(self, now: float) -> bool:
        """Takes one token, from several loans where none has a whole one."""
        if self.level(now) < 1 - MIN_TOKENS:
            return False
        left = 1.0
        for held in sorted(self.loans.values(), key=lambda held: -held.level):
            part = min(held.level, left)
            held.level, left = held.level - part, left - part
            if left <= 0:
                break
        return True

    def pending(self, since: float) -> bool:
        """Whether an owner that is not silent was asked after `since` and has not answered."""
        return any(line.sequence and not line.silent and line.asked > since for line in self.lines.values())


class QuotaLeases:
    """`on_token_decision(ticket, ok, wait_s, certain)` answers each request_token() once: ok: served; else
    wait_s: when to come back; not certain: no owner could be asked. `has_valid_lease()`: whether the ring
    last given to on_ring_changed() is still proven."""

    def __init__(self, context, settings, on_token_decision, has_valid_lease):
        self.context, self.settings = context, settings
        self.on_token_decision, self.has_valid_lease = on_token_decision, has_valid_lease
        self.incarnation, self.start = context.incarnation, context.now
        drift = settings.clock_drift
        # The slowest former owner may be sure for one lease and lend then for another; a tenth to be on the
        # safe side of what is rounded on the way.
        self.fence = settings.lease_s * (2 + 4 * drift + 0.1)
        self.tenure = OwnershipHistory(context.now, self.fence, self.share_in)
        self.ring, self.version, self.parting = None, settings.reads[0], False
        self.wards: dict[str, TenantQuota] = {}  # used lately here
        self.queue: dict[str, None] = {}  # tenants with requests that wait
        self.waits = 0
        self.due: list[tuple[float, str]] = []
        self.buckets: dict[str, Bucket] = {}  # of limits this agent owns a part of: no more than limits
        self.numbers = self.sequences = 0
        self.incarnations: dict[str, int] = {}  # of owners, as they said
        self.outbox: dict[str, tuple[list[LeaseRequest], list[LeaseReturn]]] = {}
        self.sweep: list[str] = []
        self.served, self.denied = Counter(), Counter()

    # What the node tells

    def on_ring_changed(self, ring, former, since: float):
        """Called in the event in which the ring was learnt, before anything else is. `former`: of the epoch
        before."""
        self.ring = ring
        self.tenure.learn(ring, former, max(since, self.context.now))
        for ward in self.wards.values():
            names = self.owners(ward)
            ward.lines = {name: line for name, line in ward.lines.items() if name in names or line.sequence}
        self.incarnations = {
            name: incarnation
            for name, incarnation in self.incarnations.items()
            if name in ring.member_by_name
        }

    def set_schema_version(self, version: int):
        """The schema version that the fleet writes now; each owner follows at the end of its period."""
        self.version = 1 if version < 2 else 2

    def update_limits(self, settings):
        """New limits. A lower one holds at once for all that is lent from now on, what is on loan ends with
        its lease. While owners differ, the tenant has some of each limit, and never more than the greater of
        the two."""
        self.settings = replace(self.settings, limits=settings.limits, most_waiting=settings.most_waiting)
        now = self.context.now
        for tenant in self.buckets:
            # One that has no limit now keeps its bucket: it may get one again while loans are out.
            if tenant in settings.limits:
                self.bucket(tenant, now).limited(settings.limits[tenant])

    def return_all_leases(self):
        """Gives back all that is on loan here. Requests after that are served by single tokens."""
        self.parting = True
        for ward in list(self.wards.values()):
            self.give_back(ward)
        self.flush()

    # Requests

    def request_token(self, ticket: int, tenant: str, until: float):
        """May one request of this tenant be served? `until`: the local time at which it waits no longer."""
        now = self.context.now
        if tenant not in self.settings.limits:
            self.served[tenant] += 1
            return self.on_token_decision(ticket, True, 0.0, True)
        ward = self.wards.get(tenant)
        if ward is None:
            ward = self.wards[tenant] = TenantQuota(tenant, self.settings.lease_s)
            self.plan(ward, now)
        ward.demand.mark(now)
        ward.used = now
        if not ward.waiting and ward.take(now):
            self.serve(ward, ticket, now)
            if ward.level(now) < ward.low and now >= max(
                ward.dry_until, ward.asked + self.settings.lease_s / 8
            ):
                self.ask(ward, now)
                self.flush()
            return
        if self.ring is None or now < ward.dry_until or self.waits >= self.settings.most_waiting:
            if self.waits >= self.settings.most_waiting:
                self.context.increment(Metric.ADMISSION_QUEUE_FULL)
            return self.deny(ward, ticket, now, self.ring is not None)
        ward.waiting.append((ticket, until))
        self.waits += 1
        self.queue[tenant] = None
        self.ask(ward, now)
        self.flush()
        self.settle(ward, now)
        self.flush()

    def serve(self, ward, ticket, now):
        self.served[ward.tenant] += 1
        ward.had.mark(now)
        self.on_token_decision(ticket, True, 0.0, True)

    def deny(self, ward, ticket, now, may_be_sure=True):
        self.denied[ward.tenant] += 1
        rate = sum(held.rate for held in ward.loans.values())
        wait = (1 - ward.level(now)) / rate if rate else max(ward.hint, ward.dry_until - now)
        # All that are told the same would come back at once.
        wait = max(wait, LEAST_WAIT) * (1 + 0.5 * self.context.random.random())
        self.on_token_decision(ticket, False, wait, may_be_sure and now - ward.told < self.settings.lease_s)

    def settle(self, ward, now):
        """Serves those that wait from what there is; once every owner has answered, turns the rest away."""
        while ward.waiting and ward.take(now):
            self.serve(ward, self.unqueue(ward), now)
        if ward.pending(now - self.settings.wait_s):
            return
        more = [name for name, line in ward.lines.items() if line.more] if ward.waiting else ()
        if more:  # these had all that was asked for, but more came to wait meanwhile
            return self.ask(ward, now, more)
        if ward.waiting or ward.hint and ward.how != SINGLE_TOKEN and ward.level(now) < 1:
            pause = min(max(ward.hint, LEAST_WAIT), self.settings.lease_s / 3)
            ward.dry_until = now + pause * (1 + 0.5 * self.context.random.random())
        while ward.waiting:
            self.deny(ward, self.unqueue(ward), now)
        self.spare(ward, now)

    def spare(self, ward, now):
        """Gives back single tokens that nobody waits for, and whole ones that would be void before they are
        used."""
        few = ward.demand.now(now) * self.settings.period_s < 4
        if any(held.how == SINGLE_TOKEN or held.how == WHOLE_PERIOD and few for held in ward.loans.values()):
            self.give_back(ward, (SINGLE_TOKEN, WHOLE_PERIOD) if few else (SINGLE_TOKEN,))

    def unqueue(self, ward) -> int:
        self.waits -= 1
        ticket, _ = ward.waiting.popleft()
        if not ward.waiting:
            self.queue.pop(ward.tenant, None)
        return ticket

    # As a holder

    def owners(self, ward) -> tuple[str, ...]:
        return owners(self.ring, ward.key, self.settings.copies) if self.ring is not None else ()

    def plan(self, ward, now):
        ward.due = now + self.settings.lease_s / 6 * (0.9 + 0.1 * self.context.random.random())
        heappush(self.due, (ward.due, ward.tenant))

    def ask(self, ward, now, names=None):
        """LeaseRequestBatch owners that owe no answer, or have owed one for too long."""
        ward.level(now)
        if not ward.pending(now - self.settings.wait_s):
            ward.hint = 0.0
        names_all = self.owners(ward)
        for name in names_all if names is None else names:
            line = ward.lines.get(name)
            if line is None:
                line = ward.lines[name] = OwnerExchange()
            if line.sequence and now < line.asked + self.settings.lease_s / 4:
                continue
            self.sequences += 1
            line.sequence, line.asked, line.more = self.sequences, now, False
            ward.asked = now
            demand = ward.demand.now(now) / len(names_all)
            keep = 1 / len(names_all) + demand * (
                self.settings.period_s / 4 if ward.how == WHOLE_PERIOD else self.settings.lease_s
            )
            mode = (
                REQUEST_SINGLE_TOKEN
                if self.parting
                else REQUEST_ANY
                if self.settings.reads[1] >= 2
                else REQUEST_WHOLE_TOKENS
            )
            message = {
                "waits": float(len(ward.waiting)),
                "want": keep,
                "demand": demand,
                "had": ward.had.now(now),
                "mode": mode,
            }
            held = ward.loans.get(name)
            if held is not None and held.incarnation == self.incarnations.get(name):
                back = 0.0
                if held.how == REFILL_RATE and not ward.waiting and held.level > 2 * keep:
                    back = held.level - keep
                    held.level = held.most = keep
                # The answer's tokens must find room under the cap that the owner counts, whenever they come.
                room = max(held.most - held.level, 0.0)
                held.top = held.level + min(held.rate * self.settings.tick_s, room / 2)
                message |= {
                    "holds": held.number,
                    "most": held.most,
                    "top": held.top,
                    "back": back,
                    "want": max(keep - held.level, 0.0),
                }
            elif held is not None:
                del ward.loans[name]  # from an earlier incarnation of its owner
            self.box(name)[0].append(LeaseRequest(ward.tenant, line.sequence, **message))

    def answered(self, sender, incarnation, answer: LeaseResponse, now) -> TenantQuota | None:
        ward = self.wards.get(answer.tenant)
        line = ward.lines.get(sender) if ward else None
        if line is None or not answer.sequence or line.sequence != answer.sequence:
            self.context.increment(Metric.DROPPED_LATE_LEASE)
            return None
        line.sequence, line.silent, line.more = 0, False, answer.certain and not answer.wait
        ward.level(now)
        held = ward.loans.get(sender)
        if held is not None:
            held.top = inf
        if answer.certain:
            ward.told = now
        if answer.wait > 0:
            ward.hint = min(answer.wait, ward.hint or inf)
        until = line.asked + min(answer.left, self.settings.lease_s)
        if not answer.how or now >= until:
            return ward
        ward.how = answer.how
        new = HeldLease(incarnation, answer, line.asked, until)
        level = 0.0
        if held is not None and held.incarnation == incarnation:
            # Whole amounts are of one period of the owner's; in the next they are void.
            if held.how != WHOLE_PERIOD or new.how == WHOLE_PERIOD and held.period == new.period:
                level = held.level
        new.level, new.at = level + answer.tokens, now
        if new.how == WHOLE_PERIOD:
            new.most = new.level
        new.level = min(new.level, new.most)
        ward.loans[sender] = new
        return ward

    def give_back(self, ward, hows=(WHOLE_PERIOD, REFILL_RATE, SINGLE_TOKEN)):
        """Lets loans go, of some kinds or all, and with them the asks that wait for more."""
        for name, held in list(ward.loans.items()):
            if held.how in hows:
                del ward.loans[name]
                if held.incarnation == self.incarnations.get(name):
                    self.sequences += 1
                    self.box(name)[1].append(
                        LeaseReturn(ward.tenant, self.sequences, held.number, held.level)
                    )
                line = ward.lines.get(name)
                if line is not None:
                    line.sequence = 0

    def box(self, name):
        return self.outbox.setdefault(name, ([], []))

    def flush(self):
        """One message to each owner, or as many as it takes; the own owner's part needs none."""
        turns = 0
        while self.outbox:
            name = next(iter(self.outbox))
            turns += name == self.context.name
            if turns > OWN_TURNS:
                # An answer of the own owner's part may lead to the next ask: the event has to end.
                return self.context.increment(Metric.OWN_REQUESTS_DEFERRED)
            asks, backs = self.outbox.pop(name)
            incarnation = self.incarnation if name == self.context.name else self.incarnations.get(name, 0)
            while asks or backs:
                message = LeaseRequestBatch(
                    self.incarnation, incarnation, tuple(asks[:MOST_A_MESSAGE]), tuple(backs[:MOST_A_MESSAGE])
                )
                asks, backs = asks[MOST_A_MESSAGE:], backs[MOST_A_MESSAGE:]
                self.say(name, message)

    def say(self, name, message):
        if name == self.context.name:
            self.take_in(name, message)
        else:
            self.context.send(name, message)

    # Time

    def next_due(self) -> float:
        """When the first request that waits will wait no longer; a tick is wanted then."""
        return min((self.wards[tenant].waiting[0][1] for tenant in self.queue), default=inf)

    def tick(self):
        now = self.context.now
        if self.ring is not None and self.has_valid_lease():
            self.tenure.prove(now)
        for tenant in list(self.queue):
            self.expire(self.wards[tenant], now)
        while self.due and self.due[0][0] <= now:
            due, tenant = heappop(self.due)
            ward = self.wards.get(tenant)
            if ward is not None and ward.due == due:
                self.renew(ward, now)
        if self.buckets:
            if not self.sweep:
                self.sweep = list(self.buckets)
            bucket = self.buckets.get(self.sweep.pop())
            if bucket is not None:
                bucket.tidy(now)
        self.flush()

    def expire(self, ward, now):
        while ward.waiting and ward.waiting[0][1] <= now:
            if ward.take(now):
                self.serve(ward, self.unqueue(ward), now)
                continue
            for line in ward.lines.values():
                line.silent = line.silent or line.sequence > 0 and now - line.asked >= self.settings.wait_s
            self.deny(ward, self.unqueue(ward), now)

    def renew(self, ward, now):
        lease = self.settings.lease_s
        if now - ward.used >= QUIET * lease and not ward.waiting:
            self.give_back(ward)
            del self.wards[ward.tenant]
            return
        ward.level(now)
        standing = [held for held in ward.loans.values() if held.how == REFILL_RATE]
        if standing and not self.parting:
            names = []
            for name in self.owners(ward):
                held, line = ward.loans.get(name), ward.lines.get(name)
                due = (line.asked if line else -inf) + lease / 3
                if line and line.sequence or now >= due and (held is None or held.how == REFILL_RATE):
                    names.append(name)
            self.ask(ward, now, names)
        elif not ward.waiting and not ward.pending(now - self.settings.wait_s):
            self.spare(ward, now)
        self.plan(ward, now)

    def metrics(self) -> dict:
        """For operators: by tenant, what is on loan from here, what is left, and requests that were turned
        away."""
        now, lent, unlent = self.context.now, {}, {}
        for tenant, bucket in self.buckets.items():
            rate, burst = bucket.out_rate, bucket.out_burst
            share, _ = self.tenure.share(bucket.key, now)
            lent[tenant] = {"rate": round(rate, 3), "burst": round(burst, 3)}
            unlent[tenant] = {
                "rate": round(max(share * bucket.rate - rate, 0.0), 3),
                "tokens": round(bucket.ready if bucket.version == 1 else bucket.tokens, 3),
            }
        return {"lent": lent, "unlent": unlent, "denied": dict(self.denied)}

    # As an owner

    def share_in(self, ring, key: bytes) -> float:
        names = owners(ring, key, self.settings.copies)
        return 1 / len(names) if self.context.name in names else 0.0

    def bucket(self, tenant: str, now: float) -> Bucket:
        """The bucket, brought to this moment as far as the ring is proven."""
        found = self.buckets.get(tenant)
        if found is None:
            found = self.buckets[tenant] = Bucket(
                f"u/{tenant}".encode(), self.settings.limits[tenant], self.tenure, self.settings, self.version
            )
        period = int((now - self.start) / self.settings.period_s)
        found.touch(now, period, self.start + period * self.settings.period_s, self.version)
        return found

    def asked(
        self, sender, incarnation, same_life: bool, ask: LeaseRequest, lends: bool, now
    ) -> LeaseResponse | None:
        if ask.tenant not in self.settings.limits or not are_valid_amounts(
            ask.most, ask.top, ask.back, ask.waits, ask.want, ask.demand, ask.had
        ):
            self.context.increment(Metric.DROPPED_LEASE_REQUEST)
            return LeaseResponse(ask.tenant, ask.sequence, False, wait=self.settings.lease_s)
        if not lends:
            return LeaseResponse(ask.tenant, ask.sequence, False, wait=self.settings.lease_s / 4)
        bucket = self.bucket(ask.tenant, now)
        share, _ = self.tenure.share(bucket.key, now)
        if not share:
            return LeaseResponse(ask.tenant, ask.sequence, False, wait=self.settings.lease_s / 4)
        holder = bucket.book(sender, incarnation)
        if ask.sequence <= holder.sequence:
            self.context.increment(Metric.DROPPED_OLD_LEASE_REQUEST)
            return None
        if not same_life:
            ask = replace(ask, holds=0)
        self.numbers += 1
        given: LeaseGrant = bucket.lend(sender, incarnation, holder, ask, now, self.numbers)
        return LeaseResponse(
            ask.tenant,
            ask.sequence,
            True,
            given.number,
            given.how,
            given.rate,
            given.burst,
            given.tokens,
            given.left,
            given.period,
            min(given.wait, MOST_TOKENS),
        )

    def returned(self, sender, incarnation, back: LeaseReturn, now):
        bucket = self.buckets.get(back.tenant)
        holder = (
            bucket.holders.get((sender, incarnation)) if bucket and are_valid_amounts(back.tokens) else None
        )
        if holder is None or back.sequence <= holder.sequence:
            return self.context.increment(Metric.DROPPED_OLD_LEASE_RETURN)
        self.bucket(back.tenant, now)
        holder.sequence = back.sequence
        bucket.returned(holder, back.holds, back.tokens, now)

    # What comes in

    def on_message(self, sender: str, message: Struct):
        self.take_in(sender, message)
        self.flush()

    def take_in(self, sender, message):
        now = self.context.now
        if isinstance(message, LeaseRequestBatch):
            lends = self.ring is not None and self.has_valid_lease()
            if lends:
                self.tenure.prove(now)
            same = message.owner_incarnation == self.incarnation
            for back in message.backs[:MOST_A_MESSAGE]:
                if same:
                    self.returned(sender, message.incarnation, back, now)
            answers = []
            for ask in message.asks[:MOST_A_MESSAGE]:
                answer = self.asked(sender, message.incarnation, same, ask, lends, now)
                if answer is not None:
                    answers.append(answer)
            if answers:
                self.say(sender, LeaseResponseBatch(self.incarnation, message.incarnation, tuple(answers)))
        elif message.holder_incarnation != self.incarnation:
            self.context.increment(Metric.DROPPED_OLD_INCARNATIONS_LEASE)
        else:
            self.incarnations[sender] = max(message.incarnation, self.incarnations.get(sender, 0))
            wards = {}
            for answer in message.answers[:MOST_A_MESSAGE]:
                if are_valid_amounts(answer.rate, answer.burst, answer.tokens, answer.left, answer.wait):
                    ward = self.answered(sender, message.incarnation, answer, now)
                    if ward is not None:
                        wards[ward.tenant] = ward
            for ward in wards.values():
                self.settle(ward, now)
