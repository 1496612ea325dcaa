"""Messages of the replication protocol: quorum operations, hinted handoff, anti-entropy and read repair.

This module owns the layout of the messages. Tags and the order of fields are on the wire and must never
change; the names of the fields aren't on the wire.

Records are bytes as record_codec.py writes them. Sets of ranges are bit masks, one bit for each of the
`catch_up.RANGE_COUNT` ranges of hashed keys.
"""

from typing import ClassVar

from msgspec import Struct


class ReplicationMessage(Struct, frozen=True, array_like=True):
    """The header of each request; the response repeats it."""

    DATAGRAM: ClassVar[bool] = False
    request_id: int
    """A number that is unique within an incarnation of the requester; 0 if it wants no response."""
    incarnation: int
    """The requester's incarnation."""
    epoch: int
    """The epoch of the ring by which the requester chose the recipient."""


class WriteRequest(ReplicationMessage, frozen=True, tag="r.claim"):
    """Writes an attempt record at an owner, or only reads, and requests the attempts stored before."""

    key: str
    attempt_id: str
    """The identifier of the attempt record to write; "" for a read."""
    record: bytes
    """The record that the owner merges; b"" for a read."""


class WriteResponse(ReplicationMessage, frozen=True, tag="r.told"):
    """The attempts that the owner had stored before. The requester merges them whatever the flags are."""

    written: bool
    """Whether the owner has the attempt record now."""
    caught_up: bool
    """Whether the owner has caught up with the key, so that its response counts for the read quorum."""
    full: bool
    """Whether a limit of the owner prevented the write."""
    record: bytes
    """The session without the attempt record that was written; b"" if that leaves nothing."""


class HintDelivery(ReplicationMessage, frozen=True, tag="r.give"):
    """Records for the recipient to merge."""

    records: tuple[tuple[str, bytes], ...]
    """Pairs of key and record."""


class HintAck(ReplicationMessage, frozen=True, tag="r.took"):
    """Acknowledges a delivery."""

    rejected: tuple[str, ...]
    """The keys of the records that the recipient couldn't merge."""


class DigestRequest(ReplicationMessage, frozen=True, tag="r.look"):
    """Begins an anti-entropy session."""

    combined_digest: bytes
    """A digest over the requester's digests, by range, of the records that both agents own."""


class DigestResponse(ReplicationMessage, frozen=True, tag="r.seen"):
    """The responder's digests, and the ranges in which it counts as a source of catch-up."""

    former_epoch: int
    """The epoch of the ring before the responder's present one; 0 if it doesn't know that ring."""
    former_ranges: int
    """Bit mask of the ranges that the responder had caught up with by the ring of `former_epoch`."""
    current_ranges: int
    """Bit mask of the ranges that the responder has caught up with by the present ring."""
    unowned_ranges: int
    """Bit mask of the ranges with records that the requester owns and the responder only stores."""
    knows_other_incarnation: bool
    """Whether the requester may have had another incarnation, as far as the responder knows."""
    range_digests: bytes
    """Digests by range, 8 bytes each; b"" if the combined digests are equal."""


class KeyListRequest(ReplicationMessage, frozen=True, tag="r.list"):
    """Requests a page of the keys of one range that the requester owns."""

    range_index: int
    after: str
    """The last key of the previous page; "" for the first page."""


class KeyListResponse(ReplicationMessage, frozen=True, tag="r.listed"):
    """A page of keys in ascending order."""

    entries: tuple[tuple[str, bytes], ...]
    """Pairs of a key and the first 8 bytes of its record's digest."""
    is_last_page: bool


class FetchRequest(ReplicationMessage, frozen=True, tag="r.fetch"):
    """Requests the records of keys."""

    keys: tuple[str, ...]


class FetchResponse(ReplicationMessage, frozen=True, tag="r.brought"):
    """The records of the first requested keys; a key that is missing here has expired."""

    count: int
    """The number of requested keys, from the first, that this responds to."""
    records: tuple[tuple[str, bytes], ...]
    """Pairs of key and record."""


class ReadRepairRequest(ReplicationMessage, frozen=True, tag="r.know"):
    """Requests a key's record from its other owners and former owners, for an owner that hasn't caught up."""

    key: str


class ReadRepairResponse(ReplicationMessage, frozen=True, tag="r.known"):
    """The responder's record under the key, and the rings by which it counts as a source for the key."""

    former_epoch: int
    """The epoch of the ring before the responder's present one; 0 if it doesn't know that ring."""
    caught_up_by_former: bool
    caught_up_by_current: bool
    record: bytes
    """The record; b"" if the responder stores none."""


class StaleEpoch(Struct, frozen=True, array_like=True, tag="r.past"):
    """Tells the sender of a request of an older epoch that there is a newer ring."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int


MESSAGE_TYPES = (
    WriteRequest,
    WriteResponse,
    HintDelivery,
    HintAck,
    DigestRequest,
    DigestResponse,
    KeyListRequest,
    KeyListResponse,
    FetchRequest,
    FetchResponse,
    ReadRepairRequest,
    ReadRepairResponse,
    StaleEpoch,
)
