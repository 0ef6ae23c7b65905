"""Reconciliation of the tasks that a heartbeat lists with the machine's bindings.

This is proof 1 of `tealrill.fleet.inventory`: an attempt has exited or is no longer listed.
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

_MAX_IMAGES: Final = 64


class Reconciler:
    """Applies the lists of heartbeats to the bindings of one term."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def reconcile(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic, wall: Wall, direct: bool
    ) -> None:
        """Apply the list of a heartbeat with a token of this term to the machine's bindings.

        A `direct` heartbeat came in the reply to a direct command.
        """
        exited_or_unbound: list[tuple[TaskId, Attempt, wire.TaskStatus]] = []
        bindings_by_name = machine.bindings_by_name
        for status in heartbeat.tasks:
            binding = bindings_by_name.get(status.task)
            if binding is None or binding.attempt != status.attempt:
                binding = self._find_binding(machine, status, exited_or_unbound, now)
                if binding is None:
                    continue
            binding.last_listed_in = HeartbeatSequence(heartbeat.sequence)
            if status.state == wire.EXITED:
                exited_or_unbound.append((binding.task, binding.attempt, status))
            elif binding.start_confirmed and binding.state == status.state:
                # This state has been applied before.
                continue
            self._apply_status(machine, binding, status, now, wall)
        unbound_tasks = sum(status.state != wire.EXITED for _, _, status in exited_or_unbound)
        if machine.unbound_tasks and not unbound_tasks:
            self._fleet.changed()
        machine.unbound_tasks = unbound_tasks
        machine.exited_or_unbound = exited_or_unbound
        for binding in [
            b for b in machine.bindings.values() if b.last_listed_in != heartbeat.sequence
        ]:
            self._apply_missing(machine, binding, heartbeat, now, direct)
        if machine.exited:
            listed = {(task, attempt) for task, attempt, _ in exited_or_unbound}
            for key in [key for key in machine.exited if key not in listed]:
                del machine.exited[key]

    def _find_binding(
        self,
        machine: Machine,
        status: wire.TaskStatus,
        exited_or_unbound: list[tuple[TaskId, Attempt, wire.TaskStatus]],
        now: Monotonic,
    ) -> Binding | None:
        """Return the binding of a listed attempt by its parsed name; None if there is none.

        An attempt without a binding is added to `exited_or_unbound`; a malformed name is ignored.
        """
        task = parse_task_id(status.task)
        if task is None:
            return None
        attempt = Attempt(status.attempt)
        binding = machine.bindings.get(task)
        if binding is not None and binding.attempt == attempt:
            return binding
        exited_or_unbound.append((task, attempt, status))
        if status.state == wire.EXITED:
            self._record_unbound_exit(machine, task, attempt, status, now)
        else:
            self._fleet.fencing_log.on_unbound_listed(machine.id, task, attempt, now)
        return None

    def _apply_status(
        self,
        machine: Machine,
        binding: Binding,
        status: wire.TaskStatus,
        now: Monotonic,
        wall: Wall,
    ) -> None:
        """Apply the listed status of an attempt to its binding."""
        binding.start_confirmed = True
        binding.state = status.state
        job = binding.chunk.job
        if status.state in (wire.RUNNING, wire.SAVING) and binding.running_since is None:
            age_s = max(0.0, wall - binding.bound_at) if binding.inherited else 0.0
            machine.invalidate_caches()
            binding.running_since = Monotonic(now - age_s)
            self._remember_image(machine, job.spec.image)
        if status.state == wire.EXITED:
            self._apply_exit(machine, binding, status, now)

    def _remember_image(self, machine: Machine, image: str) -> None:
        """Record that the machine has an image; only the most recently used ones are kept."""
        machine.images.pop(image, None)
        machine.images[image] = None
        while len(machine.images) > _MAX_IMAGES:
            del machine.images[next(iter(machine.images))]

    def _apply_exit(
        self, machine: Machine, binding: Binding, status: wire.TaskStatus, now: Monotonic
    ) -> None:
        """Record the outcome of an exited attempt and end its binding."""
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
            self._record_failure(machine, binding, now)
        elif status.why in wire.REFUSALS:
            # The machine's real state differs from its record: placement there pauses for a moment.
            log.info(
                "start refused: machine=%s task=%s reason=%s", machine.id, binding.task, status.why
            )
            machine.refused_until = Monotonic(now + 2.0)
        self._fleet.unbind(machine, binding, now, f"exited ({status.why})")
        key = (binding.task, binding.attempt)
        machine.exited[key] = Exit(binding.chunk, binding.chunk.version, binding.direct_token)
        self._fleet.changed()

    def _record_failure(self, machine: Machine, binding: Binding, now: Monotonic) -> None:
        """Record a failed attempt, which counts against the job or the machine."""
        job = binding.chunk.job
        ran_s = now - binding.running_since if binding.running_since is not None else 0.0
        has_completed_tasks = job.done_count > 0
        log.info("task failed: task=%s machine=%s ran_s=%.1f", binding.task, machine.id, ran_s)
        self._fleet.job_store.task_failed(job, binding.task.index)
        if not job.cancelled:
            self._fleet.drain_faulty(
                self._fleet.failure_attribution.failed(
                    job.id, machine.id, ran_s, has_completed_tasks, now
                )
            )

    def _record_unbound_exit(
        self,
        machine: Machine,
        task: TaskId,
        attempt: Attempt,
        status: wire.TaskStatus,
        now: Monotonic,
    ) -> None:
        """Record an exited attempt without a binding; if it completed the task, that counts."""
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

    def _apply_missing(
        self,
        machine: Machine,
        binding: Binding,
        heartbeat: wire.Heartbeat,
        now: Monotonic,
        direct: bool,
    ) -> None:
        """Handle a bound task that a heartbeat with a token of this term does not list."""
        if binding.start_confirmed or binding.inherited:
            self._fleet.unbind(machine, binding, now, "no longer listed")
            self._fleet.changed()
        elif binding.direct_start_in_flight:
            # The direct start may still arrive, so the binding stays. The start is sent with a
            # response as well, so that a later heartbeat lists the task.
            if binding.sent is not None and heartbeat.sequence > binding.sent and not direct:
                binding.sent = None
        elif binding.sent is None:
            if binding.stop is not None:
                self._fleet.unbind(machine, binding, now, "never sent")
                self._fleet.changed()
        elif heartbeat.sequence > binding.sent and not direct:
            # The response with the start was lost: the worker has sent a later heartbeat, and
            # workers ignore late responses. The reply to a direct command would not prove that: it
            # can be newer than the heartbeat whose response is still on its way.
            if binding.stop is not None:
                self._fleet.unbind(machine, binding, now, "its start was lost")
                self._fleet.changed()
            else:
                binding.sent = None
