"""The balancer's decisions: which server takes an attempt, and when a request is queued or given up.

The agent reports each event by one method call on its `Balancer`, with `host.now` set to the event's time.
The balancer acts through its `Host` alone. Times are in seconds.
"""

from math import exp, inf, log
from zlib import crc32

from cartdeal.balancer_types import DecayingSum, DeduplicationScope, Idempotency, Outcome, ServerState
from cartdeal.routing_state import DECAY_S, RoutedRequest, Server
from cartdeal.watch_schedule import WatchSchedule

# Between two checks whether a queued request finds capacity. The response to a probe is valid for as long.
CAPACITY_CHECK_INTERVAL_S = 0.05
MIN_TIMER_DELAY_S = 0.002
DEADLINE_MARGIN_S = 0.04  # reserved for delivering the answer to the client
DEDUPLICATION_WINDOW_MARGIN_S = 0.05  # no repeat is sent this close to the end of the window
MAX_CLASS_BACKOFF_S = 4.0  # longest time for which a request class avoids a server
FAILBACK_INTERVAL_S = 10.0  # between checks of the zones that are preferred to the current one
MIN_FAILURES_TO_OPEN = 2.0  # decaying count of failures from which a circuit may open
MIN_FAILURE_SHARE_TO_OPEN = 0.3  # of the attempts that ended
INITIAL_SHARED_LIMIT = 8.0  # attempts in flight at a new server, summed over all agents
SLOW_START_SHARE = 0.7  # of the load above which a server in slow start is overloaded
MIN_CONCURRENCY_LIMIT = 0.25  # a limit below 1 means pauses between single attempts
LIMIT_DECREASE_FACTOR = 0.75
FAST_RESPONSE_RATIO = 0.15  # of the latency target; a faster response raises the concurrency limit
SLOW_RESPONSE_RATIO = 0.25  # of the latency target; a slower response cuts the concurrency limit
VERY_SLOW_RESPONSE_RATIO = 0.6  # of the latency target; a slower response may cut the limit below 1
MAX_IN_FLIGHT_RATIO = 1.5  # of the mean in flight; a server above it is only a fallback
MAX_QUEUE_TIME_RATIO = 0.3  # of the latency target
MAX_POOL_LOAD_RATIO = 1.2  # of the mean load in a pool; a server above it is only a fallback
MIN_SHARED_POOL_LIMIT = 4.0  # attempts in flight at a server, summed over all agents of a pool
POOL_LIMIT_GROWTH_FACTOR = 0.125  # relative growth per fast response to a request of average priority weight
# Time constant with which a higher weight decays where load lowers the listed weights (`has_live_weights`).
LIVE_WEIGHT_DECAY_S = 600.0
OVERLOAD_REPORT_TTL_S = 0.6  # how long a server counts as overloaded after it reported queued requests
# Share of the finished requests in the current zone that were not served within their latency target. Above
# it probes and other zones are used.
MIN_MISS_SHARE = 0.08
MIN_REQUESTS_PER_SERVER = 20.0  # within DECAY_S; an agent with fewer learns of overload too late
PROBE_TIMEOUT_FACTOR = 2.0  # of the mean response time of a probe
MISSES_PER_USEFUL_PROBE = 8.0  # probing before every request saves one in this many missed ones
# Share of requests given up before any attempt. Above it, a request that may have run is not retried.
MAX_UNSENT_SHARE = 0.02
HASH_COUNT = 1 << 64
HASH_MASK = HASH_COUNT - 1
# (failures in a row, end of the backoff, next backoff in seconds), as in Server.class_backoffs
NO_CLASS_BACKOFF = (0, 0.0, 1.0)


class Balancer:
    """Routes one agent's requests to servers; the methods named `on_...` are its events."""

    # Called when a circuit or the current zone changes; `server` is None for a zone.
    on_transition = staticmethod(lambda event, server, reason: None)

    def __init__(self, host, settings):
        self.host, self.settings, self.is_pool_member, now = host, settings, settings.is_pool_member, host.now
        # Agents that each start with the limit of a whole server overload it together.
        self.initial_limit = max(MIN_CONCURRENCY_LIMIT, min(4.0, INITIAL_SHARED_LIMIT / settings.agent_count))
        self.min_pool_limit = min(1.0, MIN_SHARED_POOL_LIMIT / settings.agent_count)
        # By request class: requests, requests served in time, sum of response times, number of responses.
        self.class_statistics = [
            [DecayingSum(DECAY_S, now) for _ in range(4)] for _ in settings.request_classes
        ]
        self.draws, self.servers, self.requests, self.queued_requests, self.full_zones = 0, {}, {}, {}, set()
        self.zones = [[] for _ in range(settings.zone_count)]
        self.zone_order = sorted(range(settings.zone_count), key=self.zone_rank)
        # The rank of the current zone is an index into `zone_order`.
        self.current_zone_rank, self.failback_at = 0, now + FAILBACK_INTERVAL_S
        self.arrivals, self.priority_sum = DecayingSum(DECAY_S, now), DecayingSum(DECAY_S, now)
        # Decaying count of arrivals, by tenant. By zone: the last known sends per second to a server outside
        # slow start, per unit of weight.
        self.arrivals_by_tenant, self.warm_send_rates = {}, {}
        # Without this initial value, a zone that is merely slow at the start would count as silent after the
        # first fast responses, and the agent would leave it.
        initial_response_time = SLOW_RESPONSE_RATIO * max(
            (each.latency_target for each in settings.request_classes), default=1.0
        )
        self.response_time_sum, self.response_count = (
            DecayingSum(DECAY_S, now, initial_response_time),
            DecayingSum(DECAY_S, now, 1.0),
        )
        # The sum of the response times of probes, and their number.
        self.probe_time_sum, self.probe_response_count = DecayingSum(DECAY_S, now), DecayingSum(DECAY_S, now)
        self.no_capacity_events = DecayingSum(1.0, now)  # requests that recently found no capacity
        # Queued requests that got capacity and that did not, and requests given up before any attempt.
        self.queue_successes, self.queue_timeouts, self.given_up_unsent = (
            DecayingSum(2.0, now),
            DecayingSum(2.0, now),
            DecayingSum(DECAY_S, now),
        )
        # The share of keys routed to another zone. Finished requests as [all, missed]: at index 0 for the
        # current zone, at index 1 for other zones.
        self.cross_zone_share, self.finished_requests = (
            0.0,
            [[DecayingSum(DECAY_S, now), DecayingSum(DECAY_S, now)] for _ in "ha"],
        )
        self.next_timer_at = inf
        self.watch = WatchSchedule(now, settings.poll_interval, is_active=not settings.polls_discovery)
        self.renew_watch(now)

    def zone_rank(self, zone):
        """Sort key of a zone: the agent's own zone first, then by a hash of the agent's number."""
        number, own_zone = self.settings.agent_number, self.settings.own_zone
        return zone != own_zone, mix_bits(crc32(b"%d/%d" % (number, zone))), zone

    def random_fraction(self):
        """A number between 0 and 1, derived from the agent's seed and the count of earlier draws."""
        self.draws += 1
        return (crc32(b"%d/%d" % (self.settings.seed, self.draws)) + 0.5) / 4294967296

    def on_server_list(self, lines, is_current_watch):
        """Applies lines of the server list; `is_current_watch`: they came from the current watch."""
        now, changed = self.host.now, False
        for line in lines:
            while line.zone >= len(self.zones):  # a zone that the settings do not name is ordered last
                self.zones, self.zone_order = [*self.zones, []], [*self.zone_order, len(self.zones)]
            server = self.servers.get(line.server_index)
            if server is None:
                if line.state is ServerState.GONE:
                    continue
                # In another zone, an agent of a pool starts with a lower limit: after a failover its attempts
                # come on top of those of that zone's own agents.
                is_other_zone = line.zone != self.settings.own_zone
                limit = self.min_pool_limit if self.is_pool_member and is_other_zone else self.initial_limit
                server = self.servers[line.server_index] = Server(line.server_index, limit, now)
                server.name_hash = mix_bits(crc32(line.name))
            changed |= server.state is not line.state or line.started_at > server.started_at
            if line.state is not ServerState.GONE:
                server.zone, server.cell = line.zone, line.cell
                self.update_weight(server, line.weight, now)
            if line.started_at > server.started_at:
                server.started_at = line.started_at
                server.restart(now)
                # If all agents started with a whole token, they would send to the new server in one burst.
                server.slow_start_tokens = self.random_fraction()
            server.state = line.state
            self.remove_if_gone(server)
        if is_current_watch:
            self.watch.answered(now, changed)
        for zone, members in enumerate(self.zones):
            members[:] = [s for s in self.servers.values() if s.state is ServerState.READY and s.zone == zone]
        self.check_zones(now)
        self.route_queued_requests(now)

    def update_weight(self, server, weight, now):
        """Sets the listed weight; a live weight, which load lowers, decays from its highest value instead."""
        if not 1e-3 <= weight <= 1e6:  # false for NaN too
            weight = server.weight
        elif self.settings.has_live_weights:
            # Without smoothing, the attempts of all agents would move to the same servers, and only after
            # those servers' load had changed.
            weight = max(weight, server.weight * exp((server.weight_updated_at - now) / LIVE_WEIGHT_DECAY_S))
        server.weight, server.weight_updated_at = weight, now

    def remove_if_gone(self, server):
        """Removes a server that has left the list once none of its attempts is in flight.

        Without this, memory grows where servers are replaced continually. `possible_executions` keeps its own
        references.
        """
        if server.state is ServerState.GONE and not server.in_flight:
            del self.servers[server.index]

    def on_watch_failed(self, is_silent=False):
        """The watch ended or, if `is_silent`, sent nothing for too long; or a call got no list."""
        self.watch.failed(self.host.now, is_silent, bool(self.servers), self.random_fraction())
        self.set_timer_by(self.watch.next_call_at)

    def on_discovery_moved(self):
        """The discovery service has a new address."""
        self.watch.moved(self.host.now)
        self.renew_watch(self.host.now)

    def renew_watch(self, now):
        """Calls the discovery service if no watch is active and the call is due.

        An agent counts as informed of a change some seconds after it was made, whether or not it received the
        change, so an agent without a watch must call soon.
        """
        if not self.watch.is_active:
            if now >= self.watch.next_call_at:
                self.host.watch()
                self.watch.called(now)
            self.set_timer_by(self.watch.next_call_at)

    def on_request(self, number, class_index, tenant, key, deadline, is_retry):
        """A request arrived.

        `key`: the hash that ranks the servers, 0 for a random one. `is_retry`: the client has sent the
        request before.
        """
        now, request_class = self.host.now, self.settings.request_classes[class_index]
        self.arrivals.add(now)
        self.priority_sum.add(now, request_class.priority)
        priority_weight = (
            self.pool_priority_weight(class_index, request_class.priority, now)
            if self.is_pool_member
            else request_class.priority
        )
        # A retry has used part of its time already. If retries were served first, new requests would be late
        # too.
        priority_weight *= self.tenant_factor(tenant, now) * (0.5 if is_retry else 1.0)
        request = self.requests[number] = RoutedRequest(
            number,
            request_class,
            key or int(self.random_fraction() * HASH_MASK),
            deadline,
            now,
            priority_weight,
            self.class_statistics[class_index],
        )
        self.route(request, now)

    def pool_priority_weight(self, class_index, priority_weight, now):
        """The priority weight divided by the class's mean response time relative to that of all requests.

        It is raised for the request class with the lowest share of requests served in time.
        """
        arrivals, _, response_time, responses = self.class_statistics[class_index]
        arrivals.add(now)
        shares = [served.read(now) / max(all_.read(now), 0.1) for all_, served, _, _ in self.class_statistics]
        if shares[class_index] <= min(shares) + 0.02:
            priority_weight += self.settings.worst_class_weight * self.priority_sum.amount / arrivals.amount
        mean = response_time.read(now) / max(responses.read(now), 0.1)
        return (
            priority_weight
            * self.response_time_sum.read(now)
            / max(self.response_count.read(now), 0.1)
            / mean
            if mean
            else priority_weight
        )

    def tenant_factor(self, tenant, now):
        """The factor of a request's priority weight that depends on its tenant's quota.

        `overage_priority_factor` for a random part of the tenant's requests, as large as their excess over
        the tenant's share of all quotas; 1 for the others.
        """
        if not self.settings.tenants:
            return 1.0
        arrivals = self.arrivals_by_tenant.setdefault(tenant, DecayingSum(DECAY_S, now))
        arrivals.add(now)
        all_, quota = sum(each.quota for each in self.settings.tenants), self.settings.tenants[tenant].quota
        # A tenant may exceed its share by a tenth.
        overage = 1.0 - 1.1 * quota / max(all_, 1e-9) * self.arrivals.amount / arrivals.amount
        return self.settings.overage_priority_factor if self.random_fraction() < overage else 1.0

    def route(self, request, now, has_failed_attempt=False, is_final=False):
        """Sends an attempt to the preferred zone or, failing that, to another zone; else queues the request.

        `has_failed_attempt`: an earlier attempt failed. `is_final`: the request is given up if no
        server has capacity.
        """
        current_zone, preferred = self.zone_order[self.current_zone_rank], self.preferred_zone(request)
        server = self.select_server(self.zones[preferred], request, now)
        if server is None:
            self.no_capacity_events.add(now)
            may_cross = self.is_crossing_worthwhile(request, now, has_failed_attempt or is_final)
            for zone in self.zone_order:
                if (
                    server is None
                    and zone != preferred
                    and (zone == current_zone or may_cross)
                    and self.is_zone_healthy(zone)
                ):
                    server = self.select_server(self.zones[zone], request, now)
        needs_probe = server is not None and self.must_probe_first(server, now)
        if needs_probe and self.queue_request(request, now):
            self.probe_first(request, server, now)
        elif server is not None:
            self.send_attempt(request, server, now)
        elif request.number in self.queued_requests and now < request.queued_until:
            # A request that waits for a probe is routed again when the probe ends or the queue time is over:
            # capacity found at another server in between comes too late to matter.
            request.next_attempt_at = request.queued_until if request.probed_servers else now
        elif is_final or not self.queue_request(request, now):
            self.give_up(request, now)

    def queue_request(self, request, now):
        """Queues the request until a server has capacity; False if its queue time is over."""
        if request.number not in self.queued_requests:
            # A request that is retried late may have less time left than the queue time: it must be given up
            # in time for the answer to reach the client.
            max_queue_time = MAX_QUEUE_TIME_RATIO * request.request_class.latency_target
            request.queued_until = min(now + max_queue_time, request.deadline - DEADLINE_MARGIN_S)
        if now < request.queued_until:
            self.queued_requests[request.number] = request
            self.set_timer_by(
                min(max(request.next_attempt_at, now + CAPACITY_CHECK_INTERVAL_S), request.queued_until)
            )
        return now < request.queued_until

    def select_server(self, members, request, now):
        """The server ranked first by weighted rendezvous hashing among those with capacity.

        A server well above the mean load is taken only if there is no other one. None if no server has
        capacity.
        """
        if members and members[0].zone in self.full_zones:
            return None  # the zone was full, and no attempt has ended since then
        usable = self.usable_servers(members, request, now)
        if not usable or any(s.zone == usable[0].zone for s in request.probed_servers):
            return None
        if self.is_pool_member and self.is_at_limit(usable):
            self.full_zones.add(usable[0].zone)
            return None
        best, best_score, fallback, warm_rate = None, -1.0, None, None
        total_weight = sum([s.weight for s in usable])
        max_in_flight = MAX_IN_FLIGHT_RATIO * sum([len(s.in_flight) for s in usable]) / total_weight
        max_load = (
            MAX_POOL_LOAD_RATIO * sum([self.server_load(s, now) for s in usable]) / total_weight
            if self.is_pool_member
            else inf
        )
        for s in usable:
            if not self.has_capacity(s, request, now):
                continue
            if self.is_in_slow_start(s, now):
                # Computed once per selection: all servers may be in slow start.
                warm_rate = self.warm_send_rate(s.zone, now) if warm_rate is None else warm_rate
                if not self.slow_start_allows(s, now, warm_rate):
                    continue
            score = s.weight / -log((mix_bits(request.key ^ s.name_hash) + 1) / HASH_COUNT)
            in_flight, load = len(s.in_flight), self.server_load(s, now)
            if in_flight >= 2 and in_flight + 1 > max_in_flight * s.weight or load > max_load * s.weight:
                if fallback is None or load / s.weight < self.server_load(fallback, now) / fallback.weight:
                    fallback = s
            elif score > best_score:
                best, best_score = s, score
        return best or fallback

    def usable_servers(self, members, request, now):
        """The servers whose circuit is closed or may be tried.

        All servers of the current zone if none of them is usable and no zone is healthy.
        """
        # Idempotent requests are the first to try a half-open circuit, one at a time.
        is_idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
        usable = [s for s in members if s.is_circuit_closed or self.may_try(s, is_idempotent, now)]
        is_current = members is self.zones[self.zone_order[self.current_zone_rank]]
        if not usable and is_current and not any(map(self.is_zone_healthy, self.zone_order)):
            return members
        return usable

    def may_try(self, server, is_idempotent, now):
        """Whether an attempt may try the server's half-open circuit."""
        return server.is_half_open and not server.in_flight and (is_idempotent or now > server.retry_at)

    def has_capacity(self, server, request, now):
        """Whether the server's limit, pauses and deduplication scope allow an attempt of the request."""
        request_class = request.request_class
        occupied = len(server.in_flight) + len(server.abandoned_attempts)
        if occupied >= max(1.0 + self.is_pool_member, server.concurrency_limit) or now < server.paused_until:
            return False
        if (
            server in request.tried_servers
            or now < server.class_backoffs.get(request_class, NO_CLASS_BACKOFF)[1]
        ):
            return False
        return self.is_attempt_safe(request, server, now)

    def is_at_limit(self, servers):
        """Whether the attempts of a pool's agent in a zone reach the sum of its servers' limits.

        An abandoned attempt counts until a later one at its server is answered.
        """
        # Limits below 1 apply to the zone as a whole: pauses at each server would leave the zone idle. If all
        # attempts are abandoned, one more may still be sent: otherwise a lost zone is detected and left late.
        in_flight = sum([len(s.in_flight) for s in servers])
        return in_flight and in_flight + sum([len(s.abandoned_attempts) for s in servers]) >= sum(
            [s.concurrency_limit for s in servers]
        )

    def server_load(self, server, now):
        """This agent's load on a server: attempts in flight or, in a pool, the recent seconds in flight."""
        # An agent of a pool mostly has at most one attempt at a server, so a key that is popular with all
        # agents would overload its server unnoticed. But each agent gets a random sample of the requests: if
        # every agent balances its own load over the servers, the total load is balanced too.
        if not self.is_pool_member:
            return len(server.in_flight)
        # Computed once per time of an event: the sums over a large zone would cost more than its requests.
        if now > server.load_updated_at:
            server.cached_load = server.flight_time.read(now) + sum(
                [now - sent for sent in server.in_flight.values()]
            )
            server.load_updated_at = now
        return server.cached_load

    def must_probe_first(self, server, now):
        """Whether the server is probed before an attempt is sent to it.

        Among many agents, one with few requests learns of overloaded servers too late. It probes first if
        requests were missed or found no capacity, and while it has recently finished no request.
        """
        finished, missed = self.finished_requests[0]
        # The 0.05 makes an agent without finished requests probe.
        missed, finished = missed.read(now) + 0.05, finished.read(now)
        is_overloaded = missed > MIN_MISS_SHARE * finished or self.no_capacity_events.read(now) > 0.1
        # A probe is work for a server: if it is expensive, hundreds of probing agents cost more than they
        # save.
        is_overloaded = (
            is_overloaded
            and missed > (MISSES_PER_USEFUL_PROBE * self.settings.probe_fee - MIN_MISS_SHARE) * finished
        )
        has_few_requests = self.arrivals.read(now) < MIN_REQUESTS_PER_SERVER * len(self.zones[server.zone])
        may_probe = (
            is_overloaded
            and has_few_requests
            and self.settings.may_probe
            and self.settings.agent_count > len(self.servers)
        )
        return (
            may_probe
            and server.is_circuit_closed
            and now > server.probe_answered_at + CAPACITY_CHECK_INTERVAL_S
        )

    def probe_first(self, request, server, now):
        """Has the request wait for the response to a probe of the server.

        Sends the probe, unless one sent within the last second is unanswered.
        """
        request.probed_servers.append(server)
        server.probe_waiters[request.number] = request
        if now > server.probe_sent_at + 1.0:
            server.probe_sent_at = now
            self.host.probe(server.index)
        request.next_attempt_at = now + max(
            0.01,
            PROBE_TIMEOUT_FACTOR
            * self.probe_time_sum.read(now)
            / max(self.probe_response_count.read(now), 0.1),
        )
        self.set_timer_by(min(request.next_attempt_at, request.queued_until))

    def preferred_zone(self, request):
        """The current zone, or another one for the share of keys that it cannot serve.

        All agents send such a key to the same zone.
        """
        current_zone, position = (
            self.zone_order[self.current_zone_rank],
            mix_bits(request.key ^ HASH_MASK) / HASH_MASK,
        )
        others = position < self.cross_zone_share and [
            z for z in range(len(self.zones)) if z != current_zone and self.is_zone_healthy(z)
        ]
        return others[int(position * 1e6) % len(others)] if others else current_zone

    def record_result(self, request, missed, now):
        """Records a finished request and adjusts the share of keys that are routed to another zone.

        The share grows while the share of missed requests in the current zone exceeds that in the other zones
        by more than the cross-zone fee plus MIN_MISS_SHARE.
        """
        is_other_zone = (
            bool(request.tried_servers)
            and request.tried_servers[-1].zone != self.zone_order[self.current_zone_rank]
        )
        for each, amount in zip(self.finished_requests[is_other_zone], (1.0, missed), strict=True):
            each.add(now, amount)
        current_share, other_share = (
            missed.read(now) / max(finished.read(now), 0.5) for finished, missed in self.finished_requests
        )
        # A request that found no capacity anywhere is ignored: otherwise two full zones would route their
        # keys to each other.
        grows = (
            request.tried_servers or not self.is_pool_member
        ) and current_share - other_share > self.settings.cross_zone_fee + MIN_MISS_SHARE
        self.cross_zone_share = min(0.9, max(0.0, self.cross_zone_share + (0.05 if grows else -0.02)))

    def is_crossing_worthwhile(self, request, now, is_undiscounted):
        """Whether the gain of an attempt in another zone exceeds the cross-zone fee.

        The gain is discounted by the share of queued requests that recently got capacity in the current
        zone, unless `is_undiscounted`.
        """
        successes, timeouts = self.queue_successes.read(now), self.queue_timeouts.read(now)
        gain = request.priority_weight * (
            1.0 if is_undiscounted else 1.0 - successes / (successes + timeouts + 0.1)
        )
        return gain * self.arrivals.amount > self.settings.cross_zone_fee * self.priority_sum.amount

    def is_in_slow_start(self, server, now):
        """Whether the server started recently; one without a start time in the list started long ago."""
        return bool(server.started_at) and now - server.started_at < self.settings.slow_start_duration

    def slow_start_allows(self, server, now, warm_rate):
        """Whether the slow start of a server allows one more attempt.

        The agents together do not overload a server in slow start if each keeps to its own token bucket.
        `warm_rate`: sends per second and unit of weight to a server outside slow start.
        """
        age = max(0.0, now - server.started_at)
        share = 1 - (1 - self.settings.slow_start_initial_share) * max(
            0.0, 1 - age / self.settings.slow_start_duration
        )
        rate = SLOW_START_SHARE * self.settings.overload_factor * share * server.weight * warm_rate
        # The bucket holds a quarter of the overload window at most: unused tokens must not allow a burst.
        max_tokens = max(1.0, rate * self.settings.overload_window / 4)
        server.slow_start_tokens, server.tokens_refilled_at = (
            min(max_tokens, server.slow_start_tokens + rate * (now - server.tokens_refilled_at)),
            now,
        )
        return server.slow_start_tokens >= 1.0

    def warm_send_rate(self, zone, now):
        """Sends per second and unit of weight to the zone's servers outside slow start."""
        warm = [s for s in self.zones[zone] if s.is_circuit_closed and not self.is_in_slow_start(s, now)]
        if warm:
            self.warm_send_rates[zone] = (
                sum(s.recent_sends.read(now) for s in warm) / DECAY_S / sum(s.weight for s in warm)
            )
        elif zone not in self.warm_send_rates:
            return self.arrivals.read(now) / DECAY_S / sum(s.weight for zone in self.zones for s in zone)
        return self.warm_send_rates[zone]

    def send_attempt(self, request, server, now):
        """Records an attempt of the request at the server and has the host send it."""
        attempt, request.attempt_count = request.attempt_count, request.attempt_count + 1
        request.in_flight[attempt], request.possible_executions[attempt] = server, (server, now)
        request.tried_servers.append(server)
        request.probed_servers.clear()
        was_queued = self.queued_requests.pop(request.number, None) is not None
        self.queue_successes.add(now, was_queued and self.zone_order[self.current_zone_rank] == server.zone)
        server.last_response_at = server.last_response_at if server.in_flight else now
        server.in_flight[request.number, attempt] = now
        self.set_timer_by(now + self.silence_timeout(server, now))
        server.recent_sends.add(now)
        if request.request_class in server.class_backoffs:
            # Renews the backoff of a class with three or more failures in a row, so that one request at a
            # time tries the server.
            self.back_off_class(server, request, now, 0)
        server.slow_start_tokens -= 1.0
        self.host.send_attempt(request.number, server.index, request.deadline)

    def is_attempt_safe(self, request, server, now):
        """Whether an attempt of the request at the server cannot cause a second execution."""
        request_class = request.request_class
        if not request.possible_executions or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return all(
            now <= sent + request_class.deduplication_window - DEDUPLICATION_WINDOW_MARGIN_S
            and self.in_same_scope(request_class.deduplication_scope, earlier, server)
            for earlier, sent in request.possible_executions.values()
        )

    def in_same_scope(self, scope, earlier, server):
        """Whether both servers are in one deduplication scope."""
        if scope is DeduplicationScope.ALL:
            return True
        return earlier.zone == server.zone and (
            scope is DeduplicationScope.ZONE or earlier.cell == server.cell
        )

    def give_up(self, request, now):
        """Ends the request without a result: rejects it if the client may safely repeat it, else fails it."""
        repeat_until = self.client_repeat_until(request)
        retry_after = self.retry_after(request) if now <= repeat_until else inf
        if now + retry_after <= repeat_until:
            self.host.reject(request.number, retry_after)
        else:
            self.host.fail(request.number)
        self.given_up_unsent.add(now, not request.tried_servers)
        self.record_result(self.remove_request(request.number), True, now)

    def retry_after(self, request):
        """How long the client of a rejected request is told to wait, in seconds."""
        wait = request.request_class.latency_target * (0.2 + 0.3 * self.random_fraction())
        return min(self.settings.max_retry_after, wait)

    def client_repeat_until(self, request):
        """The time until which a repeat by the client cannot cause a second execution; -inf if it always can.

        The repeat is another request to the agent, which may queue it before it sends an attempt.
        """
        request_class = request.request_class
        if not request.possible_executions or request_class.idempotency is Idempotency.IDEMPOTENT:
            return inf
        if (
            request_class.idempotency is not Idempotency.DEDUPLICATED
            or request_class.deduplication_scope is not DeduplicationScope.ALL
        ):
            return -inf
        first_sent = min(sent for _, sent in request.possible_executions.values())
        queue_time = MAX_QUEUE_TIME_RATIO * request_class.latency_target
        return first_sent + request_class.deduplication_window - DEDUPLICATION_WINDOW_MARGIN_S - queue_time

    def remove_request(self, number):
        """Removes and returns the request; None if it is unknown."""
        self.queued_requests.pop(number, None)
        return self.requests.pop(number, None)

    def on_client_disconnected(self, number):
        """The client of a request has gone; the request counts as missed."""
        if number in self.requests:
            self.record_result(self.remove_request(number), True, self.host.now)

    def on_request_withdrawn(self, number):
        """The request was invalid; it says nothing about the servers."""
        self.remove_request(number)

    def route_queued_requests(self, now):
        """Routes the queued requests that are due, by priority weight, until two of them find no capacity."""
        no_capacity_count, due = (
            0,
            [each for each in self.queued_requests.values() if now >= each.next_attempt_at],
        )
        for request in sorted(due, key=lambda each: -each.priority_weight):
            if no_capacity_count < 2:
                self.route(request, now)
                no_capacity_count += request.number in self.queued_requests

    def on_attempt_ended(self, number, index, outcome, attempt, duration, is_finished, load):
        """An attempt ended.

        Args:
            number: the request's number.
            index: the server's index.
            outcome: how the attempt ended.
            attempt: the attempt's number within the request.
            duration: seconds from sending the attempt to its end.
            is_finished: whether the client has its final answer.
            load: the server's load report, or None.
        """
        now, server, is_completed = self.host.now, self.servers.get(index), outcome is Outcome.COMPLETED
        # After a restart, outcomes may arrive for attempts and servers that this agent does not know.
        sent = server and server.in_flight.pop((number, attempt), None)
        if sent is None:
            return
        self.full_zones.clear()
        if self.is_pool_member and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            server.abandoned_attempts.append(sent)
        elif is_completed:
            server.abandoned_attempts = [each for each in server.abandoned_attempts if each > sent]
        request = self.requests.get(number)
        server.flight_time.add(now, duration)
        self.apply_load_report(server, load, now)
        self.apply_outcome(server, outcome, duration, request, now)
        self.remove_if_gone(server)
        if request is not None:
            request.in_flight.pop(attempt, None)
            if outcome.never_ran:
                request.possible_executions.pop(attempt, None)
            if is_finished:
                self.record_result(
                    self.remove_request(number), not (is_completed and now <= request.latency_target_at), now
                )
            elif not request.in_flight:
                self.retry_or_give_up(request, now)
        self.route_queued_requests(now)

    def retry_or_give_up(self, request, now):
        """Retries a failed request up to two times, or gives it up.

        It is not retried after its latency target nor, under overload, if it may have run.
        """
        is_overloaded = (
            request.possible_executions
            and self.given_up_unsent.read(now) > 2 + MAX_UNSENT_SHARE * self.arrivals.amount
        )
        may_retry = (
            request.attempt_count < min(3, self.settings.max_attempts) and now < request.latency_target_at
        )
        others = (s for zone in self.zones for s in zone if s not in request.tried_servers)
        if may_retry and not is_overloaded and any(self.is_attempt_safe(request, s, now) for s in others):
            self.route(request, now, has_failed_attempt=True)
        else:
            self.give_up(request, now)

    def apply_outcome(self, server, outcome, duration, request, now):
        """Updates the server's statistics, concurrency limit and circuit after an attempt."""
        if outcome in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.UNUSABLE):
            return
        latency_target = request.request_class.latency_target if request else duration * 2
        if outcome is Outcome.COMPLETED:
            server.last_response_at = now
            server.class_backoffs.pop(request and request.request_class, None)
            server.completions.add(now)
            server.response_time += (
                0.2 * (duration - server.response_time) if server.response_time else duration
            )
            self.response_time_sum.add(now, duration)
            self.response_count.add(now)
            if request:
                for each, amount in zip(
                    request.class_statistics[1:],
                    (now <= request.latency_target_at, duration, 1.0),
                    strict=True,
                ):
                    each.add(now, amount)
            if server.is_silent or server.is_half_open and server.completions.amount > 1.5:
                if not server.is_circuit_closed:
                    self.on_transition("circuit closed", server, "answered")
                server.is_circuit_closed, server.is_silent, server.is_half_open = True, False, False
                server.failures = DecayingSum(DECAY_S, now)
            if server.concurrency_limit < 1.0 and not self.is_pool_member:
                # One attempt from each of many agents may be too much for a server: each agent pauses
                # between its attempts.
                server.paused_until = now + server.response_time * (1.0 / server.concurrency_limit - 1.0)
            if duration < FAST_RESPONSE_RATIO * latency_target and self.is_pool_member:
                # Growth follows the request's relative weight, since other agents need capacity too.
                relative_weight = request.priority_weight * self.arrivals.amount / self.priority_sum.amount
                if now > server.overloaded_until:
                    server.concurrency_limit += min(
                        1.0 / server.concurrency_limit,
                        server.concurrency_limit * POOL_LIMIT_GROWTH_FACTOR * min(2.0, relative_weight),
                    )
            elif (
                duration < FAST_RESPONSE_RATIO * latency_target
                and len(server.in_flight) + 1 > 0.7 * server.concurrency_limit
            ):
                server.concurrency_limit += min(1.0 / server.concurrency_limit, server.concurrency_limit / 4)
            elif duration > SLOW_RESPONSE_RATIO * latency_target and request:
                self.cut_limit(
                    server,
                    now,
                    MIN_CONCURRENCY_LIMIT if duration > VERY_SLOW_RESPONSE_RATIO * latency_target else 1.0,
                )
        elif outcome is Outcome.FULL:
            self.cut_limit(server, now, MIN_CONCURRENCY_LIMIT)
            # A server that refuses at once always looks idle, and would attract more and more attempts.
            server.paused_until = now + max(0.1, server.response_time) / min(1.0, server.concurrency_limit)
        else:
            server.failures.add(now)
            if request and not outcome.never_ran:
                self.back_off_class(server, request, now)
            if outcome is Outcome.TIMED_OUT:
                self.cut_limit(server, now)
            failures = server.failures.amount
            is_failure_share_high = failures > MIN_FAILURE_SHARE_TO_OPEN * (
                failures + server.completions.read(now)
            )
            if server.is_half_open or failures >= MIN_FAILURES_TO_OPEN * 0.95 and is_failure_share_high:
                self.open_circuit(server, now)

    def back_off_class(self, server, request, now, failure_count=1):
        """Counts failures of the request's class at the server.

        From the third failure in a row on, the class avoids the server.
        A server may fail with one request class alone. The circuit applies to all of them.
        """
        count, until, duration = server.class_backoffs.get(request.request_class, NO_CLASS_BACKOFF)
        if count + failure_count > 2 and now >= until:
            until, duration = now + duration, min(MAX_CLASS_BACKOFF_S, duration * 2)
        server.class_backoffs[request.request_class] = count + failure_count, until, duration

    def cut_limit(self, server, now, min_limit=1.0):
        """Cuts the server's concurrency limit, at most once per response time."""
        if now >= server.next_limit_cut_at:
            server.concurrency_limit = max(
                min(server.concurrency_limit, self.min_pool_limit if self.is_pool_member else min_limit),
                server.concurrency_limit * LIMIT_DECREASE_FACTOR,
            )
            server.next_limit_cut_at = now + max(0.1, server.response_time)

    def open_circuit(self, server, now):
        """Opens the server's circuit, or opens it again if it was half-open."""
        if server.is_circuit_closed or server.is_half_open:
            if server.is_circuit_closed:
                self.on_transition("circuit opened", server, "silent" if server.is_silent else "failures")
            # `delay_retry` doubles it, so the first backoff is 1 s.
            server.backoff = 0.5 if server.is_circuit_closed else server.backoff
            server.is_circuit_closed = server.is_half_open = False
            self.delay_retry(server, now)
            self.check_zones(now)

    def delay_retry(self, server, now):
        """Doubles the backoff of an open circuit and draws the time at which the circuit is tried again."""
        server.backoff = min(8.0, server.backoff * 2)
        server.retry_at = now + server.backoff * (0.75 + 0.5 * self.random_fraction())
        self.set_timer_by(server.retry_at)

    def on_probe_ended(self, index, outcome, duration, load):
        """A probe of the server with this index ended; the requests that wait for it are routed."""
        now, server, is_answered = self.host.now, self.servers.get(index), outcome is Outcome.COMPLETED
        if server is None:
            return
        waiters, server.probe_waiters, server.probe_sent_at = server.probe_waiters, {}, -inf
        if is_answered and server.is_circuit_closed:
            self.probe_time_sum.add(now, duration)
            self.probe_response_count.add(now)
            server.probe_answered_at = now
            self.apply_load_report(server, load, now)
        elif is_answered:
            server.is_half_open, server.completions, server.failures = (
                True,
                DecayingSum(DECAY_S, now),
                DecayingSum(DECAY_S, now),
            )
            server.retry_at = now + 1.0
        elif not server.is_circuit_closed:
            self.delay_retry(server, now)
        for request in sorted(waiters.values(), key=lambda each: -each.priority_weight):
            if request.number in self.queued_requests and server in request.probed_servers:
                request.probed_servers.remove(server)
                is_ready = is_answered and server.is_circuit_closed and server.state is ServerState.READY
                if is_ready and self.select_server([server], request, now):
                    self.send_attempt(request, server, now)
                else:
                    # Without this entry, overloaded servers would be probed over and over.
                    request.probed_servers.append(server)
                    self.route(request, now)

    def apply_load_report(self, server, load, now):
        """Cuts the limit of a server that reports queued requests, however fast its response was.

        A report is old when it arrives: it can show that the server was overloaded, but never that it has
        capacity.
        """
        if load and load.queue_length and now > server.overloaded_until:
            server.overloaded_until = now + OVERLOAD_REPORT_TTL_S
            self.cut_limit(server, now)

    def is_zone_healthy(self, zone):
        """Whether at least half of the zone's servers have a closed or half-open circuit."""
        members = self.zones[zone]
        return bool(members) and 2 * sum([s.is_circuit_closed or s.is_half_open for s in members]) >= len(
            members
        )

    def check_zones(self, now):
        """Fails over from an unhealthy zone to the next healthy one; stays if there is none."""
        if not self.is_zone_healthy(self.zone_order[self.current_zone_rank]):
            self.select_zone(now)

    def select_zone(self, now):
        """Moves to the first healthy zone in order; this is a failover or a failback."""
        previous = self.current_zone_rank
        self.current_zone_rank = next(
            (rank for rank, zone in enumerate(self.zone_order) if self.is_zone_healthy(zone)), previous
        )
        if self.current_zone_rank != previous:
            self.on_transition("zone changed", None, f"from place {previous} to {self.current_zone_rank}")
        self.failback_at = now + FAILBACK_INTERVAL_S
        self.set_timer_by(self.failback_at)

    def set_timer_by(self, at):
        """Has the host call `on_timer` at `at` or earlier."""
        # Timers are set only for what is due: periodic checks would cost an agent more than its requests do.
        # Every timer has a minimum delay: without one, several timers that are due at the same time would
        # each set two further timers for that time.
        at = max(at, self.host.now + MIN_TIMER_DELAY_S)
        if at < self.next_timer_at:
            self.next_timer_at = at
            self.host.set_timer(0, at - self.host.now)

    def on_timer(self, token):
        """A timer fired: handles everything that is due now."""
        now = self.host.now
        if now < self.next_timer_at - 1e-5:
            return  # this timer was replaced by an earlier one, which has fired already
        self.next_timer_at = inf
        self.renew_watch(now)
        if self.current_zone_rank:
            if now >= self.failback_at:
                self.select_zone(now)
            self.set_timer_by(self.failback_at)
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
                self.set_timer_by(server.retry_at)
        for request in [each for each in self.queued_requests.values() if now >= each.queued_until]:
            self.queue_timeouts.add(now)
            self.route(request, now, is_final=True)
        self.route_queued_requests(now)
        for request in self.queued_requests.values():
            self.queue_request(request, now)

    def silence_timeout(self, server, now):
        """Seconds without a response until the server counts as silent; infinity before any response."""
        # The larger of both means is used, so that a slow server does not count as silent.
        mean = max(
            server.response_time, self.response_time_sum.read(now) / max(self.response_count.read(now), 0.1)
        )
        return max(0.25, mean * (4.0 if len(server.in_flight) < 3 else 2.5)) if mean else inf

    def check_silence(self, server, now):
        """Opens the circuit of a server that went silent, before its attempts time out."""
        timeout = self.silence_timeout(server, now)
        due = max(next(iter(server.in_flight.values())), server.last_response_at) + timeout
        if now < due:
            self.set_timer_by(due)
        else:
            server.is_silent = True
            server.failures.add(now, MIN_FAILURES_TO_OPEN)
            self.open_circuit(server, now)
        # At a silent server, attempts that are still within their latency target are cancelled, unless the
        # request is non-idempotent. At other servers, an overdue attempt is cancelled if a response came
        # later than the silence timeout after it was sent: overdue attempts would use up the limit until
        # their deadline, and the whole server would seem silent.
        for (number, attempt), sent in list(server.in_flight.items()):
            request = self.requests.get(number)
            if not request or attempt not in request.in_flight or not self.settings.may_cancel:
                continue
            if request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
                continue
            is_overtaken = server.last_response_at > sent + timeout
            is_overdue = now > max(request.latency_target_at, sent + 2 * timeout)
            if now < request.latency_target_at if server.is_silent else is_overtaken and is_overdue:
                self.back_off_class(server, request, now)
                self.host.cancel(number, attempt)


def mix_bits(value):
    """Spreads a number over 64 bits.

    CRC-32 alone would rank all servers alike for keys that differ in the same way.
    """
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & HASH_MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & HASH_MASK
    return value ^ (value >> 31)
