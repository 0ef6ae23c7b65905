"""A fake of the cloud service, written from the protocol."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlsplit

import orjson

from tealrill.simulation.replies import Reply


@dataclass
class Machine:
    """One rented machine; its worker starts at `up_at` unless it is terminated before."""

    id: str
    addr: str
    zone: str
    spot: bool
    rented_at: float
    up_at: float
    terminated: bool = False


class CloudService:
    """A cloud with one machine type in two zones; its machine lists lag. Call it with a request."""

    VCPUS: Final = 8.0
    BOOT_S: Final = 6.0
    TYPE: Final = {
        "label": "m8", "vcpus": VCPUS, "gpus": 0.0, "memoryGb": 64.0, "localGb": 50.0,
        "fetchGbPerS": 1.0, "price": 1.0, "marketPrice": 0.4, "startupS": BOOT_S,
        "halls": ["north", "south"],
    }  # fmt: skip
    _LAG_S: Final = 4.0

    def __init__(self, rng: random.Random, now: Callable[[], float], most: int) -> None:
        self.rng, self.now, self.most = rng, now, most
        self.at_once = False
        """Whether new machines boot within two seconds."""
        self.answers_s = 0.0
        """Maximum delay of the response to a rental, which itself takes effect at once; seconds."""
        self.machines: dict[str, Machine] = {}
        self.answers: dict[str, list[str]] = {}
        self.booted: Callable[[Machine], None] = lambda _: None
        self.taken: Callable[[Machine], None] = lambda _: None

    async def __call__(self, source: str, method: str, target: str, body: bytes | None) -> Reply:
        """Handle one request."""
        path = urlsplit(target).path
        if path == "/catalog":
            return 200, {"builds": [self.TYPE]}
        if path == "/hosts/release":
            for name in orjson.loads(body or b"{}")["kilns"]:
                machine = self.machines.get(name)
                if machine is not None and not machine.terminated:
                    self.take(machine)
            return 200, {}
        if method == "POST":
            reply = self._rent(orjson.loads(body or b"{}"))
            if self.answers_s:
                await asyncio.sleep(self.rng.uniform(0.5, 1.0) * self.answers_s)
            return reply
        seen = self.now() - self._LAG_S
        listed = [m for m in self.alive() if m.rented_at <= seen]
        return 200, {"kilns": [self._line(m) for m in listed], "truncated": False}

    def alive(self) -> list[Machine]:
        """Return the machines that are not terminated."""
        return [m for m in self.machines.values() if not m.terminated]

    def take(self, machine: Machine) -> None:
        """Terminate a machine together with its tasks."""
        machine.terminated = True
        self.taken(machine)

    def _line(self, machine: Machine) -> dict[str, Any]:
        return {
            "id": machine.id, "addr": machine.addr, "build": "m8", "hall": machine.zone,
            "loaners": machine.spot, "ageS": self.now() - machine.rented_at,
            "status": "running" if self.now() >= machine.up_at else "starting",
        }  # fmt: skip

    def _boot_s(self) -> float:
        if self.at_once:
            return self.rng.uniform(0.2, 2.0)
        return self.rng.uniform(0.6, 1.5) * self.BOOT_S

    def _rent(self, asked: dict[str, Any]) -> Reply:
        if asked["hire"] not in self.answers:
            left = self.most - len(self.alive())
            if left <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(min(left, asked["howMany"])):
                number = len(self.machines)
                machine = Machine(
                    f"m-{number:06d}", f"10.1.{number // 250}.{number % 250 + 1}:9000",
                    asked["hall"], asked["loaners"], self.now(),
                    self.now() + self._boot_s(),
                )  # fmt: skip
                self.machines[machine.id] = machine
                self.booted(machine)
                names.append(machine.id)
            self.answers[asked["hire"]] = names
        return 200, {"kilns": self.answers[asked["hire"]]}
