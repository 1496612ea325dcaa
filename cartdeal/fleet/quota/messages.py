"""The messages of the token lease protocol, between the holder of a lease and the owner that grants it.

A holder sends batches of requests and returns, an owner answers with batches of responses. The protocol must
never depend on wall clocks: all times in messages are durations in seconds.
"""

from enum import IntEnum
from math import isfinite
from typing import ClassVar

from msgspec import Struct

MAX_TENANTS_PER_MESSAGE = 200  # further tenants go into further messages
MAX_TOKENS = 1e9  # also the maximum of rates (tokens per second) and durations (seconds) in messages


class GrantKind(IntEnum):
    """What an owner grants; the numbers are sent on the wire."""

    NONE = 0
    PERIOD_TOKENS = 1  # whole tokens, valid in one period of the owner
    REFILL_RATE = 2  # a rate and a burst until the lease expires
    SINGLE_TOKEN = 3  # tokens for waiting requests, without a rate


class RequestMode(IntEnum):
    """Which kinds of grant a holder can use; the numbers are sent on the wire."""

    ANY = 0
    INTEGER_TOKENS = 1  # the holder supports whole tokens only
    SINGLE_TOKEN = 2  # the holder is shutting down and wants no refill rate


class LeaseRequest(Struct, frozen=True, array_like=True):
    """A holder's request to one owner for one tenant. It also states which lease the holder still uses.

    `mode` is a plain int, so that a value added by a later version does not make the message undecodable.
    """

    tenant: str
    sequence: int  # increases with each request and return of the holder's incarnation
    lease_number: int = 0  # of the only lease of this owner that is still in use; 0: none is
    lease_cap: float = 0.0  # tokens that this lease can hold from now on
    interim_cap: float = 0.0  # tokens that this lease can hold until the response arrives
    returned_tokens: float = 0.0  # removed from the lease and returned to the owner
    waiting_tokens: float = 0.0  # needed by waiting requests
    wanted_tokens: float = 0.0  # that the holder could use at once
    demand_rate: float = 0.0  # requests per second, this owner's part of the demand
    served_rate: float = 0.0  # requests per second, a moving average at the holder
    mode: int = RequestMode.ANY


class LeaseReturn(Struct, frozen=True, array_like=True):
    """Ends the use of all leases of one owner for one tenant."""

    tenant: str
    sequence: int
    lease_number: int
    tokens: float  # remaining in lease `lease_number`


class LeaseRequestBatch(Struct, frozen=True, array_like=True, tag="l.asks"):
    """A holder's requests and returns for one owner."""

    DATAGRAM: ClassVar[bool] = False
    incarnation: int  # the holder's
    owner_incarnation: int  # the owner's incarnation that granted the named leases; 0: unknown
    requests: tuple[LeaseRequest, ...] = ()
    returns: tuple[LeaseReturn, ...] = ()


class LeaseResponse(Struct, frozen=True, array_like=True):
    """An owner's answer to the request with the same sequence."""

    tenant: str
    sequence: int
    certain: bool  # False: the owner can't grant, or can't be sure that it may
    lease_number: int = 0
    kind: int = GrantKind.NONE  # a plain int, see LeaseRequest
    rate: float = 0.0  # tokens per second
    burst: float = 0.0  # tokens that the lease can hold
    tokens: float = 0.0  # to be used at once
    lease_s: float = 0.0  # the holder counts it from the time at which it sent the request
    period: int = 0  # the owner's period in which PERIOD_TOKENS are valid
    wait_s: float = 0.0  # time until more tokens may be available; 0: all requested tokens were granted


class LeaseResponseBatch(Struct, frozen=True, array_like=True, tag="l.loans"):
    """An owner's answers to one batch of requests."""

    DATAGRAM: ClassVar[bool] = False
    incarnation: int  # the owner's
    holder_incarnation: int  # the holder's incarnation that sent the requests
    responses: tuple[LeaseResponse, ...]


MESSAGE_TYPES = (LeaseRequestBatch, LeaseResponseBatch)


def are_valid_amounts(*amounts: float) -> bool:
    """Whether all amounts are finite, not negative, and at most MAX_TOKENS."""
    return all(isfinite(amount) and 0 <= amount <= MAX_TOKENS for amount in amounts)
