"""Run times: the owner's estimate times the team's median of actual to estimated run time.

Only completed tasks count. Tasks that failed or were stopped ended early for another reason than
the owner's error; counting them would drag the ratio down and have long tasks backfilled into
windows that they cannot keep.
"""

from __future__ import annotations

from collections import deque
from statistics import median, quantiles
from typing import Final

WINDOW: Final = 60
_FLEET: Final = ""


class Estimates:
    """The ratios of recent tasks, by team and for the whole fleet."""

    def __init__(self) -> None:
        self._ratios: dict[str, deque[float]] = {}
        self._medians: dict[str, float] = {}

    def completed(self, team: str, estimate_s: float, ran_s: float) -> None:
        """Record the run time of a completed task; ignored unless both times are positive."""
        if estimate_s <= 0 or ran_s <= 0:
            return
        for name in (team, _FLEET):
            self._ratios.setdefault(name, deque(maxlen=WINDOW)).append(ran_s / estimate_s)
            self._medians.pop(name, None)

    def ratio(self, team: str) -> float:
        """1 until something is known; the fleet's ratio for a team without a history."""
        name = team if team in self._ratios else _FLEET
        if name not in self._ratios:
            return 1.0
        if name not in self._medians:
            self._medians[name] = median(self._ratios[name])
        return self._medians[name]

    def run_s(self, team: str, estimate_s: float) -> float:
        """Return the expected run time of a team's task, in seconds."""
        return estimate_s * self.ratio(team)


class TypicalSizes:
    """How many processors a whole job of a class takes, from recent submissions."""

    def __init__(self) -> None:
        self._sizes: dict[str, deque[float]] = {}

    def submitted(self, job_class: str, cpus: float) -> None:
        """Record the processors that a submitted job takes as a whole."""
        self._sizes.setdefault(job_class, deque(maxlen=WINDOW)).append(cpus)

    def percentile_80_cpus(self, job_class: str) -> float:
        """The size that four jobs of five do not exceed; 0 until a few were seen."""
        sizes = self._sizes.get(job_class, ())
        return quantiles(sizes, n=5)[-1] if len(sizes) >= 5 else 0.0
