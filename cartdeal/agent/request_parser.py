"""From a message of a client to a request for the reducer: classes, ids, timeouts, tenants and sessions.

Checks what the agent reads of a request beside HTTP itself. The module holds no state of a connection.
"""

import re
from time import monotonic

from cartdeal.agent.message import MalformedMessageError, Message
from cartdeal.agent.reducer import Request
from cartdeal.balancer_types import Idempotency
from cartdeal.settings import IDEMPOTENCY_BY_NAME, Settings

try:
    from _blake2 import blake2b  # hashlib would load OpenSSL, which takes 4 MB of memory
except ImportError:
    from hashlib import blake2b

MAX_STATED_TIMEOUT_S = 60.0  # longer values of X-Timeout are reduced to this
AGENT_MARGIN_S = 0.01  # part of a request's timeout that is reserved for the agent's own work
# The headers of a request that the agent reads.
REQUEST_HEADERS = frozenset(
    (
        b"content-type",
        b"cookie",
        b"expect",
        b"idempotency-key",
        b"x-request-id",
        b"x-retried",
        b"x-tenant-id",
        b"x-timeout",
    )
)
TIMEOUT_PATTERN = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)(m|u)")
TIMEOUT_UNITS_PER_S = {b"m": 1e3, b"u": 1e6}
SESSION_PATTERN = re.compile(rb"(?:^|[;,])\s*sid=([^;,]*)")
IDENTIFIER_PATTERN = re.compile(rb"[!-+\--~]{1,200}")  # visible ASCII without a comma, which separates lists


class RequestParser:
    """Reads the requests of one deployment."""

    def __init__(self, settings: Settings):
        """`settings`: with the request classes and tenants that requests may name."""
        self.settings = settings
        self.request_classes = {
            request_class.name.encode(): index for index, request_class in enumerate(settings.request_classes)
        }
        self.tenants = {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}

    def parse(self, message: Message, path: bytes) -> Request:
        """The request in a message. Raises MalformedMessageError with the status of the answer."""
        headers, idempotency_key = message.headers, message.headers.get(b"idempotency-key", b"")
        request_class = self.request_classes.get(path[1:].partition(b"/")[0])
        if request_class is None:
            raise MalformedMessageError(404, "no such request class")
        if message.method not in (b"GET", b"POST"):
            raise MalformedMessageError(405, "neither GET nor POST")
        if message.method == b"GET" and message.body:
            raise MalformedMessageError(400, "a GET with a body")
        if not IDENTIFIER_PATTERN.fullmatch(headers.get(b"x-request-id", b"")):
            raise MalformedMessageError(400, "no X-Request-ID that can be used")
        if idempotency_key and not IDENTIFIER_PATTERN.fullmatch(idempotency_key):
            raise MalformedMessageError(400, "no Idempotency-Key that can be used")
        class_settings = self.settings.request_classes[request_class]
        timeout_s = parse_timeout(headers) if b"x-timeout" in headers else class_settings.timeout
        if timeout_s is None:
            raise MalformedMessageError(400, "X-Timeout is no number with m or u")
        elapsed = monotonic() - message.came_at
        sessions = set(SESSION_PATTERN.findall(headers.get(b"cookie", b"")))
        if len(sessions) > 1:
            raise MalformedMessageError(400, "more than one sid")
        idempotency = IDEMPOTENCY_BY_NAME.get(class_settings.idempotency or "", Idempotency.NON_IDEMPOTENT)
        tenant = headers.get(b"x-tenant-id", b"")
        # In a deduplicated class the method does not matter: servers recognise a repeat only by its key.
        is_repeatable = (
            bool(idempotency_key) if idempotency is Idempotency.DEDUPLICATED else message.method == b"GET"
        )
        return Request(
            request_class,
            not is_repeatable,
            self.tenants.get(tenant, len(self.tenants) if tenant else 0),
            hash_key(sessions.pop()) if sessions else 0,
            timeout_s - elapsed - min(AGENT_MARGIN_S, timeout_s / 10),
            headers.get(b"x-retried") == b"1",
            message.method,
            message.path,
            headers[b"x-request-id"],
            idempotency_key,
            headers.get(b"content-type", b""),
            message.body,
            tenant,
        )


def parse_timeout(headers: dict[bytes, bytes]) -> float | None:
    """The request's X-Timeout in seconds, at most MAX_STATED_TIMEOUT_S; None if it is absent or invalid."""
    match = TIMEOUT_PATTERN.fullmatch(headers.get(b"x-timeout", b"").strip())
    return min(MAX_STATED_TIMEOUT_S, float(match[1]) / TIMEOUT_UNITS_PER_S[match[2]]) if match else None


def hash_key(key: bytes) -> int:
    """A 64-bit hash, never 0, that is the same in every process (unlike hash())."""
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "little") or 1
