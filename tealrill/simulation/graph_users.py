"""Simulated users who submit small graphs of dependent jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import orjson

from tealrill.graphs.admission import GraphAdmission
from tealrill.graphs.model import node_id
from tealrill.simulation.worker import JobDescription

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster

_NODES: Final = ({"key": "a", "after": []}, {"key": "b", "after": ["a"]})
_RUN_S: Final = 4.0
_VCPUS: Final = 2.0
_PAUSE_RANGE_S: Final = (8.0, 20.0)
"""Shortest and longest pause between two graphs, in seconds."""
_JOB: Final[dict[str, Any]] = {
    "lineup": "any", "shape": "sweep", "urgency": "urgent", "pieces": 1, "vcpus": _VCPUS,
    "gpus": 0.0, "memoryGb": 1.0, "bundle": "img", "sizeGb": 0.1, "builds": None, "hall": None,
    "samePlace": False, "scatter": False, "loaners": True, "guessS": _RUN_S, "snapshotS": 0.0,
    "flushS": 0.0, "dueS": None,
}  # fmt: skip


async def submit_graphs(cluster: SimulatedCluster, teams: tuple[str, ...], until_s: float) -> None:
    """Submit a graph of two nodes every 8 to 20 s, each to a random controller, until `until_s`."""
    number = 0
    while cluster.now() < until_s:
        await asyncio.sleep(cluster.rng.uniform(*_PAUSE_RANGE_S))
        number += 1
        graph = f"graph{number}"
        job = {**_JOB, "crew": cluster.rng.choice(teams)}
        for index in range(len(_NODES)):
            name = node_id(graph, index)
            cluster.descriptions[name] = JobDescription(1, _RUN_S, _VCPUS)
            cluster.register_job(name, {**job, "id": name})
        await _submit(cluster, orjson.dumps({"id": graph, "defaults": job, "nodes": list(_NODES)}))


async def _submit(cluster: SimulatedCluster, body: bytes) -> None:
    host = cluster.rng.choice(list(cluster.hosts.values()))
    if host.node is None or host.name in cluster.active_faults.paused:
        return
    for extension in host.node.extensions:
        if isinstance(extension.implicit_jobs, GraphAdmission):
            task = cluster.spawn(extension.implicit_jobs.submit(body), host.context)
            await asyncio.wait({task}, timeout=5.0)
            if task.done() and not task.cancelled() and task.exception() is None:
                reply = task.result()
                cluster.digest.add(cluster.now(), host.name, body, reply.status, reply.body)
