"""Breakages, each planted into otherwise unbroken agents at test time: the judge has to find and name it, and
finds nothing in the same day without it. A day that no breakage is found in would be a blind one."""

import pytest

from cartdeal.fleet import records
from cartdeal.fleet.desk import Limit, Pact
from cartdeal.fleet.memory import Memory, Weather
from cartdeal.fleet.node import Node
from cartdeal.fleet.verdict import Question


def fleet(size=3, zones=3, limit=Limit(50.0, 30.0), **terms):
    seeds = {f"a{n}": f"10.0.0.1:{n + 1}" for n in range(size)}
    memory = Memory(Pact(fleet="f", name="", key=b"k" * 32, seeds=seeds, limits={"shop": limit}, **terms), 1)
    for number_ in range(size):
        memory.add(f"a{number_}", zone=f"z{number_ % zones}")
    assert memory.until(memory.one_ring, 20.0) < 20.0
    return memory.run(14.0)


def sheet(number, **more):
    return Question(**{"session": f"s{number}", "key": f"k{number}", "repeat": "u", "limit_s": 20.0,
                       "workload": "sheet", **more})


def ask_shop(memory, seconds, agents=None, rate=200):
    names = agents or list(memory.places)
    for turn in range(int(rate * seconds)):
        memory.intend(Question(tenant="shop", workload="read"), [names[turn % len(names)]])
        memory.run(1 / rate)


# Days

def dies_and_again(memory):
    """Sheets are submitted at a0, which dies with them; their clients come again at the others."""
    for turn in range(20):
        memory.intend(sheet(turn), ["a0", "a1", "a2"], 3, work_s=6.0)
        memory.run(0.02)
    memory.run(0.5)
    memory.kill("a0")
    memory.run(3.0)


def restarts(memory):
    for _ in range(2):
        for turn in range(5):
            memory.intend(sheet(f"{memory.places['a0'].starts}/{turn}"), ["a0"])
            memory.run(0.2)
        memory.kill("a0")
        memory.start("a0")
        memory.run(15.0)


def cut_in_two(memory):
    ask_shop(memory, 3.0)
    names = list(memory.places)
    memory.cut(names[:2], names[2:])
    ask_shop(memory, 20.0)
    memory.heal()
    ask_shop(memory, 8.0)


def owners_restart(memory):
    """Of a tenant's three owners one after the other comes back from nothing, and lends again."""
    for name in memory.places:
        ask_shop(memory, 0.5)
        memory.kill(name)
        memory.start(name)
    ask_shop(memory, 8.0)


def copies_lost(memory):
    """All that knew of a sheet come back from nothing, and its client comes again."""
    memory.intend(sheet(0), ["a0", "a1", "a2"], 3, work_s=9.0)
    memory.run(0.3)
    for name in ("a1", "a2"):
        memory.kill(name)
        memory.start(name)
    memory.run(5.0)
    memory.kill("a0")
    memory.run(5.0)


def half_cut_sheets(memory):
    names = list(memory.places)
    for name in names[1:]:
        memory.cut([name], [names[0]])
    for turn in range(10):
        memory.intend(sheet(turn), names[:2], 2)
        memory.run(0.1)
    memory.heal()
    memory.run(8.0)


def bad_weather(memory):
    memory.weather = Weather(double=0.5, jitter_s=0.02, late=0.1, late_s=1.0)
    ask_shop(memory, 10.0)


def comes_late(memory):
    """A sheet is submitted; its client comes again when its time limit has long run out."""
    memory.intend(sheet(0), ["a0", "a1"], 2, work_s=15.0, patience_s=12.0)
    memory.run(14.0)


def gossip(memory):
    """Sheets are answered while messages come in any order."""
    memory.weather = Weather(double=0.3, jitter_s=0.2, late=0.2, late_s=2.0)
    for turn in range(40):
        memory.intend(sheet(turn % 10, key=f"k{turn}"), [f"a{turn % 3}"], work_s=0.05)
        memory.run(0.1)
    memory.weather = Weather()
    memory.run(6.0)
    memory.judge.lost(memory.copies(), (1_700_000_000.0 + memory.clock.now) * 1e3)
    assert memory.equal_copies() or memory.judge.violated("copies differ at the end")


def comes_and_goes(memory):
    memory.add("a9", zone="z0")
    memory.run(20.0)
    memory.kill("a9")
    memory.run(25.0)


def half_old(memory):
    for name in list(memory.places)[2:]:
        memory.kill(name)
        memory.start(name, reads=(1, 1))
    memory.run(30.0)


def stopped(memory):
    ask_shop(memory, 3.0)
    for _ in range(3):
        memory.stop("a0", 5.0)
        ask_shop(memory, 4.5, list(memory.places)[1:])
        ask_shop(memory, 3.0)


# Breakages

def last_to_arrive(plant):
    plant(records, "merge", lambda a, b: b)


def number_again(plant):
    def init(self, pact, seed, now, wall):
        before(self, pact, "the same", now, 1_700_000_000.0)
        self.offset = wall - now
    before = Node.__init__
    plant(Node, "__init__", init)


BREAKAGES = {
    "a merge that takes the last to arrive": (last_to_arrive, gossip, {}, "lost, though"),
    "a number used again after a restart": (number_again, restarts, {}, "twice"),
}


@pytest.mark.parametrize("which", BREAKAGES)
def test_the_judge_names_the_breakage(which, monkeypatch):
    breakage, day, terms, words = BREAKAGES[which]
    breakage(monkeypatch.setattr)
    memory = fleet(**terms)
    day(memory)
    found = memory.judge.close()
    assert any(words in each for each in found), found


@pytest.mark.parametrize("day, terms", {(day, tuple(terms.items())): None for _, day, terms, _ in
                                        BREAKAGES.values()})
def test_the_judge_finds_nothing_in_the_same_day_of_unbroken_agents(day, terms):
    memory = fleet(**dict(terms))
    day(memory)
    assert memory.judge.close() == []
