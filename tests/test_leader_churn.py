"""Cancelled tasks while leaders change every few seconds.

Incident: a task of a cancelled job was still on its machine when `cancel_s` had passed. Every
controller was killed or frozen again and again, so that no term lasted longer than two or three
seconds. The worker's heartbeats were answered with 200 by one term after the other, and it listed
the cancelled task in each of them.
"""

from __future__ import annotations

from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.process import Shape
from tealrill.simulation.scenario import play

LONG_JOBS = ((4, 90.0), (6, 100.0), (2, 120.0))
"""Tasks and run times in seconds: none ends by itself before its time to be gone."""
CHURN_S = 55.0


def _shape(nodes: int) -> Shape:
    """The incident's times: a heartbeat interval is longer than most terms."""
    return Shape(
        nodes=nodes,
        machines=14,
        heartbeat_interval_s=2.5,
        lease_s=15.25,
        cancel_s=35.25,
        limit_vcpus=80.0,
        jobs=LONG_JOBS,
        cancelled=0.0,
    )


DAYS = ((3, 2.1, 2), (5, 1.5, 1), (5, 1.7, 2), (5, 2.1, 2), (5, 2.5, 2))
"""Controllers, seconds between their ends, seed."""


def test_cancelled_tasks_end_in_time_while_leaders_change() -> None:
    broken: list[str] = []
    for nodes, every_s, seed in DAYS:

        async def script(world: SimulatedCluster, every_s: float = every_s) -> None:
            await FaultInjector(world).change_leaders(every_s, CHURN_S)

        world = play(seed, _shape(nodes), CHURN_S, script=script, calm_s=5.0)
        broken += [f"{nodes} controllers, every {every_s} s: {text}" for text in world.broken]
        assert sum(job.cancelled_at is not None for job in world.jobs.values()) >= 4
    assert not broken
