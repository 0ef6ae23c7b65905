"""One term of leadership: composes what only the leader does, and runs it until the term ends."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Sequence
from typing import Any, Final

from tealrill import wire
from tealrill.extensions import LeaderExtension, LeadershipContext
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.connections import ConnectionPool
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.heartbeats import NewerTokenError
from tealrill.fleet.intent_log import IntentLog
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import CompletedTask
from tealrill.fleet.prober import Prober
from tealrill.fleet.provisioning import Provisioner
from tealrill.leader.direct_commands import DirectCommands
from tealrill.leader.job_lifecycle import JobLifecycle
from tealrill.leader.job_watch import JobWatch
from tealrill.leader.loops import LeaseExpiryLoop, PassLoop
from tealrill.leader.record_loader import RecordLoader
from tealrill.leadership.election import Election
from tealrill.leadership.exclusion import Exclusions
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.leadership.open_jobs import renewal_staleness_bound_s
from tealrill.leadership.renewal_delegation import DELEGATION_S, Delegations
from tealrill.scheduler.estimates import Estimates
from tealrill.settings import Params, Settings
from tealrill.state.bindings import Chunk, Job
from tealrill.state.client import StateClient
from tealrill.state.fencing import Duty, Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.write_batcher import LeadershipLostError, WriteBatcher
from tealrill.types import MachineId, Monotonic, monotonic_now, wall_now

log = logging.getLogger(__name__)

_STOP_S: Final = 3.0
"""A stop takes no longer than this as a rule: it goes with every response to a heartbeat."""


class Leader:
    """Everything that only the leader does, for one term."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        cloud: Cloud,
        election: Election,
        leadership: Leadership,
        estimates: Estimates,
        parts: Sequence[Callable[[LeadershipContext], LeaderExtension]] = (),
        catalogue: wire.Catalogue | None = None,
    ) -> None:
        """Compose the term `leadership`; `parts` make the extensions' parts of it.

        `catalogue` is the cloud's last known one, if there is any.
        """
        params = settings.params
        self._client = client
        self._election = election
        self._leadership = leadership
        self._estimates = estimates
        self._wake = asyncio.Event()
        self._winding_up = False
        self._vouched_at = Monotonic(-math.inf)
        """What was acknowledged before this moment the other members have told."""
        self._unseen_s = renewal_staleness_bound_s(params.workers)
        self._resigning: asyncio.Task[None] | None = None
        self.job_store = JobStore(params.state.value_kb)
        self.fleet = self._new_fleet(params)
        self._compose_writes(params, cloud, catalogue)
        self._compose_scheduling(params, estimates)
        self._compose_loops()
        self._compose_extensions(settings, parts)
        self.exclusions = Exclusions(
            settings,
            client,
            leadership.term,
            leadership.mod_revision,
            self._valid,
            on_lease_revoked=self._lease_revoked,
        )

    def _new_fleet(self, params: Params) -> Fleet:
        workers = params.workers
        fleet = Fleet(
            self.job_store,
            self._leadership.term,
            self._leadership.elected_at,
            workers.lease_s,
            DELEGATION_S,
            workers.heartbeat_interval_s,
        )
        spare_s = workers.cancel_s - workers.lease_s
        fleet.stop_timeout_s = max(_STOP_S, spare_s / 2)
        fleet.changed = self.wake
        fleet.finished = self._finished
        return fleet

    def _compose_writes(
        self, params: Params, cloud: Cloud, catalogue: wire.Catalogue | None
    ) -> None:
        """Compose what writes to the state service and asks the cloud."""
        leadership = self._leadership
        self.write_batcher = WriteBatcher(
            self._client,
            self.job_store,
            leadership,
            params.state.txn_ops,
            self._committed,
            self._job_ended,
        )
        self.intent_log = IntentLog(self.write_batcher.join, leadership.term, params.state.value_kb)
        self.provisioner = Provisioner(
            cloud,
            self.fleet,
            leadership.term,
            params.cloud.list_lag_s,
            self.intent_log,
            self._duty("renting"),
            self._duty("returning"),
        )
        if catalogue is not None:
            # A leader elected while the cloud is away would place nothing until it is back.
            self.provisioner.set_catalogue(catalogue)
        self.provisioner.changed = self.wake
        self.fleet.registered = self.provisioner.registered

    def _compose_scheduling(self, params: Params, estimates: Estimates) -> None:
        """Compose what decides, what tells workers, and what probes them."""
        self._connections = ConnectionPool(params.quota.fd_limit, lambda: len(self.fleet.machines))
        self.fleet.deregistered = self._connections.drop
        self.direct_commands = DirectCommands(
            self.fleet, self._connections, self._leadership.term, self._valid, self.wake
        )
        self.scheduling_loop = SchedulingLoop(
            self.job_store,
            self.fleet,
            self.provisioner,
            estimates,
            params,
            self.direct_commands.send,
        )
        self.prober = Prober(
            self.fleet,
            params.workers.heartbeat_interval_s,
            lambda: self._connections.spare_sockets,
            valid=self._valid,
        )
        self.prober.diagnosis_changed = self.wake
        self.provisioner.partitioned_zones = lambda: self.prober.diagnosis.partitioned_zones
        self.scheduling_loop.diagnosis = lambda: self.prober.diagnosis

    def _compose_loops(self) -> None:
        """Compose what reads the records, and the loops that go on from there."""
        client, term = self._client, self._leadership.term
        self.lifecycle = JobLifecycle(self.job_store, self.fleet, self.scheduling_loop, self.wake)
        self.record_loader = RecordLoader(
            client,
            self.job_store,
            self.fleet,
            self.provisioner,
            self.scheduling_loop,
            self.lifecycle,
            term,
        )
        self.job_watch = JobWatch(client, self.job_store, self.lifecycle, self.wake)
        self.pass_loop = PassLoop(
            self.scheduling_loop, self.write_batcher, self._wake, self._may_begin
        )
        delegations = Delegations(
            client,
            term,
            self._leadership.mod_revision,
            lambda: self.fleet.leases.delegation_ended(monotonic_now()),
        )
        self.lease_expiry = LeaseExpiryLoop(
            self.fleet,
            delegations,
            term,
            self.may_renew_workers,
            lambda: self.cancellation_knowledge,
        )

    def _compose_extensions(
        self, settings: Settings, parts: Sequence[Callable[[LeadershipContext], LeaderExtension]]
    ) -> None:
        context = LeadershipContext(
            settings,
            self._client,
            self._leadership,
            self.job_store,
            self.write_batcher,
            self._valid,
            self.lifecycle.stop,
            self.scheduling_loop.snapshots.remaining_s,
            self.scheduling_loop.snapshots.view_of,
        )
        self.parts = [part(context) for part in parts]
        self.lifecycle.extensions = self.parts
        if self.parts:
            self.scheduling_loop.autoscaler.upcoming = self.lifecycle.upcoming
            self.write_batcher.tasks_done = self.lifecycle.on_tasks_done
            self.write_batcher.owner_changed = self.lifecycle.on_owner_changed

    async def run(self) -> None:
        """Read the records, then run the loops until the term is over."""
        try:
            seen = await self.record_loader.load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.write_batcher.run())
                group.create_task(self.job_watch.run(seen))
                group.create_task(self.pass_loop.run())
                group.create_task(self.lease_expiry.run())
                group.create_task(self.prober.run())
                group.create_task(self.exclusions.run())
                group.create_task(self.provisioner.run_release_recording())
                group.create_task(self.provisioner.run_release_requests())
                group.create_task(self.provisioner.run_reconciliation())
                for part in self.parts:
                    group.create_task(part.run())
        except* LeadershipLostError:
            self._election.step_down("its key is gone")
        finally:
            self._close()

    def _close(self) -> None:
        self.provisioner.close()
        self.direct_commands.close()
        self._connections.close()
        self.exclusions.close()

    def begin_handover(self) -> None:
        """Begin nothing new, because the duties are about to be handed over."""
        self._winding_up = True
        self.intent_log.closed = True
        self.write_batcher.wake()

    @property
    def busy(self) -> bool:
        """Whether something that was begun is still to be written or told.

        Requests to the cloud are not waited for: they are recorded, and the next leader goes on.
        """
        return bool(
            self.direct_commands.in_flight
            or self.job_store.urgent_chunks
            or self.job_store.ending_jobs
            or self.write_batcher.busy
        )

    def wake(self) -> None:
        """Have a pass run soon: something happened that may change what it decides."""
        self._wake.set()

    def _duty(self, name: str) -> Duty:
        return Duty(
            name, self._leadership.term, self._leadership.elected_at, self._valid, self._alone
        )

    def _alone(self) -> bool:
        """Whether the state service answers nothing of this node, not even its renewals."""
        return self._leadership.renewal_failed and self._client.failing

    def duties(self) -> dict[str, Any]:
        """Return the duties that this node holds, for operators."""
        now = monotonic_now()
        intent_log = self.intent_log
        return {
            duty.name: duty.describe(now, count)
            for duty, count in (
                (self.provisioner.rent_duty, len(intent_log.open_rentals)),
                (self.provisioner.release_duty, len(intent_log.open_releases)),
            )
        }

    def on_cancellations_known(self, at: Monotonic) -> None:
        """Note that all other members told the cancellations they acknowledged before `at`.

        Those that this node acknowledged itself it knows.
        """
        self._vouched_at = max(self._vouched_at, at)

    @property
    def cancellation_knowledge(self) -> CancellationKnowledge:
        """What is known of cancellations, by the watch or by word of the other members."""
        return CancellationKnowledge(self.job_watch.cancellation_knowledge.revision, self._known_at)

    @property
    def _known_at(self) -> Monotonic:
        return max(self.job_watch.cancellation_knowledge.at, self._vouched_at)

    def may_renew_workers(self, now: Monotonic) -> bool:
        """Whether workers may be renewed: what this leader does not know of is recent enough.

        Not before the records are read. Leaders that ended one after the other while they read
        would renew a cancelled job's worker for ever, each for a moment.
        """
        return self.fleet.loaded and now < self._known_at + self._unseen_s

    def _may_begin(self) -> bool:
        return self._valid() and not self._winding_up

    def _lease_revoked(self) -> None:
        if self._resigning is None:
            why = "another member is ending its lease"
            self._resigning = asyncio.create_task(self._election.resign(why, 0.0))

    def runs_term(self, leadership: Leadership) -> bool:
        """Whether this is that term."""
        return self._leadership is leadership

    def _valid(self) -> bool:
        return self._election.valid_leadership(monotonic_now()) is self._leadership

    def _committed(self, chunks: list[Chunk]) -> None:
        """Start what is bound in these chunks, which are recorded now."""
        # Not a set: the order of the commands would differ from process to process.
        found = {b.machine: None for chunk in chunks for b in self.job_store.never_sent(chunk)}
        for machine_id in found:
            machine = self.fleet.machines.get(machine_id)
            if machine is not None:
                self.direct_commands.send(machine)

    def _job_ended(self, job: Job) -> None:
        self.lifecycle.on_ended(job)

    def _finished(self, finished: CompletedTask) -> None:
        spec = finished.job.spec
        self._estimates.completed(spec.team, spec.estimate_s, finished.ran_s)

    def report(
        self, report: wire.Heartbeat, machine_id: MachineId, now: Monotonic
    ) -> list[dict[str, object]] | None:
        """Process a heartbeat; return the commands, None if the worker must go elsewhere."""
        try:
            commands = self.fleet.heartbeats.process(report, machine_id, now, wall_now())
        except NewerTokenError as error:
            log.info("term %d: %s", self._leadership.term, error)
            self._election.step_down("a worker knows a newer term")
            return None
        if self.job_store.ending_jobs:
            self.write_batcher.wake()
        return commands
