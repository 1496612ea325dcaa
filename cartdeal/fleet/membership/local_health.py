"""How far this agent may trust its own observations (Lifeguard's local health, Dadgar et al., DSN 2018)."""

MAX_HEALTH_SCORE = 4  # a probe takes up to 1 + MAX_HEALTH_SCORE times as long


class LocalHealth:
    """The local health score, and when any peer was last heard.

    The score rises where it may be this agent that is slow or cut off; its probes then take longer.
    """

    def __init__(self, now: float):
        self.score: int = 0  # 0: healthy
        self.last_heard: float = now  # when a message of any peer last came in
        self.has_heard_peer: bool = False  # whether one ever came in

    def degrade(self) -> None:
        """Raise the score by one: a sign that this agent is slow or not heard."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lower the score by one: a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_contact(self, now: float) -> None:
        """Note that a peer was heard."""
        self.last_heard = now
        self.has_heard_peer = True

    def reset_silence(self, now: float) -> None:
        """Count silence from now on: this agent was stopped and could hear nobody."""
        self.last_heard = now

    def silence_s(self, now: float) -> float:
        """Return the seconds since any peer was heard."""
        return now - self.last_heard
