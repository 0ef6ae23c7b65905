"""Rate-limited client of the cloud's API."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from urllib.parse import urlencode

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.http import Answer, Client, NoAnswerError
from tealrill.settings import parse_address
from tealrill.state.rate_limiter import RateLimiter, RequestPriority
from tealrill.types import MachineId

log = logging.getLogger(__name__)

_TIMEOUT_S = 5.0
_LIST_PAGE_SIZE = 500
MAX_RELEASED_PER_REQUEST = 100
MAX_RENTED_PER_REQUEST = 50


class CloudError(TealrillError):
    """The request got no usable response; it may have taken effect, or may still do so."""


class NoCapacityError(TealrillError):
    """The cloud refused the rental; no machine was rented."""


class Cloud:
    """Client of the cloud's API. Only the leader rents and releases machines."""

    def __init__(self, address: str, rate: float, nodes: int) -> None:
        self._http = Client(parse_address(address), max_idle=3)
        self._rate = rate
        self._node_count = nodes
        self.budget = RateLimiter(rate * self._rate_share(False))

    def set_leading(self, leads: bool) -> None:
        """Give the leader the larger share of the cloud's request rate."""
        self.budget.set_rate(self._rate * self._rate_share(leads))

    def _rate_share(self, leads: bool) -> float:
        if self._node_count == 1:
            return 0.9
        return 0.7 if leads else 0.2 / (self._node_count - 1)

    async def catalogue(self) -> wire.Catalogue:
        """Return the machine types that the cloud offers; raises `CloudError`."""
        await self.budget.acquire(priority=RequestPriority.LOW)
        return self._read(await self._send("GET", "/catalog"), wire.Catalogue)

    async def machines(self) -> list[wire.ListedMachine]:
        """Return the complete machine list, fetched page by page; raises `CloudError`."""
        listed: list[wire.ListedMachine] = []
        last_id = ""
        while True:
            await self.budget.acquire(priority=RequestPriority.LOW)
            query: dict[str, str | int] = {"most": _LIST_PAGE_SIZE}
            if last_id:
                query["from"] = last_id
            answer = await self._send("GET", "/hosts?" + urlencode(query))
            page = self._read(answer, wire.MachineList)
            listed.extend(page.machines)
            if not page.more or not page.machines:
                return listed
            last_id = page.machines[-1].id

    async def rent(
        self,
        name: str,
        type_name: str,
        zone: str,
        spot: bool,
        count: int,
        check: Callable[[], None],
    ) -> list[str]:
        """Rent machines and return their names; raises `NoCapacityError` or `CloudError`.

        The request name makes the call idempotent: once a request has succeeded, repeating it under
        the same name rents nothing more.

        `check` is called after every wait, immediately before the request is sent. If it raises,
        nothing is sent and the exception propagates to the caller.
        """
        await self.budget.acquire()
        body = wire.encode(wire.rent_request(name, type_name, zone, spot, count))
        answer = await self._send("POST", "/hosts", body, check)
        if answer.status == 503 and b"no capacity" in answer.body:
            raise NoCapacityError
        if answer.status == 400:
            # Not retried: the cloud rejects the same request every time.
            log.error("rental rejected as malformed: name=%s response=%s", name, answer.body[:200])
            raise NoCapacityError
        return self._read(answer, wire.Rented).machines

    async def release(self, machines: Sequence[MachineId], check: Callable[[], None]) -> None:
        """Release machines; return once the cloud has confirmed that they are terminated.

        Raises `CloudError`. `check` is called as in `rent`.
        """
        await self.budget.acquire()
        body = wire.encode(wire.release_request(list(machines)))
        answer = await self._send("POST", "/hosts/release", body, check)
        if answer.status != 200:
            raise CloudError(f"cloud answered with status {answer.status}")

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        check: Callable[[], None] | None = None,
    ) -> Answer:
        try:
            return await self._http.request(method, path, body, _TIMEOUT_S, check)
        except NoAnswerError as error:
            raise CloudError(str(error)) from None

    @staticmethod
    def _read(answer: Answer, kind: type[wire.T]) -> wire.T:
        if answer.status != 200:
            raise CloudError(f"cloud answered with status {answer.status}")
        try:
            return wire.decode(answer.body, kind)
        except wire.MalformedMessageError as error:
            raise CloudError(str(error)) from None
