"""Detection that workers reach another controller but not the leader.

A leader that workers can't reach keeps its lease, because the state service and the other
controllers still reach it. Its workers wait 4 s for an answer, try the next controller, are
redirected to the leader, and their leases expire. So every controller counts the heartbeats that it
receives, and a leader that suddenly receives none asks the others. If they receive heartbeats, the
leader resigns before the workers' leases expire.
"""

from __future__ import annotations

import asyncio
import math
from typing import Final

from tealrill.http import Client, peer_clients
from tealrill.leadership.lease_extension import ask_presence
from tealrill.settings import Settings
from tealrill.types import Monotonic

_WINDOW_INTERVALS: Final = 2.0
"""Length of a counting window in heartbeat intervals."""
_MIN_HEARTBEATS: Final = 2
_MIN_HEARTBEAT_SHARE: Final = 0.05
"""Smaller counts are usual: some workers contact a controller that does not lead, for instance just
after booting."""


class LeadershipTransfer:
    """Counts the heartbeats received by this node, and asks the other nodes for their counts."""

    def __init__(self, settings: Settings) -> None:
        self._window_s = _WINDOW_INTERVALS * settings.params.workers.heartbeat_interval_s
        self._peers = list(peer_clients(settings).values())
        self._window = 0
        self._counts = [0, 0]

    def record_heartbeat(self, now: Monotonic) -> None:
        """Count a worker's heartbeat received by this node."""
        self._advance_window(now)
        self._counts[1] += 1

    def recent_heartbeats(self, now: Monotonic) -> int:
        """Return the number of heartbeats received in the current window and the one before."""
        self._advance_window(now)
        return sum(self._counts)

    def _advance_window(self, now: Monotonic) -> None:
        window = int(now // self._window_s)
        if window != self._window:
            self._counts = [self._counts[1] if window == self._window + 1 else 0, 0]
            self._window = window

    async def peer_receives_heartbeats(self, machines: int) -> bool:
        """Return True if another node receives heartbeats from more than a few workers.

        `machines` is the number of machines whose heartbeats this node received until now.
        """
        counts = await asyncio.gather(*(self._ask(client) for client in self._peers))
        return max(counts, default=0) >= max(
            _MIN_HEARTBEATS, math.ceil(_MIN_HEARTBEAT_SHARE * machines)
        )

    @staticmethod
    async def _ask(client: Client) -> int:
        presence = await ask_presence(client)
        return presence.reports if presence is not None else 0
