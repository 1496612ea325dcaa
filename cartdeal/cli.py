"""The command line.

`python -m cartdeal` without arguments starts the agent without this module. Each command imports its modules
when it runs, so that no command needs the dependencies of another.
"""

import os
import signal
import sys

import click


def raise_on_signals():
    """Makes SIGINT and SIGTERM raise KeyboardInterrupt, so that a command ends the processes it has started.

    The handler of SIGINT is set too because a script may start the command with SIGINT ignored.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)


class InputCheckingGroup(click.Group):
    """A group whose commands end with one line and exit status 2 if their input can't be used."""

    def invoke(self, context):
        """Runs the command."""
        from cartdeal.emulator.world import InvalidInputError

        try:
            return super().invoke(context)
        except InvalidInputError as error:
            click.echo(str(error).replace("\n", " "), err=True)
            sys.exit(2)


@click.group(cls=InputCheckingGroup)
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
    """Check an agent's configuration FILE, and the fleet configuration that PROXY_FLEET names; print the key
    of an error."""
    from cartdeal.agent import configuration, start

    try:
        config = configuration.read({**os.environ, "PROXY_CONFIG": file})
        fleet = start.read_fleet_configuration(config)
    except configuration.ConfigurationError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    in_fleet = f", fleet {fleet.settings.fleet}" if fleet else ""
    click.echo(f"{file}: good, {config.name}, {len(config.initial_servers.entries)} servers known{in_fleet}")


@main.command()
@click.argument("old")
@click.argument("new")
@click.option("--area", "areas", multiple=True, help="a zone of the new deployment; may be repeated")
@click.option("--zone", help="the agent's own zone, one of those")
@click.option("--agents", type=click.IntRange(1), help="how many agents the pool has")
@click.option("--number", type=click.IntRange(0), help="which of them this one is, from 0")
@click.option("--column", "columns", multiple=True, help="a value that servers report; may be repeated")
@click.option("--settings", "extra", help="a JSON file of settings that replace those of OLD")
@click.option("--force", is_flag=True, help="overwrite NEW if it exists")
@click.option("--dry-run", is_flag=True, help="print the result and write nothing")
def migrate(old, new, areas, zone, agents, number, columns, extra, force, dry_run):
    """Turn the configuration OLD, of an agent beside its client, into NEW, of an agent of a pool."""
    from cartdeal import migration
    from cartdeal.agent import configuration

    try:
        overrides = migration.load(extra) if extra else None
        plan = migration.plan(old, areas, zone, agents, number, columns, overrides)
        if plan is None:
            return click.echo(f"{old}: has the new shape already; nothing is written")
        if not dry_run:
            migration.write(plan.text, old, new, force)
    except configuration.ConfigurationError as error:
        click.echo(f"{old}: {error}", err=True)
        sys.exit(2)
    if dry_run:
        click.echo(plan.text.decode(), nl=False)
    for line in plan.dropped:
        click.echo(f"not carried over: {line}")
    for line in plan.to_confirm:
        click.echo(f"to confirm: {line}")
    click.echo(
        f"{new}: {'nothing written (dry run)' if dry_run else 'written'}, "
        f"{'check: ' + plan.fault if plan.fault else 'passes check'}"
    )
    sys.exit(bool(plan.fault))


@main.command()
@click.argument("file")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="may be repeated; 1 by default")
@click.option("--trace", type=click.File("w"), help="write each answer: time, request, status")
@click.option("--cut", is_flag=True, help="reduce the first seed's run to what its first violation needs")
def emulate(file, seeds, trace, cut):
    """Play the world in FILE; exit status 1 if a rule was broken."""
    from cartdeal.emulator import play, report, world

    emulated_world = world.read_world(file)
    if cut:
        from cartdeal.emulator.shrink import shrink

        shrunk = shrink(emulated_world, seeds[0])
        if shrunk is None:
            return click.echo(f"seed {seeds[0]}: no rule was broken")
        click.echo(
            f"{shrunk.violation}\nneeds {len(shrunk.arrivals)} arrivals (agent, which): {shrunk.arrivals}"
        )
        for fault in shrunk.world.fault:
            click.echo(f"needs {fault.kind} at {fault.begins_s:g} s")
        sys.exit(1)

    def run_world(seed):
        return play.Fleet(emulated_world, seed, trace=[] if trace else None).run()

    sys.exit(report.run_seeds(run_world, seeds, trace))


@main.command()
@click.argument("file")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="may be repeated; 1 by default")
@click.option("--deploy", default="deploy/balancer.toml", help="the deploy file whose `run` starts an agent")
@click.option("--run", help="the command of an agent, in place of the deploy file's")
def rig(file, seeds, deploy, run):
    """Play the world in FILE on sockets, with real agents; exit status 1 if a rule was broken."""
    from cartdeal.emulator import report, world
    from cartdeal.rig import play

    rig_world, run = world.read_world(file), run or play.read_agent_command(deploy)
    raise_on_signals()
    sys.exit(report.run_seeds(lambda seed: play.Rig(rig_world, seed, run).play(), seeds))


@main.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="may be repeated; 1 by default")
@click.option("--agents", default=24, help="number of agent processes")
@click.option("--seconds", default=30.0, help="seconds for which clients send requests")
@click.option("--faults", default=0.002, help="the chance that a system call fails, at every other agent")
@click.option("--logs", type=click.Path(file_okay=False), help="a folder for the agents' logs")
def soak(seeds, agents, seconds, faults, logs):
    """Play overlapping faults on sockets, with real agents; exit status 1 if a rule was broken."""
    from cartdeal.rig.soak import play

    raise_on_signals()
    violation_count = 0
    for seed in seeds:
        result = play.Soak(seed, agents, seconds, faults).play()
        click.echo(result.report())
        violation_count += len(result.rule_checker.violations)
        if logs:
            play.save_logs(result, logs)
    sys.exit(1 if violation_count else 0)


@main.group()
def lab():
    """Experiments: variants of a world on the same seeds."""


@lab.command()
@click.argument("file")
@click.argument("table")
@click.option(
    "--workers",
    type=click.IntRange(1, 64),
    default=os.cpu_count,
    help="number of processes; one for each core by default",
)
def run(file, table, workers):
    """Play the experiment in FILE, of a world or of the fleet, and write its TABLE (CSV); exit status 1 if a
    rule was broken."""
    from cartdeal.lab import experiment

    raise_on_signals()
    rows = experiment.run(file, table, workers)
    click.echo(f"{table}: {len(rows)} rows")
    sys.exit(experiment.has_violations(file, rows))


@lab.command()
@click.argument("table")
@click.option("--figure", "figures", multiple=True, default=["served", "p99 ms"])
def compare(table, figures):
    """Print each variant of TABLE, and how it differs from the first on the same seeds."""
    from cartdeal.lab.compare import compare_variants

    description, rows = read_figures(table, figures)
    click.echo(description)
    for figure in figures:
        click.echo(f"{figure}\tmean\t+-\tdifference\t+-")
        for name, *values in compare_variants(rows, figure):
            click.echo("\t".join([name, *(f"{value:.4g}" for value in values)]))


@lab.command()
@click.argument("table")
@click.argument("chart")
@click.option("--figure", "figures", multiple=True, default=["served", "p99 ms"])
def report(table, chart, figures):
    """Draw TABLE as CHART (.svg or .png), without playing anything."""
    from cartdeal.lab.chart import draw

    draw(*read_figures(table, figures), list(figures), chart)
    click.echo(chart)


def read_figures(table, figures):
    """The description and the rows of a table.

    Raises:
        InvalidInputError: the file is not a table, or a figure is not one of its columns.
    """
    from cartdeal.emulator.world import InvalidInputError
    from cartdeal.lab.experiment import read_table

    description, rows = read_table(table)
    for figure in figures:
        if figure not in rows[0]:
            raise InvalidInputError(
                f"{table}: found no column {figure!r}, wanted one of {', '.join(rows[0])}"
            )
    return description, rows
