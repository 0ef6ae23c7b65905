"""The leader's watch of the records under `job/`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from tealrill import wire
from tealrill.leader.job_lifecycle import JobLifecycle
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.state.client import StateClient, StateError
from tealrill.state.job_store import JobStore
from tealrill.state.records import JOB_PREFIX
from tealrill.types import Revision, monotonic_now, parse_job_id

log = logging.getLogger(__name__)

_WATCH_S: Final = 2.0
_RETRY_S: Final = 0.3


class JobWatch:
    """Learns of submissions and cancellations by a long poll of the state service."""

    def __init__(
        self,
        client: StateClient,
        job_store: JobStore,
        lifecycle: JobLifecycle,
        wake: Callable[[], None],
    ) -> None:
        """Apply changes by `lifecycle`; `wake` is called when a pass may decide otherwise."""
        self._client = client
        self._job_store = job_store
        self._lifecycle = lifecycle
        self._wake = wake
        self.cancellation_knowledge = CancellationKnowledge()
        """How far changes of jobs are known by the watch."""

    async def run(self, seen: CancellationKnowledge) -> None:
        """Watch from the revision of `seen` on, for ever."""
        hold_s = _WATCH_S
        while True:
            self.cancellation_knowledge = seen
            # What a watch answers is as of its answer, and so no older than its sending.
            sent = monotonic_now()
            try:
                result = await self._client.watch(JOB_PREFIX, seen.revision, hold_s)
                if result is None:
                    revision = await self._compare_jobs()
            except StateError as error:
                log.debug("watching jobs: %s", error)
                # Where the state service answers slowly a held watch comes too late each time, and
                # a leader that learns nothing must fall silent: it is only asked how things are.
                hold_s = 0.0
                await asyncio.sleep(_RETRY_S)
                continue
            hold_s = _WATCH_S
            if result is not None:
                for event in result.events:
                    self.job_changed(event)
                revision = Revision(max(seen.revision, result.revision))
            seen = CancellationKnowledge(revision, sent)

    def job_changed(self, event: wire.WatchEvent) -> None:
        """Apply that a record under `job/` was written or removed."""
        key = event.put or event.delete or ""
        if parse_job_id(key.removeprefix(JOB_PREFIX)) is None:
            value = event.value if event.put is not None else None
            for extension in self._lifecycle.extensions:
                extension.on_record_changed(key, value, Revision(event.version))
        elif event.put is not None:
            if self._lifecycle.add(event.put, event.value, Revision(event.version)):
                self._wake()
        elif event.delete is not None:
            source = f"watch at revision {event.version}"
            self._lifecycle.on_cancelled(event.delete.removeprefix(JOB_PREFIX), source)

    async def _compare_jobs(self) -> Revision:
        """Apply what was written and removed, after a watch that began too late."""
        entries, revision = await self._client.scan(JOB_PREFIX)
        keys = {entry.key for entry in entries}
        self._lifecycle.read_others(entries)
        for entry in entries:
            self._lifecycle.add(entry.key, entry.value, Revision(entry.version))
        for job in list(self._job_store.jobs.values()):
            if JOB_PREFIX + job.id not in keys:
                self._lifecycle.on_cancelled(job.id, f"reading at revision {revision}")
        self._wake()
        return revision
