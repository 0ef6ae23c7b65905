"""The protocol's invariants, checked on the true state of the simulation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from tealrill import wire
from tealrill.simulation.cloud_service import CloudService
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import Worker, job_of
from tealrill.types import JobId

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster

ANSWER_WITHIN_S: Final = 75.0
"""Within this time after the last fault every job must have had an answer."""
PLACE_WITHIN_S: Final = 90.0
"""The longest time that a task may wait beside room for it once all faults are over."""


class Invariants:
    """Checks the invariants; violations are recorded by the cluster."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    def check_start(self, worker: Worker, name: str) -> None:
        """Check a task that starts to run: exclusion, constraints, cancellation and quota."""
        self.cluster.starts += 1
        own = worker.machine
        for other in self.cluster.up():
            if other is not worker and name in other.on():
                other.tick()
                if name in other.on():
                    self.cluster.breach("ran_twice", f"{name} runs on {other.machine.id}, {own.id}")
        job = self.cluster.jobs[job_of(name)]
        if job.body["hall"] not in (None, own.zone) or (own.spot and not job.body["loaners"]):
            self.cluster.breach("wrong_place", f"{name} on {own.id}")
        on = [(job_of(n), w.machine.zone) for w in self.cluster.up() for n in w.on()]
        zones = [zone for number, zone in on if number == job.id]
        most = (job.body["pieces"] + 1) // 2 if job.body["scatter"] else len(zones)
        if (job.body["samePlace"] and len(set(zones)) > 1) or zones.count(own.zone) > most:
            self.cluster.breach("wrong_place", f"{name} in {own.zone}, beside {zones}")
        if own.id in self.cluster.active_faults.must_stay_idle:
            self.cluster.breach("given_work", f"{name} on {own.id}")
        if (
            job.cancelled_at is not None
            and self.cluster.now() > job.cancelled_at + self.cluster.config.cancel_s
        ):
            self.cluster.breach("ran_cancelled", f"{name} starts")
        used = sum(
            self.cluster.descriptions[number].vcpus
            for number, _ in on
            if self.cluster.jobs[number].body["crew"] == job.body["crew"]
        )
        if used > self.cluster.config.limit_vcpus:
            self.cluster.breach("quota", f"{used} vcpus of {job.body['crew']} in use")

    async def watch(self) -> None:
        """Check the invariants that are violated when something lasts for too long."""
        said: set[str] = set()
        while True:
            await asyncio.sleep(0.5)
            now = self.cluster.now()
            on = {job_of(n) for w in self.cluster.up() for n in w.on()}
            for job in self.cluster.jobs.values():
                if job.id in said:
                    continue
                late = job.cancelled_at is not None and (
                    now > job.cancelled_at + self.cluster.config.cancel_s
                )
                if late and job.id in on:
                    said.add(job.id)
                    self.cluster.breach("ran_cancelled", job.id)
                open_ = job.accepted and not job.over
                if self._waits_beside_room(job, open_, now):
                    said.add(job.id)
                    self.cluster.breach("waited", f"{job.id}: {PLACE_WITHIN_S:.0f} s beside room")
                if open_ and now - max(job.answered_at, self.cluster.calm_since) > ANSWER_WITHIN_S:
                    said.add(job.id)
                    self.cluster.breach(
                        "forgotten", f"{job.id}: no answer for {ANSWER_WITHIN_S:.0f} s"
                    )

    def _waits_beside_room(self, job: UserJob, open_: bool, now: float) -> bool:
        """Return whether a task has waited too long although a machine has room for it."""
        if not open_ or now < self.cluster.calm_since or not self._has_room(job):
            job.beside_since = None
            return False
        if job.beside_since is None:
            job.beside_since = now
        return now - job.beside_since > PLACE_WITHIN_S

    def _has_room(self, job: UserJob) -> bool:
        body = job.body
        need = body["vcpus"]
        placed = set(self.cluster.results)
        team = 0.0
        rooms: list[tuple[str, bool, float]] = []
        for worker in self.cluster.up():
            used = 0.0
            for (name, _), task in worker.tasks.items():
                number = job_of(name)
                if task.state != wire.EXITED:
                    placed.add(name)
                    used += self.cluster.descriptions[number].vcpus
                    if self.cluster.jobs[number].body["crew"] == body["crew"]:
                        team += self.cluster.descriptions[number].vcpus
            rooms.append((worker.machine.zone, worker.machine.spot, CloudService.VCPUS - used))
        if job.tasks <= placed:
            return False
        if body["samePlace"] or body["scatter"] or team + need > self.cluster.config.limit_vcpus:
            return False
        return any(
            room >= need and body["hall"] in (None, zone) and (body["loaners"] or not spot)
            for zone, spot, room in rooms
        )

    def check_commands(self, name: str, commands: list[dict[str, Any]]) -> None:
        """Check that no start leaves a controller that knows that its job has ended."""
        for command in commands:
            if command["verb"] == wire.START and self._is_known_to_have_ended(
                name, command["piece"]
            ):
                self.cluster.breach("started_late", f"{command['piece']} by {name}")

    def check_renewal(
        self, name: str, heartbeat: dict[str, Any], commands: list[dict[str, Any]]
    ) -> None:
        """Check that a lease is renewed only with the stops of what the leader knows has ended."""
        stopped = {(c["piece"], c["try"]) for c in commands if c["verb"] == wire.STOP}
        for line in heartbeat["pieces"]:
            if (
                line["status"] != wire.EXITED
                and (line["piece"], line["try"]) not in stopped
                and self._is_known_to_have_ended(name, line["piece"])
            ):
                self.cluster.breach("renewed_unstopped", f"{line['piece']} by {name}")

    def _is_known_to_have_ended(self, name: str, task: str) -> bool:
        """Return whether the leader on that host, if there is one, knows that the job has ended."""
        node = self.cluster.hosts[name].node
        if node is None or node.leader is None:
            return False
        job = node.leader.job_store.jobs.get(JobId(job_of(task)))
        return job is None or job.cancelled
