"""Commands to workers: start a task, stop a task, forget an exited attempt."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from tealrill import wire
from tealrill.fleet.fencing_log import FencingLog
from tealrill.fleet.machine import UNKNOWN_EXIT, Machine
from tealrill.fleet.machine_tokens import MachineTokens
from tealrill.state.bindings import Binding, Stop
from tealrill.state.job_store import JobStore
from tealrill.types import (
    Attempt,
    HeartbeatSequence,
    MachineId,
    Monotonic,
    TaskId,
    parse_task_id,
)


class Unbind(Protocol):
    """Ends the binding of a task; `proof` names the evidence that it does not run, for the log."""

    def __call__(self, machine: Machine, binding: Binding, now: Monotonic, proof: str) -> None:
        """End the binding."""


class Commands:
    """The commands of one term, sent in heartbeat responses or directly to the worker."""

    def __init__(
        self,
        machines: Mapping[MachineId, Machine],
        job_store: JobStore,
        tokens: MachineTokens,
        fencing_log: FencingLog,
        unbind: Unbind,
    ) -> None:
        self._machines = machines
        self._job_store = job_store
        self._tokens = tokens
        self._fencing_log = fencing_log
        self._unbind = unbind

    def for_response(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic
    ) -> list[dict[str, Any]]:
        """Return the commands for a heartbeat's response; the starts among them count as sent.

        The response has to carry the machine's token. Commands to forget raise it where the attempt
        would otherwise run again: a worker that has forgotten an attempt starts it for a late copy
        of its direct start, and refuses the copy if its token is lower.
        """
        commands = self.stops(machine, now)
        forgets: list[tuple[TaskId, Attempt, wire.TaskStatus]] = []
        all_fenced, token = True, self._tokens.current(machine)
        for task, attempt, status in machine.exited_or_unbound:
            if status.state != wire.EXITED:
                commands.append(wire.stop_command(status.task, attempt, 0.0))
                continue
            exited = machine.exited.get((task, attempt), UNKNOWN_EXIT)
            if exited.is_committed:
                forgets.append((task, attempt, status))
                all_fenced = all_fenced and exited.is_fenced_by(token)
        if all_fenced or self._tokens.advance(machine):
            token = self._tokens.current(machine)
            for task, attempt, status in forgets:
                commands.append(wire.forget_command(status.task, attempt))
                self._fencing_log.on_forget(machine.id, task, attempt, token, now)
        if not machine.releasing:
            for binding in machine.bindings.values():
                if (
                    binding.sent is None
                    and not binding.start_confirmed
                    and self._may_send_in_response(binding)
                ):
                    binding.sent = HeartbeatSequence(heartbeat.sequence)
                    self._fencing_log.on_start(
                        machine.id,
                        binding.task,
                        binding.attempt,
                        self._tokens.current(machine),
                        "response",
                    )
                    commands.append(wire.start_command(str(binding.task), binding.attempt))
        return commands

    def stops_for_old_list(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic
    ) -> list[dict[str, Any]]:
        """Return the stops for the response to a heartbeat whose list may be out of date.

        A stop names its attempt and has no effect on a worker without that attempt. A listed task
        without a binding is stopped only if its job is unknown to this leader or cancelled, since
        the list may be older than the bindings.
        """
        commands = self.stops(machine, now)
        for status in heartbeat.tasks:
            binding = machine.bindings_by_name.get(status.task)
            is_bound = binding is not None and binding.attempt == status.attempt
            if status.state != wire.EXITED and not is_bound and not self._is_open(status.task):
                commands.append(wire.stop_command(status.task, status.attempt, 0.0))
        return commands

    def _is_open(self, task_name: str) -> bool:
        """Return whether the task's job is known and not cancelled; True for a malformed name."""
        task = parse_task_id(task_name)
        job = self._job_store.jobs.get(task.job) if task is not None else None
        return task is None or (job is not None and not job.cancelled)

    def _may_send_in_response(self, binding: Binding) -> bool:
        """Return whether a heartbeat's response may carry the start.

        While a direct start is in flight, the start is sent even for a task that is to be stopped:
        once started, the task is listed and can be stopped. Otherwise its binding could not end
        before the machine's incarnation does. Tasks of cancelled jobs are not started for this.
        """
        if binding.direct_start_in_flight and not binding.chunk.job.cancelled:
            return True
        return self._may_start(binding)

    def direct_starts(self, machine: Machine) -> list[Binding]:
        """Return the bindings whose start may be sent directly to the worker now."""
        if not machine.has_current_token or machine.releasing or machine.lease_expired:
            return []
        return [b for b in machine.bindings.values() if b.never_sent and self._may_start(b)]

    def direct_sent(self, bindings: Iterable[Binding]) -> None:
        """Record that direct starts are in flight: they may be executed at any later time."""
        for binding in bindings:
            binding.direct_start_in_flight = True
            machine = self._machines.get(binding.machine)
            if machine is not None:
                binding.direct_token = self._tokens.current(machine)

    def direct_executed(self, bindings: Iterable[Binding]) -> None:
        """Record that the worker executed the direct starts (it answered 200).

        Its machine is therefore not inbound-partitioned.
        """
        for binding in bindings:
            binding.direct_start_in_flight = False
            binding.start_confirmed = True
            machine = self._machines.get(binding.machine)
            if machine is not None:
                machine.mark_inbound_partitioned(False)

    def direct_refused(self, bindings: Iterable[Binding]) -> None:
        """Record that the direct starts are never executed: refused, or not sent at all."""
        for binding in bindings:
            binding.direct_start_in_flight = False

    @staticmethod
    def _may_start(binding: Binding) -> bool:
        """Return whether the task is to run and its binding is committed by this term."""
        return (
            not binding.inherited
            and binding.stop is None
            and binding.committed
            and not binding.chunk.job.cancelled
        )

    def stops(self, machine: Machine, now: Monotonic) -> list[dict[str, Any]]:
        """Return the stops of bound tasks that are not known to have been carried out.

        A stop whose grace period has passed is sent with no grace.
        """
        commands: list[dict[str, Any]] = []
        for binding in machine.bindings.values():
            stop = binding.stop
            if stop is None or binding.never_sent:
                continue
            overdue = now - stop.since > stop.grace_s
            if binding.state == wire.SAVING and not overdue:
                continue
            grace_s = 0.0 if overdue else stop.grace_s
            commands.append(wire.stop_command(str(binding.task), binding.attempt, grace_s))
        return commands

    def stop(self, binding: Binding, reason: str, grace_s: float, now: Monotonic) -> bool:
        """Request that a task be stopped within `grace_s` seconds.

        Return whether the stop has to be sent. A task whose start was never sent is unbound at once
        instead. A repeated request can only shorten the grace period.
        """
        if binding.stop is not None:
            if grace_s < binding.stop.grace_s:
                binding.stop = Stop(reason, grace_s, now)
            return True
        binding.stop = Stop(reason, grace_s, now)
        machine = self._machines.get(binding.machine)
        if machine is not None:
            machine.invalidate_caches()
        if binding.never_sent:
            if machine is not None:
                self._unbind(machine, binding, now, f"never started ({reason})")
            return False
        return True
