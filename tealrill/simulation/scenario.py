"""A simulation run: job arrivals, faults, and the quiet period after them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Final

from tealrill.simulation.cluster import SimulatedCluster, simulated_cluster
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.graph_users import submit_graphs
from tealrill.simulation.invariants import PLACEMENT_DEADLINE_S, RESPONSE_DEADLINE_S
from tealrill.simulation.process import TEAMS, ClusterConfig
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import JobDescription

_CHECKPOINT_S: Final = 5.0
_SAVE_S: Final = 1.5

Scenario = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]
"""Injects the faults of a run; returns once all of them have ended."""


def run_scenario(
    seed: int,
    config: ClusterConfig | None = None,
    fault_period_s: float = 150.0,
    scenario: Scenario | None = None,
    quiet_s: float = max(RESPONSE_DEADLINE_S, PLACEMENT_DEADLINE_S) + 60.0,
    stop_on: str = "",
) -> SimulatedCluster:
    """Simulate a cluster with faults, then a quiet period in which all accepted jobs must end.

    Args:
        seed: Seed of all random draws.
        config: Size, settings and load of the cluster.
        fault_period_s: How long jobs arrive and, without a `scenario`, faults are drawn; seconds.
        scenario: Injects the faults of the run; by default they are drawn from the seed.
        quiet_s: Length of the quiet period, in seconds; longer for a job whose tasks have to run
            in two turns. Unfinished jobs count as violations only if it is at least
            `RESPONSE_DEADLINE_S`, since a shorter one leaves them too little time.
        stop_on: The run ends once this invariant is violated.
    """
    with simulated_cluster(seed, config or ClusterConfig()) as cluster:
        asyncio.set_event_loop(cluster.loop)

        async def random_faults(cluster: SimulatedCluster) -> None:
            await FaultInjector(cluster).run(fault_period_s)

        try:
            run = cluster.spawn(_run(cluster, scenario or random_faults, fault_period_s, quiet_s))

            def on_violation(invariant: str) -> None:
                if invariant == stop_on:
                    run.cancel()

            cluster.on_violation = on_violation
            with contextlib.suppress(asyncio.CancelledError):
                cluster.loop.run_until_complete(run)
            cluster.loop.run_until_complete(_cancel_all_tasks(cluster))
        finally:
            asyncio.set_event_loop(None)
    return cluster


async def _run(
    cluster: SimulatedCluster, scenario: Scenario, fault_period_s: float, quiet_s: float
) -> None:
    for host in cluster.hosts.values():
        cluster.start_controller(host)
    cluster.spawn(cluster.invariants.watch())
    cluster.spawn(cluster.users.request_unknown_jobs())
    cluster.spawn(cluster.worker_fleet.replay_at_elections())
    cluster.spawn(cluster.users.send_invalid_requests())
    cluster.spawn(_submit_jobs(cluster, fault_period_s))
    if cluster.config.graphs:
        cluster.spawn(submit_graphs(cluster, TEAMS, fault_period_s))
    await asyncio.sleep(20.0)
    await scenario(cluster)
    cluster.quiet_since = cluster.now()
    cluster.log_event("all faults have ended")
    await asyncio.sleep(quiet_s)
    if cluster.task_starts == 0:
        cluster.record_violation("nothing_ran", "no task was started")
    if quiet_s >= RESPONSE_DEADLINE_S:
        await _check_completions(cluster, quiet_s)


async def _check_completions(cluster: SimulatedCluster, quiet_s: float) -> None:
    """Record the accepted jobs that have not completed, each when its time in quiet is over.

    That is `quiet_s`. A job whose zone rules require its tasks to run in two turns has the time of
    a placement and of both turns, if that is longer.
    """

    def completion_deadline_s(job: UserJob) -> float:
        if not _runs_in_two_turns(job):
            return quiet_s
        return max(quiet_s, PLACEMENT_DEADLINE_S + 2 * cluster.descriptions[job.id].run_s)

    expected = [job for job in cluster.jobs.values() if job.accepted and not job.cancel_requested]
    for job in sorted(expected, key=completion_deadline_s):
        left_s = cluster.quiet_since + completion_deadline_s(job) - cluster.now()
        if left_s > 0 and not job.task_names <= cluster.completed_tasks:
            await asyncio.sleep(left_s)
        if not job.task_names <= cluster.completed_tasks:
            cluster.record_violation("left", f"{job.id} was accepted and has not completed")


def _runs_in_two_turns(job: UserJob) -> bool:
    """Return True if the job may use a single zone, which may have only half of its tasks."""
    body = job.body
    return bool(body["scatter"] and body["hall"] is not None and body["pieces"] > 1)


async def _cancel_all_tasks(cluster: SimulatedCluster) -> None:
    current = asyncio.current_task()
    for task in asyncio.all_tasks():
        if task is not current:
            task.cancel()
    await asyncio.sleep(0.1)


async def _submit_jobs(cluster: SimulatedCluster, until_s: float) -> None:
    rng = cluster.rng
    number = 0
    while cluster.now() < until_s:
        number += 1
        job_id = f"wk-{number:06d}"
        task_count, run_s = rng.choice(cluster.config.job_kinds)
        vcpus = rng.choice([2.0, 4.0])
        has_zone_rule = task_count > 1 and rng.random() < cluster.config.zone_rule_share
        zone_rule = rng.choice(["samePlace", "scatter"]) if has_zone_rule else ""
        body = {
            "id": job_id, "lineup": "any", "crew": rng.choice(TEAMS), "shape": "sweep",
            "urgency": rng.choice(["urgent", "standard"]), "pieces": task_count, "vcpus": vcpus,
            "gpus": 0.0, "memoryGb": 1.0, "bundle": "img", "sizeGb": 0.1, "builds": None,
            "hall": rng.choice([None, None, "south"]), "samePlace": zone_rule == "samePlace",
            "scatter": zone_rule == "scatter", "loaners": rng.random() < 0.7, "guessS": run_s,
            "snapshotS": 0.0, "flushS": 0.0, "dueS": None,
        }  # fmt: skip
        description = JobDescription(task_count, run_s, vcpus)
        if cluster.config.checkpoint_share and rng.random() < cluster.config.checkpoint_share:
            description.checkpoint_s = body["snapshotS"] = _CHECKPOINT_S
            description.save_s = body["flushS"] = _SAVE_S
        cluster.descriptions[job_id] = description
        job = cluster.jobs[job_id] = UserJob(job_id, body)
        if rng.random() < cluster.config.cancelled_share:
            job.cancel_at = cluster.now() + rng.uniform(2.0, 60.0)
        cluster.spawn(cluster.users.run_job(job))
        await asyncio.sleep(rng.expovariate(1 / cluster.config.arrival_interval_s))
