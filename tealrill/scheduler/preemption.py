"""Which backfilled tasks are stopped for the head job: those that have run the shortest.

From the paper's `duration-consumed` rule: the least work is lost that way. On one machine the
smallest set that makes the room is taken, and of all machines the one where least work is lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from tealrill.scheduler.model import SLACK, JobView, MachineView, RunningTask, TeamView
from tealrill.types import Monotonic


@dataclass(frozen=True, slots=True)
class Victims:
    machine: MachineView
    tasks: list[RunningTask]
    lost: float
    """CPU seconds of work that the stop throws away."""


def stoppable(
    task: RunningTask, job: JobView, teams: dict[str, TeamView], guaranteed: bool
) -> bool:
    """Backfilled work of a strictly lower class; or, within a guarantee, what others borrow."""
    if task.stopping:
        return False
    if task.backfilled and task.rank < job.rank:
        return True
    other = teams.get(task.team)
    return guaranteed and task.team != job.team and other is not None and other.borrows


def _enough(machine: MachineView, tasks: list[RunningTask], job: JobView) -> bool:
    return (
        machine.cpus + sum(t.cpus for t in tasks) + SLACK >= job.cpus
        and machine.memory_gb + sum(t.memory_gb for t in tasks) + SLACK >= job.memory_gb
        and machine.gpus + sum(t.gpus for t in tasks) + SLACK >= job.gpus
    )


def _victims_on(
    machine: MachineView, job: JobView, candidates: list[RunningTask], now: Monotonic
) -> Victims | None:
    """Least run time first until the room is there, less those that turn out not to be needed."""
    chosen: list[RunningTask] = []
    for task in candidates:
        if _enough(machine, chosen, job):
            break
        chosen.append(task)
    if not chosen or not _enough(machine, chosen, job):
        return None
    for task in reversed(chosen[:]):
        rest = [other for other in chosen if other is not task]
        if _enough(machine, rest, job):
            chosen = rest
    lost = sum(t.cpus * (t.save_s if t.saves else t.ran_s(now)) for t in chosen)
    return Victims(machine, chosen, lost)


def choose(
    job: JobView,
    machines: list[MachineView],
    teams: dict[str, TeamView],
    taken: set[RunningTask],
    guaranteed: bool,
    now: Monotonic,
) -> Victims | None:
    """The victims whose stop makes room for one task of the job at the least loss."""
    best: Victims | None = None
    for machine in machines:
        if not (guaranteed or machine.backfilled):
            continue
        if not machine.allows(job) or job.zone_room(machine.zone) <= 0:
            continue
        # Without a guarantee only backfilled work may be stopped; most machines have none.
        running = machine.running if guaranteed else machine.backfilled
        candidates = [
            task
            for task in running
            if task not in taken and stoppable(task, job, teams, guaranteed)
        ]
        if not candidates:
            continue
        candidates.sort(key=lambda task: task.ran_s(now))
        victims = _victims_on(machine, job, candidates, now)
        if victims is not None and (best is None or victims.lost < best.lost):
            best = victims
    return best
