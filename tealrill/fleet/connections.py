"""Pool of connections for direct commands to workers, bounded by the process's sockets.

Heartbeats need one socket for each machine and have priority: without them a worker loses its
lease, while a command can open a new connection or go with the next heartbeat's response. The pool
therefore keeps only as many connections as heartbeats leave sockets for, closes the least recently
used ones first, and drops the connection of a machine that is gone. With connections kept to every
machine ever commanded, a leader reached its limit of 1,000 sockets after 600 machines had been
rented in succession within 1,100 s.
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
"""The maximum part of all sockets that commands use."""
_OTHERS: Final = 80
"""Sockets reserved for users, the other controllers, the state service and the cloud."""
_FEWEST: Final = 8
"""The number of concurrent commands that is allowed even when sockets are scarce."""


class ConnectionPool:
    """HTTP clients of workers, one for each machine, limited to `most` connections.

    Enter the pool's async context before a request: it waits while `most` commands are in flight.
    """

    def __init__(self, sockets: int, machines: Callable[[], int]) -> None:
        self._sockets = sockets
        self._machines = machines
        """Returns the number of machines; each needs a connection for its heartbeats."""
        self._clients: OrderedDict[MachineId, tuple[str, Client]] = OrderedDict()
        self._used: dict[MachineId, int] = {}
        self._on_the_way = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    def __len__(self) -> int:
        return len(self._clients)

    @property
    def max_connections(self) -> int:
        """Return the maximum number of connections to workers."""
        left = self._sockets - _OTHERS - self._machines()
        return max(_FEWEST, min(int(_SHARE * self._sockets), left))

    @property
    def spare_sockets(self) -> int:
        """Return the number of sockets not needed for heartbeats, commands or other peers.

        Negative if the machines need more sockets than there are.
        """
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
                # The machine was dropped, or its address changed, during the request.
                client.close()
            self._shrink()

    async def __aenter__(self) -> ConnectionPool:
        """Wait until fewer than `most` commands are in flight, and count one more."""
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
            # Runs twice for each command, so the clients are not scanned below the limit.
            return
        for machine in [m for m in self._clients if m not in self._used][:spare_sockets]:
            self.drop(machine)

    def drop(self, machine: MachineId) -> None:
        """Close and forget the connection to a machine, if there is one."""
        known = self._clients.pop(machine, None)
        if known is not None:
            known[1].close()

    def close(self) -> None:
        """Close all connections."""
        for machine in list(self._clients):
            self.drop(machine)
