"""Capacity that a mass failure took and that has not been replaced yet.

Ours; the paper's machine loses nothing.

`capacity.rentals` follows the queue: tasks that find no room now, nor on machines that boot, nor
where others end within a boot. After a mass failure of hundreds that is too slow. Capacity comes
free all the time, so each moment's queue seems to fit into it, and the fleet grows by one machine
at a time while jobs keep coming that need the fleet as it was. (220 machines of 362 died, and after
100 s some 240 were there again.) So what many machines lost together had in use is asked for at
once.

Single losses are left to the queue: each might as well have been given back soon.
Pure state, without I/O and clock.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

from tealrill.types import MachineId, Monotonic

_TOGETHER_S: Final = 20.0
_MASS_FAILURE_MIN: Final = 5
_MASS_FAILURE_SHARE: Final = 0.05
"""Losses within `_TOGETHER_S` are a mass failure if they are so many and so large a part."""
_KEPT_S: Final = 60.0
"""After so long the queue shows by itself what is missing."""


@dataclass(slots=True, eq=False)
class _Loss:
    machine: MachineId
    type: str
    cpus: float
    """Processors that tasks used there and that nothing has replaced yet."""
    at: Monotonic


class CapacityLosses:
    """Processors of failed machines that are not replaced yet, by machine type."""

    def __init__(self) -> None:
        self._unreplaced: deque[_Loss] = deque()
        self._by_machine: dict[MachineId, _Loss] = {}

    def lost(self, machine: MachineId, type_name: str, cpus: float, now: Monotonic) -> bool:
        """Record a failed machine on which tasks used `cpus` processors.

        Each machine counts once; return True if it was not recorded before.
        """
        if machine in self._by_machine or not type_name:
            return False
        loss = _Loss(machine, type_name, max(0.0, cpus), now)
        self._by_machine[machine] = loss
        self._unreplaced.append(loss)
        return True

    @property
    def has_losses(self) -> bool:
        """Return whether any machine's loss is remembered."""
        return bool(self._by_machine)

    def recovered(self, machine: MachineId) -> None:
        """Remove the loss of a machine that sends heartbeats again."""
        loss = self._by_machine.pop(machine, None)
        if loss is not None:
            loss.cpus = 0.0

    def rented(self, type_name: str, cpus: float) -> None:
        """Count granted machines as replacements, whatever they were requested for."""
        for loss in self._unreplaced:
            if cpus <= 0:
                return
            if loss.type == type_name:
                replaced = min(cpus, loss.cpus)
                loss.cpus -= replaced
                cpus -= replaced

    def replacement_capacity(self, now: Monotonic, fleet: int) -> dict[str, float]:
        """Return the processors to replace by machine type; empty without a mass failure.

        `fleet` is the number of machines, including failed ones for as long as they are known.
        """
        while self._unreplaced and now - self._unreplaced[0].at > _KEPT_S:
            self._by_machine.pop(self._unreplaced.popleft().machine, None)
        if not self.is_mass_failure(fleet):
            return {}
        replacement_capacity: dict[str, float] = {}
        for loss in self._unreplaced:
            if loss.cpus > 0:
                replacement_capacity[loss.type] = (
                    replacement_capacity.get(loss.type, 0.0) + loss.cpus
                )
        return replacement_capacity

    def is_mass_failure(self, fleet: int) -> bool:
        """Return whether so many machines failed within a short time that it is one event."""
        threshold = max(_MASS_FAILURE_MIN, math.ceil(_MASS_FAILURE_SHARE * fleet))
        times = [loss.at for loss in self._unreplaced]
        return any(
            times[n + threshold - 1] - times[n] <= _TOGETHER_S
            for n in range(len(times) - threshold + 1)
        )
