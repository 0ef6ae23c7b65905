"""Accepting, showing and cancelling jobs: the same on every node, leader or not.

Each answer comes from the state service, never from a memory that may be out of date; only final
states are remembered. A job's record moves from `job/` to `over/` once and for ever, so reading
the two keys in that order never misses it.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol

from tealrill import wire
from tealrill.settings import Settings
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.client import (
    Committed,
    GuardsFailed,
    OutcomeUnknownError,
    RateLimitedError,
    StateClient,
    StateError,
    StateUnavailableError,
    TransactionRejectedError,
)
from tealrill.state.rate_limiter import RequestPriority
from tealrill.state.records import (
    ENDED_PREFIX,
    JOB_PREFIX,
    OUTCOME_CANCELLED,
    RUN_PREFIX,
    ended_key,
    job_key,
)
from tealrill.state.validation import (
    CatalogueUnknownError,
    JobRejectedError,
    JobValidator,
    decode_job,
    requested_job_id,
)
from tealrill.types import ABSENT, JobId, Revision, parse_job_id, wall_now

log = logging.getLogger(__name__)

_REMEMBERED: Final = 20_000
_ACCEPT_PAUSES_S: Final = (0.03, 0.06)
"""Pauses before an acceptance that the state service called too much (429) is sent again."""
_TRIES: Final = 4


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer to a user."""

    status: int
    body: dict[str, Any]
    retry_after_s: int | None = None
    retry_on_other_node: bool = False
    """Another node may be able to do what this one could not."""


def _unavailable(why: str, retry_on_other_node: bool = True) -> Reply:
    return Reply(503, {"error": why}, retry_after_s=1, retry_on_other_node=retry_on_other_node)


def _rejected(error: JobRejectedError) -> Reply:
    return Reply(error.status, {"error": str(error)})


_NOT_FOUND: Final = Reply(404, {"error": "no such job"})


@dataclass(frozen=True, slots=True)
class ImplicitJob:
    """A job without a record of its own."""

    status: str
    """`pending` if it may get one yet, `aborted` if it has one in `over/` or never will."""
    outcome: str = ""
    """How it ended if it has none there."""


class ImplicitJobs(Protocol):
    """Job ids that belong to a subsystem's record, whether or not they have one of their own."""

    def conflicting_keys(self, job_id: JobId) -> list[str]:
        """Return the keys that must be absent for somebody else's job of this id to be accepted."""

    async def status(self, job_id: JobId) -> ImplicitJob | None:
        """Return the status of an id without a record of its own; None if it is no job."""

    async def refusal(self, job_id: JobId) -> Reply | None:
        """Return why a job of this id can't be accepted, if that will not change."""

    async def cancel(self, job_id: JobId) -> Revision | None:
        """Cancel a job without a record of its own; None if that has to be looked at again."""


class Admission:
    """Accepts, shows and cancels jobs for users."""

    def __init__(
        self,
        client: StateClient,
        settings: Settings,
        catalogue: Callable[[], wire.Catalogue | None],
    ) -> None:
        self._client = client
        self._validator = JobValidator(settings, catalogue)
        self._over: OrderedDict[JobId, wire.KeyValue] = OrderedDict()
        self.acknowledged = AcknowledgedCancellations(lambda: client.first_seen)
        self.implicit_jobs: ImplicitJobs | None = None
        self.counts: Callable[[JobId], tuple[int, int] | None] = lambda _: None
        """Done and running tasks as the leader's memory has them; None elsewhere."""

    # -- submissions ----------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Reply:
        """Accept a job, or repeat the answer to an earlier submission of it."""
        try:
            return await self._submit(body)
        except StateError as error:
            log.debug("submission: %s", error)
            return _unavailable("the state service can't be reached")

    async def _submit(self, body: bytes) -> Reply:
        job_id = requested_job_id(body)
        rejection: Reply | None = None
        spec: wire.JobSpec | None = None
        try:
            spec = decode_job(body)
        except JobRejectedError as error:
            rejection = _rejected(error)
        if spec is not None:
            rejection = self.rejection(spec, job_id)
        if rejection is None and spec is not None and job_id is not None:
            return await self._accept(spec, job_id)
        # What was accepted once stays accepted, whatever a repetition says.
        if job_id is not None:
            known = await self._known(job_id)
            if known is not None:
                return known
        return rejection or _unavailable("not decided")

    def rejection(
        self, spec: wire.JobSpec, job_id: JobId | None, beside_bytes: int = 100
    ) -> Reply | None:
        """Return what stands against a job; `beside_bytes` is what its record holds beside it."""
        try:
            self._validator.check(spec, job_id, beside_bytes)
        except JobRejectedError as error:
            return _rejected(error)
        except CatalogueUnknownError as error:
            return _unavailable(str(error))
        return None

    def _reach(self) -> None:
        """Raise `StateUnavailableError` at once while the state service is away.

        Each user's try would be one more request in vain, here and at the node that it is handed
        to: 70,000 in one outage of three minutes, and most of a day's processor time.
        """
        if self._client.unavailable:
            raise StateUnavailableError("the state service is away")

    async def _accept(self, spec: wire.JobSpec, job_id: JobId) -> Reply:
        self._reach()
        if not self._client.submissions.try_acquire():
            return self._refuse(job_id, "too many submissions", retry_on_other_node=False)
        guards = [wire.guard(job_key(job_id), ABSENT), wire.guard(ended_key(job_id), ABSENT)]
        if self.implicit_jobs is not None:
            guards += [
                wire.guard(key, ABSENT) for key in self.implicit_jobs.conflicting_keys(job_id)
            ]
        record = {"spec": wire.plain(spec), "at": wall_now()}
        try:
            result = await self._commit_accepted(guards, [wire.put(job_key(job_id), record)])
        except TransactionRejectedError as error:
            return Reply(400, {"error": f"the state service can't keep it: {error}"})
        except StateUnavailableError as error:
            return self._refuse(
                job_id, str(error), retry_on_other_node=not isinstance(error, RateLimitedError)
            )
        except OutcomeUnknownError:
            # It may be kept or may yet be: only what can be read back is accepted.
            return await self._known(job_id) or self._refuse(job_id, "not confirmed")
        if isinstance(result, Committed):
            log.debug("job %s accepted", job_id)
            return Reply(201, wire.accepted(job_id, wire.JOB_PENDING))
        known = await self._known(job_id)
        if known is None and self.implicit_jobs is not None:
            known = await self.implicit_jobs.refusal(job_id)
        return known or _unavailable("not decided")

    async def _commit_accepted(
        self, guards: list[Any], changes: list[Any]
    ) -> Committed | GuardsFailed:
        """Commit, and send again after a moment while the state service is at its limit."""
        for pause_s in _ACCEPT_PAUSES_S:
            try:
                return await self._client.commit(guards, changes, tokens_acquired=True)
            except RateLimitedError:
                await asyncio.sleep(pause_s)
        return await self._client.commit(guards, changes, tokens_acquired=True)

    @staticmethod
    def _refuse(job_id: JobId, why: str, retry_on_other_node: bool = True) -> Reply:
        log.info("submission of %s refused: %s", job_id, why)
        return _unavailable(why, retry_on_other_node)

    async def _known(self, job_id: JobId) -> Reply | None:
        """Return the answer to a repeated submission; None if the job is not known.

        What can't be told at this moment is no leave to call it malformed: it may be accepted.
        """
        reply = await self._status(job_id)
        if reply.status == 503:
            return reply
        if reply.status != 200:
            return None
        return Reply(200, wire.accepted(job_id, reply.body["status"]))

    # -- polls ----------------------------------------------------------------------------------

    async def status(self, text: str) -> Reply:
        """Return the status of the job whose id is `text`."""
        job_id = parse_job_id(text)
        if job_id is None:
            return _NOT_FOUND
        try:
            return await self._status(job_id)
        except StateError as error:
            log.debug("poll: %s", error)
            return _unavailable("the state service can't be reached")

    async def _status(self, job_id: JobId) -> Reply:
        over = self._over.get(job_id)
        if over is not None:
            return self._final(job_id, over)
        self._reach()
        # The counts may lag, the record may not: read first, it was as old as the counts' way
        # when it was told, and another node had said `done` meanwhile.
        done, running = await self._counts(job_id)
        entry = await self._client.get(job_key(job_id), RequestPriority.NORMAL)
        owner = entry.value.get("owner") if entry is not None else None
        if (
            owner is not None
            and await self._client.get(JOB_PREFIX + owner, RequestPriority.NORMAL) is None
        ):
            return await self._status_after_owner(job_id, owner)
        if entry is not None:
            status = wire.JOB_RUNNING if running else wire.JOB_PENDING
            return Reply(200, wire.job_status(job_id, status, done, running))
        over = await self._read_over(job_id)
        if over is None:
            return await self._implicit_status(job_id)
        return self._final(job_id, over)

    async def _status_after_owner(self, job_id: JobId, owner: str) -> Reply:
        """Return the owner's end: it is the job's, though its record is not moved yet."""
        over = await self._read_over(job_id)
        if over is not None:
            return self._final(job_id, over)
        end = await self._client.get(ENDED_PREFIX + owner, RequestPriority.NORMAL)
        if end is None:
            return _unavailable("its owner's record is being moved")
        # The user is told here, perhaps before whoever cancelled the owner could be.
        self.acknowledge(owner, Revision(end.version))
        body = wire.job_status(job_id, wire.JOB_CANCELLED)
        return Reply(200, {**body, "outcome": OUTCOME_CANCELLED})

    async def _implicit_status(self, job_id: JobId) -> Reply:
        """Return the status of a job without a record of its own."""
        found = await self.implicit_jobs.status(job_id) if self.implicit_jobs is not None else None
        if found is None:
            return _NOT_FOUND
        if found.status == wire.JOB_CANCELLED:
            # It may have run and ended between the readings.
            over = await self._read_over(job_id)
            if over is not None:
                return self._final(job_id, over)
        body = wire.job_status(job_id, found.status)
        if found.outcome:
            body["outcome"] = found.outcome
        return Reply(200, body)

    def _final(self, job_id: JobId, over: wire.KeyValue) -> Reply:
        status = over.value["status"]
        done = over.value.get("tasks", 0) if status == wire.JOB_DONE else 0
        body = wire.job_status(job_id, status, done, 0)
        if "outcome" in over.value:
            body["outcome"] = over.value["outcome"]
        return Reply(200, body)

    async def _read_over(
        self, job_id: JobId, priority: RequestPriority = RequestPriority.NORMAL
    ) -> wire.KeyValue | None:
        over = await self._client.get(ended_key(job_id), priority)
        if over is not None:
            # Without the description, which only a new leader needs: it is most of the record.
            value = {k: v for k, v in over.value.items() if k != "spec"}
            over = wire.KeyValue(value=value, version=over.version)
            self._over[job_id] = over
            if value["status"] == wire.JOB_CANCELLED:
                # A poll tells a user as well, perhaps before the node that cancelled it could.
                self.acknowledge(job_id, Revision(over.version))
            while len(self._over) > _REMEMBERED:
                self._over.popitem(last=False)
        return over

    async def _counts(self, job_id: JobId) -> tuple[int, int]:
        counts = self.counts(job_id)
        if counts is not None:
            return counts
        done = running = 0
        entries, _ = await self._client.scan(f"{RUN_PREFIX}{job_id}/", RequestPriority.NORMAL)
        for entry in entries:
            for task in entry.value.get("tasks", []):
                if task == -1:
                    done += 1
                elif isinstance(task, list) and len(task) > 1:
                    running += 1
        return done, running

    # -- cancellations --------------------------------------------------------------------------

    async def cancel(self, text: str) -> Reply:
        """Cancel the job whose id is `text`, once and for ever."""
        job_id = parse_job_id(text)
        if job_id is None:
            return _NOT_FOUND
        try:
            for _ in range(_TRIES):
                reply = await self._cancel(job_id)
                if reply is not None:
                    return reply
        except StateError as error:
            log.debug("cancellation: %s", error)
        return _unavailable("the state service can't be reached")

    async def _cancel(self, job_id: JobId) -> Reply | None:
        """Try to cancel a job; return None when it has to be looked at again."""
        self._reach()
        entry = await self._client.get(job_key(job_id))
        if entry is None:
            over = await self._read_over(job_id, RequestPriority.HIGH)
            if over is None:
                return await self._cancel_implicit(job_id)
            return Reply(200, wire.accepted(job_id, over.value["status"]))
        # The description stays: a new leader needs it until the job's tasks are gone.
        record = {
            "status": wire.JOB_CANCELLED,
            "spec": entry.value["spec"],
            "ended_at": round(wall_now(), 1),
        }
        guards = [
            wire.guard(job_key(job_id), entry.version),
            wire.guard(ended_key(job_id), ABSENT),
        ]
        changes = [wire.delete(job_key(job_id)), wire.put(ended_key(job_id), record)]
        try:
            result = await self._client.commit(guards, changes)
        except OutcomeUnknownError:
            return None
        except (StateUnavailableError, TransactionRejectedError):
            return _unavailable("not cancelled yet")
        if isinstance(result, GuardsFailed):
            return None
        log.info("job %s cancelled: revision=%d", job_id, result.revision)
        self.acknowledge(job_id, result.revision)
        return Reply(200, wire.accepted(job_id, wire.JOB_CANCELLED))

    async def _cancel_implicit(self, job_id: JobId) -> Reply | None:
        found = await self.implicit_jobs.status(job_id) if self.implicit_jobs is not None else None
        if self.implicit_jobs is None or found is None:
            return _NOT_FOUND
        if found.status == wire.JOB_CANCELLED:
            over = await self._read_over(job_id, RequestPriority.HIGH)
            status = over.value["status"] if over is not None else found.status
            return Reply(200, wire.accepted(job_id, status))
        revision = await self.implicit_jobs.cancel(job_id)
        if revision is None:
            return None
        log.info("job %s cancelled before it was released: revision=%d", job_id, revision)
        self.acknowledge(job_id, revision)
        return Reply(200, wire.accepted(job_id, wire.JOB_CANCELLED))

    def acknowledge(self, job_id: str, revision: Revision) -> None:
        """Note that the user may be told of a cancellation in this revision from here on."""
        self.acknowledged.add(job_id, revision)
