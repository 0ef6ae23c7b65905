"""Run time estimates: the owner's estimate, corrected by the team's actual run times.

The correction is the median ratio of actual to estimated run time. Only completed tasks count.
Tasks that failed or were stopped ended early for reasons other than a wrong estimate; counting them
would lower the ratio, and long tasks would be backfilled into windows that are too short.
"""

from __future__ import annotations

from collections import deque
from statistics import median, quantiles
from typing import Final

_MAX_SAMPLES: Final = 60
_WHOLE_FLEET: Final = ""


class Estimates:
    """Ratios of actual to estimated run time of recent tasks, by team and for the whole fleet."""

    def __init__(self) -> None:
        self._ratios: dict[str, deque[float]] = {}
        self._medians: dict[str, float] = {}

    def completed(self, team: str, estimate_s: float, ran_s: float) -> None:
        """Record the run time of a completed task; ignored unless both times are positive."""
        if estimate_s <= 0 or ran_s <= 0:
            return
        for name in (team, _WHOLE_FLEET):
            self._ratios.setdefault(name, deque(maxlen=_MAX_SAMPLES)).append(ran_s / estimate_s)
            self._medians.pop(name, None)

    def ratio(self, team: str) -> float:
        """Return the median ratio of a team's tasks.

        Without any, return the whole fleet's, or 1 if no task has completed yet.
        """
        name = team if team in self._ratios else _WHOLE_FLEET
        if name not in self._ratios:
            return 1.0
        if name not in self._medians:
            self._medians[name] = median(self._ratios[name])
        return self._medians[name]

    def run_s(self, team: str, estimate_s: float) -> float:
        """Return the expected run time of a team's task, in seconds."""
        return estimate_s * self.ratio(team)


class TypicalSizes:
    """Processors that whole jobs of a class take, from recent submissions."""

    def __init__(self) -> None:
        self._sizes: dict[str, deque[float]] = {}

    def submitted(self, job_class: str, cpus: float) -> None:
        """Record a submitted job, whose tasks take `cpus` processors in total."""
        self._sizes.setdefault(job_class, deque(maxlen=_MAX_SAMPLES)).append(cpus)

    def percentile_80_cpus(self, job_class: str) -> float:
        """Return the 80th percentile of a class's job sizes; 0 with fewer than five jobs."""
        sizes = self._sizes.get(job_class, ())
        return quantiles(sizes, n=5)[-1] if len(sizes) >= 5 else 0.0
