"""The client's calls without I/O: requests, pauses and the interpretation of responses.

Each call is a generator that yields requests and pauses and is sent responses, so that the blocking
and the asyncio client share this code (`connection.py` has their loops). Retries follow the
protocol: until a final status or the time limit, a request is repeated with the same id, after an
exponentially growing pause that is at least as long as `Retry-After`. All calls are idempotent,
since the user chooses the id.
"""

from __future__ import annotations

import random
from collections.abc import Generator, Sequence
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import orjson

from tealrill.errors import TealrillError

T = TypeVar("T")

SUCCESS_STATUSES: Final = frozenset({200, 201})
_FINAL_ERROR_STATUSES: Final = frozenset({400, 404, 405, 409, 422})
_MAX_PAUSE_S: Final = 30.0


class ClientError(TealrillError):
    """Base of the errors of a call."""


class RequestRejectedError(ClientError):
    """The service rejected the request, and a retry would not help; `body` states the reason."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        location = [f"{name} {body[name]!r}" for name in ("node", "field") if name in body]
        reason = str(body.get("error", "refused"))
        super().__init__(f"{status}: {reason}" + (f" ({', '.join(location)})" if location else ""))
        self.status = status
        self.body = body


class NotFoundError(RequestRejectedError):
    """The job or graph does not exist."""


class RetriesExhaustedError(ClientError):
    """No final response within the time limit.

    The request may or may not have been carried out; repeating the call is safe.
    """


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request to send; `timeout_s` limits the wait for its response."""

    method: str
    path: str
    body: bytes | None
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause before the next request, in seconds."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class Response:
    """A response; status 0 if there was none, or if a successful one had no valid body."""

    status: int
    body: dict[str, Any]
    retry_after_s: float | None = None


Step = Request | Pause
Call = Generator[Step, Response | None, T]
"""A call: yields its next step and is sent the response to a request, or None after a pause."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Time limit of a call, pauses between its requests and time-out of each."""

    total_s: float = 60.0
    first_s: float = 1.0
    """The first pause. Pauses grow by a factor of 1.5 up to 30 s, plus up to 25 % jitter."""
    timeout_s: float = 5.0


def parse_response(status: int, content: bytes, retry_after: str | None) -> Response:
    """Parse a response.

    A success status whose body is no JSON object counts as no response (status 0), so that the
    request is repeated. `Retry-After` is limited to 30 s.
    """
    try:
        parsed_body = orjson.loads(content)
    except orjson.JSONDecodeError:
        parsed_body = None
    if not isinstance(parsed_body, dict):
        return Response(0 if status in SUCCESS_STATUSES else status, {})
    retry_after_s = None
    if retry_after is not None and retry_after.isascii() and retry_after.isdigit():
        retry_after_s = min(float(retry_after), _MAX_PAUSE_S)
    return Response(status, parsed_body, retry_after_s)


class Clock:
    """Source of the time and of the jitter; tests substitute their own."""

    def __init__(self, now: Any, rng: random.Random | None = None) -> None:
        self.now = now
        self.rng = rng or random.Random()


def repeat_until_final(
    clock: Clock,
    retry: Retry,
    method: str,
    path: str,
    message: Any = None,
    success_statuses: frozenset[int] = SUCCESS_STATUSES,
) -> Call[Response]:
    """Repeat a request until its response is final, and return that.

    Raises `NotFoundError`, `RequestRejectedError` or `RetriesExhaustedError`.
    """
    body = None if message is None else orjson.dumps(message)
    deadline = clock.now() + retry.total_s
    pause_s = retry.first_s
    last_failure = "no response"
    while True:
        response = yield Request(method, path, body, retry.timeout_s)
        assert response is not None
        if response.status in success_statuses:
            return response
        if response.status == 404:
            raise NotFoundError(404, response.body)
        if response.status in _FINAL_ERROR_STATUSES:
            raise RequestRejectedError(response.status, response.body)
        if response.status:
            last_failure = f"status {response.status}: {response.body.get('error', '')}"
        wait_s = max(pause_s, response.retry_after_s or 0.0)
        if clock.now() + wait_s > deadline:
            raise RetriesExhaustedError(f"{method} {path}: retries exhausted: {last_failure}")
        yield Pause(wait_s * clock.rng.uniform(1.0, 1.25))
        pause_s = min(_MAX_PAUSE_S, 1.5 * pause_s)


# -- jobs -----------------------------------------------------------------------------------------


def submit_job(clock: Clock, retry: Retry, job: dict[str, Any]) -> Call[dict[str, Any]]:
    """Submit a job that is given in the fields of the protocol, including its `id`."""
    response = yield from repeat_until_final(clock, retry, "POST", "/v2/runs", job)
    return response.body


def job_status(clock: Clock, retry: Retry, job_id: str) -> Call[dict[str, Any]]:
    """Return a job's status and its task counts."""
    response = yield from repeat_until_final(clock, retry, "GET", f"/v2/runs/{job_id}")
    return response.body


def cancel_job(clock: Clock, retry: Retry, job_id: str) -> Call[dict[str, Any]]:
    """Cancel a job."""
    response = yield from repeat_until_final(clock, retry, "POST", f"/v2/runs/{job_id}/cancel", {})
    return response.body


# -- graphs ---------------------------------------------------------------------------------------

_MAX_PART_BYTES: Final = 48 * 1024
"""Limit for the nodes of a part, below the 64 KiB that the service accepts as a body."""


def split(nodes: Sequence[dict[str, Any]], max_bytes: int = _MAX_PART_BYTES) -> list[list[Any]]:
    """Split nodes into parts that fit into a request body each.

    The same nodes always give the same parts, so that a repeated submission repeats the same
    requests. A node that is larger than the limit gets a part of its own.
    """
    parts: list[list[Any]] = []
    part_bytes = max_bytes
    for node in nodes:
        node_bytes = len(orjson.dumps(node)) + 1
        if part_bytes + node_bytes > max_bytes:
            parts.append([])
            part_bytes = 0
        parts[-1].append(node)
        part_bytes += node_bytes
    return parts


def submit_graph(
    clock: Clock, retry: Retry, head: dict[str, Any], nodes: Sequence[dict[str, Any]]
) -> Call[dict[str, Any]]:
    """Submit a graph: in one request if it fits, otherwise opened, sent in parts and sealed."""
    parts = split(nodes)
    if len(parts) <= 1:
        message = {**head, "nodes": list(nodes), "seal": True}
        response = yield from repeat_until_final(clock, retry, "POST", "/v2/graphs", message)
        return response.body
    response = yield from repeat_until_final(
        clock, retry, "POST", "/v2/graphs", {**head, "seal": False}
    )
    if response.body.get("status") != "open":
        # Already accepted: the response to an earlier submission's seal request was lost.
        return response.body
    path = f"/v2/graphs/{head['id']}"
    for number, part in enumerate(parts):
        yield from repeat_until_final(
            clock, retry, "PUT", f"{path}/parts/{number}", {"nodes": part}
        )
    # The service reads the whole graph back before it accepts it, which takes longer.
    seal_retry = Retry(retry.total_s, retry.first_s, max(retry.timeout_s, 30.0))
    response = yield from repeat_until_final(
        clock, seal_retry, "POST", f"{path}/seal", {"parts": len(parts)}
    )
    return response.body


def show_graph(clock: Clock, retry: Retry, graph: str) -> Call[dict[str, Any]]:
    """Return a graph's status and its node counts by state."""
    response = yield from repeat_until_final(clock, retry, "GET", f"/v2/graphs/{graph}")
    return response.body


def cancel_graph(clock: Clock, retry: Retry, graph: str) -> Call[dict[str, Any]]:
    """Cancel a graph."""
    response = yield from repeat_until_final(clock, retry, "POST", f"/v2/graphs/{graph}/cancel", {})
    return response.body


def list_nodes(
    clock: Clock, retry: Retry, graph: str, state: str | None = None, limit: int | None = None
) -> Call[list[dict[str, Any]]]:
    """Return the nodes in their order, fetched page by page; at most `limit` of them."""
    nodes: list[dict[str, Any]] = []
    next_index: int | None = 0
    state_parameter = "" if state is None else f"&state={state}"
    while next_index is not None and (limit is None or len(nodes) < limit):
        path = f"/v2/graphs/{graph}/nodes?from={next_index}&most=500{state_parameter}"
        response = yield from repeat_until_final(clock, retry, "GET", path)
        nodes += response.body["nodes"]
        next_index = response.body["next"]
    return nodes[:limit]


ENDED_STATES: Final = frozenset({"done", "failed", "cancelled", "skipped"})
_MAX_SINGLE_QUERIES: Final = 8
"""Up to this many nodes are queried one by one; for more, the graph's nodes are listed."""


def find_ended(clock: Clock, retry: Retry, graph: str, ids: Sequence[str]) -> Call[set[str]]:
    """Return the ids of those nodes that have ended."""
    if len(ids) > _MAX_SINGLE_QUERIES:
        nodes = yield from list_nodes(clock, retry, graph)
        listed_ended_ids = {node["id"] for node in nodes if node["state"] in ENDED_STATES}
        return listed_ended_ids & set(ids)
    ended_ids: set[str] = set()
    for job_id in ids:
        body = yield from job_status(clock, retry, job_id)
        if body["status"] in ("done", "aborted"):
            ended_ids.add(job_id)
    return ended_ids


def wait(
    clock: Clock,
    retry: Retry,
    graph: str,
    ids: Sequence[str],
    count: int,
    timeout_s: float | None,
    poll_s: float,
) -> Call[set[str]]:
    """Poll until `count` nodes have ended or the time is up; return the ids of the ended nodes."""
    deadline = None if timeout_s is None else clock.now() + timeout_s
    ended_ids: set[str] = set()
    while True:
        remaining_ids = [job_id for job_id in ids if job_id not in ended_ids]
        ended_ids |= yield from find_ended(clock, retry, graph, remaining_ids)
        if len(ended_ids) >= count:
            return ended_ids
        if deadline is not None and clock.now() >= deadline:
            return ended_ids
        pause_s = poll_s if deadline is None else min(poll_s, max(0.01, deadline - clock.now()))
        yield Pause(pause_s)
