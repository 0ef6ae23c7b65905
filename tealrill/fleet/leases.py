"""The expiry of workers' leases, counted from this leader's answers.

A worker kills all its tasks when its lease expires. It expired for certain only after a silence
longer than the lease, counted from the last heartbeat that this leader answered, or from its
election, from when the worker's incarnation was first seen, and from the end of every delegation.
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


class Leases:
    """The leases of all machines of one term."""

    def __init__(
        self, fleet: Fleet, elected_at: Monotonic, lease_s: float, delegation_s: float
    ) -> None:
        self.expiry_s = lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
        """After so long a silence a worker's lease has certainly expired."""
        self._fleet = fleet
        self._elected_at = elected_at
        self._delegation_s = delegation_s
        # A delegation of an earlier term may have been acted on for a moment after the election.
        self._elsewhere_until = Monotonic(elected_at + delegation_s)

    def delegation_ended(self, now: Monotonic) -> None:
        """Count from now, as a closed delegation may have been acted on for a moment longer."""
        self._elsewhere_until = Monotonic(max(self._elsewhere_until, now + self._delegation_s))

    def expired_machines(self, now: Monotonic) -> list[Machine]:
        """Return the machines whose lease has certainly expired, unless a delegate renewed it."""
        return [
            machine
            for machine in self._fleet.machines.values()
            if not machine.lease_expired
            and machine.incarnation is not None
            and now - self._renewed_at(machine) > self.expiry_s
        ]

    def _renewed_at(self, machine: Machine) -> Monotonic:
        own = (
            machine.last_acknowledged_at
            if machine.last_acknowledged_at is not None
            else self._elected_at
        )
        begun = machine.incarnation_seen_at if machine.incarnation_seen_at is not None else own
        return max(own, begun, self._elsewhere_until)

    def is_awaiting_heartbeats(self, now: Monotonic, share: float, within_s: float) -> bool:
        """Whether a new leader has yet to hear from most of the machines that are up.

        Until `within_s` after the election, or until so large a `share` of them was heard.
        """
        if now - self._elected_at > within_s:
            return False
        has_booted = [m for m in self._fleet.machines.values() if m.has_booted]
        return sum(m.last_contact_at is not None for m in has_booted) < share * len(has_booted)

    def contact_age_s(self, machine: Machine, now: Monotonic) -> float:
        """Return the seconds since a machine, that has or should have reported, was last heard."""
        if machine.last_contact_at is not None:
            return now - machine.last_contact_at
        # Rented in this term and listed as running, it may have come up just now.
        return now - max(self._elected_at, machine.rented_at)

    def expire_leases(self, now: Monotonic) -> None:
        """End the bindings of machines whose lease has certainly expired (proof 3).

        With delegates about, `now` must lie before it was seen that none of them has a delegation.
        """
        for machine in self.expired_machines(now):
            log.info(
                "lease expired: machine=%s incarnation=%d tasks=%d",
                machine.id,
                machine.incarnation,
                len(machine.bindings),
            )
            machine.lease_expired = True
            machine.current = False
            machine.expired_cpus = machine.cpus
            for binding in list(machine.bindings.values()):
                self._fleet.unbind(machine, binding, now, "lease lapsed")
            machine.exited.clear()
            machine.unbound_tasks = 0
            self._fleet.changed()
