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
from tests.fakes import VirtualTimeLoop
from tests.samples import make_heartbeat, spec
from tests.test_records import Store

_KIND = ("big", "north", False)


class SafetyViolationError(AssertionError):
    """A safety property is violated."""


class _Store(Store):
    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng, guarded=True)
        self.written_keys: set[str] = set()

    def execute(self, guards: list[Any], changes: list[Any]) -> Any:
        result = super().execute(guards, changes)
        if not isinstance(result, GuardsFailed):
            self.written_keys |= {change["set"] for change in changes if "set" in change}
        return result


class _CloudModel:
    """The cloud: rents once per request name and terminates machines with all tasks at once.

    Requests may be executed late.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.answers: dict[str, list[str]] = {}
        self.alive: dict[str, bool] = {}
        self.delayed_requests: list[tuple[float, Any]] = []
        self.terminated: set[str] = set()
        self.count = 0

    def execute_rental(self, term: int, name: str, count: int) -> list[str]:
        if CLOUD_PREFIX + "rent/" + name not in self.cluster.store.written_keys:
            raise SafetyViolationError(f"rental {name} was requested without a record")
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

    def execute_release(self, term: int, names: list[str]) -> None:
        for name in names:
            if self.alive.pop(name, None) is None:
                continue
            self.terminated.add(name)
            work_term = self.cluster.work.pop(name, 0)
            if work_term > term:
                raise SafetyViolationError(f"term {term} ended work of term {work_term} on {name}")


class _Cloud:
    """One term's client of the cloud, over a faulty network."""

    def __init__(self, cluster: Cluster, term: int) -> None:
        self.cluster, self.term = cluster, term

    async def _send(self, request: Any, check: Any) -> Any:
        cluster = self.cluster
        await asyncio.sleep(cluster.rng.uniform(0.0, 0.4))
        check()
        outcome = (
            "good"
            if cluster.reliable
            else cluster.rng.choice(["good"] * 4 + ["lost", "held", "busy"])
        )
        if outcome == "busy":
            raise CloudError("status 429")
        if outcome == "held":
            cluster.cloud.delayed_requests.append(
                (cluster.now + cluster.rng.uniform(0, 60), request)
            )
            await asyncio.sleep(5.0)
            raise CloudError("no answer")
        result = request()
        if outcome == "lost":
            raise CloudError("no answer")
        return result

    async def rent(
        self, name: str, type_name: str, zone: str, spot: bool, count: int, check: Any
    ) -> list[str]:
        if not self.cluster.reliable and self.cluster.rng.random() < 0.1:
            raise NoCapacityError
        cloud = self.cluster.cloud
        names = await self._send(lambda: cloud.execute_rental(self.term, name, count), check)
        return list(names)

    async def release(self, machines: list[MachineId], check: Any) -> None:
        cloud, names = self.cluster.cloud, list(map(str, machines))
        await self._send(lambda: cloud.execute_release(self.term, names), check)


class _Term:
    """A leader's components that rent and release; they are never told that the term has ended."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self.cluster, self.number = cluster, number
        mod_revision = cluster.store.keys[LEADER_KEY][1]
        leadership = Leadership(
            FencingToken(number),
            Revision(mod_revision),
            LeaseId(1),
            Monotonic(cluster.now),
            Monotonic(1e9),
        )
        job_store = JobStore(8.0)
        self.fleet = Fleet(job_store, FencingToken(number), Monotonic(cluster.now), 8.0)
        self.write_batcher = WriteBatcher(
            cast(StateClient, cluster.store),
            job_store,
            leadership,
            12,
            lambda _: None,
            lambda _: None,
        )
        self.intent_log = IntentLog(self.write_batcher.join, FencingToken(number), 8.0)
        duties = [
            Duty(n, FencingToken(number), Monotonic(cluster.now), self.valid)
            for n in ("rent", "return")
        ]
        cloud = cast(Cloud, _Cloud(cluster, number))
        self.provisioner = Provisioner(
            cloud, self.fleet, FencingToken(number), 2.0, self.intent_log, *duties
        )
        self.tasks: list[asyncio.Task[None]] = []

    def valid(self) -> bool:
        return self.cluster.term is self or not self.cluster.checks_duty

    async def start(self) -> None:
        entries, _ = await self.cluster.store.scan(CLOUD_PREFIX)
        self.fleet.inherit([], Monotonic(self.cluster.now))
        self.provisioner.inherit(entries, Monotonic(self.cluster.now), Wall(self.cluster.now))
        loops = (
            self.write_batcher.run,
            self.provisioner.run_release_recording,
            self.provisioner.run_release_requests,
        )
        self.tasks = [asyncio.create_task(self._run_until_deposed(loop)) for loop in loops]

    async def _run_until_deposed(self, loop: Any) -> None:
        try:
            await loop()
        except LeadershipLostError:
            pass
        except SafetyViolationError as error:
            self.cluster.violations.append(error)

    def process_heartbeats(self) -> None:
        """Process a heartbeat of every machine; those that may take tasks run work of this term."""
        for name in self.cluster.cloud.alive:
            self.cluster.sequence += 1
            machine_id = MachineId(name)
            heartbeat = make_heartbeat(name, 1, self.cluster.sequence, self.number)
            now = Monotonic(self.cluster.now)
            self.fleet.heartbeats.process(heartbeat, machine_id, now, Wall(now))
            machine = self.fleet.machines.get(machine_id)
            if machine is not None and machine.is_placeable(now, 8.0):
                self.cluster.work[name] = self.number

    def rent_and_release(self) -> None:
        rng = self.cluster.rng
        if rng.random() < 0.5:
            self.provisioner.rent(Rental(*_KIND, rng.randrange(1, 60)), Monotonic(self.cluster.now))
        known = [m for m in self.fleet.machines.values() if m.last_contact_at and not m.releasing]
        for machine in rng.sample(known, min(len(known), rng.randrange(30))):
            machine.releasing = True
            self.cluster.work.pop(machine.id, None)


class Cluster:
    def __init__(self, seed: int, loop: VirtualTimeLoop) -> None:
        self.rng = random.Random(seed)
        self.loop = loop
        self.store = _Store(self.rng)
        self.cloud = _CloudModel(self)
        self.work: dict[str, int] = {}
        """The machines that run tasks, with the term of these tasks."""
        self.violations: list[SafetyViolationError] = []
        self.reliable = False
        self.checks_duty = True
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

    async def deliver_delayed(self, everything: bool = False) -> None:
        """Execute delayed cloud requests that are due, or all, and sometimes a delayed write."""
        due = [entry for entry in self.cloud.delayed_requests if everything or entry[0] <= self.now]
        for entry in due:
            self.cloud.delayed_requests.remove(entry)
            try:
                entry[1]()
            except SafetyViolationError as error:
                self.violations.append(error)
        if self.store.late and self.rng.random() < 0.5:
            self.store.execute(*self.store.late.pop(self.rng.randrange(len(self.store.late))))

    async def run(self, steps: int) -> None:
        await self.elect()
        for _ in range(steps):
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            await self.deliver_delayed()
            assert self.term is not None
            if self.rng.random() < 0.15:
                for _ in range(self.rng.choice([1, 1, 1, 5])):  # up to five leaders in a row
                    await self.elect()
            for term in self.terms[-3:]:
                if term is self.term or self.rng.random() < 0.3:
                    term.rent_and_release()  # deposed leaders act too, unaware of it
            self.term.process_heartbeats()
            if self.violations:
                raise self.violations[0]
        await self.finish()

    async def finish(self) -> None:
        """Execute all delayed requests, end the faults, and let one last term clean up."""
        self.reliable = self.store.reliable = True
        while self.store.late:
            self.store.execute(*self.store.late.pop())
        await self.deliver_delayed(everything=True)
        last = await self.elect()
        for _ in range(60):
            await asyncio.sleep(2.0)
            last.process_heartbeats()
            last.provisioner.apply_list(self.cloud.listed(), Monotonic(self.now))
        if self.violations:
            raise self.violations[0]
        alive = set(self.cloud.alive)
        unknown = alive - set(last.fleet.machines)
        assert not unknown, f"rented machines unknown to the last leader: {unknown}"
        unreleased = {m.id for m in last.fleet.machines.values() if m.releasing} & alive
        assert not unreleased, f"machines marked for release but not released: {unreleased}"
        leftover = [k for k in self.store.keys if k.startswith(CLOUD_PREFIX)]
        assert not leftover, f"obsolete records not deleted: {leftover}"
        assert last.intent_log.open_count == 0 and not last.intent_log._records

    def close(self) -> None:
        for term in self.terms:
            term.provisioner.close()
            for task in term.tasks:
                task.cancel()


def _run_scenario(seed: int, steps: int = 40, checks_duty: bool = True) -> Cluster:
    loop = VirtualTimeLoop()
    with pytest.MonkeyPatch.context() as patch:
        for module in (provisioning, intent_log, write_batcher, rate_limiter):
            patch.setattr(module, "monotonic_now", lambda: Monotonic(loop.time()))
        patch.setattr(intent_log, "wall_now", lambda: Wall(loop.time()))
        cluster = Cluster(seed, loop)
        cluster.checks_duty = checks_duty

        async def run() -> None:
            try:
                await cluster.run(steps)
            finally:
                cluster.close()
                others = asyncio.all_tasks() - {asyncio.current_task()}
                for task in others:
                    task.cancel()
                await asyncio.gather(*others, return_exceptions=True)

        try:
            loop.run_until_complete(run())
        finally:
            loop.close()
    return cluster


@settings(max_examples=30)
@given(st.integers(0, 2**32))
def test_deposed_leader_does_not_harm_later_terms(seed: int) -> None:
    _run_scenario(seed)


@settings(max_examples=10)
@given(st.integers(0, 2**32))
def test_deposed_leader_without_duty_check_does_not_harm_later_terms(seed: int) -> None:
    """The check before sending only saves calls; the safety properties rest on the records."""
    _run_scenario(seed, checks_duty=False)


def _first_violation(seeds: int = 80, checks_duty: bool = True) -> str:
    """Return the first violation that any of the seeds brings, or an empty string."""
    for seed in range(seeds):
        try:
            _run_scenario(seed, checks_duty=checks_duty)
        except SafetyViolationError as error:
            return str(error)
        except AssertionError:
            continue  # leftover records or machines are not a safety violation
    return ""


def _without_commit_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Request rentals and releases without waiting for the commit of their records."""
    create = IntentLog._create

    async def create_without_wait(self: IntentLog, key: str, value: dict[str, Any]) -> None:
        task = asyncio.ensure_future(create(self, key, value))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        await asyncio.sleep(0)

    monkeypatch.setattr(IntentLog, "_create", create_without_wait)


def _without_fencing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Fence, "guards", lambda self, others: dict(others))


def _without_release_takeover(monkeypatch: pytest.MonkeyPatch) -> None:
    read = IntentLog.read

    def without(self: IntentLog, entries: Any) -> list[str]:
        return read(self, [e for e in entries if "/return/" not in e.key])

    monkeypatch.setattr(IntentLog, "read", without)


def _without_rental_takeover(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Provisioner, "inherit", lambda self, entries, now, wall: None)


@pytest.mark.parametrize(
    "without",
    [_without_commit_wait, _without_fencing, _without_release_takeover, _without_rental_takeover],
)
def test_safety_depends_on_each_mechanism(monkeypatch: pytest.MonkeyPatch, without: Any) -> None:
    without(monkeypatch)
    assert "ended work of term" in _first_violation(checks_duty=False)


# -- single cases ---------------------------------------------------------------------------------


def test_no_request_is_sent_when_duty_check_fails() -> None:
    """The check runs after the last wait, when `Cloud` is about to send the request."""
    duty = Duty("renting", FencingToken(3), Monotonic(0.0), lambda: False)
    with pytest.raises(NotHolderError):
        duty.check()

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
            await cloud.rent("tr-3-1", *_KIND, 5, duty.check)
        with pytest.raises(NotHolderError):
            await cloud.release([MachineId("m-1")], duty.check)
        assert not sent

    asyncio.run(scenario())


def _build_intent_log(value_kb: float = 8.0) -> tuple[IntentLog, list[JoinedWrite]]:
    joined: list[JoinedWrite] = []
    return IntentLog(
        joined.append, FencingToken(3), value_kb, lambda: Wall(5.0), lambda: Monotonic(0.0)
    ), joined


def test_next_leader_resumes_open_rentals_and_releases() -> None:
    async def scenario() -> None:
        first, joined = _build_intent_log()
        first_rental = asyncio.create_task(first.record_rental("tr-3-1", Rental(*_KIND, 2)))
        second_rental = asyncio.create_task(first.record_rental("tr-3-2", Rental(*_KIND, 9)))
        release = asyncio.create_task(first.record_release([MachineId("m-7"), MachineId("m-8")]))
        await asyncio.sleep(0)
        assert not first_rental.done() and not release.done() and not first.open_releases
        records = {}
        for number, change in enumerate(list(joined)):
            assert change.guards == {change.changes[0]["set"]: ABSENT}
            records[change.changes[0]["set"]] = (change.changes[0]["value"], number + 1)
            change.on_committed(Revision(number + 1))
        await asyncio.gather(first_rental, second_rental, release)
        first.record_grant("tr-3-1", ["m-1", "m-2"])
        last = joined[-1]
        records[last.changes[0]["set"]] = (last.changes[0]["value"], 9)
        second, _ = _build_intent_log()
        entries = [wire.Entry(key=k, value=v, version=n) for k, (v, n) in records.items()]
        assert second.read(entries) == ["tr-3-1", "tr-3-2"]
        assert second.open_rentals["tr-3-1"].names == ["m-1", "m-2"]
        assert (
            second.open_rentals["tr-3-2"].names is None and second.open_rentals["tr-3-2"].count == 9
        )
        assert list(second.open_releases.values()) == [("m-7", "m-8")]
        fleet = Fleet(JobStore(8.0), FencingToken(4), monotonic_now(), 8.0)
        cloud = cast(Cloud, None)
        duties = [Duty(n, FencingToken(4), Monotonic(0.0), lambda: True) for n in ("a", "b")]
        provisioner = Provisioner(cloud, fleet, FencingToken(4), 2.0, second, *duties)
        provisioner._request_until_answered = lambda request: asyncio.sleep(0, 0)  # type: ignore[method-assign]
        provisioner.inherit([], monotonic_now(), Wall(5.0))
        assert set(fleet.machines) == {"m-7", "m-8"}
        assert all(m.releasing and m.release_recorded for m in fleet.machines.values())

    asyncio.run(scenario())


def test_record_size_and_count_are_bounded() -> None:
    """A mass failure of 300 machines with long names is recorded in values of at most 4 KiB."""

    async def scenario() -> None:
        cloud_log, joined = _build_intent_log(4.0)
        names = [MachineId(f"m-{'x' * 56}{n:06d}") for n in range(300)]
        remaining = list(names)
        while remaining:
            task = asyncio.create_task(cloud_log.record_release(remaining))
            await asyncio.sleep(0)
            assert len(wire.encode(joined[-1].changes[0]["value"])) <= 4096
            joined[-1].on_committed(Revision(1))
            _, part = await task
            remaining = remaining[len(part) :]
        assert [name for part in cloud_log.open_releases.values() for name in part] == names
        assert len(cloud_log.open_releases) <= 6
        rent = asyncio.create_task(cloud_log.record_rental("tr-3-1", Rental(*_KIND, 50)))
        await asyncio.sleep(0)
        joined[-1].on_committed(Revision(1))
        await rent
        cloud_log.record_grant("tr-3-1", list(map(str, names[:80])))
        assert len(wire.encode(joined[-1].changes[0]["value"])) <= 4096
        assert not cloud_log.full
        cloud_log._records.update(
            {f"k{n}": cast(Any, None) for n in range(intent_log.MAX_OPEN_RECORDS)}
        )
        assert cloud_log.full

    asyncio.run(scenario())


def test_record_of_unsupported_version_is_ignored() -> None:
    cloud_log, _ = _build_intent_log()
    unsupported = {"v": 2, "names": ["m-1"], "at": 0.0, "more": True}
    supported = wire.to_builtins(ReleaseRecord(["m-2"], 1.0))
    entries = [
        wire.Entry(key=CLOUD_PREFIX + "return/1.1", value=unsupported, version=1),
        wire.Entry(key=CLOUD_PREFIX + "return/1.2", value=supported, version=2),
        wire.Entry(key=CLOUD_PREFIX + "other", value={"v": 1}, version=3),
    ]
    assert cloud_log.read(entries) == []
    assert list(cloud_log.open_releases) == [CLOUD_PREFIX + "return/1.2"]


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
def test_records_round_trip(record: RentalRecord | ReleaseRecord) -> None:
    decoded = wire.decode(wire.encode(wire.to_builtins(record)), dict[str, Any])
    assert msgspec.convert(decoded, type(record)) == record


def test_rental_precedes_bindings_after_priority_time() -> None:
    """After a mass failure bindings fill all transactions for seconds.

    A rental that waited behind them would delay the boot of the replacements.
    """
    store = Store(random.Random(1), True)
    job_store = JobStore(8.0)
    leadership = Leadership(
        FencingToken(1), Revision(1), LeaseId(1), Monotonic(0.0), Monotonic(9.0)
    )
    batcher = WriteBatcher(
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
    batcher.join(rent)
    early = [c.get("set", "") for c in batcher._gather(Monotonic(0.5)).changes]
    late = [c.get("set", "") for c in batcher._gather(Monotonic(1.0)).changes]
    assert all(key.startswith("run/") for key in early) and len(early) == 3
    assert late[0] == "cloud/rent/tr-1-1" and len(late) == 3
    assert fencing.LEADER_KEY in batcher._fence.guards({})


@pytest.mark.parametrize("alone", [False, True])
def test_rental_during_state_service_outage_requires_sole_leader(alone: bool) -> None:
    """Replacements of machines lost just before an outage must not wait for its end.

    (Those of 104 machines once waited for the end of an outage of 25 s.) Only a leader that
    cannot be replaced during the outage may rent without a committed record.
    """

    class _GrantingCloud:
        request_count = 0

        async def rent(self, name: str, *_: Any) -> list[str]:
            self.request_count += 1
            return ["m-1", "m-2"]

    async def scenario() -> tuple[int, list[JoinedWrite], IntentLog]:
        cloud_log, joined = _build_intent_log()
        fleet = Fleet(JobStore(8.0), FencingToken(3), monotonic_now(), 8.0)
        duties = [
            Duty(n, FencingToken(3), Monotonic(0.0), lambda: True, lambda: alone)
            for n in ("a", "b")
        ]
        cloud = _GrantingCloud()
        provisioner = Provisioner(
            cast(Cloud, cloud), fleet, FencingToken(3), 2.0, cloud_log, *duties
        )
        provisioner.rent(Rental(*_KIND, 2), monotonic_now())
        await asyncio.sleep(5.0)
        assert (
            provisioner.has_pending_request(_KIND) == (not alone)
            and len(fleet.machines) == 2 * alone
        )
        # The state service is back: the record is committed, then the cloud's response.
        joined[0].on_committed(Revision(1))
        await asyncio.sleep(1.0)
        assert not provisioner.has_pending_request(_KIND) and set(fleet.machines) == {"m-1", "m-2"}
        assert joined[1].changes[0]["value"]["names"] == ["m-1", "m-2"]
        provisioner.close()
        return cloud.request_count, joined, cloud_log

    loop = VirtualTimeLoop()
    try:
        request_count, joined, _ = loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert request_count == 1 and len(joined) == 2
