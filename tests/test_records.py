"""What users are told stays true, whatever becomes of transactions on their way.

Three nodes take submissions, polls and cancellations for the same jobs while a leader binds and
ends their tasks; transactions are executed with and without an answer, late, or not at all. After
each step no answer may contradict an earlier one: `forgotten`, `went_back`, `not_done` and
`invented` of the protocol. Leaders follow each other at any moment, as fast as a process is back,
while what the former one sent is still under way: no task may start again while a binding of it
stands, or after it was written down as done. `test_unguarded_writes_are_found` takes the guards
away. (A former leader that goes on beside the next one is played in `test_bindings.py`.)
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


class _Plenty:
    """A budget that never runs out."""

    def available(self, priority: RequestPriority = RequestPriority.HIGH) -> float:
        return 100.0

    def consume(self, amount: float) -> None: ...

    def try_acquire(
        self, amount: float = 1.0, priority: RequestPriority = RequestPriority.HIGH
    ) -> bool:
        return True


class Store:
    """The state service, with a network that loses answers and delivers late."""

    def __init__(self, rng: random.Random, guarded: bool) -> None:
        self.rng = rng
        self.guarded = guarded
        self.reliable = False
        self.keys: dict[str, tuple[Any, int]] = {LEADER_KEY: ({}, 1)}
        self.epoch = 1
        self.late: list[tuple[list[Any], list[Any]]] = []
        self.writes = self.requests = self.submissions = _Plenty()
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
        fate = (
            "answered"
            if self.reliable
            else self.rng.choice(["answered"] * 4 + ["lost", "late", "no"])
        )
        if fate == "no":
            raise StateUnavailableError("not executed")
        if fate == "late":
            self.late.append((guards, changes))
            raise OutcomeUnknownError("no answer")
        result = self.execute(guards, changes)
        if fate == "lost":
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


class Contradiction(AssertionError):
    """A user was told something that does not go with what it was told before."""


class Service:
    def __init__(self, seed: int, guarded: bool = True) -> None:
        self.rng = random.Random(seed)
        self.store = Store(self.rng, guarded)
        client = cast(StateClient, self.store)
        parsed = settings.parse(orjson.dumps(SETTINGS))
        self.nodes = [Admission(client, parsed, lambda: _CATALOGUE) for _ in range(3)]
        self.client = client
        self.job_store = JobStore(8.0)
        self.write_batcher = self._keeper(Revision(1))
        self.running: dict[tuple[str, int], int] = {}
        """Started attempts that no proof has ended, by job and task."""
        self.told: dict[str, str] = {}
        self.asked_to_cancel: set[str] = set()
        self.finished: dict[str, set[int]] = {name: set() for name in JOBS}

    async def run(self, steps: int) -> None:
        actions = [self.submit, self.poll, self.cancel, self.late, self.succeed]
        actions += [self.lead] * 4
        for action in self.rng.choices(actions, k=steps):
            await action()
        self.store.reliable = True
        for name in JOBS:
            self._told(name, await self._node().status(name))

    def _node(self) -> Admission:
        return self.rng.choice(self.nodes)

    async def submit(self) -> None:
        name = self.rng.choice(JOBS)
        body = {**SUBMISSION, "id": name, "pieces": 2}
        if name in self.told and self.rng.random() < 0.5:
            body["vcpus"] = -1
        self._told(name, await self._node().submit(orjson.dumps(body)))

    async def poll(self) -> None:
        name = self.rng.choice(JOBS)
        self._told(name, await self._node().status(name))

    async def cancel(self) -> None:
        if self.rng.random() < 0.3:
            name = self.rng.choice(JOBS)
            self.asked_to_cancel.add(name)
            self._told(name, await self._node().cancel(name))

    async def late(self) -> None:
        if self.store.late:
            guards, changes = self.store.late.pop(self.rng.randrange(len(self.store.late)))
            self.store.execute(guards, changes)

    def _keeper(self, mod_revision: Revision) -> WriteBatcher:
        leadership = Leadership(FencingToken(1), mod_revision, LeaseId(1), NOW, Monotonic(1e9))
        return WriteBatcher(
            self.client, self.job_store, leadership, 12, self._start, lambda _: None
        )

    def _start(self, chunks: list[Chunk]) -> None:
        """What is committed may run from now on."""
        for chunk in chunks:
            for binding in self.job_store.never_sent(chunk):
                place = (binding.task.job, binding.task.index)
                if place in self.running or binding.task.index in self.finished[place[0]]:
                    raise Contradiction(f"{binding.task} runs twice")
                self.running[place] = binding.attempt
                binding.start_confirmed = True

    async def succeed(self) -> None:
        """The leader's process ends in the middle of anything, and another one is elected."""
        self.store.epoch += 1
        self.store.keys[LEADER_KEY] = ({}, self.store.epoch)
        self.job_store = JobStore(8.0)
        self.write_batcher = self._keeper(Revision(self.store.keys[LEADER_KEY][1]))
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

    async def lead(self) -> None:
        """The leader takes up a job, binds a task, counts one done, or writes its book."""
        name = JobId(self.rng.choice(JOBS))
        job = self.job_store.jobs.get(name)
        kept = self.store.keys.get(job_key(name))
        if job is None and kept is not None:
            spec = wire.decode(orjson.dumps(kept[0]["spec"]), wire.JobSpec)
            self.job_store.add(spec, Wall(0.0), Revision(kept[1]))
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

    def _told(self, name: str, reply: Reply) -> None:
        before = self.told.get(name)
        if reply.status not in (200, 201):
            if before is not None and reply.status in (400, 404, 422):
                raise Contradiction(f"{name} was {before}, now {reply}")
            return
        status = reply.body["status"]
        if before in (wire.JOB_DONE, wire.JOB_CANCELLED) and status != before:
            raise Contradiction(f"{name} was {before}, now {status}")
        if status == wire.JOB_CANCELLED and name not in self.asked_to_cancel:
            raise Contradiction(f"{name} is cancelled, and nobody asked for it")
        if status == wire.JOB_DONE and len(self.finished[name]) < 2:
            raise Contradiction(f"{name} is done before its tasks are")
        self.told[name] = status


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tealrill.state.write_batcher._BACK_OFF_S", 0.0)


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=400, suppress_health_check=[])
def _check(seed: int) -> None:
    asyncio.run(Service(seed).run(50))


def test_no_answer_contradicts_an_earlier_one() -> None:
    _check()


def test_unguarded_writes_are_found() -> None:
    with pytest.raises(Contradiction):
        for seed in range(400):
            asyncio.run(Service(seed, guarded=False).run(50))


class _Throttled(Store):
    """A state service at its limit: so many transactions are answered 429."""

    def __init__(self, busy: int) -> None:
        super().__init__(random.Random(0), True)
        self.reliable = True
        self.busy = busy
        self.submissions = RateLimiter(1.0, depth=20.0)  # type: ignore[assignment]

    async def commit(
        self,
        guards: list[Any],
        changes: list[Any],
        tokens_acquired: bool = False,
        timeout_s: float = 2.0,
    ) -> Committed | GuardsFailed:
        if self.busy > 0:
            self.busy -= 1
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


def test_a_burst_at_one_node_is_accepted_and_the_rest_refused_at_once() -> None:
    # A node's even part of the rate refused most of a burst while the other parts lay idle.
    replies = _submit_all(_Throttled(busy=0), 25)
    assert [reply.status for reply in replies] == [201] * 20 + [503] * 5
    assert all(reply.retry_after_s == 1 for reply in replies if reply.status == 503)


def test_a_submission_above_the_rate_is_sent_again_but_not_held() -> None:
    assert [reply.status for reply in _submit_all(_Throttled(busy=2), 1)] == [201]
    (reply,) = _submit_all(_Throttled(busy=99), 1)
    assert (reply.status, reply.retry_after_s) == (503, 1)


def test_the_tasks_of_a_large_job_cost_a_key_for_each_chunk_and_not_one_each() -> None:
    service = Service(0)
    spec = wire.decode(orjson.dumps({**SUBMISSION, "pieces": 150}), wire.JobSpec)
    job = service.job_store.add(spec, Wall(0.0), Revision(1))
    for index in range(150):
        service.job_store.bind(
            job, index, MachineId("m-1"), Incarnation(1), "north", False, Wall(0.0), NOW
        )
    batch = service.write_batcher._gather(NOW)
    assert len(batch.changes) == len(job.chunks) == 2
    assert not any(binding.committed for binding in job.bindings())


def test_an_urgent_jobs_binding_does_not_wait_for_hundreds_of_others() -> None:
    """After a fall all that was lost is bound again at once, and changes are few."""
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
    # Within a class they go in the order in which they came.
    assert written == ["wk-000011", "wk-000001", "wk-000002", "wk-000003"]
