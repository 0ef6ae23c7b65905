"""The workers of all machines: their heartbeats, and copies of these that arrive late."""

from __future__ import annotations

import asyncio
import contextlib
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
_NEXT_CONTROLLER_S: Final = 1.0
"""The pause before another controller is tried."""
_HEARTBEAT_GAP_S: Final = 0.5
"""The least time between two heartbeats to one controller."""
_HELD_SHARE: Final = 0.5
"""Share of the heartbeats into a partition that are delivered once it has healed."""


class WorkerFleet:
    """Runs the workers of the rented machines; the cluster has them by their names."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self._kept: list[dict[str, Any]] = []
        """Heartbeats whose copies are delivered at the next election."""

    def boot(self, machine: Machine) -> None:
        """Start the worker of a rented machine once the machine is up."""
        self.cluster.by_address[machine.addr] = machine.id
        self.cluster.spawn(self._run(machine))

    def clear(self, machine: Machine) -> None:
        """End the tasks of a terminated machine."""
        worker = self.cluster.workers.get(machine.id)
        if worker is not None:
            worker.tasks.clear()

    async def _run(self, machine: Machine) -> None:
        await asyncio.sleep(machine.up_at - self.cluster.now())
        if machine.terminated:
            return
        worker = Worker(
            machine,
            self.cluster.config.lease_s,
            self.cluster.now,
            self.cluster.descriptions,
            self.cluster.invariants.check_start,
            self.cluster.results,
            self.cluster.checkpoints,
        )
        worker.completed = self.cluster.users.task_completed
        self.cluster.workers[machine.id] = worker
        self.cluster.spawn(self._tick(worker))
        order = list(self.cluster.hosts)
        at = self.cluster.rng.randrange(len(order))
        while not machine.terminated:
            at = await self._send_heartbeat(worker, order, at)

    async def _tick(self, worker: Worker) -> None:
        while not worker.machine.terminated:
            worker.tick()
            await asyncio.sleep(0.1)

    async def _send_heartbeat(self, worker: Worker, order: list[str], at: int) -> int:
        """Send one heartbeat, obey its answer; return the index of the next one's receiver."""
        await self._wait_until_resumed(worker)
        worker.tick()
        worker.changed.clear()
        message = worker.report()
        incarnation, sent, name = worker.incarnation, self.cluster.now(), order[at]
        if self.cluster.rng.random() < self.cluster.active_faults.duplicate_share:
            self.cluster.spawn(self._deliver_copy(message, name))
        if self.cluster.rng.random() < self.cluster.active_faults.replay_share:
            self._kept.append(message)
        reply = await self._exchange_heartbeat(worker.machine.id, message, name)
        await self._wait_until_resumed(worker)
        if reply is None or self.cluster.now() - sent > _HEARTBEAT_TIMEOUT_S:
            await asyncio.sleep(_NEXT_CONTROLLER_S)
            return (at + 1) % len(order)
        status, answer = reply
        worker.tick()
        if status == 200:
            if worker.incarnation == incarnation and answer.get("baton", -1) >= worker.token:
                worker.observe_token(answer["baton"])
                worker.renewed_at = max(worker.renewed_at, sent)
                worker.execute(answer["orders"])
            await self._wait_until_due(worker, sent)
            return at
        foreman = answer.get("foreman")
        if status == 421 and foreman in order and foreman != name:
            await asyncio.sleep(self.cluster.rng.uniform(0.0, 0.5))
            return order.index(foreman)
        await asyncio.sleep(_NEXT_CONTROLLER_S)
        return (at + 1) % len(order)

    async def _wait_until_due(self, worker: Worker, sent: float) -> None:
        """Wait for the interval after a heartbeat that was sent then, or for a change."""
        interval_s = self.cluster.config.heartbeat_interval_s * self.cluster.rng.uniform(0.75, 1.25)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(sent + interval_s - self.cluster.now()):
                await worker.changed.wait()
                await asyncio.sleep(sent + _HEARTBEAT_GAP_S - self.cluster.now())

    @staticmethod
    async def _wait_until_resumed(worker: Worker) -> None:
        while worker.hung_at is not None and not worker.machine.terminated:
            await asyncio.sleep(0.05)

    async def _exchange_heartbeat(
        self, machine: str, message: dict[str, Any], name: str
    ) -> Reply | None:
        """Return the answer to a heartbeat, None after the timeout or a refused connection."""
        await self.cluster.network.delay()
        if self.cluster.hosts[name].node is None:
            return None
        if machine in self.cluster.active_faults.outbound_partitioned:
            await asyncio.sleep(_HEARTBEAT_TIMEOUT_S)
            return None
        if self.cluster.network.partitioned(machine, name):
            if self.cluster.rng.random() < _HELD_SHARE:
                self.cluster.spawn(
                    self._deliver_once(
                        message, name, lambda: not self.cluster.network.partitioned(machine, name)
                    )
                )
            await asyncio.sleep(_HEARTBEAT_TIMEOUT_S)
            return None
        if name in self.cluster.active_faults.paused:
            held = self.cluster.spawn(
                self._deliver_once(
                    message, name, lambda: name not in self.cluster.active_faults.paused
                )
            )
            done, _ = await asyncio.wait({held}, timeout=_HEARTBEAT_TIMEOUT_S)
            if not done:
                return None
            reply: Reply | None = await held
        else:
            reply = self.deliver_heartbeat(message, name)
        if machine in self.cluster.active_faults.inbound_partitioned or reply is None:
            await asyncio.sleep(_HEARTBEAT_TIMEOUT_S)
            return None
        await self.cluster.network.delay()
        return reply

    def deliver_heartbeat(self, message: dict[str, Any], name: str) -> Reply | None:
        """Return a controller's answer to a heartbeat, None if no process runs there."""
        host = self.cluster.hosts[name]
        node = host.node
        if node is None:
            return None
        found = wire.decode(orjson.dumps(message), wire.Heartbeat)
        status, answer = host.context.run(node.handle_heartbeat, found, MachineId(found.machine))
        self.cluster.digest.add(self.cluster.now(), name, message, status, answer)
        commands = answer.get("orders", [])
        self.cluster.invariants.check_commands(name, commands)
        if status == 200:
            self.cluster.invariants.check_renewal(name, message, commands)
        return status, answer

    async def _deliver_once(
        self, message: dict[str, Any], name: str, possible: Callable[[], bool]
    ) -> Reply | None:
        """Deliver a heartbeat that was held back, which its worker may not wait for any more."""
        while not possible():
            await asyncio.sleep(0.05)
        return self.deliver_heartbeat(message, name)

    async def _deliver_copy(self, message: dict[str, Any], name: str) -> None:
        await asyncio.sleep(self.cluster.rng.uniform(2.0, 2.5 * self.cluster.config.lease_s))
        if not self.cluster.network.partitioned(message["kiln"], name):
            self.deliver_heartbeat(message, name)

    async def replay_at_elections(self) -> None:
        """Deliver the heartbeats kept back to every controller whenever a leader is elected."""
        known = None
        while True:
            await asyncio.sleep(0.05)
            host = self.cluster.leader()
            leadership = (
                host.node.election.leadership
                if host is not None and host.node is not None
                else None
            )
            if leadership is None or leadership.term == known:
                continue
            known, kept, self._kept = leadership.term, self._kept, []
            for message in kept:
                for name in self.cluster.hosts:
                    self.cluster.spawn(self._deliver_to_successor(message, name))

    async def _deliver_to_successor(self, message: dict[str, Any], name: str) -> None:
        """Deliver it while the records are read, or after the first bindings."""
        await asyncio.sleep(self.cluster.rng.choice([0.0, 0.1, 0.5, 2.0, 5.0]))
        self.deliver_heartbeat(message, name)
