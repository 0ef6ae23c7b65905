"""What a fall took and has not been replaced yet. Ours; the paper's machine loses nothing.

`capacity.rentals` follows the queue: tasks that find no room now, nor on machines that boot, nor
where others end within a boot. After a fall of hundreds that is too slow. Room comes free all the
time, so each moment's queue seems to fit into it, and the fleet grows by one machine at a time
while jobs keep coming that need the fleet as it was. (220 machines of 362 died, and after 100 s
some 240 were there again.) So what many machines lost together had in use is asked for at once.

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
_FEWEST: Final = 5
_SHARE: Final = 0.05
"""Losses within `_TOGETHER_S` are a fall if there are so many, and so large a part of the fleet."""
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
    """Processors lost together, by machine type; rentals granted pay them back."""

    def __init__(self) -> None:
        self._open: deque[_Loss] = deque()
        self._known: dict[MachineId, _Loss] = {}

    def lost(self, machine: MachineId, type_name: str, cpus: float, now: Monotonic) -> bool:
        """A machine is gone, or going, with tasks on so many of its processors.

        Counted once a machine; True if it was not known before.
        """
        if machine in self._known or not type_name:
            return False
        loss = _Loss(machine, type_name, max(0.0, cpus), now)
        self._known[machine] = loss
        self._open.append(loss)
        return True

    @property
    def some(self) -> bool:
        """Whether any machine's loss is remembered."""
        return bool(self._known)

    def back(self, machine: MachineId) -> None:
        """It is heard again after all."""
        loss = self._known.pop(machine, None)
        if loss is not None:
            loss.cpus = 0.0

    def rented(self, type_name: str, cpus: float) -> None:
        """Machines of that type were granted, for whatever reason they were asked for."""
        for loss in self._open:
            if cpus <= 0:
                return
            if loss.type == type_name:
                paid = min(cpus, loss.cpus)
                loss.cpus -= paid
                cpus -= paid

    def owed(self, now: Monotonic, fleet: int) -> dict[str, float]:
        """Processors to be replaced, by machine type; empty if it was no fall.

        `fleet` is the number of machines there are, those lost included as long as they are known.
        """
        while self._open and now - self._open[0].at > _KEPT_S:
            self._known.pop(self._open.popleft().machine, None)
        if not self.fell(fleet):
            return {}
        owed: dict[str, float] = {}
        for loss in self._open:
            if loss.cpus > 0:
                owed[loss.type] = owed.get(loss.type, 0.0) + loss.cpus
        return owed

    def fell(self, fleet: int) -> bool:
        """Whether so many were lost within a short time that it is one event."""
        most = max(_FEWEST, math.ceil(_SHARE * fleet))
        times = [loss.at for loss in self._open]
        return any(
            times[n + most - 1] - times[n] <= _TOGETHER_S for n in range(len(times) - most + 1)
        )
