"""A controller: its HTTP servers, leader election, and the leader while it is elected."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

from tornado import web

from tealrill import wire
from tealrill.api.admin import AdminStateHandler
from tealrill.api.base import NotFound, no_access_log
from tealrill.api.http_frontend import HttpFrontend, Server
from tealrill.api.peers import CatalogueHandler, LeaseExtensionHandler, PingHandler
from tealrill.api.relay import PEER_PREFIX, JobRequests, Relay
from tealrill.api.users import CancelHandler, HealthHandler, JobHandler, JobsHandler
from tealrill.extensions import Extension
from tealrill.features import Features
from tealrill.fleet.catalogue import CATALOGUE_PATH, CatalogueCache
from tealrill.fleet.cloud import Cloud
from tealrill.leader.leader import Leader
from tealrill.leadership.election import Election
from tealrill.leadership.lease_extension import (
    EXTENSION_GRANT_S,
    EXTENSION_PATH,
    PING_PATH,
    CancellationKnowledge,
    LeaseExtension,
)
from tealrill.leadership.lease_revocation import LeaseRevocation
from tealrill.leadership.renewal_delegation import RenewalDelegate
from tealrill.leadership.transfer import LeadershipTransfer
from tealrill.scheduler import failure_detector
from tealrill.scheduler.estimates import Estimates
from tealrill.settings import Settings, parse_address
from tealrill.state.admission import Admission
from tealrill.state.client import StateClient
from tealrill.state.fencing import Leadership
from tealrill.status import HeartbeatCounts, describe_node
from tealrill.types import JobId, MachineId, Monotonic, monotonic_now

log = logging.getLogger(__name__)

_BODY_MEMORY_SHARE: Final = 0.1
"""Share of the memory quota for buffered request bodies, for heartbeats and others each."""
_IDLE_CHECK_INTERVAL_S: Final = 30.0
_HANDOVER_TIMEOUT_S: Final = 1.0
"""Time limit for finishing work in flight before a handover; a third of the lease's TTL."""
_HANDOVER_POLL_INTERVAL_S: Final = 0.02
_RESIGN_PAUSE_S: Final = 10.0
_MAX_MISSED_HEARTBEATS: Final = 4.0
_REACHABILITY_CHECK_INTERVAL_S: Final = 0.5
_MAX_LOOP_DELAY_S: Final = 1.0
_MIN_CONTACTED_MACHINES: Final = 2


class Controller:
    """One controller process."""

    def __init__(self, settings: Settings, features: Features | None = None) -> None:
        """Assemble the controller; without `features` all extensions are disabled."""
        params = settings.params
        self._settings = settings
        self._features = features or Features()
        self._client = StateClient(settings.services.state, params.state, settings.nodes)
        self._cloud = Cloud(settings.services.cloud, params.cloud.rps, settings.nodes)
        self._estimates = Estimates()
        self._leader_changed = asyncio.Event()
        self.election = Election(
            self._client, settings.host_name, self._leader_changed.set, EXTENSION_GRANT_S
        )
        self.election.has_quorum_reach = self._has_quorum_reach
        self.leader: Leader | None = None
        self._catalogue_cache = CatalogueCache(settings, self._cloud)
        self.admission = Admission(self._client, settings, lambda: self._catalogue_cache.catalogue)
        self.admission.counts = self._task_counts
        self._lease_extension = LeaseExtension(
            settings, self._client, self.election, self.admission.acknowledged
        )
        self.election.no_peer_leads = self._lease_extension.no_peer_leads
        self.election.any_peer_answers = self._lease_extension.any_peer_answers
        self._renewal_delegate = RenewalDelegate(settings, self._client, self.election)
        self._revocation = LeaseRevocation(
            settings,
            self._client,
            self.election,
            lambda: self._renewal_delegate.leader_unreachable_since,
        )
        self._lease_extension.lost_term = lambda: self._revocation.lost_term
        self._lease_extension.cancellation_knowledge = lambda: (
            self.leader.cancellation_knowledge
            if self.leader is not None
            else CancellationKnowledge()
        )
        self._lease_extension.on_cancellations_known = self._on_cancellations_known
        self._lease_extension.on_cancelled = self._on_cancelled_by_peer
        self._lease_extension.is_excluded = self._is_excluded
        self._lease_extension.on_extended_by_exclusion = self._on_lease_extended
        self._last_heartbeat_at: Monotonic | None = None
        self._heartbeat_counts = HeartbeatCounts()
        self._transfer = LeadershipTransfer(settings)
        self._lease_extension.heartbeat_count = lambda: self._transfer.recent_heartbeats(
            monotonic_now()
        )
        self._frontends: list[HttpFrontend] = []
        self.servers: list[Server] = []
        self._relay = Relay(self.admission, settings, lambda: self._client.failing)
        self.extensions = self._enabled_extensions()
        for extension in self.extensions:
            if extension.implicit_jobs is not None:
                self.admission.implicit_jobs = extension.implicit_jobs

    def _enabled_extensions(self) -> list[Extension]:
        """Create the enabled extensions; the modules of disabled ones are not imported."""
        extensions: list[Extension] = []
        if self._features.graphs.on:
            from tealrill.graphs.extension import create_graphs_extension

            extensions.append(
                create_graphs_extension(
                    self._settings,
                    self._features.graphs,
                    self._client,
                    self.admission,
                    self.election,
                    self._relay,
                )
            )
        return extensions

    # -- running --------------------------------------------------------------------------------

    async def run(self, *extra_loops: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Serve until cancelled, with `extra_loops` next to the controller's own loops."""
        self._listen()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.election.run())
            group.create_task(self._lease_extension.run())
            group.create_task(self._renewal_delegate.run())
            group.create_task(self._revocation.run())
            group.create_task(self._run_terms())
            group.create_task(self._catalogue_cache.run())
            group.create_task(self._check_reachability())
            group.create_task(self._close_idle_connections())
            for extension in self.extensions:
                for loop in extension.loops:
                    group.create_task(loop())
            for loop in extra_loops:
                group.create_task(loop())

    def _listen(self) -> None:
        client_routes: list[Any] = [
            *_job_routes("", self._relay),
            (wire.HEALTH_PATH, HealthHandler, {"healthy": lambda: True}),
        ]
        cluster_routes: list[Any] = [
            (r"/admin/state", AdminStateHandler, {"node": self}),
            (EXTENSION_PATH, LeaseExtensionHandler, {"extension": self._lease_extension}),
            (PING_PATH, PingHandler, {"extension": self._lease_extension}),
            (CATALOGUE_PATH, CatalogueHandler, {"known": lambda: self._catalogue_cache.catalogue}),
            *_job_routes(PEER_PREFIX, self.admission),
        ]
        for extension in self.extensions:
            client_routes += extension.user_routes
            cluster_routes += extension.peer_routes
        max_held_bytes = int(_BODY_MEMORY_SHARE * self._settings.params.quota.ram_mb * 1024 * 1024)
        for routes, listen_address, handle_heartbeat in (
            (client_routes, self._settings.client_listen, self.handle_heartbeat),
            (cluster_routes, self._settings.cluster_listen, None),
        ):
            application = web.Application(
                routes, default_handler_class=NotFound, log_function=no_access_log
            )
            frontend = HttpFrontend(application, max_held_bytes, handle_heartbeat)
            self._frontends.append(frontend)
            address = parse_address(listen_address)
            server = Server(frontend)
            server.listen(address.port, address.host)
            self.servers.append(server)
        log.info(
            "controller listening: host=%s address=%s",
            self._settings.host_name,
            self._settings.client_listen,
        )

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(_IDLE_CHECK_INTERVAL_S)
            for frontend in self._frontends:
                await frontend.close_idle(monotonic_now())

    async def _run_terms(self) -> None:
        """Run a `Leader` for each term that this controller is elected for."""
        while True:
            await self._leader_changed.wait()
            self._leader_changed.clear()
            leadership = self.election.leadership
            if leadership is None:
                continue
            self._cloud.set_leading(True)
            leader = Leader(
                self._settings,
                self._client,
                self._cloud,
                self.election,
                leadership,
                self._estimates,
                [
                    extension.create_leader_extension
                    for extension in self.extensions
                    if extension.create_leader_extension is not None
                ],
                self._catalogue_cache.catalogue,
            )
            self.leader = leader
            term_task = asyncio.create_task(leader.run())
            term_task.add_done_callback(lambda _: self._leader_changed.set())
            while self.election.leadership is leadership and not term_task.done():
                await self._leader_changed.wait()
                self._leader_changed.clear()
            self.leader = None
            self._cloud.set_leading(False)
            await self._end_term(term_task)
            self._leader_changed.set()

    async def _end_term(self, term_task: asyncio.Task[None]) -> None:
        term_task.cancel()
        # `await term_task` would raise CancelledError for the task's cancellation as well as for
        # this coroutine's own. With one taken for the other, a controller that is stopped right
        # after its leadership ended would never stop.
        await asyncio.wait({term_task})
        error = None if term_task.cancelled() else term_task.exception()
        if error is not None:
            # The next leader, which may be this controller, restores its state from the records.
            log.error("term aborted by an unhandled error", exc_info=error)
            await self.election.resign("unhandled error in the term", 1.0)

    # -- workers --------------------------------------------------------------------------------

    def handle_heartbeat(
        self, heartbeat: wire.Heartbeat, machine_id: MachineId
    ) -> tuple[int, dict[str, Any]]:
        """Process a worker's heartbeat; return the status and the body of the response.

        The status is 200, which renews the worker's lease, only if this controller leads with a
        valid lease and its knowledge of acknowledged cancellations is recent enough, or if the
        leader has delegated renewals to it. Otherwise it is 421, with the leader's host if that is
        known and reachable, or 503 if the leader rejects the heartbeat.
        """
        now = monotonic_now()
        self._last_heartbeat_at = now
        self._transfer.record_heartbeat(now)
        leadership = self.election.valid_leadership(now)
        if leadership is None or self.leader is None or not self.leader.may_renew_workers(now):
            token = self._renewal_delegate.renewal_token(heartbeat, machine_id, now)
            if token is not None:
                # A delegated renewal: heartbeats of this worker don't reach the leader.
                self._heartbeat_counts.delegated += 1
                return 200, wire.heartbeat_response(token, [])
            known_leader = self.election.known_leader
            host = known_leader.host if known_leader is not None else None
            if host == self._settings.host_name or self._renewal_delegate.leader_unreachable:
                # Name no leader. A worker that is redirected to an unreachable leader loses 4 s of
                # its lease waiting for it; trying the next controller costs 1 s.
                host = None
            self._heartbeat_counts.redirected += 1
            return 421, wire.redirect(host)
        response = self.leader.handle_heartbeat(heartbeat, machine_id, now)
        if response is None:
            self._heartbeat_counts.refused += 1
            return 503, {"error": "not taken"}
        self._heartbeat_counts.renewed += 1
        return 200, wire.heartbeat_response(response.token, response.commands)

    def _has_quorum_reach(self) -> bool:
        """Return True if heartbeats still reach this controller and its zone offers machine types.

        A partition of its zone cuts a leader in a zone without machines off from every machine. A
        leader with machines in its own zone still reaches those.
        """
        last_heartbeat_at = self._last_heartbeat_at
        if (
            last_heartbeat_at is not None
            and monotonic_now() - last_heartbeat_at > self._heartbeat_timeout_s
        ):
            return False
        catalogue = self._catalogue_cache.catalogue
        return catalogue is not None and any(
            self._settings.zone in kind.zones for kind in catalogue.types
        )

    @property
    def _heartbeat_timeout_s(self) -> float:
        return max(4.0, _MAX_MISSED_HEARTBEATS * self._heartbeat_interval_s)

    @property
    def _heartbeat_interval_s(self) -> float:
        return self._settings.params.workers.heartbeat_interval_s

    async def _check_reachability(self) -> None:
        """Resign, so that another member can lead, once no heartbeats reach this leader."""
        while True:
            expected_at = monotonic_now() + _REACHABILITY_CHECK_INTERVAL_S
            await asyncio.sleep(_REACHABILITY_CHECK_INTERVAL_S)
            leader, leadership, last_heartbeat_at = (
                self.leader,
                self.election.leadership,
                self._last_heartbeat_at,
            )
            now = monotonic_now()
            if (
                leader is None
                or leadership is None
                or last_heartbeat_at is None
                or now - expected_at > _MAX_LOOP_DELAY_S
            ):
                # After a pause of this process, heartbeats that arrived meanwhile are still unread.
                continue
            contacted_machines = sum(
                m.last_contact_at is not None and not m.lease_expired
                for m in leader.fleet.machines.values()
            )
            if contacted_machines < _MIN_CONTACTED_MACHINES or not leadership.valid(now):
                continue
            if now - last_heartbeat_at > self._heartbeat_timeout_s:
                await self.election.resign("no heartbeats arrive", _RESIGN_PAUSE_S)
            elif failure_detector.has_lost_all_heartbeats(
                now - last_heartbeat_at, contacted_machines, self._heartbeat_interval_s
            ) and (await self._transfer.peer_receives_heartbeats(contacted_machines)):
                await self.election.resign("heartbeats reach only other members", _RESIGN_PAUSE_S)

    async def hand_over(self, reason: str) -> None:
        """Finish the work in flight, within a time limit, and resign leadership.

        Requests to the cloud are not waited for; they are recorded, and the next leader completes
        them. Because the lease is released, another member can be elected at once instead of after
        the lease has expired. Does nothing if this controller does not lead.
        """
        leader = self.leader
        if leader is None or self.election.leadership is None:
            return
        leader.begin_handover()
        deadline = monotonic_now() + _HANDOVER_TIMEOUT_S
        while leader.busy and monotonic_now() < deadline and self.election.leadership is not None:
            await asyncio.sleep(_HANDOVER_POLL_INTERVAL_S)
        await self.election.resign(reason, _RESIGN_PAUSE_S)

    def _leader_in(self, leadership: Leadership) -> Leader | None:
        """Return this controller's leader if it runs the given term, else None."""
        leader = self.leader
        return leader if leader is not None and leader.runs_term(leadership) else None

    def _is_excluded(self, leadership: Leadership, host: str) -> bool:
        leader = self._leader_in(leadership)
        return leader is not None and leader.exclusions.is_excluded(host)

    def _on_lease_extended(self, leadership: Leadership, until: Monotonic) -> None:
        leader = self._leader_in(leadership)
        if leader is not None:
            leader.exclusions.defer_readmissions_until(until)

    def _on_cancellations_known(self, leadership: Leadership, at: Monotonic) -> None:
        leader = self._leader_in(leadership)
        if leader is not None:
            leader.on_cancellations_known(at)

    def _on_cancelled_by_peer(self, job: str) -> None:
        if self.leader is not None:
            self.leader.lifecycle.on_cancelled(job, "acknowledged by another member")

    # -- status ----------------------------------------------------------------------------------

    def _task_counts(self, job_id: JobId) -> tuple[int, int] | None:
        leader = self.leader
        if leader is None or not leader.fleet.loaded:
            return None
        job = leader.job_store.jobs.get(job_id)
        return (job.done_count, job.bound_count) if job is not None else (0, 0)

    def describe(self) -> dict[str, Any]:
        """Return the state of this controller for operators."""
        return describe_node(
            self._settings.host_name,
            self.election,
            self._renewal_delegate,
            self._heartbeat_counts,
            self._client.interruptions,
            self.leader,
        )


def _job_routes(prefix: str, job_requests: JobRequests) -> list[Any]:
    jobs = prefix + wire.JOBS_PATH
    return [
        (jobs, JobsHandler, {"admission": job_requests}),
        (jobs + r"/([^/]+)", JobHandler, {"admission": job_requests}),
        (jobs + r"/([^/]+)/" + wire.CANCEL_PATH, CancelHandler, {"admission": job_requests}),
    ]
