"""Tells the rest of an answer whose stated length is too short from what doesn't belong to the answer.

A server may send a second answer, or noise, behind a good answer; or the length that it states may be too
short, and the bytes behind it are the end of the answer. Where the two can't be told apart, the answer must
not be served: its client would take the beginning of it for the whole.
"""

import re

import msgspec

from cartdeal.agent.message import Message

STATUS_LINE = re.compile(rb"[\r\n]*HTTP/1\.[01] [1-5][0-9][0-9][ \r]")
JSON_TYPE = re.compile(rb"application/(?:[!-.0-~]+\+)?json\s*(?:;.*)?", re.IGNORECASE)
TEXT_TYPE = re.compile(rb"text/.*", re.IGNORECASE)
# Bytes that are in no text of an encoding that extends ASCII.
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0e-\x1a\x1c-\x1f]")


def may_be_rest_of_body(answer: Message, surplus: bytes) -> bool:
    """Whether `surplus`, the bytes behind an answer with a stated length, may be the rest of its body."""
    if not surplus or STATUS_LINE.match(surplus):
        return False
    content_type = answer.headers.get(b"content-type", b"")
    if JSON_TYPE.fullmatch(content_type):
        return not (surplus.strip() and is_whole_json(answer.body))
    may_be_text = not content_type or TEXT_TYPE.fullmatch(content_type)
    return not (may_be_text and is_text(answer.body) and CONTROL_BYTES.search(surplus))


def is_whole_json(body: bytes) -> bool:
    """Whether the body is a JSON value of which no shorter beginning is one: of a number there may be."""
    if body.lstrip()[:1] not in (b"{", b"[", b'"'):
        return False
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except (msgspec.MsgspecError, UnicodeError):
        return False
    return True


def is_text(body: bytes) -> bool:
    """Whether the body is text, as far as its bytes tell; an empty one doesn't."""
    if not body or CONTROL_BYTES.search(body):
        return False
    try:
        body.decode()
    except UnicodeError:
        return False
    return True
