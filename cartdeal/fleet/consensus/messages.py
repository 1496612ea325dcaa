"""The messages by which agents agree on the ring of each epoch."""

from enum import StrEnum
from typing import ClassVar

from msgspec import Struct

from cartdeal.fleet.ring.ring import Ring
from cartdeal.fleet.ring.steps import RingStep

NOT_HEARD = 255  # an age in LeaseRenewalAck: not heard of within the lease
MAX_BALLOT_NUMBER = 1 << 40


class RefusalReason(StrEnum):
    """Why an acceptor refuses a ballot."""

    OLDER_BALLOT = "older"  # it has promised a higher one
    MEMBER_IS_LIVE = "live"  # the ballot would remove a member that it sees alive
    RECENTLY_STARTED = "forgot"  # what it promised before its restart may still count


class RingMessage(Struct, frozen=True, array_like=True):
    """The header of most messages: the sender's ring."""

    DATAGRAM: ClassVar[bool] = False
    epoch: int  # 0: none
    ring_digest: bytes


class RingQuery(RingMessage, frozen=True, tag="e.ask", array_like=True):
    """Asks for the receiver's ring."""


class EpochAnnouncement(RingMessage, frozen=True, tag="e.has", array_like=True):
    """Says which ring the sender has."""


class RingUpdate(Struct, frozen=True, tag="e.next", array_like=True):
    """A decided ring, as the step from the ring of the epoch before."""

    DATAGRAM: ClassVar[bool] = False
    step: RingStep


class RingSnapshot(Struct, frozen=True, tag="e.whole", array_like=True):
    """A decided ring, as the ring before and the step from it."""

    DATAGRAM: ClassVar[bool] = False
    previous_ring: Ring
    step: RingStep


class Prepare(RingMessage, frozen=True, tag="e.prepare", array_like=True):
    """Phase 1a: the sender's ballot for the epoch after its own."""

    number: int
    removed: tuple[str, ...]  # the members that the proposal would remove


class Promise(RingMessage, frozen=True, tag="e.promise", array_like=True):
    """Phase 1b: the sender takes part in no ballot below this one from now on."""

    number: int
    ballot: tuple[int, str] | None  # by which it accepted `step`; None: it has accepted nothing yet
    step: RingStep | None


class Nack(RingMessage, frozen=True, tag="e.refuse", array_like=True):
    """The sender takes no part in the ballot."""

    number: int
    promised_number: int  # the highest that it has promised
    reason: str  # a RefusalReason


class Accept(RingMessage, frozen=True, tag="e.accept", array_like=True):
    """Phase 2a: asks to accept the step."""

    number: int
    step: RingStep


class Accepted(RingMessage, frozen=True, tag="e.accepted", array_like=True):
    """Phase 2b: the sender has accepted the step of this ballot."""

    number: int


class LeaseRenewal(RingMessage, frozen=True, tag="e.vouch", array_like=True):
    """Asks whether this is still the receiver's epoch and whether it has accepted none higher."""

    round: int


class LeaseRenewalAck(RingMessage, frozen=True, tag="e.vouched", array_like=True):
    """Says when each member was heard to confirm the epoch."""

    round: int
    unit_ms: int  # of the ages
    ages: bytes  # a byte a member, in the ring's order, by the sender's clock, rounded up; 255: NOT_HEARD


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
