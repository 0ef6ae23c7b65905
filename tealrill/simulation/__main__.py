"""Simulated days of troubles, to find broken rules.

    python3 -m tealrill.simulation hunt --days 20 --seed 1
    python3 -m tealrill.simulation hunt --days 1 --seed 17 --log
    python3 -m tealrill.simulation digest tests/data/day_digests.json

Exit status 1 if a rule broke, with the day's seed and its troubles. What a day shows is of the
simulated world that docs/design.md tells of.
"""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import click

from tealrill.simulation.day_digests import differing_days, read_days, write_days
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario


class _Format(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        return f"{record.levelname[0]} {record.name}: {record.getMessage()}"


@click.group(help=__doc__)
def main() -> None:
    pass


@main.command()
@click.option("--days", type=click.IntRange(min=1), default=10)
@click.option("--seed", type=click.IntRange(min=0), default=1, help="Of the first day.")
@click.option("--nodes", type=click.IntRange(min=1, max=7), default=3)
@click.option("--machines", type=click.IntRange(min=1, max=60), default=8)
@click.option("--for-s", type=click.FloatRange(min=30.0, max=1000.0), default=150.0)
@click.option("--log", is_flag=True, help="The nodes' log, at the level debug.")
def hunt(days: int, seed: int, nodes: int, machines: int, for_s: float, log: bool) -> None:
    """Plays days with other luck."""
    if log:
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(_Format())
        logging.getLogger("tealrill").addHandler(handler)
        logging.getLogger("tealrill").setLevel(logging.DEBUG)
    bad = 0
    for day in range(seed, seed + days):
        cluster = run_scenario(day, ClusterConfig(nodes=nodes, machines=machines), for_s)
        done = sum(job.done for job in cluster.jobs.values())
        terminated = sum(job.cancelled_at is not None for job in cluster.jobs.values())
        click.echo(
            f"seed {day}: {len(cluster.jobs)} jobs, {done} done, {terminated} cancelled, "
            f"{cluster.starts} starts, {len(cluster.violations)} rules broken"
        )
        if cluster.violations:
            bad += 1
            for line in [*cluster.events, *(f"BROKEN {text}" for text in cluster.violations[:10])]:
                click.echo(f"  {line}")
    if bad:
        sys.exit(1)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--jobs", type=click.IntRange(min=1), default=4, help="Processes side by side.")
@click.option("--record", is_flag=True, help="Write the digests of this code into the file.")
def digest(file: Path, jobs: int, record: bool) -> None:
    """Plays the days of FILE and holds their digests against those recorded in it."""
    if record:
        write_days(file, jobs)
        return
    days = read_days(file)
    differing = differing_days(days, jobs)
    for day in differing:
        click.echo(f"{day.name}: not the recorded digest")
    click.echo(f"{len(days) - len(differing)} of {len(days)} days as recorded")
    if differing:
        sys.exit(1)


if __name__ == "__main__":
    main()
