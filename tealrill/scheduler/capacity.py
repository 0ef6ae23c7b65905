"""Scale-out: the machines to rent. The paper has a fixed machine; this part is ours.

Unplaced tasks are allocated to machines that boot and to capacity that running tasks will release
within about a boot time; for what is left over machines are rented, cheapest per task first.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass
from itertools import repeat
from typing import Final

from tealrill.scheduler.model import JobView, MachineView, Policy, ends_at
from tealrill.scheduler.reservation import slots
from tealrill.types import Monotonic

_SHORTEST_S: Final = 1.0
_ROUNDING: Final = 1e-4
"""Larger than the rounding error of sums of some hundred decimal numbers."""
_PRICE_TOLERANCE: Final = 1.2


Kind = tuple[str, str, bool]
"""Type, zone, spot."""


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


class _Horizon:
    """The capacity of all machines until one moment, one list entry per machine."""

    def __init__(self, until: Monotonic) -> None:
        self.until = until
        self.cpus: list[float] = []
        """Processors that come free by then."""
        self.cpu_s: list[float] = []
        """Their processor seconds from when they come free until then."""
        self.longest_s: list[float] = []
        """The time from when the first of them comes free."""
        self.shortest_s: list[float] = []
        """Tasks that run for less surely find no place there by then."""

    def add(self, free: Sequence[tuple[Monotonic, float]], least: float | None) -> None:
        cpus = cpu_s = longest_s = 0.0
        for at, count in free:
            if at <= self.until:
                cpus += count
                cpu_s += count * (self.until - at)
                longest_s = max(longest_s, self.until - at)
        self.cpus.append(cpus)
        self.cpu_s.append(cpu_s)
        self.longest_s.append(longest_s)
        self.shortest_s.append(0.0)
        self.update(len(self.cpus) - 1, 0.0, least)

    def update(self, number: int, used_cpu_s: float, least: float | None) -> None:
        """Update a machine's entry after `used_cpu_s` of it was allocated.

        No job takes less of it than `least` processors. A processor that comes free serves at most
        one task more than fits into its time until then: `run` seconds of each are available beside
        that time, less what is used.
        """
        if least is None:
            self.shortest_s[number] = math.inf
            return
        beside = self.cpus[number] + _ROUNDING - least
        missing = used_cpu_s - self.cpu_s[number]
        if least <= 0:
            shortest_s = 0.0
        elif missing > 0:
            shortest_s = missing / beside if beside > 0 else math.inf
        elif beside >= 0 or missing / beside >= _SHORTEST_S:
            shortest_s = 0.0
        else:
            # Not even one task fits beside, and no run is as short as the time until then.
            shortest_s = math.inf
        self.shortest_s[number] = shortest_s


class FreeCapacity:
    """Capacity for waiting tasks, on machines and on those about to be rented.

    Tasks are allocated in the order of the machines. Most are full when the later jobs of a long
    queue are allocated. Examined for every job, they were the most expensive part of the leader's
    work in an overload, so each keeps how long a task must run to find a place there, and a machine
    that can't serve a job costs one comparison.
    """

    def __init__(
        self,
        kinds: Sequence[Kind],
        jobs: Sequence[Sequence[float | None]],
        common: Container[Monotonic],
    ) -> None:
        """Prepare for the `kinds` of machines and the `jobs` to be allocated.

        `jobs` has for every job its task's share of each kind, as `_cpu_shares` returns it;
        `common` has the moments that many jobs ask for. (Kept for the moments of single jobs as
        well, the horizons cost more than they saved.)
        """
        self._common = common
        self._kinds = {kind: number for number, kind in enumerate(kinds)}
        self._least = [
            min((share for share in of_kind if share is not None), default=None)
            for of_kind in zip(*jobs, strict=True)
        ]
        """The smallest share that any of the jobs takes; None where none of them may run."""
        self._kind: list[int] = []
        self._free: list[Sequence[tuple[Monotonic, float]]] = []
        """Per machine the processors that come free, and when."""
        self._used_cpu_s: list[float] = []
        self._horizons: dict[Monotonic, _Horizon] = {}
        self.inspected = 0
        """Machines examined more closely than by a comparison."""

    def add(self, kind: Kind, free: Sequence[tuple[Monotonic, float]]) -> int:
        """Append a machine's capacity; return its number."""
        number = self._kinds[kind]
        self._kind.append(number)
        self._free.append(free)
        self._used_cpu_s.append(0.0)
        for horizon in self._horizons.values():
            horizon.add(free, self._least[number])
        return len(self._kind) - 1

    def _horizon(self, until: Monotonic) -> _Horizon:
        found = self._horizons.get(until)
        if found is None:
            found = self._horizons[until] = _Horizon(until)
            for free, kind in zip(self._free, self._kind, strict=True):
                found.add(free, self._least[kind])
        return found

    def allocate(
        self,
        job: JobView,
        limit: int,
        shares: Sequence[float | None],
        until: Monotonic,
        first: int = 0,
    ) -> int:
        """Allocate up to `limit` tasks that can start by `until`; return how many fitted.

        `shares` has a task's share of each kind of machine, see `_cpu_shares`. Only machines from
        number `first` on are used. One processor may serve several tasks one after the other.
        """
        run_s = max(_SHORTEST_S, job.estimate_s)
        horizon = self._horizon(until) if until in self._common else None
        shortest: Iterable[float] = repeat(0.0, len(self._kind) - first)
        if horizon is not None:
            shortest = horizon.shortest_s[first:] if first else horizon.shortest_s
        left = limit
        for number, shortest_s in enumerate(shortest, first):
            if shortest_s > run_s:
                continue
            if left <= 0:
                break
            need = shares[self._kind[number]]
            if need is None:
                continue
            if need <= 0:
                return limit
            self.inspected += 1
            allocated = min(left, self._fitting(number, need, run_s, until, horizon))
            if allocated > 0:
                left -= allocated
                self._use(number, allocated * need * run_s)
        return limit - left

    def _fitting(
        self, number: int, need: float, run_s: float, until: Monotonic, horizon: _Horizon | None
    ) -> int:
        """Return how many tasks of `need` processors a machine still takes; may be negative."""
        used_cpus = self._used_cpu_s[number] / run_s
        if horizon is not None and horizon.longest_s[number] < run_s:
            supply = horizon.cpus[number]
        elif (
            horizon is not None
            and horizon.cpus[number] + horizon.cpu_s[number] / run_s - used_cpus + _ROUNDING < need
        ):
            return 0
        else:
            supply = self._supply(number, run_s, until)
        return int((supply - used_cpus + 1e-6) // need)

    def _supply(self, number: int, run_s: float, until: Monotonic) -> float:
        """Return the processors for tasks of that length; one serving two in turn counts twice."""
        supply = 0.0
        for at, cpus in self._free[number]:
            if at <= until:
                supply += cpus * (1 + (until - at) // run_s)
        return supply

    def _use(self, number: int, cpu_s: float) -> None:
        self._used_cpu_s[number] += cpu_s
        for horizon in self._horizons.values():
            horizon.update(number, self._used_cpu_s[number], self._least[self._kind[number]])


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


def _free(machine: MachineView, now: Monotonic) -> list[tuple[Monotonic, float]]:
    """Return when a machine's processors come free: now (or once booted) and as tasks end."""
    free = [(max(now, machine.ready_at), max(0.0, machine.cpus))]
    ends = ends_at(machine.running, now)
    free += [(end, task.cpus) for end, task in zip(ends, machine.running, strict=True)]
    return free


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
    room in any case."""


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
        limit = policy.dear * min(price for _, _, price in fitting)
        cheap = [(o, slots[o.type]) for o, ready, price in fitting if ready and price <= limit]
        wait_s = min(offer.boot_s for offer, _, _ in fitting)
        offers = cheap or [(o, slots[o.type]) for o, ready, _ in fitting if ready]
        if not cheap and job in affordable:
            # Only expensive machines are available: capacity by the latest start will do.
            wait_s = max(wait_s, job.latest_s[0])
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
        free_capacity.add((machine.type, machine.zone, machine.spot), _free(machine, now))
    counts: dict[tuple[str, str], int] = {}
    for machine in machines:
        where = (machine.type, machine.zone)
        counts[where] = counts.get(where, 0) + 1
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
            where = (offer.type, offer.zone)
            counts[where] = counts.get(where, 0) + 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in wanted.items()]
