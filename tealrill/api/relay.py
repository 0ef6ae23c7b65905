"""Users' requests on a controller that can't reach the state service, while another one can.

A cut between this controller and the state service, or a refusal that reaches this controller
alone, looks to its users like an outage. Every controller gives the same answers from the same
records, so the request is handed to another controller when the own attempt was refused or is slow.
Both may succeed: each change is guarded by its key's version, so the second finds what the first
has done.
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
_SLOW_S: Final = 0.1
"""The state service answers within 10 ms as a rule; a second attempt elsewhere may be faster."""
_SLOW_POLL_S: Final = 0.4
_TIMEOUT_S: Final = 0.6
_AGAIN_S: Final = 0.2
"""While no controller settles anything, one request in so long tries whether that is still so."""


class JobRequests(Protocol):
    """The requests of users."""

    async def submit(self, body: bytes) -> Reply:
        """Submit the job described by the request body."""

    async def status(self, text: str) -> Reply:
        """Return the status of the job with the id in `text`."""

    async def cancel(self, text: str) -> Reply:
        """Cancel the job with the id in `text`."""


class Relay:
    """Answers from this controller, or by way of another one."""

    def __init__(self, local: JobRequests, settings: Settings, failing: Callable[[], bool]) -> None:
        self._local = local
        self._failing = failing
        self._peers = list(peer_clients(settings, max_idle=2).values())
        self._in_vain = 0
        """So many requests in a row, handed on, were settled by nobody."""
        self._in_vain_at = Monotonic(-math.inf)

    async def submit(self, body: bytes) -> Reply:
        """Submit the job described by the request body."""
        there = (wire.JOBS_PATH, "POST", body)
        return await self.first_conclusive(self._local.submit(body), there, _SLOW_S)

    async def status(self, text: str) -> Reply:
        """Return the status of the job with the id in `text`."""
        there = (f"{wire.JOBS_PATH}/{text}", "GET", None)
        return await self.first_conclusive(self._local.status(text), there, _SLOW_POLL_S)

    async def cancel(self, text: str) -> Reply:
        """Cancel the job with the id in `text`."""
        there = (f"{wire.JOBS_PATH}/{text}/{wire.CANCEL_PATH}", "POST", b"")
        return await self.first_conclusive(self._local.cancel(text), there, _SLOW_POLL_S)

    async def first_conclusive(
        self,
        local: Coroutine[Any, Any, Reply],
        there: tuple[str, str, bytes | None],
        slow_s: float,
        timeout_s: float = _TIMEOUT_S,
    ) -> Reply:
        """Return the first conclusive answer; if there is none, that of this controller.

        `there` is the same request as another controller takes it: path, method and body. It is
        sent when the own attempt could not be made, or has taken `slow_s`.
        """
        here = asyncio.create_task(local)
        other: asyncio.Task[Reply | None] | None = None
        try:
            await asyncio.wait({here}, timeout=0.0 if self._failing() else slow_s)
            if (here.done() and not here.result().retry_on_other_node) or not self._worth_asking():
                return await here
            other = asyncio.create_task(self._ask(*there, timeout_s))
            for first in asyncio.as_completed((here, other)):
                reply = await first
                if reply is not None and not reply.retry_on_other_node:
                    return reply
            return await here
        finally:
            here.cancel()
            if other is not None:
                other.cancel()

    def _worth_asking(self) -> bool:
        """Return whether another controller may answer; in an outage none does."""
        if not self._peers:
            return False
        some = self._in_vain < 2 * len(self._peers)
        return some or monotonic_now() - self._in_vain_at >= _AGAIN_S

    async def _ask(
        self, path: str, method: str, body: bytes | None, timeout_s: float
    ) -> Reply | None:
        """Return another controller's answer, or None if it has none either."""
        peer = self._peers[0]
        try:
            answer = await peer.request(method, PEER_PREFIX + path, body, timeout_s)
            reply = Reply(answer.status, wire.decode(answer.body, dict[str, Any]))
        except (NoAnswerError, wire.MalformedMessageError) as error:
            log.debug("request to another controller failed: error=%s", error)
            reply = None
        if reply is None or reply.status >= 500:
            # The next request goes to the next controller.
            self._peers = [*self._peers[1:], peer]
            self._in_vain += 1
            self._in_vain_at = monotonic_now()
            return None
        self._in_vain = 0
        return reply
