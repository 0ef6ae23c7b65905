"""Finds out what is still there of machines that are not heard.

Wanted: of every machine that has missed a report, whether anything at its address takes
connections. What is: the attempts made so far. The loop works off the difference, a bounded number
at a time, and then judges the whole fleet (`scheduler/failure_detector.py`).
While all are heard it does one
comparison a machine.

Nothing here proves that a task is gone, and no answer renews a lease.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.http import accepts
from tealrill.scheduler import failure_detector
from tealrill.scheduler.failure_detector import Diagnosis, Evidence, Suspicion
from tealrill.settings import Address, SettingsError, parse_address
from tealrill.types import MachineId, Monotonic, monotonic_now

log = logging.getLogger(__name__)

LOOK_EVERY_S: Final = 0.5
_LATE_S: Final = 1.0
_TIMEOUT_S: Final = 0.8
_AGAIN_S: Final = 1.0
_MOST: Final = 160
_FEWEST: Final = 4
"""Attempts at once: at the most, and where reports and commands leave no sockets."""

Reach = Callable[[Address, float], Awaitable[bool | None]]


class Prober:
    """One term's look at silent machines."""

    def __init__(
        self,
        fleet: Fleet,
        heartbeat_interval_s: float,
        spare_sockets: Callable[[], int],
        reach: Reach | None = None,
        now: Callable[[], Monotonic] = monotonic_now,
        valid: Callable[[], bool] = lambda: True,
    ) -> None:
        self._fleet = fleet
        self._report_s = heartbeat_interval_s
        self._spare = spare_sockets
        self._valid = valid
        # Not a default argument: that would be bound before the simulation puts its own there.
        self._reach = reach or accepts
        self._now = now
        self._tried: dict[MachineId, Monotonic] = {}
        self._under_way: dict[MachineId, asyncio.Task[None]] = {}
        self.diagnosis = Diagnosis({}, frozenset())
        self.diagnosis_changed: Callable[[], None] = lambda: None
        """Called when the verdicts have changed."""

    async def run(self) -> None:
        """Probe silent machines until the term ends."""
        due = self._now() + LOOK_EVERY_S
        try:
            while True:
                await asyncio.sleep(LOOK_EVERY_S)
                now = self._now()
                late, due = now - due > _LATE_S, now + LOOK_EVERY_S
                # After a standstill of this node everybody seems silent: their reports are waiting.
                # While it may not lead, its workers are with somebody else.
                if not late and self._valid():
                    for machine in self.evaluate(now):
                        self._try(machine, now)
        finally:
            for task in self._under_way.values():
                task.cancel()

    def evaluate(self, now: Monotonic) -> list[Machine]:
        """Judges what is known by now; the machines to be tried next, the longest untried first."""
        known = [m for m in self._fleet.machines.values() if m.has_booted and m.zone]
        missed_s = failure_detector.live_within_s(self._report_s)
        silent = [
            m
            for m in known
            if self._fleet.leases.contact_age_s(m, now) > missed_s and not m.releasing
        ]
        if not silent:
            self._judge([], now)
            self._tried.clear()
            return []
        self._judge(known, now)
        for machine_id in self._tried.keys() - {m.id for m in silent}:
            del self._tried[machine_id]
        due = [
            machine
            for machine in silent
            # Inherited machines have no address until the first list or report brings it.
            if (machine.addr or machine.listed_addr)
            and machine.id not in self._under_way
            and now - self._tried.get(machine.id, Monotonic(-_AGAIN_S)) >= _AGAIN_S
        ]
        due.sort(key=lambda m: self._tried.get(m.id, Monotonic(-_AGAIN_S)))
        return due[: max(0, max(_FEWEST, min(_MOST, self._spare())) - len(self._under_way))]

    def _judge(self, known: list[Machine], now: Monotonic) -> None:
        diagnosis = failure_detector.diagnose((self._sign(m, now) for m in known), self._report_s)
        healed = self.diagnosis.partitioned_zones - diagnosis.partitioned_zones
        if healed:
            # What was tried in vain through a cut says nothing of the machine: 40 good ones were
            # returned in the moment in which the first of their zone were heard again.
            for machine in known:
                if machine.zone in healed:
                    machine.failed_connects = 0
            diagnosis = failure_detector.diagnose(
                (self._sign(m, now) for m in known), self._report_s
            )
        if diagnosis == self.diagnosis:
            return
        self._tell(diagnosis)
        self.diagnosis = diagnosis
        self.diagnosis_changed()

    def _sign(self, machine: Machine, now: Monotonic) -> Evidence:
        return Evidence(
            machine.id,
            machine.zone,
            self._fleet.leases.contact_age_s(machine, now),
            machine.failed_connects,
            machine.accepts,
            machine.missing_from_lists,
        )

    def _tell(self, diagnosis: Diagnosis) -> None:
        """One line an event, not one a machine: operators read this when hundreds are gone."""
        for verdict in (Suspicion.FAILED, Suspicion.HUNG):
            names = {m for m, v in diagnosis.suspicions.items() if v is verdict}
            new = names - {m for m, v in self.diagnosis.suspicions.items() if v is verdict}
            if new:
                log.info(
                    "machines suspected: count=%d suspicion=%s new=%d",
                    len(names),
                    verdict.value,
                    len(new),
                )
        if diagnosis.partitioned_zones != self.diagnosis.partitioned_zones:
            log.info(
                "zones partitioned: %s", ", ".join(sorted(diagnosis.partitioned_zones)) or "none"
            )

    # -- attempts -------------------------------------------------------------------------------

    def _try(self, machine: Machine, now: Monotonic) -> None:
        self._tried[machine.id] = now
        try:
            address = parse_address(machine.addr or machine.listed_addr)
        except SettingsError:
            return
        task = asyncio.create_task(self._attempt(machine, address))
        self._under_way[machine.id] = task
        task.add_done_callback(lambda _: self._under_way.pop(machine.id, None))

    async def _attempt(self, machine: Machine, address: Address) -> None:
        last_contact_at = machine.last_contact_at
        found = await self._reach(address, _TIMEOUT_S)
        if found is not None and machine.last_contact_at == last_contact_at:
            self.record_probe(machine, found)

    @staticmethod
    def record_probe(machine: Machine, accepts: bool) -> None:
        """What an attempt brought."""
        machine.accepts = accepts
        machine.failed_connects = 0 if accepts else machine.failed_connects + 1
