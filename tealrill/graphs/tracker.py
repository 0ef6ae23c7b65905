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

from tealrill.graphs.model import ON_DONE, ON_ENDED, ON_FAILED, PER_TASK, Shape
from tealrill.state.records import OUTCOME_CANCELLED, OUTCOME_DONE, OUTCOME_FAILED, OUTCOME_SKIPPED

GATED: Final = 0
"""It waits for dependencies."""
READY: Final = 1
"""It may run; its release is pending."""
RELEASED: Final = 2
"""It is an ordinary job."""
DONE: Final = 3
FAILED: Final = 4
CANCELLED: Final = 5
SKIPPED: Final = 6

NODE_STATES: Final = ("gated", "ready", "released", "done", "failed", "cancelled", "skipped")
_STATE_OF_OUTCOME: Final = {
    OUTCOME_DONE: DONE,
    OUTCOME_FAILED: FAILED,
    OUTCOME_CANCELLED: CANCELLED,
    OUTCOME_SKIPPED: SKIPPED,
}


def outcome_state(outcome: str) -> int:
    """Return the state of a node whose job ended with `outcome`."""
    return _STATE_OF_OUTCOME.get(outcome, CANCELLED)


def _is_satisfied(kind: int, state: int) -> bool:
    """Return True if an edge is satisfied by a dependency that ended in `state`."""
    if kind in (ON_DONE, PER_TASK):
        return state == DONE
    if kind == ON_FAILED:
        return state == FAILED
    assert kind == ON_ENDED
    return True


class Progress:
    """Progress of one graph."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.state = bytearray(shape.nodes)
        self.counts = [shape.nodes, *([0] * (len(NODE_STATES) - 1))]
        self.tail_s = shape.tails()
        self._unsatisfied = array("I", bytes(4 * shape.nodes))
        """Per node: its unsatisfied edges, without those per task."""
        self._unreleased = array("I", bytes(4 * shape.nodes))
        """Per node: its dependencies that are neither released nor ended."""
        self._task_dependencies: dict[int, tuple[int, ...]] = {}
        """Per node with edges per task: those dependencies."""
        self._task_dependents: dict[int, tuple[int, ...]] = {}
        """Per node: the dependents that wait for it task by task."""
        self.done_tasks: dict[int, bytearray] = {}
        """Per released node with such dependents: 1 for each task known to be done."""
        self._ready: list[tuple[float, int]] = []
        """Heap of ready nodes, the one with the longest path behind it first."""
        self.stuck: list[int] = []
        """Released nodes that can't end by themselves, because some of their tasks will never be
        unblocked."""
        self.nearly_ready: set[int] = set()
        """Gated nodes whose dependencies are all released or ended."""
        for index in range(shape.nodes):
            each = tuple(other for other, kind in shape.dependencies(index) if kind == PER_TASK)
            if each:
                self._task_dependencies[index] = each
            task_dependents = tuple(
                other for other, kind in shape.dependents(index) if kind == PER_TASK
            )
            if task_dependents:
                self._task_dependents[index] = task_dependents
            dependency_count = shape.in_first[index + 1] - shape.in_first[index]
            self._unsatisfied[index] = dependency_count - len(each)
            self._unreleased[index] = dependency_count

    @property
    def all_ended(self) -> bool:
        """Return True if every node has ended; a skipped or cancelled node has, too."""
        return not any(self.counts[:DONE])

    def counts_by_state(self) -> dict[str, int]:
        """Return the number of nodes by state."""
        return dict(zip(NODE_STATES, self.counts, strict=True))

    def task_dependencies(self, index: int) -> tuple[int, ...]:
        """Return the dependencies that a node waits for task by task."""
        return self._task_dependencies.get(index, ())

    def has_task_dependents(self, index: int) -> bool:
        """Return True if other nodes wait for single tasks of a node."""
        return index in self._task_dependents

    def _set_state(self, index: int, state: int) -> None:
        self.counts[self.state[index]] -= 1
        self.counts[state] += 1
        self.state[index] = state
        if state != GATED:
            self.nearly_ready.discard(index)

    # -- readiness ------------------------------------------------------------------------------

    def evaluate_all(self) -> None:
        """Evaluate every node once, after the releases and ends known at the start are applied."""
        for index in range(self.shape.nodes):
            self._evaluate(index)

    def _evaluate(self, index: int) -> None:
        """Make a gated node ready if its dependencies are satisfied.

        With edges per task it is ready once all those dependencies are released or ended and one of
        its tasks may run.
        """
        if self.state[index] != GATED or self._unsatisfied[index]:
            return
        each = self._task_dependencies.get(index)
        if each is not None and not self._any_task_unblocked(index, each):
            return
        self._set_state(index, READY)
        heapq.heappush(self._ready, (-self.tail_s[index], index))

    def _any_task_unblocked(self, index: int, each: tuple[int, ...]) -> bool:
        if any(self.state[dependency] in (GATED, READY) for dependency in each):
            return False
        return any(True for _ in self.unblocked_tasks(index))

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

    def requeue(self, index: int) -> None:
        """Queue a ready node again after its release was not executed."""
        if self.state[index] == READY:
            heapq.heappush(self._ready, (-self.tail_s[index], index))

    def mark_released(self, index: int) -> None:
        """Record that a node is an ordinary job now."""
        if self.state[index] > READY:
            return
        self._set_state(index, RELEASED)
        if index in self._task_dependents:
            self.done_tasks.setdefault(index, bytearray(self.shape.tasks[index]))
        self._count_release(index)

    def _count_release(self, index: int) -> None:
        for dependent, _ in self.shape.dependents(index):
            self._unreleased[dependent] -= 1
            if not self._unreleased[dependent] and self.state[dependent] == GATED:
                self.nearly_ready.add(dependent)

    # -- single tasks ---------------------------------------------------------------------------

    def record_tasks_done(self, index: int, tasks: list[int]) -> list[tuple[int, int]]:
        """Record that tasks of a node are done and committed.

        Return the tasks of released nodes that may run now, as (node, task).
        """
        done_tasks = self.done_tasks.get(index)
        if done_tasks is None:
            return []
        for task in tasks:
            done_tasks[task] = 1
        unblocked: list[tuple[int, int]] = []
        for dependent in self._task_dependents.get(index, ()):
            self._evaluate(dependent)
            if self.state[dependent] == RELEASED:
                each = self._task_dependencies[dependent]
                unblocked += [(dependent, t) for t in tasks if self._is_unblocked(each, t)]
        return unblocked

    def _is_unblocked(self, each: tuple[int, ...], task: int) -> bool:
        for dependency in each:
            if self.state[dependency] == DONE:
                continue
            done_tasks = self.done_tasks.get(dependency)
            if done_tasks is None or not done_tasks[task]:
                return False
        return True

    def unblocked_tasks(self, index: int) -> Iterator[int]:
        """Yield the tasks that may run, of a node with edges per task."""
        each = self._task_dependencies.get(index, ())
        for task in range(self.shape.tasks[index]):
            if self._is_unblocked(each, task):
                yield task

    # -- ends -----------------------------------------------------------------------------------

    def record_end(self, index: int, state: int) -> list[int]:
        """Record that a node has ended, and skip the nodes that can't run any more.

        Return the released nodes that waited for its single tasks: more of their tasks may run now.
        Nodes that become ready are returned by `next_ready`; released nodes that can't end any more
        are added to `stuck`.
        """
        unblocked: list[int] = []
        ended = [(index, state)]
        while ended:
            node, end_state = ended.pop()
            previous_state = self.state[node]
            if previous_state >= DONE:
                continue
            if previous_state == RELEASED and end_state == SKIPPED and node != index:
                # Its job exists and is ended by its own record.
                self.stuck.append(node)
                continue
            self._set_state(node, end_state)
            self.done_tasks.pop(node, None)
            if previous_state < RELEASED:
                self._count_release(node)
            for dependent, kind in self.shape.dependents(node):
                if not _is_satisfied(kind, end_state):
                    ended.append((dependent, SKIPPED))
                    continue
                if kind != PER_TASK:
                    self._unsatisfied[dependent] -= 1
                elif self.state[dependent] == RELEASED:
                    unblocked.append(dependent)
                self._evaluate(dependent)
        return unblocked
