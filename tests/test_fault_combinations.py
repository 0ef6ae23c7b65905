"""Fault combinations: simulated clusters of real controllers under scripted, overlapping faults.

The invariants are checked on the true state of the simulation. `test_each_guard_is_needed` disables
the safeguard that a combination is meant to exercise and requires that the same scenario then
violates the invariant. docs/notes/007-meetings.md lists the combinations; those that have a model
of their own are tested elsewhere.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from tealrill import wire
from tealrill.fleet.commands import Commands
from tealrill.fleet.heartbeats import HeartbeatProcessor
from tealrill.fleet.leases import Leases
from tealrill.fleet.machine import Machine
from tealrill.fleet.provisioning import Provisioner
from tealrill.leader.leader import Leader
from tealrill.leader.loops import LeaseExpiryLoop
from tealrill.leader.record_loader import RecordLoader
from tealrill.leadership.election import Election
from tealrill.leadership.lease_extension import CancellationKnowledge
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.faults import FaultInjector
from tealrill.simulation.process import Shape
from tealrill.simulation.scenario import Script, play
from tealrill.state.acknowledged_cancellations import AcknowledgedCancellations
from tealrill.state.admission import Admission, Reply
from tealrill.state.bindings import Job
from tealrill.state.client import Committed, OutcomeUnknownError
from tealrill.state.fencing import Fence
from tealrill.state.job_store import JobStore
from tealrill.state.records import job_key
from tealrill.state.transaction_batch import TransactionBatch
from tealrill.types import JobId, Monotonic, Revision, monotonic_now
from tests.test_bindings import place_on_contacted_machines

Patch = pytest.MonkeyPatch
Fault = Callable[[Patch], None]

_LONG = ((1, 25.0), (2, 40.0), (3, 15.0))


# -- scenarios ------------------------------------------------------------------------------------


def _end_leader(world: SimulatedCluster, back_s: float = 3.0) -> None:
    host = world.leader()
    if host is not None:
        world.end(host, back_s)


async def _looked_at_closely(world: SimulatedCluster) -> None:
    """All controllers are polled whenever a job's status changes, while jobs end, are cancelled and
    are submitted again, and controllers are refused, partitioned and restarted."""
    (
        world.active_faults.close_polling,
        world.active_faults.cancel_at_end_share,
        world.active_faults.invalid_requests,
        world.state.slow_s,
    ) = True, 0.5, True, 0.05
    for number in range(8):
        await asyncio.sleep(3.0)
        await world.users.cancel_now(2)
        host = world.rng.choice(list(world.hosts.values()))
        pair = frozenset((host.name, "state"))
        if number % 4 == 0:
            world.state.refused.add(host.name)
        elif number % 4 == 1:
            world.active_faults.cut_links.add(pair)
        elif number % 4 == 2:
            world.end(host, 0.3)
        else:
            world.state.late = 0.7
        await asyncio.sleep(2.5)
        world.state.refused.discard(host.name)
        world.active_faults.cut_links.discard(pair)
        world.state.late = 0.0
    (
        world.active_faults.close_polling,
        world.active_faults.cancel_at_end_share,
        world.active_faults.invalid_requests,
        world.state.slow_s,
    ) = False, 0.0, False, 0.0


async def _answers_lost(world: SimulatedCluster) -> None:
    """Half of the state service's responses to executed changes are lost; leaders are killed."""
    world.state.lost, world.active_faults.close_polling = 0.5, True
    for _ in range(4):
        await asyncio.sleep(8.0)
        _end_leader(world, 0.3)
    world.state.lost = 0.0


async def _transactions_late(world: SimulatedCluster) -> None:
    """Half of the transactions are executed seconds later, after newer ones; leaders are killed."""
    world.state.late = 0.5
    for _ in range(5):
        await asyncio.sleep(6.0)
        _end_leader(world, 0.3)
    world.state.late = 0.0


async def _at_the_limit(world: SimulatedCluster) -> None:
    """Teams reach their quota; jobs on paused machines are cancelled, then the leader is killed."""
    for _ in range(3):
        await asyncio.sleep(6.0)
        await world.users.cancel_now(3, hang_s=0.8 * world.shape.lease_s, within_s=0.1)
        await asyncio.sleep(0.3)
        _end_leader(world)
        await asyncio.sleep(8.0)


async def _hands_change(world: SimulatedCluster) -> None:
    """Jobs are cancelled before, during and after a planned handover and the loss of a leader."""
    for planned in (True, False):
        world.begin(_called_off_again_and_again(world))
        await asyncio.sleep(1.0)
        host = world.leader()
        if planned and host is not None and host.node is not None:
            world.begin(host.node.hand_over("a test"), host.context)
        else:
            _end_leader(world)
        await asyncio.sleep(world.shape.cancel_s + 6.0)


async def _called_off_again_and_again(world: SimulatedCluster) -> None:
    for _ in range(50):
        await world.users.cancel_now(1, within_s=0.02)
        await asyncio.sleep(0.1)


async def _up_at_once(world: SimulatedCluster) -> None:
    """New machines run tasks before their rental is answered or recorded; leaders are killed."""
    world.cloud.at_once, world.cloud.answers_s = True, 2.0
    for number in range(6):
        for machine in world.cloud.alive()[:3]:
            world.cloud.take(machine)
        if number < 4:
            world.state.late = 0.2
            await asyncio.sleep(7.0)
            _end_leader(world, 0.5)
            world.state.late = 0.0
        else:
            # No leader change here: the next leader would know these machines and hide the error.
            await asyncio.sleep(10.0)
    world.cloud.at_once, world.cloud.answers_s = False, 0.0


async def _kept_reports(world: SimulatedCluster) -> None:
    """Old heartbeats are replayed to every controller at each election, and duplicated later."""
    world.active_faults.replay_share, world.active_faults.duplicate_share = 0.9, 0.9
    for _ in range(6):
        await asyncio.sleep(6.0)
        _end_leader(world, 0.5)
    world.active_faults.replay_share = world.active_faults.duplicate_share = 0.0


async def _flood(world: SimulatedCluster) -> None:
    """Four one-task jobs per second, a quarter cancelled; an outage, then the leader is killed."""
    await asyncio.sleep(10.0)
    world.state.outage(True)
    await asyncio.sleep(8.0)
    world.state.outage(False)
    await asyncio.sleep(6.0)
    _end_leader(world)
    await asyncio.sleep(10.0)


async def _more_than_room(world: SimulatedCluster) -> None:
    """More work than capacity, urgent and standard, over links with a delay of up to 0.5 s."""
    world.active_faults.link_delay_s = 0.5
    for _ in range(3):
        await asyncio.sleep(8.0)
        await world.users.cancel_now(2)
    _end_leader(world)
    await asyncio.sleep(8.0)
    world.active_faults.link_delay_s = 0.0


async def _off_at_the_end(world: SimulatedCluster) -> None:
    """Jobs are cancelled, polled and submitted again at the moment of their completion."""
    (
        world.active_faults.cancel_at_end_share,
        world.active_faults.close_polling,
        world.active_faults.invalid_requests,
    ) = 1.0, True, True
    world.state.slow_s = 0.3
    await asyncio.sleep(40.0)
    (
        world.active_faults.cancel_at_end_share,
        world.active_faults.close_polling,
        world.active_faults.invalid_requests,
    ) = 0.0, False, False
    world.state.slow_s = 0.0


async def _refused_and_off(world: SimulatedCluster) -> None:
    """Jobs are cancelled while only the leader is refused; an outage beyond `cancel_s` follows."""
    await asyncio.sleep(4.0)
    await FaultInjector(world).cancel_while_refused()


async def _mute(world: SimulatedCluster) -> None:
    """Half of the machines are partitioned outbound; jobs are cancelled and leaders killed."""
    names = sorted(world.workers)[::2]
    world.active_faults.outbound_partitioned.update(names)
    await asyncio.sleep(2.0)
    await world.users.cancel_now(2)
    # The leader must have missed their heartbeats by now, though they answer direct commands.
    await asyncio.sleep(4.0 * world.shape.heartbeat_interval_s)
    world.active_faults.must_stay_idle.update(names)
    for _ in range(5):
        await world.users.cancel_now(1)
        await asyncio.sleep(4.0)
    for _ in range(2):
        _end_leader(world)
        await asyncio.sleep(5.0)
    world.active_faults.must_stay_idle.clear()
    world.active_faults.outbound_partitioned.clear()
    terminated = [name for name in names if world.cloud.machines[name].terminated]
    if terminated:
        world.breach("returned", f"{terminated} were terminated after a short outbound partition")


async def _zones_lose_machines(world: SimulatedCluster) -> None:
    """Jobs with a zone constraint lose machines; the next leader receives neither the heartbeats of
    the other zone nor the list of machines, so it can't tell where their other tasks run."""
    for number in range(4):
        await asyncio.sleep(5.0)
        for machine in world.cloud.alive()[number % 2 :: 3]:
            world.cloud.take(machine)
        world.active_faults.zones_partitioned = True
        missing_from_lists = [frozenset((name, "cloud")) for name in world.hosts]
        world.active_faults.cut_links.update(missing_from_lists)
        _end_leader(world, 0.5)
        await asyncio.sleep(6.0)
        world.active_faults.zones_partitioned = False
        world.active_faults.cut_links.difference_update(missing_from_lists)


async def _zones_parted(world: SimulatedCluster) -> None:
    """Zones with workers and controllers are partitioned for longer than the workers' lease."""
    await asyncio.sleep(4.0)
    world.active_faults.zones_partitioned = True
    await asyncio.sleep(2.5 * world.shape.lease_s)
    world.active_faults.zones_partitioned = False
    await asyncio.sleep(5.0)
    world.active_faults.isolated_zones.add("south")
    await asyncio.sleep(1.5 * world.shape.lease_s)
    world.active_faults.isolated_zones.clear()


async def _nobody_leads(world: SimulatedCluster) -> None:
    """All controllers are down, once for less and once for longer than the workers' lease."""
    for part in (0.5, 1.6):
        await asyncio.sleep(8.0)
        for host in world.hosts.values():
            world.end(host, part * world.shape.lease_s)
        await asyncio.sleep(part * world.shape.lease_s + 4.0)


async def _ten_leaders(world: SimulatedCluster) -> None:
    """Jobs are cancelled; then every leader is killed before it has loaded the records."""
    await asyncio.sleep(4.0)
    world.state.scan_s = 2.0
    _end_leader(world, 0.1)
    await world.users.cancel_now(6)
    until = world.now() + world.shape.cancel_s + 10.0
    while world.now() < until:
        await asyncio.sleep(0.05)
        host = world.leader()
        if host is not None:
            await asyncio.sleep(1.5)
            world.end(host, 0.1)
    world.state.scan_s = 0.0


async def _leader_apart(world: SimulatedCluster) -> None:
    """The leader is partitioned from the state service and the other controllers only."""
    await asyncio.sleep(4.0)
    host = world.leader()
    if host is None:
        return
    pairs = [frozenset((host.name, other)) for other in ("state", *world.hosts)]
    world.active_faults.cut_links.update(pairs)
    await asyncio.sleep(5.0)
    await world.users.cancel_now(4)
    await asyncio.sleep(world.shape.cancel_s + 4.0)
    world.active_faults.cut_links.difference_update(pairs)


async def _held(world: SimulatedCluster) -> None:
    """Commands and responses are delayed for longer than `cancel_s`; jobs are cancelled while one
    of their start commands is in flight."""
    world.active_faults.command_delay_s, world.active_faults.cancel_in_flight = (
        2.0 * world.shape.cancel_s,
        True,
    )
    await asyncio.sleep(25.0)
    world.active_faults.command_delay_s, world.active_faults.cancel_in_flight = 0.0, False
    await asyncio.sleep(2.0 * world.shape.cancel_s)


async def _hung_for_long(world: SimulatedCluster) -> None:
    """Jobs are cancelled as their machines are paused, for less and for longer than a lease."""
    shape = world.shape
    for hang_s in (0.9 * shape.lease_s, 1.4 * shape.lease_s, shape.cancel_s + 4.0):
        await asyncio.sleep(5.0)
        await world.users.cancel_now(4, hang_s)
        await asyncio.sleep(hang_s)


# -- mutations: each disables one safeguard -------------------------------------------------------


def _over_first(patch: Patch) -> None:
    """The end record is read before the job record, although the job may end in between."""

    async def status(self: Admission, job_id: JobId) -> Reply:
        over = self._over.get(job_id) or await self._read_over(job_id)
        if over is not None:
            return self._final(job_id, over)
        if await self._client.get(job_key(job_id)) is None:
            return Reply(404, {"error": "no such job"})
        return Reply(200, wire.job_status(job_id, wire.JOB_PENDING))

    patch.setattr(Admission, "_status", status)


def _remembers_for_a_moment(patch: Patch) -> None:
    """A status is served from a cache for a quarter of a second."""
    whole = Admission._status
    kept: dict[tuple[int, JobId], tuple[Monotonic, Reply]] = {}

    async def status(self: Admission, job_id: JobId) -> Reply:
        at, reply = kept.get((id(self), job_id), (Monotonic(-1e9), None))
        if reply is None or monotonic_now() - at > 0.25:
            reply = await whole(self, job_id)
            kept[(id(self), job_id)] = monotonic_now(), reply
        return reply

    patch.setattr(Admission, "_status", status)


def _accepted_without_an_answer(patch: Patch) -> None:
    """A submission whose outcome is unknown is reported as accepted."""
    whole = Admission._commit_accepted

    async def commit(self: Admission, *given: Any) -> Any:
        try:
            return await whole(self, *given)
        except OutcomeUnknownError:
            return Committed(Revision(1))

    patch.setattr(Admission, "_commit_accepted", commit)


def _accepted_again(patch: Patch) -> None:
    """A submission is accepted without the guard that the job is new."""
    whole = Admission._commit_accepted

    async def commit(self: Admission, guards: list[Any], changes: list[Any]) -> Any:
        return await whole(self, [], changes)

    patch.setattr(Admission, "_commit_accepted", commit)


def _silence_is_success(patch: Patch) -> None:
    """A leader takes a transaction without a response for an executed one."""
    whole = Fence.commit

    async def commit(self: Fence, *given: Any, **named: Any) -> Any:
        try:
            return await whole(self, *given, **named)
        except OutcomeUnknownError:
            return Committed(Revision(1))

    patch.setattr(Fence, "commit", commit)


def _cancelled_are_leftovers(patch: Patch) -> None:
    """A new leader loads no ended jobs, so it takes their chunks for orphaned ones."""

    async def nothing(*_: object) -> None:
        return

    patch.setattr(RecordLoader, "_load_ended", nothing)


def _limits_forget(patch: Patch) -> None:
    """Bindings of former leaders don't count against quotas."""
    whole = JobStore.load

    def load(self: JobStore, job: Job, *given: Any) -> Any:
        cpus, gpus = dict(self.team_cpus), dict(self.team_gpus)
        found = whole(self, job, *given)
        self.team_cpus, self.team_gpus = cpus, gpus
        for binding in found:
            # The end of a binding subtracts its usage, though it was never added.
            self.team_cpus.setdefault(binding.chunk.job.spec.team, 0.0)
            self.team_gpus.setdefault(binding.chunk.job.spec.team, 0.0)
        return found

    patch.setattr(JobStore, "load", load)


def _watch_begins_late(patch: Patch) -> None:
    """The watch of jobs starts at a revision after the records were read."""
    whole = RecordLoader.load

    async def load(self: RecordLoader) -> CancellationKnowledge:
        seen = await whole(self)
        await asyncio.sleep(0.3)
        _, revision = await self._client.scan("job/")
        return CancellationKnowledge(revision, seen.at)

    patch.setattr(RecordLoader, "load", load)


def _rented_anew(patch: Patch) -> None:
    """A rental's response replaces a machine that has already sent heartbeats and got tasks."""
    whole = Provisioner._add_rented_machine

    def rented(self: Provisioner, name: str, *given: Any, **named: Any) -> None:
        self._fleet.machines.pop(name, None)  # type: ignore[call-overload]
        whole(self, name, *given, **named)

    patch.setattr(Provisioner, "_add_rented_machine", rented)


def _any_order(patch: Patch) -> None:
    """Heartbeats are processed even if a newer one has arrived."""
    patch.setattr(HeartbeatProcessor, "_out_of_date", staticmethod(lambda *_: False))


def _any_token(patch: Patch) -> None:
    """Task lists of heartbeats that were sent before the term are used."""
    whole = HeartbeatProcessor.process

    def process(self: HeartbeatProcessor, report: wire.Heartbeat, *given: Any) -> Any:
        values = {f: getattr(report, f) for f in report.__struct_fields__}
        return whole(self, wire.Heartbeat(**{**values, "token": self._term}), *given)

    patch.setattr(HeartbeatProcessor, "process", process)


def _end_unguarded(patch: Patch) -> None:
    """A job's end is written without the guards against a concurrent cancellation."""
    whole = TransactionBatch.add_end

    def add_end(self: TransactionBatch, job: Job, *given: Any) -> bool:
        found = whole(self, job, *given)
        self.guards.pop(job_key(job.id), None)
        self.guards.pop(f"over/{job.id}", None)
        return found

    patch.setattr(TransactionBatch, "add_end", add_end)


def _acknowledges_nothing(patch: Patch) -> None:
    """Lease extension grants don't list the acknowledged cancellations."""
    patch.setattr(AcknowledgedCancellations, "add", lambda *_: None)


def _delegates_ignored(patch: Patch) -> None:
    """Leases expire although another controller may have renewed the worker."""

    async def check(self: LeaseExpiryLoop) -> None:
        self._fleet.leases.expire_leases(monotonic_now())

    patch.setattr(LeaseExpiryLoop, "_check", check)


def _silence_from_nothing(patch: Patch) -> None:
    """A new leader ignores that a former leader may have renewed a worker's lease."""

    def renewed_at(self: Leases, machine: Machine) -> Monotonic:
        return (
            machine.last_acknowledged_at
            if machine.last_acknowledged_at is not None
            else Monotonic(0.0)
        )

    patch.setattr(Leases, "_renewed_at", renewed_at)


def _unread_renews(patch: Patch) -> None:
    """A leader renews workers before it has loaded the records."""
    whole = HeartbeatProcessor.process

    def process(self: HeartbeatProcessor, *given: Any) -> Any:
        return whole(self, *given) if self._fleet.loaded else []

    patch.setattr(HeartbeatProcessor, "process", process)
    patch.setattr(Leader, "may_renew_workers", lambda *_: True)


def _for_ever(patch: Patch) -> None:
    """A leader continues after its lease has expired."""
    patch.setattr(Election, "valid_leadership", lambda self, now: self.leadership)


def _out_for_ever(patch: Patch) -> None:
    """A worker is renewed although a start command of a cancelled job may still reach it."""
    patch.setattr(HeartbeatProcessor, "_must_let_lease_expire", lambda *_: False)


def _no_stops(patch: Patch) -> None:
    """Each stop command is sent only once."""
    whole = Commands.stops
    told: set[object] = set()

    def stops(self: Commands, machine: Machine, now: Monotonic) -> Any:
        found = [c for c in whole(self, machine, now) if (c["piece"], c["try"]) not in told]
        told.update((c["piece"], c["try"]) for c in found)
        return found

    patch.setattr(Commands, "stops", stops)


@dataclass(frozen=True)
class Meeting:
    script: Script
    shape: Shape = field(default_factory=lambda: Shape(machines=6))
    faults: tuple[tuple[str, Fault], ...] = ()
    calm_s: float = 30.0
    seed: int = 1


_MEETINGS: dict[str, Meeting] = {
    "close looks": Meeting(
        _looked_at_closely,
        Shape(machines=6, every_s=1.0, jobs=((1, 2.0), (2, 4.0), (1, 30.0))),
        (
            ("forgotten", _over_first),
            ("went_back", _remembers_for_a_moment),
            ("forgotten", _accepted_without_an_answer),
        ),
        10.0,
    ),
    "only answers are lost": Meeting(
        _answers_lost, Shape(machines=6, every_s=1.5), (("went_back", _accepted_again),)
    ),
    "transactions are late": Meeting(
        _transactions_late,
        Shape(machines=12, every_s=1.5, jobs=_LONG, limit_vcpus=99.0, cancelled=0.0),
        (("ran_twice", _silence_is_success),),
    ),
    "teams at their limits": Meeting(
        _at_the_limit,
        Shape(machines=8, limit_vcpus=16.0, every_s=1.5, jobs=_LONG, cancelled=0.1),
        (("quota", _cancelled_are_leftovers), ("quota", _limits_forget)),
    ),
    "hands change": Meeting(
        _hands_change,
        Shape(machines=12, every_s=0.4, jobs=((1, 90.0),), cancelled=0.0, limit_vcpus=99.0),
        (("ran_cancelled", _watch_begins_late),),
        5.0,
    ),
    "machines up at once": Meeting(
        _up_at_once, Shape(machines=16, every_s=1.5), (("left", _rented_anew),), 170.0
    ),
    "reports kept for the next leader": Meeting(
        _kept_reports,
        Shape(machines=10, every_s=0.8, limit_vcpus=99.0),
        (("ran_twice", _any_order), ("ran_twice", _any_token)),
    ),
    "one-task jobs by the hundred": Meeting(
        _flood, Shape(machines=8, every_s=0.25, jobs=((1, 3.0),), cancelled=0.25), ()
    ),
    "more work than room": Meeting(
        _more_than_room, Shape(machines=4, every_s=0.5, jobs=_LONG, limit_vcpus=99.0), ()
    ),
    "called off at the end": Meeting(
        _off_at_the_end, Shape(machines=6, every_s=1.0), (("went_back", _end_unguarded),)
    ),
    "refused as jobs are called off": Meeting(
        _refused_and_off,
        Shape(machines=6, every_s=1.5, jobs=((2, 90.0),), cancelled=0.0),
        (("ran_cancelled", _acknowledges_nothing),),
        10.0,
    ),
    "mute machines": Meeting(
        _mute,
        Shape(machines=6, every_s=1.5, jobs=_LONG),
        (("ran_twice", _silence_from_nothing), ("given_work", place_on_contacted_machines)),
    ),
    "zones lose machines": Meeting(
        _zones_lose_machines,
        Shape(machines=9, every_s=1.5, jobs=((6, 20.0), (3, 30.0)), cancelled=0.0, zoned=1.0),
    ),
    "zones apart": Meeting(
        _zones_parted,
        Shape(machines=6, every_s=1.5, jobs=_LONG),
        (("ran_twice", _delegates_ignored),),
    ),
    "no controller": Meeting(
        _nobody_leads, Shape(machines=6, every_s=1.5), (("ran_twice", _silence_from_nothing),)
    ),
    "ten leaders": Meeting(
        _ten_leaders,
        Shape(machines=6, every_s=1.5, jobs=((2, 90.0),), cancelled=0.0),
        (("ran_cancelled", _unread_renews),),
        10.0,
    ),
    "a leader apart": Meeting(
        _leader_apart,
        # Enough capacity for the next leader to start again what the former one still runs.
        Shape(machines=18, every_s=1.0, jobs=((2, 90.0),), cancelled=0.0),
        (("ran_twice", _for_ever),),
        10.0,
    ),
    "commands are held": Meeting(
        _held,
        Shape(machines=8, every_s=0.7, jobs=((1, 20.0),), cancelled=0.0, limit_vcpus=99.0),
        (("ran_cancelled", _out_for_ever),),
        5.0,
    ),
    "machines hang": Meeting(
        _hung_for_long,
        Shape(machines=6, every_s=1.5, jobs=((2, 90.0),), cancelled=0.0),
        (("ran_cancelled", _no_stops),),
        10.0,
    ),
}


def _play(meeting: Meeting, seed: int, until: str = "") -> SimulatedCluster:
    return play(seed, meeting.shape, 60.0, meeting.script, meeting.calm_s, until)


@functools.cache
def _sound(name: str) -> SimulatedCluster:
    """Return the finished simulation of a combination with all safeguards enabled."""
    return _play(_MEETINGS[name], _MEETINGS[name].seed)


@pytest.mark.parametrize("name", _MEETINGS)
def test_no_rule_breaks(name: str) -> None:
    world = _sound(name)
    assert not world.broken, [*world.events, *world.broken]
    assert world.starts > 5


@pytest.mark.parametrize(
    ("name", "rule", "fault"),
    [(name, rule, fault) for name, m in _MEETINGS.items() for rule, fault in m.faults],
)
def test_each_guard_is_needed(
    name: str, rule: str, fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    found: set[str] = set()
    for seed in range(1, 7):
        found |= _play(_MEETINGS[name], seed, rule).rules
        if rule in found:
            return
    raise AssertionError(f"invariant {rule} not violated; violated: {found}")


def test_a_one_task_job_costs_five_changes_and_other_jobs_are_served() -> None:
    """A job needs changes to accept it, bind it, end it (two records) and delete its chunk.

    A cancelled job needs no more.
    """
    world = _sound("one-task jobs by the hundred")
    assert not world.broken and len(world.jobs) > 200
    assert len(world.state.log) <= 5 * len(world.jobs) + 150
    open_ = [job for job in world.jobs.values() if job.accepted and not job.over]
    assert len(open_) < 0.05 * len(world.jobs)
