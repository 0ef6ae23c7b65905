"""Loads all records at the beginning of a term."""

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
_MAX_LOOK_UPS: Final = 8
"""Maximum number of concurrent look-ups of ended jobs."""


class _ChunkKey(NamedTuple):
    """The components of a key `run/ID/CHUNK`."""

    job: JobId | None
    """None if ID is not a valid job id."""
    number: str


def _parse_chunk_key(key: str) -> _ChunkKey:
    """Return the components of a chunk's key."""
    name, _, number = key.removeprefix(RUN_PREFIX).partition("/")
    return _ChunkKey(parse_job_id(name), number)


class RecordLoader:
    """Loads the records of earlier leaders into the store, the fleet and the provisioner."""

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
        """Load for the leader of `term`; jobs are added through `lifecycle`."""
        self._client = client
        self._job_store = job_store
        self._fleet = fleet
        self._provisioner = provisioner
        self._scheduling_loop = scheduling_loop
        self._lifecycle = lifecycle
        self._term = term

    async def load(self) -> CancellationKnowledge:
        """Load all jobs, bindings and cloud requests; return how far cancellations are known.

        The job watch continues from the returned revision. Loading is restarted after each error
        of the state service.
        """
        while True:
            began = monotonic_now()
            try:
                jobs, revision = await self._client.scan(JOB_PREFIX)
                chunks, _ = await self._client.scan(RUN_PREFIX)
                cloud_requests, _ = await self._client.scan(CLOUD_PREFIX)
                self._lifecycle.load_extension_records(jobs)
                for entry in jobs:
                    self._lifecycle.add(entry.key, entry.value, Revision(entry.version))
                await self._load_ended(chunks)
                bindings: list[Binding] = []
                for entry in chunks:
                    bindings.extend(self._load_chunk(entry))
                break
            except StateError as error:
                log.info("loading the records failed, restarting: error=%s", error)
                await asyncio.sleep(_RETRY_S)
                self._job_store.clear()
        now = monotonic_now()
        self._fleet.inherit(bindings, now)
        self._provisioner.inherit(cloud_requests, now, wall_now())
        for job in list(self._job_store.jobs.values()):
            if job.cancelled:
                self._job_store.cancel(job)
                self._scheduling_loop.placement.cancel(job, now)
        log.info(
            "records read: term=%d jobs=%d bindings=%d revision=%d took_s=%.2f cancelled_bound=%d",
            self._term,
            len(self._job_store.jobs),
            len(bindings),
            revision,
            now - began,
            sum(job.bound_count for job in self._job_store.jobs.values() if job.cancelled),
        )
        return CancellationKnowledge(revision, began)

    def _load_chunk(self, entry: wire.Entry) -> list[Binding]:
        """Load a chunk; return its bindings, none if its job has ended or can't be read."""
        job_id, number = _parse_chunk_key(entry.key)
        if job_id is None or not number.isdigit():
            log.error("unknown record: key=%s", entry.key)
            return []
        job = self._job_store.jobs.get(job_id)
        if job_id in self._lifecycle.unreadable_jobs:
            # Left for a node whose version can read the job.
            return []
        if job is None:
            self._job_store.orphaned_chunks[entry.key] = Revision(entry.version)
            return []
        try:
            return self._job_store.load(job, int(number), entry.value, Revision(entry.version))
        except RecordError as error:
            # Its tasks may be running on unknown machines, so no task of the job is started.
            log.error("chunk unreadable, its job is blocked: error=%s", error)
            self._job_store.hold(job)
            return []

    async def _load_ended(self, chunks: list[wire.Entry]) -> None:
        """Add ended jobs whose tasks may still be on machines.

        Chunks of ended jobs remain until they are deleted. The look-ups are concurrent, because a
        hundred of them in sequence delayed a failover by 2 s.
        """
        names = {job for job, _ in (_parse_chunk_key(e.key) for e in chunks) if job is not None}
        unknown = iter(sorted(names - self._job_store.jobs.keys()))
        ended_jobs: list[wire.KeyValue] = []

        async def look_up() -> None:
            for job_id in unknown:
                ended = await self._client.get(ended_key(job_id))
                if ended is not None and "spec" in ended.value:
                    ended_jobs.append(ended)

        await asyncio.gather(*(look_up() for _ in range(_MAX_LOOK_UPS)))
        for ended in ended_jobs:
            record = msgspec.convert(ended.value, JobRecord)
            job = self._job_store.add(record.spec, Wall(0.0), Revision(ended.version))
            job.cancelled = True
            job.cancelled_at = Wall(record.ended_at) if record.ended_at else wall_now()
