"""Delegates renew workers of a failed leader only while the workers' jobs are known to be open.

Guards against cancelled tasks that run on after `cancel_s`: while the state service flaps, a failed
leader's key can stay for 45 s and more, and delegates renew its workers all that time.

The simulation has two delegates with the real `RenewalDelegate` and `OpenJobs`, one worker with its
lease, a direct start that may arrive at any time, cancellations of jobs and graphs, restarts, and a
state service that is down, refuses one delegate or loses answers. The leader never returns and its
key stays, so that only the delegates' own knowledge limits the renewals.
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
from tests.samples import SETTINGS, make_heartbeat

MACHINE = MachineId("m-1")
LEADER = KnownLeader("node-1", FencingToken(3), Revision(1))
WORKERS = settings.parse(orjson.dumps(SETTINGS)).params.workers
JOBS = tuple(f"wk-{number:06d}" for number in range(4))
GRAPH = "dag7"
OWNED = f"{GRAPH}-1"
DELAYED = "wk-000009"
"""A job whose only task is bound and whose direct start is in flight."""
STEP_S = 0.25
DURATION_S = 70.0


class Store:
    """The state service: keys with revisions, and a log of changes."""

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


class StateLink:
    """The state service as one controller reaches it."""

    def __init__(self, store: Store, rng: random.Random) -> None:
        self.store, self.rng = store, rng
        self.down = False
        self.loss_probability = 0.0
        self.revisions = RevisionClock()
        self.now: Callable[[], Monotonic] = lambda: Monotonic(0.0)
        self.compacted = False
        self.requests = 0

    def _request(self) -> None:
        self.requests += 1
        if self.down:
            raise StateUnavailableError("status 503")
        if self.rng.random() < self.loss_probability:
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


class Simulation:
    """Two delegates, one worker and the state service, simulated in steps of `STEP_S`."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = Monotonic(100.0)
        self.store = Store()
        self.store.put(f"job/{GRAPH}", {"v": 1})
        self.store.put(f"job/{OWNED}", {"owner": GRAPH})
        for job in (*JOBS, DELAYED):
            self.store.put(f"job/{job}", {})
        for job in (*JOBS, OWNED, DELAYED):
            self.store.bind(job)
        self.cancelled_at: dict[str, Monotonic] = {}
        self.incarnation, self.renewed_at = 1, self.now
        self.running = {*JOBS, OWNED}
        self.start_arrives_at = self.now + self.rng.uniform(0.0, DURATION_S)
        self.links = [StateLink(self.store, self.rng) for _ in range(2)]
        self.delegates = [self._process(link) for link in self.links]
        self.reports_at = self.now
        # Half of the runs cancel only `DELAYED`: otherwise the lease expires before the late start.
        self.cancellable = self.rng.choice([[*JOBS, DELAYED, GRAPH], [DELAYED]])
        self.renewals = 0
        self.overdue: list[str] = []

    def _process(self, link: StateLink) -> RenewalDelegate:
        # A new process has no observations of revisions.
        link.revisions = RevisionClock()
        link.now = lambda: self.now
        client = cast(StateClient, link)
        election = Election(client, "node-0", lambda: None)
        election.known_leader = LEADER
        delegate = RenewalDelegate(
            settings.parse(orjson.dumps(SETTINGS)), client, election, lambda: self.now
        )
        delegate._partitioned_since = self.now
        return delegate

    async def run(self, seconds: float = DURATION_S) -> None:
        until = self.now + seconds
        while self.now < until:
            self._inject_faults()
            for link in self.links:
                # Members that do not lead watch the leader's key all the time.
                if not link.down:
                    link.revisions.observe(self.now, Revision(self.store.revision))
            for delegate in self.delegates:
                if delegate._should_confirm(self.now):
                    try:
                        await delegate.confirm(LEADER)
                    except StateError:
                        continue
            self._run_worker()
            self.now = Monotonic(self.now + STEP_S)

    def _inject_faults(self) -> None:
        for number, link in enumerate(self.links):
            if self.rng.random() < 0.12:
                # Outages are of any length, and often short and repeated.
                link.down = not link.down and self.rng.random() < 0.7
            link.loss_probability = self.rng.choice([0.0, 0.0, 0.1])
            link.compacted = self.rng.random() < 0.01
            if self.rng.random() < 0.01:
                self.delegates[number] = self._process(link)
        if self.rng.random() < 0.06:
            self.cancel(self.rng.choice(self.cancellable))

    def cancel(self, name: str) -> None:
        """Commit a cancellation through some other controller, which acknowledges it."""
        if name in self.cancelled_at:
            return
        self.cancelled_at[name] = self.now
        if name == GRAPH:
            self.cancelled_at[OWNED] = self.now
        self.store.put(f"over/{name}", {"status": wire.JOB_CANCELLED})
        self.store.delete(f"job/{name}")

    def _run_worker(self) -> None:
        if self.now - self.renewed_at > WORKERS.lease_s:
            self.incarnation += 1
            self.renewed_at = self.now
            self.running.clear()
        if self.now >= self.start_arrives_at:
            self.start_arrives_at = 1e9
            if self.incarnation == 1:
                self.running.add(DELAYED)
        for job in self.running:
            if self.now > self.cancelled_at.get(job, 1e9) + WORKERS.cancel_s:
                self.overdue.append(f"{job} at {self.now}, cancelled at {self.cancelled_at[job]}")
        if self.now >= self.reports_at:
            pause_s = WORKERS.heartbeat_interval_s * self.rng.uniform(0.75, 1.25)
            self.reports_at = Monotonic(self.now + pause_s)
            self.report(self.rng.choice(self.delegates))

    def report(self, delegate: RenewalDelegate) -> None:
        tasks: list[tuple[str, int, str, str | None]] = [
            (f"{job}/0", 1, "running", None) for job in sorted(self.running)
        ]
        message = make_heartbeat(MACHINE, self.incarnation, 1, LEADER.term, tasks)
        if delegate.renewal_token(message, MACHINE, self.now) is not None:
            self.renewals += 1
            self.renewed_at = self.now


def simulate(seed: int) -> Simulation:
    simulation = Simulation(seed)
    asyncio.run(simulation.run())
    return simulation


@given(st.integers(0, 10**9))
def test_cancelled_tasks_end_in_time_without_leader(seed: int) -> None:
    assert not simulate(seed).overdue


# -- without one of the protocol's conditions -----------------------------------------------------


def _ignore_reported_tasks(patch: pytest.MonkeyPatch) -> None:
    """The tasks listed in a heartbeat are not checked."""
    patch.setattr(OpenJobs, "_reported_jobs_open_through", lambda *_: Monotonic(1e9))


def _ignore_remaining_bindings(patch: pytest.MonkeyPatch) -> None:
    """Bindings of ended jobs are not read, so starts in flight are not known."""
    patch.setattr(OpenJobs, "_add_remaining_bindings", lambda *_: None)


def _ignore_end_of_owner(patch: pytest.MonkeyPatch) -> None:
    """The end of a graph does not end its jobs."""

    def closed(self: OpenJobs, name: str, last_open: Monotonic) -> None:
        if self._owners.pop(name, "none") != "none":
            self._last_open[name] = last_open
            self._bindings_unread.add(name)

    patch.setattr(OpenJobs, "_closed", closed)


def _date_end_by_reading(patch: pytest.MonkeyPatch) -> None:
    """A job counts as open until its end was read, however much earlier it ended."""
    original = OpenJobs._closed

    def closed(self: OpenJobs, name: str, _: Monotonic) -> None:
        original(self, name, self._now())

    patch.setattr(OpenJobs, "_closed", closed)


def _date_unknown_ends_by_start(patch: pytest.MonkeyPatch) -> None:
    """Jobs that had ended before a process started count as having ended just now."""
    load = OpenJobs._load

    async def loaded(self: OpenJobs) -> None:
        await load(self)
        remaining = {
            binding.job for found in self._remaining_bindings.values() for binding in found
        }
        for name in remaining - self._last_open.keys():
            self._last_open[name] = self._now()
        self._ends_unread.clear()

    patch.setattr(OpenJobs, "_load", loaded)


def _date_revision_by_next_answer(patch: pytest.MonkeyPatch) -> None:
    """A revision is dated by the first answer that shows it, not by the last one that does not."""

    def not_before(self: RevisionClock, revision: Revision) -> Monotonic:
        later = [sent for sent, seen in self._observations if seen >= revision]
        return later[-1] if later else Monotonic(-1e9)

    patch.setattr(RevisionClock, "not_before", not_before)


def _ignore_age(patch: pytest.MonkeyPatch) -> None:
    """Delegations are confirmed without reading the changes, and knowledge does not age."""
    original = OpenJobs.refresh

    async def refresh(self: OpenJobs) -> None:
        if self._revision is None or self._now() % 20.0 < 1.0:
            await original(self)

    patch.setattr(OpenJobs, "refresh", refresh)
    patch.setattr(OpenJobs, "known_through", property(lambda self: self._now()))
    patch.setattr(
        OpenJobs,
        "_job_open_through",
        lambda self, name: self._now() if name in self._owners else Monotonic(-1e9),
    )


@pytest.mark.parametrize(
    "mutation",
    [
        _ignore_remaining_bindings,
        _ignore_end_of_owner,
        _date_end_by_reading,
        _date_unknown_ends_by_start,
        _date_revision_by_next_answer,
        _ignore_age,
    ],
)
def test_removed_condition_lets_cancelled_tasks_run_on(
    mutation: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    assert any(simulate(seed).overdue for seed in range(400))


def test_tasks_are_found_by_heartbeat_and_by_binding(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Either finds a running task; only the binding finds a direct start in flight."""

    def overdue_jobs() -> set[str]:
        return {line.split()[0] for seed in range(100) for line in simulate(seed).overdue}

    with monkeypatch.context() as patch:
        _ignore_remaining_bindings(patch)
        assert overdue_jobs() == {DELAYED}
        _ignore_reported_tasks(patch)
        assert overdue_jobs() >= {*JOBS, DELAYED}
    with monkeypatch.context() as patch:
        _ignore_reported_tasks(patch)
        assert not overdue_jobs()


# -- only machines with tasks of ended jobs lose their leases -------------------------------------


def _simulation_without_faults(seed: int = 1) -> Simulation:
    simulation = Simulation(seed)
    simulation._inject_faults = lambda: None  # type: ignore[method-assign]
    simulation.start_arrives_at = 1e9
    return simulation


def test_worker_with_open_jobs_is_renewed() -> None:
    simulation = _simulation_without_faults()
    asyncio.run(simulation.run())
    assert simulation.incarnation == 1 and simulation.renewals > DURATION_S / 2


def test_worker_is_renewed_again_after_lease_ended_cancelled_task() -> None:
    simulation = _simulation_without_faults()
    asyncio.run(simulation.run(5.0))
    simulation.cancel(JOBS[0])
    asyncio.run(simulation.run(renewal_staleness_bound_s(WORKERS) - 2.0))
    assert simulation.renewed_at > simulation.cancelled_at[JOBS[0]], "not before the bound is near"
    asyncio.run(simulation.run(40.0))
    assert simulation.incarnation == 2 and not simulation.running and not simulation.overdue


def test_completed_jobs_and_exited_tasks_do_not_prevent_renewal() -> None:
    simulation = _simulation_without_faults()
    simulation.store.delete(f"job/{JOBS[1]}")
    simulation.store.bind(JOBS[1], done=True)
    simulation.running.discard(JOBS[1])
    simulation.store.bind(JOBS[1], incarnation=0)
    asyncio.run(simulation.run(5.0))
    exited: list[tuple[str, int, str, str | None]] = [(f"{JOBS[1]}/0", 1, wire.EXITED, "done")]
    message = make_heartbeat(MACHINE, 1, 9, LEADER.term, exited)
    assert simulation.delegates[0].renewal_token(message, MACHINE, simulation.now) == LEADER.term


def test_job_cancelled_before_first_reading_is_renewed_for_remaining_time() -> None:
    """The delegate must not withhold renewals at once: that ends all other tasks on the machine.

    Hundreds of tasks of other jobs ended that way.
    """
    simulation = _simulation_without_faults()
    for link in simulation.links:
        link.revisions.observe(simulation.now, Revision(simulation.store.revision))
    simulation.now = Monotonic(simulation.now + 2.0)
    simulation.cancel(JOBS[0])
    simulation.now = Monotonic(simulation.now + 1.0)
    asyncio.run(simulation.run(1.0))
    assert simulation.renewals > 0
    asyncio.run(simulation.run(40.0))
    assert simulation.incarnation == 2 and not simulation.overdue


# -- unreadable records and reports ---------------------------------------------------------------


@pytest.mark.parametrize("value", [None, [], {"tasks": 3}, {"n": 1, "tasks": [[1, "m-1"]]}])
def test_unreadable_binding_prevents_renewal(value: Any) -> None:
    simulation = _simulation_without_faults()
    simulation.store.put("run/wk-000099/0", value)
    asyncio.run(simulation.run(5.0))
    assert simulation.renewals == 0
    simulation.store.delete("run/wk-000099/0")
    asyncio.run(simulation.run(5.0))
    assert simulation.renewals > 0


@pytest.mark.parametrize("value", [None, [], {"term": "three"}, {"closed": True}])
def test_unreadable_delegation_prevents_renewal_and_is_revoked(
    value: Any, caplog: pytest.LogCaptureFixture
) -> None:
    simulation = _simulation_without_faults()
    simulation.store.put(DELEGATION_PREFIX + "node-0", value)
    asyncio.run(simulation.run(5.0))
    assert simulation.renewals == 0
    # Logged once by each of the two processes, not with every reading.
    assert len([r for r in caplog.records if DELEGATION_PREFIX in r.getMessage()]) == 2
    delegations = delegation_module.Delegations(
        cast(StateClient, simulation.links[0]), LEADER.term, LEADER.mod_revision, lambda: None
    )
    # The leader counts it as active, since it may belong to its term, and revokes it.
    assert asyncio.run(delegations.check_active(Monotonic(1.0), False)) is True
    assert asyncio.run(delegations.check_active(Monotonic(2.0), False)) is False


def test_implausible_heartbeat_causes_no_requests() -> None:
    simulation = _simulation_without_faults()
    asyncio.run(simulation.run(5.0))
    before = [link.requests for link in simulation.links]
    unbound_tasks: list[tuple[str, int, str, str | None]] = [
        (f"wk-{number:06d}/0", 1, "running", None) for number in range(5000, 7000)
    ]
    unbound_tasks.append(("no task", 1, "running", None))
    delegate = simulation.delegates[0]
    assert (
        delegate.renewal_token(
            make_heartbeat(MACHINE, 1, 9, 3, unbound_tasks), MACHINE, simulation.now
        )
        is None
    )
    assert (
        delegate.renewal_token(
            make_heartbeat(MACHINE, 1, 9, LEADER.term + 1), MACHINE, simulation.now
        )
        is None
    )
    assert [link.requests for link in simulation.links] == before


def test_unread_bindings_limit_known_through() -> None:
    simulation = _simulation_without_faults()
    jobs = OpenJobs(cast(StateClient, simulation.links[0]), 7.0, lambda: simulation.now)
    many = [f"wk-{number:06d}" for number in range(100, 120)]
    for job in many:
        simulation.store.put(f"job/{job}", {})
        simulation.store.bind(job, incarnation=2)
    asyncio.run(jobs.refresh())
    opened = simulation.now
    simulation.now = Monotonic(simulation.now + 1.0)
    for job in many:
        simulation.store.delete(f"job/{job}")
    asyncio.run(jobs.refresh())
    assert jobs.known_through == opened
    asyncio.run(jobs.refresh())
    asyncio.run(jobs.refresh())
    assert jobs.known_through == simulation.now
    remaining_on_machine = jobs._remaining_bindings[MACHINE]
    assert sum(
        remaining.incarnation == Incarnation(2) for remaining in remaining_on_machine
    ) == len(many)
