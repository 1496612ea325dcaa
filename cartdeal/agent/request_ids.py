"""The ids of open and of recently finished requests, by which a second request with the same id is refused.

The answer or the end of one of two requests with one id could be attributed to the other one.
"""

RECENT_ID_S = 5.0  # a finished request's id is remembered for at least this long, and at most twice as long
# This many ids are remembered, and at most twice as many; if more come, each for less than RECENT_ID_S.
# The ids of open requests are not among them.
MAX_RECENT_IDS = 1 << 14


class RequestIds:
    """The ids of an agent's requests, as hashes. Times are monotonic seconds."""

    def __init__(self, now: float):
        self.open: set[int] = set()
        # The requests that ended in the last RECENT_ID_S seconds, and in the interval before.
        self.recent: set[int] = set()
        self.previous: set[int] = set()
        self.rotate_at = now

    def is_known(self, request_id: bytes) -> bool:
        """Whether a request with this id is open, or ended recently."""
        key = hash(request_id)
        return key in self.open or key in self.recent or key in self.previous

    def add(self, request_id: bytes):
        """A request has come."""
        self.open.add(hash(request_id))

    def finish(self, request_id: bytes, now: float):
        """A request has ended. A duplicate that is still in transit is refused for a while."""
        if now > self.rotate_at or len(self.recent) >= MAX_RECENT_IDS:
            self.previous, self.recent = self.recent, set()
            self.rotate_at = now + RECENT_ID_S
        key = hash(request_id)
        self.open.discard(key)
        self.recent.add(key)
