"""One term of leadership: reads the records, then keeps the loops going until it is over."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Sequence
from typing import Any, Final

import msgspec

from tealrill import wire
from tealrill.extensions import LeaderExtension, LeadershipContext
from tealrill.fleet.autoscaling import RENT_EVERY_S
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.connections import ConnectionPool
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.heartbeats import NewerTokenError
from tealrill.fleet.intent_log import CLOUD_PREFIX, IntentLog
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import CompletedTask, Machine
from tealrill.fleet.prober import Prober
from tealrill.fleet.provisioning import Provisioner
from tealrill.http import NoAnswerError
from tealrill.leadership.election import Election
from tealrill.leadership.exclusion import Exclusions
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.leadership.open_jobs import renewal_bound_s
from tealrill.leadership.renewal_delegation import DELEGATION_S, Delegations
from tealrill.scheduler.estimates import Estimates
from tealrill.scheduler.model import JobView
from tealrill.settings import Settings, SettingsError
from tealrill.state.bindings import Binding, Chunk, Job, Owner
from tealrill.state.client import StateClient, StateError
from tealrill.state.fencing import Duty, Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.records import (
    JOB_PREFIX,
    OUTCOME_CANCELLED,
    OUTCOME_DONE,
    RUN_PREFIX,
    RecordError,
    over_key,
)
from tealrill.state.write_batcher import LeadershipLostError, WriteBatcher
from tealrill.types import (
    JobId,
    MachineId,
    Monotonic,
    Revision,
    Wall,
    monotonic_now,
    parse_job_id,
    wall_now,
)

log = logging.getLogger(__name__)

_WATCH_S: Final = 2.0
_PASS_EVERY_S: Final = 2.0
_PASS_GAP_S: Final = 0.1
"""Events closer together than this share a pass."""
_PASS_SHARE: Final = 0.25
"""Passes take no more than this part of the time, as long as one takes less than a second."""
_SILENCE_EVERY_S: Final = 0.5
_RETRY_S: Final = 0.3
_STOP_S: Final = 3.0
"""A stop takes no longer than this as a rule: it goes with every answer to a report."""
_DIRECT_TIMEOUT_S: Final = 2.0
_LATE_S: Final = 0.3
_LOOK_UPS: Final = 8
"""Look-ups under way at once while the records are read."""


def pass_gap_s(took_s: float) -> float:
    """How long events gather before the next pass.

    A node that computes slowly would otherwise do nothing but passes, and workers, submissions and
    the renewal of its lease would wait for them.
    """
    return min(max(_PASS_GAP_S, took_s * (1 / _PASS_SHARE - 1)), _PASS_EVERY_S)


def _chunk_of(key: str) -> tuple[JobId | None, str]:
    """The job and the number in a chunk's key."""
    name, _, number = key.removeprefix(RUN_PREFIX).partition("/")
    return parse_job_id(name), number


class _JobRecord(msgspec.Struct):
    spec: wire.JobSpec
    at: float = 0.0
    owner: str | None = None
    """The record that the job belongs to; the subsystem whose it is reads the rest."""


class Leader:
    """Everything that only the leader does, for one term."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        cloud: Cloud,
        election: Election,
        mine: Leadership,
        estimates: Estimates,
        parts: Sequence[Callable[[LeadershipContext], LeaderExtension]] = (),
        catalogue: wire.Catalogue | None = None,
    ) -> None:
        params = settings.params
        self._client = client
        self._election = election
        self._mine = mine
        self._estimates = estimates
        self.job_store = JobStore(params.state.value_kb)
        workers = params.workers
        self.fleet = Fleet(
            self.job_store,
            mine.term,
            mine.elected_at,
            workers.lease_s,
            DELEGATION_S,
            workers.heartbeat_interval_s,
        )
        spare_s = workers.cancel_s - workers.lease_s
        self.fleet.stop_timeout_s = max(_STOP_S, spare_s / 2)
        self._delegations = Delegations(
            client,
            mine.term,
            mine.stamp,
            lambda: self.fleet.leases.delegation_ended(monotonic_now()),
        )
        self.fleet.changed = self.wake
        self.fleet.finished = self._finished
        self.write_batcher = WriteBatcher(
            client, self.job_store, mine, params.state.txn_ops, self._committed, self._job_over
        )
        self.intent_log = IntentLog(self.write_batcher.join, mine.term, params.state.value_kb)
        self.provisioner = Provisioner(
            cloud,
            self.fleet,
            mine.term,
            params.cloud.list_lag_s,
            self.intent_log,
            self._duty("renting"),
            self._duty("returning"),
        )
        if catalogue is not None:
            # A leader elected while the cloud is away would place nothing until it is back.
            self.provisioner.take_catalogue(catalogue)
        self.provisioner.changed = self.wake
        self.scheduling_loop = SchedulingLoop(
            self.job_store, self.fleet, self.provisioner, estimates, params, self._command_now
        )
        self.seen = CancellationKnowledge()
        """How far changes of jobs are known by the watch."""
        self._vouched_at = Monotonic(-math.inf)
        """What was acknowledged before this moment the other members have told."""
        self._unseen_s = renewal_bound_s(params.workers)
        term = LeadershipContext(
            settings,
            client,
            mine,
            self.job_store,
            self.write_batcher,
            self._valid,
            self._stop,
            self.scheduling_loop.snapshots.remaining_s,
            self.scheduling_loop.snapshots.view_of,
        )
        self.parts = [part(term) for part in parts]
        if self.parts:
            self.scheduling_loop.autoscaler.upcoming = self._upcoming
            self.write_batcher.tasks_done = self._tasks_done
            self.write_batcher.owner_gone = self._owner_gone
        self.exclusions = Exclusions(
            settings, client, mine.term, mine.stamp, self._valid, revoked=self._lease_revoked
        )
        self._resigning: asyncio.Task[None] | None = None
        self._was_informed = True
        self._unread: set[JobId] = set()
        """Jobs whose record is not of this version."""
        self._wake = asyncio.Event()
        self._winding_up = False
        self._orders: dict[MachineId, asyncio.Task[None]] = {}
        self._connections = ConnectionPool(params.quota.fd_limit, lambda: len(self.fleet.machines))
        self.fleet.deregistered = self._connections.drop
        self.prober = Prober(
            self.fleet,
            params.workers.heartbeat_interval_s,
            lambda: self._connections.spare,
            valid=self._valid,
        )
        self.prober.judged = self.wake
        self.provisioner.partitioned_zones = lambda: self.prober.diagnosis.partitioned_zones
        self.fleet.registered = self.provisioner.registered
        self.scheduling_loop.diagnosis = lambda: self.prober.diagnosis

    # -- the term -------------------------------------------------------------------------------

    async def run(self) -> None:
        """Ends when the term is over."""
        try:
            seen = await self._load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.write_batcher.run())
                group.create_task(self._watch_jobs(seen))
                group.create_task(self._passes())
                group.create_task(self._silences())
                group.create_task(self.prober.run())
                group.create_task(self.exclusions.run())
                group.create_task(self.provisioner.run_returns())
                group.create_task(self.provisioner.run_releases())
                group.create_task(self.provisioner.run_lists())
                for part in self.parts:
                    group.create_task(part.run())
        except* LeadershipLostError:
            self._election.step_down("its key is gone")
        finally:
            self._close()

    def _close(self) -> None:
        self.provisioner.close()
        for task in self._orders.values():
            task.cancel()
        self._connections.close()
        self.exclusions.close()

    def wind_up(self) -> None:
        """Begins nothing new, because the duties are about to be handed over."""
        self._winding_up = True
        self.intent_log.closed = True
        self.write_batcher.wake()

    @property
    def under_way(self) -> bool:
        """Whether something that was begun is still to be written or told.

        Requests to the cloud are not waited for: they are recorded, and the next leader goes on.
        """
        return bool(
            self._orders
            or self.job_store.urgent
            or self.job_store.ending
            or self.write_batcher.under_way
        )

    def wake(self) -> None:
        """Something happened that may change what a pass decides."""
        self._wake.set()

    def _duty(self, name: str) -> Duty:
        return Duty(name, self._mine.term, self._mine.elected_at, self._valid, self._alone)

    def _alone(self) -> bool:
        """The state service does not answer this node, neither its renewals nor anything else."""
        return self._mine.troubled and self._client.failing

    def duties(self) -> dict[str, Any]:
        """The duties that this node holds, for operators."""
        now = monotonic_now()
        intent_log = self.intent_log
        return {
            duty.name: duty.describe(now, count)
            for duty, count in (
                (self.provisioner.renting, len(intent_log.rents)),
                (self.provisioner.returning, len(intent_log.returns)),
            )
        }

    def cancellations_known_until(self, at: Monotonic) -> None:
        """All others have told what they had acknowledged before `at`; its own this node knows."""
        self._vouched_at = max(self._vouched_at, at)

    @property
    def known(self) -> CancellationKnowledge:
        """What is known of cancellations, by the watch or by word of the other members."""
        return CancellationKnowledge(self.seen.revision, self._known_at)

    @property
    def _known_at(self) -> Monotonic:
        return max(self.seen.at, self._vouched_at)

    def informed(self, now: Monotonic) -> bool:
        """Whether workers may be renewed: what this leader does not know of is recent enough.

        Not before the records are read. Leaders that ended one after the other while they read
        would renew a cancelled job's worker for ever, each for a moment.
        """
        return self.fleet.loaded and now < self._known_at + self._unseen_s

    def _lease_revoked(self) -> None:
        if self._resigning is None:
            why = "another member is ending its lease"
            self._resigning = asyncio.create_task(self._election.resign(why, 0.0))

    def leads(self, mine: Leadership) -> bool:
        """Whether this is that term."""
        return self._mine is mine

    def _valid(self) -> bool:
        return self._election.leading(monotonic_now()) is self._mine

    # -- records --------------------------------------------------------------------------------

    async def _load(self) -> CancellationKnowledge:
        """Reads all jobs and bindings; returns the revision from which to watch the jobs."""
        while True:
            began = monotonic_now()
            try:
                jobs, revision = await self._client.scan(JOB_PREFIX)
                chunks, _ = await self._client.scan(RUN_PREFIX)
                asked, _ = await self._client.scan(CLOUD_PREFIX)
                self._read_others(jobs)
                for entry in jobs:
                    self._add_job(entry.key, entry.value, Revision(entry.version))
                await self._load_over(chunks)
                bindings: list[Binding] = []
                for entry in chunks:
                    bindings.extend(self._load_chunk(entry))
                break
            except StateError as error:
                log.info("reading the records: %s", error)
                await asyncio.sleep(_RETRY_S)
                self.job_store.clear()
        now = monotonic_now()
        self.fleet.inherit(bindings, now)
        self.provisioner.inherit(asked, now, wall_now())
        for job in list(self.job_store.jobs.values()):
            if job.cancelled:
                self.job_store.cancel(job)
                self.scheduling_loop.placement.cancel(job, now)
        log.info(
            "term %d: %d jobs and %d bindings read",
            self._mine.term,
            len(self.job_store.jobs),
            len(bindings),
        )
        return CancellationKnowledge(revision, began)

    def _add_job(self, key: str, value: object, stamp: Revision) -> Job | None:
        job_id = parse_job_id(key.removeprefix(JOB_PREFIX))
        if job_id is None or job_id in self.job_store.jobs:
            return None
        try:
            record = msgspec.convert(value, _JobRecord)
        except msgspec.ValidationError as error:
            log.error("record of job %s: %s", job_id, error)
            self._unread.add(job_id)
            return None
        self.scheduling_loop.snapshots.submitted(record.spec, monotonic_now())
        job = self.job_store.add(record.spec, Wall(record.at), stamp)
        if record.owner is not None:
            self._give_to_owner(job, value)
        return job

    # -- what subsystems keep beside the jobs -----------------------------------------------------

    def _read_others(self, entries: Sequence[wire.Entry]) -> None:
        others = [e for e in entries if parse_job_id(e.key.removeprefix(JOB_PREFIX)) is None]
        for part in self.parts:
            part.read(others)

    def _give_to_owner(self, job: Job, value: Any) -> None:
        if not any(part.take(job, value) for part in self.parts):
            # Its subsystem is switched off, or can't read it: kept as it is, nothing of it starts.
            log.error("job %s waits for what this node does not know", job.id)
            self.job_store.close_tasks(job)
        if job.cancelled and self.fleet.loaded:
            self._stop(job)

    def _stop(self, job: Job) -> None:
        self.job_store.cancel(job)
        self.scheduling_loop.placement.cancel(job, monotonic_now())
        self.wake()

    def _over(self, job: Job) -> None:
        self.fleet.failure_attribution.forget_job(job.id)
        for part in self.parts:
            part.over(job)

    def _upcoming(self, now: Monotonic, within_s: float) -> list[tuple[JobView, int]]:
        return [found for part in self.parts for found in part.upcoming(now, within_s)]

    def _tasks_done(self, job: Job, tasks: list[int]) -> None:
        for part in self.parts:
            part.tasks_done(job, tasks)
        self.wake()

    def _owner_gone(self, owner: Owner) -> None:
        for part in self.parts:
            part.owner_gone(owner)

    def _load_chunk(self, entry: wire.Entry) -> list[Binding]:
        job_id, number = _chunk_of(entry.key)
        if job_id is None or not number.isdigit():
            log.error("unknown record %s", entry.key)
            return []
        job = self.job_store.jobs.get(job_id)
        if job_id in self._unread:
            # It is for a node that can read its job.
            return []
        if job is None:
            self.job_store.garbage[entry.key] = Revision(entry.version)
            return []
        try:
            return self.job_store.load(job, int(number), entry.value, Revision(entry.version))
        except RecordError as error:
            # Its tasks may run anywhere: none of the job is started as if they did not.
            log.error("record %s", error)
            self.job_store.close_tasks(job)
            return []

    async def _load_over(self, chunks: list[wire.Entry]) -> None:
        """Cancelled jobs whose tasks may still be on machines.

        Chunks of jobs that are over wait for their removal. Looked up one after the other, a
        hundred of them once held up a take-over for two seconds.
        """
        names = {job for job, _ in (_chunk_of(entry.key) for entry in chunks) if job is not None}
        unknown = iter(sorted(names - self.job_store.jobs.keys()))
        found: list[wire.KeyValue] = []

        async def look_up() -> None:
            for job_id in unknown:
                over = await self._client.get(over_key(job_id))
                if over is not None and "spec" in over.value:
                    found.append(over)

        await asyncio.gather(*(look_up() for _ in range(_LOOK_UPS)))
        for over in found:
            record = msgspec.convert(over.value, _JobRecord)
            self.job_store.add(record.spec, Wall(0.0), Revision(over.version)).cancelled = True

    async def _watch_jobs(self, seen: CancellationKnowledge) -> None:
        hold_s = _WATCH_S
        while True:
            self.seen = seen
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
        """A record under `job/` was written or removed."""
        key = event.put or event.delete or ""
        if parse_job_id(key.removeprefix(JOB_PREFIX)) is None:
            value = event.value if event.put is not None else None
            for part in self.parts:
                part.seen(key, value, Revision(event.version))
        elif event.put is not None:
            if self._add_job(event.put, event.value, Revision(event.version)):
                self.wake()
        elif event.delete is not None:
            self.job_cancelled(event.delete.removeprefix(JOB_PREFIX))

    async def _compare_jobs(self) -> Revision:
        """After a watch that began too late: what came and what went."""
        entries, revision = await self._client.scan(JOB_PREFIX)
        keys = {entry.key for entry in entries}
        self._read_others(entries)
        for entry in entries:
            self._add_job(entry.key, entry.value, Revision(entry.version))
        for job in list(self.job_store.jobs.values()):
            if JOB_PREFIX + job.id not in keys:
                self.job_cancelled(job.id)
        self.wake()
        return revision

    def job_cancelled(self, name: str) -> None:
        """Its record is gone, or another node says that it has acknowledged the cancellation."""
        job_id = parse_job_id(name)
        if job_id is None:
            for part in self.parts:
                part.cancelled(name)
            return
        job = self.job_store.jobs.get(job_id)
        if job is None or job.cancelled:
            return
        if job.id in self.job_store.ending:
            # It is deleted by this leader itself; if its user was faster, the transaction that ends
            # it fails and finds out. That may take as long as an outage, and of a job that ends
            # without being done tasks may run: they are stopped at its end in any case.
            if job.outcome != OUTCOME_DONE:
                self.scheduling_loop.placement.cancel(job, monotonic_now())
            return
        log.info("job %s was cancelled; %d of its tasks are bound", job.id, job.bound_count)
        job.outcome = OUTCOME_CANCELLED
        self._stop(job)
        self._over(job)

    def _committed(self, chunks: list[Chunk]) -> None:
        """Bindings in these chunks may be started now."""
        # Not a set: the order of the commands would differ from process to process.
        found = {b.machine: None for chunk in chunks for b in self.job_store.never_sent(chunk)}
        for machine_id in found:
            machine = self.fleet.machines.get(machine_id)
            if machine is not None:
                self._command_now(machine)

    def _job_over(self, job: Job) -> None:
        if job.outcome == OUTCOME_DONE and job.done_count >= job.spec.tasks:
            spec = job.spec
            log.info(
                "job %s is done: %s, %d tasks, after %.0f s, due after %s s",
                job.id,
                spec.job_class,
                spec.tasks,
                wall_now() - job.submitted,
                f"{spec.deadline_s:.0f}" if spec.deadline_s is not None else "-",
            )
        else:
            log.info("job %s is over: %s", job.id, job.outcome)
        if job.cancelled:
            self.scheduling_loop.placement.cancel(job, monotonic_now())
        self._over(job)

    def _finished(self, finished: CompletedTask) -> None:
        spec = finished.job.spec
        self._estimates.completed(spec.team, spec.estimate_s, finished.ran_s)

    # -- loops ----------------------------------------------------------------------------------

    async def _passes(self) -> None:
        while True:
            self._wake.clear()
            began = monotonic_now()
            if self._valid() and not self._winding_up:
                self.scheduling_loop.run(began, wall_now())
                self.write_batcher.wake()
            gap_s = pass_gap_s(monotonic_now() - began)
            await asyncio.sleep(gap_s)
            pause_s = RENT_EVERY_S if self.scheduling_loop.autoscaler.put_off else _PASS_EVERY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s - gap_s):
                    await self._wake.wait()

    async def _silences(self) -> None:
        while True:
            await asyncio.sleep(_SILENCE_EVERY_S)
            try:
                await self._check_silence()
            except StateError as error:
                log.debug("looking for delegates: %s", error)

    def _tell_knowledge(self, now: Monotonic) -> None:
        """Says when workers are not renewed any more for want of knowledge, and when they are."""
        informed = self.informed(now)
        if informed != self._was_informed:
            self._was_informed = informed
            log.info(
                "term %d: %s workers; cancellations are known up to revision %d, %.1f s ago",
                self._mine.term,
                "renews" if informed else "does not renew",
                self.seen.revision,
                now - self._known_at,
            )

    async def _check_silence(self) -> None:
        """Machines lapse only once it is seen that no other node could have renewed them."""
        now = monotonic_now()
        silent = self.fleet.leases.silent(now)
        # What its user was told is cancelled must not be kept running by a delegate, nor what this
        # leader may not know of. Once its machine would have lapsed without delegates is too late:
        # the delegation's end and the worker's lease come after it, and left a second of
        # `cancel_s`.
        self._tell_knowledge(now)
        has_overdue_stop = self.fleet.heartbeats.has_overdue_stop(now) or not self.informed(now)
        if not silent and not has_overdue_stop:
            await self._delegations.clear()
            return
        has_overdue_stop |= any(b.chunk.job.cancelled for m in silent for b in m.bindings.values())
        if not await self._delegations.stand(now, revoke=has_overdue_stop):
            self.fleet.leases.check_silence(now)

    # -- workers --------------------------------------------------------------------------------

    def report(
        self, report: wire.Heartbeat, machine_id: MachineId, now: Monotonic
    ) -> list[dict[str, object]] | None:
        """Commands for the response; None if the worker is to go elsewhere."""
        try:
            commands = self.fleet.heartbeats.process(report, machine_id, now, wall_now())
        except NewerTokenError as error:
            log.info("term %d: %s", self._mine.term, error)
            self._election.step_down("a worker knows a newer term")
            return None
        if self.job_store.ending:
            self.write_batcher.wake()
        return commands

    def _command_now(self, machine: Machine) -> None:
        """Starts and stops go to the worker directly, without waiting for its next report."""
        if machine.id in self._orders or not machine.addr or machine.incarnation is None:
            return
        task = asyncio.create_task(self._send_commands(machine))
        self._orders[machine.id] = task
        task.add_done_callback(lambda _: self._orders.pop(machine.id, None))

    async def _send_commands(self, machine: Machine) -> None:
        """Stops once, starts until none is left; after a failure the reports' responses serve."""
        async with self._connections:
            await self._send_all(machine)

    async def _send_all(self, machine: Machine) -> None:
        stops = self.fleet.commands.stops(machine, monotonic_now())
        while self._valid() and machine.incarnation is not None:
            starts = self.fleet.commands.direct_starts(machine)
            commands = stops + [wire.start(str(b.task), b.attempt) for b in starts]
            if not commands:
                return
            body = wire.encode(wire.direct_commands(self._mine.term, machine.incarnation, commands))
            self.fleet.commands.direct_sent(starts)
            if not await self._send_directly(machine, body, starts):
                return
            self.wake()
            stops = []

    async def _send_directly(self, machine: Machine, body: bytes, starts: list[Binding]) -> bool:
        """True if the commands were executed. Without an answer the starts stay unaccounted for."""
        began = monotonic_now()
        try:
            answer = await self._connections.request(
                machine.id, machine.addr, wire.COMMANDS_PATH, body, _DIRECT_TIMEOUT_S
            )
            report = (
                wire.decode(answer.body, wire.Heartbeat) if answer.status in (200, 409) else None
            )
        except (NoAnswerError, SettingsError, wire.MalformedMessageError) as error:
            log.info("commands for %s: %s", machine.id, error)
            late = monotonic_now() - began > _DIRECT_TIMEOUT_S + _LATE_S
            if isinstance(error, NoAnswerError) and error.silent and not late:
                # Two reports in a row show that it hears. Where this node itself was late the
                # answer may be waiting unread.
                machine.mark_inbound_partitioned(True)
            if isinstance(error, SettingsError) or (
                isinstance(error, NoAnswerError) and not error.sent
            ):
                self.fleet.commands.direct_refused(starts)
            return False
        if answer.status in (400, 409):
            log.info("commands for %s refused: status %d", machine.id, answer.status)
            self.fleet.commands.direct_refused(starts)
        if report is None:
            return False
        # The report goes first: with its sequence number known, an older report that does not
        # list the task yet can't be taken for proof that it is gone.
        self.fleet.heartbeats.handle_direct_reply(report, machine.id, monotonic_now(), wall_now())
        if answer.status == 200:
            self.fleet.commands.direct_executed(starts)
        return answer.status == 200
