"""Fault combinations: simulated clusters of real controllers under scripted, overlapping faults.

The invariants are checked on the true state of the simulation.
`test_disabled_guard_violates_invariant` disables the safeguard that a combination is meant to
exercise and requires that the same scenario then violates the invariant.
docs/notes/007-meetings.md lists the combinations; those that have a model of their own are tested
elsewhere.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from tealrill import wire
from tealrill.fleet.commands import Commands
from tealrill.fleet.heartbeats import HeartbeatProcessor
from tealrill.fleet.leases import Leases
from tealrill.fleet.machine import Machine
from tealrill.fleet.provisioning import Provisioner
from tealrill.leader.leader import HeartbeatResponse, Leader
from tealrill.leader.loops import LeaseExpiryLoop
from tealrill.leader.record_loader import RecordLoader
from tealrill.leadership.election import Election
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import Scenario, run_scenario
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.admission import Admission, Reply
from tealrill.state.bindings import Job
from tealrill.state.client import Committed, OutcomeUnknownError
from tealrill.state.fencing import Fence
from tealrill.state.job_store import JobStore
from tealrill.state.records import job_key
from tealrill.state.transaction_batch import TransactionBatch
from tealrill.types import JobId, Monotonic, Revision, monotonic_now
from tests.test_bindings import place_on_contacted_machines

Patch = pytest.MonkeyPatch
Mutation = Callable[[Patch], None]

_LONG_JOBS = ((1, 25.0), (2, 40.0), (3, 15.0))


# -- scenarios ------------------------------------------------------------------------------------


def _kill_leader(cluster: SimulatedCluster, restart_s: float = 3.0) -> None:
    host = cluster.leader()
    if host is not None:
        cluster.kill_controller(host, restart_s)


async def _close_polling(cluster: SimulatedCluster) -> None:
    """All controllers are polled whenever a job's status changes, while jobs end, are cancelled and
    are submitted again, and controllers are refused, partitioned and restarted."""
    (
        cluster.active_faults.close_polling,
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.invalid_requests,
        cluster.state.request_delay_s,
    ) = True, 0.5, True, 0.05
    for number in range(8):
        await asyncio.sleep(3.0)
        await cluster.users.cancel_jobs(2)
        host = cluster.rng.choice(list(cluster.hosts.values()))
        link = frozenset((host.name, "state"))
        if number % 4 == 0:
            cluster.state.refused_sources.add(host.name)
        elif number % 4 == 1:
            cluster.active_faults.cut_links.add(link)
        elif number % 4 == 2:
            cluster.kill_controller(host, 0.3)
        else:
            cluster.state.late_share = 0.7
        await asyncio.sleep(2.5)
        cluster.state.refused_sources.discard(host.name)
        cluster.active_faults.cut_links.discard(link)
        cluster.state.late_share = 0.0
    (
        cluster.active_faults.close_polling,
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.invalid_requests,
        cluster.state.request_delay_s,
    ) = False, 0.0, False, 0.0


async def _lost_responses(cluster: SimulatedCluster) -> None:
    """Half of the state service's responses to executed changes are lost; leaders are killed."""
    cluster.state.lost_reply_share, cluster.active_faults.close_polling = 0.5, True
    for _ in range(4):
        await asyncio.sleep(8.0)
        _kill_leader(cluster, 0.3)
    cluster.state.lost_reply_share = 0.0


async def _late_transactions(cluster: SimulatedCluster) -> None:
    """Half of the transactions are executed seconds later, after newer ones; leaders are killed."""
    cluster.state.late_share = 0.5
    for _ in range(5):
        await asyncio.sleep(6.0)
        _kill_leader(cluster, 0.3)
    cluster.state.late_share = 0.0


async def _teams_at_quota(cluster: SimulatedCluster) -> None:
    """Teams reach their quota; jobs on paused machines are cancelled, then the leader is killed."""
    for _ in range(3):
        await asyncio.sleep(6.0)
        await cluster.users.cancel_jobs(3, pause_s=0.8 * cluster.config.lease_s, within_s=0.1)
        await asyncio.sleep(0.3)
        _kill_leader(cluster)
        await asyncio.sleep(8.0)


async def _leader_changes(cluster: SimulatedCluster) -> None:
    """Jobs are cancelled before, during and after a planned handover and the loss of a leader."""
    for planned in (True, False):
        cluster.spawn(_cancel_repeatedly(cluster))
        await asyncio.sleep(1.0)
        host = cluster.leader()
        if planned and host is not None and host.node is not None:
            cluster.spawn(host.node.hand_over("a test"), host.context)
        else:
            _kill_leader(cluster)
        await asyncio.sleep(cluster.config.cancel_s + 6.0)


async def _cancel_repeatedly(cluster: SimulatedCluster) -> None:
    for _ in range(50):
        await cluster.users.cancel_jobs(1, within_s=0.02)
        await asyncio.sleep(0.1)


async def _fast_boots(cluster: SimulatedCluster) -> None:
    """New machines run tasks before their rental is answered or recorded; leaders are killed."""
    cluster.cloud.fast_boot, cluster.cloud.rental_response_delay_s = True, 2.0
    for number in range(6):
        for machine in cluster.cloud.live_machines()[:3]:
            cluster.cloud.terminate(machine)
        if number < 4:
            cluster.state.late_share = 0.2
            await asyncio.sleep(7.0)
            _kill_leader(cluster, 0.5)
            cluster.state.late_share = 0.0
        else:
            # No leader change here: the next leader would know these machines and hide the error.
            await asyncio.sleep(10.0)
    cluster.cloud.fast_boot, cluster.cloud.rental_response_delay_s = False, 0.0


async def _replayed_heartbeats(cluster: SimulatedCluster) -> None:
    """Old heartbeats are replayed to every controller at each election, and duplicated later."""
    cluster.active_faults.replay_share, cluster.active_faults.duplicate_share = 0.9, 0.9
    for _ in range(6):
        await asyncio.sleep(6.0)
        _kill_leader(cluster, 0.5)
    cluster.active_faults.replay_share = cluster.active_faults.duplicate_share = 0.0


async def _many_small_jobs(cluster: SimulatedCluster) -> None:
    """Four one-task jobs per second, a quarter cancelled; an outage, then the leader is killed."""
    await asyncio.sleep(10.0)
    cluster.state.set_outage(True)
    await asyncio.sleep(8.0)
    cluster.state.set_outage(False)
    await asyncio.sleep(6.0)
    _kill_leader(cluster)
    await asyncio.sleep(10.0)


async def _overload(cluster: SimulatedCluster) -> None:
    """More work than capacity, urgent and standard, over links with a delay of up to 0.5 s."""
    cluster.active_faults.link_delay_s = 0.5
    for _ in range(3):
        await asyncio.sleep(8.0)
        await cluster.users.cancel_jobs(2)
    _kill_leader(cluster)
    await asyncio.sleep(8.0)
    cluster.active_faults.link_delay_s = 0.0


async def _cancellations_at_completion(cluster: SimulatedCluster) -> None:
    """Jobs are cancelled, polled and submitted again at the moment of their completion."""
    (
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.close_polling,
        cluster.active_faults.invalid_requests,
    ) = 1.0, True, True
    cluster.state.request_delay_s = 0.3
    await asyncio.sleep(40.0)
    (
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.close_polling,
        cluster.active_faults.invalid_requests,
    ) = 0.0, False, False
    cluster.state.request_delay_s = 0.0


async def _cancellations_while_refused(cluster: SimulatedCluster) -> None:
    """Jobs are cancelled while only the leader is refused; an outage beyond `cancel_s` follows."""
    await asyncio.sleep(4.0)
    await FaultInjector(cluster).cancel_while_refused()


async def _outbound_partition(cluster: SimulatedCluster) -> None:
    """Half of the machines are partitioned outbound; jobs are cancelled and leaders killed."""
    names = sorted(cluster.workers)[::2]
    cluster.active_faults.outbound_partitioned.update(names)
    await asyncio.sleep(2.0)
    await cluster.users.cancel_jobs(2)
    # The leader must have missed their heartbeats by now, though they answer direct commands.
    await asyncio.sleep(4.0 * cluster.config.heartbeat_interval_s)
    cluster.active_faults.must_stay_idle.update(names)
    for _ in range(5):
        await cluster.users.cancel_jobs(1)
        await asyncio.sleep(4.0)
    for _ in range(2):
        _kill_leader(cluster)
        await asyncio.sleep(5.0)
    cluster.active_faults.must_stay_idle.clear()
    cluster.active_faults.outbound_partitioned.clear()
    terminated = [name for name in names if cluster.cloud.machines[name].terminated]
    if terminated:
        cluster.record_violation(
            "returned", f"{terminated} were terminated after a short outbound partition"
        )


async def _zones_lose_machines(cluster: SimulatedCluster) -> None:
    """Jobs with a zone constraint lose machines; the next leader receives neither the heartbeats of
    the other zone nor the list of machines, so it can't tell where their other tasks run."""
    for number in range(4):
        await asyncio.sleep(5.0)
        for machine in cluster.cloud.live_machines()[number % 2 :: 3]:
            cluster.cloud.terminate(machine)
        cluster.active_faults.zones_partitioned = True
        cloud_links = [frozenset((name, "cloud")) for name in cluster.hosts]
        cluster.active_faults.cut_links.update(cloud_links)
        _kill_leader(cluster, 0.5)
        await asyncio.sleep(6.0)
        cluster.active_faults.zones_partitioned = False
        cluster.active_faults.cut_links.difference_update(cloud_links)


async def _partitioned_zones(cluster: SimulatedCluster) -> None:
    """Zones with workers and controllers are partitioned for longer than the workers' lease."""
    await asyncio.sleep(4.0)
    cluster.active_faults.zones_partitioned = True
    await asyncio.sleep(2.5 * cluster.config.lease_s)
    cluster.active_faults.zones_partitioned = False
    await asyncio.sleep(5.0)
    cluster.active_faults.isolated_zones.add("south")
    await asyncio.sleep(1.5 * cluster.config.lease_s)
    cluster.active_faults.isolated_zones.clear()


async def _no_controller(cluster: SimulatedCluster) -> None:
    """All controllers are down, once for less and once for longer than the workers' lease."""
    for lease_share in (0.5, 1.6):
        await asyncio.sleep(8.0)
        for host in cluster.hosts.values():
            cluster.kill_controller(host, lease_share * cluster.config.lease_s)
        await asyncio.sleep(lease_share * cluster.config.lease_s + 4.0)


async def _short_terms(cluster: SimulatedCluster) -> None:
    """Jobs are cancelled; then every leader is killed before it has loaded the records."""
    await asyncio.sleep(4.0)
    cluster.state.scan_duration_s = 2.0
    _kill_leader(cluster, 0.1)
    await cluster.users.cancel_jobs(6)
    until = cluster.now() + cluster.config.cancel_s + 10.0
    while cluster.now() < until:
        await asyncio.sleep(0.05)
        host = cluster.leader()
        if host is not None:
            await asyncio.sleep(1.5)
            cluster.kill_controller(host, 0.1)
    cluster.state.scan_duration_s = 0.0


async def _isolated_leader(cluster: SimulatedCluster) -> None:
    """The leader is partitioned from the state service and the other controllers only."""
    await asyncio.sleep(4.0)
    host = cluster.leader()
    if host is None:
        return
    links = [frozenset((host.name, other)) for other in ("state", *cluster.hosts)]
    cluster.active_faults.cut_links.update(links)
    await asyncio.sleep(5.0)
    await cluster.users.cancel_jobs(4)
    await asyncio.sleep(cluster.config.cancel_s + 4.0)
    cluster.active_faults.cut_links.difference_update(links)


async def _delayed_commands(cluster: SimulatedCluster) -> None:
    """Commands and responses are delayed for longer than `cancel_s`; jobs are cancelled while one
    of their start commands is in flight."""
    cluster.active_faults.command_delay_s, cluster.active_faults.cancel_in_flight = (
        2.0 * cluster.config.cancel_s,
        True,
    )
    await asyncio.sleep(25.0)
    cluster.active_faults.command_delay_s, cluster.active_faults.cancel_in_flight = 0.0, False
    await asyncio.sleep(2.0 * cluster.config.cancel_s)


async def _paused_machines(cluster: SimulatedCluster) -> None:
    """Jobs are cancelled as their machines are paused, for less and for longer than a lease."""
    config = cluster.config
    for pause_s in (0.9 * config.lease_s, 1.4 * config.lease_s, config.cancel_s + 4.0):
        await asyncio.sleep(5.0)
        await cluster.users.cancel_jobs(4, pause_s)
        await asyncio.sleep(pause_s)


# -- mutations: each disables one safeguard -------------------------------------------------------


def _read_end_before_job(patch: Patch) -> None:
    """The end record is read before the job record, although the job may end in between."""

    async def status(self: Admission, job_id: JobId) -> Reply:
        ended = self._ended_jobs.get(job_id) or await self._read_ended(job_id)
        if ended is not None:
            return self._final_reply(job_id, ended)
        if await self._client.get(job_key(job_id)) is None:
            return Reply(404, {"error": "no such job"})
        return Reply(200, wire.job_status(job_id, wire.JOB_PENDING))

    patch.setattr(Admission, "_status", status)


def _cache_status(patch: Patch) -> None:
    """A status is served from a cache for a quarter of a second."""
    original = Admission._status
    cache: dict[tuple[int, JobId], tuple[Monotonic, Reply]] = {}

    async def status(self: Admission, job_id: JobId) -> Reply:
        at, reply = cache.get((id(self), job_id), (Monotonic(-1e9), None))
        if reply is None or monotonic_now() - at > 0.25:
            reply = await original(self, job_id)
            cache[(id(self), job_id)] = monotonic_now(), reply
        return reply

    patch.setattr(Admission, "_status", status)


def _report_unknown_outcome_as_accepted(patch: Patch) -> None:
    """A submission whose outcome is unknown is reported as accepted."""
    original = Admission._commit_with_retries

    async def commit(self: Admission, *args: Any) -> Any:
        try:
            return await original(self, *args)
        except OutcomeUnknownError:
            return Committed(Revision(1))

    patch.setattr(Admission, "_commit_with_retries", commit)


def _accept_without_guard(patch: Patch) -> None:
    """A submission is accepted without the guard that the job is new."""
    original = Admission._commit_with_retries

    async def commit(self: Admission, guards: list[Any], changes: list[Any]) -> Any:
        return await original(self, [], changes)

    patch.setattr(Admission, "_commit_with_retries", commit)


def _assume_unanswered_transactions_executed(patch: Patch) -> None:
    """A leader takes a transaction without a response for an executed one."""
    original = Fence.commit

    async def commit(self: Fence, *args: Any, **kwargs: Any) -> Any:
        try:
            return await original(self, *args, **kwargs)
        except OutcomeUnknownError:
            return Committed(Revision(1))

    patch.setattr(Fence, "commit", commit)


def _skip_loading_ended_jobs(patch: Patch) -> None:
    """A new leader loads no ended jobs, so it takes their chunks for orphaned ones."""

    async def load_ended(*_: object) -> None:
        return

    patch.setattr(RecordLoader, "_load_ended", load_ended)


def _ignore_inherited_usage(patch: Patch) -> None:
    """Bindings of former leaders don't count against quotas."""
    original = JobStore.load

    def load(self: JobStore, job: Job, *args: Any) -> Any:
        cpus, gpus = dict(self.team_cpus), dict(self.team_gpus)
        result = original(self, job, *args)
        self.team_cpus, self.team_gpus = cpus, gpus
        for binding in result:
            # The end of a binding subtracts its usage, though it was never added.
            self.team_cpus.setdefault(binding.chunk.job.spec.team, 0.0)
            self.team_gpus.setdefault(binding.chunk.job.spec.team, 0.0)
        return result

    patch.setattr(JobStore, "load", load)


def _watch_from_later_revision(patch: Patch) -> None:
    """The watch of jobs starts at a revision after the records were read."""
    original = RecordLoader.load

    async def load(self: RecordLoader) -> CancellationKnowledge:
        knowledge = await original(self)
        await asyncio.sleep(0.3)
        _, revision = await self._client.scan("job/")
        return CancellationKnowledge(revision, knowledge.at)

    patch.setattr(RecordLoader, "load", load)


def _replace_rented_machine(patch: Patch) -> None:
    """A rental's response replaces a machine that has already sent heartbeats and got tasks."""
    original = Provisioner._add_rented_machine

    def add_rented_machine(self: Provisioner, name: str, *args: Any, **kwargs: Any) -> None:
        self._fleet.machines.pop(name, None)  # type: ignore[call-overload]
        original(self, name, *args, **kwargs)

    patch.setattr(Provisioner, "_add_rented_machine", add_rented_machine)


def _accept_old_heartbeats(patch: Patch) -> None:
    """Heartbeats are processed even if a newer one has arrived."""
    patch.setattr(HeartbeatProcessor, "_is_out_of_date", staticmethod(lambda *_: False))


def _accept_old_tokens(patch: Patch) -> None:
    """Task lists of heartbeats that were sent before the term are used."""
    original = HeartbeatProcessor.process

    def process(self: HeartbeatProcessor, report: wire.Heartbeat, *args: Any) -> Any:
        values = {f: getattr(report, f) for f in report.__struct_fields__}
        return original(
            self,
            wire.Heartbeat(**{**values, "token": max(report.token, self._fleet.tokens._term)}),
            *args,
        )

    patch.setattr(HeartbeatProcessor, "process", process)


def _end_without_guards(patch: Patch) -> None:
    """A job's end is written without the guards against a concurrent cancellation."""
    original = TransactionBatch.add_end

    def add_end(self: TransactionBatch, job: Job, *args: Any) -> bool:
        result = original(self, job, *args)
        self.guards.pop(job_key(job.id), None)
        self.guards.pop(f"over/{job.id}", None)
        return result

    patch.setattr(TransactionBatch, "add_end", add_end)


def _ignore_acknowledged_cancellations(patch: Patch) -> None:
    """Lease extension grants don't list the acknowledged cancellations."""
    patch.setattr(AcknowledgedCancellations, "add", lambda *_: None)


def _ignore_delegations(patch: Patch) -> None:
    """Leases expire although another controller may have renewed the worker."""

    async def check(self: LeaseExpiryLoop) -> None:
        self._fleet.leases.expire_leases(monotonic_now())

    patch.setattr(LeaseExpiryLoop, "_check", check)


def _ignore_former_renewals(patch: Patch) -> None:
    """A new leader ignores that a former leader may have renewed a worker's lease."""

    def renewed_at(self: Leases, machine: Machine) -> Monotonic:
        return (
            machine.last_acknowledged_at
            if machine.last_acknowledged_at is not None
            else Monotonic(0.0)
        )

    patch.setattr(Leases, "_renewed_at", renewed_at)


def _renew_before_loading(patch: Patch) -> None:
    """A leader renews workers before it has loaded the records."""
    original = Leader.handle_heartbeat

    def handle_heartbeat(self: Leader, *args: Any) -> Any:
        if not self.fleet.loaded:
            return HeartbeatResponse(self._leadership.term, [])
        return original(self, *args)

    patch.setattr(Leader, "handle_heartbeat", handle_heartbeat)
    patch.setattr(Leader, "may_renew_workers", lambda *_: True)


def _ignore_lease_expiry(patch: Patch) -> None:
    """A leader continues after its lease has expired."""
    patch.setattr(Election, "valid_leadership", lambda self, now: self.leadership)


def _never_let_worker_lease_expire(patch: Patch) -> None:
    """A worker is renewed although a start command of a cancelled job may still reach it."""
    patch.setattr(HeartbeatProcessor, "_must_let_lease_expire", lambda *_: False)


def _send_stops_once(patch: Patch) -> None:
    """Each stop command is sent only once."""
    original = Commands.stops
    sent: set[object] = set()

    def stops(self: Commands, machine: Machine, now: Monotonic) -> Any:
        result = [c for c in original(self, machine, now) if (c["piece"], c["try"]) not in sent]
        sent.update((c["piece"], c["try"]) for c in result)
        return result

    patch.setattr(Commands, "stops", stops)


@dataclass(frozen=True)
class FaultCombination:
    scenario: Scenario
    config: ClusterConfig = field(default_factory=lambda: ClusterConfig(machines=6))
    mutations: tuple[tuple[str, Mutation], ...] = ()
    quiet_s: float = 30.0
    seed: int = 1


_COMBINATIONS: dict[str, FaultCombination] = {
    "close polling": FaultCombination(
        _close_polling,
        ClusterConfig(
            machines=6, arrival_interval_s=1.0, job_kinds=((1, 2.0), (2, 4.0), (1, 30.0))
        ),
        (
            ("forgotten", _read_end_before_job),
            ("went_back", _cache_status),
            ("forgotten", _report_unknown_outcome_as_accepted),
        ),
        10.0,
    ),
    "lost responses": FaultCombination(
        _lost_responses,
        ClusterConfig(machines=6, arrival_interval_s=1.5),
        (("went_back", _accept_without_guard),),
    ),
    "late transactions": FaultCombination(
        _late_transactions,
        ClusterConfig(
            machines=12,
            arrival_interval_s=1.5,
            job_kinds=_LONG_JOBS,
            limit_vcpus=99.0,
            cancelled_share=0.0,
        ),
        (("ran_twice", _assume_unanswered_transactions_executed),),
    ),
    "teams at their quota": FaultCombination(
        _teams_at_quota,
        ClusterConfig(
            machines=8,
            limit_vcpus=16.0,
            arrival_interval_s=1.5,
            job_kinds=_LONG_JOBS,
            cancelled_share=0.1,
        ),
        (("quota", _skip_loading_ended_jobs), ("quota", _ignore_inherited_usage)),
    ),
    "leader changes": FaultCombination(
        _leader_changes,
        ClusterConfig(
            machines=12,
            arrival_interval_s=0.4,
            job_kinds=((1, 90.0),),
            cancelled_share=0.0,
            limit_vcpus=99.0,
        ),
        (("ran_cancelled", _watch_from_later_revision),),
        5.0,
    ),
    "fast machine boots": FaultCombination(
        _fast_boots,
        ClusterConfig(machines=16, arrival_interval_s=1.5),
        (("left", _replace_rented_machine),),
        170.0,
    ),
    "heartbeats replayed to the next leader": FaultCombination(
        _replayed_heartbeats,
        ClusterConfig(machines=10, arrival_interval_s=0.8, limit_vcpus=99.0),
        (("ran_twice", _accept_old_heartbeats), ("ran_twice", _accept_old_tokens)),
    ),
    "hundreds of one-task jobs": FaultCombination(
        _many_small_jobs,
        ClusterConfig(
            machines=8, arrival_interval_s=0.25, job_kinds=((1, 3.0),), cancelled_share=0.25
        ),
        (),
    ),
    "more work than capacity": FaultCombination(
        _overload,
        ClusterConfig(machines=4, arrival_interval_s=0.5, job_kinds=_LONG_JOBS, limit_vcpus=99.0),
        (),
    ),
    "cancelled at completion": FaultCombination(
        _cancellations_at_completion,
        ClusterConfig(machines=6, arrival_interval_s=1.0),
        (("went_back", _end_without_guards),),
    ),
    "cancelled while the leader is refused": FaultCombination(
        _cancellations_while_refused,
        ClusterConfig(
            machines=6, arrival_interval_s=1.5, job_kinds=((2, 90.0),), cancelled_share=0.0
        ),
        (("ran_cancelled", _ignore_acknowledged_cancellations),),
        10.0,
    ),
    "machines partitioned outbound": FaultCombination(
        _outbound_partition,
        ClusterConfig(machines=6, arrival_interval_s=1.5, job_kinds=_LONG_JOBS),
        (("ran_twice", _ignore_former_renewals), ("given_work", place_on_contacted_machines)),
    ),
    "zones lose machines": FaultCombination(
        _zones_lose_machines,
        ClusterConfig(
            machines=9,
            arrival_interval_s=1.5,
            job_kinds=((6, 20.0), (3, 30.0)),
            cancelled_share=0.0,
            zone_rule_share=1.0,
        ),
    ),
    "partitioned zones": FaultCombination(
        _partitioned_zones,
        ClusterConfig(machines=6, arrival_interval_s=1.5, job_kinds=_LONG_JOBS),
        (("ran_twice", _ignore_delegations),),
    ),
    "no controller": FaultCombination(
        _no_controller,
        ClusterConfig(machines=6, arrival_interval_s=1.5),
        (("ran_twice", _ignore_former_renewals),),
    ),
    "short terms": FaultCombination(
        _short_terms,
        ClusterConfig(
            machines=6, arrival_interval_s=1.5, job_kinds=((2, 90.0),), cancelled_share=0.0
        ),
        (("ran_cancelled", _renew_before_loading),),
        10.0,
    ),
    "isolated leader": FaultCombination(
        _isolated_leader,
        # Enough capacity for the next leader to start again what the former one still runs.
        ClusterConfig(
            machines=18, arrival_interval_s=1.0, job_kinds=((2, 90.0),), cancelled_share=0.0
        ),
        (("ran_twice", _ignore_lease_expiry),),
        10.0,
    ),
    "delayed commands": FaultCombination(
        _delayed_commands,
        ClusterConfig(
            machines=8,
            arrival_interval_s=0.7,
            job_kinds=((1, 20.0),),
            cancelled_share=0.0,
            limit_vcpus=99.0,
        ),
        (),
        5.0,
    ),
    "delayed commands to machines where no task ends": FaultCombination(
        _delayed_commands,
        # Nothing is forgotten there, so that their tokens stay and delayed starts are executed.
        ClusterConfig(
            machines=24,
            arrival_interval_s=0.7,
            job_kinds=((1, 200.0),),
            cancelled_share=0.0,
            limit_vcpus=99.0,
        ),
        (("ran_cancelled", _never_let_worker_lease_expire),),
        5.0,
    ),
    "paused machines": FaultCombination(
        _paused_machines,
        ClusterConfig(
            machines=6, arrival_interval_s=1.5, job_kinds=((2, 90.0),), cancelled_share=0.0
        ),
        (("ran_cancelled", _send_stops_once),),
        10.0,
    ),
}


def _run(combination: FaultCombination, seed: int, until: str = "") -> SimulatedCluster:
    return run_scenario(
        seed, combination.config, 60.0, combination.scenario, combination.quiet_s, until
    )


@functools.cache
def _run_unmodified(name: str) -> SimulatedCluster:
    """Return the finished simulation of a combination with all safeguards enabled."""
    return _run(_COMBINATIONS[name], _COMBINATIONS[name].seed)


@pytest.mark.parametrize("name", _COMBINATIONS)
def test_no_invariant_is_violated(name: str) -> None:
    cluster = _run_unmodified(name)
    assert not cluster.violations, [*cluster.events, *cluster.violations]
    assert cluster.task_starts > 5


@pytest.mark.parametrize(
    ("name", "invariant", "mutation"),
    [
        (name, invariant, mutation)
        for name, m in _COMBINATIONS.items()
        for invariant, mutation in m.mutations
    ],
)
def test_disabled_guard_violates_invariant(
    name: str, invariant: str, mutation: Mutation, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    violated: set[str] = set()
    for seed in range(1, 7):
        violated |= _run(_COMBINATIONS[name], seed, invariant).violated_invariants
        if invariant in violated:
            return
    raise AssertionError(f"invariant {invariant} not violated; violated: {violated}")


def test_one_task_job_needs_at_most_five_changes_under_load() -> None:
    """A job needs changes to accept it, bind it, end it (two records) and delete its chunk.

    A cancelled job needs no more.
    """
    cluster = _run_unmodified("hundreds of one-task jobs")
    assert not cluster.violations and len(cluster.jobs) > 200
    assert len(cluster.state.log) <= 5 * len(cluster.jobs) + 150
    open_ = [job for job in cluster.jobs.values() if job.accepted and not job.has_ended]
    assert len(open_) < 0.05 * len(cluster.jobs)
