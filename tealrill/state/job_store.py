"""The leader's memory of jobs and bindings, and what of it must still be written.

A task is bound to (machine, session, attempt). Bindings are kept in chunks of tasks, one key each,
so that many bindings go into one change. Nothing here does I/O: `state.write_batcher` writes the
dirty chunks, and only a binding whose chunk version is committed may be started.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

import msgspec

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.types import (
    ABSENT,
    Attempt,
    HeartbeatSequence,
    Incarnation,
    JobId,
    MachineId,
    Monotonic,
    Revision,
    TaskId,
    Wall,
    parse_machine_id,
)

JOB_PREFIX: Final = "job/"
"""Jobs by their ids. Names that are no job ids belong to subsystems, whose records are then seen in
the same reading and the same watch as the jobs that depend on them."""
RUN_PREFIX: Final = "run/"
OVER_PREFIX: Final = "over/"
_DONE: Final = -1
_BACKFILLED_FLAG: Final = 1
_DONE_FLAG: Final = 2
_ENTRY_BYTES: Final = 100
"""Most that one bound task takes in a record: the machine's name is at most 64 bytes."""
_MOST_IN_CHUNK: Final = 128


OUTCOME_DONE: Final = "done"
OUTCOME_FAILED: Final = "failed"
"""A task failed more often than the job's bound allows."""
OUTCOME_SKIPPED: Final = "skipped"
"""What the job waits for can't come any more."""
OUTCOME_CANCELLED: Final = "cancelled"


class RecordError(TealrillError):
    """A record in the state service that this version did not write."""


def job_key(job: JobId) -> str:
    return JOB_PREFIX + job


def over_key(job: JobId) -> str:
    return OVER_PREFIX + job


def chunk_size(value_kb: float) -> int:
    """Tasks per chunk, such that a chunk with every task bound fits a value."""
    return max(1, min(_MOST_IN_CHUNK, int((value_kb * 1024 - 64) // _ENTRY_BYTES)))


@dataclass(slots=True, eq=False)
class Binding:
    """A task's place. While it stands the task can be started nowhere else."""

    task: TaskId
    machine: MachineId
    incarnation: Incarnation
    attempt: Attempt
    backfilled: bool
    bound_at: Wall
    chunk: Chunk
    version: int
    """The chunk's version that holds this binding; it may be started once that is committed."""
    inherited: bool = False
    sent: HeartbeatSequence | None = None
    """The report whose response first carried the start."""
    seen: bool = False
    direct_start_in_flight: bool = False
    """A start sent to the worker directly has no answer yet, and may arrive at any later time."""
    shown_in: HeartbeatSequence | None = None
    """The last list of this session that showed it."""
    state: str | None = None
    running_since: Monotonic | None = None
    stop: Stop | None = None

    @property
    def committed(self) -> bool:
        return self.chunk.committed >= self.version

    @property
    def never_sent(self) -> bool:
        """Certainly no start of it ever left."""
        return (
            not (self.seen or self.inherited or self.direct_start_in_flight) and self.sent is None
        )


@dataclass(slots=True)
class Stop:
    """Why a bound task is to be stopped, and how long it may save."""

    reason: str
    grace_s: float
    since: Monotonic


@dataclass(slots=True, eq=False)
class Task:
    """A task that was bound at least once and is not done."""

    next_attempt: Attempt = Attempt(1)
    binding: Binding | None = None
    errors: int = 0


@dataclass(slots=True, eq=False)
class Owner:
    """A record that a job belongs to: while it stands in this version the job may run and end."""

    key: str
    stamp: Revision
    name: str


@dataclass(slots=True, eq=False)
class Chunk:
    """The record of a run of a job's tasks."""

    job: Job
    number: int
    stamp: Revision = ABSENT
    version: int = 0
    committed: int = 0
    dirty_since: Monotonic | None = None
    new_bindings: int = 0
    news: list[tuple[int, int]] = field(default_factory=list)
    """For a job whose followers wait for single tasks: versions and the tasks they made done."""

    @property
    def key(self) -> str:
        return f"{RUN_PREFIX}{self.job.id}/{self.number:05d}"


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job that still has something to be done."""

    id: JobId
    spec: wire.JobSpec
    submitted: Wall
    stamp: Revision
    chunk_tasks: int
    done: bytearray
    done_count: int = 0
    bound_count: int = 0
    fresh: int = 0
    """Tasks from this index on were never bound, unless they are in `tasks` or done."""
    requeued: list[int] = field(default_factory=list)
    tasks: dict[int, Task] = field(default_factory=dict)
    chunks: dict[int, Chunk] = field(default_factory=dict)
    zone_counts: dict[str, int] = field(default_factory=dict)
    cancelled: bool = False
    due_s: float | None = None
    """Its deadline, from its submission."""
    owner: Owner | None = None
    tail_s: float = 0.0
    """Estimated time that what depends on it takes after it."""
    most_errors: int | None = None
    """How often one task may fail before the job has failed; None: it is tried for ever."""
    outcome: str = OUTCOME_DONE
    """How it ends, once it is in `JobStore.ending`."""
    opened: bytearray | None = None
    """For a job whose tasks are let go one by one: which of them were."""
    closed: int = 0
    """Tasks that were not."""
    followed: bool = False
    """Others wait for its single tasks, so that a done one is written without delay."""

    @property
    def waiting(self) -> int:
        if self.cancelled or self.outcome != OUTCOME_DONE:
            return 0
        return self.spec.tasks - self.done_count - self.bound_count - self.closed

    @property
    def complete(self) -> bool:
        return not self.cancelled and self.done_count >= self.spec.tasks

    def bindings(self) -> Iterator[Binding]:
        for task in self.tasks.values():
            if task.binding is not None:
                yield task.binding


class JobStore:
    """All jobs that are not over, with their bindings, and what of it is not yet written."""

    def __init__(self, value_kb: float) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}
        self.rank_cpus: dict[int, float] = {}
        self.urgent: dict[Chunk, None] = {}
        self.lazy: dict[Chunk, None] = {}
        self.ending: dict[JobId, Job] = {}
        self.garbage: dict[str, Revision] = {}
        """Chunks of jobs that are over and have no binding left: keys and their stamps."""
        self._chunk_tasks = chunk_size(value_kb)

    def add(self, spec: wire.JobSpec, submitted: Wall, stamp: Revision) -> Job:
        job_id = JobId(spec.id)
        job = Job(job_id, spec, submitted, stamp, self._chunk_tasks, bytearray(spec.tasks))
        job.due_s = spec.deadline_s
        self.jobs[job_id] = job
        return job

    # -- jobs whose tasks are let go one by one ----------------------------------------------

    def close_tasks(self, job: Job) -> None:
        """Before any of it is known: none of its tasks may start until it is opened."""
        job.opened = bytearray(job.spec.tasks)
        job.closed = job.spec.tasks
        job.fresh = job.spec.tasks

    def open_task(self, job: Job, index: int) -> bool:
        """Lets one task go; True the first time."""
        if job.opened is None or job.opened[index]:
            return False
        self._count_open(job, index)
        if self._free(job, index):
            heapq.heappush(job.requeued, index)
        return True

    def follow(self, job: Job, now: Monotonic) -> list[int]:
        """From here on others wait for its single tasks; those that are written down as done."""
        job.followed = True
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
        if job.opened is not None and not job.opened[index]:
            job.opened[index] = 1
            job.closed -= 1

    def clear(self) -> None:
        """Back to nothing, for a new attempt to read the records."""
        for part in (self.jobs, self.urgent, self.lazy, self.ending, self.garbage):
            part.clear()
        self.team_cpus.clear()
        self.team_gpus.clear()
        self.rank_cpus.clear()

    # -- bindings ---------------------------------------------------------------------------

    def take_task(self, job: Job) -> int | None:
        """The next task of the job that is neither bound nor done."""
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
        """Ends a binding. The caller has the proof that the task is gone from its machine."""
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
        """Counts a task as done, whichever attempt said so; True the first time."""
        if job.done[index] or job.spec.is_service:
            return False
        job.done[index] = 1
        job.done_count += 1
        # Whatever said so, a task that is done is not waited for any more.
        self._count_open(job, index)
        chunk = self._chunk(job, index)
        chunk.version += 1
        if job.followed:
            chunk.news.append((chunk.version, index))
        self._mark(chunk, now, hurry=job.followed)
        if job.complete and job.outcome == OUTCOME_DONE:
            self.ending[job.id] = job
        return True

    def task_failed(self, job: Job, index: int) -> None:
        """Counts an error of a task. Called before its binding is released, which writes it."""
        task = job.tasks.get(index)
        if task is None or job.most_errors is None:
            return
        task.errors += 1
        if task.errors > job.most_errors:
            self.give_up(job, OUTCOME_FAILED)

    def give_up(self, job: Job, outcome: str) -> None:
        """Ends a job that is not done: nothing more of it starts, what runs is stopped after."""
        if job.cancelled or job.complete or job.outcome != OUTCOME_DONE:
            return
        job.outcome = outcome
        self.ending[job.id] = job

    def cancel(self, job: Job) -> None:
        """The job's record is over: nothing of it may start any more."""
        job.cancelled = True
        self.ending.pop(job.id, None)
        if job.bound_count == 0:
            self._drop(job)

    def ended(self, job: Job) -> None:
        """The end of the job is committed; bindings that still stand go with their chunks."""
        self.ending.pop(job.id, None)
        job.cancelled = True
        if job.bound_count == 0:
            self._drop(job)

    def _drop(self, job: Job) -> None:
        for chunk in job.chunks.values():
            self.urgent.pop(chunk, None)
            self.lazy.pop(chunk, None)
            if chunk.stamp != ABSENT:
                self.garbage[chunk.key] = chunk.stamp
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
        """A chunk has to be written: `urgent` for a new binding, `hurry` for what others await."""
        if chunk.dirty_since is None:
            chunk.dirty_since = now
        if urgent or hurry:
            chunk.new_bindings += int(urgent)
            self.lazy.pop(chunk, None)
            self.urgent[chunk] = None
        elif chunk not in self.urgent:
            self.lazy[chunk] = None

    def never_sent(self, chunk: Chunk) -> Iterator[Binding]:
        """Bindings in the chunk of which no start has left."""
        first = chunk.number * chunk.job.chunk_tasks
        for index in range(first, first + chunk.job.chunk_tasks):
            task = chunk.job.tasks.get(index)
            if task is not None and task.binding is not None and task.binding.never_sent:
                yield task.binding

    def value(self, chunk: Chunk) -> dict[str, Any]:
        """The chunk as it is kept: per task -1 (done), 0 (never bound), [next attempt] or bound."""
        job = chunk.job
        first = chunk.number * job.chunk_tasks
        last = min(first + job.chunk_tasks, job.spec.tasks)
        entries: list[Any] = []
        for index in range(first, last):
            task = job.tasks.get(index)
            binding = task.binding if task is not None else None
            if binding is not None and task is not None:
                # A task that is done stays bound until its machine is known to have let go of it.
                entries.append(
                    [
                        task.next_attempt,
                        binding.machine,
                        binding.incarnation,
                        binding.attempt,
                        _BACKFILLED_FLAG * binding.backfilled + _DONE_FLAG * job.done[index],
                        round(binding.bound_at),
                    ]
                )
            elif job.done[index]:
                entries.append(_DONE)
            else:
                entries.append([task.next_attempt] if task is not None else 0)
        value: dict[str, Any] = {"n": job.chunk_tasks, "tasks": entries}
        errors = {
            str(index - first): job.tasks[index].errors
            for index in range(first, last)
            if index in job.tasks and job.tasks[index].errors and not job.done[index]
        }
        if errors:
            value["errors"] = errors
        return value

    def load(self, job: Job, number: int, value: Any, stamp: Revision) -> list[Binding]:
        """Takes over a chunk that a former leader wrote; returns the bindings that stand."""
        try:
            record = msgspec.convert(value, _ChunkRecord)
        except msgspec.ValidationError as error:
            raise RecordError(f"{job.id}/{number}: {error}") from None
        job.chunk_tasks = record.n
        chunk = Chunk(job, number, stamp, version=1, committed=1)
        job.chunks[number] = chunk
        bindings: list[Binding] = []
        for offset, entry in enumerate(record.tasks):
            index = number * record.n + offset
            if index >= job.spec.tasks:
                raise RecordError(f"{job.id}/{number}: more tasks than the job has")
            if isinstance(entry, int):
                if entry == _DONE:
                    self._load_done(job, index)
                continue
            try:
                bindings.extend(self._load_entry(job, chunk, index, entry))
            except (IndexError, TypeError, ValueError):
                raise RecordError(f"{job.id}/{index}: {entry!r}") from None
        for place, errors in record.errors.items():
            task = job.tasks.get(number * record.n + int(place) if place.isdigit() else -1)
            if task is not None:
                task.errors = errors
        if job.complete:
            self.ending[job.id] = job
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
        bound = _read_bound(entry)
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
        # Its zone is counted when the machine is known: see `place_inherited`.
        self._attach(job, task, binding, "")
        return [binding]

    def place_inherited(self, binding: Binding, zone: str) -> None:
        counts = binding.chunk.job.zone_counts
        counts[zone] = counts.get(zone, 0) + 1


def chunk_bindings(value: Any) -> Iterator[tuple[MachineId, Incarnation]]:
    """The machines and sessions to which a chunk's unfinished tasks are bound.

    Raises `RecordError` if this version can't read it.
    """
    try:
        record = msgspec.convert(value, _ChunkRecord)
        for entry in record.tasks:
            if isinstance(entry, int) or len(entry) == 1:
                continue
            bound = _read_bound(entry)
            if not bound.done:
                yield bound.machine, bound.incarnation
    except (msgspec.ValidationError, IndexError, TypeError, ValueError) as error:
        raise RecordError(str(error)) from None


class _BoundEntry(NamedTuple):
    """A bound task as a chunk keeps it."""

    machine: MachineId
    incarnation: Incarnation
    attempt: Attempt
    backfilled: bool
    done: bool
    bound_at: Wall


def _read_bound(entry: list[Any]) -> _BoundEntry:
    """Raises `ValueError` or `TypeError` if this version did not write it."""
    _, name, incarnation, attempt, flags, bound_at = entry
    machine = parse_machine_id(str(name))
    if machine is None:
        raise ValueError(f"{name!r} is no machine")
    return _BoundEntry(
        machine,
        Incarnation(int(incarnation)),
        Attempt(int(attempt)),
        bool(int(flags) & _BACKFILLED_FLAG),
        bool(int(flags) & _DONE_FLAG),
        Wall(float(bound_at)),
    )


class _ChunkRecord(msgspec.Struct):
    n: int
    tasks: list[int | list[Any]]
    errors: dict[str, int] = {}
    """Failures by the task's place in the chunk; kept for jobs with a bound on them."""
