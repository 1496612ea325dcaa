"""Encodes and decodes the messages between agents: the envelope, its MAC, and the frames of a stream.

The module defines the size limits and the order of the checks. It must never accept a message whose MAC does
not match, nor keep any part of a refused message; each refusal raises an error of errors.py.

A signed message is one byte of envelope version, `MAC_BYTES` of HMAC-SHA256 over the version and the body,
and the body: an `Envelope` in MessagePack. A frame of a stream is its length in `FRAME_HEADER_BYTES`, big
endian, and a signed message.
"""

import hmac
from functools import cache, reduce
from importlib import import_module
from operator import or_
from typing import Annotated, Any, NamedTuple

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
from cartdeal.fleet.settings import FleetSettings

ENVELOPE_VERSION = 1  # of the envelope only; the messages have tags
MAC_BYTES = 16  # the MAC is HMAC-SHA256, truncated from 32 bytes
MAX_DATAGRAM_BYTES = 1400  # fits into one packet on common networks
MAX_DATAGRAM_MESSAGE_BYTES = 1200  # of a datagram's message without the envelope
MAX_FRAME_BYTES = 512 * 1024
MAX_ENVELOPE_BYTES = 1024  # maximum overhead of version, MAC and envelope
FRAME_HEADER_BYTES = 4
MESSAGE_MODULES = (
    "cartdeal.fleet.membership.messages",
    "cartdeal.fleet.consensus.messages",
    "cartdeal.fleet.replication.messages",
    "cartdeal.fleet.quota.messages",
)

Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Envelope(Struct, frozen=True, array_like=True):
    """The sender's details and the encoded message. Sent as an array in this order."""

    fleet: Name
    sender: Name
    incarnation: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    address: Annotated[str, Meta(max_length=64)]
    wall_ms: Annotated[int, Meta(ge=0, le=(1 << 53))]  # the fleet's time at the sender, milliseconds
    message: msgspec.Raw  # decoded only after the MAC is verified


class ReceivedMessage(NamedTuple):
    """A message that passed all checks, in the order of the arguments of `Node.on_message`."""

    sender: str
    incarnation: int  # the sender's
    address: str  # the sender's "host:port", as the sender gives it
    wall_ms: int  # the fleet's time at the sender, milliseconds
    message: Struct


ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeError, ValueError, OverflowError, RecursionError)


@cache
def message_decoder() -> msgspec.msgpack.Decoder[Any]:
    """Returns the decoder for the messages of all parts.

    It is created at the first message, so that modules with message types may import this module.
    """
    message_types = [kind for module in MESSAGE_MODULES for kind in import_module(module).MESSAGE_TYPES]
    return msgspec.msgpack.Decoder(reduce(or_, message_types))


def is_datagram(message: Struct) -> bool:
    """Whether a message is sent by datagram rather than by stream; its type declares that."""
    return bool(message.DATAGRAM)  # type: ignore[attr-defined]


def encode(
    settings: FleetSettings, sender: str, incarnation: int, address: str, wall_ms: int, message: Struct
) -> bytes:
    """Encodes and signs one message. Raises MessageTooLargeError."""
    return sign_message(settings, sender, incarnation, address, wall_ms, encode_message(message))


def encode_message(message: Struct) -> bytes:
    """Encodes a message without its envelope. Raises MessageTooLargeError."""
    encoded = msgspec.msgpack.encode(message)
    max_bytes = MAX_DATAGRAM_MESSAGE_BYTES if is_datagram(message) else MAX_FRAME_BYTES - MAX_ENVELOPE_BYTES
    if len(encoded) > max_bytes:
        raise MessageTooLargeError(
            f"message {type(message).__name__}", f"{len(encoded)} bytes, {max_bytes} at most"
        )
    return encoded


def sign_message(
    settings: FleetSettings, sender: str, incarnation: int, address: str, wall_ms: int, encoded: bytes
) -> bytes:
    """Puts an encoded message into its envelope and signs it.

    This is a separate step so that a queued message gets its time when it is sent: an older time would look
    as if the sender's clock were behind.
    """
    envelope = Envelope(settings.fleet, sender, incarnation, address, wall_ms, msgspec.Raw(encoded))
    body = msgspec.msgpack.encode(envelope)
    return bytes([ENVELOPE_VERSION]) + compute_mac(settings.key, body) + body


def decode(settings: FleetSettings, signed: bytes, max_bytes: int = MAX_FRAME_BYTES) -> ReceivedMessage:
    """Checks and decodes a signed message of at most `max_bytes`.

    Raises MessageTooLargeError, MalformedMessageError, UnsupportedEnvelopeError, WrongFleetError,
    AuthenticationFailedError or UnknownMessageError. The errors about the version and the fleet's name are
    only hints to an operator: they are raised before the MAC is verified, so the message may be forged.
    """
    if len(signed) > max_bytes:
        raise MessageTooLargeError("a message", f"{len(signed)} bytes, {max_bytes} at most")
    if len(signed) <= 1 + MAC_BYTES:
        raise MalformedMessageError("a message", f"{len(signed)} bytes")
    if signed[0] != ENVELOPE_VERSION:
        raise UnsupportedEnvelopeError("a message's envelope", signed[0])
    body = signed[1 + MAC_BYTES :]
    try:
        envelope = ENVELOPE_DECODER.decode(body)
    except DECODING_ERRORS as error:
        raise MalformedMessageError("a message's envelope", error) from None
    if envelope.fleet != settings.fleet:
        raise WrongFleetError("a message's fleet", envelope.fleet)
    if not hmac.compare_digest(compute_mac(settings.key, body), signed[1 : 1 + MAC_BYTES]):
        raise AuthenticationFailedError(
            f"a message under the name {envelope.sender!r}", "a MAC that does not match"
        )
    try:
        message = message_decoder().decode(envelope.message)
    except DECODING_ERRORS as error:
        raise UnknownMessageError(f"message of {envelope.sender!r}", error) from None
    return ReceivedMessage(envelope.sender, envelope.incarnation, envelope.address, envelope.wall_ms, message)


def compute_mac(key: bytes, body: bytes) -> bytes:
    """Returns the MAC of an encoded envelope, computed with the fleet's key."""
    return hmac.digest(key, bytes([ENVELOPE_VERSION]) + body, "sha256")[:MAC_BYTES]


def frame_message(signed: bytes) -> bytes:
    """Returns a signed message as a frame of a stream."""
    return len(signed).to_bytes(FRAME_HEADER_BYTES, "big") + signed


class FrameReader:
    """Splits a stream, which may arrive in pieces of any size, into frames. After an error it takes no data.

    `buffer`: the bytes of the incomplete frame at the end.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES):
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()
        self.has_failed = False

    def feed(self, received: bytes) -> list[bytes]:
        """Adds the next bytes of the stream and returns the signed messages that they complete.

        Raises MessageTooLargeError or MalformedMessageError; complete messages in front of the invalid frame
        are lost, too.
        """
        if self.has_failed:
            raise MalformedMessageError("a stream", "more data after an invalid frame")
        buffer = self.buffer
        buffer += received
        messages = []
        start = 0
        while len(buffer) - start >= FRAME_HEADER_BYTES:
            size = int.from_bytes(buffer[start : start + FRAME_HEADER_BYTES], "big")
            if not 0 < size <= self.max_frame_bytes:
                raise self._fail(size)
            end = start + FRAME_HEADER_BYTES + size
            if len(buffer) < end:
                break
            messages.append(bytes(buffer[start + FRAME_HEADER_BYTES : end]))
            start = end
        del buffer[:start]
        return messages

    def _fail(self, size: int) -> MalformedMessageError | MessageTooLargeError:
        """Marks the stream as failed and returns the error to raise."""
        self.has_failed = True
        self.buffer = bytearray()
        if size == 0:
            return MalformedMessageError("a frame", "0 bytes")
        return MessageTooLargeError("a frame", f"{size} bytes, {self.max_frame_bytes} at most")
