"""Interfaces between the controller and its optional extensions.

An extension is a package that the core does not import. `daemon.py` creates the enabled ones,
serves their routes and runs their loops; `leader/leader.py` creates a `LeaderExtension` of each for
its term.
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
    """What the leader gives to an extension for one term."""

    settings: Settings
    client: StateClient
    leadership: Leadership
    job_store: JobStore
    write_batcher: WriteBatcher
    may_act: Callable[[], bool]
    """Return True while the leader may act."""
    stop_job: Callable[[Job], None]
    """Start no more tasks of a job and stop the running ones, because its record is deleted or will
    certainly be."""
    remaining_s: Callable[[Job, Monotonic], float]
    """Return the expected time until a job's tasks have ended, in seconds."""
    job_view: Callable[[wire.JobSpec, int], JobView]
    """Return the planner's view of a job outside the queue with so many waiting tasks."""


class LeaderExtension(Protocol):
    """An extension's part of a term. No method but `run` blocks."""

    def load_records(self, entries: Sequence[wire.Entry]) -> None:
        """Load all records under `job/` that are not jobs.

        Called at the term's start, and again when the watch has missed changes; each time before
        the jobs are added.
        """

    def on_record_changed(self, key: str, value: Any, version: Revision) -> None:
        """Process a change of such a record; `value` is None if it was deleted."""

    def claim_job(self, job: Job, value: dict[str, Any]) -> bool:
        """Take charge of a job whose record names an owner.

        Return False if the owner is not one of this extension's.
        """

    def on_job_ended(self, job: Job) -> None:
        """Process the end of a job; `job.outcome` says how it ended."""

    def on_cancelled(self, name: str) -> None:
        """Process that another member has acknowledged the cancellation of `name`."""

    def on_owner_changed(self, owner: Owner) -> None:
        """Process that a transaction failed because an owner's record has changed."""

    def on_tasks_done(self, job: Job, tasks: list[int]) -> None:
        """Process that tasks are committed as done, of a job that reports its completions."""

    def upcoming_tasks(self, now: Monotonic, within_s: float) -> Iterable[tuple[JobView, int]]:
        """Return the tasks expected to wait for machines within `within_s` seconds, with counts."""

    def describe(self) -> dict[str, Any]:
        """Return the fields that this extension adds to the status shown to operators."""

    async def run(self) -> None:
        """Run the extension's loop until the term ends."""


@dataclass(frozen=True, slots=True)
class Extension:
    """One extension on one controller."""

    name: str
    user_routes: Sequence[Any] = ()
    """Served on `client_listen`."""
    peer_routes: Sequence[Any] = ()
    """Served on `cluster_listen`."""
    loops: Sequence[Callable[[], Coroutine[Any, Any, None]]] = field(default=())
    """Run on every controller, leader or not."""
    implicit_jobs: ImplicitJobs | None = None
    """Job ids that belong to the extension although they have no record of their own."""
    create_leader_extension: Callable[[LeadershipContext], LeaderExtension] | None = None
