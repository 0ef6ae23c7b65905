"""One placement pass: `plan(view, now)`.

In the queue's order every task that fits is placed. The first job with tasks that fit nowhere is
the head: room is reserved for it, the jobs behind it may backfill, and backfilled tasks that hold
room which the head could use are stopped.
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
    def __init__(self, view: View, now: Monotonic, policy: Policy) -> None:
        self.view = view
        self.now = now
        self.policy = policy
        self.plan = Plan()
        self.up = [m for m in view.machines if m.ready_at <= now]
        self.open = self._with_room()
        self._filled = False
        """Some of `open` have no room any more."""
        self.head: JobView | None = None
        self._windows: dict[MachineView, Window] | None = {}
        self._most = 0
        self.for_expected = self._room_for_expected()

    def _with_room(self) -> list[MachineView]:
        """Machines with room for the least that any waiting job needs.

        Placing only takes from rooms. With a full fleet and a long queue, looking at every machine
        for every job was most of what was left of a pass.
        """
        jobs = self.view.jobs
        self._least = (
            min((job.cpus for job in jobs), default=math.inf),
            min((job.memory_gb for job in jobs), default=math.inf),
        )
        return [m for m in self.up if self._has_room(m)]

    def _has_room(self, machine: MachineView) -> bool:
        cpus, memory_gb = self._least
        return machine.has(cpus, 0.0, memory_gb)

    def _room_for_expected(self) -> float:
        """Processors that expected work could have at once: free ones, and stoppable backfill."""
        expected = self.view.expected
        if expected is None:
            return 0.0
        return sum(
            max(0.0, m.cpus)
            + (sum(t.cpus for t in m.backfilled if t.rank < expected.rank) if m.backfilled else 0)
            for m in self.up
        )

    def run(self) -> Plan:
        view = self.view
        fleet_cpus = sum(m.size for m in view.machines)
        cheap: dict[float, float] = {}
        for machine in view.machines + view.coming:
            if not machine.dear:
                cheap[machine.size] = cheap.get(machine.size, 0.0) + machine.size
        self.plan.affordable = affordable(view.jobs, self.policy, cheap, view.rank_cpus)
        for job in order(view.jobs, view.teams, self.policy, fleet_cpus, view.rank_cpus):
            allowed = self._allowed(job)
            if allowed <= 0:
                # Its team is at its limit. Looking for room all the same, for thousands of jobs on
                # hundreds of machines with room, took a day over 400 s of processor time.
                continue
            placed = self._place(job, allowed)
            left = allowed - placed
            if left <= 0:
                continue
            self.plan.unplaced.append((job, left))
            if self.head is None:
                self._make_head(job, left)
        if self.head is not None:
            self._stop_for(self.head)
        return self.plan

    def _allowed(self, job: JobView) -> int:
        team = self.view.teams.get(job.team)
        return job.waiting if team is None else team.room(job)

    # -- placing --------------------------------------------------------------------------------

    def _place(self, job: JobView, most: int) -> int:
        placed = 0
        candidates = self._candidates(job)
        if job.gang and not self._all_fit(job, candidates, most):
            return 0
        for machine in candidates:
            while placed < most and self._may_start(job, machine):
                self._start(job, machine)
                placed += 1
            if placed >= most:
                break
        return placed

    def _all_fit(self, job: JobView, machines: list[MachineView], most: int) -> bool:
        """Whether all waiting tasks of a gang may start now; a part of them would only wait."""
        room: dict[str, int] = {}
        for machine in machines:
            if self._may_start(job, machine) and machine not in self.windows:
                fits = slots(job, machine.cpus, machine.gpus, machine.memory_gb)
                room[machine.zone] = room.get(machine.zone, 0) + fits
        total = sum(min(count, job.zone_room(zone)) for zone, count in room.items())
        return most >= job.waiting and total >= job.waiting

    def _candidates(self, job: JobView) -> list[MachineView]:
        """Cheap machines first, then small ones, with the image, the fullest.

        Small tasks spread over large machines would leave no room in one piece for large tasks,
        and only full machines let others become empty and go back.
        """
        if self._filled:
            self._filled = False
            self.open = [m for m in self.open if self._has_room(m)]
        cpus, gpus, memory_gb = job.cpus - SLACK, job.gpus - SLACK, job.memory_gb - SLACK
        fitting = [
            m
            for m in self._usable(job, self.open)
            if m.cpus >= cpus and m.memory_gb >= memory_gb and m.gpus >= gpus and m.allows(job)
        ]
        if job.one_zone and not any(job.zone_counts.values()):
            # Of what is not kept for the head: else it waits for that zone beside the other one.
            fitting = self._best_zone([m for m in fitting if self._may_start(job, m)])
        fitting.sort(key=lambda m: (m.dear, m.size, job.image not in m.images, m.cpus, m.id))
        return fitting

    def _usable(self, job: JobView, machines: list[MachineView]) -> list[MachineView]:
        """Dear machines are left to jobs that the cheap ones don't bring in by their deadline.

        But nobody waits for long beside room that it could have.
        """
        if job not in self.plan.affordable or job.waited_s >= self.policy.any_room_s:
            return machines
        return [m for m in machines if not m.dear]

    @staticmethod
    def _best_zone(machines: list[MachineView]) -> list[MachineView]:
        """For a job that must stay in one zone: the machines of the zone with the most room."""
        room: dict[str, float] = {}
        for machine in machines:
            room[machine.zone] = room.get(machine.zone, 0.0) + machine.cpus
        best = max(room, key=lambda zone: room[zone], default=None)
        return [m for m in machines if m.zone == best]

    def _may_start(self, job: JobView, machine: MachineView) -> bool:
        if not machine.fits(job) or job.zone_room(machine.zone) <= 0:
            return False
        window = self.windows.get(machine)
        if window is None or self.head is None:
            return True
        return (
            self._in_time(job, machine, window)
            or window.beside(job)
            # Past the window only strictly lower classes: nothing may stop the others for it.
            or job.rank < self.head.rank
        )

    def _in_time(self, job: JobView, machine: MachineView, window: Window) -> bool:
        fetch_s = 0.0 if job.image in machine.images else job.image_gb / machine.fetch_gb_per_s
        return self.now + fetch_s + job.estimate_s <= window.at

    def _start(self, job: JobView, machine: MachineView) -> None:
        window = self.windows.get(machine)
        if window is not None and not self._in_time(job, machine, window) and window.beside(job):
            window.use_beside(job)
        backfilled = self._is_backfill(job)
        if not backfilled:
            self.for_expected -= job.cpus
        machine.take(job)
        if not self._has_room(machine):
            self._filled = True
        job.waiting -= 1
        job.zone_counts[machine.zone] = job.zone_counts.get(machine.zone, 0) + 1
        team = self.view.teams.get(job.team)
        if team is not None:
            team.cpus += job.cpus
            team.gpus += job.gpus
        self.plan.starts.append(Start(job.id, machine.id, backfilled))

    def _is_backfill(self, job: JobView) -> bool:
        """Out of its turn, or in room that is reserved for work expected at any moment.

        The paper reserves for the job that waits. A class with an aim of a few seconds has no time
        to wait, so its room is reserved before it comes; lower classes fill it, and may be stopped.
        """
        if self.head is not None and job.rank < self.head.rank:
            return True
        expected = self.view.expected
        return (
            expected is not None
            and job.rank < expected.rank
            and self.for_expected - job.cpus < expected.cpus
        )

    # -- the head -------------------------------------------------------------------------------

    def _make_head(self, job: JobView, left: int) -> None:
        self.head = job
        self.plan.head = job.id
        self._most = min(left, self.policy.reserved_tasks)
        self._windows = None
        self.plan.reserve = self._reservations

    @property
    def windows(self) -> dict[MachineView, Window]:
        """Where room is reserved for the head; worked out when something depends on it.

        In an overload no job behind the head fits anywhere, and the ends of every running task were
        gone through in vain. Nothing is placed between the choice of the head and the first
        question, since every start asks: so it is what it would have been then.
        """
        if self._windows is None:
            assert self.head is not None
            machines = self._usable(self.head, self.view.machines)
            self._windows = reserve(self.head, machines, self.now, self._most)
        return self._windows

    def _reservations(self) -> dict[MachineId, Reservation]:
        return {
            machine.id: Reservation(machine.id, window.at, window.tasks)
            for machine, window in self.windows.items()
        }

    def _any_stoppable(self, head: JobView, guaranteed: bool) -> bool:
        """Whether anything at all may be stopped for the head: of a lowest class nothing may."""
        if guaranteed and any(t.borrows for t in self.view.teams.values()):
            return True
        return any(
            t.rank < head.rank and not t.stopping
            for m in self.up
            if m.backfilled
            for t in m.backfilled
        )

    def _stop_for(self, head: JobView) -> None:
        """Stops backfilled tasks, least run time first, for room the head can use now."""
        team = self.view.teams.get(head.team)
        guaranteed = team is not None and team.guaranteed(head)
        if not self._any_stoppable(head, guaranteed):
            return
        soon = self.now + self.policy.stop_cost_s
        coming = sum(w.tasks for w in self.windows.values() if w.at <= soon)
        wanted = min(self._allowed(head), self.policy.reserved_tasks) - coming
        backfilled = sum(len(m.backfilled) for m in self.up)
        budget = max(1, math.ceil(backfilled * self.policy.stop_share))
        taken: set[RunningTask] = set()
        machines = self._usable(head, self.up)
        while wanted > 0:
            victims = preemption.choose(
                head, machines, self.view.teams, taken, guaranteed, self.now
            )
            if victims is None or len(taken) + len(victims.tasks) > max(budget, len(victims.tasks)):
                return
            taken.update(victims.tasks)
            for task in victims.tasks:
                grace_s = task.save_s if task.saves else 0.0
                self.plan.stops.append(StopTask(task.task, head.id, grace_s))
                victims.machine.give(task)
            victims.machine.take(head)
            wanted -= 1


def plan(view: View, now: Monotonic, policy: Policy) -> Plan:
    """Plans one pass. The view's rooms and counts are used up by it."""
    return _Pass(view, now, policy).run()
