"""Autoscaling: rents machines for demand, replaces lost ones, and releases unneeded ones."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import Final

from tealrill import wire
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.provisioning import Provisioner
from tealrill.fleet.snapshot import suspicion
from tealrill.scheduler import capacity, failure_detector
from tealrill.scheduler.capacity import Offer, Rental
from tealrill.scheduler.capacity_losses import CapacityLosses
from tealrill.scheduler.failure_detector import Diagnosis, Suspicion
from tealrill.scheduler.model import JobView, MachineView, Plan, Policy, View
from tealrill.settings import Params
from tealrill.types import JobId, Monotonic

log = logging.getLogger(__name__)

_IDLE_TIMEOUT_S: Final = 20.0
_EXPENSIVE_IDLE_TIMEOUT_S: Final = 8.0
_MIN_RENTAL_S: Final = 58.0
_SILENT_RELEASE_S: Final = 45.0
_CONTACTED_SHARE: Final = 0.8
_MAX_WAIT_INTERVALS: Final = 2.5
"""Maximum number of heartbeat intervals that a new leader waits for heartbeats of
`_CONTACTED_SHARE` of the machines."""
_FIRST_HEARTBEAT_BOOTS: Final = 3.0
"""Boot times, beyond its boot, within which a machine that is up must send its first heartbeat."""
RENT_INTERVAL_S: Final = 0.5
"""Rentals are calculated less often than placement: a boot takes many times as long, and under
overload this calculation is the most expensive part of a pass."""


_UpcomingTasks = Callable[[Monotonic, float], Iterable[tuple[JobView, int]]]
"""Given the time and a period in seconds, return the jobs, with their number of tasks, that will
start to wait within that period."""


class Autoscaler:
    """Decides which machines to rent and to release during one term."""

    def __init__(
        self,
        fleet: Fleet,
        provisioner: Provisioner,
        params: Params,
        policy: Policy,
        diagnosis: Callable[[], Diagnosis],
    ) -> None:
        self.rental_deferred = False
        """The last call of `rent` came too early to calculate rentals; a pass must follow soon."""
        self.upcoming_tasks: _UpcomingTasks = lambda _, __: ()
        self._fleet = fleet
        self._provisioner = provisioner
        self._params = params
        self._policy = policy
        self._diagnosis = diagnosis
        self._silence_s = failure_detector.silent_after_s(params.workers.heartbeat_interval_s)
        self._capacity_losses = CapacityLosses()
        self._fleet_contacted = False
        """Most machines that are up have sent a heartbeat to this leader, or it stopped waiting."""
        self._max_heartbeat_wait_s = _MAX_WAIT_INTERVALS * params.workers.heartbeat_interval_s
        self._next_rental_at = Monotonic(-math.inf)
        provisioner.granted = self._on_granted

    def rent(self, result: Plan, view: View, now: Monotonic) -> None:
        """Rent machines for what the plan could not place, and for expected work."""
        offers = self._provisioner.offers
        self.rental_deferred = now < self._next_rental_at and bool(result.unplaced)
        if not offers or now < self._next_rental_at:
            return
        if not self._fleet_contacted:
            # Machines that have not sent a heartbeat to a new leader count as having no free
            # capacity. Without this wait a leader rented 116 surplus machines, expensive ones too,
            # in the first second of its term.
            self._fleet_contacted = not self._fleet.leases.is_awaiting_heartbeats(
                now, _CONTACTED_SHARE, self._max_heartbeat_wait_s
            )
            if not self._fleet_contacted:
                self.rental_deferred = True
                return
        self._next_rental_at = Monotonic(now + RENT_INTERVAL_S)
        available = self.available(now)
        if all(self._provisioner.has_pending_request(offer.kind) for offer in available):
            # No kind can be requested before its pending requests are answered, so the expensive
            # calculation below would have no effect.
            return
        machines = view.machines + view.pending_machines
        # Tasks whose predecessors still run come behind those that wait already: machines for them
        # boot in the meantime.
        upcoming_tasks = self.upcoming_tasks(now, max(o.boot_s for o in offers))
        unplaced = [*result.unplaced, *upcoming_tasks]
        rentals = capacity.rentals(
            unplaced, machines, offers, available, now, self._policy, result.affordable
        )
        if not rentals:
            missing = self._demand_for_expected_work(view, machines)
            cheap = [o for o in available if not self._is_expensive(o.type, o.spot)]
            rentals = capacity.rentals(missing, [], offers, cheap, now, self._policy)
        for rental in rentals:
            self._provisioner.rent(rental, now)

    def available(self, now: Monotonic) -> list[Offer]:
        """Return the offers that are neither in capacity back-off nor in a partitioned zone.

        A machine in a partitioned zone is charged but gets no tasks. Without this filter such a
        zone would even be preferred, because zones with the fewest machines are chosen first.
        """
        partitioned = self._diagnosis().partitioned_zones
        return [o for o in self._provisioner.available(now) if o.zone not in partitioned]

    def replace_losses(self, now: Monotonic) -> None:
        """Request replacements after a mass failure, spread over all cheap kinds of the same type.

        Expensive kinds are left to `rent`.
        """
        if now < self._next_rental_at:
            return
        self._record_losses(now)
        replacement_capacity = self._capacity_losses.replacement_capacity(
            now, len(self._fleet.machines)
        )
        if not replacement_capacity:
            return
        pending_cpus: dict[str, float] = {}
        for rental in self._provisioner.pending_rentals():
            pending_cpus[rental.type] = pending_cpus.get(rental.type, 0.0) + self._cpus(rental)
        available = [o for o in self.available(now) if not self._is_expensive(o.type, o.spot)]
        for type_name, cpus in replacement_capacity.items():
            offers = [o for o in available if o.type == type_name and o.cpus > 0]
            missing = cpus - pending_cpus.get(type_name, 0.0)
            if offers and missing > 0:
                self._request_evenly(offers, math.ceil(missing / offers[0].cpus), now)

    def _request_evenly(self, offers: list[Offer], count: int, now: Monotonic) -> None:
        """Request `count` machines in even parts, as the capacity of each offer is unknown."""
        for number, offer in enumerate(offers):
            part = count // len(offers) + (number < count % len(offers))
            if part > 0:
                self._provisioner.rent(Rental(offer.type, offer.zone, offer.spot, part), now)

    def _record_losses(self, now: Monotonic) -> None:
        suspicions = self._diagnosis().suspicions
        contacted_since = now - self._silence_s
        has_losses = self._capacity_losses.has_losses
        for machine in self._fleet.machines.values():
            if (
                machine.preemption_notice_until is not None
                or machine.listed_state == wire.MACHINE_FAILED
                or suspicions.get(machine.id) is Suspicion.FAILED
            ):
                cpus = max(machine.cpus, machine.expired_cpus)
                if self._capacity_losses.lost(machine.id, machine.type, cpus, now):
                    # The kind may have been refused earlier; the failure may have freed capacity.
                    self._provisioner.capacity_backoff.shorten(machine.kind)
            elif (
                has_losses
                and machine.last_contact_at is not None
                and machine.last_contact_at >= contacted_since
            ):
                self._capacity_losses.recovered(machine.id)

    def _is_suspected_failed(self, machine: Machine) -> bool:
        return suspicion(self._diagnosis(), machine) is Suspicion.FAILED

    def _on_granted(self, rental: Rental) -> None:
        self._capacity_losses.rented(rental.type, self._cpus(rental))

    def _cpus(self, rental: Rental) -> float:
        """Return the processors of all machines of a rental; 0 for a type not in the catalogue."""
        kind = self._provisioner.type_of(rental.type)
        return kind.cpus * rental.count if kind is not None else 0.0

    def _is_expensive(self, type_name: str, spot: bool) -> bool:
        return self._provisioner.is_expensive(type_name, spot, self._policy.expensive_ratio)

    def _demand_for_expected_work(
        self, view: View, machines: list[MachineView]
    ) -> list[tuple[JobView, int]]:
        """Return the capacity missing for expected work, as a job with tasks of one processor.

        Capacity that is free or booting is subtracted.
        """
        if view.expected is None:
            return []
        missing = math.ceil(view.expected.cpus - _free_cpus(machines))
        if missing <= 0:
            return []
        job = JobView(
            id=JobId("expected"),
            team="",
            rank=0,
            cpus=1.0,
            gpus=0.0,
            memory_gb=0.0,
            waiting=missing,
            tasks=missing,
            waited_s=0.0,
            latest_start_s=(),
            estimate_s=1.0,
            image="",
            image_gb=0.0,
            types=None,
            zone=None,
            one_zone=False,
            spread=False,
            spot=True,
            zone_counts={},
        )
        return [(job, missing)]

    def release_unneeded(self, result: Plan, view: View, now: Monotonic) -> None:
        """Mark machines that are not needed for release.

        Waiting tasks are no reason to keep an idle machine: if they fitted it, they would run.
        Otherwise small machines would stay idle for as long as large tasks wait: 30 of them were
        kept idle for minutes.
        """
        spare_cpus = _free_cpus(view.machines) - (
            view.expected.cpus if view.expected is not None else 0.0
        )
        suspicions = self._diagnosis().suspicions
        expired_count = sum(m.lease_expired for m in self._fleet.machines.values())
        for machine in self._fleet.machines.values():
            if machine.releasing:
                continue
            if (
                suspicions
                and suspicions.get(machine.id) is Suspicion.FAILED
                and self._may_be_released(machine, now)
            ):
                # A failed machine occupies capacity at the cloud until it is released, and the
                # cloud itself lists it as failed only half a minute later.
                self._release(machine, "gone")
                continue
            if machine.bindings:
                continue
            if machine.last_contact_at is None:
                self._release_without_heartbeat(machine, now)
                continue
            if machine.lease_expired:
                self._release_silent(machine, expired_count, now)
                continue
            if machine.drain_reason or machine.preemption_notice_until is not None:
                self._release(machine, machine.drain_reason or "notice")
                continue
            is_expensive = self._is_expensive(machine.type, machine.spot)
            if not self._is_idle_long_enough(machine, is_expensive, now):
                continue
            kind = self._provisioner.type_of(machine.type)
            cpus = kind.cpus if kind is not None else 0.0
            if (is_expensive or spare_cpus >= cpus) and machine.id not in result.reservations:
                spare_cpus -= cpus
                self._release(machine, "idle")

    def _release_silent(self, machine: Machine, expired_count: int, now: Monotonic) -> None:
        """Release a machine that has long been silent.

        `expired_count` is the number of machines whose lease has expired.
        """
        assert machine.last_contact_at is not None
        # If most leases have expired, this node is probably partitioned and the machines run on.
        is_overdue = (
            now - machine.last_contact_at > self._params.workers.lease_s + _SILENT_RELEASE_S
        )
        if is_overdue and 2 * expired_count <= len(self._fleet.machines):
            self._release(machine, "silent")

    @staticmethod
    def _is_idle_long_enough(machine: Machine, is_expensive: bool, now: Monotonic) -> bool:
        """Return whether a machine without tasks may be released, and start its idle time if unset.

        It must have been idle for the idle time of its price class and rented for `_MIN_RENTAL_S`.
        """
        if machine.idle_since is None:
            machine.idle_since = now
        idle_s = _EXPENSIVE_IDLE_TIMEOUT_S if is_expensive else _IDLE_TIMEOUT_S
        return now - machine.idle_since > idle_s and now - machine.rented_at > _MIN_RENTAL_S

    def _may_be_released(self, machine: Machine, now: Monotonic) -> bool:
        """Return whether a machine that is suspected failed may be released.

        It may be released once it was silent for the length of a lease, or at once if the cloud no
        longer lists it. The confirmed release proves that its tasks have ended. This is the only
        such proof while a delegate, or a delegation that was not read, prevents leases from
        expiring: without it the tasks of 109 machines waited 35 s for a partition elsewhere to end.
        """
        silent_s = self._fleet.leases.contact_age_s(machine, now)
        return (
            machine.missing_from_lists >= failure_detector.MIN_MISSING_LISTS
            or silent_s > self._params.workers.lease_s
        )

    def _release_without_heartbeat(self, machine: Machine, now: Monotonic) -> None:
        """Release a machine that is up but sent no heartbeat in this term from a reachable zone.

        If it is suspected failed it is released after a lease and a boot time, otherwise after
        `_FIRST_HEARTBEAT_BOOTS` boot times more than one.
        """
        kind = self._provisioner.type_of(machine.type)
        if (
            kind is None
            or not machine.has_booted
            or machine.zone in self._diagnosis().partitioned_zones
        ):
            return
        failed = self._is_suspected_failed(machine)
        timeout_s = self._params.workers.lease_s if failed else _FIRST_HEARTBEAT_BOOTS * kind.boot_s
        if self._fleet.leases.contact_age_s(machine, now) > timeout_s + kind.boot_s:
            self._release(machine, "gone" if failed else "never heard")

    def _release(self, machine: Machine, reason: str) -> None:
        log.info("releasing machine: machine=%s reason=%s", machine.id, reason)
        machine.releasing = True


def _free_cpus(machines: list[MachineView]) -> float:
    """Return the processors that are free now or will be once machines have booted."""
    return sum(m.cpus for m in machines if m.cpus > 0)
