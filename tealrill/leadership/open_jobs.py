"""The open jobs, as known to a controller that renews workers on behalf of the leader.

A worker may be renewed only by a controller that knows every cancellation acknowledged longer ago
than the staleness bound (`renewal_staleness_bound_s`). The leader knows them from its watch. A
controller that renews in its place learns them here: it reads the jobs and the bindings once, and
the changes under `job/` before each confirmation of its delegation. A job without a record there
has ended. Its tasks that are still on a reporting machine count as cancelled, at the earliest when
the revision of the job's end can have been created (`state/revision_clock.py`).

The bindings are needed because a direct start may arrive minutes late: its task is in no heartbeat
yet, and its worker must not be renewed if the job was cancelled.
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
_MIN_BOUND_S: Final = 6.0
"""Well above the usual answer time of a watch."""
_CANCEL_MARGIN_S: Final = 5.0
_MAX_ENDS_PER_REFRESH: Final = 24
_MAX_JOBS_PER_REFRESH: Final = 8
"""Ended jobs whose bindings are read in one refresh; the others wait for the next refresh."""


def cancellation_slack_s(workers: Workers) -> float:
    """Return the part of `cancel_s` that a worker's lease and a margin leave, in seconds."""
    return workers.cancel_s - workers.lease_s - _CANCEL_MARGIN_S


def renewal_staleness_bound_s(workers: Workers) -> float:
    """Return how old the knowledge of cancellations may be when a worker is renewed, in seconds.

    A worker renewed at that age keeps running for one more lease. If `cancel_s` leaves less time
    than a watch takes, the bound is the usual pace of the watch.
    """
    return max(_MIN_BOUND_S, cancellation_slack_s(workers))


class UnreadableRecordError(StateError):
    """This version can't decode a record, so nothing may be concluded from it."""


@dataclass(frozen=True, slots=True)
class _RemainingBinding:
    """A task of an ended job that is bound to an agent incarnation."""

    incarnation: Incarnation
    job: str


class OpenJobs:
    """The open jobs, and the bindings that ended jobs have left on machines."""

    def __init__(
        self, client: StateClient, bound_s: float, now: Callable[[], Monotonic] = monotonic_now
    ) -> None:
        self._client = client
        self._bound_s = bound_s
        self._now = now
        self._revision: Revision | None = None
        self._read_through = _NEVER
        self._owners: dict[str, str | None] = {}
        """Open jobs and graphs, each with the name of the graph that owns it, if any."""
        self._last_open: dict[str, Monotonic] = {}
        """Ended jobs, with the last moment at which each was known to be open."""
        self._bindings_unread: set[str] = set()
        """Ended jobs whose bindings are not read yet."""
        self._ends_unread: dict[str, str | None] = {}
        """Jobs that had ended before the first reading, each with its owner; until their ends are
        read they count as never open."""
        self._remaining_bindings: dict[MachineId, list[_RemainingBinding]] = {}

    def clear(self) -> None:
        """Discard everything; the next refresh reads all records."""
        self._revision = None
        self._read_through = _NEVER
        self._owners.clear()
        self._last_open.clear()
        self._bindings_unread.clear()
        self._ends_unread.clear()
        self._remaining_bindings.clear()

    @property
    def known_through(self) -> Monotonic:
        """All cancellations committed before this moment are known, with the jobs' bindings."""
        unread = (self._last_open[name] for name in self._bindings_unread)
        return min((self._read_through, *unread))

    def may_renew(self, report: wire.Heartbeat, machine: MachineId, now: Monotonic) -> bool:
        """Return True if the jobs of all tasks of the worker were open recently enough.

        This includes tasks that the worker may be about to start.
        """
        through = min(
            self.known_through,
            self._reported_jobs_open_through(report),
            self._bound_jobs_open_through(report, machine),
        )
        return now < through + self._bound_s

    def _reported_jobs_open_through(self, report: wire.Heartbeat) -> Monotonic:
        """Return the last moment at which the jobs of all reported tasks were known to be open."""
        through = _ALWAYS
        for task in report.tasks:
            if task.state != wire.EXITED:
                task_id = parse_task_id(task.task)
                # A malformed task name belongs to no open job.
                through = min(through, self._job_open_through(task_id.job if task_id else ""))
        return through

    def _bound_jobs_open_through(self, report: wire.Heartbeat, machine: MachineId) -> Monotonic:
        """Return the same for ended jobs bound to the worker's incarnation or a later one."""
        through = _ALWAYS
        for remaining in self._remaining_bindings.get(machine, ()):
            # A worker refuses commands for an earlier incarnation.
            if report.incarnation <= remaining.incarnation:
                through = min(through, self._job_open_through(remaining.job))
        return through

    def _job_open_through(self, name: str) -> Monotonic:
        if name in self._owners:
            return self._read_through
        return self._last_open.get(name, _NEVER)

    # -- reading ----------------------------------------------------------------------------------

    async def refresh(self) -> None:
        """Read the changes since the last refresh.

        Raises `StateError`; `known_through` then covers no more than what was read.
        """
        if self._revision is None:
            try:
                await self._load()
            except StateError:
                self.clear()
                raise
        else:
            await self._apply_changes(self._revision, self._read_through)
        for name in sorted(self._bindings_unread)[:_MAX_JOBS_PER_REFRESH]:
            entries, _ = await self._client.scan(f"{RUN_PREFIX}{name}/")
            self._add_remaining_bindings(entries)
            self._bindings_unread.discard(name)
        ends = list(self._ends_unread.items())[:_MAX_ENDS_PER_REFRESH]
        # In parallel: until a job's end is read, machines with its tasks can't be renewed.
        found = await asyncio.gather(
            *(self._read_end(*end) for end in ends), return_exceptions=True
        )
        for error in found:
            if error is not None:
                raise error

    async def _read_end(self, name: str, owner: str | None) -> None:
        """Read the end of a job that had ended before this process's first reading."""
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
        owners = {_job_name(entry.key): _owner(entry.value) for entry in jobs}
        # A job whose owner has ended has ended too, even if its own record still exists.
        self._owners = {
            name: owner for name, owner in owners.items() if owner is None or owner in owners
        }
        # Before the bindings are examined: jobs accepted between the two readings would otherwise
        # appear to have ended.
        await self._apply_changes(revision, sent)
        self._add_remaining_bindings(chunks)
        remaining = {
            binding.job for found in self._remaining_bindings.values() for binding in found
        }
        self._ends_unread = {
            name: owners.get(name) for name in sorted(remaining - self._last_open.keys())
        }

    async def _apply_changes(self, revision: Revision, last_open: Monotonic) -> None:
        """Apply the changes after `revision`; jobs that have ended were open at `last_open`."""
        sent = self._now()
        result = await self._client.watch(JOB_PREFIX, revision, 0.0)
        if result is None:
            self.clear()
            raise StateError(f"job changes after revision {revision} are compacted")
        for event in result.events:
            if event.put is not None:
                self._opened(_job_name(event.put), _owner(event.value))
            elif event.delete is not None:
                self._closed(_job_name(event.delete), last_open)
        self._revision = Revision(max(revision, result.revision))
        self._read_through = sent

    def _opened(self, name: str, owner: str | None) -> None:
        if owner is not None and owner not in self._owners:
            self._last_open[name] = self._last_open.get(owner, _NEVER)
            self._bindings_unread.add(name)
        else:
            self._owners[name] = owner

    def _closed(self, name: str, last_open: Monotonic) -> None:
        """Mark a job as ended whose record, or whose owner's record, was deleted.

        The record existed at `last_open`.
        """
        if name not in self._owners:
            return
        del self._owners[name]
        self._last_open[name] = last_open
        self._bindings_unread.add(name)
        for owned in [job for job, owner in self._owners.items() if owner == name]:
            self._closed(owned, last_open)

    def _add_remaining_bindings(self, chunks: Sequence[wire.Entry]) -> None:
        for entry in chunks:
            name = entry.key.removeprefix(RUN_PREFIX).partition("/")[0]
            if name in self._owners:
                continue
            for machine, incarnation in _bindings(entry):
                self._remaining_bindings.setdefault(machine, []).append(
                    _RemainingBinding(incarnation, name)
                )


def _job_name(key: str) -> str:
    return key.removeprefix(JOB_PREFIX)


def _owner(value: Any) -> str | None:
    owner = value.get("owner") if isinstance(value, dict) else None
    return owner if isinstance(owner, str) else None


def _bindings(entry: wire.Entry) -> Iterator[tuple[MachineId, Incarnation]]:
    try:
        yield from chunk_bindings(entry.value)
    except RecordError as error:
        raise UnreadableRecordError(f"unreadable record: key={entry.key} error={error}") from None
