"""Tasks of cancelled jobs that may still run: log lines and rows for the operators."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any, Final

from tealrill import wire
from tealrill.fleet.machine import Machine
from tealrill.state.bindings import Job
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Wall

log = logging.getLogger(__name__)

_MAX_ROWS: Final = 20


@dataclass(frozen=True, slots=True)
class CancelledJob:
    """A cancelled job with tasks that are still bound."""

    id: str
    cancelled_s_ago: float
    """Seconds since its cancellation was recorded, in this term or an earlier one."""
    tasks: int
    machines: list[MachineId]
    """In order of their ids, at most `_MAX_ROWS` of them."""


class CancelledTasks:
    """Tracks the stops that one term sends with the responses that renew workers' leases."""

    def __init__(self, job_store: JobStore, term: FencingToken) -> None:
        self._job_store = job_store
        self._term = term
        self.renewals_with_stops = 0
        """Number of responses of this term that renewed a lease and carried a stop."""
        self.old_list_renewals = 0
        """Number of responses of this term to heartbeats whose list may be out of date."""

    def observe_renewal(
        self,
        machine: Machine,
        heartbeat: wire.Heartbeat,
        commands: list[dict[str, Any]],
        list_is_current: bool,
        wall: Wall,
        late_after_s: float,
    ) -> None:
        """Count a response that renews a lease, and log overdue tasks of cancelled jobs.

        A task is overdue if the heartbeat lists it more than `late_after_s` seconds after its job
        was cancelled. Each is logged once a term.
        """
        self.old_list_renewals += not list_is_current
        if not any(command["verb"] == wire.STOP for command in commands):
            return
        self.renewals_with_stops += 1
        listed = {status.task for status in heartbeat.tasks if status.state != wire.EXITED}
        for binding in machine.bindings.values():
            stop, age_s = binding.stop, _cancelled_s_ago(binding.chunk.job, wall)
            if stop is None or stop.logged_late or age_s <= late_after_s:
                continue
            if str(binding.task) not in listed:
                continue
            stop.logged_late = True
            log.info(
                "cancelled task still listed: task=%s attempt=%d machine=%s term=%d "
                "cancelled_s_ago=%.1f list=%s lease=renewed with the stop",
                binding.task,
                binding.attempt,
                machine.id,
                self._term,
                age_s,
                "current" if list_is_current else "old",
            )

    def rows(self, wall: Wall) -> list[CancelledJob]:
        """Return the cancelled jobs with bound tasks, the earliest cancelled first.

        At most `_MAX_ROWS` jobs.
        """
        jobs = [job for job in self._job_store.jobs.values() if job.cancelled and job.bound_count]
        jobs.sort(key=lambda job: -_cancelled_s_ago(job, wall))
        return [
            CancelledJob(
                job.id,
                round(_cancelled_s_ago(job, wall), 1),
                job.bound_count,
                sorted({binding.machine for binding in job.bindings()})[:_MAX_ROWS],
            )
            for job in jobs[:_MAX_ROWS]
        ]


def _cancelled_s_ago(job: Job, wall: Wall) -> float:
    """Return the seconds since the job was cancelled, 0 if it was not or the time is unknown."""
    return wall - job.cancelled_at if job.cancelled and job.cancelled_at is not None else 0.0
