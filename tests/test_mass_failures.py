"""Mass failures: the leader's scheduling passes against a model of workers and a cloud.

The model keeps the real state (running tasks, leases, rented machines) apart from what the leader
knows, and advances in steps of one second. It uses no sockets and no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tealrill import settings as daemon_settings
from tealrill import wire
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.prober import Prober
from tealrill.fleet.provisioning import Provisioner
from tealrill.scheduler import failure_detector
from tealrill.scheduler.capacity import Rental
from tealrill.scheduler.estimates import Estimates
from tealrill.scheduler.failure_detector import Suspicion
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Monotonic, Revision, Wall
from tests.samples import SETTINGS, provisioner_dependencies, spec

_BOOT_S, _LEASE_S, _RUN_S = 12, 8.0, 15
_SPOT_CAPACITY = 20
"""Spot capacity of the cloud in each of two zones, in machines."""
_CATALOGUE = {"builds": [{
    "label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "localGb": 50, "fetchGbPerS": 1.0,
    "price": 1.0, "marketPrice": 0.4, "startupS": _BOOT_S, "halls": ["north", "south"],
}]}  # fmt: skip


@dataclass
class _Worker:
    """The real state of a machine, as opposed to what the leader knows of it."""

    name: MachineId
    zone: str
    spot: bool
    up_at: float
    failed: bool = False
    reclaimed: bool = False
    hung_until: float = 0.0
    renewed_at: float | None = None
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    tasks: dict[tuple[str, int], float] = field(default_factory=dict)
    """End times of the running tasks, by task and attempt."""
    done: set[tuple[str, int]] = field(default_factory=set)


class _FakeProvisioner(Provisioner):
    """Grants rentals at once within its capacity; failed machines occupy theirs until released."""

    def __init__(self, cluster: _Cluster) -> None:
        super().__init__(
            cast(Cloud, None),
            cluster.fleet,
            FencingToken(cluster.term),
            1.0,
            *provisioner_dependencies(),
        )
        self._cluster = cluster

    def rent(self, rental: Rental, now: Monotonic) -> None:
        kind = (rental.type, rental.zone, rental.spot)
        names = self._cluster.rent(rental, now)
        self.capacity_backoff.record_response(kind, rental.count, len(names), now)
        for name in names:
            self._add_rented_machine(name, rental, now)
        if names:
            self.granted(Rental(*kind, len(names)))


class _Cluster:
    def __init__(self, jobs: int = 5) -> None:
        self.now = 0.0
        self.term = 0
        self.workers: dict[MachineId, _Worker] = {}
        self.partitioned_zones: set[str] = set()
        self.inbound_partitioned = False
        self.cloud_refuses = False
        self.cloud_grants_one = False
        self.state_unavailable = False
        self.rented_count = 0
        self.submitted_count = 0
        self.machine_lists: list[list[wire.ListedMachine]] = [[]]
        self.job_store = JobStore(8.0)
        self.elect()
        for _ in range(jobs):
            self.submit()

    # -- elections and jobs ---------------------------------------------------------------------

    def elect(self) -> None:
        """Replace the leader by a new one that has only the jobs and the committed bindings."""
        params = daemon_settings.parse(orjson.dumps(SETTINGS)).params
        self.term += 1
        previous, self.job_store = self.job_store, JobStore(8.0)
        now = Monotonic(self.now)
        self.fleet = Fleet(self.job_store, FencingToken(self.term), now, _LEASE_S)
        bindings = []
        for job in previous.jobs.values():
            job_copy = self.job_store.add(job.spec, Wall(self.now), Revision(1))
            for chunk in job.chunks.values():
                if chunk.committed:
                    value = orjson.loads(orjson.dumps(previous.value(chunk)))
                    bindings += self.job_store.load(job_copy, chunk.number, value, Revision(1))
        self.fleet.inherit(bindings, now)
        self.provisioner = _FakeProvisioner(self)
        self.provisioner.set_catalogue(wire.decode(orjson.dumps(_CATALOGUE), wire.Catalogue))
        self.scheduling_loop = SchedulingLoop(
            self.job_store, self.fleet, self.provisioner, Estimates(), params, lambda _: None
        )
        self.prober = Prober(self.fleet, params.workers.heartbeat_interval_s, lambda: 1000)
        prober = self.prober
        self.scheduling_loop.diagnosis = lambda: prober.diagnosis

    def submit(self) -> None:
        self.submitted_count += 1
        changes: dict[str, Any] = {
            "id": f"wk-{self.submitted_count:06d}",
            "pieces": 20,
            "vcpus": 4.0,
        }
        # Without a deadline only waiting tasks and lost capacity demand machines.
        changes.update(guessS=float(_RUN_S), dueS=None, lineup="train", crew="blue")
        self.job_store.add(spec(**changes), Wall(self.now), Revision(1))

    # -- the cloud ------------------------------------------------------------------------------

    def rent(self, rental: Rental, now: Monotonic) -> list[str]:
        occupying = [w for w in self.workers.values() if w.zone == rental.zone and not w.reclaimed]
        free_capacity = (
            0 if self.cloud_refuses or not rental.spot else _SPOT_CAPACITY - len(occupying)
        )
        if self.cloud_grants_one:
            free_capacity = min(1, free_capacity)
        names = []
        for _ in range(min(rental.count, max(0, free_capacity))):
            self.rented_count += 1
            name = MachineId(f"m-{self.rented_count:06d}")
            self.workers[name] = _Worker(name, rental.zone, rental.spot, now + _BOOT_S)
            names.append(str(name))
        return names

    def _list_machines(self) -> None:
        self.machine_lists.append(
            [
                wire.ListedMachine(
                    id=str(w.name), addr="127.0.0.1:9000", type="big", zone=w.zone,
                    spot=w.spot,
                    state="starting" if self.now < w.up_at else "running",
                )
                for w in self.workers.values() if not w.reclaimed
            ]
        )  # fmt: skip
        if int(self.now) % 3 == 0:
            self.provisioner.apply_list(
                self.machine_lists[max(0, len(self.machine_lists) - 3)], Monotonic(self.now)
            )

    def _release_machines(self) -> None:
        for machine in [m for m in self.fleet.machines.values() if m.releasing]:
            self.workers.pop(machine.id, None)
            self.provisioner._on_machine_terminated(machine)
            self.fleet.released(machine.id, Monotonic(self.now))

    # -- workers --------------------------------------------------------------------------------

    def _finish_tasks(self, worker: _Worker) -> None:
        for key in [k for k, end in worker.tasks.items() if end <= self.now]:
            del worker.tasks[key]
            worker.done.add(key)

    def _expire_lease(self, worker: _Worker) -> None:
        since = worker.renewed_at if worker.renewed_at is not None else worker.up_at
        if self.now - since > _LEASE_S:
            worker.tasks.clear()
            worker.done.clear()
            worker.incarnation, worker.renewed_at, worker.up_at = (
                worker.incarnation + 1,
                None,
                self.now,
            )

    def _send_heartbeat(self, worker: _Worker) -> None:
        worker.sequence += 1
        lines = [
            wire.TaskStatus(task=task, attempt=attempt, state=state, why=why)  # type: ignore[arg-type]
            for keys, state, why in (
                (worker.tasks, "running", None),
                (worker.done, "ended", "done"),
            )
            for task, attempt in keys
        ]
        heartbeat = wire.Heartbeat(
            machine=str(worker.name), addr="127.0.0.1:9000", type="big", zone=worker.zone,
            spot=worker.spot, incarnation=worker.incarnation, sequence=worker.sequence,
            token=worker.token, tasks=lines,
        )  # fmt: skip
        now = Monotonic(self.now)
        commands = self.fleet.heartbeats.process(heartbeat, worker.name, now, Wall(self.now))
        if commands is None:
            return
        worker.renewed_at, worker.token = self.now, self.term
        for command in commands:
            key = (str(command["piece"]), int(cast(int, command["try"])))
            if command["verb"] == "run" and key not in worker.tasks and key not in worker.done:
                self._start_task(worker, key)
            elif command["verb"] == "halt":
                worker.tasks.pop(key, None)
            elif command["verb"] == "clear":
                worker.done.discard(key)

    def _start_task(self, worker: _Worker, key: tuple[str, int]) -> None:
        for other in self.workers.values():
            if other is not worker and not other.failed and not other.reclaimed:
                assert all(task != key[0] for task, _ in other.tasks), f"{key[0]} runs twice"
        worker.tasks[key] = self.now + _RUN_S

    def is_reachable(self, worker: _Worker) -> bool:
        return not (
            worker.failed or worker.reclaimed
            or self.now < worker.up_at or self.now < worker.hung_until
            or worker.zone in self.partitioned_zones or self.inbound_partitioned
        )  # fmt: skip

    # -- time -----------------------------------------------------------------------------------

    def step(self) -> None:
        self.now += 1.0
        for worker in list(self.workers.values()):
            if worker.failed or worker.reclaimed or self.now < worker.up_at:
                continue
            # A machine that hangs past its lease does not resume its tasks.
            self._expire_lease(worker)
            if self.now >= worker.hung_until:
                self._finish_tasks(worker)
            if self.is_reachable(worker):
                self._send_heartbeat(worker)
        now = Monotonic(self.now)
        self.fleet.leases.expire_leases(now)
        for machine in self.prober.evaluate(now):
            target = self.workers.get(machine.id)
            reached = target is not None and not (
                target.failed or target.reclaimed or self.inbound_partitioned
            )
            self.prober.record_probe(
                machine,
                reached and target is not None and target.zone not in self.partitioned_zones,
            )
        self._list_machines()
        self.scheduling_loop.run(now, Wall(self.now))
        self._commit()
        self._release_machines()

    def _commit(self) -> None:
        if self.state_unavailable:
            return
        for chunk in [*self.job_store.urgent_chunks, *self.job_store.deferred_chunks]:
            chunk.committed, chunk.new_bindings = chunk.version, 0
        self.job_store.urgent_chunks.clear()
        self.job_store.deferred_chunks.clear()
        for job in list(self.job_store.jobs.values()):
            if job.complete:
                self.job_store.ended(job)
                self.submit()

    def run(self, seconds: int) -> int:
        """Run for some seconds and return the maximum of `running_tasks` in the last 20 s.

        The maximum, because jobs come and go in waves.
        """
        running_tasks = [0]
        for _ in range(seconds):
            self.step()
            running_tasks.append(self.running_tasks())
        return max(running_tasks[-20:])

    # -- observation ----------------------------------------------------------------------------

    def surviving(self) -> list[_Worker]:
        """Return the machines that run or boot, including hung and partitioned ones."""
        return [w for w in self.workers.values() if not w.failed and not w.reclaimed]

    def running_tasks(self) -> int:
        """Return the number of tasks on machines whose heartbeats arrive."""
        return sum(len(w.tasks) for w in self.workers.values() if self.is_reachable(w))

    def reachable_workers(self) -> list[_Worker]:
        return sorted(
            (w for w in self.workers.values() if self.is_reachable(w)), key=lambda w: w.name
        )


def _steady_cluster() -> _Cluster:
    cluster = _Cluster()
    assert cluster.run(60) >= 50
    return cluster


def test_failed_machines_are_replaced_within_lease_and_boot() -> None:
    """The release must come before the rental: failed machines occupy capacity until released."""
    cluster = _steady_cluster()
    running_tasks, machine_count = cluster.running_tasks(), len(cluster.surviving())
    for worker in cluster.reachable_workers()[::2]:
        worker.failed = True
    cluster.run(int(_LEASE_S) + _BOOT_S + 6)
    assert len(cluster.surviving()) >= 0.9 * machine_count
    assert cluster.run(10) >= 0.9 * running_tasks


def test_reclaimed_machines_are_replaced_before_lease_expiry() -> None:
    cluster = _steady_cluster()
    machine_count = len(cluster.surviving())
    for worker in cluster.reachable_workers()[::2]:
        worker.reclaimed = True
    cluster.run(6)
    # Diagnosed after missed heartbeats and two failed connection attempts, before leases expire.
    assert not any(m.lease_expired for m in cluster.fleet.machines.values())
    assert len(cluster.surviving()) >= 0.9 * machine_count


@pytest.mark.parametrize("hang_s", [_LEASE_S - 1, _LEASE_S + 1, _LEASE_S + 3])
def test_hung_machines_are_not_replaced(hang_s: float) -> None:
    cluster = _steady_cluster()
    rented_count = cluster.rented_count
    for worker in cluster.reachable_workers()[::2]:
        worker.hung_until = cluster.now + hang_s
    cluster.run(int(hang_s) + 10)
    assert cluster.rented_count - rented_count <= 2
    assert not any(m.releasing for m in cluster.fleet.machines.values())


def test_no_rental_or_release_in_partitioned_zone() -> None:
    cluster = _steady_cluster()
    names = {w.name for w in cluster.workers.values() if w.zone == "south"}
    assert len(names) >= 5
    cluster.partitioned_zones = {"south"}
    cluster.run(40)
    current_names = {w.name for w in cluster.workers.values() if w.zone == "south"}
    # Machines requested before the partition was detected may still come.
    assert names <= current_names and len(current_names) <= len(names) + 2
    cluster.partitioned_zones = set()
    assert cluster.run(10) >= 50


def test_new_leader_does_not_release_machines_behind_partition() -> None:
    """It has had no heartbeat from them, so they look like machines that never booted."""
    cluster = _steady_cluster()
    names = {w.name for w in cluster.workers.values() if w.zone == "south"}
    cluster.partitioned_zones = {"south"}
    cluster.run(3)
    cluster.elect()
    cluster.run(5 * _BOOT_S)
    assert names <= set(cluster.workers)


def test_leader_without_heartbeats_rents_and_releases_nothing() -> None:
    cluster = _steady_cluster()
    rented_count, names = cluster.rented_count, set(cluster.workers)
    cluster.inbound_partitioned = True
    cluster.run(20)
    assert cluster.rented_count - rented_count <= 2 and names <= set(cluster.workers)
    assert cluster.prober.diagnosis.inbound_partitioned


def test_failover_during_mixed_mass_failure() -> None:
    cluster = _steady_cluster()
    running_tasks = cluster.running_tasks()
    reachable_workers = cluster.reachable_workers()
    for number, worker in enumerate(reachable_workers):
        if number % 4 == 0:
            worker.failed = True
        elif number % 4 == 1:
            worker.hung_until = cluster.now + _LEASE_S + 2
        elif number % 4 == 2:
            worker.reclaimed = True
    cluster.run(4)
    cluster.elect()
    assert cluster.run(int(2 * _LEASE_S) + 2 * _BOOT_S + 15) >= 0.9 * running_tasks


def test_capacity_is_restored_after_refusals_end() -> None:
    cluster = _steady_cluster()
    running_tasks, machine_count = cluster.running_tasks(), len(cluster.surviving())
    cluster.cloud_refuses = True
    for worker in cluster.reachable_workers()[::2]:
        worker.reclaimed = True
    cluster.run(30)
    assert len(cluster.surviving()) <= machine_count // 2 + 1
    cluster.cloud_refuses = False
    # The maximum back-off between two rental requests, and a boot.
    assert cluster.run(40 + _BOOT_S + 5) >= 0.9 * running_tasks


def test_failed_machines_are_not_replaced_without_diagnosis(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the tests above depend on the diagnosis: without it the fleet stays small."""
    monkeypatch.setattr(failure_detector, "_suspect", lambda *_: Suspicion.UNDETERMINED)
    cluster = _Cluster(jobs=8)
    cluster.run(60)
    machine_count = len(cluster.surviving())
    for worker in cluster.reachable_workers()[::2]:
        worker.failed = True
    cluster.run(int(_LEASE_S) + _BOOT_S + 6)
    assert len(cluster.surviving()) < 0.9 * machine_count


def test_new_leader_awaits_heartbeats_before_renting() -> None:
    """Machines without a heartbeat in the new term seem to have no free capacity.

    A leader that rents before their first heartbeats rents machines that are not needed: it rented
    116 in the first second of a term.
    """
    cluster = _steady_cluster()
    rented_count = cluster.rented_count
    cluster.cloud_refuses = False
    for worker in cluster.reachable_workers():
        # The workers still wait for a response of the former leader.
        worker.hung_until = cluster.now + 2.5
    cluster.elect()
    for _ in range(3):
        cluster.submit()
    cluster.run(2)
    assert cluster.rented_count == rented_count
    cluster.run(4)
    assert cluster.scheduling_loop.autoscaler._fleet_contacted


def _inject_failure(cluster: _Cluster, kind: str) -> None:
    """Fail or hang half of the machines, or partition a zone or the leader."""
    for worker in cluster.reachable_workers()[::2]:
        if kind == "dead":
            worker.failed = True
        elif kind == "taken":
            worker.reclaimed = True
        elif kind == "hung":
            worker.hung_until = cluster.now + _LEASE_S + 2
    if kind == "cut":
        cluster.partitioned_zones = {"south"}
    elif kind == "deaf":
        cluster.inbound_partitioned = True


def _end_partitions(cluster: _Cluster) -> None:
    cluster.partitioned_zones, cluster.inbound_partitioned = set(), False


_FAILURES = ["dead", "taken", "hung", "cut", "deaf"]


@pytest.mark.parametrize("kind", _FAILURES)
def test_failover_during_mass_failure(kind: str) -> None:
    cluster = _steady_cluster()
    running_tasks, names = cluster.running_tasks(), {w.name for w in cluster.workers.values()}
    _inject_failure(cluster, kind)
    cluster.run(5)
    cluster.elect()
    cluster.run(12)
    if kind not in ("dead", "taken"):
        assert names <= set(cluster.workers), "machines that will recover must not be released"
    _end_partitions(cluster)
    assert cluster.run(2 * int(_LEASE_S) + 2 * _BOOT_S + 20) >= 0.9 * running_tasks


@pytest.mark.parametrize("kind", _FAILURES)
def test_mass_failure_during_failover(kind: str) -> None:
    cluster = _steady_cluster()
    running_tasks = cluster.running_tasks()
    cluster.elect()
    cluster.run(1)
    _inject_failure(cluster, kind)
    cluster.run(12)
    _end_partitions(cluster)
    assert cluster.run(2 * int(_LEASE_S) + 2 * _BOOT_S + 20) >= 0.9 * running_tasks


@pytest.mark.parametrize("kind", _FAILURES)
def test_mass_failure_during_state_service_outage(kind: str) -> None:
    """Bindings can't be committed, but replacements are rented, and no task runs twice."""
    cluster = _steady_cluster()
    running_tasks = cluster.running_tasks()
    cluster.state_unavailable = True
    _inject_failure(cluster, kind)
    cluster.run(14)
    if kind == "taken":
        assert len(cluster.surviving()) >= 0.9 * 2 * _SPOT_CAPACITY
    cluster.state_unavailable = False
    _end_partitions(cluster)
    assert cluster.run(2 * int(_LEASE_S) + 2 * _BOOT_S + 20) >= 0.9 * running_tasks


def test_repeatedly_recovering_machines_are_not_replaced() -> None:
    cluster = _steady_cluster()
    rented_count = cluster.rented_count
    chosen = cluster.reachable_workers()[::2]
    for _ in range(4):
        for worker in chosen:
            worker.hung_until = cluster.now + _LEASE_S + 2
        cluster.run(int(_LEASE_S) + 8)
    assert cluster.rented_count - rented_count <= 4
    assert {w.name for w in chosen} <= set(cluster.workers)


def test_rental_continues_after_partial_grants() -> None:
    cluster = _steady_cluster()
    machine_count = len(cluster.surviving())
    cluster.cloud_grants_one = True
    for worker in cluster.reachable_workers()[: machine_count // 4]:
        worker.reclaimed = True
    # After a partial grant the next request follows 5 s later, in each of two zones.
    cluster.run(8 + 5 * (machine_count // 8) + 5)
    assert len(cluster.surviving()) >= 0.9 * machine_count


def test_machine_without_first_heartbeat_is_released() -> None:
    """It accepts connections, so only the missing first heartbeat reveals the fault."""
    cluster = _steady_cluster()
    worker = cluster.reachable_workers()[0]
    worker.hung_until = 1e9
    cluster.elect()
    cluster.run(3 * _BOOT_S)
    assert worker.name in cluster.workers
    cluster.run(_BOOT_S + 4)
    assert worker.name not in cluster.workers


_EVENT = st.tuples(
    st.sampled_from(["dead", "hung", "taken", "cut", "deaf", "refuses", "elect", "wait"]),
    st.integers(1, 20),
    st.integers(1, 25),
)


@settings(max_examples=12)
@given(st.lists(_EVENT, min_size=1, max_size=6))
def test_generated_mass_failures(events: list[tuple[str, int, int]]) -> None:
    """No task runs twice, the fleet size is bounded, and capacity recovers after the last fault."""
    cluster = _steady_cluster()
    running_tasks, machine_count = cluster.running_tasks(), len(cluster.surviving())
    recoveries: list[tuple[float, Callable[[], None]]] = []

    def schedule_recovery(seconds: float, recover: Callable[[], None]) -> None:
        recoveries.append((cluster.now + seconds, recover))

    def run_checked(seconds: int) -> None:
        for _ in range(seconds):
            for due in [entry for entry in recoveries if entry[0] <= cluster.now]:
                recoveries.remove(due)
                due[1]()
            cluster.step()
            # The fleet without failed machines may be as large as before, plus a replacement for
            # each silent machine that may still recover.
            silent = sum(
                not cluster.is_reachable(w) and w.up_at <= cluster.now for w in cluster.surviving()
            )
            assert len(cluster.surviving()) <= 1.25 * machine_count + silent + 4

    for kind, count, seconds in events:
        chosen = cluster.reachable_workers()[:count]
        for worker in chosen:
            if kind == "dead":
                worker.failed = True
            elif kind == "taken":
                worker.reclaimed = True
            elif kind == "hung":
                worker.hung_until = cluster.now + seconds
        if kind == "cut":
            cluster.partitioned_zones.add("south")
            schedule_recovery(seconds, cluster.partitioned_zones.clear)
        elif kind == "deaf":
            cluster.inbound_partitioned = True
            schedule_recovery(
                min(seconds, 15), lambda: setattr(cluster, "inbound_partitioned", False)
            )
        elif kind == "refuses":
            cluster.cloud_refuses = True
            schedule_recovery(seconds, lambda: setattr(cluster, "cloud_refuses", False))
        elif kind == "elect":
            cluster.elect()
        run_checked(seconds // 2)
    run_checked(25)
    assert cluster.run(2 * _BOOT_S + 60) >= 0.8 * running_tasks


def test_end_of_partition_releases_no_machines() -> None:
    """The end of a partition must not make its silent machines look gone.

    Connection attempts failed during the partition. Once the first machines of the zone are heard
    again, the others seem to be the only unreachable ones.
    """
    cluster = _steady_cluster()
    names = {w.name for w in cluster.workers.values() if w.zone == "south"}
    cluster.partitioned_zones = {"south"}
    cluster.run(int(_LEASE_S) + 6)
    silent = [w for w in cluster.workers.values() if w.zone == "south"][2:]
    cluster.partitioned_zones = set()
    for worker in silent:
        worker.hung_until = cluster.now + 1.5
    cluster.run(4)
    assert names <= set(cluster.workers)
    assert not any(m.releasing for m in cluster.fleet.machines.values())
