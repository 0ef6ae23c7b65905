"""Capacity lost in a mass failure and not replaced yet.

Not in the paper, where machines don't fail. `capacity.rentals` responds to the queue: it rents for
tasks that fit neither on free capacity, nor on booting machines, nor on capacity that is released
within a boot time. After a mass failure of hundreds of machines that is too slow. Capacity is
released all the time, so at any moment the queue seems to fit into it, and the fleet grows one
machine at a time although arriving jobs need the former fleet. (After a loss of 220 of 362
machines, there were only some 240 machines 100 s later.) So the capacity that was in use on
machines that failed together is requested at once.

Single losses are left to the queue, because the machine might have been released soon anyway. Pure
state, without I/O and clock.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

from tealrill.types import MachineId, Monotonic

_MASS_FAILURE_WINDOW_S: Final = 20.0
_MASS_FAILURE_MIN_MACHINES: Final = 5
_MASS_FAILURE_MIN_SHARE: Final = 0.05
"""Losses within `_MASS_FAILURE_WINDOW_S` are a mass failure if they reach this number and this
share of the fleet."""
_RETENTION_S: Final = 60.0
"""Losses are dropped after this time, because by then the queue reflects the missing capacity."""


@dataclass(slots=True, eq=False)
class _Loss:
    machine: MachineId
    type: str
    cpus: float
    """Processors that tasks used there and that have not been replaced yet."""
    at: Monotonic


class CapacityLosses:
    """Processors of failed machines that are not replaced yet, by machine type."""

    def __init__(self) -> None:
        self._unreplaced: deque[_Loss] = deque()
        self._by_machine: dict[MachineId, _Loss] = {}

    def lost(self, machine: MachineId, type_name: str, cpus: float, now: Monotonic) -> bool:
        """Record a failed machine on which tasks used `cpus` processors.

        Return False if the machine is recorded already or its type is unknown.
        """
        if machine in self._by_machine or not type_name:
            return False
        loss = _Loss(machine, type_name, max(0.0, cpus), now)
        self._by_machine[machine] = loss
        self._unreplaced.append(loss)
        return True

    @property
    def has_losses(self) -> bool:
        """True if any machine's loss is recorded."""
        return bool(self._by_machine)

    def recovered(self, machine: MachineId) -> None:
        """Remove the loss of a machine that sends heartbeats again."""
        loss = self._by_machine.pop(machine, None)
        if loss is not None:
            loss.cpus = 0.0

    def rented(self, type_name: str, cpus: float) -> None:
        """Count rented machines as replacements, whatever they were rented for."""
        for loss in self._unreplaced:
            if cpus <= 0:
                return
            if loss.type == type_name:
                replaced = min(cpus, loss.cpus)
                loss.cpus -= replaced
                cpus -= replaced

    def replacement_capacity(self, now: Monotonic, fleet_size: int) -> dict[str, float]:
        """Return the processors to replace by machine type; empty without a mass failure.

        `fleet_size` is the number of machines, including failed ones until they are removed from
        the fleet.
        """
        while self._unreplaced and now - self._unreplaced[0].at > _RETENTION_S:
            self._by_machine.pop(self._unreplaced.popleft().machine, None)
        if not self.is_mass_failure(fleet_size):
            return {}
        replacement_capacity: dict[str, float] = {}
        for loss in self._unreplaced:
            if loss.cpus > 0:
                replacement_capacity[loss.type] = (
                    replacement_capacity.get(loss.type, 0.0) + loss.cpus
                )
        return replacement_capacity

    def is_mass_failure(self, fleet_size: int) -> bool:
        """Return True if enough machines failed within `_MASS_FAILURE_WINDOW_S` to be one event."""
        threshold = max(_MASS_FAILURE_MIN_MACHINES, math.ceil(_MASS_FAILURE_MIN_SHARE * fleet_size))
        times = [loss.at for loss in self._unreplaced]
        return any(
            times[n + threshold - 1] - times[n] <= _MASS_FAILURE_WINDOW_S
            for n in range(len(times) - threshold + 1)
        )
