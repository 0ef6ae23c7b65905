"""No task starts of a job whose records can't be read in full.

Guards against tasks of a blocked job that start all the same, beside tasks of it that may be
running on machines unknown to this leader.
"""

from __future__ import annotations

from typing import Any

import pytest

from tealrill import wire
from tealrill.state.bindings import Job
from tealrill.state.job_store import JobStore
from tealrill.state.records import TASK_DONE, RecordError
from tealrill.types import MachineId, Monotonic, Revision, Wall
from tests.samples import make_heartbeat, spec
from tests.test_dispatch import build_scheduling_loop

CHUNK = 2
"""Tasks of a chunk."""
RELEASED = {"n": CHUNK, "tasks": [[2], [2]]}
"""A chunk whose tasks were bound once and may be bound again."""
BOUND = {"n": CHUNK, "tasks": [[2, "m-000001", 1, 1, 0, 5], TASK_DONE]}
"""A chunk with a bound task and one that is done."""
UNREADABLE = {"n": CHUNK, "tasks": [[]]}


def _loaded(*chunks: dict[str, object]) -> tuple[JobStore, Job]:
    """Load the chunks as a new leader does, which holds a job with an unreadable chunk."""
    store = JobStore(4.0)
    job = store.add(spec(pieces=CHUNK * len(chunks)), Wall(0.0), Revision(1))
    for number, value in enumerate(chunks):
        try:
            store.load(job, number, value, Revision(3))
        except RecordError:
            store.hold(job)
    return store, job


@pytest.mark.parametrize(
    "chunks",
    [
        (UNREADABLE, RELEASED),
        (RELEASED, UNREADABLE),
        (RELEASED, UNREADABLE, RELEASED),
        (UNREADABLE, BOUND),
        (BOUND, UNREADABLE, RELEASED),
    ],
)
def test_job_with_an_unreadable_chunk_has_no_task_to_start(
    chunks: tuple[dict[str, object], ...],
) -> None:
    """Guards against a chunk that is read after the unreadable one and frees tasks of the job."""
    store, job = _loaded(*chunks)
    assert job.waiting == 0
    assert store.pop_unbound_task(job) is None


def test_released_task_of_a_held_job_is_not_started_again() -> None:
    """Guards against a task that is requeued when its machine's lease expires."""
    store, job = _loaded(BOUND, UNREADABLE)
    (binding,) = job.bindings()
    assert binding.machine == MachineId("m-000001")
    store.release(binding, "", Monotonic(5.0))
    assert job.waiting == 0
    assert store.pop_unbound_task(job) is None


def test_completions_of_a_held_job_are_recorded() -> None:
    """Guards against work that is lost because its job is held."""
    store, job = _loaded(BOUND, UNREADABLE)
    assert store.complete(job, 0, Monotonic(5.0))
    assert job.done_count == 2 and job.waiting == 0


def test_blocked_task_does_not_start_from_the_requeue() -> None:
    """Guards against a task that is blocked while it waits to be bound again."""
    store, job = _loaded(RELEASED, RELEASED)
    store.block_tasks(job)
    assert store.unblock_task(job, 3)
    assert job.waiting == 1
    assert store.pop_unbound_task(job) == 3
    assert store.pop_unbound_task(job) is None


def test_listed_task_of_a_job_with_an_unreadable_record_is_stopped() -> None:
    """Guards against a task that runs although this leader counts it in no team's limit."""
    fleet = build_scheduling_loop()[1]
    fleet.inherit([], Monotonic(0.0))
    lines: list[tuple[str, int, str, str | None]] = [("wk-000003/0", 1, "running", None)]
    orders: list[Any] = []
    for sequence in (1, 2):
        answer = fleet.heartbeats.process(
            make_heartbeat("m-000001", 1, sequence, 1, lines),
            MachineId("m-000001"),
            Monotonic(float(sequence)),
            Wall(0.0),
        )
        assert answer is not None
        orders += answer
    assert orders and {(order["verb"], order["piece"]) for order in orders} == {
        (wire.STOP, "wk-000003/0")
    }
