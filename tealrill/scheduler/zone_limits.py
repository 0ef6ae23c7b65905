"""Allocation of a job's waiting tasks to free capacity within the job's zone rules.

Capacity in a zone that the rules close for a job is none for that job, however much there is.
Otherwise the job would wait beside it while nothing is rented in the zone that it needs.
"""

from __future__ import annotations

from collections.abc import Container, Sequence

from tealrill.scheduler.free_capacity import FreeCapacity
from tealrill.scheduler.model import JobView, Kind
from tealrill.types import Monotonic


class ZoneLimits:
    """Allocates the waiting tasks of one job, and keeps how many more each zone may take."""

    def __init__(
        self,
        job: JobView,
        kinds: Sequence[Kind],
        shares: Sequence[float | None],
        free_capacity: FreeCapacity,
    ) -> None:
        """Prepare for `job`; `shares` has its task's share of each of the `kinds` of machine."""
        self._job = job
        self._shares = shares
        self._free_capacity = free_capacity
        self._allowed: dict[str, int] = {}
        """Number of tasks that each zone may still take; empty for a job without zone rules."""
        self._shares_by_zone: dict[str, list[float | None]] = {}
        """The shares of the kinds in one zone; None for those in other zones."""
        if not job.has_zone_rules:
            return
        for zone in sorted({zone for _, zone, _ in kinds}):
            self._allowed[zone] = max(0, job.tasks_allowed_in_zone(zone))
            self._shares_by_zone[zone] = [
                share if kind[1] == zone else None
                for kind, share in zip(kinds, shares, strict=True)
            ]

    @property
    def is_limited(self) -> bool:
        """True if the job has zone rules."""
        return bool(self._allowed)

    def allows(self, zone: str) -> bool:
        """Return True if the zone may take another task."""
        return not self.is_limited or self._allowed[zone] > 0

    def choose_zone(self, waiting: int, rentable: Container[str], until: Monotonic) -> None:
        """Restrict a one-zone job without bound tasks to the zone with the most capacity for it.

        Counted are its `waiting` tasks that can start by `until`. In the zones in `rentable` more
        machines may be rented; elsewhere a gang that does not fit would wait for ever.
        """
        job = self._job
        if not job.one_zone or any(job.zone_counts.values()):
            return

        def rank(zone: str) -> tuple[bool, int, bool]:
            fitting = self._free_capacity.fitting_tasks(
                job, waiting, self._shares_by_zone[zone], until
            )
            may_start = not job.gang or fitting >= waiting or zone in rentable
            return may_start, fitting, zone in rentable

        ranks = {zone: rank(zone) for zone in self._allowed}
        best = max(ranks.values())
        # Several zones are equal mainly where none has capacity. The first task then decides.
        self._allowed = {zone: waiting if ranks[zone] == best else 0 for zone in ranks}

    def allocate(self, limit: int, until: Monotonic, first_number: int = 0) -> int:
        """Allocate up to `limit` tasks that can start by `until`; return how many fit.

        Only machines from number `first_number` on are used.
        """
        if not self.is_limited:
            return self._free_capacity.allocate(self._job, limit, self._shares, until, first_number)
        left = limit
        for zone in tuple(self._allowed):
            left -= self._allocate_in(zone, left, until, first_number)
        return limit - left

    def _allocate_in(self, zone: str, limit: int, until: Monotonic, first_number: int) -> int:
        count = self._free_capacity.allocate(
            self._job,
            min(limit, self._allowed[zone]),
            self._shares_by_zone[zone],
            until,
            first_number,
        )
        self._allowed[zone] -= count
        if count and self._job.one_zone:
            self._allowed.update((other, 0) for other in self._allowed if other != zone)
        return count
