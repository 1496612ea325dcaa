"""The rule by which every version merges fields that it doesn't know.

Maps are merged key by key; of any other two values the greater by `rank` wins. The rule must never change: a
later version that adds a field relies on it, since old agents merge the field by this rule.
"""

from math import copysign
from typing import Any

import msgspec

MAX_UNKNOWN_BYTES = 32 * 1024  # bytes of unknown fields in a record; with more, the record is full

encoder = msgspec.msgpack.Encoder(order="deterministic")


def rank(value: Any) -> tuple[Any, ...]:
    """A sort key that is a total order of all plain values: numbers by value, lists item by item."""
    if value is None:
        return (0,)
    if isinstance(value, bool):
        return (1, value)
    if isinstance(value, int | float):
        return (2, value, isinstance(value, float), copysign(1, value))
    if isinstance(value, str):
        return (3, value)
    if isinstance(value, bytes):
        return (4, value)
    if isinstance(value, dict):
        return (6, [(name, rank(item)) for name, item in sorted(value.items())])
    return (5, [rank(item) for item in value])


def merge_values(a: Any, b: Any) -> Any:
    """Merges two values of an unknown field."""
    if isinstance(a, dict) and isinstance(b, dict):
        return merge_fields(a, b)
    return max(a, b, key=rank)


def merge_fields(a: dict[str, Any], b: dict[str, Any], redundant: tuple[str, ...] = ()) -> dict[str, Any]:
    """Merges the fields of two copies; of a field in `redundant`, one copy's value is kept unmerged.

    A redundant field therefore can't grow.
    """
    if not (a and b):
        return dict(a or b)
    merged = dict(a)
    for name, value in b.items():
        if name not in merged:
            merged[name] = value
        elif name in redundant:
            merged[name] = max(merged[name], value, key=rank)
        else:
            merged[name] = merge_values(merged[name], value)
    return merged


def is_too_large(fields: dict[str, Any]) -> bool:
    """Whether the fields take more than MAX_UNKNOWN_BYTES."""
    return bool(fields) and len(encoder.encode(fields)) > MAX_UNKNOWN_BYTES
