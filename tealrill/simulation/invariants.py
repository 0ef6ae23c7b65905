"""The protocol's invariants, checked on the true state of the simulation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from tealrill import wire
from tealrill.simulation.cloud_service import CloudService
from tealrill.simulation.users import UserJob
from tealrill.simulation.worker import Worker, job_id_of
from tealrill.types import JobId

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster

RESPONSE_DEADLINE_S: Final = 75.0
"""Longest time in the quiet period without a response about an accepted, unfinished job."""
PLACEMENT_DEADLINE_S: Final = 90.0
"""Longest time in the quiet period that a task may wait while a machine, or one that the cloud has,
has room for it."""


def _zone_rules_allow(body: dict[str, Any], zone: str, tasks_by_zone: dict[str, int]) -> bool:
    """Return True if a job with `tasks_by_zone` on machines may start another task in `zone`."""
    if body["samePlace"] and any(n for other, n in tasks_by_zone.items() if other != zone):
        return False
    return not body["scatter"] or tasks_by_zone.get(zone, 0) < (body["pieces"] + 1) // 2


class Invariants:
    """Checks the invariants; the cluster records the violations."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    def check_start(self, worker: Worker, name: str) -> None:
        """Check a task that begins to run: no second copy, constraints, cancellation and quota."""
        self.cluster.task_starts += 1
        machine = worker.machine
        for other in self.cluster.live_workers():
            if other is not worker and name in other.running_tasks():
                other.tick()
                if name in other.running_tasks():
                    self.cluster.record_violation(
                        "ran_twice", f"{name} runs on {other.machine.id}, {machine.id}"
                    )
        job = self.cluster.jobs[job_id_of(name)]
        if job.body["hall"] not in (None, machine.zone) or (
            machine.spot and not job.body["loaners"]
        ):
            self.cluster.record_violation("wrong_place", f"{name} on {machine.id}")
        running = [
            (job_id_of(n), w.machine.zone)
            for w in self.cluster.live_workers()
            for n in w.running_tasks()
        ]
        zones = [zone for job_id, zone in running if job_id == job.id]
        zone_limit = (job.body["pieces"] + 1) // 2 if job.body["scatter"] else len(zones)
        if (job.body["samePlace"] and len(set(zones)) > 1) or zones.count(
            machine.zone
        ) > zone_limit:
            self.cluster.record_violation(
                "wrong_place", f"{name} in {machine.zone}, beside {zones}"
            )
        if machine.id in self.cluster.active_faults.must_stay_idle:
            self.cluster.record_violation("given_work", f"{name} on {machine.id}")
        if (
            job.cancelled_at is not None
            and self.cluster.now() > job.cancelled_at + self.cluster.config.cancel_s
        ):
            self.cluster.record_violation("ran_cancelled", f"{name} starts")
        used = sum(
            self.cluster.descriptions[job_id].vcpus
            for job_id, _ in running
            if self.cluster.jobs[job_id].body["crew"] == job.body["crew"]
        )
        if used > self.cluster.config.limit_vcpus:
            self.cluster.record_violation("quota", f"{used} vcpus of {job.body['crew']} in use")

    async def watch(self) -> None:
        """Check time limits twice a second: cancelled jobs, waiting tasks and missing responses."""
        reported: set[str] = set()
        while True:
            await asyncio.sleep(0.5)
            now = self.cluster.now()
            running = {job_id_of(n) for w in self.cluster.live_workers() for n in w.running_tasks()}
            for job in self.cluster.jobs.values():
                if job.id in reported:
                    continue
                overdue = job.cancelled_at is not None and (
                    now > job.cancelled_at + self.cluster.config.cancel_s
                )
                if overdue and job.id in running:
                    reported.add(job.id)
                    self.cluster.record_violation("ran_cancelled", job.id)
                open_ = job.accepted and not job.has_ended
                if self._waits_despite_capacity(job, open_, now):
                    reported.add(job.id)
                    self.cluster.record_violation(
                        "waited",
                        f"{job.id}: a machine or the cloud had room "
                        f"for {PLACEMENT_DEADLINE_S:.0f} s",
                    )
                if (
                    open_
                    and now - max(job.last_response_at, self.cluster.quiet_since)
                    > RESPONSE_DEADLINE_S
                ):
                    reported.add(job.id)
                    self.cluster.record_violation(
                        "forgotten", f"{job.id}: no response for {RESPONSE_DEADLINE_S:.0f} s"
                    )

    def _waits_despite_capacity(self, job: UserJob, open_: bool, now: float) -> bool:
        """Return True if a task has waited for too long while a machine had room for it."""
        if not open_ or now < self.cluster.quiet_since or not self._has_capacity(job):
            job.waiting_since = None
            return False
        if job.waiting_since is None:
            job.waiting_since = now
        return now - job.waiting_since > PLACEMENT_DEADLINE_S

    def _has_capacity(self, job: UserJob) -> bool:
        """Return True if a task waits that a machine, or one that the cloud has, could run now."""
        body = job.body
        needed_vcpus = body["vcpus"]
        placed = set(self.cluster.completed_tasks)
        team_vcpus = 0.0
        tasks_by_zone: dict[str, int] = {}
        free_capacity = self._rentable_capacity()
        for worker in self.cluster.live_workers():
            used = 0.0
            for (name, _), task in worker.tasks.items():
                job_id = job_id_of(name)
                if task.state != wire.EXITED:
                    placed.add(name)
                    used += self.cluster.descriptions[job_id].vcpus
                    if self.cluster.jobs[job_id].body["crew"] == body["crew"]:
                        team_vcpus += self.cluster.descriptions[job_id].vcpus
                    if job_id == job.id:
                        zone = worker.machine.zone
                        tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
            free_capacity.append(
                (worker.machine.zone, worker.machine.spot, CloudService.VCPUS - used)
            )
        if job.task_names <= placed or team_vcpus + needed_vcpus > self.cluster.config.limit_vcpus:
            return False
        return any(
            free_vcpus >= needed_vcpus
            and body["hall"] in (None, zone)
            and (body["loaners"] or not spot)
            and _zone_rules_allow(body, zone, tasks_by_zone)
            for zone, spot, free_vcpus in free_capacity
        )

    def _rentable_capacity(self) -> list[tuple[str, bool, float]]:
        """Return zone, spot flag and vCPUs of the machines that the cloud has; they are alike."""
        if len(self.cluster.cloud.live_machines()) >= self.cluster.cloud.max_machines:
            return []
        return [
            (zone, spot, CloudService.VCPUS)
            for zone in CloudService.ZONES
            for spot in (False, True)
        ]

    def check_commands(self, name: str, commands: list[dict[str, Any]]) -> None:
        """Check that a controller sends no start command of a job that it knows has ended."""
        for command in commands:
            if command["verb"] == wire.START and self._is_known_to_have_ended(
                name, command["piece"]
            ):
                self.cluster.record_violation("started_late", f"{command['piece']} by {name}")

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
                self.cluster.record_violation("renewed_unstopped", f"{line['piece']} by {name}")

    def _is_known_to_have_ended(self, name: str, task: str) -> bool:
        """Return True if a leader runs on that host and knows that the task's job has ended."""
        node = self.cluster.hosts[name].node
        if node is None or node.leader is None:
            return False
        job = node.leader.job_store.jobs.get(JobId(job_id_of(task)))
        return job is None or job.cancelled
