"""The fleet's errors: each a type of its own that says what is at fault, what was found and what to do.

It must never be raised bare, and never carries a payload: what it says may be logged. `ALL` is the table that
docs/fleet.md is checked against: every type below, in the order in which they stand. New ones go to the end.
"""


class FleetError(Exception):
    """`subject`: what is at fault (a key, an agent, a message); `observed`: what was found there; `remedy`:
    what an
    operator can do."""

    remedy = ""

    def __init__(self, subject: str, observed: object = "", remedy: str = ""):
        self.subject = subject
        self.observed = str(observed)[:200]
        self.remedy = remedy or self.remedy
        super().__init__(f"{subject}: found {self.observed!r}; {self.remedy}")


def __getattr__(name: str):
    # Made when asked for, so that a type added below is never missed.
    if name == "ALL":
        types = [
            each for each in globals().values() if isinstance(each, type) and issubclass(each, FleetError)
        ]
        return tuple(dict.fromkeys(each for each in types if each is not FleetError))
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


class ClockAheadError(FleetError):
    """A peer's clock is further ahead than allowed: what it stamped is refused."""

    remedy = "set that agent's clock, or raise clock_ahead_s in every agent's file"


class InvalidRecordError(FleetError):
    """Bytes that should be a record are none, or a field has a wrong type or range: they are dropped."""

    remedy = (
        "look at the agent that sent it (its version and memory); a good copy is fetched from another owner"
    )


class RecordTooLargeError(FleetError):
    """A record has more bytes, marks or unknown fields than any agent would read: it isn't written."""

    remedy = "lower longest_mark_s or most_marks_a_session; if one session does all this, look at its client"


class SchemaDowngradeError(FleetError):
    """A step back to an older schema was asked for after the fleet had begun to write the newer alone."""

    remedy = (
        "keep the newer program and set hold_version to 0; to go back, end the whole fleet and found it anew"
    )


class UnsupportedSchemaError(FleetError):
    """An agent can't read what the fleet writes: it gets no seat; marks that it still held are taken over."""

    remedy = "start that agent with a program that reads the version that the fleet writes"


class WrongFleetError(FleetError):
    """A message of another fleet: its message are not read."""

    remedy = "look which agent's seeds or address name this one, or give both the same `fleet`"


class AuthenticationFailedError(FleetError):
    """A message whose digest is not the one that this fleet's key makes of it."""

    remedy = "give all agents of the fleet the same key; if they have it, somebody else sends here"


class UnsupportedEnvelopeError(FleetError):
    """A message in an envelope that this program does not know."""

    remedy = "bring this agent or the other one up to a program that speaks the same envelope"


class MessageTooLargeError(FleetError):
    """Words beyond the size that a message may have: not sent, or not read."""

    remedy = "tell the maintainers; what was said is lost, and is said again or made good later"


class MalformedMessageError(FleetError):
    """Bytes that are no message, or no message that this program knows."""

    remedy = "look which program sends them to this address"


class UnknownMessageError(MalformedMessageError):
    """Words under the right digest that this program can't read: they are passed over, their sender isn't."""

    remedy = "look which program that agent runs; in a rolling upgrade it ends with the upgrade"


class InvalidConfigurationError(FleetError):
    """A key of the fleet's operator file can't be used: `subject` names the file and the key."""

    remedy = "correct the file"


class DuplicateNameError(FleetError):
    """Two running agents go by one name: the fleet would take the state of one for the other's."""

    remedy = "give each agent a name of its own in its file, and restart the one that was started last"


class RingMajorityLostError(FleetError):
    """A majority of the ring's seats has been away for long: no other ring can be agreed."""

    remedy = (
        "start agents under the names that are away, on any machine; if that can't be, stop the whole "
        "fleet and start it again: it founds itself anew and has forgotten what it shared"
    )


class BootstrapIncompleteError(FleetError):
    """No ring is known and no majority of the seeds is there to agree on the first."""

    remedy = "start the agents that are named as seeds, and see that all files name the same seeds"


class ConflictingRingsError(FleetError):
    """Two rings were agreed for one epoch: voters restarted and forgot. The lower digest is kept."""

    remedy = (
        "look why agents of the ring restarted at about the same time; the fleet itself needs nothing done"
    )
