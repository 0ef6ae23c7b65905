"""The workers of all machines: their heartbeats, and late duplicates and replays of these."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import orjson

from tealrill import wire
from tealrill.simulation.cloud_service import Machine
from tealrill.simulation.replies import Reply
from tealrill.simulation.worker import Worker
from tealrill.types import MachineId

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster

_HEARTBEAT_TIMEOUT_S: Final = 4.0
_NEXT_CONTROLLER_PAUSE_S: Final = 1.0
"""Pause before the next controller is tried."""
_MIN_HEARTBEAT_INTERVAL_S: Final = 0.5
"""Minimum time between two heartbeats to the same controller."""
_LATEST_FAILURE_S: Final = 4.0
"""Run time after which a failing task has failed."""
_DELAYED_SHARE: Final = 0.5
"""Share of the heartbeats sent into a partition that are delivered once it has healed."""


class WorkerFleet:
    """Runs the workers of the rented machines, which are in the cluster's `workers`."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self._to_replay: list[dict[str, Any]] = []
        """Heartbeats to replay at the next election."""

    def boot(self, machine: Machine) -> None:
        """Start the worker of a rented machine once the machine has booted."""
        self.cluster.machine_by_address[machine.addr] = machine.id
        self.cluster.spawn(self._run(machine))

    def drop_tasks(self, machine: Machine) -> None:
        """Drop the tasks of a terminated machine."""
        worker = self.cluster.workers.get(machine.id)
        if worker is not None:
            worker.tasks.clear()

    async def _run(self, machine: Machine) -> None:
        await asyncio.sleep(machine.boots_at - self.cluster.now())
        if machine.terminated:
            return
        worker = Worker(
            machine,
            self.cluster.config.lease_s,
            self.cluster.now,
            self.cluster.descriptions,
            self.cluster.invariants.check_start,
            self.cluster.completed_tasks,
            self.cluster.checkpoints,
        )
        worker.on_completed = self.cluster.users.task_completed
        worker.fails_after_s = self._fails_after_s
        self.cluster.workers[machine.id] = worker
        self.cluster.spawn(self._run_ticks(worker))
        controllers = list(self.cluster.hosts)
        index = self.cluster.rng.randrange(len(controllers))
        while not machine.terminated:
            index = await self._send_heartbeat(worker, controllers, index)

    def _fails_after_s(self) -> float:
        share = self.cluster.active_faults.task_failure_share
        if share and self.cluster.rng.random() < share:
            return self.cluster.rng.uniform(0.2, _LATEST_FAILURE_S)
        return math.inf

    async def _run_ticks(self, worker: Worker) -> None:
        while not worker.machine.terminated:
            worker.tick()
            await asyncio.sleep(0.1)

    async def _send_heartbeat(self, worker: Worker, controllers: list[str], index: int) -> int:
        """Send one heartbeat and execute the response; return the index of the next receiver."""
        await self._wait_until_resumed(worker)
        worker.tick()
        worker.unreported_change.clear()
        message = worker.build_heartbeat()
        incarnation, sent, name = worker.incarnation, self.cluster.now(), controllers[index]
        if self.cluster.rng.random() < self.cluster.active_faults.duplicate_share:
            self.cluster.spawn(self._deliver_duplicate(message, name))
        if self.cluster.rng.random() < self.cluster.active_faults.replay_share:
            self._to_replay.append(message)
        reply = await self._exchange_heartbeat(worker.machine.id, message, name)
        await self._wait_until_resumed(worker)
        if reply is None or self.cluster.now() - sent > _HEARTBEAT_TIMEOUT_S:
            await asyncio.sleep(_NEXT_CONTROLLER_PAUSE_S)
            return (index + 1) % len(controllers)
        status, answer = reply
        worker.tick()
        if status == 200:
            if worker.incarnation == incarnation and answer.get("baton", -1) >= worker.token:
                worker.observe_token(answer["baton"])
                worker.renewed_at = max(worker.renewed_at, sent)
                worker.execute(answer["orders"])
            await self._wait_until_due(worker, sent)
            return index
        leader_host = answer.get("foreman")
        if status == 421 and leader_host in controllers and leader_host != name:
            await asyncio.sleep(self.cluster.rng.uniform(0.0, 0.5))
            return controllers.index(leader_host)
        await asyncio.sleep(_NEXT_CONTROLLER_PAUSE_S)
        return (index + 1) % len(controllers)

    async def _wait_until_due(self, worker: Worker, sent: float) -> None:
        """Wait until the next heartbeat is due: after the interval, or early if a change occurs."""
        interval_s = self.cluster.config.heartbeat_interval_s * self.cluster.rng.uniform(0.75, 1.25)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(sent + interval_s - self.cluster.now()):
                await worker.unreported_change.wait()
                await asyncio.sleep(sent + _MIN_HEARTBEAT_INTERVAL_S - self.cluster.now())

    @staticmethod
    async def _wait_until_resumed(worker: Worker) -> None:
        while worker.paused_at is not None and not worker.machine.terminated:
            await asyncio.sleep(0.05)

    async def _exchange_heartbeat(
        self, machine: str, message: dict[str, Any], name: str
    ) -> Reply | None:
        """Return the response to a heartbeat; None after a time-out or a refused connection."""
        await self.cluster.network.delay()
        if self.cluster.hosts[name].node is None:
            return None
        if machine in self.cluster.active_faults.outbound_partitioned:
            await asyncio.sleep(_HEARTBEAT_TIMEOUT_S)
            return None
        if self.cluster.network.partitioned(machine, name):
            if self.cluster.rng.random() < _DELAYED_SHARE:
                self.cluster.spawn(
                    self._deliver_when(
                        message, name, lambda: not self.cluster.network.partitioned(machine, name)
                    )
                )
            await asyncio.sleep(_HEARTBEAT_TIMEOUT_S)
            return None
        if name in self.cluster.active_faults.paused:
            delayed = self.cluster.spawn(
                self._deliver_when(
                    message, name, lambda: name not in self.cluster.active_faults.paused
                )
            )
            done, _ = await asyncio.wait({delayed}, timeout=_HEARTBEAT_TIMEOUT_S)
            if not done:
                return None
            reply: Reply | None = await delayed
        else:
            reply = self.deliver_heartbeat(message, name)
        if machine in self.cluster.active_faults.inbound_partitioned or reply is None:
            await asyncio.sleep(_HEARTBEAT_TIMEOUT_S)
            return None
        await self.cluster.network.delay()
        return reply

    def deliver_heartbeat(self, message: dict[str, Any], name: str) -> Reply | None:
        """Return a controller's response to a heartbeat; None if no process runs on its host."""
        host = self.cluster.hosts[name]
        node = host.node
        if node is None:
            return None
        heartbeat = wire.decode(orjson.dumps(message), wire.Heartbeat)
        status, answer = host.context.run(
            node.handle_heartbeat, heartbeat, MachineId(heartbeat.machine)
        )
        self.cluster.digest.add(self.cluster.now(), name, message, status, answer)
        commands = answer.get("orders", [])
        self.cluster.invariants.check_commands(name, commands)
        if status == 200:
            self.cluster.invariants.check_renewal(name, message, commands)
        return status, answer

    async def _deliver_when(
        self, message: dict[str, Any], name: str, condition: Callable[[], bool]
    ) -> Reply | None:
        """Deliver a heartbeat once `condition` is true; its worker may have timed out by then."""
        while not condition():
            await asyncio.sleep(0.05)
        return self.deliver_heartbeat(message, name)

    async def _deliver_duplicate(self, message: dict[str, Any], name: str) -> None:
        await asyncio.sleep(self.cluster.rng.uniform(2.0, 2.5 * self.cluster.config.lease_s))
        if not self.cluster.network.partitioned(message["kiln"], name):
            self.deliver_heartbeat(message, name)

    async def replay_at_elections(self) -> None:
        """Replay the recorded heartbeats to every controller whenever a leader is elected."""
        last_term = None
        while True:
            await asyncio.sleep(0.05)
            host = self.cluster.leader()
            leadership = (
                host.node.election.leadership
                if host is not None and host.node is not None
                else None
            )
            if leadership is None or leadership.term == last_term:
                continue
            last_term, messages, self._to_replay = leadership.term, self._to_replay, []
            for message in messages:
                for name in self.cluster.hosts:
                    self.cluster.spawn(self._deliver_to_successor(message, name))

    async def _deliver_to_successor(self, message: dict[str, Any], name: str) -> None:
        """Deliver a heartbeat while the new leader loads the records, or up to 5 s later."""
        await asyncio.sleep(self.cluster.rng.choice([0.0, 0.1, 0.5, 2.0, 5.0]))
        self.deliver_heartbeat(message, name)
