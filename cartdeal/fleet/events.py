"""The events that the fleet's parts log. The fields of each type are the fields of its log line."""

from typing import ClassVar

from msgspec import Struct

from cartdeal.fleet.errors import FleetError


class LogEvent(Struct, frozen=True):
    """One line of the log: its message, and the type's fields in their order."""

    MESSAGE: ClassVar[str] = ""

    def fields(self) -> dict[str, object]:
        """Name and value of each field."""
        return {name: getattr(self, name) for name in self.__struct_fields__}


class _ErrorEvent(LogEvent, frozen=True):
    """An error that an operator has to see: its subject, what was observed there, and the remedy."""

    subject: str
    observed: str
    remedy: str

    @classmethod
    def of(cls, error: FleetError) -> "_ErrorEvent":
        """The event that reports this error."""
        return cls(error.subject, error.observed, error.remedy)


class RingMajorityLost(_ErrorEvent, frozen=True):
    """A majority of the ring's members, or of the seeds before the first ring, has been absent for long."""

    MESSAGE: ClassVar[str] = "ring majority lost"


class ConflictingRings(_ErrorEvent, frozen=True):
    """Two rings were agreed for one epoch."""

    MESSAGE: ClassVar[str] = "conflicting rings"


class DuplicateName(_ErrorEvent, frozen=True):
    """Another running agent goes by this agent's name."""

    MESSAGE: ClassVar[str] = "duplicate name"


class AgentDead(LogEvent, frozen=True):
    """A suspicion was not refuted in time; `accusers` are those that raised or confirmed it."""

    MESSAGE: ClassVar[str] = "agent dead"
    name: str
    accusers: tuple[str, ...]


class Isolated(LogEvent, frozen=True):
    """No peer answers: this agent suspects all `agents` of them."""

    MESSAGE: ClassVar[str] = "isolated"
    agents: int


class MembershipFull(LogEvent, frozen=True):
    """The peer table has `most_agents` entries: no further agent is taken in."""

    MESSAGE: ClassVar[str] = "membership full"
    most_agents: int


class PeerClockAhead(LogEvent, frozen=True):
    """What `peer` stamped is refused: its clock is too far ahead."""

    MESSAGE: ClassVar[str] = "clock ahead"
    peer: str
    reason: str


class RecordClockAhead(LogEvent, frozen=True):
    """A record is refused: a clock that stamped it was too far ahead."""

    MESSAGE: ClassVar[str] = "clock ahead"
    reason: str


class ClockAdjusted(LogEvent, frozen=True):
    """This agent's clock was the odd one: it was moved by `by_s` seconds, to that of `agents` others."""

    MESSAGE: ClassVar[str] = "clock adjusted"
    by_s: float
    agents: int


class IncarnationRaised(LogEvent, frozen=True):
    """Peers remember a later start of this agent: it takes an incarnation above that one."""

    MESSAGE: ClassVar[str] = "incarnation raised"
    incarnation: int


class CaughtUp(LogEvent, frozen=True):
    """This agent may answer for all the records that it owns."""

    MESSAGE: ClassVar[str] = "caught up"
    epoch: int | None


class CatchingUp(LogEvent, frozen=True):
    """This agent lacks records that it owns, and transfers them."""

    MESSAGE: ClassVar[str] = "catching up"
    epoch: int | None


class RingAdopted(LogEvent, frozen=True):
    """This agent goes by another ring."""

    MESSAGE: ClassVar[str] = "ring adopted"
    epoch: int
    members: int
    written: int
    phase: str


class Fenced(LogEvent, frozen=True):
    """This program can't read what the fleet writes: it takes no part."""

    MESSAGE: ClassVar[str] = "fenced"
    reason: str


class SchemaHoldRefused(LogEvent, frozen=True):
    """The operator holds a schema version that the fleet has already left."""

    MESSAGE: ClassVar[str] = "schema hold refused"
    reason: str


class RecordTooLarge(LogEvent, frozen=True):
    """A record is not written: no agent would read it."""

    MESSAGE: ClassVar[str] = "record too large"
    reason: str


class HintsFull(LogEvent, frozen=True):
    """There are `most` hints: the oldest is dropped for each new one."""

    MESSAGE: ClassVar[str] = "hints full"
    most: int
