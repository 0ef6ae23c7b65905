"""A late copy of a direct command starts no attempt that its worker was told to forget.

Whole simulated controllers, one step after the other: an attempt is started by a direct command,
ends, and is forgotten; then the same command arrives at the worker once more, with the token and
the incarnation that it had.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Final, NamedTuple

import orjson
import pytest

from tealrill import wire
from tealrill.fleet import machine_tokens
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine_tokens import MachineTokens
from tealrill.leadership import election, leader_record
from tealrill.leadership.election import KnownLeader
from tealrill.simulation.cloud_service import Machine
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.process import PROCESS, ClusterConfig
from tealrill.simulation.scenario import Scenario, run_scenario
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import JobDescription, Task, Worker
from tealrill.state.bindings import Binding
from tealrill.state.job_store import JobStore
from tealrill.types import (
    FencingToken,
    MachineId,
    Monotonic,
    Revision,
    Wall,
    last_token_of,
)
from tests.samples import spec

JOB: Final = "wk-000001"
TASK: Final = f"{JOB}/0"
RUN_S: Final = 300.0
CHECKPOINT_S: Final = 5.0
SAVE_S: Final = 1.5
STEP_TIMEOUT_S: Final = 60.0
NO_RANDOM_JOBS_S: Final = 0.0
REFUSED: Final = 409


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


def _complete(worker: Worker) -> None:
    worker.tasks[TASK, 1].state_ends_at = worker.now()


@pytest.mark.parametrize("end", ["cancelled", "completed", "service cancelled"])
def test_late_copy_of_start_does_not_run_ended_job_again(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = _DirectCalls(monkeypatch)

    async def scenario(cluster: SimulatedCluster) -> None:
        shape = "standing" if end == "service cancelled" else "sweep"
        job = _submit(cluster, shape=shape, guessS=0.0 if shape == "standing" else RUN_S)
        await _until(lambda: bool(_running_on(cluster)))
        attempt = calls.first_attempt()
        if end == "completed":
            _complete(attempt.worker)
        else:
            job.cancel_at = cluster.now()
        await _until(lambda: _is_forgotten(attempt.worker))
        assert await _repeat(attempt) == REFUSED
        await asyncio.sleep(1.0)

    cluster = _play(scenario)
    assert cluster.task_starts == 1 and not cluster.violations


def test_late_copy_is_refused_before_worker_has_seen_next_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls = _DirectCalls(monkeypatch)

    async def scenario(cluster: SimulatedCluster) -> None:
        job = _submit(cluster)
        await _until(lambda: bool(_running_on(cluster)))
        attempt = calls.first_attempt()
        job.cancel_at = cluster.now()
        await _until(lambda: _is_forgotten(attempt.worker))
        for host in cluster.hosts.values():
            cluster.kill_controller(host, 3.0)
        assert await _repeat(attempt) == REFUSED
        await asyncio.sleep(10.0)

    cluster = _play(scenario)
    assert cluster.task_starts == 1 and not cluster.violations


def _play_copies(seed: int, nodes: int) -> SimulatedCluster:
    async def scenario(cluster: SimulatedCluster) -> None:
        await FaultInjector(cluster).duplicate_commands(0.9, 90.0)
        await asyncio.sleep(60.0)

    return run_scenario(seed, ClusterConfig(nodes=nodes), 120.0, scenario, quiet_s=5.0)


def test_late_copies_of_commands_violate_no_invariant() -> None:
    violations: list[str] = []
    for seed, nodes in ((1, 3), (2, 3), (3, 5)):
        cluster = _play_copies(seed, nodes)
        violations += [f"seed {seed}: {text}" for text in cluster.violations]
    assert not violations


def test_command_overtaken_by_a_higher_token_is_refused_and_its_start_is_not_lost() -> None:
    """One attempt is forgotten while the direct start of another is in flight."""
    clock = SimpleNamespace(now=100.0)
    machine_id = MachineId("m-000001")
    worker = Worker(
        Machine(machine_id, "10.1.0.1:9000", "north", True, 0.0, 0.0),
        15.25,
        lambda: clock.now,
        {JOB: JobDescription(2, RUN_S, 2.0)},
        lambda *_: None,
        set(),
        {},
    )
    job_store = JobStore(4.0)
    job = job_store.add(spec(id=JOB, pieces=2), Wall(0.0), Revision(1))
    fleet = Fleet(job_store, FencingToken(1), Monotonic(clock.now), 15.25)
    fleet.inherit([], Monotonic(clock.now))

    def exchange_heartbeat() -> None:
        heartbeat = wire.decode(orjson.dumps(worker.build_heartbeat()), wire.Heartbeat)
        now = Monotonic(clock.now)
        commands = fleet.heartbeats.process(heartbeat, machine_id, now, Wall(clock.now))
        assert commands is not None
        worker.observe_token(fleet.tokens.current(fleet.machines[machine_id]))
        worker.execute(commands)

    def bind() -> tuple[Binding, bytes]:
        """Bind a task and return it with the body of its direct start."""
        machine = fleet.machines[machine_id]
        binding = fleet.bind(job, machine, False, Wall(0.0), Monotonic(clock.now))
        assert binding is not None
        binding.chunk.committed = binding.chunk.version
        command = wire.start_command(str(binding.task), binding.attempt)
        token = fleet.tokens.current(machine)
        fleet.commands.direct_sent([binding])
        return binding, wire.encode(wire.direct_commands(token, 1, [command]))

    exchange_heartbeat()
    exchange_heartbeat()
    first, body = bind()
    assert asyncio.run(worker("host-0", "POST", "/orders", body))[0] == 200
    fleet.commands.direct_executed([first])
    worker.tasks[TASK, 1] = Task(wire.EXITED, wire.WHY_DONE)
    exchange_heartbeat()
    first.chunk.committed = first.chunk.version
    second, body = bind()
    exchange_heartbeat()
    assert (TASK, 1) not in worker.tasks
    status, reply = asyncio.run(worker("host-0", "POST", "/orders", body))
    assert status == REFUSED
    fleet.commands.direct_refused([second])
    report = wire.decode(orjson.dumps(reply), wire.Heartbeat)
    fleet.heartbeats.handle_direct_reply(report, machine_id, Monotonic(clock.now), Wall(clock.now))
    exchange_heartbeat()
    assert list(job.bindings()) == [second] and second.start_confirmed
    assert (str(second.task), second.attempt) in worker.tasks


def _forget_under_same_token(patch: pytest.MonkeyPatch) -> None:
    """Workers forget attempts without fencing the direct starts that were sent before."""
    patch.setattr(MachineTokens, "advance", lambda *_: True)


def test_forgetting_under_same_token_violates_invariant(monkeypatch: pytest.MonkeyPatch) -> None:
    _forget_under_same_token(monkeypatch)
    assert "ran_twice" in _play_copies(1, 3).violated_invariants


def _run_host_0_as_previous_version(patch: pytest.MonkeyPatch) -> None:
    """Host 0 runs the version whose terms have one token, which forgets under the same one."""

    def is_previous_version() -> bool:
        return PROCESS.get().name == "host-0"

    def last_token(term: FencingToken) -> FencingToken:
        return term if is_previous_version() else last_token_of(term)

    for module in (election, leader_record, machine_tokens):
        patch.setattr(module, "last_token_of", last_token)
    advance, token_for = MachineTokens.advance, KnownLeader.token_for

    def advance_by_version(tokens: MachineTokens, machine: Any) -> bool:
        return is_previous_version() or advance(tokens, machine)

    def token_by_version(leader: KnownLeader, seen: int) -> FencingToken | None:
        if not is_previous_version():
            return token_for(leader, seen)
        return None if seen > leader.term else leader.term

    patch.setattr(MachineTokens, "advance", advance_by_version)
    patch.setattr(KnownLeader, "token_for", token_by_version)


@pytest.mark.parametrize("seed", [1, 2])
def test_previous_version_beside_this_one_violates_no_invariant(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Leaders of both versions follow each other, in both directions."""
    _run_host_0_as_previous_version(monkeypatch)
    terms: list[tuple[FencingToken, bool]] = []

    async def scenario(cluster: SimulatedCluster) -> None:
        for _ in range(8):
            await asyncio.sleep(12.0)
            host = cluster.leader()
            if host is not None and host.node is not None:
                leadership = host.node.election.leadership
                assert leadership is not None
                terms.append((leadership.term, host.name == "host-0"))
                cluster.kill_controller(host, 8.0)

    cluster = run_scenario(seed, ClusterConfig(nodes=2 + seed), 90.0, scenario)
    assert not cluster.violations
    assert terms == sorted(terms)
    steps = {
        (previous, this) for (_, previous), (_, this) in itertools.pairwise(terms)
    }  # fmt: skip
    assert {(True, False), (False, True)} <= steps
