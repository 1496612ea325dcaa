"""Each rule for the pauses before calls to the discovery service."""

import pytest

from cartdeal.watch_schedule import (
    CALL_SPREAD_S,
    FIRST_PAUSE_S,
    HEARTBEAT_INTERVAL_S,
    LIST_URGENT_AFTER_END_S,
    MAX_CALL_INTERVAL_S,
    MIN_FIRST_LINE_TO_CALL_S,
    URGENT_PAUSE_S,
    WatchSchedule,
)

POLL_INTERVAL_S = 10.0
FRACTIONS = pytest.mark.parametrize("fraction", [0.0, 0.5, 0.999999])


@pytest.fixture
def schedule():
    """A schedule whose first call has been made."""
    new_schedule = WatchSchedule(100.0, POLL_INTERVAL_S, is_active=False)
    new_schedule.called(100.0)
    return new_schedule


def fail(schedule, now, fraction=0.5, silent=False, knows_servers=True):
    """Has a watch or a call fail; returns the pause until the next call."""
    schedule.failed(now, silent, knows_servers, fraction)
    return schedule.next_call_at - now


def watch(schedule, since, until, fraction=0.5, silent=False, has_changes=False):
    """Has a watch begin and end; returns the pause until the next call."""
    schedule.answered(since, has_changes)
    return fail(schedule, until, fraction, silent)


@FRACTIONS
def test_pause_after_a_watch_ended_is_within_the_spread(schedule, fraction):
    assert watch(schedule, 100.0, 110.0, fraction) == pytest.approx(CALL_SPREAD_S * fraction)


@FRACTIONS
def test_watch_that_ends_at_once_is_not_renewed_before_its_list_is_stale(schedule, fraction):
    assert watch(schedule, 100.0, 100.0, fraction) == pytest.approx(
        MIN_FIRST_LINE_TO_CALL_S + CALL_SPREAD_S * fraction
    )


def test_first_list_resets_the_failures_before_it(schedule):
    pauses = [fail(schedule, 100.0 + second) for second in range(4)]
    assert pauses == pytest.approx([FIRST_PAUSE_S, 2 * FIRST_PAUSE_S, 4 * FIRST_PAUSE_S, POLL_INTERVAL_S / 3])
    assert watch(schedule, 110.0, 111.6) == pytest.approx(CALL_SPREAD_S / 2)
    later = 111.6 + LIST_URGENT_AFTER_END_S
    assert [fail(schedule, later), fail(schedule, later)] == pytest.approx([FIRST_PAUSE_S, 2 * FIRST_PAUSE_S])


def test_failed_calls_are_repeated_soon_while_a_list_is_urgent(schedule):
    ended = 110.0
    watch(schedule, 100.0, ended)
    assert fail(schedule, ended + 0.3) == fail(schedule, ended + 1.9) == pytest.approx(URGENT_PAUSE_S)
    assert fail(schedule, ended + LIST_URGENT_AFTER_END_S) == pytest.approx(FIRST_PAUSE_S)


def test_watches_that_end_early_in_a_row_get_long_pauses_and_later_short_ones(schedule):
    now, pauses = 100.0, []
    for _ in range(6):
        pauses.append(watch(schedule, now, now + 0.1))
        now = schedule.next_call_at + 0.1
    assert max(pauses[:3]) < 0.5 and min(pauses[3:]) == pytest.approx(POLL_INTERVAL_S / 3)
    assert watch(schedule, now, now + HEARTBEAT_INTERVAL_S) == pytest.approx(CALL_SPREAD_S / 2)
    assert watch(schedule, now + 20.0, now + 20.1) < 0.5


def test_watches_that_end_early_with_news_are_renewed_soon(schedule):
    """Where servers are replaced one after the other, each change may end the watches."""
    watch(schedule, 100.0, 101.4)
    now = 108.0
    for _ in range(8):
        assert watch(schedule, now, now + 0.4, has_changes=True) == pytest.approx(CALL_SPREAD_S / 2)
        now += 0.9


def test_news_of_one_watch_do_not_count_for_the_next(schedule):
    watch(schedule, 100.0, 100.1, has_changes=True)
    now = 100.5
    for _ in range(3):
        watch(schedule, now, now + 0.1)
        now += 0.5
    assert watch(schedule, now, now + 0.1) == pytest.approx(POLL_INTERVAL_S / 3)


def test_failed_calls_between_early_ends_do_not_shorten_the_pauses(schedule):
    now = 100.0
    for _ in range(8):
        watch(schedule, now, now + 0.1)
        fail(schedule, schedule.next_call_at)
        now = schedule.next_call_at + 0.1
    assert watch(schedule, now, now + 0.1) == pytest.approx(POLL_INTERVAL_S / 3)


def test_interval_between_calls_is_bounded_however_long_a_call_takes(schedule):
    now = 100.0
    for _ in range(6):
        schedule.called(now)
        called_at, now = now, now + 3.0
        fail(schedule, now, fraction=0.999999)
        assert schedule.next_call_at <= called_at + MAX_CALL_INTERVAL_S
        now = schedule.next_call_at


def test_move_resets_the_pauses_and_they_stay_short_while_its_list_is_urgent(schedule):
    for second in range(5):
        fail(schedule, 100.0 + second)
    schedule.moved(106.0)
    assert schedule.next_call_at == 106.0
    assert [fail(schedule, 106.0 + second) for second in range(4)] == pytest.approx([URGENT_PAUSE_S] * 4)
    assert fail(schedule, 110.0) == pytest.approx(FIRST_PAUSE_S)


def test_agent_that_knows_no_server_never_pauses_for_long(schedule):
    pauses = [fail(schedule, 100.0 + second, fraction=0.999999, knows_servers=False) for second in range(9)]
    assert max(pauses) <= 1.5
