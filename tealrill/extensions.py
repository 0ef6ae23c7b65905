"""What a subsystem may bring, and what it gets: the only kinds that the wiring knows.

A subsystem is a package that the core does not import. `daemon.py` makes those that are switched
on, serves their routes and runs their loops; `leader/leader.py` gives each a part in its term.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from tealrill import wire
from tealrill.scheduler.model import JobView
from tealrill.settings import Settings
from tealrill.state.admission import ImplicitJobs
from tealrill.state.bindings import Job, Owner
from tealrill.state.client import StateClient
from tealrill.state.fencing import Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.write_batcher import WriteBatcher
from tealrill.types import Monotonic, Revision


@dataclass(frozen=True, slots=True)
class LeadershipContext:
    """What a subsystem may use of a term of leadership."""

    settings: Settings
    client: StateClient
    leadership: Leadership
    job_store: JobStore
    write_batcher: WriteBatcher
    valid: Callable[[], bool]
    """Whether the leader may act at this moment."""
    stop: Callable[[Job], None]
    """A job's record is over, or is certain to be: nothing of it starts, what runs is stopped."""
    remaining_s: Callable[[Job, Monotonic], float]
    """How long a job's tasks are expected to take from now on."""
    job_view: Callable[[wire.JobSpec, int], JobView]
    """A job that is not in the queue as the planner would see it, with so many waiting tasks."""


class LeaderExtension(Protocol):
    """An extension's part of a term. Every call but `run` returns at once."""

    def load_records(self, entries: Sequence[wire.Entry]) -> None:
        """Take all records under `job/` that are no jobs.

        Called at the term's start and after a watch that began too late, before the jobs are added.
        """

    def on_record_changed(self, key: str, value: Any, version: Revision) -> None:
        """Such a record was written; None as its value if it was removed."""

    def claim_job(self, job: Job, value: dict[str, Any]) -> bool:
        """A job whose record names an owner; False if the owner is none of this subsystem's."""

    def on_job_ended(self, job: Job) -> None:
        """The end of a job's record is known; `job.outcome` says how it ended."""

    def on_cancelled(self, name: str) -> None:
        """Another node says that it has acknowledged the cancellation of something by this name."""

    def on_owner_changed(self, owner: Owner) -> None:
        """A transaction failed because an owner's record is not as it was."""

    def on_tasks_done(self, job: Job, tasks: list[int]) -> None:
        """Tasks of a job that others follow are written down as done."""

    def upcoming_tasks(self, now: Monotonic, within_s: float) -> Iterable[tuple[JobView, int]]:
        """Tasks that will wait for machines within so many seconds."""

    def describe(self) -> dict[str, Any]:
        """Return what operators are shown."""

    async def run(self) -> None:
        """Run the extension's loop; ends with the term."""


@dataclass(frozen=True, slots=True)
class Extension:
    """One subsystem on one node."""

    name: str
    user_routes: Sequence[Any] = ()
    """Served on `client_listen`."""
    peer_routes: Sequence[Any] = ()
    """Served on `cluster_listen`."""
    loops: Sequence[Callable[[], Coroutine[Any, Any, None]]] = field(default=())
    """Run on every node."""
    implicit_jobs: ImplicitJobs | None = None
    """Job ids that belong to it though they have no record of their own."""
    create_leader_extension: Callable[[LeadershipContext], LeaderExtension] | None = None
