"""The machines and bindings of a term, and the proofs by which a binding ends.

The invariant that no task runs on two machines (`ran_twice`) depends on this module and on those
that it combines. They are free of I/O: heartbeats, replies to direct commands, the time and the
cloud's confirmations go in, and commands come out. docs/design.md has the argument. A binding ends
only by

1. a message of its machine and incarnation that carries a token of this term, is newer than the
   heartbeat whose response carried the start, and shows the attempt as exited or does not list it.
   If the attempt was never listed before, only a heartbeat counts, not the reply to a direct
   command, and only if no direct start of the attempt is in flight;
2. a message of a later incarnation;
3. a silence longer than the worker's lease, counted from the last heartbeat that this leader
   acknowledged, or from its election, and from when the incarnation was first seen;
4. the cloud's confirmation that the machine was released.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import Final

from tealrill.fleet.cancelled_tasks import CancelledTasks
from tealrill.fleet.commands import Commands
from tealrill.fleet.fencing_log import FencingLog
from tealrill.fleet.heartbeats import HeartbeatProcessor
from tealrill.fleet.leases import Leases
from tealrill.fleet.machine import CompletedTask, Machine
from tealrill.fleet.machine_tokens import MachineTokens
from tealrill.fleet.reconciliation import Reconciler
from tealrill.scheduler.failure_attribution import FailureAttribution
from tealrill.state.bindings import Binding, Job
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Monotonic, Wall

log = logging.getLogger(__name__)

_TERMINATED_KEPT_S: Final = 300.0


class Fleet:
    """The machines and bindings of one term, and the components that process their messages."""

    def __init__(
        self,
        job_store: JobStore,
        term: FencingToken,
        elected_at: Monotonic,
        lease_s: float,
        delegation_s: float = 0.0,
        heartbeat_interval_s: float = 0.0,
    ) -> None:
        self.machines: dict[MachineId, Machine] = {}
        self.terminated: dict[MachineId, Monotonic] = {}
        """When each release was confirmed; late lists and heartbeats may still show the machine."""
        self.changed: Callable[[], None] = lambda: None
        """Called when a change may allow another placement."""
        self.finished: Callable[[CompletedTask], None] = lambda _: None
        """Called when a task has completed whose run time is known."""
        self.registered: Callable[[Machine, Monotonic], None] = lambda _, __: None
        """Called at the first contact with a machine in this term."""
        self.deregistered: Callable[[MachineId], None] = lambda _: None
        """Called when a machine is removed, so that nothing is kept for it."""
        self.failure_attribution = FailureAttribution()
        self.loaded = False
        """The records have been read; before that no heartbeat is acknowledged."""
        self.stop_timeout_s = math.inf
        """Seconds after which a cancelled job's stop is overdue and left to the lease's expiry."""
        self.job_store = job_store
        self.tokens = MachineTokens(term)
        self.fencing_log = FencingLog(term)
        self.leases = Leases(self, elected_at, lease_s, delegation_s)
        self.cancelled_tasks = CancelledTasks(job_store, term)
        self.commands = Commands(
            self.machines, job_store, self.tokens, self.fencing_log, self.unbind
        )
        self.reconciler = Reconciler(self)
        self.heartbeats = HeartbeatProcessor(self, heartbeat_interval_s)

    def inherit(self, bindings: Iterable[Binding], now: Monotonic) -> None:
        """Take over the bindings of earlier terms; only one of the four proofs ends them."""
        for binding in bindings:
            machine = self.machines.get(binding.machine)
            if machine is None:
                machine = Machine(binding.machine, "", "", False, now)
                self.machines[machine.id] = machine
            if machine.incarnation is None or machine.incarnation < binding.incarnation:
                machine.incarnation = binding.incarnation
            if machine.zone:
                self.job_store.count_inherited_zone(binding, machine.zone)
            self._attach(machine, binding)
        for job in self.job_store.jobs.values():
            if not job.done_count and job.tasks:
                bound = max(task.next_attempt - 1 for task in job.tasks.values())
                self.failure_attribution.inherited(job.id, bound)
        self.loaded = True

    def startable_tasks(self, job: Job, now: Monotonic) -> int | None:
        """Return how many tasks of a job may start now; None if unlimited.

        A job that failed and is on probation is limited.
        """
        if not self.failure_attribution.is_on_probation(job.id):
            return None
        start_times = [b.running_since for b in job.bindings() if b.running_since is not None]
        longest_s = now - min(start_times) if start_times else 0.0
        self.drain_faulty(self.failure_attribution.survived(job.id, longest_s, now))
        return self.failure_attribution.task_limit(job.id, job.bound_count, longest_s, now)

    def drain_faulty(self, faulty: Iterable[MachineId]) -> None:
        """Stop placing tasks on these machines, so that they are returned once they are empty."""
        for machine_id in faulty:
            machine = self.machines.get(machine_id)
            if machine is None or machine.drain_reason:
                continue
            if not self.failure_attribution.may_drain(len(self.machines)):
                log.warning(
                    "machine suspected faulty, not drained: machine=%s reason=too many others are",
                    machine_id,
                )
                continue
            log.info(
                "machine drained as faulty: machine=%s reason=jobs failed that succeed elsewhere",
                machine_id,
            )
            machine.drain_reason = "faulty"
            machine.invalidate_caches()
            self.changed()

    def bind(
        self, job: Job, machine: Machine, backfilled: bool, wall: Wall, now: Monotonic
    ) -> Binding | None:
        """Bind a job's next task to the machine; return None if no task is waiting."""
        assert machine.incarnation is not None
        index = self.job_store.pop_unbound_task(job)
        if index is None:
            return None
        binding = self.job_store.bind(
            job, index, machine.id, machine.incarnation, machine.zone, backfilled, wall, now
        )
        self._attach(machine, binding)
        return binding

    def _attach(self, machine: Machine, binding: Binding) -> None:
        spec = binding.chunk.job.spec
        machine.invalidate_caches()
        machine.bindings[binding.task] = binding
        machine.bindings_by_name[str(binding.task)] = binding
        machine.cpus += spec.cpus
        machine.gpus += spec.gpus
        machine.memory_gb += spec.memory_gb
        machine.idle_since = None

    def unbind(self, machine: Machine, binding: Binding, now: Monotonic, proof: str) -> None:
        """End a binding; `proof` names the evidence that the attempt does not run, for the log."""
        if machine.bindings.get(binding.task) is not binding:
            return
        spec = binding.chunk.job.spec
        machine.invalidate_caches()
        del machine.bindings[binding.task]
        del machine.bindings_by_name[str(binding.task)]
        machine.cpus -= spec.cpus
        machine.gpus -= spec.gpus
        machine.memory_gb -= spec.memory_gb
        if not machine.bindings:
            machine.cpus = machine.gpus = machine.memory_gb = 0.0
            machine.idle_since = now
        reason = f", stopped for {binding.stop.reason}" if binding.stop is not None else ""
        log.debug("task %s released from %s: %s%s", binding.task, machine.id, proof, reason)
        self.job_store.release(binding, machine.zone, now)

    def set_kind(self, machine: Machine, type_name: str, zone: str, spot: bool) -> None:
        """Record a machine's type, zone and price class.

        A machine known only from inherited bindings has none of them at first.
        """
        if not machine.zone:
            for binding in machine.bindings.values():
                self.job_store.count_inherited_zone(binding, zone)
        if (machine.type, machine.zone, machine.spot) != (type_name, zone, spot):
            machine.invalidate_caches()
            machine.type, machine.zone, machine.spot = type_name, zone, spot

    def released(self, machine_id: MachineId, now: Monotonic) -> None:
        """End the bindings of a machine whose release the cloud has confirmed (proof 4)."""
        self.terminated[machine_id] = now
        machine = self._remove(machine_id)
        if machine is None:
            return
        for binding in list(machine.bindings.values()):
            self.unbind(machine, binding, now, "machine released")
        self.changed()

    def prune_terminated(self, now: Monotonic) -> None:
        """Forget machines that were terminated more than five minutes ago."""
        for machine_id in [i for i, at in self.terminated.items() if now - at > _TERMINATED_KEPT_S]:
            del self.terminated[machine_id]

    def drop(self, machine: Machine) -> None:
        """Forget a machine that has no bindings and is no longer listed."""
        assert not machine.bindings
        self._remove(machine.id)

    def _remove(self, machine_id: MachineId) -> Machine | None:
        machine = self.machines.pop(machine_id, None)
        self.failure_attribution.forget_machine(machine_id)
        self.fencing_log.drop_machine(machine_id)
        self.deregistered(machine_id)
        return machine
