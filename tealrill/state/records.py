"""Records of jobs in the state service: their keys and the encoding of chunks of bindings.

The record of a job is stored under `job/` until the job ends, then under `over/`. Its bindings are
stored under `run/` in chunks of consecutive tasks, one key per chunk. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec

from tealrill.errors import TealrillError
from tealrill.types import Attempt, Incarnation, JobId, MachineId, Wall, parse_machine_id

JOB_PREFIX: Final = "job/"
"""Prefix of the records of jobs, by job id. Names that are not job ids belong to records of
subsystems: these are then part of the same scan and the same watch as the jobs that depend on
them."""
RUN_PREFIX: Final = "run/"
"""Prefix of chunks of bindings, by job id and chunk number."""
ENDED_PREFIX: Final = "over/"
"""Prefix of the records of ended jobs, by job id."""

OUTCOME_DONE: Final = "done"
OUTCOME_FAILED: Final = "failed"
"""A task exceeded the job's limit on failures."""
OUTCOME_SKIPPED: Final = "skipped"
"""A condition that the job waits for can't be met any more."""
OUTCOME_CANCELLED: Final = "cancelled"

TASK_DONE: Final = -1
"""Entry of a task that is done and not bound."""
NEVER_BOUND: Final = 0
"""Entry of a task that was never bound."""
_BACKFILLED_FLAG: Final = 1
_DONE_FLAG: Final = 2
_ENTRY_BYTES: Final = 100
"""Upper bound on the encoded size of a bound task; a machine id has at most 64 bytes."""
_MAX_CHUNK_TASKS: Final = 128


class RecordError(TealrillError):
    """A record in the state service has a form that this version does not know."""


def job_key(job: JobId) -> str:
    """Return the key of a job that has not ended."""
    return JOB_PREFIX + job


def ended_key(job: JobId) -> str:
    """Return the key of the record of an ended job."""
    return ENDED_PREFIX + job


def chunk_key(job: JobId, number: int) -> str:
    """Return the key of a chunk of a job's bindings."""
    return f"{RUN_PREFIX}{job}/{number:05d}"


def chunk_size(value_kb: float) -> int:
    """Return the number of tasks per chunk for which a fully bound chunk fits `value_kb`."""
    return max(1, min(_MAX_CHUNK_TASKS, int((value_kb * 1024 - 64) // _ENTRY_BYTES)))


class BoundEntry(NamedTuple):
    """The entry of a bound task in a chunk."""

    machine: MachineId
    incarnation: Incarnation
    attempt: Attempt
    backfilled: bool
    done: bool
    bound_at: Wall

    def encode(self, next_attempt: Attempt) -> list[Any]:
        """Return the stored form of the entry, with the number of the task's next attempt."""
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
        """Decode an entry; raises `ValueError` or `TypeError` if its form is unknown."""
        _, name, incarnation, attempt, flags, bound_at = entry
        machine = parse_machine_id(str(name))
        if machine is None:
            raise ValueError(f"{name!r} is not a machine id")
        return cls(
            machine,
            Incarnation(int(incarnation)),
            Attempt(int(attempt)),
            bool(int(flags) & _BACKFILLED_FLAG),
            bool(int(flags) & _DONE_FLAG),
            Wall(float(bound_at)),
        )


class ChunkRecord(msgspec.Struct):
    """The stored form of a chunk."""

    n: int
    """Tasks per chunk of the job."""
    tasks: list[int | list[Any]]
    """Per task `TASK_DONE`, `NEVER_BOUND`, [next attempt], or a `BoundEntry`."""
    errors: dict[str, int] = {}
    """Number of failures by the task's offset in the chunk; only for jobs with a limit on them."""


def encode_chunk(chunk_tasks: int, entries: list[Any], errors: dict[str, int]) -> dict[str, Any]:
    """Return the value to store for a chunk, with the fields of `ChunkRecord`."""
    value: dict[str, Any] = {"n": chunk_tasks, "tasks": entries}
    if errors:
        value["errors"] = errors
    return value


def decode_chunk(value: Any) -> ChunkRecord:
    """Decode a chunk except for its bound entries; raises `RecordError` if its form is unknown."""
    try:
        return msgspec.convert(value, ChunkRecord)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error


def chunk_bindings(value: Any) -> Iterator[tuple[MachineId, Incarnation]]:
    """Yield machine and incarnation for each bound task of a chunk that is not done.

    Raises `RecordError` if this version can't read the chunk.
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
