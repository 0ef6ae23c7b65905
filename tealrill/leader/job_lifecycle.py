"""Handles submissions, cancellations and ends of jobs on the leader."""

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
    """The fields of a record `job/ID` or `over/ID` that the leader reads."""

    spec: wire.JobSpec
    at: float = 0.0
    owner: str | None = None
    """Name of the record that the job belongs to; the extension reads the other fields."""
    ended_at: float | None = None
    """Time of the cancellation; absent from records written by older versions."""


class JobLifecycle:
    """Applies changes of jobs to the store, the scheduling loop and the extensions."""

    def __init__(
        self,
        job_store: JobStore,
        fleet: Fleet,
        scheduling_loop: SchedulingLoop,
        wake: Callable[[], None],
    ) -> None:
        """Begin without extensions; `wake` is called when a pass may decide differently."""
        self._job_store = job_store
        self._fleet = fleet
        self._scheduling_loop = scheduling_loop
        self._wake = wake
        self.extensions: Sequence[LeaderExtension] = ()
        self.unreadable_jobs: set[JobId] = set()
        """Jobs whose record this version can't read."""

    def add(self, key: str, value: object, mod_revision: Revision) -> Job | None:
        """Add the job of a record under `job/`.

        Returns None if the job is already known, or the key or the record is not a readable job.
        """
        job_id = parse_job_id(key.removeprefix(JOB_PREFIX))
        if job_id is None or job_id in self._job_store.jobs:
            return None
        try:
            record = msgspec.convert(value, JobRecord)
        except msgspec.ValidationError as error:
            log.error("job record unreadable: job=%s error=%s", job_id, error)
            self.unreadable_jobs.add(job_id)
            return None
        self._scheduling_loop.snapshots.submitted(record.spec, monotonic_now())
        job = self._job_store.add(record.spec, Wall(record.at), mod_revision)
        if record.owner is not None:
            self._assign_to_owner(job, value)
        return job

    def load_extension_records(self, entries: Sequence[wire.Entry]) -> None:
        """Pass the records under `job/` that are not jobs to the extensions."""
        others = [e for e in entries if parse_job_id(e.key.removeprefix(JOB_PREFIX)) is None]
        for extension in self.extensions:
            extension.load_records(others)

    def _assign_to_owner(self, job: Job, value: Any) -> None:
        if not any(extension.claim_job(job, value) for extension in self.extensions):
            # Its extension is disabled or can't read the record: the job is kept, but blocked.
            log.error("job blocked, its owner is unknown to this member: job=%s", job.id)
            self._job_store.hold(job)
        if job.cancelled:
            self.stop(job)

    def stop(self, job: Job) -> None:
        """Cancel a job: start no more of its tasks and stop the running ones."""
        if not self._fleet.loaded:
            # Its bindings may not be loaded yet, and a job without bindings is dropped together
            # with its chunks. The record loader stops cancelled jobs once everything is loaded.
            job.cancelled = True
            return
        self._job_store.cancel(job)
        self._scheduling_loop.placement.cancel(job, monotonic_now())
        self._wake()

    def _discard_state(self, job: Job) -> None:
        self._fleet.failure_attribution.forget_job(job.id)
        for extension in self.extensions:
            extension.on_job_ended(job)

    def upcoming_tasks(self, now: Monotonic, within_s: float) -> list[tuple[JobView, int]]:
        """Return the tasks that extensions expect to wait for machines within `within_s` seconds.

        Each entry is a job and its number of tasks.
        """
        return [
            upcoming_job
            for extension in self.extensions
            for upcoming_job in extension.upcoming_tasks(now, within_s)
        ]

    def on_tasks_done(self, job: Job, tasks: list[int]) -> None:
        """Notify extensions that tasks of a job are recorded as done."""
        for extension in self.extensions:
            extension.on_tasks_done(job, tasks)
        self._wake()

    def on_owner_changed(self, owner: Owner) -> None:
        """Notify extensions that a transaction failed because an owner's record has changed."""
        for extension in self.extensions:
            extension.on_owner_changed(owner)

    def on_cancelled(self, name: str, source: str) -> None:
        """Stop a job whose record was deleted or whose cancellation another node acknowledged.

        `source` is logged: how this leader learned of the cancellation.
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
            # This leader is committing the job's end. If a cancellation came first, that
            # transaction fails and its read-back shows the cancellation, which may take as long as
            # an outage of the state service. Tasks of a job that ends without being done may still
            # run and are stopped in either case.
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
        self._discard_state(job)

    def on_ended(self, job: Job) -> None:
        """Log the recorded end of a job and discard state kept for it."""
        if job.outcome == OUTCOME_DONE and job.done_count >= job.spec.tasks:
            spec = job.spec
            log.info(
                "job done: job=%s class=%s tasks=%d took_s=%.0f deadline_s=%s",
                job.id,
                spec.job_class,
                spec.tasks,
                wall_now() - job.submitted,
                f"{spec.deadline_s:.0f}" if spec.deadline_s is not None else "-",
            )
        else:
            log.info("job ended: job=%s outcome=%s", job.id, job.outcome)
        if job.cancelled:
            self._scheduling_loop.placement.cancel(job, monotonic_now())
        self._discard_state(job)
