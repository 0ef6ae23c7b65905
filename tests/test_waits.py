"""What keeps a job or a machine back, and when it ends: nobody waits for 90 s beside room.

Each hold is brought about on real fleets and dispatchers, then time goes on as it does once all
troubles are over: machines report, passes are made. The job that was held back must have its place
by the moment given. `tests/test_cost.py` has the same for what the planner decides.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tealrill.scheduler import failure_attribution as attribution_module
from tealrill.scheduler.model import Policy
from tealrill.state.bindings import Binding, Job
from tealrill.types import (
    Attempt,
    Incarnation,
    JobId,
    MachineId,
    Monotonic,
    Revision,
    TaskId,
    Wall,
)
from tests.samples import report, spec
from tests.test_dispatch import _MACHINE_TYPE, build_scheduling_loop

_REPORT_S = 1.0
_LEASE_S = 8.0


class _World:
    """A leader in its first moments, with one machine that reports."""

    def __init__(self, heartbeat_interval_s: float = _REPORT_S) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.now = Monotonic(0.0)
        # There are no more machines than those that are up, and none is dearer than the others.
        self.scheduling_loop, self.fleet, self.job_store, _ = build_scheduling_loop(
            heartbeat_interval_s, [_MACHINE_TYPE]
        )
        self.sequence = 0
        self.lines: list[tuple[str, int, str, str | None]] = []
        self.number = 0

    def begin(self, *inherited: Binding) -> None:
        self.fleet.inherit(inherited, self.now)
        self.beat()
        self.beat()
        # So new that it is not returned for having nothing to do.
        self.fleet.machines[MachineId("m-1")].rented_at = Monotonic(self.now + 1000.0)

    def job(self, **changes: Any) -> Job:
        self.number += 1
        description = spec(id=f"wk-{self.number:06d}", pieces=1, **changes)
        return self.job_store.add(description, Wall(self.now), Revision(1))

    def bound(self, job: Job, machine: str) -> Binding:
        """By a former leader, to a machine of which nothing was heard since."""
        chunk = self.job_store._chunk(job, 0)
        value = {"n": 1, "tasks": [[2, machine, 1, 1, 0, 5.0]]}
        del job.chunks[chunk.number]
        (binding,) = self.job_store.load(job, 0, value, Revision(2))
        return binding

    def beat(self) -> None:
        self.sequence += 1
        message = report("m-1", 1, self.sequence, 1, self.lines)
        self.fleet.heartbeats.process(message, MachineId("m-1"), self.now, Wall(self.now))

    def until_placed(self, job: Job, most_s: float = 90.0) -> float:
        """How long it takes until the job has a place beside whatever else there is."""
        began = self.now
        while not job.bound_count:
            assert self.now - began <= most_s, "it still waits"
            self.fleet.leases.expire_leases(self.now)
            self.beat()
            self.scheduling_loop.run(self.now, Wall(self.now))
            self.now = Monotonic(self.now + self.heartbeat_interval_s)
        return self.now - began - self.heartbeat_interval_s


def test_without_a_hold_there_is_no_wait() -> None:
    world = _World()
    world.begin()
    assert world.until_placed(world.job()) == 0.0


@pytest.mark.parametrize("heartbeat_interval_s", [1.0, 2.5, 5.0, 6.0])
def test_a_machine_that_was_called_deaf_has_work_again_two_reports_later(
    heartbeat_interval_s: float,
) -> None:
    """Where reports come more than 4.8 s apart, it stayed deaf for ever."""
    world = _World(heartbeat_interval_s)
    world.begin()
    world.fleet.machines[MachineId("m-1")].mark_inbound_partitioned(True)
    world.now = Monotonic(world.now + heartbeat_interval_s)
    assert world.until_placed(world.job()) <= 2 * heartbeat_interval_s


def test_a_refusal_keeps_a_machine_back_for_two_seconds() -> None:
    world = _World()
    world.begin()
    first = world.job()
    world.until_placed(first)
    world.lines = [("wk-000001/0", 1, "ended", "no_room")]
    world.beat()
    world.lines = []
    assert 0.0 < world.until_placed(first) <= 3.0


def test_strangers_keep_a_machine_back_until_they_are_stopped() -> None:
    world = _World()
    world.begin()
    world.lines = [("wk-000777/0", 3, "running", None)]
    world.beat()
    job = world.job()
    world.scheduling_loop.run(world.now, Wall(world.now))
    assert not job.bound_count
    world.lines = []
    assert world.until_placed(job) <= 1.0


@pytest.mark.parametrize("failures", [1, 3, 6, 20])
def test_a_job_that_failed_is_tried_again_within_a_minute(failures: int) -> None:
    world = _World()
    world.begin()
    job = world.job()
    failure_attribution = world.fleet.failure_attribution
    for _ in range(failures):
        trial = failure_attribution._jobs.get(job.id)
        if trial is not None:
            world.now = Monotonic(max(world.now, trial.next_at))
        failure_attribution.failed(job.id, MachineId("m-1"), 0.2, False, world.now)
        world.beat()
    assert world.until_placed(job) <= attribution_module._MAX_GAP_S + 1.0


@pytest.mark.parametrize("rule", [{"samePlace": True}, {"scatter": True}])
@pytest.mark.parametrize("known", [False, True])
def test_a_rule_about_zones_waits_for_the_zones_of_its_tasks(
    rule: dict[str, bool], known: bool
) -> None:
    """Placed before they were known, its tasks were in two zones. A machine of which nothing is
    heard lapses, and then its tasks are nowhere."""
    world = _World()
    job = world.job(**rule)
    job.spec = spec(id=job.id, pieces=2, **rule)
    job.done = bytearray(2)
    binding = world.bound(job, "m-9")
    world.begin(binding)
    if known:
        # The list says that it is in this machine's zone, or in the other one.
        zone = "north" if "samePlace" in rule else "south"
        world.fleet.set_kind(world.fleet.machines[MachineId("m-9")], "big", zone, False)
    world.scheduling_loop.run(world.now, Wall(world.now))
    assert (job.bound_count == 2) is known
    if not known:
        # Its lease is over 8.5 s after the election, and only then.
        took_s = 0.0
        while job.bound_count < 2 and binding in job.bindings():
            took_s += 1.0
            world.now = Monotonic(world.now + 1.0)
            world.beat()
            world.fleet.leases.expire_leases(world.now)
            world.scheduling_loop.run(world.now, Wall(world.now))
        assert _LEASE_S < took_s <= _LEASE_S + 2.0


def test_a_limit_counts_what_may_still_run_and_no_longer() -> None:
    """All that the team may use is bound to a machine that is gone."""
    world = _World()
    terminated = world.job(crew="red", vcpus=64.0)
    world.begin(world.bound(terminated, "m-9"))
    terminated.cancelled = True
    waiting = world.job(crew="red")
    other = world.job(crew="blue")
    assert world.until_placed(other) == 0.0
    assert not waiting.bound_count
    took_s = world.until_placed(waiting)
    assert _LEASE_S < took_s + 1.0 <= _LEASE_S + 3.0


@pytest.mark.parametrize("waited_s", [0.0, Policy().starvation_guard_s, 3 * Policy().aging_s])
@pytest.mark.parametrize(
    "changes", [{"vcpus": 64.0}, {"builds": ["other"]}, {"hall": "south"}, {"memoryGb": 500.0}]
)
def test_a_job_that_has_no_place_at_all_keeps_nobody_back(
    changes: dict[str, Any], waited_s: float
) -> None:
    """Not as the head, nor when it has its turn, nor as the oldest of the highest level."""
    world = _World()
    world.begin()
    first = world.job(urgency="urgent", **changes)
    first.submitted = Wall(world.now - waited_s)
    assert world.until_placed(world.job(urgency="idle")) == 0.0
    assert not first.bound_count


@pytest.mark.parametrize(
    "hold",
    [
        lambda world: world.fleet.machines[MachineId("m-1")].mark_inbound_partitioned(True),
        lambda world: setattr(world.fleet.machines[MachineId("m-1")], "current", False),
    ],
)
def test_what_a_report_says_ends_a_hold(hold: Callable[[_World], None]) -> None:
    world = _World()
    world.begin()
    world.now = Monotonic(world.now + 1.0)
    hold(world)
    assert world.until_placed(world.job()) <= 2.0


def test_a_mute_machine_has_no_work_until_it_reports() -> None:
    """Answers to direct commands show that it is up, and renew nothing: it takes work again with
    its first report."""
    world = _World()
    world.begin()
    for _ in range(6):
        world.now = Monotonic(world.now + 1.0)
        world.sequence += 1
        answer = report("m-1", 1, world.sequence, 1)
        world.fleet.heartbeats.handle_direct_reply(
            answer, MachineId("m-1"), world.now, Wall(world.now)
        )
    job = world.job()
    world.scheduling_loop.run(world.now, Wall(world.now))
    assert not job.bound_count
    machine = world.fleet.machines[MachineId("m-1")]
    assert machine.last_contact_at == world.now and not machine.releasing
    assert world.until_placed(job) == 0.0


def test_nothing_of_a_task_that_is_gone_is_counted() -> None:
    """Sums of decimal numbers: ten thousand tasks later the team has all that it may use."""
    world = _World()
    world.begin()
    job = world.job(crew="red", vcpus=0.1)
    for attempt in range(10_000):
        binding = world.job_store.bind(
            job, 0, MachineId("m-1"), Incarnation(1), "north", False, Wall(0.0), world.now
        )
        assert binding.attempt == Attempt(attempt + 1)
        world.job_store.release(binding, "north", world.now)
    world.job_store.cancel(job)
    whole = world.job(crew="red", vcpus=8.0)
    assert abs(world.job_store.team_cpus["red"]) < 1e-6
    assert world.until_placed(whole) == 0.0
    assert TaskId(JobId("wk-000002"), 0) in world.fleet.machines[MachineId("m-1")].bindings
