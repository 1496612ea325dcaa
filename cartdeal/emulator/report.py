"""Plays a world once for each seed, and prints one line of figures each, tab-separated.

Exit status 0: the rules were kept. 1: one was broken; each violation stands on standard error. 2: the file
can't be used, and nothing was runner (`cli.py` says so).
"""

import click
from hdrh.histogram import HdrHistogram

PERCENTILES = (50, 99, 99.9)


def run_seeds(make_runner, seeds, trace=None) -> int:
    """`make` gives what has played the world on a seed, on whichever clock."""
    broken = False
    for place, seed in enumerate(seeds):
        runner = make_runner(seed)
        figures = {"seed": seed} | runner.figures() | percentiles(runner.latencies)
        if place == 0:
            click.echo("\t".join(figures))
        click.echo("\t".join(map(str, figures.values())))
        for violation in runner.rule_checker.violations:
            broken = True
            click.echo(f"seed {seed}: {violation}", err=True)
        if trace:
            trace.writelines(f"{seed} {line}\n" for line in runner.trace)
    return int(broken)


def percentiles(latencies) -> dict:
    """In milliseconds, counted from when each request was due."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for each in latencies:
        histogram.record_value(max(1, int(each * 1e6)))
    return {f"p{each:g} ms": round(histogram.get_value_at_percentile(each) / 1e3, 1) for each in PERCENTILES}
