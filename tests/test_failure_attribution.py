"""Failure attribution: erroneous jobs and faulty machines together, on generated small fleets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tealrill.scheduler import failure_attribution as attribution_module
from tealrill.scheduler.failure_attribution import FailureAttribution
from tealrill.types import JobId, MachineId, Monotonic

_STEP_S = 0.1
_SLOTS = 4


@dataclass
class _Job:
    id: JobId
    tasks: int
    erroneous: bool
    run_s: float
    kinds: frozenset[str]
    starts: int = 0
    running: list[tuple[MachineId, float]] = field(default_factory=list)
    done: int = 0


class _Cluster:
    """Machines with four slots each; tasks that fail do so within half a second."""

    def __init__(self, seed: int, jobs: list[_Job], machines: dict[str, tuple[str, bool]]) -> None:
        self.rng = random.Random(seed)
        self.failure_attribution = FailureAttribution()
        self.jobs = jobs
        self.machines = machines
        self.now = 100.0
        self.used_slots = dict.fromkeys(machines, 0)
        self.drained: set[str] = set()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            for job in self.jobs:
                self._end_tasks(job)
                self._start_tasks(job)

    def _drain(self, faulty: list[MachineId]) -> None:
        for machine in faulty:
            if self.failure_attribution.may_drain(len(self.machines)):
                self.drained.add(machine)

    def _end_tasks(self, job: _Job) -> None:
        now = Monotonic(self.now)
        for machine, since in list(job.running):
            faulty = self.machines[machine][1]
            ran_s = self.now - since
            if (job.erroneous or faulty) and ran_s > self.rng.uniform(0.0, 0.5):
                job.running.remove((machine, since))
                self.used_slots[machine] -= 1
                found = self.failure_attribution.failed(job.id, machine, ran_s, job.done > 0, now)
                self._drain(found)
            elif not (job.erroneous or faulty) and ran_s >= job.run_s:
                job.running.remove((machine, since))
                self.used_slots[machine] -= 1
                job.done += 1
                self._drain(self.failure_attribution.succeeded(job.id, machine, now))

    def _start_tasks(self, job: _Job) -> None:
        now = Monotonic(self.now)
        waiting = job.tasks - job.done - len(job.running)
        if self.failure_attribution.is_on_probation(job.id):
            longest = max((self.now - since for _, since in job.running), default=0.0)
            self._drain(self.failure_attribution.survived(job.id, longest, now))
            task_limit = self.failure_attribution.task_limit(job.id, len(job.running), longest, now)
            waiting = waiting if task_limit is None else min(waiting, task_limit)
        if waiting <= 0:
            return
        avoided = self.failure_attribution.avoided(job.id, now)
        for name, (kind, _) in self.machines.items():
            machine = MachineId(name)
            if kind not in job.kinds or name in self.drained or machine in avoided:
                continue
            for _ in range(min(waiting, _SLOTS - self.used_slots[name])):
                self.used_slots[name] += 1
                job.running.append((machine, self.now))
                job.starts += 1
                waiting -= 1


def _jobs(count: int, erroneous: int, tasks: int = 8, kinds: str = "a") -> list[_Job]:
    """Return `count` jobs, `erroneous` of which fail everywhere, spaced evenly among the others."""
    spacing = count / erroneous if erroneous else count + 1
    return [
        _Job(
            JobId(f"wk-{n}"), tasks, int(n % spacing) == 0 and erroneous > 0, 6.0, frozenset(kinds)
        )
        for n in range(count)
    ]


def _fleet(count: int, faulty: int = 0, kind: str = "a") -> dict[str, tuple[str, bool]]:
    return {f"m-{kind}{n}": (kind, n < faulty) for n in range(count)}


def test_erroneous_job_of_20000_tasks_is_retried_with_backoff() -> None:
    # Guards against unlimited retries: 946 tasks failed within half a minute, most of them on one
    # machine.
    job = _Job(JobId("wk-1"), 20_000, True, 6.0, frozenset("a"))
    cluster = _Cluster(1, [job], _fleet(20))
    cluster.run(300.0)
    assert job.starts <= 20 * _SLOTS + 10
    assert not cluster.drained


@given(st.integers(0, 2**32), st.sampled_from([4, 40]))
@settings(max_examples=20, deadline=None)
def test_erroneous_jobs_drain_no_healthy_machine(seed: int, percent: int) -> None:
    jobs = _jobs(25, percent // 4)
    cluster = _Cluster(seed, jobs, _fleet(15))
    cluster.run(60.0)
    assert not cluster.drained
    assert all(job.done == job.tasks for job in jobs if not job.erroneous)
    # The first tasks of each erroneous job fail together; after that there is a retry now and then.
    assert all(job.starts <= job.tasks + 8 for job in jobs if job.erroneous)


@given(st.integers(0, 2**32))
@settings(max_examples=20, deadline=None)
def test_faulty_machine_of_three_is_found_despite_erroneous_jobs(seed: int) -> None:
    jobs = _jobs(12, 3, tasks=12)
    cluster = _Cluster(seed, jobs, _fleet(3, faulty=1))
    cluster.run(240.0)
    assert cluster.drained == {"m-a0"}
    assert all(job.done == job.tasks for job in jobs if not job.erroneous)


def test_only_machine_of_kind_is_faulty_after_many_jobs_fail_on_it() -> None:
    jobs = _jobs(8, 0, tasks=1, kinds="b")
    cluster = _Cluster(1, jobs, {**_fleet(3), **_fleet(1, faulty=1, kind="b")})
    cluster.run(20.0)
    assert cluster.drained == {"m-b0"}


def test_probation_after_faulty_machine_ends_once_tasks_survive() -> None:
    job = _Job(JobId("wk-1"), 40, False, 6.0, frozenset("a"))
    cluster = _Cluster(1, [job], _fleet(10, faulty=1))
    cluster.run(4.0)
    # The other tasks have run for longer than any took to fail, so the job is cleared.
    assert not cluster.failure_attribution.is_on_probation(job.id)
    cluster.run(10.0)
    assert job.done == 40


def test_inherited_job_with_several_attempts_is_on_probation() -> None:
    failure_attribution = FailureAttribution()
    failure_attribution.inherited(JobId("wk-1"), 3)
    now = Monotonic(10.0)
    assert failure_attribution.task_limit(JobId("wk-1"), 0, 0.0, now) == 1
    assert failure_attribution.task_limit(JobId("wk-1"), 1, 0.5, now) == 0
    # The attempts may have been preempted: probation ends once a task has run for a moment.
    assert failure_attribution.task_limit(JobId("wk-1"), 1, 2.5, now) is None
    # After a failure, the pause continues from the former term's number of attempts.
    failure_attribution.failed(JobId("wk-1"), MachineId("m-1"), 0.0, False, now)
    assert failure_attribution.task_limit(JobId("wk-1"), 0, 0.0, Monotonic(now + 3.9)) == 0
    assert failure_attribution.task_limit(JobId("wk-1"), 0, 0.0, Monotonic(now + 4.1)) == 1
    # A single attempt was neither preempted nor lost, so there is no probation.
    failure_attribution.inherited(JobId("wk-2"), 1)
    assert not failure_attribution.is_on_probation(JobId("wk-2"))


def test_old_evidence_and_finished_jobs_are_dropped() -> None:
    failure_attribution = FailureAttribution()
    machine = MachineId("m-1")
    assert not failure_attribution.failed(JobId("wk-1"), machine, 0.0, True, Monotonic(0.0))
    # The earlier failure is too old to count, so the next job's failure is the first again.
    assert not failure_attribution.failed(JobId("wk-2"), machine, 0.0, True, Monotonic(301.0))
    assert failure_attribution.failed(JobId("wk-3"), machine, 0.0, True, Monotonic(302.0)) == [
        machine
    ]
    for number in range(1000):
        job = JobId(f"wk-{number}")
        failure_attribution.failed(job, MachineId(f"m-{number}"), 0.0, False, Monotonic(400.0))
        failure_attribution.forget_job(job)
        failure_attribution.forget_machine(MachineId(f"m-{number}"))
    assert len(failure_attribution._jobs) <= 1 and len(failure_attribution._machines) <= 2


def test_success_clears_machine() -> None:
    failure_attribution = FailureAttribution()
    machine = MachineId("m-1")
    failure_attribution.failed(JobId("wk-1"), machine, 0.0, True, Monotonic(0.0))
    failure_attribution.succeeded(JobId("wk-9"), machine, Monotonic(1.0))
    assert not failure_attribution.failed(JobId("wk-2"), machine, 0.0, True, Monotonic(2.0))


def test_drained_share_of_fleet_is_limited() -> None:
    failure_attribution = FailureAttribution()
    drained = 0
    for number in range(100):
        machine = MachineId(f"m-{number}")
        for job in range(2):
            found = failure_attribution.failed(
                JobId(f"wk-{job}"), machine, 0.0, True, Monotonic(1.0)
            )
            drained += bool(found) and failure_attribution.may_drain(100)
    assert drained == 5


def _run_with_constant(monkeypatch: pytest.MonkeyPatch, name: str, value: object) -> _Cluster:
    monkeypatch.setattr(attribution_module, name, value)
    cluster = _Cluster(3, _jobs(50, 20), _fleet(30))
    cluster.run(90.0)
    return cluster


def test_mutant_without_pauses_restarts_erroneous_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = _run_with_constant(monkeypatch, "_FIRST_PAUSE_S", 0.0)
    assert any(job.starts > job.tasks + 50 for job in cluster.jobs if job.erroneous)


def test_mutant_without_probation_drains_healthy_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(FailureAttribution, "is_on_probation", lambda *_: False)
    monkeypatch.setattr(attribution_module, "_MIN_FAILED_JOBS", 2)
    cluster = _Cluster(3, _jobs(50, 20, tasks=1), _fleet(30))
    cluster.run(30.0)
    assert cluster.drained


def test_late_failure_does_not_delay_other_tasks() -> None:
    """A late failure must not hold back the job's other tasks for twice the time that it took."""
    failure_attribution = FailureAttribution()
    job, faulty = JobId("wk-1"), MachineId("m-1")
    failure_attribution.failed(job, faulty, 100.0, False, Monotonic(100.0))
    # Other tasks have run as long without failing, or a later one has run for 45 s.
    assert failure_attribution.task_limit(job, 9, 100.0, Monotonic(102.0)) is None
    assert failure_attribution.task_limit(job, 1, 40.0, Monotonic(150.0)) == 0
    assert failure_attribution.task_limit(job, 1, 45.0, Monotonic(150.0)) is None
    # That neither clears the job nor makes the machine faulty.
    assert not failure_attribution.survived(
        job, 100.0, Monotonic(160.0)
    ) and failure_attribution.is_on_probation(job)
