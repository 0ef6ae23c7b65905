"""Compare two orders of a graph's nodes, in an event simulation of the planner alone.

Random graphs run on a fixed fleet through the daemon's own `plan`. Tasks take their estimate times
a random factor that the planner does not know. Each graph is run twice with the same factors: nodes
in the order in which they became ready, and by the longest estimated path behind them.

The result is the makespan relative to its lower bound, the larger of the critical path and work
divided by capacity: 1.00 is optimal, and often not reachable.

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
_RUN_TIME_SIGMA: Final = 0.4
"""Standard deviation of the logarithm of a task's run time over its estimate (log-normal)."""


def _build_shape(predecessors: list[list[int]], estimates_s: list[float]) -> Shape:
    nodes = [
        Node(
            key=f"n{i}",
            job={"pieces": 1, "guessS": estimates_s[i]},
            after=[Edge(node=f"n{predecessor}") for predecessor in sorted(set(indices))],
        )
        for i, indices in enumerate(predecessors)
    ]
    return resolve({}, 3, [nodes])


def _draw_estimates(rng: random.Random, count: int) -> list[float]:
    return [rng.uniform(5.0, 60.0) for _ in range(count)]


def chains(rng: random.Random) -> Shape:
    """Return a graph of independent chains of different lengths."""
    predecessors: list[list[int]] = []
    for _ in range(rng.randint(12, 30)):
        for place in range(rng.randint(1, 12)):
            predecessors.append([len(predecessors) - 1] if place else [])
    return _build_shape(predecessors, _draw_estimates(rng, len(predecessors)))


def fan_outs(rng: random.Random) -> Shape:
    """Return a graph of families: a root, many nodes after it, and one that depends on them."""
    predecessors: list[list[int]] = []
    for _ in range(rng.randint(3, 8)):
        root = len(predecessors)
        predecessors.append([])
        width = rng.randint(5, 40)
        predecessors += [[root] for _ in range(width)]
        predecessors.append(list(range(root + 1, root + 1 + width)))
    return _build_shape(predecessors, _draw_estimates(rng, len(predecessors)))


def diamonds(rng: random.Random) -> Shape:
    """Return a graph of several sequences of diamonds."""
    predecessors: list[list[int]] = []
    for _ in range(rng.randint(6, 14)):
        join: int | None = None
        for _ in range(rng.randint(1, 6)):
            split = len(predecessors)
            predecessors.append([] if join is None else [join])
            arms = rng.randint(2, 5)
            predecessors += [[split] for _ in range(arms)]
            join = len(predecessors)
            predecessors.append(list(range(split + 1, split + 1 + arms)))
    return _build_shape(predecessors, _draw_estimates(rng, len(predecessors)))


def layered(rng: random.Random) -> Shape:
    """Return a graph of random layers, whose nodes depend on a few of earlier layers."""
    predecessors: list[list[int]] = []
    for layer in range(rng.randint(4, 9)):
        earlier = len(predecessors)
        for _ in range(rng.randint(8, 30)):
            indices = rng.sample(range(earlier), min(earlier, rng.randint(1, 4))) if layer else []
            predecessors.append(indices)
    return _build_shape(predecessors, _draw_estimates(rng, len(predecessors)))


KINDS: Final[dict[str, Callable[[random.Random], Shape]]] = {
    "chains": chains,
    "fan-outs": fan_outs,
    "diamonds": diamonds,
    "layered": layered,
}


def _lower_bound(shape: Shape, run_s: list[float], cpus: list[float], capacity: float) -> float:
    ends = [0.0] * shape.nodes
    for index in shape.topological_order:
        begins_s = max(
            (ends[predecessor] for predecessor, _ in shape.dependencies(index)), default=0.0
        )
        ends[index] = begins_s + run_s[index]
    work_cpu_s = sum(t * c for t, c in zip(run_s, cpus, strict=True))
    return max(*ends, work_cpu_s / capacity)


def makespan(
    shape: Shape, run_s: list[float], cpus: list[float], machines: int, by_path: bool
) -> float:
    """Return the time in seconds until all nodes have ended, on machines of `_CPUS` processors."""
    progress = Progress(shape)
    progress.evaluate_all()
    free_cpus = [_CPUS] * machines
    waiting: dict[int, float] = {}
    running: list[tuple[float, int, int]] = []
    now = 0.0
    while not progress.all_ended:
        while (index := progress.next_ready()) is not None:
            progress.mark_released(index)
            waiting[index] = now
        views = [
            MachineView(
                MachineId(f"m{m:03d}"), "big", "north", False, free_cpus[m], 0.0, 64.0, _CPUS,
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
            free_cpus[machine] -= cpus[index]
            heapq.heappush(running, (now + run_s[index], index, machine))
        now, index, machine = heapq.heappop(running)
        free_cpus[machine] += cpus[index]
        progress.record_end(index, DONE)
    return now


def makespan_ratios(kind: str, seed: int, machines: int) -> tuple[float, float]:
    """Return the makespan over its lower bound: nodes in order of becoming ready, and by path."""
    rng = random.Random(seed)
    shape = KINDS[kind](rng)
    run_s = [t * rng.lognormvariate(0.0, _RUN_TIME_SIGMA) for t in shape.estimate_s]
    cpus = [rng.choice([1.0, 1.0, 2.0, 4.0]) for _ in run_s]
    bound_s = _lower_bound(shape, run_s, cpus, machines * _CPUS)
    arrival_s, path_s = (
        makespan(shape, run_s, cpus, machines, by_path) for by_path in (False, True)
    )
    return arrival_s / bound_s, path_s / bound_s


@click.command()
@click.option("--graphs", default=40, show_default=True, help="Graphs of each kind and fleet.")
@click.option("--machines", default=(2, 4, 8), multiple=True, type=int, show_default=True)
def main(graphs: int, machines: tuple[int, ...]) -> None:
    """Print medians and ninth deciles for each kind of graph and size of fleet."""
    click.echo("graphs    machines  first come  by path  ratio   9th decile: first come  by path")
    for kind in KINDS:
        for count in machines:
            pairs = [makespan_ratios(kind, seed, count) for seed in range(graphs)]
            arrival_ratios, path_ratios = ([pair[side] for pair in pairs] for side in (0, 1))
            ratio = median(p / f for f, p in pairs)
            ninth_deciles = [quantiles(side, n=10)[-1] for side in (arrival_ratios, path_ratios)]
            click.echo(
                f"{kind:<9} {count:>8}  {median(arrival_ratios):>10.3f}"
                f"  {median(path_ratios):>7.3f}  {ratio:.3f}"
                f"  {ninth_deciles[0]:>22.3f}  {ninth_deciles[1]:>7.3f}"
            )


if __name__ == "__main__":
    main()
