"""Dissemination: updates of peers are piggybacked on messages, each a bounded number of times (SWIM)."""

from collections.abc import Callable
from heapq import nsmallest
from math import ceil, log2
from typing import NamedTuple

from msgspec import msgpack

from cartdeal.fleet.context import NodeContext
from cartdeal.fleet.membership.messages import (
    MAX_GOSSIP_ITEMS,
    GossipItem,
    MembershipMessage,
    PeerState,
    StatePush,
)
from cartdeal.fleet.membership.peer_table import PeerTable

MAX_MESSAGE_BYTES = 1_100  # without the envelope
ARRAY_HEADER_BYTES = 2  # MessagePack's header of a long array is this much longer than that of an empty one
RETRANSMIT_FACTOR = 3  # an update is sent at most this many times log2 of the fleet's size


class ItemPacker:
    """Collects gossip items for one message, up to MAX_MESSAGE_BYTES and MAX_GOSSIP_ITEMS."""

    def __init__(self, empty_message: MembershipMessage):
        self.items: list[GossipItem] = []
        self._room_bytes: int = MAX_MESSAGE_BYTES - len(msgpack.encode(empty_message)) - ARRAY_HEADER_BYTES

    def add(self, item: GossipItem) -> None:
        """Add an item without checking whether it fits."""
        self.items.append(item)
        self._room_bytes -= len(msgpack.encode(item))

    def add_if_fits(self, item: GossipItem) -> bool:
        """Add an item if it fits, and return whether it was added."""
        size_bytes = len(msgpack.encode(item))
        if size_bytes > self._room_bytes or len(self.items) >= MAX_GOSSIP_ITEMS:
            return False
        self._room_bytes -= size_bytes
        self.items.append(item)
        return True


class GossipPriority(NamedTuple):
    """The order of updates: the one sent least often is first; of equals, the newest is first."""

    times_sent: int
    negated_sequence: int


class Gossip:
    """Sends the membership's messages and piggybacks updates of peers on them."""

    def __init__(self, context: NodeContext, table: PeerTable):
        self.context = context
        self.table = table
        self.pending_updates: dict[str, GossipPriority] = {}  # by name of the changed peer
        self._sequence: int = 0

    def announce(self, name: str) -> None:
        """Queue the peer's entry for dissemination, because it has changed."""
        self._sequence += 1
        self.pending_updates[name] = GossipPriority(0, -self._sequence)

    def forget(self, name: str) -> None:
        """Drop the update of a peer."""
        self.pending_updates.pop(name, None)

    def send(
        self, recipient: str, make_message: Callable[..., MembershipMessage], *fields: object, about: str = ""
    ) -> None:
        """Send a message with as much gossip as fits.

        The recipient's entry comes first if the recipient is suspect, dead or has left, so that the recipient
        can refute that state. The entry of the peer `about` comes next, then the pending updates.
        """
        local_peer = self.table.local_peer
        packer = ItemPacker(make_message(*fields, sender=local_peer, items=()))
        peers = self.table.peers
        required_names = (
            [recipient] if recipient in peers and peers[recipient].state != PeerState.ALIVE else []
        )
        required_names += [about] if about in peers else []
        for name in required_names:
            packer.add(self.table.gossip_item(name))
        self._add_updates(packer, {self.table.name, *required_names})
        self.context.send(recipient, make_message(*fields, sender=local_peer, items=tuple(packer.items)))

    def send_items(self, recipient: str, items: tuple[GossipItem, ...]) -> None:
        """Send these entries of the table and no other gossip."""
        self.context.send(recipient, StatePush(sender=self.table.local_peer, items=items))

    def _add_updates(self, packer: ItemPacker, included_names: set[str]) -> None:
        max_transmissions = RETRANSMIT_FACTOR * ceil(log2(self.table.size() + 1))
        for name in nsmallest(MAX_GOSSIP_ITEMS, self.pending_updates, key=self.pending_updates.__getitem__):
            priority = self.pending_updates[name]
            if name not in included_names:
                if not packer.add_if_fits(self.table.gossip_item(name)):
                    continue
            # This agent's entry needs no item, as each message carries it as `sender`, but it counts as sent.
            elif name != self.table.name:
                continue
            times_sent = priority.times_sent + 1
            self.pending_updates[name] = GossipPriority(times_sent, priority.negated_sequence)
            if times_sent >= max_transmissions:
                del self.pending_updates[name]
