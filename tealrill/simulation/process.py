"""Controller processes and their hosts, and the configuration of the simulated cluster."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, Final

import orjson

from tealrill import settings
from tealrill.daemon import Controller
from tealrill.features import Features, GraphFeatures
from tealrill.settings import Settings
from tealrill.simulation.clock import Loop, NumberedTask

PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar("process")
"""The process to which the running task belongs; not set in the simulation's own tasks."""
TEAMS: Final = ("blue", "red")


@dataclass
class Process:
    """One process of a controller; all its tasks are cancelled when it is killed."""

    name: str
    tasks: dict[asyncio.Task[Any], None] = field(default_factory=dict)
    """In order of creation, so that they are cancelled in the same order in every run."""


def create_process_task(
    loop: Loop,
    coroutine: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    """Create a task that belongs to the process set in its context, or to none."""
    created = NumberedTask(coroutine, loop=loop, context=context)
    process = context.get(PROCESS) if context is not None else PROCESS.get(None)
    if process is not None:
        process.tasks[created] = None
        created.add_done_callback(lambda task: process.tasks.pop(task, None))
    return created


@dataclass(frozen=True)
class ClusterConfig:
    """Size and settings of a simulated cluster, and the load on it."""

    nodes: int = 3
    machines: int = 8
    heartbeat_interval_s: float = 1.0
    lease_s: float = 8.0
    cancel_s: float = 28.0
    limit_vcpus: float = 40.0
    """Quota of each team, in processors."""
    arrival_interval_s: float = 4.0
    """Mean time between two submissions of jobs, in seconds."""
    job_kinds: tuple[tuple[int, float], ...] = ((1, 4.0), (2, 9.0), (3, 15.0), (6, 8.0), (2, 60.0))
    """Number of tasks and run time in seconds of each kind of job; jobs are drawn from these."""
    cancelled_share: float = 0.4
    """Share of jobs that their users cancel."""
    checkpoint_share: float = 0.3
    """Share of jobs whose tasks have checkpoints."""
    zone_rule_share: float = 1 / 3
    """Share of the jobs with several tasks that have a placement constraint on zones."""
    graphs: bool = False
    """Whether users also submit graphs of dependent jobs."""

    def settings(self, number: int) -> Settings:
        """Return the settings of the controller with that number."""
        hosts = [f"host-{n}" for n in range(self.nodes)]
        values = {
            "host_name": hosts[number],
            "zone": zone_of_controller(number),
            "client_listen": f"10.0.0.{number + 1}:8080",
            "cluster_listen": f"10.0.0.{number + 1}:8081",
            "members": [
                {"host_name": h, "zone": zone_of_controller(n), "peer_addr": f"10.0.0.{n + 1}:8081"}
                for n, h in enumerate(hosts)
                if n != number
            ],
            "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            "params": {
                "count": self.nodes,
                "zones": ["north", "south"],
                "teams": [{"name": team, "cpus_max": self.limit_vcpus} for team in TEAMS],
                "workers": {
                    "report_s": self.heartbeat_interval_s, "lease_s": self.lease_s, "cancel_s":
                    self.cancel_s,
                },
                "state": {"rps": 900.0, "write_rps": 150.0, "value_kb": 8.0, "txn_ops": 16},
                "cloud": {"rps": 20.0, "list_lag_s": 4.0},
                "quota": {"cpu_share": 1.0, "ram_mb": 400.0, "fd_limit": 800},
            },
        }  # fmt: skip
        return settings.parse(orjson.dumps(values))

    def features(self) -> Features:
        """Return the features that are enabled on every controller."""
        return Features(graphs=GraphFeatures(on=self.graphs))


def zone_of_controller(number: int) -> str:
    """Return the zone of the controller with that number."""
    return ("north", "south")[number % 2]


class SocketlessController(Controller):
    """A controller without sockets: the simulation calls its handlers directly."""

    def _listen(self) -> None:
        return


@dataclass
class Host:
    """A controller's host and its process; `node` is None while no process runs."""

    name: str
    node: SocketlessController | None = None
    process: Process | None = None
    context: contextvars.Context = field(default_factory=contextvars.copy_context)
