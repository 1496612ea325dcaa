"""Runs a world once for each seed, and prints one tab-separated line of figures for each run.

The exit status is 0 if no rule was broken, and 1 if one was; each violation is printed on standard error.
`cli.py` exits with status 2, before any run, if the file of the world is invalid.
"""

import click
from hdrh.histogram import HdrHistogram

PERCENTILES = (50, 99, 99.9)


def run_seeds(make_runner, seeds, trace=None) -> int:
    """Prints the figures and violations of each seed's run; returns the exit status.

    Args:
        make_runner: Takes a seed and returns the finished run, in simulated time or on sockets.
        seeds: The seeds to run.
        trace: A file for the trace lines of all runs; None if none are wanted.
    """
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
    """Percentiles, in milliseconds, of latencies in seconds, each counted from when its request was due."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for each in latencies:
        histogram.record_value(max(1, int(each * 1e6)))
    return {f"p{each:g} ms": round(histogram.get_value_at_percentile(each) / 1e3, 1) for each in PERCENTILES}
