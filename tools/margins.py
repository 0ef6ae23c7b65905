"""How soon the tasks of cancelled jobs are gone, by the log of a day that was played.

    fleetbench run SITE.toml DAY.toml --log debug > DAY.log
    python3 -m tools.margins DAY.log --cancel-s 35.25

Counted from the first confirmation by any controller to the moment at which the leader had proof
that the job's last task was gone. Where that proof was a lapsed lease, a later session or a
returned machine, the task itself was gone earlier, and the margin was larger. Figures that come of
simulated machines are figures of simulated machines.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import click

_LINE: Final = re.compile(
    r"^\s*(?P<at>\d+\.\d+)\s+(?P<host>\S+)\s+[DIWE] (?P<room>\S+): (?P<text>.*)$"
)
_CONFIRMED: Final = re.compile(r"^job (\S+) cancelled")
_RELEASED: Final = re.compile(r"^task (\S+)/\d+ released from \S+: (.*)$")
_LEARNT: Final = re.compile(r"^job (\S+) was cancelled; (\d+) of its tasks are bound")


@dataclass
class Cancelled:
    """One job: when its user could be told, who knew when, and when its tasks were gone."""

    at: float
    by: str
    learnt_at: float | None = None
    bound: int = 0
    gone_at: float | None = None
    proofs: dict[str, int] = field(default_factory=dict)


def read(lines: Iterable[str]) -> dict[str, Cancelled]:
    """Jobs that a controller has confirmed as cancelled, in the order of the confirmations."""
    found: dict[str, Cancelled] = {}
    for line in lines:
        parts = _LINE.match(line)
        if parts is None:
            continue
        at, text = float(parts["at"]), parts["text"]
        if parts["room"].endswith("intake") and (match := _CONFIRMED.match(text)):
            found.setdefault(match[1], Cancelled(at, parts["host"]))
        elif match := _LEARNT.match(text):
            job = found.get(match[1])
            if job is not None and job.learnt_at is None:
                job.learnt_at, job.bound = at, int(match[2])
        elif (match := _RELEASED.match(text)) and match[1] in found:
            job, proof = found[match[1]], match[2].partition(",")[0]
            job.gone_at = at
            job.proofs[proof] = job.proofs.get(proof, 0) + 1
    return found


def told(jobs: dict[str, Cancelled], cancel_s: float, most: int) -> str:
    """The jobs of which tasks were on machines, those with the least margin first."""
    lines = [f"{len(jobs)} jobs were confirmed as cancelled"]
    ran = [(cancel_s - (job.gone_at - job.at), name) for name, job in jobs.items() if job.gone_at]
    open_ended = [name for name, job in jobs.items() if job.bound and job.gone_at is None]
    if open_ended:
        lines.append(f"  of {len(open_ended)} bound ones the log shows no end (--log debug does)")
    if not ran:
        lines[0] += "; of none does it show tasks that went"
        return "\n".join(lines)
    margins = [margin for margin, _ in ran]
    least, middle = min(margins), statistics.median(margins)
    lines[0] += (
        f"; of {len(ran)} tasks were on machines: margin to cancel_s {least:.1f} s at least, "
        f"{middle:.1f} s in the middle"
    )
    for margin, name in sorted(ran)[:most]:
        job = jobs[name]
        learnt = (
            f"{job.learnt_at - job.at:+.2f} s" if job.learnt_at is not None else "from the records"
        )
        proofs = ", ".join(f"{count} {proof}" for proof, count in job.proofs.items())
        lines.append(
            f"  {name}: confirmed by {job.by} at {job.at:.2f} s, known to the leader {learnt}, "
            f"{job.bound} bound, margin {margin:.1f} s ({proofs})"
        )
    return "\n".join(lines)


@click.command(help=__doc__)
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--cancel-s", required=True, type=click.FloatRange(min=0.0, min_open=True))
@click.option("--most", default=5, type=click.IntRange(min=0), help="Jobs that are listed.")
def main(logs: tuple[Path, ...], cancel_s: float, most: int) -> None:
    """Print how soon the tasks of cancelled jobs were gone."""
    for log in logs:
        try:
            with log.open(errors="replace") as lines:
                jobs = read(lines)
        except OSError as error:
            raise click.UsageError(f"{log}: {error.strerror}") from None
        click.echo(f"{log.name}: {told(jobs, cancel_s, most)}")


if __name__ == "__main__":
    main()
