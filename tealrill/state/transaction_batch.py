"""One transaction of the leader while it is assembled: guards, changes and what they represent.

Every change is guarded by the mod revision of its own key. A batch enforces the size limits of a
transaction and defines how the end of a job is written; `state.write_batcher` decides the order in
which entries are added.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

from tealrill import wire
from tealrill.state.bindings import Chunk, Job
from tealrill.state.records import OUTCOME_CANCELLED, OUTCOME_DONE, ended_key, job_key
from tealrill.types import ABSENT, Monotonic, Revision

_MAX_BYTES: Final = 60 * 1024
_MAX_DROPPED_CHUNKS: Final = 2
"""Maximum number of chunks deleted together with a job's end; those of larger jobs are deferred."""


@dataclass(slots=True, eq=False)
class JoinedWrite:
    """Changes of a subsystem that are committed atomically within one of the leader's transactions.

    They are added entirely or not at all.
    """

    guards: dict[str, Revision]
    changes: list[dict[str, Any]]
    on_committed: Callable[[Revision], None]
    """Called with the revision in which the changes were committed."""
    on_refused: Callable[[dict[str, wire.KeyValue | None]], None]
    """Called if a guard no longer holds, so that the changes can't be executed any more, with the
    guarded keys that were read back; None stands for an absent key."""
    priority_at: Monotonic | None = None
    """Time from which the write precedes job ends and new bindings; before that it follows right
    after them. None for a write that can wait for spare capacity."""

    @property
    def size(self) -> int:
        """Upper bound on the bytes that it takes in a transaction."""
        return sum(len(wire.encode(change)) for change in self.changes) + 100 * len(self.guards)


class ChunkWrite(NamedTuple):
    """A chunk in a transaction, with its version and new bindings at the time it was added."""

    chunk: Chunk
    version: int
    new_bindings: int


def _chunks_to_drop(job: Job) -> list[Chunk]:
    """Return the chunks to delete with the job's end; none while a task of it may be on a machine.

    Chunks left for later accumulate in an overload, and a new leader looks up the job of each one:
    200 of them delayed a failover by 2 s. While only a few have accumulated, the caller still puts
    bindings of the same class first: each deletion is one more change ahead of them, and deleting
    in every case lowered the share of urgent jobs that started in time by 0.02.
    """
    if job.outcome != OUTCOME_DONE or job.bound_count:
        return []
    stored = [chunk for chunk in job.chunks.values() if chunk.mod_revision != ABSENT]
    return stored if len(stored) <= _MAX_DROPPED_CHUNKS else []


def _end_record(job: Job) -> dict[str, Any]:
    """Return the value of the record of an ended job."""
    if job.outcome == OUTCOME_DONE:
        value: dict[str, Any] = {"status": wire.JOB_DONE, "tasks": job.spec.tasks}
        if job.bound_count:
            # A task reported done by one machine may still run on another: without the
            # specification a new leader would treat its binding as orphaned.
            value["spec"] = wire.to_builtins(job.spec)
        return value
    # The specification is kept: a new leader needs it until the job's tasks have stopped.
    return {
        "status": wire.JOB_CANCELLED,
        "outcome": job.outcome,
        "spec": wire.to_builtins(job.spec),
    }


@dataclass(slots=True)
class TransactionBatch:
    """The contents of the next transaction.

    The `max_changes` parameter of its methods is the maximum number of changes in the batch.
    """

    guards: dict[str, Revision] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    chunks: list[ChunkWrite] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    """Jobs whose end it commits."""
    dropped_chunks: dict[str, Chunk] = field(default_factory=dict)
    """Chunks that it deletes together with the end of their job, by key."""
    orphaned_keys: list[str] = field(default_factory=list)
    """Keys of the orphaned chunks that it deletes."""
    joined: list[JoinedWrite] = field(default_factory=list)
    size: int = 0
    """Conservative estimate of its size in bytes."""
    complete: bool = True
    """False if an entry that is due did not fit."""

    def add_end(self, job: Job, max_changes: int, drop_chunks: bool) -> bool:
        """Add the end of a job; return False if it does not fit."""
        dropped = _chunks_to_drop(job) if drop_chunks else []
        if not self._fits(2 + len(dropped), 0, max_changes):
            # Checked before encoding, which would be wasted work: in an overload many ends wait.
            return False
        put = wire.put(ended_key(job.id), _end_record(job))
        size = len(wire.encode(put)) + 400 + 300 * len(dropped)
        if not self._fits(2 + len(dropped), size, max_changes):
            return False
        for chunk in dropped:
            self.guards[chunk.key] = chunk.mod_revision
            self.changes.append(wire.delete(chunk.key))
            self.dropped_chunks[chunk.key] = chunk
        self.guards[job_key(job.id)] = job.mod_revision
        self.guards[ended_key(job.id)] = ABSENT
        if job.owner is not None and job.outcome != OUTCOME_CANCELLED:
            # Once the owner's end has been acknowledged to a user, the job can't end as done.
            self.guards[job.owner.key] = job.owner.mod_revision
        self.changes += [wire.delete(job_key(job.id)), put]
        self.size += size
        self.jobs.append(job)
        return True

    def add_chunk(self, chunk: Chunk, value: dict[str, Any], max_changes: int) -> bool:
        """Add a chunk with its current value; return False if it does not fit."""
        change = wire.put(chunk.key, value)
        size = len(wire.encode(change)) + 200
        if not self._fits(1, size, max_changes):
            return False
        self.guards[chunk.key] = chunk.mod_revision
        if chunk.new_bindings:
            # No task may be bound once the job's cancellation has been acknowledged to a user.
            self.guards[job_key(chunk.job.id)] = chunk.job.mod_revision
            if chunk.job.owner is not None:
                self.guards[chunk.job.owner.key] = chunk.job.owner.mod_revision
        self.changes.append(change)
        self.chunks.append(ChunkWrite(chunk, chunk.version, chunk.new_bindings))
        self.size += size
        return True

    def add_joined(self, joined: JoinedWrite, max_changes: int) -> bool:
        """Add a subsystem's changes; return False if they do not fit."""
        size = joined.size
        if not self._fits(len(joined.changes), size, max_changes):
            return False
        self.guards.update(joined.guards)
        self.changes += joined.changes
        self.size += size
        self.joined.append(joined)
        return True

    def add_orphaned_chunk(self, key: str, mod_revision: Revision, max_changes: int) -> bool:
        """Add the deletion of an orphaned chunk; return False if the batch is full.

        Does not clear `complete`: nothing waits for the deletion.
        """
        if len(self.changes) >= max_changes:
            return False
        self.guards[key] = mod_revision
        self.changes.append(wire.delete(key))
        self.orphaned_keys.append(key)
        self.size += 2 * len(key) + 60
        return True

    def _fits(self, changes: int, size: int, max_changes: int) -> bool:
        if len(self.changes) + changes > max_changes or self.size + size > _MAX_BYTES:
            self.complete = False
            return False
        return True
