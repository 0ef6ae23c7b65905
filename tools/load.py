"""Generate load for profiling one node: fake state service, cloud, workers and users.

The load runs in a process of its own beside the node, so that a profiler attached to the node
measures the node alone. All traffic stays on the loopback address. README.md describes its use.
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
    """A worker that completes its tasks after a random time and keeps its connection open."""

    def __init__(self, name: str, rng: random.Random, task_s: tuple[float, float]) -> None:
        super().__init__(name)
        self._task_s = task_s
        self._rng = rng
        self._changed = asyncio.Event()
        self._running: set[str] = set()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        super().execute(orders)
        for name, task in self.tasks.items():
            if task["status"] == "running" and name not in self._running:
                self._running.add(name)
                asyncio.get_running_loop().call_later(
                    self._rng.uniform(*self._task_s), self._finish, name
                )

    def _finish(self, name: str) -> None:
        if name in self.tasks and self.tasks[name]["status"] == "running":
            self.end(name, "done")
            self._changed.set()

    async def run(self, node: Address, within_s: float = 10.0) -> None:
        """Send heartbeats until cancelled; the first one within `within_s` seconds."""
        client = Client(node, max_idle=1)
        await asyncio.sleep(self._rng.uniform(0, within_s))
        while True:
            self._changed.clear()
            body = orjson.dumps(self.heartbeat())
            try:
                response = await client.request("POST", wire.HEARTBEAT_PATH, body, 4.0)
            except NoAnswerError:
                await asyncio.sleep(1.0)
                continue
            if response.status == 200:
                self._handle_response(orjson.loads(response.body))
            try:
                async with asyncio.timeout(_REPORT_S):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _handle_response(self, message: dict[str, Any]) -> None:
        if message["baton"] > self.token:
            self.token = message["baton"]
            self._changed.set()
        if message["baton"] == self.token:
            self.execute(message["orders"])


def settings_for(state: fakes.FakeStateService, cloud: fakes.FakeCloud) -> dict[str, Any]:
    """Return the node's settings, with the addresses of the fake services."""
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


def sample_job(number: int, rng: random.Random) -> dict[str, Any]:
    """Return one job as a user submits it."""
    is_quick = rng.random() < 0.6
    return {
        **SUBMISSION,
        "id": f"wk-{number:06d}",
        "lineup": "quick" if is_quick else "long",
        "crew": rng.choice(["red", "blue"]),
        "urgency": "urgent" if is_quick else "standard",
        "pieces": rng.randint(10, 80),
        "vcpus": 1.0 if is_quick else 2.0,
        "memoryGb": 1.0,
        "bundle": f"img-{rng.randint(0, 7):02d}",
        "guessS": 25.0,
        "dueS": None if is_quick else 120.0,
    }


async def _submit(node: Address, rate_per_s: float, initial_jobs: int, rng: random.Random) -> None:
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

    pending: set[asyncio.Task[None]] = set()
    while True:
        number += 1
        task = asyncio.create_task(send(orjson.dumps(sample_job(number, rng))))
        pending.add(task)
        task.add_done_callback(pending.discard)
        if number > initial_jobs:
            await asyncio.sleep(rng.expovariate(rate_per_s))


class WorkerFleet:
    """The workers of the rented machines."""

    def __init__(
        self,
        cloud: fakes.FakeCloud,
        node: Address,
        rng: random.Random,
        task_s: tuple[float, float],
    ) -> None:
        self._cloud = cloud
        self._node = node
        self._rng = rng
        self._task_s = task_s
        self.workers: dict[str, tuple[_Worker, asyncio.Task[None]]] = {}

    def start(self, count: int, within_s: float) -> None:
        """Start `count` machines, and let the cloud rent out no more than that at a time."""
        for number in range(1, count + 1):
            worker = self.start_worker(f"m-{number:06d}", within_s)
            self._cloud.machines[worker.name] = {
                "id": worker.name, "addr": worker.address, "build": "big", "hall": "north",
                "loaners": True, "status": "running", "ageS": 0.0,
            }  # fmt: skip
        self._cloud.rented = self._cloud.max_rented = count
        self._cloud.on_rented, self._cloud.on_released = self.on_rented, self.on_released

    def start_worker(self, name: str, within_s: float) -> _Worker:
        """Start a machine's worker, which sends its first heartbeat within `within_s` seconds."""
        worker = _Worker(name, self._rng, self._task_s)
        self.workers[name] = (worker, asyncio.create_task(worker.run(self._node, within_s)))
        return worker

    def on_rented(self, name: str) -> None:
        """Start the worker of a machine that was rented."""
        self._cloud.machines[name]["status"] = "running"
        self.start_worker(name, _BOOT_S)

    def on_released(self, name: str) -> None:
        """Stop the worker of a released machine, and allow the rental of another one."""
        entry = self.workers.pop(name, None)
        if entry is not None:
            entry[1].cancel()
            self._cloud.max_rented += 1

    def running_tasks(self) -> int:
        """Return the number of tasks that run on all machines."""
        return sum(
            task["status"] == "running"
            for worker, _ in self.workers.values()
            for task in worker.tasks.values()
        )


async def _run(
    machines: int,
    rate_per_s: float,
    initial_jobs: int,
    settings_path: Path,
    for_s: float,
    task_s: tuple[float, float],
) -> None:
    rng = random.Random(1)
    state, cloud = fakes.FakeStateService(), fakes.FakeCloud()
    settings_path.write_bytes(orjson.dumps(settings_for(state, cloud)))
    node = Address("127.0.0.1", 18080)
    workers = WorkerFleet(cloud, node, rng, task_s)
    workers.start(machines, 10.0)
    users = (
        asyncio.create_task(_submit(node, rate_per_s, initial_jobs, rng))
        if rate_per_s > 0
        else None
    )
    for second in range(round(for_s)):
        await asyncio.sleep(1.0)
        if second % 10 == 9:
            click.echo(
                f"{second + 1} s: {workers.running_tasks()} tasks run, {state.epoch} transactions"
            )
    if users is not None:
        users.cancel()
    for _, task in workers.workers.values():
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
    """Write a settings file for the node, then generate load on the node."""
    asyncio.run(_run(machines, rate, first, settings, for_s, task_s))


if __name__ == "__main__":
    main()
