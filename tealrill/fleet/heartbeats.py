"""Processing of workers' heartbeats.

The stages of `HeartbeatProcessor.process`, in order: check the token, fence the worker, process the
heartbeat, reconcile its task list, and build the response's commands.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

from tealrill import wire
from tealrill.errors import TealrillError
from tealrill.fleet.leases import LEASE_MARGIN_S
from tealrill.fleet.machine import Machine
from tealrill.state.bindings import Binding
from tealrill.types import (
    HeartbeatSequence,
    Incarnation,
    MachineId,
    Monotonic,
    Wall,
)

if TYPE_CHECKING:
    from tealrill.fleet.inventory import Fleet

log = logging.getLogger(__name__)

_WORKER_RETRY_S: Final = 4.0
"""Seconds without a response after which a worker tries another node, one second later."""
_ACKNOWLEDGED_WITHIN_S: Final = 4.8
"""Consecutive heartbeats closer together than this show that the worker got the response between
them: without it, it would have tried another node first."""
_HEARTBEAT_JITTER: Final = 1.25
"""Heartbeats arrive up to a quarter of their interval late."""


class NewerTokenError(TealrillError):
    """A worker has seen a token above this term's: another controller leads."""


class HeartbeatProcessor:
    """Processes the heartbeats of one term's workers."""

    def __init__(self, fleet: Fleet, heartbeat_interval_s: float) -> None:
        self._fleet = fleet
        # With a heartbeat interval longer than the workers' retry time, consecutive sequence
        # numbers alone show that a worker stayed with this node. The window must cover the
        # interval, or a healed partition would never be detected.
        self._acknowledged_within_s = max(
            _ACKNOWLEDGED_WITHIN_S, _HEARTBEAT_JITTER * heartbeat_interval_s + LEASE_MARGIN_S
        )

    def process(
        self, heartbeat: wire.Heartbeat, machine_id: MachineId, now: Monotonic, wall: Wall
    ) -> list[dict[str, Any]] | None:
        """Process a worker's heartbeat and return the commands of its response.

        None means that the heartbeat must not be acknowledged with a 200. Raises `NewerTokenError`
        if the worker has seen a later term.
        """
        if not self._may_acknowledge(heartbeat, machine_id):
            return None
        machine = self._find_or_add_machine(heartbeat, machine_id, now)
        self._fleet.tokens.observe(machine, heartbeat.token)
        if self._must_fence(machine, heartbeat, now):
            return None
        if self._is_out_of_date(machine, heartbeat):
            if not self._may_await_response(machine, heartbeat):
                return None
            return self._renew(machine, heartbeat, now, wall, list_is_current=False)
        self._detect_inbound_partition(machine, heartbeat, now)
        list_is_current = self._update_machine(machine, heartbeat, now, wall, direct=False)
        return self._renew(machine, heartbeat, now, wall, list_is_current)

    def _may_acknowledge(self, heartbeat: wire.Heartbeat, machine_id: MachineId) -> bool:
        """Return whether this term may acknowledge the machine's heartbeats.

        Not before the records are loaded, and not after the machine's release. Raises
        `NewerTokenError` if the worker has seen a later term.
        """
        if self._fleet.tokens.is_newer(heartbeat.token):
            raise NewerTokenError(f"machine {machine_id} has seen token {heartbeat.token}")
        return machine_id not in self._fleet.terminated and self._fleet.loaded

    def _must_fence(self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic) -> bool:
        """Return whether the worker's lease must not be renewed, so that its incarnation ends."""
        return machine.incarnation == heartbeat.incarnation and self._must_let_lease_expire(
            machine, now
        )

    @staticmethod
    def _may_await_response(machine: Machine, heartbeat: wire.Heartbeat) -> bool:
        """Return whether the worker may still wait for the response to an out-of-date heartbeat.

        The reply to a direct command overtook the heartbeat. It is acknowledged, so that the worker
        stays with this node and its lease is renewed.
        """
        return machine.incarnation == heartbeat.incarnation and not machine.lease_expired

    def _renew(
        self,
        machine: Machine,
        heartbeat: wire.Heartbeat,
        now: Monotonic,
        wall: Wall,
        list_is_current: bool,
    ) -> list[dict[str, Any]]:
        """Renew the worker's lease and return the commands of the response.

        Every response that renews a lease is built here and carries the requested stops, however
        old the heartbeat's list is. A stop left to a later response might never be sent: this term
        may end before the worker's next heartbeat, and so may each later term.
        """
        machine.last_acknowledged_at = now
        if not list_is_current:
            commands = self._fleet.commands.stops_for_old_list(machine, heartbeat, now)
        elif machine.reconciled_tasks is not None:
            return []
        else:
            commands = self._fleet.commands.for_response(machine, heartbeat, now)
            if not commands and self._is_reconciled(machine, heartbeat):
                machine.reconciled_tasks = heartbeat.tasks
        self._fleet.cancelled_tasks.observe_renewal(
            machine, heartbeat, commands, list_is_current, wall, self._fleet.stop_timeout_s
        )
        return commands

    def handle_direct_reply(
        self, heartbeat: wire.Heartbeat, machine_id: MachineId, now: Monotonic, wall: Wall
    ) -> None:
        """Process the heartbeat in the reply to a direct command; it does not renew the lease."""
        machine = self._fleet.machines.get(machine_id)
        if (
            machine is None
            or self._fleet.tokens.is_newer(heartbeat.token)
            or self._is_out_of_date(machine, heartbeat)
        ):
            return
        self._fleet.tokens.observe(machine, heartbeat.token)
        self._update_machine(machine, heartbeat, now, wall, direct=True)

    def has_overdue_stop(self, now: Monotonic) -> bool:
        """Return whether another node may be keeping a cancelled job's task running.

        That is so if the stop is overdue and the machine has been out of contact for so long that
        its worker tries other nodes, which may renew its lease as delegates.
        """
        return any(
            self._is_stop_overdue(b, now)
            for machine in self._fleet.machines.values()
            if machine.incarnation is not None
            and not machine.lease_expired
            and self._fleet.leases.contact_age_s(machine, now) > _WORKER_RETRY_S
            for b in machine.bindings.values()
        )

    @staticmethod
    def _is_reconciled(machine: Machine, heartbeat: wire.Heartbeat) -> bool:
        """Return whether the list matches the bindings and no start, stop or exit is pending."""
        return (
            not machine.exited
            and not machine.unbound_tasks
            and len(heartbeat.tasks) == len(machine.bindings)
            and all(b.start_confirmed and b.stop is None for b in machine.bindings.values())
        )

    def _must_let_lease_expire(self, machine: Machine, now: Monotonic) -> bool:
        """Return whether the direct start of a cancelled job's task is in flight for too long.

        A stop has no effect on a worker that does not have the attempt yet, so only a new
        incarnation can prevent the start, and only the expiry of the lease brings one about.
        """
        if machine.reconciled_tasks is not None:
            return False
        for b in machine.bindings.values():
            if b.direct_start_in_flight and not b.start_confirmed and self._is_stop_overdue(b, now):
                log.info(
                    "lease not renewed: machine=%s task=%s reason=direct start in flight",
                    machine.id,
                    b.task,
                )
                return True
        return False

    def _is_stop_overdue(self, binding: Binding, now: Monotonic) -> bool:
        """Return whether a cancelled job's task should have been stopped by now."""
        stop = binding.stop
        return (
            stop is not None
            and binding.chunk.job.cancelled
            and now - stop.since > self._fleet.stop_timeout_s
        )

    def _detect_inbound_partition(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic
    ) -> None:
        """Detect whether responses reach the worker.

        A worker that no response reaches loses its lease although its heartbeats were acknowledged.
        Unless this is detected, each new incarnation is given tasks that never start. A worker
        sends consecutive heartbeats to the same node only if it receives the responses, which shows
        that the partition has healed.
        """
        last_contact_at, last_acknowledged_at = (
            machine.last_contact_at,
            machine.last_acknowledged_at,
        )
        if machine.incarnation is None or last_contact_at is None:
            return
        if heartbeat.incarnation > machine.incarnation:
            if (
                last_acknowledged_at is not None
                and now - last_acknowledged_at < self._fleet.leases.expiry_s
            ):
                log.info(
                    "lease expired although heartbeats were acknowledged: machine=%s", machine.id
                )
                machine.mark_inbound_partitioned(True)
        elif (
            machine.inbound_partitioned
            and heartbeat.sequence == machine.sequence + 1
            and now - last_contact_at < self._acknowledged_within_s
        ):
            log.info("inbound partition healed: machine=%s", machine.id)
            machine.mark_inbound_partitioned(False)
            self._fleet.changed()

    def _find_or_add_machine(
        self, heartbeat: wire.Heartbeat, machine_id: MachineId, now: Monotonic
    ) -> Machine:
        machine = self._fleet.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, heartbeat.type, heartbeat.zone, heartbeat.spot, now)
            self._fleet.machines[machine_id] = machine
            log.info("heartbeat from an unknown machine: machine=%s", machine_id)
        return machine

    @staticmethod
    def _is_out_of_date(machine: Machine, heartbeat: wire.Heartbeat) -> bool:
        """Return whether a newer message was processed or the incarnation's lease has expired."""
        if machine.incarnation is None:
            return False
        if machine.lease_expired and heartbeat.incarnation <= machine.incarnation:
            return True
        return (heartbeat.incarnation, heartbeat.sequence) <= (
            machine.incarnation,
            machine.sequence,
        )

    def _update_machine(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic, wall: Wall, direct: bool
    ) -> bool:
        """Update the machine's record; return whether the heartbeat carries a token of this term.

        Only then is its list reconciled. `direct` heartbeats are replies to direct commands.
        """
        self._record_identity(machine, heartbeat)
        if machine.incarnation is not None and heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, Incarnation(heartbeat.incarnation), now)
        if machine.incarnation != heartbeat.incarnation:
            # An incarnation first seen in the reply to a direct command has a running lease that no
            # acknowledgement of this leader has renewed. Counted from the last acknowledgement of
            # the previous incarnation, it counted as expired 0.1 s after the machine was given
            # tasks, and 28 tasks ran on two machines.
            machine.incarnation_seen_at = now
        is_first_contact = machine.last_contact_at is None
        if is_first_contact:
            self._fleet.registered(machine, now)
        machine.incarnation = Incarnation(heartbeat.incarnation)
        machine.sequence = HeartbeatSequence(heartbeat.sequence)
        machine.last_contact_at = now
        machine.lease_expired = False
        machine.failed_connects, machine.accepts_connections, machine.expired_cpus = 0, False, 0.0
        if heartbeat.notice_s is not None:
            if machine.preemption_notice_until is None:
                log.info(
                    "preemption notice: machine=%s within_s=%.0f", machine.id, heartbeat.notice_s
                )
                self._fleet.changed()
            machine.preemption_notice_until = Monotonic(now + heartbeat.notice_s)
        was_current = machine.has_current_token
        machine.has_current_token = self._fleet.tokens.is_current(heartbeat.token)
        if not machine.has_current_token:
            # The list may be older than this term, so it proves nothing.
            return False
        if is_first_contact or not was_current:
            self._fleet.changed()
        if machine.reconciled_tasks is None or machine.reconciled_tasks != heartbeat.tasks:
            machine.reconciled_tasks = None
            self._fleet.reconciler.reconcile(machine, heartbeat, now, wall, direct)
        return True

    def _record_identity(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        machine.addr = heartbeat.addr
        self._fleet.set_kind(machine, heartbeat.type, heartbeat.zone, heartbeat.spot)

    def _begin_incarnation(
        self, machine: Machine, incarnation: Incarnation, now: Monotonic
    ) -> None:
        """End all bindings of the previous incarnations (proof 2)."""
        log.info("new incarnation: machine=%s incarnation=%d", machine.id, incarnation)
        for binding in list(machine.bindings.values()):
            self._fleet.unbind(machine, binding, now, "later incarnation")
        machine.exited.clear()
        machine.invalidate_caches()
        machine.images.clear()
        machine.unbound_tasks = 0
        machine.preemption_notice_until = None
        self._fleet.changed()
