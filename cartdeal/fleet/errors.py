"""The fleet's errors. Each one says what is at fault, what was observed and what an operator can do.

An error must never be raised without a subject, nor carry a payload, since its text may be logged.
docs/fleet.md has a table of these types; a test compares it with this module.
"""

MAX_OBSERVED_LENGTH = 200  # characters; a peer may send a value of any length


class FleetError(Exception):
    """The base of the fleet's errors.

    `subject` is what is at fault (a key, an agent, a message), `observed` the value found there, and `remedy`
    what an operator can do; each type has a default remedy.
    """

    remedy = ""

    def __init__(self, subject: str, observed: object = "", remedy: str = ""):
        self.subject = subject
        self.observed = str(observed)[:MAX_OBSERVED_LENGTH]
        self.remedy = remedy or self.remedy
        super().__init__(f"{subject}: found {self.observed!r}; {self.remedy}")


class ClockAheadError(FleetError):
    """A peer's clock is further ahead than allowed: its timestamps are refused."""

    remedy = "set that agent's clock, or raise clock_ahead_s in every agent's file"


class InvalidRecordError(FleetError):
    """Bytes are not a valid record, or a field has a wrong type or range: the record is dropped."""

    remedy = (
        "look at the agent that sent it (its version and memory); a good copy is fetched from another owner"
    )


class RecordTooLargeError(FleetError):
    """A record has more bytes, attempts or unknown fields than agents accept: it is not written."""

    remedy = "lower longest_mark_s or most_marks_a_session; if one session does all this, look at its client"


class SchemaDowngradeError(FleetError):
    """An older schema was requested after the fleet had begun to write only the newer one."""

    remedy = (
        "keep the newer program and set hold_version to 0; to go back, end the whole fleet and found it anew"
    )


class UnsupportedSchemaError(FleetError):
    """An agent can't read what the fleet writes: it is no ring member; its attempt records are handed off."""

    remedy = "start that agent with a program that reads the version that the fleet writes"


class WrongFleetError(FleetError):
    """A message of another fleet: it is refused."""

    remedy = "look which agent's seeds or address name this one, or give both the same `fleet`"


class AuthenticationFailedError(FleetError):
    """A message whose MAC does not match this fleet's key."""

    remedy = "give all agents of the fleet the same key; if they have it, somebody else sends here"


class UnsupportedEnvelopeError(FleetError):
    """A message in an envelope that this program does not know."""

    remedy = "upgrade this agent or the other one to a program with the same envelope version"


class MessageTooLargeError(FleetError):
    """A message exceeds the maximum size: it is not sent, or not read."""

    remedy = "tell the maintainers; the message is lost, and its content is sent again or recovered later"


class MalformedMessageError(FleetError):
    """Bytes that can't be decoded as a frame, an envelope or a message."""

    remedy = "look which program sends them to this address"


class UnknownMessageError(MalformedMessageError):
    """A message with a valid MAC that this program can't read: it is skipped, its stream stays open."""

    remedy = "look which program that agent runs; in a rolling upgrade it ends with the upgrade"


class InvalidConfigurationError(FleetError):
    """A key of the fleet's operator file can't be used: `subject` names the file and the key."""

    remedy = "correct the file"


class DuplicateNameError(FleetError):
    """Two running agents have the same name: the fleet would mistake the state of one for the other's."""

    remedy = "give each agent a name of its own in its file, and restart the one that was started last"


class RingMajorityLostError(FleetError):
    """A majority of the ring's members has been absent for too long: no new ring can be agreed."""

    remedy = (
        "start agents under the names that are absent, on any machine; if that can't be, stop the whole "
        "fleet and start it again: it founds a new ring and loses the state that it shared"
    )


class BootstrapIncompleteError(FleetError):
    """No ring is known, and no majority of the seeds is present to agree on the first one."""

    remedy = "start the agents that are named as seeds, and see that all files name the same seeds"


class ConflictingRingsError(FleetError):
    """Two rings were agreed for one epoch: acceptors restarted and lost state. The lower digest is kept."""

    remedy = (
        "look why agents of the ring restarted at about the same time; the fleet itself needs nothing done"
    )
