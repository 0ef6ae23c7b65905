"""The protocol's messages, paths and constants, and the structs that represent messages.

The protocol's field names differ from the terms used in this package (the incarnation is `shift`,
the fencing token `baton`); only this module translates between them. orjson parses messages and
msgspec validates them. Unknown fields are ignored.
"""

from __future__ import annotations

from typing import Annotated, Any, Final, Literal, TypeVar

import msgspec
import orjson
from msgspec import Meta

from tealrill.errors import TealrillError

T = TypeVar("T")

MAX_BODY: Final = 64 * 1024
"""Largest request body and longest line of a response, in bytes."""

Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Count = Annotated[int, Meta(ge=0)]
"""Below 2^64: the JSON parser returns larger numbers as floats, which fail the validation."""
Name = Annotated[str, Meta(min_length=1, max_length=100)]

Kind = Literal["sweep", "gang", "standing"]
ARRAY: Final = "sweep"
GANG: Final = "gang"
SERVICE: Final = "standing"

Priority = Literal["production", "urgent", "standard", "idle"]
RANKS: Final[dict[str, int]] = {"idle": 0, "standard": 1, "urgent": 2, "production": 3}

JOB_PENDING: Final = "pending"
JOB_RUNNING: Final = "running"
JOB_DONE: Final = "done"
JOB_CANCELLED: Final = "aborted"

FETCHING: Final = "pulling"
RUNNING: Final = "running"
SAVING: Final = "flushing"
EXITED: Final = "ended"

WHY_DONE: Final = "done"
WHY_STOPPED: Final = "stopped"
WHY_ERROR: Final = "error"

REFUSALS: Final = frozenset({"no_room", "in_use", "no_such"})

START: Final = "run"
STOP: Final = "halt"
FORGET: Final = "clear"

MACHINE_FAILED: Final = "failed"
MACHINE_RUNNING: Final = "running"
MACHINE_BOOTING: Final = "starting"

JOBS_PATH: Final = "/v2/runs"
CANCEL_PATH: Final = "cancel"
HEALTH_PATH: Final = "/up"
HEARTBEAT_PATH: Final = "/agent/beat"
COMMANDS_PATH: Final = "/orders"


class MalformedMessageError(TealrillError):
    """A message violates the protocol; the error message names the field."""


class JobSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "job_class": "lineup",
        "team": "crew",
        "kind": "shape",
        "priority": "urgency",
        "tasks": "pieces",
        "cpus": "vcpus",
        "memory_gb": "memoryGb",
        "image": "bundle",
        "image_gb": "sizeGb",
        "types": "builds",
        "zone": "hall",
        "one_zone": "samePlace",
        "spread": "scatter",
        "spot": "loaners",
        "estimate_s": "guessS",
        "checkpoint_s": "snapshotS",
        "save_s": "flushS",
        "deadline_s": "dueS",
    },
):
    """A job as submitted by a user."""

    id: Name
    job_class: Name
    team: Name
    kind: Kind
    priority: Priority
    tasks: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Name
    image_gb: Amount
    types: list[Name] | None = None
    zone: Name | None = None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Amount
    checkpoint_s: Amount
    save_s: Amount
    deadline_s: Amount | None = None

    @property
    def rank(self) -> int:
        """Rank of the priority class; jobs of a higher rank go first."""
        return RANKS[self.priority]

    @property
    def saves(self) -> bool:
        """Whether its tasks save checkpoints from which a later attempt resumes."""
        return self.checkpoint_s > 0

    @property
    def is_gang(self) -> bool:
        """Whether its tasks must all run at the same time."""
        return self.kind == GANG

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return self.kind == SERVICE


class TaskStatus(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "task": "piece",
        "attempt": "try",
        "state": "status",
        "why": "cause",
        "saved": "stored",
    },
):
    """The state of one task in a heartbeat."""

    task: str
    attempt: Count
    state: Literal["pulling", "gathering", "running", "flushing", "ended"]
    why: str | None = None
    saved: bool | None = None


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "machine": "kiln",
        "type": "build",
        "zone": "hall",
        "spot": "loaners",
        "incarnation": "shift",
        "sequence": "tick",
        "token": "baton",
        "notice_s": "warningS",
        "tasks": "pieces",
    },
):
    """A worker's heartbeat."""

    machine: Name
    addr: Name
    type: Name
    zone: Name
    spot: bool
    incarnation: Count
    sequence: Count
    token: Count
    notice_s: Amount | None = None
    tasks: list[TaskStatus]


class MachineType(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "name": "label",
        "cpus": "vcpus",
        "memory_gb": "memoryGb",
        "cache_gb": "localGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "spot_price": "marketPrice",
        "boot_s": "startupS",
        "zones": "halls",
    },
):
    """A machine type of the cloud's catalogue."""

    name: Name
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    cache_gb: Amount = 0.0
    fetch_gb_per_s: Amount = 1.0
    price: Amount
    spot_price: Amount
    boot_s: Amount
    zones: list[Name]


class Catalogue(msgspec.Struct, frozen=True, kw_only=True, rename={"types": "builds"}):
    """The machine types that the cloud offers."""

    types: list[MachineType]


class ListedMachine(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"type": "build", "zone": "hall", "spot": "loaners", "state": "status", "age_s": "ageS"},
):
    """A machine of the cloud's machine list."""

    id: Name
    addr: str = ""
    type: Name
    zone: Name
    spot: bool
    state: str
    age_s: Amount = 0.0


class MachineList(
    msgspec.Struct, frozen=True, kw_only=True, rename={"machines": "kilns", "more": "truncated"}
):
    """The cloud's machine list or a page of it; `more` is True if machines are missing."""

    machines: list[ListedMachine]
    more: bool = False


class Rented(msgspec.Struct, frozen=True, kw_only=True, rename={"machines": "kilns"}):
    """The names of the machines that a rental request provided."""

    machines: list[Name]


class Entry(msgspec.Struct, frozen=True, kw_only=True, rename={"key": "path", "version": "stamp"}):
    """A key of the state service with its value and version."""

    key: str
    value: Any
    version: int


class Entries(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"items": "entries", "more": "truncated", "revision": "epoch"},
):
    """A page of keys with their values as of a revision; `more` is True if further keys follow."""

    items: list[Entry]
    more: bool = False
    revision: int


class KeyValue(
    msgspec.Struct, frozen=True, kw_only=True, rename={"version": "stamp", "lease": "hold"}
):
    """The value of a key, the revision that set it, and the lease that it is deleted with."""

    value: Any
    version: int
    lease: int | None = None


class RevisionOnly(msgspec.Struct, frozen=True, kw_only=True, rename={"revision": "epoch"}):
    """The revision of a committed transaction."""

    revision: int


class Conflict(msgspec.Struct, frozen=True, kw_only=True, rename={"revision": "epoch"}):
    """The keys whose guards failed, so that the transaction was not committed."""

    failed: list[str]
    revision: int = 0


class Lease(msgspec.Struct, frozen=True, kw_only=True, rename={"lease": "hold"}):
    """The id of a lease."""

    lease: int


class WatchEvent(
    msgspec.Struct, frozen=True, kw_only=True, rename={"put": "set", "version": "stamp"}
):
    """A change of one key: a new value or a deletion."""

    put: str | None = None
    delete: str | None = None
    value: Any = None
    version: int = 0


class WatchResult(
    msgspec.Struct, frozen=True, kw_only=True, rename={"revision": "epoch", "events": "log"}
):
    """The changes returned by a watch, up to a revision."""

    revision: int
    events: list[WatchEvent]


def decode(body: bytes, kind: type[T]) -> T:
    """Decode a message; raise a `MalformedMessageError` that names the invalid field."""
    try:
        return msgspec.convert(orjson.loads(body), kind)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)) from error
    except orjson.JSONDecodeError as error:
        raise MalformedMessageError(f"not JSON: {error}") from error


def encode(message: Any) -> bytes:
    """Return the JSON encoding of built-in values or of a struct, with the protocol's names."""
    if isinstance(message, msgspec.Struct):
        message = msgspec.to_builtins(message)
    return orjson.dumps(message)


def to_builtins(message: msgspec.Struct) -> Any:
    """Return the struct as built-in values, with the protocol's names."""
    return msgspec.to_builtins(message)


def job_status(job_id: str, status: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """Return the body of a job's status, with the numbers of its done and running tasks."""
    return {"id": job_id, "status": status, "done": done, "running": running}


def accepted(job_id: str, status: str) -> dict[str, Any]:
    """Return the body of the response to a submission or a cancellation."""
    return {"id": job_id, "status": status}


def start_command(task: str, attempt: int) -> dict[str, Any]:
    """Return the command to start an attempt of a task."""
    return {"verb": START, "piece": task, "try": attempt}


def stop_command(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    """Return the command to stop an attempt, which has `grace_s` seconds to save a checkpoint."""
    return {"verb": STOP, "piece": task, "try": attempt, "windupS": grace_s}


def forget_command(task: str, attempt: int) -> dict[str, Any]:
    """Return the command to delete a worker's record of an ended attempt."""
    return {"verb": FORGET, "piece": task, "try": attempt}


def heartbeat_response(token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of the response to a heartbeat: the fencing token and commands."""
    return {"baton": token, "orders": commands}


def direct_commands(token: int, incarnation: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of commands sent to a worker between its heartbeats."""
    return {"baton": token, "shift": incarnation, "orders": commands}


def redirect(leader: str | None) -> dict[str, Any]:
    """Return the body of a redirect to the leader's host; empty if that is unknown."""
    return {"foreman": leader} if leader is not None else {}


def rent_request(name: str, type_name: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Return the request to rent `count` machines; `name` makes a repetition idempotent."""
    return {"hire": name, "build": type_name, "hall": zone, "loaners": spot, "howMany": count}


def release_request(machines: list[str]) -> dict[str, Any]:
    """Return the request to release machines."""
    return {"kilns": machines}


def guard(key: str, version: int) -> dict[str, Any]:
    """Return the condition that a key has this version; version 0 requires its absence."""
    return {"path": key, "stamp": version}


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    """Return the change that sets a key, which is deleted when the given lease ends."""
    change = {"set": key, "value": value}
    if lease is not None:
        change["hold"] = lease
    return change


def delete(key: str) -> dict[str, Any]:
    """Return the change that deletes a key."""
    return {"delete": key}


def transaction(guards: list[dict[str, Any]], changes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of a transaction."""
    return {"guards": guards, "apply": changes}


def lease_request(ttl_s: float) -> dict[str, Any]:
    """Return the request for a lease of `ttl_s` seconds."""
    return {"ttlMs": round(ttl_s * 1000)}
