"""Progress of an accepted graph: the state of each node. Pure, without I/O or clock.

When a node ends, each edge to a dependent is either satisfied or can never be satisfied any more. A
node all of whose edges are satisfied is ready. A node with an edge that can't be satisfied is
skipped, which is its outcome for its own dependents. All updates are idempotent: a node's first
outcome is final.
"""

from __future__ import annotations

import heapq
from array import array
from collections.abc import Iterator
from typing import Final

from tealrill.graphs.model import DONE, EACH, ENDED, FAILED, Shape
from tealrill.state.records import OUTCOME_CANCELLED, OUTCOME_DONE, OUTCOME_FAILED, OUTCOME_SKIPPED

GATED: Final = 0
"""It waits for dependencies."""
READY: Final = 1
"""It may run; its release is pending."""
RELEASED: Final = 2
"""It is an ordinary job."""
OVER_DONE: Final = 3
OVER_FAILED: Final = 4
OVER_CANCELLED: Final = 5
OVER_SKIPPED: Final = 6

STATES: Final = ("gated", "ready", "released", "done", "failed", "cancelled", "skipped")
_OUTCOMES: Final = {
    OUTCOME_DONE: OVER_DONE,
    OUTCOME_FAILED: OVER_FAILED,
    OUTCOME_CANCELLED: OVER_CANCELLED,
    OUTCOME_SKIPPED: OVER_SKIPPED,
}


def outcome_state(outcome: str) -> int:
    """Return the state of a node whose job ended with `outcome`."""
    return _OUTCOMES.get(outcome, OVER_CANCELLED)


def _fires(kind: int, state: int) -> bool:
    """Return True if an edge is satisfied by a dependency that ended in `state`."""
    if kind in (DONE, EACH):
        return state == OVER_DONE
    if kind == FAILED:
        return state == OVER_FAILED
    assert kind == ENDED
    return True


class Progress:
    """Progress of one graph."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.state = bytearray(shape.nodes)
        self.counts = [shape.nodes, *([0] * (len(STATES) - 1))]
        self.tail_s = shape.tails()
        self._unfired = array("I", bytes(4 * shape.nodes))
        """Per node: its unsatisfied edges, without those per task."""
        self._unreleased = array("I", bytes(4 * shape.nodes))
        """Per node: its dependencies that are neither released nor ended."""
        self._each: dict[int, tuple[int, ...]] = {}
        """Per node with edges per task: those dependencies."""
        self._followed: dict[int, tuple[int, ...]] = {}
        """Per node: the dependents that wait for it task by task."""
        self.elements: dict[int, bytearray] = {}
        """Per released node with such dependents: 1 for each task known to be done."""
        self._ready: list[tuple[float, int]] = []
        """Heap of ready nodes, the one with the longest path behind it first."""
        self.stuck: list[int] = []
        """Released nodes that can't end by themselves, because some of their tasks will never be
        unblocked."""
        self.near: set[int] = set()
        """Gated nodes whose dependencies are all released or ended."""
        for index in range(shape.nodes):
            each = tuple(other for other, kind in shape.awaited(index) if kind == EACH)
            if each:
                self._each[index] = each
            followed = tuple(other for other, kind in shape.followers(index) if kind == EACH)
            if followed:
                self._followed[index] = followed
            waits = shape.in_first[index + 1] - shape.in_first[index]
            self._unfired[index] = waits - len(each)
            self._unreleased[index] = waits

    @property
    def over(self) -> bool:
        """Return True if every node has ended; a skipped or cancelled node has, too."""
        return not any(self.counts[:OVER_DONE])

    def counted(self) -> dict[str, int]:
        """Return the number of nodes by state."""
        return dict(zip(STATES, self.counts, strict=True))

    def waits_each(self, index: int) -> tuple[int, ...]:
        """Return the dependencies that a node waits for task by task."""
        return self._each.get(index, ())

    def is_followed(self, index: int) -> bool:
        """Return True if other nodes wait for single tasks of a node."""
        return index in self._followed

    def _set(self, index: int, state: int) -> None:
        self.counts[self.state[index]] -= 1
        self.counts[state] += 1
        self.state[index] = state
        if state != GATED:
            self.near.discard(index)

    # -- readiness ------------------------------------------------------------------------------

    def begin(self) -> None:
        """Evaluate every node once, after the releases and ends known at the start are applied."""
        for index in range(self.shape.nodes):
            self._look(index)

    def _look(self, index: int) -> None:
        """Make a gated node ready if its dependencies are satisfied.

        With edges per task it is ready once all those dependencies are released or ended and one of
        its tasks may run.
        """
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
        """Remove and return the ready node with the longest path behind it; None without any."""
        while self._ready:
            _, index = heapq.heappop(self._ready)
            if self.state[index] == READY:
                return index
        return None

    @property
    def has_ready(self) -> bool:
        """Return True if a node is to be released."""
        return self.counts[READY] > 0 and bool(self._ready)

    def put_back(self, index: int) -> None:
        """Queue a ready node again after its release was not executed."""
        if self.state[index] == READY:
            heapq.heappush(self._ready, (-self.tail_s[index], index))

    def released(self, index: int) -> None:
        """Record that a node is an ordinary job now."""
        if self.state[index] > READY:
            return
        self._set(index, RELEASED)
        if index in self._followed:
            self.elements.setdefault(index, bytearray(self.shape.tasks[index]))
        self._told_followers(index)

    def _told_followers(self, index: int) -> None:
        for follower, _ in self.shape.followers(index):
            self._unreleased[follower] -= 1
            if not self._unreleased[follower] and self.state[follower] == GATED:
                self.near.add(follower)

    # -- single tasks ---------------------------------------------------------------------------

    def tasks_done(self, index: int, tasks: list[int]) -> list[tuple[int, int]]:
        """Record that tasks of a node are done and committed.

        Return the tasks of released nodes that may run now, as (node, task).
        """
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
            if self.state[up] == OVER_DONE:
                continue
            elements = self.elements.get(up)
            if elements is None or not elements[task]:
                return False
        return True

    def open_elements(self, index: int) -> Iterator[int]:
        """Yield the tasks that may run, of a node with edges per task."""
        each = self._each.get(index, ())
        for task in range(self.shape.tasks[index]):
            if self._element_open(each, task):
                yield task

    # -- ends -----------------------------------------------------------------------------------

    def settle(self, index: int, state: int) -> list[int]:
        """Record that a node has ended, and skip the nodes that can't run any more.

        Return the released nodes that waited for its single tasks: more of their tasks may run now.
        Nodes that become ready are returned by `next_ready`; released nodes that can't end any more
        are added to `stuck`.
        """
        freed: list[int] = []
        told = [(index, state)]
        while told:
            node, how = told.pop()
            before = self.state[node]
            if before >= OVER_DONE:
                continue
            if before == RELEASED and how == OVER_SKIPPED and node != index:
                # Its job exists and is ended by its own record.
                self.stuck.append(node)
                continue
            self._set(node, how)
            self.elements.pop(node, None)
            if before < RELEASED:
                self._told_followers(node)
            for follower, kind in self.shape.followers(node):
                if not _fires(kind, how):
                    told.append((follower, OVER_SKIPPED))
                    continue
                if kind != EACH:
                    self._unfired[follower] -= 1
                elif self.state[follower] == RELEASED:
                    freed.append(follower)
                self._look(follower)
        return freed
