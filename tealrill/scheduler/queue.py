"""The order of the queue.

Urgency class first, raised by one for every `aging_s` of waiting without bound, so that nothing
starves and a task that is preempted again and again becomes the reserved job in time.

Within a level (ours; the paper has no deadlines) the jobs that the fleet can finish by their
deadline go first, the earliest latest start before the others. When it can't finish all of them,
the jobs with the most work left are passed over until the rest fits (Moore and Hodgson's rule,
which leaves the fewest jobs late). By slack alone an overload makes every job a little late: the
capacity goes to jobs for which it comes too late.
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

    Jobs within their team's quota come first, then by level, then those that can meet a deadline.
    `rank_cpus` are the processors that each class uses now: what higher classes hold is assumed to
    pass to the next job of their class.
    """
    places: dict[JobView, tuple[int, int, float]] = {}
    for number, peers, held, ahead in _levels(jobs, policy, rank_cpus or {}):
        cpus = max(fleet_cpus - held, 0.05 * fleet_cpus, 1e-6)
        places.update(_level_order(peers, -number, cpus, ahead))
        starving = _starving_job(peers, policy)
        if starving is not None:
            places[starving] = (-number, -1, 0.0)

    def key(job: JobView) -> tuple[int, tuple[int, int, float], float, str]:
        team = teams.get(job.team)
        within = team is not None and team.is_within_quota(job)
        return (0 if within else 1, places[job], -job.waited_s, job.id)

    ordered = sorted(jobs, key=key)
    if any(job.graph for job in jobs):
        _order_by_critical_path(ordered, lambda job: key(job)[:2])
    return ordered


def _starving_job(jobs: list[JobView], policy: Policy) -> JobView | None:
    """Return the job that the starvation guard puts before its peers, or None.

    In an overload the jobs with the most work left are passed over in every pass, and the largest
    never begin. (Ours; the paper lets priority rise with waiting.) One job at a time goes first,
    and only until its first task is placed: its peers lose the capacity of one pass.
    """
    waits = [j for j in jobs if not j.begun and j.waited_s >= policy.starvation_guard_s]
    return max(waits, key=lambda j: (j.waited_s, j.id), default=None)


def _order_by_critical_path(
    ordered: list[JobView], rank: Callable[[JobView], tuple[object, ...]]
) -> None:
    """Order a graph's otherwise equal nodes by the longest path behind them.

    (Ours; the paper's jobs don't depend on each other.) Nodes change places only with each other,
    so that a graph gains nothing over plain jobs.
    """
    groups: dict[tuple[object, ...], list[int]] = {}
    for place, job in enumerate(ordered):
        if job.graph:
            groups.setdefault((job.graph, job.team, job.rank, *rank(job)), []).append(place)
    for places in groups.values():
        if len(places) > 1:
            found = sorted((ordered[at] for at in places), key=lambda job: -job.tail_s)
            for place, job in zip(places, found, strict=True):
                ordered[place] = job


def _levels(
    jobs: list[JobView], policy: Policy, rank_cpus: dict[int, float]
) -> Iterator[tuple[int, list[JobView], float, float]]:
    """Yield per level, highest first: number, jobs, processors of higher classes, work ahead."""
    levels: dict[int, list[JobView]] = {}
    for job in jobs:
        levels.setdefault(level(job, policy), []).append(job)
    ahead = 0.0
    for number in sorted(levels, reverse=True):
        held = sum(cpus for rank, cpus in rank_cpus.items() if rank > number)
        yield number, levels[number], held, ahead
        ahead += sum(_work_cpu_s(job) for job in levels[number])


def affordable(
    jobs: list[JobView], policy: Policy, cheap: dict[float, float], rank_cpus: dict[int, float]
) -> set[JobView]:
    """Return the jobs that the inexpensive machines finish by their first deadline.

    `cheap` maps the size of a machine to the processors of all inexpensive machines of that size:
    tasks that fit only large machines must find their capacity on those alone. Run times beyond the
    estimate are allowed for, and a part of these machines is left out for fragmentation.
    """
    sizes = sorted(cheap)
    found = set(jobs)
    for smallest in [0.0, *sizes[:-1]]:
        # First all jobs on all machines, then those too large for the smaller ones on the rest.
        larger = [job for job in jobs if job.cpus > smallest or not smallest]
        if larger:
            room = sum(cpus for size, cpus in cheap.items() if size > smallest)
            among = _finishable_cheaply(larger, policy, room, rank_cpus if not smallest else {})
            found -= set(larger) - among
    return found


def _finishable_cheaply(
    jobs: list[JobView], policy: Policy, cheap_cpus: float, rank_cpus: dict[int, float]
) -> set[JobView]:
    found: set[JobView] = set()
    for _, peers, held, ahead in _levels(jobs, policy, rank_cpus):
        cpus = policy.cheap_share * cheap_cpus - held
        if cpus <= 0:
            break
        due = [j for j in peers if j.latest_start_s and j.latest_start_s[0] > _spare_s(j)]
        found |= _feasible(due, 0, cpus, ahead, _spare_s)
    return found


def _spare_s(job: JobView) -> float:
    return 0.8 * job.estimate_s


def _work_cpu_s(job: JobView) -> float:
    """Return the processor seconds that the job's waiting tasks will take."""
    return job.waiting * max(job.cpus, 1e-3) * max(job.estimate_s, 1.0)


def _level_order(
    jobs: list[JobView], number: int, cpus: float, ahead: float
) -> dict[JobView, tuple[int, int, float]]:
    """Return per job its level, the deadline that it can meet and its latest start."""
    places: dict[JobView, tuple[int, int, float]] = {}
    left = set(jobs)
    for deadline in range(max((len(job.latest_start_s) for job in jobs), default=0)):
        chosen = _feasible((j for j in left if _is_possible(j, deadline)), deadline, cpus, ahead)
        # Not in the set's own order: sums of floats would differ from process to process.
        for job in (job for job in jobs if job in chosen):
            places[job] = (number, deadline, job.latest_start_s[deadline])
            ahead += _work_cpu_s(job)
        left -= chosen
    for job in left:
        places[job] = (number, len(job.latest_start_s), math.inf)
    return places


def _is_possible(job: JobView, deadline: int) -> bool:
    return deadline < len(job.latest_start_s) and job.latest_start_s[deadline] >= 0


def _feasible(
    jobs: Iterable[JobView],
    deadline: int,
    cpus: float,
    ahead: float,
    spare_s: Callable[[JobView], float] = lambda _: 0.0,
) -> set[JobView]:
    """Return the jobs whose last task starts in time if the fleet serves them one by one.

    This is Moore and Hodgson's rule, which minimizes the number of late jobs.
    """
    largest: list[tuple[float, str, JobView]] = []
    for job in sorted(jobs, key=lambda j: (j.latest_start_s[deadline], j.id)):
        heapq.heappush(largest, (-_work_cpu_s(job), job.id, job))
        ahead += _work_cpu_s(job)
        if ahead > cpus * (job.latest_start_s[deadline] - spare_s(job)):
            ahead += heapq.heappop(largest)[0]
    return {job for _, _, job in largest}
