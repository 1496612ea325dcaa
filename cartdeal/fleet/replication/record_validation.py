"""Validates stored and received bytes before any of their values is used.

This module must never trust a byte, nor quote a rejected value in an error's text, which may be logged. Every
check raises InvalidRecordError.
"""

from typing import Any

import msgspec

from cartdeal.fleet.errors import InvalidRecordError

MAX_RECORD_BYTES = 1 << 18
MAX_VALUE_DEPTH = 8  # levels of maps and lists in a value
MAX_TEXT_LENGTH = 512  # characters of a name or key
MAX_NUMBER = 1 << 53
MAX_SCHEMA_VERSION = 1000

PLAIN_TYPES = frozenset((type(None), bool, int, float, str, bytes))

decoder = msgspec.msgpack.Decoder()


def decode_fields(raw: bytes, kinds: tuple[str, ...]) -> dict[str, Any]:
    """Decodes the fields of a record of any version, and checks "kind", "v" and "needs"."""
    if len(raw) > MAX_RECORD_BYTES:
        raise InvalidRecordError("a record", f"{len(raw)} bytes")
    try:
        fields = decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError, TypeError, OverflowError) as error:
        raise InvalidRecordError("a record", type(error).__name__) from None
    if not isinstance(fields, dict):
        raise InvalidRecordError("a record", type(fields).__name__)
    check_plain(fields)
    check_choice(fields.get("kind"), "a record's kind", kinds)
    needs = check_integer(fields.get("needs"), "needs", MAX_SCHEMA_VERSION)
    if not 1 <= needs <= check_integer(fields.get("v"), "v", MAX_SCHEMA_VERSION):
        raise InvalidRecordError("a record's version", f"needs version {needs}, is version {fields['v']}")
    return fields


def check_plain(fields: dict[Any, Any]) -> None:
    """Checks that fields contain only values that every program version orders and writes in the same way.

    These are maps with text keys, lists and PLAIN_TYPES other than NaN, at most MAX_VALUE_DEPTH levels deep.
    """
    level: list[Any] = [fields]
    for _ in range(MAX_VALUE_DEPTH):
        next_level = []
        for container in level:
            if type(container) is dict:
                for name in container:
                    if type(name) is not str:
                        raise InvalidRecordError("a field's name", type(name).__name__)
                container = container.values()
            for value in container:
                value_type = type(value)
                if value_type is dict or value_type is list:
                    next_level.append(value)
                elif value_type not in PLAIN_TYPES or value != value:  # noqa: PLR0124 - NaN alone differs from itself
                    raise InvalidRecordError("a value", "nan" if value_type is float else value_type.__name__)
        if not next_level:
            return
        level = next_level
    raise InvalidRecordError("a value", f"more than {MAX_VALUE_DEPTH} deep")


def check_integer(value: Any, subject: str, maximum: int = MAX_NUMBER) -> int:
    """The value, if it is an integer from 0 to `maximum`."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise InvalidRecordError(subject, "out of range" if type(value) is int else type(value).__name__)
    return value


def check_text(value: Any, subject: str, min_length: int = 0) -> str:
    """The value, if it is text of `min_length` to MAX_TEXT_LENGTH characters."""
    if type(value) is not str or not min_length <= len(value) <= MAX_TEXT_LENGTH:
        raise InvalidRecordError(
            subject, f"{len(value)} characters" if type(value) is str else type(value).__name__
        )
    return value


def check_list(value: Any, subject: str, max_length: int) -> list[Any]:
    """The value, if it is a list of at most `max_length` items."""
    if type(value) is not list or len(value) > max_length:
        raise InvalidRecordError(
            subject, f"{len(value)} items" if type(value) is list else type(value).__name__
        )
    return value


def check_length(value: Any, subject: str, length: int, unit: str) -> list[Any]:
    """The value, if it is a list of exactly `length` items; `unit` names them in the error."""
    if len(check_list(value, subject, length)) != length:
        raise InvalidRecordError(subject, f"{len(value)} {unit}")
    return value  # type: ignore[no-any-return]


def check_map(value: Any, subject: str, max_length: int) -> dict[str, Any]:
    """The value, if it is a map of at most `max_length` entries."""
    if type(value) is not dict or len(value) > max_length:
        raise InvalidRecordError(
            subject, f"{len(value)} entries" if type(value) is dict else type(value).__name__
        )
    return value


def check_choice(value: Any, subject: str, choices: tuple[str, ...]) -> str:
    """The value, if it is one of the choices."""
    if value not in choices:
        raise InvalidRecordError(subject, "not one of " + ", ".join(choices))
    return value  # type: ignore[no-any-return]
