"""The leader's part in graphs: releases nodes, hears how they end, ends graphs, clears up.

Wanted: every node whose wait is over is an ordinary job, every graph whose nodes are over is over,
every job whose graph is over is stopped. What is known comes from the watch on `job/`, from the
keeper's transactions and, once a graph, from its parts and its nodes' ends. Every write is guarded
by the leader's key and by the head of its graph (`Owner`), which nobody changes between acceptance
and end: so nothing is released, bound or done once somebody may have been told that the graph is
cancelled. What a guard refuses is read back and taken for what it is.
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
from tealrill.graphs.records import GraphRecord, GraphRecordError, Packed
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

_BACKLOG: Final = 256
"""Released nodes of a graph that still have tasks in the queue. More would change no start, while
every pass looks at all that is in the queue."""
_IN_FLIGHT: Final = 32
"""Releases of a graph that wait for their transaction; the rest stays in the order of its paths."""
_GAP_S: Final = 0.1
_BACKLOG_EVERY_S: Final = 0.5
_RETRY_S: Final = 1.0
_EXPIRY_EVERY_S: Final = 30.0
_PARTS_KEPT: Final = 8
"""Unpacked parts that are kept for the next releases."""
_NEAR: Final = 128
"""Nodes about to be released for which machines are wished for ahead."""
_KINDS: Final = 64
"""Different needs of such nodes that are remembered."""


@dataclass(eq=False)
class LoadedGraph:
    """An accepted graph that is not over, as its leader knows it."""

    name: str
    record: GraphRecord
    owner: Owner
    parts: list[Packed]
    progress: Progress
    part_starts: list[int] = field(default_factory=list)
    """The number of each part's first node."""
    jobs: dict[int, Job] = field(default_factory=dict)
    """Released nodes that are not over."""
    in_flight: int = 0
    ending: bool = False
    stopped_by: str = ""
    """The failed node for which all of it is to be stopped."""
    unpacked: OrderedDict[int, list[Node]] = field(default_factory=OrderedDict)
    views: dict[int, JobView] = field(default_factory=dict)
    kinds: dict[bytes, JobView] = field(default_factory=dict)

    def node(self, index: int) -> Node:
        """Return a node as its user wrote it."""
        part = bisect_right(self.part_starts, index) - 1
        nodes = self.unpacked.get(part)
        if nodes is None:
            nodes = self.unpacked[part] = records.unpack_part(self.parts[part])
            while len(self.unpacked) > _PARTS_KEPT:
                self.unpacked.popitem(last=False)
        self.unpacked.move_to_end(part)
        return nodes[index - self.part_starts[part]]

    def spec(self, index: int) -> wire.JobSpec:
        """Return a node as the job that it is."""
        return node_spec(self.name, index, self.record.defaults, self.node(index))

    def due_s(self, index: int, spec: wire.JobSpec, now: float) -> float | None:
        """Return the seconds until the node is due.

        Its own deadline counts, or what the graph's leaves before the path behind the node.
        """
        due = [] if spec.deadline_s is None else [spec.deadline_s]
        if self.record.due_s is not None:
            left_s = self.record.at + self.record.due_s - self.progress.tail_s[index] - now
            due.append(max(0.0, left_s))
        return min(due, default=None)

    def backlog(self) -> int:
        """Return how many of its jobs are released and not yet started."""
        return self.in_flight + sum(job.waiting > 0 for job in self.jobs.values())


def _build_shape(head: GraphRecord, parts: Sequence[Packed]) -> Shape:
    shape = resolve(head.defaults, head.retries, (records.unpack_part(part) for part in parts))
    # Half of what a node would take here; a key is needed for a message at most.
    shape.keys.clear()
    return shape


class GraphLeaderExtension:
    """All graphs, for one term."""

    def __init__(self, term: LeadershipContext, features: GraphFeatures) -> None:
        self._term = term
        self._features = features
        self._wake = asyncio.Event()
        self._accepted: dict[str, tuple[GraphRecord, Owner]] = {}
        """Accepted graphs that are not over."""
        self._drafts: dict[str, tuple[GraphRecord, Revision]] = {}
        """Graphs that are open or expired."""
        self._expiring: set[str] = set()
        self._loaded: dict[str, LoadedGraph] = {}
        self._heard: dict[str, list[tuple[int, int]]] = {}
        """Ends that were heard of while a graph was being read."""
        self._orphans: dict[JobId, tuple[Revision, wire.JobSpec]] = {}
        """Records of jobs whose graph is over."""
        self._ending_orphans: set[JobId] = set()
        self._words: dict[str, Revision] = {}
        self._aside: dict[str, Owner] = {}
        """Graphs that this program can't read: nothing more of them starts until one can."""

    # -- what is heard --------------------------------------------------------------------------

    def load_records(self, entries: Sequence[wire.Entry]) -> None:
        """Take all records under `job/` that are no jobs."""
        present = {entry.key: entry for entry in entries}
        # What was missed of the nodes' ends is read again with the graph.
        self._loaded.clear()
        self._words.clear()
        for name in [*self._accepted, *self._drafts, *self._aside]:
            if records.graph_key(name) not in present:
                self.on_record_changed(records.graph_key(name), None, ABSENT)
        for entry in entries:
            self.on_record_changed(entry.key, entry.value, Revision(entry.version))
        self._wake.set()

    def on_record_changed(self, key: str, value: Any, version: Revision) -> None:
        """Take one such record, None as its value if it was removed."""
        about = records.parse_cancelled_node_key(key)
        if about is not None:
            self._take_word(about, value, version)
        elif value is None:
            self._gone(key.removeprefix(JOB_PREFIX), "its record is gone")
        else:
            self._take_head(key.removeprefix(JOB_PREFIX), value, version)
        self._wake.set()

    def _take_word(self, name: str, value: Any, version: Revision) -> None:
        if value is None:
            self._words.pop(name, None)
            return
        self._words[name] = version
        index = value.get("cancelled") if isinstance(value, dict) else None
        if isinstance(index, int):
            self._settle(name, index, CANCELLED)

    def _take_head(self, name: str, value: Any, version: Revision) -> None:
        if name in self._accepted and self._accepted[name][1].mod_revision == version:
            return
        try:
            head = records.read_graph(value)
        except GraphRecordError as error:
            self._set_aside(name, version, error)
            return
        if head.status == records.ACCEPTED:
            self._drafts.pop(name, None)
            self._accepted[name] = (head, Owner(records.graph_key(name), version, name))
            self._loaded.pop(name, None)
        else:
            self._drafts[name] = (head, version)

    def _set_aside(self, name: str, version: Revision, error: Exception) -> None:
        """What can't be read must not end the term, and with it everybody's service."""
        log.error("graph %s can't be read, nothing more of it starts: %s", name, error)
        known = self._accepted.pop(name, None)
        self._loaded.pop(name, None)
        self._heard.pop(name, None)
        owner = known[1] if known is not None else None
        self._aside[name] = owner or Owner(records.graph_key(name), version, name)

    def claim_job(self, job: Job, value: dict[str, Any]) -> bool:
        """Take a job that a graph owns; False if no graph known here does."""
        name, node = value["owner"], parse_node_id(job.id)
        if node is None or node[0] != name:
            return False
        if name in self._aside:
            job.owner = self._aside[name]
            self._term.job_store.block_tasks(job)
            return True
        known = self._accepted.get(name)
        if known is None:
            # The graph ended before this: its record goes where its graph's went.
            job.cancelled = True
            job.outcome = OUTCOME_CANCELLED
            self._orphan(job)
            return True
        job.owner = known[1]
        try:
            kept = records.read_node_job(value)
        except GraphRecordError as error:
            log.error("record of node %s: %s", job.id, error)
            self._term.job_store.block_tasks(job)
            return True
        job.max_task_errors = kept.retries
        job.due_s = kept.due_s
        job.tail_s = kept.tail_s
        if kept.each:
            self._term.job_store.block_tasks(job)
        live = self._loaded.get(name)
        if live is not None:
            self._attach(live, node[1], job)
        return True

    def on_job_ended(self, job: Job) -> None:
        """Settle the node whose job has ended."""
        node = parse_node_id(job.id)
        if job.owner is None or node is None:
            return
        self._settle(job.owner.name, node[1], outcome_state(job.outcome))

    def on_cancelled(self, name: str) -> None:
        """Stop a graph that another member has called cancelled."""
        if name in self._accepted or name in self._aside:
            self._gone(name, "another node acknowledged its cancellation")

    def on_tasks_done(self, job: Job, tasks: list[int]) -> None:
        """Tasks of a followed node are written down as done."""
        node = parse_node_id(job.id)
        live = self._loaded.get(job.owner.name) if job.owner is not None else None
        if live is None or node is None:
            return
        self._opened(live, live.progress.tasks_done(node[1], tasks))
        self._wake.set()

    def on_owner_changed(self, owner: Owner) -> None:
        """A guard on a graph's head failed."""
        known = self._accepted.get(owner.name)
        if owner in (known[1] if known is not None else None, self._aside.get(owner.name)):
            self._gone(owner.name, "its record was found changed")

    # -- nodes ----------------------------------------------------------------------------------

    def _attach(self, live: LoadedGraph, index: int, job: Job) -> None:
        """A node's job is in the book."""
        progress = live.progress
        progress.mark_released(index)
        live.views.pop(index, None)
        if progress.state[index] != RELEASED:
            # While its release was on its way, what it waits for became impossible.
            self._term.job_store.abort_job(job, OUTCOME_SKIPPED)
        live.jobs[index] = job
        if progress.is_followed(index):
            done = self._term.job_store.report_completions(job, monotonic_now())
            self._opened(live, progress.tasks_done(index, done))
        if job.unblocked is not None:
            self._open(live, index, job)

    def _open(self, live: LoadedGraph, index: int, job: Job) -> None:
        """Lets all tasks go whose wait is over."""
        for task in live.progress.open_elements(index):
            self._term.job_store.unblock_task(job, task)

    def _opened(self, live: LoadedGraph, freed: list[tuple[int, int]]) -> None:
        for follower, task in freed:
            if follower in live.jobs:
                self._term.job_store.unblock_task(live.jobs[follower], task)

    def _settle(self, name: str, index: int, state: int) -> None:
        live = self._loaded.get(name)
        if live is None:
            if name in self._accepted:
                self._heard.setdefault(name, []).append((index, state))
            return
        if not 0 <= index < live.progress.shape.nodes:
            return
        live.jobs.pop(index, None)
        live.views.pop(index, None)
        for follower in live.progress.record_end(index, state):
            job = live.jobs.get(follower)
            if job is not None:
                self._open(live, follower, job)
        if state == FAILED and live.record.on_failure == "stop" and not live.stopped_by:
            live.stopped_by = live.node(index).key
        for stuck in live.progress.stuck:
            if stuck in live.jobs:
                self._term.job_store.abort_job(live.jobs[stuck], OUTCOME_SKIPPED)
        live.progress.stuck.clear()
        self._wake.set()

    def _orphan(self, job: Job) -> None:
        self._orphans[job.id] = (job.mod_revision, job.spec)
        self._wake.set()

    def _gone(self, name: str, why: str) -> None:
        """A graph's head is gone: nothing of it may run."""
        self._drafts.pop(name, None)
        aside = self._aside.pop(name, None)
        self._heard.pop(name, None)
        known = self._accepted.pop(name, None)
        self._loaded.pop(name, None)
        owner = known[1] if known is not None else aside
        if owner is None:
            return
        jobs = [job for job in self._term.job_store.jobs.values() if job.owner is owner]
        if jobs:
            log.info("graph %s is over (%s); %d of its jobs are stopped", name, why, len(jobs))
        for job in jobs:
            if not job.cancelled:
                job.outcome = OUTCOME_CANCELLED
                self._orphan(job)
                self._term.stop(job)

    # -- the loop -------------------------------------------------------------------------------

    async def run(self) -> None:
        """Release, end and remove what is due, until the term ends."""
        while True:
            self._wake.clear()
            pause_s: float | None = None
            try:
                for name in [n for n in self._accepted if n not in self._loaded]:
                    await self._load(name)
                for name in [
                    n for n, (h, _) in self._drafts.items() if h.status == records.EXPIRED
                ]:
                    await self._clear_up(name)
            except StateError as error:
                log.debug("reading graphs: %s", error)
                pause_s = _RETRY_S
            if self._term.valid():
                self._advance()
            if pause_s is None:
                pause_s = self._pause_s()
            await asyncio.sleep(_GAP_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()

    def _pause_s(self) -> float | None:
        """Until when nothing needs a look if nothing is heard; None: for ever."""
        if any(live.progress.has_ready for live in self._loaded.values()):
            return _BACKLOG_EVERY_S
        return _EXPIRY_EVERY_S if self._drafts else None

    def _advance(self) -> None:
        for live in list(self._loaded.values()):
            if live.stopped_by and not live.ending:
                self._end(live, "failed", f"node {live.stopped_by!r} failed", None)
            elif not live.ending:
                try:
                    self._release(live)
                except (GraphRecordError, wire.MalformedMessageError) as error:
                    self._set_aside(live.name, live.owner.mod_revision, error)
                    continue
                if live.progress.all_ended and not live.jobs and not live.in_flight:
                    counts = live.progress.counted()
                    self._end(live, _final_status(counts), "", counts)
        for job_id in islice(
            (j for j in self._orphans if j not in self._ending_orphans), _IN_FLIGHT
        ):
            if len(self._ending_orphans) >= _IN_FLIGHT:
                break
            self._enqueue_orphan_end(job_id)
        self._expire()
        for name, version in list(self._words.items()):
            if name not in self._accepted:
                self._forget_word(name, version)

    # -- releases -------------------------------------------------------------------------------

    def _release(self, live: LoadedGraph) -> None:
        if not live.progress.has_ready:
            return
        room = min(_IN_FLIGHT - live.in_flight, _BACKLOG - live.backlog())
        for _ in range(room):
            index = live.progress.next_ready()
            if index is None:
                return
            self._enqueue_release(live, index)

    def _enqueue_release(self, live: LoadedGraph, index: int) -> None:
        now = wall_now()
        spec = live.spec(index)
        job = JobId(spec.id)
        each = [node_id(live.name, up) for up in live.progress.task_dependencies(index)]
        kept = records.NodeJob(
            owner=live.name,
            each=each,
            retries=live.progress.shape.retries[index],
            due_s=live.due_s(index, spec, now),
            tail_s=round(live.progress.tail_s[index], 1),
        )
        value = {"spec": wire.to_builtins(spec), "at": now, **msgspec.to_builtins(kept)}

        def applied(_: Revision) -> None:
            live.in_flight -= 1
            live.progress.mark_released(index)
            self._wake.set()

        def refused(found: dict[str, wire.KeyValue | None]) -> None:
            live.in_flight -= 1
            over = found.get(ended_key(job))
            if over is not None:
                # Cancelled while it was gated, or released and ended by a late transaction.
                self._settle(live.name, index, _state_of(over.value))
            elif found.get(job_key(job)) is not None:
                live.progress.mark_released(index)
            else:
                live.progress.put_back(index)
            self._wake.set()

        live.in_flight += 1
        self._term.write_batcher.join(
            JoinedWrite(
                {
                    live.owner.key: live.owner.mod_revision,
                    job_key(job): ABSENT,
                    ended_key(job): ABSENT,
                },
                [wire.put(job_key(job), value)],
                applied,
                refused,
            )
        )

    # -- ends -----------------------------------------------------------------------------------

    def _end(self, live: LoadedGraph, status: Any, why: str, counts: dict[str, int] | None) -> None:
        over = records.graph_end_value(live.record, status, wall_now(), why, counts)
        key = records.graph_end_key(live.name)

        def applied(_: Revision) -> None:
            log.info("graph %s is %s %s", live.name, status, why)
            self._gone(live.name, f"it is {status}")
            self._wake.set()

        def refused(found: dict[str, wire.KeyValue | None]) -> None:
            live.ending = False
            if key in found and found[key] is not None:
                self._gone(live.name, "it was ended by another node")
            self._wake.set()

        live.ending = True
        self._term.write_batcher.join(
            JoinedWrite(
                {live.owner.key: live.owner.mod_revision, key: ABSENT},
                [wire.delete(live.owner.key), wire.put(key, over)],
                applied,
                refused,
            )
        )

    def _enqueue_orphan_end(self, job: JobId) -> None:
        """Moves the record of a job whose graph is over to where its graph's is."""
        mod_revision, spec = self._orphans[job]
        value = {
            "status": wire.JOB_CANCELLED,
            "outcome": OUTCOME_CANCELLED,
            "spec": wire.to_builtins(spec),
        }

        def applied(_: Revision) -> None:
            self._ending_orphans.discard(job)
            self._orphans.pop(job, None)
            self._wake.set()

        def refused(_: dict[str, wire.KeyValue | None]) -> None:
            # Its record is gone already: cancelled by itself, or done before its graph ended.
            applied(ABSENT)

        self._ending_orphans.add(job)
        self._term.write_batcher.join(
            JoinedWrite(
                {job_key(job): mod_revision, ended_key(job): ABSENT},
                [wire.delete(job_key(job)), wire.put(ended_key(job), value)],
                applied,
                refused,
            )
        )

    def _forget_word(self, name: str, version: Revision) -> None:
        key = records.cancelled_node_key(name)
        del self._words[name]
        # A word that comes meanwhile is seen, and forgotten in its turn.
        terminated = JoinedWrite({key: version}, [wire.delete(key)], lambda _: None, lambda _: None)
        self._term.write_batcher.join(terminated)

    # -- graphs that were never sealed ----------------------------------------------------------

    def _expire(self) -> None:
        now = wall_now()
        for name, (head, version) in self._drafts.items():
            late = head.status == records.OPEN and now - head.at > self._features.open_s
            if late and name not in self._expiring:
                self._join_expiry(name, head, version)

    def _join_expiry(self, name: str, head: GraphRecord, version: Revision) -> None:
        """From here on no part can be added to it, so that its parts can be removed."""
        log.info("graph %s was not sealed for %.0f s: removed", name, self._features.open_s)
        expired = msgspec.structs.replace(head, status="expired")
        key = records.graph_key(name)

        def done(_: object) -> None:
            self._expiring.discard(name)

        self._expiring.add(name)
        changes = [wire.put(key, msgspec.to_builtins(expired))]
        self._term.write_batcher.join(JoinedWrite({key: version}, changes, done, done))

    async def _clear_up(self, name: str) -> None:
        """Removes the parts of an expired graph, a few at a time, then its head."""
        if name in self._expiring or name not in self._drafts:
            return
        _, version = self._drafts[name]
        entries, _ = await self._term.client.scan(records.parts_prefix(name))
        left = {entry.key: Revision(entry.version) for entry in entries[:_IN_FLIGHT]}
        if not left:
            left = {records.graph_key(name): version}
        self._expiring.add(name)
        for key, mod_revision in list(left.items()):

            def done(_: object, key: str = key) -> None:
                left.pop(key)
                if not left:
                    self._expiring.discard(name)
                    self._wake.set()

            # One by one: a set of many waits for a bucket that may never be so full.
            self._term.write_batcher.join(
                JoinedWrite({key: mod_revision}, [wire.delete(key)], done, done)
            )

    # -- reading a graph ------------------------------------------------------------------------

    async def _load(self, name: str) -> None:
        """Reads a graph and how its nodes ended; the book has those that are released."""
        known = self._accepted.get(name)
        if known is None:
            # Cancelled while another graph was being read; an error here ended the whole term.
            return
        head, owner = known
        self._heard[name] = []
        entries, _ = await self._term.client.scan(records.parts_prefix(name))
        ended, _ = await self._term.client.scan(records.graph_end_key(name) + "-")
        try:
            found = records.assemble_parts(entries)
            parts = [found[number] for number in range(head.parts)]
            # Beside the loop: a large graph takes a second on a share of a core.
            shape = await asyncio.to_thread(_build_shape, head, parts)
        except (GraphRecordError, InvalidGraphError, KeyError) as error:
            # Accepted graphs were read back whole; what is wrong here is not mended by waiting.
            self._set_aside(name, owner.mod_revision, error)
            return
        if self._accepted.get(name) is not known:
            return
        live = LoadedGraph(name, head, owner, parts, Progress(shape))
        live.part_starts = [0, *accumulate(part.nodes for part in parts[:-1])]
        self._loaded[name] = live
        for job in [j for j in self._term.job_store.jobs.values() if j.owner is owner]:
            node = parse_node_id(job.id)
            if node is not None and not job.cancelled:
                self._attach(live, node[1], job)
        for index, state in (*_ends(ended), *self._heard.pop(name, [])):
            self._settle(name, index, state)
        live.progress.evaluate_all()
        log.info(
            "graph %s: %d nodes, %d edges read: %s",
            name,
            head.nodes,
            head.edges,
            live.progress.counted(),
        )

    # -- what others ask ------------------------------------------------------------------------

    def upcoming_tasks(self, now: Monotonic, within_s: float) -> Iterator[tuple[JobView, int]]:
        """Nodes that wait for released ones only, all of which end within `within_s`.

        Nodes that need the same are one wish: looked at one by one, the nodes behind a wide layer
        made a pass cost more than twice as much.
        """
        for live in self._loaded.values():
            found: dict[JobView, int] = {}
            left_s: dict[int, float] = {}
            for index in list(islice(live.progress.near, _NEAR)):
                if self._awaited_s(live, index, left_s, now) <= within_s:
                    view = self._wish(live, index)
                    found[view] = found.get(view, 0) + live.progress.shape.tasks[index]
            yield from found.items()

    def _awaited_s(
        self, live: LoadedGraph, index: int, left_s: dict[int, float], now: Monotonic
    ) -> float:
        """Until all that a node waits for is expected to have ended; `left_s` remembers."""
        longest = 0.0
        for up, _ in live.progress.shape.dependencies(index):
            if up not in left_s:
                job = live.jobs.get(up)
                left_s[up] = 0.0 if job is None else self._term.remaining_s(job, now)
            longest = max(longest, left_s[up])
        return longest

    def _wish(self, live: LoadedGraph, index: int) -> JobView:
        """The node as the planner would see it, one and the same for all that need the same."""
        view = live.views.get(index)
        if view is None:
            spec = live.spec(index)
            needs = msgspec.structs.replace(spec, id=live.name, tasks=1)
            kind = wire.encode(needs)
            view = live.kinds.get(kind)
            if view is None:
                if len(live.kinds) >= _KINDS:
                    live.kinds.clear()
                view = live.kinds[kind] = self._term.job_view(needs, 1)
            live.views[index] = view
        return view

    def counts(self, name: str) -> dict[str, int] | None:
        """A live graph's nodes by state; None if this leader has not read it."""
        live = self._loaded.get(name)
        return None if live is None else live.progress.counted()

    def describe(self) -> dict[str, Any]:
        """Return the graphs' counts, for operators."""
        return {
            "graphs": {name: live.progress.counted() for name, live in self._loaded.items()},
            "open": len(self._drafts),
        }


def _ends(entries: Sequence[wire.Entry]) -> Iterator[tuple[int, int]]:
    for entry in entries:
        job = parse_job_id(entry.key.rpartition("/")[2])
        node = parse_node_id(job) if job is not None else None
        if node is not None:
            yield node[1], _state_of(entry.value)


def _state_of(over: dict[str, Any]) -> int:
    return outcome_state(records.node_outcome(over))


def _final_status(counts: dict[str, int]) -> str:
    if counts["failed"]:
        return "failed"
    return "aborted" if counts["cancelled"] else OUTCOME_DONE
