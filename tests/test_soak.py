"""A small soak and the soak's own parts; large soaks are run by hand: `python -m cartdeal soak`."""

from random import Random
from time import monotonic
from types import SimpleNamespace

import pytest
from gevent import socket

from cartdeal.emulator.world import InvalidInputError
from cartdeal.rig.soak import clients, faults, play
from cartdeal.rig.soak.rule_checker import Rule, RuleChecker, SoakRequest
from tests.soak_process import play_soak


def test_small_soak_breaks_no_rule():
    assert len(faults.draw_schedule(7, 11.0)) >= 2
    result = play_soak(seed=7, agents=3, seconds=11.0)
    assert result.status == 0, result.output
    assert result.request_count > 100


@pytest.mark.parametrize("seed", range(20))
def test_faults_overlap_and_depend_on_the_seed_alone(seed):
    schedule = faults.draw_schedule(seed, 30.0)
    assert schedule == faults.draw_schedule(seed, 30.0)
    assert len(schedule) >= 6 and {each.name for each in schedule} <= set(faults.FAULTS_BY_NAME)
    for each in schedule:
        assert any(
            abs(each.begins_at - other.begins_at) < faults.BURST_DURATION_S
            for other in schedule
            if other != each
        )


@pytest.mark.parametrize("agents, seconds", [(0, 10.0), (1000, 10.0), (3, 0.0), (3, 1e6)])
def test_soak_of_a_size_out_of_range_is_refused(agents, seconds):
    with pytest.raises(InvalidInputError, match="wanted"):
        play.Soak(1, agents, seconds)


class RuleCheckerHarness:
    """A rule checker with one request, which was sent at 10 s and times out at 12 s."""

    def __init__(self, request_class="read"):
        self.rule_checker = RuleChecker()
        self.request = SoakRequest("id", request_class, 10.0, 2.0, 0)
        self.rule_checker.on_request_sent(self.request)

    def on_request_received(self, at=10.1, zone="a", id="id", timeout=1.0, may_be_delayed=False, server="s0"):
        """Tells the rule checker that a server received a request."""
        self.rule_checker.on_request_received(server, zone, id, at, at, timeout, may_be_delayed)

    @property
    def rules(self):
        """The rules that were broken, in order."""
        return [each.rule for each in self.rule_checker.violations]


@pytest.mark.parametrize(
    "request_class, executions, violation_count",
    [
        ("read", [(10.1, "a"), (11.0, "b")], 0),
        ("once", [(10.1, "a")], 0),
        ("once", [(10.1, "a"), (10.2, "a")], 1),
        ("mark", [(10.1, "a"), (10.5, "a")], 0),
        ("mark", [(10.1, "a"), (10.5, "b")], 1),
        ("mark", [(9.0, "a"), (11.5, "a")], 1),
    ],
)
def test_rule_checker_finds_requests_that_ran_again_against_their_class(
    request_class, executions, violation_count
):
    harness = RuleCheckerHarness(request_class)
    for at, zone in executions:
        harness.on_request_received(at, zone, timeout=0.1)
    assert harness.rules == [Rule.DUPLICATE] * violation_count


def test_rule_checker_finds_every_other_violation():
    harness = RuleCheckerHarness()
    harness.on_request_received(timeout=2.5)
    harness.on_request_received(id="another")
    harness.rule_checker.drain_times["s1"] = 0.5
    harness.on_request_received(server="s1")
    harness.request.closed_at = 10.2
    harness.on_request_received(at=10.6)
    harness.rule_checker.on_answer(harness.request, 12.6, 200, b"another", False)
    harness.rule_checker.on_request_sent(SoakRequest("open", "read", 10.0, 2.0, 0))
    harness.rule_checker.check_unanswered(20.0)
    assert harness.rules == [
        Rule.TIMEOUT_TOO_LONG,
        Rule.FOREIGN_ANSWER,
        Rule.DRAIN,
        Rule.CLIENT_GONE,
        Rule.FOREIGN_ANSWER,
        Rule.LOST,
        Rule.LOST,
    ]


def test_rule_checker_excuses_delays_that_the_soak_caused():
    harness = RuleCheckerHarness()
    harness.rule_checker.drain_times["s0"] = 0.5
    harness.on_request_received(timeout=2.5, may_be_delayed=True)
    harness.rule_checker.on_answer(harness.request, 13.0, 200, b"id", True)
    assert not harness.rules


@pytest.fixture
def client_setup(monkeypatch):
    """A client that never closes early, its connection, the agent's end of it, and the rule checker."""
    monkeypatch.setattr(clients, "LATE_ANSWER_WAIT_S", 0.05)
    monkeypatch.setattr(clients, "EARLY_CLOSE_SHARE", 0.0)
    soak = SimpleNamespace(random=Random(1), rule_checker=RuleChecker(), now=monotonic)
    agent = SimpleNamespace(number=0, was_killed_since=lambda at: False, was_paused_since=lambda at: False)
    client_end, agent_end = socket.socketpair()
    yield (
        clients.WellBehavedClients(soak, agent),
        clients.ClientConnection(client_end, reads_responses=True),
        agent_end,
        soak.rule_checker,
    )
    client_end.close()
    agent_end.close()


@pytest.mark.parametrize("is_closed, is_excused", [(False, False), (True, True)])
def test_lost_request_is_excused_only_if_a_reused_connection_closed(client_setup, is_closed, is_excused):
    client, connection, agent_end, rule_checker = client_setup
    request = SoakRequest("id", "read", monotonic(), 0.01, 0)
    if is_closed:
        agent_end.close()
    assert not client.receive_answer(connection, request, True)
    assert [each.rule for each in rule_checker.violations] == [Rule.LOST] * (not is_excused)


def test_request_pipelined_behind_an_answer_that_closes_is_owed_an_answer(client_setup):
    client, connection, agent_end, rule_checker = client_setup
    first, second = (SoakRequest(id, "read", monotonic(), 0.01, 0) for id in "ab")
    agent_end.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na")
    assert not client.receive_answer(connection, first, True)
    client.on_connection_closed(first, [second])
    assert [(each.rule, each.subject) for each in rule_checker.violations] == [(Rule.LOST, "b")]
