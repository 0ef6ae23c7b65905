"""The blocking and the asyncio client: each drives the calls of `protocol.py` with httpx."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Sequence
from types import TracebackType
from typing import Any, Self, TypeVar

import httpx

from tealrill.client import protocol
from tealrill.client.graph import Graph, ObjectRef
from tealrill.client.protocol import Call, Clock, Pause, Request, Response, Retry

T = TypeVar("T")

_POLL_INTERVAL_S = 2.0


def _urls(addresses: str | Sequence[str]) -> list[str]:
    address_list = [addresses] if isinstance(addresses, str) else list(addresses)
    if not address_list:
        raise ValueError("no controller address given")
    return [a if a.startswith(("http://", "https://")) else f"http://{a}" for a in address_list]


def _parse_response(http_response: httpx.Response) -> Response:
    return protocol.parse_response(
        http_response.status_code, http_response.content, http_response.headers.get("Retry-After")
    )


class _AddressRotation:
    """The base URLs in rotation: after a transport error the next one is used."""

    def __init__(self, addresses: str | Sequence[str]) -> None:
        self._urls = _urls(addresses)
        self._current = 0

    def request_arguments(self, request: Request) -> dict[str, Any]:
        """Return a request as keyword arguments of httpx's `request`."""
        return {
            "method": request.method,
            "url": self._urls[self._current] + request.path,
            "content": request.body,
            "headers": {"Content-Type": "application/json"},
            "timeout": request.timeout_s,
        }

    def advance(self) -> None:
        """Use the next address for the following requests."""
        self._current = (self._current + 1) % len(self._urls)


def _wait_call(
    client: Client | AsyncClient,
    graph: str,
    refs: Sequence[ObjectRef],
    count: int | None,
    timeout_s: float | None,
    poll_s: float,
) -> Call[set[str]]:
    ids = [ref.id for ref in refs]
    required_count = len(ids) if count is None else count
    return protocol.wait(client.clock, client.retry, graph, ids, required_count, timeout_s, poll_s)


def _partition(
    refs: Sequence[ObjectRef], ended: set[str]
) -> tuple[list[ObjectRef], list[ObjectRef]]:
    return [ref for ref in refs if ref.id in ended], [ref for ref in refs if ref.id not in ended]


class Run:
    """A submitted graph."""

    def __init__(self, client: Client, graph: str, refs: Sequence[ObjectRef]) -> None:
        self._client = client
        self.graph = graph
        self._refs = list(refs)

    def progress(self) -> dict[str, Any]:
        """Return the graph's status and its node counts by state, as the service reports them."""
        return self._client.show_graph(self.graph)

    def status(self, ref: ObjectRef) -> dict[str, Any]:
        """Return the status of a node's job and its task counts."""
        return self._client.job_status(ref.id)

    def cancel(self) -> str:
        """Cancel the graph and return its status: `aborted`, unless it had ended before."""
        return str(self._client.cancel_graph(self.graph)["status"])

    def wait(
        self,
        refs: Iterable[ObjectRef] | None = None,
        *,
        num_returns: int | None = None,
        timeout_s: float | None = None,
        poll_s: float = _POLL_INTERVAL_S,
    ) -> tuple[list[ObjectRef], list[ObjectRef]]:
        """Wait until `num_returns` of the nodes (default: all) have ended, whatever the outcome.

        Returns the ended and the remaining nodes, each in the order given. Polls every `poll_s`
        seconds and returns once `timeout_s` has passed, even if fewer nodes have ended.
        """
        selected = self._refs if refs is None else list(refs)
        call = _wait_call(self._client, self.graph, selected, num_returns, timeout_s, poll_s)
        return _partition(selected, self._client.do(call))


class Client:
    """A blocking client. `addresses` are those of the load balancer or of the controllers."""

    def __init__(self, addresses: str | Sequence[str], retry: Retry | None = None) -> None:
        self._addresses = _AddressRotation(addresses)
        self._http = httpx.Client(trust_env=False)
        self.retry = retry or Retry()
        self.clock = Clock(time.monotonic)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def do(self, call: Call[T]) -> T:
        """Run a call and return its result; raises `ClientError`."""
        response: Response | None = None
        try:
            while True:
                step = call.send(response)
                response = None
                if isinstance(step, Pause):
                    time.sleep(step.duration_s)
                else:
                    response = self._send(step)
        except StopIteration as stop:
            result: T = stop.value
            return result

    def _send(self, request: Request) -> Response:
        try:
            return _parse_response(self._http.request(**self._addresses.request_arguments(request)))
        except httpx.TransportError:
            self._addresses.advance()
            return Response(0, {})

    def submit(self, graph: Graph) -> Run:
        """Submit a graph. Repeating it is safe: the id identifies the graph."""
        self.submit_graph(graph.head, graph.nodes)
        return Run(self, graph.id, graph.refs)

    def submit_graph(self, head: dict[str, Any], nodes: Sequence[dict[str, Any]]) -> dict[str, Any]:
        """Submit a graph that is given in the fields of the protocol."""
        return self.do(protocol.submit_graph(self.clock, self.retry, head, nodes))

    def show_graph(self, graph: str) -> dict[str, Any]:
        """Return a graph's status and its node counts by state."""
        return self.do(protocol.show_graph(self.clock, self.retry, graph))

    def list_nodes(
        self, graph: str, state: str | None = None, most: int | None = None
    ) -> list[dict[str, Any]]:
        """Return at most `most` nodes of a graph, only those in `state` if it is given."""
        return self.do(protocol.list_nodes(self.clock, self.retry, graph, state, most))

    def cancel_graph(self, graph: str) -> dict[str, Any]:
        """Cancel a graph with all its nodes that have not ended."""
        return self.do(protocol.cancel_graph(self.clock, self.retry, graph))

    def submit_job(self, job: dict[str, Any]) -> dict[str, Any]:
        """Submit a single job that is given in the fields of the protocol."""
        return self.do(protocol.submit_job(self.clock, self.retry, job))

    def job_status(self, job_id: str) -> dict[str, Any]:
        """Return a job's status and its task counts."""
        return self.do(protocol.job_status(self.clock, self.retry, job_id))

    def cancel_job(self, job_id: str) -> dict[str, Any]:
        """Cancel a job. Repeating it gives the same response."""
        return self.do(protocol.cancel_job(self.clock, self.retry, job_id))


class AsyncRun:
    """A submitted graph, for asyncio; the methods are those of `Run`."""

    def __init__(self, client: AsyncClient, graph: str, refs: Sequence[ObjectRef]) -> None:
        self._client = client
        self.graph = graph
        self._refs = list(refs)

    async def progress(self) -> dict[str, Any]:
        """Return the graph's status and its node counts by state, as the service reports them."""
        return await self._client.show_graph(self.graph)

    async def status(self, ref: ObjectRef) -> dict[str, Any]:
        """Return the status of a node's job and its task counts."""
        return await self._client.job_status(ref.id)

    async def cancel(self) -> str:
        """Cancel the graph and return its status: `aborted`, unless it had ended before."""
        return str((await self._client.cancel_graph(self.graph))["status"])

    async def wait(
        self,
        refs: Iterable[ObjectRef] | None = None,
        *,
        num_returns: int | None = None,
        timeout_s: float | None = None,
        poll_s: float = _POLL_INTERVAL_S,
    ) -> tuple[list[ObjectRef], list[ObjectRef]]:
        """Wait until `num_returns` of the nodes (default: all) have ended; see `Run.wait`."""
        selected = self._refs if refs is None else list(refs)
        call = _wait_call(self._client, self.graph, selected, num_returns, timeout_s, poll_s)
        return _partition(selected, await self._client.do(call))


class AsyncClient:
    """The client for asyncio; the methods are those of `Client`."""

    def __init__(self, addresses: str | Sequence[str], retry: Retry | None = None) -> None:
        self._addresses = _AddressRotation(addresses)
        self._http = httpx.AsyncClient(trust_env=False)
        self.retry = retry or Retry()
        self.clock = Clock(time.monotonic)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def do(self, call: Call[T]) -> T:
        """Run a call and return its result; raises `ClientError`."""
        response: Response | None = None
        try:
            while True:
                step = call.send(response)
                response = None
                if isinstance(step, Pause):
                    await asyncio.sleep(step.duration_s)
                else:
                    response = await self._send(step)
        except StopIteration as stop:
            result: T = stop.value
            return result

    async def _send(self, request: Request) -> Response:
        try:
            return _parse_response(
                await self._http.request(**self._addresses.request_arguments(request))
            )
        except httpx.TransportError:
            self._addresses.advance()
            return Response(0, {})

    async def submit(self, graph: Graph) -> AsyncRun:
        """Submit a graph. Repeating it is safe: the id identifies the graph."""
        await self.submit_graph(graph.head, graph.nodes)
        return AsyncRun(self, graph.id, graph.refs)

    async def submit_graph(
        self, head: dict[str, Any], nodes: Sequence[dict[str, Any]]
    ) -> dict[str, Any]:
        """Submit a graph that is given in the fields of the protocol."""
        return await self.do(protocol.submit_graph(self.clock, self.retry, head, nodes))

    async def show_graph(self, graph: str) -> dict[str, Any]:
        """Return a graph's status and its node counts by state."""
        return await self.do(protocol.show_graph(self.clock, self.retry, graph))

    async def list_nodes(
        self, graph: str, state: str | None = None, most: int | None = None
    ) -> list[dict[str, Any]]:
        """Return at most `most` nodes of a graph, only those in `state` if it is given."""
        return await self.do(protocol.list_nodes(self.clock, self.retry, graph, state, most))

    async def cancel_graph(self, graph: str) -> dict[str, Any]:
        """Cancel a graph with all its nodes that have not ended."""
        return await self.do(protocol.cancel_graph(self.clock, self.retry, graph))

    async def submit_job(self, job: dict[str, Any]) -> dict[str, Any]:
        """Submit a single job that is given in the fields of the protocol."""
        return await self.do(protocol.submit_job(self.clock, self.retry, job))

    async def job_status(self, job_id: str) -> dict[str, Any]:
        """Return a job's status and its task counts."""
        return await self.do(protocol.job_status(self.clock, self.retry, job_id))

    async def cancel_job(self, job_id: str) -> dict[str, Any]:
        """Cancel a job. Repeating it gives the same response."""
        return await self.do(protocol.cancel_job(self.clock, self.retry, job_id))
