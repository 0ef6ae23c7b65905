"""How large the fleet should be. The paper has a fixed machine; this part is ours.

Tasks that found no room are laid onto machines that boot and onto room that running tasks will
leave within about a boot time; what is left over is rented, cheapest per task first.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass
from typing import Final

from tealrill.scheduler.model import JobView, MachineView, Policy, ends_at
from tealrill.scheduler.reservation import slots
from tealrill.types import Steady

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


@dataclass(slots=True, eq=False)
class Room:
    """Room that waiting tasks may count on, on a machine or on one about to be rented."""

    kind: Kind
    free: list[tuple[Steady, float]]
    """Processors that come free, and when."""
    used_cpu_s: float = 0.0

    def lay(self, need: float, run_s: float, most: int, until: Steady) -> int:
        """Lays up to `most` tasks here that can start by `until`; how many fitted.

        One processor may serve several tasks one after the other.
        """
        supply = 0.0
        for at, cpus in self.free:
            if at <= until:
                supply += cpus * (1 + (until - at) // run_s)
        laid = min(most, max(0, int((supply - self.used_cpu_s / run_s + 1e-6) // need)))
        self.used_cpu_s += laid * need * run_s
        return laid

    def by(self, until: Steady) -> tuple[float, float]:
        """Processors that come free by `until`, and their processor seconds from then to it."""
        cpus = cpu_s = 0.0
        for at, free in self.free:
            if at <= until:
                cpus += free
                cpu_s += free * (until - at)
        return cpus, cpu_s


class _Horizon:
    """What all rooms have to give by one moment."""

    def __init__(self, until: Steady) -> None:
        self.until = until
        self._cpus: list[float] = []
        self._cpu_s: list[float] = []
        self.shortest_s: list[float] = []
        """Per room: tasks that run for less surely find no place there by `until`."""

    def add(self, room: Room, least: float | None) -> None:
        cpus, cpu_s = room.by(self.until)
        self._cpus.append(cpus)
        self._cpu_s.append(cpu_s)
        self.shortest_s.append(0.0)
        self.used(len(self._cpus) - 1, room, least)

    def may_take(self, number: int, room: Room, need: float, run_s: float) -> bool:
        """False if surely no task of `need` processors that runs for `run_s` finds a place.

        A processor that comes free serves at most one task more than fits into its time until
        then: `run_s` seconds of each are had beside that time, less what is used.
        """
        beside = (self._cpu_s[number] - room.used_cpu_s) / run_s
        return self._cpus[number] + beside + _ROUNDED >= need

    def used(self, number: int, room: Room, least: float | None) -> None:
        """Tasks were laid in a room, of which no job takes less than `least` processors."""
        if least is None:
            self.shortest_s[number] = math.inf
            return
        beside = self._cpus[number] + _ROUNDED - least
        missing = room.used_cpu_s - self._cpu_s[number]
        if least <= 0:
            shortest_s = 0.0
        elif missing > 0:
            shortest_s = missing / beside if beside > 0 else math.inf
        elif beside >= 0 or -missing / -beside >= _SHORTEST_S:
            shortest_s = 0.0
        else:
            # Not even one task fits beside, and no run is as short as the time until then.
            shortest_s = math.inf
        self.shortest_s[number] = shortest_s


class Rooms:
    """All rooms, in the order in which tasks are laid on them.

    Most are full when the later jobs of a long queue are laid. Gone through for every job, they
    were the dearest part of the leader's work in an overload, so of each it is kept how long a task
    must run to find a place there, and a room that can't serve a job costs one comparison.
    """

    def __init__(self, rooms: list[Room], least: dict[Kind, float | None]) -> None:
        self._rooms = rooms
        self._least = least
        """The least part of each kind of machine that any of the jobs takes, in processors; None
        where none of them may run."""
        self._horizons: dict[Steady, _Horizon] = {}

    def add(self, room: Room) -> None:
        self._rooms.append(room)
        for horizon in self._horizons.values():
            horizon.add(room, self._least[room.kind])

    def _horizon(self, until: Steady) -> _Horizon:
        found = self._horizons.get(until)
        if found is None:
            found = self._horizons[until] = _Horizon(until)
            for room in self._rooms:
                found.add(room, self._least[room.kind])
        return found

    def lay(self, job: JobView, most: int, needs: _Needs, until: Steady) -> int:
        """Lays up to `most` tasks of the job; how many fitted."""
        run_s = max(_SHORTEST_S, job.estimate_s)
        left = most
        horizon = self._horizon(until)
        for number, shortest_s in enumerate(horizon.shortest_s):
            if shortest_s > run_s:
                continue
            if left <= 0:
                break
            room = self._rooms[number]
            need = needs.on(room.kind)
            if need is None or not horizon.may_take(number, room, need, run_s):
                continue
            laid = room.lay(need, run_s, left, until) if need > 0 else left
            if laid:
                left -= laid
                for other in self._horizons.values():
                    other.used(number, room, self._least[room.kind])
        return most - left


class _Needs:
    """A task's part of each kind of machine, in processors; None where it may not run.

    Asked for every room, so it is worked out once for a kind.
    """

    def __init__(self, job: JobView, sizes: dict[str, Offer]) -> None:
        self._job = job
        self._sizes = sizes
        self._parts: dict[str, float] = {}
        self._known: dict[Kind, float | None] = {}

    def on(self, kind: Kind) -> float | None:
        if kind not in self._known:
            self._known[kind] = self._part(kind[0]) if self._job.may_use(*kind) else None
        return self._known[kind]

    def _part(self, type_name: str) -> float:
        part = self._parts.get(type_name)
        if part is None:
            part = self._parts[type_name] = _part(self._job, self._sizes[type_name])
        return part


def _least(needs: Iterable[_Needs], kind: Kind) -> float | None:
    parts = [part for job in needs if (part := job.on(kind)) is not None]
    return min(parts, default=None)


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


def _room(machine: MachineView, now: Steady) -> Room:
    """A machine's free room now (or once it is up) and as its tasks end."""
    free = [(max(now, machine.ready_at), max(0.0, machine.cpus))]
    ends = ends_at(machine.running, now)
    free += [(end, task.cpus) for end, task in zip(ends, machine.running, strict=True)]
    return Room((machine.type, machine.zone, machine.spot), free)


def _new_room(offer: Offer, now: Steady) -> Room:
    up_at = Steady(now + offer.boot_s)
    return Room(offer.kind, [(up_at, offer.cpus)])


def _price(job: JobView, left: int, offer: Offer) -> float:
    """The price of one task's place.

    A machine that the tasks fill only in part costs its full price, but others may use the rest
    of it: half of the empty part is charged to these tasks.
    """
    slots = offer.slots(job)
    return offer.price / slots * (1 + 0.5 * max(0, slots - left) / slots)


def _choose(
    job: JobView, left: int, offers: list[Offer], machines: dict[tuple[str, str], int]
) -> Offer | None:
    """The smallest machine among the cheapest per task; then the zone where we have the fewest.

    Large machines that are about as cheap are left to tasks that fit nowhere else.
    """
    if not offers:
        return None
    lowest = min(_price(job, left, o) for o in offers)
    near = [o for o in offers if _price(job, left, o) <= _NEAR * lowest]
    return min(near, key=lambda o: (o.cpus, machines.get((o.type, o.zone), 0), o.type, o.zone))


@dataclass(frozen=True, slots=True)
class _Wish:
    """A job with tasks that found no room."""

    job: JobView
    waiting: int
    wait_s: float
    """Room that comes within so long serves it as well as a new machine."""
    offers: list[Offer]
    """What may be rented for it; its tasks take their part of the room in any case."""


def _wishes(
    unplaced: list[tuple[JobView, int]],
    catalogue: list[Offer],
    available: list[Offer],
    policy: Policy,
    affordable: Container[JobView],
) -> list[_Wish]:
    """The jobs to be laid, up to the last one for which anything may be rented.

    Those behind it would take room from nobody. (With only dear machines to be had, hundreds of
    jobs that need none were laid twice a second, for nothing.)
    """
    at_hand = frozenset(available)
    offered = [(offer, offer in at_hand) for offer in catalogue]
    wishes: list[_Wish] = []
    last = 0
    for job, waiting in unplaced:
        prices: dict[tuple[str, float], float | None] = {}
        """Kinds in several zones cost the same, and then their price is worked out once."""
        fitting: list[tuple[Offer, bool, float]] = []
        for offer, ready in offered:
            if not offer.allows(job):
                continue
            alike = offer.type, offer.price
            if alike not in prices:
                prices[alike] = _price(job, waiting, offer) if offer.slots(job) > 0 else None
            price = prices[alike]
            if price is not None:
                fitting.append((offer, ready, price))
        if not fitting:
            continue
        most = policy.dear * min(price for _, _, price in fitting)
        cheap = [offer for offer, ready, price in fitting if ready and price <= most]
        wait_s = min(offer.boot_s for offer, _, _ in fitting)
        offers = cheap or [offer for offer, ready, _ in fitting if ready]
        if not cheap and job in affordable:
            # Only dear machines are to be had: room that comes by the latest start will do.
            wait_s = max(wait_s, job.latest_s[0])
            offers = []
        wishes.append(_Wish(job, waiting, wait_s, offers))
        if offers:
            last = len(wishes)
    return wishes[:last]


def rentals(
    unplaced: list[tuple[JobView, int]],
    machines: list[MachineView],
    catalogue: list[Offer],
    available: list[Offer],
    now: Steady,
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
    wishes = _wishes(unplaced, catalogue, available, policy, affordable)
    if not wishes:
        return []
    sizes = {offer.type: offer for offer in catalogue}
    found = [_room(m, now) for m in machines if m.type in sizes]
    kinds = {room.kind for room in found} | {offer.kind for offer in catalogue}
    all_needs = [_Needs(wish.job, sizes) for wish in wishes]
    rooms = Rooms(found, {kind: _least(all_needs, kind) for kind in kinds})
    counts: dict[tuple[str, str], int] = {}
    for machine in machines:
        where = (machine.type, machine.zone)
        counts[where] = counts.get(where, 0) + 1
    wanted: dict[Offer, int] = {}
    for wish, needs in zip(wishes, all_needs, strict=True):
        job = wish.job
        left = wish.waiting - rooms.lay(job, wish.waiting, needs, Steady(now + wish.wait_s))
        run_s = max(_SHORTEST_S, job.estimate_s)
        while left > 0:
            offer = _choose(job, left, wish.offers, counts)
            if offer is None:
                break
            room = _new_room(offer, now)
            need = needs.on(offer.kind)
            if need is None:
                break
            until = Steady(now + max(wish.wait_s, offer.boot_s))
            laid = room.lay(need, run_s, left, until) if need > 0 else left
            if laid <= 0:
                break
            left -= laid
            rooms.add(room)
            wanted[offer] = wanted.get(offer, 0) + 1
            where = (offer.type, offer.zone)
            counts[where] = counts.get(where, 0) + 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in wanted.items()]
