"""An experiment: a world or a play of the fleet, variants and seeds, from a checked TOML file; in processes.

A table is written whole or not at all, and says which commit, world (or play) and seeds made it. It must
never hold a figure that was not played.
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
from cartdeal.lab.baselines import POLICIES


class Variant(StrictStruct):
    name: str
    policy: str = "cartdeal"
    set: dict = msgspec.field(default_factory=dict)  # dotted keys of the world; keys of the play


class Experiment(StrictStruct):
    seeds: tuple[int, ...]
    variant: tuple[Variant, ...]
    world: str = ""
    play: str = ""  # of the fleet (fleets.py), in place of a world


def read(path) -> tuple[Experiment, list]:
    """The experiment, and the world of each variant, or its terms where the fleet is played."""
    try:
        found = tomllib.loads(Path(path).read_text())
        experiment = msgspec.convert(found, Experiment)
        plays = ", ".join(fleets.PLAYS)
        wrong = [
            (
                "world",
                experiment.world,
                f"one of world (a file) and play ({plays})",
                bool(experiment.world) == bool(experiment.play),
            ),
            (
                "play",
                experiment.play,
                f"one of {plays}",
                experiment.play and experiment.play not in fleets.PLAYS,
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
                "one or more, each of its own name",
                len({each.name for each in experiment.variant}) < max(1, len(experiment.variant)),
            ),
        ]
        wrong += [
            (
                f"variant[{place}].policy",
                each.policy,
                f"one of {', '.join(POLICIES)}",
                each.policy not in POLICIES,
            )
            for place, each in enumerate(experiment.variant)
        ]
        wrong += [
            (
                f"variant[{place}].policy",
                each.policy,
                "none where the fleet is played",
                experiment.play and each.policy != "cartdeal",
            )
            for place, each in enumerate(experiment.variant)
        ]
        for key, found_there, wanted, is_wrong in wrong:
            if is_wrong:
                raise InvalidInputError(f"{key}: found {found_there!r}, wanted {wanted}")
        if experiment.play:
            return experiment, [
                fleets.made(experiment.play, each.set, f"variant[{place}].set")
                for place, each in enumerate(experiment.variant)
            ]
        file = Path(path).parent / experiment.world
        base = tomllib.loads(file.read_text())
        return experiment, [varied(base, each, place) for place, each in enumerate(experiment.variant)]
    except OSError as trouble:
        raise InvalidInputError(
            f"{path}: found no readable file {trouble.filename} ({trouble.strerror})"
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeError, msgspec.ValidationError, InvalidInputError) as trouble:
        raise InvalidInputError(f"{path}: {trouble}") from None


def varied(base: dict, variant: Variant, place: int) -> worlds.World:
    whole = deepcopy(base)
    for key, value in variant.set.items():
        at, *path = reversed(key.split("."))
        there = whole
        for part in reversed(path):
            there = there.setdefault(part, {})
            if not isinstance(there, dict):
                raise InvalidInputError(f"variant[{place}].set: found {key!r}, wanted a key of a world")
        there[at] = value
    try:
        return worlds.world_from_dict(whole)
    except InvalidInputError as trouble:
        raise InvalidInputError(f"variant[{place}]: {trouble}") from None


def one(name: str, world: worlds.World, policy: str, seed: int) -> dict:
    fleet = Fleet(world, seed, POLICIES[policy]).run()
    return {"variant": name, "seed": seed} | fleet.figures() | percentiles(fleet.latencies)


def run(path, to, workers: int) -> list[dict]:
    experiment, played = read(path)
    do, code = fleets.one if experiment.play else one, commit()
    jobs = [
        (variant.name, what, experiment.play or variant.policy, seed)
        for variant, what in zip(experiment.variant, played, strict=True)
        for seed in experiment.seeds
    ]
    pool = ProcessPoolExecutor(workers, mp_context=get_context("spawn"))
    try:
        rows = [future.result() for future in [pool.submit(do, *job) for job in jobs]]
    except BaseException:
        for process in list((pool._processes or {}).values()):
            process.terminate()
        pool.shutdown(wait=False, cancel_futures=True)
        raise
    pool.shutdown()
    made_of = f"play {experiment.play}" if experiment.play else experiment.world
    keep(
        to,
        rows,
        f"commit {code}, {Path(path).name}, {made_of}, seeds " + " ".join(map(str, experiment.seeds)),
    )
    return rows


def broken(path, rows) -> bool:
    """Whether a rule was broken: by the first variant of a world, beside which the others are there to be
    worse, or by any of the fleet."""
    every = read(path)[0].play
    return any(int(row.get("violations", 0)) for row in rows if every or row["variant"] == rows[0]["variant"])


def commit() -> str:
    """Of the code that is being played; `+` where it differs from it."""

    def git(*words):
        here = Path(__file__).parents[1]
        return subprocess.run(["git", *words], capture_output=True, text=True, cwd=here).stdout.strip()

    return (git("rev-parse", "--short", "HEAD") or "unknown") + "+" * bool(git("status", "--short", "."))


def keep(to, rows, words):
    text = io.StringIO()
    text.write(f"# {words}\n")
    writer = csv.DictWriter(text, rows[0], lineterminator="\n")
    writer.writeheader()
    writer.writerows(rows)
    Path(to).parent.mkdir(parents=True, exist_ok=True)
    atomic_write.write(to, text.getvalue().encode())


def kept(path) -> tuple[str, list[dict]]:
    try:
        words, *lines = Path(path).read_text().splitlines()
        rows = list(csv.DictReader(lines))
    except (OSError, ValueError) as trouble:
        raise InvalidInputError(f"{path}: found no table ({trouble})") from None
    if not rows or not {"variant", "seed"} <= rows[0].keys() or not words.startswith("# "):
        raise InvalidInputError(f"{path}: found no table, wanted one that `lab run` wrote")
    return words[2:], rows
