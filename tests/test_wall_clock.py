"""No decision turns over with a wall clock that is stepped: the agent's own, or that which stamps starts.

Played in the reducer alone, on a clock of the test's own.
"""

import logging
import os

import pytest

from cartdeal.agent import start_times
from cartdeal.agent.configuration import ServerEntry, ServerList
from cartdeal.agent.log_output import MAX_LINES_PER_SECOND, RateLimitFilter
from cartdeal.agent.reducer import AttemptResult, FailureReason, Progress, Reducer, Request
from cartdeal.agent.start_times import LONG_AGO_S, StartTimes
from tests.scene import agent_config
from tests.test_discovery import BEAT, LIST, World, server, told

WALL = 1_800_000_000.0  # the true time, in Unix seconds, at ...
BEGIN = 100.0  # ... this moment of the agent's monotonic clock
HOUR = 3600.0
PER_SECOND = 20.0
COLD_FOR = 10.0  # as in the settings of tests/scene.py
ANSWERED = AttemptResult(FailureReason.ANSWERED, Progress.COMPLETE, 0.01, 200)


def entry(number, started, state="active"):
    """`started`: the server's age at BEGIN as its stamp has it, in seconds; None for long ago."""
    stamp = 0 if started is None else (WALL - started) * 1e3
    return ServerEntry(f"s{number}", f"10.0.0.1:{number}", "a", state=state, started_ms=stamp)


class Agent:
    """A reducer that is asked at an even rate, and counts what it sends by server."""

    def __init__(self, folder, clock_off, entries=()):
        self.reducer = Reducer(agent_config(folder), BEGIN, WALL + clock_off)
        self.list(*entries, whole=True)

    def list(self, *entries, whole=False):
        self.reducer.on_server_list(ServerList(self.reducer.list_version + 1, whole, entries))

    def ask(self, seconds):
        """Asks for so long; gives how many attempts were sent, by address."""
        sent = {}
        for _ in range(int(seconds * PER_SECOND)):
            self.reducer.now += 1 / PER_SECOND
            number = self.reducer.request_count + 1
            name = b"%d" % number
            key = 7919 * number
            self.reducer.on_request(
                "client", Request(0, False, 0, key, 2.0, False, b"GET", b"/", name, b"", b"", b"")
            )
            self.reducer.on_timer(0)
            for verb, *args in self.reducer.effects:
                if verb == "send_attempt":
                    request, attempt, server, address = args[:4]
                    sent[address] = sent.get(address, 0) + 1
                    self.reducer.on_attempt_ended(request, server, attempt, ANSWERED)
            self.reducer.effects.clear()
        return sent


@pytest.mark.parametrize("clock_off", [-HOUR, -5.0])
def test_agent_whose_clock_is_behind_at_its_start_serves_as_one_whose_clock_is_right(tmp_path, clock_off):
    """Servers that started a second ago ramp up; they do not wait for the agent's clock."""
    entries = [entry(number, 1.0) for number in range(4)]
    right = sum(Agent(tmp_path, 0.0, entries).ask(20.0).values())
    behind = sum(Agent(tmp_path, clock_off, entries).ask(20.0).values())
    assert behind > 0.9 * right > 200


@pytest.mark.parametrize(
    "clock_off, stamp_off",
    [(HOUR, 0.0), (-HOUR, 0.0), (0.0, HOUR), (0.0, -HOUR)],
)
@pytest.mark.parametrize("known", [True, False])
def test_start_told_while_the_agent_runs_was_not_before_the_list_that_said_otherwise(
    tmp_path, clock_off, stamp_off, known
):
    """Whatever the clocks say, a server that restarts, or is new, is as cold as by right clocks."""

    def sent_to_the_cold_one(clock_off, stamp_off):
        warm = [entry(number, None) for number in range(1, 5)]
        agent = Agent(tmp_path, clock_off, [*warm, entry(5, HOUR)] if known else warm)
        agent.ask(30.0)
        agent.reducer.on_watch_established()
        agent.ask(1.0)
        agent.list(entry(5, -30.5 - stamp_off))  # half a second before it is told
        return agent.ask(8.0).get("10.0.0.1:5", 0)

    right, stepped = sent_to_the_cold_one(0.0, 0.0), sent_to_the_cold_one(clock_off, stamp_off)
    assert right > 8 and 0.8 * right <= stepped <= 1.1 * right


def test_log_lines_are_let_through_again_though_the_wall_clock_is_stepped_back(monkeypatch):
    now = [50.0]
    monkeypatch.setattr("cartdeal.agent.log_output.monotonic", lambda: now[0])
    limit = RateLimitFilter()

    def let_through(created):
        return limit.filter(logging.makeLogRecord({"name": "x", "msg": "refused", "created": created}))

    assert sum(let_through(WALL) for _ in range(2 * MAX_LINES_PER_SECOND)) == MAX_LINES_PER_SECOND
    now[0] += 1.5
    assert sum(let_through(WALL - HOUR) for _ in range(2 * MAX_LINES_PER_SECOND)) == MAX_LINES_PER_SECOND


def test_age_of_a_server_is_right_by_right_clocks():
    times = StartTimes(BEGIN, WALL)
    assert times.started_at(b"first", (WALL - 7.0) * 1e3, BEGIN + 1.0) == pytest.approx(BEGIN - 7.0)
    assert times.started_at(b"long ago", 0, BEGIN + 1.0) == LONG_AGO_S
    times.on_discovery_response(BEGIN + 5.0)
    told = times.started_at(b"first", (WALL + 4.0) * 1e3, BEGIN + 6.0)
    assert told == pytest.approx(BEGIN + 4.0)  # discovery had not heard of it yet when it last said something


def test_list_that_is_late_starts_no_server_anew():
    times, stamps = StartTimes(BEGIN, WALL), [(WALL + start) * 1e3 for start in (0.0, 10.0)]
    first = times.started_at(b"s", stamps[0], BEGIN + 1.0)
    times.on_discovery_response(BEGIN + 9.0)
    second = times.started_at(b"s", stamps[1], BEGIN + 11.0)
    assert second > first
    assert times.started_at(b"s", stamps[0], BEGIN + 12.0) == second
    assert times.started_at(b"s", stamps[1], BEGIN + 13.0) == second
    assert times.started_at(b"s", 0, BEGIN + 14.0) == second  # a stamp that is left out tells of no start


def test_server_that_comes_back_to_the_list_with_the_same_stamp_is_as_old_as_it_was():
    times, stamp = StartTimes(BEGIN, WALL), (WALL - HOUR) * 1e3
    first = times.started_at(b"s", stamp, BEGIN)
    times.remove(b"s")
    times.on_discovery_response(BEGIN + 50.0)
    assert times.started_at(b"s", stamp, BEGIN + 60.0) == first
    assert times.started_at(b"another", stamp, BEGIN + 60.0) == BEGIN + 60.0


def test_every_new_start_is_later_than_the_one_before_it():
    times, at = StartTimes(BEGIN, WALL), []
    for stamp in (WALL, WALL + 1.0, WALL - HOUR, WALL + HOUR, WALL - 2 * HOUR):
        at.append(times.started_at(b"s", stamp * 1e3, BEGIN + 2.0))  # all in one moment
        times.on_discovery_response(BEGIN + 2.0)
    assert at == sorted(set(at))


def test_servers_that_left_are_remembered_up_to_a_bound(monkeypatch):
    monkeypatch.setattr(start_times, "MAX_REMOVED_SERVERS", 3)
    times = StartTimes(BEGIN, WALL)
    for number in range(9):
        times.started_at(b"%d" % number, WALL * 1e3, BEGIN)
        times.remove(b"%d" % number)
        times.remove(b"%d" % number)
    assert list(times.removed) == [b"6", b"7", b"8"] and not times.starts


def test_every_line_of_a_watch_says_that_no_other_server_has_started(tmp_path, monkeypatch):
    """An agent that heard of nothing new for a while still knows that what it hears then is new."""
    script = [(0.0, LIST)] + [(2.0 * line, BEAT) for line in range(1, 21)]
    script.append((41.0, told(5, server("s2", boot_ms=1.0))))
    world = World(tmp_path, monkeypatch, script)
    world.play(BEGIN + 41.5)
    at, version = world.heard[-1]
    assert version == 5 and world.reducer.start_times.starts[b"s2"].started_at == at
    os.close(world.sink)


def test_servers_count_as_warm_however_lately_the_agents_machine_was_booted(tmp_path):
    """The monotonic clock counts from the boot; a server that no stamp is told of started long before it."""
    reducer = Reducer(agent_config(tmp_path), 1.0, WALL)
    reducer.on_server_list(ServerList(1, True, tuple(entry(number, None) for number in range(4))))
    balancer = reducer.balancer
    assert not any(balancer.is_in_slow_start(each, reducer.now) for each in balancer.servers.values())
    balancer.warm_send_rate(0, reducer.now)
    assert 0 in balancer.warm_send_rates  # known from warm servers
