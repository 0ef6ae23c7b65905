"""How large the fleet should be. The paper has a fixed machine; this part is ours.

Tasks that found no room are laid onto machines that boot and onto room that running tasks will
leave within about a boot time; what is left over is rented, cheapest per task first.
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
_ROUNDED: Final = 1e-4
"""More than what sums of some hundred decimal numbers are off by."""
_NEAR: Final = 1.2


Kind = tuple[str, str, bool]
"""Type, zone, spot."""


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of machine that the cloud may have: a type, in a zone, spot or ordinary."""

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
        return self.type, self.zone, self.spot

    def allows(self, job: JobView) -> bool:
        return job.may_use(self.type, self.zone, self.spot)

    def slots(self, job: JobView) -> int:
        """How many tasks of the job one such machine takes."""
        return slots(job, self.cpus, self.gpus, self.memory_gb)


@dataclass(frozen=True, slots=True)
class Rental:
    type: str
    zone: str
    spot: bool
    count: int

    @property
    def kind(self) -> Kind:
        return self.type, self.zone, self.spot


class _Horizon:
    """What all rooms have to give by one moment, a list entry a room."""

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
        self.used(len(self.cpus) - 1, 0.0, least)

    def used(self, number: int, used_cpu_s: float, least: float | None) -> None:
        """So much of a room is used, and no job takes less of it than `least` processors.

        A processor that comes free serves at most one task more than fits into its time until
        then: `run` seconds of each are had beside that time, less what is used.
        """
        if least is None:
            self.shortest_s[number] = math.inf
            return
        beside = self.cpus[number] + _ROUNDED - least
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
    """Room that waiting tasks may count on, on machines and on those about to be rented.

    Tasks are laid in the order of the rooms. Most are full when the later jobs of a long queue are
    laid. Gone through for every job, they were the dearest part of the leader's work in an
    overload, so of each it is kept how long a task must run to find a place there, and a room that
    can't serve a job costs one comparison.
    """

    def __init__(
        self,
        kinds: Sequence[Kind],
        jobs: Sequence[Sequence[float | None]],
        common: Container[Monotonic],
    ) -> None:
        """`kinds` of machines; `jobs`: of every job to be laid, its task's part of each of them, as
        `_parts` gives it. `common`: moments that many jobs ask for.
        (Kept for the moments of single jobs as well, what rooms have to give by each cost more than
        it saved.)"""
        self._common = common
        self._kinds = {kind: number for number, kind in enumerate(kinds)}
        self._least = [
            min((part for part in of_kind if part is not None), default=None)
            for of_kind in zip(*jobs, strict=True)
        ]
        """The least part that any of the jobs takes; None where none of them may run."""
        self._kind: list[int] = []
        self._free: list[Sequence[tuple[Monotonic, float]]] = []
        """Per room the processors that come free, and when."""
        self._used_cpu_s: list[float] = []
        self._horizons: dict[Monotonic, _Horizon] = {}
        self.looks = 0
        """Rooms looked at more closely than by a comparison."""

    def add(self, kind: Kind, free: Sequence[tuple[Monotonic, float]]) -> int:
        """Another room, behind the others; its number."""
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

    def lay(
        self,
        job: JobView,
        most: int,
        parts: Sequence[float | None],
        until: Monotonic,
        first: int = 0,
    ) -> int:
        """Lays up to `most` tasks of the job that can start by `until`; how many fitted.

        `parts` has a task's part of every kind of machine, see `_parts`. Only rooms from the number
        `first` on. One processor may serve several tasks one after the other.
        """
        run_s = max(_SHORTEST_S, job.estimate_s)
        horizon = self._horizon(until) if until in self._common else None
        shortest: Iterable[float] = repeat(0.0, len(self._kind) - first)
        if horizon is not None:
            shortest = horizon.shortest_s[first:] if first else horizon.shortest_s
        left = most
        for number, shortest_s in enumerate(shortest, first):
            if shortest_s > run_s:
                continue
            if left <= 0:
                break
            need = parts[self._kind[number]]
            if need is None:
                continue
            if need <= 0:
                return most
            self.looks += 1
            used = self._used_cpu_s[number] / run_s
            if horizon is None:
                supply = self._supply(number, run_s, until)
            elif horizon.longest_s[number] < run_s:
                supply = horizon.cpus[number]
            elif horizon.cpus[number] + horizon.cpu_s[number] / run_s - used + _ROUNDED < need:
                continue
            else:
                supply = self._supply(number, run_s, until)
            laid = min(left, int((supply - used + 1e-6) // need))
            if laid > 0:
                left -= laid
                self._use(number, laid * need * run_s)
        return most - left

    def _supply(self, number: int, run_s: float, until: Monotonic) -> float:
        """Processors for tasks of that length, those counted twice that serve two in turn."""
        supply = 0.0
        for at, cpus in self._free[number]:
            if at <= until:
                supply += cpus * (1 + (until - at) // run_s)
        return supply

    def _use(self, number: int, cpu_s: float) -> None:
        self._used_cpu_s[number] += cpu_s
        for horizon in self._horizons.values():
            horizon.used(number, self._used_cpu_s[number], self._least[self._kind[number]])


def _parts(job: JobView, kinds: Iterable[Kind], sizes: dict[str, Offer]) -> list[float | None]:
    """A task's part of each kind of machine, in processors; None where it may not run.

    Worked out once a type: it is the same in every zone, spot or not.
    """
    of_type: dict[str, float] = {}
    found: list[float | None] = []
    for kind in kinds:
        if not job.may_use(*kind):
            found.append(None)
            continue
        if kind[0] not in of_type:
            of_type[kind[0]] = _part(job, sizes[kind[0]])
        found.append(of_type[kind[0]])
    return found


def _part(job: JobView, size: Offer) -> float:
    """The task's part of a machine, in processors; 0 if it takes none of it."""
    part = 0.0
    for need, have in (
        (job.cpus, size.cpus),
        (job.memory_gb, size.memory_gb),
        (job.gpus, size.gpus),
    ):
        if need > 0:
            part = max(part, need / have if have > 0 else 2.0)
    return part * max(size.cpus, 1e-6)


def _free(machine: MachineView, now: Monotonic) -> list[tuple[Monotonic, float]]:
    """A machine's free processors now (or once it is up) and as its tasks end."""
    free = [(max(now, machine.ready_at), max(0.0, machine.cpus))]
    ends = ends_at(machine.running, now)
    free += [(end, task.cpus) for end, task in zip(ends, machine.running, strict=True)]
    return free


def _price(offer: Offer, slots: int, left: int) -> float:
    """The price of one task's place, of `slots` that such a machine has.

    A machine that the tasks fill only in part costs its full price, but others may use the rest
    of it: half of the empty part is charged to these tasks.
    """
    return offer.price / slots * (1 + 0.5 * max(0, slots - left) / slots)


def _choose(
    left: int, offers: list[tuple[Offer, int]], machines: dict[tuple[str, str], int]
) -> Offer | None:
    """The smallest machine among the cheapest per task; then the zone where we have the fewest.

    Large machines that are about as cheap are left to tasks that fit nowhere else.
    """
    prices = [_price(offer, slots, left) for offer, slots in offers]
    most = _NEAR * min(prices, default=0.0)
    near = [offer for (offer, _), price in zip(offers, prices, strict=True) if price <= most]
    return min(
        near,
        key=lambda o: (o.cpus, machines.get((o.type, o.zone), 0), o.type, o.zone),
        default=None,
    )


@dataclass(frozen=True, slots=True)
class _Demand:
    """A job with tasks that found no room."""

    job: JobView
    waiting: int
    wait_s: float
    """Room that comes within so long serves it as well as a new machine."""
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
    """The jobs to be laid, up to the last one for which anything may be rented.

    Those behind it would take room from nobody. (With only dear machines to be had, hundreds of
    jobs that need none were laid twice a second, for nothing.)
    """
    at_hand = frozenset(available)
    offered = [(offer, offer in at_hand) for offer in catalogue]
    wishes: list[_Demand] = []
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
        most = policy.dear * min(price for _, _, price in fitting)
        cheap = [(o, slots[o.type]) for o, ready, price in fitting if ready and price <= most]
        wait_s = min(offer.boot_s for offer, _, _ in fitting)
        offers = cheap or [(o, slots[o.type]) for o, ready, _ in fitting if ready]
        if not cheap and job in affordable:
            # Only dear machines are to be had: room that comes by the latest start will do.
            wait_s = max(wait_s, job.latest_s[0])
            offers = []
        wishes.append(_Demand(job, waiting, wait_s, offers))
        if offers:
            last = len(wishes)
    return wishes[:last]


def rentals(
    unplaced: list[tuple[JobView, int]],
    machines: list[MachineView],
    catalogue: list[Offer],
    available: list[Offer],
    now: Monotonic,
    policy: Policy,
    affordable: Container[JobView] = (),
) -> list[Rental]:
    """What to rent for the tasks that found no room; `machines` include those that boot.

    Of the `catalogue`, only what is `available` was not refused a short while ago. Machines much
    dearer than the cheapest are rented only for jobs that are not `affordable` without them.
    """
    if not available or not unplaced:
        # The fleet is as large as the cloud lets it be: what fits where makes no difference.
        return []
    wishes = _demands(unplaced, catalogue, available, policy, affordable)
    if not wishes:
        return []
    sizes = {offer.type: offer for offer in catalogue}
    known = [m for m in machines if m.type in sizes]
    kinds = list({(m.type, m.zone, m.spot) for m in known} | {o.kind for o in catalogue})
    all_parts = [_parts(wish.job, kinds, sizes) for wish in wishes]
    boots = {Monotonic(now + offer.boot_s) for offer in catalogue}
    rooms = FreeCapacity(kinds, all_parts, boots)
    for machine in known:
        rooms.add((machine.type, machine.zone, machine.spot), _free(machine, now))
    counts: dict[tuple[str, str], int] = {}
    for machine in machines:
        where = (machine.type, machine.zone)
        counts[where] = counts.get(where, 0) + 1
    wanted: dict[Offer, int] = {}
    for wish, parts in zip(wishes, all_parts, strict=True):
        job = wish.job
        left = wish.waiting - rooms.lay(job, wish.waiting, parts, Monotonic(now + wish.wait_s))
        while left > 0:
            offer = _choose(left, wish.offers, counts)
            if offer is None:
                break
            number = rooms.add(offer.kind, [(Monotonic(now + offer.boot_s), offer.cpus)])
            until = Monotonic(now + max(wish.wait_s, offer.boot_s))
            laid = rooms.lay(job, left, parts, until, number)
            if laid <= 0:
                break
            left -= laid
            wanted[offer] = wanted.get(offer, 0) + 1
            where = (offer.type, offer.zone)
            counts[where] = counts.get(where, 0) + 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in wanted.items()]
