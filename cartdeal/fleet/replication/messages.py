"""Messages of the replication protocol: quorum operations, hinted handoff, anti-entropy and read repair.

It owns the messages' layout. Tags and the order of fields are on the wire and must never change; the names
of the fields aren't.

Record values are bytes as record_codec.py writes them. Sets of ranges are bit masks, one bit for each of the
`catch_up.RANGE_COUNT` ranges of hashed keys.
"""

from typing import ClassVar

from msgspec import Struct


class ReplicationMessage(Struct, frozen=True, array_like=True):
    """The header of each request, which its response repeats."""

    DATAGRAM: ClassVar[bool] = False
    request_id: int
    """Unique within an incarnation of the requester; 0 where no response is wanted."""
    incarnation: int
    """Of the requester."""
    epoch: int
    """Of the ring by which the requester chose the recipient."""


class WriteRequest(ReplicationMessage, frozen=True, tag="r.claim"):
    """Writes an attempt record at an owner, or only reads, and asks what the owner had before."""

    key: str
    attempt_id: str
    """Identifies the attempt record that is written; "" for a read."""
    record: bytes
    """What the owner merges; b"" for a read."""


class WriteResponse(ReplicationMessage, frozen=True, tag="r.told"):
    """What the owner had; the record counts as known whatever the flags say."""

    written: bool
    """Whether the owner has the attempt record now."""
    caught_up: bool
    """Whether the owner counts as one that answers, so that the record may count for the read quorum."""
    full: bool
    """Whether a limit of the owner kept it from writing."""
    record: bytes
    """Without the attempt record that was written; b"" for none."""


class HintDelivery(ReplicationMessage, frozen=True, tag="r.give"):
    """Records for the recipient to merge."""

    records: tuple[tuple[str, bytes], ...]
    """Key and record."""


class HintAck(ReplicationMessage, frozen=True, tag="r.took"):
    """All records of a delivery were taken in, but for some."""

    rejected: tuple[str, ...]
    """Keys whose records weren't taken in."""


class DigestRequest(ReplicationMessage, frozen=True, tag="r.look"):
    """Begins an anti-entropy session."""

    combined_digest: bytes
    """Over the requester's digests, by range, of the records that both own."""


class DigestResponse(ReplicationMessage, frozen=True, tag="r.seen"):
    """The recipient's digests, and for which ranges it counts as a source of catch-up."""

    former_epoch: int
    """Epoch of the ring before the recipient's, if it knows it; else 0."""
    former_ranges: int
    """Mask of the ranges that it had caught up with by the ring of `former_epoch`."""
    current_ranges: int
    """Mask of the ranges that it has caught up with by the present ring."""
    unowned_ranges: int
    """Mask of the ranges in which it has records that it no longer owns and the requester does."""
    knows_other_incarnation: bool
    """Whether it has met another incarnation of the requester."""
    range_digests: bytes
    """Digests by range, 8 bytes each; b"" where the combined digests are equal."""


class KeyListRequest(ReplicationMessage, frozen=True, tag="r.list"):
    """Asks for a page of the keys of one range that the requester owns."""

    range_index: int
    after: str
    """The last key of the page before; "" for the first page."""


class KeyListResponse(ReplicationMessage, frozen=True, tag="r.listed"):
    """A page of keys, in order."""

    entries: tuple[tuple[str, bytes], ...]
    """Key and the first 8 bytes of its record's digest."""
    is_last_page: bool


class FetchRequest(ReplicationMessage, frozen=True, tag="r.fetch"):
    """Asks for the records of these keys."""

    keys: tuple[str, ...]


class FetchResponse(ReplicationMessage, frozen=True, tag="r.brought"):
    """The records of the first of the keys asked for; keys without a record have expired."""

    count: int
    """How many keys, from the first, this responds to."""
    records: tuple[tuple[str, bytes], ...]
    """Key and record."""


class ReadRepairRequest(ReplicationMessage, frozen=True, tag="r.know"):
    """An owner that hasn't caught up with a key asks its former owners, and the others."""

    key: str


class ReadRepairResponse(ReplicationMessage, frozen=True, tag="r.known"):
    """What the recipient has under the key, and by which rings it counts as a source for it."""

    former_epoch: int
    """Epoch of the ring before the recipient's, if it knows it; else 0."""
    caught_up_by_former: bool
    caught_up_by_current: bool
    record: bytes
    """b"" for none."""


class StaleEpoch(Struct, frozen=True, array_like=True, tag="r.past"):
    """Tells one that asks by an older epoch that there is a newer ring."""

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
