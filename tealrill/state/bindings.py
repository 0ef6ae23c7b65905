"""In-memory records of jobs, their tasks and the bindings of tasks to machines.

Plain data: `state.job_store` modifies these objects and keeps its totals consistent with them;
`state.records` defines how they are encoded in the state service.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from tealrill import wire
from tealrill.state.records import OUTCOME_DONE, chunk_key
from tealrill.types import (
    ABSENT,
    Attempt,
    FencingToken,
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
    """Assignment of a task to a machine; while it exists the task can't be started elsewhere."""

    task: TaskId
    machine: MachineId
    incarnation: Incarnation
    attempt: Attempt
    backfilled: bool
    bound_at: Wall
    chunk: Chunk
    version: int
    """Chunk version that first contains this binding; the task may start once it is committed."""
    inherited: bool = False
    """Read from the records of an earlier leader, which may have sent the start."""
    sent: HeartbeatSequence | None = None
    """Sequence number of the heartbeat whose response first carried the start."""
    start_confirmed: bool = False
    """The worker has listed the task in a heartbeat or has executed a direct start of it."""
    direct_start_in_flight: bool = False
    """A direct start was sent and not answered; it may still arrive at any later time."""
    direct_token: FencingToken = FencingToken(0)
    """Fencing token of its last direct start; 0 if this term has sent none."""
    last_listed_in: HeartbeatSequence | None = None
    """Sequence number of this incarnation's last heartbeat that listed the task."""
    state: str | None = None
    running_since: Monotonic | None = None
    stop: Stop | None = None

    @property
    def committed(self) -> bool:
        """True if the chunk version that contains it is committed, so that the task may start."""
        return self.chunk.committed >= self.version

    @property
    def never_sent(self) -> bool:
        """True if it is certain that no leader has sent a start for it."""
        return (
            not (self.start_confirmed or self.inherited or self.direct_start_in_flight)
            and self.sent is None
        )


@dataclass(slots=True)
class Stop:
    """A requested stop of a bound task: the reason and the grace period for saving its state."""

    reason: str
    grace_s: float
    since: Monotonic
    logged_late: bool = False
    """True once it was logged that the task is still listed long after its job's cancellation."""


@dataclass(slots=True, eq=False)
class Task:
    """State of a task that was bound at least once."""

    next_attempt: Attempt = Attempt(1)
    binding: Binding | None = None
    errors: int = 0


@dataclass(slots=True, eq=False)
class Owner:
    """The record that a job belongs to.

    Transactions that bind the job's tasks or end it are guarded by this version of the record.
    """

    key: str
    mod_revision: Revision
    name: str


@dataclass(slots=True, eq=False)
class Chunk:
    """A range of a job's consecutive tasks that is stored under one key."""

    job: Job
    number: int
    mod_revision: Revision = ABSENT
    version: int = 0
    """Incremented with every change in memory."""
    committed: int = 0
    """Latest version that is known to be committed."""
    dirty_since: Monotonic | None = None
    new_bindings: int = 0
    """Bindings added since the last commit."""
    unreported_completions: list[tuple[int, int]] = field(default_factory=list)
    """Uncommitted completions as (version, task index); only if `Job.reports_completions`."""

    @property
    def key(self) -> str:
        """The chunk's key in the state service."""
        return chunk_key(self.job.id, self.number)


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job that has not ended, or that still has bindings."""

    id: JobId
    spec: wire.JobSpec
    submitted: Wall
    mod_revision: Revision
    chunk_tasks: int
    done: bytearray
    done_count: int = 0
    bound_count: int = 0
    next_unbound: int = 0
    """Tasks from this index on were never bound, except those in `tasks` or `done`."""
    requeued: list[int] = field(default_factory=list)
    """Heap of other tasks that may be bound; may contain tasks that are bound or done by now."""
    tasks: dict[int, Task] = field(default_factory=dict)
    chunks: dict[int, Chunk] = field(default_factory=dict)
    zone_counts: dict[str, int] = field(default_factory=dict)
    cancelled: bool = False
    cancelled_at: Wall | None = None
    """Time at which the cancellation was recorded, or was learned of if the record lacks it."""
    due_s: float | None = None
    """Deadline in seconds after submission."""
    owner: Owner | None = None
    tail_s: float = 0.0
    """Estimated duration, in seconds, of the longest chain of work that depends on this job."""
    max_task_errors: int | None = None
    """Failures of one task after which the job fails if exceeded; None for unlimited retries."""
    outcome: str = OUTCOME_DONE
    """How the job ends; final once the job is in `JobStore.ending_jobs`."""
    unblocked: bytearray | None = None
    """For a job whose tasks are unblocked one by one: a flag per task that has been unblocked."""
    blocked_count: int = 0
    """Number of tasks that are still blocked."""
    held: bool = False
    """No more of its tasks are started in this term."""
    reports_completions: bool = False
    """Other jobs wait for single tasks of this one, so each completion is written at once."""

    @property
    def waiting(self) -> int:
        """Number of unbound tasks that may be bound now."""
        if self.cancelled or self.held or self.outcome != OUTCOME_DONE:
            return 0
        return self.spec.tasks - self.done_count - self.bound_count - self.blocked_count

    @property
    def complete(self) -> bool:
        """True if every task is done and the job is not cancelled."""
        return not self.cancelled and self.done_count >= self.spec.tasks

    def bindings(self) -> Iterator[Binding]:
        """Yield the current bindings of the job's tasks."""
        for task in self.tasks.values():
            if task.binding is not None:
                yield task.binding
