"""The reading of all records at the beginning of a term."""

from __future__ import annotations

import asyncio
import logging
from typing import Final, NamedTuple

import msgspec

from tealrill import wire
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.intent_log import CLOUD_PREFIX
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.provisioning import Provisioner
from tealrill.leader.job_lifecycle import JobLifecycle, JobRecord
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.state.bindings import Binding
from tealrill.state.client import StateClient, StateError
from tealrill.state.job_store import JobStore
from tealrill.state.records import JOB_PREFIX, RUN_PREFIX, RecordError, ended_key
from tealrill.types import (
    FencingToken,
    JobId,
    Revision,
    Wall,
    monotonic_now,
    parse_job_id,
    wall_now,
)

log = logging.getLogger(__name__)

_RETRY_S: Final = 0.3
_LOOK_UPS: Final = 8
"""Look-ups in flight at once while the records are read."""


class _ChunkKey(NamedTuple):
    """The parts of a key `run/ID/CHUNK`."""

    job: JobId | None
    """None if it is not the id of a job."""
    number: str


def _parse_chunk_key(key: str) -> _ChunkKey:
    """Return the job and the number in a chunk's key."""
    name, _, number = key.removeprefix(RUN_PREFIX).partition("/")
    return _ChunkKey(parse_job_id(name), number)


class RecordLoader:
    """Reads what former leaders recorded into the store, the fleet and the provisioner."""

    def __init__(
        self,
        client: StateClient,
        job_store: JobStore,
        fleet: Fleet,
        provisioner: Provisioner,
        scheduling_loop: SchedulingLoop,
        lifecycle: JobLifecycle,
        term: FencingToken,
    ) -> None:
        """Read for the leader of `term`; `lifecycle` adds the jobs."""
        self._client = client
        self._job_store = job_store
        self._fleet = fleet
        self._provisioner = provisioner
        self._scheduling_loop = scheduling_loop
        self._lifecycle = lifecycle
        self._term = term

    async def load(self) -> CancellationKnowledge:
        """Read all jobs and bindings; return the revision from which to watch the jobs.

        Begins anew after each error of the state service.
        """
        while True:
            began = monotonic_now()
            try:
                jobs, revision = await self._client.scan(JOB_PREFIX)
                chunks, _ = await self._client.scan(RUN_PREFIX)
                asked, _ = await self._client.scan(CLOUD_PREFIX)
                self._lifecycle.read_others(jobs)
                for entry in jobs:
                    self._lifecycle.add(entry.key, entry.value, Revision(entry.version))
                await self._load_ended(chunks)
                bindings: list[Binding] = []
                for entry in chunks:
                    bindings.extend(self._load_chunk(entry))
                break
            except StateError as error:
                log.info("reading the records: %s", error)
                await asyncio.sleep(_RETRY_S)
                self._job_store.clear()
        now = monotonic_now()
        self._fleet.inherit(bindings, now)
        self._provisioner.inherit(asked, now, wall_now())
        for job in list(self._job_store.jobs.values()):
            if job.cancelled:
                self._job_store.cancel(job)
                self._scheduling_loop.placement.cancel(job, now)
        log.info(
            "term %d: %d jobs and %d bindings read: revision=%d took_s=%.2f cancelled_bound=%d",
            self._term,
            len(self._job_store.jobs),
            len(bindings),
            revision,
            now - began,
            sum(job.bound_count for job in self._job_store.jobs.values() if job.cancelled),
        )
        return CancellationKnowledge(revision, began)

    def _load_chunk(self, entry: wire.Entry) -> list[Binding]:
        """Return the bindings in a chunk; none if its job is over or not readable."""
        job_id, number = _parse_chunk_key(entry.key)
        if job_id is None or not number.isdigit():
            log.error("unknown record %s", entry.key)
            return []
        job = self._job_store.jobs.get(job_id)
        if job_id in self._lifecycle.unread:
            # It is for a node that can read its job.
            return []
        if job is None:
            self._job_store.orphaned_chunks[entry.key] = Revision(entry.version)
            return []
        try:
            return self._job_store.load(job, int(number), entry.value, Revision(entry.version))
        except RecordError as error:
            # Its tasks may run anywhere: none of the job is started as if they did not.
            log.error("record %s", error)
            self._job_store.block_tasks(job)
            return []

    async def _load_ended(self, chunks: list[wire.Entry]) -> None:
        """Add cancelled jobs whose tasks may still be on machines.

        Chunks of jobs that are over wait for their removal. Looked up one after the other, a
        hundred of them once held up a take-over for two seconds.
        """
        names = {job for job, _ in (_parse_chunk_key(e.key) for e in chunks) if job is not None}
        unknown = iter(sorted(names - self._job_store.jobs.keys()))
        found: list[wire.KeyValue] = []

        async def look_up() -> None:
            for job_id in unknown:
                over = await self._client.get(ended_key(job_id))
                if over is not None and "spec" in over.value:
                    found.append(over)

        await asyncio.gather(*(look_up() for _ in range(_LOOK_UPS)))
        for over in found:
            record = msgspec.convert(over.value, JobRecord)
            job = self._job_store.add(record.spec, Wall(0.0), Revision(over.version))
            job.cancelled = True
            job.cancelled_at = Wall(record.ended_at) if record.ended_at else wall_now()
