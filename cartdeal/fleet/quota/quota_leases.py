"""Rate limits of tenants for the whole fleet: owners of a limit lease parts of it to the agents that use it.

The module connects the owner's side (owner.py) and the holder's side (holder.py) to the node, and sends their
messages. It must never serve from an expired lease, accept a response that it does not wait for, or grant a
part of a limit that another agent may still grant. All times are durations on the agent's own monotonic
clock.

Invariants: the number of a tenant's requests that all agents together serve in any t seconds is at most the
following, in any network partition and whichever agents restart or stop:

- schema version 2 (leases of rate and burst): burst + rate * t
- schema version 1 (whole tokens per period): rate * (t + 2 * period_s), plus one token for each owner because
  fractions are carried over
- a window that begins within one lease and one period after a rollback from version 2 to 1: the bound of
  version 1, plus burst

Where operator files differ in a limit, the greater rate and the greater burst hold. All files must give the
same lease_s, period_s, copies and clock_drift.

Liveness, when nothing fails: a tenant whose demand is steady, unevenly distributed and above its limit is
served at least nine tenths of its rate, if its burst is at least a tenth of a second of the rate and one
token for each owner.

A fresh fleet, an owner that restarted and an owner that is new in a ring grant nothing for a fence of a
little over two leases (4.3 s at a lease of 2 s), and begin with an empty bucket. Until then, requests for
which no other owner has tokens are denied with certain=False, and the operator's setting limit_doubt decides
on them.
"""

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.quota.holder import LeaseHolder, OnTokenDecision
from cartdeal.fleet.quota.messages import (
    MAX_TENANTS_PER_MESSAGE,
    LeaseRequestBatch,
    LeaseResponseBatch,
)
from cartdeal.fleet.quota.outbox import LeaseOutbox
from cartdeal.fleet.quota.owner import LeaseOwner
from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.settings import FleetSettings

MAX_LOCAL_MESSAGES_PER_EVENT = 16  # to this agent's own owner side; later messages wait for the next tick


class QuotaLeases:
    """Decides whether requests are within their tenants' limits.

    Args:
        context: clock, name, random source, counters, and sending to peers.
        settings: the operator's settings.
        on_token_decision: called once for each request_token(), as on_token_decision(ticket, ok, wait_s,
            certain). `ok`: the request may be served; if not, the client may retry in wait_s seconds.
            `certain` is False if no owner could be asked: none has answered for certain within one lease.
        has_valid_lease: whether the lease on the ring last given to on_ring_changed() is valid.
    """

    def __init__(
        self,
        context: NodeContext,
        settings: FleetSettings,
        on_token_decision: OnTokenDecision,
        has_valid_lease: Callable[[], bool],
    ) -> None:
        self.context = context
        self.incarnation = context.incarnation
        self.outbox = LeaseOutbox()
        self.owner = LeaseOwner(context, settings, has_valid_lease)
        self.holder = LeaseHolder(context, settings, self.outbox, self._send_pending, on_token_decision)
        self.served = self.holder.served  # requests by tenant

    # Events of the node

    def on_ring_changed(self, ring: Ring, former: Ring | None, since: float) -> None:
        """Adopts a new ring. The node calls this first in the event in which it learnt the ring.

        Args:
            ring: the ring in force from now on.
            former: the ring of the previous epoch, or None if that is unknown.
            since: the local time from which `ring` is in force.
        """
        self.owner.on_ring_changed(ring, former, since)
        self.holder.on_ring_changed(ring)

    def set_schema_version(self, version: int) -> None:
        """Sets the schema version that the fleet writes; each owner follows at the end of its period."""
        self.owner.set_schema_version(version)

    def update_limits(self, settings: FleetSettings) -> None:
        """Applies new limits and a new most_waiting; other settings stay.

        A lower limit applies at once to new grants; earlier leases run until they expire. While owners have
        different limits, the tenant gets a mix of them, and never more than the greater one.
        """
        updated = replace(self.holder.settings, limits=settings.limits, most_waiting=settings.most_waiting)
        self.holder.settings = updated
        self.owner.update_limits(updated)

    def return_all_leases(self) -> None:
        """Returns all leases held here. Later requests are served by single tokens."""
        self.holder.return_all_leases()

    def request_token(self, ticket: int, tenant: str, deadline: float) -> None:
        """Asks whether one request of this tenant may be served; on_token_decision() answers.

        Args:
            ticket: identifies the request in the answer.
            tenant: whose limit it counts against; one without a limit is always served.
            deadline: the local time until which the request may wait.
        """
        self.holder.request_token(ticket, tenant, deadline)

    def on_message(self, sender: str, message: LeaseRequestBatch | LeaseResponseBatch) -> None:
        """Handles a message of a peer."""
        self._receive(sender, message)
        self._send_pending()

    def tick(self) -> None:
        """Handles all that is due at the current time; called every tick_s."""
        now = self.context.now
        self.owner.confirm_ring(now)
        self.holder.on_tick(now)
        self.owner.remove_idle_accounts(now)
        self._send_pending()

    def metrics(self) -> dict[str, Any]:
        """Returns by tenant what is leased, what is left to lease, and the requests that were denied."""
        return {**self.owner.metrics(), "denied": dict(self.holder.denied)}

    # Messages

    def _send_pending(self) -> None:
        """Sends the outbox: to each owner one message, or several if it has too many tenants for one."""
        local_messages = 0
        while self.outbox:
            owner = self.outbox.next_owner()
            local_messages += owner == self.context.name
            if local_messages > MAX_LOCAL_MESSAGES_PER_EVENT:
                # A response of this agent's owner side may cause another request; the limit ends the event.
                self.context.increment(Metric.OWN_REQUESTS_DEFERRED)
                return
            requests, returns = self.outbox.pop(owner)
            if owner == self.context.name:
                owner_incarnation = self.incarnation
            else:
                owner_incarnation = self.holder.owner_incarnations.get(owner, 0)
            for start in range(0, max(len(requests), len(returns)), MAX_TENANTS_PER_MESSAGE):
                end = start + MAX_TENANTS_PER_MESSAGE
                batch = LeaseRequestBatch(
                    incarnation=self.incarnation,
                    owner_incarnation=owner_incarnation,
                    requests=tuple(requests[start:end]),
                    returns=tuple(returns[start:end]),
                )
                self._send(owner, batch)

    def _send(self, recipient: str, message: LeaseRequestBatch | LeaseResponseBatch) -> None:
        """Sends a message; a message to this agent itself is received at once."""
        if recipient == self.context.name:
            self._receive(recipient, message)
        else:
            self.context.send(recipient, message)

    def _receive(self, sender: str, message: LeaseRequestBatch | LeaseResponseBatch) -> None:
        now = self.context.now
        if isinstance(message, LeaseResponseBatch):
            self.holder.on_batch(sender, message, now)
            return
        responses = self.owner.on_batch(sender, message, now)
        if responses:
            self._send(sender, LeaseResponseBatch(self.incarnation, message.incarnation, responses))
