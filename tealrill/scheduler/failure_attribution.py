"""Failure attribution: decide whether tasks fail because of their job or of their machine.

A job that was submitted with an error fails on every machine, and a faulty machine fails jobs that
succeed elsewhere. So a failure is attributed by how the job does on other machines and how other
jobs do on the machine, and it is reconsidered when more is known:

- A job is *cleared* once one of its tasks has completed, or has run for clearly longer than any
  took to fail. From its first failure until then it is on probation: one task at a time, with a
  growing pause after each failure, on machines where it has not failed recently. (Without
  probation, 946 tasks of one erroneous job were started within half a minute, most of them
  repeatedly on one machine, and each cost writes to the state service that other jobs waited for.)
- A machine is *faulty* when jobs that are cleared failed on it and none has succeeded there since.
  A job that is not cleared is no evidence about machines. (Otherwise three erroneous jobs in a row
  condemn a healthy machine: 88 machines on one day, in a fleet of 600.) Only if many jobs failed on
  one machine, and have been tried nowhere else, is it faulty without that.

Pure state, without I/O and clock. Its size is bounded, and old evidence is dropped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final, TypeVar

from tealrill.types import JobId, MachineId, Monotonic

_FIRST_PAUSE_S: Final = 1.0
_MAX_PAUSE_S: Final = 60.0
_MIN_CLEARING_RUN_S: Final = 2.0
"""A task on probation clears its job once it has run for this time plus twice the longest time that
any task of the job took to fail."""
_MAX_SOLO_RUN_S: Final = 45.0
"""Once a task on probation has run for this time, the job's other tasks may start too. Otherwise,
after a failure at 100 s, they would wait beside free capacity until one task has run for 202 s."""
_MAX_AVOIDANCE_S: Final = 30.0
"""Longest time for which a job avoids a machine where it failed."""
_MAX_MACHINES_PER_JOB: Final = 16
"""Machines recorded per job of those where it failed; more make no difference."""
_MAX_EVIDENCE_AGE_S: Final = 300.0
"""Older failures are no longer evidence against a machine."""
_MIN_CLEARED_JOBS: Final = 2
"""A machine is faulty when this many cleared jobs failed on it."""
_MIN_FAILED_JOBS: Final = 5
"""A machine is also faulty when this many jobs failed on it that are cleared or were tried nowhere
else."""
_MAX_JOBS_PER_MACHINE: Final = 64
"""Jobs recorded per machine of those that failed on it."""
_MAX_FAULTY_SHARE: Final = 0.05
"""Largest share of all machines that may be drained as faulty within `_MAX_EVIDENCE_AGE_S`."""


_K = TypeVar("_K")
_V = TypeVar("_V")


def _backoff_s(failures: int, max_s: float) -> float:
    """Return the pause after `failures` earlier ones, in seconds; each doubles the one before."""
    return min(max_s, _FIRST_PAUSE_S * 2.0 ** min(failures, 16))


def _keep_latest(entries: dict[_K, _V], key: _K, value: _V, max_entries: int) -> None:
    """Add an entry as the latest, and drop the oldest entries beyond the limit."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > max_entries:
        del entries[next(iter(entries))]


@dataclass(slots=True)
class _Avoidance:
    """A machine on which a job failed, and until when the job avoids it."""

    failures: int
    until: Monotonic


@dataclass(slots=True)
class _Probation:
    """What is known about a job that failed."""

    is_cleared: bool = False
    failed_rounds: int = 0
    """Rounds that failed, with no success between them. Tasks that start together and fail are one
    round."""
    next_at: Monotonic = Monotonic(-math.inf)
    """On probation, no task starts before this time."""
    longest_s: float = 0.0
    """The longest time that any of its tasks ran before it failed."""
    failed_on: dict[MachineId, _Avoidance] = field(default_factory=dict)
    """The machines where it failed, least recent first."""

    @property
    def clears_after_s(self) -> float:
        """Run time, in seconds, after which a task clears the job."""
        return _MIN_CLEARING_RUN_S + 2.0 * self.longest_s


class FailureAttribution:
    """Evidence about the jobs and machines that failed."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, _Probation] = {}
        self._machines: dict[MachineId, dict[JobId, Monotonic]] = {}
        """Per machine, the jobs that failed there since the last success, and when."""
        self._faulty: dict[MachineId, Monotonic] = {}
        """When each machine was found faulty."""

    # -- events -----------------------------------------------------------------------------------

    def failed(
        self, job: JobId, machine: MachineId, ran_s: float, is_cleared: bool, now: Monotonic
    ) -> list[MachineId]:
        """Record a task that failed after `ran_s` seconds; return the machines now found faulty.

        `is_cleared` is True if a task of this job is known to have completed.
        """
        probation = self._jobs.setdefault(job, _Probation())
        probation.is_cleared = probation.is_cleared or is_cleared
        probation.longest_s = max(probation.longest_s, ran_s)
        if not probation.is_cleared and now >= probation.next_at:
            # Tasks that were started together fail together: that counts as one round.
            probation.next_at = Monotonic(now + _backoff_s(probation.failed_rounds, _MAX_PAUSE_S))
            probation.failed_rounds += 1
        self._avoid(probation, machine, now)
        _keep_latest(self._machines.setdefault(machine, {}), job, now, _MAX_JOBS_PER_MACHINE)
        return self._find_faulty([machine], now)

    @staticmethod
    def _avoid(probation: _Probation, machine: MachineId, now: Monotonic) -> None:
        """Extend the time for which the job avoids the machine, longer with each failure.

        It stays bounded, because the machine may be the only one that the job can use.
        """
        avoidance = probation.failed_on.get(machine) or _Avoidance(0, Monotonic(-math.inf))
        if now >= avoidance.until:
            until = Monotonic(now + _backoff_s(avoidance.failures, _MAX_AVOIDANCE_S))
            avoidance = _Avoidance(avoidance.failures + 1, until)
        _keep_latest(probation.failed_on, machine, avoidance, _MAX_MACHINES_PER_JOB)

    def succeeded(self, job: JobId, machine: MachineId, now: Monotonic) -> list[MachineId]:
        """Record a completed task; return the machines now found faulty."""
        self._machines.pop(machine, None)
        return self._clear_job(job, now)

    def inherited(self, job: JobId, attempts: int) -> None:
        """Restore a job of an earlier term from its number of attempts, none of them completed.

        The attempts may have been preempted or lost instead of failed; then probation delays the
        job only briefly. Without it, all tasks of an erroneous job would be started at once with
        every failover.
        """
        if attempts > 1 and job not in self._jobs:
            self._jobs[job] = _Probation(failed_rounds=min(attempts - 1, 16))

    def forget_job(self, job: JobId) -> None:
        """Drop a finished job."""
        probation = self._jobs.pop(job, None)
        if probation is not None and not probation.is_cleared:
            # Its failures can't be attributed any more, so they are no evidence against the
            # machines.
            for machine in probation.failed_on:
                self._machines.get(machine, {}).pop(job, None)

    def forget_machine(self, machine: MachineId) -> None:
        """Drop a terminated machine."""
        self._machines.pop(machine, None)

    # -- queries ----------------------------------------------------------------------------------

    def is_on_probation(self, job: JobId) -> bool:
        """Return True if the job has failed and is not cleared yet."""
        return self._probation_of(job) is not None

    def _probation_of(self, job: JobId) -> _Probation | None:
        """Return the record of a job that is on probation, or None."""
        probation = self._jobs.get(job)
        return probation if probation is not None and not probation.is_cleared else None

    def task_limit(self, job: JobId, bound: int, longest_s: float, now: Monotonic) -> int | None:
        """Return how many tasks of a job may start now; None if unlimited.

        `bound` is the number of its tasks that are bound to machines, `longest_s` the run time so
        far of the one that has run longest.
        """
        probation = self._probation_of(job)
        if probation is None or longest_s >= min(probation.clears_after_s, _MAX_SOLO_RUN_S):
            return None
        return 1 if bound == 0 and now >= probation.next_at else 0

    def survived(self, job: JobId, longest_s: float, now: Monotonic) -> list[MachineId]:
        """Clear the job if a task has run for long enough; return the machines now found faulty."""
        probation = self._probation_of(job)
        if probation is None or longest_s < probation.clears_after_s:
            return []
        return self._clear_job(job, now)

    def avoided(self, job: JobId, now: Monotonic) -> frozenset[MachineId]:
        """Return the machines on which the job failed recently."""
        probation = self._jobs.get(job)
        if probation is None:
            return frozenset()
        return frozenset(m for m, avoided in probation.failed_on.items() if now < avoided.until)

    # -- attribution ------------------------------------------------------------------------------

    def _clear_job(self, job: JobId, now: Monotonic) -> list[MachineId]:
        """Clear a job that failed; return the machines found faulty by that."""
        probation = self._jobs.get(job)
        if probation is None:
            return []
        newly_cleared = not probation.is_cleared
        probation.is_cleared = True
        probation.failed_rounds = 0
        return self._find_faulty(list(probation.failed_on), now) if newly_cleared else []

    def _find_faulty(self, machines: list[MachineId], now: Monotonic) -> list[MachineId]:
        """Return those of the machines that are now found faulty."""
        for machine in [m for m, at in self._faulty.items() if now - at > _MAX_EVIDENCE_AGE_S]:
            del self._faulty[machine]
        newly_faulty = [m for m in machines if m not in self._faulty and self._is_faulty(m, now)]
        for machine in newly_faulty:
            self._faulty[machine] = now
        return newly_faulty

    def _is_faulty(self, machine: MachineId, now: Monotonic) -> bool:
        failed_jobs = self._machines.get(machine, {})
        for job in [j for j, at in failed_jobs.items() if now - at > _MAX_EVIDENCE_AGE_S]:
            del failed_jobs[job]
        cleared = tried_only_here = 0
        for job in failed_jobs:
            probation = self._jobs.get(job)
            if probation is not None and probation.is_cleared:
                cleared += 1
            elif probation is not None and probation.failed_on.keys() <= {machine}:
                tried_only_here += 1
        return cleared >= _MIN_CLEARED_JOBS or cleared + tried_only_here >= _MIN_FAILED_JOBS

    def may_drain(self, machines: int) -> bool:
        """Return True if one more faulty machine may be drained.

        This limits the damage to the fleet if the attribution is wrong in an unforeseen way.
        """
        return len(self._faulty) <= max(1.0, _MAX_FAULTY_SHARE * machines)
