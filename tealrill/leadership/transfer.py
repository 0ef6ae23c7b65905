"""Whether another node hears the workers that this leader does not hear.

A leader whose way to the workers is broken keeps its lease: the state service and the other nodes
reach it. Its workers wait 4 s for an answer, try the next node, are sent back to the leader, and
lapse. So every node counts the reports that come to it, and a leader that suddenly hears nobody
asks the others. If workers come to them, it gives way while the leases still run.
"""

from __future__ import annotations

import asyncio
import math
from typing import Final

from tealrill.http import Client, peer_clients
from tealrill.leadership.lease_extension import ask_presence
from tealrill.settings import Settings
from tealrill.types import Monotonic

_PERIODS: Final = 2.0
_FEWEST: Final = 2
_SHARE: Final = 0.05
"""Some workers always come to the wrong node, those that have just booted among them."""


class LeadershipTransfer:
    """The count of this node's reports, and what the others say of theirs."""

    def __init__(self, settings: Settings) -> None:
        self._window_s = _PERIODS * settings.params.workers.heartbeat_interval_s
        self._peers = list(peer_clients(settings).values())
        self._window = 0
        self._counts = [0, 0]

    def record_heartbeat(self, now: Monotonic) -> None:
        """A worker's report came to this node."""
        self._turn(now)
        self._counts[1] += 1

    def recent_heartbeats(self, now: Monotonic) -> int:
        """How many reports came within the last one to two windows of two report periods."""
        self._turn(now)
        return sum(self._counts)

    def _turn(self, now: Monotonic) -> None:
        window = int(now // self._window_s)
        if window != self._window:
            self._counts = [self._counts[1] if window == self._window + 1 else 0, 0]
            self._window = window

    async def peer_receives_heartbeats(self, heard: int) -> bool:
        """Whether any other node hears workers; `heard` machines were heard here until now."""
        found = await asyncio.gather(*(self._ask(client) for client in self._peers))
        return max(found, default=0) >= max(_FEWEST, math.ceil(_SHARE * heard))

    @staticmethod
    async def _ask(client: Client) -> int:
        found = await ask_presence(client)
        return found.reports if found is not None else 0
