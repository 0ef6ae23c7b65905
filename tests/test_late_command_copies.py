"""A late copy of a direct command starts no attempt that its worker was told to forget.

Whole simulated controllers, one step after the other: an attempt is started by a direct command,
ends, and is forgotten; then the same command arrives at the worker once more, with the token and
the incarnation that it had.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import orjson
import pytest

from tealrill import wire
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import Scenario, run_scenario
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import JobDescription, Worker
from tealrill.types import MachineId, Monotonic

JOB: Final = "wk-000001"
TASK: Final = f"{JOB}/0"
RUN_S: Final = 300.0
CHECKPOINT_S: Final = 5.0
SAVE_S: Final = 1.5
STEP_TIMEOUT_S: Final = 60.0
NO_RANDOM_JOBS_S: Final = 0.0


class DirectCall(NamedTuple):
    """A request with direct commands that arrived at a worker."""

    source: str
    method: str
    target: str
    body: bytes | None


class Attempt(NamedTuple):
    """The first attempt of the task: its worker, and the direct command that started it."""

    worker: Worker
    started_by: DirectCall


def _submission(**changes: Any) -> dict[str, Any]:
    return {
        "id": JOB, "lineup": "any", "crew": "blue", "shape": "sweep", "urgency": "urgent",
        "pieces": 1, "vcpus": 4.0, "gpus": 0.0, "memoryGb": 1.0, "bundle": "img", "sizeGb": 0.1,
        "builds": None, "hall": None, "samePlace": False, "scatter": False, "loaners": True,
        "guessS": RUN_S, "snapshotS": CHECKPOINT_S, "flushS": SAVE_S, "dueS": None, **changes,
    }  # fmt: skip


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(STEP_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.05)


def _submit(cluster: SimulatedCluster, run_s: float = RUN_S, **changes: Any) -> UserJob:
    body = _submission(**changes)
    cluster.descriptions[JOB] = JobDescription(
        body["pieces"], run_s, body["vcpus"], CHECKPOINT_S, SAVE_S
    )
    job = cluster.jobs[JOB] = UserJob(JOB, body)
    cluster.spawn(cluster.users.run_job(job))
    return job


def _running_on(cluster: SimulatedCluster) -> list[Worker]:
    return [worker for worker in cluster.live_workers() if TASK in worker.running_tasks()]


def _fail(worker: Worker) -> None:
    task = worker.tasks[TASK, 1]
    task.fails, task.state_ends_at = True, worker.now()


def _place_nothing_more_on(cluster: SimulatedCluster, worker: Worker) -> None:
    host = cluster.leader()
    assert host is not None and host.node is not None and host.node.leader is not None
    machine = host.node.leader.fleet.machines[MachineId(worker.machine.id)]
    machine.refused_until = Monotonic(math.inf)
    machine.invalidate_caches()


def _is_forgotten(worker: Worker) -> bool:
    return (TASK, 1) not in worker.tasks


class _DirectCalls:
    """Records the direct commands that arrive at the workers."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._calls: list[tuple[Worker, DirectCall]] = []
        original = Worker.__call__

        async def record(
            worker: Worker, source: str, method: str, target: str, body: bytes | None
        ) -> Any:
            self._calls.append((worker, DirectCall(source, method, target, body)))
            return await original(worker, source, method, target, body)

        monkeypatch.setattr(Worker, "__call__", record)

    def first_attempt(self) -> Attempt:
        """Return the attempt that the first direct start command has started."""
        for worker, call in self._calls:
            commands = orjson.loads(call.body or b"{}")["orders"]
            if wire.start_command(TASK, 1) in commands:
                return Attempt(worker, call)
        raise AssertionError("the task was not started by a direct command")


async def _repeat(attempt: Attempt) -> int:
    """Deliver the command that started the attempt once more; return the worker's status."""
    status, _ = await attempt.worker(*attempt.started_by)
    return status


def _play(scenario: Scenario) -> SimulatedCluster:
    return run_scenario(1, ClusterConfig(), NO_RANDOM_JOBS_S, scenario, quiet_s=5.0)


def test_late_copy_of_start_does_not_run_failed_task_beside_its_next_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls = _DirectCalls(monkeypatch)

    async def scenario(cluster: SimulatedCluster) -> None:
        _submit(cluster, pieces=2)
        await _until(lambda: bool(_running_on(cluster)))
        attempt = calls.first_attempt()
        first = attempt.worker
        _place_nothing_more_on(cluster, first)
        _fail(first)
        await _until(lambda: _is_forgotten(first) and bool(_running_on(cluster)))
        assert _running_on(cluster) != [first]
        await _repeat(attempt)
        await asyncio.sleep(1.0)

    cluster = _play(scenario)
    assert not cluster.violations
    assert cluster.task_starts == 3


def test_late_copies_of_commands_violate_no_invariant() -> None:
    async def scenario(cluster: SimulatedCluster) -> None:
        await FaultInjector(cluster).duplicate_commands(0.9, 90.0)
        await asyncio.sleep(60.0)

    violations: list[str] = []
    for seed, nodes in ((1, 3), (2, 3), (3, 5)):
        cluster = run_scenario(seed, ClusterConfig(nodes=nodes), 120.0, scenario, quiet_s=5.0)
        violations += [f"seed {seed}: {text}" for text in cluster.violations]
    assert not violations
