"""One machine as the leader knows it, and its tasks that exited: data only."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from tealrill import wire
from tealrill.scheduler.model import Kind, MachineView
from tealrill.state.bindings import Binding, Chunk, Job
from tealrill.types import (
    Attempt,
    HeartbeatSequence,
    Incarnation,
    MachineId,
    Monotonic,
    TaskId,
)


@dataclass(frozen=True, slots=True)
class Exit:
    """An attempt that exited, and what must hold before the worker may forget it."""

    chunk: Chunk | None
    version: int
    """The chunk's version that holds the outcome; a take-over would run the task again before."""
    binding: Binding | None = None

    @property
    def settled(self) -> bool:
        """Whether the worker may forget the attempt."""
        if self.binding is not None and self.binding.direct_start_in_flight:
            # A late direct start of an attempt that the worker has forgotten would run it again.
            return False
        return self.chunk is None or self.chunk.committed >= self.version


UNKNOWN_EXIT: Final = Exit(None, 0)


@dataclass(slots=True, eq=False)
class Machine:
    """One machine, from its rental, its line in the cloud's list or its worker's first report."""

    id: MachineId
    type: str
    zone: str
    spot: bool
    rented_at: Monotonic
    """When it was rented, or as near to that as is known."""
    rented_this_term: bool = False
    """It was rented in this term, so `since` is when its boot began."""
    addr: str = ""
    incarnation: Incarnation | None = None
    sequence: HeartbeatSequence = HeartbeatSequence(-1)
    current: bool = False
    """Its last report carried this term's token, so nothing older than it can still arrive."""
    incarnation_seen_at: Monotonic | None = None
    """When its incarnation was first heard of, in this term; the worker's lease runs from
    before.
    """
    last_acknowledged_at: Monotonic | None = None
    """Its last report that was answered: only that renews it, so one that is mute gets no work
    however well it answers. It took tasks in each new incarnation, and lost them with its lease."""
    last_contact_at: Monotonic | None = None
    """The last that was heard of it, by a report or by the answer to a direct command."""
    preemption_notice_until: Monotonic | None = None
    inbound_partitioned: bool = False
    """What is sent to it seems not to arrive, though its reports do."""
    lease_expired: bool = False
    releasing: bool = False
    """It goes back: no room, whatever else becomes of it."""
    release_recorded: bool = False
    """Its return is recorded, so that it goes back whoever leads."""
    drain_reason: str = ""
    """Why nothing more is placed here; empty if it is."""
    unbound_tasks: int = 0
    """Tasks that run here and that no binding covers; they are being stopped."""
    bindings: dict[TaskId, Binding] = field(default_factory=dict)
    bindings_by_name: dict[str, Binding] = field(default_factory=dict)
    """The same by the task's name on the wire: reports list them all every time, and most lines say
    nothing new, so that taking the name apart would be most of the work."""
    exited: dict[tuple[TaskId, Attempt], Exit] = field(default_factory=dict)
    """Attempts that exited here and that the worker has not been told to forget."""
    unreconciled: list[tuple[TaskId, Attempt, wire.TaskStatus]] = field(default_factory=list)
    """Of the list that was gone through last: what exited, and what no binding covers."""
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    """What its bindings use."""
    images: dict[str, None] = field(default_factory=dict)
    idle_since: Monotonic | None = None
    refused_until: Monotonic = Monotonic(0.0)
    listed_state: str = ""
    listed_at: Monotonic | None = None
    listed_addr: str = ""
    missing_from_lists: int = 0
    """Of the cloud's lists, the last so many did not show it though an earlier one did."""
    failed_connects: int = 0
    """Attempts to connect while it was silent, in a row, that brought no connection."""
    accepts: bool = False
    """The last such attempt brought a connection: its system runs."""
    expired_cpus: float = 0.0
    """Processors that its tasks used when its lease lapsed."""
    view: MachineView | None = None
    """What placement sees of it, kept from pass to pass; None once something in it has changed."""
    settled: list[wire.TaskStatus] | None = None
    """The last report's tasks, if all is as it should be: the same list again says nothing new."""

    def touch(self) -> None:
        """Drop what was worked out from its state, because something in it has changed."""
        self.view = None
        self.settled = None

    def mark_inbound_partitioned(self, inbound_partitioned: bool) -> None:
        """Record whether what is sent to it seems not to arrive."""
        if self.inbound_partitioned is not inbound_partitioned:
            self.inbound_partitioned = inbound_partitioned
            self.touch()

    @property
    def kind(self) -> Kind:
        """The type, zone and price class that it was rented as."""
        return self.type, self.zone, self.spot

    @property
    def has_booted(self) -> bool:
        """Whether it is known to have come up, in this term or before."""
        return self.incarnation is not None or self.listed_state == wire.MACHINE_RUNNING

    @property
    def is_in_order(self) -> bool:
        """Nothing but silence or a refusal may forbid to bind a task to it."""
        return (
            self.current
            and not self.lease_expired
            and not self.releasing
            and not self.drain_reason
            and not self.unbound_tasks
            and not self.inbound_partitioned
            and self.preemption_notice_until is None
        )

    def is_placeable(self, now: Monotonic, silence_s: float) -> bool:
        """Whether a task may be bound to it at this moment."""
        return (
            self.is_in_order
            and self.last_acknowledged_at is not None
            and now - self.last_acknowledged_at <= silence_s
            and now >= self.refused_until
        )


@dataclass(frozen=True, slots=True)
class CompletedTask:
    """A completed task's run time, for the estimates."""

    job: Job
    ran_s: float
