"""Group commit of the leader's job store: one transaction in flight, the rest gathers.

Every change is guarded by its own key's stamp and by the leader's, so a duplicate of a transaction
that got no answer fails if it is executed late. After no answer the keys are read back before
anything is claimed.
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

_LAZY_S: Final = 2.0
"""How long a change that nobody waits for may gather more of its kind."""
_BACK_OFF_S: Final = 0.2
_LEFTOVERS: Final = 32
"""With so many chunks left over, they go with ends though bindings wait."""


class LeadershipLostError(TealrillError):
    """The guard on the leader's key failed: somebody else leads, or nobody."""


class WriteBatcher:
    """Commits what is dirty, for one term of leadership."""

    def __init__(
        self,
        client: StateClient,
        job_store: JobStore,
        leadership: Leadership,
        txn_ops: int,
        committed: Callable[[list[Chunk]], None],
        job_over: Callable[[Job], None],
    ) -> None:
        self._client = client
        self._job_store = job_store
        self._fence = Fence(client, leadership.mod_revision)
        self._txn_ops = txn_ops
        self._committed = committed
        self._job_over = job_over
        self._wake = asyncio.Event()
        self.busy = False
        """A transaction has been sent and not been answered."""
        self.joined: dict[JoinedWrite, None] = {}
        """What subsystems have to write; it goes behind ends and new bindings."""
        self.tasks_done: Callable[[Job, list[int]], None] = lambda _, __: None
        """Tasks of a job that others follow are written down as done."""
        self.owner_changed: Callable[[Owner], None] = lambda _: None
        """A guard on the record that jobs belong to failed."""

    def join(self, joined: JoinedWrite) -> None:
        """Take in a subsystem's write, and wake the loop."""
        self.joined[joined] = None
        self._wake.set()

    def wake(self) -> None:
        """Note that something urgent is dirty."""
        self._wake.set()

    async def run(self) -> None:
        """Commit until leadership is lost; raises `LeadershipLostError` then."""
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

    # -- what goes into the next transaction ----------------------------------------------------

    def _gather(self, now: Monotonic) -> TransactionBatch:
        """Gather what users wait for by urgency class, then the rest.

        Within a class ends of jobs go first, then new bindings in the order in which they came:
        after a fall the bindings of hundreds of lost tasks would otherwise go before an urgent
        job's, and so did the ends of hundreds of small jobs of a low class. What comes first and
        finds no room is waited for: an end takes several changes, and bindings of one change each
        used up the rate before there was ever room for it.
        """
        batch = TransactionBatch()
        room = min(self._txn_ops, int(self._client.writes.available()))
        awaited = {j: j.priority_at for j in self.joined if j.priority_at is not None}
        if (
            self._add_all(batch, [j for j, at in awaited.items() if now >= at], room)
            and self._add_awaited(batch, room)
            and self._add_all(batch, [j for j in awaited if j not in batch.joined], room)
        ):
            spare = min(room, max(0, int(self._client.writes.available(RequestPriority.LOW))))
            self._add_deferred(batch, spare, now)
        return batch

    def _add_deferred(self, batch: TransactionBatch, room: int, now: Monotonic) -> None:
        """Add what nobody waits for."""
        self._add_all(batch, [j for j in self.joined if j.priority_at is None], room)
        for chunk in list(self._job_store.deferred_chunks):
            due = chunk.dirty_since is not None and now - chunk.dirty_since >= _LAZY_S
            if due and chunk.job not in batch.jobs and not self._add_chunk(batch, chunk, room):
                break
        for key, mod_revision in list(self._job_store.orphaned_chunks.items()):
            if not batch.add_obsolete(key, mod_revision, room):
                break

    def _add_awaited(self, batch: TransactionBatch, room: int) -> bool:
        """Add ends and new bindings; return False when one found no room: nothing may pass it."""
        ends: dict[int, list[Job]] = {}
        for job in self._job_store.ending_jobs.values():
            ends.setdefault(job.spec.rank, []).append(job)
        chunks: dict[int, list[Chunk]] = {}
        for chunk in self._job_store.urgent_chunks:
            chunks.setdefault(chunk.job.spec.rank, []).append(chunk)
        for rank in sorted(ends.keys() | chunks.keys(), reverse=True):
            drop_chunks = rank not in chunks or len(self._job_store.orphaned_chunks) >= _LEFTOVERS
            if not all(batch.add_end(job, room, drop_chunks) for job in ends.get(rank, ())):
                return False
            if not all(
                self._add_chunk(batch, chunk, room)
                for chunk in chunks.get(rank, ())
                if chunk.job not in batch.jobs
            ):
                return False
        return True

    @staticmethod
    def _add_all(batch: TransactionBatch, writes: list[JoinedWrite], room: int) -> bool:
        return all(batch.add_joined(joined, room) for joined in writes)

    def _add_chunk(self, batch: TransactionBatch, chunk: Chunk, room: int) -> bool:
        return batch.add_chunk(chunk, self._job_store.value(chunk), room)

    # -- the transaction ------------------------------------------------------------------------

    async def _commit(self, batch: TransactionBatch) -> None:
        self._client.writes.consume(len(batch.changes))
        try:
            result = await self._fence.commit(batch.guards, batch.changes, tokens_acquired=True)
        except StateUnavailableError as error:
            log.debug("commit refused: %s", error)
            await asyncio.sleep(_BACK_OFF_S)
        except TransactionRejectedError as error:
            log.error("commit rejected: %s", error)
            await asyncio.sleep(1.0)
        except OutcomeUnknownError as error:
            log.info("commit without an answer (%s): reading back", error)
            await self._reread(batch, list(self._fence.guards(batch.guards)))
        else:
            if isinstance(result, GuardsFailed):
                log.debug("commit failed on %s", result.keys)
                await self._reread(batch, result.keys)
            else:
                self._apply(batch, result.revision)

    def _apply(self, batch: TransactionBatch, revision: Revision) -> None:
        for chunk, version, new_bindings in batch.chunks:
            chunk.mod_revision = revision
            chunk.committed = max(chunk.committed, version)
            chunk.new_bindings -= new_bindings
            if chunk.news:
                done = [index for since, index in chunk.news if since <= version]
                chunk.news = [news for news in chunk.news if news[0] > version]
                self.tasks_done(chunk.job, done)
            if chunk.job.id not in self._job_store.jobs:
                # The job went away meanwhile; its chunk was written once more.
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
        for key in batch.obsolete:
            self._job_store.orphaned_chunks.pop(key, None)
        for chunk in batch.dropped_chunks.values():
            chunk.mod_revision = ABSENT
        for job in batch.jobs:
            self._job_store.ended(job)
            self._job_over(job)
        for joined in batch.joined:
            self.joined.pop(joined, None)
            joined.applied(revision)
        self._committed([chunk for chunk, _, new_bindings in batch.chunks if new_bindings])

    async def _reread(self, batch: TransactionBatch, keys: list[str]) -> None:
        """Read back keys whose guards failed or may have changed, and take over their stamps."""
        chunks = batch.dropped_chunks | {write.chunk.key: write.chunk for write in batch.chunks}
        jobs = {job.id: job for job in batch.jobs}
        jobs.update({write.chunk.job.id: write.chunk.job for write in batch.chunks})
        jobs_by_key = {job_key(job.id): job for job in jobs.values()}
        owners = {job.owner.key: job.owner for job in jobs.values() if job.owner is not None}
        found: dict[str, wire.KeyValue | None] = {}
        for key in keys:
            entry = found[key] = await self._read(key)
            mod_revision = _stamp(entry)
            if key in owners and mod_revision != owners[key].mod_revision:
                self.owner_changed(owners[key])
            if key == LEADER_KEY:
                if mod_revision != self._fence.token:
                    raise LeadershipLostError
            elif key in chunks:
                chunks[key].mod_revision = mod_revision
            elif key in jobs_by_key:
                await self._job_changed(jobs_by_key[key], mod_revision)
            elif key in batch.obsolete:
                self._obsolete_changed(key, mod_revision)
        self._refuse_outdated(batch.joined, found)

    def _obsolete_changed(self, key: str, mod_revision: Revision) -> None:
        """Take over the stamp of an obsolete chunk; absent, it needs no removal any more."""
        if mod_revision == ABSENT:
            self._job_store.orphaned_chunks.pop(key, None)
        else:
            self._job_store.orphaned_chunks[key] = mod_revision

    def _refuse_outdated(
        self, writes: list[JoinedWrite], found: dict[str, wire.KeyValue | None]
    ) -> None:
        """Drop the writes of subsystems that can't be executed any more, executed or not."""
        for joined in writes:
            if any(
                key in found and _stamp(found[key]) != mod_revision
                for key, mod_revision in joined.guards.items()
            ):
                self.joined.pop(joined, None)
                joined.refused({key: found[key] for key in joined.guards if key in found})

    async def _job_changed(self, job: Job, mod_revision: Revision) -> None:
        """Find out why the job's record is gone: this leader's own end of it, or a cancellation."""
        if mod_revision == job.mod_revision or job.id not in self._job_store.jobs:
            return
        over = await self._read(ended_key(job.id))
        if over is not None and over.value.get("status") == wire.JOB_DONE:
            self._job_store.ended(job)
            self._job_over(job)
        elif over is not None:
            job.outcome = over.value.get("outcome", OUTCOME_CANCELLED)
            self._job_store.cancel(job)
            self._job_over(job)

    async def _read(self, key: str) -> wire.KeyValue | None:
        while True:
            try:
                return await self._client.get(key)
            except StateError as error:
                log.debug("reading %s back: %s", key, error)
                await asyncio.sleep(_BACK_OFF_S)


def _stamp(entry: wire.KeyValue | None) -> Revision:
    return ABSENT if entry is None else Revision(entry.version)
