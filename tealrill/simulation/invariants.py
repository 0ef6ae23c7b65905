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
"""Longest time after the last fault without a response about an open job."""
PLACE_WITHIN_S: Final = 90.0
"""Longest time in the quiet period that a task may wait while a machine has room for it."""


class Invariants:
    """Checks the invariants; the cluster records the violations."""

    def __init__(self, world: SimulatedCluster) -> None:
        self.world = world

    def check_start(self, worker: Worker, name: str) -> None:
        """Check a task that begins to run: no second copy, constraints, cancellation and quota."""
        self.world.starts += 1
        own = worker.machine
        for other in self.world.up():
            if other is not worker and name in other.on():
                other.tick()
                if name in other.on():
                    self.world.breach("ran_twice", f"{name} runs on {other.machine.id}, {own.id}")
        job = self.world.jobs[job_of(name)]
        if job.body["hall"] not in (None, own.zone) or (own.spot and not job.body["loaners"]):
            self.world.breach("wrong_place", f"{name} on {own.id}")
        on = [(job_of(n), w.machine.zone) for w in self.world.up() for n in w.on()]
        zones = [zone for number, zone in on if number == job.id]
        most = (job.body["pieces"] + 1) // 2 if job.body["scatter"] else len(zones)
        if (job.body["samePlace"] and len(set(zones)) > 1) or zones.count(own.zone) > most:
            self.world.breach("wrong_place", f"{name} in {own.zone}, beside {zones}")
        if own.id in self.world.active_faults.must_stay_idle:
            self.world.breach("given_work", f"{name} on {own.id}")
        if (
            job.cancelled_at is not None
            and self.world.now() > job.cancelled_at + self.world.shape.cancel_s
        ):
            self.world.breach("ran_cancelled", f"{name} starts")
        used = sum(
            self.world.descriptions[number].vcpus
            for number, _ in on
            if self.world.jobs[number].body["crew"] == job.body["crew"]
        )
        if used > self.world.shape.limit_vcpus:
            self.world.breach("quota", f"{used} vcpus of {job.body['crew']} in use")

    async def watch(self) -> None:
        """Check time limits twice a second: cancelled jobs, waiting tasks and missing responses."""
        said: set[str] = set()
        while True:
            await asyncio.sleep(0.5)
            now = self.world.now()
            on = {job_of(n) for w in self.world.up() for n in w.on()}
            for job in self.world.jobs.values():
                if job.id in said:
                    continue
                late = job.cancelled_at is not None and (
                    now > job.cancelled_at + self.world.shape.cancel_s
                )
                if late and job.id in on:
                    said.add(job.id)
                    self.world.breach("ran_cancelled", job.id)
                open_ = job.accepted and not job.over
                if self._waits_beside_room(job, open_, now):
                    said.add(job.id)
                    self.world.breach(
                        "waited", f"{job.id}: a machine had room for {PLACE_WITHIN_S:.0f} s"
                    )
                if open_ and now - max(job.answered_at, self.world.calm_since) > ANSWER_WITHIN_S:
                    said.add(job.id)
                    self.world.breach(
                        "forgotten", f"{job.id}: no response for {ANSWER_WITHIN_S:.0f} s"
                    )

    def _waits_beside_room(self, job: UserJob, open_: bool, now: float) -> bool:
        """Return True if a task has waited for too long while a machine had room for it."""
        if not open_ or now < self.world.calm_since or not self._has_room(job):
            job.beside_since = None
            return False
        if job.beside_since is None:
            job.beside_since = now
        return now - job.beside_since > PLACE_WITHIN_S

    def _has_room(self, job: UserJob) -> bool:
        body = job.body
        need = body["vcpus"]
        placed = set(self.world.results)
        team = 0.0
        rooms: list[tuple[str, bool, float]] = []
        for worker in self.world.up():
            used = 0.0
            for (name, _), task in worker.tasks.items():
                number = job_of(name)
                if task.state != wire.EXITED:
                    placed.add(name)
                    used += self.world.descriptions[number].vcpus
                    if self.world.jobs[number].body["crew"] == body["crew"]:
                        team += self.world.descriptions[number].vcpus
            rooms.append((worker.machine.zone, worker.machine.spot, CloudService.VCPUS - used))
        if job.tasks <= placed:
            return False
        if body["samePlace"] or body["scatter"] or team + need > self.world.shape.limit_vcpus:
            return False
        return any(
            room >= need and body["hall"] in (None, zone) and (body["loaners"] or not spot)
            for zone, spot, room in rooms
        )

    def check_commands(self, name: str, commands: list[dict[str, Any]]) -> None:
        """Check that a controller sends no start command of a job that it knows has ended."""
        for command in commands:
            if command["verb"] == wire.START and self._is_known_to_have_ended(
                name, command["piece"]
            ):
                self.world.breach("started_late", f"{command['piece']} by {name}")

    def check_renewal(
        self, name: str, heartbeat: dict[str, Any], commands: list[dict[str, Any]]
    ) -> None:
        """Check that a renewal stops every listed task whose job the leader knows has ended."""
        stopped = {(c["piece"], c["try"]) for c in commands if c["verb"] == wire.STOP}
        for line in heartbeat["pieces"]:
            if (
                line["status"] != wire.EXITED
                and (line["piece"], line["try"]) not in stopped
                and self._is_known_to_have_ended(name, line["piece"])
            ):
                self.world.breach("renewed_unstopped", f"{line['piece']} by {name}")

    def _is_known_to_have_ended(self, name: str, task: str) -> bool:
        """Return True if a leader runs on that host and knows that the task's job has ended."""
        node = self.world.hosts[name].node
        if node is None or node.leader is None:
            return False
        job = node.leader.job_store.jobs.get(JobId(job_of(task)))
        return job is None or job.cancelled
