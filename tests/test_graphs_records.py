"""Graphs under lost, late and failed transactions, failovers and cancellations.

Three members process submissions, polls and cancellations of generated graphs while successive
leaders release nodes, whose tasks are done or fail. The store checks every transaction that it
executes against a simple reference model of a graph; after each step no reply to a user may
contradict an earlier one. `test_removing_a_safety_rule_causes_a_violation` removes one safety rule
at a time and expects a violation.
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
from tealrill.graphs import leader_extension as graphs_leader_extension
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
from tests.test_records import _CATALOGUE, InvariantViolationError, Store

_DEFAULTS = {k: v for k, v in SUBMISSION.items() if k not in ("id", "dueS")} | {"vcpus": 1.0}
_FEATURES = GraphFeatures(on=True)
_NAMES = ("fam1", "fam2")


class _Election:
    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership

    def valid_leadership(self, _: Monotonic) -> Leadership:
        return self.leadership


class Model:
    """Reference model of a graph, computed from its submission and the records alone."""

    def __init__(self, name: str, nodes: list[dict[str, Any]]) -> None:
        self.name = name
        self.nodes = nodes
        self.index = {node["key"]: number for number, node in enumerate(nodes)}

    def job(self, index: int) -> str:
        return f"{self.name}-{index:05d}"

    def outcome(self, keys: dict[str, Any], index: int) -> str | None:
        """Return how a node ended or must end; None while that is undecided."""
        end_entry = keys.get(f"over/{self.job(index)}")
        if end_entry is not None:
            if end_entry[0]["status"] == "done":
                return "done"
            return str(end_entry[0].get("outcome", "cancelled"))
        for edge in self.nodes[index]["after"]:
            dependency_outcome = self.outcome(keys, self.index[edge["node"]])
            if dependency_outcome is not None and not self._is_satisfied(edge, dependency_outcome):
                return "skipped"
        return None

    @staticmethod
    def _is_satisfied(edge: dict[str, Any], outcome: str) -> bool:
        return edge["when"] in ("ended", outcome)

    def may_release(self, keys: dict[str, Any], index: int) -> bool:
        for edge in self.nodes[index]["after"]:
            dependency_outcome = self.outcome(keys, self.index[edge["node"]])
            if edge["each"]:
                continue
            if dependency_outcome is None or not self._is_satisfied(edge, dependency_outcome):
                return False
        return any(self.may_run(keys, index, task) for task in range(self.tasks(index)))

    def tasks(self, index: int) -> int:
        return int(self.nodes[index]["job"]["pieces"])

    def may_run(self, keys: dict[str, Any], index: int, task: int) -> bool:
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
    """A store that checks every executed change against the models."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng, True)
        self.models: dict[str, Model] = {}
        self.completed: dict[str, set[int]] = {}
        self.log: list[tuple[int, wire.WatchEvent]] = []
        self.during_scan: Callable[[], Awaitable[None]] | None = None

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.HIGH
    ) -> tuple[list[wire.Entry], Revision]:
        found = await super().scan(prefix)
        if self.during_scan is not None and prefix.startswith("over/"):
            await self.during_scan()
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
        record = before.get(f"job/{name}")
        if kind == "job":
            if record is None or record[0]["status"] != "accepted":
                raise InvariantViolationError(f"{job} released without an accepted graph")
            if f"over/{job}" in before or not model.may_release(before, index):
                raise InvariantViolationError(f"{job} released too early or after its end")
        elif kind == "over" and value["status"] == "done":
            if record is None:
                raise InvariantViolationError(f"{job} done after its graph's end")
            if self.completed.get(job, set()) != set(range(model.tasks(index))):
                raise InvariantViolationError(f"{job} done before all its tasks")
        elif kind == "run":
            self._check_bindings(before, model, index, key, value)

    def _check_bindings(
        self, before: dict[str, Any], model: Model, index: int, key: str, value: Any
    ) -> None:
        previous_entries = before[key][0]["tasks"] if key in before else []
        for task, entry in enumerate(value["tasks"]):
            previous_entry = previous_entries[task] if task < len(previous_entries) else 0
            if not isinstance(entry, list) or len(entry) == 1 or entry == previous_entry:
                continue
            if (
                isinstance(previous_entry, list)
                and len(previous_entry) > 1
                and previous_entry[3] == entry[3]
            ):
                continue
            if f"job/{model.name}" not in before or f"job/{model.job(index)}" not in before:
                raise InvariantViolationError(f"{model.job(index)}/{task} bound after its end")
            if not model.may_run(before, index, task):
                raise InvariantViolationError(f"{model.job(index)}/{task} bound too early")

    def _check_end(self, before: dict[str, Any], model: Model, value: Any) -> None:
        outcomes = [model.outcome(before, index) for index in range(len(model.nodes))]
        if value.get("counts") is None:
            if "failed" not in outcomes:
                raise InvariantViolationError(f"{model.name} stopped without a failure")
        elif None in outcomes:
            raise InvariantViolationError(f"{model.name} ended before its nodes")
        elif value["counts"]["done"] != outcomes.count("done"):
            raise InvariantViolationError(f"{model.name} ended with a wrong count of done nodes")


class LeaderDriver:
    """One leader whose steps the test calls."""

    def __init__(self, simulation: GraphSimulation, mod_revision: Revision) -> None:
        self.simulation = simulation
        parsed = settings.parse(orjson.dumps(SETTINGS))
        leadership = Leadership(
            FencingToken(int(mod_revision)),
            mod_revision,
            LeaseId(1),
            monotonic_now(),
            Monotonic(1e12),
        )
        client = cast(StateClient, simulation.store)
        self.leader = Leader(
            parsed,
            client,
            cast(Cloud, None),
            cast(Election, _Election(leadership)),
            leadership,
            Estimates(),
            [lambda term: GraphLeaderExtension(term, _FEATURES)],
        )
        self.processed_revision = 0
        self.running: list[Binding] = []
        """Bindings of the tasks that were started."""

    async def begin(self) -> None:
        self.processed_revision = int((await self.leader.record_loader.load()).revision)
        for job in self.leader.job_store.jobs.values():
            self.running += job.bindings()

    @property
    def extension(self) -> GraphLeaderExtension:
        return cast(GraphLeaderExtension, self.leader.extensions[0])

    def process_events(self, until: int) -> None:
        """Process the changes that the watch reports up to a revision."""
        for at, event in list(self.simulation.store.log):
            key = event.put or event.delete or ""
            if self.processed_revision < at <= until and key.startswith("job/"):
                self.leader.job_watch.job_changed(event)
        self.processed_revision = max(self.processed_revision, until)

    async def advance(self) -> None:
        for name in [n for n in self.extension._accepted if n not in self.extension._loaded]:
            self.simulation.store.during_scan = self.cancel_during_load
            await self.extension._load(name)
            self.simulation.store.during_scan = None
        for name in [n for n, (h, _) in self.extension._drafts.items() if h.status == "expired"]:
            await self.extension._delete_expired(name)
        self.extension._enqueue_writes()

    async def cancel_during_load(self) -> None:
        """Cancel nodes, or a graph, while the leader reads a graph's records."""
        self.simulation.store.during_scan = None
        await self.simulation.cancel()
        self.process_events(self.simulation.store.epoch)

    def bind(self, probability: float) -> None:
        for job in list(self.leader.job_store.jobs.values()):
            while job.waiting > 0 and self.simulation.rng.random() < probability:
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

    def work(self, failure_probability: float, idle_probability: float = 0.3) -> None:
        """Let tasks whose binding is committed end, done or failed."""
        for job in list(self.leader.job_store.jobs.values()):
            for binding in list(job.bindings()):
                if not binding.committed or self.simulation.rng.random() < idle_probability:
                    continue
                if job.cancelled or job.outcome != "done":
                    self.leader.job_store.release(binding, "", monotonic_now())
                    continue
                index = binding.task.index
                if self.simulation.rng.random() < failure_probability:
                    self.leader.job_store.task_failed(job, index)
                else:
                    self.simulation.store.completed.setdefault(job.id, set()).add(index)
                    self.leader.job_store.complete(job, index, monotonic_now())
                self.leader.job_store.release(binding, "", monotonic_now())


class GraphSimulation:
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
        self.replied: dict[str, str] = {}
        self.cancelled: set[str] = set()
        self.driver: LeaderDriver | None = None
        self.former_drivers: list[LeaderDriver] = []

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
        actions: list[Callable[[], Awaitable[None]]] = [
            self.submit, self.submit, self.poll, self.poll, self.cancel,
            self.execute_late_transaction, self.fail_over,
            *[self.act_as_leader] * 7, self.act_as_former_leader,
        ]  # fmt: skip
        for action in self.rng.choices(actions, k=steps):
            await action()
        await self.finish()

    def _node(self) -> tuple[Admission, GraphAdmission]:
        return self.rng.choice(self.nodes)

    async def submit(self) -> None:
        name = self.rng.choice(_NAMES)
        nodes = self.models[name].nodes
        _, graphs = self._node()
        if not self.split[name]:
            body = {**self.bodies[name], "nodes": nodes}
            self._check_graph_reply(name, await graphs.submit(orjson.dumps(body)))
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
        self._check_graph_reply(name, await graphs.seal(name, seal))

    async def poll(self) -> None:
        name = self.rng.choice(_NAMES)
        admission, graphs = self._node()
        self._check_graph_reply(name, await graphs.show(name))
        index = self.rng.randrange(len(self.models[name].nodes) + 1)
        job = self.models[name].job(index)
        reply = await admission.status(job)
        if index == len(self.models[name].nodes):
            if reply.status != 404:
                raise InvariantViolationError(f"{job}: status of a node that does not exist")
            return
        self._check_job_reply(name, index, reply)

    async def cancel(self) -> None:
        name = self.rng.choice(_NAMES)
        admission, graphs = self._node()
        if self.rng.random() < 0.3:
            self.cancelled.add(name)
            self._check_graph_reply(name, await graphs.cancel_graph(name))
        elif self.rng.random() < 0.5:
            index = self.rng.randrange(len(self.models[name].nodes))
            self.cancelled.add(self.models[name].job(index))
            self._check_job_reply(name, index, await admission.cancel(self.models[name].job(index)))

    async def execute_late_transaction(self) -> None:
        if self.store.late:
            guards, changes = self.store.late.pop(self.rng.randrange(len(self.store.late)))
            self.store.execute(guards, changes)

    async def fail_over(self) -> None:
        if self.driver is not None:
            self.former_drivers.append(self.driver)
        self.store.execute([], [wire.put(LEADER_KEY, {})])
        self.driver = LeaderDriver(self, Revision(self.store.epoch))
        await self.driver.begin()

    async def act_as_leader(self) -> None:
        if self.driver is None:
            await self.fail_over()
        assert self.driver is not None
        await self._act(self.driver)

    async def act_as_former_leader(self) -> None:
        """Let a former leader act that does not know yet that its term has ended."""
        if self.former_drivers:
            await self._act(self.rng.choice(self.former_drivers))

    async def _act(
        self, driver: LeaderDriver, failure_probability: float = 0.25, idle_probability: float = 0.3
    ) -> None:
        if self.rng.random() < 0.8:
            driver.process_events(
                self.rng.randint(
                    driver.processed_revision, max(driver.processed_revision, self.store.epoch)
                )
            )
        try:
            await driver.advance()
            driver.bind(0.7)
            await driver.commit()
            if driver is self.driver:
                driver.work(failure_probability, idle_probability)
            if self.rng.random() < 0.5:
                await driver.commit()
        except LeadershipLostError:
            if driver in self.former_drivers:
                self.former_drivers.remove(driver)
            elif driver is self.driver:
                self.driver = None

    # -- replies to users -----------------------------------------------------------------------

    def _check_graph_reply(self, name: str, reply: Reply) -> None:
        if reply.status in (503, 409):
            return
        before = self.replied.get(name)
        if reply.status == 404:
            if before is not None:
                raise InvariantViolationError(f"{name}: not found after {before}")
            return
        if reply.status not in (200, 201):
            raise InvariantViolationError(f"{name}: unexpected reply {reply}")
        status = reply.body["status"]
        if status == "open":
            if before is not None:
                raise InvariantViolationError(f"{name}: open after {before}")
            return
        if before not in (None, "accepted") and status != before:
            raise InvariantViolationError(f"{name}: {status} after {before}")
        if status == "aborted" and not any(n.startswith(name) for n in self.cancelled):
            raise InvariantViolationError(f"{name} aborted without a cancellation")
        self.replied[name] = status

    def _check_job_reply(self, name: str, index: int, reply: Reply) -> None:
        job = self.models[name].job(index)
        before = self.replied.get(job)
        if reply.status == 503:
            return
        if reply.status == 404:
            if before is not None or self.replied.get(name) == "accepted":
                raise InvariantViolationError(
                    f"{job}: not found after it had a status or its graph was accepted"
                )
            return
        status = reply.body["status"]
        if before in ("done", "aborted") and status != before:
            raise InvariantViolationError(f"{job}: {status} after {before}")
        if self.replied.get(name) == "aborted" and status not in ("done", "aborted"):
            raise InvariantViolationError(f"{job}: {status} after its graph was cancelled")
        if status == "done" and self.store.completed.get(job, set()) != set(
            range(self.models[name].tasks(index))
        ):
            raise InvariantViolationError(f"{job} reported as done before all its tasks")
        if status == "aborted":
            self._check_aborted(name, index)
        self.replied[job] = status

    def _check_aborted(self, name: str, index: int) -> None:
        """Check that an aborted node was cancelled, failed or skipped."""
        model = self.models[name]
        end_entry = self.store.keys.get(f"over/{name}")
        if end_entry is not None and end_entry[0]["status"] != "done":
            return
        outcome = model.outcome(self.store.keys, index)
        if outcome not in ("failed", "skipped", "cancelled"):
            raise InvariantViolationError(
                f"{model.job(index)} reported as aborted, expected {outcome}"
            )
        if outcome == "cancelled" and model.job(index) not in self.cancelled:
            raise InvariantViolationError(f"{model.job(index)} cancelled without a request")

    # -- the end --------------------------------------------------------------------------------

    async def finish(self) -> None:
        """Stop the faults and check that every accepted graph ends."""
        while self.store.late:
            await self.execute_late_transaction()
        self.store.reliable = True
        await self.fail_over()
        for _ in range(120):
            if self.driver is None:
                await self.fail_over()
            assert self.driver is not None
            self.driver.process_events(self.store.epoch)
            await self._act(self.driver, failure_probability=0.0, idle_probability=0.0)
        records_left = [k for k in self.store.keys if k.startswith(("job/", "run/"))]
        drafts = {f"job/{n}" for n in _NAMES if n not in self.replied}
        if set(records_left) - drafts:
            raise InvariantViolationError(f"records left at the end: {records_left}")
        for name, model in self.models.items():
            end_entry = self.store.keys.get(f"over/{name}")
            if self.replied.get(name) is not None and end_entry is None:
                raise InvariantViolationError(f"{name} has not ended")
            admission, graphs = self._node()
            self._check_graph_reply(name, await graphs.show(name))
            if end_entry is None or not end_entry[0].get("nodes"):
                continue
            for index in range(len(model.nodes)):
                reply = await admission.status(model.job(index))
                if reply.body.get("status") not in ("done", "aborted"):
                    raise InvariantViolationError(f"{model.job(index)} has not ended: {reply.body}")
                self._check_job_reply(name, index, reply)
                outcome = model.outcome(self.store.keys, index)
                # A node that would have been skipped may still be cancelled by its user.
                if (
                    end_entry[0]["status"] == "done"
                    and outcome not in ("done", "skipped")
                    and model.job(index) not in self.cancelled
                ):
                    raise InvariantViolationError(
                        f"{model.job(index)} did not run although its graph is done"
                    )


@pytest.fixture(autouse=True)
def _no_back_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tealrill.state.write_batcher._BACK_OFF_S", 0.0)


@given(st.integers(0, 2**32))
@hypothesis_settings(max_examples=250, deadline=None)
def _check(seed: int) -> None:
    asyncio.run(GraphSimulation(seed).run(45))


def test_random_runs_match_the_reference_model() -> None:
    _check()


def _unguarded_releases(patch: pytest.MonkeyPatch) -> None:
    def joined(guards: dict[str, Revision], *rest: Any) -> Any:
        return JoinedWrite({k: v for k, v in guards.items() if "-" in k}, *rest)

    patch.setattr(graphs_leader_extension, "JoinedWrite", joined)


def _remove_guard(patch: pytest.MonkeyPatch, method: str, guard: Callable[[Any], str]) -> None:
    original = getattr(TransactionBatch, method)

    def add(self: TransactionBatch, item: Any, *rest: Any) -> bool:
        before = set(self.guards)
        added = bool(original(self, item, *rest))
        if guard(item) not in before:
            self.guards.pop(guard(item), None)
        return added

    patch.setattr(TransactionBatch, method, add)


def _unguarded_ends(patch: pytest.MonkeyPatch) -> None:
    _remove_guard(patch, "add_end", lambda job: job.owner.key if job.owner else "")


def _unguarded_bindings(patch: pytest.MonkeyPatch) -> None:
    _remove_guard(patch, "add_chunk", lambda chunk: chunk.job.owner.key if chunk.job.owner else "")


def _uncommitted_completions(patch: pytest.MonkeyPatch) -> None:
    """Unblock dependents' tasks before the completions that they wait for are committed."""

    def report_completions(self: JobStore, job: Any, now: Monotonic) -> list[int]:
        job.reports_completions = True
        return [index for index, done in enumerate(job.done) if done]

    original = JobStore.complete

    def complete(self: JobStore, job: Any, index: int, now: Monotonic) -> bool:
        first = original(self, job, index, now)
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


def _orphans_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(GraphLeaderExtension, "_add_orphan", lambda self, job: None)


def _unguarded_parts(patch: pytest.MonkeyPatch) -> None:
    """Commit parts and seals without the guard on the graph's record."""
    original = GraphAdmission._commit

    async def commit(self: GraphAdmission, guards: list[Any], changes: list[Any]) -> Any:
        heads = {f"job/{name}" for name in _NAMES}
        return await original(self, [g for g in guards if g["path"] not in heads], changes)

    patch.setattr(GraphAdmission, "_commit", commit)


def _notices_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        GraphLeaderExtension, "_on_notice_changed", lambda self, name, value, version: None
    )


def _stuck_nodes_ignored(patch: pytest.MonkeyPatch) -> None:
    """Wait for released nodes with tasks that can't be unblocked any more."""
    original = Progress.record_end

    def record_end(self: Progress, index: int, state: int) -> list[int]:
        unblocked = original(self, index, state)
        self.stuck.clear()
        return unblocked

    patch.setattr(Progress, "record_end", record_end)


# Losing a node's end at a failover is not among these: the node's record under `over/` makes its
# release fail, and the leader then applies the outcome in that record.
_MUTATIONS = (
    _unguarded_releases, _unguarded_ends, _unguarded_bindings, _uncommitted_completions,
    _orphans_ignored, _unguarded_parts, _notices_ignored, _stuck_nodes_ignored,
)  # fmt: skip


@pytest.mark.parametrize("mutation", _MUTATIONS)
def test_removing_a_safety_rule_causes_a_violation(
    mutation: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    with pytest.raises((InvariantViolationError, AssertionError)):
        for seed in range(1500):
            asyncio.run(GraphSimulation(seed).run(45))
