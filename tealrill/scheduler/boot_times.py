"""Boot timeouts, derived from recently observed boot durations.

The catalogue states the usual boot time of a machine type. Some machines take several times as
long, and a few never boot and are charged until they are released; at times all boots are slow, or
all are fast. So a machine is given up when its boot takes clearly longer than recent boots of the
same type and zone. Without enough of these, the timeout is the longest plausible boot time. Pure
state, without I/O and clock.
"""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import Final

from tealrill.types import Monotonic

_MAX_SAMPLE_AGE_S: Final = 90.0
"""Older boots are ignored, because boot times change over time."""
_MAX_SAMPLES: Final = 32
_MIN_SAMPLES: Final = 5
_LATE_FACTOR: Final = 2.0
"""A boot is late when it takes this many times the median of recent boots of its kind."""
_MIN_TIMEOUT_BOOTS: Final = 1.75
"""In nominal boot times. A normal boot takes up to 1.5 of them."""
_MAX_TIMEOUT_BOOTS: Final = 4.0
"""In nominal boot times."""


class BootTimeEstimator:
    """Recent boot durations by machine type and zone."""

    def __init__(self) -> None:
        self._durations: dict[tuple[str, str], deque[tuple[Monotonic, float]]] = {}

    def registered(self, kind: tuple[str, str], duration_s: float, now: Monotonic) -> None:
        """Record the first heartbeat of a machine, `duration_s` seconds after it was rented."""
        self._durations.setdefault(kind, deque(maxlen=_MAX_SAMPLES)).append((now, duration_s))

    def boot_timeout_s(self, kind: tuple[str, str], nominal_s: float, now: Monotonic) -> float:
        """Return the time after its rental, in seconds, at which a machine is given up."""
        recent = [
            duration
            for at, duration in self._durations.get(kind, ())
            if now - at <= _MAX_SAMPLE_AGE_S
        ]
        if len(recent) < _MIN_SAMPLES:
            return _MAX_TIMEOUT_BOOTS * nominal_s
        shortest_s, longest_s = _MIN_TIMEOUT_BOOTS * nominal_s, _MAX_TIMEOUT_BOOTS * nominal_s
        return min(longest_s, max(shortest_s, _LATE_FACTOR * median(recent)))
