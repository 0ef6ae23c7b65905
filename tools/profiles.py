"""Where the processor time of a day went, from the logs of nodes that ran with `[profile]` on.

    python3 -m tools.profiles table LOG...                one row a cause, the processes added up
    python3 -m tools.profiles growth NAME=LOG ...         cost a second by cause, and its exponent
    python3 -m tools.profiles plot OUT.png NAME=LOG ...   the same as lines over the machines

A log is whatever holds the lines of `tealrill/profiling.py`: a node's standard error, or what
`fleetbench run SITE DAY --log info` prints (simulated machines).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import click
import msgspec
from rich.console import Console
from rich.table import Table

from tealrill.profiling import LOG_MARKER, Cost, Profile, Size

_LEAST: Final = 0.005
"""Causes below this part of the whole are not shown one by one."""


@dataclass(slots=True)
class Day:
    """All processes of one log."""

    costs: dict[str, Cost] = field(default_factory=dict)
    sizes: list[Size] = field(default_factory=list)
    lasted_s: float = 0.0

    @property
    def cpu_s(self) -> float:
        """The day's processor time in seconds."""
        return sum(cost.cpu_s for cost in self.costs.values())

    def mean(self, name: str) -> float:
        """The mean of one size over the day, as the leaders saw it."""
        values = [float(getattr(size, name)) for size in self.sizes]
        return sum(values) / len(values) if values else math.nan


def read(text: str) -> Day:
    """The last line of every process counts: each holds all that its process did."""
    last: dict[int, Profile] = {}
    day = Day()
    for line in text.splitlines():
        _, found, body = line.partition(LOG_MARKER)
        if found:
            profile = msgspec.json.decode(body, type=Profile)
            last[profile.pid] = profile
            if profile.size is not None:
                day.sizes.append(profile.size)
    if not last:
        raise click.ClickException("the log has no profile; was `[profile]` on?")
    for profile in last.values():
        for cause, cost in profile.costs.items():
            known = day.costs.setdefault(cause, Cost())
            known.calls += cost.calls
            known.cpu_s += cost.cpu_s
    # Clocks of two processes need not have begun together, not even on one host.
    lived: dict[str, float] = {}
    for profile in last.values():
        lived[profile.host] = lived.get(profile.host, 0.0) + profile.until_s - profile.began_s
    day.lasted_s = max(lived.values())
    return day


def exponent(sizes: Sequence[float], costs: Sequence[float]) -> float | None:
    """The slope of cost over size on logarithmic axes, by least squares; None if it has none."""
    points = [(math.log(s), math.log(c)) for s, c in zip(sizes, costs, strict=True) if s > 0 < c]
    if len({x for x, _ in points}) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return above / sum((x - mean_x) ** 2 for x, _ in points)


def _shown(days: Sequence[Day]) -> list[str]:
    """Causes that matter on one of the days, the dearest first."""
    causes = {cause for day in days for cause in day.costs}
    parts = {
        cause: max(d.costs[cause].cpu_s / d.cpu_s if cause in d.costs else 0.0 for d in days)
        for cause in causes
    }
    return sorted((c for c in causes if parts[c] >= _LEAST), key=lambda c: -parts[c])


@click.group(help=__doc__)
def main() -> None:
    """Tables and plots of processor time by cause."""
    pass


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
def table(logs: tuple[Path, ...]) -> None:
    """One row a cause, for each log."""
    for path in logs:
        day = read(path.read_text(errors="replace"))
        shown = Table(
            title=f"{path.name}: {day.cpu_s:.1f} s of processor time in {day.lasted_s:.0f} s, "
            f"{day.mean('machines'):.0f} machines, {day.mean('running'):.0f} tasks running, "
            f"{day.mean('waiting'):.0f} of {day.mean('waiting_jobs'):.0f} jobs waiting"
        )
        for column in ("cause", "calls", "seconds", "microseconds a call", "part"):
            shown.add_column(column, justify="left" if column == "cause" else "right")
        for cause in _shown([day]):
            cost = day.costs[cause]
            shown.add_row(
                cause,
                str(cost.calls),
                f"{cost.cpu_s:.2f}",
                f"{1e6 * cost.cpu_s / cost.calls:.0f}",
                f"{cost.cpu_s / day.cpu_s:.3f}",
            )
        Console(width=120).print(shown)


def _named(pairs: tuple[str, ...]) -> dict[str, Day]:
    found: dict[str, Day] = {}
    for pair in pairs:
        name, _, path = pair.partition("=")
        found[name] = read(Path(path or name).read_text(errors="replace"))
    return found


@main.command()
@click.option("--over", default="machines", help="machines, running, waiting or waiting_jobs.")
@click.argument("pairs", nargs=-1, required=True)
def growth(over: str, pairs: tuple[str, ...]) -> None:
    """Milliseconds of processor time a second by cause, and how they grow over a size."""
    days = _named(pairs)
    sizes = [day.mean(over) for day in days.values()]
    shown = Table(title=f"milliseconds a second, and the exponent over {over}")
    shown.add_column("cause")
    for name, size in zip(days, sizes, strict=True):
        shown.add_column(f"{name} ({size:.0f})", justify="right")
    shown.add_column("exponent", justify="right")
    rows = {"all": [day.cpu_s / day.lasted_s for day in days.values()]}
    for cause in _shown(list(days.values())):
        rows[cause] = [d.costs.get(cause, Cost()).cpu_s / d.lasted_s for d in days.values()]
    for cause, costs in rows.items():
        slope = exponent(sizes, costs)
        shown.add_row(
            cause,
            *(f"{1000 * cost:.1f}" for cost in costs),
            "-" if slope is None else f"{slope:.2f}",
        )
    Console(width=160).print(shown)


@main.command()
@click.option("--over", default="machines", help="machines, running, waiting or waiting_jobs.")
@click.argument("out", type=click.Path(path_type=Path))
@click.argument("pairs", nargs=-1, required=True)
def plot(over: str, out: Path, pairs: tuple[str, ...]) -> None:
    """The dearest causes as lines on logarithmic axes."""
    from matplotlib import pyplot

    days = sorted(_named(pairs).values(), key=lambda day: day.mean(over))
    sizes = [day.mean(over) for day in days]
    figure, axis = pyplot.subplots(figsize=(11.0, 6.5))
    axis.plot(sizes, [d.cpu_s / d.lasted_s for d in days], "k-o", linewidth=2.5, label="all")
    for number, cause in enumerate(_shown(days)[:12]):
        costs = [d.costs.get(cause, Cost()).cpu_s / d.lasted_s for d in days]
        axis.plot(sizes, costs, "-o" if number < 10 else "--s", label=cause)
    axis.set(
        xscale="log", yscale="log", xlabel=over, ylabel="processor seconds a second (simulated day)"
    )
    axis.grid(alpha=0.3)
    axis.legend(fontsize="small", loc="center left", bbox_to_anchor=(1.0, 0.5))
    figure.tight_layout()
    figure.savefig(out)


if __name__ == "__main__":
    main()
