"""Graphs on a whole controller on loopback, with fakes of the services around it."""

from __future__ import annotations

import asyncio
import contextlib
import copy
from collections.abc import Callable, Coroutine
from typing import Any

import orjson
import pytest

from tealrill import features, settings
from tealrill.daemon import Controller
from tealrill.http import Client, NoAnswerError
from tests.fakes import FakeWorker
from tests.samples import SUBMISSION
from tests.test_node import _TIMEOUT_S, NodeHarness, free_address, running_node

GRAPHS_ENABLED = features.Features(graphs=features.GraphFeatures(on=True))
DEFAULTS = {k: v for k, v in SUBMISSION.items() if k not in ("id", "dueS")} | {
    "pieces": 1,
    "vcpus": 1.0,
    "memoryGb": 1.0,
}


def run_with_controller(test: Callable[[NodeHarness], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with running_node(GRAPHS_ENABLED) as harness:
            await test(harness)

    asyncio.run(run())


async def submit(harness: NodeHarness, **graph: Any) -> tuple[int, Any]:
    """Submit a graph, repeated while the controller answers 503 because it has no catalogue yet."""
    body = {"defaults": DEFAULTS, **graph}
    while True:
        status, answer = await harness.send("POST", "/v2/graphs", body)
        if status != 503:
            return status, answer
        await asyncio.sleep(0.02)


async def wait_until(
    harness: NodeHarness, worker: FakeWorker, done: Callable[[], Coroutine[Any, Any, bool]]
) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not await done():
            await harness.send_heartbeat(worker)
            await asyncio.sleep(0.02)


def runs_exactly(worker: FakeWorker, *names: str) -> Callable[[], Coroutine[Any, Any, bool]]:
    async def check() -> bool:
        live = {n for n, task in worker.tasks.items() if task["status"] == "running"}
        return live == set(names)

    return check


def graph_has_status(
    harness: NodeHarness, graph: str, status: str
) -> Callable[[], Coroutine[Any, Any, bool]]:
    async def check() -> bool:
        _, answer = await harness.send("GET", f"/v2/graphs/{graph}")
        return bool(answer.get("status") == status)

    return check


def node(key: str, *after: Any, **more: Any) -> dict[str, Any]:
    job = more.pop("job", {})
    return {"key": key, "after": list(after), "job": job, **more}


def test_chain_runs_in_order_and_its_nodes_are_jobs() -> None:
    async def scenario(harness: NodeHarness) -> None:
        status, answer = await submit(harness, id="fam1", nodes=[node("b", "a"), node("a")])
        assert status == 201 and answer["nodes"] == 2 and answer["edges"] == 1
        # Gated nodes of an accepted graph have a status as soon as it is accepted.
        assert await harness.status("fam1-00000") == "pending"
        assert (await harness.send("GET", "/v2/runs/fam1-00002"))[0] == 404
        assert (await submit(harness, id="fam1", nodes=[node("b", "a"), node("a")]))[0] == 200
        assert (await submit(harness, id="fam1", nodes=[node("a")]))[0] == 409
        worker = FakeWorker("m-000001")
        await wait_until(harness, worker, runs_exactly(worker, "fam1-00001/0"))
        assert await harness.status("fam1-00000") == "pending"
        worker.end("fam1-00001/0", "done")
        await wait_until(harness, worker, runs_exactly(worker, "fam1-00000/0"))
        assert await harness.status("fam1-00001") == "done"
        _, listed = await harness.send("GET", "/v2/graphs/fam1/nodes")
        assert [n["state"] for n in listed["nodes"]] == ["released", "done"]
        worker.end("fam1-00000/0", "done")
        await wait_until(harness, worker, graph_has_status(harness, "fam1", "done"))
        _, shown = await harness.send("GET", "/v2/graphs/fam1")
        assert shown["counts"]["done"] == 2
        # The ids still belong to the ended graph, and its status is final.
        assert await harness.submit(id="fam1-00000") == 200
        assert await harness.submit(id="fam1-00007") == 422
        assert await harness.submit(id="fam1-7") == 422
        assert (await harness.send("POST", "/v2/graphs/fam1/cancel"))[1]["status"] == "done"

    run_with_controller(scenario)


def test_failed_node_is_retried_then_its_dependents_are_skipped() -> None:
    async def scenario(harness: NodeHarness) -> None:
        nodes = [
            node("a"),
            node("b", "a", maxRetries=1),
            node("c", "b"),
            node("clean", {"node": "b", "when": "failed"}),
            node("either", {"node": "c", "when": "ended"}),
            node("apart"),
        ]
        assert (await submit(harness, id="fam2", nodes=nodes))[0] == 201
        worker = FakeWorker("m-000001")
        await wait_until(harness, worker, runs_exactly(worker, "fam2-00000/0", "fam2-00005/0"))
        worker.end("fam2-00000/0", "done")
        for _ in range(2):
            await wait_until(harness, worker, runs_exactly(worker, "fam2-00001/0", "fam2-00005/0"))
            worker.end("fam2-00001/0", "error")
        await wait_until(
            harness, worker, runs_exactly(worker, "fam2-00003/0", "fam2-00004/0", "fam2-00005/0")
        )
        _, failed = await harness.send("GET", "/v2/runs/fam2-00001")
        assert (failed["status"], failed["outcome"]) == ("aborted", "failed")
        for index in (3, 4, 5):
            worker.end(f"fam2-0000{index}/0", "done")
        await wait_until(harness, worker, graph_has_status(harness, "fam2", "failed"))
        _, skipped = await harness.send("GET", "/v2/runs/fam2-00002")
        assert (skipped["status"], skipped["outcome"]) == ("aborted", "skipped")
        _, shown = await harness.send("GET", "/v2/graphs/fam2")
        assert shown["counts"]["failed"] == shown["counts"]["skipped"] == 1
        assert shown["counts"]["done"] == 4
        _, listed = await harness.send("GET", "/v2/graphs/fam2/nodes?state=skipped")
        assert [n["key"] for n in listed["nodes"]] == ["c"]

    run_with_controller(scenario)


def test_on_failure_stop_ends_the_graph_at_the_first_failure() -> None:
    async def scenario(harness: NodeHarness) -> None:
        nodes = [node("bad", maxRetries=0), node("next", "bad"), node("apart")]
        assert (await submit(harness, id="fam3", nodes=nodes, onFailure="stop"))[0] == 201
        worker = FakeWorker("m-000001")
        await wait_until(harness, worker, runs_exactly(worker, "fam3-00000/0", "fam3-00002/0"))
        worker.end("fam3-00000/0", "error")
        await wait_until(harness, worker, graph_has_status(harness, "fam3", "failed"))
        await harness.send_heartbeats_until(worker, lambda: not worker.tasks)
        assert [await harness.status(f"fam3-0000{i}") for i in range(3)] == ["aborted"] * 3

    run_with_controller(scenario)


def test_node_with_per_task_edges_starts_tasks_individually() -> None:
    async def scenario(harness: NodeHarness) -> None:
        two_tasks = {"job": {"pieces": 2}}
        nodes = [
            node("subsets", **two_tasks),
            node("hints", {"node": "subsets", "each": True}, **two_tasks),
            node("all", "hints"),
        ]
        assert (await submit(harness, id="fam4", nodes=nodes))[0] == 201
        worker = FakeWorker("m-000001")
        await wait_until(harness, worker, runs_exactly(worker, "fam4-00000/0", "fam4-00000/1"))
        worker.end("fam4-00000/1", "done")
        await wait_until(harness, worker, runs_exactly(worker, "fam4-00000/0", "fam4-00001/1"))
        worker.end("fam4-00001/1", "done")
        worker.end("fam4-00000/0", "done")
        await wait_until(harness, worker, runs_exactly(worker, "fam4-00001/0"))
        worker.end("fam4-00001/0", "done")
        await wait_until(harness, worker, runs_exactly(worker, "fam4-00002/0"))
        worker.end("fam4-00002/0", "done")
        await wait_until(harness, worker, graph_has_status(harness, "fam4", "done"))

    run_with_controller(scenario)


def test_cancelled_graph_stops_its_jobs_and_cancels_its_gated_nodes() -> None:
    async def scenario(harness: NodeHarness) -> None:
        nodes = [node("a"), node("b", "a"), node("c"), node("d", "c")]
        assert (await submit(harness, id="fam5", nodes=nodes))[0] == 201
        worker = FakeWorker("m-000001")
        await wait_until(harness, worker, runs_exactly(worker, "fam5-00000/0", "fam5-00002/0"))
        worker.end("fam5-00000/0", "done")
        await wait_until(harness, worker, runs_exactly(worker, "fam5-00001/0", "fam5-00002/0"))
        # A gated node is cancelled first; the nodes that don't depend on it continue.
        status, answer = await harness.send("POST", "/v2/runs/fam5-00003/cancel")
        assert (status, answer["status"]) == (200, "aborted")
        assert await harness.status("fam5-00003") == "aborted"
        status, answer = await harness.send("POST", "/v2/graphs/fam5/cancel")
        assert (status, answer["status"]) == (200, "aborted")
        statuses = [await harness.status(f"fam5-0000{i}") for i in range(4)]
        assert statuses == ["done", "aborted", "aborted", "aborted"]
        await harness.send_heartbeats_until(worker, lambda: not worker.tasks)
        async with asyncio.timeout(_TIMEOUT_S):
            while any(k.startswith("job/") for k in harness.state.keys):
                await asyncio.sleep(0.02)
        assert [await harness.status(f"fam5-0000{i}") for i in range(4)] == statuses
        assert (await harness.send("POST", "/v2/graphs/fam5/cancel"))[1]["status"] == "aborted"

    run_with_controller(scenario)


def test_graph_in_parts_runs_only_after_its_seal() -> None:
    async def scenario(harness: NodeHarness) -> None:
        assert (await submit(harness, id="fam6", seal=False))[0] == 201
        path = "/v2/graphs/fam6"
        assert (await harness.send("PUT", f"{path}/parts/0", {"nodes": [node("b", "a")]}))[0] == 201
        assert (await harness.send("PUT", f"{path}/parts/0", {"nodes": [node("b", "a")]}))[0] == 200
        assert (await harness.send("PUT", f"{path}/parts/0", {"nodes": [node("b")]}))[0] == 409
        # Before the acceptance its nodes are not jobs, and plain jobs can't take their ids.
        assert (await harness.send("GET", "/v2/runs/fam6-00000"))[0] == 404
        assert (await harness.send("POST", "/v2/runs", {**SUBMISSION, "id": "fam6-1"}))[0] == 503
        status, answer = await harness.send("POST", f"{path}/seal", {"parts": 2})
        assert (status, answer["missing"]) == (409, [1])
        assert (await harness.send("PUT", f"{path}/parts/1", {"nodes": [node("a")]}))[0] == 201
        assert (await harness.send("POST", f"{path}/seal", {"parts": 1}))[0] == 409
        assert (await harness.send("POST", f"{path}/seal", {"parts": 2}))[0] == 201
        assert (await harness.send("POST", f"{path}/seal", {"parts": 2}))[0] == 200
        assert (await harness.send("PUT", f"{path}/parts/2", {"nodes": [node("x")]}))[0] == 409
        assert (await harness.send("PUT", f"{path}/parts/1", {"nodes": [node("a")]}))[0] == 200
        worker = FakeWorker("m-000001")
        await wait_until(harness, worker, runs_exactly(worker, "fam6-00001/0"))

    run_with_controller(scenario)


def test_invalid_graphs_are_rejected_with_node_and_field() -> None:
    async def scenario(harness: NodeHarness) -> None:
        async def rejection(*nodes: Any, **more: Any) -> tuple[int, Any, Any, str]:
            status, answer = await submit(harness, **{"id": "bad1", "nodes": nodes, **more})
            return status, answer.get("node"), answer.get("field"), answer.get("error", "")

        assert (await rejection(node("a"), id="bad"))[:3] == (400, None, "id")
        assert (await rejection(node("a"), id="wk-1"))[:3] == (400, None, "id")
        assert (await rejection())[:3] == (400, None, "nodes")
        assert (await rejection(node("a"), node("a")))[:3] == (400, "a", "key")
        assert (await rejection(node("a", "a")))[:3] == (400, "a", "after")
        assert (await rejection(node("a", "z")))[:3] == (400, "a", "after")
        status, _, field, error = await rejection(node("a", "c"), node("b", "a"), node("c", "b"))
        assert (status, field) == (400, "after")
        assert error.count("->") == 3
        assert (await rejection(node("a", job={"vcpus": -1})))[:3] == (400, "a", "job.vcpus")
        assert (await rejection(node("a", job={"id": "x1-1"})))[:3] == (400, "a", "job.id")
        assert (await rejection(node("a", job={"shape": "standing"})))[:3] == (
            400,
            "a",
            "job.shape",
        )
        assert (await rejection(node("a", job={"vcpus": 99})))[:3] == (422, "a", "job")
        assert (await rejection(node("a", job={"crew": "green"})))[:3] == (422, "a", "job")
        each = {"node": "a", "each": True}
        assert (await rejection(node("a"), node("b", each, job={"pieces": 2})))[:3] == (
            400,
            "b",
            "after",
        )
        assert (await rejection(node("a"), node("b", "a", "a")))[:3] == (400, "b", "after")
        assert (await rejection(node("a"), seal=1))[0] == 400
        assert (await rejection(node("a", maxRetries=101)))[0] == 400
        assert (await rejection(node("x" * 101)))[0] == 400
        assert (await harness.send("POST", "/v2/graphs", b"["))[0] == 400
        assert (await harness.send("POST", "/v2/graphs", b"x" * 70_000))[0] == 400
        # No record was written for any of them.
        assert not any("bad" in key for key in harness.state.keys)
        # A plain job with an id of the graph's nodes prevents the graph.
        assert await harness.submit(id="bad1-3") == 201
        assert (await rejection(node("a")))[0] == 409
        for path in ("/v2/graphs/bad1", "/v2/graphs/bad1/nodes", "/v2/graphs/wk-1"):
            assert (await harness.send("GET", path))[0] == 404
        assert (await harness.send("POST", "/v2/graphs/bad1/cancel"))[0] == 404
        assert (await harness.send("PUT", "/v2/graphs/bad1/parts/0", {"nodes": [node("a")]}))[
            0
        ] == 404

    run_with_controller(scenario)


async def _submit_until_accepted(harness: NodeHarness, body: dict[str, Any]) -> None:
    """Submit a graph as a client does: repeated under the same id until it is accepted."""
    while True:
        with contextlib.suppress(NoAnswerError):
            status, answer = await harness.send("POST", "/v2/graphs", body)
            if status in (200, 201):
                assert answer["status"] in ("accepted", "done")
                return
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("side", ["before", "after"])
@pytest.mark.parametrize("commit", range(1, 13))
def test_crash_at_any_transaction_loses_and_repeats_nothing(commit: int, side: str) -> None:
    """The process crashes at one of the transactions that open, seal, release, bind and end."""

    async def scenario(harness: NodeHarness) -> None:
        crashed = asyncio.Event()
        starts: list[str] = []
        crashes: list[int] = []
        body = {
            "id": "fam7",
            "defaults": DEFAULTS,
            "nodes": [node("a"), node("b", "a"), node("c", "a"), node("d", "b", "c")],
        }

        def crash() -> None:
            harness.task.cancel()
            crashed.set()
            crashes.append(commit)

        harness.state.crash = crash
        while (await harness.send("POST", "/v2/runs", {}))[0] == 503:
            await asyncio.sleep(0.02)
        harness.state.crash_at = (harness.state.commits + commit, side)
        worker = FakeWorker("m-000001")

        async def work() -> None:
            while True:
                if crashed.is_set():
                    crashed.clear()
                    await harness.restart()
                with contextlib.suppress(NoAnswerError):
                    await harness.send_heartbeat(worker)
                for name, task in list(worker.tasks.items()):
                    if task["status"] == "running":
                        starts.append(name)
                        worker.end(name, "done")
                await asyncio.sleep(0.02)

        worker_loop = asyncio.create_task(work())
        try:
            async with asyncio.timeout(2 * _TIMEOUT_S):
                await _submit_until_accepted(harness, body)
                while True:
                    with contextlib.suppress(NoAnswerError):
                        if await graph_has_status(harness, "fam7", "done")():
                            break
                    await asyncio.sleep(0.05)
        finally:
            worker_loop.cancel()
        assert crashes == [commit]
        # Machines keep the results of tasks until they are acknowledged, so no task runs twice.
        order = [name.partition("/")[0][-1] for name in starts]
        assert sorted(order) == ["0", "1", "2", "3"]
        assert order[0] == "0" and order[-1] == "3"
        assert not [key for key in harness.state.keys if key.startswith("job/")]

    run_with_controller(scenario)


def test_team_limit_treats_graph_nodes_like_plain_jobs() -> None:
    """A team has a limit of 64 processors and tasks of 8, as plain jobs, as a graph and as both."""

    async def scenario(harness: NodeHarness) -> None:
        workers = [FakeWorker(f"m-{number:06d}") for number in range(1, 13)]
        job = {**DEFAULTS, "crew": "red", "vcpus": 8.0, "pieces": 1, "dueS": None}

        async def run_jobs(name: str, plain: int, nodes: int) -> tuple[int, int, float]:
            if nodes:
                graph: dict[str, Any] = {"id": f"{name}1", "defaults": job}
                graph["nodes"] = [node(f"n{i}") for i in range(nodes)]
                await _submit_until_accepted(harness, graph)
            for number in range(plain):
                assert await harness.submit(**job, id=f"{name}-{number}") == 201
            starts, max_running, max_cpus = 0, 0, 0.0
            async with asyncio.timeout(2 * _TIMEOUT_S):
                while starts < plain + nodes or any(w.tasks for w in workers):
                    for worker in workers:
                        await harness.send_heartbeat(worker)
                    await asyncio.sleep(0.02)
                    leader = harness.node.leader
                    assert leader is not None
                    max_cpus = max(max_cpus, leader.job_store.team_cpus.get("red", 0.0))
                    running = [(w, n) for w in workers for n, t in w.tasks.items()
                               if t["status"] == "running"]  # fmt: skip
                    max_running = max(max_running, len(running))
                    remaining = plain + nodes - starts
                    if len(running) == min(8, remaining):
                        # All tasks that the limit allows at a time are running.
                        starts += len(running)
                        for worker, task in running:
                            worker.end(task, "done")
            return starts, max_running, max_cpus

        assert await run_jobs("plain", 12, 0) == (12, 8, 64.0)
        assert await run_jobs("graph", 0, 12) == (12, 8, 64.0)
        assert await run_jobs("mixed", 6, 6) == (12, 8, 64.0)

    run_with_controller(scenario)


def test_member_without_state_service_relays_graph_requests() -> None:
    """One of two controllers can't reach the state service; it relays its users' requests."""

    async def scenario(harness: NodeHarness) -> None:
        nodes = [node("a"), node("b", "a")]
        assert (await submit(harness, id="fam8", nodes=nodes))[0] == 201
        values = copy.deepcopy(harness.values)
        values["host_name"] = "node-9"
        values["client_listen"], values["cluster_listen"] = free_address(), free_address()
        values["services"]["state"] = free_address()  # connections to it are refused
        values["members"] = [
            {"host_name": "node-0", "zone": "north", "peer_addr": harness.values["cluster_listen"]}
        ]
        other = Controller(settings.parse(orjson.dumps(values)), GRAPHS_ENABLED)
        task = asyncio.create_task(other.run())
        try:
            client = Client(settings.parse_address(values["client_listen"]))

            async def send(method: str, path: str, body: Any = None) -> tuple[int, Any]:
                raw = None if body is None else orjson.dumps(body)
                while True:
                    with contextlib.suppress(NoAnswerError):
                        answer = await client.request(method, path, raw, _TIMEOUT_S)
                        return answer.status, orjson.loads(answer.body)
                    await asyncio.sleep(0.02)

            assert (await send("GET", "/v2/graphs/fam8"))[1]["nodes"] == 2
            assert (await send("GET", "/v2/graphs/fam8/nodes?most=1"))[1]["next"] == 1
            graph = {"id": "fam9", "defaults": DEFAULTS, "nodes": nodes}
            assert (await send("POST", "/v2/graphs", graph))[0] == 201
            status, answer = await send("POST", "/v2/graphs/fam9/cancel", {})
            assert (status, answer["status"]) == (200, "aborted")
            assert (await send("GET", "/v2/graphs/none1"))[0] == 404
            assert (await send("GET", "/v2/runs/fam9-00001"))[1]["status"] == "aborted"
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    run_with_controller(scenario)
