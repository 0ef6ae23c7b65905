"""Measure how soon the tasks of cancelled jobs end, from the log of a simulated day.

    fleetbench run SITE.toml DAY.toml --log debug > DAY.log
    python3 -m tools.margins DAY.log --cancel-s 35.25

The time counts from the first confirmation of the cancellation by any controller until the leader
had proof that the job's last task had ended. Where that proof was an expired lease, a new agent
incarnation or a released machine, the task ended earlier, and the actual margin is larger. All
figures are of simulated machines.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import click

from tealrill.state import admission
from tools.controller_log import read_lines

_CONFIRMING_MODULE: Final = admission.__name__
_CONFIRMED: Final = re.compile(r"^job (\S+) cancelled")
_RELEASED: Final = re.compile(r"^task (\S+)/\d+ released from \S+: (.*)$")
_LEADER_INFORMED: Final = re.compile(r"^job (\S+) was cancelled; (\d+) of its tasks are bound")


@dataclass
class CancelledJob:
    """A cancelled job. Times are in seconds of the log.

    `confirmed_at` and `confirmed_by` are the first confirmation to its user, `leader_informed_at`
    is when the leader learnt of the cancellation, with `bound_tasks` tasks bound, and `ended_at`
    when it had proof that the last one had ended. `proofs` counts the tasks by that proof.
    """

    confirmed_at: float
    confirmed_by: str
    leader_informed_at: float | None = None
    bound_tasks: int = 0
    ended_at: float | None = None
    proofs: dict[str, int] = field(default_factory=dict)


def read(lines: Iterable[str]) -> dict[str, CancelledJob]:
    """Return the jobs that a controller confirmed as cancelled, in order of confirmation.

    Raises `click.UsageError` for a log without a controller's line, and for one in which the leader
    learnt of cancellations that nobody confirmed: it lacks lines, or has lines of another version.
    """
    jobs: dict[str, CancelledJob] = {}
    cancellations = 0
    for line in read_lines(lines):
        if line.module == _CONFIRMING_MODULE and (match := _CONFIRMED.match(line.text)):
            jobs.setdefault(match[1], CancelledJob(line.at_s, line.host))
        elif match := _LEADER_INFORMED.match(line.text):
            cancellations += 1
            job = jobs.get(match[1])
            if job is not None and job.leader_informed_at is None:
                job.leader_informed_at, job.bound_tasks = line.at_s, int(match[2])
        elif (match := _RELEASED.match(line.text)) and match[1] in jobs:
            job, proof = jobs[match[1]], match[2].partition(",")[0]
            job.ended_at = line.at_s
            job.proofs[proof] = job.proofs.get(proof, 0) + 1
    if cancellations and not jobs:
        raise click.UsageError(
            f"{cancellations} cancellations reached the leader, and no line of "
            f"{_CONFIRMING_MODULE} confirms one"
        )
    return jobs


def summarize(jobs: dict[str, CancelledJob], cancel_s: float, limit: int) -> str:
    """Return the text of the result, with the `limit` jobs that had the smallest margins.

    The margin of a job is what was left of `cancel_s` when its last task had ended. Jobs without
    tasks on machines have no margin.
    """
    lines = [f"{len(jobs)} jobs were confirmed as cancelled"]
    margins_by_job = [
        (cancel_s - (job.ended_at - job.confirmed_at), name)
        for name, job in jobs.items()
        if job.ended_at
    ]
    unended = [name for name, job in jobs.items() if job.bound_tasks and job.ended_at is None]
    if unended:
        lines.append(f"  of {len(unended)} bound ones the log shows no end (--log debug does)")
    if not margins_by_job:
        lines[0] += "; of none does it show tasks that went"
        return "\n".join(lines)
    margins = [margin for margin, _ in margins_by_job]
    smallest, median = min(margins), statistics.median(margins)
    lines[0] += (
        f"; of {len(margins_by_job)} tasks were on machines: margin to cancel_s "
        f"{smallest:.1f} s at least, {median:.1f} s in the middle"
    )
    for margin, name in sorted(margins_by_job)[:limit]:
        job = jobs[name]
        informed = (
            f"{job.leader_informed_at - job.confirmed_at:+.2f} s"
            if job.leader_informed_at is not None
            else "from the records"
        )
        proofs = ", ".join(f"{count} {proof}" for proof, count in job.proofs.items())
        lines.append(
            f"  {name}: confirmed by {job.confirmed_by} at {job.confirmed_at:.2f} s, "
            f"known to the leader {informed}, {job.bound_tasks} bound, "
            f"margin {margin:.1f} s ({proofs})"
        )
    return "\n".join(lines)


@click.command(help=__doc__)
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--cancel-s", required=True, type=click.FloatRange(min=0.0, min_open=True))
@click.option("--most", default=5, type=click.IntRange(min=0), help="Jobs that are listed.")
def main(logs: tuple[Path, ...], cancel_s: float, most: int) -> None:
    """Print how soon the tasks of cancelled jobs ended."""
    for log in logs:
        try:
            with log.open(errors="replace") as lines:
                jobs = read(lines)
        except OSError as error:
            raise click.UsageError(f"{log}: {error.strerror}") from None
        except click.UsageError as error:
            raise click.UsageError(f"{log}: {error.message}") from None
        click.echo(f"{log.name}: {summarize(jobs, cancel_s, most)}")


if __name__ == "__main__":
    main()
