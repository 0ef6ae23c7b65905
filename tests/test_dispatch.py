"""From memory to plan and back: which machines are rented, kept and given back."""

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
from tests.samples import SETTINGS, recorded_at_once, report, spec

_MACHINE_TYPE = {
    "label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "localGb": 50, "fetchGbPerS": 1.0,
    "price": 1.0, "marketPrice": 0.4, "startupS": 20, "halls": ["north"],
}  # fmt: skip

_LARGE = {**_MACHINE_TYPE, "label": "huge", "vcpus": 32}


class _NoRentals(Provisioner):
    def rent(self, rental: Any, now: Monotonic) -> None:
        self.asked = getattr(self, "asked", 0) + rental.count


def build_scheduling_loop(
    heartbeat_interval_s: float = 0.0, types: Sequence[dict[str, Any]] = (_MACHINE_TYPE, _LARGE)
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
    provisioner = _NoRentals(cast(Cloud, None), fleet, FencingToken(1), 2.0, *recorded_at_once())
    provisioner.set_catalogue(wire.decode(orjson.dumps({"builds": list(types)}), wire.Catalogue))
    scheduling_loop = SchedulingLoop(
        job_store, fleet, provisioner, Estimates(), params, lambda _: None
    )
    return scheduling_loop, fleet, job_store, provisioner


def _beat(fleet: Fleet, sequence: int, now: float) -> None:
    fleet.heartbeats.process(
        report("m-1", 1, sequence, 1), MachineId("m-1"), Monotonic(now), Wall(now)
    )


def test_an_idle_machine_goes_back_though_tasks_wait_that_do_not_fit_it() -> None:
    scheduling_loop, fleet, job_store, provisioner = build_scheduling_loop()
    job_store.add(spec(vcpus=32.0), Wall(0.0), Revision(1))
    for second in range(100):
        _beat(fleet, second + 1, float(second))
        scheduling_loop.run(Monotonic(float(second)), Wall(float(second)))
    assert provisioner.asked > 0
    assert fleet.machines[MachineId("m-1")].releasing


def test_a_job_is_placed_and_its_binding_waits_for_the_record() -> None:
    scheduling_loop, fleet, job_store, _ = build_scheduling_loop()
    job = job_store.add(spec(pieces=2), Wall(0.0), Revision(1))
    _beat(fleet, 1, 0.0)
    scheduling_loop.run(Monotonic(0.0), Wall(0.0))
    assert job.bound_count == 2
    machine = fleet.machines[MachineId("m-1")]
    assert fleet.commands.direct_starts(machine) == []
    for chunk in job.chunks.values():
        chunk.committed = chunk.version
    assert len(fleet.commands.direct_starts(machine)) == 2


def test_a_wish_for_machines_that_was_put_off_brings_another_pass_soon() -> None:
    """The reckoning is not made in every pass, and a burst must not wait for the next idle one."""
    scheduling_loop, _, job_store, provisioner = build_scheduling_loop()
    job_store.add(spec(vcpus=32.0), Wall(0.0), Revision(1))
    scheduling_loop.run(Monotonic(0.0), Wall(0.0))
    asked = provisioner.asked
    job_store.add(spec(id="wk-000413", vcpus=32.0), Wall(0.0), Revision(2))
    scheduling_loop.run(Monotonic(0.1), Wall(0.1))
    assert scheduling_loop.autoscaler.rental_deferred and provisioner.asked == asked
    scheduling_loop.run(Monotonic(RENT_INTERVAL_S), Wall(RENT_INTERVAL_S))
    assert not scheduling_loop.autoscaler.rental_deferred and provisioner.asked > asked


class _Play:
    """Some machines and jobs, and what may happen to them."""

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

    def beat(self, name: str, state: str, incarnation: int = 1, **changes: Any) -> None:
        """A report in which all that is bound to the machine has this state."""
        self.sequence += 1
        machine = self.fleet.machines.get(MachineId(name))
        bound = machine.bindings.values() if machine is not None and incarnation == 1 else ()
        why = "done" if state == "ended" else None
        lines = [(str(b.task), int(b.attempt), state, why) for b in bound]
        heard = msgspec.structs.replace(
            report(name, incarnation, self.sequence, 1, lines), **changes
        )
        self.fleet.heartbeats.process(heard, MachineId(name), Monotonic(self.now), Wall(self.now))

    def stop(self) -> None:
        for job in list(self.job_store.jobs.values()):
            for binding in list(job.bindings())[:1]:
                self.fleet.commands.stop(binding, "preemption", 5.0, Monotonic(self.now))

    def check(self) -> None:
        kept = _plain(
            self.scheduling_loop.snapshots.view(Monotonic(self.now), Wall(self.now)).machines
        )
        for machine in self.fleet.machines.values():
            machine.touch()
            if isinstance(machine, _Sticky):
                machine.forget()
        assert kept == _plain(
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
                    self.beat(name, "running")
                case 7:
                    self.beat(name, "ended")
                case 8:
                    self.stop()
                case 9:
                    self.beat(name, "running", type="huge")
                case 10:
                    self.beat(name, "pulling", incarnation=2 + step // 60)
            self.check()


class _Sticky(Machine):
    """A machine whose view is not dropped when something in it changes."""

    def forget(self) -> None:
        super().__setattr__("view", None)

    def __setattr__(self, name: str, value: Any) -> None:
        if name != "view" or value is not None or not hasattr(self, "view"):
            super().__setattr__(name, value)


def _plain(views: list[MachineView]) -> list[dict[str, Any]]:
    return [dataclasses.asdict(view) for view in views]


_STEPS = st.lists(st.integers(0, 109), max_size=60)


@given(_STEPS)
def test_views_that_are_kept_are_those_made_afresh(steps: list[int]) -> None:
    _Play().run([5, 16, 27, 0, 1, 2, *steps])


def test_a_kept_view_that_is_never_dropped_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (heartbeats, inventory):
        monkeypatch.setattr(module, "Machine", _Sticky)
    with pytest.raises(AssertionError):
        _Play().run([5, 16, 27, 0, 1, 2, 5, 16, 27])


def test_a_view_does_not_outlive_the_catalogue_that_it_was_made_with() -> None:
    """A machine that was silent when the catalogue changed came back with its old view."""
    play = _Play()
    play.run([5, 16, 27])
    play.now += 10.0
    larger = {"builds": [{**_MACHINE_TYPE, "vcpus": 12}]}
    play.provisioner.set_catalogue(wire.decode(orjson.dumps(larger), wire.Catalogue))
    assert not play.scheduling_loop.snapshots.view(Monotonic(play.now), Wall(play.now)).machines
    play.beat("m-1", "running")
    play.check()


def test_a_pass_after_one_report_makes_one_view(monkeypatch: pytest.MonkeyPatch) -> None:
    """Views of every machine and task, made anew ten times a second, were most of a pass."""
    play = _Play()
    play.run([5, 16, 27, 0, 1, 2])
    made: list[MachineId] = []
    fresh = play.scheduling_loop.snapshots._fresh

    def counted(machine: Machine, kind: wire.MachineType) -> MachineView:
        made.append(machine.id)
        return fresh(machine, kind)

    play.scheduling_loop.snapshots.view(Monotonic(play.now), Wall(play.now))
    monkeypatch.setattr(play.scheduling_loop.snapshots, "_fresh", counted)
    play.beat("m-1", "running")
    play.scheduling_loop.snapshots.view(Monotonic(play.now), Wall(play.now))
    assert made == ["m-1"]
    play.beat("m-1", "running")
    play.scheduling_loop.snapshots.view(Monotonic(play.now), Wall(play.now))
    assert made == ["m-1"]


def test_a_report_that_says_nothing_new_is_not_gone_through(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hundreds a second say the same as the ones before."""
    play = _Play()
    play.run([5, 16, 27, 0, 1, 2, 5, 16, 27, 5])
    machine = play.fleet.machines[MachineId("m-2")]
    read: list[str] = []
    taken: list[str] = []
    reconcile, progress = Reconciler.reconcile, Reconciler._progress

    def counted(self: Reconciler, of: Machine, *rest: Any, **more: Any) -> None:
        read.append(of.id)
        reconcile(self, of, *rest, **more)

    def counted_progress(self: Reconciler, of: Machine, *rest: Any) -> None:
        taken.append(of.id)
        progress(self, of, *rest)

    monkeypatch.setattr(Reconciler, "reconcile", counted)
    monkeypatch.setattr(Reconciler, "_progress", counted_progress)
    assert machine.bindings
    play.beat("m-2", "running")
    read.clear()
    taken.clear()
    play.beat("m-2", "running")
    assert not read
    play.beat("m-2", "flushing")
    assert len(read) == 1 and len(taken) == len(machine.bindings)


def test_of_a_list_with_one_change_one_line_is_taken_in(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a machine with many tasks nearly every report brings a change of one of them."""
    play = _Play()
    job_store, fleet = play.job_store, play.fleet
    play.beat("m-1", "running")
    machine = fleet.machines[MachineId("m-1")]
    job = job_store.add(spec(pieces=100, vcpus=0.01, memoryGb=0.01), Wall(0.0), Revision(1))
    for _ in range(100):
        assert fleet.bind(job, machine, False, Wall(0.0), Monotonic(play.now)) is not None
    play.beat("m-1", "running")
    parsed: list[str] = []
    taken: list[TaskId] = []
    progress = Reconciler._progress

    def counted(text: str) -> TaskId | None:
        parsed.append(text)
        return parse_task_id(text)

    def counted_progress(of: Reconciler, machine: Machine, binding: Any, *rest: Any) -> None:
        taken.append(binding.task)
        progress(of, machine, binding, *rest)

    monkeypatch.setattr(reconciliation, "parse_task_id", counted)
    monkeypatch.setattr(Reconciler, "_progress", counted_progress)
    ended = next(iter(machine.bindings))
    play.sequence += 1
    lines = [
        (str(b.task), int(b.attempt), "ended" if b.task == ended else "running",
         "done" if b.task == ended else None)
        for b in machine.bindings.values()
    ]  # fmt: skip
    heard = report("m-1", 1, play.sequence, 1, lines)
    fleet.heartbeats.process(heard, machine.id, Monotonic(play.now), Wall(play.now))
    assert taken == [ended] and not parsed
    assert len(machine.bindings) == 99 and job.done_count == 1


def test_a_stop_goes_with_the_answer_to_a_report_that_says_nothing_new() -> None:
    play = _Play()
    play.run([5, 16, 27, 0, 1, 2, 5, 16, 27, 5])
    machine = play.fleet.machines[MachineId("m-2")]
    lines: list[tuple[str, int, str, str | None]] = [
        (str(b.task), int(b.attempt), "running", None) for b in machine.bindings.values()
    ]

    def beat(sequence: int) -> list[dict[str, Any]] | None:
        heard = report("m-2", 1, 1000 + sequence, 1, lines)
        return play.fleet.heartbeats.process(heard, machine.id, Monotonic(play.now), Wall(play.now))

    assert lines and beat(1) == [] and beat(2) == []
    binding = next(iter(machine.bindings.values()))
    play.fleet.commands.stop(binding, "preemption", 0.0, Monotonic(play.now))
    stop = wire.stop(str(binding.task), binding.attempt, 0.0)
    # Repeated until it is seen to be carried out.
    assert (beat(3), beat(4)) == ([stop], [stop])


@pytest.mark.parametrize(
    ("took_s", "gap_s"), [(0.0, 0.1), (0.01, 0.1), (0.1, 0.3), (0.4, 1.2), (5.0, 2.0)]
)
def test_a_dear_pass_leaves_time_for_the_rest(took_s: float, gap_s: float) -> None:
    """On a node that computed several times slower, passes held up reports and renewals."""
    assert pass_gap_s(took_s) == pytest.approx(gap_s)


def _finish_jobs(play: _Play, count: int) -> None:
    """So many jobs from submission to the end of their records."""
    for _ in range(count):
        play.now += 1.0
        job = play.job_store.add(
            spec(id=f"wk-{play.jobs:06d}", pieces=1), Wall(play.now), Revision(1)
        )
        play.jobs += 1
        play.beat("m-1", "ended")  # nothing is bound: an empty report
        play.scheduling_loop.run(Monotonic(play.now), Wall(play.now))
        for chunk in job.chunks.values():
            chunk.committed = chunk.version
        play.beat("m-1", "ended")
        for chunk in job.chunks.values():
            chunk.committed, chunk.mod_revision = chunk.version, Revision(play.jobs)
        assert job.complete
        play.job_store.ended(job)
        play.job_store.orphaned_chunks.clear()  # the records are removed
        play.beat("m-1", "running")


def test_nothing_is_kept_of_ten_thousand_finished_jobs() -> None:
    """A service that runs for months has a bounded memory."""
    play = _Play()
    _finish_jobs(play, 200)
    gc.collect()
    before = len(gc.get_objects())
    _finish_jobs(play, 10_000)
    gc.collect()
    assert not play.job_store.jobs and not play.job_store.ending_jobs
    assert not play.job_store.urgent_chunks and not play.job_store.deferred_chunks
    assert len(gc.get_objects()) < before + 500


def test_finished_jobs_do_not_wait_for_the_collector() -> None:
    """Left in a ring with their chunks, 10,000 of them lay about in 20 MB until it looked."""
    play = _Play()
    gc.collect()
    gc.disable()
    try:
        _finish_jobs(play, 100)
        assert sum(isinstance(found, Job) for found in gc.get_objects()) <= 2
    finally:
        gc.enable()


def test_a_pass_does_not_wait_for_the_collector() -> None:
    """In a ring with its plan it kept the view of the whole fleet: a leader held 10 MB more."""
    play = _Play()
    play.run([5, 16, 27, 0, 1, 0, 1, 0, 1, 2])
    gc.collect()
    gc.disable()
    try:
        for _ in range(5):
            play.submit()
            play.now += 1.0
            play.scheduling_loop.run(Monotonic(play.now), Wall(play.now))
        assert play.scheduling_loop.last_plan.reserved_job is not None
        assert not any(isinstance(found, _Pass | View) for found in gc.get_objects())
    finally:
        gc.enable()
