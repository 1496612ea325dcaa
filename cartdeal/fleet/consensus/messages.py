"""The messages of the consensus on the ring of each epoch."""

from enum import StrEnum
from typing import ClassVar

from msgspec import Struct

from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.ring.steps import RingStep

NOT_HEARD = 255  # the age, in LeaseRenewalAck, of a member without a confirmation within lease_s
MAX_BALLOT_NUMBER = 1 << 40


class RefusalReason(StrEnum):
    """Why an acceptor refuses a ballot."""

    OLDER_BALLOT = "older"  # the acceptor has promised a higher ballot
    MEMBER_IS_LIVE = "live"  # the ballot would remove a member that is alive in the acceptor's table
    RECENTLY_STARTED = "forgot"  # a promise that the acceptor made before its restart may still count


class RingMessage(Struct, frozen=True, array_like=True):
    """The base of most messages: its fields identify the sender's ring."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int  # 0 if the sender has no ring
    ring_digest: bytes


class RingQuery(RingMessage, frozen=True, tag="e.ask", array_like=True):
    """Asks the receiver for its ring."""


class EpochAnnouncement(RingMessage, frozen=True, tag="e.has", array_like=True):
    """Announces the sender's ring by its epoch and digest."""


class RingUpdate(Struct, frozen=True, tag="e.next", array_like=True):
    """A decided ring, as the step from the ring of the previous epoch."""

    DATAGRAM: ClassVar[bool] = False
    step: RingStep


class RingSnapshot(Struct, frozen=True, tag="e.whole", array_like=True):
    """A decided ring, as the ring of the previous epoch and the step from it."""

    DATAGRAM: ClassVar[bool] = False
    previous_ring: Ring
    step: RingStep


class Prepare(RingMessage, frozen=True, tag="e.prepare", array_like=True):
    """Phase 1a: opens the sender's ballot for the epoch after its current one."""

    number: int
    removed: tuple[str, ...]  # the members that the proposal would remove from the ring


class Promise(RingMessage, frozen=True, tag="e.promise", array_like=True):
    """Phase 1b: the sender promises to take part in no lower ballot from now on."""

    number: int
    ballot: tuple[int, str] | None  # the ballot of the step that it accepted; None if it accepted none
    step: RingStep | None


class Nack(RingMessage, frozen=True, tag="e.refuse", array_like=True):
    """The sender refuses to take part in the ballot."""

    number: int
    promised_number: int  # the highest ballot number that the sender has promised
    reason: str  # a RefusalReason


class Accept(RingMessage, frozen=True, tag="e.accept", array_like=True):
    """Phase 2a: asks the receiver to accept the step of this ballot."""

    number: int
    step: RingStep


class Accepted(RingMessage, frozen=True, tag="e.accepted", array_like=True):
    """Phase 2b: the sender has accepted the step of this ballot."""

    number: int


class LeaseRenewal(RingMessage, frozen=True, tag="e.vouch", array_like=True):
    """Asks the receiver to confirm that this is its epoch and that it has accepted no step beyond it."""

    round: int


class LeaseRenewalAck(RingMessage, frozen=True, tag="e.vouched", array_like=True):
    """Reports how long ago each member last confirmed the epoch, as far as the sender knows."""

    round: int
    unit_ms: int  # the unit of `ages`
    # A byte for each member in the ring's order, by the sender's clock, rounded up; 255 is NOT_HEARD.
    ages: bytes


MESSAGE_TYPES = (
    RingQuery,
    EpochAnnouncement,
    RingUpdate,
    RingSnapshot,
    Prepare,
    Promise,
    Nack,
    Accept,
    Accepted,
    LeaseRenewal,
    LeaseRenewalAck,
)
