"""A simulation run: job arrivals, faults, and the quiet period after them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Final

from tealrill.simulation.cluster import SimulatedCluster, connected
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.graph_users import submit_graphs
from tealrill.simulation.invariants import ANSWER_WITHIN_S, PLACE_WITHIN_S
from tealrill.simulation.process import TEAMS, Shape
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import Description

_CHECKPOINT_S: Final = 5.0
_SAVE_S: Final = 1.5

Script = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]
"""Injects the faults of a run; returns once all of them have ended."""


def play(
    seed: int,
    shape: Shape | None = None,
    trouble_s: float = 150.0,
    script: Script | None = None,
    calm_s: float = max(ANSWER_WITHIN_S, PLACE_WITHIN_S) + 60.0,
    until: str = "",
) -> SimulatedCluster:
    """Simulate a cluster with faults, then a quiet period in which all accepted jobs must end.

    Args:
        seed: Seed of all random draws.
        shape: Size, settings and load of the cluster.
        trouble_s: How long jobs arrive and, without a `script`, faults are drawn; seconds.
        script: Injects the faults of the run; by default they are drawn from the seed.
        calm_s: Length of the quiet period, in seconds. Unfinished jobs count as violations only if
            it is at least `ANSWER_WITHIN_S`, since a shorter one leaves them too little time.
        until: The run ends once this invariant is violated.
    """
    with connected(seed, shape or Shape()) as world:
        asyncio.set_event_loop(world.loop)

        async def drawn(world: SimulatedCluster) -> None:
            await FaultInjector(world).run(trouble_s)

        try:
            day = world.begin(_day(world, script or drawn, trouble_s, calm_s))

            def breached(rule: str) -> None:
                if rule == until:
                    day.cancel()

            world.breached = breached
            with contextlib.suppress(asyncio.CancelledError):
                world.loop.run_until_complete(day)
            world.loop.run_until_complete(_close(world))
        finally:
            asyncio.set_event_loop(None)
    return world


async def _day(world: SimulatedCluster, script: Script, trouble_s: float, calm_s: float) -> None:
    for host in world.hosts.values():
        world.start(host)
    world.begin(world.invariants.watch())
    world.begin(world.users.ask_for_unknown_jobs())
    world.begin(world.worker_fleet.replay_at_elections())
    world.begin(world.users.send_invalid_requests())
    world.begin(_arrivals(world, trouble_s))
    if world.shape.graphs:
        world.begin(submit_graphs(world, TEAMS, trouble_s))
    await asyncio.sleep(20.0)
    await script(world)
    world.calm_since = world.now()
    world.note("all faults have ended")
    await asyncio.sleep(calm_s)
    if world.starts == 0:
        world.breach("nothing_ran", "no task was started")
    for job in world.jobs.values() if calm_s >= ANSWER_WITHIN_S else ():
        if job.accepted and not job.asked_to_cancel and not job.tasks <= world.results:
            world.breach("left", f"{job.id} was accepted and has not completed")


async def _close(world: SimulatedCluster) -> None:
    own = asyncio.current_task()
    for task in asyncio.all_tasks():
        if task is not own:
            task.cancel()
    await asyncio.sleep(0.1)


async def _arrivals(world: SimulatedCluster, until_s: float) -> None:
    rng = world.rng
    number = 0
    while world.now() < until_s:
        number += 1
        job_id = f"wk-{number:06d}"
        pieces, run_s = rng.choice(world.shape.jobs)
        vcpus = rng.choice([2.0, 4.0])
        ruled = pieces > 1 and rng.random() < world.shape.zoned
        zoned = rng.choice(["samePlace", "scatter"]) if ruled else ""
        body = {
            "id": job_id, "lineup": "any", "crew": rng.choice(TEAMS), "shape": "sweep",
            "urgency": rng.choice(["urgent", "standard"]), "pieces": pieces, "vcpus": vcpus,
            "gpus": 0.0, "memoryGb": 1.0, "bundle": "img", "sizeGb": 0.1, "builds": None,
            "hall": rng.choice([None, None, "south"]), "samePlace": zoned == "samePlace",
            "scatter": zoned == "scatter", "loaners": rng.random() < 0.7, "guessS": run_s,
            "snapshotS": 0.0, "flushS": 0.0, "dueS": None,
        }  # fmt: skip
        description = Description(pieces, run_s, vcpus)
        if world.shape.saving and rng.random() < world.shape.saving:
            description.checkpoint_s = body["snapshotS"] = _CHECKPOINT_S
            description.save_s = body["flushS"] = _SAVE_S
        world.descriptions[job_id] = description
        job = world.jobs[job_id] = UserJob(job_id, body)
        if rng.random() < world.shape.cancelled:
            job.cancel_at = world.now() + rng.uniform(2.0, 60.0)
        world.begin(world.users.run_job(job))
        await asyncio.sleep(rng.expovariate(1 / world.shape.every_s))
