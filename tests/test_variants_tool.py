"""The generator of sites and days, tools/variants.py, and the evaluation in tools/served.py."""

from __future__ import annotations

import tomllib
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from tools import served, variants

_SITE = """
name = "small"
wire = "wire.json"
seed = 1
[nodes]
count = 3
restart_delay_s = 5.0
[[capacity]]
type = "m8"
zone = "north"
count = 5
spot = 9
[[capacity]]
type = "m8"
zone = "south"
count = 4
spot = 0
[[teams]]
name = "red"
weight = 1.0
[[jobs]]
name = "quick"
priority = "high"
arrivals = { rate = 0.5 }
initial = 3
[[jobs]]
name = "large"
arrivals = { start_s = 70.0 }
initial = 1
"""


def _site(folder: Path) -> Path:
    path = folder / "small.toml"
    path.write_text(_SITE)
    (folder / "wire.json").write_text("{}")
    return path


def test_site_command_scales_counts_and_keeps_all_machine_types(tmp_path: Path) -> None:
    out = tmp_path / "there" / "big.toml"
    args = ["site", str(_site(tmp_path)), str(out)]
    args += ["--machines", "1.5", "--traffic", "2", "--restart-s", "0.2", "--seed", "7"]
    result = CliRunner().invoke(variants.main, args)
    assert result.exit_code == 0, result.output
    variant = tomllib.loads(out.read_text())
    assert [(p["count"], p["spot"]) for p in variant["capacity"]] == [(8, 14), (6, 0)]
    assert variant["nodes"] == {"count": 3, "restart_delay_s": 0.2}
    assert variant["jobs"][0]["arrivals"] == {"rate": 1.0} and variant["jobs"][0]["initial"] == 6
    assert variant["seed"] == 7
    assert (out.parent / "wire.json").exists()


def test_site_command_sets_cpu_limit_of_every_team(tmp_path: Path) -> None:
    out = tmp_path / "limited.toml"
    args = ["site", str(_site(tmp_path)), str(out), "--limit", "40"]
    assert CliRunner().invoke(variants.main, args).exit_code == 0
    variant = tomllib.loads(out.read_text())
    assert variant["teams"] == [{"name": "red", "weight": 1.0, "cpus_max": 40.0}]


def test_days_command_sets_rate_of_high_priority_class_only(tmp_path: Path) -> None:
    args = ["days", str(_site(tmp_path)), str(tmp_path / "days"), "--theme", "shown", "--seed", "3"]
    args += ["--tasks", "1", "--rate", "4", "--cancelled", "0.25"]
    result = CliRunner().invoke(variants.main, args)
    assert result.exit_code == 0, result.output
    (day,) = tomllib.loads((tmp_path / "days" / "shown-3.toml").read_text())["day"]
    single_task = {"median": 1.0, "p95": 1.0, "max": 1.0}
    assert day["jobs"] == [
        {"name": "quick", "tasks": single_task, "arrivals": {"rate": 4.0}, "cancelled": 0.25},
        {"name": "large", "tasks": single_task, "cancelled": 0.25},
    ]


def test_site_command_spreads_machines_over_zones(tmp_path: Path) -> None:
    out = tmp_path / "zones.toml"
    args = ["site", str(_site(tmp_path)), str(out), "--zone", "east=3", "--zone", "west=1"]
    assert CliRunner().invoke(variants.main, args).exit_code == 0
    parts = tomllib.loads(out.read_text())["capacity"]
    assert {p["zone"]: (p["count"], p["spot"]) for p in parts} == {"east": (7, 7), "west": (3, 3)}


@given(st.sampled_from(sorted(variants.THEMES)), st.integers(0, 10_000))
def test_draw_faults_is_deterministic_and_within_the_site(theme: str, seed: int) -> None:
    site = variants.Site(tomllib.loads(_SITE))
    faults = variants.draw_faults(site, theme, seed)
    assert faults == variants.draw_faults(site, theme, seed)
    assert faults and faults == sorted(faults, key=lambda fault: fault["at_s"])
    (day,) = tomllib.loads(variants.render_day("a", seed, faults, site.classes))["day"]
    assert day["faults"] == faults and len(day["jobs"]) == 2
    for fault in faults:
        assert fault["at_s"] >= 100.0
        assert set(fault.get("zones", [])) <= {"north", "south"}
        assert fault.get("count", 1) >= 1
        if fault["kind"].startswith("node"):
            assert fault.get("count", 1) <= 3


@pytest.mark.parametrize(
    ("args", "mention"),
    [
        (["site", "missing.toml", "out.toml"], "missing.toml"),
        (["site", "bad.toml", "out.toml"], "bad.toml"),
        (["site", "empty.toml", "out.toml"], "nodes"),
        (["site", "small.toml", "out.toml", "--zone", "east"], "east"),
        (["site", "small.toml", "out.toml", "--machines", "0"], "--machines"),
        (["site", "small.toml", "out.toml", "--limit", "0"], "--limit"),
        (["days", "small.toml", "out", "--theme", "floods"], "floods"),
        (["days", "small.toml", "out", "--tasks", "0"], "--tasks"),
        (["days", "small.toml", "out", "--rate", "none"], "--rate"),
    ],
)
def test_commands_name_invalid_input_and_write_nothing(
    args: list[str], mention: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    _site(tmp_path)
    (tmp_path / "bad.toml").write_text("name =")
    (tmp_path / "empty.toml").write_text("")
    result = CliRunner().invoke(variants.main, args)
    assert result.exit_code == 2 and mention in result.output
    assert not (tmp_path / "out.toml").exists() and not (tmp_path / "out").exists()


def _entry(folder: Path, **day: object) -> Path:
    result = {
        "name": "rough", "score": 0.7,
        "served": [["quick", 0.8, 1.0], ["large", 0.2, 0.61], ["team red", 1.0, 0.9]],
        "aims": [["deadline quick 1x: 0.95 (aim 0.9)", 0.8], ["useful: 0.7 (aim 0.8)", 0.5]],
        "spent": {"world": [10.0, 1.0], "processes": [80.0, 2.0]},
    }  # fmt: skip
    path = folder / "entry.json"
    entry = {"id": "ab12", "cmd": "score", "site": "small", "days": [{**result, **day}]}
    path.write_bytes(orjson.dumps(entry))
    return path


def test_served_reports_least_share_of_a_day(tmp_path: Path) -> None:
    (row,) = served.rows(served.read(_entry(tmp_path)))
    assert row.least_served == (0.61, "large") and row.least_in_time == (0.95, "quick")
    assert (row.least_share, row.cpu_s, row.invalid_reason) == (0.61, 93.0, "")
    result = CliRunner().invoke(served.main, [str(_entry(tmp_path))])
    assert result.exit_code == 0 and "0.610 on rough" in result.output


@pytest.mark.parametrize(
    ("day", "reason"),
    [
        ({"fault": "no time left"}, "not played to its end"),
        ({"rules": {"ran_twice": 1}}, "rule broken: ran_twice"),
        ({"spent": {"world": [300.0], "processes": [101.0]}}, "took more than 400 s"),
    ],
)
def test_served_gives_reason_instead_of_shares_for_invalid_day(
    day: dict[str, object], reason: str, tmp_path: Path
) -> None:
    (row,) = served.rows(served.read(_entry(tmp_path, **day)))
    assert (
        row.invalid_reason.startswith(reason)
        and row.least_served is None
        and row.least_in_time is None
    )
    result = CliRunner().invoke(served.main, [str(_entry(tmp_path, **day))])
    assert reason in result.output and "the least of" not in result.output


def test_served_names_unreadable_entry(tmp_path: Path) -> None:
    path = tmp_path / "entry.json"
    path.write_text("{")
    result = CliRunner().invoke(served.main, [str(path)])
    assert result.exit_code == 2 and "entry.json" in result.output
