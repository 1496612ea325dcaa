"""Runs an experiment: variants of a world, or of a fleet scenario, on the same seeds, in several processes.

An experiment is read from a TOML file and checked. Its table is written whole or not at all, and names the
commit, the world or scenario, and the seeds that it was made from. The table must never contain a figure that
was not measured.
"""

import csv
import io
import subprocess
import tomllib
from concurrent.futures import ProcessPoolExecutor
from copy import deepcopy
from multiprocessing import get_context
from pathlib import Path

import msgspec

from cartdeal import atomic_write
from cartdeal.emulator import world as worlds
from cartdeal.emulator.play import Fleet
from cartdeal.emulator.report import percentiles
from cartdeal.emulator.world import InvalidInputError, StrictStruct
from cartdeal.lab import fleets
from cartdeal.lab.baselines import REDUCERS_BY_POLICY


class Variant(StrictStruct):
    """A variant of the world or of the scenario."""

    name: str
    policy: str = "cartdeal"
    set: dict = msgspec.field(default_factory=dict)  # by dotted keys of the world, or keys of the scenario


class Experiment(StrictStruct):
    """The content of an experiment file."""

    seeds: tuple[int, ...]
    variant: tuple[Variant, ...]
    world: str = ""  # the path of its file
    play: str = ""  # the fleet scenario (see fleets.py) that is run instead of a world


def read_experiment(path) -> tuple[Experiment, list]:
    """Reads an experiment file.

    Returns:
        The experiment, and for each variant its world, or its settings of the scenario.

    Raises:
        InvalidInputError: the file, or that of its world, can't be read or used.
    """
    try:
        content = tomllib.loads(Path(path).read_text())
        experiment = msgspec.convert(content, Experiment)
        scenarios = ", ".join(fleets.SCENARIOS)
        # (key, value found, value wanted, whether the value found is invalid)
        checks = [
            (
                "world",
                experiment.world,
                f"one of world (a file) and play ({scenarios})",
                bool(experiment.world) == bool(experiment.play),
            ),
            (
                "play",
                experiment.play,
                f"one of {scenarios}",
                experiment.play and experiment.play not in fleets.SCENARIOS,
            ),
            (
                "seeds",
                experiment.seeds,
                "two or more, each once",
                len(set(experiment.seeds)) < max(2, len(experiment.seeds)),
            ),
            (
                "variant",
                [each.name for each in experiment.variant],
                "one or more, each with a name of its own",
                len({each.name for each in experiment.variant}) < max(1, len(experiment.variant)),
            ),
        ]
        checks += [
            (
                f"variant[{index}].policy",
                each.policy,
                f"one of {', '.join(REDUCERS_BY_POLICY)}",
                each.policy not in REDUCERS_BY_POLICY,
            )
            for index, each in enumerate(experiment.variant)
        ]
        checks += [
            (
                f"variant[{index}].policy",
                each.policy,
                "none in an experiment with a play",
                experiment.play and each.policy != "cartdeal",
            )
            for index, each in enumerate(experiment.variant)
        ]
        for key, value, wanted, is_invalid in checks:
            if is_invalid:
                raise InvalidInputError(f"{key}: found {value!r}, wanted {wanted}")
        if experiment.play:
            return experiment, [
                fleets.scenario_settings(experiment.play, each.set, f"variant[{index}].set")
                for index, each in enumerate(experiment.variant)
            ]
        file = Path(path).parent / experiment.world
        base = tomllib.loads(file.read_text())
        return experiment, [variant_world(base, each, index) for index, each in enumerate(experiment.variant)]
    except OSError as error:
        raise InvalidInputError(
            f"{path}: found no readable file {error.filename} ({error.strerror})"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeError, msgspec.ValidationError, InvalidInputError) as error:
        raise InvalidInputError(f"{path}: {error}") from None


def variant_world(base: dict, variant: Variant, index: int) -> worlds.World:
    """The world of a variant: the base with the variant's values at their dotted keys.

    Raises:
        InvalidInputError: a key or a value is not one of a world.
    """
    content = deepcopy(base)
    for key, value in variant.set.items():
        last_key, *parents = reversed(key.split("."))
        table = content
        for parent in reversed(parents):
            table = table.setdefault(parent, {})
            if not isinstance(table, dict):
                raise InvalidInputError(f"variant[{index}].set: found {key!r}, wanted a key of a world")
        table[last_key] = value
    try:
        return worlds.world_from_dict(content)
    except InvalidInputError as error:
        raise InvalidInputError(f"variant[{index}]: {error}") from None


def run_world(name: str, world: worlds.World, policy: str, seed: int) -> dict:
    """Runs a variant's world on a seed; returns its row of the table."""
    fleet = Fleet(world, seed, REDUCERS_BY_POLICY[policy]).run()
    return {"variant": name, "seed": seed} | fleet.figures() | percentiles(fleet.latencies)


def run(path, table_path, workers: int) -> list[dict]:
    """Runs the experiment in a file, writes its table, and returns the table's rows.

    Args:
        path: The experiment file.
        table_path: The file of the table.
        workers: The number of processes.

    Raises:
        InvalidInputError: the experiment can't be used.
    """
    experiment, worlds_or_settings = read_experiment(path)
    run_job, version = fleets.run_scenario if experiment.play else run_world, code_version()
    jobs = [
        (variant.name, world_or_settings, experiment.play or variant.policy, seed)
        for variant, world_or_settings in zip(experiment.variant, worlds_or_settings, strict=True)
        for seed in experiment.seeds
    ]
    pool = ProcessPoolExecutor(workers, mp_context=get_context("spawn"))
    try:
        rows = [future.result() for future in [pool.submit(run_job, *job) for job in jobs]]
    except BaseException:
        for process in list((pool._processes or {}).values()):
            process.terminate()
        pool.shutdown(wait=False, cancel_futures=True)
        raise
    pool.shutdown()
    source = f"play {experiment.play}" if experiment.play else experiment.world
    write_table(
        table_path,
        rows,
        f"commit {version}, {Path(path).name}, {source}, seeds " + " ".join(map(str, experiment.seeds)),
    )
    return rows


def has_violations(path, rows) -> bool:
    """Whether a rule was broken.

    In an experiment with a world, only the first variant counts: the others are there for comparison and may
    be worse. In one with a fleet scenario, every variant counts.
    """
    counts_all = read_experiment(path)[0].play
    return any(
        int(row.get("violations", 0)) for row in rows if counts_all or row["variant"] == rows[0]["variant"]
    )


def code_version() -> str:
    """The commit of the code that runs, followed by `+` if the code differs from it."""

    def git(*arguments):
        package_folder = Path(__file__).parents[1]
        return subprocess.run(
            ["git", *arguments], capture_output=True, text=True, cwd=package_folder
        ).stdout.strip()

    return (git("rev-parse", "--short", "HEAD") or "unknown") + "+" * bool(git("status", "--short", "."))


def write_table(path, rows, description):
    """Writes a table of rows (CSV), whole or not at all; its first line is `# ` and the description."""
    text = io.StringIO()
    text.write(f"# {description}\n")
    writer = csv.DictWriter(text, rows[0], lineterminator="\n")
    writer.writeheader()
    writer.writerows(rows)
    Path(path).parent.mkdir(parents=True, exist_ok=True)
    atomic_write.write(path, text.getvalue().encode())


def read_table(path) -> tuple[str, list[dict]]:
    """The description and the rows of a table.

    Raises:
        InvalidInputError: the file is not a table.
    """
    try:
        description, *lines = Path(path).read_text().splitlines()
        rows = list(csv.DictReader(lines))
    except (OSError, ValueError) as error:
        raise InvalidInputError(f"{path}: found no table ({error})") from None
    if not rows or not {"variant", "seed"} <= rows[0].keys() or not description.startswith("# "):
        raise InvalidInputError(f"{path}: found no table, wanted one that `lab run` wrote")
    return description[2:], rows
