"""What ordering a graph's nodes by the path behind them is worth, with the planner alone.

Generated graphs run on a fixed fleet, event by event, through the daemon's own `plan`; tasks take
their estimate times a factor that the planner does not know. Each graph is run twice with the same
luck: nodes in the order in which they became free, and by the longest estimated path behind them.
Given is the finishing time over its lower bound, the larger of the critical path and work over
capacity: 1.00 can't be beaten, and is often out of reach.

    python3 -m tools.graph_study --graphs 40
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from statistics import median, quantiles
from typing import Final

import click

from tealrill.graphs.model import Edge, Node, Shape, resolve
from tealrill.graphs.tracker import DONE, Progress
from tealrill.scheduler.model import JobView, MachineView, Policy, View
from tealrill.scheduler.plan import plan
from tealrill.types import JobId, MachineId, Monotonic

_CPUS: Final = 8.0
_ERROR: Final = 0.4
"""Spread of a task's real time around its estimate (log-normal)."""


def _shape(waits: list[list[int]], times: list[float]) -> Shape:
    nodes = [
        Node(
            key=f"n{i}",
            job={"pieces": 1, "guessS": times[i]},
            after=[Edge(node=f"n{up}") for up in sorted(set(ups))],
        )
        for i, ups in enumerate(waits)
    ]
    return resolve({}, 3, [nodes])


def _times(luck: random.Random, count: int) -> list[float]:
    return [luck.uniform(5.0, 60.0) for _ in range(count)]


def chains(luck: random.Random) -> Shape:
    """Chains of different lengths side by side."""
    waits: list[list[int]] = []
    for _ in range(luck.randint(12, 30)):
        for place in range(luck.randint(1, 12)):
            waits.append([len(waits) - 1] if place else [])
    return _shape(waits, _times(luck, len(waits)))


def fan_outs(luck: random.Random) -> Shape:
    """Families: one node, many behind it, one that waits for all of them."""
    waits: list[list[int]] = []
    for _ in range(luck.randint(3, 8)):
        first = len(waits)
        waits.append([])
        width = luck.randint(5, 40)
        waits += [[first] for _ in range(width)]
        waits.append(list(range(first + 1, first + 1 + width)))
    return _shape(waits, _times(luck, len(waits)))


def diamonds(luck: random.Random) -> Shape:
    """Diamonds one behind the other, several strings of them."""
    waits: list[list[int]] = []
    for _ in range(luck.randint(6, 14)):
        last: int | None = None
        for _ in range(luck.randint(1, 6)):
            first = len(waits)
            waits.append([] if last is None else [last])
            arms = luck.randint(2, 5)
            waits += [[first] for _ in range(arms)]
            last = len(waits)
            waits.append(list(range(first + 1, first + 1 + arms)))
    return _shape(waits, _times(luck, len(waits)))


def layered(luck: random.Random) -> Shape:
    """Random layers; each node waits for a few of earlier layers."""
    waits: list[list[int]] = []
    for layer in range(luck.randint(4, 9)):
        before = len(waits)
        for _ in range(luck.randint(8, 30)):
            ups = luck.sample(range(before), min(before, luck.randint(1, 4))) if layer else []
            waits.append(ups)
    return _shape(waits, _times(luck, len(waits)))


KINDS: Final[dict[str, Callable[[random.Random], Shape]]] = {
    "chains": chains,
    "fan-outs": fan_outs,
    "diamonds": diamonds,
    "layered": layered,
}


def _lower_bound(shape: Shape, took: list[float], cpus: list[float], capacity: float) -> float:
    ends = [0.0] * shape.nodes
    for index in shape.topological_order:
        begins = max((ends[up] for up, _ in shape.dependencies(index)), default=0.0)
        ends[index] = begins + took[index]
    work = sum(t * c for t, c in zip(took, cpus, strict=True))
    return max(*ends, work / capacity)


def finishing_time(
    shape: Shape, took: list[float], cpus: list[float], machines: int, by_path: bool
) -> float:
    """When the last node has ended, on machines of `_CPUS` processors."""
    progress = Progress(shape)
    progress.evaluate_all()
    free = [_CPUS] * machines
    waiting: dict[int, float] = {}
    running: list[tuple[float, int, int]] = []
    now = 0.0
    while not progress.all_ended:
        while (index := progress.next_ready()) is not None:
            progress.mark_released(index)
            waiting[index] = now
        views = [
            MachineView(
                MachineId(f"m{m:03d}"), "big", "north", False, free[m], 0.0, 64.0, _CPUS,
                Monotonic(now), 1.0, set(), False, (),
            )
            for m in range(machines)
        ]  # fmt: skip
        jobs = [
            JobView(
                JobId(f"g1-{i:05d}"), "red", 1, cpus[i], 0.0, 0.1, 1, 1, now - since, (),
                shape.estimate_s[i], "", 0.0, None, None, False, False, True, {},
                graph="g1", tail_s=progress.tail_s[i] if by_path else 0.0,
            )
            for i, since in waiting.items()
        ]  # fmt: skip
        result = plan(View(views, jobs, {}), Monotonic(now), Policy())
        for start in result.starts:
            index, machine = int(start.job[-5:]), int(start.machine[1:])
            del waiting[index]
            free[machine] -= cpus[index]
            heapq.heappush(running, (now + took[index], index, machine))
        now, index, machine = heapq.heappop(running)
        free[machine] += cpus[index]
        progress.record_end(index, DONE)
    return now


def study(kind: str, seed: int, machines: int) -> tuple[float, float]:
    """Finishing time over the lower bound: in the order of becoming free, and by path."""
    luck = random.Random(seed)
    shape = KINDS[kind](luck)
    took = [t * luck.lognormvariate(0.0, _ERROR) for t in shape.estimate_s]
    cpus = [luck.choice([1.0, 1.0, 2.0, 4.0]) for _ in took]
    bound = _lower_bound(shape, took, cpus, machines * _CPUS)
    first, path = (
        finishing_time(shape, took, cpus, machines, by_path) for by_path in (False, True)
    )
    return first / bound, path / bound


@click.command()
@click.option("--graphs", default=40, show_default=True, help="Graphs of each kind and fleet.")
@click.option("--machines", default=(2, 4, 8), multiple=True, type=int, show_default=True)
def main(graphs: int, machines: tuple[int, ...]) -> None:
    """Prints medians and ninth deciles for each kind of graph and size of fleet."""
    click.echo("graphs    machines  first come  by path  ratio   9th decile: first come  by path")
    for kind in KINDS:
        for count in machines:
            pairs = [study(kind, seed, count) for seed in range(graphs)]
            first, path = ([pair[side] for pair in pairs] for side in (0, 1))
            ratio = median(p / f for f, p in pairs)
            tails = [quantiles(side, n=10)[-1] for side in (first, path)]
            click.echo(
                f"{kind:<9} {count:>8}  {median(first):>10.3f}  {median(path):>7.3f}"
                f"  {ratio:.3f}  {tails[0]:>22.3f}  {tails[1]:>7.3f}"
            )


if __name__ == "__main__":
    main()
