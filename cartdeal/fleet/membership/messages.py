"""The messages of the membership protocol: an agent's self-description, gossip, probes and state exchange.

Tags and the order of fields are the wire format and must never change. The decoder checks only the types of
received values; `is_valid_peer` and `are_valid_items` check their ranges.
"""

from enum import IntEnum
from typing import ClassVar

from msgspec import Struct

MAX_NAME_BYTES = 64  # of an agent's name or a zone's name
MAX_ADDRESS_BYTES = 128
MAX_GOSSIP_ITEMS = 64  # in one message
MAX_ACCUSERS = 4  # accusers stored and disseminated for one suspect


class PeerState(IntEnum):
    """The state of a peer in an agent's table; at equal versions, the higher state overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Peer(Struct, frozen=True, array_like=True):
    """An agent's description of itself, with its state as the sender of the description knows it.

    The agent raises `version` at each change and refutation, and `incarnation` at each start.
    """

    name: str
    address: str  # "host:port"
    incarnation: int
    version: int
    state: int  # a PeerState; is_valid_peer() rejects other numbers
    zone: str
    capacity: float
    reads: tuple[int, int]  # the lowest and highest schema version that its program can read
    migrated_version: int  # the schema version of all records that it stores
    caught_up_epoch: int = 0  # the last epoch for which its catch-up is complete


class GossipItem(Struct, frozen=True, array_like=True):
    """A peer's entry in the table of the sender of the gossip.

    `accusers` names the agents whose own probes of the peer failed or whose own suspicion of it timed out.
    """

    peer: Peer
    accusers: tuple[str, ...] = ()


class MembershipMessage(Struct, frozen=True, array_like=True, kw_only=True):
    """The base of all messages: the last two fields are the sender's description of itself, and gossip."""

    DATAGRAM: ClassVar[bool] = True
    sender: Peer
    items: tuple[GossipItem, ...]


class Ping(MembershipMessage, frozen=True, tag="m.ping"):
    """A probe; the receiver answers with an Ack of the same number."""

    number: int


class Ack(MembershipMessage, frozen=True, tag="m.ack"):
    """The answer to a Ping by its target, or to a PingRequest by a helper whose own ping was answered."""

    number: int


class Nack(MembershipMessage, frozen=True, tag="m.nack"):
    """The answer to a PingRequest by a helper that is reachable but has not reached the target itself."""

    number: int


class PingRequest(MembershipMessage, frozen=True, tag="m.ask"):
    """Asks a helper to ping `target` on the sender's behalf."""

    number: int
    target: str


class DigestExchange(MembershipMessage, frozen=True, tag="m.compare"):
    """The digests of all buckets of the peer table; the receiver pushes the buckets that differ.

    An agent also joins the fleet by sending it to the seeds. `answer` is true if the message answers another
    DigestExchange; the receiver then sends no digests back.
    """

    digests: bytes
    answer: bool


class StatePush(MembershipMessage, frozen=True, tag="m.pieces"):
    """Entries of the peer table, or the entry of the recipient as a warning that it is suspected."""


MESSAGE_TYPES = (Ping, Ack, Nack, PingRequest, DigestExchange, StatePush)


def is_valid_peer(peer: Peer) -> bool:
    """Return whether each field is in its range; a NaN capacity is not."""
    lowest, highest = peer.reads
    return (
        0 < len(peer.name.encode()) <= MAX_NAME_BYTES
        and len(peer.address.encode()) <= MAX_ADDRESS_BYTES
        and len(peer.zone.encode()) <= MAX_NAME_BYTES
        and 0 <= peer.incarnation < 1 << 62
        and 0 <= peer.version < 1 << 40
        and 0 <= peer.state <= PeerState.LEFT
        and 0 < peer.capacity <= 1e6
        and 0 < lowest <= highest <= 1_000
        and 0 <= peer.migrated_version <= 1_000
        and 0 <= peer.caught_up_epoch < 1 << 53
    )


def are_valid_items(items: tuple[GossipItem, ...]) -> bool:
    """Return whether a message's gossip items are valid and neither they nor their accusers are too many."""
    return len(items) <= MAX_GOSSIP_ITEMS and all(
        is_valid_peer(item.peer)
        and len(item.accusers) <= MAX_ACCUSERS
        and all(0 < len(name.encode()) <= MAX_NAME_BYTES for name in item.accusers)
        for item in items
    )
