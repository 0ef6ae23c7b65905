"""Simulation runs with random faults, to find violations of the invariants.

    python3 -m tealrill.simulation hunt --days 20 --seed 1
    python3 -m tealrill.simulation hunt --days 1 --seed 17 --log
    python3 -m tealrill.simulation digest tests/data/day_digests.json

On a violation the seed and the events of the run are printed, and the exit status is 1.
docs/design.md says what the simulation covers.
"""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import click

from tealrill.simulation.day_digests import differing_runs, read_runs, write_runs
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
@click.option("--seed", type=click.IntRange(min=0), default=1, help="Seed of the first run.")
@click.option("--nodes", type=click.IntRange(min=1, max=7), default=3)
@click.option("--machines", type=click.IntRange(min=1, max=60), default=8)
@click.option("--for-s", type=click.FloatRange(min=30.0, max=1000.0), default=150.0)
@click.option("--log", is_flag=True, help="Print the controllers' log at level debug.")
def hunt(days: int, seed: int, nodes: int, machines: int, for_s: float, log: bool) -> None:
    """Simulate clusters with random faults, DAYS runs of different seeds, FOR_S seconds each."""
    if log:
        handler = logging.StreamHandler(sys.stdout)
        handler.setFormatter(_Format())
        logging.getLogger("tealrill").addHandler(handler)
        logging.getLogger("tealrill").setLevel(logging.DEBUG)
    failed = 0
    for run_seed in range(seed, seed + days):
        cluster = run_scenario(run_seed, ClusterConfig(nodes=nodes, machines=machines), for_s)
        done = sum(job.done for job in cluster.jobs.values())
        cancelled = sum(job.cancelled_at is not None for job in cluster.jobs.values())
        click.echo(
            f"seed {run_seed}: {len(cluster.jobs)} jobs, {done} done, {cancelled} cancelled, "
            f"{cluster.task_starts} starts, {len(cluster.violations)} invariants violated"
        )
        if cluster.violations:
            failed += 1
            for line in [
                *cluster.events,
                *(f"VIOLATED {text}" for text in cluster.violations[:10]),
            ]:
                click.echo(f"  {line}")
    if failed:
        sys.exit(1)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--jobs", type=click.IntRange(min=1), default=4, help="Number of parallel processes.")
@click.option("--record", is_flag=True, help="Write the digests of this code to FILE.")
def digest(file: Path, jobs: int, record: bool) -> None:
    """Simulate the runs of FILE and compare their digests with the recorded ones."""
    if record:
        write_runs(file, jobs)
        return
    runs = read_runs(file)
    differing = differing_runs(runs, jobs)
    for run in differing:
        click.echo(f"{run.name}: digest differs from the recorded one")
    click.echo(f"{len(runs) - len(differing)} of {len(runs)} runs as recorded")
    if differing:
        sys.exit(1)


if __name__ == "__main__":
    main()
