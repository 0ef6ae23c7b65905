"""Measure the cost of a large graph: memory and scheduling passes of the leader, and the service.

    python3 -m tools.graph_cost memory                 bytes a node in the leader
    python3 -m tools.graph_cost passes                 a pass with and without gated nodes
    python3 -m tools.graph_cost service --nodes 10000  a daemon with one graph and other users
    python3 -m tools.graph_cost service --nodes 0      the same users without the graph

A gated node is one that waits for other nodes. `service` starts the daemon as a process and fakes
its surroundings on the loopback address, as `tools/load.py` does.
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
from tests.samples import SETTINGS, make_heartbeat, spec
from tools.load import WorkerFleet, sample_job, settings_for

_ROOT: Final = Path(__file__).resolve().parent.parent
_FAMILY_NODES: Final = 100
"""Nodes of a family: a root, 98 nodes that depend on it, and one that depends on these."""
_MAX_LATENCY_MS: Final = 60_000


def families(graph_id: str, nodes: int, **fields: Any) -> Graph:
    """Return a graph of independent families, with `nodes` nodes in all."""
    graph = Graph(
        graph_id, team="red", job_class="long", cpus=1, memory_gb=0.1, image_gb=0.1, **fields
    )

    @graph.remote(image="cut-01", estimate_s=4)
    def cut(family: int) -> None: ...

    @graph.remote(image="subset-02", estimate_s=4)
    def subset(of: Any, family: int, script: int) -> None: ...

    @graph.remote(image="pack-03", estimate_s=4)
    def pack(parts: Any, family: int) -> None: ...

    for family in range(nodes // _FAMILY_NODES):
        first = cut.remote(family)
        parts = [subset.remote(first, family, script) for script in range(_FAMILY_NODES - 2)]
        pack.remote(parts, family)
    return graph


@click.group()
def main() -> None:
    """Measure the costs of large graphs."""


# -- memory ---------------------------------------------------------------------------------------


def _load_graph(graph: Graph) -> LoadedGraph:
    nodes = [wire.decode(orjson.dumps(node), Node) for node in graph.nodes]
    chunks = [
        records.assemble_parts(
            wire.Entry(key=records.fragment_key(graph.id, 0, i), value=value, version=1)
            for i, value in enumerate(records.pack_part(nodes[at : at + 400], 4096))
        )[0]
        for at in range(0, len(nodes), 400)
    ]
    record = records.GraphRecord(
        v=1, status="accepted", at=wall_now(), digest="", defaults=graph.head["defaults"],
        nodes=len(nodes), parts=len(chunks),
    )  # fmt: skip
    shape = _build_shape(record, chunks)
    owner = Owner(records.graph_key(graph.id), Revision(1), graph.id)
    loaded = LoadedGraph(graph.id, record, owner, chunks, Progress(shape))
    loaded.part_starts = list(range(0, len(nodes), 400))
    loaded.progress.evaluate_all()
    return loaded


@main.command()
@click.option("--nodes", default=10_000, show_default=True)
def memory(nodes: int) -> None:
    """Print the bytes that a leader keeps for each gated and each finished node."""
    graph = families("fam1", nodes)
    gc.collect()
    tracemalloc.start()
    loaded = _load_graph(graph)
    gc.collect()
    gated = tracemalloc.get_traced_memory()[0]
    while (index := loaded.progress.next_ready()) is not None:
        loaded.progress.mark_released(index)
        loaded.progress.record_end(index, DONE)
    gc.collect()
    finished = tracemalloc.get_traced_memory()[0]
    assert loaded.progress.all_ended
    packed = sum(len(part.content) for part in loaded.parts)
    described = sum(len(orjson.dumps(node)) for node in graph.nodes)
    click.echo(
        f"{nodes} nodes: {gated / nodes:.0f} bytes a gated node, {finished / nodes:.0f} a finished "
        f"one; descriptions {described / nodes:.0f} bytes a node, packed {packed / nodes:.1f}"
    )


# -- passes ---------------------------------------------------------------------------------------


class _FakeElection:
    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership

    def valid_leadership(self, _: Monotonic) -> Leadership:
        return self.leadership


def _leader(nodes: int, machines: int, jobs: int, gated: bool) -> Leader:
    """Return a leader with `machines` machines, and a queue of `jobs` jobs and the ready nodes.

    If `gated`, the ready nodes belong to a graph of `nodes` nodes; otherwise they are plain jobs.
    """
    leadership = Leadership(
        FencingToken(1), Revision(1), LeaseId(1), monotonic_now(), Monotonic(1e12)
    )
    parsed_settings = settings.parse(orjson.dumps(SETTINGS))
    leader = Leader(
        parsed_settings,
        StateClient("127.0.0.1:9", parsed_settings.params.state, 1),
        cast(Cloud, None),
        cast(Election, _FakeElection(leadership)),
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
        heartbeat = make_heartbeat(name, 1, 1, 1)
        leader.fleet.heartbeats.process(heartbeat, MachineId(name), monotonic_now(), wall_now())
    for number in range(jobs):
        job = spec(id=f"wk-{number}", vcpus=2.0, pieces=20)
        leader.job_store.add(job, wall_now(), Revision(1))
    loaded = _load_graph(families("fam1", nodes))
    if gated:
        extension = cast(GraphLeaderExtension, leader.extensions[0])
        extension._accepted["fam1"] = (loaded.record, loaded.owner)
        extension._loaded["fam1"] = loaded
    while (index := loaded.progress.next_ready()) is not None:
        loaded.progress.mark_released(index)
        record = leader.job_store.add(loaded.spec(index), wall_now(), Revision(1))
        if gated:
            record.owner = loaded.owner
            loaded.jobs[index] = record
    return leader


def _pass_cpu_s(leader: Leader, count: int) -> float:
    """Return the processor time of a scheduling pass in seconds, the mean of `count` passes."""
    leader.scheduling_loop.run(monotonic_now(), wall_now())
    began_cpu_s = time.process_time()
    for _ in range(count):
        leader.scheduling_loop.autoscaler._next_rental_at = Monotonic(0.0)
        leader.scheduling_loop.run(monotonic_now(), wall_now())
    return (time.process_time() - began_cpu_s) / count


@main.command()
@click.option("--nodes", default=10_000, show_default=True, help="Gated nodes.")
@click.option("--rounds", default=9, show_default=True)
def passes(nodes: int, rounds: int) -> None:
    """Compare scheduling passes with and without gated nodes, with the same jobs in the queue."""

    async def measure() -> None:
        released = nodes // _FAMILY_NODES
        ungated = _leader(nodes, 150, 60, False)
        gated = _leader(nodes, 150, 60, True)
        ratios, costs = [], []
        for _ in range(rounds):
            without, with_graph = _pass_cpu_s(ungated, 30), _pass_cpu_s(gated, 30)
            ratios.append(with_graph / without)
            costs.append(without)
        ratios.sort()
        median = ratios[len(ratios) // 2]
        click.echo(
            f"150 machines, {60 + released} jobs: {1e3 * sorted(costs)[rounds // 2]:.2f} ms a "
            f"pass; with {nodes - released} gated nodes beside them {median:.2f} times that "
            f"({ratios[0]:.2f} to {ratios[-1]:.2f})"
        )

    asyncio.run(measure())


# -- the service ----------------------------------------------------------------------------------


class _Daemon:
    """The daemon in a process of its own."""

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


async def _read_state(operator: Client) -> dict[str, Any]:
    while True:
        try:
            response = await operator.request("GET", "/admin/state", None, 5.0)
            return cast(dict[str, Any], orjson.loads(response.body))
        except (NoAnswerError, orjson.JSONDecodeError):
            await asyncio.sleep(0.02)


class _Users:
    """Users who submit and poll plain jobs, and the latency of the responses to them."""

    def __init__(self, node: Address, rate: float, rng: random.Random) -> None:
        self._client = Client(node, max_idle=8)
        self._rate = rate
        self._rng = rng
        self.submitted = HdrHistogram(1, _MAX_LATENCY_MS * 1000, 3)
        self.polled = HdrHistogram(1, _MAX_LATENCY_MS * 1000, 3)
        self.refused = 0
        self._accepted_jobs: list[str] = []

    async def run(self) -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                group.create_task(self._submit(number))
                if self._accepted_jobs:
                    group.create_task(self._poll(self._rng.choice(self._accepted_jobs)))
                await asyncio.sleep(self._rng.expovariate(self._rate))

    async def _submit(self, number: int) -> None:
        job = {**sample_job(number, self._rng), "pieces": 2}
        status = await self._timed("POST", "/v2/runs", orjson.dumps(job), self.submitted)
        if status in (200, 201):
            self._accepted_jobs.append(job["id"])
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

    def format_latency(self, name: str, histogram: HdrHistogram) -> str:
        parts = [f"{p}% {histogram.get_value_at_percentile(p) / 1000:.1f} ms" for p in (50, 99)]
        return f"{name}: {histogram.total_count}, {', '.join(parts)}"


async def _serve(nodes: int, machines: int, writes: float, rate_per_s: float, for_s: float) -> None:
    rng = random.Random(2)
    state, cloud = fakes.FakeStateService(), fakes.FakeCloud()
    config = settings_for(state, cloud)
    config["params"]["state"].update(rps=5 * writes, write_rps=writes, value_kb=4.0, txn_ops=8)
    path = Path("/tmp/graph-cost.json")
    path.write_bytes(orjson.dumps(config))
    node, operator = Address("127.0.0.1", 18080), Client(Address("127.0.0.1", 18081))
    WorkerFleet(cloud, node, rng, (3.0, 5.0)).start(machines, 1.0)
    daemon = _Daemon(path)
    daemon.start()
    try:
        while "machines" not in await _read_state(operator):
            await asyncio.sleep(0.02)
        await asyncio.sleep(3.0)
        users = _Users(node, rate_per_s, rng)
        user_load = asyncio.create_task(users.run())
        if nodes:
            await _measure_graph(nodes, state, daemon, operator, machines)
        else:
            await asyncio.sleep(for_s)
        user_load.cancel()
        click.echo(
            users.format_latency("submissions", users.submitted) + f", {users.refused} refused"
        )
        click.echo(users.format_latency("polls", users.polled))
    finally:
        daemon.stop()


async def _measure_graph(
    nodes: int, state: fakes.FakeStateService, daemon: _Daemon, operator: Client, machines: int
) -> None:
    graph = families("fam1", nodes)
    memory_before_mb, changes_before, began = daemon.memory_mb, state.changes, time.perf_counter()
    async with AsyncClient("127.0.0.1:18080", Retry(total_s=600.0)) as client:
        await client.submit(graph)
        took_s, change_count = time.perf_counter() - began, state.changes - changes_before
        click.echo(
            f"accepted after {took_s:.1f} s, {change_count} changes, those of the users included"
        )
        while (await _read_state(operator)).get("graphs", {}).get("fam1") is None:
            await asyncio.sleep(0.05)
        click.echo(
            f"memory {memory_before_mb:.1f} to {daemon.memory_mb:.1f} MB once read by the leader"
        )
        began = time.perf_counter()
        daemon.stop()
        daemon.start()
        while "machines" not in await _read_state(operator):
            await asyncio.sleep(0.01)
        leader_after_s = time.perf_counter() - began
        while (await _read_state(operator)).get("graphs", {}).get("fam1") is None:
            await asyncio.sleep(0.01)
        click.echo(
            f"killed and started again: leads after {leader_after_s:.2f} s, "
            f"has read the graph after {time.perf_counter() - began:.2f} s"
        )
        began, changes_before, cpu_before_s = time.perf_counter(), state.changes, daemon.cpu_s
        while (graph_view := await client.show_graph("fam1"))["status"] == "accepted":
            await asyncio.sleep(1.0)
        took_s = time.perf_counter() - began
    # Tasks take 3 to 5 s, 4 s on average. The bound is the path of three of them, or the work
    # divided by the machines, which have 8 processors each.
    bound_s = max(12.0, 4.0 * nodes / (8 * machines))
    click.echo(
        f"{graph_view['status']} after {took_s:.1f} s, {took_s / bound_s:.2f} of the lower bound; "
        f"{(state.changes - changes_before) / nodes:.2f} changes a node (users' included), "
        f"{daemon.cpu_s - cpu_before_s:.1f} s of processor time, "
        f"{daemon.memory_mb:.1f} MB at the end"
    )


@main.command()
@click.option("--nodes", default=10_000, show_default=True, help="0: only the users.")
@click.option("--machines", default=60, show_default=True, help="Of 8 processors.")
@click.option("--writes", default=600.0, show_default=True, help="Changes a second taken.")
@click.option("--rate", default=2.0, show_default=True, help="Users' submissions a second.")
@click.option("--for-s", default=60.0, show_default=True, help="How long without a graph.")
def service(nodes: int, machines: int, writes: float, rate: float, for_s: float) -> None:
    """Measure a daemon with one graph, and the latency of other users' requests meanwhile."""
    asyncio.run(_serve(nodes, machines, writes, rate, for_s))


if __name__ == "__main__":
    main()
