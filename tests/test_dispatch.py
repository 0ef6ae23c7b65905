"""Scheduling passes: snapshots, placement, rentals and releases, and cached state."""

from __future__ import annotations

import dataclasses
import gc
from collections.abc import Sequence
from typing import Any, cast

import msgspec
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.fleet import heartbeats, inventory, reconciliation
from tealrill.fleet.autoscaling import RENT_INTERVAL_S
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.provisioning import Provisioner
from tealrill.fleet.reconciliation import Reconciler
from tealrill.leader.loops import pass_gap_s
from tealrill.scheduler.estimates import Estimates
from tealrill.scheduler.model import MachineView, View
from tealrill.scheduler.plan import _Pass
from tealrill.state.bindings import Job
from tealrill.state.job_store import JobStore
from tealrill.types import (
    FencingToken,
    MachineId,
    Monotonic,
    Revision,
    TaskId,
    Wall,
    parse_task_id,
)
from tests.samples import SETTINGS, make_heartbeat, provisioner_dependencies, spec

_MACHINE_TYPE = {
    "label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "localGb": 50, "fetchGbPerS": 1.0,
    "price": 1.0, "marketPrice": 0.4, "startupS": 20, "halls": ["north"],
}  # fmt: skip

_LARGE_MACHINE_TYPE = {**_MACHINE_TYPE, "label": "huge", "vcpus": 32}


class _NoRentals(Provisioner):
    def rent(self, rental: Any, now: Monotonic) -> None:
        self.requested = getattr(self, "requested", 0) + rental.count


def build_scheduling_loop(
    heartbeat_interval_s: float = 0.0,
    types: Sequence[dict[str, Any]] = (_MACHINE_TYPE, _LARGE_MACHINE_TYPE),
) -> tuple[SchedulingLoop, Fleet, JobStore, _NoRentals]:
    params = settings.parse(orjson.dumps(SETTINGS)).params
    job_store = JobStore(8.0)
    fleet = Fleet(
        job_store,
        FencingToken(1),
        Monotonic(0.0),
        params.workers.lease_s,
        0.0,
        heartbeat_interval_s,
    )
    fleet.inherit([], Monotonic(0.0))
    provisioner = _NoRentals(
        cast(Cloud, None), fleet, FencingToken(1), 2.0, *provisioner_dependencies()
    )
    provisioner.set_catalogue(wire.decode(orjson.dumps({"builds": list(types)}), wire.Catalogue))
    scheduling_loop = SchedulingLoop(
        job_store, fleet, provisioner, Estimates(), params, lambda _: None
    )
    return scheduling_loop, fleet, job_store, provisioner


def _send_heartbeat(fleet: Fleet, sequence: int, now: float) -> None:
    fleet.heartbeats.process(
        make_heartbeat("m-1", 1, sequence, 1), MachineId("m-1"), Monotonic(now), Wall(now)
    )


def test_idle_machine_is_released_although_waiting_tasks_do_not_fit() -> None:
    scheduling_loop, fleet, job_store, provisioner = build_scheduling_loop()
    job_store.add(spec(vcpus=32.0), Wall(0.0), Revision(1))
    for second in range(100):
        _send_heartbeat(fleet, second + 1, float(second))
        scheduling_loop.run(Monotonic(float(second)), Wall(float(second)))
    assert provisioner.requested > 0
    assert fleet.machines[MachineId("m-1")].releasing


def test_start_waits_for_committed_binding() -> None:
    scheduling_loop, fleet, job_store, _ = build_scheduling_loop()
    job = job_store.add(spec(pieces=2), Wall(0.0), Revision(1))
    _send_heartbeat(fleet, 1, 0.0)
    scheduling_loop.run(Monotonic(0.0), Wall(0.0))
    assert job.bound_count == 2
    machine = fleet.machines[MachineId("m-1")]
    assert fleet.commands.direct_starts(machine) == []
    for chunk in job.chunks.values():
        chunk.committed = chunk.version
    assert len(fleet.commands.direct_starts(machine)) == 2


def test_deferred_rental_is_made_in_next_interval() -> None:
    """Demand is not computed in every pass, but a burst must not wait for the next idle pass."""
    scheduling_loop, _, job_store, provisioner = build_scheduling_loop()
    job_store.add(spec(vcpus=32.0), Wall(0.0), Revision(1))
    scheduling_loop.run(Monotonic(0.0), Wall(0.0))
    requested = provisioner.requested
    job_store.add(spec(id="wk-000413", vcpus=32.0), Wall(0.0), Revision(2))
    scheduling_loop.run(Monotonic(0.1), Wall(0.1))
    assert scheduling_loop.autoscaler.rental_deferred and provisioner.requested == requested
    scheduling_loop.run(Monotonic(RENT_INTERVAL_S), Wall(RENT_INTERVAL_S))
    assert not scheduling_loop.autoscaler.rental_deferred and provisioner.requested > requested


class _EventModel:
    """A fleet of three machines and its jobs, driven by a sequence of numbered events."""

    def __init__(self) -> None:
        self.scheduling_loop, self.fleet, self.job_store, self.provisioner = build_scheduling_loop()
        self.now = 0.0
        self.sequence = 0
        self.jobs = 0

    def submit(self) -> None:
        self.jobs += 1
        changes: dict[str, Any] = {"id": f"wk-{self.jobs:06d}", "bundle": f"img-{self.jobs % 3}"}
        changes["urgency"] = "urgent" if self.jobs % 2 else "standard"
        changes["lineup"] = "quick" if self.jobs % 2 else "train"
        self.scheduling_loop.snapshots.submitted(spec(**changes), Monotonic(self.now))
        self.job_store.add(spec(**changes), Wall(self.now), Revision(1))

    def send_heartbeat(self, name: str, state: str, incarnation: int = 1, **changes: Any) -> None:
        """Process a heartbeat that lists every task bound to the machine in this state."""
        self.sequence += 1
        machine = self.fleet.machines.get(MachineId(name))
        bound = machine.bindings.values() if machine is not None and incarnation == 1 else ()
        why = "done" if state == "ended" else None
        statuses = [(str(b.task), int(b.attempt), state, why) for b in bound]
        heartbeat = msgspec.structs.replace(
            make_heartbeat(name, incarnation, self.sequence, 1, statuses), **changes
        )
        self.fleet.heartbeats.process(
            heartbeat, MachineId(name), Monotonic(self.now), Wall(self.now)
        )

    def stop(self) -> None:
        for job in list(self.job_store.jobs.values()):
            for binding in list(job.bindings())[:1]:
                self.fleet.commands.stop(binding, "preemption", 5.0, Monotonic(self.now))

    def check(self) -> None:
        cached_views = _as_dicts(
            self.scheduling_loop.snapshots.view(Monotonic(self.now), Wall(self.now)).machines
        )
        for machine in self.fleet.machines.values():
            machine.invalidate_caches()
            if isinstance(machine, _StaleViewMachine):
                machine.clear_view()
        assert cached_views == _as_dicts(
            self.scheduling_loop.snapshots.view(Monotonic(self.now), Wall(self.now)).machines
        )

    def run(self, steps: list[int]) -> None:
        for step in steps:
            self.now += 0.4
            name = f"m-{step % 3}"
            match step % 11:
                case 0 | 1:
                    self.submit()
                case 2 | 3 | 4:
                    self.scheduling_loop.run(Monotonic(self.now), Wall(self.now))
                case 5 | 6:
                    self.send_heartbeat(name, "running")
                case 7:
                    self.send_heartbeat(name, "ended")
                case 8:
                    self.stop()
                case 9:
                    self.send_heartbeat(name, "running", type="huge")
                case 10:
                    self.send_heartbeat(name, "pulling", incarnation=2 + step // 60)
            self.check()


class _StaleViewMachine(Machine):
    """A machine whose cached view survives changes of its state."""

    def clear_view(self) -> None:
        super().__setattr__("view", None)

    def __setattr__(self, name: str, value: Any) -> None:
        if name != "view" or value is not None or not hasattr(self, "view"):
            super().__setattr__(name, value)


def _as_dicts(views: list[MachineView]) -> list[dict[str, Any]]:
    return [dataclasses.asdict(view) for view in views]


_STEPS = st.lists(st.integers(0, 109), max_size=60)


@given(_STEPS)
def test_cached_views_equal_rebuilt_views(steps: list[int]) -> None:
    _EventModel().run([5, 16, 27, 0, 1, 2, *steps])


def test_stale_cached_view_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (heartbeats, inventory):
        monkeypatch.setattr(module, "Machine", _StaleViewMachine)
    with pytest.raises(AssertionError):
        _EventModel().run([5, 16, 27, 0, 1, 2, 5, 16, 27])


def test_catalogue_change_invalidates_cached_views() -> None:
    """A machine that is unreachable while the catalogue changes must not keep its cached view."""
    model = _EventModel()
    model.run([5, 16, 27])
    model.now += 10.0
    larger = {"builds": [{**_MACHINE_TYPE, "vcpus": 12}]}
    model.provisioner.set_catalogue(wire.decode(orjson.dumps(larger), wire.Catalogue))
    assert not model.scheduling_loop.snapshots.view(Monotonic(model.now), Wall(model.now)).machines
    model.send_heartbeat("m-1", "running")
    model.check()


def test_heartbeat_with_change_rebuilds_only_one_view(monkeypatch: pytest.MonkeyPatch) -> None:
    """Rebuilding the views of all machines and tasks ten times a second was most of a pass."""
    model = _EventModel()
    model.run([5, 16, 27, 0, 1, 2])
    rebuilt: list[MachineId] = []
    build_view = model.scheduling_loop.snapshots._build_view

    def counted(machine: Machine, kind: wire.MachineType) -> MachineView:
        rebuilt.append(machine.id)
        return build_view(machine, kind)

    model.scheduling_loop.snapshots.view(Monotonic(model.now), Wall(model.now))
    monkeypatch.setattr(model.scheduling_loop.snapshots, "_build_view", counted)
    model.send_heartbeat("m-1", "running")
    model.scheduling_loop.snapshots.view(Monotonic(model.now), Wall(model.now))
    assert rebuilt == ["m-1"]
    model.send_heartbeat("m-1", "running")
    model.scheduling_loop.snapshots.view(Monotonic(model.now), Wall(model.now))
    assert rebuilt == ["m-1"]


def test_unchanged_heartbeat_is_not_reconciled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hundreds of heartbeats a second repeat the previous list and must cost little."""
    model = _EventModel()
    model.run([5, 16, 27, 0, 1, 2, 5, 16, 27, 5])
    machine = model.fleet.machines[MachineId("m-2")]
    reconciled: list[str] = []
    applied: list[str] = []
    reconcile, progress = Reconciler.reconcile, Reconciler._apply_status

    def counted(self: Reconciler, reported: Machine, *args: Any, **kwargs: Any) -> None:
        reconciled.append(reported.id)
        reconcile(self, reported, *args, **kwargs)

    def counted_progress(self: Reconciler, reported: Machine, *args: Any) -> None:
        applied.append(reported.id)
        progress(self, reported, *args)

    monkeypatch.setattr(Reconciler, "reconcile", counted)
    monkeypatch.setattr(Reconciler, "_apply_status", counted_progress)
    assert machine.bindings
    model.send_heartbeat("m-2", "running")
    reconciled.clear()
    applied.clear()
    model.send_heartbeat("m-2", "running")
    assert not reconciled
    model.send_heartbeat("m-2", "flushing")
    assert len(reconciled) == 1 and len(applied) == len(machine.bindings)


def test_only_changed_task_status_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a machine with many tasks, nearly every heartbeat changes just one of them."""
    model = _EventModel()
    job_store, fleet = model.job_store, model.fleet
    model.send_heartbeat("m-1", "running")
    machine = fleet.machines[MachineId("m-1")]
    job = job_store.add(spec(pieces=100, vcpus=0.01, memoryGb=0.01), Wall(0.0), Revision(1))
    for _ in range(100):
        assert fleet.bind(job, machine, False, Wall(0.0), Monotonic(model.now)) is not None
    model.send_heartbeat("m-1", "running")
    parsed: list[str] = []
    applied: list[TaskId] = []
    progress = Reconciler._apply_status

    def counted(text: str) -> TaskId | None:
        parsed.append(text)
        return parse_task_id(text)

    def counted_progress(self: Reconciler, machine: Machine, binding: Any, *args: Any) -> None:
        applied.append(binding.task)
        progress(self, machine, binding, *args)

    monkeypatch.setattr(reconciliation, "parse_task_id", counted)
    monkeypatch.setattr(Reconciler, "_apply_status", counted_progress)
    ended = next(iter(machine.bindings))
    model.sequence += 1
    statuses = [
        (str(b.task), int(b.attempt), "ended" if b.task == ended else "running",
         "done" if b.task == ended else None)
        for b in machine.bindings.values()
    ]  # fmt: skip
    heartbeat = make_heartbeat("m-1", 1, model.sequence, 1, statuses)
    fleet.heartbeats.process(heartbeat, machine.id, Monotonic(model.now), Wall(model.now))
    assert applied == [ended] and not parsed
    assert len(machine.bindings) == 99 and job.done_count == 1


def test_stop_is_sent_in_response_to_unchanged_heartbeat() -> None:
    model = _EventModel()
    model.run([5, 16, 27, 0, 1, 2, 5, 16, 27, 5])
    machine = model.fleet.machines[MachineId("m-2")]
    statuses: list[tuple[str, int, str, str | None]] = [
        (str(b.task), int(b.attempt), "running", None) for b in machine.bindings.values()
    ]

    def send_heartbeat(sequence: int) -> list[dict[str, Any]] | None:
        heartbeat = make_heartbeat("m-2", 1, 1000 + sequence, 1, statuses)
        return model.fleet.heartbeats.process(
            heartbeat, machine.id, Monotonic(model.now), Wall(model.now)
        )

    assert statuses and send_heartbeat(1) == [] and send_heartbeat(2) == []
    binding = next(iter(machine.bindings.values()))
    model.fleet.commands.stop(binding, "preemption", 0.0, Monotonic(model.now))
    stop = wire.stop_command(str(binding.task), binding.attempt, 0.0)
    # The stop is repeated until the list shows that it was carried out.
    assert (send_heartbeat(3), send_heartbeat(4)) == ([stop], [stop])


@pytest.mark.parametrize(
    ("took_s", "gap_s"), [(0.0, 0.1), (0.01, 0.1), (0.1, 0.3), (0.4, 1.2), (5.0, 2.0)]
)
def test_pass_gap_grows_with_pass_duration(took_s: float, gap_s: float) -> None:
    """On a node several times slower, passes delayed heartbeats and lease renewals."""
    assert pass_gap_s(took_s) == pytest.approx(gap_s)


def _finish_jobs(model: _EventModel, count: int) -> None:
    """Run `count` jobs one after the other, from submission to the deletion of their records."""
    for _ in range(count):
        model.now += 1.0
        job = model.job_store.add(
            spec(id=f"wk-{model.jobs:06d}", pieces=1), Wall(model.now), Revision(1)
        )
        model.jobs += 1
        model.send_heartbeat("m-1", "ended")  # nothing is bound: an empty list
        model.scheduling_loop.run(Monotonic(model.now), Wall(model.now))
        for chunk in job.chunks.values():
            chunk.committed = chunk.version
        model.send_heartbeat("m-1", "ended")
        for chunk in job.chunks.values():
            chunk.committed, chunk.mod_revision = chunk.version, Revision(model.jobs)
        assert job.complete
        model.job_store.ended(job)
        model.job_store.orphaned_chunks.clear()  # the records are deleted
        model.send_heartbeat("m-1", "running")


def test_finished_jobs_leave_no_objects_behind() -> None:
    """Memory must stay bounded in a service that runs for months."""
    model = _EventModel()
    _finish_jobs(model, 200)
    gc.collect()
    before = len(gc.get_objects())
    _finish_jobs(model, 10_000)
    gc.collect()
    assert not model.job_store.jobs and not model.job_store.ending_jobs
    assert not model.job_store.urgent_chunks and not model.job_store.deferred_chunks
    assert len(gc.get_objects()) < before + 500


def test_finished_jobs_are_freed_without_garbage_collection() -> None:
    """In a reference cycle with their chunks, 10,000 jobs occupied 20 MB until a collection."""
    model = _EventModel()
    gc.collect()
    gc.disable()
    try:
        _finish_jobs(model, 100)
        assert sum(isinstance(item, Job) for item in gc.get_objects()) <= 2
    finally:
        gc.enable()


def test_pass_is_freed_without_garbage_collection() -> None:
    """In a reference cycle with its plan, a pass kept the view of the whole fleet: 10 MB more."""
    model = _EventModel()
    model.run([5, 16, 27, 0, 1, 0, 1, 0, 1, 2])
    gc.collect()
    gc.disable()
    try:
        for _ in range(5):
            model.submit()
            model.now += 1.0
            model.scheduling_loop.run(Monotonic(model.now), Wall(model.now))
        assert model.scheduling_loop.last_plan.reserved_job is not None
        assert not any(isinstance(item, _Pass | View) for item in gc.get_objects())
    finally:
        gc.enable()
