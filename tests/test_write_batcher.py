"""Order of the leader's writes at a limited rate, and deletion of chunks with a job's end."""

from __future__ import annotations

import asyncio
import random
from typing import cast

import orjson
import pytest

from tealrill import wire
from tealrill.state import write_batcher as batcher_module
from tealrill.state.bindings import Job
from tealrill.state.client import StateClient
from tealrill.state.fencing import Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.rate_limiter import RequestPriority
from tealrill.state.records import ended_key, job_key
from tealrill.state.write_batcher import WriteBatcher
from tealrill.types import FencingToken, Incarnation, LeaseId, MachineId, Monotonic, Revision, Wall
from tests.samples import SUBMISSION
from tests.test_records import Store

NOW = Monotonic(1.0)


class _FixedTokens:
    """A rate limiter with a fixed number of tokens."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens

    def available(self, priority: RequestPriority = RequestPriority.HIGH) -> float:
        return self.tokens

    def consume(self, amount: float) -> None:
        self.tokens -= amount


class _Term:
    def __init__(self, txn_ops: int = 8, tokens: float = 100.0) -> None:
        self.store = Store(random.Random(0), True)
        self.store.reliable = True
        self.rate = _FixedTokens(tokens)
        self.store.writes = self.rate  # type: ignore[assignment]
        self.job_store = JobStore(8.0)
        leadership = Leadership(FencingToken(1), Revision(1), LeaseId(1), NOW, Monotonic(1e9))
        self.write_batcher = WriteBatcher(
            cast(StateClient, self.store),
            self.job_store,
            leadership,
            txn_ops,
            lambda _: None,
            lambda _: None,
        )

    def job(self, number: int, urgency: str, pieces: int = 1) -> Job:
        changes = {**SUBMISSION, "id": f"wk-{number}", "urgency": urgency, "pieces": pieces}
        spec = wire.decode(orjson.dumps(changes), wire.JobSpec)
        self.store.epoch += 1
        self.store.keys[job_key(spec.id)] = ({"spec": wire.to_builtins(spec)}, self.store.epoch)  # type: ignore[arg-type]
        return self.job_store.add(spec, Wall(0.0), Revision(self.store.epoch))

    def bind(self, job: Job) -> None:
        index = self.job_store.pop_unbound_task(job)
        assert index is not None
        self.job_store.bind(
            job, index, MachineId("m-1"), Incarnation(1), "north", False, Wall(0.0), NOW
        )

    def finish(self, job: Job, release: bool = True) -> None:
        for binding in list(job.bindings()):
            self.job_store.complete(job, binding.task.index, NOW)
            if release:
                self.job_store.release(binding, "north", NOW)

    def write(self) -> list[str]:
        """Commit one transaction; return the ends and bindings in it, in order."""
        batch = self.write_batcher._gather(NOW)
        if not batch.changes:
            return []
        asyncio.run(self.write_batcher._commit(batch))
        ended = [f"end {job.id}" for job in batch.jobs]
        return ended + [f"bind {chunk.job.id}" for chunk, _, new in batch.chunks if new]


def test_urgent_binding_precedes_job_ends_of_lower_class() -> None:
    # When 667 jobs of one task each ended within minutes, at a rate of 20 changes per second,
    # urgent bindings waited behind their ends.
    term = _Term()
    small = [term.job(number, "idle") for number in range(10)]
    for job in small:
        term.bind(job)
    while term.write():
        pass
    for job in small:
        term.finish(job)
    urgent, standard = term.job(90, "urgent"), term.job(91, "standard")
    term.bind(standard)
    term.bind(urgent)
    first = term.write()
    assert {"bind wk-90", "bind wk-91", "end wk-0"} <= set(first)
    assert sum(line.startswith("end") for line in first) == 2


def test_chunk_deletion_waits_for_bindings_until_orphans_accumulate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def chunk_remains() -> bool:
        term = _Term()
        done = term.job(1, "urgent")
        term.bind(done)
        term.write()
        term.finish(done)
        term.bind(term.job(2, "urgent"))
        assert term.write() == ["end wk-1", "bind wk-2"]
        return "run/wk-1/00000" in term.store.keys

    assert chunk_remains()
    monkeypatch.setattr(batcher_module, "_MAX_ORPHANED_CHUNKS", 0)
    assert not chunk_remains()


def test_job_end_precedes_bindings_of_same_class() -> None:
    term = _Term(txn_ops=2)
    done, waiting = term.job(1, "standard"), term.job(2, "standard")
    term.bind(done)
    term.write()
    term.finish(done)
    term.bind(waiting)
    assert term.write() == ["end wk-1"]
    assert term.write() == ["bind wk-2"]


def test_job_end_is_not_starved_by_smaller_bindings() -> None:
    # An end takes at least two changes. If bindings may use a single available change, an end is
    # delayed for as long as there are bindings to write.
    term = _Term()
    done = term.job(1, "standard")
    term.bind(done)
    term.write()
    term.finish(done)
    for number in range(2, 6):
        term.bind(term.job(number, "standard"))
    term.rate.tokens = 1.0
    assert term.write() == []
    term.rate.tokens = 2.0
    assert term.write() == ["end wk-1"]


def test_small_job_chunk_is_deleted_with_job_end() -> None:
    term = _Term()
    job = term.job(1, "standard", pieces=2)
    term.bind(job)
    term.bind(job)
    term.write()
    assert "run/wk-1/00000" in term.store.keys
    term.finish(job)
    assert term.write() == ["end wk-1"]
    assert "run/wk-1/00000" not in term.store.keys
    assert ended_key(job.id) in term.store.keys and job_key(job.id) not in term.store.keys
    assert (
        not term.job_store.orphaned_chunks
        and not term.job_store.deferred_chunks
        and not term.job_store.jobs
    )


def test_chunk_with_binding_is_kept_at_job_end() -> None:
    """A done task may still be on a machine, and a new leader must know its binding."""
    term = _Term()
    job = term.job(1, "standard")
    term.bind(job)
    term.write()
    term.finish(job, release=False)
    assert term.write() == ["end wk-1"]
    assert "run/wk-1/00000" in term.store.keys


def test_unanswered_job_end_is_resolved_including_its_chunk() -> None:
    for delivery in ("lost", "late"):
        term = _Term()
        job = term.job(1, "standard")
        term.bind(job)
        term.write()
        term.finish(job)
        term.store.reliable = False
        term.store.rng = random.Random(0)
        term.store.rng.choice = lambda _, delivery=delivery: delivery  # type: ignore[method-assign,misc]
        term.write()
        term.store.reliable = True
        while term.write():
            pass
        assert "run/wk-1/00000" not in term.store.keys
        assert ended_key(job.id) in term.store.keys
        # The delayed transaction is executed now; its guards must reject it.
        before = dict(term.store.keys)
        for guards, changes in term.store.late:
            term.store.execute(guards, changes)
        assert term.store.keys == before
