"""The messages of the membership protocol: what an agent tells of itself, gossip, probes and state exchange.

Tags and the order of fields are the wire format and must never change. Whether received values are in
their range is checked by `is_valid_peer` and `are_valid_items`, since a decoder checks types alone.
"""

from enum import IntEnum
from typing import ClassVar

from msgspec import Struct

MAX_NAME_BYTES = 64  # of a name, and of a zone
MAX_ADDRESS_BYTES = 128
MAX_GOSSIP_ITEMS = 64  # in one message
MAX_ACCUSERS = 4  # remembered and passed on for one suspect


class PeerState(IntEnum):
    """What is held of a peer; of equal versions, the higher state overrides the lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Peer(Struct, frozen=True, array_like=True):
    """An agent's description of itself, with the state in which others hold it.

    `version` is raised at each change and refutation, `incarnation` at each start of the agent.
    """

    name: str
    address: str  # "host:port"
    incarnation: int
    version: int
    state: int  # a PeerState, unless is_valid_peer() refuses it
    zone: str
    capacity: float
    reads: tuple[int, int]  # the lowest and highest schema version that its program can read
    migrated_version: int  # the schema version of everything that it stores
    caught_up_epoch: int = 0  # the last epoch for which it has caught up on all its records


class GossipItem(Struct, frozen=True, array_like=True):
    """A peer as the sender of the gossip knows it.

    `accusers` are those whose own probes of it failed, or who have waited out their own suspicion.
    """

    peer: Peer
    accusers: tuple[str, ...] = ()


class MembershipMessage(Struct, frozen=True, array_like=True, kw_only=True):
    """The last two fields of each message: its sender's description of itself, and gossip."""

    DATAGRAM: ClassVar[bool] = True
    sender: Peer
    items: tuple[GossipItem, ...]


class Ping(MembershipMessage, frozen=True, tag="m.ping"):
    """A probe, answered by an Ack of the same number."""

    number: int


class Ack(MembershipMessage, frozen=True, tag="m.ack"):
    """Answer to a Ping by its target, or to a PingRequest by a helper that has reached the target."""

    number: int


class Nack(MembershipMessage, frozen=True, tag="m.nack"):
    """Answer to a PingRequest by a helper that is well, but has not reached the target."""

    number: int


class PingRequest(MembershipMessage, frozen=True, tag="m.ask"):
    """Asks a helper to ping `target` on the sender's behalf."""

    number: int
    target: str


class DigestExchange(MembershipMessage, frozen=True, tag="m.compare"):
    """Digests of the parts of the peer table; the receiver pushes the parts that differ.

    An agent also joins by it. `answer`: whether it answers another one, and is not answered itself.
    """

    digests: bytes
    answer: bool


class StatePush(MembershipMessage, frozen=True, tag="m.pieces"):
    """Entries of the peer table, or a warning to a suspect."""


MESSAGE_TYPES = (Ping, Ack, Nack, PingRequest, DigestExchange, StatePush)


def is_valid_peer(peer: Peer) -> bool:
    """Return whether each field is in its range (nan is in none)."""
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
    """Return whether the gossip of a message is within its bounds and each item is valid."""
    return len(items) <= MAX_GOSSIP_ITEMS and all(
        is_valid_peer(item.peer)
        and len(item.accusers) <= MAX_ACCUSERS
        and all(0 < len(name.encode()) <= MAX_NAME_BYTES for name in item.accusers)
        for item in items
    )
