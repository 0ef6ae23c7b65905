"""The leader's record of one machine and of the attempts that exited on it: data only."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from tealrill import wire
from tealrill.scheduler.model import Kind, MachineView
from tealrill.state.bindings import Binding, Chunk, Job
from tealrill.types import (
    Attempt,
    FencingToken,
    HeartbeatSequence,
    Incarnation,
    MachineId,
    Monotonic,
    TaskId,
)


@dataclass(frozen=True, slots=True)
class Exit:
    """An exited attempt, and what must be so before the worker may forget it."""

    chunk: Chunk | None
    version: int
    """The chunk's version that holds the outcome.

    Until it is committed, a new leader does not know the outcome and would run the task again.
    """
    direct_token: FencingToken | None = None
    """Token of the attempt's last direct start, 0 if it had none in this term; None if unknown.

    A worker that has forgotten the attempt must have seen a higher one, or it would run the attempt
    again for a late copy of that start.
    """

    @property
    def is_committed(self) -> bool:
        """Return whether the outcome is committed."""
        return self.chunk is None or self.chunk.committed >= self.version

    def is_fenced_by(self, token: FencingToken) -> bool:
        """Return whether a worker that has seen `token` refuses the attempt's direct starts."""
        return self.direct_token is not None and self.direct_token < token


UNKNOWN_EXIT: Final = Exit(None, 0)


@dataclass(slots=True, eq=False)
class Machine:
    """A machine, known from its rental, the cloud's list or its worker's first heartbeat."""

    id: MachineId
    type: str
    zone: str
    spot: bool
    rented_at: Monotonic
    """When it was rented, or the best estimate of that."""
    rented_this_term: bool = False
    """Rented in this term, so that `rented_at` is when its boot began."""
    addr: str = ""
    incarnation: Incarnation | None = None
    sequence: HeartbeatSequence = HeartbeatSequence(-1)
    token: FencingToken = FencingToken(0)
    """The highest token of this term that was sent to its worker or that its worker has shown."""
    has_current_token: bool = False
    """Its last heartbeat carried a token of this term: its worker refuses earlier terms' commands.
    """
    incarnation_seen_at: Monotonic | None = None
    """When this leader first saw its incarnation; the incarnation's lease began before that."""
    last_acknowledged_at: Monotonic | None = None
    """When a heartbeat of it was last acknowledged.

    Only an acknowledgement renews its lease, so tasks are placed by this time and not by
    `last_contact_at`: a machine whose heartbeats don't arrive still replies to direct commands, but
    loses its tasks with its lease in each incarnation.
    """
    last_contact_at: Monotonic | None = None
    """When a heartbeat or a reply to a direct command last arrived from it."""
    preemption_notice_until: Monotonic | None = None
    inbound_partitioned: bool = False
    """Messages to it seem not to arrive, though its heartbeats do."""
    lease_expired: bool = False
    releasing: bool = False
    """It is being returned to the cloud; its capacity is not used any more."""
    release_recorded: bool = False
    """Its release is recorded in the state service, so that any later leader carries it out."""
    drain_reason: str = ""
    """Why no more tasks are placed on it; empty if tasks may be placed."""
    unbound_tasks: int = 0
    """Number of its tasks that have not exited and have no binding; they are being stopped."""
    bindings: dict[TaskId, Binding] = field(default_factory=dict)
    bindings_by_name: dict[str, Binding] = field(default_factory=dict)
    """`bindings` by the task's name on the wire.

    Every heartbeat lists all tasks, most of them unchanged: parsing the names would be most of the
    work of a heartbeat.
    """
    exited: dict[tuple[TaskId, Attempt], Exit] = field(default_factory=dict)
    """Exited attempts that the worker still lists."""
    exited_or_unbound: list[tuple[TaskId, Attempt, wire.TaskStatus]] = field(default_factory=list)
    """Tasks of the last reconciled heartbeat that have exited or have no binding."""
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    """Resources that its bindings use."""
    images: dict[str, None] = field(default_factory=dict)
    idle_since: Monotonic | None = None
    refused_until: Monotonic = Monotonic(0.0)
    listed_state: str = ""
    """Its state in the last list of the cloud that contained it; empty if none did."""
    listed_at: Monotonic | None = None
    """When a list of the cloud last contained it."""
    listed_addr: str = ""
    missing_from_lists: int = 0
    """Number of the cloud's latest lists that lack it, counted once a list has contained it."""
    failed_connects: int = 0
    """Number of consecutive failed probes since its last heartbeat."""
    accepts_connections: bool = False
    """The last probe succeeded: the machine's operating system accepts or refuses connections."""
    expired_cpus: float = 0.0
    """Processors that its tasks used when its lease expired."""
    view: MachineView | None = None
    """Its view for placement, cached between passes; None once its state has changed."""
    reconciled_tasks: list[wire.TaskStatus] | None = None
    """The last heartbeat's tasks, if they matched the bindings and nothing was pending.

    A heartbeat with the same list needs no reconciliation and no commands.
    """

    def invalidate_caches(self) -> None:
        """Drop the values cached from its state, because the state has changed."""
        self.view = None
        self.reconciled_tasks = None

    def mark_inbound_partitioned(self, inbound_partitioned: bool) -> None:
        """Record whether messages to it seem not to arrive."""
        if self.inbound_partitioned is not inbound_partitioned:
            self.inbound_partitioned = inbound_partitioned
            self.invalidate_caches()

    @property
    def kind(self) -> Kind:
        """Return its type, its zone and whether it is a spot instance."""
        return self.type, self.zone, self.spot

    @property
    def has_booted(self) -> bool:
        """Return whether it is known to have booted, in this term or before."""
        return self.incarnation is not None or self.listed_state == wire.MACHINE_RUNNING

    @property
    def is_schedulable(self) -> bool:
        """Return whether tasks may be bound to it, apart from missed heartbeats and refusals."""
        return (
            self.has_current_token
            and not self.lease_expired
            and not self.releasing
            and not self.drain_reason
            and not self.unbound_tasks
            and not self.inbound_partitioned
            and self.preemption_notice_until is None
        )

    def is_placeable(self, now: Monotonic, max_silence_s: float) -> bool:
        """Return whether a task may be bound to it now.

        Its last acknowledged heartbeat must be at most `max_silence_s` old.
        """
        return (
            self.is_schedulable
            and self.last_acknowledged_at is not None
            and now - self.last_acknowledged_at <= max_silence_s
            and now >= self.refused_until
        )


@dataclass(frozen=True, slots=True)
class CompletedTask:
    """The run time of a completed task, in seconds; input of the run-time estimates."""

    job: Job
    ran_s: float
