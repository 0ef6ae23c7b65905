"""The lab: days of whole controllers, and that each of its checks fires.

A fixed set of days is played here; `python3 -m tealrill.simulation hunt` plays others.
"""

from __future__ import annotations

import asyncio
from asyncio import Future
from collections.abc import Callable
from typing import Any

import pytest
from click.testing import CliRunner
from tornado.iostream import IOStream

from tealrill import wire
from tealrill.fleet.autoscaling import Autoscaler
from tealrill.fleet.commands import Commands
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.leases import Leases
from tealrill.fleet.machine import Machine
from tealrill.fleet.snapshot import SnapshotBuilder
from tealrill.leader.job_lifecycle import JobLifecycle
from tealrill.simulation.__main__ import main
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario
from tealrill.state.admission import Admission
from tealrill.state.admission import Reply as UserReply
from tealrill.state.bindings import Job
from tealrill.state.client import StateClient
from tealrill.state.job_store import JobStore
from tealrill.types import JobId, Monotonic
from tests.test_flapping import LONG_JOBS

_SHORT_S = 60.0


@pytest.mark.parametrize(("seed", "nodes"), [(1, 3), (2, 3), (3, 3), (4, 5)])
def test_no_rule_breaks_where_troubles_meet(seed: int, nodes: int) -> None:
    cluster = run_scenario(seed, ClusterConfig(nodes=nodes))
    assert not cluster.violations, [*cluster.events, *cluster.violations]
    assert cluster.starts > 30 and sum(job.done for job in cluster.jobs.values()) > 10


def test_the_same_seed_gives_the_same_day() -> None:
    def told(cluster: SimulatedCluster) -> object:
        return cluster.events, cluster.starts, [job.answered_at for job in cluster.jobs.values()]

    assert told(run_scenario(7, trouble_s=_SHORT_S)) == told(run_scenario(7, trouble_s=_SHORT_S))
    assert told(run_scenario(8, trouble_s=_SHORT_S)) != told(run_scenario(7, trouble_s=_SHORT_S))


def test_no_real_connection_is_tried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Probes of silent machines went to their simulated addresses over the real network."""
    tried: list[object] = []

    def connect(_: IOStream, address: object, *__: object, **___: object) -> Future[IOStream]:
        tried.append(address)
        raise OSError("no real network here")

    monkeypatch.setattr(IOStream, "connect", connect)
    cluster = run_scenario(7, trouble_s=_SHORT_S)
    assert cluster.starts and not tried


# -- planted faults -------------------------------------------------------------------------------


def _lapses_at_once(patch: pytest.MonkeyPatch) -> None:
    """A machine that is silent for a moment has its tasks given away."""

    def silent(self: Leases, now: Monotonic) -> list[Machine]:
        known = self._fleet.machines.values()
        return [m for m in known if m.last_contact_at is not None and now - m.last_contact_at > 0.8]

    patch.setattr(Leases, "expired_machines", silent)


def _deaf_to_users(patch: pytest.MonkeyPatch) -> None:
    """The leader never hears of a cancellation."""
    patch.setattr(JobLifecycle, "on_cancelled", lambda *_: None)


def _boundless(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SnapshotBuilder, "_teams", lambda _: {})


def _anywhere(patch: pytest.MonkeyPatch) -> None:
    whole = SnapshotBuilder._job_view

    def job(self: SnapshotBuilder, *given: Any) -> Any:
        found = whole(self, *given)
        found.zone = None
        found.spot = True
        return found

    patch.setattr(SnapshotBuilder, "_job_view", job)


def _soon_done(patch: pytest.MonkeyPatch) -> None:
    """The first task's end is the job's."""
    whole = JobStore.complete

    def complete(self: JobStore, job: Job, index: int, now: Monotonic) -> bool:
        for other in range(job.spec.tasks):
            whole(self, job, other, now)
        return whole(self, job, index, now)

    patch.setattr(JobStore, "complete", complete)


def _answer(status: int, said: str) -> Callable[[pytest.MonkeyPatch], None]:
    def fault(patch: pytest.MonkeyPatch) -> None:
        async def answer(self: Admission, job_id: JobId) -> UserReply:
            return UserReply(status, wire.job_status(job_id, said))

        patch.setattr(Admission, "_status", answer)

    return fault


def _never_answers(patch: pytest.MonkeyPatch) -> None:
    async def answer(self: Admission, text: str) -> UserReply:
        return UserReply(503, {})

    patch.setattr(Admission, "status", answer)


def _idle(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SchedulingLoop, "run", lambda *_: None)


def _passes_over(patch: pytest.MonkeyPatch) -> None:
    """Every third job is never placed, and the machines that it could use stay."""
    whole = SnapshotBuilder._startable_tasks

    def waiting(self: SnapshotBuilder, job: Job, now: Monotonic) -> int:
        return 0 if job.id.endswith(("3", "6", "9")) else whole(self, job, now)

    patch.setattr(SnapshotBuilder, "_startable_tasks", waiting)
    patch.setattr(Autoscaler, "release_unneeded", lambda *_: None)


def _takes_anything(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Admission, "rejection", lambda *_: None)


def _ends_by_itself(patch: pytest.MonkeyPatch) -> None:
    async def watch(*_: object) -> None:
        raise ValueError("planted")

    patch.setattr(StateClient, "create_lease", watch)


@pytest.mark.parametrize(
    ("rule", "fault"),
    [
        ("ran_twice", _lapses_at_once),
        ("ran_cancelled", _deaf_to_users),
        ("quota", _boundless),
        ("wrong_place", _anywhere),
        ("not_done", _soon_done),
        ("forgotten", _answer(404, wire.JOB_PENDING)),
        ("forgotten", _never_answers),
        ("invented", _answer(200, wire.JOB_PENDING)),
        ("went_back", _answer(200, wire.JOB_CANCELLED)),
        ("nothing_ran", _idle),
        ("ended", _ends_by_itself),
    ],
)
def test_each_rule_is_watched(
    rule: str, fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    # Other rules may break first; this one breaks on some short day.
    found: set[str] = set()
    for seed in range(1, 5):
        config = ClusterConfig(limit_vcpus=16.0 if rule == "quota" else 64.0)
        if rule == "ran_cancelled":
            # Of the usual jobs hardly any runs for longer than a cancelled one may.
            config = ClusterConfig(limit_vcpus=64.0, job_kinds=LONG_JOBS)
        found |= run_scenario(seed, config, _SHORT_S, until=rule).violated_invariants
        if rule in found:
            return
    raise AssertionError(f"{rule} is not among {found}")


async def _odd_requests(cluster: SimulatedCluster) -> None:
    cluster.active_faults.invalid_requests = cluster.active_faults.cancel_in_flight = True
    cluster.active_faults.command_delay_s = 2.0
    await asyncio.sleep(20.0)
    cluster.active_faults.invalid_requests = cluster.active_faults.cancel_in_flight = False
    cluster.active_faults.command_delay_s = 0.0


def _starts_whatever_is_bound(patch: pytest.MonkeyPatch) -> None:
    """A task whose job was called off is started all the same, and never told to stop."""
    patch.setattr(Commands, "_may_start", staticmethod(lambda b: b.committed and not b.inherited))
    patch.setattr(Commands, "_may_send_in_response", lambda _, b: b.committed and not b.inherited)
    patch.setattr(Commands, "stop", lambda *_: True)


@pytest.mark.parametrize(
    ("rule", "fault", "quiet_s"),
    [
        ("waited", _passes_over, 105.0),
        ("accepted", _takes_anything, 1.0),
        ("started_late", _starts_whatever_is_bound, 1.0),
    ],
)
def test_what_is_newly_counted_is_watched(
    rule: str,
    fault: Callable[[pytest.MonkeyPatch], None],
    quiet_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sound = run_scenario(1, ClusterConfig(), _SHORT_S, scenario=_odd_requests, quiet_s=quiet_s)
    assert not sound.violations
    fault(monkeypatch)
    found: set[str] = set()
    for seed in range(1, 5):
        found |= run_scenario(
            seed, ClusterConfig(), _SHORT_S, scenario=_odd_requests, quiet_s=quiet_s, until=rule
        ).violated_invariants
    assert rule in found


def test_a_broken_rule_is_told_with_its_day(monkeypatch: pytest.MonkeyPatch) -> None:
    args = ["hunt", "--days", "1", "--seed", "2", "--for-s", "30"]
    fine = CliRunner().invoke(main, args)
    assert fine.exit_code == 0 and "0 rules broken" in fine.output
    _deaf_to_users(monkeypatch)
    _answer(200, wire.JOB_CANCELLED)(monkeypatch)
    bad = CliRunner().invoke(main, args)
    assert bad.exit_code == 1
    assert "seed 2" in bad.output and "BROKEN" in bad.output and "all troubles" in bad.output
    assert CliRunner().invoke(main, ["hunt", "--days", "none"]).exit_code == 2
