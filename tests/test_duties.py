"""Renting and releasing across leader changes: a deposed leader must not harm later terms.

Guards against two failures: a deposed leader releases a machine that runs tasks of a later term,
and a rented machine or an open record is forgotten in a failover. Real components of several terms
(`WriteBatcher`, `IntentLog`, `Provisioner`, `Fleet`) run on a simulated state service and cloud
that lose, refuse and delay requests. A deposed term keeps running, like a process that resumes
after a pause: only the protocol in docs/design.md may protect the later terms from it.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tealrill import wire
from tealrill.fleet import intent_log, provisioning
from tealrill.fleet.cloud import Cloud, CloudError, NoCapacityError
from tealrill.fleet.intent_log import CLOUD_PREFIX, IntentLog, ReleaseRecord, RentalRecord
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.provisioning import Provisioner
from tealrill.scheduler.capacity import Rental
from tealrill.state import fencing, rate_limiter, write_batcher
from tealrill.state.client import GuardsFailed, StateClient
from tealrill.state.fencing import LEADER_KEY, Duty, Fence, Leadership, NotHolderError
from tealrill.state.job_store import JobStore
from tealrill.state.transaction_batch import JoinedWrite
from tealrill.state.write_batcher import LeadershipLostError, WriteBatcher
from tealrill.types import (
    ABSENT,
    FencingToken,
    LeaseId,
    MachineId,
    Monotonic,
    Revision,
    Wall,
    monotonic_now,
)
from tests.samples import report, spec
from tests.standins import JumpingLoop
from tests.test_records import Store

_KIND = ("big", "north", False)


class Broken(AssertionError):
    """A safety property is violated."""


class _Store(Store):
    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng, guarded=True)
        self.ever: set[str] = set()

    def execute(self, guards: list[Any], changes: list[Any]) -> Any:
        result = super().execute(guards, changes)
        if not isinstance(result, GuardsFailed):
            self.ever |= {change["set"] for change in changes if "set" in change}
        return result


class _CloudWorld:
    """The cloud: rents once per request name and terminates machines with all tasks at once.

    Requests may be executed late.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.answers: dict[str, list[str]] = {}
        self.alive: dict[str, bool] = {}
        self.held: list[tuple[float, Any]] = []
        self.terminated: set[str] = set()
        self.count = 0

    def hire(self, term: int, name: str, count: int) -> list[str]:
        if CLOUD_PREFIX + "rent/" + name not in self.world.store.ever:
            raise Broken(f"rental {name} was requested without a record")
        if name not in self.answers:
            names = [f"m-{self.count + n:06d}" for n in range(count)]
            self.count += count
            self.answers[name] = names
            self.alive.update(dict.fromkeys(names, True))
        return self.answers[name]

    def listed(self) -> list[wire.ListedMachine]:
        return [
            wire.ListedMachine(id=name, type="big", zone="north", spot=False, state="running")
            for name in self.alive
        ]

    def delete(self, term: int, names: list[str]) -> None:
        for name in names:
            if self.alive.pop(name, None) is None:
                continue
            self.terminated.add(name)
            worked = self.world.work.pop(name, 0)
            if worked > term:
                raise Broken(f"term {term} ended work of term {worked} on {name}")


class _Cloud:
    """One term's client of the cloud, over a faulty network."""

    def __init__(self, world: World, term: int) -> None:
        self.world, self.term = world, term

    async def _fate(self, request: Any, check: Any) -> Any:
        world = self.world
        await asyncio.sleep(world.rng.uniform(0.0, 0.4))
        check()
        fate = (
            "good" if world.reliable else world.rng.choice(["good"] * 4 + ["lost", "held", "busy"])
        )
        if fate == "busy":
            raise CloudError("status 429")
        if fate == "held":
            world.cloud.held.append((world.now + world.rng.uniform(0, 60), request))
            await asyncio.sleep(5.0)
            raise CloudError("no answer")
        found = request()
        if fate == "lost":
            raise CloudError("no answer")
        return found

    async def rent(
        self, name: str, type_name: str, zone: str, spot: bool, count: int, check: Any
    ) -> list[str]:
        if not self.world.reliable and self.world.rng.random() < 0.1:
            raise NoCapacityError
        cloud = self.world.cloud
        found = await self._fate(lambda: cloud.hire(self.term, name, count), check)
        return list(found)

    async def release(self, machines: list[MachineId], check: Any) -> None:
        cloud, names = self.world.cloud, list(map(str, machines))
        await self._fate(lambda: cloud.delete(self.term, names), check)


class _Term:
    """A leader's components that rent and release; they are never told that the term has ended."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        mod_revision = world.store.keys[LEADER_KEY][1]
        leadership = Leadership(
            FencingToken(number),
            Revision(mod_revision),
            LeaseId(1),
            Monotonic(world.now),
            Monotonic(1e9),
        )
        job_store = JobStore(8.0)
        self.fleet = Fleet(job_store, FencingToken(number), Monotonic(world.now), 8.0)
        self.write_batcher = WriteBatcher(
            cast(StateClient, world.store),
            job_store,
            leadership,
            12,
            lambda _: None,
            lambda _: None,
        )
        self.intent_log = IntentLog(self.write_batcher.join, FencingToken(number), 8.0)
        duties = [
            Duty(n, FencingToken(number), Monotonic(world.now), self.valid)
            for n in ("rent", "return")
        ]
        cloud = cast(Cloud, _Cloud(world, number))
        self.provisioner = Provisioner(
            cloud, self.fleet, FencingToken(number), 2.0, self.intent_log, *duties
        )
        self.tasks: list[asyncio.Task[None]] = []

    def valid(self) -> bool:
        return self.world.term is self or not self.world.checked

    async def start(self) -> None:
        entries, _ = await self.world.store.scan(CLOUD_PREFIX)
        self.fleet.inherit([], Monotonic(self.world.now))
        self.provisioner.inherit(entries, Monotonic(self.world.now), Wall(self.world.now))
        loops = (
            self.write_batcher.run,
            self.provisioner.run_release_recording,
            self.provisioner.run_release_requests,
        )
        self.tasks = [asyncio.create_task(self._ends(loop)) for loop in loops]

    async def _ends(self, loop: Any) -> None:
        try:
            await loop()
        except LeadershipLostError:
            pass
        except Broken as error:
            self.world.broken.append(error)

    def act(self) -> None:
        """Process a heartbeat of every machine; those that may take tasks run work of this term."""
        for name in self.world.cloud.alive:
            self.world.sequence += 1
            machine_id = MachineId(name)
            heard = report(name, 1, self.world.sequence, self.number)
            at = Monotonic(self.world.now)
            self.fleet.heartbeats.process(heard, machine_id, at, Wall(at))
            machine = self.fleet.machines.get(machine_id)
            if machine is not None and machine.is_placeable(at, 8.0):
                self.world.work[name] = self.number

    def wish(self) -> None:
        rng = self.world.rng
        if rng.random() < 0.5:
            self.provisioner.rent(Rental(*_KIND, rng.randrange(1, 60)), Monotonic(self.world.now))
        known = [m for m in self.fleet.machines.values() if m.last_contact_at and not m.releasing]
        for machine in rng.sample(known, min(len(known), rng.randrange(30))):
            machine.releasing = True
            self.world.work.pop(machine.id, None)


class World:
    def __init__(self, seed: int, loop: JumpingLoop) -> None:
        self.rng = random.Random(seed)
        self.loop = loop
        self.store = _Store(self.rng)
        self.cloud = _CloudWorld(self)
        self.work: dict[str, int] = {}
        """The machines that run tasks, with the term of these tasks."""
        self.broken: list[Broken] = []
        self.reliable = False
        self.checked = True
        self.sequence = 0
        self.term: _Term | None = None
        self.terms: list[_Term] = []

    @property
    def now(self) -> float:
        return self.loop.time()

    async def elect(self) -> _Term:
        self.store.epoch += 1
        self.store.keys[LEADER_KEY] = ({}, self.store.epoch)
        self.term = _Term(self, len(self.terms) + 1)
        self.terms.append(self.term)
        await self.term.start()
        return self.term

    async def deliver(self, everything: bool = False) -> None:
        """Execute delayed cloud requests that are due, or all, and sometimes a delayed write."""
        due = [held for held in self.cloud.held if everything or held[0] <= self.now]
        for held in due:
            self.cloud.held.remove(held)
            try:
                held[1]()
            except Broken as error:
                self.broken.append(error)
        if self.store.late and self.rng.random() < 0.5:
            self.store.execute(*self.store.late.pop(self.rng.randrange(len(self.store.late))))

    async def play(self, steps: int) -> None:
        await self.elect()
        for _ in range(steps):
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            await self.deliver()
            assert self.term is not None
            if self.rng.random() < 0.15:
                for _ in range(self.rng.choice([1, 1, 1, 5])):  # up to five leaders in a row
                    await self.elect()
            for term in self.terms[-3:]:
                if term is self.term or self.rng.random() < 0.3:
                    term.wish()  # a deposed leader that does not know it rents and releases too
            self.term.act()
            if self.broken:
                raise self.broken[0]
        await self.end()

    async def end(self) -> None:
        """Execute all delayed requests, end the faults, and let one last term clean up."""
        self.reliable = self.store.reliable = True
        while self.store.late:
            self.store.execute(*self.store.late.pop())
        await self.deliver(everything=True)
        last = await self.elect()
        for _ in range(60):
            await asyncio.sleep(2.0)
            last.act()
            last.provisioner.apply_list(self.cloud.listed(), Monotonic(self.now))
        if self.broken:
            raise self.broken[0]
        alive = set(self.cloud.alive)
        lost = alive - set(last.fleet.machines)
        assert not lost, f"rented machines unknown to the last leader: {lost}"
        idle = {m.id for m in last.fleet.machines.values() if m.releasing} & alive
        assert not idle, f"machines marked for release but not released: {idle}"
        left = [k for k in self.store.keys if k.startswith(CLOUD_PREFIX)]
        assert not left, f"obsolete records not deleted: {left}"
        assert last.intent_log.open_count == 0 and not last.intent_log._records

    def close(self) -> None:
        for term in self.terms:
            term.provisioner.close()
            for task in term.tasks:
                task.cancel()


def _play(seed: int, steps: int = 40, checked: bool = True) -> World:
    loop = JumpingLoop()
    with pytest.MonkeyPatch.context() as patch:
        for module in (provisioning, intent_log, write_batcher, rate_limiter):
            patch.setattr(module, "monotonic_now", lambda: Monotonic(loop.time()))
        patch.setattr(intent_log, "wall_now", lambda: Wall(loop.time()))
        world = World(seed, loop)
        world.checked = checked

        async def run() -> None:
            try:
                await world.play(steps)
            finally:
                world.close()
                others = asyncio.all_tasks() - {asyncio.current_task()}
                for task in others:
                    task.cancel()
                await asyncio.gather(*others, return_exceptions=True)

        try:
            loop.run_until_complete(run())
        finally:
            loop.close()
    return world


@settings(max_examples=30)
@given(st.integers(0, 2**32))
def test_who_was_replaced_does_no_harm(seed: int) -> None:
    _play(seed)


@settings(max_examples=10)
@given(st.integers(0, 2**32))
def test_even_one_that_never_looks_whether_it_still_holds_the_duty(seed: int) -> None:
    """The check before sending only saves calls; the safety properties rest on the records."""
    _play(seed, checked=False)


def _found(seeds: int = 80, checked: bool = True) -> str:
    """Return the first violation that any of the seeds brings, or an empty string."""
    for seed in range(seeds):
        try:
            _play(seed, checked=checked)
        except Broken as error:
            return str(error)
        except AssertionError:
            continue  # leftover records or machines are not a safety violation
    return ""


def _not_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    """Request rentals and releases without waiting for the commit of their records."""
    want = IntentLog._create

    async def at_once(self: IntentLog, key: str, value: dict[str, Any]) -> None:
        task = asyncio.ensure_future(want(self, key, value))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        await asyncio.sleep(0)

    monkeypatch.setattr(IntentLog, "_create", at_once)


def _not_fenced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Fence, "guards", lambda self, others: dict(others))


def _returns_not_taken_over(monkeypatch: pytest.MonkeyPatch) -> None:
    read = IntentLog.read

    def without(self: IntentLog, entries: Any) -> list[str]:
        return read(self, [e for e in entries if "/return/" not in e.key])

    monkeypatch.setattr(IntentLog, "read", without)


def _rentals_not_taken_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Provisioner, "inherit", lambda self, entries, now, wall: None)


@pytest.mark.parametrize(
    "without",
    [_not_waiting, _not_fenced, _returns_not_taken_over, _rentals_not_taken_over],
)
def test_each_clause_is_needed(monkeypatch: pytest.MonkeyPatch, without: Any) -> None:
    without(monkeypatch)
    assert "ended work of term" in _found(checked=False)


# -- single cases ---------------------------------------------------------------------------------


def test_nothing_leaves_once_the_duty_may_be_over() -> None:
    """The check runs after the last wait, when `Cloud` is about to send the request."""
    held = Duty("renting", FencingToken(3), Monotonic(0.0), lambda: False)
    with pytest.raises(NotHolderError):
        held.check()

    async def scenario() -> None:
        cloud = Cloud("127.0.0.1:9", 100.0, 1)
        sent: list[str] = []

        async def request(
            method: str, path: str, body: bytes, timeout_s: float, check: Any
        ) -> None:
            check()
            sent.append(path)

        cloud._http.request = request  # type: ignore[method-assign, assignment]
        with pytest.raises(NotHolderError):
            await cloud.rent("tr-3-1", *_KIND, 5, held.check)
        with pytest.raises(NotHolderError):
            await cloud.release([MachineId("m-1")], held.check)
        assert not sent

    asyncio.run(scenario())


def _open(value_kb: float = 8.0) -> tuple[IntentLog, list[JoinedWrite]]:
    joined: list[JoinedWrite] = []
    return IntentLog(
        joined.append, FencingToken(3), value_kb, lambda: Wall(5.0), lambda: Monotonic(0.0)
    ), joined


def test_a_successor_goes_on_with_what_is_open() -> None:
    async def scenario() -> None:
        first, joined = _open()
        renting = asyncio.create_task(first.rent("tr-3-1", Rental(*_KIND, 2)))
        waiting = asyncio.create_task(first.rent("tr-3-2", Rental(*_KIND, 9)))
        back = asyncio.create_task(first.record_release([MachineId("m-7"), MachineId("m-8")]))
        await asyncio.sleep(0)
        assert not renting.done() and not back.done() and not first.open_releases
        records = {}
        for number, change in enumerate(list(joined)):
            assert change.guards == {change.changes[0]["set"]: ABSENT}
            records[change.changes[0]["set"]] = (change.changes[0]["value"], number + 1)
            change.applied(Revision(number + 1))
        await asyncio.gather(renting, waiting, back)
        first.granted("tr-3-1", ["m-1", "m-2"])
        last = joined[-1]
        records[last.changes[0]["set"]] = (last.changes[0]["value"], 9)
        second, _ = _open()
        entries = [wire.Entry(key=k, value=v, version=n) for k, (v, n) in records.items()]
        assert second.read(entries) == ["tr-3-1", "tr-3-2"]
        assert second.open_rentals["tr-3-1"].names == ["m-1", "m-2"]
        assert (
            second.open_rentals["tr-3-2"].names is None and second.open_rentals["tr-3-2"].count == 9
        )
        assert list(second.open_releases.values()) == [("m-7", "m-8")]
        fleet = Fleet(JobStore(8.0), FencingToken(4), monotonic_now(), 8.0)
        cloud = cast(Cloud, None)
        holds = [Duty(n, FencingToken(4), Monotonic(0.0), lambda: True) for n in ("a", "b")]
        provisioner = Provisioner(cloud, fleet, FencingToken(4), 2.0, second, *holds)
        provisioner._request_until_answered = lambda request: asyncio.sleep(0, 0)  # type: ignore[method-assign]
        provisioner.inherit([], monotonic_now(), Wall(5.0))
        assert set(fleet.machines) == {"m-7", "m-8"}
        assert all(m.releasing and m.release_recorded for m in fleet.machines.values())

    asyncio.run(scenario())


def test_records_fit_their_values_and_their_number_is_bounded() -> None:
    """A mass failure of 300 machines with long names is recorded in values of at most 4 KiB."""

    async def scenario() -> None:
        found, joined = _open(4.0)
        names = [MachineId(f"m-{'x' * 56}{n:06d}") for n in range(300)]
        left = list(names)
        while left:
            task = asyncio.create_task(found.record_release(left))
            await asyncio.sleep(0)
            assert len(wire.encode(joined[-1].changes[0]["value"])) <= 4096
            joined[-1].applied(Revision(1))
            _, part = await task
            left = left[len(part) :]
        assert [name for part in found.open_releases.values() for name in part] == names
        assert len(found.open_releases) <= 6
        rent = asyncio.create_task(found.rent("tr-3-1", Rental(*_KIND, 50)))
        await asyncio.sleep(0)
        joined[-1].applied(Revision(1))
        await rent
        found.granted("tr-3-1", list(map(str, names[:80])))
        assert len(wire.encode(joined[-1].changes[0]["value"])) <= 4096
        assert not found.full
        found._records.update(
            {f"k{n}": cast(Any, None) for n in range(intent_log.MAX_OPEN_RECORDS)}
        )
        assert found.full

    asyncio.run(scenario())


def test_a_record_of_a_later_version_is_left_alone() -> None:
    found, _ = _open()
    later = {"v": 2, "names": ["m-1"], "at": 0.0, "more": True}
    good = wire.plain(ReleaseRecord(["m-2"], 1.0))
    entries = [
        wire.Entry(key=CLOUD_PREFIX + "return/1.1", value=later, version=1),
        wire.Entry(key=CLOUD_PREFIX + "return/1.2", value=good, version=2),
        wire.Entry(key=CLOUD_PREFIX + "other", value={"v": 1}, version=3),
    ]
    assert found.read(entries) == []
    assert list(found.open_releases) == [CLOUD_PREFIX + "return/1.2"]


@given(
    st.builds(
        RentalRecord,
        type=st.text(max_size=20),
        zone=st.text(max_size=20),
        spot=st.booleans(),
        count=st.integers(1, 50),
        at=st.floats(0, 1e10),
        names=st.none() | st.lists(st.text(max_size=64), max_size=50),
    )
    | st.builds(ReleaseRecord, names=st.lists(st.text(max_size=64)), at=st.floats(0, 1e10))
)
def test_records_come_back_as_they_were(record: RentalRecord | ReleaseRecord) -> None:
    again = wire.decode(wire.encode(wire.plain(record)), dict[str, Any])
    assert msgspec.convert(again, type(record)) == record


def test_rentals_go_before_bindings_once_they_have_waited() -> None:
    """After a mass failure bindings fill all transactions for seconds.

    A rental that waited behind them would delay the boot of the replacements.
    """
    store = Store(random.Random(1), True)
    job_store = JobStore(8.0)
    leadership = Leadership(
        FencingToken(1), Revision(1), LeaseId(1), Monotonic(0.0), Monotonic(9.0)
    )
    found = WriteBatcher(
        cast(StateClient, store), job_store, leadership, 3, lambda _: None, lambda _: None
    )
    for number in range(5):
        job = job_store.add(spec(id=f"wk-{number:06d}"), Wall(0.0), Revision(1))
        job_store.bind(
            job, 0, MachineId("m-1"), cast(Any, 1), "north", False, Wall(0.0), Monotonic(0.0)
        )
    put = wire.put("cloud/rent/tr-1-1", {})
    rent = JoinedWrite(
        {"cloud/rent/tr-1-1": ABSENT}, [put], lambda _: None, lambda _: None, Monotonic(1.0)
    )
    found.join(rent)
    early = [c.get("set", "") for c in found._gather(Monotonic(0.5)).changes]
    late = [c.get("set", "") for c in found._gather(Monotonic(1.0)).changes]
    assert all(key.startswith("run/") for key in early) and len(early) == 3
    assert late[0] == "cloud/rent/tr-1-1" and len(late) == 3
    assert fencing.LEADER_KEY in found._fence.guards({})


@pytest.mark.parametrize("alone", [False, True])
def test_with_the_state_service_away_only_one_who_is_alone_rents(alone: bool) -> None:
    """Replacements of machines lost just before an outage must not wait for its end.

    Only a leader that cannot be replaced during the outage may rent without a committed record.
    """

    class _Granting:
        asked = 0

        async def rent(self, name: str, *_: Any) -> list[str]:
            self.asked += 1
            return ["m-1", "m-2"]

    async def scenario() -> tuple[int, list[JoinedWrite], IntentLog]:
        found, joined = _open()
        fleet = Fleet(JobStore(8.0), FencingToken(3), monotonic_now(), 8.0)
        holds = [
            Duty(n, FencingToken(3), Monotonic(0.0), lambda: True, lambda: alone)
            for n in ("a", "b")
        ]
        cloud = _Granting()
        provisioner = Provisioner(cast(Cloud, cloud), fleet, FencingToken(3), 2.0, found, *holds)
        provisioner.rent(Rental(*_KIND, 2), monotonic_now())
        await asyncio.sleep(5.0)
        assert (
            provisioner.has_pending_request(_KIND) == (not alone)
            and len(fleet.machines) == 2 * alone
        )
        # The state service is back: the record is committed, then the cloud's response.
        joined[0].applied(Revision(1))
        await asyncio.sleep(1.0)
        assert not provisioner.has_pending_request(_KIND) and set(fleet.machines) == {"m-1", "m-2"}
        assert joined[1].changes[0]["value"]["names"] == ["m-1", "m-2"]
        provisioner.close()
        return cloud.asked, joined, found

    loop = JumpingLoop()
    try:
        asked, joined, _ = loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert asked == 1 and len(joined) == 2
