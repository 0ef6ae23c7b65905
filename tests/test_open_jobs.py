"""Workers are renewed for a lost leader only while their jobs are known to be open.

Incident: while the state service flapped, the key of a lost leader stood for 45 s, and controllers
with a delegation renewed workers that ran cancelled jobs until `cancel_s` had passed.

The model plays two such controllers with the real `RenewalDelegate` and `OpenJobs`, one worker with
its lease, a start that may arrive at any time, cancellations of jobs and of graphs, restarts, and a
state service that goes away, refuses one of them or loses answers. The leader is gone for ever and
its key stands for ever: nothing but the renewing controllers' own knowledge bounds anything.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.leadership import renewal_delegation as delegation_module
from tealrill.leadership.election import Election, KnownLeader
from tealrill.leadership.open_jobs import OpenJobs, renewal_staleness_bound_s
from tealrill.leadership.renewal_delegation import DELEGATION_PREFIX, RenewalDelegate
from tealrill.state.client import (
    Committed,
    GuardsFailed,
    OutcomeUnknownError,
    StateClient,
    StateError,
    StateUnavailableError,
)
from tealrill.state.fencing import LEADER_KEY
from tealrill.state.revision_clock import RevisionClock
from tealrill.types import FencingToken, Incarnation, MachineId, Monotonic, Revision
from tests.samples import SETTINGS, report

MACHINE = MachineId("m-1")
LEADER = KnownLeader("node-1", FencingToken(3), Revision(1))
WORKERS = settings.parse(orjson.dumps(SETTINGS)).params.workers
JOBS = tuple(f"wk-{number:06d}" for number in range(4))
GRAPH = "dag7"
OWNED = f"{GRAPH}-1"
LATE = "wk-000009"
"""Its only task is bound, and its start is on its way."""
STEP_S = 0.25
DAY_S = 70.0


class Store:
    """The state service: keys with versions, and a log of changes."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int]] = {}
        self.log: list[wire.WatchEvent] = []
        self.revision = 0
        self.put(LEADER_KEY, {})

    def put(self, key: str, value: Any) -> None:
        self.revision += 1
        self.keys[key] = (value, self.revision)
        self.log.append(wire.WatchEvent(put=key, value=value, version=self.revision))

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.keys[key]
        self.log.append(wire.WatchEvent(delete=key, version=self.revision))

    def bind(self, job: str, incarnation: int = 1, done: bool = False) -> None:
        entry = [2, MACHINE, incarnation, 1, 2 * done, 100]
        self.put(f"run/{job}/0", {"n": 8, "tasks": [entry, [2], 0, -1]})


class Reach:
    """The state service as one controller reaches it."""

    def __init__(self, store: Store, rng: random.Random) -> None:
        self.store, self.rng = store, rng
        self.down = False
        self.lost = 0.0
        self.revisions = RevisionClock()
        self.now: Callable[[], Monotonic] = lambda: Monotonic(0.0)
        self.compacted = False
        self.requests = 0

    def _request(self) -> None:
        self.requests += 1
        if self.down:
            raise StateUnavailableError("status 503")
        if self.rng.random() < self.lost:
            raise OutcomeUnknownError("no answer")

    async def get(self, key: str) -> wire.KeyValue | None:
        self._request()
        entry = self.store.keys.get(key)
        return None if entry is None else wire.KeyValue(value=entry[0], version=entry[1])

    async def scan(self, prefix: str) -> tuple[list[wire.Entry], Revision]:
        self._request()
        found = [
            wire.Entry(key=key, value=value, version=version)
            for key, (value, version) in sorted(self.store.keys.items())
            if key.startswith(prefix)
        ]
        self.revisions.observe(self.now(), Revision(self.store.revision))
        return found, Revision(self.store.revision)

    async def watch(self, prefix: str, since: Revision, hold_s: float) -> wire.WatchResult | None:
        self._request()
        if self.compacted:
            return None
        events = [
            event
            for event in self.store.log
            if event.version > since and (event.put or event.delete or "").startswith(prefix)
        ]
        self.revisions.observe(self.now(), Revision(self.store.revision))
        return wire.WatchResult(revision=self.store.revision, events=events)

    async def commit(
        self, guards: list[Any], changes: list[Any], tokens_acquired: bool = False
    ) -> Committed | GuardsFailed:
        self._request()
        keys = self.store.keys
        failed = [g["path"] for g in guards if keys.get(g["path"], (0, 0))[1] != g["stamp"]]
        if failed:
            return GuardsFailed(failed)
        for change in changes:
            self.store.put(change["set"], change["value"])
        return Committed(Revision(self.store.revision))


class World:
    """Time goes on in small steps."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = Monotonic(100.0)
        self.store = Store()
        self.store.put(f"job/{GRAPH}", {"v": 1})
        self.store.put(f"job/{OWNED}", {"owner": GRAPH})
        for job in (*JOBS, LATE):
            self.store.put(f"job/{job}", {})
        for job in (*JOBS, OWNED, LATE):
            self.store.bind(job)
        self.cancelled_at: dict[str, Monotonic] = {}
        self.incarnation, self.renewed_at = 1, self.now
        self.running = {*JOBS, OWNED}
        self.start_arrives_at = self.now + self.rng.uniform(0.0, DAY_S)
        self.reach = [Reach(self.store, self.rng) for _ in range(2)]
        self.delegates = [self._process(reach) for reach in self.reach]
        self.reports_at = self.now
        # Where more is cancelled, the worker's lease ends before a late start can show.
        self.cancellable = self.rng.choice([[*JOBS, LATE, GRAPH], [LATE]])
        self.renewals = 0
        self.late: list[str] = []

    def _process(self, reach: Reach) -> RenewalDelegate:
        # Its observations go with a process.
        reach.revisions = RevisionClock()
        reach.now = lambda: self.now
        client = cast(StateClient, reach)
        election = Election(client, "node-0", lambda: None)
        election.known_leader = LEADER
        found = RenewalDelegate(
            settings.parse(orjson.dumps(SETTINGS)), client, election, lambda: self.now
        )
        found._cut_since = self.now
        return found

    async def play(self, seconds: float = DAY_S) -> None:
        until = self.now + seconds
        while self.now < until:
            self._draw()
            for reach in self.reach:
                # Followers watch the leader's key all the time.
                if not reach.down:
                    reach.revisions.observe(self.now, Revision(self.store.revision))
            for delegate in self.delegates:
                if delegate._wanted(self.now):
                    try:
                        await delegate.confirm(LEADER)
                    except StateError:
                        continue
            self._work()
            self.now = Monotonic(self.now + STEP_S)

    def _draw(self) -> None:
        for number, reach in enumerate(self.reach):
            if self.rng.random() < 0.12:
                # The one or the other is away for a second again and again, or for long.
                reach.down = not reach.down and self.rng.random() < 0.7
            reach.lost = self.rng.choice([0.0, 0.0, 0.1])
            reach.compacted = self.rng.random() < 0.01
            if self.rng.random() < 0.01:
                self.delegates[number] = self._process(reach)
        if self.rng.random() < 0.06:
            self.cancel(self.rng.choice(self.cancellable))

    def cancel(self, name: str) -> None:
        """Some controller reaches the state service, and tells the user."""
        if name in self.cancelled_at:
            return
        self.cancelled_at[name] = self.now
        if name == GRAPH:
            self.cancelled_at[OWNED] = self.now
        self.store.put(f"over/{name}", {"status": wire.JOB_CANCELLED})
        self.store.delete(f"job/{name}")

    def _work(self) -> None:
        if self.now - self.renewed_at > WORKERS.lease_s:
            self.incarnation += 1
            self.renewed_at = self.now
            self.running.clear()
        if self.now >= self.start_arrives_at:
            self.start_arrives_at = 1e9
            if self.incarnation == 1:
                self.running.add(LATE)
        for job in self.running:
            if self.now > self.cancelled_at.get(job, 1e9) + WORKERS.cancel_s:
                self.late.append(f"{job} at {self.now}, cancelled at {self.cancelled_at[job]}")
        if self.now >= self.reports_at:
            pause_s = WORKERS.heartbeat_interval_s * self.rng.uniform(0.75, 1.25)
            self.reports_at = Monotonic(self.now + pause_s)
            self.report(self.rng.choice(self.delegates))

    def report(self, delegate: RenewalDelegate) -> None:
        tasks: list[tuple[str, int, str, str | None]] = [
            (f"{job}/0", 1, "running", None) for job in sorted(self.running)
        ]
        message = report(MACHINE, self.incarnation, 1, LEADER.term, tasks)
        if delegate.renewal_token(message, MACHINE, self.now) is not None:
            self.renewals += 1
            self.renewed_at = self.now


def play(seed: int) -> World:
    world = World(seed)
    asyncio.run(world.play())
    return world


@given(st.integers(0, 10**9))
def test_cancelled_tasks_end_in_time_though_the_leader_is_gone_for_ever(seed: int) -> None:
    assert not play(seed).late


# -- clauses taken away ---------------------------------------------------------------------------


def _reported_tasks(patch: pytest.MonkeyPatch) -> None:
    """What a worker runs is not looked at."""
    patch.setattr(OpenJobs, "_reported_through", lambda *_: Monotonic(1e9))


def _left_bindings(patch: pytest.MonkeyPatch) -> None:
    """A start that is still on its way is forgotten."""
    patch.setattr(OpenJobs, "_keep_bindings", lambda *_: None)


def _end_of_the_owner(patch: pytest.MonkeyPatch) -> None:
    """A graph's end is not that of its jobs."""

    def closed(self: OpenJobs, name: str, last_open: Monotonic) -> None:
        if self._owners.pop(name, "none") != "none":
            self._last_open[name] = last_open
            self._bindings_unread.add(name)

    patch.setattr(OpenJobs, "_closed", closed)


def _time_of_the_reading_before(patch: pytest.MonkeyPatch) -> None:
    """A job counts as open until its end was learnt, however long that took."""
    whole = OpenJobs._closed

    def closed(self: OpenJobs, name: str, _: Monotonic) -> None:
        whole(self, name, self._now())

    patch.setattr(OpenJobs, "_closed", closed)


def _unknown_jobs(patch: pytest.MonkeyPatch) -> None:
    """A process that has just started takes what it never saw open for just ended."""
    load = OpenJobs._load

    async def loaded(self: OpenJobs) -> None:
        await load(self)
        left = {binding.job for found in self._left.values() for binding in found}
        for name in left - self._last_open.keys():
            self._last_open[name] = self._now()
        self._ends_unread.clear()

    patch.setattr(OpenJobs, "_load", loaded)


def _time_of_the_next_answer(patch: pytest.MonkeyPatch) -> None:
    """An end came about after the answer that shows it, instead of after the one before it."""

    def not_before(self: RevisionClock, revision: Revision) -> Monotonic:
        later = [sent for sent, seen in self._seen if seen >= revision]
        return later[-1] if later else Monotonic(-1e9)

    patch.setattr(RevisionClock, "not_before", not_before)


def _age_and_reading(patch: pytest.MonkeyPatch) -> None:
    """Neither is a delegation confirmed only after a reading, nor does what was read grow old."""
    whole = OpenJobs.refresh

    async def refresh(self: OpenJobs) -> None:
        if self._revision is None or self._now() % 20.0 < 1.0:
            await whole(self)

    patch.setattr(OpenJobs, "refresh", refresh)
    patch.setattr(OpenJobs, "known_through", property(lambda self: self._now()))
    patch.setattr(
        OpenJobs,
        "_job_open_through",
        lambda self, name: self._now() if name in self._owners else Monotonic(-1e9),
    )


@pytest.mark.parametrize(
    "clause",
    [
        _left_bindings,
        _end_of_the_owner,
        _time_of_the_reading_before,
        _unknown_jobs,
        _time_of_the_next_answer,
        _age_and_reading,
    ],
)
def test_each_clause_is_needed(
    clause: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    clause(monkeypatch)
    assert any(play(seed).late for seed in range(400))


def test_what_a_worker_runs_is_found_by_its_report_and_by_its_binding(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Either is enough for a task that runs; a start on its way is found by its binding alone."""

    def late_ones() -> set[str]:
        return {line.split()[0] for seed in range(100) for line in play(seed).late}

    with monkeypatch.context() as patch:
        _left_bindings(patch)
        assert late_ones() == {LATE}
        _reported_tasks(patch)
        assert late_ones() >= {*JOBS, LATE}
    with monkeypatch.context() as patch:
        _reported_tasks(patch)
        assert not late_ones()


# -- only machines with such a task pay -----------------------------------------------------------


def _calm(seed: int = 1) -> World:
    world = World(seed)
    world._draw = lambda: None  # type: ignore[method-assign]
    world.start_arrives_at = 1e9
    return world


def test_a_worker_of_open_jobs_is_renewed_for_as_long_as_they_are_open() -> None:
    world = _calm()
    asyncio.run(world.play())
    assert world.incarnation == 1 and world.renewals > DAY_S / 2


def test_a_worker_is_renewed_again_once_its_lease_has_ended_the_cancelled_task() -> None:
    world = _calm()
    asyncio.run(world.play(5.0))
    world.cancel(JOBS[0])
    asyncio.run(world.play(renewal_staleness_bound_s(WORKERS) - 2.0))
    assert world.renewed_at > world.cancelled_at[JOBS[0]], "not before the bound is near"
    asyncio.run(world.play(40.0))
    assert world.incarnation == 2 and not world.running and not world.late


def test_what_ended_by_itself_and_exited_tasks_hold_up_nothing() -> None:
    world = _calm()
    world.store.delete(f"job/{JOBS[1]}")
    world.store.bind(JOBS[1], done=True)
    world.running.discard(JOBS[1])
    world.store.bind(JOBS[1], incarnation=0)
    asyncio.run(world.play(5.0))
    exited: list[tuple[str, int, str, str | None]] = [(f"{JOBS[1]}/0", 1, wire.EXITED, "done")]
    message = report(MACHINE, 1, 9, LEADER.term, exited)
    assert world.delegates[0].renewal_token(message, MACHINE, world.now) == LEADER.term


def test_a_job_that_ended_before_the_first_reading_has_what_is_left_of_its_time() -> None:
    """Its machine was left to its lease at once, and hundreds of others' tasks ended with it."""
    world = _calm()
    for reach in world.reach:
        reach.revisions.observe(world.now, Revision(world.store.revision))
    world.now = Monotonic(world.now + 2.0)
    world.cancel(JOBS[0])
    world.now = Monotonic(world.now + 1.0)
    asyncio.run(world.play(1.0))
    assert world.renewals > 0
    asyncio.run(world.play(40.0))
    assert world.incarnation == 2 and not world.late


# -- what can't be read ---------------------------------------------------------------------------


@pytest.mark.parametrize("value", [None, [], {"tasks": 3}, {"n": 1, "tasks": [[1, "m-1"]]}])
def test_bindings_that_can_not_be_read_renew_nobody(value: Any) -> None:
    world = _calm()
    world.store.put("run/wk-000099/0", value)
    asyncio.run(world.play(5.0))
    assert world.renewals == 0
    world.store.delete("run/wk-000099/0")
    asyncio.run(world.play(5.0))
    assert world.renewals > 0


@pytest.mark.parametrize("value", [None, [], {"term": "three"}, {"closed": True}])
def test_a_delegation_that_can_not_be_read_renews_nobody_and_ends_no_node(
    value: Any, caplog: pytest.LogCaptureFixture
) -> None:
    world = _calm()
    world.store.put(DELEGATION_PREFIX + "node-0", value)
    asyncio.run(world.play(5.0))
    assert world.renewals == 0
    # Once by each of the two processes; it was said again with every look.
    assert len([r for r in caplog.records if DELEGATION_PREFIX in r.getMessage()]) == 2
    delegations = delegation_module.Delegations(
        cast(StateClient, world.reach[0]), LEADER.term, LEADER.mod_revision, lambda: None
    )
    # The leader waits for it, since it may be of its term, and closes it.
    assert asyncio.run(delegations.check_active(Monotonic(1.0), False)) is True
    assert asyncio.run(delegations.check_active(Monotonic(2.0), False)) is False


def test_an_absurd_report_costs_no_reading() -> None:
    world = _calm()
    asyncio.run(world.play(5.0))
    before = [reach.requests for reach in world.reach]
    unbound_tasks: list[tuple[str, int, str, str | None]] = [
        (f"wk-{number:06d}/0", 1, "running", None) for number in range(5000, 7000)
    ]
    unbound_tasks.append(("no task", 1, "running", None))
    delegate = world.delegates[0]
    assert (
        delegate.renewal_token(report(MACHINE, 1, 9, 3, unbound_tasks), MACHINE, world.now) is None
    )
    assert (
        delegate.renewal_token(report(MACHINE, 1, 9, LEADER.term + 1), MACHINE, world.now) is None
    )
    assert [reach.requests for reach in world.reach] == before


def test_cancelled_jobs_whose_bindings_are_not_read_yet_count_as_unknown() -> None:
    world = _calm()
    jobs = OpenJobs(cast(StateClient, world.reach[0]), 7.0, lambda: world.now)
    many = [f"wk-{number:06d}" for number in range(100, 120)]
    for job in many:
        world.store.put(f"job/{job}", {})
        world.store.bind(job, incarnation=2)
    asyncio.run(jobs.refresh())
    opened = world.now
    world.now = Monotonic(world.now + 1.0)
    for job in many:
        world.store.delete(f"job/{job}")
    asyncio.run(jobs.refresh())
    assert jobs.known_through == opened
    asyncio.run(jobs.refresh())
    asyncio.run(jobs.refresh())
    assert jobs.known_through == world.now
    machine_left = jobs._left[MACHINE]
    assert sum(left.incarnation == Incarnation(2) for left in machine_left) == len(many)
