"""How large the fleet should be. The paper has a fixed machine; this part is ours.

Tasks that found no room are laid onto machines that boot and onto room that running tasks will
leave within about a boot time; what is left over is rented, cheapest per task first.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass
from typing import Final

from tealrill.scheduler.model import JobView, MachineView, Policy
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
class _Room:
    """Room that waiting tasks may count on, on a machine or on one about to be rented."""

    kind: Kind
    free: list[tuple[Steady, float]]
    """Processors that come free, and when."""
    used_cpu_s: float = 0.0
    _until: float = math.nan
    _cpus: float = 0.0
    _cpu_s: float = 0.0
    """Processors that come free by `_until`, and their processor seconds from then to it."""

    def may_take(self, need: float, run_s: float, until: Steady) -> bool:
        """False if surely no task of `need` processors can be laid here any more.

        A processor that comes free serves at most one task more than fits into its time until
        `until`. Most rooms are full when the later jobs of a long queue are laid, and this takes a
        fraction of going through all tasks that end there.
        """
        if until != self._until:
            ends = [(at, cpus) for at, cpus in self.free if at <= until]
            self._cpus = sum(cpus for _, cpus in ends)
            self._cpu_s = sum(cpus * (until - at) for at, cpus in ends)
            self._until = until
        return self._cpus + (self._cpu_s - self.used_cpu_s) / run_s + _ROUNDED >= need

    def lay(self, need: float, run_s: float, most: int, until: Steady) -> int:
        """Lays up to `most` tasks here that can start by `until`; how many fitted.

        One processor may serve several tasks one after the other.
        """
        if not self.may_take(need, run_s, until):
            return 0
        supply = 0.0
        for at, cpus in self.free:
            if at <= until:
                supply += cpus * (1 + (until - at) // run_s)
        laid = min(most, max(0, int((supply - self.used_cpu_s / run_s + 1e-6) // need)))
        self.used_cpu_s += laid * need * run_s
        return laid


class _Needs:
    """A task's part of each kind of machine, in processors; None where it may not run.

    Asked for every room, so it is worked out once for a kind.
    """

    def __init__(self, job: JobView, sizes: dict[str, Offer]) -> None:
        self._job = job
        self._sizes = sizes
        self._known: dict[Kind, float | None] = {}

    def on(self, kind: Kind) -> float | None:
        if kind not in self._known:
            job, size = self._job, self._sizes[kind[0]]
            self._known[kind] = _part(job, size) if job.may_use(*kind) else None
        return self._known[kind]


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


def _lay(job: JobView, most: int, rooms: Iterable[_Room], needs: _Needs, until: Steady) -> int:
    """Lays up to `most` tasks of the job on the rooms; how many fitted."""
    run_s = max(_SHORTEST_S, job.estimate_s)
    left = most
    for room in rooms:
        if left <= 0:
            break
        need = needs.on(room.kind)
        if need is not None:
            left -= room.lay(need, run_s, left, until) if need > 0 else left
    return most - left


def _room(machine: MachineView, now: Steady) -> _Room:
    """A machine's free room now (or once it is up) and as its tasks end."""
    free = [(max(now, machine.ready_at), max(0.0, machine.cpus))]
    free += [(now if t.stopping else t.end_at(now), t.cpus) for t in machine.running]
    return _Room((machine.type, machine.zone, machine.spot), free)


def _new_room(offer: Offer, now: Steady) -> _Room:
    up_at = Steady(now + offer.boot_s)
    return _Room(offer.kind, [(up_at, offer.cpus)])


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
    at_hand = frozenset(available)
    sizes = {offer.type: offer for offer in catalogue}
    rooms = [_room(m, now) for m in machines if m.type in sizes]
    counts: dict[tuple[str, str], int] = {}
    for machine in machines:
        where = (machine.type, machine.zone)
        counts[where] = counts.get(where, 0) + 1
    wanted: dict[Offer, int] = {}
    for job, waiting in unplaced:
        fitting = [o for o in catalogue if o.allows(job) and o.slots(job) > 0]
        if not fitting:
            continue
        lowest = min(_price(job, waiting, o) for o in fitting)
        ready = [o for o in fitting if o in at_hand]
        cheap = [o for o in ready if _price(job, waiting, o) <= policy.dear * lowest]
        wait_s = min(o.boot_s for o in fitting)
        if not cheap and job in affordable:
            # Only dear machines are to be had: room that comes by the latest start will do.
            wait_s = max(wait_s, job.latest_s[0])
        needs = _Needs(job, sizes)
        left = waiting - _lay(job, waiting, rooms, needs, Steady(now + wait_s))
        if not cheap and job in affordable:
            continue
        while left > 0:
            offer = _choose(job, left, cheap or ready, counts)
            if offer is None:
                break
            room = _new_room(offer, now)
            laid = _lay(job, left, (room,), needs, Steady(now + max(wait_s, offer.boot_s)))
            if laid <= 0:
                break
            left -= laid
            rooms.append(room)
            wanted[offer] = wanted.get(offer, 0) + 1
            where = (offer.type, offer.zone)
            counts[where] = counts.get(where, 0) + 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in wanted.items()]
