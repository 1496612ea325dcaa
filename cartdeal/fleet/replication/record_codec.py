"""Encodes and decodes records in each schema version.

This module owns the form of records in storage and in messages. It must never drop a field that it doesn't
know, nor use bytes that record_validation hasn't checked.

Version 1: a session has one list of attempt records, "marks"; a usage counter has "counts" by period.
Version 2: a session has "by", its attempt records by deduplication group and window; a usage counter also has
"parts", the leased parts of a limit.

`supported_version` is the version that a program knows; with 1, this code acts as the old program in tests
and in simulations. migration.written_versions gives the versions that are written in a migration step.
"""

from collections.abc import Iterator
from typing import Any

from cartdeal.fleet.errors import InvalidRecordError, RecordTooLargeError
from cartdeal.fleet.replication import records
from cartdeal.fleet.replication.migration import written_versions
from cartdeal.fleet.replication.record_validation import (
    MAX_NUMBER,
    MAX_RECORD_BYTES,
    check_choice,
    check_integer,
    check_length,
    check_list,
    check_map,
    check_text,
    decode_fields,
)
from cartdeal.fleet.replication.records import (
    AttemptRecord,
    Certainty,
    LimitLease,
    Record,
    Session,
    UsageCounter,
)
from cartdeal.fleet.replication.unknown_fields import encoder

VERSIONS = (1, 2)
LATEST_VERSION = VERSIONS[-1]

MAX_ATTEMPTS = 1024  # in one session; far above an owner's limit, as the copies of many agents are merged
MAX_ATTEMPT_FIELDS = 64
MAX_INCARNATION = 1 << 63
MAX_WINDOW_DIGITS = 16  # digits of the milliseconds in a group's name

# Names of fields in stored bytes
ATTEMPTS_FIELD = "marks"
GROUPED_ATTEMPTS_FIELD = "by"
COUNTS_FIELD = "counts"
LEASES_FIELD = "parts"
GROUP_FIELDS = ("group", "window_ms")
ATTEMPT_FIELDS = tuple(records.STORED_NAMES.values())

KINDS = tuple(records.RECORD_TYPES)
REPEAT_MODES = tuple(records.RepeatMode)


def encode(
    kind: str, record: Record, written_version: int, phase: str, supported_version: int = LATEST_VERSION
) -> bytes:
    """The record's bytes in the form that the fleet writes now, as far as this program supports it.

    Equal records give equal bytes.

    Args:
        kind: The letter for the record's type.
        record: The record to encode.
        written_version: The ring's schema version.
        phase: The ring's phase of the migration.
        supported_version: The highest schema version that the program knows.

    Raises:
        RecordTooLargeError: The record is so large that no agent would read it.
    """
    versions = [
        version for version in written_versions(written_version, phase) if version <= supported_version
    ]
    lowest, highest = (versions[0], versions[-1]) if versions else (supported_version, supported_version)
    needs = max(lowest, record.required_version)
    fields = {**record.unknown_fields, "kind": kind, "v": max(highest, needs), "needs": needs}
    if isinstance(record, Session):
        if len(record.attempts) > MAX_ATTEMPTS:
            raise RecordTooLargeError("a session", f"{len(record.attempts)} attempt records")
        attempts = [record.attempts[attempt_id].fields() for attempt_id in sorted(record.attempts)]
        if lowest == 1:
            fields[ATTEMPTS_FIELD] = attempts
        if highest >= 2:
            fields[GROUPED_ATTEMPTS_FIELD] = _group_attempts(attempts)
    else:
        counts = record.served_counts
        fields[COUNTS_FIELD] = [[*counter, counts[counter]] for counter in sorted(counts)]
        if record.leases:  # in every version: a step back must not lose leases
            fields[LEASES_FIELD] = records.lease_fields(record)
    raw = encoder.encode(fields)
    if len(raw) > MAX_RECORD_BYTES:
        raise RecordTooLargeError("a record", f"{len(raw)} bytes")
    return raw


def decode(kind: str, raw: bytes, supported_version: int = LATEST_VERSION) -> Record:
    """Decodes a record from bytes of any version.

    The record's `required_version` is set if only a newer program can read all of it. If a session contains
    both forms and they differ, the attempts of both are merged: an old agent adds only to its own form.

    Raises:
        InvalidRecordError: The bytes aren't a valid record of this kind. No other error is raised.
    """
    fields = decode_fields(raw, KINDS)
    if fields.pop("kind") != kind:
        raise InvalidRecordError(f"a record under {kind}/", "a record of another kind")
    fields.pop("v")
    needs = fields.pop("needs")
    required_version = needs if needs > supported_version else 0
    if kind == records.SESSION_KIND:
        return _decode_session(fields, required_version, supported_version)
    return _decode_usage(fields, required_version, supported_version)


def needs_rewrite(
    raw: bytes, written_version: int, phase: str, supported_version: int = LATEST_VERSION
) -> bool:
    """Whether a record's bytes differ from those that would be written now.

    Raises:
        InvalidRecordError: The bytes aren't a valid record, so they can't be rewritten.
    """
    kind = decode_fields(raw, KINDS)["kind"]
    record = decode(kind, raw, supported_version)
    return encode(kind, record, written_version, phase, supported_version) != raw


# Sessions


def _decode_session(fields: dict[str, Any], required_version: int, supported_version: int) -> Session:
    session = Session({}, {}, required_version)
    attempts = check_list(fields.pop(ATTEMPTS_FIELD, []), ATTEMPTS_FIELD, MAX_ATTEMPTS)
    for value in attempts:
        _add_attempt(session, _decode_attempt(value))
    if supported_version >= 2:
        value = fields.pop(GROUPED_ATTEMPTS_FIELD, {})
        attempts_by_group = check_map(value, GROUPED_ATTEMPTS_FIELD, MAX_ATTEMPTS)
        # If both forms contain the same attempts, it is enough to read one.
        if attempts_by_group and records.encodes_differently(attempts_by_group, _group_attempts(attempts)):
            for group_name, attempt in _ungroup_attempts(attempts_by_group):
                _add_attempt(session, _decode_attempt(attempt, group_name))
    session.unknown_fields = fields
    return session


def _group_attempts(attempts: list[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    attempts_by_group: dict[str, list[dict[str, Any]]] = {}
    for attempt in attempts:
        rest = {name: value for name, value in attempt.items() if name not in GROUP_FIELDS}
        attempts_by_group.setdefault(f"{attempt['group']}/{attempt['window_ms']}", []).append(rest)
    return attempts_by_group


def _ungroup_attempts(attempts_by_group: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yields the group's name and the remaining fields of each attempt record in the form of version 2."""
    max_remaining = MAX_ATTEMPTS
    for group_name, attempts in sorted(attempts_by_group.items()):
        max_remaining -= len(check_list(attempts, "attempt records of a group", max_remaining))
        for attempt in attempts:
            yield group_name, attempt


def _decode_attempt(value: Any, group_name: str = "") -> AttemptRecord:
    unknown = dict(check_map(value, "an attempt record", MAX_ATTEMPT_FIELDS))
    if group_name:
        unknown |= _decode_group(group_name, unknown)
    missing_names = [name for name in ATTEMPT_FIELDS if name not in unknown]
    if missing_names:
        raise InvalidRecordError("an attempt record", "no " + ", ".join(missing_names))
    known = {name: unknown.pop(name) for name in ATTEMPT_FIELDS}
    return AttemptRecord(
        check_text(known["by"], "by", 1),
        check_text(known["key"], "key"),
        check_choice(known["repeat"], "repeat", REPEAT_MODES),
        check_choice(known["group"], "group", records.DEDUPLICATION_GROUPS),
        check_integer(known["window_ms"], "window_ms"),
        _decode_locations(known["places"]),
        Certainty(check_integer(known["certainty"], "certainty", max(Certainty))),
        check_integer(known["sent_ms"], "sent_ms"),
        check_integer(known["until_ms"], "until_ms"),
        check_text(known["workload"], "workload"),
        unknown,
    )


def _decode_group(group_name: str, attempt: dict[str, Any]) -> dict[str, Any]:
    """Decodes a group's name, "group/milliseconds", to the fields that it replaces in attempt records."""
    group, _, window = group_name.partition("/")
    if not (window.isascii() and window.isdigit() and len(window) <= MAX_WINDOW_DIGITS):
        raise InvalidRecordError("a group's name", f"{len(group_name)} characters")
    if any(name in attempt for name in GROUP_FIELDS):
        raise InvalidRecordError("an attempt record in a group", "a group of its own")
    return {"group": group, "window_ms": int(window)}


def _decode_locations(value: Any) -> tuple[tuple[str, int], ...]:
    locations = []
    for location in check_list(value, "places", records.MAX_LOCATIONS + 1):
        zone, cell = check_length(location, "a location", 2, "items")
        if location != list(records.UNKNOWN_LOCATION):
            check_integer(cell, "cell")
        locations.append((check_text(zone, "zone"), cell))
    return tuple(locations)


def _add_attempt(session: Session, attempt: AttemptRecord) -> None:
    known = session.attempts.get(attempt.attempt_id)
    session.attempts[attempt.attempt_id] = records.merge_attempts(known, attempt) if known else attempt


# Usage counters


def _decode_usage(fields: dict[str, Any], required_version: int, supported_version: int) -> UsageCounter:
    counts: dict[tuple[str, int, int], int] = {}
    for value in check_list(fields.pop(COUNTS_FIELD, []), COUNTS_FIELD, records.MAX_USAGE_COUNTS):
        agent, incarnation, period, served = check_length(value, "a count", 4, "numbers")
        counter = (
            check_text(agent, "agent", 1),
            check_integer(incarnation, "incarnation", MAX_INCARNATION),
            check_integer(period, "period"),
        )
        counts[counter] = max(check_integer(served, "served"), counts.get(counter, 0))
    leases = _decode_leases(fields.pop(LEASES_FIELD, {})) if supported_version >= 2 else {}
    return records.bounded(UsageCounter(counts, leases, fields, required_version))


def _decode_leases(value: Any) -> dict[str, LimitLease]:
    leases = {}
    for holder, lease in check_map(value, LEASES_FIELD, records.MAX_LEASES).items():
        until, rate, burst = check_length(lease, "a lease", 3, "numbers")
        for number in (rate, burst):
            if type(number) is not float or not 0 <= number <= MAX_NUMBER:
                raise InvalidRecordError("a lease's rate or burst", type(number).__name__)
        leases[check_text(holder, "holder", 1)] = LimitLease(check_integer(until, "until"), rate, burst)
    return leases
