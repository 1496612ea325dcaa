"""A parsed HTTP message, and the errors of input that is none."""

from typing import NamedTuple


class Message:
    """A complete request or response."""

    __slots__ = ("method", "path", "status", "headers", "body", "keep_alive", "came_at", "memory_bytes")

    def __init__(self):
        self.method = b""
        self.path = b""
        self.status = 0
        self.headers = {}
        self.body = b""
        self.keep_alive = True
        self.came_at = 0.0  # monotonic time in seconds of its last byte; set by ClientConnection
        self.memory_bytes = 0  # that its connection holds for it


class ErrorAnswer(NamedTuple):
    """The status and the body of the answer to a request that is refused or fails.

    A connection stores this and no exception: the traceback of one would refer back to the connection, and
    keep it in memory until a garbage collection.
    """

    status: int
    reason: str


class MalformedMessageError(Exception):
    """The input is not valid HTTP, is ambiguous, or is too long. `status`: the status for the application."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status

    @property
    def answer(self) -> ErrorAnswer:
        """The answer for the application."""
        return ErrorAnswer(self.status, str(self))


class UnreadableHeadError(MalformedMessageError):
    """The input where a message should begin is not the head of one.

    It may be the rest of the message before it, whose length is wrong then.
    """
