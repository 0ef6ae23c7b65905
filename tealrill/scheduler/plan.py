"""One placement pass: `plan(view, now)`.

In queue order, every task that fits is placed. The first job with tasks that fit nowhere becomes
the reserved job: it gets a reservation, the jobs behind it may backfill the window before that, and
backfilled tasks are preempted if they occupy capacity that the reserved job could use.
"""

from __future__ import annotations

import math
from collections import Counter

from tealrill.scheduler import preemption
from tealrill.scheduler.model import (
    TOLERANCE,
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
        self._has_full_machines = False
        """Some machines of `with_room` are full by now."""
        self.reserved_job: JobView | None = None
        self._windows: dict[MachineView, Window] | None = {}
        self._reserved_tasks = 0
        self.headroom_for_expected = self._compute_headroom_for_expected()

    def _machines_with_room(self) -> list[MachineView]:
        """Return the machines with room for the smallest needs of all waiting jobs.

        Placement only deducts capacity, so other machines can't fit any job in this pass. With a
        full fleet and a long queue, examining every machine for every job was a large part of a
        pass.
        """
        jobs = self.view.jobs
        self._smallest_needs = (
            min((job.cpus for job in jobs), default=math.inf),
            min((job.memory_gb for job in jobs), default=math.inf),
        )
        return [m for m in self.ready if self._has_room(m)]

    def _has_room(self, machine: MachineView) -> bool:
        cpus, memory_gb = self._smallest_needs
        return machine.has_capacity(cpus, 0.0, memory_gb)

    def _compute_headroom_for_expected(self) -> float:
        """Return the processors that expected work could get at once.

        These are the free ones and those of backfilled tasks that may be preempted for it.
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
        inexpensive_cpus: dict[float, float] = {}
        for machine in view.machines + view.pending_machines:
            if not machine.is_expensive:
                inexpensive_cpus[machine.size] = (
                    inexpensive_cpus.get(machine.size, 0.0) + machine.size
                )
        self.plan.affordable = affordable(view.jobs, self.policy, inexpensive_cpus, view.rank_cpus)
        for job in order(view.jobs, view.teams, self.policy, fleet_cpus, view.rank_cpus):
            allowed = self._tasks_within_limit(job)
            if allowed <= 0:
                # Its team is at its limit. Looking for machines all the same, for thousands of jobs
                # on hundreds of machines with room, took over 400 s of processor time in a day.
                continue
            placed = self._place(job, allowed)
            left = allowed - placed
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
        return job.waiting if team is None else team.tasks_within_limit(job)

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
        """Return True if all waiting tasks of a gang may start now.

        Starting only some of them would occupy capacity without any progress.
        """
        slots_by_zone: dict[str, int] = {}
        for machine in machines:
            if self._may_start(job, machine) and machine not in self.windows:
                fits = slots(job, machine.cpus, machine.gpus, machine.memory_gb)
                slots_by_zone[machine.zone] = slots_by_zone.get(machine.zone, 0) + fits
        total = sum(
            min(count, job.tasks_allowed_in_zone(zone)) for zone, count in slots_by_zone.items()
        )
        return limit >= job.waiting and total >= job.waiting

    def _candidates(self, job: JobView) -> list[MachineView]:
        """Return the machines that fit the job, in the order of preference.

        Inexpensive machines first, then small ones, then those with the image, then the fullest
        (bin packing). Small tasks spread over large machines would fragment them, and only bin
        packing lets other machines become empty, so that they can be released.
        """
        if self._has_full_machines:
            self._has_full_machines = False
            self.with_room = [m for m in self.with_room if self._has_room(m)]
        cpus, gpus, memory_gb = (
            job.cpus - TOLERANCE,
            job.gpus - TOLERANCE,
            job.memory_gb - TOLERANCE,
        )
        fitting = [
            m
            for m in self._usable(job, self.with_room)
            if m.cpus >= cpus and m.memory_gb >= memory_gb and m.gpus >= gpus and m.allows(job)
        ]
        if job.one_zone and not any(job.zone_counts.values()):
            # Only machines whose capacity is not reserved count: otherwise the job might be bound
            # to a zone where it has to wait, although it could start in the other one.
            fitting = self._best_zone(job, [m for m in fitting if self._may_start(job, m)])
        fitting.sort(
            key=lambda m: (m.is_expensive, m.size, job.image not in m.images, m.cpus, m.id)
        )
        return fitting

    def _usable(self, job: JobView, machines: list[MachineView]) -> list[MachineView]:
        """Return the machines that the job may use, considering their price.

        A job that meets its deadline without expensive machines may not use them. It may once it
        has waited for `inexpensive_only_s`, so that no job waits for longer beside free capacity
        that fits it.
        """
        if job not in self.plan.affordable or job.waited_s >= self.policy.inexpensive_only_s:
            return machines
        return [m for m in machines if not m.is_expensive]

    def _best_zone(self, job: JobView, machines: list[MachineView]) -> list[MachineView]:
        """Return the machines of the zone with the most free processors, for a one-zone job.

        For a gang, which starts only if all of it fits, that is the zone that fits the most tasks.
        """
        capacity_by_zone: dict[str, tuple[int, float]] = {}
        for machine in machines:
            tasks, cpus = capacity_by_zone.get(machine.zone, (0, 0.0))
            if job.gang and machine not in self.windows:
                tasks += slots(job, machine.cpus, machine.gpus, machine.memory_gb)
            capacity_by_zone[machine.zone] = tasks, cpus + machine.cpus
        best = max(capacity_by_zone, key=lambda zone: capacity_by_zone[zone], default=None)
        return [m for m in machines if m.zone == best]

    def _may_start(self, job: JobView, machine: MachineView) -> bool:
        if not machine.fits(job) or job.tasks_allowed_in_zone(machine.zone) <= 0:
            return False
        window = self.windows.get(machine)
        if window is None or self.reserved_job is None:
            return True
        return (
            self._ends_before_window(job, machine, window)
            or window.fits_beside(job)
            # Past the window only strictly lower classes may run: tasks of other classes could not
            # be preempted for the reserved job.
            or job.rank < self.reserved_job.rank
        )

    def _ends_before_window(self, job: JobView, machine: MachineView, window: Window) -> bool:
        fetch_s = 0.0 if job.image in machine.images else job.image_gb / machine.fetch_gb_per_s
        return self.now + fetch_s + job.estimate_s <= window.at

    def _start(self, job: JobView, machine: MachineView) -> None:
        window = self.windows.get(machine)
        if (
            window is not None
            and not self._ends_before_window(job, machine, window)
            and window.fits_beside(job)
        ):
            window.reserve_beside(job)
        backfilled = self._is_backfilled(job)
        if not backfilled:
            self.headroom_for_expected -= job.cpus
        machine.allocate_task(job)
        if not self._has_room(machine):
            self._has_full_machines = True
        job.waiting -= 1
        job.zone_counts[machine.zone] = job.zone_counts.get(machine.zone, 0) + 1
        team = self.view.teams.get(job.team)
        if team is not None:
            team.cpus += job.cpus
            team.gpus += job.gpus
        self.plan.starts.append(Start(job.id, machine.id, backfilled))

    def _is_backfilled(self, job: JobView) -> bool:
        """Return True if a task starts ahead of the reserved job or on capacity for expected work.

        The paper makes a reservation for a job that waits. A class whose service-level objective is
        a few seconds can't wait, so capacity for it is kept before its jobs arrive: lower classes
        may use it, and their tasks may be preempted.
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

        In an overload no job behind the reserved one fits anywhere, and computing the ends of all
        running tasks would be wasted. Computing them later gives the same result: every start asks
        for the windows first, so nothing is placed between the choice of the reserved job and the
        first use.
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
        """Return True if any task may be preempted for the reserved job.

        This saves the search for a job of the lowest class, for which usually none may be.
        """
        if is_within_quota and any(t.exceeds_quota for t in self.view.teams.values()):
            return True
        return any(
            t.rank < reserved_job.rank and not t.stopping
            for m in self.ready
            if m.backfilled
            for t in m.backfilled
        )

    def _preempt_for(self, reserved_job: JobView) -> None:
        """Preempt backfilled tasks for the reserved job, those with the shortest run time first."""
        team = self.view.teams.get(reserved_job.team)
        is_within_quota = team is not None and team.is_within_quota(reserved_job)
        if not self._is_anything_preemptible(reserved_job, is_within_quota):
            return
        soon_at = self.now + self.policy.min_preemption_gain_s
        soon_by_zone: Counter[str] = Counter()
        for machine, window in self.windows.items():
            if window.at <= soon_at:
                soon_by_zone[machine.zone] += window.tasks
        available_soon = soon_by_zone.total()
        still_needed = (
            min(self._tasks_within_limit(reserved_job), self.policy.max_reserved_tasks)
            - available_soon
        )
        backfilled = sum(len(m.backfilled) for m in self.ready)
        budget = max(1, math.ceil(backfilled * self.policy.max_preempted_share))
        already_preempted: set[RunningTask] = set()
        machines = self._usable(reserved_job, self.ready)
        while still_needed > 0:
            preempted = preemption.choose_preemption(
                reserved_job,
                [m for m in machines if _may_take_another(reserved_job, m.zone, soon_by_zone)]
                if reserved_job.has_zone_rules
                else machines,
                self.view.teams,
                already_preempted,
                is_within_quota,
                self.now,
            )
            if preempted is None or len(already_preempted) + len(preempted.tasks) > max(
                budget, len(preempted.tasks)
            ):
                return
            already_preempted.update(preempted.tasks)
            for task in preempted.tasks:
                grace_s = task.save_s if task.saves else 0.0
                self.plan.stops.append(StopTask(task.task, reserved_job.id, grace_s))
                preempted.machine.release_task(task)
            preempted.machine.allocate_task(reserved_job)
            soon_by_zone[preempted.machine.zone] += 1
            still_needed -= 1


def _may_take_another(job: JobView, zone: str, soon_by_zone: Counter[str]) -> bool:
    """Return True if the zone rules allow a task more than those that can start soon by zone."""
    if job.one_zone and any(n for other, n in soon_by_zone.items() if other != zone):
        return False
    return job.tasks_allowed_in_zone(zone) > soon_by_zone[zone]


def plan(view: View, now: Monotonic, policy: Policy) -> Plan:
    """Plan one pass. It consumes the view: its capacities and counts are changed."""
    return _Pass(view, now, policy).run()
