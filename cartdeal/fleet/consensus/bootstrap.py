"""Bootstrap: an agent without a ring asks others for theirs, or forms the first ring with the other seeds."""

from math import inf

from cartdeal.fleet.consensus.messages import RingQuery
from cartdeal.fleet.consensus.state import EpochState
from cartdeal.fleet.ring.ring import Ring, RingMember, is_valid_ring

MAX_FOUNDERS = 8  # only this many live seeds, the first by name, query all seeds
QUERIED_PEERS = 3  # random agents in each search
FIRST_SEARCH_INTERVAL_S = 0.2  # the interval after the first search; each later one is 1.5 times as long
MAX_SEARCH_INTERVAL_S = 2.0


class RingSearch:
    """Queries other agents for a ring, and composes the first ring once the seeds report having none."""

    def __init__(self, state: EpochState) -> None:
        self._state = state
        self._context = state.context
        self._next_search_at = -inf
        self._interval_s = 0.0
        self._no_ring_at: dict[str, float] = {}  # agent -> when it last reported no ring

    def on_no_ring(self, sender: str) -> None:
        """Record an agent's report that it has no ring."""
        self._no_ring_at[sender] = self._context.now

    def search_ring(self) -> None:
        """Query a few random agents for a ring if a search is due.

        The intervals grow up to MAX_SEARCH_INTERVAL_S. The first MAX_FOUNDERS live seeds also query
        all seeds, to learn whether to propose the first ring.
        """
        state, context = self._state, self._context
        if context.now < self._next_search_at:
            return
        self._interval_s = min(MAX_SEARCH_INTERVAL_S, self._interval_s * 1.5 or FIRST_SEARCH_INTERVAL_S)
        self._next_search_at = context.now + self._interval_s * (0.5 + context.random.random())
        names = sorted((set(state.live) | set(state.settings.seeds)) - {context.name})
        recipients = context.random.sample(names, min(QUERIED_PEERS, len(names)))
        if state.is_member:
            present_seeds = [name for name in state.seed_ring.names if name in state.live]
            if context.name in present_seeds[:MAX_FOUNDERS]:
                recipients += [
                    name for name in state.seed_ring.names if name not in recipients and name != context.name
                ]
        for name in recipients:
            state.send(name, RingQuery)

    def first_ring(self) -> Ring | None:
        """Return the first ring to propose, or None if it may not be proposed yet or this agent is no seed.

        All seeds have to report that they have no ring. A majority of them is enough once this agent has run
        for 2 * lease_s + damp_s.
        """
        state, context = self._state, self._context
        if not state.is_member or not state.remembers_promises:
            return None
        now, seed_names, lease_s = context.now, state.seed_ring.names, state.settings.lease_s
        seeds_without_ring = [
            name
            for name in seed_names
            if name == context.name or now - self._no_ring_at.get(name, -inf) <= 2 * lease_s
        ]
        majority_is_enough = now - state.started_at >= 2 * lease_s + state.settings.damp_s
        if len(seeds_without_ring) < state.seed_ring.majority:
            return None
        if len(seeds_without_ring) < len(seed_names) and not majority_is_enough:
            return None
        members = [
            RingMember(peer.name, peer.zone, float(peer.capacity)) for _, peer in sorted(state.live.items())
        ]
        written_version = max((peer.reads[0] for peer in state.live.values()), default=1)
        ring = Ring(
            1,
            tuple(members[: state.settings.most_agents]),
            max(1, written_version),
            founded_ms=int(context.wall * 1e3),
        )
        return ring if is_valid_ring(ring, state.settings.most_agents) else None
