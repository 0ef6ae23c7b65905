"""A fake of a machine's worker, written from the protocol."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from tealrill import wire
from tealrill.simulation.cloud_service import CloudService, Machine
from tealrill.simulation.replies import Reply


def job_id_of(task: str) -> str:
    """Return the job id in a task's name, `JOB/INDEX` in the simulation."""
    return task.partition("/")[0]


@dataclass
class Task:
    """An attempt of a task on a machine."""

    state: str = wire.FETCHING
    cause: str | None = None
    state_ends_at: float = 0.0
    """When its current state ends."""
    next_checkpoint_at: float = math.inf
    """When its next periodic checkpoint is saved."""
    progress_s: float = 0.0
    """Run time that its checkpoints covered when it began to run."""
    running_since: float = 0.0
    fails: bool = False
    """Whether its run ends with a failure."""


@dataclass
class JobDescription:
    """The tasks, run time and size of a job, as its worker learns them from the uploaded image."""

    task_count: int
    run_s: float
    vcpus: float
    checkpoint_s: float = 0.0
    """Interval of periodic checkpoints, in seconds; 0 for a job without checkpoints."""
    save_s: float = 0.0
    """How long a stopped task of it takes to save a checkpoint, in seconds."""


@dataclass
class Worker:
    """The worker of a machine, as the protocol describes it; `tick` advances its state."""

    machine: Machine
    lease_s: float
    now: Callable[[], float]
    jobs: dict[str, JobDescription]
    on_started: Callable[[Worker, str], None]
    """Called when a task starts to run on this machine."""
    completed_tasks: set[str]
    """Tasks that have completed on any machine."""
    checkpoints: dict[str, float]
    """Run time that the checkpoint of each task covers; checkpoints are stored off the machines."""
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    renewed_at: float = 0.0
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    """By name and attempt."""
    on_completed: Callable[[Worker, str], None] = lambda _, __: None
    """Called when a task of this machine has completed."""
    fails_after_s: Callable[[], float] = lambda: math.inf
    """Returns the run time after which a task that begins to run fails, in seconds."""
    fetched_at: float = math.inf
    """When it has fetched the image of the jobs."""
    paused_at: float | None = None
    """When the machine was paused; requests to it wait until it is resumed."""
    terminates_at: float | None = None
    """When the cloud terminates the spot machine; None before the interruption notice."""
    unreported_change: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while there is a change that no heartbeat has reported yet."""
    token_changed_at: float = -math.inf
    """When a higher token last counted as a change."""

    def __post_init__(self) -> None:
        self.renewed_at = self.now()

    def running_tasks(self) -> list[str]:
        """Return the names of the tasks that run here, those that save a checkpoint included."""
        return [n for (n, _), t in self.tasks.items() if t.state in (wire.RUNNING, wire.SAVING)]

    def observe_token(self, token: int) -> None:
        """Keep the highest token; a new one counts as a change at most once per half lease."""
        if token <= self.token:
            return
        self.token = token
        if self.now() - self.token_changed_at >= self.lease_s / 2:
            self.token_changed_at = self.now()
            self.unreported_change.set()

    def tick(self) -> None:
        """Advance the state to the current time."""
        now = self.now()
        if now - self.renewed_at > self.lease_s:
            self.tasks.clear()
            self.incarnation += 1
            self.renewed_at = now
            self.unreported_change.set()
            return
        if self.paused_at is not None:
            return
        for (name, _), task in self.tasks.items():
            if task.state == wire.RUNNING and now >= task.next_checkpoint_at:
                self._save(name, task)
            if task.state == wire.EXITED or now < task.state_ends_at:
                continue
            if task.state == wire.FETCHING:
                self._begin_running(name, task)
            elif task.state == wire.SAVING:
                self._save(name, task)
                task.state, task.cause = wire.EXITED, wire.WHY_STOPPED
            elif task.fails:
                task.state, task.cause = wire.EXITED, wire.WHY_ERROR
            else:
                task.state, task.cause = wire.EXITED, wire.WHY_DONE
                self.completed_tasks.add(name)
                self.on_completed(self, name)
            self.unreported_change.set()

    def _begin_running(self, name: str, task: Task) -> None:
        now, job = self.now(), self.jobs[job_id_of(name)]
        task.state, task.running_since = wire.RUNNING, now
        task.progress_s = self.checkpoints.get(name, 0.0)
        left_s = 0.0 if name in self.completed_tasks else job.run_s - task.progress_s
        fails_after_s = self.fails_after_s()
        task.fails = fails_after_s < left_s
        task.state_ends_at = now + min(left_s, fails_after_s)
        if job.checkpoint_s:
            task.next_checkpoint_at = now + job.checkpoint_s
        self.on_started(self, name)

    def _save(self, name: str, task: Task) -> None:
        """Store the progress of a task, periodically or when it is stopped."""
        ran_s = self.now() - task.running_since
        if task.state == wire.SAVING:
            ran_s -= self.jobs[job_id_of(name)].save_s
        self.checkpoints[name] = max(self.checkpoints.get(name, 0.0), task.progress_s + ran_s)
        task.next_checkpoint_at = self.now() + self.jobs[job_id_of(name)].checkpoint_s

    def pause(self) -> None:
        """Pause the machine."""
        if self.paused_at is None:
            self.tick()
            self.paused_at = self.now()

    def resume(self) -> None:
        """End the pause; its tasks continue unless its lease has expired."""
        if self.paused_at is None:
            return
        paused_s, self.paused_at = self.now() - self.paused_at, None
        for task in self.tasks.values():
            task.state_ends_at += paused_s
            task.next_checkpoint_at += paused_s
            task.running_since += paused_s
        self.tick()

    def build_heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat message; responses to direct commands have the same form."""
        self.sequence += 1
        machine = self.machine
        lines = []
        for (name, attempt), task in self.tasks.items():
            line = {"piece": name, "try": attempt, "status": task.state}
            lines.append(line if task.cause is None else {**line, "cause": task.cause})
        notice_s = None if self.terminates_at is None else max(0.0, self.terminates_at - self.now())
        return {
            "kiln": machine.id, "addr": machine.addr, "build": "m8", "hall": machine.zone,
            "loaners": machine.spot, "shift": self.incarnation, "tick": self.sequence,
            "baton": self.token, "warningS": notice_s, "pieces": lines,
        }  # fmt: skip

    def execute(self, commands: list[dict[str, Any]]) -> None:
        """Execute start, stop and forget commands; repeated ones have no effect."""
        for command in commands:
            name, attempt = command["piece"], command["try"]
            existing = self.tasks.get((name, attempt))
            if command["verb"] == wire.START:
                if existing is None:
                    self._start(name, attempt)
            elif existing is None:
                continue
            elif command["verb"] == wire.STOP and existing.state != wire.EXITED:
                self._stop(name, existing, command["windupS"])
            elif command["verb"] == wire.FORGET and existing.state == wire.EXITED:
                del self.tasks[name, attempt]
                self.unreported_change.set()

    def _stop(self, name: str, task: Task, grace_s: float) -> None:
        """Stop a task; one with checkpoints saves first if `grace_s` leaves the time."""
        job = self.jobs[job_id_of(name)]
        if task.state == wire.SAVING and grace_s > 0:
            return
        if task.state == wire.RUNNING and job.checkpoint_s and grace_s >= job.save_s:
            task.state, task.state_ends_at = wire.SAVING, self.now() + job.save_s
        else:
            task.state, task.cause = wire.EXITED, wire.WHY_STOPPED
        self.unreported_change.set()

    def _start(self, name: str, attempt: int) -> None:
        self.unreported_change.set()
        job = self.jobs[job_id_of(name)]
        present = [n for (n, _), t in self.tasks.items() if t.state != wire.EXITED]
        used = sum(self.jobs[job_id_of(n)].vcpus for n in present)
        self.fetched_at = min(self.fetched_at, self.now() + 0.5)
        if name in present:
            self.tasks[name, attempt] = Task(wire.EXITED, "in_use")
        elif used + job.vcpus > CloudService.VCPUS:
            self.tasks[name, attempt] = Task(wire.EXITED, "no_room")
        else:
            # All jobs use the same image, which a machine fetches once.
            self.tasks[name, attempt] = Task(state_ends_at=max(self.now(), self.fetched_at))

    async def __call__(self, source: str, method: str, target: str, body: bytes | None) -> Reply:
        """Handle direct commands; status 409 if their token is old or their incarnation differs."""
        self.tick()
        message = orjson.loads(body or b"{}")
        if message["baton"] < self.token or message["shift"] != self.incarnation:
            return 409, self.build_heartbeat()
        self.observe_token(message["baton"])
        self.execute(message["orders"])
        return 200, self.build_heartbeat()
