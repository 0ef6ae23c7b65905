"""Small types for ids, versions and times, so that one cannot be passed for another.

They are checked by mypy and cost nothing when the program runs.
"""

from __future__ import annotations

import re
import time
from typing import Final, NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
FencingToken = NewType("FencingToken", int)
"""Shows a worker who may command it; the leader's term serves as the token."""
Attempt = NewType("Attempt", int)
Incarnation = NewType("Incarnation", int)
HeartbeatSequence = NewType("HeartbeatSequence", int)
Revision = NewType("Revision", int)
LeaseId = NewType("LeaseId", int)
Monotonic = NewType("Monotonic", float)
"""Seconds on this process's steady clock; means nothing to any other process."""
Wall = NewType("Wall", float)
"""Seconds since 1970; differs between machines by the bound in the settings."""

CLOCK_DRIFT: Final = 1.001
"""The most by which one steady clock runs faster than another: each is up to 0.05% off."""
ABSENT: Final = Revision(0)
"""The revision that a transaction's guard uses for 'this key does not exist'."""

_JOB_ID: Final = re.compile(r"[a-z][a-z0-9]{0,31}-[0-9]{1,20}")
_MACHINE_ID: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class TaskId(NamedTuple):
    """One task of a job, written ``wk-000412/3`` on the wire."""

    job: JobId
    index: int  # type: ignore[assignment]  # hides tuple.index, which nobody needs here

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"


def parse_job_id(text: str) -> JobId | None:
    """Return the job id in `text`, or None when it is malformed."""
    return JobId(text) if _JOB_ID.fullmatch(text) else None


def parse_machine_id(text: str) -> MachineId | None:
    """Return the machine id in `text`, or None when it is malformed.

    Its length is bounded, so that a record of bindings always fits its value.
    """
    return MachineId(text) if _MACHINE_ID.fullmatch(text) else None


def parse_task_id(text: str) -> TaskId | None:
    """Return the task id in `text`, or None when it is malformed."""
    job, slash, index = text.partition("/")
    if not slash or not index.isascii() or not index.isdigit() or len(index) > 9:
        return None
    job_id = parse_job_id(job)
    return None if job_id is None else TaskId(job_id, int(index))


def lower_bound_deadline(since: Monotonic, length_s: float, margin_s: float) -> Monotonic:
    """Return the time before which an interval measured by another clock has not ended.

    Two clocks that each run up to 0.05% off differ by at most 0.1%.
    """
    return Monotonic(since + length_s * 0.999 - margin_s)


def monotonic_now() -> Monotonic:
    """Return the time of this process's steady clock, in seconds."""
    return Monotonic(time.monotonic())


def wall_now() -> Wall:
    """Return the wall-clock time, in seconds since 1970."""
    return Wall(time.time())
