"""Composes the components that only the leader runs, and runs them until the term ends."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

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
from tealrill.types import FencingToken, MachineId, Monotonic, monotonic_now, wall_now

log = logging.getLogger(__name__)

_MIN_STOP_TIMEOUT_S: Final = 3.0
"""A stop normally takes effect within this time: it is sent with every heartbeat response."""


class HeartbeatResponse(NamedTuple):
    """A response that renews a worker's lease."""

    token: FencingToken
    commands: list[dict[str, Any]]


class Leader:
    """The components of the leader, for one term."""

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
        """Compose the components for the term `leadership`.

        `parts` are factories of the extensions' components; `catalogue` is the last known catalogue
        of the cloud, if any.
        """
        params = settings.params
        self._client = client
        self._election = election
        self._leadership = leadership
        self._estimates = estimates
        self._wake = asyncio.Event()
        self._handing_over = False
        self._reported_through = Monotonic(-math.inf)
        """All cancellations that other members acknowledged before this time are known."""
        self._staleness_bound_s = renewal_staleness_bound_s(params.workers)
        self._resignation: asyncio.Task[None] | None = None
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
            on_lease_revoked=self._on_lease_revoked,
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
        fleet.stop_timeout_s = max(_MIN_STOP_TIMEOUT_S, spare_s / 2)
        fleet.changed = self.wake
        fleet.finished = self._on_task_completed
        return fleet

    def _compose_writes(
        self, params: Params, cloud: Cloud, catalogue: wire.Catalogue | None
    ) -> None:
        """Compose the components that write to the state service and send requests to the cloud."""
        leadership = self._leadership
        self.write_batcher = WriteBatcher(
            self._client,
            self.job_store,
            leadership,
            params.state.txn_ops,
            self._on_committed,
            self._on_job_ended,
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
            # Without it, a leader elected during an outage of the cloud could not place any task
            # until the outage ends.
            self.provisioner.set_catalogue(catalogue)
        self.provisioner.changed = self.wake
        self.fleet.registered = self.provisioner.registered

    def _compose_scheduling(self, params: Params, estimates: Estimates) -> None:
        """Compose the components that schedule tasks, send commands to workers and probe them."""
        self._connections = ConnectionPool(params.quota.fd_limit, lambda: len(self.fleet.machines))
        self.fleet.deregistered = self._connections.drop
        self.direct_commands = DirectCommands(
            self.fleet.commands,
            self.fleet.heartbeats,
            self.fleet.tokens,
            self.fleet.fencing_log,
            self._connections,
            self._valid,
            self.wake,
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
        """Compose the components that load the records, and the loops that run afterwards."""
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
        self.extensions = [part(context) for part in parts]
        self.lifecycle.extensions = self.extensions
        if self.extensions:
            self.scheduling_loop.autoscaler.upcoming_tasks = self.lifecycle.upcoming_tasks
            self.write_batcher.tasks_done = self.lifecycle.on_tasks_done
            self.write_batcher.owner_changed = self.lifecycle.on_owner_changed

    async def run(self) -> None:
        """Load the records, then run the loops until the term ends."""
        try:
            knowledge = await self.record_loader.load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self.write_batcher.run())
                group.create_task(self.job_watch.run(knowledge))
                group.create_task(self.pass_loop.run())
                group.create_task(self.lease_expiry.run())
                group.create_task(self.prober.run())
                group.create_task(self.exclusions.run())
                group.create_task(self.provisioner.run_release_recording())
                group.create_task(self.provisioner.run_release_requests())
                group.create_task(self.provisioner.run_reconciliation())
                for part in self.extensions:
                    group.create_task(part.run())
        except* LeadershipLostError:
            self._election.step_down("the leader's key is gone")
        finally:
            self._close()

    def _close(self) -> None:
        self.provisioner.close()
        self.direct_commands.close()
        self._connections.close()
        self.exclusions.close()

    def begin_handover(self) -> None:
        """Stop beginning new work, because leadership is about to be handed over."""
        self._handing_over = True
        self.intent_log.closed = True
        self.write_batcher.wake()

    @property
    def busy(self) -> bool:
        """True while work that was begun is still to be committed or sent to workers.

        Requests to the cloud are not included: they are recorded, and the next leader resumes them.
        """
        return bool(
            self.direct_commands.in_flight
            or self.job_store.urgent_chunks
            or self.job_store.ending_jobs
            or self.write_batcher.busy
        )

    def wake(self) -> None:
        """Schedule a pass soon, after an event that may change its decisions."""
        self._wake.set()

    def _duty(self, name: str) -> Duty:
        return Duty(
            name,
            self._leadership.term,
            self._leadership.elected_at,
            self._valid,
            self._is_state_service_unreachable,
        )

    def _is_state_service_unreachable(self) -> bool:
        """Return True if neither lease renewals nor other requests of this node are answered."""
        return self._leadership.renewal_failed and self._client.failing

    def duties(self) -> dict[str, Any]:
        """Return a description of the duties that this node holds, for operators."""
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
        """Record that all members' cancellations acknowledged before `at` are known.

        The other members have reported theirs; this node knows its own.
        """
        self._reported_through = max(self._reported_through, at)

    @property
    def cancellation_knowledge(self) -> CancellationKnowledge:
        """How far cancellations are known, from the watch or from the other members' reports."""
        return CancellationKnowledge(
            self.job_watch.cancellation_knowledge.revision, self._known_through
        )

    @property
    def _known_through(self) -> Monotonic:
        return max(self.job_watch.cancellation_knowledge.at, self._reported_through)

    def may_renew_workers(self, now: Monotonic) -> bool:
        """Return True if workers may be renewed: cancellations are known up to a recent time.

        False until the records are loaded. Otherwise a sequence of leaders whose terms all end
        while they load would keep renewing the worker of a cancelled job without ever stopping it.
        """
        return self.fleet.loaded and now < self._known_through + self._staleness_bound_s

    def _may_begin(self) -> bool:
        return self._valid() and not self._handing_over

    def _on_lease_revoked(self) -> None:
        if self._resignation is None:
            reason = "another member is revoking its lease"
            self._resignation = asyncio.create_task(self._election.resign(reason, 0.0))

    def runs_term(self, leadership: Leadership) -> bool:
        """Return True if this object runs the term `leadership`."""
        return self._leadership is leadership

    def _valid(self) -> bool:
        return self._election.valid_leadership(monotonic_now()) is self._leadership

    def _on_committed(self, chunks: list[Chunk]) -> None:
        """Send the starts of tasks whose bindings have just been committed in these chunks."""
        # Not a set, whose order could differ between processes: the order of commands must not.
        machine_ids = {
            b.machine: None for chunk in chunks for b in self.job_store.never_sent(chunk)
        }
        for machine_id in machine_ids:
            machine = self.fleet.machines.get(machine_id)
            if machine is not None:
                self.direct_commands.send(machine)

    def _on_job_ended(self, job: Job) -> None:
        self.lifecycle.on_ended(job)

    def _on_task_completed(self, finished: CompletedTask) -> None:
        spec = finished.job.spec
        self._estimates.completed(spec.team, spec.estimate_s, finished.ran_s)

    def handle_heartbeat(
        self, report: wire.Heartbeat, machine_id: MachineId, now: Monotonic
    ) -> HeartbeatResponse | None:
        """Process a heartbeat; return the response, None if the worker must try another node."""
        try:
            commands = self.fleet.heartbeats.process(report, machine_id, now, wall_now())
        except NewerTokenError as error:
            log.info("leadership superseded: term=%d reason=%s", self._leadership.term, error)
            self._election.step_down("a worker knows a newer term")
            return None
        if self.job_store.ending_jobs:
            self.write_batcher.wake()
        if commands is None:
            return None
        token = self.fleet.tokens.current(self.fleet.machines[machine_id])
        return HeartbeatResponse(token, commands)
