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
from tealrill.simulation.process import TEAMS, Shape
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import JobDescription

_CHECKPOINT_S: Final = 5.0
_SAVE_S: Final = 1.5

Script = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]
"""Injects the faults of a run; returns once all of them have ended."""


def play(
    seed: int,
    shape: Shape | None = None,
    fault_period_s: float = 150.0,
    script: Script | None = None,
    calm_s: float = max(RESPONSE_DEADLINE_S, PLACEMENT_DEADLINE_S) + 60.0,
    stop_on: str = "",
) -> SimulatedCluster:
    """Simulate a cluster with faults, then a quiet period in which all accepted jobs must end.

    Args:
        seed: Seed of all random draws.
        shape: Size, settings and load of the cluster.
        fault_period_s: How long jobs arrive and, without a `script`, faults are drawn; seconds.
        script: Injects the faults of the run; by default they are drawn from the seed.
        calm_s: Length of the quiet period, in seconds. Unfinished jobs count as violations only if
            it is at least `RESPONSE_DEADLINE_S`, since a shorter one leaves them too little time.
        stop_on: The run ends once this invariant is violated.
    """
    with simulated_cluster(seed, shape or Shape()) as world:
        asyncio.set_event_loop(world.loop)

        async def random_faults(world: SimulatedCluster) -> None:
            await FaultInjector(world).run(fault_period_s)

        try:
            run = world.begin(_run(world, script or random_faults, fault_period_s, calm_s))

            def on_violation(invariant: str) -> None:
                if invariant == stop_on:
                    run.cancel()

            world.on_violation = on_violation
            with contextlib.suppress(asyncio.CancelledError):
                world.loop.run_until_complete(run)
            world.loop.run_until_complete(_cancel_all_tasks(world))
        finally:
            asyncio.set_event_loop(None)
    return world


async def _run(
    world: SimulatedCluster, script: Script, fault_period_s: float, calm_s: float
) -> None:
    for host in world.hosts.values():
        world.start_controller(host)
    world.begin(world.invariants.watch())
    world.begin(world.users.request_unknown_jobs())
    world.begin(world.worker_fleet.replay_at_elections())
    world.begin(world.users.send_invalid_requests())
    world.begin(_submit_jobs(world, fault_period_s))
    if world.shape.graphs:
        world.begin(submit_graphs(world, TEAMS, fault_period_s))
    await asyncio.sleep(20.0)
    await script(world)
    world.quiet_since = world.now()
    world.log_event("all faults have ended")
    await asyncio.sleep(calm_s)
    if world.task_starts == 0:
        world.record_violation("nothing_ran", "no task was started")
    for job in world.jobs.values() if calm_s >= RESPONSE_DEADLINE_S else ():
        if (
            job.accepted
            and not job.cancel_requested
            and not job.task_names <= world.completed_tasks
        ):
            world.record_violation("left", f"{job.id} was accepted and has not completed")


async def _cancel_all_tasks(world: SimulatedCluster) -> None:
    current = asyncio.current_task()
    for task in asyncio.all_tasks():
        if task is not current:
            task.cancel()
    await asyncio.sleep(0.1)


async def _submit_jobs(world: SimulatedCluster, until_s: float) -> None:
    rng = world.rng
    number = 0
    while world.now() < until_s:
        number += 1
        job_id = f"wk-{number:06d}"
        task_count, run_s = rng.choice(world.shape.jobs)
        vcpus = rng.choice([2.0, 4.0])
        has_zone_rule = task_count > 1 and rng.random() < world.shape.zone_rule_share
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
        if world.shape.saving and rng.random() < world.shape.saving:
            description.checkpoint_s = body["snapshotS"] = _CHECKPOINT_S
            description.save_s = body["flushS"] = _SAVE_S
        world.descriptions[job_id] = description
        job = world.jobs[job_id] = UserJob(job_id, body)
        if rng.random() < world.shape.cancelled:
            job.cancel_at = world.now() + rng.uniform(2.0, 60.0)
        world.begin(world.users.run_job(job))
        await asyncio.sleep(rng.expovariate(1 / world.shape.arrival_interval_s))
