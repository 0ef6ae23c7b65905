"""Submissions of graphs, their validation, and the resolved dependencies between nodes.

Pure, without I/O or clock. A graph may be submitted in parts: each part is validated by itself when
it is received (`check_part`), and the whole graph when it is sealed (`resolve`).
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
MAX_NODES: Final = 10**ID_DIGITS
"""Node ids have `ID_DIGITS` digits, so that their keys sort in the order of their numbers."""
MAX_PARTS: Final = 10_000
DEFAULT_RETRIES: Final = 3
MAX_RETRIES: Final = 100

_GRAPH_ID: Final = re.compile(r"[a-z][a-z0-9]{0,30}[0-9]")
_NODE_ID: Final = re.compile(r"([a-z][a-z0-9]{0,30}[0-9])-([0-9]{5})")
_NODES_PER_PAUSE: Final = 250

ON_DONE: Final = 0
ON_FAILED: Final = 1
ON_ENDED: Final = 2
PER_TASK: Final = 3
_WHEN: Final = {"done": ON_DONE, "failed": ON_FAILED, "ended": ON_ENDED}

Retries = Annotated[int, Meta(ge=0, le=MAX_RETRIES)]
Key = Annotated[str, Meta(min_length=1, max_length=100)]


class InvalidGraphError(TealrillError):
    """A graph that is rejected; `node` and `field` name the place of the error."""

    def __init__(
        self, why: str, node: str | None = None, field: str | None = None, status: int = 400
    ) -> None:
        super().__init__(why)
        self.node = node
        self.field = field
        self.status = status

    def body(self) -> dict[str, Any]:
        """Return the error as the body of a response."""
        body: dict[str, Any] = {"error": str(self)}
        if self.node is not None:
            body["node"] = self.node
        if self.field is not None:
            body["field"] = self.field
        return body


class Edge(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A dependency of a node on another node."""

    node: Key
    """The other node."""
    each: bool = False
    """Task i waits for task i of the other node only, not for all of its tasks."""
    when: Literal["done", "failed", "ended"] = "done"
    """How the other node must have ended; `ended` is satisfied by any outcome."""


class Node(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename={"retries": "maxRetries"}
):
    """One node as submitted."""

    key: Key
    job: dict[str, Any] = {}
    """Fields of a submission (`wire.JobSpec`) beyond the graph's `defaults`, without `id`."""
    after: list[Key | Edge] = []
    retries: Retries | None = None
    """How often one of its tasks is retried after an error; None: the graph's value."""

    def edges(self) -> Iterator[Edge]:
        """Yield the node's dependencies in the order of `after`."""
        for edge in self.after:
            yield Edge(node=edge) if isinstance(edge, str) else edge


class Submission(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"on_failure": "onFailure", "due_s": "dueS", "retries": "maxRetries"},
):
    """A whole graph, or the first request of one that is submitted in parts."""

    id: str
    defaults: dict[str, Any] = {}
    on_failure: Literal["finish", "stop"] = "finish"
    due_s: wire.Amount | None = None
    """Deadline of the whole graph, in seconds from its acceptance."""
    retries: Retries = DEFAULT_RETRIES
    nodes: list[Node] = []
    """Part 0."""
    seal: bool = True
    """False if more parts follow."""


class PartBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a request that adds a part."""

    nodes: list[Node]


class SealBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a request that seals a graph."""

    parts: Annotated[int, Meta(ge=1, le=MAX_PARTS)]


def parse_graph_id(text: str) -> str | None:
    """Return `text` if it is a valid graph id, else None.

    An id has at most 32 lower-case letters and digits, a letter first and a digit last. Few ids of
    plain jobs have a digit before their first hyphen, so few can conflict with a graph's nodes.
    """
    return text if _GRAPH_ID.fullmatch(text) else None


def node_id(graph: str, index: int) -> JobId:
    """Return the job id of a graph's node."""
    return JobId(f"{graph}-{index:0{ID_DIGITS}d}")


def parse_node_id(text: str) -> tuple[str, int] | None:
    """Return the graph's id and the node's number in a node's job id; None for any other id."""
    match = _NODE_ID.fullmatch(text)
    return None if match is None else (match[1], int(match[2]))


def graph_prefix(job_id: str) -> str | None:
    """Return the graph id that a job id begins with, in whatever form its number is; else None."""
    return parse_graph_id(job_id.partition("-")[0])


def node_spec(graph: str, index: int, defaults: dict[str, Any], node: Node) -> wire.JobSpec:
    """Return the job specification of a node; raise `wire.MalformedMessageError`."""
    try:
        return msgspec.convert({**defaults, **node.job, "id": node_id(graph, index)}, wire.JobSpec)
    except msgspec.ValidationError as error:
        raise wire.MalformedMessageError(str(error)) from None


JobCheck = Callable[[wire.JobSpec], tuple[int, str] | None]
"""Validates a job; returns the status and message of its rejection, or None."""


async def check_part(
    graph: str,
    defaults: dict[str, Any],
    nodes: Sequence[Node],
    check: JobCheck,
    pause: Callable[[], Any],
) -> None:
    """Validate every node of a part by itself; raise `InvalidGraphError`.

    `pause` is awaited regularly: on a fraction of a core the validation takes long enough to delay
    other requests.
    """
    for number, node in enumerate(nodes):
        if number % _NODES_PER_PAUSE == _NODES_PER_PAUSE - 1:
            await pause()
        if "id" in node.job or "id" in defaults:
            raise InvalidGraphError("a node's id follows from its graph's", node.key, "job.id")
        try:
            # The node's number is unknown until the graph is sealed; any gives a valid id.
            spec = node_spec(graph, 0, defaults, node)
        except wire.MalformedMessageError as error:
            raise InvalidGraphError(str(error), node.key, _field_of_error(str(error))) from None
        if spec.is_service:
            raise InvalidGraphError(
                "a service never ends, so it can't be a node", node.key, "job.shape"
            )
        rejection = check(spec)
        if rejection is not None:
            status, why = rejection
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


def _field_of_error(error: str) -> str:
    """Return the path of the field that msgspec names at the end of its message."""
    _, separator, path = error.rpartition("`$.")
    return "job." + path.rstrip("`") if separator else "job"


@dataclass(slots=True, eq=False)
class Shape:
    """Nodes and edges of a graph, in arrays to use little memory for 10,000 nodes.

    The dependents of node i are `out_node[out_first[i]:out_first[i + 1]]`, its dependencies are
    `in_node[in_first[i]:in_first[i + 1]]`; `out_kind` and `in_kind` hold the kinds of these edges.
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
    """All nodes, each after its dependencies."""

    @property
    def nodes(self) -> int:
        """Number of nodes."""
        return len(self.tasks)

    @property
    def edges(self) -> int:
        """Number of edges."""
        return len(self.out_node)

    def dependents(self, index: int) -> Iterator[tuple[int, int]]:
        """Yield the nodes that wait for this one, with the kind of edge."""
        for position in range(self.out_first[index], self.out_first[index + 1]):
            yield self.out_node[position], self.out_kind[position]

    def dependencies(self, index: int) -> Iterator[tuple[int, int]]:
        """Yield the nodes that this one waits for, with the kind of edge."""
        for position in range(self.in_first[index], self.in_first[index + 1]):
            yield self.in_node[position], self.in_kind[position]

    def tails(self) -> array[float]:
        """Return per node the estimated time of the longest path behind it, in seconds.

        The node's own time is not part of it.
        """
        tails = array("f", bytes(4 * self.nodes))
        for index in reversed(self.topological_order):
            longest = 0.0
            for dependent, _ in self.dependents(index):
                longest = max(longest, self.estimate_s[dependent] + tails[dependent])
            tails[index] = longest
        return tails


def resolve(
    defaults: dict[str, Any],
    retries: int,
    parts: Iterable[Sequence[Node]],
    max_nodes: int = MAX_NODES,
    max_edges: int = 1_000_000,
) -> Shape:
    """Resolve the edges of a whole graph; raise `InvalidGraphError` with the node and the field."""
    keys: list[str] = []
    index_of_key: dict[str, int] = {}
    tasks, estimates, retry_limits = array("I"), array("f"), bytearray()
    edges_of_nodes: list[list[Edge]] = []
    edges = 0
    for nodes in parts:
        for node in nodes:
            if node.key in index_of_key:
                raise InvalidGraphError("two nodes have this key", node.key, "key")
            index_of_key[node.key] = len(keys)
            keys.append(node.key)
            if len(keys) > max_nodes:
                raise InvalidGraphError(f"more than {max_nodes} nodes", node.key, "nodes")
            tasks.append(int(_job_field(defaults, node, "pieces")))
            estimates.append(float(_job_field(defaults, node, "guessS")))
            retry_limits.append(node.retries if node.retries is not None else retries)
            edges_of_nodes.append(list(node.edges()))
            edges += len(node.after)
            if edges > max_edges:
                raise InvalidGraphError(f"more than {max_edges} edges", node.key, "after")
    if not keys:
        raise InvalidGraphError("a graph has at least one node", field="nodes")
    in_first, in_node, in_kind = array("I", [0]), array("I"), bytearray()
    for number, dependency_edges in enumerate(edges_of_nodes):
        for edge in dependency_edges:
            dependency = index_of_key.get(edge.node)
            if dependency is None:
                raise InvalidGraphError(f"no node {edge.node!r}", keys[number], "after")
            if edge.each and tasks[dependency] != tasks[number]:
                raise InvalidGraphError(
                    f"{tasks[number]} tasks can't wait one by one for the {tasks[dependency]} of "
                    f"{edge.node!r}",
                    keys[number],
                    "after",
                )
            in_node.append(dependency)
            in_kind.append(PER_TASK if edge.each else _WHEN[edge.when])
        in_first.append(len(in_node))
    out_first, out_node, out_kind = _group_by_dependency(len(keys), in_first, in_node, in_kind)
    shape = Shape(
        keys, tasks, estimates, retry_limits, out_first, out_node, out_kind,
        in_first, in_node, in_kind, array("I"),
    )  # fmt: skip
    _sort_topologically(shape)
    return shape


def _job_field(defaults: dict[str, Any], node: Node, name: str) -> Any:
    return node.job[name] if name in node.job else defaults[name]


def _group_by_dependency(
    nodes: int, in_first: array[int], in_node: array[int], in_kind: bytearray
) -> tuple[array[int], array[int], bytearray]:
    """Return the same edges grouped by dependency: first positions, dependents and kinds."""
    first = array("I", bytes(4 * (nodes + 1)))
    for dependency in in_node:
        first[dependency + 1] += 1
    for index in range(nodes):
        first[index + 1] += first[index]
    next_position = array("I", first)
    out_node, out_kind = array("I", bytes(4 * len(in_node))), bytearray(len(in_node))
    for index in range(nodes):
        for edge in range(in_first[index], in_first[index + 1]):
            position = next_position[in_node[edge]]
            next_position[in_node[edge]] += 1
            out_node[position], out_kind[position] = index, in_kind[edge]
    return first, out_node, out_kind


def _sort_topologically(shape: Shape) -> None:
    """Fill `order`; raise `InvalidGraphError` with the path of a cycle if there is one."""
    unsorted_dependencies = array(
        "I", (shape.in_first[i + 1] - shape.in_first[i] for i in range(shape.nodes))
    )
    shape.topological_order.extend(i for i in range(shape.nodes) if not unsorted_dependencies[i])
    position = 0
    while position < len(shape.topological_order):
        for dependent, _ in shape.dependents(shape.topological_order[position]):
            unsorted_dependencies[dependent] -= 1
            if not unsorted_dependencies[dependent]:
                shape.topological_order.append(dependent)
        position += 1
    if len(shape.topological_order) < shape.nodes:
        path = _find_cycle(shape, unsorted_dependencies)
        cycle_keys = [shape.keys[i] for i in path]
        if len(cycle_keys) > 12:
            cycle_keys = [*cycle_keys[:6], "...", *cycle_keys[-5:]]
        raise InvalidGraphError(
            "waits for itself: " + " -> ".join(cycle_keys), shape.keys[path[0]], "after"
        )


def _find_cycle(shape: Shape, unsorted_dependencies: array[int]) -> list[int]:
    """Return a cycle among the unsorted nodes, each before its dependent, the first one twice."""
    index = next(i for i in range(shape.nodes) if unsorted_dependencies[i])
    position_on_path: dict[int, int] = {}
    path: list[int] = []
    while index not in position_on_path:
        position_on_path[index] = len(path)
        path.append(index)
        # An unsorted node has at least one unsorted dependency.
        index = next(
            dependency
            for dependency, _ in shape.dependencies(index)
            if unsorted_dependencies[dependency]
        )
    cycle = path[position_on_path[index] :]
    return [index, *reversed(cycle)]
