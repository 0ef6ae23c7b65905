"""Summarize the processor time of nodes by cause, from logs written with `[profile]` on.

    python3 -m tools.profiles table LOG...                one row a cause, all processes together
    python3 -m tools.profiles growth NAME=LOG ...         cost a second by cause, and its exponent
    python3 -m tools.profiles plot OUT.png NAME=LOG ...   the same as lines over the machines

A log is any text with the lines of `tealrill/profiling.py`: a node's standard error, or the output
of `fleetbench run SITE DAY --log info` (simulated machines).
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

_MIN_SHARE: Final = 0.005
"""Causes with a smaller share of the processor time are not listed."""


@dataclass(slots=True)
class Day:
    """The profile of all processes of one log."""

    costs: dict[str, Cost] = field(default_factory=dict)
    sizes: list[Size] = field(default_factory=list)
    duration_s: float = 0.0

    @property
    def cpu_s(self) -> float:
        """Processor time of all causes, in seconds."""
        return sum(cost.cpu_s for cost in self.costs.values())

    def mean(self, name: str) -> float:
        """Return the mean of a field of `Size`, as the leaders logged it; NaN without any."""
        values = [float(getattr(size, name)) for size in self.sizes]
        return sum(values) / len(values) if values else math.nan


def read(text: str) -> Day:
    """Return the profile of a log; raise `click.ClickException` if it has none.

    The counters are cumulative, so only the last line of each process counts.
    """
    last_profiles: dict[int, Profile] = {}
    day = Day()
    for line in text.splitlines():
        _, separator, body = line.partition(LOG_MARKER)
        if separator:
            profile = msgspec.json.decode(body, type=Profile)
            last_profiles[profile.pid] = profile
            if profile.size is not None:
                day.sizes.append(profile.size)
    if not last_profiles:
        raise click.ClickException("the log has no profile lines; was `[profile]` on?")
    for profile in last_profiles.values():
        for cause, cost in profile.costs.items():
            total = day.costs.setdefault(cause, Cost())
            total.calls += cost.calls
            total.cpu_s += cost.cpu_s
    # The clocks of two processes may have different origins, even on one host, so only durations
    # are comparable.
    host_durations_s: dict[str, float] = {}
    for profile in last_profiles.values():
        host_durations_s[profile.host] = (
            host_durations_s.get(profile.host, 0.0) + profile.until_s - profile.began_s
        )
    day.duration_s = max(host_durations_s.values())
    return day


def exponent(sizes: Sequence[float], costs: Sequence[float]) -> float | None:
    """Return the exponent of the power law that fits the costs, by least squares.

    None if fewer than two different sizes have a positive cost.
    """
    points = [(math.log(s), math.log(c)) for s, c in zip(sizes, costs, strict=True) if s > 0 < c]
    if len({x for x, _ in points}) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def _main_causes(days: Sequence[Day]) -> list[str]:
    """Return the causes above `_MIN_SHARE` on any of the days, the most expensive first."""
    causes = {cause for day in days for cause in day.costs}
    shares = {
        cause: max(d.costs[cause].cpu_s / d.cpu_s if cause in d.costs else 0.0 for d in days)
        for cause in causes
    }
    return sorted((c for c in causes if shares[c] >= _MIN_SHARE), key=lambda c: -shares[c])


@click.group(help=__doc__)
def main() -> None:
    """Print tables and plots of processor time by cause."""
    pass


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
def table(logs: tuple[Path, ...]) -> None:
    """Print a table for each log, one row a cause."""
    for path in logs:
        day = read(path.read_text(errors="replace"))
        rows = Table(
            title=f"{path.name}: {day.cpu_s:.1f} s of processor time in {day.duration_s:.0f} s, "
            f"{day.mean('machines'):.0f} machines, {day.mean('running'):.0f} tasks running, "
            f"{day.mean('waiting'):.0f} of {day.mean('waiting_jobs'):.0f} jobs waiting"
        )
        for column in ("cause", "calls", "seconds", "microseconds a call", "part"):
            rows.add_column(column, justify="left" if column == "cause" else "right")
        for cause in _main_causes([day]):
            cost = day.costs[cause]
            rows.add_row(
                cause,
                str(cost.calls),
                f"{cost.cpu_s:.2f}",
                f"{1e6 * cost.cpu_s / cost.calls:.0f}",
                f"{cost.cpu_s / day.cpu_s:.3f}",
            )
        Console(width=120).print(rows)


def _read_days(pairs: tuple[str, ...]) -> dict[str, Day]:
    days: dict[str, Day] = {}
    for pair in pairs:
        name, _, path = pair.partition("=")
        days[name] = read(Path(path or name).read_text(errors="replace"))
    return days


@main.command()
@click.option("--over", default="machines", help="machines, running, waiting or waiting_jobs.")
@click.argument("pairs", nargs=-1, required=True)
def growth(over: str, pairs: tuple[str, ...]) -> None:
    """Print the processor time by cause, in ms a second, and its growth over a size."""
    days = _read_days(pairs)
    sizes = [day.mean(over) for day in days.values()]
    rows = Table(title=f"milliseconds a second, and the exponent over {over}")
    rows.add_column("cause")
    for name, size in zip(days, sizes, strict=True):
        rows.add_column(f"{name} ({size:.0f})", justify="right")
    rows.add_column("exponent", justify="right")
    rates_by_cause = {"all": [day.cpu_s / day.duration_s for day in days.values()]}
    for cause in _main_causes(list(days.values())):
        rates_by_cause[cause] = [
            d.costs.get(cause, Cost()).cpu_s / d.duration_s for d in days.values()
        ]
    for cause, costs in rates_by_cause.items():
        fitted = exponent(sizes, costs)
        rows.add_row(
            cause,
            *(f"{1000 * cost:.1f}" for cost in costs),
            "-" if fitted is None else f"{fitted:.2f}",
        )
    Console(width=160).print(rows)


@main.command()
@click.option("--over", default="machines", help="machines, running, waiting or waiting_jobs.")
@click.argument("out", type=click.Path(path_type=Path))
@click.argument("pairs", nargs=-1, required=True)
def plot(over: str, out: Path, pairs: tuple[str, ...]) -> None:
    """Plot the most expensive causes as lines on logarithmic axes."""
    from matplotlib import pyplot

    days = sorted(_read_days(pairs).values(), key=lambda day: day.mean(over))
    sizes = [day.mean(over) for day in days]
    figure, axis = pyplot.subplots(figsize=(11.0, 6.5))
    axis.plot(sizes, [d.cpu_s / d.duration_s for d in days], "k-o", linewidth=2.5, label="all")
    for number, cause in enumerate(_main_causes(days)[:12]):
        costs = [d.costs.get(cause, Cost()).cpu_s / d.duration_s for d in days]
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
