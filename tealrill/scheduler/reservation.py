"""Reservations: where and when the waiting tasks of the reserved job will fit.

The paper's jobs are rigid. The tasks of an array are independent, so each gets its own earliest
time.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

from tealrill.scheduler.model import TOLERANCE, JobView, MachineView, expected_ends
from tealrill.types import Monotonic


@dataclass(slots=True)
class Window:
    """A reservation on one machine from `at` on; the time before it is the backfill window."""

    at: Monotonic
    tasks: int
    spare_cpus: float
    spare_gpus: float
    spare_memory_gb: float
    """Capacity left at `at` beside the reserved tasks."""

    def fits_beside(self, job: JobView) -> bool:
        """Return True if a task can run past `at` without using reserved capacity."""
        return (
            self.spare_cpus >= job.cpus
            and self.spare_gpus >= job.gpus
            and self.spare_memory_gb >= job.memory_gb
        )

    def reserve_beside(self, job: JobView) -> None:
        """Deduct one task of the job from the spare capacity."""
        self.spare_cpus -= job.cpus
        self.spare_gpus -= job.gpus
        self.spare_memory_gb -= job.memory_gb


Fit = tuple[Monotonic, float, float, float]
"""When a task first fits, and the capacity then: processors, GPUs, memory in GB."""


def earliest_fit(
    job: JobView, machine: MachineView, now: Monotonic, before: Monotonic
) -> Fit | None:
    """Return when a task of the job first fits as running tasks end, and the capacity then.

    None if it never does, or certainly only after `before`.
    """
    cpus, gpus, memory = machine.cpus, machine.gpus, machine.memory_gb
    at = max(now, machine.ready_at)
    if at > before:
        return None
    if machine.fits(job):
        return at, cpus, gpus, memory
    ends = [(end, n) for n, end in enumerate(expected_ends(machine.running, now)) if end <= before]
    ends.sort()
    for end, number in ends:
        task = machine.running[number]
        cpus, gpus, memory = cpus + task.cpus, gpus + task.gpus, memory + task.memory_gb
        if (
            cpus + TOLERANCE >= job.cpus
            and memory + TOLERANCE >= job.memory_gb
            and gpus + TOLERANCE >= job.gpus
        ):
            return max(at, end), cpus, gpus, memory
    return None


RankedFit = tuple[Monotonic, int, MachineView, tuple[float, float, float]]
"""When a task first fits, the rank among equals, the machine, and the capacity then."""


def slots(job: JobView, cpus: float, gpus: float, memory: float) -> int:
    """Return how many tasks of the job fit into the given capacity."""
    count = job.tasks
    for need, have in ((job.cpus, cpus), (job.gpus, gpus), (job.memory_gb, memory)):
        if need > 0:
            count = min(count, int((have + TOLERANCE) // need))
    return max(0, count)


def reserve(
    job: JobView, machines: list[MachineView], now: Monotonic, limit: int
) -> dict[MachineView, Window]:
    """Reserve the earliest capacity for up to `limit` of the job's waiting tasks.

    Every machine that fits takes at least one task. So once there are as many machines as tasks, a
    machine whose capacity becomes free later than theirs is not examined further. (Computing and
    sorting the ends of all tasks took a fifth of a pass over a full fleet.)
    """
    wanted = min(limit, job.waiting)
    if wanted <= 0:
        return {}
    fits: list[RankedFit] = []
    latest_starts: dict[str, list[float]] = {}
    """Heaps of the earliest moments so far, at most one per task, negated so that the latest is on
    top. One for all machines, or one per zone if the zones limit how many tasks each may take."""
    for number, machine in enumerate(machines):
        if not machine.allows(job) or job.tasks_allowed_in_zone(machine.zone) <= 0:
            continue
        latest = latest_starts.setdefault(machine.zone if job.has_zone_rules else "", [])
        before = Monotonic(-latest[0] if len(latest) == wanted else math.inf)
        fit = earliest_fit(job, machine, now, before)
        if fit is None:
            continue
        fits.append((fit[0], number, machine, fit[1:]))
        if len(latest) < wanted:
            heapq.heappush(latest, -fit[0])
        else:
            heapq.heappushpop(latest, -fit[0])
    return windows(job, fits, wanted)


def windows(
    job: JobView,
    fits: list[RankedFit],
    limit: int,
) -> dict[MachineView, Window]:
    """Return reservations on the earliest machines until `limit` tasks are covered.

    No zone gets more of them than the job's zone rules allow. A gang without bound tasks that must
    stay in one zone gets all of them in the zone that covers the most tasks, the earliest of these.
    (The tasks of an array start one by one, and the first of them decides on the zone.)
    """
    fits.sort()
    if not (job.gang and job.one_zone) or any(job.zone_counts.values()):
        return _earliest_windows(job, fits, limit)
    by_zone = [
        _earliest_windows(job, [fit for fit in fits if fit[2].zone == zone], limit)
        for zone in sorted({fit[2].zone for fit in fits})
    ]

    def rank(reserved: dict[MachineView, Window]) -> tuple[int, float]:
        tasks = sum(window.tasks for window in reserved.values())
        return tasks, -max(window.at for window in reserved.values())

    return max(by_zone, key=rank, default={})


def _earliest_windows(job: JobView, fits: list[RankedFit], limit: int) -> dict[MachineView, Window]:
    """Return reservations on the machines of `fits`, in this order and as the zone rules allow."""
    reserved: dict[MachineView, Window] = {}
    tasks_by_zone: dict[str, int] = {}
    left = limit
    for at, _, machine, (cpus, gpus, memory) in fits:
        if left <= 0:
            break
        in_zone = tasks_by_zone.get(machine.zone, 0)
        allowed = min(left, job.tasks_allowed_in_zone(machine.zone) - in_zone)
        tasks = min(allowed, slots(job, cpus, gpus, memory))
        if tasks <= 0:
            continue
        left -= tasks
        tasks_by_zone[machine.zone] = in_zone + tasks
        reserved[machine] = Window(
            at,
            tasks,
            cpus - tasks * job.cpus,
            gpus - tasks * job.gpus,
            memory - tasks * job.memory_gb,
        )
    return reserved
