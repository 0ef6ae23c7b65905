"""The check that accepted jobs complete gives every job the time that it needs, and no more.

Guards against a check that a long job passes because it is given more time than the quiet period.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario
from tests.test_accepted_jobs_complete import _submit

QUIET_S = 80.0


@pytest.mark.parametrize(
    ("run_s", "fields", "violated_at_s"),
    [
        (40.0, {}, None),
        (120.0, {}, 100.0),
        (120.0, {"scatter": True}, 100.0),
        (120.0, {"hall": "south"}, 100.0),
        (40.0, {"scatter": True, "hall": "south"}, None),
        # Two turns of 500 s and the 90 s of a placement; its first task alone takes 500 s.
        (500.0, {"scatter": True, "hall": "south", "pieces": 4, "vcpus": 8.0}, 1110.0),
    ],
)
def test_only_a_job_in_two_turns_is_checked_after_the_quiet_period(
    run_s: float, fields: dict[str, Any], violated_at_s: float | None
) -> None:
    """Guards against jobs with a single turn that are checked later than before."""

    async def scenario(cluster: SimulatedCluster) -> None:
        _submit(cluster, "wk-800000", run_s, **{"pieces": 2, **fields})
        await asyncio.sleep(0.0)

    config = ClusterConfig(machines=1 if fields.get("vcpus") else 8)
    cluster = run_scenario(1, config, 0.0, scenario=scenario, quiet_s=QUIET_S)
    left = [text for text in cluster.violations if " left: " in text]
    expected = [] if violated_at_s is None else [f"{violated_at_s:.3f} left: "]
    assert [text[: text.index("wk-")] for text in left] == expected
