"""The processing of workers' heartbeats.

The stages of `HeartbeatProcessor.process`, from top to bottom: check, fence, process, reconcile,
command.
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
    FencingToken,
    HeartbeatSequence,
    Incarnation,
    MachineId,
    Monotonic,
    Wall,
)

if TYPE_CHECKING:
    from tealrill.fleet.inventory import Fleet

log = logging.getLogger(__name__)

_NO_ANSWER_S: Final = 4.0
"""A worker that has got no answer for so long tries another node, a second later."""
_HEARS_S: Final = 4.8
"""Two reports in a row within this are those of a worker that got an answer between them."""
_REPORT_JITTER: Final = 1.25
"""Reports come up to a quarter later than their period says."""


class NewerTokenError(TealrillError):
    """A worker has seen a token above this term's: somebody else leads."""


class HeartbeatProcessor:
    """Processes the heartbeats of one term's workers."""

    def __init__(self, fleet: Fleet, term: FencingToken, heartbeat_interval_s: float) -> None:
        self._fleet = fleet
        self._term = term
        # Where reports come more rarely than a worker asks again, the next sequence number alone
        # tells that it stayed here; a deaf machine stayed deaf for ever there.
        self._hears_s = max(_HEARS_S, _REPORT_JITTER * heartbeat_interval_s + LEASE_MARGIN_S)

    def process(
        self, heartbeat: wire.Heartbeat, machine_id: MachineId, now: Monotonic, wall: Wall
    ) -> list[dict[str, Any]] | None:
        """Process a worker's heartbeat; return its response's commands, or None for no 200.

        Raises `NewerTokenError` if the worker has seen a later term.
        """
        if not self._check(heartbeat, machine_id):
            return None
        machine = self._machine_of(heartbeat, machine_id, now)
        if self._must_fence(machine, heartbeat, now):
            return None
        if self._out_of_date(machine, heartbeat):
            if not self._is_in_flight(machine, heartbeat):
                return None
            return self._renew(machine, heartbeat, now, wall, list_is_current=False)
        self._detect_inbound_partition(machine, heartbeat, now)
        list_is_current = self._process(machine, heartbeat, now, wall, direct=False)
        return self._renew(machine, heartbeat, now, wall, list_is_current)

    def _check(self, heartbeat: wire.Heartbeat, machine_id: MachineId) -> bool:
        """Whether this term may answer the machine at all."""
        if heartbeat.token > self._term:
            raise NewerTokenError(f"{machine_id} has seen token {heartbeat.token}")
        return machine_id not in self._fleet.terminated and self._fleet.loaded

    def _must_fence(self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic) -> bool:
        """Whether the worker's incarnation is to end by its lease."""
        return machine.incarnation == heartbeat.incarnation and self._must_let_lease_expire(
            machine, now
        )

    @staticmethod
    def _is_in_flight(machine: Machine, heartbeat: wire.Heartbeat) -> bool:
        """Whether the worker may still wait for the answer to a heartbeat with an old list.

        A direct command overtook it. It is answered, so that the worker stays and is renewed.
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
        """Renew the worker's lease; return the commands that go with it.

        Every answer that renews is made here, with the stops that are wanted, however old the
        heartbeat's list: this leader's term may be over before the worker's next heartbeat, and so
        may each later one.
        """
        machine.last_acknowledged_at = now
        if not list_is_current:
            commands = self._fleet.commands.stops_for_old_list(machine, heartbeat, now)
        elif machine.settled is not None:
            return []
        else:
            commands = self._fleet.commands.for_response(machine, heartbeat, now)
            if not commands and self._as_it_should_be(machine, heartbeat):
                machine.settled = heartbeat.tasks
        self._fleet.cancelled_tasks.observe_renewal(
            machine, heartbeat, commands, list_is_current, wall, self._fleet.stop_timeout_s
        )
        return commands

    def handle_direct_reply(
        self, heartbeat: wire.Heartbeat, machine_id: MachineId, now: Monotonic, wall: Wall
    ) -> None:
        """Process the heartbeat in the answer to a direct command; it renews nothing."""
        machine = self._fleet.machines.get(machine_id)
        if machine is None or heartbeat.token > self._term or self._out_of_date(machine, heartbeat):
            return
        self._process(machine, heartbeat, now, wall, direct=True)

    def has_overdue_stop(self, now: Monotonic) -> bool:
        """Whether a task of a cancelled job may be kept running where this leader is not heard."""
        return any(
            self._overdue(b, now)
            for machine in self._fleet.machines.values()
            if machine.incarnation is not None
            and not machine.lease_expired
            and self._fleet.leases.contact_age_s(machine, now) > _NO_ANSWER_S
            for b in machine.bindings.values()
        )

    @staticmethod
    def _as_it_should_be(machine: Machine, heartbeat: wire.Heartbeat) -> bool:
        """Whether the list shows what is bound, no more and no less, and nothing is under way."""
        return (
            not machine.exited
            and not machine.unbound_tasks
            and len(heartbeat.tasks) == len(machine.bindings)
            and all(b.start_confirmed and b.stop is None for b in machine.bindings.values())
        )

    def _must_let_lease_expire(self, machine: Machine, now: Monotonic) -> bool:
        """Whether a start of a cancelled job that left directly may still arrive, long after.

        Nothing takes it back but a new incarnation: a stop of an attempt that the worker does not
        have does nothing. Only its lease brings one.
        """
        if machine.settled is not None:
            return False
        for b in machine.bindings.values():
            if b.direct_start_in_flight and not b.start_confirmed and self._overdue(b, now):
                log.info(
                    "lease not renewed: machine=%s, direct start unaccounted for: task=%s",
                    machine.id,
                    b.task,
                )
                return True
        return False

    def _overdue(self, binding: Binding, now: Monotonic) -> bool:
        """Whether a cancelled job's task should have been stopped by now."""
        stop = binding.stop
        return (
            stop is not None
            and binding.chunk.job.cancelled
            and now - stop.since > self._fleet.stop_timeout_s
        )

    def _detect_inbound_partition(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic
    ) -> None:
        """Note whether responses reach the worker: it goes on here only once it got one.

        One that no response reaches loses its lease though every heartbeat of it was answered,
        again and again, and each time its new incarnation took tasks that never began.
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
            and now - last_contact_at < self._hears_s
        ):
            log.info("inbound partition healed: machine=%s", machine.id)
            machine.mark_inbound_partitioned(False)
            self._fleet.changed()

    def _machine_of(
        self, heartbeat: wire.Heartbeat, machine_id: MachineId, now: Monotonic
    ) -> Machine:
        machine = self._fleet.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, heartbeat.type, heartbeat.zone, heartbeat.spot, now)
            self._fleet.machines[machine_id] = machine
            log.info("heartbeat of an unknown machine: machine=%s", machine_id)
        return machine

    @staticmethod
    def _out_of_date(machine: Machine, heartbeat: wire.Heartbeat) -> bool:
        if machine.incarnation is None:
            return False
        if machine.lease_expired and heartbeat.incarnation <= machine.incarnation:
            return True
        return (heartbeat.incarnation, heartbeat.sequence) <= (
            machine.incarnation,
            machine.sequence,
        )

    def _process(
        self, machine: Machine, heartbeat: wire.Heartbeat, now: Monotonic, wall: Wall, direct: bool
    ) -> bool:
        """True if the report's list counts: it carries this term's token."""
        self._identify(machine, heartbeat)
        if machine.incarnation is not None and heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, Incarnation(heartbeat.incarnation), now)
        if machine.incarnation != heartbeat.incarnation:
            # An incarnation that a direct command's answer shows was never renewed from here, and
            # its lease runs all the same. By the last answer to the incarnation before, machines
            # lapsed a tenth of a second after they were given tasks, and 28 tasks ran on two
            # machines.
            machine.incarnation_seen_at = now
        first = machine.last_contact_at is None
        if first:
            self._fleet.registered(machine, now)
        machine.incarnation = Incarnation(heartbeat.incarnation)
        machine.sequence = HeartbeatSequence(heartbeat.sequence)
        machine.last_contact_at = now
        machine.lease_expired = False
        machine.failed_connects, machine.accepts, machine.expired_cpus = 0, False, 0.0
        if heartbeat.notice_s is not None:
            if machine.preemption_notice_until is None:
                log.info(
                    "preemption notice: machine=%s within_s=%.0f", machine.id, heartbeat.notice_s
                )
                self._fleet.changed()
            machine.preemption_notice_until = Monotonic(now + heartbeat.notice_s)
        was_current = machine.current
        machine.current = heartbeat.token == self._term
        if not machine.current:
            # The list may be older than this term: it proves nothing.
            return False
        if first or not was_current:
            self._fleet.changed()
        if machine.settled is None or machine.settled != heartbeat.tasks:
            machine.settled = None
            self._fleet.reconciler.reconcile(machine, heartbeat, now, wall, direct)
        return True

    def _identify(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        machine.addr = heartbeat.addr
        self._fleet.set_kind(machine, heartbeat.type, heartbeat.zone, heartbeat.spot)

    def _begin_incarnation(
        self, machine: Machine, incarnation: Incarnation, now: Monotonic
    ) -> None:
        log.info("new incarnation: machine=%s incarnation=%d", machine.id, incarnation)
        for binding in list(machine.bindings.values()):
            self._fleet.unbind(machine, binding, now, "later session")
        machine.exited.clear()
        machine.touch()
        machine.images.clear()
        machine.unbound_tasks = 0
        machine.preemption_notice_until = None
        self._fleet.changed()
