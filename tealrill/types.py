"""Distinct types for ids, versions and times.

mypy rejects one passed in place of another; at run time they cost nothing.
"""

from __future__ import annotations

import re
import time
from typing import Final, NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
FencingToken = NewType("FencingToken", int)
"""Workers reject commands with a lower token than the highest they know.

A term owns a range of tokens; its number is the lowest of them.
"""
Attempt = NewType("Attempt", int)
Incarnation = NewType("Incarnation", int)
HeartbeatSequence = NewType("HeartbeatSequence", int)
Revision = NewType("Revision", int)
LeaseId = NewType("LeaseId", int)
Monotonic = NewType("Monotonic", float)
"""Seconds on the monotonic clock of this process; not comparable between processes."""
Wall = NewType("Wall", float)
"""Seconds since 1970; clocks of different machines differ by up to the bound in the settings."""

TOKENS_PER_TERM: Final = 1_000_000_000
"""Number of consecutive fencing tokens that a term owns."""
CLOCK_DRIFT: Final = 1.001
"""Largest ratio of the rates of two monotonic clocks, each of which is up to 0.05% off."""
ABSENT: Final = Revision(0)
"""The version in a transaction's guard that requires the absence of the key."""

_JOB_ID: Final = re.compile(r"[a-z][a-z0-9]{0,31}-[0-9]{1,20}")
_MACHINE_ID: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class TaskId(NamedTuple):
    """A task of a job, written ``wk-000412/3`` in messages."""

    job: JobId
    index: int  # type: ignore[assignment]  # overrides tuple.index, which is not used

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"


def parse_job_id(text: str) -> JobId | None:
    """Return the job id in `text`, or None if it is malformed."""
    return JobId(text) if _JOB_ID.fullmatch(text) else None


def parse_machine_id(text: str) -> MachineId | None:
    """Return the machine id in `text`, or None if it is malformed.

    Its length is limited, so that a record of bindings fits the maximum value size.
    """
    return MachineId(text) if _MACHINE_ID.fullmatch(text) else None


def parse_task_id(text: str) -> TaskId | None:
    """Return the task id in `text`, or None if it is malformed."""
    job, slash, index = text.partition("/")
    if not slash or not index.isascii() or not index.isdigit() or len(index) > 9:
        return None
    job_id = parse_job_id(job)
    return None if job_id is None else TaskId(job_id, int(index))


def last_token_of(term: FencingToken) -> FencingToken:
    """Return the highest fencing token of a term of this version."""
    return FencingToken(term + TOKENS_PER_TERM - 1)


def lower_bound_deadline(since: Monotonic, length_s: float, margin_s: float) -> Monotonic:
    """Return a time before which `length_s` seconds have certainly not elapsed on another clock.

    Two clocks that are each up to 0.05% off differ by at most 0.1%.
    """
    return Monotonic(since + length_s * 0.999 - margin_s)


def monotonic_now() -> Monotonic:
    """Return the time of this process's monotonic clock, in seconds."""
    return Monotonic(time.monotonic())


def wall_now() -> Wall:
    """Return the wall-clock time, in seconds since 1970."""
    return Wall(time.time())
