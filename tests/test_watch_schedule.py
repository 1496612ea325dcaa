"""The pauses before calls to the discovery service, one rule at a time."""

import pytest

from cartdeal.watch_schedule import (
    CALL_TO_CALL,
    FIRST_PAUSE,
    LINE_EVERY,
    LIST_FRESH,
    SPREAD,
    URGENT_AFTER_END,
    URGENT_PAUSE,
    WatchSchedule,
)

ASK_EVERY = 10.0
CHANCES = pytest.mark.parametrize("chance", [0.0, 0.5, 0.999999])


@pytest.fixture
def schedule():
    made = WatchSchedule(100.0, ASK_EVERY, is_active=False)
    made.called(100.0)
    return made


def fail(schedule, now, chance=0.5, silent=False, knows_servers=True):
    """Says how long the pause is."""
    schedule.failed(now, silent, knows_servers, chance)
    return schedule.next_call_at - now


def stand(schedule, since, until, chance=0.5, silent=False, news=False):
    schedule.answered(since, news)
    return fail(schedule, until, chance, silent)


@CHANCES
def test_pause_after_a_watch_that_ended_is_within_the_spread(schedule, chance):
    assert stand(schedule, 100.0, 110.0, chance) == pytest.approx(SPREAD * chance)


@CHANCES
def test_watch_that_ends_at_once_is_not_called_for_sooner_than_its_list_is_renewed(schedule, chance):
    assert stand(schedule, 100.0, 100.0, chance) == pytest.approx(LIST_FRESH + SPREAD * chance)


def test_failures_of_before_are_forgotten_with_the_first_list(schedule):
    pauses = [fail(schedule, 100.0 + place) for place in range(4)]
    assert pauses == pytest.approx([FIRST_PAUSE, 2 * FIRST_PAUSE, 4 * FIRST_PAUSE, ASK_EVERY / 3])
    assert stand(schedule, 110.0, 111.6) == pytest.approx(SPREAD / 2)
    later = 111.6 + URGENT_AFTER_END
    assert [fail(schedule, later), fail(schedule, later)] == pytest.approx([FIRST_PAUSE, 2 * FIRST_PAUSE])


def test_calls_that_fail_while_a_list_is_urgent_are_made_again_soon(schedule):
    ended = 110.0
    stand(schedule, 100.0, ended)
    assert fail(schedule, ended + 0.3) == fail(schedule, ended + 1.9) == pytest.approx(URGENT_PAUSE)
    assert fail(schedule, ended + URGENT_AFTER_END) == pytest.approx(FIRST_PAUSE)


def test_watches_that_end_early_in_a_row_are_opened_seldom_and_after_a_while_soon_again(schedule):
    now, pauses = 100.0, []
    for _ in range(6):
        pauses.append(stand(schedule, now, now + 0.1))
        now = schedule.next_call_at + 0.1
    assert max(pauses[:3]) < 0.5 and min(pauses[3:]) == pytest.approx(ASK_EVERY / 3)
    assert stand(schedule, now, now + LINE_EVERY) == pytest.approx(SPREAD / 2)
    assert stand(schedule, now + 20.0, now + 20.1) < 0.5


def test_watches_that_end_early_with_news_each_are_renewed_soon(schedule):
    """Each change may end the watches, where servers are replaced one after the other."""
    stand(schedule, 100.0, 101.4)
    now = 108.0
    for _ in range(8):
        assert stand(schedule, now, now + 0.4, news=True) == pytest.approx(SPREAD / 2)
        now += 0.9


def test_news_of_one_watch_are_none_of_the_next(schedule):
    stand(schedule, 100.0, 100.1, news=True)
    now = 100.5
    for _ in range(3):
        stand(schedule, now, now + 0.1)
        now += 0.5
    assert stand(schedule, now, now + 0.1) == pytest.approx(ASK_EVERY / 3)


def test_failed_calls_between_watches_that_end_early_do_not_make_their_pauses_short(schedule):
    now = 100.0
    for _ in range(8):
        stand(schedule, now, now + 0.1)
        fail(schedule, schedule.next_call_at)
        now = schedule.next_call_at + 0.1
    assert stand(schedule, now, now + 0.1) == pytest.approx(ASK_EVERY / 3)


def test_from_call_to_call_it_is_five_seconds_at_most_however_long_the_call_took(schedule):
    now = 100.0
    for _ in range(6):
        schedule.called(now)
        called, now = now, now + 3.0
        fail(schedule, now, chance=0.999999)
        assert schedule.next_call_at <= called + CALL_TO_CALL
        now = schedule.next_call_at


def test_pauses_after_a_move_begin_anew_and_do_not_grow_while_its_list_is_urgent(schedule):
    for place in range(5):
        fail(schedule, 100.0 + place)
    schedule.moved(106.0)
    assert schedule.next_call_at == 106.0
    assert [fail(schedule, 106.0 + place) for place in range(4)] == pytest.approx([URGENT_PAUSE] * 4)
    assert fail(schedule, 110.0) == pytest.approx(FIRST_PAUSE)


def test_agent_that_knows_no_server_never_waits_for_long(schedule):
    pauses = [fail(schedule, 100.0 + place, chance=0.999999, knows_servers=False) for place in range(9)]
    assert max(pauses) <= 1.5
