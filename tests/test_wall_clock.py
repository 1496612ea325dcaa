"""Decisions must not depend on a wall clock that is wrong or stepped: the agent's or that of the stamps.

The tests drive a reducer on a simulated clock.
"""

import logging
import os

import pytest

from cartdeal.agent import start_times
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.log_output import MAX_LINES_PER_SECOND, RateLimitFilter
from cartdeal.agent.reducer import AttemptEndReason, AttemptResult, Progress, Reducer, Request
from cartdeal.agent.start_times import LONG_AGO_S, StartTimes
from tests.scene import agent_config
from tests.test_discovery import EMPTY_LINE, FIRST_LIST, ScriptedAgent, list_chunk, server

WALL = 1_800_000_000.0  # the true time at BEGIN, in Unix seconds
BEGIN = 100.0  # on the agent's monotonic clock
HOUR = 3600.0
REQUESTS_PER_S = 20.0
SLOW_START_S = 10.0  # as in the settings of tests/scene.py
ANSWERED = AttemptResult(AttemptEndReason.ANSWERED, Progress.COMPLETE, 0.01, 200)


def entry(number, age, state="active"):
    """`age`: the server's age at BEGIN by its stamp, in seconds; None if it has no stamp."""
    stamp = 0 if age is None else (WALL - age) * 1e3
    return ServerEntry(f"s{number}", f"10.0.0.1:{number}", "a", state=state, started_ms=stamp)


class Agent:
    """A reducer that gets requests at a constant rate; attempts are counted by server."""

    def __init__(self, folder, clock_offset, entries=()):
        self.reducer = Reducer(agent_config(folder), BEGIN, WALL + clock_offset)
        self.apply_list(*entries, is_complete=True)

    def apply_list(self, *entries, is_complete=False):
        self.reducer.on_server_list(ServerList(self.reducer.list_version + 1, is_complete, entries))

    def send_requests(self, seconds):
        """Send requests for `seconds`, and return the number of attempts by address."""
        attempts_by_address = {}
        for _ in range(int(seconds * REQUESTS_PER_S)):
            self.reducer.now += 1 / REQUESTS_PER_S
            number = self.reducer.request_count + 1
            name = b"%d" % number
            session_hash = 7919 * number
            self.reducer.on_request(
                "client", Request(0, False, 0, session_hash, 2.0, False, b"GET", b"/", name, b"", b"", b"")
            )
            self.reducer.on_timer(0)
            for effect, *args in self.reducer.effects:
                if effect == "send_attempt":
                    request, attempt, server, address = args[:4]
                    attempts_by_address[address] = attempts_by_address.get(address, 0) + 1
                    self.reducer.on_attempt_ended(request, server, attempt, ANSWERED)
            self.reducer.effects.clear()
        return attempts_by_address


@pytest.mark.parametrize("clock_offset", [-HOUR, -5.0])
def test_agent_with_a_late_clock_at_start_serves_as_one_with_a_right_clock(tmp_path, clock_offset):
    """Servers that started a second ago ramp up without waiting for the agent's clock."""
    entries = [entry(number, 1.0) for number in range(4)]
    expected = sum(Agent(tmp_path, 0.0, entries).send_requests(20.0).values())
    actual = sum(Agent(tmp_path, clock_offset, entries).send_requests(20.0).values())
    assert actual > 0.9 * expected > 200


@pytest.mark.parametrize(
    "clock_offset, stamp_offset",
    [(HOUR, 0.0), (-HOUR, 0.0), (0.0, HOUR), (0.0, -HOUR)],
)
@pytest.mark.parametrize("is_listed_before", [True, False])
def test_start_in_a_later_list_is_later_than_the_previous_list(
    tmp_path, clock_offset, stamp_offset, is_listed_before
):
    """A restarted or new server gets the same slow start whatever the clocks show."""

    def attempts_at_cold_server(clock_offset, stamp_offset):
        warm = [entry(number, None) for number in range(1, 5)]
        agent = Agent(tmp_path, clock_offset, [*warm, entry(5, HOUR)] if is_listed_before else warm)
        agent.send_requests(30.0)
        agent.reducer.on_watch_established()
        agent.send_requests(1.0)
        agent.apply_list(entry(5, -30.5 - stamp_offset))  # it started half a second before this list
        return agent.send_requests(8.0).get("10.0.0.1:5", 0)

    expected, actual = attempts_at_cold_server(0.0, 0.0), attempts_at_cold_server(clock_offset, stamp_offset)
    assert expected > 8 and 0.8 * expected <= actual <= 1.1 * expected


def test_log_rate_limit_ends_though_the_wall_clock_is_stepped_back(monkeypatch):
    now = [50.0]
    monkeypatch.setattr("cartdeal.agent.log_output.monotonic", lambda: now[0])
    rate_limit = RateLimitFilter()

    def is_logged(created):
        return rate_limit.filter(logging.makeLogRecord({"name": "x", "msg": "refused", "created": created}))

    assert sum(is_logged(WALL) for _ in range(2 * MAX_LINES_PER_SECOND)) == MAX_LINES_PER_SECOND
    now[0] += 1.5
    assert sum(is_logged(WALL - HOUR) for _ in range(2 * MAX_LINES_PER_SECOND)) == MAX_LINES_PER_SECOND


def test_start_times_are_right_with_right_clocks():
    times = StartTimes(BEGIN, WALL)
    assert times.started_at(b"first", (WALL - 7.0) * 1e3, BEGIN + 1.0) == pytest.approx(BEGIN - 7.0)
    assert times.started_at(b"long ago", 0, BEGIN + 1.0) == LONG_AGO_S
    times.on_discovery_response(BEGIN + 5.0)
    restarted_at = times.started_at(b"first", (WALL + 4.0) * 1e3, BEGIN + 6.0)
    assert restarted_at == pytest.approx(BEGIN + 4.0)  # within the list delay of the last discovery response


def test_delayed_list_restarts_no_server():
    times, stamps = StartTimes(BEGIN, WALL), [(WALL + start) * 1e3 for start in (0.0, 10.0)]
    first = times.started_at(b"s", stamps[0], BEGIN + 1.0)
    times.on_discovery_response(BEGIN + 9.0)
    second = times.started_at(b"s", stamps[1], BEGIN + 11.0)
    assert second > first
    assert times.started_at(b"s", stamps[0], BEGIN + 12.0) == second
    assert times.started_at(b"s", stamps[1], BEGIN + 13.0) == second
    assert times.started_at(b"s", 0, BEGIN + 14.0) == second  # a missing stamp is no new start


def test_server_that_returns_with_the_same_stamp_keeps_its_start_time():
    times, stamp = StartTimes(BEGIN, WALL), (WALL - HOUR) * 1e3
    first = times.started_at(b"s", stamp, BEGIN)
    times.remove(b"s")
    times.on_discovery_response(BEGIN + 50.0)
    assert times.started_at(b"s", stamp, BEGIN + 60.0) == first
    assert times.started_at(b"another", stamp, BEGIN + 60.0) == BEGIN + 60.0


def test_each_new_start_is_later_than_the_previous_one():
    times, started_at = StartTimes(BEGIN, WALL), []
    for stamp in (WALL, WALL + 1.0, WALL - HOUR, WALL + HOUR, WALL - 2 * HOUR):
        started_at.append(times.started_at(b"s", stamp * 1e3, BEGIN + 2.0))  # all at the same time
        times.on_discovery_response(BEGIN + 2.0)
    assert started_at == sorted(set(started_at))


def test_number_of_remembered_removed_servers_is_bounded(monkeypatch):
    monkeypatch.setattr(start_times, "MAX_REMOVED_SERVERS", 3)
    times = StartTimes(BEGIN, WALL)
    for number in range(9):
        times.started_at(b"%d" % number, WALL * 1e3, BEGIN)
        times.remove(b"%d" % number)
        times.remove(b"%d" % number)
    assert list(times.removed) == [b"6", b"7", b"8"] and not times.starts


def test_each_empty_line_of_a_watch_counts_as_a_discovery_response(tmp_path, monkeypatch):
    """After a long time without changes, a start in the next list must still count as new."""
    script = [(0.0, FIRST_LIST)] + [(2.0 * line, EMPTY_LINE) for line in range(1, 21)]
    script.append((41.0, list_chunk(5, server("s2", boot_ms=1.0))))
    agent = ScriptedAgent(tmp_path, monkeypatch, script)
    agent.play(BEGIN + 41.5)
    started_at, version = agent.received_lists[-1]
    assert version == 5 and agent.reducer.start_times.starts[b"s2"].started_at == started_at
    os.close(agent.sink)


def test_servers_without_stamps_are_warm_on_a_recently_booted_machine(tmp_path):
    """The monotonic clock counts from the boot, and a server without a stamp started long before it."""
    reducer = Reducer(agent_config(tmp_path), 1.0, WALL)
    reducer.on_server_list(ServerList(1, True, tuple(entry(number, None) for number in range(4))))
    balancer = reducer.balancer
    assert not any(balancer.is_in_slow_start(each, reducer.now) for each in balancer.servers.values())
    balancer.warm_send_rate(0, reducer.now)
    assert 0 in balancer.warm_send_rates  # known from warm servers
