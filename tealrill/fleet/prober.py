"""Active probes of machines that miss heartbeats, as evidence for the failure detector.

The prober tries to connect to every machine that has missed a heartbeat, a bounded number at a
time, and has the whole fleet diagnosed (`scheduler/failure_detector.py`). While no machine misses
heartbeats this costs one comparison a machine.

A probe neither proves that a task has ended nor renews a lease.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final

from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.http import is_reachable
from tealrill.scheduler import failure_detector
from tealrill.scheduler.failure_detector import Diagnosis, Evidence, Suspicion
from tealrill.settings import Address, SettingsError, parse_address
from tealrill.types import MachineId, Monotonic, monotonic_now

log = logging.getLogger(__name__)

_INTERVAL_S: Final = 0.5
_MAX_DELAY_S: Final = 1.0
"""A round delayed by more than this shows that this node was suspended or overloaded."""
_PROBE_TIMEOUT_S: Final = 0.8
_REPROBE_INTERVAL_S: Final = 1.0
"""The minimum interval between two probes of one machine."""
_MAX_CONCURRENT: Final = 160
"""The maximum number of concurrent probes."""
_MIN_CONCURRENT: Final = 4
"""The number of concurrent probes that is allowed even when no sockets are spare."""

Probe = Callable[[Address, float], Awaitable[bool | None]]
"""A probe of an address within a timeout in seconds, with the result of `http.is_reachable`."""


class Prober:
    """Probes of one term's unreachable machines, and the diagnosis of the fleet."""

    def __init__(
        self,
        fleet: Fleet,
        heartbeat_interval_s: float,
        spare_sockets: Callable[[], int],
        probe: Probe | None = None,
        now: Callable[[], Monotonic] = monotonic_now,
        valid: Callable[[], bool] = lambda: True,
    ) -> None:
        self._fleet = fleet
        self._heartbeat_interval_s = heartbeat_interval_s
        self._spare = spare_sockets
        self._is_valid = valid
        # A default argument would be bound before the simulation replaces `is_reachable`.
        self._probe = probe or is_reachable
        self._now = now
        self._probed_at: dict[MachineId, Monotonic] = {}
        self._running_probes: dict[MachineId, asyncio.Task[None]] = {}
        self.diagnosis = Diagnosis({}, frozenset())
        self.diagnosis_changed: Callable[[], None] = lambda: None
        """Called when the diagnosis has changed."""

    async def run(self) -> None:
        """Probe unreachable machines until the term ends."""
        due = self._now() + _INTERVAL_S
        try:
            while True:
                await asyncio.sleep(_INTERVAL_S)
                now = self._now()
                late, due = now - due > _MAX_DELAY_S, now + _INTERVAL_S
                # After this node was suspended all machines seem unreachable, because their
                # heartbeats are still unread. While this node may not lead, its workers may send
                # their heartbeats to another leader.
                if not late and self._is_valid():
                    for machine in self.evaluate(now):
                        self._start_probe(machine, now)
        finally:
            for task in self._running_probes.values():
                task.cancel()

    def evaluate(self, now: Monotonic) -> list[Machine]:
        """Diagnose the fleet and return the machines to probe next.

        The machines that were not probed for the longest time come first.
        """
        machines = [m for m in self._fleet.machines.values() if m.has_booted and m.zone]
        missed_s = failure_detector.live_within_s(self._heartbeat_interval_s)
        unreachable = [
            m
            for m in machines
            if self._fleet.leases.contact_age_s(m, now) > missed_s and not m.releasing
        ]
        if not unreachable:
            self._diagnose([], now)
            self._probed_at.clear()
            return []
        self._diagnose(machines, now)
        for machine_id in self._probed_at.keys() - {m.id for m in unreachable}:
            del self._probed_at[machine_id]
        candidates = [
            machine
            for machine in unreachable
            # Inherited machines have no address before the first list or heartbeat.
            if (machine.addr or machine.listed_addr)
            and machine.id not in self._running_probes
            and now - self._probed_at.get(machine.id, Monotonic(-_REPROBE_INTERVAL_S))
            >= _REPROBE_INTERVAL_S
        ]
        candidates.sort(key=lambda m: self._probed_at.get(m.id, Monotonic(-_REPROBE_INTERVAL_S)))
        return candidates[
            : max(
                0,
                max(_MIN_CONCURRENT, min(_MAX_CONCURRENT, self._spare()))
                - len(self._running_probes),
            )
        ]

    def _diagnose(self, machines: list[Machine], now: Monotonic) -> None:
        diagnosis = failure_detector.diagnose(
            (self._evidence(m, now) for m in machines), self._heartbeat_interval_s
        )
        healed = self.diagnosis.partitioned_zones - diagnosis.partitioned_zones
        if healed:
            # Probes that failed during a partition say nothing about the machine. When they
            # counted, 40 working machines were returned as the first of their zone recovered.
            for machine in machines:
                if machine.zone in healed:
                    machine.failed_connects = 0
            diagnosis = failure_detector.diagnose(
                (self._evidence(m, now) for m in machines), self._heartbeat_interval_s
            )
        if diagnosis == self.diagnosis:
            return
        self._log_changes(diagnosis)
        self.diagnosis = diagnosis
        self.diagnosis_changed()

    def _evidence(self, machine: Machine, now: Monotonic) -> Evidence:
        return Evidence(
            machine.id,
            machine.zone,
            self._fleet.leases.contact_age_s(machine, now),
            machine.failed_connects,
            machine.accepts_connections,
            machine.missing_from_lists,
        )

    def _log_changes(self, diagnosis: Diagnosis) -> None:
        """Log the changes of the diagnosis.

        There is one line for each event and not for each machine, so that the log stays readable
        when hundreds of machines fail.
        """
        for suspicion in (Suspicion.FAILED, Suspicion.HUNG):
            suspected = {m for m, v in diagnosis.suspicions.items() if v is suspicion}
            new = suspected - {m for m, v in self.diagnosis.suspicions.items() if v is suspicion}
            if new:
                log.info(
                    "machines suspected: count=%d suspicion=%s new=%d",
                    len(suspected),
                    suspicion.value,
                    len(new),
                )
        if diagnosis.partitioned_zones != self.diagnosis.partitioned_zones:
            log.info(
                "zones partitioned: %s", ", ".join(sorted(diagnosis.partitioned_zones)) or "none"
            )

    # -- probes ---------------------------------------------------------------------------------

    def _start_probe(self, machine: Machine, now: Monotonic) -> None:
        self._probed_at[machine.id] = now
        try:
            address = parse_address(machine.addr or machine.listed_addr)
        except SettingsError:
            return
        task = asyncio.create_task(self._run_probe(machine, address))
        self._running_probes[machine.id] = task
        task.add_done_callback(lambda _: self._running_probes.pop(machine.id, None))

    async def _run_probe(self, machine: Machine, address: Address) -> None:
        """Probe a machine; its result is ignored if a message of the machine came meanwhile."""
        last_contact_at = machine.last_contact_at
        result = await self._probe(address, _PROBE_TIMEOUT_S)
        if result is not None and machine.last_contact_at == last_contact_at:
            self.record_probe(machine, result)

    @staticmethod
    def record_probe(machine: Machine, accepts: bool) -> None:
        """Record whether a probe of the machine was successful."""
        machine.accepts_connections = accepts
        machine.failed_connects = 0 if accepts else machine.failed_connects + 1
