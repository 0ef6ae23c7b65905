"""Cancelled tasks end within `cancel_s` of the acknowledgement, whichever faults coincide.

The model runs the sequence of steps of docs/design.md ("Cancellations") with the real leader, lease
extensions and acknowledged cancellations of three hosts; the worker and the state service follow
the protocol. The state service refuses one host or all, the leader's watch stalls, leaders are
killed, also before they have loaded the records, and responses don't reach the worker. No task may
be on its machine longer than `cancel_s` after a user was told that its job is cancelled.
`test_disabled_renewal_condition_delays_stop` disables the conditions for renewing a worker one by
one; `tests/test_acknowledged_cancellations.py` tests the conditions for lease extension grants.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.features import GraphFeatures
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.inventory import Fleet
from tealrill.graphs.admission import GraphAdmission
from tealrill.http import Answer as HttpAnswer
from tealrill.http import NoAnswerError
from tealrill.leader import direct_commands, job_watch
from tealrill.leader.leader import Leader
from tealrill.leadership.election import LEASE_TTL_S, Election
from tealrill.leadership.lease_extension import (
    EXTENSION_GRANT_S,
    CancellationKnowledge,
    ExtensionAnswer,
    ExtensionRequest,
    LeaseExtension,
)
from tealrill.leadership.open_jobs import renewal_staleness_bound_s
from tealrill.scheduler.estimates import Estimates
from tealrill.state import client as client_module
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.admission import Admission
from tealrill.state.bindings import Binding, Job
from tealrill.state.client import (
    OutcomeUnknownError,
    StateClient,
    StateError,
    StateUnavailableError,
)
from tealrill.state.fencing import Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.rate_limiter import RateLimiter, RequestPriority
from tealrill.state.records import (
    JOB_PREFIX,
    OUTCOME_FAILED,
    RUN_PREFIX,
    chunk_key,
    ended_key,
    job_key,
)
from tealrill.types import (
    FencingToken,
    JobId,
    LeaseId,
    MachineId,
    Monotonic,
    Revision,
    Wall,
)
from tests.samples import SETTINGS, make_chunk_with_bound_task, make_heartbeat, spec
from tests.test_bindings import Worker

_HOSTS = 3
_JOBS = tuple(JobId(f"wk-{n:06d}") for n in range(4))
_MACHINE = MachineId("m-1")


def _settings(lease_s: float = 8.0, cancel_s: float = 20.0) -> settings.Settings:
    workers = {"report_s": 1.0, "lease_s": lease_s, "cancel_s": cancel_s}
    values = {**SETTINGS, "params": {**SETTINGS["params"], "workers": workers}}
    return settings.parse(orjson.dumps(values))


def _leader(parsed: settings.Settings, term: int, now: Monotonic) -> Leader:
    leadership = Leadership(
        FencingToken(term), Revision(term), LeaseId(term), now, Monotonic(now + LEASE_TTL_S - 0.2)
    )
    client = cast(StateClient, _Client(None, 0))
    leader = Leader(
        parsed, client, cast(Cloud, None), cast(Election, None), leadership, Estimates()
    )
    leader.scheduling_loop.placement._send_commands_now = lambda _: None
    return leader


class _Client:
    """The state service as one host sees it; it fails while it doesn't serve that host."""

    def __init__(self, model: _Model | None, host: int) -> None:
        self.model, self.host = model, host

    async def get(self, key: str) -> None:
        if self.model is None or not self.model.serves(self.host):
            raise StateUnavailableError("status 503")


class _Host:
    """A controller process; a restart loses its knowledge of cancellations."""

    leadership: Leadership | None = None

    def __init__(self, model: _Model, number: int, known_since: Revision | None) -> None:
        self.model, self.number, self.known_since = model, number, known_since
        self.no_campaign_before = Monotonic(model.now + EXTENSION_GRANT_S)
        self.acknowledged = AcknowledgedCancellations(lambda: self.known_since)
        client = cast(StateClient, _Client(model, number))
        self.extension = LeaseExtension(
            model.settings, client, self, self.acknowledged, lambda: model.now
        )
        self.extension._peers = {str(n): cast(Any, n) for n in range(_HOSTS) if n != number}
        self.extension._ask = self._ask  # type: ignore[method-assign,assignment]
        self.extension.cancellation_knowledge = lambda: (
            model.leader.cancellation_knowledge
            if model.leader is not None
            else CancellationKnowledge()
        )
        self.extension.on_cancelled = lambda job: model.notify_leader(job)
        self.extension.on_cancellations_known = lambda _, at: model.on_cancellations_known(at)

    async def _ask(self, number: Any, request: ExtensionRequest) -> ExtensionAnswer:
        answer: ExtensionAnswer = await self.model.hosts[number].extension.handle_request(request)
        return answer

    def grant_extension(self, term: FencingToken, until: Monotonic) -> str:
        self.no_campaign_before = Monotonic(max(self.no_campaign_before, until))
        return ""


class _Model:
    """A model of the hosts, the worker and the state service; time advances in discrete steps."""

    def __init__(
        self, seed: int, disabled_condition: str = "", lease_s: float = 8.0, cancel_s: float = 20.0
    ):
        self.rng = random.Random(seed)
        self.disabled_condition = disabled_condition
        self.settings = _settings(lease_s, cancel_s)
        self.lease_s, self.cancel_s = lease_s, cancel_s
        self.now = Monotonic(100.0)
        self.revision = 10
        self.in_outage = False
        self.refused: set[int] = set()
        self.watch_stalled = False
        self.inbound_partitioned = False
        self.cancelled_revisions: dict[str, int] = {}
        self.acknowledged_at: dict[str, Monotonic] = {}
        self.cancellations_learned = 0
        self.hosts = [_Host(self, n, Revision(10)) for n in range(_HOSTS)]
        for host in self.hosts:
            host.no_campaign_before = self.now
        self.worker = Worker(_MACHINE, renewed_at=self.now)
        self.worker.heartbeat_count = 1
        self.records: dict[str, Any] = {}
        self.term = 0
        self.leader_host: int | None = None
        self.leader: Leader | None = None
        self.leader_key_expires_at = self.now
        self._elect(0)
        self._load()
        self._bind()

    def serves(self, host: int) -> bool:
        return not self.in_outage and host not in self.refused

    # -- the leader's term ------------------------------------------------------------------------

    def _elect(self, host: int) -> None:
        self.term += 1
        self.leader_host = host
        self.leader = _leader(self.settings, self.term, self.now)
        self.leader.fleet.leases.expiry_s = (
            1e9  # Leases never expire for the leader: rebinding is not modelled.
        )
        self.leader_key_expires_at = Monotonic(self.now + LEASE_TTL_S)
        self.records_loaded_at = Monotonic(self.now + self.rng.choice([0.2, 0.2, 2.0, 6.0]))

    def _load(self) -> None:
        leader = self.leader
        assert leader is not None
        bindings: list[Binding] = []
        for job_id in self.records or _JOBS:
            job = leader.job_store.add(spec(id=job_id, pieces=1), Wall(0.0), Revision(1))
            if job_id in self.records:
                bindings += leader.job_store.load(job, 0, self.records[job_id], Revision(2))
        leader.fleet.inherit(bindings, self.now)
        leader.job_watch.cancellation_knowledge = CancellationKnowledge(
            Revision(self.revision), self.now
        )
        for name in self.cancelled_revisions:
            job = leader.job_store.jobs[JobId(name)]
            leader.job_store.cancel(job)
            leader.scheduling_loop.placement.cancel(job, self.now)

    def _bind(self) -> None:
        leader = self.leader
        assert leader is not None
        self.send_heartbeat()
        self.send_heartbeat()
        machine = leader.fleet.machines[_MACHINE]
        for job_id in _JOBS:
            job = leader.job_store.jobs[job_id]
            assert leader.fleet.bind(job, machine, False, Wall(0.0), self.now) is not None
            (chunk,) = job.chunks.values()
            self.records[job_id] = leader.job_store.value(chunk)
            chunk.committed = chunk.version
        self.send_heartbeat()
        assert len(self.worker.tasks) == len(_JOBS)

    def notify_leader(self, name: str) -> None:
        if self.leader is not None and self.leader.fleet.loaded:
            job = self.leader.job_store.jobs.get(JobId(name))
            if job is not None and not job.cancelled:
                self.cancellations_learned += 1
            self.leader.lifecycle.on_cancelled(name, "test")

    def on_cancellations_known(self, at: Monotonic) -> None:
        assert self.leader is not None
        self.leader.on_cancellations_known(at)

    def _leading(self) -> Leader | None:
        leader = self.leader
        return leader if leader is not None and leader._leadership.valid(self.now) else None

    def run_leader(self) -> None:
        """One step of the leader's loops: lease renewal, record loading and the job watch."""
        leader = self.leader
        if leader is None or self.leader_host is None:
            return
        leadership = leader._leadership
        if self.serves(self.leader_host):
            if self.now >= self.leader_key_expires_at:
                self.leader = self.leader_host = None
                return
            leadership.renewal_failed = False
            leadership.valid_until = Monotonic(
                max(leadership.valid_until, self.now + LEASE_TTL_S - 0.2)
            )
            self.leader_key_expires_at = Monotonic(self.now + LEASE_TTL_S)
            if not leader.fleet.loaded:
                if self.now >= self.records_loaded_at:
                    self._load()
            elif not self.watch_stalled:
                for name in self.cancelled_revisions:
                    self.notify_leader(name)
                leader.job_watch.cancellation_knowledge = CancellationKnowledge(
                    Revision(self.revision), self.now
                )
        else:
            leadership.renewal_failed = True
            asyncio.run(self.hosts[self.leader_host].extension._request_grants(leadership))

    def elect_if_due(self) -> None:
        if self.in_outage or self.now < self.leader_key_expires_at:
            return
        for host in self.rng.sample(range(_HOSTS), _HOSTS):
            if self.serves(host) and self.now >= self.hosts[host].no_campaign_before:
                return self._elect(host)

    # -- the worker -------------------------------------------------------------------------------

    def send_heartbeat(self) -> None:
        worker = self.worker
        worker.expire_lease(self.now)
        leader = self._leading()
        if leader is None:
            return
        if not self._may_renew(leader):
            return
        message = worker.report()
        commands = leader.fleet.heartbeats.process(message, _MACHINE, self.now, Wall(0.0))
        if not leader.fleet.loaded:
            commands = []
        if commands is None or self.inbound_partitioned:
            return
        worker.token = leader._leadership.term
        worker.renewed_at = self.now
        worker.execute(commands)

    def _may_renew(self, leader: Leader) -> bool:
        if self.disabled_condition == "records loaded" and not leader.fleet.loaded:
            return True
        if self.disabled_condition == "recent knowledge" and leader.fleet.loaded:
            return True
        return leader.may_renew_workers(self.now)

    # -- faults and user requests -----------------------------------------------------------------

    def run(self, steps: int) -> None:
        actions = [
            self.refuse_leader, self.begin_outage, self.end_faults, self.end_faults,
            self.restart_member, self.kill_leader, self.kill_leader, self.stall_watch,
            self.partition_worker_inbound, self.cancel_job, self.cancel_job, self.acknowledge_late,
        ]  # fmt: skip
        for _ in range(steps):
            self.rng.choice(actions)()
            for _ in range(self.rng.choice([1, 2, 4, 8])):
                self.run_leader()
                self.elect_if_due()
                self.send_heartbeat()
                self.now = Monotonic(self.now + self.rng.choice([0.1, 0.5, 0.7]))
                self.check_deadlines()

    def refuse_leader(self) -> None:
        if self.leader_host is not None:
            self.refused = {self.leader_host}

    def begin_outage(self) -> None:
        self.in_outage = True

    def end_faults(self) -> None:
        if self.in_outage:
            # The end of an outage renews every lease for its full time to live.
            self.leader_key_expires_at = Monotonic(
                max(self.leader_key_expires_at, self.now + LEASE_TTL_S)
            )
        self.in_outage, self.refused, self.watch_stalled, self.inbound_partitioned = (
            False,
            set(),
            False,
            False,
        )
        for host in self.hosts:
            if host.known_since is None:
                host.known_since = Revision(self.revision)

    def restart_member(self) -> None:
        number = self.rng.randrange(_HOSTS)
        if number != self.leader_host:
            self.hosts[number] = _Host(self, number, None)

    def kill_leader(self) -> None:
        """Kill the leader's process; its key remains until its lease expires."""
        if self.leader_host is not None:
            self.hosts[self.leader_host] = _Host(self, self.leader_host, None)
            self.leader = self.leader_host = None

    def stall_watch(self) -> None:
        self.watch_stalled = True

    def partition_worker_inbound(self) -> None:
        self.inbound_partitioned = self.rng.random() < 0.3

    def cancel_job(self) -> None:
        serving = [n for n in range(_HOSTS) if self.serves(n)]
        uncancelled = [name for name in _JOBS if name not in self.cancelled_revisions]
        if serving and uncancelled:
            self.revision += 1
            self.cancelled_revisions[uncancelled[0]] = self.revision
            if self.rng.random() < 0.8:
                self._acknowledge(uncancelled[0], self.rng.choice(serving))
            if self.rng.random() < 0.3:
                self.in_outage = True

    def acknowledge_late(self) -> None:
        serving = [n for n in range(_HOSTS) if self.serves(n)]
        unacknowledged = [
            name for name in self.cancelled_revisions if name not in self.acknowledged_at
        ]
        if serving and unacknowledged:
            self._acknowledge(unacknowledged[0], self.rng.choice(serving))

    def _acknowledge(self, name: str, host: int) -> None:
        self.hosts[host].acknowledged.add(name, Revision(self.cancelled_revisions[name]))
        self.acknowledged_at[name] = self.now

    def check_deadlines(self) -> None:
        self.worker.expire_lease(self.now)
        for name, acknowledged_at in self.acknowledged_at.items():
            task = self.worker.tasks.get(f"{name}/0")
            running = task is not None and task[1] != "ended"
            assert not running or self.now <= acknowledged_at + self.cancel_s, f"{name} still runs"


@given(st.integers(0, 2**32), st.sampled_from([(8.0, 20.0), (15.25, 35.25), (10.0, 30.0)]))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_acknowledged_cancellation_ends_tasks_within_cancel_s(
    seed: int, workers: tuple[float, float]
) -> None:
    _Model(seed, "", *workers).run(40)


@pytest.mark.parametrize("condition", ["records loaded", "recent knowledge"])
def test_disabled_renewal_condition_delays_stop(condition: str) -> None:
    with pytest.raises(AssertionError, match="still runs"):
        for seed in range(4000):
            _Model(seed, condition).run(40)


@pytest.mark.parametrize("refused_s", [0.7, 2.5])
@pytest.mark.parametrize("outage_s", [40.0, 180.0])
def test_refused_leader_stops_cancelled_task_and_keeps_others(
    refused_s: float, outage_s: float
) -> None:
    """A refused leader learns of the cancellation from another member.

    It must then stop the cancelled task, and renew the worker for the other jobs throughout.
    """
    model = _Model(0)
    model.refuse_leader()

    def run_for(seconds: float) -> None:
        until = model.now + seconds
        while model.now < until:
            model.run_leader()
            model.send_heartbeat()
            model.check_deadlines()
            model.now = Monotonic(model.now + 0.1)

    run_for(refused_s / 2)
    model.revision += 1
    model.cancelled_revisions[_JOBS[0]] = model.revision
    model._acknowledge(_JOBS[0], 1)
    run_for(refused_s / 2)
    model.begin_outage()
    run_for(outage_s)
    states = {name: state for name, (_, state, _) in model.worker.tasks.items()}
    assert states.pop(f"{_JOBS[0]}/0", "ended") == "ended"
    # The tasks of the other jobs ran throughout.
    assert list(states.values()) == ["running"] * (len(_JOBS) - 1)
    assert model.worker.incarnation == 1 and model.cancellations_learned == 1


def test_renewal_staleness_bound_has_minimum_for_short_cancel_s() -> None:
    assert renewal_staleness_bound_s(_settings(8.0, 9.0).params.workers) == 6.0
    assert renewal_staleness_bound_s(_settings(8.0, 20.0).params.workers) == 7.0


# -- ended jobs, and start commands in flight -----------------------------------------------------


def _leader_with_bound_task(cancel_s: float = 20.0) -> tuple[Leader, Fleet, Job, Binding]:
    """Return a leader with a job of one task, whose direct start has got no response."""
    leader = _leader(_settings(8.0, cancel_s), 1, Monotonic(100.0))
    fleet = leader.fleet
    fleet.inherit([], Monotonic(100.0))
    leader.job_watch.cancellation_knowledge = CancellationKnowledge(Revision(5), Monotonic(100.0))
    job = leader.job_store.add(spec(pieces=1), Wall(0.0), Revision(1))
    for sequence in (1, 2):
        fleet.heartbeats.process(
            make_heartbeat(_MACHINE, 1, sequence, 1), _MACHINE, Monotonic(100.0), Wall(0.0)
        )
    machine = fleet.machines[_MACHINE]
    binding = fleet.bind(job, machine, False, Wall(0.0), Monotonic(100.0))
    assert binding is not None
    binding.chunk.committed = binding.version
    fleet.commands.direct_sent([binding])
    return leader, fleet, job, binding


def _process_heartbeat(
    fleet: Fleet, sequence: int, at: float, *tasks: Any, incarnation: int = 1
) -> Any:
    message = make_heartbeat(_MACHINE, incarnation, sequence, 1, list(tasks))
    return fleet.heartbeats.process(message, _MACHINE, Monotonic(at), Wall(0.0))


def test_stopped_task_with_unanswered_start_is_started_and_stopped() -> None:
    # A task whose start was neither listed nor answered stayed bound although it was to be stopped.
    _, fleet, job, binding = _leader_with_bound_task()
    fleet.commands.stop(binding, "preemption", 0.0, Monotonic(101.0))
    commands = _process_heartbeat(fleet, 3, 101.5)
    # A stop has no effect before the start: the task is started, and stopped once it is listed.
    assert commands == [
        wire.stop_command("wk-000412/0", 1, 0.0),
        wire.start_command("wk-000412/0", 1),
    ]
    assert _process_heartbeat(fleet, 4, 102.5, ("wk-000412/0", 1, "running", None)) == [
        wire.stop_command("wk-000412/0", 1, 0.0)
    ]
    _process_heartbeat(fleet, 5, 103.5, ("wk-000412/0", 1, "ended", "stopped"))
    assert binding not in list(job.bindings())


def test_worker_with_unanswered_start_of_cancelled_job_is_not_renewed() -> None:
    # The start may arrive at any time and then run: only a new incarnation rules that out, so the
    # worker's lease must expire.
    leader, fleet, job, _ = _leader_with_bound_task()
    leader.lifecycle.on_cancelled("wk-000412", "test")
    stop = next(iter(job.bindings())).stop
    assert stop is not None
    timeout_s = fleet.stop_timeout_s
    assert timeout_s + 8.0 < 20.0
    stops = [wire.stop_command("wk-000412/0", 1, 0.0)]
    assert _process_heartbeat(fleet, 3, stop.since + timeout_s - 0.1) == stops
    assert _process_heartbeat(fleet, 4, stop.since + timeout_s + 0.1) is None
    assert _process_heartbeat(fleet, 5, stop.since + timeout_s + 0.2, incarnation=2) is not None
    assert not list(job.bindings())


class _TakeoverState:
    """The state service of a takeover: one task is bound, and a chunk of an ended job is left."""

    def __init__(self, on_get: Callable[[], None]) -> None:
        self._on_get = on_get
        """Called while the leader loads the records."""

    async def scan(self, prefix: str) -> tuple[list[wire.Entry], Revision]:
        chunk = make_chunk_with_bound_task(_MACHINE)
        jobs = [
            (job_key(JobId("wk-000412")), {"spec": wire.to_builtins(spec(pieces=1)), "at": 0.0})
        ]
        chunks = [(chunk_key(JobId(name), 0), chunk) for name in ("wk-000412", "wk-000001")]
        found = {JOB_PREFIX: jobs, RUN_PREFIX: chunks}.get(prefix, [])
        return [wire.Entry(key=key, value=value, version=3) for key, value in found], Revision(5)

    async def get(self, key: str) -> wire.KeyValue | None:
        self._on_get()
        return wire.KeyValue(value={"status": wire.JOB_DONE, "tasks": 1}, version=4)


def test_cancellation_during_record_loading_keeps_binding() -> None:
    """A member reports a cancellation after the new leader has read the jobs, before the bindings.

    The job then has no bindings yet. If the leader dropped it, it would take the job's chunk for an
    orphaned one and delete it: the task would neither be stopped nor count against its quota.
    """
    leader = _leader(_settings(), 1, Monotonic(100.0))
    leader.record_loader._client = cast(
        Any, _TakeoverState(lambda: leader.lifecycle.on_cancelled("wk-000412", "test"))
    )
    asyncio.run(leader.record_loader.load())
    job = leader.job_store.jobs[JobId("wk-000412")]
    (binding,) = job.bindings()
    assert job.cancelled and binding.stop is not None
    assert list(leader.job_store.orphaned_chunks) == [chunk_key(JobId("wk-000001"), 0)]


def test_cancelling_failed_job_stops_its_tasks_before_its_end_is_committed() -> None:
    # Its end can't be committed during an outage, but its other task must not run until then.
    leader, fleet, job, binding = _leader_with_bound_task()
    fleet.commands.direct_executed([binding])
    leader.job_store.abort_job(job, OUTCOME_FAILED)
    leader.lifecycle.on_cancelled("wk-000412", "test")
    assert binding.stop is not None and binding.stop.reason == "cancelled"
    assert job.outcome == OUTCOME_FAILED and job.id in leader.job_store.ending_jobs


def test_next_leader_inherits_binding_of_done_job() -> None:
    """One machine has reported the task done while it is still bound to another one."""
    leader, _, job, binding = _leader_with_bound_task()
    leader.job_store.complete(job, 0, Monotonic(101.0))
    assert job.id in leader.job_store.ending_jobs and list(job.bindings()) == [binding]
    leader.write_batcher._client = cast(Any, SimpleNamespace(writes=RateLimiter(1000.0)))
    batch = leader.write_batcher._gather(Monotonic(101.0))
    (end_record,) = [c for c in batch.changes if c.get("set") == ended_key(job.id)]
    assert end_record["value"]["status"] == wire.JOB_DONE
    chunk = wire.Entry(
        key=binding.chunk.key, value=leader.job_store.value(binding.chunk), version=3
    )

    class Client:
        async def scan(self, prefix: str) -> tuple[list[wire.Entry], Revision]:
            return [chunk] if prefix == RUN_PREFIX else [], Revision(9)

        async def get(self, key: str) -> wire.KeyValue | None:
            return (
                wire.KeyValue(value=end_record["value"], version=4)
                if key == end_record["set"]
                else None
            )

    next_leader = _leader(_settings(), 2, Monotonic(110.0))
    next_leader.record_loader._client = cast(StateClient, Client())
    asyncio.run(next_leader.record_loader.load())
    (inherited,) = next_leader.job_store.jobs[job.id].bindings()
    assert inherited.machine == _MACHINE and inherited.stop is not None
    assert not next_leader.job_store.orphaned_chunks


# -- inbound partitions: machines that responses and commands don't reach --------------------------


def _fleet_after(*heartbeats: tuple[int, int, float]) -> Fleet:
    """Process a machine's heartbeats, each given as incarnation, sequence number and time."""
    fleet = Fleet(JobStore(8.0), FencingToken(1), Monotonic(0.0), 8.0)
    fleet.inherit([], Monotonic(0.0))
    for incarnation, sequence, at in heartbeats:
        _process_heartbeat(fleet, sequence, at, incarnation=incarnation)
    return fleet


def test_machine_whose_lease_expires_despite_responses_gets_no_tasks() -> None:
    # Otherwise it would get tasks in each new incarnation and lose them a lease later.
    machine = _fleet_after((1, 1, 0.0), (1, 4, 5.0), (2, 7, 10.0)).machines[_MACHINE]
    assert machine.inbound_partitioned and not machine.is_placeable(Monotonic(10.0), 5.0)
    # Two sequence numbers are missing: it has sent heartbeats to other controllers meanwhile.
    fleet = _fleet_after((1, 1, 0.0), (1, 4, 5.0), (2, 7, 10.0), (2, 10, 25.0))
    assert fleet.machines[_MACHINE].inbound_partitioned
    # The next heartbeat follows within the response time-out, so the last response has arrived.
    _process_heartbeat(fleet, 11, 27.0, incarnation=2)
    assert fleet.machines[_MACHINE].is_placeable(Monotonic(27.0), 5.0)


def test_paused_machine_is_not_inbound_partitioned() -> None:
    fleet = _fleet_after((1, 1, 0.0), (1, 2, 1.0), (2, 3, 20.0))
    assert not fleet.machines[_MACHINE].inbound_partitioned


def test_inbound_partitioned_machine_is_placeable_after_two_consecutive_heartbeats() -> None:
    fleet = _fleet_after((1, 1, 0.0), (1, 2, 1.0))
    machine = fleet.machines[_MACHINE]
    machine.mark_inbound_partitioned(True)
    assert not machine.is_placeable(Monotonic(1.5), 5.0)
    _process_heartbeat(fleet, 4, 2.0)
    assert machine.inbound_partitioned, "the heartbeat between them went to another controller"
    _process_heartbeat(fleet, 5, 7.0)
    assert machine.inbound_partitioned, "it may have timed out waiting for the response"
    _process_heartbeat(fleet, 6, 8.0)
    assert machine.is_placeable(Monotonic(8.0), 5.0)


@pytest.mark.parametrize(("elapsed_s", "inbound_partitioned"), [(2.0, True), (3.0, False)])
def test_delayed_controller_does_not_mark_machine_inbound_partitioned(
    elapsed_s: float, inbound_partitioned: bool
) -> None:
    leader, fleet, _, binding = _leader_with_bound_task()
    machine = fleet.machines[_MACHINE]
    at = [0.0]

    class ConnectionPool:
        async def request(self, *_: object) -> HttpAnswer:
            at[0] += elapsed_s
            raise NoAnswerError("TimeoutError", True, timed_out=True)

    leader.direct_commands._connections = cast(Any, ConnectionPool())
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(direct_commands, "monotonic_now", lambda: at[0])
        assert not asyncio.run(
            leader.direct_commands._request(machine, FencingToken(1), b"", [binding])
        )
    assert machine.inbound_partitioned is inbound_partitioned


# -- delegations ----------------------------------------------------------------------------------


def test_overdue_stop_is_detected_in_time_to_end_delegations() -> None:
    """From the acknowledgement on: stop time-out, end of the delegation, lease of the worker."""
    leader, fleet, _, binding = _leader_with_bound_task(cancel_s=24.0)
    fleet.commands.direct_executed([binding])
    leader.lifecycle.on_cancelled("wk-000412", "test")
    stop = binding.stop
    assert stop is not None
    machine = fleet.machines[_MACHINE]
    machine.last_contact_at = machine.last_acknowledged_at = stop.since
    at = stop.since
    while not fleet.heartbeats.has_overdue_stop(at):
        at = Monotonic(at + 0.5)
    assert fleet.leases.expired_machines(at) == [] or at - stop.since <= fleet.stop_timeout_s + 0.5
    # Watch interval, stop time-out, a delegation confirmed at the last moment, and the lease.
    assert 3.0 + (at - stop.since) + 2.5 + 8.0 < 24.0
    # A machine that sends heartbeats has received the stop in their responses.
    machine.last_contact_at = at
    assert not fleet.heartbeats.has_overdue_stop(at)


# -- acknowledgements to users --------------------------------------------------------------------


class _StoredRecords:
    """The part of the state service that responses to users need."""

    first_seen = Revision(1)
    unavailable = False

    def __init__(self, **keys: tuple[Any, int]) -> None:
        self.keys = {key.replace("__", "/").replace("_", "-"): entry for key, entry in keys.items()}

    async def get(
        self, key: str, rank: RequestPriority = RequestPriority.HIGH
    ) -> wire.KeyValue | None:
        entry = self.keys.get(key)
        return None if entry is None else wire.KeyValue(value=entry[0], version=entry[1])

    async def scan(
        self, prefix: str, rank: RequestPriority = RequestPriority.HIGH
    ) -> tuple[list[wire.Entry], Revision]:
        return [], Revision(1)


_GRAPH_END = {"v": 1, "status": "aborted", "at": 1.0, "digest": "d", "nodes": 2, "counts": {}}
_NODE = {"spec": wire.to_builtins(spec(id="lab1-0")), "at": 1.0, "owner": "lab1"}


def _admission(records: _StoredRecords) -> Admission:
    return Admission(cast(StateClient, records), _settings(), lambda: None)


def test_status_of_node_acknowledges_end_of_its_graph() -> None:
    # The controller that cancelled the graph may have failed, or its transaction was executed late.
    # Then no other member would report the cancellation to a leader that continues in an outage.
    admission = _admission(_StoredRecords(job__lab1_0=(_NODE, 7), over__lab1=(_GRAPH_END, 44)))
    reply = asyncio.run(admission.status("lab1-0"))
    assert (reply.status, reply.body["status"]) == (200, wire.JOB_CANCELLED)
    assert admission.acknowledged.since(Revision(43)) == ["lab1"]
    # While only one of the two records is visible, the response is not final.
    unclear = _admission(_StoredRecords(job__lab1_0=(_NODE, 7)))
    assert asyncio.run(unclear.status("lab1-0")).status == 503
    assert not unclear.acknowledged.since(Revision(0))


def test_status_of_graph_acknowledges_its_end() -> None:
    async def counts(_: str) -> None:
        return None

    records = _StoredRecords(over__lab1=(_GRAPH_END, 44))
    admission = _admission(records)
    graphs = GraphAdmission(
        cast(StateClient, records), _settings(), GraphFeatures(), admission, counts
    )
    admission.implicit_jobs = graphs
    assert asyncio.run(graphs.show("lab1")).body["status"] == wire.JOB_CANCELLED
    assert admission.acknowledged.since(Revision(43)) == ["lab1"]


# -- unreadable records, and an unavailable state service ------------------------------------------


def test_unreadable_records_block_only_their_own_job() -> None:
    """A job and a chunk of a later format: no task of theirs starts, no record is deleted."""
    readable, with_unreadable_chunk, unreadable = (
        JobId("wk-000001"),
        JobId("wk-000002"),
        JobId("wk-000003"),
    )
    entries = {
        f"job/{readable}": {"spec": wire.to_builtins(spec(id=readable)), "at": 1.0},
        f"job/{with_unreadable_chunk}": {
            "spec": wire.to_builtins(spec(id=with_unreadable_chunk)),
            "at": 1.0,
        },
        f"job/{unreadable}": {"described": "otherwise"},
        f"run/{with_unreadable_chunk}/00000": {"n": 6, "tasks": [[]]},
        f"run/{unreadable}/00000": {"n": 6, "tasks": [[2, "m-1", 1, 1, 0, 5]]},
    }

    class Client:
        async def scan(self, prefix: str) -> tuple[list[wire.Entry], Revision]:
            found = [
                wire.Entry(key=key, value=value, version=3)
                for key, value in entries.items()
                if key.startswith(prefix)
            ]
            return found, Revision(9)

        async def get(self, key: str) -> None:
            return None

    leader = _leader(_settings(), 2, Monotonic(110.0))
    leader.record_loader._client = cast(StateClient, Client())
    asyncio.run(leader.record_loader.load())
    assert set(leader.job_store.jobs) == {readable, with_unreadable_chunk}
    assert (
        leader.job_store.jobs[readable].waiting == 6
        and leader.job_store.jobs[with_unreadable_chunk].waiting == 0
    )
    assert not leader.job_store.orphaned_chunks and leader.fleet.loaded


def test_unanswered_watch_is_followed_by_polls_without_waiting() -> None:
    """With a slow state service the responses to long polls would time out every time."""
    leader = _leader(_settings(), 2, Monotonic(110.0))
    holds_s: list[float] = []

    class Client:
        async def watch(self, prefix: str, since: Revision, hold_s: float) -> wire.WatchResult:
            holds_s.append(hold_s)
            if len(holds_s) in (2, 3):
                raise OutcomeUnknownError("no answer")
            if len(holds_s) == 6:
                raise asyncio.CancelledError
            return wire.WatchResult(revision=len(holds_s), events=[])

    leader.job_watch._client = cast(StateClient, Client())

    async def scenario() -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(job_watch, "_RETRY_S", 0.0)
            with pytest.raises(asyncio.CancelledError):
                await leader.job_watch.run(CancellationKnowledge(Revision(0), Monotonic(1.0)))

    asyncio.run(scenario())
    assert holds_s == [2.0, 2.0, 0.0, 0.0, 2.0, 2.0]
    assert leader.job_watch.cancellation_knowledge.revision == 5


def test_status_requests_fail_fast_while_state_service_is_unavailable() -> None:
    """Only some of them reach the service; any success shows that it is available again."""
    parsed = _settings()
    client = StateClient(parsed.services.state, parsed.params.state, 3)
    clock = [100.0]
    statuses = [503]
    requested_paths: list[str] = []

    async def request(method: str, path: str, *_: object) -> HttpAnswer:
        requested_paths.append(path)
        answer = HttpAnswer()
        answer.status, answer.body = statuses[-1], b'{"epoch":1}'
        if path.startswith("/kv?") and statuses[-1] == 404:
            # A range without keys gets an empty result, not status 404.
            answer.status, answer.body = 200, b'{"entries":[],"truncated":false,"epoch":1}'
        return answer

    client._http.request = request  # type: ignore[method-assign,assignment]
    admission = Admission(client, parsed, lambda: None)

    async def scenario() -> None:
        for _ in range(50):
            assert (await admission.status("wk-000001")).status == 503
        assert len(requested_paths) == 3 and client.unavailable
        # Half a second later one request is tried, even if there were no others.
        clock[0] += 0.7
        assert (await admission.status("wk-000001")).status == 503 and len(requested_paths) == 4
        statuses.append(404)
        with contextlib.suppress(StateError):
            await client.get("leader")
        assert not client.unavailable
        assert (await admission.status("wk-000001")).status == 404

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "monotonic_now", lambda: clock[0])
        asyncio.run(scenario())
