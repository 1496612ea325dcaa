"""Which agents are in the fleet, and what each tells of itself: SWIM with Lifeguard's extensions.

Invariants: it must never call an agent dead on one witness while there is another to ask, believe another
about its own name, or do I/O. Sources: SWIM (Das, Gupta, Motivala, DSN 2002) for probing in a shuffled round,
indirect pings, suspicion, refutation and piggybacked gossip; Lifeguard (Dadgar, Phillips, Currey, DSN 2018)
for suspicion that shortens with independent witnesses, warning the suspect, nacks and local health.

Where it differs from both: that an agent is dead is never taken from hearsay. Hearing of it counts as what
its witnesses accuse, and each agent waits out its own time, so that the suspect can refute it first. Those
that are dead to this agent, or came back a moment ago, are no witnesses, and whoever hears an accusation that
is new to it warns the suspect at once: after a cut, neither half declares the other's agents dead anew.

One-way cuts. A peer that others reach stays: helpers' acks count as its own. Where B hears nobody, the others
call B dead and believe nothing that B says any more; B sees that it is cut off from all, and calls all of
them dead. Where nobody hears B, it is dead to the others and suspects all of them, and calls them dead once
no news of any comes in any more. Neither takes the other in again by its calls alone: an unknown caller, or
one that is dead, has to answer a ping before anything it says is read but what concerns the reader; and an
agent that hears nobody changes nothing that it says of itself, since its next version would pass for a
refutation. Of two agents alone, each calls the other dead until both ways are open.
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

MAX_SILENT_PROBES = 3  # probes' time without a word from anyone, after which this agent announces no change
MAX_MISSED_TICKS = 10  # in succession: after more than that, this agent was stopped rather than late
NOTIFIED_ON_LEAVING = 2 * INDIRECT_PROBES  # peers


class Membership:
    """One agent's part of the protocol.

    It sends a ping and an ack each probe_s and a comparison of tables every few seconds, in a fleet of any
    size; a failed probe costs up to a dozen messages more, over five agents.
    """

    def __init__(self, context: NodeContext, settings: FleetSettings):
        self.context = context
        self.name: str = context.name
        self._settings = settings
        ping_numbers = count(context.random.getrandbits(40) + 1)
        self.health = LocalHealth(context.now)
        self.table = PeerTable(context, settings)
        # All known agents by name, this one and the dead included; not to be written.
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
        self._last_tick: float = context.now
        self._last_event: float = context.now
        self._pending_changes: dict[str, float] = {}  # of its own description, to be announced
        self._handlers: dict[type[MembershipMessage], Callable[[str, Any], None]] = {
            Ping: self.detector.on_ping,
            Ack: self.detector.on_ack,
            Nack: self.detector.on_nack,
            PingRequest: self.detector.on_ping_request,
            DigestExchange: self.exchange.on_digest_exchange,
            StatePush: self._on_state_push,
        }

    # What the node uses

    @property
    def settings(self) -> FleetSettings:
        """The operator's settings; they may be replaced while the agent runs."""
        return self._settings

    @settings.setter
    def settings(self, settings: FleetSettings) -> None:
        """Replace the settings in all parts."""
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
        """A number that is raised where what live_peers() tells has changed."""
        return self.table.view_version

    @property
    def error(self) -> DuplicateNameError | None:
        """The last sign of another agent under this agent's name."""
        return self.updater.error

    def join(self) -> None:
        """Call the seeds, again and again until any has answered.

        Before this, nothing is sent but answers.
        """
        self._is_active = True
        self.exchange.start(self.context.now)

    def leave(self) -> None:
        """Tell a few peers, who tell the others; this agent still answers, and suspects nobody any more."""
        if self.local_peer.state == PeerState.LEFT:
            return
        local_peer = self.local_peer
        self.updater.replace_self(replace(local_peer, version=local_peer.version + 1, state=PeerState.LEFT))
        self._is_active = False
        self.detector.stop()
        for name in sample(self.context.random, self.table.others(PeerState.SUSPECT), NOTIFIED_ON_LEAVING):
            self.gossip.send(name, StatePush)

    def live_peers(self) -> dict[str, Peer]:
        """Return all that are alive or suspect, this agent included, sorted by name; not to be written."""
        return self.table.live_peers()

    def size(self) -> int:
        """Return the number of live peers, this agent included."""
        return self.table.size()

    def addresses(self) -> dict[str, str]:
        """Return where each known agent is reached, also the dead and callers that are not verified yet."""
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
        """Change this agent's description of itself, at once or when any peer is heard again."""
        changes = {
            "capacity": capacity,
            "migrated_version": migrated_version,
            "caught_up_epoch": caught_up_epoch,
        }
        self._pending_changes |= {field: value for field, value in changes.items() if value is not None}
        self._announce_changes()

    def newer_incarnation(self) -> int:
        """Return the highest incarnation of its own name that a peer told of, if above its own; else 0."""
        reported_incarnation = self.updater.highest_reported_incarnation
        return reported_incarnation if reported_incarnation > self.local_peer.incarnation else 0

    # Time

    def tick(self) -> None:
        """Do what is due: called every tick_s."""
        now = self.context.now
        self._resume_after_pause(now - self._last_tick)
        self._last_tick = self._last_event = now
        if self.context.incarnation > self.local_peer.incarnation:
            # The node took a higher one: what was said of the former one is void.
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
        """Reset what was under way where this agent was stopped for a while.

        What ran out meanwhile says nothing of the others; they have long suspected this agent.
        """
        if gap_s <= MAX_MISSED_TICKS * self.settings.tick_s:
            return
        now = self.context.now
        self.context.increment(Metric.PAUSES)
        self._last_tick = now
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
        """Handle a message that `sender` has signed."""
        now = self.context.now
        self._resume_after_pause(now - max(self._last_tick, self._last_event))
        self._last_event = now
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
            self.gossip.send(sender, StatePush)  # the refutation

    def _accept(self, sender: str, message: MembershipMessage) -> bool:
        """Check a message's values and its sender's incarnation, and return whether it is to be read.

        One from an earlier incarnation is answered with the incarnation that is known.
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
            # Late, or from one that was restarted with its clock set back, which has to learn of its higher
            # incarnation.
            self.context.increment(Metric.DROPPED_OLD_INCARNATION)
            self.gossip.send_items(sender, (self.table.gossip_item(sender),))
            return False
        return True

    def _verify(self, message: MembershipMessage) -> bool:
        """Check whether an unknown or dead sender has answered its challenge, and return whether it has.

        One that has not been challenged yet is challenged now.
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
        """Read of a sender that is not verified only what concerns this agent, and answer its ping."""
        for item in message.items:
            if item.peer.name == self.name:
                self.updater.apply_to_self(item.peer)
        if type(message) is Ping and (sender in self.peers or sender in self.verifier.unverified_peers):
            self.gossip.send(sender, Ack, message.number)

    def _on_state_push(self, sender: str, message: StatePush) -> None:
        """Nothing is left to do: its entries have been applied as gossip."""
