"""Everything that delays a placement, and when it ends: no job waits for 90 s beside free capacity.

Each delay is caused on a real fleet and scheduling loop. Then time passes without further faults,
with heartbeats and placement passes, and the delayed job must be bound by the given time.
`tests/test_cost.py` checks the same for what the planner decides.
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
from tests.samples import make_heartbeat, spec
from tests.test_dispatch import _MACHINE_TYPE, build_scheduling_loop

_HEARTBEAT_INTERVAL_S = 1.0
_LEASE_S = 8.0


class _Cluster:
    """A newly elected leader with one machine that sends heartbeats."""

    def __init__(self, heartbeat_interval_s: float = _HEARTBEAT_INTERVAL_S) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.now = Monotonic(0.0)
        # No further machines are rented, and with a single type in the catalogue none is expensive.
        self.scheduling_loop, self.fleet, self.job_store, _ = build_scheduling_loop(
            heartbeat_interval_s, [_MACHINE_TYPE]
        )
        self.sequence = 0
        self.task_lines: list[tuple[str, int, str, str | None]] = []
        self.job_count = 0

    def start_term(self, *inherited: Binding) -> None:
        self.fleet.inherit(inherited, self.now)
        self.heartbeat()
        self.heartbeat()
        # So new that it is not released while it is idle.
        self.fleet.machines[MachineId("m-1")].rented_at = Monotonic(self.now + 1000.0)

    def job(self, **changes: Any) -> Job:
        self.job_count += 1
        description = spec(id=f"wk-{self.job_count:06d}", pieces=1, **changes)
        return self.job_store.add(description, Wall(self.now), Revision(1))

    def inherited_binding(self, job: Job, machine: str) -> Binding:
        """Return a binding of an earlier term to a machine that has sent no heartbeat since."""
        chunk = self.job_store._chunk(job, 0)
        value = {"n": 1, "tasks": [[2, machine, 1, 1, 0, 5.0]]}
        del job.chunks[chunk.number]
        (binding,) = self.job_store.load(job, 0, value, Revision(2))
        return binding

    def heartbeat(self) -> None:
        self.sequence += 1
        message = make_heartbeat("m-1", 1, self.sequence, 1, self.task_lines)
        self.fleet.heartbeats.process(message, MachineId("m-1"), self.now, Wall(self.now))

    def seconds_until_bound(self, job: Job, timeout_s: float = 90.0) -> float:
        """Return the seconds until a task of the job is bound."""
        began = self.now
        while not job.bound_count:
            assert self.now - began <= timeout_s, "the job is still not bound"
            self.fleet.leases.expire_leases(self.now)
            self.heartbeat()
            self.scheduling_loop.run(self.now, Wall(self.now))
            self.now = Monotonic(self.now + self.heartbeat_interval_s)
        return self.now - began - self.heartbeat_interval_s


def test_job_is_placed_at_once_without_obstacle() -> None:
    cluster = _Cluster()
    cluster.start_term()
    assert cluster.seconds_until_bound(cluster.job()) == 0.0


@pytest.mark.parametrize("heartbeat_interval_s", [1.0, 2.5, 5.0, 6.0])
def test_inbound_partitioned_machine_gets_tasks_after_two_heartbeats(
    heartbeat_interval_s: float,
) -> None:
    """Guards against a mark that is never removed if heartbeats are over 4.8 s apart."""
    cluster = _Cluster(heartbeat_interval_s)
    cluster.start_term()
    cluster.fleet.machines[MachineId("m-1")].mark_inbound_partitioned(True)
    cluster.now = Monotonic(cluster.now + heartbeat_interval_s)
    assert cluster.seconds_until_bound(cluster.job()) <= 2 * heartbeat_interval_s


def test_refused_start_excludes_machine_for_two_seconds() -> None:
    cluster = _Cluster()
    cluster.start_term()
    first = cluster.job()
    cluster.seconds_until_bound(first)
    cluster.task_lines = [("wk-000001/0", 1, "ended", "no_room")]
    cluster.heartbeat()
    cluster.task_lines = []
    assert 0.0 < cluster.seconds_until_bound(first) <= 3.0


def test_unbound_tasks_exclude_machine_until_stopped() -> None:
    cluster = _Cluster()
    cluster.start_term()
    cluster.task_lines = [("wk-000777/0", 3, "running", None)]
    cluster.heartbeat()
    job = cluster.job()
    cluster.scheduling_loop.run(cluster.now, Wall(cluster.now))
    assert not job.bound_count
    cluster.task_lines = []
    assert cluster.seconds_until_bound(job) <= 1.0


@pytest.mark.parametrize("failures", [1, 3, 6, 20])
def test_failed_job_is_retried_within_a_minute(failures: int) -> None:
    cluster = _Cluster()
    cluster.start_term()
    job = cluster.job()
    failure_attribution = cluster.fleet.failure_attribution
    for _ in range(failures):
        probation = failure_attribution._jobs.get(job.id)
        if probation is not None:
            cluster.now = Monotonic(max(cluster.now, probation.next_at))
        failure_attribution.failed(job.id, MachineId("m-1"), 0.2, False, cluster.now)
        cluster.heartbeat()
    assert cluster.seconds_until_bound(job) <= attribution_module._MAX_PAUSE_S + 1.0


@pytest.mark.parametrize("rule", [{"samePlace": True}, {"scatter": True}])
@pytest.mark.parametrize("known", [False, True])
def test_zone_rule_waits_until_zones_of_bound_tasks_are_known(
    rule: dict[str, bool], known: bool
) -> None:
    """Bound before the zones of its tasks are known, a one-zone job could run in two zones.

    The lease of a machine that sends no heartbeats expires, and then its tasks are bound nowhere.
    """
    cluster = _Cluster()
    job = cluster.job(**rule)
    job.spec = spec(id=job.id, pieces=2, **rule)
    job.done = bytearray(2)
    binding = cluster.inherited_binding(job, "m-9")
    cluster.start_term(binding)
    if known:
        # The cloud's list shows it in a zone where the rule lets the other task run.
        zone = "north" if "samePlace" in rule else "south"
        cluster.fleet.set_kind(cluster.fleet.machines[MachineId("m-9")], "big", zone, False)
    cluster.scheduling_loop.run(cluster.now, Wall(cluster.now))
    assert (job.bound_count == 2) is known
    if not known:
        # Its lease expires 8.5 s after the election, and not earlier.
        took_s = 0.0
        while job.bound_count < 2 and binding in job.bindings():
            took_s += 1.0
            cluster.now = Monotonic(cluster.now + 1.0)
            cluster.heartbeat()
            cluster.fleet.leases.expire_leases(cluster.now)
            cluster.scheduling_loop.run(cluster.now, Wall(cluster.now))
        assert _LEASE_S < took_s <= _LEASE_S + 2.0


def test_team_limit_counts_tasks_until_their_lease_expires() -> None:
    """All that the team's limit allows is bound to a machine that has failed."""
    cluster = _Cluster()
    cancelled = cluster.job(crew="red", vcpus=64.0)
    cluster.start_term(cluster.inherited_binding(cancelled, "m-9"))
    cancelled.cancelled = True
    waiting = cluster.job(crew="red")
    other = cluster.job(crew="blue")
    assert cluster.seconds_until_bound(other) == 0.0
    assert not waiting.bound_count
    took_s = cluster.seconds_until_bound(waiting)
    assert _LEASE_S < took_s + 1.0 <= _LEASE_S + 3.0


@pytest.mark.parametrize("waited_s", [0.0, Policy().starvation_guard_s, 3 * Policy().aging_s])
@pytest.mark.parametrize(
    "changes", [{"vcpus": 64.0}, {"builds": ["other"]}, {"hall": "south"}, {"memoryGb": 500.0}]
)
def test_job_that_fits_no_machine_delays_no_other_job(
    changes: dict[str, Any], waited_s: float
) -> None:
    """A job that fits no machine delays no other job.

    It doesn't as the reserved job, nor by the starvation guard, nor as the oldest of the highest
    level.
    """
    cluster = _Cluster()
    cluster.start_term()
    first = cluster.job(urgency="urgent", **changes)
    first.submitted = Wall(cluster.now - waited_s)
    assert cluster.seconds_until_bound(cluster.job(urgency="idle")) == 0.0
    assert not first.bound_count


@pytest.mark.parametrize(
    "hold",
    [
        lambda cluster: cluster.fleet.machines[MachineId("m-1")].mark_inbound_partitioned(True),
        lambda cluster: setattr(
            cluster.fleet.machines[MachineId("m-1")], "has_current_token", False
        ),
    ],
)
def test_heartbeat_ends_exclusion_of_machine(hold: Callable[[_Cluster], None]) -> None:
    cluster = _Cluster()
    cluster.start_term()
    cluster.now = Monotonic(cluster.now + 1.0)
    hold(cluster)
    assert cluster.seconds_until_bound(cluster.job()) <= 2.0


def test_outbound_partitioned_machine_gets_no_tasks_until_heartbeat() -> None:
    """Replies to direct commands show that a machine is up, but renew no lease.

    So it gets tasks again only with its first heartbeat.
    """
    cluster = _Cluster()
    cluster.start_term()
    for _ in range(6):
        cluster.now = Monotonic(cluster.now + 1.0)
        cluster.sequence += 1
        answer = make_heartbeat("m-1", 1, cluster.sequence, 1)
        cluster.fleet.heartbeats.handle_direct_reply(
            answer, MachineId("m-1"), cluster.now, Wall(cluster.now)
        )
    job = cluster.job()
    cluster.scheduling_loop.run(cluster.now, Wall(cluster.now))
    assert not job.bound_count
    machine = cluster.fleet.machines[MachineId("m-1")]
    assert machine.last_contact_at == cluster.now and not machine.releasing
    assert cluster.seconds_until_bound(job) == 0.0


def test_released_tasks_leave_no_team_usage() -> None:
    """Rounding errors must not add up: after 10,000 tasks the team's usage must still be zero."""
    cluster = _Cluster()
    cluster.start_term()
    job = cluster.job(crew="red", vcpus=0.1)
    for attempt in range(10_000):
        binding = cluster.job_store.bind(
            job, 0, MachineId("m-1"), Incarnation(1), "north", False, Wall(0.0), cluster.now
        )
        assert binding.attempt == Attempt(attempt + 1)
        cluster.job_store.release(binding, "north", cluster.now)
    cluster.job_store.cancel(job)
    next_job = cluster.job(crew="red", vcpus=8.0)
    assert abs(cluster.job_store.team_cpus["red"]) < 1e-6
    assert cluster.seconds_until_bound(next_job) == 0.0
    assert TaskId(JobId("wk-000002"), 0) in cluster.fleet.machines[MachineId("m-1")].bindings
