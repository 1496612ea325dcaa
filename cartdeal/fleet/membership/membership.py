"""Membership: the agents of the fleet and their self-descriptions, by SWIM with Lifeguard's extensions.

Invariants. The membership must never declare an agent dead on one witness while a second one could exist,
must never believe another agent about this agent's own name, and must do no I/O.

Sources. SWIM (Das, Gupta, Motivala, DSN 2002): probes in a shuffled round, indirect pings, suspicion,
refutation and piggybacked gossip. Lifeguard (Dadgar, Phillips, Currey, DSN 2018): suspicions that shorten
with independent witnesses, warnings to the suspect, nacks and local health.

Differences from both. An agent never takes over a peer's death from gossip. Gossip that a peer is dead counts
only as an accusation by the accusers that it names, and each agent runs its own suspicion timeout, so that
the suspect can refute the accusation first. An agent that is dead in the local table, or returned from the
dead recently, is no witness. An agent that receives a new accusation warns the suspect at once. After a
partition heals, these rules keep each half from declaring the other half's agents dead again.

One-way cuts. A peer that any helper reaches stays alive, because a helper's ack counts like the peer's own.
If B receives nothing, the other agents declare B dead and ignore what B sends; B finds itself cut off from
all peers and declares all of them dead. If B's messages reach nobody, the other agents declare B dead; B
suspects all of them and declares them dead once it receives no more gossip about them. Messages in one
direction alone never bring a dead peer back, for two reasons. First, an unknown or dead sender has to answer
a ping before its messages are read; until then only the items about the receiver itself are. Second, an agent
that receives nothing does not change its self-description, because the higher version would count as a
refutation. In a fleet of two, each agent considers the other dead until both directions work.
"""

from collections.abc import Callable
from itertools import count
from typing import Any

from msgspec.structs import replace

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.errors import DuplicateNameError
from cartdeal.fleet.membership.failure_detector import FailureDetector
from cartdeal.fleet.membership.gossip import Gossip
from cartdeal.fleet.membership.local_health import LocalHealth
from cartdeal.fleet.membership.messages import (
    Ack,
    DigestExchange,
    GossipItem,
    MembershipMessage,
    Nack,
    Peer,
    PeerState,
    Ping,
    PingRequest,
    StatePush,
    are_valid_items,
    is_valid_peer,
)
from cartdeal.fleet.membership.peer_table import PeerTable
from cartdeal.fleet.membership.randomness import sample
from cartdeal.fleet.membership.state_exchange import StateExchange
from cartdeal.fleet.membership.suspicion import INDIRECT_PROBES, SuspicionTracker
from cartdeal.fleet.membership.update import TableUpdater
from cartdeal.fleet.membership.verification import PeerVerifier
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings

MAX_SILENT_PROBES = 3  # after a silence of more than this many probe_s, this agent announces no change
MAX_MISSED_TICKS = 10  # a gap of more than this many tick_s means that the process was stopped, not late
LEAVE_NOTIFICATION_COUNT = 2 * INDIRECT_PROBES  # the number of peers that a leaving agent notifies


class Membership:
    """One agent's part of the membership protocol.

    The load is independent of the fleet's size: an agent sends about one ping and one ack in each probe_s,
    and a digest exchange every few seconds. A failed probe costs up to a dozen more messages, spread over
    five agents.
    """

    def __init__(self, context: NodeContext, settings: FleetSettings):
        self.context = context
        self.name: str = context.name
        self._settings = settings
        ping_numbers = count(context.random.getrandbits(40) + 1)
        self.health = LocalHealth(context.now)
        self.table = PeerTable(context, settings)
        # All known agents by name, including this one and the dead; read-only for users of this class.
        self.peers = self.table.peers
        self.gossip = Gossip(context, self.table)
        self.suspicion = SuspicionTracker(context, settings, self.table, self.gossip)
        self.detector = FailureDetector(
            context, settings, ping_numbers, self.table, self.gossip, self.health, self.suspicion
        )
        self.verifier = PeerVerifier(context, ping_numbers, self.gossip)
        self.exchange = StateExchange(context, settings, self.table, self.gossip, self.health)
        self.updater = TableUpdater(
            context, self.table, self.gossip, self.health, self.suspicion, self.detector, self.verifier
        )
        self.table.forget_callbacks += [self.suspicion.forget, self.gossip.forget, self.exchange.forget]
        self._is_active: bool = False  # from join() to leave()
        self._last_tick_at: float = context.now
        self._last_event_at: float = context.now
        self._pending_changes: dict[str, float] = {}  # of the self-description, not announced yet
        self._handlers: dict[type[MembershipMessage], Callable[[str, Any], None]] = {
            Ping: self.detector.on_ping,
            Ack: self.detector.on_ack,
            Nack: self.detector.on_nack,
            PingRequest: self.detector.on_ping_request,
            DigestExchange: self.exchange.on_digest_exchange,
            StatePush: self._on_state_push,
        }

    # Interface of the node

    @property
    def settings(self) -> FleetSettings:
        """The operator's settings, which may be replaced while the agent runs."""
        return self._settings

    @settings.setter
    def settings(self, settings: FleetSettings) -> None:
        """Replace the settings of all parts of the membership."""
        self._settings = settings
        self.table.settings = settings
        self.suspicion.settings = settings
        self.detector.settings = settings
        self.exchange.settings = settings

    @property
    def local_peer(self) -> Peer:
        """This agent's description of itself."""
        return self.table.local_peer

    @property
    def view_version(self) -> int:
        """A number that rises whenever a field that users of live_peers() depend on has changed."""
        return self.table.view_version

    @property
    def error(self) -> DuplicateNameError | None:
        """The last report of another agent under this agent's name, or None if there was none."""
        return self.updater.error

    def join(self) -> None:
        """Contact the seeds, repeatedly until any peer has sent a message.

        Before this call, the membership only answers messages.
        """
        self._is_active = True
        self.exchange.start(self.context.now)

    def leave(self) -> None:
        """Leave the fleet: notify LEAVE_NOTIFICATION_COUNT peers, which disseminate it by gossip.

        Afterwards this agent still answers messages, but starts no probes and suspects nobody.
        """
        if self.local_peer.state == PeerState.LEFT:
            return
        local_peer = self.local_peer
        self.updater.replace_self(replace(local_peer, version=local_peer.version + 1, state=PeerState.LEFT))
        self._is_active = False
        self.detector.stop()
        for name in sample(
            self.context.random, self.table.others(PeerState.SUSPECT), LEAVE_NOTIFICATION_COUNT
        ):
            self.gossip.send(name, StatePush)

    def live_peers(self) -> dict[str, Peer]:
        """Return the peers that are alive or suspect, including this agent, sorted by name; read-only."""
        return self.table.live_peers()

    def size(self) -> int:
        """Return the number of live peers, including this agent."""
        return self.table.size()

    def addresses(self) -> dict[str, str]:
        """Return the "host:port" of each known agent by name, including dead and unverified ones."""
        unverified_peers = self.verifier.unverified_peers
        addresses = {name: peer.address for name, peer in self.peers.items()}
        return addresses | {
            name: unverified_peer.peer.address for name, unverified_peer in unverified_peers.items()
        }

    def update_self(
        self,
        *,
        capacity: float | None = None,
        migrated_version: int | None = None,
        caught_up_epoch: int | None = None,
    ) -> None:
        """Change this agent's description of itself.

        The change is announced at once, or, if no message has come in lately, after the next one.
        """
        changes = {
            "capacity": capacity,
            "migrated_version": migrated_version,
            "caught_up_epoch": caught_up_epoch,
        }
        self._pending_changes |= {field: value for field, value in changes.items() if value is not None}
        self._announce_changes()

    def newer_incarnation(self) -> int:
        """Return the highest incarnation that peers reported for this agent's name, or 0.

        It is 0 unless the reported incarnation is higher than this agent's own.
        """
        reported_incarnation = self.updater.highest_reported_incarnation
        return reported_incarnation if reported_incarnation > self.local_peer.incarnation else 0

    # Time

    def tick(self) -> None:
        """Run everything that is due; the node calls this every tick_s."""
        now = self.context.now
        self._resume_after_pause(now - self._last_tick_at)
        self._last_tick_at = self._last_event_at = now
        if self.context.incarnation > self.local_peer.incarnation:
            # The node has raised its incarnation, which overrides all reports about the former one.
            self.updater.replace_self(
                replace(self.local_peer, incarnation=self.context.incarnation, version=0)
            )
        self._announce_changes()
        self.table.forget_expired()
        self.verifier.expire(now)
        self.detector.expire_relayed_pings(now)
        self.suspicion.send_warnings()
        self.exchange.push_pending()
        if self._is_active:
            self.suspicion.declare_dead(now)
            self.detector.tick(now)
            self.exchange.tick(now)

    def _resume_after_pause(self, gap_s: float) -> None:
        """Reset probes, exchanges and deadlines if this agent's process was stopped for `gap_s`.

        A timeout that passed during the stop says nothing about the peers. They have probably suspected this
        agent by now, so it refutes at once.
        """
        if gap_s <= MAX_MISSED_TICKS * self.settings.tick_s:
            return
        now = self.context.now
        self.context.increment(Metric.PAUSES)
        self._last_tick_at = now
        self.health.reset_silence(now)
        self.detector.reset_after_pause()
        self.exchange.reset_after_pause()
        self.table.postpone(gap_s)
        self.health.degrade()
        if self.local_peer.state == PeerState.ALIVE:
            self.updater.refute(self.local_peer.version)

    def _announce_changes(self) -> None:
        if not self._pending_changes or self._has_lost_contact():
            return
        local_peer = self.local_peer
        changed_peer = replace(local_peer, **self._pending_changes)
        self._pending_changes = {}
        if changed_peer != local_peer:
            self.updater.replace_self(replace(changed_peer, version=local_peer.version + 1))

    def _has_lost_contact(self) -> bool:
        silence_s = self.health.silence_s(self.context.now)
        return self.health.has_heard_peer and silence_s > MAX_SILENT_PROBES * self.settings.probe_s

    # Messages

    def on_message(self, sender: str, message: MembershipMessage) -> None:
        """Handle a message whose signature by `sender` is valid."""
        now = self.context.now
        self._resume_after_pause(now - max(self._last_tick_at, self._last_event_at))
        self._last_event_at = now
        if not self._accept(sender, message):
            return
        self.health.record_contact(now)
        version = self.local_peer.version
        known_peer = self.peers.get(sender)
        if (known_peer is None or known_peer.state >= PeerState.DEAD) and not self._verify(message):
            self._on_unverified_message(sender, message)
            return
        self.updater.apply_gossip(GossipItem(message.sender))
        for item in message.items:
            self.updater.apply_gossip(item)
        self._handlers[type(message)](sender, message)
        if self.local_peer.version != version and type(message) is StatePush:
            self.gossip.send(sender, StatePush)  # carries the refutation

    def _accept(self, sender: str, message: MembershipMessage) -> bool:
        """Check a message's values and its sender's incarnation, and return whether to process it.

        A message from an earlier incarnation is answered with the sender's entry in the local table.
        """
        sender_peer = message.sender
        if not is_valid_peer(sender_peer) or not are_valid_items(message.items):
            self.context.increment(Metric.DROPPED_OUT_OF_RANGE)
            return False
        if sender_peer.name != sender or sender_peer.state not in (PeerState.ALIVE, PeerState.LEFT):
            self.context.increment(Metric.DROPPED_WRONG_SENDER)
            return False
        if sender == self.name:
            self.updater.apply_to_self(sender_peer)
            return False
        known_peer = self.peers.get(sender)
        if known_peer and sender_peer.incarnation < known_peer.incarnation:
            # Either the message is late, or its sender was restarted with its clock set back and has to learn
            # of the higher incarnation.
            self.context.increment(Metric.DROPPED_OLD_INCARNATION)
            self.gossip.send_items(sender, (self.table.gossip_item(sender),))
            return False
        return True

    def _verify(self, message: MembershipMessage) -> bool:
        """Return whether the message of an unknown or dead sender may be processed.

        It may once the sender has answered its challenge; a sender without a challenge is sent one. If the
        sender or this agent has left, the message may be processed if the sender is known.
        """
        peer = message.sender
        known_peer = self.peers.get(peer.name)
        if PeerState.LEFT in (peer.state, self.local_peer.state):
            return known_peer is not None
        unverified_peer = self.verifier.unverified_peers.get(peer.name)
        if unverified_peer is None:
            self._challenge(peer, known_peer)
            return False
        if type(message) is not Ack or message.number != unverified_peer.challenge_number:
            return False
        self.verifier.remove(peer.name)
        if known_peer is None and not self.table.make_room():
            return False
        self.updater.apply_gossip(GossipItem(peer))
        self.exchange.send_digests(peer.name)
        return True

    def _challenge(self, peer: Peer, known_peer: Peer | None) -> None:
        if not self.verifier.may_challenge():
            return
        if known_peer and peer.incarnation > known_peer.incarnation:  # restarted, perhaps at another address
            self.table.put(replace(known_peer, address=peer.address))
        self.verifier.challenge(peer)

    def _on_unverified_message(self, sender: str, message: MembershipMessage) -> None:
        """Apply only the items about this agent, and answer a ping, from a sender that is not verified."""
        for item in message.items:
            if item.peer.name == self.name:
                self.updater.apply_to_self(item.peer)
        if type(message) is Ping and (sender in self.peers or sender in self.verifier.unverified_peers):
            self.gossip.send(sender, Ack, message.number)

    def _on_state_push(self, sender: str, message: StatePush) -> None:
        """Do nothing: the entries of the message have been applied as gossip already."""
