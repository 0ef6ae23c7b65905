"""The tools that read logs know the lines that the program writes.

Guards against a tool that reports nothing, on any log, because a line or its module was renamed:
its patterns are held against the lines of a simulated run, not against lines written by hand.
"""

from __future__ import annotations

import asyncio
import logging
import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.faults import PAUSED, FaultInjector
from tealrill.simulation.process import PROCESS, ClusterConfig
from tealrill.simulation.scenario import run_scenario
from tools import falls, margins, served
from tools.controller_log import read_lines

CANCEL_S = 28.0


class _BenchFormat(logging.Formatter):
    """The form in which the bench prints a line."""

    def format(self, record: logging.LogRecord) -> str:
        at_s = asyncio.get_event_loop().elapsed_s  # type: ignore[attr-defined]
        host, level = PROCESS.get().name, record.levelname[0]
        return f"{at_s:10.4f} {host} {level} {record.name}: {record.getMessage()}"


@pytest.fixture(scope="module")
def log_text(tmp_path_factory: pytest.TempPathFactory) -> str:
    """The log of a run with cancellations, lost machines, rentals and a frozen leader."""
    path = tmp_path_factory.mktemp("log") / "run.log"
    handler = logging.FileHandler(path)
    handler.setFormatter(_BenchFormat())
    handler.addFilter(lambda _: PROCESS.get(None) is not None)
    logger = logging.getLogger("tealrill")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)

    async def scenario(cluster: SimulatedCluster) -> None:
        for worker in cluster.live_workers()[:3]:
            cluster.cloud.terminate(worker.machine)
        await asyncio.sleep(15.0)
        cluster.active_faults.isolated_zones.add("south")
        await asyncio.sleep(20.0)
        cluster.active_faults.isolated_zones.clear()
        await FaultInjector(cluster).flapping(PAUSED, 30.0)
        await asyncio.sleep(10.0)

    try:
        run_scenario(1, ClusterConfig(), 60.0, scenario=scenario, quiet_s=0.0)
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        handler.close()
    return path.read_text()


@pytest.mark.parametrize(
    "pattern",
    [
        margins._CONFIRMED.pattern,
        margins._RELEASED.pattern,
        margins._LEADER_INFORMED.pattern,
        falls._SUSPECTED.pattern,
        falls._RENTAL.pattern,
        "^" + re.escape(falls._STEPS_DOWN),
        "^" + re.escape(falls._LEASE_EXPIRED),
    ],
)
def test_every_pattern_matches_a_line_of_the_program(pattern: str, log_text: str) -> None:
    """Guards against a pattern that no line of the program matches any more."""
    assert any(re.match(pattern, line.text) for line in read_lines(log_text.splitlines()))


def test_margins_finds_the_confirmations_of_a_real_log(log_text: str) -> None:
    """Guards against a tool that looks for confirmations in a module that was renamed."""
    jobs = margins.read(log_text.splitlines())
    assert jobs and any(job.ended_at is not None for job in jobs.values())
    assert "margin to cancel_s" in margins.summarize(jobs, CANCEL_S, 1)


def _margins(tmp_path: Path, text: str) -> tuple[int, str]:
    path = tmp_path / "day.log"
    path.write_text(text)
    result = CliRunner().invoke(margins.main, [str(path), "--cancel-s", str(CANCEL_S)])
    return result.exit_code, result.output


def test_margins_tells_a_log_without_confirmations_from_an_unknown_one(
    log_text: str, tmp_path: Path
) -> None:
    """Guards against "0 jobs" as the answer for a log that the tool can't read."""
    quiet = "  1.0000 kiln-1 I tealrill.leadership.election: elected: term=1 key_revision=2"
    assert _margins(tmp_path, quiet) == (0, "day.log: 0 jobs were confirmed as cancelled; of none "
                                            "does it show tasks that went\n")  # fmt: skip
    for unknown in ("", "nothing of ours\n", "  1.0000 kiln-1 I other.module: job wk-1 cancelled"):
        code, output = _margins(tmp_path, unknown)
        assert code == 2 and "no line of a controller's log" in output
    renamed = log_text.replace("tealrill.state.admission:", "tealrill.state.intake:")
    code, output = _margins(tmp_path, renamed)
    assert code == 2 and "tealrill.state.admission" in output


def test_deadline_aims_that_can_not_be_read_are_an_error() -> None:
    """Guards against a day without a share in time because the wording of an aim has changed."""

    def read(*aims: str) -> list[served.Row]:
        day = served.DayResult("calm", 0.8, [("class", 1.0, 0.9)], [(aim, 0.5) for aim in aims])
        return list(served.rows(served.Entry("1234", "run", "site", [day])))

    (row,) = read("deadline route-plans 1x: 0.848 (aim 0.9)", "wait diet-recalc 1 s: 0.83 (aim 1)")
    assert row.least_in_time == (0.848, "route-plans")
    (row,) = read("deadline route-plans 1.5x: 0.848 (aim 0.9)")
    assert row.least_in_time is None
    with pytest.raises(Exception, match="no deadline of calm"):
        read("deadline route-plans 1x: about 0.8")
