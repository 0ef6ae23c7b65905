"""Memory and connections of a long term must not grow with past machines and jobs.

5,000 machines and 20,000 jobs pass through a real leader. It sends its commands over real
connections to one server that plays the workers of all machines, each at its own address within
127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import gc
import random
from typing import Any, cast

import orjson
import pytest
from tornado import httpserver, netutil, web

from tealrill import settings, wire
from tealrill.fleet.cloud import Cloud
from tealrill.fleet.connections import ConnectionPool
from tealrill.leader.leader import Leader
from tealrill.leadership.election import Election
from tealrill.scheduler.capacity import Rental
from tealrill.scheduler.estimates import Estimates
from tealrill.state.client import StateClient
from tealrill.state.fencing import LEADER_KEY, Leadership
from tealrill.state.records import job_key
from tealrill.types import (
    FencingToken,
    LeaseId,
    MachineId,
    Monotonic,
    Revision,
    monotonic_now,
    wall_now,
)
from tests.samples import SETTINGS, make_heartbeat, spec
from tests.test_dispatch import _MACHINE_TYPE
from tests.test_records import Store

_SOCKETS = 300
_WAVE_SIZE = 50
_JOBS_PER_MACHINE = 4
"""Jobs per machine, of one task each."""


class _Election:
    """An election in which this node stays leader."""

    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership

    def valid_leadership(self, _: Monotonic) -> Leadership:
        return self.leadership


class _OrdersHandler(web.RequestHandler):
    def initialize(self, cluster: _Cluster) -> None:
        self.cluster = cluster

    def post(self) -> None:
        message = orjson.loads(self.request.body)
        name = f"m-{self.request.host.split(':')[0]}"
        tasks = self.cluster.tasks[name]
        tasks.update({(o["piece"], o["try"]): "running" for o in message["orders"]})
        self.finish(orjson.dumps(self.cluster.report(name)))


class _Server(httpserver.HTTPServer):
    def __init__(self, application: web.Application) -> None:
        super().__init__(application)
        self.open = self.max_open = 0

    def start_request(self, server_conn: object, request_conn: Any) -> Any:
        return super().start_request(server_conn, request_conn)

    def handle_stream(self, stream: Any, address: Any) -> None:
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.open -= 1


class _Cluster:
    def __init__(self) -> None:
        values = {**SETTINGS, "params": {**SETTINGS["params"], "quota": {"fd_limit": _SOCKETS}}}
        self.settings = settings.parse(orjson.dumps(values))
        self.store = Store(random.Random(0), True)
        self.store.reliable = True
        leadership = Leadership(
            FencingToken(1), Revision(1), LeaseId(1), monotonic_now(), Monotonic(1e12)
        )
        self.leader = Leader(
            self.settings,
            cast(StateClient, self.store),
            cast(Cloud, None),
            cast(Election, _Election(leadership)),
            leadership,
            Estimates(),
        )
        self.leader.fleet.inherit([], monotonic_now())
        catalogue = wire.decode(
            orjson.dumps({"builds": [{**_MACHINE_TYPE, "vcpus": 16}]}), wire.Catalogue
        )
        self.leader.provisioner.set_catalogue(catalogue)
        self.leader.provisioner.rent = lambda *_: None  # type: ignore[method-assign]
        self.tasks: dict[str, dict[tuple[str, int], str]] = {}
        self.sequences: dict[str, int] = {}
        self.machines = self.jobs = 0
        self.server = _Server(web.Application([("/orders", _OrdersHandler, {"cluster": self})]))
        sockets = netutil.bind_sockets(0, "0.0.0.0")
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    def report(self, name: str) -> dict[str, Any]:
        self.sequences[name] += 1
        lines = [
            (task, attempt, state, "done" if state == "ended" else None)
            for (task, attempt), state in self.tasks[name].items()
        ]
        heartbeat = make_heartbeat(name, 1, self.sequences[name], 1, lines)
        return {**wire.to_builtins(heartbeat), "addr": f"{name[2:]}:{self.port}"}

    def send_heartbeat(self, name: str) -> None:
        heartbeat = wire.decode(orjson.dumps(self.report(name)), wire.Heartbeat)
        response = self.leader.handle_heartbeat(heartbeat, MachineId(name), monotonic_now())
        for order in response.commands if response is not None else []:
            if order["verb"] == wire.FORGET:
                self.tasks[name].pop((str(order["piece"]), cast(int, order["try"])))

    async def commit_all(self) -> None:
        while (
            batch := self.leader.write_batcher._gather(Monotonic(monotonic_now() + 10.0))
        ).changes:
            await self.leader.write_batcher._commit(batch)

    async def run_wave(self) -> None:
        """Rent machines, run jobs on them, and release them."""
        names = []
        for _ in range(_WAVE_SIZE):
            self.machines += 1
            number = self.machines
            name = f"m-127.{1 + number // 62500}.{number // 250 % 250}.{1 + number % 250}"
            names.append(name)
            self.tasks[name], self.sequences[name] = {}, 0
            self.leader.provisioner._add_rented_machine(
                name, Rental("big", "north", False, 1), monotonic_now()
            )
            self.send_heartbeat(name)
        for _ in range(_WAVE_SIZE * _JOBS_PER_MACHINE):
            self.jobs += 1
            job = spec(id=f"wk-{self.jobs}", pieces=1, dueS=None)
            self.store.execute(
                [],
                [wire.put(job_key(job.id), {"spec": wire.to_builtins(job), "at": 0})],  # type: ignore[arg-type]
            )
            mod_revision = Revision(self.store.epoch)
            self.leader.lifecycle.add(
                job_key(job.id),  # type: ignore[arg-type]
                {"spec": wire.to_builtins(job), "at": wall_now()},
                mod_revision,
            )
        self.leader.scheduling_loop.run(monotonic_now(), wall_now())
        await self.commit_all()
        while self.leader.direct_commands._tasks:
            await asyncio.gather(*self.leader.direct_commands._tasks.values())
        for name in names:
            assert len(self.tasks[name]) == _JOBS_PER_MACHINE
            self.tasks[name] = dict.fromkeys(self.tasks[name], "ended")
            self.send_heartbeat(name)
        await self.commit_all()
        for name in names:
            self.send_heartbeat(name)
            assert not self.tasks[name]
            self.leader.fleet.released(MachineId(name), monotonic_now())
            del self.tasks[name], self.sequences[name]
        self.store.keys = {LEADER_KEY: ({}, 1)}
        self.leader.fleet.prune_terminated(Monotonic(monotonic_now() + 1000.0))


def test_long_term_retains_nothing_of_past_machines_and_jobs() -> None:
    async def scenario() -> None:
        cluster = _Cluster()
        for _ in range(4):
            await cluster.run_wave()
        gc.collect()
        before = len(gc.get_objects())
        while cluster.machines < 5000:
            await cluster.run_wave()
            assert len(cluster.leader._connections) == 0
        assert cluster.jobs == 20_000
        await asyncio.sleep(0.2)
        gc.collect()
        assert not cluster.leader.job_store.jobs and not cluster.leader.fleet.machines
        assert len(gc.get_objects()) < before + 1000
        assert len(asyncio.all_tasks()) <= 2
        # Connections are closed with their machines; the server notices this a moment later.
        assert cluster.server.max_open <= 3 * _WAVE_SIZE

    asyncio.run(scenario())


def test_command_connections_stay_within_limit() -> None:
    """With more machines than spare sockets, all commands are delivered within the limit."""

    async def scenario() -> None:
        open_now = max_open = served = 0

        class CountingHandler(web.RequestHandler):
            async def post(self) -> None:
                nonlocal served
                served += 1
                await asyncio.sleep(0.01)

        server = _Server(web.Application([("/orders", CountingHandler)]))
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        pool = ConnectionPool(200, lambda: 90)

        async def command(number: int) -> None:
            nonlocal open_now, max_open
            async with pool:
                open_now += 1
                max_open = max(max_open, open_now)
                machine = MachineId(f"m-{number}")
                await pool.request(machine, f"127.0.0.1:{port}", "/orders", b"{}", 30.0)
                open_now -= 1

        await asyncio.gather(*(command(number) for number in range(90)))
        assert served == 90 and max_open == pool.max_connections == 30
        assert len(pool) <= pool.max_connections
        pool.close()
        assert len(pool) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(("sockets", "machines", "most"), [(500, 158, 200), (1000, 338, 400)])
def test_connection_limit_covers_every_machine_of_ordinary_fleets(
    sockets: int, machines: int, most: int
) -> None:
    assert ConnectionPool(sockets, lambda: machines).max_connections == most >= machines
