"""Free capacity over time: how many waiting tasks can start on the machines by a given moment.

One processor may serve several tasks one after the other. Pure state, without I/O and clock.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Iterator, Sequence
from itertools import repeat
from typing import Final

from tealrill.scheduler.model import JobView, Kind, MachineView, expected_ends
from tealrill.types import Monotonic

_MIN_RUN_S: Final = 1.0
"""Shortest run time that is assumed for a task."""
_ROUNDING: Final = 1e-4
"""Larger than the rounding error of sums of a few hundred decimal numbers."""


def availability(machine: MachineView, now: Monotonic) -> list[tuple[Monotonic, float]]:
    """Return when a machine's processors become free: now (or once booted) and as tasks end."""
    free = [(max(now, machine.ready_at), max(0.0, machine.cpus))]
    ends = expected_ends(machine.running, now)
    free += [(end, task.cpus) for end, task in zip(ends, machine.running, strict=True)]
    return free


class _Horizon:
    """The capacity of all machines up to one moment, with one list entry per machine."""

    def __init__(self, until: Monotonic) -> None:
        self.until = until
        self.cpus: list[float] = []
        """Processors that become free by `until`."""
        self.cpu_s: list[float] = []
        """Their processor seconds from when they become free to `until`."""
        self.longest_s: list[float] = []
        """Time from when the first of them becomes free to `until`."""
        self.shortest_s: list[float] = []
        """No task with a shorter run time than this can start there by `until`."""

    def add(self, free: Sequence[tuple[Monotonic, float]], min_share: float | None) -> None:
        """Append a machine's entry; `min_share` as in `update`."""
        cpus = cpu_s = longest_s = 0.0
        for at, count in free:
            if at <= self.until:
                cpus += count
                cpu_s += count * (self.until - at)
                longest_s = max(longest_s, self.until - at)
        self.cpus.append(cpus)
        self.cpu_s.append(cpu_s)
        self.longest_s.append(longest_s)
        self.shortest_s.append(0.0)
        self.update(len(self.cpus) - 1, 0.0, min_share)

    def update(self, index: int, used_cpu_s: float, min_share: float | None) -> None:
        """Update a machine's entry after `used_cpu_s` processor seconds of it were allocated.

        `min_share` is the smallest number of processors that a task of any job takes there; None if
        no job may run there. A processor that becomes free serves at most one task more than fits
        into its time up to `until`. So for tasks of `run` seconds there are at most `run` processor
        seconds per processor in addition to that time, less what is used.
        """
        if min_share is None:
            self.shortest_s[index] = math.inf
            return
        surplus_cpus = self.cpus[index] + _ROUNDING - min_share
        missing_cpu_s = used_cpu_s - self.cpu_s[index]
        if min_share <= 0:
            shortest_s = 0.0
        elif missing_cpu_s > 0:
            shortest_s = missing_cpu_s / surplus_cpus if surplus_cpus > 0 else math.inf
        elif surplus_cpus >= 0 or missing_cpu_s / surplus_cpus >= _MIN_RUN_S:
            shortest_s = 0.0
        else:
            # Fewer than `min_share` processors become free, so only a run shorter than
            # `_MIN_RUN_S` would fit.
            shortest_s = math.inf
        self.shortest_s[index] = shortest_s


class FreeCapacity:
    """Capacity for waiting tasks, on machines and on those about to be rented.

    Tasks are allocated in the order of the machines. In an overload most machines are full when the
    later jobs of a long queue are allocated. Examining all of them for every job was the most
    expensive part of the leader's work. So for each machine the shortest run time that may fit is
    kept, and a machine that can't serve a job costs one comparison.
    """

    def __init__(
        self,
        kinds: Sequence[Kind],
        jobs: Sequence[Sequence[float | None]],
        common_moments: Container[Monotonic],
    ) -> None:
        """Prepare for the `kinds` of machines and the `jobs` to be allocated.

        `jobs` has for every job its task's share of each kind, as `_cpu_shares` returns it;
        `common_moments` has the moments that many jobs ask for. Horizons are kept for these only:
        for the moments of single jobs they cost more than they saved.
        """
        self._common_moments = common_moments
        self._number_by_kind = {kind: number for number, kind in enumerate(kinds)}
        self._min_shares = [
            min((share for share in of_kind if share is not None), default=None)
            for of_kind in zip(*jobs, strict=True)
        ]
        """Per kind, the smallest share that any job takes; None where no job may run."""
        self._kind_numbers: list[int] = []
        self._free: list[Sequence[tuple[Monotonic, float]]] = []
        """Per machine, the processors that become free, and when."""
        self._used_cpu_s: list[float] = []
        self._horizons: dict[Monotonic, _Horizon] = {}
        self.inspected = 0
        """Number of times that a machine was examined beyond that one comparison."""

    def add(self, kind: Kind, free: Sequence[tuple[Monotonic, float]]) -> int:
        """Append a machine's capacity; return its number."""
        number = self._number_by_kind[kind]
        self._kind_numbers.append(number)
        self._free.append(free)
        self._used_cpu_s.append(0.0)
        for horizon in self._horizons.values():
            horizon.add(free, self._min_shares[number])
        return len(self._kind_numbers) - 1

    def _horizon(self, until: Monotonic) -> _Horizon:
        horizon = self._horizons.get(until)
        if horizon is None:
            horizon = self._horizons[until] = _Horizon(until)
            for free, kind in zip(self._free, self._kind_numbers, strict=True):
                horizon.add(free, self._min_shares[kind])
        return horizon

    def allocate(
        self,
        job: JobView,
        limit: int,
        shares: Sequence[float | None],
        until: Monotonic,
        first_number: int = 0,
    ) -> int:
        """Allocate up to `limit` tasks that can start by `until`; return how many fit.

        `shares` has a task's share of each kind of machine, see `_cpu_shares`. Only machines from
        number `first_number` on are used. One processor may serve several tasks one after the
        other, but for those of a gang.
        """
        allocated = 0
        for number, count, cpu_s in self._fits(job, limit, shares, until, first_number):
            allocated += count
            if cpu_s > 0:
                self._use(number, cpu_s)
        return allocated

    def fitting_tasks(
        self, job: JobView, limit: int, shares: Sequence[float | None], until: Monotonic
    ) -> int:
        """Return how many tasks `allocate` would allocate, without allocating them."""
        return sum(count for _, count, _ in self._fits(job, limit, shares, until, 0))

    def _fits(
        self,
        job: JobView,
        limit: int,
        shares: Sequence[float | None],
        until: Monotonic,
        first_number: int,
    ) -> Iterator[tuple[int, int, float]]:
        """Yield per machine on which tasks fit: its number, their count and processor seconds."""
        run_s = max(_MIN_RUN_S, job.estimate_s)
        if job.gang:
            # Its tasks run at the same time, so no processor serves two of them in turn.
            run_s = max(run_s, until - self._earliest_free() + _ROUNDING)
        horizon = self._horizon(until) if until in self._common_moments else None
        shortest: Iterable[float] = repeat(0.0, len(self._kind_numbers) - first_number)
        if horizon is not None:
            shortest = horizon.shortest_s[first_number:] if first_number else horizon.shortest_s
        left = limit
        for number, shortest_s in enumerate(shortest, first_number):
            if shortest_s > run_s:
                continue
            if left <= 0:
                break
            need = shares[self._kind_numbers[number]]
            if need is None:
                continue
            if need <= 0:
                yield number, left, 0.0
                return
            self.inspected += 1
            count = min(left, self._machine_slots(number, need, run_s, until, horizon))
            if count > 0:
                left -= count
                yield number, count, count * need * run_s

    def _earliest_free(self) -> Monotonic:
        """Return when the first processor of all machines becomes free."""
        return min((at for free in self._free for at, _ in free), default=Monotonic(math.inf))

    def _machine_slots(
        self, number: int, need: float, run_s: float, until: Monotonic, horizon: _Horizon | None
    ) -> int:
        """Return how many more tasks of `need` processors fit on a machine; may be negative."""
        used_cpus = self._used_cpu_s[number] / run_s
        if horizon is not None and horizon.longest_s[number] < run_s:
            supply = horizon.cpus[number]
        elif (
            horizon is not None
            and horizon.cpus[number] + horizon.cpu_s[number] / run_s - used_cpus + _ROUNDING < need
        ):
            return 0
        else:
            supply = self._supply(number, run_s, until)
        return int((supply - used_cpus + 1e-6) // need)

    def _supply(self, number: int, run_s: float, until: Monotonic) -> float:
        """Return the processors for tasks of `run_s`; one that serves two in turn counts twice."""
        supply = 0.0
        for at, cpus in self._free[number]:
            if at <= until:
                supply += cpus * (1 + (until - at) // run_s)
        return supply

    def _use(self, number: int, cpu_s: float) -> None:
        self._used_cpu_s[number] += cpu_s
        for horizon in self._horizons.values():
            horizon.update(
                number, self._used_cpu_s[number], self._min_shares[self._kind_numbers[number]]
            )
