"""What the planner may cost, counted in work, and that it decides what the plain one decides."""

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
from tests import plain
from tests.samples import job_view, machine_view, report, running_task, spec
from tests.test_dispatch import build_scheduling_loop

NOW = Monotonic(1000.0)


def _world(seed: int, machines: int, jobs: int) -> View:
    """A fleet under load: kinds, zones, teams, classes, backfill, boots, and a queue.

    Drawn from a seed: generated one value after the other, views of a hundred machines would be
    the generator's work and not the planner's.
    """
    dice = random.Random(seed)
    paces = {team: EstimateCorrection(dice.uniform(0.7, 1.6)) for team in ("blue", "red")}
    fleet = []
    for number in range(machines):
        size = dice.choice([8.0, 16.0, 64.0])
        left, running = size, list[RunningTask]()
        while left > 0.5 and dice.random() < 0.93:
            cpus = min(left, dice.choice([0.7, 2.0, 3.3, 8.0]))
            team = dice.choice(["blue", "red"])
            backfilled = dice.random() < 0.3
            started = dice.random() < 0.9
            running.append(
                running_task(
                    f"run-{number}{len(running):02d}",
                    now=NOW,
                    ran_s=dice.uniform(0, 90),
                    end_at=NOW + dice.uniform(-20, 60),
                    cpus=cpus,
                    team=team,
                    rank=dice.randrange(3),
                    backfilled=backfilled,
                    stopping=dice.random() < 0.05,
                    correction=paces[team],
                    **({} if started else {"started_at": None, "owner_estimate_s": 20.0}),
                )
            )
            left -= cpus
        fleet.append(
            machine_view(
                f"m-{number:04d}",
                type={8.0: "small", 16.0: "big", 64.0: "huge"}[size],
                zone=dice.choice(["north", "south"]),
                spot=dice.random() < 0.7,
                cpus=left,
                size=size,
                memory_gb=size * 4 - sum(t.memory_gb for t in running),
                ready_at=NOW if running or dice.random() < 0.8 else Monotonic(NOW + 20.0),
                is_expensive=dice.random() < 0.2,
                images={f"img-{dice.randrange(5)}" for _ in range(3)},
                running=running,
            )
        )
    queue = [_job(dice, number) for number in range(jobs)]
    teams = {
        "red": TeamView(30.0, 0.0, 20.0, 0.0, dice.choice([0.0, 60.0]), 0.0),
        "blue": TeamView(50.0, 0.0, dice.choice([0.0, 90.0]), 0.0, 0.0, 0.0),
    }
    expected = dice.choice([None, ExpectedWork(2, dice.uniform(1, 60))])
    return View(fleet, queue, teams, expected, {0: 20.0, 1: 30.0, 2: 10.0})


def _job(dice: random.Random, number: int) -> JobView:
    waiting = dice.randrange(1, 30)
    estimate_s = dice.uniform(0.5, 120)
    return job_view(
        f"job-{number}",
        team=dice.choice(["blue", "red"]),
        rank=dice.randrange(3),
        cpus=dice.choice([0.7, 1.9, 2.0, 4.0, 8.0, 32.0]),
        memory_gb=dice.choice([0.5, 4.0, 30.0]),
        waiting=waiting,
        tasks=waiting + dice.randrange(5),
        waited_s=dice.uniform(0, 1500),
        latest_start_s=dice.choice([(), (dice.uniform(-20, 200), dice.uniform(0, 300))]),
        estimate_s=estimate_s,
        image=f"img-{dice.randrange(5)}",
        image_gb=dice.uniform(0, 4),
        zone=dice.choice([None, None, None, "north"]),
        one_zone=dice.random() < 0.1,
        spread=dice.random() < 0.1,
        spot=dice.random() < 0.8,
        gang=dice.random() < 0.1,
    )


def _offers() -> list[Offer]:
    sizes = {"small": 8.0, "big": 16.0, "huge": 64.0}
    return [
        Offer(name, zone, spot, cpus, 0.0, 4 * cpus, cpus * (0.4 if spot else 1.0), boot_s, 1.0)
        for (name, cpus), boot_s in zip(sizes.items(), (30.0, 30.0, 20.0), strict=True)
        for zone in ("north", "south")
        for spot in (True, False)
    ]


def _decided(result: Plan) -> tuple[Any, ...]:
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
def test_the_planner_decides_what_the_plain_one_decides(
    seed: int, machines: int, jobs: int
) -> None:
    _compare(seed, machines, jobs)


def _compare(seed: int, machines: int, jobs: int) -> None:
    view, same = _world(seed, machines, jobs), _world(seed, machines, jobs)
    quick, slow = plan(view, NOW, Policy()), plain.plan(same, NOW, Policy())
    assert _decided(quick) == _decided(slow)
    # What the pass leaves of the rooms is what renting sees.
    assert [(m.id, m.cpus, m.memory_gb) for m in view.machines] == [
        (m.id, m.cpus, m.memory_gb) for m in same.machines
    ]
    offers = _offers()
    dice = random.Random(seed)
    available = [offer for offer in offers if dice.random() < 0.6]
    wished = rentals(
        quick.unplaced, view.machines, offers, available, NOW, Policy(), quick.affordable
    )
    plainly = plain.rentals(
        slow.unplaced, same.machines, offers, available, NOW, Policy(), slow.affordable
    )
    assert wished == plainly


def _beside_room(view: View, result: Plan, waited_s: float) -> list[str]:
    """Jobs that have waited for so long and are left beside room that nothing is kept in.

    Room of tasks that this pass stops is none yet.
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
        and view.teams[job.team].room(job) > 0
    ]


@settings(max_examples=200)
@given(_seeds, st.integers(1, 40), st.integers(1, 25))
def test_nobody_waits_for_long_beside_room(seed: int, machines: int, jobs: int) -> None:
    view = _world(seed, machines, jobs)
    result = plan(view, NOW, Policy())
    assert not _beside_room(view, result, Policy().any_room_s)


def test_dear_room_is_what_they_waited_beside() -> None:
    policy = Policy(any_room_s=float("inf"))
    found = 0
    for seed in range(300):
        view = _world(seed, 30, 15)
        result = plan(view, NOW, policy)
        found += len(_beside_room(view, result, 60.0))
    assert found > 0


def test_for_a_team_at_its_limit_no_room_is_looked_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """Thousands of its jobs were held against hundreds of machines with room, in every pass."""
    asked: list[str] = []
    whole = planner._Pass._candidates

    def candidates(self: planner._Pass, job: JobView) -> list[MachineView]:
        asked.append(job.id)
        return whole(self, job)

    monkeypatch.setattr(planner._Pass, "_candidates", candidates)
    fleet = [machine_view(f"m-{n:04d}", cpus=8.0, size=8.0, memory_gb=64.0) for n in range(200)]
    queue = [job_view(f"red-{n}", team="red", cpus=2.0, waiting=3, tasks=3) for n in range(500)]
    queue.append(job_view("blue-1", team="blue", cpus=2.0, waiting=3, tasks=3))
    teams = {
        "red": TeamView(60.0, 0.0, 0.0, 0.0, 61.0, 0.0),
        "blue": TeamView(0.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    }
    result = plan(View(fleet, queue, teams, None, {}), NOW, Policy())
    assert asked == ["blue-1"] and len(result.starts) == 3
    # They are no reason for more machines either, nor is any of them the head.
    assert not result.unplaced and result.reserved_job is None


@settings(max_examples=60)
@given(_seeds, st.integers(1, 20))
def test_rooms_for_a_head_are_those_found_by_looking_at_all(seed: int, most: int) -> None:
    view = _world(seed, 40, 3)
    for job in view.jobs:
        quick = reservation.reserve(job, view.machines, NOW, most)
        slow = plain.reserve(job, view.machines, NOW, most)
        assert list(quick.items()) == list(slow.items())


@pytest.mark.parametrize(
    ("where", "name", "broken"),
    [
        (free_capacity, "_ROUNDING", -5.0),
        (planner, "reserve", lambda job, machines, now, most: {}),
    ],
)
def test_a_planner_that_skips_too_much_is_found(
    monkeypatch: pytest.MonkeyPatch, where: Any, name: str, broken: Any
) -> None:
    monkeypatch.setattr(where, name, broken)
    with pytest.raises(AssertionError):
        for seed in range(60):
            _compare(seed, 30, 20)


# -- work, counted --------------------------------------------------------------------------------


def _counted(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, weigh: Callable[..., int]
) -> list[int]:
    counts: list[int] = []
    plainly = getattr(owner, name)

    def counted(*args: Any, **more: Any) -> Any:
        counts.append(weigh(*args, **more))
        return plainly(*args, **more)

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


def test_ends_are_not_worked_out_while_nothing_depends_on_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """5,000 waiting jobs of which none fits, 1,200 machines and 30,000 running tasks."""
    machines = _full_fleet(1200, 25)
    jobs = [job_view(f"job-{n}", cpus=2.0 + n % 3) for n in range(5000)]
    ends = _counted(monkeypatch, reservation, "ends_at", lambda tasks, now: len(tasks))
    fits = _counted(monkeypatch, MachineView, "fits", lambda machine, job: 1)
    result = plan(View(machines, jobs, {}), NOW, Policy())
    assert len(result.unplaced) == 5000 and result.reserved_job is not None
    assert not ends and not fits
    # Asked for, they are the same as those of the plain planner.
    assert result.reservations and sum(ends) == 30_000


def test_of_a_full_fleet_few_machines_are_sorted_for_the_head(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine whose tasks all end later than the rooms found so far is passed over."""
    machines = _full_fleet(1200, 25)
    reached = _counted(
        monkeypatch, reservation, "earliest_fit", lambda job, machine, now, by: by < NOW + 10.0
    )
    job = job_view("job-1", cpus=2.0, waiting=16, tasks=16)
    assert len(reservation.reserve(job, machines, NOW, 16)) <= 16
    assert sum(reached) > 1100


def test_full_rooms_are_not_gone_through_for_every_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """500 jobs wait for 600 machines that are full: wishes were the dearest part of a pass."""
    made: list[FreeCapacity] = []
    plainly = FreeCapacity.__init__

    def kept(rooms: FreeCapacity, *args: Any) -> None:
        made.append(rooms)
        plainly(rooms, *args)

    monkeypatch.setattr(FreeCapacity, "__init__", kept)
    machines = _full_fleet(600, 4)
    offer = Offer("big", "north", False, 32.0, 0.0, 128.0, 1.0, 35.0, 1.0)
    jobs = [
        (job_view(f"job-{n}", cpus=8.0, waiting=35, tasks=35, estimate_s=40.0 + n % 30), 35)
        for n in range(500)
    ]
    wished = rentals(jobs, machines, [offer], [offer], NOW, Policy())
    assert sum(r.count for r in wished) > 1000
    # Not one for every pair of a job and a room that was there or was wished for before it.
    pairs = 500 * (600 + 0.5 * sum(r.count for r in wished))
    assert 600 < made[0].inspected < 0.08 * pairs


def test_stops_look_at_backfilled_tasks_only(monkeypatch: pytest.MonkeyPatch) -> None:
    looked = _counted(monkeypatch, preemption, "is_preemptible", lambda *_: 1)
    machines = _full_fleet(600, 16, rank=0)
    filled = _full_fleet(3, 16, rank=0, backfilled=True)
    head = job_view("job-1", rank=2, cpus=4.0, waiting=4, tasks=4)
    result = plan(View([*machines, *filled], [head], {}), NOW, Policy())
    assert result.stops
    assert len(looked) <= 16 * 3 * 5


# -- a large fleet in the leader's memory --------------------------------------------------------


class _Large:
    """1,200 machines of 32 processors that are heard, with tasks of a few jobs on them."""

    def __init__(self, tasks: int) -> None:
        self.scheduling_loop, self.fleet, self.job_store, self.provisioner = build_scheduling_loop()
        self.now = 100.0
        self.sequence = 0
        self.names = [MachineId(f"m-{n:06d}") for n in range(1200)]
        for name in self.names:
            self.beat(name)
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
            self.beat(name)
        self.survey()

    def beat(self, name: MachineId, ended: str = "") -> None:
        self.sequence += 1
        machine = self.fleet.machines.get(name)
        bound = machine.bindings.values() if machine is not None else ()
        lines: list[tuple[str, int, str, str | None]] = [
            (str(b.task), int(b.attempt), *(("ended", "done") if str(b.task) == ended else _RUNS))
            for b in bound
        ]
        heard = report(name, 1, self.sequence, 1, lines)
        heard = msgspec.structs.replace(heard, type="huge")
        self.fleet.heartbeats.process(heard, name, Monotonic(self.now), Wall(self.now))

    def survey(self) -> list[MachineView]:
        return self.scheduling_loop.snapshots._survey(Monotonic(self.now))[0]


_RUNS: tuple[str, str | None] = ("running", None)


def test_of_a_large_fleet_one_report_that_changes_nothing_costs_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """1,200 machines, 30,000 running tasks."""
    world = _Large(25)
    lists = _counted(monkeypatch, Reconciler, "reconcile", lambda *_, **__: 1)
    fresh = _counted(monkeypatch, SnapshotBuilder, "_fresh", lambda *_: 1)
    asked = _counted(monkeypatch, SnapshotBuilder, "_machine", lambda *_: 1)
    world.beat(world.names[7])
    assert len(world.survey()) == 1200
    assert not lists and not fresh and not asked


def test_a_job_that_ends_task_by_task_costs_a_view_a_task(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = _Large(4)
    fresh = _counted(monkeypatch, SnapshotBuilder, "_fresh", lambda *_: 1)
    taken = _counted(monkeypatch, Reconciler, "_progress", lambda *_: 1)
    for name in world.names[:200]:
        ended = next(iter(world.fleet.machines[name].bindings_by_name))
        world.beat(name, ended)
        world.survey()
    assert len(fresh) == 200 and len(taken) == 200
    assert sum(job.done_count for job in world.jobs) == 200


def test_a_wave_of_silent_machines_costs_those_that_are_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """600 of 1,200 fall silent and come back."""
    world = _Large(4)
    world.now += 6.0
    for name in world.names[:600]:
        world.beat(name)
    asked = _counted(monkeypatch, SnapshotBuilder, "_machine", lambda *_: 1)
    fresh = _counted(monkeypatch, SnapshotBuilder, "_fresh", lambda *_: 1)
    assert len(world.survey()) == 600
    assert len(asked) == 600 and not fresh
    for name in world.names[600:]:
        world.beat(name)
    asked.clear()
    assert len(world.survey()) == 1200 and not asked and not fresh


def test_lost_tasks_are_looked_at_by_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """2,000 tasks of four jobs lapse with 500 machines, and are placed again in one pass."""
    world = _Large(4)
    terminated = world.names[:500]
    world.now += 9.0
    for name in world.names[500:]:
        world.beat(name)
    world.fleet.leases.expire_leases(Monotonic(world.now))
    assert all(world.fleet.machines[name].lease_expired for name in terminated)
    assert sum(job.waiting for job in world.jobs) == 2000
    looks = _counted(monkeypatch, planner._Pass, "_candidates", lambda *_: 1)
    world.scheduling_loop.run(Monotonic(world.now), Wall(world.now))
    assert len(looks) == 4
