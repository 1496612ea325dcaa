"""Counts of the requests that this agent served for each tenant, and received counts to merge once a second.

This module owns this agent's own counts. It must never lose one, unless there are too many tenants: then it
drops the count of the tenant that was served longest ago.
"""

from cartdeal.fleet.replication import records
from cartdeal.fleet.replication.record_store import RecordStore
from cartdeal.fleet.replication.records import Record, Session, UsageCounter
from cartdeal.fleet.replication.ring_view import RingView

OWN_PERIODS = 3  # periods for which this agent keeps its own counts


class UsageCounters:
    """Counts of served requests by tenant."""

    def __init__(self, view: RingView, store: RecordStore) -> None:
        self.view = view
        self.store = store
        self.own_counters: dict[str, UsageCounter] = {}  # by tenant
        self.changed_tenants: dict[str, None] = {}  # tenants with unpublished counts
        self.received_counters: dict[str, UsageCounter] = {}  # by key, to be merged into the store

    def count(self, tenant: str, period: int, served: int) -> None:
        """Adds requests that this agent served for a tenant in a period."""
        counter_id = (self.view.name, self.view.incarnation, period)
        former = self.own_counters.pop(tenant, UsageCounter()).served_counts
        counts = {each: count for each, count in former.items() if each[2] > period - OWN_PERIODS}
        counts[counter_id] = counts.get(counter_id, 0) + served
        self.own_counters[tenant] = UsageCounter(counts)
        if len(self.own_counters) > self.view.settings.most_records:
            del self.own_counters[next(iter(self.own_counters))]
        self.changed_tenants[tenant] = None

    def merge_received(self, key: str, record: Record) -> bool:
        """Merges a received record into the store; a known tenant's counter is merged by flush_received.

        Returns:
            False if the store has no room for the record.
        """
        is_new = key not in self.store.records
        if (
            isinstance(record, Session)
            or is_new
            or len(self.received_counters) >= self.view.settings.most_waiting
        ):
            return self.store.merge(key, record)
        known = self.received_counters.get(key)
        merged = records.merge(known, record) if known is not None else record
        assert isinstance(merged, UsageCounter)
        self.received_counters[key] = merged
        return True

    def flush_received(self) -> None:
        """Merges the counters received since the last call into the store."""
        received_counters, self.received_counters = self.received_counters, {}
        for key, counter in received_counters.items():
            if self.view.owns(key):
                self.store.merge(key, counter)

    def pop_changed_tenants(self) -> list[str]:
        """The tenants whose counts have grown since the last call."""
        changed_tenants, self.changed_tenants = self.changed_tenants, {}
        return [tenant for tenant in changed_tenants if tenant in self.own_counters]
