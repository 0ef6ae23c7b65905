"""The leader's memory of jobs and bindings, and what of it must still be written.

A task is bound to (machine, incarnation, attempt). Bindings are kept in chunks of tasks, one key
each, so that many bindings go into one change. Nothing here does I/O: `state.write_batcher` writes
the dirty chunks, and only a binding whose chunk version is committed may be started.
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
    """All jobs that have not ended, with their bindings, and what of it is not yet written."""

    def __init__(self, value_kb: float) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}
        self.rank_cpus: dict[int, float] = {}
        self.urgent_chunks: dict[Chunk, None] = {}
        self.deferred_chunks: dict[Chunk, None] = {}
        self.ending_jobs: dict[JobId, Job] = {}
        self.orphaned_chunks: dict[str, Revision] = {}
        """Chunks of jobs that are over and have no binding left: keys and their stamps."""
        self._chunk_tasks = chunk_size(value_kb)

    def add(self, spec: wire.JobSpec, submitted: Wall, mod_revision: Revision) -> Job:
        """Take in a job whose record stands in version `mod_revision`."""
        job_id = JobId(spec.id)
        job = Job(job_id, spec, submitted, mod_revision, self._chunk_tasks, bytearray(spec.tasks))
        job.due_s = spec.deadline_s
        self.jobs[job_id] = job
        return job

    # -- jobs whose tasks are let go one by one ----------------------------------------------

    def block_tasks(self, job: Job) -> None:
        """Let none of the job's tasks start before it is opened, before any of it is known."""
        job.unblocked = bytearray(job.spec.tasks)
        job.closed = job.spec.tasks
        job.fresh = job.spec.tasks

    def unblock_task(self, job: Job, index: int) -> bool:
        """Let one task start, and return True the first time."""
        if job.unblocked is None or job.unblocked[index]:
            return False
        self._count_open(job, index)
        if self._free(job, index):
            heapq.heappush(job.requeued, index)
        return True

    def report_completions(self, job: Job, now: Monotonic) -> list[int]:
        """Let others wait for its single tasks; return those that are committed as done."""
        job.reports_completions = True
        kept: list[int] = []
        for number, chunk in job.chunks.items():
            first = number * job.chunk_tasks
            last = min(first + job.chunk_tasks, job.spec.tasks)
            done = [index for index in range(first, last) if job.done[index]]
            if chunk.committed >= chunk.version:
                kept += done
            elif done:
                chunk.news = [(chunk.version, index) for index in done]
                self._mark(chunk, now, hurry=True)
        return kept

    @staticmethod
    def _count_open(job: Job, index: int) -> None:
        if job.unblocked is not None and not job.unblocked[index]:
            job.unblocked[index] = 1
            job.closed -= 1

    def clear(self) -> None:
        """Forget everything, for a new attempt to read the records."""
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
        """Return the next task of the job that is neither bound nor done; None if there is none."""
        while job.requeued:
            index = heapq.heappop(job.requeued)
            if self._free(job, index):
                return index
        while job.fresh < job.spec.tasks:
            index = job.fresh
            job.fresh += 1
            if index not in job.tasks and not job.done[index]:
                return index
        return None

    def _free(self, job: Job, index: int) -> bool:
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
        """Bind a task that `pop_unbound_task` gave; it may be started after its commit."""
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
        self._attach(job, task, binding, zone)
        self._mark(chunk, now, urgent=True)
        return binding

    def _attach(self, job: Job, task: Task, binding: Binding, zone: str) -> None:
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
        """End a binding. The caller has the proof that the task is gone from its machine."""
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
                self._drop(job)
            else:
                self._mark(chunk, now)
            return
        self._mark(chunk, now)
        if not job.done[index]:
            heapq.heappush(job.requeued, index)

    def complete(self, job: Job, index: int, now: Monotonic) -> bool:
        """Count a task as done, whichever attempt said so, and return True the first time."""
        if job.done[index] or job.spec.is_service:
            return False
        job.done[index] = 1
        job.done_count += 1
        # Whatever said so, a task that is done is not waited for any more.
        self._count_open(job, index)
        chunk = self._chunk(job, index)
        chunk.version += 1
        if job.reports_completions:
            chunk.news.append((chunk.version, index))
        self._mark(chunk, now, hurry=job.reports_completions)
        if job.complete and job.outcome == OUTCOME_DONE:
            self.ending_jobs[job.id] = job
        return True

    def task_failed(self, job: Job, index: int) -> None:
        """Count an error of a task. Called before its binding is released, which writes it."""
        task = job.tasks.get(index)
        if task is None or job.max_task_errors is None:
            return
        task.errors += 1
        if task.errors > job.max_task_errors:
            self.abort_job(job, OUTCOME_FAILED)

    def abort_job(self, job: Job, outcome: str) -> None:
        """End a job that is not done: nothing more of it starts, what runs is stopped after."""
        if job.cancelled or job.complete or job.outcome != OUTCOME_DONE:
            return
        job.outcome = outcome
        self.ending_jobs[job.id] = job

    def cancel(self, job: Job) -> None:
        """Note that the job's record has ended: nothing of it may start any more."""
        job.cancelled = True
        self.ending_jobs.pop(job.id, None)
        if job.bound_count == 0:
            self._drop(job)

    def ended(self, job: Job) -> None:
        """Note that the job's end is committed; bindings that still stand go with their chunks."""
        self.ending_jobs.pop(job.id, None)
        job.cancelled = True
        if job.bound_count == 0:
            self._drop(job)

    def _drop(self, job: Job) -> None:
        for chunk in job.chunks.values():
            self.urgent_chunks.pop(chunk, None)
            self.deferred_chunks.pop(chunk, None)
            if chunk.mod_revision != ABSENT:
                self.orphaned_chunks[chunk.key] = chunk.mod_revision
            chunk.committed = chunk.version
        # Chunks name their job: left as a ring, 10,000 finished jobs waited for the collector,
        # which looks rarely, in 20 MB.
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
        self, chunk: Chunk, now: Monotonic, urgent: bool = False, hurry: bool = False
    ) -> None:
        """Mark a chunk to be written: `urgent` for a new binding, `hurry` for what others await."""
        if chunk.dirty_since is None:
            chunk.dirty_since = now
        if urgent or hurry:
            chunk.new_bindings += int(urgent)
            self.deferred_chunks.pop(chunk, None)
            self.urgent_chunks[chunk] = None
        elif chunk not in self.urgent_chunks:
            self.deferred_chunks[chunk] = None

    def never_sent(self, chunk: Chunk) -> Iterator[Binding]:
        """Yield the bindings in the chunk of which no start has left."""
        first = chunk.number * chunk.job.chunk_tasks
        for index in range(first, first + chunk.job.chunk_tasks):
            task = chunk.job.tasks.get(index)
            if task is not None and task.binding is not None and task.binding.never_sent:
                yield task.binding

    def value(self, chunk: Chunk) -> dict[str, Any]:
        """Return the chunk as it is kept."""
        job = chunk.job
        first = chunk.number * job.chunk_tasks
        last = min(first + job.chunk_tasks, job.spec.tasks)
        entries: list[Any] = []
        for index in range(first, last):
            task = job.tasks.get(index)
            binding = task.binding if task is not None else None
            if binding is not None and task is not None:
                # A task that is done stays bound until its machine is known to have let go of it.
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
        """Take over a chunk that a former leader wrote, and return the bindings that stand.

        Raises `RecordError` if this version can't read it.
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
        for place, errors in record.errors.items():
            task = job.tasks.get(number * record.n + int(place) if place.isdigit() else -1)
            if task is not None:
                task.errors = errors
        if job.complete:
            self.ending_jobs[job.id] = job
        return bindings

    def _load_done(self, job: Job, index: int) -> None:
        job.done[index] = 1
        job.done_count += 1
        self._count_open(job, index)

    def _load_entry(self, job: Job, chunk: Chunk, index: int, entry: list[Any]) -> list[Binding]:
        task = job.tasks[index] = Task(Attempt(int(entry[0])))
        # What was bound once had been let go.
        self._count_open(job, index)
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
        # Its zone is counted when the machine is known: see `count_inherited_zone`.
        self._attach(job, task, binding, "")
        return [binding]

    def count_inherited_zone(self, binding: Binding, zone: str) -> None:
        """Count an inherited binding in its machine's zone, once that is known."""
        counts = binding.chunk.job.zone_counts
        counts[zone] = counts.get(zone, 0) + 1
