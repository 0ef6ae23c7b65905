"""Reconciliation of the machines of a term with the cloud's list of them.

The list lags and may be older than the one before it. So neither a line nor the lack of one proves
anything about tasks; `tealrill.fleet.inventory` has the proofs.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from tealrill import wire
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.types import MachineId, Monotonic, parse_machine_id

log = logging.getLogger(__name__)

_RELISTED_LAGS: Final = 4
"""Lags of the list after which a released machine that it shows was not released."""
_MISSING_LAGS: Final = 3
"""Lags of the list after which a machine that it does not show is gone."""
_LAG_MARGIN_S: Final = 10.0


class MachineListReconciler:
    """Applies the cloud's lists to the machines of one term."""

    def __init__(
        self,
        fleet: Fleet,
        lag_s: float,
        boot_timeout_s: Callable[[Machine, Monotonic], float],
        partitioned_zones: Callable[[], frozenset[str]],
        changed: Callable[[], None],
        freed: Callable[[Machine], None],
    ) -> None:
        """Apply lists that are `lag_s` late as a rule.

        `boot_timeout_s` says how long a machine may take to come up, `partitioned_zones` of which
        zones nothing is heard. `changed` is called when a machine was found, `freed` when one is
        gone.
        """
        self._fleet = fleet
        self._lag_s = lag_s
        self._boot_timeout_s = boot_timeout_s
        self._partitioned_zones = partitioned_zones
        self._changed = changed
        self._on_machine_terminated = freed

    def apply(self, listed: list[wire.ListedMachine], now: Monotonic) -> None:
        """Apply a list: new machines, their state, and those that it does not show."""
        present: set[MachineId] = set()
        for line in listed:
            machine_id = parse_machine_id(line.id)
            if machine_id is None:
                continue
            present.add(machine_id)
            if machine_id in self._fleet.terminated:
                self._check_relisted(machine_id, now)
            else:
                self._apply_line(machine_id, line, now)
        for machine in list(self._fleet.machines.values()):
            if machine.id not in present:
                machine.missing_from_lists += machine.listed_at is not None
                self._check_missing(machine, now)
        self._fleet.prune_terminated(now)

    def _check_relisted(self, machine_id: MachineId, now: Monotonic) -> None:
        """The list lags, so a released machine may stand on it for a while."""
        if now - self._fleet.terminated[machine_id] > _RELISTED_LAGS * self._lag_s + _LAG_MARGIN_S:
            log.info("machine still listed long after its release: machine=%s", machine_id)
            del self._fleet.terminated[machine_id]

    def _apply_line(self, machine_id: MachineId, line: wire.ListedMachine, now: Monotonic) -> None:
        machine = self._fleet.machines.get(machine_id)
        if machine is None:
            # Rented by an earlier leader, or by a request that took effect late.
            log.info("machine listed that was not known: machine=%s", machine_id)
            since = Monotonic(now - line.age_s)
            machine = Machine(machine_id, line.type, line.zone, line.spot, since)
            self._fleet.machines[machine_id] = machine
            self._changed()
        elif machine.listed_at is None:
            machine.rented_at = Monotonic(min(machine.rented_at, now - line.age_s))
        if not machine.type:
            self._fleet.set_kind(machine, line.type, line.zone, line.spot)
        machine.listed_state, machine.listed_at = line.state, now
        machine.listed_addr = line.addr
        machine.missing_from_lists = 0
        if line.state == wire.MACHINE_FAILED and not machine.releasing:
            # It stopped by itself; the release is the proof that its tasks are gone.
            log.info("machine failed: machine=%s", machine_id)
            machine.releasing = True
        if line.state == wire.MACHINE_BOOTING and machine.last_contact_at is None:
            self._check_boot(machine, now)

    def _check_boot(self, machine: Machine, now: Monotonic) -> None:
        """Some machines never come up, and are charged until they are returned.

        Only what the list calls starting is one of them. A new leader has not heard machines that
        are cut off from it, and once returned 256 good ones in the middle of a cut of their zone.
        In a zone that is not heard nothing is late.
        """
        if machine.releasing or machine.bindings:
            return
        if machine.zone in self._partitioned_zones():
            return
        waited_s = now - machine.rented_at
        if waited_s > self._boot_timeout_s(machine, now):
            log.info("machine did not come up: machine=%s waited_s=%.0f", machine.id, waited_s)
            machine.releasing = True

    def _check_missing(self, machine: Machine, now: Monotonic) -> None:
        """Absence proves nothing about tasks: a machine is dropped only when nothing is bound."""
        if machine.bindings or machine.releasing:
            return
        known_for = now - (
            machine.listed_at if machine.listed_at is not None else machine.rented_at
        )
        silent = machine.lease_expired or machine.last_contact_at is None
        if silent and known_for > _MISSING_LAGS * self._lag_s + _LAG_MARGIN_S:
            log.info("machine gone from the list: machine=%s", machine.id)
            self._on_machine_terminated(machine)
            self._fleet.drop(machine)
