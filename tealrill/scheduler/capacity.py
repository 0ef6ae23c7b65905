"""Scale-out: decide which machines to rent. Not in the paper, whose set of machines is fixed.

Unplaced tasks are first allocated to machines that are booting and to capacity that running tasks
will release within about one boot time. For the rest machines are rented, cheapest per task first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass
from typing import Final

from tealrill.scheduler.free_capacity import FreeCapacity, availability
from tealrill.scheduler.model import JobView, Kind, MachineView, Policy
from tealrill.scheduler.reservation import slots
from tealrill.scheduler.zone_limits import ZoneLimits
from tealrill.types import Monotonic

__all__ = ["Kind", "Offer", "Rental", "rentals"]

_PRICE_TOLERANCE: Final = 1.2
"""Offers are about equally cheap up to this multiple of the lowest price per task."""


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that the cloud may have: a type in a zone, spot or on-demand."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    price: float
    boot_s: float
    fetch_gb_per_s: float

    @property
    def kind(self) -> Kind:
        """Return the type, zone and spot flag."""
        return self.type, self.zone, self.spot

    def allows(self, job: JobView) -> bool:
        """Return True if the job may run on such a machine."""
        return job.may_use(self.type, self.zone, self.spot)

    def slots(self, job: JobView) -> int:
        """Return the number of the job's tasks that fit on one such machine."""
        return slots(job, self.cpus, self.gpus, self.memory_gb)


@dataclass(frozen=True, slots=True)
class Rental:
    """A request for `count` machines of one kind."""

    type: str
    zone: str
    spot: bool
    count: int

    @property
    def kind(self) -> Kind:
        """Return the type, zone and spot flag."""
        return self.type, self.zone, self.spot


def _cpu_shares(
    job: JobView, kinds: Iterable[Kind], offer_by_type: dict[str, Offer]
) -> list[float | None]:
    """Return a task's share of each kind of machine, in processors; None where it may not run.

    Computed once per type, because it is the same in every zone, spot or on-demand.
    """
    share_by_type: dict[str, float] = {}
    shares: list[float | None] = []
    for kind in kinds:
        if not job.may_use(*kind):
            shares.append(None)
            continue
        if kind[0] not in share_by_type:
            share_by_type[kind[0]] = _cpu_share(job, offer_by_type[kind[0]])
        shares.append(share_by_type[kind[0]])
    return shares


def _cpu_share(job: JobView, offer: Offer) -> float:
    """Return a task's share of a machine, in processors; 0 if it needs nothing.

    The share is that of the resource of which the task takes the largest part.
    """
    share = 0.0
    for need, have in (
        (job.cpus, offer.cpus),
        (job.memory_gb, offer.memory_gb),
        (job.gpus, offer.gpus),
    ):
        if need > 0:
            share = max(share, need / have if have > 0 else 2.0)
    return share * max(offer.cpus, 1e-6)


def _price(offer: Offer, slots: int, left: int) -> float:
    """Return the price per task on a machine with room for `slots` of them.

    A machine that the `left` tasks fill only in part costs its full price, but others may use the
    rest of it: half of the empty part is charged to these tasks.
    """
    return offer.price / slots * (1 + 0.5 * max(0, slots - left) / slots)


def _choose(
    left: int, offers: list[tuple[Offer, int]], machine_counts: dict[tuple[str, str], int]
) -> Offer | None:
    """Return the smallest of the cheapest machines per task; None without offers.

    Large machines that are about as cheap are left to tasks that fit nowhere else. Among equal
    types, the zone with the fewest machines is preferred.
    """
    prices = [_price(offer, slots, left) for offer, slots in offers]
    limit = _PRICE_TOLERANCE * min(prices, default=0.0)
    cheapest = [offer for (offer, _), price in zip(offers, prices, strict=True) if price <= limit]
    return min(
        cheapest,
        key=lambda o: (o.cpus, machine_counts.get((o.type, o.zone), 0), o.type, o.zone),
        default=None,
    )


@dataclass(frozen=True, slots=True)
class _Demand:
    """The capacity that a job needs for its unplaced tasks."""

    job: JobView
    waiting: int
    wait_s: float
    """Capacity that becomes free within this time, in seconds, is as good as a new machine."""
    offers: list[tuple[Offer, int]]
    """Offers that may be rented for the job, with the number of its tasks that fit on one machine.
    A job without any is still allocated its part of the existing capacity."""
    other_offers: list[tuple[Offer, int]]
    """Offers for the zones in which the job needs machines and `offers` has none."""

    def offers_within(self, zone_limits: ZoneLimits) -> list[tuple[Offer, int]]:
        """Return the offers in the zones that may take another task."""
        if not zone_limits.is_limited:
            return self.offers
        for offers in (self.offers, self.other_offers):
            allowed = [(offer, slots) for offer, slots in offers if zone_limits.allows(offer.zone)]
            if allowed:
                return allowed
        return []


def _demands(
    unplaced: list[tuple[JobView, int]],
    catalogue: list[Offer],
    available: list[Offer],
    policy: Policy,
    affordable: Container[JobView],
) -> list[_Demand]:
    """Return the jobs to allocate, up to the last one for which anything may be rented.

    The jobs after that one can't change what is rented. (Without this limit, hundreds of such jobs
    were allocated twice a second while only expensive machines were available.)
    """
    available_set = frozenset(available)
    offered = [(offer, offer in available_set) for offer in catalogue]
    demands: list[_Demand] = []
    end = 0
    for job, waiting in unplaced:
        slots_by_type: dict[str, int] = {}
        fitting: list[tuple[Offer, bool, float]] = []
        has_zone_rules = job.has_zone_rules
        for offer, is_available in offered:
            if has_zone_rules and job.tasks_allowed_in_zone(offer.zone) <= 0:
                continue
            if offer.allows(job):
                if offer.type not in slots_by_type:
                    slots_by_type[offer.type] = offer.slots(job)
                if slots_by_type[offer.type] > 0:
                    fitting.append(
                        (offer, is_available, _price(offer, slots_by_type[offer.type], waiting))
                    )
        if not fitting:
            continue
        price_limit = policy.expensive_ratio * min(price for _, _, price in fitting)
        cheap = [
            (o, slots_by_type[o.type])
            for o, is_available, price in fitting
            if is_available and price <= price_limit
        ]
        wait_s = min(offer.boot_s for offer, _, _ in fitting)
        all_offers = [(o, slots_by_type[o.type]) for o, is_available, _ in fitting if is_available]
        offers = cheap or all_offers
        if not cheap and job in affordable:
            # Only expensive machines are available, and the job doesn't need them to meet its
            # deadline: any capacity that becomes free by its latest start is good enough.
            wait_s = max(wait_s, job.latest_start_s[0])
            offers = []
        demands.append(_Demand(job, waiting, wait_s, offers, all_offers if offers else []))
        if offers:
            end = len(demands)
    return demands[:end]


def rentals(
    unplaced: list[tuple[JobView, int]],
    machines: list[MachineView],
    catalogue: list[Offer],
    available: list[Offer],
    now: Monotonic,
    policy: Policy,
    affordable: Container[JobView] = (),
) -> list[Rental]:
    """Return the machines to rent for the unplaced tasks; `machines` include those that boot.

    `available` are the offers of the `catalogue` that the cloud has not refused recently. Machines
    much more expensive than the cheapest are rented only for jobs that are not in `affordable`,
    i.e. that the inexpensive machines don't finish by their deadline.
    """
    if not available or not unplaced:
        # Nothing can or needs to be rented, so the allocation would have no effect.
        return []
    demands = _demands(unplaced, catalogue, available, policy, affordable)
    if not demands:
        return []
    offer_by_type = {offer.type: offer for offer in catalogue}
    known_machines = [m for m in machines if m.type in offer_by_type]
    kinds = list({(m.type, m.zone, m.spot) for m in known_machines} | {o.kind for o in catalogue})
    all_shares = [_cpu_shares(demand.job, kinds, offer_by_type) for demand in demands]
    boot_ends = {Monotonic(now + offer.boot_s) for offer in catalogue}
    free_capacity = FreeCapacity(kinds, all_shares, boot_ends)
    for machine in known_machines:
        free_capacity.add((machine.type, machine.zone, machine.spot), availability(machine, now))
    machine_counts = Counter((machine.type, machine.zone) for machine in machines)
    rental_counts: dict[Offer, int] = {}
    for demand, shares in zip(demands, all_shares, strict=True):
        until = Monotonic(now + demand.wait_s)
        zone_limits = ZoneLimits(demand.job, kinds, shares, free_capacity)
        zone_limits.choose_zone(demand.waiting, {o.zone for o, _ in demand.offers}, until)
        left = demand.waiting - zone_limits.allocate(demand.waiting, until)
        while left > 0:
            offer = _choose(left, demand.offers_within(zone_limits), machine_counts)
            if offer is None:
                break
            machine_number = free_capacity.add(
                offer.kind, [(Monotonic(now + offer.boot_s), offer.cpus)]
            )
            until = Monotonic(now + max(demand.wait_s, offer.boot_s))
            allocated = zone_limits.allocate(left, until, machine_number)
            if allocated <= 0:
                break
            left -= allocated
            rental_counts[offer] = rental_counts.get(offer, 0) + 1
            machine_counts[offer.type, offer.zone] += 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in rental_counts.items()]
