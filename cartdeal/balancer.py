"""All of an agent's decisions: which server a request's attempt goes to, and when it is held or given up.

Each thing that happens is one method call on an agent's Balancer, with `host.now` set; it acts by host."""

from math import exp, inf, log
from zlib import crc32

from cartdeal.balancer_types import DecayingSum, DeduplicationScope, Idempotency, Outcome, ServerState
from cartdeal.routing_state import DECAY_S, RoutedRequest, Server
from cartdeal.watch_schedule import WatchSchedule

ROOM_CHECK = 0.05  # seconds between two looks for room; so long the answer to a probe holds
LEAST_DELAY = 0.002  # seconds to a timer
DEADLINE_MARGIN = 0.04  # seconds kept free for the answer
WINDOW_MARGIN = 0.05  # seconds before a window's end after which no repeat begins
LONGEST_CLASS_BACKOFF = 4.0  # seconds for which a class passes a server by
FAILBACK = 10.0  # seconds between checks of zones ranked higher
OPENING_FAILURES = 2.0  # fading, from which on a circuit may open
OPENING_SHARE = 0.3  # that failures must be of what ended
SHARED_LIMIT = 8.0  # in flight at a new server, by all agents together
SLOW_START_SHARE = 0.7  # of what rule 4 allows a cold server that is used
LEAST_LIMIT = 0.25  # limits under one mean pauses between single attempts
CUT_TO = 0.75  # of a limit that is left by a cut
QUICK = 0.15  # of the latency target, under which a limit grows
LATE = 0.25  # of the latency target, over which a limit is cut
VERY_LATE = 0.6  # of the latency target, over which a limit may fall under one
YIELD = 1.5  # times the mean in flight, from which on a server yields
HOLD = 0.3  # of the latency target for which a request may be held
POOL_YIELD = 1.2  # times the mean load, from which on a pool's server yields
POOL_LIMIT = 4.0  # least in flight at a pool's server, by all agents together
GROWTH = 0.125  # of a pool's limit, by a request of usual value
WEIGHT_FADES = 600.0  # seconds over which a live weight that was higher fades
CROWDED = 0.6  # seconds for which a report of a queue holds
TROUBLE = 0.08  # share missed at home from which on probes or other zones help
FEW_REQUESTS = 20.0  # a server over the span, under which an agent learns too late
PROBE_PATIENCE = 2.0  # times the usual time of a probe's answer
PROBE_WORTH = 8.0  # requests missed of which a probe saves one
OVERLOAD = 0.02  # share of requests given up unsent from which on nothing is sent again
HASHES = 1 << 64
HASH_MASK = HASHES - 1
NO_BACKOFF = (0, 0.0, 1.0)  # as in Server.class_backoffs


class Balancer:
    on_transition = staticmethod(lambda what, server, why: None)  # told of circuits and zones that change

    def __init__(self, host, settings):
        self.host, self.settings, self.is_pool_member, now = host, settings, settings.is_pool_member, host.now
        # Agents that each begin with a whole server's room for themselves jam it together at the start.
        self.initial_limit = max(LEAST_LIMIT, min(4.0, SHARED_LIMIT / settings.agent_count))
        self.least_limit = min(1.0, POOL_LIMIT / settings.agent_count)
        # By class: requests asked for and those served in time, time to answers and how many these were.
        self.class_statistics = [
            [DecayingSum(DECAY_S, now) for _ in range(4)] for _ in settings.request_classes
        ]
        self.draws, self.servers, self.requests, self.queued_requests, self.full_zones = 0, {}, {}, {}, set()
        self.zones = [[] for _ in range(settings.zone_count)]
        self.zone_order = sorted(range(settings.zone_count), key=self.zone_rank)
        self.zone_place, self.failback_at = 0, now + FAILBACK  # standing: place in the order of zones
        self.arrivals, self.priority = DecayingSum(DECAY_S, now), DecayingSum(DECAY_S, now)
        self.tenants, self.warm_send_rates = (
            {},
            {},
        )  # by zone: last known sends a second to a warm one, by weight
        # Judged by first quick answers alone, a zone that is only slow at the start seems silent and fails.
        late = LATE * max((kind.latency_target for kind in settings.request_classes), default=1.0)
        self.response_time, self.responses = DecayingSum(DECAY_S, now, late), DecayingSum(DECAY_S, now, 1.0)
        self.probe_time, self.probe_answers = (
            DecayingSum(DECAY_S, now),
            DecayingSum(DECAY_S, now),
        )  # time to answers of probes
        self.capacity_misses = DecayingSum(1.0, now)  # requests that found no room lately
        # Held requests, by whether room came, and those given up that never were sent.
        self.holds_met, self.holds_missed, self.given_up_unsent = (
            DecayingSum(2.0, now),
            DecayingSum(2.0, now),
            DecayingSum(DECAY_S, now),
        )
        # The share of the keys that cross; requests that ended, all and bad, at home and away.
        self.cross_zone_share, self.finished_requests = (
            0.0,
            [[DecayingSum(DECAY_S, now), DecayingSum(DECAY_S, now)] for _ in "ha"],
        )
        self.next_timer_at = inf
        self.watch = WatchSchedule(now, settings.poll_interval, is_active=not settings.polls_discovery)
        self.keep_watch(now)

    def zone_rank(self, zone):
        """The agent's own zone comes first, the others by a hash of the agent's number."""
        number, own_zone = self.settings.agent_number, self.settings.own_zone
        return zone != own_zone, mixed(crc32(b"%d/%d" % (number, zone))), zone

    def random_fraction(self):
        """A number from 0 to 1, by the agent's seed and how many were drawn before."""
        self.draws += 1
        return (crc32(b"%d/%d" % (self.settings.seed, self.draws)) + 0.5) / 4294967296

    def on_server_list(self, lines, fresh):
        now, news = self.host.now, False
        for line in lines:
            while line.zone >= len(self.zones):  # one that the settings don't name comes last of all
                self.zones, self.zone_order = [*self.zones, []], [*self.zone_order, len(self.zones)]
            server = self.servers.get(line.server_index)
            if server is None:
                if line.state is ServerState.GONE:
                    continue
                # What a pool's agents of a lost zone begin with at the next comes on top of its own agents'.
                away = line.zone != self.settings.own_zone
                first = self.least_limit if self.is_pool_member and away else self.initial_limit
                server = self.servers[line.server_index] = Server(line.server_index, first, now)
                server.name_hash = mixed(crc32(line.name))
            news |= server.state is not line.state or line.started_at > server.started_at
            if line.state is not ServerState.GONE:
                server.zone, server.cell = line.zone, line.cell
                self.update_weight(server, line.weight, now)
            if line.started_at > server.started_at:
                server.started_at = line.started_at
                server.restart(now)
                # Agents that all begin with a whole token would meet at the cold server in one burst.
                server.slow_start_tokens = self.random_fraction()
            server.state = line.state
            self.remove_if_gone(server)
        if fresh:
            self.watch.answered(now, news)
        for zone, members in enumerate(self.zones):
            members[:] = [s for s in self.servers.values() if s.state is ServerState.READY and s.zone == zone]
        self.check_zones(now)
        self.offer_room(now)

    def update_weight(self, server, weight, now):
        """What the list says, or the most that it said where what a server holds lowers it."""
        if not 1e-3 <= weight <= 1e6:  # also what is no number at all
            weight = server.weight
        elif self.settings.has_live_weights:
            # Taken as they come, such weights move the attempts of all agents to the same servers, and late.
            weight = max(weight, server.weight * exp((server.weight_updated_at - now) / WEIGHT_FADES))
        server.weight, server.weight_updated_at = weight, now

    def remove_if_gone(self, server):
        # Where servers are replaced all day, those gone would fill the memory; traces hold their own.
        if server.state is ServerState.GONE and not server.in_flight:
            del self.servers[server.index]

    def on_watch_failed(self, silent=False):
        """The watch ended or fell silent, or the call for one got no list."""
        self.watch.failed(self.host.now, silent, bool(self.servers), self.random_fraction())
        self.wake_by(self.watch.next_call_at)

    def on_discovery_moved(self):
        self.watch.moved(self.host.now)
        self.keep_watch(self.host.now)

    def keep_watch(self, now):
        # Without a watch, an agent is held to know what it never heard unless it has asked lately.
        if not self.watch.is_active:
            if now >= self.watch.next_call_at:
                self.host.watch()
                self.watch.called(now)
            self.wake_by(self.watch.next_call_at)

    def on_request(self, number, request_class, tenant, key, deadline, repeat):
        now, kind = self.host.now, self.settings.request_classes[request_class]
        self.arrivals.add(now)
        self.priority.add(now, kind.priority)
        value = (
            self.pool_priority_weight(request_class, kind.priority, now)
            if self.is_pool_member
            else kind.priority
        )
        # A repeat has spent part of its time at its first try: served first, it makes new ones late too.
        value *= self.tenant_factor(tenant, now) * (0.5 if repeat else 1.0)
        request = self.requests[number] = RoutedRequest(
            number,
            kind,
            key or int(self.random_fraction() * HASH_MASK),
            deadline,
            now,
            value,
            self.class_statistics[request_class],
        )
        self.route(request, now)

    def pool_priority_weight(self, request_class, value, now):
        """What a pool's request adds for the time that it takes; more in the class that is served worst."""
        asked, _, took, answers = self.class_statistics[request_class]
        asked.add(now)
        shares = [done.read(now) / max(all_.read(now), 0.1) for all_, done, _, _ in self.class_statistics]
        if shares[request_class] <= min(shares) + 0.02:
            value += self.settings.worst_class_weight * self.priority.amount / asked.amount
        usual = took.read(now) / max(answers.read(now), 0.1)
        return (
            value * self.response_time.read(now) / max(self.responses.read(now), 0.1) / usual
            if usual
            else value
        )

    def tenant_factor(self, tenant, now):
        if not self.settings.tenants:
            return 1.0
        seen = self.tenants.setdefault(tenant, DecayingSum(DECAY_S, now))
        seen.add(now)
        all_, share = sum(each.quota for each in self.settings.tenants), self.settings.tenants[tenant].quota
        beyond = 1.0 - 1.1 * share / max(all_, 1e-9) * self.arrivals.amount / seen.amount
        return self.settings.overage_priority_factor if self.random_fraction() < beyond else 1.0

    def route(self, request, now, further=False, last=False):
        """The ordinary path: the zone stood on, its top server by rendezvous; else another zone; or hold."""
        home, first = self.zone_order[self.zone_place], self.preferred_zone(request)
        server = self.select_server(self.zones[first], request, now)
        if server is None:
            self.capacity_misses.add(now)
            crossing = self.worth_crossing(request, now, further or last)
            for zone in self.zone_order:
                if server is None and zone != first and (zone == home or crossing) and self.zone_passes(zone):
                    server = self.select_server(self.zones[zone], request, now)
        unasked = server is not None and self.must_probe_first(server, now)
        if unasked and self.queue_request(request, now):
            self.probe_first(request, server, now)
        elif server is not None:
            self.send_attempt(request, server, now)
        elif request.number in self.queued_requests and now < request.queued_until:
            # While an asked server may still answer, what others have to offer comes too late to matter.
            request.next_attempt_at = request.queued_until if request.probed_servers else now
        elif last or not self.queue_request(request, now):
            self.give_up(request, now)

    def queue_request(self, request, now):
        if request.number not in self.queued_requests:
            # A client's late try can end sooner than the hold: the timer must find it in time to answer.
            longest = HOLD * request.request_class.latency_target
            request.queued_until = min(now + longest, request.deadline - DEADLINE_MARGIN)
        if now < request.queued_until:
            self.queued_requests[request.number] = request
            self.wake_by(min(max(request.next_attempt_at, now + ROOM_CHECK), request.queued_until))
        return now < request.queued_until

    def select_server(self, members, request, now):
        """The top server by weighted rendezvous that has room and isn't well over the mean in flight."""
        if members and members[0].zone in self.full_zones:
            return None  # nothing has ended since it was found full
        usable = self.usable_servers(members, request, now)
        if not usable or any(s.zone == usable[0].zone for s in request.probed_servers):
            return None
        if self.is_pool_member and self.is_at_limit(usable):
            self.full_zones.add(usable[0].zone)
            return None
        best, top, spare, like = None, -1.0, None, None
        size = sum([s.weight for s in usable])
        mean = YIELD * sum([len(s.in_flight) for s in usable]) / size
        even = (
            POOL_YIELD * sum([self.server_load(s, now) for s in usable]) / size
            if self.is_pool_member
            else inf
        )
        for s in usable:
            if not self.has_capacity(s, request, now):
                continue
            if self.is_in_slow_start(s, now):
                like = (
                    self.warm_send_rate(s.zone, now) if like is None else like
                )  # once a pick: all may be cold
                if not self.slow_start_allows(s, now, like):
                    continue
            score = s.weight / -log((mixed(request.key ^ s.name_hash) + 1) / HASHES)
            busy, load = len(s.in_flight), self.server_load(s, now)
            if busy >= 2 and busy + 1 > mean * s.weight or load > even * s.weight:
                if spare is None or load / s.weight < self.server_load(spare, now) / spare.weight:
                    spare = s
            elif score > top:
                best, top = s, score
        return best or spare

    def usable_servers(self, members, request, now):
        """Those whose circuit is closed or may be tried; all of the zone stood on where no zone passes."""
        safe = (
            request.request_class.idempotency is Idempotency.IDEMPOTENT
        )  # these try open circuits first, singly
        usable = [s for s in members if s.is_circuit_closed or self.may_try(s, safe, now)]
        standing = members is self.zones[self.zone_order[self.zone_place]]
        if not usable and standing and not any(map(self.zone_passes, self.zone_order)):
            return members
        return usable

    def may_try(self, server, safe, now):
        return server.is_half_open and not server.in_flight and (safe or now > server.retry_at)

    def has_capacity(self, server, request, now):
        """Whether the server's limit, pauses and group allow an attempt of the request there."""
        kind = request.request_class
        fills = len(server.in_flight) + len(server.abandoned_attempts)
        if fills >= max(1.0 + self.is_pool_member, server.concurrency_limit) or now < server.paused_until:
            return False
        if server in request.tried_servers or now < server.class_backoffs.get(kind, NO_BACKOFF)[1]:
            return False
        return self.is_attempt_safe(request, server, now)

    def is_at_limit(self, servers):
        """Whether a pool's agent has out all it may; those given up count until a later one is answered."""
        # Limits under one are kept over the zone: pauses at each server would leave it idle. Where all that
        # fills it was given up, one still goes out: a lost zone would be found out late, and left late.
        out = sum([len(s.in_flight) for s in servers])
        return out and out + sum([len(s.abandoned_attempts) for s in servers]) >= sum(
            [s.concurrency_limit for s in servers]
        )

    def server_load(self, server, now):
        """What a server has of this agent's requests: in flight or, in a pool, seconds of that lately."""
        # A pool's agent has one at most at a server at most moments, and a key that is dear to all would jam
        # its server unseen; but each meets a fair sample, and what each spreads evenly is even in all.
        if not self.is_pool_member:
            return len(server.in_flight)
        if (
            now > server.load_updated_at
        ):  # once a moment: a large zone's sums would cost more than its requests
            server.cached_load = server.flight_time.read(now) + sum(
                [now - sent for sent in server.in_flight.values()]
            )
            server.load_updated_at = now
        return server.cached_load

    def must_probe_first(self, server, now):
        # Among many agents a quiet one learns of full servers too late: in trouble, or new, it asks first.
        ended, bad = self.finished_requests[0]
        bad, ended = bad.read(now) + 0.05, ended.read(now)
        trouble = bad > TROUBLE * ended or self.capacity_misses.read(now) > 0.1
        # A probe is work at a server: where it is dear, hundreds of agents that ask lose more than they save.
        trouble = trouble and bad > (PROBE_WORTH * self.settings.probe_fee - TROUBLE) * ended
        few = self.arrivals.read(now) < FEW_REQUESTS * len(self.zones[server.zone])
        asks = trouble and few and self.settings.may_probe and self.settings.agent_count > len(self.servers)
        return asks and server.is_circuit_closed and now > server.probe_answered_at + ROOM_CHECK

    def probe_first(self, request, server, now):
        request.probed_servers.append(server)
        server.probe_waiters[request.number] = request
        if now > server.probe_sent_at + 1.0:
            server.probe_sent_at = now
            self.host.probe(server.index)
        request.next_attempt_at = now + max(
            0.01, PROBE_PATIENCE * self.probe_time.read(now) / max(self.probe_answers.read(now), 0.1)
        )
        self.wake_by(min(request.next_attempt_at, request.queued_until))

    def preferred_zone(self, request):
        """The zone stood on, but for the keys that it can't carry: all agents send such a key to one zone."""
        home, at = self.zone_order[self.zone_place], mixed(request.key ^ HASH_MASK) / HASH_MASK
        others = at < self.cross_zone_share and [
            z for z in range(len(self.zones)) if z != home and self.zone_passes(z)
        ]
        return others[int(at * 1e6) % len(others)] if others else home

    def record_result(self, request, bad, now):
        """Moves the share of keys that cross by its gain: what is missed at home, less away, less the fee."""
        away = (
            bool(request.tried_servers) and request.tried_servers[-1].zone != self.zone_order[self.zone_place]
        )
        for each, more in zip(self.finished_requests[away], (1.0, bad), strict=True):
            each.add(now, more)
        home, other = (bad.read(now) / max(ended.read(now), 0.5) for ended, bad in self.finished_requests)
        # What found room nowhere counts for neither: zones that are both full would swap their keys.
        moves = (
            request.tried_servers or not self.is_pool_member
        ) and home - other > self.settings.cross_zone_fee + TROUBLE
        self.cross_zone_share = min(0.9, max(0.0, self.cross_zone_share + (0.05 if moves else -0.02)))

    def worth_crossing(self, request, now, last):
        """Whether the next zone's chance, beyond what held requests lately had at home, is worth its fee."""
        met, missed = self.holds_met.read(now), self.holds_missed.read(now)
        gain = request.priority_weight * (1.0 if last else 1.0 - met / (met + missed + 0.1))
        return gain * self.arrivals.amount > self.settings.cross_zone_fee * self.priority.amount

    def is_in_slow_start(self, server, now):
        """Whether its start was lately; one that the list does not stamp started long ago."""
        return bool(server.started_at) and now - server.started_at < self.settings.slow_start_duration

    def slow_start_allows(self, server, now, like):
        """Whether a cold server's ramp allows one more: rule 4 holds if every agent keeps to its own ramp."""
        age = max(0.0, now - server.started_at)
        ramp = 1 - (1 - self.settings.slow_start_initial_share) * max(
            0.0, 1 - age / self.settings.slow_start_duration
        )
        rate = SLOW_START_SHARE * self.settings.overload_factor * ramp * server.weight * like
        # Counted in short spans: what was not used lately is no leave for a burst.
        most = max(1.0, rate * self.settings.overload_window / 4)
        server.slow_start_tokens, server.tokens_refilled_at = (
            min(most, server.slow_start_tokens + rate * (now - server.tokens_refilled_at)),
            now,
        )
        return server.slow_start_tokens >= 1.0

    def warm_send_rate(self, zone, now):
        warm = [s for s in self.zones[zone] if s.is_circuit_closed and not self.is_in_slow_start(s, now)]
        if warm:
            self.warm_send_rates[zone] = (
                sum(s.recent_sends.read(now) for s in warm) / DECAY_S / sum(s.weight for s in warm)
            )
        elif zone not in self.warm_send_rates:
            return self.arrivals.read(now) / DECAY_S / sum(s.weight for zone in self.zones for s in zone)
        return self.warm_send_rates[zone]

    def send_attempt(self, request, server, now):
        attempt, request.attempt_count = request.attempt_count, request.attempt_count + 1
        request.in_flight[attempt], request.possible_executions[attempt] = server, (server, now)
        request.tried_servers.append(server)
        request.probed_servers.clear()
        was_held = self.queued_requests.pop(request.number, None) is not None
        self.holds_met.add(now, was_held and self.zone_order[self.zone_place] == server.zone)
        server.last_response_at = server.last_response_at if server.in_flight else now
        server.in_flight[request.number, attempt] = now
        self.wake_by(now + self.patience(server, now))
        server.recent_sends.add(now)
        if request.request_class in server.class_backoffs:
            # One that passed it by tries it with one request at a time.
            self.back_off_class(server, request, now, 0)
        server.slow_start_tokens -= 1.0
        self.host.send_attempt(request.number, server.index, request.deadline)

    def is_attempt_safe(self, request, server, now):
        """Whether an attempt there could not cause a second effect."""
        kind = request.request_class
        if not request.possible_executions or kind.idempotency is Idempotency.IDEMPOTENT:
            return True
        if kind.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return all(
            now <= sent + kind.deduplication_window - WINDOW_MARGIN
            and self.in_same_scope(kind.deduplication_scope, past, server)
            for past, sent in request.possible_executions.values()
        )

    def in_same_scope(self, group, past, server):
        if group is DeduplicationScope.ALL:
            return True
        return past.zone == server.zone and (group is DeduplicationScope.ZONE or past.cell == server.cell)

    def give_up(self, request, now):
        kind = request.request_class
        safe = not request.possible_executions or kind.idempotency is Idempotency.IDEMPOTENT
        if (
            not safe
            and kind.idempotency is Idempotency.DEDUPLICATED
            and kind.deduplication_scope is DeduplicationScope.ALL
        ):
            safe = all(
                now < sent + kind.deduplication_window for _, sent in request.possible_executions.values()
            )
        if safe:
            wait = min(
                self.settings.max_retry_after, kind.latency_target * (0.2 + 0.3 * self.random_fraction())
            )
            self.host.reject(request.number, wait)
        else:
            self.host.fail(request.number)
        self.given_up_unsent.add(now, not request.tried_servers)
        self.record_result(self.remove_request(request.number), True, now)

    def remove_request(self, number):
        self.queued_requests.pop(number, None)
        return self.requests.pop(number, None)

    def on_client_disconnected(self, number):
        if number in self.requests:
            self.record_result(self.remove_request(number), True, self.host.now)

    def offer_room(self, now):
        """Offers room to held requests, the most important first."""
        misses, due = 0, [each for each in self.queued_requests.values() if now >= each.next_attempt_at]
        for request in sorted(due, key=lambda each: -each.priority_weight):
            if misses < 2:
                self.route(request, now)
                misses += request.number in self.queued_requests

    def on_attempt_ended(self, number, index, outcome, attempt, took, finished, load):
        now, server, completed = self.host.now, self.servers.get(index), outcome is Outcome.COMPLETED
        # After a restart an outcome may come of an attempt, at a server, that this agent knows nothing of.
        sent = server and server.in_flight.pop((number, attempt), None)
        if sent is None:
            return
        self.full_zones.clear()
        if self.is_pool_member and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            server.abandoned_attempts.append(sent)
        elif completed:
            server.abandoned_attempts = [each for each in server.abandoned_attempts if each > sent]
        request = self.requests.get(number)
        server.flight_time.add(now, took)
        self.note_load(server, load, now)
        self.learn(server, outcome, took, request, now)
        self.remove_if_gone(server)
        if request is not None:
            request.in_flight.pop(attempt, None)
            if outcome.never_ran:
                request.possible_executions.pop(attempt, None)
            if finished:
                self.record_result(
                    self.remove_request(number), not (completed and now <= request.latency_target_at), now
                )
            elif not request.in_flight:
                self.retry_or_give_up(request, now)
        self.offer_room(now)

    def retry_or_give_up(self, request, now):
        """An attempt ended without an answer: up to two further ones, none under overload."""
        over = (
            request.possible_executions
            and self.given_up_unsent.read(now) > 2 + OVERLOAD * self.arrivals.amount
        )
        more = request.attempt_count < min(3, self.settings.max_attempts) and now < request.latency_target_at
        others = (s for zone in self.zones for s in zone if s not in request.tried_servers)
        if more and not over and any(self.is_attempt_safe(request, s, now) for s in others):
            self.route(request, now, further=True)
        else:
            self.give_up(request, now)

    def learn(self, server, outcome, took, request, now):
        if outcome in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.UNUSABLE):
            return
        goal = request.request_class.latency_target if request else took * 2
        if outcome is Outcome.COMPLETED:
            server.last_response_at = now
            server.class_backoffs.pop(request and request.request_class, None)
            server.completions.add(now)
            server.response_time += 0.2 * (took - server.response_time) if server.response_time else took
            self.response_time.add(now, took)
            self.responses.add(now)
            if request:
                for each, more in zip(
                    request.class_statistics[1:], (now <= request.latency_target_at, took, 1.0), strict=True
                ):
                    each.add(now, more)
            if server.is_silent or server.is_half_open and server.completions.amount > 1.5:
                if not server.is_circuit_closed:
                    self.on_transition("circuit closed", server, "answered")
                server.is_circuit_closed, server.is_silent, server.is_half_open = True, False, False
                server.failures = DecayingSum(DECAY_S, now)
            if server.concurrency_limit < 1.0 and not self.is_pool_member:
                # One from each of many agents can be too much for a server: take turns with the others.
                server.paused_until = now + server.response_time * (1.0 / server.concurrency_limit - 1.0)
            if took < QUICK * goal and self.is_pool_member:
                worth = (
                    request.priority_weight * self.arrivals.amount / self.priority.amount
                )  # others need room, too
                if now > server.overloaded_until:
                    server.concurrency_limit += min(
                        1.0 / server.concurrency_limit, server.concurrency_limit * GROWTH * min(2.0, worth)
                    )
            elif took < QUICK * goal and len(server.in_flight) + 1 > 0.7 * server.concurrency_limit:
                server.concurrency_limit += min(1.0 / server.concurrency_limit, server.concurrency_limit / 4)
            elif took > LATE * goal and request:
                self.cut_limit(server, now, LEAST_LIMIT if took > VERY_LATE * goal else 1.0)
        elif outcome is Outcome.FULL:
            self.cut_limit(server, now, LEAST_LIMIT)
            # One that refuses at once always looks idle, and would draw ever more attempts.
            server.paused_until = now + max(0.1, server.response_time) / min(1.0, server.concurrency_limit)
        else:
            server.failures.add(now)
            if request and not outcome.never_ran:
                self.back_off_class(server, request, now)
            if outcome is Outcome.TIMED_OUT:
                self.cut_limit(server, now)
            failures = server.failures.amount
            often = failures > OPENING_SHARE * (failures + server.completions.read(now))
            if server.is_half_open or failures >= OPENING_FAILURES * 0.95 and often:
                self.open_circuit(server, now)

    def back_off_class(self, server, request, now, failed=1):
        """A server may fail with one class alone, which then passes it by; the circuit is for them all."""
        row, until, span = server.class_backoffs.get(request.request_class, NO_BACKOFF)
        if row + failed > 2 and now >= until:
            until, span = now + span, min(LONGEST_CLASS_BACKOFF, span * 2)
        server.class_backoffs[request.request_class] = row + failed, until, span

    def cut_limit(self, server, now, least=1.0):
        if now >= server.next_limit_cut_at:
            server.concurrency_limit = max(
                min(server.concurrency_limit, self.least_limit if self.is_pool_member else least),
                server.concurrency_limit * CUT_TO,
            )
            server.next_limit_cut_at = now + max(0.1, server.response_time)

    def open_circuit(self, server, now):
        if server.is_circuit_closed or server.is_half_open:
            if server.is_circuit_closed:
                self.on_transition("circuit opened", server, "silent" if server.is_silent else "failures")
            server.backoff = 0.5 if server.is_circuit_closed else server.backoff
            server.is_circuit_closed = server.is_half_open = False
            self.delay_retry(server, now)
            self.check_zones(now)

    def delay_retry(self, server, now):
        server.backoff = min(8.0, server.backoff * 2)
        server.retry_at = now + server.backoff * (0.75 + 0.5 * self.random_fraction())
        self.wake_by(server.retry_at)

    def on_probe_ended(self, index, outcome, took, load):
        now, server, answered = self.host.now, self.servers.get(index), outcome is Outcome.COMPLETED
        if server is None:
            return
        askers, server.probe_waiters, server.probe_sent_at = server.probe_waiters, {}, -inf
        if answered and server.is_circuit_closed:
            self.probe_time.add(now, took)
            self.probe_answers.add(now)
            server.probe_answered_at = now
            self.note_load(server, load, now)
        elif answered:
            server.is_half_open, server.completions, server.failures = (
                True,
                DecayingSum(DECAY_S, now),
                DecayingSum(DECAY_S, now),
            )
            server.retry_at = now + 1.0
        elif not server.is_circuit_closed:
            self.delay_retry(server, now)
        for request in sorted(askers.values(), key=lambda each: -each.priority_weight):
            if request.number in self.queued_requests and server in request.probed_servers:
                request.probed_servers.remove(server)
                ready = answered and server.is_circuit_closed and server.state is ServerState.READY
                if ready and self.select_server([server], request, now):
                    self.send_attempt(request, server, now)
                else:
                    request.probed_servers.append(server)  # else a jammed fleet is asked over and over
                    self.route(request, now)

    def note_load(self, server, load, now):
        """Where requests wait beyond what a server works on, it is late, however quick its answer was."""
        # A report is old when it comes: it may say that there was a crowd, never that there is room.
        if load and load.queue_length and now > server.overloaded_until:
            server.overloaded_until = now + CROWDED
            self.cut_limit(server, now)

    def zone_passes(self, zone):
        members = self.zones[zone]
        return bool(members) and 2 * sum([s.is_circuit_closed or s.is_half_open for s in members]) >= len(
            members
        )

    def check_zones(self, now):
        """Failover: away from a zone that fails, to the next that passes; none passing, stay."""
        if not self.zone_passes(self.zone_order[self.zone_place]):
            self.choose_zone(now)

    def choose_zone(self, now):
        before = self.zone_place
        self.zone_place = next(
            (p for p, zone in enumerate(self.zone_order) if self.zone_passes(zone)), before
        )
        if self.zone_place != before:
            self.on_transition("zone changed", None, f"from place {before} to {self.zone_place}")
        self.failback_at = now + FAILBACK
        self.wake_by(self.failback_at)

    def wake_by(self, at):
        # Timers only for what is due: agents that look round all the time cost more than their requests do.
        # Never at once: each of several timers of one moment would find the next due again, and set two more.
        at = max(at, self.host.now + LEAST_DELAY)
        if at < self.next_timer_at:
            self.next_timer_at = at
            self.host.set_timer(0, at - self.host.now)

    def on_timer(self, token):
        now = self.host.now
        if now < self.next_timer_at - 1e-5:
            return  # set before an earlier one was
        self.next_timer_at = inf
        self.keep_watch(now)
        if self.zone_place:
            if now >= self.failback_at:
                self.choose_zone(now)
            self.wake_by(self.failback_at)
        for server in self.servers.values():
            if server.in_flight and server.is_circuit_closed:
                self.check_silence(server, now)
            if server.abandoned_attempts and server.abandoned_attempts[0] < now - DECAY_S:
                del server.abandoned_attempts[0]
            if not server.is_circuit_closed and not server.is_half_open and server.state is ServerState.READY:
                if now >= server.retry_at:
                    server.retry_at, server.is_half_open = now + 2.0, not self.settings.may_probe
                    if self.settings.may_probe:
                        self.host.probe(server.index)
                self.wake_by(server.retry_at)
        for request in [each for each in self.queued_requests.values() if now >= each.queued_until]:
            self.holds_missed.add(now)
            self.route(request, now, last=True)
        self.offer_room(now)
        for request in self.queued_requests.values():
            self.queue_request(request, now)

    def patience(self, server, now):
        usual = max(
            server.response_time, self.response_time.read(now) / max(self.responses.read(now), 0.1)
        )  # slow is not silent
        return max(0.25, usual * (4.0 if len(server.in_flight) < 3 else 2.5)) if usual else inf

    def check_silence(self, server, now):
        """A server that has gone silent is left before its attempts end."""
        patience = self.patience(server, now)
        due = max(next(iter(server.in_flight.values())), server.last_response_at) + patience
        if now < due:
            self.wake_by(due)
        else:
            server.is_silent = True
            server.failures.add(now, OPENING_FAILURES)
            self.open_circuit(server, now)
        # The requests waiting there are taken back where another attempt can do no harm. So are those that
        # others overtake: they'd fill the room until their deadline, and the whole server would seem silent.
        for (number, attempt), sent in list(server.in_flight.items()):
            request = self.requests.get(number)
            if not request or attempt not in request.in_flight or not self.settings.may_cancel:
                continue
            if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
                continue
            overtaken = server.last_response_at > sent + patience
            overdue = now > max(request.latency_target_at, sent + 2 * patience)
            if now < request.latency_target_at if server.is_silent else overtaken and overdue:
                self.back_off_class(server, request, now)
                self.host.cancel(number, attempt)


def mixed(value):
    """Spreads a number over 64 bits; crc32 alone would rank all servers alike for keys that differ alike."""
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & HASH_MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & HASH_MASK
    return value ^ (value >> 31)
