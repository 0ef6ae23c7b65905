"""Simulation runs of whole controllers, and a test of each invariant by a planted bug.

The seeds are fixed here; `python3 -m tealrill.simulation hunt` simulates others.
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
from tealrill.simulation.process import Shape
from tealrill.simulation.scenario import play
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
    world = play(seed, Shape(nodes=nodes))
    assert not world.broken, [*world.events, *world.broken]
    assert world.starts > 30 and sum(job.done for job in world.jobs.values()) > 10


def test_the_same_seed_gives_the_same_day() -> None:
    def told(world: SimulatedCluster) -> object:
        return world.events, world.starts, [job.answered_at for job in world.jobs.values()]

    assert told(play(7, trouble_s=_SHORT_S)) == told(play(7, trouble_s=_SHORT_S))
    assert told(play(8, trouble_s=_SHORT_S)) != told(play(7, trouble_s=_SHORT_S))


def test_no_real_connection_is_tried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Probes of unreachable machines must not be sent to their addresses in the real network."""
    tried: list[object] = []

    def connect(_: IOStream, address: object, *__: object, **___: object) -> Future[IOStream]:
        tried.append(address)
        raise OSError("connection to the real network in a simulation")

    monkeypatch.setattr(IOStream, "connect", connect)
    world = play(7, trouble_s=_SHORT_S)
    assert world.starts and not tried


# -- planted bugs ---------------------------------------------------------------------------------


def _lapses_at_once(patch: pytest.MonkeyPatch) -> None:
    """Leases count as expired after 0.8 s without contact, so tasks are started elsewhere."""

    def silent(self: Leases, now: Monotonic) -> list[Machine]:
        known = self._fleet.machines.values()
        return [m for m in known if m.last_contact_at is not None and now - m.last_contact_at > 0.8]

    patch.setattr(Leases, "expired_machines", silent)


def _deaf_to_users(patch: pytest.MonkeyPatch) -> None:
    """The leader ignores cancellations."""
    patch.setattr(JobLifecycle, "on_cancelled", lambda *_: None)


def _boundless(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SnapshotBuilder, "_teams", lambda _: {})


def _anywhere(patch: pytest.MonkeyPatch) -> None:
    whole = SnapshotBuilder._job

    def job(self: SnapshotBuilder, *given: Any) -> Any:
        found = whole(self, *given)
        found.zone = None
        found.spot = True
        return found

    patch.setattr(SnapshotBuilder, "_job", job)


def _soon_done(patch: pytest.MonkeyPatch) -> None:
    """The completion of one task completes all tasks of its job."""
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
    """A third of the jobs is never placed, and idle machines are not released."""
    whole = SnapshotBuilder._waiting

    def waiting(self: SnapshotBuilder, job: Job, now: Monotonic) -> int:
        return 0 if job.id.endswith(("3", "6", "9")) else whole(self, job, now)

    patch.setattr(SnapshotBuilder, "_waiting", waiting)
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
    # Other invariants may be violated first; one of these short runs violates this one.
    found: set[str] = set()
    for seed in range(1, 5):
        shape = Shape(limit_vcpus=16.0 if rule == "quota" else 64.0)
        if rule == "ran_cancelled":
            # Most of the default jobs end before `cancel_s` has passed.
            shape = Shape(limit_vcpus=64.0, jobs=LONG_JOBS)
        found |= play(seed, shape, _SHORT_S, until=rule).rules
        if rule in found:
            return
    raise AssertionError(f"invariant {rule} not violated; violated: {found}")


async def _odd_requests(world: SimulatedCluster) -> None:
    world.active_faults.invalid_requests = world.active_faults.cancel_in_flight = True
    world.active_faults.command_delay_s = 2.0
    await asyncio.sleep(20.0)
    world.active_faults.invalid_requests = world.active_faults.cancel_in_flight = False
    world.active_faults.command_delay_s = 0.0


def _starts_whatever_is_bound(patch: pytest.MonkeyPatch) -> None:
    """A task whose job is cancelled is started nevertheless, and no stop is ever sent."""
    patch.setattr(Commands, "_may_start", staticmethod(lambda b: b.committed and not b.inherited))
    patch.setattr(Commands, "_to_send", lambda _, b: b.committed and not b.inherited)
    patch.setattr(Commands, "stop", lambda *_: True)


@pytest.mark.parametrize(
    ("rule", "fault", "calm_s"),
    [
        ("waited", _passes_over, 105.0),
        ("accepted", _takes_anything, 1.0),
        ("started_late", _starts_whatever_is_bound, 1.0),
    ],
)
def test_what_is_newly_counted_is_watched(
    rule: str,
    fault: Callable[[pytest.MonkeyPatch], None],
    calm_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sound = play(1, Shape(), _SHORT_S, script=_odd_requests, calm_s=calm_s)
    assert not sound.broken
    fault(monkeypatch)
    found: set[str] = set()
    for seed in range(1, 5):
        found |= play(
            seed, Shape(), _SHORT_S, script=_odd_requests, calm_s=calm_s, until=rule
        ).rules
    assert rule in found


def test_a_broken_rule_is_told_with_its_day(monkeypatch: pytest.MonkeyPatch) -> None:
    args = ["hunt", "--days", "1", "--seed", "2", "--for-s", "30"]
    fine = CliRunner().invoke(main, args)
    assert fine.exit_code == 0 and "0 invariants violated" in fine.output
    _deaf_to_users(monkeypatch)
    _answer(200, wire.JOB_CANCELLED)(monkeypatch)
    bad = CliRunner().invoke(main, args)
    assert bad.exit_code == 1
    assert (
        "seed 2" in bad.output
        and "VIOLATED" in bad.output
        and "all faults have ended" in bad.output
    )
    assert CliRunner().invoke(main, ["hunt", "--days", "none"]).exit_code == 2
