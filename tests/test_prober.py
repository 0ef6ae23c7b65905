"""Tests with I/O: connection probes, leadership transfer, and requests for machines."""

from __future__ import annotations

import asyncio
import copy
import socket
from collections.abc import Callable
from typing import Any, cast

import orjson
import pytest
from tornado import httpserver, netutil, web

from tealrill import settings, wire
from tealrill.daemon import Controller
from tealrill.fleet import prober as prober_module
from tealrill.fleet.cloud import Cloud, NoCapacityError
from tealrill.fleet.connections import ConnectionPool
from tealrill.fleet.inventory import Fleet
from tealrill.fleet.prober import Prober
from tealrill.fleet.provisioning import Provisioner
from tealrill.http import is_reachable
from tealrill.leadership.lease_extension import PING_PATH
from tealrill.leadership.transfer import LeadershipTransfer
from tealrill.scheduler.capacity import Rental
from tealrill.scheduler.failure_detector import Suspicion
from tealrill.settings import Address
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Monotonic, Wall
from tests.fakes import FakeWorker
from tests.samples import SETTINGS, make_heartbeat, provisioner_dependencies
from tests.test_node import NodeHarness

_HEARTBEAT_INTERVAL_S = 1.0


# -- probes ---------------------------------------------------------------------------------------


def test_accepts_is_true_for_accepted_and_refused_connections() -> None:
    async def scenario() -> None:
        (listening,) = netutil.bind_sockets(0, "127.0.0.1")
        port = listening.getsockname()[1]
        # The connection is never read from, as on a machine whose processes are suspended.
        assert await is_reachable(Address("127.0.0.1", port), 5.0) is True
        listening.close()
        # A refused connection shows that the operating system runs, though nothing listens.
        assert await is_reachable(Address("127.0.0.1", port), 5.0) is True

    asyncio.run(scenario())


def test_accepts_is_false_on_timeout_and_none_without_sockets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def never(*_: Any, **__: Any) -> None:
        await asyncio.Event().wait()

    def none_left(*_: Any, **__: Any) -> None:
        raise OSError("too many open files")

    async def scenario() -> None:
        monkeypatch.setattr("tornado.iostream.IOStream.connect", never)
        assert await is_reachable(Address("127.0.0.1", 9), 0.01) is False
        monkeypatch.setattr(socket, "socket", none_left)
        assert await is_reachable(Address("127.0.0.1", 9), 0.01) is None

    asyncio.run(scenario())


def _fleet(count: int, zone: str = "north") -> Fleet:
    fleet = Fleet(JobStore(8.0), FencingToken(1), Monotonic(0.0), 8.0)
    fleet.inherit([], Monotonic(0.0))
    for n in range(count):
        name = MachineId(f"m-{n}")
        fleet.heartbeats.process(make_heartbeat(name, 1, 1, 1), name, Monotonic(0.0), Wall(0.0))
        fleet.machines[name].zone = zone
    return fleet


def _record_contact(fleet: Fleet, numbers: range, now: float) -> None:
    for n in numbers:
        fleet.machines[MachineId(f"m-{n}")].last_contact_at = Monotonic(now)


def test_concurrent_probes_are_bounded_and_diagnose_failed_machines() -> None:
    async def scenario() -> None:
        finish_probes = asyncio.Event()
        probed_hosts: list[str] = []

        async def probe(address: Address, _: float) -> bool:
            probed_hosts.append(address.host)
            await finish_probes.wait()
            return False

        fleet = _fleet(40)
        for n in range(40):
            fleet.machines[MachineId(f"m-{n}")].addr = f"10.0.0.{n}:9000"
        spare_sockets = 10
        prober = Prober(fleet, _HEARTBEAT_INTERVAL_S, lambda: spare_sockets, probe)
        # Half of the zone sends heartbeats, so the zone is not partitioned.
        _record_contact(fleet, range(20, 40), 4.0)
        for machine in prober.evaluate(Monotonic(4.0)):
            prober._start_probe(machine, Monotonic(4.0))
        await asyncio.sleep(0)
        assert len(probed_hosts) == 10
        assert prober.evaluate(Monotonic(4.5)) == [], "no further probes while all slots are in use"
        finish_probes.set()
        for moment in (6.0, 7.5, 9.0, 10.5):
            await asyncio.sleep(0.01)
            _record_contact(fleet, range(20, 40), moment)
            for machine in prober.evaluate(Monotonic(moment)):
                prober._start_probe(machine, Monotonic(moment))
        await asyncio.sleep(0.01)
        _record_contact(fleet, range(20, 40), 11.0)
        prober.evaluate(Monotonic(11.0))
        assert set(prober.diagnosis.suspicions.values()) == {Suspicion.FAILED}
        assert len(prober.diagnosis.suspicions) == 20
        # A few probes are allowed without spare sockets, so that a diagnosis is still reached.
        spare_sockets = -100
        assert len(prober.evaluate(Monotonic(20.0))) == prober_module._MIN_CONCURRENT

    asyncio.run(scenario())


def test_probe_result_after_heartbeat_is_ignored() -> None:
    async def scenario() -> None:
        fleet = _fleet(4)
        machine = fleet.machines[MachineId("m-0")]
        machine.addr = "10.0.0.1:9000"

        async def probe(_: Address, __: float) -> bool:
            machine.last_contact_at = Monotonic(5.0)
            return False

        prober = Prober(fleet, _HEARTBEAT_INTERVAL_S, lambda: 10, probe)
        prober._start_probe(machine, Monotonic(4.0))
        await asyncio.sleep(0.01)
        assert machine.failed_connects == 0 and prober._running_probes == {}

    asyncio.run(scenario())


def test_machines_without_valid_address_do_not_block_probes() -> None:
    async def scenario() -> None:
        fleet = _fleet(12)
        for n in range(6):
            fleet.machines[MachineId(f"m-{n}")].addr = ""
        fleet.machines[MachineId("m-6")].addr = "nowhere"
        probed_hosts: list[str] = []

        async def probe(address: Address, _: float) -> bool:
            probed_hosts.append(address.host)
            return True

        prober = Prober(fleet, _HEARTBEAT_INTERVAL_S, lambda: 4, probe)
        for moment in (4.0, 5.5):
            for machine in prober.evaluate(Monotonic(moment)):
                prober._start_probe(machine, Monotonic(moment))
            await asyncio.sleep(0.01)
        assert len(probed_hosts) >= 5

    asyncio.run(scenario())


def test_no_probes_while_all_machines_send_heartbeats() -> None:
    fleet = _fleet(4)
    prober = Prober(fleet, _HEARTBEAT_INTERVAL_S, lambda: 10)
    diagnosis_changed: list[None] = []
    prober.diagnosis_changed = lambda: diagnosis_changed.append(None)
    assert prober.evaluate(Monotonic(1.0)) == [] and not diagnosis_changed


def test_spare_sockets_exclude_heartbeats_and_reserve() -> None:
    machines = 0
    pool = ConnectionPool(1000, lambda: machines)
    assert pool.spare_sockets == 920
    machines = 950
    assert pool.spare_sockets == -30


# -- leadership transfer --------------------------------------------------------------------------


class _Ping(web.RequestHandler):
    def get(self) -> None:
        self.finish(orjson.dumps({"leads": False, "reports": 7}))


def test_peer_receives_heartbeats_compares_counts() -> None:
    async def scenario() -> None:
        server = httpserver.HTTPServer(web.Application([(PING_PATH, _Ping)]))
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        values = copy.deepcopy(SETTINGS)
        values["members"][0]["peer_addr"] = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        transfer = LeadershipTransfer(settings.parse(orjson.dumps(values)))
        assert await transfer.peer_receives_heartbeats(100)
        assert not await transfer.peer_receives_heartbeats(1000), (
            "a few workers always contact the wrong node"
        )
        server.stop()
        await server.close_all_connections()
        assert not await transfer.peer_receives_heartbeats(3), (
            "a node that does not answer is no alternative"
        )

    asyncio.run(scenario())


def test_heartbeat_count_covers_recent_windows() -> None:
    transfer = LeadershipTransfer(settings.parse(orjson.dumps(SETTINGS)))
    for n in range(5):
        transfer.record_heartbeat(Monotonic(10.0 + 0.1 * n))
    assert transfer.recent_heartbeats(Monotonic(11.0)) == 5
    transfer.record_heartbeat(Monotonic(12.5))
    assert transfer.recent_heartbeats(Monotonic(13.0)) == 6
    assert transfer.recent_heartbeats(Monotonic(14.5)) == 1
    assert transfer.recent_heartbeats(Monotonic(30.0)) == 0


@pytest.mark.parametrize("peer_receives", [True, False])
def test_leader_without_heartbeats_resigns_only_if_peer_receives_them(
    peer_receives: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        harness = NodeHarness()
        harness.start()
        peers_asked = asyncio.Event()
        resigned: list[str] = []

        async def peer_receives_heartbeats(_: int) -> bool:
            peers_asked.set()
            return peer_receives

        async def resign(why: str, _: float) -> None:
            resigned.append(why)

        try:
            await harness.wait_until_leader()
            node: Controller = harness.node
            monkeypatch.setattr(
                node._transfer, "peer_receives_heartbeats", peer_receives_heartbeats
            )
            monkeypatch.setattr(node.election, "resign", resign)
            for n in range(3):
                worker = FakeWorker(f"m-00000{n}")
                await harness.send_heartbeat(worker)
                await harness.send_heartbeat(worker)
            async with asyncio.timeout(30.0):
                await peers_asked.wait()
                while peer_receives and not resigned:
                    await asyncio.sleep(0.01)
            assert resigned[:1] == (
                ["heartbeats reach only other members"] if peer_receives else []
            )
        finally:
            await harness.stop()

    asyncio.run(scenario())


# -- scale-out ------------------------------------------------------------------------------------


class _Cloud:
    """A cloud with prepared answers to successive requests; None means no capacity."""

    def __init__(self, answers: list[list[str] | None]) -> None:
        self.answers = answers
        self.requested_counts: list[int] = []

    async def rent(
        self,
        name: str,
        type_name: str,
        zone: str,
        spot: bool,
        count: int,
        check: Callable[[], None],
    ) -> list[str]:
        check()
        self.requested_counts.append(count)
        answer = self.answers.pop(0)
        if answer is None:
            raise NoCapacityError
        return answer


def _provisioner(answers: list[list[str] | None]) -> tuple[Provisioner, _Cloud, Fleet]:
    fleet = Fleet(JobStore(8.0), FencingToken(1), Monotonic(0.0), 8.0)
    fleet.inherit([], Monotonic(0.0))
    cloud = _Cloud(answers)
    provisioner = Provisioner(
        cast(Cloud, cloud), fleet, FencingToken(1), 2.0, *provisioner_dependencies()
    )
    return provisioner, cloud, fleet


async def _all_answered(provisioner: Provisioner) -> None:
    """Return shortly after the last open request is answered, so that a further one would show."""
    async with asyncio.timeout(10.0):
        while provisioner.requests:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)


def test_large_rental_uses_fewest_requests() -> None:
    async def scenario() -> None:
        names = [[f"m-{part}-{n}" for n in range(count)] for part, count in enumerate((50, 50, 20))]
        provisioner, cloud, fleet = _provisioner([*names, []])
        granted: list[int] = []
        provisioner.granted = lambda rental: granted.append(rental.count)
        provisioner.rent(Rental("big", "north", True, 120), Monotonic(0.0))
        provisioner.rent(Rental("big", "north", True, 120), Monotonic(0.0))
        assert sum(r.count for r in provisioner.pending_rentals()) == 120
        await _all_answered(provisioner)
        assert cloud.requested_counts == [50, 50, 20]
        assert not provisioner.requests and granted == [50, 50, 20] and len(fleet.machines) == 120
        provisioner.rent(Rental("big", "north", True, 1), Monotonic(0.0))
        await _all_answered(provisioner)
        assert cloud.requested_counts[3:] == [1], (
            "all requests are answered, so another one may be sent"
        )

    asyncio.run(scenario())


def test_partially_granted_rental_is_not_repeated() -> None:
    async def scenario() -> None:
        provisioner, cloud, fleet = _provisioner([[f"m-{n}" for n in range(30)]])
        provisioner.rent(Rental("big", "north", True, 300), Monotonic(0.0))
        await _all_answered(provisioner)
        assert (
            cloud.requested_counts == [50]
            and not provisioner.requests
            and len(fleet.machines) == 30
        )

    asyncio.run(scenario())


def test_releases_precede_rentals() -> None:
    """The cloud has capacity only after the releases, and its request rate is limited."""

    async def scenario() -> None:
        provisioner, cloud, fleet = _provisioner([["m-9"]])
        name = MachineId("m-0")
        fleet.heartbeats.process(make_heartbeat(name, 1, 1, 1), name, Monotonic(0.0), Wall(0.0))
        fleet.machines[name].releasing = True
        provisioner.rent(Rental("big", "north", True, 1), Monotonic(0.0))
        await asyncio.sleep(0.25)
        assert cloud.requested_counts == []
        fleet.released(name, Monotonic(1.0))
        async with asyncio.timeout(10.0):
            while not cloud.requested_counts:
                await asyncio.sleep(0.01)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("granted_names", "expected_names"),
    [
        (["m-1", "m-1", "m-2"], {"m-1", "m-2"}),
        (["", "m-1", "no name", "x" * 200], {"m-1"}),
        (["m-1", "m-2", "m-3", "m-4", "m-5"], {"m-1", "m-2", "m-3", "m-4", "m-5"}),
        ([], set()),
    ],
)
def test_usable_machines_of_invalid_rental_response_are_kept(
    granted_names: list[str], expected_names: set[str]
) -> None:
    """Duplicate, missing, malformed and surplus names: every usable machine is kept.

    The request is not repeated, and too few machines count as a refusal.
    """

    async def scenario() -> None:
        provisioner, cloud, fleet = _provisioner([granted_names])
        provisioner.rent(Rental("big", "north", True, 3), Monotonic(0.0))
        await _all_answered(provisioner)
        assert set(fleet.machines) == expected_names
        assert cloud.requested_counts == [3] and not provisioner.requests
        assert provisioner.capacity_backoff.is_refused(("big", "north", True), Monotonic(1.0)) == (
            len(expected_names) < 3
        )

    asyncio.run(scenario())


def test_listed_machine_of_unknown_type_is_kept() -> None:
    provisioner, _, fleet = _provisioner([])
    listed_machine = wire.ListedMachine(
        id="m-1", type="lost", zone="north", spot=True, state="running"
    )
    provisioner.set_catalogue(wire.decode(b'{"builds":[]}', wire.Catalogue))
    provisioner.apply_list([listed_machine, listed_machine], Monotonic(100.0))
    assert set(fleet.machines) == {"m-1"} and not fleet.machines[MachineId("m-1")].releasing


def test_release_of_idle_machine_does_not_end_capacity_backoff() -> None:
    """Only a failed machine certainly frees capacity at the cloud.

    When the release of idle ones counted, cheap kinds were requested again and again while
    expensive ones were available.
    """
    provisioner, _, fleet = _provisioner([])
    kind = ("big", "north", False)
    for name in ("m-1", "m-2"):
        fleet.heartbeats.process(
            make_heartbeat(name, 1, 1, 1), MachineId(name), Monotonic(0.0), Wall(0.0)
        )
    idle, failed = (fleet.machines[MachineId(name)] for name in ("m-1", "m-2"))
    provisioner.capacity_backoff.record_response(kind, 1, 0, Monotonic(0.0))
    provisioner._on_machine_terminated(idle)
    assert provisioner.capacity_backoff.is_refused(kind, Monotonic(4.0))
    assert not provisioner.capacity_backoff.is_refused(kind, Monotonic(5.5))
    provisioner.capacity_backoff.record_response(kind, 1, 0, Monotonic(5.5))
    failed.failed_connects = 2
    provisioner._on_machine_terminated(failed)
    assert not provisioner.capacity_backoff.is_refused(kind, Monotonic(5.6))
