"""Renting and releasing machines: pending requests, refusals, the machine list and the catalogue.

Each rental is a request for a number of machines of one kind; each machine to release is marked
`releasing`. The loops in this module send the requests. A request without a response is repeated
under the same name until it gets one: a name that was answered 200 rents nothing more.

A rental or release is recorded (`fleet/intent_log.py`) before it is requested, and no request is
sent once the term may have ended: the next leader reads the records and resumes the requests. The
one exception, a leader without a state service, is described at `_await_record`.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Final

from tealrill import wire
from tealrill.fleet.capacity_backoff import CapacityBackoff
from tealrill.fleet.cloud import (
    MAX_RELEASED_PER_REQUEST,
    MAX_RENTED_PER_REQUEST,
    Cloud,
    CloudError,
    NoCapacityError,
)
from tealrill.fleet.intent_log import IntentLog
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.machine import Machine
from tealrill.fleet.machine_list import MachineListReconciler
from tealrill.scheduler.boot_times import BootTimeEstimator
from tealrill.scheduler.capacity import Kind, Offer, Rental
from tealrill.state.fencing import Duty, NotHolderError
from tealrill.types import FencingToken, MachineId, Monotonic, Wall, monotonic_now, parse_machine_id

log = logging.getLogger(__name__)

_RETRY_S: Final = 1.0
_RECORD_POLL_S: Final = 0.5
_RELEASE_POLL_S: Final = 0.25
_MAX_RELEASE_WAIT_S: Final = 2.0
_LIST_INTERVAL_S: Final = 5.0
_CATALOGUE_INTERVAL_S: Final = 30.0


@dataclass(slots=True)
class RentalRequest:
    """A rental that has not been answered."""

    name: str
    rental: Rental
    requested_at: Monotonic


class Provisioner:
    """Rents and releases machines for one term, and reads the cloud's list and catalogue."""

    def __init__(
        self,
        cloud: Cloud,
        fleet: Fleet,
        term: FencingToken,
        list_lag_s: float,
        intent_log: IntentLog,
        rent_duty: Duty,
        release_duty: Duty,
    ) -> None:
        self._cloud = cloud
        self._fleet = fleet
        self._term = term
        self.intent_log = intent_log
        self.rent_duty = rent_duty
        self.release_duty = release_duty
        self._request_count = 0
        self.requests: dict[str, RentalRequest] = {}
        self.capacity_backoff = CapacityBackoff()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.catalogue: wire.Catalogue | None = None
        self.offers: list[Offer] = []
        """Every kind of machine in the catalogue: each type in each zone, spot and on-demand."""
        self._machine_types: dict[str, wire.MachineType] = {}
        self._relative_prices: dict[tuple[str, bool], float] = {}
        self.boot_times = BootTimeEstimator()
        self.partitioned_zones: Callable[[], frozenset[str]] = frozenset
        """Return the zones that are partitioned from this node."""
        self.changed: Callable[[], None] = lambda: None
        self.machine_list = MachineListReconciler(
            fleet,
            list_lag_s,
            self._boot_timeout_s,
            self._get_partitioned_zones,
            self._on_machine_found,
            self._on_machine_terminated,
        )
        self.granted: Callable[[Rental], None] = lambda _: None
        """Called after each rental with the machines that the cloud granted."""

    # -- offers ---------------------------------------------------------------------------------

    def available(self, now: Monotonic) -> list[Offer]:
        """Return the offers that are not in capacity back-off."""
        return [
            offer for offer in self.offers if not self.capacity_backoff.is_refused(offer.kind, now)
        ]

    def is_expensive(self, type_name: str, spot: bool, max_price_ratio: float) -> bool:
        """Return whether a kind costs more than `max_price_ratio` times the cheapest, per CPU."""
        return self._relative_prices.get((type_name, spot), 1.0) > max_price_ratio

    def set_catalogue(self, catalogue: wire.Catalogue) -> None:
        """Set the machine types and their current prices."""
        self.catalogue = catalogue
        self._machine_types = {kind.name: kind for kind in reversed(catalogue.types)}
        self.offers = [
            Offer(
                kind.name,
                zone,
                spot,
                kind.cpus,
                kind.gpus,
                kind.memory_gb,
                kind.spot_price if spot else kind.price,
                kind.boot_s,
                kind.fetch_gb_per_s,
            )
            for kind in catalogue.types
            for zone in kind.zones
            for spot in (True, False)
        ]
        self._relative_prices = _price_ratios(self.offers)

    def type_of(self, name: str) -> wire.MachineType | None:
        """Return the machine type with that name, or None if the catalogue does not have it."""
        return self._machine_types.get(name)

    def _boot_timeout_s(self, machine: Machine, now: Monotonic) -> float:
        """Return how long the machine may take to boot; infinite for an unknown type."""
        kind = self.type_of(machine.type)
        if kind is None:
            return math.inf
        return self.boot_times.boot_timeout_s((machine.type, machine.zone), kind.boot_s, now)

    def pending_rentals(self) -> list[Rental]:
        """Return the rentals that are requested and not answered."""
        return [request.rental for request in self.requests.values()]

    # -- renting --------------------------------------------------------------------------------

    def rent(self, rental: Rental, now: Monotonic) -> None:
        """Request machines of a kind, unless earlier requests for this kind are unanswered.

        While jobs arrive, every pass demands more machines. Sent one by one, these requests would
        use up the cloud's rate limit, although the first response already shows whether the kind
        is available. A rental above the limit of one request is split into several; each is sent
        once the previous one was granted in full. Waiting for another scheduling pass between
        them would take too long: 15 s for 160 machines.
        """
        kind = rental.kind
        if self.has_pending_request(kind) or self.intent_log.full:
            return
        parts: list[RentalRequest] = []
        for begin in range(0, rental.count, MAX_RENTED_PER_REQUEST):
            count = min(rental.count - begin, MAX_RENTED_PER_REQUEST)
            self._request_count += 1
            name = f"tr-{self._term}-{self._request_count}"
            parts.append(RentalRequest(name, Rental(*kind, count), now))
        self.requests.update((part.name, part) for part in parts)
        self._start_task(self._rent_in_parts(parts))

    def _start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task, which `close` cancels if it has not finished."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def has_pending_request(self, kind: Kind) -> bool:
        """Return whether a request for this kind is unanswered."""
        return any(request.rental.kind == kind for request in self.requests.values())

    def close(self) -> None:
        """Cancel the pending requests; their records remain for the next leader."""
        for task in self._tasks:
            task.cancel()

    async def _rent_in_parts(self, parts: list[RentalRequest]) -> None:
        while parts:
            part = parts.pop(0)
            if await self._rent(part) < part.rental.count:
                # The cloud has no more of this kind: the remaining requests would be refused.
                for unsent in parts:
                    del self.requests[unsent.name]
                return

    async def _wait_for_releases(self) -> None:
        """Wait up to `_MAX_RELEASE_WAIT_S` for pending releases, which free capacity for rentals.

        With a rate limit of 3 requests/s, 40 refused rental requests would otherwise delay the
        releases of 220 failed machines, whose capacity these rentals need.
        """
        deadline = monotonic_now() + _MAX_RELEASE_WAIT_S
        while monotonic_now() < deadline and any(
            m.releasing for m in self._fleet.machines.values()
        ):
            await asyncio.sleep(0.1)

    async def _rent(self, request: RentalRequest) -> int:
        """Record a rental and request it; return the number of machines rented."""
        await self._wait_for_releases()
        if self.intent_log.closed:
            del self.requests[request.name]
            return 0
        await self._await_record(request)
        return await self._request_until_answered(request)

    async def _request_until_answered(self, request: RentalRequest) -> int:
        """Repeat a rental request until it is answered; return the number of machines rented."""
        rental = request.rental
        kind = rental.kind
        while True:
            try:
                names = await self._cloud.rent(
                    request.name, *kind, rental.count, self.rent_duty.check
                )
                break
            except NotHolderError as error:
                # The record remains: this leader sends the request if its lease is renewed, and
                # the next leader does otherwise.
                log.debug("rental request not sent: name=%s error=%s", request.name, error)
                await asyncio.sleep(_RETRY_S)
            except NoCapacityError:
                names = []
                break
            except CloudError as error:
                log.debug("rental request failed: name=%s error=%s", request.name, error)
                await asyncio.sleep(_RETRY_S)
        del self.requests[request.name]
        now = monotonic_now()
        names = self._valid_names(names, rental.count)
        if names:
            self.intent_log.record_grant(request.name, names)
        else:
            self.intent_log.close_rental(request.name)
        self.rent_duty.record_action(
            f"{request.name}: {len(names)} of {rental.count} {rental.type}"
        )
        self.capacity_backoff.record_response(kind, rental.count, len(names), now)
        log.info(
            "rental %s: %d of %d %s in %s%s",
            request.name,
            len(names),
            rental.count,
            rental.type,
            rental.zone,
            ", spot" if rental.spot else "",
        )
        for name in names:
            self._add_rented_machine(name, rental, request.requested_at, rented_this_term=True)
        if names:
            self.granted(Rental(*kind, len(names)))
        self.changed()
        return len(names)

    async def _await_record(self, request: RentalRequest) -> None:
        """Return once the rental is recorded, or may be requested without a record.

        While the state service is unavailable nothing can be recorded. A leader whose lease the
        other members extend is then the only possible leader, and a rental ends no task, so it is
        safe to rent before the record is written; the write stays queued. Otherwise replacements
        would wait for the end of the outage (104 machines lost just before an outage of 25 s did).
        If this leader fails before the record is written, the next leader finds the machines in
        the cloud's list.
        """
        recording = self._start_task(self.intent_log.record_rental(request.name, request.rental))
        while not recording.done():
            await asyncio.wait({recording}, timeout=_RECORD_POLL_S)
            if self.rent_duty.state_service_unreachable() and self.rent_duty.valid():
                return

    @staticmethod
    def _valid_names(names: list[str], requested: int) -> list[str]:
        """Return the valid machine names of a rental response without duplicates.

        Machines beyond the requested number are kept: they are charged, and once known they are
        used or released. Invalid names are dropped: they can't be released, and if such a machine
        exists, the cloud's list shows it.
        """
        valid = list(dict.fromkeys(n for n in names if parse_machine_id(n) is not None))
        if len(valid) != len(names) or len(valid) > requested:
            log.warning(
                "rental response with unexpected names: requested=%d names=%d usable=%d",
                requested,
                len(names),
                len(valid),
            )
        return valid

    def registered(self, machine: Machine, now: Monotonic) -> None:
        """Record the boot time on a machine's first heartbeat, if it was rented in this term."""
        if machine.rented_this_term:
            self.boot_times.registered((machine.type, machine.zone), now - machine.rented_at, now)

    def _add_rented_machine(
        self, name: str, rental: Rental, rented_at: Monotonic, rented_this_term: bool = False
    ) -> None:
        machine_id = parse_machine_id(name)
        if machine_id is None or machine_id in self._fleet.terminated:
            return
        machine = self._fleet.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, rental.type, rental.zone, rental.spot, rented_at)
            self._fleet.machines[machine_id] = machine
        elif not machine.type:
            # Known only from the bindings of an earlier term, which have no type.
            self._fleet.set_kind(machine, rental.type, rental.zone, rental.spot)
        machine.rented_at = rented_at
        machine.rented_this_term = rented_this_term

    # -- takeover from earlier terms ------------------------------------------------------------

    def inherit(self, entries: Sequence[wire.Entry], now: Monotonic, wall: Wall) -> None:
        """Take over the open records of earlier terms; to be called before tasks are placed.

        Machines with a recorded release are marked `releasing` and get no tasks, because a release
        request for them may be in flight. The machines of answered rentals are added to the fleet;
        unanswered rentals are requested again.
        """
        for name in self.intent_log.read(entries):
            record = self.intent_log.open_rentals[name]
            rental = Rental(record.type, record.zone, record.spot, record.count)
            requested_at = Monotonic(now - max(0.0, wall - record.at))
            if record.names is not None:
                for machine in record.names:
                    self._add_rented_machine(machine, rental, requested_at)
                continue
            request = self.requests[name] = RentalRequest(name, rental, requested_at)
            self._start_task(self._request_until_answered(request))
        for names in self.intent_log.open_releases.values():
            for machine_id in names:
                inherited = self._fleet.machines.get(machine_id)
                if inherited is None:
                    inherited = Machine(machine_id, "", "", False, now)
                    self._fleet.machines[machine_id] = inherited
                inherited.releasing = inherited.release_recorded = True
        if entries:
            log.info(
                "cloud records taken over: term=%d rentals=%d releases=%d",
                self._term,
                len(self.intent_log.open_rentals),
                len(self.intent_log.open_releases),
            )

    # -- releasing ------------------------------------------------------------------------------

    async def run_release_recording(self) -> None:
        """Record the release of all machines marked `releasing`, in batches; never returns."""
        while True:
            to_release = [
                m for m in self._fleet.machines.values() if m.releasing and not m.release_recorded
            ][:MAX_RELEASED_PER_REQUEST]
            if not to_release or self.intent_log.full:
                await asyncio.sleep(_RELEASE_POLL_S)
                continue
            _, recorded = await self.intent_log.record_release([m.id for m in to_release])
            for machine_id in recorded:
                machine = self._fleet.machines.get(machine_id)
                if machine is not None:
                    machine.release_recorded = True

    async def run_release_requests(self) -> None:
        """Request the recorded releases until the cloud confirms them; never returns."""
        while True:
            keys, names = self._next_release()
            if not keys:
                await asyncio.sleep(_RELEASE_POLL_S)
                continue
            try:
                await self._cloud.release(names, self.release_duty.check)
            except (CloudError, NotHolderError) as error:
                log.debug("release request failed: machines=%s error=%s", names, error)
                await asyncio.sleep(_RETRY_S)
                continue
            log.info("machines released: machines=%s", ",".join(names))
            self.release_duty.record_action(f"{len(names)} machines")
            for key in keys:
                self.intent_log.confirm_release(key)
            for machine_id in names:
                self._on_machine_terminated(self._fleet.machines.get(machine_id))
                self._fleet.released(machine_id, monotonic_now())

    def _next_release(self) -> tuple[list[str], list[MachineId]]:
        """Return the keys and machines of the oldest records that fit into one request."""
        keys: list[str] = []
        names: list[MachineId] = []
        for key, machines in self.intent_log.open_releases.items():
            if len(names) + len(machines) > MAX_RELEASED_PER_REQUEST:
                break
            keys.append(key)
            names += machines
        return keys, names

    def _on_machine_terminated(self, machine: Machine | None) -> None:
        """Reset or shorten the capacity back-off of the kind of a machine that has gone.

        The capacity of a failed machine is available again and its replacement is needed, so the
        back-off ends. The release of an idle machine only shortens it: if each such release ended
        it, cheap kinds that the cloud refuses would be requested again and again before the
        expensive kinds that it has (this lowered the simulated scores of a busy and a calm day by
        0.02 and 0.03).
        """
        if machine is None or not machine.type:
            return
        if (
            machine.lease_expired
            or machine.failed_connects
            or machine.missing_from_lists
            or machine.listed_state == wire.MACHINE_FAILED
        ):
            self.capacity_backoff.clear(machine.kind)
        else:
            self.capacity_backoff.shorten(machine.kind)

    # -- machine list and catalogue -------------------------------------------------------------

    def _get_partitioned_zones(self) -> frozenset[str]:
        return self.partitioned_zones()

    def _on_machine_found(self) -> None:
        self.changed()

    def apply_list(self, listed: list[wire.ListedMachine], now: Monotonic) -> None:
        """Reconcile the machines and the rental records with the cloud's list."""
        self.machine_list.apply(listed, now)
        self._close_confirmed_rentals()

    def _close_confirmed_rentals(self) -> None:
        """Remove the records of rentals whose machines were all listed, contacted or dropped."""
        for name, record in list(self.intent_log.open_rentals.items()):
            if record.names is not None and not any(map(self._is_unconfirmed, record.names)):
                self.intent_log.close_rental(name)

    def _is_unconfirmed(self, name: str) -> bool:
        machine_id = parse_machine_id(name)
        machine = self._fleet.machines.get(machine_id) if machine_id is not None else None
        return machine is not None and machine.listed_at is None and machine.last_contact_at is None

    async def run_reconciliation(self) -> None:
        """Fetch the cloud's list and catalogue periodically; never returns."""
        catalogue_fetched_at: Monotonic | None = None
        while True:
            try:
                # With a catalogue known from before the term, tasks can be placed already, so the
                # machine list is fetched first.
                if self.catalogue is not None:
                    self.apply_list(await self._cloud.machines(), monotonic_now())
                if (
                    catalogue_fetched_at is None
                    or monotonic_now() - catalogue_fetched_at > _CATALOGUE_INTERVAL_S
                ):
                    had_catalogue = self.catalogue is not None
                    self.set_catalogue(await self._cloud.catalogue())
                    catalogue_fetched_at = monotonic_now()
                    self.changed()
                    if not had_catalogue:
                        continue
            except CloudError as error:
                log.debug("machine list or catalogue not fetched: error=%s", error)
                await asyncio.sleep(_RETRY_S)
                continue
            await asyncio.sleep(_LIST_INTERVAL_S)


def _price_ratios(offers: list[Offer]) -> dict[tuple[str, bool], float]:
    """Return the price per processor by type and spot flag, relative to the cheapest."""
    prices = {(o.type, o.spot): o.price / max(o.cpus, 1e-6) for o in offers}
    lowest = max(1e-9, min(prices.values(), default=1.0))
    return {kind: price / lowest for kind, price in prices.items()}
