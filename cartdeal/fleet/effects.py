"""What the node asks its transport to do. The node itself does no I/O: it appends these to `Node.effects`."""

from msgspec import Struct

from cartdeal.fleet.events import LogEvent
from cartdeal.fleet.idempotency import AdmissionDecision, EarlierAttempt


class SendMessage(Struct, frozen=True):
    """Send a message to the peer `recipient`, which listens at `address` ("host:port")."""

    recipient: str
    address: str
    message: Struct


class DeliverDecision(Struct, frozen=True):
    """Tell the agent what the fleet decided on the request `ticket`.

    An attempt of an admitted request has to respect the `earlier_attempts`.
    """

    ticket: int
    decision: AdmissionDecision
    retry_after_s: float = 0.0  # 0 where the client is not told to come again
    earlier_attempts: tuple[EarlierAttempt, ...] = ()


class WriteLog(Struct, frozen=True):
    """Write an event to the agent's log."""

    event: LogEvent


Effect = SendMessage | DeliverDecision | WriteLog
