"""Graphs under lost, late and refused transactions, take-overs and cancellations.

Three nodes take submissions, polls and cancellations of generated graphs while leaders follow each
other, release nodes, and have their tasks done or failed. The store checks every transaction that
it executes against a plain model of what a graph means; after each step no answer to a user may
contradict an earlier one. `test_each_clause_is_needed` takes single clauses of the argument away.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, cast

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tealrill import settings, wire
from tealrill.features import GraphFeatures
from tealrill.fleet.cloud import Cloud
from tealrill.graphs import leader_extension as graph_term
from tealrill.graphs.admission import GraphAdmission
from tealrill.graphs.leader_extension import GraphLeaderExtension
from tealrill.graphs.tracker import Progress
from tealrill.leader.leader import Leader
from tealrill.leadership.election import Election
from tealrill.scheduler.estimates import Estimates
from tealrill.state.admission import Admission, Reply
from tealrill.state.bindings import Binding
from tealrill.state.client import Committed, GuardsFailed, StateClient
from tealrill.state.fencing import LEADER_KEY, Leadership
from tealrill.state.job_store import JobStore
from tealrill.state.rate_limiter import RequestPriority
from tealrill.state.transaction_batch import JoinedWrite, TransactionBatch
from tealrill.state.write_batcher import LeadershipLostError
from tealrill.types import (
    FencingToken,
    Incarnation,
    LeaseId,
    MachineId,
    Monotonic,
    Revision,
    monotonic_now,
    wall_now,
)
from tests.samples import SETTINGS, SUBMISSION
from tests.test_records import _CATALOGUE, Contradiction, Store

_DEFAULTS = {k: v for k, v in SUBMISSION.items() if k not in ("id", "dueS")} | {"vcpus": 1.0}
_FEATURES = GraphFeatures(on=True)
_NAMES = ("fam1", "fam2")


class _Election:
    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership

    def valid_leadership(self, _: Monotonic) -> Leadership:
        return self.leadership


class Model:
    """What a graph means, by its text and the records alone; slow and plain."""

    def __init__(self, name: str, nodes: list[dict[str, Any]]) -> None:
        self.name = name
        self.nodes = nodes
        self.index = {node["key"]: number for number, node in enumerate(nodes)}

    def job(self, index: int) -> str:
        return f"{self.name}-{index:05d}"

    def outcome(self, keys: dict[str, Any], index: int) -> str | None:
        """How a node ended or must end; None while that is open."""
        over = keys.get(f"over/{self.job(index)}")
        if over is not None:
            if over[0]["status"] == "done":
                return "done"
            return str(over[0].get("outcome", "cancelled"))
        for edge in self.nodes[index]["after"]:
            up = self.outcome(keys, self.index[edge["node"]])
            if up is not None and not self._fires(edge, up):
                return "skipped"
        return None

    @staticmethod
    def _fires(edge: dict[str, Any], outcome: str) -> bool:
        return edge["when"] in ("ended", outcome)

    def may_release(self, keys: dict[str, Any], index: int) -> bool:
        for edge in self.nodes[index]["after"]:
            up = self.outcome(keys, self.index[edge["node"]])
            if edge["each"]:
                continue
            if up is None or not self._fires(edge, up):
                return False
        return any(self.task_open(keys, index, task) for task in range(self.tasks(index)))

    def tasks(self, index: int) -> int:
        return int(self.nodes[index]["job"]["pieces"])

    def task_open(self, keys: dict[str, Any], index: int, task: int) -> bool:
        return all(
            self.task_done(keys, self.index[edge["node"]], task)
            for edge in self.nodes[index]["after"]
            if edge["each"]
        )

    def task_done(self, keys: dict[str, Any], index: int, task: int) -> bool:
        if self.outcome(keys, index) == "done":
            return True
        chunk = keys.get(f"run/{self.job(index)}/00000")
        if chunk is None or task >= len(chunk[0]["tasks"]):
            return False
        entry = chunk[0]["tasks"][task]
        return bool(entry == -1 or (isinstance(entry, list) and len(entry) > 1 and entry[4] & 2))


class CheckedStore(Store):
    """Checks what is executed against the models."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng, True)
        self.models: dict[str, Model] = {}
        self.completed: dict[str, set[int]] = {}
        self.log: list[tuple[int, wire.WatchEvent]] = []
        self.meanwhile: Callable[[], Awaitable[None]] | None = None

    async def scan(
        self, prefix: str, rank: RequestPriority = RequestPriority.HIGH
    ) -> tuple[list[wire.Entry], Revision]:
        found = await super().scan(prefix)
        if self.meanwhile is not None and prefix.startswith("over/"):
            await self.meanwhile()
        return found

    async def page(self, prefix: str, after: str | None, most: int) -> wire.Entries:
        entries, revision = await self.scan(prefix)
        items = [e for e in entries if after is None or e.key > after]
        return wire.Entries(items=items[:most], more=len(items) > most, revision=revision)

    def execute(self, guards: list[Any], changes: list[Any]) -> Committed | GuardsFailed:
        before = dict(self.keys)
        result = super().execute(guards, changes)
        if isinstance(result, Committed):
            for change in changes:
                key = change.get("set") or change["delete"]
                if "set" in change:
                    self._check(before, key, change["value"])
                    value = orjson.loads(orjson.dumps(change["value"]))
                    event = wire.WatchEvent(put=key, value=value, version=self.epoch)
                else:
                    event = wire.WatchEvent(delete=key, version=self.epoch)
                self.log.append((self.epoch, event))
        return result

    def _check(self, before: dict[str, Any], key: str, value: Any) -> None:
        kind, _, rest = key.partition("/")
        job = rest.partition("/")[0]
        name, _, number = job.partition("-")
        model = self.models.get(name)
        if model is None or not number:
            if model is not None and kind == "over" and value["status"] in ("done", "failed"):
                self._check_end(before, model, value)
            return
        index = int(number)
        head = before.get(f"job/{name}")
        if kind == "job":
            if head is None or head[0]["status"] != "accepted":
                raise Contradiction(f"{job} released without its graph")
            if f"over/{job}" in before or not model.may_release(before, index):
                raise Contradiction(f"{job} released too early or after its end")
        elif kind == "over" and value["status"] == "done":
            if head is None:
                raise Contradiction(f"{job} done after its graph's end")
            if self.completed.get(job, set()) != set(range(model.tasks(index))):
                raise Contradiction(f"{job} done before all its tasks")
        elif kind == "run":
            self._check_bindings(before, model, index, key, value)

    def _check_bindings(
        self, before: dict[str, Any], model: Model, index: int, key: str, value: Any
    ) -> None:
        old = before[key][0]["tasks"] if key in before else []
        for task, entry in enumerate(value["tasks"]):
            was = old[task] if task < len(old) else 0
            if not isinstance(entry, list) or len(entry) == 1 or entry == was:
                continue
            if isinstance(was, list) and len(was) > 1 and was[3] == entry[3]:
                continue
            if f"job/{model.name}" not in before or f"job/{model.job(index)}" not in before:
                raise Contradiction(f"{model.job(index)}/{task} bound after its end")
            if not model.task_open(before, index, task):
                raise Contradiction(f"{model.job(index)}/{task} bound too early")

    def _check_end(self, before: dict[str, Any], model: Model, value: Any) -> None:
        outcomes = [model.outcome(before, index) for index in range(len(model.nodes))]
        if value.get("counts") is None:
            if "failed" not in outcomes:
                raise Contradiction(f"{model.name} stopped without a failure")
        elif None in outcomes:
            raise Contradiction(f"{model.name} over before its nodes")
        elif value["counts"]["done"] != outcomes.count("done"):
            raise Contradiction(f"{model.name} counts wrong")


class Reign:
    """One leader, driven by hand."""

    def __init__(self, service: Service, mod_revision: Revision) -> None:
        self.service = service
        parsed = settings.parse(orjson.dumps(SETTINGS))
        leadership = Leadership(
            FencingToken(int(mod_revision)),
            mod_revision,
            LeaseId(1),
            monotonic_now(),
            Monotonic(1e12),
        )
        client = cast(StateClient, service.store)
        self.leader = Leader(
            parsed,
            client,
            cast(Cloud, None),
            cast(Election, _Election(leadership)),
            leadership,
            Estimates(),
            [lambda term: GraphLeaderExtension(term, _FEATURES)],
        )
        self.seen = 0
        self.running: list[Binding] = []
        """Started tasks."""

    async def begin(self) -> None:
        self.seen = int((await self.leader.record_loader.load()).revision)
        for job in self.leader.job_store.jobs.values():
            self.running += job.bindings()

    @property
    def part(self) -> GraphLeaderExtension:
        return cast(GraphLeaderExtension, self.leader.extensions[0])

    def hear(self, until: int) -> None:
        """What the watch brings, whole revisions up to this one."""
        for at, event in list(self.service.store.log):
            key = event.put or event.delete or ""
            if self.seen < at <= until and key.startswith("job/"):
                self.leader.job_watch.job_changed(event)
        self.seen = max(self.seen, until)

    async def look(self) -> None:
        for name in [n for n in self.part._accepted if n not in self.part._loaded]:
            self.service.store.meanwhile = self.meanwhile
            await self.part._load(name)
            self.service.store.meanwhile = None
        for name in [n for n, (h, _) in self.part._drafts.items() if h.status == "expired"]:
            await self.part._clear_up(name)
        self.part._advance()

    async def meanwhile(self) -> None:
        """While a graph's records are read, some of its nodes are cancelled."""
        self.service.store.meanwhile = None
        await self.service.cancel()
        self.hear(self.service.store.epoch)

    def bind(self, share: float) -> None:
        for job in list(self.leader.job_store.jobs.values()):
            while job.waiting > 0 and self.service.rng.random() < share:
                index = self.leader.job_store.pop_unbound_task(job)
                if index is None:
                    break
                self.leader.job_store.bind(
                    job,
                    index,
                    MachineId("m-1"),
                    Incarnation(1),
                    "",
                    False,
                    wall_now(),
                    monotonic_now(),
                )

    async def commit(self) -> None:
        batch = self.leader.write_batcher._gather(Monotonic(monotonic_now() + 10.0))
        if batch.changes:
            await self.leader.write_batcher._commit(batch)

    def work(self, fail: float, rest: float = 0.3) -> None:
        """Tasks start once their record is committed, and end somehow."""
        for job in list(self.leader.job_store.jobs.values()):
            for binding in list(job.bindings()):
                if not binding.committed or self.service.rng.random() < rest:
                    continue
                if job.cancelled or job.outcome != "done":
                    self.leader.job_store.release(binding, "", monotonic_now())
                    continue
                index = binding.task.index
                if self.service.rng.random() < fail:
                    self.leader.job_store.task_failed(job, index)
                else:
                    self.service.store.completed.setdefault(job.id, set()).add(index)
                    self.leader.job_store.complete(job, index, monotonic_now())
                self.leader.job_store.release(binding, "", monotonic_now())


class Service:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = CheckedStore(self.rng)
        client = cast(StateClient, self.store)
        parsed = settings.parse(orjson.dumps(SETTINGS))
        self.nodes: list[tuple[Admission, GraphAdmission]] = []
        for _ in range(3):
            admission = Admission(client, parsed, lambda: _CATALOGUE)
            graphs = GraphAdmission(client, parsed, _FEATURES, admission, self._no_counts)
            admission.implicit_jobs = graphs
            self.nodes.append((admission, graphs))
        self.models = {name: Model(name, self._graph()) for name in _NAMES}
        self.store.models = self.models
        self.bodies = {name: self._body(name) for name in _NAMES}
        self.split = {name: self.rng.random() < 0.5 for name in _NAMES}
        self.told: dict[str, str] = {}
        self.cancelled: set[str] = set()
        self.reign: Reign | None = None
        self.former: list[Reign] = []

    @staticmethod
    async def _no_counts(_: str) -> dict[str, int] | None:
        return None

    def _graph(self) -> list[dict[str, Any]]:
        nodes: list[dict[str, Any]] = []
        for number in range(self.rng.randint(1, 6)):
            after = []
            pieces = self.rng.choice([1, 2, 2, 3])
            for other in nodes:
                if self.rng.random() < 0.35:
                    each = self.rng.random() < 0.5 and other["job"]["pieces"] == pieces
                    when = "done" if each else self.rng.choice(["done", "done", "failed", "ended"])
                    after.append({"node": other["key"], "each": each, "when": when})
            nodes.append(
                {"key": f"n{number}", "job": {"pieces": pieces}, "after": after,
                 "maxRetries": self.rng.choice([0, 1])}
            )  # fmt: skip
        return nodes

    def _body(self, name: str) -> dict[str, Any]:
        failure = self.rng.choice(["finish", "stop"])
        return {"id": name, "defaults": _DEFAULTS, "onFailure": failure}

    # -- steps ----------------------------------------------------------------------------------

    async def run(self, steps: int) -> None:
        acts: list[Callable[[], Awaitable[None]]] = [
            self.submit, self.submit, self.poll, self.poll, self.cancel, self.late, self.take_over,
            *[self.lead] * 7, self.zombie,
        ]  # fmt: skip
        for act in self.rng.choices(acts, k=steps):
            await act()
        await self.finish()

    def _node(self) -> tuple[Admission, GraphAdmission]:
        return self.rng.choice(self.nodes)

    async def submit(self) -> None:
        name = self.rng.choice(_NAMES)
        nodes = self.models[name].nodes
        _, graphs = self._node()
        if not self.split[name]:
            body = {**self.bodies[name], "nodes": nodes}
            self._told_graph(name, await graphs.submit(orjson.dumps(body)))
            return
        begun = {**self.bodies[name], "seal": False}
        half = (len(nodes) + 1) // 2
        parts = [part for part in (nodes[:half], nodes[half:]) if part]
        if self.rng.random() < 0.5:
            await graphs.submit(orjson.dumps(begun))
        for number, part in enumerate(parts):
            if self.rng.random() < 0.7:
                await graphs.put_part(name, number, orjson.dumps({"nodes": part}))
        seal = orjson.dumps({"parts": len(parts)})
        self._told_graph(name, await graphs.seal(name, seal))

    async def poll(self) -> None:
        name = self.rng.choice(_NAMES)
        admission, graphs = self._node()
        self._told_graph(name, await graphs.show(name))
        index = self.rng.randrange(len(self.models[name].nodes) + 1)
        job = self.models[name].job(index)
        reply = await admission.status(job)
        if index == len(self.models[name].nodes):
            if reply.status != 404:
                raise Contradiction(f"{job} invented")
            return
        self._told_job(name, index, reply)

    async def cancel(self) -> None:
        name = self.rng.choice(_NAMES)
        admission, graphs = self._node()
        if self.rng.random() < 0.3:
            self.cancelled.add(name)
            self._told_graph(name, await graphs.cancel_graph(name))
        elif self.rng.random() < 0.5:
            index = self.rng.randrange(len(self.models[name].nodes))
            self.cancelled.add(self.models[name].job(index))
            self._told_job(name, index, await admission.cancel(self.models[name].job(index)))

    async def late(self) -> None:
        if self.store.late:
            guards, changes = self.store.late.pop(self.rng.randrange(len(self.store.late)))
            self.store.execute(guards, changes)

    async def take_over(self) -> None:
        if self.reign is not None:
            self.former.append(self.reign)
        self.store.execute([], [wire.put(LEADER_KEY, {})])
        self.reign = Reign(self, Revision(self.store.epoch))
        await self.reign.begin()

    async def lead(self) -> None:
        if self.reign is None:
            await self.take_over()
        assert self.reign is not None
        await self._act(self.reign)

    async def zombie(self) -> None:
        """A leader that does not know yet that it is none."""
        if self.former:
            await self._act(self.rng.choice(self.former))

    async def _act(self, reign: Reign, fail: float = 0.25, rest: float = 0.3) -> None:
        if self.rng.random() < 0.8:
            reign.hear(self.rng.randint(reign.seen, max(reign.seen, self.store.epoch)))
        try:
            await reign.look()
            reign.bind(0.7)
            await reign.commit()
            if reign is self.reign:
                reign.work(fail, rest)
            if self.rng.random() < 0.5:
                await reign.commit()
        except LeadershipLostError:
            if reign in self.former:
                self.former.remove(reign)
            elif reign is self.reign:
                self.reign = None

    # -- what users are told --------------------------------------------------------------------

    def _told_graph(self, name: str, reply: Reply) -> None:
        if reply.status in (503, 409):
            return
        before = self.told.get(name)
        if reply.status == 404:
            if before is not None:
                raise Contradiction(f"{name} forgotten after {before}")
            return
        if reply.status not in (200, 201):
            raise Contradiction(f"{name}: {reply}")
        status = reply.body["status"]
        if status == "open":
            if before is not None:
                raise Contradiction(f"{name} open again")
            return
        if before not in (None, "accepted") and status != before:
            raise Contradiction(f"{name}: {status} after {before}")
        if status == "aborted" and not any(n.startswith(name) for n in self.cancelled):
            raise Contradiction(f"{name} cancelled by nobody")
        self.told[name] = status

    def _told_job(self, name: str, index: int, reply: Reply) -> None:
        job = self.models[name].job(index)
        before = self.told.get(job)
        if reply.status == 503:
            return
        if reply.status == 404:
            if before is not None or self.told.get(name) == "accepted":
                raise Contradiction(f"{job} forgotten")
            return
        status = reply.body["status"]
        if before in ("done", "aborted") and status != before:
            raise Contradiction(f"{job}: {status} after {before}")
        if self.told.get(name) == "aborted" and status not in ("done", "aborted"):
            raise Contradiction(f"{job}: {status} after its graph was cancelled")
        if status == "done" and self.store.completed.get(job, set()) != set(
            range(self.models[name].tasks(index))
        ):
            raise Contradiction(f"{job} done too early")
        if status == "aborted":
            self._check_aborted(name, index)
        self.told[job] = status

    def _check_aborted(self, name: str, index: int) -> None:
        """Somebody cancelled it, or it failed, or what it waits for can't come."""
        model = self.models[name]
        over = self.store.keys.get(f"over/{name}")
        if over is not None and over[0]["status"] != "done":
            return
        outcome = model.outcome(self.store.keys, index)
        if outcome not in ("failed", "skipped", "cancelled"):
            raise Contradiction(f"{model.job(index)} aborted, but {outcome}")
        if outcome == "cancelled" and model.job(index) not in self.cancelled:
            raise Contradiction(f"{model.job(index)} cancelled by nobody")

    # -- the end --------------------------------------------------------------------------------

    async def finish(self) -> None:
        """Everything calms down; every graph that was accepted comes to its end."""
        while self.store.late:
            await self.late()
        self.store.reliable = True
        await self.take_over()
        for _ in range(120):
            if self.reign is None:
                await self.take_over()
            assert self.reign is not None
            self.reign.hear(self.store.epoch)
            await self._act(self.reign, fail=0.0, rest=0.0)
        left = [k for k in self.store.keys if k.startswith(("job/", "run/"))]
        drafts = {f"job/{n}" for n in _NAMES if n not in self.told}
        if set(left) - drafts:
            raise Contradiction(f"left over: {left}")
        for name, model in self.models.items():
            over = self.store.keys.get(f"over/{name}")
            if self.told.get(name) is not None and over is None:
                raise Contradiction(f"{name} never came to its end")
            admission, graphs = self._node()
            self._told_graph(name, await graphs.show(name))
            if over is None or not over[0].get("nodes"):
                continue
            for index in range(len(model.nodes)):
                reply = await admission.status(model.job(index))
                if reply.body.get("status") not in ("done", "aborted"):
                    raise Contradiction(f"{model.job(index)} is {reply.body}")
                self._told_job(name, index, reply)
                outcome = model.outcome(self.store.keys, index)
                # What would have been skipped may be cancelled by its user all the same.
                if (
                    over[0]["status"] == "done"
                    and outcome not in ("done", "skipped")
                    and model.job(index) not in self.cancelled
                ):
                    raise Contradiction(f"{model.job(index)} did not run to its end")


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tealrill.state.write_batcher._BACK_OFF_S", 0.0)


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=250, deadline=None)
def _check(seed: int) -> None:
    asyncio.run(Service(seed).run(45))


def test_graphs_mean_what_they_say() -> None:
    _check()


def _unguarded_releases(patch: pytest.MonkeyPatch) -> None:
    def joined(guards: dict[str, Revision], *rest: Any) -> Any:
        return JoinedWrite({k: v for k, v in guards.items() if "-" in k}, *rest)

    patch.setattr(graph_term, "JoinedWrite", joined)


def _unguarded(patch: pytest.MonkeyPatch, method: str, guard: Callable[[Any], str]) -> None:
    whole = getattr(TransactionBatch, method)

    def add(self: TransactionBatch, item: Any, *rest: Any) -> bool:
        before = set(self.guards)
        added = bool(whole(self, item, *rest))
        if guard(item) not in before:
            self.guards.pop(guard(item), None)
        return added

    patch.setattr(TransactionBatch, method, add)


def _unguarded_ends(patch: pytest.MonkeyPatch) -> None:
    _unguarded(patch, "add_end", lambda job: job.owner.key if job.owner else "")


def _unguarded_bindings(patch: pytest.MonkeyPatch) -> None:
    _unguarded(patch, "add_chunk", lambda chunk: chunk.job.owner.key if chunk.job.owner else "")


def _hasty_followers(patch: pytest.MonkeyPatch) -> None:
    """Tells followers of tasks that are done before that is written down."""

    def report_completions(self: JobStore, job: Any, now: Monotonic) -> list[int]:
        job.reports_completions = True
        return [index for index, done in enumerate(job.done) if done]

    whole = JobStore.complete

    def complete(self: JobStore, job: Any, index: int, now: Monotonic) -> bool:
        first = whole(self, job, index, now)
        for other in self.jobs.values():
            if (
                first
                and job.reports_completions
                and other.unblocked is not None
                and other.owner is job.owner
            ):
                self.unblock_task(other, index)
        return first

    patch.setattr(JobStore, "report_completions", report_completions)
    patch.setattr(JobStore, "complete", complete)


def _no_orphans(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(GraphLeaderExtension, "_orphan", lambda self, job: None)


def _unguarded_parts(patch: pytest.MonkeyPatch) -> None:
    """Parts and seals whatever has become of the graph's head."""
    whole = GraphAdmission._commit

    async def commit(self: GraphAdmission, guards: list[Any], changes: list[Any]) -> Any:
        heads = {f"job/{name}" for name in _NAMES}
        return await whole(self, [g for g in guards if g["path"] not in heads], changes)

    patch.setattr(GraphAdmission, "_commit", commit)


def _deaf_to_words(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(GraphLeaderExtension, "_take_word", lambda self, name, value, version: None)


def _stuck_nodes(patch: pytest.MonkeyPatch) -> None:
    """Nodes some of whose tasks can't be let go any more are waited for."""
    whole = Progress.record_end

    def record_end(self: Progress, index: int, state: int) -> list[int]:
        freed = whole(self, index, state)
        self.stuck.clear()
        return freed

    patch.setattr(Progress, "record_end", record_end)


# An end that a take-over forgot is no clause: the release of such a node is refused by its record
# in `over/`, which is then taken for what it says.
_CLAUSES = (
    _unguarded_releases, _unguarded_ends, _unguarded_bindings, _hasty_followers, _no_orphans,
    _unguarded_parts, _deaf_to_words, _stuck_nodes,
)  # fmt: skip


@pytest.mark.parametrize("clause", _CLAUSES)
def test_each_clause_is_needed(
    clause: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    clause(monkeypatch)
    with pytest.raises((Contradiction, AssertionError)):
        for seed in range(1500):
            asyncio.run(Service(seed).run(45))
