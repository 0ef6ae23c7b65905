"""Renting and returning machines: requests under way, refusals, and the catalogue.

The wanted state is a number of machines of each kind and a set of machines to return; the loops in
here work off the difference. A request without an answer is repeated under its name until it gets
one, since a name that was answered 200 rents nothing more.

Nothing is asked for that is not recorded first (`fleet/intent_log.py`), and nothing leaves once the
term may be over: whoever leads next reads the records and goes on.
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
from tealrill.fleet.cloud import MOST_RELEASED, MOST_RENTED, Cloud, CloudError, NoCapacityError
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
_RECORD_LOOK_S: Final = 0.5
_RETURNS_EVERY_S: Final = 0.25
_RELEASES_FIRST_S: Final = 2.0
_LIST_EVERY_S: Final = 5.0
_CATALOGUE_EVERY_S: Final = 30.0


@dataclass(slots=True)
class Request:
    """A rental under way."""

    name: str
    rental: Rental
    since: Monotonic


class Provisioner:
    """Deals with the cloud for one term."""

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
        self._names = 0
        self.requests: dict[str, Request] = {}
        self.capacity_backoff = CapacityBackoff()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.catalogue: wire.Catalogue | None = None
        self.offers: list[Offer] = []
        """Every kind of machine in the catalogue."""
        self._types: dict[str, wire.MachineType] = {}
        self._ratios: dict[tuple[str, bool], float] = {}
        self.boots = BootTimeEstimator()
        self.partitioned_zones: Callable[[], frozenset[str]] = frozenset
        """Zones of which nothing is heard."""
        self.changed: Callable[[], None] = lambda: None
        self.machine_list = MachineListReconciler(
            fleet,
            list_lag_s,
            self._boot_timeout_s,
            self._unheard_zones,
            self._machine_found,
            self._on_machine_terminated,
        )
        self.granted: Callable[[Rental], None] = lambda _: None
        """So many machines of a kind were rented."""

    # -- what may be rented ---------------------------------------------------------------------

    def available(self, now: Monotonic) -> list[Offer]:
        """What was not refused a short while ago."""
        return [
            offer for offer in self.offers if not self.capacity_backoff.is_refused(offer.kind, now)
        ]

    def is_expensive(self, type_name: str, spot: bool, dear: float) -> bool:
        """Whether a kind of machine costs much more per processor than the cheapest."""
        return self._ratios.get((type_name, spot), 1.0) > dear

    def set_catalogue(self, catalogue: wire.Catalogue) -> None:
        """What the cloud has, at the prices of this moment."""
        self.catalogue = catalogue
        self._types = {kind.name: kind for kind in reversed(catalogue.types)}
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
        self._ratios = _price_ratios(self.offers)

    def type_of(self, name: str) -> wire.MachineType | None:
        """Return the machine type of that name, None if the catalogue lost it."""
        return self._types.get(name)

    def _boot_timeout_s(self, machine: Machine, now: Monotonic) -> float:
        """Return how long the machine may take to come up; no limit for an unknown type."""
        kind = self.type_of(machine.type)
        if kind is None:
            return math.inf
        return self.boots.boot_timeout_s((machine.type, machine.zone), kind.boot_s, now)

    def pending_rentals(self) -> list[Rental]:
        """Rentals asked for and not yet answered."""
        return [request.rental for request in self.requests.values()]

    # -- renting --------------------------------------------------------------------------------

    def rent(self, rental: Rental, now: Monotonic) -> None:
        """Asks for machines, in the fewest requests; no more of a kind until all are answered.

        While jobs arrive every moment brings another wish; asked for one by one, they would use
        up the cloud's rate on answers that the first one already brings. A wish for more than a
        request may bring goes out in several, each sent when the one before was granted in full:
        with a pass between them, 160 machines took 15 s.
        """
        kind = rental.kind
        if self.asked_for(kind) or self.intent_log.full:
            return
        parts: list[Request] = []
        for begin in range(0, rental.count, MOST_RENTED):
            count = min(rental.count - begin, MOST_RENTED)
            self._names += 1
            name = f"tr-{self._term}-{self._names}"
            parts.append(Request(name, Rental(*kind, count), now))
        self.requests.update((part.name, part) for part in parts)
        self._begin(self._rent_parts(parts))

    def _begin(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Goes on beside the others until it is done, or the term is over."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def asked_for(self, kind: Kind) -> bool:
        """Whether a request for this kind has not been answered yet."""
        return any(request.rental.kind == kind for request in self.requests.values())

    def close(self) -> None:
        """Cancel the requests under way; their records stay for the next leader."""
        for task in self._tasks:
            task.cancel()

    async def _rent_parts(self, parts: list[Request]) -> None:
        while parts:
            part = parts.pop(0)
            if await self._rent(part) < part.rental.count:
                # The cloud has no more of this kind: the rest would be asked for in vain.
                for rest in parts:
                    del self.requests[rest.name]
                return

    async def _releases_first(self) -> None:
        """Machines that go back make the places for those that are asked for.

        With 3 calls a second, 40 requests in vain went before the releases of 220 dead machines.
        """
        until = monotonic_now() + _RELEASES_FIRST_S
        while monotonic_now() < until and any(m.releasing for m in self._fleet.machines.values()):
            await asyncio.sleep(0.1)

    async def _rent(self, request: Request) -> int:
        """Records a rental and asks for it; how many were rented."""
        await self._releases_first()
        if self.intent_log.closed:
            del self.requests[request.name]
            return 0
        await self._record(request)
        return await self._ask(request)

    async def _ask(self, request: Request) -> int:
        """Asks until there is an answer; how many were rented."""
        rental = request.rental
        kind = rental.kind
        while True:
            try:
                names = await self._cloud.rent(
                    request.name, *kind, rental.count, self.rent_duty.check
                )
                break
            except NotHolderError as error:
                # The record stands: this term goes on, or the next leader asks for it.
                log.debug("rental not answered: name=%s error=%s", request.name, error)
                await asyncio.sleep(_RETRY_S)
            except NoCapacityError:
                names = []
                break
            except CloudError as error:
                log.debug("rental not answered: name=%s error=%s", request.name, error)
                await asyncio.sleep(_RETRY_S)
        del self.requests[request.name]
        now = monotonic_now()
        names = self._usable(names, rental.count)
        if names:
            self.intent_log.granted(request.name, names)
        else:
            self.intent_log.rent_over(request.name)
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
            self._add_rented_machine(name, rental, request.since, rented_this_term=True)
        if names:
            self.granted(Rental(*kind, len(names)))
        self.changed()
        return len(names)

    async def _record(self, request: Request) -> None:
        """Returns once the rental is recorded, or as soon as it may be asked for without.

        While the state service is away nothing can be recorded, and a leader that goes on by the
        others' promises is the only one there can be. Its rentals end no task, so they don't wait
        for the end of the outage (104 machines that were taken just before one of 25 s once did);
        the record follows. If this leader is lost before, the list shows what it rented.
        """
        recorded = self._begin(self.intent_log.rent(request.name, request.rental))
        while not recorded.done():
            await asyncio.wait({recorded}, timeout=_RECORD_LOOK_S)
            if self.rent_duty.state_service_unreachable() and self.rent_duty.valid():
                return

    @staticmethod
    def _usable(names: list[str], asked: int) -> list[str]:
        """What a rental brought, each machine once.

        Machines beyond what was asked for are kept too: they are charged, and known they are used
        or given back. A name that is none can't be released; the list shows it if it is a machine.
        """
        found = list(dict.fromkeys(n for n in names if parse_machine_id(n) is not None))
        if len(found) != len(names) or len(found) > asked:
            log.warning(
                "rental with unusable names: asked=%d names=%d usable=%d",
                asked,
                len(names),
                len(found),
            )
        return found

    def registered(self, machine: Machine, now: Monotonic) -> None:
        """A machine reports for the first time in this term."""
        if machine.rented_this_term:
            self.boots.registered((machine.type, machine.zone), now - machine.rented_at, now)

    def _add_rented_machine(
        self, name: str, rental: Rental, since: Monotonic, rented_this_term: bool = False
    ) -> None:
        machine_id = parse_machine_id(name)
        if machine_id is None or machine_id in self._fleet.terminated:
            return
        machine = self._fleet.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, rental.type, rental.zone, rental.spot, since)
            self._fleet.machines[machine_id] = machine
        elif not machine.type:
            # Known from a former leader's bindings only.
            self._fleet.set_kind(machine, rental.type, rental.zone, rental.spot)
        machine.rented_at = since
        machine.rented_this_term = rented_this_term

    # -- what former terms left open ------------------------------------------------------------

    def inherit(self, entries: Sequence[wire.Entry], now: Monotonic, wall: Wall) -> None:
        """Takes over what was recorded and is not over, before anything is placed.

        Machines under a recorded return are no room from here on: a request for them may be on its
        way. Rentals that were answered name their machines; the others are asked for again.
        """
        for name in self.intent_log.read(entries):
            record = self.intent_log.open_rentals[name]
            rental = Rental(record.type, record.zone, record.spot, record.count)
            since = Monotonic(now - max(0.0, wall - record.at))
            if record.names is not None:
                for machine in record.names:
                    self._add_rented_machine(machine, rental, since)
                continue
            request = self.requests[name] = Request(name, rental, since)
            self._begin(self._ask(request))
        for names in self.intent_log.open_releases.values():
            for machine_id in names:
                known = self._fleet.machines.get(machine_id)
                if known is None:
                    known = Machine(machine_id, "", "", False, now)
                    self._fleet.machines[machine_id] = known
                known.releasing = known.release_recorded = True
        if entries:
            log.info(
                "term %d: %d rentals and %d returns taken over",
                self._term,
                len(self.intent_log.open_rentals),
                len(self.intent_log.open_releases),
            )

    # -- returning ------------------------------------------------------------------------------

    async def run_release_recording(self) -> None:
        """Records the return of every machine marked `releasing`, as many at once as there are."""
        while True:
            wanted = [
                m for m in self._fleet.machines.values() if m.releasing and not m.release_recorded
            ][:MOST_RELEASED]
            if not wanted or self.intent_log.full:
                await asyncio.sleep(_RETURNS_EVERY_S)
                continue
            _, recorded = await self.intent_log.record_release([m.id for m in wanted])
            for machine_id in recorded:
                machine = self._fleet.machines.get(machine_id)
                if machine is not None:
                    machine.release_recorded = True

    async def run_release_requests(self) -> None:
        """Asks for the release of what is recorded, until it is confirmed."""
        while True:
            keys, names = self._next_release()
            if not keys:
                await asyncio.sleep(_RETURNS_EVERY_S)
                continue
            try:
                await self._cloud.release(names, self.release_duty.check)
            except (CloudError, NotHolderError) as error:
                log.debug("release not answered: machines=%s error=%s", names, error)
                await asyncio.sleep(_RETRY_S)
                continue
            log.info("machines released: machines=%s", ",".join(names))
            self.release_duty.record_action(f"{len(names)} machines")
            for key in keys:
                self.intent_log.terminated(key)
            for machine_id in names:
                self._on_machine_terminated(self._fleet.machines.get(machine_id))
                self._fleet.released(machine_id, monotonic_now())

    def _next_release(self) -> tuple[list[str], list[MachineId]]:
        """As many whole records as one request takes, the oldest first."""
        keys: list[str] = []
        names: list[MachineId] = []
        for key, machines in self.intent_log.open_releases.items():
            if len(names) + len(machines) > MOST_RELEASED:
                break
            keys.append(key)
            names += machines
        return keys, names

    def _on_machine_terminated(self, machine: Machine | None) -> None:
        """A machine has gone: the cloud may have places of its kind again.

        Of those that died it surely has, and they are wanted back. One that was given back since it
        had nothing to do only shortens a refusal: where every such return ended it, cheap kinds
        were asked for again and again before the dear ones that there were (a busy and a calm day
        with 0.02 and 0.03 less).
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

    # -- the list and the catalogue -------------------------------------------------------------

    def _unheard_zones(self) -> frozenset[str]:
        return self.partitioned_zones()

    def _machine_found(self) -> None:
        self.changed()

    def apply_list(self, listed: list[wire.ListedMachine], now: Monotonic) -> None:
        """Apply the cloud's list to the machines and to the records of rentals."""
        self.machine_list.apply(listed, now)
        self._drop_seen_rentals()

    def _drop_seen_rentals(self) -> None:
        """Remove the records of rentals whose machines are all known by themselves."""
        for name, record in list(self.intent_log.open_rentals.items()):
            if record.names is not None and not any(map(self._unseen, record.names)):
                self.intent_log.rent_over(name)

    def _unseen(self, name: str) -> bool:
        machine_id = parse_machine_id(name)
        machine = self._fleet.machines.get(machine_id) if machine_id is not None else None
        return machine is not None and machine.listed_at is None and machine.last_contact_at is None

    async def run_reconciliation(self) -> None:
        """Reconcile the machines with the cloud's list until the term ends."""
        fetched: Monotonic | None = None
        while True:
            try:
                # What the node knew before its term will do for placing; machines come first then.
                if self.catalogue is not None:
                    self.apply_list(await self._cloud.machines(), monotonic_now())
                if fetched is None or monotonic_now() - fetched > _CATALOGUE_EVERY_S:
                    known = self.catalogue is not None
                    self.set_catalogue(await self._cloud.catalogue())
                    fetched = monotonic_now()
                    self.changed()
                    if not known:
                        continue
            except CloudError as error:
                log.debug("cloud not read: error=%s", error)
                await asyncio.sleep(_RETRY_S)
                continue
            await asyncio.sleep(_LIST_EVERY_S)


def _price_ratios(offers: list[Offer]) -> dict[tuple[str, bool], float]:
    """What a processor costs on each kind of machine, against the cheapest kind."""
    prices = {(o.type, o.spot): o.price / max(o.cpus, 1e-6) for o in offers}
    lowest = max(1e-9, min(prices.values(), default=1.0))
    return {kind: price / lowest for kind, price in prices.items()}
