"""What the leader does when a job is submitted, is cancelled or ends."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from tealrill import wire
from tealrill.extensions import LeaderExtension
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.inventory import Fleet
from tealrill.scheduler.model import JobView
from tealrill.state.bindings import Job, Owner
from tealrill.state.job_store import JobStore
from tealrill.state.records import JOB_PREFIX, OUTCOME_CANCELLED, OUTCOME_DONE
from tealrill.types import JobId, Monotonic, Revision, Wall, monotonic_now, parse_job_id, wall_now

log = logging.getLogger(__name__)


class JobRecord(msgspec.Struct):
    """The part of a record `job/ID` or `over/ID` that the leader reads."""

    spec: wire.JobSpec
    at: float = 0.0
    owner: str | None = None
    """The record that the job belongs to; its extension reads the rest."""
    ended_at: float | None = None
    """When the job was cancelled; not in records of versions before it."""


class JobLifecycle:
    """Carries changes of jobs to the store, the scheduling loop and the extensions."""

    def __init__(
        self,
        job_store: JobStore,
        fleet: Fleet,
        scheduling_loop: SchedulingLoop,
        wake: Callable[[], None],
    ) -> None:
        """Begin without extensions; `wake` is called when a pass may decide otherwise."""
        self._job_store = job_store
        self._fleet = fleet
        self._scheduling_loop = scheduling_loop
        self._wake = wake
        self.extensions: Sequence[LeaderExtension] = ()
        self.unread: set[JobId] = set()
        """Jobs whose record is not of this version."""

    def add(self, key: str, value: object, mod_revision: Revision) -> Job | None:
        """Add the job of a record under `job/`; None if it is known, no job or not readable."""
        job_id = parse_job_id(key.removeprefix(JOB_PREFIX))
        if job_id is None or job_id in self._job_store.jobs:
            return None
        try:
            record = msgspec.convert(value, JobRecord)
        except msgspec.ValidationError as error:
            log.error("record of job %s: %s", job_id, error)
            self.unread.add(job_id)
            return None
        self._scheduling_loop.snapshots.submitted(record.spec, monotonic_now())
        job = self._job_store.add(record.spec, Wall(record.at), mod_revision)
        if record.owner is not None:
            self._give_to_owner(job, value)
        return job

    def read_others(self, entries: Sequence[wire.Entry]) -> None:
        """Give extensions those of all records under `job/` that are no jobs."""
        others = [e for e in entries if parse_job_id(e.key.removeprefix(JOB_PREFIX)) is None]
        for extension in self.extensions:
            extension.load_records(others)

    def _give_to_owner(self, job: Job, value: Any) -> None:
        if not any(extension.claim_job(job, value) for extension in self.extensions):
            # Its extension is switched off, or can't read it: kept as it is, nothing of it starts.
            log.error("job held, its owner is unknown to this member: job=%s", job.id)
            self._job_store.block_tasks(job)
        if job.cancelled:
            self.stop(job)

    def stop(self, job: Job) -> None:
        """Start nothing more of a job, and stop what runs of it."""
        if not self._fleet.loaded:
            # Its bindings may not be read yet, and without any it would be dropped with their
            # records. Once all is read, what is cancelled is stopped.
            job.cancelled = True
            return
        self._job_store.cancel(job)
        self._scheduling_loop.placement.cancel(job, monotonic_now())
        self._wake()

    def _forget(self, job: Job) -> None:
        self._fleet.failure_attribution.forget_job(job.id)
        for extension in self.extensions:
            extension.on_job_ended(job)

    def upcoming(self, now: Monotonic, within_s: float) -> list[tuple[JobView, int]]:
        """Return the tasks that extensions expect to wait for machines within so many seconds."""
        return [
            found for extension in self.extensions for found in extension.upcoming(now, within_s)
        ]

    def on_tasks_done(self, job: Job, tasks: list[int]) -> None:
        """Tell extensions which tasks of a job are recorded as done."""
        for extension in self.extensions:
            extension.tasks_done(job, tasks)
        self._wake()

    def on_owner_changed(self, owner: Owner) -> None:
        """Tell extensions that a transaction failed because an owner's record has changed."""
        for extension in self.extensions:
            extension.owner_changed(owner)

    def on_cancelled(self, name: str, source: str) -> None:
        """Stop a job whose record is gone, or whose cancellation another node acknowledged.

        `source` says in the log by what this leader learned of it.
        """
        job_id = parse_job_id(name)
        if job_id is None:
            for extension in self.extensions:
                extension.on_cancelled(name)
            return
        job = self._job_store.jobs.get(job_id)
        if job is None or job.cancelled:
            return
        if job.id in self._job_store.ending_jobs:
            # It is deleted by this leader itself; if its user was faster, the transaction that ends
            # it fails and finds out. That may take as long as an outage, and of a job that ends
            # without being done tasks may run: they are stopped at its end in any case.
            if job.outcome != OUTCOME_DONE:
                self._scheduling_loop.placement.cancel(job, monotonic_now())
            return
        log.info(
            "job %s was cancelled; %d of its tasks are bound: source=%s",
            job.id,
            job.bound_count,
            source,
        )
        job.outcome = OUTCOME_CANCELLED
        job.cancelled_at = wall_now()
        self.stop(job)
        self._forget(job)

    def on_ended(self, job: Job) -> None:
        """Log and forget a job whose end is recorded."""
        if job.outcome == OUTCOME_DONE and job.done_count >= job.spec.tasks:
            spec = job.spec
            log.info(
                "job %s is done: %s, %d tasks, after %.0f s, due after %s s",
                job.id,
                spec.job_class,
                spec.tasks,
                wall_now() - job.submitted,
                f"{spec.deadline_s:.0f}" if spec.deadline_s is not None else "-",
            )
        else:
            log.info("job %s is over: %s", job.id, job.outcome)
        if job.cancelled:
            self._scheduling_loop.placement.cancel(job, monotonic_now())
        self._forget(job)
