"""Local health: how far this agent may trust its own probes (Lifeguard, Dadgar et al., DSN 2018)."""

MAX_HEALTH_SCORE = 4  # a probe's timeout is extended up to 1 + MAX_HEALTH_SCORE times


class LocalHealth:
    """The local health score, and the time of the last message from any peer (local seconds).

    The score rises with each sign that this agent itself is slow or cut off. A higher score gives its probes
    a longer timeout.
    """

    def __init__(self, now: float):
        self.score: int = 0  # 0 is healthy
        self.last_message_at: float = now  # when the last message from any peer arrived
        self.has_heard_peer: bool = False  # whether any peer has ever sent a message

    def degrade(self) -> None:
        """Raise the score by one, on a sign that this agent is slow or cut off."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lower the score by one, because a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_contact(self, now: float) -> None:
        """Record that a message from a peer came in."""
        self.last_message_at = now
        self.has_heard_peer = True

    def reset_silence(self, now: float) -> None:
        """Restart the silence at `now`, because this agent's process was stopped and received nothing."""
        self.last_message_at = now

    def silence_s(self, now: float) -> float:
        """Return the seconds since the last message from any peer."""
        return now - self.last_message_at
