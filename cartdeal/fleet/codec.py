"""What agents of a fleet say to each other, as bytes: the envelope, its digest, and the frames of a stream.

Owns the sizes and the order of the checks. It must never let message through whose digest is not right, nor
keep anything of what it refused; every refusal is an error of errors.py.
"""

import hmac
from functools import cache
from importlib import import_module
from typing import Annotated, Union

import msgspec
from msgspec import Meta, Struct

from cartdeal.fleet.errors import (
    AuthenticationFailedError,
    MalformedMessageError,
    MessageTooLargeError,
    UnknownMessageError,
    UnsupportedEnvelopeError,
    WrongFleetError,
)

VERSION = 1  # of the envelope; what message are in it, their tags say
MAC_LENGTH = 16  # bytes of the digest that are sent
MAX_DATAGRAM = 1400  # fits one packet on common networks
MAX_DATAGRAM_MESSAGE = 1200  # in a datagram
MAX_FRAME = 512 * 1024
ENVELOPE_OVERHEAD = 1024  # the most that version, digest and envelope add to the message
FRAME_HEADER = 4  # bytes of a frame's length
MESSAGE_MODULES = (
    "cartdeal.fleet.membership.messages",
    "cartdeal.fleet.consensus.ring_consensus",
    "cartdeal.fleet.replication.messages",
    "cartdeal.fleet.quota.quota_leases",
)

Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Envelope(Struct, frozen=True, array_like=True):
    fleet: Name
    sender: Name
    incarnation: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    address: Annotated[str, Meta(max_length=64)]
    wall_ms: Annotated[int, Meta(ge=0, le=(1 << 53))]  # the sender's time of the fleet
    message: msgspec.Raw  # not looked into before the digest is known to be right


ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeError, ValueError, OverflowError, RecursionError)


@cache
def message_decoder() -> msgspec.msgpack.Decoder:
    """Reads the message of all parts; made at the first message, so that a part may import this module."""
    kinds = [kind for module in MESSAGE_MODULES for kind in import_module(module).MESSAGE_TYPES]
    return msgspec.msgpack.Decoder(Union[tuple(kinds)])  # noqa: UP007


def encode(settings, sender: str, incarnation: int, address: str, wall_ms: int, message: Struct) -> bytes:
    """One message: version, digest, envelope. Raises MessageTooLargeError."""
    return seal_message(settings, sender, incarnation, address, wall_ms, encode_message(message))


def encode_message(message: Struct) -> bytes:
    """Words without their envelope. Raises MessageTooLargeError."""
    raw, most = (
        msgspec.msgpack.encode(message),
        MAX_DATAGRAM_MESSAGE if message.DATAGRAM else MAX_FRAME - ENVELOPE_OVERHEAD,
    )
    if len(raw) > most:
        raise MessageTooLargeError(f"message {type(message).__name__}", f"{len(raw)} bytes, {most} at most")
    return raw


def seal_message(settings, sender: str, incarnation: int, address: str, wall_ms: int, raw: bytes) -> bytes:
    """Words that are encoded already: what waits is stamped when it goes out, or its time would be old."""
    body = msgspec.msgpack.encode(
        Envelope(settings.fleet, sender, incarnation, address, wall_ms, msgspec.Raw(raw))
    )
    return bytes([VERSION]) + sign(settings.key, body) + body


def decode(settings, text: bytes, most: int = MAX_FRAME) -> tuple[str, int, str, int, Struct]:
    """Sender, its incarnation, address and time, and the message. What is said of the fleet's name and
    version
    is a
    hint to an operator and no more: it is told before the digest shows that it was not forged."""
    if len(text) > most:
        raise MessageTooLargeError("a message", f"{len(text)} bytes, {most} at most")
    if len(text) <= 1 + MAC_LENGTH:
        raise MalformedMessageError("a message", f"{len(text)} bytes")
    if text[0] != VERSION:
        raise UnsupportedEnvelopeError("a message's envelope", text[0])
    body = text[1 + MAC_LENGTH :]
    try:
        envelope = ENVELOPE_DECODER.decode(body)
    except DECODING_ERRORS as error:
        raise MalformedMessageError("a message's envelope", error) from None
    if envelope.fleet != settings.fleet:
        raise WrongFleetError("a message's fleet", envelope.fleet)
    if not hmac.compare_digest(sign(settings.key, body), text[1 : 1 + MAC_LENGTH]):
        raise AuthenticationFailedError(f"a message under the name {envelope.sender!r}", "another digest")
    try:
        message = message_decoder().decode(envelope.message)
    except DECODING_ERRORS as error:
        raise UnknownMessageError(f"message of {envelope.sender!r}", error) from None
    return envelope.sender, envelope.incarnation, envelope.address, envelope.wall_ms, message


def sign(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, bytes([VERSION]) + body, "sha256")[:MAC_LENGTH]


def frame_message(text: bytes) -> bytes:
    return len(text).to_bytes(FRAME_HEADER, "big") + text


class FrameReader:
    """Takes a stream in any split and gives the whole messages in it. After an error it takes no more."""

    def __init__(self, most: int = MAX_FRAME):
        self.most, self.rest, self.spoilt = most, bytearray(), False

    def dispatch(self, more: bytes) -> list[bytes]:
        """Raises MessageTooLargeError or MalformedMessageError; the messages that came whole before the fault
        go with it."""
        if self.spoilt:
            raise MalformedMessageError("a stream", "more behind a fault")
        rest, whole, at = self.rest, [], 0
        rest += more
        while len(rest) - at >= FRAME_HEADER:
            size = int.from_bytes(rest[at : at + FRAME_HEADER], "big")
            if not size or size > self.most:
                self.spoilt, self.rest = True, bytearray()
                if not size:
                    raise MalformedMessageError("a frame", "0 bytes")
                raise MessageTooLargeError("a frame", f"{size} bytes, {self.most} at most")
            if len(rest) - at < FRAME_HEADER + size:
                break
            whole.append(bytes(rest[at + FRAME_HEADER : at + FRAME_HEADER + size]))
            at += FRAME_HEADER + size
        del rest[:at]
        return whole
