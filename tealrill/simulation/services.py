"""What stands around the controllers: state service, cloud and workers, by the protocol's text."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

import orjson

from tealrill import wire
from tealrill.errors import TealrillError

Reply = tuple[int, Any]


def job_of(task: str) -> str:
    """The job in a task's name, which is the lab's own."""
    return task.partition("/")[0]


class NoReplyError(TealrillError):
    """The request is taken, and nothing is ever said of it."""


class State:
    """The store: keys with versions, leases, watches; outages, refusals and late transactions."""

    def __init__(self, rng: random.Random, now: Callable[[], float]) -> None:
        self.rng, self.now = rng, now
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 0
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        """Until when, and its length."""
        self.down = False
        self.refused: set[str] = set()
        self.late = 0.0
        """Share of transactions that get no answer and are carried out later."""
        self.lost = 0.0
        """Share of changes that are carried out at once and whose answer alone is lost."""
        self.slow_s = 0.0
        self.scan_s = 0.0
        """Reading a range takes so long."""
        self.written: Callable[[list[dict[str, Any]]], None] = lambda _: None
        """Called with the changes of each transaction that is carried out."""
        self._numbers = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def outage(self, begins: bool) -> None:
        """After one all leases have their full time again."""
        if self.down and not begins:
            self.leases = {n: (self.now() + ttl, ttl) for n, (_, ttl) in self.leases.items()}
        self.down = begins
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        if self.down:
            return
        over = {n for n, (until, _) in self.leases.items() if until <= self.now()}
        for number in over:
            del self.leases[number]
        for key in [k for k, (_, _, lease) in self.keys.items() if lease in over]:
            self._apply([{"delete": key}])

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.written(changes)
        self.epoch += 1
        for change in changes:
            if "set" in change:
                entry = (change["value"], self.epoch, change.get("hold"))
                self.keys[change["set"]] = entry
                event = {"set": change["set"], "value": change["value"], "stamp": self.epoch}
            else:
                self.keys.pop(change["delete"], None)
                event = {"delete": change["delete"], "stamp": self.epoch}
            self.log.append((self.epoch, event))
        self._wake()

    async def __call__(self, source: str, method: str, target: str, body: bytes | None) -> Reply:
        if self.slow_s:
            await asyncio.sleep(self.rng.uniform(0.3, 1.0) * self.slow_s)
        if self.down or source in self.refused:
            return 503, {}
        self.expire()
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        if parts[0] == "kv" and len(parts) > 1:
            return self._get(unquote(url.path.removeprefix("/kv/")))
        if parts[0] == "kv":
            if self.scan_s:
                await asyncio.sleep(self.scan_s)
            return self._scan(query)
        if parts[0] == "commit":
            return await self._commit(orjson.loads(body or b"{}"))
        if parts[0] == "watch":
            return await self._watch(source, query)
        return self._lease(method, parts, orjson.loads(body) if body else {})

    def _get(self, key: str) -> Reply:
        entry = self.keys.get(key)
        if entry is None:
            return 404, {"epoch": self.epoch}
        found = {"path": key, "value": entry[0], "stamp": entry[1]}
        return 200, found if entry[2] is None else {**found, "hold": entry[2]}

    def _scan(self, query: dict[str, str]) -> Reply:
        under, after = query["under"], query.get("from", "")
        found = sorted(k for k in self.keys if k.startswith(under) and k > after)
        part = found[: int(query.get("most", "1000"))]
        entries = [{"path": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in part]
        return 200, {
            "entries": entries, "truncated": len(part) < len(found), "epoch": self.epoch
        }  # fmt: skip

    async def _commit(self, message: dict[str, Any]) -> Reply:
        if message.get("apply") and self.rng.random() < self.late:
            task = asyncio.create_task(self._later(message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            raise NoReplyError
        reply = self._execute(message)
        if self.rng.random() < self.lost:
            raise NoReplyError
        return reply

    async def _later(self, message: dict[str, Any]) -> None:
        await asyncio.sleep(self.rng.uniform(2.0, 12.0))
        while self.down:
            await asyncio.sleep(0.5)
        self.expire()
        self._execute(message)

    def _execute(self, message: dict[str, Any]) -> Reply:
        failed = [
            g["path"]
            for g in message.get("guards", [])
            if self.keys.get(g["path"], (None, 0, None))[1] != g["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        changes = message.get("apply") or []
        if any(c.get("hold") is not None and c["hold"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        if changes:
            self._apply(changes)
        return 200, {"epoch": self.epoch}

    async def _watch(self, source: str, query: dict[str, str]) -> Reply:
        since, under = int(query["from"]), query["under"]
        until = self.now() + int(query.get("holdMs", "0")) / 1000
        while True:
            # In an outage, and where one is refused, open watches wait.
            shut = self.down or source in self.refused
            if not shut:
                self.expire()
                found = [
                    e for at, e in self.log
                    if at > since and (e.get("set") or e["delete"]).startswith(under)
                ]  # fmt: skip
                if found or self.now() >= until:
                    return 200, {"epoch": self.epoch, "log": found}
            pause = 1.0 if shut else min(0.5, max(0.001, until - self.now()))
            try:
                async with asyncio.timeout(pause):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _lease(self, method: str, parts: list[str], body: dict[str, Any]) -> Reply:
        reply = self._leased(method, parts, body)
        if self.rng.random() < self.lost:
            raise NoReplyError
        return reply

    def _leased(self, method: str, parts: list[str], body: dict[str, Any]) -> Reply:
        if len(parts) == 1:
            self._numbers += 1
            ttl = body["ttlMs"] / 1000
            self.leases[self._numbers] = (self.now() + ttl, ttl)
            return 200, {"hold": self._numbers}
        number = int(parts[1])
        if number not in self.leases:
            return 404, {}
        _, ttl = self.leases[number]
        self.leases[number] = (self.now() + (0.0 if method == "DELETE" else ttl), ttl)
        self.expire()
        return 200, {}


@dataclass
class Machine:
    """One rented machine; its worker begins when it is up."""

    id: str
    addr: str
    zone: str
    spot: bool
    rented_at: float
    up_at: float
    terminated: bool = False


class Cloud:
    """One type of machine in two zones; lists lag."""

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
        """New machines are up within two seconds."""
        self.answers_s = 0.0
        """Rentals are carried out at once and answered only after up to so long."""
        self.machines: dict[str, Machine] = {}
        self.answers: dict[str, list[str]] = {}
        self.booted: Callable[[Machine], None] = lambda _: None
        self.taken: Callable[[Machine], None] = lambda _: None

    async def __call__(self, source: str, method: str, target: str, body: bytes | None) -> Reply:
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
        """Rented, and neither given back nor dead."""
        return [m for m in self.machines.values() if not m.terminated]

    def take(self, machine: Machine) -> None:
        """It is gone, with all that ran on it."""
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


@dataclass
class Task:
    """A task on a machine."""

    attempt: int
    state: str = wire.FETCHING
    why: str | None = None
    due: float = 0.0
    """When it is through with what it does now."""


@dataclass
class Description:
    """What a worker needs to know of a job; users upload it."""

    pieces: int
    run_s: float
    vcpus: float


@dataclass
class Worker:
    """A machine's worker. Time is looked at in `tick`, which the world calls often."""

    machine: Machine
    lease_s: float
    now: Callable[[], float]
    jobs: dict[str, Description]
    started: Callable[[Worker, str], None]
    """A task has come onto this machine."""
    results: set[str]
    """Tasks that have completed anywhere."""
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    renewed_at: float = 0.0
    tasks: dict[str, Task] = field(default_factory=dict)
    completed: Callable[[Worker, str], None] = lambda _, __: None
    """A task of this machine is done."""
    fetched_at: float = math.inf
    """When it has the image of the jobs."""
    hung_at: float | None = None
    """Since when the whole machine stands still; what is sent to it waits."""

    def __post_init__(self) -> None:
        self.renewed_at = self.now()

    def on(self) -> list[str]:
        """Tasks that are on this machine as the rules count it."""
        return [n for n, t in self.tasks.items() if t.state in (wire.RUNNING, wire.SAVING)]

    def tick(self) -> bool:
        """True if something changed that is to be reported at once."""
        now = self.now()
        if now - self.renewed_at > self.lease_s:
            self.tasks.clear()
            self.incarnation += 1
            self.renewed_at = now
            return True
        if self.hung_at is not None:
            return False
        changed = False
        for name, task in self.tasks.items():
            if task.state == wire.EXITED or now < task.due:
                continue
            job = self.jobs[job_of(name)]
            if task.state == wire.FETCHING:
                task.state = wire.RUNNING
                task.due = now + (0.0 if name in self.results else job.run_s)
                self.started(self, name)
            else:
                task.state, task.why = wire.EXITED, wire.WHY_DONE
                self.results.add(name)
                self.completed(self, name)
            changed = True
        return changed

    def hang(self) -> None:
        if self.hung_at is None:
            self.tick()
            self.hung_at = self.now()

    def resume(self) -> None:
        """Goes on where it stood, unless its lease has run out."""
        if self.hung_at is None:
            return
        stood_s, self.hung_at = self.now() - self.hung_at, None
        for task in self.tasks.values():
            task.due += stood_s
        self.tick()

    def report(self) -> dict[str, Any]:
        self.sequence += 1
        machine = self.machine
        lines = []
        for name, task in self.tasks.items():
            line = {"piece": name, "try": task.attempt, "status": task.state}
            lines.append(line if task.why is None else {**line, "cause": task.why})
        return {
            "kiln": machine.id, "addr": machine.addr, "build": "m8", "hall": machine.zone,
            "loaners": machine.spot, "shift": self.incarnation, "tick": self.sequence,
            "baton": self.token, "warningS": None, "pieces": lines,
        }  # fmt: skip

    def execute(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            name, attempt = command["piece"], command["try"]
            known = self.tasks.get(name)
            if command["verb"] == wire.START:
                if known is None or (known.attempt != attempt and known.state == wire.EXITED):
                    self._start(name, attempt)
            elif known is None or known.attempt != attempt:
                continue
            elif command["verb"] == wire.STOP and known.state != wire.EXITED:
                known.state, known.why = wire.EXITED, wire.WHY_STOPPED
            elif command["verb"] == wire.FORGET and known.state == wire.EXITED:
                del self.tasks[name]

    def _start(self, name: str, attempt: int) -> None:
        job = self.jobs[job_of(name)]
        used = sum(
            self.jobs[job_of(n)].vcpus for n, t in self.tasks.items() if t.state != wire.EXITED
        )
        self.fetched_at = min(self.fetched_at, self.now() + 0.5)
        if used + job.vcpus > Cloud.VCPUS:
            self.tasks[name] = Task(attempt, wire.EXITED, "no_room")
        else:
            # All jobs have one image, which a machine fetches once.
            self.tasks[name] = Task(attempt, due=max(self.now(), self.fetched_at))

    async def __call__(self, source: str, method: str, target: str, body: bytes | None) -> Reply:
        """Direct commands."""
        self.tick()
        message = orjson.loads(body or b"{}")
        if message["baton"] < self.token or message["shift"] != self.incarnation:
            return 409, self.report()
        self.token = message["baton"]
        self.execute(message["orders"])
        return 200, self.report()
