"""One placement pass: `plan(view, now)`.

In queue order every task that fits is placed. The first job with tasks that fit nowhere is the
reserved job: it gets a reservation, the jobs behind it may backfill the window before that, and
backfilled tasks that occupy capacity which the reserved job could use are preempted.
"""

from __future__ import annotations

import math

from tealrill.scheduler import preemption
from tealrill.scheduler.model import (
    SLACK,
    JobView,
    MachineView,
    Plan,
    Policy,
    Reservation,
    RunningTask,
    Start,
    StopTask,
    View,
)
from tealrill.scheduler.queue import affordable, order
from tealrill.scheduler.reservation import Window, reserve, slots
from tealrill.types import MachineId, Monotonic


class _Pass:
    """One placement pass over a view."""

    def __init__(self, view: View, now: Monotonic, policy: Policy) -> None:
        self.view = view
        self.now = now
        self.policy = policy
        self.plan = Plan()
        self.ready = [m for m in view.machines if m.ready_at <= now]
        self.with_room = self._machines_with_room()
        self._has_filled = False
        """Some of `with_room` are full by now."""
        self.reserved_job: JobView | None = None
        self._windows: dict[MachineView, Window] | None = {}
        self._reserved_tasks = 0
        self.headroom_for_expected = self._compute_headroom_for_expected()

    def _machines_with_room(self) -> list[MachineView]:
        """Return the machines with room for the smallest needs of all waiting jobs.

        Placement only deducts capacity. With a full fleet and a long queue, looking at every
        machine for every job was most of what was left of a pass.
        """
        jobs = self.view.jobs
        self._smallest_needs = (
            min((job.cpus for job in jobs), default=math.inf),
            min((job.memory_gb for job in jobs), default=math.inf),
        )
        return [m for m in self.ready if self._has_room(m)]

    def _has_room(self, machine: MachineView) -> bool:
        cpus, memory_gb = self._smallest_needs
        return machine.has(cpus, 0.0, memory_gb)

    def _compute_headroom_for_expected(self) -> float:
        """Return the processors that expected work could have at once.

        These are the free ones and those of preemptible backfilled tasks.
        """
        expected = self.view.expected
        if expected is None:
            return 0.0
        return sum(
            max(0.0, m.cpus)
            + (sum(t.cpus for t in m.backfilled if t.rank < expected.rank) if m.backfilled else 0)
            for m in self.ready
        )

    def run(self) -> Plan:
        """Return the decisions of the pass."""
        view = self.view
        fleet_cpus = sum(m.size for m in view.machines)
        cheap: dict[float, float] = {}
        for machine in view.machines + view.pending_machines:
            if not machine.is_expensive:
                cheap[machine.size] = cheap.get(machine.size, 0.0) + machine.size
        self.plan.affordable = affordable(view.jobs, self.policy, cheap, view.rank_cpus)
        for job in order(view.jobs, view.teams, self.policy, fleet_cpus, view.rank_cpus):
            within_quota = self._tasks_within_limit(job)
            if within_quota <= 0:
                # Its team is at its limit. Looking for machines all the same, for thousands of jobs
                # on hundreds of machines with room, took a day over 400 s of processor time.
                continue
            placed = self._place(job, within_quota)
            left = within_quota - placed
            if left <= 0:
                continue
            self.plan.unplaced.append((job, left))
            if self.reserved_job is None:
                self._reserve_for(job, left)
        if self.reserved_job is not None:
            self._preempt_for(self.reserved_job)
        return self.plan

    def _tasks_within_limit(self, job: JobView) -> int:
        team = self.view.teams.get(job.team)
        return job.waiting if team is None else team.room(job)

    # -- placing --------------------------------------------------------------------------------

    def _place(self, job: JobView, limit: int) -> int:
        placed = 0
        candidates = self._candidates(job)
        if job.gang and not self._all_fit(job, candidates, limit):
            return 0
        for machine in candidates:
            while placed < limit and self._may_start(job, machine):
                self._start(job, machine)
                placed += 1
            if placed >= limit:
                break
        return placed

    def _all_fit(self, job: JobView, machines: list[MachineView], limit: int) -> bool:
        """Return whether all waiting tasks of a gang may start now.

        A part of a gang would occupy capacity and only wait.
        """
        room: dict[str, int] = {}
        for machine in machines:
            if self._may_start(job, machine) and machine not in self.windows:
                fits = slots(job, machine.cpus, machine.gpus, machine.memory_gb)
                room[machine.zone] = room.get(machine.zone, 0) + fits
        total = sum(min(count, job.tasks_allowed_in_zone(zone)) for zone, count in room.items())
        return limit >= job.waiting and total >= job.waiting

    def _candidates(self, job: JobView) -> list[MachineView]:
        """Return the machines that fit the job, in the order of preference.

        Inexpensive machines first, then small ones, then those with the image, then the fullest.
        Small tasks spread over large machines would fragment them, and only bin packing lets other
        machines become empty and be returned.
        """
        if self._has_filled:
            self._has_filled = False
            self.with_room = [m for m in self.with_room if self._has_room(m)]
        cpus, gpus, memory_gb = job.cpus - SLACK, job.gpus - SLACK, job.memory_gb - SLACK
        fitting = [
            m
            for m in self._usable(job, self.with_room)
            if m.cpus >= cpus and m.memory_gb >= memory_gb and m.gpus >= gpus and m.allows(job)
        ]
        if job.one_zone and not any(job.zone_counts.values()):
            # Of what is not reserved: else it waits for that zone beside the other one.
            fitting = self._best_zone([m for m in fitting if self._may_start(job, m)])
        fitting.sort(
            key=lambda m: (m.is_expensive, m.size, job.image not in m.images, m.cpus, m.id)
        )
        return fitting

    def _usable(self, job: JobView, machines: list[MachineView]) -> list[MachineView]:
        """Exclude expensive machines for jobs that meet their deadline without them.

        No job waits for longer than `any_room_s` beside capacity that it could have.
        """
        if job not in self.plan.affordable or job.waited_s >= self.policy.any_room_s:
            return machines
        return [m for m in machines if not m.is_expensive]

    @staticmethod
    def _best_zone(machines: list[MachineView]) -> list[MachineView]:
        """Return the machines of the zone with the most free processors, for a one-zone job."""
        room: dict[str, float] = {}
        for machine in machines:
            room[machine.zone] = room.get(machine.zone, 0.0) + machine.cpus
        best = max(room, key=lambda zone: room[zone], default=None)
        return [m for m in machines if m.zone == best]

    def _may_start(self, job: JobView, machine: MachineView) -> bool:
        if not machine.fits(job) or job.tasks_allowed_in_zone(machine.zone) <= 0:
            return False
        window = self.windows.get(machine)
        if window is None or self.reserved_job is None:
            return True
        return (
            self._in_time(job, machine, window)
            or window.fits_beside(job)
            # Past the window only strictly lower classes: nothing may stop the others for it.
            or job.rank < self.reserved_job.rank
        )

    def _in_time(self, job: JobView, machine: MachineView, window: Window) -> bool:
        fetch_s = 0.0 if job.image in machine.images else job.image_gb / machine.fetch_gb_per_s
        return self.now + fetch_s + job.estimate_s <= window.at

    def _start(self, job: JobView, machine: MachineView) -> None:
        window = self.windows.get(machine)
        if (
            window is not None
            and not self._in_time(job, machine, window)
            and window.fits_beside(job)
        ):
            window.reserve_beside(job)
        backfilled = self._is_backfilled(job)
        if not backfilled:
            self.headroom_for_expected -= job.cpus
        machine.allocate_task(job)
        if not self._has_room(machine):
            self._has_filled = True
        job.waiting -= 1
        job.zone_counts[machine.zone] = job.zone_counts.get(machine.zone, 0) + 1
        team = self.view.teams.get(job.team)
        if team is not None:
            team.cpus += job.cpus
            team.gpus += job.gpus
        self.plan.starts.append(Start(job.id, machine.id, backfilled))

    def _is_backfilled(self, job: JobView) -> bool:
        """Return whether a task starts ahead of the reserved job or in expected work's capacity.

        The paper reserves for the job that waits. A class whose service-level objective is a few
        seconds has no time to wait, so its capacity is reserved before it comes; lower classes fill
        it and may be preempted.
        """
        if self.reserved_job is not None and job.rank < self.reserved_job.rank:
            return True
        expected = self.view.expected
        return (
            expected is not None
            and job.rank < expected.rank
            and self.headroom_for_expected - job.cpus < expected.cpus
        )

    # -- reservation and preemption -------------------------------------------------------------

    def _reserve_for(self, job: JobView, left: int) -> None:
        self.reserved_job = job
        self.plan.reserved_job = job.id
        self._reserved_tasks = min(left, self.policy.max_reserved_tasks)
        self._windows = None
        self.plan.reserve = self._reservations

    @property
    def windows(self) -> dict[MachineView, Window]:
        """Return the reservations of the reserved job by machine, computed on first use.

        In an overload no job behind the reserved one fits anywhere, and the ends of all running
        tasks were computed in vain. Nothing is placed between the choice of the reserved job and
        the first question, since every start asks: so the result is what it would have been then.
        """
        if self._windows is None:
            assert self.reserved_job is not None
            machines = self._usable(self.reserved_job, self.view.machines)
            self._windows = reserve(self.reserved_job, machines, self.now, self._reserved_tasks)
        return self._windows

    def _reservations(self) -> dict[MachineId, Reservation]:
        return {
            machine.id: Reservation(machine.id, window.at, window.tasks)
            for machine, window in self.windows.items()
        }

    def _is_anything_preemptible(self, reserved_job: JobView, is_within_quota: bool) -> bool:
        """Return whether any task may be preempted; for the lowest class none may."""
        if is_within_quota and any(t.borrows for t in self.view.teams.values()):
            return True
        return any(
            t.rank < reserved_job.rank and not t.stopping
            for m in self.ready
            if m.backfilled
            for t in m.backfilled
        )

    def _preempt_for(self, reserved_job: JobView) -> None:
        """Preempt backfilled tasks, shortest run time first, for the reserved job."""
        team = self.view.teams.get(reserved_job.team)
        is_within_quota = team is not None and team.is_within_quota(reserved_job)
        if not self._is_anything_preemptible(reserved_job, is_within_quota):
            return
        soon = self.now + self.policy.min_preemption_gain_s
        pending_machines = sum(w.tasks for w in self.windows.values() if w.at <= soon)
        wanted = (
            min(self._tasks_within_limit(reserved_job), self.policy.max_reserved_tasks)
            - pending_machines
        )
        backfilled = sum(len(m.backfilled) for m in self.ready)
        budget = max(1, math.ceil(backfilled * self.policy.max_preempted_share))
        taken: set[RunningTask] = set()
        machines = self._usable(reserved_job, self.ready)
        while wanted > 0:
            preempted = preemption.choose(
                reserved_job, machines, self.view.teams, taken, is_within_quota, self.now
            )
            if preempted is None or len(taken) + len(preempted.tasks) > max(
                budget, len(preempted.tasks)
            ):
                return
            taken.update(preempted.tasks)
            for task in preempted.tasks:
                grace_s = task.save_s if task.saves else 0.0
                self.plan.stops.append(StopTask(task.task, reserved_job.id, grace_s))
                preempted.machine.release_task(task)
            preempted.machine.allocate_task(reserved_job)
            wanted -= 1


def plan(view: View, now: Monotonic, policy: Policy) -> Plan:
    """Plan one pass. The capacities and counts of the view are consumed by it."""
    return _Pass(view, now, policy).run()
