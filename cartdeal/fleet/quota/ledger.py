"""The arithmetic of lent limits: who may lend how much since when, an owner's bucket and what it has on loan.

It is pure: it sends nothing and reads no clock, and all times are one agent's own. A bucket must never hold,
together with all that may still be on loan from it, more than its owner's share of the burst, or fill,
together with all rates on loan, faster than its share of the rate.

The loans are O'Neil's escrow (1986) and the rights of Balegas et al.'s bounded counters (2015), with a lease
on each (Gray & Cheriton 1989); a bucket with a refill is GCRA's (ATM Forum TM 4.0); parts are max-min fair
(water-filling).
"""

from heapq import heappop, heappush
from math import exp, floor, inf

from msgspec import Struct

STEPS = 16  # rings that are remembered; older ones count as unknown, and with them nothing is lent
MIN_TOKENS = 1e-9  # what is less than this is rounding


def waterfill(total: float, wants: list[float]) -> list[float]:
    """Max-min fair parts of `total`, none over its want, in the order of the wants."""
    parts, left = [0.0] * len(wants), max(total, 0.0)
    for place, i in enumerate(sorted(range(len(wants)), key=lambda i: (wants[i], i))):
        parts[i] = min(wants[i], left / (len(wants) - place))
        left -= parts[i]
    return parts


class DemandMeter:
    """Requests a second, averaged over `over_s`."""

    def __init__(self, over_s: float):
        self.over_s, self.rate, self.at = over_s, 0.0, -inf

    def now(self, now: float) -> float:
        return self.rate * exp(-max(now - self.at, 0.0) / self.over_s) if self.rate else 0.0

    def mark(self, now: float):
        self.rate, self.at = self.now(now) + 1 / self.over_s, now


class OwnershipStep:
    """A ring in force here from `at` to `end`; None: a time of which nothing is known. `proven`: the last
    time that a majority was known to have stayed with it."""

    def __init__(self, number: int, ring, at: float):
        self.number, self.ring, self.at, self.end, self.proven = number, ring, at, inf, -inf


class OwnershipHistory:
    """Which share of a key's limit its agent may lend: the least by all rings in force within the last fence.

    A ring not heard of may have had other owners, who still lend. So after a gap in the epochs, as after a
    start, the share is nought for one fence.
    """

    def __init__(self, start: float, fence: float, share_in):
        self.fence, self.share_in = fence, share_in  # share_in(ring, key) -> share, 0 to 1
        self.steps = [OwnershipStep(0, None, start)]

    @property
    def step(self) -> OwnershipStep:
        return self.steps[-1]

    def learn(self, ring, former, now: float):
        """`former`: the ring of the epoch before, where that is known."""
        had = self.step.ring
        if had is None and len(self.steps) == 1 and ring.epoch == 1:
            # No ring was before the first, so the fence is about the own earlier incarnation and counts from
            # the
            # start.
            self.add(ring, now)
            self.steps[0].end = self.steps[0].at
            return
        if had is None or had.epoch + 1 != ring.epoch or former is not None and former != had:
            if had is None or former is None or not had.epoch + 1 == former.epoch == ring.epoch - 1:
                former = None
            self.add(former, now)
        self.add(ring, now)

    def add(self, ring, now: float):
        self.step.end = now
        self.steps.append(OwnershipStep(self.step.number + 1, ring, now))
        if len(self.steps) > STEPS:
            del self.steps[0]
            self.steps[0].ring = None

    def prove(self, now: float):
        self.step.proven = now

    def share(self, key: bytes, t: float) -> tuple[float, float]:
        """The share at `t`, and until when it stays so if no ring comes."""
        low, until = inf, inf
        for step in reversed(self.steps):
            if step.at > t:
                continue
            gone = step.end + self.fence
            if gone <= t:
                break
            until = min(until, gone)
            low = min(low, self.share_in(step.ring, key) if step.ring is not None else 0.0)
        return (0.0, inf) if low == inf else (low, until)


class TokenLease:
    """Counted by the owner until `until`, or until its holder says that it has it no more. `whole`: tokens
    given in this period, where amounts are whole."""

    def __init__(self, number: int, rate: float, burst: float, until: float, whole: int = 0):
        self.number, self.rate, self.burst, self.until, self.whole = number, rate, burst, until, whole


class Holder:
    """An owner's book on one incarnation of one agent. `sequence`: its last word heard."""

    def __init__(self):
        self.sequence, self.demand, self.on_message, self.loans = 0, 0.0, -inf, []
        self.rate = self.burst = 0.0  # the most of any of its loans: it may use one of them, at most


class LeaseGrant(Struct):
    """What an owner answers: (rate, burst) from now on, `tokens` at once; `wait`: when to come back for
    more."""

    number: int = 0
    how: int = 0
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    left: float = 0.0
    period: int = 0
    wait: float = 0.0


WHOLE_PERIOD, REFILL_RATE, SINGLE_TOKEN = 1, 2, 3  # LeaseGrant.how; 0: nothing
REQUEST_ANY, REQUEST_WHOLE_TOKENS, REQUEST_SINGLE_TOKEN = (
    0,
    1,
    2,
)  # what a holder can use: anything, whole amounts, no standing loan

RESERVE = 1 / 16  # of the rate, never lent: it fills the bucket, for newcomers
ROOM = 0.75  # of its demand is lent to a holder as a rate; the rest it draws as it comes
MANY_HOLDERS = 16  # with more holders, who wants what is counted once in an eighth of a lease
PIECEMEAL = 5.0  # with fewer tokens for each holder, of burst or in a lease, they are lent singly


class Bucket:
    """An owner's part of one tenant's limit. `tokens`: to be lent; by periods (version 1): earned for the
    next one, and `ready` those of this one. Filled up to `at`, never beyond the time for which the ring is
    proven."""

    def __init__(self, key: bytes, limit, tenure: OwnershipHistory, settings, version: int):
        self.key, self.tenure, self.version = key, tenure, version
        self.lease, self.drift, self.period_s = settings.lease_s, 1 + settings.clock_drift, settings.period_s
        self.counted_s = self.lease * self.drift + 0.01  # the slowest clock's lease
        self.holders: dict[tuple[str, int], Holder] = {}
        self.out_rate = self.out_burst = 0.0  # on loan
        self.expiries: list[tuple[float, tuple[str, int]]] = []
        self.crowd, self.counted_at, self.water, self.wanted = 0, -inf, inf, 0.0
        self.tokens = self.ready = 0.0
        self.step, self.at, self.period = tenure.steps[0].number, tenure.steps[0].at, -1
        self.ends = inf  # of the period
        self.piecemeal = False
        self.rival = ((), -inf)  # who is preferred for parts of a token, since when
        self.limited(limit)

    def limited(self, limit):
        """A fast clock fills faster: rates are divided by what it may gain."""
        self.rate, self.burst = limit.rate / self.drift, limit.burst

    # Filling

    def keep(self, holder: Holder, loans: list[TokenLease]):
        """Counts these loans of it, and no others."""
        rate = max([loan.rate for loan in loans], default=0.0)
        burst = max([loan.burst for loan in loans], default=0.0)
        self.out_rate += rate - holder.rate
        self.out_burst += burst - holder.burst
        holder.loans, holder.rate, holder.burst = loans, rate, burst

    def add(self, key: tuple[str, int], holder: Holder, loan: TokenLease):
        self.keep(holder, [*holder.loans, loan])
        heappush(self.expiries, (loan.until, key))

    def most(self, share: float) -> float:
        if self.version == 1:
            return share * self.rate * self.period_s + 1 if share else 0.0
        return max(share * self.burst - self.out_burst, 0.0)

    def fill(self, to: float):
        steps = self.tenure.steps
        if self.step < steps[0].number:  # rings went by unseen: what it held may be another owner's now
            self.tokens = self.ready = 0.0
            self.step, self.at = steps[0].number, max(self.at, steps[0].at)
        for step in steps:
            if step.number > self.step:
                if step.at > to:
                    break
                # What wasn't proven before the ring changed is not counted at all.
                self.step, self.at = step.number, max(self.at, step.at)
                share, _ = self.tenure.share(self.key, step.at)
                self.tokens = min(self.tokens, self.most(share))
                self.ready = min(self.ready, floor(self.most(share))) if self.version == 1 else 0.0
            if step.number == self.step:
                self.earn(min(step.proven, to))

    def earn(self, to: float):
        while self.at < to:
            while self.expiries and self.expiries[0][0] <= self.at:
                _, key = heappop(self.expiries)
                holder = self.holders.get(key)
                if holder is not None:
                    self.keep(holder, [loan for loan in holder.loans if loan.until > self.at])
            share, until = self.tenure.share(self.key, self.at)
            end = min(to, until, self.expiries[0][0] if self.expiries else inf)
            earned = max(share * self.rate - self.out_rate, 0.0) * (end - self.at)
            self.tokens, self.at = min(self.tokens + earned, self.most(share)), end

    def touch(self, now: float, period: int, starts: float, version: int):
        """Brings it to `now`. `period`: the owner's, that began at `starts`; `version`: what is to be
        written, from the end of the period in which it was heard of."""
        if period != self.period:
            self.fill(starts)
            self.turn(period, version)
            self.ends = starts + self.period_s
        self.fill(now)

    def turn(self, period: int, version: int):
        """A period's end. What was earned in one can be lent in the next, in whole tokens; what nobody asked
        for then is gone, except the one of a tenant that earns less than one in a period."""
        was, self.version, self.period = self.version, version, period
        share, _ = self.tenure.share(self.key, self.at)
        if version == 1:
            whole = share * self.rate * self.period_s
            earned = min(self.tokens + (self.ready if was == 1 and whole < 1 else 0.0), whole + 1)
            if self.out_burst > MIN_TOKENS:  # still on loan from before periods were counted
                earned = min(earned, max(share * self.burst - self.out_burst, 0.0))
            self.ready = float(floor(earned + MIN_TOKENS))
            self.tokens = max(earned - self.ready, 0.0)
        else:
            self.tokens, self.ready = min(self.tokens, self.most(share)), 0.0

    # Lending

    def book(self, name: str, incarnation: int) -> Holder:
        found = self.holders.get((name, incarnation))
        if found is None:
            found = self.holders[name, incarnation] = Holder()
        return found

    def tidy(self, now: float):
        for key in [
            key
            for key, holder in self.holders.items()
            if not any(loan.until > self.at for loan in holder.loans)
            and holder.on_message < now - 2 * self.lease
        ]:
            self.keep(self.holders.pop(key), [])
        # Sums that are kept up by differences drift off, if by little.
        self.out_rate = sum(holder.rate for holder in self.holders.values())
        self.out_burst = sum(holder.burst for holder in self.holders.values())

    def returned(self, holder: Holder, number: int, tokens: float, now: float):
        """The holder has let all loans go but this one's remains, which come back; a second time finds no
        loan."""
        loan = next((loan for loan in holder.loans if loan.number == number), None)
        self.keep(holder, [])
        share, _ = self.tenure.share(self.key, now)
        if loan is not None and loan.until > now:
            if self.version != 1:
                self.tokens = min(self.tokens + tokens, self.most(share))
            elif loan.whole:
                self.ready += min(floor(tokens + MIN_TOKENS), loan.whole)
        # What fills from now on fills without these loans; so nothing before now may be counted later.
        self.at = max(self.at, now)

    def lend(self, who: str, incarnation: int, holder: Holder, ask, now: float, number: int) -> LeaseGrant:
        """`ask`: see lending.Ask; the bucket is at `now`, and its ring is proven."""
        holder.sequence, holder.demand, holder.on_message = ask.sequence, ask.demand, now
        kept = [loan for loan in holder.loans if loan.number == ask.holds and loan.until > now]
        if kept and self.version != 1:
            kept[0].burst = min(kept[0].burst, ask.most)
        self.keep(holder, kept)
        share, _ = self.tenure.share(self.key, now)
        if self.version == 1:
            return self.lend_whole(who, incarnation, holder, ask, now, number, share)
        rate, burst = share * self.rate, share * self.burst
        others, lent, mine = self.out_rate - holder.rate, self.out_burst - holder.burst, holder.burst
        top = 0.0
        if kept:
            top = min(ask.top, ask.most)
            self.tokens += ask.back
        self.tokens = max(min(self.tokens, burst - lent - mine), 0.0)
        if self.crowd <= MANY_HOLDERS or now - self.counted_at >= self.lease / 8:
            self.census(now, rate)
        if self.piecemeal or ask.mode != REQUEST_ANY:
            given = self.piece(who, ask, burst - lent, top)
        else:
            given = self.standing(holder, ask, rate, others, burst, lent, mine, top)
        if given.tokens < ask.waits:
            given.wait = self.lease / 8
            if not given.rate:
                given.wait = max(share - self.tokens, 0.01 * share) / rate if rate else inf
        if given.how:
            self.tokens = max(min(self.tokens - given.tokens, burst - lent - max(mine, given.burst)), 0.0)
            given.number, given.left = number, self.lease
            self.add(
                (who, incarnation), holder, TokenLease(number, given.rate, given.burst, now + self.counted_s)
            )
        return given

    def want(self, holder, rate) -> float:
        return ROOM * holder.demand + 0.05 * rate / self.crowd

    def census(self, now, rate):
        """Who uses it, and up to which rate each may have what it wants."""
        active = [each for each in self.holders.values() if each.on_message > now - self.lease]
        self.crowd, self.counted_at = len(active), now
        parts = waterfill((1 - RESERVE) * rate, [self.want(each, rate) for each in active])
        self.water, self.wanted = max(parts), sum(parts)
        enough = (1.5 if self.piecemeal else 1.0) * PIECEMEAL
        self.piecemeal = (
            self.burst < enough * (self.crowd + 1) or self.rate * self.lease < enough * self.crowd
        )

    def piece(self, who, ask, room, top) -> LeaseGrant:
        """Single tokens, for requests that wait: no rate, and a cap of just what was given."""
        # A token may have to be put together from the parts of several owners. Were each to serve whom it
        # heard first, two holders would get parts that neither can use: all prefer the one that had least of
        # late.
        rank, (best, since) = (ask.had, who), self.rival
        tokens = min(self.tokens, ask.waits, room - top)
        if ask.mode == REQUEST_WHOLE_TOKENS:
            tokens = floor(tokens + MIN_TOKENS)
        if self.at - since >= self.lease / 8:
            best = ()
        if best and best < rank and self.tokens - tokens < min(1.0, room):
            tokens = 0.0
        elif tokens < min(ask.waits, 1.0):
            if not best or rank <= best:
                self.rival = (rank, self.at)
        elif best and best[1] == who:
            self.rival = ((), -inf)
        if tokens <= MIN_TOKENS:
            return LeaseGrant()
        return LeaseGrant(
            how=WHOLE_PERIOD if ask.mode == REQUEST_WHOLE_TOKENS else SINGLE_TOKEN,
            tokens=tokens,
            burst=top + tokens,
        )

    def standing(self, holder, ask, rate, others, burst, lent, mine, top) -> LeaseGrant:
        """A rate by demand, a cap to go with it, and what the bucket has for it at once."""
        part = min(self.want(holder, rate), self.water)
        room = burst - lent
        tokens = self.tokens if ask.waits >= 1 or not mine else self.tokens / 2
        tokens = max(min(tokens, max(ask.want, ask.waits), room - top), 0.0)
        # The cap comes out of what the bucket could not fill with the tokens it has: none is spilt by it.
        cap = part / (self.wanted or 1.0) * burst * self.crowd / (self.crowd + 1)
        cap = max(top + tokens, min(cap, room - (self.tokens - tokens)))
        part = max(min(part, rate - others), 0.0)
        if tokens <= MIN_TOKENS and (part <= MIN_TOKENS or cap <= MIN_TOKENS):
            return LeaseGrant()
        return LeaseGrant(how=REFILL_RATE, rate=part, burst=min(cap, room), tokens=tokens)

    def lend_whole(self, who, incarnation, holder, ask, now, number, share) -> LeaseGrant:
        ends = self.ends
        fair = max(1, -(-int(self.ready) // 2))
        tokens = min(int(self.ready), max(-int(-ask.waits // 1), min(-int(-ask.want // 1), fair)))
        if tokens < 1:
            return LeaseGrant(
                wait=max(ends - now, 0.0)
                if share * self.rate * self.period_s >= 1
                else max((1 - self.tokens) / max(share * self.rate, 1e-6), ends - now)
            )
        self.ready -= tokens
        had = sum(loan.whole for loan in holder.loans)
        self.keep(holder, [loan for loan in holder.loans if not loan.whole])
        self.add((who, incarnation), holder, TokenLease(number, 0.0, 0.0, ends, had + tokens))
        # By the slowest clock, too, it is over when the period is.
        return LeaseGrant(
            number, WHOLE_PERIOD, tokens=float(tokens), left=(ends - now) / self.drift, period=self.period
        )
