"""Reconciliation of the machines of a term with the cloud's machine list.

The list lags, and a list may be older than the previous one. So neither the presence nor the
absence of a machine proves anything about its tasks; `tealrill.fleet.inventory` has the proofs.
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
"""List lags after which a machine that is still listed counts as not released."""
_MISSING_LAGS: Final = 3
"""List lags after which a silent machine that is not listed counts as gone."""
_LAG_MARGIN_S: Final = 10.0


class MachineListReconciler:
    """Applies the cloud's lists to the machines of one term."""

    def __init__(
        self,
        fleet: Fleet,
        lag_s: float,
        boot_timeout_s: Callable[[Machine, Monotonic], float],
        partitioned_zones: Callable[[], frozenset[str]],
        on_machine_found: Callable[[], None],
        on_machine_terminated: Callable[[Machine], None],
    ) -> None:
        """Reconcile with lists that usually lag by `lag_s` seconds.

        `boot_timeout_s` returns how long a machine may take to boot, `partitioned_zones` the zones
        that are partitioned from this node. `on_machine_found` is called after an unknown machine
        was added, `on_machine_terminated` before a machine that is gone is dropped.
        """
        self._fleet = fleet
        self._lag_s = lag_s
        self._boot_timeout_s = boot_timeout_s
        self._partitioned_zones = partitioned_zones
        self._on_machine_found = on_machine_found
        self._on_machine_terminated = on_machine_terminated

    def apply(self, listed: list[wire.ListedMachine], now: Monotonic) -> None:
        """Add unknown machines, update the listed ones, and check those that are not listed."""
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
        """Treat a released machine as unknown again if it is listed for longer than the lag allows.

        The next list then adds it to the fleet again.
        """
        if now - self._fleet.terminated[machine_id] > _RELISTED_LAGS * self._lag_s + _LAG_MARGIN_S:
            log.info("released machine still listed: machine=%s", machine_id)
            del self._fleet.terminated[machine_id]

    def _apply_line(self, machine_id: MachineId, line: wire.ListedMachine, now: Monotonic) -> None:
        machine = self._fleet.machines.get(machine_id)
        if machine is None:
            # Rented by an earlier leader, or by a request that took effect late.
            log.info("unknown machine listed: machine=%s", machine_id)
            rented_at = Monotonic(now - line.age_s)
            machine = Machine(machine_id, line.type, line.zone, line.spot, rented_at)
            self._fleet.machines[machine_id] = machine
            self._on_machine_found()
        elif machine.listed_at is None:
            machine.rented_at = Monotonic(min(machine.rented_at, now - line.age_s))
        if not machine.type:
            self._fleet.set_kind(machine, line.type, line.zone, line.spot)
        machine.listed_state, machine.listed_at = line.state, now
        machine.listed_addr = line.addr
        machine.missing_from_lists = 0
        if line.state == wire.MACHINE_FAILED and not machine.releasing:
            # Released although it has already stopped: only a confirmed release proves that its
            # tasks have ended.
            log.info("machine failed: machine=%s", machine_id)
            machine.releasing = True
        if line.state == wire.MACHINE_BOOTING and machine.last_contact_at is None:
            self._check_boot(machine, now)

    def _check_boot(self, machine: Machine, now: Monotonic) -> None:
        """Release a machine that exceeded its boot timeout, as it is charged but may never boot.

        Only machines that are listed as booting are checked, and none in a partitioned zone. Missed
        heartbeats are not sufficient evidence: a new leader has had none from machines behind a
        partition, and by that rule one released 256 working machines during a zone's partition.
        """
        if machine.releasing or machine.bindings:
            return
        if machine.zone in self._partitioned_zones():
            return
        waited_s = now - machine.rented_at
        if waited_s > self._boot_timeout_s(machine, now):
            log.info("boot timed out: machine=%s waited_s=%.0f", machine.id, waited_s)
            machine.releasing = True

    def _check_missing(self, machine: Machine, now: Monotonic) -> None:
        """Drop a silent machine that is no longer listed and has no bindings.

        A machine with bindings is kept, because absence from lists proves nothing about its tasks.
        """
        if machine.bindings or machine.releasing:
            return
        unlisted_s = now - (
            machine.listed_at if machine.listed_at is not None else machine.rented_at
        )
        silent = machine.lease_expired or machine.last_contact_at is None
        if silent and unlisted_s > _MISSING_LAGS * self._lag_s + _LAG_MARGIN_S:
            log.info("machine no longer listed: machine=%s", machine.id)
            self._on_machine_terminated(machine)
            self._fleet.drop(machine)
