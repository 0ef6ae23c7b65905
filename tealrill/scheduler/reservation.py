"""Room for the head job: where and when its waiting tasks will fit.

The paper's jobs are rigid; an array's tasks are independent, so each gets its own earliest time.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from tealrill.scheduler.model import SLACK, JobView, MachineView
from tealrill.types import Steady


@dataclass(slots=True)
class Window:
    """A machine on which room is reserved from `at` on."""

    at: Steady
    tasks: int
    spare_cpus: float
    spare_gpus: float
    spare_memory_gb: float
    """Room left at `at` beside the reserved tasks."""

    def beside(self, job: JobView) -> bool:
        """Whether a task can stay past `at` without touching the reserved room."""
        return (
            self.spare_cpus >= job.cpus
            and self.spare_gpus >= job.gpus
            and self.spare_memory_gb >= job.memory_gb
        )

    def use_beside(self, job: JobView) -> None:
        self.spare_cpus -= job.cpus
        self.spare_gpus -= job.gpus
        self.spare_memory_gb -= job.memory_gb


Room = tuple[Steady, float, float, float]
"""When it is there, and how much: processors, accelerators, memory."""


def _first_room(job: JobView, machine: MachineView, now: Steady) -> Room | None:
    """The earliest moment at which a task of the job fits, as running tasks end."""
    cpus, gpus, memory = machine.cpus, machine.gpus, machine.memory_gb
    at = max(now, machine.ready_at)
    if machine.fits(job):
        return at, cpus, gpus, memory
    ends = [(now if t.stopping else t.end_at(now), n, t) for n, t in enumerate(machine.running)]
    for end, _, task in sorted(ends):
        cpus, gpus, memory = cpus + task.cpus, gpus + task.gpus, memory + task.memory_gb
        if (
            cpus + SLACK >= job.cpus
            and memory + SLACK >= job.memory_gb
            and gpus + SLACK >= job.gpus
        ):
            return max(at, end), cpus, gpus, memory
    return None


def slots(job: JobView, cpus: float, gpus: float, memory: float) -> int:
    """How many tasks of the job fit into a room."""
    count = job.tasks
    for need, have in ((job.cpus, cpus), (job.gpus, gpus), (job.memory_gb, memory)):
        if need > 0:
            count = min(count, int((have + SLACK) // need))
    return max(0, count)


def reserve(
    job: JobView, machines: list[MachineView], now: Steady, most: int
) -> dict[MachineView, Window]:
    """The earliest room for up to `most` of the job's waiting tasks, one machine after another."""
    options: list[tuple[Steady, int, MachineView, tuple[float, float, float]]] = []
    for number, machine in enumerate(machines):
        if not machine.allows(job) or job.zone_room(machine.zone) <= 0:
            continue
        room = _first_room(job, machine, now)
        if room is not None:
            options.append((room[0], number, machine, room[1:]))
    heapq.heapify(options)
    windows: dict[MachineView, Window] = {}
    left = min(most, job.waiting)
    while left > 0 and options:
        at, _, machine, (cpus, gpus, memory) = heapq.heappop(options)
        tasks = min(left, slots(job, cpus, gpus, memory))
        left -= tasks
        windows[machine] = Window(
            at,
            tasks,
            cpus - tasks * job.cpus,
            gpus - tasks * job.gpus,
            memory - tasks * job.memory_gb,
        )
    return windows
