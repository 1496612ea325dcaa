"""Experiments: tables that are written whole or not at all, comparisons on the same seeds, invalid input."""

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
from cartdeal.lab.baselines import REDUCERS_BY_POLICY
from cartdeal.lab.compare import compare_variants, mean_with_interval
from tests.test_emulator import FAULTY_WORLD

WORLD = "seconds = 2.0\nagents = 4\n"
EXPERIMENT = (
    "world = 'w.toml'\nseeds = [1, 2, 3]\n[[variant]]\nname = 'a'\n[[variant]]\nname = 'b'\n"
    "policy = 'random'\nset = {'servers.cores' = 1}\n"
)


def start_command(*arguments, **options):
    """Starts cartdeal with the arguments; the options are those of Popen."""
    return subprocess.Popen(
        [sys.executable, "-m", "cartdeal", *map(str, arguments)],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


def run_command(*arguments):
    """Runs cartdeal with the arguments; returns its exit status, output and error output."""
    process = start_command(*arguments)
    out, error = process.communicate(timeout=60)
    return process.returncode, out, error


@pytest.fixture
def experiment_file(tmp_path):
    """The path of an experiment file, beside the file of its world."""
    (tmp_path / "w.toml").write_text(WORLD)
    (tmp_path / "plan.toml").write_text(EXPERIMENT)
    return tmp_path / "plan.toml"


def test_a_table_names_its_source_and_is_drawn_without_running_the_experiment(experiment_file, tmp_path):
    table, charts = tmp_path / "t.csv", [tmp_path / "1.svg", tmp_path / "2.svg"]
    assert run_command("lab", "run", experiment_file, table, "--workers", 2)[0] == 0
    description, rows = experiment.read_table(table)
    assert description.startswith("commit ") and description.endswith("plan.toml, w.toml, seeds 1 2 3")
    assert [(row["variant"], row["seed"]) for row in rows] == [(v, s) for v in "ab" for s in "123"]
    expected_row = experiment.run_world(
        "a", worlds.world_from_dict({"seconds": 2.0, "agents": 4}), "cartdeal", 2
    )
    assert rows[1] == {key: str(value) for key, value in expected_row.items()}
    (tmp_path / "w.toml").unlink()
    for chart in charts:
        assert run_command("lab", "report", table, chart)[0] == 0
    assert charts[0].read_bytes() == charts[1].read_bytes() and b"plan.toml" in charts[0].read_bytes()
    assert "b\t" in run_command("lab", "compare", table)[1]


def test_differences_between_variants_are_taken_seed_by_seed():
    rows = [
        {"variant": v, "seed": s, "served": str(base + difference)}
        for s, base in (("1", 0.2), ("2", 0.5), ("3", 0.9))
        for v, difference in (("a", 0.0), ("b", 0.05))
    ]
    (_, mean, half_width, *_), (_, _, _, difference, difference_half_width) = compare_variants(rows, "served")
    assert mean == pytest.approx(0.5333, abs=1e-3) and half_width > 0.5
    assert difference == pytest.approx(0.05) and difference_half_width < 1e-9
    # Student's t with one degree of freedom.
    assert mean_with_interval([1.0, 3.0])[1] == pytest.approx(12.706, abs=1e-3)


@pytest.mark.parametrize("policy", [name for name in REDUCERS_BY_POLICY if name != "cartdeal"])
def test_baseline_policies_break_no_rule(policy):
    assert (
        not Fleet(worlds.world_from_dict(FAULTY_WORLD), 3, REDUCERS_BY_POLICY[policy])
        .run()
        .rule_checker.violations
    )


@pytest.mark.parametrize(
    "before, after, message",
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
def test_invalid_experiment_is_refused_and_not_run(experiment_file, tmp_path, before, after, message):
    experiment_file.write_text(EXPERIMENT.replace(before, after))
    status, out, error = run_command("lab", "run", experiment_file, tmp_path / "t.csv")
    assert status == 2 and not out and message in error and error.count("\n") == 1
    assert not (tmp_path / "t.csv").exists()


# Settings of each scenario for a short run.
SHORT_RUNS = {
    "ring": {"agents": 4},
    "copies": {"agents": 3, "rest_s": 1.0, "traffic_s": 1.0, "cut_s": 1.0},
    "days": {"seconds": 2.0, "agents": 3, "lookups": 5.0},
    "upgrade": {"agents": 3, "every_s": 2.0, "cut": "zone", "cut_s": 1.0, "lookups": 5.0},
    "added": {"kind": "close", "lookups": 10},
}


@pytest.mark.parametrize("scenario", fleets.SCENARIOS)
def test_each_scenario_of_the_fleet_gives_a_row(scenario):
    row = fleets.run_scenario(
        "tiny", fleets.scenario_settings(scenario, SHORT_RUNS[scenario], "set"), scenario, 3
    )
    assert (row["variant"], row["seed"]) == ("tiny", 3) and not row.get("violations")
    assert row.get("completed", 1.0) == 1.0 and row.get("marks lost", 0) == 0


@pytest.mark.parametrize(
    "scenario, settings, message",
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
def test_invalid_scenario_or_setting_is_named(tmp_path, scenario, settings, message):
    file = tmp_path / "f.toml"
    file.write_text(f"play = '{scenario}'\nseeds = [1, 2]\n[[variant]]\nname = 'a'\nset = {{{settings}}}\n")
    with pytest.raises(InvalidInputError) as caught:
        experiment.read_experiment(file)
    assert f"{file}: {message}" in str(caught.value)


def test_a_file_that_is_no_table_is_refused(experiment_file):
    with pytest.raises(InvalidInputError, match="plan.toml"):
        experiment.read_table(experiment_file)


def test_a_column_that_does_not_exist_is_refused(experiment_file, tmp_path):
    experiment.write_table(tmp_path / "t.csv", [{"variant": "a", "seed": 1}], "words")
    status, _, error = run_command("lab", "compare", tmp_path / "t.csv", "--figure", "luck")
    assert status == 2 and "'luck'" in error


def test_an_interrupted_run_leaves_no_process_and_no_table(experiment_file, tmp_path):
    (tmp_path / "w.toml").write_text("seconds = 3000.0\nagents = 40\n")
    process = start_command(
        "lab", "run", experiment_file, tmp_path / "t.csv", "--workers", 2, start_new_session=True
    )
    children = f"/proc/{process.pid}/task/{process.pid}/children"
    # Two workers, and the resource tracker of multiprocessing.
    while len(workers := open(children).read().split()) < 3:
        time.sleep(0.01)
    os.kill(process.pid, signal.SIGINT)
    process.communicate(timeout=30)
    assert process.returncode and sorted(os.listdir(tmp_path)) == ["plan.toml", "w.toml"]
    for pid in workers:
        while os.path.exists(f"/proc/{pid}") and "Z" not in open(f"/proc/{pid}/stat").read().split()[2]:
            time.sleep(0.01)


def test_days_have_the_columns_of_the_published_table():
    columns = Path("docs/lab/fleet-days.csv").read_text().splitlines()[1].split(",")
    row = fleets.run_days(fleets.DaysSettings(agents=3, seconds=1.0, recovery_timeout_s=1.0, requests=1.0), 1)
    assert ["variant", "seed", *row] == columns


def descendants(pid) -> list[str]:
    """The ids of a process's descendants; a child that ends while they are listed has none."""
    try:
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    except (FileNotFoundError, ProcessLookupError):
        return []
    return children + [pid for child in children for pid in descendants(child)]


def test_a_process_that_has_ended_has_no_descendants():
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    assert descendants(process.pid) == []


def test_an_interrupted_run_leaves_no_agent(tmp_path):
    (tmp_path / "f.toml").write_text("play = 'added'\nseeds = [1, 2]\n[[variant]]\nname = 'a'\n")
    process = start_command(
        "lab", "run", tmp_path / "f.toml", tmp_path / "t.csv", "--workers", 1, start_new_session=True
    )

    # The worker, the resource tracker of multiprocessing, and four agents.
    while len(processes := descendants(process.pid)) < 6:
        time.sleep(0.01)
    os.kill(process.pid, signal.SIGTERM)
    process.communicate(timeout=30)
    deadline = time.monotonic() + 20.0
    while any(
        os.path.exists(f"/proc/{pid}") and "Z" not in open(f"/proc/{pid}/stat").read().split()[2]
        for pid in processes
    ):
        assert time.monotonic() < deadline, "processes of the run are left"
        time.sleep(0.01)


def test_check_names_the_key_of_an_error(tmp_path):
    file = tmp_path / "c.json"
    file.write_text('{"settings": 5}')
    assert run_command("check", file)[0] == 2 and "$.settings" in run_command("check", file)[2]
    assert run_command("check", "examples/config.json")[0] == 0
