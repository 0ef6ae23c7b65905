"""One transaction of the leader, as it is gathered: its guards, changes and what they stand for.

Every change is guarded by its own key's stamp. A batch knows the bounds of a transaction, and the
form in which the end of a job is written; in which order things go in is `state.write_batcher`'s.
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
_DROPPED_AT_ONCE: Final = 2
"""Chunks that go with a job's end; a larger job's are removed when there is time."""


@dataclass(slots=True, eq=False)
class JoinedWrite:
    """Changes of a subsystem that go into the leader's transactions, all or none of them."""

    guards: dict[str, Revision]
    changes: list[dict[str, Any]]
    applied: Callable[[Revision], None]
    """They were executed, in this revision."""
    refused: Callable[[dict[str, wire.KeyValue | None]], None]
    """They were not, and will not be; with the guards' keys as they were read back since."""
    priority_at: Monotonic | None = None
    """For what somebody waits for: right behind new bindings, and from this moment on before them,
    whatever else there is to write. None: when there is room for what can wait."""

    @property
    def size(self) -> int:
        """Bytes that it takes in a transaction, at most."""
        return sum(len(wire.encode(change)) for change in self.changes) + 100 * len(self.guards)


class ChunkWrite(NamedTuple):
    """A chunk in a transaction, as it was when it was added."""

    chunk: Chunk
    version: int
    new_bindings: int


def _chunks_to_drop(job: Job) -> list[Chunk]:
    """Return the chunks that can go with the job's end: nothing of it is left on any machine.

    Left for later they lay about in an overload, and every take-over looked up each one's job:
    two seconds of 200 leftovers, once. But bindings of the same class don't wait for it, as
    long as there are few: it is one more change, and cost urgent starts 0.02 in time.
    """
    if job.outcome != OUTCOME_DONE or job.bound_count:
        return []
    kept = [chunk for chunk in job.chunks.values() if chunk.mod_revision != ABSENT]
    return kept if len(kept) <= _DROPPED_AT_ONCE else []


def _end_record(job: Job) -> dict[str, Any]:
    """Return the record of a job's end."""
    if job.outcome == OUTCOME_DONE:
        value: dict[str, Any] = {"status": wire.JOB_DONE, "tasks": job.spec.tasks}
        if job.bound_count:
            # A task that one machine has called done is still on another: without the
            # description a new leader would take its binding for a leftover.
            value["spec"] = wire.plain(job.spec)
        return value
    # The description stays: a new leader needs it until the job's tasks are gone.
    return {"status": wire.JOB_CANCELLED, "outcome": job.outcome, "spec": wire.plain(job.spec)}


@dataclass(slots=True)
class TransactionBatch:
    """What goes into the next transaction. `room` is the number of changes it may have."""

    guards: dict[str, Revision] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    chunks: list[ChunkWrite] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    """Jobs that it ends."""
    dropped_chunks: dict[str, Chunk] = field(default_factory=dict)
    """Chunks that go with the end of their job, by their keys."""
    obsolete: list[str] = field(default_factory=list)
    """Keys that it deletes of chunks that belong to no job any more."""
    joined: list[JoinedWrite] = field(default_factory=list)
    size: int = 0
    """Bytes, by a cautious estimate."""
    complete: bool = True
    """False when something that is due had to be left out."""

    def add_end(self, job: Job, room: int, drop_chunks: bool) -> bool:
        """Add the end of a job; return False if it finds no room."""
        dropped = _chunks_to_drop(job) if drop_chunks else []
        if not self._fits(2 + len(dropped), 0, room):
            # Nothing is encoded that there are no changes left for: in an overload ends wait.
            return False
        put = wire.put(ended_key(job.id), _end_record(job))
        size = len(wire.encode(put)) + 400 + 300 * len(dropped)
        if not self._fits(2 + len(dropped), size, room):
            return False
        for chunk in dropped:
            self.guards[chunk.key] = chunk.mod_revision
            self.changes.append(wire.delete(chunk.key))
            self.dropped_chunks[chunk.key] = chunk
        self.guards[job_key(job.id)] = job.mod_revision
        self.guards[ended_key(job.id)] = ABSENT
        if job.owner is not None and job.outcome != OUTCOME_CANCELLED:
            # Once its owner's end was told to anybody, it can't become done any more.
            self.guards[job.owner.key] = job.owner.mod_revision
        self.changes += [wire.delete(job_key(job.id)), put]
        self.size += size
        self.jobs.append(job)
        return True

    def add_chunk(self, chunk: Chunk, value: dict[str, Any], room: int) -> bool:
        """Add a chunk with its value as it is now; return False if it finds no room."""
        change = wire.put(chunk.key, value)
        size = len(wire.encode(change)) + 200
        if not self._fits(1, size, room):
            return False
        self.guards[chunk.key] = chunk.mod_revision
        if chunk.new_bindings:
            # Nothing may be bound for a job whose user was already told that it is cancelled.
            self.guards[job_key(chunk.job.id)] = chunk.job.mod_revision
            if chunk.job.owner is not None:
                self.guards[chunk.job.owner.key] = chunk.job.owner.mod_revision
        self.changes.append(change)
        self.chunks.append(ChunkWrite(chunk, chunk.version, chunk.new_bindings))
        self.size += size
        return True

    def add_joined(self, joined: JoinedWrite, room: int) -> bool:
        """Add a subsystem's changes; return False if they find no room."""
        size = joined.size
        if not self._fits(len(joined.changes), size, room):
            return False
        self.guards.update(joined.guards)
        self.changes += joined.changes
        self.size += size
        self.joined.append(joined)
        return True

    def add_obsolete(self, key: str, mod_revision: Revision, room: int) -> bool:
        """Add the removal of an obsolete chunk, for which nobody waits; return False if full."""
        if len(self.changes) >= room:
            return False
        self.guards[key] = mod_revision
        self.changes.append(wire.delete(key))
        self.obsolete.append(key)
        self.size += 2 * len(key) + 60
        return True

    def _fits(self, changes: int, size: int, room: int) -> bool:
        if len(self.changes) + changes > room or self.size + size > _MAX_BYTES:
            self.complete = False
            return False
        return True
