"""Writes the leader's book to the state service: one transaction in flight, the rest gathers.

Every change is guarded by its own key's stamp and by the leader's, so a twin of a transaction that
got no answer fails if it is executed late. After no answer the keys are read back before anything
is claimed.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

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
from tealrill.state.records import OUTCOME_CANCELLED, OUTCOME_DONE, job_key, over_key
from tealrill.types import ABSENT, Monotonic, Revision, monotonic_now

log = logging.getLogger(__name__)

_LAZY_S: Final = 2.0
"""How long a change that nobody waits for may gather more of its kind."""
_TXN_BYTES: Final = 60 * 1024
_BACK_OFF_S: Final = 0.2
_DROPPED_AT_ONCE: Final = 2
"""Chunks that go with a job's end; a larger job's are removed when there is time."""
_LEFTOVERS: Final = 32
"""With so many chunks left over, they go with ends though bindings wait."""


class LeadershipLostError(TealrillError):
    """The guard on the leader's key failed: somebody else leads, or nobody."""


@dataclass(slots=True, eq=False)
class JoinedWrite:
    """Changes of a subsystem that go into the leader's transactions, all or none of them."""

    guards: dict[str, Revision]
    changes: list[dict[str, Any]]
    applied: Callable[[Revision], None]
    """They were executed, in this revision."""
    refused: Callable[[dict[str, wire.KeyValue | None]], None]
    """They were not, and will not be; with the guards' keys as they were read back since."""
    ahead_at: Monotonic | None = None
    """For what somebody waits for: right behind new bindings, and from this moment on before them,
    whatever else there is to write. None: when there is room for what can wait."""

    @property
    def size(self) -> int:
        return sum(len(wire.encode(change)) for change in self.changes) + 100 * len(self.guards)


@dataclass(slots=True)
class _Batch:
    guards: dict[str, Revision] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    chunks: list[tuple[Chunk, int, int]] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    deregistered: dict[str, Chunk] = field(default_factory=dict)
    """Chunks that go with the end of their job."""
    garbage: list[str] = field(default_factory=list)
    joined: list[JoinedWrite] = field(default_factory=list)
    bytes: int = 0
    complete: bool = True
    """False when something that is due had to be left out."""


class WriteBatcher:
    """Commits what is dirty, for one term."""

    def __init__(
        self,
        client: StateClient,
        job_store: JobStore,
        mine: Leadership,
        txn_ops: int,
        committed: Callable[[list[Chunk]], None],
        job_over: Callable[[Job], None],
    ) -> None:
        self._client = client
        self._job_store = job_store
        self._fence = Fence(client, mine.stamp)
        self._txn_ops = txn_ops
        self._committed = committed
        self._job_over = job_over
        self._wake = asyncio.Event()
        self.under_way = False
        """A transaction has been sent and not been answered."""
        self.joined: dict[JoinedWrite, None] = {}
        """What subsystems have to write; it goes behind ends and new bindings."""
        self.tasks_done: Callable[[Job, list[int]], None] = lambda _, __: None
        """Tasks of a job that others follow are written down as done."""
        self.owner_gone: Callable[[Owner], None] = lambda _: None
        """A guard on the record that jobs belong to failed."""

    def join(self, joined: JoinedWrite) -> None:
        self.joined[joined] = None
        self._wake.set()

    def wake(self) -> None:
        """Something urgent is dirty."""
        self._wake.set()

    async def run(self) -> None:
        """Ends with `LeadershipLostError`."""
        while True:
            batch = self._gather(monotonic_now())
            self.under_way = bool(batch.changes)
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

    def _gather(self, now: Monotonic) -> _Batch:
        """What users wait for by urgency class, then the rest.

        Within a class ends of jobs go first, then new bindings in the order in which they came:
        after a fall the bindings of hundreds of lost tasks would otherwise go before an urgent
        job's, and so did the ends of hundreds of small jobs of a low class. What comes first and
        finds no room is waited for: an end takes several changes, and bindings of one change each
        used up the rate before there was ever room for it.
        """
        batch = _Batch()
        room = min(self._txn_ops, int(self._client.writes.available()))
        awaited = {j: j.ahead_at for j in self.joined if j.ahead_at is not None}
        if not (
            self._add_all(batch, [j for j, at in awaited.items() if now >= at], room)
            and self._add_awaited(batch, room)
            and self._add_all(batch, [j for j in awaited if j not in batch.joined], room)
        ):
            return batch
        spare = min(room, max(0, int(self._client.writes.available(RequestPriority.LATER))))
        self._add_all(batch, [j for j in self.joined if j.ahead_at is None], spare)
        for chunk in list(self._job_store.lazy):
            due = chunk.dirty_since is not None and now - chunk.dirty_since >= _LAZY_S
            if due and chunk.job not in batch.jobs and not self._add_chunk(batch, chunk, spare):
                break
        for key, stamp in list(self._job_store.garbage.items()):
            if len(batch.changes) >= spare:
                break
            batch.guards[key] = stamp
            batch.changes.append(wire.delete(key))
            batch.garbage.append(key)
            batch.bytes += 2 * len(key) + 60
        return batch

    def _add_awaited(self, batch: _Batch, room: int) -> bool:
        """False when something was left out, and nothing behind it may go before it."""
        ends: dict[int, list[Job]] = {}
        for job in self._job_store.ending.values():
            ends.setdefault(job.spec.rank, []).append(job)
        chunks: dict[int, list[Chunk]] = {}
        for chunk in self._job_store.urgent:
            chunks.setdefault(chunk.job.spec.rank, []).append(chunk)
        for rank in sorted(ends.keys() | chunks.keys(), reverse=True):
            tidy = rank not in chunks or len(self._job_store.garbage) >= _LEFTOVERS
            if not all(self._add_end(batch, job, room, tidy) for job in ends.get(rank, ())):
                return False
            if not all(
                self._add_chunk(batch, chunk, room)
                for chunk in chunks.get(rank, ())
                if chunk.job not in batch.jobs
            ):
                return False
        return True

    def _chunks_to_drop(self, job: Job) -> list[Chunk]:
        """Chunks that can go with the job's end: nothing of it is left on any machine.

        Left for later they lay about in an overload, and every take-over looked up each one's job:
        two seconds of 200 leftovers, once. But bindings of the same class don't wait for it, as
        long as there are few: it is one more change, and cost urgent starts 0.02 in time.
        """
        if job.outcome != OUTCOME_DONE or job.bound_count:
            return []
        kept = [chunk for chunk in job.chunks.values() if chunk.stamp != ABSENT]
        return kept if len(kept) <= _DROPPED_AT_ONCE else []

    def _add_end(self, batch: _Batch, job: Job, room: int, tidy: bool) -> bool:
        deregistered = self._chunks_to_drop(job) if tidy else []
        if len(batch.changes) + 2 + len(deregistered) > room:
            batch.complete = False
            return False
        if job.outcome == OUTCOME_DONE:
            value: dict[str, Any] = {"status": wire.JOB_DONE, "tasks": job.spec.tasks}
            if job.bound_count:
                # A task that one machine has called done is still on another: without the
                # description a new leader would take its binding for a leftover.
                value["spec"] = wire.plain(job.spec)
        else:
            # The description stays: a new leader needs it until the job's tasks are gone.
            value = {
                "status": wire.JOB_CANCELLED,
                "outcome": job.outcome,
                "spec": wire.plain(job.spec),
            }
        put = wire.put(over_key(job.id), value)
        size = len(wire.encode(put)) + 400 + 300 * len(deregistered)
        if batch.bytes + size > _TXN_BYTES:
            batch.complete = False
            return False
        for chunk in deregistered:
            batch.guards[chunk.key] = chunk.stamp
            batch.changes.append(wire.delete(chunk.key))
            batch.deregistered[chunk.key] = chunk
        batch.guards[job_key(job.id)] = job.stamp
        batch.guards[over_key(job.id)] = ABSENT
        if job.owner is not None and job.outcome != OUTCOME_CANCELLED:
            # Once its owner's end was told to anybody, it can't become done any more.
            batch.guards[job.owner.key] = job.owner.stamp
        batch.changes += [wire.delete(job_key(job.id)), put]
        batch.bytes += size
        batch.jobs.append(job)
        return True

    def _add_all(self, batch: _Batch, wanted: list[JoinedWrite], room: int) -> bool:
        return all(self._add_joined(batch, joined, room) for joined in wanted)

    def _add_joined(self, batch: _Batch, joined: JoinedWrite, room: int) -> bool:
        size = joined.size
        if len(batch.changes) + len(joined.changes) > room or batch.bytes + size > _TXN_BYTES:
            batch.complete = False
            return False
        batch.guards.update(joined.guards)
        batch.changes += joined.changes
        batch.bytes += size
        batch.joined.append(joined)
        return True

    def _add_chunk(self, batch: _Batch, chunk: Chunk, room: int) -> bool:
        change = wire.put(chunk.key, self._job_store.value(chunk))
        size = len(wire.encode(change)) + 200
        if len(batch.changes) >= room or batch.bytes + size > _TXN_BYTES:
            batch.complete = False
            return False
        batch.guards[chunk.key] = chunk.stamp
        if chunk.new_bindings:
            # Nothing may be bound for a job whose user was already told that it is cancelled.
            batch.guards[job_key(chunk.job.id)] = chunk.job.stamp
            if chunk.job.owner is not None:
                batch.guards[chunk.job.owner.key] = chunk.job.owner.stamp
        batch.changes.append(change)
        batch.chunks.append((chunk, chunk.version, chunk.new_bindings))
        batch.bytes += size
        return True

    # -- the transaction ------------------------------------------------------------------------

    async def _commit(self, batch: _Batch) -> None:
        self._client.writes.spend(len(batch.changes))
        try:
            result = await self._fence.commit(batch.guards, batch.changes, paid=True)
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

    def _apply(self, batch: _Batch, revision: Revision) -> None:
        for chunk, version, new_bindings in batch.chunks:
            chunk.stamp = revision
            chunk.committed = max(chunk.committed, version)
            chunk.new_bindings -= new_bindings
            if chunk.news:
                done = [index for since, index in chunk.news if since <= version]
                chunk.news = [news for news in chunk.news if news[0] > version]
                self.tasks_done(chunk.job, done)
            if chunk.job.id not in self._job_store.jobs:
                # The job went away meanwhile; its chunk was written once more.
                self._job_store.garbage[chunk.key] = revision
                continue
            if chunk.version == version:
                self._job_store.urgent.pop(chunk, None)
                self._job_store.lazy.pop(chunk, None)
                chunk.dirty_since = None
            elif not chunk.new_bindings:
                self._job_store.urgent.pop(chunk, None)
                self._job_store.lazy[chunk] = None
                chunk.dirty_since = monotonic_now()
        for key in batch.garbage:
            self._job_store.garbage.pop(key, None)
        for chunk in batch.deregistered.values():
            chunk.stamp = ABSENT
        for job in batch.jobs:
            self._job_store.ended(job)
            self._job_over(job)
        for joined in batch.joined:
            self.joined.pop(joined, None)
            joined.applied(revision)
        self._committed([chunk for chunk, _, new_bindings in batch.chunks if new_bindings])

    async def _reread(self, batch: _Batch, keys: list[str]) -> None:
        """Learns how things stand for keys whose guards failed or may have changed."""
        chunks = {chunk.key: chunk for chunk, _, _ in batch.chunks}
        jobs = {job.id: job for job in batch.jobs}
        jobs.update({chunk.job.id: chunk.job for chunk, _, _ in batch.chunks})
        by_key = {job_key(job.id): job for job in jobs.values()}
        owners = {job.owner.key: job.owner for job in jobs.values() if job.owner is not None}
        found: dict[str, wire.KeyValue | None] = {}
        for key in keys:
            entry = found[key] = await self._read(key)
            stamp = ABSENT if entry is None else Revision(entry.version)
            if key in owners and stamp != owners[key].stamp:
                self.owner_gone(owners[key])
            if key == LEADER_KEY:
                if stamp != self._fence.token:
                    raise LeadershipLostError
            elif key in chunks:
                chunks[key].stamp = stamp
            elif key in batch.deregistered:
                batch.deregistered[key].stamp = stamp
            elif key in by_key:
                await self._job_changed(by_key[key], stamp)
            elif key in batch.garbage:
                if stamp == ABSENT:
                    self._job_store.garbage.pop(key, None)
                else:
                    self._job_store.garbage[key] = stamp

        for joined in batch.joined:
            if any(
                key in found and _stamp(found[key]) != stamp for key, stamp in joined.guards.items()
            ):
                # Executed or not, it can't be executed any more.
                self.joined.pop(joined, None)
                joined.refused({key: found[key] for key in joined.guards if key in found})

    async def _job_changed(self, job: Job, stamp: Revision) -> None:
        """The job's record is gone: by this leader's own end of it, or by a cancellation."""
        if stamp == job.stamp or job.id not in self._job_store.jobs:
            return
        over = await self._read(over_key(job.id))
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
