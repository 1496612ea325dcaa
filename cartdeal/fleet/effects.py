"""The effects that a node's host applies. The node does no I/O: it appends its effects to `Node.effects`."""

from msgspec import Struct

from cartdeal.fleet.events import LogEvent
from cartdeal.fleet.idempotency import AdmissionDecision, EarlierAttempt


class SendMessage(Struct, frozen=True):
    """Send a message to the peer `recipient`, which listens at `address` ("host:port")."""

    recipient: str
    address: str
    message: Struct


class DeliverDecision(Struct, frozen=True):
    """Deliver the fleet's decision on the request `ticket` to the agent.

    Each attempt of an admitted request has to respect the `earlier_attempts`.
    """

    ticket: int
    decision: AdmissionDecision
    retry_after_s: float = 0.0  # 0 if the client is not told to retry
    earlier_attempts: tuple[EarlierAttempt, ...] = ()


class WriteLog(Struct, frozen=True):
    """Write an event to the agent's log."""

    event: LogEvent


Effect = SendMessage | DeliverDecision | WriteLog
