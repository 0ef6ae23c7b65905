"""Draws a graph in Ray's words: functions with declared resources become nodes when called.

A function's call returns a reference; references among the arguments of another call become edges.
The function's body runs at once, where the graph is drawn, and never on a machine: what it returns
(if anything) replaces fields of the node's job, so that for instance the image can follow from the
arguments. Plain arguments are part of the node's key and nothing else.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from tealrill import wire

_WORDS: Final = {
    field.name: field.encode_name
    for field in msgspec.structs.fields(wire.JobSpec)
    if field.name != "id"
}
"""The field's words for a job, and the protocol's."""

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
_KEY: Final = re.compile(r"[^A-Za-z0-9._-]+")
_MOST_KEY: Final = 90


@dataclass(frozen=True, slots=True)
class ObjectRef:
    """Stands for a node of a graph: that it ended, not what it made."""

    graph: str
    index: int
    key: str

    @property
    def id(self) -> str:
        """The node's job id."""
        return f"{self.graph}-{self.index:05d}"


@dataclass(frozen=True, slots=True)
class Awaited:
    """A reference, and what of it is waited for."""

    ref: ObjectRef
    each: bool = False
    when: str = "done"

    def edge(self) -> str | dict[str, Any]:
        """Return the reference as an edge in the words of the protocol."""
        if not self.each and self.when == "done":
            return self.ref.key
        return {"node": self.ref.key, "each": self.each, "when": self.when}


def each(ref: ObjectRef) -> Awaited:
    """Task i of the node that is given this waits for task i of `ref` only."""
    return Awaited(ref, each=True)


def failed(ref: ObjectRef) -> Awaited:
    """The node that is given this runs if `ref` fails, and is skipped if it does not."""
    return Awaited(ref, when="failed")


def ended(ref: ObjectRef) -> Awaited:
    """The node that is given this runs once `ref` is over, however it ended."""
    return Awaited(ref, when="ended")


def fields(declared: dict[str, Any]) -> dict[str, Any]:
    """Fields in the protocol's words; raises TypeError for one that a job does not have."""
    unknown = sorted(set(declared) - _WORDS.keys())
    if unknown:
        raise TypeError(f"a job has no {', '.join(unknown)}; it has {', '.join(sorted(_WORDS))}")
    return {_WORDS[name]: value for name, value in declared.items()}


class Task:
    """A function whose calls become nodes."""

    def __init__(
        self,
        graph: Graph,
        function: Callable[..., Any],
        declared: dict[str, Any],
        retries: int | None,
    ) -> None:
        self._graph = graph
        self._function = function
        self._fields = fields(declared)
        self._retries = retries
        self.__name__ = function.__name__
        self.__doc__ = function.__doc__

    def options(self, *, max_retries: int | None = None, **declared: Any) -> Task:
        """The same with other resources."""
        found = Task(self._graph, self._function, {}, self._retries)
        found._fields = {**self._fields, **fields(declared)}
        if max_retries is not None:
            found._retries = max_retries
        return found

    def remote(self, *arguments: Any, **named: Any) -> ObjectRef:
        """Adds a node; it waits for every reference among the arguments, lists included."""
        changed = self._function(*arguments, **named)
        if changed is not None and not isinstance(changed, dict):
            raise TypeError(f"{self.__name__} returns fields of its job or nothing")
        given = [*arguments, *named.values()]
        return self._graph.add(
            _label(self.__name__, given),
            {**self._fields, **fields(changed or {})},
            list(_awaited(given)),
            self._retries,
        )

    def map(self, values: Iterable[Any]) -> list[ObjectRef]:
        """A node for each value."""
        return [self.remote(value) for value in values]

    def __call__(self, *_: Any, **__: Any) -> Any:
        """Refuse: the function's body runs on a machine."""
        raise TypeError(f"{self.__name__} runs as a task: use {self.__name__}.remote(...)")


class Graph:
    """A graph that is being drawn. The same calls in the same order draw the same graph."""

    def __init__(
        self,
        id: str,
        *,
        on_failure: str = "finish",
        deadline_s: float | None = None,
        max_retries: int | None = None,
        **defaults: Any,
    ) -> None:
        """`defaults` are fields of every node's job. `deadline_s` is for the whole graph."""
        self.id = id
        self._head: dict[str, Any] = {
            "id": id,
            "defaults": {**_DEFAULTS, **fields(defaults)},
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
        """Makes a function's calls into nodes with these resources."""

        def make(function: Callable[..., Any]) -> Task:
            return Task(self, function, declared, max_retries)

        return make

    def add(
        self,
        key: str,
        job: dict[str, Any],
        after: Iterable[Awaited] = (),
        retries: int | None = None,
    ) -> ObjectRef:
        """Adds a node by hand; `job` in the protocol's words."""
        number = 2
        unique = key
        while unique in self._refs:
            unique, number = f"{key}.{number}", number + 1
        edges: dict[str, Awaited] = {}
        for awaited in after:
            if self._refs.get(awaited.ref.key) != awaited.ref:
                raise ValueError(f"{awaited.ref.key!r} is no node of graph {self.id}")
            if edges.setdefault(awaited.ref.key, awaited) != awaited:
                raise ValueError(f"{unique} waits for {awaited.ref.key!r} in two ways")
        node: dict[str, Any] = {"key": unique, "job": job}
        if edges:
            node["after"] = [awaited.edge() for awaited in edges.values()]
        if retries is not None:
            node["maxRetries"] = retries
        ref = ObjectRef(self.id, len(self._nodes), unique)
        self._nodes.append(node)
        self._refs[unique] = ref
        return ref

    def __len__(self) -> int:
        return len(self._nodes)

    def __getitem__(self, key: str) -> ObjectRef:
        return self._refs[key]

    @property
    def refs(self) -> list[ObjectRef]:
        """References to all nodes, in the order in which they were added."""
        return list(self._refs.values())

    @property
    def head(self) -> dict[str, Any]:
        """What is submitted beside the nodes."""
        return self._head

    @property
    def nodes(self) -> list[dict[str, Any]]:
        """The nodes in the words of the protocol."""
        return self._nodes

    def message(self) -> dict[str, Any]:
        """The whole graph as one submission."""
        return {**self._head, "nodes": self._nodes}


def _awaited(given: Iterable[Any]) -> Iterator[Awaited]:
    for value in given:
        if isinstance(value, Awaited):
            yield value
        elif isinstance(value, ObjectRef):
            yield Awaited(value)
        elif isinstance(value, (list, tuple, set, frozenset)):
            yield from _awaited(value)
        elif isinstance(value, dict):
            yield from _awaited(value.values())


def _label(name: str, given: Iterable[Any]) -> str:
    """A key that says which call it was, as far as plain arguments say it."""
    parts = [name]
    for value in given:
        if isinstance(value, (str, int, float)):
            parts.append(_KEY.sub("_", str(value)))
        elif isinstance(value, (ObjectRef, Awaited)):
            ref = value.ref if isinstance(value, Awaited) else value
            rest = ref.key.partition("-")[2]
            if rest:
                parts.append(rest)
    return "-".join(parts)[:_MOST_KEY]
