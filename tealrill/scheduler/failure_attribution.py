"""Whose fault a failure is: the job's, the machine's, or not to be told yet.

A job that was submitted with a mistake fails on every machine, and a faulty machine fails jobs that
do well elsewhere. So a failure is judged by how each does elsewhere, and the judgement is made anew
when more is known:

- A job *does well* once one of its tasks is done, or has run for clearly longer than any took to
  fail. Until then, after its first failure, it is on trial: one task at a time, at moments further
  and further apart, on machines where it has not just failed. (946 tasks of one mistaken job were
  started within half a minute, most of them again and again on one machine; each cost changes of
  the state service that other jobs waited for.)
- A machine is *faulty* when jobs that do well elsewhere failed on it, and none succeeded since. A
  job that does well nowhere says nothing about machines. (Three mistaken jobs in a row had cost a
  sound machine its place: 88 on one day of 600 machines.) Only where many jobs fail on one machine
  and have been nowhere else is it called faulty without that.

Pure state: no I/O, no clock. All of it is bounded, and old evidence is dropped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final, TypeVar

from tealrill.types import JobId, MachineId, Monotonic

_FIRST_GAP_S: Final = 1.0
_MOST_GAP_S: Final = 60.0
_SURVIVES_S: Final = 2.0
"""A task on trial has survived when it ran for so long, and twice as long as any took to fail."""
_ALONE_S: Final = 45.0
"""A task on trial keeps its job's others waiting for no longer, beside room that they could have:
after a failure at 100 s they waited until one had run for 202 s."""
_MOST_AVOIDED_S: Final = 30.0
"""A job is not tried again for so long at most on a machine where it failed."""
_MACHINES_KEPT: Final = 16
"""Of the machines on which a job failed; more make no difference."""
_EVIDENCE_S: Final = 300.0
_FAULTY_JOBS: Final = 2
"""Jobs that do well elsewhere and failed on a machine."""
_UNCLEAR_JOBS: Final = 5
"""Jobs that failed on a machine and were tried nowhere else, where none is known to do well."""
_JOBS_KEPT: Final = 64
"""Of the jobs that failed on one machine."""
_MOST_FAULTY: Final = 0.05
"""Of all machines, no larger part is called faulty within `_EVIDENCE_S`."""


_K = TypeVar("_K")
_V = TypeVar("_V")


def _gap_s(times: int, most_s: float) -> float:
    """The pause after so many others, each twice as long as the one before."""
    return min(most_s, _FIRST_GAP_S * 2.0 ** min(times, 16))


def _keep_latest(kept: dict[_K, _V], key: _K, value: _V, most: int) -> None:
    """Puts it behind the others, of which no more than the latest are kept."""
    kept.pop(key, None)
    kept[key] = value
    while len(kept) > most:
        del kept[next(iter(kept))]


@dataclass(slots=True)
class _Avoided:
    """A machine on which a job failed."""

    times: int
    until: Monotonic


@dataclass(slots=True)
class _Trial:
    """A job that failed."""

    well: bool = False
    rounds: int = 0
    """Moments at which it was tried and failed, with none that went well between them."""
    next_at: Monotonic = Monotonic(-math.inf)
    longest_s: float = 0.0
    """The longest that any of its tasks ran before it failed."""
    failed_on: dict[MachineId, _Avoided] = field(default_factory=dict)

    @property
    def survives_s(self) -> float:
        return _SURVIVES_S + 2.0 * self.longest_s


class FailureAttribution:
    """What is known of the jobs and machines that failed."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, _Trial] = {}
        self._machines: dict[MachineId, dict[JobId, Monotonic]] = {}
        """Per machine the jobs that failed there since one last succeeded, and when."""
        self._faulty: dict[MachineId, Monotonic] = {}

    # -- what happens ---------------------------------------------------------------------------

    def failed(
        self, job: JobId, machine: MachineId, ran_s: float, well: bool, now: Monotonic
    ) -> list[MachineId]:
        """A task failed after `ran_s` seconds; machines that are faulty by what is known now.

        `well`: a task of this job is known to be done.
        """
        trial = self._jobs.setdefault(job, _Trial())
        trial.well = trial.well or well
        trial.longest_s = max(trial.longest_s, ran_s)
        if not trial.well and now >= trial.next_at:
            # Tasks that were started together fail together: that is one round.
            trial.next_at = Monotonic(now + _gap_s(trial.rounds, _MOST_GAP_S))
            trial.rounds += 1
        self._avoid(trial, machine, now)
        _keep_latest(self._machines.setdefault(machine, {}), job, now, _JOBS_KEPT)
        return self._judge([machine], now)

    @staticmethod
    def _avoid(trial: _Trial, machine: MachineId, now: Monotonic) -> None:
        """For longer each time; it may be the only machine that there is."""
        known = trial.failed_on.get(machine) or _Avoided(0, Monotonic(-math.inf))
        if now >= known.until:
            until = Monotonic(now + _gap_s(known.times, _MOST_AVOIDED_S))
            known = _Avoided(known.times + 1, until)
        _keep_latest(trial.failed_on, machine, known, _MACHINES_KEPT)

    def succeeded(self, job: JobId, machine: MachineId, now: Monotonic) -> list[MachineId]:
        """A task is done; machines that are faulty by what is known now."""
        self._machines.pop(machine, None)
        return self._does_well(job, now)

    def inherited(self, job: JobId, attempts: int) -> None:
        """A job of a former term: so many times one of its tasks was bound, and none is done.

        Perhaps they were stopped or lost; then a task on trial costs it a moment. A mistaken job's
        tasks would all be started at once otherwise, with every take-over.
        """
        if attempts > 1 and job not in self._jobs:
            self._jobs[job] = _Trial(rounds=min(attempts - 1, 16))

    def forget_job(self, job: JobId) -> None:
        """It is over."""
        trial = self._jobs.pop(job, None)
        if trial is not None and not trial.well:
            # Nobody will know any more whose fault that was.
            for machine in trial.failed_on:
                self._machines.get(machine, {}).pop(job, None)

    def forget_machine(self, machine: MachineId) -> None:
        """It is gone."""
        self._machines.pop(machine, None)

    # -- what follows ---------------------------------------------------------------------------

    def on_trial(self, job: JobId) -> bool:
        return self._trial(job) is not None

    def _trial(self, job: JobId) -> _Trial | None:
        """Of a job that is on trial."""
        trial = self._jobs.get(job)
        return trial if trial is not None and not trial.well else None

    def most(self, job: JobId, bound: int, longest_s: float, now: Monotonic) -> int | None:
        """How many tasks of a job on trial may start now; None: as many as there are.

        `bound` of its tasks are on machines, and the one that has run longest did so for
        `longest_s` seconds.
        """
        trial = self._trial(job)
        if trial is None or longest_s >= min(trial.survives_s, _ALONE_S):
            return None
        return 1 if bound == 0 and now >= trial.next_at else 0

    def survived(self, job: JobId, longest_s: float, now: Monotonic) -> list[MachineId]:
        """A task has run for so long; machines that are faulty if that settles it."""
        trial = self._trial(job)
        if trial is None or longest_s < trial.survives_s:
            return []
        return self._does_well(job, now)

    def avoided(self, job: JobId, now: Monotonic) -> frozenset[MachineId]:
        """Machines on which the job failed a short while ago."""
        trial = self._jobs.get(job)
        if trial is None:
            return frozenset()
        return frozenset(m for m, avoided in trial.failed_on.items() if now < avoided.until)

    # -- judging --------------------------------------------------------------------------------

    def _does_well(self, job: JobId, now: Monotonic) -> list[MachineId]:
        trial = self._jobs.get(job)
        if trial is None:
            return []
        news = not trial.well
        trial.well = True
        trial.rounds = 0
        return self._judge(list(trial.failed_on), now) if news else []

    def _judge(self, machines: list[MachineId], now: Monotonic) -> list[MachineId]:
        for machine in [m for m, at in self._faulty.items() if now - at > _EVIDENCE_S]:
            del self._faulty[machine]
        found = [m for m in machines if m not in self._faulty and self._is_faulty(m, now)]
        for machine in found:
            self._faulty[machine] = now
        return found

    def _is_faulty(self, machine: MachineId, now: Monotonic) -> bool:
        against = self._machines.get(machine, {})
        for job in [j for j, at in against.items() if now - at > _EVIDENCE_S]:
            del against[job]
        sure = unclear = 0
        for job in against:
            trial = self._jobs.get(job)
            if trial is not None and trial.well:
                sure += 1
            elif trial is not None and trial.failed_on.keys() <= {machine}:
                unclear += 1
        return sure >= _FAULTY_JOBS or sure + unclear >= _UNCLEAR_JOBS

    def may_drain(self, machines: int) -> bool:
        """Whether one more machine may be taken out of service for being faulty.

        Should the judgement be wrong in a way that nobody thought of, it must not cost a fleet.
        """
        return len(self._faulty) <= max(1.0, _MOST_FAULTY * machines)
