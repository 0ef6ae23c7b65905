"""What is known of every machine, and the proofs by which a binding ends.

This is the part on which `ran_twice` hangs, so it is kept free of I/O: reports, answers to direct
commands, the passing of time and the cloud's answers go in; commands come out. docs/design.md has
the argument. A binding ends only by

1. a message of the machine that carries this term's token, in the same incarnation, newer than the
   report whose response carried the start, that shows the attempt exited or does not list it
   (if it was never listed before, only a report counts, not the answer to a direct command, and
   only if no start sent directly is unaccounted for);
2. a message of a later incarnation;
3. silence for longer than the worker's lease, counted from the last report this leader answered,
   or from its election, and from when its incarnation was first heard of;
4. the cloud's confirmation that the machine is gone.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import Final

from tealrill.fleet.cancelled_tasks import CancelledTasks
from tealrill.fleet.commands import Commands
from tealrill.fleet.heartbeats import HeartbeatProcessor
from tealrill.fleet.leases import Leases
from tealrill.fleet.machine import CompletedTask, Machine
from tealrill.fleet.reconciliation import Reconciler
from tealrill.scheduler.failure_attribution import FailureAttribution
from tealrill.state.bindings import Binding, Job
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Monotonic, Wall

log = logging.getLogger(__name__)

_GONE_KEPT_S: Final = 300.0


class Fleet:
    """All machines of one term, their bindings, and what processes news of them."""

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
        """Machines whose release was confirmed; lists and late reports may still show them."""
        self.changed: Callable[[], None] = lambda: None
        self.finished: Callable[[CompletedTask], None] = lambda _: None
        self.registered: Callable[[Machine, Monotonic], None] = lambda _, __: None
        """A machine is heard for the first time in this term."""
        self.deregistered: Callable[[MachineId], None] = lambda _: None
        """A machine is gone or not known any more: nothing of it is to be kept."""
        self.failure_attribution = FailureAttribution()
        self.loaded = False
        """Until the records are read, workers are not answered."""
        self.stop_timeout_s = math.inf
        """A cancelled job's stop that did not arrive for so long is left to the worker's lease."""
        self.job_store = job_store
        self.leases = Leases(self, elected_at, lease_s, delegation_s)
        self.cancelled_tasks = CancelledTasks(job_store, term)
        self.commands = Commands(self)
        self.reconciler = Reconciler(self)
        self.heartbeats = HeartbeatProcessor(self, term, heartbeat_interval_s)

    def inherit(self, bindings: Iterable[Binding], now: Monotonic) -> None:
        """Take over bindings of earlier terms: they stand until one of the four proofs."""
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

    def tries(self, job: Job, now: Monotonic) -> int | None:
        """Return how many tasks of a failed job may start now; None for as many as there are."""
        if not self.failure_attribution.is_on_probation(job.id):
            return None
        since = [b.running_since for b in job.bindings() if b.running_since is not None]
        longest_s = now - min(since) if since else 0.0
        self.drain_faulty(self.failure_attribution.survived(job.id, longest_s, now))
        return self.failure_attribution.task_limit(job.id, job.bound_count, longest_s, now)

    def drain_faulty(self, found: Iterable[MachineId]) -> None:
        """Place nothing more on these machines, and return them once they are empty."""
        for machine_id in found:
            machine = self.machines.get(machine_id)
            if machine is None or machine.drain_reason:
                continue
            if not self.failure_attribution.may_drain(len(self.machines)):
                log.warning(
                    "machine suspected faulty, not drained: machine=%s, too many others are",
                    machine_id,
                )
                continue
            log.info(
                "machine drained as faulty: machine=%s, jobs failed that succeed elsewhere",
                machine_id,
            )
            machine.drain_reason = "faulty"
            machine.touch()
            self.changed()

    def bind(
        self, job: Job, machine: Machine, backfilled: bool, wall: Wall, now: Monotonic
    ) -> Binding | None:
        """Bind a job's next task to the machine; None if no task is left."""
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
        machine.touch()
        machine.bindings[binding.task] = binding
        machine.bindings_by_name[str(binding.task)] = binding
        machine.cpus += spec.cpus
        machine.gpus += spec.gpus
        machine.memory_gb += spec.memory_gb
        machine.idle_since = None

    def unbind(self, machine: Machine, binding: Binding, now: Monotonic, proof: str) -> None:
        """End a binding; `proof` says by what it is known that the attempt does not run."""
        if machine.bindings.get(binding.task) is not binding:
            return
        spec = binding.chunk.job.spec
        machine.touch()
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
        """Record the type and place of a machine; inherited ones begin without them."""
        if not machine.zone:
            for binding in machine.bindings.values():
                self.job_store.count_inherited_zone(binding, zone)
        if (machine.type, machine.zone, machine.spot) != (type_name, zone, spot):
            machine.touch()
            machine.type, machine.zone, machine.spot = type_name, zone, spot

    def released(self, machine_id: MachineId, now: Monotonic) -> None:
        """End the bindings of a machine that is gone by the cloud's confirmation (proof 4)."""
        self.terminated[machine_id] = now
        machine = self._forget(machine_id)
        if machine is None:
            return
        for binding in list(machine.bindings.values()):
            self.unbind(machine, binding, now, "machine released")
        self.changed()

    def prune_terminated(self, now: Monotonic) -> None:
        """Forget machines that were terminated more than five minutes ago."""
        for machine_id in [i for i, at in self.terminated.items() if now - at > _GONE_KEPT_S]:
            del self.terminated[machine_id]

    def drop(self, machine: Machine) -> None:
        """Forget a machine that has no bindings and is no longer listed."""
        assert not machine.bindings
        self._forget(machine.id)

    def _forget(self, machine_id: MachineId) -> Machine | None:
        machine = self.machines.pop(machine_id, None)
        self.failure_attribution.forget_machine(machine_id)
        self.deregistered(machine_id)
        return machine
