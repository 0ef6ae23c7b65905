"""The expiry of workers' leases, as the leader can be certain of it.

A worker kills all its tasks when its lease expires. The leader treats a lease as expired only after
a silence longer than the lease, counted from the latest of: the last heartbeat that this leader
acknowledged (its election, if there is none), the first sight of the worker's incarnation, and the
last moment at which a delegate may have renewed the lease.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from tealrill.fleet.machine import Machine
from tealrill.types import CLOCK_DRIFT, Monotonic

if TYPE_CHECKING:
    from tealrill.fleet.inventory import Fleet

log = logging.getLogger(__name__)

LEASE_MARGIN_S: Final = 0.5
"""Added to the lease's length, beside the clock drift, before the lease counts as expired."""


class Leases:
    """The leases of all machines of one term."""

    def __init__(
        self, fleet: Fleet, elected_at: Monotonic, lease_s: float, delegation_s: float
    ) -> None:
        self.expiry_s = lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
        """The silence, in seconds, after which a worker's lease has certainly expired."""
        self._fleet = fleet
        self._elected_at = elected_at
        self._delegation_s = delegation_s
        # A delegate of an earlier term may act on its delegation for up to `delegation_s` after the
        # election.
        self._delegates_until = Monotonic(elected_at + delegation_s)

    def delegation_ended(self, now: Monotonic) -> None:
        """Record that a delegation ended; it may be acted on for `delegation_s` more seconds."""
        self._delegates_until = Monotonic(max(self._delegates_until, now + self._delegation_s))

    def expired_machines(self, now: Monotonic) -> list[Machine]:
        """Return the machines whose lease has certainly expired, unless a delegate renewed it.

        Machines already marked as expired are left out.
        """
        return [
            machine
            for machine in self._fleet.machines.values()
            if not machine.lease_expired
            and machine.incarnation is not None
            and now - self._renewed_at(machine) > self.expiry_s
        ]

    def _renewed_at(self, machine: Machine) -> Monotonic:
        """Return the latest time at which the machine's lease may have been renewed."""
        acknowledged_at = (
            machine.last_acknowledged_at
            if machine.last_acknowledged_at is not None
            else self._elected_at
        )
        incarnation_seen_at = (
            machine.incarnation_seen_at
            if machine.incarnation_seen_at is not None
            else acknowledged_at
        )
        return max(acknowledged_at, incarnation_seen_at, self._delegates_until)

    def is_awaiting_heartbeats(self, now: Monotonic, share: float, within_s: float) -> bool:
        """Return whether a new leader still waits for the first contact with its machines.

        False from `within_s` seconds after the election, or once it has had contact with `share`
        (0 to 1) of the machines that have booted.
        """
        if now - self._elected_at > within_s:
            return False
        booted = [m for m in self._fleet.machines.values() if m.has_booted]
        return sum(m.last_contact_at is not None for m in booted) < share * len(booted)

    def contact_age_s(self, machine: Machine, now: Monotonic) -> float:
        """Return the seconds since the last contact with a booted machine.

        Before the first contact: since the election, or since it was rented if that was later.
        """
        if machine.last_contact_at is not None:
            return now - machine.last_contact_at
        # A machine rented in this term and listed as running may have booted just now.
        return now - max(self._elected_at, machine.rented_at)

    def expire_leases(self, now: Monotonic) -> None:
        """End the bindings of machines whose lease has certainly expired (proof 3).

        `now` must have been read before the check that no node holds a delegation: a node may
        otherwise have renewed a lease in between.
        """
        for machine in self.expired_machines(now):
            log.info(
                "lease expired: machine=%s incarnation=%d tasks=%d",
                machine.id,
                machine.incarnation,
                len(machine.bindings),
            )
            machine.lease_expired = True
            machine.has_current_token = False
            machine.expired_cpus = machine.cpus
            for binding in list(machine.bindings.values()):
                self._fleet.unbind(machine, binding, now, "lease expired")
            machine.exited.clear()
            machine.unbound_tasks = 0
            self._fleet.changed()
