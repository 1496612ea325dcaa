"""The command line: one command for each thing that the project does.

`python -m cartdeal` without words starts the agent and never comes here. Each command imports what it needs
when it runs, so that none needs what another does.
"""

import os
import signal
import sys

import click


def interruptible():
    """What started processes ends them when it is told to end, also where a script left SIGINT ignored."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)


class Refusing(click.Group):
    """What can't be used gets one line and status 2, whichever command met it."""

    def invoke(self, context):
        from cartdeal.emulator.world import InvalidInputError

        try:
            return super().invoke(context)
        except InvalidInputError as trouble:
            click.echo(str(trouble).replace("\n", " "), err=True)
            sys.exit(2)


@click.group(cls=Refusing)
def main():
    """A sidecar balancer, and the laboratory that shows how it decides."""


@main.command()
def serve():
    """Run an agent, as PROXY_CONFIG says."""
    from cartdeal.agent import start

    sys.exit(start.main())


@main.command()
@click.argument("file")
def check(file):
    """Check an agent's configuration FILE, and the fleet's that PROXY_FLEET names, and say at which key it is
    at fault."""
    from cartdeal.agent import configuration, start

    try:
        config = configuration.read({**os.environ, "PROXY_CONFIG": file})
        fleet = start.read_fleet_configuration(config)
    except configuration.ConfigurationError as fault:
        click.echo(f"{file}: {fault}", err=True)
        sys.exit(2)
    in_fleet = f", fleet {fleet.settings.fleet}" if fleet else ""
    click.echo(f"{file}: good, {config.name}, {len(config.initial_servers.entries)} servers known{in_fleet}")


@main.command()
@click.argument("old")
@click.argument("new")
@click.option("--area", "areas", multiple=True, help="a zone of the new build; may come again")
@click.option("--zone", help="the agent's own zone among them")
@click.option("--agents", type=click.IntRange(1), help="how many agents the pool has")
@click.option("--number", type=click.IntRange(0), help="which of them this one is, from 0")
@click.option("--column", "columns", multiple=True, help="a value that servers report; may come again")
@click.option("--settings", "extra", help="a JSON file of settings that go before those of OLD")
@click.option("--force", is_flag=True, help="write over a NEW that is there")
@click.option("--dry-run", is_flag=True, help="show all of it and change nothing")
def migrate(old, new, areas, zone, agents, number, columns, extra, force, dry_run):
    """Turn the configuration OLD, of an agent beside its client, into NEW, of an agent of a pool."""
    from cartdeal import migration
    from cartdeal.agent import configuration

    try:
        over = migration.load(extra) if extra else None
        made = migration.plan(old, areas, zone, agents, number, columns, over)
        if made is None:
            return click.echo(f"{old}: has the new shape already; nothing is written")
        if not dry_run:
            migration.write(made.text, old, new, force)
    except configuration.ConfigurationError as fault:
        click.echo(f"{old}: {fault}", err=True)
        sys.exit(2)
    if dry_run:
        click.echo(made.text.decode(), nl=False)
    for line in made.lost:
        click.echo(f"not carried over: {line}")
    for line in made.open:
        click.echo(f"to confirm: {line}")
    click.echo(
        f"{new}: {'nothing written (dry run)' if dry_run else 'written'}, "
        f"{'check: ' + made.fault if made.fault else 'passes check'}"
    )
    sys.exit(bool(made.fault))


@main.command()
@click.argument("file")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="may come again; 1 if left out")
@click.option("--trace", type=click.File("w"), help="write each answer: time, request, status")
@click.option("--cut", is_flag=True, help="cut the first run down to what its first violation needs")
def emulate(file, seeds, trace, cut):
    """Play the world in FILE; exit status 1 if a rule was broken."""
    from cartdeal.emulator import play, report, world

    found = world.read_world(file)
    if cut:
        from cartdeal.emulator.shrink import shrink

        left = shrink(found, seeds[0])
        if left is None:
            return click.echo(f"seed {seeds[0]}: no rule was broken")
        click.echo(f"{left.violation}\nneeds {len(left.arrivals)} arrivals (agent, which): {left.arrivals}")
        for fault in left.world.fault:
            click.echo(f"needs {fault.kind} at {fault.begins_s:g} s")
        sys.exit(1)

    def played(seed):
        return play.Fleet(found, seed, trace=[] if trace else None).run()

    sys.exit(report.run_seeds(played, seeds, trace))


@main.command()
@click.argument("file")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="may come again; 1 if left out")
@click.option("--deploy", default="deploy/balancer.toml", help="the deploy file whose `run` starts an agent")
@click.option("--run", help="the command of an agent, in place of the deploy file's")
def rig(file, seeds, deploy, run):
    """Play the world in FILE on sockets, with real agents; exit status 1 if a rule was broken."""
    from cartdeal.emulator import report, world
    from cartdeal.rig import play

    found, run = world.read_world(file), run or play.read_agent_command(deploy)
    interruptible()
    sys.exit(report.run_seeds(lambda seed: play.Rig(found, seed, run).play(), seeds))


@main.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="may come again; 1 if left out")
@click.option("--agents", default=24, help="processes of agents")
@click.option("--seconds", default=30.0, help="for which clients ask")
@click.option("--faults", default=0.002, help="the chance that a system call fails, at every other agent")
@click.option("--logs", type=click.Path(file_okay=False), help="a folder for the agents' logs")
def soak(seeds, agents, seconds, faults, logs):
    """Play overlapping faults on sockets, with real agents; exit status 1 if a rule was broken."""
    from cartdeal.rig.soak import play

    interruptible()
    broken = 0
    for seed in seeds:
        played = play.Soak(seed, agents, seconds, faults).play()
        click.echo(played.report())
        broken += len(played.rule_checker.violations)
        if logs:
            play.save_logs(played, logs)
    sys.exit(1 if broken else 0)


@main.group()
def lab():
    """Experiments: variants of a world on the same seeds."""


@lab.command()
@click.argument("file")
@click.argument("table")
@click.option("--workers", type=click.IntRange(1, 64), default=os.cpu_count, help="processes; one a core")
def run(file, table, workers):
    """Play the experiment in FILE, of a world or of the fleet, and keep its TABLE (CSV); exit status 1 if a
    rule was broken."""
    from cartdeal.lab import experiment

    interruptible()
    rows = experiment.run(file, table, workers)
    click.echo(f"{table}: {len(rows)} rows")
    sys.exit(experiment.broken(file, rows))


@lab.command()
@click.argument("table")
@click.option("--figure", "figures", multiple=True, default=["served", "p99 ms"])
def compare(table, figures):
    """Print each variant of TABLE, and how it differs from the first on the same seeds."""
    from cartdeal.lab.compare import compared

    words, rows = columns(table, figures)
    click.echo(words)
    for figure in figures:
        click.echo(f"{figure}\tmean\t+-\tdifference\t+-")
        for name, *values in compared(rows, figure):
            click.echo("\t".join([name, *(f"{each:.4g}" for each in values)]))


@lab.command()
@click.argument("table")
@click.argument("chart")
@click.option("--figure", "figures", multiple=True, default=["served", "p99 ms"])
def report(table, chart, figures):
    """Draw TABLE as CHART (.svg or .png), without playing anything."""
    from cartdeal.lab.chart import draw

    draw(*columns(table, figures), list(figures), chart)
    click.echo(chart)


def columns(table, figures):
    from cartdeal.emulator.world import InvalidInputError
    from cartdeal.lab.experiment import kept

    words, rows = kept(table)
    for figure in figures:
        if figure not in rows[0]:
            raise InvalidInputError(
                f"{table}: found no column {figure!r}, wanted one of {', '.join(rows[0])}"
            )
    return words, rows
