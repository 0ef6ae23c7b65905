"""A log tells why a job's tasks wait, once a change.

Guards against accepted jobs that wait for minutes while nothing in the log says for what.
"""

from __future__ import annotations

import logging
from typing import Any

import pytest

from tealrill.fleet.waiting_jobs import WaitingJobs, WaitReason, _unplaced_reason
from tealrill.scheduler.capacity import Offer
from tealrill.scheduler.model import View
from tealrill.types import Monotonic, Revision, Wall
from tests.samples import job_view, machine_view, spec
from tests.test_dispatch import build_scheduling_loop

NOW = Monotonic(10.0)
LATER = Monotonic(40.0)


def _offers(*zones: str) -> list[Offer]:
    return [Offer("big", zone, False, 8.0, 0.0, 64.0, 1.0, 30.0, 1.0) for zone in zones]


@pytest.mark.parametrize(
    ("reason", "job", "machines", "pending", "offers"),
    [
        (WaitReason.CAPACITY_KEPT, {}, [{}], [], []),
        (WaitReason.NO_CAPACITY, {}, [{"cpus": 0.0}], [], []),
        (WaitReason.RENTABLE, {}, [{"cpus": 0.0}], [], ["north"]),
        (WaitReason.BOOTING, {}, [{"ready_at": LATER}], [], ["north"]),
        (WaitReason.BOOTING, {}, [], [{}], []),
        (WaitReason.NO_CAPACITY, {"zone": "south"}, [{}], [{}], ["north"]),
        (WaitReason.NO_CAPACITY, {"spot": False}, [{"spot": True}], [], []),
        (
            WaitReason.ZONE_RULES,
            {"spread": True, "tasks": 2, "zone_counts": {"north": 1}},
            [{}],
            [],
            ["north"],
        ),
        (
            WaitReason.RENTABLE,
            {"spread": True, "tasks": 2, "zone_counts": {"north": 1}},
            [{}],
            [],
            ["north", "south"],
        ),
        (
            WaitReason.ZONE_RULES,
            {"spread": True, "tasks": 2, "zone_counts": {"north": 1}, "zone": "north"},
            [{}],
            [],
            ["north", "south"],
        ),
        (WaitReason.NO_CAPACITY, {}, [], [], []),
    ],
)
def test_reason_of_an_unplaced_job(
    reason: WaitReason,
    job: dict[str, Any],
    machines: list[dict[str, Any]],
    pending: list[dict[str, Any]],
    offers: list[str],
) -> None:
    """Guards against a reason that sends an operator to the wrong place."""
    view = View(
        [machine_view(f"m-{n}", **fields) for n, fields in enumerate(machines)],
        [],
        {},
        pending_machines=[machine_view(f"m-9{n}", **fields) for n, fields in enumerate(pending)],
    )
    assert _unplaced_reason(job_view("job-1", **job), view, _offers(*offers), NOW) is reason


def _waits(caplog: pytest.LogCaptureFixture) -> list[str]:
    lines = [r.getMessage() for r in caplog.records if r.name == WaitingJobs.__module__]
    caplog.clear()
    return lines


def test_long_wait_is_logged_once_a_change(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against silence about a waiting job, and against a line in every pass."""
    loop, _, store, _ = build_scheduling_loop()
    job = store.add(spec(id="wk-000001", vcpus=4.0, pieces=2), Wall(0.0), Revision(1))
    with caplog.at_level(logging.INFO):
        loop.run(Monotonic(30.0), Wall(30.0))
        assert not _waits(caplog)
        for at in range(61, 80, 2):
            loop.run(Monotonic(float(at)), Wall(float(at)))
        (line,) = _waits(caplog)
        assert "job=wk-000001 reason=" in line and "tasks_waiting=2 tasks_bound=0" in line
        store.hold(job)
        loop.run(Monotonic(90.0), Wall(90.0))
        (line,) = _waits(caplog)
        assert "reason=records_unreadable" in line
        store.cancel(job)
        loop.run(Monotonic(100.0), Wall(100.0))
        assert _waits(caplog) == ["job waits no longer: job=wk-000001"]


def test_cancelled_job_with_a_bound_task_does_not_wait(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a held job that is said to wait after its user has cancelled it."""
    loop, fleet, store, _ = build_scheduling_loop()
    job = store.add(spec(id="wk-000001", pieces=2), Wall(0.0), Revision(1))
    chunk = {"n": 2, "tasks": [[2, "m-000001", 1, 1, 0, 5], 0]}
    fleet.inherit(store.load(job, 0, chunk, Revision(3)), Monotonic(0.0))
    store.hold(job)
    with caplog.at_level(logging.INFO):
        loop.run(Monotonic(70.0), Wall(70.0))
        assert "reason=records_unreadable" in _waits(caplog)[0]
        store.cancel(job)
        assert job.bound_count == 1
        loop.run(Monotonic(80.0), Wall(80.0))
        loop.run(Monotonic(90.0), Wall(90.0))
    assert _waits(caplog) == ["job waits no longer: job=wk-000001"]


def test_team_limit_is_a_reason(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a job at its team's limit that looks like one without machines."""
    loop, _, store, _ = build_scheduling_loop()
    store.add(spec(id="wk-000001", crew="red", vcpus=40.0, pieces=1), Wall(0.0), Revision(1))
    store.team_cpus["red"] = 40.0
    with caplog.at_level(logging.INFO):
        loop.run(Monotonic(70.0), Wall(70.0))
    (line,) = _waits(caplog)
    assert "reason=team_limit" in line
