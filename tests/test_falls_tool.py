"""The evaluation of mass failures in tools/falls.py, with a report and a log written by hand."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
from click.testing import CliRunner

from tools import falls

_LOG = """
  195.0000 kiln-1 I tealrill.fleet.prober: machines suspected: count=1 suspicion=gone new=1
  203.0000 kiln-1 I tealrill.fleet.prober: machines suspected: count=2 suspicion=gone new=2
  206.5000 kiln-1 I tealrill.fleet.prober: machines suspected: count=90 suspicion=gone new=88
  207.0000 kiln-1 I tealrill.fleet.provisioning: rental tr-1-4: 0 of 50 szedo-32 in obuda, spot
  216.0000 kiln-1 I tealrill.fleet.leases: lease expired: machine=m-000006 incarnation=1 tasks=3
  217.0000 kiln-1 I tealrill.fleet.provisioning: rental tr-1-5: 40 of 50 szedo-32 in obuda, spot
"""


def _report() -> falls.DayReport:
    def window(at_s: float, cpus: float, cost: float) -> falls.Window:
        return falls.Window(at_s, 100, 0, 10, cpus, 3, cost)

    windows = [window(float(at), 1000.0, 50.0) for at in range(150, 201, 5)]
    windows += [window(205.0, 400.0, 30.0), window(230.0, 300.0, 60.0), window(250.0, 950.0, 55.0)]
    cost = falls.Cost(1.5, 0.8, 10, 50, 7, 3)
    requests = falls.Requests(10)
    targets = [falls.Target(0.9, True), falls.Target(0.1, False)]
    event = [falls.Event(200.0, "machines die")]
    rules = falls.Violations(0)
    return falls.DayReport("deaths", windows, event, cost, targets, requests, requests, rules)


def test_measure_recovery_of_one_mass_failure() -> None:
    result = falls.measure_recovery(_report(), _LOG, 200.0)
    assert (result.detected_s, result.lease_expired_s, result.first_granted_s) == (6.5, 16.0, 17.0)
    assert (result.lowest_cpu_share, result.recovered_s) == (0.3, 50.0)
    assert (result.granted, result.requested, result.cost_ratio) == (40, 100, 1.2)


def test_min_recovery_is_report_delay_plus_longest_boot() -> None:
    site = {"machine_types": [{"boot_s": 35.0}, {"boot_s": 20.0}], "workers": {"report_s": 2.0}}
    assert falls.min_recovery_s(site) == 37.5


def test_days_command_writes_parsable_day_files(tmp_path: Path) -> None:
    assert CliRunner().invoke(falls.main, ["days", str(tmp_path)]).exit_code == 0
    files = sorted(tmp_path.glob("*.toml"))
    days = [tomllib.loads(file.read_text())["day"][0] for file in files]
    assert len({day["seed"] for day in days}) == len(days) == 14
    assert {len(day["faults"]) for day in days} == {1, 2}
    assert all(fault["at_s"] >= 200.0 for day in days for fault in day["faults"])


def test_table_and_plot_commands(tmp_path: Path) -> None:
    report = tmp_path / "deaths.json"
    report.write_bytes(msgspec.json.encode(_report()))
    report.with_suffix(".txt").write_text(_LOG)
    site = tmp_path / "site.toml"
    site.write_text("[workers]\nreport_s = 2.0\n[[machine_types]]\nboot_s = 35.0\n")
    table_result = CliRunner().invoke(falls.main, ["table", str(site), f"deaths={report}"])
    assert table_result.exit_code == 0 and "1.33" in table_result.output
    image = tmp_path / "out.png"
    plot_result = CliRunner().invoke(falls.main, ["plot", str(image), f"deaths={report}"])
    assert plot_result.exit_code == 0 and image.read_bytes().startswith(b"\x89PNG")
