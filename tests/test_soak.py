"""A small soak, so that it goes on working; the large ones are run by hand: `python -m cartdeal soak`."""

from random import Random
from time import monotonic
from types import SimpleNamespace

import pytest
from gevent import socket

from cartdeal.emulator.world import InvalidInputError
from cartdeal.rig.soak import clients, play, troubles
from cartdeal.rig.soak.judge import Judge, Rule, SoakRequest


def test_small_soak_keeps_the_rules():
    played = play.Soak(seed=7, agents=3, seconds=11.0).play()
    assert len(played.troubles) >= 2 and len(played.judge.requests) > 100
    assert not played.judge.violations, played.report()


@pytest.mark.parametrize("seed", range(20))
def test_troubles_of_a_seed_overlap_and_are_the_same_each_time(seed):
    drawn = troubles.draw(seed, 30.0)
    assert drawn == troubles.draw(seed, 30.0)
    assert len(drawn) >= 6 and {each.kind for each in drawn} <= set(troubles.KINDS)
    for each in drawn:
        assert any(abs(each.begins_at - other.begins_at) < troubles.KNOT for other in drawn if other != each)


@pytest.mark.parametrize("agents, seconds", [(0, 10.0), (1000, 10.0), (3, 0.0), (3, 1e6)])
def test_soak_of_no_sensible_size_is_refused(agents, seconds):
    with pytest.raises(InvalidInputError, match="wanted"):
        play.Soak(1, agents, seconds)


class Judged:
    """A judge with one request, sent at 10 and waited for until 12."""

    def __init__(self, kind="read"):
        self.judge = Judge()
        self.request = SoakRequest("id", kind, 10.0, 2.0, 0)
        self.judge.sent(self.request)

    def reached(self, at=10.1, zone="a", id="id", told=1.0, held_back=False, server="s0"):
        self.judge.reached(server, zone, id, at, at, told, held_back)

    @property
    def rules(self):
        return [each.rule for each in self.judge.violations]


@pytest.mark.parametrize(
    "kind, runs, breaks",
    [
        ("read", [(10.1, "a"), (11.0, "b")], 0),
        ("once", [(10.1, "a")], 0),
        ("once", [(10.1, "a"), (10.2, "a")], 1),
        ("mark", [(10.1, "a"), (10.5, "a")], 0),
        ("mark", [(10.1, "a"), (10.5, "b")], 1),
        ("mark", [(9.0, "a"), (11.5, "a")], 1),
    ],
)
def test_judge_of_the_soak_finds_second_effects(kind, runs, breaks):
    judged = Judged(kind)
    for at, zone in runs:
        judged.reached(at, zone, told=0.1)
    assert judged.rules == [Rule.DUPLICATE] * breaks


def test_judge_of_the_soak_finds_every_other_break():
    judged = Judged()
    judged.reached(told=2.5)
    judged.reached(id="another")
    judged.judge.drained_at["s1"] = 0.5
    judged.reached(server="s1")
    judged.request.left_at = 10.2
    judged.reached(at=10.6)
    judged.judge.answered(judged.request, 12.6, 200, b"another", False)
    judged.judge.sent(SoakRequest("open", "read", 10.0, 2.0, 0))
    judged.judge.close(20.0)
    assert judged.rules == [
        Rule.TIME_TOLD,
        Rule.FOREIGN,
        Rule.DRAIN,
        Rule.CLIENT_GONE,
        Rule.FOREIGN,
        Rule.LOST,
        Rule.LOST,
    ]


def test_judge_of_the_soak_excuses_what_the_soak_itself_held_back():
    judged = Judged()
    judged.judge.drained_at["s0"] = 0.5
    judged.reached(told=2.5, held_back=True)
    judged.judge.answered(judged.request, 13.0, 200, b"id", True)
    assert not judged.rules


@pytest.fixture
def usual(monkeypatch):
    """A usual client that never leaves early, its connection, the agent's end of it, and the judge."""
    monkeypatch.setattr(clients, "PATIENCE", 0.05)
    monkeypatch.setattr(clients, "LEAVES", 0.0)
    soak = SimpleNamespace(random=Random(1), judge=Judge(), now=monotonic)
    agent = SimpleNamespace(number=0, was_killed_since=lambda at: False, was_paused_since=lambda at: False)
    ours, theirs = socket.socketpair()
    yield (
        clients.UsualClients(soak, agent),
        clients.ClientSide(ours, reads_responses=True),
        theirs,
        soak.judge,
    )
    ours.close()
    theirs.close()


@pytest.mark.parametrize("ends, excused", [(False, False), (True, True)])
def test_only_the_end_of_a_used_connection_may_have_crossed_a_request(usual, ends, excused):
    client, connection, agents_end, judge = usual
    request = SoakRequest("id", "read", monotonic(), 0.01, 0)
    if ends:
        agents_end.close()
    assert not client.hear(connection, request, True)
    assert [each.rule for each in judge.violations] == [Rule.LOST] * (not excused)


def test_request_behind_an_answer_that_ends_its_connection_is_owed_one(usual):
    client, connection, agents_end, judge = usual
    first, second = (SoakRequest(id, "read", monotonic(), 0.01, 0) for id in "ab")
    agents_end.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na")
    assert not client.hear(connection, first, True)
    client.give_up(first, [second])
    assert [(each.rule, each.about) for each in judge.violations] == [(Rule.LOST, "b")]
