"""Scale-out: the machines to rent. The paper has a fixed machine; this part is ours.

Unplaced tasks are allocated to machines that boot and to capacity that running tasks will release
within about a boot time; for what is left over machines are rented, cheapest per task first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass
from typing import Final

from tealrill.scheduler.free_capacity import FreeCapacity, coming_free
from tealrill.scheduler.model import JobView, Kind, MachineView, Policy
from tealrill.scheduler.reservation import slots
from tealrill.types import Monotonic

__all__ = ["Kind", "Offer", "Rental", "rentals"]

_PRICE_TOLERANCE: Final = 1.2


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
        """Return whether the job may run on such a machine."""
        return job.may_use(self.type, self.zone, self.spot)

    def slots(self, job: JobView) -> int:
        """Return how many tasks of the job one such machine takes."""
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


def _cpu_shares(job: JobView, kinds: Iterable[Kind], sizes: dict[str, Offer]) -> list[float | None]:
    """Return a task's share of each kind of machine, in processors; None where not allowed.

    Computed once per type: it is the same in every zone, spot or on-demand.
    """
    of_type: dict[str, float] = {}
    found: list[float | None] = []
    for kind in kinds:
        if not job.may_use(*kind):
            found.append(None)
            continue
        if kind[0] not in of_type:
            of_type[kind[0]] = _cpu_share(job, sizes[kind[0]])
        found.append(of_type[kind[0]])
    return found


def _cpu_share(job: JobView, size: Offer) -> float:
    """Return a task's share of a machine, in processors; 0 if it takes none of it."""
    share = 0.0
    for need, have in (
        (job.cpus, size.cpus),
        (job.memory_gb, size.memory_gb),
        (job.gpus, size.gpus),
    ):
        if need > 0:
            share = max(share, need / have if have > 0 else 2.0)
    return share * max(size.cpus, 1e-6)


def _price(offer: Offer, slots: int, left: int) -> float:
    """Return the price of one task on a machine that has `slots` of them.

    A machine that the tasks fill only in part costs its full price, but others may use the rest
    of it: half of the empty part is charged to these tasks.
    """
    return offer.price / slots * (1 + 0.5 * max(0, slots - left) / slots)


def _choose(
    left: int, offers: list[tuple[Offer, int]], machines: dict[tuple[str, str], int]
) -> Offer | None:
    """Choose the smallest of the cheapest machines per task; ties go to the zone with fewest.

    Large machines that are about as cheap are left to tasks that fit nowhere else.
    """
    prices = [_price(offer, slots, left) for offer, slots in offers]
    limit = _PRICE_TOLERANCE * min(prices, default=0.0)
    near = [offer for (offer, _), price in zip(offers, prices, strict=True) if price <= limit]
    return min(
        near,
        key=lambda o: (o.cpus, machines.get((o.type, o.zone), 0), o.type, o.zone),
        default=None,
    )


@dataclass(frozen=True, slots=True)
class _Demand:
    """The capacity that a job needs for its unplaced tasks."""

    job: JobView
    waiting: int
    wait_s: float
    """Capacity that comes within so long serves it as well as a new machine."""
    offers: list[tuple[Offer, int]]
    """What may be rented for it, and how many of its tasks one takes; they take their part of the
    capacity in any case."""


def _demands(
    unplaced: list[tuple[JobView, int]],
    catalogue: list[Offer],
    available: list[Offer],
    policy: Policy,
    affordable: Container[JobView],
) -> list[_Demand]:
    """Return the jobs to allocate, up to the last one for which anything may be rented.

    Those behind it would take capacity from nobody. (With only expensive machines available,
    hundreds of jobs that need none were allocated twice a second, for nothing.)
    """
    available_set = frozenset(available)
    offered = [(offer, offer in available_set) for offer in catalogue]
    demands: list[_Demand] = []
    last = 0
    for job, waiting in unplaced:
        slots: dict[str, int] = {}
        fitting: list[tuple[Offer, bool, float]] = []
        for offer, ready in offered:
            if offer.allows(job):
                if offer.type not in slots:
                    slots[offer.type] = offer.slots(job)
                if slots[offer.type] > 0:
                    fitting.append((offer, ready, _price(offer, slots[offer.type], waiting)))
        if not fitting:
            continue
        limit = policy.expensive_ratio * min(price for _, _, price in fitting)
        cheap = [(o, slots[o.type]) for o, ready, price in fitting if ready and price <= limit]
        wait_s = min(offer.boot_s for offer, _, _ in fitting)
        offers = cheap or [(o, slots[o.type]) for o, ready, _ in fitting if ready]
        if not cheap and job in affordable:
            # Only expensive machines are available: capacity by the latest start will do.
            wait_s = max(wait_s, job.latest_start_s[0])
            offers = []
        demands.append(_Demand(job, waiting, wait_s, offers))
        if offers:
            last = len(demands)
    return demands[:last]


def rentals(
    unplaced: list[tuple[JobView, int]],
    machines: list[MachineView],
    catalogue: list[Offer],
    available: list[Offer],
    now: Monotonic,
    policy: Policy,
    affordable: Container[JobView] = (),
) -> list[Rental]:
    """Return what to rent for the unplaced tasks; `machines` include those that boot.

    Of the `catalogue`, only what is `available` was not refused a short while ago. Machines much
    more expensive than the cheapest are rented only for jobs that are not `affordable` without.
    """
    if not available or not unplaced:
        # The fleet is as large as the cloud lets it be: what fits where makes no difference.
        return []
    demands = _demands(unplaced, catalogue, available, policy, affordable)
    if not demands:
        return []
    sizes = {offer.type: offer for offer in catalogue}
    known = [m for m in machines if m.type in sizes]
    kinds = list({(m.type, m.zone, m.spot) for m in known} | {o.kind for o in catalogue})
    all_shares = [_cpu_shares(demand.job, kinds, sizes) for demand in demands]
    boot_ends = {Monotonic(now + offer.boot_s) for offer in catalogue}
    free_capacity = FreeCapacity(kinds, all_shares, boot_ends)
    for machine in known:
        free_capacity.add((machine.type, machine.zone, machine.spot), coming_free(machine, now))
    counts = Counter((machine.type, machine.zone) for machine in machines)
    wanted: dict[Offer, int] = {}
    for demand, shares in zip(demands, all_shares, strict=True):
        job = demand.job
        left = demand.waiting - free_capacity.allocate(
            job, demand.waiting, shares, Monotonic(now + demand.wait_s)
        )
        while left > 0:
            offer = _choose(left, demand.offers, counts)
            if offer is None:
                break
            number = free_capacity.add(offer.kind, [(Monotonic(now + offer.boot_s), offer.cpus)])
            until = Monotonic(now + max(demand.wait_s, offer.boot_s))
            allocated = free_capacity.allocate(job, left, shares, until, number)
            if allocated <= 0:
                break
            left -= allocated
            wanted[offer] = wanted.get(offer, 0) + 1
            counts[offer.type, offer.zone] += 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in wanted.items()]
