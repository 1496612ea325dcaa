"""All of an agent's decisions: which server a request's attempt goes to, and when it is held or given up.

Each thing that happens is one method call on an agent's Balancer, with `host.now` set; it acts by host."""

from math import exp, inf, log
from zlib import crc32

from cartdeal.terms import Fading, Group, Outcome, Repeat, State
from cartdeal.watch_schedule import WatchSchedule

GLANCE, SOON = 0.05, 0.002  # how often room is looked for, a probe's answer holds; the least time to a timer
SPARE, SHUN = 0.04, 4.0  # kept free before a deadline for the answer; longest a class passes a server by
FAILBACK, MEMORY = 10.0, 6.0  # seconds between checks of zones ranked higher; over which what is seen fades
DOUBT, FAILING = 2.0, 0.3  # failures (fading) that may open a circuit, if they are such a share of what ended
SHARED_LIMIT, COLD_SHARE = 8.0, 0.7  # in flight at a new server, from all agents; share of a cold ramp sent
LEAST, CUT = 0.25, 0.75  # limits under one mean pauses between single attempts; what a cut leaves
CALM, LATE, TOO_LATE = 0.15, 0.25, 0.6  # of the latency target: a limit grows, is cut, falls under one
YIELD, HOLD = 1.5, 0.3  # times the mean in flight at which a server yields; share of the target to be held
EVEN, BUSY = 1.2, 4.0  # times the mean over the memory, in a pool; least in flight at a server, by them all
GROW, STALE, CROWDED = 0.125, 600.0, 0.6  # limits, by worth; seconds in which a size fades, a report holds
TROUBLE, THIN, TARDY = 0.08, 20.0, 2.0  # missed at home: ask; requests a server: not; times usual: yields
SAVED, ENOUGH = 8.0, 0.02  # requests missed of which a probe saves one; given up unshot, share: no repeats
MASK, NEVER = (1 << 64) - 1, (0, 0.0, 1.0)


class RoutedRequest:
    def __init__(self, number, request_class, key, deadline, now, value, tally):
        self.number, self.request_class, self.key, self.tally = number, request_class, key, tally
        self.deadline, self.value = deadline, value
        self.target_at = min(deadline, now + request_class.latency_target)
        self.attempts, self.out = 0, {}  # attempts in flight: number -> server
        self.traces = {}  # attempts that are out or may have run: number -> (server, when sent)
        self.tried, self.asked, self.ask_at, self.held_until = [], [], 0.0, 0.0


class Server:
    def __init__(self, index, limit, now):
        self.index, self.first_limit, self.state, self.started = index, limit, State.GONE, -inf
        self.out, self.sends = {}, Fading(MEMORY, now)  # own attempts: (request, attempt) -> when sent
        self.weight, self.sized_at, self.crowded_until, self.summed_at = 1.0, -inf, -inf, -inf
        self.askers, self.asked_at = {}, -inf  # requests that wait for the answer to a probe
        self.restart(now)

    def restart(self, now):
        self.limit, self.cut_at, self.rest_until = self.first_limit, now, now
        self.fails, self.wins, self.flown = (Fading(MEMORY, now) for _ in "fwo")  # flown: seconds in flight
        self.pace, self.heard = 0.0, now  # mean time to an answer; when the last one came
        self.closed, self.silent, self.trial = True, False, False
        self.retry_at, self.backoff, self.tokens, self.refilled_at, self.said_at = now, 1.0, 0.0, now, 0.0
        # When attempts given up were sent; class -> failures in a row, until when and how long it passes by.
        self.left, self.shuns = [], {}


class Balancer:
    def __init__(self, host, settings):
        self.host, self.settings, self.pooled, now = host, settings, settings.pooled, host.now
        # Agents that each begin with a whole server's room for themselves jam it together at the start.
        self.first_limit = max(LEAST, min(4.0, SHARED_LIMIT / settings.agents))
        self.least = min(1.0, BUSY / settings.agents)
        # By class: requests asked for and those served in time, time to answers and how many these were.
        self.tallies = [[Fading(MEMORY, now) for _ in range(4)] for _ in settings.request_classes]
        self.counter, self.servers, self.requests, self.held, self.filled = 0, {}, {}, {}, set()
        self.zones = [[] for _ in range(settings.zones)]
        self.order = sorted(
            range(settings.zones),
            key=lambda zone: (
                zone != settings.own_zone,
                mixed(crc32(b"%d/%d" % (settings.number, zone))),
                zone,
            ),
        )
        self.standing, self.failback_at = 0, now + FAILBACK  # standing: place in the order of zones
        self.arrivals, self.priority = Fading(MEMORY, now), Fading(MEMORY, now)
        self.tenants, self.like_rate = {}, {}  # by zone: last known sends a second to a warm one, by weight
        # Judged by first quick answers alone, a zone that is only slow at the start seems silent and fails.
        late = LATE * max((kind.latency_target for kind in settings.request_classes), default=1.0)
        self.pace, self.paced = Fading(MEMORY, now, late), Fading(MEMORY, now, 1.0)
        self.answer, self.answered = Fading(MEMORY, now), Fading(MEMORY, now)  # time to answers of probes
        self.strain = Fading(1.0, now)  # requests that found no room lately
        # Held requests, by whether room came, and those given up that never were sent.
        self.met, self.missed, self.lacked = Fading(2.0, now), Fading(2.0, now), Fading(MEMORY, now)
        # The share of the keys that cross; requests that ended, all and bad, at home and away.
        self.spill, self.ends = 0.0, [[Fading(MEMORY, now), Fading(MEMORY, now)] for _ in "ha"]
        self.alarm_at = inf
        self.watch = WatchSchedule(now, settings.ask_every, watching=not settings.must_ask)
        self.keep_watch(now)

    def chance(self):
        self.counter += 1
        return (crc32(b"%d/%d" % (self.settings.seed, self.counter)) + 0.5) / 4294967296

    def listed(self, lines, fresh):
        now = self.host.now
        if fresh:
            self.watch.answered(now)
        for line in lines:
            while line.zone >= len(self.zones):  # one that the settings don't name comes last of all
                self.zones, self.order = [*self.zones, []], [*self.order, len(self.zones)]
            server = self.servers.get(line.server)
            if server is None:
                if line.state is State.GONE:
                    continue
                # What a pool's agents of a lost zone begin with at the next comes on top of its own agents'.
                away = line.zone != self.settings.own_zone
                first = self.least if self.pooled and away else self.first_limit
                server = self.servers[line.server] = Server(line.server, first, now)
                server.hash = mixed(crc32(line.name))
            if line.state is not State.GONE:
                server.zone, server.cell = line.zone, line.cell
                self.size(server, line.weight, now)
            if line.started > server.started:
                server.started = line.started
                server.restart(now)
                # Agents that all begin with a whole token would meet at the cold server in one burst.
                server.tokens = self.chance()
            server.state = line.state
            self.let_go(server)
        for zone, members in enumerate(self.zones):
            members[:] = [s for s in self.servers.values() if s.state is State.READY and s.zone == zone]
        self.check_zones(now)
        self.release(now)

    def size(self, server, weight, now):
        """What the list says, or the most that it said where what a server holds lowers it."""
        if not 1e-3 <= weight <= 1e6:  # also what is no number at all
            weight = server.weight
        elif self.settings.live_weights:
            # Taken as they come, such weights move the attempts of all agents to the same servers, and late.
            weight = max(weight, server.weight * exp((server.sized_at - now) / STALE))
        server.weight, server.sized_at = weight, now

    def let_go(self, server):
        # Where servers are replaced all day, those gone would fill the memory; traces hold their own.
        if server.state is State.GONE and not server.out:
            del self.servers[server.index]

    def watch_failed(self, silent=False):
        """The watch ended or fell silent, or the call for one got no list."""
        self.watch.failed(self.host.now, silent, bool(self.servers), self.chance())
        self.alarm(self.watch.call_at)

    def discovery_moved(self):
        self.watch.moved(self.host.now)
        self.keep_watch(self.host.now)

    def keep_watch(self, now):
        # Without a watch, an agent is held to know what it never heard unless it has asked lately.
        if not self.watch.watching:
            if now >= self.watch.call_at:
                self.host.watch()
                self.watch.called(now)
            self.alarm(self.watch.call_at)

    def taken(self, number, request_class, tenant, key, deadline, repeat):
        now, kind = self.host.now, self.settings.request_classes[request_class]
        self.arrivals.add(now)
        self.priority.add(now, kind.priority)
        value = self.worth(request_class, kind.priority, now) if self.pooled else kind.priority
        # A repeat has spent part of its time at its first try: served first, it makes new ones late too.
        value *= self.within_share(tenant, now) * (0.5 if repeat else 1.0)
        request = self.requests[number] = RoutedRequest(
            number, kind, key or int(self.chance() * MASK), deadline, now, value, self.tallies[request_class]
        )
        self.place(request, now)

    def worth(self, request_class, value, now):
        """What a pool's request adds for the time that it takes; more in the class that is served worst."""
        asked, _, took, answers = self.tallies[request_class]
        asked.add(now)
        shares = [done.read(now) / max(all_.read(now), 0.1) for all_, done, _, _ in self.tallies]
        if shares[request_class] <= min(shares) + 0.02:
            value += self.settings.worst_class * self.priority.amount / asked.amount
        usual = took.read(now) / max(answers.read(now), 0.1)
        return value * self.pace.read(now) / max(self.paced.read(now), 0.1) / usual if usual else value

    def within_share(self, tenant, now):
        if not self.settings.tenants:
            return 1.0
        seen = self.tenants.setdefault(tenant, Fading(MEMORY, now))
        seen.add(now)
        all_, share = sum(each.quota for each in self.settings.tenants), self.settings.tenants[tenant].quota
        beyond = 1.0 - 1.1 * share / max(all_, 1e-9) * self.arrivals.amount / seen.amount
        return self.settings.beyond_share if self.chance() < beyond else 1.0

    def place(self, request, now, further=False, last=False):
        """The ordinary path: the zone stood on, its top server by rendezvous; else another zone; or hold."""
        home, first = self.order[self.standing], self.spills_to(request)
        server = self.pick(self.zones[first], request, now)
        if server is None:
            self.strain.add(now)
            crossing = self.worth_crossing(request, now, further or last)
            for zone in self.order:
                if server is None and zone != first and (zone == home or crossing) and self.passes(zone):
                    server = self.pick(self.zones[zone], request, now)
        unasked = server is not None and self.must_ask(server, now)
        if unasked and self.hold(request, now):
            self.ask(request, server, now)
        elif server is not None:
            self.send_attempt(request, server, now)
        elif request.number in self.held and now < request.held_until:
            # While an asked server may still answer, what others have to offer comes too late to matter.
            request.ask_at = request.held_until if request.asked else now
        elif last or not self.hold(request, now):
            self.give_up(request, now)

    def hold(self, request, now):
        if request.number not in self.held:
            # A client's late try can end sooner than the hold: the timer must find it in time to answer.
            longest = HOLD * request.request_class.latency_target
            request.held_until = min(now + longest, request.deadline - SPARE)
        if now < request.held_until:
            self.held[request.number] = request
            self.alarm(min(max(request.ask_at, now + GLANCE), request.held_until))
        return now < request.held_until

    def pick(self, members, request, now):
        """The top server by weighted rendezvous that has room and isn't well over the mean in flight."""
        if members and members[0].zone in self.filled:
            return None  # nothing has ended since it was found full
        kind = request.request_class
        safe = kind.repeat is Repeat.IDEMPOTENT  # these try open circuits first, singly
        usable = [s for s in members if s.closed or s.trial and not s.out and (safe or now > s.retry_at)]
        if (
            not usable
            and not any(map(self.passes, self.order))
            and members is self.zones[self.order[self.standing]]
        ):
            usable = members
        if not usable or any(s.zone == usable[0].zone for s in request.asked):
            return None
        if self.pooled and self.full(usable):
            self.filled.add(usable[0].zone)
            return None
        key, best, top, spare, like = request.key, None, -1.0, None, None
        size = sum([s.weight for s in usable])
        mean = YIELD * sum([len(s.out) for s in usable]) / size
        even = EVEN * sum([self.has(s, now) for s in usable]) / size if self.pooled else inf
        for s in usable:
            busy, fills = len(s.out), len(s.out) + len(s.left)
            if (
                fills >= max(1.0 + self.pooled, s.limit)
                or now < s.rest_until
                or s in request.tried
                or (now < s.shuns.get(kind, NEVER)[1])
                or not self.within_group(request, s, now)
            ):
                continue
            if s.started and now - s.started < self.settings.cold_for:
                like = self.like(s.zone, now) if like is None else like  # once a pick: all may be cold
                if not self.ramp_allows(s, now, like):
                    continue
            score, has = s.weight / -log((mixed(key ^ s.hash) + 1) / 1.8446744073709552e19), self.has(s, now)
            if busy >= 2 and busy + 1 > mean * s.weight or has > even * s.weight:
                if spare is None or has / s.weight < self.has(spare, now) / spare.weight:
                    spare = s
            elif score > top:
                best, top = s, score
        return best or spare

    def full(self, servers):
        """Whether a pool's agent has out all it may; those given up count until a later one is answered."""
        # Limits under one are kept over the zone: pauses at each server would leave it idle. Where all that
        # fills it was given up, one still goes out: a lost zone would be found out late, and left late.
        out = sum([len(s.out) for s in servers])
        return out and out + sum([len(s.left) for s in servers]) >= sum([s.limit for s in servers])

    def has(self, server, now):
        """What a server has of this agent's requests: in flight or, in a pool, seconds of that lately."""
        # A pool's agent has one at most at a server at most moments, and a key that is dear to all would jam
        # its server unseen; but each meets a fair sample, and what each spreads evenly is even in all.
        if not self.pooled:
            return len(server.out)
        if now > server.summed_at:  # once a moment: a large zone's sums would cost more than its requests
            server.sum = server.flown.read(now) + sum([now - sent for sent in server.out.values()])
            server.summed_at = now
        return server.sum

    def must_ask(self, server, now):
        # Among many agents a quiet one learns of full servers too late: in trouble, or new, it asks first.
        ended, bad = self.ends[0]
        bad, ended = bad.read(now) + 0.05, ended.read(now)
        trouble = bad > TROUBLE * ended or self.strain.read(now) > 0.1
        # A probe is work at a server: where it is dear, hundreds of agents that ask lose more than they save.
        trouble = trouble and bad > (SAVED * self.settings.probing_fee - TROUBLE) * ended
        few = self.arrivals.read(now) < THIN * len(self.zones[server.zone])
        asks = trouble and few and self.settings.may_probe and self.settings.agents > len(self.servers)
        return asks and server.closed and now > server.said_at + GLANCE

    def ask(self, request, server, now):
        request.asked.append(server)
        server.askers[request.number] = request
        if now > server.asked_at + 1.0:
            server.asked_at = now
            self.host.probe(server.index)
        request.ask_at = now + max(0.01, TARDY * self.answer.read(now) / max(self.answered.read(now), 0.1))
        self.alarm(min(request.ask_at, request.held_until))

    def spills_to(self, request):
        """The zone stood on, but for the keys that it can't carry: all agents send such a key to one zone."""
        home, at = self.order[self.standing], mixed(request.key ^ MASK) / MASK
        others = at < self.spill and [z for z in range(len(self.zones)) if z != home and self.passes(z)]
        return others[int(at * 1e6) % len(others)] if others else home

    def judge(self, request, bad, now):
        """Moves the share of keys that cross by its gain: what is missed at home, less away, less the fee."""
        away = bool(request.tried) and request.tried[-1].zone != self.order[self.standing]
        for each, more in zip(self.ends[away], (1.0, bad), strict=True):
            each.add(now, more)
        home, other = (bad.read(now) / max(ended.read(now), 0.5) for ended, bad in self.ends)
        # What found room nowhere counts for neither: zones that are both full would swap their keys.
        moves = (request.tried or not self.pooled) and home - other > self.settings.crossing_fee + TROUBLE
        self.spill = min(0.9, max(0.0, self.spill + (0.05 if moves else -0.02)))

    def worth_crossing(self, request, now, last):
        """Whether the next zone's chance, beyond what held requests lately had at home, is worth its fee."""
        met, missed = self.met.read(now), self.missed.read(now)
        gain = request.value * (1.0 if last else 1.0 - met / (met + missed + 0.1))
        return gain * self.arrivals.amount > self.settings.crossing_fee * self.priority.amount

    def ramp_allows(self, server, now, like):
        """Whether a cold server's ramp allows one more: rule 4 holds if every agent keeps to its own ramp."""
        age = now - server.started
        ramp = 1 - (1 - self.settings.cold_from) * max(0.0, 1 - age / self.settings.cold_for)
        rate = COLD_SHARE * ramp * server.weight * like
        # Counted in short spans: what was not used lately is no leave for a burst.
        most = max(1.0, rate * self.settings.cold_span / 4)
        server.tokens, server.refilled_at = min(most, server.tokens + rate * (now - server.refilled_at)), now
        return server.tokens >= 1.0

    def like(self, zone, now):
        warm = [s for s in self.zones[zone] if s.closed and now - s.started >= self.settings.cold_for]
        if warm:
            self.like_rate[zone] = sum(s.sends.read(now) for s in warm) / MEMORY / sum(s.weight for s in warm)
        elif zone not in self.like_rate:
            return self.arrivals.read(now) / MEMORY / sum(s.weight for zone in self.zones for s in zone)
        return self.like_rate[zone]

    def send_attempt(self, request, server, now):
        attempt, request.attempts = request.attempts, request.attempts + 1
        request.out[attempt], request.traces[attempt] = server, (server, now)
        request.tried.append(server)
        request.asked.clear()
        was_held = self.held.pop(request.number, None) is not None
        self.met.add(now, was_held and self.order[self.standing] == server.zone)
        server.heard = server.heard if server.out else now
        server.out[request.number, attempt] = now
        self.alarm(now + self.patience(server, now))
        server.sends.add(now)
        if request.request_class in server.shuns:
            self.doubt(server, request, now, 0)  # one that passed it by tries it with one request at a time
        server.tokens -= 1.0
        self.host.send_attempt(request.number, server.index, request.deadline)

    def within_group(self, request, server, now):
        """Whether an attempt there could not cause a second effect."""
        kind = request.request_class
        if not request.traces or kind.repeat is Repeat.IDEMPOTENT:
            return True
        return kind.repeat is not Repeat.NON_IDEMPOTENT and all(
            now <= sent + kind.window - 0.05
            and (
                kind.group is Group.ALL
                or past.zone == server.zone
                and (kind.group is Group.ZONE or past.cell == server.cell)
            )
            for past, sent in request.traces.values()
        )

    def give_up(self, request, now):
        kind = request.request_class
        safe = (
            not request.traces
            or kind.repeat is Repeat.IDEMPOTENT
            or (
                kind.repeat is Repeat.DEDUPLICATED
                and kind.group is Group.ALL
                and all(now < sent + kind.window for _, sent in request.traces.values())
            )
        )
        if safe:
            wait = min(self.settings.advises_wait, kind.latency_target * (0.2 + 0.3 * self.chance()))
            self.host.reject(request.number, wait)
        else:
            self.host.fail(request.number)
        self.lacked.add(now, not request.tried)
        self.judge(self.forget(request.number), True, now)

    def forget(self, number):
        self.held.pop(number, None)
        return self.requests.pop(number, None)

    def client_disconnected(self, number):
        if number in self.requests:
            self.judge(self.forget(number), True, self.host.now)

    def release(self, now):
        """Offers room to held requests, the most important first."""
        misses, due = 0, [each for each in self.held.values() if now >= each.ask_at]
        for request in sorted(due, key=lambda each: -each.value):
            if misses < 2:
                self.place(request, now)
                misses += request.number in self.held

    def attempt_ended(self, number, index, outcome, attempt, took, finished, load):
        now, server, completed = self.host.now, self.servers.get(index), outcome is Outcome.COMPLETED
        # After a restart an outcome may come of an attempt, at a server, that this agent knows nothing of.
        sent = server and server.out.pop((number, attempt), None)
        if sent is None:
            return
        self.filled.clear()
        if self.pooled and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            server.left.append(sent)
        elif completed:
            server.left = [each for each in server.left if each > sent]
        request = self.requests.get(number)
        server.flown.add(now, took)
        self.reported(server, load, now)
        self.learn(server, outcome, took, request, now)
        self.let_go(server)
        if request is not None:
            request.out.pop(attempt, None)
            if outcome.never_ran:
                request.traces.pop(attempt, None)
            if finished:
                self.judge(self.forget(number), not (completed and now <= request.target_at), now)
            elif not request.out:
                self.follow_up(request, now)
        self.release(now)

    def follow_up(self, request, now):
        """An attempt ended without an answer: up to two further ones, none under overload."""
        over = request.traces and self.lacked.read(now) > 2 + ENOUGH * self.arrivals.amount
        more = request.attempts < min(3, self.settings.most_attempts) and now < request.target_at
        if (
            more
            and not over
            and any(
                s not in request.tried and self.within_group(request, s, now) for s in sum(self.zones, [])
            )
        ):
            self.place(request, now, further=True)
        else:
            self.give_up(request, now)

    def learn(self, server, outcome, took, request, now):
        if outcome in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.UNUSABLE):
            return
        goal = request.request_class.latency_target if request else took * 2
        if outcome is Outcome.COMPLETED:
            server.heard = now
            server.shuns.pop(request and request.request_class, None)
            server.wins.add(now)
            server.pace += 0.2 * (took - server.pace) if server.pace else took
            self.pace.add(now, took)
            self.paced.add(now)
            if request:
                for each, more in zip(request.tally[1:], (now <= request.target_at, took, 1.0), strict=True):
                    each.add(now, more)
            if server.silent or server.trial and server.wins.amount > 1.5:
                server.closed, server.silent, server.trial = True, False, False
                server.fails = Fading(MEMORY, now)
            if server.limit < 1.0 and not self.pooled:
                # One from each of many agents can be too much for a server: take turns with the others.
                server.rest_until = now + server.pace * (1.0 / server.limit - 1.0)
            if took < CALM * goal and self.pooled:
                worth = request.value * self.arrivals.amount / self.priority.amount  # others need room, too
                if now > server.crowded_until:
                    server.limit += min(1.0 / server.limit, server.limit * GROW * min(2.0, worth))
            elif took < CALM * goal and len(server.out) + 1 > 0.7 * server.limit:
                server.limit += min(1.0 / server.limit, server.limit / 4)
            elif took > LATE * goal and request:
                self.cut(server, now, LEAST if took > TOO_LATE * goal else 1.0)
        elif outcome is Outcome.FULL:
            self.cut(server, now, LEAST)
            # One that refuses at once always looks idle, and would draw ever more attempts.
            server.rest_until = now + max(0.1, server.pace) / min(1.0, server.limit)
        else:
            server.fails.add(now)
            if request and not outcome.never_ran:
                self.doubt(server, request, now)
            if outcome is Outcome.TIMED_OUT:
                self.cut(server, now)
            if (
                server.trial
                or (fails := server.fails.amount) >= DOUBT * 0.95
                and fails > FAILING * (fails + server.wins.read(now))
            ):
                self.open(server, now)

    def doubt(self, server, request, now, failed=1):
        """A server may fail with one class alone, which then passes it by; the circuit is for them all."""
        row, until, span = server.shuns.get(request.request_class, NEVER)
        if row + failed > 2 and now >= until:
            until, span = now + span, min(SHUN, span * 2)
        server.shuns[request.request_class] = row + failed, until, span

    def cut(self, server, now, least=1.0):
        if now >= server.cut_at:
            server.limit = max(min(server.limit, self.least if self.pooled else least), server.limit * CUT)
            server.cut_at = now + max(0.1, server.pace)

    def open(self, server, now):
        if server.closed or server.trial:
            server.backoff = 0.5 if server.closed else server.backoff
            server.closed = server.trial = False
            self.put_off(server, now)
            self.check_zones(now)

    def put_off(self, server, now):
        server.backoff = min(8.0, server.backoff * 2)
        server.retry_at = now + server.backoff * (0.75 + 0.5 * self.chance())
        self.alarm(server.retry_at)

    def probe_ended(self, index, outcome, took, load):
        now, server, answered = self.host.now, self.servers.get(index), outcome is Outcome.COMPLETED
        if server is None:
            return
        askers, server.askers, server.asked_at = server.askers, {}, -inf
        if answered and server.closed:
            self.answer.add(now, took)
            self.answered.add(now)
            server.said_at = now
            self.reported(server, load, now)
        elif answered:
            server.trial, server.wins, server.fails = True, Fading(MEMORY, now), Fading(MEMORY, now)
            server.retry_at = now + 1.0
        elif not server.closed:
            self.put_off(server, now)
        for request in sorted(askers.values(), key=lambda each: -each.value):
            if request.number in self.held and server in request.asked:
                request.asked.remove(server)
                ready = answered and server.closed and server.state is State.READY
                if ready and self.pick([server], request, now):
                    self.send_attempt(request, server, now)
                else:
                    request.asked.append(server)  # else a jammed fleet is asked over and over
                    self.place(request, now)

    def reported(self, server, load, now):
        """Where requests wait beyond what a server works on, it is late, however quick its answer was."""
        # A report is old when it comes: it may say that there was a crowd, never that there is room.
        if load and load.waiting and now > server.crowded_until:
            server.crowded_until = now + CROWDED
            self.cut(server, now)

    def passes(self, zone):
        members = self.zones[zone]
        return bool(members) and 2 * sum([s.closed or s.trial for s in members]) >= len(members)

    def check_zones(self, now):
        """Failover: away from a zone that fails, to the next that passes; none passing, stay."""
        if not self.passes(self.order[self.standing]):
            self.stand(now)

    def stand(self, now):
        self.standing = next((p for p, zone in enumerate(self.order) if self.passes(zone)), self.standing)
        self.failback_at = now + FAILBACK
        self.alarm(self.failback_at)

    def alarm(self, at):
        # Timers only for what is due: agents that look round all the time cost more than their requests do.
        # Never at once: each of several timers of one moment would find the next due again, and set two more.
        at = max(at, self.host.now + SOON)
        if at < self.alarm_at:
            self.alarm_at = at
            self.host.wake(0, at - self.host.now)

    def woken(self, token):
        now = self.host.now
        if now < self.alarm_at - 1e-5:
            return  # set before an earlier one was
        self.alarm_at = inf
        self.keep_watch(now)
        if self.standing:
            if now >= self.failback_at:
                self.stand(now)
            self.alarm(self.failback_at)
        for server in self.servers.values():
            if server.out and server.closed:
                self.listen_for(server, now)
            if server.left and server.left[0] < now - MEMORY:
                del server.left[0]
            if not server.closed and not server.trial and server.state is State.READY:
                if now >= server.retry_at:
                    server.retry_at, server.trial = now + 2.0, not self.settings.may_probe
                    if self.settings.may_probe:
                        self.host.probe(server.index)
                self.alarm(server.retry_at)
        for request in [each for each in self.held.values() if now >= each.held_until]:
            self.missed.add(now)
            self.place(request, now, last=True)
        self.release(now)
        for request in self.held.values():
            self.hold(request, now)

    def patience(self, server, now):
        usual = max(server.pace, self.pace.read(now) / max(self.paced.read(now), 0.1))  # slow is not silent
        return max(0.25, usual * (4.0 if len(server.out) < 3 else 2.5)) if usual else inf

    def listen_for(self, server, now):
        """A server that has gone silent is left before its attempts end."""
        patience = self.patience(server, now)
        due = max(next(iter(server.out.values())), server.heard) + patience
        if now < due:
            self.alarm(due)
        else:
            server.silent = True
            server.fails.add(now, DOUBT)
            self.open(server, now)
        # The requests waiting there are taken back where another attempt can do no harm. So are those that
        # others overtake: they'd fill the room until their deadline, and the whole server would seem silent.
        for (number, attempt), sent in list(server.out.items()):
            request = self.requests.get(number)
            if (
                request
                and attempt in request.out
                and self.settings.may_cancel
                and request.request_class.repeat is not Repeat.NON_IDEMPOTENT
                and (
                    now < request.target_at
                    if server.silent
                    else server.heard > sent + patience and now > max(request.target_at, sent + 2 * patience)
                )
            ):
                self.doubt(server, request, now)
                self.host.cancel(number, attempt)


def mixed(value):
    """Spreads a number over 64 bits; crc32 alone would rank all servers alike for keys that differ alike."""
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & MASK
    return value ^ (value >> 31)
