"""The simulated worker follows the protocol's section on workers."""

from __future__ import annotations

from typing import Any

from tealrill import wire
from tealrill.simulation.cloud_service import Machine
from tealrill.simulation.worker import JobDescription, Worker

LEASE_S = 8.0
JOB = "wk-000001"
RUN_S = 30.0
SAVE_S = 1.5


class _Clock:
    now = 100.0


def _worker(clock: _Clock, checkpoint_s: float = 0.0) -> Worker:
    machine = Machine("m-000001", "10.1.0.1:9000", "north", True, 0.0, 0.0)
    jobs = {JOB: JobDescription(2, RUN_S, 2.0, checkpoint_s, SAVE_S)}
    return Worker(machine, LEASE_S, lambda: clock.now, jobs, lambda *_: None, set(), {})


def _listed(worker: Worker) -> list[tuple[int, str, str | None]]:
    return [(p["try"], p["status"], p.get("cause")) for p in worker.build_heartbeat()["pieces"]]


def _start(attempt: int) -> dict[str, Any]:
    return wire.start_command(f"{JOB}/0", attempt)


def _stop(attempt: int, grace_s: float) -> dict[str, Any]:
    return wire.stop_command(f"{JOB}/0", attempt, grace_s)


def _run(worker: Worker, clock: _Clock) -> None:
    worker.execute([_start(1)])
    clock.now += 1.0
    worker.tick()
    assert _listed(worker) == [(1, wire.RUNNING, None)]


def test_higher_token_counts_as_change_once_per_half_lease() -> None:
    clock = _Clock()
    worker = _worker(clock)
    changes = []
    for token in range(1, 10):
        worker.unreported_change.clear()
        worker.observe_token(token)
        changes.append(worker.unreported_change.is_set())
        clock.now += LEASE_S / 8
    assert worker.token == 9
    assert changes == [True, False, False, False, True, False, False, False, True]


def test_stop_with_grace_saves_checkpoint() -> None:
    clock = _Clock()
    worker = _worker(clock, checkpoint_s=5.0)
    _run(worker, clock)
    clock.now += 3.0
    worker.execute([_stop(1, SAVE_S)])
    assert _listed(worker) == [(1, wire.SAVING, None)]
    clock.now += SAVE_S
    worker.tick()
    assert _listed(worker) == [(1, wire.EXITED, wire.WHY_STOPPED)]
    assert 3.0 <= worker.checkpoints[f"{JOB}/0"] <= 4.0


def test_stop_without_grace_ends_saving_task() -> None:
    clock = _Clock()
    worker = _worker(clock, checkpoint_s=5.0)
    _run(worker, clock)
    worker.execute([_stop(1, SAVE_S), _stop(1, SAVE_S)])
    assert _listed(worker) == [(1, wire.SAVING, None)]
    worker.execute([_stop(1, 0.0)])
    assert _listed(worker) == [(1, wire.EXITED, wire.WHY_STOPPED)]
    assert not worker.checkpoints


def test_commands_apply_only_to_their_attempt() -> None:
    clock = _Clock()
    worker = _worker(clock)
    _run(worker, clock)
    # A repeated start has no effect; another attempt is rejected while this one is present.
    worker.execute([_start(1), _start(2), _stop(3, 0.0)])
    rejected = (2, wire.EXITED, "in_use")
    assert _listed(worker) == [(1, wire.RUNNING, None), rejected]
    worker.execute([wire.forget_command(f"{JOB}/0", 1), wire.forget_command(f"{JOB}/0", 2)])
    assert _listed(worker) == [(1, wire.RUNNING, None)]
    worker.execute([_stop(1, 0.0), wire.forget_command(f"{JOB}/0", 1), _start(1)])
    assert _listed(worker) == [(1, wire.FETCHING, None)]


def test_heartbeat_reports_remaining_notice_time() -> None:
    clock = _Clock()
    worker = _worker(clock)
    assert worker.build_heartbeat()["warningS"] is None
    worker.terminates_at = clock.now + 6.0
    clock.now += 2.0
    assert worker.build_heartbeat()["warningS"] == 4.0


def test_failing_task_exits_with_an_error_before_it_completes() -> None:
    clock = _Clock()
    worker = _worker(clock)
    worker.fails_after_s = lambda: 3.0
    _run(worker, clock)
    clock.now += 3.0
    worker.tick()
    assert _listed(worker) == [(1, wire.EXITED, wire.WHY_ERROR)]
    assert not worker.completed_tasks
