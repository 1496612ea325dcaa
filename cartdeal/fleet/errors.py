"""The fleet's errors: each a type of its own that says what is at fault, what was found and what an operator can do.

It must never be raised bare, and never carries a payload: what it says may be logged.
"""


class Trouble(Exception):
    """`what`: whose fault it is (a key, an agent, a message); `found`: what was there; `do`: what an operator can do."""

    do = ""

    def __init__(self, what: str, found: object = "", do: str = ""):
        self.what, self.found, self.do = what, str(found)[:200], do or self.do
        super().__init__(f"{what}: found {self.found!r}; {self.do}")


class ClockAhead(Trouble):
    """A peer's clock is further ahead than allowed: what it stamped is refused."""

    do = "set that agent's clock, or raise clock_ahead_s in every agent's file"


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

    do = "look which program sends them; in a rolling upgrade it ends with the upgrade"


class WrongPapers(Trouble):
    """A key of the fleet's operator file can't be used: `what` names the file and the key."""

    do = "correct the file"
