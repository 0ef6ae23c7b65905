"""Users' answers stay consistent and tasks run once, whatever happens to transactions in transit.

Three nodes serve submissions, polls and cancellations of the same jobs while a leader binds and
ends their tasks. Transactions are executed with or without an answer, late, or not at all. After
each step no answer may contradict an earlier one: `forgotten`, `went_back`, `not_done` and
`invented` of the protocol. Failovers happen at any time, while transactions of the previous leader
are still in flight: no task may start again while it is bound, or after it was recorded as done.
`test_unguarded_writes_cause_contradictions` removes the guards and requires that a contradiction is
found. (`test_bindings.py` covers a previous leader that is still active after its successor's
election.)
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, cast

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.state.admission import Admission, Reply
from tealrill.state.bindings import Chunk
from tealrill.state.client import (
    Committed,
    GuardsFailed,
    OutcomeUnknownError,
    RateLimitedError,
    StateClient,
    StateUnavailableError,
)
from tealrill.state.fencing import LEADER_KEY, Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.rate_limiter import RateLimiter, RequestPriority
from tealrill.state.records import job_key
from tealrill.state.write_batcher import WriteBatcher
from tealrill.types import (
    FencingToken,
    Incarnation,
    JobId,
    LeaseId,
    MachineId,
    Monotonic,
    Revision,
    Wall,
)
from tests.samples import SETTINGS, SUBMISSION

NOW = Monotonic(1.0)
JOBS = ("wk-1", "wk-2")
_CATALOGUE = wire.decode(
    orjson.dumps(
        {"builds": [{"label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "price": 1.0,
                     "marketPrice": 0.4, "startupS": 20, "halls": ["north"]}]}
    ),
    wire.Catalogue,
)  # fmt: skip


class _UnlimitedRate:
    """A rate limiter that never runs out of tokens."""

    def available(self, priority: RequestPriority = RequestPriority.HIGH) -> float:
        return 100.0

    def consume(self, amount: float) -> None: ...

    def try_acquire(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.HIGH
    ) -> bool:
        return True


class Store:
    """The state service behind a network that loses answers and delays requests."""

    def __init__(self, rng: random.Random, guarded: bool) -> None:
        self.rng = rng
        self.guarded = guarded
        self.reliable = False
        self.keys: dict[str, tuple[Any, int]] = {LEADER_KEY: ({}, 1)}
        self.epoch = 1
        self.late: list[tuple[list[Any], list[Any]]] = []
        self.writes = self.requests = self.submissions = _UnlimitedRate()
        self.unavailable = False

    async def get(
        self, key: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> wire.KeyValue | None:
        entry = self.keys.get(key)
        return None if entry is None else wire.KeyValue(value=entry[0], version=entry[1])

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> tuple[list[wire.Entry], Revision]:
        return [
            wire.Entry(key=k, value=v, version=r)
            for k, (v, r) in sorted(self.keys.items())
            if k.startswith(prefix)
        ], Revision(self.epoch)

    async def commit(
        self,
        guards: list[Any],
        changes: list[Any],
        tokens_acquired: bool = False,
        timeout_s: float = 2.0,
    ) -> Committed | GuardsFailed:
        delivery = (
            "answered"
            if self.reliable
            else self.rng.choice(["answered"] * 4 + ["lost", "late", "no"])
        )
        if delivery == "no":
            raise StateUnavailableError("not executed")
        if delivery == "late":
            self.late.append((guards, changes))
            raise OutcomeUnknownError("no answer")
        result = self.execute(guards, changes)
        if delivery == "lost":
            raise OutcomeUnknownError("no answer")
        return result

    def execute(self, guards: list[Any], changes: list[Any]) -> Committed | GuardsFailed:
        failed = [g["path"] for g in guards if self.keys.get(g["path"], (0, 0))[1] != g["stamp"]]
        if failed and self.guarded:
            return GuardsFailed(failed)
        self.epoch += 1
        for change in changes:
            if "set" in change:
                value = orjson.loads(orjson.dumps(change["value"]))
                self.keys[change["set"]] = (value, self.epoch)
            else:
                self.keys.pop(change["delete"], None)
        return Committed(Revision(self.epoch))


class InvariantViolationError(AssertionError):
    """A user got an answer that contradicts an earlier one, or a task would run twice."""


class _Cluster:
    def __init__(self, seed: int, guarded: bool = True) -> None:
        self.rng = random.Random(seed)
        self.store = Store(self.rng, guarded)
        client = cast(StateClient, self.store)
        parsed = settings.parse(orjson.dumps(SETTINGS))
        self.nodes = [Admission(client, parsed, lambda: _CATALOGUE) for _ in range(3)]
        self.client = client
        self.job_store = JobStore(8.0)
        self.write_batcher = self._new_write_batcher(Revision(1))
        self.running: dict[tuple[str, int], int] = {}
        """Started attempts that have not been proved to have ended, by job and task."""
        self.last_status: dict[str, str] = {}
        self.cancel_requested: set[str] = set()
        self.finished: dict[str, set[int]] = {name: set() for name in JOBS}

    async def run(self, steps: int) -> None:
        actions = [self.submit, self.poll, self.cancel, self.deliver_delayed, self.fail_over]
        actions += [self.run_leader] * 4
        for action in self.rng.choices(actions, k=steps):
            await action()
        self.store.reliable = True
        for name in JOBS:
            self._check_reply(name, await self._node().status(name))

    def _node(self) -> Admission:
        return self.rng.choice(self.nodes)

    async def submit(self) -> None:
        name = self.rng.choice(JOBS)
        body = {**SUBMISSION, "id": name, "pieces": 2}
        if name in self.last_status and self.rng.random() < 0.5:
            body["vcpus"] = -1
        self._check_reply(name, await self._node().submit(orjson.dumps(body)))

    async def poll(self) -> None:
        name = self.rng.choice(JOBS)
        self._check_reply(name, await self._node().status(name))

    async def cancel(self) -> None:
        if self.rng.random() < 0.3:
            name = self.rng.choice(JOBS)
            self.cancel_requested.add(name)
            self._check_reply(name, await self._node().cancel(name))

    async def deliver_delayed(self) -> None:
        if self.store.late:
            guards, changes = self.store.late.pop(self.rng.randrange(len(self.store.late)))
            self.store.execute(guards, changes)

    def _new_write_batcher(self, mod_revision: Revision) -> WriteBatcher:
        leadership = Leadership(FencingToken(1), mod_revision, LeaseId(1), NOW, Monotonic(1e9))
        return WriteBatcher(
            self.client, self.job_store, leadership, 12, self._start, lambda _: None
        )

    def _start(self, chunks: list[Chunk]) -> None:
        """Start the tasks whose bindings have been committed."""
        for chunk in chunks:
            for binding in self.job_store.never_sent(chunk):
                task_key = (binding.task.job, binding.task.index)
                if task_key in self.running or binding.task.index in self.finished[task_key[0]]:
                    raise InvariantViolationError(f"{binding.task} runs twice")
                self.running[task_key] = binding.attempt
                binding.start_confirmed = True

    async def fail_over(self) -> None:
        """End the leader's process at an arbitrary point, and elect another leader."""
        self.store.epoch += 1
        self.store.keys[LEADER_KEY] = ({}, self.store.epoch)
        self.job_store = JobStore(8.0)
        self.write_batcher = self._new_write_batcher(Revision(self.store.keys[LEADER_KEY][1]))
        entries, _ = await self.store.scan("")
        for entry in entries:
            if entry.key.startswith("job/"):
                spec = wire.decode(orjson.dumps(entry.value["spec"]), wire.JobSpec)
                self.job_store.add(spec, Wall(0.0), Revision(entry.version))
        for entry in entries:
            if entry.key.startswith("run/"):
                name, number = entry.key.removeprefix("run/").split("/")
                job = self.job_store.jobs.get(JobId(name))
                if job is None:
                    self.job_store.orphaned_chunks[entry.key] = Revision(entry.version)
                else:
                    self.job_store.load(job, int(number), entry.value, Revision(entry.version))

    async def run_leader(self) -> None:
        """Let the leader add a job, or bind a task and complete one; then commit a transaction."""
        name = JobId(self.rng.choice(JOBS))
        job = self.job_store.jobs.get(name)
        stored = self.store.keys.get(job_key(name))
        if job is None and stored is not None:
            spec = wire.decode(orjson.dumps(stored[0]["spec"]), wire.JobSpec)
            self.job_store.add(spec, Wall(0.0), Revision(stored[1]))
        elif job is not None and not job.cancelled and self.rng.random() < 0.6:
            index = self.job_store.pop_unbound_task(job)
            if index is not None:
                self.job_store.bind(
                    job, index, MachineId("m-1"), Incarnation(1), "north", False, Wall(0.0), NOW
                )
            for binding in list(job.bindings())[:1]:
                if binding.committed:
                    self.finished[name].add(binding.task.index)
                    self.running.pop((name, binding.task.index), None)
                    self.job_store.complete(job, binding.task.index, NOW)
                    self.job_store.release(binding, "north", NOW)
        batch = self.write_batcher._gather(NOW)
        if batch.changes:
            await self.write_batcher._commit(batch)

    def _check_reply(self, name: str, reply: Reply) -> None:
        previous = self.last_status.get(name)
        if reply.status not in (200, 201):
            if previous is not None and reply.status in (400, 404, 422):
                raise InvariantViolationError(f"{name} was {previous}, now {reply}")
            return
        status = reply.body["status"]
        if previous in (wire.JOB_DONE, wire.JOB_CANCELLED) and status != previous:
            raise InvariantViolationError(f"{name} was {previous}, now {status}")
        if status == wire.JOB_CANCELLED and name not in self.cancel_requested:
            raise InvariantViolationError(f"{name} is cancelled without a cancellation request")
        if status == wire.JOB_DONE and len(self.finished[name]) < 2:
            raise InvariantViolationError(f"{name} is done, but not all of its tasks are")
        self.last_status[name] = status


@pytest.fixture(autouse=True)
def _no_back_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tealrill.state.write_batcher._BACK_OFF_S", 0.0)


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=400, suppress_health_check=[])
def _run_generated_scenarios(seed: int) -> None:
    asyncio.run(_Cluster(seed).run(50))


def test_replies_never_contradict_earlier_replies() -> None:
    _run_generated_scenarios()


def test_unguarded_writes_cause_contradictions() -> None:
    with pytest.raises(InvariantViolationError):
        for seed in range(400):
            asyncio.run(_Cluster(seed, guarded=False).run(50))


class _RateLimitedStore(Store):
    """A state service at its rate limit: the first `rejections` transactions are answered 429."""

    def __init__(self, rejections: int) -> None:
        super().__init__(random.Random(0), True)
        self.reliable = True
        self.rejections = rejections
        self.submissions = RateLimiter(1.0, capacity=20.0)  # type: ignore[assignment]

    async def commit(
        self,
        guards: list[Any],
        changes: list[Any],
        tokens_acquired: bool = False,
        timeout_s: float = 2.0,
    ) -> Committed | GuardsFailed:
        if self.rejections > 0:
            self.rejections -= 1
            raise RateLimitedError("status 429")
        return await super().commit(guards, changes, tokens_acquired, timeout_s)


def _submit_all(store: Store, count: int) -> list[Reply]:
    admission = Admission(
        cast(StateClient, store), settings.parse(orjson.dumps(SETTINGS)), lambda: _CATALOGUE
    )

    async def run() -> list[Reply]:
        bodies = [orjson.dumps({**SUBMISSION, "id": f"wk-{n}"}) for n in range(count)]
        return list(await asyncio.gather(*map(admission.submit, bodies)))

    return asyncio.run(run())


def test_submission_burst_is_accepted_up_to_limiter_capacity() -> None:
    # With equal shares of the rate one node refused most of a burst while the others' were unused.
    replies = _submit_all(_RateLimitedStore(rejections=0), 25)
    assert [reply.status for reply in replies] == [201] * 20 + [503] * 5
    assert all(reply.retry_after_s == 1 for reply in replies if reply.status == 503)


def test_rate_limited_submission_is_retried_a_bounded_number_of_times() -> None:
    assert [reply.status for reply in _submit_all(_RateLimitedStore(rejections=2), 1)] == [201]
    (reply,) = _submit_all(_RateLimitedStore(rejections=99), 1)
    assert (reply.status, reply.retry_after_s) == (503, 1)


def test_large_job_is_written_with_one_change_per_chunk() -> None:
    cluster = _Cluster(0)
    spec = wire.decode(orjson.dumps({**SUBMISSION, "pieces": 150}), wire.JobSpec)
    job = cluster.job_store.add(spec, Wall(0.0), Revision(1))
    for index in range(150):
        cluster.job_store.bind(
            job, index, MachineId("m-1"), Incarnation(1), "north", False, Wall(0.0), NOW
        )
    batch = cluster.write_batcher._gather(NOW)
    assert len(batch.changes) == len(job.chunks) == 2
    assert not any(binding.committed for binding in job.bindings())


def test_urgent_binding_is_written_before_standard_bindings() -> None:
    """After a mass failure all lost tasks are bound again at once, and changes are limited."""
    client = cast(StateClient, Store(random.Random(1), True))
    job_store = JobStore(8.0)
    leadership = Leadership(FencingToken(1), Revision(1), LeaseId(1), NOW, Monotonic(1e9))
    write_batcher = WriteBatcher(client, job_store, leadership, 4, lambda _: None, lambda _: None)

    def bind(number: int, urgency: str) -> None:
        changes = {**SUBMISSION, "id": f"wk-{number:06d}", "urgency": urgency}
        job = job_store.add(
            wire.decode(orjson.dumps(changes), wire.JobSpec), Wall(0.0), Revision(number)
        )
        index = job_store.pop_unbound_task(job)
        assert index is not None
        job_store.bind(job, index, MachineId("m-1"), Incarnation(1), "north", False, Wall(0.0), NOW)

    for number in range(1, 11):
        bind(number, "standard")
    bind(11, "urgent")
    batch = write_batcher._gather(NOW)
    written = [chunk.job.id for chunk, _, _ in batch.chunks]
    # Within a class they are written in order of arrival.
    assert written == ["wk-000011", "wk-000001", "wk-000002", "wk-000003"]
