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
