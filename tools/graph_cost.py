"""What a large graph costs: the leader's memory and passes, and the service around it.

    python3 -m tools.graph_cost memory                 bytes a node in the leader
    python3 -m tools.graph_cost passes                 a pass with and without gated nodes
    python3 -m tools.graph_cost service --nodes 10000  a daemon of its own, and users beside it
    python3 -m tools.graph_cost service --nodes 0      the same users without the graph

`service` starts the daemon as a process and plays everything around it on loopback, as
`tools/load.py` does.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import subprocess
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any, Final, cast

import click
import orjson
import psutil
from hdrh.histogram import HdrHistogram

from tealrill import settings, wire
from tealrill.client import AsyncClient, Graph, Retry
from tealrill.features import GraphFeatures
from tealrill.fleet.cloud import Cloud
from tealrill.graphs import records
from tealrill.graphs.leader_extension import GraphLeaderExtension, LoadedGraph, _build_shape
from tealrill.graphs.model import Node
from tealrill.graphs.tracker import DONE, Progress
from tealrill.http import Client, NoAnswerError
from tealrill.leader.leader import Leader
from tealrill.leadership.election import Election
from tealrill.scheduler.estimates import Estimates
from tealrill.settings import Address
from tealrill.state.bindings import Owner
from tealrill.state.client import StateClient
from tealrill.state.fencing import Leadership
from tealrill.types import (
    FencingToken,
    LeaseId,
    MachineId,
    Monotonic,
    Revision,
    monotonic_now,
    wall_now,
)
from tests import fakes
from tests.samples import SETTINGS, report, spec
from tools.load import Machines, sample_job, settings_for

_ROOT: Final = Path(__file__).resolve().parent.parent
_FAMILY: Final = 100
"""Nodes of a family: one, 98 that wait for it, one that waits for them."""
_LONGEST_MS: Final = 60_000


def families(graph_id: str, nodes: int, **fields: Any) -> Graph:
    """Families side by side, `nodes` nodes in all."""
    graph = Graph(
        graph_id, team="red", job_class="long", cpus=1, memory_gb=0.1, image_gb=0.1, **fields
    )

    @graph.remote(image="cut-01", estimate_s=4)
    def cut(family: int) -> None: ...

    @graph.remote(image="subset-02", estimate_s=4)
    def subset(of: Any, family: int, script: int) -> None: ...

    @graph.remote(image="pack-03", estimate_s=4)
    def pack(parts: Any, family: int) -> None: ...

    for family in range(nodes // _FAMILY):
        first = cut.remote(family)
        parts = [subset.remote(first, family, script) for script in range(_FAMILY - 2)]
        pack.remote(parts, family)
    return graph


@click.group()
def main() -> None:
    """Costs of large graphs."""


# -- memory ---------------------------------------------------------------------------------------


def _live(graph: Graph) -> LoadedGraph:
    nodes = [wire.decode(orjson.dumps(node), Node) for node in graph.nodes]
    parts = [
        records.assemble_parts(
            wire.Entry(key=records.fragment_key(graph.id, 0, i), value=value, version=1)
            for i, value in enumerate(records.pack_part(nodes[at : at + 400], 4096))
        )[0]
        for at in range(0, len(nodes), 400)
    ]
    head = records.GraphRecord(
        v=1, status="accepted", at=wall_now(), digest="", defaults=graph.head["defaults"],
        nodes=len(nodes), parts=len(parts),
    )  # fmt: skip
    shape = _build_shape(head, parts)
    owner = Owner(records.graph_key(graph.id), Revision(1), graph.id)
    live = LoadedGraph(graph.id, head, owner, parts, Progress(shape))
    live.part_starts = list(range(0, len(nodes), 400))
    live.progress.evaluate_all()
    return live


@main.command()
@click.option("--nodes", default=10_000, show_default=True)
def memory(nodes: int) -> None:
    """Bytes that a leader keeps per gated and per finished node."""
    graph = families("fam1", nodes)
    gc.collect()
    tracemalloc.start()
    live = _live(graph)
    gc.collect()
    gated = tracemalloc.get_traced_memory()[0]
    while (index := live.progress.next_ready()) is not None:
        live.progress.mark_released(index)
        live.progress.record_end(index, DONE)
    gc.collect()
    finished = tracemalloc.get_traced_memory()[0]
    assert live.progress.all_ended
    packed = sum(len(part.content) for part in live.parts)
    plain = sum(len(orjson.dumps(node)) for node in graph.nodes)
    click.echo(
        f"{nodes} nodes: {gated / nodes:.0f} bytes a gated node, {finished / nodes:.0f} a finished "
        f"one; descriptions {plain / nodes:.0f} bytes a node, packed {packed / nodes:.1f}"
    )


# -- passes ---------------------------------------------------------------------------------------


class _Elected:
    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership

    def valid_leadership(self, _: Monotonic) -> Leadership:
        return self.leadership


def _leader(nodes: int, machines: int, jobs: int, gated: bool) -> Leader:
    """With the nodes that wait for nothing in the queue, as plain jobs or as those of a graph."""
    leadership = Leadership(
        FencingToken(1), Revision(1), LeaseId(1), monotonic_now(), Monotonic(1e12)
    )
    given = settings.parse(orjson.dumps(SETTINGS))
    leader = Leader(
        given,
        StateClient("127.0.0.1:9", given.params.state, 1),
        cast(Cloud, None),
        cast(Election, _Elected(leadership)),
        leadership,
        Estimates(),
        [lambda term: GraphLeaderExtension(term, GraphFeatures(on=True))],
    )
    leader.fleet.inherit([], monotonic_now())
    kind = {
        "label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "localGb": 50, "fetchGbPerS": 1.0,
        "price": 1.0, "marketPrice": 0.4, "startupS": 20, "halls": ["north"],
    }  # fmt: skip
    leader.provisioner.set_catalogue(wire.decode(orjson.dumps({"builds": [kind]}), wire.Catalogue))
    leader.provisioner.rent = lambda *_: None  # type: ignore[method-assign]
    for number in range(machines):
        name = f"m-{number}"
        heard = report(name, 1, 1, 1)
        leader.fleet.heartbeats.process(heard, MachineId(name), monotonic_now(), wall_now())
    for number in range(jobs):
        job = spec(id=f"wk-{number}", vcpus=2.0, pieces=20)
        leader.job_store.add(job, wall_now(), Revision(1))
    live = _live(families("fam1", nodes))
    if gated:
        part = cast(GraphLeaderExtension, leader.extensions[0])
        part._accepted["fam1"] = (live.record, live.owner)
        part._loaded["fam1"] = live
    while (index := live.progress.next_ready()) is not None:
        live.progress.mark_released(index)
        record = leader.job_store.add(live.spec(index), wall_now(), Revision(1))
        if gated:
            record.owner = live.owner
            live.jobs[index] = record
    return leader


def _passes(leader: Leader, count: int) -> float:
    """Seconds of processor time a pass."""
    leader.scheduling_loop.run(monotonic_now(), wall_now())
    began = time.process_time()
    for _ in range(count):
        leader.scheduling_loop.autoscaler._next_rental_at = Monotonic(0.0)
        leader.scheduling_loop.run(monotonic_now(), wall_now())
    return (time.process_time() - began) / count


@main.command()
@click.option("--nodes", default=10_000, show_default=True, help="Gated nodes.")
@click.option("--rounds", default=9, show_default=True)
def passes(nodes: int, rounds: int) -> None:
    """A pass with and without gated nodes, side by side, with the same jobs in the queue."""

    async def measure() -> None:
        released = nodes // _FAMILY
        plain = _leader(nodes, 150, 60, False)
        gated = _leader(nodes, 150, 60, True)
        ratios, costs = [], []
        for _ in range(rounds):
            without, with_graph = _passes(plain, 30), _passes(gated, 30)
            ratios.append(with_graph / without)
            costs.append(without)
        ratios.sort()
        middle = ratios[len(ratios) // 2]
        click.echo(
            f"150 machines, {60 + released} jobs: {1e3 * sorted(costs)[rounds // 2]:.2f} ms a "
            f"pass; with {nodes - released} gated nodes beside them {middle:.2f} times that "
            f"({ratios[0]:.2f} to {ratios[-1]:.2f})"
        )

    asyncio.run(measure())


# -- the service ----------------------------------------------------------------------------------


class _Daemon:
    """The daemon as a process."""

    def __init__(self, config: Path) -> None:
        self._config = config
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        command = [
            sys.executable, "run.py", "serve", "--features", "deploy/features.toml",
            "--config", str(self._config),
        ]  # fmt: skip
        environment = {**os.environ, "LOG_LEVEL": "error"}
        self._process = subprocess.Popen(command, cwd=_ROOT, env=environment)

    def stop(self) -> None:
        assert self._process is not None
        self._process.kill()
        self._process.wait()

    @property
    def memory_mb(self) -> float:
        assert self._process is not None
        return float(psutil.Process(self._process.pid).memory_info().rss) / 1e6

    @property
    def cpu_s(self) -> float:
        assert self._process is not None
        times = psutil.Process(self._process.pid).cpu_times()
        return float(times.user + times.system)


async def _state(operator: Client) -> dict[str, Any]:
    while True:
        try:
            answer = await operator.request("GET", "/admin/state", None, 5.0)
            return cast(dict[str, Any], orjson.loads(answer.body))
        except (NoAnswerError, orjson.JSONDecodeError):
            await asyncio.sleep(0.02)


class _Users:
    """Plain submissions and polls beside the graph, and how long their answers take."""

    def __init__(self, node: Address, rate: float, luck: random.Random) -> None:
        self._client = Client(node, max_idle=8)
        self._rate = rate
        self._luck = luck
        self.submitted = HdrHistogram(1, _LONGEST_MS * 1000, 3)
        self.polled = HdrHistogram(1, _LONGEST_MS * 1000, 3)
        self.refused = 0
        self._known: list[str] = []

    async def run(self) -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                group.create_task(self._submit(number))
                if self._known:
                    group.create_task(self._poll(self._luck.choice(self._known)))
                await asyncio.sleep(self._luck.expovariate(self._rate))

    async def _submit(self, number: int) -> None:
        job = {**sample_job(number, self._luck), "pieces": 2}
        status = await self._timed("POST", "/v2/runs", orjson.dumps(job), self.submitted)
        if status in (200, 201):
            self._known.append(job["id"])
        else:
            self.refused += 1

    async def _poll(self, job: str) -> None:
        await self._timed("GET", f"/v2/runs/{job}", None, self.polled)

    async def _timed(
        self, method: str, path: str, body: bytes | None, histogram: HdrHistogram
    ) -> int:
        began = time.perf_counter()
        try:
            status = (await self._client.request(method, path, body, 5.0)).status
        except NoAnswerError:
            status = 0
        histogram.record_value(round(1e6 * (time.perf_counter() - began)))
        return status

    def shown(self, name: str, histogram: HdrHistogram) -> str:
        parts = [f"{p}% {histogram.get_value_at_percentile(p) / 1000:.1f} ms" for p in (50, 99)]
        return f"{name}: {histogram.total_count}, {', '.join(parts)}"


async def _serve(nodes: int, machines: int, writes: float, rate: float, for_s: float) -> None:
    luck = random.Random(2)
    state, cloud = fakes.FakeStateService(), fakes.FakeCloud()
    config = settings_for(state, cloud)
    config["params"]["state"].update(rps=5 * writes, write_rps=writes, value_kb=4.0, txn_ops=8)
    path = Path("/tmp/graph-cost.json")
    path.write_bytes(orjson.dumps(config))
    node, operator = Address("127.0.0.1", 18080), Client(Address("127.0.0.1", 18081))
    Machines(cloud, node, luck, (3.0, 5.0)).begin(machines, 1.0)
    daemon = _Daemon(path)
    daemon.start()
    try:
        while "machines" not in await _state(operator):
            await asyncio.sleep(0.02)
        await asyncio.sleep(3.0)
        users = _Users(node, rate, luck)
        beside = asyncio.create_task(users.run())
        if nodes:
            await _one_graph(nodes, state, daemon, operator, machines)
        else:
            await asyncio.sleep(for_s)
        beside.cancel()
        click.echo(users.shown("submissions", users.submitted) + f", {users.refused} refused")
        click.echo(users.shown("polls", users.polled))
    finally:
        daemon.stop()


async def _one_graph(
    nodes: int, state: fakes.FakeStateService, daemon: _Daemon, operator: Client, machines: int
) -> None:
    graph = families("fam1", nodes)
    memory, changes, began = daemon.memory_mb, state.changes, time.perf_counter()
    async with AsyncClient("127.0.0.1:18080", Retry(total_s=600.0)) as client:
        await client.submit(graph)
        took, used = time.perf_counter() - began, state.changes - changes
        click.echo(f"accepted after {took:.1f} s, {used} changes beside those of the users")
        while (await _state(operator)).get("graphs", {}).get("fam1") is None:
            await asyncio.sleep(0.05)
        click.echo(f"memory {memory:.1f} to {daemon.memory_mb:.1f} MB once read by the leader")
        began = time.perf_counter()
        daemon.stop()
        daemon.start()
        while "machines" not in await _state(operator):
            await asyncio.sleep(0.01)
        leads = time.perf_counter() - began
        while (await _state(operator)).get("graphs", {}).get("fam1") is None:
            await asyncio.sleep(0.01)
        click.echo(
            f"killed and started again: leads after {leads:.2f} s, has read the graph after "
            f"{time.perf_counter() - began:.2f} s"
        )
        began, changes, cpu_s = time.perf_counter(), state.changes, daemon.cpu_s
        while (shown := await client.show_graph("fam1"))["status"] == "accepted":
            await asyncio.sleep(1.0)
        took = time.perf_counter() - began
    # Estimates of 4 s, tasks of 3 to 5 s: three in a row, or all of them on the machines there are.
    bound = max(12.0, 4.0 * nodes / (8 * machines))
    click.echo(
        f"{shown['status']} after {took:.1f} s, {took / bound:.2f} of the lower bound; "
        f"{(state.changes - changes) / nodes:.2f} changes a node (users' included), "
        f"{daemon.cpu_s - cpu_s:.1f} s of processor time, {daemon.memory_mb:.1f} MB at the end"
    )


@main.command()
@click.option("--nodes", default=10_000, show_default=True, help="0: only the users.")
@click.option("--machines", default=60, show_default=True, help="Of 8 processors.")
@click.option("--writes", default=600.0, show_default=True, help="Changes a second taken.")
@click.option("--rate", default=2.0, show_default=True, help="Users' submissions a second.")
@click.option("--for-s", default=60.0, show_default=True, help="How long without a graph.")
def service(nodes: int, machines: int, writes: float, rate: float, for_s: float) -> None:
    """A daemon of its own with one graph, and users beside it."""
    asyncio.run(_serve(nodes, machines, writes, rate, for_s))


if __name__ == "__main__":
    main()
