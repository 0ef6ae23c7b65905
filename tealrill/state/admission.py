"""Submission, status and cancellation of jobs; identical on every node, leader or not.

Every answer is read from the state service, never from possibly stale memory; only final states are
cached. A job's record moves from `job/` to `over/` exactly once, so reading the two keys in that
order never misses it.
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

_MAX_CACHED_JOBS: Final = 20_000
_RETRY_PAUSES_S: Final = (0.03, 0.06)
"""Pauses before a submission that the state service answered with 429 is committed again."""
_MAX_CANCEL_ATTEMPTS: Final = 4


@dataclass(frozen=True, slots=True)
class Reply:
    """A response to a user's request."""

    status: int
    body: dict[str, Any]
    retry_after_s: int | None = None
    retry_on_other_node: bool = False
    """Another node may succeed where this one failed."""


def _unavailable(reason: str, retry_on_other_node: bool = True) -> Reply:
    return Reply(503, {"error": reason}, retry_after_s=1, retry_on_other_node=retry_on_other_node)


def _rejected(error: JobRejectedError) -> Reply:
    return Reply(error.status, {"error": str(error)})


_NOT_FOUND: Final = Reply(404, {"error": "no such job"})


@dataclass(frozen=True, slots=True)
class ImplicitJob:
    """A job without a record under `job/`."""

    status: str
    """`pending` if it may still get a record; `aborted` if it has one under `over/` or will never
    get one."""
    outcome: str = ""
    """How it ended, if it has no record under `over/` either."""


class ImplicitJobs(Protocol):
    """Jobs that belong to a subsystem's record, with or without a record of their own."""

    def conflicting_keys(self, job_id: JobId) -> list[str]:
        """Return the keys that must not exist for a separate job of this id to be accepted."""

    async def status(self, job_id: JobId) -> ImplicitJob | None:
        """Return the status of a job without a record of its own; None if there is no such job."""

    async def refusal(self, job_id: JobId) -> Reply | None:
        """Return the reply that permanently refuses a separate job of this id; None otherwise."""

    async def cancel(self, job_id: JobId) -> Revision | None:
        """Cancel a job without a record of its own; None if the caller must read it again."""


class Admission:
    """Handles users' requests to submit, poll and cancel jobs."""

    def __init__(
        self,
        client: StateClient,
        settings: Settings,
        catalogue: Callable[[], wire.Catalogue | None],
    ) -> None:
        self._client = client
        self._validator = JobValidator(settings, catalogue)
        self._ended_jobs: OrderedDict[JobId, wire.KeyValue] = OrderedDict()
        """Cached records of ended jobs, without their specifications."""
        self.acknowledged = AcknowledgedCancellations(lambda: client.first_seen)
        self.implicit_jobs: ImplicitJobs | None = None
        self.counts: Callable[[JobId], tuple[int, int] | None] = lambda _: None
        """Returns the numbers of done and running tasks if this node leads; otherwise None."""

    # -- submissions ----------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Reply:
        """Accept a job; a repeated submission gets the current status of the accepted job."""
        try:
            return await self._submit(body)
        except StateError as error:
            log.debug("submission failed: error=%s", error)
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
        # An accepted job stays accepted even if a repeated submission of it is invalid.
        if job_id is not None:
            existing = await self._existing_job_reply(job_id)
            if existing is not None:
                return existing
        return rejection or _unavailable("not decided")

    def rejection(
        self, spec: wire.JobSpec, job_id: JobId | None, overhead_bytes: int = 100
    ) -> Reply | None:
        """Return the reply that rejects a job specification; None if it is valid.

        `overhead_bytes` is the size of the record's other fields.
        """
        try:
            self._validator.check(spec, job_id, overhead_bytes)
        except JobRejectedError as error:
            return _rejected(error)
        except CatalogueUnknownError as error:
            return _unavailable(str(error))
        return None

    def _require_state_service(self) -> None:
        """Raise `StateUnavailableError` at once while the state service is unavailable.

        Otherwise every retry by a user costs one useless request here and one at the node that it
        is relayed to: 70,000 in an outage of three minutes, and most of a day's processor time.
        """
        if self._client.unavailable:
            raise StateUnavailableError("the state service is unavailable")

    async def _accept(self, spec: wire.JobSpec, job_id: JobId) -> Reply:
        self._require_state_service()
        if not self._client.submissions.try_acquire():
            return self._refuse(job_id, "too many submissions", retry_on_other_node=False)
        guards = [wire.guard(job_key(job_id), ABSENT), wire.guard(ended_key(job_id), ABSENT)]
        if self.implicit_jobs is not None:
            guards += [
                wire.guard(key, ABSENT) for key in self.implicit_jobs.conflicting_keys(job_id)
            ]
        record = {"spec": wire.to_builtins(spec), "at": wall_now()}
        try:
            result = await self._commit_with_retries(guards, [wire.put(job_key(job_id), record)])
        except TransactionRejectedError as error:
            return Reply(400, {"error": f"the state service can't keep it: {error}"})
        except StateUnavailableError as error:
            return self._refuse(
                job_id, str(error), retry_on_other_node=not isinstance(error, RateLimitedError)
            )
        except OutcomeUnknownError:
            # The record may exist or may be written later: accept only what can be read back.
            return await self._existing_job_reply(job_id) or self._refuse(job_id, "not confirmed")
        if isinstance(result, Committed):
            log.debug("job accepted: job=%s", job_id)
            return Reply(201, wire.accepted(job_id, wire.JOB_PENDING))
        existing = await self._existing_job_reply(job_id)
        if existing is None and self.implicit_jobs is not None:
            existing = await self.implicit_jobs.refusal(job_id)
        return existing or _unavailable("not decided")

    async def _commit_with_retries(
        self, guards: list[Any], changes: list[Any]
    ) -> Committed | GuardsFailed:
        """Commit a transaction; retry after short pauses while the state service answers 429."""
        for pause_s in _RETRY_PAUSES_S:
            try:
                return await self._client.commit(guards, changes, tokens_acquired=True)
            except RateLimitedError:
                await asyncio.sleep(pause_s)
        return await self._client.commit(guards, changes, tokens_acquired=True)

    @staticmethod
    def _refuse(job_id: JobId, reason: str, retry_on_other_node: bool = True) -> Reply:
        log.info("submission refused: job=%s reason=%s", job_id, reason)
        return _unavailable(reason, retry_on_other_node)

    async def _existing_job_reply(self, job_id: JobId) -> Reply | None:
        """Return the reply to a repeated submission; None if the job is not known.

        If the status can't be determined now, the reply is a 503: the job may have been accepted,
        so it must not be rejected as malformed.
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
            log.debug("poll failed: error=%s", error)
            return _unavailable("the state service can't be reached")

    async def _status(self, job_id: JobId) -> Reply:
        ended = self._ended_jobs.get(job_id)
        if ended is not None:
            return self._final_reply(job_id, ended)
        self._require_state_service()
        # The counts may be stale, the status must not be: if the record were read first, another
        # node could report the job as done while the counts are read.
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
        ended = await self._read_ended(job_id)
        if ended is None:
            return await self._implicit_status(job_id)
        return self._final_reply(job_id, ended)

    async def _status_after_owner(self, job_id: JobId, owner: str) -> Reply:
        """Return the status of a job whose owner has ended and whose record has not moved yet.

        The end of the owner is the end of the job.
        """
        ended = await self._read_ended(job_id)
        if ended is not None:
            return self._final_reply(job_id, ended)
        end = await self._client.get(ENDED_PREFIX + owner, RequestPriority.NORMAL)
        if end is None:
            return _unavailable("its owner's record is being moved")
        # This poll may be the first acknowledgement of the owner's cancellation.
        self.acknowledge(owner, Revision(end.version))
        body = wire.job_status(job_id, wire.JOB_CANCELLED)
        return Reply(200, {**body, "outcome": OUTCOME_CANCELLED})

    async def _implicit_status(self, job_id: JobId) -> Reply:
        """Return the status of a job without a record of its own."""
        implicit_job = (
            await self.implicit_jobs.status(job_id) if self.implicit_jobs is not None else None
        )
        if implicit_job is None:
            return _NOT_FOUND
        if implicit_job.status == wire.JOB_CANCELLED:
            # The job may have run and ended between the two reads.
            ended = await self._read_ended(job_id)
            if ended is not None:
                return self._final_reply(job_id, ended)
        body = wire.job_status(job_id, implicit_job.status)
        if implicit_job.outcome:
            body["outcome"] = implicit_job.outcome
        return Reply(200, body)

    def _final_reply(self, job_id: JobId, ended: wire.KeyValue) -> Reply:
        status = ended.value["status"]
        done = ended.value.get("tasks", 0) if status == wire.JOB_DONE else 0
        body = wire.job_status(job_id, status, done, 0)
        if "outcome" in ended.value:
            body["outcome"] = ended.value["outcome"]
        return Reply(200, body)

    async def _read_ended(
        self, job_id: JobId, priority: RequestPriority = RequestPriority.NORMAL
    ) -> wire.KeyValue | None:
        ended = await self._client.get(ended_key(job_id), priority)
        if ended is not None:
            # The specification is most of the record, and only a new leader needs it.
            value = {k: v for k, v in ended.value.items() if k != "spec"}
            ended = wire.KeyValue(value=value, version=ended.version)
            self._ended_jobs[job_id] = ended
            if value["status"] == wire.JOB_CANCELLED:
                # This poll may be the first acknowledgement of the cancellation.
                self.acknowledge(job_id, Revision(ended.version))
            while len(self._ended_jobs) > _MAX_CACHED_JOBS:
                self._ended_jobs.popitem(last=False)
        return ended

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
        """Cancel the job whose id is `text`; a cancellation is final."""
        job_id = parse_job_id(text)
        if job_id is None:
            return _NOT_FOUND
        try:
            for _ in range(_MAX_CANCEL_ATTEMPTS):
                reply = await self._cancel(job_id)
                if reply is not None:
                    return reply
        except StateError as error:
            log.debug("cancellation failed: error=%s", error)
        return _unavailable("the state service can't be reached")

    async def _cancel(self, job_id: JobId) -> Reply | None:
        """Try to cancel a job; return None if its record must be read again."""
        self._require_state_service()
        entry = await self._client.get(job_key(job_id))
        if entry is None:
            ended = await self._read_ended(job_id, RequestPriority.HIGH)
            if ended is None:
                return await self._cancel_implicit(job_id)
            return Reply(200, wire.accepted(job_id, ended.value["status"]))
        # The specification is kept: a new leader needs it until the job's tasks have stopped.
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
        implicit_job = (
            await self.implicit_jobs.status(job_id) if self.implicit_jobs is not None else None
        )
        if self.implicit_jobs is None or implicit_job is None:
            return _NOT_FOUND
        if implicit_job.status == wire.JOB_CANCELLED:
            ended = await self._read_ended(job_id, RequestPriority.HIGH)
            status = ended.value["status"] if ended is not None else implicit_job.status
            return Reply(200, wire.accepted(job_id, status))
        revision = await self.implicit_jobs.cancel(job_id)
        if revision is None:
            return None
        log.info("job %s cancelled before its release: revision=%d", job_id, revision)
        self.acknowledge(job_id, revision)
        return Reply(200, wire.accepted(job_id, wire.JOB_CANCELLED))

    def acknowledge(self, job_id: str, revision: Revision) -> None:
        """Record a cancellation committed at `revision`, before a user is told of it."""
        self.acknowledged.add(job_id, revision)
