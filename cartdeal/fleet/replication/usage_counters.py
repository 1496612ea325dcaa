"""What this agent served of each tenant, and the counts of others that are merged once a second.

It owns this agent's own counts. It must never lose a count but the oldest tenant's when there are too many.
"""

from cartdeal.fleet.replication import records
from cartdeal.fleet.replication.record_store import RecordStore
from cartdeal.fleet.replication.records import Record, Session, UsageCounter
from cartdeal.fleet.replication.ring_view import RingView

OWN_PERIODS = 3  # of this agent's own counts


class UsageCounters:
    """Counts of use, by tenant."""

    def __init__(self, view: RingView, store: RecordStore) -> None:
        self.view = view
        self.store = store
        self.own: dict[str, UsageCounter] = {}  # by tenant
        self.changed: dict[str, None] = {}  # tenants whose own count grew since it was published
        self.received: dict[str, UsageCounter] = {}  # by key, to be merged into the store

    def count(self, tenant: str, period: int, served: int) -> None:
        """So many more requests were served in a period."""
        counter_id = (self.view.name, self.view.incarnation, period)
        former = self.own.pop(tenant, UsageCounter()).served_counts
        counts = {each: count for each, count in former.items() if each[2] > period - OWN_PERIODS}
        counts[counter_id] = counts.get(counter_id, 0) + served
        self.own[tenant] = UsageCounter(counts)
        if len(self.own) > self.view.settings.most_records:
            del self.own[next(iter(self.own))]
        self.changed[tenant] = None

    def take_in(self, key: str, record: Record) -> bool:
        """Merges a record into the store, or later where it is a known tenant's; False: there is no room."""
        is_new = key not in self.store.records
        if isinstance(record, Session) or is_new or len(self.received) >= self.view.settings.most_waiting:
            return self.store.merge(key, record)
        known = self.received.get(key)
        merged = records.merge(known, record) if known is not None else record
        assert isinstance(merged, UsageCounter)
        self.received[key] = merged
        return True

    def flush_received(self) -> None:
        """Merges what was received into the store."""
        received, self.received = self.received, {}
        for key, counter in received.items():
            if self.view.owns(key):
                self.store.merge(key, counter)

    def take_changed(self) -> list[str]:
        """The tenants whose counts are to be published."""
        changed, self.changed = self.changed, {}
        return [tenant for tenant in changed if tenant in self.own]
