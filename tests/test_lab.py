"""Experiments: tables whole or not at all, comparisons on the same seeds, and input that can't be used."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from cartdeal.emulator import world as worlds
from cartdeal.emulator.play import Fleet
from cartdeal.emulator.world import InvalidInputError
from cartdeal.lab import experiment, fleets
from cartdeal.lab.baselines import POLICIES
from cartdeal.lab.compare import compared, interval
from tests.test_emulator import FAULTY_WORLD

WORLD = "seconds = 2.0\nagents = 4\n"
PLAN = (
    "world = 'w.toml'\nseeds = [1, 2, 3]\n[[variant]]\nname = 'a'\n[[variant]]\nname = 'b'\n"
    "policy = 'random'\nset = {'servers.cores' = 1}\n"
)


def command(*words, **more):
    return subprocess.Popen(
        [sys.executable, "-m", "cartdeal", *map(str, words)],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **more,
    )


def said(*words):
    process = command(*words)
    out, wrong = process.communicate(timeout=60)
    return process.returncode, out, wrong


@pytest.fixture
def plan(tmp_path):
    (tmp_path / "w.toml").write_text(WORLD)
    (tmp_path / "plan.toml").write_text(PLAN)
    return tmp_path / "plan.toml"


def test_a_table_says_what_made_it_and_is_drawn_again_without_playing(plan, tmp_path):
    table, charts = tmp_path / "t.csv", [tmp_path / "1.svg", tmp_path / "2.svg"]
    assert said("lab", "run", plan, table, "--workers", 2)[0] == 0
    words, rows = experiment.kept(table)
    assert words.startswith("commit ") and words.endswith("plan.toml, w.toml, seeds 1 2 3")
    assert [(row["variant"], row["seed"]) for row in rows] == [(v, s) for v in "ab" for s in "123"]
    alone = experiment.one("a", worlds.world_from_dict({"seconds": 2.0, "agents": 4}), "cartdeal", 2)
    assert rows[1] == {key: str(value) for key, value in alone.items()}
    (tmp_path / "w.toml").unlink()
    for chart in charts:
        assert said("lab", "report", table, chart)[0] == 0
    assert charts[0].read_bytes() == charts[1].read_bytes() and b"plan.toml" in charts[0].read_bytes()
    assert "b\t" in said("lab", "compare", table)[1]


def test_differences_are_taken_seed_by_seed():
    rows = [
        {"variant": v, "seed": s, "served": str(base + more)}
        for s, base in (("1", 0.2), ("2", 0.5), ("3", 0.9))
        for v, more in (("a", 0.0), ("b", 0.05))
    ]
    (_, mean, aside, *_), (_, _, _, difference, sure) = compared(rows, "served")
    assert mean == pytest.approx(0.5333, abs=1e-3) and aside > 0.5
    assert difference == pytest.approx(0.05) and sure < 1e-9
    assert interval([1.0, 3.0])[1] == pytest.approx(12.706, abs=1e-3)  # Student, one degree of freedom


@pytest.mark.parametrize("policy", [name for name in POLICIES if name != "cartdeal"])
def test_baselines_keep_the_rules(policy):
    assert not Fleet(worlds.world_from_dict(FAULTY_WORLD), 3, POLICIES[policy]).run().rule_checker.violations


@pytest.mark.parametrize(
    "before, after, words",
    [
        ("[1, 2, 3]", "[1, 1]", "seeds: found"),
        ("'random'", "'best'", "variant[1].policy: found 'best'"),
        ("servers.cores", "servers.cors", "variant[1]"),
        ("servers.cores", "agents.cores", "variant[1].set"),
        ("w.toml", "v.toml", "v.toml"),
        ("name = 'b'", "name = 'a'", "variant: found"),
        ("seeds", "seed", "seed"),
        ("world =", "world", "plan.toml"),
    ],
)
def test_experiment_that_cannot_be_used_plays_nothing(plan, tmp_path, before, after, words):
    plan.write_text(PLAN.replace(before, after))
    status, out, wrong = said("lab", "run", plan, tmp_path / "t.csv")
    assert status == 2 and not out and words in wrong and wrong.count("\n") == 1
    assert not (tmp_path / "t.csv").exists()


TINY = {
    "ring": {"agents": 4},
    "copies": {"agents": 3, "rest_s": 1.0, "traffic_s": 1.0, "cut_s": 1.0},
    "days": {"seconds": 2.0, "agents": 3, "lookups": 5.0},
    "upgrade": {"agents": 3, "every_s": 2.0, "cut": "zone", "cut_s": 1.0, "lookups": 5.0},
    "added": {"kind": "close", "lookups": 10},
}


@pytest.mark.parametrize("play", fleets.PLAYS)
def test_each_play_of_the_fleet_gives_a_row(play):
    row = fleets.one("tiny", fleets.made(play, TINY[play], "set"), play, 3)
    assert (row["variant"], row["seed"]) == ("tiny", 3) and not row.get("violations")
    assert row.get("completed", 1.0) == 1.0 and row.get("marks lost", 0) == 0


@pytest.mark.parametrize(
    "play, words, wrong",
    [
        ("copies", "agents = 2", "variant[0].set.agents: found 2, wanted `int` >= 3"),
        (
            "ring",
            "way = 'best'",
            "variant[0].set.way: found 'best', wanted one of cartdeal, circle, undamped",
        ),
        ("days", "seconds = '9'", "variant[0].set.seconds: found '9', wanted `float`"),
        ("upgrade", "cuts = 1", "variant[0].set.cuts: found 1, wanted one of agents, every_s"),
        ("luck", "", "play: found 'luck', wanted one of ring, copies, days, upgrade, added"),
        ("ring'\nworld = 'w.toml", "", "world: found 'w.toml', wanted one of world (a file) and play"),
        ("ring", "}\npolicy = 'random'\n#", "variant[0].policy: found 'random', wanted none"),
    ],
)
def test_play_that_cannot_be_used_is_named(tmp_path, play, words, wrong):
    file = tmp_path / "f.toml"
    file.write_text(f"play = '{play}'\nseeds = [1, 2]\n[[variant]]\nname = 'a'\nset = {{{words}}}\n")
    with pytest.raises(InvalidInputError) as caught:
        experiment.read(file)
    assert f"{file}: {wrong}" in str(caught.value)


def test_a_file_that_is_no_table_is_refused(plan):
    with pytest.raises(InvalidInputError, match="plan.toml"):
        experiment.kept(plan)


def test_a_column_that_is_not_there_is_refused(plan, tmp_path):
    experiment.keep(tmp_path / "t.csv", [{"variant": "a", "seed": 1}], "words")
    status, _, wrong = said("lab", "compare", tmp_path / "t.csv", "--figure", "luck")
    assert status == 2 and "'luck'" in wrong


def test_an_interrupted_run_leaves_no_process_and_no_half_table(plan, tmp_path):
    (tmp_path / "w.toml").write_text("seconds = 3000.0\nagents = 40\n")
    process = command("lab", "run", plan, tmp_path / "t.csv", "--workers", 2, start_new_session=True)
    children = f"/proc/{process.pid}/task/{process.pid}/children"
    while len(workers := open(children).read().split()) < 3:  # two, and what keeps track of them
        time.sleep(0.01)
    os.kill(process.pid, signal.SIGINT)
    process.communicate(timeout=30)
    assert process.returncode and sorted(os.listdir(tmp_path)) == ["plan.toml", "w.toml"]
    for each in workers:
        while os.path.exists(f"/proc/{each}") and "Z" not in open(f"/proc/{each}/stat").read().split()[2]:
            time.sleep(0.01)


def test_days_have_the_columns_of_the_kept_table():
    columns = Path("docs/lab/fleet-days.csv").read_text().splitlines()[1].split(",")
    row = fleets.days(fleets.Days(agents=3, seconds=1.0, quiet=1.0, requests=1.0), 1)
    assert ["variant", "seed", *row] == columns


def descendants(pid) -> list[str]:
    """The processes below one; a child that ends while they are listed has none."""
    try:
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    except (FileNotFoundError, ProcessLookupError):
        return []
    return children + [each for child in children for each in descendants(child)]


def test_a_process_that_has_ended_has_no_descendants():
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    assert descendants(process.pid) == []


def test_an_interrupted_run_leaves_no_agent(tmp_path):
    (tmp_path / "f.toml").write_text("play = 'added'\nseeds = [1, 2]\n[[variant]]\nname = 'a'\n")
    process = command(
        "lab", "run", tmp_path / "f.toml", tmp_path / "t.csv", "--workers", 1, start_new_session=True
    )

    while len(agents := descendants(process.pid)) < 6:  # two of the pool, and four agents
        time.sleep(0.01)
    os.kill(process.pid, signal.SIGTERM)
    process.communicate(timeout=30)
    until = time.monotonic() + 20.0
    while any(
        os.path.exists(f"/proc/{each}") and "Z" not in open(f"/proc/{each}/stat").read().split()[2]
        for each in agents
    ):
        assert time.monotonic() < until, "agents are left"
        time.sleep(0.01)


def test_check_names_the_key(tmp_path):
    file = tmp_path / "c.json"
    file.write_text('{"settings": 5}')
    assert said("check", file)[0] == 2 and "$.settings" in said("check", file)[2]
    assert said("check", "examples/config.json")[0] == 0
