"""The fleet's errors: each a type of its own that says what is at fault, what was found and what to do.

It must never be raised bare, and never carries a payload: what it says may be logged. `ALL` is the table that
docs/fleet.md is checked against: every type below, in the order in which they stand. New ones go to the end.
"""


class Trouble(Exception):
    """`what`: whose fault it is (a key, an agent, a message); `found`: what was there; `do`: the remedy."""

    do = ""

    def __init__(self, what: str, found: object = "", do: str = ""):
        self.what, self.found, self.do = what, str(found)[:200], do or self.do
        super().__init__(f"{what}: found {self.found!r}; {self.do}")


def __getattr__(name: str):
    # Made when asked for, so that a type added below is never missed.
    if name == "ALL":
        types = [each for each in globals().values() if isinstance(each, type) and issubclass(each, Trouble)]
        return tuple(dict.fromkeys(each for each in types if each is not Trouble))
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


class ClockAhead(Trouble):
    """A peer's clock is further ahead than allowed: what it stamped is refused."""

    do = "set that agent's clock, or raise clock_ahead_s in every agent's file"


class BadRecord(Trouble):
    """Bytes that should be a record are none, or a field has a wrong type or range: they are dropped."""

    do = "look at the agent that sent it (its version and memory); a good copy is fetched from another owner"


class RecordTooLarge(Trouble):
    """A record has more bytes, marks or unknown fields than any agent would read: it isn't written."""

    do = "lower longest_mark_s or most_marks_a_session; if one session does all this, look at its client"


class SchemaNarrowed(Trouble):
    """A step back to an older schema was asked for after the fleet had begun to write the newer alone."""

    do = "keep the newer program and set hold_version to 0; to go back, end the whole fleet and found it anew"


class SchemaRefused(Trouble):
    """An agent can't read what the fleet writes: it gets no seat; marks that it still held are taken over."""

    do = "start that agent with a program that reads the version that the fleet writes"


class WrongFleet(Trouble):
    """A message of another fleet: its words are not read."""

    do = "look which agent's seeds or address name this one, or give both the same `fleet`"


class WrongDigest(Trouble):
    """A message whose digest is not the one that this fleet's key makes of it."""

    do = "give all agents of the fleet the same key; if they have it, somebody else sends here"


class WrongVersion(Trouble):
    """A message in an envelope that this program does not know."""

    do = "bring this agent or the other one up to a program that speaks the same envelope"


class TooLong(Trouble):
    """Words beyond the size that a message may have: not sent, or not read."""

    do = "tell the maintainers; what was said is lost, and is said again or made good later"


class Unreadable(Trouble):
    """Bytes that are no message, or no words that this program knows."""

    do = "look which program sends them to this address"


class UnknownWords(Unreadable):
    """Words under the right digest that this program can't read: they are passed over, their sender isn't."""

    do = "look which program that agent runs; in a rolling upgrade it ends with the upgrade"


class WrongConfiguration(Trouble):
    """A key of the fleet's operator file can't be used: `what` names the file and the key."""

    do = "correct the file"


class TwoUnderOneName(Trouble):
    """Two running agents go by one name: the fleet would take the state of one for the other's."""

    do = "give each agent a name of its own in its file, and restart the one that was started last"


class RingStuck(Trouble):
    """A majority of the ring's seats has been away for long: no other ring can be agreed."""

    do = (
        "start agents under the names that are away, on any machine; if that can't be, stop the whole "
        "fleet and start it again: it founds itself anew and has forgotten what it shared"
    )


class NotFounded(Trouble):
    """No ring is known and no majority of the seeds is there to agree on the first."""

    do = "start the agents that are named as seeds, and see that all files name the same seeds"


class EpochTwice(Trouble):
    """Two rings were agreed for one epoch: voters restarted and forgot. The lower digest is kept."""

    do = "look why agents of the ring restarted at about the same time; the fleet itself needs nothing done"
