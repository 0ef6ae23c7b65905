"""The order of the queue.

Urgency class first, raised by one for every `aging_s` of waiting without bound, so that nothing
starves and a task that is stopped again and again becomes the head in time.

Within a level (ours; the paper has no deadlines) the jobs that the fleet can bring in by their
deadline go first, the earliest latest start before the others. When it can't bring in all of them,
the jobs with the most work left are passed over until the rest fits (Moore and Hodgson's rule,
which leaves the fewest jobs late). By slack alone an overload makes every job a little late: the
room goes to jobs for which it comes too late.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Iterator

from tealrill.scheduler.model import JobView, Policy, TeamView


def level(job: JobView, policy: Policy) -> int:
    return job.rank + math.floor(max(0.0, job.waited_s) / policy.aging_s)


def order(
    jobs: list[JobView],
    teams: dict[str, TeamView],
    policy: Policy,
    fleet_cpus: float = math.inf,
    rank_cpus: dict[int, float] | None = None,
) -> list[JobView]:
    """Jobs within their team's guarantee first, then by level, then by what can be in time.

    `rank_cpus` are the processors that each class uses now: what higher classes hold is taken to
    go on to the next of their kind.
    """
    places: dict[JobView, tuple[int, int, float]] = {}
    for number, peers, held, ahead in _levels(jobs, policy, rank_cpus or {}):
        cpus = max(fleet_cpus - held, 0.05 * fleet_cpus, 1e-6)
        places.update(_level_order(peers, -number, cpus, ahead))
        turn = _turn(peers, policy)
        if turn is not None:
            places[turn] = (-number, -1, 0.0)

    def key(job: JobView) -> tuple[int, tuple[int, int, float], float, str]:
        team = teams.get(job.team)
        within = team is not None and team.guaranteed(job)
        return (0 if within else 1, places[job], -job.waited_s, job.id)

    ordered = sorted(jobs, key=key)
    if any(job.graph for job in jobs):
        _by_path(ordered, lambda job: key(job)[:2])
    return ordered


def _turn(jobs: list[JobView], policy: Policy) -> JobView | None:
    """The job of a level that has waited longest without having begun, once that is too long.

    In an overload those with the most work left are passed over, each time anew, and the largest
    never begin. (Ours; the paper lets priority rise with waiting.) One at a time goes before its
    peers, and only until its first task has a place: what it costs them is the room of one pass.
    """
    waits = [j for j in jobs if not j.begun and j.waited_s >= policy.turn_s]
    return max(waits, key=lambda j: (j.waited_s, j.id), default=None)


def _by_path(ordered: list[JobView], rank: Callable[[JobView], tuple[object, ...]]) -> None:
    """Among a graph's nodes that are equals otherwise, those with the longest path behind them.

    (Ours; the paper's jobs don't depend on each other.) They change places with each other only:
    whoever is not of the graph stays where it was, so that a graph gains nothing over plain jobs.
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
    """From the highest level down: its jobs, what higher classes hold, and the work ahead of it."""
    levels: dict[int, list[JobView]] = {}
    for job in jobs:
        levels.setdefault(level(job, policy), []).append(job)
    ahead = 0.0
    for number in sorted(levels, reverse=True):
        held = sum(cpus for rank, cpus in rank_cpus.items() if rank > number)
        yield number, levels[number], held, ahead
        ahead += sum(_work(job) for job in levels[number])


def affordable(
    jobs: list[JobView], policy: Policy, cheap: dict[float, float], rank_cpus: dict[int, float]
) -> set[JobView]:
    """The jobs that the cheap part of the fleet brings in by their first deadline by itself.

    They need no dear machine. `cheap` has the processors of all cheap machines by the size of one:
    tasks that fit only large machines must find their room on those alone. A run longer than its
    estimate is allowed for, and a part of the cheap fleet is left out, because rooms do not fit
    together without a rest.
    """
    sizes = sorted(cheap)
    found = set(jobs)
    for smallest in [0.0, *sizes[:-1]]:
        # First all jobs on all machines, then those too large for the smaller ones on the rest.
        larger = [job for job in jobs if job.cpus > smallest or not smallest]
        if larger:
            room = sum(cpus for size, cpus in cheap.items() if size > smallest)
            among = _brought_in(larger, policy, room, rank_cpus if not smallest else {})
            found -= set(larger) - among
    return found


def _brought_in(
    jobs: list[JobView], policy: Policy, cheap_cpus: float, rank_cpus: dict[int, float]
) -> set[JobView]:
    found: set[JobView] = set()
    for _, peers, held, ahead in _levels(jobs, policy, rank_cpus):
        cpus = policy.cheap_share * cheap_cpus - held
        if cpus <= 0:
            break
        due = [j for j in peers if j.latest_s and j.latest_s[0] > _spare_s(j)]
        found |= _in_time(due, 0, cpus, ahead, _spare_s)
    return found


def _spare_s(job: JobView) -> float:
    return 0.8 * job.estimate_s


def _work(job: JobView) -> float:
    """Processor seconds that the job's waiting tasks will take."""
    return job.waiting * max(job.cpus, 1e-3) * max(job.estimate_s, 1.0)


def _level_order(
    jobs: list[JobView], number: int, cpus: float, ahead: float
) -> dict[JobView, tuple[int, int, float]]:
    """Per job the level, the deadline that it can be in time for, and its latest start."""
    places: dict[JobView, tuple[int, int, float]] = {}
    left = set(jobs)
    for deadline in range(max((len(job.latest_s) for job in jobs), default=0)):
        chosen = _in_time((j for j in left if _possible(j, deadline)), deadline, cpus, ahead)
        for job in chosen:
            places[job] = (number, deadline, job.latest_s[deadline])
            ahead += _work(job)
        left -= chosen
    for job in left:
        places[job] = (number, len(job.latest_s), math.inf)
    return places


def _possible(job: JobView, deadline: int) -> bool:
    return deadline < len(job.latest_s) and job.latest_s[deadline] >= 0


def _in_time(
    jobs: Iterable[JobView],
    deadline: int,
    cpus: float,
    ahead: float,
    spare_s: Callable[[JobView], float] = lambda _: 0.0,
) -> set[JobView]:
    """The jobs whose last task starts in time if the fleet works through them one by one."""
    largest: list[tuple[float, str, JobView]] = []
    for job in sorted(jobs, key=lambda j: (j.latest_s[deadline], j.id)):
        heapq.heappush(largest, (-_work(job), job.id, job))
        ahead += _work(job)
        if ahead > cpus * (job.latest_s[deadline] - spare_s(job)):
            ahead += heapq.heappop(largest)[0]
    return {job for _, _, job in largest}
