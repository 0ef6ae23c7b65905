"""Mass failures: the leader's scheduling passes against a model of workers and a cloud.

The model keeps the real state (running tasks, leases, rented machines) apart from what the leader
knows, and advances in steps of one second. It uses no sockets and no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tealrill import settings as daemon_settings
from tealrill import wire
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.dispatch import SchedulingLoop
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.prober import Prober
from tealrill.fleet.provisioning import Provisioner
from tealrill.scheduler import failure_detector
from tealrill.scheduler.capacity import Rental
from tealrill.scheduler.estimates import Estimates
from tealrill.scheduler.failure_detector import Suspicion
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Monotonic, Revision, Wall
from tests.samples import SETTINGS, recorded_at_once, spec

_BOOT_S, _LEASE_S, _RUN_S = 12, 8.0, 15
_PLACES = 20
"""Spot capacity of the cloud in each of two zones, in machines."""
_CATALOGUE = {"builds": [{
    "label": "big", "vcpus": 8, "gpus": 0, "memoryGb": 64, "localGb": 50, "fetchGbPerS": 1.0,
    "price": 1.0, "marketPrice": 0.4, "startupS": _BOOT_S, "halls": ["north", "south"],
}]}  # fmt: skip


@dataclass
class _Worker:
    """The real state of a machine, as opposed to what the leader knows of it."""

    name: MachineId
    zone: str
    spot: bool
    up_at: float
    dead: bool = False
    taken: bool = False
    hung_until: float = 0.0
    renewed_at: float | None = None
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    tasks: dict[tuple[str, int], float] = field(default_factory=dict)
    """End times of the running tasks, by task and attempt."""
    done: set[tuple[str, int]] = field(default_factory=set)


class _Cloud(Provisioner):
    """Grants rentals at once within its capacity; failed machines occupy theirs until released."""

    def __init__(self, world: _World) -> None:
        super().__init__(
            cast(Cloud, None), world.fleet, FencingToken(world.term), 1.0, *recorded_at_once()
        )
        self._world = world

    def rent(self, rental: Rental, now: Monotonic) -> None:
        kind = (rental.type, rental.zone, rental.spot)
        names = self._world.rent(rental, now)
        self.capacity_backoff.record_response(kind, rental.count, len(names), now)
        for name in names:
            self._add_rented_machine(name, rental, now)
        if names:
            self.granted(Rental(*kind, len(names)))


class _World:
    def __init__(self, jobs: int = 5) -> None:
        self.now = 0.0
        self.term = 0
        self.workers: dict[MachineId, _Worker] = {}
        self.cut: set[str] = set()
        self.inbound_partitioned = False
        self.refuses = False
        self.one_at_a_time = False
        self.state_away = False
        self.made = 0
        self.submitted = 0
        self.lists: list[list[wire.ListedMachine]] = [[]]
        self.job_store = JobStore(8.0)
        self.elect()
        for _ in range(jobs):
            self.submit()

    # -- elections and jobs ---------------------------------------------------------------------

    def elect(self) -> None:
        """Replace the leader by a new one that has only the jobs and the committed bindings."""
        params = daemon_settings.parse(orjson.dumps(SETTINGS)).params
        self.term += 1
        former, self.job_store = self.job_store, JobStore(8.0)
        now = Monotonic(self.now)
        self.fleet = Fleet(self.job_store, FencingToken(self.term), now, _LEASE_S)
        bindings = []
        for job in former.jobs.values():
            taken = self.job_store.add(job.spec, Wall(self.now), Revision(1))
            for chunk in job.chunks.values():
                if chunk.committed:
                    value = orjson.loads(orjson.dumps(former.value(chunk)))
                    bindings += self.job_store.load(taken, chunk.number, value, Revision(1))
        self.fleet.inherit(bindings, now)
        self.provisioner = _Cloud(self)
        self.provisioner.set_catalogue(wire.decode(orjson.dumps(_CATALOGUE), wire.Catalogue))
        self.scheduling_loop = SchedulingLoop(
            self.job_store, self.fleet, self.provisioner, Estimates(), params, lambda _: None
        )
        self.prober = Prober(self.fleet, params.workers.heartbeat_interval_s, lambda: 1000)
        prober = self.prober
        self.scheduling_loop.diagnosis = lambda: prober.diagnosis

    def submit(self) -> None:
        self.submitted += 1
        changes: dict[str, Any] = {"id": f"wk-{self.submitted:06d}", "pieces": 20, "vcpus": 4.0}
        # Without a deadline only waiting tasks and lost capacity demand machines.
        changes.update(guessS=float(_RUN_S), dueS=None, lineup="train", crew="blue")
        self.job_store.add(spec(**changes), Wall(self.now), Revision(1))

    # -- the cloud ------------------------------------------------------------------------------

    def rent(self, rental: Rental, now: Monotonic) -> list[str]:
        held = [w for w in self.workers.values() if w.zone == rental.zone and not w.taken]
        places = 0 if self.refuses or not rental.spot else _PLACES - len(held)
        if self.one_at_a_time:
            places = min(1, places)
        names = []
        for _ in range(min(rental.count, max(0, places))):
            self.made += 1
            name = MachineId(f"m-{self.made:06d}")
            self.workers[name] = _Worker(name, rental.zone, rental.spot, now + _BOOT_S)
            names.append(str(name))
        return names

    def _list(self) -> None:
        self.lists.append(
            [
                wire.ListedMachine(
                    id=str(w.name), addr="127.0.0.1:9000", type="big", zone=w.zone,
                    spot=w.spot,
                    state="starting" if self.now < w.up_at else "running",
                )
                for w in self.workers.values() if not w.taken
            ]
        )  # fmt: skip
        if int(self.now) % 3 == 0:
            self.provisioner.apply_list(
                self.lists[max(0, len(self.lists) - 3)], Monotonic(self.now)
            )

    def _releases(self) -> None:
        for machine in [m for m in self.fleet.machines.values() if m.releasing]:
            self.workers.pop(machine.id, None)
            self.provisioner._on_machine_terminated(machine)
            self.fleet.released(machine.id, Monotonic(self.now))

    # -- workers --------------------------------------------------------------------------------

    def _runs(self, worker: _Worker) -> None:
        for key in [k for k, end in worker.tasks.items() if end <= self.now]:
            del worker.tasks[key]
            worker.done.add(key)

    def _lapses(self, worker: _Worker) -> None:
        since = worker.renewed_at if worker.renewed_at is not None else worker.up_at
        if self.now - since > _LEASE_S:
            worker.tasks.clear()
            worker.done.clear()
            worker.incarnation, worker.renewed_at, worker.up_at = (
                worker.incarnation + 1,
                None,
                self.now,
            )

    def _reports(self, worker: _Worker) -> None:
        worker.sequence += 1
        lines = [
            wire.TaskStatus(task=task, attempt=attempt, state=state, why=why)  # type: ignore[arg-type]
            for keys, state, why in (
                (worker.tasks, "running", None),
                (worker.done, "ended", "done"),
            )
            for task, attempt in keys
        ]
        heard = wire.Heartbeat(
            machine=str(worker.name), addr="127.0.0.1:9000", type="big", zone=worker.zone,
            spot=worker.spot, incarnation=worker.incarnation, sequence=worker.sequence,
            token=worker.token, tasks=lines,
        )  # fmt: skip
        now = Monotonic(self.now)
        commands = self.fleet.heartbeats.process(heard, worker.name, now, Wall(self.now))
        if commands is None:
            return
        worker.renewed_at, worker.token = self.now, self.term
        for command in commands:
            key = (str(command["piece"]), int(cast(int, command["try"])))
            if command["verb"] == "run" and key not in worker.tasks and key not in worker.done:
                self._starts(worker, key)
            elif command["verb"] == "halt":
                worker.tasks.pop(key, None)
            elif command["verb"] == "clear":
                worker.done.discard(key)

    def _starts(self, worker: _Worker, key: tuple[str, int]) -> None:
        for other in self.workers.values():
            if other is not worker and not other.dead and not other.taken:
                assert all(task != key[0] for task, _ in other.tasks), f"{key[0]} runs twice"
        worker.tasks[key] = self.now + _RUN_S

    def heard(self, worker: _Worker) -> bool:
        return not (
            worker.dead or worker.taken or self.now < worker.up_at or self.now < worker.hung_until
            or worker.zone in self.cut or self.inbound_partitioned
        )  # fmt: skip

    # -- time -----------------------------------------------------------------------------------

    def step(self) -> None:
        self.now += 1.0
        for worker in list(self.workers.values()):
            if worker.dead or worker.taken or self.now < worker.up_at:
                continue
            # A machine that hangs past its lease does not resume its tasks.
            self._lapses(worker)
            if self.now >= worker.hung_until:
                self._runs(worker)
            if self.heard(worker):
                self._reports(worker)
        now = Monotonic(self.now)
        self.fleet.leases.expire_leases(now)
        for machine in self.prober.evaluate(now):
            there = self.workers.get(machine.id)
            reached = there is not None and not (
                there.dead or there.taken or self.inbound_partitioned
            )
            self.prober.record_probe(
                machine, reached and there is not None and there.zone not in self.cut
            )
        self._list()
        self.scheduling_loop.run(now, Wall(self.now))
        self._commits()
        self._releases()

    def _commits(self) -> None:
        if self.state_away:
            return
        for chunk in [*self.job_store.urgent_chunks, *self.job_store.deferred_chunks]:
            chunk.committed, chunk.new_bindings = chunk.version, 0
        self.job_store.urgent_chunks.clear()
        self.job_store.deferred_chunks.clear()
        for job in list(self.job_store.jobs.values()):
            if job.complete:
                self.job_store.ended(job)
                self.submit()

    def play(self, seconds: int) -> int:
        """Run for some seconds and return the maximum of `used` in the last 20 s.

        The maximum, because jobs come and go in waves.
        """
        used = [0]
        for _ in range(seconds):
            self.step()
            used.append(self.used())
        return max(used[-20:])

    # -- observation ----------------------------------------------------------------------------

    def standing(self) -> list[_Worker]:
        """Return the machines that run or boot, including hung and partitioned ones."""
        return [w for w in self.workers.values() if not w.dead and not w.taken]

    def used(self) -> int:
        """Return the number of tasks on machines whose heartbeats arrive."""
        return sum(len(w.tasks) for w in self.workers.values() if self.heard(w))

    def up(self) -> list[_Worker]:
        return sorted((w for w in self.workers.values() if self.heard(w)), key=lambda w: w.name)


def _settled() -> _World:
    world = _World()
    assert world.play(60) >= 50
    return world


def test_deaths_are_replaced_a_lease_and_a_boot_later() -> None:
    """The release must come before the rental: failed machines occupy capacity until released."""
    world = _settled()
    used, most = world.used(), len(world.standing())
    for worker in world.up()[::2]:
        worker.dead = True
    world.play(int(_LEASE_S) + _BOOT_S + 6)
    assert len(world.standing()) >= 0.9 * most
    assert world.play(10) >= 0.9 * used


def test_machines_taken_without_notice_are_replaced_before_their_leases_end() -> None:
    world = _settled()
    most = len(world.standing())
    for worker in world.up()[::2]:
        worker.taken = True
    world.play(6)
    # Diagnosed after missed heartbeats and two failed connection attempts, before leases expire.
    assert not any(m.lease_expired for m in world.fleet.machines.values())
    assert len(world.standing()) >= 0.9 * most


@pytest.mark.parametrize("hang_s", [_LEASE_S - 1, _LEASE_S + 1, _LEASE_S + 3])
def test_replacements_for_machines_that_hang_are_not_rented(hang_s: float) -> None:
    world = _settled()
    made = world.made
    for worker in world.up()[::2]:
        worker.hung_until = world.now + hang_s
    world.play(int(hang_s) + 10)
    assert world.made - made <= 2
    assert not any(m.releasing for m in world.fleet.machines.values())


def test_nothing_is_rented_in_a_zone_that_is_cut_off_nor_returned_from_it() -> None:
    world = _settled()
    names = {w.name for w in world.workers.values() if w.zone == "south"}
    assert len(names) >= 5
    world.cut = {"south"}
    world.play(40)
    now_there = {w.name for w in world.workers.values() if w.zone == "south"}
    # Machines requested before the partition was detected may still come.
    assert names <= now_there and len(now_there) <= len(names) + 2
    world.cut = set()
    assert world.play(10) >= 50


def test_a_leader_elected_in_a_cut_does_not_return_the_machines_behind_it() -> None:
    """It has had no heartbeat from them, so they look like machines that never booted."""
    world = _settled()
    names = {w.name for w in world.workers.values() if w.zone == "south"}
    world.cut = {"south"}
    world.play(3)
    world.elect()
    world.play(5 * _BOOT_S)
    assert names <= set(world.workers)


def test_a_leader_that_hears_nobody_rents_and_returns_nothing() -> None:
    world = _settled()
    made, names = world.made, set(world.workers)
    world.inbound_partitioned = True
    world.play(20)
    assert world.made - made <= 2 and names <= set(world.workers)
    assert world.prober.diagnosis.inbound_partitioned


def test_a_fall_of_all_kinds_at_once_with_a_takeover_in_its_middle() -> None:
    world = _settled()
    used = world.used()
    up = world.up()
    for number, worker in enumerate(up):
        if number % 4 == 0:
            worker.dead = True
        elif number % 4 == 1:
            worker.hung_until = world.now + _LEASE_S + 2
        elif number % 4 == 2:
            worker.taken = True
    world.play(4)
    world.elect()
    assert world.play(int(2 * _LEASE_S) + 2 * _BOOT_S + 15) >= 0.9 * used


def test_places_that_the_cloud_gives_again_are_taken_soon() -> None:
    world = _settled()
    used, most = world.used(), len(world.standing())
    world.refuses = True
    for worker in world.up()[::2]:
        worker.taken = True
    world.play(30)
    assert len(world.standing()) <= most // 2 + 1
    world.refuses = False
    # The maximum back-off between two rental requests, and a boot.
    assert world.play(40 + _BOOT_S + 5) >= 0.9 * used


def test_without_a_verdict_deaths_are_not_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the tests above depend on the diagnosis: without it the fleet stays small."""
    monkeypatch.setattr(failure_detector, "_suspect", lambda *_: Suspicion.UNDETERMINED)
    world = _World(jobs=8)
    world.play(60)
    most = len(world.standing())
    for worker in world.up()[::2]:
        worker.dead = True
    world.play(int(_LEASE_S) + _BOOT_S + 6)
    assert len(world.standing()) < 0.9 * most


def test_a_new_leader_hears_its_machines_before_it_rents() -> None:
    """Machines without a heartbeat in the new term seem to have no free capacity.

    A leader that rents before their first heartbeats rents machines that are not needed: it rented
    116 in the first second of a term.
    """
    world = _settled()
    made = world.made
    world.refuses = False
    for worker in world.up():
        # The workers still wait for a response of the former leader.
        worker.hung_until = world.now + 2.5
    world.elect()
    for _ in range(3):
        world.submit()
    world.play(2)
    assert world.made == made
    world.play(4)
    assert world.scheduling_loop.autoscaler._fleet_contacted


def _fall(world: _World, kind: str) -> None:
    """Fail or hang half of the machines, or partition a zone or the leader."""
    for worker in world.up()[::2]:
        if kind == "dead":
            worker.dead = True
        elif kind == "taken":
            worker.taken = True
        elif kind == "hung":
            worker.hung_until = world.now + _LEASE_S + 2
    if kind == "cut":
        world.cut = {"south"}
    elif kind == "deaf":
        world.inbound_partitioned = True


def _heal(world: _World) -> None:
    world.cut, world.inbound_partitioned = set(), False


_KINDS = ["dead", "taken", "hung", "cut", "deaf"]


@pytest.mark.parametrize("kind", _KINDS)
def test_a_takeover_in_the_middle_of_a_fall(kind: str) -> None:
    world = _settled()
    used, names = world.used(), {w.name for w in world.workers.values()}
    _fall(world, kind)
    world.play(5)
    world.elect()
    world.play(12)
    if kind not in ("dead", "taken"):
        assert names <= set(world.workers), "machines that will recover must not be released"
    _heal(world)
    assert world.play(2 * int(_LEASE_S) + 2 * _BOOT_S + 20) >= 0.9 * used


@pytest.mark.parametrize("kind", _KINDS)
def test_a_fall_in_the_middle_of_a_takeover(kind: str) -> None:
    world = _settled()
    used = world.used()
    world.elect()
    world.play(1)
    _fall(world, kind)
    world.play(12)
    _heal(world)
    assert world.play(2 * int(_LEASE_S) + 2 * _BOOT_S + 20) >= 0.9 * used


@pytest.mark.parametrize("kind", _KINDS)
def test_a_fall_while_the_state_service_is_away(kind: str) -> None:
    """Bindings can't be committed, but replacements are rented, and no task runs twice."""
    world = _settled()
    used = world.used()
    world.state_away = True
    _fall(world, kind)
    world.play(14)
    if kind == "taken":
        assert len(world.standing()) >= 0.9 * 2 * _PLACES
    world.state_away = False
    _heal(world)
    assert world.play(2 * int(_LEASE_S) + 2 * _BOOT_S + 20) >= 0.9 * used


def test_machines_that_come_back_again_and_again_are_not_replaced() -> None:
    world = _settled()
    made = world.made
    chosen = world.up()[::2]
    for _ in range(4):
        for worker in chosen:
            worker.hung_until = world.now + _LEASE_S + 2
        world.play(int(_LEASE_S) + 8)
    assert world.made - made <= 4
    assert {w.name for w in chosen} <= set(world.workers)


def test_a_cloud_that_gives_one_machine_at_a_time_is_asked_on() -> None:
    world = _settled()
    most = len(world.standing())
    world.one_at_a_time = True
    for worker in world.up()[: most // 4]:
        worker.taken = True
    # After a partial grant the next request follows 5 s later, in each of two zones.
    world.play(8 + 5 * (most // 8) + 5)
    assert len(world.standing()) >= 0.9 * most


def test_a_machine_that_runs_and_is_never_heard_goes_back() -> None:
    """It accepts connections, so only the missing first heartbeat reveals the fault."""
    world = _settled()
    worker = world.up()[0]
    worker.hung_until = 1e9
    world.elect()
    world.play(3 * _BOOT_S)
    assert worker.name in world.workers
    world.play(_BOOT_S + 4)
    assert worker.name not in world.workers


_EVENT = st.tuples(
    st.sampled_from(["dead", "hung", "taken", "cut", "deaf", "refuses", "elect", "wait"]),
    st.integers(1, 20),
    st.integers(1, 25),
)


@settings(max_examples=12)
@given(st.lists(_EVENT, min_size=1, max_size=6))
def test_generated_falls(events: list[tuple[str, int, int]]) -> None:
    """No task runs twice, the fleet size is bounded, and capacity recovers after the last fault."""
    world = _settled()
    used, most = world.used(), len(world.standing())
    back: list[tuple[float, Callable[[], None]]] = []

    def later(seconds: float, undo: Callable[[], None]) -> None:
        back.append((world.now + seconds, undo))

    def steps(seconds: int) -> None:
        for _ in range(seconds):
            for due in [entry for entry in back if entry[0] <= world.now]:
                back.remove(due)
                due[1]()
            world.step()
            # The fleet without failed machines may be as large as before, plus a replacement for
            # each silent machine that may still recover.
            silent = sum(not world.heard(w) and w.up_at <= world.now for w in world.standing())
            assert len(world.standing()) <= 1.25 * most + silent + 4

    for kind, count, seconds in events:
        chosen = world.up()[:count]
        for worker in chosen:
            if kind == "dead":
                worker.dead = True
            elif kind == "taken":
                worker.taken = True
            elif kind == "hung":
                worker.hung_until = world.now + seconds
        if kind == "cut":
            world.cut.add("south")
            later(seconds, world.cut.clear)
        elif kind == "deaf":
            world.inbound_partitioned = True
            later(min(seconds, 15), lambda: setattr(world, "inbound_partitioned", False))
        elif kind == "refuses":
            world.refuses = True
            later(seconds, lambda: setattr(world, "refuses", False))
        elif kind == "elect":
            world.elect()
        steps(seconds // 2)
    steps(25)
    assert world.play(2 * _BOOT_S + 60) >= 0.8 * used


def test_machines_are_not_returned_in_the_moment_in_which_a_cut_ends() -> None:
    """The end of a partition must not make its silent machines look gone.

    Connection attempts failed during the partition. Once the first machines of the zone are heard
    again, the others seem to be the only unreachable ones.
    """
    world = _settled()
    names = {w.name for w in world.workers.values() if w.zone == "south"}
    world.cut = {"south"}
    world.play(int(_LEASE_S) + 6)
    silent = [w for w in world.workers.values() if w.zone == "south"][2:]
    world.cut = set()
    for worker in silent:
        worker.hung_until = world.now + 1.5
    world.play(4)
    assert names <= set(world.workers)
    assert not any(m.releasing for m in world.fleet.machines.values())
