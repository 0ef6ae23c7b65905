"""What a user submits, checked, and the shape of a graph: who waits for whom.

Pure: no I/O and no clock. A graph is submitted in parts, so a part is checked by itself when it
comes (`check_part`) and the whole when it is sealed (`resolve`).
"""

from __future__ import annotations

import re
from array import array
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, Final, Literal

import msgspec
from msgspec import Meta

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.types import JobId

ID_DIGITS: Final = 5
MOST_NODES: Final = 10**ID_DIGITS
"""Node ids have so many digits, so that the order of their keys is that of their numbers."""
MOST_PARTS: Final = 10_000
DEFAULT_RETRIES: Final = 3
MAX_RETRIES: Final = 100

_GRAPH_ID: Final = re.compile(r"[a-z][a-z0-9]{0,30}[0-9]")
_NODE_ID: Final = re.compile(r"([a-z][a-z0-9]{0,30}[0-9])-([0-9]{5})")
_YIELD_EVERY: Final = 250

ON_DONE: Final = 0
ON_FAILED: Final = 1
ON_ENDED: Final = 2
PER_TASK: Final = 3
_WHEN: Final = {"done": ON_DONE, "failed": ON_FAILED, "ended": ON_ENDED}

Retries = Annotated[int, Meta(ge=0, le=MAX_RETRIES)]
Key = Annotated[str, Meta(min_length=1, max_length=100)]


class InvalidGraphError(TealrillError):
    """A graph that can't be taken; `node` and `field` say where."""

    def __init__(
        self, why: str, node: str | None = None, field: str | None = None, status: int = 400
    ) -> None:
        super().__init__(why)
        self.node = node
        self.field = field
        self.status = status

    def body(self) -> dict[str, Any]:
        """Return the error as the body of a response."""
        found: dict[str, Any] = {"error": str(self)}
        if self.node is not None:
            found["node"] = self.node
        if self.field is not None:
            found["field"] = self.field
        return found


class Edge(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a node waits for."""

    node: Key
    each: bool = False
    """Task i waits for task i of the other node, instead of for all of it."""
    when: Literal["done", "failed", "ended"] = "done"


class Node(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename={"retries": "maxRetries"}
):
    """One node as its user writes it."""

    key: Key
    job: dict[str, Any] = {}
    """Fields of a submission (`wire.JobSpec`) beyond the graph's `defaults`, without `id`."""
    after: list[Key | Edge] = []
    retries: Retries | None = None
    """How often one of its tasks is tried again after an error; None: as the graph says."""

    def edges(self) -> Iterator[Edge]:
        """Return the edges of the graph, those of a node in its order."""
        for edge in self.after:
            yield Edge(node=edge) if isinstance(edge, str) else edge


class Submission(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"on_failure": "onFailure", "due_s": "dueS", "retries": "maxRetries"},
):
    """A graph, or the beginning of one."""

    id: str
    defaults: dict[str, Any] = {}
    on_failure: Literal["finish", "stop"] = "finish"
    due_s: wire.Amount | None = None
    """When all of it should be complete, from its acceptance."""
    retries: Retries = DEFAULT_RETRIES
    nodes: list[Node] = []
    """Part 0."""
    seal: bool = True
    """False: more parts follow."""


class PartBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a request that adds a part."""

    nodes: list[Node]


class SealBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a request that seals a graph."""

    parts: Annotated[int, Meta(ge=1, le=MOST_PARTS)]


def parse_graph_id(text: str) -> str | None:
    """The graph id in `text`: letters and digits, the last one a digit, at most 32 in all.

    Ids of plain jobs seldom have a digit in front of their hyphen, and those that have not can't
    belong to a graph.
    """
    return text if _GRAPH_ID.fullmatch(text) else None


def node_id(graph: str, index: int) -> JobId:
    """Return the job id of a graph's node."""
    return JobId(f"{graph}-{index:0{ID_DIGITS}d}")


def parse_node_id(text: str) -> tuple[str, int] | None:
    """The graph's id and the node's number in a job id of that form."""
    match = _NODE_ID.fullmatch(text)
    return None if match is None else (match[1], int(match[2]))


def graph_prefix(job_id: str) -> str | None:
    """The graph that would own a job id, whatever its number looks like."""
    return parse_graph_id(job_id.partition("-")[0])


def node_spec(graph: str, index: int, defaults: dict[str, Any], node: Node) -> wire.JobSpec:
    """The job that a node is; raises `wire.MalformedMessageError`."""
    try:
        return msgspec.convert({**defaults, **node.job, "id": node_id(graph, index)}, wire.JobSpec)
    except msgspec.ValidationError as error:
        raise wire.MalformedMessageError(str(error)) from None


Check = Callable[[wire.JobSpec], tuple[int, str] | None]
"""What stands against a job: a status and an error."""


async def check_part(
    graph: str,
    defaults: dict[str, Any],
    nodes: Sequence[Node],
    check: Check,
    pause: Callable[[], Any],
) -> None:
    """Checks every node of a part by itself; raises `InvalidGraphError`.

    A machine with a share of a core has other things to do, so it pauses now and then.
    """
    for number, node in enumerate(nodes):
        if number % _YIELD_EVERY == _YIELD_EVERY - 1:
            await pause()
        if "id" in node.job or "id" in defaults:
            raise InvalidGraphError("a node's id follows from its graph's", node.key, "job.id")
        try:
            # Its number is not known before the graph is sealed; any has the same form.
            spec = node_spec(graph, 0, defaults, node)
        except wire.MalformedMessageError as error:
            raise InvalidGraphError(str(error), node.key, _field_in(str(error))) from None
        if spec.is_service:
            raise InvalidGraphError(
                "a service never ends, so it can't be a node", node.key, "job.shape"
            )
        against = check(spec)
        if against is not None:
            status, why = against
            raise InvalidGraphError(why, node.key, "job", status)
        _check_edges(node, spec)


def _check_edges(node: Node, spec: wire.JobSpec) -> None:
    seen: set[str] = set()
    for edge in node.edges():
        if edge.node == node.key:
            raise InvalidGraphError("a node can't wait for itself", node.key, "after")
        if edge.node in seen:
            raise InvalidGraphError(f"waits for {edge.node!r} twice", node.key, "after")
        seen.add(edge.node)
        if edge.each and edge.when != "done":
            raise InvalidGraphError(
                "task by task it can only be waited for 'done'", node.key, "after"
            )
        if edge.each and spec.is_gang:
            raise InvalidGraphError(
                "a gang's tasks start together, not one by one", node.key, "after"
            )


def _field_in(error: str) -> str:
    """The field that msgspec names at the end of its message."""
    _, found, path = error.rpartition("`$.")
    return "job." + path.rstrip("`") if found else "job"


@dataclass(slots=True, eq=False)
class Shape:
    """Who waits for whom, in arrays: 10,000 nodes are to take little room in a leader.

    The edges that leave node i are `out_node[out_first[i]:out_first[i + 1]]`, each with its kind;
    the nodes it waits for are `in_node[in_first[i]:in_first[i + 1]]`.
    """

    keys: list[str]
    tasks: array[int]
    estimate_s: array[float]
    retries: bytearray
    out_first: array[int]
    out_node: array[int]
    out_kind: bytearray
    in_first: array[int]
    in_node: array[int]
    in_kind: bytearray
    topological_order: array[int]
    """All nodes, each after what it waits for."""

    @property
    def nodes(self) -> int:
        """The number of nodes."""
        return len(self.tasks)

    @property
    def edges(self) -> int:
        """Return the edges of the graph, those of a node in its order."""
        return len(self.out_node)

    def dependents(self, index: int) -> Iterator[tuple[int, int]]:
        """Yield the nodes that wait for this one, with the kind of edge."""
        for at in range(self.out_first[index], self.out_first[index + 1]):
            yield self.out_node[at], self.out_kind[at]

    def dependencies(self, index: int) -> Iterator[tuple[int, int]]:
        """Yield the nodes that this one waits for, with the kind of edge."""
        for at in range(self.in_first[index], self.in_first[index + 1]):
            yield self.in_node[at], self.in_kind[at]

    def tails(self) -> array[float]:
        """Per node the estimated time of the longest path that begins after it, in seconds."""
        found = array("f", bytes(4 * self.nodes))
        for index in reversed(self.topological_order):
            longest = 0.0
            for follower, _ in self.dependents(index):
                longest = max(longest, self.estimate_s[follower] + found[follower])
            found[index] = longest
        return found


def resolve(
    defaults: dict[str, Any],
    retries: int,
    parts: Iterable[Sequence[Node]],
    most_nodes: int = MOST_NODES,
    most_edges: int = 1_000_000,
) -> Shape:
    """The shape of a whole graph; raises `InvalidGraphError` naming the node and the field."""
    keys: list[str] = []
    index: dict[str, int] = {}
    tasks, estimates, tried = array("I"), array("f"), bytearray()
    awaited: list[list[Edge]] = []
    edges = 0
    for nodes in parts:
        for node in nodes:
            if node.key in index:
                raise InvalidGraphError("two nodes have this key", node.key, "key")
            index[node.key] = len(keys)
            keys.append(node.key)
            if len(keys) > most_nodes:
                raise InvalidGraphError(f"more than {most_nodes} nodes", node.key, "nodes")
            tasks.append(int(_field(defaults, node, "pieces")))
            estimates.append(float(_field(defaults, node, "guessS")))
            tried.append(node.retries if node.retries is not None else retries)
            awaited.append(list(node.edges()))
            edges += len(node.after)
            if edges > most_edges:
                raise InvalidGraphError(f"more than {most_edges} edges", node.key, "after")
    if not keys:
        raise InvalidGraphError("a graph has at least one node", field="nodes")
    in_first, in_node, in_kind = array("I", [0]), array("I"), bytearray()
    for number, wanted in enumerate(awaited):
        for edge in wanted:
            other = index.get(edge.node)
            if other is None:
                raise InvalidGraphError(f"no node {edge.node!r}", keys[number], "after")
            if edge.each and tasks[other] != tasks[number]:
                raise InvalidGraphError(
                    f"{tasks[number]} tasks can't wait one by one for the {tasks[other]} of "
                    f"{edge.node!r}",
                    keys[number],
                    "after",
                )
            in_node.append(other)
            in_kind.append(PER_TASK if edge.each else _WHEN[edge.when])
        in_first.append(len(in_node))
    out_first, out_node, out_kind = _reverse(len(keys), in_first, in_node, in_kind)
    shape = Shape(
        keys, tasks, estimates, tried, out_first, out_node, out_kind, in_first, in_node, in_kind,
        array("I"),
    )  # fmt: skip
    _sort(shape)
    return shape


def _field(defaults: dict[str, Any], node: Node, name: str) -> Any:
    return node.job[name] if name in node.job else defaults[name]


def _reverse(
    nodes: int, in_first: array[int], in_node: array[int], in_kind: bytearray
) -> tuple[array[int], array[int], bytearray]:
    """The same edges by the node that they leave."""
    first = array("I", bytes(4 * (nodes + 1)))
    for other in in_node:
        first[other + 1] += 1
    for number in range(nodes):
        first[number + 1] += first[number]
    at = array("I", first)
    out_node, out_kind = array("I", bytes(4 * len(in_node))), bytearray(len(in_node))
    for number in range(nodes):
        for edge in range(in_first[number], in_first[number + 1]):
            place = at[in_node[edge]]
            at[in_node[edge]] += 1
            out_node[place], out_kind[place] = number, in_kind[edge]
    return first, out_node, out_kind


def _sort(shape: Shape) -> None:
    """Fills `order`; raises `InvalidGraphError` with the path of a cycle if there is one."""
    left = array("I", (shape.in_first[i + 1] - shape.in_first[i] for i in range(shape.nodes)))
    shape.topological_order.extend(i for i in range(shape.nodes) if not left[i])
    at = 0
    while at < len(shape.topological_order):
        for follower, _ in shape.dependents(shape.topological_order[at]):
            left[follower] -= 1
            if not left[follower]:
                shape.topological_order.append(follower)
        at += 1
    if len(shape.topological_order) < shape.nodes:
        path = _cycle(shape, left)
        named = [shape.keys[i] for i in path]
        if len(named) > 12:
            named = [*named[:6], "...", *named[-5:]]
        raise InvalidGraphError(
            "waits for itself: " + " -> ".join(named), shape.keys[path[0]], "after"
        )


def _cycle(shape: Shape, left: array[int]) -> list[int]:
    """A cycle among the nodes that never became free, each before what waits for it."""
    number = next(i for i in range(shape.nodes) if left[i])
    seen: dict[int, int] = {}
    path: list[int] = []
    while number not in seen:
        seen[number] = len(path)
        path.append(number)
        # Some node that it waits for has not become free either.
        number = next(other for other, _ in shape.dependencies(number) if left[other])
    cycle = path[seen[number] :]
    return [number, *reversed(cycle)]
