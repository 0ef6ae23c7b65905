"""Troubles of a simulated day: several at a time, drawn from the day's seed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster
    from tealrill.simulation.process import Host

Undo = Callable[[], None]

FROZEN, GONE, CUT, REFUSED = LOSSES = ("frozen", "gone", "cut", "refused")
"""How a leader is lost: it stands still, its machine is gone, nothing reaches it, or the state
service refuses it alone."""


class FaultInjector:
    """Draws meetings: one trouble after the other begins, and each lasts for a while."""

    def __init__(self, world: SimulatedCluster) -> None:
        self.world, self.rng = world, world.rng

    async def run(self, for_s: float) -> None:
        """Ends once every trouble has ended."""
        until = self.world.now() + for_s
        kinds = [
            self.refused_then_out, self.refused_then_out, self.outage, self.cut_off, self.silent,
            self.late_writes, self.late_copies, self.inbound_partitioned, self.held, self.slow,
            self.ends, self.ends, self.volley, self.reset_links, self.machine_dies, self.cancel_now,
            self.cancel_now, self.cancel_at_end, self.lost_answers, self.for_next,
            self.outbound_partitioned,
            self.close_looks, self.odd_requests, self.up_at_once, self.zone_away, self.parted,
            self.refused_and_called_off, self.flapping,
        ]  # fmt: skip
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
        self.world.note(f"{name} is over")

    async def refused_then_out(self) -> None:
        """The state service refuses the leader alone, then everybody."""
        host, state = self._busiest(), self.world.state
        before = self.rng.choice([0.7, 1.5, 2.5, 5.0, 12.0])
        state.refused.add(host.name)
        await self._for(f"{host.name} is refused", before, lambda: state.outage(True))
        out = self.rng.choice([10.0, 35.0, 60.0])
        await self._for("an outage", out, lambda: state.outage(False))
        state.refused.discard(host.name)

    async def outage(self) -> None:
        self.world.state.outage(True)
        seconds = self.rng.choice([3.0, 12.0, 30.0])
        await self._for("an outage", seconds, lambda: self.world.state.outage(False))

    async def _level(self, name: str, thing: object, field: str, at: float, seconds: float) -> None:
        """What is 0 without trouble stands at a level for a while."""
        off = False if isinstance(at, bool) else 0.0
        setattr(thing, field, at)
        await self._for(name, seconds, lambda: setattr(thing, field, off))

    async def _links(self, name: str, host: Host, others: list[str], seconds: float) -> None:
        pairs = [frozenset((host.name, other)) for other in others]
        self.world.cut.update(pairs)
        await self._for(
            f"{host.name} {name}", seconds, lambda: self.world.cut.difference_update(pairs)
        )

    def _members(self, host: Host) -> list[str]:
        return [name for name in self.world.hosts if name != host.name]

    async def cut_off(self) -> None:
        """The leader loses state service and controllers; workers and users still reach it."""
        host = self._busiest()
        others = ["state", *self._members(host)]
        await self._links("is cut off", host, others, self.rng.choice([6.0, 20.0, 40.0]))

    async def reset_links(self) -> None:
        host = self._any()
        other = self.rng.choice(["state", "workers", "cloud"])
        await self._links("loses a link", host, [other], self.rng.choice([4.0, 15.0]))

    async def silent(self) -> None:
        host = self._any()
        others = ["state", "cloud", "workers", *self._members(host)]
        await self._links("is silent", host, others, self.rng.choice([10.0, 40.0]))

    async def late_writes(self) -> None:
        share, seconds = self.rng.choice([0.1, 0.4]), self.rng.choice([10.0, 30.0])
        await self._level("late writes", self.world.state, "late", share, seconds)

    async def late_copies(self) -> None:
        seconds = self.rng.choice([15.0, 40.0])
        await self._level("late copies of reports", self.world, "copies", 0.3, seconds)

    async def _some_are(self, name: str, which: set[str], for_s: list[float]) -> None:
        names = [n for n in self.world.workers if self.rng.random() < 0.4]
        which.update(names)
        seconds = self.rng.choice(for_s)
        text = f"{len(names)} machines are {name}"
        await self._for(text, seconds, lambda: which.difference_update(names))

    async def inbound_partitioned(self) -> None:
        await self._some_are("deaf", self.world.inbound_partitioned, [5.0, 12.0, 30.0])

    async def held(self) -> None:
        held_s, seconds = self.rng.choice([3.0, 9.0]), self.rng.choice([10.0, 30.0])
        await self._level("commands are held", self.world, "held_s", held_s, seconds)

    async def slow(self) -> None:
        slow_s, seconds = self.rng.choice([0.3, 0.8, 1.6]), self.rng.choice([8.0, 25.0])
        await self._level("the state service is slow", self.world.state, "slow_s", slow_s, seconds)

    async def ends(self) -> None:
        host = self._busiest() if self.rng.random() < 0.6 else self._any()
        for _ in range(self.rng.choice([1, 1, 4])):
            self.world.end(host, self._back_s())
            await asyncio.sleep(self.rng.choice([0.5, 1.0, 4.0]))

    async def volley(self) -> None:
        """All controllers, again and again; some are back at once."""
        for _ in range(self.rng.choice([1, 3])):
            for host in self.world.hosts.values():
                self.world.end(host, self._back_s())
            await asyncio.sleep(self.rng.choice([0.7, 2.0]))

    async def machine_dies(self) -> None:
        alive = self.world.cloud.alive()
        if alive:
            machine = self.rng.choice(alive)
            self.world.note(f"{machine.id} dies")
            self.world.cloud.take(machine)

    async def cancel_now(self, hang_s: float | None = None) -> None:
        """Jobs that run are called off; their machines hang for less, or for more, than a lease."""
        shape = self.world.shape
        if hang_s is None:
            hang_s = self.rng.choice([0.0, 0.0, 0.5 * shape.lease_s, 0.95 * shape.lease_s])
            hang_s = self.rng.choice([hang_s, 1.3 * shape.lease_s, shape.cancel_s + 4.0])
        count = self.rng.choice([1, 4, 12])
        self.world.note(f"{count} jobs are called off, machines hang for {hang_s:.1f} s")
        await self.world.users.cancel_now(count, hang_s)
        await asyncio.sleep(hang_s)

    async def refused_and_called_off(self) -> None:
        """Called off in the moment of the refusal, a second before an outage beyond `cancel_s`."""
        host, state = self._busiest(), self.world.state
        state.refused.add(host.name)
        self.world.note(f"{host.name} is refused")
        await asyncio.sleep(self.rng.choice([0.0, 0.1, 0.6]))
        await self.cancel_now(0.0)
        await asyncio.sleep(1.0)
        state.outage(True)
        seconds = self.world.shape.cancel_s + self.rng.choice([3.0, 15.0])
        await self._for("an outage", seconds, lambda: state.outage(False))
        state.refused.discard(host.name)

    async def flapping(self, way: str = "", for_s: float = 0.0) -> None:
        """The state service goes away again and again, and the leader is lost meanwhile.

        `way` is how it is lost: one of `LOSSES`, drawn if empty; `for_s` is how long both last.
        """
        shape, host = self.world.shape, self._busiest()
        for_s = for_s or shape.cancel_s * self.rng.choice([0.5, 1.2, 1.8])
        loss = self.world.begin(self._lose(host, way or self.rng.choice(LOSSES), for_s))
        cancellations = self.world.begin(self._cancellations(for_s))
        until = self.world.now() + for_s
        longest_s = self.rng.choice([0.8, 1.5, 2.5])
        self.world.note(f"the state service flaps for {for_s:.1f} s, {longest_s} s at a time")
        while self.world.now() < until:
            await self._flap(self.rng.uniform(0.4, 1.0) * longest_s)
        self.world.note("the state service is stable")
        await asyncio.gather(loss, cancellations)

    async def _flap(self, down_s: float) -> None:
        """One outage; right before and after it answers are lost, and writes are late."""
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
            await self._links(f"is lost ({way})", host, everybody, for_s)
        else:
            which = self.world.frozen if way == FROZEN else self.world.state.refused
            which.add(host.name)
            await self._for(f"{host.name} is {way}", for_s, lambda: which.discard(host.name))

    async def _cancellations(self, for_s: float) -> None:
        """Users call off what runs: right at the beginning, and some more in the first half."""
        for pause_s in (0.2, 1.0, *(self.rng.uniform(0.1, 0.25) * for_s for _ in range(2))):
            await asyncio.sleep(pause_s)
            self.world.note("jobs are called off")
            await self.world.users.cancel_now(self.rng.choice([2, 4]))

    async def cancel_at_end(self) -> None:
        seconds = self.rng.choice([10.0, 40.0])
        await self._level("jobs are called off at their ends", self.world, "at_end", 0.7, seconds)

    async def lost_answers(self) -> None:
        share, seconds = self.rng.choice([0.2, 0.6]), self.rng.choice([5.0, 20.0])
        await self._level("answers are lost", self.world.state, "lost", share, seconds)

    async def for_next(self) -> None:
        seconds = self.rng.choice([15.0, 40.0])
        await self._level("reports are kept", self.world, "for_next", 0.3, seconds)

    async def outbound_partitioned(self) -> None:
        await self._some_are("mute", self.world.outbound_partitioned, [3.0, 10.0, 25.0])

    async def close_looks(self) -> None:
        await self._level("close looks", self.world, "close_looks", True, 40.0)

    async def odd_requests(self) -> None:
        await self._level("odd requests", self.world, "odd", True, 30.0)

    async def up_at_once(self) -> None:
        """Machines die, and new ones work before their rental is answered."""
        cloud = self.world.cloud
        cloud.at_once, cloud.answers_s = True, self.rng.choice([0.0, 1.5])
        for _ in range(3):
            await self.machine_dies()

        def undo() -> None:
            cloud.at_once, cloud.answers_s = False, 0.0

        await self._for("machines are up at once", 30.0, undo)

    async def zone_away(self) -> None:
        zone = self.rng.choice(["north", "south"])
        self.world.away.add(zone)
        seconds = self.world.shape.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._for(f"{zone} is cut off", seconds, lambda: self.world.away.discard(zone))

    async def parted(self) -> None:
        seconds = self.world.shape.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._level("the zones are parted", self.world, "parted", True, seconds)
