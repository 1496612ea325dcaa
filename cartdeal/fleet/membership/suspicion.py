"""Suspicion: who is accused by whom, and when a suspect counts as dead.

An agent must never be called dead on one witness while there is another to ask. Suspicions that shorten with
independent witnesses, and the warning to the suspect, follow Lifeguard (Dadgar, Phillips, Currey, DSN 2018).
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

INDIRECT_PROBES = 3  # helpers of a probe; as many further witnesses make a suspicion as short as it gets
MAX_SUSPICION_FACTOR = 3.0  # a suspicion with one witness lasts this many times suspect_s
WITNESS_PROBATION_S = 15.0  # for so long, an agent that came back from the dead is no witness
MAX_WARNINGS = 1024  # that wait to be sent
MAX_WARNINGS_PER_TICK = 2


class SuspicionTracker:
    """Begins, confirms and ends suspicions, and warns the suspects so that they can refute them."""

    def __init__(self, context: NodeContext, settings: FleetSettings, table: PeerTable, gossip: Gossip):
        self.context = context
        self.settings = settings
        self.table = table
        self.gossip = gossip
        self.returned_at: dict[str, float] = {}  # when a peer came back from the dead
        self.warnings: dict[str, GossipItem] = {}  # to be sent, by name of the suspect
        self._warned_at: dict[str, float] = {}  # when a suspect was last warned

    def suspect(
        self,
        name: str,
        accusers: tuple[str, ...],
        *,
        own_probe_failed: bool = False,
        warn: bool = True,
    ) -> None:
        """Add accusers to the suspicion of a peer, or begin one; those that are no witnesses don't count."""
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
            self.context.increment(Metric.ACCUSATIONS, int(own_probe_failed))  # this agent's own among them
        self.gossip.announce(name)

    def end(self, name: str) -> None:
        """Drop the suspicion of a peer that gave a sign of life or has left, and its warning."""
        self.table.suspicions.pop(name, None)
        self.warnings.pop(name, None)
        self._warned_at.pop(name, None)

    def forget(self, name: str) -> None:
        """Drop all that is held of a peer; its suspicion is the table's to remove."""
        self.returned_at.pop(name, None)
        self.warnings.pop(name, None)
        self._warned_at.pop(name, None)

    def record_return(self, name: str) -> None:
        """Note that a peer came back from the dead: it is no witness for WITNESS_PROBATION_S."""
        self.returned_at[name] = self.context.now

    def declare_dead(self, now: float) -> None:
        """Declare the suspects dead that have not refuted their suspicion in time."""
        expired = [
            name
            for name, suspicion in self.table.suspicions.items()
            if self.table.peers[name].state == PeerState.SUSPECT
            and now - suspicion.since >= self._duration_s(len(suspicion.accusers))
        ]
        for name in expired:
            suspicion = self.table.suspicions[name]
            # One witness is enough only where there is nobody left that could be a second.
            others = self.table.others(PeerState.ALIVE)
            if len(suspicion.accusers) < 2 and any(other != name for other in others):
                continue
            if self.table.name not in suspicion.accusers:
                # Having waited out its own time makes this agent a witness to the others.
                suspicion.accusers = [self.table.name, *suspicion.accusers][:MAX_ACCUSERS]
            self.table.mark_dead(name, now)
            self.gossip.announce(name)
            self.context.log_event(events.AgentDead(name, tuple(suspicion.accusers)))

    def send_warnings(self) -> None:
        """Send the oldest warnings, a few in each tick."""
        for name in list(self.warnings)[:MAX_WARNINGS_PER_TICK]:
            self.gossip.send_items(name, (self.warnings.pop(name),))

    def _duration_s(self, witness_count: int) -> float:
        """Lifeguard's dynamic suspicion: from the longest time down to suspect_s as witnesses confirm."""
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
