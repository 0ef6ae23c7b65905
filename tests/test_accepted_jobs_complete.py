"""Accepted jobs complete once the faults are over.

Guards against accepted jobs of which a part waits for ever, or for minutes, though nothing fails
any more and the cloud has machines for it.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import JobDescription
from tests.samples import SUBMISSION

STARTED_WITHIN_S = 45.0
"""Several boots of the simulated machines, with the heartbeats and passes between them."""


def test_every_accepted_job_completes_after_the_faults_of_seed_5031() -> None:
    """Guards against a job that is accepted and has not completed 150 s after the last fault."""
    cluster = run_scenario(5031, ClusterConfig(), 150.0)
    assert not cluster.violations, [*cluster.events, *cluster.violations]


def _submit(cluster: SimulatedCluster, name: str, run_s: float, **fields: Any) -> UserJob:
    body = {**SUBMISSION, "id": name, "crew": "blue", "vcpus": 4.0, "guessS": run_s, "dueS": None}
    job = cluster.jobs[name] = UserJob(name, {**body, **fields})
    cluster.descriptions[name] = JobDescription(job.body["pieces"], run_s, 4.0)
    cluster.spawn(cluster.users.run_job(job))
    return job


def _running_tasks(cluster: SimulatedCluster) -> set[str]:
    return {name for worker in cluster.live_workers() for name in worker.running_tasks()}


@pytest.mark.parametrize("shape", ["sweep", "standing"])
@pytest.mark.parametrize("rule", ["scatter", "samePlace"])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_tasks_of_a_job_with_a_zone_rule_run_at_once(rule: str, shape: str, seed: int) -> None:
    """Guards against a job that waits beside capacity of a zone that its rule closes for it.

    Nothing fails, and the cloud has machines in both zones. A machine has room for two tasks.
    """
    running: list[set[str]] = []

    async def scenario(cluster: SimulatedCluster) -> None:
        # Idle capacity in either zone, kept by the long task beside it.
        for number, zone in enumerate(("north", "south")):
            _submit(cluster, f"wk-80000{number}", 300.0, pieces=1, hall=zone)
        await asyncio.sleep(20.0)
        job = _submit(cluster, "wk-800002", 300.0, pieces=4, shape=shape, **{rule: True})
        await asyncio.sleep(STARTED_WITHIN_S)
        running.append(job.task_names & _running_tasks(cluster))

    cluster = run_scenario(seed, ClusterConfig(), 0.0, scenario=scenario, quiet_s=0.0)
    assert not cluster.violations, [*cluster.events, *cluster.violations]
    assert len(running[0]) == 4
