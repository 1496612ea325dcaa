"""The events that the fleet's parts log. The fields of a type are the fields of its log line."""

from typing import ClassVar

from msgspec import Struct

from cartdeal.fleet.errors import FleetError


class LogEvent(Struct, frozen=True):
    """One log line: its message, followed by the type's fields in order."""

    MESSAGE: ClassVar[str] = ""

    def fields(self) -> dict[str, object]:
        """Return the value of each field by its name, in order."""
        return {name: getattr(self, name) for name in self.__struct_fields__}


class _ErrorEvent(LogEvent, frozen=True):
    """An error that an operator has to see: its subject, the observed value, and the remedy."""

    subject: str
    observed: str
    remedy: str

    @classmethod
    def of(cls, error: FleetError) -> "_ErrorEvent":
        """Return the event that reports `error`."""
        return cls(error.subject, error.observed, error.remedy)


class RingMajorityLost(_ErrorEvent, frozen=True):
    """A majority of the members has been absent for at least MAJORITY_LOST_ALARM_S.

    The members are those of the ring or, before the first ring, the seeds.
    """

    MESSAGE: ClassVar[str] = "ring majority lost"


class ConflictingRings(_ErrorEvent, frozen=True):
    """Two rings were agreed for one epoch."""

    MESSAGE: ClassVar[str] = "conflicting rings"


class DuplicateName(_ErrorEvent, frozen=True):
    """Another running agent has this agent's name."""

    MESSAGE: ClassVar[str] = "duplicate name"


class AgentDead(LogEvent, frozen=True):
    """A suspicion was not refuted in time; `accusers` are the agents that raised or confirmed it."""

    MESSAGE: ClassVar[str] = "agent dead"
    name: str
    accusers: tuple[str, ...]


class Isolated(LogEvent, frozen=True):
    """No peer answers: this agent suspects all its peers, `agents` in number."""

    MESSAGE: ClassVar[str] = "isolated"
    agents: int


class MembershipFull(LogEvent, frozen=True):
    """The peer table has reached `most_agents` entries: no further agent is added."""

    MESSAGE: ClassVar[str] = "membership full"
    most_agents: int


class PeerClockAhead(LogEvent, frozen=True):
    """Timestamps of `peer` are refused: its clock is too far ahead."""

    MESSAGE: ClassVar[str] = "clock ahead"
    peer: str
    reason: str


class RecordClockAhead(LogEvent, frozen=True):
    """A record is refused: the clock that issued its timestamp was too far ahead."""

    MESSAGE: ClassVar[str] = "clock ahead"
    reason: str


class ClockAdjusted(LogEvent, frozen=True):
    """This agent's clock was wrong: it was moved by `by_s` seconds, to the time of `agents` peers."""

    MESSAGE: ClassVar[str] = "clock adjusted"
    by_s: float
    agents: int


class IncarnationRaised(LogEvent, frozen=True):
    """Peers know a newer incarnation of this agent: it takes one above that."""

    MESSAGE: ClassVar[str] = "incarnation raised"
    incarnation: int


class CaughtUp(LogEvent, frozen=True):
    """This agent may answer for all the records that it owns."""

    MESSAGE: ClassVar[str] = "caught up"
    epoch: int | None


class CatchingUp(LogEvent, frozen=True):
    """This agent lacks records that it owns, and fetches them."""

    MESSAGE: ClassVar[str] = "catching up"
    epoch: int | None


class RingAdopted(LogEvent, frozen=True):
    """This agent has adopted a new ring."""

    MESSAGE: ClassVar[str] = "ring adopted"
    epoch: int
    members: int
    written: int
    phase: str


class Fenced(LogEvent, frozen=True):
    """This program can't read the schema version that the fleet writes: the agent is fenced."""

    MESSAGE: ClassVar[str] = "fenced"
    reason: str


class SchemaHoldRefused(LogEvent, frozen=True):
    """The operator's limit on the schema version is below the version that the fleet already uses."""

    MESSAGE: ClassVar[str] = "schema hold refused"
    reason: str


class RecordTooLarge(LogEvent, frozen=True):
    """A record is not written: it exceeds the limits that agents accept."""

    MESSAGE: ClassVar[str] = "record too large"
    reason: str


class HintsFull(LogEvent, frozen=True):
    """The maximum of `most` hints is reached: each new hint replaces the oldest one."""

    MESSAGE: ClassVar[str] = "hints full"
    most: int
