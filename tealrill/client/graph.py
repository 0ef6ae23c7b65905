"""Builds graphs with an API like Ray's: calling a function with declared resources adds a node.

The call returns a reference; references among the arguments of another call become edges. The
function's body runs immediately, in the program that builds the graph, and never on a machine. The
fields that it returns, if any, replace those of the node's job, so that for example the image can
depend on the arguments. Strings and numbers among the arguments become part of the node's key.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from tealrill import wire

_WIRE_NAMES: Final = {
    field.name: field.encode_name
    for field in msgspec.structs.fields(wire.JobSpec)
    if field.name != "id"
}
"""A job's fields: their names in Python and in the protocol."""

_DEFAULTS: Final[dict[str, Any]] = {
    "shape": "sweep",
    "urgency": "standard",
    "pieces": 1,
    "gpus": 0.0,
    "builds": None,
    "hall": None,
    "samePlace": False,
    "scatter": False,
    "loaners": True,
    "snapshotS": 0.0,
    "flushS": 0.0,
}
_NOT_IN_KEY: Final = re.compile(r"[^A-Za-z0-9._-]+")
_MAX_GENERATED_KEY_LENGTH: Final = 90


@dataclass(frozen=True, slots=True)
class ObjectRef:
    """A reference to a node of a graph. It expresses that the node has ended, not its result."""

    graph: str
    index: int
    key: str

    @property
    def id(self) -> str:
        """Id of the node's job."""
        return f"{self.graph}-{self.index:05d}"


@dataclass(frozen=True, slots=True)
class Awaited:
    """A dependency on a node: per task or as a whole, and the outcome that it requires."""

    ref: ObjectRef
    each: bool = False
    when: str = "done"

    def edge(self) -> str | dict[str, Any]:
        """Return the dependency as an edge of the protocol."""
        if not self.each and self.when == "done":
            return self.ref.key
        return {"node": self.ref.key, "each": self.each, "when": self.when}


def each(ref: ObjectRef) -> Awaited:
    """Return a dependency per task: task i of the dependent node waits only for task i of `ref`."""
    return Awaited(ref, each=True)


def failed(ref: ObjectRef) -> Awaited:
    """Return a dependency on failure: the node runs if `ref` fails and is skipped otherwise."""
    return Awaited(ref, when="failed")


def ended(ref: ObjectRef) -> Awaited:
    """Return a dependency on the end: the node runs once `ref` has ended, whatever the outcome."""
    return Awaited(ref, when="ended")


def wire_fields(declared: dict[str, Any]) -> dict[str, Any]:
    """Return job fields under their names in the protocol; raises TypeError for unknown ones."""
    unknown = sorted(set(declared) - _WIRE_NAMES.keys())
    if unknown:
        raise TypeError(
            f"a job has no {', '.join(unknown)}; it has {', '.join(sorted(_WIRE_NAMES))}"
        )
    return {_WIRE_NAMES[name]: value for name, value in declared.items()}


class Task:
    """A function; each call of `remote` adds a node to its graph."""

    def __init__(
        self,
        graph: Graph,
        function: Callable[..., Any],
        declared: dict[str, Any],
        retries: int | None,
    ) -> None:
        self._graph = graph
        self._function = function
        self._fields = wire_fields(declared)
        self._max_retries = retries
        self.__name__ = function.__name__
        self.__doc__ = function.__doc__

    def options(self, *, max_retries: int | None = None, **declared: Any) -> Task:
        """Return a copy of this task with the given fields replaced."""
        task = Task(self._graph, self._function, {}, self._max_retries)
        task._fields = {**self._fields, **wire_fields(declared)}
        if max_retries is not None:
            task._max_retries = max_retries
        return task

    def remote(self, *arguments: Any, **named: Any) -> ObjectRef:
        """Add a node that depends on all references in the arguments, also inside collections."""
        overrides = self._function(*arguments, **named)
        if overrides is not None and not isinstance(overrides, dict):
            raise TypeError(f"{self.__name__} must return a dict of job fields or None")
        inputs = [*arguments, *named.values()]
        return self._graph.add(
            _node_key(self.__name__, inputs),
            {**self._fields, **wire_fields(overrides or {})},
            list(_dependencies_in(inputs)),
            self._max_retries,
        )

    def map(self, values: Iterable[Any]) -> list[ObjectRef]:
        """Add a node for each value and return their references."""
        return [self.remote(value) for value in values]

    def __call__(self, *_: Any, **__: Any) -> Any:
        """Raise TypeError: nodes are added by `remote`."""
        raise TypeError(f"{self.__name__} is a task: call {self.__name__}.remote(...) instead")


class Graph:
    """A graph under construction. The same calls in the same order build the same graph."""

    def __init__(
        self,
        id: str,
        *,
        on_failure: str = "finish",
        deadline_s: float | None = None,
        max_retries: int | None = None,
        **defaults: Any,
    ) -> None:
        """Create an empty graph.

        `defaults` are job fields for all nodes; `deadline_s` applies to the graph as a whole.
        """
        self.id = id
        self._head: dict[str, Any] = {
            "id": id,
            "defaults": {**_DEFAULTS, **wire_fields(defaults)},
            "onFailure": on_failure,
        }
        if deadline_s is not None:
            self._head["dueS"] = deadline_s
        if max_retries is not None:
            self._head["maxRetries"] = max_retries
        self._nodes: list[dict[str, Any]] = []
        self._refs: dict[str, ObjectRef] = {}

    def remote(
        self, *, max_retries: int | None = None, **declared: Any
    ) -> Callable[[Callable[..., Any]], Task]:
        """Return a decorator that makes a function a `Task` with these job fields."""

        def decorate(function: Callable[..., Any]) -> Task:
            return Task(self, function, declared, max_retries)

        return decorate

    def add(
        self,
        key: str,
        job: dict[str, Any],
        after: Iterable[Awaited] = (),
        retries: int | None = None,
    ) -> ObjectRef:
        """Add a node; `job` has the protocol's fields. A key in use gets a numeric suffix."""
        suffix = 2
        unique_key = key
        while unique_key in self._refs:
            unique_key, suffix = f"{key}.{suffix}", suffix + 1
        edges: dict[str, Awaited] = {}
        for dependency in after:
            if self._refs.get(dependency.ref.key) != dependency.ref:
                raise ValueError(
                    f"dependency {dependency.ref.key!r} is no node of graph {self.id!r}"
                )
            if edges.setdefault(dependency.ref.key, dependency) != dependency:
                raise ValueError(
                    f"node {unique_key!r} waits for {dependency.ref.key!r} in two ways"
                )
        node: dict[str, Any] = {"key": unique_key, "job": job}
        if edges:
            node["after"] = [dependency.edge() for dependency in edges.values()]
        if retries is not None:
            node["maxRetries"] = retries
        ref = ObjectRef(self.id, len(self._nodes), unique_key)
        self._nodes.append(node)
        self._refs[unique_key] = ref
        return ref

    def __len__(self) -> int:
        return len(self._nodes)

    def __getitem__(self, key: str) -> ObjectRef:
        return self._refs[key]

    @property
    def refs(self) -> list[ObjectRef]:
        """References to all nodes in the order of their addition."""
        return list(self._refs.values())

    @property
    def head(self) -> dict[str, Any]:
        """The fields of the submission apart from its nodes."""
        return self._head

    @property
    def nodes(self) -> list[dict[str, Any]]:
        """The nodes in the fields of the protocol."""
        return self._nodes

    def message(self) -> dict[str, Any]:
        """Return the whole graph as one submission."""
        return {**self._head, "nodes": self._nodes}


def _dependencies_in(inputs: Iterable[Any]) -> Iterator[Awaited]:
    for value in inputs:
        if isinstance(value, Awaited):
            yield value
        elif isinstance(value, ObjectRef):
            yield Awaited(value)
        elif isinstance(value, (list, tuple, set, frozenset)):
            yield from _dependencies_in(value)
        elif isinstance(value, dict):
            yield from _dependencies_in(value.values())


def _node_key(name: str, inputs: Iterable[Any]) -> str:
    """Return a node key from the function's name and the call's arguments.

    A reference contributes what its key has after the first hyphen, a collection nothing.
    """
    parts = [name]
    for value in inputs:
        if isinstance(value, (str, int, float)):
            parts.append(_NOT_IN_KEY.sub("_", str(value)))
        elif isinstance(value, (ObjectRef, Awaited)):
            ref = value.ref if isinstance(value, Awaited) else value
            suffix = ref.key.partition("-")[2]
            if suffix:
                parts.append(suffix)
    return "-".join(parts)[:_MAX_GENERATED_KEY_LENGTH]
