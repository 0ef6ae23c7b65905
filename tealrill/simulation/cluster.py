"""The simulated cluster: composition, fault state, and the controllers' processes."""

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
from tealrill.simulation.clock import Loop, simulated
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
from tealrill.simulation.worker import Description, Worker
from tealrill.simulation.worker_fleet import WorkerFleet


class SimulatedCluster:
    """All parts of one simulated day, and its faults; violated invariants are in `violations`."""

    def __init__(self, loop: Loop, rng: random.Random, config: ClusterConfig) -> None:
        self.loop, self.rng, self.config = loop, rng, config
        self.digest = TrafficDigest()
        """Over all that crosses the network and all that is written to the state service."""
        self.state = StateService(rng, self.now)
        self.state.written = lambda changes: self.digest.add(self.now(), STATE, changes)
        self.network, self.worker_fleet = Network(self), WorkerFleet(self)
        self.users, self.invariants = Users(self), Invariants(self)
        self.cloud = CloudService(rng, self.now, config.machines)
        self.cloud.booted, self.cloud.taken = self.worker_fleet.boot, self.worker_fleet.clear
        self.hosts = {f"host-{n}": Host(f"host-{n}") for n in range(config.nodes)}
        self.workers: dict[str, Worker] = {}
        self.by_address: dict[str, str] = {}
        self.active_faults = ActiveFaults()
        self.descriptions: dict[str, Description] = {}
        self.results: set[str] = set()
        self.checkpoints: dict[str, float] = {}
        self.jobs: dict[str, UserJob] = {}
        self.violations: list[str] = []
        self.violated_invariants: set[str] = set()
        """Those that are broken, by name."""
        self.breached: Callable[[str], object] = lambda _: None
        self.events: list[str] = []
        self.calm_since = math.inf
        """When the last trouble ended."""
        self.starts = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._context = contextvars.copy_context()
        """The world's own, in which no process runs."""
        loop.set_task_factory(create_process_task)  # type: ignore[arg-type]

    def now(self) -> float:
        """Return the seconds since the day began."""
        return self.loop.passed

    def note(self, text: str) -> None:
        """Append an event of the day."""
        self.events.append(f"{self.now():9.3f} {text}")

    def breach(self, rule: str, text: str) -> None:
        """Record the violation of an invariant."""
        self.violations.append(f"{self.now():.3f} {rule}: {text}")
        self.violated_invariants.add(rule)
        self.breached(rule)

    def spawn(self, work: Coroutine[Any, Any, Any], context: Any = None) -> asyncio.Task[Any]:
        """Begin a task, without a context one that belongs to no process."""
        task = self.loop.create_task(work, context=context or self._context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start(self, host: Host) -> None:
        """Start the controller's process on a host, unless one runs."""
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
        task.add_done_callback(lambda task: self._check_end(host, task))

    def _check_end(self, host: Host, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.breach("ended", f"{host.name}: {task.exception()!r}")

    def end(self, host: Host, back_s: float) -> None:
        """Kill the process, and start another one after `back_s`."""
        if host.node is None or host.process is None:
            return
        self.note(f"{host.name} ends, back in {back_s:.2f} s")
        host.node = None
        for task in list(host.process.tasks):
            task.cancel()
        self.loop.call_later(back_s, self.start, host, context=self._context)

    def leader(self) -> Host | None:
        """Return the host whose controller believes to lead, that of the latest term."""
        leading = [
            (h.node.election.leadership.term, h.name)
            for h in self.hosts.values()
            if h.node is not None and h.node.election.leadership is not None
        ]
        return self.hosts[max(leading)[1]] if leading else None

    def up(self) -> list[Worker]:
        """Return the workers whose machines are not terminated."""
        return [worker for worker in self.workers.values() if not worker.machine.terminated]

    def add_foreign_job(self, name: str, body: dict[str, Any]) -> None:
        """Add a job that no user of its own submits and polls."""
        self.jobs[name] = UserJob(name, body)


@contextlib.contextmanager
def connected(seed: int, config: ClusterConfig) -> Iterator[SimulatedCluster]:
    """Return a cluster whose network carries the requests of the controllers' HTTP clients."""
    with simulated(seed) as (loop, rng):
        cluster = SimulatedCluster(loop, rng, config)

        async def request(
            client: Any,
            method: str,
            path: str,
            body: bytes | None = None,
            timeout_s: float = 2.0,
            check: Callable[[], None] | None = None,
        ) -> Answer:
            # What a paused process sends, and the answers to it, wait.
            name = PROCESS.get().name
            await cluster.network.wait_until_resumed(name)
            try:
                return await cluster.network.call(
                    client._address, method, path, body, timeout_s, check
                )
            finally:
                await cluster.network.wait_until_resumed(name)

        async def is_reachable(address: Address, timeout_s: float) -> bool | None:
            place = cluster.network.endpoint_of(address)
            if cluster.cloud.machines[place].terminated or cluster.network.partitioned(
                PROCESS.get().name, place
            ):
                await asyncio.sleep(timeout_s)
                return False
            return True

        with (
            mock.patch.object(http.Client, "request", request),
            mock.patch.object(prober, "is_reachable", is_reachable),
        ):
            yield cluster
