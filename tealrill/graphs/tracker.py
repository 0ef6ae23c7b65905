"""How far an accepted graph is: which nodes are gated, released, over; pure.

A node's outcome is told to its followers: each edge fires, or can never fire any more. A node all
of whose edges fired is ready; one of whose edges can't fire is skipped, and that is its own outcome
for the nodes behind it. Everything here can be told twice; the first word counts.
"""

from __future__ import annotations

import heapq
from array import array
from collections.abc import Iterator
from typing import Final

from tealrill.graphs.model import ON_DONE, ON_ENDED, ON_FAILED, PER_TASK, Shape
from tealrill.state.records import OUTCOME_CANCELLED, OUTCOME_DONE, OUTCOME_FAILED, OUTCOME_SKIPPED

GATED: Final = 0
READY: Final = 1
"""All it waits for has come; its release is under way."""
RELEASED: Final = 2
"""An ordinary job."""
DONE: Final = 3
FAILED: Final = 4
CANCELLED: Final = 5
SKIPPED: Final = 6

NODE_STATES: Final = ("gated", "ready", "released", "done", "failed", "cancelled", "skipped")
_OUTCOMES: Final = {
    OUTCOME_DONE: DONE,
    OUTCOME_FAILED: FAILED,
    OUTCOME_CANCELLED: CANCELLED,
    OUTCOME_SKIPPED: SKIPPED,
}


def outcome_state(outcome: str) -> int:
    """Return the state of a node whose job ended with `outcome`."""
    return _OUTCOMES.get(outcome, CANCELLED)


def _fires(kind: int, state: int) -> bool:
    """Whether an edge lets its node go when what it waits for has ended like this."""
    if kind in (ON_DONE, PER_TASK):
        return state == DONE
    if kind == ON_FAILED:
        return state == FAILED
    assert kind == ON_ENDED
    return True


class Progress:
    """One graph's progress."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.state = bytearray(shape.nodes)
        self.counts = [shape.nodes, *([0] * (len(NODE_STATES) - 1))]
        self.tail_s = shape.tails()
        self._unfired = array("I", bytes(4 * shape.nodes))
        """Edges to whole nodes that have not fired."""
        self._unreleased = array("I", bytes(4 * shape.nodes))
        """Awaited nodes that are still gated themselves."""
        self._each: dict[int, tuple[int, ...]] = {}
        """Per node that waits task by task: for whom."""
        self._followed: dict[int, tuple[int, ...]] = {}
        """Per node whose tasks are waited for one by one: by whom."""
        self.elements: dict[int, bytearray] = {}
        """Of released nodes with such followers: the tasks known to be done."""
        self._ready: list[tuple[float, int]] = []
        self.stuck: list[int] = []
        """Released nodes that can't end by themselves: some of their tasks will never be let go."""
        self.near: set[int] = set()
        """Gated nodes that wait for released ones only."""
        for index in range(shape.nodes):
            each = tuple(other for other, kind in shape.dependencies(index) if kind == PER_TASK)
            if each:
                self._each[index] = each
            followed = tuple(other for other, kind in shape.dependents(index) if kind == PER_TASK)
            if followed:
                self._followed[index] = followed
            waits = shape.in_first[index + 1] - shape.in_first[index]
            self._unfired[index] = waits - len(each)
            self._unreleased[index] = waits

    @property
    def all_ended(self) -> bool:
        """Whether every node has ended or never will begin."""
        return not any(self.counts[:DONE])

    def counted(self) -> dict[str, int]:
        """Return the number of nodes by state."""
        return dict(zip(NODE_STATES, self.counts, strict=True))

    def task_dependencies(self, index: int) -> tuple[int, ...]:
        """Return the nodes that this one waits for task by task."""
        return self._each.get(index, ())

    def is_followed(self, index: int) -> bool:
        """Whether other nodes wait for its single tasks."""
        return index in self._followed

    def _set(self, index: int, state: int) -> None:
        self.counts[self.state[index]] -= 1
        self.counts[state] += 1
        self.state[index] = state
        if state != GATED:
            self.near.discard(index)

    # -- the beginning --------------------------------------------------------------------------

    def evaluate_all(self) -> None:
        """Looks at every node once, after what was known at the start has been told."""
        for index in range(self.shape.nodes):
            self._look(index)

    def _look(self, index: int) -> None:
        """Makes a node ready when nothing holds it any more."""
        if self.state[index] != GATED or self._unfired[index]:
            return
        each = self._each.get(index)
        if each is not None and not self._any_open(index, each):
            return
        self._set(index, READY)
        heapq.heappush(self._ready, (-self.tail_s[index], index))

    def _any_open(self, index: int, each: tuple[int, ...]) -> bool:
        if any(self.state[up] in (GATED, READY) for up in each):
            return False
        return any(True for _ in self.open_elements(index))

    # -- release --------------------------------------------------------------------------------

    def next_ready(self) -> int | None:
        """The ready node with the longest path behind it; it is handed out once."""
        while self._ready:
            _, index = heapq.heappop(self._ready)
            if self.state[index] == READY:
                return index
        return None

    @property
    def has_ready(self) -> bool:
        """Whether a node may be released."""
        return self.counts[READY] > 0 and bool(self._ready)

    def put_back(self, index: int) -> None:
        """Its release was not written."""
        if self.state[index] == READY:
            heapq.heappush(self._ready, (-self.tail_s[index], index))

    def mark_released(self, index: int) -> None:
        """It is an ordinary job now."""
        if self.state[index] > READY:
            return
        self._set(index, RELEASED)
        if index in self._followed:
            self.elements.setdefault(index, bytearray(self.shape.tasks[index]))
        self._told_followers(index)

    def _told_followers(self, index: int) -> None:
        for follower, _ in self.shape.dependents(index):
            self._unreleased[follower] -= 1
            if not self._unreleased[follower] and self.state[follower] == GATED:
                self.near.add(follower)

    # -- single tasks ---------------------------------------------------------------------------

    def tasks_done(self, index: int, tasks: list[int]) -> list[tuple[int, int]]:
        """Tasks of a node are known to be done for good; the (node, task) that this lets go."""
        elements = self.elements.get(index)
        if elements is None:
            return []
        for task in tasks:
            elements[task] = 1
        freed: list[tuple[int, int]] = []
        for follower in self._followed.get(index, ()):
            self._look(follower)
            if self.state[follower] == RELEASED:
                each = self._each[follower]
                freed += [(follower, t) for t in tasks if self._element_open(each, t)]
        return freed

    def _element_open(self, each: tuple[int, ...], task: int) -> bool:
        for up in each:
            if self.state[up] == DONE:
                continue
            elements = self.elements.get(up)
            if elements is None or not elements[task]:
                return False
        return True

    def open_elements(self, index: int) -> Iterator[int]:
        """The tasks of a node that waits task by task which may run."""
        each = self._each.get(index, ())
        for task in range(self.shape.tasks[index]):
            if self._element_open(each, task):
                yield task

    # -- ends -----------------------------------------------------------------------------------

    def record_end(self, index: int, state: int) -> list[int]:
        """A node has ended; returns released nodes all of whose tasks may run now.

        Nodes that become ready are handed out by `next_ready`, those that can't end are in `stuck`.
        """
        freed: list[int] = []
        told = [(index, state)]
        while told:
            node, how = told.pop()
            before = self.state[node]
            if before >= DONE:
                continue
            if before == RELEASED and how == SKIPPED and node != index:
                # Its job exists, and ends by a record of its own.
                self.stuck.append(node)
                continue
            self._set(node, how)
            self.elements.pop(node, None)
            if before < RELEASED:
                self._told_followers(node)
            for follower, kind in self.shape.dependents(node):
                if not _fires(kind, how):
                    told.append((follower, SKIPPED))
                    continue
                if kind != PER_TASK:
                    self._unfired[follower] -= 1
                elif self.state[follower] == RELEASED:
                    freed.append(follower)
                self._look(follower)
        return freed
