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
    """One rented machine; its worker starts at `boots_at` unless it is terminated before."""

    id: str
    addr: str
    zone: str
    spot: bool
    rented_at: float
    boots_at: float
    terminated: bool = False


class CloudService:
    """A cloud with one machine type in two zones; its machine lists lag. Call it with a request."""

    VCPUS: Final = 8.0
    BOOT_S: Final = 6.0
    ZONES: Final = ("north", "south")
    TYPE: Final = {
        "label": "m8", "vcpus": VCPUS, "gpus": 0.0, "memoryGb": 64.0, "localGb": 50.0,
        "fetchGbPerS": 1.0, "price": 1.0, "marketPrice": 0.4, "startupS": BOOT_S,
        "halls": list(ZONES),
    }  # fmt: skip
    _LAG_S: Final = 4.0

    def __init__(self, rng: random.Random, now: Callable[[], float], max_machines: int) -> None:
        self.rng, self.now, self.max_machines = rng, now, max_machines
        self.fast_boot = False
        """Whether new machines boot within two seconds."""
        self.rental_response_delay_s = 0.0
        """Maximum delay of the response to a rental, which itself takes effect at once; seconds."""
        self.machines: dict[str, Machine] = {}
        self.rentals: dict[str, list[str]] = {}
        self.on_rented: Callable[[Machine], None] = lambda _: None
        self.on_terminated: Callable[[Machine], None] = lambda _: None

    async def __call__(self, source: str, method: str, target: str, body: bytes | None) -> Reply:
        """Handle one request."""
        path = urlsplit(target).path
        if path == "/catalog":
            return 200, {"builds": [self.TYPE]}
        if path == "/hosts/release":
            for name in orjson.loads(body or b"{}")["kilns"]:
                machine = self.machines.get(name)
                if machine is not None and not machine.terminated:
                    self.terminate(machine)
            return 200, {}
        if method == "POST":
            reply = self._rent(orjson.loads(body or b"{}"))
            if self.rental_response_delay_s:
                await asyncio.sleep(self.rng.uniform(0.5, 1.0) * self.rental_response_delay_s)
            return reply
        listed_until = self.now() - self._LAG_S
        listed = [m for m in self.live_machines() if m.rented_at <= listed_until]
        return 200, {"kilns": [self._describe(m) for m in listed], "truncated": False}

    def live_machines(self) -> list[Machine]:
        """Return the machines that are not terminated."""
        return [m for m in self.machines.values() if not m.terminated]

    def terminate(self, machine: Machine) -> None:
        """Terminate a machine together with its tasks."""
        machine.terminated = True
        self.on_terminated(machine)

    def _describe(self, machine: Machine) -> dict[str, Any]:
        return {
            "id": machine.id, "addr": machine.addr, "build": "m8", "hall": machine.zone,
            "loaners": machine.spot, "ageS": self.now() - machine.rented_at,
            "status": "running" if self.now() >= machine.boots_at else "starting",
        }  # fmt: skip

    def _boot_s(self) -> float:
        if self.fast_boot:
            return self.rng.uniform(0.2, 2.0)
        return self.rng.uniform(0.6, 1.5) * self.BOOT_S

    def _rent(self, request: dict[str, Any]) -> Reply:
        if request["hire"] not in self.rentals:
            available = self.max_machines - len(self.live_machines())
            if available <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(min(available, request["howMany"])):
                number = len(self.machines)
                machine = Machine(
                    f"m-{number:06d}", f"10.1.{number // 250}.{number % 250 + 1}:9000",
                    request["hall"], request["loaners"], self.now(),
                    self.now() + self._boot_s(),
                )  # fmt: skip
                self.machines[machine.id] = machine
                self.on_rented(machine)
                names.append(machine.id)
            self.rentals[request["hire"]] = names
        return 200, {"kilns": self.rentals[request["hire"]]}
