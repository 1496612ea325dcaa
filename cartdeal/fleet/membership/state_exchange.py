"""State exchange: two peers compare digests of their tables, and push the buckets that differ to each other.

The exchange repairs lost gossip, lets agents join the fleet, and reconnects to dead peers after a partition.
"""

from hashlib import blake2b
from math import inf

from msgspec import Struct

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.membership.gossip import Gossip, ItemPacker
from cartdeal.fleet.membership.local_health import LocalHealth
from cartdeal.fleet.membership.messages import MAX_GOSSIP_ITEMS, DigestExchange, PeerState, StatePush
from cartdeal.fleet.membership.peer_table import TABLE_BUCKETS, PeerTable, bucket_of
from cartdeal.fleet.membership.randomness import jitter, sample
from cartdeal.fleet.membership.suspicion import INDIRECT_PROBES
from cartdeal.fleet.metrics import Metric
from cartdeal.fleet.settings import FleetSettings

DIGEST_BYTES = 4  # for each bucket of the table
DIGEST_EXCHANGE_INTERVAL_S = 5.0
RECONNECT_INTERVAL_S = 2.0  # between two attempts to reach a dead peer or an absent seed
MIN_JOIN_RETRY_S = 0.25  # between two attempts to join through the seeds; doubled after each
MAX_JOIN_RETRY_S = 4.0
MAX_PENDING_PUSHES = 1024  # recipients
MAX_PUSHES_PER_TICK = 2


class PendingPush(Struct):
    """The entries that are still to be pushed to one peer.

    Names are stored only for the bucket in progress, so that pushes of the whole table to many peers need
    little memory.
    """

    buckets: list[int]  # the buckets that are not started yet
    names: list[str]  # the remaining names of the bucket in progress


class StateExchange:
    """Starts and answers digest exchanges, and pushes the buckets that differ."""

    def __init__(
        self,
        context: NodeContext,
        settings: FleetSettings,
        table: PeerTable,
        gossip: Gossip,
        health: LocalHealth,
    ):
        self.context = context
        self.settings = settings
        self.table = table
        self.gossip = gossip
        self.health = health
        self.pending_pushes: dict[str, PendingPush] = {}  # by recipient; the next one is first
        self.compare_at: float = inf
        self._reconnect_at: float = inf
        self._join_retry_s: float = MIN_JOIN_RETRY_S

    def start(self, now: float) -> None:
        """Contact the seeds at the next tick, and exchange digests periodically from then on."""
        self._reconnect_at = now
        self.compare_at = now + DIGEST_EXCHANGE_INTERVAL_S * jitter(self.context.random)

    def tick(self, now: float) -> None:
        """Contact seeds and dead peers, and send digests to a random live peer, whichever is due."""
        if now >= self._reconnect_at:
            self._reconnect(now)
        if now >= self.compare_at:
            self.compare_at = now + DIGEST_EXCHANGE_INTERVAL_S * jitter(self.context.random)
            for name in sample(self.context.random, self.table.others(PeerState.ALIVE), 1):
                self.send_digests(name)

    def send_digests(self, recipient: str) -> None:
        """Send a peer the digests of the table, which it compares with its own."""
        self.gossip.send(recipient, DigestExchange, self._digests(), False)

    def on_digest_exchange(self, sender: str, message: DigestExchange) -> None:
        """Push the buckets that differ, and send the own digests unless the message answers them."""
        if len(message.digests) != TABLE_BUCKETS * DIGEST_BYTES:
            self.context.increment(Metric.DROPPED_OUT_OF_RANGE)
            return
        digests = self._digests()
        differing_buckets = [
            bucket
            for bucket in range(TABLE_BUCKETS)
            if _digest_of(bucket, digests) != _digest_of(bucket, message.digests)
        ]
        if not differing_buckets:
            return
        if not message.answer:
            self.gossip.send(sender, DigestExchange, digests, True)
        if sender not in self.pending_pushes and len(self.pending_pushes) >= MAX_PENDING_PUSHES:
            self.context.increment(Metric.DROPPED_DIGEST_EXCHANGES)  # the sender will compare again
            return
        self.pending_pushes[sender] = PendingPush(differing_buckets, [])
        self._push_state(sender)

    def push_pending(self) -> None:
        """Push the next entries to the peers that have waited longest, MAX_PUSHES_PER_TICK in each tick."""
        for name in list(self.pending_pushes)[:MAX_PUSHES_PER_TICK]:
            self._push_state(name)

    def reset_after_pause(self) -> None:
        """Drop the pending pushes, because a pause of this agent's process has made them outdated."""
        self.pending_pushes.clear()

    def forget(self, name: str) -> None:
        """Drop the pending push to this peer."""
        self.pending_pushes.pop(name, None)

    def _reconnect(self, now: float) -> None:
        random = self.context.random
        live_peers = self.table.live_peers()
        absent_seeds = [
            name for name in self.settings.seeds if name != self.table.name and name not in live_peers
        ]
        if not self.health.has_heard_peer:
            names = sample(random, absent_seeds, INDIRECT_PROBES)
            self._reconnect_at = now + self._join_retry_s * jitter(random)
            self._join_retry_s = min(2 * self._join_retry_s, MAX_JOIN_RETRY_S)
        else:
            peers = self.table.peers
            dead = [name for name in self.table.forget_at if peers[name].state == PeerState.DEAD]
            names = sample(random, list(dict.fromkeys(dead + absent_seeds)), 1)
            self._reconnect_at = now + RECONNECT_INTERVAL_S * jitter(random)
        for name in names:
            self.send_digests(name)

    def _digests(self) -> bytes:
        """Return the digests of all buckets, DIGEST_BYTES each, over the live peers in them."""
        bucket_entries: list[list[str]] = [[] for _ in range(TABLE_BUCKETS)]
        for name, peer in self.table.live_peers().items():
            bucket_entries[bucket_of(name)].append(f"{name}\0{peer.incarnation}\0{peer.version}\n")
        return b"".join(
            blake2b("".join(entries).encode(), digest_size=DIGEST_BYTES).digest()
            for entries in bucket_entries
        )

    def _push_state(self, recipient: str) -> None:
        """Push as many entries as fit in one message; the rest goes to the end of the queue."""
        pending = self.pending_pushes.pop(recipient)
        packer = ItemPacker(StatePush(sender=self.table.local_peer, items=()))
        while (pending.names or pending.buckets) and len(packer.items) < MAX_GOSSIP_ITEMS:
            if not pending.names:
                bucket = pending.buckets.pop()
                pending.names = [name for name in self.table.peers if bucket_of(name) == bucket]
                continue
            name = pending.names[-1]
            if name in self.table.peers and not packer.add_if_fits(self.table.gossip_item(name)):
                break
            pending.names.pop()
        if pending.names or pending.buckets:
            self.pending_pushes[recipient] = pending
        self.gossip.send_items(recipient, tuple(packer.items))


def _digest_of(bucket: int, digests: bytes) -> bytes:
    return digests[bucket * DIGEST_BYTES :][:DIGEST_BYTES]
