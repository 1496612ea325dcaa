"""Replicated records: connects the parts of a replica and passes messages, rings and time to them.

This module owns this agent's copies, and its writes until all owners have them. It must never

- report an operation as certain unless enough owners answered it, all of them in one epoch and caught up;
- drop one of this agent's own attempt records without reporting it;
- let a message, a table or the work of an event grow with the number of stored records, where it can grow
  with the number that differ.

Source: Dynamo (DeCandia and others, 2007), its preference lists, hinted handoff and anti-entropy; without its
sloppy quorums, as two writers that reach different agents would not see each other's attempts.
"""

from collections.abc import Callable
from typing import Any

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.replication.anti_entropy import AntiEntropy
from cartdeal.fleet.replication.catch_up import ALL_RANGES, CatchUp, CatchUpReason
from cartdeal.fleet.replication.epoch_guard import EpochGuard
from cartdeal.fleet.replication.hinted_handoff import HintedHandoff
from cartdeal.fleet.replication.messages import (
    DigestRequest,
    DigestResponse,
    FetchRequest,
    FetchResponse,
    HintAck,
    HintDelivery,
    KeyListRequest,
    KeyListResponse,
    ReadRepairRequest,
    ReadRepairResponse,
    ReplicationMessage,
    StaleEpoch,
    WriteRequest,
    WriteResponse,
)
from cartdeal.fleet.replication.quorum import OperationCallback, QuorumCoordinator, QuorumOwner
from cartdeal.fleet.replication.record_store import RecordStore
from cartdeal.fleet.replication.records import AttemptRecord, Record, Session
from cartdeal.fleet.replication.ring_view import RingView
from cartdeal.fleet.replication.usage_counters import UsageCounters
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

EXPIRY_INTERVAL_S = 1.0
USAGE_INTERVAL_S = 1.0


class Replica:
    """The records that this agent stores, writes and reads.

    `on_done(ticket, attempts, certain)` is called once for each write and read. `has_valid_lease()` returns
    whether this agent may answer as an owner by its ring.
    """

    def __init__(
        self,
        context: NodeContext,
        settings: FleetSettings,
        on_done: OperationCallback,
        has_valid_lease: Callable[[], bool],
    ) -> None:
        self.context = context
        self.view = RingView(context, settings, has_valid_lease)
        self.guard = EpochGuard(self.view)
        self.store = RecordStore(self.view, self._start_handoff, self._cancel_handoff)
        self.usage = UsageCounters(self.view, self.store)
        self.hints = HintedHandoff(self.view, self.store, self.usage)
        self.owner = QuorumOwner(self.view, self.store, self._respond)
        self.coordinator = QuorumCoordinator(self.view, self.store, self.hints, self.owner, on_done)
        self.anti_entropy = AntiEntropy(self.view, self.store, self.guard)
        self._next_expiry_at = self.view.started_at
        self._next_usage_at = self.view.started_at
        self._request_handlers: dict[type, Callable[[str, Any], None]] = {
            WriteRequest: self.owner.on_write_request,
            HintDelivery: self.hints.on_delivery,
            DigestRequest: self.anti_entropy.on_digest_request,
            KeyListRequest: self.anti_entropy.on_key_list_request,
            FetchRequest: self.anti_entropy.on_fetch_request,
            ReadRepairRequest: self.owner.read_repair.on_request,
        }
        self._response_handlers: dict[type, Callable[[str, Any], None]] = {
            WriteResponse: self.coordinator.on_response,
            HintAck: self.hints.on_ack,
            DigestResponse: self.anti_entropy.on_digest_response,
            KeyListResponse: self.anti_entropy.on_key_list_response,
            FetchResponse: self.anti_entropy.on_fetch_response,
            ReadRepairResponse: self.owner.read_repair.on_response,
        }

    @property
    def settings(self) -> FleetSettings:
        """The operator's settings, which may change while the agent runs."""
        return self.view.settings

    @settings.setter
    def settings(self, settings: FleetSettings) -> None:
        """Replaces the settings."""
        self.view.settings = settings

    @property
    def catch_up(self) -> CatchUp | None:
        """The progress of catching up by the present ring; None while there is no ring."""
        return self.view.catch_up

    # Operations

    def write(self, ticket: int, key: str, attempt: AttemptRecord, deadline: float) -> None:
        """Writes an attempt record at all owners and requests the attempts that they stored before."""
        self.coordinator.write(ticket, key, attempt, deadline)

    def read(self, ticket: int, key: str, deadline: float) -> None:
        """Requests the attempts that all owners store under a key."""
        self.coordinator.read(ticket, key, deadline)

    def update(self, key: str, attempt: AttemptRecord) -> None:
        """Updates one of this agent's attempt records at all owners; those out of reach get it later."""
        self.hints.publish(key, Session({attempt.attempt_id: attempt}))

    def count_usage(self, tenant: str, period: int, served: int) -> None:
        """Adds requests served for a tenant in a period; the counts are published about once a second."""
        self.usage.count(tenant, period, served)

    # Rings

    def on_ring_changed(self, ring: Ring, former: Ring | None, learned_at: float | None = None) -> None:
        """Switches to the ring of a new epoch.

        Args:
            ring: The new ring.
            former: The ring before it, if known.
            learned_at: `context.now` when the new ring was learnt; the present if None.
        """
        view = self.view
        previous = view.ring
        if ring == previous:
            return
        is_next = previous is not None and ring.epoch == previous.epoch + 1
        self.anti_entropy.sessions = {}
        if is_next and previous is not None and ring.members == previous.members:
            assert view.catch_up is not None
            view.ring = view.catch_up.ring = ring
        else:
            view.catch_up = self._catch_up_with(ring, former, view.now if learned_at is None else learned_at)
            view.ring = ring
            self.anti_entropy.next_catch_up = {}
            self.hints.cancel_all_handoffs()
            self.store.restart_placement()
        self.owner.read_repair.cancel_all()
        self.store.set_form(ring)
        self.hints.on_ring_changed(previous)
        self.coordinator.on_ring_changed()
        self.hints.flush()

    def _catch_up_with(self, ring: Ring, former: Ring | None, learned_at: float) -> CatchUp:
        view = self.view
        previous = view.ring
        started_at = view.started_at
        is_successor = former is not None and former.epoch == ring.epoch - 1
        if previous is None:
            is_first = ring.epoch == 1 and former is None
            reason = CatchUpReason.FIRST_RING if is_first else CatchUpReason.RESTARTED
        elif ring.epoch <= previous.epoch:
            # Another ring of the same epoch: progress by the one doesn't count for the other.
            reason, started_at = CatchUpReason.RESTARTED, view.now
        else:
            can_follow = view.had_valid_lease and is_successor
            reason = CatchUpReason.OWNERSHIP_CHANGED if can_follow else CatchUpReason.RESTARTED
        former_catch_up = None
        if reason == CatchUpReason.OWNERSHIP_CHANGED and former == previous:
            former_catch_up = view.catch_up
        return CatchUp(
            view.name,
            view.settings,
            ring,
            former if reason == CatchUpReason.OWNERSHIP_CHANGED else None,
            reason,
            learned_at,
            started_at,
            former_catch_up,
        )

    def _start_handoff(self, key: str, new_owners: list[str]) -> None:
        self.hints.start_handoff(key, new_owners)

    def _cancel_handoff(self, key: str) -> None:
        self.hints.cancel_handoff(key)

    # Messages

    def on_message(self, sender: str, message: ReplicationMessage | StaleEpoch) -> None:
        """Dispatches a peer's message."""
        self.coordinator.close_first_overdue()
        self.hints.on_peer_contact(sender)
        if isinstance(message, StaleEpoch):
            self.guard.on_epoch(message.epoch)
            self.context.increment(Metric.NEWER_RING_ANNOUNCED)
            return
        handler = self._response_handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
        elif self.guard.admits(sender, message):
            self._request_handlers[type(message)](sender, message)

    def _respond(self, requester: str, response: WriteResponse) -> None:
        if requester == self.view.name:
            self.coordinator.on_response(requester, response)
        else:
            self.context.send(requester, response)

    @property
    def newest_epoch(self) -> int:
        """The newest epoch that any peer's message has named; 0 if none has."""
        return self.guard.newest_epoch

    # Time

    def tick(self) -> None:
        """Does the periodic work that is due: retries, expiry, migration and comparisons."""
        now = self.context.now
        self.coordinator.close_overdue(now)
        if self.view.ring is None:
            return
        if not self.view.had_valid_lease and self.view.has_valid_lease():
            self.view.had_valid_lease = True
        self.coordinator.retry(now)
        self.store.place()
        self.store.drop_expired()
        self.store.migrate()
        self.owner.read_repair.tick(now)
        self.anti_entropy.tick(now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._drop_obsolete(now)
        if now >= self._next_usage_at:
            self._next_usage_at = now + USAGE_INTERVAL_S * self.view.jitter()
            self._publish_usage()
        self.hints.flush()

    def _drop_obsolete(self, now: float) -> None:
        """Drops expired hints, and, once catch-up has expired, records that this agent doesn't own."""
        catch_up = self.view.catch_up
        assert catch_up is not None
        self.hints.drop_expired()
        if now >= catch_up.expires_at:
            catch_up.previous = None
            if self.store.unowned_counts and not self.store.unplaced_ranges:
                self.store.drop_unowned()
                self.hints.cancel_all_handoffs()

    def _publish_usage(self) -> None:
        self.usage.flush_received()
        for tenant in self.usage.pop_changed_tenants():
            self.hints.publish(f"u/{tenant}", self.usage.own_counters[tenant])

    # Shutdown

    def start_shutdown(self) -> None:
        """Compares with each co-owner once before the agent ends, and sends the records that it lacks."""
        self.anti_entropy.start_shutdown()
        self.hints.reset_pauses()
        self.hints.flush()

    @property
    def is_drained(self) -> bool:
        """Whether enough other owners have all records that this agent stores."""
        if self.view.ring is None:
            return True
        return self.hints.is_drained and not self.anti_entropy.shutdown_peers

    # Inspection

    def has_caught_up(self, key: str) -> bool:
        """Whether this agent's copy of a key may be read."""
        return self.view.has_caught_up(key)

    @property
    def is_caught_up(self) -> bool:
        """Whether this agent's copies of all keys that it owns may be read."""
        catch_up = self.view.catch_up
        return catch_up is not None and catch_up.complete_ranges(self.context.now) == ALL_RANGES

    @property
    def migrated_version(self) -> int:
        """The schema version in which all stored records are written."""
        return self.store.migrated_version

    def all_records(self) -> dict[str, Record]:
        """All stored records by key, in ascending order of keys."""
        return self.store.all_records()

    def owned_digest(self, peer: str = "") -> bytes:
        """A digest over all records that this agent owns; with `peer`, over those that both own."""
        return self.store.owned_digest(peer)

    def metrics(self) -> dict[str, int]:
        """The sizes of the replica's tables, by their names in the response of the admin port."""
        catch_up = self.view.catch_up
        pending = self.coordinator.pending.values()
        return {
            "records": len(self.store.records),
            "hints": len(self.hints.hints),
            "hints_for": len(self.hints.queues),
            "claims": sum(not operation.is_decided for operation in pending),
            "learning": len(self.owner.read_repair.pending),
            "caught_up": catch_up.complete_ranges(self.context.now).bit_count() if catch_up else 0,
            "comparing": len(self.anti_entropy.sessions),
            "old_form": self.store.old_form_count,
            "moved": self.migrated_version,
        }
