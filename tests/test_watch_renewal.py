"""How long it takes from the end of a watch to the next list, for a fleet that loses its watches at once.

Six agents have a discovery service that answers one call in 0.3 s, two hundred one that answers a hundred
calls a second; both refuse a call that would wait for over a second. docs/crossings.md has the figures.
"""

import logging

import pytest

from tests.discovery_fleet import LAST_CHUNK, WatchingFleet, chunk, list_line

HALF_A_LINE = chunk(list_line(5)[:30])
ENDS = {
    "reset": [ConnectionResetError(104, "reset")],
    "closed": [b""],
    "orderly end": [LAST_CHUNK],
    "half a line": [HALF_A_LINE, b""],
}
SILENCES = {"silence": [], "half a line and silence": [HALF_A_LINE]}
FLEETS = {6: 0.3, 200: 0.01}  # agents: seconds for which a call keeps discovery busy
LONGEST_QUEUE = 1.0
SHORT_LIVES = (0.1, 1.6)  # seconds that a watch stood: under the time from one line to the next
LONG_LIFE = 3.0
SETTLED = 30.0  # seconds in which all watches stand
TOLD_AFTER_SILENCE = 6.0
TOLD_AFTER_MOVE = 4.0
# Discovery is busy with the fleet's calls for 1.8 or 2.0 s; the rest is for the pauses before it is.
BOUND = 2.3


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    logging.disable(logging.WARNING)
    made = []

    def make(agents, refusal_delay=LONGEST_QUEUE):
        service = FLEETS[agents], LONGEST_QUEUE, refusal_delay
        made.append(WatchingFleet(tmp_path, monkeypatch, agents, *service, discovery="on_request"))
        made[-1].play(made[-1].clock.now + SETTLED)
        return made[-1]

    yield make
    for each in made:
        each.close()
    logging.disable(logging.NOTSET)


def end_watches(fleet, life, end, refused_before=0.0):
    """Ends all watches `life` seconds after the last one stood, and says how long the next list took.

    `refused_before`: for how long discovery refused calls before the watches stood.
    """
    if refused_before:
        fleet.service.refuses_until = fleet.clock.now + refused_before
        fleet.service.end_watches(b"")
        fleet.play(fleet.service.refuses_until)
        while not all(agent.reducer.balancer.watch.is_active for agent in fleet.agents):
            fleet.play(fleet.clock.now + 0.05)
    fleet.play(fleet.clock.now + life)
    ended_at = fleet.clock.now
    fleet.service.end_watches(*end)
    fleet.play(ended_at + 12.0)
    return fleet.longest_time_to_a_list(ended_at)


@pytest.mark.parametrize("agents", FLEETS)
@pytest.mark.parametrize("refusal_delay", [0.0, LONGEST_QUEUE], ids=["refused at once", "refused late"])
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_list_is_had_soon_after_a_watch_ended_however_it_did(fleet, agents, refusal_delay, end):
    assert end_watches(fleet(agents, refusal_delay), LONG_LIFE, end) <= BOUND


@pytest.mark.parametrize("agents", FLEETS)
@pytest.mark.parametrize("life", SHORT_LIVES)
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_refused_calls_of_before_put_no_list_off_after_a_watch_that_ended_early(fleet, agents, life, end):
    assert end_watches(fleet(agents), life, end, refused_before=4.0) <= BOUND


@pytest.mark.parametrize("agents", FLEETS)
@pytest.mark.parametrize("life", [LONG_LIFE, *SHORT_LIVES])
@pytest.mark.parametrize("end", SILENCES.values(), ids=SILENCES)
def test_list_is_had_before_it_counts_as_told_after_silence(fleet, agents, life, end):
    assert end_watches(fleet(agents), life, end, refused_before=4.0) <= TOLD_AFTER_SILENCE - 1.0


@pytest.mark.parametrize("agents", FLEETS)
def test_three_watches_that_end_early_in_a_row_are_each_renewed_soon(fleet, agents):
    played = fleet(agents)
    for _ in range(3):
        ended_at = played.clock.now
        played.service.end_watches(b"")
        played.play(ended_at + BOUND)
        assert played.longest_time_to_a_list(ended_at) <= BOUND


def test_lists_are_had_soon_however_often_changes_end_the_watches(fleet):
    """As where servers are replaced in steps of a second; one watch had ended early some time before."""
    played = fleet(6, 0.0)
    played.service.call_seconds = 0.05
    end_watches(played, 1.4, ENDS["reset"], refused_before=4.0)
    changed = [played.clock.now + 0.9 * step for step in range(8)]
    for at in changed:
        played.play(at)
        played.service.change()
    played.play(changed[-1] + 5.0)
    # A quarter of a second from list to list, half a second of pauses, and six calls of 0.05 s.
    assert max(played.longest_time_to_a_list(at) for at in changed) <= 1.05


@pytest.mark.parametrize("agents", FLEETS)
@pytest.mark.parametrize("before, after", [(0.0, 0.0), (4.0, 0.0), (0.0, 1.0), (4.0, 1.0)])
def test_list_of_a_new_service_is_had_before_it_counts_as_told(fleet, agents, before, after):
    """Calls are refused for so many seconds before and after the move."""
    played = fleet(agents)
    played.service.refuses_until = played.clock.now + before + after
    if before:
        played.service.end_watches(b"")
        played.play(played.clock.now + before)
    moved_at = played.clock.now
    for agent in played.agents:
        agent.move()
    played.play(moved_at + 12.0)
    assert played.longest_time_to_a_list(moved_at) <= TOLD_AFTER_MOVE
