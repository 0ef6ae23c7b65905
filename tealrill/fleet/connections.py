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

_COMMAND_SHARE: Final = 0.4
"""The maximum part of all sockets that commands use."""
_RESERVED_SOCKETS: Final = 80
"""Sockets reserved for users, the other controllers, the state service and the cloud."""
_MIN_CONNECTIONS: Final = 8
"""The number of concurrent commands that is allowed even when sockets are scarce."""


class ConnectionPool:
    """HTTP clients of workers, one for each machine, limited to `max_connections` connections.

    Enter the pool's async context before a request: it waits while `max_connections` commands are
    in flight.
    """

    def __init__(self, sockets: int, machines: Callable[[], int]) -> None:
        self._sockets = sockets
        self._machines = machines
        """Returns the number of machines; each needs a connection for its heartbeats."""
        self._clients: OrderedDict[MachineId, tuple[str, Client]] = OrderedDict()
        self._in_use: dict[MachineId, int] = {}
        self._in_flight = 0
        self._waiters: deque[asyncio.Future[None]] = deque()

    def __len__(self) -> int:
        return len(self._clients)

    @property
    def max_connections(self) -> int:
        """Return the maximum number of connections to workers."""
        available = self._sockets - _RESERVED_SOCKETS - self._machines()
        return max(_MIN_CONNECTIONS, min(int(_COMMAND_SHARE * self._sockets), available))

    @property
    def spare_sockets(self) -> int:
        """Return the number of sockets not needed for heartbeats, commands or other peers.

        Negative if the machines need more sockets than there are.
        """
        return self._sockets - _RESERVED_SOCKETS - self._machines() - len(self._clients)

    async def request(
        self, machine: MachineId, addr: str, path: str, body: bytes, timeout_s: float
    ) -> Answer:
        """Send one POST to a worker.

        Raises `http.NoAnswerError`, or `SettingsError` for a malformed address.
        """
        client = self._client(machine, addr)
        self._in_use[machine] = self._in_use.get(machine, 0) + 1
        try:
            return await client.request("POST", path, body, timeout_s)
        finally:
            self._in_use[machine] -= 1
            if not self._in_use[machine]:
                del self._in_use[machine]
            if self._clients.get(machine) != (addr, client):
                # The machine was dropped, or its address changed, during the request.
                client.close()
            self._close_excess()

    async def __aenter__(self) -> ConnectionPool:
        """Wait until fewer than `max_connections` commands are in flight, and count one more."""
        while self._in_flight >= self.max_connections:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        self._in_flight += 1
        return self

    async def __aexit__(self, *_: object) -> None:
        self._in_flight -= 1
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _client(self, machine: MachineId, addr: str) -> Client:
        entry = self._clients.get(machine)
        if entry is not None and entry[0] == addr:
            self._clients.move_to_end(machine)
            return entry[1]
        address = parse_address(addr)
        self.drop(machine)
        client = Client(address, max_idle=1)
        self._clients[machine] = (addr, client)
        self._close_excess()
        return client

    def _close_excess(self) -> None:
        excess = len(self._clients) - self.max_connections
        if excess <= 0:
            # Runs twice for each command, so the clients are not scanned below the limit.
            return
        for machine in [m for m in self._clients if m not in self._in_use][:excess]:
            self.drop(machine)

    def drop(self, machine: MachineId) -> None:
        """Close and forget the connection to a machine, if there is one."""
        entry = self._clients.pop(machine, None)
        if entry is not None:
            entry[1].close()

    def close(self) -> None:
        """Close all connections."""
        for machine in list(self._clients):
            self.drop(machine)
