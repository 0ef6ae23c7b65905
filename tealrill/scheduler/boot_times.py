"""Boot times as observed recently, and the boot timeout derived from them.

The catalogue says what a boot usually takes. Some machines take several times as long, and a few
never come and are charged until they are returned; at times all are slow, or up at once. So a
machine is given up when it takes clearly longer than those of its type and zone that came lately.
Without any to compare with, the timeout is what the slowest may take. Pure state.
"""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import Final

from tealrill.types import Monotonic

_RECENT_S: Final = 90.0
"""A boot that ended longer ago says nothing about today's."""
_MAX_SAMPLES: Final = 32
_MIN_SAMPLES: Final = 5
_LATE_FACTOR: Final = 2.0
"""A machine is late when it takes so many times as long as others of its kind."""
_MIN_TIMEOUT_BOOTS: Final = 1.75
"""Usual boots take up to one and a half times what the catalogue says."""
_MAX_TIMEOUT_BOOTS: Final = 4.0


class BootTimeEstimator:
    """Recent boot durations by type and zone."""

    def __init__(self) -> None:
        self._durations: dict[tuple[str, str], deque[tuple[Monotonic, float]]] = {}

    def registered(self, kind: tuple[str, str], duration_s: float, now: Monotonic) -> None:
        """Record the first heartbeat of a machine, `duration_s` after it was rented."""
        self._durations.setdefault(kind, deque(maxlen=_MAX_SAMPLES)).append((now, duration_s))

    def boot_timeout_s(self, kind: tuple[str, str], nominal_s: float, now: Monotonic) -> float:
        """Return the seconds after its rental at which a machine is given up."""
        recent = [
            duration for at, duration in self._durations.get(kind, ()) if now - at <= _RECENT_S
        ]
        if len(recent) < _MIN_SAMPLES:
            return _MAX_TIMEOUT_BOOTS * nominal_s
        shortest_s, longest_s = _MIN_TIMEOUT_BOOTS * nominal_s, _MAX_TIMEOUT_BOOTS * nominal_s
        return min(longest_s, max(shortest_s, _LATE_FACTOR * median(recent)))
