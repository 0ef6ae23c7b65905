"""The leader's watch on the records under `job/`."""

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

_WATCH_HOLD_S: Final = 2.0
_RETRY_S: Final = 0.3


class JobWatch:
    """Learns of submissions and cancellations by long polling the state service."""

    def __init__(
        self,
        client: StateClient,
        job_store: JobStore,
        lifecycle: JobLifecycle,
        wake: Callable[[], None],
    ) -> None:
        """Apply changes through `lifecycle`; call `wake` when a pass may decide differently."""
        self._client = client
        self._job_store = job_store
        self._lifecycle = lifecycle
        self._wake = wake
        self.cancellation_knowledge = CancellationKnowledge()
        """Up to which revision, and as of what time, changes of jobs are known from the watch."""

    async def run(self, knowledge: CancellationKnowledge) -> None:
        """Watch from the revision of `knowledge` on, until cancelled."""
        hold_s = _WATCH_HOLD_S
        while True:
            self.cancellation_knowledge = knowledge
            # The answer reflects the state at the time it is given, so it is at least as recent as
            # the time the request is sent.
            sent = monotonic_now()
            try:
                result = await self._client.watch(JOB_PREFIX, knowledge.revision, hold_s)
                if result is None:
                    revision = await self._rescan_jobs()
            except StateError as error:
                log.debug("job watch failed: error=%s", error)
                # If the state service answers slowly, a watch that is held would time out each
                # time, and a leader without recent knowledge of cancellations must stop renewing
                # workers. The next watch therefore asks for the current state without holding.
                hold_s = 0.0
                await asyncio.sleep(_RETRY_S)
                continue
            hold_s = _WATCH_HOLD_S
            if result is not None:
                for event in result.events:
                    self.job_changed(event)
                revision = Revision(max(knowledge.revision, result.revision))
            knowledge = CancellationKnowledge(revision, sent)

    def job_changed(self, event: wire.WatchEvent) -> None:
        """Apply a change of a record under `job/`."""
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

    async def _rescan_jobs(self) -> Revision:
        """Apply all changes found by a full scan, after a watch whose revision was too old."""
        entries, revision = await self._client.scan(JOB_PREFIX)
        keys = {entry.key for entry in entries}
        self._lifecycle.load_extension_records(entries)
        for entry in entries:
            self._lifecycle.add(entry.key, entry.value, Revision(entry.version))
        for job in list(self._job_store.jobs.values()):
            if JOB_PREFIX + job.id not in keys:
                self._lifecycle.on_cancelled(job.id, f"reading at revision {revision}")
        self._wake()
        return revision
