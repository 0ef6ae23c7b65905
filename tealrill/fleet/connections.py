"""Connections for commands to workers, kept between commands as far as the sockets reach.

A report needs a socket of its own for every machine and goes first: without reports a worker loses
its lease, while a command can open a connection anew or go with the next report's answer. So what
is kept open is bounded by what the reports leave, the least recently used go first, and a machine
that is gone holds none. (Kept for every machine ever commanded, a leader stood at its limit of
1,000 sockets after 1,100 s in which 600 machines had been rented one after the other.)
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Final

from tealrill.http import Answer, Client
from tealrill.settings import parse_address
from tealrill.types import MachineId

_SHARE: Final = 0.4
"""At most this part of the sockets is for commands."""
_OTHERS: Final = 80
"""Sockets for users, the other controllers, the state service and the cloud."""
_FEWEST: Final = 8
"""So many commands may be on their way even when sockets are scarce."""


class ConnectionPool:
    """Clients of workers by machine; at most as many in use or kept as there is room for."""

    def __init__(self, sockets: int, machines: Callable[[], int]) -> None:
        self._sockets = sockets
        self._machines = machines
        """How many machines there are, each with a connection for its reports."""
        self._clients: OrderedDict[MachineId, tuple[str, Client]] = OrderedDict()
        self._used: dict[MachineId, int] = {}
        self._on_the_way = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    def __len__(self) -> int:
        return len(self._clients)

    @property
    def max_connections(self) -> int:
        """The largest number of connections to workers that may be kept."""
        left = self._sockets - _OTHERS - self._machines()
        return max(_FEWEST, min(int(_SHARE * self._sockets), left))

    @property
    def spare_sockets(self) -> int:
        """Sockets that neither reports nor commands nor others take at this moment."""
        return self._sockets - _OTHERS - self._machines() - len(self._clients)

    async def request(
        self, machine: MachineId, addr: str, path: str, body: bytes, timeout_s: float
    ) -> Answer:
        """Send one POST to a worker.

        Raises `http.NoAnswerError`, or `SettingsError` for a malformed address.
        """
        client = self._client(machine, addr)
        self._used[machine] = self._used.get(machine, 0) + 1
        try:
            return await client.request("POST", path, body, timeout_s)
        finally:
            self._used[machine] -= 1
            if not self._used[machine]:
                del self._used[machine]
            if self._clients.get(machine) != (addr, client):
                # Dropped while it was in use.
                client.close()
            self._shrink()

    async def __aenter__(self) -> ConnectionPool:
        """Waits for a place: not more commands are on their way than there are sockets for."""
        while self._on_the_way >= self.max_connections:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        self._on_the_way += 1
        return self

    async def __aexit__(self, *_: object) -> None:
        self._on_the_way -= 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def _client(self, machine: MachineId, addr: str) -> Client:
        known = self._clients.get(machine)
        if known is not None and known[0] == addr:
            self._clients.move_to_end(machine)
            return known[1]
        address = parse_address(addr)
        self.drop(machine)
        client = Client(address, most=1)
        self._clients[machine] = (addr, client)
        self._shrink()
        return client

    def _shrink(self) -> None:
        spare_sockets = len(self._clients) - self.max_connections
        if spare_sockets <= 0:
            # Asked for twice a command: nothing is gone through while there is room.
            return
        for machine in [m for m in self._clients if m not in self._used][:spare_sockets]:
            self.drop(machine)

    def drop(self, machine: MachineId) -> None:
        """The machine is gone, or others need its place."""
        known = self._clients.pop(machine, None)
        if known is not None:
            known[1].close()

    def close(self) -> None:
        """Close all connections."""
        for machine in list(self._clients):
            self.drop(machine)
