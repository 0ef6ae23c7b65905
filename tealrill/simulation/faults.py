"""Fault injection: overlapping faults, drawn from the seed of the run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster
    from tealrill.simulation.process import Host

Undo = Callable[[], None]

FROZEN, GONE, CUT, REFUSED = LOSSES = ("frozen", "gone", "cut", "refused")
"""How a leader is lost: its process is paused, its host is lost, it is partitioned from all other
endpoints, or the state service rejects its requests alone."""


class FaultInjector:
    """Injects combinations of faults, each with a duration, so that several are active at once."""

    def __init__(self, world: SimulatedCluster) -> None:
        self.world, self.rng = world, world.rng

    async def run(self, for_s: float) -> None:
        """Begin random faults for `for_s` seconds; return once all of them have ended."""
        until = self.world.now() + for_s
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
        while self.world.now() < until:
            kind = self.rng.choice(kinds)
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.rng.choice([0.5, 2.0, 6.0, 15.0, 30.0]))
        await asyncio.gather(*tasks)

    def _busiest(self) -> Host:
        leader = self.world.leader()
        return leader if leader is not None else self._any()

    def _any(self) -> Host:
        return self.rng.choice(list(self.world.hosts.values()))

    def _back_s(self) -> float:
        return self.rng.choice([0.1, 0.3, 0.9, 3.0, 8.0])

    async def _for(self, name: str, seconds: float, undo: Undo) -> None:
        self.world.note(f"{name} for {seconds:.1f} s")
        await asyncio.sleep(seconds)
        undo()
        self.world.note(f"end of {name}")

    async def refuse_leader_before_outage(self) -> None:
        """Let the state service reject the leader's requests, then begin an outage for all."""
        host, state = self._busiest(), self.world.state
        before = self.rng.choice([0.7, 1.5, 2.5, 5.0, 12.0])
        state.refused.add(host.name)
        await self._for(f"state service refuses {host.name}", before, lambda: state.outage(True))
        out = self.rng.choice([10.0, 35.0, 60.0])
        await self._for("an outage", out, lambda: state.outage(False))
        state.refused.discard(host.name)

    async def outage(self) -> None:
        """Inject an outage of the state service."""
        self.world.state.outage(True)
        seconds = self.rng.choice([3.0, 12.0, 30.0])
        await self._for("an outage", seconds, lambda: self.world.state.outage(False))

    async def _level(self, name: str, thing: object, field: str, at: float, seconds: float) -> None:
        """Set a field, which is 0 or False without the fault, and reset it after `seconds`."""
        off = False if isinstance(at, bool) else 0.0
        setattr(thing, field, at)
        await self._for(name, seconds, lambda: setattr(thing, field, off))

    async def _links(self, name: str, host: Host, others: list[str], seconds: float) -> None:
        pairs = [frozenset((host.name, other)) for other in others]
        self.world.active_faults.cut_links.update(pairs)
        await self._for(
            f"{host.name} {name}",
            seconds,
            lambda: self.world.active_faults.cut_links.difference_update(pairs),
        )

    def _members(self, host: Host) -> list[str]:
        return [name for name in self.world.hosts if name != host.name]

    async def partition_leader(self) -> None:
        """Partition the leader from the state service and the other controllers only."""
        host = self._busiest()
        others = ["state", *self._members(host)]
        await self._links(
            "partitioned from state service and members",
            host,
            others,
            self.rng.choice([6.0, 20.0, 40.0]),
        )

    async def cut_link(self) -> None:
        """Cut the link of a controller to one service or to the workers."""
        host = self._any()
        other = self.rng.choice(["state", "workers", "cloud"])
        await self._links(f"partitioned from {other}", host, [other], self.rng.choice([4.0, 15.0]))

    async def isolate_controller(self) -> None:
        """Partition a controller from everything but its users."""
        host = self._any()
        others = ["state", "cloud", "workers", *self._members(host)]
        await self._links("isolated", host, others, self.rng.choice([10.0, 40.0]))

    async def delay_transactions(self) -> None:
        """Execute a share of the transactions late and without a response."""
        share, seconds = self.rng.choice([0.1, 0.4]), self.rng.choice([10.0, 30.0])
        await self._level("late transactions", self.world.state, "late", share, seconds)

    async def duplicate_heartbeats(self) -> None:
        """Deliver late duplicates of a share of the heartbeats."""
        seconds = self.rng.choice([15.0, 40.0])
        await self._level(
            "late duplicates of heartbeats",
            self.world.active_faults,
            "duplicate_share",
            0.3,
            seconds,
        )

    async def _some_are(self, name: str, which: set[str], for_s: list[float]) -> None:
        names = [n for n in self.world.workers if self.rng.random() < 0.4]
        which.update(names)
        seconds = self.rng.choice(for_s)
        text = f"{len(names)} machines {name}"
        await self._for(text, seconds, lambda: which.difference_update(names))

    async def partition_machines_inbound(self) -> None:
        """Keep commands and heartbeat responses from reaching some machines."""
        await self._some_are(
            "partitioned inbound", self.world.active_faults.inbound_partitioned, [5.0, 12.0, 30.0]
        )

    async def delay_commands(self) -> None:
        """Delay commands and their responses."""
        held_s, seconds = self.rng.choice([3.0, 9.0]), self.rng.choice([10.0, 30.0])
        await self._level(
            "delayed commands", self.world.active_faults, "command_delay_s", held_s, seconds
        )

    async def slow_state_service(self) -> None:
        """Delay the state service's handling of requests."""
        slow_s, seconds = self.rng.choice([0.3, 0.8, 1.6]), self.rng.choice([8.0, 25.0])
        await self._level("slow state service", self.world.state, "slow_s", slow_s, seconds)

    async def kill_controller(self) -> None:
        """Kill a controller once or several times; it restarts each time."""
        host = self._busiest() if self.rng.random() < 0.6 else self._any()
        for _ in range(self.rng.choice([1, 1, 4])):
            self.world.end(host, self._back_s())
            await asyncio.sleep(self.rng.choice([0.5, 1.0, 4.0]))

    async def kill_all_controllers(self) -> None:
        """Kill all controllers, once or several times; each restarts after its own random pause."""
        for _ in range(self.rng.choice([1, 3])):
            for host in self.world.hosts.values():
                self.world.end(host, self._back_s())
            await asyncio.sleep(self.rng.choice([0.7, 2.0]))

    async def change_leaders(self, every_s: float = 0.0, for_s: float = 0.0) -> None:
        """Kill all controllers every `every_s` for `for_s` seconds, and cancel running jobs.

        A value of 0 is replaced by a random one.
        """
        every_s = every_s or self.rng.uniform(1.5, 3.0)
        for_s = for_s or self.world.shape.cancel_s * self.rng.choice([0.5, 1.5])
        cancellations = self.world.begin(self._cancellations(for_s))
        until = self.world.now() + for_s
        while self.world.now() < until:
            for host in self.world.hosts.values():
                self.world.end(host, self.rng.choice([0.1, 0.3, 0.5]))
            await asyncio.sleep(every_s)
        await cancellations

    async def terminate_machine(self) -> None:
        """Terminate a machine."""
        alive = self.world.cloud.alive()
        if alive:
            machine = self.rng.choice(alive)
            self.world.note(f"machine terminated: machine={machine.id}")
            self.world.cloud.take(machine)

    async def reclaim_machine(self) -> None:
        """Terminate a spot machine after an interruption notice, which its worker reports."""
        spot = [worker for worker in self.world.up() if worker.machine.spot]
        if not spot:
            return
        worker, notice_s = self.rng.choice(spot), self.rng.choice([2.0, 6.0, 20.0])
        worker.taken_at = self.world.now() + notice_s
        worker.changed.set()
        await asyncio.sleep(notice_s)
        self.world.note(f"machine reclaimed: machine={worker.machine.id} notice_s={notice_s:.0f}")
        self.world.cloud.take(worker.machine)

    async def cancel_running(self, hang_s: float | None = None) -> None:
        """Cancel running jobs and pause their machines for `hang_s` seconds, by default random."""
        shape = self.world.shape
        if hang_s is None:
            hang_s = self.rng.choice([0.0, 0.0, 0.5 * shape.lease_s, 0.95 * shape.lease_s])
            hang_s = self.rng.choice([hang_s, 1.3 * shape.lease_s, shape.cancel_s + 4.0])
        count = self.rng.choice([1, 4, 12])
        self.world.note(f"running jobs cancelled: max_jobs={count} machine_pause_s={hang_s:.1f}")
        await self.world.users.cancel_now(count, hang_s)
        await asyncio.sleep(hang_s)

    async def cancel_while_refused(self) -> None:
        """Cancel jobs while the state service refuses the leader alone, a second before an outage.

        The outage lasts for longer than `cancel_s`.
        """
        host, state = self._busiest(), self.world.state
        state.refused.add(host.name)
        self.world.note(f"state service refuses {host.name}")
        await asyncio.sleep(self.rng.choice([0.0, 0.1, 0.6]))
        await self.cancel_running(0.0)
        await asyncio.sleep(1.0)
        state.outage(True)
        seconds = self.world.shape.cancel_s + self.rng.choice([3.0, 15.0])
        await self._for("an outage", seconds, lambda: state.outage(False))
        state.refused.discard(host.name)

    async def flapping(self, way: str = "", for_s: float = 0.0) -> None:
        """Inject a series of short outages of the state service, and lose the leader meanwhile.

        Args:
            way: How the leader is lost: one of `LOSSES`; drawn if empty.
            for_s: How long both faults last, in seconds; drawn if 0.
        """
        shape, host = self.world.shape, self._busiest()
        for_s = for_s or shape.cancel_s * self.rng.choice([0.5, 1.2, 1.8])
        loss = self.world.begin(self._lose(host, way or self.rng.choice(LOSSES), for_s))
        cancellations = self.world.begin(self._cancellations(for_s))
        until = self.world.now() + for_s
        longest_s = self.rng.choice([0.8, 1.5, 2.5])
        self.world.note(f"state service flaps: duration_s={for_s:.1f} max_outage_s={longest_s}")
        while self.world.now() < until:
            await self._flap(self.rng.uniform(0.4, 1.0) * longest_s)
        self.world.note("state service stable again")
        await asyncio.gather(loss, cancellations)

    async def _flap(self, down_s: float) -> None:
        """Inject one short outage; just before and after it, responses are lost and writes late."""
        state = self.world.state
        state.lost, state.late = 0.3, 0.1
        await asyncio.sleep(0.1)
        state.outage(True)
        await asyncio.sleep(down_s)
        state.outage(False)
        await asyncio.sleep(0.1)
        state.lost = state.late = 0.0
        await asyncio.sleep(self.rng.uniform(0.2, 1.4))

    async def _lose(self, host: Host, way: str, for_s: float) -> None:
        if way in (GONE, CUT):
            if way == GONE:
                self.world.end(host, for_s)
            everybody = ["workers", "state", *self._members(host)]
            await self._links(f"lost ({way})", host, everybody, for_s)
        else:
            which = self.world.active_faults.paused if way == FROZEN else self.world.state.refused
            which.add(host.name)
            await self._for(f"{host.name} lost ({way})", for_s, lambda: which.discard(host.name))

    async def _cancellations(self, for_s: float) -> None:
        """Cancel running jobs several times, mostly in the first half of `for_s`."""
        for pause_s in (0.2, 1.0, *(self.rng.uniform(0.1, 0.25) * for_s for _ in range(2))):
            await asyncio.sleep(pause_s)
            self.world.note("running jobs cancelled")
            await self.world.users.cancel_now(self.rng.choice([2, 4]))

    async def cancel_at_end(self) -> None:
        """Let users cancel jobs at the moment of their completion."""
        seconds = self.rng.choice([10.0, 40.0])
        await self._level(
            "cancellations at job completion",
            self.world.active_faults,
            "cancel_at_end_share",
            0.7,
            seconds,
        )

    async def lose_answers(self) -> None:
        """Lose the state service's responses to changes that it has applied."""
        share, seconds = self.rng.choice([0.2, 0.6]), self.rng.choice([5.0, 20.0])
        await self._level("lost state service responses", self.world.state, "lost", share, seconds)

    async def replay_heartbeats(self) -> None:
        """Replay a share of the heartbeats to all controllers at the next election."""
        seconds = self.rng.choice([15.0, 40.0])
        await self._level(
            "replayed heartbeats", self.world.active_faults, "replay_share", 0.3, seconds
        )

    async def partition_machines_outbound(self) -> None:
        """Keep the heartbeats of some machines from reaching controllers."""
        await self._some_are(
            "partitioned outbound", self.world.active_faults.outbound_partitioned, [3.0, 10.0, 25.0]
        )

    async def poll_closely(self) -> None:
        """Let users poll all controllers at once when the status of their job changes."""
        await self._level("close polling", self.world.active_faults, "close_polling", True, 40.0)

    async def send_invalid_requests(self) -> None:
        """Let users send invalid and repeated requests."""
        await self._level(
            "invalid requests", self.world.active_faults, "invalid_requests", True, 30.0
        )

    async def boot_at_once(self) -> None:
        """Terminate machines; replacements may boot before the response to their rental arrives."""
        cloud = self.world.cloud
        cloud.at_once, cloud.answers_s = True, self.rng.choice([0.0, 1.5])
        for _ in range(3):
            await self.terminate_machine()

        def undo() -> None:
            cloud.at_once, cloud.answers_s = False, 0.0

        await self._for("fast machine boots", 30.0, undo)

    async def isolate_zone(self) -> None:
        """Partition a zone from all endpoints outside it."""
        zone = self.rng.choice(["north", "south"])
        self.world.active_faults.isolated_zones.add(zone)
        seconds = self.world.shape.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._for(
            f"zone {zone} isolated",
            seconds,
            lambda: self.world.active_faults.isolated_zones.discard(zone),
        )

    async def partition_zones(self) -> None:
        """Partition the zones from each other, but not from the services."""
        seconds = self.world.shape.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._level(
            "zones partitioned from each other",
            self.world.active_faults,
            "zones_partitioned",
            True,
            seconds,
        )
