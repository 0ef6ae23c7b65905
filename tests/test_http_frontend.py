"""HTTP front end: direct responses to heartbeats, limits on buffered bodies and connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import orjson
import pytest
from tornado import iostream, netutil, web
from tornado.http1connection import HTTP1Connection

from tealrill import wire
from tealrill.api import http_frontend
from tealrill.http import Answer, Client
from tealrill.settings import Address
from tealrill.types import MachineId, Monotonic, monotonic_now
from tests.fakes import FakeWorker

_MAX_HELD_BYTES = 200_000


class _BlockingHandler(web.RequestHandler):
    """A handler that responds only after the test allows it."""

    def initialize(self, harness: Any) -> None:
        self.harness = harness

    async def post(self) -> None:
        self.harness.body_sizes.append(len(self.request.body))
        await self.harness.allow_responses.wait()
        self.finish({})


class _FrontendHarness:
    def __init__(self) -> None:
        self.body_sizes: list[int] = []
        self.allow_responses = asyncio.Event()
        self.heartbeats: list[MachineId] = []
        application = web.Application([(r"/slow", _BlockingHandler, {"harness": self})])
        self.frontend = http_frontend.HttpFrontend(
            application, _MAX_HELD_BYTES, self._record_heartbeat
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.address = Address("127.0.0.1", sockets[0].getsockname()[1])
        self.server = http_frontend.Server(self.frontend)
        self.server.add_sockets(sockets)

    def _record_heartbeat(
        self, heartbeat: wire.Heartbeat, machine: MachineId
    ) -> http_frontend.HeartbeatReply:
        self.heartbeats.append(machine)
        return 200, wire.heartbeat_response(4, [])

    def send(self, path: str, body: bytes) -> asyncio.Task[Answer]:
        return asyncio.create_task(Client(self.address).request("POST", path, body, 20.0))


@contextlib.asynccontextmanager
async def _running_frontend() -> AsyncIterator[_FrontendHarness]:
    harness = _FrontendHarness()
    yield harness
    harness.allow_responses.set()
    harness.server.stop()
    await harness.server.close_all_connections()


def test_heartbeat_bypasses_application(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with _running_frontend() as harness:
            monkeypatch.setattr(harness.frontend.application, "start_request", None)
            body = orjson.dumps(FakeWorker("m-000001").heartbeat())
            client = Client(harness.address)
            calls: list[bool] = []
            monkeypatch.setattr(iostream.IOStream, "set_nodelay", lambda _, on: calls.append(on))
            for _ in range(3):
                answer = await client.request("POST", wire.HEARTBEAT_PATH, body)
                assert (answer.status, orjson.loads(answer.body)["baton"]) == (200, 4)
            assert harness.heartbeats == ["m-000001"] * 3
            assert calls == [True, True]  # once each on the client's and the server's side

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b'{"kiln": 7}', b" " * (wire.MAX_BODY + 1)],
)
def test_malformed_heartbeat_returns_400(body: bytes) -> None:
    async def scenario() -> None:
        async with _running_frontend() as harness:
            answer = await harness.send(wire.HEARTBEAT_PATH, body)
            assert answer.status == 400
            assert orjson.loads(answer.body)["error"]
            assert not harness.heartbeats

    asyncio.run(scenario())


def test_concurrent_large_bodies_are_limited() -> None:
    """Without a limit, bodies on hundreds of sockets could exceed the machine's memory."""

    async def scenario() -> None:
        async with _running_frontend() as harness:
            requests = [harness.send("/slow", b"x" * 60_000) for _ in range(6)]
            while sum(request.done() for request in requests) < 3:
                await asyncio.sleep(0.01)
            assert [r.result().status for r in requests if r.done()] == [503] * 3
            assert harness.body_sizes == [60_000] * 3
            # Heartbeats are still accepted, since their bodies are limited separately.
            body = orjson.dumps(FakeWorker("m-000001").heartbeat())
            assert (await harness.send(wire.HEARTBEAT_PATH, body)).status == 200
            harness.allow_responses.set()
            answers = await asyncio.gather(*requests)
            assert sorted(a.status for a in answers) == [200] * 3 + [503] * 3
            # The responses release the memory.
            assert (await harness.send("/slow", b"x" * 60_000)).status == 200

    asyncio.run(scenario())


def test_idle_connection_is_closed() -> None:
    async def scenario() -> None:
        async with _running_frontend() as harness:
            reader, writer = await asyncio.open_connection(*harness.address)
            pending = harness.send("/slow", b"{}")
            while not harness.body_sizes or not harness.frontend.connections >= 2:
                await asyncio.sleep(0.01)
            await harness.frontend.close_idle(monotonic_now())
            await harness.frontend.close_idle(Monotonic(monotonic_now() + 1e4))
            assert await reader.read() == b""
            writer.close()
            harness.allow_responses.set()
            assert (await pending).status == 200

    asyncio.run(scenario())


def _raw(path: str, body: bytes) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: here\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_pipelined_requests_do_not_starve_other_connections() -> None:
    async def scenario() -> None:
        async with _running_frontend() as harness:
            body = orjson.dumps(FakeWorker("m-000001").heartbeat())
            other_body = orjson.dumps(FakeWorker("m-000002").heartbeat())
            pipelining = await asyncio.open_connection(*harness.address)
            single = await asyncio.open_connection(*harness.address)
            pipelining[1].write(_raw(wire.HEARTBEAT_PATH, body) * 400)
            single[1].write(_raw(wire.HEARTBEAT_PATH, other_body))
            await single[0].readuntil(b"\r\n\r\n")
            assert harness.heartbeats.index(MachineId("m-000002")) < 400
            while len(harness.heartbeats) < 401:
                await asyncio.sleep(0)
            for _, writer in (pipelining, single):
                writer.close()

    asyncio.run(scenario())


def test_sequential_heartbeats_skip_event_loop_yield(monkeypatch: pytest.MonkeyPatch) -> None:
    """A yield after every heartbeat made up half of all event loop iterations of a large leader."""
    yields: list[float] = []
    sleep = asyncio.sleep

    async def counted(delay: float) -> None:
        if delay == 0:
            yields.append(delay)
        await sleep(delay)

    async def scenario() -> None:
        async with _running_frontend() as harness:
            monkeypatch.setattr(asyncio, "sleep", counted)
            body = orjson.dumps(FakeWorker("m-000001").heartbeat())
            client = Client(harness.address)
            for _ in range(16):
                assert (await client.request("POST", wire.HEARTBEAT_PATH, body)).status == 200

    asyncio.run(scenario())
    assert len(yields) == 2


def test_header_cache_avoids_parsing_and_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    parsed: list[bytes] = []
    parse = HTTP1Connection._parse_headers

    def counted(message: Any, data: bytes) -> Any:
        if not message.is_client:
            parsed.append(data)
        return parse(message, data)

    async def scenario() -> None:
        async with _running_frontend() as harness:
            body = orjson.dumps(FakeWorker("m-000001").heartbeat())
            client = Client(harness.address)
            for _ in range(5):
                answer = await client.request("POST", wire.HEARTBEAT_PATH, body)
                assert (answer.status, orjson.loads(answer.body)["baton"]) == (200, 4)
            assert len(parsed) == 1
            for size in range(1, 12):
                assert (
                    await client.request("POST", wire.HEARTBEAT_PATH, b"x" * size)
                ).status == 400
            assert len(http_frontend._Message._parsed_headers) <= 8
            long = {"X-Long": "y" * 1000}
            reader, writer = await asyncio.open_connection(*harness.address)
            for _ in range(2):
                lines = "".join(f"{name}: {value}\r\n" for name, value in long.items())
                head = f"POST {wire.HEARTBEAT_PATH} HTTP/1.1\r\n{lines}Content-Length: {len(body)}"
                writer.write(head.encode() + b"\r\n\r\n" + body)
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
                await reader.readexactly(len(orjson.dumps(wire.heartbeat_response(4, []))))
            assert all(len(head) <= 256 for head in http_frontend._Message._parsed_headers)
            writer.close()

    monkeypatch.setattr(HTTP1Connection, "_parse_headers", counted)
    monkeypatch.setattr(http_frontend, "_MAX_CACHED_HEADERS", 8)
    http_frontend._Message._parsed_headers.clear()
    asyncio.run(scenario())
