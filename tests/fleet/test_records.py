"""Records: merging, their bytes in each schema version, bounds, expiry and timestamps of other clocks."""

from functools import reduce
from itertools import permutations

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cartdeal.fleet import errors
from cartdeal.fleet.hybrid_clock import HybridClock, Timestamp
from cartdeal.fleet.replication import record_codec, records
from cartdeal.fleet.replication.records import (
    AttemptRecord,
    Certainty,
    Session,
    UsageCounter,
    delta,
    digest,
    merge,
)

STEPS = [(1, "steady"), (1, "widen"), (1, "move"), (1, "narrow"), (2, "steady")]

property_settings = settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
small_integers = st.integers(0, 3)
plain_values = st.recursive(
    st.none() | st.booleans() | small_integers | st.floats(allow_nan=False) | st.text() | st.binary(),
    lambda each: st.lists(each, max_size=2) | st.dictionaries(st.sampled_from("pqr"), each, max_size=2),
    max_leaves=4,
)
unknown_fields = st.dictionaries(st.sampled_from(["xa", "xb"]), plain_values, max_size=2)
locations = st.lists(st.tuples(st.sampled_from(["", "a", "b"]), small_integers), max_size=3).map(tuple)
attempt_records = st.builds(
    AttemptRecord,
    st.sampled_from(["a/1/1", "a/1/2", "b/7/1"]),
    st.sampled_from("kl"),
    st.sampled_from("du"),
    st.sampled_from(records.DEDUPLICATION_GROUPS),
    small_integers,
    locations,
    st.sampled_from(Certainty),
    small_integers,
    small_integers,
    st.sampled_from("wv"),
    unknown_fields,
)
sessions = st.builds(
    Session,
    st.lists(attempt_records, max_size=4).map(lambda each: {attempt.attempt_id: attempt for attempt in each}),
    unknown_fields,
    st.sampled_from([0, 3]),
)
periods = st.sampled_from([0, 1, 120, 121, 122])
leases = st.tuples(small_integers, st.sampled_from([0.0, 1.5]), st.just(2.0))
usage_counters = st.builds(
    UsageCounter,
    st.dictionaries(st.tuples(st.sampled_from("ab"), small_integers, periods), small_integers, max_size=5),
    st.dictionaries(st.sampled_from("gh"), leases),
    unknown_fields,
    st.sampled_from([0, 3]),
)
three_records = st.one_of(
    st.lists(sessions, min_size=3, max_size=3), st.lists(usage_counters, min_size=3, max_size=3)
)


def encode(record, step=(1, "move"), supported_version=2):
    return record_codec.encode(records.record_kind(record), record, *step, supported_version)


@property_settings
@given(three_records)
def test_merge_is_independent_of_order_grouping_and_repetition(copies):
    a, b, c = copies
    merged = encode(merge(merge(a, b), c))
    for first, second, third in permutations(copies):
        assert encode(merge(first, merge(second, third))) == merged
        assert encode(reduce(merge, [first, second, third, second, first])) == merged
    assert encode(merge(a, a)) == encode(merge(a, type(a)())) == encode(reduce(merge, [a], type(a)()))
    assert digest(merge(a, merge(b, c))) == digest(merge(c, merge(a, b)))
    assert encode(merge(b, delta(a, b))) == encode(merge(a, b))


@property_settings
@given(three_records, st.sampled_from(STEPS), st.sampled_from(STEPS))
def test_every_version_reads_and_rewrites_records_of_every_other(copies, first_step, second_step):
    record = records.bounded(copies[0]) if isinstance(copies[0], UsageCounter) else copies[0]
    kind = records.record_kind(record)
    old_copy = record_codec.decode(kind, encode(record, first_step), supported_version=1)
    rewritten = encode(merge(old_copy, type(record)()), second_step, supported_version=1)
    decoded = record_codec.decode(kind, rewritten)
    assert encode(decoded, first_step) == encode(record, first_step)
    assert digest(decoded) == digest(record) and decoded.required_version == record.required_version
    if first_step[1] == "move" and not record.required_version:  # the old agent can read the whole record
        assert digest(old_copy) == digest(record) and old_copy.required_version == 0


@property_settings
@given(three_records)
def test_copies_of_old_and_new_agents_reach_the_same_digest(copies):
    kind = records.record_kind(copies[0])
    decoded = [[record_codec.decode(kind, encode(each), version) for each in copies] for version in (1, 2)]
    assert digest(reduce(merge, decoded[0])) == digest(reduce(merge, decoded[1]))


def test_a_field_of_a_newer_version_survives_an_old_agent():
    newer = {"kind": "s", "v": 3, "needs": 1, "marks": [], "by": {}, "newest": {"p": [1, {"q": b"z"}]}}
    for version in (1, 2):
        record = record_codec.decode("s", msgspec.msgpack.encode(newer), version)
        rewritten = msgspec.msgpack.decode(encode(record, (1, "steady"), version))
        assert rewritten["newest"] == newer["newest"]
    unreadable = record_codec.decode("s", msgspec.msgpack.encode({**newer, "needs": 3}))
    # An agent can't answer from a record that needs a newer program, and must not drop it.
    assert unreadable.required_version == 3 and not records.is_empty(unreadable)


def test_attempts_that_only_an_old_agent_added_are_merged_with_the_new_form():
    first, added = (AttemptRecord(f"a/1/{n}", "k", "u", "zone", 5, expires_ms=9) for n in (1, 2))
    old_copy = record_codec.decode(
        "s", encode(Session({first.attempt_id: first}), (1, "narrow")), supported_version=1
    )
    old_copy = merge(
        old_copy, Session({added.attempt_id: added})
    )  # the old agent can't read the first attempt any more, and keeps it
    assert record_codec.decode("s", encode(old_copy, supported_version=1)).attempts == {
        first.attempt_id: first,
        added.attempt_id: added,
    }
    old_copy = record_codec.decode("s", encode(Session({first.attempt_id: first})), supported_version=1)
    advanced = records.advance(old_copy.attempts[first.attempt_id], certainty=Certainty.ANSWERED)
    old_copy = merge(old_copy, Session({added.attempt_id: added, advanced.attempt_id: advanced}))
    assert record_codec.decode("s", encode(old_copy, supported_version=1)).attempts == {
        advanced.attempt_id: advanced,
        added.attempt_id: added,
    }


@property_settings
@given(
    st.binary(max_size=60)
    | st.dictionaries(
        st.sampled_from(["kind", "v", "needs", "marks", "by", "counts", "parts"]),
        plain_values
        | st.sampled_from(["s", "u", 1, 2])
        | st.lists(
            st.dictionaries(st.sampled_from(record_codec.ATTEMPT_FIELDS), plain_values, max_size=3),
            max_size=2,
        ),
    ).map(lambda each: msgspec.msgpack.encode({"kind": "s", "v": 2, "needs": 1} | each)),
    st.sampled_from("su"),
)
def test_arbitrary_bytes_decode_or_raise_a_fleet_error(raw, kind):
    try:
        encode(record_codec.decode(kind, raw))
    except errors.FleetError:
        pass


@property_settings
@given(three_records, st.sampled_from(STEPS), st.integers(0, 10**6), st.binary(min_size=1, max_size=2))
def test_truncated_or_changed_bytes_decode_or_raise_a_fleet_error(copies, step, position, noise):
    raw = encode(copies[0], step)
    position %= len(raw)
    for changed in (raw[:position], raw[:position] + noise + raw[position + len(noise) :], raw + noise):
        try:
            encode(record_codec.decode(records.record_kind(copies[0]), changed))
        except errors.FleetError:
            pass


@pytest.mark.parametrize(
    "raw",
    [
        b"\xdd\xff\xff\xff\xff",
        b"\x91" * 100_000,
        b"\x00" * (1 << 20),
        b"\x81\x90\x01",
        b"\xd6\xff\0\0\0\0",
        {"kind": "u"},
        {"kind": []},
        {"needs": 2},
        {"needs": True},
        {"x": float("nan")},
        {"by": 0},
        {"marks": [{}] * 2000},
        {"x": [[[[[[[[[]]]]]]]]]},
    ],
    ids=lambda raw: repr(raw)[:20],
)
def test_the_error_for_invalid_bytes_does_not_quote_them(raw):
    if isinstance(raw, dict):
        raw = msgspec.msgpack.encode({"kind": "s", "v": 1, "needs": 1} | raw)
    with pytest.raises(errors.InvalidRecordError) as raised:
        record_codec.decode("s", raw)
    assert len(str(raised.value)) < 300


def test_records_over_a_limit_are_rejected_not_truncated():
    attempts = {f"a/1/{n}": AttemptRecord(f"a/1/{n}", "k", "u", "all", 5) for n in range(1025)}
    assert (
        Session(attempts).is_full(64)
        and Session({}, {"x": b"." * 40_000}).is_full(64)
        and not Session().is_full(64)
    )
    for record in (Session(attempts), Session({}, {"x": b"." * (1 << 18)})):
        with pytest.raises(errors.RecordTooLargeError):
            encode(record)
    with pytest.raises(errors.InvalidRecordError):
        merge(Session(), UsageCounter())


def test_locations_over_the_limit_are_replaced_by_the_unknown_location():
    first, second = (
        AttemptRecord("a/1/1", "k", "d", "cell", 5, tuple(("z", n) for n in cells))
        for cells in (range(20), range(15, 40))
    )
    merged = records.merge_attempts(first, second).locations
    assert merged[0] == records.UNKNOWN_LOCATION and len(merged) == 1 + records.MAX_LOCATIONS
    for copy in (first, second):  # all locations of the first are kept
        assert records.merge_attempts(records.merge_attempts(second, first), copy).locations == merged


def test_merging_drops_the_same_old_counts_and_short_leases_in_any_order():
    # The property tests reach only the bound on periods; this test reaches all bounds.
    copies = [
        UsageCounter(
            {
                ("a", incarnation, period): 1
                for incarnation in range(300)
                for period in range(start, start + 20)
            },
            {f"h{n}": (n, 1.0, 1.0) for n in range(start * 10, start * 10 + 700)},
        )
        for start in (0, 60, 130)
    ]
    merged = [reduce(merge, order) for order in permutations(copies)]
    assert len({digest(each) for each in merged}) == 1
    assert (
        len(merged[0].served_counts) == records.MAX_USAGE_COUNTS
        and len(merged[0].leases) == records.MAX_LEASES
    )
    assert min(period for _, _, period in merged[0].served_counts) > 149 - records.RETAINED_PERIODS
    usage = merge(
        UsageCounter({("a", 1, 125): 2, ("b", 1, 125): 3, ("a", 1, 110): 1}), UsageCounter({("a", 1, 109): 1})
    )
    assert [usage.total_served(period) for period in (109, 110, 125)] == [0, 1, 5]


def test_attempts_expire_by_the_slowest_clock_and_bind_until_then():
    fields = (
        ("a/1/1", Certainty.SENT, 1000),
        ("a/1/2", Certainty.SENT, 3000),
        ("b/1/1", Certainty.NEVER_RAN, 3000),
    )
    session = Session(
        {
            attempt_id: AttemptRecord(
                attempt_id, "k", "u", "all", 5, certainty=certainty, expires_ms=expires_ms
            )
            for attempt_id, certainty, expires_ms in fields
        }
    )
    assert [attempt.attempt_id for attempt in session.open_attempts("k", 2999, slack_ms=500)] == ["a/1/2"]
    assert [attempt.attempt_id for attempt in session.open_attempts("k", 1400, slack_ms=500)] == [
        "a/1/1",
        "a/1/2",
    ]
    assert session.open_attempts("l", 0) == () and records.without_expired(session, 1400, 500) is session
    assert sorted(records.without_expired(session, 1500, 500).attempts) == ["a/1/2", "b/1/1"]
    assert records.is_empty(records.without_expired(session, 3500, 500))
    assert records.clock_error(session, 0, 2500, 500) is None
    assert "a/1/2" in records.clock_error(session, 0, 2000, 500).subject
    usage = records.UsageCounter({("a", 1, 12): 3})
    assert records.clock_error(usage, 11_000, 2000, 500) is None
    assert "a/1" in records.clock_error(usage, 9_000, 2000, 500).subject


def test_a_timestamp_far_ahead_is_rejected_and_a_clock_that_jumps_back_continues():
    clock = HybridClock("a", 2.0)
    first = clock.tick(100.0)
    assert clock.tick(90.0) == Timestamp(100_000, 1, "a") > first  # the wall clock jumped back by ten seconds
    assert clock.observe(Timestamp(99_000, 0, "c"), 90.0) == Timestamp(
        100_000, 2, "a"
    )  # the observed timestamp isn't newer
    with pytest.raises(errors.ClockAheadError, match="clock of b"):
        clock.observe(Timestamp(103_001, 0, "b"), 101.0)
    assert clock.latest.wall_ms == 100_000 and clock.tick(101.0) == Timestamp(101_000, 0, "a")
    assert clock.observe(Timestamp(102_000, 7, "c"), 101.0) == Timestamp(102_000, 8, "a")
    clock.latest = Timestamp(102_000, (1 << 31) - 1, "a")
    assert clock.tick(101.0) == Timestamp(102_001, 0, "a") and not clock.is_behind()
    for name in "bcd":
        with pytest.raises(errors.ClockAheadError):
            clock.observe(Timestamp(120_000, 0, name), 101.0)
    assert clock.is_behind()  # the clocks of all peers are ahead, so this agent's is behind
