"""List how well the job classes and teams were served on simulated days.

    python3 -m tools.served ENTRY.json ...         entries of a journal, all days of each
    python3 -m tools.served --under 0.7 ENTRY.json ...   only days with less than that somewhere

Each row is a day: the smallest share of jobs of any class or team that the bench counts as served,
the smallest share of any class within its deadline, and the processor time that the day took. A
day that was not run to its end, violated a rule or took more than the allowed processor time has
the reason in place of its shares. All figures are of simulated machines.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import click
import msgspec
from rich.console import Console
from rich.table import Table

_MAX_CPU_S: Final = 400.0
_FIRST_DEADLINE: Final = ("deadline ", " 1x: ")
_DEADLINE: Final = re.compile(r"deadline (\S+) 1x: ([\d.]+) ")


class CpuSeconds(msgspec.Struct):
    """Processor time in seconds, in user mode and in the kernel."""

    world: list[float] = []
    processes: list[float] = []


class DayResult(msgspec.Struct):
    """The fields of a day in a journal entry that are used here."""

    name: str
    score: float | None = None
    served: list[tuple[str, float, float]] = []
    """Class or team, its share of all jobs, and the share of those that was served."""
    aims: list[tuple[str, float]] = []
    rules: dict[str, int] = {}
    fault: str | None = None
    restarts: float = 0.0
    spent: CpuSeconds | None = None


class Entry(msgspec.Struct):
    """A journal entry: one run of the bench."""

    id: str
    cmd: str
    site: str = ""
    days: list[DayResult] = []


@dataclass(frozen=True, slots=True)
class Row:
    """A day's smallest shares, each with its class or team; None without valid shares."""

    entry: str
    site: str
    day: str
    invalid_reason: str
    """Why the day's shares are not valid; empty if they are."""
    least_served: tuple[float, str] | None
    least_in_time: tuple[float, str] | None
    cpu_s: float

    @property
    def least_share(self) -> float:
        """Smallest share of the row; raises `ValueError` if it has none."""
        return min(
            share[0] for share in (self.least_served, self.least_in_time) if share is not None
        )


def read(path: Path) -> Entry:
    """Return a journal entry; raise `click.UsageError` if it can't be read."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Entry)
    except OSError as error:
        raise click.UsageError(f"{path}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise click.UsageError(f"{path}: {error}") from None


def rows(entry: Entry) -> Iterator[Row]:
    """Yield a row for each day of an entry."""
    for day in entry.days:
        cpu = day.spent or CpuSeconds()
        cpu_s = sum(cpu.world) + sum(cpu.processes)
        invalid_reason = _invalid_reason(day, cpu_s)
        served = [(share, name) for name, _, share in day.served]
        deadlines = (_DEADLINE.match(text) for text, _ in day.aims)
        in_time = [(float(match[2]), match[1]) for match in deadlines if match is not None]
        if not in_time and any(_is_first_deadline(text) for text, _ in day.aims):
            raise click.UsageError(f"{entry.id}: no deadline of {day.name} could be read")
        yield Row(
            entry.id,
            entry.site,
            day.name,
            invalid_reason,
            min(served, default=None) if not invalid_reason else None,
            min(in_time, default=None) if not invalid_reason else None,
            cpu_s,
        )


def _is_first_deadline(aim: str) -> bool:
    start, middle = _FIRST_DEADLINE
    return aim.startswith(start) and middle in aim


def _invalid_reason(day: DayResult, cpu_s: float) -> str:
    if day.rules:
        return "rule broken: " + ", ".join(sorted(day.rules))
    if day.fault:
        return f"not played to its end: {day.fault}"
    if cpu_s > _MAX_CPU_S:
        return f"took more than {_MAX_CPU_S:.0f} s"
    return "" if day.served else "no shares in it"


def _format_share(share: tuple[float, str] | None) -> str:
    return f"{share[0]:.3f} {share[1]}" if share is not None else "-"


@click.command(help=__doc__)
@click.argument("entries", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--under", type=click.FloatRange(0.0, 1.0), default=1.0)
def main(entries: tuple[Path, ...], under: float) -> None:
    """Print a row for each day of the entries."""
    table = Table(title="least shares; simulated machines")
    for column in ("entry", "site", "day", "least served", "least in time", "processor s"):
        table.add_column(column)
    all_rows = [row for path in entries for row in rows(read(path))]
    for row in all_rows:
        if row.invalid_reason:
            table.add_row(row.entry, row.site, row.day, row.invalid_reason, "", f"{row.cpu_s:.0f}")
        elif row.least_share <= under:
            table.add_row(
                row.entry,
                row.site,
                row.day,
                _format_share(row.least_served),
                _format_share(row.least_in_time),
                f"{row.cpu_s:.0f}",
            )
    Console(width=150).print(table)
    valid_rows = [row for row in all_rows if not row.invalid_reason]
    if valid_rows:
        worst = min(valid_rows, key=lambda row: row.least_share)
        click.echo(f"the least of {len(valid_rows)} days: {worst.least_share:.3f} on {worst.day}")


if __name__ == "__main__":
    main()
