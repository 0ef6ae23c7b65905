"""Measure the recovery from mass failures: day files that contain one, and their evaluation.

    python3 -m tools.falls days DIR                           day files: single faults and pairs
    python3 -m tools.falls table SITE NAME=REPORT.json ...    one row a report
    python3 -m tools.falls plot OUT.png NAME=REPORT.json ...  the fleet over time, a line a report

Create a report with `fleetbench run SITE DAY --report REPORT.json --log info > REPORT.txt`. The log
must be beside the report under the same name: it has the time at which the failure was detected.
All figures are of simulated machines.
"""

from __future__ import annotations

import re
import tomllib
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import click
import msgspec
from rich.console import Console
from rich.table import Table

from tools.controller_log import read_lines
from tools.variants import render_day

_FAULT_AT_S: Final = 200.0
_BEFORE_S: Final = 30.0
_AFTER_S: Final = 150.0
_RECOVERED_SHARE: Final = 0.9
_MAX_REPORT_PERIODS: Final = 1.25
"""Longest time between two heartbeats of a worker, in report periods."""

_FAULTS: Final[dict[str, dict[str, Any]]] = {
    "deaths": {"kind": "machine_die", "count": 220},
    "deaths-50": {"kind": "machine_die", "count": 50},
    "hang-under": {"kind": "machine_hang", "count": 250, "for_s": 14.0},
    "hang-past": {"kind": "machine_hang", "count": 250, "for_s": 19.0},
    "hang-long": {"kind": "machine_hang", "count": 250, "for_s": 45.0},
    "spot-silent": {"kind": "spot_taken", "share": 0.9, "notice_s": 0.0, "over_s": 3.0},
    "spot-notice": {"kind": "spot_taken", "share": 0.6, "notice_s": 20.0, "over_s": 10.0},
    "deaf": {
        "kind": "node_cut", "count": 1, "busiest": True, "from_workers": True, "for_s": 25.0,
        "mode": "hold",
    },
    "frozen": {"kind": "node_freeze", "count": 1, "busiest": True, "for_s": 21.0},
    "restart-all": {"kind": "node_crash", "count": 9, "busiest": True},
}  # fmt: skip
_FAULT_PAIRS: Final = (
    ("deaths", "restart-all", 3.0),
    ("deaths", "hang-past", 5.0),
    ("spot-silent", "frozen", 2.0),
    ("hang-past", "deaths-50", 2.0),
)


class Window(msgspec.Struct):
    """The cluster at one moment."""

    at_s: float
    machines: int
    booting: int
    tasks: int
    cpus: float
    waiting_jobs: int
    cost_per_hour: float


class Event(msgspec.Struct):
    """An event of the day, such as an injected fault."""

    at_s: float
    what: str


class Cost(msgspec.Struct):
    """Costs and losses of a day's machines."""

    price: float
    useful: float
    rented: int
    rented_spot: int
    tasks_lost: int
    tasks_killed_by_lease: int


class Target(msgspec.Struct):
    """The value of one objective, and whether it was met."""

    value: float
    met: bool


class Requests(msgspec.Struct):
    """Request counts of one service."""

    requests: int
    refused: int = 0
    no_capacity: int = 0
    writes: int = 0


class Violations(msgspec.Struct):
    """Number of violations of the protocol's rules."""

    total: int


class DayReport(msgspec.Struct):
    """The parts of a day's report that are used here."""

    scenario: str
    windows: list[Window]
    events: list[Event]
    fleet: Cost
    targets: list[Target]
    state: Requests
    cloud: Requests
    rules_broken: Violations


def read(path: Path) -> DayReport:
    """Return the report of a day that the bench wrote."""
    return msgspec.json.decode(path.read_bytes(), type=DayReport)


# -- days -----------------------------------------------------------------------------------------


def day_files() -> Iterator[tuple[str, str]]:
    """Yield the name and text of each day file: the single faults, then the pairs."""
    for number, (name, fault) in enumerate(_FAULTS.items()):
        yield name, render_day(name, 301 + number, [{"at_s": _FAULT_AT_S, **fault}])
    for number, (first, second, after_s) in enumerate(_FAULT_PAIRS):
        name = f"{first}+{second}"
        faults = [
            {"at_s": _FAULT_AT_S, **_FAULTS[first]},
            {"at_s": _FAULT_AT_S + after_s, **_FAULTS[second]},
        ]
        yield name, render_day(name, 331 + number, faults)


# -- evaluation of a day --------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Recovery:
    """The recovery from a mass failure.

    Times are in seconds since the failure, and None if the event did not occur.
    """

    detected_s: float | None
    """Enough machines were suspected or had lost their lease, or the leader stepped down."""
    lease_expired_s: float | None
    """Last lease expiry within 60 s; by then all lost tasks are queued again."""
    first_granted_s: float | None
    """The cloud granted the first machine."""
    lowest_cpu_share: float
    """Smallest number of processors in use, relative to the mean before the failure."""
    recovered_s: float | None
    """The processors in use are back at `_RECOVERED_SHARE` of the mean before the failure.

    0.0 if they never fell below it.
    """
    granted: int
    requested: int
    cost_ratio: float
    """Highest cost of the fleet an hour, relative to the mean before the failure."""


_SUSPECTED: Final = re.compile(r"machines suspected: count=\d+ suspicion=\w+ new=(\d+)")
_DETECTED_MACHINES: Final = 5
"""Machines lost until a mass failure counts as detected; single ones are lost at any time."""
_STEPS_DOWN: Final = "no longer leader: "
_LEASE_EXPIRED: Final = "lease expired: machine="
_RENTAL: Final = re.compile(r"rental \S+: (\d+) of (\d+) ")


def measure_recovery(report: DayReport, log: str, at_s: float) -> Recovery:
    """Evaluate the report and the log of a day whose mass failure began at `at_s`.

    Raises `click.UsageError` for a log without a controller's line.
    """
    detected_at = lease_expired_at = first_granted_at = None
    granted = requested = detected = 0
    for line in read_lines(log.splitlines()):
        if not at_s <= line.at_s <= at_s + _AFTER_S:
            continue
        after_s, text = line.at_s - at_s, line.text
        detected += _newly_detected(text)
        if detected_at is None and detected >= _DETECTED_MACHINES:
            detected_at = after_s
        if text.startswith(_LEASE_EXPIRED) and after_s < 60.0:
            lease_expired_at = after_s
        rental = _RENTAL.match(text)
        if rental is not None:
            granted, requested = granted + int(rental[1]), requested + int(rental[2])
            if first_granted_at is None and int(rental[1]):
                first_granted_at = after_s
    windows_before, windows_after = _windows_around(report.windows, at_s)
    cpus_before = sum(w.cpus for w in windows_before) / len(windows_before)
    cost_before = sum(w.cost_per_hour for w in windows_before) / len(windows_before)
    lowest = min(windows_after, key=lambda w: w.cpus)
    recovered_at = next(
        (
            w.at_s
            for w in windows_after
            if w.at_s > lowest.at_s and w.cpus >= _RECOVERED_SHARE * cpus_before
        ),
        None,
    )
    dropped = lowest.cpus < _RECOVERED_SHARE * cpus_before
    return Recovery(
        detected_at,
        lease_expired_at,
        first_granted_at,
        lowest.cpus / cpus_before,
        recovered_at - at_s
        if recovered_at is not None and dropped
        else (0.0 if not dropped else None),
        granted,
        requested,
        max(w.cost_per_hour for w in windows_after) / cost_before,
    )


def _newly_detected(text: str) -> int:
    """Return the number of machines that a log line newly reports as lost.

    A leader that steps down counts as `_DETECTED_MACHINES`.
    """
    if _STEPS_DOWN in text:
        return _DETECTED_MACHINES
    suspected = _SUSPECTED.match(text)
    return int(suspected[1]) if suspected is not None else int(text.startswith(_LEASE_EXPIRED))


def _windows_around(windows: list[Window], at_s: float) -> tuple[list[Window], list[Window]]:
    split = bisect_right(windows, at_s, key=lambda w: w.at_s)
    before = [w for w in windows[:split] if w.at_s > at_s - _BEFORE_S]
    after = [w for w in windows[split:] if w.at_s <= at_s + _AFTER_S]
    if not before or not after:
        raise click.ClickException(f"the report has no windows around {at_s:.0f} s")
    return before, after


def min_recovery_s(site: dict[str, Any]) -> float:
    """Return the least possible time, in seconds, to replace machines that fail without notice.

    It is the longest time until a missing heartbeat is due, plus the longest boot time of the
    catalogue.
    """
    boot_times_s = [float(kind["boot_s"]) for kind in site["machine_types"]]
    return _MAX_REPORT_PERIODS * float(site["workers"]["report_s"]) + max(boot_times_s)


# -- commands -------------------------------------------------------------------------------------


@click.group(help=__doc__)
def main() -> None:
    """Write day files with mass failures, and evaluate their reports."""
    pass


@main.command("days")
@click.argument("where", type=click.Path(path_type=Path))
def write_days(where: Path) -> None:
    """Write one file a day."""
    where.mkdir(parents=True, exist_ok=True)
    for name, text in day_files():
        (where / f"{name}.toml").write_text(text)


def _parse_named_path(pair: str) -> tuple[str, Path]:
    name, _, path = pair.partition("=")
    return name, Path(path or name)


@main.command()
@click.argument("site", type=click.Path(path_type=Path, exists=True))
@click.argument("reports", nargs=-1, required=True)
def table(site: Path, reports: tuple[str, ...]) -> None:
    """Print one row a report, with the recovery time relative to the least possible."""
    minimum_s = min_recovery_s(tomllib.loads(site.read_text()))
    rows = Table(title=f"least possible until replaced: {minimum_s:.0f} s; simulated machines")
    for column in (
        "day", "known", "lease expired", "first granted", "lowest", "back at 0.9", "of least",
        "granted",
        "asked", "cost", "killed by lease", "lost", "useful", "price", "aims", "rules",
    ):  # fmt: skip
        rows.add_column(column, justify="left" if column == "day" else "right")
    for name, path in map(_parse_named_path, reports):
        report = read(path)
        at_s = report.events[0].at_s if report.events else _FAULT_AT_S
        recovery = measure_recovery(
            report, path.with_suffix(".txt").read_text(errors="replace"), at_s
        )
        rows.add_row(
            name,
            *map(
                _format_seconds,
                (recovery.detected_s, recovery.lease_expired_s, recovery.first_granted_s),
            ),
            f"{recovery.lowest_cpu_share:.2f}",
            _format_seconds(recovery.recovered_s),
            f"{recovery.recovered_s / minimum_s:.2f}" if recovery.recovered_s is not None else "-",
            str(recovery.granted),
            str(recovery.requested),
            f"{recovery.cost_ratio:.2f}",
            str(report.fleet.tasks_killed_by_lease),
            str(report.fleet.tasks_lost),
            f"{report.fleet.useful:.3f}",
            f"{report.fleet.price:.2f}",
            f"{sum(t.met for t in report.targets)}/{len(report.targets)}",
            str(report.rules_broken.total),
        )
    Console(width=170).print(rows)


def _format_seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.0f} s"


@main.command()
@click.argument("out", type=click.Path(path_type=Path))
@click.argument("reports", nargs=-1, required=True)
def plot(out: Path, reports: tuple[str, ...]) -> None:
    """Plot processors in use, booting machines and cost over time, one line a report."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(9.0, 9.0))
    for name, path in map(_parse_named_path, reports):
        report = read(path)
        at_s = report.events[0].at_s if report.events else _FAULT_AT_S
        windows = [w for w in report.windows if -_BEFORE_S <= w.at_s - at_s <= _AFTER_S]
        times = [w.at_s - at_s for w in windows]
        for axis, values in zip(
            axes,
            (
                [w.cpus for w in windows],
                [w.booting for w in windows],
                [w.cost_per_hour for w in windows],
            ),
            strict=True,
        ):
            axis.plot(times, values, label=name)
    for axis, title in zip(
        axes, ("processors in use", "machines booting", "cost an hour"), strict=True
    ):
        axis.set_ylabel(title)
        axis.grid(alpha=0.3)
    axes[0].legend(fontsize="small")
    axes[-1].set_xlabel("seconds after the fall (simulated machines)")
    figure.tight_layout()
    figure.savefig(out)


if __name__ == "__main__":
    main()
