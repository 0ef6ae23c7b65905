"""Execution of a plan: binds tasks, and stops them on preemption, cancellation or notice."""

from __future__ import annotations

import logging
from collections.abc import Callable

from tealrill import wire
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.scheduler.model import Plan, remaining_s
from tealrill.state.bindings import Binding, Job
from tealrill.state.job_store import JobStore
from tealrill.types import Monotonic, Wall

log = logging.getLogger(__name__)


class Placement:
    """Turns plans into bindings and stops, and has stops sent to their machines at once."""

    def __init__(
        self,
        job_store: JobStore,
        fleet: Fleet,
        run_s: Callable[[wire.JobSpec], float],
        command_now: Callable[[Machine], None],
    ) -> None:
        self._job_store = job_store
        self._fleet = fleet
        self._run_s = run_s
        self._send_commands_now = command_now

    def start(self, result: Plan, now: Monotonic, wall: Wall) -> None:
        """Bind the tasks that the plan starts."""
        for start in result.starts:
            job = self._job_store.jobs.get(start.job)
            machine = self._fleet.machines.get(start.machine)
            if job is None or machine is None:
                continue
            binding = self._fleet.bind(job, machine, start.backfilled, wall, now)
            if binding is not None:
                suffix = " as backfill" if start.backfilled else ""
                log.debug("task bound: task=%s machine=%s%s", binding.task, machine.id, suffix)

    def stop(self, result: Plan, now: Monotonic) -> None:
        """Stop the tasks that the plan preempts."""
        to_notify: dict[Machine, None] = {}
        for stop in result.stops:
            job = self._job_store.jobs.get(stop.task.job)
            task = job.tasks.get(stop.task.index) if job is not None else None
            binding = task.binding if task is not None else None
            if binding is None:
                continue
            log.info(
                "preempting task: task=%s machine=%s for_job=%s",
                stop.task,
                binding.machine,
                stop.for_job,
            )
            self._request_stop(binding, "preemption", stop.grace_s, now, to_notify)
        self._send_commands(to_notify)

    def cancel(self, job: Job, now: Monotonic) -> None:
        """Stop every task of a cancelled job without a grace period, as its results are unused."""
        to_notify: dict[Machine, None] = {}
        for binding in list(job.bindings()):
            self._request_stop(binding, "cancelled", 0.0, now, to_notify)
        self._send_commands(to_notify)

    def save_before_preemption(self, now: Monotonic) -> None:
        """Stop tasks that can save their state and won't finish before their machine is reclaimed.

        Applies to machines with a preemption notice.
        """
        for machine in self._fleet.machines.values():
            if machine.preemption_notice_until is None or not machine.bindings:
                continue
            needs_command = False
            # A machine may be reclaimed after as little as half of the announced notice period.
            min_notice_s = 0.5 * (machine.preemption_notice_until - now)
            for binding in list(machine.bindings.values()):
                spec = binding.chunk.job.spec
                if not spec.saves or binding.stop is not None or binding.running_since is None:
                    continue
                if remaining_s(self._run_s(spec), now - binding.running_since) > min_notice_s:
                    needs_command |= self._fleet.commands.stop(binding, "notice", spec.save_s, now)
            if needs_command:
                self._send_commands_now(machine)

    def _request_stop(
        self,
        binding: Binding,
        reason: str,
        grace_s: float,
        now: Monotonic,
        to_notify: dict[Machine, None],
    ) -> None:
        """Request a stop; add the machine to `to_notify` unless the task was never sent to it."""
        machine = self._fleet.machines.get(binding.machine)
        if self._fleet.commands.stop(binding, reason, grace_s, now) and machine is not None:
            to_notify[machine] = None

    def _send_commands(self, machines: dict[Machine, None]) -> None:
        for machine in machines:
            self._send_commands_now(machine)
