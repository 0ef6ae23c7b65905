"""Log of the jobs whose tasks have waited for long, with the reason, once a change.

The reasons are those of the pass that has just ended, so that a log shows what a job waited for
without a replay.
"""

from __future__ import annotations

import enum
import logging
import math
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Final

from tealrill.fleet.inventory import Fleet
from tealrill.scheduler.capacity import Offer
from tealrill.scheduler.model import JobView, Plan, View
from tealrill.state.bindings import Job
from tealrill.state.job_store import JobStore
from tealrill.types import JobId, Monotonic, Wall

log = logging.getLogger(__name__)

_LONG_WAIT_S: Final = 60.0
_INTERVAL_S: Final = 5.0
_MAX_JOBS: Final = 20
"""Largest number of waiting jobs examined at a time, oldest first: an overload has hundreds."""


class WaitReason(enum.StrEnum):
    """Why no more tasks of a job are started."""

    HELD = "records_unreadable"
    PROBATION = "probation"
    ZONES_UNKNOWN = "zones_of_its_tasks_unknown"
    TEAM_LIMIT = "team_limit"
    ZONE_RULES = "zone_rules"
    CAPACITY_KEPT = "free_capacity_reserved_or_expensive"
    BOOTING = "machines_booting"
    RENTABLE = "machines_can_be_rented"
    NO_CAPACITY = "no_capacity_at_the_cloud"


class WaitingJobs:
    """Examines the waiting jobs after a pass and logs changes of the reason."""

    def __init__(
        self,
        job_store: JobStore,
        fleet: Fleet,
        offers: Callable[[Monotonic], list[Offer]],
    ) -> None:
        """Examine the jobs of `job_store`; `offers` returns what may be rented now."""
        self._job_store = job_store
        self._fleet = fleet
        self._offers = offers
        self._next_at = Monotonic(-math.inf)
        self._reasons: dict[JobId, WaitReason] = {}
        """The reasons logged last, of the jobs that still wait."""

    def log_changes(self, result: Plan, view: View, now: Monotonic, wall: Wall) -> None:
        """Log the jobs that wait for a new reason, and those that wait no longer."""
        if now < self._next_at:
            return
        self._next_at = Monotonic(now + _INTERVAL_S)
        reasons = {job.id: reason for job, reason in self._waiting(result, view, now, wall)}
        for job_id, reason in reasons.items():
            if self._reasons.get(job_id) is not reason:
                self._log(self._job_store.jobs[job_id], reason, wall)
        for job_id in self._reasons.keys() - reasons.keys():
            job = self._job_store.jobs.get(job_id)
            if job is None or job.waiting <= 0:
                log.info("job waits no longer: job=%s", job_id)
            else:
                # Not examined this time: `_MAX_JOBS` older ones wait.
                reasons[job_id] = self._reasons[job_id]
        self._reasons = reasons

    def _waiting(
        self, result: Plan, view: View, now: Monotonic, wall: Wall
    ) -> Iterator[tuple[Job, WaitReason]]:
        """Yield up to `_MAX_JOBS` jobs that have waited for long, with the reasons."""
        queued = {job.id: job for job in view.jobs}
        unplaced = {job.id for job, _ in result.unplaced}
        offers = self._offers(now)

        def waits_long(job: Job) -> bool:
            is_held = job.held and not job.cancelled
            return (job.waiting > 0 or is_held) and wall - job.submitted >= _LONG_WAIT_S

        for job in islice(filter(waits_long, self._job_store.jobs.values()), _MAX_JOBS):
            job_view = queued.get(job.id)
            if job_view is None:
                yield job, self._withheld_reason(job)
            elif job.id in unplaced:
                yield job, _unplaced_reason(job_view, view, offers, now)
            elif job_view.waiting > 0:
                yield job, WaitReason.TEAM_LIMIT

    def _withheld_reason(self, job: Job) -> WaitReason:
        """Return why a job with waiting tasks is not in the queue."""
        if job.held:
            return WaitReason.HELD
        if self._fleet.failure_attribution.is_on_probation(job.id):
            return WaitReason.PROBATION
        return WaitReason.ZONES_UNKNOWN

    @staticmethod
    def _log(job: Job, reason: WaitReason, wall: Wall) -> None:
        zones = [f"{zone}:{count}" for zone, count in sorted(job.zone_counts.items()) if count]
        log.info(
            "job waits: job=%s reason=%s tasks_waiting=%d tasks_bound=%d zones=%s waited_s=%.0f",
            job.id,
            reason.value,
            job.waiting,
            job.bound_count,
            ",".join(zones) or "-",
            wall - job.submitted,
        )


def _unplaced_reason(job: JobView, view: View, offers: list[Offer], now: Monotonic) -> WaitReason:
    """Return why the pass has placed no more tasks of a job."""

    def may_run_in(zone: str) -> bool:
        return job.zone in (None, zone) and job.tasks_allowed_in_zone(zone) > 0

    machines = [m for m in view.machines if may_run_in(m.zone) and m.allows(job)]
    pending = [m for m in view.pending_machines if may_run_in(m.zone) and m.allows(job)]
    rentable = [o for o in offers if may_run_in(o.zone) and o.allows(job)]
    zones = {m.zone for m in view.machines} | {o.zone for o in offers}
    if job.zone is not None:
        zones = {job.zone}
    if zones and not any(map(may_run_in, zones)):
        return WaitReason.ZONE_RULES
    if any(m.ready_at <= now and m.fits(job) for m in machines):
        return WaitReason.CAPACITY_KEPT
    if pending or any(m.ready_at > now for m in machines):
        return WaitReason.BOOTING
    return WaitReason.RENTABLE if rentable else WaitReason.NO_CAPACITY
