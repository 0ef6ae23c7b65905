"""Where troubles of real machines meet: whole controllers in the lab, one meeting after the other.

Each meeting of the operators' page that has no model of its own is brought about by a script over
real nodes, and the rules are held against the world's own truth. `test_each_guard_is_needed` takes
the guard away that a meeting is for and requires that the same script finds the rule broken.
docs/notes/007-meetings.md has the table.
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
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import Scenario, run_scenario
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


# -- the meetings ---------------------------------------------------------------------------------


def _end_leader(cluster: SimulatedCluster, back_s: float = 3.0) -> None:
    host = cluster.leader()
    if host is not None:
        cluster.end(host, back_s)


async def _looked_at_closely(cluster: SimulatedCluster) -> None:
    """All nodes are asked at once whenever something was told, while records move: jobs end, are
    called off and are sent anew, and nodes are refused, cut off and begin."""
    (
        cluster.active_faults.close_polling,
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.invalid_requests,
        cluster.state.slow_s,
    ) = True, 0.5, True, 0.05
    for number in range(8):
        await asyncio.sleep(3.0)
        await cluster.users.cancel_now(2)
        host = cluster.rng.choice(list(cluster.hosts.values()))
        pair = frozenset((host.name, "state"))
        if number % 4 == 0:
            cluster.state.refused.add(host.name)
        elif number % 4 == 1:
            cluster.active_faults.cut_links.add(pair)
        elif number % 4 == 2:
            cluster.end(host, 0.3)
        else:
            cluster.state.late = 0.7
        await asyncio.sleep(2.5)
        cluster.state.refused.discard(host.name)
        cluster.active_faults.cut_links.discard(pair)
        cluster.state.late = 0.0
    (
        cluster.active_faults.close_polling,
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.invalid_requests,
        cluster.state.slow_s,
    ) = False, 0.0, False, 0.0


async def _answers_lost(cluster: SimulatedCluster) -> None:
    """Every second change is carried out and its writer does not know, while leaders end."""
    cluster.state.lost, cluster.active_faults.close_polling = 0.5, True
    for _ in range(4):
        await asyncio.sleep(8.0)
        _end_leader(cluster, 0.3)
    cluster.state.lost = 0.0


async def _transactions_late(cluster: SimulatedCluster) -> None:
    """The same with changes that are carried out seconds later, after newer ones."""
    cluster.state.late = 0.5
    for _ in range(5):
        await asyncio.sleep(6.0)
        _end_leader(cluster, 0.3)
    cluster.state.late = 0.0


async def _at_the_limit(cluster: SimulatedCluster) -> None:
    """Each team uses what it may; jobs on machines that hang are called off, and leaders follow."""
    for _ in range(3):
        await asyncio.sleep(6.0)
        await cluster.users.cancel_now(3, hang_s=0.8 * cluster.config.lease_s, within_s=0.1)
        await asyncio.sleep(0.3)
        _end_leader(cluster)
        await asyncio.sleep(8.0)


async def _hands_change(cluster: SimulatedCluster) -> None:
    """Jobs are called off before, in and after each change of the leader, planned or not."""
    for planned in (True, False):
        cluster.spawn(_called_off_again_and_again(cluster))
        await asyncio.sleep(1.0)
        host = cluster.leader()
        if planned and host is not None and host.node is not None:
            cluster.spawn(host.node.hand_over("a test"), host.context)
        else:
            _end_leader(cluster)
        await asyncio.sleep(cluster.config.cancel_s + 6.0)


async def _called_off_again_and_again(cluster: SimulatedCluster) -> None:
    for _ in range(50):
        await cluster.users.cancel_now(1, within_s=0.02)
        await asyncio.sleep(0.1)


async def _up_at_once(cluster: SimulatedCluster) -> None:
    """New machines work before their rental is answered or written down, and leaders end."""
    cluster.cloud.at_once, cluster.cloud.answers_s = True, 2.0
    for number in range(6):
        for machine in cluster.cloud.alive()[:3]:
            cluster.cloud.take(machine)
        if number < 4:
            cluster.state.late = 0.2
            await asyncio.sleep(7.0)
            _end_leader(cluster, 0.5)
            cluster.state.late = 0.0
        else:
            # What a leader takes for new machines the next one knows better.
            await asyncio.sleep(10.0)
    cluster.cloud.at_once, cluster.cloud.answers_s = False, 0.0


async def _kept_reports(cluster: SimulatedCluster) -> None:
    """Copies of old reports reach every controller as each leader begins, and some later."""
    cluster.active_faults.replay_share, cluster.active_faults.duplicate_share = 0.9, 0.9
    for _ in range(6):
        await asyncio.sleep(6.0)
        _end_leader(cluster, 0.5)
    cluster.active_faults.replay_share = cluster.active_faults.duplicate_share = 0.0


async def _flood(cluster: SimulatedCluster) -> None:
    """One-task jobs, four a second, a quarter called off; in its middle an outage and an end."""
    await asyncio.sleep(10.0)
    cluster.state.outage(True)
    await asyncio.sleep(8.0)
    cluster.state.outage(False)
    await asyncio.sleep(6.0)
    _end_leader(cluster)
    await asyncio.sleep(10.0)


async def _more_than_room(cluster: SimulatedCluster) -> None:
    """More work than room, urgent and not, over links that take up to half a second each way."""
    cluster.active_faults.link_delay_s = 0.5
    for _ in range(3):
        await asyncio.sleep(8.0)
        await cluster.users.cancel_now(2)
    _end_leader(cluster)
    await asyncio.sleep(8.0)
    cluster.active_faults.link_delay_s = 0.0


async def _off_at_the_end(cluster: SimulatedCluster) -> None:
    """Jobs are called off, asked about and sent again in the moment of their end."""
    (
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.close_polling,
        cluster.active_faults.invalid_requests,
    ) = 1.0, True, True
    cluster.state.slow_s = 0.3
    await asyncio.sleep(40.0)
    (
        cluster.active_faults.cancel_at_end_share,
        cluster.active_faults.close_polling,
        cluster.active_faults.invalid_requests,
    ) = 0.0, False, False
    cluster.state.slow_s = 0.0


async def _refused_and_off(cluster: SimulatedCluster) -> None:
    """Called off as the leader alone is refused; a second later an outage beyond `cancel_s`."""
    await asyncio.sleep(4.0)
    await FaultInjector(cluster).cancel_while_refused()


async def _mute(cluster: SimulatedCluster) -> None:
    """Half of the machines reach no controller; what they do is called off, and leaders end."""
    names = sorted(cluster.workers)[::2]
    cluster.active_faults.outbound_partitioned.update(names)
    await asyncio.sleep(2.0)
    await cluster.users.cancel_now(2)
    # From when the leader must have noticed; they answer direct commands all the time.
    await asyncio.sleep(4.0 * cluster.config.heartbeat_interval_s)
    cluster.active_faults.must_stay_idle.update(names)
    for _ in range(5):
        await cluster.users.cancel_now(1)
        await asyncio.sleep(4.0)
    for _ in range(2):
        _end_leader(cluster)
        await asyncio.sleep(5.0)
    cluster.active_faults.must_stay_idle.clear()
    cluster.active_faults.outbound_partitioned.clear()
    terminated = [name for name in names if cluster.cloud.machines[name].terminated]
    if terminated:
        cluster.breach("returned", f"{terminated} were mute for a short spell")


async def _zones_lose_machines(cluster: SimulatedCluster) -> None:
    """Jobs with a rule about zones lose machines; the next leader does not hear where the others
    run."""
    for number in range(4):
        await asyncio.sleep(5.0)
        for machine in cluster.cloud.alive()[number % 2 :: 3]:
            cluster.cloud.take(machine)
        cluster.active_faults.zones_partitioned = True
        missing_from_lists = [frozenset((name, "cloud")) for name in cluster.hosts]
        cluster.active_faults.cut_links.update(missing_from_lists)
        _end_leader(cluster, 0.5)
        await asyncio.sleep(6.0)
        cluster.active_faults.zones_partitioned = False
        cluster.active_faults.cut_links.difference_update(missing_from_lists)


async def _zones_parted(cluster: SimulatedCluster) -> None:
    """A zone with workers and controllers is kept apart for longer than the workers' lease."""
    await asyncio.sleep(4.0)
    cluster.active_faults.zones_partitioned = True
    await asyncio.sleep(2.5 * cluster.config.lease_s)
    cluster.active_faults.zones_partitioned = False
    await asyncio.sleep(5.0)
    cluster.active_faults.isolated_zones.add("south")
    await asyncio.sleep(1.5 * cluster.config.lease_s)
    cluster.active_faults.isolated_zones.clear()


async def _nobody_leads(cluster: SimulatedCluster) -> None:
    """All controllers are away, for less and for longer than the workers' lease."""
    for part in (0.5, 1.6):
        await asyncio.sleep(8.0)
        for host in cluster.hosts.values():
            cluster.end(host, part * cluster.config.lease_s)
        await asyncio.sleep(part * cluster.config.lease_s + 4.0)


async def _ten_leaders(cluster: SimulatedCluster) -> None:
    """Leaders end before they have read the records; between them jobs are called off."""
    await asyncio.sleep(4.0)
    cluster.state.scan_s = 2.0
    _end_leader(cluster, 0.1)
    await cluster.users.cancel_now(6)
    until = cluster.now() + cluster.config.cancel_s + 10.0
    while cluster.now() < until:
        await asyncio.sleep(0.05)
        host = cluster.leader()
        if host is not None:
            await asyncio.sleep(1.5)
            cluster.end(host, 0.1)
    cluster.state.scan_s = 0.0


async def _leader_apart(cluster: SimulatedCluster) -> None:
    """It loses the state service and the controllers; workers and users still reach it."""
    await asyncio.sleep(4.0)
    host = cluster.leader()
    if host is None:
        return
    pairs = [frozenset((host.name, other)) for other in ("state", *cluster.hosts)]
    cluster.active_faults.cut_links.update(pairs)
    await asyncio.sleep(5.0)
    await cluster.users.cancel_now(4)
    await asyncio.sleep(cluster.config.cancel_s + 4.0)
    cluster.active_faults.cut_links.difference_update(pairs)


async def _held(cluster: SimulatedCluster) -> None:
    """Commands and answers are held for longer than `cancel_s`; jobs are called off while a start
    of theirs is on its way."""
    cluster.active_faults.command_delay_s, cluster.active_faults.cancel_in_flight = (
        2.0 * cluster.config.cancel_s,
        True,
    )
    await asyncio.sleep(25.0)
    cluster.active_faults.command_delay_s, cluster.active_faults.cancel_in_flight = 0.0, False
    await asyncio.sleep(2.0 * cluster.config.cancel_s)


async def _hung_for_long(cluster: SimulatedCluster) -> None:
    """Jobs are called off as their machines begin to hang, for less and for more than a lease."""
    config = cluster.config
    for hang_s in (0.9 * config.lease_s, 1.4 * config.lease_s, config.cancel_s + 4.0):
        await asyncio.sleep(5.0)
        await cluster.users.cancel_now(4, hang_s)
        await asyncio.sleep(hang_s)


# -- guards, taken away ---------------------------------------------------------------------------


def _over_first(patch: Patch) -> None:
    """A job's end is looked for before the job, which moves in between."""

    async def status(self: Admission, job_id: JobId) -> Reply:
        over = self._ended_jobs.get(job_id) or await self._read_ended(job_id)
        if over is not None:
            return self._final_reply(job_id, over)
        if await self._client.get(job_key(job_id)) is None:
            return Reply(404, {"error": "no such job"})
        return Reply(200, wire.job_status(job_id, wire.JOB_PENDING))

    patch.setattr(Admission, "_status", status)


def _remembers_for_a_moment(patch: Patch) -> None:
    """What was read is told again for a quarter of a second."""
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
    """An acceptance of which nothing was heard is told as one."""
    whole = Admission._commit_with_retries

    async def commit(self: Admission, *given: Any) -> Any:
        try:
            return await whole(self, *given)
        except OutcomeUnknownError:
            return Committed(Revision(1))

    patch.setattr(Admission, "_commit_with_retries", commit)


def _accepted_again(patch: Patch) -> None:
    """An acceptance that does not require that the job is new."""
    whole = Admission._commit_with_retries

    async def commit(self: Admission, guards: list[Any], changes: list[Any]) -> Any:
        return await whole(self, [], changes)

    patch.setattr(Admission, "_commit_with_retries", commit)


def _silence_is_success(patch: Patch) -> None:
    """A leader's transaction without an answer is taken for one that was carried out."""
    whole = Fence.commit

    async def commit(self: Fence, *given: Any, **named: Any) -> Any:
        try:
            return await whole(self, *given, **named)
        except OutcomeUnknownError:
            return Committed(Revision(1))

    patch.setattr(Fence, "commit", commit)


def _cancelled_are_leftovers(patch: Patch) -> None:
    """A new leader takes the chunks of jobs that are over for leftovers."""

    async def nothing(*_: object) -> None:
        return

    patch.setattr(RecordLoader, "_load_ended", nothing)


def _limits_forget(patch: Patch) -> None:
    """What former leaders bound does not count against limits."""
    whole = JobStore.load

    def load(self: JobStore, job: Job, *given: Any) -> Any:
        cpus, gpus = dict(self.team_cpus), dict(self.team_gpus)
        found = whole(self, job, *given)
        self.team_cpus, self.team_gpus = cpus, gpus
        for binding in found:
            # Its end takes away what was never counted.
            self.team_cpus.setdefault(binding.chunk.job.spec.team, 0.0)
            self.team_gpus.setdefault(binding.chunk.job.spec.team, 0.0)
        return found

    patch.setattr(JobStore, "load", load)


def _watch_begins_late(patch: Patch) -> None:
    """The watch of jobs begins where the reading ended, and not where it began."""
    whole = RecordLoader.load

    async def load(self: RecordLoader) -> CancellationKnowledge:
        seen = await whole(self)
        await asyncio.sleep(0.3)
        _, revision = await self._client.scan("job/")
        return CancellationKnowledge(revision, seen.at)

    patch.setattr(RecordLoader, "load", load)


def _rented_anew(patch: Patch) -> None:
    """What a rental brings is new, though it may have reported and been given work."""
    whole = Provisioner._add_rented_machine

    def rented(self: Provisioner, name: str, *given: Any, **named: Any) -> None:
        self._fleet.machines.pop(name, None)  # type: ignore[call-overload]
        whole(self, name, *given, **named)

    patch.setattr(Provisioner, "_add_rented_machine", rented)


def _any_order(patch: Patch) -> None:
    """Reports count whichever is the newer one."""
    patch.setattr(HeartbeatProcessor, "_is_out_of_date", staticmethod(lambda *_: False))


def _any_token(patch: Patch) -> None:
    """Lists of reports sent before the term count."""
    whole = HeartbeatProcessor.process

    def process(self: HeartbeatProcessor, report: wire.Heartbeat, *given: Any) -> Any:
        values = {f: getattr(report, f) for f in report.__struct_fields__}
        return whole(self, wire.Heartbeat(**{**values, "token": self._term}), *given)

    patch.setattr(HeartbeatProcessor, "process", process)


def _end_unguarded(patch: Patch) -> None:
    """A job is called done whether or not it was cancelled meanwhile."""
    whole = TransactionBatch.add_end

    def add_end(self: TransactionBatch, job: Job, *given: Any) -> bool:
        found = whole(self, job, *given)
        self.guards.pop(job_key(job.id), None)
        self.guards.pop(f"over/{job.id}", None)
        return found

    patch.setattr(TransactionBatch, "add_end", add_end)


def _acknowledges_nothing(patch: Patch) -> None:
    """Promises don't carry what was told."""
    patch.setattr(AcknowledgedCancellations, "add", lambda *_: None)


def _delegates_ignored(patch: Patch) -> None:
    """A machine lapses whether or not another node may have renewed it."""

    async def check(self: LeaseExpiryLoop) -> None:
        self._fleet.leases.expire_leases(monotonic_now())

    patch.setattr(LeaseExpiryLoop, "_check", check)


def _silence_from_nothing(patch: Patch) -> None:
    """A new leader counts silence as if nobody had renewed workers before it."""

    def renewed_at(self: Leases, machine: Machine) -> Monotonic:
        return (
            machine.last_acknowledged_at
            if machine.last_acknowledged_at is not None
            else Monotonic(0.0)
        )

    patch.setattr(Leases, "_renewed_at", renewed_at)


def _unread_renews(patch: Patch) -> None:
    """A leader renews workers before it has read the records."""
    whole = HeartbeatProcessor.process

    def process(self: HeartbeatProcessor, *given: Any) -> Any:
        return whole(self, *given) if self._fleet.loaded else []

    patch.setattr(HeartbeatProcessor, "process", process)
    patch.setattr(Leader, "may_renew_workers", lambda *_: True)


def _for_ever(patch: Patch) -> None:
    """A leader goes on though its lease has ended."""
    patch.setattr(Election, "valid_leadership", lambda self, now: self.leadership)


def _out_for_ever(patch: Patch) -> None:
    """A worker is renewed though a start of a cancelled job is on its way to it."""
    patch.setattr(HeartbeatProcessor, "_must_let_lease_expire", lambda *_: False)


def _no_stops(patch: Patch) -> None:
    """A machine that was told once to stop a task is not told again."""
    whole = Commands.stops
    told: set[object] = set()

    def stops(self: Commands, machine: Machine, now: Monotonic) -> Any:
        found = [c for c in whole(self, machine, now) if (c["piece"], c["try"]) not in told]
        told.update((c["piece"], c["try"]) for c in found)
        return found

    patch.setattr(Commands, "stops", stops)


@dataclass(frozen=True)
class Meeting:
    scenario: Scenario
    config: ClusterConfig = field(default_factory=lambda: ClusterConfig(machines=6))
    faults: tuple[tuple[str, Fault], ...] = ()
    quiet_s: float = 30.0
    seed: int = 1


_MEETINGS: dict[str, Meeting] = {
    "close looks": Meeting(
        _looked_at_closely,
        ClusterConfig(machines=6, every_s=1.0, job_kinds=((1, 2.0), (2, 4.0), (1, 30.0))),
        (
            ("forgotten", _over_first),
            ("went_back", _remembers_for_a_moment),
            ("forgotten", _accepted_without_an_answer),
        ),
        10.0,
    ),
    "only answers are lost": Meeting(
        _answers_lost, ClusterConfig(machines=6, every_s=1.5), (("went_back", _accepted_again),)
    ),
    "transactions are late": Meeting(
        _transactions_late,
        ClusterConfig(
            machines=12, every_s=1.5, job_kinds=_LONG, limit_vcpus=99.0, cancelled_share=0.0
        ),
        (("ran_twice", _silence_is_success),),
    ),
    "teams at their limits": Meeting(
        _at_the_limit,
        ClusterConfig(
            machines=8, limit_vcpus=16.0, every_s=1.5, job_kinds=_LONG, cancelled_share=0.1
        ),
        (("quota", _cancelled_are_leftovers), ("quota", _limits_forget)),
    ),
    "hands change": Meeting(
        _hands_change,
        ClusterConfig(
            machines=12, every_s=0.4, job_kinds=((1, 90.0),), cancelled_share=0.0, limit_vcpus=99.0
        ),
        (("ran_cancelled", _watch_begins_late),),
        5.0,
    ),
    "machines up at once": Meeting(
        _up_at_once, ClusterConfig(machines=16, every_s=1.5), (("left", _rented_anew),), 170.0
    ),
    "reports kept for the next leader": Meeting(
        _kept_reports,
        ClusterConfig(machines=10, every_s=0.8, limit_vcpus=99.0),
        (("ran_twice", _any_order), ("ran_twice", _any_token)),
    ),
    "one-task jobs by the hundred": Meeting(
        _flood,
        ClusterConfig(machines=8, every_s=0.25, job_kinds=((1, 3.0),), cancelled_share=0.25),
        (),
    ),
    "more work than room": Meeting(
        _more_than_room,
        ClusterConfig(machines=4, every_s=0.5, job_kinds=_LONG, limit_vcpus=99.0),
        (),
    ),
    "called off at the end": Meeting(
        _off_at_the_end, ClusterConfig(machines=6, every_s=1.0), (("went_back", _end_unguarded),)
    ),
    "refused as jobs are called off": Meeting(
        _refused_and_off,
        ClusterConfig(machines=6, every_s=1.5, job_kinds=((2, 90.0),), cancelled_share=0.0),
        (("ran_cancelled", _acknowledges_nothing),),
        10.0,
    ),
    "mute machines": Meeting(
        _mute,
        ClusterConfig(machines=6, every_s=1.5, job_kinds=_LONG),
        (("ran_twice", _silence_from_nothing), ("given_work", place_on_contacted_machines)),
    ),
    "zones lose machines": Meeting(
        _zones_lose_machines,
        ClusterConfig(
            machines=9,
            every_s=1.5,
            job_kinds=((6, 20.0), (3, 30.0)),
            cancelled_share=0.0,
            zoned=1.0,
        ),
    ),
    "zones apart": Meeting(
        _zones_parted,
        ClusterConfig(machines=6, every_s=1.5, job_kinds=_LONG),
        (("ran_twice", _delegates_ignored),),
    ),
    "no controller": Meeting(
        _nobody_leads,
        ClusterConfig(machines=6, every_s=1.5),
        (("ran_twice", _silence_from_nothing),),
    ),
    "ten leaders": Meeting(
        _ten_leaders,
        ClusterConfig(machines=6, every_s=1.5, job_kinds=((2, 90.0),), cancelled_share=0.0),
        (("ran_cancelled", _unread_renews),),
        10.0,
    ),
    "a leader apart": Meeting(
        _leader_apart,
        # Room for the next leader to start again what the one before goes on with.
        ClusterConfig(machines=18, every_s=1.0, job_kinds=((2, 90.0),), cancelled_share=0.0),
        (("ran_twice", _for_ever),),
        10.0,
    ),
    "commands are held": Meeting(
        _held,
        ClusterConfig(
            machines=8, every_s=0.7, job_kinds=((1, 20.0),), cancelled_share=0.0, limit_vcpus=99.0
        ),
        (("ran_cancelled", _out_for_ever),),
        5.0,
    ),
    "machines hang": Meeting(
        _hung_for_long,
        ClusterConfig(machines=6, every_s=1.5, job_kinds=((2, 90.0),), cancelled_share=0.0),
        (("ran_cancelled", _no_stops),),
        10.0,
    ),
}


def _play(meeting: Meeting, seed: int, until: str = "") -> SimulatedCluster:
    return run_scenario(seed, meeting.config, 60.0, meeting.scenario, meeting.quiet_s, until)


@functools.cache
def _sound(name: str) -> SimulatedCluster:
    """The meeting with all guards, played once."""
    return _play(_MEETINGS[name], _MEETINGS[name].seed)


@pytest.mark.parametrize("name", _MEETINGS)
def test_no_rule_breaks(name: str) -> None:
    cluster = _sound(name)
    assert not cluster.violations, [*cluster.events, *cluster.violations]
    assert cluster.starts > 5


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
        found |= _play(_MEETINGS[name], seed, rule).violated_invariants
        if rule in found:
            return
    raise AssertionError(f"{rule} is not among {found}")


def test_a_one_task_job_costs_five_changes_and_other_jobs_are_served() -> None:
    """Accepted, bound, ended (two records), its chunk removed; called off it costs no more."""
    cluster = _sound("one-task jobs by the hundred")
    assert not cluster.violations and len(cluster.jobs) > 200
    assert len(cluster.state.log) <= 5 * len(cluster.jobs) + 150
    open_ = [job for job in cluster.jobs.values() if job.accepted and not job.over]
    assert len(open_) < 0.05 * len(cluster.jobs)
