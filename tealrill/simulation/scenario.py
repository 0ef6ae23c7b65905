"""A simulated day: arrivals of jobs, faults, and the calm after them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, Final

from tealrill.simulation.cluster import SimulatedCluster, connected
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.graph_users import submit_graphs
from tealrill.simulation.invariants import ANSWER_WITHIN_S, PLACE_WITHIN_S
from tealrill.simulation.process import TEAMS, ClusterConfig
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import Description

_CHECKPOINT_S: Final = 5.0
_SAVE_S: Final = 1.5

Scenario = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]
"""The faults of a day; it returns when all of them have ended."""


def run_scenario(
    seed: int,
    config: ClusterConfig | None = None,
    trouble_s: float = 150.0,
    scenario: Scenario | None = None,
    quiet_s: float = max(ANSWER_WITHIN_S, PLACE_WITHIN_S) + 60.0,
    until: str = "",
) -> SimulatedCluster:
    """Play one day: faults, then `quiet_s` without any, in which every job that can has to end.

    Without `scenario` the faults are drawn from the seed for `trouble_s`. With `until` the day ends
    once that invariant is violated. Jobs left over are looked for only if the calm is at least as
    long as a job may go without an answer.
    """
    with connected(seed, config or ClusterConfig()) as cluster:
        asyncio.set_event_loop(cluster.loop)

        async def drawn(cluster: SimulatedCluster) -> None:
            await FaultInjector(cluster).run(trouble_s)

        try:
            day = cluster.spawn(_day(cluster, scenario or drawn, trouble_s, quiet_s))

            def breached(rule: str) -> None:
                if rule == until:
                    day.cancel()

            cluster.breached = breached
            with contextlib.suppress(asyncio.CancelledError):
                cluster.loop.run_until_complete(day)
            cluster.loop.run_until_complete(_close(cluster))
        finally:
            asyncio.set_event_loop(None)
    return cluster


async def _day(
    cluster: SimulatedCluster, scenario: Scenario, trouble_s: float, quiet_s: float
) -> None:
    for host in cluster.hosts.values():
        cluster.start(host)
    cluster.spawn(cluster.invariants.watch())
    cluster.spawn(cluster.users.ask_for_unknown_jobs())
    cluster.spawn(cluster.worker_fleet.replay_at_elections())
    cluster.spawn(cluster.users.send_invalid_requests())
    cluster.spawn(_arrivals(cluster, trouble_s))
    if cluster.config.graphs:
        cluster.spawn(submit_graphs(cluster, TEAMS, trouble_s))
    await asyncio.sleep(20.0)
    await scenario(cluster)
    cluster.calm_since = cluster.now()
    cluster.note("all troubles are over")
    await asyncio.sleep(quiet_s)
    if cluster.starts == 0:
        cluster.breach("nothing_ran", "no task was started")
    for job in cluster.jobs.values() if quiet_s >= ANSWER_WITHIN_S else ():
        if job.accepted and not job.asked_to_cancel and not job.tasks <= cluster.results:
            cluster.breach("left", f"{job.id} did not run to its end")


async def _close(cluster: SimulatedCluster) -> None:
    own = asyncio.current_task()
    for task in asyncio.all_tasks():
        if task is not own:
            task.cancel()
    await asyncio.sleep(0.1)


async def _arrivals(cluster: SimulatedCluster, until_s: float) -> None:
    rng = cluster.rng
    number = 0
    while cluster.now() < until_s:
        number += 1
        job_id = f"wk-{number:06d}"
        pieces, run_s = rng.choice(cluster.config.job_kinds)
        vcpus = rng.choice([2.0, 4.0])
        ruled = pieces > 1 and rng.random() < cluster.config.zoned
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
        if cluster.config.checkpoint_share and rng.random() < cluster.config.checkpoint_share:
            description.checkpoint_s = body["snapshotS"] = _CHECKPOINT_S
            description.save_s = body["flushS"] = _SAVE_S
        cluster.descriptions[job_id] = description
        job = cluster.jobs[job_id] = UserJob(job_id, body)
        if rng.random() < cluster.config.cancelled_share:
            job.cancel_at = cluster.now() + rng.uniform(2.0, 60.0)
        cluster.spawn(cluster.users.run_job(job))
        await asyncio.sleep(rng.expovariate(1 / cluster.config.every_s))
