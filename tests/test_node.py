"""A complete controller on loopback, with fakes of the state service, the cloud and workers."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import signal
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any, cast

import orjson
import pytest
from click.testing import CliRunner
from tornado import netutil

from tealrill import features, settings, wire
from tealrill.api.relay import PEER_PREFIX
from tealrill.cli import main
from tealrill.daemon import Controller
from tealrill.fleet.catalogue import CATALOGUE_PATH
from tealrill.http import Answer, Client
from tealrill.leadership.lease_extension import EXTENSION_PATH, PING_PATH, ExtensionRequest
from tealrill.process import new_event_loop, run_until_stopped
from tealrill.types import LeaseId
from tests.fakes import FakeCloud, FakeStateService, FakeWorker
from tests.samples import SETTINGS, SUBMISSION

_TIMEOUT_S = 30.0


def free_address() -> str:
    (socket,) = netutil.bind_sockets(0, "127.0.0.1")
    port = socket.getsockname()[1]
    socket.close()
    return f"127.0.0.1:{port}"


class NodeHarness:
    """A controller with fakes of the services it depends on."""

    def __init__(self, enabled_features: features.Features | None = None) -> None:
        self.state = FakeStateService()
        self.cloud = FakeCloud()
        values = copy.deepcopy(SETTINGS)
        values["members"] = []
        values["client_listen"], values["cluster_listen"] = free_address(), free_address()
        values["services"] = {"cloud": self.cloud.address, "state": self.state.address}
        self.values = values
        self.enabled_features = enabled_features
        self.node = Controller(settings.parse(orjson.dumps(values)), enabled_features)
        self.client = Client(settings.parse_address(values["client_listen"]))
        self.operator = Client(settings.parse_address(values["cluster_listen"]))

    def start(self) -> None:
        self.task = asyncio.create_task(self.node.run())

    async def wait_until_leader(self) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while self.node.leader is None or not self.node.leader.fleet.loaded:
                assert not self.task.done(), self.task.exception()
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop the controller as if its process had been killed: no task runs on, sockets close."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        for server in self.node.servers:
            server.stop()
            await server.close_all_connections()

    async def restart(self) -> None:
        await self.stop()
        self.node = Controller(settings.parse(orjson.dumps(self.values)), self.enabled_features)
        self.start()
        await self.wait_until_leader()

    async def send(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        raw = body if isinstance(body, bytes) or body is None else orjson.dumps(body)
        answer: Answer = await self.client.request(method, path, raw, _TIMEOUT_S)
        return answer.status, orjson.loads(answer.body)

    async def submit(self, **changes: Any) -> int:
        """Submit a job until the controller knows the machine types; return the HTTP status."""
        while True:
            status, _ = await self.send("POST", "/v2/runs", {**SUBMISSION, **changes})
            if status != 503:
                return status
            await asyncio.sleep(0.02)

    async def send_heartbeat(self, worker: FakeWorker) -> int:
        status, answer = await self.send("POST", "/agent/beat", worker.heartbeat())
        if status == 200:
            worker.token = answer["baton"]
            worker.execute(answer["orders"])
        return status

    async def send_heartbeats_until(self, worker: FakeWorker, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while not done():
                await self.send_heartbeat(worker)
                await asyncio.sleep(0.02)

    async def status(self, job: str) -> str:
        _, answer = await self.send("GET", f"/v2/runs/{job}")
        return str(answer.get("status"))


@contextlib.asynccontextmanager
async def running_node(
    enabled_features: features.Features | None = None,
) -> AsyncIterator[NodeHarness]:
    harness = NodeHarness(enabled_features)
    harness.start()
    try:
        await harness.wait_until_leader()
        yield harness
    finally:
        await harness.stop()


def _run_with_node(test: Callable[[NodeHarness], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with running_node() as harness:
            await test(harness)

    # Use the event loop that the daemon uses.
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())


def test_job_runs_to_completion() -> None:
    async def scenario(harness: NodeHarness) -> None:
        assert await harness.submit(pieces=2) == 201
        assert await harness.submit(pieces=2) == 200
        worker = FakeWorker("m-000001")
        await harness.send_heartbeats_until(worker, lambda: len(worker.tasks) == 2)
        assert await harness.status("wk-000412") == "running"
        for name in list(worker.tasks):
            worker.end(name, "done")
        await harness.send_heartbeats_until(worker, lambda: not worker.tasks)
        async with asyncio.timeout(_TIMEOUT_S):
            while await harness.status("wk-000412") != "done":
                await asyncio.sleep(0.02)
        # The record of a completed job remains: submitting it again creates no new job.
        assert await harness.submit(pieces=0) == 200
        assert (await harness.send("POST", "/v2/runs/wk-000412/cancel"))[1]["status"] == "done"

    _run_with_node(scenario)


def test_cancelled_job_is_stopped_and_stays_cancelled() -> None:
    async def scenario(harness: NodeHarness) -> None:
        assert await harness.submit(pieces=1) == 201
        worker = FakeWorker("m-000001")
        await harness.send_heartbeats_until(worker, lambda: len(worker.tasks) == 1)
        status, answer = await harness.send("POST", "/v2/runs/wk-000412/cancel")
        assert (status, answer["status"]) == (200, "aborted")
        await harness.send_heartbeats_until(worker, lambda: not worker.tasks)
        assert await harness.status("wk-000412") == "aborted"
        assert await harness.submit(pieces=1) == 200

    _run_with_node(scenario)


def test_lost_commit_response_loses_no_record() -> None:
    async def scenario(harness: NodeHarness) -> None:
        assert await harness.submit(id="wk-1", pieces=1) == 201
        harness.state.responses_to_drop = 1
        # The transaction is executed but its response lost: the record is read back.
        assert await harness.submit(id="wk-2", pieces=1) == 200
        harness.state.responses_to_drop = 2
        worker = FakeWorker("m-000001")
        await harness.send_heartbeats_until(worker, lambda: "wk-2/0" in worker.tasks)
        bound = [v for k, (v, _) in harness.state.keys.items() if k.startswith("run/wk-2/")]
        assert bound[0]["tasks"][0][1] == "m-000001"

    _run_with_node(scenario)


def test_state_service_outage_returns_503_until_recovery() -> None:
    async def scenario(harness: NodeHarness) -> None:
        assert await harness.submit(id="wk-1") == 201
        harness.state.down = True
        status, _ = await harness.send("POST", "/v2/runs", {**SUBMISSION, "id": "wk-2"})
        assert status == 503
        assert (await harness.send("GET", "/v2/runs/wk-1"))[0] == 503
        assert (await harness.send("GET", "/up"))[0] == 200
        harness.state.down = False
        assert await harness.submit(id="wk-2") == 201

    _run_with_node(scenario)


def test_invalid_requests_return_status_and_json_error() -> None:
    async def scenario(harness: NodeHarness) -> None:
        assert await harness.submit(id="wk-1") == 201

        async def submit(body: Any) -> tuple[int, str]:
            status, answer = await harness.send("POST", "/v2/runs", body)
            return status, answer.get("error", "")

        assert (await submit(b"{"))[0] == 400
        assert (await submit(b"[1]"))[0] == 400
        assert (await submit(b"x" * 70_000))[0] == 400
        status, error = await submit({**SUBMISSION, "id": "wk-2", "vcpus": -1})
        assert status == 400 and "vcpus" in error
        status, error = await submit({**SUBMISSION, "id": "no such form"})
        assert status == 400 and "id" in error
        assert (await submit({**SUBMISSION, "id": "wk-2", "crew": "green"}))[0] == 422
        assert (await submit({**SUBMISSION, "id": "wk-2", "vcpus": 9.0}))[0] == 422
        assert (await submit({**SUBMISSION, "id": "wk-2", "crew": "red", "shape": "standing",
                              "pieces": 17}))[0] == 422  # fmt: skip
        # A repeated submission gets the known job's status even if its body is invalid.
        assert (await submit({"id": "wk-1"}))[0] == 200
        assert (await harness.send("GET", "/v2/runs/wk-77"))[0] == 404
        assert (await harness.send("POST", "/v2/runs/wk-77/cancel"))[0] == 404
        assert (await harness.send("GET", "/nowhere"))[0] == 404
        assert (await harness.send("GET", "/v2/runs"))[0] == 405
        assert (await harness.send("POST", "/agent/beat", {"kiln": "m-1"}))[0] == 400

    _run_with_node(scenario)


def test_peer_routes_respond() -> None:
    """Request every route between members over HTTP.

    If the keyword arguments of a handler and of its route differ, each ping is answered 500, and
    the other members find that the leader has failed.
    """

    async def scenario(harness: NodeHarness) -> None:
        request = harness.operator.request
        ping = await request("GET", PING_PATH, None, _TIMEOUT_S)
        assert ping.status == 200 and orjson.loads(ping.body)["leads"] is True
        body = wire.encode(ExtensionRequest(1))
        extension = await request("POST", EXTENSION_PATH, body, _TIMEOUT_S)
        answer = orjson.loads(extension.body)
        assert extension.status == 200 and answer["promised"] is False and answer["why"]
        assert (await request("POST", EXTENSION_PATH, b"{}", _TIMEOUT_S)).status == 400
        assert await harness.submit() == 201
        assert (await request("GET", CATALOGUE_PATH, None, _TIMEOUT_S)).status == 200
        poll = await request("GET", PEER_PREFIX + "/v2/runs/wk-000412", None, _TIMEOUT_S)
        assert poll.status == 200
        state = await request("GET", "/admin/state", None, _TIMEOUT_S)
        assert orjson.loads(state.body)["held_by"] == "lease"

    _run_with_node(scenario)


@pytest.mark.parametrize(
    ("content", "named"),
    [("{", "JSON"), ('{"host_name": 3}', "host_name"), (None, "No such file")],
)
def test_invalid_settings_exit_with_one_line_error(
    tmp_path: Any, content: str | None, named: str
) -> None:
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_text(content)
    result = CliRunner().invoke(main, ["serve", "--config", str(path)])
    assert result.exit_code == 2
    assert named in result.output
    assert len(result.output.strip().splitlines()) == 1


@pytest.mark.parametrize(
    ("content", "named"),
    [
        ("version = ", "TOML"),
        ("version = 2", "$.version"),
        ("[grafs]\non = true", "grafs"),
        ("[graphs]\nonn = true", "onn"),
        ("[graphs]\non = 1", "$.graphs.on"),
        ("[graphs]\nmost_nodes = 0", "$.graphs.most_nodes"),
        (b"\xff", "UTF-8"),
        (None, "No such file"),
    ],
)
def test_invalid_features_exit_with_one_line_error(
    tmp_path: Path, content: str | bytes | None, named: str
) -> None:
    config, path = tmp_path / "settings.json", tmp_path / "features.toml"
    config.write_bytes(orjson.dumps(SETTINGS))
    if content is not None:
        path.write_bytes(content.encode() if isinstance(content, str) else content)
    arguments = ["serve", "--features", str(path), "--config", str(config)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 2
    assert "features" in result.output and named in result.output
    assert len(result.output.strip().splitlines()) == 1


def test_deployed_features_file_is_valid() -> None:
    root = Path(__file__).resolve().parent.parent
    assert features.load(root / "deploy" / "features.toml").version == 1
    assert "--features deploy/features.toml" in (root / "deploy" / "service.toml").read_text()


def test_idle_leader_request_rate_is_bounded() -> None:
    """Idle polling would use up a small processor share. A slow machine only polls less."""

    async def scenario(harness: NodeHarness) -> None:
        worker = FakeWorker("m-000001")
        await harness.send_heartbeats_until(worker, lambda: worker.token > 0)
        loop = asyncio.get_running_loop()
        state, cloud, began = harness.state.calls, harness.cloud.calls, loop.time()
        await asyncio.sleep(3.0)
        passed_s = loop.time() - began
        assert harness.state.calls - state <= 2 + 4 * passed_s
        assert harness.cloud.calls - cloud <= 2 + passed_s

    _run_with_node(scenario)


def test_handover_finishes_work_before_releasing_lease() -> None:
    """Without a handover the lease would have to expire, and the last bindings would be lost."""

    async def scenario(harness: NodeHarness) -> None:
        assert await harness.submit(pieces=2) == 201
        worker = FakeWorker("m-000001")
        await harness.send_heartbeats_until(worker, lambda: len(worker.tasks) == 2)
        assert await harness.submit(id="wk-000777", pieces=2) == 201
        leader = harness.node.leader
        assert leader is not None
        ended: list[int] = []
        end_lease = harness.node._client.end_lease

        async def counted(lease: LeaseId) -> None:
            # Work in flight must be finished first: once the lease is released, another leader
            # may write these records.
            assert not leader.busy
            ended.append(lease)
            await end_lease(lease)

        harness.node._client.end_lease = counted  # type: ignore[method-assign]
        await harness.node.hand_over("test")
        assert len(ended) == 1 and harness.node.election.leadership is None
        assert leader.intent_log.full, "a leader that hands over accepts no new intents"
        for job in leader.job_store.jobs.values():
            assert all(chunk.committed == chunk.version for chunk in job.chunks.values())
        # A controller that does not lead has nothing to hand over.
        await harness.node.hand_over("second call")
        assert len(ended) == 1

    _run_with_node(scenario)


def test_sigterm_ends_controller_and_leadership() -> None:
    async def run() -> None:
        harness = NodeHarness()
        task = asyncio.create_task(run_until_stopped(harness.node))
        harness.task = cast(Any, task)
        await harness.wait_until_leader()
        signal.raise_signal(signal.SIGTERM)
        async with asyncio.timeout(_TIMEOUT_S):
            await task
        assert harness.node.election.leadership is None
        for server in harness.node.servers:
            server.stop()
            await server.close_all_connections()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())
