"""Fault injection: overlapping faults, drawn from the seed of the run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster
    from tealrill.simulation.process import Host

Undo = Callable[[], None]

PAUSED, HOST_LOST, PARTITIONED, REFUSED = LEADER_LOSSES = ("frozen", "gone", "cut", "refused")
"""How a leader is lost: its process is paused, its host is lost, it is partitioned from all other
endpoints, or the state service rejects its requests alone."""


class FaultInjector:
    """Injects combinations of faults, each with a duration, so that several are active at once."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster, self.rng = cluster, cluster.rng

    async def run(self, for_s: float) -> None:
        """Begin random faults for `for_s` seconds; return once all of them have ended."""
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
            self.lose_responses,
            self.replay_heartbeats,
            self.partition_machines_outbound,
            self.poll_closely,
            self.send_invalid_requests,
            self.boot_fast,
            self.isolate_zone,
            self.partition_zones,
            self.cancel_while_refused,
            self.flapping,
            self.change_leaders,
            self.reclaim_machine,
            self.duplicate_commands,
            self.duplicate_requests,
        ]
        tasks: list[asyncio.Task[None]] = []
        while self.cluster.now() < until:
            kind = self.rng.choice(kinds)
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.rng.choice([0.5, 2.0, 6.0, 15.0, 30.0]))
        await asyncio.gather(*tasks)

    def _leader_or_any(self) -> Host:
        leader = self.cluster.leader()
        return leader if leader is not None else self._any_controller()

    def _any_controller(self) -> Host:
        return self.rng.choice(list(self.cluster.hosts.values()))

    def _restart_s(self) -> float:
        return self.rng.choice([0.1, 0.3, 0.9, 3.0, 8.0])

    async def _hold(self, name: str, seconds: float, undo: Undo) -> None:
        self.cluster.log_event(f"{name} for {seconds:.1f} s")
        await asyncio.sleep(seconds)
        undo()
        self.cluster.log_event(f"end of {name}")

    async def refuse_leader_before_outage(self) -> None:
        """Let the state service reject the leader's requests, then begin an outage for all."""
        host, state = self._leader_or_any(), self.cluster.state
        refused_s = self.rng.choice([0.7, 1.5, 2.5, 5.0, 12.0])
        state.refused_sources.add(host.name)
        await self._hold(
            f"state service refuses {host.name}", refused_s, lambda: state.set_outage(True)
        )
        outage_s = self.rng.choice([10.0, 35.0, 60.0])
        await self._hold("an outage", outage_s, lambda: state.set_outage(False))
        state.refused_sources.discard(host.name)

    async def outage(self) -> None:
        """Inject an outage of the state service."""
        self.cluster.state.set_outage(True)
        seconds = self.rng.choice([3.0, 12.0, 30.0])
        await self._hold("an outage", seconds, lambda: self.cluster.state.set_outage(False))

    async def _set_field(
        self, name: str, target: object, field: str, value: float, seconds: float
    ) -> None:
        """Set a field, which is 0 or False without the fault, and reset it after `seconds`."""
        default = False if isinstance(value, bool) else 0.0
        setattr(target, field, value)
        await self._hold(name, seconds, lambda: setattr(target, field, default))

    async def _cut_links(self, name: str, host: Host, others: list[str], seconds: float) -> None:
        links = [frozenset((host.name, other)) for other in others]
        self.cluster.active_faults.cut_links.update(links)
        await self._hold(
            f"{host.name} {name}",
            seconds,
            lambda: self.cluster.active_faults.cut_links.difference_update(links),
        )

    def _other_controllers(self, host: Host) -> list[str]:
        return [name for name in self.cluster.hosts if name != host.name]

    async def partition_leader(self) -> None:
        """Partition the leader from the state service and the other controllers only."""
        host = self._leader_or_any()
        others = ["state", *self._other_controllers(host)]
        await self._cut_links(
            "partitioned from state service and members",
            host,
            others,
            self.rng.choice([6.0, 20.0, 40.0]),
        )

    async def cut_link(self) -> None:
        """Cut the link of a controller to one service or to the workers."""
        host = self._any_controller()
        other = self.rng.choice(["state", "workers", "cloud"])
        await self._cut_links(
            "partitioned from one endpoint", host, [other], self.rng.choice([4.0, 15.0])
        )

    async def isolate_controller(self) -> None:
        """Partition a controller from everything but its users."""
        host = self._any_controller()
        others = ["state", "cloud", "workers", *self._other_controllers(host)]
        await self._cut_links("isolated", host, others, self.rng.choice([10.0, 40.0]))

    async def delay_transactions(self) -> None:
        """Execute a share of the transactions late and without a response."""
        share, seconds = self.rng.choice([0.1, 0.4]), self.rng.choice([10.0, 30.0])
        await self._set_field("late transactions", self.cluster.state, "late_share", share, seconds)

    async def duplicate_heartbeats(self) -> None:
        """Deliver late duplicates of a share of the heartbeats."""
        seconds = self.rng.choice([15.0, 40.0])
        await self._set_field(
            "late duplicates of heartbeats",
            self.cluster.active_faults,
            "duplicate_share",
            0.3,
            seconds,
        )

    async def duplicate_commands(self, share: float = 0.0, for_s: float = 0.0) -> None:
        """Deliver late copies of direct commands, while some of the tasks fail.

        Args:
            share: Share of the commands that are delivered once more; drawn if 0.
            for_s: How long both faults last, in seconds; drawn if 0.
        """
        share, for_s = share or self.rng.choice([0.3, 0.9]), for_s or self.rng.choice([20.0, 60.0])
        faults = self.cluster.active_faults
        await asyncio.gather(
            self._set_field("late copies of commands", faults, "command_copy_share", share, for_s),
            self._set_field("failing tasks", faults, "task_failure_share", 0.3, for_s),
        )

    async def duplicate_requests(self) -> None:
        """Deliver late copies of requests to the state service, the cloud and other controllers."""
        share, seconds = self.rng.choice([0.1, 0.5]), self.rng.choice([20.0, 60.0])
        await self._set_field(
            "late copies of requests",
            self.cluster.active_faults,
            "request_copy_share",
            share,
            seconds,
        )

    async def _affect_machines(self, name: str, affected: set[str], for_s: list[float]) -> None:
        names = [n for n in self.cluster.workers if self.rng.random() < 0.4]
        affected.update(names)
        seconds = self.rng.choice(for_s)
        text = f"{len(names)} machines {name}"
        await self._hold(text, seconds, lambda: affected.difference_update(names))

    async def partition_machines_inbound(self) -> None:
        """Keep commands and heartbeat responses from reaching some machines."""
        await self._affect_machines(
            "partitioned inbound", self.cluster.active_faults.inbound_partitioned, [5.0, 12.0, 30.0]
        )

    async def delay_commands(self) -> None:
        """Delay commands and their responses."""
        delay_s, seconds = self.rng.choice([3.0, 9.0]), self.rng.choice([10.0, 30.0])
        await self._set_field(
            "delayed commands", self.cluster.active_faults, "command_delay_s", delay_s, seconds
        )

    async def slow_state_service(self) -> None:
        """Delay the state service's handling of requests."""
        request_delay_s, seconds = self.rng.choice([0.3, 0.8, 1.6]), self.rng.choice([8.0, 25.0])
        await self._set_field(
            "slow state service", self.cluster.state, "request_delay_s", request_delay_s, seconds
        )

    async def kill_controller(self) -> None:
        """Kill a controller once or several times; it restarts each time."""
        host = self._leader_or_any() if self.rng.random() < 0.6 else self._any_controller()
        for _ in range(self.rng.choice([1, 1, 4])):
            self.cluster.kill_controller(host, self._restart_s())
            await asyncio.sleep(self.rng.choice([0.5, 1.0, 4.0]))

    async def kill_all_controllers(self) -> None:
        """Kill all controllers, once or several times; each restarts after its own random pause."""
        for _ in range(self.rng.choice([1, 3])):
            for host in self.cluster.hosts.values():
                self.cluster.kill_controller(host, self._restart_s())
            await asyncio.sleep(self.rng.choice([0.7, 2.0]))

    async def change_leaders(self, interval_s: float = 0.0, for_s: float = 0.0) -> None:
        """Kill all controllers every `interval_s` for `for_s` seconds, and cancel running jobs.

        A value of 0 is replaced by a random one.
        """
        interval_s = interval_s or self.rng.uniform(1.5, 3.0)
        for_s = for_s or self.cluster.config.cancel_s * self.rng.choice([0.5, 1.5])
        cancellations = self.cluster.spawn(self._cancellations(for_s))
        until = self.cluster.now() + for_s
        while self.cluster.now() < until:
            for host in self.cluster.hosts.values():
                self.cluster.kill_controller(host, self.rng.choice([0.1, 0.3, 0.5]))
            await asyncio.sleep(interval_s)
        await cancellations

    async def terminate_machine(self) -> None:
        """Terminate a machine."""
        live = self.cluster.cloud.live_machines()
        if live:
            machine = self.rng.choice(live)
            self.cluster.log_event(f"machine terminated: machine={machine.id}")
            self.cluster.cloud.terminate(machine)

    async def reclaim_machine(self) -> None:
        """Terminate a spot machine after an interruption notice, which its worker reports."""
        spot = [worker for worker in self.cluster.live_workers() if worker.machine.spot]
        if not spot:
            return
        worker, notice_s = self.rng.choice(spot), self.rng.choice([2.0, 6.0, 20.0])
        worker.terminates_at = self.cluster.now() + notice_s
        worker.unreported_change.set()
        await asyncio.sleep(notice_s)
        self.cluster.log_event(
            f"machine reclaimed: machine={worker.machine.id} notice_s={notice_s:.0f}"
        )
        self.cluster.cloud.terminate(worker.machine)

    async def cancel_running(self, pause_s: float | None = None) -> None:
        """Cancel running jobs and pause their machines for `pause_s` seconds, by default random."""
        config = self.cluster.config
        if pause_s is None:
            pause_s = self.rng.choice([0.0, 0.0, 0.5 * config.lease_s, 0.95 * config.lease_s])
            pause_s = self.rng.choice([pause_s, 1.3 * config.lease_s, config.cancel_s + 4.0])
        count = self.rng.choice([1, 4, 12])
        self.cluster.log_event(
            f"running jobs cancelled: max_jobs={count} machine_pause_s={pause_s:.1f}"
        )
        await self.cluster.users.cancel_jobs(count, pause_s)
        await asyncio.sleep(pause_s)

    async def cancel_while_refused(self) -> None:
        """Cancel jobs while the state service refuses the leader alone, a second before an outage.

        The outage lasts for longer than `cancel_s`.
        """
        host, state = self._leader_or_any(), self.cluster.state
        state.refused_sources.add(host.name)
        self.cluster.log_event(f"state service refuses {host.name}")
        await asyncio.sleep(self.rng.choice([0.0, 0.1, 0.6]))
        await self.cancel_running(0.0)
        await asyncio.sleep(1.0)
        state.set_outage(True)
        seconds = self.cluster.config.cancel_s + self.rng.choice([3.0, 15.0])
        await self._hold("an outage", seconds, lambda: state.set_outage(False))
        state.refused_sources.discard(host.name)

    async def flapping(self, loss_kind: str = "", for_s: float = 0.0) -> None:
        """Inject a series of short outages of the state service, and lose the leader meanwhile.

        Args:
            loss_kind: How the leader is lost: one of `LEADER_LOSSES`; drawn if empty.
            for_s: How long both faults last, in seconds; drawn if 0.
        """
        config, host = self.cluster.config, self._leader_or_any()
        for_s = for_s or config.cancel_s * self.rng.choice([0.5, 1.2, 1.8])
        loss = self.cluster.spawn(
            self._lose_leader(host, loss_kind or self.rng.choice(LEADER_LOSSES), for_s)
        )
        cancellations = self.cluster.spawn(self._cancellations(for_s))
        until = self.cluster.now() + for_s
        longest_s = self.rng.choice([0.8, 1.5, 2.5])
        self.cluster.log_event(
            f"state service flaps: duration_s={for_s:.1f} max_outage_s={longest_s}"
        )
        while self.cluster.now() < until:
            await self._flap(self.rng.uniform(0.4, 1.0) * longest_s)
        self.cluster.log_event("state service stable again")
        await asyncio.gather(loss, cancellations)

    async def _flap(self, down_s: float) -> None:
        """Inject one short outage; just before and after it, responses are lost and writes late."""
        state = self.cluster.state
        state.lost_reply_share, state.late_share = 0.3, 0.1
        await asyncio.sleep(0.1)
        state.set_outage(True)
        await asyncio.sleep(down_s)
        state.set_outage(False)
        await asyncio.sleep(0.1)
        state.lost_reply_share = state.late_share = 0.0
        await asyncio.sleep(self.rng.uniform(0.2, 1.4))

    async def _lose_leader(self, host: Host, loss_kind: str, for_s: float) -> None:
        if loss_kind in (HOST_LOST, PARTITIONED):
            if loss_kind == HOST_LOST:
                self.cluster.kill_controller(host, for_s)
            endpoints = ["workers", "state", *self._other_controllers(host)]
            await self._cut_links(f"lost ({loss_kind})", host, endpoints, for_s)
        else:
            affected = (
                self.cluster.active_faults.paused
                if loss_kind == PAUSED
                else self.cluster.state.refused_sources
            )
            affected.add(host.name)
            await self._hold(
                f"{host.name} lost ({loss_kind})", for_s, lambda: affected.discard(host.name)
            )

    async def _cancellations(self, for_s: float) -> None:
        """Cancel running jobs several times, mostly in the first half of `for_s`."""
        for pause_s in (0.2, 1.0, *(self.rng.uniform(0.1, 0.25) * for_s for _ in range(2))):
            await asyncio.sleep(pause_s)
            self.cluster.log_event("running jobs cancelled")
            await self.cluster.users.cancel_jobs(self.rng.choice([2, 4]))

    async def cancel_at_end(self) -> None:
        """Let users cancel jobs at the moment of their completion."""
        seconds = self.rng.choice([10.0, 40.0])
        await self._set_field(
            "cancellations at job completion",
            self.cluster.active_faults,
            "cancel_at_end_share",
            0.7,
            seconds,
        )

    async def lose_responses(self) -> None:
        """Lose the state service's responses to changes that it has applied."""
        share, seconds = self.rng.choice([0.2, 0.6]), self.rng.choice([5.0, 20.0])
        await self._set_field(
            "lost state service responses", self.cluster.state, "lost_reply_share", share, seconds
        )

    async def replay_heartbeats(self) -> None:
        """Replay a share of the heartbeats to all controllers at the next election."""
        seconds = self.rng.choice([15.0, 40.0])
        await self._set_field(
            "replayed heartbeats", self.cluster.active_faults, "replay_share", 0.3, seconds
        )

    async def partition_machines_outbound(self) -> None:
        """Keep the heartbeats of some machines from reaching controllers."""
        await self._affect_machines(
            "partitioned outbound",
            self.cluster.active_faults.outbound_partitioned,
            [3.0, 10.0, 25.0],
        )

    async def poll_closely(self) -> None:
        """Let users poll all controllers at once when the status of their job changes."""
        await self._set_field(
            "close polling", self.cluster.active_faults, "close_polling", True, 40.0
        )

    async def send_invalid_requests(self) -> None:
        """Let users send invalid and repeated requests."""
        await self._set_field(
            "invalid requests", self.cluster.active_faults, "invalid_requests", True, 30.0
        )

    async def boot_fast(self) -> None:
        """Terminate machines; replacements may boot before the response to their rental arrives."""
        cloud = self.cluster.cloud
        cloud.fast_boot, cloud.rental_response_delay_s = True, self.rng.choice([0.0, 1.5])
        for _ in range(3):
            await self.terminate_machine()

        def undo() -> None:
            cloud.fast_boot, cloud.rental_response_delay_s = False, 0.0

        await self._hold("fast machine boots", 30.0, undo)

    async def isolate_zone(self) -> None:
        """Partition a zone from all endpoints outside it."""
        zone = self.rng.choice(["north", "south"])
        self.cluster.active_faults.isolated_zones.add(zone)
        seconds = self.cluster.config.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._hold(
            f"zone {zone} isolated",
            seconds,
            lambda: self.cluster.active_faults.isolated_zones.discard(zone),
        )

    async def partition_zones(self) -> None:
        """Partition the zones from each other, but not from the services."""
        seconds = self.cluster.config.lease_s * self.rng.choice([0.5, 1.2, 2.5])
        await self._set_field(
            "zones partitioned from each other",
            self.cluster.active_faults,
            "zones_partitioned",
            True,
            seconds,
        )
