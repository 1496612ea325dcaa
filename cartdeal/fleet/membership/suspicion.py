"""Suspicion: the accusers of each suspect, and the timeout after which a suspect is declared dead.

A witness is an accuser whose accusation counts (see _is_witness). An agent must not be declared dead on the
accusation of one witness while another live agent could be a second. Suspicion timeouts that become shorter
with more independent witnesses, and warnings to the suspect, follow Lifeguard (Dadgar, Phillips, Currey, DSN
2018).
"""

from math import inf, log

from msgspec.structs import replace

from cartdeal.fleet import events
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.membership.gossip import Gossip
from cartdeal.fleet.membership.messages import MAX_ACCUSERS, GossipItem, Peer, PeerState
from cartdeal.fleet.membership.peer_table import PeerTable, Suspicion
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings

# The number of peers that a probe asks for help. This many witnesses in addition to the first shorten a
# suspicion to its minimum, suspect_s.
INDIRECT_PROBES = 3
MAX_SUSPICION_FACTOR = 3.0  # a suspicion with one witness lasts this many times suspect_s
WITNESS_PROBATION_S = 15.0  # an agent that returned from the dead is no witness for this long
MAX_WARNINGS = 1024  # warnings that wait to be sent
MAX_WARNINGS_PER_TICK = 2


class SuspicionTracker:
    """Starts, confirms and ends suspicions, and warns the suspects so that they can refute them."""

    def __init__(self, context: NodeContext, settings: FleetSettings, table: PeerTable, gossip: Gossip):
        self.context = context
        self.settings = settings
        self.table = table
        self.gossip = gossip
        self.returned_at: dict[str, float] = {}  # when each peer returned from the dead
        self.warnings: dict[str, GossipItem] = {}  # the warnings to be sent, by suspect
        self._warned_at: dict[str, float] = {}  # when each suspect was last warned

    def suspect(
        self,
        name: str,
        accusers: tuple[str, ...],
        *,
        own_probe_failed: bool = False,
        warn: bool = True,
    ) -> None:
        """Add those accusers that count as witnesses to a peer's suspicion; start it if there is none.

        `own_probe_failed` adds this agent as a witness. `warn` queues a warning to the peer if it was not
        suspect before.
        """
        suspicion = self.table.suspicions.get(name)
        known_peer = self.table.peers[name]
        witnesses = [accuser for accuser in accusers if self._is_witness(accuser, name)]
        if own_probe_failed:
            witnesses.append(self.table.name)
        witnesses = [
            witness
            for witness in dict.fromkeys(witnesses)
            if not suspicion or witness not in suspicion.accusers
        ]
        if known_peer.state == PeerState.ALIVE and warn and (witnesses or accusers):
            self._queue_warning(known_peer, accusers or (self.table.name,))
        if not witnesses or (suspicion and len(suspicion.accusers) >= MAX_ACCUSERS):
            return
        if suspicion is None:
            suspicion = self.table.suspicions[name] = Suspicion(self.context.now, [])
        suspicion.accusers = (suspicion.accusers + witnesses)[:MAX_ACCUSERS]
        if known_peer.state == PeerState.ALIVE:
            self.table.put(replace(known_peer, state=PeerState.SUSPECT))
            self.context.increment(Metric.SUSPICIONS)
            # Counts only accusations by this agent's own probes.
            self.context.increment(Metric.ACCUSATIONS, int(own_probe_failed))
        self.gossip.announce(name)

    def end(self, name: str) -> None:
        """Drop the suspicion of a peer that has refuted it or has left, and the warning to the peer."""
        self.table.suspicions.pop(name, None)
        self.warnings.pop(name, None)
        self._warned_at.pop(name, None)

    def forget(self, name: str) -> None:
        """Drop the warning and return time of a peer; the peer table itself removes the suspicion."""
        self.returned_at.pop(name, None)
        self.warnings.pop(name, None)
        self._warned_at.pop(name, None)

    def record_return(self, name: str) -> None:
        """Record that a peer returned from the dead, so that it is no witness for WITNESS_PROBATION_S."""
        self.returned_at[name] = self.context.now

    def declare_dead(self, now: float) -> None:
        """Declare the suspects dead whose suspicion has timed out without a refutation."""
        expired = [
            name
            for name, suspicion in self.table.suspicions.items()
            if self.table.peers[name].state == PeerState.SUSPECT
            and now - suspicion.since >= self._duration_s(len(suspicion.accusers))
        ]
        for name in expired:
            suspicion = self.table.suspicions[name]
            # One witness is enough only if no other live agent could be the second one.
            others = self.table.others(PeerState.ALIVE)
            if len(suspicion.accusers) < 2 and any(other != name for other in others):
                continue
            if self.table.name not in suspicion.accusers:
                # This agent's own suspicion has timed out, so others may count this agent as a witness.
                suspicion.accusers = [self.table.name, *suspicion.accusers][:MAX_ACCUSERS]
            self.table.mark_dead(name, now)
            self.gossip.announce(name)
            self.context.log_event(events.AgentDead(name, tuple(suspicion.accusers)))

    def send_warnings(self) -> None:
        """Send the oldest warnings, MAX_WARNINGS_PER_TICK in each tick."""
        for name in list(self.warnings)[:MAX_WARNINGS_PER_TICK]:
            self.gossip.send_items(name, (self.warnings.pop(name),))

    def _duration_s(self, witness_count: int) -> float:
        """Return the timeout of a suspicion, in seconds (Lifeguard's dynamic suspicion).

        It falls with the logarithm of the witnesses, from MAX_SUSPICION_FACTOR * suspect_s down to suspect_s.
        """
        full_confirmation_count = min(INDIRECT_PROBES, self.table.size() - 2)
        if full_confirmation_count < 1:
            return self.settings.suspect_s
        confirmation_ratio = min(1.0, log(witness_count) / log(full_confirmation_count + 1))
        return self.settings.suspect_s * (
            MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * confirmation_ratio
        )

    def _is_witness(self, accuser: str, suspect: str) -> bool:
        peer = self.table.peers.get(accuser)
        return (
            peer is not None
            and peer.state <= PeerState.SUSPECT
            and accuser not in (suspect, self.table.name)
            and self.context.now - self.returned_at.get(accuser, -inf) >= WITNESS_PROBATION_S
        )

    def _queue_warning(self, suspect: Peer, accusers: tuple[str, ...]) -> None:
        now = self.context.now
        since_last_warning_s = now - self._warned_at.get(suspect.name, -inf)
        if since_last_warning_s >= self.settings.suspect_s / 2 and len(self.warnings) < MAX_WARNINGS:
            self._warned_at[suspect.name] = now
            self.warnings[suspect.name] = GossipItem(replace(suspect, state=PeerState.SUSPECT), accusers)
