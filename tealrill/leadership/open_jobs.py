"""Which jobs are open, as a controller knows it that renews workers for the leader.

A worker may be renewed only by whoever knows every cancellation that a user was told of more than
the staleness bound ago (`renewal_staleness_bound_s`). The leader knows them from its watch. A
controller that renews in its place learns them here: it reads the jobs and the bindings once, and
what changed under `job/` before each confirmation of its right. A job without a record there is
over; what it left on a machine that still reports was cancelled, at the earliest when its end's
revision can have come about (`state/revision_clock.py`).

Bindings are read because a start that left directly may arrive minutes late: its task is in no
report yet, and must not find its worker renewed.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

from tealrill import wire
from tealrill.settings import Workers
from tealrill.state.client import StateClient, StateError
from tealrill.state.records import (
    ENDED_PREFIX,
    JOB_PREFIX,
    RUN_PREFIX,
    RecordError,
    chunk_bindings,
    ended_key,
)
from tealrill.types import (
    Incarnation,
    JobId,
    MachineId,
    Monotonic,
    Revision,
    monotonic_now,
    parse_task_id,
)

_NEVER: Final = Monotonic(-math.inf)
_ALWAYS: Final = Monotonic(math.inf)
_LEAST_BOUND_S: Final = 6.0
"""A watch that is answered in its ordinary time comes well within this."""
_CANCEL_MARGIN_S: Final = 5.0
_ENDS_READ_AT_ONCE: Final = 24
_READ_AT_ONCE: Final = 8
"""Cancelled jobs whose bindings are read with one refresh; the others wait for the next."""


def cancel_spare_s(workers: Workers) -> float:
    """What `cancel_s` leaves beside a worker's lease, in seconds."""
    return workers.cancel_s - workers.lease_s - _CANCEL_MARGIN_S


def renewal_staleness_bound_s(workers: Workers) -> float:
    """How old the knowledge of cancellations may be by which a worker is renewed, in seconds.

    A worker that is renewed at the end of it runs on for its lease. Where `cancel_s` leaves less
    than a watch takes, nothing but the watch's ordinary pace can be asked for.
    """
    return max(_LEAST_BOUND_S, cancel_spare_s(workers))


class UnreadableRecordError(StateError):
    """A record that this version can't read, so that nothing may be concluded from it."""


@dataclass(frozen=True, slots=True)
class _LeftBinding:
    """A task of a job that is over, bound to a machine's incarnation."""

    incarnation: Incarnation
    job: str


class OpenJobs:
    """The jobs that are open, and what those that are not have left on machines."""

    def __init__(
        self, client: StateClient, bound_s: float, now: Callable[[], Monotonic] = monotonic_now
    ) -> None:
        self._client = client
        self._bound_s = bound_s
        self._now = now
        self._revision: Revision | None = None
        self._read_through = _NEVER
        self._owners: dict[str, str | None] = {}
        """Open jobs and graphs, each with the record that it belongs to."""
        self._last_open: dict[str, Monotonic] = {}
        """Jobs that have ended since, with the last moment at which each was known to be open."""
        self._bindings_unread: set[str] = set()
        self._ends_unread: dict[str, str | None] = {}
        """Jobs that were over at the first reading, each with its owner: as if never open, until
        their ends are read."""
        self._left: dict[MachineId, list[_LeftBinding]] = {}

    def clear(self) -> None:
        """Forgets everything: the next refresh reads all records."""
        self._revision = None
        self._read_through = _NEVER
        self._owners.clear()
        self._last_open.clear()
        self._bindings_unread.clear()
        self._ends_unread.clear()
        self._left.clear()

    @property
    def known_through(self) -> Monotonic:
        """Every cancellation that was committed before this moment is known, with its bindings."""
        unread = (self._last_open[name] for name in self._bindings_unread)
        return min((self._read_through, *unread))

    def may_renew(self, report: wire.Heartbeat, machine: MachineId, now: Monotonic) -> bool:
        """Whether all that the worker runs, or may be about to start, was open recently enough."""
        through = min(
            self.known_through, self._reported_through(report), self._left_through(report, machine)
        )
        return now < through + self._bound_s

    def _reported_through(self, report: wire.Heartbeat) -> Monotonic:
        """The last moment at which the jobs of all reported tasks were known to be open."""
        through = _ALWAYS
        for task in report.tasks:
            if task.state != wire.EXITED:
                task_id = parse_task_id(task.task)
                # A name that is no task's is none of an open job's.
                through = min(through, self._job_open_through(task_id.job if task_id else ""))
        return through

    def _left_through(self, report: wire.Heartbeat, machine: MachineId) -> Monotonic:
        """The same of the jobs that have left bindings to the worker's incarnation."""
        through = _ALWAYS
        for left in self._left.get(machine, ()):
            # Commands for an earlier incarnation are refused by the worker.
            if report.incarnation <= left.incarnation:
                through = min(through, self._job_open_through(left.job))
        return through

    def _job_open_through(self, name: str) -> Monotonic:
        if name in self._owners:
            return self._read_through
        return self._last_open.get(name, _NEVER)

    # -- reading ----------------------------------------------------------------------------------

    async def refresh(self) -> None:
        """Takes in what has changed. Raises `StateError`; no more is claimed to be known then."""
        if self._revision is None:
            try:
                await self._load()
            except StateError:
                self.clear()
                raise
        else:
            await self._follow(self._revision, self._read_through)
        for name in sorted(self._bindings_unread)[:_READ_AT_ONCE]:
            entries, _ = await self._client.scan(f"{RUN_PREFIX}{name}/")
            self._keep_bindings(entries)
            self._bindings_unread.discard(name)
        ends = list(self._ends_unread.items())[:_ENDS_READ_AT_ONCE]
        # Side by side: until an end is read, machines with the job's tasks are renewed by nobody.
        found = await asyncio.gather(
            *(self._read_end(*end) for end in ends), return_exceptions=True
        )
        for error in found:
            if error is not None:
                raise error

    async def _read_end(self, name: str, owner: str | None) -> None:
        """When a job was open at the latest that this process never saw open."""
        end = await self._client.get(ended_key(JobId(name)))
        if end is None and owner is not None:
            end = await self._client.get(ENDED_PREFIX + owner)
        if end is not None:
            self._last_open[name] = self._client.revisions.not_before(Revision(end.version))
        self._ends_unread.pop(name, None)

    async def _load(self) -> None:
        sent = self._now()
        jobs, revision = await self._client.scan(JOB_PREFIX)
        chunks, _ = await self._client.scan(RUN_PREFIX)
        owners = {_name(entry.key): _owner(entry.value) for entry in jobs}
        # Without its owner a job is over, though its own record is not removed yet.
        self._owners = {
            name: owner for name, owner in owners.items() if owner is None or owner in owners
        }
        # Read before the bindings are looked at: jobs that were accepted between the two readings
        # would seem to be over.
        await self._follow(revision, sent)
        self._keep_bindings(chunks)
        left = {binding.job for found in self._left.values() for binding in found}
        self._ends_unread = {
            name: owners.get(name) for name in sorted(left - self._last_open.keys())
        }

    async def _follow(self, revision: Revision, last_open: Monotonic) -> None:
        """Changes after that revision; what has ended was open at `last_open`."""
        sent = self._now()
        result = await self._client.watch(JOB_PREFIX, revision, 0.0)
        if result is None:
            self.clear()
            raise StateError("changes of jobs were missed: all are read again")
        for event in result.events:
            if event.put is not None:
                self._opened(_name(event.put), _owner(event.value))
            elif event.delete is not None:
                self._closed(_name(event.delete), last_open)
        self._revision = Revision(max(revision, result.revision))
        self._read_through = sent

    def _opened(self, name: str, owner: str | None) -> None:
        if owner is not None and owner not in self._owners:
            self._last_open[name] = self._last_open.get(owner, _NEVER)
            self._bindings_unread.add(name)
        else:
            self._owners[name] = owner

    def _closed(self, name: str, last_open: Monotonic) -> None:
        """Its record is gone, or that of its owner; it was there at `last_open`."""
        if name not in self._owners:
            return
        del self._owners[name]
        self._last_open[name] = last_open
        self._bindings_unread.add(name)
        for owned in [job for job, owner in self._owners.items() if owner == name]:
            self._closed(owned, last_open)

    def _keep_bindings(self, chunks: Sequence[wire.Entry]) -> None:
        for entry in chunks:
            name = entry.key.removeprefix(RUN_PREFIX).partition("/")[0]
            if name in self._owners:
                continue
            for machine, incarnation in _bindings(entry):
                self._left.setdefault(machine, []).append(_LeftBinding(incarnation, name))


def _name(key: str) -> str:
    return key.removeprefix(JOB_PREFIX)


def _owner(value: Any) -> str | None:
    owner = value.get("owner") if isinstance(value, dict) else None
    return owner if isinstance(owner, str) else None


def _bindings(entry: wire.Entry) -> Iterator[tuple[MachineId, Incarnation]]:
    try:
        yield from chunk_bindings(entry.value)
    except RecordError as error:
        raise UnreadableRecordError(f"record {entry.key}: {error}") from None
