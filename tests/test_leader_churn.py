"""Cancelled tasks end in time while leaders change every two or three seconds.

Guards against tasks of cancelled jobs that are still on their machines after `cancel_s`. The first
heartbeat that reaches a term carries an older token, and its task list may be older than the term.
If the answer renews the lease without commands and leaves the stop to the next heartbeat, that one
comes only after the next change of leaders: a worker sends its next heartbeat early, after half a
second, for a higher token at most once in half a lease, and otherwise 2.5 s later. So term after
term renews the worker and none stops the task (eleven such answers in a row on the first of
`RUNS`). Therefore every answer that renews a lease carries the stops of the listed tasks that have
to end.
"""

from __future__ import annotations

import logging
from typing import Any, Final

import pytest

from tealrill import wire
from tealrill.fleet.cancelled_tasks import CancelledJob
from tealrill.fleet.commands import Commands
from tealrill.fleet.inventory import Fleet
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario
from tealrill.state.job_store import JobStore
from tealrill.state.records import encode_chunk
from tealrill.types import (
    FencingToken,
    MachineId,
    Monotonic,
    Revision,
    Wall,
)
from tests.samples import make_chunk_with_bound_task, make_heartbeat, spec

LONG_JOBS = ((4, 90.0), (6, 100.0), (2, 120.0))
"""Number of tasks and run time in seconds; no task ends before its cancellation must end it."""
CHURN_S = 55.0


def _shape(nodes: int) -> ClusterConfig:
    """Return a cluster whose heartbeat interval is longer than most terms."""
    return ClusterConfig(
        nodes=nodes,
        machines=14,
        heartbeat_interval_s=2.5,
        lease_s=15.25,
        cancel_s=35.25,
        limit_vcpus=80.0,
        job_kinds=LONG_JOBS,
        cancelled_share=0.0,
        checkpoint_share=0.0,
    )


RUNS = ((3, 2.1, 2), (5, 1.5, 1), (5, 1.7, 2), (5, 2.1, 2), (5, 2.5, 2))
"""Number of controllers, seconds between changes of the leader, seed."""


def _play(nodes: int, every_s: float, seed: int) -> SimulatedCluster:
    async def scenario(cluster: SimulatedCluster) -> None:
        await FaultInjector(cluster).change_leaders(every_s, CHURN_S)

    return run_scenario(seed, _shape(nodes), CHURN_S, scenario=scenario, quiet_s=5.0)


def test_cancelled_tasks_end_in_time_while_leaders_change() -> None:
    broken: list[str] = []
    for nodes, every_s, seed in RUNS:
        cluster = _play(nodes, every_s, seed)
        broken += [f"{nodes} controllers, every {every_s} s: {text}" for text in cluster.violations]
        assert sum(job.cancelled_at is not None for job in cluster.jobs.values()) >= 4
    assert not broken


def test_missing_stop_in_first_answer_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Commands, "stops_for_old_list", lambda *_: [])
    assert {"ran_cancelled", "renewed_unstopped"} <= _play(5, 1.5, 1).violated_invariants


# -- one answer at a time --------------------------------------------------------------------------

MACHINE = MachineId("m-000001")
TERM = FencingToken(7)
ELECTED_AT = Monotonic(100.0)
TASK = "wk-000412/0"
RUNNING: Final[list[tuple[str, int, str, str | None]]] = [(TASK, 1, wire.RUNNING, None)]
STOP = wire.stop_command(TASK, 1, 0.0)


class Term:
    """A leader that has just read its records, with one task started in an earlier term."""

    def __init__(self, bound: bool = True, cancelled: bool = True) -> None:
        self.job_store = JobStore(4.0)
        self.job = self.job_store.add(spec(pieces=1), Wall(0.0), Revision(1))
        record = make_chunk_with_bound_task(MACHINE) if bound else encode_chunk(1, [[2]], {})
        bindings = self.job_store.load(self.job, 0, record, Revision(2))
        self.fleet = Fleet(self.job_store, TERM, ELECTED_AT, 15.25)
        self.fleet.inherit(bindings, ELECTED_AT)
        self._answers = 0
        if cancelled:
            self.cancel()

    def cancel(self) -> None:
        self.job_store.cancel(self.job)
        for binding in self.job.bindings():
            self.fleet.commands.stop(binding, "cancelled", 0.0, ELECTED_AT)

    def answer(self, sequence: int, token: int) -> list[dict[str, Any]] | None:
        """Return the commands of the answer to a heartbeat that lists the task."""
        self._answers += 1
        now = Monotonic(ELECTED_AT + self._answers)
        heartbeat = make_heartbeat(MACHINE, 1, sequence, token, RUNNING)
        return self.fleet.heartbeats.process(heartbeat, MACHINE, now, Wall(0.0))


def test_first_answer_of_term_contains_stop() -> None:
    assert Term().answer(sequence=5, token=TERM - 1) == [STOP]


def test_answer_to_overtaken_heartbeat_contains_stop() -> None:
    term = Term()
    assert term.answer(sequence=6, token=TERM) == [STOP]
    assert term.answer(sequence=5, token=TERM) == [STOP]
    assert term.answer(sequence=4, token=TERM - 1) == [STOP]


def test_cancellation_stops_task_on_unchanged_machine() -> None:
    term = Term(cancelled=False)
    assert [term.answer(n, TERM) for n in (5, 6, 7)] == [[], [], []]
    term.cancel()
    assert term.answer(8, TERM) == [STOP]


def test_first_answer_stops_task_without_record_of_ended_job() -> None:
    """A task without a record, whose job has ended or is unknown, is not stopped otherwise."""
    assert Term(bound=False).answer(sequence=5, token=TERM - 1) == [STOP]


def test_outdated_list_stops_no_task_of_open_job() -> None:
    assert Term(cancelled=False).answer(sequence=5, token=TERM - 1) == []
    assert Term(bound=False, cancelled=False).answer(sequence=5, token=TERM - 1) == []
    # A list sent within the term is current, so an attempt without a record is stopped.
    assert Term(bound=False, cancelled=False).answer(sequence=5, token=TERM) == [STOP]


# -- log lines and status --------------------------------------------------------------------------


def test_overdue_cancelled_task_is_logged_once_per_term(
    caplog: pytest.LogCaptureFixture,
) -> None:
    term = Term()
    term.job.cancelled_at = Wall(-20.0)
    term.fleet.stop_timeout_s = 10.0
    with caplog.at_level(logging.INFO, "tealrill.fleet.cancelled_tasks"):
        term.answer(sequence=5, token=TERM - 1)
        term.answer(sequence=6, token=TERM)
    (line,) = [record.getMessage() for record in caplog.records]
    assert line == (
        f"cancelled task still listed: task={TASK} attempt=1 machine={MACHINE} term={TERM} "
        "cancelled_s_ago=20.0 list=old lease=renewed with the stop"
    )
    shown = term.fleet.cancelled_tasks
    assert (shown.old_list_renewals, shown.renewals_with_stops) == (1, 2)
    assert shown.rows(Wall(5.0)) == [CancelledJob("wk-000412", 25.0, 1, [MACHINE])]


def test_recent_cancellation_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    term = Term()
    term.job.cancelled_at = Wall(-9.0)
    term.fleet.stop_timeout_s = 10.0
    with caplog.at_level(logging.INFO, "tealrill.fleet.cancelled_tasks"):
        term.answer(sequence=5, token=TERM - 1)
    assert not caplog.records
