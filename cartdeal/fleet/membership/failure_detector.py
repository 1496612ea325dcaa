"""The failure detector: it probes one peer at a time in a shuffled round, directly and through helpers.

The round and the indirect probes follow SWIM (Das, Gupta, Motivala, DSN 2002). Nacks and the local health
score follow Lifeguard (Dadgar, Phillips, Currey, DSN 2018). A peer must never be suspected because of a probe
that timed out while this agent's process was stopped.
"""

from collections.abc import Iterator

from msgspec import Struct

from cartdeal.fleet import events
from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.membership.gossip import Gossip
from cartdeal.fleet.membership.local_health import LocalHealth
from cartdeal.fleet.membership.messages import Ack, Nack, Peer, PeerState, Ping, PingRequest
from cartdeal.fleet.membership.peer_table import PeerTable
from cartdeal.fleet.membership.randomness import sample
from cartdeal.fleet.membership.suspicion import INDIRECT_PROBES, MAX_SUSPICION_FACTOR, SuspicionTracker
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings

# The share of a probe's timeout after which helpers are asked to ping the target. A helper waits for the
# target's answer for the same share of probe_s.
DIRECT_PROBE_SHARE = 0.4
MAX_RELAYED_PINGS = 1024  # unanswered pings that this agent has sent on behalf of others


class Probe(Struct):
    """A probe of one peer: the direct ping, then the pings by helpers. Times are in seconds."""

    peer: Peer
    number: int
    started: float
    timeout_s: float
    helpers: tuple[str, ...] = ()
    has_requested_help: bool = False
    nacks: int = 0
    is_done: bool = False


class RelayedPing(Struct):
    """A ping that this agent sent to `target` on behalf of the requester. `deadline` is in local seconds."""

    requester: str
    request_number: int
    target: str
    deadline: float


class FailureDetector:
    """Probes the peers, answers their probes, and pings peers on behalf of others."""

    def __init__(
        self,
        context: NodeContext,
        settings: FleetSettings,
        ping_numbers: Iterator[int],
        table: PeerTable,
        gossip: Gossip,
        health: LocalHealth,
        suspicion: SuspicionTracker,
    ):
        self.context = context
        self.settings = settings
        self.ping_numbers = ping_numbers  # shared with the peer verifier
        self.table = table
        self.gossip = gossip
        self.health = health
        self.suspicion = suspicion
        self.probe: Probe | None = None
        self.relayed_pings: dict[int, RelayedPing] = {}  # by ping number
        self._round: list[str] = []  # the peers still to be probed; the next one is last
        self._failed_in_succession: int = 0
        self._next_probe_at: float = context.now + settings.probe_s * context.random.random()

    # Time

    def tick(self, now: float) -> None:
        """Run the steps of the probe that are due: ask helpers, time it out, or start the next one."""
        probe = self.probe
        if probe and not probe.is_done:
            if not probe.has_requested_help and now >= probe.started + DIRECT_PROBE_SHARE * probe.timeout_s:
                self._request_help(probe)
            if now >= probe.started + probe.timeout_s:
                self._fail(probe)
                self._suspect_all_if_isolated(now)
        if now >= self._next_probe_at:
            self._start_probe(now)

    def expire_relayed_pings(self, now: float) -> None:
        """Send a Nack to the requester of each relayed ping whose target did not answer in time."""
        expired = [number for number, relayed in self.relayed_pings.items() if relayed.deadline <= now]
        for number in expired:
            relayed = self.relayed_pings.pop(number)
            if relayed.requester in self.table.peers:
                self.gossip.send(relayed.requester, Nack, relayed.request_number)

    def reset_after_pause(self) -> None:
        """Drop the probe and the relayed pings: this agent's process was stopped and received no answers."""
        self.probe = None
        self._failed_in_succession = 0
        self.relayed_pings.clear()

    def stop(self) -> None:
        """Drop the current probe because this agent leaves the fleet."""
        self.probe = None

    def insert_in_round(self, name: str) -> None:
        """Insert a new peer at a random position of the current round."""
        self._round.insert(self.context.random.randint(0, len(self._round)), name)

    # Messages

    def on_ping(self, sender: str, message: Ping) -> None:
        """Answer a probe with an Ack."""
        self.gossip.send(sender, Ack, message.number)

    def on_ack(self, sender: str, message: Ack) -> None:
        """End the probe that the Ack answers, or forward it to the requester of a relayed ping."""
        probe = self.probe
        if (
            probe
            and probe.number == message.number
            and not probe.is_done
            and (sender == probe.peer.name or sender in probe.helpers)
        ):
            probe.is_done = True
            self._failed_in_succession = 0
            self.health.improve()
            return
        relayed = self.relayed_pings.get(message.number)
        if relayed is None or relayed.target != sender:
            self.context.increment(Metric.LATE_ACKS)
            return
        del self.relayed_pings[message.number]
        if relayed.requester in self.table.peers:
            self.gossip.send(relayed.requester, Ack, relayed.request_number, about=sender)

    def on_nack(self, sender: str, message: Nack) -> None:
        """Count a helper's Nack: the helper is reachable, so the target rather than this agent is cut off."""
        if self.probe and self.probe.number == message.number and sender in self.probe.helpers:
            self.probe.nacks += 1

    def on_ping_request(self, sender: str, message: PingRequest) -> None:
        """Ping the target on the sender's behalf, or answer with a Nack if that is impossible."""
        if (
            message.target not in self.table.peers
            or message.target == self.table.name
            or len(self.relayed_pings) >= MAX_RELAYED_PINGS
        ):
            self.gossip.send(sender, Nack, message.number)
            return
        number = next(self.ping_numbers)
        deadline = self.context.now + DIRECT_PROBE_SHARE * self.settings.probe_s
        self.relayed_pings[number] = RelayedPing(sender, message.number, message.target, deadline)
        self.gossip.send(message.target, Ping, number)

    # Steps of a probe

    def _start_probe(self, now: float) -> None:
        peer = self._next_peer()
        self.probe = None
        timeout_s = self.settings.probe_s * (1 + self.health.score)
        self._next_probe_at = now + timeout_s
        if peer:
            self.probe = Probe(peer, next(self.ping_numbers), now, timeout_s)
            self.gossip.send(peer.name, Ping, self.probe.number)

    def _next_peer(self) -> Peer | None:
        """Return the next live peer of the round, or None if there is no other live peer.

        As in SWIM, a round probes each peer once and is then shuffled again, so no peer waits longer than two
        rounds for its next probe.
        """
        for is_new_round in (False, True):
            if is_new_round:
                self._round = self.table.others(PeerState.SUSPECT)
                self.context.random.shuffle(self._round)
            while self._round:
                peer = self.table.peers.get(self._round.pop())
                if peer and peer.state <= PeerState.SUSPECT:
                    return peer
        return None

    def _request_help(self, probe: Probe) -> None:
        probe.has_requested_help = True
        target = probe.peer.name
        candidates = [name for name in self.table.others(PeerState.ALIVE) if name != target]
        probe.helpers = tuple(sample(self.context.random, candidates, INDIRECT_PROBES))
        self.gossip.send(target, Ping, probe.number)  # pinged again, since the first datagram may be lost
        for helper in probe.helpers:
            # `about` adds the accusations against the target, which the helper may not have counted yet.
            self.gossip.send(helper, PingRequest, probe.number, target, about=target)

    def _fail(self, probe: Probe) -> None:
        probe.is_done = True
        self._failed_in_succession += 1
        if probe.nacks < len(probe.helpers) or not probe.helpers:
            # Some helper is silent as well, or there is none: this agent may be the one that is cut off.
            self.health.degrade()
        probed_peer, known_peer = probe.peer, self.table.peers.get(probe.peer.name)
        if known_peer is None or known_peer.state > PeerState.SUSPECT:
            return
        # If the peer's version rose during the probe, the peer is alive: its refutation came by gossip.
        if (known_peer.incarnation, known_peer.version) == (probed_peer.incarnation, probed_peer.version):
            self.suspicion.suspect(probed_peer.name, (), own_probe_failed=True)

    def _suspect_all_if_isolated(self, now: float) -> None:
        """Suspect all peers at once if this agent is cut off from all of them.

        Probes alone would need as many probe intervals as there are agents to find all peers unreachable.
        """
        if not self._is_isolated(now):
            return
        others = self.table.others(PeerState.ALIVE)
        if others:
            self.context.log_event(events.Isolated(len(others)))
        for name in others:
            self.suspicion.suspect(name, (), own_probe_failed=True, warn=False)

    def _is_isolated(self, now: float) -> bool:
        """Return whether probes failed in succession and no message came in for the longest suspicion time.

        Time for which this agent's process was stopped doesn't count as silence.
        """
        return (
            self._failed_in_succession >= INDIRECT_PROBES + 1
            and self.health.silence_s(now) > MAX_SUSPICION_FACTOR * self.settings.suspect_s
        )
