"""Failure attribution: to the job, to the machine, or not decided yet.

A job that was submitted with a mistake fails on every machine, and a faulty machine fails jobs that
do well elsewhere. So a failure is judged by how each does elsewhere, and the judgement is made anew
when more is known:

- A job is *cleared* once one of its tasks is done, or has run for clearly longer than any took to
  fail. Until then, after its first failure, it is on probation: one task at a time, at moments
  further and further apart, on machines where it has not just failed. (946 tasks of one mistaken
  job were started within half a minute, most of them again and again on one machine; each cost
  changes of the state service that other jobs waited for.)
- A machine is *faulty* when jobs that are cleared elsewhere failed on it, and none succeeded since.
  A job that is cleared nowhere says nothing about machines. (Three mistaken jobs in a row had cost
  a sound machine its place: 88 on one day of 600 machines.) Only where many jobs fail on one
  machine and have been nowhere else is it called faulty without that.

Pure state: no I/O, no clock. All of it is bounded, and old evidence is dropped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final, TypeVar

from tealrill.types import JobId, MachineId, Monotonic

_FIRST_GAP_S: Final = 1.0
_MAX_GAP_S: Final = 60.0
_CLEARS_AFTER_S: Final = 2.0
"""A task on probation survives by running for so long, and twice as long as any took to fail."""
_MAX_ALONE_S: Final = 45.0
"""A task on probation keeps its job's others waiting for no longer, beside free capacity: after a
failure at 100 s they waited until one had run for 202 s."""
_MAX_AVOIDED_S: Final = 30.0
"""A job is not tried again for so long at most on a machine where it failed."""
_MAX_MACHINES: Final = 16
"""Of the machines on which a job failed; more make no difference."""
_EVIDENCE_S: Final = 300.0
_MIN_SURE_JOBS: Final = 2
"""Cleared jobs that failed on a machine."""
_MIN_UNCLEAR_JOBS: Final = 5
"""Jobs that failed on a machine and were tried nowhere else, where none is cleared."""
_MAX_JOBS: Final = 64
"""Of the jobs that failed on one machine."""
_MAX_FAULTY_SHARE: Final = 0.05
"""Of all machines, no larger part is called faulty within `_EVIDENCE_S`."""


_K = TypeVar("_K")
_V = TypeVar("_V")


def _backoff_s(failures: int, max_s: float) -> float:
    """The pause after so many others, each twice as long as the one before."""
    return min(max_s, _FIRST_GAP_S * 2.0 ** min(failures, 16))


def _keep_latest(kept: dict[_K, _V], key: _K, value: _V, task_limit: int) -> None:
    """Puts it behind the others, of which no more than the latest are kept."""
    kept.pop(key, None)
    kept[key] = value
    while len(kept) > task_limit:
        del kept[next(iter(kept))]


@dataclass(slots=True)
class _Avoided:
    """A machine on which a job failed."""

    failures: int
    until: Monotonic


@dataclass(slots=True)
class _Probation:
    """The record of a job that failed."""

    is_cleared: bool = False
    failed_rounds: int = 0
    """Moments at which it was tried and failed, with none that went well between them."""
    next_at: Monotonic = Monotonic(-math.inf)
    longest_s: float = 0.0
    """The longest that any of its tasks ran before it failed."""
    failed_on: dict[MachineId, _Avoided] = field(default_factory=dict)

    @property
    def clears_after_s(self) -> float:
        return _CLEARS_AFTER_S + 2.0 * self.longest_s


class FailureAttribution:
    """Evidence about the jobs and machines that failed."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, _Probation] = {}
        self._machines: dict[MachineId, dict[JobId, Monotonic]] = {}
        """Per machine the jobs that failed there since one last succeeded, and when."""
        self._faulty: dict[MachineId, Monotonic] = {}

    # -- what happens ---------------------------------------------------------------------------

    def failed(
        self, job: JobId, machine: MachineId, ran_s: float, is_cleared: bool, now: Monotonic
    ) -> list[MachineId]:
        """A task failed after `ran_s` seconds; machines that are faulty by what is known now.

        `is_cleared`: a task of this job is known to be done.
        """
        probation = self._jobs.setdefault(job, _Probation())
        probation.is_cleared = probation.is_cleared or is_cleared
        probation.longest_s = max(probation.longest_s, ran_s)
        if not probation.is_cleared and now >= probation.next_at:
            # Tasks that were started together fail together: that is one round.
            probation.next_at = Monotonic(now + _backoff_s(probation.failed_rounds, _MAX_GAP_S))
            probation.failed_rounds += 1
        self._avoid(probation, machine, now)
        _keep_latest(self._machines.setdefault(machine, {}), job, now, _MAX_JOBS)
        return self._judge([machine], now)

    @staticmethod
    def _avoid(probation: _Probation, machine: MachineId, now: Monotonic) -> None:
        """Avoid the machine for longer after each failure; it may be the only one there is."""
        known = probation.failed_on.get(machine) or _Avoided(0, Monotonic(-math.inf))
        if now >= known.until:
            until = Monotonic(now + _backoff_s(known.failures, _MAX_AVOIDED_S))
            known = _Avoided(known.failures + 1, until)
        _keep_latest(probation.failed_on, machine, known, _MAX_MACHINES)

    def succeeded(self, job: JobId, machine: MachineId, now: Monotonic) -> list[MachineId]:
        """Record a completed task; return the machines that are faulty by now."""
        self._machines.pop(machine, None)
        return self._clear(job, now)

    def inherited(self, job: JobId, attempts: int) -> None:
        """Restore a job of an earlier leadership from its number of attempts, none completed.

        Perhaps they were preempted or lost; then a task on probation costs the job a moment. All
        tasks of a broken job would be started at once otherwise, with every failover.
        """
        if attempts > 1 and job not in self._jobs:
            self._jobs[job] = _Probation(failed_rounds=min(attempts - 1, 16))

    def forget_job(self, job: JobId) -> None:
        """Drop a finished job."""
        probation = self._jobs.pop(job, None)
        if probation is not None and not probation.is_cleared:
            # Nobody will know any more whose fault that was.
            for machine in probation.failed_on:
                self._machines.get(machine, {}).pop(job, None)

    def forget_machine(self, machine: MachineId) -> None:
        """Drop a terminated machine."""
        self._machines.pop(machine, None)

    # -- what follows ---------------------------------------------------------------------------

    def is_on_probation(self, job: JobId) -> bool:
        """Return whether the job failed and is not cleared yet."""
        return self._probation_of(job) is not None

    def _probation_of(self, job: JobId) -> _Probation | None:
        """Return the record of a job that is on probation, or None."""
        probation = self._jobs.get(job)
        return probation if probation is not None and not probation.is_cleared else None

    def task_limit(self, job: JobId, bound: int, longest_s: float, now: Monotonic) -> int | None:
        """Return how many tasks of a job may start now; None if unlimited.

        `bound` of its tasks are on machines; the one that has run longest did so for `longest_s`
        seconds.
        """
        probation = self._probation_of(job)
        if probation is None or longest_s >= min(probation.clears_after_s, _MAX_ALONE_S):
            return None
        return 1 if bound == 0 and now >= probation.next_at else 0

    def survived(self, job: JobId, longest_s: float, now: Monotonic) -> list[MachineId]:
        """Record that a task has run for so long; return the machines that are faulty by now."""
        probation = self._probation_of(job)
        if probation is None or longest_s < probation.clears_after_s:
            return []
        return self._clear(job, now)

    def avoided(self, job: JobId, now: Monotonic) -> frozenset[MachineId]:
        """Return the machines on which the job failed a short while ago."""
        probation = self._jobs.get(job)
        if probation is None:
            return frozenset()
        return frozenset(m for m, avoided in probation.failed_on.items() if now < avoided.until)

    # -- judging --------------------------------------------------------------------------------

    def _clear(self, job: JobId, now: Monotonic) -> list[MachineId]:
        probation = self._jobs.get(job)
        if probation is None:
            return []
        newly_cleared = not probation.is_cleared
        probation.is_cleared = True
        probation.failed_rounds = 0
        return self._judge(list(probation.failed_on), now) if newly_cleared else []

    def _judge(self, machines: list[MachineId], now: Monotonic) -> list[MachineId]:
        for machine in [m for m, at in self._faulty.items() if now - at > _EVIDENCE_S]:
            del self._faulty[machine]
        found = [m for m in machines if m not in self._faulty and self._is_faulty(m, now)]
        for machine in found:
            self._faulty[machine] = now
        return found

    def _is_faulty(self, machine: MachineId, now: Monotonic) -> bool:
        failed_jobs = self._machines.get(machine, {})
        for job in [j for j, at in failed_jobs.items() if now - at > _EVIDENCE_S]:
            del failed_jobs[job]
        sure = unclear = 0
        for job in failed_jobs:
            probation = self._jobs.get(job)
            if probation is not None and probation.is_cleared:
                sure += 1
            elif probation is not None and probation.failed_on.keys() <= {machine}:
                unclear += 1
        return sure >= _MIN_SURE_JOBS or sure + unclear >= _MIN_UNCLEAR_JOBS

    def may_drain(self, machines: int) -> bool:
        """Return whether one more faulty machine may be drained.

        Should the attribution be wrong in an unforeseen way, it must not cost a fleet.
        """
        return len(self._faulty) <= max(1.0, _MAX_FAULTY_SHARE * machines)
