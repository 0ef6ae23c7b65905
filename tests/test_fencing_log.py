"""What is logged and counted of forgotten attempts and of refused direct commands."""

from __future__ import annotations

import logging

import pytest

from tealrill import wire
from tealrill.fleet.fencing_log import MAX_REMEMBERED_FORGETS, FencingCounts, FencingLog
from tealrill.fleet.inventory import Fleet
from tealrill.state.job_store import JobStore
from tealrill.types import (
    Attempt,
    FencingToken,
    JobId,
    MachineId,
    Monotonic,
    Revision,
    TaskId,
    Wall,
)
from tests.samples import make_heartbeat, spec

TERM = FencingToken(1)
MACHINE = MachineId("m-1")
TASK = "wk-000412/3"
NOW = Monotonic(100.0)


def _report(fleet: Fleet, sequence: int, state: str, why: str | None) -> None:
    heartbeat = make_heartbeat(MACHINE, 1, sequence, TERM, [(TASK, 2, state, why)])
    now = Monotonic(NOW + sequence)
    assert fleet.heartbeats.process(heartbeat, MACHINE, now, Wall(0.0)) is not None


def test_forgotten_attempt_that_runs_again_is_logged_and_counted_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    fleet = Fleet(JobStore(4.0), TERM, NOW, 8.0)
    fleet.inherit([], NOW)
    _report(fleet, 1, wire.EXITED, wire.WHY_ERROR)
    # The forget may be lost: an attempt that is still listed as exited does not run again.
    _report(fleet, 2, wire.EXITED, wire.WHY_ERROR)
    assert fleet.fencing_log.counts == FencingCounts(forgotten=2)
    for sequence in (3, 4):
        _report(fleet, sequence, wire.RUNNING, None)
    assert fleet.fencing_log.counts == FencingCounts(forgotten=2, listed_again=1)
    (line,) = [r.getMessage() for r in caplog.records if r.levelno == logging.WARNING]
    assert line == (
        "forgotten attempt listed again: "
        "machine=m-1 task=wk-000412/3 attempt=2 term=1 forgotten_s=1.0"
    )


def test_unknown_attempt_is_not_taken_for_a_forgotten_one() -> None:
    fleet = Fleet(JobStore(4.0), TERM, NOW, 8.0)
    fleet.inherit([], NOW)
    _report(fleet, 1, wire.RUNNING, None)
    assert fleet.fencing_log.counts == FencingCounts()


@pytest.mark.parametrize(
    ("seen", "counts", "reason"),
    [
        (8, FencingCounts(refused_for_token=1), "reason=token token=7 seen=8"),
        (7, FencingCounts(refused_for_incarnation=1), "reason=incarnation token=7 seen=7"),
        (None, FencingCounts(malformed=1), "reason=malformed token=7 seen=0"),
    ],
)
def test_refused_commands_are_counted_by_reason(
    seen: int | None, counts: FencingCounts, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    fencing_log = FencingLog(TERM)
    report = make_heartbeat(MACHINE, 1, 1, seen) if seen is not None else None
    with caplog.at_level(logging.INFO):
        fencing_log.on_refused(MACHINE, 7, report)
    assert fencing_log.counts == counts
    (line,) = [record.getMessage() for record in caplog.records]
    assert line == f"direct commands refused: machine=m-1 term=1 {reason}"


def test_log_tells_under_which_tokens_an_attempt_was_started_and_forgotten(
    caplog: pytest.LogCaptureFixture,
) -> None:
    job_store = JobStore(4.0)
    job = job_store.add(spec(id="wk-000412", pieces=1), Wall(0.0), Revision(1))
    fleet = Fleet(job_store, TERM, NOW, 8.0)
    fleet.inherit([], NOW)
    with caplog.at_level(logging.DEBUG, "tealrill.fleet.fencing_log"):
        heartbeat = make_heartbeat(MACHINE, 1, 1, TERM)
        fleet.heartbeats.process(heartbeat, MACHINE, NOW, Wall(0.0))
        binding = fleet.bind(job, fleet.machines[MACHINE], False, Wall(0.0), NOW)
        assert binding is not None
        fleet.commands.direct_sent([binding])
        for sequence in (2, 3, 4):
            binding.chunk.committed = binding.chunk.version
            exited = (str(binding.task), 1, wire.EXITED, wire.WHY_DONE)
            heartbeat = make_heartbeat(MACHINE, 1, sequence, TERM, [exited] if sequence > 2 else [])
            fleet.heartbeats.process(heartbeat, MACHINE, NOW, Wall(0.0))
    lines = [
        record.getMessage()
        for record in caplog.records
        if record.name == "tealrill.fleet.fencing_log"
    ]
    assert lines == [
        "start sent: machine=m-1 task=wk-000412/0 attempt=1 token=1 way=response",
        "forget sent: machine=m-1 task=wk-000412/0 attempt=1 token=2",
    ]


def test_number_of_remembered_forgets_is_bounded() -> None:
    fencing_log = FencingLog(TERM)
    for index in range(2 * MAX_REMEMBERED_FORGETS):
        fencing_log.on_forget(MACHINE, TaskId(JobId("wk-1"), index), Attempt(1), TERM, NOW)
    assert len(fencing_log._forgotten) == MAX_REMEMBERED_FORGETS


def test_nothing_is_kept_of_a_machine_that_is_gone() -> None:
    fleet = Fleet(JobStore(4.0), TERM, NOW, 8.0)
    fleet.inherit([], NOW)
    _report(fleet, 1, wire.EXITED, wire.WHY_ERROR)
    fleet.released(MACHINE, NOW)
    assert not fleet.fencing_log._forgotten
