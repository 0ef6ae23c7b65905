"""Settings, messages and views shared by tests."""

from __future__ import annotations

from typing import Any

import orjson

from tealrill import wire
from tealrill.fleet.intent_log import IntentLog
from tealrill.scheduler.model import EstimateCorrection, JobView, MachineView, RunningTask
from tealrill.state.fencing import Duty
from tealrill.state.records import BoundEntry, encode_chunk
from tealrill.state.transaction_batch import JoinedWrite
from tealrill.types import (
    Attempt,
    FencingToken,
    Incarnation,
    JobId,
    MachineId,
    Monotonic,
    Revision,
    TaskId,
    Wall,
)

SETTINGS: dict[str, Any] = {
    "host_name": "node-0",
    "zone": "north",
    "client_listen": "127.0.0.1:18080",
    "cluster_listen": "127.0.0.1:18081",
    "members": [{"host_name": "node-1", "zone": "south", "peer_addr": "127.0.0.1:18083"}],
    "services": {"cloud": "127.0.0.1:18443", "state": "127.0.0.1:12379"},
    "params": {
        "count": 2,
        "zones": ["north", "south"],
        "teams": [{"name": "red", "cpus": 0.0, "cpus_max": 64.0}, {"name": "blue"}],
        "objectives": [{"kind": "wait", "class": "quick", "within_s": 2.0, "share": 0.9}],
        "workers": {"report_s": 1.0, "lease_s": 8.0, "cancel_s": 20.0},
        "state": {"rps": 300.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 2.0},
        "quota": {"cpu_share": 0.5, "ram_mb": 200.0, "fd_limit": 200},
    },
}

SUBMISSION: dict[str, Any] = {
    "id": "wk-000412",
    "lineup": "train",
    "crew": "blue",
    "shape": "sweep",
    "urgency": "standard",
    "pieces": 6,
    "vcpus": 4.0,
    "gpus": 0.0,
    "memoryGb": 8.0,
    "bundle": "img-07",
    "sizeGb": 1.0,
    "builds": None,
    "hall": None,
    "samePlace": False,
    "scatter": False,
    "loaners": True,
    "guessS": 60.0,
    "snapshotS": 0.0,
    "flushS": 0.0,
    "dueS": 600.0,
}


def spec(**changes: Any) -> wire.JobSpec:
    """Return a job; `changes` replace fields under the protocol's names."""
    return wire.decode(orjson.dumps({**SUBMISSION, **changes}), wire.JobSpec)


def make_chunk_with_bound_task(machine: MachineId) -> Any:
    """Return the record of a chunk of one task, whose first attempt is bound to the machine."""
    bound = BoundEntry(machine, Incarnation(1), Attempt(1), False, False, Wall(0.0))
    return encode_chunk(1, [bound.encode(Attempt(2))], {})


def make_heartbeat(
    machine: str,
    incarnation: int,
    sequence: int,
    token: int,
    tasks: list[tuple[str, int, str, str | None]] = [],  # noqa: B006  (not modified)
) -> wire.Heartbeat:
    """Return a heartbeat; tasks are (task, attempt, state, why)."""
    return wire.Heartbeat(
        machine=machine,
        addr="127.0.0.1:9000",
        type="big",
        zone="north",
        spot=False,
        incarnation=incarnation,
        sequence=sequence,
        token=token,
        tasks=[
            wire.TaskStatus(task=task, attempt=attempt, state=state, why=why)  # type: ignore[arg-type]
            for task, attempt, state, why in tasks
        ],
    )


def job_view(name: str, **changes: Any) -> JobView:
    values: dict[str, Any] = {
        "id": JobId(name),
        "team": "blue",
        "rank": 1,
        "cpus": 4.0,
        "gpus": 0.0,
        "memory_gb": 1.0,
        "waiting": 1,
        "tasks": 10,
        "waited_s": 0.0,
        "latest_start_s": (),
        "estimate_s": 10.0,
        "image": "img",
        "image_gb": 0.0,
        "types": None,
        "zone": None,
        "one_zone": False,
        "spread": False,
        "spot": True,
        "zone_counts": {},
    }
    return JobView(**{**values, **changes})


def machine_view(name: str, **changes: Any) -> MachineView:
    values: dict[str, Any] = {
        "id": MachineId(name),
        "type": "big",
        "zone": "north",
        "spot": False,
        "cpus": 8.0,
        "gpus": 0.0,
        "memory_gb": 64.0,
        "size": 8.0,
        "ready_at": Monotonic(0.0),
        "fetch_gb_per_s": 1.0,
        "images": set(),
        "is_expensive": False,
        "running": (),
    }
    return MachineView(**{**values, **changes})


def running_task(
    name: str, now: float = 10.0, ran_s: float = 5.0, end_at: float = 100.0, **changes: Any
) -> RunningTask:
    """Return a task that has run for `ran_s` at `now` and is expected to end at `end_at`."""
    values: dict[str, Any] = {
        "task": TaskId(JobId(name), 0),
        "team": "blue",
        "rank": 1,
        "cpus": 4.0,
        "gpus": 0.0,
        "memory_gb": 1.0,
        "backfilled": False,
        "stopping": False,
        "started_at": Monotonic(now - ran_s),
        "owner_estimate_s": ran_s + end_at - now,
        "correction": EstimateCorrection(),
        "saves": False,
        "save_s": 0.0,
    }
    return RunningTask(**{**values, **changes})


def provisioner_dependencies() -> tuple[IntentLog, Duty, Duty]:
    """Return the intent log of a `Provisioner`, which commits at once, and its two duties."""

    def join(joined: JoinedWrite) -> None:
        joined.on_committed(Revision(1))

    def duty(name: str) -> Duty:
        return Duty(name, FencingToken(1), Monotonic(0.0), lambda: True)

    return IntentLog(join, FencingToken(1), 8.0), duty("renting"), duty("returning")
