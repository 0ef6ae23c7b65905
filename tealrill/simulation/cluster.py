"""The simulated cluster: its parts, its fault state, and the controllers' processes."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import math
import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any
from unittest import mock

from tealrill import http
from tealrill.fleet import prober
from tealrill.http import Answer
from tealrill.settings import Address
from tealrill.simulation.active_faults import ActiveFaults
from tealrill.simulation.clock import Loop, simulated_time
from tealrill.simulation.cloud_service import CloudService
from tealrill.simulation.invariants import Invariants
from tealrill.simulation.network import STATE, Network
from tealrill.simulation.process import (
    PROCESS,
    ClusterConfig,
    Host,
    Process,
    SocketlessController,
    create_process_task,
)
from tealrill.simulation.state_service import StateService
from tealrill.simulation.traffic_digest import TrafficDigest
from tealrill.simulation.users import UserJob, Users
from tealrill.simulation.worker import JobDescription, Worker
from tealrill.simulation.worker_fleet import WorkerFleet


class SimulatedCluster:
    """All parts of one simulation run and its active faults; `violations` lists the violations."""

    def __init__(self, loop: Loop, rng: random.Random, config: ClusterConfig) -> None:
        self.loop, self.rng, self.config = loop, rng, config
        self.digest = TrafficDigest()
        """Covers all network traffic and all changes of the state service."""
        self.state = StateService(rng, self.now)
        self.state.on_written = lambda changes: self.digest.add(self.now(), STATE, changes)
        self.network, self.worker_fleet = Network(self), WorkerFleet(self)
        self.users, self.invariants = Users(self), Invariants(self)
        self.cloud = CloudService(rng, self.now, config.machines)
        self.cloud.on_rented, self.cloud.on_terminated = (
            self.worker_fleet.boot,
            self.worker_fleet.drop_tasks,
        )
        self.hosts = {f"host-{n}": Host(f"host-{n}") for n in range(config.nodes)}
        self.workers: dict[str, Worker] = {}
        self.machine_by_address: dict[str, str] = {}
        self.active_faults = ActiveFaults()
        self.descriptions: dict[str, JobDescription] = {}
        self.completed_tasks: set[str] = set()
        self.checkpoints: dict[str, float] = {}
        self.jobs: dict[str, UserJob] = {}
        self.violations: list[str] = []
        self.violated_invariants: set[str] = set()
        """Names of the violated invariants."""
        self.on_violation: Callable[[str], object] = lambda _: None
        self.events: list[str] = []
        self.quiet_since = math.inf
        """When the last fault ended and the quiet period began; infinite while there are faults."""
        self.task_starts = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._context = contextvars.copy_context()
        """Context of the simulation's own tasks, which belong to no process."""
        loop.set_task_factory(create_process_task)  # type: ignore[arg-type]

    def now(self) -> float:
        """Return the simulated time since the beginning of the run, in seconds."""
        return self.loop.elapsed_s

    def log_event(self, text: str) -> None:
        """Append an event to the log of the run."""
        self.events.append(f"{self.now():9.3f} {text}")

    def record_violation(self, invariant: str, text: str) -> None:
        """Record the violation of an invariant."""
        self.violations.append(f"{self.now():.3f} {invariant}: {text}")
        self.violated_invariants.add(invariant)
        self.on_violation(invariant)

    def spawn(self, coroutine: Coroutine[Any, Any, Any], context: Any = None) -> asyncio.Task[Any]:
        """Start a task in the process of `context`; without a context it belongs to no process."""
        task = self.loop.create_task(coroutine, context=context or self._context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start_controller(self, host: Host) -> None:
        """Start a controller process on the host unless one is running."""
        if host.node is not None:
            return
        host.context = contextvars.copy_context()
        host.process = Process(host.name)
        host.context.run(PROCESS.set, host.process)
        number = int(host.name.removeprefix("host-"))
        host.node = host.context.run(
            SocketlessController, self.config.settings(number), self.config.features()
        )
        task = self.spawn(host.node.run(), host.context)
        task.add_done_callback(lambda task: self._check_exit(host, task))

    def _check_exit(self, host: Host, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.record_violation("ended", f"{host.name}: {task.exception()!r}")

    def kill_controller(self, host: Host, restart_s: float) -> None:
        """Kill the controller process, and start a new one after `restart_s` seconds."""
        if host.node is None or host.process is None:
            return
        self.log_event(f"controller killed: host={host.name} restart_s={restart_s:.2f}")
        host.node = None
        for task in list(host.process.tasks):
            task.cancel()
        self.loop.call_later(restart_s, self.start_controller, host, context=self._context)

    def leader(self) -> Host | None:
        """Return the host whose controller considers itself leader; the latest term wins."""
        leading = [
            (h.node.election.leadership.term, h.name)
            for h in self.hosts.values()
            if h.node is not None and h.node.election.leadership is not None
        ]
        return self.hosts[max(leading)[1]] if leading else None

    def live_workers(self) -> list[Worker]:
        """Return the workers whose machines are not terminated."""
        return [worker for worker in self.workers.values() if not worker.machine.terminated]

    def register_job(self, name: str, body: dict[str, Any]) -> None:
        """Register a job that is not submitted and polled by a simulated user of its own."""
        self.jobs[name] = UserJob(name, body)


@contextlib.contextmanager
def simulated_cluster(seed: int, config: ClusterConfig) -> Iterator[SimulatedCluster]:
    """Yield a cluster whose simulated network carries the controllers' HTTP requests."""
    with simulated_time(seed) as (loop, rng):
        cluster = SimulatedCluster(loop, rng, config)

        async def request(
            client: Any,
            method: str,
            path: str,
            body: bytes | None = None,
            timeout_s: float = 2.0,
            check: Callable[[], None] | None = None,
        ) -> Answer:
            # A paused process neither sends requests nor receives responses.
            name = PROCESS.get().name
            await cluster.network.wait_until_resumed(name)
            try:
                return await cluster.network.call(
                    client._address, method, path, body, timeout_s, check
                )
            finally:
                await cluster.network.wait_until_resumed(name)

        async def is_reachable(address: Address, timeout_s: float) -> bool | None:
            endpoint = cluster.network.endpoint_of(address)
            if cluster.cloud.machines[endpoint].terminated or cluster.network.partitioned(
                PROCESS.get().name, endpoint
            ):
                await asyncio.sleep(timeout_s)
                return False
            return True

        with (
            mock.patch.object(http.Client, "request", request),
            mock.patch.object(prober, "is_reachable", is_reachable),
        ):
            yield cluster
