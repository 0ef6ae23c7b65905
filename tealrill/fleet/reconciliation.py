"""Reconciliation of the tasks that a heartbeat lists with the machine's bindings.

Proof 1 of `tealrill.fleet.inventory`: an attempt that exited, or that is no longer listed.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from tealrill import wire
from tealrill.fleet.machine import UNKNOWN_EXIT, CompletedTask, Exit, Machine
from tealrill.state.bindings import Binding
from tealrill.types import Attempt, HeartbeatSequence, Monotonic, TaskId, Wall, parse_task_id

if TYPE_CHECKING:
    from tealrill.fleet.inventory import Fleet

log = logging.getLogger(__name__)

_IMAGES_KEPT: Final = 64


class Reconciler:
    """Applies the lists of heartbeats to the bindings of one term."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def reconcile(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic, wall: Wall, direct: bool
    ) -> None:
        """Apply the list of a heartbeat with this term's token to the machine's bindings.

        A `direct` one came in the answer to a direct command.
        """
        unreconciled: list[tuple[TaskId, Attempt, wire.TaskStatus]] = []
        bindings_by_name = machine.bindings_by_name
        for status in heartbeat.tasks:
            binding = bindings_by_name.get(status.task)
            if binding is None or binding.attempt != status.attempt:
                binding = self._resolve(machine, status, unreconciled, now)
                if binding is None:
                    continue
            binding.last_listed_in = HeartbeatSequence(heartbeat.sequence)
            if status.state == wire.EXITED:
                unreconciled.append((binding.task, binding.attempt, status))
            elif binding.start_confirmed and binding.state == status.state:
                # Taken in before, with all that follows from it.
                continue
            self._progress(machine, binding, status, now, wall)
        unbound_tasks = sum(status.state != wire.EXITED for _, _, status in unreconciled)
        if machine.unbound_tasks and not unbound_tasks:
            self._fleet.changed()
        machine.unbound_tasks = unbound_tasks
        machine.unreconciled = unreconciled
        for binding in [
            b for b in machine.bindings.values() if b.last_listed_in != heartbeat.sequence
        ]:
            self._missing(machine, binding, heartbeat, now, direct)
        if machine.exited:
            listed = {(task, attempt) for task, attempt, _ in unreconciled}
            for key in [key for key in machine.exited if key not in listed]:
                del machine.exited[key]

    def _resolve(
        self,
        machine: Machine,
        status: wire.TaskStatus,
        unreconciled: list[tuple[TaskId, Attempt, wire.TaskStatus]],
        now: Monotonic,
    ) -> Binding | None:
        """Return the binding of a task whose name needs parsing; note it if none covers it."""
        task = parse_task_id(status.task)
        if task is None:
            return None
        attempt = Attempt(status.attempt)
        binding = machine.bindings.get(task)
        if binding is not None and binding.attempt == attempt:
            return binding
        unreconciled.append((task, attempt, status))
        if status.state == wire.EXITED:
            self._stray_exit(machine, task, attempt, status, now)
        return None

    def _progress(
        self,
        machine: Machine,
        binding: Binding,
        status: wire.TaskStatus,
        now: Monotonic,
        wall: Wall,
    ) -> None:
        binding.start_confirmed = True
        binding.state = status.state
        job = binding.chunk.job
        if status.state in (wire.RUNNING, wire.SAVING) and binding.running_since is None:
            ago = max(0.0, wall - binding.bound_at) if binding.inherited else 0.0
            machine.touch()
            binding.running_since = Monotonic(now - ago)
            self._has_image(machine, job.spec.image)
        if status.state == wire.EXITED:
            self._exit(machine, binding, status, now)

    def _has_image(self, machine: Machine, image: str) -> None:
        machine.images.pop(image, None)
        machine.images[image] = None
        while len(machine.images) > _IMAGES_KEPT:
            del machine.images[next(iter(machine.images))]

    def _exit(
        self, machine: Machine, binding: Binding, status: wire.TaskStatus, now: Monotonic
    ) -> None:
        job = binding.chunk.job
        if status.why == wire.WHY_DONE and not job.spec.is_service:
            self._fleet.drain_faulty(
                self._fleet.failure_attribution.succeeded(job.id, machine.id, now)
            )
            if (
                self._fleet.job_store.complete(job, binding.task.index, now)
                and not binding.inherited
            ):
                started = binding.running_since
                if started is not None:
                    self._fleet.finished(CompletedTask(job, now - started))
        elif status.why == wire.WHY_ERROR:
            self._failed(machine, binding, now)
        elif status.why in wire.REFUSALS:
            # The machine refused it: something there is not as it was thought to be.
            log.info("machine %s refused %s: %s", machine.id, binding.task, status.why)
            machine.refused_until = Monotonic(now + 2.0)
        self._fleet.unbind(machine, binding, now, f"exited ({status.why})")
        key = (binding.task, binding.attempt)
        machine.exited[key] = Exit(binding.chunk, binding.chunk.version, binding)
        self._fleet.changed()

    def _failed(self, machine: Machine, binding: Binding, now: Monotonic) -> None:
        """Counts an error, against the job or the machine."""
        job = binding.chunk.job
        ran_s = now - binding.running_since if binding.running_since is not None else 0.0
        well = job.done_count > 0
        log.info("task %s failed on %s after %.1f s", binding.task, machine.id, ran_s)
        self._fleet.job_store.task_failed(job, binding.task.index)
        if not job.cancelled:
            self._fleet.drain_faulty(
                self._fleet.failure_attribution.failed(job.id, machine.id, ran_s, well, now)
            )

    def _stray_exit(
        self,
        machine: Machine,
        task: TaskId,
        attempt: Attempt,
        status: wire.TaskStatus,
        now: Monotonic,
    ) -> None:
        """An exited attempt that no binding covers. That it is done is true all the same."""
        if (task, attempt) in machine.exited:
            return
        job = self._fleet.job_store.jobs.get(task.job)
        if status.why == wire.WHY_DONE and job is not None and 0 <= task.index < job.spec.tasks:
            self._fleet.job_store.complete(job, task.index, now)
            chunk = job.chunks.get(task.index // job.chunk_tasks)
            version = chunk.version if chunk is not None else 0
            machine.exited[(task, attempt)] = Exit(chunk, version)
            self._fleet.changed()
        else:
            machine.exited[(task, attempt)] = UNKNOWN_EXIT

    def _missing(
        self,
        machine: Machine,
        binding: Binding,
        heartbeat: wire.Heartbeat,
        now: Monotonic,
        direct: bool,
    ) -> None:
        """A bound task that a report with this term's token does not list."""
        if binding.start_confirmed or binding.inherited:
            self._fleet.unbind(machine, binding, now, "no longer listed")
            self._fleet.changed()
        elif binding.direct_start_in_flight:
            # A direct start may still arrive. Sent with the response as well, it becomes known.
            if binding.sent is not None and heartbeat.sequence > binding.sent and not direct:
                binding.sent = None
        elif binding.sent is None:
            if binding.stop is not None:
                self._fleet.unbind(machine, binding, now, "never sent")
                self._fleet.changed()
        elif heartbeat.sequence > binding.sent and not direct:
            # The answer to a direct command proves nothing here: it can be newer than the report
            # whose response, with the start in it, is still on its way to the worker.
            # The response that carried the start was lost, and workers drop late ones.
            if binding.stop is not None:
                self._fleet.unbind(machine, binding, now, "its start was lost")
                self._fleet.changed()
            else:
                binding.sent = None
