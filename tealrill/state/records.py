"""Records of jobs in the state service: their keys, and how a chunk of bindings is encoded.

A job stands under `job/` until it ends, and from its end on under `over/`. Its bindings stand under
`run/`, in chunks of consecutive tasks, one key each. Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec

from tealrill.errors import TealrillError
from tealrill.types import Attempt, Incarnation, JobId, MachineId, Wall, parse_machine_id

JOB_PREFIX: Final = "job/"
"""Jobs by their ids. Names that are no job ids belong to subsystems, whose records are then seen in
the same reading and the same watch as the jobs that depend on them."""
RUN_PREFIX: Final = "run/"
"""Chunks of bindings by job id and chunk number."""
ENDED_PREFIX: Final = "over/"
"""Ended jobs by their ids."""

OUTCOME_DONE: Final = "done"
OUTCOME_FAILED: Final = "failed"
"""A task failed more often than the job's bound allows."""
OUTCOME_SKIPPED: Final = "skipped"
"""What the job waits for can't come any more."""
OUTCOME_CANCELLED: Final = "cancelled"

TASK_DONE: Final = -1
"""Entry of a task that is done and bound nowhere."""
NEVER_BOUND: Final = 0
"""Entry of a task that was never bound."""
_BACKFILLED_FLAG: Final = 1
_DONE_FLAG: Final = 2
_ENTRY_BYTES: Final = 100
"""Most that one bound task takes in a record: the machine's name is at most 64 bytes."""
_MOST_IN_CHUNK: Final = 128


class RecordError(TealrillError):
    """A record in the state service that this version did not write."""


def job_key(job: JobId) -> str:
    """Return the key of a job that has not ended."""
    return JOB_PREFIX + job


def ended_key(job: JobId) -> str:
    """Return the key of a job's end."""
    return ENDED_PREFIX + job


def chunk_key(job: JobId, number: int) -> str:
    """Return the key of a chunk of a job's bindings."""
    return f"{RUN_PREFIX}{job}/{number:05d}"


def chunk_size(value_kb: float) -> int:
    """Return the tasks per chunk, such that a chunk with every task bound fits a value."""
    return max(1, min(_MOST_IN_CHUNK, int((value_kb * 1024 - 64) // _ENTRY_BYTES)))


class BoundEntry(NamedTuple):
    """The entry of a bound task in a chunk."""

    machine: MachineId
    incarnation: Incarnation
    attempt: Attempt
    backfilled: bool
    done: bool
    bound_at: Wall

    def encode(self, next_attempt: Attempt) -> list[Any]:
        """Return the entry as it is kept, with the number of the task's next attempt."""
        return [
            next_attempt,
            self.machine,
            self.incarnation,
            self.attempt,
            _BACKFILLED_FLAG * self.backfilled + _DONE_FLAG * self.done,
            round(self.bound_at),
        ]

    @classmethod
    def decode(cls, entry: list[Any]) -> BoundEntry:
        """Read an entry; raises `ValueError` or `TypeError` if this version did not write it."""
        _, name, incarnation, attempt, flags, bound_at = entry
        machine = parse_machine_id(str(name))
        if machine is None:
            raise ValueError(f"{name!r} is no machine")
        return cls(
            machine,
            Incarnation(int(incarnation)),
            Attempt(int(attempt)),
            bool(int(flags) & _BACKFILLED_FLAG),
            bool(int(flags) & _DONE_FLAG),
            Wall(float(bound_at)),
        )


class ChunkRecord(msgspec.Struct):
    """A chunk as it is kept."""

    n: int
    """Tasks per chunk of the job."""
    tasks: list[int | list[Any]]
    """Per task `TASK_DONE`, `NEVER_BOUND`, [next attempt], or a `BoundEntry`."""
    errors: dict[str, int] = {}
    """Failures by the task's place in the chunk; kept for jobs with a bound on them."""


def encode_chunk(chunk_tasks: int, entries: list[Any], errors: dict[str, int]) -> dict[str, Any]:
    """Return the value of a chunk's key; the fields are those of `ChunkRecord`."""
    value: dict[str, Any] = {"n": chunk_tasks, "tasks": entries}
    if errors:
        value["errors"] = errors
    return value


def decode_chunk(value: Any) -> ChunkRecord:
    """Read a chunk, but for its bound entries; raises `RecordError` if its form is unknown."""
    try:
        return msgspec.convert(value, ChunkRecord)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error


def chunk_bindings(value: Any) -> Iterator[tuple[MachineId, Incarnation]]:
    """Yield the machines and incarnations to which a chunk's unfinished tasks are bound.

    Raises `RecordError` if this version can't read it.
    """
    for entry in decode_chunk(value).tasks:
        if isinstance(entry, int) or len(entry) == 1:
            continue
        try:
            bound = BoundEntry.decode(entry)
        except (TypeError, ValueError) as error:
            raise RecordError(str(error)) from error
        if not bound.done:
            yield bound.machine, bound.incarnation
