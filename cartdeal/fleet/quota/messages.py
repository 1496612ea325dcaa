"""The messages of the token lease protocol, between the holder of a lease and the owner that grants it.

A holder sends batches of requests and returns, an owner answers with batches of responses. The protocol must
never depend on wall clocks: all times in messages are durations in seconds.
"""

from enum import IntEnum
from math import isfinite
from typing import ClassVar

from msgspec import Struct

MAX_TENANTS_PER_MESSAGE = 200  # more go in further messages
MAX_TOKENS = (
    1e9  # also the largest rate per second and the longest duration in seconds that a message may name
)


class GrantKind(IntEnum):
    """What an owner grants; the values are those on the wire."""

    NONE = 0
    PERIOD_TOKENS = 1  # whole tokens, valid in one period of the owner
    REFILL_RATE = 2  # a rate and a burst until the lease expires
    SINGLE_TOKEN = 3  # tokens for waiting requests, without a rate


class RequestMode(IntEnum):
    """Which grants a holder can use; the values are those on the wire."""

    ANY = 0
    INTEGER_TOKENS = 1  # the holder reads no fractions of tokens
    SINGLE_TOKEN = 2  # the holder is shutting down and wants no refill rate


class LeaseRequest(Struct, frozen=True, array_like=True):
    """A holder's request to one owner for one tenant; it also states what the holder still uses.

    `mode` is a plain int, so that a number of a later version does not make the whole message unreadable.
    """

    tenant: str
    sequence: int  # rises within the holder's incarnation
    lease_number: int = 0  # the one lease of this owner in use; 0: none, and none will be used again
    lease_cap: float = 0.0  # tokens that this lease can hold from now on
    interim_cap: float = 0.0  # tokens that it can hold until the response arrives
    returned_tokens: float = 0.0  # taken out of the lease and returned
    waiting_tokens: float = 0.0  # needed by requests that wait
    wanted_tokens: float = 0.0  # of use to the holder at once
    demand_rate: float = 0.0  # requests per second, this owner's part of them
    served_rate: float = 0.0  # requests per second that the holder served lately
    mode: int = RequestMode.ANY


class LeaseReturn(Struct, frozen=True, array_like=True):
    """Ends the use of all leases of one owner for one tenant."""

    tenant: str
    sequence: int
    lease_number: int
    tokens: float  # left in lease `lease_number`


class LeaseRequestBatch(Struct, frozen=True, array_like=True, tag="l.asks"):
    """All that a holder has to say to one owner."""

    DATAGRAM: ClassVar[bool] = False
    incarnation: int  # the holder's
    owner_incarnation: int  # that granted the leases which are named; 0: unknown
    requests: tuple[LeaseRequest, ...] = ()
    returns: tuple[LeaseReturn, ...] = ()


class LeaseResponse(Struct, frozen=True, array_like=True):
    """An owner's answer to the request with the same sequence."""

    tenant: str
    sequence: int
    certain: bool  # False: this agent can't grant, or can't be sure that it may
    lease_number: int = 0
    kind: int = GrantKind.NONE  # a plain int, see LeaseRequest
    rate: float = 0.0  # tokens per second
    burst: float = 0.0  # tokens that the lease can hold
    tokens: float = 0.0  # granted at once
    lease_s: float = 0.0  # counted by the holder from when it sent the request
    period: int = 0  # the owner's, of PERIOD_TOKENS
    wait_s: float = 0.0  # after which there may be more tokens; 0: all that was requested is granted


class LeaseResponseBatch(Struct, frozen=True, array_like=True, tag="l.loans"):
    """An owner's answers to one batch of requests."""

    DATAGRAM: ClassVar[bool] = False
    incarnation: int  # the owner's
    holder_incarnation: int  # that sent the requests
    responses: tuple[LeaseResponse, ...]


MESSAGE_TYPES = (LeaseRequestBatch, LeaseResponseBatch)


def are_valid_amounts(*amounts: float) -> bool:
    """Whether all amounts are finite, not negative, and at most MAX_TOKENS."""
    return all(isfinite(amount) and 0 <= amount <= MAX_TOKENS for amount in amounts)
