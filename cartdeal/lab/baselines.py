"""Plain policies to measure against: only which server of a zone takes an attempt is theirs.

They live here alone. Rules that an agent owes (group, window, drains, cold ramp) are kept as the module keeps
them, so that a comparison is of choices and not of broken rules. An agent in service must never import them.
"""

from cartdeal.agent.reducer import Reducer


class Plain(Reducer):
    def __init__(self, *args):
        super().__init__(*args)
        self.turn = 0
        self.balancer.select_server = self.pick
        self.balancer.must_probe_first = lambda server, now: False

    def pick(self, members, request, now):
        balancer, like, able = self.balancer, None, []
        for server in members:
            if server in request.tried_servers or not balancer.is_attempt_safe(request, server, now):
                continue
            if server.started_at and now - server.started_at < balancer.settings.slow_start_duration:
                like = balancer.warm_send_rate(server.zone, now) if like is None else like
                if not balancer.slow_start_allows(server, now, like):
                    continue
            able.append(server)
        return self.choose(able) if able else None

    def choose(self, able):
        raise NotImplementedError


class Random(Plain):
    def choose(self, able):
        return able[int(self.balancer.random_fraction() * len(able))]


class LeastInFlight(Plain):
    def choose(self, able):
        return min(able, key=lambda server: (len(server.in_flight), server.name_hash))


class RoundRobin(Plain):
    def choose(self, able):
        self.turn += 1
        return able[self.turn % len(able)]


POLICIES = {
    "cartdeal": Reducer,
    "random": Random,
    "least_in_flight": LeastInFlight,
    "round_robin": RoundRobin,
}
