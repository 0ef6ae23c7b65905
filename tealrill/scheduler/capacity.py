"""How large the fleet should be. The paper has a fixed machine; this part is ours.

Tasks that found no room are laid onto machines that boot and onto room that running tasks will
leave within about a boot time; what is left over is rented, cheapest per task first.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import Final

from tealrill.scheduler.model import JobView, MachineView, Policy
from tealrill.scheduler.reservation import slots
from tealrill.types import Steady

_SHORTEST_S: Final = 1.0
_NEAR: Final = 1.2


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


@dataclass(slots=True, eq=False)
class _Room:
    """Room that waiting tasks may count on, on a machine or on one about to be rented."""

    of: MachineView | Offer
    cpus: float
    memory_gb: float
    gpus: float
    free: list[tuple[Steady, float]]
    """Processors that come free, and when."""
    used_cpu_s: float = 0.0

    def lay(self, job: JobView, most: int, until: Steady) -> int:
        """Lays up to `most` tasks of the job here that can start by `until`; how many fitted.

        One processor may serve several tasks one after the other.
        """
        if most <= 0 or not self.of.allows(job):
            return 0
        need = self._need(job)
        if need <= 0:
            return most
        run_s = max(_SHORTEST_S, job.estimate_s)
        supply = 0.0
        for at, cpus in self.free:
            if at <= until:
                supply += cpus * (1 + (until - at) // run_s)
        laid = min(most, max(0, int((supply - self.used_cpu_s / run_s + 1e-6) // need)))
        self.used_cpu_s += laid * need * run_s
        return laid

    def _need(self, job: JobView) -> float:
        """The task's part of the machine, in processors; 0 if it takes none of it."""
        part = 0.0
        for need, have in (
            (job.cpus, self.cpus),
            (job.memory_gb, self.memory_gb),
            (job.gpus, self.gpus),
        ):
            if need > 0:
                part = max(part, need / have if have > 0 else 2.0)
        return part * max(self.cpus, 1e-6)


def _room(machine: MachineView, size: Offer, now: Steady) -> _Room:
    """A machine's free room now (or once it is up) and as its tasks end."""
    free = [(max(now, machine.ready_at), max(0.0, machine.cpus))]
    free += [(now if t.stopping else t.end_at, t.cpus) for t in machine.running]
    return _Room(machine, size.cpus, size.memory_gb, size.gpus, free)


def _new_room(offer: Offer, now: Steady) -> _Room:
    up_at = Steady(now + offer.boot_s)
    return _Room(offer, offer.cpus, offer.memory_gb, offer.gpus, [(up_at, offer.cpus)])


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
    sizes = {offer.type: offer for offer in catalogue}
    rooms = [_room(m, sizes[m.type], now) for m in machines if m.type in sizes]
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
        ready = [o for o in fitting if o in available]
        cheap = [o for o in ready if _price(job, waiting, o) <= policy.dear * lowest]
        wait_s = min(o.boot_s for o in fitting)
        if not cheap and job in affordable:
            # Only dear machines are to be had: room that comes by the latest start will do.
            wait_s = max(wait_s, job.latest_s[0])
        left = waiting
        for room in rooms:
            left -= room.lay(job, left, Steady(now + wait_s))
        if not cheap and job in affordable:
            continue
        while left > 0:
            offer = _choose(job, left, cheap or ready, counts)
            if offer is None:
                break
            room = _new_room(offer, now)
            laid = room.lay(job, left, Steady(now + max(wait_s, offer.boot_s)))
            if laid <= 0:
                break
            left -= laid
            rooms.append(room)
            wanted[offer] = wanted.get(offer, 0) + 1
            where = (offer.type, offer.zone)
            counts[where] = counts.get(where, 0) + 1
    return [Rental(o.type, o.zone, o.spot, count) for o, count in wanted.items()]
