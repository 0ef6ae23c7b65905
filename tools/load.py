"""A load for profiling one node: stand-ins for the state service, the cloud, workers and users.

It runs beside the node, in a process of its own, so that a profiler on the node sees the node
alone. Everything stays on the loopback address. README.md says how to use it.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import click
import orjson

from tealrill import wire
from tealrill.http import Client, NoAnswerError
from tealrill.settings import Address
from tests import fakes
from tests.samples import SUBMISSION

_REPORT_S = 1.0
_LEASE_S = 10.0
_BOOT_S = 3.0


class _Worker(fakes.FakeWorker):
    """A machine whose tasks end by themselves and that reports over a kept connection."""

    def __init__(self, name: str, luck: random.Random, task_s: tuple[float, float]) -> None:
        super().__init__(name)
        self._task_s = task_s
        self._luck = luck
        self._changed = asyncio.Event()
        self._running: set[str] = set()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        super().execute(orders)
        for name, line in self.tasks.items():
            if line["status"] == "running" and name not in self._running:
                self._running.add(name)
                asyncio.get_running_loop().call_later(
                    self._luck.uniform(*self._task_s), self._finish, name
                )

    def _finish(self, name: str) -> None:
        if name in self.tasks and self.tasks[name]["status"] == "running":
            self.end(name, "done")
            self._changed.set()

    async def run(self, node: Address, within_s: float = 10.0) -> None:
        """Reports for ever, from a moment within `within_s` on."""
        client = Client(node, max_idle=1)
        await asyncio.sleep(self._luck.uniform(0, within_s))
        while True:
            self._changed.clear()
            body = orjson.dumps(self.heartbeat())
            try:
                answer = await client.request("POST", wire.HEARTBEAT_PATH, body, 4.0)
            except NoAnswerError:
                await asyncio.sleep(1.0)
                continue
            if answer.status == 200:
                self._take(orjson.loads(answer.body))
            try:
                async with asyncio.timeout(_REPORT_S):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _take(self, message: dict[str, Any]) -> None:
        if message["baton"] > self.token:
            self.token = message["baton"]
            self._changed.set()
        if message["baton"] == self.token:
            self.execute(message["orders"])


def settings_for(state: fakes.FakeStateService, cloud: fakes.FakeCloud) -> dict[str, Any]:
    """Return the node's settings, with the stand-ins' addresses."""
    return {
        "host_name": "node-0",
        "zone": "north",
        "client_listen": "127.0.0.1:18080",
        "cluster_listen": "127.0.0.1:18081",
        "members": [],
        "services": {"cloud": cloud.address, "state": state.address},
        "params": {
            "zones": ["north"],
            "teams": [{"name": "red"}, {"name": "blue"}],
            "objectives": [
                {"kind": "wait", "class": "quick", "within_s": 2.0, "share": 0.9},
                {"kind": "deadline", "class": "long", "times": 1.0, "share": 0.9},
            ],
            "workers": {"report_s": _REPORT_S, "lease_s": _LEASE_S, "cancel_s": 30.0},
            "state": {"rps": 250.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 4.0, "list_lag_s": 2.0},
        },
    }


def sample_job(number: int, luck: random.Random) -> dict[str, Any]:
    """Return one job as a user submits it."""
    quick = luck.random() < 0.6
    return {
        **SUBMISSION,
        "id": f"wk-{number:06d}",
        "lineup": "quick" if quick else "long",
        "crew": luck.choice(["red", "blue"]),
        "urgency": "urgent" if quick else "standard",
        "pieces": luck.randint(10, 80),
        "vcpus": 1.0 if quick else 2.0,
        "memoryGb": 1.0,
        "bundle": f"img-{luck.randint(0, 7):02d}",
        "guessS": 25.0,
        "dueS": None if quick else 120.0,
    }


async def _submit(node: Address, rate: float, first: int, luck: random.Random) -> None:
    client = Client(node, max_idle=4)
    number = 0

    async def send(body: bytes) -> None:
        for _ in range(5):
            try:
                if (await client.request("POST", wire.JOBS_PATH, body, 4.0)).status in (200, 201):
                    return
            except NoAnswerError:
                pass
            await asyncio.sleep(1.0)

    under_way: set[asyncio.Task[None]] = set()
    while True:
        number += 1
        task = asyncio.create_task(send(orjson.dumps(sample_job(number, luck))))
        under_way.add(task)
        task.add_done_callback(under_way.discard)
        if number > first:
            await asyncio.sleep(luck.expovariate(rate))


class Machines:
    """Workers of the machines that are rented."""

    def __init__(
        self,
        cloud: fakes.FakeCloud,
        node: Address,
        luck: random.Random,
        task_s: tuple[float, float],
    ) -> None:
        self._cloud = cloud
        self._node = node
        self._luck = luck
        self._task_s = task_s
        self.workers: dict[str, tuple[_Worker, asyncio.Task[None]]] = {}

    def begin(self, count: int, within_s: float) -> None:
        """So many machines are up, and no more are to be had at a time."""
        for number in range(1, count + 1):
            worker = self.up(f"m-{number:06d}", within_s)
            self._cloud.machines[worker.name] = {
                "id": worker.name, "addr": worker.address, "build": "big", "hall": "north",
                "loaners": True, "status": "running", "ageS": 0.0,
            }  # fmt: skip
        self._cloud.rented = self._cloud.max_rented = count
        self._cloud.on_rented, self._cloud.on_released = self.hired, self.returned

    def up(self, name: str, within_s: float) -> _Worker:
        """Begin a machine's worker, which sends its first heartbeat within `within_s` seconds."""
        worker = _Worker(name, self._luck, self._task_s)
        self.workers[name] = (worker, asyncio.create_task(worker.run(self._node, within_s)))
        return worker

    def hired(self, name: str) -> None:
        """Begin the worker of a machine that was rented."""
        self._cloud.machines[name]["status"] = "running"
        self.up(name, _BOOT_S)

    def returned(self, name: str) -> None:
        """Another may be rented in its place."""
        known = self.workers.pop(name, None)
        if known is not None:
            known[1].cancel()
            self._cloud.max_rented += 1

    def running(self) -> int:
        """The number of machines whose worker runs."""
        return sum(
            task["status"] == "running"
            for worker, _ in self.workers.values()
            for task in worker.tasks.values()
        )


async def _run(
    machines: int,
    rate: float,
    first: int,
    settings: Path,
    for_s: float,
    task_s: tuple[float, float],
) -> None:
    luck = random.Random(1)
    state, cloud = fakes.FakeStateService(), fakes.FakeCloud()
    settings.write_bytes(orjson.dumps(settings_for(state, cloud)))
    node = Address("127.0.0.1", 18080)
    fleet = Machines(cloud, node, luck, task_s)
    fleet.begin(machines, 10.0)
    users = asyncio.create_task(_submit(node, rate, first, luck)) if rate > 0 else None
    for second in range(round(for_s)):
        await asyncio.sleep(1.0)
        if second % 10 == 9:
            click.echo(f"{second + 1} s: {fleet.running()} tasks run, {state.epoch} transactions")
    if users is not None:
        users.cancel()
    for _, task in fleet.workers.values():
        task.cancel()


@click.command()
@click.option("--machines", default=330, show_default=True, help="Workers that report.")
@click.option("--rate", default=1.0, show_default=True, help="Jobs submitted a second; 0: none.")
@click.option("--first", default=50, show_default=True, help="Jobs submitted at once.")
@click.option("--for-s", default=60.0, show_default=True, help="How long the load lasts.")
@click.option(
    "--task-s",
    nargs=2,
    type=float,
    default=(10.0, 40.0),
    show_default=True,
    help="Shortest and longest task.",
)
@click.option("--settings", default="/tmp/load.json", type=click.Path(path_type=Path))
def main(
    machines: int,
    rate: float,
    first: int,
    for_s: float,
    task_s: tuple[float, float],
    settings: Path,
) -> None:
    """Writes a settings file for the node, then loads it."""
    asyncio.run(_run(machines, rate, first, settings, for_s, task_s))


if __name__ == "__main__":
    main()
