from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

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


def fleet_settings(hold=0):
    return FleetSettings(fleet="f", name="a", hold_version=hold)


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


def test_a_rolling_upgrade_goes_on_whoever_proposes():
    steps, here = [], ring()
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
        here = ring(
            *next_step(here, live, fleet_settings())
        )  # a new ring each time: nothing else is remembered
        steps.append((here.written_version, here.phase))
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
    cut_off = peers(migrated_version=2, names="ab") | peers(OLD, names="cde", state=2)
    assert next_step(ring(1, phase), cut_off, fleet_settings()) == (1, phase)


def test_absent_seats_are_owed_a_look_until_they_lose_their_seat():
    moving, away = ring(1, "move"), peers(migrated_version=2, names="abcd")
    assert next_step(moving, away, fleet_settings()) == (1, "move")
    assert next_step(moving, away | {"e": peer(migrated_version=1, state=2)}, fleet_settings()) == (1, "move")
    assert next_step(moving, away | {"e": peer(migrated_version=2, state=2)}, fleet_settings()) == (
        1,
        "narrow",
    )
    assert next_step(ring(1, "move", "abcd"), away, fleet_settings()) == (1, "narrow")


@pytest.mark.parametrize(
    "live, hold",
    [
        (peers(migrated_version=2), 1),
        (peers(migrated_version=2, d=peer(OLD), e=peer(OLD)), 0),
        (peers(migrated_version=2, joins=peer(OLD)), 0),
    ],
    ids=["held", "half rolled back", "old one joins"],
)
def test_a_step_back_is_possible_until_narrowed(live, hold):
    back = {phase: next_step(ring(1, phase), live, fleet_settings(hold)) for phase in PHASES}
    assert back == {
        "steady": (1, "steady"),
        "widen": (1, "steady"),
        "move": (1, "widen"),
        "narrow": (2, "steady"),
    }
    assert next_step(ring(2), live, fleet_settings(hold)) == (2, "steady")


def test_a_step_back_after_narrowing_is_refused_with_what_to_do():
    for here in (ring(1, "narrow"), ring(2)):
        error = migration.downgrade_error(here, fleet_settings(hold=1))
        assert isinstance(error, errors.SchemaDowngradeError) and "hold_version" in error.remedy
        assert (
            migration.downgrade_error(here, fleet_settings())
            is migration.downgrade_error(here, fleet_settings(hold=2))
            is None
        )
    assert migration.downgrade_error(ring(1, "move"), fleet_settings(hold=1)) is None


def test_an_old_agent_that_comes_back_after_narrowing_is_fenced_and_its_marks_carried_over():
    for phase in ("steady", "widen", "move"):
        assert (
            migration.unsupported_error(OLD, ring(1, phase))
            is migration.unsupported_error(NEW, ring(1, phase))
            is None
        )
    assert migration.unsupported_error((2, 3), ring(1, "move"))  # what hasn't moved yet it couldn't read
    for here in (ring(1, "narrow"), ring(2)):
        error = migration.unsupported_error(OLD, here)
        assert isinstance(error, errors.UnsupportedSchemaError) and "program" in error.remedy
        assert migration.unsupported_error(NEW, here) is None
    later = AttemptRecord("b/1/1", "k", "u", "cell", 7, expires_ms=9)
    fleets = decode("s", encode("s", Session({ATTEMPT.attempt_id: ATTEMPT}), 2, "steady"))
    stored = encode(
        "s",
        Session({later.attempt_id: later, ATTEMPT.attempt_id: advance(ATTEMPT, certainty=3)}),
        1,
        "move",
        supported_version=1,
    )
    both = merge(fleets, decode("s", stored))
    assert both.attempts == {later.attempt_id: later, ATTEMPT.attempt_id: advance(ATTEMPT, certainty=3)}
    # Read by the old agent, it says that there is more than that program can see.
    assert decode("s", encode("s", both, 2, "steady"), supported_version=1).required_version == 2


def test_old_agents_read_all_until_narrowed_and_both_forms_say_the_same():
    record = Session({ATTEMPT.attempt_id: ATTEMPT})
    for phase in ("steady", "widen", "move"):
        by_old = decode("s", encode("s", record, 1, phase), supported_version=1)
        assert by_old.attempts == record.attempts and not by_old.required_version
    raw = encode("s", record, 1, "move")
    assert {"marks", "by"} < record_validation.decoder.decode(raw).keys()
    assert "marks" not in record_validation.decoder.decode(encode("s", record, 1, "narrow"))
    assert list(record_validation.decoder.decode(raw)["by"]) == ["zone/5"]
    use = UsageCounter({("a", 1, 3): 4}, {"h": (3, 5.0, 2.0)})
    back = decode("u", encode("u", decode("u", encode("u", use, 1, "move"), 1), 1, "move", 1))
    assert back == use
    assert decode("u", encode("u", use, 1, "steady")) == use  # a step back loses no part that is lent


def test_what_there_is_to_move_by_phase():
    record = Session({ATTEMPT.attempt_id: ATTEMPT})
    raw = {step: encode("s", record, *step) for step in ((1, "steady"), (1, "move"), (2, "steady"))}
    for step, each in raw.items():
        assert [needs_rewrite(each, *other) for other in raw] == [other != step for other in raw]
    # An old agent has added a mark to its own form of a record that had both.
    by_old = decode("s", raw[1, "move"], supported_version=1)
    by_old.attempts["b/1/1"] = AttemptRecord("b/1/1", "k", "d", "all", 5)
    assert needs_rewrite(encode("s", by_old, 1, "move", supported_version=1), 1, "move")
    assert not needs_rewrite(
        encode("s", by_old, 1, "move", supported_version=1), 1, "move", supported_version=1
    )
    with pytest.raises(errors.InvalidRecordError):
        needs_rewrite(b"", 1, "move")
    assert [migration.migrated_version(ring(1, phase), left) for phase in PHASES for left in (1, 0)] == [
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


small_integers = some.integers(0, 2)
some_peers = some.builds(peer, some.sampled_from([OLD, NEW, (2, 2)]), small_integers, some.integers(0, 3))


@settings(derandomize=True, deadline=None)
@given(some.lists(some.dictionaries(some.sampled_from("abcdef"), some_peers), max_size=8), small_integers)
def test_any_views_of_peers_give_single_steps_and_none_back_from_narrow(views, hold):
    line = [(1, "steady"), (1, "widen"), (1, "move"), (1, "narrow"), (2, "steady")]
    here = line[0]
    for live in views:
        after = next_step(ring(*here), live, fleet_settings(hold))
        assert after == next_step(ring(*here), dict(sorted(live.items(), reverse=True)), fleet_settings(hold))
        step = line.index(after) - line.index(here)
        assert abs(step) <= 1 and (step >= 0 or line.index(here) < 3)
        if step and after != (2, "steady"):
            alive = [live[name] for name in "abcde" if name in live and live[name].state <= 1]
            assert len(alive) > 2 and (step < 0 or all(each.reads[1] >= 2 for each in alive))
        if after == (1, "narrow") != here:
            assert all(live[name].migrated_version == 2 for name in "abcde")
        here = after
