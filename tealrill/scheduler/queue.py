"""The order of the queue.

Urgency class first, raised by one for every `aging_s` of waiting without bound. So nothing starves,
and a task that is preempted again and again becomes the reserved job in time.

Within a level (not in the paper, which has no deadlines), the jobs that the fleet can finish by
their deadline go first, in the order of their latest start. When it can't finish all of them, the
jobs with the most work left are passed over until the rest fits. This is Moore and Hodgson's rule,
which minimizes the number of late jobs. With an order by slack alone, an overload makes every job a
little late, because the capacity goes to jobs for which it is already too late.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Iterator

from tealrill.scheduler.model import JobView, Policy, TeamView


def level(job: JobView, policy: Policy) -> int:
    """Return the job's urgency class, raised by one per `aging_s` of waiting."""
    return job.rank + math.floor(max(0.0, job.waited_s) / policy.aging_s)


def order(
    jobs: list[JobView],
    teams: dict[str, TeamView],
    policy: Policy,
    fleet_cpus: float = math.inf,
    rank_cpus: dict[int, float] | None = None,
) -> list[JobView]:
    """Return the jobs in queue order.

    Jobs within their team's guaranteed quota come first, then higher levels, then jobs that can
    meet a deadline. `rank_cpus` are the processors that each class uses now: what higher classes
    use is assumed to pass to the next job of their class.
    """
    sort_keys: dict[JobView, tuple[int, int, float]] = {}
    for level_number, peers, cpus_of_higher, ahead_cpu_s in _levels(jobs, policy, rank_cpus or {}):
        cpus = max(fleet_cpus - cpus_of_higher, 0.05 * fleet_cpus, 1e-6)
        sort_keys.update(_level_order(peers, -level_number, cpus, ahead_cpu_s))
        starving = _starving_job(peers, policy)
        if starving is not None:
            sort_keys[starving] = (-level_number, -1, 0.0)

    def key(job: JobView) -> tuple[int, tuple[int, int, float], float, str]:
        team = teams.get(job.team)
        is_within_quota = team is not None and team.is_within_quota(job)
        return (0 if is_within_quota else 1, sort_keys[job], -job.waited_s, job.id)

    ordered = sorted(jobs, key=key)
    if any(job.graph for job in jobs):
        _order_by_critical_path(ordered, lambda job: key(job)[:2])
    return ordered


def _starving_job(jobs: list[JobView], policy: Policy) -> JobView | None:
    """Return the job that the starvation guard puts before its peers, or None.

    In an overload the jobs with the most work left are passed over in every pass, so the largest
    would never begin. (Not in the paper, where priority rises with waiting.) One job at a time goes
    first, and only until its first task is placed: its peers lose the capacity of one pass.
    """
    starving = [j for j in jobs if not j.has_started and j.waited_s >= policy.starvation_guard_s]
    return max(starving, key=lambda j: (j.waited_s, j.id), default=None)


def _order_by_critical_path(
    ordered: list[JobView], rank: Callable[[JobView], tuple[object, ...]]
) -> None:
    """Order a graph's otherwise equal nodes by the longest path behind them.

    (Not in the paper, whose jobs don't depend on each other.) Nodes only change places with each
    other, so that a graph has no advantage over plain jobs.
    """
    groups: dict[tuple[object, ...], list[int]] = {}
    for place, job in enumerate(ordered):
        if job.graph:
            groups.setdefault((job.graph, job.team, job.rank, *rank(job)), []).append(place)
    for places in groups.values():
        if len(places) > 1:
            by_path = sorted((ordered[at] for at in places), key=lambda job: -job.tail_s)
            for place, job in zip(places, by_path, strict=True):
                ordered[place] = job


def _levels(
    jobs: list[JobView], policy: Policy, rank_cpus: dict[int, float]
) -> Iterator[tuple[int, list[JobView], float, float]]:
    """Yield per level, highest first: number, jobs, processors of higher classes, work ahead.

    The work ahead is that of all jobs of higher levels, in processor seconds.
    """
    levels: dict[int, list[JobView]] = {}
    for job in jobs:
        levels.setdefault(level(job, policy), []).append(job)
    ahead_cpu_s = 0.0
    for level_number in sorted(levels, reverse=True):
        cpus_of_higher = sum(cpus for rank, cpus in rank_cpus.items() if rank > level_number)
        yield level_number, levels[level_number], cpus_of_higher, ahead_cpu_s
        ahead_cpu_s += sum(_work_cpu_s(job) for job in levels[level_number])


def affordable(
    jobs: list[JobView],
    policy: Policy,
    inexpensive_cpus: dict[float, float],
    rank_cpus: dict[int, float],
) -> set[JobView]:
    """Return the jobs that the inexpensive machines finish by their first deadline.

    `inexpensive_cpus` maps the size of a machine to the processors of all inexpensive machines of
    that size: tasks that fit only large machines must find their capacity on those alone. There is
    an allowance for run times beyond the estimate, and for capacity lost to fragmentation.
    """
    sizes = sorted(inexpensive_cpus)
    affordable_jobs = set(jobs)
    for smallest in [0.0, *sizes[:-1]]:
        # First all jobs on all machines, then the jobs too large for the smaller machines on the
        # others.
        larger = [job for job in jobs if job.cpus > smallest or not smallest]
        if larger:
            cpus_of_larger = sum(cpus for size, cpus in inexpensive_cpus.items() if size > smallest)
            finishable = _finishable_inexpensively(
                larger, policy, cpus_of_larger, rank_cpus if not smallest else {}
            )
            affordable_jobs -= set(larger) - finishable
    return affordable_jobs


def _finishable_inexpensively(
    jobs: list[JobView], policy: Policy, inexpensive_cpus: float, rank_cpus: dict[int, float]
) -> set[JobView]:
    finishable: set[JobView] = set()
    for _, peers, cpus_of_higher, ahead_cpu_s in _levels(jobs, policy, rank_cpus):
        cpus = policy.usable_inexpensive_share * inexpensive_cpus - cpus_of_higher
        if cpus <= 0:
            break
        candidates = [
            j for j in peers if j.latest_start_s and j.latest_start_s[0] > _overrun_allowance_s(j)
        ]
        finishable |= _feasible(candidates, 0, cpus, ahead_cpu_s, _overrun_allowance_s)
    return finishable


def _overrun_allowance_s(job: JobView) -> float:
    """Return the allowance for a run time beyond the estimate, in seconds."""
    return 0.8 * job.estimate_s


def _work_cpu_s(job: JobView) -> float:
    """Return the processor seconds that the job's waiting tasks will take."""
    return job.waiting * max(job.cpus, 1e-3) * max(job.estimate_s, 1.0)


def _level_order(
    jobs: list[JobView], level_number: int, cpus: float, ahead_cpu_s: float
) -> dict[JobView, tuple[int, int, float]]:
    """Return per job its level, the deadline that it can meet and its latest start."""
    sort_keys: dict[JobView, tuple[int, int, float]] = {}
    left = set(jobs)
    for deadline in range(max((len(job.latest_start_s) for job in jobs), default=0)):
        feasible = _feasible(
            (j for j in left if _can_meet(j, deadline)), deadline, cpus, ahead_cpu_s
        )
        # Not in the order of the set: it varies between processes, and so would sums of floats.
        for job in (job for job in jobs if job in feasible):
            sort_keys[job] = (level_number, deadline, job.latest_start_s[deadline])
            ahead_cpu_s += _work_cpu_s(job)
        left -= feasible
    for job in left:
        sort_keys[job] = (level_number, len(job.latest_start_s), math.inf)
    return sort_keys


def _can_meet(job: JobView, deadline: int) -> bool:
    return deadline < len(job.latest_start_s) and job.latest_start_s[deadline] >= 0


def _feasible(
    jobs: Iterable[JobView],
    deadline: int,
    cpus: float,
    ahead_cpu_s: float,
    allowance_s: Callable[[JobView], float] = lambda _: 0.0,
) -> set[JobView]:
    """Return the jobs whose last task starts in time if the fleet serves them one by one.

    This is Moore and Hodgson's rule, which minimizes the number of late jobs.
    """
    by_work: list[tuple[float, str, JobView]] = []
    for job in sorted(jobs, key=lambda j: (j.latest_start_s[deadline], j.id)):
        heapq.heappush(by_work, (-_work_cpu_s(job), job.id, job))
        ahead_cpu_s += _work_cpu_s(job)
        if ahead_cpu_s > cpus * (job.latest_start_s[deadline] - allowance_s(job)):
            ahead_cpu_s += heapq.heappop(by_work)[0]
    return {job for _, _, job in by_work}
