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
    mistaken: bool
    run_s: float
    kinds: frozenset[str]
    starts: int = 0
    running: list[tuple[MachineId, float]] = field(default_factory=list)
    done: int = 0


class _World:
    """Machines with four slots each; tasks that fail do so within half a second."""

    def __init__(self, seed: int, jobs: list[_Job], machines: dict[str, tuple[str, bool]]) -> None:
        self.rng = random.Random(seed)
        self.failure_attribution = FailureAttribution()
        self.jobs = jobs
        self.machines = machines
        self.now = 100.0
        self.used = dict.fromkeys(machines, 0)
        self.drained: set[str] = set()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            for job in self.jobs:
                self._ends(job)
                self._starts(job)

    def _called(self, found: list[MachineId]) -> None:
        for machine in found:
            if self.failure_attribution.may_drain(len(self.machines)):
                self.drained.add(machine)

    def _ends(self, job: _Job) -> None:
        now = Monotonic(self.now)
        for machine, since in list(job.running):
            faulty = self.machines[machine][1]
            ran_s = self.now - since
            if (job.mistaken or faulty) and ran_s > self.rng.uniform(0.0, 0.5):
                job.running.remove((machine, since))
                self.used[machine] -= 1
                found = self.failure_attribution.failed(job.id, machine, ran_s, job.done > 0, now)
                self._called(found)
            elif not (job.mistaken or faulty) and ran_s >= job.run_s:
                job.running.remove((machine, since))
                self.used[machine] -= 1
                job.done += 1
                self._called(self.failure_attribution.succeeded(job.id, machine, now))

    def _starts(self, job: _Job) -> None:
        now = Monotonic(self.now)
        waiting = job.tasks - job.done - len(job.running)
        if self.failure_attribution.is_on_probation(job.id):
            longest = max((self.now - since for _, since in job.running), default=0.0)
            self._called(self.failure_attribution.survived(job.id, longest, now))
            most = self.failure_attribution.task_limit(job.id, len(job.running), longest, now)
            waiting = waiting if most is None else min(waiting, most)
        if waiting <= 0:
            return
        avoided = self.failure_attribution.avoided(job.id, now)
        for name, (kind, _) in self.machines.items():
            machine = MachineId(name)
            if kind not in job.kinds or name in self.drained or machine in avoided:
                continue
            for _ in range(min(waiting, _SLOTS - self.used[name])):
                self.used[name] += 1
                job.running.append((machine, self.now))
                job.starts += 1
                waiting -= 1


def _jobs(count: int, mistaken: int, tasks: int = 8, kinds: str = "a") -> list[_Job]:
    """Return `count` jobs, of which `mistaken` are erroneous, at regular distances."""
    every = count / mistaken if mistaken else count + 1
    return [
        _Job(JobId(f"wk-{n}"), tasks, int(n % every) == 0 and mistaken > 0, 6.0, frozenset(kinds))
        for n in range(count)
    ]


def _fleet(count: int, faulty: int = 0, kind: str = "a") -> dict[str, tuple[str, bool]]:
    return {f"m-{kind}{n}": (kind, n < faulty) for n in range(count)}


def test_a_mistaken_job_of_20000_tasks_is_tried_ever_more_rarely() -> None:
    # Guards against unlimited retries: 946 tasks failed within half a minute, most of them on one
    # machine.
    job = _Job(JobId("wk-1"), 20_000, True, 6.0, frozenset("a"))
    world = _World(1, [job], _fleet(20))
    world.run(300.0)
    assert job.starts <= 20 * _SLOTS + 10
    assert not world.drained


@given(st.integers(0, 2**32), st.sampled_from([4, 40]))
@settings(max_examples=20, deadline=None)
def test_mistaken_jobs_cost_no_sound_machine(seed: int, percent: int) -> None:
    jobs = _jobs(25, percent // 4)
    world = _World(seed, jobs, _fleet(15))
    world.run(60.0)
    assert not world.drained
    assert all(job.done == job.tasks for job in jobs if not job.mistaken)
    # The first tasks of each erroneous job fail together; after that there is a retry now and then.
    assert all(job.starts <= job.tasks + 8 for job in jobs if job.mistaken)


@given(st.integers(0, 2**32))
@settings(max_examples=20, deadline=None)
def test_one_faulty_machine_among_three_is_found_beside_mistaken_jobs(seed: int) -> None:
    jobs = _jobs(12, 3, tasks=12)
    world = _World(seed, jobs, _fleet(3, faulty=1))
    world.run(240.0)
    assert world.drained == {"m-a0"}
    assert all(job.done == job.tasks for job in jobs if not job.mistaken)


def test_the_only_machine_of_its_kind_is_found_by_many_jobs_that_fail_there_alone() -> None:
    jobs = _jobs(8, 0, tasks=1, kinds="b")
    world = _World(1, jobs, {**_fleet(3), **_fleet(1, faulty=1, kind="b")})
    world.run(20.0)
    assert world.drained == {"m-b0"}


def test_a_job_that_met_a_faulty_machine_runs_on_at_once_when_a_try_succeeds() -> None:
    job = _Job(JobId("wk-1"), 40, False, 6.0, frozenset("a"))
    world = _World(1, [job], _fleet(10, faulty=1))
    world.run(4.0)
    # The other tasks have run for longer than any took to fail, so the job is cleared.
    assert not world.failure_attribution.is_on_probation(job.id)
    world.run(10.0)
    assert job.done == 40


def test_a_take_over_begins_with_one_try() -> None:
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


def test_old_evidence_and_what_is_over_are_dropped() -> None:
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


def test_a_success_clears_a_machine() -> None:
    failure_attribution = FailureAttribution()
    machine = MachineId("m-1")
    failure_attribution.failed(JobId("wk-1"), machine, 0.0, True, Monotonic(0.0))
    failure_attribution.succeeded(JobId("wk-9"), machine, Monotonic(1.0))
    assert not failure_attribution.failed(JobId("wk-2"), machine, 0.0, True, Monotonic(2.0))


def test_no_more_than_a_part_of_the_fleet_is_called_faulty() -> None:
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


def _mistakes_cost(monkeypatch: pytest.MonkeyPatch, name: str, value: object) -> _World:
    monkeypatch.setattr(attribution_module, name, value)
    world = _World(3, _jobs(50, 20), _fleet(30))
    world.run(90.0)
    return world


def test_without_the_gaps_mistaken_jobs_are_started_again_and_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = _mistakes_cost(monkeypatch, "_FIRST_PAUSE_S", 0.0)
    assert any(job.starts > job.tasks + 50 for job in world.jobs if job.mistaken)


def test_without_the_question_of_how_jobs_do_elsewhere_sound_machines_are_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(FailureAttribution, "is_on_probation", lambda *_: False)
    monkeypatch.setattr(attribution_module, "_MIN_FAILED_JOBS", 2)
    world = _World(3, _jobs(50, 20, tasks=1), _fleet(30))
    world.run(30.0)
    assert world.drained


def test_a_failure_late_in_a_long_task_does_not_keep_the_others_waiting() -> None:
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
