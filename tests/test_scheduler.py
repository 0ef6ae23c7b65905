"""The paper's rules, on views written by hand and generated ones."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill.scheduler import capacity
from tealrill.scheduler.capacity import Offer, rentals
from tealrill.scheduler.estimates import Estimates
from tealrill.scheduler.model import (
    EstimateCorrection,
    ExpectedWork,
    JobView,
    MachineView,
    Policy,
    TeamView,
    View,
    expected_ends,
    remaining_s,
)
from tealrill.scheduler.plan import plan
from tealrill.scheduler.queue import affordable, order
from tealrill.types import JobId, Monotonic
from tests.samples import job_view, machine_view, running_task

NOW = Monotonic(10.0)


def test_waiting_raises_priority_to_head_of_queue() -> None:
    urgent = job_view("new-1", rank=3)
    old = job_view("old-1", rank=0, waited_s=4 * Policy().aging_s)
    assert order([urgent, old], {}, Policy())[0] is old


def test_equal_classes_are_ordered_by_latest_start() -> None:
    late = job_view("late-1", latest_start_s=(100.0,))
    tight = job_view("tight-1", latest_start_s=(50.0,))
    assert order([late, tight], {}, Policy(), 100.0) == [tight, late]


def test_late_job_is_ordered_after_jobs_that_can_be_in_time() -> None:
    late = job_view("late-1", latest_start_s=(-5.0, -1.0))
    second = job_view("second-1", latest_start_s=(-5.0, 60.0))
    tight = job_view("tight-1", latest_start_s=(50.0, 150.0))
    assert order([late, second, tight], {}, Policy(), 100.0) == [tight, second, late]


def test_overload_defers_largest_job_instead_of_latest() -> None:
    # With an order by slack alone, one large job made ten small ones late.
    large = job_view("large-1", latest_start_s=(40.0,), tasks=100, waiting=100, estimate_s=30.0)
    small = [job_view(f"small-{n}", latest_start_s=(45.0 + n,), estimate_s=30.0) for n in range(5)]
    cpus = 20.0 * large.cpus
    assert order([large, *small], {}, Policy(), cpus) == [*small, large]
    assert order([large, *small], {}, Policy(), 10 * cpus)[0] is large
    # Capacity that a higher class uses is not available to these.
    held = {large.rank + 1: 9.5 * cpus}
    assert order([large, *small], {}, Policy(), 10 * cpus, held)[-1] is large


def _blocked_reserved_job(rank: int = 2) -> JobView:
    return job_view("head-1", rank=rank, cpus=8.0, waited_s=1.0)


def test_backfill_past_window_is_limited_to_lower_classes_and_marked() -> None:
    def starts(rank: int, estimate_s: float) -> list[tuple[str, bool]]:
        machine = machine_view(
            "m-1", cpus=4.0, running=[running_task("run-1", end_at=Monotonic(NOW + 20))]
        )
        lower_class_job = job_view("fill-1", rank=rank, estimate_s=estimate_s)
        result = plan(
            View([machine], [_blocked_reserved_job(), lower_class_job], {}), NOW, Policy()
        )
        assert result.reserved_job == JobId("head-1")
        return [(s.job, s.backfilled) for s in result.starts]

    assert starts(rank=2, estimate_s=15.0) == [("fill-1", False)]
    assert starts(rank=2, estimate_s=25.0) == []
    assert starts(rank=1, estimate_s=25.0) == [("fill-1", True)]


def test_backfilled_task_with_shortest_run_time_is_preempted() -> None:
    running = [
        running_task("fill-1", ran_s=30.0, backfilled=True),
        running_task("fill-2", ran_s=3.0, backfilled=True),
        running_task("normal-1", ran_s=1.0),
    ]
    reserved_job = job_view("head-1", rank=2, cpus=4.0)
    machine = machine_view("m-1", cpus=0.0, running=running)
    result = plan(View([machine], [reserved_job], {}), NOW, Policy())
    assert [s.task.job for s in result.stops] == ["fill-2"]


def test_no_preemption_for_equal_class_or_imminent_reservation() -> None:
    def stops(rank: int, end_s: float) -> int:
        running = [running_task("fill-1", backfilled=True, end_at=Monotonic(NOW + end_s))]
        machine = machine_view("m-1", cpus=0.0, running=running)
        reserved_job = job_view("head-1", rank=rank, cpus=4.0)
        return len(plan(View([machine], [reserved_job], {}), NOW, Policy()).stops)

    assert stops(rank=2, end_s=60.0) == 1
    assert stops(rank=1, end_s=60.0) == 0
    assert stops(rank=2, end_s=1.0) == 0


def test_preemption_per_pass_is_limited_to_share() -> None:
    machines = [
        machine_view(
            f"m-{i}", cpus=0.0, running=[running_task(f"fill-{i}", cpus=8.0, backfilled=True)]
        )
        for i in range(12)
    ]
    burst = job_view("burst-1", rank=2, waiting=12, tasks=12)
    result = plan(View(machines, [burst], {}), NOW, Policy(max_preempted_share=0.25))
    assert len(result.stops) == 3


def test_headroom_for_expected_work_is_filled_with_backfill_only() -> None:
    machine = machine_view("m-1", cpus=12.0)
    jobs = [job_view("fill-1", waiting=3)]
    result = plan(View([machine], jobs, {}, ExpectedWork(2, 8.0)), NOW, Policy())
    assert sorted(s.backfilled for s in result.starts) == [False, True, True]
    urgent = plan(
        View([machine_view("m-1")], [job_view("now-1", rank=2)], {}, ExpectedWork(2, 8.0)),
        NOW,
        Policy(),
    )
    assert [s.backfilled for s in urgent.starts] == [False]


def test_gang_starts_whole_or_not_at_all() -> None:
    def started(tasks: int) -> int:
        gang = job_view("gang-1", gang=True, waiting=tasks, tasks=tasks)
        machines = [machine_view("m-1"), machine_view("m-2")]
        return len(plan(View(machines, [gang], {}), NOW, Policy()).starts)

    assert started(4) == 4
    assert started(5) == 0


def test_guaranteed_quota_preempts_tasks_of_team_over_quota() -> None:
    teams = {
        "red": TeamView(0.0, 0.0, 8.0, 0.0, 0.0, 0.0),
        "blue": TeamView(8.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    }
    machine = machine_view("m-1", cpus=0.0, running=[running_task("borrow-1", rank=3, cpus=8.0)])
    reserved_job = job_view("own-1", team="red", rank=0)
    result = plan(View([machine], [reserved_job], teams), NOW, Policy())
    assert [s.task.job for s in result.stops] == ["borrow-1"]


def test_completed_tasks_determine_run_time_ratio() -> None:
    estimates = Estimates()
    assert estimates.run_s("blue", 10.0) == 10.0
    for ran_s in (20.0, 30.0, 100.0):
        estimates.completed("blue", 10.0, ran_s)
    assert estimates.run_s("blue", 10.0) == 30.0
    assert estimates.run_s("red", 10.0) == 30.0


_jobs = st.lists(
    st.builds(
        job_view,
        st.integers(0, 10**6).map(lambda n: f"job-{n}"),
        rank=st.integers(0, 3),
        cpus=st.sampled_from([1.0, 2.0, 4.0, 8.0]),
        waiting=st.integers(1, 9),
        waited_s=st.floats(0, 1000),
        estimate_s=st.floats(1, 100),
        team=st.sampled_from(["blue", "red"]),
        zone=st.sampled_from([None, "north", "south"]),
        one_zone=st.booleans(),
        spread=st.booleans(),
        spot=st.booleans(),
    ),
    max_size=8,
    unique_by=lambda job: job.id,
)


@st.composite
def _machines(draw: st.DrawFn) -> list[MachineView]:
    machines = []
    for number in range(draw(st.integers(0, 5))):
        running = [
            running_task(
                f"run-{number}{i}",
                cpus=2.0,
                backfilled=draw(st.booleans()),
                rank=draw(st.integers(0, 2)),
                ran_s=draw(st.floats(0, 100)),
                end_at=Monotonic(NOW + draw(st.floats(0, 100))),
            )
            for i in range(draw(st.integers(0, 4)))
        ]
        machines.append(
            machine_view(
                f"m-{number}",
                cpus=draw(st.sampled_from([0.0, 2.0, 8.0, 16.0])),
                zone=draw(st.sampled_from(["north", "south"])),
                spot=draw(st.booleans()),
                ready_at=Monotonic(draw(st.sampled_from([0.0, 50.0]))),
                running=running,
            )
        )
    return machines


@given(_jobs, _machines())
def test_plan_respects_capacity_limits_and_placement_rules(
    jobs: list[JobView], machines: list[MachineView]
) -> None:
    free_cpus = {m.id: m.cpus for m in machines}
    by_id = {job.id: job for job in jobs}
    by_machine = {m.id: m for m in machines}
    waiting = {job.id: job.waiting for job in jobs}
    teams = {
        "red": TeamView(0.0, 0.0, 0.0, 0.0, 12.0, 0.0),
        "blue": TeamView(0.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    }
    running = {t.task: (t, m) for m in machines for t in m.running}
    result = plan(View(machines, jobs, teams), NOW, Policy())
    red_cpus = 0.0
    zones: dict[JobId, dict[str, int]] = {}
    for start in result.starts:
        job, machine = by_id[start.job], by_machine[start.machine]
        free_cpus[machine.id] -= job.cpus
        waiting[job.id] -= 1
        red_cpus += job.cpus if job.team == "red" else 0.0
        assert machine.ready_at <= NOW
        assert job.zone in (None, machine.zone)
        assert job.spot or not machine.spot
        zones.setdefault(job.id, {}).setdefault(machine.zone, 0)
        zones[job.id][machine.zone] += 1
    assert all(left >= 0 for left in free_cpus.values())
    assert all(left >= 0 for left in waiting.values())
    assert red_cpus <= 12.0
    for job_id, counts in zones.items():
        job = by_id[job_id]
        assert not job.one_zone or len(counts) == 1
        assert not job.spread or max(counts.values()) <= (job.tasks + 1) // 2
    for stop in result.stops:
        preempted_task, machine = running[stop.task]
        assert preempted_task.backfilled and preempted_task.rank < by_id[stop.for_job].rank
        not_preempted = [
            t
            for t in machine.running
            if t.backfilled
            and t.rank < by_id[stop.for_job].rank
            and t.task not in {s.task for s in result.stops}
        ]
        # Of tasks of equal size on one machine, those with the shortest run time are preempted.
        assert all(t.ran_s(NOW) >= preempted_task.ran_s(NOW) for t in not_preempted)


@given(_jobs, _machines())
def test_non_preemptible_starts_do_not_delay_reservation(
    jobs: list[JobView], machines: list[MachineView]
) -> None:
    ends = {
        m.id: list(zip(expected_ends(m.running, NOW), (t.cpus for t in m.running), strict=True))
        for m in machines
    }
    free = {m.id: m.cpus for m in machines}
    ready = {m.id: m.ready_at for m in machines}
    by_id = {job.id: job for job in jobs}
    result = plan(View(machines, jobs, {}), NOW, Policy())
    if result.reserved_job is None:
        return
    reserved_job = by_id[result.reserved_job]
    for reservation in result.reservations.values():
        free_cpus = free[reservation.machine]
        assert reservation.at >= ready[reservation.machine]
        free_cpus += sum(cpus for end, cpus in ends[reservation.machine] if end <= reservation.at)
        for start in result.starts:
            job = by_id[start.job]
            runs_past = NOW + job.estimate_s > reservation.at and not start.backfilled
            if start.machine == reservation.machine and runs_past:
                free_cpus -= job.cpus
        assert free_cpus + 1e-6 >= reservation.tasks * reserved_job.cpus


def test_booting_or_soon_free_capacity_is_not_rented_again() -> None:
    def offer(spot: bool, price: float) -> Offer:
        return Offer("big", "north", spot, 8.0, 0.0, 64.0, price, 30.0, 1.0)

    policy = Policy()
    ordinary, spot = offer(False, 2.0), offer(True, 1.0)
    soon = Monotonic(NOW + 30)

    def count(machines: list[MachineView], **job: object) -> list[tuple[bool, int]]:
        waiting = job_view("job-1", **{"estimate_s": 50.0, **job})
        both = [ordinary, spot]
        found = rentals([(waiting, 4)], machines, both, both, NOW, policy)
        return [(r.spot, r.count) for r in found]

    assert count([]) == [(True, 2)]
    assert count([], spot=False) == [(False, 2)]
    assert count([machine_view("m-1", ready_at=soon)]) == [(True, 1)]
    leaving = [running_task(f"run-{i}", cpus=8.0, end_at=Monotonic(NOW + 5)) for i in range(2)]
    assert count([machine_view("m-1", cpus=0.0, running=leaving)]) == []


def _zone_offers(*zones: str, spot: bool = False, price: float = 1.0) -> list[Offer]:
    return [Offer("big", zone, spot, 8.0, 0.0, 64.0, price, 30.0, 1.0) for zone in zones]


def _rented_by_zone(
    job: JobView, machines: list[MachineView], available: list[Offer] | None = None
) -> dict[str, int]:
    catalogue = _zone_offers("north", "south")
    found = rentals(
        [(job, job.waiting)],
        machines,
        catalogue if available is None else [*catalogue, *available],
        catalogue if available is None else available,
        NOW,
        Policy(),
    )
    return {rental.zone: rental.count for rental in found}


def test_capacity_in_a_zone_that_is_full_for_a_spread_job_is_rented_in_another() -> None:
    """Guards against a spread job that waits for ever beside machines of a zone that is full."""
    idle = [machine_view("m-1"), machine_view("m-2")]
    waiting = job_view("job-1", spread=True, tasks=2, waiting=1, zone_counts={"north": 1})
    assert _rented_by_zone(waiting, idle) == {"south": 1}
    assert _rented_by_zone(waiting, [*idle, machine_view("m-3", zone="south")]) == {}
    # Nothing is rented in the full zone either, even if only that one has machines.
    assert _rented_by_zone(waiting, [], _zone_offers("north")) == {}


def test_a_spread_job_without_bound_tasks_is_rented_for_in_every_zone() -> None:
    """Guards against one machine for both tasks of a job that may not run both there."""
    waiting = job_view("job-1", spread=True, tasks=2, waiting=2)
    assert _rented_by_zone(waiting, []) == {"north": 1, "south": 1}
    assert _rented_by_zone(waiting, [machine_view("m-1")]) == {"south": 1}
    large = job_view("job-1", spread=True, tasks=9, waiting=9)
    assert _rented_by_zone(large, []) == {"north": 3, "south": 2}


def test_capacity_in_other_zones_is_none_for_a_one_zone_job() -> None:
    """Guards against a one-zone job that waits for ever beside machines of the other zone."""
    idle = [machine_view("m-1", zone="south"), machine_view("m-2", zone="south")]
    waiting = job_view("job-1", one_zone=True, tasks=3, waiting=1, zone_counts={"north": 2})
    assert _rented_by_zone(waiting, idle) == {"north": 1}
    assert _rented_by_zone(waiting, [*idle, machine_view("m-3")]) == {}


def test_a_one_zone_job_without_bound_tasks_is_rented_for_in_a_single_zone() -> None:
    """Guards against a gang whose capacity is spread over zones, so that it never starts."""
    gang = job_view("job-1", one_zone=True, gang=True, tasks=8, waiting=8, estimate_s=60.0)
    assert _rented_by_zone(gang, []) == {"north": 4}
    halves = [machine_view("m-1"), machine_view("m-2", zone="south")]
    assert _rented_by_zone(gang, halves) == {"north": 3}
    # In a zone where nothing can be rented the gang would never fit.
    assert _rented_by_zone(gang, [*halves, machine_view("m-3")], _zone_offers("south")) == {
        "south": 3
    }


def test_gang_needs_all_its_capacity_at_once() -> None:
    """Guards against a gang that never starts because few processors could serve it in turn."""
    array = job_view("job-1", tasks=8, waiting=8, estimate_s=5.0)
    assert _rented_by_zone(array, [machine_view("m-1")]) == {}
    gang = job_view("job-1", tasks=8, waiting=8, estimate_s=5.0, gang=True)
    assert sum(_rented_by_zone(gang, [machine_view("m-1")]).values()) == 3
    assert sum(_rented_by_zone(gang, []).values()) == 4
    soon_free = [running_task("run-1", end_at=NOW + 20.0, cpus=8.0)]
    busy = machine_view("m-1", cpus=0.0, running=soon_free)
    assert sum(_rented_by_zone(gang, [busy]).values()) == 3


def _reserved_tasks(job: JobView, machines: list[MachineView]) -> dict[str, int]:
    reservations = plan(View(machines, [job], {}), NOW, Policy()).reservations
    return {str(machine): found.tasks for machine, found in reservations.items()}


def _busy_machine(name: str, zone: str, end_s: float) -> MachineView:
    running = [running_task(f"run-{name[-1]}", end_at=NOW + end_s, cpus=8.0)]
    return machine_view(name, zone=zone, cpus=0.0, running=running)


def test_reservations_keep_to_the_zone_rules() -> None:
    """Guards against reserved capacity that a job's zone rules don't let it use."""
    machines = [
        _busy_machine("m-1", "north", 10.0),
        _busy_machine("m-2", "north", 20.0),
        _busy_machine("m-3", "south", 30.0),
        _busy_machine("m-4", "south", 40.0),
    ]
    spread = job_view("job-1", spread=True, tasks=4, waiting=4, cpus=8.0)
    assert _reserved_tasks(spread, machines) == {"m-1": 1, "m-2": 1, "m-3": 1, "m-4": 1}
    two = job_view("job-1", spread=True, tasks=2, waiting=2, cpus=8.0)
    assert _reserved_tasks(two, machines) == {"m-1": 1, "m-3": 1}


def test_reservation_of_a_one_zone_gang_is_in_one_zone() -> None:
    """Guards against a gang whose reservations in several zones are never enough in any of them."""
    machines = [
        _busy_machine("m-1", "north", 10.0),
        _busy_machine("m-2", "south", 20.0),
        _busy_machine("m-3", "south", 30.0),
        _busy_machine("m-4", "north", 40.0),
    ]
    gang = job_view("job-1", one_zone=True, gang=True, tasks=2, waiting=2, cpus=8.0)
    assert _reserved_tasks(gang, machines) == {"m-2": 1, "m-3": 1}
    large = job_view("job-1", one_zone=True, gang=True, tasks=3, waiting=3, cpus=8.0)
    assert _reserved_tasks(large, [*machines, _busy_machine("m-5", "north", 50.0)]) == {
        "m-1": 1, "m-4": 1, "m-5": 1,
    }  # fmt: skip


def test_one_zone_gang_starts_in_the_zone_where_all_of_it_fits() -> None:
    """Guards against a gang that waits for the zone with the most free processors, in fragments.

    Nothing is rented for it either, since all of it fits in the other zone.
    """
    machines = [
        *(machine_view(f"m-{n}", cpus=7.0) for n in range(3)),
        *(machine_view(f"m-{n}", zone="south") for n in range(3, 5)),
    ]
    gang = job_view("job-1", one_zone=True, gang=True, tasks=4, waiting=4, estimate_s=60.0)
    assert _rented_by_zone(gang, machines) == {}
    starts = plan(View(machines, [gang], {}), NOW, Policy()).starts
    assert [start.machine for start in starts] == ["m-3", "m-3", "m-4", "m-4"]


def test_no_more_is_preempted_than_the_zone_rules_let_start() -> None:
    """Guards against work that is stopped for tasks which may not run in that zone."""

    def stopped(**fields: object) -> int:
        machines = [
            machine_view(
                f"m-{number}",
                cpus=0.0,
                running=[running_task(f"run-{number}", cpus=8.0, backfilled=True, rank=0)],
            )
            for number in range(8)
        ]
        job = job_view("job-1", tasks=4, waiting=4, cpus=8.0, rank=2, **fields)
        return len(plan(View(machines, [job], {}), NOW, Policy(max_preempted_share=1.0)).stops)

    assert stopped() == 4
    assert stopped(spread=True) == 2
    assert stopped(spread=True, zone_counts={"north": 1}) == 1


def test_a_zone_rule_outweighs_the_price() -> None:
    """Guards against a job that waits for cheap machines of a zone in which it may not run."""
    cheap_in_south = _zone_offers("south", spot=True, price=0.1)
    waiting = job_view("job-1", one_zone=True, tasks=3, waiting=1, zone_counts={"north": 2})
    assert _rented_by_zone(waiting, [], [*cheap_in_south, *_zone_offers("north")]) == {"north": 1}
    spread = job_view("job-1", spread=True, tasks=2, waiting=2)
    assert _rented_by_zone(spread, [], [*cheap_in_south, *_zone_offers("north")]) == {
        "north": 1,
        "south": 1,
    }


def test_expensive_machines_serve_only_jobs_that_need_them() -> None:
    # Otherwise jobs with time to spare fill expensive machines and have more of them rented.
    busy = [running_task("run-1", cpus=8.0, end_at=Monotonic(NOW + 20))]
    machines = [
        machine_view("m-1", cpus=0.0, running=busy),
        machine_view("m-2", is_expensive=True),
    ]

    def placed(latest_start_s: float) -> tuple[int, list[tuple[bool, int]]]:
        job = job_view(
            "job-1", latest_start_s=(latest_start_s,), estimate_s=30.0, waiting=2, tasks=2
        )
        ordinary = Offer("big", "north", False, 8.0, 0.0, 64.0, 2.0, 30.0, 1.0)
        spot = Offer("big", "north", True, 8.0, 0.0, 64.0, 1.0, 30.0, 1.0)
        result = plan(View(machines, [job], {}), NOW, Policy())
        rented = rentals(
            [(job, 2)], [], [ordinary, spot], [ordinary], NOW, Policy(), result.affordable
        )
        return len(result.starts), [(r.spot, r.count) for r in rented]

    assert placed(latest_start_s=95.0) == (0, [])
    assert placed(latest_start_s=30.0) == (2, [(False, 1)])


def test_affordable_counts_only_machines_that_fit() -> None:
    # The whole fleet's capacity would be enough, but on machines too small for any of the tasks.
    large = job_view(
        "large-1", cpus=32.0, waiting=8, tasks=8, estimate_s=50.0, latest_start_s=(100.0,)
    )
    small = job_view(
        "small-1", cpus=4.0, waiting=8, tasks=8, estimate_s=50.0, latest_start_s=(100.0,)
    )
    assert affordable([large, small], Policy(), {16.0: 640.0, 64.0: 64.0}, {}) == {small}
    assert affordable([large, small], Policy(), {16.0: 64.0, 64.0: 640.0}, {}) == {large, small}
    assert affordable([job_view("open-1")], Policy(), {64.0: 640.0}, {}) == set()


def test_cpu_share_is_computed_once_per_type(monkeypatch: pytest.MonkeyPatch) -> None:
    """A task's share is computed once per type, and not at all if nothing can be rented.

    With a long queue, computing it for every job and machine took half of the leader's time.
    """
    counted: list[str] = []

    def fake_share(job: JobView, offer_of_type: Offer) -> float:
        counted.append(offer_of_type.type)
        return offer_of_type.cpus

    monkeypatch.setattr(capacity, "_cpu_share", fake_share)
    offer = Offer("big", "north", False, 8.0, 0.0, 64.0, 1.0, 20.0, 1.0)
    machines = [machine_view(f"m-{n}", cpus=0.0) for n in range(300)]
    waiting = [(job_view(f"wk-{n}", cpus=4.0, waiting=9), 9) for n in range(5)]
    assert rentals(waiting, machines, [offer], [], NOW, Policy()) == []
    assert not counted
    assert rentals(waiting, machines, [offer], [offer], NOW, Policy())
    assert len(counted) == len(waiting)


def test_full_machines_are_examined_once_per_pass(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a full fleet and a long queue, not every job may examine every machine."""
    examined: list[MachineView] = []
    original = MachineView.has_capacity

    def counted(machine: MachineView, cpus: float, gpus: float, memory_gb: float) -> bool:
        examined.append(machine)
        return original(machine, cpus, gpus, memory_gb)

    monkeypatch.setattr(MachineView, "has_capacity", counted)
    machines = [machine_view(f"m-{n}", cpus=0.5) for n in range(100)]
    machines.append(machine_view("m-free", cpus=2.0))
    jobs = [job_view(f"wk-{n}", cpus=1.0 + n) for n in range(40)]
    result = plan(View(machines, jobs, {}), NOW, Policy())
    assert [start.machine for start in result.starts] == ["m-free"]
    assert len(examined) < 3 * len(machines)  # once for placement, once for the reservation


@given(st.floats(0, 300), st.floats(0, 300), st.floats(0.1, 5))
def test_expected_end_of_running_task_follows_estimate(
    ran_s: float, owner_estimate_s: float, ratio: float
) -> None:
    task = running_task(
        "run-1",
        ran_s=ran_s,
        owner_estimate_s=owner_estimate_s,
        correction=EstimateCorrection(ratio),
    )
    left_s = remaining_s(owner_estimate_s * ratio, ran_s)
    assert expected_ends([task], NOW) == [pytest.approx(NOW + left_s)]


@given(st.lists(st.tuples(st.integers(1, 300), st.floats(0.0, 599.0), st.booleans()), max_size=12))
def test_starvation_guard_puts_longest_waiting_job_first(
    generated: list[tuple[int, float, bool]],
) -> None:
    """Without the guard the largest jobs were passed over in every pass: 15 of 65 began in time."""
    policy = Policy()
    jobs = [
        job_view(
            f"job-{number}", waiting=tasks, tasks=tasks, waited_s=waited_s, latest_start_s=(-1.0,),
            has_started=has_started,
        )
        for number, (tasks, waited_s, has_started) in enumerate(generated)
    ]  # fmt: skip
    small = job_view("small-1", waited_s=1.0, latest_start_s=(500.0,))
    ordered = order([*jobs, small], {}, policy, 16.0, {})
    starving = [j for j in jobs if not j.has_started and j.waited_s >= policy.starvation_guard_s]
    if starving:
        # Only the one that has waited longest goes first; the others stay behind jobs that can be
        # in time.
        assert (
            ordered[0].waited_s == max(j.waited_s for j in starving) and not ordered[0].has_started
        )
        assert ordered[1] is small
    else:
        assert ordered[0] is small
    # A higher class still goes first.
    urgent = job_view("urgent-1", rank=2, waited_s=1.0)
    assert order([*jobs, urgent], {}, policy, 16.0, {})[0] is urgent
