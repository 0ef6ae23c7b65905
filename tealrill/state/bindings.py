"""Jobs of the leader's memory, their tasks, and the bindings of tasks to machines: plain data.

`state.job_store` changes these objects and keeps its totals with them; `state.records` has the
form in which they are kept in the state service.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from tealrill import wire
from tealrill.state.records import OUTCOME_DONE, chunk_key
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
)


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
    """The heartbeat whose response first carried the start."""
    start_confirmed: bool = False
    direct_start_in_flight: bool = False
    """A start sent to the worker directly has no answer yet, and may arrive at any later time."""
    last_listed_in: HeartbeatSequence | None = None
    """The last heartbeat of this incarnation that listed the task."""
    state: str | None = None
    running_since: Monotonic | None = None
    stop: Stop | None = None

    @property
    def committed(self) -> bool:
        """Whether the chunk version that holds it is committed, so that it may be started."""
        return self.chunk.committed >= self.version

    @property
    def never_sent(self) -> bool:
        """Whether certainly no start of it ever left the leader."""
        return (
            not (self.start_confirmed or self.inherited or self.direct_start_in_flight)
            and self.sent is None
        )


@dataclass(slots=True)
class Stop:
    """Why a bound task is to be stopped, and how long it may save."""

    reason: str
    grace_s: float
    since: Monotonic
    logged_late: bool = False
    """The log has it that the task was listed long after its job's cancellation."""


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
    mod_revision: Revision
    name: str


@dataclass(slots=True, eq=False)
class Chunk:
    """The record of a run of a job's tasks."""

    job: Job
    number: int
    mod_revision: Revision = ABSENT
    version: int = 0
    committed: int = 0
    dirty_since: Monotonic | None = None
    new_bindings: int = 0
    news: list[tuple[int, int]] = field(default_factory=list)
    """For a job whose followers wait for single tasks: versions and the tasks they made done."""

    @property
    def key(self) -> str:
        """The chunk's key in the state service."""
        return chunk_key(self.job.id, self.number)


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job that still has something to be done."""

    id: JobId
    spec: wire.JobSpec
    submitted: Wall
    mod_revision: Revision
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
    cancelled_at: Wall | None = None
    """When its cancellation was recorded, or learned of where the record does not say."""
    due_s: float | None = None
    """Its deadline, from its submission."""
    owner: Owner | None = None
    tail_s: float = 0.0
    """Estimated time that what depends on it takes after it."""
    max_task_errors: int | None = None
    """How often one task may fail before the job has failed; None: it is tried for ever."""
    outcome: str = OUTCOME_DONE
    """How it ends, once it is in `JobStore.ending`."""
    unblocked: bytearray | None = None
    """For a job whose tasks are let go one by one: which of them were."""
    closed: int = 0
    """Tasks that were not."""
    reports_completions: bool = False
    """Others wait for its single tasks, so that a done one is written without delay."""

    @property
    def waiting(self) -> int:
        """Number of tasks that may be bound now and are not."""
        if self.cancelled or self.outcome != OUTCOME_DONE:
            return 0
        return self.spec.tasks - self.done_count - self.bound_count - self.closed

    @property
    def complete(self) -> bool:
        """Whether every task is done."""
        return not self.cancelled and self.done_count >= self.spec.tasks

    def bindings(self) -> Iterator[Binding]:
        """Return the bindings that stand."""
        for task in self.tasks.values():
            if task.binding is not None:
                yield task.binding
