"""The simulated users: the requests that they send and the status of their jobs as they know it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson

from tealrill import wire
from tealrill.simulation.process import Host
from tealrill.simulation.replies import Reply
from tealrill.simulation.worker import Worker, job_id_of
from tealrill.state.admission import Reply as UserReply

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster

_CHANGE_TIMEOUT_S: Final = 5.0
"""How long a user waits for the response to a submission or cancellation."""
_RESUBMISSION_CHANGES: Final[tuple[dict[str, Any], ...]] = (
    {"pieces": 0}, {"vcpus": -1.0}, {"vcpus": 1e6}, {"crew": "nobody"}, {"shape": "circle"},
)  # fmt: skip
"""Changes to the body of a repeated submission. The response must still be the job's status."""
_INVALID_CHANGES: Final[tuple[dict[str, Any], ...]] = (
    {"vcpus": 1e6}, {"gpus": 1.0}, {"memoryGb": 1e6}, {"builds": []}, {"builds": ["other"]},
    {"hall": "elsewhere"}, {"crew": "nobody"}, {"shape": "standing", "pieces": 1000},
)  # fmt: skip
"""Changes that make a new submission invalid or impossible to place; it must be rejected."""
_REQUIRED_FIELDS: Final = (
    "lineup", "crew", "shape", "urgency", "pieces", "vcpus", "gpus", "memoryGb", "bundle",
    "sizeGb", "samePlace", "scatter", "loaners", "guessS", "snapshotS", "flushS",
)  # fmt: skip
"""Fields without which a submission must be rejected."""


@dataclass
class UserJob:
    """A job as its user knows it; times are simulated seconds since the beginning of the run."""

    id: str
    body: dict[str, Any]
    accepted: bool = False
    cancel_at: float | None = None
    cancel_requested: bool = False
    cancelled_at: float | None = None
    """When a response first told its user that it is cancelled."""
    done: bool = False
    last_response_at: float = 0.0
    is_polled_closely: bool = False
    """True while all controllers are polled for it."""
    waiting_since: float | None = None
    """Since when a task of it has been waiting while a machine had room for the task."""

    @property
    def path(self) -> str:
        """Path of the job in the controllers' HTTP interface."""
        return f"{wire.JOBS_PATH}/{self.id}"

    @property
    def task_names(self) -> set[str]:
        """Names of its tasks."""
        return {f"{self.id}/{n}" for n in range(self.body["pieces"])}

    @property
    def has_ended(self) -> bool:
        """True if its user knows that it is done or cancelled."""
        return self.done or self.cancelled_at is not None

    @property
    def known_statuses(self) -> tuple[bool, bool, bool]:
        """Which statuses its user has been told: accepted, cancelled, done."""
        return self.accepted, self.cancelled_at is not None, self.done


async def call_user_api(api: Any, method: str, path: str, body: bytes | None) -> UserReply:
    """Pass a user's request to an `Admission` or a `Relay`."""
    name, _, verb = path.removeprefix(wire.JOBS_PATH).strip("/").partition("/")
    reply: UserReply
    if verb == wire.CANCEL_PATH:
        reply = await api.cancel(name)
    elif method == "POST":
        reply = await api.submit(body or b"")
    else:
        reply = await api.status(name)
    return reply


class Users:
    """The users of all jobs."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    async def request(
        self, method: str, path: str, body: Any, timeout_s: float, target: Host | None = None
    ) -> Reply | None:
        """Send a request to a controller, by default a random one; None if there is no response."""
        host = target or self.cluster.rng.choice(list(self.cluster.hosts.values()))
        node = host.node
        if node is None:
            return None
        if host.name in self.cluster.active_faults.paused:
            await asyncio.sleep(timeout_s)
            return None
        raw = orjson.dumps(body) if body is not None else None
        task = self.cluster.spawn(call_user_api(node._relay, method, path, raw), host.context)
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not done or host.node is not node or task.cancelled() or task.exception() is not None:
            return None
        answer = task.result()
        reply = answer.status, answer.body
        self.cluster.digest.add(self.cluster.now(), host.name, method, path, raw or b"", *reply)
        return reply

    async def run_job(self, job: UserJob) -> None:
        """Submit, poll and perhaps cancel one job, following the protocol for users."""
        until = self.cluster.now() + 60.0
        while not job.accepted:
            reply = await self.request("POST", wire.JOBS_PATH, job.body, _CHANGE_TIMEOUT_S)
            if reply is not None and reply[0] in (200, 201):
                job.accepted, job.last_response_at = True, self.cluster.now()
                self._poll_closely(job)
                break
            if self.cluster.now() > until:
                return
            await asyncio.sleep(self.cluster.rng.uniform(1.0, 2.0))
        while not job.has_ended:
            await asyncio.sleep(self.cluster.rng.uniform(4.0, 6.0))
            if job.cancel_at is not None and self.cluster.now() >= job.cancel_at:
                await self._cancel(job)
            else:
                await self._poll(job)
        for _ in range(3):
            await asyncio.sleep(self.cluster.rng.uniform(5.0, 25.0))
            await self._poll(job)
            await self._poll(job, resubmit=True)

    async def _poll(self, job: UserJob, resubmit: bool = False, target: Host | None = None) -> None:
        """Request the status of a job, or with `resubmit` repeat its submission."""
        known_before = job.known_statuses
        if resubmit:
            reply = await self.request("POST", wire.JOBS_PATH, job.body, _CHANGE_TIMEOUT_S, target)
        else:
            reply = await self.request("GET", job.path, None, 2.0, target)
        self._process_response(job, reply, known_before)

    async def _cancel(self, job: UserJob) -> None:
        job.cancel_requested = True
        known_before = job.known_statuses
        reply = await self.request("POST", f"{job.path}/{wire.CANCEL_PATH}", {}, _CHANGE_TIMEOUT_S)
        if reply is not None and reply[0] == 200:
            self._process_response(job, reply, known_before)

    async def cancel_jobs(
        self, count: int, pause_s: float = 0.0, within_s: float = 0.2, running_only: bool = True
    ) -> None:
        """Cancel up to `count` jobs within `within_s`, and pause their machines for `pause_s`.

        Only jobs with a running task are chosen if `running_only`.
        """
        worker_by_job = {
            job_id_of(n): w for w in self.cluster.workers.values() for n in w.running_tasks()
        }
        chosen = [
            job for job in self.cluster.jobs.values() if job.accepted and not job.cancel_requested
        ]
        chosen = [
            job for job in chosen if not job.done and (not running_only or job.id in worker_by_job)
        ][:count]
        if pause_s:
            for name in {
                worker_by_job[job.id].machine.id: None for job in chosen if job.id in worker_by_job
            }:
                self.cluster.spawn(self.pause_machine(self.cluster.workers[name], pause_s))
        for job in chosen:
            self.cluster.spawn(
                self._cancel_until_acknowledged(job, self.cluster.rng.uniform(0.0, within_s))
            )

    def cancel_started(self, body: bytes | None) -> None:
        """Cancel the jobs whose tasks the commands in a request body start."""
        for command in orjson.loads(body or b"{}").get("orders", []):
            job = self.cluster.jobs.get(job_id_of(command["piece"]))
            if command["verb"] == wire.START and job is not None:
                self.cluster.spawn(self._cancel_until_acknowledged(job, 0.05))

    async def pause_machine(self, worker: Worker, for_s: float) -> None:
        """Pause a machine for `for_s` seconds."""
        worker.pause()
        await asyncio.sleep(for_s)
        worker.resume()

    async def _cancel_until_acknowledged(self, job: UserJob, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while not job.has_ended:
            await self._cancel(job)
            await asyncio.sleep(1.0)

    def task_completed(self, worker: Worker, name: str) -> None:
        """Poll or cancel a job whose last task has just completed, if those faults are active."""
        job = self.cluster.jobs[job_id_of(name)]
        if not job.task_names <= self.cluster.completed_tasks:
            return
        if self.cluster.active_faults.close_polling:
            self.cluster.spawn(self._poll_until_ended(job))
        if (
            not job.done
            and self.cluster.rng.random() < self.cluster.active_faults.cancel_at_end_share
        ):
            # The leader learns of the completion within a heartbeat interval.
            after_s = self.cluster.rng.uniform(0.0, 1.6 * self.cluster.config.heartbeat_interval_s)
            self.cluster.spawn(self._cancel_until_acknowledged(job, after_s))

    def _poll_closely(self, job: UserJob) -> None:
        """Poll all controllers at once, also by repeated submissions, if that fault is active."""
        if self.cluster.active_faults.close_polling and not job.is_polled_closely:
            job.is_polled_closely = True
            self.cluster.spawn(self._poll_all(job))

    async def _poll_all(self, job: UserJob) -> None:
        polls = [
            self.cluster.spawn(self._poll_once(job, host, number))
            for host in self.cluster.hosts.values()
            for number in range(4)
        ]
        await asyncio.wait(polls)
        job.is_polled_closely = False

    async def _poll_until_ended(self, job: UserJob) -> None:
        """Poll until the user knows of the job's end, for at most 1.6 heartbeat intervals."""
        until = self.cluster.now() + 1.6 * self.cluster.config.heartbeat_interval_s
        while self.cluster.now() < until and not job.has_ended:
            self.cluster.spawn(self._poll(job))
            await asyncio.sleep(self.cluster.rng.uniform(0.02, 0.06))

    async def _poll_once(self, job: UserJob, host: Host, number: int) -> None:
        await asyncio.sleep(number * self.cluster.rng.uniform(0.0, 0.005))
        await self._poll(job, resubmit=number == 3, target=host)

    def _process_response(
        self, job: UserJob, reply: Reply | None, known_before: tuple[bool, bool, bool]
    ) -> None:
        """Check a response against the statuses known before its request, and record its status."""
        if reply is None or reply[0] >= 500 or reply[0] == 429:
            return
        status, answer = reply
        accepted, cancelled, done = known_before
        if status not in (200, 201):
            if accepted:
                self.cluster.record_violation("forgotten", f"{job.id}: status {status}")
            return
        job.last_response_at = self.cluster.now()
        job_status = answer["status"]
        previous = job.known_statuses
        if done and job_status != wire.JOB_DONE:
            self.cluster.record_violation("went_back", f"{job.id} was done and is {job_status}")
        elif cancelled and job_status != wire.JOB_CANCELLED:
            self.cluster.record_violation(
                "went_back", f"{job.id} was cancelled and is {job_status}"
            )
        elif (job.done and job_status == wire.JOB_CANCELLED) or (
            job.cancelled_at is not None and job_status == wire.JOB_DONE
        ):
            self.cluster.record_violation(
                "went_back", f"{job.id} was reported both done and cancelled"
            )
        else:
            self._record_status(job, job_status)
        if job.known_statuses != previous:
            self._poll_closely(job)

    def _record_status(self, job: UserJob, job_status: str) -> None:
        if job_status == wire.JOB_DONE:
            if not job.task_names <= self.cluster.completed_tasks:
                self.cluster.record_violation("not_done", job.id)
            job.done = True
        elif job_status == wire.JOB_CANCELLED:
            if not job.cancel_requested:
                self.cluster.record_violation(
                    "went_back", f"{job.id} is reported cancelled without a request to cancel it"
                )
            if job.cancelled_at is None:
                job.cancelled_at = self.cluster.now()

    async def send_invalid_requests(self) -> None:
        """Send invalid and repeated requests at random times, and check the responses."""
        number = 0
        while True:
            await asyncio.sleep(self.cluster.rng.uniform(0.3, 1.0))
            if not self.cluster.active_faults.invalid_requests or not self.cluster.jobs:
                continue
            number += 1
            job = self.cluster.rng.choice(list(self.cluster.jobs.values()))
            if job.has_ended:
                known_before = job.known_statuses
                path = f"{job.path}/{wire.CANCEL_PATH}"
                self._process_response(
                    job, await self.request("POST", path, {}, _CHANGE_TIMEOUT_S), known_before
                )
            elif job.accepted:
                known_before = job.known_statuses
                changed = {**job.body, **self.cluster.rng.choice(_RESUBMISSION_CHANGES)}
                reply = await self.request("POST", wire.JOBS_PATH, changed, _CHANGE_TIMEOUT_S)
                self._process_response(job, reply, known_before)
            invalid = {**job.body, "id": f"odd-{number:06d}"}
            missing_field = self.cluster.rng.choice([None, *_REQUIRED_FIELDS])
            if missing_field is None:
                invalid.update(self.cluster.rng.choice(_INVALID_CHANGES))
            else:
                del invalid[missing_field]
            reply = await self.request("POST", wire.JOBS_PATH, invalid, _CHANGE_TIMEOUT_S)
            if reply is not None and reply[0] < 400:
                self.cluster.record_violation("accepted", f"{invalid} with status {reply[0]}")

    async def request_unknown_jobs(self) -> None:
        """Request the status of jobs that were never submitted; no controller may know them."""
        while True:
            await asyncio.sleep(self.cluster.rng.uniform(5.0, 15.0))
            path = f"{wire.JOBS_PATH}/no-{self.cluster.rng.randrange(10**6):06d}"
            reply = await self.request("GET", path, None, 2.0)
            if reply is not None and reply[0] == 200:
                self.cluster.record_violation("invented", path)
