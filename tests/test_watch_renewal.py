"""The time from the end of a watch to the next list, in a fleet that loses all watches at once.

Six agents use a discovery service that answers one call every 0.3 s, and two hundred agents one that answers
a hundred calls a second. Both refuse a call that would wait for over a second. docs/crossings.md has the
figures.
"""

import logging

import pytest

from tests.discovery_fleet import LAST_CHUNK, WatchingFleet, chunk, list_line

HALF_A_LINE = chunk(list_line(5)[:30])
WATCH_ENDS = {
    "reset": [ConnectionResetError(104, "reset")],
    "closed": [b""],
    "orderly end": [LAST_CHUNK],
    "half a line": [HALF_A_LINE, b""],
}
SILENCES = {"silence": [], "half a line and silence": [HALF_A_LINE]}
CALL_S_BY_AGENT_COUNT = {6: 0.3, 200: 0.01}  # seconds that discovery takes for a call, by number of agents
MAX_QUEUE_S = 1.0  # discovery refuses a call that would wait longer
SHORT_WATCHES_S = (0.1, 1.6)  # durations of a watch that are shorter than HEARTBEAT_INTERVAL_S
LONG_WATCH_S = 3.0
SETTLE_S = 30.0  # until all watches are established
# Seconds after which an agent counts as informed of a change.
INFORMED_AFTER_SILENCE_S = 6.0
INFORMED_AFTER_MOVE_S = 4.0
# One call of each agent takes 6 * 0.3 = 1.8 s or 200 * 0.01 = 2.0 s in all; the rest is for the pauses before
# the calls.
MAX_RENEWAL_S = 2.3


@pytest.fixture
def make_fleet(tmp_path, monkeypatch):
    logging.disable(logging.WARNING)
    created = []

    def create(agents, refusal_delay=MAX_QUEUE_S):
        service = CALL_S_BY_AGENT_COUNT[agents], MAX_QUEUE_S, refusal_delay
        created.append(WatchingFleet(tmp_path, monkeypatch, agents, *service, discovery="on_request"))
        created[-1].play(created[-1].clock.now + SETTLE_S)
        return created[-1]

    yield create
    for each in created:
        each.close()
    logging.disable(logging.NOTSET)


def end_watches(fleet, watch_s, last_pieces, refused_before=0.0):
    """End all watches `watch_s` seconds after the last was established; return the time to the next list.

    `last_pieces`: what each watch receives last. `refused_before`: the seconds for which discovery refused
    calls before the watches were established.
    """
    if refused_before:
        fleet.service.refuses_until = fleet.clock.now + refused_before
        fleet.service.end_watches(b"")
        fleet.play(fleet.service.refuses_until)
        while not all(agent.reducer.balancer.watch.is_active for agent in fleet.agents):
            fleet.play(fleet.clock.now + 0.05)
    fleet.play(fleet.clock.now + watch_s)
    ended_at = fleet.clock.now
    fleet.service.end_watches(*last_pieces)
    fleet.play(ended_at + 12.0)
    return fleet.max_time_to_list(ended_at)


@pytest.mark.parametrize("agents", CALL_S_BY_AGENT_COUNT)
@pytest.mark.parametrize("refusal_delay", [0.0, MAX_QUEUE_S], ids=["refused at once", "refused late"])
@pytest.mark.parametrize("end", WATCH_ENDS.values(), ids=WATCH_ENDS)
def test_list_arrives_soon_after_any_end_of_a_watch(make_fleet, agents, refusal_delay, end):
    assert end_watches(make_fleet(agents, refusal_delay), LONG_WATCH_S, end) <= MAX_RENEWAL_S


@pytest.mark.parametrize("agents", CALL_S_BY_AGENT_COUNT)
@pytest.mark.parametrize("watch_s", SHORT_WATCHES_S)
@pytest.mark.parametrize("end", WATCH_ENDS.values(), ids=WATCH_ENDS)
def test_earlier_refusals_do_not_delay_the_list_after_an_early_end(make_fleet, agents, watch_s, end):
    assert end_watches(make_fleet(agents), watch_s, end, refused_before=4.0) <= MAX_RENEWAL_S


@pytest.mark.parametrize("agents", CALL_S_BY_AGENT_COUNT)
@pytest.mark.parametrize("watch_s", [LONG_WATCH_S, *SHORT_WATCHES_S])
@pytest.mark.parametrize("end", SILENCES.values(), ids=SILENCES)
def test_list_arrives_before_agent_counts_as_informed_after_silence(make_fleet, agents, watch_s, end):
    # One second of margin.
    assert end_watches(make_fleet(agents), watch_s, end, refused_before=4.0) <= INFORMED_AFTER_SILENCE_S - 1.0


@pytest.mark.parametrize("agents", CALL_S_BY_AGENT_COUNT)
def test_three_early_ends_in_a_row_are_each_renewed_soon(make_fleet, agents):
    watching_fleet = make_fleet(agents)
    for _ in range(3):
        ended_at = watching_fleet.clock.now
        watching_fleet.service.end_watches(b"")
        watching_fleet.play(ended_at + MAX_RENEWAL_S)
        assert watching_fleet.max_time_to_list(ended_at) <= MAX_RENEWAL_S


def test_lists_arrive_soon_though_changes_repeatedly_end_the_watches(make_fleet):
    """Servers are replaced at intervals of about a second, after all watches have ended early."""
    watching_fleet = make_fleet(6, 0.0)
    watching_fleet.service.call_seconds = 0.05
    end_watches(watching_fleet, 1.4, WATCH_ENDS["reset"], refused_before=4.0)
    change_times = [watching_fleet.clock.now + 0.9 * step for step in range(8)]
    for at in change_times:
        watching_fleet.play(at)
        watching_fleet.service.change()
    watching_fleet.play(change_times[-1] + 5.0)
    # 0.25 s from list to list, 0.5 s of pauses, and six calls of 0.05 s.
    assert max(watching_fleet.max_time_to_list(at) for at in change_times) <= 1.05


@pytest.mark.parametrize("agents", CALL_S_BY_AGENT_COUNT)
@pytest.mark.parametrize("before, after", [(0.0, 0.0), (4.0, 0.0), (0.0, 1.0), (4.0, 1.0)])
def test_list_of_a_new_service_arrives_before_agent_counts_as_informed(make_fleet, agents, before, after):
    """Calls are refused for `before` seconds before the move and `after` seconds after it."""
    watching_fleet = make_fleet(agents)
    watching_fleet.service.refuses_until = watching_fleet.clock.now + before + after
    if before:
        watching_fleet.service.end_watches(b"")
        watching_fleet.play(watching_fleet.clock.now + before)
    moved_at = watching_fleet.clock.now
    for agent in watching_fleet.agents:
        agent.move()
    watching_fleet.play(moved_at + 12.0)
    assert watching_fleet.max_time_to_list(moved_at) <= INFORMED_AFTER_MOVE_S
