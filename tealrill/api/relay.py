"""Relay of users' requests to another controller.

If a partition separates only this controller from the state service, or the service rejects only
this controller's requests, its users would see an outage. Every controller answers from the same
records, so a request is also sent to another controller if the local attempt failed or is slow.
Both attempts may succeed: each change is guarded by the version of its key, so the second attempt
finds the result of the first.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol

from tealrill import wire
from tealrill.http import NoAnswerError, peer_clients
from tealrill.settings import Settings
from tealrill.state.admission import Reply
from tealrill.types import Monotonic, monotonic_now

log = logging.getLogger(__name__)

PEER_PREFIX: Final = "/peer"
_SUBMISSION_RELAY_DELAY_S: Final = 0.1
"""Time after which a submission is also relayed; the state service usually takes 10 ms."""
_RELAY_DELAY_S: Final = 0.4
_TIMEOUT_S: Final = 0.6
_RETRY_INTERVAL_S: Final = 0.2
"""Interval between relayed requests while no other controller gives conclusive answers."""


class JobRequests(Protocol):
    """Users' requests concerning jobs."""

    async def submit(self, body: bytes) -> Reply:
        """Submit the job described by the request body."""

    async def status(self, text: str) -> Reply:
        """Return the status of the job with the id in `text`."""

    async def cancel(self, text: str) -> Reply:
        """Cancel the job with the id in `text`."""


class Relay:
    """Users' requests, processed by this controller or by another one."""

    def __init__(self, local: JobRequests, settings: Settings, failing: Callable[[], bool]) -> None:
        self._local = local
        self._failing = failing
        self._peers = list(peer_clients(settings, max_idle=2).values())
        self._consecutive_failures = 0
        """Number of consecutive relayed requests without a conclusive answer."""
        self._last_failure_at = Monotonic(-math.inf)

    async def submit(self, body: bytes) -> Reply:
        """Submit the job described by the request body."""
        remote_request = (wire.JOBS_PATH, "POST", body)
        return await self.first_conclusive(
            self._local.submit(body), remote_request, _SUBMISSION_RELAY_DELAY_S
        )

    async def status(self, text: str) -> Reply:
        """Return the status of the job with the id in `text`."""
        remote_request = (f"{wire.JOBS_PATH}/{text}", "GET", None)
        return await self.first_conclusive(self._local.status(text), remote_request, _RELAY_DELAY_S)

    async def cancel(self, text: str) -> Reply:
        """Cancel the job with the id in `text`."""
        remote_request = (f"{wire.JOBS_PATH}/{text}/{wire.CANCEL_PATH}", "POST", b"")
        return await self.first_conclusive(self._local.cancel(text), remote_request, _RELAY_DELAY_S)

    async def first_conclusive(
        self,
        local: Coroutine[Any, Any, Reply],
        remote_request: tuple[str, str, bytes | None],
        relay_delay_s: float,
        timeout_s: float = _TIMEOUT_S,
    ) -> Reply:
        """Return the first conclusive reply, or this controller's own if there is none.

        `remote_request` is the equivalent request to another controller: path, method and body. It
        is sent if the state service is failing, if the local attempt is inconclusive, or once that
        has taken `relay_delay_s` seconds.
        """
        local_task = asyncio.create_task(local)
        relay_task: asyncio.Task[Reply | None] | None = None
        try:
            await asyncio.wait({local_task}, timeout=0.0 if self._failing() else relay_delay_s)
            if (
                local_task.done() and not local_task.result().retry_on_other_node
            ) or not self._should_relay():
                return await local_task
            relay_task = asyncio.create_task(self._request_peer(*remote_request, timeout_s))
            for completed in asyncio.as_completed((local_task, relay_task)):
                reply = await completed
                if reply is not None and not reply.retry_on_other_node:
                    return reply
            return await local_task
        finally:
            local_task.cancel()
            if relay_task is not None:
                relay_task.cancel()

    def _should_relay(self) -> bool:
        """Return True if another controller may give a conclusive answer.

        In an outage of the state service none can, and only one request per interval is relayed.
        """
        if not self._peers:
            return False
        below_limit = self._consecutive_failures < 2 * len(self._peers)
        return below_limit or monotonic_now() - self._last_failure_at >= _RETRY_INTERVAL_S

    async def _request_peer(
        self, path: str, method: str, body: bytes | None, timeout_s: float
    ) -> Reply | None:
        """Return another controller's reply, or None if that is inconclusive too."""
        peer = self._peers[0]
        try:
            answer = await peer.request(method, PEER_PREFIX + path, body, timeout_s)
            reply = Reply(answer.status, wire.decode(answer.body, dict[str, Any]))
        except (NoAnswerError, wire.MalformedMessageError) as error:
            log.debug("relayed request failed: error=%s", error)
            reply = None
        if reply is None or reply.status >= 500:
            # Relay the next request to the next controller in turn.
            self._peers = [*self._peers[1:], peer]
            self._consecutive_failures += 1
            self._last_failure_at = monotonic_now()
            return None
        self._consecutive_failures = 0
        return reply
