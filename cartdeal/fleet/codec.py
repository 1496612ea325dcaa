"""What agents of a fleet say to each other, as bytes: the envelope, its digest, and the frames of a stream.

Owns the sizes and the order of the checks. It must never let words through whose digest is not right, nor
keep anything of what it refused; every refusal is an error of errors.py.
"""

import hmac
from functools import cache
from importlib import import_module
from typing import Annotated, Union

import msgspec
from msgspec import Meta, Struct

from cartdeal.fleet.errors import TooLong, UnknownWords, Unreadable, WrongDigest, WrongFleet, WrongVersion

VERSION = 1  # of the envelope; what words are in it, their tags say
SEAL = 16  # bytes of the digest that are sent
LONGEST_DATAGRAM = 1400  # fits one packet on common networks
LONGEST_WORDS = 1200  # in a datagram
LONGEST_FRAME = 512 * 1024
ENVELOPE = 1024  # the most that version, digest and envelope add to the words
HEADER = 4  # bytes of a frame's length
MESSAGE_MODULES = (
    "cartdeal.fleet.membership.swim",
    "cartdeal.fleet.consensus.ring_consensus",
    "cartdeal.fleet.replication.replica",
    "cartdeal.fleet.quota.quota_leases",
)

Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Envelope(Struct, frozen=True, array_like=True):
    fleet: Name
    sender: Name
    life: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    address: Annotated[str, Meta(max_length=64)]
    wall_ms: Annotated[int, Meta(ge=0, le=(1 << 53))]  # the sender's time of the fleet
    words: msgspec.Raw  # not looked into before the digest is known to be right


ENVELOPES = msgspec.msgpack.Decoder(Envelope)
UNREADABLE = (msgspec.MsgspecError, UnicodeError, ValueError, OverflowError, RecursionError)


@cache
def tongue() -> msgspec.msgpack.Decoder:
    """Reads the words of all parts; made at the first message, so that a part may import this module."""
    kinds = [kind for module in MESSAGE_MODULES for kind in import_module(module).WORDS]
    return msgspec.msgpack.Decoder(Union[tuple(kinds)])  # noqa: UP007


def encode(pact, sender: str, life: int, address: str, wall_ms: int, words: Struct) -> bytes:
    """One message: version, digest, envelope. Raises TooLong."""
    return enveloped(pact, sender, life, address, wall_ms, inner(words))


def inner(words: Struct) -> bytes:
    """Words without their envelope. Raises TooLong."""
    raw, most = msgspec.msgpack.encode(words), LONGEST_WORDS if words.DATAGRAM else LONGEST_FRAME - ENVELOPE
    if len(raw) > most:
        raise TooLong(f"words {type(words).__name__}", f"{len(raw)} bytes, {most} at most")
    return raw


def enveloped(pact, sender: str, life: int, address: str, wall_ms: int, raw: bytes) -> bytes:
    """Words that are encoded already: what waits is stamped when it goes out, or its time would be old."""
    body = msgspec.msgpack.encode(Envelope(pact.fleet, sender, life, address, wall_ms, msgspec.Raw(raw)))
    return bytes([VERSION]) + seal(pact.key, body) + body


def decode(pact, text: bytes, most: int = LONGEST_FRAME) -> tuple[str, int, str, int, Struct]:
    """Sender, its life, address and time, and the words. What is said of the fleet's name and version is a
    hint to an operator and no more: it is told before the digest shows that it was not forged."""
    if len(text) > most:
        raise TooLong("a message", f"{len(text)} bytes, {most} at most")
    if len(text) <= 1 + SEAL:
        raise Unreadable("a message", f"{len(text)} bytes")
    if text[0] != VERSION:
        raise WrongVersion("a message's envelope", text[0])
    body = text[1 + SEAL :]
    try:
        envelope = ENVELOPES.decode(body)
    except UNREADABLE as trouble:
        raise Unreadable("a message's envelope", trouble) from None
    if envelope.fleet != pact.fleet:
        raise WrongFleet("a message's fleet", envelope.fleet)
    if not hmac.compare_digest(seal(pact.key, body), text[1 : 1 + SEAL]):
        raise WrongDigest(f"a message under the name {envelope.sender!r}", "another digest")
    try:
        words = tongue().decode(envelope.words)
    except UNREADABLE as trouble:
        raise UnknownWords(f"words of {envelope.sender!r}", trouble) from None
    return envelope.sender, envelope.life, envelope.address, envelope.wall_ms, words


def seal(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, bytes([VERSION]) + body, "sha256")[:SEAL]


def framed(text: bytes) -> bytes:
    return len(text).to_bytes(HEADER, "big") + text


class Frames:
    """Takes a stream in any split and gives the whole messages in it. After an error it takes no more."""

    def __init__(self, most: int = LONGEST_FRAME):
        self.most, self.rest, self.spoilt = most, bytearray(), False

    def dispatch(self, more: bytes) -> list[bytes]:
        """Raises TooLong or Unreadable; the messages that came whole before the fault go with it."""
        if self.spoilt:
            raise Unreadable("a stream", "more behind a fault")
        rest, whole, at = self.rest, [], 0
        rest += more
        while len(rest) - at >= HEADER:
            size = int.from_bytes(rest[at : at + HEADER], "big")
            if not size or size > self.most:
                self.spoilt, self.rest = True, bytearray()
                if not size:
                    raise Unreadable("a frame", "0 bytes")
                raise TooLong("a frame", f"{size} bytes, {self.most} at most")
            if len(rest) - at < HEADER + size:
                break
            whole.append(bytes(rest[at + HEADER : at + HEADER + size]))
            at += HEADER + size
        del rest[:at]
        return whole
