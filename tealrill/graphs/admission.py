"""Submitting, showing and cancelling graphs, the same on every member: answered from the records.

A submission first writes the graph's record with status open, which reserves the id, then the
parts. One transaction accepts the graph, guarded by the revision of the open record. While that
record exists, no plain job with an id of the graph's nodes is accepted, so a check for such jobs
remains valid until the acceptance. A part never changes once written, and none can be added after
the acceptance, since its write is guarded by the open record too.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Final

import msgspec

from tealrill import wire
from tealrill.features import GraphFeatures
from tealrill.graphs import records
from tealrill.graphs.model import (
    InvalidGraphError,
    Node,
    PartBody,
    SealBody,
    Shape,
    Submission,
    check_part,
    graph_prefix,
    node_id,
    parse_graph_id,
    parse_node_id,
    resolve,
)
from tealrill.graphs.records import GraphEnd, GraphRecord, GraphRecordError, PackedPart
from tealrill.graphs.tracker import NODE_STATES
from tealrill.settings import Settings
from tealrill.state.admission import Admission, ImplicitJob, Reply
from tealrill.state.client import (
    Committed,
    GuardsFailed,
    OutcomeUnknownError,
    RateLimitedError,
    StateClient,
    StateError,
    StateUnavailableError,
    TransactionRejectedError,
)
from tealrill.state.rate_limiter import RequestPriority
from tealrill.state.records import (
    ENDED_PREFIX,
    JOB_PREFIX,
    OUTCOME_CANCELLED,
    OUTCOME_SKIPPED,
    ended_key,
    job_key,
)
from tealrill.types import ABSENT, JobId, Revision, parse_job_id, wall_now

log = logging.getLogger(__name__)

_MAX_ATTEMPTS: Final = 4
_MAX_TRANSACTION_BYTES: Final = 60 * 1024
_MAX_CACHED_GRAPHS: Final = 4
"""Most graphs whose nodes' keys are cached for listings."""
_PAGE_SIZE: Final = 200
"""Nodes per page of records."""
_MAX_PAGES: Final = 10
"""Most pages of records read for one request of a listing."""

_NO_GRAPH: Final = Reply(404, {"error": "no such graph"})


def _retry_later(why: str, retry_on_other_node: bool = False) -> Reply:
    return Reply(503, {"error": why}, retry_after_s=1, retry_on_other_node=retry_on_other_node)


def _conflict(why: str, **more: Any) -> Reply:
    return Reply(409, {"error": why, **more})


def _rejected(error: InvalidGraphError) -> Reply:
    return Reply(error.status, error.body(), retry_after_s=1 if error.status == 503 else None)


class StoredGraph:
    """The records of a graph, with the revisions at which they were last changed."""

    def __init__(
        self,
        record: GraphRecord | None,
        mod_revision: Revision,
        end: GraphEnd | None,
        end_revision: Revision,
    ) -> None:
        self.record = record
        self.mod_revision = mod_revision
        self.end = end
        self.end_revision = end_revision


class GraphAdmission:
    """Submit, show and cancel graphs; implement `ImplicitJobs` for the ids of their nodes."""

    def __init__(
        self,
        client: StateClient,
        settings: Settings,
        features: GraphFeatures,
        admission: Admission,
        counts: Callable[[str], Awaitable[dict[str, int] | None]],
    ) -> None:
        self._client = client
        self._features = features
        self._admission = admission
        self._counts = counts
        """Return the number of a graph's nodes by state from its leader; None without an answer."""
        state = settings.params.state
        self._txn_ops = state.txn_ops
        self._value_bytes = int(state.value_kb * 1024)
        self._keys: OrderedDict[str, list[str]] = OrderedDict()

    # -- ids of nodes ---------------------------------------------------------------------------

    def conflicting_keys(self, job_id: JobId) -> list[str]:
        """Return the keys that must be absent for a plain job of this id to be accepted."""
        graph = graph_prefix(job_id)
        if graph is None:
            return []
        return [records.graph_key(graph), records.graph_end_key(graph)]

    async def status(self, job_id: JobId) -> ImplicitJob | None:
        """Return the status of a node that has no record of its own."""
        node = parse_node_id(job_id)
        if node is None:
            return None
        stored = await self._read_records(node[0])
        if stored.end is not None:
            cancelled = stored.end.status == wire.JOB_CANCELLED
            outcome = OUTCOME_CANCELLED if cancelled else OUTCOME_SKIPPED
            never_released = ImplicitJob(wire.JOB_CANCELLED, outcome)
            return never_released if node[1] < stored.end.nodes else None
        if stored.record is None or stored.record.status != records.ACCEPTED:
            return None
        return ImplicitJob(wire.JOB_PENDING) if node[1] < stored.record.nodes else None

    async def refusal(self, job_id: JobId) -> Reply | None:
        """Return the rejection of a plain job whose id belongs to an accepted or ended graph."""
        graph = graph_prefix(job_id)
        if graph is None:
            return None
        stored = await self._read_records(graph)
        accepted = stored.record is not None and stored.record.status == records.ACCEPTED
        if accepted or stored.end is not None:
            return Reply(422, {"error": f"ids of this form belong to graph {graph!r}"})
        return None

    async def cancel(self, job_id: JobId) -> Revision | None:
        """Cancel a gated node.

        Return the revision of the cancellation; None if it was not executed or that is unknown.
        """
        node = parse_node_id(job_id)
        assert node is not None
        stored = await self._read_records(node[0])
        if stored.record is None or stored.record.status != records.ACCEPTED:
            return None
        guards = [
            wire.guard(records.graph_key(node[0]), stored.mod_revision),
            wire.guard(job_key(job_id), ABSENT),
            wire.guard(ended_key(job_id), ABSENT),
        ]
        changes = [
            wire.put(
                ended_key(job_id), {"status": wire.JOB_CANCELLED, "outcome": OUTCOME_CANCELLED}
            ),
            wire.put(records.cancelled_node_key(node[0]), {"cancelled": node[1]}),
        ]
        try:
            result = await self._client.commit(guards, changes)
        except OutcomeUnknownError:
            return None
        return result.revision if isinstance(result, Committed) else None

    # -- reading --------------------------------------------------------------------------------

    async def _read_records(self, graph: str) -> StoredGraph:
        """Read the records of a graph: `job/GRAPH` first, then `over/GRAPH`.

        An ended graph moves in this direction, so reading in the same order can't miss it.
        """
        entry = await self._client.get(records.graph_key(graph))
        try:
            record = None if entry is None else records.read_graph(entry.value)
            if entry is not None and record is not None and record.status != records.EXPIRED:
                return StoredGraph(record, Revision(entry.version), None, ABSENT)
            end_entry = await self._client.get(records.graph_end_key(graph))
            end = None if end_entry is None else records.read_graph_end(end_entry.value)
            if end_entry is not None and end is not None and end.status == wire.JOB_CANCELLED:
                # The answer tells a user of the cancellation, perhaps before the member that
                # executed it has acknowledged it; that member may also have failed since.
                self._admission.acknowledge(graph, Revision(end_entry.version))
            return StoredGraph(
                record,
                ABSENT if entry is None else Revision(entry.version),
                end,
                ABSENT if end_entry is None else Revision(end_entry.version),
            )
        except GraphRecordError as error:
            log.error("graph not read: graph=%s error=%s", graph, error)
            raise StateUnavailableError(f"graph {graph}: {error}") from None

    async def _read_parts(self, graph: str) -> dict[int, PackedPart]:
        entries, _ = await self._client.scan(records.parts_prefix(graph))
        return records.assemble_parts(entries)

    async def _conflicting_job(self, graph: str) -> str | None:
        """Return a plain job with an id of the graph's nodes; None if there is none.

        Called before the graph is accepted, when it has no nodes that are jobs.
        """
        for prefix in (records.graph_key(graph), records.graph_end_key(graph)):
            page = await self._client.page(prefix + "-", None, 1)
            if page.items:
                return page.items[0].key.rpartition("/")[2]
        return None

    # -- submitting -----------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Reply:
        """Submit a graph, or open one that is submitted in parts."""
        return await self._handle_errors(self._submit, body)

    async def put_part(self, graph: str, number: int, body: bytes) -> Reply:
        """Add a part to an open graph."""
        return await self._handle_errors(self._put_part, graph, number, body)

    async def seal(self, graph: str, body: bytes) -> Reply:
        """Accept an open graph if all its parts are stored."""
        return await self._handle_errors(self._seal_request, graph, body)

    async def _handle_errors(self, call: Callable[..., Awaitable[Reply]], *arguments: Any) -> Reply:
        try:
            return await call(*arguments)
        except InvalidGraphError as error:
            return _rejected(error)
        except wire.MalformedMessageError as error:
            return Reply(400, {"error": str(error)})
        except TransactionRejectedError as error:
            return Reply(400, {"error": f"the state service can't keep it: {error}"})
        except StateError as error:
            log.debug("graph request failed: error=%s", error)
            if isinstance(error, RateLimitedError):
                return _retry_later("too many submissions")
            return _retry_later("the state service can't be reached", retry_on_other_node=True)

    async def _submit(self, body: bytes) -> Reply:
        submission = _decode(body, Submission)
        graph = parse_graph_id(submission.id)
        if graph is None:
            raise InvalidGraphError(
                "letters and digits, a letter first, a digit last, at most 32", field="id"
            )
        digest = records.digest(submission)
        for _ in range(_MAX_ATTEMPTS):
            stored = await self._read_records(graph)
            reply = self._repeated_reply(graph, stored, digest)
            if reply is not None:
                return reply
            if stored.record is None and not await self._open_graph(graph, submission, digest):
                continue
            if not submission.seal:
                return Reply(
                    201 if stored.record is None else 200, {"id": graph, "status": records.OPEN}
                )
            return await self._seal(graph, 1)
        return _retry_later("not decided")

    def _repeated_reply(self, graph: str, stored: StoredGraph, digest: str) -> Reply | None:
        """Return the reply to a repeated or conflicting submission; None for any other."""
        if stored.end is not None:
            if stored.end.digest != digest:
                return _conflict("another graph had this id")
            return Reply(200, {"id": graph, "status": stored.end.status})
        record = stored.record
        if record is None:
            return None
        if record.status == records.EXPIRED:
            return _retry_later("a graph of this id is being removed")
        if record.digest != digest:
            return _conflict("another graph has this id")
        if record.status == records.ACCEPTED:
            return Reply(200, self._accepted_body(graph, record))
        return None

    @staticmethod
    def _accepted_body(graph: str, record: GraphRecord) -> dict[str, Any]:
        return {
            "id": graph,
            "status": records.ACCEPTED,
            "nodes": record.nodes,
            "edges": record.edges,
        }

    async def _open_graph(self, graph: str, submission: Submission, digest: str) -> bool:
        """Write the open record and part 0; False if the records have to be read again."""
        await self._check(graph, submission.defaults, submission.nodes)
        if submission.seal:
            # Rejects an invalid graph before any of its records is written.
            self._resolve_within_limits(submission.defaults, submission.retries, [submission.nodes])
        conflicting_job = await self._conflicting_job(graph)
        if conflicting_job is not None:
            raise InvalidGraphError(
                f"job {conflicting_job} has an id of its nodes", field="id", status=409
            )
        record = GraphRecord(
            v=records.VERSION,
            status="open",
            at=wall_now(),
            digest=digest,
            defaults=submission.defaults,
            on_failure=submission.on_failure,
            due_s=submission.due_s,
            retries=submission.retries,
        )
        value = msgspec.to_builtins(record)
        if len(wire.encode(value)) + 200 > self._value_bytes:
            raise InvalidGraphError("they are too long", field="defaults")
        guards = [
            wire.guard(records.graph_key(graph), ABSENT),
            wire.guard(records.graph_end_key(graph), ABSENT),
        ]
        changes = [wire.put(records.graph_key(graph), value)]
        if submission.nodes:
            self._add_part(graph, 0, submission.nodes, guards, changes)
        return isinstance(await self._commit(guards, changes), Committed)

    async def _check(self, graph: str, defaults: dict[str, Any], nodes: list[Node]) -> None:
        max_entries = max((sum(e.each for e in node.edges()) for node in nodes), default=0)
        extra_bytes = (
            100 + records.MAX_NODE_FIELDS_BYTES + max_entries * records.MAX_EACH_ENTRY_BYTES
        )

        def rejection(spec: wire.JobSpec) -> tuple[int, str] | None:
            reply = self._admission.rejection(spec, JobId(spec.id), extra_bytes)
            return None if reply is None else (reply.status, reply.body["error"])

        await check_part(graph, defaults, nodes, rejection, lambda: asyncio.sleep(0))

    def _resolve_within_limits(
        self, defaults: dict[str, Any], retries: int, parts: Iterable[list[Node]]
    ) -> Shape:
        features = self._features
        return resolve(defaults, retries, parts, features.most_nodes, features.most_edges)

    def _add_part(
        self,
        graph: str,
        number: int,
        nodes: list[Node],
        guards: list[dict[str, Any]],
        changes: list[dict[str, Any]],
    ) -> None:
        """Add a whole part to a transaction; raise `InvalidGraphError` if it does not fit."""
        for fragment, value in enumerate(records.pack_part(nodes, self._value_bytes)):
            key = records.fragment_key(graph, number, fragment)
            guards.append(wire.guard(key, ABSENT))
            changes.append(wire.put(key, value))
        size = len(wire.encode(changes)) + 200 * len(guards)
        if len(changes) > self._txn_ops or size > _MAX_TRANSACTION_BYTES:
            raise InvalidGraphError(
                "too much for one part: send fewer nodes at a time", field="nodes"
            )

    async def _commit(
        self, guards: list[dict[str, Any]], changes: list[dict[str, Any]]
    ) -> Committed | GuardsFailed | None:
        """Commit at low priority, so that submissions of plain jobs take precedence.

        Return None if it is unknown whether the transaction was executed.
        """
        if not self._client.submissions.try_acquire(len(changes), RequestPriority.LOW):
            raise RateLimitedError("too many submissions")
        try:
            return await self._client.commit(guards, changes, tokens_acquired=True)
        except OutcomeUnknownError as error:
            log.info("graph commit without an answer, records are read again: error=%s", error)
            return None

    async def _put_part(self, graph: str, number: int, body: bytes) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        nodes = _decode(body, PartBody).nodes
        if not nodes:
            raise InvalidGraphError("a part has at least one node", field="nodes")
        checked = False
        for _ in range(_MAX_ATTEMPTS):
            stored = await self._read_records(graph)
            record = stored.record
            if stored.end is not None:
                return _conflict(f"the graph is {stored.end.status}")
            if record is None or record.status == records.EXPIRED:
                return _NO_GRAPH
            fragment = await self._client.get(records.fragment_key(graph, number, 0))
            if fragment is not None:
                if fragment.value.get("digest") != records.digest(msgspec.to_builtins(nodes)):
                    return _conflict(f"part {number} is kept with other nodes")
                return Reply(200, {"id": graph, "part": number, "nodes": len(nodes)})
            if record.status == records.ACCEPTED:
                return _conflict("the graph is sealed")
            if not checked:
                await self._check(graph, record.defaults, nodes)
                checked = True
            guards = [wire.guard(records.graph_key(graph), stored.mod_revision)]
            changes: list[dict[str, Any]] = []
            self._add_part(graph, number, nodes, guards, changes)
            if isinstance(await self._commit(guards, changes), Committed):
                return Reply(201, {"id": graph, "part": number, "nodes": len(nodes)})
        return _retry_later("not decided")

    async def _seal_request(self, graph: str, body: bytes) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        return await self._seal(graph, _decode(body, SealBody).parts)

    async def _seal(self, graph: str, parts: int) -> Reply:
        for _ in range(_MAX_ATTEMPTS):
            stored = await self._read_records(graph)
            if stored.end is not None:
                if stored.end.parts != parts:
                    return _conflict(f"the graph is {stored.end.status}")
                return Reply(200, {"id": graph, "status": stored.end.status})
            record = stored.record
            if record is None or record.status == records.EXPIRED:
                return _NO_GRAPH
            if record.status == records.ACCEPTED:
                if record.parts != parts:
                    return _conflict(f"the graph was sealed with {record.parts} parts")
                return Reply(200, self._accepted_body(graph, record))
            sealed = await self._accepted_record(graph, record, parts)
            if isinstance(sealed, Reply):
                return sealed
            guards = [wire.guard(records.graph_key(graph), stored.mod_revision)]
            changes = [wire.put(records.graph_key(graph), msgspec.to_builtins(sealed))]
            if isinstance(await self._commit(guards, changes), Committed):
                log.info("graph accepted: graph=%s nodes=%d", graph, sealed.nodes)
                return Reply(201, self._accepted_body(graph, sealed))
        return _retry_later("not decided")

    async def _accepted_record(
        self, graph: str, record: GraphRecord, parts: int
    ) -> GraphRecord | Reply:
        """Return the accepted record after checking all parts, or a reply that rejects the seal."""
        try:
            parts_by_number = await self._read_parts(graph)
        except GraphRecordError as error:
            log.error("graph not sealed, its parts can't be read: graph=%s error=%s", graph, error)
            return _retry_later("its parts can't be read")
        missing = [number for number in range(parts) if number not in parts_by_number]
        if missing:
            return _conflict("parts are missing", missing=missing[:20])
        if len(parts_by_number) > parts:
            return _conflict(f"{len(parts_by_number)} parts are kept, {parts} are named")

        def shape() -> Shape:
            unpacked = (records.unpack_part(parts_by_number[number]) for number in range(parts))
            return self._resolve_within_limits(record.defaults, record.retries, unpacked)

        # In a thread: a large graph takes a second on a fraction of a core, which would block the
        # event loop.
        resolved = await asyncio.to_thread(shape)
        conflicting_job = await self._conflicting_job(graph)
        if conflicting_job is not None:
            return _conflict(f"job {conflicting_job} has an id of its nodes")
        return msgspec.structs.replace(
            record,
            status="accepted",
            at=wall_now(),
            nodes=resolved.nodes,
            edges=resolved.edges,
            parts=parts,
        )

    # -- showing --------------------------------------------------------------------------------

    async def show(self, graph: str) -> Reply:
        """Return a graph's status and counts."""
        return await self._handle_errors(self._show, graph)

    async def _show(self, graph: str) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        stored = await self._read_records(graph)
        if stored.end is not None:
            end = stored.end
            body = {
                "id": graph,
                "status": end.status,
                "nodes": end.nodes,
                "edges": end.edges,
                "counts": end.counts if end.counts is not None else await self._count_ends(graph),
            }
            if end.why:
                body["why"] = end.why
            return Reply(200, body)
        if stored.record is None or stored.record.status == records.EXPIRED:
            return _NO_GRAPH
        record = stored.record
        if record.status == records.OPEN:
            left_s = max(0.0, record.at + self._features.open_s - wall_now())
            return Reply(200, {"id": graph, "status": records.OPEN, "openS": round(left_s)})
        counts = await self._counts(graph)
        return Reply(200, {**self._accepted_body(graph, record), "counts": counts})

    async def _count_ends(self, graph: str) -> dict[str, int]:
        """Return the number of ended nodes by state, from their own records."""
        counts = dict.fromkeys(NODE_STATES[3:], 0)
        entries, _ = await self._client.scan(records.graph_end_key(graph) + "-")
        for entry in entries:
            counts[records.node_outcome(entry.value)] += 1
        return counts

    async def nodes(self, graph: str, state: str | None, start: int, limit: int) -> Reply:
        """Return at most `limit` nodes in their order, from number `start`, in `state` if given."""
        return await self._handle_errors(self._nodes, graph, state, start, limit)

    async def _nodes(self, graph: str, state: str | None, start: int, limit: int) -> Reply:
        if state is not None and state not in NODE_STATES:
            return Reply(400, {"error": f"one of {', '.join(NODE_STATES)}", "field": "state"})
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        stored = await self._read_records(graph)
        record: GraphRecord | GraphEnd | None = stored.end or stored.record
        if record is None or (stored.end is None and record.status != records.ACCEPTED):
            return _NO_GRAPH
        keys = await self._node_keys(graph, record.parts)
        default_state = "gated" if stored.end is None else "skipped"
        if stored.end is not None and stored.end.status == wire.JOB_CANCELLED:
            default_state = "cancelled"
        listed: list[dict[str, Any]] = []
        for _ in range(_MAX_PAGES):
            if start >= record.nodes or len(listed) >= limit:
                break
            states = await self._states(graph, start)
            for index in range(start, min(start + _PAGE_SIZE, record.nodes)):
                node_state = states.get(index, default_state)
                start = index + 1
                if state is None or node_state == state:
                    listed.append(
                        {"id": node_id(graph, index), "key": keys[index], "state": node_state}
                    )
                    if len(listed) >= limit:
                        break
        return Reply(
            200, {"id": graph, "nodes": listed, "next": start if start < record.nodes else None}
        )

    async def _states(self, graph: str, start: int) -> dict[int, str]:
        """Return the states of the nodes with a record, of `_PAGE_SIZE` nodes from `start`.

        The records under `job/` are read first, since they move from there to `over/`.
        """
        states: dict[int, str] = {}
        for prefix, is_ended in ((JOB_PREFIX, False), (ENDED_PREFIX, True)):
            after = f"{prefix}{node_id(graph, start - 1)}" if start else None
            page = await self._client.page(f"{prefix}{graph}-", after, _PAGE_SIZE)
            for entry in page.items:
                node = parse_node_id(parse_job_id(entry.key.removeprefix(prefix)) or "")
                if node is not None:
                    states[node[1]] = records.node_outcome(entry.value) if is_ended else "released"
        return states

    async def _node_keys(self, graph: str, parts: int) -> list[str]:
        keys = self._keys.get(graph)
        if keys is None:
            parts_by_number = await self._read_parts(graph)
            keys = [
                node.key
                for part in range(parts)
                for node in records.unpack_part(parts_by_number[part])
            ]
            self._keys[graph] = keys
            while len(self._keys) > _MAX_CACHED_GRAPHS:
                self._keys.popitem(last=False)
        self._keys.move_to_end(graph)
        return keys

    # -- cancelling -----------------------------------------------------------------------------

    async def cancel_graph(self, graph: str) -> Reply:
        """Cancel a graph and all its nodes."""
        return await self._handle_errors(self._cancel_graph, graph)

    async def _cancel_graph(self, graph: str) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        for _ in range(_MAX_ATTEMPTS):
            stored = await self._read_records(graph)
            if stored.end is not None:
                return Reply(200, {"id": graph, "status": stored.end.status})
            record = stored.record
            if record is None or record.status == records.EXPIRED:
                return _NO_GRAPH
            key, end_key = records.graph_key(graph), records.graph_end_key(graph)
            end_value = records.graph_end_value(record, "aborted", wall_now(), "cancelled")
            if record.status == records.ACCEPTED:
                record_change = wire.delete(key)
            else:
                # Its parts are deleted before its record is (`GraphLeaderExtension`).
                expired = msgspec.structs.replace(record, status="expired")
                record_change = wire.put(key, msgspec.to_builtins(expired))
            guards = [wire.guard(key, stored.mod_revision), wire.guard(end_key, ABSENT)]
            changes = [record_change, wire.put(end_key, end_value)]
            try:
                result = await self._client.commit(guards, changes)
            except OutcomeUnknownError:
                continue
            if isinstance(result, Committed):
                log.info("graph cancelled: graph=%s", graph)
                self._admission.acknowledge(graph, result.revision)
                return Reply(200, {"id": graph, "status": wire.JOB_CANCELLED})
        return _retry_later("not cancelled yet")


def _decode(body: bytes, kind: type[wire.T]) -> wire.T:
    if len(body) > wire.MAX_BODY:
        raise wire.MalformedMessageError("the body is larger than 64 KiB")
    return wire.decode(body, kind)
