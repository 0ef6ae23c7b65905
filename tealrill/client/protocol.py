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

SUBMIT: Final = frozenset({200, 201})
_FINAL_ERRORS: Final = frozenset({400, 404, 405, 409, 422})
_MOST_PAUSE_S: Final = 30.0


class ClientError(TealrillError):
    """Base of the errors of a call."""


class RequestRejectedError(ClientError):
    """The service rejected the request, and a retry would not help; `body` states the reason."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        where = [f"{name} {body[name]!r}" for name in ("node", "field") if name in body]
        text = str(body.get("error", "rejected"))
        super().__init__(f"{status}: {text}" + (f" ({', '.join(where)})" if where else ""))
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

    s: float


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


def read(status: int, content: bytes, retry_after: str | None) -> Response:
    """Parse a response.

    A success status whose body is no JSON object counts as no response (status 0), so that the
    request is repeated. `Retry-After` is limited to 30 s.
    """
    try:
        body = orjson.loads(content)
    except orjson.JSONDecodeError:
        body = None
    if not isinstance(body, dict):
        return Response(0 if status in SUBMIT else status, {})
    after = None
    if retry_after is not None and retry_after.isascii() and retry_after.isdigit():
        after = min(float(retry_after), _MOST_PAUSE_S)
    return Response(status, body, after)


class Clock:
    """Source of the time and of the jitter; tests substitute their own."""

    def __init__(self, now: Any, luck: random.Random | None = None) -> None:
        self.now = now
        self.luck = luck or random.Random()


def call(
    clock: Clock,
    retry: Retry,
    method: str,
    path: str,
    message: Any = None,
    good: frozenset[int] = SUBMIT,
) -> Call[Response]:
    """Repeat a request until its response is final, and return that.

    Raises `NotFoundError`, `RequestRejectedError` or `RetriesExhaustedError`.
    """
    body = None if message is None else orjson.dumps(message)
    until = clock.now() + retry.total_s
    pause_s = retry.first_s
    last = "no response"
    while True:
        response = yield Request(method, path, body, retry.timeout_s)
        assert response is not None
        if response.status in good:
            return response
        if response.status == 404:
            raise NotFoundError(404, response.body)
        if response.status in _FINAL_ERRORS:
            raise RequestRejectedError(response.status, response.body)
        if response.status:
            last = f"status {response.status}: {response.body.get('error', '')}"
        wait_s = max(pause_s, response.retry_after_s or 0.0)
        if clock.now() + wait_s > until:
            raise RetriesExhaustedError(f"{method} {path}: retries exhausted: {last}")
        yield Pause(wait_s * clock.luck.uniform(1.0, 1.25))
        pause_s = min(_MOST_PAUSE_S, 1.5 * pause_s)


# -- jobs -----------------------------------------------------------------------------------------


def submit_job(clock: Clock, retry: Retry, job: dict[str, Any]) -> Call[dict[str, Any]]:
    """Submit a job that is given in the fields of the protocol, its `id` included."""
    response = yield from call(clock, retry, "POST", "/v2/runs", job)
    return response.body


def job_status(clock: Clock, retry: Retry, job_id: str) -> Call[dict[str, Any]]:
    """Return a job's status and its task counts."""
    response = yield from call(clock, retry, "GET", f"/v2/runs/{job_id}")
    return response.body


def cancel_job(clock: Clock, retry: Retry, job_id: str) -> Call[dict[str, Any]]:
    """Cancel a job."""
    response = yield from call(clock, retry, "POST", f"/v2/runs/{job_id}/cancel", {})
    return response.body


# -- graphs ---------------------------------------------------------------------------------------

_PART_BYTES: Final = 48 * 1024
"""Limit for the nodes of a part, below the 64 KiB that the service accepts as a body."""


def split(nodes: Sequence[dict[str, Any]], most_bytes: int = _PART_BYTES) -> list[list[Any]]:
    """Split nodes into parts that fit into a request body each.

    The same nodes always give the same parts, so that a repeated submission repeats the same
    requests. A node that is larger than the limit gets a part of its own.
    """
    parts: list[list[Any]] = []
    size = most_bytes
    for node in nodes:
        length = len(orjson.dumps(node)) + 1
        if size + length > most_bytes:
            parts.append([])
            size = 0
        parts[-1].append(node)
        size += length
    return parts


def submit_graph(
    clock: Clock, retry: Retry, head: dict[str, Any], nodes: Sequence[dict[str, Any]]
) -> Call[dict[str, Any]]:
    """Submit a graph: in one request if it fits, otherwise opened, sent in parts and sealed."""
    parts = split(nodes)
    if len(parts) <= 1:
        message = {**head, "nodes": list(nodes), "seal": True}
        response = yield from call(clock, retry, "POST", "/v2/graphs", message)
        return response.body
    response = yield from call(clock, retry, "POST", "/v2/graphs", {**head, "seal": False})
    if response.body.get("status") != "open":
        # It was sealed by an earlier submission whose response was lost.
        return response.body
    path = f"/v2/graphs/{head['id']}"
    for number, part in enumerate(parts):
        yield from call(clock, retry, "PUT", f"{path}/parts/{number}", {"nodes": part})
    # The service reads the whole graph back before it accepts it, which takes longer.
    patient = Retry(retry.total_s, retry.first_s, max(retry.timeout_s, 30.0))
    response = yield from call(clock, patient, "POST", f"{path}/seal", {"parts": len(parts)})
    return response.body


def show_graph(clock: Clock, retry: Retry, graph: str) -> Call[dict[str, Any]]:
    """Return a graph's status and its node counts by state."""
    response = yield from call(clock, retry, "GET", f"/v2/graphs/{graph}")
    return response.body


def cancel_graph(clock: Clock, retry: Retry, graph: str) -> Call[dict[str, Any]]:
    """Cancel a graph."""
    response = yield from call(clock, retry, "POST", f"/v2/graphs/{graph}/cancel", {})
    return response.body


def list_nodes(
    clock: Clock, retry: Retry, graph: str, state: str | None = None, most: int | None = None
) -> Call[list[dict[str, Any]]]:
    """Return the nodes in their order, fetched page by page; at most `most` of them."""
    found: list[dict[str, Any]] = []
    start: int | None = 0
    chosen = "" if state is None else f"&state={state}"
    while start is not None and (most is None or len(found) < most):
        path = f"/v2/graphs/{graph}/nodes?from={start}&most=500{chosen}"
        response = yield from call(clock, retry, "GET", path)
        found += response.body["nodes"]
        start = response.body["next"]
    return found[:most]


OVER_STATES: Final = frozenset({"done", "failed", "cancelled", "skipped"})
_FEW: Final = 8
"""Up to so many nodes are queried one by one; for more, the graph's nodes are listed."""


def ended(clock: Clock, retry: Retry, graph: str, ids: Sequence[str]) -> Call[set[str]]:
    """Return the ids of those nodes that have ended."""
    if len(ids) > _FEW:
        nodes = yield from list_nodes(clock, retry, graph)
        over = {node["id"] for node in nodes if node["state"] in OVER_STATES}
        return over & set(ids)
    found: set[str] = set()
    for job_id in ids:
        body = yield from job_status(clock, retry, job_id)
        if body["status"] in ("done", "aborted"):
            found.add(job_id)
    return found


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
    until = None if timeout_s is None else clock.now() + timeout_s
    over: set[str] = set()
    while True:
        left = [job_id for job_id in ids if job_id not in over]
        over |= yield from ended(clock, retry, graph, left)
        if len(over) >= count:
            return over
        if until is not None and clock.now() >= until:
            return over
        pause_s = poll_s if until is None else min(poll_s, max(0.01, until - clock.now()))
        yield Pause(pause_s)
