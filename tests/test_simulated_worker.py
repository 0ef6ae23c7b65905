"""The simulated worker keeps the protocol's section on workers."""

from __future__ import annotations

from typing import Any

from tealrill import wire
from tealrill.simulation.cloud_service import Machine
from tealrill.simulation.worker import Description, Worker

LEASE_S = 8.0
JOB = "wk-000001"
RUN_S = 30.0
SAVE_S = 1.5


class _Clock:
    now = 100.0


def _worker(clock: _Clock, checkpoint_s: float = 0.0) -> Worker:
    machine = Machine("m-000001", "10.1.0.1:9000", "north", True, 0.0, 0.0)
    jobs = {JOB: Description(2, RUN_S, 2.0, checkpoint_s, SAVE_S)}
    return Worker(machine, LEASE_S, lambda: clock.now, jobs, lambda *_: None, set(), {})


def _listed(worker: Worker) -> list[tuple[int, str, str | None]]:
    return [(p["try"], p["status"], p.get("cause")) for p in worker.report()["pieces"]]


def _start(attempt: int) -> dict[str, Any]:
    return wire.start_command(f"{JOB}/0", attempt)


def _stop(attempt: int, grace_s: float) -> dict[str, Any]:
    return wire.stop_command(f"{JOB}/0", attempt, grace_s)


def _run(worker: Worker, clock: _Clock) -> None:
    worker.execute([_start(1)])
    clock.now += 1.0
    worker.tick()
    assert _listed(worker) == [(1, wire.RUNNING, None)]


def test_a_higher_token_is_a_change_at_most_once_in_half_a_lease() -> None:
    clock = _Clock()
    worker = _worker(clock)
    changes = []
    for token in range(1, 10):
        worker.changed.clear()
        worker.observe_token(token)
        changes.append(worker.changed.is_set())
        clock.now += LEASE_S / 8
    assert worker.token == 9
    assert changes == [True, False, False, False, True, False, False, False, True]


def test_a_task_with_checkpoints_saves_when_it_is_given_the_time() -> None:
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


def test_a_second_stop_without_time_ends_a_task_that_saves() -> None:
    clock = _Clock()
    worker = _worker(clock, checkpoint_s=5.0)
    _run(worker, clock)
    worker.execute([_stop(1, SAVE_S), _stop(1, SAVE_S)])
    assert _listed(worker) == [(1, wire.SAVING, None)]
    worker.execute([_stop(1, 0.0)])
    assert _listed(worker) == [(1, wire.EXITED, wire.WHY_STOPPED)]
    assert not worker.checkpoints


def test_attempts_are_told_apart() -> None:
    clock = _Clock()
    worker = _worker(clock)
    _run(worker, clock)
    # Repeated it does nothing; another attempt is refused while this one is there.
    worker.execute([_start(1), _start(2), _stop(3, 0.0)])
    refused = (2, wire.EXITED, "in_use")
    assert _listed(worker) == [(1, wire.RUNNING, None), refused]
    worker.execute([wire.forget_command(f"{JOB}/0", 1), wire.forget_command(f"{JOB}/0", 2)])
    assert _listed(worker) == [(1, wire.RUNNING, None)]
    worker.execute([_stop(1, 0.0), wire.forget_command(f"{JOB}/0", 1), _start(1)])
    assert _listed(worker) == [(1, wire.FETCHING, None)]


def test_a_notice_is_reported_with_what_is_left_of_it() -> None:
    clock = _Clock()
    worker = _worker(clock)
    assert worker.report()["warningS"] is None
    worker.taken_at = clock.now + 6.0
    clock.now += 2.0
    assert worker.report()["warningS"] == 4.0
