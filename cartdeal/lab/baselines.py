"""Baseline policies for comparison: they differ from the balancer in how a server of a zone is selected.

They follow the balancer's rules on deduplication, draining servers and slow start, so that a comparison
measures the selection and not broken rules. An agent in service must never import this module.
"""

from cartdeal.agent.reducer import Reducer


class BaselineReducer(Reducer):
    """A reducer whose balancer selects servers by a baseline policy and never probes a server first."""

    def __init__(self, *args):
        super().__init__(*args)
        self.turn = 0
        self.balancer.select_server = self.select_server
        self.balancer.must_probe_first = lambda server, now: False

    def select_server(self, members, request, now):
        """A server among the members of a zone that may get the request now; None if there is none."""
        balancer, warm_rate, candidates = self.balancer, None, []
        for server in members:
            if server in request.tried_servers or not balancer.is_attempt_safe(request, server, now):
                continue
            if server.started_at and now - server.started_at < balancer.settings.slow_start_duration:
                warm_rate = balancer.warm_send_rate(server.zone, now) if warm_rate is None else warm_rate
                if not balancer.slow_start_allows(server, now, warm_rate):
                    continue
            candidates.append(server)
        return self.choose(candidates) if candidates else None

    def choose(self, candidates):
        """One of the candidates, by the policy."""
        raise NotImplementedError


class RandomReducer(BaselineReducer):
    """Selects a random server."""

    def choose(self, candidates):
        """A random candidate."""
        return candidates[int(self.balancer.random_fraction() * len(candidates))]


class LeastInFlightReducer(BaselineReducer):
    """Selects the server with the fewest attempts of this agent in flight."""

    def choose(self, candidates):
        """The candidate with the fewest attempts in flight."""
        return min(candidates, key=lambda server: (len(server.in_flight), server.name_hash))


class RoundRobinReducer(BaselineReducer):
    """Selects the servers in turn."""

    def choose(self, candidates):
        """The next candidate in turn."""
        self.turn += 1
        return candidates[self.turn % len(candidates)]


REDUCERS_BY_POLICY = {
    "cartdeal": Reducer,
    "random": RandomReducer,
    "least_in_flight": LeastInFlightReducer,
    "round_robin": RoundRobinReducer,
}
