"""Preemption for the reserved job: of the backfilled tasks, those that have run the shortest.

This is the paper's `duration-consumed` rule, which loses the least work. On one machine the
smallest sufficient set of tasks is preempted, on the machine where that loses the least work.
"""

from __future__ import annotations

from dataclasses import dataclass

from tealrill.scheduler.model import TOLERANCE, JobView, MachineView, RunningTask, TeamView
from tealrill.types import Monotonic


@dataclass(frozen=True, slots=True)
class PreemptedTasks:
    """Tasks of one machine whose preemption makes room for one task."""

    machine: MachineView
    tasks: list[RunningTask]
    lost_cpu_s: float
    """Processor seconds of work that the preemption loses."""


def is_preemptible(
    task: RunningTask, job: JobView, teams: dict[str, TeamView], is_within_quota: bool
) -> bool:
    """Return True if `task` may be preempted for `job`.

    That is a backfilled task of a strictly lower class or, if the job is within its team's
    guaranteed quota, a task of another team that exceeds its own.
    """
    if task.stopping:
        return False
    if task.backfilled and task.rank < job.rank:
        return True
    other_team = teams.get(task.team)
    return (
        is_within_quota
        and task.team != job.team
        and other_team is not None
        and other_team.exceeds_quota
    )


def _makes_room(machine: MachineView, tasks: list[RunningTask], job: JobView) -> bool:
    return (
        machine.cpus + sum(t.cpus for t in tasks) + TOLERANCE >= job.cpus
        and machine.memory_gb + sum(t.memory_gb for t in tasks) + TOLERANCE >= job.memory_gb
        and machine.gpus + sum(t.gpus for t in tasks) + TOLERANCE >= job.gpus
    )


def _preempted_tasks_on(
    machine: MachineView, job: JobView, candidates: list[RunningTask], now: Monotonic
) -> PreemptedTasks | None:
    """Return the tasks to preempt on one machine, shortest run time first.

    Return None if that would not make enough room. Tasks that turn out not to be needed are
    dropped.
    """
    chosen: list[RunningTask] = []
    for task in candidates:
        if _makes_room(machine, chosen, job):
            break
        chosen.append(task)
    if not chosen or not _makes_room(machine, chosen, job):
        return None
    for task in reversed(chosen[:]):
        remaining = [other for other in chosen if other is not task]
        if _makes_room(machine, remaining, job):
            chosen = remaining
    lost_cpu_s = sum(t.cpus * (t.save_s if t.saves else t.ran_s(now)) for t in chosen)
    return PreemptedTasks(machine, chosen, lost_cpu_s)


def choose_preemption(
    job: JobView,
    machines: list[MachineView],
    teams: dict[str, TeamView],
    already_preempted: set[RunningTask],
    is_within_quota: bool,
    now: Monotonic,
) -> PreemptedTasks | None:
    """Return the tasks whose preemption makes room for one task at the least lost work."""
    best: PreemptedTasks | None = None
    for machine in machines:
        if not (is_within_quota or machine.backfilled):
            continue
        if not machine.allows(job) or job.tasks_allowed_in_zone(machine.zone) <= 0:
            continue
        # Outside the guaranteed quota only backfilled tasks may be preempted; most machines have
        # none.
        running = machine.running if is_within_quota else machine.backfilled
        candidates = [
            task
            for task in running
            if task not in already_preempted and is_preemptible(task, job, teams, is_within_quota)
        ]
        if not candidates:
            continue
        candidates.sort(key=lambda task: task.ran_s(now))
        preempted = _preempted_tasks_on(machine, job, candidates, now)
        if preempted is not None and (best is None or preempted.lost_cpu_s < best.lost_cpu_s):
            best = preempted
    return best
