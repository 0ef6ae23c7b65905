"""How long machines take to come up, as it was seen lately, and when one of them is given up.

The catalogue says what a boot usually takes. Some machines take several times as long, and a few
never come and are charged until they are returned; at times all are slow, or up at once. So a
machine is given up when it takes clearly longer than those of its type and zone that came lately.
Without such to compare with it is waited for as long as the slowest may take. Pure state.
"""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import Final

from tealrill.types import Monotonic

_RECENT_S: Final = 90.0
"""A boot that ended longer ago says nothing about today's."""
_KEPT: Final = 32
_ENOUGH: Final = 5
_TIMES: Final = 2.0
"""A machine is late when it takes so many times as long as others of its kind."""
_LEAST_BOOTS: Final = 1.75
"""Usual boots take up to one and a half times what the catalogue says."""
_MOST_BOOTS: Final = 4.0


class BootTimeEstimator:
    """Boots that ended in this term, by type and zone."""

    def __init__(self) -> None:
        self._took: dict[tuple[str, str], deque[tuple[Monotonic, float]]] = {}

    def registered(self, kind: tuple[str, str], took_s: float, now: Monotonic) -> None:
        """A machine reported for the first time, so long after it was rented."""
        self._took.setdefault(kind, deque(maxlen=_KEPT)).append((now, took_s))

    def patience_s(self, kind: tuple[str, str], nominal_s: float, now: Monotonic) -> float:
        """For how long after its rental a machine is waited for."""
        recent = [took for at, took in self._took.get(kind, ()) if now - at <= _RECENT_S]
        if len(recent) < _ENOUGH:
            return _MOST_BOOTS * nominal_s
        least_s, most_s = _LEAST_BOOTS * nominal_s, _MOST_BOOTS * nominal_s
        return min(most_s, max(least_s, _TIMES * median(recent)))
