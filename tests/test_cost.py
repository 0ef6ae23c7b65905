"""The planner's work, counted in operations, and its equivalence to the reference planner."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tealrill.fleet.reconciliation import Reconciler
from tealrill.fleet.snapshot import SnapshotBuilder
from tealrill.scheduler import free_capacity, preemption, reservation
from tealrill.scheduler import plan as planner
from tealrill.scheduler.capacity import Offer, rentals
from tealrill.scheduler.free_capacity import FreeCapacity
from tealrill.scheduler.model import (
    EstimateCorrection,
    ExpectedWork,
    JobView,
    MachineView,
    Plan,
    Policy,
    RunningTask,
    TeamView,
    View,
)
from tealrill.scheduler.plan import plan
from tealrill.types import MachineId, Monotonic, Revision, Wall
from tests import reference_planner
from tests.samples import job_view, machine_view, make_heartbeat, running_task, spec
from tests.test_dispatch import build_scheduling_loop

NOW = Monotonic(1000.0)


def _loaded_view(seed: int, machines: int, jobs: int) -> View:
    """Return a loaded fleet: kinds, zones, teams, classes, backfill, boots, and a queue.

    It is drawn from a seed, because generating views of a hundred machines value by value would
    take the property test's generator longer than the planner.
    """
    rng = random.Random(seed)
    corrections = {team: EstimateCorrection(rng.uniform(0.7, 1.6)) for team in ("blue", "red")}
    fleet = []
    for number in range(machines):
        size = rng.choice([8.0, 16.0, 64.0])
        left, running = size, list[RunningTask]()
        while left > 0.5 and rng.random() < 0.93:
            cpus = min(left, rng.choice([0.7, 2.0, 3.3, 8.0]))
            team = rng.choice(["blue", "red"])
            backfilled = rng.random() < 0.3
            started = rng.random() < 0.9
            running.append(
                running_task(
                    f"run-{number}{len(running):02d}",
                    now=NOW,
                    ran_s=rng.uniform(0, 90),
                    end_at=NOW + rng.uniform(-20, 60),
                    cpus=cpus,
                    team=team,
                    rank=rng.randrange(3),
                    backfilled=backfilled,
                    stopping=rng.random() < 0.05,
                    correction=corrections[team],
                    **({} if started else {"started_at": None, "owner_estimate_s": 20.0}),
                )
            )
            left -= cpus
        fleet.append(
            machine_view(
                f"m-{number:04d}",
                type={8.0: "small", 16.0: "big", 64.0: "huge"}[size],
                zone=rng.choice(["north", "south"]),
                spot=rng.random() < 0.7,
                cpus=left,
                size=size,
                memory_gb=size * 4 - sum(t.memory_gb for t in running),
                ready_at=NOW if running or rng.random() < 0.8 else Monotonic(NOW + 20.0),
                is_expensive=rng.random() < 0.2,
                images={f"img-{rng.randrange(5)}" for _ in range(3)},
                running=running,
            )
        )
    queue = [_job(rng, number) for number in range(jobs)]
    teams = {
        "red": TeamView(30.0, 0.0, 20.0, 0.0, rng.choice([0.0, 60.0]), 0.0),
        "blue": TeamView(50.0, 0.0, rng.choice([0.0, 90.0]), 0.0, 0.0, 0.0),
    }
    expected = rng.choice([None, ExpectedWork(2, rng.uniform(1, 60))])
    return View(fleet, queue, teams, expected, {0: 20.0, 1: 30.0, 2: 10.0})


def _job(rng: random.Random, number: int) -> JobView:
    waiting = rng.randrange(1, 30)
    estimate_s = rng.uniform(0.5, 120)
    return job_view(
        f"job-{number}",
        team=rng.choice(["blue", "red"]),
        rank=rng.randrange(3),
        cpus=rng.choice([0.7, 1.9, 2.0, 4.0, 8.0, 32.0]),
        memory_gb=rng.choice([0.5, 4.0, 30.0]),
        waiting=waiting,
        tasks=waiting + rng.randrange(5),
        waited_s=rng.uniform(0, 1500),
        latest_start_s=rng.choice([(), (rng.uniform(-20, 200), rng.uniform(0, 300))]),
        estimate_s=estimate_s,
        image=f"img-{rng.randrange(5)}",
        image_gb=rng.uniform(0, 4),
        zone=rng.choice([None, None, None, "north"]),
        one_zone=rng.random() < 0.1,
        spread=rng.random() < 0.1,
        spot=rng.random() < 0.8,
        gang=rng.random() < 0.1,
    )


def _offers() -> list[Offer]:
    sizes = {"small": 8.0, "big": 16.0, "huge": 64.0}
    return [
        Offer(name, zone, spot, cpus, 0.0, 4 * cpus, cpus * (0.4 if spot else 1.0), boot_s, 1.0)
        for (name, cpus), boot_s in zip(sizes.items(), (30.0, 30.0, 20.0), strict=True)
        for zone in ("north", "south")
        for spot in (True, False)
    ]


def _decisions(result: Plan) -> tuple[Any, ...]:
    return (
        result.starts,
        result.stops,
        result.reserved_job,
        result.reservations,
        [(job.id, left) for job, left in result.unplaced],
        {job.id for job in result.affordable},
    )


_seeds = st.integers(0, 2**32)


@settings(max_examples=150)
@given(_seeds, st.integers(0, 40), st.integers(0, 25))
def test_planner_matches_reference_planner(seed: int, machines: int, jobs: int) -> None:
    _compare(seed, machines, jobs)


def _compare(seed: int, machines: int, jobs: int) -> None:
    view, reference_view = _loaded_view(seed, machines, jobs), _loaded_view(seed, machines, jobs)
    optimized, reference = (
        plan(view, NOW, Policy()),
        reference_planner.plan(reference_view, NOW, Policy()),
    )
    assert _decisions(optimized) == _decisions(reference)
    # Scale-out works on the capacity that the pass leaves.
    assert [(m.id, m.cpus, m.memory_gb) for m in view.machines] == [
        (m.id, m.cpus, m.memory_gb) for m in reference_view.machines
    ]
    offers = _offers()
    rng = random.Random(seed)
    available = [offer for offer in offers if rng.random() < 0.6]
    rented = rentals(
        optimized.unplaced, view.machines, offers, available, NOW, Policy(), optimized.affordable
    )
    reference_rentals = reference_planner.rentals(
        reference.unplaced,
        reference_view.machines,
        offers,
        available,
        NOW,
        Policy(),
        reference.affordable,
    )
    assert rented == reference_rentals


def _waiting_beside_free_capacity(view: View, result: Plan, waited_s: float) -> list[str]:
    """Return the jobs that have waited for `waited_s` beside capacity that is not reserved.

    Capacity of tasks that this pass preempts is not free yet.
    """
    stopped = {stop.task for stop in result.stops}
    return [
        job.id
        for job, left in result.unplaced
        if job.waited_s >= waited_s and not job.gang and left > 0
        for machine in view.machines
        if machine.ready_at <= NOW
        and machine.id not in result.reservations
        and stopped.isdisjoint(task.task for task in machine.running)
        and machine.fits(job)
        and machine.allows(job)
        and job.tasks_allowed_in_zone(machine.zone) > 0
        and view.teams[job.team].tasks_within_limit(job) > 0
    ]


@settings(max_examples=200)
@given(_seeds, st.integers(1, 40), st.integers(1, 25))
def test_no_job_waits_long_beside_free_capacity(seed: int, machines: int, jobs: int) -> None:
    view = _loaded_view(seed, machines, jobs)
    result = plan(view, NOW, Policy())
    assert not _waiting_beside_free_capacity(view, result, Policy().inexpensive_only_s)


def test_jobs_wait_beside_expensive_capacity_without_time_limit() -> None:
    policy = Policy(inexpensive_only_s=float("inf"))
    count = 0
    for seed in range(300):
        view = _loaded_view(seed, 30, 15)
        result = plan(view, NOW, policy)
        count += len(_waiting_beside_free_capacity(view, result, 60.0))
    assert count > 0


def test_no_machines_are_examined_for_team_at_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise each pass checks thousands of its jobs against hundreds of machines with room."""
    examined: list[str] = []
    original_candidates = planner._Pass._candidates

    def candidates(self: planner._Pass, job: JobView) -> list[MachineView]:
        examined.append(job.id)
        return original_candidates(self, job)

    monkeypatch.setattr(planner._Pass, "_candidates", candidates)
    fleet = [machine_view(f"m-{n:04d}", cpus=8.0, size=8.0, memory_gb=64.0) for n in range(200)]
    queue = [job_view(f"red-{n}", team="red", cpus=2.0, waiting=3, tasks=3) for n in range(500)]
    queue.append(job_view("blue-1", team="blue", cpus=2.0, waiting=3, tasks=3))
    teams = {
        "red": TeamView(60.0, 0.0, 0.0, 0.0, 61.0, 0.0),
        "blue": TeamView(0.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    }
    result = plan(View(fleet, queue, teams, None, {}), NOW, Policy())
    assert examined == ["blue-1"] and len(result.starts) == 3
    # They cause no scale-out either, and none of them becomes the reserved job.
    assert not result.unplaced and result.reserved_job is None


@settings(max_examples=60)
@given(_seeds, st.integers(1, 20))
def test_reservation_matches_reference(seed: int, limit: int) -> None:
    view = _loaded_view(seed, 40, 3)
    for job in view.jobs:
        optimized = reservation.reserve(job, view.machines, NOW, limit)
        reference = reference_planner.reserve(job, view.machines, NOW, limit)
        assert list(optimized.items()) == list(reference.items())


@pytest.mark.parametrize(
    ("where", "name", "broken"),
    [
        (free_capacity, "_ROUNDING", -5.0),
        (planner, "reserve", lambda job, machines, now, limit: {}),
    ],
)
def test_mutant_that_skips_too_much_is_detected(
    monkeypatch: pytest.MonkeyPatch, where: Any, name: str, broken: Any
) -> None:
    monkeypatch.setattr(where, name, broken)
    with pytest.raises(AssertionError):
        for seed in range(60):
            _compare(seed, 30, 20)


# -- operation counts -----------------------------------------------------------------------------


def _record_calls(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, measure: Callable[..., int]
) -> list[int]:
    counts: list[int] = []
    original = getattr(owner, name)

    def counted(*args: Any, **kwargs: Any) -> Any:
        counts.append(measure(*args, **kwargs))
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, counted)
    return counts


def _full_fleet(machines: int, tasks: int, **changes: Any) -> list[MachineView]:
    return [
        machine_view(
            f"m-{number:04d}",
            cpus=0.0,
            size=32.0,
            running=[
                running_task(
                    f"run-{number}{place:02d}",
                    now=NOW,
                    ran_s=1.0 + (7 * number + place) % 50,
                    end_at=NOW + (13 * number + 5 * place) % 97,
                    cpus=32.0 / tasks,
                    **changes,
                )
                for place in range(tasks)
            ],
        )
        for number in range(machines)
    ]


def test_expected_ends_are_computed_only_on_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """5,000 waiting jobs of which none fits, 1,200 machines and 30,000 running tasks."""
    machines = _full_fleet(1200, 25)
    jobs = [job_view(f"job-{n}", cpus=2.0 + n % 3) for n in range(5000)]
    ends = _record_calls(monkeypatch, reservation, "expected_ends", lambda tasks, now: len(tasks))
    fits = _record_calls(monkeypatch, MachineView, "fits", lambda machine, job: 1)
    result = plan(View(machines, jobs, {}), NOW, Policy())
    assert len(result.unplaced) == 5000 and result.reserved_job is not None
    assert not ends and not fits
    # The first use computes all of them.
    assert result.reservations and sum(ends) == 30_000


def test_reservation_sorts_few_machines_of_full_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine whose tasks all end later than the fits found so far is passed over."""
    machines = _full_fleet(1200, 25)
    within_bound = _record_calls(
        monkeypatch, reservation, "earliest_fit", lambda job, machine, now, by: by < NOW + 10.0
    )
    job = job_view("job-1", cpus=2.0, waiting=16, tasks=16)
    assert len(reservation.reserve(job, machines, NOW, 16)) <= 16
    assert sum(within_bound) > 1100


def test_scale_out_skips_full_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """500 jobs, 600 full machines: examining every pair was the most expensive part of a pass."""
    instances: list[FreeCapacity] = []
    original = FreeCapacity.__init__

    def recorded(instance: FreeCapacity, *args: Any) -> None:
        instances.append(instance)
        original(instance, *args)

    monkeypatch.setattr(FreeCapacity, "__init__", recorded)
    machines = _full_fleet(600, 4)
    offer = Offer("big", "north", False, 32.0, 0.0, 128.0, 1.0, 35.0, 1.0)
    jobs = [
        (job_view(f"job-{n}", cpus=8.0, waiting=35, tasks=35, estimate_s=40.0 + n % 30), 35)
        for n in range(500)
    ]
    rented = rentals(jobs, machines, [offer], [offer], NOW, Policy())
    assert sum(r.count for r in rented) > 1000
    # Far fewer than one for each pair of a job and a machine, existing or requested before it.
    job_machine_pairs = 500 * (600 + 0.5 * sum(r.count for r in rented))
    assert 600 < instances[0].inspected < 0.08 * job_machine_pairs


def test_preemption_examines_only_backfilled_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    examined = _record_calls(monkeypatch, preemption, "is_preemptible", lambda *_: 1)
    machines = _full_fleet(600, 16, rank=0)
    backfilled_machines = _full_fleet(3, 16, rank=0, backfilled=True)
    reserved_job = job_view("job-1", rank=2, cpus=4.0, waiting=4, tasks=4)
    result = plan(View([*machines, *backfilled_machines], [reserved_job], {}), NOW, Policy())
    assert result.stops
    assert len(examined) <= 16 * 3 * 5


# -- a large fleet in the leader's memory --------------------------------------------------------


class _LargeFleet:
    """1,200 live machines of 32 processors, with tasks of a few jobs on them."""

    def __init__(self, tasks: int) -> None:
        self.scheduling_loop, self.fleet, self.job_store, self.provisioner = build_scheduling_loop()
        self.now = 100.0
        self.sequence = 0
        self.names = [MachineId(f"m-{n:06d}") for n in range(1200)]
        for name in self.names:
            self.heartbeat(name)
        self.jobs = [
            self.job_store.add(
                spec(id=f"wk-{n:06d}", pieces=1200, vcpus=32.0 / tasks, memoryGb=0.1),
                Wall(0.0),
                Revision(1),
            )
            for n in range(tasks)
        ]
        for job in self.jobs:
            for name in self.names:
                machine = self.fleet.machines[name]
                bound = self.fleet.bind(job, machine, False, Wall(0.0), Monotonic(self.now))
                assert bound is not None
        for name in self.names:
            self.heartbeat(name)
        self.survey()

    def heartbeat(self, name: MachineId, ended: str = "") -> None:
        self.sequence += 1
        machine = self.fleet.machines.get(name)
        bound = machine.bindings.values() if machine is not None else ()
        lines: list[tuple[str, int, str, str | None]] = [
            (
                str(b.task),
                int(b.attempt),
                *(("ended", "done") if str(b.task) == ended else _RUNNING),
            )
            for b in bound
        ]
        message = make_heartbeat(name, 1, self.sequence, 1, lines)
        message = msgspec.structs.replace(message, type="huge")
        self.fleet.heartbeats.process(message, name, Monotonic(self.now), Wall(self.now))

    def survey(self) -> list[MachineView]:
        return self.scheduling_loop.snapshots._survey(Monotonic(self.now))[0]


_RUNNING: tuple[str, str | None] = ("running", None)


def test_unchanged_heartbeat_rebuilds_no_view(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """1,200 machines, 30,000 running tasks."""
    cluster = _LargeFleet(25)
    reconciliations = _record_calls(monkeypatch, Reconciler, "reconcile", lambda *_, **__: 1)
    rebuilt = _record_calls(monkeypatch, SnapshotBuilder, "_build_view", lambda *_: 1)
    examined = _record_calls(monkeypatch, SnapshotBuilder, "_available_view", lambda *_: 1)
    cluster.heartbeat(cluster.names[7])
    assert len(cluster.survey()) == 1200
    assert not reconciliations and not rebuilt and not examined


def test_each_completed_task_rebuilds_one_view(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = _LargeFleet(4)
    rebuilt = _record_calls(monkeypatch, SnapshotBuilder, "_build_view", lambda *_: 1)
    progressed = _record_calls(monkeypatch, Reconciler, "_apply_status", lambda *_: 1)
    for name in cluster.names[:200]:
        ended = next(iter(cluster.fleet.machines[name].bindings_by_name))
        cluster.heartbeat(name, ended)
        cluster.survey()
    assert len(rebuilt) == 200 and len(progressed) == 200
    assert sum(job.done_count for job in cluster.jobs) == 200


def test_mass_silence_examines_only_silent_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """600 of 1,200 machines fall silent and recover."""
    cluster = _LargeFleet(4)
    cluster.now += 6.0
    for name in cluster.names[:600]:
        cluster.heartbeat(name)
    examined = _record_calls(monkeypatch, SnapshotBuilder, "_available_view", lambda *_: 1)
    rebuilt = _record_calls(monkeypatch, SnapshotBuilder, "_build_view", lambda *_: 1)
    assert len(cluster.survey()) == 600
    assert len(examined) == 600 and not rebuilt
    for name in cluster.names[600:]:
        cluster.heartbeat(name)
    examined.clear()
    assert len(cluster.survey()) == 1200 and not examined and not rebuilt


def test_expired_tasks_are_placed_with_one_search_per_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """The leases of 500 machines expire; 2,000 tasks of four jobs are bound again in one pass."""
    cluster = _LargeFleet(4)
    silent_names = cluster.names[:500]
    cluster.now += 9.0
    for name in cluster.names[500:]:
        cluster.heartbeat(name)
    cluster.fleet.leases.expire_leases(Monotonic(cluster.now))
    assert all(cluster.fleet.machines[name].lease_expired for name in silent_names)
    assert sum(job.waiting for job in cluster.jobs) == 2000
    searches = _record_calls(monkeypatch, planner._Pass, "_candidates", lambda *_: 1)
    cluster.scheduling_loop.run(Monotonic(cluster.now), Wall(cluster.now))
    assert len(searches) == 4
