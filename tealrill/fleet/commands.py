"""The commands that workers are sent: starts, stops, and leave to forget attempts that exited."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from tealrill import wire
from tealrill.fleet.machine import UNKNOWN_EXIT, Machine
from tealrill.state.bindings import Binding, Stop
from tealrill.types import HeartbeatSequence, Monotonic, parse_task_id

if TYPE_CHECKING:
    from tealrill.fleet.inventory import Fleet


class Commands:
    """What the workers of one term are to be told, by heartbeats' responses or directly."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def for_response(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic
    ) -> list[dict[str, Any]]:
        """Return the commands for a heartbeat's response, and mark the starts among them sent."""
        commands = self.stops(machine, now)
        for task, attempt, status in machine.unreconciled:
            if status.state != wire.EXITED:
                commands.append(wire.stop(status.task, attempt, 0.0))
            elif machine.exited.get((task, attempt), UNKNOWN_EXIT).settled:
                commands.append(wire.forget(status.task, attempt))
        if not machine.releasing:
            for binding in machine.bindings.values():
                if binding.sent is None and not binding.start_confirmed and self._to_send(binding):
                    binding.sent = HeartbeatSequence(heartbeat.sequence)
                    commands.append(wire.start(str(binding.task), binding.attempt))
        return commands

    def stops_for_old_list(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic
    ) -> list[dict[str, Any]]:
        """Return the stops for a response to a heartbeat whose list may be out of date.

        A stop names its attempt, so it does nothing where that is gone or not there yet. Of the
        listed tasks that no binding covers only those are stopped whose job is not open here.
        """
        commands = self.stops(machine, now)
        for status in heartbeat.tasks:
            binding = machine.bindings_by_name.get(status.task)
            is_bound = binding is not None and binding.attempt == status.attempt
            if status.state != wire.EXITED and not is_bound and not self._is_open(status.task):
                commands.append(wire.stop(status.task, status.attempt, 0.0))
        return commands

    def _is_open(self, task_name: str) -> bool:
        """Whether the task is one of a job that has not ended, as far as this leader knows."""
        task = parse_task_id(task_name)
        job = self._fleet.job_store.jobs.get(task.job) if task is not None else None
        return task is None or (job is not None and not job.cancelled)

    def _to_send(self, binding: Binding) -> bool:
        """Whether its start goes with a heartbeat's response.

        Also where the task is to be stopped, if a direct start may still arrive: started, it is
        listed and then stopped. Its binding would stand for as long as the machine otherwise.
        """
        if binding.direct_start_in_flight and not binding.chunk.job.cancelled:
            return True
        return self._may_start(binding)

    def direct_starts(self, machine: Machine) -> list[Binding]:
        """Return the bindings whose start may go to the worker directly, now."""
        if not machine.current or machine.releasing or machine.lease_expired:
            return []
        return [b for b in machine.bindings.values() if b.never_sent and self._may_start(b)]

    def direct_sent(self, bindings: Iterable[Binding]) -> None:
        """Record that the starts may be executed at any time, until they are accounted for."""
        for binding in bindings:
            binding.direct_start_in_flight = True

    def direct_executed(self, bindings: Iterable[Binding]) -> None:
        """Record that each start was executed, once and for all: the worker answered 200."""
        for binding in bindings:
            binding.direct_start_in_flight = False
            binding.start_confirmed = True
            machine = self._fleet.machines.get(binding.machine)
            if machine is not None:
                machine.mark_inbound_partitioned(False)

    def direct_refused(self, bindings: Iterable[Binding]) -> None:
        """Record that none was or will be executed: refused, or the request never left."""
        for binding in bindings:
            binding.direct_start_in_flight = False

    @staticmethod
    def _may_start(binding: Binding) -> bool:
        return (
            not binding.inherited
            and binding.stop is None
            and binding.committed
            and not binding.chunk.job.cancelled
        )

    def stops(self, machine: Machine, now: Monotonic) -> list[dict[str, Any]]:
        """Return the stops that are wanted and, as far as is known, not yet carried out."""
        commands: list[dict[str, Any]] = []
        for binding in machine.bindings.values():
            stop = binding.stop
            if stop is None or binding.never_sent:
                continue
            overdue = now - stop.since > stop.grace_s
            if binding.state == wire.SAVING and not overdue:
                continue
            grace_s = 0.0 if overdue else stop.grace_s
            commands.append(wire.stop(str(binding.task), binding.attempt, grace_s))
        return commands

    def stop(self, binding: Binding, reason: str, grace_s: float, now: Monotonic) -> bool:
        """Want a task stopped; True if its machine has to be told, False if it never started."""
        if binding.stop is not None:
            if grace_s < binding.stop.grace_s:
                binding.stop = Stop(reason, grace_s, now)
            return True
        binding.stop = Stop(reason, grace_s, now)
        machine = self._fleet.machines.get(binding.machine)
        if machine is not None:
            machine.touch()
        if binding.never_sent:
            if machine is not None:
                self._fleet.unbind(machine, binding, now, f"never started ({reason})")
            return False
        return True
