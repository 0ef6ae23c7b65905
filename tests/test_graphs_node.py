"""Graphs on a whole node on loopback, against stand-ins for everything around it."""

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

ON = features.Features(graphs=features.GraphFeatures(on=True))
DEFAULTS = {k: v for k, v in SUBMISSION.items() if k not in ("id", "dueS")} | {
    "pieces": 1,
    "vcpus": 1.0,
    "memoryGb": 1.0,
}


def run_with_controller(test: Callable[[NodeHarness], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with running_node(ON) as harness:
            await test(harness)

    asyncio.run(run())


async def submit(harness: NodeHarness, **graph: Any) -> tuple[int, Any]:
    """Submits until the node knows its machine types."""
    body = {"defaults": DEFAULTS, **graph}
    while True:
        status, answer = await harness.send("POST", "/v2/graphs", body)
        if status != 503:
            return status, answer
        await asyncio.sleep(0.02)


async def until(
    harness: NodeHarness, worker: FakeWorker, done: Callable[[], Coroutine[Any, Any, bool]]
) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not await done():
            await harness.send_heartbeat(worker)
            await asyncio.sleep(0.02)


def has(worker: FakeWorker, *names: str) -> Callable[[], Coroutine[Any, Any, bool]]:
    async def check() -> bool:
        live = {n for n, task in worker.tasks.items() if task["status"] == "running"}
        return live == set(names)

    return check


def graph_is(
    harness: NodeHarness, graph: str, status: str
) -> Callable[[], Coroutine[Any, Any, bool]]:
    async def check() -> bool:
        _, answer = await harness.send("GET", f"/v2/graphs/{graph}")
        return bool(answer.get("status") == status)

    return check


def node(key: str, *after: Any, **more: Any) -> dict[str, Any]:
    job = more.pop("job", {})
    return {"key": key, "after": list(after), "job": job, **more}


def test_a_chain_runs_in_order_and_its_nodes_are_jobs() -> None:
    async def scenario(harness: NodeHarness) -> None:
        status, answer = await submit(harness, id="fam1", nodes=[node("b", "a"), node("a")])
        assert status == 201 and answer["nodes"] == 2 and answer["edges"] == 1
        # Accepted, gated and known from the first moment on.
        assert await harness.status("fam1-00000") == "pending"
        assert (await harness.send("GET", "/v2/runs/fam1-00002"))[0] == 404
        assert (await submit(harness, id="fam1", nodes=[node("b", "a"), node("a")]))[0] == 200
        assert (await submit(harness, id="fam1", nodes=[node("a")]))[0] == 409
        worker = FakeWorker("m-000001")
        await until(harness, worker, has(worker, "fam1-00001/0"))
        assert await harness.status("fam1-00000") == "pending"
        worker.end("fam1-00001/0", "done")
        await until(harness, worker, has(worker, "fam1-00000/0"))
        assert await harness.status("fam1-00001") == "done"
        _, listed = await harness.send("GET", "/v2/graphs/fam1/nodes")
        assert [n["state"] for n in listed["nodes"]] == ["released", "done"]
        worker.end("fam1-00000/0", "done")
        await until(harness, worker, graph_is(harness, "fam1", "done"))
        _, shown = await harness.send("GET", "/v2/graphs/fam1")
        assert shown["counts"]["done"] == 2
        # The ids stay the graph's, and the answers stay what they were.
        assert await harness.submit(id="fam1-00000") == 200
        assert await harness.submit(id="fam1-00007") == 422
        assert await harness.submit(id="fam1-7") == 422
        assert (await harness.send("POST", "/v2/graphs/fam1/cancel"))[1]["status"] == "done"

    run_with_controller(scenario)


def test_a_failing_middle_is_tried_again_and_past_its_bound_the_rest_never_starts() -> None:
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
        await until(harness, worker, has(worker, "fam2-00000/0", "fam2-00005/0"))
        worker.end("fam2-00000/0", "done")
        for _ in range(2):
            await until(harness, worker, has(worker, "fam2-00001/0", "fam2-00005/0"))
            worker.end("fam2-00001/0", "error")
        await until(harness, worker, has(worker, "fam2-00003/0", "fam2-00004/0", "fam2-00005/0"))
        _, failed = await harness.send("GET", "/v2/runs/fam2-00001")
        assert (failed["status"], failed["outcome"]) == ("aborted", "failed")
        for index in (3, 4, 5):
            worker.end(f"fam2-0000{index}/0", "done")
        await until(harness, worker, graph_is(harness, "fam2", "failed"))
        _, skipped = await harness.send("GET", "/v2/runs/fam2-00002")
        assert (skipped["status"], skipped["outcome"]) == ("aborted", "skipped")
        _, shown = await harness.send("GET", "/v2/graphs/fam2")
        assert shown["counts"]["failed"] == shown["counts"]["skipped"] == 1
        assert shown["counts"]["done"] == 4
        _, listed = await harness.send("GET", "/v2/graphs/fam2/nodes?state=skipped")
        assert [n["key"] for n in listed["nodes"]] == ["c"]

    run_with_controller(scenario)


def test_a_failure_stops_everything_where_its_user_chose_that() -> None:
    async def scenario(harness: NodeHarness) -> None:
        nodes = [node("bad", maxRetries=0), node("next", "bad"), node("apart")]
        assert (await submit(harness, id="fam3", nodes=nodes, onFailure="stop"))[0] == 201
        worker = FakeWorker("m-000001")
        await until(harness, worker, has(worker, "fam3-00000/0", "fam3-00002/0"))
        worker.end("fam3-00000/0", "error")
        await until(harness, worker, graph_is(harness, "fam3", "failed"))
        await harness.send_heartbeats_until(worker, lambda: not worker.tasks)
        assert [await harness.status(f"fam3-0000{i}") for i in range(3)] == ["aborted"] * 3

    run_with_controller(scenario)


def test_a_node_that_waits_task_by_task_starts_with_the_first() -> None:
    async def scenario(harness: NodeHarness) -> None:
        two = {"job": {"pieces": 2}}
        nodes = [
            node("subsets", **two),
            node("hints", {"node": "subsets", "each": True}, **two),
            node("all", "hints"),
        ]
        assert (await submit(harness, id="fam4", nodes=nodes))[0] == 201
        worker = FakeWorker("m-000001")
        await until(harness, worker, has(worker, "fam4-00000/0", "fam4-00000/1"))
        worker.end("fam4-00000/1", "done")
        await until(harness, worker, has(worker, "fam4-00000/0", "fam4-00001/1"))
        worker.end("fam4-00001/1", "done")
        worker.end("fam4-00000/0", "done")
        await until(harness, worker, has(worker, "fam4-00001/0"))
        worker.end("fam4-00001/0", "done")
        await until(harness, worker, has(worker, "fam4-00002/0"))
        worker.end("fam4-00002/0", "done")
        await until(harness, worker, graph_is(harness, "fam4", "done"))

    run_with_controller(scenario)


def test_a_cancelled_graph_stops_and_what_never_started_is_cancelled() -> None:
    async def scenario(harness: NodeHarness) -> None:
        nodes = [node("a"), node("b", "a"), node("c"), node("d", "c")]
        assert (await submit(harness, id="fam5", nodes=nodes))[0] == 201
        worker = FakeWorker("m-000001")
        await until(harness, worker, has(worker, "fam5-00000/0", "fam5-00002/0"))
        worker.end("fam5-00000/0", "done")
        await until(harness, worker, has(worker, "fam5-00001/0", "fam5-00002/0"))
        # A gated node by itself first: what waits for it is skipped, the rest goes on.
        status, answer = await harness.send("POST", "/v2/runs/fam5-00003/cancel")
        assert (status, answer["status"]) == (200, "aborted")
        assert await harness.status("fam5-00003") == "aborted"
        status, answer = await harness.send("POST", "/v2/graphs/fam5/cancel")
        assert (status, answer["status"]) == (200, "aborted")
        told = [await harness.status(f"fam5-0000{i}") for i in range(4)]
        assert told == ["done", "aborted", "aborted", "aborted"]
        await harness.send_heartbeats_until(worker, lambda: not worker.tasks)
        async with asyncio.timeout(_TIMEOUT_S):
            while any(k.startswith("job/") for k in harness.state.keys):
                await asyncio.sleep(0.02)
        assert [await harness.status(f"fam5-0000{i}") for i in range(4)] == told
        assert (await harness.send("POST", "/v2/graphs/fam5/cancel"))[1]["status"] == "aborted"

    run_with_controller(scenario)


def test_a_graph_in_parts_runs_nothing_before_it_is_sealed() -> None:
    async def scenario(harness: NodeHarness) -> None:
        assert (await submit(harness, id="fam6", seal=False))[0] == 201
        path = "/v2/graphs/fam6"
        assert (await harness.send("PUT", f"{path}/parts/0", {"nodes": [node("b", "a")]}))[0] == 201
        assert (await harness.send("PUT", f"{path}/parts/0", {"nodes": [node("b", "a")]}))[0] == 200
        assert (await harness.send("PUT", f"{path}/parts/0", {"nodes": [node("b")]}))[0] == 409
        # Not accepted: its nodes are nobody's jobs, and nobody else's either.
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
        await until(harness, worker, has(worker, "fam6-00001/0"))

    run_with_controller(scenario)


def test_bad_graphs_get_a_status_that_names_node_and_field() -> None:
    async def scenario(harness: NodeHarness) -> None:
        async def bad(*nodes: Any, **more: Any) -> tuple[int, Any, Any, str]:
            status, answer = await submit(harness, **{"id": "bad1", "nodes": nodes, **more})
            return status, answer.get("node"), answer.get("field"), answer.get("error", "")

        assert (await bad(node("a"), id="bad"))[:3] == (400, None, "id")
        assert (await bad(node("a"), id="wk-1"))[:3] == (400, None, "id")
        assert (await bad())[:3] == (400, None, "nodes")
        assert (await bad(node("a"), node("a")))[:3] == (400, "a", "key")
        assert (await bad(node("a", "a")))[:3] == (400, "a", "after")
        assert (await bad(node("a", "z")))[:3] == (400, "a", "after")
        status, _, field, error = await bad(node("a", "c"), node("b", "a"), node("c", "b"))
        assert (status, field) == (400, "after")
        assert error.count("->") == 3
        assert (await bad(node("a", job={"vcpus": -1})))[:3] == (400, "a", "job.vcpus")
        assert (await bad(node("a", job={"id": "x1-1"})))[:3] == (400, "a", "job.id")
        assert (await bad(node("a", job={"shape": "standing"})))[:3] == (400, "a", "job.shape")
        assert (await bad(node("a", job={"vcpus": 99})))[:3] == (422, "a", "job")
        assert (await bad(node("a", job={"crew": "green"})))[:3] == (422, "a", "job")
        each = {"node": "a", "each": True}
        assert (await bad(node("a"), node("b", each, job={"pieces": 2})))[:3] == (400, "b", "after")
        assert (await bad(node("a"), node("b", "a", "a")))[:3] == (400, "b", "after")
        assert (await bad(node("a"), seal=1))[0] == 400
        assert (await bad(node("a", maxRetries=101)))[0] == 400
        assert (await bad(node("x" * 101)))[0] == 400
        assert (await harness.send("POST", "/v2/graphs", b"["))[0] == 400
        assert (await harness.send("POST", "/v2/graphs", b"x" * 70_000))[0] == 400
        # Nothing of all that was kept.
        assert not any("bad" in key for key in harness.state.keys)
        # A plain job that has an id of its nodes keeps it.
        assert await harness.submit(id="bad1-3") == 201
        assert (await bad(node("a")))[0] == 409
        for path in ("/v2/graphs/bad1", "/v2/graphs/bad1/nodes", "/v2/graphs/wk-1"):
            assert (await harness.send("GET", path))[0] == 404
        assert (await harness.send("POST", "/v2/graphs/bad1/cancel"))[0] == 404
        assert (await harness.send("PUT", "/v2/graphs/bad1/parts/0", {"nodes": [node("a")]}))[
            0
        ] == 404

    run_with_controller(scenario)


async def _persist(harness: NodeHarness, body: dict[str, Any]) -> None:
    """Submits as a client does: again and again under the same id until it is accepted."""
    while True:
        with contextlib.suppress(NoAnswerError):
            status, answer = await harness.send("POST", "/v2/graphs", body)
            if status in (200, 201):
                assert answer["status"] in ("accepted", "done")
                return
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("side", ["before", "after"])
@pytest.mark.parametrize("commit", range(1, 13))
def test_a_node_that_dies_at_any_transaction_loses_and_doubles_nothing(
    commit: int, side: str
) -> None:
    """Begin, seal, releases, bindings and ends: the process dies at each in turn."""

    async def scenario(harness: NodeHarness) -> None:
        died = asyncio.Event()
        starts: list[str] = []
        deaths: list[int] = []
        body = {
            "id": "fam7",
            "defaults": DEFAULTS,
            "nodes": [node("a"), node("b", "a"), node("c", "a"), node("d", "b", "c")],
        }

        def crash() -> None:
            harness.task.cancel()
            died.set()
            deaths.append(commit)

        harness.state.crash = crash
        while (await harness.send("POST", "/v2/runs", {}))[0] == 503:
            await asyncio.sleep(0.02)
        harness.state.crash_at = (harness.state.commits + commit, side)
        worker = FakeWorker("m-000001")

        async def work() -> None:
            while True:
                if died.is_set():
                    died.clear()
                    await harness.restart()
                with contextlib.suppress(NoAnswerError):
                    await harness.send_heartbeat(worker)
                for name, task in list(worker.tasks.items()):
                    if task["status"] == "running":
                        starts.append(name)
                        worker.end(name, "done")
                await asyncio.sleep(0.02)

        working = asyncio.create_task(work())
        try:
            async with asyncio.timeout(2 * _TIMEOUT_S):
                await _persist(harness, body)
                while True:
                    with contextlib.suppress(NoAnswerError):
                        if await graph_is(harness, "fam7", "done")():
                            break
                    await asyncio.sleep(0.05)
        finally:
            working.cancel()
        assert deaths == [commit]
        # The results of tasks are kept by their machine, so none of them ran twice.
        order = [name.partition("/")[0][-1] for name in starts]
        assert sorted(order) == ["0", "1", "2", "3"]
        assert order[0] == "0" and order[-1] == "3"
        assert not [key for key in harness.state.keys if key.startswith("job/")]

    run_with_controller(scenario)


def test_a_graph_of_independent_nodes_counts_as_plain_jobs_do() -> None:
    """A team at its limit of 64 processors, tasks of 8: plain, as a graph, and both mixed."""

    async def scenario(harness: NodeHarness) -> None:
        workers = [FakeWorker(f"m-{number:06d}") for number in range(1, 13)]
        job = {**DEFAULTS, "crew": "red", "vcpus": 8.0, "pieces": 1, "dueS": None}

        async def play(name: str, plain: int, nodes: int) -> tuple[int, int, float]:
            if nodes:
                graph: dict[str, Any] = {"id": f"{name}1", "defaults": job}
                graph["nodes"] = [node(f"n{i}") for i in range(nodes)]
                await _persist(harness, graph)
            for number in range(plain):
                assert await harness.submit(**job, id=f"{name}-{number}") == 201
            starts, most, used = 0, 0, 0.0
            async with asyncio.timeout(2 * _TIMEOUT_S):
                while starts < plain + nodes or any(w.tasks for w in workers):
                    for worker in workers:
                        await harness.send_heartbeat(worker)
                    await asyncio.sleep(0.02)
                    leader = harness.node.leader
                    assert leader is not None
                    used = max(used, leader.job_store.team_cpus.get("red", 0.0))
                    running = [(w, n) for w in workers for n, t in w.tasks.items()
                               if t["status"] == "running"]  # fmt: skip
                    most = max(most, len(running))
                    left = plain + nodes - starts
                    if len(running) == min(8, left):
                        # All that the limit allows at once has started.
                        starts += len(running)
                        for worker, task in running:
                            worker.end(task, "done")
            return starts, most, used

        assert await play("plain", 12, 0) == (12, 8, 64.0)
        assert await play("graph", 0, 12) == (12, 8, 64.0)
        assert await play("mixed", 6, 6) == (12, 8, 64.0)

    run_with_controller(scenario)


def test_a_node_cut_off_from_the_records_serves_graphs_by_another() -> None:
    """Two nodes, one of them refused by the state service: its users notice nothing."""

    async def scenario(harness: NodeHarness) -> None:
        nodes = [node("a"), node("b", "a")]
        assert (await submit(harness, id="fam8", nodes=nodes))[0] == 201
        values = copy.deepcopy(harness.values)
        values["host_name"] = "node-9"
        values["client_listen"], values["cluster_listen"] = free_address(), free_address()
        values["services"]["state"] = free_address()  # nobody listens there
        values["members"] = [
            {"host_name": "node-0", "zone": "north", "peer_addr": harness.values["cluster_listen"]}
        ]
        other = Controller(settings.parse(orjson.dumps(values)), ON)
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
