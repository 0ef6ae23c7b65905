"""Fault injection: faults that overlap, drawn from the seed of the day."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster
    from tealrill.simulation.process import Host

Undo = Callable[[], None]

PAUSED, HOST_LOST, PARTITIONED, REFUSED = LOSSES = ("frozen", "gone", "cut", "refused")
"""How a leader is lost: its process is paused, its machine is gone, it is partitioned from
everything, or the state service refuses it alone."""


class FaultInjector:
    """Injects combinations of faults: one begins after the other, and each lasts for a while."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster, self.rng = cluster, cluster.rng

    async def run(self, for_s: float) -> None:
        """Inject faults for `for_s`, and return once all of them have ended."""
        until = self.cluster.now() + for_s
        kinds = [
            self.refuse_leader_before_outage,
            self.refuse_leader_before_outage,
            self.outage,
            self.partition_leader,
            self.isolate_controller,
            self.delay_transactions,
            self.duplicate_heartbeats,
            self.partition_machines_inbound,
            self.delay_commands,
            self.slow_state_service,
            self.kill_controller,
            self.kill_controller,
            self.kill_all_controllers,
            self.cut_link,
            self.terminate_machine,
            self.cancel_running,
            self.cancel_running,
            self.cancel_at_end,
            self.lose_answers,
            self.replay_heartbeats,
            self.partition_machines_outbound,
            self.poll_closely,
            self.send_invalid_requests,
            self.boot_at_once,
            self.isolate_zone,
            self.partition_zones,
            self.cancel_while_refused,
            self.flapping,
            self.change_leaders,
            self.reclaim_machine,
        ]
        tasks: list[asyncio.Task[None]] = []
        while self.cluster.now() < until:
            kind = self.rng.choice(kinds)
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.rng.choice([0.5, 2.0, 6.0, 15.0, 30.0]))
        await asyncio.gather(*tasks)

    def _busiest(self) -> Host:
        leader = self.cluster.leader()
        return leader if leader is not None else self._any()

    def _any(self) -> Host:
        return self.rng.choice(list(self.cluster.hosts.values()))

    def _back_s(self) -> float:
        return self.rng.choice([0.1, 0.3, 0.9, 3.0, 8.0])

    async def _for(self, name: str, seconds: float, undo: Undo) -> None:
        self.cluster.note(f"{name} for {seconds:.1f} s")
        await asyncio.sleep(seconds)
        undo()
        self.cluster.note(f"{name} is over")

    async def refuse_leader_before_outage(self) -> None:
        """Let the state service refuse the leader alone, then everybody."""
        host, state = self._busiest(), self.cluster.state
        before = self.rng.choice([0.7, 1.5, 2.5, 5.0, 12.0])
        state.refused.add(host.name)
        await self._for(f"{host.name} is refused", before, lambda: state.outage(True))
        out = self.rng.choice([10.0, 35.0, 60.0])
        await self._for("an outage", out, lambda: state.outage(False))
        state.refused.discard(host.name)

    async def outage(self) -> None:
        """Begin an outage of the state service."""
        self.cluster.state.outage(True)
        seconds = self.rng.choice([3.0, 12.0, 30.0])
        await self._for("an outage", seconds, lambda: self.cluster.state.outage(False))

    async def _level(self, name: str, thing: object, field: str, at: float, seconds: float) -> None:
        """Set a field that is 0 or False without a fault, and reset it after a while."""
        off = False if isinstance(at, bool) else 0.0
        setattr(thing, field, at)
        await self._for(name, seconds, lambda: setattr(thing, field, off))

    async def _links(self, name: str, host: Host, others: list[str], seconds: float) -> None:
        pairs = [frozenset((host.name, other)) for other in others]
        self.cluster.active_faults.cut_links.update(pairs)
        await self._for(
            f"{host.name} {name}",
            seconds,
            lambda: self.cluster.active_faults.cut_links.difference_update(pairs),
        )

    def _members(self, host: Host) -> list[str]:
        return [name for name in self.cluster.hosts if name != host.name]

    async def partition_leader(self) -> None:
        """Partition the leader from state service and controllers, not from workers and users."""
        host = self._busiest()
        others = ["state", *self._members(host)]
        await self._links("is cut off", host, others, self.rng.choice([6.0, 20.0, 40.0]))

    async def cut_link(self) -> None:
        """Cut the link of a controller to one service or to the workers."""
        host = self._any()
        other = self.rng.choice(["state", "workers", "cloud"])
        await self._links("loses a link", host, [other], self.rng.choice([4.0, 15.0]))

    async def isolate_controller(self) -> None:
        """Partition a controller from everything but its users."""
        host = self._any()
        others = ["state", "cloud", "workers", *self._members(host)]
        await self._links("is silent", host, others, self.rng.choice([10.0, 40.0]))

    async def delay_transactions(self) -> None:
        """Carry out a share of the transactions late and without an answer."""
        share, seconds = self.rng.choice([0.1, 0.4]), self.rng.choice([10.0, 30.0])
        await self._level("late writes", self.cluster.state, "late", share, seconds)

    async def duplicate_heartbeats(self) -> None:
        """Deliver duplicates of heartbeats late."""
        seconds = self.rng.choice([15.0, 40.0])
        await self._level(
            "late copies of reports", self.cluster.active_faults, "duplicate_share", 0.3, seconds
        )

    async def _some_are(self, name: str, which: set[str], for_s: list[float]) -> None:
        names = [n for n in self.cluster.workers if self.rng.random() < 0.4]
        which.update(names)
        seconds = self.rng.choice(for_s)
        text = f"{len(names)} machines are {name}"
        await self._for(text, seconds, lambda: which.difference_update(names))

    async def partition_machines_inbound(self) -> None:
        """Partition some machines from what controllers send."""
        await self._some_are(
            "deaf", self.cluster.active_faults.inbound_partitioned, [5.0, 12.0, 30.0]
        )

    async def delay_commands(self) -> None:
        """Delay the delivery of commands and of their answers."""
        held_s, seconds = self.rng.choice([3.0, 9.0]), self.rng.choice([10.0, 30.0])
        await self._level(
            "commands are held", self.cluster.active_faults, "command_delay_s", held_s, seconds
        )

    async def slow_state_service(self) -> None:
        """Slow the answers of the state service."""
        slow_s, seconds = self.rng.choice([0.3, 0.8, 1.6]), self.rng.choice([8.0, 25.0])
        await self._level(
            "the state service is slow", self.cluster.state, "slow_s", slow_s, seconds
        )

    async def kill_controller(self) -> None:
        """Kill a controller once or several times; it restarts."""
        host = self._busiest() if self.rng.random() < 0.6 else self._any()
        for _ in range(self.rng.choice([1, 1, 4])):
            self.cluster.end(host, self._back_s())
            await asyncio.sleep(self.rng.choice([0.5, 1.0, 4.0]))

    async def kill_all_controllers(self) -> None:
        """Kill all controllers, perhaps several times; some restart at once."""
        for _ in range(self.rng.choice([1, 3])):
            for host in self.cluster.hosts.values():
                self.cluster.end(host, self._back_s())
            await asyncio.sleep(self.rng.choice([0.7, 2.0]))

    async def change_leaders(self, every_s: float = 0.0, for_s: float = 0.0) -> None:
        """Kill all controllers every few seconds, and cancel jobs that run meanwhile.

        `every_s` is drawn if it is 0, and so is `for_s`.
        """
        every_s = every_s or self.rng.uniform(1.5, 3.0)
        for_s = for_s or self.cluster.config.cancel_s * self.rng.choice([0.5, 1.5])
        cancellations = self.cluster.spawn(self._cancellations(for_s))
        until = self.cluster.now() + for_s
        while self.cluster.now() < until:
            for host in self.cluster.hosts.values():
                self.cluster.end(host, self.rng.choice([0.1, 0.3, 0.5]))
            await asyncio.sleep(every_s)
        await cancellations

    async def terminate_machine(self) -> None:
        """Terminate a machine."""
        alive = self.cluster.cloud.alive()
        if alive:
            machine = self.rng.choice(alive)
            self.cluster.note(f"{machine.id} dies")
            self.cluster.cloud.take(machine)

    async def reclaim_machine(self) -> None:
        """Take a spot machine back, after a notice that its worker reports."""
        spot = [worker for worker in self.cluster.up() if worker.machine.spot]
        if not spot:
            return
        worker, notice_s = self.rng.choice(spot), self.rng.choice([2.0, 6.0, 20.0])
        worker.taken_at = self.cluster.now() + notice_s
        worker.changed.set()
        await asyncio.sleep(notice_s)
        self.cluster.note(f"{worker.machine.id} is taken back after a notice of {notice_s:.0f} s")
        self.cluster.cloud.take(worker.machine)

    async def cancel_running(self, hang_s: float | None = None) -> None:
        """Cancel jobs that run and pause their machines, for less or for more than a lease."""
        config = self.cluster.config
        if hang_s is None:
            hang_s = self.rng.choice([0.0, 0.0, 0.5 * config.lease_s, 0.95 * config.lease_s])
            hang_s = self.rng.choice([hang_s, 1.3 * config.lease_s, config.cancel_s + 4.0])
        count = self.rng.choice([1, 4, 12])
        self.cluster.note(f"{count} jobs are called off, machines hang for {hang_s:.1f} s")
        await self.cluster.users.cancel_now(count, hang_s)
        await asyncio.sleep(hang_s)

    async def cancel_while_refused(self) -> None:
        """Cancel jobs as the leader is refused, a second before an outage beyond `cancel_s`."""
        host, state = self._busiest(), self.cluster.state
        state.refused.add(host.name)
        self.cluster.note(f"{host.name} is refused")
        await asyncio.sleep(self.rng.choice([0.0, 0.1, 0.6]))
        await self.cancel_running(0.0)
        await asyncio.sleep(1.0)
        state.outage(True)
        seconds = self.cluster.config.cancel_s + self.rng.choice([3.0, 15.0])
        await self._for("an outage", seconds, lambda: state.outage(False))
        state.refused.discard(host.name)

    async def flapping(self, way: str = "", for_s: float = 0.0) -> None:
        """Let the state service fail again and again, and lose the leader meanwhile.

        `way` is how it is lost: one of `LOSSES`, drawn if empty; `for_s` is how long both last.
        """
        config, host = self.cluster.config, self._busiest()
        for_s = for_s or config.cancel_s * self.rng.choice([0.5, 1.2, 1.8])
        loss = self.cluster.spawn(self._lose(host, way or self.rng.choice(LOSSES), for_s))
        cancellations = self.cluster.spawn(self._cancellations(for_s))
        until = self.cluster.now() + for_s
        longest_s = self.rng.choice([0.8, 1.5, 2.5])
        self.cluster.note(f"the state service flaps for {for_s:.1f} s, {longest_s} s at a time")
        while self.cluster.now() < until:
            await self._flap(self.rng.uniform(0.4, 1.0) * longest_s)
        self.cluster.note("the state service is stable")
        await asyncio.gather(loss, cancellations)

    async def _flap(self, down_s: float) -> None:
        """Begin one short outage; right before and after it answers are lost, writes are late."""
        state = self.cluster.state
        state.lost, state.late = 0.3, 0.1
        await asyncio.sleep(0.1)
        state.outage(True)
        await asyncio.sleep(down_s)
        state.outage(False)
        await asyncio.sleep(0.1)
        state.lost = state.late = 0.0
        await asyncio.sleep(self.rng.uniform(0.2, 1.4))

    async def _lose(self, host: Host, way: str, for_s: float) -> None:
        if way in (HOST_LOST, PARTITIONED):
            if way == HOST_LOST:
                self.cluster.end(host, for_s)
            everybody = ["workers", "state", *self._members(host)]
            await self._links(f"is lost ({way})", host, everybody, for_s)
        else:
            which = (
                self.cluster.active_faults.paused if way == PAUSED else self.cluster.state.refused
            )
            which.add(host.name)
            await self._for(f"{host.name} is {way}", for_s, lambda: which.discard(host.name))

    async def _cancellations(self, for_s: float) -> None:
        """Cancel jobs that run: at the beginning, and some more in the first half."""
        for pause_s in (0.2, 1.0, *(self.rng.uniform(0.1, 0.25) * for_s for _ in range(2))):
            await asyncio.sleep(pause_s)
            self.cluster.note("jobs are called off")
            await self.cluster.users.cancel_now(self.rng.choice([2, 4]))

    async def cancel_at_end(self) -> None:
        """Cancel jobs at the moment of their end."""
        seconds = self.rng.choice([10.0, 40.0])
        await self._level(
            "jobs are called off at their ends",
            self.cluster.active_faults,
            "cancel_at_end_share",
            0.7,
            seconds,
        )

    async def lose_answers(self) -> None:
        """Lose answers of the state service to changes that it carries out."""
        share, seconds = self.rng.choice([0.2, 0.6]), self.rng.choice([5.0, 20.0])
        await self._level("answers are lost", self.cluster.state, "lost", share, seconds)

    async def replay_heartbeats(self) -> None:
        """Replay heartbeats to all controllers at the next election."""
        seconds = self.rng.choice([15.0, 40.0])
        await self._level(
            "reports are kept", self.cluster.active_faults, "replay_share", 0.3, seconds
        )

    async def partition_machines_outbound(self) -> None:
        """Keep some machines from opening connections to controllers."""
        await self._some_are(
            "mute", self.cluster.active_faults.outbound_partitioned, [3.0, 10.0, 25.0]
        )

    async def poll_closely(self) -> None:
        """Let users poll all controllers at once."""
        await self._level("close looks", self.cluster.active_faults, "close_polling", True, 40.0)

    async def send_invalid_requests(self) -> None:
        """Let users send invalid and repeated requests."""
        await self._level(
            "odd requests", self.cluster.active_faults, "invalid_requests", True, 30.0
        )

    async def boot_at_once(self) -> None:
        """Terminate machines, whose replacements are up before their rental is answered."""
        cloud = self.cluster.cloud
        cloud.at_once, cloud.answers_s = True, self.rng.choice([0.0, 1.5])
        for _ in range(3):
            await self.terminate_machine()

        def undo() -> None:
            cloud.at_once, cloud.answers_s = False, 0.0

        await self._for("machines are up at once", 30.0, undo)

    async def isolate_zone(self) -> None:
        """Partition a zone from everything outside."""
        zone = self.rng.choice(["north", "south"])
        self.cluster.active_faults.isolated_zones.add(zone)
        seconds = self.cluster.config.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._for(
            f"{zone} is cut off",
            seconds,
            lambda: self.cluster.active_faults.isolated_zones.discard(zone),
        )

    async def partition_zones(self) -> None:
        """Partition the zones from each other, but not from the services."""
        seconds = self.cluster.config.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._level(
            "the zones are parted", self.cluster.active_faults, "zones_partitioned", True, seconds
        )
