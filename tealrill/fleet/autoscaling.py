"""The size of the fleet: machines are rented for demand, restored after losses, and returned."""

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

_IDLE_S: Final = 20.0
_DEAR_IDLE_S: Final = 8.0
_MINIMUM_S: Final = 58.0
_SILENT_RETURN_S: Final = 45.0
_HEARD_SHARE: Final = 0.8
_COMING_REPORTS: Final = 2.5
"""For so many report periods at most a new leader waits for so large a part of the machines."""
_UNHEARD_BOOTS: Final = 3.0
"""A machine that the list calls running and nobody hears for so many boots more is returned."""
RENT_INTERVAL_S: Final = 0.5
"""A machine takes many times as long to boot, so wishes for more are worked out more rarely than
placement: in an overload they are the dearest part of a pass."""


_Upcoming = Callable[[Monotonic, float], Iterable[tuple[JobView, int]]]
"""Jobs that are about to wait, with their tasks, seen from a moment within so many seconds."""


class Autoscaler:
    """Rents and returns the machines of one term."""

    def __init__(
        self,
        fleet: Fleet,
        provisioner: Provisioner,
        params: Params,
        policy: Policy,
        diagnosis: Callable[[], Diagnosis],
    ) -> None:
        self.rental_deferred = False
        """A wish for machines waits for a pass soon after this one."""
        self.upcoming: _Upcoming = lambda _, __: ()
        """Tasks that will wait for machines within so many seconds."""
        self._fleet = fleet
        self._provisioner = provisioner
        self._params = params
        self._policy = policy
        self._diagnosis = diagnosis
        self._silence_s = failure_detector.silent_after_s(params.workers.heartbeat_interval_s)
        self._capacity_losses = CapacityLosses()
        self._acquainted = False
        """This leader has heard most machines that were up when it was elected."""
        self._coming_s = _COMING_REPORTS * params.workers.heartbeat_interval_s
        self._next_rental_at = Monotonic(-math.inf)
        provisioner.granted = self._granted

    def rent(self, result: Plan, view: View, now: Monotonic) -> None:
        """Rent machines for what the plan could not place, and for expected work."""
        offers = self._provisioner.offers
        self.rental_deferred = now < self._next_rental_at and bool(result.unplaced)
        if not offers or now < self._next_rental_at:
            return
        if not self._acquainted:
            # Machines that a new leader has not heard yet seem to have no room. In the first second
            # of a term one rented 116 of them a second time, the dear ones too.
            self._acquainted = not self._fleet.leases.is_awaiting_heartbeats(
                now, _HEARD_SHARE, self._coming_s
            )
            if not self._acquainted:
                self.rental_deferred = True
                return
        self._next_rental_at = Monotonic(now + RENT_INTERVAL_S)
        available = self._available(now)
        if all(self._provisioner.asked_for(offer.kind) for offer in available):
            # Whatever would be wished for is not asked for before those requests are answered. (In
            # an overload this reckoning was the dearest part of a pass, and mostly for nothing.)
            return
        machines = view.machines + view.pending_machines
        # Behind what waits already: machines that boot while the tasks before them still run.
        soon = self.upcoming(now, max(o.boot_s for o in offers))
        unplaced = [*result.unplaced, *soon]
        wanted = capacity.rentals(
            unplaced, machines, offers, available, now, self._policy, result.affordable
        )
        if not wanted:
            missing = self._missing_for_expected(view, machines)
            cheap = [o for o in available if not self._is_dear(o.type, o.spot)]
            wanted = capacity.rentals(missing, [], offers, cheap, now, self._policy)
        for rental in wanted:
            self._provisioner.rent(rental, now)

    def _available(self, now: Monotonic) -> list[Offer]:
        """Not refused a short while ago, and not in a zone that is cut off from here.

        A machine booted into a cut costs its price and takes no task. Zones are chosen by where we
        have the fewest machines, which was just the one that is not heard.
        """
        cut = self._diagnosis().partitioned_zones
        return [o for o in self._provisioner.available(now) if o.zone not in cut]

    def replace_losses(self, now: Monotonic) -> None:
        """Ask at once for what was lost, in parts over all cheap kinds of the same type."""
        if now < self._next_rental_at:
            return
        self._count_losses(now)
        replacement_capacity = self._capacity_losses.replacement_capacity(
            now, len(self._fleet.machines)
        )
        if not replacement_capacity:
            return
        asked: dict[str, float] = {}
        for rental in self._provisioner.pending_rentals():
            asked[rental.type] = asked.get(rental.type, 0.0) + self._cpus(rental)
        available = [o for o in self._available(now) if not self._is_dear(o.type, o.spot)]
        for type_name, cpus in replacement_capacity.items():
            offers = [o for o in available if o.type == type_name and o.cpus > 0]
            missing = cpus - asked.get(type_name, 0.0)
            if offers and missing > 0:
                self._ask_for(offers, math.ceil(missing / offers[0].cpus), now)

    def _ask_for(self, offers: list[Offer], count: int, now: Monotonic) -> None:
        """So many machines, in even parts: who has how many to give is not known beforehand."""
        for number, offer in enumerate(offers):
            part = count // len(offers) + (number < count % len(offers))
            if part > 0:
                self._provisioner.rent(Rental(offer.type, offer.zone, offer.spot, part), now)

    def _count_losses(self, now: Monotonic) -> None:
        suspicions = self._diagnosis().suspicions
        heard_from = now - self._silence_s
        some_lost = self._capacity_losses.has_losses
        for machine in self._fleet.machines.values():
            if (
                machine.preemption_notice_until is not None
                or machine.listed_state == wire.MACHINE_FAILED
                or suspicions.get(machine.id) is Suspicion.FAILED
            ):
                cpus = max(machine.cpus, machine.expired_cpus)
                if self._capacity_losses.lost(machine.id, machine.type, cpus, now):
                    # Refused while the fleet was whole; the cloud may have its place again.
                    self._provisioner.capacity_backoff.shorten(machine.kind)
            elif (
                some_lost
                and machine.last_contact_at is not None
                and machine.last_contact_at >= heard_from
            ):
                self._capacity_losses.recovered(machine.id)

    def _gone(self, machine: Machine) -> bool:
        return suspicion(self._diagnosis(), machine) is Suspicion.FAILED

    def _granted(self, rental: Rental) -> None:
        self._capacity_losses.rented(rental.type, self._cpus(rental))

    def _cpus(self, rental: Rental) -> float:
        """Processors of all machines of a rental; 0 for a type that the catalogue lost."""
        kind = self._provisioner.type_of(rental.type)
        return kind.cpus * rental.count if kind is not None else 0.0

    def _is_dear(self, type_name: str, spot: bool) -> bool:
        return self._provisioner.is_expensive(type_name, spot, self._policy.expensive_ratio)

    def _missing_for_expected(
        self, view: View, machines: list[MachineView]
    ) -> list[tuple[JobView, int]]:
        """Room for expected work that is neither free nor booting, as tasks of one processor."""
        if view.expected is None:
            return []
        missing = math.ceil(view.expected.cpus - _free(machines))
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
        """Return machines that have nothing to do.

        Tasks that wait are no reason to keep an idle machine: if they fitted it, they would run.
        Thirty small machines once stood idle for minutes because large tasks were waiting.
        """
        spare = _free(view.machines) - (view.expected.cpus if view.expected is not None else 0.0)
        suspicions = self._diagnosis().suspicions
        lease_expired = sum(m.lease_expired for m in self._fleet.machines.values())
        for machine in self._fleet.machines.values():
            if machine.releasing:
                continue
            if (
                suspicions
                and suspicions.get(machine.id) is Suspicion.FAILED
                and self._may_be_released(machine, now)
            ):
                # The cloud counts a dead machine as ours until it is released, and has none to give
                # in its place. It says itself that it failed, but only half a minute later.
                self._release(machine, "gone")
                continue
            if machine.bindings:
                continue
            if machine.last_contact_at is None:
                self._return_unheard(machine, now)
                continue
            if machine.lease_expired:
                self._return_silent(machine, lease_expired, now)
                continue
            if machine.drain_reason or machine.preemption_notice_until is not None:
                self._release(machine, machine.drain_reason or "notice")
                continue
            dear = self._is_dear(machine.type, machine.spot)
            if not self._has_idled(machine, dear, now):
                continue
            kind = self._provisioner.type_of(machine.type)
            size = kind.cpus if kind is not None else 0.0
            if (dear or spare >= size) and machine.id not in result.reservations:
                spare -= size
                self._release(machine, "idle")

    def _return_silent(self, machine: Machine, lease_expired: int, now: Monotonic) -> None:
        """Return a machine silent for long; `lease_expired` counts all whose lease expired."""
        assert machine.last_contact_at is not None
        # Many silent machines at once mean that this node is cut off, not that they died.
        long = now - machine.last_contact_at > self._params.workers.lease_s + _SILENT_RETURN_S
        if long and 2 * lease_expired <= len(self._fleet.machines):
            self._release(machine, "silent")

    @staticmethod
    def _has_idled(machine: Machine, dear: bool, now: Monotonic) -> bool:
        """Whether it has had no task for long enough; its idle time begins now if it had not."""
        if machine.idle_since is None:
            machine.idle_since = now
        idle_s = _DEAR_IDLE_S if dear else _IDLE_S
        return now - machine.idle_since > idle_s and now - machine.rented_at > _MINIMUM_S

    def _may_be_released(self, machine: Machine, now: Monotonic) -> bool:
        """Once its lease is over anyway, or at once if the cloud shows that it has taken it.

        The release is the proof that its tasks are gone. Where a delegate or an unread delegation
        keeps every silent machine from lapsing, it is the only one: 109 machines' tasks once waited
        for 35 s behind a partition that did not concern them.
        """
        silent_s = self._fleet.leases.contact_age_s(machine, now)
        return (
            machine.missing_from_lists >= failure_detector.MIN_MISSING_LISTS
            or silent_s > self._params.workers.lease_s
        )

    def _return_unheard(self, machine: Machine, now: Monotonic) -> None:
        """The cloud says that it runs, its worker has not come, and its zone is heard."""
        kind = self._provisioner.type_of(machine.type)
        if (
            kind is None
            or not machine.has_booted
            or machine.zone in self._diagnosis().partitioned_zones
        ):
            return
        terminated = self._gone(machine)
        patience_s = self._params.workers.lease_s if terminated else _UNHEARD_BOOTS * kind.boot_s
        if self._fleet.leases.contact_age_s(machine, now) > patience_s + kind.boot_s:
            self._release(machine, "gone" if terminated else "never heard")

    def _release(self, machine: Machine, why: str) -> None:
        log.info("releasing machine: machine=%s reason=%s", machine.id, why)
        machine.releasing = True


def _free(machines: list[MachineView]) -> float:
    """Processors that are free now, or will be once a machine is up."""
    return sum(m.cpus for m in machines if m.cpus > 0)
