"""Migration of a fleet's records from one schema version to the next, in rolling upgrades and rollbacks."""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cartdeal.fleet import errors
from cartdeal.fleet.replication import migration, record_validation
from cartdeal.fleet.replication.migration import next_step
from cartdeal.fleet.replication.record_codec import decode, encode, needs_rewrite
from cartdeal.fleet.replication.records import (
    AttemptRecord,
    Certainty,
    Session,
    UsageCounter,
    advance,
    merge,
)
from cartdeal.fleet.ring.ring import PHASES
from cartdeal.fleet.settings import FleetSettings

NEW, OLD = (1, 2), (1, 1)
ATTEMPT = AttemptRecord("a/1/1", "k", "u", "zone", 5, (("z", 1),), Certainty.SENT, 1, 9, "w")


def fleet_settings(hold_version=0):
    return FleetSettings(fleet="f", name="a", hold_version=hold_version)


def ring(written=1, phase="steady", names="abcde"):
    return SimpleNamespace(
        written_version=written, phase=phase, members=[SimpleNamespace(name=name) for name in names]
    )


def peers(reads=NEW, migrated_version=1, names="abcde", state=0, **others):
    return {
        name: SimpleNamespace(reads=reads, migrated_version=migrated_version, state=state) for name in names
    } | others


def peer(reads=NEW, migrated_version=1, state=0):
    return SimpleNamespace(reads=reads, migrated_version=migrated_version, state=state)


def test_a_rolling_upgrade_continues_with_any_proposer():
    steps, current = [], ring()
    for live in (
        peers(OLD),
        peers(OLD, b=peer()),
        peers(),
        peers(),
        peers(),
        peers(migrated_version=2, c=peer()),
        peers(migrated_version=2),
        peers(OLD, migrated_version=2),
        peers(migrated_version=2),
    ):
        current = ring(
            *next_step(current, live, fleet_settings())
        )  # only the version and the phase are passed to the next step
        steps.append((current.written_version, current.phase))
    assert steps == [
        (1, "steady"),
        (1, "steady"),
        (1, "widen"),
        (1, "move"),
        (1, "move"),
        (1, "move"),
        (1, "narrow"),
        (2, "steady"),
        (2, "steady"),
    ]


@pytest.mark.parametrize("phase", ["steady", "widen", "move", "narrow"])
def test_a_minority_takes_no_step(phase):
    assert next_step(ring(1, phase), peers(migrated_version=2, names="ab"), fleet_settings()) == (1, phase)
    partitioned = peers(migrated_version=2, names="ab") | peers(OLD, names="cde", state=2)
    assert next_step(ring(1, phase), partitioned, fleet_settings()) == (1, phase)


def test_narrowing_waits_for_absent_members_until_they_leave_the_ring():
    move_ring, present = ring(1, "move"), peers(migrated_version=2, names="abcd")
    assert next_step(move_ring, present, fleet_settings()) == (1, "move")
    assert next_step(move_ring, present | {"e": peer(migrated_version=1, state=2)}, fleet_settings()) == (
        1,
        "move",
    )
    assert next_step(move_ring, present | {"e": peer(migrated_version=2, state=2)}, fleet_settings()) == (
        1,
        "narrow",
    )
    assert next_step(ring(1, "move", "abcd"), present, fleet_settings()) == (1, "narrow")


@pytest.mark.parametrize(
    "live, hold_version",
    [
        (peers(migrated_version=2), 1),
        (peers(migrated_version=2, d=peer(OLD), e=peer(OLD)), 0),
        (peers(migrated_version=2, joins=peer(OLD)), 0),
    ],
    ids=["version held by the operator", "half rolled back", "old agent joins"],
)
def test_a_step_back_is_possible_until_narrowed(live, hold_version):
    steps = {phase: next_step(ring(1, phase), live, fleet_settings(hold_version)) for phase in PHASES}
    assert steps == {
        "steady": (1, "steady"),
        "widen": (1, "steady"),
        "move": (1, "widen"),
        "narrow": (2, "steady"),
    }
    assert next_step(ring(2), live, fleet_settings(hold_version)) == (2, "steady")


def test_a_downgrade_after_narrowing_gives_an_error_with_a_remedy():
    for narrowed in (ring(1, "narrow"), ring(2)):
        error = migration.downgrade_error(narrowed, fleet_settings(hold_version=1))
        assert isinstance(error, errors.SchemaDowngradeError) and "hold_version" in error.remedy
        assert (
            migration.downgrade_error(narrowed, fleet_settings())
            is migration.downgrade_error(narrowed, fleet_settings(hold_version=2))
            is None
        )
    assert migration.downgrade_error(ring(1, "move"), fleet_settings(hold_version=1)) is None


def test_an_old_agent_back_after_narrowing_is_fenced_and_its_attempts_are_merged():
    for phase in ("steady", "widen", "move"):
        assert (
            migration.unsupported_error(OLD, ring(1, phase))
            is migration.unsupported_error(NEW, ring(1, phase))
            is None
        )
    assert migration.unsupported_error((2, 3), ring(1, "move"))  # it can't read unmigrated records
    for narrowed in (ring(1, "narrow"), ring(2)):
        error = migration.unsupported_error(OLD, narrowed)
        assert isinstance(error, errors.UnsupportedSchemaError) and "program" in error.remedy
        assert migration.unsupported_error(NEW, narrowed) is None
    other = AttemptRecord("b/1/1", "k", "u", "cell", 7, expires_ms=9)
    fleet_copy = decode("s", encode("s", Session({ATTEMPT.attempt_id: ATTEMPT}), 2, "steady"))
    old_copy = encode(
        "s",
        Session({other.attempt_id: other, ATTEMPT.attempt_id: advance(ATTEMPT, certainty=3)}),
        1,
        "move",
        supported_version=1,
    )
    merged = merge(fleet_copy, decode("s", old_copy))
    assert merged.attempts == {other.attempt_id: other, ATTEMPT.attempt_id: advance(ATTEMPT, certainty=3)}
    # The old agent learns from the record that a newer program is needed to read all of it.
    assert decode("s", encode("s", merged, 2, "steady"), supported_version=1).required_version == 2


def test_old_agents_read_all_attempts_until_narrowing_and_both_forms_agree():
    record = Session({ATTEMPT.attempt_id: ATTEMPT})
    for phase in ("steady", "widen", "move"):
        old_copy = decode("s", encode("s", record, 1, phase), supported_version=1)
        assert old_copy.attempts == record.attempts and not old_copy.required_version
    raw = encode("s", record, 1, "move")
    assert {"marks", "by"} < record_validation.decoder.decode(raw).keys()
    assert "marks" not in record_validation.decoder.decode(encode("s", record, 1, "narrow"))
    assert list(record_validation.decoder.decode(raw)["by"]) == ["zone/5"]
    usage = UsageCounter({("a", 1, 3): 4}, {"h": (3, 5.0, 2.0)})
    rewritten = decode("u", encode("u", decode("u", encode("u", usage, 1, "move"), 1), 1, "move", 1))
    assert rewritten == usage
    assert decode("u", encode("u", usage, 1, "steady")) == usage  # a step back loses no leases


def test_records_to_rewrite_by_phase():
    record = Session({ATTEMPT.attempt_id: ATTEMPT})
    raw_by_step = {step: encode("s", record, *step) for step in ((1, "steady"), (1, "move"), (2, "steady"))}
    for step, raw in raw_by_step.items():
        assert [needs_rewrite(raw, *other) for other in raw_by_step] == [
            other != step for other in raw_by_step
        ]
    # An old agent adds an attempt to its own form of a record that contains both forms.
    old_copy = decode("s", raw_by_step[1, "move"], supported_version=1)
    old_copy.attempts["b/1/1"] = AttemptRecord("b/1/1", "k", "d", "all", 5)
    assert needs_rewrite(encode("s", old_copy, 1, "move", supported_version=1), 1, "move")
    assert not needs_rewrite(
        encode("s", old_copy, 1, "move", supported_version=1), 1, "move", supported_version=1
    )
    with pytest.raises(errors.InvalidRecordError):
        needs_rewrite(b"", 1, "move")
    assert [
        migration.migrated_version(ring(1, phase), unmigrated_count)
        for phase in PHASES
        for unmigrated_count in (1, 0)
    ] == [
        1,
        1,
        1,
        1,
        1,
        2,
        2,
        2,
    ]
    assert [migration.governing_version(1, phase) for phase in PHASES] == [1, 1, 1, 2]


small_integers = st.integers(0, 2)
peer_strategy = st.builds(peer, st.sampled_from([OLD, NEW, (2, 2)]), small_integers, st.integers(0, 3))


@settings(derandomize=True, deadline=None)
@given(st.lists(st.dictionaries(st.sampled_from("abcdef"), peer_strategy), max_size=8), small_integers)
def test_any_views_of_peers_give_single_steps_and_none_back_from_narrow(views, hold_version):
    sequence = [(1, "steady"), (1, "widen"), (1, "move"), (1, "narrow"), (2, "steady")]
    current = sequence[0]
    for view in views:
        following = next_step(ring(*current), view, fleet_settings(hold_version))
        assert following == next_step(
            ring(*current), dict(sorted(view.items(), reverse=True)), fleet_settings(hold_version)
        )
        change = sequence.index(following) - sequence.index(current)
        assert abs(change) <= 1 and (change >= 0 or sequence.index(current) < 3)
        if change and following != (2, "steady"):
            live_members = [view[name] for name in "abcde" if name in view and view[name].state <= 1]
            assert len(live_members) > 2 and (change < 0 or all(each.reads[1] >= 2 for each in live_members))
        if following == (1, "narrow") != current:
            assert all(view[name].migrated_version == 2 for name in "abcde")
        current = following
