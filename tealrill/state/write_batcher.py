"""Group commit of the leader's job store: one transaction is in flight while the next one gathers.

Every change is guarded by the mod revision of its own key and of the leader's key. If a transaction
gets no answer, its outcome is unknown: the guarded keys are read back before its changes count as
committed, and a duplicate that is executed late fails its guards.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.state.bindings import Chunk, Job, Owner
from tealrill.state.client import (
    GuardsFailed,
    OutcomeUnknownError,
    StateClient,
    StateError,
    StateUnavailableError,
    TransactionRejectedError,
)
from tealrill.state.fencing import LEADER_KEY, Fence, Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.rate_limiter import RequestPriority
from tealrill.state.records import OUTCOME_CANCELLED, ended_key, job_key
from tealrill.state.transaction_batch import JoinedWrite, TransactionBatch
from tealrill.types import ABSENT, Monotonic, Revision, monotonic_now

log = logging.getLogger(__name__)

_DEFER_S: Final = 2.0
"""Time for which a dirty chunk that nothing waits for may gather more changes."""
_BACK_OFF_S: Final = 0.2
_MAX_ORPHANED_CHUNKS: Final = 32
"""With this many orphaned chunks, job ends delete their chunks even while bindings wait."""


class LeadershipLostError(TealrillError):
    """The guard on the leader's key failed: this node is no longer the leader."""


class WriteBatcher:
    """Commits the dirty state of the job store, for one term of leadership."""

    def __init__(
        self,
        client: StateClient,
        job_store: JobStore,
        leadership: Leadership,
        txn_ops: int,
        committed: Callable[[list[Chunk]], None],
        job_ended: Callable[[Job], None],
    ) -> None:
        self._client = client
        self._job_store = job_store
        self._fence = Fence(client, leadership.mod_revision)
        self._txn_ops = txn_ops
        self._committed = committed
        self._job_ended = job_ended
        self._wake = asyncio.Event()
        self.busy = False
        """True while a transaction is in flight."""
        self.joined: dict[JoinedWrite, None] = {}
        """Pending writes of subsystems; most are written after job ends and new bindings."""
        self.tasks_done: Callable[[Job, list[int]], None] = lambda _, __: None
        """Called when completions of a job with `Job.reports_completions` set are committed."""
        self.owner_changed: Callable[[Owner], None] = lambda _: None
        """Called when the guard on an owner's record has failed."""

    def join(self, joined: JoinedWrite) -> None:
        """Add a subsystem's write and wake the loop."""
        self.joined[joined] = None
        self._wake.set()

    def wake(self) -> None:
        """Wake the loop because there are urgent changes."""
        self._wake.set()

    async def run(self) -> None:
        """Commit changes until leadership is lost; then raise `LeadershipLostError`."""
        while True:
            batch = self._gather(monotonic_now())
            self.busy = bool(batch.changes)
            if batch.changes:
                await self._commit(batch)
                continue
            self._wake.clear()
            try:
                async with asyncio.timeout(0.1 if not batch.complete else 0.5):
                    await self._wake.wait()
            except TimeoutError:
                pass

    # -- gathering the next transaction ---------------------------------------------------------

    def _gather(self, now: Monotonic) -> TransactionBatch:
        """Gather job ends and new bindings by priority class, then deferred changes.

        Higher classes go first: after a mass failure the bindings of hundreds of lost tasks, or
        the ends of hundreds of small jobs of a low class, must not delay an urgent job's binding.
        Within a class job ends precede new bindings, and both are in order of arrival. The first
        entry that does not fit blocks all later ones: an end takes several changes and would
        otherwise starve behind bindings, which take one change each.
        """
        batch = TransactionBatch()
        max_changes = min(self._txn_ops, int(self._client.writes.available()))
        awaited = {j: j.priority_at for j in self.joined if j.priority_at is not None}
        if (
            self._add_all(batch, [j for j, at in awaited.items() if now >= at], max_changes)
            and self._add_urgent(batch, max_changes)
            and self._add_all(batch, [j for j in awaited if j not in batch.joined], max_changes)
        ):
            spare_changes = min(
                max_changes, max(0, int(self._client.writes.available(RequestPriority.LOW)))
            )
            self._add_deferred(batch, spare_changes, now)
        return batch

    def _add_deferred(self, batch: TransactionBatch, max_changes: int, now: Monotonic) -> None:
        """Add changes that neither users nor other jobs wait for."""
        self._add_all(batch, [j for j in self.joined if j.priority_at is None], max_changes)
        for chunk in list(self._job_store.deferred_chunks):
            due = chunk.dirty_since is not None and now - chunk.dirty_since >= _DEFER_S
            if (
                due
                and chunk.job not in batch.jobs
                and not self._add_chunk(batch, chunk, max_changes)
            ):
                break
        for key, mod_revision in list(self._job_store.orphaned_chunks.items()):
            if not batch.add_orphaned_chunk(key, mod_revision, max_changes):
                break

    def _add_urgent(self, batch: TransactionBatch, max_changes: int) -> bool:
        """Add job ends and urgent chunks by priority class.

        Returns False as soon as one does not fit; nothing may be added after it.
        """
        ends: dict[int, list[Job]] = {}
        for job in self._job_store.ending_jobs.values():
            ends.setdefault(job.spec.rank, []).append(job)
        chunks: dict[int, list[Chunk]] = {}
        for chunk in self._job_store.urgent_chunks:
            chunks.setdefault(chunk.job.spec.rank, []).append(chunk)
        for rank in sorted(ends.keys() | chunks.keys(), reverse=True):
            drop_chunks = (
                rank not in chunks or len(self._job_store.orphaned_chunks) >= _MAX_ORPHANED_CHUNKS
            )
            if not all(batch.add_end(job, max_changes, drop_chunks) for job in ends.get(rank, ())):
                return False
            if not all(
                self._add_chunk(batch, chunk, max_changes)
                for chunk in chunks.get(rank, ())
                if chunk.job not in batch.jobs
            ):
                return False
        return True

    @staticmethod
    def _add_all(batch: TransactionBatch, writes: list[JoinedWrite], max_changes: int) -> bool:
        return all(batch.add_joined(joined, max_changes) for joined in writes)

    def _add_chunk(self, batch: TransactionBatch, chunk: Chunk, max_changes: int) -> bool:
        return batch.add_chunk(chunk, self._job_store.value(chunk), max_changes)

    # -- the transaction ------------------------------------------------------------------------

    async def _commit(self, batch: TransactionBatch) -> None:
        self._client.writes.consume(len(batch.changes))
        try:
            result = await self._fence.commit(batch.guards, batch.changes, tokens_acquired=True)
        except StateUnavailableError as error:
            log.debug("commit not executed: error=%s", error)
            await asyncio.sleep(_BACK_OFF_S)
        except TransactionRejectedError as error:
            log.error("commit rejected as malformed: error=%s", error)
            await asyncio.sleep(1.0)
        except OutcomeUnknownError as error:
            log.info("commit outcome unknown, reading keys back: error=%s", error)
            await self._read_back(batch, list(self._fence.guards(batch.guards)))
        else:
            if isinstance(result, GuardsFailed):
                log.debug("commit guards failed: keys=%s", result.keys)
                await self._read_back(batch, result.keys)
            else:
                self._apply(batch, result.revision)

    def _apply(self, batch: TransactionBatch, revision: Revision) -> None:
        for chunk, version, new_bindings in batch.chunks:
            chunk.mod_revision = revision
            chunk.committed = max(chunk.committed, version)
            chunk.new_bindings -= new_bindings
            if chunk.unreported_completions:
                done = [
                    index
                    for completed_in, index in chunk.unreported_completions
                    if completed_in <= version
                ]
                chunk.unreported_completions = [
                    entry for entry in chunk.unreported_completions if entry[0] > version
                ]
                self.tasks_done(chunk.job, done)
            if chunk.job.id not in self._job_store.jobs:
                # The job was dropped while the transaction was in flight, which wrote the chunk
                # again.
                self._job_store.orphaned_chunks[chunk.key] = revision
                continue
            if chunk.version == version:
                self._job_store.urgent_chunks.pop(chunk, None)
                self._job_store.deferred_chunks.pop(chunk, None)
                chunk.dirty_since = None
            elif not chunk.new_bindings:
                self._job_store.urgent_chunks.pop(chunk, None)
                self._job_store.deferred_chunks[chunk] = None
                chunk.dirty_since = monotonic_now()
        for key in batch.orphaned_keys:
            self._job_store.orphaned_chunks.pop(key, None)
        for chunk in batch.dropped_chunks.values():
            chunk.mod_revision = ABSENT
        for job in batch.jobs:
            self._job_store.ended(job)
            self._job_ended(job)
        for joined in batch.joined:
            self.joined.pop(joined, None)
            joined.on_committed(revision)
        self._committed([chunk for chunk, _, new_bindings in batch.chunks if new_bindings])

    async def _read_back(self, batch: TransactionBatch, keys: list[str]) -> None:
        """Read back keys whose guards failed or may have changed, and adopt their revisions."""
        chunks = batch.dropped_chunks | {write.chunk.key: write.chunk for write in batch.chunks}
        jobs = {job.id: job for job in batch.jobs}
        jobs.update({write.chunk.job.id: write.chunk.job for write in batch.chunks})
        jobs_by_key = {job_key(job.id): job for job in jobs.values()}
        owners = {job.owner.key: job.owner for job in jobs.values() if job.owner is not None}
        entries: dict[str, wire.KeyValue | None] = {}
        for key in keys:
            entry = entries[key] = await self._read(key)
            mod_revision = _mod_revision(entry)
            if key in owners and mod_revision != owners[key].mod_revision:
                self.owner_changed(owners[key])
            if key == LEADER_KEY:
                if mod_revision != self._fence.token:
                    raise LeadershipLostError
            elif key in chunks:
                chunks[key].mod_revision = mod_revision
            elif key in jobs_by_key:
                await self._job_changed(jobs_by_key[key], mod_revision)
            elif key in batch.orphaned_keys:
                self._orphan_changed(key, mod_revision)
        self._refuse_stale_writes(batch.joined, entries)

    def _orphan_changed(self, key: str, mod_revision: Revision) -> None:
        """Adopt the revision of an orphaned chunk, or forget the chunk if it no longer exists."""
        if mod_revision == ABSENT:
            self._job_store.orphaned_chunks.pop(key, None)
        else:
            self._job_store.orphaned_chunks[key] = mod_revision

    def _refuse_stale_writes(
        self, writes: list[JoinedWrite], entries: dict[str, wire.KeyValue | None]
    ) -> None:
        """Drop subsystem writes whose guards no longer hold, and report the current values.

        Such a write may have been executed itself: that also changes the keys it guards.
        """
        for joined in writes:
            if any(
                key in entries and _mod_revision(entries[key]) != mod_revision
                for key, mod_revision in joined.guards.items()
            ):
                self.joined.pop(joined, None)
                joined.on_refused({key: entries[key] for key in joined.guards if key in entries})

    async def _job_changed(self, job: Job, mod_revision: Revision) -> None:
        """Determine why a job's record was deleted: its end by this leader, or a cancellation."""
        if mod_revision == job.mod_revision or job.id not in self._job_store.jobs:
            return
        ended = await self._read(ended_key(job.id))
        if ended is not None and ended.value.get("status") == wire.JOB_DONE:
            self._job_store.ended(job)
            self._job_ended(job)
        elif ended is not None:
            job.outcome = ended.value.get("outcome", OUTCOME_CANCELLED)
            self._job_store.cancel(job)
            self._job_ended(job)

    async def _read(self, key: str) -> wire.KeyValue | None:
        while True:
            try:
                return await self._client.get(key)
            except StateError as error:
                log.debug("read-back failed: key=%s error=%s", key, error)
                await asyncio.sleep(_BACK_OFF_S)


def _mod_revision(entry: wire.KeyValue | None) -> Revision:
    return ABSENT if entry is None else Revision(entry.version)
