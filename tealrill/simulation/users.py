"""The users of the simulation: what they send, and what they know of their jobs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson

from tealrill import wire
from tealrill.simulation.process import Host
from tealrill.simulation.replies import Reply
from tealrill.simulation.worker import Worker, job_of
from tealrill.state.admission import Reply as UserReply

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster

_PATIENCE_S: Final = 5.0
"""How long a user waits for the answer to a change."""
_SPOILED: Final[tuple[dict[str, Any], ...]] = (
    {"pieces": 0}, {"vcpus": -1.0}, {"vcpus": 1e6}, {"crew": "nobody"}, {"shape": "circle"},
)  # fmt: skip
"""A known job is answered by its state, whatever its repetition says."""
_IMPOSSIBLE: Final[tuple[dict[str, Any], ...]] = (
    {"vcpus": 1e6}, {"gpus": 1.0}, {"memoryGb": 1e6}, {"builds": []}, {"builds": ["other"]},
    {"hall": "elsewhere"}, {"crew": "nobody"}, {"shape": "standing", "pieces": 1000},
)  # fmt: skip
_NEEDED: Final = (
    "lineup", "crew", "shape", "urgency", "pieces", "vcpus", "gpus", "memoryGb", "bundle",
    "sizeGb", "samePlace", "scatter", "loaners", "guessS", "snapshotS", "flushS",
)  # fmt: skip


@dataclass
class UserJob:
    """A job as its user knows it; times are in seconds of simulated time."""

    id: str
    body: dict[str, Any]
    accepted: bool = False
    cancel_at: float | None = None
    asked_to_cancel: bool = False
    cancelled_at: float | None = None
    """When its user was first answered that it is cancelled."""
    done: bool = False
    answered_at: float = 0.0
    looked_at: bool = False
    """Whether all controllers are being polled for it."""
    beside_since: float | None = None
    """Since when a task of it has waited while a machine had room for it."""

    @property
    def path(self) -> str:
        """Return its path at the controllers."""
        return f"{wire.JOBS_PATH}/{self.id}"

    @property
    def tasks(self) -> set[str]:
        """Return the names of its tasks."""
        return {f"{self.id}/{n}" for n in range(self.body["pieces"])}

    @property
    def over(self) -> bool:
        """Return whether its user knows that it is done or cancelled."""
        return self.done or self.cancelled_at is not None

    @property
    def told(self) -> tuple[bool, bool, bool]:
        """Return which answers its user has had: accepted, cancelled, done."""
        return self.accepted, self.cancelled_at is not None, self.done


async def call_user_api(users: Any, method: str, path: str, body: bytes | None) -> UserReply:
    """Pass a user's request to an `Admission` or a `Relay`."""
    name, _, verb = path.removeprefix(wire.JOBS_PATH).strip("/").partition("/")
    reply: UserReply
    if verb == wire.CANCEL_PATH:
        reply = await users.cancel(name)
    elif method == "POST":
        reply = await users.submit(body or b"")
    else:
        reply = await users.status(name)
    return reply


class Users:
    """The users of all jobs."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    async def ask(
        self, method: str, path: str, body: Any, patience_s: float, at: Host | None = None
    ) -> Reply | None:
        """Send a request to a controller, drawn without `at`; return None without an answer."""
        host = at or self.cluster.rng.choice(list(self.cluster.hosts.values()))
        node = host.node
        if node is None:
            return None
        if host.name in self.cluster.active_faults.paused:
            await asyncio.sleep(patience_s)
            return None
        raw = orjson.dumps(body) if body is not None else None
        task = self.cluster.spawn(call_user_api(node._relay, method, path, raw), host.context)
        done, _ = await asyncio.wait({task}, timeout=patience_s)
        if not done or host.node is not node or task.cancelled() or task.exception() is not None:
            return None
        answer = task.result()
        reply = answer.status, answer.body
        self.cluster.digest.add(self.cluster.now(), host.name, method, path, raw or b"", *reply)
        return reply

    async def run_job(self, job: UserJob) -> None:
        """Submit, poll and perhaps cancel one job, as the protocol has users do."""
        until = self.cluster.now() + 60.0
        while not job.accepted:
            reply = await self.ask("POST", wire.JOBS_PATH, job.body, _PATIENCE_S)
            if reply is not None and reply[0] in (200, 201):
                job.accepted, job.answered_at = True, self.cluster.now()
                self._poll_closely(job)
                break
            if self.cluster.now() > until:
                return
            await asyncio.sleep(self.cluster.rng.uniform(1.0, 2.0))
        while not job.over:
            await asyncio.sleep(self.cluster.rng.uniform(4.0, 6.0))
            if job.cancel_at is not None and self.cluster.now() >= job.cancel_at:
                await self._cancel(job)
            else:
                await self._poll(job)
        for _ in range(3):
            await asyncio.sleep(self.cluster.rng.uniform(5.0, 25.0))
            await self._poll(job)
            await self._poll(job, again=True)

    async def _poll(self, job: UserJob, again: bool = False, at: Host | None = None) -> None:
        """Ask for the status of a job, or repeat its submission."""
        before = job.told
        if again:
            reply = await self.ask("POST", wire.JOBS_PATH, job.body, _PATIENCE_S, at)
        else:
            reply = await self.ask("GET", job.path, None, 2.0, at)
        self._process_answer(job, reply, before)

    async def _cancel(self, job: UserJob) -> None:
        job.asked_to_cancel = True
        before = job.told
        reply = await self.ask("POST", f"{job.path}/{wire.CANCEL_PATH}", {}, _PATIENCE_S)
        if reply is not None and reply[0] == 200:
            self._process_answer(job, reply, before)

    async def cancel_now(
        self, count: int, hang_s: float = 0.0, within_s: float = 0.2, begun: bool = True
    ) -> None:
        """Cancel `count` jobs within `within_s`, and pause their machines for `hang_s`.

        Unless `begun` is false, only jobs that run are chosen.
        """
        on = {job_of(n): w for w in self.cluster.workers.values() for n in w.on()}
        found = [
            job for job in self.cluster.jobs.values() if job.accepted and not job.asked_to_cancel
        ]
        found = [job for job in found if not job.done and (not begun or job.id in on)][:count]
        if hang_s:
            for name in {on[job.id].machine.id: None for job in found if job.id in on}:
                self.cluster.spawn(self.pause(self.cluster.workers[name], hang_s))
        for job in found:
            self.cluster.spawn(
                self._cancel_until_acknowledged(job, self.cluster.rng.uniform(0.0, within_s))
            )

    def cancel_started(self, body: bytes | None) -> None:
        """Cancel the jobs whose tasks these commands start."""
        for command in orjson.loads(body or b"{}").get("orders", []):
            job = self.cluster.jobs.get(job_of(command["piece"]))
            if command["verb"] == wire.START and job is not None:
                self.cluster.spawn(self._cancel_until_acknowledged(job, 0.05))

    async def pause(self, worker: Worker, for_s: float) -> None:
        """Pause a machine for a while."""
        worker.hang()
        await asyncio.sleep(for_s)
        worker.resume()

    async def _cancel_until_acknowledged(self, job: UserJob, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while not job.over:
            await self._cancel(job)
            await asyncio.sleep(1.0)

    def task_completed(self, worker: Worker, name: str) -> None:
        """Perhaps cancel a job at the moment when its last task has completed."""
        job = self.cluster.jobs[job_of(name)]
        if not job.tasks <= self.cluster.results:
            return
        if self.cluster.active_faults.close_polling:
            self.cluster.spawn(self._watch_end(job))
        if (
            not job.done
            and self.cluster.rng.random() < self.cluster.active_faults.cancel_at_end_share
        ):
            # The leader learns of the end within a heartbeat interval.
            after_s = self.cluster.rng.uniform(0.0, 1.6 * self.cluster.config.heartbeat_interval_s)
            self.cluster.spawn(self._cancel_until_acknowledged(job, after_s))

    def _poll_closely(self, job: UserJob) -> None:
        """Poll all controllers at once, also by repeated submissions."""
        if self.cluster.active_faults.close_polling and not job.looked_at:
            job.looked_at = True
            self.cluster.spawn(self._poll_all(job))

    async def _poll_all(self, job: UserJob) -> None:
        looks = [
            self.cluster.spawn(self._poll_once(job, host, number))
            for host in self.cluster.hosts.values()
            for number in range(4)
        ]
        await asyncio.wait(looks)
        job.looked_at = False

    async def _watch_end(self, job: UserJob) -> None:
        """Poll until the end is acknowledged, at most for 1.6 heartbeat intervals."""
        until = self.cluster.now() + 1.6 * self.cluster.config.heartbeat_interval_s
        while self.cluster.now() < until and not job.over:
            self.cluster.spawn(self._poll(job))
            await asyncio.sleep(self.cluster.rng.uniform(0.02, 0.06))

    async def _poll_once(self, job: UserJob, host: Host, number: int) -> None:
        await asyncio.sleep(number * self.cluster.rng.uniform(0.0, 0.005))
        await self._poll(job, again=number == 3, at=host)

    def _process_answer(
        self, job: UserJob, reply: Reply | None, before: tuple[bool, bool, bool]
    ) -> None:
        """Check an answer about a job against the answers before its request, and note it."""
        if reply is None or reply[0] >= 500 or reply[0] == 429:
            return
        status, answer = reply
        accepted, cancelled, done = before
        if status not in (200, 201):
            if accepted:
                self.cluster.breach("forgotten", f"{job.id}: status {status}")
            return
        job.answered_at = self.cluster.now()
        said = answer["status"]
        known = job.told
        if done and said != wire.JOB_DONE:
            self.cluster.breach("went_back", f"{job.id} was done and is {said}")
        elif cancelled and said != wire.JOB_CANCELLED:
            self.cluster.breach("went_back", f"{job.id} was cancelled and is {said}")
        elif (job.done and said == wire.JOB_CANCELLED) or (
            job.cancelled_at is not None and said == wire.JOB_DONE
        ):
            self.cluster.breach("went_back", f"{job.id} is called done, and cancelled")
        else:
            self._note_status(job, said)
        if job.told != known:
            self._poll_closely(job)

    def _note_status(self, job: UserJob, said: str) -> None:
        if said == wire.JOB_DONE:
            if not job.tasks <= self.cluster.results:
                self.cluster.breach("not_done", job.id)
            job.done = True
        elif said == wire.JOB_CANCELLED:
            if not job.asked_to_cancel:
                self.cluster.breach("went_back", f"{job.id} is called cancelled")
            if job.cancelled_at is None:
                job.cancelled_at = self.cluster.now()

    async def send_invalid_requests(self) -> None:
        """Send requests to be rejected, and cancellations of ended jobs; check the answers."""
        number = 0
        while True:
            await asyncio.sleep(self.cluster.rng.uniform(0.3, 1.0))
            if not self.cluster.active_faults.invalid_requests or not self.cluster.jobs:
                continue
            number += 1
            job = self.cluster.rng.choice(list(self.cluster.jobs.values()))
            if job.over:
                before = job.told
                path = f"{job.path}/{wire.CANCEL_PATH}"
                self._process_answer(job, await self.ask("POST", path, {}, _PATIENCE_S), before)
            elif job.accepted:
                before = job.told
                spoiled = {**job.body, **self.cluster.rng.choice(_SPOILED)}
                reply = await self.ask("POST", wire.JOBS_PATH, spoiled, _PATIENCE_S)
                self._process_answer(job, reply, before)
            odd = {**job.body, "id": f"odd-{number:06d}"}
            lacks = self.cluster.rng.choice([None, *_NEEDED])
            if lacks is None:
                odd.update(self.cluster.rng.choice(_IMPOSSIBLE))
            else:
                del odd[lacks]
            reply = await self.ask("POST", wire.JOBS_PATH, odd, _PATIENCE_S)
            if reply is not None and reply[0] < 400:
                self.cluster.breach("accepted", f"{odd} with status {reply[0]}")

    async def ask_for_unknown_jobs(self) -> None:
        """Ask for jobs that nobody has submitted."""
        while True:
            await asyncio.sleep(self.cluster.rng.uniform(5.0, 15.0))
            path = f"{wire.JOBS_PATH}/no-{self.cluster.rng.randrange(10**6):06d}"
            reply = await self.ask("GET", path, None, 2.0)
            if reply is not None and reply[0] == 200:
                self.cluster.breach("invented", path)
