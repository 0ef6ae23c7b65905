"""What users ask of graphs: the same on every node, answered from the state service.

A graph is claimed first (its head, open), filled with parts, and accepted by one transaction that
requires the head to be as it was. Between claim and acceptance no plain job gets an id of its
nodes, so what was looked for and not found under its name stays absent. A part, once written, never
changes, and none can be added after the acceptance, since each requires the open head.
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
from tealrill.graphs.records import GraphEnd, GraphRecord, GraphRecordError, Packed
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

_TRIES: Final = 4
_TXN_BYTES: Final = 60 * 1024
_NAMES_KEPT: Final = 4
"""Graphs whose nodes' keys are remembered for listings."""
_PAGE: Final = 200
_PAGES: Final = 10
"""Pages looked through for one listing by state."""

_NO_GRAPH: Final = Reply(404, {"error": "no such graph"})


def _later(why: str, retry_on_other_node: bool = False) -> Reply:
    return Reply(503, {"error": why}, retry_after_s=1, retry_on_other_node=retry_on_other_node)


def _conflict(why: str, **more: Any) -> Reply:
    return Reply(409, {"error": why, **more})


def _bad(error: InvalidGraphError) -> Reply:
    return Reply(error.status, error.body(), retry_after_s=1 if error.status == 503 else None)


class Found:
    """What is kept under a graph's name."""

    def __init__(
        self,
        head: GraphRecord | None,
        mod_revision: Revision,
        over: GraphEnd | None,
        over_stamp: Revision,
    ) -> None:
        self.head = head
        self.mod_revision = mod_revision
        self.over = over
        self.over_stamp = over_stamp


class GraphAdmission:
    """Submit, show and cancel graphs; answer for the ids of their nodes as `ImplicitJobs`."""

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
        """A live graph's nodes by state, as its leader has them; None if it can't be asked."""
        state = settings.params.state
        self._txn_ops = state.txn_ops
        self._value_bytes = int(state.value_kb * 1024)
        self._keys: OrderedDict[str, list[str]] = OrderedDict()

    # -- ids of nodes ---------------------------------------------------------------------------

    def conflicting_keys(self, job_id: JobId) -> list[str]:
        """Return the keys that must be absent where a plain job takes this id."""
        graph = graph_prefix(job_id)
        if graph is None:
            return []
        return [records.graph_key(graph), records.graph_end_key(graph)]

    async def status(self, job_id: JobId) -> ImplicitJob | None:
        """Return the status of a node that has no record of its own."""
        node = parse_node_id(job_id)
        if node is None:
            return None
        found = await self._find(node[0])
        if found.over is not None:
            cancelled = found.over.status == wire.JOB_CANCELLED
            outcome = OUTCOME_CANCELLED if cancelled else OUTCOME_SKIPPED
            never_released = ImplicitJob(wire.JOB_CANCELLED, outcome)
            return never_released if node[1] < found.over.nodes else None
        if found.head is None or found.head.status != records.ACCEPTED:
            return None
        return ImplicitJob(wire.JOB_PENDING) if node[1] < found.head.nodes else None

    async def refusal(self, job_id: JobId) -> Reply | None:
        """Return the answer to a plain job whose id belongs to a graph."""
        graph = graph_prefix(job_id)
        if graph is None:
            return None
        found = await self._find(graph)
        accepted = found.head is not None and found.head.status == records.ACCEPTED
        if accepted or found.over is not None:
            return Reply(422, {"error": f"ids of this form belong to graph {graph!r}"})
        return None

    async def cancel(self, job_id: JobId) -> Revision | None:
        """Cancel a gated node; the revision that made it true, or None."""
        node = parse_node_id(job_id)
        assert node is not None
        found = await self._find(node[0])
        if found.head is None or found.head.status != records.ACCEPTED:
            return None
        guards = [
            wire.guard(records.graph_key(node[0]), found.mod_revision),
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

    async def _find(self, graph: str) -> Found:
        """Head and end, read in the order in which a graph moves."""
        entry = await self._client.get(records.graph_key(graph))
        try:
            head = None if entry is None else records.read_graph(entry.value)
            if entry is not None and head is not None and head.status != records.EXPIRED:
                return Found(head, Revision(entry.version), None, ABSENT)
            over = await self._client.get(records.graph_end_key(graph))
            end = None if over is None else records.read_graph_end(over.value)
            if over is not None and end is not None and end.status == wire.JOB_CANCELLED:
                # Whatever is answered from it tells a user, perhaps before the node that cancelled
                # it could; and that one may have ended since.
                self._admission.acknowledge(graph, Revision(over.version))
            return Found(
                head,
                ABSENT if entry is None else Revision(entry.version),
                end,
                ABSENT if over is None else Revision(over.version),
            )
        except GraphRecordError as error:
            log.error("graph %s: %s", graph, error)
            raise StateUnavailableError(f"graph {graph}: {error}") from None

    async def _read_parts(self, graph: str) -> dict[int, Packed]:
        entries, _ = await self._client.scan(records.parts_prefix(graph))
        return records.assemble_parts(entries)

    async def _plain_job(self, graph: str) -> str | None:
        """A job that has an id of the graph's nodes without being one."""
        for prefix in (records.graph_key(graph), records.graph_end_key(graph)):
            page = await self._client.page(prefix + "-", None, 1)
            if page.items:
                return page.items[0].key.rpartition("/")[2]
        return None

    # -- submitting -----------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Reply:
        """Submit a graph, or begin one that comes in parts."""
        return await self._guarded(self._submit, body)

    async def put_part(self, graph: str, number: int, body: bytes) -> Reply:
        """Add a part to an open graph."""
        return await self._guarded(self._put_part, graph, number, body)

    async def seal(self, graph: str, body: bytes) -> Reply:
        """Accept an open graph once all its parts are there."""
        return await self._guarded(self._seal_request, graph, body)

    async def _guarded(self, call: Callable[..., Awaitable[Reply]], *arguments: Any) -> Reply:
        try:
            return await call(*arguments)
        except InvalidGraphError as error:
            return _bad(error)
        except wire.MalformedMessageError as error:
            return Reply(400, {"error": str(error)})
        except TransactionRejectedError as error:
            return Reply(400, {"error": f"the state service can't keep it: {error}"})
        except StateError as error:
            log.debug("graphs: %s", error)
            if isinstance(error, RateLimitedError):
                return _later("too many submissions")
            return _later("the state service can't be reached", retry_on_other_node=True)

    async def _submit(self, body: bytes) -> Reply:
        submission = _decode(body, Submission)
        graph = parse_graph_id(submission.id)
        if graph is None:
            raise InvalidGraphError(
                "letters and digits, a letter first, a digit last, at most 32", field="id"
            )
        whole = records.digest(submission)
        for _ in range(_TRIES):
            found = await self._find(graph)
            known = self._known(graph, found, whole)
            if known is not None:
                return known
            if found.head is None and not await self._begin(graph, submission, whole):
                continue
            if not submission.seal:
                return Reply(
                    201 if found.head is None else 200, {"id": graph, "status": records.OPEN}
                )
            return await self._seal(graph, 1)
        return _later("not decided")

    def _known(self, graph: str, found: Found, whole: str) -> Reply | None:
        """The answer to a repetition; None if there is something to do."""
        if found.over is not None:
            if found.over.digest != whole:
                return _conflict("another graph had this id")
            return Reply(200, {"id": graph, "status": found.over.status})
        head = found.head
        if head is None:
            return None
        if head.status == records.EXPIRED:
            return _later("a graph of this id is being removed")
        if head.digest != whole:
            return _conflict("another graph has this id")
        if head.status == records.ACCEPTED:
            return Reply(200, self._accepted_body(graph, head))
        return None

    @staticmethod
    def _accepted_body(graph: str, head: GraphRecord) -> dict[str, Any]:
        return {"id": graph, "status": records.ACCEPTED, "nodes": head.nodes, "edges": head.edges}

    async def _begin(self, graph: str, submission: Submission, whole: str) -> bool:
        """Claims the id and keeps part 0; False if it has to be looked at again."""
        await self._check(graph, submission.defaults, submission.nodes)
        if submission.seal:
            # Whatever is wrong with it is said before anything of it is kept.
            self._resolve(submission.defaults, submission.retries, [submission.nodes])
        plain = await self._plain_job(graph)
        if plain is not None:
            raise InvalidGraphError(f"job {plain} has an id of its nodes", field="id", status=409)
        head = GraphRecord(
            v=records.VERSION,
            status="open",
            at=wall_now(),
            digest=whole,
            defaults=submission.defaults,
            on_failure=submission.on_failure,
            due_s=submission.due_s,
            retries=submission.retries,
        )
        value = msgspec.to_builtins(head)
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
        most_each = max((sum(e.each for e in node.edges()) for node in nodes), default=0)
        beside = 100 + records.NODE_JOB_BYTES + most_each * records.EACH_BYTES

        def rejection(spec: wire.JobSpec) -> tuple[int, str] | None:
            reply = self._admission.rejection(spec, JobId(spec.id), beside)
            return None if reply is None else (reply.status, reply.body["error"])

        await check_part(graph, defaults, nodes, rejection, lambda: asyncio.sleep(0))

    def _resolve(
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
        """Adds a whole part to a transaction; raises `InvalidGraphError` if it does not fit one."""
        for fragment, value in enumerate(records.pack_part(nodes, self._value_bytes)):
            key = records.fragment_key(graph, number, fragment)
            guards.append(wire.guard(key, ABSENT))
            changes.append(wire.put(key, value))
        size = len(wire.encode(changes)) + 200 * len(guards)
        if len(changes) > self._txn_ops or size > _TXN_BYTES:
            raise InvalidGraphError(
                "too much for one part: send fewer nodes at a time", field="nodes"
            )

    async def _commit(
        self, guards: list[dict[str, Any]], changes: list[dict[str, Any]]
    ) -> Committed | GuardsFailed | None:
        """None if it is not known whether it was executed. Plain submissions go first."""
        if not self._client.submissions.try_acquire(len(changes), RequestPriority.LOW):
            raise RateLimitedError("too many submissions")
        try:
            return await self._client.commit(guards, changes, tokens_acquired=True)
        except OutcomeUnknownError as error:
            log.info("graph: commit without an answer (%s): reading back", error)
            return None

    async def _put_part(self, graph: str, number: int, body: bytes) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        nodes = _decode(body, PartBody).nodes
        if not nodes:
            raise InvalidGraphError("a part has at least one node", field="nodes")
        checked = False
        for _ in range(_TRIES):
            found = await self._find(graph)
            head = found.head
            if found.over is not None:
                return _conflict(f"the graph is {found.over.status}")
            if head is None or head.status == records.EXPIRED:
                return _NO_GRAPH
            kept = await self._client.get(records.fragment_key(graph, number, 0))
            if kept is not None:
                if kept.value.get("digest") != records.digest(msgspec.to_builtins(nodes)):
                    return _conflict(f"part {number} is kept with other nodes")
                return Reply(200, {"id": graph, "part": number, "nodes": len(nodes)})
            if head.status == records.ACCEPTED:
                return _conflict("the graph is sealed")
            if not checked:
                await self._check(graph, head.defaults, nodes)
                checked = True
            guards = [wire.guard(records.graph_key(graph), found.mod_revision)]
            changes: list[dict[str, Any]] = []
            self._add_part(graph, number, nodes, guards, changes)
            if isinstance(await self._commit(guards, changes), Committed):
                return Reply(201, {"id": graph, "part": number, "nodes": len(nodes)})
        return _later("not decided")

    async def _seal_request(self, graph: str, body: bytes) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        return await self._seal(graph, _decode(body, SealBody).parts)

    async def _seal(self, graph: str, parts: int) -> Reply:
        for _ in range(_TRIES):
            found = await self._find(graph)
            if found.over is not None:
                if found.over.parts != parts:
                    return _conflict(f"the graph is {found.over.status}")
                return Reply(200, {"id": graph, "status": found.over.status})
            head = found.head
            if head is None or head.status == records.EXPIRED:
                return _NO_GRAPH
            if head.status == records.ACCEPTED:
                if head.parts != parts:
                    return _conflict(f"the graph was sealed with {head.parts} parts")
                return Reply(200, self._accepted_body(graph, head))
            sealed = await self._whole(graph, head, parts)
            if isinstance(sealed, Reply):
                return sealed
            guards = [wire.guard(records.graph_key(graph), found.mod_revision)]
            changes = [wire.put(records.graph_key(graph), msgspec.to_builtins(sealed))]
            if isinstance(await self._commit(guards, changes), Committed):
                log.info("graph %s accepted: %d nodes", graph, sealed.nodes)
                return Reply(201, self._accepted_body(graph, sealed))
        return _later("not decided")

    async def _whole(self, graph: str, head: GraphRecord, parts: int) -> GraphRecord | Reply:
        """The head as it is once accepted, after a look at all that is kept."""
        try:
            kept = await self._read_parts(graph)
        except GraphRecordError as error:
            log.error("graph %s: %s", graph, error)
            return _later("its parts can't be read")
        missing = [number for number in range(parts) if number not in kept]
        if missing:
            return _conflict("parts are missing", missing=missing[:20])
        if len(kept) > parts:
            return _conflict(f"{len(kept)} parts are kept, {parts} are named")

        def shape() -> Shape:
            unpacked = (records.unpack_part(kept[number]) for number in range(parts))
            return self._resolve(head.defaults, head.retries, unpacked)

        # Beside the loop: a large graph takes a second on a share of a core.
        found = await asyncio.to_thread(shape)
        plain = await self._plain_job(graph)
        if plain is not None:
            return _conflict(f"job {plain} has an id of its nodes")
        return msgspec.structs.replace(
            head,
            status="accepted",
            at=wall_now(),
            nodes=found.nodes,
            edges=found.edges,
            parts=parts,
        )

    # -- showing --------------------------------------------------------------------------------

    async def show(self, graph: str) -> Reply:
        """Answer with a graph's status and counts."""
        return await self._guarded(self._show, graph)

    async def _show(self, graph: str) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        found = await self._find(graph)
        if found.over is not None:
            over = found.over
            body = {
                "id": graph,
                "status": over.status,
                "nodes": over.nodes,
                "edges": over.edges,
                "counts": over.counts if over.counts is not None else await self._ended(graph),
            }
            if over.why:
                body["why"] = over.why
            return Reply(200, body)
        if found.head is None or found.head.status == records.EXPIRED:
            return _NO_GRAPH
        head = found.head
        if head.status == records.OPEN:
            left_s = max(0.0, head.at + self._features.open_s - wall_now())
            return Reply(200, {"id": graph, "status": records.OPEN, "openS": round(left_s)})
        counts = await self._counts(graph)
        return Reply(200, {**self._accepted_body(graph, head), "counts": counts})

    async def _ended(self, graph: str) -> dict[str, int]:
        """How many nodes ended in which way, by their own records."""
        counts = dict.fromkeys(NODE_STATES[3:], 0)
        entries, _ = await self._client.scan(records.graph_end_key(graph) + "-")
        for entry in entries:
            counts[records.node_outcome(entry.value)] += 1
        return counts

    async def nodes(self, graph: str, state: str | None, start: int, most: int) -> Reply:
        """Answer with nodes in their order, `most` at a time."""
        return await self._guarded(self._nodes, graph, state, start, most)

    async def _nodes(self, graph: str, state: str | None, start: int, most: int) -> Reply:
        if state is not None and state not in NODE_STATES:
            return Reply(400, {"error": f"one of {', '.join(NODE_STATES)}", "field": "state"})
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        found = await self._find(graph)
        head: GraphRecord | GraphEnd | None = found.over or found.head
        if head is None or (found.over is None and head.status != records.ACCEPTED):
            return _NO_GRAPH
        keys = await self._keys_of(graph, head.parts)
        rest = "gated" if found.over is None else "skipped"
        if found.over is not None and found.over.status == wire.JOB_CANCELLED:
            rest = "cancelled"
        shown: list[dict[str, Any]] = []
        for _ in range(_PAGES):
            if start >= head.nodes or len(shown) >= most:
                break
            states = await self._states(graph, start)
            for index in range(start, min(start + _PAGE, head.nodes)):
                how = states.get(index, rest)
                start = index + 1
                if state is None or how == state:
                    shown.append({"id": node_id(graph, index), "key": keys[index], "state": how})
                    if len(shown) >= most:
                        break
        return Reply(
            200, {"id": graph, "nodes": shown, "next": start if start < head.nodes else None}
        )

    async def _states(self, graph: str, start: int) -> dict[int, str]:
        """Return the states of those of `_PAGE` nodes from `start` on that have a record.

        They are read in the order in which records move.
        """
        found: dict[int, str] = {}
        for own, over in ((JOB_PREFIX, False), (ENDED_PREFIX, True)):
            after = f"{own}{node_id(graph, start - 1)}" if start else None
            page = await self._client.page(f"{own}{graph}-", after, _PAGE)
            for entry in page.items:
                node = parse_node_id(parse_job_id(entry.key.removeprefix(own)) or "")
                if node is not None:
                    found[node[1]] = records.node_outcome(entry.value) if over else "released"
        return found

    async def _keys_of(self, graph: str, parts: int) -> list[str]:
        keys = self._keys.get(graph)
        if keys is None:
            kept = await self._read_parts(graph)
            keys = [node.key for part in range(parts) for node in records.unpack_part(kept[part])]
            self._keys[graph] = keys
            while len(self._keys) > _NAMES_KEPT:
                self._keys.popitem(last=False)
        self._keys.move_to_end(graph)
        return keys

    # -- cancelling -----------------------------------------------------------------------------

    async def cancel_graph(self, graph: str) -> Reply:
        """Cancel a graph and all its nodes."""
        return await self._guarded(self._cancel_graph, graph)

    async def _cancel_graph(self, graph: str) -> Reply:
        if parse_graph_id(graph) is None:
            return _NO_GRAPH
        for _ in range(_TRIES):
            found = await self._find(graph)
            if found.over is not None:
                return Reply(200, {"id": graph, "status": found.over.status})
            head = found.head
            if head is None or head.status == records.EXPIRED:
                return _NO_GRAPH
            key, end = records.graph_key(graph), records.graph_end_key(graph)
            over = records.graph_end_value(head, "aborted", wall_now(), "cancelled")
            if head.status == records.ACCEPTED:
                first = wire.delete(key)
            else:
                # Its parts are to be removed before its head is.
                expired = msgspec.structs.replace(head, status="expired")
                first = wire.put(key, msgspec.to_builtins(expired))
            guards = [wire.guard(key, found.mod_revision), wire.guard(end, ABSENT)]
            changes = [first, wire.put(end, over)]
            try:
                result = await self._client.commit(guards, changes)
            except OutcomeUnknownError:
                continue
            if isinstance(result, Committed):
                log.info("graph %s cancelled", graph)
                self._admission.acknowledge(graph, result.revision)
                return Reply(200, {"id": graph, "status": wire.JOB_CANCELLED})
        return _later("not cancelled yet")


def _decode(body: bytes, kind: type[wire.T]) -> wire.T:
    if len(body) > wire.MAX_BODY:
        raise wire.MalformedMessageError("the body is larger than 64 KiB")
    return wire.decode(body, kind)
