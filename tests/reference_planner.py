"""Reference implementation of the planner, with which tests compare the optimized one.

It evaluates everything eagerly and in full. The decisions of a pass are defined here;
`tealrill/scheduler/` must make the same decisions with less work.
"""

from __future__ import annotations

import math
from collections.abc import Container

from tealrill.scheduler.capacity import Kind, Offer, Rental, _cpu_share
from tealrill.scheduler.model import (
    TOLERANCE,
    JobView,
    MachineView,
    Plan,
    Policy,
    Reservation,
    RunningTask,
    StopTask,
    TeamView,
    View,
)
from tealrill.scheduler.plan import _Pass
from tealrill.scheduler.preemption import PreemptedTasks, _preempted_tasks_on, is_preemptible
from tealrill.scheduler.reservation import Window, windows
from tealrill.types import Monotonic


def end_at(task: RunningTask, now: Monotonic) -> Monotonic:
    run_s = task.owner_estimate_s * task.correction.ratio
    if task.stopping:
        return now
    if task.started_at is None:
        return Monotonic(now + run_s)
    return Monotonic(max(task.started_at + run_s, now + min(5.0, 0.25 * (now - task.started_at))))


# -- placement ------------------------------------------------------------------------------------


class ReferencePass(_Pass):
    """A pass that computes reservations eagerly and considers every machine."""

    def _has_room(self, machine: MachineView) -> bool:
        return True

    def _compute_headroom_for_expected(self) -> float:
        expected = self.view.expected
        if expected is None:
            return 0.0
        return sum(
            max(0.0, m.cpus)
            + sum(t.cpus for t in m.running if t.backfilled and t.rank < expected.rank)
            for m in self.ready
        )

    def _reserve_for(self, job: JobView, left: int) -> None:
        super()._reserve_for(job, left)
        machines = self._usable(job, self.view.machines)
        self._windows = reserve(job, machines, self.now, min(left, self.policy.max_reserved_tasks))
        reservations = {
            m.id: Reservation(m.id, window.at, window.tasks) for m, window in self._windows.items()
        }
        self.plan.reserve = lambda: reservations

    def _preempt_for(self, reserved_job: JobView) -> None:
        team = self.view.teams.get(reserved_job.team)
        is_within_quota = team is not None and team.is_within_quota(reserved_job)
        soon = self.now + self.policy.min_preemption_gain_s
        soon_windows = [(m.zone, w.tasks) for m, w in self.windows.items() if w.at <= soon]
        upcoming_tasks = sum(tasks for _, tasks in soon_windows)
        wanted = (
            min(self._tasks_within_limit(reserved_job), self.policy.max_reserved_tasks)
            - upcoming_tasks
        )
        backfilled = sum(t.backfilled for m in self.ready for t in m.running)
        budget = max(1, math.ceil(backfilled * self.policy.max_preempted_share))
        already_preempted: set[RunningTask] = set()
        machines = self._usable(reserved_job, self.ready)
        while wanted > 0:
            zones = [zone for zone, tasks in soon_windows for _ in range(tasks)]
            preempted = choose_preemption(
                reserved_job,
                [
                    m
                    for m in machines
                    if reserved_job.tasks_allowed_in_zone(m.zone) > zones.count(m.zone)
                    and not (reserved_job.one_zone and set(zones) - {m.zone})
                ],
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
            soon_windows.append((preempted.machine.zone, 1))
            wanted -= 1


def plan(view: View, now: Monotonic, policy: Policy) -> Plan:
    return ReferencePass(view, now, policy).run()


def reserve(
    job: JobView, machines: list[MachineView], now: Monotonic, limit: int
) -> dict[MachineView, Window]:
    fits = []
    for number, machine in enumerate(machines):
        if not machine.allows(job) or job.tasks_allowed_in_zone(machine.zone) <= 0:
            continue
        fit = _earliest_fit(job, machine, now)
        if fit is not None:
            fits.append((fit[0], number, machine, fit[1:]))
    return windows(job, fits, min(limit, job.waiting))


def _earliest_fit(
    job: JobView, machine: MachineView, now: Monotonic
) -> tuple[Monotonic, float, float, float] | None:
    cpus, gpus, memory = machine.cpus, machine.gpus, machine.memory_gb
    at = max(now, machine.ready_at)
    if machine.fits(job):
        return at, cpus, gpus, memory
    for end, _, task in sorted((end_at(t, now), n, t) for n, t in enumerate(machine.running)):
        cpus, gpus, memory = cpus + task.cpus, gpus + task.gpus, memory + task.memory_gb
        if (
            cpus + TOLERANCE >= job.cpus
            and memory + TOLERANCE >= job.memory_gb
            and gpus + TOLERANCE >= job.gpus
        ):
            return max(at, end), cpus, gpus, memory
    return None


def choose_preemption(
    job: JobView,
    machines: list[MachineView],
    teams: dict[str, TeamView],
    already_preempted: set[RunningTask],
    is_within_quota: bool,
    now: Monotonic,
) -> PreemptedTasks | None:
    best: PreemptedTasks | None = None
    for machine in machines:
        if not machine.allows(job) or job.tasks_allowed_in_zone(machine.zone) <= 0:
            continue
        candidates = [
            t
            for t in machine.running
            if t not in already_preempted and is_preemptible(t, job, teams, is_within_quota)
        ]
        candidates.sort(key=lambda task: task.ran_s(now))
        preempted = _preempted_tasks_on(machine, job, candidates, now)
        if preempted is not None and (best is None or preempted.lost_cpu_s < best.lost_cpu_s):
            best = preempted
    return best


# -- rental ---------------------------------------------------------------------------------------


class _Capacity:
    def __init__(self, kind: Kind, free: list[tuple[Monotonic, float]]) -> None:
        self.kind = kind
        self.free = free
        self.used_cpu_s = 0.0

    def copy(self) -> _Capacity:
        copied = _Capacity(self.kind, self.free)
        copied.used_cpu_s = self.used_cpu_s
        return copied

    def allocate(self, need: float, run_s: float, limit: int, until: Monotonic) -> int:
        supply = 0.0
        for at, cpus in self.free:
            if at <= until:
                supply += cpus * (1 + (until - at) // run_s)
        allocated = min(limit, max(0, int((supply - self.used_cpu_s / run_s + 1e-6) // need)))
        self.used_cpu_s += allocated * need * run_s
        return allocated


def _allocate(
    job: JobView,
    limit: int,
    capacities: list[_Capacity],
    sizes: dict[str, Offer],
    until: Monotonic,
    run_s: float,
    allowed: dict[str, int] | None,
) -> int:
    """Allocate up to `limit` tasks.

    `allowed` has the number that each zone may still take; None for a job without zone rules.
    """
    if allowed is None:
        return _allocate_in_order(job, limit, capacities, sizes, until, run_s)
    left = limit
    for zone in sorted(allowed):
        for capacity in capacities:
            if capacity.kind[1] != zone or not job.may_use(*capacity.kind):
                continue
            possible = min(left, allowed[zone])
            if possible <= 0:
                continue
            need = _cpu_share(job, sizes[capacity.kind[0]])
            count = capacity.allocate(need, run_s, possible, until) if need > 0 else possible
            left -= count
            allowed[zone] -= count
            if count and job.one_zone:
                allowed.update((other, 0) for other in allowed if other != zone)
    return limit - left


def _allocate_in_order(
    job: JobView,
    limit: int,
    capacities: list[_Capacity],
    sizes: dict[str, Offer],
    until: Monotonic,
    run_s: float,
) -> int:
    """Allocate up to `limit` tasks of a job without zone rules, in the order of the machines."""
    left = limit
    for capacity in capacities:
        if left > 0 and job.may_use(*capacity.kind):
            need = _cpu_share(job, sizes[capacity.kind[0]])
            left -= capacity.allocate(need, run_s, left, until) if need > 0 else left
    return limit - left


def _run_s(job: JobView, capacities: list[_Capacity], until: Monotonic) -> float:
    """Return the run time to assume: no processor serves two tasks of a gang by `until`."""
    run_s = max(1.0, job.estimate_s)
    if job.gang:
        earliest = min((at for c in capacities for at, _ in c.free), default=until)
        run_s = max(run_s, until - earliest + 1e-4)
    return run_s


def _zone_limits(
    job: JobView,
    waiting: int,
    zones: set[str],
    rentable: set[str],
    capacities: list[_Capacity],
    sizes: dict[str, Offer],
    until: Monotonic,
) -> dict[str, int]:
    """Return how many of the waiting tasks each zone may take."""
    allowed = {zone: max(0, job.tasks_allowed_in_zone(zone)) for zone in zones}
    if job.one_zone and not any(job.zone_counts.values()):
        run_s = _run_s(job, capacities, until)
        ranks = {}
        for zone in zones:
            trial = [c.copy() for c in capacities if c.kind[1] == zone]
            fitting = _allocate(job, waiting, trial, sizes, until, run_s, {zone: waiting})
            may_start = not job.gang or fitting >= waiting or zone in rentable
            ranks[zone] = (may_start, fitting, zone in rentable)
        allowed = {zone: waiting if ranks[zone] == max(ranks.values()) else 0 for zone in zones}
    return allowed


def _price(job: JobView, left: int, offer: Offer) -> float:
    slots = offer.slots(job)
    return offer.price / slots * (1 + 0.5 * max(0, slots - left) / slots)


def _choose(
    job: JobView, left: int, offers: list[Offer], machines: dict[tuple[str, str], int]
) -> Offer | None:
    if not offers:
        return None
    lowest = min(_price(job, left, o) for o in offers)
    near = [o for o in offers if _price(job, left, o) <= 1.2 * lowest]
    return min(near, key=lambda o: (o.cpus, machines.get((o.type, o.zone), 0), o.type, o.zone))


def rentals(
    unplaced: list[tuple[JobView, int]],
    machines: list[MachineView],
    catalogue: list[Offer],
    available: list[Offer],
    now: Monotonic,
    policy: Policy,
    affordable: Container[JobView] = (),
) -> list[Rental]:
    if not available:
        return []
    sizes = {offer.type: offer for offer in catalogue}
    capacities = []
    counts: dict[tuple[str, str], int] = {}
    for machine in machines:
        if machine.type in sizes:
            free = [(max(now, machine.ready_at), max(0.0, machine.cpus))]
            free += [(end_at(t, now), t.cpus) for t in machine.running]
            capacities.append(_Capacity((machine.type, machine.zone, machine.spot), free))
        where = (machine.type, machine.zone)
        counts[where] = counts.get(where, 0) + 1
    wanted: dict[Offer, int] = {}
    zones = {zone for _, zone, _ in (c.kind for c in capacities)} | {o.zone for o in catalogue}
    for job, waiting in unplaced:
        fitting = [
            o
            for o in catalogue
            if o.allows(job) and o.slots(job) > 0 and job.tasks_allowed_in_zone(o.zone) > 0
        ]
        if not fitting:
            continue
        lowest = min(_price(job, waiting, o) for o in fitting)
        ready = [o for o in fitting if o in available]
        cheap = [o for o in ready if _price(job, waiting, o) <= policy.expensive_ratio * lowest]
        wait_s = min(o.boot_s for o in fitting)
        if not cheap and job in affordable:
            wait_s = max(wait_s, job.latest_start_s[0])
            ready = []
        until = Monotonic(now + wait_s)
        rentable = {o.zone for o in cheap or ready}
        allowed = (
            _zone_limits(job, waiting, zones, rentable, capacities, sizes, until)
            if job.one_zone or job.spread
            else None
        )
        run_s = _run_s(job, capacities, until)
        left = waiting - _allocate(job, waiting, capacities, sizes, until, run_s, allowed)
        while left > 0:
            offers = cheap or ready
            if allowed is not None:
                offers = [o for o in cheap if allowed[o.zone] > 0]
                offers = offers or [o for o in ready if allowed[o.zone] > 0]
            offer = _choose(job, left, offers, counts)
            if offer is None:
                break
            capacity = _Capacity(offer.kind, [(Monotonic(now + offer.boot_s), offer.cpus)])
            until = Monotonic(now + max(wait_s, offer.boot_s))
            run_s = _run_s(job, [*capacities, capacity], until)
            allocated = _allocate(job, left, [capacity], sizes, until, run_s, allowed)
            if allocated <= 0:
                break
            left -= allocated
            capacities.append(capacity)
            wanted[offer] = wanted.get(offer, 0) + 1
            where = (offer.type, offer.zone)
            counts[where] = counts.get(where, 0) + 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in wanted.items()]
