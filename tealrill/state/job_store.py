"""The leader's in-memory store of jobs and bindings, with the changes still to be written.

A task is bound to (machine, incarnation, attempt). Bindings are stored in chunks of consecutive
tasks, one key per chunk, so that one change to the state service covers many bindings. This module
does no I/O: `state.write_batcher` writes the dirty chunks. A task may be started only once the
chunk version that contains its binding is committed.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import Any

from tealrill import wire
from tealrill.state.bindings import Binding, Chunk, Job, Task
from tealrill.state.records import (
    NEVER_BOUND,
    OUTCOME_DONE,
    OUTCOME_FAILED,
    TASK_DONE,
    BoundEntry,
    RecordError,
    chunk_size,
    decode_chunk,
    encode_chunk,
)
from tealrill.types import (
    ABSENT,
    Attempt,
    Incarnation,
    JobId,
    MachineId,
    Monotonic,
    Revision,
    TaskId,
    Wall,
)


class JobStore:
    """Jobs that have not ended or still have bindings, and the changes that are not yet written."""

    def __init__(self, value_kb: float) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.team_cpus: dict[str, float] = {}
        """Processors of all bound tasks, by team."""
        self.team_gpus: dict[str, float] = {}
        """GPUs of all bound tasks, by team."""
        self.rank_cpus: dict[int, float] = {}
        """Processors of all bound tasks, by the rank of the priority class."""
        self.urgent_chunks: dict[Chunk, None] = {}
        """Dirty chunks with new bindings or with completions that other jobs wait for, oldest
        first."""
        self.deferred_chunks: dict[Chunk, None] = {}
        """Other dirty chunks; they may gather more changes before they are written."""
        self.ending_jobs: dict[JobId, Job] = {}
        """Jobs whose end has been decided and is not committed yet."""
        self.orphaned_chunks: dict[str, Revision] = {}
        """Chunks to be deleted, of ended jobs without bindings: key and mod revision."""
        self._chunk_tasks = chunk_size(value_kb)

    def add(self, spec: wire.JobSpec, submitted: Wall, mod_revision: Revision) -> Job:
        """Add a job whose record was last modified at revision `mod_revision`."""
        job_id = JobId(spec.id)
        job = Job(job_id, spec, submitted, mod_revision, self._chunk_tasks, bytearray(spec.tasks))
        job.due_s = spec.deadline_s
        self.jobs[job_id] = job
        return job

    # -- blocked tasks ------------------------------------------------------------------------

    def block_tasks(self, job: Job) -> None:
        """Block every task of a job until `unblock_task` is called for it.

        To be called before any of the job's chunks is loaded: a task that was bound once counts as
        unblocked.
        """
        job.unblocked = bytearray(job.spec.tasks)
        job.blocked_count = job.spec.tasks
        job.next_unbound = job.spec.tasks
        job.requeued.clear()

    def hold(self, job: Job) -> None:
        """Start no more tasks of a job in this term, because its records can't be read in full.

        Tasks that run go on, and their completions are recorded.
        """
        job.held = True

    def unblock_task(self, job: Job, index: int) -> bool:
        """Unblock one task; return True if it was blocked."""
        if job.unblocked is None or job.unblocked[index]:
            return False
        self._mark_unblocked(job, index)
        if self._is_unbound(job, index):
            heapq.heappush(job.requeued, index)
        return True

    def report_completions(self, job: Job, now: Monotonic) -> list[int]:
        """Report the job's single completions from now on; return those already committed.

        Completions that are not committed yet are reported when their chunk is.
        """
        job.reports_completions = True
        committed: list[int] = []
        for number, chunk in job.chunks.items():
            first = number * job.chunk_tasks
            last = min(first + job.chunk_tasks, job.spec.tasks)
            done = [index for index in range(first, last) if job.done[index]]
            if chunk.committed >= chunk.version:
                committed += done
            elif done:
                chunk.unreported_completions = [(chunk.version, index) for index in done]
                self._mark(chunk, now, awaited=True)
        return committed

    @staticmethod
    def _mark_unblocked(job: Job, index: int) -> None:
        if job.unblocked is not None and not job.unblocked[index]:
            job.unblocked[index] = 1
            job.blocked_count -= 1

    def clear(self) -> None:
        """Remove everything before the records are read again."""
        for part in (
            self.jobs,
            self.urgent_chunks,
            self.deferred_chunks,
            self.ending_jobs,
            self.orphaned_chunks,
        ):
            part.clear()
        self.team_cpus.clear()
        self.team_gpus.clear()
        self.rank_cpus.clear()

    # -- bindings ---------------------------------------------------------------------------

    def pop_unbound_task(self, job: Job) -> int | None:
        """Remove and return the next task that may be bound; None if there is none."""
        if job.held:
            return None
        while job.requeued:
            index = heapq.heappop(job.requeued)
            if self._is_unbound(job, index):
                return index
        while job.next_unbound < job.spec.tasks:
            index = job.next_unbound
            job.next_unbound += 1
            if index not in job.tasks and not job.done[index]:
                return index
        return None

    def _is_unbound(self, job: Job, index: int) -> bool:
        task = job.tasks.get(index)
        return not job.done[index] and (task is None or task.binding is None)

    def bind(
        self,
        job: Job,
        index: int,
        machine: MachineId,
        incarnation: Incarnation,
        zone: str,
        backfilled: bool,
        wall: Wall,
        now: Monotonic,
    ) -> Binding:
        """Bind a task returned by `pop_unbound_task`; it may start once its chunk is committed."""
        task = job.tasks.setdefault(index, Task())
        assert task.binding is None and not job.cancelled and not job.done[index]
        chunk = self._chunk(job, index)
        chunk.version += 1
        binding = Binding(
            TaskId(job.id, index),
            machine,
            incarnation,
            task.next_attempt,
            backfilled,
            wall,
            chunk,
            chunk.version,
        )
        task.next_attempt = Attempt(task.next_attempt + 1)
        self._add_binding(job, task, binding, zone)
        self._mark(chunk, now, new_binding=True)
        return binding

    def _add_binding(self, job: Job, task: Task, binding: Binding, zone: str) -> None:
        task.binding = binding
        job.bound_count += 1
        if zone:
            job.zone_counts[zone] = job.zone_counts.get(zone, 0) + 1
        team = job.spec.team
        self.team_cpus[team] = self.team_cpus.get(team, 0.0) + job.spec.cpus
        self.team_gpus[team] = self.team_gpus.get(team, 0.0) + job.spec.gpus
        rank = job.spec.rank
        self.rank_cpus[rank] = self.rank_cpus.get(rank, 0.0) + job.spec.cpus

    def release(self, binding: Binding, zone: str, now: Monotonic) -> None:
        """Remove a binding. The caller has proof that the task no longer runs on its machine."""
        job = binding.chunk.job
        index = binding.task.index
        task = job.tasks.get(index)
        if task is None or task.binding is not binding:
            return
        task.binding = None
        job.bound_count -= 1
        if zone and job.zone_counts.get(zone):
            job.zone_counts[zone] -= 1
        team = job.spec.team
        self.team_cpus[team] -= job.spec.cpus
        self.team_gpus[team] -= job.spec.gpus
        self.rank_cpus[job.spec.rank] -= job.spec.cpus
        chunk = binding.chunk
        chunk.version += 1
        if job.cancelled:
            if job.bound_count == 0:
                self._remove_job(job)
            else:
                self._mark(chunk, now)
            return
        self._mark(chunk, now)
        if not job.done[index]:
            heapq.heappush(job.requeued, index)

    def complete(self, job: Job, index: int, now: Monotonic) -> bool:
        """Record that a task is done, whichever attempt reported it; return True the first time."""
        if job.done[index] or job.spec.is_service:
            return False
        job.done[index] = 1
        job.done_count += 1
        # A task that is done is no longer blocked, even if it was never unblocked explicitly.
        self._mark_unblocked(job, index)
        chunk = self._chunk(job, index)
        chunk.version += 1
        if job.reports_completions:
            chunk.unreported_completions.append((chunk.version, index))
        self._mark(chunk, now, awaited=job.reports_completions)
        if job.complete and job.outcome == OUTCOME_DONE:
            self.ending_jobs[job.id] = job
        return True

    def task_failed(self, job: Job, index: int) -> None:
        """Count a failure of a task; abort the job if it exceeds `Job.max_task_errors`.

        To be called before the task's binding is released: the release marks the chunk dirty.
        """
        task = job.tasks.get(index)
        if task is None or job.max_task_errors is None:
            return
        task.errors += 1
        if task.errors > job.max_task_errors:
            self.abort_job(job, OUTCOME_FAILED)

    def abort_job(self, job: Job, outcome: str) -> None:
        """End a job that is not done, with `outcome`.

        No more of its tasks are started; running ones are stopped once the end is committed.
        """
        if job.cancelled or job.complete or job.outcome != OUTCOME_DONE:
            return
        job.outcome = outcome
        self.ending_jobs[job.id] = job

    def cancel(self, job: Job) -> None:
        """Mark a job whose record has ended as cancelled: no more of its tasks may start."""
        job.cancelled = True
        self.ending_jobs.pop(job.id, None)
        if job.bound_count == 0:
            self._remove_job(job)

    def ended(self, job: Job) -> None:
        """Record that the job's end is committed; remaining bindings keep the job in the store."""
        self.ending_jobs.pop(job.id, None)
        job.cancelled = True
        if job.bound_count == 0:
            self._remove_job(job)

    def _remove_job(self, job: Job) -> None:
        for chunk in job.chunks.values():
            self.urgent_chunks.pop(chunk, None)
            self.deferred_chunks.pop(chunk, None)
            if chunk.mod_revision != ABSENT:
                self.orphaned_chunks[chunk.key] = chunk.mod_revision
            chunk.committed = chunk.version
        # Breaks the reference cycle between job and chunks: 10,000 finished jobs would otherwise
        # hold 20 MB until the cyclic garbage collector runs.
        job.chunks.clear()
        self.jobs.pop(job.id, None)

    # -- chunks -----------------------------------------------------------------------------

    def _chunk(self, job: Job, index: int) -> Chunk:
        number = index // job.chunk_tasks
        chunk = job.chunks.get(number)
        if chunk is None:
            chunk = job.chunks[number] = Chunk(job, number)
        return chunk

    def _mark(
        self, chunk: Chunk, now: Monotonic, new_binding: bool = False, awaited: bool = False
    ) -> None:
        """Mark a chunk as dirty.

        `new_binding` marks a new binding, `awaited` a completion that other jobs wait for.
        """
        if chunk.dirty_since is None:
            chunk.dirty_since = now
        if new_binding or awaited:
            chunk.new_bindings += int(new_binding)
            self.deferred_chunks.pop(chunk, None)
            self.urgent_chunks[chunk] = None
        elif chunk not in self.urgent_chunks:
            self.deferred_chunks[chunk] = None

    def never_sent(self, chunk: Chunk) -> Iterator[Binding]:
        """Yield the bindings of the chunk for which no start has been sent."""
        first = chunk.number * chunk.job.chunk_tasks
        for index in range(first, first + chunk.job.chunk_tasks):
            task = chunk.job.tasks.get(index)
            if task is not None and task.binding is not None and task.binding.never_sent:
                yield task.binding

    def value(self, chunk: Chunk) -> dict[str, Any]:
        """Return the value to be stored for the chunk."""
        job = chunk.job
        first = chunk.number * job.chunk_tasks
        last = min(first + job.chunk_tasks, job.spec.tasks)
        entries: list[Any] = []
        for index in range(first, last):
            task = job.tasks.get(index)
            binding = task.binding if task is not None else None
            if binding is not None and task is not None:
                # A done task stays bound until there is proof that it has left its machine.
                bound = BoundEntry(
                    binding.machine,
                    binding.incarnation,
                    binding.attempt,
                    binding.backfilled,
                    bool(job.done[index]),
                    binding.bound_at,
                )
                entries.append(bound.encode(task.next_attempt))
            elif job.done[index]:
                entries.append(TASK_DONE)
            else:
                entries.append([task.next_attempt] if task is not None else NEVER_BOUND)
        errors = {
            str(index - first): job.tasks[index].errors
            for index in range(first, last)
            if index in job.tasks and job.tasks[index].errors and not job.done[index]
        }
        return encode_chunk(job.chunk_tasks, entries, errors)

    def load(self, job: Job, number: int, value: Any, mod_revision: Revision) -> list[Binding]:
        """Load a chunk that an earlier leader wrote; return its bindings.

        Raises `RecordError` if this version can't read the chunk.
        """
        try:
            record = decode_chunk(value)
        except RecordError as error:
            raise RecordError(f"{job.id}/{number}: {error}") from error
        job.chunk_tasks = record.n
        chunk = Chunk(job, number, mod_revision, version=1, committed=1)
        job.chunks[number] = chunk
        bindings: list[Binding] = []
        for offset, entry in enumerate(record.tasks):
            index = number * record.n + offset
            if index >= job.spec.tasks:
                raise RecordError(f"{job.id}/{number}: more tasks than the job has")
            if isinstance(entry, int):
                if entry == TASK_DONE:
                    self._load_done(job, index)
                continue
            try:
                bindings.extend(self._load_entry(job, chunk, index, entry))
            except (IndexError, TypeError, ValueError) as error:
                raise RecordError(f"{job.id}/{index}: {entry!r}") from error
        for position, errors in record.errors.items():
            task = job.tasks.get(number * record.n + int(position) if position.isdigit() else -1)
            if task is not None:
                task.errors = errors
        if job.complete:
            self.ending_jobs[job.id] = job
        return bindings

    def _load_done(self, job: Job, index: int) -> None:
        job.done[index] = 1
        job.done_count += 1
        self._mark_unblocked(job, index)

    def _load_entry(self, job: Job, chunk: Chunk, index: int, entry: list[Any]) -> list[Binding]:
        task = job.tasks[index] = Task(Attempt(int(entry[0])))
        # A task that was bound once had been unblocked.
        self._mark_unblocked(job, index)
        if len(entry) == 1:
            heapq.heappush(job.requeued, index)
            return []
        bound = BoundEntry.decode(entry)
        if bound.done:
            self._load_done(job, index)
        binding = Binding(
            TaskId(job.id, index),
            bound.machine,
            bound.incarnation,
            bound.attempt,
            bound.backfilled,
            bound.bound_at,
            chunk,
            1,
            inherited=True,
        )
        # Its zone is counted once the machine is known: see `count_inherited_zone`.
        self._add_binding(job, task, binding, "")
        return [binding]

    def count_inherited_zone(self, binding: Binding, zone: str) -> None:
        """Count an inherited binding in its machine's zone once the zone is known."""
        counts = binding.chunk.job.zone_counts
        counts[zone] = counts.get(zone, 0) + 1
