"""One agent of a fleet: membership, ring, replicas and quota leases, combined into one reducer.

Each kind of event has a method, which appends its effects (effects.py) to `effects` for a host to apply. The
node must never do I/O, read a clock or sleep: before each event the host sets `now` (monotonic seconds).
`wall` is the fleet's time in seconds; a value that the host sets is ignored. The node does not select
servers; the balancer does.
"""

from collections import Counter
from random import Random
from typing import Any, Protocol

from msgspec import Struct

from cartdeal.fleet import events
from cartdeal.fleet.consensus import messages as consensus_messages
from cartdeal.fleet.consensus.ring_consensus import RingConsensus
from cartdeal.fleet.effects import Effect, SendMessage, WriteLog
from cartdeal.fleet.events import LogEvent
from cartdeal.fleet.fleet_clock import FleetClock
from cartdeal.fleet.idempotency import AdmissionRequest, RanOutcome
from cartdeal.fleet.membership import messages as membership_messages
from cartdeal.fleet.membership.membership import Membership
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.pending_admissions import PendingAdmissions
from cartdeal.fleet.quota import messages as quota_messages
from cartdeal.fleet.quota.quota_leases import QuotaLeases
from cartdeal.fleet.replication import messages as replication_messages
from cartdeal.fleet.replication import migration
from cartdeal.fleet.replication.replica import Replica
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

ADDRESSES_PER_AGENT = 4  # limit of `Node.addresses`, as a multiple of `most_agents`
INCARNATION_RANDOM_BITS = 16  # the low bits of an incarnation; the bits above are the wall clock's ms
# One day: a known incarnation that is further ahead of the fleet's time is not adopted.
MAX_INCARNATION_LEAD_MS = 86_400_000


class MessageHandler(Protocol):
    """A part of the node that messages are routed to. Each part gets only messages of its own types."""

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of one of this part's types."""


class Node:
    """Routes messages and events to the parts of one agent and gives them each new ring.

    The node is the NodeContext of its parts.
    """

    def __init__(self, settings: FleetSettings, seed: object, now: float, wall: float) -> None:
        self.settings = settings
        self.effects: list[Effect] = []
        self.counters: Counter[str] = Counter()
        self.now = now
        self.name = settings.name
        self.address = settings.address
        self.random = Random(f"{seed}/{settings.name}/{int(wall * 1e3)}")
        self.incarnation = int(wall * 1e3) << INCARNATION_RANDOM_BITS | self._random_bits()
        self.addresses: dict[str, str] = {}  # by peer, as its last message gave it
        self.fleet_clock = FleetClock(self, settings, wall - now)
        self.membership = Membership(self, settings)
        self.consensus = RingConsensus(self, settings)
        self.admissions = PendingAdmissions(self, settings)
        self.replica = Replica(self, settings, self.admissions.on_attempt_records, self.has_valid_lease)
        self.quota = QuotaLeases(self, settings, self.admissions.on_token_decision, self.has_valid_lease)
        self.handlers: dict[type[Struct], MessageHandler] = {
            message_type: part
            for module, part in (
                (membership_messages, self.membership),
                (consensus_messages, self.consensus),
                (replication_messages, self.replica),
                (quota_messages, self.quota),
            )
            for message_type in module.MESSAGE_TYPES
        }
        self.ring: Ring | None = None
        self.is_fenced = False  # the fleet writes a schema version that this program can't read
        # Whether migration.downgrade_error was reported for the current ring and settings.
        self.is_schema_hold_refused = False
        self.is_caught_up = False
        self.is_shutting_down = False
        # By tenant, the served requests that have been added to its usage counter.
        self.reported_usage: Counter[str] = Counter()
        self.membership.join()

    # Set by the host

    @property
    def wall(self) -> float:
        """The fleet's time, seconds.

        A change of the host's wall clock while the agent runs has no effect on it.
        """
        return self.fleet_clock.offset_s + self.now

    @wall.setter
    def wall(self, reading: float) -> None:
        """Ignored: the fleet's time follows the reading at the start, and the peers' clocks since then."""

    # Used by the parts

    def send(self, recipient: str, message: Struct) -> None:
        """Send a message to a peer.

        Drop and count it if the address is unknown or the recipient is this agent.
        """
        peer = self.membership.peers.get(recipient)
        address = (
            peer.address if peer else self.settings.seeds.get(recipient) or self.addresses.get(recipient)
        )
        if address and recipient != self.name:
            self.effects.append(SendMessage(recipient, address, message))
        else:
            self.increment(Metric.NO_ADDRESS)

    def log_event(self, event: LogEvent) -> None:
        """Write an event to the agent's log."""
        self.effects.append(WriteLog(event))

    def increment(self, counter: str, by: int = 1) -> None:
        """Add to a counter; see metrics.py."""
        self.counters[counter] += by

    def has_valid_lease(self) -> bool:
        """Whether this agent may answer as an owner of records and limits."""
        return not self.is_fenced and self.consensus.has_valid_lease()

    @property
    def is_warming_up(self) -> bool:
        """Whether attempt records from before the fleet's first ring may still concern a request.

        If all agents stop at once, the fleet is founded anew, and no agent knows which attempts ran before.
        """
        warm_up_s = self.settings.longest_mark_s + 2 * self.settings.clock_ahead_s
        return self.ring is None or self.wall < self.ring.founded_ms / 1e3 + warm_up_s

    # Events

    def on_message(self, sender: str, incarnation: int, address: str, wall_ms: int, message: Struct) -> None:
        """Route an authenticated message to its part.

        The message's MAC proves only that the sender knows the fleet's key, not that it is `sender`.
        """
        part = self.handlers.get(type(message))
        if part is None or sender == self.name:
            self.increment(Metric.DROPPED_OWN_NAME)
            return
        peer = self.membership.peers.get(sender)
        if peer and incarnation < peer.incarnation and part is not self.membership:
            # Only membership handles it: it answers with the newer incarnation.
            self.increment(Metric.DROPPED_OLD_INCARNATION)
            return
        sender_has_ring = part is self.consensus and getattr(message, "epoch", 1) > 0
        is_timely = self.fleet_clock.observe(sender, wall_ms, sender_has_ring, self.ring is not None)
        if not is_timely and part is self.replica:
            # The timestamps of its records can't be trusted; messages to the other parts are still handled.
            return
        if sender in self.addresses or len(self.addresses) < ADDRESSES_PER_AGENT * self.settings.most_agents:
            self.addresses[sender] = address
        part.on_message(sender, message)
        self._adopt_ring()

    def tick(self) -> None:
        """Let each part do what is due; the host calls it every `tick_s`."""
        self.fleet_clock.tick(self.ring)
        self.membership.tick()
        self._raise_incarnation()
        self.consensus.tick(
            self.membership.live_peers(), lambda ring, live: migration.next_step(ring, live, self.settings)
        )
        self._adopt_ring()
        self.replica.tick()
        self.quota.tick()
        self._report_usage()
        self._report_progress()
        self.admissions.tick()

    def request_admission(self, ticket: int, request: AdmissionRequest) -> None:
        """Ask whether a request may go on to the balancer. See PendingAdmissions."""
        self.admissions.request_admission(ticket, request)

    def on_attempt_sent(self, ticket: int, zone: str, cell: int) -> None:
        """Record that an attempt of an admitted request is being sent to a cell of a zone."""
        self.admissions.on_attempt_sent(ticket, zone, cell)

    def on_request_ended(self, ticket: int, outcome: RanOutcome) -> None:
        """Record that a request is answered and no attempt of it is in flight."""
        self.admissions.on_request_ended(ticket, outcome)

    def begin_shutdown(self) -> None:
        """Start to hand over this agent's records; it keeps answering meanwhile."""
        if not self.is_shutting_down:
            self.is_shutting_down = True
            self.replica.start_shutdown()

    def finish_shutdown(self) -> None:
        """Return the leases and announce to the peers that this agent leaves. These are its last messages."""
        self.quota.return_all_leases()
        self._report_usage()
        self.membership.leave()

    @property
    def is_handed_over(self) -> bool:
        """Whether other agents have all records that this agent holds."""
        return self.replica.is_drained

    def apply_settings(self, settings: FleetSettings) -> None:
        """Adopt reloaded settings, of which only RELOADABLE_KEYS (configuration.py) may have changed."""
        self.settings = settings
        self.fleet_clock.settings = settings
        self.admissions.settings = settings
        self.membership.settings = settings
        self.replica.settings = settings
        self.consensus.update_settings(settings)
        self.quota.update_limits(settings)
        self.membership.update_self(capacity=settings.capacity)
        if self.ring is not None:
            self._fence(self.ring)

    # Steps of a tick

    def _random_bits(self) -> int:
        return self.random.getrandbits(INCARNATION_RANDOM_BITS)

    def _raise_incarnation(self) -> None:
        """Raise the incarnation above a newer one that peers know for this agent's name.

        An earlier process of this agent took it from a clock that was ahead. An incarnation that is more than
        a day ahead is ignored.
        """
        known_incarnation = self.membership.newer_incarnation()
        known_ms = known_incarnation >> INCARNATION_RANDOM_BITS
        if (
            known_incarnation >= self.incarnation
            and known_ms < int(self.wall * 1e3) + MAX_INCARNATION_LEAD_MS
        ):
            # The increment is random: `known_ms + 1` could be the incarnation of an earlier process of this
            # agent, which learnt of the same incarnation and died without this agent's knowledge.
            incarnation_ms = known_ms + 1 + self.random.getrandbits(8)
            self.incarnation = incarnation_ms << INCARNATION_RANDOM_BITS | self._random_bits()
            self.log_event(events.IncarnationRaised(self.incarnation))

    def _report_progress(self) -> None:
        """Log and gossip whether this agent has caught up, and the schema version of its records."""
        if self.replica.is_caught_up != self.is_caught_up:
            self.is_caught_up = not self.is_caught_up
            # In a rolling restart, operators wait for this event before they restart the next agent.
            event_type = events.CaughtUp if self.is_caught_up else events.CatchingUp
            self.log_event(event_type(self.ring.epoch if self.ring else None))
        own_entry = self.membership.peers.get(self.name)
        if own_entry is None:
            return
        version = self.replica.migrated_version
        epoch = self.ring.epoch if self.ring and self.is_caught_up else own_entry.caught_up_epoch
        if (version, epoch) != (own_entry.migrated_version, own_entry.caught_up_epoch):
            self.membership.update_self(migrated_version=version, caught_up_epoch=epoch)

    def _report_usage(self) -> None:
        """Add to the tenants' usage counters by period. They inform operators; no decision uses them."""
        for tenant, served in self.quota.served.items():
            if served > self.reported_usage[tenant]:
                period = int(self.wall // self.settings.period_s)
                self.replica.count_usage(tenant, period, served - self.reported_usage[tenant])
                self.reported_usage[tenant] = served

    # The ring

    def _adopt_ring(self) -> None:
        """Give the parts the ring that consensus has learnt, if it has changed."""
        ring = self.consensus.ring
        if ring is None or ring == self.ring:
            return
        if self.ring is None:
            self.fleet_clock.synchronize_on_joining()
        self.ring = ring
        self.log_event(events.RingAdopted(ring.epoch, len(ring.members), ring.written_version, ring.phase))
        self.replica.on_ring_changed(ring, self.consensus.previous_ring, self.consensus.ring_learned_at)
        self.quota.on_ring_changed(ring, self.consensus.previous_ring, self.consensus.ring_learned_at)
        self.quota.set_schema_version(migration.governing_version(ring.written_version, ring.phase))
        self._fence(ring)

    def _fence(self, ring: Ring) -> None:
        """Fence this agent if the fleet writes a schema version that this program can't read.

        A fenced agent still hands over the records that it holds.
        """
        unsupported_error = migration.unsupported_error(self.settings.reads, ring)
        if unsupported_error and not self.is_fenced:
            self.log_event(events.Fenced(str(unsupported_error)))
        self.is_fenced = unsupported_error is not None
        downgrade_error = migration.downgrade_error(ring, self.settings)
        if downgrade_error and not self.is_schema_hold_refused:
            self.log_event(events.SchemaHoldRefused(str(downgrade_error)))
        self.is_schema_hold_refused = downgrade_error is not None

    def metrics(self) -> dict[str, object]:
        """The node's state and counters, for the log line `msg=metrics`."""
        ring = self.ring
        return {
            "epoch": ring.epoch if ring else 0,
            "members": len(ring.members) if ring else 0,
            "written": ring.written_version if ring else 0,
            "phase": ring.phase if ring else "",
            "fenced": self.is_fenced,
            "live": len(self.membership.live_peers()),
            "has_valid_lease": self.has_valid_lease(),
            "pending_admissions": self.admissions.undecided_count,
            **self.replica.metrics(),
            **self.quota.metrics(),
            **self.counters,
        }
