"""Plays a world from a file once for each seed, and prints one line of figures each, tab-separated.

Exit status 0: the rules were kept. 1: one was broken; each violation stands on standard error. 2: the file
can't be used, and nothing was played.
"""

import sys

import click
from hdrh.histogram import HdrHistogram

from cartdeal.emulator import world as worlds
from cartdeal.emulator.play import Fleet

PERCENTILES = (50, 99, 99.9)


@click.command()
@click.argument("file")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="may come again; 1 if left out")
@click.option("--trace", type=click.File("w"), help="write each answer: time, lookup, status")
def main(file, seeds, trace):
    """Plays the world in FILE."""
    try:
        world = worlds.read(file)
    except worlds.Unusable as trouble:
        click.echo(str(trouble).replace("\n", " "), err=True)
        sys.exit(2)
    broken = False
    for place, seed in enumerate(seeds):
        fleet = Fleet(world, seed, trace=[] if trace else None).play()
        figures = {"seed": seed} | fleet.figures() | percentiles(fleet.took)
        if place == 0:
            click.echo("\t".join(figures))
        click.echo("\t".join(map(str, figures.values())))
        for violation in fleet.judge.violations:
            broken = True
            click.echo(f"seed {seed}: {violation}", err=True)
        if trace:
            trace.writelines(f"{seed} {line}\n" for line in fleet.trace)
    sys.exit(broken)


def percentiles(took) -> dict:
    """In milliseconds, counted from when each lookup was due."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for each in took:
        histogram.record_value(max(1, int(each * 1e6)))
    return {f"p{each:g} ms": round(histogram.get_value_at_percentile(each) / 1e3, 1) for each in PERCENTILES}


if __name__ == "__main__":
    main()
