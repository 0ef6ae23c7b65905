"""Attempts to connect, a leader that gives way, and rentals in parallel: the parts with I/O."""

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
from tealrill.http import accepts
from tealrill.leadership.lease_extension import PING_PATH
from tealrill.leadership.transfer import LeadershipTransfer
from tealrill.scheduler.capacity import Rental
from tealrill.scheduler.failure_detector import Suspicion
from tealrill.settings import Address
from tealrill.state.job_store import JobStore
from tealrill.types import FencingToken, MachineId, Monotonic, Wall
from tests.samples import SETTINGS, recorded_at_once, report
from tests.standins import Worker
from tests.test_node import World

_REPORT_S = 1.0


# -- attempts -------------------------------------------------------------------------------------


def test_who_takes_connections_is_told_from_who_is_silent() -> None:
    async def scenario() -> None:
        (listening,) = netutil.bind_sockets(0, "127.0.0.1")
        port = listening.getsockname()[1]
        # Nobody reads from it, as on a machine whose processes stand still.
        assert await accepts(Address("127.0.0.1", port), 5.0) is True
        listening.close()
        # Refused: the system answers, though nothing listens.
        assert await accepts(Address("127.0.0.1", port), 5.0) is True

    asyncio.run(scenario())


def test_a_silent_address_and_this_nodes_own_trouble(monkeypatch: pytest.MonkeyPatch) -> None:
    async def never(*_: Any, **__: Any) -> None:
        await asyncio.Event().wait()

    def none_left(*_: Any, **__: Any) -> None:
        raise OSError("too many open files")

    async def scenario() -> None:
        monkeypatch.setattr("tornado.iostream.IOStream.connect", never)
        assert await accepts(Address("127.0.0.1", 9), 0.01) is False
        monkeypatch.setattr(socket, "socket", none_left)
        assert await accepts(Address("127.0.0.1", 9), 0.01) is None

    asyncio.run(scenario())


def _fleet(count: int, zone: str = "north") -> Fleet:
    fleet = Fleet(JobStore(8.0), FencingToken(1), Monotonic(0.0), 8.0)
    fleet.inherit([], Monotonic(0.0))
    for n in range(count):
        name = MachineId(f"m-{n}")
        fleet.heartbeats.process(report(name, 1, 1, 1), name, Monotonic(0.0), Wall(0.0))
        fleet.machines[name].zone = zone
    return fleet


def _hear(fleet: Fleet, names: range, now: float) -> None:
    for n in names:
        fleet.machines[MachineId(f"m-{n}")].last_contact_at = Monotonic(now)


def test_attempts_are_bounded_and_the_longest_untried_go_first() -> None:
    async def scenario() -> None:
        hold = asyncio.Event()
        tried: list[str] = []

        async def reach(address: Address, _: float) -> bool:
            tried.append(address.host)
            await hold.wait()
            return False

        fleet = _fleet(40)
        for n in range(40):
            fleet.machines[MachineId(f"m-{n}")].addr = f"10.0.0.{n}:9000"
        spare_sockets = 10
        prober = Prober(fleet, _REPORT_S, lambda: spare_sockets, reach)
        # Half of the zone is heard, so the other half is not cut off.
        _hear(fleet, range(20, 40), 4.0)
        for machine in prober.evaluate(Monotonic(4.0)):
            prober._try(machine, Monotonic(4.0))
        await asyncio.sleep(0)
        assert len(tried) == 10
        assert prober.evaluate(Monotonic(4.5)) == [], "no more while all places are taken"
        hold.set()
        for moment in (6.0, 7.5, 9.0, 10.5):
            await asyncio.sleep(0.01)
            _hear(fleet, range(20, 40), moment)
            for machine in prober.evaluate(Monotonic(moment)):
                prober._try(machine, Monotonic(moment))
        await asyncio.sleep(0.01)
        _hear(fleet, range(20, 40), 11.0)
        prober.evaluate(Monotonic(11.0))
        assert set(prober.diagnosis.suspicions.values()) == {Suspicion.FAILED}
        assert len(prober.diagnosis.suspicions) == 20
        # At the limit of sockets a few attempts go on, so that a verdict is still reached.
        spare_sockets = -100
        assert len(prober.evaluate(Monotonic(20.0))) == prober_module._FEWEST

    asyncio.run(scenario())


def test_an_answer_that_comes_after_a_report_says_nothing() -> None:
    async def scenario() -> None:
        fleet = _fleet(4)
        machine = fleet.machines[MachineId("m-0")]
        machine.addr = "10.0.0.1:9000"

        async def reach(_: Address, __: float) -> bool:
            machine.last_contact_at = Monotonic(5.0)
            return False

        prober = Prober(fleet, _REPORT_S, lambda: 10, reach)
        prober._try(machine, Monotonic(4.0))
        await asyncio.sleep(0.01)
        assert machine.failed_connects == 0 and prober._under_way == {}

    asyncio.run(scenario())


def test_machines_without_a_good_address_take_no_place_from_others() -> None:
    async def scenario() -> None:
        fleet = _fleet(12)
        for n in range(6):
            fleet.machines[MachineId(f"m-{n}")].addr = ""
        fleet.machines[MachineId("m-6")].addr = "nowhere"
        tried: list[str] = []

        async def reach(address: Address, _: float) -> bool:
            tried.append(address.host)
            return True

        prober = Prober(fleet, _REPORT_S, lambda: 4, reach)
        for moment in (4.0, 5.5):
            for machine in prober.evaluate(Monotonic(moment)):
                prober._try(machine, Monotonic(moment))
            await asyncio.sleep(0.01)
        assert len(tried) >= 5

    asyncio.run(scenario())


def test_nothing_is_tried_while_all_are_heard() -> None:
    fleet = _fleet(4)
    prober = Prober(fleet, _REPORT_S, lambda: 10)
    diagnosis_changed: list[None] = []
    prober.diagnosis_changed = lambda: diagnosis_changed.append(None)
    assert prober.evaluate(Monotonic(1.0)) == [] and not diagnosis_changed


def test_attempts_take_only_sockets_that_nobody_needs() -> None:
    machines = 0
    lines = ConnectionPool(1000, lambda: machines)
    assert lines.spare_sockets == 920
    machines = 950
    assert lines.spare_sockets == -30


# -- giving way -----------------------------------------------------------------------------------


class _Ping(web.RequestHandler):
    def get(self) -> None:
        self.finish(orjson.dumps({"leads": False, "reports": 7}))


def test_a_leader_learns_that_workers_report_to_another_node() -> None:
    async def scenario() -> None:
        server = httpserver.HTTPServer(web.Application([(PING_PATH, _Ping)]))
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        values = copy.deepcopy(SETTINGS)
        values["members"][0]["peer_addr"] = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        giveway = LeadershipTransfer(settings.parse(orjson.dumps(values)))
        assert await giveway.peer_receives_heartbeats(100)
        assert not await giveway.peer_receives_heartbeats(1000), (
            "a few always come to the wrong node"
        )
        server.stop()
        await server.close_all_connections()
        assert not await giveway.peer_receives_heartbeats(3), (
            "a node that doesn't answer is no better"
        )

    asyncio.run(scenario())


def test_reports_are_counted_for_a_time() -> None:
    giveway = LeadershipTransfer(settings.parse(orjson.dumps(SETTINGS)))
    for n in range(5):
        giveway.record_heartbeat(Monotonic(10.0 + 0.1 * n))
    assert giveway.recent_heartbeats(Monotonic(11.0)) == 5
    giveway.record_heartbeat(Monotonic(12.5))
    assert giveway.recent_heartbeats(Monotonic(13.0)) == 6
    assert giveway.recent_heartbeats(Monotonic(14.5)) == 1
    assert giveway.recent_heartbeats(Monotonic(30.0)) == 0


@pytest.mark.parametrize("elsewhere", [True, False])
def test_a_leader_that_hears_nobody_gives_way_only_if_another_node_does(
    elsewhere: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        world = World()
        world.start()
        asked = asyncio.Event()
        resigned: list[str] = []

        async def peer_receives_heartbeats(_: int) -> bool:
            asked.set()
            return elsewhere

        async def resign(why: str, _: float) -> None:
            resigned.append(why)

        try:
            await world.until_it_leads()
            node: Controller = world.node
            monkeypatch.setattr(
                node._transfer, "peer_receives_heartbeats", peer_receives_heartbeats
            )
            monkeypatch.setattr(node.election, "resign", resign)
            for n in range(3):
                worker = Worker(f"m-00000{n}")
                await world.beat(worker)
                await world.beat(worker)
            async with asyncio.timeout(30.0):
                await asked.wait()
                while elsewhere and not resigned:
                    await asyncio.sleep(0.01)
            assert resigned[:1] == (["heartbeats reach only other members"] if elsewhere else [])
        finally:
            await world.stop()

    asyncio.run(scenario())


# -- renting --------------------------------------------------------------------------------------


class _Cloud:
    """Answers what it is told to, in the order of the requests."""

    def __init__(self, answers: list[list[str] | None]) -> None:
        self.answers = answers
        self.asked: list[int] = []

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
        self.asked.append(count)
        answer = self.answers.pop(0)
        if answer is None:
            raise NoCapacityError
        return answer


def _provisioner(answers: list[list[str] | None]) -> tuple[Provisioner, _Cloud, Fleet]:
    fleet = Fleet(JobStore(8.0), FencingToken(1), Monotonic(0.0), 8.0)
    fleet.inherit([], Monotonic(0.0))
    cloud = _Cloud(answers)
    provisioner = Provisioner(cast(Cloud, cloud), fleet, FencingToken(1), 2.0, *recorded_at_once())
    return provisioner, cloud, fleet


async def _all_answered(provisioner: Provisioner) -> None:
    """Return once no request is open, and a moment later, so that another one would be seen."""
    async with asyncio.timeout(10.0):
        while provisioner.requests:
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)


def test_a_large_wish_goes_out_in_the_fewest_requests() -> None:
    async def scenario() -> None:
        names = [[f"m-{part}-{n}" for n in range(count)] for part, count in enumerate((50, 50, 20))]
        provisioner, cloud, fleet = _provisioner([*names, []])
        granted: list[int] = []
        provisioner.granted = lambda rental: granted.append(rental.count)
        provisioner.rent(Rental("big", "north", True, 120), Monotonic(0.0))
        provisioner.rent(Rental("big", "north", True, 120), Monotonic(0.0))
        assert sum(r.count for r in provisioner.pending_rentals()) == 120
        await _all_answered(provisioner)
        assert cloud.asked == [50, 50, 20]
        assert not provisioner.requests and granted == [50, 50, 20] and len(fleet.machines) == 120
        provisioner.rent(Rental("big", "north", True, 1), Monotonic(0.0))
        await _all_answered(provisioner)
        assert cloud.asked[3:] == [1], "all were answered, so more may be asked for"

    asyncio.run(scenario())


def test_what_the_cloud_does_not_have_is_not_asked_for_again_and_again() -> None:
    async def scenario() -> None:
        provisioner, cloud, fleet = _provisioner([[f"m-{n}" for n in range(30)]])
        provisioner.rent(Rental("big", "north", True, 300), Monotonic(0.0))
        await _all_answered(provisioner)
        assert cloud.asked == [50] and not provisioner.requests and len(fleet.machines) == 30

    asyncio.run(scenario())


def test_machines_that_go_back_go_before_those_that_are_asked_for() -> None:
    """The cloud has places only once they are released, and takes few calls."""

    async def scenario() -> None:
        provisioner, cloud, fleet = _provisioner([["m-9"]])
        name = MachineId("m-0")
        fleet.heartbeats.process(report(name, 1, 1, 1), name, Monotonic(0.0), Wall(0.0))
        fleet.machines[name].releasing = True
        provisioner.rent(Rental("big", "north", True, 1), Monotonic(0.0))
        await asyncio.sleep(0.25)
        assert cloud.asked == []
        fleet.released(name, Monotonic(1.0))
        async with asyncio.timeout(10.0):
            while not cloud.asked:
                await asyncio.sleep(0.01)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("brought", "kept"),
    [
        (["m-1", "m-1", "m-2"], {"m-1", "m-2"}),
        (["", "m-1", "no name", "x" * 200], {"m-1"}),
        (["m-1", "m-2", "m-3", "m-4", "m-5"], {"m-1", "m-2", "m-3", "m-4", "m-5"}),
        ([], set()),
    ],
)
def test_what_a_cloud_should_not_answer(brought: list[str], kept: set[str]) -> None:
    """Doubled and missing names, machines nobody asked for: nothing is lost, nothing loops."""

    async def scenario() -> None:
        provisioner, cloud, fleet = _provisioner([brought])
        provisioner.rent(Rental("big", "north", True, 3), Monotonic(0.0))
        await _all_answered(provisioner)
        assert set(fleet.machines) == kept
        assert cloud.asked == [3] and not provisioner.requests
        assert provisioner.capacity_backoff.is_refused(("big", "north", True), Monotonic(1.0)) == (
            len(kept) < 3
        )

    asyncio.run(scenario())


def test_a_machine_of_a_kind_that_the_catalogue_lost_harms_nothing() -> None:
    provisioner, _, fleet = _provisioner([])
    line = wire.ListedMachine(id="m-1", type="lost", zone="north", spot=True, state="running")
    provisioner.set_catalogue(wire.decode(b'{"builds":[]}', wire.Catalogue))
    provisioner.apply_list([line, line], Monotonic(100.0))
    assert set(fleet.machines) == {"m-1"} and not fleet.machines[MachineId("m-1")].releasing


def test_an_idle_machine_that_goes_back_does_not_end_a_refusal() -> None:
    """Only those that died leave places for sure; the others once had cheap kinds asked for again
    and again while dear ones were to be had."""
    provisioner, _, fleet = _provisioner([])
    kind = ("big", "north", False)
    for name in ("m-1", "m-2"):
        fleet.heartbeats.process(report(name, 1, 1, 1), MachineId(name), Monotonic(0.0), Wall(0.0))
    idle, dead = (fleet.machines[MachineId(name)] for name in ("m-1", "m-2"))
    provisioner.capacity_backoff.record_response(kind, 1, 0, Monotonic(0.0))
    provisioner._on_machine_terminated(idle)
    assert provisioner.capacity_backoff.is_refused(kind, Monotonic(4.0))
    assert not provisioner.capacity_backoff.is_refused(kind, Monotonic(5.5))
    provisioner.capacity_backoff.record_response(kind, 1, 0, Monotonic(5.5))
    dead.failed_connects = 2
    provisioner._on_machine_terminated(dead)
    assert not provisioner.capacity_backoff.is_refused(kind, Monotonic(5.6))
