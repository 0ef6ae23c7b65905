"""Simulation runs of whole controllers, and a test of each invariant by a planted bug.

The seeds are fixed here; `python3 -m tealrill.simulation hunt` simulates others.
"""

from __future__ import annotations

import asyncio
from asyncio import Future
from collections.abc import Callable
from typing import Any

import pytest
from click.testing import CliRunner
from tornado.iostream import IOStream

from tealrill import wire
from tealrill.fleet.autoscaling import Autoscaler
from tealrill.fleet.commands import Commands
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.leases import Leases
from tealrill.fleet.machine import Machine
from tealrill.fleet.snapshot import SnapshotBuilder
from tealrill.leader.job_lifecycle import JobLifecycle
from tealrill.simulation.__main__ import main
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario
from tealrill.state.admission import Admission
from tealrill.state.admission import Reply as UserReply
from tealrill.state.bindings import Job
from tealrill.state.client import StateClient
from tealrill.state.job_store import JobStore
from tealrill.types import JobId, Monotonic
from tests.test_flapping import LONG_JOBS

_SHORT_S = 60.0


@pytest.mark.parametrize(("seed", "nodes"), [(1, 3), (2, 3), (3, 3), (4, 5)])
def test_random_faults_violate_no_invariant(seed: int, nodes: int) -> None:
    cluster = run_scenario(seed, ClusterConfig(nodes=nodes))
    assert not cluster.violations, [*cluster.events, *cluster.violations]
    assert cluster.task_starts > 30 and sum(job.done for job in cluster.jobs.values()) > 10


def test_same_seed_gives_identical_run() -> None:
    def outcome(cluster: SimulatedCluster) -> object:
        return (
            cluster.events,
            cluster.task_starts,
            [job.last_response_at for job in cluster.jobs.values()],
        )

    assert outcome(run_scenario(7, fault_period_s=_SHORT_S)) == outcome(
        run_scenario(7, fault_period_s=_SHORT_S)
    )
    assert outcome(run_scenario(8, fault_period_s=_SHORT_S)) != outcome(
        run_scenario(7, fault_period_s=_SHORT_S)
    )


def test_simulation_opens_no_real_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Probes of unreachable machines must not be sent to their addresses in the real network."""
    attempts: list[object] = []

    def connect(_: IOStream, address: object, *__: object, **___: object) -> Future[IOStream]:
        attempts.append(address)
        raise OSError("connection to the real network in a simulation")

    monkeypatch.setattr(IOStream, "connect", connect)
    cluster = run_scenario(7, fault_period_s=_SHORT_S)
    assert cluster.task_starts and not attempts


# -- planted bugs ---------------------------------------------------------------------------------


def _expire_leases_early(patch: pytest.MonkeyPatch) -> None:
    """Leases count as expired after 0.8 s without contact, so tasks are started elsewhere."""

    def expired_machines(self: Leases, now: Monotonic) -> list[Machine]:
        machines = self._fleet.machines.values()
        return [
            m for m in machines if m.last_contact_at is not None and now - m.last_contact_at > 0.8
        ]

    patch.setattr(Leases, "expired_machines", expired_machines)


def _ignore_cancellations(patch: pytest.MonkeyPatch) -> None:
    """The leader ignores cancellations."""
    patch.setattr(JobLifecycle, "on_cancelled", lambda *_: None)


def _ignore_quotas(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SnapshotBuilder, "_teams", lambda _: {})


def _ignore_placement_constraints(patch: pytest.MonkeyPatch) -> None:
    original = SnapshotBuilder._job_view

    def job(self: SnapshotBuilder, *args: Any) -> Any:
        view = original(self, *args)
        view.zone = None
        view.spot = True
        return view

    patch.setattr(SnapshotBuilder, "_job_view", job)


def _complete_job_with_first_task(patch: pytest.MonkeyPatch) -> None:
    """The completion of one task completes all tasks of its job."""
    original = JobStore.complete

    def complete(self: JobStore, job: Job, index: int, now: Monotonic) -> bool:
        for other in range(job.spec.tasks):
            original(self, job, other, now)
        return original(self, job, index, now)

    patch.setattr(JobStore, "complete", complete)


def _answer_with(status: int, job_status: str) -> Callable[[pytest.MonkeyPatch], None]:
    def plant_bug(patch: pytest.MonkeyPatch) -> None:
        async def answer(self: Admission, job_id: JobId) -> UserReply:
            return UserReply(status, wire.job_status(job_id, job_status))

        patch.setattr(Admission, "_status", answer)

    return plant_bug


def _always_unavailable(patch: pytest.MonkeyPatch) -> None:
    async def answer(self: Admission, text: str) -> UserReply:
        return UserReply(503, {})

    patch.setattr(Admission, "status", answer)


def _never_schedule(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SchedulingLoop, "run", lambda *_: None)


def _skip_every_third_job(patch: pytest.MonkeyPatch) -> None:
    """A third of the jobs is never placed, and idle machines are not released."""
    original = SnapshotBuilder._startable_tasks

    def waiting(self: SnapshotBuilder, job: Job, now: Monotonic) -> int:
        return 0 if job.id.endswith(("3", "6", "9")) else original(self, job, now)

    patch.setattr(SnapshotBuilder, "_startable_tasks", waiting)
    patch.setattr(Autoscaler, "release_unneeded", lambda *_: None)


def _accept_any_specification(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Admission, "rejection", lambda *_: None)


def _raise_in_lease_creation(patch: pytest.MonkeyPatch) -> None:
    async def create_lease(*_: object) -> None:
        raise ValueError("planted")

    patch.setattr(StateClient, "create_lease", create_lease)


@pytest.mark.parametrize(
    ("invariant", "plant_bug"),
    [
        ("ran_twice", _expire_leases_early),
        ("ran_cancelled", _ignore_cancellations),
        ("quota", _ignore_quotas),
        ("wrong_place", _ignore_placement_constraints),
        ("not_done", _complete_job_with_first_task),
        ("forgotten", _answer_with(404, wire.JOB_PENDING)),
        ("forgotten", _always_unavailable),
        ("invented", _answer_with(200, wire.JOB_PENDING)),
        ("went_back", _answer_with(200, wire.JOB_CANCELLED)),
        ("nothing_ran", _never_schedule),
        ("ended", _raise_in_lease_creation),
    ],
)
def test_planted_bug_violates_invariant(
    invariant: str, plant_bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant_bug(monkeypatch)
    # Other invariants may be violated first; one of these short runs violates this one.
    violated: set[str] = set()
    for seed in range(1, 5):
        config = ClusterConfig(limit_vcpus=16.0 if invariant == "quota" else 64.0)
        if invariant == "ran_cancelled":
            # Most of the default jobs end before `cancel_s` has passed.
            config = ClusterConfig(limit_vcpus=64.0, job_kinds=LONG_JOBS)
        violated |= run_scenario(seed, config, _SHORT_S, stop_on=invariant).violated_invariants
        if invariant in violated:
            return
    raise AssertionError(f"invariant {invariant} not violated; violated: {violated}")


async def _inject_request_faults(cluster: SimulatedCluster) -> None:
    cluster.active_faults.invalid_requests = cluster.active_faults.cancel_in_flight = True
    cluster.active_faults.command_delay_s = 2.0
    await asyncio.sleep(20.0)
    cluster.active_faults.invalid_requests = cluster.active_faults.cancel_in_flight = False
    cluster.active_faults.command_delay_s = 0.0


def _start_cancelled_tasks(patch: pytest.MonkeyPatch) -> None:
    """A task whose job is cancelled is started nevertheless, and no stop is ever sent."""
    patch.setattr(Commands, "_may_start", staticmethod(lambda b: b.committed and not b.inherited))
    patch.setattr(Commands, "_may_send_in_response", lambda _, b: b.committed and not b.inherited)
    patch.setattr(Commands, "stop", lambda *_: True)


@pytest.mark.parametrize(
    ("invariant", "plant_bug", "quiet_s"),
    [
        ("waited", _skip_every_third_job, 105.0),
        ("accepted", _accept_any_specification, 1.0),
        ("started_late", _start_cancelled_tasks, 1.0),
    ],
)
def test_planted_bug_violates_invariant_during_request_faults(
    invariant: str,
    plant_bug: Callable[[pytest.MonkeyPatch], None],
    quiet_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unmodified = run_scenario(
        1, ClusterConfig(), _SHORT_S, scenario=_inject_request_faults, quiet_s=quiet_s
    )
    assert not unmodified.violations
    plant_bug(monkeypatch)
    violated: set[str] = set()
    for seed in range(1, 5):
        violated |= run_scenario(
            seed,
            ClusterConfig(),
            _SHORT_S,
            scenario=_inject_request_faults,
            quiet_s=quiet_s,
            stop_on=invariant,
        ).violated_invariants
    assert invariant in violated


def test_hunt_reports_violation_with_seed_and_events(monkeypatch: pytest.MonkeyPatch) -> None:
    args = ["hunt", "--days", "1", "--seed", "2", "--for-s", "30"]
    fine = CliRunner().invoke(main, args)
    assert fine.exit_code == 0 and "0 invariants violated" in fine.output
    _ignore_cancellations(monkeypatch)
    _answer_with(200, wire.JOB_CANCELLED)(monkeypatch)
    bad = CliRunner().invoke(main, args)
    assert bad.exit_code == 1
    assert (
        "seed 2" in bad.output
        and "VIOLATED" in bad.output
        and "all faults have ended" in bad.output
    )
    assert CliRunner().invoke(main, ["hunt", "--days", "none"]).exit_code == 2
