"""The leader's part of task graphs: release nodes, track their ends, end graphs, delete leftovers.

Invariants that the leader works towards: a node whose dependencies are satisfied is an ordinary
job; a graph whose nodes have all ended has ended; the jobs of an ended graph are stopped. The
leader learns of changes from the watch on `job/` and from the write batcher's transactions, and
reads a graph's parts and the ends of its nodes once, when it loads the graph.

Every write that releases a node, binds its tasks, records its end or ends the graph is guarded by
the leader's key and by the graph's record (`Owner`), which does not change between acceptance and
end. So nothing is released, bound or recorded as done once a user may have been told that the graph
is cancelled. When a guard fails, the records that it names are read, and the leader applies what
they say.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate, islice
from typing import Any, Final

import msgspec

from tealrill import wire
from tealrill.extensions import LeadershipContext
from tealrill.features import GraphFeatures
from tealrill.graphs import records
from tealrill.graphs.model import (
    InvalidGraphError,
    Node,
    Shape,
    node_id,
    node_spec,
    parse_node_id,
    resolve,
)
from tealrill.graphs.records import GraphRecord, GraphRecordError, PackedPart
from tealrill.graphs.tracker import (
    CANCELLED,
    FAILED,
    RELEASED,
    Progress,
    outcome_state,
)
from tealrill.scheduler.model import JobView
from tealrill.state.bindings import Job, Owner
from tealrill.state.client import StateError
from tealrill.state.records import (
    JOB_PREFIX,
    OUTCOME_CANCELLED,
    OUTCOME_DONE,
    OUTCOME_SKIPPED,
    ended_key,
    job_key,
)
from tealrill.state.transaction_batch import JoinedWrite
from tealrill.types import ABSENT, JobId, Monotonic, Revision, monotonic_now, parse_job_id, wall_now

log = logging.getLogger(__name__)

_MAX_BACKLOG: Final = 256
"""Most nodes of a graph that are released and still have tasks in the queue. A longer queue would
start no task earlier, but each scheduling pass examines all of it."""
_MAX_IN_FLIGHT: Final = 32
"""Most releases of a graph that wait for their transaction; the other ready nodes stay ordered by
the path behind them. Also the most orphaned jobs ended, and fragments deleted, at a time."""
_MIN_PASS_INTERVAL_S: Final = 0.1
_BACKLOG_POLL_S: Final = 0.5
_RETRY_S: Final = 1.0
_EXPIRY_POLL_S: Final = 30.0
_MAX_CACHED_PARTS: Final = 8
"""Unpacked parts that are cached for the next releases."""
_MAX_UPCOMING_NODES: Final = 128
"""Most gated nodes of a graph whose demand is reported before they are released."""
_MAX_CACHED_VIEWS: Final = 64
"""Most distinct job views that are cached for such nodes."""


@dataclass(eq=False)
class LoadedGraph:
    """An accepted graph that has not ended, with the progress known to its leader."""

    name: str
    record: GraphRecord
    owner: Owner
    parts: list[PackedPart]
    progress: Progress
    part_starts: list[int] = field(default_factory=list)
    """Index of each part's first node."""
    jobs: dict[int, Job] = field(default_factory=dict)
    """Jobs of the released nodes that have not ended."""
    in_flight: int = 0
    """Releases that wait for their transaction."""
    ending: bool = False
    """The transaction that ends the graph is in flight."""
    stopped_by: str = ""
    """Key of the failed node because of which the whole graph is to be stopped."""
    unpacked: OrderedDict[int, list[Node]] = field(default_factory=OrderedDict)
    views_by_node: dict[int, JobView] = field(default_factory=dict)
    views_by_requirements: dict[bytes, JobView] = field(default_factory=dict)

    def node(self, index: int) -> Node:
        """Return a node as its user submitted it; raise `GraphRecordError`."""
        part = bisect_right(self.part_starts, index) - 1
        nodes = self.unpacked.get(part)
        if nodes is None:
            nodes = self.unpacked[part] = records.unpack_part(self.parts[part])
            while len(self.unpacked) > _MAX_CACHED_PARTS:
                self.unpacked.popitem(last=False)
        self.unpacked.move_to_end(part)
        return nodes[index - self.part_starts[part]]

    def spec(self, index: int) -> wire.JobSpec:
        """Return the job specification of a node."""
        return node_spec(self.name, index, self.record.defaults, self.node(index))

    def due_s(self, index: int, spec: wire.JobSpec, now: float) -> float | None:
        """Return the seconds until the node is due; None if it has no deadline.

        This is the earlier of its own deadline and the graph's deadline less the estimated time of
        the longest path behind the node.
        """
        due = [] if spec.deadline_s is None else [spec.deadline_s]
        if self.record.due_s is not None:
            left_s = self.record.at + self.record.due_s - self.progress.tail_s[index] - now
            due.append(max(0.0, left_s))
        return min(due, default=None)

    def backlog(self) -> int:
        """Return how many nodes are being released or are released with unstarted tasks."""
        return self.in_flight + sum(job.waiting > 0 for job in self.jobs.values())


def _build_shape(record: GraphRecord, parts: Sequence[PackedPart]) -> Shape:
    shape = resolve(record.defaults, record.retries, (records.unpack_part(part) for part in parts))
    # The keys would take half of the memory per node, and are needed for error messages only.
    shape.keys.clear()
    return shape


class GraphLeaderExtension:
    """All graphs during one term."""

    def __init__(self, term: LeadershipContext, features: GraphFeatures) -> None:
        self._term = term
        self._features = features
        self._wake = asyncio.Event()
        self._accepted: dict[str, tuple[GraphRecord, Owner]] = {}
        """Accepted graphs that have not ended."""
        self._drafts: dict[str, tuple[GraphRecord, Revision]] = {}
        """Graphs that are open or expired."""
        self._expiring: set[str] = set()
        """Drafts with a write in flight that expires them or deletes their records."""
        self._loaded: dict[str, LoadedGraph] = {}
        """The accepted graphs whose records have been read."""
        self._pending_ends: dict[str, list[tuple[int, int]]] = {}
        """Ends of nodes that were reported while their graph was not loaded."""
        self._orphans: dict[JobId, tuple[Revision, wire.JobSpec]] = {}
        """Jobs that still have a record although their graph has ended."""
        self._ending_orphans: set[JobId] = set()
        """Orphans with a write in flight that ends them."""
        self._notices: dict[str, Revision] = {}
        """Revisions of the cancellation notices (`records.cancelled_node_key`), by graph."""
        self._unreadable: dict[str, Owner] = {}
        """Graphs whose records this version can't read: no node of them is released, and their jobs
        are blocked when they are claimed."""

    # -- changes of records ---------------------------------------------------------------------

    def load_records(self, entries: Sequence[wire.Entry]) -> None:
        """Load all records under `job/` that are not jobs."""
        present = {entry.key: entry for entry in entries}
        # Ends of nodes that the watch missed are read when the graph is loaded again.
        self._loaded.clear()
        self._notices.clear()
        for name in [*self._accepted, *self._drafts, *self._unreadable]:
            if records.graph_key(name) not in present:
                self.on_record_changed(records.graph_key(name), None, ABSENT)
        for entry in entries:
            self.on_record_changed(entry.key, entry.value, Revision(entry.version))
        self._wake.set()

    def on_record_changed(self, key: str, value: Any, version: Revision) -> None:
        """Process a change of such a record; `value` is None if it was deleted."""
        notice_graph = records.parse_cancelled_node_key(key)
        if notice_graph is not None:
            self._on_notice_changed(notice_graph, value, version)
        elif value is None:
            self._drop_graph(key.removeprefix(JOB_PREFIX), "record deleted")
        else:
            self._on_graph_changed(key.removeprefix(JOB_PREFIX), value, version)
        self._wake.set()

    def _on_notice_changed(self, name: str, value: Any, version: Revision) -> None:
        if value is None:
            self._notices.pop(name, None)
            return
        self._notices[name] = version
        index = value.get("cancelled") if isinstance(value, dict) else None
        if isinstance(index, int):
            self._record_end(name, index, CANCELLED)

    def _on_graph_changed(self, name: str, value: Any, version: Revision) -> None:
        if name in self._accepted and self._accepted[name][1].mod_revision == version:
            return
        try:
            record = records.read_graph(value)
        except GraphRecordError as error:
            self._hold_unreadable(name, version, error)
            return
        if record.status == records.ACCEPTED:
            self._drafts.pop(name, None)
            self._accepted[name] = (record, Owner(records.graph_key(name), version, name))
            self._loaded.pop(name, None)
        else:
            self._drafts[name] = (record, version)

    def _hold_unreadable(self, name: str, version: Revision, error: Exception) -> None:
        """Hold a graph that can't be read.

        Raising the error would end the term and interrupt the service for all jobs.
        """
        log.error("graph held, its records can't be read: graph=%s error=%s", name, error)
        known = self._accepted.pop(name, None)
        self._loaded.pop(name, None)
        self._pending_ends.pop(name, None)
        owner = known[1] if known is not None else None
        self._unreadable[name] = owner or Owner(records.graph_key(name), version, name)

    def claim_job(self, job: Job, value: dict[str, Any]) -> bool:
        """Take charge of a job that belongs to a graph; False if it belongs to none."""
        name, node = value["owner"], parse_node_id(job.id)
        if node is None or node[0] != name:
            return False
        if name in self._unreadable:
            job.owner = self._unreadable[name]
            self._term.job_store.hold(job)
            return True
        known = self._accepted.get(name)
        if known is None:
            # The graph has ended: the job's record is to be moved to `over/` as well.
            job.cancelled = True
            job.outcome = OUTCOME_CANCELLED
            self._add_orphan(job)
            return True
        job.owner = known[1]
        try:
            node_fields = records.read_node_job(value)
        except GraphRecordError as error:
            log.error("node held, its record can't be read: job=%s error=%s", job.id, error)
            self._term.job_store.hold(job)
            return True
        job.max_task_errors = node_fields.retries
        job.due_s = node_fields.due_s
        job.tail_s = node_fields.tail_s
        if node_fields.each:
            self._term.job_store.block_tasks(job)
        graph = self._loaded.get(name)
        if graph is not None:
            self._attach_job(graph, node[1], job)
        return True

    def on_job_ended(self, job: Job) -> None:
        """Record the end of the node whose job has ended."""
        node = parse_node_id(job.id)
        if job.owner is None or node is None:
            return
        self._record_end(job.owner.name, node[1], outcome_state(job.outcome))

    def on_cancelled(self, name: str) -> None:
        """Stop a graph whose cancellation another member has acknowledged."""
        if name in self._accepted or name in self._unreadable:
            self._drop_graph(name, "cancellation acknowledged by another member")

    def on_tasks_done(self, job: Job, tasks: list[int]) -> None:
        """Unblock the tasks that wait for single tasks of a node, now committed as done."""
        node = parse_node_id(job.id)
        graph = self._loaded.get(job.owner.name) if job.owner is not None else None
        if graph is None or node is None:
            return
        self._unblock_tasks(graph, graph.progress.record_tasks_done(node[1], tasks))
        self._wake.set()

    def on_owner_changed(self, owner: Owner) -> None:
        """Stop a graph whose record has changed or is deleted, as a failed guard has shown."""
        known = self._accepted.get(owner.name)
        if owner in (known[1] if known is not None else None, self._unreadable.get(owner.name)):
            self._drop_graph(owner.name, "record changed")

    # -- nodes ----------------------------------------------------------------------------------

    def _attach_job(self, graph: LoadedGraph, index: int, job: Job) -> None:
        """Attach the job in the job store to its node."""
        progress = graph.progress
        progress.mark_released(index)
        graph.views_by_node.pop(index, None)
        if progress.state[index] != RELEASED:
            # While its release was in flight, a dependency ended so that the node is skipped.
            self._term.job_store.abort_job(job, OUTCOME_SKIPPED)
        graph.jobs[index] = job
        if progress.has_task_dependents(index):
            done = self._term.job_store.report_completions(job, monotonic_now())
            self._unblock_tasks(graph, progress.record_tasks_done(index, done))
        if job.unblocked is not None:
            self._unblock_runnable_tasks(graph, index, job)

    def _unblock_runnable_tasks(self, graph: LoadedGraph, index: int, job: Job) -> None:
        """Unblock all tasks of a node whose dependencies are done."""
        for task in graph.progress.unblocked_tasks(index):
            self._term.job_store.unblock_task(job, task)

    def _unblock_tasks(self, graph: LoadedGraph, unblocked_tasks: list[tuple[int, int]]) -> None:
        for dependent, task in unblocked_tasks:
            if dependent in graph.jobs:
                self._term.job_store.unblock_task(graph.jobs[dependent], task)

    def _record_end(self, name: str, index: int, state: int) -> None:
        graph = self._loaded.get(name)
        if graph is None:
            if name in self._accepted:
                self._pending_ends.setdefault(name, []).append((index, state))
            return
        if not 0 <= index < graph.progress.shape.nodes:
            return
        graph.jobs.pop(index, None)
        graph.views_by_node.pop(index, None)
        for dependent in graph.progress.record_end(index, state):
            job = graph.jobs.get(dependent)
            if job is not None:
                self._unblock_runnable_tasks(graph, dependent, job)
        if state == FAILED and graph.record.on_failure == "stop" and not graph.stopped_by:
            graph.stopped_by = graph.node(index).key
        for stuck in graph.progress.stuck:
            if stuck in graph.jobs:
                self._term.job_store.abort_job(graph.jobs[stuck], OUTCOME_SKIPPED)
        graph.progress.stuck.clear()
        self._wake.set()

    def _add_orphan(self, job: Job) -> None:
        self._orphans[job.id] = (job.mod_revision, job.spec)
        self._wake.set()

    def _drop_graph(self, name: str, why: str) -> None:
        """Drop a graph whose record is deleted or changed, and stop its jobs."""
        self._drafts.pop(name, None)
        unreadable_owner = self._unreadable.pop(name, None)
        self._pending_ends.pop(name, None)
        known = self._accepted.pop(name, None)
        self._loaded.pop(name, None)
        owner = known[1] if known is not None else unreadable_owner
        if owner is None:
            return
        jobs = [job for job in self._term.job_store.jobs.values() if job.owner is owner]
        if jobs:
            log.info(
                "graph ended, its jobs are stopped: graph=%s reason=%s jobs=%d",
                name,
                why,
                len(jobs),
            )
        for job in jobs:
            if not job.cancelled:
                job.outcome = OUTCOME_CANCELLED
                self._add_orphan(job)
                self._term.stop_job(job)

    # -- the loop -------------------------------------------------------------------------------

    async def run(self) -> None:
        """Load graphs, release and end nodes and delete leftovers until the term ends."""
        while True:
            self._wake.clear()
            pause_s: float | None = None
            try:
                for name in [n for n in self._accepted if n not in self._loaded]:
                    await self._load(name)
                for name in [
                    n for n, (h, _) in self._drafts.items() if h.status == records.EXPIRED
                ]:
                    await self._delete_expired(name)
            except StateError as error:
                log.debug("reading graphs failed: error=%s", error)
                pause_s = _RETRY_S
            if self._term.may_act():
                self._enqueue_writes()
            if pause_s is None:
                pause_s = self._pause_s()
            await asyncio.sleep(_MIN_PASS_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()

    def _pause_s(self) -> float | None:
        """Return the seconds until the next pass unless the loop is woken; None: no limit."""
        if any(graph.progress.has_ready for graph in self._loaded.values()):
            return _BACKLOG_POLL_S
        return _EXPIRY_POLL_S if self._drafts else None

    def _enqueue_writes(self) -> None:
        for graph in list(self._loaded.values()):
            if graph.stopped_by and not graph.ending:
                self._enqueue_end(graph, "failed", f"node {graph.stopped_by!r} failed", None)
            elif not graph.ending:
                try:
                    self._release(graph)
                except (GraphRecordError, wire.MalformedMessageError) as error:
                    self._hold_unreadable(graph.name, graph.owner.mod_revision, error)
                    continue
                if graph.progress.all_ended and not graph.jobs and not graph.in_flight:
                    counts = graph.progress.counts_by_state()
                    self._enqueue_end(graph, _final_status(counts), "", counts)
        for job_id in islice(
            (j for j in self._orphans if j not in self._ending_orphans), _MAX_IN_FLIGHT
        ):
            if len(self._ending_orphans) >= _MAX_IN_FLIGHT:
                break
            self._enqueue_orphan_end(job_id)
        self._expire_drafts()
        for name, version in list(self._notices.items()):
            if name not in self._accepted:
                self._enqueue_notice_deletion(name, version)

    # -- releases -------------------------------------------------------------------------------

    def _release(self, graph: LoadedGraph) -> None:
        if not graph.progress.has_ready:
            return
        max_releases = min(_MAX_IN_FLIGHT - graph.in_flight, _MAX_BACKLOG - graph.backlog())
        for _ in range(max_releases):
            index = graph.progress.next_ready()
            if index is None:
                return
            self._enqueue_release(graph, index)

    def _enqueue_release(self, graph: LoadedGraph, index: int) -> None:
        now = wall_now()
        spec = graph.spec(index)
        job = JobId(spec.id)
        each = [
            node_id(graph.name, dependency)
            for dependency in graph.progress.task_dependencies(index)
        ]
        node_fields = records.NodeJob(
            owner=graph.name,
            each=each,
            retries=graph.progress.shape.retries[index],
            due_s=graph.due_s(index, spec, now),
            tail_s=round(graph.progress.tail_s[index], 1),
        )
        value = {"spec": wire.to_builtins(spec), "at": now, **msgspec.to_builtins(node_fields)}

        def on_committed(_: Revision) -> None:
            graph.in_flight -= 1
            graph.progress.mark_released(index)
            self._wake.set()

        def on_guards_failed(current: dict[str, wire.KeyValue | None]) -> None:
            graph.in_flight -= 1
            ended_entry = current.get(ended_key(job))
            if ended_entry is not None:
                # The node was cancelled while gated, or a transaction whose outcome was unknown
                # released it, and it has ended since.
                self._record_end(graph.name, index, _end_state(ended_entry.value))
            elif current.get(job_key(job)) is not None:
                graph.progress.mark_released(index)
            else:
                graph.progress.requeue(index)
            self._wake.set()

        graph.in_flight += 1
        self._term.write_batcher.join(
            JoinedWrite(
                {
                    graph.owner.key: graph.owner.mod_revision,
                    job_key(job): ABSENT,
                    ended_key(job): ABSENT,
                },
                [wire.put(job_key(job), value)],
                on_committed,
                on_guards_failed,
            )
        )

    # -- ends -----------------------------------------------------------------------------------

    def _enqueue_end(
        self, graph: LoadedGraph, status: Any, why: str, counts: dict[str, int] | None
    ) -> None:
        end_value = records.graph_end_value(graph.record, status, wall_now(), why, counts)
        key = records.graph_end_key(graph.name)

        def on_committed(_: Revision) -> None:
            log.info("graph ended: graph=%s status=%s reason=%s", graph.name, status, why)
            self._drop_graph(graph.name, f"status {status}")
            self._wake.set()

        def on_guards_failed(current: dict[str, wire.KeyValue | None]) -> None:
            graph.ending = False
            if key in current and current[key] is not None:
                self._drop_graph(graph.name, "ended by another member")
            self._wake.set()

        graph.ending = True
        self._term.write_batcher.join(
            JoinedWrite(
                {graph.owner.key: graph.owner.mod_revision, key: ABSENT},
                [wire.delete(graph.owner.key), wire.put(key, end_value)],
                on_committed,
                on_guards_failed,
            )
        )

    def _enqueue_orphan_end(self, job: JobId) -> None:
        """Move the record of a job whose graph has ended from `job/` to `over/`, as cancelled."""
        mod_revision, spec = self._orphans[job]
        value = {
            "status": wire.JOB_CANCELLED,
            "outcome": OUTCOME_CANCELLED,
            "spec": wire.to_builtins(spec),
        }

        def on_committed(_: Revision) -> None:
            self._ending_orphans.discard(job)
            self._orphans.pop(job, None)
            self._wake.set()

        def on_guards_failed(_: dict[str, wire.KeyValue | None]) -> None:
            # Its record is deleted already: it was cancelled by itself, or done before its graph
            # ended.
            on_committed(ABSENT)

        self._ending_orphans.add(job)
        self._term.write_batcher.join(
            JoinedWrite(
                {job_key(job): mod_revision, ended_key(job): ABSENT},
                [wire.delete(job_key(job)), wire.put(ended_key(job), value)],
                on_committed,
                on_guards_failed,
            )
        )

    def _enqueue_notice_deletion(self, name: str, version: Revision) -> None:
        key = records.cancelled_node_key(name)
        del self._notices[name]
        # A notice that is written in the meantime arrives by the watch and is deleted later.
        deletion = JoinedWrite({key: version}, [wire.delete(key)], lambda _: None, lambda _: None)
        self._term.write_batcher.join(deletion)

    # -- graphs that are not sealed in time -----------------------------------------------------

    def _expire_drafts(self) -> None:
        now = wall_now()
        for name, (record, version) in self._drafts.items():
            late = record.status == records.OPEN and now - record.at > self._features.open_s
            if late and name not in self._expiring:
                self._enqueue_expiry(name, record, version)

    def _enqueue_expiry(self, name: str, record: GraphRecord, version: Revision) -> None:
        """Mark an open graph as expired, so that no part is added while its parts are deleted."""
        log.info(
            "graph expired, not sealed in time: graph=%s limit_s=%.0f", name, self._features.open_s
        )
        expired = msgspec.structs.replace(record, status="expired")
        key = records.graph_key(name)

        def done(_: object) -> None:
            self._expiring.discard(name)

        self._expiring.add(name)
        changes = [wire.put(key, msgspec.to_builtins(expired))]
        self._term.write_batcher.join(JoinedWrite({key: version}, changes, done, done))

    async def _delete_expired(self, name: str) -> None:
        """Delete the parts of an expired graph, a few at a time, then its record."""
        if name in self._expiring or name not in self._drafts:
            return
        _, version = self._drafts[name]
        entries, _ = await self._term.client.scan(records.parts_prefix(name))
        remaining = {entry.key: Revision(entry.version) for entry in entries[:_MAX_IN_FLIGHT]}
        if not remaining:
            remaining = {records.graph_key(name): version}
        self._expiring.add(name)
        for key, mod_revision in list(remaining.items()):

            def done(_: object, key: str = key) -> None:
                remaining.pop(key)
                if not remaining:
                    self._expiring.discard(name)
                    self._wake.set()

            # One write per part: a write of many changes needs as many tokens of the rate limiter
            # at once, and its bucket may never hold that many.
            self._term.write_batcher.join(
                JoinedWrite({key: mod_revision}, [wire.delete(key)], done, done)
            )

    # -- loading a graph ------------------------------------------------------------------------

    async def _load(self, name: str) -> None:
        """Read a graph's parts and the ends of its nodes.

        Released nodes that have not ended are in the job store already.
        """
        known = self._accepted.get(name)
        if known is None:
            # Cancelled while another graph was being read. A KeyError here would end the term.
            return
        record, owner = known
        self._pending_ends[name] = []
        entries, _ = await self._term.client.scan(records.parts_prefix(name))
        ended, _ = await self._term.client.scan(records.graph_end_key(name) + "-")
        try:
            parts_by_number = records.assemble_parts(entries)
            parts = [parts_by_number[number] for number in range(record.parts)]
            # In a thread: a large graph takes a second on a fraction of a core, which would block
            # the event loop.
            shape = await asyncio.to_thread(_build_shape, record, parts)
        except (GraphRecordError, InvalidGraphError, KeyError) as error:
            # The graph was read completely before it was accepted, so reading it again won't help.
            self._hold_unreadable(name, owner.mod_revision, error)
            return
        if self._accepted.get(name) is not known:
            return
        graph = LoadedGraph(name, record, owner, parts, Progress(shape))
        graph.part_starts = [0, *accumulate(part.nodes for part in parts[:-1])]
        self._loaded[name] = graph
        for job in [j for j in self._term.job_store.jobs.values() if j.owner is owner]:
            node = parse_node_id(job.id)
            if node is not None and not job.cancelled:
                self._attach_job(graph, node[1], job)
        for index, state in (*_parse_ends(ended), *self._pending_ends.pop(name, [])):
            self._record_end(name, index, state)
        graph.progress.evaluate_all()
        log.info(
            "graph loaded: graph=%s nodes=%d edges=%d states=%s",
            name,
            record.nodes,
            record.edges,
            graph.progress.counts_by_state(),
        )

    # -- queries --------------------------------------------------------------------------------

    def upcoming_tasks(self, now: Monotonic, within_s: float) -> Iterator[tuple[JobView, int]]:
        """Yield the demand of gated nodes that are expected to be ready within `within_s` seconds.

        Only nodes are considered whose dependencies are all released. Nodes with the same
        requirements share one view: one view per node behind a wide layer made a pass cost more
        than twice as much.
        """
        for graph in self._loaded.values():
            task_counts: dict[JobView, int] = {}
            left_s: dict[int, float] = {}
            for index in list(islice(graph.progress.nearly_ready, _MAX_UPCOMING_NODES)):
                if self._time_until_ready_s(graph, index, left_s, now) <= within_s:
                    view = self._view_of(graph, index)
                    task_counts[view] = task_counts.get(view, 0) + graph.progress.shape.tasks[index]
            yield from task_counts.items()

    def _time_until_ready_s(
        self, graph: LoadedGraph, index: int, left_s: dict[int, float], now: Monotonic
    ) -> float:
        """Return the expected seconds until all dependencies of a node have ended.

        `left_s` caches the time of each dependency.
        """
        longest = 0.0
        for dependency, _ in graph.progress.shape.dependencies(index):
            if dependency not in left_s:
                job = graph.jobs.get(dependency)
                left_s[dependency] = 0.0 if job is None else self._term.remaining_s(job, now)
            longest = max(longest, left_s[dependency])
        return longest

    def _view_of(self, graph: LoadedGraph, index: int) -> JobView:
        """Return the planner's view of a node; nodes with the same requirements share one."""
        view = graph.views_by_node.get(index)
        if view is None:
            spec = graph.spec(index)
            requirements = msgspec.structs.replace(spec, id=graph.name, tasks=1)
            encoded_requirements = wire.encode(requirements)
            view = graph.views_by_requirements.get(encoded_requirements)
            if view is None:
                if len(graph.views_by_requirements) >= _MAX_CACHED_VIEWS:
                    graph.views_by_requirements.clear()
                view = graph.views_by_requirements[encoded_requirements] = self._term.job_view(
                    requirements, 1
                )
            graph.views_by_node[index] = view
        return view

    def counts(self, name: str) -> dict[str, int] | None:
        """Return the number of a graph's nodes by state; None if the graph is not loaded."""
        graph = self._loaded.get(name)
        return None if graph is None else graph.progress.counts_by_state()

    def describe(self) -> dict[str, Any]:
        """Return the counts of nodes and of unsealed graphs, for operators."""
        return {
            "graphs": {
                name: graph.progress.counts_by_state() for name, graph in self._loaded.items()
            },
            "open": len(self._drafts),
        }


def _parse_ends(entries: Sequence[wire.Entry]) -> Iterator[tuple[int, int]]:
    for entry in entries:
        job = parse_job_id(entry.key.rpartition("/")[2])
        node = parse_node_id(job) if job is not None else None
        if node is not None:
            yield node[1], _end_state(entry.value)


def _end_state(node_end: dict[str, Any]) -> int:
    return outcome_state(records.node_outcome(node_end))


def _final_status(counts: dict[str, int]) -> str:
    if counts["failed"]:
        return "failed"
    return "aborted" if counts["cancelled"] else OUTCOME_DONE
